//! Numbered membership views, kept as a state-based CRDT.
//!
//! Each name has a count of its joins and departures: if odd, the name is in the view; if even, it is not. Two states
//! merge by taking the higher count of each name (a state-based grow-only join, Shapiro et al. 2011), so all fronts
//! that received the same facts, in any order and any number of times, hold the same view. The view's number is the
//! sum of all counts: it grows with each change and never decreases, and equal views have equal numbers.
//!
//! Guarantees: at one front, a view with a higher number includes all changes of a view with a lower one. Two fronts
//! with the same number may briefly hold different views, when each has received a change that the other has not;
//! the digest tells them apart. Views by consensus are provided by the accord subsystem.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Name of a front, the same at each start of its process.
pub type Name = Arc<str>;

/// Maximum number of names a view ever holds. Danger: without it, anybody who has the key could fill the memory of all
/// fronts with invented names.
pub const MAX_NAMES: usize = 4_096;
/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// Number of buckets by which two views are compared.
pub const BUCKETS: usize = 16;

/// The state of one name in the view.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Fact {
    /// Name of the front.
    pub name: Name,
    /// Address at which other fronts reach it.
    pub address: SocketAddr,
    /// Failure domain: fronts that fail together are in one zone.
    pub zone: u32,
    /// Address at which players reach it, if it serves any.
    pub serves: Option<SocketAddr>,
    /// Identifies the start of its process; drawn anew at each start.
    pub boot: u64,
    /// Count of joins and departures: odd if it is in the view, even if not.
    pub count: u32,
}

impl Fact {
    /// Whether the name is in the view.
    pub fn is_member(&self) -> bool {
        self.count % 2 == 1
    }

    /// A 32-bit hash that identifies this incarnation of the member in observations.
    pub fn short_id(&self) -> u32 {
        self.hash() as u32
    }

    fn hash(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.name.len() + 12);
        bytes.extend(self.count.to_be_bytes());
        bytes.extend(self.boot.to_be_bytes());
        bytes.extend(self.name.as_bytes());
        xxh3_64(&bytes)
    }

    fn bucket(&self) -> usize {
        xxh3_64(self.name.as_bytes()) as usize % BUCKETS
    }

    /// Whether this fact replaces `other`, which has the same name. Where two processes joined under one name at once,
    /// the higher `boot` wins at every front alike.
    fn supersedes(&self, other: &Fact) -> bool {
        (self.count, self.boot) > (other.count, other.boot)
    }
}

/// The membership view of one front.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    facts: BTreeMap<Name, Fact>,
    number: u64,
    digest: u64,
    member_count: usize,
    /// Short ids of the members, with the number of members that have each.
    short_ids: BTreeMap<u32, u32>,
}

impl View {
    /// The view's number, which never decreases.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Digest of the view: equal for equal views, and different for others but for hash collisions.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.member_count
    }

    /// Whether it has no members.
    pub fn is_empty(&self) -> bool {
        self.member_count == 0
    }

    /// The members, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values().filter(|fact| fact.is_member())
    }

    /// Names that were members and are not any more.
    pub fn former_members(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values().filter(|fact| !fact.is_member())
    }

    /// Whether a member has this short id.
    pub fn has_short_id(&self, short_id: u32) -> bool {
        self.short_ids.contains_key(&short_id)
    }

    /// Whether two members have the same short id.
    pub fn has_short_id_collision(&self) -> bool {
        self.short_ids.len() < self.member_count
    }

    /// The fact known about a name.
    pub fn get(&self, name: &str) -> Option<&Fact> {
        self.facts.get(name)
    }

    /// Merges a fact; returns whether the view has changed.
    pub fn merge(&mut self, fact: &Fact) -> bool {
        let is_valid = !fact.name.is_empty() && fact.name.len() <= MAX_NAME_BYTES && fact.count > 0;
        let known = self.facts.get(&fact.name);
        let has_room = known.is_some() || self.facts.len() < MAX_NAMES;
        if !is_valid || !has_room || known.is_some_and(|known| !fact.supersedes(known)) {
            return false;
        }
        if let Some(known) = known {
            self.number -= u64::from(known.count);
            self.digest ^= known.hash();
            if known.is_member() {
                self.member_count -= 1;
                let short_id = known.short_id();
                let remaining = self.short_ids.get_mut(&short_id).map(|count| {
                    *count -= 1;
                    *count
                });
                if remaining == Some(0) {
                    self.short_ids.remove(&short_id);
                }
            }
        }
        self.number += u64::from(fact.count);
        self.digest ^= fact.hash();
        if fact.is_member() {
            self.member_count += 1;
            *self.short_ids.entry(fact.short_id()).or_default() += 1;
        }
        self.facts.insert(Arc::clone(&fact.name), fact.clone());
        true
    }

    /// The digest of each bucket, used to find the differences between two views.
    pub fn buckets(&self) -> [u32; BUCKETS] {
        let mut buckets = [0; BUCKETS];
        for fact in self.facts.values() {
            buckets[fact.bucket()] ^= fact.hash() as u32;
        }
        buckets
    }

    /// The facts in the buckets whose digests differ from these.
    pub fn differing(&self, theirs: &[u32; BUCKETS]) -> Vec<Fact> {
        let ours = self.buckets();
        let differs = |fact: &&Fact| ours[fact.bucket()] != theirs[fact.bucket()];
        self.facts.values().filter(differs).cloned().collect()
    }
}
