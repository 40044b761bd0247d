//! Lines of a record, and the module's events and actions as they stand in them. Times are the front's clock,
//! microseconds.

use std::sync::Arc;

use salttally::interface::*;
use serde::{Deserialize, Serialize};

/// A line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// A front starts.
    Born(Born),
    /// An event and what the module answered.
    Step(Step),
}

/// A start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Born {
    /// When.
    pub at: Micros,
    /// Which front.
    pub front: String,
    /// Which of its starts.
    pub boot: u32,
    /// Seed of the module's draws.
    pub seed: u64,
}

/// An event and what the module answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// When.
    pub at: Micros,
    /// The event.
    pub told: Told,
    /// The actions.
    pub did: Vec<Done>,
}

impl Step {
    /// A step as it is recorded.
    pub fn new(at: Micros, event: &Event, actions: &[Action]) -> Step {
        Step { at, told: Told::from(event), did: actions.iter().map(Done::from).collect() }
    }

    /// The event as the module takes it.
    pub fn event(&self) -> Event {
        self.told.event()
    }
}

/// [`Event`] as recorded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Told {
    List { kind: String, boxes: Vec<Entry> },
    Request(Asked),
    Resumed { request: Asked, server: u32 },
    Started { session: String, server: u32, took: Micros },
    Ended { session: String, attempt: u32, server: u32, outcome: String, last: bool, report: Vec<f64> },
    InDoubt { session: String, server: u32 },
    Resolved { session: String, server: u32 },
    Left { session: String },
    Note { session: String, server: u32, kind: String, value: f64 },
    Probed { server: u32, outcome: String, report: Vec<f64> },
    Peer { bytes: Vec<u8> },
    Wake { tag: u64 },
}

/// [`ServerEntry`] as recorded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct Entry {
    server: u32,
    zone: u32,
    kind: u32,
    cell: u32,
    state: String,
    units: f64,
    started: Option<Micros>,
}

/// [`Request`] as recorded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct Asked {
    pub session: String,
    pub class: usize,
    pub viewer: u64,
    pub title: u64,
    pub patience: Micros,
    pub length: Option<Micros>,
    pub first_cell: u32,
    pub cell_count: u32,
    pub top_rung: usize,
    pub moved: bool,
    pub again: bool,
}

/// [`Action`] as recorded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Done {
    SetUp { session: String, server: u32, time_out: Micros },
    SetRung { session: String, rung: usize },
    Move { session: String },
    Refuse { session: String, hold_off: Micros },
    Fail { session: String },
    Probe { server: u32 },
    FollowList,
    WakeAt { tag: u64, at: Micros },
    Log { text: String },
}

/// Names of a plain enum, there and back; the last stands for a name that is not known.
macro_rules! named {
    ($kind:ty, $to:ident, $from:ident, $($name:literal => $value:path),+; $other:path) => {
        fn $to(value: $kind) -> String {
            match value { $($value => $name,)+ }.to_owned()
        }
        fn $from(name: &str) -> $kind {
            match name { $($name => $value,)+ _ => $other }
        }
    };
}
named!(ListKind, list_name, list_kind, "changes" => ListKind::Changes, "whole" => ListKind::Complete,
    "remembered" => ListKind::Cached, "lost" => ListKind::FetchFailed; ListKind::FetchFailed);
named!(ServerState, state_name, state, "ready" => ServerState::Ready, "draining" => ServerState::Draining,
    "gone" => ServerState::Removed; ServerState::Removed);
named!(Outcome, outcome_name, outcome, "ok" => Outcome::Ok, "failed" => Outcome::Failed,
    "full" => Outcome::Full, "timed_out" => Outcome::TimedOut, "no_connection" => Outcome::NoConnection,
    "broken" => Outcome::Broken, "withdrawn" => Outcome::Withdrawn, "not_sent" => Outcome::NotSent;
    Outcome::Failed);

fn name(id: &SessionId) -> String {
    id.0.to_string()
}

fn id(name: &str) -> SessionId {
    SessionId(Arc::from(name))
}

impl From<&Request> for Asked {
    fn from(request: &Request) -> Asked {
        Asked {
            session: name(&request.session),
            class: request.class,
            viewer: request.viewer.0,
            title: request.title.0,
            patience: request.patience,
            length: request.length_hint,
            first_cell: request.first_cell,
            cell_count: request.cell_count,
            top_rung: request.top_rung,
            moved: request.moved,
            again: request.returning,
        }
    }
}

impl Asked {
    fn request(&self) -> Request {
        Request {
            session: id(&self.session),
            class: self.class,
            viewer: ViewerId(self.viewer),
            title: TitleId(self.title),
            patience: self.patience,
            length_hint: self.length,
            first_cell: self.first_cell,
            cell_count: self.cell_count,
            top_rung: self.top_rung,
            moved: self.moved,
            returning: self.again,
        }
    }
}

impl From<&Event> for Told {
    fn from(event: &Event) -> Told {
        match event {
            Event::Servers(kind, entries) => {
                let entry = |entry: &ServerEntry| Entry {
                    server: entry.server.0,
                    zone: entry.zone,
                    kind: entry.kind,
                    cell: entry.cell,
                    state: state_name(entry.state),
                    units: entry.units,
                    started: entry.started,
                };
                Told::List { kind: list_name(*kind), boxes: entries.iter().map(entry).collect() }
            }
            Event::Request(request) => Told::Request(request.into()),
            Event::Resumed(request, server) => Told::Resumed { request: request.into(), server: server.0 },
            Event::Started { session, server, took } => {
                Told::Started { session: name(session), server: server.0, took: *took }
            }
            Event::Ended { session, attempt, server, outcome, last, report } => Told::Ended {
                session: name(session),
                attempt: *attempt,
                server: server.0,
                outcome: outcome_name(*outcome),
                last: *last,
                report: report.clone(),
            },
            Event::InDoubt { session, server } => Told::InDoubt { session: name(session), server: server.0 },
            Event::Resolved { session, server } => {
                Told::Resolved { session: name(session), server: server.0 }
            }
            Event::ClientLeft(session) => Told::Left { session: name(session) },
            Event::Note { session, server, note } => {
                let (kind, value) = match note {
                    Note::Delivered(share) => ("delivered", *share),
                    Note::Rung(rung) => ("rung", *rung as f64),
                    Note::Link(asked) => ("link", *asked),
                    Note::Uplink(asked) => ("uplink", *asked),
                };
                Told::Note { session: name(session), server: server.0, kind: kind.to_owned(), value }
            }
            Event::Probed { server, outcome, report } => {
                Told::Probed { server: server.0, outcome: outcome_name(*outcome), report: report.clone() }
            }
            Event::Peer(bytes) => Told::Peer { bytes: bytes.clone() },
            Event::Wake(tag) => Told::Wake { tag: *tag },
        }
    }
}

impl Told {
    /// The event as the module takes it.
    pub fn event(&self) -> Event {
        match self {
            Told::List { kind, boxes } => {
                let entry = |entry: &Entry| ServerEntry {
                    server: ServerId(entry.server),
                    zone: entry.zone,
                    kind: entry.kind,
                    cell: entry.cell,
                    state: state(&entry.state),
                    units: entry.units,
                    started: entry.started,
                };
                Event::Servers(list_kind(kind), boxes.iter().map(entry).collect())
            }
            Told::Request(asked) => Event::Request(asked.request()),
            Told::Resumed { request, server } => Event::Resumed(request.request(), ServerId(*server)),
            Told::Started { session, server, took } => {
                Event::Started { session: id(session), server: ServerId(*server), took: *took }
            }
            Told::Ended { session, attempt, server, outcome: how, last, report } => Event::Ended {
                session: id(session),
                attempt: *attempt,
                server: ServerId(*server),
                outcome: outcome(how),
                last: *last,
                report: report.clone(),
            },
            Told::InDoubt { session, server } => {
                Event::InDoubt { session: id(session), server: ServerId(*server) }
            }
            Told::Resolved { session, server } => {
                Event::Resolved { session: id(session), server: ServerId(*server) }
            }
            Told::Left { session } => Event::ClientLeft(id(session)),
            Told::Note { session, server, kind, value } => {
                let note = match kind.as_str() {
                    "delivered" => Note::Delivered(*value),
                    "rung" => Note::Rung(*value as usize),
                    "uplink" => Note::Uplink(*value),
                    _ => Note::Link(*value),
                };
                Event::Note { session: id(session), server: ServerId(*server), note }
            }
            Told::Probed { server, outcome: how, report } => {
                Event::Probed { server: ServerId(*server), outcome: outcome(how), report: report.clone() }
            }
            Told::Peer { bytes } => Event::Peer(bytes.clone()),
            Told::Wake { tag } => Event::Wake(*tag),
        }
    }
}

impl From<&Action> for Done {
    fn from(action: &Action) -> Done {
        match action {
            Action::SetUp(session, server, time_out) => {
                Done::SetUp { session: name(session), server: server.0, time_out: *time_out }
            }
            Action::SetRung(session, rung) => Done::SetRung { session: name(session), rung: *rung },
            Action::Move(session) => Done::Move { session: name(session) },
            Action::Refuse(session, wait) => Done::Refuse { session: name(session), hold_off: *wait },
            Action::Fail(session) => Done::Fail { session: name(session) },
            Action::Probe(server) => Done::Probe { server: server.0 },
            Action::FollowList => Done::FollowList,
            Action::WakeAt(tag, at) => Done::WakeAt { tag: *tag, at: *at },
            Action::Log(text) => Done::Log { text: text.clone() },
        }
    }
}

/// Writes a line, without its end.
pub fn write(line: &Line) -> String {
    // Plain data of our own: writing it does not fail.
    serde_json::to_string(line).unwrap_or_default()
}
