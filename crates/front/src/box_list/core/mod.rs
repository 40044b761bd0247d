//! The box list as it is held: changes are applied in the order of their revisions, and whatever cannot be applied
//! whole is not applied in part.
//!
//! Danger: a change that was missed leaves a drained box for ready, and rule 3 speaks of what this front was told.
//! So each message carries a revision, a gap is a loss of the list, and the module asks for the whole one again.
//!
//! Danger: a list lags, also one that is given whole. A front that starts together with boxes, after a building was
//! lost say, is told of these boxes as they were before: running for long, and warm. So each message says as of when
//! it speaks, and until that is after the front's own start the module is told that its list may be old, and of no
//! box since when it runs: it may have started anew. The module takes every box of unknown age for a cold one.

pub mod damping;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use salttally::interface::{ListKind, Micros, ServerId, ServerState};
use thiserror::Error;

use crate::core::Listed;

/// Why a message of the list is not applied.
#[derive(Debug, Error, PartialEq)]
pub enum BadList {
    /// A box stands twice: which line holds cannot be told.
    #[error("box {0} stands in lines {1} and {2}")]
    Twice(u32, usize, usize),
    /// Two boxes that run at one address.
    #[error("boxes {0} and {1} have one address, {2}")]
    OneAddress(u32, u32, SocketAddr),
    /// A size that is none.
    #[error("box {0}: `units` is {1}, and must be over 0")]
    Units(u32, f64),
    /// Changes before any whole list.
    #[error("changes of a list that was never given")]
    NoList,
    /// A message is missing in between.
    #[error("revision {0} after {1}: something was missed")]
    Gap(u64, u64),
    /// More boxes than any fleet has.
    #[error("{0} boxes, {BOXES_MOST} at most")]
    TooMany(usize),
}

/// Boxes that a list may name: a list that names ever more of them must not fill the front's memory.
pub const BOXES_MOST: usize = 20_000;

/// The list as it is held.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    boxes: BTreeMap<ServerId, Listed>,
    /// The boxes by their addresses.
    addresses: BTreeMap<SocketAddr, ServerId>,
    /// Revision of the last message, once a whole list has come on this connection.
    revision: Option<u64>,
    /// As of this time a list is no older than the front.
    born: Micros,
    /// The module has been told a list that is no older than the front.
    fresh: bool,
}

/// What the module is told.
pub type Told = (ListKind, Vec<Listed>);

impl Listing {
    /// The list of a front that started at this time, on clocks that differ by no more than `skew`.
    pub fn new(started: Micros, skew: Micros) -> Listing {
        Listing { born: started + skew, ..Listing::default() }
    }

    /// A list that is remembered from before a restart: boxes, but no place in the row of messages. Returns what
    /// the module is told.
    pub fn remember(&mut self, lines: Vec<Listed>) -> Vec<Listed> {
        self.boxes = lines.into_iter().map(|line| (line.entry.server, line)).collect();
        self.addresses = self.boxes.iter().map(|(id, line)| (line.address, *id)).collect();
        self.revision = None;
        self.old()
    }

    /// The boxes without what an old list cannot tell of them: since when they run.
    fn old(&self) -> Vec<Listed> {
        let old = |line: &Listed| {
            let mut line = line.clone();
            line.entry.started = None;
            line
        };
        self.boxes.values().map(old).collect()
    }

    /// The connection is gone: the boxes stay as they are known, the next message must be a whole list.
    pub fn lost(&mut self) {
        self.revision = None;
    }

    /// Applies a message that speaks of this time. Returns what the module is told: a whole list as it stands, of
    /// changes only those lines that change something, and the whole list again when it is first known to be no
    /// older than the front.
    ///
    /// # Errors
    /// The message makes no sense or one is missing; then nothing has been applied.
    pub fn apply(
        &mut self,
        kind: ListKind,
        revision: u64,
        as_of: Micros,
        lines: Vec<Listed>,
    ) -> Result<Option<Told>, BadList> {
        let mut places = BTreeMap::new();
        for (at, line) in lines.iter().enumerate() {
            let id = line.entry.server;
            if let Some(first) = places.insert(id, at) {
                return Err(BadList::Twice(id.0, first + 1, at + 1));
            }
            if !(line.entry.units > 0.0 && line.entry.units.is_finite()) {
                return Err(BadList::Units(id.0, line.entry.units));
            }
        }
        match (kind, self.revision) {
            (ListKind::Complete, _) => {}
            (_, None) => return Err(BadList::NoList),
            (_, Some(last)) if revision != last + 1 => return Err(BadList::Gap(revision, last)),
            _ => {}
        }
        let whole = kind == ListKind::Complete;
        self.one_address_each(whole, &lines)?;
        if whole {
            self.boxes.clear();
            self.addresses.clear();
        }
        // First those that go, so that a successor in the same message may have the address of one of them.
        let known: Vec<Option<Listed>> = lines.iter().map(|line| self.take(line.entry.server)).collect();
        let mut told = Vec::new();
        for (line, known) in lines.into_iter().zip(known) {
            // A box that nobody knew of is gone already: there is nothing to tell.
            let gone = line.entry.state == ServerState::Removed;
            let new = known.as_ref() != Some(&line);
            if !gone {
                self.addresses.insert(line.address, line.entry.server);
                self.boxes.insert(line.entry.server, line.clone());
            }
            if whole || new && (known.is_some() || !gone) {
                told.push(line);
            }
        }
        if self.boxes.len() > BOXES_MOST {
            // What is held is not the list any more: the next message must be a whole one.
            self.revision = None;
            return Err(BadList::TooMany(self.boxes.len()));
        }
        self.revision = Some(revision);
        if !self.fresh {
            return Ok(self.beat(as_of).or_else(|| Some((ListKind::Cached, self.old()))));
        }
        Ok((whole || !told.is_empty()).then_some((kind, told)))
    }

    fn take(&mut self, id: ServerId) -> Option<Listed> {
        let known = self.boxes.remove(&id)?;
        self.addresses.remove(&known.address);
        Some(known)
    }

    /// A successor may have the address of a box that goes, but not of one that runs. Only what the message touches
    /// is looked at: a list that changes without end must not cost its length each time.
    fn one_address_each(&self, whole: bool, lines: &[Listed]) -> Result<(), BadList> {
        let touched: BTreeSet<ServerId> = lines.iter().map(|line| line.entry.server).collect();
        let mut addresses: BTreeMap<SocketAddr, ServerId> = BTreeMap::new();
        for line in lines.iter().filter(|line| line.entry.state != ServerState::Removed) {
            let id = line.entry.server;
            let others = self.addresses.get(&line.address).copied();
            let runs = others.filter(|other| !whole && !touched.contains(other));
            if let Some(other) = runs.or_else(|| addresses.insert(line.address, id)) {
                return Err(BadList::OneAddress(other.0.min(id.0), other.0.max(id.0), line.address));
            }
        }
        Ok(())
    }

    /// A sign of life that speaks of this time: nothing has changed until then. Returns what the module is told.
    pub fn beat(&mut self, as_of: Micros) -> Option<Told> {
        if self.fresh || self.revision.is_none() || as_of < self.born {
            return None;
        }
        self.fresh = true;
        Some((ListKind::Complete, self.boxes.values().cloned().collect()))
    }

    /// Boxes that are not gone, in the order of their numbers.
    pub fn boxes(&self) -> impl Iterator<Item = &Listed> {
        self.boxes.values()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use salttally::interface::ServerEntry;

    fn line(id: u32, port: u16, state: ServerState) -> Listed {
        let entry = ServerEntry { server: ServerId(id), state, units: 1.0, ..ServerEntry::default() };
        Listed { entry, address: SocketAddr::from(([127, 0, 0, 1], port)) }
    }

    const READY: ServerState = ServerState::Ready;
    const START: Micros = 1_000;

    fn two() -> Listing {
        let mut list = Listing::new(START, 0);
        let lines = vec![line(1, 1, READY), line(2, 2, READY)];
        list.apply(ListKind::Complete, 7, START, lines).unwrap();
        list
    }

    fn change(list: &mut Listing, revision: u64, lines: Vec<Listed>) -> Result<Vec<Listed>, BadList> {
        list.apply(ListKind::Changes, revision, START, lines)
            .map(|told| told.map_or(vec![], |(_, lines)| lines))
    }

    #[test]
    fn a_list_older_than_the_front_is_not_taken_for_fresh_however_it_comes() {
        let mut list = Listing::new(START, 50);
        let kind = |told: Option<Told>| told.map(|(kind, lines)| (kind, lines.len()));
        let lines = vec![line(1, 1, READY), line(2, 2, READY)];
        assert_eq!(
            kind(list.apply(ListKind::Complete, 1, START, lines).unwrap()),
            Some((ListKind::Cached, 2))
        );
        let more = list.apply(ListKind::Changes, 2, START + 20, vec![line(3, 3, READY)]).unwrap();
        assert_eq!(kind(more), Some((ListKind::Cached, 3)), "whole, as a remembered list is");
        assert_eq!(list.beat(START + 49), None);
        assert_eq!(
            kind(list.beat(START + 50)),
            Some((ListKind::Complete, 3)),
            "now nothing older is missing"
        );
        assert_eq!(list.beat(START + 60), None, "said once");
        let more = list.apply(ListKind::Changes, 3, START + 70, vec![line(4, 4, READY)]).unwrap();
        assert_eq!(kind(more), Some((ListKind::Changes, 1)));
    }

    #[test]
    fn an_old_list_does_not_tell_since_when_a_box_runs() {
        let mut list = Listing::new(START, 0);
        let mut ran = line(1, 1, READY);
        ran.entry.started = Some(10);
        let (_, told) = list.apply(ListKind::Complete, 1, START - 1, vec![ran.clone()]).unwrap().unwrap();
        assert_eq!(told[0].entry.started, None, "it may have started anew with the front");
        assert_eq!(list.beat(START), Some((ListKind::Complete, vec![ran.clone()])));
        assert_eq!(list.remember(vec![ran])[0].entry.started, None);
    }

    #[test]
    fn a_missed_change_is_a_loss_and_not_passed_over() {
        let mut list = two();
        let drained = vec![line(1, 1, ServerState::Draining)];
        assert_eq!(change(&mut list, 9, drained.clone()), Err(BadList::Gap(9, 7)));
        assert_eq!(change(&mut list, 8, drained.clone()), Ok(drained.clone()));
        list.lost();
        assert_eq!(change(&mut list, 9, drained), Err(BadList::NoList));
        assert_eq!(list.boxes().count(), 2, "what is known stays known");
    }

    #[test]
    fn a_list_naming_a_box_twice_changes_nothing() {
        let mut list = two();
        let twice = vec![line(3, 3, READY), line(1, 4, READY), line(3, 5, READY)];
        let whole = list.apply(ListKind::Complete, 8, START, twice);
        assert_eq!(whole, Err(BadList::Twice(3, 1, 3)));
        assert!(matches!(change(&mut list, 8, vec![line(3, 2, READY)]), Err(BadList::OneAddress(2, 3, _))));
        assert_eq!(list.boxes().map(|b| b.address.port()).collect::<Vec<_>>(), [1, 2]);
    }

    #[test]
    fn a_successor_may_take_the_address_of_a_box_that_goes_with_the_same_message() {
        let mut list = two();
        let lines = vec![line(2, 2, ServerState::Removed), line(3, 2, READY)];
        assert_eq!(change(&mut list, 8, lines.clone()), Ok(lines));
    }

    #[test]
    fn two_boxes_may_change_addresses_with_each_other_and_one_may_not_take_anothers() {
        let mut list = two();
        let swapped = vec![line(1, 2, READY), line(2, 1, READY)];
        assert_eq!(change(&mut list, 8, swapped.clone()), Ok(swapped));
        assert!(matches!(change(&mut list, 9, vec![line(1, 1, READY)]), Err(BadList::OneAddress(1, 2, _))));
        assert_eq!(change(&mut list, 9, vec![line(1, 7, READY)]).map(|told| told.len()), Ok(1));
        assert_eq!(
            change(&mut list, 10, vec![line(3, 2, READY)]).map(|told| told.len()),
            Ok(1),
            "it is free"
        );
    }

    #[test]
    fn a_list_of_ever_more_boxes_must_not_fill_the_memory() {
        let mut list = two();
        let lines = (10..10 + BOXES_MOST as u32).map(|id| {
            let mut line = line(id, 1, READY);
            line.address = SocketAddr::from(([127, 9, (id >> 8) as u8, id as u8], (id >> 16) as u16 + 1));
            line
        });
        assert_eq!(change(&mut list, 8, lines.collect()), Err(BadList::TooMany(BOXES_MOST + 2)));
        assert_eq!(change(&mut list, 9, vec![]), Err(BadList::NoList), "a whole one is due");
    }

    #[test]
    fn what_is_known_already_is_not_told_again() {
        let mut list = two();
        assert_eq!(
            change(&mut list, 8, vec![line(1, 1, READY), line(9, 9, ServerState::Removed)]),
            Ok(vec![])
        );
    }
}
