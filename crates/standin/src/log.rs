//! The event log of a day, and its clock.

use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use salttally_judge::record::{self, Event, Line};

/// Event log shared by all simulated peers. An event is stamped when [`Log::write`] is called: one that is logged
/// before its bytes are written is stamped no later than the other side can read them.
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

    /// Converts a time of the day, us, to an instant.
    pub fn moment(&self, at: u64) -> Instant {
        self.started + Duration::from_micros(at)
    }

    /// Appends an event.
    pub fn write(&self, event: Event) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        // Taken under the lock, so that events are ordered by time.
        lines.push(Line { at: self.now(), what: event });
    }

    /// All events so far.
    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Writes all events so far to a file, one a line.
    pub fn save(&self, path: &Path) -> io::Result<()> {
        let mut file = io::BufWriter::new(std::fs::File::create(path)?);
        for line in self.lines() {
            writeln!(file, "{}", record::write(&line))?;
        }
        file.flush()
    }
}
