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
pub type Life = Arc<str>;

/// Lives known at most that have heirs, and lives remembered to be over. Danger: without a bound the history grows with
/// every restart.
pub const MOST: usize = 4_096;

/// Whoever goes on with a life.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Heir {
    /// Counts the heirs of this life, from 1; 0 is the front itself.
    pub epoch: u64,
    /// Name of the heir.
    pub name: Name,
    /// Its own life.
    pub life: Life,
    /// Where players reach it.
    pub serves: Option<SocketAddr>,
    /// The version that made it the heir: it acts once that has begun.
    pub version: u64,
    /// All that was promised lies with the heir's own promises now.
    pub settled: bool,
}

/// A change of heirs.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Succession {
    /// A front takes a life over, as the heir after all before, and with it all that this life had taken over; its version
    /// is filled in here, and its epoch is one more than the life had come to.
    Takes(Life, Heir),
    /// The heir of this epoch has it all.
    Settled(Life, u64),
    /// Nothing is left of it, with the heir of this epoch.
    Over(Life, u64),
}

/// Heirs by the lives they go on with.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Heirs {
    /// Lives that have one.
    pub of: BTreeMap<Life, Heir>,
    /// Lives of which nothing is left: the version that said so, and the epoch that each had come to. Danger: a front that
    /// comes back with an old disk finds promises on it that were kept long ago.
    pub over: BTreeMap<Life, (u64, u64)>,
}

impl Heirs {
    /// Whether this would change anything.
    pub fn would(&self, change: &Succession) -> bool {
        match change {
            Succession::Takes(life, heir) => {
                let room = self.of.contains_key(life) || self.of.len() < MOST;
                let loops = *life == heir.life || self.chain(&heir.life).any(|one| one.life == *life);
                // Danger, both found by the trial: what is settled lies with its heir alone, and goes along with that one only;
                // and a proposal that was long on its way names an heir that has one itself by now.
                let settled = self.of.get(life).is_some_and(|heir| heir.settled);
                let fits = heir.epoch == self.reached(life) + 1 && !loops && !settled;
                fits && room && !self.over.contains_key(life) && !self.retired(&heir.life)
            }
            Succession::Settled(life, epoch) => {
                self.of.get(life).is_some_and(|heir| heir.epoch == *epoch && !heir.settled)
            }
            // Danger: what went along with this life has no way to its heir any more.
            Succession::Over(life, epoch) => {
                let through = self.of.values().any(|heir| heir.life == *life);
                !through && self.of.get(life).is_some_and(|heir| heir.epoch == *epoch)
            }
        }
    }

    /// Takes a change in that is part of this version; returns whether anything changed. Of two fronts that take one life
    /// over at once, the second finds that its epoch is taken.
    pub fn take(&mut self, change: &Succession, version: u64) -> bool {
        if !self.would(change) {
            return false;
        }
        match change {
            Succession::Takes(life, heir) => {
                self.of.insert(Life::clone(life), Heir { version, settled: false, ..heir.clone() });
            }
            Succession::Settled(life, _) => {
                if let Some(heir) = self.of.get_mut(life) {
                    heir.settled = true;
                }
            }
            Succession::Over(life, _) => {
                let reached = self.reached(life);
                self.of.remove(life);
                self.over.insert(Life::clone(life), (version, reached));
                if self.over.len() > MOST {
                    let oldest = self.over.iter().min_by_key(|(_, over)| **over);
                    let oldest = oldest.map(|(life, _)| Life::clone(life));
                    oldest.and_then(|life| self.over.remove(&life));
                }
            }
        }
        true
    }

    /// The heir of a life, that heir's own, and so on.
    pub fn chain<'a>(&'a self, life: &str) -> impl Iterator<Item = &'a Heir> {
        let mut next = self.of.get(life);
        std::iter::from_fn(move || {
            let here = next?;
            next = self.of.get(&here.life);
            Some(here)
        })
    }

    /// Who has what a life promised, through heirs that have heirs themselves; nothing while the life is its own.
    pub fn last(&self, life: &str) -> Option<&Heir> {
        self.chain(life).last()
    }

    /// The epoch that a life has come to. Danger: what a life had taken over is nobody's after its own loss, found by the
    /// trial: it goes along, and each change of an heir on the way makes its epoch grow.
    pub fn reached(&self, life: &str) -> u64 {
        self.chain(life).map(|heir| heir.epoch).sum()
    }

    /// Whether this life is over for the front that lived it.
    pub fn retired(&self, life: &str) -> bool {
        self.of.contains_key(life) || self.over.contains_key(life)
    }

    /// The epoch by which a front in this life may act for another once `begun` has begun; nothing if it may not.
    pub fn epoch(&self, life: &str, own: &str, begun: u64) -> Option<u64> {
        let began = self.chain(life).all(|heir| heir.version <= begun);
        (began && *self.last(life)?.life == *own && !self.retired(own)).then(|| self.reached(life))
    }
}
