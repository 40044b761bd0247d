//! A front node as state, with no I/O, clock or thread: told what comes, it answers with what is to be done.
//!
//! [`Core::handle`] takes the time and one [`NodeEvent`]; [`Core::next_due`] tells when it must be called again. All
//! decisions are asked of a [`Decider`], which is [`salttally::controller::Controller`] in service. The lock on one answer, one
//! attempt and single effects is the session's own, [`salttally_front::core::session`], as for every other entry.
//!
//! - [`mod@self`]: the state, and what the decider's actions become.
//! - `clients`: requests, give-ups and ends by clients; the one answer.
//! - `servers`: what servers say of set-ups and of what stands.
//! - `in_doubt`: attempts that were given up and may go on at their servers.
//! - [`pool`]: connections to servers, each with many set-ups; what the end of one proves.
//! - [`health`]: whether a media server that holds sessions is there.
//! - `releases`: ends that are told until they are heard.
//! - `shutdown`: the end of the process in order.
//! - [`list_watch`]: the numbered events of the list.
//! - [`admission`]: which client connections are kept, and which make room.

pub mod admission;
mod clients;
pub mod health;
mod in_doubt;
pub mod list_watch;
pub mod pool;
mod releases;
mod servers;
mod shutdown;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use salttally::interface::*;
use salttally::platform_settings::PlatformSettings;
use salttally_front::core::gone;
use salttally_front::core::session::{Attempt, Session, Stage, Stop};
use salttally_front::core::timers::Timers;
pub use salttally_front::core::{ClientId, ConnId, Decider, DialError, Level, Listed};

use crate::wire::frames::Frame;
use crate::wire::{cause, code, kind, Message};
use admission::Admission;
use health::{Health, Verdict};
use list_watch::{ListWatch, Update};
pub use pool::RoomCounts;
use pool::{Pool, Withdrawn};
use releases::Releases;

/// What a front node hears.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// A client's connection was accepted.
    ClientConnected(ClientId),
    /// A message on it.
    ClientMessage(ClientId, Message),
    /// It cannot be read any further.
    ClientUnreadable(ClientId),
    /// It was broken or reset: nothing reaches its peer any more.
    ClientClosed(ClientId),
    /// Its peer writes no more, and perhaps reads on.
    ClientHalfClosed(ClientId),
    /// A dial ended.
    ConnectEnded(ConnId, Result<(), DialError>),
    /// A media server's message.
    ServerMessage(ConnId, Message),
    /// Messages of a media server that came in one read, in order.
    ServerMessages(ConnId, Vec<Message>),
    /// A media server writes no more on a connection that is ended here. Whether it has read all that was written is told by
    /// one of the next three.
    ServerHalfClosed(ConnId),
    /// A media server has closed its connection, and all that it wrote was handed in.
    ServerClosed(ConnId),
    /// A media server has reset its connection: it may not have read what was written last.
    ServerReset(ConnId),
    /// A media server's connection is gone, and its peer has not said so: what was written may still be read there.
    ServerLost(ConnId),
    /// It cannot be read any further.
    ServerUnreadable(ConnId),
    /// It takes nothing now: of the message of this session a part was written, of these not a byte.
    ServerBlocked(ConnId, Option<u64>, Vec<Message>),
    /// It takes something again.
    ServerWritable(ConnId),
    /// A connection to the coordinator stands.
    ListConnected(u64),
    /// Bytes on it that make no whole frame yet.
    ListBytes(u64),
    /// A frame on it.
    ListFrame(u64, Frame),
    /// It broke, or could not be made or read.
    ListClosed(u64),
    /// The list is told at another address from now on.
    CoordinatorMoved(SocketAddr),
    /// The process is to end.
    Shutdown,
    /// Something may be due by this time, at which the sockets were looked at: all that lay in them was handed in.
    Tick,
}

/// What the edge is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Write to a client.
    SendToClient(ClientId, Message),
    /// Close a client's connection when all is written.
    CloseClient(ClientId),
    /// Connect to a media server.
    Connect(ConnId, SocketAddr),
    /// Write to a media server.
    SendToServer(ConnId, Message),
    /// Close a connection to a media server: what it takes at once is written, nothing is waited for.
    CloseServer(ConnId),
    /// Write nothing more to a media server, and hand in what it says until it closes too, for a while at most; then that
    /// it has closed.
    FinishServer(ConnId),
    /// Connect to the coordinator, and write this number.
    ConnectList(u64, SocketAddr, u64),
    /// Close that connection.
    CloseList(u64),
    /// A line for the operators' log.
    Log(Level, String),
    /// Nobody is accepted any more but who has connected by now: the process is about to end.
    StopListening,
    /// All that was owed is answered, and the process may end.
    Exit,
}

/// What may be due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// An attempt runs out of time.
    AttemptTimeout(u64, u32),
    /// The module wants to be woken with this tag.
    Wake(u64),
    /// A session's answer is overdue.
    AnswerDeadline(u64),
    /// A moved client is no longer waited for.
    MovedKept(ViewerId),
    /// A release may have been lost with its connection.
    ReleaseCheck(u64),
    /// A moved session has not ended at its media server.
    MoveTimeout(u64),
    /// A connection is not made in time.
    ConnectTimeout(ConnId),
    /// A connection to a media server may have been idle long enough.
    IdleTimeout(ConnId),
    /// A connection to a media server may have taken nothing for too long.
    WriteTimeout(ConnId),
    /// A probe takes too long.
    ProbeTimeout(u64),
    /// A media server that holds sessions is to be looked at.
    HealthCheck(ServerId),
    /// A client's connection may have been silent long enough.
    ClientIdle(ClientId),
    /// The coordinator may be silent, or is to be called again.
    ListWatch,
    /// The process ends, whatever stands.
    Shutdown,
}

/// A session and what the protocol needs of it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub session: Session,
    /// What goes on to servers unchanged, until it plays.
    pub passed: Vec<(u8, Vec<u8>)>,
    /// The connection of the attempt that is out, or by which it plays.
    pub conn: Option<ConnId>,
    /// The connections of the attempts before, on which late words on them may still come.
    pub before: Vec<ConnId>,
    /// Servers at which an attempt was given up that may go on there, and its connection.
    pub in_doubt: Vec<(ServerId, ConnId)>,
    /// Since when it plays.
    pub since: Micros,
    /// It was taken off its media server by a move.
    pub moving: bool,
}

impl Entry {
    fn new(session: Session, since: Micros) -> Entry {
        let (passed, before, in_doubt) = (Vec::new(), Vec::new(), Vec::new());
        Entry { session, passed, conn: None, before, in_doubt, since, moving: false }
    }
}

/// What a front node has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Answers: plays.
    pub played: u64,
    /// Answers: refused.
    pub refused: u64,
    /// Answers: failed.
    pub failed: u64,
    /// Of them: nothing was decided in time.
    pub overdue: u64,
    /// Requests that could not be used.
    pub unusable: u64,
    /// Set-ups sent.
    pub attempts: u64,
    /// Sessions moved.
    pub moved: u64,
    /// Sessions lost with their servers.
    pub lost: u64,
    /// Sessions handed over at a start.
    pub resumed: u64,
    /// Actions of the decider that the lock stopped.
    pub stopped: u64,
    /// Connections to servers that could not be read any further.
    pub unreadable: u64,
    /// Releases that were sent to media servers once more, since their connections were gone.
    pub releases_again: u64,
    /// Ends that were told to clients once more, for the same reason.
    pub ends_again: u64,
    /// Set-ups for which no connection could be made for want of room.
    pub no_room: u64,
    /// Attempts that were given up and may go on at their servers, and those of them that were shown to be over.
    pub in_doubt: u64,
    /// The latter.
    pub resolved: u64,
    /// Connections to servers that were dialled: for set-ups, for anything else that is told, and for looks at servers.
    pub dials: [u64; 3],
}

/// An attempt for which there is no room for a connection ends after so long.
const ROOM_WAIT: Micros = 20_000;
/// A moved client is waited for so long.
const MOVED_CLIENT_KEPT: Micros = 30_000_000;
/// A moved session that its media server has not ended by then is ended there.
const MOVE_TIMEOUT: Micros = 400_000;
/// A front node that cannot reach its coordinator serves by the list that it was started with from then on.
const READY_WITHOUT_LIST: Micros = 3_000_000;
/// Ends that come before the hand-over of their sessions are remembered for so long after a start, and so many.
const EARLY_ENDS_KEPT: Micros = 30_000_000;
const MAX_EARLY_ENDS: usize = 4_096;

/// A front node's state.
pub struct Core<D> {
    decider: D,
    facts: PlatformSettings,
    now: Micros,
    sessions: BTreeMap<u64, Entry>,
    admission: Admission,
    pool: Pool,
    health: Health,
    list_watch: ListWatch,
    servers: BTreeMap<ServerId, SocketAddr>,
    /// Clients that this front moved and that have not come back.
    moved: BTreeMap<ViewerId, Micros>,
    probes: BTreeMap<u64, (ServerId, ConnId)>,
    next_probe: u64,
    timers: Timers<Timer>,
    events: VecDeque<Event>,
    /// What the list says, and what ended by it: heard ahead of all else.
    list_events: VecDeque<Event>,
    /// When the process began.
    began: Micros,
    releases: Releases,
    /// What no connection was there for, and until when it is of use.
    undelivered: VecDeque<(Micros, Message)>,
    /// Sessions that their servers ended before they were handed over.
    early_ends: BTreeMap<u64, (ServerId, Message)>,
    shutdown_since: Option<Micros>,
    /// Everything is released and this is waited for no longer, for what is released to go out.
    releasing_until: Option<Micros>,
    finished: bool,
    counts: Counts,
}

impl<D: Decider> Core<D> {
    /// A front node that has just started: it knows this list, which may be old.
    pub fn new(decider: D, facts: PlatformSettings, sockets: usize, now: Micros) -> Self {
        let pool = Pool::new(&facts, sockets);
        let health = Health::new(facts.connect_timeout);
        // Nodes that start in the same microsecond are few.
        let list_watch = ListWatch::new(facts.settings.drain_grace, now);
        Core {
            decider,
            facts,
            now,
            sessions: BTreeMap::new(),
            admission: Admission::new(sockets),
            pool,
            health,
            list_watch,
            servers: BTreeMap::new(),
            moved: BTreeMap::new(),
            probes: BTreeMap::new(),
            next_probe: 0,
            timers: Timers::default(),
            events: VecDeque::new(),
            list_events: VecDeque::new(),
            began: now,
            releases: Releases::default(),
            undelivered: VecDeque::new(),
            early_ends: BTreeMap::new(),
            shutdown_since: None,
            releasing_until: None,
            finished: false,
            counts: Counts::default(),
        }
    }

    /// Begins: takes the list as known, and follows it from there.
    pub fn begin(
        &mut self,
        now: Micros,
        known: Vec<Listed>,
        index: u64,
        at: SocketAddr,
        out: &mut Vec<Command>,
    ) {
        self.now = self.now.max(now);
        self.list_update(ListKind::Cached, known, out);
        self.list_watch.begin(self.now, index, at, &mut self.timers, out);
        self.deliver_events(out);
    }

    /// Who decides.
    pub fn decider(&self) -> &D {
        &self.decider
    }

    /// For each media server of the list: its connections, sessions that play there, set-ups that are out, and when it
    /// was last heard of if it is watched. To be held against what crosses the sockets and what the module believes.
    pub fn ledger(&self) -> BTreeMap<ServerId, (Vec<ConnId>, i32, i32, Option<Micros>)> {
        let mut servers: BTreeMap<_, _> =
            self.servers.keys().map(|id| (*id, (self.pool.connections_to(*id), 0, 0, None))).collect();
        for entry in self.sessions.values() {
            let Some(at) = entry.session.at() else { continue };
            let Some(row) = servers.get_mut(&at.server) else { continue };
            let plays = i32::from(entry.session.playing().is_some());
            (row.1, row.2) = (row.1 + plays, row.2 + 1 - plays);
        }
        for (id, _, heard) in self.health.states() {
            servers.entry(id).and_modify(|row| row.3 = Some(heard));
        }
        servers
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// What was done so far.
    pub fn counts(&self) -> Counts {
        Counts { dials: self.pool.dials(), ..self.counts }
    }

    /// What became of connections to servers for want of room.
    pub fn room(&self) -> RoomCounts {
        self.pool.room()
    }

    /// Number of the last event of the list, and when its coordinator was last heard, if it was.
    pub fn list_heard(&self) -> (u64, Option<Micros>) {
        self.list_watch.last_heard()
    }

    /// Sessions in hand, those that play, client connections, connections to servers, timers.
    pub fn held(&self) -> [usize; 5] {
        let playing = self.sessions.values().filter(|entry| entry.session.playing().is_some()).count();
        [self.sessions.len(), playing, self.admission.len(), self.pool.len(), self.timers.len()]
    }

    /// Whether it can serve: a server is known, and the list was heard or has not come for long. Danger: a start while
    /// the coordinator is down would be out of service for as long; one that knows no server would be given clients and
    /// serve none of them.
    pub fn ready(&self) -> bool {
        let heard = self.list_watch.synced() || self.now >= self.began + READY_WITHOUT_LIST;
        heard && !self.servers.is_empty() && self.shutdown_since.is_none()
    }

    /// Whether the process was told to end.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_since.is_some()
    }

    /// Takes in one input; what is to be done is added to `out`, in order. The decider hears of it by [`Core::decide`],
    /// or at the next tick. What is due is done at [`NodeEvent::Tick`] alone. Danger: a process that was stopped, or
    /// had no processor for a while, finds answers in its sockets and time-outs in its queue; were the time-outs looked
    /// at between two inputs, set-ups that stand would be taken back. The edge hands in what waits in the sockets, and
    /// then a tick with the time of its look at them: it may be stopped between the two as well.
    pub fn handle(&mut self, now: Micros, input: NodeEvent, out: &mut Vec<Command>) {
        self.now = self.now.max(now);
        match input {
            NodeEvent::ClientConnected(client) => self.client_connected(client, out),
            NodeEvent::ClientMessage(client, message) => self.client_message(client, message, out),
            NodeEvent::ClientUnreadable(client) => self.close_client(client, out),
            NodeEvent::ClientClosed(client) => self.client_closed(client, out),
            // Whoever asked has gone or waits for no more than what is owed: it is answered, and nothing is sent on.
            NodeEvent::ClientHalfClosed(client) => self.close_client(client, out),
            NodeEvent::ConnectEnded(conn, result) => self.connect_ended(conn, result, out),
            NodeEvent::ServerMessage(conn, message) => self.server_message(conn, message, out),
            NodeEvent::ServerMessages(conn, messages) => self.server_messages(conn, messages, out),
            NodeEvent::ServerClosed(conn) => {
                if self.pool.is_finishing(conn) {
                    self.releases_read(conn);
                }
                self.connection_closed(conn, true, out);
                self.closed_by_server(conn, out);
            }
            NodeEvent::ServerHalfClosed(conn) => self.closed_by_server(conn, out),
            NodeEvent::ServerReset(conn) => {
                self.connection_closed(conn, true, out);
                self.closed_by_server(conn, out);
            }
            NodeEvent::ServerLost(conn) => self.connection_closed(conn, false, out),
            NodeEvent::ServerUnreadable(conn) => self.server_unreadable(conn, out),
            NodeEvent::ServerBlocked(conn, cut, unsent) => {
                self.pool.blocked(self.now, conn, cut, unsent, &mut self.timers);
            }
            NodeEvent::ServerWritable(conn) => self.pool.writable(conn, out),
            NodeEvent::ListConnected(number) => {
                self.list_watch.connected(self.now, number, &mut self.timers, out)
            }
            NodeEvent::ListBytes(number) => self.list_watch.bytes_received(self.now, number),
            NodeEvent::ListFrame(number, frame) => {
                match self.list_watch.frame_received(self.now, number, frame, &mut self.timers, out) {
                    Some(Update::Whole(lines)) => self.list_update(ListKind::Complete, lines, out),
                    Some(Update::Changes(lines)) => self.list_update(ListKind::Changes, lines, out),
                    None => {}
                }
            }
            NodeEvent::ListClosed(number) => self.list_watch.disconnected(self.now, number, &mut self.timers),
            NodeEvent::CoordinatorMoved(at) => self.list_watch.follow(self.now, at, &mut self.timers, out),
            NodeEvent::Shutdown => self.begin_shutdown(out),
            NodeEvent::Tick => {
                self.deliver_events(out);
                // By the time when the sockets were looked at, which may lie back.
                while let Some(due) = self.timers.pop(now) {
                    self.timer_fired(due, out);
                    self.deliver_events(out);
                }
                self.check_shutdown(now, out);
            }
        }
    }

    /// The decider hears of what was handed in since the last time, and what it decides is done. Called when all that
    /// lay in the sockets was handed in, and the answers in it were written. Dangers: a client may have asked and gone,
    /// or have cancelled on any connection, or have gone while a media server turned its request away, and what says so
    /// may lie unread behind other bytes, for as long as the process was stopped; and while the decider looks at all
    /// that it holds, a client waits on for an answer that has come.
    pub fn decide(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.now = self.now.max(now);
        self.deliver_events(out);
    }

    // ---- The decider's actions ----

    fn deliver_events(&mut self, out: &mut Vec<Command>) {
        let mut actions = Vec::new();
        while let Some(event) = self.list_events.pop_front().or_else(|| self.events.pop_front()) {
            if let Some(text) = log_line(&event) {
                out.push(Command::Log(Level::Info, text));
            }
            self.decider.handle(self.now, &event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action, out);
            }
        }
    }

    fn execute(&mut self, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::SetUp(id, server, time_out) => self.set_up(number(&id), server, time_out, out),
            Action::SetRung(id, rung) => self.set_rung(number(&id), rung, out),
            Action::Move(id) => self.move_away(number(&id), out),
            Action::Refuse(id, hold_off) => self.refuse(number(&id), hold_off, out),
            Action::Fail(id) => self.fail(number(&id), out),
            Action::Probe(server) => self.probe(server, out),
            // The list is followed from the start, whatever the module asks for.
            Action::FollowList => {}
            Action::WakeAt(tag, at) => self.timers.set(at, Timer::Wake(tag)),
            Action::Log(text) => out.push(Command::Log(Level::Info, text)),
        }
    }

    /// The decider is told that a client has gone. A request that it has not heard of, it never hears of; of an attempt
    /// whose end it has not heard of, it hears that no other is to follow.
    fn client_gone(&mut self, id: u64) {
        let of = name(id);
        let asked = |event: &Event| matches!(event, Event::Request(request) if request.session == of);
        if let Some(at) = self.events.iter().position(asked) {
            self.events.remove(at);
            return;
        }
        for event in self.events.iter_mut().rev() {
            if let Event::Ended { session, last, .. } = event {
                if *session == of {
                    *last = true;
                    return;
                }
            }
        }
        self.events.push_back(Event::ClientLeft(of));
    }

    fn stopped(&mut self, what: &str, id: u64, out: &mut Vec<Command>) {
        self.counts.stopped += 1;
        out.push(Command::Log(Level::Warn, format!("stopped {what} for session {id:016x}")));
    }

    fn set_up(&mut self, id: u64, server: ServerId, time_out: Micros, out: &mut Vec<Command>) {
        let address = self.servers.get(&server).copied();
        let Some(entry) = self.sessions.get_mut(&id) else {
            return self.stopped("a set-up of no session here", id, out);
        };
        let in_doubt = entry.in_doubt.iter().any(|(at, _)| *at == server);
        let session = &mut entry.session;
        let number = match (session.next_attempt(self.now, &self.facts.settings), address) {
            (Err(Stop::TooMany), _) => return self.stopped("an attempt too many", id, out),
            (Ok(number), _) if in_doubt => Err(number),
            (Ok(number), Some(_)) => Ok(number),
            (Ok(number), None)
            | (Err(Stop::NotHeld(number) | Stop::MayHaveRun(number) | Stop::Terms(number)), _) => Err(number),
        };
        let (Ok(number), Some(address)) = (number, address) else {
            let attempt = number.unwrap_or_else(|number| number);
            let last = !session.owed();
            let (outcome, report) = (Outcome::NotSent, Vec::new());
            let session = name(id);
            self.events.push_back(Event::Ended { session, attempt, server, outcome, last, report });
            return self.stopped("a set-up that must not be", id, out);
        };
        // No time-out of the module's means until the client gives up; none reaches past that.
        let whole = session.deadline - self.now;
        let time_out = if time_out == 0 { whole } else { time_out.min(whole) };
        let (expires, rung) = (self.now + time_out, session.wanted);
        let attempt = Attempt { number, wire: number, server, address, sent: self.now, expires, rung };
        session.stage = Stage::Trying(attempt);
        let mut message = Message::new(kind::SET_UP, id);
        message.parameters.clone_from(&entry.passed);
        let message = message
            .with(code::WAIT_MS, (time_out / 1000).max(1).to_string())
            .with(code::RUNG, rung.to_string());
        let to = (server, address);
        entry.conn = self.pool.set_up(self.now, to, message, &entry.before, &mut self.timers, out);
        if entry.conn.is_some() {
            self.counts.attempts += 1;
            return self.timers.set(expires, Timer::AttemptTimeout(id, number));
        }
        // It ends unsent a little later, when there may be room for the next. Danger: tried again at once, a process
        // without room would do nothing else.
        self.counts.no_room += 1;
        let ends = expires.min(self.now + ROOM_WAIT);
        if let Stage::Trying(attempt) = &mut entry.session.stage {
            attempt.expires = ends;
        }
        self.timers.set(ends, Timer::AttemptTimeout(id, number));
        let text = format!("session {id:016x}: no room for a connection to s-{:08x}", server.0);
        out.push(Command::Log(Level::Debug, text));
    }

    fn set_rung(&mut self, id: u64, rung: usize, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        let session = &mut entry.session;
        if !session.in_terms(rung, self.facts.settings.classes.get(session.opening.class)) {
            return self.stopped("a rung outside the terms", id, out);
        }
        session.wanted = rung;
        let Stage::Playing(playing) = &mut session.stage else { return };
        if playing.attempt.rung == rung {
            return;
        }
        playing.attempt.rung = rung;
        self.tell_server(id, Message::new(kind::RUNG, id).with(code::RUNG, rung.to_string()), out);
    }

    /// The client is told to come again, which ends the session at its media server too.
    fn move_away(&mut self, id: u64, out: &mut Vec<Command>) {
        let playing = self.sessions.get_mut(&id).filter(|entry| entry.session.playing().is_some());
        let Some(entry) = playing.filter(|entry| !entry.moving) else {
            return self.stopped("a move of what does not play", id, out);
        };
        entry.moving = true;
        self.counts.moved += 1;
        let (client, viewer) = (entry.session.client.map(|(client, _)| client), entry.session.opening.viewer);
        let until = self.now + MOVED_CLIENT_KEPT;
        if let Some(before) = self.moved.insert(viewer, until) {
            self.timers.unset(before, Timer::MovedKept(viewer));
        }
        self.timers.set(until, Timer::MovedKept(viewer));
        self.timers.set(self.now + MOVE_TIMEOUT, Timer::MoveTimeout(id));
        self.tell_client(client, Message::new(kind::MOVE, id), out);
    }

    fn probe(&mut self, server: ServerId, out: &mut Vec<Command>) {
        let Some(address) = self.servers.get(&server).copied() else {
            let (outcome, report) = (Outcome::NotSent, Vec::new());
            return self.events.push_back(Event::Probed { server, outcome, report });
        };
        self.next_probe += 1;
        let id = self.next_probe;
        let message = Message::new(kind::TEST, id).with(code::CAUSE, [1]);
        let sent = self.pool.send(self.now, (server, address), None, message, &mut self.timers, out);
        match sent {
            Some(conn) => {
                self.probes.insert(id, (server, conn));
                self.timers.set(self.now + self.facts.connect_timeout, Timer::ProbeTimeout(id));
            }
            None => {
                let (outcome, report) = (Outcome::NotSent, Vec::new());
                self.events.push_back(Event::Probed { server, outcome, report });
            }
        }
    }

    // ---- List ----

    /// Danger: a request, or a refusal that a further attempt follows, may be read ahead of a drain that was announced
    /// long before, when a process goes on after a stop or the list is long. The decider hears of the list before
    /// either.
    fn list_update(&mut self, kind: ListKind, lines: Vec<Listed>, out: &mut Vec<Command>) {
        let lines = last_of_each(lines);
        let (ahead, behind): (Vec<_>, Vec<_>) =
            self.events.drain(..).partition(|event| !may_be_placed(event));
        self.events = std::mem::take(&mut self.list_events);
        self.events.extend(ahead);
        let mut gone: BTreeSet<ServerId> = gone(kind, &lines, self.servers.keys()).into_iter().collect();
        let (mut draining, mut elsewhere) = (BTreeSet::new(), Vec::new());
        let mut restarted = BTreeMap::new();
        for line in &lines {
            let id = line.entry.server;
            if line.entry.state == ServerState::Removed {
                continue;
            }
            if line.entry.state == ServerState::Draining {
                draining.insert(id);
            }
            let before = self.servers.insert(id, line.address);
            if before.is_some_and(|before| before != line.address) {
                elsewhere.push(id);
            }
            if let (Some(started), true) = (line.entry.started, kind != ListKind::Cached) {
                restarted.insert(id, started);
            }
        }
        for id in &gone {
            self.servers.remove(id);
        }
        // Another process: what the one before played is cut.
        let by_restart = |at: ServerId, since: Micros| restarted.get(&at).is_some_and(|start| since < *start);
        self.end_lost_sessions(|at, entry| gone.contains(&at) || by_restart(at, entry.since), out);
        self.releases_moot(|at| gone.contains(&at));
        let entries = lines.into_iter().map(|line| line.entry).collect();
        self.events.push_back(Event::Servers(kind, entries));
        self.list_events = std::mem::replace(&mut self.events, behind.into());
        // What is taken off a media server now must not be sent there again.
        gone.extend(elsewhere);
        self.drop_connections(&gone, out);
        for id in self.pool.unsent(&draining) {
            self.withdraw(id, false, out);
            self.attempt_ended(id, Outcome::NotSent, Vec::new());
        }
    }

    // ---- Time ----

    fn timer_fired(&mut self, due: Timer, out: &mut Vec<Command>) {
        match due {
            Timer::AttemptTimeout(id, number) => self.expire(id, number, out),
            Timer::Wake(tag) => self.events.push_back(Event::Wake(tag)),
            Timer::AnswerDeadline(id) => self.overdue(id, out),
            Timer::MovedKept(viewer) => {
                self.moved.remove(&viewer);
            }
            Timer::ReleaseCheck(id) => self.check_release(id, out),
            Timer::MoveTimeout(id) => self.move_timed_out(id, out),
            Timer::ConnectTimeout(conn) => {
                if self.pool.dialing(conn) {
                    out.push(Command::CloseServer(conn));
                    self.connect_ended(conn, Err(DialError::TimedOut), out);
                }
            }
            Timer::IdleTimeout(conn) => self.pool.idle(self.now, conn, &mut self.timers, out),
            Timer::WriteTimeout(conn) => {
                if self.pool.is_blocked(self.now, conn) {
                    self.disconnect(conn, out);
                }
            }
            Timer::ProbeTimeout(id) => {
                if let Some((server, conn)) = self.probes.remove(&id) {
                    self.pool.mark_suspect(conn);
                    let (outcome, report) = (Outcome::TimedOut, Vec::new());
                    self.events.push_back(Event::Probed { server, outcome, report });
                }
            }
            Timer::HealthCheck(server) => self.check_health(server, false, out),
            Timer::ClientIdle(client) => self.client_idle(client, out),
            Timer::ListWatch => self.list_watch.timer_fired(self.now, &mut self.timers, out),
            Timer::Shutdown => {}
        }
    }

    fn expire(&mut self, id: u64, number: u32, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get(&id) else { return };
        if entry.session.out().is_none_or(|attempt| attempt.number != number) {
            return;
        }
        let outcome = self.withdraw(id, true, out);
        self.attempt_ended(id, outcome, Vec::new());
    }

    /// Takes the attempt that is out back from its connection; what is then known of it. Its give-up goes out ahead
    /// of whatever follows.
    fn withdraw(&mut self, id: u64, timed_out: bool, out: &mut Vec<Command>) -> Outcome {
        let Some(entry) = self.sessions.get_mut(&id) else { return Outcome::NoConnection };
        let server = entry.session.out().map(|attempt| attempt.server);
        // There was no room for its connection: nothing is learnt of the server.
        let Some((conn, server)) = entry.conn.take().zip(server) else { return Outcome::NotSent };
        entry.before.push(conn);
        match self.pool.withdraw(conn, id, timed_out, out) {
            Withdrawn::Unsent => Outcome::NoConnection,
            Withdrawn::Cut => {
                self.disconnect(conn, out);
                Outcome::NoConnection
            }
            Withdrawn::MayHaveRun if timed_out => {
                self.mark_in_doubt(id, server, conn, out);
                Outcome::TimedOut
            }
            Withdrawn::MayHaveRun => Outcome::Withdrawn,
        }
    }

    /// The attempt that is out has ended without the session playing.
    fn attempt_ended(&mut self, id: u64, outcome: Outcome, report: Vec<f64>) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        let Some(attempt) = entry.session.out().cloned() else { return };
        entry.before.extend(entry.conn.take());
        self.timers.unset(attempt.expires, Timer::AttemptTimeout(id, attempt.number));
        let last = entry.session.attempt_ended(outcome);
        if last {
            self.drop_session(id);
        }
        let (session, server, attempt) = (name(id), attempt.server, attempt.number);
        self.events.push_back(Event::Ended { session, attempt, server, outcome, last, report });
    }

    fn drop_session(&mut self, id: u64) {
        let Some(entry) = self.sessions.remove(&id) else { return };
        self.timers.unset(entry.session.overdue_at(self.facts.answer_slack), Timer::AnswerDeadline(id));
        if let Some((client, _)) = entry.session.client {
            self.admission.session_ended(self.now, client, id, &mut self.timers);
        }
    }
}

/// Of a server that one event names twice, the last record counts. Danger: gone by one record and back by the next, it
/// would be there for the decider and not here.
fn last_of_each(lines: Vec<Listed>) -> Vec<Listed> {
    let last: BTreeMap<ServerId, usize> =
        lines.iter().enumerate().map(|(at, line)| (line.entry.server, at)).collect();
    let is_last = |(at, line): &(usize, Listed)| last.get(&line.entry.server) == Some(at);
    lines.into_iter().enumerate().filter(is_last).map(|(_, line)| line).collect()
}

/// Whether the decider may send a session on by what it hears here. Events of one session keep their order: what is
/// heard of it after one of these is about the attempt that follows.
fn may_be_placed(event: &Event) -> bool {
    let is_over = |event: &Event| matches!(event, Event::Ended { last: true, .. } | Event::ClientLeft(_));
    let of_standing =
        |event: &Event| matches!(event, Event::Resumed(..) | Event::Started { .. } | Event::Note { .. });
    !is_over(event) && !of_standing(event)
}

/// What of an event is worth a line at debug: attempts and probes that did not end well.
fn log_line(event: &Event) -> Option<String> {
    match event {
        Event::Ended { session, attempt, server, outcome, last, .. } if *outcome != Outcome::Ok => {
            let more = if *last { ", over" } else { "" };
            Some(format!("request {}: attempt {attempt} at s-{:08x}: {outcome:?}{more}", session.0, server.0))
        }
        Event::Probed { server, outcome, .. } if *outcome != Outcome::Ok => {
            Some(format!("server s-{:08x}: probe {outcome:?}", server.0))
        }
        _ => None,
    }
}

/// The module's name of a session: its id as the platform writes it.
pub(crate) fn name(id: u64) -> SessionId {
    SessionId(Arc::from(format!("{id:016x}")))
}

fn number(name: &SessionId) -> u64 {
    u64::from_str_radix(&name.0, 16).unwrap_or(0)
}

/// Cause of a failed answer.
const FAILED: u8 = cause::BROKEN;

#[cfg(test)]
mod tests;
