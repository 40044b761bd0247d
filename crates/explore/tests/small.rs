//! The size that is explored at every change.

use salttally_explore::bounds::{Bounds, Fault, Layer};
use salttally_explore::search::search;
use salttally_explore::walk::{replay, walk};
use salttally_explore::world::Move;
use std::sync::Arc;
use std::time::Duration;

fn held(bounds: &Bounds, states: usize) {
    // Bounds that are seen whole: no limit of time or states may end the search before.
    let found = search(bounds, 2, usize::MAX, Duration::from_secs(600));
    for trace in &found.traces {
        eprintln!("trace of {} moves: {}: {}", trace.moves.len(), trace.property.sentence(), trace.text);
        trace.moves.iter().for_each(|chosen| eprintln!("    {chosen}"));
    }
    assert!(found.whole, "{bounds}: a property is broken, see above");
    assert!(found.states > states, "{bounds}: only {} states", found.states);
}

#[test]
fn whatever_a_decider_asks_for_holds() {
    held(&Bounds { troubles: 1, wrong: 0, ..Bounds::small(Layer::Anything) }, 10_000);
}

#[test]
fn the_module_holds() {
    held(&Bounds { troubles: 1, ..Bounds::small(Layer::Module) }, 1_000);
}

#[test]
fn the_module_holds_with_longer_graces() {
    for grace_ms in [1_000, 2_000] {
        let faults = vec![Fault::Drain, Fault::Late, Fault::Error, Fault::NoDial];
        held(&Bounds { troubles: 2, grace_ms, faults, ..Bounds::small(Layer::Module) }, 300);
    }
}

#[test]
fn two_sessions_of_the_module_hold() {
    held(&Bounds { troubles: 0, sessions: 2, ..Bounds::small(Layer::Module) }, 100);
}

#[test]
fn random_paths_of_a_larger_world_hold() {
    let bounds = Bounds {
        fronts: 3,
        boxes: 6,
        sessions: 8,
        paid: 3,
        troubles: 5,
        depth: 150,
        ..Bounds::small(Layer::Module)
    };
    let walked = walk(&bounds, 7, 30);
    assert!(walked.trace.is_none(), "{:#?}", walked.trace);
    assert!(walked.moves > 1_000, "{walked:?}");
}

#[test]
fn a_trace_is_replayed_as_far_as_its_moves_can_be_made() {
    let bounds = Arc::new(Bounds { troubles: 2, ..Bounds::small(Layer::Module) });
    let open = Move::Open { viewer: 0, front: 0, draw: 0 };
    // Not broken: moves that cannot be made are left out, and what is left holds.
    let (made, broken) = replay(&bounds, &[Move::Close { viewer: 0 }, open.clone(), open.clone()]);
    assert_eq!((made, broken), (vec![open], None));
}
