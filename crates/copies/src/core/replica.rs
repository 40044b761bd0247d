//! A front's replica of one incarnation: its records after a number of changes.
//!
//! An owner numbers its changes from 1. A replica that is [complete](ReplicaHead::complete) after `applied`
//! changes holds exactly the records of that point: a record that it lacks was deleted, or did not exist yet.
//! While a replica is being filled, it lacks records that are still to come, and their absence proves
//! nothing; only then it keeps tombstones.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Incarnation, Name, RecordBody, RecordKey};

/// Number of partitions by which two replicas are compared.
pub const PARTITIONS: usize = 16;

/// One change of a record: its key, the number of the change, and the new body; no body if the record was
/// deleted.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Key of the record.
    pub key: RecordKey,
    /// Number of the change, counted by the owner.
    pub number: u64,
    /// The new body; none for a deletion.
    pub body: Option<RecordBody>,
}

impl Change {
    /// Approximate size in a message, bytes.
    pub fn size(&self) -> usize {
        self.key.len() + self.body.as_ref().map_or(0, |body| body.len()) + 16
    }
}

/// The partition that a key belongs to.
pub fn partition(key: &str) -> usize {
    xxh3_64(key.as_bytes()) as usize % PARTITIONS
}

/// Hash of an entry; equal entries have equal hashes, others differ except by accident.
pub fn entry_digest(key: &str, number: u64, body: &[u8]) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + body.len() + 8);
    bytes.extend(number.to_be_bytes());
    bytes.extend(key.as_bytes());
    bytes.push(0);
    bytes.extend(body);
    xxh3_64(&bytes)
}

/// Header of a replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ReplicaHead {
    /// Name of the owner.
    pub owner: Name,
    /// Which start of the owner's process, as membership reports it.
    pub boot: u64,
    /// Epoch of the successor that asked for the replica; changes of earlier epochs are no longer accepted.
    pub epoch: u64,
    /// Number of changes applied.
    #[serde(rename = "have")]
    pub applied: u64,
    /// Whether the replica lacks nothing up to that number.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The holders, as the owner last reported them.
    #[serde(rename = "group")]
    pub holders: Vec<Name>,
}

/// A replica of one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Header.
    pub head: ReplicaHead,
    /// Records by key: change number and body; with tombstones only while the replica is incomplete.
    pub entries: BTreeMap<RecordKey, (u64, Option<RecordBody>)>,
}

impl Replica {
    /// An empty replica.
    pub fn new(owner: &Name, boot: u64) -> Replica {
        let owner = Name::clone(owner);
        let head = ReplicaHead { owner, boot, epoch: 0, applied: 0, complete: false, holders: Vec::new() };
        Replica { head, entries: BTreeMap::new() }
    }

    /// Applies the changes after `from` up to `to`; `whole` tells that nothing between is left out. Returns
    /// false, without a change, if the changes before `from` are missing.
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

    /// Replaces one partition by the owner's contents after the same number of changes. Returns the keys that
    /// were removed.
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

    /// The contents as changes.
    pub fn changes(&self) -> Vec<Change> {
        let one = |(key, (number, body)): (&RecordKey, &(u64, Option<RecordBody>))| Change {
            key: RecordKey::clone(key),
            number: *number,
            body: body.clone(),
        };
        self.entries.iter().map(one).collect()
    }

    /// A digest of each partition.
    pub fn digests(&self) -> [u64; PARTITIONS] {
        let mut digests = [0; PARTITIONS];
        for (key, (number, body)) in &self.entries {
            if let Some(body) = body {
                digests[partition(key)] ^= entry_digest(key, *number, body);
            }
        }
        digests
    }

    /// Number of records.
    pub fn live_records(&self) -> usize {
        self.entries.values().filter(|(_, body)| body.is_some()).count()
    }
}

/// Merges several replicas of one incarnation.
///
/// The complete replica with the most changes decides up to its number of changes; the others add later
/// changes. If none is complete, each adds what it has.
pub fn merge(replicas: &[Replica]) -> BTreeMap<RecordKey, (u64, RecordBody)> {
    let whole =
        replicas.iter().filter(|replica| replica.head.complete).max_by_key(|replica| replica.head.applied);
    let sure = whole.map_or(0, |replica| replica.head.applied);
    let mut all: BTreeMap<RecordKey, (u64, Option<RecordBody>)> =
        whole.map(|replica| replica.entries.clone()).unwrap_or_default();
    for replica in replicas {
        for (key, (number, body)) in &replica.entries {
            // Danger: a replica that was left behind would restore records that were deleted since.
            let later = *number > sure && all.get(key).is_none_or(|(there, _)| there < number);
            if later {
                all.insert(RecordKey::clone(key), (*number, body.clone()));
            }
        }
    }
    all.into_iter().filter_map(|(key, (number, body))| Some((key, (number, body?)))).collect()
}

/// Replicas by incarnation.
pub type Replicas = BTreeMap<Incarnation, Replica>;
