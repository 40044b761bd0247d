//! The sessions of a front, indexed by server, by whether they play, by seat and by rung. No decisions.
//!
//! The indices are updated with each change of a session, so that the cost of an event depends on the sessions concerned
//! and not on all of them.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::interface::*;
use crate::state::Session;

/// All sessions by id.
#[derive(Clone, Default)]
pub struct Sessions {
    sessions: BTreeMap<SessionId, Session>,
    /// Sessions at each server, set-ups included.
    by_server: BTreeMap<ServerId, BTreeSet<SessionId>>,
    /// Sessions that do not play yet.
    open: BTreeSet<SessionId>,
    /// Number of sessions at servers, by title and class.
    seats: BTreeMap<(TitleId, usize), usize>,
    /// Number of playing sessions, by class and rung.
    playing: BTreeMap<(usize, usize), usize>,
}

/// Where a session stands in the indices.
#[derive(Clone, Copy, Debug, PartialEq)]
struct IndexKeys {
    server: Option<ServerId>,
    title: TitleId,
    class: usize,
    /// The rung, if the session plays.
    playing_rung: Option<usize>,
}

impl IndexKeys {
    fn of(session: &Session) -> IndexKeys {
        IndexKeys {
            server: session.server,
            title: session.request.title,
            class: session.request.class,
            playing_rung: session.playing_since.map(|_| session.rung),
        }
    }
}

/// Prints only the sessions: the indices can be derived from them.
impl fmt::Debug for Sessions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter()).finish()
    }
}

impl Sessions {
    /// A session.
    pub fn get(&self, id: &SessionId) -> Option<&Session> {
        self.sessions.get(id)
    }

    /// All sessions, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&SessionId, &Session)> {
        self.sessions.iter()
    }

    /// Adds or replaces a session.
    pub fn insert(&mut self, id: SessionId, session: Session) {
        self.remove(&id);
        self.add_to_indices(&id, IndexKeys::of(&session));
        self.sessions.insert(id, session);
    }

    /// Removes a session.
    pub fn remove(&mut self, id: &SessionId) {
        if let Some(session) = self.sessions.remove(id) {
            self.remove_from_indices(id, IndexKeys::of(&session));
        }
    }

    /// Changes a session, if there is one with this id.
    pub fn modify<R>(&mut self, id: &SessionId, change: impl FnOnce(&mut Session) -> R) -> Option<R> {
        let session = self.sessions.get_mut(id)?;
        let before = IndexKeys::of(session);
        let result = change(session);
        let after = IndexKeys::of(session);
        if before != after {
            self.remove_from_indices(id, before);
            self.add_to_indices(id, after);
        }
        Some(result)
    }

    /// The sessions at a server, in order.
    pub fn at(&self, server: ServerId) -> impl Iterator<Item = (&SessionId, &Session)> {
        let ids = self.by_server.get(&server).into_iter().flatten();
        ids.filter_map(|id| Some((id, self.sessions.get(id)?)))
    }

    /// The sessions that do not play yet, in order.
    pub fn open(&self) -> impl Iterator<Item = (&SessionId, &Session)> {
        self.open.iter().filter_map(|id| Some((id, self.sessions.get(id)?)))
    }

    /// Number of sessions of a title and class at servers.
    pub fn seats_taken(&self, title: TitleId, class: usize) -> usize {
        self.seats.get(&(title, class)).copied().unwrap_or(0)
    }

    /// Demand of all playing sessions, in kB/s: at their rungs, and at the lowest rungs of their classes.
    pub fn playing_kb(&self, settings: &Settings) -> (f64, f64) {
        let mut demand = (0.0, 0.0);
        for ((class, rung), count) in &self.playing {
            let Some(class) = settings.classes.get(*class) else { continue };
            let kb = |rung: usize| settings.ladder.get(rung).map_or(0.0, |step| step.kb * class.rate_factor);
            demand.0 += kb(*rung) * *count as f64;
            demand.1 += kb(class.floor) * *count as f64;
        }
        demand
    }

    /// The sessions at these servers that have a cost, the cheapest first.
    pub fn cheapest_first(
        &self,
        servers: &[ServerId],
        cost: impl Fn(&Session) -> Option<f64>,
    ) -> CheapestFirst {
        let mut queue = CheapestFirst::default();
        for (id, session) in servers.iter().flat_map(|server| self.at(*server)) {
            if let Some(cost) = cost(session) {
                queue.push(cost, id.clone());
            }
        }
        queue
    }

    /// A probe of this server has ended: sessions that wait for no other one wait until now.
    pub fn end_probes(&mut self, server: ServerId, now: Micros) {
        for id in &self.open {
            let Some(session) = self.sessions.get_mut(id) else { continue };
            if !session.pending_probes.contains(&server) {
                continue;
            }
            session.pending_probes.retain(|other| *other != server);
            if session.pending_probes.is_empty() {
                session.wait_until = session.wait_until.map(|_| now);
            }
        }
    }

    fn add_to_indices(&mut self, id: &SessionId, keys: IndexKeys) {
        if let Some(server) = keys.server {
            self.by_server.entry(server).or_default().insert(id.clone());
            *self.seats.entry((keys.title, keys.class)).or_default() += 1;
        }
        match keys.playing_rung {
            Some(rung) => *self.playing.entry((keys.class, rung)).or_default() += 1,
            None => drop(self.open.insert(id.clone())),
        }
    }

    fn remove_from_indices(&mut self, id: &SessionId, keys: IndexKeys) {
        if let Some(server) = keys.server {
            if let Entry::Occupied(mut ids) = self.by_server.entry(server) {
                ids.get_mut().remove(id);
                if ids.get().is_empty() {
                    ids.remove();
                }
            }
            decrement(&mut self.seats, (keys.title, keys.class));
        }
        match keys.playing_rung {
            Some(rung) => decrement(&mut self.playing, (keys.class, rung)),
            None => drop(self.open.remove(id)),
        }
    }
}

/// Counts one less under a key; a count of zero is removed.
fn decrement<K: Ord>(counts: &mut BTreeMap<K, usize>, key: K) {
    if let Entry::Occupied(mut count) = counts.entry(key) {
        *count.get_mut() -= 1;
        if *count.get() == 0 {
            count.remove();
        }
    }
}

/// Sessions in the order of a cost, the lowest first; those of equal cost by id.
#[derive(Clone, Debug, Default)]
pub struct CheapestFirst(BTreeSet<(Cost, SessionId)>);

impl CheapestFirst {
    /// Adds a session.
    pub fn push(&mut self, cost: f64, id: SessionId) {
        self.0.insert((Cost(cost), id));
    }

    /// Removes and returns the session of the lowest cost.
    pub fn pop(&mut self) -> Option<SessionId> {
        self.0.pop_first().map(|(_, id)| id)
    }
}

/// A number in its total order.
#[derive(Clone, Copy, Debug)]
struct Cost(f64);

impl PartialEq for Cost {
    fn eq(&self, other: &Cost) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Cost {}

impl PartialOrd for Cost {
    fn partial_cmp(&self, other: &Cost) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Cost {
    fn cmp(&self, other: &Cost) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}
