//! The accord thread: reads frames, passes them to [`Accord`], writes to the store and sends the resulting
//! messages. It never blocks on a peer and makes no decisions.
//!
//! Each front opens one connection to each front that it sends to; if it does not know the address, it uses
//! the peer's own connection. Messages that cannot be sent are dropped with their connection: the core
//! repeats them.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write as _};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, Sender, TryRecvError};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use salttally_members::edge::KnownFront;
use salttally_members::wire::KeyRing;
use serde_json::json;
use thiserror::Error;

use crate::core::coordination::CoordinationState;
use crate::core::rules::Rules;
use crate::core::successors::SuccessionChange;
use crate::core::{Accord, Envelope, FrontIdentity, Input, Micros, Name, OperatorReply, Output};
use crate::history_log;
use crate::rules_kdl;
use crate::settings::Settings;
use crate::store::{OpenOutcome, Store, StoreError};
use crate::wire::{self, Answer, Frame, Question};

/// Stack size of the thread.
const THREAD_STACK_BYTES: usize = 512 * 1024;
const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
/// Bytes read from one connection before other connections are served.
const READ_BUDGET_BYTES: usize = 256 * 1024;
/// Most bytes queued for one connection: a whole history and further messages.
const MAX_WRITE_QUEUE_BYTES: usize = 2 * wire::MAX_FRAME_BYTES;
/// A connection that takes no data, or is not established, for this long is closed.
const CONNECTION_STALL_TIMEOUT: Micros = 2_000_000;
/// Least time between two attempts to connect to a front.
const RECONNECT_INTERVAL: Micros = 200_000;
/// Most connections at once.
const MOST: usize = 4_096;

/// Why accord failed to start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address cannot be bound.
    #[error("accord: cannot listen at {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The store cannot be used.
    #[error("accord: store: {0}")]
    Store(#[from] StoreError),
    /// The history log cannot be opened.
    #[error("accord: history: {0}")]
    History(io::Error),
    /// The thread or its poll cannot be created.
    #[error("accord: no thread: {0}")]
    Thread(io::Error),
}

/// Microseconds of a monotonic clock that also counts while the machine is suspended.
pub fn now() -> Micros {
    let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    at.tv_sec as u64 * 1_000_000 + at.tv_nsec as u64 / 1_000
}

fn unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Shared access to the coordination state, for code that is about to write a command.
#[derive(Clone, Debug)]
pub struct Coordination(Arc<RwLock<Arc<CoordinationState>>>);

impl Coordination {
    fn new(coordination: CoordinationState) -> Coordination {
        Coordination(Arc::new(RwLock::new(Arc::new(coordination))))
    }

    fn set(&self, coordination: CoordinationState) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(coordination);
    }

    /// The current state. Its times are those of [`now`].
    pub fn current(&self) -> Arc<CoordinationState> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }
}

enum Command {
    Relay(Name, Vec<u8>),
    ChangeSuccessors(Vec<SuccessionChange>),
    Members(Vec<KnownFront>),
    Keys(KeyRing),
    End,
}

/// Sends commands to the thread from other threads.
#[derive(Clone)]
pub struct Handle {
    commands: Sender<Command>,
    waker: Arc<Waker>,
}

impl Handle {
    fn send(&self, command: Command) {
        let _ = self.commands.send(command);
        let _ = self.waker.wake();
    }

    /// Updates the known fronts, as membership reports them.
    pub fn update_members(&self, known: Vec<KnownFront>) {
        self.send(Command::Members(known));
    }

    /// Relays bytes of another subsystem to the same subsystem at another front, in order with all other
    /// messages to it. Bytes that cannot be sent are dropped silently.
    pub fn relay(&self, to: Name, bytes: Vec<u8>) {
        self.send(Command::Relay(to, bytes));
    }

    /// Asks the voters for changes of successors; the caller repeats the request until the history contains
    /// them.
    pub fn change_successors(&self, changes: Vec<SuccessionChange>) {
        self.send(Command::ChangeSuccessors(changes));
    }
}

/// Called with the coordination state when it changes.
pub type Listener = Box<dyn Fn(CoordinationState) + Send>;

/// Another subsystem that uses accord's connections.
pub struct Companion {
    /// Called with bytes relayed from the same subsystem at another front.
    pub on_message: Box<dyn Fn(Name, Vec<u8>) + Send>,
    /// Returns its status as JSON, for operators.
    pub status: Box<dyn Fn() -> String + Send>,
}

/// The running accord thread. Call [`Running::shut_down`] to end it.
pub struct Running {
    handle: Handle,
    shared_coordination: Coordination,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Starts accord; `listener` is called with the coordination state, at first and whenever it changes.
    ///
    /// # Errors
    /// The address cannot be bound, the store cannot be used, the history log cannot be opened, or the thread
    /// cannot be created.
    pub fn start(settings: &Settings, listener: Option<Listener>) -> Result<Running, StartError> {
        Running::start_with_companion(settings, listener, None)
    }

    /// Like [`Running::start`], with a subsystem that uses accord's connections.
    ///
    /// # Errors
    /// As [`Running::start`].
    pub fn start_with_companion(
        settings: &Settings,
        listener: Option<Listener>,
        companion: Option<Companion>,
    ) -> Result<Running, StartError> {
        let mut socket = TcpListener::bind(settings.bind).map_err(|e| StartError::Bind(settings.bind, e))?;
        let poll = Poll::new().map_err(StartError::Thread)?;
        poll.registry().register(&mut socket, LISTENER, Interest::READABLE).map_err(StartError::Thread)?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER).map_err(StartError::Thread)?);
        let (store, image, found) = Store::open(&settings.store)?;
        match &found {
            OpenOutcome::New => tracing::info!("accord: a new store"),
            OpenOutcome::Intact => {}
            OpenOutcome::SetAside(at, why) => {
                tracing::error!(%why, at = %at.display(), "accord: a damaged store was set aside; this is a new disk now");
            }
            OpenOutcome::Copied => {
                tracing::warn!("accord: the store is not where it was first written: it votes as a new disk");
            }
        }
        let open = |path: &std::path::PathBuf| File::options().create(true).append(true).open(path);
        let history = settings.history.as_ref().map(open).transpose().map_err(StartError::History)?;
        let own = FrontIdentity {
            name: Name::clone(&settings.name),
            new_disk_id: new_disk_id(),
            initial_voters: settings.voters.clone(),
            times: settings.times,
        };
        let mut out = Vec::new();
        let accord = Accord::new(own, image, now(), &mut out);
        let shared_coordination = Coordination::new(accord.coordination().clone());
        let (commands, heard) = crossbeam_channel::unbounded();
        let handle = Handle { commands, waker };
        let work = Service {
            accord,
            name: Name::clone(&settings.name),
            settings: settings.clone(),
            store: Some(store),
            history,
            shared_coordination: shared_coordination.clone(),
            poll,
            socket,
            listener,
            companion,
            links: BTreeMap::new(),
            next: 2,
            known: BTreeMap::new(),
            to: BTreeMap::new(),
            from: BTreeMap::new(),
            again: BTreeMap::new(),
            tickets: BTreeMap::new(),
            ticket: 0,
        };
        let spawn = |name: &str| thread::Builder::new().name(name.into()).stack_size(THREAD_STACK_BYTES);
        if let Some((every, viewers)) = settings.trial.as_ref().and_then(|trial| trial.acts) {
            let (shared_coordination, name) = (shared_coordination.clone(), Name::clone(&settings.name));
            let history = settings.history.as_ref().map(open).transpose().map_err(StartError::History)?;
            let acts = move || act(&shared_coordination, &name, history, every, viewers);
            spawn("acts").spawn(acts).map_err(StartError::Thread)?;
        }
        let thread = spawn("accord").spawn(move || work.run(out, &heard)).map_err(StartError::Thread)?;
        Ok(Running { handle, shared_coordination, thread: Some(thread) })
    }

    /// Shared access to the coordination state.
    pub fn coordination(&self) -> Coordination {
        self.shared_coordination.clone()
    }

    /// A handle for sending commands.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Replaces the key ring.
    pub fn set_keys(&self, keys: KeyRing) {
        self.handle.send(Command::Keys(keys));
    }

    /// Ends the thread and waits for it.
    pub fn shut_down(mut self) {
        self.handle.send(Command::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A random number for a new disk; a collision is very unlikely.
pub fn new_disk_id() -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&unix().to_be_bytes());
    hasher.update(&now().to_be_bytes());
    hasher.update(&std::process::id().to_be_bytes());
    let mut noise = [0; 32];
    if let Ok(mut file) = File::open("/dev/urandom") {
        let _ = file.read_exact(&mut noise);
    }
    hasher.update(&noise);
    let bytes = hasher.finalize();
    u64::from_be_bytes(std::array::from_fn(|at| bytes.as_bytes()[at]))
}

/// Only in trials: acts as a front would, and writes what it did to the history log.
fn act(
    shared_coordination: &Coordination,
    name: &Name,
    mut history: Option<File>,
    every: Micros,
    viewers: usize,
) {
    let mut turn = 0;
    loop {
        thread::sleep(Duration::from_micros(every));
        turn += 1;
        let viewer = format!("v{}", turn % viewers.max(1));
        let line = history_log::act(unix(), name, &shared_coordination.current(), now(), &viewer);
        if let Some(file) = &mut history {
            let _ = file.write_all(format!("{line}\n").as_bytes());
        }
    }
}

/// A connection.
struct Connection {
    stream: TcpStream,
    /// The front that this one connected to; none for an accepted connection.
    called: Option<Name>,
    /// Whether it is established.
    open: bool,
    /// Until the first authenticated frame of an accepted connection: since when it has been open.
    strange: Option<Micros>,
    read: Vec<u8>,
    write: Vec<u8>,
    /// Since when none of the queued bytes were taken.
    stuck: Option<Micros>,
}

struct Service {
    accord: Accord,
    name: Name,
    settings: Settings,
    store: Option<Store>,
    history: Option<File>,
    shared_coordination: Coordination,
    poll: Poll,
    socket: TcpListener,
    listener: Option<Listener>,
    companion: Option<Companion>,
    links: BTreeMap<usize, Connection>,
    next: usize,
    known: BTreeMap<Name, SocketAddr>,
    /// Connections by the front that was connected to, and by the front that connected last.
    to: BTreeMap<Name, usize>,
    from: BTreeMap<Name, usize>,
    again: BTreeMap<Name, Micros>,
    /// Operators waiting for a reply: the connection, and the operator's request number.
    tickets: BTreeMap<u64, (usize, u64)>,
    ticket: u64,
}

impl Service {
    fn run(mut self, out: Vec<Output>, commands: &Receiver<Command>) {
        if let Some(listener) = &self.listener {
            listener(self.accord.coordination().clone());
        }
        self.carry_out(out);
        let mut events = Events::with_capacity(256);
        loop {
            loop {
                match commands.try_recv() {
                    Ok(Command::Members(known)) => self.view(known),
                    Ok(Command::ChangeSuccessors(changes)) => self.hand(Input::ChangeSuccessors(changes)),
                    Ok(Command::Relay(to, bytes)) => {
                        if let Some(token) = self.way(&to) {
                            self.put(token, &Frame::Relayed(Name::clone(&self.name), bytes));
                        }
                    }
                    Ok(Command::Keys(keys)) => self.settings.keys = keys,
                    Ok(Command::End) | Err(TryRecvError::Disconnected) => return,
                    Err(TryRecvError::Empty) => break,
                }
            }
            let wait = self.accord.next_due().saturating_sub(now()).clamp(1_000, 200_000);
            if let Err(error) = self.poll.poll(&mut events, Some(Duration::from_micros(wait))) {
                if error.kind() != ErrorKind::Interrupted {
                    tracing::error!(%error, "accord: cannot wait");
                    thread::sleep(Duration::from_millis(10));
                }
            }
            let ready: Vec<(usize, bool, bool)> = events
                .iter()
                .map(|event| {
                    (event.token().0, event.is_readable() || event.is_read_closed(), event.is_writable())
                })
                .collect();
            for (token, readable, writable) in ready {
                match Token(token) {
                    LISTENER => self.accept(),
                    WAKER => {}
                    _ => {
                        if writable {
                            self.flush(token);
                        }
                        if readable {
                            self.read(token);
                        }
                    }
                }
            }
            self.give_up();
            self.hand(Input::Tick);
        }
    }

    fn view(&mut self, known: Vec<KnownFront>) {
        let here: BTreeSet<Name> =
            known.iter().filter(|one| one.in_view).map(|one| Name::clone(&one.name)).collect();
        for one in known {
            let moved =
                self.known.insert(Name::clone(&one.name), one.address).is_some_and(|old| old != one.address);
            if moved {
                // Danger: messages to a front would go on to whichever process has its old address.
                if let Some(token) = self.to.remove(&one.name) {
                    self.hang(token);
                }
            }
        }
        let own = Name::clone(&self.name);
        self.hand(Input::View(here.into_iter().filter(|name| *name != own).collect()));
    }

    // ---- Connections ----

    fn accept(&mut self) {
        loop {
            match self.socket.accept() {
                Ok((stream, _)) if self.links.len() < MOST => {
                    self.link(stream, None, true);
                }
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn link(&mut self, mut stream: TcpStream, called: Option<Name>, open: bool) -> Option<usize> {
        let token = self.next;
        self.next += 1;
        let _ = stream.set_nodelay(true);
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(token), both).ok()?;
        let stuck = (!open).then(now);
        let strange = called.is_none().then(now);
        self.links.insert(
            token,
            Connection { stream, called, open, strange, read: Vec::new(), write: Vec::new(), stuck },
        );
        Some(token)
    }

    /// The connection for messages to a front; opened if needed.
    fn way(&mut self, to: &Name) -> Option<usize> {
        if let Some(token) = self.to.get(to) {
            return Some(*token);
        }
        let Some(address) = self.known.get(to).copied() else { return self.from.get(to).copied() };
        if self.again.get(to).is_some_and(|at| *at > now()) {
            return None;
        }
        self.again.insert(Name::clone(to), now() + RECONNECT_INTERVAL);
        let relay = self.settings.trial.as_ref().and_then(|trial| trial.relay);
        let stream = TcpStream::connect(relay.unwrap_or(address)).ok()?;
        let token = self.link(stream, Some(Name::clone(to)), false)?;
        if let (Some(_), SocketAddr::V4(own), SocketAddr::V4(peer)) =
            (relay, self.settings.advertise, address)
        {
            let relay_prefix = [own, peer].into_iter().flat_map(relay_prefix).collect::<Vec<u8>>();
            self.links.entry(token).and_modify(|link| link.write = relay_prefix);
        }
        self.to.insert(Name::clone(to), token);
        self.put(token, &Frame::Hello);
        Some(token)
    }

    fn hang(&mut self, token: usize) {
        let Some(mut link) = self.links.remove(&token) else { return };
        let _ = self.poll.registry().deregister(&mut link.stream);
        self.to.retain(|_, at| *at != token);
        self.from.retain(|_, at| *at != token);
        self.tickets.retain(|_, (at, _)| *at != token);
    }

    /// Closes connections that have made no progress for too long.
    fn give_up(&mut self) {
        let now = now();
        let long = |since: Option<Micros>| since.is_some_and(|since| since + CONNECTION_STALL_TIMEOUT <= now);
        let stuck = |link: &Connection| long(link.stuck) || long(link.strange);
        let all: Vec<usize> =
            self.links.iter().filter(|(_, link)| stuck(link)).map(|(token, _)| *token).collect();
        all.into_iter().for_each(|token| self.hang(token));
    }

    fn flush(&mut self, token: usize) {
        let Some(link) = self.links.get_mut(&token) else { return };
        if !link.open {
            match link.stream.peer_addr() {
                Ok(_) => link.open = true,
                Err(error) if error.kind() == ErrorKind::NotConnected => {
                    // Not established yet: a failed connection is reported by an error, or closed after the
                    // timeout.
                    if link.stream.take_error().ok().flatten().is_some() {
                        self.hang(token);
                    }
                    return;
                }
                Err(_) => return self.hang(token),
            }
        }
        let mut gone = false;
        while !link.write.is_empty() {
            match link.stream.write(&link.write) {
                Ok(0) => gone = true,
                Ok(count) => {
                    link.write.drain(..count);
                    link.stuck = None;
                    continue;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => gone = true,
            }
            break;
        }
        link.stuck = if link.write.is_empty() { None } else { link.stuck.or_else(|| Some(now())) };
        if gone {
            self.hang(token);
        }
    }

    fn read(&mut self, token: usize) {
        let mut bytes = [0; 16 * 1024];
        let mut took = 0;
        let mut gone = false;
        let Some(link) = self.links.get_mut(&token) else { return };
        loop {
            match link.stream.read(&mut bytes) {
                Ok(0) => gone = true,
                Ok(count) => {
                    link.read.extend_from_slice(&bytes[..count]);
                    took += count;
                    if took < READ_BUDGET_BYTES {
                        continue;
                    }
                    // Reregisters, so that the remaining bytes are reported: readiness is reported once for
                    // each change.
                    let both = Interest::READABLE | Interest::WRITABLE;
                    let _ = self.poll.registry().reregister(&mut link.stream, Token(token), both);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => gone = true,
            }
            break;
        }
        loop {
            let Some(link) = self.links.get_mut(&token) else { return };
            let longest =
                if link.strange.is_some() { wire::MAX_FIRST_FRAME_BYTES } else { wire::MAX_FRAME_BYTES };
            match wire::decode(&link.read, &self.settings.keys, longest) {
                Ok(Some((frame, used))) => {
                    link.strange = None;
                    link.read.drain(..used);
                    self.frame(token, frame);
                }
                Ok(None) => break,
                Err(error) => {
                    let from = link.stream.peer_addr().ok();
                    tracing::warn!(?from, %error, "accord: a connection is given up");
                    return self.hang(token);
                }
            }
        }
        if gone {
            self.hang(token);
        }
    }

    fn frame(&mut self, token: usize, frame: Frame) {
        match frame {
            Frame::Peer(envelope) => {
                if self.links.get(&token).is_some_and(|link| link.called.is_none()) {
                    self.from.insert(Name::clone(&envelope.name), token);
                }
                self.hand(Input::Received(envelope));
            }
            Frame::Relayed(name, bytes) => {
                if self.links.get(&token).is_some_and(|link| link.called.is_none()) {
                    self.from.insert(Name::clone(&name), token);
                }
                if let Some(companion) = &self.companion {
                    (companion.on_message)(name, bytes);
                }
            }
            Frame::Question(count, question) => self.asked(token, count, question),
            Frame::Hello | Frame::Answer(..) => {}
        }
    }

    fn put(&mut self, token: usize, frame: &Frame) {
        let bytes = match wire::encode(frame, &self.settings.keys) {
            Ok(bytes) => bytes,
            Err(error) => return tracing::error!(%error, "accord: a message is not sent"),
        };
        let Some(link) = self.links.get_mut(&token) else { return };
        if link.write.len() + bytes.len() > MAX_WRITE_QUEUE_BYTES {
            return self.hang(token);
        }
        link.write.extend(bytes);
        if link.open {
            self.flush(token);
        }
    }

    // ---- Operators ----

    fn asked(&mut self, token: usize, count: u64, question: Question) {
        let history = self.accord.history();
        let answer: Answer = match question {
            Question::Status => Ok(self.show().to_string()),
            Question::Copies => match &self.companion {
                Some(companion) => Ok((companion.status)()),
                None => Err("this front keeps no copies: its settings have no `copies`".into()),
            },
            Question::Version(number) => {
                let coordination = self.accord.coordination();
                let (number, rules) = match number {
                    None => (history.begun, Some(Arc::clone(&coordination.agreed))),
                    Some(number) => (number, history.rules(number)),
                };
                let why = || format!("version {number} is not kept here; `history` tells which are");
                let said = |rules: Arc<Rules>| {
                    json!({"version": number, "rules": rules_kdl::write(&rules)}).to_string()
                };
                rules.map(said).ok_or_else(why)
            }
            Question::History => {
                let one = |(number, version): (&u64, &crate::core::history::Version)| {
                    json!({"version": number, "by": version.by, "at_us": version.at, "begun": *number <= history.begun,
                        "rules": rules_kdl::write(&version.rules)})
                };
                let all: Vec<serde_json::Value> = history.versions.iter().map(one).collect();
                Ok(json!({"latest": history.latest, "begun": history.begun, "versions": all}).to_string())
            }
            Question::Propose(base, by, rules) => {
                self.ticket += 1;
                self.tickets.insert(self.ticket, (token, count));
                return self.hand(Input::Propose(self.ticket, base, by, unix(), *rules));
            }
            Question::ChangeVoters(names) => {
                self.ticket += 1;
                self.tickets.insert(self.ticket, (token, count));
                return self.hand(Input::ChangeVoters(self.ticket, names));
            }
        };
        self.put(token, &Frame::Answer(count, answer));
    }

    fn show(&self) -> serde_json::Value {
        let (history, coordination, now) = (self.accord.history(), self.accord.coordination(), now());
        let by = match coordination.active_rules(now) {
            Ok((crate::core::coordination::Basis::Lease, _)) => "lease",
            Ok((crate::core::coordination::Basis::Meet, _)) => "meet",
            Err(_) => "none",
        };
        let voter = self.accord.voter();
        let voters: Vec<String> = history.voters.seats.values().map(|seat| seat.name.to_string()).collect();
        let leader = voter.and_then(|voter| history.voters.seats.get(&voter.leader()?));
        json!({"front": &*self.name, "acts_by": by, "begun": history.begun, "latest": history.latest,
            "steps": history.position, "lease_ms": coordination.lease_until.saturating_sub(now) / 1000,
            "epoch": history.voters.epoch, "voters": voters, "votes": voter.is_some(),
            "leader": leader.map(|seat| seat.name.to_string()), "disk": self.store.is_some(),
            "holders": voter.map(|voter| voter.holders().count())})
    }

    // ---- The core ----

    fn hand(&mut self, input: Input) {
        let mut out = Vec::new();
        self.accord.handle(now(), input, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            if let Some(line) = history_log::line(unix(), &self.name, &output) {
                if let Some(file) = &mut self.history {
                    let _ = file.write_all(format!("{line}\n").as_bytes());
                }
            }
            match output {
                Output::Write(writes) => {
                    let Some(store) = &self.store else { continue };
                    if let Err(error) = store.write(&writes) {
                        tracing::error!(%error, "accord: nothing can be kept: this front does not vote until it is started again");
                        self.store = None;
                        // Danger: later outputs of this list would announce state that is on no disk.
                        return self.hand(Input::DiskFailed);
                    }
                }
                Output::Send(envelope) => self.send(envelope),
                Output::Coordination(coordination) => {
                    if let Some(listener) = &self.listener {
                        listener(coordination.clone());
                    }
                    self.shared_coordination.set(coordination);
                }
                Output::Reply(ticket, told) => self.told(ticket, &told),
                Output::Version(number, _) => tracing::info!(number, "accord: a version is agreed on"),
                Output::Voting(votes) => tracing::info!(?votes, "accord: votes"),
                Output::HistoryDiverged(name) => {
                    tracing::error!(%name, "accord: that front has another history than this one");
                }
                Output::HistoryAdvanced(..) => {}
            }
        }
    }

    fn send(&mut self, envelope: Box<Envelope>) {
        let to = Name::clone(&envelope.to);
        if let Some(token) = self.way(&to) {
            self.put(token, &Frame::Peer(envelope));
        }
    }

    fn told(&mut self, ticket: u64, told: &OperatorReply) {
        let Some((token, count)) = self.tickets.remove(&ticket) else { return };
        use crate::core::history::ProposalOutcome;
        let answer = match told {
            OperatorReply::Became(ProposalOutcome::Version(number)) => Ok(json!({"version": number}).to_string()),
            OperatorReply::Became(ProposalOutcome::Late(latest)) => Err(format!(
                "not agreed on: version {latest} is the latest, and this was made from another; look at it and propose anew"
            )),
            OperatorReply::Became(ProposalOutcome::Crowded) => Err("too many versions wait to begin already: try again later".into()),
            OperatorReply::Unknown => Err(
                "nothing is known of it: the voters do not agree on anything at present, and may yet agree on this".into(),
            ),
            OperatorReply::Refused(why) => Err(why.clone()),
            OperatorReply::Asked => Ok(json!({"asked": true}).to_string()),
        };
        self.put(token, &Frame::Answer(count, answer));
    }
}

/// The address header that precedes data sent through a trial's relay.
fn relay_prefix(address: SocketAddrV4) -> Vec<u8> {
    salttally_members::wire::relay_header::prepend(address, &[])
}
