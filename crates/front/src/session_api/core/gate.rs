//! How often one player may ask.
//!
//! Each player has an allowance of calls that ask for something, which fills up with time. What is over it is told
//! so at once and costs the front's own thread nothing. What frees (close, cancel) is not counted here.

use salttally::interface::Micros;

const SECOND: Micros = 1_000_000;

/// Limits of the allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLimits {
    /// Calls that one player may make in a second.
    pub calls_per_s: u64,
    /// Calls that it may make at once after a rest.
    pub calls_at_once: u64,
    /// Calls over its allowance after which a player is cut off.
    pub surplus: u64,
}

/// What becomes of a player's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// They are taken.
    Yes,
    /// Over the allowance: told so, to ask again after this long.
    Later(Micros),
    /// Over it for so long that the player is cut off.
    Cut,
}

/// One player's allowance of calls: it fills up evenly, holds so many, and is counted in micro-calls so that no
/// rounding is lost between two calls.
#[derive(Clone, Debug)]
pub struct Allowance {
    limits: GateLimits,
    left: u64,
    at: Micros,
    surplus: u64,
}

impl Allowance {
    /// A full one.
    pub fn new(limits: GateLimits, now: Micros) -> Allowance {
        Allowance { limits, left: limits.calls_at_once * SECOND, at: now, surplus: 0 }
    }

    /// So many calls have come in one message.
    pub fn take(&mut self, calls: u64, now: Micros) -> Allowed {
        let since = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let most = self.limits.calls_at_once * SECOND;
        self.left = self.left.saturating_add(since.saturating_mul(self.limits.calls_per_s)).min(most);
        let cost = calls.max(1).saturating_mul(SECOND);
        if cost <= self.left {
            self.left -= cost;
            self.surplus = 0;
            return Allowed::Yes;
        }
        self.surplus += calls.max(1);
        if self.surplus > self.limits.surplus {
            return Allowed::Cut;
        }
        // A message larger than the whole allowance never fits; it is told the time of a full one.
        let missing = cost.min(most) - self.left.min(cost.min(most));
        Allowed::Later(missing.div_ceil(self.limits.calls_per_s.max(1)))
    }
}
