//! Beyond the size that can be searched: random paths, the same properties, and traces made as short as they get.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::sync::Arc;
use std::time::Instant;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::bounds::Bounds;
use crate::search::{Trace, TRACE};
use crate::world::{Move, Property, World};

/// Measures how long a search takes; nothing is decided by it.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch(Instant);

impl Stopwatch {
    /// Starts now.
    pub fn start() -> Stopwatch {
        Stopwatch(Instant::now())
    }

    /// Time since the start, s.
    pub fn seconds(&self) -> f64 {
        self.0.elapsed().as_secs_f64()
    }
}

/// What random paths found.
#[derive(Clone, Debug, Default)]
pub struct Walked {
    /// Paths gone.
    pub paths: u64,
    /// Moves made.
    pub moves: u64,
    /// The first trace found, as short as it got.
    pub trace: Option<Trace>,
}

/// Goes random paths for so long, s.
pub fn walk_for(bounds: &Bounds, seed: u64, seconds: f64) -> Walked {
    let begun = Stopwatch::start();
    walk_while(bounds, seed, |_| begun.seconds() < seconds)
}

/// Goes so many random paths. The same seed goes the same paths.
pub fn walk(bounds: &Bounds, seed: u64, paths: u64) -> Walked {
    walk_while(bounds, seed, |gone| gone < paths)
}

fn walk_while(bounds: &Bounds, seed: u64, go_on: impl Fn(u64) -> bool) -> Walked {
    let bounds = Arc::new(bounds.clone());
    let mut walked = Walked::default();
    while go_on(walked.paths) {
        let mut rng = Pcg32::seed_from_u64(seed.wrapping_add(walked.paths));
        let mut world = World::new(Arc::clone(&bounds));
        let mut moves = Vec::new();
        while moves.len() < bounds.depth && world.broken.is_none() {
            let all = world.moves();
            let Some(chosen) = all.get(rng.next_u32() as usize % all.len().max(1)) else { break };
            world.play(chosen);
            moves.push(chosen.clone());
        }
        walked.paths += 1;
        walked.moves += moves.len() as u64;
        let broken = world.broken.clone().or_else(|| world.quiet().err().map(|text| (Property::Quiet, text)));
        if let Some((property, _)) = broken {
            walked.trace = Some(shrink(&bounds, property, moves));
            break;
        }
    }
    walked
}

/// What a path breaks; moves that are not possible where they stand are left out.
pub fn replay(bounds: &Arc<Bounds>, moves: &[Move]) -> (Vec<Move>, Option<(Property, String)>) {
    let mut world = World::new(Arc::clone(bounds));
    let mut made = Vec::new();
    for chosen in moves {
        if world.moves().contains(chosen) {
            world.play(chosen);
            made.push(chosen.clone());
        }
        if world.broken.is_some() {
            break;
        }
    }
    let broken = world.broken.clone().or_else(|| world.quiet().err().map(|text| (Property::Quiet, text)));
    (made, broken)
}

/// Leaves moves out for as long as the same property breaks.
pub fn shrink(bounds: &Arc<Bounds>, property: Property, moves: Vec<Move>) -> Trace {
    let (mut best, mut text) = (moves, String::new());
    if let (made, Some((of, first))) = replay(bounds, &best) {
        if of == property {
            (best, text) = (made, first);
        }
    }
    let mut size = (best.len() / 2).max(1);
    loop {
        let mut shorter = false;
        let mut at = 0;
        while at < best.len() {
            let mut less = best.clone();
            less.drain(at..(at + size).min(less.len()));
            match replay(bounds, &less) {
                (made, Some((of, why))) if of == property && made.len() < best.len() => {
                    (best, text, shorter) = (made, why, true);
                }
                _ => at += size,
            }
        }
        if size == 1 && !shorter {
            break;
        }
        size = (size / 2).max(1);
    }
    Trace { version: TRACE, bounds: (**bounds).clone(), property, text, moves: best }
}
