//! How often one player may ask.
//!
//! Each player has an allowance of calls that ask for something, which fills up with time. What is over it is told
//! so at once, costs the front's own thread nothing, and has its sender's next bytes read the later. The more players
//! are inside the smaller the allowance of each, so that all of them together do not ask for more than the front
//! can do. What frees (close, cancel) is not counted here.
//!
//! Danger: an allowance for each player alone is no limit. Four thousand that keep to theirs ask for more than there
//! is, and those that only watch a film wait behind them.

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
    /// Calls that all players together may make in a second, shared out evenly over those inside.
    pub all_per_s: u64,
}

/// Calls that a `session.open` weighs: it has the module decide and a box set up, where a status only looks.
pub const OPEN: u64 = 10;
/// The smallest allowance at once: opening a session or two, and looking after them.
const AT_ONCE_LEAST: u64 = 2 * OPEN;
/// A part of the common allowance is kept for this long.
const KEPT_S: u64 = 4;

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
    /// That of a player who has just come. Danger: whoever is cut off comes again, and must not find a full one.
    pub fn new(limits: GateLimits, now: Micros) -> Allowance {
        Allowance { limits, left: limits.calls_at_once.min(AT_ONCE_LEAST) * SECOND, at: now, surplus: 0 }
    }

    /// Calls of this weight have come in one message, while so many are inside.
    pub fn take(&mut self, weight: u64, now: Micros, inside: usize) -> Allowed {
        let limits = &self.limits;
        let per_s = (limits.all_per_s / inside.max(1) as u64).clamp(1, limits.calls_per_s.max(1));
        let at_once = (per_s * KEPT_S).max(AT_ONCE_LEAST).min(limits.calls_at_once);
        let since = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let most = at_once * SECOND;
        self.left = self.left.saturating_add(since.saturating_mul(per_s)).min(most);
        let cost = weight.max(1).saturating_mul(SECOND);
        if cost <= self.left {
            self.left -= cost;
            self.surplus = 0;
            return Allowed::Yes;
        }
        self.surplus += weight.max(1);
        if self.surplus > self.limits.surplus {
            return Allowed::Cut;
        }
        // A message larger than the whole allowance never fits; it is told the time of a full one.
        let missing = cost.min(most) - self.left.min(cost.min(most));
        Allowed::Later(missing.div_ceil(per_s))
    }
}
