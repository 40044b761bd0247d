//! Boxes that come and go too often are held for gone until they have settled, as routes are that flap (RFC 2439).
//!
//! Danger: a list that flips a box between ready and gone has the front open its stream, forget its connections and
//! tell the module each time, at the price of everybody's answers. So each time that a box leaves its place it is
//! charged; what it is charged halves with time; and over a threshold only bad news of it pass on, until it is under
//! another again.
//!
//! Danger: a drain that is put off (rule 3). So whatever makes a box less fit passes at once, always: what is told of
//! a box is never better than what the list says of it. Danger: a box whose start is put off counts as warm (rule 4).
//! So a box that changes in place while it is held back is told as draining: nothing new is sent there.

use std::collections::{BTreeMap, BTreeSet};

use salttally::interface::{ListKind, Micros, ServerId, ServerState};

use crate::core::Listed;

/// What a box is charged each time that it leaves its place (RFC 2439 section 4.2, in thousandths).
const CHARGE: u64 = 1_000;
/// Over this only bad news pass: more than three times in a row.
const HELD_FROM: u64 = 3_000;
/// Under this all news pass again.
const FREE_UNDER: u64 = 1_500;
/// No box is charged more, so that none is held back for longer than two half-lives and a half.
const MOST: u64 = 8_000;
/// The charge halves in this time.
const HALF_LIFE: Micros = 15_000_000;
/// Boxes that are held back are looked at this often.
const LOOK_EVERY: Micros = 1_000_000;

#[derive(Clone, Debug)]
struct Account {
    charge: u64,
    at: Micros,
    /// What the front was told last.
    told: Listed,
    /// What the list says, where that was not told.
    kept: Option<Listed>,
    /// Only bad news pass.
    held: bool,
}

impl Account {
    fn decay(&mut self, now: Micros) {
        let mut since = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        while since >= HALF_LIFE && self.charge > 0 {
            self.charge /= 2;
            since -= HALF_LIFE;
        }
        // Within one half-life as a straight line, whose ends are those of the curve. The rest of the time is given
        // back, so that looking often makes nothing decay faster or slower.
        let lost = self.charge * since / (2 * HALF_LIFE);
        if lost == 0 {
            self.at -= since;
        }
        self.charge -= lost;
        self.held &= self.charge >= FREE_UNDER;
    }
}

/// The boxes' accounts.
#[derive(Clone, Debug, Default)]
pub struct Damping {
    boxes: BTreeMap<ServerId, Account>,
    /// Those of whom something is kept back.
    keeping: BTreeSet<ServerId>,
}

fn rank(state: ServerState) -> u8 {
    match state {
        ServerState::Ready => 0,
        ServerState::Draining => 1,
        ServerState::Removed => 2,
    }
}

fn told_as(line: &Listed, state: ServerState) -> Listed {
    let mut line = line.clone();
    line.entry.state = state;
    line
}

impl Damping {
    /// Nothing is known of any box.
    pub fn new() -> Damping {
        Damping::default()
    }

    /// Lines of the list have come: what is told of them now.
    pub fn pass(&mut self, now: Micros, kind: ListKind, lines: Vec<Listed>) -> Vec<Listed> {
        let named: BTreeSet<ServerId> = lines.iter().map(|line| line.entry.server).collect();
        if kind != ListKind::Changes {
            // A whole list: what it does not name is gone.
            let missing: Vec<ServerId> =
                self.boxes.keys().filter(|id| !named.contains(id)).copied().collect();
            for id in missing {
                let gone = self.boxes.get(&id).map(|account| told_as(&account.told, ServerState::Removed));
                gone.and_then(|line| self.line(now, line, true));
            }
        }
        let whole = kind != ListKind::Changes;
        let told = |line: Listed| {
            let id = line.entry.server;
            // In a whole list what is not named is gone: a box that only drains for the front is named as that.
            let drains = |boxes: &BTreeMap<ServerId, Account>| {
                let told = boxes.get(&id).map(|account| &account.told);
                told.filter(|told| whole && told.entry.state != ServerState::Removed).cloned()
            };
            self.line(now, line, whole).or_else(|| drains(&self.boxes))
        };
        lines.into_iter().filter_map(told).collect()
    }

    /// One line: what is told of it, if anything; in a whole list also what is known.
    fn line(&mut self, now: Micros, line: Listed, whole: bool) -> Option<Listed> {
        let id = line.entry.server;
        let Some(account) = self.boxes.get_mut(&id) else {
            let account = Account { charge: 0, at: now, told: line.clone(), kept: None, held: false };
            self.boxes.insert(id, account);
            return Some(line);
        };
        account.decay(now);
        let (was, is) = (rank(account.told.entry.state), rank(line.entry.state));
        let same_place = told_as(&account.told, line.entry.state) == line;
        // It leaves its place, or another stands in it.
        let leaves = was == 0 && (is > 0 || !same_place);
        if leaves {
            account.charge = (account.charge + CHARGE).min(MOST);
            account.held |= account.charge > HELD_FROM;
        }
        if account.told == line && !whole {
            account.kept = None;
            self.keeping.remove(&id);
            return None;
        }
        let passes = !account.held || is > was || is == was && same_place;
        if passes {
            (account.told, account.kept) = (line.clone(), None);
            self.keeping.remove(&id);
            return Some(line);
        }
        self.keeping.insert(id);
        account.kept = Some(line);
        if was > 0 {
            return None;
        }
        account.told = told_as(&account.told, ServerState::Draining);
        Some(account.told.clone())
    }

    /// Boxes that have settled: what the list says of them is told now.
    pub fn settled(&mut self, now: Micros) -> Vec<Listed> {
        let mut told = Vec::new();
        for id in self.keeping.clone() {
            let Some(account) = self.boxes.get_mut(&id) else { continue };
            account.decay(now);
            if account.held {
                continue;
            }
            self.keeping.remove(&id);
            if let Some(line) = account.kept.take() {
                account.told = line.clone();
                told.push(line);
            }
        }
        // Those that are gone and owe nothing are forgotten, or a fleet's whole history would be kept.
        let keeping = &self.keeping;
        self.boxes.retain(|id, account| {
            account.decay(now);
            keeping.contains(id) || account.charge > 0 || account.told.entry.state != ServerState::Removed
        });
        told
    }

    /// When to look for settled boxes; never while nothing is kept back.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        (!self.keeping.is_empty()).then(|| now.saturating_add(LOOK_EVERY))
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

    fn line(id: u32, state: ServerState, started: Option<Micros>) -> Listed {
        let entry =
            ServerEntry { server: ServerId(id), state, units: 1.0, started, ..ServerEntry::default() };
        Listed { entry, address: SocketAddr::from(([127, 0, 0, 1], id as u16 + 1)) }
    }

    fn states(lines: &[Listed]) -> Vec<ServerState> {
        lines.iter().map(|line| line.entry.state).collect()
    }

    #[test]
    fn a_box_that_flips_a_thousand_times_a_second_costs_the_front_no_more_than_a_few_lines() {
        let mut damping = Damping::new();
        let mut told = 0;
        for flip in 0..20_000u64 {
            let state = if flip % 2 == 0 { READY } else { GONE };
            told += damping.pass(flip * 1_000, ListKind::Changes, vec![line(1, state, None)]).len();
        }
        assert!(told <= 8, "{told} lines");
        let (now, last) = (20 * SECOND, line(1, READY, Some(9)));
        assert!(damping.pass(now, ListKind::Changes, vec![last.clone()]).is_empty());
        assert!(damping.settled(now + SECOND).is_empty());
        let after = (1..120).find(|s| !damping.settled(now + s * SECOND).is_empty());
        assert!(after.is_some_and(|s| (10..45).contains(&s)), "{after:?} s until it is believed again");
        assert_eq!(damping.due(now), None);
    }

    #[test]
    fn a_rolling_deploy_and_a_crash_or_two_are_told_as_they_come() {
        let mut damping = Damping::new();
        for round in 0..3 {
            for (at, state) in [READY, ServerState::Draining, GONE].into_iter().enumerate() {
                let now = round * 5 * SECOND + at as u64 * SECOND;
                assert_eq!(damping.pass(now, ListKind::Changes, vec![line(1, state, None)]).len(), 1);
            }
        }
    }

    #[test]
    fn a_box_held_back_that_restarts_in_place_must_not_count_as_warm() {
        let mut damping = Damping::new();
        let told: Vec<_> = (0..8)
            .flat_map(|start| damping.pass(start, ListKind::Changes, vec![line(1, READY, Some(start))]))
            .collect();
        let last = told.last().expect("told");
        assert_eq!(last.entry.state, ServerState::Draining, "nothing new there until it has settled");
        assert!(told.len() < 8);
    }

    #[test]
    fn a_whole_list_does_not_bring_a_held_back_box_in_by_the_side_door() {
        let mut damping = Damping::new();
        for flip in 0..10 {
            let state = if flip % 2 == 0 { READY } else { GONE };
            damping.pass(flip, ListKind::Changes, vec![line(1, state, None)]);
        }
        let whole = vec![line(1, READY, None), line(2, READY, None)];
        let told = damping.pass(11, ListKind::Complete, whole);
        assert_eq!(told.iter().map(|l| l.entry.server.0).collect::<Vec<_>>(), [2]);
        damping.pass(12, ListKind::Complete, vec![line(1, READY, None)]);
        let told = damping.pass(13, ListKind::Changes, vec![line(2, READY, None)]);
        assert_eq!(states(&told), [READY], "one whole list without it is one time that it left");
    }

    proptest! {
        #[test]
        fn no_drain_is_put_off_and_all_is_told_in_the_end(
            steps in prop::collection::vec((0u32..3, 0u8..3, 0u64..3, 0u64..4_000_000), 1..200),
        ) {
            let mut damping = Damping::new();
            let mut now = 0;
            let mut is: BTreeMap<u32, Listed> = BTreeMap::new();
            let mut told: BTreeMap<u32, Listed> = BTreeMap::new();
            let take = |told: &mut BTreeMap<u32, Listed>, lines: Vec<Listed>| {
                lines.into_iter().for_each(|line| { told.insert(line.entry.server.0, line); });
            };
            for (id, state, started, pause) in steps {
                now += pause;
                let line = line(id, [READY, ServerState::Draining, GONE][state as usize], Some(started));
                is.insert(id, line.clone());
                take(&mut told, damping.pass(now, ListKind::Changes, vec![line]));
                take(&mut told, damping.settled(now));
                for (id, line) in &is {
                    let told = &told[id];
                    prop_assert!(rank(told.entry.state) >= rank(line.entry.state), "{told:?} for {line:?}");
                    // A box that may be sent something is told as it is, its start included.
                    prop_assert!(told.entry.state != READY || told == line);
                }
            }
            take(&mut told, damping.settled(now + 60 * SECOND));
            prop_assert_eq!(told, is);
        }
    }
}
