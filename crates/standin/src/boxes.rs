//! Media boxes on sockets: the box API of `docs/box-api.md`, and the faults of boxes.

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally_judge::record::{Event, SetUpEnd};
use serde_json::{json, Value};

use crate::fleet::{BoxModel, BoxSession, BoxSpec, BoxState, Fleet, Liveness, SetUpOutcome};
use crate::http::{self, Request};
use crate::log::Log;

/// Stack size of a thread that serves one connection.
const CONNECTION_STACK_BYTES: usize = 96 * 1024;
/// Interval of the comments that keep an idle event stream alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which the utilization of links is checked, us.
const LINK_CHECK_INTERVAL_US: u64 = 50_000;

/// Key of a session at a box: session id and attempt number.
pub type SessionKey = (String, u32);

/// How often and how late boxes send link notes to fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoteSettings {
    /// Interval of the notes about a link, us; 0 disables them.
    pub interval: u64,
    /// Delay between an observation and the note about it, us.
    pub age: u64,
    /// Probability per second that a viewer leaves who receives less than three quarters of the rate.
    pub leave_probability: f64,
}

/// All boxes and their sockets; clones share state.
#[derive(Clone, Debug)]
pub struct Boxes(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    log: Log,
    fleet: Mutex<Fleet>,
    listeners: Mutex<BTreeMap<u32, BoxListener>>,
    pending: Mutex<BTreeMap<(u32, SessionKey), ()>>,
    streams: Mutex<BTreeMap<(u32, String), Sender<String>>>,
    zones: BTreeMap<String, u32>,
    cut_zone: Mutex<Option<u32>>,
    report_delay: AtomicU64,
    rng: Mutex<Pcg32>,
    notes: NoteSettings,
    stopped: AtomicBool,
}

/// Listening address of a box and its open connections.
#[derive(Debug)]
struct BoxListener {
    address: SocketAddr,
    accepting: Arc<AtomicBool>,
    connections: Vec<TcpStream>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Boxes {
    /// Creates an empty fleet. `zones` maps each front to its zone.
    pub fn new(
        log: Log,
        model: BoxModel,
        uplinks: Vec<f64>,
        zones: BTreeMap<String, u32>,
        notes: NoteSettings,
        seed: u64,
    ) -> Boxes {
        Boxes(Arc::new(Inner {
            log,
            fleet: Mutex::new(Fleet { boxes: BTreeMap::new(), uplinks, model }),
            listeners: Mutex::default(),
            pending: Mutex::default(),
            streams: Mutex::default(),
            zones,
            cut_zone: Mutex::default(),
            report_delay: AtomicU64::new(0),
            rng: Mutex::new(Pcg32::seed_from_u64(seed)),
            notes,
            stopped: AtomicBool::new(false),
        }))
    }

    /// Adds a box and starts listening.
    pub fn add(&self, spec: BoxSpec, address: SocketAddr, cold: bool) -> io::Result<()> {
        let (id, now) = (spec.id, self.0.log.now());
        lock(&self.0.fleet).boxes.insert(id, BoxState::new(spec, cold.then_some(now)));
        self.listen(id, address)?;
        self.0.log.write(Event::BoxStarted { server: id, cold });
        Ok(())
    }

    fn listen(&self, id: u32, address: SocketAddr) -> io::Result<()> {
        let socket = TcpListener::bind(address)?;
        let accepting = Arc::new(AtomicBool::new(true));
        let listener = BoxListener {
            address: socket.local_addr()?,
            accepting: Arc::clone(&accepting),
            connections: Vec::new(),
        };
        lock(&self.0.listeners).insert(id, listener);
        let boxes = self.clone();
        let accept = move || {
            for stream in socket.incoming() {
                if !accepting.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let Ok(other) = stream.try_clone() else { continue };
                match lock(&boxes.0.listeners).get_mut(&id) {
                    Some(listener) => {
                        // Periodically drops the handles of connections that have ended.
                        if listener.connections.len() % 64 == 63 {
                            listener.connections.retain(|conn| conn.peer_addr().is_ok());
                        }
                        listener.connections.push(other);
                    }
                    None => return,
                }
                let boxes = boxes.clone();
                let serve = move || boxes.serve(id, stream);
                let _ = thread::Builder::new()
                    .name("standin".into())
                    .stack_size(CONNECTION_STACK_BYTES)
                    .spawn(serve);
            }
        };
        thread::Builder::new().name("door".into()).stack_size(CONNECTION_STACK_BYTES).spawn(accept)?;
        Ok(())
    }

    /// Listening address of a box.
    pub fn address(&self, id: u32) -> Option<SocketAddr> {
        lock(&self.0.listeners).get(&id).map(|listener| listener.address)
    }

    /// State of the fleet.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.0.fleet)
    }

    // ---- Faults ----

    /// Ends the process of a box: its connections are closed, new ones refused, its sessions lost.
    pub fn kill(&self, id: u32) {
        self.end_sessions(id, Liveness::Dead);
        let listener = lock(&self.0.listeners).remove(&id);
        let Some(listener) = listener else { return };
        listener.accepting.store(false, Ordering::Release);
        for conn in &listener.connections {
            let _ = conn.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect_timeout(&listener.address, Duration::from_millis(200));
    }

    /// Makes a box unresponsive: it neither answers nor resets connections, and its sessions receive nothing.
    pub fn silence(&self, id: u32) {
        self.end_sessions(id, Liveness::Silent);
    }

    fn end_sessions(&self, id: u32, liveness: Liveness) {
        let mut fleet = lock(&self.0.fleet);
        let lost = fleet.crash(id);
        if let Some(state) = fleet.boxes.get_mut(&id) {
            state.liveness = liveness;
        }
        self.0.log.write(Event::BoxDied { server: id });
        for ((session, attempt), box_session) in lost {
            if box_session.is_playing {
                self.0.log.write(Event::Ended { server: id, session, attempt });
            }
        }
        if liveness == Liveness::Dead {
            let mut pending = lock(&self.0.pending);
            let lost_set_ups: Vec<SessionKey> =
                pending.keys().filter(|(server, _)| *server == id).map(|(_, key)| key.clone()).collect();
            for key in lost_set_ups {
                pending.remove(&(id, key.clone()));
                let (session, attempt) = key;
                let end = SetUpEnd::Reset;
                self.0.log.write(Event::SetUpEnded { server: id, session, attempt, end });
            }
        }
    }

    /// Restarts the process of a box at its previous address, cold. A running box is killed first.
    pub fn restart(&self, id: u32, address: SocketAddr) -> io::Result<()> {
        self.kill(id);
        let now = self.0.log.now();
        lock(&self.0.fleet).restart(id, now);
        // The accepting thread drops the old listener shortly after it is woken.
        let until = Instant::now() + Duration::from_secs(2);
        while let Err(error) = self.listen(id, address) {
            if Instant::now() > until {
                return Err(error);
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.0.log.write(Event::BoxStarted { server: id, cold: true });
        Ok(())
    }

    /// Cuts one zone off from the others; `None` ends the cut.
    pub fn cut_zone(&self, zone: Option<u32>) {
        *lock(&self.0.cut_zone) = zone;
    }

    /// Lengthens the interval of load reports by this, us.
    pub fn delay_reports(&self, delay: u64) {
        self.0.report_delay.store(delay, Ordering::Relaxed);
    }

    /// Stops all boxes.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::Release);
        let all: Vec<u32> = lock(&self.0.listeners).keys().copied().collect();
        for id in all {
            let listener = lock(&self.0.listeners).remove(&id);
            let Some(listener) = listener else { continue };
            listener.accepting.store(false, Ordering::Release);
            listener.connections.iter().for_each(|conn| drop(conn.shutdown(Shutdown::Both)));
            let _ = TcpStream::connect_timeout(&listener.address, Duration::from_millis(200));
        }
    }

    // ---- Serving ----

    fn is_unreachable(&self, id: u32, front: &str) -> bool {
        let cut = *lock(&self.0.cut_zone);
        let fleet = lock(&self.0.fleet);
        let Some(state) = fleet.boxes.get(&id) else { return true };
        let zone = self.0.zones.get(front).copied().unwrap_or(state.spec.zone);
        let cut = cut.is_some_and(|cut| zone != state.spec.zone && (zone == cut || state.spec.zone == cut));
        state.liveness != Liveness::Up || cut
    }

    fn serve(&self, id: u32, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            let _ = stream.set_read_timeout(None);
            let request = match http::read(&mut stream, &mut buffer) {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    let _ =
                        http::write(&mut stream, &http::response(400, &json!({"error": error.to_string()})));
                    return;
                }
                Err(_) => return,
            };
            if request.method == "GET" && request.path == "/events" {
                return self.serve_events(id, &request.front, &mut stream);
            }
            if !self.serve_request(id, &request, &mut stream) {
                return;
            }
        }
    }

    /// Serves one request; returns whether the connection stays open.
    fn serve_request(&self, id: u32, request: &Request, stream: &mut TcpStream) -> bool {
        let parts: Vec<&str> = request.path.split('/').filter(|part| !part.is_empty()).collect();
        if request.method == "POST" && parts == ["sessions"] {
            return self.set_up(id, request, stream);
        }
        // No answer while the box is unreachable; the front may close the connection meanwhile.
        while self.is_unreachable(id, &request.front) {
            if closed_within(stream, Duration::from_millis(20)) {
                return false;
            }
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let (status, mut answer) = match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["load"]) => (200, json!({})),
            ("PUT", ["lives", incarnation]) => {
                let epoch = body["epoch"].as_u64().unwrap_or(0);
                match lock(&self.0.fleet).claim_incarnation(id, incarnation, epoch, &request.front) {
                    Some(sessions) => (200, sessions),
                    None => (409, json!({"error": "a later epoch has it"})),
                }
            }
            (_, ["sessions", session, ..])
                if lock(&self.0.fleet).is_superseded(id, session, request.epoch) =>
            {
                (409, json!({"error": "a later epoch has it"}))
            }
            ("PUT", ["sessions", session, attempt, "rung"]) => {
                let key = (session.to_string(), attempt.parse().unwrap_or(u32::MAX));
                let rung = body["rung"].as_u64().unwrap_or(0) as usize;
                let rate_kb = body["rate_kb"].as_f64().unwrap_or(0.0);
                let found = lock(&self.0.fleet).set_rung(id, &key, rung, rate_kb);
                if found {
                    self.0.log.write(Event::RungSet { server: id, session: key.0, rung });
                }
                (if found { 200 } else { 404 }, json!({}))
            }
            ("DELETE", ["sessions", session, attempt]) => {
                let key = (session.to_string(), attempt.parse().unwrap_or(u32::MAX));
                let now = self.0.log.now();
                let box_session = lock(&self.0.fleet).release(id, &key, now);
                if box_session.as_ref().is_some_and(|box_session| box_session.is_playing) {
                    self.0.log.write(Event::Ended { server: id, session: key.0, attempt: key.1 });
                }
                (if box_session.is_some() { 200 } else { 404 }, json!({}))
            }
            _ => (404, json!({"error": "no such resource"})),
        };
        answer["load"] = self.load_report(id);
        http::write(stream, &http::response(status, &answer)).is_ok()
    }

    fn load_report(&self, id: u32) -> Value {
        let (now, delay) = (self.0.log.now(), self.0.report_delay.load(Ordering::Relaxed));
        lock(&self.0.fleet).load_report(id, now, delay)
    }

    fn set_up(&self, id: u32, request: &Request, stream: &mut TcpStream) -> bool {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let text = |key: &str| body[key].as_str().unwrap_or("").to_owned();
        let key = (text("session"), body["attempt"].as_u64().unwrap_or(0) as u32);
        let rung = body["rung"].as_u64().unwrap_or(0) as usize;
        lock(&self.0.pending).insert((id, key.clone()), ());
        self.0.log.write(Event::SetUpRead {
            server: id,
            front: request.front.clone(),
            session: key.0.clone(),
            attempt: key.1,
            class: text("class"),
            title: text("title"),
            rung,
        });
        if lock(&self.0.fleet).is_superseded(id, &key.0, request.epoch) {
            self.record_set_up_end(id, &key, SetUpEnd::Full);
            let answer = json!({"session": key.0, "attempt": key.1, "error": "a later epoch has it"});
            return http::write(stream, &http::response(409, &answer)).is_ok();
        }
        while self.is_unreachable(id, &request.front) {
            if closed_within(stream, Duration::from_millis(5)) {
                self.record_set_up_end(id, &key, SetUpEnd::Closed);
                return false;
            }
        }
        let box_session = BoxSession {
            front: request.front.clone(),
            rung,
            rate_kb: body["rate_kb"].as_f64().unwrap_or(0.0),
            context: body["context"].clone(),
            is_playing: false,
        };
        let failure_draw = f64::from(lock(&self.0.rng).next_u32()) / f64::from(u32::MAX);
        let now = self.0.log.now();
        let outcome = lock(&self.0.fleet).set_up(id, &key, box_session, now, failure_draw);
        let (status, error, end) = match outcome {
            SetUpOutcome::Accepted(duration) => match self.finish_set_up(id, &key, duration, stream) {
                BeginOutcome::Plays => (201, "", SetUpEnd::Began),
                BeginOutcome::Released => (500, "released", SetUpEnd::Error),
                BeginOutcome::Closed => return false,
            },
            SetUpOutcome::Full => (503, "full", SetUpEnd::Full),
            SetUpOutcome::Draining => (503, "draining", SetUpEnd::Full),
            SetUpOutcome::AlreadyReleased => (503, "released", SetUpEnd::Full),
            SetUpOutcome::Failed => (500, "failed", SetUpEnd::Error),
            SetUpOutcome::Overloaded => {
                self.0.log.write(Event::BoxFell { server: id });
                self.kill(id);
                return false;
            }
        };
        if end != SetUpEnd::Began {
            self.record_set_up_end(id, &key, end);
        }
        let mut answer = json!({"session": key.0, "attempt": key.1, "load": self.load_report(id)});
        if !error.is_empty() {
            answer["error"] = Value::from(error);
        }
        let written = http::write(stream, &http::response(status, &answer)).is_ok();
        if !written && end == SetUpEnd::Began {
            // The session plays, but the front that requested it has gone.
            let data = json!({"session": key.0, "attempt": key.1, "rung": rung, "context": body["context"]});
            self.send_event(id, &request.front, "began", &data);
        }
        written
    }

    /// Waits until a set-up is done, then starts the session unless the front has closed or released it meanwhile.
    fn finish_set_up(&self, id: u32, key: &SessionKey, duration: u64, stream: &TcpStream) -> BeginOutcome {
        let until = Instant::now() + Duration::from_micros(duration);
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            if closed_within(stream, remaining) {
                // The session does not start if the front has closed the connection.
                let now = self.0.log.now();
                lock(&self.0.fleet).release(id, key, now);
                self.record_set_up_end(id, key, SetUpEnd::Closed);
                return BeginOutcome::Closed;
            }
        }
        let mut fleet = lock(&self.0.fleet);
        if !fleet.finish_set_up(id, key) {
            return BeginOutcome::Released;
        }
        // Under the fleet lock: the death of the box takes the same lock, so it is recorded wholly before or after
        // this.
        self.record_set_up_end(id, key, SetUpEnd::Began);
        BeginOutcome::Plays
    }

    /// Records the end of a set-up, unless it is recorded already.
    fn record_set_up_end(&self, id: u32, key: &SessionKey, end: SetUpEnd) {
        if lock(&self.0.pending).remove(&(id, key.clone())).is_some() {
            let (session, attempt) = key.clone();
            self.0.log.write(Event::SetUpEnded { server: id, session, attempt, end });
        }
    }

    fn serve_events(&self, id: u32, front: &str, stream: &mut TcpStream) {
        while self.is_unreachable(id, front) {
            if closed_within(stream, Duration::from_millis(20)) {
                return;
            }
        }
        let (sender, events): (Sender<String>, Receiver<String>) = crossbeam_channel::unbounded();
        lock(&self.0.streams).insert((id, front.to_owned()), sender);
        let sessions = lock(&self.0.fleet).playing_sessions(id, front);
        let mut bytes = http::EVENT_STREAM_HEAD.to_vec();
        bytes.extend_from_slice(http::server_sent_event("held", &sessions).as_bytes());
        if http::write(stream, &bytes).is_err() {
            return;
        }
        loop {
            let text = match events.recv_timeout(HEARTBEAT_INTERVAL) {
                Ok(text) => text,
                Err(RecvTimeoutError::Timeout) => ":\n\n".to_owned(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut was_unreachable = false;
            while self.is_unreachable(id, front) {
                was_unreachable = true;
                if closed_within(stream, Duration::from_millis(20)) {
                    return;
                }
            }
            // Events that fell due while the front could not be reached are lost.
            let text = if was_unreachable { ":\n\n".to_owned() } else { text };
            if http::write(stream, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn send_event(&self, id: u32, front: &str, name: &str, data: &Value) {
        if let Some(sender) = lock(&self.0.streams).get(&(id, front.to_owned())) {
            let _ = sender.send(http::server_sent_event(name, data));
        }
    }

    // ---- Link monitor ----

    /// Starts a thread that runs until [`Boxes::stop`]. It records changed shares, notifies fronts of short delivery
    /// and of link utilization, and ends sessions of viewers that receive too little.
    pub fn start_link_monitor(&self) -> io::Result<thread::JoinHandle<()>> {
        let boxes = self.clone();
        thread::Builder::new().name("links".into()).stack_size(256 * 1024).spawn(move || {
            let mut pending_notes: Vec<(u64, u32, String, &'static str, Value)> = Vec::new();
            let (mut last_short_report, mut last_link_report) = (0, 0);
            while !boxes.0.stopped.load(Ordering::Acquire) {
                thread::sleep(Duration::from_micros(LINK_CHECK_INTERVAL_US));
                let now = boxes.0.log.now();
                for (server, share) in lock(&boxes.0.fleet).changed_shares(now) {
                    boxes.0.log.write(Event::Share { server, share });
                }
                let notes = boxes.0.notes;
                if now >= last_short_report + 1_000_000 {
                    last_short_report = now;
                    boxes.report_short_delivery(now + notes.age, &mut pending_notes);
                }
                if notes.interval > 0 && now >= last_link_report + notes.interval {
                    last_link_report = now;
                    boxes.report_links(now, now + notes.age, &mut pending_notes);
                }
                let (ready, later) = pending_notes.into_iter().partition(|note| note.0 <= now);
                pending_notes = later;
                for (_, id, front, name, data) in ready {
                    boxes.send_event(id, &front, name, &data);
                }
            }
        })
    }

    fn report_short_delivery(
        &self,
        at: u64,
        pending_notes: &mut Vec<(u64, u32, String, &'static str, Value)>,
    ) {
        let mut departed = Vec::new();
        {
            let mut fleet = lock(&self.0.fleet);
            let now = self.0.log.now();
            let ids: Vec<u32> = fleet.boxes.keys().copied().collect();
            for id in ids {
                let share = fleet.share(id, now);
                if share >= 0.98 {
                    continue;
                }
                for (front, session) in fleet.playing_fronts(id) {
                    pending_notes.push((
                        at,
                        id,
                        front,
                        "delivered",
                        json!({"session": session, "share": share}),
                    ));
                }
                if share >= 0.75 {
                    continue;
                }
                let playing: Vec<SessionKey> = match fleet.boxes.get(&id) {
                    Some(state) => {
                        state.sessions.iter().filter(|(_, p)| p.is_playing).map(|(k, _)| k.clone()).collect()
                    }
                    None => continue,
                };
                for key in playing {
                    let leave_draw = f64::from(lock(&self.0.rng).next_u32()) / f64::from(u32::MAX);
                    if leave_draw < self.0.notes.leave_probability {
                        if let Some(box_session) = fleet.release(id, &key, now) {
                            let (session, attempt) = key.clone();
                            self.0.log.write(Event::Ended { server: id, session, attempt });
                            departed.push((id, key, box_session.front));
                        }
                    }
                }
            }
        }
        for (id, (session, attempt), front) in departed {
            self.send_event(id, &front, "ended", &json!({"session": session, "attempt": attempt}));
        }
    }

    fn report_links(
        &self,
        now: u64,
        at: u64,
        pending_notes: &mut Vec<(u64, u32, String, &'static str, Value)>,
    ) {
        let fleet = lock(&self.0.fleet);
        for id in fleet.boxes.keys() {
            let (link, uplink) = fleet.utilization(*id, now);
            for (front, session) in fleet.playing_fronts(*id) {
                let data = json!({"session": session, "link": link, "uplink": uplink});
                pending_notes.push((at, *id, front, "link", data));
            }
        }
    }
}

enum BeginOutcome {
    Plays,
    Released,
    Closed,
}

/// Waits until the peer closes or the time is over; returns whether the peer has closed.
fn closed_within(stream: &TcpStream, within: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(within.max(Duration::from_micros(100))));
    let mut byte = [0];
    match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => {
            // The next request has arrived already; it is read after the current one.
            thread::sleep(within);
            false
        }
        Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
    }
}
