//! The copies thread: passes inputs to [`Copies`], writes to the store, and sends messages over accord's
//! connections. It never blocks on a peer and makes no decisions.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::fs::File;
use std::io::{self, Write as _};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use salttally_accord::core::coordination::CoordinationState;
use salttally_accord::core::successors::Successor;
use salttally_accord::edge::{new_disk_id, now, Handle as Accord};
use salttally_accord::store::StoreError;
use salttally_members::edge::KnownFront;
use serde_json::json;
use thiserror::Error;

use crate::core::{
    Body, Copies, FrontIdentity, Incarnation, Input, Name, Output, Peer, RecordBody, RecordKey,
};
use crate::history_log;
use crate::settings::Settings;
use crate::store::{OpenOutcome, Store};

/// Stack size of the thread.
const THREAD_STACK_BYTES: usize = 512 * 1024;
/// Interval at which the status for operators is updated, us.
const STATUS_INTERVAL_US: u64 = 500_000;
/// Most commands processed before changes are sent.
const MAX_COMMANDS_PER_TURN: usize = 512;

/// Why copies failed to start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The store cannot be used.
    #[error("copies: store: {0}")]
    Store(#[from] StoreError),
    /// The history log cannot be opened.
    #[error("copies: history: {0}")]
    History(io::Error),
    /// The thread cannot be created.
    #[error("copies: no thread: {0}")]
    Thread(io::Error),
}

/// An event for the front.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Whether a record was stored.
    RecordStored(RecordKey, bool),
    /// The front takes over these records, under this epoch.
    TakeOver(Incarnation, u64, Vec<(RecordKey, RecordBody)>),
    /// Another front took over the front's own incarnation.
    TakenOver(Incarnation, Successor),
    /// Another front took over an incarnation that the front had taken over.
    TakeoverSuperseded(Incarnation),
}

/// Called with each event.
pub type Listener = Box<dyn Fn(Event) + Send>;

enum Command {
    Core(Input),
    Received(Name, Vec<u8>),
    Members(Vec<KnownFront>),
    End,
}

/// Sends commands to the thread; commands sent before it starts are kept.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: Sender<Command>,
    shown: Arc<Mutex<String>>,
}

impl std::fmt::Debug for Command {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Word")
    }
}

impl Handle {
    fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    /// Stores a record; `waits` tells whether the caller waits until it is stored.
    pub fn put_record(&self, key: RecordKey, body: Vec<u8>, waits: bool) {
        self.send(Command::Core(Input::PutRecord(key, RecordBody::from(body), waits)));
    }

    /// Deletes a record.
    pub fn delete_record(&self, key: RecordKey) {
        self.send(Command::Core(Input::DeleteRecord(key)));
    }

    /// Boxes still have sessions of an earlier incarnation of the front, which nobody has taken over.
    pub fn orphan_found(&self, incarnation: Incarnation) {
        self.send(Command::Core(Input::OrphanFound(incarnation)));
    }

    /// The front continues under a new incarnation.
    pub fn incarnation_changed(&self, incarnation: Incarnation) {
        self.send(Command::Core(Input::IncarnationChanged(incarnation)));
    }

    /// Updates the known fronts, as membership reports them.
    pub fn update_members(&self, known: Vec<KnownFront>) {
        self.send(Command::Members(known));
    }

    /// Updates the coordination state, as accord reports it.
    pub fn update_coordination(&self, coordination: &CoordinationState) {
        self.send(Command::Core(Input::Successors(Arc::clone(&coordination.successors), coordination.begun)));
    }

    /// Handles bytes that accord relayed from another front.
    pub fn receive(&self, from: Name, bytes: Vec<u8>) {
        self.send(Command::Received(from, bytes));
    }

    /// The latest status as JSON; updated periodically.
    pub fn status(&self) -> String {
        self.shown.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Copies before their thread is started; commands are queued.
pub struct PendingService {
    handle: Handle,
    commands: Receiver<Command>,
}

impl Default for PendingService {
    fn default() -> PendingService {
        let (sender, commands) = crossbeam_channel::unbounded();
        PendingService { handle: Handle { commands: sender, shown: Arc::default() }, commands }
    }
}

impl PendingService {
    /// A handle for sending commands.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Starts the thread, for a front of this incarnation.
    ///
    /// # Errors
    /// The store cannot be used, the history log cannot be opened, or the thread cannot be created.
    pub fn start(
        self,
        settings: &Settings,
        incarnation: Incarnation,
        accord: Accord,
        listener: Listener,
    ) -> Result<Running, StartError> {
        let (store, image, found) = Store::open(&settings.store, settings.flush, new_disk_id())?;
        match &found {
            OpenOutcome::New => tracing::info!("copies: a new store"),
            OpenOutcome::Intact => {}
            OpenOutcome::SetAside(at, why) => {
                tracing::error!(%why, at = %at.display(), "copies: a damaged store was set aside; this is a new disk now");
            }
            OpenOutcome::Copied => {
                tracing::warn!(
                    "copies: the store is not where it was first written: it counts as a new disk"
                );
            }
        }
        let open = |path: &std::path::PathBuf| File::options().create(true).append(true).open(path);
        let history = settings.history.as_ref().map(open).transpose().map_err(StartError::History)?;
        let own = FrontIdentity {
            name: Name::clone(&settings.name),
            incarnation,
            zone: settings.zone,
            client_address: settings.client_address,
            disk_id: store.disk,
            copies: settings.copies,
            required_copies: settings.enough,
            too_few: settings.too_few,
            store_timeout: settings.within,
            max_records: settings.most,
        };
        let work = Service {
            copies: Copies::new(own, image, now()),
            name: Name::clone(&settings.name),
            store: Some(store),
            history,
            accord,
            listener,
            commands: self.commands,
            shown: Arc::clone(&self.handle.shown),
            show_at: 0,
        };
        let thread = thread::Builder::new().name("copies".into()).stack_size(THREAD_STACK_BYTES);
        let thread = thread.spawn(move || work.run()).map_err(StartError::Thread)?;
        Ok(Running { handle: self.handle, thread: Some(thread) })
    }
}

/// The running copies thread.
pub struct Running {
    handle: Handle,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Shuts down; if the front has no records, holders may delete their replicas of it.
    pub fn leave(mut self) {
        self.handle.send(Command::Core(Input::Leave));
        self.handle.send(Command::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Service {
    copies: Copies,
    name: Name,
    /// None after a write has failed: then this front acknowledges nothing to other fronts, and they choose
    /// another holder.
    store: Option<Store>,
    history: Option<File>,
    accord: Accord,
    listener: Listener,
    commands: Receiver<Command>,
    shown: Arc<Mutex<String>>,
    show_at: u64,
}

impl Service {
    fn run(mut self) {
        loop {
            let wait = self.copies.next_due().saturating_sub(now()).clamp(500, 200_000);
            let mut command = match self.commands.recv_timeout(Duration::from_micros(wait)) {
                Ok(command) => Some(command),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // Commands that arrived together are written and sent together.
            let (mut out, mut taken, mut ends) = (Vec::new(), 0, false);
            while let Some(one) = command.take() {
                ends |= self.command(one, &mut out);
                taken += 1;
                if taken < MAX_COMMANDS_PER_TURN && !ends {
                    command = self.commands.try_recv().ok();
                }
            }
            self.copies.handle(now(), Input::Tick, &mut out);
            self.carry_out(out);
            if ends {
                return;
            }
            self.show();
        }
    }

    fn command(&mut self, command: Command, out: &mut Vec<Output>) -> bool {
        match command {
            Command::Core(input) => self.copies.handle(now(), input, out),
            Command::Received(from, bytes) => match postcard::from_bytes::<Body>(&bytes) {
                Ok(body) => self.copies.handle(now(), Input::Received(from, Box::new(body)), out),
                Err(error) => tracing::warn!(%from, %error, "copies: a message is not used"),
            },
            Command::Members(known) => {
                let (peers, boot) = peers(known, &self.name);
                self.copies.handle(now(), Input::View(peers, boot), out);
            }
            Command::End => return true,
        }
        false
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        let mut writes = Vec::new();
        for output in &out {
            if let Output::Write(partition) = output {
                writes.extend(partition.iter().cloned());
            }
        }
        if let Some(store) = self.store.as_ref().filter(|_| !writes.is_empty()) {
            if let Err(error) = store.write(&writes) {
                tracing::error!(%error, "copies: nothing can be kept here for others until this front is started again");
                self.store = None;
            }
        }
        for output in out {
            if let Some(line) = history_log::line(unix(), &self.name, &output) {
                if let Some(file) = &mut self.history {
                    let _ = file.write_all(format!("{line}\n").as_bytes());
                }
            }
            match output {
                Output::Write(_) => {}
                // Danger: an acknowledgement of something that is on no disk would count as a copy.
                Output::Send(_, Body::Ack(..)) if self.store.is_none() => {}
                Output::Send(to, body) => match postcard::to_allocvec(&body) {
                    Ok(bytes) => self.accord.relay(to, bytes),
                    Err(error) => tracing::error!(%error, "copies: a message is not sent"),
                },
                Output::ChangeSuccessors(changes) => self.accord.change_successors(changes),
                Output::RecordStored(key, kept) => (self.listener)(Event::RecordStored(key, kept)),
                Output::TakeOver(incarnation, epoch, promises) => {
                    tracing::warn!(life = %incarnation, epoch, sessions = promises.len(), "copies: this front goes on with another's sessions");
                    (self.listener)(Event::TakeOver(incarnation, epoch, promises));
                }
                Output::TakenOver(incarnation, successor) => {
                    tracing::error!(life = %incarnation, by = %successor.name, "copies: another front goes on with this one's sessions");
                    (self.listener)(Event::TakenOver(incarnation, successor));
                }
                Output::TakeoverSuperseded(incarnation) => {
                    (self.listener)(Event::TakeoverSuperseded(incarnation))
                }
                Output::IncarnationEnded(incarnation) => {
                    tracing::debug!(life = %incarnation, "copies: nothing is left of it")
                }
                Output::HoldersChanged(names) => tracing::info!(?names, "copies: held there"),
            }
        }
    }

    /// Updates the status for operators, at most once per interval.
    fn show(&mut self) {
        if self.show_at > now() {
            return;
        }
        self.show_at = now() + STATUS_INTERVAL_US;
        let owner = self.copies.owner();
        let holder = |(name, holder): (&Name, &crate::core::owner::Holder)| json!({"front": &**name, "has": holder.acked, "filled": holder.filled});
        let replica = |(incarnation, replica): (&Incarnation, &crate::core::replica::Replica)| {
            json!({"life": &**incarnation, "owner": &*replica.head.owner, "promises": replica.live_records(), "has": replica.head.applied,
                "whole": replica.head.complete, "epoch": replica.head.epoch, "digest": digest(&replica.digests())})
        };
        let taken = |(incarnation, epoch, settled): (&Incarnation, u64, bool)| json!({"life": &**incarnation, "epoch": epoch, "settled": settled});
        let shown = json!({"front": &*self.name, "life": &**self.copies.incarnation(), "promises": owner.live_records(),
            "changes": owner.number(), "waits": owner.waits(), "digest": digest(&owner.digests()), "disk": self.store.is_some(),
            "holders": owner.holders.iter().map(holder).collect::<Vec<_>>(),
            "holds": self.copies.replicas().map(replica).collect::<Vec<_>>(),
            "taken_over": self.copies.takeovers().map(taken).collect::<Vec<_>>()});
        *self.shown.lock().unwrap_or_else(PoisonError::into_inner) = shown.to_string();
    }
}

/// One digest of all partitions.
fn digest(parts: &[u64]) -> String {
    let all = parts.iter().fold(0u64, |all, partition| all.rotate_left(7) ^ partition);
    format!("{all:016x}")
}

fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

fn peers(known: Vec<KnownFront>, own: &Name) -> (Vec<Peer>, Option<u64>) {
    let boot = known.iter().find(|one| one.in_view && one.name == *own).map(|one| one.boot);
    let here = known.into_iter().filter(|one| one.in_view && one.name != *own);
    (here.map(|one| Peer { name: one.name, zone: one.zone, boot: one.boot }).collect(), boot)
}
