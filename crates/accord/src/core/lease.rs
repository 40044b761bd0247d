//! Leases: how long a front may act on what it knows, and from when nobody acts any more on what came before.
//!
//! A front asks every voter; a lease holds while grants of a majority hold. A voter grants nothing to a front that lacks
//! any step in the voter's own log, agreed on or not. So once a majority has a step, no lease of a front without it can
//! begin, and the last one ends within its length: that is the whole proof, `docs/design/accord.md` writes it out.
//!
//! Time counts by clocks that only go forward and are off by at most [`Times::drift_ppm`].

use std::collections::BTreeMap;

use serde::Serialize;

use super::history::{Seat, Voters};
use super::{Micros, Name};

/// Times, each a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LeaseTimes {
    /// A lease lasts so long from the moment it was asked for.
    pub lease: Micros,
    /// A front without one goes on for so long by the meet of all that it knows.
    #[serde(rename = "alone")]
    pub grace: Micros,
    /// After that it refuses new sessions; otherwise it goes on so.
    #[serde(rename = "refuse")]
    pub refuse_without_lease: bool,
    /// Leases are asked for this often.
    #[serde(rename = "renew")]
    pub renew_interval: Micros,
    /// No clock is fast or slow by more than so many parts in a million.
    pub drift_ppm: u64,
    /// From the last look at the lease until the last byte has left the process, at most, while the process runs.
    #[serde(rename = "write")]
    pub write_delay: Micros,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        LeaseTimes {
            lease: 3_000_000,
            grace: 1_500_000,
            refuse_without_lease: true,
            renew_interval: 500_000,
            drift_ppm: 250,
            write_delay: 10_000,
        }
    }
}

impl LeaseTimes {
    /// This span of one clock, by another that may be slower: no shorter than that.
    fn widened(&self, span: Micros) -> Micros {
        // (1 + d) / (1 - d) is under 1 + 2d + 3d² for every d under a third.
        span + span * (2 * self.drift_ppm + 1) / 1_000_000 + 1
    }

    /// The stated time: no two fronts act on contradicting rules for longer than this, us. Nothing where a front without
    /// a lease goes on for ever.
    pub fn max_contradiction(&self) -> Option<Micros> {
        self.refuse_without_lease.then(|| self.widened(self.lease + self.grace) + self.write_delay)
    }
}

/// A front's side: what it holds.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    /// Until when each voter's grant holds, by this front's clock.
    grants: BTreeMap<u64, Micros>,
    /// Of which voters.
    seats: BTreeMap<u64, Seat>,
    /// Questions under way: number, voter, when it was sent.
    asked: BTreeMap<u64, (u64, Micros)>,
}

impl HeldLease {
    /// A question goes out.
    pub fn asks(&mut self, now: Micros, voter: u64, nonce: u64, times: &LeaseTimes) {
        self.asked.retain(|_, (_, sent)| *sent + times.lease > now);
        self.asked.insert(nonce, (voter, now));
    }

    /// A grant comes in. It counts from when it was asked for (Gray and Cheriton, 1989, section 2).
    pub fn granted(&mut self, voter: u64, nonce: u64, times: &LeaseTimes) {
        let Some((_, sent)) = self.asked.remove(&nonce).filter(|(of, _)| *of == voter) else { return };
        let until = self.grants.entry(voter).or_default();
        *until = (*until).max(sent + times.lease);
    }

    /// Other voters: what the former ones granted, or are asked for, counts no more. The same ones under a new epoch have
    /// not forgotten what they granted.
    pub fn follow(&mut self, voters: &Voters) {
        if self.seats != voters.seats {
            self.seats.clone_from(&voters.seats);
            self.grants.clear();
            self.asked.clear();
        }
    }

    /// Until when a majority's grants hold.
    pub fn until(&self, majority: usize) -> Micros {
        let mut all: Vec<Micros> = self.grants.values().copied().collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(majority.saturating_sub(1)).copied().filter(|_| majority > 0).unwrap_or(0)
    }
}

/// A voter's side: what it has granted.
#[derive(Clone, Debug)]
pub struct GrantedLeases {
    /// Leases may be out that it does not know of, until then: it may have forgotten them, or the voters before gave them.
    unknown: Micros,
    /// Until when each front's grant may hold, by this voter's clock, and the latest version the front had.
    given: BTreeMap<Name, (Micros, u64)>,
}

impl GrantedLeases {
    /// A voter that starts, or that begins to vote among others than before.
    pub fn new(now: Micros, times: &LeaseTimes) -> GrantedLeases {
        GrantedLeases { unknown: now + times.widened(times.lease), given: BTreeMap::new() }
    }

    /// Grants to a front that has all that this voter has, up to this version.
    pub fn grant(&mut self, now: Micros, to: &Name, version: u64, times: &LeaseTimes) {
        self.given.insert(Name::clone(to), (now + times.widened(times.lease), version));
    }

    /// The version up to which no front acts on less by a lease of this voter. For each version this stays so once it is.
    pub fn clear(&mut self, now: Micros, latest: u64) -> u64 {
        if now < self.unknown {
            return 0;
        }
        self.given.retain(|_, (until, _)| *until > now);
        self.given.values().map(|(_, version)| *version).min().unwrap_or(latest).min(latest)
    }

    /// Fronts that hold a grant, and the version they have.
    pub fn holders(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.given.iter().map(|(name, (_, version))| (name, *version))
    }
}
