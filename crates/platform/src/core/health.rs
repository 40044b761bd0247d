//! Whether a box that holds sessions is there. A box that dies or vanishes cannot say so, and its sessions are cut:
//! their viewers must be released within seconds, and come again.
//!
//! What is heard shows life. After a while of silence, and when its last connection has gone, a new connection is
//! made: made, the box lives (and says on it what ended meanwhile); refused twice, its process is dead; not made for
//! long enough, the machine is gone or cut off. A look costs the box nothing but the handshake.

use std::collections::BTreeMap;

use salttally::interface::{Micros, ServerId};

use super::DialError;

/// Silence after which a new connection is made.
const QUIET: Micros = 2_000_000;
/// From the first that was not made, a box that cannot be reached is taken for lost after this.
const UNREACHED: Micros = 1_500_000;
/// Pause between two of them.
const PAUSE: Micros = 150_000;
/// Refusals in a row by which a process is taken for dead.
const REFUSALS: u32 = 2;

#[derive(Clone, Debug, Default)]
struct Seen {
    sessions: usize,
    heard: Micros,
    refused: u32,
    failing: Option<Micros>,
    /// When the next look is due, if one is.
    look: Option<Micros>,
}

/// What a failed dial means for what stands at the box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing yet, or nothing stands there.
    Fine,
    /// Look again then.
    Again(Micros),
    /// It is lost.
    Lost,
}

/// What a look asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Look {
    /// Make a new connection.
    pub dial: bool,
    /// Look again then.
    pub again: Option<Micros>,
}

/// The boxes that hold sessions.
#[derive(Clone, Debug)]
pub struct Health {
    boxes: BTreeMap<ServerId, Seen>,
    connect_within: Micros,
}

impl Health {
    /// None yet. A dial that is not made within this time has failed.
    pub fn new(connect_within: Micros) -> Health {
        Health { boxes: BTreeMap::new(), connect_within }
    }

    /// A box holds one more session. Tells when to look, if no look is due.
    pub fn holds(&mut self, now: Micros, server: ServerId) -> Option<Micros> {
        let seen = self.boxes.entry(server).or_insert_with(|| Seen { heard: now, ..Seen::default() });
        seen.sessions += 1;
        if seen.look.is_some() {
            return None;
        }
        seen.look = Some(now + QUIET);
        seen.look
    }

    /// It holds one less.
    pub fn released(&mut self, server: ServerId) {
        if let Some(seen) = self.boxes.get_mut(&server) {
            seen.sessions = seen.sessions.saturating_sub(1);
            if seen.sessions == 0 {
                self.boxes.remove(&server);
            }
        }
    }

    /// Something was heard of it, or a connection made.
    pub fn heard(&mut self, now: Micros, server: ServerId) {
        if let Some(seen) = self.boxes.get_mut(&server) {
            (seen.heard, seen.refused, seen.failing) = (now, 0, None);
        }
    }

    /// A look is due, or `gone`: its last connection has ended, or there was none yet. One that was closed here to make
    /// room says nothing of the box.
    pub fn look(&mut self, now: Micros, server: ServerId, gone: bool) -> Look {
        let Some(seen) = self.boxes.get_mut(&server) else { return Look::default() };
        let quiet = seen.heard + QUIET <= now;
        let dial = gone || quiet || seen.failing.is_some();
        // A dial under way ends by itself and is judged then.
        let next = if dial { now + self.connect_within + PAUSE } else { seen.heard + QUIET };
        if seen.look.is_some_and(|due| due > now && due <= next) {
            return Look { dial, again: None };
        }
        seen.look = Some(next);
        Look { dial, again: Some(next) }
    }

    /// A dial has failed.
    pub fn failed(&mut self, now: Micros, server: ServerId, error: DialError) -> Verdict {
        let Some(seen) = self.boxes.get_mut(&server) else { return Verdict::Fine };
        let since = *seen.failing.get_or_insert(now);
        if error == DialError::Refused {
            seen.refused += 1;
        }
        if seen.refused >= REFUSALS || since + UNREACHED <= now {
            return Verdict::Lost;
        }
        seen.look = Some(now + PAUSE);
        Verdict::Again(now + PAUSE)
    }

    /// Sessions held and when the box was last heard of, by box.
    pub fn believed(&self) -> impl Iterator<Item = (ServerId, usize, Micros)> + '_ {
        self.boxes.iter().map(|(id, seen)| (*id, seen.sessions, seen.heard))
    }
}
