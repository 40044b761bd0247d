//! Admission control: which connections are accepted, and which are dropped to make room.
//!
//! Danger: a server that is full rejects every new client, so a peer that opens handshakes and never ends
//! them, or connections that never request anything, could lock out everybody else. So a full server makes
//! room:
//!
//! - Too many handshakes: of the address prefix with the most handshakes, the one with the earliest deadline
//!   is dropped.
//! - Too many connections: the one that has been idle for the longest is dropped. A player with a session or
//!   with a pending open is never dropped for another.
//! - All connections in use: a reserve is left for viewers that return to an existing session. A connection
//!   in the reserve may only do that, and the oldest one there is dropped first.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use salttally::interface::Micros;

use super::pace::Pace;
use crate::core::ClientId;

/// Limits of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of connections after their handshakes, including the reserve.
    pub players: usize,
    /// How many of `players` are reserved for viewers that return to an existing session.
    pub reserve: usize,
    /// Maximum number of connections in the handshake.
    pub handshakes: usize,
    /// Maximum number of connections per address prefix; 0 for no limit.
    pub per_address: usize,
    /// Bits of an IPv4 address, and of an IPv6 address, that count as one address prefix.
    pub prefix_bits: (u32, u32),
    /// Deadline and minimum rate of a handshake.
    pub pace: Pace,
}

/// An address prefix, whose connections are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Prefix(u128);

impl Prefix {
    /// The prefix of this address. An IPv4-mapped IPv6 address (RFC 4291 section 2.5.5.2) counts as the IPv4
    /// address.
    pub fn new(address: IpAddr, limits: &AdmissionLimits) -> Prefix {
        let truncate = |address: u128, width: u32, keep: u32| {
            let low_bits = width.saturating_sub(keep);
            address.checked_shr(low_bits).and_then(|kept| kept.checked_shl(low_bits)).unwrap_or(0)
        };
        match address.to_canonical() {
            // The bit above the 32 address bits keeps IPv4 prefixes apart from all IPv6 prefixes in use.
            IpAddr::V4(v4) => Prefix(1 << 32 | truncate(u128::from(u32::from(v4)), 32, limits.prefix_bits.0)),
            IpAddr::V6(v6) => Prefix(truncate(u128::from(v6), 128, limits.prefix_bits.1)),
        }
    }
}

/// Why a connection is rejected or dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// All connections are in use, and all in the reserve belong to returned viewers.
    Full,
    /// Its address prefix has the maximum number of connections.
    AddressLimit,
    /// It was dropped in its handshake to make room for another handshake.
    Handshake,
    /// It had been idle for the longest and was dropped to make room for another connection.
    Idle,
    /// It had been in the reserve for the longest without returning to a session and was dropped to make room
    /// for another connection.
    NotReturned,
}

/// The kind of slot that a connection is admitted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// A slot without restrictions.
    Regular,
    /// A slot of the reserve: the player may only return to an existing session.
    Reserve,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In the handshake; the value is its deadline.
    Handshake(Micros),
    /// Without sessions and pending opens; the value is when that began.
    Idle(Micros),
    /// In the reserve; the value is when it was admitted.
    Reserve(Micros),
    /// With sessions or pending opens.
    InUse,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    prefix: Prefix,
    state: State,
}

/// Connections by state, and the number of dropped ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Connections in the handshake.
    pub handshakes: usize,
    /// Established connections without sessions and pending opens.
    pub idle: usize,
    /// Established connections in the reserve.
    pub reserve: usize,
    /// Established connections with a session or a pending open.
    pub in_use: usize,
    /// Connections rejected or dropped so far, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

/// Admission control of a front's connections.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    connections: BTreeMap<ClientId, Connection>,
    /// For each address prefix the number of its connections, and those in the handshake ordered by deadline.
    addresses: BTreeMap<Prefix, (usize, BTreeSet<(Micros, ClientId)>)>,
    /// Address prefixes ordered by their number of handshakes.
    handshake_counts: BTreeSet<(usize, Prefix)>,
    handshakes: usize,
    idle: BTreeSet<(Micros, ClientId)>,
    reserve: BTreeSet<(Micros, ClientId)>,
    in_use: usize,
    dropped: BTreeMap<DropReason, u64>,
}

impl Admission {
    /// Admission control without connections.
    pub fn new(limits: AdmissionLimits) -> Admission {
        Admission {
            limits,
            connections: BTreeMap::new(),
            addresses: BTreeMap::new(),
            handshake_counts: BTreeSet::new(),
            handshakes: 0,
            idle: BTreeSet::new(),
            reserve: BTreeSet::new(),
            in_use: 0,
            dropped: BTreeMap::new(),
        }
    }

    /// Admits a new connection to the handshake. Returns the connection that is dropped for it, if any.
    pub fn begin_handshake(
        &mut self,
        now: Micros,
        id: ClientId,
        from: IpAddr,
    ) -> Result<Option<(ClientId, DropReason)>, DropReason> {
        let prefix = Prefix::new(from, &self.limits);
        let count = self.addresses.get(&prefix).map_or(0, |(count, _)| *count);
        if self.limits.per_address > 0 && count >= self.limits.per_address {
            return Err(self.count_drop(DropReason::AddressLimit));
        }
        let dropped = if self.handshakes >= self.limits.handshakes { self.handshake_to_drop() } else { None };
        if let Some(dropped) = dropped {
            self.remove(dropped);
            self.count_drop(DropReason::Handshake);
        }
        self.insert(id, Connection { prefix, state: State::Handshake(self.limits.pace.deadline(now, 0)) });
        Ok(dropped.map(|dropped| (dropped, DropReason::Handshake)))
    }

    /// The handshake with the earliest deadline, of the address prefix with the most handshakes.
    fn handshake_to_drop(&self) -> Option<ClientId> {
        let (_, prefix) = self.handshake_counts.last()?;
        self.addresses.get(prefix)?.1.first().map(|(_, id)| *id)
    }

    /// Updates the deadline of a handshake that began at `begun` and has received `bytes` so far.
    pub fn handshake_progress(&mut self, id: ClientId, begun: Micros, bytes: u64) {
        let due = self.limits.pace.deadline(begun, bytes);
        self.update_state(
            id,
            |state| if let State::Handshake(_) = state { State::Handshake(due) } else { state },
        );
    }

    /// Admits a connection whose handshake is complete. Returns its slot and the connection that is dropped
    /// for it, if any.
    pub fn finish_handshake(
        &mut self,
        now: Micros,
        id: ClientId,
    ) -> Result<(Slot, Option<(ClientId, DropReason)>), DropReason> {
        // It has been dropped meanwhile.
        if !self
            .connections
            .get(&id)
            .is_some_and(|connection| matches!(connection.state, State::Handshake(_)))
        {
            return Err(DropReason::Handshake);
        }
        let regular = self.limits.players - self.limits.reserve.min(self.limits.players);
        let (slot, dropped) = if self.in_use + self.idle.len() < regular {
            (Slot::Regular, None)
        } else if let Some((_, longest_idle)) = self.idle.first() {
            (Slot::Regular, Some((*longest_idle, DropReason::Idle)))
        } else if self.in_use + self.reserve.len() < self.limits.players {
            (Slot::Reserve, None)
        } else if let Some((_, first)) = self.reserve.first() {
            (Slot::Reserve, Some((*first, DropReason::NotReturned)))
        } else {
            return Err(self.count_drop(DropReason::Full));
        };
        if let Some((dropped, reason)) = dropped {
            self.remove(dropped);
            self.count_drop(reason);
        }
        let state = if slot == Slot::Regular { State::Idle(now) } else { State::Reserve(now) };
        self.update_state(id, |_| state);
        Ok((slot, dropped))
    }

    /// Records whether a player has sessions or pending opens.
    pub fn set_in_use(&mut self, now: Micros, id: ClientId, in_use: bool) {
        self.update_state(id, |state| match (in_use, state) {
            (_, State::Handshake(_)) | (true, State::InUse) | (false, State::Idle(_) | State::Reserve(_)) => {
                state
            }
            (true, _) => State::InUse,
            (false, State::InUse) => State::Idle(now),
        });
    }

    /// Whether a player was admitted to the reserve and has not returned to a session yet.
    pub fn in_reserve(&self, id: ClientId) -> bool {
        self.connections.get(&id).is_some_and(|connection| matches!(connection.state, State::Reserve(_)))
    }

    /// Removes a connection that has ended or is being closed.
    pub fn remove(&mut self, id: ClientId) {
        self.detach(id);
    }

    /// Number of connections after their handshakes.
    pub fn established(&self) -> usize {
        self.connections.len() - self.handshakes
    }

    /// Connections by state, and the number of dropped ones.
    pub fn counts(&self) -> AdmissionCounts {
        AdmissionCounts {
            handshakes: self.handshakes,
            idle: self.idle.len(),
            reserve: self.reserve.len(),
            in_use: self.in_use,
            dropped: self.dropped.clone(),
        }
    }

    fn count_drop(&mut self, reason: DropReason) -> DropReason {
        *self.dropped.entry(reason).or_insert(0) += 1;
        reason
    }

    fn update_state(&mut self, id: ClientId, state: impl FnOnce(State) -> State) {
        let Some(connection) = self.connections.get(&id).copied() else { return };
        let state = state(connection.state);
        if state != connection.state {
            self.detach(id);
            self.insert(id, Connection { state, ..connection });
        }
    }

    fn insert(&mut self, id: ClientId, connection: Connection) {
        self.connections.insert(id, connection);
        self.addresses.entry(connection.prefix).or_default().0 += 1;
        match connection.state {
            State::Handshake(due) => {
                self.update_handshakes(connection.prefix, |handshakes| handshakes.insert((due, id)))
            }
            State::Idle(since) => {
                self.idle.insert((since, id));
            }
            State::Reserve(since) => {
                self.reserve.insert((since, id));
            }
            State::InUse => self.in_use += 1,
        }
    }

    fn detach(&mut self, id: ClientId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        match connection.state {
            State::Handshake(due) => {
                self.update_handshakes(connection.prefix, |handshakes| handshakes.remove(&(due, id)))
            }
            State::Idle(since) => {
                self.idle.remove(&(since, id));
            }
            State::Reserve(since) => {
                self.reserve.remove(&(since, id));
            }
            State::InUse => self.in_use -= 1,
        }
        if let Some((count, _)) = self.addresses.get_mut(&connection.prefix) {
            *count -= 1;
            if *count == 0 {
                self.addresses.remove(&connection.prefix);
            }
        }
    }

    fn update_handshakes(
        &mut self,
        prefix: Prefix,
        change: impl FnOnce(&mut BTreeSet<(Micros, ClientId)>) -> bool,
    ) {
        let Some((_, handshakes)) = self.addresses.get_mut(&prefix) else { return };
        let before = handshakes.len();
        change(handshakes);
        let after = handshakes.len();
        self.handshakes = self.handshakes + after - before;
        self.handshake_counts.remove(&(before, prefix));
        if after > 0 {
            self.handshake_counts.insert((after, prefix));
        }
    }
}
