//! Fronts of a rehearsal: in this process, or as processes of the daemon.

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

/// Time for an ordered end.
const END: Duration = Duration::from_secs(10);

enum Running {
    Library(Box<Front>),
    Daemon(Child),
}

/// The fronts of a rehearsal and where they write.
pub struct Company {
    against: Against,
    folder: PathBuf,
    running: BTreeMap<usize, Running>,
    starts: BTreeMap<usize, usize>,
    /// Records of decisions, with the settings that each was made by.
    pub records: Vec<(PathBuf, PathBuf)>,
}

impl Company {
    /// Fronts that write their settings, remembered lists and records into a folder.
    pub fn new(against: Against, folder: &Path) -> Company {
        let (running, starts) = (BTreeMap::new(), BTreeMap::new());
        Company { against, folder: folder.to_owned(), running, starts, records: Vec::new() }
    }

    /// Ends all of them in order.
    pub fn end(&mut self) {
        for running in std::mem::take(&mut self.running).into_values() {
            match running {
                Running::Library(front) => {
                    front.shut_down(END);
                }
                Running::Daemon(mut child) => {
                    // The daemon's own way to end; a process of ours, by its id.
                    let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
                    let _ = child.wait();
                }
            }
        }
    }
}

impl FrontController for Company {
    fn start(&mut self, number: usize, settings: &str) -> io::Result<()> {
        if self.running.contains_key(&number) {
            // Two troubles have ended that had both killed it.
            return Ok(());
        }
        let start = self.starts.entry(number).or_insert(0);
        *start += 1;
        let file = |name: &str| self.folder.join(format!("f{number}{name}"));
        let (config, record) = (file(".kdl"), file(&format!("-{start}.decisions.jsonl")));
        // What the front remembers over a restart is part of the day.
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
                Running::Library(Box::new(front))
            }
            Against::Daemon => {
                let mut child = Command::new(daemon()?)
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
                Running::Daemon(child)
            }
        };
        self.running.insert(number, running);
        Ok(())
    }

    fn kill(&mut self, number: usize) {
        match self.running.remove(&number) {
            Some(Running::Library(front)) => front.kill(),
            Some(Running::Daemon(mut child)) => {
                let _ = child.kill();
                let _ = child.wait();
            }
            None => {}
        }
    }
}

/// The daemon beside this program.
fn daemon() -> io::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("salttallyd");
    if path.exists() {
        return Ok(path);
    }
    Err(io::Error::other(format!("{} is not there: build it with `cargo build --release`", path.display())))
}
