//! Groups of items by the client connection that they came on, ordered by size, so that a bound on the number of items can be
//! shared out among the connections.

use std::collections::{BTreeMap, BTreeSet};

use super::ClientId;

/// The items of one connection.
pub(super) trait Share: Default {
    /// Number of items.
    fn len(&self) -> usize;
}

impl Share for BTreeSet<u64> {
    fn len(&self) -> usize {
        BTreeSet::len(self)
    }
}

/// Shares by connection, whether it is still open or not; `None` stands for an unknown one.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares<S> {
    shares: BTreeMap<Option<ClientId>, S>,
    /// The connections by the number of their items.
    sizes: BTreeSet<(usize, Option<ClientId>)>,
}

impl<S: Share> Shares<S> {
    /// The share of a connection, if it has any items.
    pub fn get(&self, client: Option<ClientId>) -> Option<&S> {
        self.shares.get(&client)
    }

    /// Number of items of a connection.
    pub fn count(&self, client: Option<ClientId>) -> usize {
        self.get(client).map_or(0, S::len)
    }

    /// Number of connections that have any items.
    pub fn clients(&self) -> usize {
        self.shares.len()
    }

    /// The shares with their sizes, the smallest first.
    pub fn by_size(&self) -> impl DoubleEndedIterator<Item = (usize, &S)> {
        self.sizes.iter().filter_map(|(size, client)| Some((*size, self.get(*client)?)))
    }

    /// The largest share, if it has more items than this.
    pub fn largest_above(&self, count: usize) -> Option<&S> {
        self.by_size().next_back().filter(|(size, _)| *size > count).map(|(_, share)| share)
    }

    /// Changes the share of a connection.
    pub fn change(&mut self, client: Option<ClientId>, change: impl FnOnce(&mut S)) {
        let share = self.shares.entry(client).or_default();
        let size_before = share.len();
        change(share);
        let size = share.len();
        self.sizes.remove(&(size_before, client));
        if size > 0 {
            self.sizes.insert((size, client));
        } else {
            self.shares.remove(&client);
        }
    }
}
