//! The box list as received. Changes are applied in the order of their revisions, and a message that cannot
//! be applied as a whole is not applied at all.
//!
//! Danger: after a missed change, a drained box would count as ready, while rule 3 (no new session at a box
//! that drains) applies to what this front was told. So each message carries a revision, a gap counts as a
//! loss of the list, and the decision module requests the whole list again.
//!
//! Danger: a list lags, even a whole one. A front that starts together with boxes, for instance after the
//! loss of a building, receives the state of these boxes before the loss: long running, and warm. So each
//! message says as of when it is valid. Until that time is after the front's own start, the decision module
//! is told that the list may be old, and gets no start times, since the boxes may have restarted. The module
//! treats every box of unknown age as cold.

pub mod damping;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use salttally::interface::{ListKind, Micros, ServerId, ServerState};
use thiserror::Error;

use crate::core::ListEntry;

/// Why a message of the list was not applied.
#[derive(Debug, Error, PartialEq)]
pub enum ListError {
    /// A box is listed twice, and it is unknown which line is valid.
    #[error("box {0} is listed twice, in lines {1} and {2}")]
    DuplicateBox(u32, usize, usize),
    /// Two running boxes with the same address.
    #[error("boxes {0} and {1} have the same address, {2}")]
    SharedAddress(u32, u32, SocketAddr),
    /// An invalid size.
    #[error("box {0}: `units` is {1}, and must be over 0")]
    InvalidUnits(u32, f64),
    /// Changes before a whole list.
    #[error("changes before a whole list")]
    NoWholeList,
    /// A message is missing in between.
    #[error("revision {0} after {1}: a message is missing")]
    MissedRevision(u64, u64),
    /// Too many boxes.
    #[error("{0} boxes, {MAX_BOXES} at most")]
    TooManyBoxes(usize),
}

/// Maximum number of boxes in the list, so that a list that grows without end does not fill the front's
/// memory.
pub const MAX_BOXES: usize = 20_000;

/// The box list as received.
#[derive(Clone, Debug, Default)]
pub struct BoxList {
    boxes: BTreeMap<ServerId, ListEntry>,
    /// The boxes by address.
    addresses: BTreeMap<SocketAddr, ServerId>,
    /// Revision of the last message, once a whole list has been received on this connection.
    revision: Option<u64>,
    /// From this time on a list is newer than the front's start.
    fresh_from: Micros,
    /// The decision module has received a list that is newer than the front's start.
    fresh_reported: bool,
}

/// An update for the decision module.
pub type ListUpdate = (ListKind, Vec<ListEntry>);

impl BoxList {
    /// The list of a front that started at this time, with clocks that differ by at most `skew`.
    pub fn new(started: Micros, skew: Micros) -> BoxList {
        BoxList { fresh_from: started + skew, ..BoxList::default() }
    }

    /// Restores the list that was saved before a restart; the next message must be a whole list. Returns the
    /// lines for the decision module.
    pub fn restore(&mut self, lines: Vec<ListEntry>) -> Vec<ListEntry> {
        self.boxes = lines.into_iter().map(|line| (line.entry.server, line)).collect();
        self.addresses = self.boxes.iter().map(|(id, line)| (line.address, *id)).collect();
        self.revision = None;
        self.without_start_times()
    }

    /// The boxes without their start times, which an old list cannot tell.
    fn without_start_times(&self) -> Vec<ListEntry> {
        let without_start = |line: &ListEntry| {
            let mut line = line.clone();
            line.entry.started = None;
            line
        };
        self.boxes.values().map(without_start).collect()
    }

    /// The connection was lost: the boxes stay, and the next message must be a whole list.
    pub fn on_disconnect(&mut self) {
        self.revision = None;
    }

    /// Applies a message that is valid as of `as_of`. Returns the update for the decision module: of a whole
    /// list all lines, of changes only the lines that differ, and all lines again once the list is first
    /// known to be newer than the front's start.
    ///
    /// # Errors
    /// The message is invalid, or one before it is missing; then nothing has been applied.
    pub fn apply(
        &mut self,
        kind: ListKind,
        revision: u64,
        as_of: Micros,
        lines: Vec<ListEntry>,
    ) -> Result<Option<ListUpdate>, ListError> {
        let mut positions = BTreeMap::new();
        for (index, line) in lines.iter().enumerate() {
            let id = line.entry.server;
            if let Some(first) = positions.insert(id, index) {
                return Err(ListError::DuplicateBox(id.0, first + 1, index + 1));
            }
            if !(line.entry.units > 0.0 && line.entry.units.is_finite()) {
                return Err(ListError::InvalidUnits(id.0, line.entry.units));
            }
        }
        match (kind, self.revision) {
            (ListKind::Complete, _) => {}
            (_, None) => return Err(ListError::NoWholeList),
            (_, Some(last)) if revision != last + 1 => return Err(ListError::MissedRevision(revision, last)),
            _ => {}
        }
        let whole = kind == ListKind::Complete;
        self.check_addresses(whole, &lines)?;
        if whole {
            self.boxes.clear();
            self.addresses.clear();
        }
        // Boxes that are gone are removed first, so that a successor in the same message may have the address
        // of one.
        let known: Vec<Option<ListEntry>> = lines.iter().map(|line| self.remove(line.entry.server)).collect();
        let mut changed = Vec::new();
        for (line, known) in lines.into_iter().zip(known) {
            // A box that is unknown and gone need not be reported.
            let gone = line.entry.state == ServerState::Removed;
            let differs = known.as_ref() != Some(&line);
            if !gone {
                self.addresses.insert(line.address, line.entry.server);
                self.boxes.insert(line.entry.server, line.clone());
            }
            if whole || differs && (known.is_some() || !gone) {
                changed.push(line);
            }
        }
        if self.boxes.len() > MAX_BOXES {
            // The list is no longer complete, so the next message must be a whole list.
            self.revision = None;
            return Err(ListError::TooManyBoxes(self.boxes.len()));
        }
        self.revision = Some(revision);
        if !self.fresh_reported {
            return Ok(self
                .on_heartbeat(as_of)
                .or_else(|| Some((ListKind::Cached, self.without_start_times()))));
        }
        Ok((whole || !changed.is_empty()).then_some((kind, changed)))
    }

    fn remove(&mut self, id: ServerId) -> Option<ListEntry> {
        let known = self.boxes.remove(&id)?;
        self.addresses.remove(&known.address);
        Some(known)
    }

    /// Checks that no two running boxes share an address; a successor may have the address of a box that is
    /// gone. Only the boxes in the message are checked, so that frequent changes do not cost the length of
    /// the list each time.
    fn check_addresses(&self, whole: bool, lines: &[ListEntry]) -> Result<(), ListError> {
        let touched: BTreeSet<ServerId> = lines.iter().map(|line| line.entry.server).collect();
        let mut addresses: BTreeMap<SocketAddr, ServerId> = BTreeMap::new();
        for line in lines.iter().filter(|line| line.entry.state != ServerState::Removed) {
            let id = line.entry.server;
            let other = self.addresses.get(&line.address).copied();
            let running = other.filter(|other| !whole && !touched.contains(other));
            if let Some(other) = running.or_else(|| addresses.insert(line.address, id)) {
                return Err(ListError::SharedAddress(other.0.min(id.0), other.0.max(id.0), line.address));
            }
        }
        Ok(())
    }

    /// A heartbeat: nothing has changed up to `as_of`. Returns the update for the decision module.
    pub fn on_heartbeat(&mut self, as_of: Micros) -> Option<ListUpdate> {
        if self.fresh_reported || self.revision.is_none() || as_of < self.fresh_from {
            return None;
        }
        self.fresh_reported = true;
        Some((ListKind::Complete, self.boxes.values().cloned().collect()))
    }

    /// The boxes that are not gone, ordered by id.
    pub fn boxes(&self) -> impl Iterator<Item = &ListEntry> {
        self.boxes.values()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use salttally::interface::ServerEntry;

    fn line(id: u32, port: u16, state: ServerState) -> ListEntry {
        let entry = ServerEntry { server: ServerId(id), state, units: 1.0, ..ServerEntry::default() };
        ListEntry { entry, address: SocketAddr::from(([127, 0, 0, 1], port)) }
    }

    const READY: ServerState = ServerState::Ready;
    const START: Micros = 1_000;

    fn two() -> BoxList {
        let mut list = BoxList::new(START, 0);
        let lines = vec![line(1, 1, READY), line(2, 2, READY)];
        list.apply(ListKind::Complete, 7, START, lines).unwrap();
        list
    }

    fn change(list: &mut BoxList, revision: u64, lines: Vec<ListEntry>) -> Result<Vec<ListEntry>, ListError> {
        list.apply(ListKind::Changes, revision, START, lines)
            .map(|update| update.map_or(vec![], |(_, lines)| lines))
    }

    #[test]
    fn a_list_older_than_the_fronts_start_is_not_reported_as_fresh() {
        let mut list = BoxList::new(START, 50);
        let kind = |update: Option<ListUpdate>| update.map(|(kind, lines)| (kind, lines.len()));
        let lines = vec![line(1, 1, READY), line(2, 2, READY)];
        assert_eq!(
            kind(list.apply(ListKind::Complete, 1, START, lines).unwrap()),
            Some((ListKind::Cached, 2))
        );
        let more = list.apply(ListKind::Changes, 2, START + 20, vec![line(3, 3, READY)]).unwrap();
        assert_eq!(kind(more), Some((ListKind::Cached, 3)), "all lines, as for a saved list");
        assert_eq!(list.on_heartbeat(START + 49), None);
        assert_eq!(
            kind(list.on_heartbeat(START + 50)),
            Some((ListKind::Complete, 3)),
            "the list is newer than the start"
        );
        assert_eq!(list.on_heartbeat(START + 60), None, "reported once");
        let more = list.apply(ListKind::Changes, 3, START + 70, vec![line(4, 4, READY)]).unwrap();
        assert_eq!(kind(more), Some((ListKind::Changes, 1)));
    }

    #[test]
    fn an_old_list_reports_no_start_times() {
        let mut list = BoxList::new(START, 0);
        let mut ran = line(1, 1, READY);
        ran.entry.started = Some(10);
        let (_, lines) = list.apply(ListKind::Complete, 1, START - 1, vec![ran.clone()]).unwrap().unwrap();
        assert_eq!(lines[0].entry.started, None, "the box may have restarted with the front");
        assert_eq!(list.on_heartbeat(START), Some((ListKind::Complete, vec![ran.clone()])));
        assert_eq!(list.restore(vec![ran])[0].entry.started, None);
    }

    #[test]
    fn a_missed_change_counts_as_a_loss_of_the_list() {
        let mut list = two();
        let drained = vec![line(1, 1, ServerState::Draining)];
        assert_eq!(change(&mut list, 9, drained.clone()), Err(ListError::MissedRevision(9, 7)));
        assert_eq!(change(&mut list, 8, drained.clone()), Ok(drained.clone()));
        list.on_disconnect();
        assert_eq!(change(&mut list, 9, drained), Err(ListError::NoWholeList));
        assert_eq!(list.boxes().count(), 2, "the known boxes stay");
    }

    #[test]
    fn a_list_with_a_duplicate_box_changes_nothing() {
        let mut list = two();
        let twice = vec![line(3, 3, READY), line(1, 4, READY), line(3, 5, READY)];
        let whole = list.apply(ListKind::Complete, 8, START, twice);
        assert_eq!(whole, Err(ListError::DuplicateBox(3, 1, 3)));
        assert!(matches!(
            change(&mut list, 8, vec![line(3, 2, READY)]),
            Err(ListError::SharedAddress(2, 3, _))
        ));
        assert_eq!(list.boxes().map(|b| b.address.port()).collect::<Vec<_>>(), [1, 2]);
    }

    #[test]
    fn a_successor_may_have_the_address_of_a_box_removed_in_the_same_message() {
        let mut list = two();
        let lines = vec![line(2, 2, ServerState::Removed), line(3, 2, READY)];
        assert_eq!(change(&mut list, 8, lines.clone()), Ok(lines));
    }

    #[test]
    fn two_boxes_may_swap_addresses_but_not_share_one() {
        let mut list = two();
        let swapped = vec![line(1, 2, READY), line(2, 1, READY)];
        assert_eq!(change(&mut list, 8, swapped.clone()), Ok(swapped));
        assert!(matches!(
            change(&mut list, 9, vec![line(1, 1, READY)]),
            Err(ListError::SharedAddress(1, 2, _))
        ));
        assert_eq!(change(&mut list, 9, vec![line(1, 7, READY)]).map(|lines| lines.len()), Ok(1));
        assert_eq!(
            change(&mut list, 10, vec![line(3, 2, READY)]).map(|lines| lines.len()),
            Ok(1),
            "the address is free"
        );
    }

    #[test]
    fn a_growing_list_of_boxes_is_bounded() {
        let mut list = two();
        let lines = (10..10 + MAX_BOXES as u32).map(|id| {
            let mut line = line(id, 1, READY);
            line.address = SocketAddr::from(([127, 9, (id >> 8) as u8, id as u8], (id >> 16) as u16 + 1));
            line
        });
        assert_eq!(change(&mut list, 8, lines.collect()), Err(ListError::TooManyBoxes(MAX_BOXES + 2)));
        assert_eq!(
            change(&mut list, 9, vec![]),
            Err(ListError::NoWholeList),
            "the next must be a whole list"
        );
    }

    #[test]
    fn unchanged_lines_are_not_reported_again() {
        let mut list = two();
        assert_eq!(
            change(&mut list, 8, vec![line(1, 1, READY), line(9, 9, ServerState::Removed)]),
            Ok(vec![])
        );
    }
}
