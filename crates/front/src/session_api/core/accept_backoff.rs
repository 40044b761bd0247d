//! Accepting while something runs out.
//!
//! Danger: no file, thread or memory to be had. A loop that tries again at once takes a whole core from what plays,
//! and writes a line of log each time. So each shortage in a row doubles the pause, and is told once in a while
//! with how often it was met.

use std::collections::BTreeMap;

use salttally::interface::Micros;

/// First pause; it doubles.
const PAUSE_FIRST: Micros = 5_000;
/// Longest pause: whoever waits to be accepted waits no longer than this for room that there is.
const PAUSE_MOST: Micros = 320_000;
/// A shortage is told this often at most.
const TELL_EVERY: Micros = 10_000_000;

/// What there is none of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shortage {
    /// Files of this process or of the machine.
    Files,
    /// Memory, of the kernel's or for buffers.
    Memory,
    /// Threads.
    Threads,
}

impl Shortage {
    /// What an error of `accept` says; one of the connection alone, such as a reset before it was accepted, is none.
    pub fn of(error: Option<i32>) -> Option<Shortage> {
        match error? {
            libc::EMFILE | libc::ENFILE => Some(Shortage::Files),
            libc::ENOMEM | libc::ENOBUFS => Some(Shortage::Memory),
            _ => None,
        }
    }
}

/// What follows from a shortage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Pause before the next is accepted.
    pub pause: Micros,
    /// It is told now, with how often it was met since it was told last.
    pub tell: Option<u64>,
}

/// How accepting goes.
#[derive(Clone, Debug, Default)]
pub struct Accepting {
    in_a_row: u32,
    met: BTreeMap<Shortage, (u64, Option<Micros>)>,
}

impl Accepting {
    /// One was accepted.
    pub fn went_well(&mut self) {
        self.in_a_row = 0;
    }

    /// One could not be taken.
    pub fn short(&mut self, now: Micros, of: Shortage) -> Step {
        let pause = (PAUSE_FIRST << self.in_a_row.min(16)).min(PAUSE_MOST);
        self.in_a_row = self.in_a_row.saturating_add(1);
        let (met, told) = self.met.entry(of).or_default();
        *met += 1;
        let due = told.is_none_or(|told| told + TELL_EVERY <= now);
        let tell = due.then(|| std::mem::take(met));
        if due {
            *told = Some(now);
        }
        Step { pause, tell }
    }
}
