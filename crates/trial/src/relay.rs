//! The relay between the processes of a trial: one UDP socket for all datagrams and one TCP listener for all connections.
//! Each datagram arrives with its destination address as a header and is forwarded with its source address; each
//! connection begins with both addresses. [`Net`] decides on delay, loss and cuts.
//!
//! Bytes of a connection are forwarded in order, with the delay that [`Net`] returns. Lost bytes are delayed by the time
//! that a TCP retransmission takes. While a link is cut nothing is forwarded, and a connection on a link that was cut for
//! [`CUT_CLOSE_TIMEOUT`] is closed on both sides.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use salttally_members::wire::relay_header;

use crate::net::{Net, RETRANSMIT_TIMEOUT};
use crate::processes::Clock;
use crate::Micros;

/// Stack size of the threads that serve connections, two for each connection.
const STACK_SIZE_BYTES: usize = 128 * 1024;
/// Time for which a link has to be cut until its connections are closed, us.
pub const CUT_CLOSE_TIMEOUT: Micros = 5_000_000;
/// Largest number of delayed chunks, of up to 16 kB each, that a connection queues in one direction; beyond it the
/// sender is blocked, as with TCP.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Number of ports that are tried before binding fails.
const MAX_BIND_ATTEMPTS: usize = 64;

/// Traffic counters of a relay.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Datagrams received.
    pub datagrams_in: AtomicU64,
    /// Bytes of the datagrams received, without the address header.
    pub datagram_bytes: AtomicU64,
    /// Datagrams forwarded, with duplicates.
    pub datagrams_out: AtomicU64,
    /// Bytes received on connections.
    pub stream_bytes: AtomicU64,
}

/// A running relay; it stops when dropped.
pub struct Relay {
    /// Address to which fronts send.
    pub address: SocketAddr,
    /// Link state.
    pub net: Arc<Mutex<Net>>,
    /// Traffic counters.
    pub traffic: Arc<Traffic>,
    stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Binds a UDP socket and a TCP listener to the same port. Danger: a port that is free for one protocol may be in use for
/// the other, by any connection of this machine.
fn bind_shared_port() -> io::Result<(UdpSocket, TcpListener)> {
    let mut attempts = 0;
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        match UdpSocket::bind(listener.local_addr()?) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempts < MAX_BIND_ATTEMPTS => {
                attempts += 1
            }
            socket => return Ok((socket?, listener)),
        }
    }
}

impl Relay {
    /// Starts a relay between the fronts at these addresses.
    ///
    /// # Errors
    /// No port or thread is available.
    pub fn start(net: Net, fronts: &[SocketAddrV4], seed: u64, clock: Clock) -> io::Result<Relay> {
        let (socket, listener) = bind_shared_port()?;
        let address = socket.local_addr()?;
        let (net, traffic) = (Arc::new(Mutex::new(net)), Arc::new(Traffic::default()));
        let stopping = Arc::new(AtomicBool::new(false));
        let front_by_address: BTreeMap<SocketAddrV4, usize> =
            fronts.iter().enumerate().map(|(front, address)| (*address, front)).collect();
        let datagram_relay = DatagramRelay {
            socket,
            front_by_address,
            net: Arc::clone(&net),
            traffic: Arc::clone(&traffic),
            rng: Pcg32::seed_from_u64(seed),
            clock,
            pending: BTreeMap::new(),
            next_sequence: 0,
        };
        let connection_relay = ConnectionRelay {
            listener,
            front_by_address: datagram_relay.front_by_address.clone(),
            net: Arc::clone(&net),
            traffic: Arc::clone(&traffic),
            clock,
            seed,
            stopping: Arc::clone(&stopping),
        };
        connection_relay.listener.set_nonblocking(true)?;
        thread::Builder::new()
            .name("relay-tcp".into())
            .stack_size(STACK_SIZE_BYTES)
            .spawn(move || connection_relay.run())?;
        let thread_stopping = Arc::clone(&stopping);
        let thread = thread::Builder::new()
            .name("relay".into())
            .spawn(move || datagram_relay.run(&thread_stopping))?;
        Ok(Relay { address, net, traffic, stopping, thread: Some(thread) })
    }

    /// Locks the link state for changes.
    pub fn net(&self) -> MutexGuard<'_, Net> {
        lock(&self.net)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Forwards datagrams.
struct DatagramRelay {
    socket: UdpSocket,
    front_by_address: BTreeMap<SocketAddrV4, usize>,
    net: Arc<Mutex<Net>>,
    traffic: Arc<Traffic>,
    rng: Pcg32,
    clock: Clock,
    pending: BTreeMap<(Micros, u64), (SocketAddrV4, Vec<u8>)>,
    next_sequence: u64,
}

impl DatagramRelay {
    fn run(mut self, stopping: &AtomicBool) {
        let mut bytes = [0; 2_048];
        while !stopping.load(Ordering::Acquire) {
            let now = self.clock.now();
            let wait = self.pending.first_key_value().map_or(20_000, |((at, _), _)| at.saturating_sub(now));
            let _ = self.socket.set_read_timeout(Some(Duration::from_micros(wait.clamp(50, 20_000))));
            if let Ok((count, SocketAddr::V4(from))) = self.socket.recv_from(&mut bytes) {
                self.accept_datagram(from, &bytes[..count]);
            }
            let now = self.clock.now();
            while let Some(entry) = self.pending.first_entry().filter(|entry| entry.key().0 <= now) {
                let (to, datagram) = entry.remove();
                // A datagram to a front that is not running is lost.
                let _ = self.socket.send_to(&datagram, to);
                self.traffic.datagrams_out.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn accept_datagram(&mut self, from: SocketAddrV4, bytes: &[u8]) {
        let Some((to, payload)) = relay_header::split(bytes) else { return };
        self.traffic.datagrams_in.fetch_add(1, Ordering::Relaxed);
        self.traffic.datagram_bytes.fetch_add(payload.len() as u64, Ordering::Relaxed);
        let (Some(a), Some(b)) = (self.front_by_address.get(&from), self.front_by_address.get(&to)) else {
            return;
        };
        let now = self.clock.now();
        let datagram = relay_header::prepend(from, payload);
        for delay in lock(&self.net).delivery_delays(now, *a, *b, &mut self.rng) {
            self.next_sequence += 1;
            self.pending.insert((now + delay, self.next_sequence), (to, datagram.clone()));
        }
    }
}

/// Accepts connections and starts their forwarders.
struct ConnectionRelay {
    listener: TcpListener,
    front_by_address: BTreeMap<SocketAddrV4, usize>,
    net: Arc<Mutex<Net>>,
    traffic: Arc<Traffic>,
    clock: Clock,
    seed: u64,
    stopping: Arc<AtomicBool>,
}

/// Forwards one direction of a connection.
struct StreamForwarder {
    from: TcpStream,
    to: TcpStream,
    link: (usize, usize),
    net: Arc<Mutex<Net>>,
    traffic: Arc<Traffic>,
    clock: Clock,
    rng: Pcg32,
    stopping: Arc<AtomicBool>,
}

impl ConnectionRelay {
    fn run(self) {
        let mut count = 0;
        while !self.stopping.load(Ordering::Acquire) {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    count += 1;
                    let _ = self.serve(stream, count);
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, from: TcpStream, count: u64) -> io::Result<()> {
        from.set_nonblocking(false)?;
        let (front_by_address, stopping) = (self.front_by_address.clone(), Arc::clone(&self.stopping));
        let (net, traffic, clock, seed) =
            (Arc::clone(&self.net), Arc::clone(&self.traffic), self.clock, self.seed);
        let serve = move || -> io::Result<()> {
            let mut from = from;
            from.set_read_timeout(Some(Duration::from_secs(5)))?;
            let mut header = [0; 2 * relay_header::LENGTH_BYTES];
            from.read_exact(&mut header)?;
            let endpoints = relay_header::split(&header)
                .and_then(|(source, rest)| Some((source, relay_header::split(rest)?.0)));
            let Some((source, peer)) = endpoints else { return Ok(()) };
            let (Some(a), Some(b)) =
                (front_by_address.get(&source).copied(), front_by_address.get(&peer).copied())
            else {
                return Ok(());
            };
            // No connection is established over a cut link.
            if lock(&net).is_cut(a, b) || lock(&net).is_cut(b, a) {
                return Ok(());
            }
            let to = TcpStream::connect_timeout(&peer.into(), Duration::from_secs(1))?;
            for stream in [&from, &to] {
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(Duration::from_millis(50)))?;
                stream.set_write_timeout(Some(Duration::from_secs(5)))?;
            }
            let forwarder = |from: TcpStream, to: TcpStream, link: (usize, usize)| StreamForwarder {
                from,
                to,
                link,
                net: Arc::clone(&net),
                traffic: Arc::clone(&traffic),
                clock,
                rng: Pcg32::seed_from_u64(seed ^ count << 1 ^ u64::from(link.0 < link.1)),
                stopping: Arc::clone(&stopping),
            };
            let reverse = forwarder(to.try_clone()?, from.try_clone()?, (b, a));
            thread::Builder::new()
                .name("pump".into())
                .stack_size(STACK_SIZE_BYTES)
                .spawn(move || reverse.run())?;
            forwarder(from, to, (a, b)).run();
            Ok(())
        };
        thread::Builder::new().name("pump".into()).stack_size(STACK_SIZE_BYTES).spawn(serve).map(drop)
    }
}

impl StreamForwarder {
    fn run(mut self) {
        let mut pending: VecDeque<(Micros, Vec<u8>)> = VecDeque::new();
        let (mut bytes, mut last_forward_time, mut cut_since) = ([0; 16 * 1024], 0, None);
        while !self.stopping.load(Ordering::Acquire) {
            let now = self.clock.now();
            if lock(&self.net).is_cut(self.link.0, self.link.1) {
                // Nothing is forwarded. Queued bytes follow after the cut unless the connection is closed before.
                if *cut_since.get_or_insert(now) + CUT_CLOSE_TIMEOUT <= now {
                    break;
                }
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            cut_since = None;
            while pending.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, chunk)) = pending.pop_front() else { break };
                if self.to.write_all(&chunk).is_err() {
                    return self.close();
                }
            }
            let wait = pending.front().map_or(20_000, |(at, _)| at.saturating_sub(now)).clamp(100, 20_000);
            if pending.len() >= MAX_QUEUED_CHUNKS {
                thread::sleep(Duration::from_micros(wait));
                continue;
            }
            let _ = self.from.set_read_timeout(Some(Duration::from_micros(wait)));
            match self.from.read(&mut bytes) {
                Ok(0) => break,
                Ok(count) => {
                    self.traffic.stream_bytes.fetch_add(count as u64, Ordering::Relaxed);
                    last_forward_time = self.forward_time(now).max(last_forward_time);
                    pending.push_back((last_forward_time, bytes[..count].to_vec()));
                }
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        for (_, chunk) in pending {
            if cut_since.is_some() || self.to.write_all(&chunk).is_err() {
                break;
            }
        }
        self.close();
    }

    /// Returns the time at which bytes received now are to be forwarded, us.
    fn forward_time(&mut self, now: Micros) -> Micros {
        let mut retransmit_delay = 0;
        loop {
            let delays = lock(&self.net).delivery_delays(now, self.link.0, self.link.1, &mut self.rng);
            match delays.first() {
                Some(delay) => return now + delay + retransmit_delay,
                None if retransmit_delay < 16 * RETRANSMIT_TIMEOUT => {
                    retransmit_delay = retransmit_delay * 2 + RETRANSMIT_TIMEOUT
                }
                None => return now + retransmit_delay,
            }
        }
    }

    fn close(&self) {
        let _ = (self.from.shutdown(Shutdown::Both), self.to.shutdown(Shutdown::Both));
    }
}
