//! Peers that mean harm, beside viewers that do not: each kind of siege is laid to a front by some thousand
//! connections, while proper viewers open sessions and others watch theirs, and what those get is measured.
//!
//! Loopback only. The besiegers are a few threads that walk over many sockets, so that they cost the machine less
//! than the front that they try.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{json, Value};
use socket2::{Domain, Protocol, Socket, Type};

use crate::players::{Line, Silence};

/// Threads of the besiegers.
const THREADS: usize = 4;
/// One walk over a thread's sockets takes this long at least.
const WALK: Duration = Duration::from_millis(20);
/// A besieger that was cut off comes again after about this.
const AGAIN: Duration = Duration::from_millis(200);
/// Messages that a flood writes to one socket in one walk.
const FLOOD: usize = 16;
/// Watchers have this long to open their sessions before a siege.
const SETTLES: Duration = Duration::from_secs(20);
/// A proper viewer's patience, ms.
const PATIENCE_MS: u64 = 3_000;

/// What the besiegers do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Nothing: no besieger comes, for comparison.
    Nobody,
    /// A byte of a handshake a second.
    SlowHandshake,
    /// The head of a message and three bytes of it, and nothing more.
    HalfMessage,
    /// A handshake, and then nothing.
    Idle,
    /// Connections that come and go.
    Churn,
    /// Cheap calls without end.
    Calls,
    /// Opens that are cancelled at once, without end.
    Opens,
    /// Closes of sessions that never were, without end.
    Closes,
    /// Pings without end.
    Pings,
    /// Calls whose answers are never read.
    Deaf,
    /// A session is opened, and nothing is heard or said any more.
    Vanish,
}

impl Kind {
    /// All, the comparison first.
    pub const ALL: [Kind; 11] = [
        Kind::Nobody,
        Kind::SlowHandshake,
        Kind::HalfMessage,
        Kind::Idle,
        Kind::Churn,
        Kind::Calls,
        Kind::Opens,
        Kind::Closes,
        Kind::Pings,
        Kind::Deaf,
        Kind::Vanish,
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Nobody => "nobody",
            Kind::SlowHandshake => "slow-handshake",
            Kind::HalfMessage => "half-message",
            Kind::Idle => "idle",
            Kind::Churn => "churn",
            Kind::Calls => "calls",
            Kind::Opens => "opens",
            Kind::Closes => "closes",
            Kind::Pings => "pings",
            Kind::Deaf => "deaf",
            Kind::Vanish => "vanish",
        }
    }

    /// The kind of this name.
    pub fn named(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// A siege.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What the besiegers do; they are dealt out evenly.
    pub kinds: Vec<Kind>,
    /// Front.
    pub front: SocketAddr,
    /// Besiegers at once.
    pub peers: usize,
    /// Addresses of 127.0.0.0/8 that they come from.
    pub sources: u32,
    /// Length.
    pub length: Duration,
    /// Besiegers come for this long before the first proper viewer does.
    pub before: Duration,
    /// Proper viewers at once, each opening one session after another.
    pub viewers: usize,
    /// Viewers that watch one session from before the siege to its end.
    pub watchers: usize,
    /// What is watched.
    pub title: String,
    /// Class.
    pub class: String,
    /// Seed of the draws.
    pub seed: u64,
}

/// What a siege did.
#[derive(Clone, Debug)]
pub struct Measure {
    /// Besiegers whose connection stood at the end.
    pub stood: usize,
    /// Times that one was cut off or turned away.
    pub cut: u64,
    /// Sessions that proper viewers asked for, and those that played.
    pub asked: u64,
    /// Those that played.
    pub served: u64,
    /// Until the answer to `session.open`, us.
    pub answers: Histogram<u64>,
    /// Until the handshake was whole, us.
    pub handshakes: Histogram<u64>,
    /// Watchers, and those whose session and connection stood to the end.
    pub watchers: usize,
    /// Those unharmed.
    pub unharmed: usize,
    /// Why proper viewers were not served, the first few.
    pub why: Vec<String>,
}

impl Measure {
    /// Part of the proper viewers that was served.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }

    /// As JSON.
    pub fn to_json(&self) -> Value {
        let at = |times: &Histogram<u64>, part: f64| times.value_at_quantile(part);
        json!({
            "stood": self.stood, "cut": self.cut, "asked": self.asked, "served": self.served,
            "answer_p50_us": at(&self.answers, 0.5), "answer_p99_us": at(&self.answers, 0.99),
            "handshake_p99_us": at(&self.handshakes, 0.99),
            "watchers": self.watchers, "unharmed": self.unharmed, "why": self.why
        })
    }
}

struct Shared {
    plan: Plan,
    stop: AtomicBool,
    told: Mutex<Told>,
}

struct Told {
    asked: u64,
    served: u64,
    answers: Histogram<u64>,
    handshakes: Histogram<u64>,
    why: Vec<String>,
}

/// Besiegers at work.
#[derive(Debug)]
pub struct Besiegers {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(usize, u64)>>,
}

impl Besiegers {
    /// Sends as many as the plan has to its front.
    pub fn begin(plan: &Plan) -> Besiegers {
        let stop = Arc::new(AtomicBool::new(false));
        let besiege = |thread| {
            let (plan, stop) = (plan.clone(), Arc::clone(&stop));
            thread::spawn(move || besiege(&plan, thread, &stop))
        };
        let threads = (0..THREADS).map(besiege).collect();
        Besiegers { stop, threads }
    }

    /// Calls them off: how many connections stood, and how often one was cut off or turned away.
    pub fn end(self) -> (usize, u64) {
        self.stop.store(true, Ordering::Release);
        let ended = self.threads.into_iter().map(|thread| thread.join().unwrap_or_default());
        ended.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

/// Lays a siege and measures what proper viewers get meanwhile.
///
/// # Errors
/// The front is not on loopback, or the watchers cannot open their sessions before the siege.
pub fn lay(plan: Plan) -> io::Result<Measure> {
    if !plan.front.ip().is_loopback() {
        return Err(io::Error::new(ErrorKind::InvalidInput, "a siege is laid to loopback addresses only"));
    }
    let none = || Histogram::new(3).map_err(io::Error::other);
    let told = Told { asked: 0, served: 0, answers: none()?, handshakes: none()?, why: Vec::new() };
    // A front that has just held out against another siege may still refuse.
    let settled = Instant::now() + SETTLES;
    let begin = |number| loop {
        match Watcher::begin(&plan, number) {
            Err(_) if Instant::now() < settled => thread::sleep(Duration::from_millis(500)),
            done => return done,
        }
    };
    let mut watching = (0..plan.watchers).map(begin).collect::<io::Result<Vec<Watcher>>>()?;
    let shared = Arc::new(Shared { plan, stop: AtomicBool::new(false), told: Mutex::new(told) });
    let plan = &shared.plan;
    let besiegers = Besiegers::begin(plan);
    let mut threads = Vec::new();
    thread::sleep(plan.before);
    for number in 0..plan.viewers {
        let shared = Arc::clone(&shared);
        let run = move || view(&shared, number);
        threads.push(thread::Builder::new().stack_size(256 * 1024).spawn(run)?);
    }
    let until = Instant::now() + plan.length;
    while Instant::now() < until {
        // Watchers read on, as players do: pings are answered.
        watching.iter_mut().for_each(Watcher::read);
        thread::sleep(Duration::from_millis(50));
    }
    shared.stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    let (stood, cut) = besiegers.end();
    let unharmed = watching.iter_mut().filter_map(|watcher| watcher.end().then_some(())).count();
    let told = shared.told.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(Measure {
        stood,
        cut,
        asked: told.asked,
        served: told.served,
        answers: told.answers.clone(),
        handshakes: told.handshakes.clone(),
        watchers: watching.len(),
        unharmed,
        why: told.why.clone(),
    })
}

// ---- Those that mean no harm ----

fn open_params(plan: &Plan, viewer: &str) -> Value {
    json!({
        "viewer": viewer, "title": plan.title, "class": plan.class, "top_rung": 0, "patience_ms": PATIENCE_MS
    })
}

fn said(silence: Silence) -> io::Error {
    match silence {
        Silence::TimedOut => io::Error::new(ErrorKind::TimedOut, "no answer"),
        Silence::Cut(why) => io::Error::new(ErrorKind::ConnectionAborted, why),
    }
}

struct Watcher {
    line: Line,
    session: String,
    harmed: bool,
}

impl Watcher {
    fn begin(plan: &Plan, number: usize) -> io::Result<Watcher> {
        let mut line = Line::connect(plan.front, Duration::from_secs(5))?;
        let params = open_params(plan, &format!("watcher-{number}"));
        let id = line.call("session.open", &params).map_err(said)?;
        let until = Instant::now() + Duration::from_millis(PATIENCE_MS + 500);
        let answer = line.response(id, until, &mut Vec::new()).map_err(said)?;
        let session = answer["result"]["session"].as_str();
        let session =
            session.ok_or_else(|| io::Error::other(format!("a watcher is not served: {answer}")))?;
        Ok(Watcher { line, session: session.to_owned(), harmed: false })
    }

    fn read(&mut self) {
        match self.line.next(Instant::now() + Duration::from_millis(1)) {
            Err(Silence::TimedOut) => {}
            Err(Silence::Cut(_)) => self.harmed = true,
            Ok(news) => self.harmed |= news["method"] == "session.ended",
        }
    }

    fn end(&mut self) -> bool {
        let mut closed = || -> Result<bool, Silence> {
            let id = self.line.call("session.close", &json!({"session": self.session}))?;
            let until = Instant::now() + Duration::from_secs(5);
            let answer = self.line.response(id, until, &mut Vec::new())?;
            Ok(answer["result"]["state"] == "closed")
        };
        closed().unwrap_or(false) && !self.harmed
    }
}

/// One proper viewer after another, until the end.
fn view(shared: &Shared, number: usize) {
    let plan = &shared.plan;
    let mut round = 0;
    while !shared.stop.load(Ordering::Acquire) {
        round += 1;
        let one = one_view(plan, &format!("viewer-{number}-{round}"));
        let mut told = shared.told.lock().unwrap_or_else(PoisonError::into_inner);
        told.asked += 1;
        match one {
            Ok((handshake, answer)) => {
                told.served += 1;
                let us = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                let _ = told.handshakes.record(us(handshake));
                let _ = told.answers.record(us(answer));
            }
            Err(error) => {
                if told.why.len() < 5 {
                    told.why.push(error.to_string());
                }
            }
        }
        drop(told);
        thread::sleep(Duration::from_millis(100));
    }
}

fn one_view(plan: &Plan, viewer: &str) -> io::Result<(Duration, Duration)> {
    let begun = Instant::now();
    let mut line = Line::connect(plan.front, Duration::from_millis(PATIENCE_MS))?;
    let handshake = begun.elapsed();
    let asked = Instant::now();
    let id = line.call("session.open", &open_params(plan, viewer)).map_err(said)?;
    let until = asked + Duration::from_millis(PATIENCE_MS + 500);
    let answer = line.response(id, until, &mut Vec::new()).map_err(said)?;
    let answered = asked.elapsed();
    let session = answer["result"]["session"].as_str().ok_or_else(|| io::Error::other(answer.to_string()))?;
    let id = line.call("session.close", &json!({"session": session})).map_err(said)?;
    line.response(id, Instant::now() + Duration::from_secs(3), &mut Vec::new()).map_err(said)?;
    Ok((handshake, answered))
}

// ---- Besiegers ----

struct Peer {
    number: usize,
    kind: Kind,
    source: IpAddr,
    socket: Option<TcpStream>,
    /// Bytes of the handshake that are written.
    shaken: usize,
    inside: bool,
    begun: bool,
    next: Instant,
    /// Bytes that the socket did not take yet: frames go whole or the front would close for that.
    rest: Vec<u8>,
    calls: u64,
}

fn besiege(plan: &Plan, thread: usize, stop: &AtomicBool) -> (usize, u64) {
    let mut cut = 0;
    let mut rng = Pcg32::seed_from_u64(plan.seed.wrapping_add(thread as u64));
    let mut peers = Vec::new();
    for number in (thread..plan.peers).step_by(THREADS) {
        let kind = plan.kinds[number / THREADS % plan.kinds.len()];
        if kind == Kind::Nobody {
            continue;
        }
        let source = number as u32 % plan.sources.max(1);
        let source = IpAddr::V4(Ipv4Addr::new(127, 1, (source >> 8) as u8, source as u8 | 1));
        let next = Instant::now() + Duration::from_micros(u64::from(rng.next_u32() % 1_000_000));
        let source = if plan.sources > 1 { source } else { IpAddr::V4(Ipv4Addr::LOCALHOST) };
        let (socket, rest) = (None, Vec::new());
        peers.push(Peer {
            number,
            kind,
            source,
            socket,
            shaken: 0,
            inside: false,
            begun: false,
            next,
            rest,
            calls: 0,
        });
    }
    while !stop.load(Ordering::Acquire) {
        let begun = Instant::now();
        for peer in &mut peers {
            let now = Instant::now();
            if peer.turn(plan, now).is_err() {
                cut += 1;
                let again = AGAIN.mul_f64(0.5 + f64::from(rng.next_u32()) / f64::from(u32::MAX));
                peer.again(now + again);
            }
        }
        thread::sleep(WALK.saturating_sub(begun.elapsed()));
    }
    (peers.iter().filter(|peer| peer.socket.is_some()).count(), cut)
}

impl Peer {
    fn again(&mut self, next: Instant) {
        (self.socket, self.shaken, self.inside, self.begun, self.next) = (None, 0, false, false, next);
        self.rest.clear();
    }

    fn turn(&mut self, plan: &Plan, now: Instant) -> io::Result<()> {
        if self.socket.is_none() {
            if now < self.next {
                return Ok(());
            }
            self.socket = Some(connect(self.source, plan.front)?);
            self.next = now;
        }
        // Those that vanish or are deaf read no more once they are in.
        let deaf = self.begun && matches!(self.kind, Kind::Deaf | Kind::Vanish);
        if !deaf {
            self.listen()?;
        }
        let handshake = handshake(plan.front);
        if self.shaken < handshake.len() {
            if now < self.next {
                return Ok(());
            }
            let slow = self.kind == Kind::SlowHandshake;
            let end = if slow { self.shaken + 1 } else { handshake.len() };
            self.shaken += self.write(&handshake.as_bytes()[self.shaken..end])?;
            if slow {
                self.next = now + Duration::from_secs(1);
            }
            return Ok(());
        }
        if !self.inside {
            return Ok(());
        }
        if !self.rest.is_empty() {
            let rest = std::mem::take(&mut self.rest);
            return self.send(&rest);
        }
        match self.kind {
            Kind::Nobody | Kind::SlowHandshake | Kind::Idle => Ok(()),
            Kind::Churn => Err(ErrorKind::ConnectionReset.into()),
            Kind::HalfMessage => self.once(&[0x81, 0x80 | 126, 0x10, 0, 0, 0, 0, 0, b'{', b'"', b'a']),
            Kind::Pings => self.flood(&[0x89, 0x80, 0, 0, 0, 0]),
            Kind::Vanish => {
                let open = json!({"jsonrpc": "2.0", "id": 1, "method": "session.open",
                    "params": open_params(plan, &format!("vanished-{}", self.number))});
                self.once(&frame(&open.to_string()))
            }
            Kind::Calls | Kind::Deaf => {
                let call = json!({"jsonrpc": "2.0", "id": 1, "method": "session.status",
                    "params": {"session": "none"}});
                self.flood(&frame(&call.to_string()))
            }
            Kind::Closes => {
                let call = json!({"jsonrpc": "2.0", "id": 1, "method": "session.close",
                    "params": {"session": "none"}});
                self.flood(&frame(&call.to_string()))
            }
            Kind::Opens => {
                self.calls += 1;
                let id = self.calls;
                let open = json!({"jsonrpc": "2.0", "id": id, "method": "session.open",
                    "params": open_params(plan, &format!("besieger-{}-{id}", self.number))});
                let cancel = json!({"jsonrpc": "2.0", "method": "session.cancel", "params": {"open": id}});
                self.flood(&[frame(&open.to_string()), frame(&cancel.to_string())].concat())
            }
        }
    }

    fn listen(&mut self) -> io::Result<()> {
        let Some(socket) = &mut self.socket else { return Ok(()) };
        let mut part = [0; 4096];
        loop {
            match socket.read(&mut part) {
                Ok(0) => return Err(ErrorKind::ConnectionReset.into()),
                Ok(count) => self.inside |= part[..count].starts_with(b"HTTP/1.1 101"),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::NotConnected => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let Some(socket) = &mut self.socket else { return Ok(0) };
        match socket.write(bytes) {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => Ok(0),
            done => done,
        }
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.write(bytes)?;
        self.rest = bytes[written..].to_vec();
        Ok(())
    }

    fn once(&mut self, bytes: &[u8]) -> io::Result<()> {
        if std::mem::replace(&mut self.begun, true) {
            return Ok(());
        }
        self.send(bytes)
    }

    fn flood(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.begun = true;
        self.send(&bytes.repeat(FLOOD))
    }
}

fn connect(source: IpAddr, front: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(front), Type::STREAM, Some(Protocol::TCP))?;
    if front.is_ipv4() && source != front.ip() {
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    socket.set_nonblocking(true)?;
    match socket.connect(&front.into()) {
        // Under way: writes and reads tell when it stands.
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(socket.into()),
    }
}

fn handshake(front: SocketAddr) -> String {
    format!(
        "GET / HTTP/1.1\r\nHost: {front}\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
         Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: c2llZ2Ugb2YgYSBmcm9udA==\r\n\
         Sec-WebSocket-Protocol: session.v1.salttally\r\n\r\n"
    )
}

/// A text frame, masked with zeros (RFC 6455 section 5.3 asks for a mask, and no peer can tell that it is this).
pub fn frame(text: &str) -> Vec<u8> {
    frame_of(0x81, text.as_bytes())
}

/// A frame with this first byte, masked with zeros.
pub fn frame_of(first: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![first];
    match u16::try_from(payload.len()) {
        Ok(short @ 0..=125) => bytes.push(0x80 | short as u8),
        Ok(long) => {
            bytes.push(0x80 | 126);
            bytes.extend(long.to_be_bytes());
        }
        Err(_) => {
            bytes.push(0x80 | 127);
            bytes.extend((payload.len() as u64).to_be_bytes());
        }
    }
    bytes.extend([0; 4]);
    bytes.extend(payload);
    bytes
}
