//! Connections to servers. A connection carries many set-ups; playing sessions belong to no connection. What
//! the end of a connection proves about the set-ups on it is decided here and nowhere else.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use salttally::interface::{Micros, ServerId};
use salttally::platform_settings::PlatformSettings;
use salttally_front::core::timers::Timers;

use super::{Command, ConnId, Timer};
use crate::wire::{cause, kind, Message};

/// The fraction of the media server's own idle time-out after which an idle connection is finished here, so
/// that no set-up is written to a connection that the server is closing.
const IDLE_TIMEOUT_FRACTION: (Micros, Micros) = (1, 3);
/// Maximum number of connections to one media server.
const MAX_PER_SERVER: usize = 6;
/// The fraction of all connections that is kept free, by finishing idle ones before their places are needed.
const RESERVED_FRACTION: (usize, usize) = (1, 8);
/// The fraction of all connections that may be dialled for health checks at a time: set-ups have priority.
const HEALTH_CHECK_FRACTION: (usize, usize) = (1, 4);
/// The fraction of all connections that checks of low priority may use.
const LOW_PRIORITY_FRACTION: (usize, usize) = (1, 8);
/// The fraction of all connections that may wait for servers that hang without making room for set-ups.
const REPORTING_FRACTION: (usize, usize) = (1, 2);
/// Maximum number of messages that wait for one connection; set-ups are limited by the streams of the
/// connection.
const MAX_UNSENT_MESSAGES: usize = 1_024;
/// A connection that accepts no bytes for this long is closed.
const WRITE_TIMEOUT: Micros = 2_000_000;

/// Whether a connection accepts messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The connection is being established.
    Dialing,
    /// The connection accepts messages.
    Open,
    /// The peer reads nothing: the session whose set-up is partly written, if any, and the time at which the
    /// connection became blocked.
    Blocked(Option<u64>, Micros),
    /// Nothing more is written; what the peer sent until its close is still read.
    Finishing,
}

#[derive(Clone, Debug)]
struct Connection {
    server: ServerId,
    address: SocketAddr,
    state: State,
    /// Messages of which not a byte has been written, in order.
    unsent: VecDeque<Message>,
    /// Sessions whose set-ups are in flight on this connection.
    in_flight: BTreeSet<u64>,
    dialed_at: Micros,
    established_at: Option<Micros>,
    /// When it was finished, if it was.
    finished_at: Option<Micros>,
    last_received: Micros,
    last_used: Micros,
    /// The server has sent something on it.
    heard: bool,
    /// An expected message did not arrive on it: nothing new is sent on it.
    suspect: bool,
    /// A release of a playing session was sent on it, and its server may not have read it. A give-up does not
    /// count, since the attempt ends with its connection.
    carries_release: bool,
    purpose: Purpose,
    /// It was dialled for a check of low priority, and nothing else has been sent on it.
    is_low_priority: bool,
}

impl Connection {
    /// Whether new messages may be sent on it, perhaps once it is established.
    fn accepts_messages(&self) -> bool {
        !self.suspect && matches!(self.state, State::Dialing | State::Open)
    }

    /// Writes nothing more on it, and reads on until the server closes it.
    fn finish(&mut self, now: Micros, id: ConnId, out: &mut Vec<Command>) {
        (self.state, self.finished_at) = (State::Finishing, Some(now));
        out.push(Command::FinishServer(id));
    }

    /// Whether it is established and nothing is in flight or unsent on it.
    fn is_idle(&self) -> bool {
        self.state == State::Open && self.in_flight.is_empty() && self.unsent.is_empty()
    }

    /// Whether this session's set-up is unsent: not a byte of it is written.
    fn has_unsent_set_up(&self, session: u64) -> bool {
        self.unsent.iter().any(|message| message.kind == kind::SET_UP && message.session == session)
    }

    /// Sessions whose set-ups are unsent.
    fn unsent_set_ups(&self) -> Vec<u64> {
        self.in_flight.iter().copied().filter(|session| self.has_unsent_set_up(*session)).collect()
    }

    /// Sessions whose set-ups are unsent or partly written. A partial message never runs.
    fn unwritten_set_ups(&self) -> Vec<u64> {
        let mut unwritten = self.unsent_set_ups();
        if let State::Blocked(Some(cut), _) = self.state {
            unwritten.extend(Some(cut).filter(|session| self.in_flight.contains(session)));
        }
        unwritten
    }
}

/// The set-ups that ended with a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedConnection {
    /// The connection.
    pub conn: ConnId,
    /// Sessions whose set-ups may have run.
    pub set_ups: Vec<u64>,
    /// Sessions whose set-ups have not run, since they were not fully written.
    pub unsent: Vec<u64>,
}

/// A connection, as far as it can prove that a server owes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionAge {
    /// The connection.
    pub id: ConnId,
    /// When it was dialled.
    pub dialed_at: Micros,
    /// When it was established, if it is.
    pub established_at: Option<Micros>,
}

/// What is known about a set-up that was withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawn {
    /// Not a byte of it was written.
    Unsent,
    /// It was written, or may have been; a give-up follows it.
    MayHaveRun,
    /// It was partly written, and a partial message never runs: the connection must be closed to keep it so.
    PartlyWritten,
}

/// What a connection is dialled for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    SetUp,
    Message,
    HealthCheck,
}

/// The priority of the check of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckPriority {
    /// It may hold sessions that are known to play.
    Normal,
    /// All that it may hold is likely made up.
    Low,
}

/// What happened to connections for lack of room, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomCounts {
    /// Idle connections that were finished, so that others can be opened.
    pub ended: u64,
    /// Connections that were closed at once.
    pub closed: u64,
    /// Connections that were not opened.
    pub refused: u64,
}

/// All connections to servers.
#[derive(Clone, Debug)]
pub struct Pool {
    connections: BTreeMap<ConnId, Connection>,
    last_id: u64,
    dials: [u64; 3],
    room_counts: RoomCounts,
    /// Servers that hold sessions.
    holders: BTreeSet<ServerId>,
    /// Servers that are expected to send a note, for which a connection is kept open.
    awaiting_note: BTreeSet<ServerId>,
    /// Servers of the connections that were closed for lack of room since the last call of `take_evicted`.
    evicted: Vec<ServerId>,
    max_streams: usize,
    max_connections: usize,
    connect_timeout: Micros,
    idle_timeout: Micros,
}

impl Pool {
    /// An empty pool. It may use the descriptors of the process that client connections, open and closing,
    /// leave over.
    pub fn new(platform_settings: &PlatformSettings, sockets: usize) -> Pool {
        Pool {
            connections: BTreeMap::new(),
            last_id: 0,
            dials: [0; 3],
            room_counts: RoomCounts::default(),
            holders: BTreeSet::new(),
            awaiting_note: BTreeSet::new(),
            evicted: Vec::new(),
            max_streams: platform_settings.streams_per_connection,
            max_connections: (sockets * 5 / 12).max(1),
            connect_timeout: platform_settings.connect_timeout,
            idle_timeout: (platform_settings.idle_timeout * IDLE_TIMEOUT_FRACTION.0
                / IDLE_TIMEOUT_FRACTION.1)
                .max(1),
        }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Numbers of connections dialled since the start: for set-ups, for other messages, for health checks.
    pub fn dials(&self) -> [u64; 3] {
        self.dials
    }

    /// What happened to connections for lack of room.
    pub fn room_counts(&self) -> RoomCounts {
        self.room_counts
    }

    /// The server of this connection.
    pub fn server(&self, conn: ConnId) -> Option<ServerId> {
        self.connections.get(&conn).map(|conn| conn.server)
    }

    /// When this connection was dialled.
    pub fn dialed_at(&self, conn: ConnId) -> Option<Micros> {
        self.connections.get(&conn).map(|conn| conn.dialed_at)
    }

    /// The connections of these media servers, each with its server.
    pub fn connections_of(&self, servers: &BTreeSet<ServerId>) -> Vec<(ConnId, ServerId)> {
        let of_these = self.connections.iter().filter(|(_, conn)| servers.contains(&conn.server));
        of_these.map(|(id, conn)| (*id, conn.server)).collect()
    }

    /// The connections of a media server.
    pub fn connections_to(&self, server: ServerId) -> Vec<ConnId> {
        self.connections.iter().filter(|(_, conn)| conn.server == server).map(|(id, _)| *id).collect()
    }

    /// Whether a connection to the media server is established and not suspect.
    pub fn is_up(&self, server: ServerId) -> bool {
        self.is_up_since(server, Micros::MAX)
    }

    /// The same for connections that were established by then.
    pub fn is_up_since(&self, server: ServerId, by: Micros) -> bool {
        let is_older = |conn: &Connection| conn.established_at.is_some_and(|at| at <= by);
        self.connections
            .values()
            .any(|conn| conn.server == server && conn.state == State::Open && !conn.suspect && is_older(conn))
    }

    /// Whether this connection is being established.
    pub fn is_dialing(&self, conn: ConnId) -> bool {
        self.connections.get(&conn).is_some_and(|conn| conn.state == State::Dialing)
    }

    /// Whether this connection is established or being established.
    pub fn exists(&self, conn: ConnId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Whether any message waits to be written.
    pub fn has_unsent(&self) -> bool {
        self.connections.values().any(|conn| !conn.unsent.is_empty())
    }

    /// Whether this connection was finished here, and its peer has not closed it yet.
    pub fn is_finishing(&self, conn: ConnId) -> bool {
        self.connections.get(&conn).is_some_and(|conn| conn.state == State::Finishing)
    }

    /// Sends nothing new on this connection from now on.
    pub fn mark_suspect(&mut self, conn: ConnId) {
        self.connections.entry(conn).and_modify(|conn| conn.suspect = true);
    }

    /// The connection for a new message, among those with fewer than `streams` set-ups in flight: an
    /// established one before one that is being established, then the one used last; never a blocked one.
    fn pick(&self, to: (ServerId, SocketAddr), streams: usize, avoid: &[ConnId]) -> Option<ConnId> {
        let fits = |conn: &Connection| {
            (conn.server, conn.address) == to && conn.accepts_messages() && conn.in_flight.len() < streams
        };
        let candidates = self.connections.iter().filter(|(id, conn)| fits(conn) && !avoid.contains(id));
        candidates.max_by_key(|(_, conn)| (conn.state == State::Open, conn.last_used)).map(|(id, _)| *id)
    }

    fn dial(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        purpose: Purpose,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) -> Option<ConnId> {
        let is_counted = |conn: &&Connection| conn.server == to.0 && conn.state != State::Finishing;
        let of_server = self.connections.values().filter(is_counted).count();
        if of_server >= MAX_PER_SERVER
            || (self.connections.len() >= self.max_connections && !self.make_room(purpose, out))
        {
            self.room_counts.refused += 1;
            return None;
        }
        self.last_id += 1;
        self.dials[purpose as usize] += 1;
        let id = ConnId(self.last_id);
        let (server, address) = to;
        let (state, unsent, set_ups) = (State::Dialing, VecDeque::new(), BTreeSet::new());
        let conn = Connection {
            server,
            address,
            state,
            unsent,
            in_flight: set_ups,
            dialed_at: now,
            established_at: None,
            finished_at: None,
            last_received: now,
            last_used: now,
            heard: false,
            suspect: false,
            carries_release: false,
            purpose,
            is_low_priority: false,
        };
        self.connections.insert(id, conn);
        self.reserve_room(now, out);
        timers.set(now + self.connect_timeout, Timer::ConnectTimeout(id));
        out.push(Command::Connect(id, address));
        Some(id)
    }

    /// For each server that holds sessions, the first connection that is established and on which nothing has
    /// come. The process of a server that hangs takes it first when it goes on, and sends on it the ends that it
    /// owes, whether or not it has been closed here by then.
    fn reporting_connections(&self) -> BTreeSet<ConnId> {
        let mut first = BTreeMap::new();
        for (id, conn) in &self.connections {
            let is_established = conn.established_at.is_some();
            if is_established && !conn.heard && self.holders.contains(&conn.server) {
                first.entry(conn.server).or_insert(*id);
            }
        }
        first.into_values().collect()
    }

    /// Whether a connection may bring the ends of sessions that its server owes.
    pub fn may_report_ends(&self, id: ConnId) -> bool {
        self.reporting_connections().contains(&id)
    }

    /// Records whether a server holds sessions.
    pub fn set_holds_sessions(&mut self, server: ServerId, holds: bool) {
        if holds {
            self.holders.insert(server);
        } else {
            self.holders.remove(&server);
        }
    }

    /// Records whether a note from a server is expected.
    pub fn set_awaits_note(&mut self, server: ServerId, awaits: bool) {
        if awaits {
            self.awaiting_note.insert(server);
        } else {
            self.awaiting_note.remove(&server);
        }
    }

    /// Finishes the connection that has been idle for the longest, where few more can be opened. If it were
    /// closed only when its place is needed, unread bytes might lie on it, and closing would then reset it:
    /// what the peer sent would be lost here, and the peer would lose what it has not read yet.
    fn reserve_room(&mut self, now: Micros, out: &mut Vec<Command>) {
        let reserved = (self.max_connections * RESERVED_FRACTION.0 / RESERVED_FRACTION.1).max(1);
        let in_use = self.connections.values().filter(|conn| conn.state != State::Finishing).count();
        if in_use + reserved <= self.max_connections {
            return;
        }
        let idle = self.connections.iter_mut().filter(|(_, conn)| conn.is_idle());
        if let Some((id, conn)) = idle.min_by_key(|(_, conn)| conn.last_used.max(conn.last_received)) {
            conn.finish(now, *id, out);
            self.room_counts.ended += 1;
        }
    }

    /// Closes one connection, and returns whether there was one to close: a finishing one before an idle one,
    /// then one without a release sent on it before others, then the one unused for the longest. Danger:
    /// without this, with more servers than connections, servers that were never dialled would be taken for
    /// dead. A connection that may bring ends of sessions is closed last, and only for a set-up while there are
    /// many of them: an end that is lost is worse than a message or an attempt that finds no room.
    fn make_room(&mut self, purpose: Purpose, out: &mut Vec<Command>) -> bool {
        let reporting = self.reporting_connections();
        let max_kept = self.max_connections * REPORTING_FRACTION.0 / REPORTING_FRACTION.1;
        let may_close_reporting = purpose == Purpose::SetUp && reporting.len() > max_kept;
        let is_closable = |id: &ConnId, conn: &Connection| {
            (conn.state == State::Finishing || conn.is_idle())
                && (may_close_reporting || !reporting.contains(id))
        };
        let closable = self.connections.iter().filter(|(id, conn)| is_closable(id, conn));
        let eviction_order = |id: &ConnId, conn: &Connection| {
            let is_idle = conn.state != State::Finishing;
            (reporting.contains(id), is_idle, conn.carries_release, conn.last_used.max(conn.last_received))
        };
        let Some(id) = closable.min_by_key(|(id, conn)| eviction_order(id, conn)).map(|(id, _)| *id) else {
            return false;
        };
        self.evicted.extend(self.connections.remove(&id).map(|conn| conn.server));
        out.push(Command::CloseServer(id));
        self.room_counts.closed += 1;
        true
    }

    fn enqueue(&mut self, now: Micros, id: ConnId, message: Message, out: &mut Vec<Command>) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        (conn.last_used, conn.is_low_priority) = (now, false);
        if conn.state == State::Open {
            out.push(Command::SendToServer(id, message));
        } else if conn.unsent.len() < MAX_UNSENT_MESSAGES || message.kind == kind::SET_UP {
            conn.unsent.push_back(message);
        }
    }

    /// Sends a set-up; returns the connection, or nothing where there is no room for one. The connections in
    /// `avoid` are not used: a late message about an earlier attempt would be taken for one about this
    /// attempt.
    pub fn set_up(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        message: Message,
        avoid: &[ConnId],
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) -> Option<ConnId> {
        let id = self
            .pick(to, self.max_streams, avoid)
            .or_else(|| self.dial(now, to, Purpose::SetUp, timers, out))?;
        let session = message.session;
        self.enqueue(now, id, message, out);
        self.connections.entry(id).and_modify(|conn| {
            conn.in_flight.insert(session);
        });
        Some(id)
    }

    /// Sends any other message: on this connection, else on any other of the media server, else on a new one.
    pub fn send(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        on: Option<ConnId>,
        message: Message,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) -> Option<ConnId> {
        let fits = |id: &ConnId| {
            self.connections
                .get(id)
                .is_some_and(|conn| (conn.server, conn.address) == to && conn.accepts_messages())
        };
        let on = on.filter(fits).or_else(|| self.pick(to, usize::MAX, &[]));
        let id = on.or_else(|| self.dial(now, to, Purpose::Message, timers, out))?;
        let is_release = message.kind == kind::RELEASE;
        self.connections.entry(id).and_modify(|conn| conn.carries_release |= is_release);
        self.enqueue(now, id, message, out);
        Some(id)
    }

    /// Opens a new connection to check whether the media server is alive, unless one is being established.
    /// Returns whether one is.
    pub fn dial_health_check(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        priority: CheckPriority,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) -> bool {
        let mut dialing = self.connections.values().filter(|conn| conn.state == State::Dialing);
        if dialing.clone().any(|conn| conn.server == to.0) {
            return true;
        }
        let checks = dialing.by_ref().filter(|conn| conn.purpose == Purpose::HealthCheck).count();
        if checks >= (self.max_connections * HEALTH_CHECK_FRACTION.0 / HEALTH_CHECK_FRACTION.1).max(1) {
            return false;
        }
        let is_low_priority = priority == CheckPriority::Low;
        if is_low_priority && self.is_low_priority_used_up() {
            return false;
        }
        let dialed = self.dial(now, to, Purpose::HealthCheck, timers, out);
        if let Some(conn) = dialed.and_then(|id| self.connections.get_mut(&id)) {
            conn.is_low_priority = is_low_priority;
        }
        dialed.is_some()
    }

    fn is_low_priority_used_up(&self) -> bool {
        let limit = self.max_connections * LOW_PRIORITY_FRACTION.0 / LOW_PRIORITY_FRACTION.1;
        self.connections.values().filter(|conn| conn.is_low_priority).count() >= limit.max(1)
    }

    /// A connection is established: writes the unsent messages.
    pub fn established(
        &mut self,
        now: Micros,
        id: ConnId,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        (conn.last_received, conn.last_used, conn.established_at) = (now, now, Some(now));
        self.writable(id, out);
        timers.set(now + self.idle_timeout, Timer::IdleTimeout(id));
    }

    /// The connection accepts no more bytes: the set-up of session `cut` was partly written, and of the
    /// `unsent` messages not a byte was. They come back here, where they can be withdrawn: otherwise they
    /// would be written long after the client has left.
    pub fn mark_blocked(
        &mut self,
        now: Micros,
        id: ConnId,
        cut: Option<u64>,
        unsent: Vec<Message>,
        timers: &mut Timers<Timer>,
    ) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.state = State::Blocked(cut, now);
        // A set-up that was withdrawn in the meantime is dropped, and its give-up with it.
        let is_set_up = |message: &&Message| message.kind == kind::SET_UP;
        let is_withdrawn = |message: &Message| !conn.in_flight.contains(&message.session);
        let sessions = unsent.iter().filter(is_set_up).filter(|m| is_withdrawn(m)).map(|m| m.session);
        let withdrawn: BTreeSet<u64> = sessions.collect();
        let remaining = unsent.into_iter().filter(|message| !withdrawn.contains(&message.session));
        remaining.rev().for_each(|message| conn.unsent.push_front(message));
        timers.set(now + WRITE_TIMEOUT, Timer::WriteTimeout(id));
    }

    /// The connection accepts bytes, again or for the first time: writes the unsent messages.
    pub fn writable(&mut self, id: ConnId, out: &mut Vec<Command>) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.state = State::Open;
        out.extend(conn.unsent.drain(..).map(|message| Command::SendToServer(id, message)));
    }

    /// Whether the connection has been blocked for too long.
    pub fn is_blocked_too_long(&self, now: Micros, id: ConnId) -> bool {
        let state = self.connections.get(&id).map(|conn| conn.state);
        matches!(state, Some(State::Blocked(_, since)) if since + WRITE_TIMEOUT <= now)
    }

    /// Whether this session's set-up is written completely on this connection, as far as is known.
    pub fn is_written(&self, id: ConnId, session: u64) -> bool {
        let Some(conn) = self.connections.get(&id) else { return false };
        conn.in_flight.contains(&session) && !conn.unwritten_set_ups().contains(&session)
    }

    /// Sessions whose set-ups are not completely written on this connection.
    pub fn unwritten_set_ups(&self, id: ConnId) -> Vec<u64> {
        self.connections.get(&id).map_or(Vec::new(), Connection::unwritten_set_ups)
    }

    /// Sessions whose set-ups to these media servers are unsent.
    pub fn unsent_set_ups_to(&self, servers: &BTreeSet<ServerId>) -> Vec<u64> {
        let of_these = self.connections.values().filter(|conn| servers.contains(&conn.server));
        of_these.flat_map(Connection::unsent_set_ups).collect()
    }

    /// Removes a connection that was closed or could not be established, and returns the set-ups on it.
    pub fn remove(&mut self, id: ConnId) -> EndedConnection {
        let mut ended = EndedConnection { conn: id, set_ups: Vec::new(), unsent: Vec::new() };
        if let Some(mut conn) = self.connections.remove(&id) {
            ended.unsent = conn.unwritten_set_ups();
            ended.unsent.iter().for_each(|session| {
                conn.in_flight.remove(session);
            });
            ended.set_ups = conn.in_flight.into_iter().collect();
        }
        ended
    }

    /// Something was received on the connection; returns its server.
    pub fn message_received(&mut self, now: Micros, id: ConnId) -> Option<ServerId> {
        let conn = self.connections.get_mut(&id)?;
        (conn.last_received, conn.last_used, conn.heard) = (now, now, true);
        Some(conn.server)
    }

    /// A set-up was answered: it has failed, or the session plays and belongs to no connection from now on.
    pub fn set_up_ended(&mut self, now: Micros, id: ConnId, session: u64, out: &mut Vec<Command>) {
        self.connections.entry(id).and_modify(|conn| {
            conn.in_flight.remove(&session);
        });
        self.finish_suspect(now, id, out);
    }

    /// Whether a message to a media server can be sent without a new connection.
    pub fn has_connection_to(&self, to: (ServerId, SocketAddr)) -> bool {
        self.pick(to, usize::MAX, &[]).is_some()
    }

    /// Whether nothing has come on this connection for this long after something was sent on it at `sent_at`.
    pub fn is_silent_since(&self, now: Micros, id: ConnId, sent_at: Micros, silence: Micros) -> bool {
        let Some(conn) = self.connections.get(&id) else { return false };
        conn.established_at.is_some_and(|established_at| {
            let written_at = sent_at.max(established_at);
            conn.last_received <= written_at && written_at + silence <= now
        })
    }

    /// Whether this connection was finished here this long ago, and its server has not closed it.
    pub fn is_finish_stalled(&self, now: Micros, id: ConnId, timeout: Micros) -> bool {
        let conn = self.connections.get(&id).filter(|conn| conn.state == State::Finishing);
        // It has no time any more once it was reported as stalled.
        conn.is_some_and(|conn| conn.finished_at.is_none_or(|at| at + timeout <= now))
    }

    /// Whether a connection can be opened without closing one on which a release may lie unread.
    pub fn has_room(&self) -> bool {
        let mut finishing = self.connections.values().filter(|conn| conn.state == State::Finishing);
        self.connections.len() < self.max_connections || finishing.any(|conn| !conn.carries_release)
    }

    /// Finishes the idle connections for which `applies` holds; returns whether there were any.
    fn finish_idle_if(
        &mut self,
        now: Micros,
        applies: impl Fn(ConnId, &Connection) -> bool,
        out: &mut Vec<Command>,
    ) -> bool {
        let mut any = false;
        let idle = self.connections.iter_mut().filter(|(id, conn)| conn.is_idle() && applies(**id, conn));
        for (id, conn) in idle {
            conn.finish(now, *id, out);
            any = true;
        }
        any
    }

    /// Finishes all idle connections.
    pub fn finish_idle(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.finish_idle_if(now, |_, _| true, out);
    }

    /// Finishes a connection, if it is idle.
    pub fn finish_if_idle(&mut self, now: Micros, id: ConnId, out: &mut Vec<Command>) {
        self.finish_idle_if(now, |other, _| other == id, out);
    }

    /// Whether a connection to a server is established. Idle ones are finished: a process that is alive closes
    /// them, and has room for another one then; one that has died is found by a reset.
    pub fn finish_established(&mut self, now: Micros, server: ServerId, out: &mut Vec<Command>) -> bool {
        self.finish_idle_if(now, |_, conn| conn.server == server, out);
        self.connections.values().any(|conn| conn.server == server && conn.established_at.is_some())
    }

    /// Finishes idle connections to a server that have been silent for `silence` while another one was not.
    /// One on which nothing passes any more cannot be told from an idle one, unless the server closes it.
    /// Returns whether any was finished.
    pub fn finish_redundant(
        &mut self,
        now: Micros,
        server: ServerId,
        silence: Micros,
        out: &mut Vec<Command>,
    ) -> bool {
        if self.awaiting_note.contains(&server) {
            return false;
        }
        let of_server = |conn: &&Connection| conn.server == server && conn.state == State::Open;
        let latest = self.connections.values().filter(of_server).map(|conn| conn.last_received).max();
        let is_redundant = |_, conn: &Connection| {
            let is_silent = conn.last_received + silence <= now && Some(conn.last_received) < latest;
            conn.server == server && is_silent
        };
        self.finish_idle_if(now, is_redundant, out)
    }

    /// Whether a server has not closed a connection that was finished at least `timeout` ago. Each connection
    /// is reported once.
    pub fn take_stalled_finish(&mut self, now: Micros, server: ServerId, timeout: Micros) -> bool {
        let mut any = false;
        for conn in self.connections.values_mut().filter(|conn| conn.server == server) {
            let is_stalled = |at: &mut Micros| conn.state == State::Finishing && *at + timeout <= now;
            any |= conn.finished_at.take_if(is_stalled).is_some();
        }
        any
    }

    /// The number of the latest connection.
    pub fn last_id(&self) -> ConnId {
        ConnId(self.last_id)
    }

    /// The latest connection to a server that was dialled after `earlier`.
    pub fn newest_connection(&self, server: ServerId, earlier: ConnId) -> Option<ConnectionAge> {
        let later = self.connections.iter().rev().take_while(|(id, _)| **id > earlier);
        let newest = later.into_iter().find(|(_, conn)| conn.server == server);
        newest.map(|(id, conn)| ConnectionAge {
            id: *id,
            dialed_at: conn.dialed_at,
            established_at: conn.established_at,
        })
    }

    /// Servers of the connections that were closed for lack of room since the last call.
    pub fn take_evicted(&mut self) -> Vec<ServerId> {
        std::mem::take(&mut self.evicted)
    }

    /// Finishes a suspect connection as soon as it is idle: its peer closes it once everything written on it
    /// is read, which proves that the attempts given up on it are over.
    fn finish_suspect(&mut self, now: Micros, id: ConnId, out: &mut Vec<Command>) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        if conn.suspect && conn.is_idle() {
            conn.finish(now, id, out);
        }
    }

    /// Withdraws a set-up; if it was written, a give-up is sent after it. After a time-out the connection is
    /// suspect: it may stay open without being of any use, even if notes still arrive on it. Nothing new is
    /// sent on it, and it is finished.
    pub fn withdraw(
        &mut self,
        now: Micros,
        id: ConnId,
        session: u64,
        timed_out: bool,
        out: &mut Vec<Command>,
    ) -> Withdrawn {
        let Some(conn) = self.connections.get_mut(&id) else { return Withdrawn::MayHaveRun };
        conn.in_flight.remove(&session);
        if conn.has_unsent_set_up(session) {
            conn.unsent.retain(|message| message.session != session);
            return Withdrawn::Unsent;
        }
        if matches!(conn.state, State::Blocked(Some(cut), _) if cut == session) {
            return Withdrawn::PartlyWritten;
        }
        conn.suspect |= timed_out;
        let last_used = conn.last_used;
        self.enqueue(last_used, id, Message::release(session, cause::NORMAL), out);
        self.finish_suspect(now, id, out);
        Withdrawn::MayHaveRun
    }

    /// Finishes a connection that has been idle for long enough or is suspect. It is not closed at once:
    /// playing sessions belong to no connection, and the media server may report the end of one on this
    /// connection as it is closed; the clients would never learn of it.
    pub fn check_idle(
        &mut self,
        now: Micros,
        id: ConnId,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let last = conn.last_used.max(conn.last_received);
        let is_idle = last + self.idle_timeout <= now && !self.awaiting_note.contains(&conn.server);
        if conn.state == State::Open && conn.in_flight.is_empty() && (conn.suspect || is_idle) {
            conn.finish(now, id, out);
        } else if conn.state != State::Finishing {
            let next_check = if conn.suspect { now + self.connect_timeout } else { last + self.idle_timeout };
            timers.set(next_check.max(now + self.connect_timeout), Timer::IdleTimeout(id));
        }
    }

    /// All sessions whose set-ups are in flight.
    pub fn in_flight_set_ups(&self) -> BTreeSet<u64> {
        self.connections.values().flat_map(|conn| conn.in_flight.iter().copied()).collect()
    }
}
