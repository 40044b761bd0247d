//! The size that is explored at every change.

use salttally_explore::bounds::{Bounds, Layer};
use salttally_explore::search::search;

fn held(bounds: &Bounds) {
    let found = search(bounds, 2, 300_000, std::time::Duration::from_secs(15));
    eprintln!(
        "{bounds}: {} states, {} moves, longest {}, {:.1} s, {} bytes",
        found.states, found.transitions, found.longest, found.seconds, found.bytes
    );
    for trace in &found.traces {
        eprintln!("{}: {}", trace.property.sentence(), trace.text);
        trace.moves.iter().for_each(|chosen| eprintln!("    {chosen}"));
    }
    assert!(found.traces.is_empty());
}

#[test]
fn whatever_a_decider_asks_for_holds() {
    held(&Bounds { troubles: 1, ..Bounds::small(Layer::Anything) });
}

#[test]
fn the_module_holds() {
    held(&Bounds { troubles: 1, ..Bounds::small(Layer::Module) });
}
