//! Who is let in, and who goes to make room.
//!
//! Danger: a door that is full turns away whoever comes next, and whoever fills it with handshakes that never end,
//! or with connections that never ask for anything, has locked everybody out. So a full door makes room:
//!
//! - as many shake hands as may: of the address with the most of them, the one whose time would run out first goes;
//! - as many are inside as may: the one that has held nothing for the longest goes. A player with a session, or with
//!   an open call that waits, is never turned out for another;
//! - where all inside hold something, a reserve is left for viewers that come back for a session they have: whoever
//!   enters it may only return to one, and the longest there goes first.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use salttally::interface::Micros;

use super::pace::Pace;
use crate::core::ClientId;

/// Limits of the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Connections that have shaken hands at most, the reserve counted.
    pub players: usize,
    /// Of those, kept for viewers that come back for a session.
    pub reserve: usize,
    /// Connections that shake hands at most.
    pub shaking: usize,
    /// Connections of one address at most; 0 for any number.
    pub per_address: usize,
    /// Bits of an IPv4 address that make it one, and of an IPv6 address.
    pub prefix: (u32, u32),
    /// Pace of a handshake.
    pub pace: Pace,
}

/// The part of an address that is counted as one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Prefix(u128);

impl Prefix {
    /// The prefix of this address; one of IPv4 written as IPv6 (RFC 4291 section 2.5.5.2) is taken for what it is.
    pub fn of(address: IpAddr, limits: &AdmissionLimits) -> Prefix {
        let keep = |bits: u128, width: u32, keep: u32| {
            let drop = width.saturating_sub(keep);
            bits.checked_shr(drop).and_then(|kept| kept.checked_shl(drop)).unwrap_or(0)
        };
        match address.to_canonical() {
            // Marked by the bit over its width, so that it meets no address of IPv6 that is in use.
            IpAddr::V4(four) => Prefix(1 << 32 | keep(u128::from(u32::from(four)), 32, limits.prefix.0)),
            IpAddr::V6(six) => Prefix(keep(u128::from(six), 128, limits.prefix.1)),
        }
    }
}

/// Why a connection is turned away or out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// All inside hold something, and the reserve is full of viewers that came back.
    Full,
    /// Its address has as many connections as one may have.
    Address,
    /// It shook hands, and another wanted to.
    Shaking,
    /// It held nothing for the longest, and another wanted in.
    Idle,
    /// It was in the reserve for the longest without returning to a session, and another wanted in.
    Newcomer,
}

/// A place inside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Like anybody's.
    Ordinary,
    /// In the reserve: only to return to a session.
    Reserve,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    /// Its time runs out then.
    Shaking(Micros),
    /// It holds nothing, since then.
    Idle(Micros),
    /// In the reserve, since then.
    Reserve(Micros),
    /// It holds sessions or waits for an answer.
    Holding,
}

#[derive(Clone, Copy, Debug)]
struct Guest {
    prefix: Prefix,
    room: Room,
}

/// What stands where, and what was turned away.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Shaking hands.
    pub shaking: usize,
    /// Inside, holding nothing.
    pub idle: usize,
    /// Inside, in the reserve.
    pub reserve: usize,
    /// Inside, with a session or an open call.
    pub holding: usize,
    /// Turned away or out so far, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

/// The door.
#[derive(Clone, Debug)]
pub struct Door {
    limits: AdmissionLimits,
    guests: BTreeMap<ClientId, Guest>,
    /// By address: all its connections, and those of them that shake hands by when their time runs out.
    addresses: BTreeMap<Prefix, (usize, BTreeSet<(Micros, ClientId)>)>,
    /// Addresses by how many shake hands.
    crowds: BTreeSet<(usize, Prefix)>,
    shaking: usize,
    idle: BTreeSet<(Micros, ClientId)>,
    reserve: BTreeSet<(Micros, ClientId)>,
    holding: usize,
    dropped: BTreeMap<DropReason, u64>,
}

impl Door {
    /// Nobody is in.
    pub fn new(limits: AdmissionLimits) -> Door {
        Door {
            limits,
            guests: BTreeMap::new(),
            addresses: BTreeMap::new(),
            crowds: BTreeSet::new(),
            shaking: 0,
            idle: BTreeSet::new(),
            reserve: BTreeSet::new(),
            holding: 0,
            dropped: BTreeMap::new(),
        }
    }

    /// A connection has come. Let in, it shakes hands; who goes for that is returned.
    pub fn knock(
        &mut self,
        now: Micros,
        id: ClientId,
        from: IpAddr,
    ) -> Result<Option<(ClientId, DropReason)>, DropReason> {
        let prefix = Prefix::of(from, &self.limits);
        let count = self.addresses.get(&prefix).map_or(0, |(count, _)| *count);
        if self.limits.per_address > 0 && count >= self.limits.per_address {
            return Err(self.note(DropReason::Address));
        }
        let goes = if self.shaking >= self.limits.shaking { self.slowest() } else { None };
        if let Some(goes) = goes {
            self.left(goes);
            self.note(DropReason::Shaking);
        }
        self.put(id, Guest { prefix, room: Room::Shaking(self.limits.pace.due(now, 0)) });
        Ok(goes.map(|goes| (goes, DropReason::Shaking)))
    }

    /// Of the address with the most handshakes, the one whose time would run out first.
    fn slowest(&self) -> Option<ClientId> {
        let (_, prefix) = self.crowds.last()?;
        self.addresses.get(prefix)?.1.first().map(|(_, id)| *id)
    }

    /// A handshake that began then has brought so many bytes by now.
    pub fn progress(&mut self, id: ClientId, begun: Micros, bytes: u64) {
        let due = self.limits.pace.due(begun, bytes);
        self.change(id, |room| if let Room::Shaking(_) = room { Room::Shaking(due) } else { room });
    }

    /// A handshake is whole: whether there is a place inside, and who goes for it.
    pub fn enter(
        &mut self,
        now: Micros,
        id: ClientId,
    ) -> Result<(Place, Option<(ClientId, DropReason)>), DropReason> {
        // Turned out meanwhile: there is nobody to let in.
        if !self.guests.get(&id).is_some_and(|guest| matches!(guest.room, Room::Shaking(_))) {
            return Err(DropReason::Shaking);
        }
        let ordinary = self.limits.players - self.limits.reserve.min(self.limits.players);
        let (place, goes) = if self.holding + self.idle.len() < ordinary {
            (Place::Ordinary, None)
        } else if let Some((_, idlest)) = self.idle.first() {
            (Place::Ordinary, Some((*idlest, DropReason::Idle)))
        } else if self.holding + self.reserve.len() < self.limits.players {
            (Place::Reserve, None)
        } else if let Some((_, first)) = self.reserve.first() {
            (Place::Reserve, Some((*first, DropReason::Newcomer)))
        } else {
            return Err(self.note(DropReason::Full));
        };
        if let Some((goes, why)) = goes {
            self.left(goes);
            self.note(why);
        }
        let room = if place == Place::Ordinary { Room::Idle(now) } else { Room::Reserve(now) };
        self.change(id, |_| room);
        Ok((place, goes))
    }

    /// A player holds sessions or open calls from now on, or nothing any more.
    pub fn set_in_use(&mut self, now: Micros, id: ClientId, something: bool) {
        self.change(id, |room| match (something, room) {
            (_, Room::Shaking(_)) | (true, Room::Holding) | (false, Room::Idle(_) | Room::Reserve(_)) => room,
            (true, _) => Room::Holding,
            (false, Room::Holding) => Room::Idle(now),
        });
    }

    /// Whether a player is in the reserve and has returned to nothing yet.
    pub fn in_reserve(&self, id: ClientId) -> bool {
        self.guests.get(&id).is_some_and(|guest| matches!(guest.room, Room::Reserve(_)))
    }

    /// A connection has ended, or is about to.
    pub fn left(&mut self, id: ClientId) {
        self.take(id);
    }

    /// Connections inside.
    pub fn inside(&self) -> usize {
        self.guests.len() - self.shaking
    }

    /// What stands where.
    pub fn counts(&self) -> AdmissionCounts {
        AdmissionCounts {
            shaking: self.shaking,
            idle: self.idle.len(),
            reserve: self.reserve.len(),
            holding: self.holding,
            dropped: self.dropped.clone(),
        }
    }

    fn note(&mut self, why: DropReason) -> DropReason {
        *self.dropped.entry(why).or_insert(0) += 1;
        why
    }

    fn change(&mut self, id: ClientId, room: impl FnOnce(Room) -> Room) {
        let Some(guest) = self.guests.get(&id).copied() else { return };
        let room = room(guest.room);
        if room != guest.room {
            self.take(id);
            self.put(id, Guest { room, ..guest });
        }
    }

    fn put(&mut self, id: ClientId, guest: Guest) {
        self.guests.insert(id, guest);
        self.addresses.entry(guest.prefix).or_default().0 += 1;
        match guest.room {
            Room::Shaking(due) => self.crowd(guest.prefix, |crowd| crowd.insert((due, id))),
            Room::Idle(since) => {
                self.idle.insert((since, id));
            }
            Room::Reserve(since) => {
                self.reserve.insert((since, id));
            }
            Room::Holding => self.holding += 1,
        }
    }

    fn take(&mut self, id: ClientId) {
        let Some(guest) = self.guests.remove(&id) else { return };
        match guest.room {
            Room::Shaking(due) => self.crowd(guest.prefix, |crowd| crowd.remove(&(due, id))),
            Room::Idle(since) => {
                self.idle.remove(&(since, id));
            }
            Room::Reserve(since) => {
                self.reserve.remove(&(since, id));
            }
            Room::Holding => self.holding -= 1,
        }
        if let Some((count, _)) = self.addresses.get_mut(&guest.prefix) {
            *count -= 1;
            if *count == 0 {
                self.addresses.remove(&guest.prefix);
            }
        }
    }

    fn crowd(&mut self, prefix: Prefix, change: impl FnOnce(&mut BTreeSet<(Micros, ClientId)>) -> bool) {
        let Some((_, crowd)) = self.addresses.get_mut(&prefix) else { return };
        let before = crowd.len();
        change(crowd);
        let after = crowd.len();
        self.shaking = self.shaking + after - before;
        self.crowds.remove(&(before, prefix));
        if after > 0 {
            self.crowds.insert((after, prefix));
        }
    }
}
