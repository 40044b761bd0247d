//! The record of decisions: each event that the module was told and what it answered, as JSON lines.
//!
//! A record and the settings are enough to make every decision again, see [`replay()`]: a front whose record
//! replays to the same actions has taken all its decisions from the module. Writing never holds the front up;
//! lines that the disk does not take in time are left out and counted, and a record with a gap does not replay.

pub mod lines;

use std::fs::File;
use std::io::{self, BufRead, BufWriter, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Sender, TrySendError};
use salttally::controller::Controller;
use salttally::interface::{Action, Event, Micros, Settings};
use thiserror::Error;

use lines::{Born, Line, Step};

/// Lines that may wait for the disk.
const WAITING: usize = 65_536;

/// Where lines go.
pub struct Recorder {
    lines: Option<Sender<String>>,
    lost: Arc<AtomicU64>,
    writer: Option<thread::JoinHandle<()>>,
}

impl Recorder {
    /// Creates the file, with its first line.
    pub fn create(path: &Path, born: &Born) -> io::Result<Recorder> {
        let mut file = BufWriter::new(File::create(path)?);
        writeln!(file, "{}", lines::write(&Line::Born(born.clone())))?;
        let (lines, inbox) = crossbeam_channel::bounded::<String>(WAITING);
        let lost = Arc::new(AtomicU64::new(0));
        let missing = Arc::clone(&lost);
        let write = move || {
            while let Ok(line) = inbox.recv() {
                if writeln!(file, "{line}").is_err() {
                    missing.fetch_add(1, Ordering::Relaxed);
                }
                // A killed front leaves what it has told, but for the last moments.
                if inbox.is_empty() && file.flush().is_err() {
                    missing.fetch_add(1, Ordering::Relaxed);
                }
            }
            let _ = file.flush();
        };
        let writer = thread::Builder::new().name("record".into()).stack_size(128 * 1024).spawn(write)?;
        Ok(Recorder { lines: Some(lines), lost, writer: Some(writer) })
    }

    /// What hands steps to the record.
    pub fn tap(&self) -> impl FnMut(Micros, &Event, &[Action]) + Send + Sync + 'static {
        let (lines, lost) = (self.lines.clone(), Arc::clone(&self.lost));
        move |at, event, actions| {
            let Some(lines) = &lines else { return };
            let line = lines::write(&Line::Step(Step::new(at, event, actions)));
            if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = lines.try_send(line) {
                lost.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Lines that were left out.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    /// Writes out what waits; all taps must be gone.
    pub fn finish(&mut self) {
        self.lines = None;
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
        if self.lost() > 0 {
            tracing::warn!(lost = self.lost(), "lines of the record were left out");
        }
    }
}

/// Why a record does not replay.
#[derive(Debug, Error)]
pub enum BadRecord {
    /// The file cannot be read.
    #[error("line {0}: {1}")]
    Read(usize, io::Error),
    /// Not a line of a record.
    #[error("line {0}: {1}")]
    Line(usize, serde_json::Error),
    /// It does not begin with a start.
    #[error("line 1: a record begins with the front's start")]
    NoStart,
    /// The module decides otherwise.
    #[error("line {line}: the record has {recorded}, the module decides {decided}")]
    Differs {
        /// Where.
        line: usize,
        /// As recorded.
        recorded: String,
        /// As decided now.
        decided: String,
    },
}

/// Decides everything in a record again. Returns the number of steps that were the same; the first that is
/// not is an error.
pub fn replay(record: impl BufRead, settings: &Settings) -> Result<usize, BadRecord> {
    let mut controller = None;
    let (mut steps, mut actions) = (0, Vec::new());
    for (at, line) in record.lines().enumerate() {
        let line = line.map_err(|error| BadRecord::Read(at + 1, error))?;
        let line: Line = serde_json::from_str(&line).map_err(|error| BadRecord::Line(at + 1, error))?;
        match line {
            Line::Born(born) => controller = Some(Controller::new(settings.clone(), born.seed)),
            Line::Step(step) => {
                let controller = controller.as_mut().ok_or(BadRecord::NoStart)?;
                actions.clear();
                controller.handle(step.at, &step.event(), &mut actions);
                let decided: Vec<lines::Done> = actions.iter().map(lines::Done::from).collect();
                if decided != step.did {
                    let show = |done: &[lines::Done]| serde_json::to_string(done).unwrap_or_default();
                    let (recorded, decided) = (show(&step.did), show(&decided));
                    return Err(BadRecord::Differs { line: at + 1, recorded, decided });
                }
                steps += 1;
            }
        }
    }
    Ok(steps)
}
