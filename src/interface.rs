//! The vocabulary between a front and the decision module: settings, events and actions.
//!
//! Nothing here decides anything. Times are whole microseconds of the front's own clock; rates are kB a second.

use std::sync::Arc;

/// A moment on the front's clock, or a span of time, in microseconds.
pub type Micros = u64;

/// One try of a viewer to have a title played; a returning viewer has a new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub Arc<str>);

/// A media server; a restarted process keeps its id, a replacement machine has a new one.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// A viewer, the same when the viewer comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ViewerId(pub u64);

/// What is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TitleId(pub u64);

/// How often a set-up of a class may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be set up again without harm.
    Safe,
    /// May be set up again within a group of servers and for a limited time only.
    Deduplicated,
    /// Paid for at set-up: again only when no earlier attempt can have run.
    Once,
}

/// Servers among which a deduplicated set-up is recognised.
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
    /// Wanted playing within.
    pub aim: Micros,
    /// How often a set-up may take effect.
    pub effect: Effect,
    /// Where a deduplicated set-up is recognised.
    pub group: Group,
    /// For how long it is recognised.
    pub window: Micros,
    /// Worth of a second at a rung of worth 1.
    pub gain: f64,
    /// Lowest rung that may be set.
    pub floor: usize,
    /// Highest rung of the class.
    pub top: usize,
    /// Its rates over the ladder's.
    pub rate_factor: f64,
    /// Sessions of one title that a front may hold; 0 is no cap.
    pub seats: usize,
    /// Whether its titles are live, so that viewers share a stream.
    pub live: bool,
}

/// One rate of the ladder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rung {
    /// Rate, kB a second.
    pub kb: f64,
    /// Part of the full worth that it earns.
    pub worth: f64,
}

/// A ration of attempts beyond each session's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Length of the window.
    pub window: Micros,
    /// Further attempts that any window may hold.
    pub free: f64,
    /// Further attempts for each session taken in the window.
    pub share: f64,
}

/// What a load report may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Streams that the server runs or sets up.
    Streams,
    /// Share of the link that is asked, capped at 1.
    LinkCapped,
    /// What is asked of the link over what it gives.
    Link,
    /// The same of the rack's uplink.
    Uplink,
    /// A figure that is of no use here.
    Other,
}

/// All that a front is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of fronts.
    pub fronts: u32,
    /// Zone of this front.
    pub zone: u32,
    /// The classes.
    pub classes: Vec<Class>,
    /// The ladder, lowest rate first.
    pub ladder: Vec<Rung>,
    /// Number of cells.
    pub cells: u32,
    /// Number of racks; a server's rack is its cell modulo this. 0 when there are none.
    pub racks: u32,
    /// Link of a server for each unit of its weight, roughly.
    pub link_kb_per_unit: f64,
    /// All links together at the start.
    pub links_kb: f64,
    /// Mean uplink of a rack.
    pub uplink_kb: f64,
    /// Streams at most, for each kind of server.
    pub kind_streams: Vec<u32>,
    /// A server turns set-ups away from this share of its link asked; 0 is never.
    pub refuses_from: f64,
    /// Time between link notes on a playing session; 0 is none.
    pub note_interval: Micros,
    /// Age of a note when it arrives.
    pub note_age: Micros,
    /// What a further viewer of a live title adds to a stream; 1 is the whole rate.
    pub shared_adds: f64,
    /// A change of rung costs so many seconds of worth.
    pub change_cost_s: f64,
    /// Fields of a load report, in order; empty when there are none.
    pub reports: Vec<ReportField>,
    /// Attempts for one session at most.
    pub max_attempts: u32,
    /// A server may be probed.
    pub probes: bool,
    /// Price of a probe, as a part of a session's worth.
    pub probe_price: f64,
    /// Longest hold-off that a client follows; 0 when clients are given none.
    pub max_hold_off: Micros,
    /// Time after the word of a drain in which sends must stop.
    pub drain_grace: Micros,
    /// A server is warm no later than this after its start.
    pub warm_up: Micros,
    /// Share of its pace that a server has right after its start.
    pub cold_from: f64,
    /// Multiple of the pace at which a cold server falls over.
    pub fall_multiple: f64,
    /// Time for which that must last.
    pub fall_window: Micros,
    /// The list must be asked for.
    pub list_on_demand: bool,
    /// A front that must ask for its list is held to have known what it could have asked for this long ago.
    pub ask_within: Micros,
    /// Ration of further attempts, if any.
    pub budget: Option<Budget>,
    /// Price of a moved session, as a part of a session's worth.
    pub move_price: f64,
    /// Price of a session that crosses zones, likewise.
    pub cross_price: f64,
}

/// State of a listed server.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes sessions.
    #[default]
    Ready,
    /// Completes its sessions and takes no new one.
    Draining,
    /// Removed.
    Removed,
}

/// A line of the server list.
#[derive(Default, Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its weight.
    pub units: f64,
    /// Its latest start, if that is not long ago.
    pub started: Option<Micros>,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Changes,
    /// The whole list.
    Complete,
    /// The whole list as this front had it before a restart; it may be old.
    Cached,
    /// An ask for the list failed.
    FetchFailed,
}

/// A session to be set up, or one that plays already when the front starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub session: SessionId,
    /// Place of its class in the settings.
    pub class: usize,
    /// Who watches.
    pub viewer: ViewerId,
    /// What is watched.
    pub title: TitleId,
    /// Time before the client stops waiting.
    pub patience: Micros,
    /// A guess of how long it is watched.
    pub length_hint: Option<Micros>,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Number of cells in a row that hold it.
    pub cell_count: u32,
    /// Highest rung that the viewer can use.
    pub top_rung: usize,
    /// It was moved by this front.
    pub moved: bool,
    /// It is not the viewer's first try.
    pub returning: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served to its end.
    Ok,
    /// The server gave an error; it may have run.
    Failed,
    /// Sent back unseen: full, or draining.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Broken,
    /// Withdrawn; it may have run.
    Withdrawn,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// What a note on a playing session tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share of their rates that sessions at the server got a little while ago.
    Delivered(f64),
    /// The rung in force.
    Rung(usize),
    /// What is asked of the link over what it gives.
    Link(f64),
    /// The same of the rack's uplink.
    Uplink(f64),
}

/// What a front hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the server list.
    Servers(ListKind, Vec<ServerEntry>),
    /// A session to be set up.
    Request(Request),
    /// A session that was under way when the front started; its attempt 0 plays at this server.
    Resumed(Request, ServerId),
    /// A session plays.
    Started {
        /// Which session.
        session: SessionId,
        /// Where.
        server: ServerId,
        /// Time since it was sent.
        took: Micros,
    },
    /// An attempt ended; each has one end.
    Ended {
        /// Which session.
        session: SessionId,
        /// Place of the attempt in the session's row of set-ups, from 0.
        attempt: u32,
        /// Where.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Whether the session is over; if not, a final answer is still owed.
        last: bool,
        /// The server's load report, in the order of [`Settings::reports`].
        report: Vec<f64>,
    },
    /// An attempt that may have run was given up, and its server has not shown that it is over: no further attempt of the
    /// session may go there. Comes ahead of the attempt's end.
    InDoubt {
        /// Which session.
        session: SessionId,
        /// Where.
        server: ServerId,
    },
    /// The server has shown that the attempt which was in doubt there is over.
    Resolved {
        /// Which session.
        session: SessionId,
        /// Where.
        server: ServerId,
    },
    /// The client has left; no answer is owed any more.
    ClientLeft(SessionId),
    /// News on a playing session.
    Note {
        /// Which session.
        session: SessionId,
        /// Where it plays.
        server: ServerId,
        /// The news.
        note: Note,
    },
    /// A probe ended.
    Probed {
        /// Which server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Its load report.
        report: Vec<f64>,
    },
    /// A message from another front.
    Peer(Vec<u8>),
    /// A wake-up that was asked for.
    Wake(u64),
}

/// What a front is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the session up at a server; attempts count from 0 in this order.
    SetUp(SessionId, ServerId, Micros),
    /// Set the rung, before a set-up or while it plays.
    SetRung(SessionId, usize),
    /// Take a playing session off its server; the viewer comes back to this front.
    Move(SessionId),
    /// Final answer: refused, ask again after this long.
    Refuse(SessionId, Micros),
    /// Final answer: failed.
    Fail(SessionId),
    /// Probe a server.
    Probe(ServerId),
    /// Ask for the list and its changes from now on.
    FollowList,
    /// Wake the module with this tag at this time.
    WakeAt(u64, Micros),
    /// A line for the operators' log.
    Log(String),
}

impl ServerEntry {
    /// The rack of this server, where there are racks.
    pub fn rack(&self, racks: u32) -> Option<usize> {
        self.cell.checked_rem(racks).map(|rack| rack as usize)
    }
}

impl Request {
    /// Whether a cell, of so many in the ring, holds the title.
    pub fn held_in(&self, cell: u32, cells: u32) -> bool {
        is_held_in(self.first_cell, self.cell_count, cell, cells)
    }
}

/// Whether a title that begins at `first_cell` of a ring of so many cells, and lies in `cell_count` of them, is held in
/// this one.
pub fn is_held_in(first_cell: u32, cell_count: u32, cell: u32, cells: u32) -> bool {
    let cells = cells.max(1);
    (cell % cells + cells - first_cell % cells) % cells < cell_count
}
