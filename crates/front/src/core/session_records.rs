//! What a front promises, in the form in which copies keep it, and what waits for it; see `docs/design/copies.md`.
//!
//! The one that goes on may have other places for classes and titles in its settings: a promise names them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use salttally::interface::{Micros, ServerId, SessionId, TitleId, ViewerId};
use salttally_copies::core::{life_of, Key, Life, Name};
use serde::{Deserialize, Serialize};

use super::agreed_rules::SettingsNames;
use super::session::Attempt;
use super::{BoxRequest, OpenRequest};

/// Where something is, or is to be, at a box.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Place {
    /// Number of the box.
    pub server: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// The attempt, as the box knows it.
    pub attempt: u32,
}

impl Place {
    /// Of an attempt.
    pub fn of(attempt: &Attempt) -> Place {
        Place { server: attempt.server.0, address: attempt.address, attempt: attempt.wire_number }
    }
}

/// What was asked for, by names.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Wish {
    viewer: u64,
    firm: Option<u64>,
    title: String,
    /// Name of its class.
    pub class: String,
    cells: (u32, u32),
    top_rung: u32,
    patience: Micros,
    length: Option<Micros>,
}

/// One promise.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Promise {
    /// A set-up that must not be made twice may leave from now on: it may have run, and nobody ever sends it again.
    Intends(Place, Wish),
    /// The viewer is told that it plays there, at this rung.
    Plays(Place, u32, Wish),
    /// The box is still to be told that this is over.
    Owes(Place),
    /// The viewer was told to open it anew, and is expected for so long, us.
    Moved(u64, Micros),
}

/// What waits until a promise counts.
#[derive(Clone, Debug, PartialEq)]
pub enum Waits {
    /// This set-up, of this attempt.
    SetUp(u32, Box<(ServerId, SocketAddr, BoxRequest)>),
    /// The answer that it plays; the box took so long, told this, and has ended it since or not.
    Answer(u32, Micros, Vec<f64>, bool),
}

/// A front among those that may be asked for a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerFront {
    /// It is in the view.
    pub in_view: bool,
    /// Where players reach it.
    pub client_address: Option<SocketAddr>,
}

/// What a ledger keeps of its promises, where they are copied.
#[derive(Clone, Debug)]
pub struct Keeping {
    names: Arc<SettingsNames>,
    /// This front's own life.
    pub own: Life,
    /// Lives that it goes on with, and by which epoch.
    pub epochs: BTreeMap<Life, u64>,
    /// When it was last handed something of each.
    pub adopted: BTreeMap<Life, Micros>,
    /// What waits.
    pub waits: BTreeMap<SessionId, Waits>,
    /// Sessions that play for all that is known, until their boxes have said so.
    pub unsure: BTreeSet<SessionId>,
    /// Set-ups of others of which nothing is known but that they may have run.
    pub fates: BTreeMap<SessionId, (Place, OpenRequest)>,
    /// Boxes that are asked what they hold of a life, and how often in vain.
    pub claims: BTreeMap<(Life, ServerId), u32>,
    /// When this front last had a lease.
    pub leased: Micros,
    /// When what is known of other fronts last changed.
    pub moved_at: Micros,
    /// Other fronts.
    pub others: BTreeMap<Name, PeerFront>,
}

impl Keeping {
    /// Of a front that lives so.
    pub fn new(names: Arc<SettingsNames>, own: Life) -> Keeping {
        Keeping {
            names,
            own,
            epochs: BTreeMap::new(),
            adopted: BTreeMap::new(),
            waits: BTreeMap::new(),
            unsure: BTreeSet::new(),
            fates: BTreeMap::new(),
            claims: BTreeMap::new(),
            leased: 0,
            moved_at: 0,
            others: BTreeMap::new(),
        }
    }

    /// The epoch that this front has for a session: its own life's is 0; nothing where the session is another's.
    pub fn epoch(&self, id: &SessionId) -> Option<u64> {
        let life = life_of(&id.0)?;
        if *life == *self.own {
            return Some(0);
        }
        self.epochs.get(life).copied()
    }

    /// What was asked for, by names; nothing where the settings have none for it.
    pub fn wish(&self, opening: &OpenRequest) -> Option<Wish> {
        Some(Wish {
            viewer: opening.viewer.0,
            firm: opening.tenant.map(|firm| firm.0),
            title: self.names.titles.get(&opening.title)?.clone(),
            class: self.names.classes.get(opening.class)?.clone(),
            cells: (opening.first_cell, opening.cell_count),
            top_rung: u32::try_from(opening.top_rung).unwrap_or(u32::MAX),
            patience: opening.patience,
            length: opening.length_hint,
        })
    }

    /// The same in the places of this front's settings; nothing where they know no such class or title.
    pub fn opening(&self, wish: &Wish) -> Option<OpenRequest> {
        let title: TitleId =
            self.names.titles.iter().find(|(_, name)| **name == wish.title).map(|(id, _)| *id)?;
        Some(OpenRequest {
            viewer: ViewerId(wish.viewer),
            tenant: wish.firm.map(ViewerId),
            title,
            class: self.names.classes.iter().position(|name| *name == wish.class)?,
            first_cell: wish.cells.0,
            cell_count: wish.cells.1,
            top_rung: wish.top_rung as usize,
            patience: wish.patience,
            length_hint: wish.length,
            returned: false,
            moved_from: None,
        })
    }
}

/// Key under which a session's own promise stands.
pub fn key(id: &SessionId) -> Key {
    Arc::clone(&id.0)
}

/// Key of a release that is owed, one for each attempt.
pub fn owed(id: &SessionId, wire: u32) -> Key {
    Key::from(format!("{}/{wire}", id.0))
}

/// Key of a session that was moved.
pub fn moved(id: &SessionId) -> Key {
    Key::from(format!("{}/moved", id.0))
}

/// The session of a key.
pub fn session(key: &str) -> SessionId {
    SessionId(Arc::from(key.split('/').next().unwrap_or(key)))
}

/// A promise as bytes.
pub fn encode(promise: &Promise) -> Vec<u8> {
    // Nothing in it can fail to be encoded.
    postcard::to_allocvec(promise).unwrap_or_default()
}

/// A promise from bytes; nothing where another version of this program made them.
pub fn decode(bytes: &[u8]) -> Option<Promise> {
    postcard::from_bytes(bytes).ok()
}
