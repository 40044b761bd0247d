//! Which front takes over the sessions of a lost one: one successor for each incarnation, ordered by
//! increasing epochs.
//!
//! An incarnation is one start of a front. Taking one over is a version of its own, with unchanged rules, and
//! begins like any version: once no front can hold a lease without it. So a front of that incarnation that
//! was only suspended or partitioned has either learned of its successor before the successor first acts, or
//! has lost its lease and no longer acts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Name;

/// One start of a front; the ids of its sessions begin with this name.
pub type Incarnation = Arc<str>;

/// Most incarnations with successors that are kept, and most ended ones. Danger: without a bound the history
/// grows with every restart.
pub const MAX_INCARNATIONS: usize = 4_096;

/// The front that took over an incarnation.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Successor {
    /// Number of the successor for this incarnation, from 1; 0 is the front itself.
    pub epoch: u64,
    /// Name of the front that took over.
    pub name: Name,
    /// Its own incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Address at which clients reach it.
    #[serde(rename = "serves")]
    pub client_address: Option<SocketAddr>,
    /// The version that made it the successor; it acts once that version has begun.
    pub version: u64,
    /// All durable session records of the incarnation are now replicated with the successor's own.
    pub settled: bool,
}

/// A change of successors.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum SuccessionChange {
    /// A front takes over an incarnation, after all earlier successors, together with everything that the
    /// incarnation had taken over. The version is filled in when the change is applied; the epoch is one more
    /// than the current epoch of the incarnation.
    #[serde(rename = "Takes")]
    TakeOver(Incarnation, Successor),
    /// The successor of this epoch has replicated all records.
    Settled(Incarnation, u64),
    /// No session of the incarnation is left; from the successor of this epoch.
    #[serde(rename = "Over")]
    Ended(Incarnation, u64),
}

/// Successors by incarnation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Successors {
    /// Incarnations that have a successor.
    #[serde(rename = "of")]
    pub by_incarnation: BTreeMap<Incarnation, Successor>,
    /// Incarnations without sessions left: the version that ended each, and the epoch it had reached. Danger:
    /// a front that returns with an old disk finds records on it that ended long ago.
    #[serde(rename = "over")]
    pub ended: BTreeMap<Incarnation, (u64, u64)>,
}

impl Successors {
    /// Whether applying the change would alter anything.
    pub fn would_change(&self, change: &SuccessionChange) -> bool {
        match change {
            SuccessionChange::TakeOver(incarnation, successor) => {
                let room = self.by_incarnation.contains_key(incarnation)
                    || self.by_incarnation.len() < MAX_INCARNATIONS;
                let loops = *incarnation == successor.incarnation
                    || self.chain(&successor.incarnation).any(|one| one.incarnation == *incarnation);
                // Danger, both found in trials: the records of a settled incarnation are only with its
                // successor, so only that one can pass them on; and a delayed proposal can name a successor
                // that was itself replaced in the meantime.
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
            // Danger: incarnations taken over by this one would lose the chain to their successor.
            SuccessionChange::Ended(incarnation, epoch) => {
                let through =
                    self.by_incarnation.values().any(|successor| successor.incarnation == *incarnation);
                !through
                    && self.by_incarnation.get(incarnation).is_some_and(|successor| successor.epoch == *epoch)
            }
        }
    }

    /// Applies a change that is part of this version; returns whether anything changed. If two fronts take
    /// over one incarnation at once, the second finds its epoch already taken.
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

    /// The successor of an incarnation, the successor of that one, and so on.
    pub fn chain<'a>(&'a self, incarnation: &str) -> impl Iterator<Item = &'a Successor> {
        let mut next = self.by_incarnation.get(incarnation);
        std::iter::from_fn(move || {
            let here = next?;
            next = self.by_incarnation.get(&here.incarnation);
            Some(here)
        })
    }

    /// The front that is responsible for the sessions of an incarnation now, following successors that were
    /// replaced themselves; none if the incarnation was not taken over.
    pub fn current(&self, incarnation: &str) -> Option<&Successor> {
        self.chain(incarnation).last()
    }

    /// The current epoch of an incarnation: the sum along its chain of successors. Danger, found in trials:
    /// when a front that had taken over an incarnation is lost, that incarnation has to pass on with it; so
    /// each new successor along the chain raises the epoch.
    pub fn epoch_of(&self, incarnation: &str) -> u64 {
        self.chain(incarnation).map(|successor| successor.epoch).sum()
    }

    /// Whether the front of this incarnation no longer acts: it was taken over or has ended.
    pub fn is_superseded(&self, incarnation: &str) -> bool {
        self.by_incarnation.contains_key(incarnation) || self.ended.contains_key(incarnation)
    }

    /// The epoch under which the front of incarnation `own` may act for another once version `begun` has
    /// begun; none if it may not.
    pub fn acting_epoch(&self, incarnation: &str, own: &str, begun: u64) -> Option<u64> {
        let began = self.chain(incarnation).all(|successor| successor.version <= begun);
        (began && *self.current(incarnation)?.incarnation == *own && !self.is_superseded(own))
            .then(|| self.epoch_of(incarnation))
    }
}
