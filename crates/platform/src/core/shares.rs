//! Items counted by the client connection that they came on, so that a bound on their number can be shared out.

use std::collections::{BTreeMap, BTreeSet};

use super::ClientId;

/// Items by connection, whether it is still open or not; `None` stands for an unknown one.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    items: BTreeMap<Option<ClientId>, BTreeSet<u64>>,
    /// The connections by the number of their items.
    sizes: BTreeSet<(usize, Option<ClientId>)>,
}

impl Shares {
    /// Adds an item of a connection.
    pub fn add(&mut self, client: Option<ClientId>, item: u64) {
        self.change(client, |items| items.insert(item));
    }

    /// Removes an item of a connection.
    pub fn remove(&mut self, client: Option<ClientId>, item: u64) {
        self.change(client, |items| items.remove(&item));
    }

    /// Number of items of a connection.
    pub fn count(&self, client: Option<ClientId>) -> usize {
        self.items.get(&client).map_or(0, BTreeSet::len)
    }

    /// Number of connections that have any.
    pub fn clients(&self) -> usize {
        self.items.len()
    }

    /// An item of the connection with the most, if it has more than this.
    pub fn item_of_largest_above(&self, count: usize) -> Option<u64> {
        let (_, client) = self.sizes.last().filter(|(size, _)| *size > count)?;
        self.items.get(client)?.last().copied()
    }

    fn change(&mut self, client: Option<ClientId>, change: impl FnOnce(&mut BTreeSet<u64>) -> bool) {
        let items = self.items.entry(client).or_default();
        let size_before = items.len();
        change(items);
        let size = items.len();
        self.sizes.remove(&(size_before, client));
        if size > 0 {
            self.sizes.insert((size, client));
        } else {
            self.items.remove(&client);
        }
    }
}
