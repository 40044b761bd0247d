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

pub mod heir;
pub mod owner;
pub mod place;
pub mod shelf;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use salttally_accord::core::heirs::{Heir, Heirs, Succession};
use serde::{Deserialize, Serialize};

use heir::{Gather, NEW_HERE};
use owner::{Batch, Owner};
use place::Candidate;
use shelf::{part, Change, Head, Shelf, Shelves, PARTS};

pub use salttally_accord::core::heirs::Life;
pub use salttally_accord::core::{Micros, Name};

/// Key of a promise.
pub type Key = Arc<str>;
/// What stands under it.
pub type Bytes = Arc<[u8]>;

/// Bytes of changes in one message, about.
pub const BATCH: usize = 48 * 1024;
/// What is not acknowledged is sent again after this.
pub const RESEND: Micros = 400_000;
/// An heir waits so long for what others hold.
pub const GATHER: Micros = 1_000_000;
/// Holders are told how things stand this often while nothing changes.
const BEAT: Micros = 500_000;
/// The core looks around this often.
const TICK: Micros = 50_000;
/// A holder that has not answered for so long is given up, though it is in the view.
const SILENT: Micros = 2_500_000;
/// It is not chosen again for so long.
const AVOIDED: Micros = 10_000_000;
/// What is asked of the voters is asked again after this.
const AGAIN: Micros = 500_000;
/// An heir asks those that have not answered again after this.
const ASK_AGAIN: Micros = 400_000;
/// An unsettled life of whose heir nothing was heard for so long wants another one.
const FORSAKEN: Micros = 4_000_000;
/// A life of which nothing is left is told to be over after this.
const REST: Micros = 2_000_000;
/// Ends kept for holders that are behind.
const ENDS: usize = 4_096;

/// What happens where there are fewer fronts than copies wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TooFew {
    /// A promise counts with as many as there are.
    GoOn,
    /// It does not count.
    Refuse,
}

/// What a front is told of itself.
#[derive(Clone, Debug)]
pub struct Own {
    /// Its name.
    pub name: Name,
    /// Its life: what ids of its sessions begin with.
    pub life: Life,
    /// Its zone.
    pub zone: u32,
    /// Where players reach it.
    pub serves: Option<SocketAddr>,
    /// Number of its disk, drawn when that was first used.
    pub disk: u64,
    /// Fronts that hold a copy, beside this one.
    pub copies: usize,
    /// So many of them must have a promise before it counts.
    pub enough: usize,
    /// See [`TooFew`].
    pub too_few: TooFew,
    /// A promise that does not count after this long is given up.
    pub within: Micros,
    /// Promises of others that it holds at most.
    pub most: usize,
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
        life: Life,
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
        digests: Option<[u64; PARTS]>,
    },
    /// To an owner: so many changes are there, on this disk; so many promises of others are held in all.
    Ack(Life, u64, u64, u64),
    /// To an owner: nothing of this life is taken: it is full here, or the life is another's now.
    No(Life),
    /// To an owner: these parts differ after so many changes.
    Differs(Life, u64, Vec<u8>),
    /// To a holder: a part as it is after so many changes.
    Part(Life, u64, u8, Vec<Change>),
    /// To a holder: nothing of this life is to be kept any more.
    Drop(Life),
    /// Of the heir by this epoch: what is there of this life?
    Gather(Life, u64),
    /// A part of it, and whether it is the last one.
    Gathered(Life, Head, Vec<Change>, bool),
}

/// What a front hears.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message, from whom.
    Heard(Name, Box<Body>),
    /// Something may be due.
    Tick,
    /// A promise; whether somebody waits until it counts.
    Keep(Key, Bytes, bool),
    /// It is no more.
    End(Key),
    /// Who is in the view but this front, and which start of its own process the view knows, if it is there.
    View(Vec<Peer>, Option<u64>),
    /// Who goes on with whose promises, and the version that has begun.
    Heirs(Arc<Heirs>, u64),
    /// Boxes hold something of an earlier life of this front, and nobody has taken it over.
    Found(Life),
    /// This front lives anew.
    Lives(Life),
    /// It ends in order, with nothing promised.
    Leave,
}

/// One change of the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// About a shelf.
    Head(Life, Head),
    /// An entry of it; nothing, where it is no more.
    Entry(Life, Key, Option<(u64, Option<Bytes>)>),
    /// All of it is no more.
    Drop(Life),
}

/// What the edge is to do, and what is worth knowing.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write these in one piece.
    Write(Vec<Write>),
    /// Send this.
    Send(Name, Body),
    /// A promise counts, or does not: then the front keeps none.
    Kept(Key, bool),
    /// Ask the voters for this.
    Succeed(Vec<Succession>),
    /// This front goes on with these promises, by this epoch.
    Adopt(Life, u64, Vec<(Key, Bytes)>),
    /// Another one goes on with this front's own life.
    Replaced(Life, Heir),
    /// Another one goes on with a life that this front had taken over.
    Gone(Life),
    /// Nothing is left of a life that was taken over: worth knowing.
    Over(Life),
    /// Who holds copies has changed.
    Group(Vec<Name>),
}

/// What was on the disk.
#[derive(Clone, Debug, Default)]
pub struct Image {
    /// Shelves by life.
    pub shelves: Shelves,
}

impl Image {
    /// One write takes place.
    pub fn write(&mut self, write: &Write) {
        match write {
            Write::Head(life, head) => match self.shelves.get_mut(life) {
                Some(shelf) => shelf.head = head.clone(),
                None => {
                    let shelf = Shelf { head: head.clone(), entries: BTreeMap::new() };
                    self.shelves.insert(Life::clone(life), shelf);
                }
            },
            Write::Entry(life, key, entry) => {
                // An entry comes ahead of the first word about its shelf where both are new.
                let blank = || Shelf::new(&Name::from(""), 0);
                let shelf = self.shelves.entry(Life::clone(life)).or_insert_with(blank);
                match entry {
                    Some(entry) => shelf.entries.insert(Key::clone(key), entry.clone()),
                    None => shelf.entries.remove(key),
                };
            }
            Write::Drop(life) => drop(self.shelves.remove(life)),
        }
    }
}

/// A shelf and what is known of its owner.
#[derive(Clone, Debug)]
struct Held {
    shelf: Shelf,
    /// Since when its owner is gone.
    orphan: Option<Micros>,
    /// When its heir was last heard.
    heir: Option<Micros>,
    offered: Micros,
}

/// Copies at one front.
#[derive(Clone, Debug)]
pub struct Copies {
    own: Own,
    now: Micros,
    lives: bool,
    owner: Owner,
    boot: Option<u64>,
    here_since: Micros,
    peers: BTreeMap<Name, Peer>,
    loads: BTreeMap<Name, u64>,
    avoided: BTreeMap<Name, Micros>,
    silent: BTreeMap<Name, Micros>,
    shelves: BTreeMap<Life, Held>,
    gathers: BTreeMap<Life, Gather>,
    heirs: Arc<Heirs>,
    begun: u64,
    asked: BTreeMap<Life, Micros>,
    rest: BTreeMap<Life, Micros>,
    journal: Vec<Write>,
    next_tick: Micros,
    next_beat: Micros,
}

impl Copies {
    /// A front that starts on this image.
    pub fn new(own: Own, image: Image, now: Micros) -> Copies {
        let held = |shelf| Held { shelf, orphan: None, heir: None, offered: 0 };
        Copies {
            own,
            now,
            lives: true,
            owner: Owner::default(),
            boot: None,
            here_since: now,
            peers: BTreeMap::new(),
            loads: BTreeMap::new(),
            avoided: BTreeMap::new(),
            silent: BTreeMap::new(),
            shelves: image.shelves.into_iter().map(|(life, shelf)| (life, held(shelf))).collect(),
            gathers: BTreeMap::new(),
            heirs: Arc::default(),
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
    pub fn life(&self) -> &Life {
        &self.own.life
    }

    /// What it holds of others, by life.
    pub fn shelves(&self) -> impl Iterator<Item = (&Life, &Shelf)> {
        self.shelves.iter().map(|(life, held)| (life, &held.shelf))
    }

    /// Lives that it has taken over, with their epochs, and whether all of each is settled.
    pub fn taken(&self) -> impl Iterator<Item = (&Life, u64, bool)> {
        self.gathers.iter().map(|(life, gather)| (life, gather.epoch, gather.settled))
    }

    /// Promises of others that it holds.
    pub fn holds(&self) -> usize {
        self.shelves.values().map(|held| held.shelf.entries.len()).sum()
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
            Input::Heard(from, body) => self.heard(from, *body, &mut then),
            Input::Tick => self.tick(&mut then),
            Input::Keep(key, body, waits) => self.keep(key, body, waits, &mut then),
            Input::End(key) => self.change(key, None),
            Input::View(peers, boot) => self.view(peers, boot),
            Input::Heirs(heirs, begun) => self.heirs(heirs, begun, &mut then),
            Input::Found(life) => self.found(life, &mut then),
            Input::Lives(life) => {
                (self.own.life, self.lives, self.owner) = (life, true, Owner::default());
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

    fn keep(&mut self, key: Key, body: Bytes, waits: bool, out: &mut Vec<Output>) {
        if !self.lives {
            if waits {
                out.push(Output::Kept(key, false));
            }
            return;
        }
        if waits {
            self.owner.wait(Key::clone(&key), self.now + self.own.within);
        }
        self.change(key, Some(body));
    }

    fn change(&mut self, key: Key, body: Option<Bytes>) {
        if !self.lives {
            return;
        }
        let Some(change) = self.owner.change(key, body) else { return };
        let entry = change.body.map(|body| (change.number, Some(body)));
        self.journal.push(Write::Entry(Life::clone(&self.own.life), change.key, entry));
        self.own_head();
    }

    fn own_head(&mut self) {
        let head = Head {
            owner: Name::clone(&self.own.name),
            boot: self.boot.unwrap_or(0),
            epoch: 0,
            have: self.owner.number(),
            whole: true,
            group: self.owner.group(),
        };
        let life = &self.own.life;
        // One head for all changes that go to the disk together.
        self.journal.retain(|write| !matches!(write, Write::Head(of, _) if of == life));
        self.journal.push(Write::Head(Life::clone(life), head));
    }

    /// How many holders make a promise count now.
    fn enough(&self) -> usize {
        match self.own.too_few {
            TooFew::GoOn => self.own.enough.min(self.peers.len()),
            TooFew::Refuse => self.own.enough,
        }
    }

    fn kept(&mut self, out: &mut Vec<Output>) {
        let enough = self.enough();
        let (kept, late) = self.owner.settled(self.now, enough);
        out.extend(kept.into_iter().map(|key| Output::Kept(key, true)));
        for key in late {
            // Danger: the front has given it up, and a copy of it would be taken for a promise.
            self.change(Key::clone(&key), None);
            out.push(Output::Kept(key, false));
        }
    }

    fn flush(&mut self, out: &mut Vec<Output>) {
        self.owner.again(self.now);
        let (group, life, boot) = (self.owner.group(), Life::clone(&self.own.life), self.boot.unwrap_or(0));
        for name in &group {
            while let Some(Batch { from, to, whole, changes }) = self.owner.batch(self.now, name) {
                let (life, group) = (Life::clone(&life), group.clone());
                let body = Body::Put { life, boot, from, to, whole, changes, group, digests: None };
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
                    life: Life::clone(&self.own.life),
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
            let silent = *heard + SILENT <= now;
            if silent {
                self.avoided.insert(Name::clone(name), now + AVOIDED);
            }
            if silent || !self.peers.contains_key(name) {
                self.owner.holders.remove(name);
                self.silent.remove(name);
            }
        }
        let filling = self.owner.holders.values().any(|holder| !holder.filled);
        if self.owner.holders.len() < self.own.copies && !filling && self.boot.is_some() && self.lives {
            let all: Vec<Candidate> = self
                .peers
                .values()
                .filter(|peer| !self.avoided.contains_key(&peer.name))
                .map(|peer| Candidate {
                    name: Name::clone(&peer.name),
                    zone: peer.zone,
                    holds: self.loads.get(&peer.name).copied().unwrap_or(0),
                })
                .collect();
            let holders =
                before.iter().filter(|name| self.owner.holders.contains_key(*name)).cloned().collect();
            if let Some(name) = place::next(&self.own.name, self.own.zone, &holders, &all) {
                self.owner.begin(now, Name::clone(&name));
                self.silent.insert(name, now);
                self.next_beat = now;
            }
        }
        let after = self.owner.group();
        if after != before {
            self.own_head();
            out.push(Output::Group(after));
        }
    }

    // ---- What comes ----

    fn heard(&mut self, from: Name, body: Body, out: &mut Vec<Output>) {
        match body {
            Body::Put { life, boot, from: after, to, whole, changes, group, digests } => {
                self.put(&from, life, boot, (after, to, whole), &changes, group, digests, out);
            }
            Body::Ack(life, have, disk, holds) => {
                self.loads.insert(Name::clone(&from), holds);
                if life == self.own.life {
                    self.silent.insert(Name::clone(&from), self.now);
                    self.owner.acked(self.now, &from, have, disk);
                    self.flush(out);
                } else {
                    // It holds what is no more anybody's here.
                    let stands =
                        self.heirs.retired(&life) || life.starts_with(&format!("{}-", self.own.name));
                    if !stands {
                        out.push(Output::Send(from, Body::Drop(life)));
                    }
                }
            }
            Body::No(life) => {
                if life == self.own.life && self.owner.holders.remove(&from).is_some() {
                    self.avoided.insert(from, self.now + AVOIDED);
                    self.regroup(out);
                }
            }
            Body::Differs(life, have, parts) => {
                if life == self.own.life && have == self.owner.number() {
                    for which in parts {
                        let changes = self.owner.part(usize::from(which));
                        let body = Body::Part(Life::clone(&life), have, which, changes);
                        out.push(Output::Send(Name::clone(&from), body));
                    }
                }
            }
            Body::Part(life, have, which, changes) => self.part(&from, &life, have, which, &changes),
            Body::Drop(life) => self.drop_of(&from, &life),
            Body::Gather(life, epoch) => self.gather(&from, life, epoch, out),
            Body::Gathered(life, head, changes, last) => {
                self.gathered(&from, &life, head, &changes, last, out)
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn put(
        &mut self,
        from: &Name,
        life: Life,
        boot: u64,
        (after, to, whole): (u64, u64, bool),
        changes: &[Change],
        group: Vec<Name>,
        digests: Option<[u64; PARTS]>,
        out: &mut Vec<Output>,
    ) {
        // Danger: an owner that was replaced goes on as if it were not, and is told that its promises count.
        let fenced = self.heirs.retired(&life)
            || self.shelves.get(&life).is_some_and(|held| held.shelf.head.epoch > 0);
        let known = self.shelves.contains_key(&life);
        let full =
            !known && self.holds() >= self.own.most || self.holds() + changes.len() > 2 * self.own.most;
        if fenced || full || life == self.own.life {
            out.push(Output::Send(Name::clone(from), Body::No(life)));
            return;
        }
        let fresh = || Held { shelf: Shelf::new(from, boot), orphan: None, heir: None, offered: 0 };
        let held = self.shelves.entry(Life::clone(&life)).or_insert_with(fresh);
        if held.shelf.head.owner != *from {
            out.push(Output::Send(Name::clone(from), Body::No(life)));
            return;
        }
        let before = held.shelf.head.clone();
        (held.shelf.head.group, held.shelf.head.boot) = (group, boot);
        let beat = after == 0 && to == 0 && changes.is_empty() && held.shelf.head.have > 0;
        let took = !beat && held.shelf.put(after, to, whole, changes);
        if took {
            for change in changes {
                let entry = held.shelf.entries.get(&change.key).cloned();
                self.journal.push(Write::Entry(Life::clone(&life), Key::clone(&change.key), entry));
            }
        }
        if held.shelf.head != before {
            self.journal.push(Write::Head(Life::clone(&life), held.shelf.head.clone()));
        }
        if let Some(theirs) = digests.filter(|_| took && held.shelf.head.have == to) {
            let ours = held.shelf.digests();
            let differ: Vec<u8> =
                (0..PARTS as u8).filter(|at| ours[*at as usize] != theirs[*at as usize]).collect();
            if !differ.is_empty() {
                out.push(Output::Send(Name::clone(from), Body::Differs(Life::clone(&life), to, differ)));
            }
        }
        let have = held.shelf.head.have;
        let holds = self.holds() as u64;
        out.push(Output::Send(Name::clone(from), Body::Ack(life, have, self.own.disk, holds)));
    }

    fn part(&mut self, from: &Name, life: &Life, have: u64, which: u8, changes: &[Change]) {
        let Some(held) = self.shelves.get_mut(life) else { return };
        let head = &held.shelf.head;
        if head.owner != *from || head.have != have || !head.whole || head.epoch > 0 {
            return;
        }
        let sound = changes.iter().all(|change| part(&change.key) == usize::from(which));
        if !sound {
            return;
        }
        let gone = held.shelf.repair(usize::from(which), changes);
        let entry = |key: Key, entry| Write::Entry(Life::clone(life), key, entry);
        self.journal.extend(gone.into_iter().map(|key| entry(key, None)));
        self.journal
            .extend(changes.iter().map(|c| entry(Key::clone(&c.key), Some((c.number, c.body.clone())))));
    }

    fn drop_of(&mut self, from: &Name, life: &Life) {
        let by_owner = self.shelves.get(life).is_some_and(|held| held.shelf.head.owner == *from);
        let by_heir = self.heirs.last(life).is_some_and(|heir| heir.name == *from);
        if by_owner && !self.heirs.retired(life) || by_heir {
            self.drop_shelf(life);
        }
    }

    fn drop_shelf(&mut self, life: &Life) {
        if self.shelves.remove(life).is_some() {
            self.journal.push(Write::Drop(Life::clone(life)));
        }
    }

    // ---- Heirs ----

    /// An heir asks what is here of a life. From now on nothing of the owner is taken.
    fn gather(&mut self, from: &Name, life: Life, epoch: u64, out: &mut Vec<Output>) {
        if epoch < self.heirs.reached(&life) {
            return;
        }
        let Some(held) = self.shelves.get_mut(&life) else {
            let head = Shelf::new(from, 0).head;
            out.push(Output::Send(Name::clone(from), Body::Gathered(life, head, Vec::new(), true)));
            return;
        };
        held.heir = Some(self.now);
        if held.shelf.head.epoch < epoch {
            held.shelf.head.epoch = epoch;
            self.journal.push(Write::Head(Life::clone(&life), held.shelf.head.clone()));
        }
        self.offer(from, &life, out);
    }

    /// Tells an heir what is here.
    fn offer(&mut self, to: &Name, life: &Life, out: &mut Vec<Output>) {
        let Some(held) = self.shelves.get_mut(life) else { return };
        held.offered = self.now;
        let (mut part, mut size) = (Vec::new(), 0);
        let head = &held.shelf.head;
        let send = |part: Vec<Change>, last: bool, out: &mut Vec<Output>| {
            let body = Body::Gathered(Life::clone(life), head.clone(), part, last);
            out.push(Output::Send(Name::clone(to), body));
        };
        for change in held.shelf.changes() {
            size += change.size();
            part.push(change);
            if size > BATCH {
                send(std::mem::take(&mut part), false, out);
                size = 0;
            }
        }
        send(part, true, out);
    }

    fn gathered(
        &mut self,
        from: &Name,
        life: &Life,
        head: Head,
        changes: &[Change],
        last: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(gather) = self.gathers.get_mut(life) else { return };
        let handed = gather.handed;
        gather.heard(from, head, changes, last);
        if last && handed {
            // It was away, and comes with what it has.
            self.adopt(life, out);
            if self.gathers.get(life).is_some_and(|gather| gather.settled) {
                out.push(Output::Send(Name::clone(from), Body::Drop(Life::clone(life))));
            }
        }
    }

    fn adopt(&mut self, life: &Life, out: &mut Vec<Output>) {
        let Some(gather) = self.gathers.get_mut(life) else { return };
        let (epoch, first, fresh) = (gather.epoch, !gather.handed, gather.take());
        if fresh.is_empty() && !first {
            return;
        }
        for (key, body) in &fresh {
            self.change(Key::clone(key), Some(Bytes::clone(body)));
        }
        // What this life had taken over is among its promises, and has epochs of its own.
        let mut parts: BTreeMap<Life, (u64, Vec<(Key, Bytes)>)> =
            [(Life::clone(life), (epoch, Vec::new()))].into();
        for (key, body) in fresh {
            let of = life_of(&key).and_then(|of| self.gathers.get_key_value(of));
            let Some((of, gather)) = of else { continue };
            parts.entry(Life::clone(of)).or_insert_with(|| (gather.epoch, Vec::new())).1.push((key, body));
        }
        for (life, (epoch, promises)) in parts {
            if let Some(gather) = self.gathers.get_mut(&life) {
                gather.handed = true;
            }
            out.push(Output::Adopt(life, epoch, promises));
        }
    }

    fn heirs(&mut self, heirs: Arc<Heirs>, begun: u64, out: &mut Vec<Output>) {
        for (life, held) in &mut self.shelves {
            let (old, new) = (self.heirs.of.get(life), heirs.of.get(life));
            let begins = new.is_some_and(|heir| heir.version <= begun && heir.version > self.begun);
            if begins || old != new {
                held.heir = Some(self.now);
            }
        }
        let over = heirs.over.keys().filter(|life| !self.heirs.over.contains_key(*life));
        out.extend(over.map(|life| Output::Over(Life::clone(life))));
        (self.heirs, self.begun) = (heirs, begun);
        if self.lives && self.heirs.retired(&self.own.life) {
            self.lives = false;
            self.gathers.clear();
            self.owner = Owner::default();
            let heir = self.heirs.last(&self.own.life).cloned();
            // Its own disk holds the life as any other front's does: the heir may ask for it.
            out.extend(heir.map(|heir| Output::Replaced(Life::clone(&self.own.life), heir)));
        }
        let gone: Vec<Life> = self
            .gathers
            .iter()
            .filter(|(life, gather)| {
                let own = self.heirs.last(life).is_some_and(|heir| heir.life == self.own.life);
                !own || self.heirs.reached(life) != gather.epoch
            })
            .map(|(life, _)| Life::clone(life))
            .collect();
        for life in gone {
            self.gathers.remove(&life);
            let ours: Vec<Key> = self.owner.keys().filter(|key| of_life(key, &life)).cloned().collect();
            ours.into_iter().for_each(|key| self.change(key, None));
            out.push(Output::Gone(life));
        }
        let begin: Vec<(Life, u64, bool)> = self
            .heirs
            .of
            .iter()
            .filter(|(life, _)| !self.gathers.contains_key(*life))
            .filter_map(|(life, heir)| {
                let epoch = self.heirs.epoch(life, &self.own.life, begun)?;
                let along = heir.life != self.own.life;
                // What an heir had not got together before it was lost itself is taken over anew.
                (!along || heir.settled).then(|| (Life::clone(life), epoch, along))
            })
            .collect();
        for (life, epoch, along) in begin.into_iter().filter(|_| self.lives) {
            if along {
                self.rest.insert(Life::clone(&life), self.now);
                self.gathers.insert(life, Gather::along(epoch, self.now));
                continue;
            }
            let whom: BTreeSet<Name> = self.peers.keys().cloned().collect();
            let shelf = self.shelves.get_mut(&life).map(|held| {
                held.shelf.head.epoch = epoch;
                held.shelf.clone()
            });
            let own = shelf.map(|shelf| (&self.own.name, shelf));
            let gather = Gather::new(epoch, self.now, whom, own);
            self.gathers.insert(Life::clone(&life), gather);
            self.asked.insert(life, 0);
        }
        self.next_tick = self.now;
    }

    /// Asks, hands over, settles and ends what this front goes on with.
    fn go_on(&mut self, out: &mut Vec<Output>) {
        let here: BTreeSet<Name> = self.peers.keys().cloned().collect();
        let lives: Vec<Life> = self.gathers.keys().cloned().collect();
        let filled = self.owner.holders.len().min(self.own.copies) >= self.enough();
        let (level, now) = (filled && self.owner.waits() == 0 && self.level(), self.now);
        let unheard = self.gathers.values().any(|gather| !gather.settled && !gather.handed);
        for life in lives {
            let due = self.asked.get(&life).is_none_or(|at| *at <= now);
            let Some(gather) = self.gathers.get_mut(&life) else { continue };
            gather.only(&here);
            let (epoch, link) = (gather.epoch, self.heirs.of.get(&life).map_or(0, |heir| heir.epoch));
            if gather.settled && !gather.handed {
                // Nothing of it was among the other's promises; boxes are asked all the same.
                if !unheard {
                    gather.handed = true;
                    out.push(Output::Adopt(life, epoch, Vec::new()));
                }
                continue;
            }
            if !gather.handed {
                if due {
                    for name in gather.waits() {
                        out.push(Output::Send(Name::clone(name), Body::Gather(Life::clone(&life), epoch)));
                    }
                    self.asked.insert(Life::clone(&life), now + ASK_AGAIN);
                }
                if gather.ripe(now) {
                    self.adopt(&life, out);
                }
                continue;
            }
            if !gather.settled {
                if self.heirs.of.get(&life).is_some_and(|heir| heir.settled) {
                    gather.settled = true;
                    self.rest.insert(Life::clone(&life), now);
                    self.drop_shelf(&life);
                } else if level && due {
                    out.push(Output::Succeed(vec![Succession::Settled(Life::clone(&life), link)]));
                    self.asked.insert(life, now + AGAIN);
                }
                continue;
            }
            if self.owner.keys().any(|key| of_life(key, &life)) {
                self.rest.insert(life, now);
            } else if due && self.rest.get(&life).is_none_or(|since| since + REST <= now) {
                out.push(Output::Succeed(vec![Succession::Over(Life::clone(&life), link)]));
                self.asked.insert(life, now + 2 * AGAIN);
            }
        }
    }

    /// Whether enough holders have all that was promised here.
    fn level(&self) -> bool {
        let number = self.owner.number();
        let level = self.owner.holders.values().filter(|holder| holder.acked == number).count();
        level >= self.enough()
    }

    fn takes(&self, life: &Life) -> Succession {
        let heir = Heir {
            epoch: self.heirs.reached(life) + 1,
            name: Name::clone(&self.own.name),
            life: Life::clone(&self.own.life),
            serves: self.own.serves,
            version: 0,
            settled: false,
        };
        Succession::Takes(Life::clone(life), heir)
    }

    /// Nobody has a copy: this front takes its own earlier life over, with what boxes hold of it.
    fn found(&mut self, life: Life, out: &mut Vec<Output>) {
        if self.lives && !self.heirs.retired(&life) {
            out.push(Output::Succeed(vec![self.takes(&life)]));
        }
    }

    /// Lives whose owners are gone: proposed, offered or dropped.
    fn orphans(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let new_here = self.boot.is_none() || self.here_since + NEW_HERE > now;
        let here: BTreeSet<Name> = self.peers.keys().cloned().collect();
        let (mut drops, mut offers, mut wants) = (Vec::new(), Vec::new(), Vec::new());
        for (life, held) in &mut self.shelves {
            if self.heirs.over.contains_key(life) {
                drops.push(Life::clone(life));
                continue;
            }
            let heir = self.heirs.of.get(life);
            if let Some(heir) = heir.filter(|heir| heir.settled) {
                let last = self.heirs.last(life).unwrap_or(heir);
                if last.life == self.own.life {
                    drops.push(Life::clone(life));
                } else if held.offered + 2 * SILENT <= now && here.contains(&last.name) {
                    offers.push((Name::clone(&last.name), Life::clone(life)));
                }
                continue;
            }
            let begun = heir.is_some_and(|heir| heir.version <= self.begun);
            let forsaken = begun && held.heir.is_some_and(|heard| heard + FORSAKEN <= now);
            let gone = match heir {
                Some(heir) => {
                    heir.life != self.own.life
                        && (self.heirs.retired(&heir.life) || !here.contains(&heir.name) || forsaken)
                }
                None => {
                    let head = &held.shelf.head;
                    let other_boot = |peer: &Peer| peer.boot != head.boot;
                    self.peers.get(&head.owner).is_none_or(other_boot)
                }
            };
            if !gone {
                held.orphan = None;
                continue;
            }
            let since = *held.orphan.get_or_insert(now);
            let head = &held.shelf.head;
            let wait = heir::patience(&self.own.name, &head.owner, &head.group, &here);
            let due = self.asked.get(life).is_none_or(|at| *at <= now);
            if new_here || since + wait > now || !due || !self.lives {
                continue;
            }
            if held.shelf.stands() == 0 {
                // Nothing was promised, as far as is known here.
                if since + AVOIDED <= now {
                    drops.push(Life::clone(life));
                }
                continue;
            }
            wants.push(Life::clone(life));
            self.asked.insert(Life::clone(life), now + AGAIN);
        }
        drops.iter().for_each(|life| self.drop_shelf(life));
        offers.iter().for_each(|(to, life)| self.offer(to, life, out));
        if !wants.is_empty() {
            out.push(Output::Succeed(wants.iter().map(|life| self.takes(life)).collect()));
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
            self.next_tick = self.now + TICK;
            self.regroup(out);
            self.orphans(out);
            self.go_on(out);
            self.owner.bound(ENDS);
        }
        self.flush(out);
        if self.now >= self.next_beat {
            self.next_beat = self.now + BEAT;
            self.beat(out);
        }
    }

    /// All was released: whoever holds copies may forget them.
    fn leave(&mut self, out: &mut Vec<Output>) {
        if self.owner.stands() == 0 {
            for name in self.owner.group() {
                out.push(Output::Send(name, Body::Drop(Life::clone(&self.own.life))));
            }
            self.journal.push(Write::Drop(Life::clone(&self.own.life)));
        }
    }
}

/// Whether a session's id is of this life.
pub fn of_life(key: &str, life: &str) -> bool {
    key.strip_prefix(life).is_some_and(|rest| rest.starts_with('-'))
}

/// The life that a session's id begins with.
pub fn life_of(key: &str) -> Option<&str> {
    key.rsplit_once('-').map(|(life, _)| life)
}

#[cfg(test)]
mod tests;
