//! One thread that reads, writes and waits for a front node; it holds no rule. All that comes is handed to
//! [`Core`], and what that answers is carried out in order.

use std::collections::{BTreeMap, VecDeque};
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
use crate::core::{ClientId, ConnId, Core, Counts, Input, Level, Output};
use crate::wire::frames::Frames;
use crate::wire::Message;

mod port;
mod sockets;

use port::{send, Port, BACKLOG};
use sockets::{again, dial, dial_error, listen};

/// Read at once from one connection; the others have their turn in between.
const READ: usize = 16 * 1024;
/// Connections accepted at once.
const ACCEPTED: usize = 64;
/// A closed connection is read on for so long, so that what was written last is not lost by a reset.
const LINGER: Micros = 300_000;
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
    number: u64,
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
    listener: TcpListener,
    signals: Signals,
    ports: BTreeMap<u64, Port>,
    list: Option<ListCall>,
    clients: u64,
    inputs: VecDeque<Input>,
    dirty: VecDeque<u64>,
    lingering: VecDeque<(Micros, u64)>,
    finished: bool,
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
    let mut core = Core::new(brain, config.facts, config.limits.sockets, now);
    let mut out = Vec::new();
    core.begin(now, config.known, config.index, config.coordinator, &mut out);
    let mut node = Node {
        clock,
        poll,
        core,
        path: path.into(),
        listener,
        signals,
        ports: BTreeMap::new(),
        list: None,
        clients: 0,
        inputs: VecDeque::new(),
        dirty: VecDeque::new(),
        lingering: VecDeque::new(),
        finished: false,
        telling: 0,
    };
    node.carry_out(&mut out);
    node.work(&mut out);
    node.serve()
}

impl Node {
    fn serve(mut self) -> Result<Counts, NodeError> {
        let mut events = Vec::with_capacity(128);
        let mut out = Vec::new();
        while !self.finished {
            let now = self.clock.now();
            let mut wait = LONGEST_WAIT;
            if let Some(due) = self.core.next_due() {
                wait = wait.min(due.saturating_sub(now));
            }
            if let Some((due, _)) = self.lingering.front() {
                wait = wait.min(due.saturating_sub(now));
            }
            events.clear();
            let waited = epoll::wait(&self.poll, spare_capacity(&mut events), Some(&timespec(wait)));
            if waited == Err(Errno::INTR) {
                // A process that was stopped wakes so, with no event told: what waits in the sockets goes ahead of
                // what has become due meanwhile.
                let _ = epoll::wait(&self.poll, spare_capacity(&mut events), Some(&timespec(0)));
            }
            for event in &events {
                self.ready(event.data.u64(), event.flags);
                self.work(&mut out);
            }
            self.inputs.push_back(Input::Tick);
            self.work(&mut out);
            self.close_lingering();
            if tracing::enabled!(tracing::Level::DEBUG) {
                self.tell_beliefs();
            }
        }
        Ok(self.core.counts())
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
        loop {
            while let Some(input) = self.inputs.pop_front() {
                self.core.handle(self.clock.now(), input, out);
                self.carry_out(out);
            }
            let Some(token) = self.dirty.pop_front() else { return };
            self.flush(token);
        }
    }

    fn carry_out(&mut self, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Say(client, message) => self.write(VIEWER | client.0, &message),
                Output::Send(link, message) => self.write(BOX | link.0, &message),
                Output::Close(client) => self.close(VIEWER | client.0),
                Output::Hang(link) => self.close(BOX | link.0),
                Output::Dial(link, to) => self.dial(link, to),
                Output::Follow(number, to, last) => self.follow(number, to, last),
                Output::Unfollow(number) => {
                    self.list.take_if(|call| call.number == number);
                }
                Output::Log(Level::Debug, text) => tracing::debug!("{text}"),
                Output::Log(Level::Info, text) => tracing::info!("{text}"),
                Output::Log(Level::Warn, text) => tracing::warn!("{text}"),
                Output::Finished => self.finished = true,
            }
        }
        if self.finished {
            self.last_words();
        }
    }

    fn write(&mut self, token: u64, message: &Message) {
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
        match port.flush(now) {
            Err(()) => self.broken(token),
            Ok(false) if port.closing => self.part(token),
            Ok(waits) if !port.connecting => {
                let flags = if waits { EventFlags::IN | EventFlags::OUT } else { EventFlags::IN };
                if flags != port.watched {
                    port.watched = flags;
                    let _ = epoll::modify(&self.poll, &port.stream, EventData::new_u64(token), flags);
                }
            }
            Ok(_) => {}
        }
    }

    /// All is written: a viewer is read on for a while, a box's connection just closes.
    fn part(&mut self, token: u64) {
        let Some(port) = self.ports.remove(&token) else { return };
        let _ = epoll::delete(&self.poll, &port.stream);
        if token & KINDS != VIEWER || port.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let token = LINGERING | (token & !KINDS);
        if epoll::add(&self.poll, &port.stream, EventData::new_u64(token), EventFlags::IN).is_ok() {
            self.lingering.push_back((self.clock.now() + LINGER, token));
            self.ports.insert(token, port);
        }
    }

    fn close_lingering(&mut self) {
        let now = self.clock.now();
        while self.lingering.front().is_some_and(|(due, _)| *due <= now) || self.lingering.len() > 32 {
            if let Some((_, token)) = self.lingering.pop_front() {
                self.ports.remove(&token);
            }
        }
    }

    /// The process ends: what is written waits a moment for the sockets to take it.
    fn last_words(&mut self) {
        for _ in 0..50 {
            let now = self.clock.now();
            let waiting = self.ports.values_mut().filter(|port| !port.connecting);
            if !waiting.fold(false, |waits, port| waits | port.flush(now).unwrap_or(false)) {
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
        for port in self.ports.values() {
            let _ = port.stream.shutdown(Shutdown::Write);
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
                self.ports.insert(token, Port::new(stream, true));
            }
            Err(error) => self.inputs.push_back(Input::Dialed(link, Err(dial_error(&error)))),
        }
    }

    fn follow(&mut self, number: u64, to: SocketAddr, last: u64) {
        match self.watched_dial(to, LIST | number) {
            Ok(stream) => {
                let frames = Frames::default();
                self.list = Some(ListCall { number, stream, connecting: true, hello: last, frames });
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
        for _ in 0..ACCEPTED {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    tracing::debug!(%error, "a connection is not taken");
                    thread::sleep(Duration::from_millis(1));
                    return;
                }
            };
            let _ = (stream.set_nonblocking(true), stream.set_nodelay(true));
            self.clients += 1;
            let client = ClientId(self.clients);
            let token = VIEWER | client.0;
            if epoll::add(&self.poll, &stream, EventData::new_u64(token), EventFlags::IN).is_ok() {
                self.ports.insert(token, Port::new(stream, false));
                self.inputs.push_back(Input::Joined(client));
            }
        }
    }

    fn ready_list(&mut self, number: u64) {
        let Some(call) = self.list.as_mut().filter(|call| call.number == number) else { return };
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
            Ok(count) => call.frames.feed(&bytes[..count]),
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
        self.list = None;
        self.inputs.push_back(Input::ListDown(number));
    }

    fn discard(&mut self, token: u64) {
        let mut bytes = [0; READ];
        let Some(port) = self.ports.get_mut(&token) else { return };
        let over = match (&port.stream).read(&mut bytes) {
            Ok(0) => true,
            Ok(count) => {
                port.discarded += count;
                port.discarded > BACKLOG
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
                port.watched = EventFlags::IN;
                let _ = epoll::modify(&self.poll, &port.stream, EventData::new_u64(token), EventFlags::IN);
            }
            return self.inputs.push_back(Input::Dialed(link, result));
        }
        if flags.contains(EventFlags::OUT) {
            self.dirty.push_back(token);
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return;
        }
        let mut bytes = [0; READ];
        match (&port.stream).read(&mut bytes) {
            Ok(0) => return self.broken(token),
            Ok(_) if port.closing => return,
            Ok(count) => {
                port.crossed[1] += count;
                port.decoder.feed(&bytes[..count]);
            }
            Err(error) if again(&error) => return,
            Err(_) => return self.broken(token),
        }
        loop {
            match port.decoder.take() {
                Ok(Some(message)) => {
                    port.crossed[0] += 1;
                    self.inputs.push_back(said(token, message));
                }
                Ok(None) => return,
                Err(error) => {
                    tracing::debug!(%error, "a peer cannot be read");
                    let id = token & !KINDS;
                    return self.inputs.push_back(match token & KINDS {
                        VIEWER => Input::Garbled(ClientId(id)),
                        _ => Input::Spoilt(ConnId(id)),
                    });
                }
            }
        }
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

fn said(token: u64, message: Message) -> Input {
    let id = token & !KINDS;
    match token & KINDS {
        VIEWER => Input::Said(ClientId(id), message),
        _ => Input::Heard(ConnId(id), message),
    }
}

#[cfg(test)]
mod tests;
