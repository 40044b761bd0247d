//! The one thread of accord: it reads frames, hands them to [`Accord`], writes to the store, and sends what follows. It
//! waits for nobody and holds no rule.
//!
//! Each front keeps one connection to each front that it speaks to, and answers on the other's own where it does not know
//! the way. What cannot be sent is dropped with its connection: the core says it again.
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

use crate::core::heirs::Succession;
use crate::core::rules::Rules;
use crate::core::stand::Stand;
use crate::core::{Accord, Envelope, Input, Micros, Name, Output, Own, Told};
use crate::lines;
use crate::settings::Settings;
use crate::store::{Found, Store, StoreError};
use crate::text;
use crate::wire::{self, Answer, Frame, Question};

/// Stack of the thread.
const STACK: usize = 512 * 1024;
const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
/// Read from one connection before the others have their turn, bytes.
const AT_ONCE: usize = 256 * 1024;
/// What may wait to be written to one connection, bytes: a whole history and then some.
const WAITING: usize = 2 * wire::LONGEST;
/// A connection that takes nothing for so long is given up, and one that does not come about.
const STUCK: Micros = 2_000_000;
/// After that a front is called again.
const CALL_AGAIN: Micros = 200_000;
/// Connections at most.
const MOST: usize = 4_096;

/// Why accord does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address cannot be bound.
    #[error("accord: cannot listen at {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The store cannot be used.
    #[error("accord: store: {0}")]
    Store(#[from] StoreError),
    /// The history cannot be written.
    #[error("accord: history: {0}")]
    History(io::Error),
    /// No thread to be had.
    #[error("accord: no thread: {0}")]
    Thread(io::Error),
}

/// A clock that only goes forward, also while the machine sleeps.
pub fn now() -> Micros {
    let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    at.tv_sec as u64 * 1_000_000 + at.tv_nsec as u64 / 1_000
}

fn unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// What this front acts on, for whoever is about to write an act.
#[derive(Clone, Debug)]
pub struct Authority(Arc<RwLock<Arc<Stand>>>);

impl Authority {
    fn new(stand: Stand) -> Authority {
        Authority(Arc::new(RwLock::new(Arc::new(stand))))
    }

    fn set(&self, stand: Stand) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(stand);
    }

    /// What it acts on; until when, it says itself, by [`now`].
    pub fn stand(&self) -> Arc<Stand> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }
}

enum Word {
    Pass(Name, Vec<u8>),
    Succeed(Vec<Succession>),
    Known(Vec<KnownFront>),
    Keys(KeyRing),
    End,
}

/// A way to tell the thread something from elsewhere.
#[derive(Clone)]
pub struct Teller {
    words: Sender<Word>,
    waker: Arc<Waker>,
}

impl Teller {
    fn tell(&self, word: Word) {
        let _ = self.words.send(word);
        let _ = self.waker.wake();
    }

    /// Who is known, as membership tells.
    pub fn known(&self, known: Vec<KnownFront>) {
        self.tell(Word::Known(known));
    }

    /// Sends bytes of another subsystem to its like at another front, in order with all that goes there; what cannot be
    /// sent is lost without a word.
    pub fn pass(&self, to: Name, bytes: Vec<u8>) {
        self.tell(Word::Pass(to, bytes));
    }

    /// Asks the voters for these heirs; said again by whoever wants it until it is seen.
    pub fn succeed(&self, changes: Vec<Succession>) {
        self.tell(Word::Succeed(changes));
    }
}

/// What wants to hear what this front stands on.
pub type Listener = Box<dyn Fn(Stand) + Send>;

/// Another subsystem that goes by accord's connections.
pub struct Beside {
    /// Takes what its like at another front has passed.
    pub passed: Box<dyn Fn(Name, Vec<u8>) + Send>,
    /// How it stands, for operators.
    pub shows: Box<dyn Fn() -> String + Send>,
}

/// Running accord. Dropped, it ends.
pub struct Running {
    teller: Teller,
    authority: Authority,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Starts it; `listener` is told what this front stands on, at first and whenever that changes.
    ///
    /// # Errors
    /// The address cannot be bound, the store cannot be used, the history cannot be written, no thread is to be had.
    pub fn start(settings: &Settings, listener: Option<Listener>) -> Result<Running, StartError> {
        Running::start_beside(settings, listener, None)
    }

    /// The same with another subsystem beside it.
    ///
    /// # Errors
    /// As [`Running::start`].
    pub fn start_beside(
        settings: &Settings,
        listener: Option<Listener>,
        beside: Option<Beside>,
    ) -> Result<Running, StartError> {
        let mut socket = TcpListener::bind(settings.bind).map_err(|e| StartError::Bind(settings.bind, e))?;
        let poll = Poll::new().map_err(StartError::Thread)?;
        poll.registry().register(&mut socket, LISTENER, Interest::READABLE).map_err(StartError::Thread)?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER).map_err(StartError::Thread)?);
        let (store, image, found) = Store::open(&settings.store)?;
        match &found {
            Found::New => tracing::info!("accord: a new store"),
            Found::Whole => {}
            Found::SetAside(at, why) => {
                tracing::error!(%why, at = %at.display(), "accord: a damaged store was set aside; this is a new disk now");
            }
            Found::Copied => {
                tracing::warn!("accord: the store is not where it was first written: it votes as a new disk");
            }
        }
        let open = |path: &std::path::PathBuf| File::options().create(true).append(true).open(path);
        let history = settings.history.as_ref().map(open).transpose().map_err(StartError::History)?;
        let own = Own {
            name: Name::clone(&settings.name),
            drawn: drawn(),
            voters: settings.voters.clone(),
            times: settings.times,
        };
        let mut out = Vec::new();
        let accord = Accord::new(own, image, now(), &mut out);
        let authority = Authority::new(accord.stand().clone());
        let (words, heard) = crossbeam_channel::unbounded();
        let teller = Teller { words, waker };
        let work = Work {
            accord,
            name: Name::clone(&settings.name),
            settings: settings.clone(),
            store: Some(store),
            history,
            authority: authority.clone(),
            poll,
            socket,
            listener,
            beside,
            links: BTreeMap::new(),
            next: 2,
            known: BTreeMap::new(),
            to: BTreeMap::new(),
            from: BTreeMap::new(),
            again: BTreeMap::new(),
            tickets: BTreeMap::new(),
            ticket: 0,
        };
        let spawn = |name: &str| thread::Builder::new().name(name.into()).stack_size(STACK);
        if let Some((every, viewers)) = settings.trial.as_ref().and_then(|trial| trial.acts) {
            let (authority, name) = (authority.clone(), Name::clone(&settings.name));
            let history = settings.history.as_ref().map(open).transpose().map_err(StartError::History)?;
            let acts = move || act(&authority, &name, history, every, viewers);
            spawn("acts").spawn(acts).map_err(StartError::Thread)?;
        }
        let thread = spawn("accord").spawn(move || work.run(out, &heard)).map_err(StartError::Thread)?;
        Ok(Running { teller, authority, thread: Some(thread) })
    }

    /// What this front acts on.
    pub fn authority(&self) -> Authority {
        self.authority.clone()
    }

    /// Whom to tell of views.
    pub fn teller(&self) -> Teller {
        self.teller.clone()
    }

    /// Other keys from now on.
    pub fn keys(&self, keys: KeyRing) {
        self.teller.tell(Word::Keys(keys));
    }

    /// Ends it.
    pub fn end(mut self) {
        self.teller.tell(Word::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A number that no other disk has, in all likelihood.
pub fn drawn() -> u64 {
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

/// Only in trials: acts as a front does, and writes what it did.
fn act(authority: &Authority, name: &Name, mut history: Option<File>, every: Micros, viewers: usize) {
    let mut turn = 0;
    loop {
        thread::sleep(Duration::from_micros(every));
        turn += 1;
        let viewer = format!("v{}", turn % viewers.max(1));
        let line = lines::act(unix(), name, &authority.stand(), now(), &viewer);
        if let Some(file) = &mut history {
            let _ = file.write_all(format!("{line}\n").as_bytes());
        }
    }
}

/// One connection.
struct Link {
    stream: TcpStream,
    /// Whom this front called by it; nobody, where the other one called.
    called: Option<Name>,
    /// Whether it has come about.
    open: bool,
    /// Since when nothing of it was vouched for; nothing once something was.
    strange: Option<Micros>,
    read: Vec<u8>,
    write: Vec<u8>,
    /// Since when nothing was taken of what waits.
    stuck: Option<Micros>,
}

struct Work {
    accord: Accord,
    name: Name,
    settings: Settings,
    store: Option<Store>,
    history: Option<File>,
    authority: Authority,
    poll: Poll,
    socket: TcpListener,
    listener: Option<Listener>,
    beside: Option<Beside>,
    links: BTreeMap<usize, Link>,
    next: usize,
    known: BTreeMap<Name, SocketAddr>,
    /// Connections by whom this front called, and by who called last.
    to: BTreeMap<Name, usize>,
    from: BTreeMap<Name, usize>,
    again: BTreeMap<Name, Micros>,
    /// Operators that wait: the connection, and the operator's own count.
    tickets: BTreeMap<u64, (usize, u64)>,
    ticket: u64,
}

impl Work {
    fn run(mut self, out: Vec<Output>, words: &Receiver<Word>) {
        if let Some(listener) = &self.listener {
            listener(self.accord.stand().clone());
        }
        self.carry_out(out);
        let mut events = Events::with_capacity(256);
        loop {
            loop {
                match words.try_recv() {
                    Ok(Word::Known(known)) => self.view(known),
                    Ok(Word::Succeed(changes)) => self.hand(Input::Succeed(changes)),
                    Ok(Word::Pass(to, bytes)) => {
                        if let Some(token) = self.way(&to) {
                            self.put(token, &Frame::Passes(Name::clone(&self.name), bytes));
                        }
                    }
                    Ok(Word::Keys(keys)) => self.settings.keys = keys,
                    Ok(Word::End) | Err(TryRecvError::Disconnected) => return,
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
                // Danger: what is said to a front goes on to whoever has its old address.
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
            Link { stream, called, open, strange, read: Vec::new(), write: Vec::new(), stuck },
        );
        Some(token)
    }

    /// The connection by which this front speaks to another, called if need be.
    fn way(&mut self, to: &Name) -> Option<usize> {
        if let Some(token) = self.to.get(to) {
            return Some(*token);
        }
        let Some(address) = self.known.get(to).copied() else { return self.from.get(to).copied() };
        if self.again.get(to).is_some_and(|at| *at > now()) {
            return None;
        }
        self.again.insert(Name::clone(to), now() + CALL_AGAIN);
        let relay = self.settings.trial.as_ref().and_then(|trial| trial.relay);
        let stream = TcpStream::connect(relay.unwrap_or(address)).ok()?;
        let token = self.link(stream, Some(Name::clone(to)), false)?;
        if let (Some(_), SocketAddr::V4(own), SocketAddr::V4(peer)) =
            (relay, self.settings.advertise, address)
        {
            let ahead = [own, peer].into_iter().flat_map(ahead).collect::<Vec<u8>>();
            self.links.entry(token).and_modify(|link| link.write = ahead);
        }
        self.to.insert(Name::clone(to), token);
        self.put(token, &Frame::Opens);
        Some(token)
    }

    fn hang(&mut self, token: usize) {
        let Some(mut link) = self.links.remove(&token) else { return };
        let _ = self.poll.registry().deregister(&mut link.stream);
        self.to.retain(|_, at| *at != token);
        self.from.retain(|_, at| *at != token);
        self.tickets.retain(|_, (at, _)| *at != token);
    }

    /// Connections on which nothing moves.
    fn give_up(&mut self) {
        let now = now();
        let long = |since: Option<Micros>| since.is_some_and(|since| since + STUCK <= now);
        let stuck = |link: &Link| long(link.stuck) || long(link.strange);
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
                    // Not yet, or never: it tells by closing, or is given up.
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
                    if took < AT_ONCE {
                        continue;
                    }
                    // The rest is told anew: readiness comes once for each change.
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
            let longest = if link.strange.is_some() { wire::LONGEST_FIRST } else { wire::LONGEST };
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
                self.hand(Input::Heard(envelope));
            }
            Frame::Passes(name, bytes) => {
                if self.links.get(&token).is_some_and(|link| link.called.is_none()) {
                    self.from.insert(Name::clone(&name), token);
                }
                if let Some(beside) = &self.beside {
                    (beside.passed)(name, bytes);
                }
            }
            Frame::Asks(count, question) => self.asked(token, count, question),
            Frame::Opens | Frame::Answers(..) => {}
        }
    }

    fn put(&mut self, token: usize, frame: &Frame) {
        let bytes = match wire::encode(frame, &self.settings.keys) {
            Ok(bytes) => bytes,
            Err(error) => return tracing::error!(%error, "accord: a message is not sent"),
        };
        let Some(link) = self.links.get_mut(&token) else { return };
        if link.write.len() + bytes.len() > WAITING {
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
            Question::Show => Ok(self.show().to_string()),
            Question::Beside => match &self.beside {
                Some(beside) => Ok((beside.shows)()),
                None => Err("this front keeps no copies: its settings have no `copies`".into()),
            },
            Question::Version(number) => {
                let stand = self.accord.stand();
                let (number, rules) = match number {
                    None => (history.begun, Some(Arc::clone(&stand.agreed))),
                    Some(number) => (number, history.rules(number)),
                };
                let why = || format!("version {number} is not kept here; `history` tells which are");
                let said =
                    |rules: Arc<Rules>| json!({"version": number, "rules": text::write(&rules)}).to_string();
                rules.map(said).ok_or_else(why)
            }
            Question::History => {
                let one = |(number, version): (&u64, &crate::core::history::Version)| {
                    json!({"version": number, "by": version.by, "at_us": version.at, "begun": *number <= history.begun,
                        "rules": text::write(&version.rules)})
                };
                let all: Vec<serde_json::Value> = history.versions.iter().map(one).collect();
                Ok(json!({"latest": history.latest, "begun": history.begun, "versions": all}).to_string())
            }
            Question::Propose(base, by, rules) => {
                self.ticket += 1;
                self.tickets.insert(self.ticket, (token, count));
                return self.hand(Input::Propose(self.ticket, base, by, unix(), *rules));
            }
            Question::Voters(names) => {
                self.ticket += 1;
                self.tickets.insert(self.ticket, (token, count));
                return self.hand(Input::Voters(self.ticket, names));
            }
        };
        self.put(token, &Frame::Answers(count, answer));
    }

    fn show(&self) -> serde_json::Value {
        let (history, stand, now) = (self.accord.history(), self.accord.stand(), now());
        let by = match stand.acts(now) {
            Ok((crate::core::stand::By::Lease, _)) => "lease",
            Ok((crate::core::stand::By::Meet, _)) => "meet",
            Err(_) => "none",
        };
        let voter = self.accord.voter();
        let voters: Vec<String> = history.voters.seats.values().map(|seat| seat.name.to_string()).collect();
        let leader = voter.and_then(|voter| history.voters.seats.get(&voter.leader()?));
        json!({"front": &*self.name, "acts_by": by, "begun": history.begun, "latest": history.latest,
            "steps": history.position, "lease_ms": stand.until.saturating_sub(now) / 1000,
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
            if let Some(line) = lines::line(unix(), &self.name, &output) {
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
                        // Danger: what follows in this very list promises what is on no disk.
                        return self.hand(Input::DiskFailed);
                    }
                }
                Output::Send(envelope) => self.send(envelope),
                Output::Stand(stand) => {
                    if let Some(listener) = &self.listener {
                        listener(stand.clone());
                    }
                    self.authority.set(stand);
                }
                Output::Told(ticket, told) => self.told(ticket, &told),
                Output::Version(number, _) => tracing::info!(number, "accord: a version is agreed on"),
                Output::Votes(votes) => tracing::info!(?votes, "accord: votes"),
                Output::Parted(name) => {
                    tracing::error!(%name, "accord: that front has another history than this one");
                }
                Output::Took(..) => {}
            }
        }
    }

    fn send(&mut self, envelope: Box<Envelope>) {
        let to = Name::clone(&envelope.to);
        if let Some(token) = self.way(&to) {
            self.put(token, &Frame::Peer(envelope));
        }
    }

    fn told(&mut self, ticket: u64, told: &Told) {
        let Some((token, count)) = self.tickets.remove(&ticket) else { return };
        use crate::core::history::Became;
        let answer = match told {
            Told::Became(Became::Version(number)) => Ok(json!({"version": number}).to_string()),
            Told::Became(Became::Late(latest)) => Err(format!(
                "not agreed on: version {latest} is the latest, and this was made from another; look at it and propose anew"
            )),
            Told::Became(Became::Crowded) => Err("too many versions wait to begin already: try again later".into()),
            Told::Unknown => Err(
                "nothing is known of it: the voters do not agree on anything at present, and may yet agree on this".into(),
            ),
            Told::Refused(why) => Err(why.clone()),
            Told::Asked => Ok(json!({"asked": true}).to_string()),
        };
        self.put(token, &Frame::Answers(count, answer));
    }
}

/// An address as it stands ahead of what goes by a trial's relay.
fn ahead(address: SocketAddrV4) -> Vec<u8> {
    salttally_members::wire::relay_header::prepend(address, &[])
}
