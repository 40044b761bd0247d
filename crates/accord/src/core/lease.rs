//! Leases: how long a front may act on its history, and the bound after which no front acts on earlier rules.
//!
//! A front asks every voter; the lease holds while the grants of a majority hold. A voter grants nothing to a
//! front that lacks any step of the voter's own log, decided or not. So once a majority has a step, no lease
//! of a front without it can begin, and the last one ends within the length of a lease.
//! `docs/design/accord.md` has the proof.
//!
//! Times are of monotonic clocks whose rates are off by at most [`LeaseTimes::drift_ppm`].

use std::collections::BTreeMap;

use serde::Serialize;

use super::history::{Seat, Voters};
use super::{Micros, Name};

/// Lease times, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LeaseTimes {
    /// Length of a lease, counted from the request.
    pub lease: Micros,
    /// Grace period after the lease, during which a front applies the meet of all known rules.
    #[serde(rename = "alone")]
    pub grace: Micros,
    /// After the grace period the front refuses new sessions; otherwise it continues without limit.
    #[serde(rename = "refuse")]
    pub refuse_without_lease: bool,
    /// Interval of lease requests.
    #[serde(rename = "renew")]
    pub renew_interval: Micros,
    /// Largest rate error of a clock, in parts per million.
    pub drift_ppm: u64,
    /// Longest delay from the check of the lease until the last byte has left the process, while the process
    /// runs.
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
    /// Converts a duration of one clock to an upper bound on another clock that may be slower.
    fn widened(&self, span: Micros) -> Micros {
        // (1 + d) / (1 - d) is under 1 + 2d + 3d² for every d under a third.
        span + span * (2 * self.drift_ppm + 1) / 1_000_000 + 1
    }

    /// The longest time during which two fronts may act on contradicting rules, us. None if fronts without a
    /// lease continue without limit.
    pub fn max_contradiction(&self) -> Option<Micros> {
        self.refuse_without_lease.then(|| self.widened(self.lease + self.grace) + self.write_delay)
    }
}

/// A front's side of the lease: the grants that it holds.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    /// End of each voter's grant, by this front's clock.
    grants: BTreeMap<u64, Micros>,
    /// The voters that these grants are from.
    seats: BTreeMap<u64, Seat>,
    /// Requests in flight: nonce, voter, and when the request was sent.
    asked: BTreeMap<u64, (u64, Micros)>,
}

impl HeldLease {
    /// Records a request to a voter.
    pub fn asks(&mut self, now: Micros, voter: u64, nonce: u64, times: &LeaseTimes) {
        self.asked.retain(|_, (_, sent)| *sent + times.lease > now);
        self.asked.insert(nonce, (voter, now));
    }

    /// Records a grant. It counts from when it was requested (Gray and Cheriton, 1989, section 2).
    pub fn granted(&mut self, voter: u64, nonce: u64, times: &LeaseTimes) {
        let Some((_, sent)) = self.asked.remove(&nonce).filter(|(of, _)| *of == voter) else { return };
        let until = self.grants.entry(voter).or_default();
        *until = (*until).max(sent + times.lease);
    }

    /// Follows a change of voters: grants and requests of other voters no longer count. The same voters under
    /// a new epoch still remember what they granted.
    pub fn follow(&mut self, voters: &Voters) {
        if self.seats != voters.seats {
            self.seats.clone_from(&voters.seats);
            self.grants.clear();
            self.asked.clear();
        }
    }

    /// The time until which a majority's grants hold.
    pub fn until(&self, majority: usize) -> Micros {
        let mut all: Vec<Micros> = self.grants.values().copied().collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(majority.saturating_sub(1)).copied().filter(|_| majority > 0).unwrap_or(0)
    }
}

/// A voter's side of leases: the grants that it has given.
#[derive(Clone, Debug)]
pub struct GrantedLeases {
    /// Until this time, leases may be held that this voter does not know of: it may have lost its memory of
    /// them, or earlier voters granted them.
    unknown: Micros,
    /// The end of each front's grant, by this voter's clock, and the latest version that the front had.
    given: BTreeMap<Name, (Micros, u64)>,
}

impl GrantedLeases {
    /// For a voter that starts, or that joins other voters.
    pub fn new(now: Micros, times: &LeaseTimes) -> GrantedLeases {
        GrantedLeases { unknown: now + times.widened(times.lease), given: BTreeMap::new() }
    }

    /// Records a grant to a front that has everything this voter has, up to this version.
    pub fn grant(&mut self, now: Micros, to: &Name, version: u64, times: &LeaseTimes) {
        self.given.insert(Name::clone(to), (now + times.widened(times.lease), version));
    }

    /// The version below which no front holds a lease of this voter. For a given version this remains true
    /// once it is reached.
    pub fn clear(&mut self, now: Micros, latest: u64) -> u64 {
        if now < self.unknown {
            return 0;
        }
        self.given.retain(|_, (until, _)| *until > now);
        self.given.values().map(|(_, version)| *version).min().unwrap_or(latest).min(latest)
    }

    /// Fronts that hold a grant, with the version they have.
    pub fn holders(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.given.iter().map(|(name, (_, version))| (name, *version))
    }
}
