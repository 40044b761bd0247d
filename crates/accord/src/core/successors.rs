//! Who goes on with what a front promised that is no more there: one heir for each life, by epochs that only grow.
//!
//! A life is one start of a front. Taking one over is a version of its own, with the rules of the version before: it begins
//! as any version does, when no front acts by a lease without it. So the front that lived that life, only stopped or cut
//! off, has heard of its heir before the heir's first act, or acts no more for want of a lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Name;

/// One start of a front: what the ids of its sessions begin with.
pub type Incarnation = Arc<str>;

/// Lives known at most that have heirs, and lives remembered to be over. Danger: without a bound the history grows with
/// every restart.
pub const MAX_INCARNATIONS: usize = 4_096;

/// Whoever goes on with a life.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Successor {
    /// Counts the heirs of this life, from 1; 0 is the front itself.
    pub epoch: u64,
    /// Name of the heir.
    pub name: Name,
    /// Its own life.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Where players reach it.
    #[serde(rename = "serves")]
    pub client_address: Option<SocketAddr>,
    /// The version that made it the heir: it acts once that has begun.
    pub version: u64,
    /// All that was promised lies with the heir's own promises now.
    pub settled: bool,
}

/// A change of heirs.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum SuccessionChange {
    /// A front takes a life over, as the heir after all before, and with it all that this life had taken over; its version
    /// is filled in here, and its epoch is one more than the life had come to.
    #[serde(rename = "Takes")]
    TakeOver(Incarnation, Successor),
    /// The heir of this epoch has it all.
    Settled(Incarnation, u64),
    /// Nothing is left of it, with the heir of this epoch.
    #[serde(rename = "Over")]
    Ended(Incarnation, u64),
}

/// Heirs by the lives they go on with.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Successors {
    /// Lives that have one.
    #[serde(rename = "of")]
    pub by_incarnation: BTreeMap<Incarnation, Successor>,
    /// Lives of which nothing is left: the version that said so, and the epoch that each had come to. Danger: a front that
    /// comes back with an old disk finds promises on it that were kept long ago.
    #[serde(rename = "over")]
    pub ended: BTreeMap<Incarnation, (u64, u64)>,
}

impl Successors {
    /// Whether this would change anything.
    pub fn would_change(&self, change: &SuccessionChange) -> bool {
        match change {
            SuccessionChange::TakeOver(incarnation, successor) => {
                let room = self.by_incarnation.contains_key(incarnation)
                    || self.by_incarnation.len() < MAX_INCARNATIONS;
                let loops = *incarnation == successor.incarnation
                    || self.chain(&successor.incarnation).any(|one| one.incarnation == *incarnation);
                // Danger, both found by the trial: what is settled lies with its heir alone, and goes along with that one only;
                // and a proposal that was long on its way names an heir that has one itself by now.
                let settled = self.by_incarnation.get(incarnation).is_some_and(|successor| successor.settled);
                let fits = successor.epoch == self.epoch_of(incarnation) + 1 && !loops && !settled;
                fits && room
                    && !self.ended.contains_key(incarnation)
                    && !self.is_superseded(&successor.incarnation)
            }
            SuccessionChange::Settled(incarnation, epoch) => self
                .by_incarnation
                .get(incarnation)
                .is_some_and(|successor| successor.epoch == *epoch && !successor.settled),
            // Danger: what went along with this life has no way to its heir any more.
            SuccessionChange::Ended(incarnation, epoch) => {
                let through =
                    self.by_incarnation.values().any(|successor| successor.incarnation == *incarnation);
                !through
                    && self.by_incarnation.get(incarnation).is_some_and(|successor| successor.epoch == *epoch)
            }
        }
    }

    /// Takes a change in that is part of this version; returns whether anything changed. Of two fronts that take one life
    /// over at once, the second finds that its epoch is taken.
    pub fn apply(&mut self, change: &SuccessionChange, version: u64) -> bool {
        if !self.would_change(change) {
            return false;
        }
        match change {
            SuccessionChange::TakeOver(incarnation, successor) => {
                self.by_incarnation.insert(
                    Incarnation::clone(incarnation),
                    Successor { version, settled: false, ..successor.clone() },
                );
            }
            SuccessionChange::Settled(incarnation, _) => {
                if let Some(successor) = self.by_incarnation.get_mut(incarnation) {
                    successor.settled = true;
                }
            }
            SuccessionChange::Ended(incarnation, _) => {
                let reached = self.epoch_of(incarnation);
                self.by_incarnation.remove(incarnation);
                self.ended.insert(Incarnation::clone(incarnation), (version, reached));
                if self.ended.len() > MAX_INCARNATIONS {
                    let oldest = self.ended.iter().min_by_key(|(_, over)| **over);
                    let oldest = oldest.map(|(incarnation, _)| Incarnation::clone(incarnation));
                    oldest.and_then(|incarnation| self.ended.remove(&incarnation));
                }
            }
        }
        true
    }

    /// The heir of a life, that heir's own, and so on.
    pub fn chain<'a>(&'a self, incarnation: &str) -> impl Iterator<Item = &'a Successor> {
        let mut next = self.by_incarnation.get(incarnation);
        std::iter::from_fn(move || {
            let here = next?;
            next = self.by_incarnation.get(&here.incarnation);
            Some(here)
        })
    }

    /// Who has what a life promised, through heirs that have heirs themselves; nothing while the life is its own.
    pub fn current(&self, incarnation: &str) -> Option<&Successor> {
        self.chain(incarnation).last()
    }

    /// The epoch that a life has come to. Danger: what a life had taken over is nobody's after its own loss, found by the
    /// trial: it goes along, and each change of an heir on the way makes its epoch grow.
    pub fn epoch_of(&self, incarnation: &str) -> u64 {
        self.chain(incarnation).map(|successor| successor.epoch).sum()
    }

    /// Whether this life is over for the front that lived it.
    pub fn is_superseded(&self, incarnation: &str) -> bool {
        self.by_incarnation.contains_key(incarnation) || self.ended.contains_key(incarnation)
    }

    /// The epoch by which a front in this life may act for another once `begun` has begun; nothing if it may not.
    pub fn acting_epoch(&self, incarnation: &str, own: &str, begun: u64) -> Option<u64> {
        let began = self.chain(incarnation).all(|successor| successor.version <= begun);
        (began && *self.current(incarnation)?.incarnation == *own && !self.is_superseded(own))
            .then(|| self.epoch_of(incarnation))
    }
}
