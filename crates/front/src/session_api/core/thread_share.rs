//! The share of the engine thread that one player may use.
//!
//! The cost of a call is known only once it has been handled: an open runs the decision module, a status
//! costs hardly anything. So a connection is charged the time that its calls took on the engine thread, and
//! earns an equal part of half of that thread. While its credit is positive, its calls are handled before
//! those of connections without credit. The others get the time that is left, and where none is left they are
//! told to retry. This is deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) with the charge made
//! afterwards.
//!
//! Danger: a flood of cheap calls and a trickle of expensive ones must weigh alike, and a count of calls sees
//! only the flood. Danger: calls that free a place (close, cancel) must not be delayed by a flood, or the
//! flood keeps what it holds. They are always handled, and the next read from their sender is delayed.

use salttally::interface::Micros;

/// One part in this many of the engine thread is shared evenly by players; the rest is for boxes, the box
/// list and timers.
const SHARE_DIVISOR: u64 = 2;
/// Longest time over which credit adds up.
const CREDIT_WINDOW_US: Micros = 4_000_000;
/// Initial credit of a connection, and the lower bound of its credit limit. As long as any credit is left, an
/// open is handled at normal priority, even if it will cost more than that.
const INITIAL_CREDIT_US: i64 = 200;
/// Longest delay before the next read from a player. Meanwhile no pings are sent to it, and its own go
/// unanswered, so the delay must stay short.
const MAX_PAUSE_US: Micros = 1_000_000;
/// Upper bound of the time that one open is charged for: an open after a long pause is not charged all of the
/// front's work since.
const MAX_OPEN_OVERHEAD_NS: u64 = 5_000_000;
/// Assumed cost of a call before one has been handled.
const INITIAL_CALL_COST_US: i64 = 50;

/// Priority of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Handled in order of arrival.
    Normal,
    /// Handled when the engine thread is otherwise idle, if the queue has room.
    Deferred,
}

/// The preliminary charge for calls, until their cost is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    calls: u64,
    nanos: i64,
}

/// The cost of opens beside the calls themselves: connections to boxes that are made, end and are reported,
/// releases, timers. It can't be attributed to single opens, so each open is charged the recent mean.
#[derive(Clone, Debug, Default)]
pub struct OpenOverhead {
    /// Time spent since the last open, ns.
    unassigned_ns: u64,
    /// Running mean of the overhead per open, ns.
    mean_ns: u64,
}

impl OpenOverhead {
    /// Adds time that the engine thread spent on work that belongs to no call.
    pub fn record_cost(&mut self, nanos: u64) {
        self.unassigned_ns = self.unassigned_ns.saturating_add(nanos);
    }

    /// Returns the overhead to charge for this many opens, ns.
    pub fn charge_opens(&mut self, opens: u64) -> u64 {
        for _ in 0..opens.min(64) {
            let spent = std::mem::take(&mut self.unassigned_ns).min(MAX_OPEN_OVERHEAD_NS);
            self.mean_ns = (self.mean_ns * 15 + spent) / 16;
        }
        self.mean_ns.saturating_mul(opens)
    }
}

/// The account of one player.
#[derive(Clone, Debug)]
pub struct ThreadShare {
    /// Credit in nanoseconds of the engine thread.
    credit_ns: i64,
    updated_at: Micros,
    /// Running mean of the cost of a call, ns.
    mean_ns: i64,
}

impl ThreadShare {
    /// The account of a new connection.
    pub fn new(now: Micros) -> ThreadShare {
        ThreadShare {
            credit_ns: INITIAL_CREDIT_US * 1_000,
            updated_at: now,
            mean_ns: INITIAL_CALL_COST_US * 1_000,
        }
    }

    fn earn(&mut self, now: Micros, connections: usize) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let divisor = SHARE_DIVISOR * connections.max(1) as u64;
        let earned = |time: Micros| i64::try_from(time.saturating_mul(1_000) / divisor).unwrap_or(i64::MAX);
        let max_credit = earned(CREDIT_WINDOW_US).max(INITIAL_CREDIT_US * 1_000);
        self.credit_ns = self.credit_ns.saturating_add(earned(elapsed)).min(max_credit);
    }

    /// Charges calls at the mean cost of earlier ones until their real cost is known; `connections` is the
    /// number of established connections. Returns the priority of the calls.
    pub fn charge(&mut self, now: Micros, calls: u64, connections: usize) -> (Priority, Charge) {
        self.earn(now, connections);
        let priority = if self.credit_ns > 0 { Priority::Normal } else { Priority::Deferred };
        let charge = self.mean_ns.saturating_mul(i64::try_from(calls).unwrap_or(i64::MAX));
        self.credit_ns = self.credit_ns.saturating_sub(charge);
        (priority, Charge { calls, nanos: charge })
    }

    /// Takes back the charge for calls that were not handled.
    pub fn refund(&mut self, charge: Charge) {
        self.credit_ns = self.credit_ns.saturating_add(charge.nanos);
    }

    /// Replaces the charge by the real cost, ns.
    pub fn settle(&mut self, charge: Charge, nanos: u64) {
        let nanos = i64::try_from(nanos).unwrap_or(i64::MAX);
        let calls = i64::try_from(charge.calls.max(1)).unwrap_or(i64::MAX);
        self.credit_ns = self.credit_ns.saturating_add(charge.nanos).saturating_sub(nanos);
        self.mean_ns += (nanos / calls - self.mean_ns) / 8;
    }

    /// Time until the credit is positive again, with this many connections.
    pub fn time_until_credit(&self, connections: usize) -> Micros {
        let missing = u64::try_from(self.credit_ns.saturating_neg()).unwrap_or(0);
        (missing.saturating_mul(SHARE_DIVISOR * connections.max(1) as u64) / 1_000).min(MAX_PAUSE_US)
    }
}
