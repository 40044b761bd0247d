//! Abusive clients against one front. Up to some thousand attacking connections run while regular viewers open
//! sessions and watchers keep theirs open; the report states what the viewers and watchers experienced.
//!
//! Loopback only. A few threads serve many nonblocking sockets each, so that the attack costs the machine less than
//! the front under test.

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

use crate::players::{PlayerConnection, ReceiveError};

/// Threads that drive the attacking connections.
const ATTACKER_THREADS: usize = 4;
/// Shortest duration of one pass over the sockets of a thread.
const MIN_PASS_TIME: Duration = Duration::from_millis(20);
/// Mean delay before an attacker that was disconnected connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Messages that a flooding attacker writes to its socket in one pass.
const MESSAGES_PER_PASS: usize = 16;
/// Time within which each watcher has to open its session before the attack.
const WATCHER_OPEN_LIMIT: Duration = Duration::from_secs(20);
/// Patience of a regular viewer, ms.
const PATIENCE_MS: u64 = 3_000;

/// What an attacker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttackKind {
    /// Nothing: no attacker connects. The baseline for comparison.
    Baseline,
    /// Sends one byte of the handshake each second.
    SlowHandshake,
    /// Sends the header of a message and three bytes of its payload, then nothing.
    HalfMessage,
    /// Completes the handshake, then sends nothing.
    Idle,
    /// Connects and disconnects repeatedly.
    Churn,
    /// Sends cheap calls continuously.
    Calls,
    /// Opens sessions and cancels them at once, continuously.
    Opens,
    /// Closes sessions that never existed, continuously.
    Closes,
    /// Sends pings continuously.
    Pings,
    /// Sends calls and never reads the answers.
    Deaf,
    /// Opens a session, then neither reads nor writes.
    Vanish,
}

impl AttackKind {
    /// All kinds, the baseline first.
    pub const ALL: [AttackKind; 11] = [
        AttackKind::Baseline,
        AttackKind::SlowHandshake,
        AttackKind::HalfMessage,
        AttackKind::Idle,
        AttackKind::Churn,
        AttackKind::Calls,
        AttackKind::Opens,
        AttackKind::Closes,
        AttackKind::Pings,
        AttackKind::Deaf,
        AttackKind::Vanish,
    ];

    /// The name in scripts and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            AttackKind::Baseline => "nobody",
            AttackKind::SlowHandshake => "slow-handshake",
            AttackKind::HalfMessage => "half-message",
            AttackKind::Idle => "idle",
            AttackKind::Churn => "churn",
            AttackKind::Calls => "calls",
            AttackKind::Opens => "opens",
            AttackKind::Closes => "closes",
            AttackKind::Pings => "pings",
            AttackKind::Deaf => "deaf",
            AttackKind::Vanish => "vanish",
        }
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<AttackKind> {
        AttackKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Settings of an attack.
#[derive(Clone, Debug)]
pub struct AttackPlan {
    /// What the attackers do; the kinds are distributed evenly over them.
    pub kinds: Vec<AttackKind>,
    /// Address of the front.
    pub front: SocketAddr,
    /// Number of concurrent attackers.
    pub peers: usize,
    /// Number of source addresses of 127.0.0.0/8 that the attackers use.
    pub sources: u32,
    /// Duration of the measurement.
    pub duration: Duration,
    /// Time from the start of the attackers to that of the first regular viewer.
    pub lead_time: Duration,
    /// Number of concurrent regular viewers; each opens one session after another.
    pub viewers: usize,
    /// Number of viewers that watch one session from before the attack to its end.
    pub watchers: usize,
    /// Title that viewers and watchers request.
    pub title: String,
    /// Class of their sessions.
    pub class: String,
    /// Seed of the random draws.
    pub seed: u64,
}

/// Result of an attack.
#[derive(Clone, Debug)]
pub struct AttackReport {
    /// Attackers that were connected at the end.
    pub connected_at_end: usize,
    /// Number of times that an attacker was disconnected or refused.
    pub disconnects: u64,
    /// Sessions that regular viewers requested.
    pub requested: u64,
    /// Sessions of regular viewers that played.
    pub served: u64,
    /// Time to the answer to `session.open`, us.
    pub answer_us: Histogram<u64>,
    /// Time to the end of the WebSocket handshake, us.
    pub handshake_us: Histogram<u64>,
    /// Number of watchers.
    pub watchers: usize,
    /// Watchers whose session and connection lasted to the end.
    pub unharmed: usize,
    /// Why regular viewers were not served; the first five reasons.
    pub failures: Vec<String>,
}

impl AttackReport {
    /// Share of the requested sessions that were served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.requested.max(1) as f64
    }

    /// The report as JSON.
    pub fn to_json(&self) -> Value {
        let at = |times: &Histogram<u64>, part: f64| times.value_at_quantile(part);
        json!({
            "stood": self.connected_at_end, "cut": self.disconnects, "asked": self.requested, "served": self.served,
            "answer_p50_us": at(&self.answer_us, 0.5), "answer_p99_us": at(&self.answer_us, 0.99),
            "handshake_p99_us": at(&self.handshake_us, 0.99),
            "watchers": self.watchers, "unharmed": self.unharmed, "why": self.failures
        })
    }
}

struct RunState {
    plan: AttackPlan,
    stop: AtomicBool,
    measurements: Mutex<Measurements>,
}

struct Measurements {
    requested: u64,
    served: u64,
    answer_us: Histogram<u64>,
    handshake_us: Histogram<u64>,
    failures: Vec<String>,
}

/// The threads of a running attack.
#[derive(Debug)]
pub struct Attackers {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(usize, u64)>>,
}

impl Attackers {
    /// Starts the attackers of the plan against its front.
    pub fn start(plan: &AttackPlan) -> Attackers {
        let stop = Arc::new(AtomicBool::new(false));
        let spawn = |thread| {
            let (plan, stop) = (plan.clone(), Arc::clone(&stop));
            thread::spawn(move || run_attackers(&plan, thread, &stop))
        };
        let threads = (0..ATTACKER_THREADS).map(spawn).collect();
        Attackers { stop, threads }
    }

    /// Stops the attackers. Returns the number of open connections, and how often one was disconnected or refused.
    pub fn stop(self) -> (usize, u64) {
        self.stop.store(true, Ordering::Release);
        let ended = self.threads.into_iter().map(|thread| thread.join().unwrap_or_default());
        ended.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

/// Runs an attack and measures what regular viewers experience meanwhile.
///
/// # Errors
/// The front is not on loopback, or the watchers cannot open their sessions before the attack.
pub fn run_attack(plan: AttackPlan) -> io::Result<AttackReport> {
    if !plan.front.ip().is_loopback() {
        return Err(io::Error::new(
            ErrorKind::InvalidInput,
            "attacks are allowed on loopback addresses only",
        ));
    }
    let new_histogram = || Histogram::new(3).map_err(io::Error::other);
    let measurements = Measurements {
        requested: 0,
        served: 0,
        answer_us: new_histogram()?,
        handshake_us: new_histogram()?,
        failures: Vec::new(),
    };
    // A front that was attacked shortly before may still refuse sessions.
    let give_up_at = Instant::now() + WATCHER_OPEN_LIMIT;
    let open = |number| loop {
        match Watcher::open(&plan, number) {
            Err(_) if Instant::now() < give_up_at => thread::sleep(Duration::from_millis(500)),
            done => return done,
        }
    };
    let mut watchers = (0..plan.watchers).map(open).collect::<io::Result<Vec<Watcher>>>()?;
    let state =
        Arc::new(RunState { plan, stop: AtomicBool::new(false), measurements: Mutex::new(measurements) });
    let plan = &state.plan;
    let attackers = Attackers::start(plan);
    let mut threads = Vec::new();
    thread::sleep(plan.lead_time);
    for number in 0..plan.viewers {
        let state = Arc::clone(&state);
        let run = move || run_viewer(&state, number);
        threads.push(thread::Builder::new().stack_size(256 * 1024).spawn(run)?);
    }
    let until = Instant::now() + plan.duration;
    while Instant::now() < until {
        // Watchers keep reading, as players do, so that pings are answered.
        watchers.iter_mut().for_each(Watcher::read);
        thread::sleep(Duration::from_millis(50));
    }
    state.stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    let (connected_at_end, disconnects) = attackers.stop();
    let unharmed = watchers.iter_mut().filter_map(|watcher| watcher.end().then_some(())).count();
    let measurements = state.measurements.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(AttackReport {
        connected_at_end,
        disconnects,
        requested: measurements.requested,
        served: measurements.served,
        answer_us: measurements.answer_us.clone(),
        handshake_us: measurements.handshake_us.clone(),
        watchers: watchers.len(),
        unharmed,
        failures: measurements.failures.clone(),
    })
}

// ---- Regular viewers ----

fn open_params(plan: &AttackPlan, viewer: &str) -> Value {
    json!({
        "viewer": viewer, "title": plan.title, "class": plan.class, "top_rung": 0, "patience_ms": PATIENCE_MS
    })
}

fn to_io_error(error: ReceiveError) -> io::Error {
    match error {
        ReceiveError::TimedOut => io::Error::new(ErrorKind::TimedOut, "no answer"),
        ReceiveError::Closed(reason) => io::Error::new(ErrorKind::ConnectionAborted, reason),
    }
}

struct Watcher {
    connection: PlayerConnection,
    session: String,
    disturbed: bool,
}

impl Watcher {
    fn open(plan: &AttackPlan, number: usize) -> io::Result<Watcher> {
        let mut connection = PlayerConnection::connect(plan.front, Duration::from_secs(5))?;
        let params = open_params(plan, &format!("watcher-{number}"));
        let id = connection.call("session.open", &params).map_err(to_io_error)?;
        let until = Instant::now() + Duration::from_millis(PATIENCE_MS + 500);
        let answer = connection.response(id, until, &mut Vec::new()).map_err(to_io_error)?;
        let session = answer["result"]["session"].as_str();
        let session = session
            .ok_or_else(|| io::Error::other(format!("the front did not serve a watcher: {answer}")))?;
        Ok(Watcher { connection, session: session.to_owned(), disturbed: false })
    }

    fn read(&mut self) {
        match self.connection.next(Instant::now() + Duration::from_millis(1)) {
            Err(ReceiveError::TimedOut) => {}
            Err(ReceiveError::Closed(_)) => self.disturbed = true,
            Ok(message) => self.disturbed |= message["method"] == "session.ended",
        }
    }

    fn end(&mut self) -> bool {
        let mut closed = || -> Result<bool, ReceiveError> {
            let id = self.connection.call("session.close", &json!({"session": self.session}))?;
            let until = Instant::now() + Duration::from_secs(5);
            let answer = self.connection.response(id, until, &mut Vec::new())?;
            Ok(answer["result"]["state"] == "closed")
        };
        closed().unwrap_or(false) && !self.disturbed
    }
}

/// Opens one session after another until the attack ends.
fn run_viewer(state: &RunState, number: usize) {
    let plan = &state.plan;
    let mut round = 0;
    while !state.stop.load(Ordering::Acquire) {
        round += 1;
        let outcome = open_and_close(plan, &format!("viewer-{number}-{round}"));
        let mut measurements = state.measurements.lock().unwrap_or_else(PoisonError::into_inner);
        measurements.requested += 1;
        match outcome {
            Ok((handshake, answer)) => {
                measurements.served += 1;
                let us = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                let _ = measurements.handshake_us.record(us(handshake));
                let _ = measurements.answer_us.record(us(answer));
            }
            Err(error) => {
                if measurements.failures.len() < 5 {
                    measurements.failures.push(error.to_string());
                }
            }
        }
        drop(measurements);
        thread::sleep(Duration::from_millis(100));
    }
}

fn open_and_close(plan: &AttackPlan, viewer: &str) -> io::Result<(Duration, Duration)> {
    let started = Instant::now();
    let mut connection = PlayerConnection::connect(plan.front, Duration::from_millis(PATIENCE_MS))?;
    let handshake = started.elapsed();
    let asked = Instant::now();
    let id = connection.call("session.open", &open_params(plan, viewer)).map_err(to_io_error)?;
    let until = asked + Duration::from_millis(PATIENCE_MS + 500);
    let answer = connection.response(id, until, &mut Vec::new()).map_err(to_io_error)?;
    let answered = asked.elapsed();
    let session = answer["result"]["session"].as_str().ok_or_else(|| io::Error::other(answer.to_string()))?;
    let id = connection.call("session.close", &json!({"session": session})).map_err(to_io_error)?;
    connection.response(id, Instant::now() + Duration::from_secs(3), &mut Vec::new()).map_err(to_io_error)?;
    Ok((handshake, answered))
}

// ---- Attackers ----

struct Attacker {
    number: usize,
    kind: AttackKind,
    source: IpAddr,
    socket: Option<TcpStream>,
    /// Bytes of the handshake that are written.
    handshake_sent: usize,
    upgraded: bool,
    started: bool,
    next_action: Instant,
    /// Bytes that the socket has not accepted yet. They are sent first: the front would close a connection that
    /// breaks a frame off.
    unsent: Vec<u8>,
    calls_sent: u64,
}

fn run_attackers(plan: &AttackPlan, thread: usize, stop: &AtomicBool) -> (usize, u64) {
    let mut disconnects = 0;
    let mut rng = Pcg32::seed_from_u64(plan.seed.wrapping_add(thread as u64));
    let mut peers = Vec::new();
    for number in (thread..plan.peers).step_by(ATTACKER_THREADS) {
        let kind = plan.kinds[number / ATTACKER_THREADS % plan.kinds.len()];
        if kind == AttackKind::Baseline {
            continue;
        }
        let source = number as u32 % plan.sources.max(1);
        let source = IpAddr::V4(Ipv4Addr::new(127, 1, (source >> 8) as u8, source as u8 | 1));
        let next_action = Instant::now() + Duration::from_micros(u64::from(rng.next_u32() % 1_000_000));
        let source = if plan.sources > 1 { source } else { IpAddr::V4(Ipv4Addr::LOCALHOST) };
        let (socket, unsent) = (None, Vec::new());
        peers.push(Attacker {
            number,
            kind,
            source,
            socket,
            handshake_sent: 0,
            upgraded: false,
            started: false,
            next_action,
            unsent,
            calls_sent: 0,
        });
    }
    while !stop.load(Ordering::Acquire) {
        let started = Instant::now();
        for peer in &mut peers {
            let now = Instant::now();
            if peer.step(plan, now).is_err() {
                disconnects += 1;
                let delay = RECONNECT_DELAY.mul_f64(0.5 + f64::from(rng.next_u32()) / f64::from(u32::MAX));
                peer.disconnect(now + delay);
            }
        }
        thread::sleep(MIN_PASS_TIME.saturating_sub(started.elapsed()));
    }
    (peers.iter().filter(|peer| peer.socket.is_some()).count(), disconnects)
}

impl Attacker {
    fn disconnect(&mut self, next: Instant) {
        (self.socket, self.handshake_sent, self.upgraded, self.started, self.next_action) =
            (None, 0, false, false, next);
        self.unsent.clear();
    }

    fn step(&mut self, plan: &AttackPlan, now: Instant) -> io::Result<()> {
        if self.socket.is_none() {
            if now < self.next_action {
                return Ok(());
            }
            self.socket = Some(connect(self.source, plan.front)?);
            self.next_action = now;
        }
        // These two kinds stop reading after the handshake and their first message.
        let stops_reading = self.started && matches!(self.kind, AttackKind::Deaf | AttackKind::Vanish);
        if !stops_reading {
            self.read_available()?;
        }
        let handshake = handshake(plan.front);
        if self.handshake_sent < handshake.len() {
            if now < self.next_action {
                return Ok(());
            }
            let slow = self.kind == AttackKind::SlowHandshake;
            let end = if slow { self.handshake_sent + 1 } else { handshake.len() };
            self.handshake_sent += self.write(&handshake.as_bytes()[self.handshake_sent..end])?;
            if slow {
                self.next_action = now + Duration::from_secs(1);
            }
            return Ok(());
        }
        if !self.upgraded {
            return Ok(());
        }
        if !self.unsent.is_empty() {
            let unsent = std::mem::take(&mut self.unsent);
            return self.send(&unsent);
        }
        match self.kind {
            AttackKind::Baseline | AttackKind::SlowHandshake | AttackKind::Idle => Ok(()),
            AttackKind::Churn => Err(ErrorKind::ConnectionReset.into()),
            AttackKind::HalfMessage => {
                self.send_once(&[0x81, 0x80 | 126, 0x10, 0, 0, 0, 0, 0, b'{', b'"', b'a'])
            }
            AttackKind::Pings => self.flood(&[0x89, 0x80, 0, 0, 0, 0]),
            AttackKind::Vanish => {
                let open = json!({"jsonrpc": "2.0", "id": 1, "method": "session.open",
                    "params": open_params(plan, &format!("vanished-{}", self.number))});
                self.send_once(&frame(&open.to_string()))
            }
            AttackKind::Calls | AttackKind::Deaf => {
                let call = json!({"jsonrpc": "2.0", "id": 1, "method": "session.status",
                    "params": {"session": "none"}});
                self.flood(&frame(&call.to_string()))
            }
            AttackKind::Closes => {
                let call = json!({"jsonrpc": "2.0", "id": 1, "method": "session.close",
                    "params": {"session": "none"}});
                self.flood(&frame(&call.to_string()))
            }
            AttackKind::Opens => {
                self.calls_sent += 1;
                let id = self.calls_sent;
                let open = json!({"jsonrpc": "2.0", "id": id, "method": "session.open",
                    "params": open_params(plan, &format!("besieger-{}-{id}", self.number))});
                let cancel = json!({"jsonrpc": "2.0", "method": "session.cancel", "params": {"open": id}});
                self.flood(&[frame(&open.to_string()), frame(&cancel.to_string())].concat())
            }
        }
    }

    fn read_available(&mut self) -> io::Result<()> {
        let Some(socket) = &mut self.socket else { return Ok(()) };
        let mut chunk = [0; 4096];
        loop {
            match socket.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::ConnectionReset.into()),
                Ok(count) => self.upgraded |= chunk[..count].starts_with(b"HTTP/1.1 101"),
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
        self.unsent = bytes[written..].to_vec();
        Ok(())
    }

    fn send_once(&mut self, bytes: &[u8]) -> io::Result<()> {
        if std::mem::replace(&mut self.started, true) {
            return Ok(());
        }
        self.send(bytes)
    }

    fn flood(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.started = true;
        self.send(&bytes.repeat(MESSAGES_PER_PASS))
    }
}

fn connect(source: IpAddr, front: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(front), Type::STREAM, Some(Protocol::TCP))?;
    if front.is_ipv4() && source != front.ip() {
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    socket.set_nonblocking(true)?;
    match socket.connect(&front.into()) {
        // In progress: later reads and writes show when the connection is established.
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

/// A text frame with an all-zero mask. RFC 6455 section 5.3 requires a mask; peers cannot tell which one was chosen.
pub fn frame(text: &str) -> Vec<u8> {
    frame_of(0x81, text.as_bytes())
}

/// A frame with this first byte and an all-zero mask.
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
