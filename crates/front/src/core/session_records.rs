//! Durable session records as other fronts replicate them, and what waits for their replication; see
//! `docs/design/copies.md`.
//!
//! The front that takes over may have other indices for classes and titles in its settings, so records
//! contain names.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use salttally::interface::{Micros, ServerId, SessionId, TitleId, ViewerId};
use salttally_copies::core::{incarnation_of, Incarnation, Name, RecordKey};
use serde::{Deserialize, Serialize};

use super::agreed_rules::SettingsNames;
use super::session::Attempt;
use super::{BoxRequest, OpenRequest};

/// The box and attempt number of a session or a planned set-up.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct AttemptLocation {
    /// Number of the box.
    pub server: u32,
    /// Address on which the box listens.
    pub address: SocketAddr,
    /// Attempt number at the box.
    pub attempt: u32,
}

impl AttemptLocation {
    /// The location of an attempt.
    pub fn of(attempt: &Attempt) -> AttemptLocation {
        AttemptLocation { server: attempt.server.0, address: attempt.address, attempt: attempt.wire_number }
    }
}

/// An open request with class and title by name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedRequest {
    viewer: u64,
    #[serde(rename = "firm")]
    tenant: Option<u64>,
    title: String,
    /// Name of the class.
    pub class: String,
    cells: (u32, u32),
    top_rung: u32,
    patience: Micros,
    length: Option<Micros>,
}

/// A session record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SessionRecord {
    /// A set-up that must happen at most once may be sent from now on. It may have been executed, and nobody
    /// ever sends it again.
    #[serde(rename = "Intends")]
    SetUpIntended(AttemptLocation, RecordedRequest),
    /// The viewer is told that the session plays there, at this rung.
    Plays(AttemptLocation, u32, RecordedRequest),
    /// A release that the box has not confirmed yet.
    #[serde(rename = "Owes")]
    ReleasePending(AttemptLocation),
    /// The viewer was told to reopen the session, within this time, us.
    Moved(u64, Micros),
}

/// Work that waits until a session record is replicated.
#[derive(Clone, Debug, PartialEq)]
pub enum AwaitingRecord {
    /// The set-up of this attempt.
    SetUp(u32, Box<(ServerId, SocketAddr, BoxRequest)>),
    /// The answer that the session plays: attempt number, set-up time, load report, and whether the box has
    /// ended the session since.
    Answer(u32, Micros, Vec<f64>, bool),
}

/// Another front, which may be asked for a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerFront {
    /// Whether the front is in the membership view.
    pub in_view: bool,
    /// Address for clients.
    pub client_address: Option<SocketAddr>,
}

/// State of session record replication and takeovers.
#[derive(Clone, Debug)]
pub struct Replication {
    names: Arc<SettingsNames>,
    /// Current incarnation of this front.
    pub incarnation: Incarnation,
    /// Incarnations that this front has taken over, with their epochs.
    pub takeover_epochs: BTreeMap<Incarnation, u64>,
    /// When session records of each of them were last received.
    pub takeover_times: BTreeMap<Incarnation, Micros>,
    /// Work that waits for the replication of a session record.
    pub awaiting_record: BTreeMap<SessionId, AwaitingRecord>,
    /// Sessions that play according to their records and that their boxes have not confirmed yet.
    pub unconfirmed: BTreeSet<SessionId>,
    /// Set-ups by other fronts that may have been executed.
    pub possible_set_ups: BTreeMap<SessionId, (AttemptLocation, OpenRequest)>,
    /// Boxes that are being asked for the sessions of an incarnation, with the number of failed tries.
    pub pending_claims: BTreeMap<(Incarnation, ServerId), u32>,
    /// When this front last had a lease.
    pub last_leased_at: Micros,
    /// When the known set of other fronts last changed.
    pub peers_changed_at: Micros,
    /// Other fronts.
    pub peers: BTreeMap<Name, PeerFront>,
}

impl Replication {
    /// Creates the state of a front with this incarnation.
    pub fn new(names: Arc<SettingsNames>, incarnation: Incarnation) -> Replication {
        Replication {
            names,
            incarnation,
            takeover_epochs: BTreeMap::new(),
            takeover_times: BTreeMap::new(),
            awaiting_record: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            possible_set_ups: BTreeMap::new(),
            pending_claims: BTreeMap::new(),
            last_leased_at: 0,
            peers_changed_at: 0,
            peers: BTreeMap::new(),
        }
    }

    /// This front's epoch for a session: 0 for its own incarnation; `None` if another front has the session.
    pub fn epoch_of(&self, id: &SessionId) -> Option<u64> {
        let incarnation = incarnation_of(&id.0)?;
        if *incarnation == *self.incarnation {
            return Some(0);
        }
        self.takeover_epochs.get(incarnation).copied()
    }

    /// Converts an open request to names; `None` if the settings have no name for its class or title.
    pub fn to_record(&self, request: &OpenRequest) -> Option<RecordedRequest> {
        Some(RecordedRequest {
            viewer: request.viewer.0,
            tenant: request.tenant.map(|tenant| tenant.0),
            title: self.names.titles.get(&request.title)?.clone(),
            class: self.names.classes.get(request.class)?.clone(),
            cells: (request.first_cell, request.cell_count),
            top_rung: u32::try_from(request.top_rung).unwrap_or(u32::MAX),
            patience: request.patience,
            length: request.length_hint,
        })
    }

    /// Converts a recorded request to this front's settings; `None` if they have no such class or title.
    pub fn from_record(&self, request: &RecordedRequest) -> Option<OpenRequest> {
        let title: TitleId =
            self.names.titles.iter().find(|(_, name)| **name == request.title).map(|(id, _)| *id)?;
        Some(OpenRequest {
            viewer: ViewerId(request.viewer),
            tenant: request.tenant.map(ViewerId),
            title,
            class: self.names.classes.iter().position(|name| *name == request.class)?,
            first_cell: request.cells.0,
            cell_count: request.cells.1,
            top_rung: request.top_rung as usize,
            patience: request.patience,
            length_hint: request.length,
            returned: false,
            moved_from: None,
        })
    }
}

/// Record key of a session.
pub fn session_key(id: &SessionId) -> RecordKey {
    Arc::clone(&id.0)
}

/// Record key of an unconfirmed release; one for each attempt.
pub fn release_key(id: &SessionId, wire_number: u32) -> RecordKey {
    RecordKey::from(format!("{}/{wire_number}", id.0))
}

/// Record key of a moved session.
pub fn moved_key(id: &SessionId) -> RecordKey {
    RecordKey::from(format!("{}/moved", id.0))
}

/// The session that a record key belongs to.
pub fn session_of_key(key: &str) -> SessionId {
    SessionId(Arc::from(key.split('/').next().unwrap_or(key)))
}

/// Encodes a session record.
pub fn encode(record: &SessionRecord) -> Vec<u8> {
    // No field can fail to be encoded.
    postcard::to_allocvec(record).unwrap_or_default()
}

/// Decodes a session record; `None` if another version of this program encoded it.
pub fn decode(bytes: &[u8]) -> Option<SessionRecord> {
    postcard::from_bytes(bytes).ok()
}
