//! The membership thread: reads datagrams, passes them to [`Members`] and carries out its outputs. It makes no protocol
//! decisions.
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

/// Stack size of the thread.
const STACK_BYTES: usize = 256 * 1024;
/// Maximum number of datagrams read before the periodic work gets its turn.
const MAX_DATAGRAMS_PER_TURN: usize = 256;

/// Errors of starting membership.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address cannot be bound.
    #[error("members: cannot listen at {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The history cannot be written.
    #[error("members: history: {0}")]
    History(io::Error),
    /// The thread cannot be created.
    #[error("members: no thread: {0}")]
    Thread(io::Error),
}

enum Command {
    Keys(KeyRing),
    Leave,
}

/// A front that is or was in the view, as reported to the listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownFront {
    /// Name of the front.
    pub name: Name,
    /// Address at which other fronts reach it, or did.
    pub address: SocketAddr,
    /// Whether it is in the view.
    pub in_view: bool,
    /// Zone of the front.
    pub zone: u32,
    /// Address at which players reach it, if it serves any.
    pub serves: Option<SocketAddr>,
    /// Identifies the start of its process.
    pub boot: u64,
}

/// Called with all known fronts at each change of the view.
pub type ViewListener = Box<dyn Fn(Vec<KnownFront>) + Send>;

/// Handle of the running membership thread. Dropping it ends the thread without leaving the view.
pub struct Running {
    commands: Sender<Command>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Starts the membership thread.
    ///
    /// # Errors
    /// The address cannot be bound, the history cannot be written, or the thread cannot be created.
    pub fn start(settings: &Settings) -> Result<Running, StartError> {
        Running::start_with_listener(settings, None)
    }

    /// Starts the membership thread; `listener` is called at each change of the view.
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
        // The wall clock is used only to distinguish the starts of this process, so a wrong clock does no harm.
        let boot = clock.unix_us().saturating_add_signed(settings.clock_offset)
            ^ u64::from(std::process::id()) << 44;
        history.write_start(clock.unix_us(), &settings.name, boot);
        let config = LocalConfig {
            name: Name::clone(&settings.name),
            address: settings.advertise,
            zone: settings.zone,
            serves: settings.serves,
            boot,
            seeds: settings.seeds.clone(),
            observers: settings.observers,
            times: settings.times,
        };
        let (commands, received) = crossbeam_channel::unbounded();
        let event_loop = EventLoop {
            members: Members::new(config, clock.now()),
            name: Name::clone(&settings.name),
            clock,
            socket,
            keys: settings.keys.clone(),
            relay: settings.relay,
            history,
            listener,
            ignored: 0,
        };
        let thread = thread::Builder::new().name("members".into()).stack_size(STACK_BYTES);
        let thread = thread.spawn(move || event_loop.run(&received)).map_err(StartError::Thread)?;
        Ok(Running { commands, thread: Some(thread) })
    }

    /// Replaces the keys.
    pub fn set_keys(&self, keys: KeyRing) {
        let _ = self.commands.send(Command::Keys(keys));
    }

    /// Leaves the view, announces that to others, and waits for the thread to end.
    pub fn leave(mut self) {
        // The thread checks for commands at each turn, at least every 50 ms.
        let _ = self.commands.send(Command::Leave);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A monotonic clock for the protocol, and the wall clock for histories.
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

    fn unix_us(&self) -> Micros {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
    }
}

struct EventLoop {
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

impl EventLoop {
    fn run(mut self, commands: &Receiver<Command>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + relay_header::LENGTH_BYTES + 1];
        loop {
            match commands.try_recv() {
                Ok(Command::Keys(keys)) => self.keys = keys,
                Ok(Command::Leave) => {
                    self.handle(Input::Leave);
                    tracing::info!("members: left; {}", history::summary(&self.members));
                    return;
                }
                Err(TryRecvError::Disconnected) => return,
                Err(TryRecvError::Empty) => {}
            }
            let wait = self.members.next_due().saturating_sub(self.clock.now()).clamp(1_000, 1_000_000);
            let _ = self.socket.set_read_timeout(Some(Duration::from_micros(wait)));
            for _ in 0..MAX_DATAGRAMS_PER_TURN {
                match self.socket.recv_from(&mut bytes) {
                    Ok((count, from)) => self.receive(&bytes[..count], from),
                    Err(_) => break,
                }
                // Further datagrams are read only if they have already arrived.
                let _ = self.socket.set_nonblocking(true);
            }
            let _ = self.socket.set_nonblocking(false);
            self.handle(Input::Tick);
        }
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        // Requests of operators don't pass through the relay.
        let relayed = self.relay.filter(|relay| *relay == from).and_then(|_| relay_header::split(bytes));
        let (from, bytes) = relayed.map_or((from, bytes), |(peer, rest)| (peer.into(), rest));
        match wire::decode(bytes, &self.keys) {
            Ok(envelope) => self.handle(Input::Received(from, Box::new(envelope))),
            Err(error) => {
                self.ignored += 1;
                if self.ignored.is_power_of_two() {
                    tracing::warn!(%from, %error, ignored = self.ignored, "members: ignored an invalid datagram");
                }
            }
        }
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.members.handle(self.clock.now(), input, &mut out);
        for output in out {
            self.history.write(self.clock.unix_us(), &self.name, &output);
            match output {
                Output::Send(to, envelope) => match wire::encode(&envelope, &self.keys) {
                    Ok(bytes) => self.send(to, &bytes, matches!(envelope.body, Body::Shown(..))),
                    Err(error) => tracing::error!(%error, "members: message not sent"),
                },
                Output::View(change) => {
                    tracing::info!(number = change.number, members = change.members.len(),
                        joined = ?change.joined, gone = ?change.gone, "members: view changed");
                    if let Some(listener) = &self.listener {
                        listener(self.known_fronts());
                    }
                }
                Output::StageChanged(stage) => tracing::info!(?stage, "members: stage changed"),
                Output::AccusationChanged(name, on) => {
                    tracing::debug!(%name, on, "members: accusation changed")
                }
                Output::Paused(pause) => {
                    tracing::warn!(ms = pause / 1000, "members: this process was not running");
                }
                Output::NameInUse(at) => {
                    tracing::error!(name = %self.name, %at, "members: another front has this name");
                }
            }
        }
    }

    fn known_fronts(&self) -> Vec<KnownFront> {
        let view = self.members.view();
        let known_front = |in_view| {
            move |fact: &Fact| {
                let Fact { address, zone, serves, boot, .. } = *fact;
                KnownFront { name: Name::clone(&fact.name), address, in_view, zone, serves, boot }
            }
        };
        view.members().map(known_front(true)).chain(view.former_members().map(known_front(false))).collect()
    }

    fn send(&self, to: SocketAddr, bytes: &[u8], to_operator: bool) {
        let sent = match (self.relay, to) {
            (Some(relay), SocketAddr::V4(v4)) if !to_operator => {
                self.socket.send_to(&relay_header::prepend(v4, bytes), relay)
            }
            _ => self.socket.send_to(bytes, to),
        };
        // A full send buffer or an unreachable address counts as a lost datagram.
        if let Err(error) = sent {
            tracing::debug!(%error, %to, "members: datagram not sent");
        }
    }
}
