//! The listed servers, indexed by cell, by rack, and by whether they carry sessions of this front. No decisions.
//!
//! The indices are updated when the list or the front's own demand changes, so that the cost of a request, a load report or
//! a tick depends on the number of servers concerned and not on the length of the list.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;

use crate::interface::*;
use crate::state::{Server, ServerStart};

/// All listed servers by id.
#[derive(Clone, Default)]
pub struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    cells: BTreeMap<u32, BTreeSet<ServerId>>,
    /// Cell and id of each server in a rack.
    racks: BTreeMap<usize, BTreeSet<(u32, ServerId)>>,
    /// Servers on which this front's own sessions have demand.
    in_use: BTreeMap<ServerId, OwnUse>,
    /// Number of these servers in each rack that has any.
    racks_in_use: BTreeMap<usize, usize>,
    /// Demand of this front's own sessions on all servers, in kB/s.
    own_kb: f64,
    rack_count: u32,
    /// Starts of servers that are no longer listed.
    removed: BTreeMap<ServerId, ServerStart>,
}

/// The use of a server by this front's own sessions.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OwnUse {
    rack: Option<usize>,
    kb: f64,
}

/// Prints only the servers: the indices can be derived from them.
impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.servers.fmt(f)
    }
}

impl Fleet {
    /// An empty fleet with `rack_count` racks; 0 if the servers are not grouped in racks.
    pub fn new(rack_count: u32) -> Fleet {
        Fleet { rack_count, ..Fleet::default() }
    }

    /// A listed server.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// A listed server for updates. Its entry and own demand must be changed by [`Fleet::upsert`] and
    /// [`Fleet::add_own_demand`], which keep the indices up to date.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// Changes a server, if it is listed.
    pub fn modify(&mut self, id: ServerId, change: impl FnOnce(&mut Server)) {
        if let Some(server) = self.servers.get_mut(&id) {
            change(server);
        }
    }

    /// Adds or updates a server from its list entry. A later start time means a new process: what was known of the previous
    /// one is dropped. An entry without a start time, or with an earlier one, proves nothing: the known start stays, also
    /// that of a server that was removed in between.
    pub fn upsert(&mut self, now: Micros, entry: &ServerEntry) -> &mut Server {
        let id = entry.server;
        let before = self.servers.get(&id).map(|server| (server.entry.cell, server.start.stated));
        let has_moved = before.is_some_and(|(cell, _)| cell != entry.cell);
        if has_moved {
            self.remove_from_indices(id);
        }
        let known = self.servers.get(&id).map(|server| server.start).or_else(|| self.removed.remove(&id));
        let known = known.unwrap_or_default();
        let is_new_process = entry.started > known.stated;
        if is_new_process && before.is_some() {
            self.servers.insert(id, Server::default());
        }
        self.cells.entry(entry.cell).or_default().insert(id);
        if let Some(rack) = entry.rack(self.rack_count) {
            self.racks.entry(rack).or_default().insert((entry.cell, id));
        }
        self.servers.entry(id).or_default().entry = entry.clone();
        if has_moved || is_new_process {
            self.update_own_demand(id);
        }
        let server = self.servers.entry(id).or_default();
        if is_new_process {
            // A clock that is ahead states a start in the future.
            let listed = entry.started.map(|at| at.min(now));
            // A server found down after this start may have started once more since.
            let observed = known.observed.filter(|at| Some(*at) > listed);
            server.start = ServerStart { stated: entry.started, listed, observed };
        } else {
            server.start = known;
        }
        server
    }

    /// Removes a server that is no longer listed; its start is remembered in case it is listed again.
    pub fn remove(&mut self, id: ServerId) {
        self.remove_from_indices(id);
        let removed = self.servers.remove(&id);
        let start = removed.map(|server| server.start).filter(|start| start.latest().is_some());
        self.removed.extend(start.map(|start| (id, start)));
        self.update_own_demand(id);
    }

    /// Forgets the starts of removed servers that began no later than this.
    pub fn forget_starts_until(&mut self, at: Micros) {
        self.removed.retain(|_, start| start.latest().is_some_and(|latest| latest > at));
    }

    /// Removes all servers that are not in `listed`.
    pub fn retain(&mut self, listed: &BTreeSet<ServerId>) {
        let removed = self.servers.keys().filter(|id| !listed.contains(id)).copied();
        for id in removed.collect::<Vec<_>>() {
            self.remove(id);
        }
    }

    fn remove_from_indices(&mut self, id: ServerId) {
        let Some(entry) = self.servers.get(&id).map(|server| &server.entry) else { return };
        if let Some(cell) = self.cells.get_mut(&entry.cell) {
            cell.remove(&id);
            if cell.is_empty() {
                self.cells.remove(&entry.cell);
            }
        }
        let rack = entry.rack(self.rack_count);
        if let Some(servers) = rack.and_then(|rack| self.racks.get_mut(&rack)) {
            servers.remove(&(entry.cell, id));
        }
    }

    /// Adds a change of own demand, in kB/s, and of the number of own streams at a server. The changes of one event count as
    /// one.
    pub fn add_own_demand(
        &mut self,
        now: Micros,
        id: ServerId,
        kb: f64,
        streams: i32,
    ) -> Option<&mut Server> {
        let server = self.servers.get_mut(&id)?;
        server.own_kb = (server.own_kb + kb).max(0.0);
        server.own_sessions += streams;
        match server.changes.back_mut().filter(|change| change.0 == now) {
            Some(change) => (change.1, change.2) = (change.1 + kb, change.2 + streams),
            None => server.changes.push_back((now, kb, streams)),
        }
        self.update_own_demand(id);
        self.servers.get_mut(&id)
    }

    /// Updates the indices and the total after a change of a server's own demand or rack.
    fn update_own_demand(&mut self, id: ServerId) {
        let server = self.servers.get(&id).filter(|server| server.own_kb > 0.0);
        let current =
            server.map(|server| OwnUse { rack: server.entry.rack(self.rack_count), kb: server.own_kb });
        let previous = match current {
            Some(own_use) => self.in_use.insert(id, own_use),
            None => self.in_use.remove(&id),
        };
        if current.is_none() && previous.is_none() {
            return;
        }
        if let Some(rack) = current.and_then(|own_use| own_use.rack) {
            *self.racks_in_use.entry(rack).or_default() += 1;
        }
        if let Some(rack) = previous.and_then(|own_use| own_use.rack) {
            self.leave_rack(rack);
        }
        // Summed again each time: rounding errors of differences would accumulate.
        self.own_kb = self.in_use.values().map(|own_use| own_use.kb).sum();
    }

    /// One server less of a rack is in use.
    fn leave_rack(&mut self, rack: usize) {
        let Some(count) = self.racks_in_use.get_mut(&rack) else { return };
        *count -= 1;
        if *count == 0 {
            self.racks_in_use.remove(&rack);
        }
    }

    /// Demand of this front's own sessions on all servers, in kB/s.
    pub fn own_kb(&self) -> f64 {
        self.own_kb
    }

    /// Servers on which own sessions have demand, by id.
    pub fn in_use(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        self.in_use.keys().filter_map(|id| Some((*id, self.servers.get(id)?)))
    }

    /// Racks with servers on which own sessions have demand, in order.
    pub fn racks_in_use(&self) -> impl Iterator<Item = usize> + '_ {
        self.racks_in_use.keys().copied()
    }

    /// Servers of a rack, ordered by cell.
    pub fn in_rack(&self, rack: usize) -> impl Iterator<Item = (ServerId, &Server)> {
        let inside = self.racks.get(&rack).into_iter().flatten();
        inside.filter_map(|(_, id)| Some((*id, self.servers.get(id)?)))
    }

    /// Servers that hold the requested title, ordered by cell, in a ring of `ring` cells.
    pub fn holders(&self, request: &Request, ring: u32) -> Vec<ServerId> {
        let ring = ring.max(1);
        let has_cells_beyond_ring = self.cells.last_key_value().is_some_and(|(cell, _)| *cell >= ring);
        let [wrapped, straight] = match has_cells_beyond_ring {
            true => [0..0, 0..u32::MAX],
            false => holder_cells(request, ring),
        };
        let cells = self.cells.range(wrapped).chain(self.cells.range(straight));
        let held = cells.filter(|(cell, _)| request.held_in(**cell, ring));
        held.flat_map(|(_, servers)| servers.iter().copied()).collect()
    }
}

/// Cells of the ring that hold a title: first the part of the range that wraps past the end of the ring, then the rest.
fn holder_cells(request: &Request, ring: u32) -> [Range<u32>; 2] {
    let first = request.first_cell % ring;
    let end = first.saturating_add(request.cell_count.min(ring));
    [0..end.saturating_sub(ring).min(first), first..end.min(ring)]
}
