//! Which client connections are kept. Danger: hundreds that say nothing take the place of clients; half a request
//! holds a connection for ever. A connection is closed only where no set-up is open on it, and those that have said
//! nothing go first.

use std::collections::{BTreeMap, BTreeSet};

use salttally::interface::Micros;
use salttally_front::core::timers::Timers;

use super::{ClientId, Timer};

/// A connection on which nothing whole was said for so long after it came is closed.
const FIRST_MESSAGE_TIMEOUT: Micros = 2_000_000;
/// One without a session, after the last word.
const IDLE_TIMEOUT: Micros = 8_000_000;

#[derive(Clone, Debug, Default)]
struct Connection {
    since: Micros,
    last_message: Option<Micros>,
    open: BTreeSet<u64>,
    playing: BTreeSet<u64>,
    /// When it is looked at, if it is.
    due: Option<Micros>,
}

impl Connection {
    /// Whether no session is its.
    fn has_no_session(&self) -> bool {
        self.open.is_empty() && self.playing.is_empty()
    }
}

/// Client connections.
#[derive(Clone, Debug)]
pub struct Admission {
    connections: BTreeMap<ClientId, Connection>,
    limit: usize,
}

impl Admission {
    /// None yet; half of the process's files may go to them, and clients hold a third.
    pub fn new(sockets: usize) -> Admission {
        Admission { connections: BTreeMap::new(), limit: (sockets / 2).max(1) }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Some connection on which a client was heard: one with a session before any other, the newest first.
    pub fn any(&self) -> Option<ClientId> {
        let heard = self.connections.iter().filter(|(_, connection)| connection.last_message.is_some());
        heard.max_by_key(|(id, connection)| (!connection.has_no_session(), **id)).map(|(id, _)| *id)
    }

    /// One has come; tells which go to make room, perhaps itself.
    pub fn connected(&mut self, now: Micros, id: ClientId, timers: &mut Timers<Timer>) -> Vec<ClientId> {
        let mut go = Vec::new();
        while self.connections.len() - go.len() >= self.limit {
            let free = |(other, connection): &(&ClientId, &Connection)| {
                connection.has_no_session() && !go.contains(*other)
            };
            let first = self.connections.iter().filter(free).min_by_key(|(_, g)| (g.last_message, g.since));
            match first.map(|(other, _)| *other) {
                Some(other) => go.push(other),
                None => {
                    go.push(id);
                    break;
                }
            }
        }
        self.connections.insert(id, Connection { since: now, ..Connection::default() });
        self.arm(now + FIRST_MESSAGE_TIMEOUT, id, timers);
        go
    }

    /// A whole message came on it.
    pub fn message_received(&mut self, now: Micros, id: ClientId, timers: &mut Timers<Timer>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_message = Some(now);
        if connection.due.is_none() && connection.has_no_session() {
            self.arm(now + IDLE_TIMEOUT, id, timers);
        }
    }

    /// A set-up is open on it.
    pub fn request_opened(&mut self, id: ClientId, session: u64, timers: &mut Timers<Timer>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.open.insert(session);
        if let Some(due) = connection.due.take() {
            timers.cancel(due, Timer::ClientIdle(id));
        }
    }

    /// That set-up stands.
    pub fn session_started(&mut self, id: ClientId, session: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.open.remove(&session);
        connection.playing.insert(session);
    }

    /// It is answered otherwise, or what stood is over.
    pub fn session_ended(&mut self, now: Micros, id: ClientId, session: u64, timers: &mut Timers<Timer>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let was = connection.open.remove(&session) | connection.playing.remove(&session);
        if was && connection.has_no_session() && connection.due.is_none() {
            self.arm(now + IDLE_TIMEOUT, id, timers);
        }
    }

    /// Requests that are open their answer on it.
    pub fn open(&self, id: ClientId) -> Vec<u64> {
        self.connections.get(&id).map_or(Vec::new(), |connection| connection.open.iter().copied().collect())
    }

    /// It has gone; the sessions that were its.
    pub fn closed(&mut self, id: ClientId, timers: &mut Timers<Timer>) -> Vec<u64> {
        let Some(connection) = self.connections.remove(&id) else { return Vec::new() };
        if let Some(due) = connection.due {
            timers.cancel(due, Timer::ClientIdle(id));
        }
        connection.open.into_iter().chain(connection.playing).collect()
    }

    /// It may have been silent long enough; tells whether it is to be closed.
    pub fn is_idle(&mut self, now: Micros, id: ClientId, timers: &mut Timers<Timer>) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.due = None;
        if !connection.has_no_session() {
            return false;
        }
        let until =
            connection.last_message.map_or(connection.since + FIRST_MESSAGE_TIMEOUT, |at| at + IDLE_TIMEOUT);
        if until <= now {
            return true;
        }
        self.arm(until, id, timers);
        false
    }

    fn arm(&mut self, at: Micros, id: ClientId, timers: &mut Timers<Timer>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.due = Some(at);
            timers.set(at, Timer::ClientIdle(id));
        }
    }
}
