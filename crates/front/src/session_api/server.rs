//! Accepts players over WebSocket. One thread reads all handshakes; then each connection has a thread that
//! reads its messages. Answers are written by the engine thread.

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

use super::connections::Connections;
use super::core::accept_backoff::{AcceptBackoff, Shortage};
use super::core::admission::{DropReason, Slot};
use super::core::backlog::Backlog;
use super::core::calls::PendingCalls;
use super::core::rate_limit::{CallAllowance, RateDecision};
use super::core::thread_share::{Charge, Priority, ThreadShare};
use super::core::watchdog::{Verdict, Watchdog};
use super::outbox::{text_frame, Outbox};
use super::rpc;
use crate::clock::{timespec, Clock};
use crate::common::messages::{ClientSink, EngineMessage, ReceivedMessage};
use crate::core::{ClientId, Input};
use crate::settings::{Settings, SUB_PROTOCOL};

/// Stack of a thread that reads one player. It can be small, since messages, their JSON and the WebSocket
/// buffers are on the heap.
const READER_STACK_BYTES: usize = 128 * 1024;
/// How long a connection is still read after its close frame, so that a reset does not destroy the close
/// reason.
const CLOSE_LINGER: Duration = Duration::from_millis(100);
/// Maximum number of reader threads that wait for their next player.
const MAX_IDLE_READERS: usize = 256;
/// How long such a thread waits.
const READER_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of connections accepted before the handshakes are read again.
const ACCEPT_BATCH: usize = 64;
/// Maximum bytes of a request that are read in the handshake loop; the WebSocket library reports the error of
/// a longer one.
const MAX_REQUEST_BYTES: usize = 8 * 1024;
/// Longest delay before the next read from a player: its pongs and its close are among what it sends.
const MAX_PAUSE_US: u64 = 1_000_000;

/// Channels from the connections to other threads.
#[derive(Clone)]
pub struct ServerChannels {
    /// To the engine thread.
    pub engine: Sender<EngineMessage>,
    /// Number of deferred messages: their players have used up their share of the engine thread.
    pub deferred: Arc<AtomicUsize>,
    /// Outboxes that the socket did not empty, for the flusher thread.
    pub flusher: Sender<Arc<Outbox>>,
}

/// The listener and its thread.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop_requested: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Binds the address and starts to accept players.
    pub fn start(
        settings: Arc<Settings>,
        clock: Clock,
        clients: Arc<AtomicU64>,
        connections: Arc<Connections>,
        channels: ServerChannels,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let stop_requested = Arc::new(AtomicBool::new(false));
        let (readers, stop) = (Readers::new(), Arc::clone(&stop_requested));
        let acceptor =
            Acceptor { settings, clock, clients, connections, channels, readers, stop_requested: stop };
        let accept = move || acceptor.run(&listener);
        let thread =
            thread::Builder::new().name("players".into()).stack_size(READER_STACK_BYTES).spawn(accept)?;
        Ok(Server { address, stop_requested, thread: Some(thread) })
    }

    /// The address that players connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting players.
    pub fn stop(&mut self) {
        self.stop_requested.store(true, Ordering::Release);
        // A connection from this process wakes the accept thread.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Accepts connections and reads their handshakes, all in one thread: a peer that sends its request byte by
/// byte costs a socket and a small buffer until the request is complete, and no thread.
struct Acceptor {
    settings: Arc<Settings>,
    clock: Clock,
    clients: Arc<AtomicU64>,
    connections: Arc<Connections>,
    channels: ServerChannels,
    readers: Arc<Readers>,
    stop_requested: Arc<AtomicBool>,
}

/// A connection whose request is not complete yet.
struct Handshake {
    stream: Arc<TcpStream>,
    outbox: Arc<Outbox>,
    watchdog: Watchdog,
    request: Vec<u8>,
    due: u64,
}

/// All such connections, ordered by their next check.
struct Handshakes {
    poll: OwnedFd,
    by_client: BTreeMap<ClientId, Handshake>,
    due: BTreeSet<(u64, ClientId)>,
}

impl Handshakes {
    fn insert(&mut self, id: ClientId, mut handshake: Handshake) {
        handshake.due = handshake.watchdog.next_check();
        self.due.insert((handshake.due, id));
        self.by_client.insert(id, handshake);
    }

    fn take(&mut self, id: ClientId) -> Option<Handshake> {
        let handshake = self.by_client.remove(&id)?;
        self.due.remove(&(handshake.due, id));
        Some(handshake)
    }
}

/// Threads that read players. A thread whose player has left waits a while for the next one. Danger: with
/// thousands of players per second that come and go, creating and ending a thread for each would map and
/// unmap its memory under one lock of the whole process.
struct Readers {
    jobs_in: Sender<ReaderJob>,
    jobs_out: Receiver<ReaderJob>,
    idle_count: AtomicUsize,
}

type ReaderJob = (Player, Handshake);

impl Readers {
    fn new() -> Arc<Readers> {
        // Without a buffer: a job is taken by a waiting thread or by none.
        let (jobs_in, jobs_out) = crossbeam_channel::bounded(0);
        Arc::new(Readers { jobs_in, jobs_out, idle_count: AtomicUsize::new(0) })
    }

    /// Serves a player on a waiting thread or on a new one.
    fn serve(self: &Arc<Self>, job: ReaderJob) -> io::Result<()> {
        let job = match self.jobs_in.try_send(job) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        let readers = Arc::clone(self);
        let run = move || readers.run(job);
        thread::Builder::new().name("player".into()).stack_size(READER_STACK_BYTES).spawn(run).map(|_| ())
    }

    fn run(&self, mut job: ReaderJob) {
        loop {
            let (player, handshake) = job;
            player.serve(handshake);
            player.connections.remove(player.id);
            drop(player);
            let next = match self.idle_count.fetch_add(1, Ordering::Relaxed) {
                idle if idle < MAX_IDLE_READERS => self.jobs_out.recv_timeout(READER_IDLE_TIMEOUT).ok(),
                _ => None,
            };
            self.idle_count.fetch_sub(1, Ordering::Relaxed);
            let Some(next) = next else { return };
            job = next;
        }
    }
}

/// Event data of the listener; no client has this number.
const LISTENER_EVENT: u64 = u64::MAX;

impl Acceptor {
    fn run(&self, listener: &TcpListener) {
        let nonblocking = listener.set_nonblocking(true).map_err(|error| error.to_string());
        let created = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(|error| error.to_string());
        let poll = nonblocking.and(created).and_then(|poll| {
            let event = EventData::new_u64(LISTENER_EVENT);
            let added = epoll::add(&poll, listener, event, EventFlags::IN);
            added.map(|()| poll).map_err(|error| error.to_string())
        });
        let poll = match poll {
            Ok(poll) => poll,
            Err(error) => return tracing::error!(error, "players cannot be accepted"),
        };
        let mut handshakes = Handshakes { poll, by_client: BTreeMap::new(), due: BTreeSet::new() };
        let mut backoff = AcceptBackoff::default();
        let mut events = Vec::with_capacity(256);
        while !self.stop_requested.load(Ordering::Acquire) {
            let now = self.clock.now();
            let next =
                handshakes.due.first().map_or(1_000_000, |(due, _)| due.saturating_sub(now).min(1_000_000));
            let wait = timespec(next.max(1_000));
            events.clear();
            // After an interruption there are no events.
            let _ = epoll::wait(&handshakes.poll, spare_capacity(&mut events), Some(&wait));
            for event in &events {
                match event.data.u64() {
                    LISTENER_EVENT => self.accept_some(listener, &mut handshakes, &mut backoff),
                    id => {
                        if let Err(shortage) = self.read_handshake(ClientId(id), &mut handshakes) {
                            self.record_accept(&mut backoff, Some(shortage));
                        }
                    }
                }
            }
            let now = self.clock.now();
            while let Some((_, id)) = handshakes.due.first().copied().filter(|(due, _)| *due <= now) {
                if let Some(handshake) = handshakes.take(id) {
                    tracing::debug!(client = id.0, "handshake timed out");
                    handshake.outbox.close();
                    self.connections.remove(id);
                }
            }
        }
    }

    /// Accepts a limited number of connections, so that handshakes are read in between.
    fn accept_some(&self, listener: &TcpListener, handshakes: &mut Handshakes, backoff: &mut AcceptBackoff) {
        for _ in 0..ACCEPT_BATCH {
            let shortage = match listener.accept() {
                Ok((stream, from)) => self.start_handshake(stream, from, handshakes).err(),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => Shortage::from_os_error(error.raw_os_error()),
            };
            self.record_accept(backoff, shortage);
            if shortage.is_some() {
                return;
            }
        }
    }

    fn record_accept(&self, backoff: &mut AcceptBackoff, shortage: Option<Shortage>) {
        let Some(shortage) = shortage else { return backoff.reset() };
        let outcome = backoff.record(self.clock.now(), shortage);
        if let Some(times) = outcome.report {
            tracing::warn!(?shortage, times, "players cannot be taken: what is open goes on");
        }
        thread::sleep(Duration::from_micros(outcome.pause));
    }

    fn start_handshake(
        &self,
        stream: TcpStream,
        from: SocketAddr,
        handshakes: &mut Handshakes,
    ) -> Result<(), Shortage> {
        let id = ClientId(self.clients.fetch_add(1, Ordering::Relaxed));
        let _ = stream.set_nodelay(true);
        let _ = stream.set_nonblocking(true);
        let limits = &self.settings.io;
        // TCP keep-alive finds peers whose machine is gone, in case the pings do not.
        let socket = SockRef::from(&stream);
        let keep_alive =
            TcpKeepalive::new().with_time(limits.tcp_keep_alive).with_interval(limits.tcp_keep_alive / 3);
        let _ = socket.set_tcp_keepalive(&keep_alive.with_retries(3));
        let _ = socket.set_tcp_user_timeout(Some(limits.tcp_keep_alive * 2));
        let stream = Arc::new(stream);
        let backlog = Backlog::new(limits.max_backlog_bytes, limits.stall_timeout.as_micros() as u64);
        let outbox = Outbox::new(Arc::clone(&stream), self.clock, backlog, self.channels.flusher.clone());
        if let Err(reason) = self.connections.begin_handshake(id, from.ip(), &outbox) {
            tracing::debug!(turned = ?reason, %from, "a player is turned away");
            outbox.send(&service_unavailable(&self.settings));
            return Ok(());
        }
        if let Err(error) = epoll::add(&handshakes.poll, &*stream, EventData::new_u64(id.0), EventFlags::IN) {
            self.connections.remove(id);
            return Shortage::from_os_error(Some(error.raw_os_error())).map_or(Ok(()), Err);
        }
        let watchdog = Watchdog::new(limits.watchdog, id.0, self.clock.now());
        handshakes.insert(id, Handshake { stream, outbox, watchdog, request: Vec::new(), due: 0 });
        Ok(())
    }

    /// Reads a connection that is in the handshake and has data or has ended.
    fn read_handshake(&self, id: ClientId, handshakes: &mut Handshakes) -> Result<(), Shortage> {
        let Some(mut handshake) = handshakes.take(id) else { return Ok(()) };
        let mut buffer = [0; 2048];
        let count = match (&*handshake.stream).read(&mut buffer) {
            Ok(count) => count,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                handshakes.insert(id, handshake);
                return Ok(());
            }
            Err(_) => 0,
        };
        if count == 0 {
            // The peer has closed, or was dropped to make room for another.
            self.connections.remove(id);
            return Ok(());
        }
        handshake.request.extend_from_slice(&buffer[..count]);
        handshake.watchdog.on_bytes(self.clock.now(), &buffer[..count]);
        let complete = handshake.request.windows(4).rev().any(|end| end == b"\r\n\r\n");
        if !complete && handshake.request.len() < MAX_REQUEST_BYTES {
            if let Some(progress) = handshake.watchdog.handshake_progress() {
                self.connections.handshake_progress(id, progress);
            }
            handshakes.insert(id, handshake);
            return Ok(());
        }
        let _ = epoll::delete(&handshakes.poll, &*handshake.stream);
        let _ = handshake.stream.set_nonblocking(false);
        let player = Player {
            id,
            settings: Arc::clone(&self.settings),
            clock: self.clock,
            connections: Arc::clone(&self.connections),
            channels: self.channels.clone(),
            outbox: Arc::clone(&handshake.outbox),
        };
        let outbox = Arc::clone(&handshake.outbox);
        if self.readers.serve((player, handshake)).is_err() {
            outbox.send(&service_unavailable(&self.settings));
            self.connections.remove(id);
            return Err(Shortage::Threads);
        }
        Ok(())
    }
}

/// Seconds after which a rejected player may retry.
fn retry_after_s(settings: &Settings) -> u64 {
    settings.decision.max_hold_off.div_ceil(1_000_000)
}

/// The response to a rejected connection, with the time after which to retry (RFC 9110 section 10.2.3).
fn service_unavailable(settings: &Settings) -> Vec<u8> {
    let after = retry_after_s(settings);
    let head = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n";
    format!("{head}Retry-After: {after}\r\n\r\n").into_bytes()
}

struct Player {
    id: ClientId,
    settings: Arc<Settings>,
    clock: Clock,
    connections: Arc<Connections>,
    channels: ServerChannels,
    outbox: Arc<Outbox>,
}

/// A player's socket as the WebSocket library sees it: reads are checked by the watchdog, writes go through
/// the outbox and never block.
struct Duplex {
    read: Arc<TcpStream>,
    /// The bytes that were read before this thread took over.
    request: io::Cursor<Vec<u8>>,
    write: Arc<Outbox>,
    watchdog: Watchdog,
    clock: Clock,
    client: ClientId,
    connections: Arc<Connections>,
    /// Why the watchdog ended the connection.
    verdict: Option<Verdict>,
}

impl Read for Duplex {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.request.read(buffer)?;
        if count > 0 {
            return Ok(count);
        }
        loop {
            let now = self.clock.now();
            match self.watchdog.check(now) {
                Verdict::Continue => {}
                Verdict::SendPing => self.write.send(&ping()),
                Verdict::NotReturned if !self.connections.in_reserve(self.client) => {
                    self.watchdog.on_returned()
                }
                verdict => {
                    self.verdict = Some(verdict);
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
            let wait = self.watchdog.next_check().saturating_sub(now).clamp(1_000, 3_600_000_000);
            self.read.set_read_timeout(Some(Duration::from_micros(wait)))?;
            match (&*self.read).read(buffer) {
                Ok(count) => {
                    self.watchdog.on_bytes(self.clock.now(), &buffer[..count]);
                    if let Some(progress) = self.watchdog.handshake_progress() {
                        self.connections.handshake_progress(self.client, progress);
                    }
                    if self.watchdog.control_flood() {
                        // Disconnect before the WebSocket library sees the control frames and answers each.
                        continue;
                    }
                    return Ok(count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // TCP keep-alive or user time-out: the peer's machine is gone or unreachable.
                Err(error) => {
                    use io::ErrorKind::{HostUnreachable, NetworkUnreachable, TimedOut};
                    if matches!(error.kind(), TimedOut | HostUnreachable | NetworkUnreachable) {
                        self.verdict = Some(Verdict::Unresponsive);
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
    /// Serves one connection until it ends.
    fn serve(&self, handshake: Handshake) {
        let duplex = Duplex {
            read: handshake.stream,
            request: io::Cursor::new(handshake.request),
            write: Arc::clone(&self.outbox),
            watchdog: handshake.watchdog,
            clock: self.clock,
            client: self.id,
            connections: Arc::clone(&self.connections),
            verdict: None,
        };
        let mut slot = Slot::Regular;
        #[allow(clippy::result_large_err)]
        let on_request = |request: &Request, response: Response| self.negotiate(request, response, &mut slot);
        let mut socket = match tungstenite::accept_hdr_with_config(duplex, on_request, Some(self.config())) {
            Ok(socket) => socket,
            Err(error) => {
                tracing::debug!(client = self.id.0, %error, "handshake failed");
                self.outbox.finish();
                return;
            }
        };
        let in_reserve = slot == Slot::Reserve;
        socket.get_mut().watchdog.on_established(self.clock.now(), in_reserve);
        let calls = PendingCalls::new(self.id, self.settings.io.max_pending_opens, in_reserve);
        let share = Arc::new(Mutex::new(ThreadShare::new(self.clock.now())));
        let sink = ClientSink::socket(Arc::clone(&self.outbox), calls, Arc::clone(&share));
        if self.channels.engine.send(EngineMessage::Attach(self.id, sink)).is_ok() {
            let duplex = self.read(socket, &share);
            let may_return = matches!(duplex.verdict, Some(Verdict::Unresponsive | Verdict::TooSlow));
            let input = if may_return { Input::ClientLost(self.id) } else { Input::ClientClosed(self.id) };
            let _ = self.channels.engine.send(EngineMessage::Input(input));
            // With unread bytes the kernel would answer the close by a reset, and the peer would lose the
            // close reason.
            self.outbox.finish();
            let _ = duplex.read.set_read_timeout(Some(CLOSE_LINGER));
            let _ = io::copy(&mut (&*duplex.read).take(1 << 20), &mut io::sink());
        }
        self.outbox.close();
    }

    fn config(&self) -> WebSocketConfig {
        // The library's default buffers of 128 kB per connection would be most of its memory.
        WebSocketConfig::default()
            .read_buffer_size(4 * 1024)
            .write_buffer_size(0)
            .max_message_size(Some(self.settings.io.max_message_bytes))
            .max_frame_size(Some(self.settings.io.max_message_bytes))
    }

    fn read(&self, mut socket: WebSocket<Duplex>, share: &Arc<Mutex<ThreadShare>>) -> Duplex {
        let mut allowance = CallAllowance::new(self.settings.io.call_rate, self.clock.now());
        loop {
            let received = socket.read();
            let message = match received {
                Ok(Message::Text(text)) => Some(rpc::parse(text.as_str(), &self.settings)),
                Ok(Message::Binary(_)) => {
                    send_close(&self.outbox, CloseCode::Unsupported, "calls are text messages");
                    break;
                }
                // The library answers pings in its next read.
                Ok(_) => None,
                Err(error) => {
                    self.report_end(&error, socket.get_ref().verdict);
                    break;
                }
            };
            let (releases, requests) = message.as_ref().map_or((0, 0), rpc::Message::weights);
            let decision = match requests {
                0 => RateDecision::Allow,
                weight => allowance.charge(weight, self.clock.now(), self.connections.established()),
            };
            let pause = match (decision, message) {
                (RateDecision::Disconnect, _) => {
                    send_close(&self.outbox, CloseCode::Policy, "far too many calls");
                    break;
                }
                (_, None) => Some(0),
                (RateDecision::Allow, Some(message)) => self.forward(message, releases, share),
                (RateDecision::RetryAfter(delay), Some(message)) => {
                    let pause = self.forward(message.reject_requests(delay), releases, share);
                    pause.map(|pause| pause.max(delay))
                }
            };
            // The error is sent at once and the next read is delayed: a player that requests too much fills
            // its own socket buffer and occupies no other thread.
            match pause.map(|pause| pause.min(MAX_PAUSE_US)) {
                None => break,
                Some(0) => {}
                Some(pause) => {
                    // If the peer has left meanwhile, its messages are of no use, and this thread must not
                    // stay.
                    if wait_for_hang_up(&socket.get_ref().read, pause) {
                        break;
                    }
                    socket.get_mut().watchdog.exclude_pause(pause);
                }
            }
        }
        socket.into_inner()
    }

    /// Forwards a message to the engine thread, or answers it here if it has no call for the engine. Returns
    /// how long to wait before the next read, us, or `None` if the front has ended.
    fn forward(&self, message: rpc::Message, releases: u64, share: &Arc<Mutex<ThreadShare>>) -> Option<u64> {
        let requests = message.engine_requests();
        if releases + requests == 0 {
            if let Some(errors) = rpc::errors_only(&message) {
                self.outbox.send(&text_frame(errors.to_string()));
            }
            return Some(0);
        }
        let connections = self.connections.established();
        let (priority, charge) = lock(share).charge(self.clock.now(), releases + requests, connections);
        if priority == Priority::Normal {
            return self
                .channels
                .engine
                .send(EngineMessage::Calls(self.pending_message(message, charge)))
                .ok()
                .map(|()| 0);
        }
        let pause = lock(share).time_until_credit(connections).max(1_000);
        if releases == 0 {
            // Counted before it is sent, so that the limit also holds for concurrent senders.
            if self.channels.deferred.fetch_add(1, Ordering::Relaxed) < self.settings.io.max_deferred_calls {
                return self
                    .channels
                    .engine
                    .send(EngineMessage::DeferredCalls(self.pending_message(message, charge)))
                    .ok()
                    .map(|()| 0);
            }
            self.channels.deferred.fetch_sub(1, Ordering::Relaxed);
            lock(share).refund(charge);
            return self.forward(message.reject_requests(pause), 0, share).map(|_| pause);
        }
        // Calls that free something are always handled; instead the next read from the sender is delayed.
        let message = if requests > 0 { message.reject_requests(pause) } else { message };
        self.channels
            .engine
            .send(EngineMessage::Calls(self.pending_message(message, charge)))
            .ok()
            .map(|()| pause)
    }

    fn pending_message(&self, message: rpc::Message, charge: Charge) -> ReceivedMessage {
        ReceivedMessage { client: self.id, message, charge }
    }

    /// Sends the player the reason for the end of its connection, as a close code of RFC 6455 section 7.4.1.
    fn report_end(&self, error: &Error, verdict: Option<Verdict>) {
        tracing::debug!(client = self.id.0, %error, ended = ?verdict, "connection ended");
        let (code, reason) = match (error, verdict) {
            (_, Some(Verdict::TooSlow)) => (CloseCode::Policy, "a message was begun and not ended".into()),
            (_, Some(Verdict::Unresponsive)) => (CloseCode::Policy, "pings were not answered".into()),
            (_, Some(Verdict::ControlFlood)) => (CloseCode::Policy, "far too many control frames".into()),
            (_, Some(Verdict::NotReturned)) => {
                (CloseCode::Again, "the front is full: only viewers that come back are let in".into())
            }
            (Error::Utf8(_), _) => (CloseCode::Invalid, error.to_string()),
            (Error::Capacity(_), _) => (CloseCode::Size, error.to_string()),
            (Error::Protocol(_), _) => (CloseCode::Protocol, error.to_string()),
            _ => return,
        };
        send_close(&self.outbox, code, &reason);
    }

    /// Accepts or rejects an opening handshake. The player must offer the sub-protocol, as its protocol would
    /// be unknown otherwise, and there must be a free slot.
    // The library determines the size of the error.
    #[allow(clippy::result_large_err)]
    fn negotiate(
        &self,
        request: &Request,
        mut response: Response,
        slot: &mut Slot,
    ) -> Result<Response, ErrorResponse> {
        let offered = request.headers().get_all("Sec-WebSocket-Protocol");
        let names = offered.iter().filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
        if !names.map(str::trim).any(|name| name == SUB_PROTOCOL) {
            let text = format!("offer the sub-protocol {SUB_PROTOCOL} in Sec-WebSocket-Protocol\n");
            let mut refusal = ErrorResponse::new(Some(text));
            *refusal.status_mut() = StatusCode::BAD_REQUEST;
            return Err(refusal);
        }
        *slot = self.connections.finish_handshake(self.id).map_err(|reason: DropReason| {
            tracing::debug!(client = self.id.0, turned = ?reason, "connection rejected after its handshake");
            let mut refusal = ErrorResponse::new(Some("the front is full\n".into()));
            *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            refusal.headers_mut().insert("Retry-After", HeaderValue::from(retry_after_s(&self.settings)));
            refusal
        })?;
        response.headers_mut().insert("Sec-WebSocket-Protocol", HeaderValue::from_static(SUB_PROTOCOL));
        Ok(response)
    }
}

/// Waits for `pause`, us, or until the peer has hung up, and returns whether it has. Danger: if the thread
/// kept sleeping for a peer that has left and reconnects at once, each reconnect would add a thread.
fn wait_for_hang_up(stream: &TcpStream, pause: u64) -> bool {
    let mut events = [PollFd::new(stream, PollFlags::RDHUP)];
    poll(&mut events, Some(&timespec(pause))).is_ok_and(|ready| ready > 0)
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a close frame with a code and a reason.
pub fn send_close(outbox: &Arc<Outbox>, code: CloseCode, reason: &str) {
    // A control frame has at most 125 bytes of payload (RFC 6455 section 5.5), and a character must not be
    // cut in half.
    let reason: String = reason.chars().filter(char::is_ascii).take(100).collect();
    let frame = Frame::close(Some(CloseFrame { code, reason: reason.into() }));
    let mut bytes = Vec::new();
    if frame.format(&mut bytes).is_ok() {
        outbox.send(&bytes);
    }
}

/// An empty ping.
fn ping() -> Vec<u8> {
    let mut bytes = Vec::with_capacity(2);
    // Writing to memory does not fail.
    let _ = Frame::ping(Vec::new()).format(&mut bytes);
    bytes
}
