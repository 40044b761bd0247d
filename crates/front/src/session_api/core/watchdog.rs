//! One player's connection as it is watched: which step it is in, when that runs out of time, when a ping is due
//! and when a player counts as vanished. The thread that reads the connection asks for the next moment, waits
//! until then at most, and does what is said.
//!
//! Danger: a player whose machine is gone sends no FIN. Its session would hold a place, and in a paid class a seat,
//! for as long as the title plays. So a player that says nothing is pinged (RFC 6455 section 5.5.2), and one that
//! says nothing to several pings is silent. Any byte shows that it lives.
//!
//! Danger: pings of a player, which must be answered (section 5.5.2). A flood of them costs an answer each, so they are
//! counted before any is answered, and whoever sends far too many is cut off.
//!
//! Danger: pings of thousands of connections that were opened together come together. So each pause is drawn.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally::interface::Micros;

use super::pace::{Frames, Pace};

const SECOND: Micros = 1_000_000;

/// How players are watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchLimits {
    /// Pace of the opening handshake.
    pub handshake: Pace,
    /// Pace of a message.
    pub message: Pace,
    /// A player that is quiet for about so long is pinged.
    pub ping_every: Micros,
    /// A ping is answered within this.
    pub pong_within: Micros,
    /// So many pings without an answer make a silent player.
    pub pings: u32,
    /// Control frames that a player may send in a second: each ping costs an answer.
    pub controls_per_s: u64,
    /// Control frames that it may send at once.
    pub controls_at_once: u64,
    /// A connection let into the reserve must return to a session within this.
    pub return_within: Micros,
}

/// What is to be done about a player now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// Wait on.
    Fine,
    /// Ping it.
    Ping,
    /// Cut it off: a step has taken too long.
    Slow,
    /// Cut it off: it is gone without a word. Its sessions may be found again.
    Silent,
    /// Cut it off: it sends far too many control frames. Said before they are answered.
    Noisy,
    /// Cut it off: it was let into the reserve and returned to nothing.
    Newcomer,
}

#[derive(Clone, Debug)]
enum Phase {
    Shaking { begun: Micros, bytes: u64 },
    Inside,
}

/// One player's connection.
#[derive(Clone, Debug)]
pub struct Watch {
    limits: WatchLimits,
    phase: Phase,
    frames: Frames,
    draws: Pcg32,
    /// When the next ping is due, or the answer to the last one.
    next: Micros,
    unanswered: u32,
    /// Control frames that it may send yet, in millionths, and as of when.
    controls: (u64, Micros),
    noisy: bool,
    /// In the reserve, until then.
    reserve: Option<Micros>,
}

impl Watch {
    /// A connection that has just come; `seed` is its own.
    pub fn new(limits: WatchLimits, seed: u64, now: Micros) -> Watch {
        Watch {
            limits,
            phase: Phase::Shaking { begun: now, bytes: 0 },
            frames: Frames::default(),
            draws: Pcg32::seed_from_u64(seed),
            next: Micros::MAX,
            unanswered: 0,
            controls: (limits.controls_at_once * SECOND, now),
            noisy: false,
            reserve: None,
        }
    }

    /// Bytes have come.
    pub fn heard(&mut self, now: Micros, bytes: &[u8]) {
        match &mut self.phase {
            Phase::Shaking { bytes: so_far, .. } => *so_far += bytes.len() as u64,
            Phase::Inside => {
                self.frames.push(now, bytes);
                self.quiet_from(now);
                let (left, at) = self.controls;
                let earned = now.saturating_sub(at).saturating_mul(self.limits.controls_per_s);
                let most = (self.limits.controls_at_once * SECOND).max(left);
                let left = left.saturating_add(earned).min(most);
                let sent = self.frames.controls().saturating_mul(SECOND);
                self.noisy |= sent > left;
                self.controls = (left.saturating_sub(sent), now.max(at));
            }
        }
    }

    /// It has shaken hands; `reserve` tells whether it was let into the reserve.
    pub fn entered(&mut self, now: Micros, reserve: bool) {
        self.phase = Phase::Inside;
        self.reserve = reserve.then(|| now.saturating_add(self.limits.return_within));
        self.quiet_from(now);
    }

    /// It has returned to a session of its own: it is no newcomer.
    pub fn returned(&mut self) {
        self.reserve = None;
    }

    fn quiet_from(&mut self, now: Micros) {
        self.unanswered = 0;
        // From three quarters of the pause to five quarters.
        let quarter = self.limits.ping_every / 4;
        let drawn = quarter * 3 + u64::from(self.draws.next_u32()) * (quarter * 2) / u64::from(u32::MAX);
        self.next = now.saturating_add(drawn);
    }

    fn step_due(&self) -> Micros {
        match &self.phase {
            Phase::Shaking { begun, bytes } => self.limits.handshake.due(*begun, *bytes),
            Phase::Inside => {
                self.frames.step().map_or(Micros::MAX, |(begun, bytes)| self.limits.message.due(begun, bytes))
            }
        }
    }

    /// The front itself has read nothing for this long: that is not the player's slowness.
    pub fn held_up(&mut self, pause: Micros) {
        self.frames.held_up(pause);
        self.next = self.next.saturating_add(pause);
    }

    /// When to look again, if nothing is heard before.
    pub fn due(&self) -> Micros {
        self.step_due().min(self.next).min(self.reserve.unwrap_or(Micros::MAX))
    }

    /// Begin and bytes of the handshake, while it is under way.
    pub fn shaking(&self) -> Option<(Micros, u64)> {
        match &self.phase {
            Phase::Shaking { begun, bytes } => Some((*begun, *bytes)),
            Phase::Inside => None,
        }
    }

    /// Whether it has sent far too many control frames.
    pub fn noisy(&self) -> bool {
        self.noisy
    }

    /// Looks at the connection; a ping that is told is taken for sent.
    pub fn look(&mut self, now: Micros) -> Sight {
        if self.noisy {
            return Sight::Noisy;
        }
        if self.step_due() <= now {
            return Sight::Slow;
        }
        if self.reserve.is_some_and(|until| until <= now) {
            return Sight::Newcomer;
        }
        if self.next > now {
            return Sight::Fine;
        }
        if self.unanswered >= self.limits.pings {
            return Sight::Silent;
        }
        self.unanswered += 1;
        // Its pong is asked for.
        self.controls.0 = self.controls.0.saturating_add(SECOND);
        self.next = now.saturating_add(self.limits.pong_within);
        Sight::Ping
    }
}
