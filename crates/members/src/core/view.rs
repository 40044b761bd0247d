//! Numbered views: who is there, as facts that only grow.
//!
//! Of each name a count is kept of how often it came and went: odd, it is in the view; even, it is out. Two states
//! merge by the higher count of each name (a state-based grow-only join, Shapiro et al. 2011), so that all fronts
//! that heard the same facts, in whatever order and however often, hold the same view. The view's number is the sum
//! of all counts: it grows with each change and never goes back, and equal views have equal numbers.
//!
//! What may be concluded: a higher number holds all that a lower one held, at one front. Two fronts with one number
//! may hold different views for a moment, when each has heard of a change that the other has not; the digest tells
//! them apart. Views that all agree on are the next subsystem's.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Name of a front: the same at each of its starts.
pub type Name = Arc<str>;

/// Names ever known at most. Danger: names that are made up by whoever has the key fill the memory of all.
pub const MAX_NAMES: usize = 4_096;
/// Longest name, bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// Parts by which two views are compared.
pub const BUCKETS: usize = 16;

/// What is known of one name.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Fact {
    /// Whose.
    pub name: Name,
    /// Where it listens for other fronts.
    pub address: SocketAddr,
    /// Where it stands: what fails together is in one zone.
    pub zone: u32,
    /// Where players reach it, if it takes any.
    pub serves: Option<SocketAddr>,
    /// Which start of its process: drawn anew at each.
    pub boot: u64,
    /// How often it came and went: odd is in, even is out.
    pub count: u32,
}

impl Fact {
    /// Whether the name is in the view.
    pub fn is_in(&self) -> bool {
        self.count % 2 == 1
    }

    /// A short name of this member in this incarnation, for observations.
    pub fn mark(&self) -> u32 {
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

    /// Of two facts on a name the one that counts. Two processes that came under one name at once are told apart by
    /// their boots, the same way everywhere.
    fn beats(&self, other: &Fact) -> bool {
        (self.count, self.boot) > (other.count, other.boot)
    }
}

/// A front's view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    facts: BTreeMap<Name, Fact>,
    number: u64,
    digest: u64,
    members: usize,
    /// Marks of the members, and how many have each.
    marks: BTreeMap<u32, u32>,
}

impl View {
    /// Its number: it never falls.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Equal for equal views, and for others by accident only.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members
    }

    /// Whether it has no members.
    pub fn is_empty(&self) -> bool {
        self.members == 0
    }

    /// The members, by name.
    pub fn members(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values().filter(|fact| fact.is_in())
    }

    /// Names that were members and are not.
    pub fn out(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values().filter(|fact| !fact.is_in())
    }

    /// Whether a member has this mark.
    pub fn has_mark(&self, mark: u32) -> bool {
        self.marks.contains_key(&mark)
    }

    /// Whether two members have one mark.
    pub fn has_twins(&self) -> bool {
        self.marks.len() < self.members
    }

    /// What is known of a name.
    pub fn get(&self, name: &str) -> Option<&Fact> {
        self.facts.get(name)
    }

    /// Takes in a fact; returns whether it changed anything.
    pub fn merge(&mut self, fact: &Fact) -> bool {
        let sound = !fact.name.is_empty() && fact.name.len() <= MAX_NAME_BYTES && fact.count > 0;
        let known = self.facts.get(&fact.name);
        let room = known.is_some() || self.facts.len() < MAX_NAMES;
        if !sound || !room || known.is_some_and(|known| !fact.beats(known)) {
            return false;
        }
        if let Some(known) = known {
            self.number -= u64::from(known.count);
            self.digest ^= known.hash();
            if known.is_in() {
                self.members -= 1;
                let mark = known.mark();
                let left = self.marks.get_mut(&mark).map(|count| {
                    *count -= 1;
                    *count
                });
                if left == Some(0) {
                    self.marks.remove(&mark);
                }
            }
        }
        self.number += u64::from(fact.count);
        self.digest ^= fact.hash();
        if fact.is_in() {
            self.members += 1;
            *self.marks.entry(fact.mark()).or_default() += 1;
        }
        self.facts.insert(Arc::clone(&fact.name), fact.clone());
        true
    }

    /// A digest of each part, to find what differs between two views.
    pub fn buckets(&self) -> [u32; BUCKETS] {
        let mut buckets = [0; BUCKETS];
        for fact in self.facts.values() {
            buckets[fact.bucket()] ^= fact.hash() as u32;
        }
        buckets
    }

    /// The facts in parts that differ from these digests.
    pub fn differing(&self, theirs: &[u32; BUCKETS]) -> Vec<Fact> {
        let ours = self.buckets();
        let differs = |fact: &&Fact| ours[fact.bucket()] != theirs[fact.bucket()];
        self.facts.values().filter(differs).cloned().collect()
    }
}
