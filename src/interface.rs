//! The interface between a front and its controller: settings, events and actions. No decisions are made here.
//!
//! Times are whole microseconds of the front's own clock; rates, links and uplinks are in kB/s.

use std::sync::Arc;

/// A moment on the front's clock, or a span of time, in microseconds.
pub type Micros = u64;

/// A session: one request of a viewer to play a title. A viewer that returns has a new session.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub Arc<str>);

/// A media server. A restarted process keeps the id; a replacement machine has a new one.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// A viewer; stays the same when the viewer returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ViewerId(pub u64);

/// A title that can be played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TitleId(pub u64);

/// How often a set-up of a class may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: may be set up again without harm.
    Safe,
    /// May be set up again only within a group of servers and for a limited time.
    Deduplicated,
    /// At most once, as it is paid for at set-up: may be set up again only if no earlier attempt can have run.
    Once,
}

/// Scope in which servers recognise a repeated set-up of a deduplicated class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Any server.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// A class of session.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Target time from the request until the session plays.
    pub aim: Micros,
    /// How often a set-up may take effect.
    pub effect: Effect,
    /// Servers that recognise a repeated set-up.
    pub group: Group,
    /// Time for which they recognise it.
    pub window: Micros,
    /// Worth of one second of play at a rung of worth 1.
    pub gain: f64,
    /// Lowest rung that may be set.
    pub floor: usize,
    /// Highest rung of the class.
    pub top: usize,
    /// Factor on the rates of the ladder.
    pub rate_factor: f64,
    /// Maximum number of sessions of one title on a front; 0 means no limit.
    pub seats: usize,
    /// Whether its titles are live, so that viewers share a stream.
    pub live: bool,
}

/// One step of the ladder of rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rung {
    /// Rate in kB/s.
    pub kb: f64,
    /// Share of the full worth that a session earns at this rung.
    pub worth: f64,
}

/// A limit on retries: attempts beyond each session's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Length of the sliding window.
    pub window: Micros,
    /// Retries that any window may hold.
    pub free: f64,
    /// Additional retries per session requested in the window.
    pub share: f64,
}

/// The meaning of a field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Number of streams that the server runs or sets up.
    Streams,
    /// Demand on the link as a share of its capacity, capped at 1.
    LinkCapped,
    /// Demand on the link as a share of its capacity; may exceed 1.
    Link,
    /// The same for the uplink of the rack.
    Uplink,
    /// A field that the controller does not use.
    Other,
}

/// The settings that a front gets at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of fronts.
    pub fronts: u32,
    /// Zone of this front.
    pub zone: u32,
    /// The classes of session; a request names its class by position.
    pub classes: Vec<Class>,
    /// The ladder of rates, lowest first.
    pub ladder: Vec<Rung>,
    /// Number of cells in the ring.
    pub cells: u32,
    /// Number of racks; a server's rack is its cell modulo this. 0 if servers are not grouped in racks.
    pub racks: u32,
    /// Approximate link capacity of a server per unit of its weight, in kB/s.
    pub link_kb_per_unit: f64,
    /// Total link capacity of all servers at the start, in kB/s.
    pub links_kb: f64,
    /// Mean uplink capacity of a rack, in kB/s; 0 if uplinks are not limited.
    pub uplink_kb: f64,
    /// Maximum number of streams, by kind of server.
    pub kind_streams: Vec<u32>,
    /// Link load from which a server turns set-ups away; 0 means never.
    pub refuses_from: f64,
    /// Time between link notes on a playing session; 0 means that there are none.
    pub note_interval: Micros,
    /// Age of a note on arrival.
    pub note_age: Micros,
    /// Share of the rate that a further viewer of a live title adds to the load; 1 is the full rate.
    pub shared_adds: f64,
    /// Price of a change of rung, in seconds of worth.
    pub change_cost_s: f64,
    /// Fields of a load report, in order; empty if servers send none.
    pub reports: Vec<ReportField>,
    /// Maximum number of attempts per session.
    pub max_attempts: u32,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Price of a probe, as a share of a session's worth.
    pub probe_price: f64,
    /// Longest hold-off that clients respect; 0 if they are given none.
    pub max_hold_off: Micros,
    /// Time after the notice of a drain within which set-ups must stop.
    pub drain_grace: Micros,
    /// Longest time from a server's start until it is warm.
    pub warm_up: Micros,
    /// Share of its normal pace of set-ups that a server takes right after its start.
    pub cold_from: f64,
    /// Multiple of its pace at which a cold server fails.
    pub fall_multiple: f64,
    /// Time for which that pace must last for the server to fail.
    pub fall_window: Micros,
    /// Whether the front must ask for the server list.
    pub list_on_demand: bool,
    /// A front that must ask for the list is expected to know each change this long after it could have asked.
    pub ask_within: Micros,
    /// Limit on retries, if any.
    pub budget: Option<Budget>,
    /// Price of a move, as a share of a session's worth.
    pub move_price: f64,
    /// Price of serving a session from another zone, as a share of its worth.
    pub cross_price: f64,
}

/// State of a listed server.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new sessions.
    #[default]
    Ready,
    /// Completes its sessions and accepts no new ones.
    Draining,
    /// No longer in the fleet.
    Removed,
}

/// An entry of the server list.
#[derive(Default, Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Zone of the server.
    pub zone: u32,
    /// Kind of the server, as an index into [`Settings::kind_streams`].
    pub kind: u32,
    /// Cell of the server.
    pub cell: u32,
    /// State of the server.
    pub state: ServerState,
    /// Weight of the server; its link has [`Settings::link_kb_per_unit`] per unit.
    pub units: f64,
    /// Latest start of its process, if recent.
    pub started: Option<Micros>,
}

/// What an event with a server list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// All entries.
    Complete,
    /// All entries as this front had them before a restart; they may be out of date.
    Cached,
    /// A request for the list failed.
    FetchFailed,
}

/// A session to be set up, or one that already plays when the front starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the session.
    pub session: SessionId,
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// The viewer.
    pub viewer: ViewerId,
    /// The title.
    pub title: TitleId,
    /// Time after which the client stops waiting.
    pub patience: Micros,
    /// Estimate of how long the title will be watched.
    pub length_hint: Option<Micros>,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Number of consecutive cells that hold the title.
    pub cell_count: u32,
    /// Highest rung that the viewer's player supports.
    pub top_rung: usize,
    /// Whether this front moved the viewer's previous session.
    pub moved: bool,
    /// Whether the viewer has asked before.
    pub returning: bool,
    /// Number of attempts that were made for a first copy of this request, which is over.
    pub earlier_attempts: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The session was served to its end.
    Ok,
    /// The server answered with an error; the attempt may have run.
    Failed,
    /// The server turned it away unprocessed, as it is full or draining.
    Full,
    /// No answer in time; the attempt may have run.
    TimedOut,
    /// No connection could be made; the attempt never ran.
    NoConnection,
    /// The connection broke; the attempt may have run.
    Broken,
    /// The front withdrew the attempt; it may have run.
    Withdrawn,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// The content of a server's note on a playing session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share of their rates that sessions at the server got recently.
    Delivered(f64),
    /// The rung in effect.
    Rung(usize),
    /// Demand on the server's link as a share of its capacity.
    Link(f64),
    /// Demand on the uplink of its rack as a share of the uplink's capacity.
    Uplink(f64),
}

/// An event that a front reports to its controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The server list, or changes of it.
    Servers(ListKind, Vec<ServerEntry>),
    /// A request for a session.
    Request(Request),
    /// A session that was already playing when the front started; its attempt 0 plays at this server.
    Resumed(Request, ServerId),
    /// A session has started to play.
    Started {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
        /// Time since the set-up was sent.
        took: Micros,
    },
    /// An attempt ended; each attempt has exactly one such event.
    Ended {
        /// The session.
        session: SessionId,
        /// Number of the attempt among the session's set-ups, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// The outcome.
        outcome: Outcome,
        /// Whether the session is over; if not, the client still needs a final answer.
        last: bool,
        /// The load report of the server, in the order of [`Settings::reports`].
        report: Vec<f64>,
    },
    /// An attempt that may have run was given up, and its server has not confirmed its end: no further attempt of the
    /// session may go there. Comes before the attempt's end.
    InDoubt {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
    },
    /// The server has confirmed the end of the attempt that was in doubt there.
    Resolved {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
    },
    /// The client has left and needs no answer any more.
    ClientLeft(SessionId),
    /// A server's note on a playing session.
    Note {
        /// The session.
        session: SessionId,
        /// The server where the session plays.
        server: ServerId,
        /// The content.
        note: Note,
    },
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// The outcome.
        outcome: Outcome,
        /// The load report of the server, in the order of [`Settings::reports`].
        report: Vec<f64>,
    },
    /// A message from another front.
    Peer(Vec<u8>),
    /// A wake-up that was requested by [`Action::WakeAt`], with its tag.
    Wake(u64),
}

/// An action that the front has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the session up at a server, with this time-out. The attempts of a session count from 0.
    SetUp(SessionId, ServerId, Micros),
    /// Set the rung of a session, before a set-up or while the session plays.
    SetRung(SessionId, usize),
    /// Take a playing session off its server; the viewer returns to this front.
    Move(SessionId),
    /// Final answer: refused, with the time after which the client may ask again.
    Refuse(SessionId, Micros),
    /// Final answer: failed.
    Fail(SessionId),
    /// Probe a server.
    Probe(ServerId),
    /// Ask for the server list and its changes from now on.
    FollowList,
    /// Wake the controller with this tag at this time.
    WakeAt(u64, Micros),
    /// Write a line to the operators' log.
    Log(String),
}

impl ServerEntry {
    /// The rack of this server, if there are racks.
    pub fn rack(&self, racks: u32) -> Option<usize> {
        self.cell.checked_rem(racks).map(|rack| rack as usize)
    }
}

impl Request {
    /// Whether `cell`, of `cells` in the ring, holds the title.
    pub fn held_in(&self, cell: u32, cells: u32) -> bool {
        is_held_in(self.first_cell, self.cell_count, cell, cells)
    }
}

/// Whether `cell`, of `cells` in the ring, holds a title that is stored in `cell_count` consecutive cells from
/// `first_cell`.
pub fn is_held_in(first_cell: u32, cell_count: u32, cell: u32, cells: u32) -> bool {
    let cells = cells.max(1);
    (cell % cells + cells - first_cell % cells) % cells < cell_count
}
