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
use salttally::brain::Brain;
use salttally::interface::Micros;
use salttally_front::clock::{timespec, Clock};
use thiserror::Error;

use crate::config::{Config, ConfigError};
use crate::core::list_watch::MOST_CALLS;
use crate::core::{ClientId, ConnId, Core, Counts, Input, Level, Output};
use crate::wire::frames::Frames;
use crate::wire::Message;

mod port;
mod sockets;

use port::{send, Flushed, Port, STALLED};
use sockets::{again, dial, dial_error, is_own_lack, listen};

/// Read at once from one connection; the others have their turn in between.
const READ: usize = 16 * 1024;
/// Times that a connection with more to read is read on in its turn.
const READS: usize = 4;
/// Sockets that one look tells of.
const EVENTS: usize = 512;
/// What waits in the sockets is read to its end within this time, before it is looked at what is due.
const READ_ON: Micros = 100_000;
/// Where the sockets were looked at so shortly before, what lies in them says nothing that is old: who asks is served in
/// steps of this length, and does not wait until a flood by others is read.
const UNREAD: Micros = 50_000;
const TURN: Micros = 10_000;
/// Without room for another connection none is accepted for so long.
const FULL: Micros = 20_000;
/// Descriptors that are neither viewers' nor boxes': the calls to the coordinator, and about a dozen of the process.
const RESERVED: usize = 20 + MOST_CALLS;
/// Bytes that wait for all viewers together take this part of the memory at most.
const MEMORY_PART: f64 = 0.25;
/// Waiting to be written to one viewer at least and at most.
const BACKLOG: (usize, usize) = (8 * 1024, 256 * 1024);
/// Connections accepted at once.
const ACCEPTED: usize = 64;
/// A closed connection is read on for so long, so that what was written last is not lost by a reset.
const LINGER: Micros = 300_000;
/// Read on at most from a connection that is closed.
const DISCARDED: usize = 256 * 1024;
/// Longest sleep.
const LONGEST_WAIT: Micros = 1_000_000;

const LISTENER: u64 = 1;
const TERM: u64 = 2;
const HANG_UP: u64 = 3;
const LIST: u64 = 1 << 60;
const VIEWER: u64 = 2 << 60;
const BOX: u64 = 3 << 60;
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

struct ListCall {
    stream: TcpStream,
    connecting: bool,
    hello: u64,
    frames: Frames,
}

struct Node {
    clock: Clock,
    poll: OwnedFd,
    core: Core<Brain>,
    path: PathBuf,
    /// Nothing once the process has said all.
    listener: Option<TcpListener>,
    /// Nothing is accepted until then.
    full_until: Option<Micros>,
    /// Bytes that may wait for one viewer, and closed connections that may be kept.
    backlog: usize,
    most_lingering: usize,
    /// Viewers' connections that are open here, closed ones that wait for their peers included.
    most_viewers: usize,
    signals: Signals,
    ports: BTreeMap<u64, Port>,
    /// Calls to the coordinator by their numbers.
    list_calls: BTreeMap<u64, ListCall>,
    clients: u64,
    inputs: VecDeque<Input>,
    /// Connections to boxes that take what waits for them: handed in once all is read, since whoever asked for what waits
    /// may have gone.
    sendable: VecDeque<Input>,
    dirty: VecDeque<u64>,
    /// When connections go that are closed and wait for their peers.
    lingering: BTreeSet<(Micros, u64)>,
    /// When viewers' connections are tried again that take nothing, each once.
    stalled: BTreeSet<(Micros, u64)>,
    finished: bool,
    /// More may lie in the sockets than the last look at them has shown.
    more: bool,
    /// When the sockets were last looked at to the end of a turn.
    looked: Micros,
    /// When what is believed is told next.
    telling: Micros,
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
    tracing::info!(name = config.name, listen = %config.listen, boxes = config.known.len(), "front node starts");
    let brain = Brain::new(config.facts.settings.clone(), config.seed);
    let now = clock.now();
    let sockets = config.limits.sockets.saturating_sub(RESERVED).max(2);
    let mut core = Core::new(brain, config.facts, sockets, now);
    let for_backlogs = config.limits.memory_mb.max(1.0) * 1_048_576.0 * MEMORY_PART;
    let backlog = (for_backlogs as usize / sockets).clamp(BACKLOG.0, BACKLOG.1);
    let mut out = Vec::new();
    core.begin(now, config.known, config.index, config.coordinator, &mut out);
    let mut node = Node {
        clock,
        poll,
        core,
        path: path.into(),
        listener: Some(listener),
        full_until: None,
        backlog,
        most_lingering: (sockets / 12).max(4),
        most_viewers: sockets / 2 + (sockets / 12).max(4),
        signals,
        ports: BTreeMap::new(),
        list_calls: BTreeMap::new(),
        clients: 0,
        inputs: VecDeque::new(),
        sendable: VecDeque::new(),
        dirty: VecDeque::new(),
        lingering: BTreeSet::new(),
        stalled: BTreeSet::new(),
        finished: false,
        more: false,
        looked: 0,
        telling: 0,
    };
    node.carry_out(&mut out);
    node.decide(&mut out);
    node.serve()
}

impl Node {
    fn serve(mut self) -> Result<Counts, NodeError> {
        let mut events = Vec::with_capacity(EVENTS);
        let mut out = Vec::new();
        while !self.finished {
            // What is due by now is done when all that lies in the sockets by now has been handed in. Danger: a process
            // that is stopped before or after its look at them finds time-outs that have run out meanwhile, and they
            // would go ahead of the answers that came in time.
            let now = self.clock.now();
            let closes = [&self.lingering, &self.stalled].map(|queue| queue.first().map(|(due, _)| *due));
            let due = [self.core.next_due(), closes[0], closes[1], self.full_until];
            let due = due.into_iter().flatten().min().unwrap_or(Micros::MAX);
            let wait = due.saturating_sub(now).min(LONGEST_WAIT);
            let looked = epoll::wait(&self.poll, spare_capacity(&mut events), Some(&timespec(wait)));
            if looked == Err(Errno::INTR) {
                // Danger: a process that goes on after a stop is woken so. Taken for a look at the sockets, it would let
                // what lies in them from the time of the stop be acted on before the rest of it is read.
                continue;
            }
            self.read_all(&mut events, &mut out);
            self.decide(&mut out);
            self.core.handle(now, Input::Tick, &mut out);
            self.carry_out(&mut out);
            self.decide(&mut out);
            self.close_lingering();
            self.accept_again();
            if tracing::enabled!(tracing::Level::DEBUG) {
                self.tell_beliefs();
            }
        }
        self.last_words();
        Ok(self.core.counts())
    }

    /// Hands in what is ready, and looks again where a look has not shown all: more sockets than it tells of, more bytes
    /// than one turn reads, the first words on connections that it accepted. A flood is not read to its end.
    fn read_all(&mut self, events: &mut Vec<epoll::Event>, out: &mut Vec<Output>) {
        let since = self.clock.now();
        let recent = since.saturating_sub(self.looked) < UNREAD;
        let mut decides = since + TURN;
        while !events.is_empty() {
            self.more = events.len() >= EVENTS;
            // What has ended or was taken back goes ahead of what begins, and that ahead of what is sent on new
            // connections; each connection's own order stays.
            events.sort_by_key(|event| self.rank(event.data.u64()));
            for event in events.drain(..) {
                self.ready(event.data.u64(), event.flags);
                self.work(out);
            }
            let now = self.clock.now();
            if !self.more || now >= since + READ_ON {
                break;
            }
            if recent && now >= decides {
                decides = now + TURN;
                self.decide(out);
            }
            let _ = epoll::wait(&self.poll, spare_capacity(events), Some(&timespec(0)));
        }
        self.looked = self.clock.now();
    }

    fn rank(&self, token: u64) -> u32 {
        match token & KINDS {
            BOX if self.ports.get(&token).is_some_and(|port| port.connecting) => 3,
            VIEWER => 1,
            0 => 2,
            _ => 0,
        }
    }

    /// Once a second and box: what the module believes and the ledger counts, beside what crossed the sockets.
    fn tell_beliefs(&mut self) {
        let now = self.clock.now();
        if now < self.telling {
            return;
        }
        self.telling = now + 1_000_000;
        for (server, (links, plays, out, heard)) in self.core.ledger() {
            let Some((load, tier, own)) = self.core.decider().believed(server) else { continue };
            let mut crossed = [0; 3];
            for link in &links {
                let Some(port) = self.ports.get_mut(&(BOX | link.0)) else { continue };
                let part = std::mem::take(&mut port.crossed);
                (0..3).for_each(|at| crossed[at] += part[at]);
            }
            let silent_ms = heard.map(|at| now.saturating_sub(at) / 1000);
            let (links, [heard, read, written]) = (links.len(), crossed);
            let id = format!("s-{:08x}", server.0);
            tracing::debug!(id, load, tier, own, plays, out, ?silent_ms, links, heard, read, written, "box");
        }
        let [sessions, playing, viewers, links, timers] = self.core.held();
        tracing::debug!(sessions, playing, viewers, links, timers, counts = ?self.core.counts(), "front node");
    }

    /// Hands in what has come, carries out what is answered, and writes.
    fn work(&mut self, out: &mut Vec<Output>) {
        while !(self.inputs.is_empty() && self.dirty.is_empty()) {
            while let Some(input) = self.inputs.pop_front() {
                self.core.handle(self.clock.now(), input, out);
                self.carry_out(out);
            }
            while let Some(token) = self.dirty.pop_front() {
                self.flush(token);
            }
        }
    }

    /// Lets the module decide on what was handed in, and on what comes of that at once.
    fn decide(&mut self, out: &mut Vec<Output>) {
        loop {
            self.inputs.append(&mut self.sendable);
            self.work(out);
            self.core.decide(self.clock.now(), out);
            self.carry_out(out);
            if self.inputs.is_empty() && self.dirty.is_empty() && self.sendable.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Say(client, message) => self.write(VIEWER | client.0, &message),
                Output::Send(link, message) => self.write(BOX | link.0, &message),
                Output::Close(client) => self.close(VIEWER | client.0),
                Output::Disconnect(link) => self.close(BOX | link.0),
                Output::Dial(link, to) => self.dial(link, to),
                Output::Follow(number, to, last) => self.follow(number, to, last),
                Output::Unfollow(number) => {
                    self.list_calls.remove(&number);
                }
                Output::Log(Level::Debug, text) => tracing::debug!("{text}"),
                Output::Log(Level::Info, text) => tracing::info!("{text}"),
                Output::Log(Level::Warn, text) => tracing::warn!("{text}"),
                Output::Finished => self.finished = true,
            }
        }
    }

    fn write(&mut self, token: u64, message: &Message) {
        crosses("out", token, message);
        let Some(port) = self.ports.get_mut(&token) else { return };
        if port.fresh.is_empty() {
            self.dirty.push_back(token);
        }
        message.write(&mut port.fresh);
    }

    fn close(&mut self, token: u64) {
        if let Some(port) = self.ports.get_mut(&token) {
            port.closing = true;
            self.dirty.push_back(token);
        }
    }

    fn flush(&mut self, token: u64) {
        let now = self.clock.now();
        let Some(port) = self.ports.get_mut(&token) else { return };
        let is_viewer = token & KINDS == VIEWER;
        if port.closing && !is_viewer && port.waits() {
            // Half a message stays half: what a box has not taken by now it does not get.
            return self.part(token);
        }
        let waits = match port.flush(now) {
            Flushed::Broken => return self.broken(token),
            _ if port.closing && !is_viewer => return self.part(token),
            Flushed::All if port.closing => return self.part(token),
            Flushed::All => false,
            Flushed::Waits => {
                if is_viewer && !std::mem::replace(&mut port.stalled, true) {
                    // Looked at again by then, whether it takes something or not.
                    self.stalled.insert((now + STALLED, token));
                }
                true
            }
            Flushed::Stalled(cut, unsent) => {
                self.inputs.push_back(Input::Stalled(ConnId(token & !KINDS), cut, unsent));
                true
            }
            Flushed::Resumed => {
                self.sendable.push_back(Input::Writable(ConnId(token & !KINDS)));
                false
            }
        };
        let mut flags = if port.half_closed { EventFlags::empty() } else { port::READS };
        flags.set(EventFlags::OUT, waits);
        if !port.connecting && flags != port.watched {
            port.watched = flags;
            let _ = epoll::modify(&self.poll, &port.stream, EventData::new_u64(token), flags);
        }
        if !waits && !port.fresh.is_empty() {
            self.dirty.push_back(token);
        }
    }

    /// All is written: a viewer is read on for a while, a box's connection just closes.
    fn part(&mut self, token: u64) {
        let Some(port) = self.ports.remove(&token) else { return };
        let _ = epoll::delete(&self.poll, &port.stream);
        let over = token & KINDS != VIEWER || port.half_closed;
        if over || port.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let token = LINGERING | (token & !KINDS);
        if epoll::add(&self.poll, &port.stream, EventData::new_u64(token), EventFlags::IN).is_ok() {
            self.lingering.insert((self.clock.now() + LINGER, token));
            self.ports.insert(token, port);
        }
    }

    fn close_lingering(&mut self) {
        let now = self.clock.now();
        while let Some((due, token)) = self.lingering.first().copied() {
            if due > now && self.lingering.len() <= self.most_lingering {
                break;
            }
            self.lingering.pop_first();
            self.ports.remove(&token);
        }
        while let Some((_, token)) = self.stalled.first().copied().filter(|(due, _)| *due <= now) {
            self.stalled.pop_first();
            let Some(port) = self.ports.get_mut(&token) else { continue };
            port.stalled = false;
            if port.closing {
                self.ports.remove(&token);
            } else {
                // Tried once more, and cut off where that is vain.
                self.dirty.push_back(token);
            }
        }
    }

    /// Lets the connection go that was closed first and waits for its peer; tells whether there was one.
    fn drop_closed(&mut self) -> bool {
        while let Some((_, token)) = self.lingering.pop_first() {
            if self.ports.remove(&token).is_some() {
                return true;
            }
        }
        let closes = |(_, token): &&(Micros, u64)| self.ports.get(token).is_some_and(|port| port.closing);
        let Some(first) = self.stalled.iter().find(closes).copied() else { return false };
        self.stalled.remove(&first);
        self.ports.remove(&first.1).is_some()
    }

    /// The process ends: nobody is accepted any more, what is written waits a moment for the sockets to take it, and
    /// they are read on until their peers have closed. Danger: closed over bytes that nobody read, a connection is
    /// reset, and what was written last is lost with it.
    fn last_words(&mut self) {
        self.listener = None;
        let until = self.clock.now() + LINGER;
        let mut shut = BTreeSet::new();
        while self.clock.now() < until && !self.ports.is_empty() {
            let (now, tokens) = (self.clock.now(), self.ports.keys().copied().collect::<Vec<_>>());
            for token in tokens {
                let Some(port) = self.ports.get_mut(&token) else { continue };
                let waits = matches!(port.flush(now), Flushed::Waits | Flushed::Stalled(..));
                let shuts = !waits && !port.connecting && shut.insert(token);
                if port.connecting || (shuts && port.stream.shutdown(Shutdown::Write).is_err()) {
                    self.ports.remove(&token);
                } else {
                    self.discard(token);
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn watched_dial(&self, to: SocketAddr, token: u64) -> io::Result<TcpStream> {
        let stream = dial(to)?;
        epoll::add(&self.poll, &stream, EventData::new_u64(token), EventFlags::OUT)?;
        Ok(stream)
    }

    fn dial(&mut self, link: ConnId, to: SocketAddr) {
        let token = BOX | link.0;
        match self.watched_dial(to, token) {
            Ok(stream) => {
                self.ports.insert(token, Port::dialed(stream));
            }
            Err(error) => self.inputs.push_back(Input::Dialed(link, Err(dial_error(&error)))),
        }
    }

    fn follow(&mut self, number: u64, to: SocketAddr, last: u64) {
        match self.watched_dial(to, LIST | number) {
            Ok(stream) => {
                let frames = Frames::default();
                let call = ListCall { stream, connecting: true, hello: last, frames };
                self.list_calls.insert(number, call);
            }
            Err(error) => {
                tracing::warn!(%error, %to, "the list cannot be asked for");
                self.inputs.push_back(Input::ListDown(number));
            }
        }
    }

    // ---- What is ready ----

    fn ready(&mut self, token: u64, flags: EventFlags) {
        match token & KINDS {
            0 => self.ready_of_process(token),
            LIST => self.ready_list(token & !KINDS),
            LINGERING => self.discard(token),
            _ => self.ready_port(token, flags),
        }
    }

    fn ready_of_process(&mut self, token: u64) {
        let mut bytes = [0; 16];
        match token {
            LISTENER => self.accept(),
            TERM => {
                let _ = (&self.signals.term).read(&mut bytes);
                tracing::info!("the front node is to end");
                self.inputs.push_back(Input::End);
            }
            _ => {
                let _ = (&self.signals.hang_up).read(&mut bytes);
                match Config::load(&self.path) {
                    Ok(config) => {
                        tracing::info!(coordinator = %config.coordinator, "configuration read anew");
                        self.inputs.push_back(Input::Coordinator(config.coordinator));
                    }
                    Err(error) => tracing::warn!(%error, "the configuration stays as it was"),
                }
            }
        }
    }

    fn accept(&mut self) {
        let open = [VIEWER, LINGERING].map(|kind| self.ports.range(kind..kind + (1 << 60)).count());
        let mut room = self.most_viewers.saturating_sub(open.iter().sum());
        for _ in 0..ACCEPTED {
            // Danger: a crowd that is accepted in one turn takes the descriptors that the list and the boxes are called
            // with, before any of its connections is closed again.
            if room == 0 && !self.drop_closed() {
                return self.accept_later("all that may go to viewers are in use");
            }
            room = room.max(1);
            let Some(listener) = &self.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if is_own_lack(&error) => {
                    self.drop_closed();
                    return self.accept_later(&error.to_string());
                }
                Err(error) => {
                    // That one connection has gone again.
                    tracing::debug!(%error, "a connection is not taken");
                    continue;
                }
            };
            let _ = (stream.set_nonblocking(true), stream.set_nodelay(true));
            self.clients += 1;
            let client = ClientId(self.clients);
            let token = VIEWER | client.0;
            if epoll::add(&self.poll, &stream, EventData::new_u64(token), port::READS).is_ok() {
                self.ports.insert(token, Port::viewer(stream, self.backlog));
                self.inputs.push_back(Input::Joined(client));
                self.more = true;
                room -= 1;
            }
        }
    }

    /// No descriptor is to be had: the newcomers wait in the kernel's queue, and nobody else waits for them. Danger: a
    /// listener that stays ready and cannot be served would be all that is looked at.
    fn accept_later(&mut self, why: &str) {
        tracing::debug!(why, "no room for a connection");
        self.full_until = Some(self.clock.now() + FULL);
        self.watch_listener(EventFlags::empty());
    }

    fn accept_again(&mut self) {
        if self.full_until.is_some_and(|until| until <= self.clock.now()) {
            self.full_until = None;
            self.watch_listener(EventFlags::IN);
        }
    }

    fn watch_listener(&self, flags: EventFlags) {
        if let Some(listener) = &self.listener {
            let _ = epoll::modify(&self.poll, listener, EventData::new_u64(LISTENER), flags);
        }
    }

    fn ready_list(&mut self, number: u64) {
        let Some(call) = self.list_calls.get_mut(&number) else { return };
        if call.connecting {
            let hello = call.hello.to_be_bytes();
            let made = call.stream.take_error().ok().flatten().is_none()
                && send(&call.stream, &hello) == Ok(hello.len())
                && epoll::modify(&self.poll, &call.stream, EventData::new_u64(LIST | number), EventFlags::IN)
                    .is_ok();
            call.connecting = false;
            return match made {
                true => self.inputs.push_back(Input::ListUp(number)),
                false => self.list_down(number),
            };
        }
        let mut bytes = [0; READ];
        match (&call.stream).read(&mut bytes) {
            Ok(0) => return self.list_down(number),
            Ok(count) => {
                call.frames.feed(&bytes[..count]);
                // Danger: a drain that lies behind as much is read after requests were sent on to that server.
                self.more |= count == READ;
            }
            Err(error) if again(&error) => return,
            Err(_) => return self.list_down(number),
        }
        loop {
            match call.frames.take() {
                Ok(Some(frame)) => self.inputs.push_back(Input::Told(number, frame)),
                Ok(None) => return,
                Err(error) => {
                    tracing::warn!(%error, "the list cannot be read");
                    return self.list_down(number);
                }
            }
        }
    }

    fn list_down(&mut self, number: u64) {
        self.list_calls.remove(&number);
        self.inputs.push_back(Input::ListDown(number));
    }

    fn discard(&mut self, token: u64) {
        let mut bytes = [0; READ];
        let Some(port) = self.ports.get_mut(&token) else { return };
        let over = match (&port.stream).read(&mut bytes) {
            Ok(0) => true,
            Ok(count) => {
                port.discarded += count;
                port.discarded > DISCARDED
            }
            Err(error) => !again(&error),
        };
        if over {
            self.ports.remove(&token);
        }
    }

    fn ready_port(&mut self, token: u64, flags: EventFlags) {
        let Some(port) = self.ports.get_mut(&token) else { return };
        if port.connecting {
            port.connecting = false;
            let link = ConnId(token & !KINDS);
            let result = match port.stream.take_error() {
                Ok(None) => Ok(()),
                Ok(Some(error)) | Err(error) => Err(dial_error(&error)),
            };
            if result.is_err() {
                self.ports.remove(&token);
            } else {
                port.watched = port::READS;
                let _ = epoll::modify(&self.poll, &port.stream, EventData::new_u64(token), port::READS);
            }
            return match result {
                Ok(()) => self.sendable.push_back(Input::Dialed(link, result)),
                Err(_) => self.inputs.push_back(Input::Dialed(link, result)),
            };
        }
        if flags.contains(EventFlags::OUT) {
            self.dirty.push_back(token);
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return;
        }
        // Danger: of one who has left already, the request alone is read, and sent on before the rest is.
        let has_left = flags.contains(EventFlags::RDHUP);
        for _ in 0..READS {
            let more = self.read_port(token);
            let over = self.ports.get(&token).is_none_or(|port| port.half_closed || port.closing);
            if over || !(more || has_left) {
                return;
            }
        }
        self.more = true;
    }

    /// Reads once from a connection. Returns whether more may wait there.
    fn read_port(&mut self, token: u64) -> bool {
        let Some(port) = self.ports.get_mut(&token) else { return false };
        let mut bytes = [0; READ];
        let count = match (&port.stream).read(&mut bytes) {
            Ok(0) if token & KINDS == VIEWER => {
                // Nothing more comes; what is owed may reach its reader yet.
                port.half_closed = true;
                if port.closing {
                    self.dirty.push_back(token);
                } else {
                    self.inputs.push_back(Input::HalfClosed(ClientId(token & !KINDS)));
                }
                return false;
            }
            Ok(0) => {
                self.broken(token);
                return false;
            }
            Ok(count) => count,
            Err(error) if again(&error) => return false,
            Err(_) => {
                self.broken(token);
                return false;
            }
        };
        if port.closing {
            return false;
        }
        port.crossed[1] += count;
        port.decoder.feed(&bytes[..count]);
        let (id, is_viewer) = (token & !KINDS, token & KINDS == VIEWER);
        let mut messages = Vec::new();
        let unreadable = loop {
            match port.decoder.take() {
                Ok(Some(message)) => {
                    port.crossed[0] += 1;
                    crosses("in", token, &message);
                    messages.push(message);
                }
                Ok(None) => break None,
                Err(error) => break Some(error),
            }
        };
        if is_viewer {
            let said = messages.into_iter().map(|message| Input::Said(ClientId(id), message));
            self.inputs.extend(said);
        } else if !messages.is_empty() {
            self.inputs.push_back(Input::HeardAll(ConnId(id), messages));
        }
        if let Some(error) = unreadable {
            tracing::debug!(%error, "a peer cannot be read");
            let spoilt = if is_viewer { Input::Garbled(ClientId(id)) } else { Input::Spoilt(ConnId(id)) };
            self.inputs.push_back(spoilt);
        }
        unreadable.is_none() && count == READ
    }

    /// A connection is of no more use.
    fn broken(&mut self, token: u64) {
        let Some(port) = self.ports.remove(&token) else { return };
        let id = token & !KINDS;
        if port.closing {
            return;
        }
        self.inputs.push_back(match token & KINDS {
            VIEWER => Input::Left(ClientId(id)),
            _ => Input::Closed(ConnId(id)),
        });
    }
}

/// At `trace`, each message with viewers and boxes, for whoever follows one session through its nodes.
fn crosses(way: &'static str, token: u64, message: &Message) {
    if tracing::enabled!(tracing::Level::TRACE) {
        let peer = if token & KINDS == VIEWER { "viewer" } else { "box" };
        let (number, id, cause) = (token & !KINDS, format!("{:016x}", message.session), message.cause());
        tracing::trace!(peer, number, kind = message.kind, id, ?cause, "{way}");
    }
}

#[cfg(test)]
mod tests;
