//! Flap damping: a box that comes and goes too often is treated as gone until it has settled, like flapping
//! routes (RFC 2439).
//!
//! Danger: a list that flips a box between ready and gone makes the front open its event stream, close its
//! connections and inform the decision module each time, which delays all answers. So a box gets a
//! penalty each time its ready entry is withdrawn or replaced, and the penalty halves over time. Above one
//! threshold only changes for the worse are reported, until the penalty is below another.
//!
//! Danger: a drain that is delayed (rule 3: no new session at a box that drains). So a change for the worse
//! is always reported at once: the reported state of a box is never better than the listed one. Danger: a box
//! counts as warm if its start is reported late (rule 4: no overload of a cold box). So a ready box that is
//! replaced or restarted while it is suppressed is reported as draining, and nothing new is sent there.

use std::collections::{BTreeMap, BTreeSet};

use salttally::interface::{ListKind, Micros, ServerId, ServerState};

use crate::core::ListEntry;

/// Penalty each time a ready entry is withdrawn or replaced (RFC 2439 section 4.2, in thousandths).
const PENALTY: u64 = 1_000;
/// Above this penalty only changes for the worse are reported; that is after more than three changes in a
/// row.
const SUPPRESS_ABOVE: u64 = 3_000;
/// Below this penalty all changes are reported again.
const REUSE_BELOW: u64 = 1_500;
/// Upper bound of the penalty, so that no box is suppressed for longer than two and a half half-lives.
const MAX_PENALTY: u64 = 8_000;
/// Time in which a penalty halves.
const HALF_LIFE_US: Micros = 15_000_000;
/// Time between two checks for settled boxes.
const CHECK_INTERVAL_US: Micros = 1_000_000;

#[derive(Clone, Debug)]
struct BoxState {
    penalty: u64,
    updated_at: Micros,
    /// The line that was last reported.
    reported: ListEntry,
    /// The listed line, if it was not reported.
    withheld: Option<ListEntry>,
    /// Only changes for the worse are reported.
    suppressed: bool,
}

impl BoxState {
    fn decay(&mut self, now: Micros) {
        let mut elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        while elapsed >= HALF_LIFE_US && self.penalty > 0 {
            self.penalty /= 2;
            elapsed -= HALF_LIFE_US;
        }
        // Linear between two half-lives, where it meets the exponential curve. Time that is too short for a
        // whole step is kept, so that frequent updates do not change the decay.
        let decayed = self.penalty * elapsed / (2 * HALF_LIFE_US);
        if decayed == 0 {
            self.updated_at -= elapsed;
        }
        self.penalty -= decayed;
        self.suppressed &= self.penalty >= REUSE_BELOW;
    }
}

/// Flap damping of all boxes.
#[derive(Clone, Debug, Default)]
pub struct FlapDamping {
    boxes: BTreeMap<ServerId, BoxState>,
    /// Boxes with a withheld line.
    withheld: BTreeSet<ServerId>,
}

fn severity(state: ServerState) -> u8 {
    match state {
        ServerState::Ready => 0,
        ServerState::Draining => 1,
        ServerState::Removed => 2,
    }
}

fn with_state(line: &ListEntry, state: ServerState) -> ListEntry {
    let mut line = line.clone();
    line.entry.state = state;
    line
}

impl FlapDamping {
    /// No boxes known.
    pub fn new() -> FlapDamping {
        FlapDamping::default()
    }

    /// Takes in lines of the list. Returns the lines to report now.
    pub fn filter(&mut self, now: Micros, kind: ListKind, lines: Vec<ListEntry>) -> Vec<ListEntry> {
        let named: BTreeSet<ServerId> = lines.iter().map(|line| line.entry.server).collect();
        if kind != ListKind::Changes {
            // A box that a whole list does not name is gone.
            let missing: Vec<ServerId> =
                self.boxes.keys().filter(|id| !named.contains(id)).copied().collect();
            for id in missing {
                let gone = self.boxes.get(&id).map(|state| with_state(&state.reported, ServerState::Removed));
                gone.and_then(|line| self.filter_line(now, line, true));
            }
        }
        let whole = kind != ListKind::Changes;
        let report = |line: ListEntry| {
            let id = line.entry.server;
            // A box missing from a whole list counts as gone, so one that is only reported as draining has to
            // be named.
            let last_reported = |boxes: &BTreeMap<ServerId, BoxState>| {
                let reported = boxes.get(&id).map(|state| &state.reported);
                reported.filter(|line| whole && line.entry.state != ServerState::Removed).cloned()
            };
            self.filter_line(now, line, whole).or_else(|| last_reported(&self.boxes))
        };
        lines.into_iter().filter_map(report).collect()
    }

    /// Takes in one line. Returns the line to report, if any; in a whole list also an unchanged line.
    fn filter_line(&mut self, now: Micros, line: ListEntry, whole: bool) -> Option<ListEntry> {
        let id = line.entry.server;
        let Some(state) = self.boxes.get_mut(&id) else {
            let state = BoxState {
                penalty: 0,
                updated_at: now,
                reported: line.clone(),
                withheld: None,
                suppressed: false,
            };
            self.boxes.insert(id, state);
            return Some(line);
        };
        state.decay(now);
        let (old, new) = (severity(state.reported.entry.state), severity(line.entry.state));
        let only_state_differs = with_state(&state.reported, line.entry.state) == line;
        // The box is no longer ready, or its entry has changed in more than the state (a restart, another
        // address).
        let is_withdrawn = old == 0 && (new > 0 || !only_state_differs);
        if is_withdrawn {
            state.penalty = (state.penalty + PENALTY).min(MAX_PENALTY);
            state.suppressed |= state.penalty > SUPPRESS_ABOVE;
        }
        if state.reported == line && !whole {
            state.withheld = None;
            self.withheld.remove(&id);
            return None;
        }
        let passes = !state.suppressed || new > old || new == old && only_state_differs;
        if passes {
            (state.reported, state.withheld) = (line.clone(), None);
            self.withheld.remove(&id);
            return Some(line);
        }
        self.withheld.insert(id);
        state.withheld = Some(line);
        if old > 0 {
            return None;
        }
        state.reported = with_state(&state.reported, ServerState::Draining);
        Some(state.reported.clone())
    }

    /// Reports the listed lines of boxes that have settled.
    pub fn release_settled(&mut self, now: Micros) -> Vec<ListEntry> {
        let mut settled = Vec::new();
        for id in self.withheld.clone() {
            let Some(state) = self.boxes.get_mut(&id) else { continue };
            state.decay(now);
            if state.suppressed {
                continue;
            }
            self.withheld.remove(&id);
            if let Some(line) = state.withheld.take() {
                state.reported = line.clone();
                settled.push(line);
            }
        }
        // Boxes that are gone and have no penalty are forgotten, or the fleet's whole history would be kept.
        let withheld = &self.withheld;
        self.boxes.retain(|id, state| {
            state.decay(now);
            withheld.contains(id) || state.penalty > 0 || state.reported.entry.state != ServerState::Removed
        });
        settled
    }

    /// When to check for settled boxes; `None` if no line is withheld.
    pub fn next_check(&self, now: Micros) -> Option<Micros> {
        (!self.withheld.is_empty()).then(|| now.saturating_add(CHECK_INTERVAL_US))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use salttally::interface::ServerEntry;
    use std::net::SocketAddr;

    const SECOND: Micros = 1_000_000;
    const READY: ServerState = ServerState::Ready;
    const GONE: ServerState = ServerState::Removed;

    fn line(id: u32, state: ServerState, started: Option<Micros>) -> ListEntry {
        let entry =
            ServerEntry { server: ServerId(id), state, units: 1.0, started, ..ServerEntry::default() };
        ListEntry { entry, address: SocketAddr::from(([127, 0, 0, 1], id as u16 + 1)) }
    }

    fn states(lines: &[ListEntry]) -> Vec<ServerState> {
        lines.iter().map(|line| line.entry.state).collect()
    }

    #[test]
    fn a_box_that_flips_a_thousand_times_a_second_is_reported_only_a_few_times() {
        let mut damping = FlapDamping::new();
        let mut reported = 0;
        for flip in 0..20_000u64 {
            let state = if flip % 2 == 0 { READY } else { GONE };
            reported += damping.filter(flip * 1_000, ListKind::Changes, vec![line(1, state, None)]).len();
        }
        assert!(reported <= 8, "{reported} lines");
        let (now, last) = (20 * SECOND, line(1, READY, Some(9)));
        assert!(damping.filter(now, ListKind::Changes, vec![last.clone()]).is_empty());
        assert!(damping.release_settled(now + SECOND).is_empty());
        let after = (1..120).find(|s| !damping.release_settled(now + s * SECOND).is_empty());
        assert!(after.is_some_and(|s| (10..45).contains(&s)), "reported again after {after:?} s");
        assert_eq!(damping.next_check(now), None);
    }

    #[test]
    fn a_rolling_deploy_and_a_few_crashes_are_reported_at_once() {
        let mut damping = FlapDamping::new();
        for round in 0..3 {
            for (at, state) in [READY, ServerState::Draining, GONE].into_iter().enumerate() {
                let now = round * 5 * SECOND + at as u64 * SECOND;
                assert_eq!(damping.filter(now, ListKind::Changes, vec![line(1, state, None)]).len(), 1);
            }
        }
    }

    #[test]
    fn a_suppressed_box_that_restarts_in_place_must_not_count_as_warm() {
        let mut damping = FlapDamping::new();
        let reported: Vec<_> = (0..8)
            .flat_map(|start| damping.filter(start, ListKind::Changes, vec![line(1, READY, Some(start))]))
            .collect();
        let last = reported.last().expect("a line");
        assert_eq!(last.entry.state, ServerState::Draining, "no new sessions there until it has settled");
        assert!(reported.len() < 8);
    }

    #[test]
    fn a_whole_list_does_not_report_a_suppressed_box() {
        let mut damping = FlapDamping::new();
        for flip in 0..10 {
            let state = if flip % 2 == 0 { READY } else { GONE };
            damping.filter(flip, ListKind::Changes, vec![line(1, state, None)]);
        }
        let whole = vec![line(1, READY, None), line(2, READY, None)];
        let reported = damping.filter(11, ListKind::Complete, whole);
        assert_eq!(reported.iter().map(|l| l.entry.server.0).collect::<Vec<_>>(), [2]);
        damping.filter(12, ListKind::Complete, vec![line(1, READY, None)]);
        let reported = damping.filter(13, ListKind::Changes, vec![line(2, READY, None)]);
        assert_eq!(states(&reported), [READY], "one whole list without the box counts as one change");
    }

    proptest! {
        #[test]
        fn drains_are_reported_at_once_and_all_changes_eventually(
            steps in prop::collection::vec((0u32..3, 0u8..3, 0u64..3, 0u64..4_000_000), 1..200),
        ) {
            let mut damping = FlapDamping::new();
            let mut now = 0;
            let mut listed: BTreeMap<u32, ListEntry> = BTreeMap::new();
            let mut reported: BTreeMap<u32, ListEntry> = BTreeMap::new();
            let apply = |reported: &mut BTreeMap<u32, ListEntry>, lines: Vec<ListEntry>| {
                lines.into_iter().for_each(|line| { reported.insert(line.entry.server.0, line); });
            };
            for (id, state, started, pause) in steps {
                now += pause;
                let line = line(id, [READY, ServerState::Draining, GONE][state as usize], Some(started));
                listed.insert(id, line.clone());
                apply(&mut reported, damping.filter(now, ListKind::Changes, vec![line]));
                apply(&mut reported, damping.release_settled(now));
                for (id, line) in &listed {
                    let reported = &reported[id];
                    prop_assert!(
                        severity(reported.entry.state) >= severity(line.entry.state),
                        "{reported:?} for {line:?}"
                    );
                    // A box that new sessions may be sent to is reported as listed, including its start.
                    prop_assert!(reported.entry.state != READY || reported == line);
                }
            }
            apply(&mut reported, damping.release_settled(now + 60 * SECOND));
            prop_assert_eq!(reported, listed);
        }
    }
}
