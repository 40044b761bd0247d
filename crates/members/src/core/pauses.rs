//! Time during which this process was not running: stopped, swapped out, or without a processor.
//!
//! A core says when it wants to be called again. Called much later, the process was not running in between, and
//! nothing may be concluded from what was not heard in that time, nor may anything go on as if no time had gone
//! (Lifeguard, Dadgar et al. 2017, section III, of slow members; here the slow member measures itself).

use super::Micros;

/// Called later than asked by less than this, a process runs as processes do.
pub const LATE: Micros = 200_000;

/// Measures the time that a process was not running.
#[derive(Clone, Debug, Default)]
pub struct PauseDetector {
    asked: Option<Micros>,
    total: Micros,
    count: u64,
}

impl PauseDetector {
    /// None so far.
    pub fn new() -> PauseDetector {
        PauseDetector::default()
    }

    /// The core was called; tells how long the process had not been running, if that is worth heeding.
    pub fn check(&mut self, now: Micros) -> Option<Micros> {
        let lost = now.saturating_sub(self.asked.take()?);
        if lost < LATE {
            return None;
        }
        self.total += lost;
        self.count += 1;
        Some(lost)
    }

    /// The core wants to be called then.
    pub fn expect_call_at(&mut self, at: Micros) {
        self.asked = Some(at);
    }

    /// All of it so far, and how many times.
    pub fn total(&self) -> (Micros, u64) {
        (self.total, self.count)
    }
}
