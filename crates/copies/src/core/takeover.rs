//! Going on with what another front promised: who proposes itself, what it gathers, and when it has it all.

use std::collections::{BTreeMap, BTreeSet};

use super::replica::{merge, Change, Replica, ReplicaHead};
use super::{Micros, Name, RecordBody, RecordKey, GATHER_TIMEOUT};

/// After its front has left the view, a life waits so long for the first of those that may take it over.
pub const ORPHAN_DELAY: Micros = 200_000;
/// Each further one waits so much longer.
pub const TAKEOVER_STAGGER: Micros = 600_000;
/// Whoever has just come into the view knows too little of it.
pub const VIEW_SETTLE_TIME: Micros = 1_500_000;

/// How long a front waits before it proposes itself. `group` are those that held copies, as the owner said last, `here`
/// those that are in the view; the front that lived the life goes first where it is back with its disk.
pub fn patience(own: &Name, owner: &Name, group: &[Name], here: &BTreeSet<Name>) -> Micros {
    if own == owner {
        return ORPHAN_DELAY;
    }
    let mut left: Vec<&Name> = group.iter().filter(|name| *name == own || here.contains(*name)).collect();
    left.sort();
    // Danger: a front that held copies once, and lacks the latest, takes over ahead of those that have them.
    let place = left.iter().position(|name| *name == own).unwrap_or(left.len() + 1);
    ORPHAN_DELAY + place as Micros * TAKEOVER_STAGGER
}

/// What an heir has gathered of one life.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// By which epoch.
    pub epoch: u64,
    /// Since when it asks.
    since: Micros,
    /// Whom it has asked and not heard whole yet.
    waits: BTreeSet<Name>,
    parts: BTreeMap<Name, Replica>,
    told: BTreeSet<Name>,
    adopted: BTreeSet<RecordKey>,
    /// It has handed over what there was.
    pub handed: bool,
    /// All of it is at enough copies of its own.
    pub settled: bool,
}

impl Takeover {
    /// Begins to ask these.
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

    /// Of a life that goes along with another one, whose promises are among that one's.
    pub fn along(epoch: u64, now: Micros) -> Takeover {
        Takeover { settled: true, ..Takeover::new(epoch, now, BTreeSet::new(), None) }
    }

    /// Whom it has still to hear.
    pub fn waits(&self) -> &BTreeSet<Name> {
        &self.waits
    }

    /// A part of what one of them holds. Later ones of the same count too: a front that was away comes with what it has.
    pub fn heard(&mut self, from: &Name, head: ReplicaHead, changes: &[Change], last: bool) {
        let replica =
            self.parts.entry(Name::clone(from)).or_insert_with(|| Replica::new(&head.owner, head.boot));
        for change in changes {
            replica.entries.insert(RecordKey::clone(&change.key), (change.number, change.body.clone()));
        }
        // Until its last part has come it proves nothing by what it lacks.
        replica.head = ReplicaHead { complete: last && head.complete, ..head };
        if last {
            self.waits.remove(from);
            self.told.insert(Name::clone(from));
        }
    }

    /// Those that have left the view are waited for no more.
    pub fn only(&mut self, here: &BTreeSet<Name>) {
        self.waits.retain(|name| here.contains(name));
    }

    /// Whether it has waited for enough.
    pub fn ripe(&self, now: Micros) -> bool {
        self.waits.is_empty() || self.since + GATHER_TIMEOUT <= now
    }

    /// What is new since this was asked last: each promise once.
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

    /// What it has handed over so far.
    pub fn adopted(&self) -> &BTreeSet<RecordKey> {
        &self.adopted
    }
}
