//! The relay between processes: one UDP socket by which all datagrams of a trial go, and one TCP listener by which all
//! connections go. Each datagram comes with the address that it is for ahead of it, and goes on with the address that it is
//! from; each connection begins with both. What becomes of them is [`Net`]'s.
//!
//! What comes on a connection is sent on in order, as late as [`Net`] says. Where it says that it is lost, it is late by
//! what TCP takes to send it again; for as long as a link is cut nothing passes, and a connection that was cut for
//! [`GIVEN_UP`] is closed on both sides.

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

use crate::net::{Net, AGAIN};
use crate::processes::Clock;
use crate::Micros;

/// Stacks of the threads that serve connections; each has two.
const STACK: usize = 128 * 1024;
/// A connection on a link that was cut for so long is closed.
pub const GIVEN_UP: Micros = 5_000_000;
/// What one connection holds at most while it is late, parts of up to 16 kB; a sender of more waits, as with TCP.
const HELD: usize = 256;

/// Ports that are tried before there is none to be had.
const PORT_TRIES: usize = 64;

/// What went by the relay.
#[derive(Debug, Default)]
pub struct Passed {
    /// Datagrams that came.
    pub came: AtomicU64,
    /// Their bytes, without the address.
    pub bytes: AtomicU64,
    /// Copies that went on.
    pub went: AtomicU64,
    /// Bytes that came on connections.
    pub streamed: AtomicU64,
}

/// A running relay; it ends with this value.
pub struct Relay {
    /// Where fronts send to.
    pub address: SocketAddr,
    /// The links.
    pub net: Arc<Mutex<Net>>,
    /// What went by.
    pub passed: Arc<Passed>,
    over: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

fn hold<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A port for datagrams and for connections. Danger: one that is free for the first may be in use for the other, by any
/// connection of this machine.
fn one_port() -> io::Result<(UdpSocket, TcpListener)> {
    let mut tries = 0;
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        match UdpSocket::bind(listener.local_addr()?) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries < PORT_TRIES => tries += 1,
            socket => return Ok((socket?, listener)),
        }
    }
}

impl Relay {
    /// Starts one between the fronts at these addresses.
    ///
    /// # Errors
    /// No address or no thread to be had.
    pub fn start(net: Net, fronts: &[SocketAddrV4], seed: u64, clock: Clock) -> io::Result<Relay> {
        let (socket, listener) = one_port()?;
        let address = socket.local_addr()?;
        let (net, passed) = (Arc::new(Mutex::new(net)), Arc::new(Passed::default()));
        let over = Arc::new(AtomicBool::new(false));
        let places: BTreeMap<SocketAddrV4, usize> =
            fronts.iter().enumerate().map(|(place, address)| (*address, place)).collect();
        let work = Work {
            socket,
            places,
            net: Arc::clone(&net),
            passed: Arc::clone(&passed),
            rng: Pcg32::seed_from_u64(seed),
            clock,
            waiting: BTreeMap::new(),
            next: 0,
        };
        let streams = Streams {
            listener,
            places: work.places.clone(),
            net: Arc::clone(&net),
            passed: Arc::clone(&passed),
            clock,
            seed,
            over: Arc::clone(&over),
        };
        streams.listener.set_nonblocking(true)?;
        thread::Builder::new().name("relay-tcp".into()).stack_size(STACK).spawn(move || streams.run())?;
        let ends = Arc::clone(&over);
        let thread = thread::Builder::new().name("relay".into()).spawn(move || work.run(&ends))?;
        Ok(Relay { address, net, passed, over, thread: Some(thread) })
    }

    /// The links, to be changed.
    pub fn net(&self) -> MutexGuard<'_, Net> {
        hold(&self.net)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Work {
    socket: UdpSocket,
    places: BTreeMap<SocketAddrV4, usize>,
    net: Arc<Mutex<Net>>,
    passed: Arc<Passed>,
    rng: Pcg32,
    clock: Clock,
    waiting: BTreeMap<(Micros, u64), (SocketAddrV4, Vec<u8>)>,
    next: u64,
}

impl Work {
    fn run(mut self, over: &AtomicBool) {
        let mut bytes = [0; 2_048];
        while !over.load(Ordering::Acquire) {
            let now = self.clock.now();
            let wait = self.waiting.first_key_value().map_or(20_000, |((at, _), _)| at.saturating_sub(now));
            let _ = self.socket.set_read_timeout(Some(Duration::from_micros(wait.clamp(50, 20_000))));
            if let Ok((count, SocketAddr::V4(from))) = self.socket.recv_from(&mut bytes) {
                self.take(from, &bytes[..count]);
            }
            let now = self.clock.now();
            while let Some(entry) = self.waiting.first_entry().filter(|entry| entry.key().0 <= now) {
                let (to, datagram) = entry.remove();
                // A front that is not there loses it.
                let _ = self.socket.send_to(&datagram, to);
                self.passed.went.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn take(&mut self, from: SocketAddrV4, bytes: &[u8]) {
        let Some((to, said)) = relay_header::split(bytes) else { return };
        self.passed.came.fetch_add(1, Ordering::Relaxed);
        self.passed.bytes.fetch_add(said.len() as u64, Ordering::Relaxed);
        let (Some(a), Some(b)) = (self.places.get(&from), self.places.get(&to)) else { return };
        let now = self.clock.now();
        let datagram = relay_header::prepend(from, said);
        for delay in hold(&self.net).fate(now, *a, *b, &mut self.rng) {
            self.next += 1;
            self.waiting.insert((now + delay, self.next), (to, datagram.clone()));
        }
    }
}

struct Streams {
    listener: TcpListener,
    places: BTreeMap<SocketAddrV4, usize>,
    net: Arc<Mutex<Net>>,
    passed: Arc<Passed>,
    clock: Clock,
    seed: u64,
    over: Arc<AtomicBool>,
}

/// One way of one connection.
struct Pump {
    from: TcpStream,
    to: TcpStream,
    link: (usize, usize),
    net: Arc<Mutex<Net>>,
    passed: Arc<Passed>,
    clock: Clock,
    rng: Pcg32,
    over: Arc<AtomicBool>,
}

impl Streams {
    fn run(self) {
        let mut count = 0;
        while !self.over.load(Ordering::Acquire) {
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
        let (places, over) = (self.places.clone(), Arc::clone(&self.over));
        let (net, passed, clock, seed) =
            (Arc::clone(&self.net), Arc::clone(&self.passed), self.clock, self.seed);
        let serve = move || -> io::Result<()> {
            let mut from = from;
            from.set_read_timeout(Some(Duration::from_secs(5)))?;
            let mut ahead = [0; 2 * relay_header::LENGTH_BYTES];
            from.read_exact(&mut ahead)?;
            let ends =
                relay_header::split(&ahead).and_then(|(own, rest)| Some((own, relay_header::split(rest)?.0)));
            let Some((own, peer)) = ends else { return Ok(()) };
            let (Some(a), Some(b)) = (places.get(&own).copied(), places.get(&peer).copied()) else {
                return Ok(());
            };
            // A link that is cut lets no connection come about.
            if hold(&net).is_cut(a, b) || hold(&net).is_cut(b, a) {
                return Ok(());
            }
            let to = TcpStream::connect_timeout(&peer.into(), Duration::from_secs(1))?;
            for stream in [&from, &to] {
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(Duration::from_millis(50)))?;
                stream.set_write_timeout(Some(Duration::from_secs(5)))?;
            }
            let pump = |from: TcpStream, to: TcpStream, link: (usize, usize)| Pump {
                from,
                to,
                link,
                net: Arc::clone(&net),
                passed: Arc::clone(&passed),
                clock,
                rng: Pcg32::seed_from_u64(seed ^ count << 1 ^ u64::from(link.0 < link.1)),
                over: Arc::clone(&over),
            };
            let back = pump(to.try_clone()?, from.try_clone()?, (b, a));
            thread::Builder::new().name("pump".into()).stack_size(STACK).spawn(move || back.run())?;
            pump(from, to, (a, b)).run();
            Ok(())
        };
        thread::Builder::new().name("pump".into()).stack_size(STACK).spawn(serve).map(drop)
    }
}

impl Pump {
    fn run(mut self) {
        let mut waiting: VecDeque<(Micros, Vec<u8>)> = VecDeque::new();
        let (mut bytes, mut last, mut cut) = ([0; 16 * 1024], 0, None);
        while !self.over.load(Ordering::Acquire) {
            let now = self.clock.now();
            if hold(&self.net).is_cut(self.link.0, self.link.1) {
                // Nothing passes; what was on its way comes after, if the connection lives so long.
                if *cut.get_or_insert(now) + GIVEN_UP <= now {
                    break;
                }
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            cut = None;
            while waiting.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, part)) = waiting.pop_front() else { break };
                if self.to.write_all(&part).is_err() {
                    return self.close();
                }
            }
            let wait = waiting.front().map_or(20_000, |(at, _)| at.saturating_sub(now)).clamp(100, 20_000);
            if waiting.len() >= HELD {
                thread::sleep(Duration::from_micros(wait));
                continue;
            }
            let _ = self.from.set_read_timeout(Some(Duration::from_micros(wait)));
            match self.from.read(&mut bytes) {
                Ok(0) => break,
                Ok(count) => {
                    self.passed.streamed.fetch_add(count as u64, Ordering::Relaxed);
                    last = self.late(now).max(last);
                    waiting.push_back((last, bytes[..count].to_vec()));
                }
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        for (_, part) in waiting {
            if cut.is_some() || self.to.write_all(&part).is_err() {
                break;
            }
        }
        self.close();
    }

    /// When what comes now is to go on.
    fn late(&mut self, now: Micros) -> Micros {
        let mut again = 0;
        loop {
            let fate = hold(&self.net).fate(now, self.link.0, self.link.1, &mut self.rng);
            match fate.first() {
                Some(delay) => return now + delay + again,
                None if again < 16 * AGAIN => again = again * 2 + AGAIN,
                None => return now + again,
            }
        }
    }

    fn close(&self) {
        let _ = (self.from.shutdown(Shutdown::Both), self.to.shutdown(Shutdown::Both));
    }
}
