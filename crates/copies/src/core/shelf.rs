//! What a front holds of one life: the life's promises as they stood after a number of changes.
//!
//! A life's owner numbers its changes from 1. A shelf that is [whole](Shelf::whole) after `have` changes holds exactly what
//! stood then: what it lacks had ended by then, or had not begun. While it is being filled it lacks what comes later, and
//! proves nothing by that; only then it keeps ends.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Bytes, Key, Life, Name};

/// Parts by which two shelves are compared.
pub const PARTS: usize = 16;

/// One change: of which key, its number, and what stands now; nothing where it has ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Of what.
    pub key: Key,
    /// In the owner's count.
    pub number: u64,
    /// What stands.
    pub body: Option<Bytes>,
}

impl Change {
    /// What it takes on its way, bytes, about.
    pub fn size(&self) -> usize {
        self.key.len() + self.body.as_ref().map_or(0, |body| body.len()) + 16
    }
}

/// Which part a key belongs to.
pub fn part(key: &str) -> usize {
    xxh3_64(key.as_bytes()) as usize % PARTS
}

/// A number for one entry: equal for equal ones, and for others by accident only.
pub fn mark(key: &str, number: u64, body: &[u8]) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + body.len() + 8);
    bytes.extend(number.to_be_bytes());
    bytes.extend(key.as_bytes());
    bytes.push(0);
    bytes.extend(body);
    xxh3_64(&bytes)
}

/// What is known of a shelf beside its entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Head {
    /// Whose life.
    pub owner: Name,
    /// Which start of that front's process, as membership has it.
    pub boot: u64,
    /// Nothing of an owner before this epoch is taken any more.
    pub epoch: u64,
    /// Changes taken.
    pub have: u64,
    /// See above.
    pub whole: bool,
    /// Who holds copies of it, as the owner said last.
    pub group: Vec<Name>,
}

/// What a front holds of one life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shelf {
    /// About it.
    pub head: Head,
    /// What stands, by key; with ends only while it is not whole.
    pub entries: BTreeMap<Key, (u64, Option<Bytes>)>,
}

impl Shelf {
    /// An empty one.
    pub fn new(owner: &Name, boot: u64) -> Shelf {
        let owner = Name::clone(owner);
        let head = Head { owner, boot, epoch: 0, have: 0, whole: false, group: Vec::new() };
        Shelf { head, entries: BTreeMap::new() }
    }

    /// Takes the changes after `from` up to `to`; `whole` tells that nothing between is left out. Returns whether it
    /// could: what came before must be there.
    pub fn put(&mut self, from: u64, to: u64, whole: bool, changes: &[Change]) -> bool {
        if self.head.have < from || to < self.head.have {
            return false;
        }
        for change in changes {
            let newer = self.entries.get(&change.key).is_none_or(|(number, _)| *number < change.number);
            if newer {
                self.entries.insert(Key::clone(&change.key), (change.number, change.body.clone()));
            }
        }
        (self.head.have, self.head.whole) = (to, whole);
        if whole {
            self.entries.retain(|_, (_, body)| body.is_some());
        }
        true
    }

    /// One part as it stands at the owner, after as many changes. Returns the keys that it had and that are no more.
    pub fn repair(&mut self, which: usize, changes: &[Change]) -> Vec<Key> {
        let named = |key: &Key| changes.iter().any(|change| change.key == *key);
        let wrong: Vec<Key> =
            self.entries.keys().filter(|key| part(key) == which && !named(key)).cloned().collect();
        wrong.iter().for_each(|key| drop(self.entries.remove(key)));
        for change in changes {
            self.entries.insert(Key::clone(&change.key), (change.number, change.body.clone()));
        }
        wrong
    }

    /// What it holds, as changes.
    pub fn changes(&self) -> Vec<Change> {
        let one = |(key, (number, body)): (&Key, &(u64, Option<Bytes>))| Change {
            key: Key::clone(key),
            number: *number,
            body: body.clone(),
        };
        self.entries.iter().map(one).collect()
    }

    /// A digest of each part.
    pub fn digests(&self) -> [u64; PARTS] {
        let mut digests = [0; PARTS];
        for (key, (number, body)) in &self.entries {
            if let Some(body) = body {
                digests[part(key)] ^= mark(key, *number, body);
            }
        }
        digests
    }

    /// What stands, number of entries.
    pub fn stands(&self) -> usize {
        self.entries.values().filter(|(_, body)| body.is_some()).count()
    }
}

/// What several shelves of one life say together.
///
/// The whole one that is furthest counts for all up to there; others add what came later. Where none is whole, each adds
/// what it has.
pub fn merge(shelves: &[Shelf]) -> BTreeMap<Key, (u64, Bytes)> {
    let whole = shelves.iter().filter(|shelf| shelf.head.whole).max_by_key(|shelf| shelf.head.have);
    let sure = whole.map_or(0, |shelf| shelf.head.have);
    let mut all: BTreeMap<Key, (u64, Option<Bytes>)> =
        whole.map(|shelf| shelf.entries.clone()).unwrap_or_default();
    for shelf in shelves {
        for (key, (number, body)) in &shelf.entries {
            // Danger: a copy that was left behind brings back what ended since.
            let later = *number > sure && all.get(key).is_none_or(|(there, _)| there < number);
            if later {
                all.insert(Key::clone(key), (*number, body.clone()));
            }
        }
    }
    all.into_iter().filter_map(|(key, (number, body))| Some((key, (number, body?)))).collect()
}

/// What a front holds, by life.
pub type Shelves = BTreeMap<Life, Shelf>;
