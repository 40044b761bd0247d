//! Liveness checks of media servers that hold sessions. A media server that dies or vanishes cannot report
//! it, and its sessions are lost: their clients must be sent a release within seconds, so that they ask
//! again.
//!
//! Anything received from a server shows that it is alive. After some silence, and when its last connection
//! is gone, a new connection is opened. If it is established, the media server is alive, and reports on it
//! which sessions have ended meanwhile; if it is refused twice, the process is dead; if it is not established
//! for long enough, the machine is gone or cut off. A check costs the media server nothing but the handshake.

use std::collections::BTreeMap;

use salttally::interface::{Micros, ServerId};

use super::DialError;

/// Silence after which a new connection is opened.
const CHECK_AFTER_SILENCE: Micros = 2_000_000;
/// Time from the first failed connection until an unreachable media server is taken for lost.
const UNREACHABLE_AFTER: Micros = 1_500_000;
/// Pause between two connection attempts.
const RETRY_PAUSE: Micros = 150_000;
/// Consecutive refusals after which the process is taken for dead.
const MAX_REFUSALS: u32 = 2;

#[derive(Clone, Debug, Default)]
struct ServerHealth {
    sessions: usize,
    last_heard: Micros,
    refusals: u32,
    failing_since: Option<Micros>,
    /// When the next check is due, if one is.
    next_check: Option<Micros>,
}

impl ServerHealth {
    /// Schedules the next connection attempt.
    fn check_again(&mut self, now: Micros) -> Verdict {
        self.next_check = Some(now + RETRY_PAUSE);
        Verdict::CheckAt(now + RETRY_PAUSE)
    }
}

/// What a failed connection attempt means for the sessions at the media server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing yet, or there are no sessions.
    Undecided,
    /// Check again at this time.
    CheckAt(Micros),
    /// The sessions are lost.
    Lost,
}

/// What a check requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Check {
    /// Open a new connection.
    pub dial: bool,
    /// Check again at this time.
    pub next_check: Option<Micros>,
}

/// The health of the servers that hold sessions.
#[derive(Clone, Debug)]
pub struct Health {
    servers: BTreeMap<ServerId, ServerHealth>,
    connect_timeout: Micros,
}

impl Health {
    /// No servers yet. A connection that is not established within `connect_timeout` has failed.
    pub fn new(connect_timeout: Micros) -> Health {
        Health { servers: BTreeMap::new(), connect_timeout }
    }

    /// A media server holds one more session. Returns the time of the first check, if none is scheduled yet.
    pub fn session_started(&mut self, now: Micros, server: ServerId) -> Option<Micros> {
        let health = self
            .servers
            .entry(server)
            .or_insert_with(|| ServerHealth { last_heard: now, ..ServerHealth::default() });
        health.sessions += 1;
        if health.next_check.is_some() {
            return None;
        }
        health.next_check = Some(now + CHECK_AFTER_SILENCE);
        health.next_check
    }

    /// A media server holds one session less.
    pub fn session_ended(&mut self, server: ServerId) {
        if let Some(health) = self.servers.get_mut(&server) {
            health.sessions = health.sessions.saturating_sub(1);
            if health.sessions == 0 {
                self.servers.remove(&server);
            }
        }
    }

    /// Whether a media server holds sessions.
    pub fn holds_sessions(&self, server: ServerId) -> bool {
        self.servers.contains_key(&server)
    }

    /// Something was received from a media server, or a connection to it established.
    pub fn mark_alive(&mut self, now: Micros, server: ServerId) {
        if let Some(health) = self.servers.get_mut(&server) {
            (health.last_heard, health.refusals, health.failing_since) = (now, 0, None);
        }
    }

    /// A media server listens at another address: failures to reach the old one say nothing about it.
    pub fn address_changed(&mut self, server: ServerId) {
        if let Some(health) = self.servers.get_mut(&server) {
            (health.refusals, health.failing_since) = (0, None);
        }
    }

    /// Performs a scheduled check, or one at once because the server is `disconnected`: no usable connection
    /// to it is established. It is not called when this node closes a connection to make room, which proves nothing
    /// about the media server.
    pub fn check(&mut self, now: Micros, server: ServerId, disconnected: bool) -> Check {
        let Some(health) = self.servers.get_mut(&server) else { return Check::default() };
        let is_silent = health.last_heard + CHECK_AFTER_SILENCE <= now;
        let dial = disconnected || is_silent || health.failing_since.is_some();
        // A connection attempt in progress ends by itself, and is judged then.
        let next_check = if dial {
            now + self.connect_timeout + RETRY_PAUSE
        } else {
            health.last_heard + CHECK_AFTER_SILENCE
        };
        if health.next_check.is_some_and(|due| due > now && due <= next_check) {
            return Check { dial, next_check: None };
        }
        health.next_check = Some(next_check);
        Check { dial, next_check: Some(next_check) }
    }

    /// A connection attempt has failed.
    pub fn connect_failed(&mut self, now: Micros, server: ServerId, error: DialError) -> Verdict {
        let Some(health) = self.servers.get_mut(&server) else { return Verdict::Undecided };
        let since = *health.failing_since.get_or_insert(now);
        if error == DialError::Refused {
            health.refusals += 1;
        }
        if health.refusals >= MAX_REFUSALS || since + UNREACHABLE_AFTER <= now {
            return Verdict::Lost;
        }
        health.check_again(now)
    }

    /// A connection was refused while another one is established: the process takes no further connection, or has
    /// died without a word on the other one. The other one shows which when it is finished.
    pub fn connect_failed_while_connected(&mut self, now: Micros, server: ServerId) -> Verdict {
        self.servers.get_mut(&server).map_or(Verdict::Undecided, |health| health.check_again(now))
    }

    /// For each media server: the number of its sessions, and when it was last heard.
    pub fn states(&self) -> impl Iterator<Item = (ServerId, usize, Micros)> + '_ {
        self.servers.iter().map(|(id, health)| (*id, health.sessions, health.last_heard))
    }
}
