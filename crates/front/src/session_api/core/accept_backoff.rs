//! Backoff of the accept loop while the process lacks file descriptors, memory or threads.
//!
//! Danger: an accept loop that retries at once during such a shortage occupies a whole core, which the
//! running sessions need, and writes a log line per attempt. So each consecutive shortage doubles the pause,
//! and the log reports a shortage only now and then, with the number of occurrences.

use std::collections::BTreeMap;

use salttally::interface::Micros;

/// First pause; it doubles with each consecutive shortage.
const FIRST_PAUSE_US: Micros = 5_000;
/// Longest pause: it bounds how long a waiting connection is left in the queue once resources are free again.
const MAX_PAUSE_US: Micros = 320_000;
/// Minimum time between two log lines about the same shortage.
const REPORT_INTERVAL_US: Micros = 10_000_000;

/// A resource that ran out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shortage {
    /// File descriptors of this process or of the machine.
    Files,
    /// Kernel or buffer memory.
    Memory,
    /// Threads.
    Threads,
}

impl Shortage {
    /// The shortage behind an error of `accept`. Errors of a single connection, such as a reset before it was
    /// accepted, are no shortage.
    pub fn from_os_error(error: Option<i32>) -> Option<Shortage> {
        match error? {
            libc::EMFILE | libc::ENFILE => Some(Shortage::Files),
            libc::ENOMEM | libc::ENOBUFS => Some(Shortage::Memory),
            _ => None,
        }
    }
}

/// What to do about a shortage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Time to wait before the next `accept`.
    pub pause: Micros,
    /// If set, log the shortage now, with the number of occurrences since the last report.
    pub report: Option<u64>,
}

/// Exponential backoff of the accept loop.
#[derive(Clone, Debug, Default)]
pub struct AcceptBackoff {
    consecutive: u32,
    shortages: BTreeMap<Shortage, (u64, Option<Micros>)>,
}

impl AcceptBackoff {
    /// Records a successful accept.
    pub fn reset(&mut self) {
        self.consecutive = 0;
    }

    /// Records a failed accept and returns how to back off.
    pub fn record(&mut self, now: Micros, shortage: Shortage) -> Backoff {
        let pause = (FIRST_PAUSE_US << self.consecutive.min(16)).min(MAX_PAUSE_US);
        self.consecutive = self.consecutive.saturating_add(1);
        let (count, reported_at) = self.shortages.entry(shortage).or_default();
        *count += 1;
        let due = reported_at.is_none_or(|reported_at| reported_at + REPORT_INTERVAL_US <= now);
        let report = due.then(|| std::mem::take(count));
        if due {
            *reported_at = Some(now);
        }
        Backoff { pause, report }
    }
}
