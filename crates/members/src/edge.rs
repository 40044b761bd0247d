//! The one thread of membership: it reads datagrams, hands them to [`Members`], and sends what that answers. It waits
//! for nobody and holds no rule.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, Sender, TryRecvError};
use thiserror::Error;

use crate::core::view::{Fact, Name};
use crate::core::{Body, Input, LocalConfig, Members, Micros, Output};
use crate::history::{self, History};
use crate::settings::Settings;
use crate::wire::{self, relay_header, KeyRing, MAX_DATAGRAM_BYTES};

/// Stack of the thread.
const STACK: usize = 256 * 1024;
/// Datagrams read before the core looks around again.
const AT_ONCE: usize = 256;

/// Why membership does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address cannot be bound.
    #[error("members: cannot listen at {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The history cannot be written.
    #[error("members: history: {0}")]
    History(io::Error),
    /// No thread to be had.
    #[error("members: no thread: {0}")]
    Thread(io::Error),
}

enum Word {
    Keys(KeyRing),
    Leave,
}

/// Who is known, and where: told anew at each change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownFront {
    /// Its name.
    pub name: Name,
    /// Where it listens, or did.
    pub address: SocketAddr,
    /// It is in the view.
    pub in_view: bool,
    /// Its zone.
    pub zone: u32,
    /// Where players reach it, if it takes any.
    pub serves: Option<SocketAddr>,
    /// Which start of its process.
    pub boot: u64,
}

/// What wants to hear of views.
pub type ViewListener = Box<dyn Fn(Vec<KnownFront>) + Send>;

/// Running membership. Dropped, it ends with no word to others.
pub struct Running {
    words: Sender<Word>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Starts it.
    ///
    /// # Errors
    /// The address cannot be bound, the history cannot be written, or there is no thread to be had.
    pub fn start(settings: &Settings) -> Result<Running, StartError> {
        Running::start_with_listener(settings, None)
    }

    /// Starts it, and tells of each view.
    ///
    /// # Errors
    /// As [`Running::start`].
    pub fn start_with_listener(
        settings: &Settings,
        listener: Option<ViewListener>,
    ) -> Result<Running, StartError> {
        let socket = UdpSocket::bind(settings.bind).map_err(|e| StartError::Bind(settings.bind, e))?;
        let mut history = History::open(settings.history.as_deref()).map_err(StartError::History)?;
        let clock = Clock::start();
        // What a process takes for the time tells its starts apart, and nothing else: a wrong clock does no harm.
        let boot =
            clock.unix().saturating_add_signed(settings.clock_offset) ^ u64::from(std::process::id()) << 44;
        history.starts(clock.unix(), &settings.name, boot);
        let own = LocalConfig {
            name: Name::clone(&settings.name),
            address: settings.advertise,
            zone: settings.zone,
            serves: settings.serves,
            boot,
            seeds: settings.seeds.clone(),
            observers: settings.observers,
            times: settings.times,
        };
        let (words, heard) = crossbeam_channel::unbounded();
        let work = Work {
            members: Members::new(own, clock.now()),
            name: Name::clone(&settings.name),
            clock,
            socket,
            keys: settings.keys.clone(),
            relay: settings.relay,
            history,
            listener,
            ignored: 0,
        };
        let thread = thread::Builder::new().name("members".into()).stack_size(STACK);
        let thread = thread.spawn(move || work.run(&heard)).map_err(StartError::Thread)?;
        Ok(Running { words, thread: Some(thread) })
    }

    /// Other keys from now on.
    pub fn set_keys(&self, keys: KeyRing) {
        let _ = self.words.send(Word::Keys(keys));
    }

    /// Leaves the view, tells others, and ends.
    pub fn leave(mut self) {
        // The thread looks at words at each of its turns, a twentieth of a second apart at most.
        let _ = self.words.send(Word::Leave);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A clock that only goes forward, and the machine's for histories.
struct Clock {
    started: Instant,
}

impl Clock {
    fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn unix(&self) -> Micros {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
    }
}

struct Work {
    members: Members,
    name: Name,
    clock: Clock,
    socket: UdpSocket,
    keys: KeyRing,
    relay: Option<SocketAddr>,
    history: History,
    listener: Option<ViewListener>,
    ignored: u64,
}

impl Work {
    fn run(mut self, words: &Receiver<Word>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + relay_header::LENGTH_BYTES + 1];
        loop {
            match words.try_recv() {
                Ok(Word::Keys(keys)) => self.keys = keys,
                Ok(Word::Leave) => {
                    self.hand(Input::Leave);
                    tracing::info!("members: left; {}", history::summary(&self.members));
                    return;
                }
                Err(TryRecvError::Disconnected) => return,
                Err(TryRecvError::Empty) => {}
            }
            let wait = self.members.next_due().saturating_sub(self.clock.now()).clamp(1_000, 1_000_000);
            let _ = self.socket.set_read_timeout(Some(Duration::from_micros(wait)));
            for _ in 0..AT_ONCE {
                match self.socket.recv_from(&mut bytes) {
                    Ok((count, from)) => self.datagram(&bytes[..count], from),
                    Err(_) => break,
                }
                // The rest only as far as it has come.
                let _ = self.socket.set_nonblocking(true);
            }
            let _ = self.socket.set_nonblocking(false);
            self.hand(Input::Tick);
        }
    }

    fn datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        // An operator's question comes without the relay.
        let via = self.relay.filter(|relay| *relay == from).and_then(|_| relay_header::split(bytes));
        let (from, bytes) = via.map_or((from, bytes), |(peer, rest)| (peer.into(), rest));
        match wire::decode(bytes, &self.keys) {
            Ok(envelope) => self.hand(Input::Received(from, Box::new(envelope))),
            Err(error) => {
                self.ignored += 1;
                if self.ignored.is_power_of_two() {
                    tracing::warn!(%from, %error, ignored = self.ignored, "members: a datagram is not used");
                }
            }
        }
    }

    fn hand(&mut self, input: Input) {
        let mut out = Vec::new();
        self.members.handle(self.clock.now(), input, &mut out);
        for output in out {
            self.history.write(self.clock.unix(), &self.name, &output);
            match output {
                Output::Send(to, envelope) => match wire::encode(&envelope, &self.keys) {
                    Ok(bytes) => self.send(to, &bytes, matches!(envelope.body, Body::Shown(..))),
                    Err(error) => tracing::error!(%error, "members: a message is not sent"),
                },
                Output::View(change) => {
                    tracing::info!(number = change.number, members = change.members.len(),
                        joined = ?change.joined, gone = ?change.gone, "members: view");
                    if let Some(listener) = &self.listener {
                        listener(self.known());
                    }
                }
                Output::Stands(stage) => tracing::info!(?stage, "members: this front stands otherwise"),
                Output::Accuses(name, on) => tracing::debug!(%name, on, "members: reached, or not"),
                Output::Lost(span) => {
                    tracing::warn!(ms = span / 1000, "members: this process was not running");
                }
                Output::NameInUse(at) => {
                    tracing::error!(name = %self.name, %at, "members: another front has this name");
                }
            }
        }
    }

    fn known(&self) -> Vec<KnownFront> {
        let view = self.members.view();
        let known = |in_view| {
            move |fact: &Fact| {
                let Fact { address, zone, serves, boot, .. } = *fact;
                KnownFront { name: Name::clone(&fact.name), address, in_view, zone, serves, boot }
            }
        };
        view.members().map(known(true)).chain(view.out().map(known(false))).collect()
    }

    fn send(&self, to: SocketAddr, bytes: &[u8], to_operator: bool) {
        let sent = match (self.relay, to) {
            (Some(relay), SocketAddr::V4(v4)) if !to_operator => {
                self.socket.send_to(&relay_header::prepend(v4, bytes), relay)
            }
            _ => self.socket.send_to(bytes, to),
        };
        // A full buffer or an address without a way is a lost datagram like any other.
        if let Err(error) = sent {
            tracing::debug!(%error, %to, "members: not sent");
        }
    }
}
