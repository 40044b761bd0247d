//! Looking for a schedule that breaks a property, and shortening one that does.

use std::collections::BTreeSet;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally_judge::{accord, copies, members};
use salttally_members::core::Times;
use serde_json::Value;

use crate::describe::{Fault, Kind, Trial};
use crate::net::Quality;
use crate::{plan, versions, virt, whole, Micros};

/// What broke: the property in words, and how.
pub type Broken = Vec<(&'static str, String)>;

/// Plays a trial in virtual time.
pub fn lines(trial: &Trial, seed: u64) -> Vec<Value> {
    let plan = plan::plan(trial, seed);
    match (&trial.promises, &trial.versions) {
        (Some(described), _) => whole::play(trial, described, &plan, seed).lines,
        (None, Some(described)) => versions::play(trial, described, &plan, seed).lines,
        (None, None) => virt::play(trial, &plan, seed, Times::default(), false).lines,
    }
}

/// Plays a trial in virtual time and judges it.
pub fn play(trial: &Trial, seed: u64) -> Broken {
    // A core that panics has broken something, whatever its histories would have said.
    let Ok(lines) = std::panic::catch_unwind(|| lines(trial, seed)) else {
        return vec![("no core panics", "a core panicked".to_owned())];
    };
    if trial.promises.is_some() {
        return copies::judge(&lines).broken.into_iter().map(|(of, text)| (of.description(), text)).collect();
    }
    match &trial.versions {
        Some(_) => {
            accord::judge(&lines).broken.into_iter().map(|(of, text)| (of.description(), text)).collect()
        }
        None => {
            members::judge(&lines).broken.into_iter().map(|(of, text)| (of.description(), text)).collect()
        }
    }
}

/// A trial of the same fleet with faults drawn anew.
pub fn drawn(base: &Trial, seed: u64) -> Trial {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut below = |most: u64| u64::from(rng.next_u32()) % most.max(1);
    let fronts = base.fronts as u64;
    let mut trial = Trial { faults: Vec::new(), ..base.clone() };
    trial.link.loss = [0.0, 0.0, 0.1, 0.2][below(4) as usize];
    for _ in 0..1 + below(5) {
        let from: Micros = below(base.lasts * 3 / 4 / 1000) * 1000;
        let to = (from + 200_000 + below(12_000) * 1000).min(base.lasts);
        let mut some = |most: u64| -> Vec<usize> {
            let set: BTreeSet<usize> = (0..1 + below(most)).map(|_| below(fronts) as usize).collect();
            set.into_iter().collect()
        };
        // Fewer than half at once: a majority is what the product asks for.
        let few = (fronts / 3).max(1);
        let kind = match some(8).len() + some(4).first().copied().unwrap_or(0) % 4 {
            0 | 1 | 5 => Kind::Kill(some(few), true),
            2 | 6 => Kind::Stop(some(few)),
            3 | 7 => Kind::Cut(some(few), some(fronts), true),
            4 | 8 => Kind::Cut(some(few), (0..base.fronts).collect(), false),
            10 | 11 if base.versions.is_some() || base.promises.is_some() => Kind::Lose(some(1)),
            9 => Kind::Rolling((0..base.fronts).collect(), 300_000),
            // More loss than this beside a cut is no link that a front is reached by.
            _ => Kind::Link(
                some(fronts),
                some(fronts),
                Quality {
                    loss: 0.3,
                    delay: 30_000,
                    jitter: 60_000,
                    duplicate: 0.3,
                    reorder: 0.3,
                    per_second: 0,
                },
            ),
        };
        trial.faults.push(Fault { kind, from, to });
    }
    trial
}

/// Takes away faults, and shortens them, as long as the same property still breaks.
pub fn shrink(trial: &Trial, seed: u64, broken: &str) -> Trial {
    let breaks = |trial: &Trial| play(trial, seed).iter().any(|(property, _)| *property == broken);
    let mut least = trial.clone();
    let mut again = true;
    while again {
        again = false;
        for place in (0..least.faults.len()).rev() {
            let mut fewer = least.clone();
            fewer.faults.remove(place);
            if breaks(&fewer) {
                (least, again) = (fewer, true);
                continue;
            }
            let mut shorter = least.clone();
            let fault = &mut shorter.faults[place];
            fault.to = fault.from + (fault.to - fault.from) / 2;
            if fault.to - fault.from > 100_000 && breaks(&shorter) {
                (least, again) = (shorter, true);
            }
        }
    }
    least
}
