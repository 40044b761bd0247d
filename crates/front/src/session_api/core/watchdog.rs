//! Watchdog of one player's connection: the deadline of the current step, when the next ping is due, and when
//! the player counts as unresponsive. The thread that reads the connection waits until
//! [`Watchdog::next_check`] at most and carries out the verdict of [`Watchdog::check`].
//!
//! Danger: a player whose machine is gone sends no FIN. Its session would hold a place, and in a paid class a
//! seat, for as long as the title plays. So a player that sends nothing is pinged (RFC 6455 section 5.5.2),
//! and one that leaves several consecutive pings unanswered is unresponsive. Any byte counts as an answer.
//!
//! Danger: a player's own pings, each of which has to be answered (section 5.5.2). They are counted before
//! any of them is answered, and a player that floods them is disconnected.
//!
//! Danger: thousands of connections that were opened together would be pinged together. So each ping interval
//! is randomized.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally::interface::Micros;

use super::pace::{FrameScanner, Pace};

const SECOND_US: Micros = 1_000_000;

/// Limits of a player's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchdogLimits {
    /// Pace of the opening handshake.
    pub handshake: Pace,
    /// Pace of a message.
    pub message: Pace,
    /// Mean time without bytes from a player after which it is pinged.
    pub ping_interval: Micros,
    /// Time in which a ping has to be answered.
    pub pong_timeout: Micros,
    /// Number of consecutive unanswered pings after which a player is unresponsive.
    pub max_missed_pings: u32,
    /// Control frames per second that a player may send; a ping among them costs an answer.
    pub control_frames_per_s: u64,
    /// Control frames that it may send at once.
    pub control_frame_burst: u64,
    /// Time in which a connection in the reserve has to return to a session.
    pub return_timeout: Micros,
}

/// What to do about a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Keep reading.
    Continue,
    /// Send a ping.
    SendPing,
    /// Disconnect: the handshake or a message has passed its deadline.
    TooSlow,
    /// Disconnect: the player is unresponsive. Its sessions are kept for a while, in case it comes back.
    Unresponsive,
    /// Disconnect before answering: the player sends too many control frames.
    ControlFlood,
    /// Disconnect: the connection is in the reserve and has not returned to a session in time.
    NotReturned,
}

#[derive(Clone, Debug)]
enum Phase {
    Handshake { begun: Micros, bytes: u64 },
    Established,
}

/// Watchdog of one player's connection.
#[derive(Clone, Debug)]
pub struct Watchdog {
    limits: WatchdogLimits,
    phase: Phase,
    frames: FrameScanner,
    rng: Pcg32,
    /// When the next ping is due, or the answer to the last one.
    ping_due: Micros,
    unanswered_pings: u32,
    /// Control frames that the player may still send, in millionths, and the time of that count.
    control_credit: (u64, Micros),
    control_flood: bool,
    /// When a connection in the reserve must have returned to a session.
    return_by: Option<Micros>,
}

impl Watchdog {
    /// A new connection; `seed` randomizes its ping intervals.
    pub fn new(limits: WatchdogLimits, seed: u64, now: Micros) -> Watchdog {
        Watchdog {
            limits,
            phase: Phase::Handshake { begun: now, bytes: 0 },
            frames: FrameScanner::default(),
            rng: Pcg32::seed_from_u64(seed),
            ping_due: Micros::MAX,
            unanswered_pings: 0,
            control_credit: (limits.control_frame_burst * SECOND_US, now),
            control_flood: false,
            return_by: None,
        }
    }

    /// Takes in received bytes.
    pub fn on_bytes(&mut self, now: Micros, bytes: &[u8]) {
        match &mut self.phase {
            Phase::Handshake { bytes: received, .. } => *received += bytes.len() as u64,
            Phase::Established => {
                self.frames.push(now, bytes);
                self.schedule_ping(now);
                let (credit, updated_at) = self.control_credit;
                let earned = now.saturating_sub(updated_at).saturating_mul(self.limits.control_frames_per_s);
                let max_credit = (self.limits.control_frame_burst * SECOND_US).max(credit);
                let credit = credit.saturating_add(earned).min(max_credit);
                let sent = self.frames.take_control_frames().saturating_mul(SECOND_US);
                self.control_flood |= sent > credit;
                self.control_credit = (credit.saturating_sub(sent), now.max(updated_at));
            }
        }
    }

    /// The handshake is complete; `in_reserve` tells whether the connection is in the reserve.
    pub fn on_established(&mut self, now: Micros, in_reserve: bool) {
        self.phase = Phase::Established;
        self.return_by = in_reserve.then(|| now.saturating_add(self.limits.return_timeout));
        self.schedule_ping(now);
    }

    /// The player has returned to a session of its own: the deadline of the reserve no longer applies.
    pub fn on_returned(&mut self) {
        self.return_by = None;
    }

    fn schedule_ping(&mut self, now: Micros) {
        self.unanswered_pings = 0;
        // Between 3/4 and 5/4 of the interval.
        let quarter = self.limits.ping_interval / 4;
        let delay = quarter * 3 + u64::from(self.rng.next_u32()) * (quarter * 2) / u64::from(u32::MAX);
        self.ping_due = now.saturating_add(delay);
    }

    fn step_deadline(&self) -> Micros {
        match &self.phase {
            Phase::Handshake { begun, bytes } => self.limits.handshake.deadline(*begun, *bytes),
            Phase::Established => self
                .frames
                .in_progress()
                .map_or(Micros::MAX, |(begun, bytes)| self.limits.message.deadline(begun, bytes)),
        }
    }

    /// Excludes a pause in which the front itself did not read.
    pub fn exclude_pause(&mut self, pause: Micros) {
        self.frames.exclude_pause(pause);
        self.ping_due = self.ping_due.saturating_add(pause);
    }

    /// When to call [`Watchdog::check`] again if no bytes arrive before.
    pub fn next_check(&self) -> Micros {
        self.step_deadline().min(self.ping_due).min(self.return_by.unwrap_or(Micros::MAX))
    }

    /// Start time and number of received bytes of the handshake, while it is in progress.
    pub fn handshake_progress(&self) -> Option<(Micros, u64)> {
        match &self.phase {
            Phase::Handshake { begun, bytes } => Some((*begun, *bytes)),
            Phase::Established => None,
        }
    }

    /// Whether the player has sent too many control frames.
    pub fn control_flood(&self) -> bool {
        self.control_flood
    }

    /// Checks the connection. A ping that it asks for counts as sent.
    pub fn check(&mut self, now: Micros) -> Verdict {
        if self.control_flood {
            return Verdict::ControlFlood;
        }
        if self.step_deadline() <= now {
            return Verdict::TooSlow;
        }
        if self.return_by.is_some_and(|until| until <= now) {
            return Verdict::NotReturned;
        }
        if self.ping_due > now {
            return Verdict::Continue;
        }
        if self.unanswered_pings >= self.limits.max_missed_pings {
            return Verdict::Unresponsive;
        }
        self.unanswered_pings += 1;
        // The pong that answers this ping must not count towards the limit of control frames.
        self.control_credit.0 = self.control_credit.0.saturating_add(SECOND_US);
        self.ping_due = now.saturating_add(self.limits.pong_timeout);
        Verdict::SendPing
    }
}
