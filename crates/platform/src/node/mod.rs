//! One thread that reads, writes and waits for a front node; it holds no rule. All that comes is handed to
//! [`Core`], and what that answers is carried out in order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

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
use crate::core::{ClientId, Command, ConnId, Core, Counts, NodeEvent};
use crate::wire::Message;

mod accept;
mod connection;
mod finishing;
mod list;
mod reload;
mod sockets;
mod telemetry;

use connection::{Connection, Flushed, STALLED};
use list::ListConnection;
use reload::Reload;
use telemetry::{Held, Telemetry};

use sockets::{again, dial, dial_error, listen};

/// Read at once from one connection; the others have their turn in between.
const READ_SIZE: usize = 16 * 1024;
/// Times that a connection whose peer writes no more is read on in its turn; others with more to read wait for the next.
/// Danger: the longer a flood's turn, the longer all others wait for theirs.
const READS_PER_TURN: usize = 4;
/// Sockets that one look tells of.
const POLL_EVENTS: usize = 512;
/// What waits in the sockets is read to its end within this time, before it is looked at what is due.
const READ_BUDGET: Micros = 100_000;
/// Where the sockets were looked at so shortly before, what lies in them says nothing that is old: who asks is served
/// in steps of this length, and does not wait until a flood by others is read.
const RECENT_POLL: Micros = 50_000;
const DECIDE_INTERVAL: Micros = 10_000;
/// Looks at the sockets before anything is decided, however long they take. Danger: what a client says on a new
/// connection, that its request is taken back or that it asks, is accepted in one turn and read in the next; a flood by
/// others that takes all of the time to read would keep it unheard.
const TURNS_AT_LEAST: usize = 2;
/// The same while newcomers are accepted: no turn takes more than [`ACCEPTS_PER_TURN`] of them.
const TURNS_FOR_NEWCOMERS: usize = 4;
/// Descriptors that are neither clients' nor servers': the calls to the coordinator, and about a dozen of the process.
const RESERVED_DESCRIPTORS: usize = 20 + MAX_CONNECTS;
/// Bytes that wait for all clients together take this part of the memory at most.
const BACKLOG_MEMORY_SHARE: f64 = 0.25;
/// Waiting to be written to one client at least and at most.
const BACKLOG: (usize, usize) = (8 * 1024, 256 * 1024);
/// A closed connection is read on for so long, so that what was written last is not lost by a reset.
const LINGER: Micros = 300_000;
/// Read on at most from a connection that is closed.
const MAX_DISCARDED: usize = 256 * 1024;
/// Longest sleep.
const MAX_POLL_WAIT: Micros = 1_000_000;

const LISTENER: u64 = 1;
const TERM: u64 = 2;
const HANG_UP: u64 = 3;
const LIST: u64 = 1 << 60;
const CLIENT: u64 = 2 << 60;
const SERVER: u64 = 3 << 60;
const LINGERING: u64 = 4 << 60;
const KINDS: u64 = 7 << 60;

/// Why a front node does not start, or stops.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The address of `listen` cannot be bound.
    #[error("{0}: listen: cannot listen at {1}: {2}")]
    Listen(PathBuf, SocketAddr, io::Error),
    /// No readiness to be had.
    #[error("cannot wait for sockets: {0}")]
    Wait(io::Error),
}

/// The signals of the process, each as a pipe that becomes readable.
pub struct Signals {
    /// The process is to end.
    pub term: UnixStream,
    /// The configuration is to be read anew.
    pub hang_up: UnixStream,
}

/// Who ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its peer closed it.
    ByPeer,
    /// Its peer reset it, and may not have read what was written last.
    Reset,
    /// It is waited for no longer, or the network failed; its peer may not know.
    NotByPeer,
}

struct Node {
    clock: Clock,
    poll: OwnedFd,
    core: Core<Controller>,
    reload: Reload,
    /// Nothing once the process has said all.
    listener: Option<TcpListener>,
    /// Nothing is accepted until then.
    accept_again_at: Option<Micros>,
    /// Bytes that may wait for one client, and closed connections that may be kept.
    backlog: usize,
    most_lingering: usize,
    /// Clients' connections that are open here, closed ones that wait for their peers included.
    max_clients: usize,
    signals: Signals,
    connections: BTreeMap<u64, Connection>,
    /// Calls to the coordinator by their numbers.
    list_connections: BTreeMap<u64, ListConnection>,
    clients: u64,
    events_in: VecDeque<NodeEvent>,
    /// Connections to servers that take what waits for them: handed in once all is read, since whoever asked
    /// for what waits may have gone.
    writable: VecDeque<NodeEvent>,
    to_flush: VecDeque<u64>,
    /// When connections to media servers go that are ended here, and wait for them.
    finishing: BTreeSet<(Micros, u64)>,
    /// A reset that answers what was written comes within this time.
    reset_within: Micros,
    /// When clients' connections go that are closed and wait for them.
    lingering: BTreeSet<(Micros, u64)>,
    /// When clients' connections are tried again that take nothing, each once.
    stalled: BTreeSet<(Micros, u64)>,
    finished: bool,
    /// More may lie in the sockets than the last look at them has shown.
    unread: bool,
    /// When the last look at the sockets began.
    last_poll: Micros,
    /// When what is believed is told next.
    next_log: Micros,
    telemetry: Telemetry,
}

/// Runs a front node until it has ended in order.
///
/// # Errors
/// The configuration cannot be used, or the address cannot be bound.
pub fn run(path: &Path, signals: Signals) -> Result<Counts, NodeError> {
    let config = Config::load(path)?;
    let clock = Clock::start();
    let listener = listen(config.listen).map_err(|e| NodeError::Listen(path.into(), config.listen, e))?;
    let wait = |error: Errno| NodeError::Wait(error.into());
    let poll = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(wait)?;
    for stream in [&signals.term, &signals.hang_up] {
        stream.set_nonblocking(true).map_err(NodeError::Wait)?;
    }
    epoll::add(&poll, &listener, EventData::new_u64(LISTENER), EventFlags::IN).map_err(wait)?;
    epoll::add(&poll, &signals.term, EventData::new_u64(TERM), EventFlags::IN).map_err(wait)?;
    epoll::add(&poll, &signals.hang_up, EventData::new_u64(HANG_UP), EventFlags::IN).map_err(wait)?;
    tracing::info!(name = config.name, listen = %config.listen, servers = config.known.len(), "front node starts");
    let controller = Controller::new(config.facts.settings.clone(), config.seed);
    let now = clock.now();
    let sockets = config.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS).max(2);
    // A handshake takes no less than the way there and back.
    let reset_within = config.facts.connect_timeout;
    let mut core = Core::new(controller, config.facts, sockets, now);
    let for_backlogs = config.limits.memory_mb.max(1.0) * 1_048_576.0 * BACKLOG_MEMORY_SHARE;
    let backlog = (for_backlogs as usize / sockets).clamp(BACKLOG.0, BACKLOG.1);
    let mut out = Vec::new();
    core.begin(now, config.known, config.index, config.coordinator, &mut out);
    let mut node = Node {
        clock,
        poll,
        core,
        reload: Reload::new(path.into()),
        listener: Some(listener),
        accept_again_at: None,
        backlog,
        most_lingering: (sockets / 12).max(4),
        max_clients: sockets / 2 + (sockets / 12).max(4),
        signals,
        connections: BTreeMap::new(),
        list_connections: BTreeMap::new(),
        clients: 0,
        events_in: VecDeque::new(),
        writable: VecDeque::new(),
        to_flush: VecDeque::new(),
        finishing: BTreeSet::new(),
        reset_within,
        lingering: BTreeSet::new(),
        stalled: BTreeSet::new(),
        finished: false,
        unread: false,
        last_poll: 0,
        next_log: 0,
        telemetry: Telemetry::default(),
    };
    node.carry_out(&mut out);
    node.decide(&mut out);
    node.serve()
}

impl Node {
    fn serve(mut self) -> Result<Counts, NodeError> {
        let mut events = Vec::with_capacity(POLL_EVENTS);
        let mut out = Vec::new();
        while !self.finished {
            // What is due by now is done when all that lies in the sockets by now has been handed in. Danger: a process
            // that is stopped before or after its look at them finds time-outs that have run out meanwhile, and they
            // would go ahead of the answers that came in time.
            let now = self.clock.now();
            let closes = [&self.lingering, &self.stalled, &self.finishing];
            let closes = closes.into_iter().filter_map(|queue| queue.first().map(|(due, _)| *due));
            let due = [self.core.next_due(), self.accept_again_at, self.reload.next_due()];
            let due = due.into_iter().flatten().chain(closes).min().unwrap_or(Micros::MAX);
            let wait = due.saturating_sub(now).min(MAX_POLL_WAIT);
            let looked = epoll::wait(&self.poll, spare_capacity(&mut events), Some(&timespec(wait)));
            if looked == Err(Errno::INTR) {
                // Danger: a process that goes on after a stop is woken so. Taken for a look at the sockets, it would
                // let what lies in them from the time of the stop be acted on before the rest of it is read.
                continue;
            }
            let began = self.clock.now();
            self.poll_all(now, &mut events, &mut out);
            self.reload_again(&mut out);
            self.decide(&mut out);
            self.core.handle(now, NodeEvent::Tick, &mut out);
            self.carry_out(&mut out);
            self.decide(&mut out);
            self.close_lingering();
            self.close_finished();
            self.accept_again();
            self.log_counts(began);
            if tracing::enabled!(tracing::Level::DEBUG) {
                self.log_state();
            }
        }
        self.drain_sockets(&mut out);
        Ok(self.core.counts())
    }

    /// Hands in what is ready, and looks again where a look has not shown all: more sockets than it tells of, more bytes
    /// than one turn reads, the first words on connections that it accepted, and whatever came since a look that began
    /// some time ago. A flood is not read to its end, but no flood keeps newcomers from being heard. The look that
    /// showed these events began at `looked`: where the process was stopped or had no processor, nobody knows when it
    /// ended.
    fn poll_all(&mut self, mut looked: Micros, events: &mut Vec<epoll::Event>, out: &mut Vec<Command>) {
        let mut began = self.clock.now();
        let mut recent = looked.saturating_sub(self.last_poll) < RECENT_POLL;
        let (mut decides, mut turns, mut was_late) = (began + DECIDE_INTERVAL, 0, false);
        while !events.is_empty() {
            self.unread = events.len() >= POLL_EVENTS;
            let accepted = self.clients;
            // What has ended or was taken back goes ahead of what begins, and that ahead of what is sent on new
            // connections; each connection's own order stays.
            events.sort_by_key(|event| self.rank(event.data.u64()));
            for event in events.drain(..) {
                self.socket_ready(event.data.u64(), event.flags);
                self.work(out);
            }
            turns += 1;
            let now = self.clock.now();
            let is_recent = now.saturating_sub(looked) < RECENT_POLL;
            recent &= is_recent;
            if !is_recent && !std::mem::replace(&mut was_late, true) {
                // What lies there came while nobody looked: it has its time to be read, once.
                (began, turns) = (now, 0);
            }
            let whole = if self.clients > accepted { TURNS_FOR_NEWCOMERS } else { TURNS_AT_LEAST };
            if is_recent && !self.unread || now >= began + READ_BUDGET && turns >= whole {
                break;
            }
            if recent && now >= decides {
                decides = now + DECIDE_INTERVAL;
                self.decide(out);
            }
            looked = self.clock.now();
            let _ = epoll::wait(&self.poll, spare_capacity(events), Some(&timespec(0)));
        }
        self.last_poll = looked;
    }

    fn rank(&self, token: u64) -> u32 {
        match token & KINDS {
            SERVER if self.connections.get(&token).is_some_and(|connection| connection.connecting) => 3,
            CLIENT => 1,
            0 => 2,
            _ => 0,
        }
    }

    /// Once a second and media server: what the module believes and the ledger counts, beside what crossed the sockets.
    fn log_state(&mut self) {
        let now = self.clock.now();
        if now < self.next_log {
            return;
        }
        self.next_log = now + 1_000_000;
        for (server, (connections, plays, out, heard)) in self.core.ledger() {
            let Some((load, tier, own)) = self.core.decider().server_estimate(server) else { continue };
            let mut crossed = [0; 3];
            for conn in &connections {
                let Some(connection) = self.connections.get_mut(&(SERVER | conn.0)) else { continue };
                let part = std::mem::take(&mut connection.crossed);
                (0..3).for_each(|at| crossed[at] += part[at]);
            }
            let silent_ms = heard.map(|at| now.saturating_sub(at) / 1000);
            let (connections, [heard, read, written]) = (connections.len(), crossed);
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

    /// Once a second: what is held, what was done since the start, and how long the longest turn took.
    fn log_counts(&mut self, began: Micros) {
        let now = self.clock.now();
        self.telemetry.turn(began, now);
        if self.telemetry.is_due(now) {
            let (event, heard) = self.core.list_heard();
            let (held, counts, room) = (self.core.held(), self.core.counts(), self.core.room());
            let list = (event, heard.map(|at| now.saturating_sub(at)));
            self.telemetry.tell(now, &Held { held, counts, room, list });
        }
    }

    /// Hands in what has come, carries out what is answered, and writes.
    fn work(&mut self, out: &mut Vec<Command>) {
        while !(self.events_in.is_empty() && self.to_flush.is_empty()) {
            while let Some(input) = self.events_in.pop_front() {
                self.core.handle(self.clock.now(), input, out);
                self.carry_out(out);
            }
            while let Some(token) = self.to_flush.pop_front() {
                self.flush(token);
            }
        }
    }

    /// Lets the module decide on what was handed in, and on what comes of that at once.
    fn decide(&mut self, out: &mut Vec<Command>) {
        loop {
            self.events_in.append(&mut self.writable);
            self.work(out);
            self.core.decide(self.clock.now(), out);
            self.carry_out(out);
            if self.events_in.is_empty() && self.to_flush.is_empty() && self.writable.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, out: &mut Vec<Command>) {
        for output in out.drain(..) {
            match output {
                Command::SendToClient(client, message) => self.write(CLIENT | client.0, &message),
                Command::SendToServer(conn, message) => self.write(SERVER | conn.0, &message),
                Command::CloseClient(client) => self.close(CLIENT | client.0),
                Command::CloseServer(conn) => self.close(SERVER | conn.0),
                Command::FinishServer(conn) => self.finish(SERVER | conn.0),
                Command::Connect(conn, to) => self.dial(conn, to),
                Command::ConnectList(number, to, last) => self.follow(number, to, last),
                Command::CloseList(number) => {
                    self.list_connections.remove(&number);
                }
                Command::Log(level, text) => self.telemetry.log(level, &text),
                Command::StopListening => self.stop_listening(),
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
        let is_client = token & KINDS == CLIENT;
        if connection.closing && !is_client && connection.waits() {
            // Half a message stays half: what a media server has not taken by now it does not get.
            return self.shut_down(token);
        }
        let waits = match connection.flush(now) {
            Flushed::Broken => {
                // Its peer may have said something before it closed.
                while self.read_connection(token) {}
                return self.connection_gone(token, End::Reset);
            }
            _ if connection.closing && !is_client => return self.shut_down(token),
            Flushed::All if connection.closing => return self.shut_down(token),
            Flushed::All => false,
            Flushed::Waits => {
                if is_client && !std::mem::replace(&mut connection.stalled, true) {
                    // Looked at again by then, whether it takes something or not.
                    self.stalled.insert((now + STALLED, token));
                }
                true
            }
            Flushed::Stalled(cut, unsent) => {
                self.events_in.push_back(NodeEvent::ServerBlocked(ConnId(token & !KINDS), cut, unsent));
                true
            }
            Flushed::Resumed => {
                self.writable.push_back(NodeEvent::ServerWritable(ConnId(token & !KINDS)));
                false
            }
        };
        let mut flags = if connection.half_closed { EventFlags::empty() } else { connection::READS };
        flags.set(EventFlags::OUT, waits);
        if !connection.connecting && flags != connection.watched {
            connection.watched = flags;
            let _ = epoll::modify(&self.poll, &connection.stream, EventData::new_u64(token), flags);
        }
        if !waits && !connection.outgoing.is_empty() {
            self.to_flush.push_back(token);
        }
    }

    /// All is written: a client is read on for a while, a media server's connection just closes.
    fn shut_down(&mut self, token: u64) {
        let Some(connection) = self.connections.remove(&token) else { return };
        trace_close(token, "closed here");
        let _ = epoll::delete(&self.poll, &connection.stream);
        let over = token & KINDS != CLIENT || connection.half_closed;
        if over || connection.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let token = LINGERING | (token & !KINDS);
        if epoll::add(&self.poll, &connection.stream, EventData::new_u64(token), EventFlags::IN).is_ok() {
            self.lingering.insert((self.clock.now() + LINGER, token));
            self.connections.insert(token, connection);
        }
    }

    fn close_lingering(&mut self) {
        let now = self.clock.now();
        while let Some((due, token)) = self.lingering.first().copied() {
            if due > now && self.lingering.len() <= self.most_lingering {
                break;
            }
            self.lingering.pop_first();
            self.connection_gone(token, End::NotByPeer);
        }
        while let Some((_, token)) = self.stalled.first().copied().filter(|(due, _)| *due <= now) {
            self.stalled.pop_first();
            let Some(connection) = self.connections.get_mut(&token) else { continue };
            connection.stalled = false;
            if connection.closing {
                self.connections.remove(&token);
            } else {
                // Tried once more, and cut off where that is vain.
                self.to_flush.push_back(token);
            }
        }
    }

    /// Lets the connection go that was closed first and waits for its peer; tells whether there was one.
    fn drop_lingering(&mut self) -> bool {
        while let Some((_, token)) = self.lingering.pop_first() {
            if self.connections.contains_key(&token) {
                self.connection_gone(token, End::NotByPeer);
                return true;
            }
        }
        let closes = |(_, token): &&(Micros, u64)| {
            self.connections.get(token).is_some_and(|connection| connection.closing)
        };
        let Some(first) = self.stalled.iter().find(closes).copied() else { return false };
        self.stalled.remove(&first);
        self.connections.remove(&first.1).is_some()
    }

    /// The process ends. What clients have asked by now is answered, what is written waits a moment for the sockets to
    /// take it, and they are read on until their peers have closed. Danger: closed over bytes that nobody read, a
    /// connection is reset, and what was written last is lost with it.
    fn drain_sockets(&mut self, out: &mut Vec<Command>) {
        self.stop_listening();
        self.work(out);
        let until = self.clock.now() + LINGER;
        let mut shut = BTreeSet::new();
        while self.clock.now() < until && !self.connections.is_empty() {
            for token in self.connections.keys().copied().collect::<Vec<_>>() {
                if shut.contains(&token) {
                    self.discard(token);
                } else if self.farewell(token, out) {
                    shut.insert(token);
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Answers what has come on a connection and writes no more on it; tells whether all was written.
    fn farewell(&mut self, token: u64, out: &mut Vec<Command>) -> bool {
        if token & KINDS == CLIENT {
            for _ in 0..READS_PER_TURN {
                if !self.read_connection(token) {
                    break;
                }
            }
            self.work(out);
        }
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(&token) else { return true };
        if connection.connecting {
            return self.connections.remove(&token).is_some();
        }
        match connection.flush(now) {
            Flushed::Waits | Flushed::Stalled(..) => return false,
            Flushed::Broken => return self.connections.remove(&token).is_some(),
            Flushed::All | Flushed::Resumed => {}
        }
        if connection.stream.shutdown(Shutdown::Write).is_err() {
            self.connections.remove(&token);
        }
        true
    }

    fn watched_dial(&self, to: SocketAddr, token: u64) -> io::Result<TcpStream> {
        let stream = dial(to)?;
        epoll::add(&self.poll, &stream, EventData::new_u64(token), EventFlags::OUT)?;
        Ok(stream)
    }

    fn dial(&mut self, conn: ConnId, to: SocketAddr) {
        let token = SERVER | conn.0;
        tracing::trace!(number = conn.0, %to, "dialled");
        match self.watched_dial(to, token) {
            Ok(stream) => {
                self.connections.insert(token, Connection::dialed(stream));
            }
            Err(error) => self.events_in.push_back(NodeEvent::ConnectEnded(conn, Err(dial_error(&error)))),
        }
    }

    // ---- What is ready ----

    fn socket_ready(&mut self, token: u64, flags: EventFlags) {
        match token & KINDS {
            0 => self.process_ready(token),
            LIST => self.list_ready(token & !KINDS),
            LINGERING => self.discard(token),
            _ => self.connection_ready(token, flags),
        }
    }

    fn process_ready(&mut self, token: u64) {
        let mut bytes = [0; 16];
        match token {
            LISTENER => self.accept(),
            TERM => {
                let _ = (&self.signals.term).read(&mut bytes);
                tracing::info!("the front node is to end");
                self.events_in.push_back(NodeEvent::Shutdown);
            }
            _ => {
                let _ = (&self.signals.hang_up).read(&mut bytes);
                let coordinator = self.reload.hang_up(self.clock.now());
                self.events_in.extend(coordinator.map(NodeEvent::CoordinatorMoved));
            }
        }
    }

    fn reload_again(&mut self, out: &mut Vec<Command>) {
        if let Some(coordinator) = self.reload.retry(self.clock.now()) {
            self.events_in.push_back(NodeEvent::CoordinatorMoved(coordinator));
            self.work(out);
        }
    }

    fn discard(&mut self, token: u64) {
        let mut bytes = [0; READ_SIZE];
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let over = match (&connection.stream).read(&mut bytes) {
            Ok(0) => true,
            Ok(count) => {
                connection.discarded += count;
                connection.discarded > MAX_DISCARDED
            }
            Err(error) => !again(&error),
        };
        if over {
            self.connections.remove(&token);
        }
    }

    fn connection_ready(&mut self, token: u64, flags: EventFlags) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.connecting {
            connection.connecting = false;
            let conn = ConnId(token & !KINDS);
            let result = match connection.stream.take_error() {
                Ok(None) => Ok(()),
                Ok(Some(error)) | Err(error) => Err(dial_error(&error)),
            };
            if result.is_err() {
                self.connections.remove(&token);
            } else {
                connection.watched = connection::READS;
                let _ = epoll::modify(
                    &self.poll,
                    &connection.stream,
                    EventData::new_u64(token),
                    connection::READS,
                );
            }
            tracing::trace!(number = conn.0, ?result, "dial ended");
            return match result {
                Ok(()) => self.writable.push_back(NodeEvent::ConnectEnded(conn, result)),
                Err(_) => self.events_in.push_back(NodeEvent::ConnectEnded(conn, result)),
            };
        }
        if flags.contains(EventFlags::OUT) {
            self.to_flush.push_back(token);
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return;
        }
        // Danger: of one who has left already, the request alone is read, and sent on before the rest is.
        let has_left = flags.contains(EventFlags::RDHUP);
        for _ in 0..READS_PER_TURN {
            let more = self.read_connection(token);
            let over = self
                .connections
                .get(&token)
                .is_none_or(|connection| connection.half_closed || connection.closing);
            if over || !(more || has_left) {
                return;
            }
            if !has_left {
                break;
            }
        }
        self.unread = true;
    }

    /// Reads once from a connection. Returns whether more may wait there.
    fn read_connection(&mut self, token: u64) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let mut bytes = [0; READ_SIZE];
        let count = match (&connection.stream).read(&mut bytes) {
            Ok(0) if token & KINDS == CLIENT => {
                // Nothing more comes; what is owed may reach its reader yet.
                connection.half_closed = true;
                if connection.closing {
                    self.to_flush.push_back(token);
                } else {
                    self.events_in.push_back(NodeEvent::ClientHalfClosed(ClientId(token & !KINDS)));
                }
                return false;
            }
            Ok(0) => {
                self.closed_by_server(token);
                return false;
            }
            Ok(count) => count,
            Err(error) if again(&error) => return false,
            Err(error) => {
                let is_reset = error.kind() == io::ErrorKind::ConnectionReset;
                self.connection_gone(token, if is_reset { End::Reset } else { End::NotByPeer });
                return false;
            }
        };
        if connection.closing {
            return false;
        }
        connection.crossed[1] += count;
        connection.decoder.feed(&bytes[..count]);
        let (id, is_client) = (token & !KINDS, token & KINDS == CLIENT);
        let mut messages = Vec::new();
        let unreadable = loop {
            match connection.decoder.next_message() {
                Ok(Some(message)) => {
                    connection.crossed[0] += 1;
                    trace_message("in", token, &message);
                    messages.push(message);
                }
                Ok(None) => break None,
                Err(error) => break Some(error),
            }
        };
        if is_client {
            let said = messages.into_iter().map(|message| NodeEvent::ClientMessage(ClientId(id), message));
            self.events_in.extend(said);
        } else if !messages.is_empty() {
            self.events_in.push_back(NodeEvent::ServerMessages(ConnId(id), messages));
        }
        if let Some(error) = unreadable {
            tracing::debug!(%error, "a peer cannot be read");
            let spoilt = if is_client {
                NodeEvent::ClientUnreadable(ClientId(id))
            } else {
                NodeEvent::ServerUnreadable(ConnId(id))
            };
            self.events_in.push_back(spoilt);
        }
        unreadable.is_none() && count == READ_SIZE
    }

    /// A connection is of no more use.
    fn connection_gone(&mut self, token: u64, end: End) {
        let Some(connection) = self.connections.remove(&token) else { return };
        trace_close(
            token,
            match end {
                End::ByPeer => "closed by its peer",
                End::Reset => "reset by its peer",
                End::NotByPeer => "waited for no longer",
            },
        );
        let id = token & !KINDS;
        if connection.closing {
            return;
        }
        self.events_in.push_back(match token & KINDS {
            CLIENT => NodeEvent::ClientClosed(ClientId(id)),
            _ => match end {
                End::ByPeer => NodeEvent::ServerClosed(ConnId(id)),
                End::Reset => NodeEvent::ServerReset(ConnId(id)),
                End::NotByPeer => NodeEvent::ServerLost(ConnId(id)),
            },
        });
    }
}

/// At `trace`, each message with clients and servers, for whoever follows one session through its nodes.
fn trace_message(way: &'static str, token: u64, message: &Message) {
    if tracing::enabled!(tracing::Level::TRACE) {
        let peer = if token & KINDS == CLIENT { "client" } else { "server" };
        let (number, id, cause) = (token & !KINDS, format!("{:016x}", message.session), message.cause());
        tracing::trace!(peer, number, kind = message.kind, id, ?cause, "{way}");
    }
}

/// At `trace`, the end of a connection with clients and servers.
fn trace_close(token: u64, how: &'static str) {
    let peer = if token & KINDS == CLIENT { "client" } else { "server" };
    tracing::trace!(peer, number = token & !KINDS, "{how}");
}

#[cfg(test)]
mod tests;
