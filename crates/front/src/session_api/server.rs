//! Accepts players. Handshakes are read by one thread for all of them; then each connection has one that reads, and
//! answers are written by the front's own thread.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError};
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::{poll, PollFd, PollFlags};
use rustix::fd::OwnedFd;
use socket2::{SockRef, TcpKeepalive};
use tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tungstenite::http::{HeaderValue, StatusCode};
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::protocol::frame::{CloseFrame, Frame};
use tungstenite::protocol::WebSocketConfig;
use tungstenite::{Error, Message, WebSocket};

use super::core::accepting::{Accepting, Shortage};
use super::core::backlog::Backlog;
use super::core::calls::Calls;
use super::core::door::{Place, Turned};
use super::core::gate::{Allowance, Allowed};
use super::core::share::{Charge, Share, Turn};
use super::core::watch::{Sight, Watch};
use super::entrance::Entrance;
use super::outbox::{text_frame, Outbox};
use super::rpc;
use crate::clock::{timespec, Clock};
use crate::common::messages::{ClientSink, EngineMessage, ReceivedMessage};
use crate::core::{ClientId, Input};
use crate::settings::{Settings, SUB_PROTOCOL};

/// Stack of a thread that reads one player: a message, its JSON and the WebSocket's buffers, which are on the heap.
const STACK: usize = 128 * 1024;
/// A connection that is told why it ends is read on for this long, so that the reason is not lost by a reset.
const LINGER: Duration = Duration::from_millis(100);
/// Threads that wait for a next player at most, and for how long.
const IDLE_MOST: usize = 256;
const IDLE: Duration = Duration::from_secs(1);
/// Connections that are taken in one after another.
const AT_ONCE: usize = 64;
/// Bytes of a request that are waited for; the WebSocket's reader says what is wrong with a longer one.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// A player is read on after this at the latest, us: its pongs and its end are among what it sends.
const PAUSE_MOST: u64 = 1_000_000;

/// The ways from players to the front's thread.
#[derive(Clone)]
pub struct Ways {
    /// All that must be heard.
    pub engine: Sender<EngineMessage>,
    /// How many messages over their senders' shares wait for the front's thread.
    pub over: Arc<AtomicUsize>,
    /// Outboxes that the socket did not empty.
    pub flusher: Sender<Arc<Outbox>>,
}

/// What accepts players, and how it is stopped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Binds and begins to accept.
    pub fn start(
        settings: Arc<Settings>,
        clock: Clock,
        clients: Arc<AtomicU64>,
        entrance: Arc<Entrance>,
        ways: Ways,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let stopping = Arc::new(AtomicBool::new(false));
        let (readers, stop) = (Readers::new(), Arc::clone(&stopping));
        let acceptor = Acceptor { settings, clock, clients, entrance, ways, readers, stop };
        let accept = move || acceptor.run(&listener);
        let thread = thread::Builder::new().name("players".into()).stack_size(STACK).spawn(accept)?;
        Ok(Server { address, stopping, thread: Some(thread) })
    }

    /// Where players connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts nobody any more.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        // A connection of our own wakes the thread that accepts.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Takes connections in and reads their handshakes, all of them in one thread: a peer that drips costs a socket and a
/// few bytes until its request is whole, and no thread.
struct Acceptor {
    settings: Arc<Settings>,
    clock: Clock,
    clients: Arc<AtomicU64>,
    entrance: Arc<Entrance>,
    ways: Ways,
    readers: Arc<Readers>,
    stop: Arc<AtomicBool>,
}

/// A connection whose request is not whole yet.
struct Shaking {
    stream: Arc<TcpStream>,
    outbox: Arc<Outbox>,
    watch: Watch,
    head: Vec<u8>,
    due: u64,
}

/// Those, and when the time of each runs out.
struct Hall {
    poll: OwnedFd,
    shaking: BTreeMap<ClientId, Shaking>,
    due: BTreeSet<(u64, ClientId)>,
}

impl Hall {
    fn put(&mut self, id: ClientId, mut one: Shaking) {
        one.due = one.watch.due();
        self.due.insert((one.due, id));
        self.shaking.insert(id, one);
    }

    fn take(&mut self, id: ClientId) -> Option<Shaking> {
        let one = self.shaking.remove(&id)?;
        self.due.remove(&(one.due, id));
        Some(one)
    }
}

/// Threads that read players, and wait a while for the next one when theirs has left. Danger: players that come and go
/// by the thousand a second would have as many threads made and ended, each with memory that is mapped and unmapped
/// under one lock of the whole process.
struct Readers {
    give: Sender<Job>,
    take: Receiver<Job>,
    idle: AtomicUsize,
}

type Job = (Player, Shaking);

impl Readers {
    fn new() -> Arc<Readers> {
        // Without room of its own: a job is taken by a thread that waits, or by none.
        let (give, take) = crossbeam_channel::bounded(0);
        Arc::new(Readers { give, take, idle: AtomicUsize::new(0) })
    }

    /// Has a thread serve this player, one that waits or a new one.
    fn serve(self: &Arc<Self>, job: Job) -> io::Result<()> {
        let job = match self.give.try_send(job) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        let readers = Arc::clone(self);
        let run = move || readers.work(job);
        thread::Builder::new().name("player".into()).stack_size(STACK).spawn(run).map(|_| ())
    }

    fn work(&self, mut job: Job) {
        loop {
            let (player, shaking) = job;
            player.serve(shaking);
            player.entrance.left(player.id);
            drop(player);
            let next = match self.idle.fetch_add(1, Ordering::Relaxed) {
                few if few < IDLE_MOST => self.take.recv_timeout(IDLE).ok(),
                _ => None,
            };
            self.idle.fetch_sub(1, Ordering::Relaxed);
            let Some(next) = next else { return };
            job = next;
        }
    }
}

/// Stands for the listener among the clients' numbers.
const LISTENER: u64 = u64::MAX;

impl Acceptor {
    fn run(&self, listener: &TcpListener) {
        let watched = listener.set_nonblocking(true).map_err(|error| error.to_string());
        let made = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(|error| error.to_string());
        let poll = watched.and(made).and_then(|poll| {
            let listens = EventData::new_u64(LISTENER);
            let added = epoll::add(&poll, listener, listens, EventFlags::IN);
            added.map(|()| poll).map_err(|error| error.to_string())
        });
        let poll = match poll {
            Ok(poll) => poll,
            Err(error) => return tracing::error!(error, "players cannot be accepted"),
        };
        let mut hall = Hall { poll, shaking: BTreeMap::new(), due: BTreeSet::new() };
        let mut accepting = Accepting::default();
        let mut events = Vec::with_capacity(256);
        while !self.stop.load(Ordering::Acquire) {
            let now = self.clock.now();
            let next = hall.due.first().map_or(1_000_000, |(due, _)| due.saturating_sub(now).min(1_000_000));
            let wait = timespec(next.max(1_000));
            events.clear();
            // Interrupted, it is looked again.
            let _ = epoll::wait(&hall.poll, spare_capacity(&mut events), Some(&wait));
            for event in &events {
                match event.data.u64() {
                    LISTENER => self.accept_some(listener, &mut hall, &mut accepting),
                    id => {
                        if let Err(shortage) = self.hear(ClientId(id), &mut hall) {
                            self.note(&mut accepting, Some(shortage));
                        }
                    }
                }
            }
            let now = self.clock.now();
            while let Some((_, id)) = hall.due.first().copied().filter(|(due, _)| *due <= now) {
                if let Some(one) = hall.take(id) {
                    tracing::debug!(client = id.0, "a handshake has taken too long");
                    one.outbox.close();
                    self.entrance.left(id);
                }
            }
        }
    }

    /// Takes in a few of those that wait, so that those that shake hands are heard in between.
    fn accept_some(&self, listener: &TcpListener, hall: &mut Hall, accepting: &mut Accepting) {
        for _ in 0..AT_ONCE {
            let shortage = match listener.accept() {
                Ok((stream, from)) => self.accepted(stream, from, hall).err(),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => Shortage::of(error.raw_os_error()),
            };
            self.note(accepting, shortage);
            if shortage.is_some() {
                return;
            }
        }
    }

    fn note(&self, accepting: &mut Accepting, shortage: Option<Shortage>) {
        let Some(shortage) = shortage else { return accepting.went_well() };
        let step = accepting.short(self.clock.now(), shortage);
        if let Some(times) = step.tell {
            tracing::warn!(?shortage, times, "players cannot be taken: what is open goes on");
        }
        thread::sleep(Duration::from_micros(step.pause));
    }

    fn accepted(&self, stream: TcpStream, from: SocketAddr, hall: &mut Hall) -> Result<(), Shortage> {
        let id = ClientId(self.clients.fetch_add(1, Ordering::Relaxed));
        let _ = stream.set_nodelay(true);
        let _ = stream.set_nonblocking(true);
        let edges = &self.settings.edges;
        // A second net below the pings, for a peer whose machine is gone.
        let socket = SockRef::from(&stream);
        let alive = TcpKeepalive::new().with_time(edges.keep_alive).with_interval(edges.keep_alive / 3);
        let _ = socket.set_tcp_keepalive(&alive.with_retries(3));
        let _ = socket.set_tcp_user_timeout(Some(edges.keep_alive * 2));
        let stream = Arc::new(stream);
        let backlog = Backlog::new(edges.backlog, edges.stalled.as_micros() as u64);
        let outbox = Outbox::new(Arc::clone(&stream), self.clock, backlog, self.ways.flusher.clone());
        if let Err(turned) = self.entrance.knock(id, from.ip(), &outbox) {
            tracing::debug!(?turned, %from, "a player is turned away");
            outbox.send(&busy(&self.settings));
            return Ok(());
        }
        if let Err(error) = epoll::add(&hall.poll, &*stream, EventData::new_u64(id.0), EventFlags::IN) {
            self.entrance.left(id);
            return Shortage::of(Some(error.raw_os_error())).map_or(Ok(()), Err);
        }
        let watch = Watch::new(edges.watch, id.0, self.clock.now());
        hall.put(id, Shaking { stream, outbox, watch, head: Vec::new(), due: 0 });
        Ok(())
    }

    /// Something has come on a connection that shakes hands, or its end.
    fn hear(&self, id: ClientId, hall: &mut Hall) -> Result<(), Shortage> {
        let Some(mut one) = hall.take(id) else { return Ok(()) };
        let mut part = [0; 2048];
        let count = match (&*one.stream).read(&mut part) {
            Ok(count) => count,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                hall.put(id, one);
                return Ok(());
            }
            Err(_) => 0,
        };
        if count == 0 {
            // It has left, or made room for another.
            self.entrance.left(id);
            return Ok(());
        }
        one.head.extend_from_slice(&part[..count]);
        one.watch.heard(self.clock.now(), &part[..count]);
        let whole = one.head.windows(4).rev().any(|end| end == b"\r\n\r\n");
        if !whole && one.head.len() < MAX_HEAD_BYTES {
            if let Some(so_far) = one.watch.shaking() {
                self.entrance.progress(id, so_far);
            }
            hall.put(id, one);
            return Ok(());
        }
        let _ = epoll::delete(&hall.poll, &*one.stream);
        let _ = one.stream.set_nonblocking(false);
        let player = Player {
            id,
            settings: Arc::clone(&self.settings),
            clock: self.clock,
            entrance: Arc::clone(&self.entrance),
            ways: self.ways.clone(),
            outbox: Arc::clone(&one.outbox),
        };
        let outbox = Arc::clone(&one.outbox);
        if self.readers.serve((player, one)).is_err() {
            outbox.send(&busy(&self.settings));
            self.entrance.left(id);
            return Err(Shortage::Threads);
        }
        Ok(())
    }
}

/// When whoever finds the door full may come again, s.
fn retry_after(settings: &Settings) -> u64 {
    settings.module.max_hold_off.div_ceil(1_000_000)
}

/// An answer to whoever finds the door full, with the time to come again in (RFC 9110 section 10.2.3).
fn busy(settings: &Settings) -> Vec<u8> {
    let after = retry_after(settings);
    let head = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n";
    format!("{head}Retry-After: {after}\r\n\r\n").into_bytes()
}

struct Player {
    id: ClientId,
    settings: Arc<Settings>,
    clock: Clock,
    entrance: Arc<Entrance>,
    ways: Ways,
    outbox: Arc<Outbox>,
}

/// The two ways of a player's socket: reads are watched, writes go through the outbox and never wait.
struct Duplex {
    read: Arc<TcpStream>,
    /// What was read of it before it had this thread.
    head: io::Cursor<Vec<u8>>,
    write: Arc<Outbox>,
    watch: Watch,
    clock: Clock,
    client: ClientId,
    entrance: Arc<Entrance>,
    /// Why the watch ended the connection.
    ended: Option<Sight>,
}

impl Read for Duplex {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let before = self.head.read(buffer)?;
        if before > 0 {
            return Ok(before);
        }
        loop {
            let now = self.clock.now();
            match self.watch.look(now) {
                Sight::Fine => {}
                Sight::Ping => self.write.send(&ping()),
                Sight::Newcomer if !self.entrance.in_reserve(self.client) => self.watch.returned(),
                sight => {
                    self.ended = Some(sight);
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
            let wait = self.watch.due().saturating_sub(now).clamp(1_000, 3_600_000_000);
            self.read.set_read_timeout(Some(Duration::from_micros(wait)))?;
            match (&*self.read).read(buffer) {
                Ok(count) => {
                    self.watch.heard(self.clock.now(), &buffer[..count]);
                    if let Some(so_far) = self.watch.shaking() {
                        self.entrance.progress(self.client, so_far);
                    }
                    if self.watch.noisy() {
                        // Before the WebSocket's reader sees them, and answers each.
                        continue;
                    }
                    return Ok(count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // The second net: the peer's machine is gone or cannot be reached.
                Err(error) => {
                    use io::ErrorKind::{HostUnreachable, NetworkUnreachable, TimedOut};
                    if matches!(error.kind(), TimedOut | HostUnreachable | NetworkUnreachable) {
                        self.ended = Some(Sight::Silent);
                    }
                    return Err(error);
                }
            }
        }
    }
}

impl Write for Duplex {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.write.send(buffer);
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Player {
    /// Serves one connection to its end.
    fn serve(&self, shaking: Shaking) {
        let duplex = Duplex {
            read: shaking.stream,
            head: io::Cursor::new(shaking.head),
            write: Arc::clone(&self.outbox),
            watch: shaking.watch,
            clock: self.clock,
            client: self.id,
            entrance: Arc::clone(&self.entrance),
            ended: None,
        };
        let mut place = Place::Ordinary;
        #[allow(clippy::result_large_err)]
        let enter = |request: &Request, response: Response| self.negotiate(request, response, &mut place);
        let mut socket = match tungstenite::accept_hdr_with_config(duplex, enter, Some(self.config())) {
            Ok(socket) => socket,
            Err(error) => {
                tracing::debug!(client = self.id.0, %error, "no handshake");
                self.outbox.end();
                return;
            }
        };
        let only_back = place == Place::Reserve;
        socket.get_mut().watch.entered(self.clock.now(), only_back);
        let calls = Calls::new(self.id, self.settings.edges.opens, only_back);
        let share = Arc::new(Mutex::new(Share::new(self.clock.now())));
        let port = ClientSink::socket(Arc::clone(&self.outbox), calls, Arc::clone(&share));
        if self.ways.engine.send(EngineMessage::Attach(self.id, port)).is_ok() {
            let duplex = self.read(socket, &share);
            let lost = matches!(duplex.ended, Some(Sight::Silent | Sight::Slow));
            let gone = if lost { Input::ClientLost(self.id) } else { Input::ClientClosed(self.id) };
            let _ = self.ways.engine.send(EngineMessage::Input(gone));
            // Bytes left unread would have the close answered by a reset, and the reason for it lost.
            self.outbox.end();
            let _ = duplex.read.set_read_timeout(Some(LINGER));
            let _ = io::copy(&mut (&*duplex.read).take(1 << 20), &mut io::sink());
        }
        self.outbox.close();
    }

    fn config(&self) -> WebSocketConfig {
        // The library's buffers of 128 kB a connection would be most of its memory.
        WebSocketConfig::default()
            .read_buffer_size(4 * 1024)
            .write_buffer_size(0)
            .max_message_size(Some(self.settings.edges.message))
            .max_frame_size(Some(self.settings.edges.message))
    }

    fn read(&self, mut socket: WebSocket<Duplex>, share: &Arc<Mutex<Share>>) -> Duplex {
        let mut allowance = Allowance::new(self.settings.edges.gate, self.clock.now());
        loop {
            let read = socket.read();
            let message = match read {
                Ok(Message::Text(text)) => Some(rpc::read(text.as_str(), &self.settings)),
                Ok(Message::Binary(_)) => {
                    farewell(&self.outbox, CloseCode::Unsupported, "calls are text messages");
                    break;
                }
                // Pings are answered by the library as it reads on.
                Ok(_) => None,
                Err(error) => {
                    self.failed(&error, socket.get_ref().ended);
                    break;
                }
            };
            let (frees, asks) = message.as_ref().map_or((0, 0), rpc::Message::weigh);
            let allowed = match asks {
                0 => Allowed::Yes,
                some => allowance.take(some, self.clock.now(), self.entrance.inside()),
            };
            let pause = match (allowed, message) {
                (Allowed::Cut, _) => {
                    farewell(&self.outbox, CloseCode::Policy, "far too many calls");
                    break;
                }
                (_, None) => Some(0),
                (Allowed::Yes, Some(message)) => self.hand_on(message, frees, share),
                (Allowed::Later(after), Some(message)) => {
                    let more = self.hand_on(message.held_back(after), frees, share);
                    more.map(|pause| pause.max(after))
                }
            };
            // Told at once, and read on later: whoever asks for too much fills its own socket, and nobody's thread.
            match pause.map(|pause| pause.min(PAUSE_MOST)) {
                None => break,
                Some(0) => {}
                Some(pause) => {
                    // Gone meanwhile, nothing of what it sent is of use to anybody; its thread must not stay.
                    if hung_up(&socket.get_ref().read, pause) {
                        break;
                    }
                    socket.get_mut().watch.held_up(pause);
                }
            }
        }
        socket.into_inner()
    }

    /// Hands a message on to the front's thread, or answers it here where nothing of it is taken. Returns how long
    /// to wait before reading on, or nothing where the front has ended.
    fn hand_on(&self, message: rpc::Message, frees: u64, share: &Arc<Mutex<Share>>) -> Option<u64> {
        let asks = message.takes();
        if frees + asks == 0 {
            if let Some(errors) = rpc::only_errors(&message) {
                self.outbox.send(&text_frame(errors.to_string()));
            }
            return Some(0);
        }
        let inside = self.entrance.inside();
        let (turn, charge) = hold(share).take(self.clock.now(), frees + asks, inside);
        if turn == Turn::Ahead {
            return self.ways.engine.send(EngineMessage::Calls(self.taken(message, charge))).ok().map(|()| 0);
        }
        let pause = hold(share).pause(inside).max(1_000);
        if frees == 0 {
            // Counted before it is sent, so that no more than so many are ever under way.
            if self.ways.over.fetch_add(1, Ordering::Relaxed) < self.settings.edges.calls_over {
                return self
                    .ways
                    .engine
                    .send(EngineMessage::DeferredCalls(self.taken(message, charge)))
                    .ok()
                    .map(|()| 0);
            }
            self.ways.over.fetch_sub(1, Ordering::Relaxed);
            hold(share).give_back(charge);
            return self.hand_on(message.held_back(pause), 0, share).map(|_| pause);
        }
        // What frees is always taken; its sender is read on the later for it.
        let message = if asks > 0 { message.held_back(pause) } else { message };
        self.ways.engine.send(EngineMessage::Calls(self.taken(message, charge))).ok().map(|()| pause)
    }

    fn taken(&self, message: rpc::Message, charge: Charge) -> ReceivedMessage {
        ReceivedMessage { client: self.id, message, charge }
    }

    /// Tells the player why its connection ends, as RFC 6455 section 7.4.1 has the codes.
    fn failed(&self, error: &Error, ended: Option<Sight>) {
        tracing::debug!(client = self.id.0, %error, ?ended, "connection ends");
        let (code, reason) = match (error, ended) {
            (_, Some(Sight::Slow)) => (CloseCode::Policy, "a message was begun and not ended".into()),
            (_, Some(Sight::Silent)) => (CloseCode::Policy, "pings were not answered".into()),
            (_, Some(Sight::Noisy)) => (CloseCode::Policy, "far too many control frames".into()),
            (_, Some(Sight::Newcomer)) => {
                (CloseCode::Again, "the front is full: only viewers that come back are let in".into())
            }
            (Error::Utf8(_), _) => (CloseCode::Invalid, error.to_string()),
            (Error::Capacity(_), _) => (CloseCode::Size, error.to_string()),
            (Error::Protocol(_), _) => (CloseCode::Protocol, error.to_string()),
            _ => return,
        };
        farewell(&self.outbox, code, &reason);
    }

    /// The player must offer the sub-protocol: what it speaks otherwise is not known. And there must be a place.
    // The library gives the size of the error.
    #[allow(clippy::result_large_err)]
    fn negotiate(
        &self,
        request: &Request,
        mut response: Response,
        place: &mut Place,
    ) -> Result<Response, ErrorResponse> {
        let offered = request.headers().get_all("Sec-WebSocket-Protocol");
        let names = offered.iter().filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
        if !names.map(str::trim).any(|name| name == SUB_PROTOCOL) {
            let text = format!("offer the sub-protocol {SUB_PROTOCOL} in Sec-WebSocket-Protocol\n");
            let mut refusal = ErrorResponse::new(Some(text));
            *refusal.status_mut() = StatusCode::BAD_REQUEST;
            return Err(refusal);
        }
        *place = self.entrance.enter(self.id).map_err(|turned: Turned| {
            tracing::debug!(client = self.id.0, ?turned, "no place for a player");
            let mut refusal = ErrorResponse::new(Some("the front is full\n".into()));
            *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            refusal.headers_mut().insert("Retry-After", HeaderValue::from(retry_after(&self.settings)));
            refusal
        })?;
        response.headers_mut().insert("Sec-WebSocket-Protocol", HeaderValue::from_static(SUB_PROTOCOL));
        Ok(response)
    }
}

/// Waits for this long, or until the peer has hung up. Danger: a thread that sleeps on for a peer that has left, while
/// that comes again at once, is one more thread each time.
fn hung_up(stream: &TcpStream, pause: u64) -> bool {
    let mut ends = [PollFd::new(stream, PollFlags::RDHUP)];
    poll(&mut ends, Some(&timespec(pause))).is_ok_and(|ready| ready > 0)
}

fn hold<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes the frame by which a connection ends, and why.
pub fn farewell(outbox: &Arc<Outbox>, code: CloseCode, reason: &str) {
    // A control frame holds 125 bytes at most (RFC 6455 section 5.5), and no half a character.
    let reason: String = reason.chars().filter(char::is_ascii).take(100).collect();
    let frame = Frame::close(Some(CloseFrame { code, reason: reason.into() }));
    let mut bytes = Vec::new();
    if frame.format(&mut bytes).is_ok() {
        outbox.send(&bytes);
    }
}

/// A ping with nothing in it.
fn ping() -> Vec<u8> {
    let mut bytes = Vec::with_capacity(2);
    // Writing to memory does not fail.
    let _ = Frame::ping(Vec::new()).format(&mut bytes);
    bytes
}
