//! The commands `judge`, `replay`, `check`, `standin` and `open`.

use std::error::Error;
use std::fs::File;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use salttally_front::record;
use salttally_front::settings::Settings;
use salttally_judge::record::read;
use salttally_settings::SettingError;
use salttally_standin::boxes::{Boxes, NoteSettings};
use salttally_standin::fleet::{BoxModel, BoxSpec};
use salttally_standin::list::{BoxList, ListEntry, ListState};
use salttally_standin::log::Log;
use salttally_standin::players::{PlayerConnection, ReceiveError};
use serde_json::json;

use crate::rehearse::{print_verdict, verdict_json};

type CommandResult = Result<ExitCode, Box<dyn Error>>;

fn print_setting_error(error: Box<SettingError>) -> ExitCode {
    eprintln!("salttally: {error}");
    eprintln!("{:?}", miette::Report::new(*error));
    ExitCode::from(2)
}

/// Runs `salttally judge`.
pub fn judge(path: &Path, as_json: bool) -> CommandResult {
    let lines = read(BufReader::new(File::open(path)?))?;
    let verdict = salttally_judge::judge(&lines);
    if as_json {
        println!("{}", verdict_json(&verdict));
    } else {
        print_verdict(&verdict);
    }
    Ok(if verdict.all_kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs `salttally replay`.
pub fn replay(path: &Path, config: &Path) -> CommandResult {
    let settings = match Settings::load(config) {
        Ok(settings) => settings,
        Err(error) => return Ok(print_setting_error(error)),
    };
    match record::replay(BufReader::new(File::open(path)?), &settings.decision) {
        Ok(steps) => {
            println!("{steps} steps, all reproduced by the module");
            Ok(ExitCode::SUCCESS)
        }
        Err(error) => {
            println!("{}: {error}", path.display());
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Runs `salttally check`.
pub fn check(config: &Path) -> CommandResult {
    Ok(match Settings::load(config) {
        Ok(settings) => {
            println!(
                "{}: valid; front {}, {} classes, {} rungs, {} titles on {} cells",
                config.display(),
                settings.name,
                settings.classes.len(),
                settings.decision.ladder.len(),
                settings.titles.len(),
                settings.decision.cells
            );
            ExitCode::SUCCESS
        }
        Err(error) => print_setting_error(error),
    })
}

/// Kinds of stand-ins.
#[derive(Subcommand)]
pub enum Standin {
    /// Media boxes, and optionally a list of them
    Boxes {
        /// Number of boxes
        #[arg(long, default_value_t = 1)]
        count: u32,
        /// Address of the first box; the others use the following ports
        #[arg(long, default_value = "127.0.0.1:7201")]
        address: SocketAddr,
        /// Also serve the list of these boxes at this address
        #[arg(long, value_name = "ADDRESS")]
        list: Option<SocketAddr>,
        /// Link rate of each box, kB/s
        #[arg(long, default_value_t = 10_000.0)]
        link_kb: f64,
        /// Largest number of streams of each box
        #[arg(long, default_value_t = 40)]
        places: usize,
    },
    /// A list of boxes that run elsewhere; each box is in the cell of its position
    List {
        /// Address of the list
        #[arg(long, default_value = "127.0.0.1:7200")]
        address: SocketAddr,
        /// Addresses of the boxes
        #[arg(required = true)]
        boxes: Vec<SocketAddr>,
    },
    /// Players that arrive one after another
    Players {
        /// Address of the front
        #[arg(long, default_value = "127.0.0.1:7001")]
        front: SocketAddr,
        /// Title of the sessions
        #[arg(long)]
        title: String,
        /// Class of the sessions
        #[arg(long)]
        class: String,
        /// Number of players
        #[arg(long, default_value_t = 10)]
        count: u32,
        /// Interval between arrivals, ms
        #[arg(long, default_value_t = 200)]
        every_ms: u64,
        /// Time that each player watches, ms
        #[arg(long, default_value_t = 2_000)]
        watch_ms: u64,
    },
}

impl Standin {
    /// Runs until interrupted, or until all players have left.
    pub fn run(self) -> CommandResult {
        match self {
            Standin::Boxes { count, address, list, link_kb, places } => {
                let log = Log::default();
                let model = BoxModel {
                    warm_up: 1,
                    cold_from: 1.0,
                    fall_multiple: 2.0,
                    fall_window: 1_000_000,
                    refuses_from: 1.0,
                    report_every: 200_000,
                    set_up_time: 10_000,
                };
                let notes = NoteSettings { interval: 3_000_000, age: 0, leave_probability: 0.0 };
                let uplinks = vec![f64::MAX];
                let boxes = Boxes::new(log.clone(), model, uplinks, Default::default(), notes, 1);
                let list = list.map(|at| BoxList::start(log, at, 0)).transpose()?;
                for id in 0..count {
                    let port = address.port().checked_add(u16::try_from(id)?).ok_or("no port after 65535")?;
                    let at = SocketAddr::new(address.ip(), port);
                    boxes.add(BoxSpec { id, zone: 0, cell: id, rack: 0, link_kb, places }, at, false)?;
                    println!("box {id} listens at {at}");
                    if let Some(list) = &list {
                        list.set(list_entry(id, at));
                    }
                }
                let _ = boxes.start_link_monitor()?.join();
                Ok(ExitCode::SUCCESS)
            }
            Standin::List { address, boxes } => {
                let list = BoxList::start(Log::default(), address, 0)?;
                for (id, at) in boxes.iter().enumerate() {
                    list.set(list_entry(u32::try_from(id)?, *at));
                }
                println!("list of {} boxes listens at {}", boxes.len(), list.address());
                loop {
                    std::thread::park();
                }
            }
            Standin::Players { front, title, class, count, every_ms, watch_ms } => {
                let watch = Duration::from_millis(watch_ms);
                let mut threads = Vec::new();
                for number in 0..count {
                    let params = json!({
                        "viewer": format!("player-{number}"), "title": title, "class": class,
                        "top_rung": 99, "patience_ms": 3000
                    });
                    threads.push(std::thread::spawn(move || play_session(front, &params, watch).to_string()));
                    std::thread::sleep(Duration::from_millis(every_ms));
                }
                for (number, thread) in threads.into_iter().enumerate() {
                    println!("player-{number}: {}", thread.join().unwrap_or_else(|_| "lost".to_owned()));
                }
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}

fn list_entry(id: u32, address: SocketAddr) -> ListEntry {
    ListEntry { id, address, zone: 0, cell: id, state: ListState::Ready, size_units: 1.0, started: None }
}

fn play_session(front: SocketAddr, params: &serde_json::Value, watch: Duration) -> String {
    let run = || -> Result<String, Box<dyn Error>> {
        let mut connection = PlayerConnection::connect(front, Duration::from_secs(2))?;
        let (answer, _) = open_session(&mut connection, params)?;
        if let Some(session) = answer["result"]["session"].as_str() {
            std::thread::sleep(watch);
            let closed = connection.call("session.close", &json!({"session": session}));
            closed.map_err(describe_error)?;
        }
        Ok(answer.to_string())
    };
    run().unwrap_or_else(|error| error.to_string())
}

fn describe_error(error: ReceiveError) -> String {
    match error {
        ReceiveError::TimedOut => "no message within the time limit".to_owned(),
        ReceiveError::Closed(reason) => format!("the connection closed: {reason}"),
    }
}

fn open_session(
    connection: &mut PlayerConnection,
    params: &serde_json::Value,
) -> Result<(serde_json::Value, Vec<serde_json::Value>), Box<dyn Error>> {
    let id = connection.call("session.open", params).map_err(describe_error)?;
    let patience = params["patience_ms"].as_u64().unwrap_or(0);
    let mut other_messages = Vec::new();
    let deadline = Instant::now() + Duration::from_millis(patience + 500);
    let answer = connection.response(id, deadline, &mut other_messages).map_err(describe_error)?;
    Ok((answer, other_messages))
}

/// Arguments of `salttally open`.
#[derive(Args)]
pub struct Open {
    /// Address of the front
    #[arg(long, default_value = "127.0.0.1:7001")]
    front: SocketAddr,
    /// Title of the session
    title: String,
    /// Class of the session
    #[arg(long)]
    class: String,
    /// Name of the viewer
    #[arg(long, default_value = "shell")]
    viewer: String,
    /// Highest rung that the player can use
    #[arg(long, default_value_t = 99)]
    top_rung: u64,
    /// Give up after this time, ms
    #[arg(long, default_value_t = 3_000)]
    patience_ms: u64,
    /// Time to watch, ms
    #[arg(long, default_value_t = 0)]
    watch_ms: u64,
}

impl Open {
    /// Opens a session, prints the answer and all notifications, and closes the session.
    pub fn run(self) -> CommandResult {
        let params = json!({
            "viewer": self.viewer, "title": self.title, "class": self.class, "top_rung": self.top_rung,
            "patience_ms": self.patience_ms
        });
        let mut connection = PlayerConnection::connect(self.front, Duration::from_secs(2))?;
        let (answer, mut messages) = open_session(&mut connection, &params)?;
        println!("{answer}");
        let Some(session) = answer["result"]["session"].as_str() else {
            return Ok(ExitCode::from(if answer["error"]["code"] == -32001 { 3 } else { 4 }));
        };
        let deadline = Instant::now() + Duration::from_millis(self.watch_ms);
        loop {
            for message in messages.drain(..) {
                println!("{message}");
            }
            match connection.next(deadline) {
                Ok(message) => messages.push(message),
                Err(ReceiveError::TimedOut) => break,
                Err(error) => return Err(describe_error(error).into()),
            }
        }
        let id = connection.call("session.close", &json!({"session": session})).map_err(describe_error)?;
        let closed = connection
            .response(id, Instant::now() + Duration::from_secs(2), &mut messages)
            .map_err(describe_error)?;
        println!("{closed}");
        Ok(ExitCode::SUCCESS)
    }
}
