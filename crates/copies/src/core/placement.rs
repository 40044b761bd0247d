//! Where copies go: rendezvous hashing (Thaler and Ravishankar, 1998) over the view, weighed by what each front already
//! holds, in other zones where there are any.

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
    /// Promises of others that it holds, as it said last.
    pub records_held: u64,
}

/// A draw of the pair, from 0 to 1 and neither of both: the same wherever it is made.
fn draw(owner: &str, holder: &str) -> f64 {
    let mut bytes = Vec::with_capacity(owner.len() + holder.len() + 1);
    bytes.extend(owner.as_bytes());
    bytes.push(0);
    bytes.extend(holder.as_bytes());
    let bits = xxh3_64(&bytes) >> 11;
    (bits as f64 + 0.5) / (1u64 << 53) as f64
}

/// The front that is to hold the next copy of what `owner` promises, beside those that hold one. A zone that nobody of them
/// is in goes before one where only a holder is, and both before the owner's own.
pub fn next(owner: &str, zone: u32, holders: &BTreeSet<Name>, all: &[Candidate]) -> Option<Name> {
    let mean = all.iter().map(|one| one.records_held).sum::<u64>() / all.len().max(1) as u64;
    let taken: BTreeSet<u32> =
        all.iter().filter(|one| holders.contains(&one.name)).map(|one| one.zone).collect();
    let free = all.iter().filter(|one| &*one.name != owner && !holders.contains(&one.name));
    let score = |one: &Candidate| {
        // Weighted rendezvous: whoever holds twice the mean is drawn half as often.
        let weight = 1.0 / (1.0 + one.records_held as f64 / (mean + 1) as f64);
        weight / -draw(owner, &one.name).ln()
    };
    let rank = |one: &Candidate| (one.zone != zone, !taken.contains(&one.zone));
    free.max_by(|a, b| rank(a).cmp(&rank(b)).then(score(a).total_cmp(&score(b))).then(b.name.cmp(&a.name)))
        .map(|one| Name::clone(&one.name))
}
