//! Pauses between connections to a media server that refuses them, or ends them soon after they are made, as one does that
//! stops or takes no more connections. What it is owed would otherwise be sent on one new connection after another, without a pause.
//!
//! Set-ups are not held back: their number is limited, and the decider avoids such a server.

use std::collections::BTreeMap;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally::interface::{Micros, ServerId};

use super::{Command, ConnId, Core, Decider, Level, Timer};

/// Connections that end sooner than this after they were dialled are followed by pauses.
const MIN_LIFETIME: Micros = 1_000_000;
/// The first pause, after the second such connection; each further one is twice as long.
const FIRST_PAUSE: Micros = 100_000;
/// The longest pause: several fit into the time limit for telling the end of a session.
const MAX_PAUSE: Micros = 1_000_000;
/// Pauses are shortened by up to a part of them, so that front nodes do not dial at the same moments.
const JITTER_DIVISOR: Micros = 4;

#[derive(Clone, Copy, Debug)]
struct Pause {
    length: Micros,
    until: Micros,
}

/// The servers whose connections end too soon.
#[derive(Clone, Debug)]
pub(super) struct DialBackoff {
    pauses: BTreeMap<ServerId, Pause>,
    rng: Pcg32,
}

impl DialBackoff {
    /// No pauses yet; their jitter is drawn with `seed`.
    pub fn new(seed: u64) -> DialBackoff {
        DialBackoff { pauses: BTreeMap::new(), rng: Pcg32::seed_from_u64(seed) }
    }

    /// Whether a server may be dialled.
    pub fn allows(&self, now: Micros, server: ServerId) -> bool {
        self.pauses.get(&server).is_none_or(|pause| pause.until <= now)
    }

    /// Forgets a server that is gone.
    pub fn remove(&mut self, server: ServerId) {
        self.pauses.remove(&server);
    }

    /// Ends all pauses.
    pub fn clear(&mut self) {
        self.pauses.clear();
    }

    /// A connection to a server that was dialled at this time has ended; returns the end of the pause, if one follows.
    fn connection_ended(
        &mut self,
        now: Micros,
        server: ServerId,
        dialed_at: Micros,
        max_pause: Micros,
    ) -> Option<Micros> {
        if now >= dialed_at + MIN_LIFETIME {
            self.pauses.remove(&server);
            return None;
        }
        let previous = self.pauses.get(&server).filter(|pause| now < pause.until + MIN_LIFETIME).copied();
        if let Some(previous) = previous.filter(|previous| previous.until > now) {
            return Some(previous.until);
        }
        // One connection that is lost is replaced at once.
        let length = previous.map_or(0, |previous| (2 * previous.length).clamp(FIRST_PAUSE, max_pause));
        let jitter = length / JITTER_DIVISOR * Micros::from(self.rng.next_u32() % 1024) / 1024;
        let until = now + length - jitter;
        self.pauses.insert(server, Pause { length, until });
        Some(until).filter(|until| *until > now)
    }
}

impl<D: Decider> Core<D> {
    /// A server's connection has ended or was refused, and is about to be removed: further ones may have to wait.
    /// One that was finished here and closed in order says nothing about the server.
    pub(super) fn pace_dials(
        &mut self,
        server: ServerId,
        conn: ConnId,
        was_closed: bool,
        out: &mut Vec<Command>,
    ) {
        let Some(dialed_at) = self.pool.dialed_at(conn) else { return };
        let is_expected = was_closed && self.pool.is_finishing(conn);
        if is_expected && self.now < dialed_at + MIN_LIFETIME {
            return;
        }
        // A process that shuts down has little time left for what the server is owed.
        let max_pause = if self.releasing_until.is_some() { FIRST_PAUSE } else { MAX_PAUSE };
        if let Some(until) = self.dial_backoff.connection_ended(self.now, server, dialed_at, max_pause) {
            let pause_ms = (until - self.now) / 1_000;
            let text = format!(
                "server s-{:08x}: refuses or ends new connections, the next is dialled in {pause_ms} ms",
                server.0
            );
            out.push(Command::Log(Level::Debug, text));
            self.timers.set(until, Timer::DialBackoff(server));
        }
    }

    /// The pause of a server is over: what waits for a connection to it is sent.
    pub(super) fn dial_pause_ended(&mut self, server: ServerId, out: &mut Vec<Command>) {
        self.resend_releases_to(server, out);
        if self.health.holds_sessions(server) && !self.pool.is_up(server) {
            self.check_health(server, true, out);
        }
    }
}
