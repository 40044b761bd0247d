//! Random walks for worlds that are too large for an exhaustive search, with the same properties, and shrinking of traces.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::sync::Arc;
use std::time::Instant;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::bounds::Bounds;
use crate::search::{Trace, TRACE_VERSION};
use crate::world::{Move, Property, World};

/// Measures the duration of a search; does not influence the explored code.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch(Instant);

impl Stopwatch {
    /// Starts the stopwatch.
    pub fn start() -> Stopwatch {
        Stopwatch(Instant::now())
    }

    /// Returns the time since the start, s.
    pub fn seconds(&self) -> f64 {
        self.0.elapsed().as_secs_f64()
    }
}

/// Result of random walks.
#[derive(Clone, Debug, Default)]
pub struct WalkResult {
    /// Number of paths.
    pub paths: u64,
    /// Number of moves.
    pub moves: u64,
    /// The first trace found, shrunk.
    pub trace: Option<Trace>,
}

/// Takes random paths for this time, s.
pub fn walk_for(bounds: &Bounds, seed: u64, seconds: f64) -> WalkResult {
    let stopwatch = Stopwatch::start();
    walk_while(bounds, seed, |_| stopwatch.seconds() < seconds)
}

/// Takes this number of random paths. The same seed yields the same paths.
pub fn walk(bounds: &Bounds, seed: u64, paths: u64) -> WalkResult {
    walk_while(bounds, seed, |finished| finished < paths)
}

fn walk_while(bounds: &Bounds, seed: u64, should_continue: impl Fn(u64) -> bool) -> WalkResult {
    let bounds = Arc::new(bounds.clone());
    let mut result = WalkResult::default();
    while should_continue(result.paths) {
        let mut rng = Pcg32::seed_from_u64(seed.wrapping_add(result.paths));
        let mut world = World::new(Arc::clone(&bounds));
        let mut moves = Vec::new();
        while moves.len() < bounds.depth && world.broken.is_none() {
            let moves_available = world.moves();
            let Some(next_move) = moves_available.get(rng.next_u32() as usize % moves_available.len().max(1))
            else {
                break;
            };
            world.apply(next_move);
            moves.push(next_move.clone());
        }
        result.paths += 1;
        result.moves += moves.len() as u64;
        let broken = world
            .broken
            .clone()
            .or_else(|| world.check_quiescence().err().map(|text| (Property::Quiet, text)));
        if let Some((property, _)) = broken {
            result.trace = Some(shrink(&bounds, property, moves));
            break;
        }
    }
    result
}

/// Replays moves, skipping those that are not possible, and returns the applied moves and the broken property, if any.
pub fn replay(bounds: &Arc<Bounds>, moves: &[Move]) -> (Vec<Move>, Option<(Property, String)>) {
    let mut world = World::new(Arc::clone(bounds));
    let mut applied = Vec::new();
    for next_move in moves {
        if world.moves().contains(next_move) {
            world.apply(next_move);
            applied.push(next_move.clone());
        }
        if world.broken.is_some() {
            break;
        }
    }
    let broken =
        world.broken.clone().or_else(|| world.check_quiescence().err().map(|text| (Property::Quiet, text)));
    (applied, broken)
}

/// Removes moves as long as the same property breaks.
pub fn shrink(bounds: &Arc<Bounds>, property: Property, moves: Vec<Move>) -> Trace {
    let (mut best, mut text) = (moves, String::new());
    if let (applied, Some((broken_property, description))) = replay(bounds, &best) {
        if broken_property == property {
            (best, text) = (applied, description);
        }
    }
    let mut size = (best.len() / 2).max(1);
    loop {
        let mut shortened = false;
        let mut position = 0;
        while position < best.len() {
            let mut candidate = best.clone();
            candidate.drain(position..(position + size).min(candidate.len()));
            match replay(bounds, &candidate) {
                (applied, Some((broken_property, description)))
                    if broken_property == property && applied.len() < best.len() =>
                {
                    (best, text, shortened) = (applied, description, true);
                }
                _ => position += size,
            }
        }
        if size == 1 && !shortened {
            break;
        }
        size = (size / 2).max(1);
    }
    Trace { version: TRACE_VERSION, bounds: (**bounds).clone(), property, text, moves: best }
}
