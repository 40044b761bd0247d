//! Takeover of another front's records: which front proposes itself, collecting the replicas, and when the
//! collection is complete.

use std::collections::{BTreeMap, BTreeSet};

use super::replica::{merge, Change, Replica, ReplicaHead};
use super::{Micros, Name, RecordBody, RecordKey, GATHER_TIMEOUT};

/// Delay before the first candidate proposes itself, after the owner has left the view.
pub const ORPHAN_DELAY: Micros = 200_000;
/// Additional delay of each further candidate.
pub const TAKEOVER_STAGGER: Micros = 600_000;
/// A front that has been in the view for less than this knows too little of the other fronts.
pub const VIEW_SETTLE_TIME: Micros = 1_500_000;

/// How long a front waits before it proposes itself. `group` are the holders that the owner last reported,
/// `here` the fronts in the view. If the owner has returned with its disk, it goes first.
pub fn patience(own: &Name, owner: &Name, group: &[Name], here: &BTreeSet<Name>) -> Micros {
    if own == owner {
        return ORPHAN_DELAY;
    }
    let mut left: Vec<&Name> = group.iter().filter(|name| *name == own || here.contains(*name)).collect();
    left.sort();
    // Danger: a former holder that lacks the latest records would take over before those that have them.
    let place = left.iter().position(|name| *name == own).unwrap_or(left.len() + 1);
    ORPHAN_DELAY + place as Micros * TAKEOVER_STAGGER
}

/// The takeover of one incarnation.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The epoch of the takeover.
    pub epoch: u64,
    /// When the collection started.
    since: Micros,
    /// Fronts that were asked and have not sent their whole replica yet.
    waits: BTreeSet<Name>,
    parts: BTreeMap<Name, Replica>,
    told: BTreeSet<Name>,
    adopted: BTreeSet<RecordKey>,
    /// The records collected so far were handed over.
    pub handed: bool,
    /// All records are stored at enough copies of this front's own.
    pub settled: bool,
}

impl Takeover {
    /// Starts to collect from these fronts.
    pub fn new(epoch: u64, now: Micros, whom: BTreeSet<Name>, own: Option<(&Name, Replica)>) -> Takeover {
        let mut takeover = Takeover {
            epoch,
            since: now,
            waits: whom,
            parts: BTreeMap::new(),
            told: BTreeSet::new(),
            adopted: BTreeSet::new(),
            handed: false,
            settled: false,
        };
        if let Some((name, replica)) = own {
            takeover.parts.insert(Name::clone(name), replica);
            takeover.told.insert(Name::clone(name));
        }
        takeover
    }

    /// For an incarnation that passed on with another one; its records are among that one's.
    pub fn along(epoch: u64, now: Micros) -> Takeover {
        Takeover { settled: true, ..Takeover::new(epoch, now, BTreeSet::new(), None) }
    }

    /// Fronts that have not answered yet.
    pub fn waits(&self) -> &BTreeSet<Name> {
        &self.waits
    }

    /// Adds a part of a front's replica. Parts that arrive after the end of the collection are added too: a
    /// front that was unreachable sends its replica late.
    pub fn heard(&mut self, from: &Name, head: ReplicaHead, changes: &[Change], last: bool) {
        let replica =
            self.parts.entry(Name::clone(from)).or_insert_with(|| Replica::new(&head.owner, head.boot));
        for change in changes {
            replica.entries.insert(RecordKey::clone(&change.key), (change.number, change.body.clone()));
        }
        // Until the last part has arrived, missing records prove nothing.
        replica.head = ReplicaHead { complete: last && head.complete, ..head };
        if last {
            self.waits.remove(from);
            self.told.insert(Name::clone(from));
        }
    }

    /// Stops waiting for fronts that have left the view.
    pub fn only(&mut self, here: &BTreeSet<Name>) {
        self.waits.retain(|name| here.contains(name));
    }

    /// Whether all fronts have answered, or the timeout is over.
    pub fn ripe(&self, now: Micros) -> bool {
        self.waits.is_empty() || self.since + GATHER_TIMEOUT <= now
    }

    /// Returns the records that are new since the last call; each record once.
    pub fn take(&mut self) -> Vec<(RecordKey, RecordBody)> {
        let all: Vec<Replica> =
            self.parts.iter().filter(|(name, _)| self.told.contains(*name)).map(|(_, s)| s.clone()).collect();
        let merged = merge(&all);
        let fresh: Vec<(RecordKey, RecordBody)> = merged
            .into_iter()
            .filter(|(key, _)| !self.adopted.contains(key))
            .map(|(key, (_, body))| (key, body))
            .collect();
        self.adopted.extend(fresh.iter().map(|(key, _)| RecordKey::clone(key)));
        self.handed = true;
        fresh
    }

    /// Keys of all records handed over so far.
    pub fn adopted(&self) -> &BTreeSet<RecordKey> {
        &self.adopted
    }
}
