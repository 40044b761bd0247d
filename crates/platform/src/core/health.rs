//! Whether a media server that holds sessions is there. A media server that dies or vanishes cannot say so, and its
//! sessions are cut:
//! their clients must be released within seconds, and come again.
//!
//! What is heard shows life. After a while of silence, and when its last connection has gone, a new connection is made:
//! made, the media server lives (and says on it what ended meanwhile); refused twice, its process is dead; not made for
//! long enough, the machine is gone or cut off. A look costs the media server nothing but the handshake.

use std::collections::BTreeMap;

use salttally::interface::{Micros, ServerId};

use super::DialError;

/// Silence after which a new connection is made.
const CHECK_AFTER_SILENCE: Micros = 2_000_000;
/// From the first that was not made, a media server that cannot be reached is taken for lost after this.
const UNREACHABLE_AFTER: Micros = 1_500_000;
/// Pause between two of them.
const RETRY_PAUSE: Micros = 150_000;
/// Refusals in a row by which a process is taken for dead.
const MAX_REFUSALS: u32 = 2;

#[derive(Clone, Debug, Default)]
struct ServerHealth {
    sessions: usize,
    heard: Micros,
    refused: u32,
    failing: Option<Micros>,
    /// When the next look is due, if one is.
    next_check: Option<Micros>,
}

/// What a failed dial means for what stands at the media server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing yet, or nothing stands there.
    Fine,
    /// Check again then.
    Again(Micros),
    /// It is lost.
    Lost,
}

/// What a look asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Check {
    /// Make a new connection.
    pub dial: bool,
    /// Check again then.
    pub again: Option<Micros>,
}

/// The servers that hold sessions.
#[derive(Clone, Debug)]
pub struct Health {
    servers: BTreeMap<ServerId, ServerHealth>,
    connect_within: Micros,
}

impl Health {
    /// None yet. A dial that is not made within this time has failed.
    pub fn new(connect_within: Micros) -> Health {
        Health { servers: BTreeMap::new(), connect_within }
    }

    /// A media server holds one more session. Tells when to look, if no look is due.
    pub fn session_started(&mut self, now: Micros, server: ServerId) -> Option<Micros> {
        let health = self
            .servers
            .entry(server)
            .or_insert_with(|| ServerHealth { heard: now, ..ServerHealth::default() });
        health.sessions += 1;
        if health.next_check.is_some() {
            return None;
        }
        health.next_check = Some(now + CHECK_AFTER_SILENCE);
        health.next_check
    }

    /// It holds one less.
    pub fn session_ended(&mut self, server: ServerId) {
        if let Some(health) = self.servers.get_mut(&server) {
            health.sessions = health.sessions.saturating_sub(1);
            if health.sessions == 0 {
                self.servers.remove(&server);
            }
        }
    }

    /// Something was heard of it, or a connection made.
    pub fn heard(&mut self, now: Micros, server: ServerId) {
        if let Some(health) = self.servers.get_mut(&server) {
            (health.heard, health.refused, health.failing) = (now, 0, None);
        }
    }

    /// A look is due, or `gone`: its last connection has ended, or there was none yet. One that was closed here to make
    /// room says nothing of the media server.
    pub fn check(&mut self, now: Micros, server: ServerId, gone: bool) -> Check {
        let Some(health) = self.servers.get_mut(&server) else { return Check::default() };
        let quiet = health.heard + CHECK_AFTER_SILENCE <= now;
        let dial = gone || quiet || health.failing.is_some();
        // A dial under way ends by itself and is judged then.
        let next =
            if dial { now + self.connect_within + RETRY_PAUSE } else { health.heard + CHECK_AFTER_SILENCE };
        if health.next_check.is_some_and(|due| due > now && due <= next) {
            return Check { dial, again: None };
        }
        health.next_check = Some(next);
        Check { dial, again: Some(next) }
    }

    /// A dial has failed.
    pub fn connect_failed(&mut self, now: Micros, server: ServerId, error: DialError) -> Verdict {
        let Some(health) = self.servers.get_mut(&server) else { return Verdict::Fine };
        let since = *health.failing.get_or_insert(now);
        if error == DialError::Refused {
            health.refused += 1;
        }
        if health.refused >= MAX_REFUSALS || since + UNREACHABLE_AFTER <= now {
            return Verdict::Lost;
        }
        health.next_check = Some(now + RETRY_PAUSE);
        Verdict::Again(now + RETRY_PAUSE)
    }

    /// Sessions held and when the media server was last heard of, by media server.
    pub fn states(&self) -> impl Iterator<Item = (ServerId, usize, Micros)> + '_ {
        self.servers.iter().map(|(id, health)| (*id, health.sessions, health.heard))
    }
}
