//! salttallyd: a session front as a process. It reads its settings, starts the front, and ends it in order at
//! SIGTERM or SIGINT; everything else is the library's.

use std::io::IsTerminal;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use miette::Report;
use salttally_accord::core::coordination::CoordinationState;
use salttally_accord::edge as accord;
use salttally_accord::settings::Settings as Accord;
use salttally_copies::edge as copies;
use salttally_copies::settings::Settings as Copies;
use salttally_front::settings::{process_limits, Settings};
use salttally_front::Front;
use salttally_members::edge::{KnownFront, Running, ViewListener};
use salttally_members::settings::Settings as Members;
use salttally_platform::config::ConfigError;
use salttally_platform::node;
use salttally_settings::{Document, Read, SettingError};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing_subscriber::EnvFilter;

/// A session front: players over WebSocket, media boxes over HTTP, every decision by salttally.
///
/// Ends in order at SIGTERM or SIGINT: what is owed is answered, what plays is released. Killed, its sessions play
/// on at the boxes, and a front started again under the same name finds them there.
#[derive(Parser)]
#[command(name = "salttallyd", version)]
struct Arguments {
    /// Settings, as KDL; see docs/operate/front.md
    #[arg(long, value_name = "FILE", required_unless_present = "platform")]
    config: Option<PathBuf>,
    /// Run as a front node of the platform, by the file that GW_CONFIG names; see docs/operate/front-node.md
    #[arg(long, conflicts_with_all = ["config", "check", "record"])]
    platform: bool,
    /// Check the settings and end: 0 if they hold, 2 with file, line and reason if not
    #[arg(long)]
    check: bool,
    /// Write every decision to this file, as JSON lines; goes before `record` in the settings
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
    /// Form of the log on standard error
    #[arg(long, value_enum, default_value = "text")]
    log: LogForm,
    /// What is logged: error, warn, info, debug, trace, or filters as in `info,salttally_front=debug`
    #[arg(long, default_value = "info", value_name = "LEVEL")]
    log_level: String,
    /// An ordered end takes this long at most, in ms
    #[arg(long, default_value_t = 5_000, value_name = "MS")]
    end_within: u64,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let Some(config) = &arguments.config else { return front_node(&arguments) };
    let mut settings = match Settings::load_for_process(config, &process_limits::raise_and_read()) {
        Ok(settings) => settings,
        Err(error) => return refused(*error),
    };
    let among = match Among::read(config) {
        Ok(among) => among,
        Err(error) => return refused(*error),
    };
    if arguments.check {
        println!("{}: holds", config.display());
        return ExitCode::SUCCESS;
    }
    if arguments.record.is_some() {
        settings.record.clone_from(&arguments.record);
    }
    start_log(&arguments);
    // Before the front starts: a signal that comes meanwhile must not be lost.
    let heeded: &[i32] =
        if among.members.is_some() { &[SIGTERM, SIGINT, SIGHUP] } else { &[SIGTERM, SIGINT] };
    let mut signals = match Signals::new(heeded) {
        Ok(signals) => signals,
        Err(error) => return fail(&format!("no signals: {error}")),
    };
    let line = among.copies.is_some().then(copies::PendingService::default);
    let front = match Front::start_replicated(settings, line.as_ref().map(copies::PendingService::handle)) {
        Ok(front) => front,
        Err(error) => return fail(&error.to_string()),
    };
    tracing::info!(address = %front.address(), seed = front.seed(), "front listens");
    // Whoever started the process may wait for this line.
    println!("listening {}", front.address());
    let others = match among.start(Some(&front), line) {
        Ok(others) => others,
        Err(reason) => return fail(&reason),
    };
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        others.new_keys(config);
    }
    tracing::info!("front ends");
    // While it releases what plays, the others go on to have its promises and its leases hold.
    let counts = front.shut_down(Duration::from_millis(arguments.end_within));
    others.leave();
    match counts {
        Some(counts) => {
            tracing::info!(?counts, "front has ended");
            ExitCode::SUCCESS
        }
        None => fail("not all that played was released in time; boxes end it when they miss this front"),
    }
}

/// What a front does among others, as far as its settings say.
struct Among {
    members: Option<Members>,
    accord: Option<Accord>,
    copies: Option<Copies>,
}

impl Among {
    fn read(config: &Path) -> Read<Among> {
        let document = Document::load(config)?;
        let members = Members::read(&document)?;
        let accord = Accord::read(&document, members.as_ref())?;
        let copies = Copies::read(&document, members.as_ref(), accord.as_ref())?;
        Ok(Among { members, accord, copies })
    }

    /// Starts what the settings have, each told of by the one before: members, accord, copies, the front.
    fn start(&self, front: Option<&Front>, line: Option<copies::PendingService>) -> Result<Others, String> {
        let teller = line.as_ref().map(copies::PendingService::handle);
        let stands = front.map(|front| {
            let (stands, copies) = (front.coordination_sink(), teller.clone());
            Box::new(move |stand: CoordinationState| {
                if let Some(copies) = &copies {
                    copies.update_coordination(&stand);
                }
                stands(stand);
            }) as accord::Listener
        });
        let beside = teller.clone().map(|copies| {
            let status = copies.clone();
            let on_message = Box::new(move |from, bytes| copies.receive(from, bytes));
            accord::Companion { on_message, status: Box::new(move || status.status()) }
        });
        let start = |settings: &Accord| accord::Running::start_with_companion(settings, stands, beside);
        let accord = self.accord.as_ref().map(start).transpose().map_err(|e| e.to_string())?;
        let copies = match (line, front, &accord, &self.copies) {
            (Some(line), Some(front), Some(accord), Some(settings)) => {
                let started = line.start(
                    settings,
                    front.incarnation(),
                    accord.handle(),
                    Box::new(front.replication_sink()),
                );
                Some(started.map_err(|e| e.to_string())?)
            }
            _ => None,
        };
        let others = front.map(Front::peers_sink);
        let listener = accord.as_ref().map(|running| {
            let running = running.handle();
            Box::new(move |known: Vec<KnownFront>| {
                if let Some(copies) = &teller {
                    copies.update_members(known.clone());
                }
                if let Some(others) = &others {
                    others(&known);
                }
                running.update_members(known);
            }) as ViewListener
        });
        let start = |members: &Members| Running::start_with_listener(members, listener);
        let members = self.members.as_ref().map(start).transpose().map_err(|e| e.to_string())?;
        Ok(Others { members, accord, copies })
    }
}

/// What runs beside the front.
struct Others {
    members: Option<Running>,
    accord: Option<accord::Running>,
    copies: Option<copies::Running>,
}

impl Others {
    /// At SIGHUP the keys are read anew, and nothing else.
    fn new_keys(&self, config: &Path) {
        let Some(running) = &self.members else { return };
        match Among::read(config) {
            Ok(Among { members: Some(members), .. }) => {
                if let Some(accord) = &self.accord {
                    accord.set_keys(members.keys.clone());
                }
                running.set_keys(members.keys);
                tracing::info!("members: keys read anew");
            }
            Ok(_) => tracing::warn!("members: no `members` in the settings any more; keys stay"),
            Err(error) => tracing::warn!(%error, "members: keys stay as they were"),
        }
    }

    /// First of all nothing more is promised, last of all the others hear that this front leaves.
    fn leave(self) {
        if let Some(copies) = self.copies {
            copies.leave();
        }
        if let Some(accord) = self.accord {
            accord.shut_down();
        }
        if let Some(members) = self.members {
            members.leave();
        }
    }
}

/// Nothing is written to files here: viewers, boxes and the list over the platform's protocol, the log bounded by what
/// is worth a line.
fn front_node(arguments: &Arguments) -> ExitCode {
    start_log(arguments);
    let Some(path) = std::env::var_os("GW_CONFIG").map(PathBuf::from) else {
        eprintln!("salttallyd: {}", ConfigError::Variable("GW_CONFIG"));
        return ExitCode::from(2);
    };
    let pipe = |signal| {
        let (ours, theirs) = UnixStream::pair()?;
        signal_hook::low_level::pipe::register(signal, theirs)?;
        Ok::<_, std::io::Error>(ours)
    };
    let signals = pipe(SIGTERM).and_then(|term| Ok(node::Signals { term, hang_up: pipe(SIGHUP)? }));
    let signals = match signals {
        Ok(signals) => signals,
        Err(error) => return fail(&format!("no signals: {error}")),
    };
    // Off, unless a file of that name lies beside the configuration.
    let beside = path.with_extension("members.kdl");
    let off = Among { members: None, accord: None, copies: None };
    let among = match if beside.exists() { Among::read(&beside) } else { Ok(off) } {
        Ok(among) => among,
        Err(error) => {
            eprintln!("salttallyd: {error}");
            return ExitCode::from(2);
        }
    };
    // What the fronts agree on does not reach a front node's decisions: see docs/operate/rules.md.
    let others = match among.start(None, None) {
        Ok(others) => others,
        Err(reason) => return fail(&reason),
    };
    match node::run(&path, signals) {
        Ok(counts) => {
            others.leave();
            tracing::info!(?counts, "front node has ended");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("salttallyd: {error}");
            ExitCode::from(2)
        }
    }
}

fn start_log(arguments: &Arguments) {
    let filter = EnvFilter::new(&arguments.log_level);
    let colours = std::io::stderr().is_terminal();
    let log =
        tracing_subscriber::fmt().with_env_filter(filter).with_ansi(colours).with_writer(std::io::stderr);
    match arguments.log {
        LogForm::Text => log.init(),
        LogForm::Json => log.json().init(),
    }
}

/// Settings that cannot hold, with the place in their file.
fn refused(error: SettingError) -> ExitCode {
    eprintln!("salttallyd: {error}");
    eprintln!("{:?}", Report::new(error));
    ExitCode::from(2)
}

fn fail(reason: &str) -> ExitCode {
    eprintln!("salttallyd: {reason}");
    ExitCode::from(1)
}
