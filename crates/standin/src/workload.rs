//! The seeded draws that turn a script into the events of a day: the same seed gives the same day.

use rand_core::{RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg32;

use crate::fleet::BoxSpec;
use crate::script::{FaultKind, Script};

/// A viewer that arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Arrival time, us since the day began.
    pub at: u64,
    /// Name of the viewer.
    pub viewer: String,
    /// Requested title.
    pub title: String,
    /// Class.
    pub class: String,
    /// How long it would watch, us.
    pub length: u64,
    /// Patience, us.
    pub patience: u64,
    /// Highest rung it can use.
    pub top_rung: usize,
    /// Seed of its later draws.
    pub seed: u64,
}

/// A uniform draw from 0 up to, not including, 1.
pub fn uniform(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

/// A uniform draw around a mean, up to the given relative deviation.
fn vary(rng: &mut Pcg32, (mean, relative_deviation): (f64, f64)) -> f64 {
    mean * (1.0 + relative_deviation * (2.0 * uniform(rng) - 1.0))
}

/// Name of a title.
pub fn title(number: usize) -> String {
    format!("title-{number}")
}

/// The boxes at the start and the uplink capacities of the racks, kB/s.
pub fn fleet(script: &Script) -> (Vec<BoxSpec>, Vec<f64>) {
    let mut rng = Pcg32::seed_from_u64(script.seed);
    let spec = |id: u32, link_kb: f64| BoxSpec {
        id,
        zone: id % script.zones,
        cell: id,
        rack: if script.racks == 0 { 0 } else { id as usize % script.racks },
        link_kb,
        places: script.places,
    };
    let boxes: Vec<BoxSpec> = (0..script.boxes).map(|id| spec(id, vary(&mut rng, script.link))).collect();
    let uplinks = (0..script.racks.max(1)).map(|rack| {
        let links: f64 = boxes.iter().filter(|b| b.rack == rack).map(|b| b.link_kb).sum();
        // Without racks, the uplink is unlimited.
        if script.racks == 0 {
            f64::MAX
        } else {
            links * vary(&mut rng, script.uplink)
        }
    });
    let uplinks = uplinks.collect();
    (boxes, uplinks)
}

/// Boxes that a fault affects: a share of the available boxes, drawn separately for each fault.
pub fn affected_boxes(script: &Script, fault: usize, share: f64, available: &[u32]) -> Vec<u32> {
    let mut rng = Pcg32::seed_from_u64(script.seed ^ ((fault as u64 + 1) << 32));
    let mut ranked: Vec<(u32, u32)> = available.iter().map(|id| (rng.next_u32(), *id)).collect();
    ranked.sort_unstable();
    let count = (available.len() as f64 * share).round() as usize;
    ranked.into_iter().take(count).map(|(_, id)| id).collect()
}

/// All viewers of the day, ordered by arrival.
pub fn arrivals(script: &Script) -> Vec<Arrival> {
    let mut rng = Pcg32::seed_from_u64(script.seed.wrapping_mul(31).wrapping_add(7));
    let popularity = Zipf::new(script.titles.0 as u64, script.titles.2.max(0.01)).ok();
    // Arrivals stop early enough for the last viewers to have time for an average session, but not before 40 % of the
    // day.
    let mean = script.viewers.iter().map(|v| v.length * v.share).sum::<f64>();
    let span = (script.length as f64 - mean).max(script.length as f64 * 0.4);
    let mut all = Vec::new();
    let mut gaps: Vec<f64> = (0..script.sessions).map(|_| Exp1.sample(&mut rng)).collect();
    let total: f64 = gaps.iter().sum::<f64>().max(1e-9);
    gaps.iter_mut().for_each(|gap| *gap *= span / total);
    let mut at = 0.0;
    for (number, gap) in gaps.into_iter().enumerate() {
        at += gap;
        let rank = popularity.as_ref().map_or(1.0, |zipf| zipf.sample(&mut rng)) as usize;
        all.push(arrival(script, &mut rng, at as u64, number, rank.saturating_sub(1)));
    }
    for fault in &script.faults {
        if let FaultKind::Crowd(share, titles) = fault.kind {
            let count = (script.sessions as f64 * share) as usize;
            for number in 0..count {
                // Crowds request the least popular titles.
                let rank = script.titles.0 - 1 - number % titles.clamp(1, script.titles.0);
                let at = fault.at + (uniform(&mut rng) * fault.length as f64) as u64;
                all.push(arrival(script, &mut rng, at, script.sessions + all.len() + number, rank));
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn arrival(script: &Script, rng: &mut Pcg32, at: u64, number: usize, rank: usize) -> Arrival {
    let total_share: f64 = script.viewers.iter().map(|viewer_class| viewer_class.share).sum();
    let mut remaining = uniform(rng) * total_share;
    let viewer_class = script.viewers.iter().find(|viewer_class| {
        remaining -= viewer_class.share;
        remaining < 0.0
    });
    let viewer_class = viewer_class.unwrap_or(&script.viewers[0]);
    // Session lengths are log-normal with the configured mean: many short ones, a few long ones.
    let spread = 0.5f64;
    let length = LogNormal::new(viewer_class.length.max(1.0).ln() - spread * spread / 2.0, spread)
        .map_or(viewer_class.length, |lengths| lengths.sample(rng));
    let rungs = script.terms.rungs.len().max(1);
    let top_rung = if uniform(rng) < script.viewer_behavior.limited { (rungs / 2).max(1) } else { rungs - 1 };
    let floor = script.terms.classes.get(&viewer_class.class).map_or(0, |class| class.floor);
    Arrival {
        at,
        viewer: format!("viewer-{number}"),
        title: title(rank.min(script.titles.0 - 1)),
        class: viewer_class.class.clone(),
        length: length as u64,
        patience: viewer_class.patience,
        top_rung: top_rung.min(viewer_class.top).max(floor),
        seed: rng.next_u64(),
    }
}
