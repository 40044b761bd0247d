//! The front's state machine: sessions, attempts, deadlines and connections, with no I/O, clock or thread.
//!
//! [`Ledger::handle`] takes the current time and one [`Input`] and returns [`Output`]s, which the engine
//! executes. [`Ledger::next_deadline`] tells when it must be called again. Every decision on placement,
//! rungs, moves, refusals and further attempts is made by a [`Decider`]; in production that is
//! [`salttally::controller::Controller`]. The ledger makes no decisions of its own but checks each action
//! independently: an action that would give a second answer, or start a second attempt while one is pending,
//! is blocked, counted and logged.
//!
//! - [`Ledger`]: sessions from request to end, and the checks on the decider's actions.
//! - [`session`]: the stages of one session and the transitions between them.
//! - [`pool`]: keep-alive connections to boxes: which to use, dial, keep or close.
//! - [`streams`]: the event stream from each box: when a box counts as lost, when to reconnect.
//! - [`process_limits`]: how the process's file and thread limits are shared out.
//! - [`agreed_rules`]: the rules that the fronts have agreed on.
//! - [`session_records`]: durable session records, which other fronts replicate.
//! - [`timers`]: one queue of all deadlines.

pub mod agreed_rules;
mod ledger;
pub mod pool;
pub mod process_limits;
pub mod session;
pub mod session_records;
pub mod streams;
pub mod timers;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use salttally::controller::Controller;
use salttally::interface::*;
use salttally_accord::core::coordination::CoordinationState;
use salttally_copies::core::{Incarnation, Name, RecordBody, RecordKey};

pub use ledger::{Counts, Ledger};

/// The decision module of a front: receives an event and returns actions. See [`salttally::interface`].
pub trait Decider {
    /// Handles one event at time `now` and appends the resulting actions to `out`.
    fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>);
}

impl Decider for Controller {
    fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        Controller::handle(self, now, event, out);
    }
}

/// Identifies a client: a player connection or a caller of the library.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Identifies one call of a client; numbered by the client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Identifies a connection to a box; numbered by the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// A viewer's `session.open` request, with class and title resolved to the settings' indices.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRequest {
    /// The viewer.
    pub viewer: ViewerId,
    /// The viewer's tenant, if its name contains one.
    pub tenant: Option<ViewerId>,
    /// The requested title.
    pub title: TitleId,
    /// Index of the class in the settings.
    pub class: usize,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Number of consecutive cells that hold the title.
    pub cell_count: u32,
    /// Highest rung that the viewer can use.
    pub top_rung: usize,
    /// How long the viewer waits for an answer before giving up.
    pub patience: Micros,
    /// Expected viewing time.
    pub length_hint: Option<Micros>,
    /// Whether the viewer has tried before.
    pub returned: bool,
    /// The session that this front moved away and that this request reopens.
    pub moved_from: Option<SessionId>,
}

impl OpenRequest {
    /// Converts to the decider's request type.
    pub fn to_request(&self, session: &SessionId, moved: bool) -> Request {
        Request {
            session: session.clone(),
            class: self.class,
            viewer: self.viewer,
            title: self.title,
            patience: self.patience,
            length_hint: self.length_hint,
            first_cell: self.first_cell,
            cell_count: self.cell_count,
            top_rung: self.top_rung,
            moved,
            returning: self.returned || moved,
            earlier_attempts: 0,
        }
    }
}

/// An entry of the box list, with the address of the box.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The entry as passed to the decider.
    pub entry: ServerEntry,
    /// Address on which the box listens.
    pub address: SocketAddr,
}

/// Returns the boxes that a list removes: those marked as removed, and those that a complete list no longer
/// contains.
pub fn removed_servers<'a>(
    kind: ListKind,
    lines: &[ListEntry],
    known: impl Iterator<Item = &'a ServerId>,
) -> Vec<ServerId> {
    let listed: BTreeSet<ServerId> = lines.iter().map(|line| line.entry.server).collect();
    let missing = known.filter(|id| kind != ListKind::Changes && !listed.contains(id)).copied();
    let marked_removed = lines.iter().filter(|line| line.entry.state == ServerState::Removed);
    missing.chain(marked_removed.map(|line| line.entry.server)).collect()
}

/// A session that a box reports to hold for this front.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldSession {
    /// Session id.
    pub session: SessionId,
    /// Number of the attempt that set the session up.
    pub attempt: u32,
    /// Current rung.
    pub rung: usize,
    /// The open request that the box stored, if it stored one and it is valid under the current settings.
    pub open_request: Option<OpenRequest>,
}

/// An input to the ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A `session.open` request.
    Open(ClientId, Ticket, OpenRequest),
    /// A `session.open` request from a client that may only reopen a session that this front moved. Otherwise
    /// the request is rejected with [`Reply::ReturnsOnly`], not with an [`Answer`].
    Reopen(ClientId, Ticket, OpenRequest),
    /// `session.cancel` of an open request that has no answer yet: the viewer gives up. The second ticket is
    /// that of the open request.
    Cancel(ClientId, Ticket, Ticket),
    /// `session.cancel` or `session.close`, by session id.
    Close(ClientId, Ticket, SessionId),
    /// `session.status`. A viewer may reclaim a resumed session with it.
    Status(ClientId, Ticket, SessionId, Option<ViewerId>),
    /// The client closed its connection, or the library caller dropped its handle.
    ClientClosed(ClientId),
    /// The connection to the client failed without being closed; the client may come back for its sessions.
    ClientLost(ClientId),
    /// An update of the box list.
    List(ListKind, Vec<ListEntry>),
    /// A connection attempt ended.
    Dialed(ConnId, Result<(), DialError>),
    /// A request-response exchange ended.
    Exchanged(ConnId, ExchangeEnd),
    /// An event from a box's event stream; the number identifies the stream connection.
    Stream(ServerId, u64, StreamEvent),
    /// Shut down: answer all pending requests and release all playing sessions.
    ShutDown,
    /// The agreed rules, lease and takeovers that apply to this front have changed.
    Coordination(Box<CoordinationState>),
    /// A session record was replicated to enough fronts (true), or could not be (false).
    RecordStored(RecordKey, bool),
    /// This front takes over another incarnation's sessions under this epoch, given that incarnation's
    /// session records.
    TakeOver(Incarnation, u64, Vec<(RecordKey, RecordBody)>),
    /// Another front has taken over this front's current incarnation.
    TakenOver(Incarnation),
    /// Another front has taken over an incarnation that this front had taken over.
    TakeoverSuperseded(Incarnation),
    /// The other fronts that are or were in the membership view.
    Peers(BTreeMap<Name, session_records::PeerFront>),
    /// The process runs again after it was suspended.
    ProcessResumed,
    /// Timers may be due.
    Tick,
}

/// Why a connection could not be made. All variants prove that nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// The peer refused the connection or is unreachable.
    Refused,
    /// The connection was not established in time.
    TimedOut,
    /// Not tried, because this process has no resources for another connection. Says nothing about the peer.
    NotTried,
}

/// How a request-response exchange on a connection ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeEnd {
    /// The connection was already closed before any byte was written: nothing was sent.
    Stale,
    /// The request could not be written in full. An incomplete request is never executed (RFC 9112 section
    /// 8).
    Unwritten,
    /// The connection was closed or reset after the request was written: the request may have been executed.
    Broken,
    /// The peer violated HTTP or the box API; the text describes how, for the log.
    Malformed(String),
    /// A response.
    Answered {
        /// The result.
        answer: BoxAnswer,
        /// The load report in the response, in the order of the settings.
        report: Vec<f64>,
        /// Whether the connection can be reused.
        keep_alive: bool,
    },
    /// A box's response to [`BoxRequest::Claim`]: all sessions that it holds of the incarnation. The box
    /// rejects requests of earlier epochs from then on.
    Claimed {
        /// The sessions that the box holds.
        held: Vec<HeldSession>,
        /// Whether the connection can be reused.
        keep_alive: bool,
    },
}

/// Result reported by a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoxAnswer {
    /// Done; after a set-up, the session plays.
    Done,
    /// Rejected without effect: the box is full or draining.
    Full,
    /// The box does not know the session, or has ended it.
    Unknown,
    /// The session has been taken over by a front with a later epoch; this front may no longer control it.
    Superseded,
    /// An error; the request may have been executed.
    Error,
}

/// An event from a box's event stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// The stream is open; the box holds these sessions.
    Up(Vec<HeldSession>),
    /// A sign of life without content.
    Heartbeat,
    /// A report about a playing session.
    Note(SessionId, Note),
    /// A session began, but the box could not deliver the response to its set-up because the connection had
    /// closed.
    Began(HeldSession),
    /// The session with this attempt number ended at the box.
    Ended(SessionId, u32),
    /// The connection could not be made.
    NoConnection(DialError),
    /// The stream broke or sent invalid data.
    Broken,
    /// The front closed the stream because the box sent more events than one box is allowed; the text gives
    /// the reason.
    CutOff(String),
}

/// A request to a box.
#[derive(Clone, Debug, PartialEq)]
pub enum BoxRequest {
    /// Set up a session.
    SetUp {
        /// Session id.
        session: SessionId,
        /// Attempt number at the front.
        attempt: u32,
        /// Initial rung.
        rung: usize,
        /// The viewer's request.
        open_request: OpenRequest,
        /// How long the front waits for the response.
        time_out: Micros,
    },
    /// Change the rung of a playing session.
    SetRung {
        /// Session id.
        session: SessionId,
        /// Number of the attempt that set the session up.
        attempt: u32,
        /// The new rung.
        rung: usize,
        /// The session's class; class and rung together determine the rate.
        class: usize,
    },
    /// End a session, or prevent an attempt that has not begun from ever beginning.
    Release {
        /// Session id.
        session: SessionId,
        /// Attempt number.
        attempt: u32,
    },
    /// List the sessions of an incarnation that this front has taken over, and reject all requests of earlier
    /// epochs for it from then on.
    Claim {
        /// The incarnation taken over.
        incarnation: Incarnation,
        /// Epoch of the takeover.
        epoch: u64,
    },
    /// Probe: the box reports its load.
    Probe,
}

/// The lease and epoch under which a request is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteAuthority {
    /// The request must not be written after this time, by the lease clock.
    pub valid_until: Option<Micros>,
    /// Takeover epoch to send to the box.
    pub epoch: Option<u64>,
}

/// Why a session could not be played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailReason {
    /// The decider gave the session up; a set-up may have been executed.
    GivenUp,
    /// The viewer gave up before the answer.
    Cancelled,
    /// Nothing was decided before the viewer's patience ran out.
    Overdue,
    /// The front is shutting down.
    ShuttingDown,
}

/// The single answer to a `session.open` request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The session plays.
    Plays {
        /// Session id.
        session: SessionId,
        /// The box that plays it.
        server: ServerId,
        /// Address on which the box listens.
        address: SocketAddr,
        /// Initial rung.
        rung: usize,
        /// Rate of that rung for the class, kB/s.
        rate_kb: f64,
    },
    /// Refused; the viewer may retry after this time.
    Refused(SessionId, Micros),
    /// Failed; a set-up may or may not have taken effect.
    Failed(SessionId, FailReason),
}

/// The response to any call other than `session.open`, and to open requests that are not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The session was closed or cancelled.
    Closed(SessionId),
    /// The open request was cancelled; its own answer was sent before this reply.
    Cancelled,
    /// State of a session.
    Status {
        /// Session id.
        session: SessionId,
        /// Box, rung and rate in kB/s; `None` while the open request is unanswered.
        playing: Option<(ServerId, usize, f64)>,
    },
    /// This client has no such session or open request.
    Unknown,
    /// The session is at this other front, which clients reach at this address.
    AtOtherFront(Name, Option<SocketAddr>),
    /// The session is being taken over; retry after this time.
    RetryAfter(Micros),
    /// The open request is not accepted, because this limit on the number of sessions is reached.
    TooManySessions(usize, LimitScope),
    /// The open request is not accepted: the front is full and admits only clients that return to a session.
    /// Retry after this time.
    ReturnsOnly(Micros),
}

/// What a limit on the number of sessions applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitScope {
    /// Sessions of one connection.
    Connection,
    /// Sessions of one viewer.
    Viewer,
}

/// A notification to a client about its session.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// The rung has changed; with the new rate in kB/s.
    RungChanged(SessionId, usize, f64),
    /// The session was released from its box: the viewer is to reopen it at this front, with `moved_from`.
    Move(SessionId),
    /// The session ended without being closed by the viewer.
    Ended(SessionId, EndReason),
}

/// Why a session ended without being closed by the viewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The box ended it.
    Box,
    /// The box is lost.
    Lost,
    /// The front is shutting down.
    ShuttingDown,
    /// The agreed rules no longer permit it.
    Rules,
    /// Another front has taken the session over.
    TakenOver,
}

/// An effect for the engine to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a client the answer to its open request.
    Answer(ClientId, Ticket, Answer),
    /// Send a client the response to any other call.
    Reply(ClientId, Ticket, Reply),
    /// Send a client a notification.
    Notify(ClientId, Notification),
    /// Connect to this box.
    Dial(ConnId, ServerId, SocketAddr),
    /// Write a request on a connection and await the response.
    Exchange(ConnId, BoxRequest),
    /// Close a connection, even with an exchange in progress.
    CloseConn(ConnId),
    /// Open the event stream of a box; its events carry this number.
    OpenStream(ServerId, u64, SocketAddr),
    /// Close the event stream with this number.
    CloseStream(ServerId, u64),
    /// Follow the box list.
    FollowList,
    /// Replicate this session record; the flag tells whether [`Input::RecordStored`] is awaited.
    StoreRecord(RecordKey, Vec<u8>, bool),
    /// Delete the session record with this key.
    DeleteRecord(RecordKey),
    /// A box holds sessions of this earlier incarnation of the front, which nobody has taken over.
    OrphanFound(Incarnation),
    /// The front has a new incarnation; ids of new sessions begin with it.
    IncarnationChanged(Incarnation),
    /// A line for the operational log.
    Log(Level, String),
    /// The shutdown is complete.
    Finished,
}

/// Log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Details for tracing a single session.
    Debug,
    /// Normal operation.
    Info,
    /// An operator may have to act.
    Warn,
}

/// Time and size limits of the ledger, from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// An answer may come this long after the viewer's patience has ended.
    pub answer_slack: Micros,
    /// A stream without input for this long counts as silent.
    pub silence_timeout: Micros,
    /// A box whose stream can't be reopened for this long is lost, along with its sessions.
    pub lost_timeout: Micros,
    /// How long a session found at a box after a restart of the front waits for its viewer.
    pub claim_timeout: Micros,
    /// How long a session waits for its viewer after the connection to the client failed.
    pub lost_client_retention: Micros,
    /// How long a session taken over from another front waits for its viewer here. Longer than that front can
    /// be suspended with its players still connected to it.
    pub takeover_retention: Micros,
    /// Maximum number of sessions per connection, including those without an answer yet.
    pub sessions_per_connection: usize,
    /// Maximum number of sessions per viewer, including those without an answer yet.
    pub sessions_per_viewer: usize,
    /// How long a moved session may be reopened.
    pub moved_retention: Micros,
    /// Time limit for a request to a box other than a set-up.
    pub request_timeout: Micros,
    /// How long an idle connection is kept; shorter than the keep-alive time of any box.
    pub idle_timeout: Micros,
    /// Maximum difference between the clocks of this machine and of the list source.
    pub clock_skew: Micros,
    /// Maximum number of connections to one box.
    pub connections_per_box: usize,
}

#[cfg(test)]
mod tests;
