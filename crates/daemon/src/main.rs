//! `salttallyd` runs a session front as a process. It reads the settings, starts the front, and shuts it down gracefully
//! on SIGTERM or SIGINT. Everything else is implemented in the libraries.

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

/// A session front: serves players over WebSocket, controls media boxes over HTTP, and places sessions with salttally.
///
/// On SIGTERM or SIGINT it shuts down gracefully: open requests are answered and playing sessions are released. If it
/// is killed, its sessions play on at the boxes, and a front restarted under the same name finds them there.
#[derive(Parser)]
#[command(name = "salttallyd", version)]
struct Arguments {
    /// Settings file in KDL; see docs/operate/front.md
    #[arg(long, value_name = "FILE", required_unless_present = "platform")]
    config: Option<PathBuf>,
    /// Run as a front node of the platform, configured by the file named in GW_CONFIG; see docs/operate/front-node.md
    #[arg(long, conflicts_with_all = ["config", "check", "record"])]
    platform: bool,
    /// Check the settings and exit: status 0 if they are valid, otherwise 2 with file, line and reason
    #[arg(long)]
    check: bool,
    /// Write every decision to this file, as JSON lines; overrides `record` in the settings
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
    /// Format of the log on standard error
    #[arg(long, value_enum, default_value = "text")]
    log: LogFormat,
    /// Log level (error, warn, info, debug, trace) or filters such as `info,salttally_front=debug`
    #[arg(long, default_value = "info", value_name = "LEVEL")]
    log_level: String,
    /// Upper bound on the duration of a graceful shutdown, in ms
    #[arg(long, default_value_t = 5_000, value_name = "MS")]
    end_within: u64,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let Some(config) = &arguments.config else { return run_front_node(&arguments) };
    let mut settings = match Settings::load_for_process(config, &process_limits::raise_and_read()) {
        Ok(settings) => settings,
        Err(error) => return report_bad_settings(*error),
    };
    let peer_settings = match PeerSettings::read(config) {
        Ok(peer_settings) => peer_settings,
        Err(error) => return report_bad_settings(*error),
    };
    if arguments.check {
        println!("{}: settings are valid", config.display());
        return ExitCode::SUCCESS;
    }
    if arguments.record.is_some() {
        settings.record.clone_from(&arguments.record);
    }
    init_logging(&arguments);
    // Installed before the front starts, so that a signal that arrives during the start is not lost.
    let handled_signals: &[i32] =
        if peer_settings.members.is_some() { &[SIGTERM, SIGINT, SIGHUP] } else { &[SIGTERM, SIGINT] };
    let mut signals = match Signals::new(handled_signals) {
        Ok(signals) => signals,
        Err(error) => return exit_with_error(&format!("cannot install the signal handlers: {error}")),
    };
    let pending_copies = peer_settings.copies.is_some().then(copies::PendingService::default);
    let front = match Front::start_replicated(
        settings,
        pending_copies.as_ref().map(copies::PendingService::handle),
    ) {
        Ok(front) => front,
        Err(error) => return exit_with_error(&error.to_string()),
    };
    tracing::info!(address = %front.address(), seed = front.seed(), "front is listening");
    // Supervisors wait for this line to know that the front accepts connections.
    println!("listening {}", front.address());
    let peer_services = match peer_settings.start(Some(&front), pending_copies) {
        Ok(peer_services) => peer_services,
        Err(reason) => return exit_with_error(&reason),
    };
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        peer_services.reload_keys(config);
    }
    tracing::info!("shutting down the front");
    // Replication, accord and membership keep running while the front releases its sessions: its acknowledgements
    // and its lease have to stay valid until then.
    let counts = front.shut_down(Duration::from_millis(arguments.end_within));
    peer_services.shut_down();
    match counts {
        Some(counts) => {
            tracing::info!(?counts, "front has shut down");
            ExitCode::SUCCESS
        }
        None => exit_with_error(
            "not all playing sessions were released in time; the boxes end the rest once this front is gone",
        ),
    }
}

/// Settings of the services that connect this front to its peers; those without settings are off.
struct PeerSettings {
    members: Option<Members>,
    accord: Option<Accord>,
    copies: Option<Copies>,
}

impl PeerSettings {
    fn read(config: &Path) -> Read<PeerSettings> {
        let document = Document::load(config)?;
        let members = Members::read(&document)?;
        let accord = Accord::read(&document, members.as_ref())?;
        let copies = Copies::read(&document, members.as_ref(), accord.as_ref())?;
        Ok(PeerSettings { members, accord, copies })
    }

    /// Starts the configured services. Membership changes go to accord, the copies and the front; changes of the accord
    /// state go to the copies and the front.
    fn start(
        &self,
        front: Option<&Front>,
        pending_copies: Option<copies::PendingService>,
    ) -> Result<PeerServices, String> {
        let copies_handle = pending_copies.as_ref().map(copies::PendingService::handle);
        let on_coordination_change = front.map(|front| {
            let (apply, copies) = (front.coordination_sink(), copies_handle.clone());
            Box::new(move |state: CoordinationState| {
                if let Some(copies) = &copies {
                    copies.update_coordination(&state);
                }
                apply(state);
            }) as accord::Listener
        });
        let copies_companion = copies_handle.clone().map(|copies| {
            let copies_status = copies.clone();
            let on_message = Box::new(move |from, bytes| copies.receive(from, bytes));
            accord::Companion { on_message, status: Box::new(move || copies_status.status()) }
        });
        let start = |settings: &Accord| {
            accord::Running::start_with_companion(settings, on_coordination_change, copies_companion)
        };
        let accord = self.accord.as_ref().map(start).transpose().map_err(|e| e.to_string())?;
        let copies = match (pending_copies, front, &accord, &self.copies) {
            (Some(pending_copies), Some(front), Some(accord), Some(settings)) => {
                let started = pending_copies.start(
                    settings,
                    front.incarnation(),
                    accord.handle(),
                    Box::new(front.replication_sink()),
                );
                Some(started.map_err(|e| e.to_string())?)
            }
            _ => None,
        };
        let update_peers = front.map(Front::peers_sink);
        let listener = accord.as_ref().map(|running| {
            let running = running.handle();
            Box::new(move |known_members: Vec<KnownFront>| {
                if let Some(copies) = &copies_handle {
                    copies.update_members(known_members.clone());
                }
                if let Some(update_peers) = &update_peers {
                    update_peers(&known_members);
                }
                running.update_members(known_members);
            }) as ViewListener
        });
        let start = |members: &Members| Running::start_with_listener(members, listener);
        let members = self.members.as_ref().map(start).transpose().map_err(|e| e.to_string())?;
        Ok(PeerServices { members, accord, copies })
    }
}

/// Services that run beside the front.
struct PeerServices {
    members: Option<Running>,
    accord: Option<accord::Running>,
    copies: Option<copies::Running>,
}

impl PeerServices {
    /// Reloads the member keys on SIGHUP; all other settings stay as they were at the start.
    fn reload_keys(&self, config: &Path) {
        let Some(running) = &self.members else { return };
        match PeerSettings::read(config) {
            Ok(PeerSettings { members: Some(members), .. }) => {
                if let Some(accord) = &self.accord {
                    accord.set_keys(members.keys.clone());
                }
                running.set_keys(members.keys);
                tracing::info!("members: keys reloaded");
            }
            Ok(_) => tracing::warn!("members: the settings have no `members` any more; keeping the old keys"),
            Err(error) => tracing::warn!(%error, "members: cannot reload the settings; keeping the old keys"),
        }
    }

    /// Stops the services: first the copies, so that nothing more is acknowledged, and last the members, which announce
    /// to the peers that this front leaves.
    fn shut_down(self) {
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

/// Runs a front node of the platform: viewers, media servers and the list use the platform's protocol. It writes no files,
/// and limits the rate of its log lines.
fn run_front_node(arguments: &Arguments) -> ExitCode {
    init_logging(arguments);
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
        Err(error) => return exit_with_error(&format!("cannot install the signal handlers: {error}")),
    };
    // Membership is off unless such a file exists next to the configuration.
    let members_file = path.with_extension("members.kdl");
    let no_peers = PeerSettings { members: None, accord: None, copies: None };
    let peer_settings =
        match if members_file.exists() { PeerSettings::read(&members_file) } else { Ok(no_peers) } {
            Ok(peer_settings) => peer_settings,
            Err(error) => {
                eprintln!("salttallyd: {error}");
                return ExitCode::from(2);
            }
        };
    // The rules that the fronts agree on do not affect the decisions of a front node: see docs/operate/rules.md.
    let peer_services = match peer_settings.start(None, None) {
        Ok(peer_services) => peer_services,
        Err(reason) => return exit_with_error(&reason),
    };
    match node::run(&path, signals) {
        Ok(counts) => {
            peer_services.shut_down();
            tracing::info!(?counts, "front node has shut down");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("salttallyd: {error}");
            ExitCode::from(2)
        }
    }
}

fn init_logging(arguments: &Arguments) {
    let filter = EnvFilter::new(&arguments.log_level);
    let colours = std::io::stderr().is_terminal();
    let log =
        tracing_subscriber::fmt().with_env_filter(filter).with_ansi(colours).with_writer(std::io::stderr);
    match arguments.log {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
}

/// Prints why the settings are invalid, with the place in their file.
fn report_bad_settings(error: SettingError) -> ExitCode {
    eprintln!("salttallyd: {error}");
    eprintln!("{:?}", Report::new(error));
    ExitCode::from(2)
}

fn exit_with_error(reason: &str) -> ExitCode {
    eprintln!("salttallyd: {reason}");
    ExitCode::from(1)
}
