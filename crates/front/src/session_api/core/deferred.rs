//! Messages of senders that have used up their share of the engine thread. They wait until the engine thread
//! is idle.
//!
//! Danger: a cancellation that overtakes its open. Calls that free something are handled at once, while an
//! open of the same player may wait here. Handled in that order, the session would play for a viewer that has
//! given up. So all deferred messages of a player are handled before any later message of that player.

use std::collections::{BTreeMap, VecDeque};

use crate::core::ClientId;

/// The deferred messages, in order of arrival.
#[derive(Clone, Debug)]
pub struct DeferredQueue<T> {
    messages: VecDeque<(ClientId, T)>,
    /// Number of deferred messages per player.
    counts: BTreeMap<ClientId, usize>,
}

impl<T> Default for DeferredQueue<T> {
    fn default() -> Self {
        DeferredQueue { messages: VecDeque::new(), counts: BTreeMap::new() }
    }
}

impl<T> DeferredQueue<T> {
    /// Adds a message.
    pub fn push(&mut self, client: ClientId, message: T) {
        self.messages.push_back((client, message));
        *self.counts.entry(client).or_insert(0) += 1;
    }

    /// Removes the oldest message.
    pub fn pop(&mut self) -> Option<T> {
        let (client, message) = self.messages.pop_front()?;
        if let Some(count) = self.counts.get_mut(&client) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&client);
            }
        }
        Some(message)
    }

    /// Removes all messages of a player, in order: a later message of the player is about to be handled, or
    /// the player has disconnected.
    pub fn take_client(&mut self, client: ClientId) -> Vec<T> {
        if self.counts.remove(&client).is_none() {
            return Vec::new();
        }
        let (taken, others) =
            std::mem::take(&mut self.messages).into_iter().partition(|(sender, _)| *sender == client);
        self.messages = others;
        let taken: VecDeque<(ClientId, T)> = taken;
        taken.into_iter().map(|(_, message)| message).collect()
    }

    /// Whether there are no deferred messages.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
}
