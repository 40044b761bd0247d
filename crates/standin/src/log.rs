//! The one record of a day, and its clock.

use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use salttally_judge::record::{self, Event, Line};

/// Where every stand-in writes what crosses its sockets. The time is that of the call, so a line of something
/// that is about to be written is no later than its reading at the other side.
#[derive(Clone, Debug)]
pub struct Log {
    started: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Default for Log {
    fn default() -> Log {
        Log { started: Instant::now(), lines: Arc::default() }
    }
}

impl Log {
    /// Time since the start of the day, us.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// The moment of a time of the day.
    pub fn moment(&self, at: u64) -> Instant {
        self.started + Duration::from_micros(at)
    }

    /// Writes a line.
    pub fn write(&self, what: Event) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        // Under the lock, so that the record is in the order of its times.
        lines.push(Line { at: self.now(), what });
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Writes all lines so far to a file.
    pub fn save(&self, path: &Path) -> io::Result<()> {
        let mut file = io::BufWriter::new(std::fs::File::create(path)?);
        for line in self.lines() {
            writeln!(file, "{}", record::write(&line))?;
        }
        file.flush()
    }
}
