//! The only module of the front that reads the system clock.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::event::Timespec;
use salttally::interface::Micros;

/// Clock of the front: starts at the Unix time in microseconds and then advances monotonically, whatever
/// happens to the system clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    base: Micros,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        let base =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros);
        Clock { started: Instant::now(), base }
    }

    /// Current time.
    pub fn now(&self) -> Micros {
        self.base + self.started.elapsed().as_micros() as Micros
    }

    /// Current instant, to measure elapsed time from.
    pub fn instant_now(&self) -> Instant {
        Instant::now()
    }

    /// Time elapsed since that instant, ns.
    pub fn nanos_since(&self, instant: Instant) -> u64 {
        u64::try_from(instant.elapsed().as_nanos()).unwrap_or(u64::MAX)
    }

    /// The instant of this time, to wait for. A time before the start of the clock gives the start.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// A duration as a system `timespec`.
pub fn timespec(duration: Micros) -> Timespec {
    let nanos = i64::try_from(duration.saturating_mul(1_000)).unwrap_or(i64::MAX);
    Timespec { tv_sec: nanos / 1_000_000_000, tv_nsec: nanos % 1_000_000_000 }
}
