//! Connections to servers. One carries many set-ups; what stands belongs to none. What the end of a connection proves
//! of the set-ups on it is told here and nowhere else.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use salttally::interface::{Micros, ServerId};
use salttally::platform_settings::PlatformSettings;
use salttally_front::core::timers::Timers;

use super::{Command, ConnId, Timer};
use crate::wire::{cause, kind, Message};

/// Of the media server's own time, after which an idle connection is closed here: before the media server does, so that
/// no set-up is written into one that it is closing.
const IDLE_SHARE: (Micros, Micros) = (1, 3);
/// Connections to one media server at most.
const MAX_PER_SERVER: usize = 6;
/// Of the connections that there may be, the part that is kept free by ending those that rest, before the room is needed.
const ROOM_KEPT: (usize, usize) = (1, 8);
/// Of them, the part that may be made at a time to look at media servers: set-ups go first.
const HEALTH_CHECK_SHARE: (usize, usize) = (1, 4);
/// Messages that wait for one connection at most; set-ups are bounded by what it carries.
const MAX_UNSENT: usize = 1_024;
/// A connection that takes nothing for this long is of no more use.
const WRITE_TIMEOUT: Micros = 2_000_000;

/// Whether a connection takes what is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is being made.
    Dialing,
    /// It does.
    Open,
    /// Its peer reads nothing: this session's message is cut in the middle, and since when it is so.
    Blocked(Option<u64>, Micros),
    /// Nothing more is written on it; what its peer had written by then is still heard.
    Finishing,
}

#[derive(Clone, Debug)]
struct Connection {
    server: ServerId,
    address: SocketAddr,
    state: State,
    /// What no byte of which has been written, in order.
    unsent: VecDeque<Message>,
    /// Set-ups that are out on it.
    in_flight: BTreeSet<u64>,
    heard: Micros,
    used: Micros,
    /// Something was awaited on it in vain: nothing new is put on it.
    suspect: bool,
    /// A release of what stands was put on it, which its server may not have read. A give-up does not count: the attempt
    /// ends with its connection.
    carries_release: bool,
    purpose: Purpose,
}

impl Connection {
    /// Whether something new may be put on it, as soon as it is made.
    fn takes(&self) -> bool {
        !self.suspect && matches!(self.state, State::Dialing | State::Open)
    }

    /// Whether it is made and nothing is out on it or waits for it.
    fn is_idle(&self) -> bool {
        self.state == State::Open && self.in_flight.is_empty() && self.unsent.is_empty()
    }

    /// Whether this session's set-up waits, with not a byte written.
    fn waits(&self, session: u64) -> bool {
        self.unsent.iter().any(|message| message.kind == kind::SET_UP && message.session == session)
    }

    /// Sessions whose set-ups wait.
    fn unsent(&self) -> Vec<u64> {
        self.in_flight.iter().copied().filter(|session| self.waits(*session)).collect()
    }
}

/// What ended with a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Which one.
    pub conn: ConnId,
    /// Set-ups that may have run.
    pub set_ups: Vec<u64>,
    /// Set-ups of which not a byte was written.
    pub unsent: Vec<u64>,
}

/// What is known of a set-up that was taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawn {
    /// Not a byte of it was written.
    Unsent,
    /// It was, or may have been; its give-up is on the way.
    MayHaveRun,
    /// It is cut in the middle, and half a message never runs: the connection must go for that.
    Cut,
}

/// What a connection is dialled for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    SetUp,
    Message,
    HealthCheck,
}

/// What became of connections for want of room, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomCounts {
    /// Connections that rested and were ended in order, so that others can be made.
    pub ended: u64,
    /// Connections that were closed at once.
    pub closed: u64,
    /// Connections that were not made.
    pub refused: u64,
}

/// All connections to servers.
#[derive(Clone, Debug)]
pub struct Pool {
    connections: BTreeMap<ConnId, Connection>,
    last: u64,
    dials: [u64; 3],
    room: RoomCounts,
    streams: usize,
    most: usize,
    connect_within: Micros,
    idle_kept: Micros,
}

impl Pool {
    /// None yet. To them may go what the clients' connections, open and closed, leave of the process's files.
    pub fn new(facts: &PlatformSettings, sockets: usize) -> Pool {
        Pool {
            connections: BTreeMap::new(),
            last: 0,
            dials: [0; 3],
            room: RoomCounts::default(),
            streams: facts.streams_per_connection,
            most: (sockets * 5 / 12).max(1),
            connect_within: facts.connect_timeout,
            idle_kept: (facts.idle_timeout * IDLE_SHARE.0 / IDLE_SHARE.1).max(1),
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

    /// Connections dialled since the start: for set-ups, for anything else that is told, for looks.
    pub fn dials(&self) -> [u64; 3] {
        self.dials
    }

    /// What became of connections for want of room.
    pub fn room(&self) -> RoomCounts {
        self.room
    }

    /// Whose connection this is.
    pub fn server(&self, conn: ConnId) -> Option<ServerId> {
        self.connections.get(&conn).map(|one| one.server)
    }

    /// The connections of these media servers, and whose each is.
    pub fn connections_of(&self, servers: &BTreeSet<ServerId>) -> Vec<(ConnId, ServerId)> {
        let of_these = self.connections.iter().filter(|(_, one)| servers.contains(&one.server));
        of_these.map(|(id, one)| (*id, one.server)).collect()
    }

    /// The connections of a media server.
    pub fn connections_to(&self, server: ServerId) -> Vec<ConnId> {
        self.connections.iter().filter(|(_, one)| one.server == server).map(|(id, _)| *id).collect()
    }

    /// Whether a connection of the media server stands and is not suspect.
    pub fn is_up(&self, server: ServerId) -> bool {
        self.connections.values().any(|one| one.server == server && one.state == State::Open && !one.suspect)
    }

    /// Whether this connection is being made.
    pub fn dialing(&self, conn: ConnId) -> bool {
        self.connections.get(&conn).is_some_and(|one| one.state == State::Dialing)
    }

    /// Whether this connection is there, made or being made.
    pub fn exists(&self, conn: ConnId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Whether something waits for a connection to be made, or to take it.
    pub fn has_unsent(&self) -> bool {
        self.connections.values().any(|one| !one.unsent.is_empty())
    }

    /// Whether this connection was ended here, and its peer has not closed it yet.
    pub fn is_finishing(&self, conn: ConnId) -> bool {
        self.connections.get(&conn).is_some_and(|one| one.state == State::Finishing)
    }

    /// Nothing new is put on this connection.
    pub fn mark_suspect(&mut self, conn: ConnId) {
        self.connections.entry(conn).and_modify(|one| one.suspect = true);
    }

    /// The connection to put something on, of those with fewer set-ups out than this: one that stands before one that
    /// is being made, the one used last; never one that takes nothing.
    fn pick(&self, to: (ServerId, SocketAddr), streams: usize, avoid: &[ConnId]) -> Option<ConnId> {
        let fits = |one: &Connection| {
            (one.server, one.address) == to && one.takes() && one.in_flight.len() < streams
        };
        let known = self.connections.iter().filter(|(id, one)| fits(one) && !avoid.contains(id));
        known.max_by_key(|(_, one)| (one.state == State::Open, one.used)).map(|(id, _)| *id)
    }

    fn dial(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        purpose: Purpose,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) -> Option<ConnId> {
        let counts = |one: &&Connection| one.server == to.0 && one.state != State::Finishing;
        let of_server = self.connections.values().filter(counts).count();
        if of_server >= MAX_PER_SERVER || (self.connections.len() >= self.most && !self.make_room(out)) {
            self.room.refused += 1;
            return None;
        }
        self.last += 1;
        self.dials[purpose as usize] += 1;
        let id = ConnId(self.last);
        let (server, address) = to;
        let (state, unsent, open) = (State::Dialing, VecDeque::new(), BTreeSet::new());
        let conn = Connection {
            server,
            address,
            state,
            unsent,
            in_flight: open,
            heard: now,
            used: now,
            suspect: false,
            carries_release: false,
            purpose,
        };
        self.connections.insert(id, conn);
        self.keep_room(out);
        timers.set(now + self.connect_within, Timer::ConnectTimeout(id));
        out.push(Command::Connect(id, address));
        Some(id)
    }

    /// Ends the connection that has carried nothing for the longest, where few more can be made. Danger: closed only when
    /// its place is needed, it goes over bytes that nobody has read, which resets it: its peer loses what it has not read
    /// either, and what the peer said is lost here.
    fn keep_room(&mut self, out: &mut Vec<Command>) {
        let kept = (self.most * ROOM_KEPT.0 / ROOM_KEPT.1).max(1);
        let in_use = self.connections.values().filter(|one| one.state != State::Finishing).count();
        if in_use + kept <= self.most {
            return;
        }
        let idle = self.connections.iter_mut().filter(|(_, one)| one.is_idle());
        if let Some((id, conn)) = idle.min_by_key(|(_, one)| one.used.max(one.heard)) {
            conn.state = State::Finishing;
            out.push(Command::FinishServer(*id));
            self.room.ended += 1;
        }
    }

    /// Closes the connection that was ended first and that its peer has not closed yet, else the one that has carried
    /// nothing for the longest, of those that nothing waits for and is out on; tells whether there was one. Danger: with
    /// more servers than connections, those that were never called would be taken for dead.
    fn make_room(&mut self, out: &mut Vec<Command>) -> bool {
        let free = |one: &Connection| one.state == State::Finishing || one.is_idle();
        let closable = self.connections.iter().filter(|(_, one)| free(one));
        let rests =
            |one: &Connection| (one.state != State::Finishing, one.carries_release, one.used.max(one.heard));
        let Some(id) = closable.min_by_key(|(_, one)| rests(one)).map(|(id, _)| *id) else {
            return false;
        };
        self.connections.remove(&id);
        out.push(Command::CloseServer(id));
        self.room.closed += 1;
        true
    }

    fn enqueue(&mut self, now: Micros, id: ConnId, message: Message, out: &mut Vec<Command>) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.used = now;
        if conn.state == State::Open {
            out.push(Command::SendToServer(id, message));
        } else if conn.unsent.len() < MAX_UNSENT || message.kind == kind::SET_UP {
            conn.unsent.push_back(message);
        }
    }

    /// Sends a set-up; tells on which connection, or nothing where there is no room for one. Not on those to avoid:
    /// a late word on an attempt before would be taken for one on this.
    pub fn set_up(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        message: Message,
        avoid: &[ConnId],
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) -> Option<ConnId> {
        let id =
            self.pick(to, self.streams, avoid).or_else(|| self.dial(now, to, Purpose::SetUp, timers, out))?;
        let session = message.session;
        self.enqueue(now, id, message, out);
        self.connections.entry(id).and_modify(|conn| {
            conn.in_flight.insert(session);
        });
        Some(id)
    }

    /// Sends something else: on this connection, else on any other of the media server, else on a new one.
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
            self.connections.get(id).is_some_and(|one| (one.server, one.address) == to && one.takes())
        };
        let on = on.filter(fits).or_else(|| self.pick(to, usize::MAX, &[]));
        let id = on.or_else(|| self.dial(now, to, Purpose::Message, timers, out))?;
        let is_release = message.kind == kind::RELEASE;
        self.connections.entry(id).and_modify(|conn| conn.carries_release |= is_release);
        self.enqueue(now, id, message, out);
        Some(id)
    }

    /// Makes a new connection to see whether the media server is there, unless one is being made. Returns whether one
    /// is.
    pub fn check(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) -> bool {
        let mut dialing = self.connections.values().filter(|one| one.state == State::Dialing);
        if dialing.clone().any(|one| one.server == to.0) {
            return true;
        }
        let checks = dialing.by_ref().filter(|one| one.purpose == Purpose::HealthCheck).count();
        if checks >= (self.most * HEALTH_CHECK_SHARE.0 / HEALTH_CHECK_SHARE.1).max(1) {
            return false;
        }
        self.dial(now, to, Purpose::HealthCheck, timers, out).is_some()
    }

    /// A connection is made: what waited is written.
    pub fn established(
        &mut self,
        now: Micros,
        id: ConnId,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        (conn.heard, conn.used) = (now, now);
        self.writable(id, out);
        timers.set(now + self.idle_kept, Timer::IdleTimeout(id));
    }

    /// The connection takes nothing now: of the message that `cut` names a part was written, of these not a byte.
    /// Danger: kept where they cannot be taken back, they would go out long after whoever asked has left.
    pub fn blocked(
        &mut self,
        now: Micros,
        id: ConnId,
        cut: Option<u64>,
        unsent: Vec<Message>,
        timers: &mut Timers<Timer>,
    ) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.state = State::Blocked(cut, now);
        // A set-up that was taken back meanwhile goes nowhere, nor does its give-up.
        let set_up = |message: &&Message| message.kind == kind::SET_UP;
        let over = |message: &Message| !conn.in_flight.contains(&message.session);
        let sessions = unsent.iter().filter(set_up).filter(|m| over(m)).map(|m| m.session);
        let taken_back: BTreeSet<u64> = sessions.collect();
        let kept = unsent.into_iter().filter(|message| !taken_back.contains(&message.session));
        kept.rev().for_each(|message| conn.unsent.push_front(message));
        timers.set(now + WRITE_TIMEOUT, Timer::WriteTimeout(id));
    }

    /// It takes something again, or for the first time: what waits goes out.
    pub fn writable(&mut self, id: ConnId, out: &mut Vec<Command>) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.state = State::Open;
        out.extend(conn.unsent.drain(..).map(|message| Command::SendToServer(id, message)));
    }

    /// Whether it has taken nothing for too long.
    pub fn is_blocked(&self, now: Micros, id: ConnId) -> bool {
        let state = self.connections.get(&id).map(|conn| conn.state);
        matches!(state, Some(State::Blocked(_, since)) if since + WRITE_TIMEOUT <= now)
    }

    /// Set-ups to these media servers of which not a byte was written.
    pub fn unsent(&self, servers: &BTreeSet<ServerId>) -> Vec<u64> {
        let of_these = self.connections.values().filter(|one| servers.contains(&one.server));
        of_these.flat_map(Connection::unsent).collect()
    }

    /// A connection has closed, or could not be made.
    pub fn closed(&mut self, id: ConnId) -> Ended {
        let mut ended = Ended { conn: id, set_ups: Vec::new(), unsent: Vec::new() };
        if let Some(mut conn) = self.connections.remove(&id) {
            ended.unsent = conn.unsent();
            if let State::Blocked(Some(cut), _) = conn.state {
                // Half a message never runs.
                ended.unsent.extend(Some(cut).filter(|session| conn.in_flight.contains(session)));
            }
            ended.unsent.iter().for_each(|session| {
                conn.in_flight.remove(session);
            });
            ended.set_ups = conn.in_flight.into_iter().collect();
        }
        ended
    }

    /// Something was heard on it: whose it is.
    pub fn heard(&mut self, now: Micros, id: ConnId) -> Option<ServerId> {
        let conn = self.connections.get_mut(&id)?;
        (conn.heard, conn.used) = (now, now);
        Some(conn.server)
    }

    /// A set-up has its answer: it has ended, or stands and belongs to no connection from here on.
    pub fn ended(&mut self, id: ConnId, session: u64, out: &mut Vec<Command>) {
        self.connections.entry(id).and_modify(|conn| {
            conn.in_flight.remove(&session);
        });
        self.finish_suspect(id, out);
    }

    /// Whether something can be sent to a media server without a connection being closed for it on which a release may
    /// lie unread.
    pub fn has_room_to(&self, to: (ServerId, SocketAddr)) -> bool {
        let mut ended = self.connections.values().filter(|one| one.state == State::Finishing);
        self.connections.len() < self.most
            || self.pick(to, usize::MAX, &[]).is_some()
            || ended.any(|one| !one.carries_release)
    }

    /// Ends all connections that nothing is out on and nothing waits for.
    pub fn finish_idle(&mut self, out: &mut Vec<Command>) {
        for (id, conn) in self.connections.iter_mut().filter(|(_, conn)| conn.is_idle()) {
            conn.state = State::Finishing;
            out.push(Command::FinishServer(*id));
        }
    }

    /// Ends a connection that is of no more use, as soon as nothing is out on it: its peer closes it when all that was
    /// written is read, and shows by that that what was given up there is over.
    fn finish_suspect(&mut self, id: ConnId, out: &mut Vec<Command>) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        if conn.suspect && conn.is_idle() {
            conn.state = State::Finishing;
            out.push(Command::FinishServer(id));
        }
    }

    /// Takes a set-up back. Where it was written, its give-up follows. Danger: a connection that stays open and is of
    /// no more use, though notes may still come on it; after a time-out nothing new is put on it, and it is ended.
    pub fn withdraw(
        &mut self,
        id: ConnId,
        session: u64,
        timed_out: bool,
        out: &mut Vec<Command>,
    ) -> Withdrawn {
        let Some(conn) = self.connections.get_mut(&id) else { return Withdrawn::MayHaveRun };
        conn.in_flight.remove(&session);
        if conn.waits(session) {
            conn.unsent.retain(|message| message.session != session);
            return Withdrawn::Unsent;
        }
        if matches!(conn.state, State::Blocked(Some(cut), _) if cut == session) {
            return Withdrawn::Cut;
        }
        conn.suspect |= timed_out;
        let used = conn.used;
        self.enqueue(used, id, Message::release(session, cause::NORMAL), out);
        self.finish_suspect(id, out);
        Withdrawn::MayHaveRun
    }

    /// A connection may have been idle long enough, or be of no more use. Danger: what stands belongs to no connection,
    /// and its media server may say on this one, as it is closed, that it is over; closed at once, its clients would
    /// never hear of it.
    pub fn idle(&mut self, now: Micros, id: ConnId, timers: &mut Timers<Timer>, out: &mut Vec<Command>) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let last = conn.used.max(conn.heard);
        if conn.state == State::Open
            && conn.in_flight.is_empty()
            && (conn.suspect || last + self.idle_kept <= now)
        {
            conn.state = State::Finishing;
            out.push(Command::FinishServer(id));
        } else if conn.state != State::Finishing {
            let again = if conn.suspect { now + self.connect_within } else { last + self.idle_kept };
            timers.set(again.max(now + self.connect_within), Timer::IdleTimeout(id));
        }
    }

    /// Set-ups that are out on any connection.
    pub fn out(&self) -> BTreeSet<u64> {
        self.connections.values().flat_map(|conn| conn.in_flight.iter().copied()).collect()
    }
}
