//! Placement of copies: rendezvous hashing (Thaler and Ravishankar, 1998) over the view, weighted by what
//! each front already holds, and in other zones if there are any.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use super::Name;

/// A front that may hold copies.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: u32,
    /// Records that it holds for other fronts, as last reported.
    pub records_held: u64,
}

/// A pseudo-random number of the pair, strictly between 0 and 1; the same on every front.
fn draw(owner: &str, holder: &str) -> f64 {
    let mut bytes = Vec::with_capacity(owner.len() + holder.len() + 1);
    bytes.extend(owner.as_bytes());
    bytes.push(0);
    bytes.extend(holder.as_bytes());
    let bits = xxh3_64(&bytes) >> 11;
    (bits as f64 + 0.5) / (1u64 << 53) as f64
}

/// The front that should hold the next copy for `owner`. A zone without a holder is preferred to one with a
/// holder, and both to the owner's own zone.
pub fn next(owner: &str, zone: u32, holders: &BTreeSet<Name>, all: &[Candidate]) -> Option<Name> {
    let mean = all.iter().map(|one| one.records_held).sum::<u64>() / all.len().max(1) as u64;
    let taken: BTreeSet<u32> =
        all.iter().filter(|one| holders.contains(&one.name)).map(|one| one.zone).collect();
    let free = all.iter().filter(|one| &*one.name != owner && !holders.contains(&one.name));
    let score = |one: &Candidate| {
        // Weighted rendezvous: the more a front holds compared with the mean, the less often it is chosen.
        let weight = 1.0 / (1.0 + one.records_held as f64 / (mean + 1) as f64);
        weight / -draw(owner, &one.name).ln()
    };
    let rank = |one: &Candidate| (one.zone != zone, !taken.contains(&one.zone));
    free.max_by(|a, b| rank(a).cmp(&rank(b)).then(score(a).total_cmp(&score(b))).then(b.name.cmp(&a.name)))
        .map(|one| Name::clone(&one.name))
}
