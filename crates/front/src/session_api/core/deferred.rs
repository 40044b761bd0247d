//! Messages over their senders' shares, until the front's thread has nothing else to do.
//!
//! Danger: a cancellation that overtakes its open. What frees has its turn at once, and an open of the same player
//! may wait here: taken in that order, the open would play for a viewer that has given up. So whatever of a player
//! waits here goes ahead of anything else that it says.

use std::collections::{BTreeMap, VecDeque};

use crate::core::ClientId;

/// What waits, in the order in which it came.
#[derive(Clone, Debug)]
pub struct DeferredQueue<T> {
    waiting: VecDeque<(ClientId, T)>,
    /// How many of each player wait.
    of: BTreeMap<ClientId, usize>,
}

impl<T> Default for DeferredQueue<T> {
    fn default() -> Self {
        DeferredQueue { waiting: VecDeque::new(), of: BTreeMap::new() }
    }
}

impl<T> DeferredQueue<T> {
    /// One more waits.
    pub fn push(&mut self, client: ClientId, message: T) {
        self.waiting.push_back((client, message));
        *self.of.entry(client).or_insert(0) += 1;
    }

    /// The next, when there is time for it.
    pub fn pop(&mut self) -> Option<T> {
        let (client, message) = self.waiting.pop_front()?;
        if let Some(count) = self.of.get_mut(&client) {
            *count -= 1;
            if *count == 0 {
                self.of.remove(&client);
            }
        }
        Some(message)
    }

    /// All of this player, in their order: it says something that has its turn, or has gone.
    pub fn take_client(&mut self, client: ClientId) -> Vec<T> {
        if self.of.remove(&client).is_none() {
            return Vec::new();
        }
        let (own, others) = std::mem::take(&mut self.waiting).into_iter().partition(|(of, _)| *of == client);
        self.waiting = others;
        let own: VecDeque<(ClientId, T)> = own;
        own.into_iter().map(|(_, message)| message).collect()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
