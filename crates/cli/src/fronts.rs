//! Fronts of a rehearsal, in this process or as processes of the daemon.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use salttally_front::settings::Settings;
use salttally_front::Front;
use salttally_standin::day::FrontController;

use crate::Against;

/// Time limit of an orderly shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

enum RunningFront {
    Library(Box<Front>),
    Daemon(Child),
}

/// The fronts of a rehearsal and the folder for their files.
pub struct FrontFleet {
    against: Against,
    folder: PathBuf,
    running: BTreeMap<usize, RunningFront>,
    start_counts: BTreeMap<usize, usize>,
    /// Decision records, each with the settings of its front.
    pub records: Vec<(PathBuf, PathBuf)>,
}

impl FrontFleet {
    /// Creates a fleet whose settings, remembered lists and records are written to a folder.
    pub fn new(against: Against, folder: &Path) -> FrontFleet {
        let (running, start_counts) = (BTreeMap::new(), BTreeMap::new());
        FrontFleet { against, folder: folder.to_owned(), running, start_counts, records: Vec::new() }
    }

    /// Shuts all fronts down in an orderly way.
    pub fn shut_down(&mut self) {
        for running in std::mem::take(&mut self.running).into_values() {
            match running {
                RunningFront::Library(front) => {
                    front.shut_down(SHUTDOWN_TIMEOUT);
                }
                RunningFront::Daemon(mut child) => {
                    // SIGTERM makes the daemon shut down in an orderly way.
                    let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
                    let _ = child.wait();
                }
            }
        }
    }
}

impl FrontController for FrontFleet {
    fn start(&mut self, number: usize, settings: &str) -> io::Result<()> {
        if self.running.contains_key(&number) {
            // Two faults that both had killed this front have ended.
            return Ok(());
        }
        let start_count = self.start_counts.entry(number).or_insert(0);
        *start_count += 1;
        let file = |name: &str| self.folder.join(format!("f{number}{name}"));
        let (config, record) = (file(".kdl"), file(&format!("-{start_count}.decisions.jsonl")));
        // The list that the front remembers over a restart is part of the day.
        let list = file(".list");
        let remember = format!("box-list \"$1\" remember={:?}", list.display().to_string());
        let text: Vec<String> = settings
            .lines()
            .map(|line| match line.strip_prefix("box-list ") {
                Some(address) => remember.replace("\"$1\"", address),
                None => line.to_owned(),
            })
            .collect();
        fs::write(&config, text.join("\n"))?;
        self.records.push((record.clone(), config.clone()));
        let running = match self.against {
            Against::Library => {
                let mut settings =
                    Settings::load(&config).map_err(|error| io::Error::other(error.to_string()))?;
                settings.record = Some(record);
                let front = Front::start(settings).map_err(|error| io::Error::other(error.to_string()))?;
                RunningFront::Library(Box::new(front))
            }
            Against::Daemon => {
                let mut child = Command::new(daemon_path()?)
                    .arg("--config")
                    .arg(&config)
                    .arg("--record")
                    .arg(&record)
                    .args(["--log-level", "warn"])
                    .stdout(Stdio::piped())
                    .spawn()?;
                let mut line = String::new();
                if let Some(out) = child.stdout.take() {
                    BufReader::new(out).read_line(&mut line)?;
                }
                if !line.starts_with("listening ") {
                    return Err(io::Error::other(format!(
                        "salttallyd did not start with {}",
                        config.display()
                    )));
                }
                RunningFront::Daemon(child)
            }
        };
        self.running.insert(number, running);
        Ok(())
    }

    fn kill(&mut self, number: usize) {
        match self.running.remove(&number) {
            Some(RunningFront::Library(front)) => front.kill(),
            Some(RunningFront::Daemon(mut child)) => {
                let _ = child.kill();
                let _ = child.wait();
            }
            None => {}
        }
    }
}

/// Returns the path of the daemon, which is expected beside this program.
fn daemon_path() -> io::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("salttallyd");
    if path.exists() {
        return Ok(path);
    }
    Err(io::Error::other(format!("{} does not exist: build it with `cargo build --release`", path.display())))
}
