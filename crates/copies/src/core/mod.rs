//! Copies of what a front has promised, as state, with no I/O, clock or thread: told what comes, it answers with what is
//! to be written, sent and told.
//!
//! A promise is a key (the id of a session) and what stands under it, in the front's own words, which nothing here reads.
//! [`Copies::handle`] takes the time (of a clock that only goes forward, of this process alone) and one [`Input`];
//! [`Copies::next_due`] tells when it must be called again. What an [`Output::Write`] holds is on the disk, flushed if the
//! settings want that, before anything after it is carried out.
//!
//! - [`owner`]: a front's own promises, and how far each holder has them. [`place`]: who is to hold them.
//! - [`shelf`]: what a holder has of another's, and what several of them say together.
//! - [`heir`]: going on with what was another's.

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

/// Key of a promise.
pub type RecordKey = Arc<str>;
/// What stands under it.
pub type RecordBody = Arc<[u8]>;

/// Bytes of changes in one message, about.
pub const BATCH_BYTES: usize = 48 * 1024;
/// What is not acknowledged is sent again after this.
pub const RESEND_TIMEOUT: Micros = 400_000;
/// An heir waits so long for what others hold.
pub const GATHER_TIMEOUT: Micros = 1_000_000;
/// Holders are told how things stand this often while nothing changes.
const HEARTBEAT_INTERVAL: Micros = 500_000;
/// The core looks around this often.
const TICK_INTERVAL: Micros = 50_000;
/// A holder that has not answered for so long is given up, though it is in the view.
const HOLDER_TIMEOUT: Micros = 2_500_000;
/// It is not chosen again for so long.
const HOLDER_AVOIDANCE: Micros = 10_000_000;
/// What is asked of the voters is asked again after this.
const VOTER_RETRY_INTERVAL: Micros = 500_000;
/// An heir asks those that have not answered again after this.
const GATHER_RETRY_INTERVAL: Micros = 400_000;
/// An unsettled life of whose heir nothing was heard for so long wants another one.
const SUCCESSOR_TIMEOUT: Micros = 4_000_000;
/// A life of which nothing is left is told to be over after this.
const END_DELAY: Micros = 2_000_000;
/// Ends kept for holders that are behind.
const MAX_TOMBSTONES: usize = 4_096;

/// What happens where there are fewer fronts than copies wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TooFewPolicy {
    /// A promise counts with as many as there are.
    GoOn,
    /// It does not count.
    Refuse,
}

/// What a front is told of itself.
#[derive(Clone, Debug)]
pub struct FrontIdentity {
    /// Its name.
    pub name: Name,
    /// Its life: what ids of its sessions begin with.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: u32,
    /// Where players reach it.
    pub client_address: Option<SocketAddr>,
    /// Number of its disk, drawn when that was first used.
    pub disk_id: u64,
    /// Fronts that hold a copy, beside this one.
    pub copies: usize,
    /// So many of them must have a promise before it counts.
    pub required_copies: usize,
    /// See [`TooFew`].
    pub too_few: TooFewPolicy,
    /// A promise that does not count after this long is given up.
    pub store_timeout: Micros,
    /// Promises of others that it holds at most.
    pub max_records: usize,
}

/// A front in the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: u32,
    /// Which start of its process.
    pub boot: u64,
}

/// What fronts say to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Body {
    /// To a holder: after `from` changes of this life come these, up to `to`; nothing between is left out if `whole`. With
    /// digests where nothing is on its way.
    Put {
        /// Which life.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// Which start of the owner's process.
        boot: u64,
        /// See above.
        from: u64,
        /// See above.
        to: u64,
        /// See above.
        whole: bool,
        /// What changed.
        changes: Vec<Change>,
        /// All holders.
        group: Vec<Name>,
        /// Digests of all parts after `to`.
        digests: Option<[u64; PARTITIONS]>,
    },
    /// To an owner: so many changes are there, on this disk; so many promises of others are held in all.
    Ack(Incarnation, u64, u64, u64),
    /// To an owner: nothing of this life is taken: it is full here, or the life is another's now.
    #[serde(rename = "No")]
    Refused(Incarnation),
    /// To an owner: these parts differ after so many changes.
    Differs(Incarnation, u64, Vec<u8>),
    /// To a holder: a part as it is after so many changes.
    Part(Incarnation, u64, u8, Vec<Change>),
    /// To a holder: nothing of this life is to be kept any more.
    Drop(Incarnation),
    /// Of the heir by this epoch: what is there of this life?
    Gather(Incarnation, u64),
    /// A part of it, and whether it is the last one.
    Gathered(Incarnation, ReplicaHead, Vec<Change>, bool),
}

/// What a front hears.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message, from whom.
    Received(Name, Box<Body>),
    /// Something may be due.
    Tick,
    /// A promise; whether somebody waits until it counts.
    PutRecord(RecordKey, RecordBody, bool),
    /// It is no more.
    DeleteRecord(RecordKey),
    /// Who is in the view but this front, and which start of its own process the view knows, if it is there.
    View(Vec<Peer>, Option<u64>),
    /// Who goes on with whose promises, and the version that has begun.
    Successors(Arc<Successors>, u64),
    /// Boxes hold something of an earlier life of this front, and nobody has taken it over.
    OrphanFound(Incarnation),
    /// This front lives anew.
    IncarnationChanged(Incarnation),
    /// It ends in order, with nothing promised.
    Leave,
}

/// One change of the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// About a shelf.
    Head(Incarnation, ReplicaHead),
    /// An entry of it; nothing, where it is no more.
    Entry(Incarnation, RecordKey, Option<(u64, Option<RecordBody>)>),
    /// All of it is no more.
    Drop(Incarnation),
}

/// What the edge is to do, and what is worth knowing.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write these in one piece.
    Write(Vec<Write>),
    /// Send this.
    Send(Name, Body),
    /// A promise counts, or does not: then the front keeps none.
    RecordStored(RecordKey, bool),
    /// Ask the voters for this.
    ChangeSuccessors(Vec<SuccessionChange>),
    /// This front goes on with these promises, by this epoch.
    TakeOver(Incarnation, u64, Vec<(RecordKey, RecordBody)>),
    /// Another one goes on with this front's own life.
    TakenOver(Incarnation, Successor),
    /// Another one goes on with a life that this front had taken over.
    TakeoverSuperseded(Incarnation),
    /// Nothing is left of a life that was taken over: worth knowing.
    IncarnationEnded(Incarnation),
    /// Who holds copies has changed.
    HoldersChanged(Vec<Name>),
}

/// What was on the disk.
#[derive(Clone, Debug, Default)]
pub struct Image {
    /// Shelves by life.
    pub replicas: Replicas,
}

impl Image {
    /// One write takes place.
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
                // An entry comes ahead of the first word about its shelf where both are new.
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

/// A shelf and what is known of its owner.
#[derive(Clone, Debug)]
struct HeldReplica {
    replica: Replica,
    /// Since when its owner is gone.
    orphan: Option<Micros>,
    /// When its heir was last heard.
    successor: Option<Micros>,
    offered: Micros,
}

/// Copies at one front.
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
    /// A front that starts on this image.
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

    /// A front's own promises.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Its life.
    pub fn incarnation(&self) -> &Incarnation {
        &self.own.incarnation
    }

    /// What it holds of others, by life.
    pub fn replicas(&self) -> impl Iterator<Item = (&Incarnation, &Replica)> {
        self.replicas.iter().map(|(incarnation, held)| (incarnation, &held.replica))
    }

    /// Lives that it has taken over, with their epochs, and whether all of each is settled.
    pub fn takeovers(&self) -> impl Iterator<Item = (&Incarnation, u64, bool)> {
        self.takeovers.iter().map(|(incarnation, takeover)| (incarnation, takeover.epoch, takeover.settled))
    }

    /// Promises of others that it holds.
    pub fn records_held(&self) -> usize {
        self.replicas.values().map(|held| held.replica.entries.len()).sum()
    }

    /// When it must be called again.
    pub fn next_due(&self) -> Micros {
        self.owner.next_late().map_or(self.next_tick, |late| late.min(self.next_tick))
    }

    /// Takes in one input; what follows is added to `out`, in order. Changes go out with the next
    /// [`Input::Tick`], so that those that come together go together.
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
                // Danger: who refused the life before, since it is another's, is avoided by this one, which can promise
                // nothing meanwhile.
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

    // ---- A front's own promises ----

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
        // One head for all changes that go to the disk together.
        self.journal.retain(|write| !matches!(write, Write::Head(of, _) if of == incarnation));
        self.journal.push(Write::Head(Incarnation::clone(incarnation), head));
    }

    /// How many holders make a promise count now.
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
            // Danger: the front has given it up, and a copy of it would be taken for a promise.
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

    /// Tells holders how things stand; they answer whether that is so with them.
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

    /// Who is to hold copies: those that are gone or silent are replaced, one at a time.
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

    // ---- What comes ----

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
                    // It holds what is no more anybody's here.
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
        // Danger: an owner that was replaced goes on as if it were not, and is told that its promises count.
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

    // ---- Heirs ----

    /// An heir asks what is here of a life. From now on nothing of the owner is taken.
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

    /// Tells an heir what is here.
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
            // It was away, and comes with what it has.
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
        // What this life had taken over is among its promises, and has epochs of its own.
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
            // Its own disk holds the life as any other front's does: the heir may ask for it.
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
                // What an heir had not got together before it was lost itself is taken over anew.
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

    /// Asks, hands over, settles and ends what this front goes on with.
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
                // Nothing of it was among the other's promises; boxes are asked all the same.
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

    /// Whether enough holders have all that was promised here.
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

    /// Nobody has a copy: this front takes its own earlier life over, with what boxes hold of it.
    fn found(&mut self, incarnation: Incarnation, out: &mut Vec<Output>) {
        if self.incarnations && !self.successors.is_superseded(&incarnation) {
            out.push(Output::ChangeSuccessors(vec![self.takes(&incarnation)]));
        }
    }

    /// Lives whose owners are gone: proposed, offered or dropped.
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
                // Nothing was promised, as far as is known here.
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

    // ---- Time ----

    fn tick(&mut self, out: &mut Vec<Output>) {
        if self.now >= self.next_tick {
            // Danger: the time in which this process was not running is taken for silence of its holders.
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

    /// All was released: whoever holds copies may forget them.
    fn leave(&mut self, out: &mut Vec<Output>) {
        if self.owner.live_records() == 0 {
            for name in self.owner.group() {
                out.push(Output::Send(name, Body::Drop(Incarnation::clone(&self.own.incarnation))));
            }
            self.journal.push(Write::Drop(Incarnation::clone(&self.own.incarnation)));
        }
    }
}

/// Whether a session's id is of this life.
pub fn belongs_to(key: &str, incarnation: &str) -> bool {
    key.strip_prefix(incarnation).is_some_and(|rest| rest.starts_with('-'))
}

/// The life that a session's id begins with.
pub fn incarnation_of(key: &str) -> Option<&str> {
    key.rsplit_once('-').map(|(incarnation, _)| incarnation)
}

#[cfg(test)]
mod tests;
