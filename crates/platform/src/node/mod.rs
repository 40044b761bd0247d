//! The event loop of a front node: one thread that reads, writes and waits, and makes no decisions. All
//! events are passed to [`Core`], and the commands it returns are executed in order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use salttally::controller::Controller;
use salttally::interface::Micros;
use salttally_front::clock::{timespec, Clock};
use thiserror::Error;

use crate::config::{Config, ConfigError};
use crate::core::list_watch::MAX_CONNECTS;
use crate::core::{ClientId, Command, ConnId, Core, Counts, NodeEvent, Resources};
use crate::wire::Message;

mod accept;
mod closing;
mod connection;
mod exit;
mod finishing;
mod list;
mod reload;
mod sockets;
mod telemetry;

use connection::{Connection, FlushOutcome, STALL_TIMEOUT};
use list::ListConnection;
use reload::Reload;
use telemetry::{NodeStatus, Telemetry};

use sockets::{dial, dial_error, listen, would_block};

/// Bytes read at once from one connection; the others have their turn in between.
const READ_SIZE: usize = 16 * 1024;
/// Reads in one turn from a connection whose peer has closed its writing side; others with more to read wait
/// for the next turn. The longer the turn of a flooded connection, the longer all others wait for theirs.
const READS_PER_TURN: usize = 4;
/// Maximum number of sockets reported by one poll.
const POLL_EVENTS: usize = 512;
/// Time within which everything that waits in the sockets is read, before timers fire.
const READ_BUDGET: Micros = 100_000;
/// If the previous poll was no longer ago than this, the bytes in the sockets are recent: requests are then
/// decided at intervals of [`DECIDE_INTERVAL`], and do not wait until a flood from others is read.
const RECENT_POLL_AGE: Micros = 50_000;
/// Interval between decisions while a flood is read.
const DECIDE_INTERVAL: Micros = 10_000;
/// Minimum number of polls before anything is decided, however long they take. A message on a new connection,
/// a request or its cancellation, is accepted in one turn and read in the next; a flood from others that
/// takes up the whole read budget would keep it unread.
const MIN_TURNS: usize = 2;
/// The same while new clients are accepted: no turn accepts more than `accept::ACCEPTS_PER_TURN` of them.
const MIN_TURNS_WHILE_ACCEPTING: usize = 4;
/// Descriptors that neither clients nor servers use: the connections to the coordinator, and about a dozen of
/// the process.
const RESERVED_DESCRIPTORS: usize = 21 + MAX_CONNECTS;
/// Maximum fraction of the memory for bytes that wait to be written to clients.
const BACKLOG_MEMORY_FRACTION: f64 = 0.25;
/// Minimum and maximum number of bytes that may wait for one client.
const CLIENT_BACKLOG_BYTES: (usize, usize) = (8 * 1024, 256 * 1024);
/// How long a closed connection is still read, so that a reset does not discard the bytes written last.
const LINGER_TIMEOUT: Micros = 300_000;
/// Maximum number of bytes read from a connection that is closed.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Longest wait in one poll.
const MAX_POLL_WAIT: Micros = 1_000_000;

// Tokens of polled sockets: the kind in the top bits, the number of the connection in the others.
const LISTENER: u64 = 1;
const TERM_SIGNAL: u64 = 2;
const HANG_UP_SIGNAL: u64 = 3;
const LIST: u64 = 1 << 60;
const CLIENT: u64 = 2 << 60;
const SERVER: u64 = 3 << 60;
const LINGERING: u64 = 4 << 60;
const KIND_MASK: u64 = 7 << 60;
/// Number of tokens of each kind.
const TOKENS_PER_KIND: u64 = 1 << 60;

/// Why a front node does not start, or stops.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The address of `listen` cannot be bound.
    #[error("{0}: listen: cannot listen at {1}: {2}")]
    Listen(PathBuf, SocketAddr, io::Error),
    /// The readiness of sockets cannot be watched.
    #[error("cannot wait for sockets: {0}")]
    Wait(io::Error),
}

/// The signals to the process, each as a pipe that becomes readable.
pub struct Signals {
    /// SIGTERM: shut down.
    pub term: UnixStream,
    /// SIGHUP: read the configuration again.
    pub hang_up: UnixStream,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseKind {
    /// Its peer closed it.
    Closed,
    /// Its peer reset it, and may not have read what was written last.
    Reset,
    /// This node gave it up, or the network failed; the peer may not know.
    Abandoned,
}

struct Node {
    clock: Clock,
    epoll_fd: OwnedFd,
    core: Core<Controller>,
    reload: Reload,
    /// `None` once the process no longer accepts clients.
    listener: Option<TcpListener>,
    /// Accepting is paused until this time.
    accept_paused_until: Option<Micros>,
    /// Maximum number of unsent bytes for one client.
    max_client_backlog: usize,
    /// Maximum number of closed client connections that are kept until their peers close them too.
    max_lingering_clients: usize,
    /// Maximum number of client connections, including the closed ones that wait for their peers.
    max_clients: usize,
    signals: Signals,
    connections: BTreeMap<u64, Connection>,
    /// Connections to the coordinator by number.
    list_connections: BTreeMap<u64, ListConnection>,
    last_client: u64,
    incoming_events: VecDeque<NodeEvent>,
    /// Server connections that accept their unsent messages: passed in once everything is read, since the
    /// clients of those messages may have gone.
    deferred_events: VecDeque<NodeEvent>,
    to_flush: VecDeque<u64>,
    /// When each finishing connection to a media server is closed.
    finishing: BTreeSet<(Micros, u64)>,
    /// Time within which a reset in answer to written bytes arrives.
    reset_timeout: Micros,
    /// When each lingering client connection is closed.
    lingering: BTreeSet<(Micros, u64)>,
    /// When each stalled client connection is retried, once.
    stalled: BTreeSet<(Micros, u64)>,
    finished: bool,
    /// Whether the sockets may hold more than the last poll has shown.
    may_have_unread: bool,
    /// When the last poll began.
    last_poll: Micros,
    /// When the state of the servers is logged next.
    next_log: Micros,
    telemetry: Telemetry,
}

/// Runs a front node until it has shut down.
///
/// # Errors
/// The configuration is invalid, or the address cannot be bound.
pub fn run(path: &Path, signals: Signals) -> Result<Counts, NodeError> {
    let config = Config::load(path)?;
    let clock = Clock::start();
    let listener = listen(config.listen).map_err(|e| NodeError::Listen(path.into(), config.listen, e))?;
    let poll_error = |error: Errno| NodeError::Wait(error.into());
    let epoll_fd = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(poll_error)?;
    for stream in [&signals.term, &signals.hang_up] {
        stream.set_nonblocking(true).map_err(NodeError::Wait)?;
    }
    epoll::add(&epoll_fd, &listener, EventData::new_u64(LISTENER), EventFlags::IN).map_err(poll_error)?;
    epoll::add(&epoll_fd, &signals.term, EventData::new_u64(TERM_SIGNAL), EventFlags::IN)
        .map_err(poll_error)?;
    epoll::add(&epoll_fd, &signals.hang_up, EventData::new_u64(HANG_UP_SIGNAL), EventFlags::IN)
        .map_err(poll_error)?;
    tracing::info!(name = config.name, listen = %config.listen, servers = config.known_servers.len(), "front node starts");
    let controller = Controller::new(config.platform_settings.settings.clone(), config.seed);
    let now = clock.now();
    let sockets = config.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS).max(2);
    // A handshake takes no less time than a round trip.
    let reset_timeout = config.platform_settings.connect_timeout;
    let memory_bytes = config.limits.memory_mb.max(1.0) * 1_048_576.0;
    let resources = Resources { sockets, memory_bytes: memory_bytes as usize };
    let mut core = Core::new(controller, config.platform_settings, resources, now);
    let backlog_memory = memory_bytes * BACKLOG_MEMORY_FRACTION;
    let max_client_backlog =
        (backlog_memory as usize / sockets).clamp(CLIENT_BACKLOG_BYTES.0, CLIENT_BACKLOG_BYTES.1);
    let mut out = Vec::new();
    core.start(now, config.known_servers, config.last_event, config.coordinator, &mut out);
    let mut node = Node {
        clock,
        epoll_fd,
        core,
        reload: Reload::new(path.into()),
        listener: Some(listener),
        accept_paused_until: None,
        max_client_backlog,
        max_lingering_clients: (sockets / 12).max(4),
        max_clients: sockets / 2 + (sockets / 12).max(4),
        signals,
        connections: BTreeMap::new(),
        list_connections: BTreeMap::new(),
        last_client: 0,
        incoming_events: VecDeque::new(),
        deferred_events: VecDeque::new(),
        to_flush: VecDeque::new(),
        finishing: BTreeSet::new(),
        reset_timeout,
        lingering: BTreeSet::new(),
        stalled: BTreeSet::new(),
        finished: false,
        may_have_unread: false,
        last_poll: 0,
        next_log: 0,
        telemetry: Telemetry::default(),
    };
    node.execute_commands(&mut out);
    node.decide(&mut out);
    node.serve()
}

impl Node {
    fn serve(mut self) -> Result<Counts, NodeError> {
        let mut events = Vec::with_capacity(POLL_EVENTS);
        let mut out = Vec::new();
        while !self.finished {
            // Timers due by `now` fire after everything that lies in the sockets by `now` has been passed in.
            // A process that is stopped before or after the poll finds timers that have expired meanwhile,
            // which must not fire before the answers that arrived in time are read.
            let now = self.clock.now();
            let deadlines = [&self.lingering, &self.stalled, &self.finishing];
            let deadlines = deadlines.into_iter().filter_map(|queue| queue.first().map(|(due, _)| *due));
            let due = [self.core.next_due(), self.accept_paused_until, self.reload.next_due()];
            let due = due.into_iter().flatten().chain(deadlines).min().unwrap_or(Micros::MAX);
            let wait = due.saturating_sub(now).min(MAX_POLL_WAIT);
            let polled = epoll::wait(&self.epoll_fd, spare_capacity(&mut events), Some(&timespec(wait)));
            if polled == Err(Errno::INTR) {
                // A process that resumes after a stop is woken this way. If this counted as a poll of the
                // sockets, some bytes from the time of the stop would be acted on before the rest is read.
                continue;
            }
            let began = self.clock.now();
            self.poll_all(now, &mut events, &mut out);
            self.retry_reload(&mut out);
            self.decide(&mut out);
            self.core.handle(now, NodeEvent::Tick, &mut out);
            self.execute_commands(&mut out);
            self.decide(&mut out);
            self.close_lingering();
            self.close_finished();
            self.resume_accepting();
            self.log_counts(began);
            if tracing::enabled!(tracing::Level::DEBUG) {
                self.log_state();
            }
        }
        self.drain_sockets(&mut out);
        Ok(self.core.counts())
    }

    /// Passes in what is ready, and polls again if a poll may not have shown everything: more sockets than it
    /// can report, more bytes than one turn reads, the first messages on accepted connections, and whatever
    /// arrived since a poll that began some time ago. A flood is not read to its end, but it never keeps new
    /// clients from being heard. `poll_began` is when the poll that returned these events began: if the process
    /// was stopped or had no processor time, it is unknown when the poll ended.
    fn poll_all(&mut self, mut poll_began: Micros, events: &mut Vec<epoll::Event>, out: &mut Vec<Command>) {
        let mut began = self.clock.now();
        let mut recent = poll_began.saturating_sub(self.last_poll) < RECENT_POLL_AGE;
        let (mut next_decide, mut turns, mut was_late) = (began + DECIDE_INTERVAL, 0, false);
        while !events.is_empty() {
            self.may_have_unread = events.len() >= POLL_EVENTS;
            let last_client = self.last_client;
            // Ends and cancellations come before new requests, and those before new connections to servers;
            // the order within each connection stays.
            events.sort_by_key(|event| self.event_priority(event.data.u64()));
            for event in events.drain(..) {
                self.socket_ready(event.data.u64(), event.flags);
                self.process_queues(out);
            }
            turns += 1;
            let now = self.clock.now();
            let is_recent = now.saturating_sub(poll_began) < RECENT_POLL_AGE;
            recent &= is_recent;
            if !is_recent && !std::mem::replace(&mut was_late, true) {
                // These bytes arrived while the sockets were not polled: they get their own time to be read,
                // once.
                (began, turns) = (now, 0);
            }
            let min_turns =
                if self.last_client > last_client { MIN_TURNS_WHILE_ACCEPTING } else { MIN_TURNS };
            if is_recent && !self.may_have_unread || now >= began + READ_BUDGET && turns >= min_turns {
                break;
            }
            if recent && now >= next_decide {
                next_decide = now + DECIDE_INTERVAL;
                self.decide(out);
            }
            poll_began = self.clock.now();
            let _ = epoll::wait(&self.epoll_fd, spare_capacity(events), Some(&timespec(0)));
        }
        self.last_poll = poll_began;
    }

    /// Tokens of the connections of this kind.
    fn tokens_of(&self, kind: u64) -> Vec<u64> {
        self.connections.range(kind..kind + TOKENS_PER_KIND).map(|(token, _)| *token).collect()
    }

    fn event_priority(&self, token: u64) -> u32 {
        match token & KIND_MASK {
            SERVER if self.connections.get(&token).is_some_and(|connection| connection.connecting) => 3,
            CLIENT => 1,
            0 => 2,
            _ => 0,
        }
    }

    /// Once a second, logs for each media server the decider's estimates, the counts of the core and the
    /// traffic on the sockets.
    fn log_state(&mut self) {
        let now = self.clock.now();
        if now < self.next_log {
            return;
        }
        self.next_log = now + 1_000_000;
        for (server, (connections, plays, out, heard)) in self.core.server_summaries() {
            let Some((load, tier, own)) = self.core.decider().server_estimate(server) else { continue };
            let mut traffic = [0; 3];
            for conn in &connections {
                let Some(connection) = self.connections.get_mut(&(SERVER | conn.0)) else { continue };
                let since_last = std::mem::take(&mut connection.traffic);
                (0..3).for_each(|at| traffic[at] += since_last[at]);
            }
            let silent_ms = heard.map(|at| now.saturating_sub(at) / 1000);
            let (connections, [heard, read, written]) = (connections.len(), traffic);
            let id = format!("s-{:08x}", server.0);
            tracing::debug!(
                id,
                load,
                tier,
                own,
                plays,
                out,
                ?silent_ms,
                connections,
                heard,
                read,
                written,
                "media server"
            );
        }
    }

    /// Once a second, logs the gauges, the counters since the start, and the longest turn of the loop.
    fn log_counts(&mut self, began: Micros) {
        let now = self.clock.now();
        self.telemetry.record_turn(began, now);
        if self.telemetry.is_due(now) {
            let (event, heard) = self.core.list_status();
            let (gauges, counts, room) = (self.core.gauges(), self.core.counts(), self.core.room_counts());
            let list = (event, heard.map(|at| now.saturating_sub(at)));
            let (owing, since) = self.core.owed_ends_status();
            let owed_ends = (owing, since.map(|at| now.saturating_sub(at)));
            let client_notices = self.core.client_notice_counts();
            let unproven_sessions = self.core.unproven_sessions();
            let status =
                NodeStatus { gauges, counts, room, owed_ends, client_notices, unproven_sessions, list };
            self.telemetry.report(now, &status);
        }
    }

    /// Passes in the queued events, executes the resulting commands, and writes.
    fn process_queues(&mut self, out: &mut Vec<Command>) {
        while !(self.incoming_events.is_empty() && self.to_flush.is_empty()) {
            while let Some(input) = self.incoming_events.pop_front() {
                self.core.handle(self.clock.now(), input, out);
                self.execute_commands(out);
            }
            while let Some(token) = self.to_flush.pop_front() {
                self.flush(token);
            }
        }
    }

    /// Lets the decider act on the events passed in, and on those that follow from its actions at once.
    fn decide(&mut self, out: &mut Vec<Command>) {
        loop {
            self.incoming_events.append(&mut self.deferred_events);
            self.process_queues(out);
            self.core.decide(self.clock.now(), out);
            self.execute_commands(out);
            if self.incoming_events.is_empty() && self.to_flush.is_empty() && self.deferred_events.is_empty()
            {
                return;
            }
        }
    }

    fn execute_commands(&mut self, out: &mut Vec<Command>) {
        for command in out.drain(..) {
            match command {
                Command::SendToClient(client, message) => self.write(CLIENT | client.0, &message),
                Command::SendToServer(conn, message) => self.write(SERVER | conn.0, &message),
                Command::CloseClient(client) => self.close_client(client),
                Command::CloseServer(conn) => self.close(SERVER | conn.0),
                Command::FinishServer(conn) => self.finish(SERVER | conn.0),
                Command::Connect(conn, to) => self.dial(conn, to),
                Command::ConnectList(number, to, last) => self.connect_list(number, to, last),
                Command::CloseList(number) => {
                    self.list_connections.remove(&number);
                }
                Command::Log(level, text) => self.telemetry.log(level, &text),
                Command::Exit => self.finished = true,
            }
        }
    }

    fn write(&mut self, token: u64, message: &Message) {
        trace_message("out", token, message);
        let open = self.connections.get_mut(&token).filter(|connection| !connection.finishing);
        let Some(connection) = open else { return };
        if connection.outgoing.is_empty() {
            self.to_flush.push_back(token);
        }
        message.write(&mut connection.outgoing);
    }

    fn close(&mut self, token: u64) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.closing = true;
            self.to_flush.push_back(token);
        }
    }

    fn flush(&mut self, token: u64) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let is_client = token & KIND_MASK == CLIENT;
        if connection.closing && !is_client && connection.has_unwritten() {
            // What a media server has not accepted by now is not sent: a partial message stays partial.
            return self.shut_down(token);
        }
        let waits = match connection.flush(now) {
            FlushOutcome::Broken => {
                // The peer may have sent something before it closed.
                while self.read_connection(token) {}
                return self.remove_connection(token, CloseKind::Reset);
            }
            _ if connection.closing && !is_client => return self.shut_down(token),
            FlushOutcome::Complete if connection.closing => return self.shut_down(token),
            FlushOutcome::Complete => false,
            FlushOutcome::Pending => {
                if is_client && !std::mem::replace(&mut connection.stalled, true) {
                    // Retried at this time, whether or not the socket accepts bytes by then.
                    self.stalled.insert((now + STALL_TIMEOUT, token));
                }
                true
            }
            FlushOutcome::Blocked(cut, unsent) => {
                self.incoming_events.push_back(NodeEvent::ServerBlocked(
                    ConnId(token & !KIND_MASK),
                    cut,
                    unsent,
                ));
                true
            }
            FlushOutcome::Resumed => {
                self.deferred_events.push_back(NodeEvent::ServerWritable(ConnId(token & !KIND_MASK)));
                false
            }
        };
        // What follows on a connection that is closed could not be answered.
        let is_read = !connection.half_closed && (!connection.closing || connection.unreadable);
        let mut flags = if is_read { connection::READ_EVENTS } else { EventFlags::empty() };
        flags.set(EventFlags::OUT, waits);
        if !connection.connecting && flags != connection.watched {
            connection.watched = flags;
            let _ = epoll::modify(&self.epoll_fd, &connection.stream, EventData::new_u64(token), flags);
        }
        if !waits && !connection.outgoing.is_empty() {
            self.to_flush.push_back(token);
        }
    }

    fn dial_and_watch(&self, to: SocketAddr, token: u64) -> io::Result<TcpStream> {
        let stream = dial(to)?;
        epoll::add(&self.epoll_fd, &stream, EventData::new_u64(token), EventFlags::OUT)?;
        Ok(stream)
    }

    fn dial(&mut self, conn: ConnId, to: SocketAddr) {
        let token = SERVER | conn.0;
        tracing::trace!(number = conn.0, %to, "dialled");
        match self.dial_and_watch(to, token) {
            Ok(stream) => {
                self.connections.insert(token, Connection::dialed(stream));
            }
            Err(error) => {
                self.incoming_events.push_back(NodeEvent::ConnectEnded(conn, Err(dial_error(&error))))
            }
        }
    }

    // ---- Ready sockets ----

    fn socket_ready(&mut self, token: u64, flags: EventFlags) {
        match token & KIND_MASK {
            0 => self.listener_or_signal_ready(token),
            LIST => self.list_ready(token & !KIND_MASK),
            LINGERING => self.lingering_ready(token, flags),
            _ => self.connection_ready(token, flags),
        }
    }

    fn listener_or_signal_ready(&mut self, token: u64) {
        let mut bytes = [0; 16];
        match token {
            LISTENER => self.accept(),
            TERM_SIGNAL => {
                let _ = (&self.signals.term).read(&mut bytes);
                tracing::info!("SIGTERM: the front node shuts down");
                self.incoming_events.push_back(NodeEvent::Shutdown);
            }
            _ => {
                let _ = (&self.signals.hang_up).read(&mut bytes);
                let coordinator = self.reload.reload(self.clock.now());
                self.incoming_events.extend(coordinator.map(NodeEvent::CoordinatorMoved));
            }
        }
    }

    fn retry_reload(&mut self, out: &mut Vec<Command>) {
        if let Some(coordinator) = self.reload.retry(self.clock.now()) {
            self.incoming_events.push_back(NodeEvent::CoordinatorMoved(coordinator));
            self.process_queues(out);
        }
    }

    fn connection_ready(&mut self, token: u64, flags: EventFlags) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.connecting {
            connection.connecting = false;
            let conn = ConnId(token & !KIND_MASK);
            let result = match connection.stream.take_error() {
                Ok(None) => Ok(()),
                Ok(Some(error)) | Err(error) => Err(dial_error(&error)),
            };
            if result.is_err() {
                self.connections.remove(&token);
            } else {
                connection.watched = connection::READ_EVENTS;
                let _ = epoll::modify(
                    &self.epoll_fd,
                    &connection.stream,
                    EventData::new_u64(token),
                    connection::READ_EVENTS,
                );
            }
            tracing::trace!(number = conn.0, ?result, "dial ended");
            return match result {
                Ok(()) => self.deferred_events.push_back(NodeEvent::ConnectEnded(conn, result)),
                Err(_) => self.incoming_events.push_back(NodeEvent::ConnectEnded(conn, result)),
            };
        }
        if flags.contains(EventFlags::OUT) {
            self.to_flush.push_back(token);
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return;
        }
        // If the peer has left already, it is read on at once: otherwise its request alone would be read, and
        // forwarded before the rest is.
        let has_left = flags.contains(EventFlags::RDHUP);
        for _ in 0..READS_PER_TURN {
            let may_have_more = self.read_connection(token);
            let is_done = self
                .connections
                .get(&token)
                .is_none_or(|connection| connection.half_closed || connection.closing);
            if is_done || !(may_have_more || has_left) {
                return;
            }
            if !has_left {
                break;
            }
        }
        self.may_have_unread = true;
    }

    /// Reads from a connection while more may wait there, at most this often.
    fn read_repeatedly(&mut self, token: u64, max_reads: usize) {
        for _ in 0..max_reads {
            if !self.read_connection(token) {
                return;
            }
        }
    }

    /// Reads once from a connection. Returns whether more may wait there.
    fn read_connection(&mut self, token: u64) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let mut bytes = [0; READ_SIZE];
        let count = match (&connection.stream).read(&mut bytes) {
            Ok(0) if token & KIND_MASK == CLIENT => {
                // Nothing more arrives, but open answers may still reach the client.
                connection.half_closed = true;
                if connection.closing {
                    self.to_flush.push_back(token);
                } else {
                    self.incoming_events.push_back(NodeEvent::ClientHalfClosed(ClientId(token & !KIND_MASK)));
                }
                return false;
            }
            Ok(0) => {
                self.server_half_closed(token);
                return false;
            }
            Ok(count) => count,
            Err(error) if would_block(&error) => return false,
            Err(error) => {
                let is_reset = error.kind() == io::ErrorKind::ConnectionReset;
                self.remove_connection(token, if is_reset { CloseKind::Reset } else { CloseKind::Abandoned });
                return false;
            }
        };
        if connection.closing {
            return false;
        }
        connection.traffic[1] += count;
        connection.decoder.feed(&bytes[..count]);
        let (id, is_client) = (token & !KIND_MASK, token & KIND_MASK == CLIENT);
        let mut messages = Vec::new();
        let error = loop {
            match connection.decoder.next_message() {
                Ok(Some(message)) => {
                    connection.traffic[0] += 1;
                    trace_message("in", token, &message);
                    messages.push(message);
                }
                Ok(None) => break None,
                Err(error) => break Some(error),
            }
        };
        if is_client {
            let received =
                messages.into_iter().map(|message| NodeEvent::ClientMessage(ClientId(id), message));
            self.incoming_events.extend(received);
            if connection.decoder.has_partial_message() && !connection.unreadable {
                self.incoming_events.push_back(NodeEvent::ClientPartial(ClientId(id)));
            }
        } else if !messages.is_empty() {
            self.incoming_events.push_back(NodeEvent::ServerMessages(ConnId(id), messages));
        }
        connection.unreadable |= error.is_some();
        let may_have_more = error.is_none() && count == READ_SIZE;
        if let Some(error) = error {
            tracing::debug!(%error, "cannot decode bytes from a peer");
            let event = if is_client {
                NodeEvent::ClientUnreadable(ClientId(id))
            } else {
                NodeEvent::ServerUnreadable(ConnId(id))
            };
            self.incoming_events.push_back(event);
        }
        may_have_more
    }

    /// Removes a connection that is of no more use, and reports its end.
    fn remove_connection(&mut self, token: u64, end: CloseKind) {
        let Some(connection) = self.connections.remove(&token) else { return };
        trace_close(
            token,
            match end {
                CloseKind::Closed => "closed by its peer",
                CloseKind::Reset => "reset by its peer",
                CloseKind::Abandoned => "given up here",
            },
        );
        let id = token & !KIND_MASK;
        if connection.closing {
            if token & KIND_MASK != SERVER {
                self.closed_client_gone(token);
            }
            return;
        }
        self.incoming_events.push_back(match token & KIND_MASK {
            CLIENT => NodeEvent::ClientClosed(ClientId(id)),
            _ => match end {
                CloseKind::Closed => NodeEvent::ServerClosed(ConnId(id)),
                CloseKind::Reset => NodeEvent::ServerReset(ConnId(id)),
                CloseKind::Abandoned => NodeEvent::ServerLost(ConnId(id)),
            },
        });
    }
}

/// Traces each message with clients and servers, to follow one session through its nodes.
fn trace_message(direction: &'static str, token: u64, message: &Message) {
    if tracing::enabled!(tracing::Level::TRACE) {
        let peer = if token & KIND_MASK == CLIENT { "client" } else { "server" };
        let (number, id, cause) = (token & !KIND_MASK, format!("{:016x}", message.session), message.cause());
        tracing::trace!(peer, number, kind = message.kind, id, ?cause, "{direction}");
    }
}

/// Traces the end of a connection with a client or server.
fn trace_close(token: u64, how: &'static str) {
    let peer = if token & KIND_MASK == CLIENT { "client" } else { "server" };
    tracing::trace!(peer, number = token & !KIND_MASK, "{how}");
}

#[cfg(test)]
mod tests;
