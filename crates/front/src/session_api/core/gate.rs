//! Who is let in, and how much one player may ask.
//!
//! A player costs a thread from its first byte on, and every call costs the front's one thread. So connections are
//! counted, those that have not shaken hands apart from the others, and each player has an allowance of calls that
//! fills up with time. What is over it is told so at once and costs the front's own thread nothing.

use salttally::interface::Micros;

const SECOND: Micros = 1_000_000;

/// Limits of the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLimits {
    /// Connections at most.
    pub players: usize,
    /// Of those, connections that have not shaken hands yet at most.
    pub shaking: usize,
    /// Calls that one player may make in a second.
    pub calls_per_s: u64,
    /// Calls that it may make at once after a rest.
    pub calls_at_once: u64,
    /// Calls over its allowance after which a player is cut off.
    pub surplus: u64,
}

/// Why a connection is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// There are as many as there may be.
    Full,
    /// Too many are shaking hands: those that do not finish must not keep others out for long.
    Busy,
}

/// The door: counts connections.
#[derive(Clone, Debug)]
pub struct Door {
    limits: GateLimits,
    shaking: usize,
    inside: usize,
    turned: u64,
}

impl Door {
    /// Nobody is in.
    pub fn new(limits: GateLimits) -> Door {
        Door { limits, shaking: 0, inside: 0, turned: 0 }
    }

    /// A connection has come. Let in, it shakes hands.
    pub fn knock(&mut self) -> Result<(), Turned> {
        let turned = if self.inside + self.shaking >= self.limits.players {
            Turned::Full
        } else if self.shaking >= self.limits.shaking {
            Turned::Busy
        } else {
            self.shaking += 1;
            return Ok(());
        };
        self.turned += 1;
        Err(turned)
    }

    /// A connection has shaken hands.
    pub fn entered(&mut self) {
        self.shaking = self.shaking.saturating_sub(1);
        self.inside += 1;
    }

    /// A connection has ended, before or after its handshake.
    pub fn left(&mut self, entered: bool) {
        let of = if entered { &mut self.inside } else { &mut self.shaking };
        *of = of.saturating_sub(1);
    }

    /// Connections that shake hands, that are in, and that were turned away so far.
    pub fn count(&self) -> (usize, usize, u64) {
        (self.shaking, self.inside, self.turned)
    }
}

/// What a player's calls are worth.
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
