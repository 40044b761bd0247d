//! The box list as it is held: changes are applied in the order of their revisions, and whatever cannot be applied
//! whole is not applied in part.
//!
//! Danger: a change that was missed leaves a drained box for ready, and rule 3 speaks of what this front was told.
//! So each message carries a revision, a gap is a loss of the list, and the module asks for the whole one again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use salttally::interface::{ListKind, ServerId, ServerState};
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
}

/// The list as it is held.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    boxes: BTreeMap<ServerId, Listed>,
    /// Revision of the last message, once a whole list has come on this connection.
    revision: Option<u64>,
}

impl Listing {
    /// A list that is remembered from before a restart: boxes, but no place in the row of messages.
    pub fn remember(&mut self, lines: &[Listed]) {
        self.boxes = lines.iter().map(|line| (line.entry.server, line.clone())).collect();
        self.revision = None;
    }

    /// The connection is gone: the boxes stay as they are known, the next message must be a whole list.
    pub fn lost(&mut self) {
        self.revision = None;
    }

    /// Applies a message. Returns what the module is told: a whole list as it stands, of changes only those lines
    /// that change something.
    ///
    /// # Errors
    /// The message makes no sense or one is missing; then nothing has been applied.
    pub fn apply(
        &mut self,
        kind: ListKind,
        revision: u64,
        lines: Vec<Listed>,
    ) -> Result<Vec<Listed>, BadList> {
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
        let mut boxes = match (kind, self.revision) {
            (ListKind::Whole, _) => BTreeMap::new(),
            (_, None) => return Err(BadList::NoList),
            (_, Some(last)) if revision != last + 1 => return Err(BadList::Gap(revision, last)),
            _ => self.boxes.clone(),
        };
        let mut told = Vec::new();
        for line in lines {
            let id = line.entry.server;
            let known = if line.entry.state == ServerState::Gone {
                boxes.remove(&id)
            } else {
                boxes.insert(id, line.clone())
            };
            // A box that nobody knew of is gone already: there is nothing to tell.
            let new = known.as_ref() != Some(&line);
            if kind == ListKind::Whole || new && (known.is_some() || line.entry.state != ServerState::Gone) {
                told.push(line);
            }
        }
        // A successor may have the address of a box that is gone, but not of one that runs.
        let mut addresses: BTreeMap<SocketAddr, ServerId> = BTreeMap::new();
        for (id, line) in &boxes {
            if let Some(other) = addresses.insert(line.address, *id) {
                return Err(BadList::OneAddress(other.0, id.0, line.address));
            }
        }
        (self.boxes, self.revision) = (boxes, Some(revision));
        Ok(told)
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

    fn two() -> Listing {
        let mut list = Listing::default();
        list.apply(ListKind::Whole, 7, vec![line(1, 1, READY), line(2, 2, READY)]).unwrap();
        list
    }

    #[test]
    fn a_missed_change_is_a_loss_and_not_passed_over() {
        let mut list = two();
        let drained = vec![line(1, 1, ServerState::Draining)];
        assert_eq!(list.apply(ListKind::Changes, 9, drained.clone()), Err(BadList::Gap(9, 7)));
        assert_eq!(list.apply(ListKind::Changes, 8, drained.clone()), Ok(drained.clone()));
        list.lost();
        assert_eq!(list.apply(ListKind::Changes, 9, drained), Err(BadList::NoList));
        assert_eq!(list.boxes().count(), 2, "what is known stays known");
    }

    #[test]
    fn a_list_naming_a_box_twice_changes_nothing() {
        let mut list = two();
        let twice = vec![line(3, 3, READY), line(1, 4, READY), line(3, 5, READY)];
        assert_eq!(list.apply(ListKind::Whole, 8, twice), Err(BadList::Twice(3, 1, 3)));
        let same = vec![line(3, 2, READY)];
        assert!(matches!(list.apply(ListKind::Changes, 8, same), Err(BadList::OneAddress(2, 3, _))));
        assert_eq!(list.boxes().map(|b| b.address.port()).collect::<Vec<_>>(), [1, 2]);
    }

    #[test]
    fn a_successor_may_take_the_address_of_a_box_that_goes_with_the_same_message() {
        let mut list = two();
        let change = vec![line(2, 2, ServerState::Gone), line(3, 2, READY)];
        assert_eq!(list.apply(ListKind::Changes, 8, change.clone()), Ok(change));
    }

    #[test]
    fn what_is_known_already_is_not_told_again() {
        let mut list = two();
        let change = vec![line(1, 1, READY), line(9, 9, ServerState::Gone)];
        assert_eq!(list.apply(ListKind::Changes, 8, change), Ok(vec![]));
    }
}
