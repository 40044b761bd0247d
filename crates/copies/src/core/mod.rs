//! The state machine that replicates durable session records, without I/O, clock or threads: it takes inputs
//! and returns writes, messages and notifications.
//!
//! A record is a key (the id of a session) and a body in the front's own encoding, which nothing here reads.
//! [`Copies::handle`] takes the time (of a monotonic clock, local to this process) and one [`Input`];
//! [`Copies::next_due`] returns when it has to be called again. The contents of an [`Output::Write`] are on
//! disk, and flushed if the settings ask for it, before any later output is carried out.
//!
//! - [`owner`]: a front's own records, and how far each holder has them. [`placement`]: which fronts hold
//!   copies.
//! - [`replica`]: a holder's copy of another front's records, and merging several copies.
//! - [`takeover`]: collecting the records of a lost front.

pub mod owner;
pub mod placement;
pub mod replica;
pub mod takeover;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use salttally_accord::core::successors::{SuccessionChange, Successor, Successors};
use serde::{Deserialize, Serialize};

use owner::{Batch, Owner};
use placement::Candidate;
use replica::{partition, Change, Replica, ReplicaHead, Replicas, PARTITIONS};
use takeover::{Takeover, VIEW_SETTLE_TIME};

pub use salttally_accord::core::successors::Incarnation;
pub use salttally_accord::core::{Micros, Name};

/// Key of a record: the id of its session.
pub type RecordKey = Arc<str>;
/// Body of a record.
pub type RecordBody = Arc<[u8]>;

/// Approximate bytes of changes in one message.
pub const BATCH_BYTES: usize = 48 * 1024;
/// Changes that are not acknowledged are sent again after this time.
pub const RESEND_TIMEOUT: Micros = 400_000;
/// Longest time that a successor waits for the replicas of other fronts.
pub const GATHER_TIMEOUT: Micros = 1_000_000;
/// Interval of heartbeats to holders while nothing changes.
const HEARTBEAT_INTERVAL: Micros = 500_000;
/// Interval of the periodic checks.
const TICK_INTERVAL: Micros = 50_000;
/// A holder that has not answered for this long is replaced, even if it is in the view.
const HOLDER_TIMEOUT: Micros = 2_500_000;
/// A replaced holder is not chosen again for this long.
const HOLDER_AVOIDANCE: Micros = 10_000_000;
/// Requests to the voters are repeated after this time.
const VOTER_RETRY_INTERVAL: Micros = 500_000;
/// Interval at which a successor asks the fronts that have not answered again.
const GATHER_RETRY_INTERVAL: Micros = 400_000;
/// If the successor of an unsettled incarnation was silent for this long, another one is proposed.
const SUCCESSOR_TIMEOUT: Micros = 4_000_000;
/// An incarnation without records is declared ended after this time.
const END_DELAY: Micros = 2_000_000;
/// Most tombstones (deleted records) kept for holders that are behind.
const MAX_TOMBSTONES: usize = 4_096;

/// What happens when there are fewer fronts than required copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TooFewPolicy {
    /// A record counts as stored with as many copies as there are fronts.
    GoOn,
    /// The record is not stored.
    Refuse,
}

/// What identifies this front, and its settings.
#[derive(Clone, Debug)]
pub struct FrontIdentity {
    /// Name of the front.
    pub name: Name,
    /// Its incarnation; the ids of its sessions begin with this name.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: u32,
    /// Address at which clients reach it.
    pub client_address: Option<SocketAddr>,
    /// Its disk id, drawn when the disk was first used.
    pub disk_id: u64,
    /// Number of other fronts that hold a copy.
    pub copies: usize,
    /// Number of copies required before a record counts as stored.
    pub required_copies: usize,
    /// See [`TooFewPolicy`].
    pub too_few: TooFewPolicy,
    /// A record that is not stored within this time is given up.
    pub store_timeout: Micros,
    /// Most records of other fronts that it holds.
    pub max_records: usize,
}

/// A front in the membership view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: u32,
    /// Which start of its process.
    pub boot: u64,
}

/// Contents of messages between fronts.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Body {
    /// To a holder: the changes of this incarnation after number `from`, up to `to`; without gaps if `whole`.
    /// With digests when no changes are in flight.
    Put {
        /// The owner's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// Which start of the owner's process.
        boot: u64,
        /// Number of the last change before these.
        from: u64,
        /// Number of the last change covered.
        to: u64,
        /// Whether nothing between `from` and `to` is left out.
        whole: bool,
        /// The changes.
        changes: Vec<Change>,
        /// All holders.
        group: Vec<Name>,
        /// Digests of all partitions after change `to`.
        digests: Option<[u64; PARTITIONS]>,
    },
    /// To an owner: the number of changes applied, the holder's disk id, and the number of records it holds
    /// for others.
    Ack(Incarnation, u64, u64, u64),
    /// To an owner: no changes of this incarnation are accepted, because the holder is full or the
    /// incarnation was taken over.
    #[serde(rename = "No")]
    Refused(Incarnation),
    /// To an owner: after this many changes, these partitions differ.
    Differs(Incarnation, u64, Vec<u8>),
    /// To a holder: the contents of a partition after this many changes.
    Part(Incarnation, u64, u8, Vec<Change>),
    /// To a holder: nothing of this incarnation has to be kept any more.
    Drop(Incarnation),
    /// From the successor of this epoch: asks for the replica of this incarnation.
    Gather(Incarnation, u64),
    /// A part of a replica, and whether it is the last part.
    Gathered(Incarnation, ReplicaHead, Vec<Change>, bool),
}

/// Inputs of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message arrived, with its sender.
    Received(Name, Box<Body>),
    /// Time has passed.
    Tick,
    /// A record was created or changed; the flag tells whether the caller waits until it is stored.
    PutRecord(RecordKey, RecordBody, bool),
    /// A record was deleted.
    DeleteRecord(RecordKey),
    /// The other fronts in the view, and the start of this process that the view knows, if this front is in
    /// it.
    View(Vec<Peer>, Option<u64>),
    /// The successors of lost fronts, and the version that has begun.
    Successors(Arc<Successors>, u64),
    /// Boxes still have sessions of an earlier incarnation of this front, which nobody has taken over.
    OrphanFound(Incarnation),
    /// This front continues under a new incarnation.
    IncarnationChanged(Incarnation),
    /// The front shuts down.
    Leave,
}

/// One change of the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The header of a replica.
    Head(Incarnation, ReplicaHead),
    /// An entry of a replica: change number and body; none if the entry is deleted.
    Entry(Incarnation, RecordKey, Option<(u64, Option<RecordBody>)>),
    /// The whole replica is deleted.
    Drop(Incarnation),
}

/// Effects to be carried out, and notifications.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write these atomically.
    Write(Vec<Write>),
    /// Send this message.
    Send(Name, Body),
    /// Whether a record was stored; if not, it was given up and is deleted.
    RecordStored(RecordKey, bool),
    /// Ask the voters for these changes.
    ChangeSuccessors(Vec<SuccessionChange>),
    /// This front takes over these records, under this epoch.
    TakeOver(Incarnation, u64, Vec<(RecordKey, RecordBody)>),
    /// Another front took over this front's own incarnation.
    TakenOver(Incarnation, Successor),
    /// Another front took over an incarnation that this front had taken over.
    TakeoverSuperseded(Incarnation),
    /// An incarnation that was taken over has no sessions left; for information only.
    IncarnationEnded(Incarnation),
    /// The holders of copies have changed.
    HoldersChanged(Vec<Name>),
}

/// Contents of the disk at the start.
#[derive(Clone, Debug, Default)]
pub struct Image {
    /// Replicas by incarnation.
    pub replicas: Replicas,
}

impl Image {
    /// Applies one write.
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::Head(incarnation, head) => match self.replicas.get_mut(incarnation) {
                Some(replica) => replica.head = head.clone(),
                None => {
                    let replica = Replica { head: head.clone(), entries: BTreeMap::new() };
                    self.replicas.insert(Incarnation::clone(incarnation), replica);
                }
            },
            Write::Entry(incarnation, key, entry) => {
                // For a new replica, an entry comes before the header.
                let blank = || Replica::new(&Name::from(""), 0);
                let replica = self.replicas.entry(Incarnation::clone(incarnation)).or_insert_with(blank);
                match entry {
                    Some(entry) => replica.entries.insert(RecordKey::clone(key), entry.clone()),
                    None => replica.entries.remove(key),
                };
            }
            Write::Drop(incarnation) => drop(self.replicas.remove(incarnation)),
        }
    }
}

/// A replica, and what is known of its owner.
#[derive(Clone, Debug)]
struct HeldReplica {
    replica: Replica,
    /// Since when its owner is lost.
    orphan: Option<Micros>,
    /// When the successor was last heard.
    successor: Option<Micros>,
    offered: Micros,
}

/// Replication at one front.
#[derive(Clone, Debug)]
pub struct Copies {
    own: FrontIdentity,
    now: Micros,
    incarnations: bool,
    owner: Owner,
    boot: Option<u64>,
    here_since: Micros,
    peers: BTreeMap<Name, Peer>,
    loads: BTreeMap<Name, u64>,
    avoided: BTreeMap<Name, Micros>,
    silent: BTreeMap<Name, Micros>,
    replicas: BTreeMap<Incarnation, HeldReplica>,
    takeovers: BTreeMap<Incarnation, Takeover>,
    successors: Arc<Successors>,
    begun: u64,
    asked: BTreeMap<Incarnation, Micros>,
    rest: BTreeMap<Incarnation, Micros>,
    journal: Vec<Write>,
    next_tick: Micros,
    next_beat: Micros,
}

impl Copies {
    /// Starts a front on this image.
    pub fn new(own: FrontIdentity, image: Image, now: Micros) -> Copies {
        let held = |replica| HeldReplica { replica, orphan: None, successor: None, offered: 0 };
        Copies {
            own,
            now,
            incarnations: true,
            owner: Owner::default(),
            boot: None,
            here_since: now,
            peers: BTreeMap::new(),
            loads: BTreeMap::new(),
            avoided: BTreeMap::new(),
            silent: BTreeMap::new(),
            replicas: image
                .replicas
                .into_iter()
                .map(|(incarnation, replica)| (incarnation, held(replica)))
                .collect(),
            takeovers: BTreeMap::new(),
            successors: Arc::default(),
            begun: 0,
            asked: BTreeMap::new(),
            rest: BTreeMap::new(),
            journal: Vec::new(),
            next_tick: now,
            next_beat: now,
        }
    }

    /// The front's own records.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// The front's incarnation.
    pub fn incarnation(&self) -> &Incarnation {
        &self.own.incarnation
    }

    /// Replicas of other fronts' records, by incarnation.
    pub fn replicas(&self) -> impl Iterator<Item = (&Incarnation, &Replica)> {
        self.replicas.iter().map(|(incarnation, held)| (incarnation, &held.replica))
    }

    /// Incarnations that this front has taken over, with their epochs, and whether each is settled.
    pub fn takeovers(&self) -> impl Iterator<Item = (&Incarnation, u64, bool)> {
        self.takeovers.iter().map(|(incarnation, takeover)| (incarnation, takeover.epoch, takeover.settled))
    }

    /// Number of records held for other fronts.
    pub fn records_held(&self) -> usize {
        self.replicas.values().map(|held| held.replica.entries.len()).sum()
    }

    /// When [`Copies::handle`] has to be called again.
    pub fn next_due(&self) -> Micros {
        self.owner.next_late().map_or(self.next_tick, |late| late.min(self.next_tick))
    }

    /// Processes one input; outputs are added to `out`, in order. Changes are sent at the next
    /// [`Input::Tick`], so that changes that arrive together are sent together.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let mut then = Vec::new();
        match input {
            Input::Received(from, body) => self.heard(from, *body, &mut then),
            Input::Tick => self.tick(&mut then),
            Input::PutRecord(key, body, waits) => self.keep(key, body, waits, &mut then),
            Input::DeleteRecord(key) => self.change(key, None),
            Input::View(peers, boot) => self.view(peers, boot),
            Input::Successors(successors, begun) => self.successors(successors, begun, &mut then),
            Input::OrphanFound(incarnation) => self.found(incarnation, &mut then),
            Input::IncarnationChanged(incarnation) => {
                (self.own.incarnation, self.incarnations, self.owner) = (incarnation, true, Owner::default());
                // Danger: holders that refused the previous incarnation because it was taken over would be
                // avoided by the new one, which could store nothing meanwhile.
                self.avoided.clear();
                self.silent.clear();
            }
            Input::Leave => self.leave(&mut then),
        }
        self.kept(&mut then);
        if !self.journal.is_empty() {
            out.push(Output::Write(std::mem::take(&mut self.journal)));
        }
        out.append(&mut then);
    }

    // ---- The front's own records ----

    fn keep(&mut self, key: RecordKey, body: RecordBody, waits: bool, out: &mut Vec<Output>) {
        if !self.incarnations {
            if waits {
                out.push(Output::RecordStored(key, false));
            }
            return;
        }
        if waits {
            self.owner.wait(RecordKey::clone(&key), self.now + self.own.store_timeout);
        }
        self.change(key, Some(body));
    }

    fn change(&mut self, key: RecordKey, body: Option<RecordBody>) {
        if !self.incarnations {
            return;
        }
        let Some(change) = self.owner.change(key, body) else { return };
        let entry = change.body.map(|body| (change.number, Some(body)));
        self.journal.push(Write::Entry(Incarnation::clone(&self.own.incarnation), change.key, entry));
        self.own_head();
    }

    fn own_head(&mut self) {
        let head = ReplicaHead {
            owner: Name::clone(&self.own.name),
            boot: self.boot.unwrap_or(0),
            epoch: 0,
            applied: self.owner.number(),
            complete: true,
            holders: self.owner.group(),
        };
        let incarnation = &self.own.incarnation;
        // One header write for all changes that are written together.
        self.journal.retain(|write| !matches!(write, Write::Head(of, _) if of == incarnation));
        self.journal.push(Write::Head(Incarnation::clone(incarnation), head));
    }

    /// Number of copies that make a record count as stored now.
    fn enough(&self) -> usize {
        match self.own.too_few {
            TooFewPolicy::GoOn => self.own.required_copies.min(self.peers.len()),
            TooFewPolicy::Refuse => self.own.required_copies,
        }
    }

    fn kept(&mut self, out: &mut Vec<Output>) {
        let enough = self.enough();
        let (kept, late) = self.owner.settled(self.now, enough);
        out.extend(kept.into_iter().map(|key| Output::RecordStored(key, true)));
        for key in late {
            // Danger: the front has given the record up; a remaining copy would be taken for a stored record.
            self.change(RecordKey::clone(&key), None);
            out.push(Output::RecordStored(key, false));
        }
    }

    fn flush(&mut self, out: &mut Vec<Output>) {
        self.owner.again(self.now);
        let (group, incarnation, boot) =
            (self.owner.group(), Incarnation::clone(&self.own.incarnation), self.boot.unwrap_or(0));
        for name in &group {
            while let Some(Batch { from, to, whole, changes }) = self.owner.batch(self.now, name) {
                let (incarnation, group) = (Incarnation::clone(&incarnation), group.clone());
                let body = Body::Put { incarnation, boot, from, to, whole, changes, group, digests: None };
                out.push(Output::Send(Name::clone(name), body));
            }
        }
    }

    /// Sends holders the state after the last change; they answer with what they have.
    fn beat(&mut self, out: &mut Vec<Output>) {
        let (group, number, boot) = (self.owner.group(), self.owner.number(), self.boot.unwrap_or(0));
        for (name, holder) in &self.owner.holders {
            if holder.acked == number || number == 0 || !holder.filled && holder.disk == 0 {
                let level = holder.acked == number;
                let at = if level { number } else { 0 };
                let body = Body::Put {
                    incarnation: Incarnation::clone(&self.own.incarnation),
                    boot,
                    from: at,
                    to: at,
                    whole: level,
                    changes: Vec::new(),
                    group: group.clone(),
                    digests: level.then(|| self.owner.digests()),
                };
                out.push(Output::Send(Name::clone(name), body));
            }
        }
    }

    /// Replaces holders that left the view or are silent, one at a time.
    fn regroup(&mut self, out: &mut Vec<Output>) {
        let before = self.owner.group();
        let now = self.now;
        self.avoided.retain(|_, until| *until > now);
        for name in &before {
            let heard = self.silent.entry(Name::clone(name)).or_insert(now);
            let silent = *heard + HOLDER_TIMEOUT <= now;
            if silent {
                self.avoided.insert(Name::clone(name), now + HOLDER_AVOIDANCE);
            }
            if silent || !self.peers.contains_key(name) {
                self.owner.holders.remove(name);
                self.silent.remove(name);
            }
        }
        let filling = self.owner.holders.values().any(|holder| !holder.filled);
        if self.owner.holders.len() < self.own.copies && !filling && self.boot.is_some() && self.incarnations
        {
            let all: Vec<Candidate> = self
                .peers
                .values()
                .filter(|peer| !self.avoided.contains_key(&peer.name))
                .map(|peer| Candidate {
                    name: Name::clone(&peer.name),
                    zone: peer.zone,
                    records_held: self.loads.get(&peer.name).copied().unwrap_or(0),
                })
                .collect();
            let holders =
                before.iter().filter(|name| self.owner.holders.contains_key(*name)).cloned().collect();
            if let Some(name) = placement::next(&self.own.name, self.own.zone, &holders, &all) {
                self.owner.begin(now, Name::clone(&name));
                self.silent.insert(name, now);
                self.next_beat = now;
            }
        }
        let after = self.owner.group();
        if after != before {
            self.own_head();
            out.push(Output::HoldersChanged(after));
        }
    }

    // ---- Messages ----

    fn heard(&mut self, from: Name, body: Body, out: &mut Vec<Output>) {
        match body {
            Body::Put { incarnation, boot, from: after, to, whole, changes, group, digests } => {
                self.put(&from, incarnation, boot, (after, to, whole), &changes, group, digests, out);
            }
            Body::Ack(incarnation, have, disk, records_held) => {
                self.loads.insert(Name::clone(&from), records_held);
                if incarnation == self.own.incarnation {
                    self.silent.insert(Name::clone(&from), self.now);
                    self.owner.acked(self.now, &from, have, disk);
                    self.flush(out);
                } else {
                    // The holder has a replica of an incarnation that is no longer used by this front.
                    let live_records = self.successors.is_superseded(&incarnation)
                        || incarnation.starts_with(&format!("{}-", self.own.name));
                    if !live_records {
                        out.push(Output::Send(from, Body::Drop(incarnation)));
                    }
                }
            }
            Body::Refused(incarnation) => {
                if incarnation == self.own.incarnation && self.owner.holders.remove(&from).is_some() {
                    self.avoided.insert(from, self.now + HOLDER_AVOIDANCE);
                    self.regroup(out);
                }
            }
            Body::Differs(incarnation, have, parts) => {
                if incarnation == self.own.incarnation && have == self.owner.number() {
                    for which in parts {
                        let changes = self.owner.partition(usize::from(which));
                        let body = Body::Part(Incarnation::clone(&incarnation), have, which, changes);
                        out.push(Output::Send(Name::clone(&from), body));
                    }
                }
            }
            Body::Part(incarnation, have, which, changes) => {
                self.partition(&from, &incarnation, have, which, &changes)
            }
            Body::Drop(incarnation) => self.drop_of(&from, &incarnation),
            Body::Gather(incarnation, epoch) => self.takeover(&from, incarnation, epoch, out),
            Body::Gathered(incarnation, head, changes, last) => {
                self.gathered(&from, &incarnation, head, &changes, last, out)
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn put(
        &mut self,
        from: &Name,
        incarnation: Incarnation,
        boot: u64,
        (after, to, whole): (u64, u64, bool),
        changes: &[Change],
        group: Vec<Name>,
        digests: Option<[u64; PARTITIONS]>,
        out: &mut Vec<Output>,
    ) {
        // Danger: an owner that was superseded without knowing it would continue, and count its records as
        // stored.
        let fenced = self.successors.is_superseded(&incarnation)
            || self.replicas.get(&incarnation).is_some_and(|held| held.replica.head.epoch > 0);
        let known = self.replicas.contains_key(&incarnation);
        let full = !known && self.records_held() >= self.own.max_records
            || self.records_held() + changes.len() > 2 * self.own.max_records;
        if fenced || full || incarnation == self.own.incarnation {
            out.push(Output::Send(Name::clone(from), Body::Refused(incarnation)));
            return;
        }
        let fresh =
            || HeldReplica { replica: Replica::new(from, boot), orphan: None, successor: None, offered: 0 };
        let held = self.replicas.entry(Incarnation::clone(&incarnation)).or_insert_with(fresh);
        if held.replica.head.owner != *from {
            out.push(Output::Send(Name::clone(from), Body::Refused(incarnation)));
            return;
        }
        let before = held.replica.head.clone();
        (held.replica.head.holders, held.replica.head.boot) = (group, boot);
        let beat = after == 0 && to == 0 && changes.is_empty() && held.replica.head.applied > 0;
        let took = !beat && held.replica.put(after, to, whole, changes);
        if took {
            for change in changes {
                let entry = held.replica.entries.get(&change.key).cloned();
                self.journal.push(Write::Entry(
                    Incarnation::clone(&incarnation),
                    RecordKey::clone(&change.key),
                    entry,
                ));
            }
        }
        if held.replica.head != before {
            self.journal.push(Write::Head(Incarnation::clone(&incarnation), held.replica.head.clone()));
        }
        if let Some(theirs) = digests.filter(|_| took && held.replica.head.applied == to) {
            let ours = held.replica.digests();
            let differ: Vec<u8> =
                (0..PARTITIONS as u8).filter(|at| ours[*at as usize] != theirs[*at as usize]).collect();
            if !differ.is_empty() {
                out.push(Output::Send(
                    Name::clone(from),
                    Body::Differs(Incarnation::clone(&incarnation), to, differ),
                ));
            }
        }
        let have = held.replica.head.applied;
        let records_held = self.records_held() as u64;
        out.push(Output::Send(
            Name::clone(from),
            Body::Ack(incarnation, have, self.own.disk_id, records_held),
        ));
    }

    fn partition(
        &mut self,
        from: &Name,
        incarnation: &Incarnation,
        have: u64,
        which: u8,
        changes: &[Change],
    ) {
        let Some(held) = self.replicas.get_mut(incarnation) else { return };
        let head = &held.replica.head;
        if head.owner != *from || head.applied != have || !head.complete || head.epoch > 0 {
            return;
        }
        let sound = changes.iter().all(|change| partition(&change.key) == usize::from(which));
        if !sound {
            return;
        }
        let gone = held.replica.repair(usize::from(which), changes);
        let entry = |key: RecordKey, entry| Write::Entry(Incarnation::clone(incarnation), key, entry);
        self.journal.extend(gone.into_iter().map(|key| entry(key, None)));
        self.journal.extend(
            changes.iter().map(|c| entry(RecordKey::clone(&c.key), Some((c.number, c.body.clone())))),
        );
    }

    fn drop_of(&mut self, from: &Name, incarnation: &Incarnation) {
        let by_owner = self.replicas.get(incarnation).is_some_and(|held| held.replica.head.owner == *from);
        let by_heir = self.successors.current(incarnation).is_some_and(|successor| successor.name == *from);
        if by_owner && !self.successors.is_superseded(incarnation) || by_heir {
            self.drop_shelf(incarnation);
        }
    }

    fn drop_shelf(&mut self, incarnation: &Incarnation) {
        if self.replicas.remove(incarnation).is_some() {
            self.journal.push(Write::Drop(Incarnation::clone(incarnation)));
        }
    }

    // ---- Takeover ----

    /// Answers a successor's request for a replica. From now on, no changes of the owner are accepted.
    fn takeover(&mut self, from: &Name, incarnation: Incarnation, epoch: u64, out: &mut Vec<Output>) {
        if epoch < self.successors.epoch_of(&incarnation) {
            return;
        }
        let Some(held) = self.replicas.get_mut(&incarnation) else {
            let head = Replica::new(from, 0).head;
            out.push(Output::Send(Name::clone(from), Body::Gathered(incarnation, head, Vec::new(), true)));
            return;
        };
        held.successor = Some(self.now);
        if held.replica.head.epoch < epoch {
            held.replica.head.epoch = epoch;
            self.journal.push(Write::Head(Incarnation::clone(&incarnation), held.replica.head.clone()));
        }
        self.offer(from, &incarnation, out);
    }

    /// Sends a replica to a successor, in parts.
    fn offer(&mut self, to: &Name, incarnation: &Incarnation, out: &mut Vec<Output>) {
        let Some(held) = self.replicas.get_mut(incarnation) else { return };
        held.offered = self.now;
        let (mut partition, mut size) = (Vec::new(), 0);
        let head = &held.replica.head;
        let send = |partition: Vec<Change>, last: bool, out: &mut Vec<Output>| {
            let body = Body::Gathered(Incarnation::clone(incarnation), head.clone(), partition, last);
            out.push(Output::Send(Name::clone(to), body));
        };
        for change in held.replica.changes() {
            size += change.size();
            partition.push(change);
            if size > BATCH_BYTES {
                send(std::mem::take(&mut partition), false, out);
                size = 0;
            }
        }
        send(partition, true, out);
    }

    fn gathered(
        &mut self,
        from: &Name,
        incarnation: &Incarnation,
        head: ReplicaHead,
        changes: &[Change],
        last: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(takeover) = self.takeovers.get_mut(incarnation) else { return };
        let handed = takeover.handed;
        takeover.heard(from, head, changes, last);
        if last && handed {
            // The front was unreachable before, and sends its replica late.
            self.adopt(incarnation, out);
            if self.takeovers.get(incarnation).is_some_and(|takeover| takeover.settled) {
                out.push(Output::Send(Name::clone(from), Body::Drop(Incarnation::clone(incarnation))));
            }
        }
    }

    fn adopt(&mut self, incarnation: &Incarnation, out: &mut Vec<Output>) {
        let Some(takeover) = self.takeovers.get_mut(incarnation) else { return };
        let (epoch, first, fresh) = (takeover.epoch, !takeover.handed, takeover.take());
        if fresh.is_empty() && !first {
            return;
        }
        for (key, body) in &fresh {
            self.change(RecordKey::clone(key), Some(RecordBody::clone(body)));
        }
        // Records that this incarnation had taken over are among its own, each with its own epoch.
        let mut parts: BTreeMap<Incarnation, (u64, Vec<(RecordKey, RecordBody)>)> =
            [(Incarnation::clone(incarnation), (epoch, Vec::new()))].into();
        for (key, body) in fresh {
            let of = incarnation_of(&key).and_then(|of| self.takeovers.get_key_value(of));
            let Some((of, takeover)) = of else { continue };
            parts
                .entry(Incarnation::clone(of))
                .or_insert_with(|| (takeover.epoch, Vec::new()))
                .1
                .push((key, body));
        }
        for (incarnation, (epoch, promises)) in parts {
            if let Some(takeover) = self.takeovers.get_mut(&incarnation) {
                takeover.handed = true;
            }
            out.push(Output::TakeOver(incarnation, epoch, promises));
        }
    }

    fn successors(&mut self, successors: Arc<Successors>, begun: u64, out: &mut Vec<Output>) {
        for (incarnation, held) in &mut self.replicas {
            let (old, new) =
                (self.successors.by_incarnation.get(incarnation), successors.by_incarnation.get(incarnation));
            let begins =
                new.is_some_and(|successor| successor.version <= begun && successor.version > self.begun);
            if begins || old != new {
                held.successor = Some(self.now);
            }
        }
        let over =
            successors.ended.keys().filter(|incarnation| !self.successors.ended.contains_key(*incarnation));
        out.extend(over.map(|incarnation| Output::IncarnationEnded(Incarnation::clone(incarnation))));
        (self.successors, self.begun) = (successors, begun);
        if self.incarnations && self.successors.is_superseded(&self.own.incarnation) {
            self.incarnations = false;
            self.takeovers.clear();
            self.owner = Owner::default();
            let successor = self.successors.current(&self.own.incarnation).cloned();
            // The successor may ask this front for a replica, as any other: its own disk has one.
            out.extend(
                successor
                    .map(|successor| Output::TakenOver(Incarnation::clone(&self.own.incarnation), successor)),
            );
        }
        let gone: Vec<Incarnation> = self
            .takeovers
            .iter()
            .filter(|(incarnation, takeover)| {
                let own = self
                    .successors
                    .current(incarnation)
                    .is_some_and(|successor| successor.incarnation == self.own.incarnation);
                !own || self.successors.epoch_of(incarnation) != takeover.epoch
            })
            .map(|(incarnation, _)| Incarnation::clone(incarnation))
            .collect();
        for incarnation in gone {
            self.takeovers.remove(&incarnation);
            let ours: Vec<RecordKey> =
                self.owner.keys().filter(|key| belongs_to(key, &incarnation)).cloned().collect();
            ours.into_iter().for_each(|key| self.change(key, None));
            out.push(Output::TakeoverSuperseded(incarnation));
        }
        let begin: Vec<(Incarnation, u64, bool)> = self
            .successors
            .by_incarnation
            .iter()
            .filter(|(incarnation, _)| !self.takeovers.contains_key(*incarnation))
            .filter_map(|(incarnation, successor)| {
                let epoch = self.successors.acting_epoch(incarnation, &self.own.incarnation, begun)?;
                let along = successor.incarnation != self.own.incarnation;
                // Incarnations that a lost successor had not settled are taken over from their replicas.
                (!along || successor.settled).then(|| (Incarnation::clone(incarnation), epoch, along))
            })
            .collect();
        for (incarnation, epoch, along) in begin.into_iter().filter(|_| self.incarnations) {
            if along {
                self.rest.insert(Incarnation::clone(&incarnation), self.now);
                self.takeovers.insert(incarnation, Takeover::along(epoch, self.now));
                continue;
            }
            let whom: BTreeSet<Name> = self.peers.keys().cloned().collect();
            let replica = self.replicas.get_mut(&incarnation).map(|held| {
                held.replica.head.epoch = epoch;
                held.replica.clone()
            });
            let own = replica.map(|replica| (&self.own.name, replica));
            let takeover = Takeover::new(epoch, self.now, whom, own);
            self.takeovers.insert(Incarnation::clone(&incarnation), takeover);
            self.asked.insert(incarnation, 0);
        }
        self.next_tick = self.now;
    }

    /// Advances the takeovers of this front: requests, adopts, settles and ends them.
    fn go_on(&mut self, out: &mut Vec<Output>) {
        let here: BTreeSet<Name> = self.peers.keys().cloned().collect();
        let incarnations: Vec<Incarnation> = self.takeovers.keys().cloned().collect();
        let filled = self.owner.holders.len().min(self.own.copies) >= self.enough();
        let (level, now) = (filled && self.owner.waits() == 0 && self.level(), self.now);
        let unheard = self.takeovers.values().any(|takeover| !takeover.settled && !takeover.handed);
        for incarnation in incarnations {
            let due = self.asked.get(&incarnation).is_none_or(|at| *at <= now);
            let Some(takeover) = self.takeovers.get_mut(&incarnation) else { continue };
            takeover.only(&here);
            let (epoch, link) = (
                takeover.epoch,
                self.successors.by_incarnation.get(&incarnation).map_or(0, |successor| successor.epoch),
            );
            if takeover.settled && !takeover.handed {
                // None of its records were among the other's; the boxes are asked all the same.
                if !unheard {
                    takeover.handed = true;
                    out.push(Output::TakeOver(incarnation, epoch, Vec::new()));
                }
                continue;
            }
            if !takeover.handed {
                if due {
                    for name in takeover.waits() {
                        out.push(Output::Send(
                            Name::clone(name),
                            Body::Gather(Incarnation::clone(&incarnation), epoch),
                        ));
                    }
                    self.asked.insert(Incarnation::clone(&incarnation), now + GATHER_RETRY_INTERVAL);
                }
                if takeover.ripe(now) {
                    self.adopt(&incarnation, out);
                }
                continue;
            }
            if !takeover.settled {
                if self.successors.by_incarnation.get(&incarnation).is_some_and(|successor| successor.settled)
                {
                    takeover.settled = true;
                    self.rest.insert(Incarnation::clone(&incarnation), now);
                    self.drop_shelf(&incarnation);
                } else if level && due {
                    out.push(Output::ChangeSuccessors(vec![SuccessionChange::Settled(
                        Incarnation::clone(&incarnation),
                        link,
                    )]));
                    self.asked.insert(incarnation, now + VOTER_RETRY_INTERVAL);
                }
                continue;
            }
            if self.owner.keys().any(|key| belongs_to(key, &incarnation)) {
                self.rest.insert(incarnation, now);
            } else if due && self.rest.get(&incarnation).is_none_or(|since| since + END_DELAY <= now) {
                out.push(Output::ChangeSuccessors(vec![SuccessionChange::Ended(
                    Incarnation::clone(&incarnation),
                    link,
                )]));
                self.asked.insert(incarnation, now + 2 * VOTER_RETRY_INTERVAL);
            }
        }
    }

    /// Whether enough holders have all changes of this front.
    fn level(&self) -> bool {
        let number = self.owner.number();
        let level = self.owner.holders.values().filter(|holder| holder.acked == number).count();
        level >= self.enough()
    }

    fn takes(&self, incarnation: &Incarnation) -> SuccessionChange {
        let successor = Successor {
            epoch: self.successors.epoch_of(incarnation) + 1,
            name: Name::clone(&self.own.name),
            incarnation: Incarnation::clone(&self.own.incarnation),
            client_address: self.own.client_address,
            version: 0,
            settled: false,
        };
        SuccessionChange::TakeOver(Incarnation::clone(incarnation), successor)
    }

    /// No front has a replica: this front takes over its own earlier incarnation, with the sessions that
    /// boxes report.
    fn found(&mut self, incarnation: Incarnation, out: &mut Vec<Output>) {
        if self.incarnations && !self.successors.is_superseded(&incarnation) {
            out.push(Output::ChangeSuccessors(vec![self.takes(&incarnation)]));
        }
    }

    /// Handles replicas whose owners are lost: proposes a takeover, offers the replica to a successor, or
    /// deletes it.
    fn orphans(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let new_here = self.boot.is_none() || self.here_since + VIEW_SETTLE_TIME > now;
        let here: BTreeSet<Name> = self.peers.keys().cloned().collect();
        let (mut drops, mut offers, mut wants) = (Vec::new(), Vec::new(), Vec::new());
        for (incarnation, held) in &mut self.replicas {
            if self.successors.ended.contains_key(incarnation) {
                drops.push(Incarnation::clone(incarnation));
                continue;
            }
            let successor = self.successors.by_incarnation.get(incarnation);
            if let Some(successor) = successor.filter(|successor| successor.settled) {
                let last = self.successors.current(incarnation).unwrap_or(successor);
                if last.incarnation == self.own.incarnation {
                    drops.push(Incarnation::clone(incarnation));
                } else if held.offered + 2 * HOLDER_TIMEOUT <= now && here.contains(&last.name) {
                    offers.push((Name::clone(&last.name), Incarnation::clone(incarnation)));
                }
                continue;
            }
            let begun = successor.is_some_and(|successor| successor.version <= self.begun);
            let forsaken = begun && held.successor.is_some_and(|heard| heard + SUCCESSOR_TIMEOUT <= now);
            let gone = match successor {
                Some(successor) => {
                    successor.incarnation != self.own.incarnation
                        && (self.successors.is_superseded(&successor.incarnation)
                            || !here.contains(&successor.name)
                            || forsaken)
                }
                None => {
                    let head = &held.replica.head;
                    let other_boot = |peer: &Peer| peer.boot != head.boot;
                    self.peers.get(&head.owner).is_none_or(other_boot)
                }
            };
            if !gone {
                held.orphan = None;
                continue;
            }
            let since = *held.orphan.get_or_insert(now);
            let head = &held.replica.head;
            let wait = takeover::patience(&self.own.name, &head.owner, &head.holders, &here);
            let due = self.asked.get(incarnation).is_none_or(|at| *at <= now);
            if new_here || since + wait > now || !due || !self.incarnations {
                continue;
            }
            if held.replica.live_records() == 0 {
                // The replica has no records.
                if since + HOLDER_AVOIDANCE <= now {
                    drops.push(Incarnation::clone(incarnation));
                }
                continue;
            }
            wants.push(Incarnation::clone(incarnation));
            self.asked.insert(Incarnation::clone(incarnation), now + VOTER_RETRY_INTERVAL);
        }
        drops.iter().for_each(|incarnation| self.drop_shelf(incarnation));
        offers.iter().for_each(|(to, incarnation)| self.offer(to, incarnation, out));
        if !wants.is_empty() {
            out.push(Output::ChangeSuccessors(
                wants.iter().map(|incarnation| self.takes(incarnation)).collect(),
            ));
        }
    }

    fn view(&mut self, peers: Vec<Peer>, boot: Option<u64>) {
        if self.boot.is_none() && boot.is_some() {
            self.here_since = self.now;
        }
        if boot.is_some() {
            self.boot = boot;
        }
        self.peers = peers.into_iter().map(|peer| (Name::clone(&peer.name), peer)).collect();
        self.loads.retain(|name, _| self.peers.contains_key(name));
        self.next_tick = self.now;
    }

    // ---- Timers ----

    fn tick(&mut self, out: &mut Vec<Output>) {
        if self.now >= self.next_tick {
            // Danger: time during which this process was suspended would count as silence of its holders.
            let late = self.now - self.next_tick;
            self.silent.values_mut().for_each(|heard| *heard = (*heard + late).min(self.now));
            self.next_tick = self.now + TICK_INTERVAL;
            self.regroup(out);
            self.orphans(out);
            self.go_on(out);
            self.owner.bound(MAX_TOMBSTONES);
        }
        self.flush(out);
        if self.now >= self.next_beat {
            self.next_beat = self.now + HEARTBEAT_INTERVAL;
            self.beat(out);
        }
    }

    /// On shutdown without records, holders may delete their replicas.
    fn leave(&mut self, out: &mut Vec<Output>) {
        if self.owner.live_records() == 0 {
            for name in self.owner.group() {
                out.push(Output::Send(name, Body::Drop(Incarnation::clone(&self.own.incarnation))));
            }
            self.journal.push(Write::Drop(Incarnation::clone(&self.own.incarnation)));
        }
    }
}

/// Whether a session id belongs to this incarnation.
pub fn belongs_to(key: &str, incarnation: &str) -> bool {
    key.strip_prefix(incarnation).is_some_and(|rest| rest.starts_with('-'))
}

/// The incarnation that a session id begins with.
pub fn incarnation_of(key: &str) -> Option<&str> {
    key.rsplit_once('-').map(|(incarnation, _)| incarnation)
}

#[cfg(test)]
mod tests;
