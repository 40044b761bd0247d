//! Rate limit of the calls of one player.
//!
//! Each player has a token bucket for calls that request something. A call over the limit is answered with an
//! error at once, costs the engine thread nothing, and delays the next read from that player. The more
//! players are connected, the smaller the rate of each, so that all of them together do not request more than
//! the front can handle. Calls that free something (close, cancel) are not counted here.
//!
//! Danger: a limit per player alone is no limit. 4,000 players that keep to theirs request more than the
//! front can handle, and viewers that only watch wait behind them.

use salttally::interface::Micros;

const SECOND_US: Micros = 1_000_000;

/// Limits of the call rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimits {
    /// Calls per second that one player may make.
    pub calls_per_s: u64,
    /// Calls that one player may make at once after a pause.
    pub burst: u64,
    /// Calls over the limit after which a player is disconnected.
    pub max_excess: u64,
    /// Calls per second that all players together may make, shared evenly among the connections.
    pub total_calls_per_s: u64,
}

/// Weight of a `session.open` in calls: it takes a decision and a set-up at a box, where a status is only a
/// lookup.
pub const OPEN_WEIGHT: u64 = 10;
/// Smallest burst: a session or two are opened and managed.
const MIN_BURST: u64 = 2 * OPEN_WEIGHT;
/// Seconds of its rate that a player may save up.
const BURST_S: u64 = 4;

/// The verdict on the calls of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    /// Handle them.
    Allow,
    /// Over the limit: answer with an error, with the time after which to retry.
    RetryAfter(Micros),
    /// Over the limit for too long: disconnect the player.
    Disconnect,
}

/// Token bucket of one player. Tokens are counted in millionths of a call, so that nothing is lost to
/// rounding between two calls.
#[derive(Clone, Debug)]
pub struct CallAllowance {
    limits: RateLimits,
    /// Tokens left, in millionths of a call.
    credit: u64,
    updated_at: Micros,
    /// Weight of the calls over the limit since the last allowed one.
    excess: u64,
}

impl CallAllowance {
    /// The bucket of a new connection. Danger: a player that was disconnected connects again and must not
    /// find a full bucket.
    pub fn new(limits: RateLimits, now: Micros) -> CallAllowance {
        CallAllowance { limits, credit: limits.burst.min(MIN_BURST) * SECOND_US, updated_at: now, excess: 0 }
    }

    /// Takes the tokens for a message of this weight; `connections` is the number of established connections.
    pub fn charge(&mut self, weight: u64, now: Micros, connections: usize) -> RateDecision {
        let limits = &self.limits;
        let per_s =
            (limits.total_calls_per_s / connections.max(1) as u64).clamp(1, limits.calls_per_s.max(1));
        let burst = (per_s * BURST_S).max(MIN_BURST).min(limits.burst);
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let max_credit = burst * SECOND_US;
        self.credit = self.credit.saturating_add(elapsed.saturating_mul(per_s)).min(max_credit);
        let cost = weight.max(1).saturating_mul(SECOND_US);
        if cost <= self.credit {
            self.credit -= cost;
            self.excess = 0;
            return RateDecision::Allow;
        }
        self.excess += weight.max(1);
        if self.excess > self.limits.max_excess {
            return RateDecision::Disconnect;
        }
        // A message that weighs more than a full bucket never fits; it gets the time until the bucket is
        // full.
        let missing = cost.min(max_credit) - self.credit.min(cost.min(max_credit));
        RateDecision::RetryAfter(missing.div_ceil(per_s))
    }
}
