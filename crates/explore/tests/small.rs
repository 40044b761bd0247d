//! Explorations that are small enough for CI.

use salttally_explore::bounds::{Bounds, Fault, Layer};
use salttally_explore::search::search;
use salttally_explore::walk::{replay, walk};
use salttally_explore::world::Move;
use std::sync::Arc;
use std::time::Duration;

fn assert_all_properties_hold(bounds: &Bounds, min_states: usize) {
    // The bounds are small enough to visit every state; the limits of time and states are not to be reached.
    let found = search(bounds, 2, usize::MAX, Duration::from_secs(600));
    for trace in &found.traces {
        eprintln!("trace of {} moves: {}: {}", trace.moves.len(), trace.property.description(), trace.text);
        trace.moves.iter().for_each(|next_move| eprintln!("    {next_move}"));
    }
    assert!(found.exhaustive, "{bounds}: a property is broken, see above");
    assert!(found.states > min_states, "{bounds}: only {} states", found.states);
}

#[test]
fn properties_hold_for_any_decider() {
    assert_all_properties_hold(
        &Bounds { max_faults: 1, max_wrong_requests: 0, ..Bounds::small(Layer::Anything) },
        10_000,
    );
}

#[test]
fn properties_hold_for_the_module() {
    assert_all_properties_hold(&Bounds { max_faults: 1, ..Bounds::small(Layer::Module) }, 1_000);
}

#[test]
fn properties_hold_for_the_module_with_longer_drain_graces() {
    for grace_ms in [1_000, 2_000] {
        let faults = vec![Fault::Drain, Fault::Late, Fault::Error, Fault::NoDial];
        assert_all_properties_hold(
            &Bounds { max_faults: 2, grace_ms, faults, ..Bounds::small(Layer::Module) },
            300,
        );
    }
}

#[test]
fn properties_hold_for_two_sessions_of_the_module() {
    assert_all_properties_hold(&Bounds { max_faults: 0, sessions: 2, ..Bounds::small(Layer::Module) }, 100);
}

#[test]
fn properties_hold_on_random_paths_of_a_larger_world() {
    let bounds = Bounds {
        fronts: 3,
        boxes: 6,
        sessions: 8,
        paid: 3,
        max_faults: 5,
        depth: 150,
        ..Bounds::small(Layer::Module)
    };
    let walked = walk(&bounds, 7, 30);
    assert!(walked.trace.is_none(), "{:#?}", walked.trace);
    assert!(walked.moves > 1_000, "{walked:?}");
}

#[test]
fn replay_skips_moves_that_are_not_possible() {
    let bounds = Arc::new(Bounds { max_faults: 2, ..Bounds::small(Layer::Module) });
    let open = Move::Open { viewer: 0, front: 0, draw: 0 };
    // The impossible moves are skipped, and the remaining ones break no property.
    let (applied, broken) = replay(&bounds, &[Move::Close { viewer: 0 }, open.clone(), open.clone()]);
    assert_eq!((applied, broken), (vec![open], None));
}
