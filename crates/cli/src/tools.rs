//! The smaller commands.

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

type Done = Result<ExitCode, Box<dyn Error>>;

fn shown(error: Box<SettingError>) -> ExitCode {
    eprintln!("salttally: {error}");
    eprintln!("{:?}", miette::Report::new(*error));
    ExitCode::from(2)
}

/// `salttally judge`.
pub fn judge(path: &Path, as_json: bool) -> Done {
    let lines = read(BufReader::new(File::open(path)?))?;
    let verdict = salttally_judge::judge(&lines);
    if as_json {
        println!("{}", verdict_json(&verdict));
    } else {
        print_verdict(&verdict);
    }
    Ok(if verdict.all_kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// `salttally replay`.
pub fn replay(path: &Path, config: &Path) -> Done {
    let settings = match Settings::load(config) {
        Ok(settings) => settings,
        Err(error) => return Ok(shown(error)),
    };
    match record::replay(BufReader::new(File::open(path)?), &settings.decision) {
        Ok(steps) => {
            println!("{steps} steps, each as the module alone decides it");
            Ok(ExitCode::SUCCESS)
        }
        Err(error) => {
            println!("{}: {error}", path.display());
            Ok(ExitCode::FAILURE)
        }
    }
}

/// `salttally check`.
pub fn check(config: &Path) -> Done {
    Ok(match Settings::load(config) {
        Ok(settings) => {
            println!(
                "{}: holds; front {}, {} classes, {} rungs, {} titles on {} cells",
                config.display(),
                settings.name,
                settings.classes.len(),
                settings.decision.ladder.len(),
                settings.titles.len(),
                settings.decision.cells
            );
            ExitCode::SUCCESS
        }
        Err(error) => shown(error),
    })
}

/// One kind of stand-in.
#[derive(Subcommand)]
pub enum Standin {
    /// Media boxes, and the list that names them
    Boxes {
        /// How many
        #[arg(long, default_value_t = 1)]
        count: u32,
        /// Address of the first; the others stand on the ports after it
        #[arg(long, default_value = "127.0.0.1:7201")]
        address: SocketAddr,
        /// Also serve the list of these boxes there
        #[arg(long, value_name = "ADDRESS")]
        list: Option<SocketAddr>,
        /// Link of each, kB a second
        #[arg(long, default_value_t = 10_000.0)]
        link_kb: f64,
        /// Streams of each at most
        #[arg(long, default_value_t = 40)]
        places: usize,
    },
    /// A box list that names boxes which run elsewhere; each on the cell of its place
    List {
        /// Where the list listens
        #[arg(long, default_value = "127.0.0.1:7200")]
        address: SocketAddr,
        /// Addresses of the boxes
        #[arg(required = true)]
        boxes: Vec<SocketAddr>,
    },
    /// Players that come one after another
    Players {
        /// Front
        #[arg(long, default_value = "127.0.0.1:7001")]
        front: SocketAddr,
        /// What they want
        #[arg(long)]
        title: String,
        /// Class
        #[arg(long)]
        class: String,
        /// How many come
        #[arg(long, default_value_t = 10)]
        count: u32,
        /// Pause between two, ms
        #[arg(long, default_value_t = 200)]
        every_ms: u64,
        /// How long each watches, ms
        #[arg(long, default_value_t = 2_000)]
        watch_ms: u64,
    },
}

impl Standin {
    /// Runs until interrupted, or until all players have gone.
    pub fn run(self) -> Done {
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
                        list.set(named(id, at));
                    }
                }
                let _ = boxes.start_link_monitor()?.join();
                Ok(ExitCode::SUCCESS)
            }
            Standin::List { address, boxes } => {
                let list = BoxList::start(Log::default(), address, 0)?;
                for (id, at) in boxes.iter().enumerate() {
                    list.set(named(u32::try_from(id)?, *at));
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
                    threads.push(std::thread::spawn(move || one(front, &params, watch).to_string()));
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

fn named(id: u32, address: SocketAddr) -> ListEntry {
    ListEntry { id, address, zone: 0, cell: id, state: ListState::Ready, size_units: 1.0, started: None }
}

fn one(front: SocketAddr, params: &serde_json::Value, watch: Duration) -> String {
    let played = || -> Result<String, Box<dyn Error>> {
        let mut line = PlayerConnection::connect(front, Duration::from_secs(2))?;
        let (answer, _) = open(&mut line, params)?;
        if let Some(session) = answer["result"]["session"].as_str() {
            std::thread::sleep(watch);
            let closed = line.call("session.close", &json!({"session": session}));
            closed.map_err(said)?;
        }
        Ok(answer.to_string())
    };
    played().unwrap_or_else(|error| error.to_string())
}

fn said(error: ReceiveError) -> String {
    match error {
        ReceiveError::TimedOut => "nothing was heard in time".to_owned(),
        ReceiveError::Closed(why) => format!("the connection ended: {why}"),
    }
}

fn open(
    line: &mut PlayerConnection,
    params: &serde_json::Value,
) -> Result<(serde_json::Value, Vec<serde_json::Value>), Box<dyn Error>> {
    let id = line.call("session.open", params).map_err(said)?;
    let patience = params["patience_ms"].as_u64().unwrap_or(0);
    let mut aside = Vec::new();
    let until = Instant::now() + Duration::from_millis(patience + 500);
    let answer = line.response(id, until, &mut aside).map_err(said)?;
    Ok((answer, aside))
}

/// Arguments of `salttally open`.
#[derive(Args)]
pub struct Open {
    /// Front
    #[arg(long, default_value = "127.0.0.1:7001")]
    front: SocketAddr,
    /// Title
    title: String,
    /// Class
    #[arg(long)]
    class: String,
    /// Name of the viewer
    #[arg(long, default_value = "shell")]
    viewer: String,
    /// Highest rung that can be used
    #[arg(long, default_value_t = 99)]
    top_rung: u64,
    /// Give up after so long, ms
    #[arg(long, default_value_t = 3_000)]
    patience_ms: u64,
    /// Watch for so long, ms
    #[arg(long, default_value_t = 0)]
    watch_ms: u64,
}

impl Open {
    /// Opens, prints the answer and the news, closes.
    pub fn run(self) -> Done {
        let params = json!({
            "viewer": self.viewer, "title": self.title, "class": self.class, "top_rung": self.top_rung,
            "patience_ms": self.patience_ms
        });
        let mut line = PlayerConnection::connect(self.front, Duration::from_secs(2))?;
        let (answer, mut news) = open(&mut line, &params)?;
        println!("{answer}");
        let Some(session) = answer["result"]["session"].as_str() else {
            return Ok(ExitCode::from(if answer["error"]["code"] == -32001 { 3 } else { 4 }));
        };
        let until = Instant::now() + Duration::from_millis(self.watch_ms);
        loop {
            for news in news.drain(..) {
                println!("{news}");
            }
            match line.next(until) {
                Ok(heard) => news.push(heard),
                Err(ReceiveError::TimedOut) => break,
                Err(error) => return Err(said(error).into()),
            }
        }
        let id = line.call("session.close", &json!({"session": session})).map_err(said)?;
        let closed = line.response(id, Instant::now() + Duration::from_secs(2), &mut news).map_err(said)?;
        println!("{closed}");
        Ok(ExitCode::SUCCESS)
    }
}
