//! The sessions of a front node, indexed by the server of their attempt.
//!
//! What concerns one server costs what the sessions there cost, however many others there are.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;

use salttally::interface::ServerId;

use super::SessionEntry;

/// All sessions by id; read as a map.
#[derive(Clone, Debug, Default)]
pub(super) struct Sessions {
    entries: BTreeMap<u64, SessionEntry>,
    /// The server under which each session is indexed that has an attempt in progress or plays.
    servers: BTreeMap<u64, ServerId>,
    by_server: BTreeMap<ServerId, BTreeSet<u64>>,
    /// Sessions that have, or have had, attempts in doubt.
    doubtful: BTreeSet<u64>,
}

impl Deref for Sessions {
    type Target = BTreeMap<u64, SessionEntry>;

    fn deref(&self) -> &Self::Target {
        &self.entries
    }
}

impl Sessions {
    /// Adds or replaces a session.
    pub fn insert(&mut self, id: u64, entry: SessionEntry) {
        self.entries.insert(id, entry);
        self.update_index(id);
    }

    /// Removes a session.
    pub fn remove(&mut self, id: u64) -> Option<SessionEntry> {
        let entry = self.entries.remove(&id);
        self.doubtful.remove(&id);
        self.update_index(id);
        entry
    }

    /// A session for changes. [`Sessions::update_index`] follows those of its attempt.
    pub fn get_mut(&mut self, id: &u64) -> Option<&mut SessionEntry> {
        self.entries.get_mut(id)
    }

    /// Indexes a session under the server of its attempt, after an attempt has begun or ended.
    pub fn update_index(&mut self, id: u64) {
        let attempt = self.entries.get(&id).and_then(|entry| entry.session.current_attempt());
        let server = attempt.map(|attempt| attempt.server);
        let previous = match server {
            Some(server) => self.servers.insert(id, server),
            None => self.servers.remove(&id),
        };
        if previous == server {
            return;
        }
        if let Some(previous) = previous {
            self.remove_from(previous, id);
        }
        if let Some(server) = server {
            self.by_server.entry(server).or_default().insert(id);
        }
    }

    fn remove_from(&mut self, server: ServerId, id: u64) {
        if let Entry::Occupied(mut ids) = self.by_server.entry(server) {
            ids.get_mut().remove(&id);
            if ids.get().is_empty() {
                ids.remove();
            }
        }
    }

    /// The sessions with an attempt in progress or playing at a server, in order.
    pub fn at(&self, server: ServerId) -> impl Iterator<Item = (u64, &SessionEntry)> {
        let ids = self.by_server.get(&server).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.entries.get(id)?)))
    }

    /// Number of sessions with an attempt in progress or playing at a server.
    pub fn count_at(&self, server: ServerId) -> usize {
        self.by_server.get(&server).map_or(0, BTreeSet::len)
    }

    /// The servers that have any, in order.
    pub fn servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.by_server.keys().copied()
    }

    /// An attempt of a session is in doubt.
    pub fn mark_doubtful(&mut self, id: u64) {
        self.doubtful.insert(id);
    }

    /// The sessions that may have attempts in doubt, in order.
    pub fn doubtful(&self) -> impl Iterator<Item = (u64, &SessionEntry)> {
        self.doubtful.iter().filter_map(|id| Some((*id, self.entries.get(id)?)))
    }
}
