//! Random search for a fault schedule that breaks a property, and shrinking of such a schedule.

use std::collections::BTreeSet;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally_judge::{accord, copies, members};
use salttally_members::core::Times;
use serde_json::Value;

use crate::describe::{Fault, FaultKind, Trial};
use crate::net::Quality;
use crate::{consensus, full_stack, membership, plan, Micros};

/// Broken properties, each with its description and the details.
pub type Violations = Vec<(&'static str, String)>;

/// Runs a trial in virtual time and returns its history.
pub fn play_lines(trial: &Trial, seed: u64) -> Vec<Value> {
    let plan = plan::plan(trial, seed);
    match (&trial.replication, &trial.consensus) {
        (Some(described), _) => full_stack::play(trial, described, &plan, seed).lines,
        (None, Some(described)) => consensus::play(trial, described, &plan, seed).lines,
        (None, None) => membership::play(trial, &plan, seed, Times::default(), false).lines,
    }
}

/// Runs a trial in virtual time and returns the properties that it breaks.
pub fn play(trial: &Trial, seed: u64) -> Violations {
    // A panic of a core is a violation, whatever the histories contain.
    let Ok(lines) = std::panic::catch_unwind(|| play_lines(trial, seed)) else {
        return vec![("no core panics", "a core panicked".to_owned())];
    };
    if trial.replication.is_some() {
        return copies::judge(&lines)
            .broken
            .into_iter()
            .map(|(property, text)| (property.description(), text))
            .collect();
    }
    match &trial.consensus {
        Some(_) => accord::judge(&lines)
            .broken
            .into_iter()
            .map(|(property, text)| (property.description(), text))
            .collect(),
        None => members::judge(&lines)
            .broken
            .into_iter()
            .map(|(property, text)| (property.description(), text))
            .collect(),
    }
}

/// Returns a trial of the same fleet with a random fault schedule.
pub fn random_trial(base: &Trial, seed: u64) -> Trial {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut draw_below = |bound: u64| u64::from(rng.next_u32()) % bound.max(1);
    let fronts = base.fronts as u64;
    let mut trial = Trial { faults: Vec::new(), ..base.clone() };
    trial.link.loss = [0.0, 0.0, 0.1, 0.2][draw_below(4) as usize];
    for _ in 0..1 + draw_below(5) {
        let from: Micros = draw_below(base.duration * 3 / 4 / 1000) * 1000;
        let to = (from + 200_000 + draw_below(12_000) * 1000).min(base.duration);
        let mut random_fronts = |bound: u64| -> Vec<usize> {
            let set: BTreeSet<usize> =
                (0..1 + draw_below(bound)).map(|_| draw_below(fronts) as usize).collect();
            set.into_iter().collect()
        };
        // Fewer than half at once, since the product requires a majority.
        let max_affected = (fronts / 3).max(1);
        let kind = match random_fronts(8).len() + random_fronts(4).first().copied().unwrap_or(0) % 4 {
            0 | 1 | 5 => FaultKind::Kill(random_fronts(max_affected), true),
            2 | 6 => FaultKind::Stop(random_fronts(max_affected)),
            3 | 7 => FaultKind::Cut(random_fronts(max_affected), random_fronts(fronts), true),
            4 | 8 => FaultKind::Cut(random_fronts(max_affected), (0..base.fronts).collect(), false),
            10 | 11 if base.consensus.is_some() || base.replication.is_some() => {
                FaultKind::Lose(random_fronts(1))
            }
            9 => FaultKind::Rolling((0..base.fronts).collect(), 300_000),
            // With a higher loss beside a cut, a front could not be reached over the link.
            _ => FaultKind::Link(
                random_fronts(fronts),
                random_fronts(fronts),
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

/// Removes and shortens faults as long as the same property still breaks.
pub fn shrink(trial: &Trial, seed: u64, property: &str) -> Trial {
    let still_broken = |trial: &Trial| play(trial, seed).iter().any(|(broken, _)| *broken == property);
    let mut shrunk = trial.clone();
    let mut reduced = true;
    while reduced {
        reduced = false;
        for place in (0..shrunk.faults.len()).rev() {
            let mut fewer = shrunk.clone();
            fewer.faults.remove(place);
            if still_broken(&fewer) {
                (shrunk, reduced) = (fewer, true);
                continue;
            }
            let mut shorter = shrunk.clone();
            let fault = &mut shorter.faults[place];
            fault.to = fault.from + (fault.to - fault.from) / 2;
            if fault.to - fault.from > 100_000 && still_broken(&shorter) {
                (shrunk, reduced) = (shorter, true);
            }
        }
    }
    shrunk
}
