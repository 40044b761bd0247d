//! The exhaustive search: breadth first, so that the first path to a broken property is a shortest one.

use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stateright::{Checker, Expectation, Model, Property as Checked};

use crate::bounds::Bounds;
use crate::world::{Move, Property, World};

/// Version of traces: one of another version may name moves that mean something else here.
pub const TRACE: u32 = 1;

/// A path to a state that breaks a property.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Trace {
    /// Version of its moves.
    pub version: u32,
    /// The bounds that it was found in.
    pub bounds: Bounds,
    /// What it breaks.
    pub property: Property,
    /// How.
    pub text: String,
    /// The moves from the start.
    pub moves: Vec<Move>,
}

/// A state: the world, and what it is told apart by.
#[derive(Clone, Debug)]
pub struct State {
    world: Arc<World>,
    shape: u128,
    depth: usize,
    broken: Option<(Property, String)>,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.shape == other.shape
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.shape.hash(state);
    }
}

/// The model that is checked.
struct Explored {
    bounds: Arc<Bounds>,
    bytes: AtomicUsize,
    measured: AtomicUsize,
    transitions: AtomicUsize,
}

impl Explored {
    fn state(&self, world: World, depth: usize) -> State {
        let shape = world.shape();
        self.bytes.fetch_add(shape.len(), Ordering::Relaxed);
        self.measured.fetch_add(1, Ordering::Relaxed);
        let shape = xxhash_rust::xxh3::xxh3_128(shape.as_bytes());
        let mut broken = world.broken.clone();
        // A path may stop anywhere: from each state the world must be able to go quiet.
        if broken.is_none() {
            broken = world.quiet().err().map(|text| (Property::Quiet, text));
        }
        State { world: Arc::new(world), shape, depth, broken }
    }
}

impl Model for Explored {
    type State = State;
    type Action = Move;

    fn init_states(&self) -> Vec<State> {
        vec![self.state(World::new(Arc::clone(&self.bounds)), 0)]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Move>) {
        if state.broken.is_none() && state.depth < self.bounds.depth {
            actions.extend(state.world.moves());
        }
    }

    fn next_state(&self, state: &State, action: Move) -> Option<State> {
        self.transitions.fetch_add(1, Ordering::Relaxed);
        let mut world = (*state.world).clone();
        world.play(&action);
        Some(self.state(world, state.depth + 1))
    }

    fn properties(&self) -> Vec<Checked<Self>> {
        macro_rules! held {
            ($($property:ident),*) => {
                vec![$(Checked {
                    expectation: Expectation::Always,
                    name: stringify!($property),
                    condition: |_, state: &State| {
                        state.broken.as_ref().is_none_or(|(of, _)| *of != Property::$property)
                    },
                }),*]
            };
        }
        held![OneAnswer, InTime, OneAttempt, PaidOnce, Drains, Cold, Terms, Budget, Quiet, Lock]
    }
}

/// What a search found.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Found {
    /// Its bounds.
    pub bounds: Bounds,
    /// Different states.
    pub states: usize,
    /// Moves made.
    pub transitions: usize,
    /// Moves on the longest path to a new state.
    pub longest: usize,
    /// Time, s.
    pub seconds: f64,
    /// Mean length of a state's text, bytes.
    pub bytes: usize,
    /// Whether every state within the bounds was seen.
    pub whole: bool,
    /// A shortest path for each property that does not hold.
    pub traces: Vec<Trace>,
}

/// Searches, through so many states at most and no longer than `within`.
pub fn search(bounds: &Bounds, threads: usize, most: usize, within: Duration) -> Found {
    let model = Explored {
        bounds: Arc::new(bounds.clone()),
        bytes: AtomicUsize::new(0),
        measured: AtomicUsize::new(0),
        transitions: AtomicUsize::new(0),
    };
    let checker = model.checker().threads(threads.max(1)).timeout(within).target_state_count(most);
    let begun = crate::walk::Stopwatch::start();
    let done = checker.spawn_bfs().join();
    let seconds = begun.seconds();
    let model = done.model();
    let mut traces = Vec::new();
    for (_, path) in done.discoveries() {
        let last = path.last_state();
        let Some((property, text)) = last.broken.clone() else { continue };
        traces.push(Trace {
            version: TRACE,
            bounds: bounds.clone(),
            property,
            text,
            moves: path.into_actions(),
        });
    }
    traces.sort_by_key(|trace| (trace.property, trace.moves.len()));
    let measured = model.measured.load(Ordering::Relaxed).max(1);
    Found {
        bounds: bounds.clone(),
        states: done.unique_state_count(),
        transitions: model.transitions.load(Ordering::Relaxed),
        longest: done.max_depth().saturating_sub(1),
        seconds,
        bytes: model.bytes.load(Ordering::Relaxed) / measured,
        whole: seconds < within.as_secs_f64() && done.state_count() < most && traces.is_empty(),
        traces,
    }
}
