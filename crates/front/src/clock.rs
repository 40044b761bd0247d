//! The one place where the front meets the real clock.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::event::Timespec;
use salttally::interface::Micros;

/// The front's own clock: microseconds since the Unix epoch at its start, and from then on only forward,
/// whatever is done to the machine's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    base: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let base =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros);
        Clock { started: Instant::now(), base }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.base + self.started.elapsed().as_micros() as Micros
    }

    /// This moment, to measure from.
    pub fn instant_now(&self) -> Instant {
        Instant::now()
    }

    /// How long ago that moment was, ns.
    pub fn nanos_since(&self, moment: Instant) -> u64 {
        u64::try_from(moment.elapsed().as_nanos()).unwrap_or(u64::MAX)
    }

    /// The moment of this time, for a wait; one that is past is now.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// A span of time as the system takes it.
pub fn timespec(span: Micros) -> Timespec {
    let nanos = i64::try_from(span.saturating_mul(1_000)).unwrap_or(i64::MAX);
    Timespec { tv_sec: nanos / 1_000_000_000, tv_nsec: nanos % 1_000_000_000 }
}
