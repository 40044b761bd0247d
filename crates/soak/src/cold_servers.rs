//! Falls of servers that have just started under the set-ups of all front nodes together.

use std::collections::BTreeMap;
use std::fmt;

use crate::record::{ColdTerms, Event, Micros, Record};

/// A number of expected set-ups from which the chance that a server bears more is smaller.
const LARGE_NUMBER: f64 = 30.0;

/// A fall for which the front nodes are responsible: over two thirds of its set-ups came from front nodes that had been told
/// of the server's start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Fall {
    /// The server.
    pub server: u32,
    /// When the window begins.
    pub at: Micros,
    /// Age of the server then.
    pub age: Micros,
    /// Set-ups in the window, and those from front nodes that had been told.
    pub set_ups: usize,
    pub told: usize,
    /// Set-ups that the server bears in it.
    pub borne: f64,
}

impl fmt::Display for Fall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fall { server, age, set_ups, told, borne, .. } = self;
        let age_ms = age / 1_000;
        write!(
            f,
            "{set_ups} set-ups in a window at s-{server:08x}, {age_ms} ms old, {told} of them told; {borne:.1} are borne"
        )
    }
}

struct SetUp {
    at: Micros,
    is_told: bool,
}

/// The first fall of each process of a server, if the front nodes are responsible for it.
pub(crate) fn falls(record: &Record) -> Vec<Fall> {
    let terms = record.terms.cold;
    let mut ordered: Vec<&(Micros, Event)> = record.events.iter().collect();
    ordered.sort_by_key(|(at, _)| *at);
    let mut told: BTreeMap<(u32, usize), Micros> = BTreeMap::new();
    let mut set_ups: BTreeMap<(u32, Micros), Vec<SetUp>> = BTreeMap::new();
    for (at, event) in ordered {
        match event {
            Event::StartAnnounced { server, node, started } => {
                told.insert((*server, *node), *started);
            }
            Event::SetUpReceived { server, node, started: Some(started), .. }
                if *at < started + terms.warm_up =>
            {
                let is_told = told.get(&(*server, *node)) == Some(started);
                set_ups.entry((*server, *started)).or_default().push(SetUp { at: *at, is_told });
            }
            _ => {}
        }
    }
    let first_falls = set_ups.iter().filter_map(|((server, started), set_ups)| {
        set_ups.iter().find_map(|first| window_fall(&terms, *server, *started, first.at, set_ups))
    });
    first_falls.filter(|fall| fall.told * 3 > fall.set_ups * 2).collect()
}

/// The fall in the window that begins at this time, if the server does not bear its set-ups.
fn window_fall(
    terms: &ColdTerms,
    server: u32,
    started: Micros,
    at: Micros,
    set_ups: &[SetUp],
) -> Option<Fall> {
    let inside = || set_ups.iter().filter(|set_up| (at..at + terms.window).contains(&set_up.at));
    let age = at - started;
    let borne = borne(terms, age);
    let (count, told) = (inside().count(), inside().filter(|set_up| set_up.is_told).count());
    (count as f64 > borne).then_some(Fall { server, at, age, set_ups: count, told, borne })
}

/// Set-ups that a server of this age bears in a window.
fn borne(terms: &ColdTerms, age: Micros) -> f64 {
    let share_warmed = (age as f64 / terms.warm_up as f64).min(1.0);
    let warmth = terms.cold_from + (1.0 - terms.cold_from) * share_warmed;
    let per_window = f64::from(terms.places) / terms.warm_up as f64 * terms.window as f64;
    let expected = per_window * terms.fall_multiple * warmth;
    let deviations = if expected < LARGE_NUMBER { 3.0 } else { 2.0 };
    expected + deviations * expected.sqrt() + deviations
}
