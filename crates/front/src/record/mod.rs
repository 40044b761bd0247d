//! The record of decisions: each event of the decision module with the actions it answered, as JSON lines.
//!
//! A record and the settings suffice to repeat every decision, see [`replay()`]. If a record replays to the
//! same actions, the front took all its decisions from the decision module. Writing never blocks the front:
//! lines that the disk does not take in time are dropped and counted, and a record with a gap does not
//! replay.

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

use lines::{FrontStart, Line, Step};

/// Maximum number of lines that wait for the disk.
const MAX_QUEUED_LINES: usize = 65_536;

/// Writes a record on a thread of its own.
pub struct Recorder {
    lines: Option<Sender<String>>,
    dropped: Arc<AtomicU64>,
    writer: Option<thread::JoinHandle<()>>,
}

impl Recorder {
    /// Creates the file and writes the first line.
    pub fn create(path: &Path, start: &FrontStart) -> io::Result<Recorder> {
        let mut file = BufWriter::new(File::create(path)?);
        writeln!(file, "{}", lines::write_line(&Line::Start(start.clone())))?;
        let (lines, inbox) = crossbeam_channel::bounded::<String>(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        let write = move || {
            while let Ok(line) = inbox.recv() {
                if writeln!(file, "{line}").is_err() {
                    writer_dropped.fetch_add(1, Ordering::Relaxed);
                }
                // Flushed when idle, so that the record of a killed front lacks only its last moments.
                if inbox.is_empty() && file.flush().is_err() {
                    writer_dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
            let _ = file.flush();
        };
        let writer = thread::Builder::new().name("record".into()).stack_size(128 * 1024).spawn(write)?;
        Ok(Recorder { lines: Some(lines), dropped, writer: Some(writer) })
    }

    /// An observer of the decision module that adds its steps to the record.
    pub fn observer(&self) -> impl FnMut(Micros, &Event, &[Action]) + Send + Sync + 'static {
        let (lines, dropped) = (self.lines.clone(), Arc::clone(&self.dropped));
        move |at, event, actions| {
            let Some(lines) = &lines else { return };
            let line = lines::write_line(&Line::Step(Step::new(at, event, actions)));
            if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = lines.try_send(line) {
                dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Number of lines that were dropped.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes the lines that wait; all observers must have been dropped before.
    pub fn finish(&mut self) {
        self.lines = None;
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
        if self.dropped_lines() > 0 {
            tracing::warn!(lost = self.dropped_lines(), "lines of the record were left out");
        }
    }
}

/// Why a record does not replay.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The file cannot be read.
    #[error("line {0}: {1}")]
    Read(usize, io::Error),
    /// A line is no valid line of a record.
    #[error("line {0}: {1}")]
    Line(usize, serde_json::Error),
    /// The record does not begin with the start of a front.
    #[error("line 1: a record must begin with the start of a front")]
    NoStart,
    /// The decision module decides differently.
    #[error("line {line}: recorded {recorded}, but the decision module decides {decided}")]
    Differs {
        /// Line number.
        line: usize,
        /// The recorded actions.
        recorded: String,
        /// The actions decided now.
        decided: String,
    },
}

/// Repeats every decision of a record. Returns the number of steps that were the same; the first that differs
/// is an error.
pub fn replay(record: impl BufRead, settings: &Settings) -> Result<usize, RecordError> {
    let mut controller = None;
    let (mut steps, mut actions) = (0, Vec::new());
    for (at, line) in record.lines().enumerate() {
        let line = line.map_err(|error| RecordError::Read(at + 1, error))?;
        let line: Line = serde_json::from_str(&line).map_err(|error| RecordError::Line(at + 1, error))?;
        match line {
            Line::Start(start) => controller = Some(Controller::new(settings.clone(), start.seed)),
            Line::Step(step) => {
                let controller = controller.as_mut().ok_or(RecordError::NoStart)?;
                actions.clear();
                controller.handle(step.at, &step.to_event(), &mut actions);
                let decided: Vec<lines::RecordedAction> =
                    actions.iter().map(lines::RecordedAction::from).collect();
                if decided != step.actions {
                    let show = |actions: &[lines::RecordedAction]| {
                        serde_json::to_string(actions).unwrap_or_default()
                    };
                    let (recorded, decided) = (show(&step.actions), show(&decided));
                    return Err(RecordError::Differs { line: at + 1, recorded, decided });
                }
                steps += 1;
            }
        }
    }
    Ok(steps)
}
