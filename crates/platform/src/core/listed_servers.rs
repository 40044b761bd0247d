//! The servers of the list: where each listens, of which kind it is, and which one has an address that several name.
//!
//! A new server may have the address of one that has gone, and its start may be told before the end of the older one. One
//! address is one process: of two servers at an address the older one has gone, and is treated as removed.
//!
//! - A server that changes its address has the new one.
//! - If both state a start, the later one is the newer.
//! - A server that has lost its address to another one does not get it back by being told again.
//! - A server that is told at an address for the first time is newer than one that was listed there before.
//! - Of two that are told together, one with a stated start is newer than one without; otherwise the later record counts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use salttally::interface::{ListKind, Micros, ServerEntry, ServerId, ServerState};
use salttally_front::core::{removed_servers, ListEntry};

/// Maximum number of replaced servers that are remembered.
const MAX_REPLACED_SERVERS: usize = 4_096;

/// What the list says of a server, as far as the core needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListedServer {
    address: SocketAddr,
    kind: u32,
    /// The latest start that the list has stated.
    started: Option<Micros>,
}

/// A server that is listed no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RemovedServer {
    pub id: ServerId,
    pub address: SocketAddr,
    /// Another server has its address, at which it started at an unknown time.
    pub is_replaced_since_unknown: bool,
}

/// A server whose address another one has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReplacedServer {
    pub id: ServerId,
    pub successor: ServerId,
}

/// What an update of the list changes.
#[derive(Clone, Debug, Default)]
pub(super) struct ListChange {
    /// The last record of each server that the update names, and a removal of each server that it shows to have gone.
    pub records: Vec<ListEntry>,
    /// Servers that were listed and are not any more.
    pub removed: Vec<RemovedServer>,
    /// Servers, listed before or named by the update, whose addresses others have.
    pub replaced: Vec<ReplacedServer>,
    /// Servers that have another address than before.
    pub readdressed: Vec<ServerId>,
    /// Successors, and replaced servers that are back, of which the list states no start: it may be just now.
    pub started_unstated: Vec<ServerId>,
}

/// The listed servers, by id and by address.
#[derive(Clone, Debug, Default)]
pub(super) struct ListedServers {
    servers: BTreeMap<ServerId, ListedServer>,
    by_address: BTreeMap<SocketAddr, ServerId>,
    /// Servers that lost their addresses to others.
    replaced: BTreeMap<ServerId, SocketAddr>,
}

/// A server's claim to an address.
#[derive(Clone, Copy, Debug)]
struct Claim {
    id: ServerId,
    started: Option<Micros>,
    was_replaced_here: bool,
    was_listed_here: bool,
    /// It was listed at another address before.
    moves_here: bool,
}

impl Claim {
    /// Whether this server is the newer one; `other` was named earlier by the same update, or not at all.
    fn is_newer_than(&self, other: &Claim) -> bool {
        if self.moves_here != other.moves_here {
            return self.moves_here;
        }
        if self.started.is_some() && other.started.is_some() && self.started != other.started {
            return self.started > other.started;
        }
        if self.was_replaced_here != other.was_replaced_here {
            return other.was_replaced_here;
        }
        if self.was_listed_here != other.was_listed_here {
            return other.was_listed_here;
        }
        self.started >= other.started
    }
}

impl ListedServers {
    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether a server is listed.
    pub fn contains(&self, id: ServerId) -> bool {
        self.servers.contains_key(&id)
    }

    /// Where a listed server listens.
    pub fn address(&self, id: ServerId) -> Option<SocketAddr> {
        self.servers.get(&id).map(|server| server.address)
    }

    /// The server that is listed at an address.
    pub fn at(&self, address: SocketAddr) -> Option<ServerId> {
        self.by_address.get(&address).copied()
    }

    /// The server that has the address of one that was replaced.
    pub fn successor(&self, id: ServerId) -> Option<ServerId> {
        self.at(*self.replaced.get(&id)?)
    }

    /// The kind of a listed server, as an index into the settings.
    pub fn kind(&self, id: ServerId) -> Option<u32> {
        self.servers.get(&id).map(|server| server.kind)
    }

    /// The latest start of a listed server that the list has stated.
    pub fn started(&self, id: ServerId) -> Option<Micros> {
        self.servers.get(&id)?.started
    }

    /// The listed servers, in order.
    pub fn ids(&self) -> impl Iterator<Item = &ServerId> {
        self.servers.keys()
    }

    /// Applies an update of the list.
    pub fn apply(&mut self, kind: ListKind, records: Vec<ListEntry>) -> ListChange {
        let records = keep_last_records(records);
        let previous = self.previous_servers(kind, &records);
        let mut change = ListChange::default();
        for id in removed_servers(kind, &records, self.servers.keys()) {
            if let Some(server) = self.remove(id) {
                let (address, is_replaced_since_unknown) = (server.address, false);
                change.removed.push(RemovedServer { id, address, is_replaced_since_unknown });
            }
        }
        // Two servers may have changed their addresses.
        let listed = |record: &&ListEntry| record.entry.state != ServerState::Removed;
        for record in records.iter().filter(listed) {
            self.remove(record.entry.server);
        }
        for record in records.iter().filter(listed) {
            self.insert(record, &previous, &mut change);
        }
        let is_listed = |record: &ListEntry| {
            record.entry.state == ServerState::Removed || self.contains(record.entry.server)
        };
        change.records = records.into_iter().filter(is_listed).collect();
        self.report_replaced(kind, &previous, &mut change);
        change
    }

    /// What was known before an update of the servers that it names or replaces.
    fn previous_servers(&self, kind: ListKind, records: &[ListEntry]) -> BTreeMap<ServerId, ListedServer> {
        if kind != ListKind::Changes {
            return self.servers.clone();
        }
        let at_addresses = records.iter().filter_map(|record| self.at(record.address));
        let ids = records.iter().map(|record| record.entry.server).chain(at_addresses);
        ids.filter_map(|id| Some((id, *self.servers.get(&id)?))).collect()
    }

    fn remove(&mut self, id: ServerId) -> Option<ListedServer> {
        let server = self.servers.remove(&id)?;
        if self.at(server.address) == Some(id) {
            self.by_address.remove(&server.address);
        }
        Some(server)
    }

    /// Lists a server, unless another one has its address.
    fn insert(
        &mut self,
        record: &ListEntry,
        previous: &BTreeMap<ServerId, ListedServer>,
        change: &mut ListChange,
    ) {
        let (id, address) = (record.entry.server, record.address);
        let before = previous.get(&id);
        let started = record.entry.started.max(before.and_then(|server| server.started));
        let claim = |id, started| Claim {
            id,
            started,
            was_replaced_here: self.replaced.get(&id) == Some(&address),
            was_listed_here: previous.get(&id).is_some_and(|server| server.address == address),
            moves_here: previous.get(&id).is_some_and(|server| server.address != address),
        };
        let own = claim(id, started);
        if let Some(holder) = self.at(address) {
            let other = claim(holder, self.started(holder));
            let (newer, older) = if own.is_newer_than(&other) { (own, other) } else { (other, own) };
            change.replaced.push(ReplacedServer { id: older.id, successor: newer.id });
            self.remember_replaced(older.id, address);
            if newer.id != id {
                return;
            }
            self.remove(older.id);
        }
        if before.is_some_and(|server| server.address != address) {
            change.readdressed.push(id);
        }
        if self.replaced.remove(&id).is_some() && started.is_none() {
            change.started_unstated.push(id);
        }
        self.by_address.insert(address, id);
        self.servers.insert(id, ListedServer { address, kind: record.entry.kind, started });
    }

    fn remember_replaced(&mut self, id: ServerId, address: SocketAddr) {
        self.replaced.insert(id, address);
        if self.replaced.len() > MAX_REPLACED_SERVERS {
            self.replaced.pop_first();
        }
    }

    /// Adds what follows from the replacements of an update.
    fn report_replaced(
        &self,
        kind: ListKind,
        previous: &BTreeMap<ServerId, ListedServer>,
        change: &mut ListChange,
    ) {
        let removed: BTreeSet<ServerId> = change.removed.iter().map(|server| server.id).collect();
        let gone = change.replaced.iter().filter(|replaced| !self.contains(replaced.id));
        let gone: BTreeSet<ServerId> = gone.map(|replaced| replaced.id).collect();
        for (id, server) in gone.difference(&removed).filter_map(|id| Some((*id, *previous.get(id)?))) {
            let address = server.address;
            let successor = self.at(address).filter(|successor| !previous.contains_key(successor));
            let is_replaced_since_unknown = successor.is_some_and(|at| self.started(at).is_none());
            change.removed.push(RemovedServer { id, address, is_replaced_since_unknown });
            if kind == ListKind::Changes {
                change.records.push(removal(id, server.address));
            }
        }
        for successor in change.replaced.iter().map(|replaced| replaced.successor) {
            let is_new = !previous.contains_key(&successor) && self.contains(successor);
            if is_new && self.started(successor).is_none() {
                change.started_unstated.push(successor);
            }
        }
    }
}

/// The record that removes a server.
fn removal(id: ServerId, address: SocketAddr) -> ListEntry {
    let entry = ServerEntry { server: id, state: ServerState::Removed, ..ServerEntry::default() };
    ListEntry { entry, address }
}

/// Keeps the last record of each server that one event names several times. Otherwise a server that is gone
/// by one record and back by the next would exist for the decider and not here.
fn keep_last_records(records: Vec<ListEntry>) -> Vec<ListEntry> {
    let last: BTreeMap<ServerId, usize> =
        records.iter().enumerate().map(|(at, record)| (record.entry.server, at)).collect();
    let is_last = |(at, record): &(usize, ListEntry)| last.get(&record.entry.server) == Some(at);
    records.into_iter().enumerate().filter(is_last).map(|(_, record)| record).collect()
}
