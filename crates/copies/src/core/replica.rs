//! What a front holds of one life: the life's promises as they stood after a number of changes.
//!
//! A life's owner numbers its changes from 1. A shelf that is [whole](Shelf::whole) after `have` changes holds exactly what
//! stood then: what it lacks had ended by then, or had not begun. While it is being filled it lacks what comes later, and
//! proves nothing by that; only then it keeps ends.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Incarnation, Name, RecordBody, RecordKey};

/// Parts by which two shelves are compared.
pub const PARTITIONS: usize = 16;

/// One change: of which key, its number, and what stands now; nothing where it has ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Of what.
    pub key: RecordKey,
    /// In the owner's count.
    pub number: u64,
    /// What stands.
    pub body: Option<RecordBody>,
}

impl Change {
    /// What it takes on its way, bytes, about.
    pub fn size(&self) -> usize {
        self.key.len() + self.body.as_ref().map_or(0, |body| body.len()) + 16
    }
}

/// Which part a key belongs to.
pub fn partition(key: &str) -> usize {
    xxh3_64(key.as_bytes()) as usize % PARTITIONS
}

/// A number for one entry: equal for equal ones, and for others by accident only.
pub fn entry_digest(key: &str, number: u64, body: &[u8]) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + body.len() + 8);
    bytes.extend(number.to_be_bytes());
    bytes.extend(key.as_bytes());
    bytes.push(0);
    bytes.extend(body);
    xxh3_64(&bytes)
}

/// What is known of a shelf beside its entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ReplicaHead {
    /// Whose life.
    pub owner: Name,
    /// Which start of that front's process, as membership has it.
    pub boot: u64,
    /// Nothing of an owner before this epoch is taken any more.
    pub epoch: u64,
    /// Changes taken.
    #[serde(rename = "have")]
    pub applied: u64,
    /// See above.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Who holds copies of it, as the owner said last.
    #[serde(rename = "group")]
    pub holders: Vec<Name>,
}

/// What a front holds of one life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// About it.
    pub head: ReplicaHead,
    /// What stands, by key; with ends only while it is not whole.
    pub entries: BTreeMap<RecordKey, (u64, Option<RecordBody>)>,
}

impl Replica {
    /// An empty one.
    pub fn new(owner: &Name, boot: u64) -> Replica {
        let owner = Name::clone(owner);
        let head = ReplicaHead { owner, boot, epoch: 0, applied: 0, complete: false, holders: Vec::new() };
        Replica { head, entries: BTreeMap::new() }
    }

    /// Takes the changes after `from` up to `to`; `whole` tells that nothing between is left out. Returns whether it
    /// could: what came before must be there.
    pub fn put(&mut self, from: u64, to: u64, whole: bool, changes: &[Change]) -> bool {
        if self.head.applied < from || to < self.head.applied {
            return false;
        }
        for change in changes {
            let newer = self.entries.get(&change.key).is_none_or(|(number, _)| *number < change.number);
            if newer {
                self.entries.insert(RecordKey::clone(&change.key), (change.number, change.body.clone()));
            }
        }
        (self.head.applied, self.head.complete) = (to, whole);
        if whole {
            self.entries.retain(|_, (_, body)| body.is_some());
        }
        true
    }

    /// One part as it stands at the owner, after as many changes. Returns the keys that it had and that are no more.
    pub fn repair(&mut self, which: usize, changes: &[Change]) -> Vec<RecordKey> {
        let named = |key: &RecordKey| changes.iter().any(|change| change.key == *key);
        let wrong: Vec<RecordKey> =
            self.entries.keys().filter(|key| partition(key) == which && !named(key)).cloned().collect();
        wrong.iter().for_each(|key| drop(self.entries.remove(key)));
        for change in changes {
            self.entries.insert(RecordKey::clone(&change.key), (change.number, change.body.clone()));
        }
        wrong
    }

    /// What it holds, as changes.
    pub fn changes(&self) -> Vec<Change> {
        let one = |(key, (number, body)): (&RecordKey, &(u64, Option<RecordBody>))| Change {
            key: RecordKey::clone(key),
            number: *number,
            body: body.clone(),
        };
        self.entries.iter().map(one).collect()
    }

    /// A digest of each part.
    pub fn digests(&self) -> [u64; PARTITIONS] {
        let mut digests = [0; PARTITIONS];
        for (key, (number, body)) in &self.entries {
            if let Some(body) = body {
                digests[partition(key)] ^= entry_digest(key, *number, body);
            }
        }
        digests
    }

    /// What stands, number of entries.
    pub fn live_records(&self) -> usize {
        self.entries.values().filter(|(_, body)| body.is_some()).count()
    }
}

/// What several shelves of one life say together.
///
/// The whole one that is furthest counts for all up to there; others add what came later. Where none is whole, each adds
/// what it has.
pub fn merge(replicas: &[Replica]) -> BTreeMap<RecordKey, (u64, RecordBody)> {
    let whole =
        replicas.iter().filter(|replica| replica.head.complete).max_by_key(|replica| replica.head.applied);
    let sure = whole.map_or(0, |replica| replica.head.applied);
    let mut all: BTreeMap<RecordKey, (u64, Option<RecordBody>)> =
        whole.map(|replica| replica.entries.clone()).unwrap_or_default();
    for replica in replicas {
        for (key, (number, body)) in &replica.entries {
            // Danger: a copy that was left behind brings back what ended since.
            let later = *number > sure && all.get(key).is_none_or(|(there, _)| there < number);
            if later {
                all.insert(RecordKey::clone(key), (*number, body.clone()));
            }
        }
    }
    all.into_iter().filter_map(|(key, (number, body))| Some((key, (number, body?)))).collect()
}

/// What a front holds, by life.
pub type Replicas = BTreeMap<Incarnation, Replica>;
