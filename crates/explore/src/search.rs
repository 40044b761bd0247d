//! Exhaustive breadth-first search; the first path found to a broken property is a shortest one.

use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stateright::{Checker, Expectation, Model, Property as ModelProperty};

use crate::bounds::Bounds;
use crate::world::{Move, Property, World};

/// Version of the trace format. Moves of traces with another version may have a different meaning.
pub const TRACE_VERSION: u32 = 1;

/// A path to a state that breaks a property.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Trace {
    /// Version of the trace format.
    pub version: u32,
    /// Bounds of the exploration that found the trace.
    pub bounds: Bounds,
    /// Broken property.
    pub property: Property,
    /// Description of the violation.
    pub text: String,
    /// Moves from the initial state.
    pub moves: Vec<Move>,
}

/// A state of the model: the world and its fingerprint, by which states are compared.
#[derive(Clone, Debug)]
pub struct State {
    world: Arc<World>,
    fingerprint: u128,
    depth: usize,
    broken: Option<(Property, String)>,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

/// The model to check, with counters for statistics.
struct WorldModel {
    bounds: Arc<Bounds>,
    text_bytes: AtomicUsize,
    texts_measured: AtomicUsize,
    transitions: AtomicUsize,
}

impl WorldModel {
    fn state(&self, world: World, depth: usize) -> State {
        let text = world.canonical_text();
        self.text_bytes.fetch_add(text.len(), Ordering::Relaxed);
        self.texts_measured.fetch_add(1, Ordering::Relaxed);
        let fingerprint = xxhash_rust::xxh3::xxh3_128(text.as_bytes());
        let mut broken = world.broken.clone();
        // A path may end in any state, so each state has to be able to reach quiescence.
        if broken.is_none() {
            broken = world.check_quiescence().err().map(|text| (Property::Quiet, text));
        }
        State { world: Arc::new(world), fingerprint, depth, broken }
    }
}

impl Model for WorldModel {
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
        world.apply(&action);
        Some(self.state(world, state.depth + 1))
    }

    fn properties(&self) -> Vec<ModelProperty<Self>> {
        macro_rules! always {
            ($($property:ident),*) => {
                vec![$(ModelProperty {
                    expectation: Expectation::Always,
                    name: stringify!($property),
                    condition: |_, state: &State| {
                        state.broken.as_ref().is_none_or(|(of, _)| *of != Property::$property)
                    },
                }),*]
            };
        }
        always![OneAnswer, InTime, OneAttempt, PaidOnce, Drains, Cold, Terms, Budget, Quiet, Lock]
    }
}

/// Result of a search.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SearchResult {
    /// Bounds of the search.
    pub bounds: Bounds,
    /// Number of distinct states.
    pub states: usize,
    /// Number of moves.
    pub transitions: usize,
    /// Number of moves on the longest path to a new state.
    pub longest: usize,
    /// Duration, s.
    pub seconds: f64,
    /// Mean length of the canonical text of a state, bytes.
    pub bytes: usize,
    /// Whether every state within the bounds was visited.
    #[serde(rename = "whole")]
    pub exhaustive: bool,
    /// A shortest path for each broken property.
    pub traces: Vec<Trace>,
}

/// Searches until all states are visited, or the limit of states or time is reached.
pub fn search(bounds: &Bounds, threads: usize, max_states: usize, time_limit: Duration) -> SearchResult {
    let model = WorldModel {
        bounds: Arc::new(bounds.clone()),
        text_bytes: AtomicUsize::new(0),
        texts_measured: AtomicUsize::new(0),
        transitions: AtomicUsize::new(0),
    };
    let checker = model.checker().threads(threads.max(1)).timeout(time_limit).target_state_count(max_states);
    let stopwatch = crate::walk::Stopwatch::start();
    let checker_result = checker.spawn_bfs().join();
    let seconds = stopwatch.seconds();
    let model = checker_result.model();
    let mut traces = Vec::new();
    for (_, path) in checker_result.discoveries() {
        let last = path.last_state();
        let Some((property, text)) = last.broken.clone() else { continue };
        traces.push(Trace {
            version: TRACE_VERSION,
            bounds: bounds.clone(),
            property,
            text,
            moves: path.into_actions(),
        });
    }
    traces.sort_by_key(|trace| (trace.property, trace.moves.len()));
    let texts_measured = model.texts_measured.load(Ordering::Relaxed).max(1);
    SearchResult {
        bounds: bounds.clone(),
        states: checker_result.unique_state_count(),
        transitions: model.transitions.load(Ordering::Relaxed),
        longest: checker_result.max_depth().saturating_sub(1),
        seconds,
        bytes: model.text_bytes.load(Ordering::Relaxed) / texts_measured,
        exhaustive: seconds < time_limit.as_secs_f64()
            && checker_result.state_count() < max_states
            && traces.is_empty(),
        traces,
    }
}
