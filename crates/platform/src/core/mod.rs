//! The state machine of a front node, without I/O, clock or threads: events go in, commands for the edge come
//! out.
//!
//! [`Core::handle`] takes the time and one [`NodeEvent`]; [`Core::next_due`] returns when it must be called
//! next. All decisions are made by a [`Decider`], in production [`salttally::controller::Controller`]. The rules that
//! allow one answer per request, one attempt at a time and no repeated side effect are in
//! [`salttally_front::core::session`], shared with every other entry.
//!
//! - [`mod@self`]: the state, and the execution of the decider's actions.
//! - `attempts`: set-ups sent to servers, their time-outs and ends.
//! - `events`: what passes between the core and its edge.
//! - `clients`: requests, give-ups and session ends from clients; the single answer to each request.
//! - `client_closes`: closes of client connections by this node.
//! - `client_notices`: ends and moves of sessions that clients are owed until they have received them.
//! - `servers`: messages from servers about set-ups and playing sessions.
//! - `hand_overs`: sessions that were handed over: which are taken, and which their servers may not hold.
//! - `unproven_sessions`: the bounds on sessions that only a client's word speaks for.
//! - `in_doubt`: attempts that were given up and may still run at their servers.
//! - `dial_backoff`: pauses between connections to servers that end them at once.
//! - [`pool`]: connections to servers, each shared by many set-ups; what the end of a connection proves.
//! - [`health`]: liveness checks of media servers that hold sessions.
//! - `owed_ends`: ends of sessions that may have been lost with a connection to their server.
//! - `past_requests`: what is known of requests that are over.
//! - `releases`: releases that are resent to media servers until they are acknowledged.
//! - `resends`: requests sent a second time because their connection has ended.
//! - `restarts`: media servers whose processes may have been replaced.
//! - `sessions`: all sessions, indexed by server.
//! - `shares`: items counted by client connection, for bounds that are shared out.
//! - `shutdown`: the orderly end of the process.
//! - `list_updates`: what updates of the server list end and withdraw.
//! - [`list_watch`]: the numbered events of the server list.
//! - `listed_servers`: the servers that it names.
//! - [`admission`]: which client connections are kept and which are closed to make room.

pub mod admission;
mod attempts;
mod client_closes;
mod client_notices;
mod clients;
mod dial_backoff;
mod events;
mod hand_overs;
pub mod health;
mod in_doubt;
mod list_updates;
pub mod list_watch;
mod listed_servers;
mod owed_ends;
mod past_requests;
pub mod pool;
mod releases;
mod resends;
mod restarts;
mod servers;
mod sessions;
mod shares;
mod shutdown;
mod unproven_sessions;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use salttally::interface::*;
use salttally::platform_settings::PlatformSettings;
use salttally_front::core::session::{Attempt, Session, SetUpDenied, Stage};
use salttally_front::core::timers::Timers;
pub use salttally_front::core::{ClientId, ConnId, Decider, DialError, Level, ListEntry};

use crate::wire::{cause, code, kind, Message};
use admission::Admission;
use client_closes::CloseReason;
use client_notices::{ClientNotices, NoticeProof};
use clients::PLATFORM_TICKET;
use dial_backoff::DialBackoff;
pub use events::{Command, NodeEvent, Timer};
use hand_overs::HandOvers;
pub use hand_overs::NotTaken;
use health::{Health, Verdict};
use in_doubt::DoubtfulAttempt;
use list_watch::{ListWatch, Update};
use listed_servers::ListedServers;
use owed_ends::{Loss, OwedEndsByServer};
use past_requests::PastRequests;
pub use pool::RoomCounts;
use pool::{Pool, Withdrawn};
use releases::Releases;
use resends::RequestDigest;
use restarts::Restarts;
use servers::ConnectionEnd;
use sessions::Sessions;

/// A session with the state that the platform's protocol needs.
#[derive(Clone, Debug)]
pub(crate) struct SessionEntry {
    pub session: Session,
    /// Parameters that are forwarded to servers unchanged, until the session plays.
    pub forwarded_parameters: Vec<(u8, Vec<u8>)>,
    /// The connection of the current attempt, or the one on which the session was set up.
    pub conn: Option<ConnId>,
    /// The connections of earlier attempts, on which late messages about those attempts may still arrive.
    pub earlier_conns: Vec<ConnId>,
    /// Attempts that were given up and may still run at their servers.
    pub in_doubt: Vec<DoubtfulAttempt>,
    /// When the session began to play.
    pub playing_since: Micros,
    /// Since when it may be over, if that was found out late.
    pub over_since: Option<Micros>,
    /// Its client has handed it over after a start of this node.
    pub was_handed_over: bool,
    /// The client was told to move to another media server.
    pub moving: bool,
    /// It has come again since: it knows that the session is over.
    pub has_followed_move: bool,
    /// The connection that its first copy came on.
    pub requested_on: Option<ClientId>,
    /// What the request asks for.
    pub digest: RequestDigest,
    /// Until when the request counts as having crossed the end of its connection.
    pub resend_until: Micros,
    /// Until when a second copy of the request is answered by what is known of it.
    pub retained_until: Micros,
    /// The answer, kept for a second copy of the request.
    pub kept_answer: Option<Message>,
    /// A client was sent the answer, or knew already that the session plays.
    pub answer_sent: bool,
    /// The end of its session, which was read on another connection before the answer to the current attempt.
    pub early_end: Option<(ConnId, Message)>,
    /// Number of attempts made for the first copy, if this one has started over.
    pub earlier_attempts: u32,
}

impl SessionEntry {
    fn new(session: Session, playing_since: Micros) -> SessionEntry {
        let (forwarded_parameters, earlier_conns, in_doubt) = (Vec::new(), Vec::new(), Vec::new());
        let requested_on = session.client.map(|(client, _)| client);
        SessionEntry {
            session,
            forwarded_parameters,
            conn: None,
            earlier_conns,
            in_doubt,
            playing_since,
            over_since: None,
            was_handed_over: false,
            moving: false,
            has_followed_move: false,
            requested_on,
            digest: RequestDigest::default(),
            resend_until: 0,
            retained_until: 0,
            kept_answer: None,
            answer_sent: false,
            early_end: None,
            earlier_attempts: 0,
        }
    }

    /// Whether its session plays at this server.
    fn plays_at(&self, server: ServerId) -> bool {
        self.session.playing().is_some_and(|playing| playing.attempt.server == server)
    }

    /// Whether the request is open without a client, whose second copy may still come.
    fn awaits_second_copy(&self) -> bool {
        self.session.client.is_none() && self.session.answer_pending()
    }
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// File descriptors for client and server connections.
    pub sockets: usize,
    /// Memory, bytes.
    pub memory_bytes: usize,
}

/// Counters of a front node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests accepted.
    pub taken: u64,
    /// Requests answered with a playing session.
    pub played: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Failed requests for which nothing was decided in time.
    pub overdue: u64,
    /// Requests that were invalid.
    pub unusable: u64,
    /// Requests that arrived a second time because their connection had ended.
    pub resent: u64,
    /// Set-ups sent.
    pub attempts: u64,
    /// Sessions moved.
    pub moved: u64,
    /// Sessions lost with their servers.
    pub lost: u64,
    /// Playing sessions that clients handed over after a restart of the node.
    pub resumed: u64,
    /// Handed-over sessions that were not taken, or given up again.
    pub not_taken: NotTaken,
    /// Actions of the decider that the session rules rejected.
    pub stopped: u64,
    /// Connections to servers that could not be decoded any further.
    pub unreadable: u64,
    /// Releases sent to media servers again because their connections were gone.
    pub releases_again: u64,
    /// Session ends sent to clients again for the same reason.
    pub ends_again: u64,
    /// Set-ups for which no connection could be opened for lack of room.
    pub no_room: u64,
    /// Attempts that were given up and may still run at their servers, including those resolved since.
    pub in_doubt: u64,
    /// Of these, the attempts that were shown to be over.
    pub resolved: u64,
    /// Connections dialled to servers: for set-ups, for other messages, and for health checks.
    pub dials: [u64; 3],
}

/// The protocol's time limit for telling a client the end of its session.
pub const END_NOTICE_LIMIT: Micros = 8_000_000;
/// How long a moved client is expected back.
const MOVED_CLIENT_RETENTION: Micros = 30_000_000;
/// A moved session that its media server has not ended after this time is released there.
const MOVE_TIMEOUT: Micros = 400_000;
/// A front node that cannot reach its coordinator for this long after its start serves by the list that it
/// was started with.
const READY_WITHOUT_LIST_AFTER: Micros = 3_000_000;
/// How long after a start the node remembers ends of sessions that have not been handed over yet, and how
/// many of them.
const EARLY_END_RETENTION: Micros = 30_000_000;
const MAX_EARLY_ENDS: usize = 4_096;

/// The state of a front node.
pub struct Core<D> {
    decider: D,
    platform_settings: PlatformSettings,
    now: Micros,
    /// Everything that lay in the sockets at this time has been passed in.
    polled_at: Micros,
    sessions: Sessions,
    admission: Admission,
    pool: Pool,
    dial_backoff: DialBackoff,
    health: Health,
    list_watch: ListWatch,
    servers: ListedServers,
    /// Clients that this node moved and that have not come back, each with the time until which it is expected.
    moved_clients: BTreeMap<ViewerId, Micros>,
    /// Probes without a result yet, by number: the server, and the connection on which the probe was sent.
    probes: BTreeMap<u64, (ServerId, ConnId)>,
    last_probe_id: u64,
    timers: Timers<Timer>,
    /// Events that wait for the decider.
    events: VecDeque<Event>,
    /// Events of the list and ends of sessions caused by it; the decider gets them before all others.
    list_events: VecDeque<Event>,
    /// When the process started.
    started_at: Micros,
    releases: Releases,
    client_notices: ClientNotices,
    /// Sessions that their servers ended before their clients handed them over.
    early_ends: BTreeMap<u64, (ServerId, Message)>,
    owed_ends: OwedEndsByServer,
    restarts: Restarts,
    hand_overs: HandOvers,
    /// Requests that are over and of which a second copy can still arrive.
    past_requests: PastRequests,
    /// How long after a request the end of its connection counts as crossed by it.
    resend_window: Micros,
    shutdown_since: Option<Micros>,
    /// All sessions are being released; the process exits at this time even if releases are still unsent.
    releasing_until: Option<Micros>,
    /// During the release of all sessions: until when those wait for which only a client's word speaks.
    unproven_ends_from: Micros,
    /// During the same, when the shutdown is looked at again, and by how much that was late at most: a turn of the event loop.
    next_shutdown_check: Option<Micros>,
    longest_turn: Micros,
    /// Once nothing is owed any more: the clients whose connections were closed here, and that have not closed them.
    closing_clients: Option<BTreeSet<ClientId>>,
    /// Until when second copies of requests may arrive that crossed the ends of their connections.
    copies_expected_until: Micros,
    finished: bool,
    counts: Counts,
}

impl<D: Decider> Core<D> {
    /// A front node at its start.
    pub fn new(decider: D, platform_settings: PlatformSettings, resources: Resources, now: Micros) -> Self {
        let Resources { sockets, memory_bytes } = resources;
        let pool = Pool::new(&platform_settings, sockets);
        let health = Health::new(platform_settings.connect_timeout);
        // The start time serves as the seed of the backoff: few nodes start in the same microsecond.
        let list_watch = ListWatch::new(platform_settings.settings.drain_grace, now);
        let resend_window = resends::resend_window(&platform_settings);
        Core {
            decider,
            platform_settings,
            now,
            polled_at: now,
            sessions: Sessions::default(),
            admission: Admission::new(sockets),
            pool,
            dial_backoff: DialBackoff::new(now),
            health,
            list_watch,
            servers: ListedServers::default(),
            moved_clients: BTreeMap::new(),
            probes: BTreeMap::new(),
            last_probe_id: 0,
            timers: Timers::default(),
            events: VecDeque::new(),
            list_events: VecDeque::new(),
            started_at: now,
            releases: Releases::default(),
            client_notices: ClientNotices::default(),
            early_ends: BTreeMap::new(),
            owed_ends: OwedEndsByServer::default(),
            restarts: Restarts::default(),
            hand_overs: HandOvers::new(memory_bytes),
            past_requests: PastRequests::default(),
            resend_window,
            shutdown_since: None,
            releasing_until: None,
            unproven_ends_from: 0,
            next_shutdown_check: None,
            longest_turn: 0,
            closing_clients: None,
            copies_expected_until: 0,
            finished: false,
            counts: Counts::default(),
        }
    }

    /// Takes the known list, which may be old, and follows the coordinator; `last_event` is the number of the
    /// last event that the known list contains.
    pub fn start(
        &mut self,
        now: Micros,
        known: Vec<ListEntry>,
        last_event: u64,
        coordinator: SocketAddr,
        out: &mut Vec<Command>,
    ) {
        self.now = self.now.max(now);
        self.apply_list_update(ListKind::Cached, known, out);
        self.list_watch.start(self.now, last_event, coordinator, &mut self.timers, out);
        self.deliver_events(out);
    }

    /// The decider that makes this node's decisions.
    pub fn decider(&self) -> &D {
        &self.decider
    }

    /// For each media server of the list: its connections, the number of sessions that play there, the number
    /// of set-ups in flight, and when the server was last heard if it is being checked. Used to compare the
    /// node's state with the traffic and with the decider's estimates.
    pub fn server_summaries(&self) -> BTreeMap<ServerId, (Vec<ConnId>, i32, i32, Option<Micros>)> {
        let mut servers: BTreeMap<_, _> =
            self.servers.ids().map(|id| (*id, (self.pool.connections_to(*id), 0, 0, None))).collect();
        for entry in self.sessions.values() {
            let Some(at) = entry.session.current_attempt() else { continue };
            let Some(row) = servers.get_mut(&at.server) else { continue };
            let plays = i32::from(entry.session.playing().is_some());
            (row.1, row.2) = (row.1 + plays, row.2 + 1 - plays);
        }
        for (id, _, last_heard) in self.health.states() {
            servers.entry(id).and_modify(|row| row.3 = Some(last_heard));
        }
        servers
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_at()
    }

    /// The counters since the start.
    pub fn counts(&self) -> Counts {
        Counts { dials: self.pool.dials(), ..self.counts }
    }

    /// What happened to connections to servers for lack of room.
    pub fn room_counts(&self) -> RoomCounts {
        self.pool.room_counts()
    }

    /// Number of the last event of the list, and when the coordinator was last heard, if ever.
    pub fn list_status(&self) -> (u64, Option<Micros>) {
        self.list_watch.last_heard()
    }

    /// Numbers of sessions, playing sessions, client connections, server connections and timers.
    pub fn gauges(&self) -> [usize; 5] {
        let playing = self.sessions.values().filter(|entry| entry.session.playing().is_some()).count();
        [self.sessions.len(), playing, self.admission.len(), self.pool.len(), self.timers.len()]
    }

    /// Whether the node can serve: it knows a server, and has heard the list or has waited for it long
    /// enough. Without that limit, a node started while the coordinator is down would stay out of service for
    /// as long; without the check for a server, a node that knows none would be given clients and could serve
    /// none of them.
    pub fn is_ready(&self) -> bool {
        let list_known = self.list_watch.synced() || self.now >= self.started_at + READY_WITHOUT_LIST_AFTER;
        list_known && !self.servers.is_empty() && self.shutdown_since.is_none()
    }

    /// Whether the process was asked to shut down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_since.is_some()
    }

    /// Handles one event; commands are appended to `out`, in order. The decider gets the resulting events
    /// with [`Core::decide`] or at the next tick. Timers fire only at [`NodeEvent::Tick`]: a process that was
    /// stopped, or had no processor time for a while, finds answers in its sockets along with expired timers,
    /// and if timers fired between two events, set-ups that have succeeded would be given up. The edge
    /// therefore passes in everything that waits in the sockets, and then a tick with the time at which it
    /// polled them, since it may be stopped between the two as well.
    pub fn handle(&mut self, now: Micros, input: NodeEvent, out: &mut Vec<Command>) {
        self.now = self.now.max(now);
        match input {
            NodeEvent::ClientConnected(client) => self.client_connected(client, out),
            NodeEvent::ClientMessage(client, message) => self.client_message(client, message, out),
            NodeEvent::ClientPartial(client) => {
                self.admission.partial_received(self.now, client, &mut self.timers)
            }
            NodeEvent::ClientsWaiting => self.make_room_for_clients(out),
            NodeEvent::ClientUnreadable(client) => self.close_client(client, CloseReason::Unreadable, out),
            NodeEvent::ClientClosed(client) => {
                self.expect_copies_of(client);
                self.client_closed(client, out);
            }
            // The client has gone, or waits for nothing but the answer: it is answered, and nothing is
            // forwarded.
            NodeEvent::ClientHalfClosed(client) => {
                self.expect_copies_of(client);
                self.close_client(client, CloseReason::ClosedByClient, out);
            }
            NodeEvent::ClientWroteAfterClose(_) => self.expect_copies(),
            NodeEvent::ClosedClientGone(client) => self.closed_client_gone(client),
            NodeEvent::ConnectEnded(conn, result) => self.connect_ended(conn, result, out),
            NodeEvent::ServerMessage(conn, message) => self.server_message(conn, message, out),
            NodeEvent::ServerMessages(conn, messages) => self.server_messages(conn, messages, out),
            NodeEvent::ServerClosed(conn) => {
                let has_read_all = self.pool.is_finishing(conn);
                if has_read_all {
                    self.releases_read(conn);
                }
                self.connection_closed(conn, ConnectionEnd::Closed, out);
                self.closed_by_server(conn, has_read_all, out);
            }
            NodeEvent::FinishOverdue(conn) => self.finish_overdue(conn, out),
            NodeEvent::ServerHalfClosed(conn) => self.closed_by_server(conn, false, out),
            NodeEvent::ServerReset(conn) => {
                self.connection_closed(conn, ConnectionEnd::Reset, out);
            }
            NodeEvent::ServerLost(conn) => self.connection_closed(conn, ConnectionEnd::Lost, out),
            NodeEvent::ServerUnreadable(conn) => self.server_unreadable(conn, out),
            NodeEvent::ServerBlocked(conn, cut, unsent) => {
                self.pool.mark_blocked(self.now, conn, cut, unsent, &mut self.timers);
                self.give_up_unwritten_requests(conn, out);
            }
            NodeEvent::ServerWritable(conn) => self.pool.writable(conn, out),
            NodeEvent::ListConnected(number) => {
                self.list_watch.connected(self.now, number, &mut self.timers, out)
            }
            NodeEvent::ListBytes(number) => self.list_watch.bytes_received(self.now, number),
            NodeEvent::ListFrame(number, frame) => {
                match self.list_watch.frame_received(self.now, number, frame, &mut self.timers, out) {
                    Some(Update::Full(records)) => self.apply_list_update(ListKind::Complete, records, out),
                    Some(Update::Changes(records)) => self.apply_list_update(ListKind::Changes, records, out),
                    None => {}
                }
            }
            NodeEvent::ListClosed(number) => self.list_watch.disconnected(self.now, number, &mut self.timers),
            NodeEvent::CoordinatorMoved(at) => self.list_watch.follow(self.now, at, &mut self.timers, out),
            NodeEvent::Shutdown => self.begin_shutdown(out),
            NodeEvent::Tick => {
                self.polled_at = now;
                self.deliver_events(out);
                // Timers are compared with the time of the poll, which may lie in the past.
                while let Some(timer) = self.timers.pop(now) {
                    self.timer_fired(timer, out);
                    self.deliver_events(out);
                }
                self.check_shutdown(now, out);
            }
        }
        self.note_evicted_connections(out);
        self.log_forgotten_requests(out);
    }

    /// Passes the events since the last call to the decider, and executes its actions. Called once everything
    /// that lay in the sockets has been passed in, and the answers in it have been written. Before that, a
    /// client may have sent a request and left, cancelled on any connection, or left while a media server
    /// refused its request, and the bytes that say so may lie unread behind others, for as long as the
    /// process was stopped. And while the decider works through its state, a client would wait for an answer
    /// that has already arrived.
    pub fn decide(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.now = self.now.max(now);
        self.deliver_events(out);
        self.note_evicted_connections(out);
    }

    /// Connections closed for lack of room may have carried ends of sessions.
    fn note_evicted_connections(&mut self, out: &mut Vec<Command>) {
        for server in self.pool.take_evicted() {
            self.ends_may_be_lost(server, Loss::Evicted, out);
        }
    }

    fn log_forgotten_requests(&mut self, out: &mut Vec<Command>) {
        for id in self.past_requests.take_forgotten() {
            let text =
                format!("request {id:016x}: over, and not remembered: a second copy counts as a new one");
            out.push(Command::Log(Level::Info, text));
        }
    }

    // ---- Actions of the decider ----

    fn deliver_events(&mut self, out: &mut Vec<Command>) {
        let mut actions = Vec::new();
        while let Some(event) = self.list_events.pop_front().or_else(|| self.events.pop_front()) {
            if let Some(text) = event_log_line(&event) {
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
            Action::SetUp(id, server, time_out) => self.set_up(session_number(&id), server, time_out, out),
            Action::SetRung(id, rung) => self.set_rung(session_number(&id), rung, out),
            Action::Move(id) => self.move_client(session_number(&id), out),
            Action::Refuse(id, hold_off) => self.refuse(session_number(&id), hold_off, out),
            Action::Fail(id) => self.fail(session_number(&id), out),
            Action::Probe(server) => self.probe(server, out),
            // The list is followed from the start, whatever the decider asks for.
            Action::FollowList => {}
            Action::WakeAt(tag, at) => self.timers.set(at, Timer::Wake(tag)),
            Action::Log(text) => out.push(Command::Log(Level::Info, text)),
        }
    }

    /// Tells the decider that a client has gone. A request that the decider has not seen yet is removed from
    /// the queue; the end of an attempt that it has not seen yet becomes the last one of its session.
    fn report_client_gone(&mut self, id: u64) {
        let left = session_id(id);
        let is_request = |event: &Event| matches!(event, Event::Request(request) if request.session == left);
        if let Some(at) = self.events.iter().position(is_request) {
            self.events.remove(at);
            return;
        }
        for event in self.events.iter_mut().rev() {
            if let Event::Ended { session, last, .. } = event {
                if *session == left {
                    *last = true;
                    return;
                }
            }
        }
        self.events.push_back(Event::ClientLeft(left));
    }

    fn reject_action(&mut self, what: &str, id: u64, out: &mut Vec<Command>) {
        self.counts.stopped += 1;
        out.push(Command::Log(Level::Warn, format!("stopped {what} for session {id:016x}")));
    }

    fn set_rung(&mut self, id: u64, rung: usize, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        let session = &mut entry.session;
        if !session.allows_rung(rung, self.platform_settings.settings.classes.get(session.open_request.class))
        {
            return self.reject_action("a rung outside the terms", id, out);
        }
        session.target_rung = rung;
        let Stage::Playing(playing) = &mut session.stage else { return };
        if playing.attempt.rung == rung {
            return;
        }
        playing.attempt.rung = rung;
        self.notify_server(id, Message::new(kind::RUNG, id).with(code::RUNG, rung.to_string()), out);
    }

    /// Tells the client to come again, which makes it end the session at its media server too.
    fn move_client(&mut self, id: u64, out: &mut Vec<Command>) {
        let playing = self.sessions.get_mut(&id).filter(|entry| entry.session.playing().is_some());
        let Some(entry) = playing.filter(|entry| !entry.moving) else {
            return self.reject_action("a move of a session that does not play", id, out);
        };
        entry.moving = true;
        self.counts.moved += 1;
        let (client, viewer) =
            (entry.session.client.map(|(client, _)| client), entry.session.open_request.viewer);
        let until = self.now + MOVED_CLIENT_RETENTION;
        if let Some(previous) = self.moved_clients.insert(viewer, until) {
            self.timers.cancel(previous, Timer::MovedClientExpiry(viewer));
        }
        self.timers.set(until, Timer::MovedClientExpiry(viewer));
        self.timers.set(self.now + MOVE_TIMEOUT, Timer::MoveTimeout(id));
        self.notify_client(client, Message::new(kind::MOVE, id), self.now, out);
    }

    fn probe(&mut self, server: ServerId, out: &mut Vec<Command>) {
        let Some(address) = self.servers.address(server) else {
            let (outcome, report) = (Outcome::NotSent, Vec::new());
            return self.events.push_back(Event::Probed { server, outcome, report });
        };
        self.last_probe_id += 1;
        let id = self.last_probe_id;
        let message = Message::new(kind::TEST, id).with(code::CAUSE, [1]);
        let sent = self.pool.send(self.now, (server, address), None, message, &mut self.timers, out);
        match sent {
            Some(conn) => {
                self.probes.insert(id, (server, conn));
                self.timers.set(self.now + self.platform_settings.connect_timeout, Timer::ProbeTimeout(id));
            }
            None => {
                let (outcome, report) = (Outcome::NotSent, Vec::new());
                self.events.push_back(Event::Probed { server, outcome, report });
            }
        }
    }

    // ---- Time ----

    fn timer_fired(&mut self, timer: Timer, out: &mut Vec<Command>) {
        match timer {
            Timer::AttemptTimeout(id, number) => self.expire_attempt(id, number, out),
            Timer::Wake(tag) => self.events.push_back(Event::Wake(tag)),
            Timer::AnswerDeadline(id) => self.answer_overdue(id, out),
            Timer::MovedClientExpiry(viewer) => {
                self.moved_clients.remove(&viewer);
            }
            Timer::ReleaseCheck(id, server) => self.check_release((id, server), out),
            Timer::MoveTimeout(id) => self.move_timed_out(id, out),
            Timer::ConnectTimeout(conn) => {
                if self.pool.is_dialing(conn) {
                    out.push(Command::CloseServer(conn));
                    self.connect_ended(conn, Err(DialError::TimedOut), out);
                }
            }
            Timer::IdleTimeout(conn) => self.pool.check_idle(self.now, conn, &mut self.timers, out),
            Timer::WriteTimeout(conn) => {
                if self.pool.is_blocked_too_long(self.now, conn) {
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
            Timer::DialBackoff(server) => self.dial_pause_ended(server, out),
            Timer::HealthCheck(server) => self.check_health(server, false, out),
            Timer::OwedEnds(server) => self.check_owed_ends(server, out),
            Timer::RestartProof(server) => self.end_unproven_sessions(server, out),
            Timer::HandOverCheck(server) => self.check_hand_overs(server, out),
            Timer::StalledFinish(server) => self.check_stalled_finish(server, out),
            Timer::ClientNotice(id) => self.check_notice(id, out),
            Timer::ClientIdle(client) => self.client_idle(client, out),
            Timer::RetentionEnd(id) => self.retention_ended(id, out),
            Timer::ListWatch => self.list_watch.timer_fired(self.now, &mut self.timers, out),
            Timer::Shutdown => {}
        }
    }
}

/// The log line for an event at level info: attempts and probes that did not succeed.
fn event_log_line(event: &Event) -> Option<String> {
    match event {
        Event::Ended { session, attempt, server, outcome, last, .. } if *outcome != Outcome::Ok => {
            let suffix = if *last { ", over" } else { "" };
            Some(format!(
                "request {}: attempt {attempt} at s-{:08x}: {outcome:?}{suffix}",
                session.0, server.0
            ))
        }
        Event::Probed { server, outcome, .. } if *outcome != Outcome::Ok => {
            Some(format!("server s-{:08x}: probe {outcome:?}", server.0))
        }
        _ => None,
    }
}

/// The decider's id of a session: the platform's id in 16 hex digits.
pub(crate) fn session_id(id: u64) -> SessionId {
    SessionId(Arc::from(format!("{id:016x}")))
}

fn session_number(id: &SessionId) -> u64 {
    u64::from_str_radix(&id.0, 16).unwrap_or(0)
}

/// The cause sent with a failed answer.
const FAILED_CAUSE: u8 = cause::BROKEN;

#[cfg(test)]
mod tests;
