//! One player's share of the front's thread.
//!
//! What a call costs is known once it has been handled: an open asks the module, a status hardly anything. So a
//! connection is charged what its calls have cost, in microseconds of the front's one thread, and earns its part of
//! half of that thread evenly, the same for all that are inside. While it has something left its calls go ahead of
//! others'; after that they have what is left over, and where nothing is they are told to come again. That is fair
//! queueing by deficit (Shreedhar and Varghese, SIGCOMM 1995) with the charge made afterwards.
//!
//! Danger: a flood of cheap calls, and a trickle of dear ones, must weigh alike: a count of calls sees only the
//! first. Danger: what frees a place (close, cancel) must not be held back for a flood, or the flood keeps what it
//! holds; it is always taken, and its sender's next bytes are read later.

use salttally::interface::Micros;

/// Part of the front's thread that is shared out evenly; the rest is for boxes, list and timers.
const SHARED: u64 = 2;
/// What is earned is kept for this long at most.
const KEPT: Micros = 4_000_000;
/// A connection begins with this much, us, and is let go so far ahead of what is known of its calls: any open call
/// has its turn as long as something is left.
const FIRST: i64 = 200;
/// The longest that a sender is held back before its next bytes are read; it must not miss its pings.
const PAUSE_MOST: Micros = 1_000_000;
/// An open after a long rest does not bear all that the front did meanwhile, ns.
const AFTERMATH_MOST: u64 = 5_000_000;
/// Cost that a call is taken for before any has been handled, us.
const GUESS: i64 = 50;

/// How a message goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// In its turn.
    Normal,
    /// After all that have their turn, if there is room.
    Deferred,
}

/// What calls are charged until their cost is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    calls: u64,
    nanos: i64,
}

/// What opens cost the front's thread beside their calls: connections to boxes that are made, end and are told of,
/// releases, wakes. It cannot be told whose each is, so each open bears the mean of late.
#[derive(Clone, Debug, Default)]
pub struct OpenOverhead {
    /// Spent since the last open, ns.
    spent: u64,
    /// Running mean of what an open brings with it, ns.
    mean: u64,
}

impl OpenOverhead {
    /// The thread was at work for something that is nobody's call.
    pub fn record_cost(&mut self, nanos: u64) {
        self.spent = self.spent.saturating_add(nanos);
    }

    /// So many opens were taken: what they bear, ns.
    pub fn charge_opens(&mut self, opens: u64) -> u64 {
        for _ in 0..opens.min(64) {
            let spent = std::mem::take(&mut self.spent).min(AFTERMATH_MOST);
            self.mean = (self.mean * 15 + spent) / 16;
        }
        self.mean.saturating_mul(opens)
    }
}

/// One player's account.
#[derive(Clone, Debug)]
pub struct ThreadShare {
    /// Nanoseconds of the front's thread.
    left: i64,
    at: Micros,
    /// Running mean of the cost of a call, ns.
    mean: i64,
}

impl ThreadShare {
    /// The account of a connection that has just entered.
    pub fn new(now: Micros) -> ThreadShare {
        ThreadShare { left: FIRST * 1_000, at: now, mean: GUESS * 1_000 }
    }

    fn earn(&mut self, now: Micros, inside: usize) {
        let since = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let of = SHARED * inside.max(1) as u64;
        let earned = |time: Micros| i64::try_from(time.saturating_mul(1_000) / of).unwrap_or(i64::MAX);
        let most = earned(KEPT).max(FIRST * 1_000);
        self.left = self.left.saturating_add(earned(since)).min(most);
    }

    /// Calls have come while so many are inside: whether they have their turn, and what they are charged until their
    /// cost is known: as much as those before them.
    pub fn charge(&mut self, now: Micros, calls: u64, inside: usize) -> (Priority, Charge) {
        self.earn(now, inside);
        let turn = if self.left > 0 { Priority::Normal } else { Priority::Deferred };
        let charge = self.mean.saturating_mul(i64::try_from(calls).unwrap_or(i64::MAX));
        self.left = self.left.saturating_sub(charge);
        (turn, Charge { calls, nanos: charge })
    }

    /// They were not taken after all.
    pub fn refund(&mut self, charge: Charge) {
        self.left = self.left.saturating_add(charge.nanos);
    }

    /// What they have cost, ns.
    pub fn settle(&mut self, charge: Charge, nanos: u64) {
        let nanos = i64::try_from(nanos).unwrap_or(i64::MAX);
        let calls = i64::try_from(charge.calls.max(1)).unwrap_or(i64::MAX);
        self.left = self.left.saturating_add(charge.nanos).saturating_sub(nanos);
        self.mean += (nanos / calls - self.mean) / 8;
    }

    /// After how long it has something left again, with so many inside.
    pub fn time_until_credit(&self, inside: usize) -> Micros {
        let missing = u64::try_from(self.left.saturating_neg()).unwrap_or(0);
        (missing.saturating_mul(SHARED * inside.max(1) as u64) / 1_000).min(PAUSE_MOST)
    }
}
