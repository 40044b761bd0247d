//! A simulated platform for a front node: media boxes, the coordinator and viewers, over the platform's binary
//! messages. Boxes answer each set-up with the next scripted reply and keep all received messages in order, for the
//! test to inspect.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use salttally_platform::wire::{cause, code, kind, Decoder, Message};
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};

/// Reply of a box to a set-up.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptedReply {
    /// An answer at once: the session plays.
    Plays,
    /// An answer after this delay.
    Late(Duration),
    /// An answer for an unknown session, then the right answer twice.
    Duplicates,
    /// A release with this cause at once.
    Releases(u8),
    /// No reply; the connection stays open.
    Silent,
    /// These bytes instead of an answer; the connection stays open.
    Malformed(Vec<u8>),
    /// The connection is closed.
    Disconnects,
}

/// A message that a box received.
#[derive(Clone, Debug)]
pub struct ReceivedMessage {
    /// Index of the box.
    pub box_index: usize,
    /// The message.
    pub message: Message,
    /// When it was read.
    pub at: Instant,
}

#[derive(Default)]
struct Shared {
    replies: VecDeque<ScriptedReply>,
    received: Vec<ReceivedMessage>,
    /// Playing sessions with their box and the connection of their set-up.
    sessions: BTreeMap<u64, (usize, Arc<TcpStream>)>,
    connections: Vec<Vec<Arc<TcpStream>>>,
    /// Boxes whose process has died.
    dead: BTreeSet<usize>,
    /// Releases that are sent again on the next connection to a box.
    pending_releases: BTreeMap<usize, Vec<Message>>,
    /// Start of each box as the list states it, Unix ms; 0 if it states none.
    listed_starts_ms: Vec<u64>,
}

/// List events of a coordinator and the requests for them.
#[derive(Default)]
struct EventLog {
    frames: Vec<Vec<u8>>,
    /// Number of bytes of the next frame to write before closing the connection.
    truncate_next: Option<usize>,
    requested: Vec<u64>,
    closed: bool,
    /// Connections are accepted, and nothing is sent on them.
    silent: bool,
}

/// A loopback address that no other call in any process returns. Danger: at 127.0.0.1, a port that is freed for a
/// moment, to be bound again by this or another process, may be taken meanwhile by an unrelated listener or outgoing
/// connection.
pub fn unique_loopback_host() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % 254 + 1;
    Ipv4Addr::new(127, 128 + (process >> 8) as u8 % 128, process as u8, number as u8)
}

/// A platform on its own loopback address.
pub struct Platform {
    shared: Arc<Mutex<Shared>>,
    host: Ipv4Addr,
    boxes: Vec<SocketAddr>,
    /// Threads that accept connections, by box.
    accept_threads: Mutex<BTreeMap<usize, thread::JoinHandle<()>>>,
    coordinators: Vec<(SocketAddr, Arc<Mutex<EventLog>>)>,
    /// Listeners that accept nothing, and the connections that fill their backlogs.
    full_listeners: Vec<(Socket, Vec<Socket>)>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn send(stream: &TcpStream, message: &Message) {
    let mut bytes = Vec::new();
    message.write(&mut bytes);
    let _ = (&*stream).write_all(&bytes);
}

impl Platform {
    /// Starts this many boxes, each in its own cell, and one coordinator that lists them.
    ///
    /// # Errors
    /// No listening address is available.
    pub fn start(boxes: usize) -> io::Result<Platform> {
        let shared = Arc::new(Mutex::new(Shared {
            connections: vec![Vec::new(); boxes],
            listed_starts_ms: vec![0; boxes],
            ..Shared::default()
        }));
        let (host, accept_threads) = (unique_loopback_host(), Mutex::default());
        let (addresses, coordinators, full_listeners) = (Vec::new(), Vec::new(), Vec::new());
        let mut platform =
            Platform { shared, host, boxes: addresses, accept_threads, coordinators, full_listeners };
        for box_index in 0..boxes {
            let listener = TcpListener::bind((host, 0))?;
            platform.boxes.push(listener.local_addr()?);
            platform.accept_connections(box_index, listener);
        }
        platform.add_coordinator()?;
        Ok(platform)
    }

    /// Accepts connections to a box on a thread of its own, until the box is killed.
    fn accept_connections(&self, box_index: usize, listener: TcpListener) {
        let shared = Arc::clone(&self.shared);
        let thread = thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (shared, stream) = (Arc::clone(&shared), Arc::new(stream));
                let _ = stream.set_nodelay(true);
                let mut state = lock(&shared);
                if state.dead.contains(&box_index) {
                    return;
                }
                state.connections[box_index].push(Arc::clone(&stream));
                let pending_releases = state.pending_releases.remove(&box_index).unwrap_or_default();
                drop(state);
                pending_releases.iter().for_each(|message| send(&stream, message));
                thread::spawn(move || {
                    serve(box_index, &stream, &shared);
                    lock(&shared).connections[box_index].retain(|open| !Arc::ptr_eq(open, &stream));
                });
            }
        });
        lock(&self.accept_threads).insert(box_index, thread);
    }

    /// Adds a coordinator with the same events; the latest one is the one in use.
    ///
    /// # Errors
    /// No listening address is available.
    pub fn add_coordinator(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind((self.host, 0))?;
        let frames = match self.coordinators.last() {
            Some((_, events)) => lock(events).frames.clone(),
            None => vec![self.list_frame(1, 1, 0..self.boxes.len(), 0)],
        };
        let events = Arc::new(Mutex::new(EventLog { frames, ..EventLog::default() }));
        self.coordinators.push((listener.local_addr()?, Arc::clone(&events)));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if lock(&events).closed {
                    return;
                }
                let events = Arc::clone(&events);
                thread::spawn(move || serve_events(&stream, &events));
            }
        });
        Ok(())
    }

    fn list_frame(&self, number: u64, kind: u8, boxes: std::ops::Range<usize>, state: u8) -> Vec<u8> {
        let mut bytes = (9 + 27 * boxes.len() as u32).to_be_bytes().to_vec();
        bytes.extend(number.to_be_bytes());
        bytes.push(kind);
        let starts_ms = lock(&self.shared).listed_starts_ms.clone();
        for box_index in boxes {
            bytes.extend((box_index as u32 + 1).to_be_bytes());
            bytes.extend(self.host.octets());
            bytes.extend(self.boxes[box_index].port().to_be_bytes());
            bytes.extend([state, 0, 0]);
            bytes.extend((box_index as u16).to_be_bytes());
            bytes.extend(1000u32.to_be_bytes());
            bytes.extend(starts_ms[box_index].to_be_bytes());
        }
        bytes
    }

    fn latest_coordinator(&self) -> &(SocketAddr, Arc<Mutex<EventLog>>) {
        &self.coordinators[self.coordinators.len() - 1]
    }

    /// Publishes the state of a box: 0 ready, 1 draining, 2 gone.
    pub fn announce(&self, box_index: usize, state: u8) {
        let events = &self.latest_coordinator().1;
        let number = lock(events).frames.len() as u64 + 1;
        let frame = self.list_frame(number, 2, box_index..box_index + 1, state);
        lock(events).frames.push(frame);
    }

    /// Publishes all boxes as ready, in a whole list.
    pub fn announce_whole_list(&self) {
        let events = &self.latest_coordinator().1;
        let number = lock(events).frames.len() as u64 + 1;
        let frame = self.list_frame(number, 1, 0..self.boxes.len(), 0);
        lock(events).frames.push(frame);
    }

    /// States this start of a box in lists and configurations from now on, in Unix ms; 0 states none.
    pub fn set_listed_start(&self, box_index: usize, start_ms: u64) {
        lock(&self.shared).listed_starts_ms[box_index] = start_ms;
    }

    /// Counts the events from 1 again, as for front nodes that start now and whose configurations contain all of them.
    pub fn restart_event_numbers(&self) {
        lock(&self.latest_coordinator().1).frames.truncate(1);
    }

    /// Lets the latest coordinator accept connections and send nothing on them from now on.
    pub fn silence_coordinator(&self) {
        lock(&self.latest_coordinator().1).silent = true;
    }

    /// Truncates the next event to this many bytes and closes its connection.
    pub fn cut_next_event(&self, after: usize) {
        lock(&self.latest_coordinator().1).truncate_next = Some(after);
    }

    /// Event numbers that followers sent to the latest coordinator.
    pub fn requested_numbers(&self) -> Vec<u64> {
        lock(&self.latest_coordinator().1).requested.clone()
    }

    /// Stops the first coordinator: it publishes nothing more and closes its connections.
    pub fn close_first_coordinator(&self) {
        lock(&self.coordinators[0].1).closed = true;
    }

    /// Configuration of a front node, as JSON.
    pub fn config(&self, listen: SocketAddr, sockets: usize) -> Value {
        let starts_ms = lock(&self.shared).listed_starts_ms.clone();
        let host = |box_index: usize| {
            json!({"host": format!("s-{:08x}", box_index + 1), "dial": self.boxes[box_index].to_string(), "site": "a",
                "class": "k", "block": box_index, "health": "active", "share": 1,
                "born_ms": starts_ms[box_index]})
        };
        let hosts: Vec<Value> = (0..self.boxes.len()).map(host).collect();
        let cells = self.boxes.len();
        json!({"name": "n1", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "coordinator": self.latest_coordinator().0.to_string(),
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

    /// Sets the replies to the next set-ups, in order; after them every set-up is answered.
    pub fn script_replies(&self, replies: impl IntoIterator<Item = ScriptedReply>) {
        lock(&self.shared).replies = replies.into_iter().collect();
    }

    /// Messages that boxes have received so far.
    pub fn received(&self) -> Vec<ReceivedMessage> {
        lock(&self.shared).received.clone()
    }

    /// Index of the box where a session plays.
    pub fn box_of_session(&self, session: u64) -> Option<usize> {
        lock(&self.shared).sessions.get(&session).map(|(box_index, _)| *box_index)
    }

    /// Ends a session at its box. The release is sent on the connection of its set-up, else on any open connection,
    /// and again on the next new connection.
    pub fn end_session(&self, session: u64, cause: u8) {
        let mut state = lock(&self.shared);
        let Some((box_index, stream)) = state.sessions.remove(&session) else { return };
        let message = Message::release(session, cause);
        let connection = state.connections[box_index]
            .iter()
            .find(|open| Arc::ptr_eq(open, &stream))
            .or(state.connections[box_index].last());
        if let Some(stream) = connection {
            send(stream, &message);
        }
        state.pending_releases.entry(box_index).or_default().push(message);
    }

    /// Closes all connections to a box; its sessions play on.
    pub fn break_connections(&self, box_index: usize) {
        for stream in lock(&self.shared).connections[box_index].drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Kills the process of a box: its sessions end, its connections are reset, and new ones are refused.
    pub fn kill(&self, box_index: usize) {
        let mut state = lock(&self.shared);
        state.dead.insert(box_index);
        state.sessions.retain(|_, (session_box, _)| *session_box != box_index);
        for stream in state.connections[box_index].drain(..) {
            let _ =
                (SockRef::from(&*stream).set_linger(Some(Duration::ZERO)), stream.shutdown(Shutdown::Both));
        }
        drop(state);
        // Wakes the accepting thread and waits for its end. Danger: a thread that still runs after the return accepts
        // a connection for a dead process, or holds the address that is to be bound again.
        let _ = TcpStream::connect(self.boxes[box_index]);
        let thread = lock(&self.accept_threads).remove(&box_index);
        let _ = thread.map(thread::JoinHandle::join);
    }

    /// Starts the process of a killed box again at its address, and returns the time of the start in Unix ms. Lists state
    /// it only after [`Platform::set_listed_start`].
    ///
    /// # Errors
    /// Its address is in use.
    pub fn restart(&self, box_index: usize) -> io::Result<u64> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&self.boxes[box_index].into())?;
        socket.listen(512)?;
        lock(&self.shared).dead.remove(&box_index);
        self.accept_connections(box_index, socket.into());
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(since_epoch.as_millis() as u64)
    }

    /// Makes a box neither accept nor refuse connections: the backlog of its listener is full.
    ///
    /// # Errors
    /// Its address is in use.
    pub fn stop_accepting(&mut self, box_index: usize) -> io::Result<()> {
        self.kill(box_index);
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        listener.bind(&self.boxes[box_index].into())?;
        listener.listen(0)?;
        let mut filler_connections = Vec::new();
        for _ in 0..4 {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            let _ = socket.connect(&self.boxes[box_index].into());
            filler_connections.push(socket);
        }
        self.full_listeners.push((listener, filler_connections));
        Ok(())
    }
}

fn serve(box_index: usize, stream: &Arc<TcpStream>, shared: &Mutex<Shared>) {
    let (mut decoder, mut bytes) = (Decoder::default(), [0; 4096]);
    while let Ok(count) = (&**stream).read(&mut bytes) {
        if count == 0 {
            return;
        }
        decoder.feed(&bytes[..count]);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => handle_message(box_index, message, stream, shared),
                Ok(None) => break,
                Err(_) => return drop(stream.shutdown(Shutdown::Both)),
            }
        }
    }
}

fn handle_message(box_index: usize, message: Message, stream: &Arc<TcpStream>, shared: &Mutex<Shared>) {
    let id = message.session;
    let mut state = lock(shared);
    state.received.push(ReceivedMessage { box_index, message: message.clone(), at: Instant::now() });
    match message.kind {
        kind::SET_UP => {
            let reply = state.replies.pop_front().unwrap_or(ScriptedReply::Plays);
            let answer =
                |id| Message::new(kind::ANSWER, id).with(code::DESCRIPTION, format!("box {box_index}"));
            let release = |cause| Message::release(id, cause).with(code::REPORT, "active:3;x0:0.25");
            if matches!(reply, ScriptedReply::Plays | ScriptedReply::Late(_) | ScriptedReply::Duplicates) {
                state.sessions.insert(id, (box_index, Arc::clone(stream)));
            }
            drop(state);
            match reply {
                ScriptedReply::Plays => send(stream, &answer(id)),
                ScriptedReply::Late(span) => {
                    let (stream, answer) = (Arc::clone(stream), answer(id));
                    thread::spawn(move || {
                        thread::sleep(span);
                        send(&stream, &answer);
                    });
                }
                ScriptedReply::Duplicates => {
                    [answer(!id), answer(id), answer(id)].iter().for_each(|m| send(stream, m))
                }
                ScriptedReply::Releases(cause) => send(stream, &release(cause)),
                ScriptedReply::Silent => {}
                ScriptedReply::Malformed(bytes) => drop((&**stream).write_all(&bytes)),
                ScriptedReply::Disconnects => drop(stream.shutdown(Shutdown::Both)),
            }
        }
        kind::RELEASE
            if state.sessions.get(&id).is_some_and(|(session_box, _)| *session_box == box_index) =>
        {
            state.sessions.remove(&id);
            drop(state);
            send(stream, &Message::release(id, cause::ON_PURPOSE));
        }
        kind::TEST => send(stream, &Message::new(kind::TEST_RESULT, id).with(code::CAUSE, [1])),
        _ => {}
    }
}

fn serve_events(mut stream: &TcpStream, events: &Mutex<EventLog>) {
    let mut number = [0; 8];
    if stream.read_exact(&mut number).is_err() {
        return;
    }
    let mut last = u64::from_be_bytes(number);
    lock(events).requested.push(last);
    let mut last_heartbeat = Instant::now() - Duration::from_secs(1);
    loop {
        let mut state = lock(events);
        if state.closed {
            return;
        }
        let mut bytes = Vec::new();
        let frame = state.frames.get(last as usize).filter(|_| !state.silent).cloned();
        if let Some(frame) = frame {
            if let Some(cut) = state.truncate_next.take() {
                let _ = stream.write_all(&frame[..cut.min(frame.len())]);
                return;
            }
            last += 1;
            bytes = frame;
        } else if !state.silent && last_heartbeat.elapsed() >= Duration::from_secs(1) {
            last_heartbeat = Instant::now();
            bytes.extend(9u32.to_be_bytes());
            bytes.extend(last.to_be_bytes());
            bytes.push(0);
        }
        drop(state);
        if stream.write_all(&bytes).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Connection of a viewer to a front node.
pub struct Viewer {
    /// The socket, for bytes that are not messages.
    pub stream: TcpStream,
    decoder: Decoder,
    closed: bool,
}

impl Viewer {
    /// Connects to a front node.
    ///
    /// # Errors
    /// The connection is refused or fails.
    pub fn connect(to: SocketAddr) -> io::Result<Viewer> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        Ok(Viewer::from_stream(stream))
    }

    /// Wraps an established connection. The box's end of a connection is scripted in the same way.
    pub fn from_stream(stream: TcpStream) -> Viewer {
        Viewer { stream, decoder: Decoder::default(), closed: false }
    }

    /// A valid request for a title that is held in `cells` cells.
    pub fn request(id: u64, class: &str, cells: usize) -> Message {
        let fields = format!("home:0;copies:{cells};top:1;viewer:{id:016x}");
        Message::new(kind::SET_UP, id)
            .with(code::CLASS, class)
            .with(code::WAIT_MS, "1500")
            .with(code::TITLE, "7f3a9c21e0b4d655")
            .with(code::LENGTH_HINT_MS, "8200.0")
            .with(code::REQUEST_FIELDS, fields)
            .with(code::DESCRIPTION, "offer")
    }

    /// Sends a message.
    pub fn send(&self, message: &Message) {
        send(&self.stream, message);
    }

    /// The next message within this time; `None` after it and at the end of the connection.
    pub fn next(&mut self, within: Duration) -> Option<Message> {
        let until = Instant::now() + within;
        loop {
            if let Ok(Some(message)) = self.decoder.next_message() {
                return Some(message);
            }
            let remaining =
                until.checked_duration_since(Instant::now()).filter(|remaining| !remaining.is_zero())?;
            self.stream.set_read_timeout(Some(remaining)).ok()?;
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(count) if count > 0 => self.decoder.feed(&bytes[..count]),
                Err(error) if is_timeout(&error) => return None,
                _ => {
                    self.closed = true;
                    return None;
                }
            }
        }
    }

    /// Whether a read has found the connection closed or reset.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Whether the front node closes the connection within this time; received messages are discarded.
    pub fn closes(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while let Some(remaining) =
            until.checked_duration_since(Instant::now()).filter(|remaining| !remaining.is_zero())
        {
            let _ = self.stream.set_read_timeout(Some(remaining));
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) if is_timeout(&error) => {}
                Err(_) => return true,
            }
        }
        false
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
