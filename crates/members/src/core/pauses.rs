//! Detects time during which this process was not running: stopped, swapped out, or without a processor.
//!
//! A state machine announces when it expects its next call. If the call comes much later, the process was not running
//! in between: silence of others during that time proves nothing, and timers must not continue as if no time had
//! passed (Lifeguard, Dadgar et al. 2017, section III, on slow members; here the slow member measures itself).

use super::Micros;

/// A call that is late by less than this is ordinary scheduling delay.
pub const PAUSE_THRESHOLD: Micros = 200_000;

/// Measures how long the process was not running.
#[derive(Clone, Debug, Default)]
pub struct PauseDetector {
    expected_at: Option<Micros>,
    total: Micros,
    count: u64,
}

impl PauseDetector {
    /// A detector that has measured no pause yet.
    pub fn new() -> PauseDetector {
        PauseDetector::default()
    }

    /// Records a call; returns the length of the pause before it if the call was late by `PAUSE_THRESHOLD` or more.
    pub fn check(&mut self, now: Micros) -> Option<Micros> {
        let paused = now.saturating_sub(self.expected_at.take()?);
        if paused < PAUSE_THRESHOLD {
            return None;
        }
        self.total += paused;
        self.count += 1;
        Some(paused)
    }

    /// Records when the next call is expected.
    pub fn expect_call_at(&mut self, at: Micros) {
        self.expected_at = Some(at);
    }

    /// Total length of all pauses so far, and their number.
    pub fn total(&self) -> (Micros, u64) {
        (self.total, self.count)
    }
}
