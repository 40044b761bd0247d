//! A stand-in of the platform that a front node serves: media boxes, the coordinator and viewers, over the
//! platform's binary messages. Boxes do what their script says, one entry for each set-up; what comes to them is kept
//! in order for the test to look at.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use salttally_platform::wire::{cause, code, kind, Decoder, Message};
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};

/// What a box does with a set-up.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// The session stands.
    Plays,
    /// It stands after a while.
    Late(Duration),
    /// The answer comes twice, behind one under an unknown id.
    Copies,
    /// It is released with this cause at once.
    Releases(u8),
    /// Nothing comes, and the connection stays open.
    Silent,
    /// These bytes come in place of an answer, and the connection stays open.
    Spoilt(Vec<u8>),
    /// The connection closes.
    Breaks,
}

/// What came to a box, in order over all of them.
#[derive(Clone, Debug)]
pub struct Came {
    /// Place of the box.
    pub at: usize,
    /// What it was.
    pub message: Message,
}

#[derive(Default)]
struct Shared {
    deeds: VecDeque<Deed>,
    came: Vec<Came>,
    /// What stands, where, and the connection of its set-up.
    standing: BTreeMap<u64, (usize, Arc<TcpStream>)>,
    open: Vec<Vec<Arc<TcpStream>>>,
    /// Boxes whose process has died.
    dead: BTreeSet<usize>,
    /// Releases to be told on the next connection to a box too.
    untold: BTreeMap<usize, Vec<Message>>,
}

/// Events of the list, and whom they are told to.
#[derive(Default)]
struct Told {
    frames: Vec<Vec<u8>>,
    /// Bytes of the next frame that are written before the connection breaks.
    cut: Option<usize>,
    asked: Vec<u64>,
    closed: bool,
}

/// An address of the loopback range that no other call in any process gives out. Danger: a port that is set free for a
/// moment, to be bound again or by another process, is taken by somebody else's listener or connection meanwhile, which
/// are all at 127.0.0.1.
pub fn own_host() -> Ipv4Addr {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let number = GIVEN.fetch_add(1, Ordering::Relaxed) % 254 + 1;
    Ipv4Addr::new(127, 128 + (process >> 8) as u8 % 128, process as u8, number as u8)
}

/// A platform on a loopback address of its own, which ends with this value.
pub struct Platform {
    shared: Arc<Mutex<Shared>>,
    host: Ipv4Addr,
    boxes: Vec<SocketAddr>,
    /// The threads that accept for them.
    doors: Mutex<BTreeMap<usize, thread::JoinHandle<()>>>,
    coordinators: Vec<(SocketAddr, Arc<Mutex<Told>>)>,
    /// Listeners that accept nobody, and the connections that fill them.
    deaf: Vec<(Socket, Vec<Socket>)>,
}

fn hold<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn say(stream: &TcpStream, message: &Message) {
    let mut bytes = Vec::new();
    message.write(&mut bytes);
    let _ = (&*stream).write_all(&bytes);
}

impl Platform {
    /// So many boxes, each in a cell of its own, and one coordinator that knows them.
    ///
    /// # Errors
    /// No address to be had.
    pub fn start(boxes: usize) -> io::Result<Platform> {
        let shared = Arc::new(Mutex::new(Shared { open: vec![Vec::new(); boxes], ..Shared::default() }));
        let (host, doors) = (own_host(), Mutex::default());
        let (boxes_at, coordinators, deaf) = (Vec::new(), Vec::new(), Vec::new());
        let mut platform = Platform { shared, host, boxes: boxes_at, doors, coordinators, deaf };
        for at in 0..boxes {
            let listener = TcpListener::bind((host, 0))?;
            platform.boxes.push(listener.local_addr()?);
            let shared = Arc::clone(&platform.shared);
            let door = thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let (shared, stream) = (Arc::clone(&shared), Arc::new(stream));
                    let _ = stream.set_nodelay(true);
                    let mut held = hold(&shared);
                    if held.dead.contains(&at) {
                        return;
                    }
                    held.open[at].push(Arc::clone(&stream));
                    let untold = held.untold.remove(&at).unwrap_or_default();
                    drop(held);
                    untold.iter().for_each(|message| say(&stream, message));
                    thread::spawn(move || {
                        serve(at, &stream, &shared);
                        hold(&shared).open[at].retain(|open| !Arc::ptr_eq(open, &stream));
                    });
                }
            });
            hold(&platform.doors).insert(at, door);
        }
        platform.add_coordinator()?;
        Ok(platform)
    }

    /// One more coordinator, which knows the same events; the last one counts.
    ///
    /// # Errors
    /// No address to be had.
    pub fn add_coordinator(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind((self.host, 0))?;
        let frames = match self.coordinators.last() {
            Some((_, told)) => hold(told).frames.clone(),
            None => vec![self.frame(1, 1, 0..self.boxes.len(), 0)],
        };
        let told = Arc::new(Mutex::new(Told { frames, ..Told::default() }));
        self.coordinators.push((listener.local_addr()?, Arc::clone(&told)));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if hold(&told).closed {
                    return;
                }
                let told = Arc::clone(&told);
                thread::spawn(move || coordinate(&stream, &told));
            }
        });
        Ok(())
    }

    fn frame(&self, number: u64, kind: u8, boxes: std::ops::Range<usize>, state: u8) -> Vec<u8> {
        let mut bytes = (9 + 27 * boxes.len() as u32).to_be_bytes().to_vec();
        bytes.extend(number.to_be_bytes());
        bytes.push(kind);
        for at in boxes {
            bytes.extend((at as u32 + 1).to_be_bytes());
            bytes.extend(self.host.octets());
            bytes.extend(self.boxes[at].port().to_be_bytes());
            bytes.extend([state, 0, 0]);
            bytes.extend((at as u16).to_be_bytes());
            bytes.extend(1000u32.to_be_bytes());
            bytes.extend(0u64.to_be_bytes());
        }
        bytes
    }

    fn last(&self) -> &(SocketAddr, Arc<Mutex<Told>>) {
        &self.coordinators[self.coordinators.len() - 1]
    }

    /// Tells a change: this box is ready, drains or is gone (0, 1, 2).
    pub fn tell(&self, at: usize, state: u8) {
        let told = &self.last().1;
        let number = hold(told).frames.len() as u64 + 1;
        let frame = self.frame(number, 2, at..at + 1, state);
        hold(told).frames.push(frame);
    }

    /// The next event breaks off after so many bytes.
    pub fn cut_next_event(&self, after: usize) {
        hold(&self.last().1).cut = Some(after);
    }

    /// Numbers with which the last coordinator was asked.
    pub fn asked(&self) -> Vec<u64> {
        hold(&self.last().1).asked.clone()
    }

    /// The first coordinator tells nothing more and closes.
    pub fn close_first_coordinator(&self) {
        hold(&self.coordinators[0].1).closed = true;
    }

    /// The configuration of a front node, as JSON.
    pub fn config(&self, listen: SocketAddr, sockets: usize) -> Value {
        let host = |at: usize| {
            json!({"host": format!("s-{:08x}", at + 1), "dial": self.boxes[at].to_string(), "site": "a",
                "class": "k", "block": at, "health": "active", "share": 1, "born_ms": 0})
        };
        let hosts: Vec<Value> = (0..self.boxes.len()).map(host).collect();
        let cells = self.boxes.len();
        json!({"name": "n1", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "coordinator": self.last().0.to_string(),
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]},
            "settings": {"balancers": 1, "zone": 0, "localities": ["a"], "host_types": ["k"],
                "classes": [
                    {"name": "clip", "aim_ms": 600, "deadline_ms": 1500, "effect": "idempotent", "gain": 1},
                    {"name": "paid", "aim_ms": 500, "deadline_ms": 1500, "effect": "at_most_once", "gain": 3}],
                "domain": {"positions": cells, "racks": 0, "kb_per_weight": 100000, "links_kb": 100000 * cells,
                    "kind_streams": [200], "rung_kb": [200, 400], "worth_by_rung": [0.5, 1],
                    "lowest_rung": [0, 0], "top_by_class": [1, 1], "reports_every_ms": 3000,
                    "seen_after_ms": 500, "change_costs_s": 0.5},
                "load_report": {"names": ["active", "x0"], "source": "answers"},
                "policy_limits": {"max_attempts": 3, "max_retry_after_ms": 1000, "retry_after": true,
                    "probes": false, "connect_timeout_ms": 250, "conn_idle_ms": 15000, "max_streams": 32},
                "safety": {"answer_slack_ms": 40, "drain_grace_ms": 1000, "warm_up_ms": 1000, "cold_from": 0.5,
                    "fall_multiple": 3, "fall_ms": 1500}}})
    }

    /// What boxes do with the next set-ups, in order; after that they play.
    pub fn script(&self, deeds: impl IntoIterator<Item = Deed>) {
        hold(&self.shared).deeds = deeds.into_iter().collect();
    }

    /// What came to boxes so far.
    pub fn came(&self) -> Vec<Came> {
        hold(&self.shared).came.clone()
    }

    /// Where a session stands.
    pub fn stands_at(&self, session: u64) -> Option<usize> {
        hold(&self.shared).standing.get(&session).map(|(at, _)| *at)
    }

    /// The box ends a session that stands there: told on the connection of its set-up, else on any open one, and on
    /// the next one that is opened.
    pub fn end(&self, session: u64, cause: u8) {
        let mut held = hold(&self.shared);
        let Some((at, stream)) = held.standing.remove(&session) else { return };
        let message = Message::release(session, cause);
        let its = held.open[at].iter().find(|open| Arc::ptr_eq(open, &stream)).or(held.open[at].last());
        if let Some(stream) = its {
            say(stream, &message);
        }
        held.untold.entry(at).or_default().push(message);
    }

    /// All connections to a box break; what stands goes on.
    pub fn break_connections(&self, at: usize) {
        for stream in hold(&self.shared).open[at].drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The box's process dies: what stands there is cut, its connections are reset and new ones refused.
    pub fn kill(&self, at: usize) {
        let mut held = hold(&self.shared);
        held.dead.insert(at);
        held.standing.retain(|_, (of, _)| *of != at);
        for stream in held.open[at].drain(..) {
            let _ =
                (SockRef::from(&*stream).set_linger(Some(Duration::ZERO)), stream.shutdown(Shutdown::Both));
        }
        drop(held);
        // Wakes its listener, which ends. Danger: not gone by the return, it takes a connection of a dead process, or
        // holds the address that is to be bound again.
        let _ = TcpStream::connect(self.boxes[at]);
        let door = hold(&self.doors).remove(&at);
        let _ = door.map(thread::JoinHandle::join);
    }

    /// The box's machine goes on taking no connection: a dial is neither made nor refused.
    ///
    /// # Errors
    /// Its address is taken.
    pub fn deafen(&mut self, at: usize) -> io::Result<()> {
        self.kill(at);
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        listener.bind(&self.boxes[at].into())?;
        listener.listen(0)?;
        let mut fill = Vec::new();
        for _ in 0..4 {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            let _ = socket.connect(&self.boxes[at].into());
            fill.push(socket);
        }
        self.deaf.push((listener, fill));
        Ok(())
    }
}

fn serve(at: usize, stream: &Arc<TcpStream>, shared: &Mutex<Shared>) {
    let (mut decoder, mut bytes) = (Decoder::default(), [0; 4096]);
    while let Ok(count) = (&**stream).read(&mut bytes) {
        if count == 0 {
            return;
        }
        decoder.feed(&bytes[..count]);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => act(at, message, stream, shared),
                Ok(None) => break,
                Err(_) => return drop(stream.shutdown(Shutdown::Both)),
            }
        }
    }
}

fn act(at: usize, message: Message, stream: &Arc<TcpStream>, shared: &Mutex<Shared>) {
    let id = message.session;
    let mut held = hold(shared);
    held.came.push(Came { at, message: message.clone() });
    match message.kind {
        kind::SET_UP => {
            let deed = held.deeds.pop_front().unwrap_or(Deed::Plays);
            let answer = |id| Message::new(kind::ANSWER, id).with(code::DESCRIPTION, format!("box {at}"));
            let release = |cause| Message::release(id, cause).with(code::REPORT, "active:3;x0:0.25");
            if matches!(deed, Deed::Plays | Deed::Late(_) | Deed::Copies) {
                held.standing.insert(id, (at, Arc::clone(stream)));
            }
            drop(held);
            match deed {
                Deed::Plays => say(stream, &answer(id)),
                Deed::Late(span) => {
                    let (stream, answer) = (Arc::clone(stream), answer(id));
                    thread::spawn(move || {
                        thread::sleep(span);
                        say(&stream, &answer);
                    });
                }
                Deed::Copies => [answer(!id), answer(id), answer(id)].iter().for_each(|m| say(stream, m)),
                Deed::Releases(cause) => say(stream, &release(cause)),
                Deed::Silent => {}
                Deed::Spoilt(bytes) => drop((&**stream).write_all(&bytes)),
                Deed::Breaks => drop(stream.shutdown(Shutdown::Both)),
            }
        }
        kind::RELEASE if held.standing.get(&id).is_some_and(|(of, _)| *of == at) => {
            held.standing.remove(&id);
            drop(held);
            say(stream, &Message::release(id, cause::ON_PURPOSE));
        }
        kind::TEST => say(stream, &Message::new(kind::TEST_RESULT, id).with(code::CAUSE, [1])),
        _ => {}
    }
}

fn coordinate(mut stream: &TcpStream, told: &Mutex<Told>) {
    let mut number = [0; 8];
    if stream.read_exact(&mut number).is_err() {
        return;
    }
    let mut last = u64::from_be_bytes(number);
    hold(told).asked.push(last);
    let mut beat = Instant::now() - Duration::from_secs(1);
    loop {
        let mut held = hold(told);
        if held.closed {
            return;
        }
        let mut bytes = Vec::new();
        if let Some(frame) = held.frames.get(last as usize).cloned() {
            if let Some(cut) = held.cut.take() {
                let _ = stream.write_all(&frame[..cut.min(frame.len())]);
                return;
            }
            last += 1;
            bytes = frame;
        } else if beat.elapsed() >= Duration::from_secs(1) {
            beat = Instant::now();
            bytes.extend(9u32.to_be_bytes());
            bytes.extend(last.to_be_bytes());
            bytes.push(0);
        }
        drop(held);
        if stream.write_all(&bytes).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// A viewer's connection to a front node.
pub struct Viewer {
    /// The socket, for what no message can say.
    pub stream: TcpStream,
    decoder: Decoder,
    ended: bool,
}

impl Viewer {
    /// Connects.
    ///
    /// # Errors
    /// Nobody listens.
    pub fn connect(to: SocketAddr) -> io::Result<Viewer> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        Ok(Viewer::over(stream))
    }

    /// A connection that is made already, from either side: a box's end of one is led by hand the same way.
    pub fn over(stream: TcpStream) -> Viewer {
        Viewer { stream, decoder: Decoder::default(), ended: false }
    }

    /// A request that a front node can use, of a title that all boxes of `cells` cells hold.
    pub fn request(id: u64, class: &str, cells: usize) -> Message {
        let figures = format!("home:0;copies:{cells};top:1;viewer:{id:016x}");
        Message::new(kind::SET_UP, id)
            .with(code::CLASS, class)
            .with(code::WAIT_MS, "1500")
            .with(code::TITLE, "7f3a9c21e0b4d655")
            .with(code::LENGTH_HINT_MS, "8200.0")
            .with(code::REQUEST_FIELDS, figures)
            .with(code::DESCRIPTION, "offer")
    }

    /// Says something.
    pub fn say(&self, message: &Message) {
        say(&self.stream, message);
    }

    /// What is said next, within this time; nothing at the end of the connection too.
    pub fn next(&mut self, within: Duration) -> Option<Message> {
        let until = Instant::now() + within;
        loop {
            if let Ok(Some(message)) = self.decoder.next_message() {
                return Some(message);
            }
            let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            self.stream.set_read_timeout(Some(left)).ok()?;
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(count) if count > 0 => self.decoder.feed(&bytes[..count]),
                Err(error) if is_time_out(&error) => return None,
                _ => {
                    self.ended = true;
                    return None;
                }
            }
        }
    }

    /// Whether the connection was found closed or reset while something was waited for.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Whether the front node closes the connection within this time; what it says meanwhile is dropped.
    pub fn closes(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while let Some(left) = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            let _ = self.stream.set_read_timeout(Some(left));
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) if is_time_out(&error) => {}
                Err(_) => return true,
            }
        }
        false
    }
}

fn is_time_out(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
