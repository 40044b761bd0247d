//! Sessions that clients have handed over and of which their servers have said nothing yet.
//!
//! Any client may hand any session over at any time, and nothing but the server's word tells a session that plays from one
//! that was made up. So the number of sessions that rest on a client's word alone is bounded, and the bound cannot be used
//! up at the expense of others:
//!
//! - A connection hands over no more sessions of a server than the server has places.
//! - All such sessions take no more than their part of the memory. When it is used up, the connection with the most
//!   sessions makes room for one with fewer, the latest session first.
//! - Of servers that are not listed, only a small part is taken, shared out in the same way: they can be listed any moment, or
//!   are gone.
//!
//! What is owed for such sessions, releases and notices, takes at most half of the room for all of them, those of connections
//! with few sessions first.
//!
//! Once a hand-over has not been taken, servers that hold nothing but sessions of connections with many are checked on a small
//! part of the connections, see [`Core::check_priority`](super::Core::check_priority).
//!
//! A note on a session proves it; a proven session does not count and is never displaced.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

use salttally::interface::ServerId;

use super::shares::{Share, Shares};
use super::ClientId;

/// Memory of a handed-over session with all that is kept for it here and by the decider.
const SESSION_BYTES: usize = 2_048;
/// The part of the memory of the process that unproven sessions may take.
const MEMORY_DIVISOR: usize = 4;
/// The part of these sessions that may be of servers which are not listed.
const UNLISTED_DIVISOR: usize = 16;

/// Why a handed-over session is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The connection has handed over as many sessions of the server as the server has places.
    ServerFull,
    /// The memory for unproven sessions is used up, and no other connection has more of them.
    MemoryFull,
    /// The server is not listed, as many sessions of such servers are kept as may be, and no other connection has more of
    /// them.
    Unlisted,
}

/// Whether a handed-over session is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// It is taken.
    Take,
    /// It is taken in place of this session.
    TakeInPlaceOf(u64),
    /// It is not taken.
    Refuse(Refusal),
}

/// The sessions of one connection.
#[derive(Clone, Debug, Default)]
struct Group {
    /// Sessions in the order in which they were handed over.
    sessions: BTreeMap<u64, u64>,
    by_server: BTreeMap<ServerId, usize>,
}

impl Group {
    fn insert(&mut self, id: u64, claim: &Claim) {
        self.sessions.insert(claim.order, id);
        *self.by_server.entry(claim.server).or_default() += 1;
    }

    fn remove(&mut self, claim: &Claim) {
        self.sessions.remove(&claim.order);
        decrement(&mut self.by_server, claim.server);
    }
}

impl Share for Group {
    fn len(&self) -> usize {
        self.sessions.len()
    }
}

/// An unproven session.
#[derive(Clone, Copy, Debug)]
struct Claim {
    client: ClientId,
    order: u64,
    server: ServerId,
    is_listed: bool,
}

/// The unproven sessions.
#[derive(Clone, Debug)]
pub(super) struct UnprovenSessions {
    claims: BTreeMap<u64, Claim>,
    by_server: BTreeMap<ServerId, usize>,
    groups: Shares<Group>,
    /// The sessions at servers that were not listed when they were handed over.
    unlisted_groups: Shares<Group>,
    /// Number of sessions at servers that were not listed when they were handed over.
    unlisted: usize,
    last_order: u64,
    limit: usize,
}

impl UnprovenSessions {
    /// None yet; the limit follows from the memory of the process.
    pub fn new(memory_bytes: usize) -> UnprovenSessions {
        UnprovenSessions {
            claims: BTreeMap::new(),
            by_server: BTreeMap::new(),
            groups: Shares::default(),
            unlisted_groups: Shares::default(),
            unlisted: 0,
            last_order: 0,
            limit: (memory_bytes / MEMORY_DIVISOR / SESSION_BYTES).max(1),
        }
    }

    /// Number of unproven sessions.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Number of unproven sessions of the connection that has handed this one over; 0 if it is not one of them.
    pub fn rank(&self, id: u64) -> usize {
        self.claims.get(&id).map_or(0, |claim| self.groups.count(Some(claim.client)))
    }

    /// Whether this is an unproven session of a server that was not listed when it was handed over.
    pub fn is_unlisted(&self, id: u64) -> bool {
        self.claims.get(&id).is_some_and(|claim| !claim.is_listed)
    }

    /// Number of unproven sessions at a server.
    pub fn count_at(&self, server: ServerId) -> usize {
        self.by_server.get(&server).copied().unwrap_or(0)
    }

    /// Whether a connection has handed sessions of this server over that has at most half as many as the one with the most.
    pub fn is_named_by_small_group(&self, server: ServerId) -> bool {
        let largest = self.groups.largest_above(0).map_or(0, Share::len);
        let mut small = self.groups.by_size().take_while(|(size, _)| 2 * size <= largest);
        small.any(|(_, group)| group.by_server.contains_key(&server))
    }

    /// Decides on one more session. `places` is the number of places of its server, or `None` if it is not listed.
    pub fn decide(&self, client: ClientId, server: ServerId, places: Option<usize>) -> Decision {
        let own = self.groups.get(Some(client));
        let own_at_server = own.and_then(|group| group.by_server.get(&server)).copied().unwrap_or(0);
        match places {
            None if self.unlisted >= (self.limit / UNLISTED_DIVISOR).max(1) => {
                return displace(&self.unlisted_groups, client, Refusal::Unlisted);
            }
            Some(places) if own_at_server >= places => return Decision::Refuse(Refusal::ServerFull),
            _ => {}
        }
        if self.claims.len() < self.limit {
            return Decision::Take;
        }
        displace(&self.groups, client, Refusal::MemoryFull)
    }

    /// Adds a session that is taken.
    pub fn add(&mut self, id: u64, client: ClientId, server: ServerId, is_listed: bool) {
        self.last_order += 1;
        let claim = Claim { client, order: self.last_order, server, is_listed };
        self.claims.insert(id, claim);
        if !is_listed {
            self.unlisted += 1;
            self.unlisted_groups.change(Some(client), |group| group.insert(id, &claim));
        }
        *self.by_server.entry(server).or_default() += 1;
        self.groups.change(Some(client), |group| group.insert(id, &claim));
    }

    /// A session is over, or its server has sent a note on it.
    pub fn remove(&mut self, id: u64) {
        let Some(claim) = self.claims.remove(&id) else { return };
        if !claim.is_listed {
            self.unlisted -= 1;
            self.unlisted_groups.change(Some(claim.client), |group| group.remove(&claim));
        }
        decrement(&mut self.by_server, claim.server);
        self.groups.change(Some(claim.client), |group| group.remove(&claim));
    }
}

/// Decides on one more session of a connection where the room for these groups is used up: the largest one makes room for a
/// smaller one, with its latest session.
fn displace(groups: &Shares<Group>, client: ClientId, refusal: Refusal) -> Decision {
    let largest = groups.largest_above(groups.count(Some(client)) + 1);
    let latest = largest.and_then(|group| group.sessions.last_key_value());
    latest.map_or(Decision::Refuse(refusal), |(_, id)| Decision::TakeInPlaceOf(*id))
}

/// Counts one less under a server; a count of zero is removed.
fn decrement(counts: &mut BTreeMap<ServerId, usize>, server: ServerId) {
    if let Entry::Occupied(mut count) = counts.entry(server) {
        *count.get_mut() -= 1;
        if *count.get() == 0 {
            count.remove();
        }
    }
}
