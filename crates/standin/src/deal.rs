//! The draws that make a day of a script: the same seed deals the same day.

use rand_core::{RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg32;

use crate::fleet::Build;
use crate::script::{Kind, Script};

/// A viewer that comes.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, us of the day.
    pub at: u64,
    /// Its name.
    pub viewer: String,
    /// What it wants.
    pub title: String,
    /// Class.
    pub class: String,
    /// How long it would watch, us.
    pub length: u64,
    /// Time before it gives up, us.
    pub patience: u64,
    /// Highest rung it can use.
    pub top: usize,
    /// Seed of what it does.
    pub seed: u64,
}

/// A draw from 0 to 1.
pub fn draw(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

/// A draw around a mean, as far as a part of it to either side.
fn around(rng: &mut Pcg32, (mean, part): (f64, f64)) -> f64 {
    mean * (1.0 + part * (2.0 * draw(rng) - 1.0))
}

/// Name of a title.
pub fn title(at: usize) -> String {
    format!("title-{at}")
}

/// The boxes at the start and the racks' uplinks.
pub fn fleet(script: &Script) -> (Vec<Build>, Vec<f64>) {
    let mut rng = Pcg32::seed_from_u64(script.seed);
    let build = |id: u32, link_kb: f64| Build {
        id,
        zone: id % script.zones,
        cell: id,
        rack: if script.racks == 0 { 0 } else { id as usize % script.racks },
        link_kb,
        places: script.places,
    };
    let boxes: Vec<Build> = (0..script.boxes).map(|id| build(id, around(&mut rng, script.link))).collect();
    let uplinks = (0..script.racks.max(1)).map(|rack| {
        let links: f64 = boxes.iter().filter(|b| b.rack == rack).map(|b| b.link_kb).sum();
        // With no racks told, one uplink carries whatever the links do.
        if script.racks == 0 {
            f64::MAX
        } else {
            links * around(&mut rng, script.uplink)
        }
    });
    let uplinks = uplinks.collect();
    (boxes, uplinks)
}

/// Boxes that a fault strikes: a part of the fleet, drawn anew for each fault.
pub fn struck(script: &Script, fault: usize, part: f64, alive: &[u32]) -> Vec<u32> {
    let mut rng = Pcg32::seed_from_u64(script.seed ^ ((fault as u64 + 1) << 32));
    let mut drawn: Vec<(u32, u32)> = alive.iter().map(|id| (rng.next_u32(), *id)).collect();
    drawn.sort_unstable();
    let count = (alive.len() as f64 * part).round() as usize;
    drawn.into_iter().take(count).map(|(_, id)| id).collect()
}

/// All viewers of the day, in the order of their coming.
pub fn arrivals(script: &Script) -> Vec<Arrival> {
    let mut rng = Pcg32::seed_from_u64(script.seed.wrapping_mul(31).wrapping_add(7));
    let popular = Zipf::new(script.titles.0 as u64, script.titles.2.max(0.01)).ok();
    // Viewers come until the last would still have time for most of its session.
    let mean = script.viewers.iter().map(|v| v.length * v.share).sum::<f64>();
    let span = (script.length as f64 - mean).max(script.length as f64 * 0.4);
    let mut all = Vec::new();
    let mut gaps: Vec<f64> = (0..script.sessions).map(|_| Exp1.sample(&mut rng)).collect();
    let total: f64 = gaps.iter().sum::<f64>().max(1e-9);
    gaps.iter_mut().for_each(|gap| *gap *= span / total);
    let mut at = 0.0;
    for (number, gap) in gaps.into_iter().enumerate() {
        at += gap;
        let rank = popular.as_ref().map_or(1.0, |zipf| zipf.sample(&mut rng)) as usize;
        all.push(arrival(script, &mut rng, at as u64, number, rank.saturating_sub(1)));
    }
    for fault in &script.faults {
        if let Kind::Crowd(share, titles) = fault.kind {
            let count = (script.sessions as f64 * share) as usize;
            for number in 0..count {
                // Scarce titles: those that are asked for least.
                let rank = script.titles.0 - 1 - number % titles.clamp(1, script.titles.0);
                let at = fault.at + (draw(&mut rng) * fault.length as f64) as u64;
                all.push(arrival(script, &mut rng, at, script.sessions + all.len() + number, rank));
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn arrival(script: &Script, rng: &mut Pcg32, at: u64, number: usize, rank: usize) -> Arrival {
    let whole: f64 = script.viewers.iter().map(|of| of.share).sum();
    let mut left = draw(rng) * whole;
    let of = script.viewers.iter().find(|of| {
        left -= of.share;
        left < 0.0
    });
    let of = of.unwrap_or(&script.viewers[0]);
    // Lengths as people watch: many short, a few long, and the mean as told.
    let spread = 0.5f64;
    let length = LogNormal::new(of.length.max(1.0).ln() - spread * spread / 2.0, spread)
        .map_or(of.length, |lengths| lengths.sample(rng));
    let rungs = script.terms.rungs.len().max(1);
    let top = if draw(rng) < script.habits.limited { (rungs / 2).max(1) } else { rungs - 1 };
    let floor = script.terms.classes.get(&of.class).map_or(0, |class| class.floor);
    Arrival {
        at,
        viewer: format!("viewer-{number}"),
        title: title(rank.min(script.titles.0 - 1)),
        class: of.class.clone(),
        length: length as u64,
        patience: of.patience,
        top: top.min(of.top).max(floor),
        seed: rng.next_u64(),
    }
}
