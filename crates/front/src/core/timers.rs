//! A single queue of deadlines, so that the engine needs only one timer and never polls.

use std::collections::BTreeSet;

use salttally::interface::{Micros, ServerId, SessionId};

use salttally_copies::core::Incarnation;

use super::ConnId;

/// A deadline of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deadline {
    /// An attempt times out.
    AttemptTimeout(SessionId, u32),
    /// The decider asked to be woken with this tag.
    Wake(u64),
    /// A session's answer is overdue.
    AnswerOverdue(SessionId),
    /// Nobody has claimed a session that waits for its viewer.
    ClaimTimeout(SessionId),
    /// A moved session can no longer be reopened.
    MovedExpiry(SessionId),
    /// The event stream of a box is to be reopened.
    ReopenStream(ServerId, u64),
    /// The event stream of a box may have been silent for too long.
    StreamSilence(ServerId, u64),
    /// A release is to be retried.
    RetryRelease(ServerId, SessionId, u32),
    /// A box is to be asked again which sessions it holds of an incarnation.
    RetryClaim(ServerId, Incarnation),
    /// The lease is to be checked.
    CheckLease,
    /// Checks whether an earlier incarnation, of which a box reported this session, has been taken over.
    OrphanSession(ServerId, SessionId, u32),
    /// A request to a box has reached its time limit.
    RequestTimeout(u64),
    /// An idle connection may be due for closing.
    IdleTimeout(ConnId),
}

/// The queue. Equal entries are stored once. `D` is the type of deadline.
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
    pub fn set(&mut self, at: Micros, deadline: D) {
        self.queue.insert((at, deadline));
    }

    /// Removes an entry that is no longer needed, so that the queue is only as long as the work in progress.
    pub fn cancel(&mut self, at: Micros, deadline: D) {
        self.queue.remove(&(at, deadline));
    }

    /// When the earliest entry is due.
    pub fn next_at(&self) -> Option<Micros> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest entry, if it is due.
    pub fn pop(&mut self, now: Micros) -> Option<D> {
        if self.next_at()? > now {
            return None;
        }
        self.queue.pop_first().map(|(_, deadline)| deadline)
    }

    /// All entries, earliest first.
    pub fn entries(&self) -> impl Iterator<Item = &(Micros, D)> {
        self.queue.iter()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
