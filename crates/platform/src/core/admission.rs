//! Decides which client connections are kept. Hundreds of silent connections would take the place of clients,
//! and a partial request would hold a connection for ever. A connection is closed for silence only if neither an
//! open request nor a playing session belongs to it.
//!
//! To make room, connections are closed that have never sent a message or stopped within one, whatever they sent
//! before; only when no place is left at all, also those that are idle. None is closed before what it sends at first can
//! have been read. Those to which playing sessions belong are kept while there is any other, even one that cannot be
//! closed yet: their clients have to be told the ends of the sessions.

use std::collections::{BTreeMap, BTreeSet};

use salttally::interface::Micros;
use salttally_front::core::timers::Timers;

use super::{ClientId, Timer};

/// A connection on which no first message, or the rest of a message, arrives within this time is closed.
const MESSAGE_TIMEOUT: Micros = 2_000_000;
/// A connection without a session is closed this long after its last message.
const IDLE_TIMEOUT: Micros = 8_000_000;
/// What a client writes at first, or next, is read within this time.
const READ_TIME: Micros = 100_000;
/// Number of connections closed at once when no place is left. Only of those that are of no use more are closed.
const CLOSED_AT_ONCE: usize = 8;

/// Number of open requests from which on each client is held to an equal part of them. The time of a decision grows
/// with their number, and so does the wait of all others.
const MAX_OPEN_REQUESTS: usize = 256;

/// The use of a connection, the least useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Use {
    /// It has never sent a message.
    Silent,
    /// A part of a message has arrived, and no more.
    Stopped,
    /// Nothing belongs to it.
    Idle,
    /// Only playing sessions belong to it, which can be ended on any connection.
    Playing,
}

#[derive(Clone, Debug, Default)]
struct Connection {
    connected_at: Micros,
    last_message: Option<Micros>,
    last_set_up: Option<Micros>,
    /// A release was acknowledged on it.
    has_acknowledged: bool,
    /// Since when a part of a message has arrived without the rest.
    partial_since: Option<Micros>,
    open_requests: BTreeSet<u64>,
    playing_sessions: BTreeSet<u64>,
    /// When the next check for silence is due, if one is.
    next_check: Option<Micros>,
}

impl Connection {
    /// Whether no request or session belongs to this connection.
    fn has_no_session(&self) -> bool {
        self.open_requests.is_empty() && self.playing_sessions.is_empty()
    }

    /// Its use, and since when, unless a request is open on it.
    fn use_since(&self) -> Option<(Use, Micros)> {
        match (self.last_message, self.partial_since) {
            _ if !self.open_requests.is_empty() => None,
            (Some(at), _) if !self.playing_sessions.is_empty() => Some((Use::Playing, at)),
            (None, _) => Some((Use::Silent, self.connected_at)),
            (Some(_), Some(since)) => Some((Use::Stopped, since)),
            (Some(at), None) => Some((Use::Idle, at)),
        }
    }

    /// How likely its client reads what is sent on it, if it has sent a message.
    fn reachability(&self) -> Option<(bool, bool, bool, Micros)> {
        let last_message = self.last_message?;
        Some((self.has_acknowledged, !self.has_no_session(), self.last_set_up.is_some(), last_message))
    }

    /// Until when it may be silent without a session.
    fn silent_until(&self) -> Micros {
        let idle_until =
            self.last_message.map_or(self.connected_at + MESSAGE_TIMEOUT, |at| at + IDLE_TIMEOUT);
        self.partial_since.map_or(idle_until, |since| idle_until.min(since + MESSAGE_TIMEOUT))
    }
}

/// The client connections.
#[derive(Clone, Debug)]
pub struct Admission {
    connections: BTreeMap<ClientId, Connection>,
    /// Number of open requests on all connections.
    open_requests: usize,
    limit: usize,
}

impl Admission {
    /// No connections yet. Half of the descriptors may be used by clients, who normally hold a third.
    pub fn new(sockets: usize) -> Admission {
        Admission { connections: BTreeMap::new(), open_requests: 0, limit: (sockets / 2).max(1) }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether this connection is open.
    pub fn contains(&self, id: ClientId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// The connection on which a client is reached most likely, if any client has sent a message.
    pub fn best_for_notices(&self) -> Option<ClientId> {
        self.candidates_for_notices(&BTreeSet::new(), 1).first().copied()
    }

    /// Connections, without these, on which a client may be reached: `count` by how likely it seems, and as many of
    /// those heard last, since nothing may pass any more on others.
    pub fn candidates_for_notices(&self, except: &BTreeSet<ClientId>, count: usize) -> Vec<ClientId> {
        let others = self.connections.iter().filter(|(id, _)| !except.contains(id));
        let mut others: Vec<_> =
            others.filter_map(|(id, connection)| Some((connection.reachability()?, *id))).collect();
        others.sort_unstable_by(|a, b| b.cmp(a));
        let mut latest = others.split_off(count.min(others.len()));
        latest.sort_unstable_by_key(|((.., last_message), id)| (std::cmp::Reverse(*last_message), *id));
        others.into_iter().chain(latest.into_iter().take(count)).map(|(_, id)| id).collect()
    }

    /// A client has acknowledged a release on this connection.
    pub fn release_acknowledged(&mut self, id: ClientId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.has_acknowledged = true;
        }
    }

    /// Adds a connection; returns the connections to close to make room. Where none is of little use, there are more
    /// connections than the limit: a new one may bring a request, which has to be read and answered.
    pub fn add(&mut self, now: Micros, id: ClientId, timers: &mut Timers<Timer>) -> Vec<ClientId> {
        self.connections.insert(id, Connection { connected_at: now, ..Connection::default() });
        self.schedule_check(now + MESSAGE_TIMEOUT, id, timers);
        let excess = self.connections.len().saturating_sub(self.limit);
        self.least_useful(now, Use::Stopped, excess)
    }

    /// No further connection can be accepted, and clients wait: returns the connections to close. Requests may wait behind a
    /// crowd, so all connections that are of no use give way at once.
    pub fn make_room(&self, now: Micros) -> Vec<ClientId> {
        let useless = self.least_useful(now, Use::Stopped, usize::MAX).len();
        self.least_useful(now, Use::Playing, useless.max(CLOSED_AT_ONCE))
    }

    /// The least useful connections up to this use, at most `count` of them.
    fn least_useful(&self, now: Micros, up_to: Use, count: usize) -> Vec<ClientId> {
        if count == 0 {
            return Vec::new();
        }
        let in_use =
            self.connections.iter().filter_map(|(id, connection)| Some((connection.use_since()?, *id)));
        let others: Vec<_> = in_use.filter(|((use_of, _), _)| *use_of <= up_to).collect();
        // Those to which sessions belong are kept while there are others, which can be closed within `READ_TIME`.
        let is_any_other = others.iter().any(|((use_of, _), _)| *use_of < Use::Playing);
        let is_closable = |((use_of, since), _): &((Use, Micros), ClientId)| {
            since + READ_TIME <= now && !(is_any_other && *use_of == Use::Playing)
        };
        let mut closable: Vec<_> = others.into_iter().filter(is_closable).collect();
        closable.sort_unstable();
        closable.into_iter().take(count).map(|(_, id)| id).collect()
    }

    /// A part of a message arrived on a connection, and not all of it.
    pub fn partial_received(&mut self, now: Micros, id: ClientId, timers: &mut Timers<Timer>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let since = *connection.partial_since.get_or_insert(now);
        if connection.next_check.is_some_and(|due| due > since + MESSAGE_TIMEOUT) {
            self.schedule_check(since + MESSAGE_TIMEOUT, id, timers);
        }
    }

    /// A complete message arrived on a connection.
    pub fn message_received(&mut self, now: Micros, id: ClientId, timers: &mut Timers<Timer>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        (connection.last_message, connection.partial_since) = (Some(now), None);
        if connection.next_check.is_none() && connection.has_no_session() {
            self.schedule_check(now + IDLE_TIMEOUT, id, timers);
        }
    }

    /// A set-up arrived on a connection, valid or not.
    pub fn set_up_received(&mut self, now: Micros, id: ClientId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.last_set_up = Some(now);
        }
    }

    /// When the last set-up arrived on a connection.
    pub fn last_set_up(&self, id: ClientId) -> Option<Micros> {
        self.connections.get(&id)?.last_set_up
    }

    /// The connections.
    pub fn clients(&self) -> impl Iterator<Item = ClientId> + '_ {
        self.connections.keys().copied()
    }

    /// A set-up is open on a connection.
    pub fn request_opened(&mut self, id: ClientId, session: u64, timers: &mut Timers<Timer>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        self.open_requests += usize::from(connection.open_requests.insert(session));
        if let Some(due) = connection.next_check.take() {
            timers.cancel(due, Timer::ClientIdle(id));
        }
    }

    /// An open set-up has become a playing session.
    pub fn session_started(&mut self, id: ClientId, session: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        self.open_requests -= usize::from(connection.open_requests.remove(&session));
        connection.playing_sessions.insert(session);
    }

    /// An open set-up was answered otherwise, or a playing session is over.
    pub fn session_ended(&mut self, now: Micros, id: ClientId, session: u64, timers: &mut Timers<Timer>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let was_open = connection.open_requests.remove(&session);
        self.open_requests -= usize::from(was_open);
        let belonged = connection.playing_sessions.remove(&session) || was_open;
        if belonged && connection.has_no_session() && connection.next_check.is_none() {
            let partial_until = connection.partial_since.map(|since| now.max(since + MESSAGE_TIMEOUT));
            let next_check = partial_until.unwrap_or(Micros::MAX).min(now + IDLE_TIMEOUT);
            self.schedule_check(next_check, id, timers);
        }
    }

    /// Whether so many requests are open that a client with this many of its own gets no further one.
    pub fn exceeds_share(&self, id: ClientId) -> bool {
        if self.open_requests < MAX_OPEN_REQUESTS {
            return false;
        }
        let own = self.connections.get(&id).map_or(0, |connection| connection.open_requests.len());
        let clients = self.connections.values().filter(|other| !other.open_requests.is_empty()).count();
        own * clients >= MAX_OPEN_REQUESTS
    }

    /// Sessions whose requests are open on a connection.
    pub fn open_requests(&self, id: ClientId) -> Vec<u64> {
        self.connections
            .get(&id)
            .map_or(Vec::new(), |connection| connection.open_requests.iter().copied().collect())
    }

    /// Removes a connection that is gone; returns the sessions that belonged to it.
    pub fn remove(&mut self, id: ClientId, timers: &mut Timers<Timer>) -> Vec<u64> {
        let Some(connection) = self.connections.remove(&id) else { return Vec::new() };
        self.open_requests -= connection.open_requests.len();
        if let Some(due) = connection.next_check {
            timers.cancel(due, Timer::ClientIdle(id));
        }
        connection.open_requests.into_iter().chain(connection.playing_sessions).collect()
    }

    /// Checks a connection for silence; returns whether it is to be closed.
    pub fn is_idle(&mut self, now: Micros, id: ClientId, timers: &mut Timers<Timer>) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.next_check = None;
        if !connection.has_no_session() {
            return false;
        }
        let until = connection.silent_until();
        if until <= now {
            return true;
        }
        self.schedule_check(until, id, timers);
        false
    }

    fn schedule_check(&mut self, at: Micros, id: ClientId, timers: &mut Timers<Timer>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if let Some(previous) = connection.next_check.replace(at) {
                timers.cancel(previous, Timer::ClientIdle(id));
            }
            timers.set(at, Timer::ClientIdle(id));
        }
    }
}
