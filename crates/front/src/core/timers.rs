//! One queue of all that is due, so that the edge needs one timer and never polls.

use std::collections::BTreeSet;

use salttally::interface::{Micros, ServerId, SessionId};

use salttally_copies::core::Life;

use super::ConnId;

/// What may be due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deadline {
    /// An attempt runs out of time.
    AttemptTimeout(SessionId, u32),
    /// The module wants to be woken with this tag.
    Wake(u64),
    /// A session's answer is overdue.
    AnswerOverdue(SessionId),
    /// Nobody claimed a resumed session.
    ClaimTimeout(SessionId),
    /// A moved session is no longer waited for.
    MovedExpiry(SessionId),
    /// The stream to a box is to be tried again.
    ReopenStream(ServerId, u64),
    /// The stream to a box may be silent.
    StreamSilence(ServerId, u64),
    /// A release is to be tried again.
    RetryRelease(ServerId, SessionId, u32),
    /// A box is to be asked again what it holds of a life.
    RetryClaim(ServerId, Life),
    /// The lease is to be looked at.
    CheckLease,
    /// Nobody has taken over a life of which a box named this session.
    OrphanSession(ServerId, SessionId, u32),
    /// A request to a box has taken as long as it may.
    RequestTimeout(u64),
    /// An idle connection may have been kept long enough.
    IdleTimeout(ConnId),
}

/// The queue; equal entries fall together. `D` is what may be due where the ledger is another one.
#[derive(Clone, Debug)]
pub struct Timers<D = Deadline> {
    queue: BTreeSet<(Micros, D)>,
}

impl<D> Default for Timers<D> {
    fn default() -> Self {
        Timers { queue: BTreeSet::new() }
    }
}

impl<D: Ord> Timers<D> {
    /// Adds an entry.
    pub fn set(&mut self, at: Micros, due: D) {
        self.queue.insert((at, due));
    }

    /// Takes an entry out that will not be needed, so that the queue is as long as what is under way.
    pub fn cancel(&mut self, at: Micros, due: D) {
        self.queue.remove(&(at, due));
    }

    /// When the first entry is due.
    pub fn next_at(&self) -> Option<Micros> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Takes out one entry that is due.
    pub fn pop(&mut self, now: Micros) -> Option<D> {
        if self.next_at()? > now {
            return None;
        }
        self.queue.pop_first().map(|(_, due)| due)
    }

    /// All entries, the earliest first.
    pub fn entries(&self) -> impl Iterator<Item = &(Micros, D)> {
        self.queue.iter()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing is waited for.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
