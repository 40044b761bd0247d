//! Media boxes on sockets: the box API of `docs/box-api.md`, and the ways in which boxes fail.

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

use crate::fleet::{BoxState, Build, Fleet, Life, Nature, Play, Taken};
use crate::http::{self, Request};
use crate::log::Log;

/// Stack of a thread that serves one connection.
const STACK: usize = 96 * 1024;
/// Pause between two signs of life on an event stream.
const BEAT: Duration = Duration::from_millis(400);
/// How often links are looked at.
const TICK: u64 = 50_000;

/// Key of a session at a box: its id and the attempt.
pub type Key = (String, u32);

/// How notes are sent to fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notes {
    /// Time between two notes on a link, us; 0 is none.
    pub every: u64,
    /// Age of a note when it is sent, us.
    pub age: u64,
    /// Chance in a second that a viewer leaves who gets under three quarters of the rate.
    pub leaves: f64,
}

/// All boxes and their sockets; cheap to clone.
#[derive(Clone, Debug)]
pub struct Boxes(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    log: Log,
    fleet: Mutex<Fleet>,
    doors: Mutex<BTreeMap<u32, Door>>,
    pending: Mutex<BTreeMap<(u32, Key), ()>>,
    streams: Mutex<BTreeMap<(u32, String), Sender<String>>>,
    zones: BTreeMap<String, u32>,
    cut: Mutex<Option<u32>>,
    late: AtomicU64,
    rng: Mutex<Pcg32>,
    notes: Notes,
    over: AtomicBool,
}

/// Where a box listens, and its open connections.
#[derive(Debug)]
struct Door {
    address: SocketAddr,
    open: Arc<AtomicBool>,
    conns: Vec<TcpStream>,
}

fn hold<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Boxes {
    /// No box yet. `zones` tells the zone of each front.
    pub fn new(
        log: Log,
        nature: Nature,
        uplinks: Vec<f64>,
        zones: BTreeMap<String, u32>,
        notes: Notes,
        seed: u64,
    ) -> Boxes {
        Boxes(Arc::new(Inner {
            log,
            fleet: Mutex::new(Fleet { boxes: BTreeMap::new(), uplinks, nature }),
            doors: Mutex::default(),
            pending: Mutex::default(),
            streams: Mutex::default(),
            zones,
            cut: Mutex::default(),
            late: AtomicU64::new(0),
            rng: Mutex::new(Pcg32::seed_from_u64(seed)),
            notes,
            over: AtomicBool::new(false),
        }))
    }

    /// Adds a box and opens its door.
    pub fn add(&self, build: Build, address: SocketAddr, cold: bool) -> io::Result<()> {
        let (id, now) = (build.id, self.0.log.now());
        hold(&self.0.fleet).boxes.insert(id, BoxState::new(build, cold.then_some(now)));
        self.open(id, address)?;
        self.0.log.write(Event::BoxStarted { server: id, cold });
        Ok(())
    }

    fn open(&self, id: u32, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let open = Arc::new(AtomicBool::new(true));
        let door = Door { address: listener.local_addr()?, open: Arc::clone(&open), conns: Vec::new() };
        hold(&self.0.doors).insert(id, door);
        let boxes = self.clone();
        let accept = move || {
            for stream in listener.incoming() {
                if !open.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let Ok(other) = stream.try_clone() else { continue };
                match hold(&boxes.0.doors).get_mut(&id) {
                    Some(door) => {
                        // Those that have ended are let go of now and then.
                        if door.conns.len() % 64 == 63 {
                            door.conns.retain(|conn| conn.peer_addr().is_ok());
                        }
                        door.conns.push(other);
                    }
                    None => return,
                }
                let boxes = boxes.clone();
                let serve = move || boxes.serve(id, stream);
                let _ = thread::Builder::new().name("standin".into()).stack_size(STACK).spawn(serve);
            }
        };
        thread::Builder::new().name("door".into()).stack_size(STACK).spawn(accept)?;
        Ok(())
    }

    /// Where a box listens.
    pub fn address(&self, id: u32) -> Option<SocketAddr> {
        hold(&self.0.doors).get(&id).map(|door| door.address)
    }

    /// What the boxes hold now.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        hold(&self.0.fleet)
    }

    // ---- Faults ----

    /// The process ends: connections are reset or closed, new ones refused, sessions lost.
    pub fn kill(&self, id: u32) {
        self.end_sessions(id, Life::Dead);
        let door = hold(&self.0.doors).remove(&id);
        let Some(door) = door else { return };
        door.open.store(false, Ordering::Release);
        for conn in &door.conns {
            let _ = conn.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, which drops the listener.
        let _ = TcpStream::connect_timeout(&door.address, Duration::from_millis(200));
    }

    /// The machine goes silent: it neither answers nor resets, and its sessions get nothing.
    pub fn silence(&self, id: u32) {
        self.end_sessions(id, Life::Silent);
    }

    fn end_sessions(&self, id: u32, life: Life) {
        let mut fleet = hold(&self.0.fleet);
        let lost = fleet.die(id);
        if let Some(state) = fleet.boxes.get_mut(&id) {
            state.life = life;
        }
        self.0.log.write(Event::BoxDied { server: id });
        for ((session, attempt), play) in lost {
            if play.begun {
                self.0.log.write(Event::Ended { server: id, session, attempt });
            }
        }
        if life == Life::Dead {
            let mut pending = hold(&self.0.pending);
            let there: Vec<Key> =
                pending.keys().filter(|(server, _)| *server == id).map(|(_, key)| key.clone()).collect();
            for key in there {
                pending.remove(&(id, key.clone()));
                let (session, attempt) = key;
                let end = SetUpEnd::Reset;
                self.0.log.write(Event::SetUpEnded { server: id, session, attempt, end });
            }
        }
    }

    /// The process starts again at its old address, cold. A box that runs is ended first.
    pub fn restart(&self, id: u32, address: SocketAddr) -> io::Result<()> {
        self.kill(id);
        let now = self.0.log.now();
        hold(&self.0.fleet).start(id, now);
        // The old listener is dropped by its own thread, a moment after it was woken.
        let until = Instant::now() + Duration::from_secs(2);
        while let Err(error) = self.open(id, address) {
            if Instant::now() > until {
                return Err(error);
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.0.log.write(Event::BoxStarted { server: id, cold: true });
        Ok(())
    }

    /// Cuts one zone off from the others, or heals the cut.
    pub fn cut(&self, zone: Option<u32>) {
        *hold(&self.0.cut) = zone;
    }

    /// Load reports are made this much less often, us.
    pub fn report_late(&self, late: u64) {
        self.0.late.store(late, Ordering::Relaxed);
    }

    /// Ends everything.
    pub fn stop(&self) {
        self.0.over.store(true, Ordering::Release);
        let all: Vec<u32> = hold(&self.0.doors).keys().copied().collect();
        for id in all {
            let door = hold(&self.0.doors).remove(&id);
            let Some(door) = door else { continue };
            door.open.store(false, Ordering::Release);
            door.conns.iter().for_each(|conn| drop(conn.shutdown(Shutdown::Both)));
            let _ = TcpStream::connect_timeout(&door.address, Duration::from_millis(200));
        }
    }

    // ---- Serving ----

    fn unreachable(&self, id: u32, front: &str) -> bool {
        let cut = *hold(&self.0.cut);
        let fleet = hold(&self.0.fleet);
        let Some(state) = fleet.boxes.get(&id) else { return true };
        let zone = self.0.zones.get(front).copied().unwrap_or(state.build.zone);
        let cut = cut.is_some_and(|cut| zone != state.build.zone && (zone == cut || state.build.zone == cut));
        state.life != Life::Up || cut
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
                return self.events(id, &request.front, &mut stream);
            }
            if !self.one(id, &request, &mut stream) {
                return;
            }
        }
    }

    /// Serves one request; returns whether the connection goes on.
    fn one(&self, id: u32, request: &Request, stream: &mut TcpStream) -> bool {
        let parts: Vec<&str> = request.path.split('/').filter(|part| !part.is_empty()).collect();
        if request.method == "POST" && parts == ["sessions"] {
            return self.set_up(id, request, stream);
        }
        // Held back while nobody answers; the front may close meanwhile.
        while self.unreachable(id, &request.front) {
            if closed_within(stream, Duration::from_millis(20)) {
                return false;
            }
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let (status, mut answer) = match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["load"]) => (200, json!({})),
            ("PUT", ["lives", life]) => {
                let epoch = body["epoch"].as_u64().unwrap_or(0);
                match hold(&self.0.fleet).claim(id, life, epoch, &request.front) {
                    Some(held) => (200, held),
                    None => (409, json!({"error": "a later epoch has it"})),
                }
            }
            (_, ["sessions", session, ..]) if hold(&self.0.fleet).replaced(id, session, request.epoch) => {
                (409, json!({"error": "a later epoch has it"}))
            }
            ("PUT", ["sessions", session, attempt, "rung"]) => {
                let key = (session.to_string(), attempt.parse().unwrap_or(u32::MAX));
                let rung = body["rung"].as_u64().unwrap_or(0) as usize;
                let rate_kb = body["rate_kb"].as_f64().unwrap_or(0.0);
                let found = hold(&self.0.fleet).set_rung(id, &key, rung, rate_kb);
                if found {
                    self.0.log.write(Event::RungSet { server: id, session: key.0, rung });
                }
                (if found { 200 } else { 404 }, json!({}))
            }
            ("DELETE", ["sessions", session, attempt]) => {
                let key = (session.to_string(), attempt.parse().unwrap_or(u32::MAX));
                let now = self.0.log.now();
                let play = hold(&self.0.fleet).release(id, &key, now);
                if play.as_ref().is_some_and(|play| play.begun) {
                    self.0.log.write(Event::Ended { server: id, session: key.0, attempt: key.1 });
                }
                (if play.is_some() { 200 } else { 404 }, json!({}))
            }
            _ => (404, json!({"error": "no such resource"})),
        };
        answer["load"] = self.load(id);
        http::write(stream, &http::response(status, &answer)).is_ok()
    }

    fn load(&self, id: u32) -> Value {
        let (now, late) = (self.0.log.now(), self.0.late.load(Ordering::Relaxed));
        hold(&self.0.fleet).load(id, now, late)
    }

    fn set_up(&self, id: u32, request: &Request, stream: &mut TcpStream) -> bool {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let text = |key: &str| body[key].as_str().unwrap_or("").to_owned();
        let key = (text("session"), body["attempt"].as_u64().unwrap_or(0) as u32);
        let rung = body["rung"].as_u64().unwrap_or(0) as usize;
        hold(&self.0.pending).insert((id, key.clone()), ());
        self.0.log.write(Event::SetUpRead {
            server: id,
            front: request.front.clone(),
            session: key.0.clone(),
            attempt: key.1,
            class: text("class"),
            title: text("title"),
            rung,
        });
        if hold(&self.0.fleet).replaced(id, &key.0, request.epoch) {
            self.ended(id, &key, SetUpEnd::Full);
            let answer = json!({"session": key.0, "attempt": key.1, "error": "a later epoch has it"});
            return http::write(stream, &http::response(409, &answer)).is_ok();
        }
        while self.unreachable(id, &request.front) {
            if closed_within(stream, Duration::from_millis(5)) {
                self.ended(id, &key, SetUpEnd::Closed);
                return false;
            }
        }
        let play = Play {
            front: request.front.clone(),
            rung,
            rate_kb: body["rate_kb"].as_f64().unwrap_or(0.0),
            context: body["context"].clone(),
            begun: false,
        };
        let luck = f64::from(hold(&self.0.rng).next_u32()) / f64::from(u32::MAX);
        let now = self.0.log.now();
        let taken = hold(&self.0.fleet).set_up(id, &key, play, now, luck);
        let (status, error, end) = match taken {
            Taken::Sets(after) => match self.begin(id, &key, after, stream) {
                Begun::Plays => (201, "", SetUpEnd::Began),
                Begun::Released => (500, "released", SetUpEnd::Error),
                Begun::Closed => return false,
            },
            Taken::Full => (503, "full", SetUpEnd::Full),
            Taken::Draining => (503, "draining", SetUpEnd::Full),
            Taken::Barred => (503, "released", SetUpEnd::Full),
            Taken::Fails => (500, "failed", SetUpEnd::Error),
            Taken::Fell => {
                self.0.log.write(Event::BoxFell { server: id });
                self.kill(id);
                return false;
            }
        };
        if end != SetUpEnd::Began {
            self.ended(id, &key, end);
        }
        let mut answer = json!({"session": key.0, "attempt": key.1, "load": self.load(id)});
        if !error.is_empty() {
            answer["error"] = Value::from(error);
        }
        let written = http::write(stream, &http::response(status, &answer)).is_ok();
        if !written && end == SetUpEnd::Began {
            // It plays, and whoever asked for it has gone.
            let data = json!({"session": key.0, "attempt": key.1, "rung": rung, "context": body["context"]});
            self.tell(id, &request.front, "began", &data);
        }
        written
    }

    /// Waits until a set-up is done, and begins to play unless the front has closed or released meanwhile.
    fn begin(&self, id: u32, key: &Key, after: u64, stream: &TcpStream) -> Begun {
        let until = Instant::now() + Duration::from_micros(after);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            if closed_within(stream, left) {
                // A box that finds nobody waiting does not begin.
                let now = self.0.log.now();
                hold(&self.0.fleet).release(id, key, now);
                self.ended(id, key, SetUpEnd::Closed);
                return Begun::Closed;
            }
        }
        let mut fleet = hold(&self.0.fleet);
        if !fleet.begin(id, key) {
            return Begun::Released;
        }
        // Under the lock: the box's death, which takes it too, comes wholly before or after this.
        self.ended(id, key, SetUpEnd::Began);
        Begun::Plays
    }

    /// Writes down how a set-up ended, unless that has been done.
    fn ended(&self, id: u32, key: &Key, end: SetUpEnd) {
        if hold(&self.0.pending).remove(&(id, key.clone())).is_some() {
            let (session, attempt) = key.clone();
            self.0.log.write(Event::SetUpEnded { server: id, session, attempt, end });
        }
    }

    fn events(&self, id: u32, front: &str, stream: &mut TcpStream) {
        while self.unreachable(id, front) {
            if closed_within(stream, Duration::from_millis(20)) {
                return;
            }
        }
        let (to, events): (Sender<String>, Receiver<String>) = crossbeam_channel::unbounded();
        hold(&self.0.streams).insert((id, front.to_owned()), to);
        let held = hold(&self.0.fleet).held(id, front);
        let mut bytes = http::EVENTS.to_vec();
        bytes.extend_from_slice(http::event("held", &held).as_bytes());
        if http::write(stream, &bytes).is_err() {
            return;
        }
        loop {
            let text = match events.recv_timeout(BEAT) {
                Ok(text) => text,
                Err(RecvTimeoutError::Timeout) => ":\n\n".to_owned(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut held_back = false;
            while self.unreachable(id, front) {
                held_back = true;
                if closed_within(stream, Duration::from_millis(20)) {
                    return;
                }
            }
            // What was said while nobody could hear it is lost.
            let text = if held_back { ":\n\n".to_owned() } else { text };
            if http::write(stream, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn tell(&self, id: u32, front: &str, name: &str, data: &Value) {
        if let Some(to) = hold(&self.0.streams).get(&(id, front.to_owned())) {
            let _ = to.send(http::event(name, data));
        }
    }

    // ---- Time ----

    /// Writes down shares as they change, tells fronts of short delivery and full links, and lets viewers go who
    /// get too little; in a thread of its own until the end.
    pub fn run(&self) -> io::Result<thread::JoinHandle<()>> {
        let boxes = self.clone();
        thread::Builder::new().name("links".into()).stack_size(256 * 1024).spawn(move || {
            let mut due: Vec<(u64, u32, String, &'static str, Value)> = Vec::new();
            let (mut short_at, mut link_at) = (0, 0);
            while !boxes.0.over.load(Ordering::Acquire) {
                thread::sleep(Duration::from_micros(TICK));
                let now = boxes.0.log.now();
                for (server, share) in hold(&boxes.0.fleet).changed_shares(now) {
                    boxes.0.log.write(Event::Share { server, share });
                }
                let notes = boxes.0.notes;
                if now >= short_at + 1_000_000 {
                    short_at = now;
                    boxes.short(now + notes.age, &mut due);
                }
                if notes.every > 0 && now >= link_at + notes.every {
                    link_at = now;
                    boxes.links(now, now + notes.age, &mut due);
                }
                let (ready, later) = due.into_iter().partition(|note| note.0 <= now);
                due = later;
                for (_, id, front, name, data) in ready {
                    boxes.tell(id, &front, name, &data);
                }
            }
        })
    }

    fn short(&self, at: u64, due: &mut Vec<(u64, u32, String, &'static str, Value)>) {
        let mut left = Vec::new();
        {
            let mut fleet = hold(&self.0.fleet);
            let now = self.0.log.now();
            let ids: Vec<u32> = fleet.boxes.keys().copied().collect();
            for id in ids {
                let share = fleet.share(id, now);
                if share >= 0.98 {
                    continue;
                }
                for (front, session) in fleet.fronts(id) {
                    due.push((at, id, front, "delivered", json!({"session": session, "share": share})));
                }
                if share >= 0.75 {
                    continue;
                }
                let plays: Vec<Key> = match fleet.boxes.get(&id) {
                    Some(state) => {
                        state.plays.iter().filter(|(_, p)| p.begun).map(|(k, _)| k.clone()).collect()
                    }
                    None => continue,
                };
                for key in plays {
                    let luck = f64::from(hold(&self.0.rng).next_u32()) / f64::from(u32::MAX);
                    if luck < self.0.notes.leaves {
                        if let Some(play) = fleet.release(id, &key, now) {
                            let (session, attempt) = key.clone();
                            self.0.log.write(Event::Ended { server: id, session, attempt });
                            left.push((id, key, play.front));
                        }
                    }
                }
            }
        }
        for (id, (session, attempt), front) in left {
            self.tell(id, &front, "ended", &json!({"session": session, "attempt": attempt}));
        }
    }

    fn links(&self, now: u64, at: u64, due: &mut Vec<(u64, u32, String, &'static str, Value)>) {
        let fleet = hold(&self.0.fleet);
        for id in fleet.boxes.keys() {
            let (link, uplink) = fleet.fullness(*id, now);
            for (front, session) in fleet.fronts(*id) {
                let data = json!({"session": session, "link": link, "uplink": uplink});
                due.push((at, *id, front, "link", data));
            }
        }
    }
}

enum Begun {
    Plays,
    Released,
    Closed,
}

/// Waits until the peer closes, or the time is over; returns whether it has closed.
fn closed_within(stream: &TcpStream, within: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(within.max(Duration::from_micros(100))));
    let mut byte = [0];
    match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => {
            // A further request already; it is read after this one.
            thread::sleep(within);
            false
        }
        Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
    }
}
