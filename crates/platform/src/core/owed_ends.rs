//! Ends of sessions that may have been lost on their way from a media server.
//!
//! A server sends the end of a session on an open connection, and once more on the next connection that is
//! opened. An end that is lost with its connection therefore arrives only on a connection that is opened
//! later, even if others to the same server are in use. So a server owes ends from the loss of a connection
//! while it holds sessions until it has sent something, or has closed in order, on a connection that was
//! opened after the loss. That the connection is established proves nothing: the kernel accepts it for a
//! process that may hang.
//!
//! While a server owes ends, it is checked at least every [`MAX_CHECK_DELAY`]: a connection is opened, and
//! finished if the server has nothing to say on it, since its close is the proof. If nothing comes, another
//! one is opened.

use std::collections::BTreeMap;

use salttally::interface::{Micros, ServerId};

use super::{Command, ConnId, Core, Decider, Level, Timer, END_NOTICE_LIMIT};

/// Maximum time between two checks of a server that owes ends: several connections may be lost in a row within
/// the time limit for telling an end.
pub(super) const MAX_CHECK_DELAY: Micros = END_NOTICE_LIMIT / 4;
/// Interval between checks while a proof is awaited.
const CHECK_INTERVAL: Micros = 250_000;
/// Minimum interval between connections opened for this purpose to the same server.
const MIN_DIAL_INTERVAL: Micros = 150_000;
/// A connection that has been established for this long without a message is finished.
const PROOF_WAIT: Micros = 1_000_000;
/// A connection on which nothing has come for this long since it was dialled may be lost too.
const REDIAL_AFTER: Micros = 2_000_000;

/// An idle connection is finished if nothing came on it for this long, and something did on another one.
const REDUNDANT_AFTER_SILENCE: Micros = 3_500_000;
/// A server that does not close a finished connection for this long hangs, or nothing passes on the connection
/// any more.
const FINISH_STALLED_AFTER: Micros = 1_000_000;

/// Why a server may owe ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// A connection was reset, closed or given up.
    Connection,
    /// A connection was closed here because its place was needed. Many servers may lose theirs in this way at
    /// once.
    Evicted,
    /// A connection was not established in time; the server may have taken it all the same.
    NotEstablished,
}

impl Loss {
    /// How long after the loss the server is checked.
    fn check_delay(self) -> Micros {
        match self {
            Loss::Connection => 0,
            Loss::Evicted => MAX_CHECK_DELAY,
            Loss::NotEstablished => MIN_DIAL_INTERVAL,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OwedEnds {
    since: Micros,
    /// Only connections opened after this one prove that nothing is owed.
    last_unproven: ConnId,
    last_dial: Option<Micros>,
    next_check: Micros,
}

/// The servers that may owe ends.
#[derive(Clone, Debug, Default)]
pub(super) struct OwedEndsByServer(BTreeMap<ServerId, OwedEnds>);

impl OwedEndsByServer {
    /// Forgets a server that holds no sessions.
    pub fn remove(&mut self, server: ServerId) {
        self.0.remove(&server);
    }

    /// Number of servers that owe ends, and since when the first of them does.
    pub fn status(&self) -> (usize, Option<Micros>) {
        (self.0.len(), self.0.values().map(|owed| owed.since).min())
    }

    /// The servers, each with the time since when it owes ends and that of its next check.
    #[cfg(test)]
    pub fn checks(&self) -> impl Iterator<Item = (ServerId, Micros, Micros)> + '_ {
        self.0.iter().map(|(server, owed)| (*server, owed.since, owed.next_check))
    }
}

impl<D: Decider> Core<D> {
    /// Ends of sessions at this server may have been lost.
    pub(super) fn ends_may_be_lost(&mut self, server: ServerId, loss: Loss, out: &mut Vec<Command>) {
        if !self.health.holds_sessions(server) {
            return;
        }
        let (now, last_unproven) = (self.now, self.pool.last_id());
        let previous = self.owed_ends.0.get(&server).copied();
        let last_dial = previous.and_then(|owed| owed.last_dial);
        let earliest = last_dial.map_or(now, |at| at + MIN_DIAL_INTERVAL);
        let mut next_check = (now + loss.check_delay()).max(earliest);
        if let Some(previous) = previous {
            self.timers.cancel(previous.next_check, Timer::OwedEnds(server));
            next_check = next_check.min(previous.next_check.max(now));
        } else {
            let text = format!("server s-{:08x}: ends may be lost: {loss:?}", server.0);
            out.push(Command::Log(Level::Debug, text));
        }
        let since = previous.map_or(now, |owed| owed.since);
        self.owed_ends.0.insert(server, OwedEnds { since, last_unproven, last_dial, next_check });
        self.timers.set(next_check, Timer::OwedEnds(server));
    }

    /// A server has sent a message on this connection, or has closed it in order: it has sent what it owed
    /// when the connection was opened.
    pub(super) fn owed_ends_arrived(&mut self, server: ServerId, conn: ConnId, out: &mut Vec<Command>) {
        let Some(owed) = self.owed_ends.0.get(&server).filter(|owed| conn > owed.last_unproven) else {
            return;
        };
        let after_ms = (self.now - owed.since) / 1000;
        self.timers.cancel(owed.next_check, Timer::OwedEnds(server));
        self.owed_ends.remove(server);
        let text = format!("server s-{:08x}: no end is owed any more, after {after_ms} ms", server.0);
        out.push(Command::Log(Level::Debug, text));
    }

    /// Opens a connection to a server that owes ends, or finishes one on which it is silent.
    pub(super) fn check_owed_ends(&mut self, server: ServerId, out: &mut Vec<Command>) {
        let Some(mut owed) = self.owed_ends.0.get(&server).copied() else { return };
        let address = self.servers.address(server).filter(|_| self.health.holds_sessions(server));
        let Some(address) = address else { return self.owed_ends.remove(server) };
        let newest = self.pool.newest_connection(server, owed.last_unproven);
        match newest.filter(|conn| self.now < conn.dialed_at + REDIAL_AFTER) {
            Some(conn) if conn.established_at.is_some_and(|at| at + PROOF_WAIT <= self.now) => {
                self.pool.finish_if_idle(self.now, conn.id, out);
            }
            Some(_) => {}
            None if !self.dial_backoff.allows(self.now, server) => {}
            None => {
                let (to, priority) = ((server, address), self.check_priority(server));
                if self.pool.dial_health_check(self.now, to, priority, &mut self.timers, out) {
                    owed.last_dial = Some(self.now);
                }
            }
        }
        owed.next_check = self.now + CHECK_INTERVAL;
        self.owed_ends.0.insert(server, owed);
        self.timers.set(owed.next_check, Timer::OwedEnds(server));
    }

    /// Finishes connections on which nothing may pass any more: a server that is alive closes them.
    pub(super) fn check_silent_connections(&mut self, server: ServerId, out: &mut Vec<Command>) {
        if self.pool.finish_redundant(self.now, server, REDUNDANT_AFTER_SILENCE, out) {
            self.timers.set(self.now + FINISH_STALLED_AFTER, Timer::StalledFinish(server));
        }
        self.check_stalled_finish(server, out);
    }

    /// A server has not closed a finished connection for long. It is closed here, unless the server may still
    /// report ends on it.
    pub(super) fn finish_overdue(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        if !self.pool.may_report_ends(conn) {
            self.disconnect(conn, out);
        }
    }

    /// A connection that its server does not close may have been lost before, and ends with it.
    pub(super) fn check_stalled_finish(&mut self, server: ServerId, out: &mut Vec<Command>) {
        if self.pool.take_stalled_finish(self.now, server, FINISH_STALLED_AFTER) {
            self.ends_may_be_lost(server, Loss::Connection, out);
        }
    }

    /// Number of servers that may owe ends of sessions, and since when the first of them does.
    pub fn owed_ends_status(&self) -> (usize, Option<Micros>) {
        self.owed_ends.status()
    }
}
