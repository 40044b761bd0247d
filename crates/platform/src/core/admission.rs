//! Which viewer connections are kept. Danger: hundreds that say nothing take the place of viewers; half a request
//! holds a connection for ever. A connection is closed only where no set-up is open on it, and those that have said
//! nothing go first.

use std::collections::{BTreeMap, BTreeSet};

use salttally::interface::Micros;
use salttally_front::core::timers::Timers;

use super::{ClientId, Due};

/// A connection on which nothing whole was said for so long after it came is closed.
const FIRST_WORD: Micros = 2_000_000;
/// One without a session, after the last word.
const KEPT: Micros = 8_000_000;

#[derive(Clone, Debug, Default)]
struct Connection {
    joined: Micros,
    spoke: Option<Micros>,
    owed: BTreeSet<u64>,
    standing: BTreeSet<u64>,
    /// When it is looked at, if it is.
    due: Option<Micros>,
}

impl Connection {
    /// Whether no session is its.
    fn has_none(&self) -> bool {
        self.owed.is_empty() && self.standing.is_empty()
    }
}

/// Viewer connections.
#[derive(Clone, Debug)]
pub struct Admission {
    guests: BTreeMap<ClientId, Connection>,
    most: usize,
}

impl Admission {
    /// None yet; half of the process's files may go to them, and viewers hold a third.
    pub fn new(sockets: usize) -> Admission {
        Admission { guests: BTreeMap::new(), most: (sockets / 2).max(1) }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.guests.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.guests.is_empty()
    }

    /// Some connection on which a viewer was heard: one with a session before any other, the newest first.
    pub fn any(&self) -> Option<ClientId> {
        let heard = self.guests.iter().filter(|(_, guest)| guest.spoke.is_some());
        heard.max_by_key(|(id, guest)| (!guest.has_none(), **id)).map(|(id, _)| *id)
    }

    /// One has come; tells which go to make room, perhaps itself.
    pub fn joined(&mut self, now: Micros, id: ClientId, timers: &mut Timers<Due>) -> Vec<ClientId> {
        let mut go = Vec::new();
        while self.guests.len() - go.len() >= self.most {
            let free = |(other, guest): &(&ClientId, &Connection)| guest.has_none() && !go.contains(*other);
            let first = self.guests.iter().filter(free).min_by_key(|(_, g)| (g.spoke, g.joined));
            match first.map(|(other, _)| *other) {
                Some(other) => go.push(other),
                None => {
                    go.push(id);
                    break;
                }
            }
        }
        self.guests.insert(id, Connection { joined: now, ..Connection::default() });
        self.arm(now + FIRST_WORD, id, timers);
        go
    }

    /// A whole message came on it.
    pub fn spoke(&mut self, now: Micros, id: ClientId, timers: &mut Timers<Due>) {
        let Some(guest) = self.guests.get_mut(&id) else { return };
        guest.spoke = Some(now);
        if guest.due.is_none() && guest.has_none() {
            self.arm(now + KEPT, id, timers);
        }
    }

    /// A set-up is open on it.
    pub fn asked(&mut self, id: ClientId, session: u64, timers: &mut Timers<Due>) {
        let Some(guest) = self.guests.get_mut(&id) else { return };
        guest.owed.insert(session);
        if let Some(due) = guest.due.take() {
            timers.unset(due, Due::Silent(id));
        }
    }

    /// That set-up stands.
    pub fn stands(&mut self, id: ClientId, session: u64) {
        let Some(guest) = self.guests.get_mut(&id) else { return };
        guest.owed.remove(&session);
        guest.standing.insert(session);
    }

    /// It is answered otherwise, or what stood is over.
    pub fn ended(&mut self, now: Micros, id: ClientId, session: u64, timers: &mut Timers<Due>) {
        let Some(guest) = self.guests.get_mut(&id) else { return };
        let was = guest.owed.remove(&session) | guest.standing.remove(&session);
        if was && guest.has_none() && guest.due.is_none() {
            self.arm(now + KEPT, id, timers);
        }
    }

    /// Requests that are owed their answer on it.
    pub fn owed(&self, id: ClientId) -> Vec<u64> {
        self.guests.get(&id).map_or(Vec::new(), |guest| guest.owed.iter().copied().collect())
    }

    /// It has gone; the sessions that were its.
    pub fn left(&mut self, id: ClientId, timers: &mut Timers<Due>) -> Vec<u64> {
        let Some(guest) = self.guests.remove(&id) else { return Vec::new() };
        if let Some(due) = guest.due {
            timers.unset(due, Due::Silent(id));
        }
        guest.owed.into_iter().chain(guest.standing).collect()
    }

    /// It may have been silent long enough; tells whether it is to be closed.
    pub fn silent(&mut self, now: Micros, id: ClientId, timers: &mut Timers<Due>) -> bool {
        let Some(guest) = self.guests.get_mut(&id) else { return false };
        guest.due = None;
        if !guest.has_none() {
            return false;
        }
        let until = guest.spoke.map_or(guest.joined + FIRST_WORD, |at| at + KEPT);
        if until <= now {
            return true;
        }
        self.arm(until, id, timers);
        false
    }

    fn arm(&mut self, at: Micros, id: ClientId, timers: &mut Timers<Due>) {
        if let Some(guest) = self.guests.get_mut(&id) {
            guest.due = Some(at);
            timers.set(at, Due::Silent(id));
        }
    }
}
