//! Lines of a record: the events and actions of the decision module in their recorded form. Times are in
//! microseconds of the front's clock.

use std::sync::Arc;

use salttally::interface::*;
use serde::{Deserialize, Serialize};

/// A line of a record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// The start of a front.
    #[serde(rename = "born")]
    Start(FrontStart),
    /// An event, with the actions that the decision module answered.
    Step(Step),
}

/// The start of a front.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FrontStart {
    /// Time of the start.
    pub at: Micros,
    /// Name of the front.
    pub front: String,
    /// Number that tells this start from earlier ones.
    pub boot: u32,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
}

/// An event, with the actions that the decision module answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// Time of the event.
    pub at: Micros,
    /// The event.
    #[serde(rename = "told")]
    pub event: RecordedEvent,
    /// The actions, in order.
    #[serde(rename = "did")]
    pub actions: Vec<RecordedAction>,
}

impl Step {
    /// Builds the recorded form of a step.
    pub fn new(at: Micros, event: &Event, actions: &[Action]) -> Step {
        Step {
            at,
            event: RecordedEvent::from(event),
            actions: actions.iter().map(RecordedAction::from).collect(),
        }
    }

    /// The event in the form that the decision module takes.
    pub fn to_event(&self) -> Event {
        self.event.to_event()
    }
}

/// Recorded form of [`Event`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum RecordedEvent {
    List { kind: String, boxes: Vec<RecordedServer> },
    Request(RecordedRequest),
    Resumed { request: RecordedRequest, server: u32 },
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

/// Recorded form of [`ServerEntry`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct RecordedServer {
    server: u32,
    zone: u32,
    kind: u32,
    cell: u32,
    state: String,
    units: f64,
    started: Option<Micros>,
}

/// Recorded form of [`Request`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct RecordedRequest {
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

/// Recorded form of [`Action`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum RecordedAction {
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

/// Defines the functions from an enum to its names and back. The value after the semicolon stands for unknown
/// names.
macro_rules! enum_names {
    ($kind:ty, $to:ident, $from:ident, $($name:literal => $value:path),+; $other:path) => {
        fn $to(value: $kind) -> String {
            match value { $($value => $name,)+ }.to_owned()
        }
        fn $from(name: &str) -> $kind {
            match name { $($name => $value,)+ _ => $other }
        }
    };
}
enum_names!(ListKind, list_name, list_kind, "changes" => ListKind::Changes, "whole" => ListKind::Complete,
    "remembered" => ListKind::Cached, "lost" => ListKind::FetchFailed; ListKind::FetchFailed);
enum_names!(ServerState, state_name, state, "ready" => ServerState::Ready, "draining" => ServerState::Draining,
    "gone" => ServerState::Removed; ServerState::Removed);
enum_names!(Outcome, outcome_name, outcome, "ok" => Outcome::Ok, "failed" => Outcome::Failed,
    "full" => Outcome::Full, "timed_out" => Outcome::TimedOut, "no_connection" => Outcome::NoConnection,
    "broken" => Outcome::Broken, "withdrawn" => Outcome::Withdrawn, "not_sent" => Outcome::NotSent;
    Outcome::Failed);

fn session_name(id: &SessionId) -> String {
    id.0.to_string()
}

fn session_id(name: &str) -> SessionId {
    SessionId(Arc::from(name))
}

impl From<&Request> for RecordedRequest {
    fn from(request: &Request) -> RecordedRequest {
        RecordedRequest {
            session: session_name(&request.session),
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

impl RecordedRequest {
    fn to_request(&self) -> Request {
        Request {
            session: session_id(&self.session),
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
            earlier_attempts: 0,
        }
    }
}

impl From<&Event> for RecordedEvent {
    fn from(event: &Event) -> RecordedEvent {
        match event {
            Event::Servers(kind, entries) => {
                let entry = |entry: &ServerEntry| RecordedServer {
                    server: entry.server.0,
                    zone: entry.zone,
                    kind: entry.kind,
                    cell: entry.cell,
                    state: state_name(entry.state),
                    units: entry.units,
                    started: entry.started,
                };
                RecordedEvent::List { kind: list_name(*kind), boxes: entries.iter().map(entry).collect() }
            }
            Event::Request(request) => RecordedEvent::Request(request.into()),
            Event::Resumed(request, server) => {
                RecordedEvent::Resumed { request: request.into(), server: server.0 }
            }
            Event::Started { session, server, took } => {
                RecordedEvent::Started { session: session_name(session), server: server.0, took: *took }
            }
            Event::Ended { session, attempt, server, outcome, last, report } => RecordedEvent::Ended {
                session: session_name(session),
                attempt: *attempt,
                server: server.0,
                outcome: outcome_name(*outcome),
                last: *last,
                report: report.clone(),
            },
            Event::InDoubt { session, server } => {
                RecordedEvent::InDoubt { session: session_name(session), server: server.0 }
            }
            Event::Resolved { session, server } => {
                RecordedEvent::Resolved { session: session_name(session), server: server.0 }
            }
            Event::ClientLeft(session) => RecordedEvent::Left { session: session_name(session) },
            Event::Note { session, server, note } => {
                let (kind, value) = match note {
                    Note::Delivered(share) => ("delivered", *share),
                    Note::Rung(rung) => ("rung", *rung as f64),
                    Note::Link(asked) => ("link", *asked),
                    Note::Uplink(asked) => ("uplink", *asked),
                };
                RecordedEvent::Note {
                    session: session_name(session),
                    server: server.0,
                    kind: kind.to_owned(),
                    value,
                }
            }
            Event::Probed { server, outcome, report } => RecordedEvent::Probed {
                server: server.0,
                outcome: outcome_name(*outcome),
                report: report.clone(),
            },
            Event::Peer(bytes) => RecordedEvent::Peer { bytes: bytes.clone() },
            Event::Wake(tag) => RecordedEvent::Wake { tag: *tag },
        }
    }
}

impl RecordedEvent {
    /// The event in the form that the decision module takes.
    pub fn to_event(&self) -> Event {
        match self {
            RecordedEvent::List { kind, boxes } => {
                let entry = |entry: &RecordedServer| ServerEntry {
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
            RecordedEvent::Request(request) => Event::Request(request.to_request()),
            RecordedEvent::Resumed { request, server } => {
                Event::Resumed(request.to_request(), ServerId(*server))
            }
            RecordedEvent::Started { session, server, took } => {
                Event::Started { session: session_id(session), server: ServerId(*server), took: *took }
            }
            RecordedEvent::Ended { session, attempt, server, outcome: name, last, report } => Event::Ended {
                session: session_id(session),
                attempt: *attempt,
                server: ServerId(*server),
                outcome: outcome(name),
                last: *last,
                report: report.clone(),
            },
            RecordedEvent::InDoubt { session, server } => {
                Event::InDoubt { session: session_id(session), server: ServerId(*server) }
            }
            RecordedEvent::Resolved { session, server } => {
                Event::Resolved { session: session_id(session), server: ServerId(*server) }
            }
            RecordedEvent::Left { session } => Event::ClientLeft(session_id(session)),
            RecordedEvent::Note { session, server, kind, value } => {
                let note = match kind.as_str() {
                    "delivered" => Note::Delivered(*value),
                    "rung" => Note::Rung(*value as usize),
                    "uplink" => Note::Uplink(*value),
                    _ => Note::Link(*value),
                };
                Event::Note { session: session_id(session), server: ServerId(*server), note }
            }
            RecordedEvent::Probed { server, outcome: name, report } => {
                Event::Probed { server: ServerId(*server), outcome: outcome(name), report: report.clone() }
            }
            RecordedEvent::Peer { bytes } => Event::Peer(bytes.clone()),
            RecordedEvent::Wake { tag } => Event::Wake(*tag),
        }
    }
}

impl From<&Action> for RecordedAction {
    fn from(action: &Action) -> RecordedAction {
        match action {
            Action::SetUp(session, server, time_out) => RecordedAction::SetUp {
                session: session_name(session),
                server: server.0,
                time_out: *time_out,
            },
            Action::SetRung(session, rung) => {
                RecordedAction::SetRung { session: session_name(session), rung: *rung }
            }
            Action::Move(session) => RecordedAction::Move { session: session_name(session) },
            Action::Refuse(session, wait) => {
                RecordedAction::Refuse { session: session_name(session), hold_off: *wait }
            }
            Action::Fail(session) => RecordedAction::Fail { session: session_name(session) },
            Action::Probe(server) => RecordedAction::Probe { server: server.0 },
            Action::FollowList => RecordedAction::FollowList,
            Action::WakeAt(tag, at) => RecordedAction::WakeAt { tag: *tag, at: *at },
            Action::Log(text) => RecordedAction::Log { text: text.clone() },
        }
    }
}

/// Writes a line, without a line end.
pub fn write_line(line: &Line) -> String {
    // Serializing plain data does not fail.
    serde_json::to_string(line).unwrap_or_default()
}
