//! Sessions, attempts, deadlines and connections as state, with no I/O, clock or thread.
//!
//! [`Ledger::handle`] takes the time and one [`Input`] and answers with [`Output`]s, which the edge carries out;
//! [`Ledger::next_due`] tells when it must be called again. All decisions on placement, rungs, moves, refusals
//! and further attempts are asked of a [`Decider`], which is [`salttally::controller::Controller`] in service. The ledger
//! is a second lock and no second opinion: an action that would make a second answer, or a second attempt while
//! one is out, is stopped, counted and logged.
//!
//! - [`Ledger`]: sessions from the request to the end, and the guards.
//! - [`session`]: the stages of one session; a wrong order does not compile or is told.
//! - [`pool`]: keep-alive connections to boxes: which to use, dial, keep, hang up.
//! - [`streams`]: the event stream from each box: when a box counts as lost, when to try again.
//! - [`process_limits`]: what of the process's files and threads is whose.
//! - [`agreed_rules`]: rules that fronts agree on.
//! - [`session_records`]: promises in the form in which other fronts keep copies of them.
//! - [`timers`]: one queue of all that is due.

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
use salttally_accord::core::stand::Stand;
use salttally_copies::core::{Bytes, Key, Life, Name};

pub use ledger::{Counts, Ledger};

/// Who decides: told an event, it answers with actions. See [`salttally::interface`].
pub trait Decider {
    /// Takes in one event at this time; what is to be done is added to `out`.
    fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>);
}

impl Decider for Controller {
    fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        Controller::handle(self, now, event, out);
    }
}

/// A player's connection, or a caller of the library.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// One call of a client, in the client's own count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A connection to a box, in the front's own count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// What a viewer asks for, in the settings' places.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRequest {
    /// Who watches.
    pub viewer: ViewerId,
    /// Its firm's number, where its name has one.
    pub tenant: Option<ViewerId>,
    /// What is watched.
    pub title: TitleId,
    /// Place of the class in the settings.
    pub class: usize,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Cells in a row that hold it.
    pub cell_count: u32,
    /// Highest rung that the viewer can use.
    pub top_rung: usize,
    /// Time before the viewer gives up.
    pub patience: Micros,
    /// A guess of how long it is watched.
    pub length_hint: Option<Micros>,
    /// Not the viewer's first try.
    pub returned: bool,
    /// The session that this front moved and that is opened anew by this.
    pub moved_from: Option<SessionId>,
}

impl OpenRequest {
    /// The module's request for it.
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
        }
    }
}

/// A line of the box list with the box's address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// What the module is told.
    pub entry: ServerEntry,
    /// Where the box listens.
    pub address: SocketAddr,
}

/// The boxes that a list takes away: those that it calls gone, and those that a whole one no longer names.
pub fn removed_servers<'a>(
    kind: ListKind,
    lines: &[ListEntry],
    known: impl Iterator<Item = &'a ServerId>,
) -> Vec<ServerId> {
    let named: BTreeSet<ServerId> = lines.iter().map(|line| line.entry.server).collect();
    let missing = known.filter(|id| kind != ListKind::Changes && !named.contains(id)).copied();
    let told = lines.iter().filter(|line| line.entry.state == ServerState::Removed);
    missing.chain(told.map(|line| line.entry.server)).collect()
}

/// A session that a box holds for this front.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldSession {
    /// Its id.
    pub session: SessionId,
    /// Number of the attempt by which it was set up.
    pub attempt: u32,
    /// Rung in force.
    pub rung: usize,
    /// What it was opened with, if the box kept that and it still means something here.
    pub open_request: Option<OpenRequest>,
}

/// What a front hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// `session.open`; accepted from here on.
    Open(ClientId, Ticket, OpenRequest),
    /// The same of a client that may only return to a session: accepted only if this front moved it, and not
    /// answered by the one answer otherwise.
    Reopen(ClientId, Ticket, OpenRequest),
    /// `session.cancel` of an unanswered open: the viewer gives up.
    Cancel(ClientId, Ticket, Ticket),
    /// `session.cancel` or `session.close` by session.
    Close(ClientId, Ticket, SessionId),
    /// `session.status`; a viewer may claim a resumed session by it.
    Status(ClientId, Ticket, SessionId, Option<ViewerId>),
    /// The connection is gone, or the caller dropped its handle.
    ClientClosed(ClientId),
    /// The client is gone without a word: it may come back for what it has.
    ClientLost(ClientId),
    /// News of the box list.
    List(ListKind, Vec<ListEntry>),
    /// A dial ended.
    Dialed(ConnId, Result<(), DialError>),
    /// An exchange ended.
    Exchanged(ConnId, ExchangeEnd),
    /// News of the event stream of a box; the number tells which try.
    Stream(ServerId, u64, StreamEvent),
    /// The front is to end: all that is owed is answered, all that plays is released.
    ShutDown,
    /// What this front stands on, by rules that are agreed on.
    Coordination(Box<Stand>),
    /// A promise counts, or does not.
    RecordStored(Key, bool),
    /// This front goes on with what another promised, by this epoch.
    TakeOver(Life, u64, Vec<(Key, Bytes)>),
    /// Another front goes on with this one's own life.
    TakenOver(Life),
    /// Another front goes on with a life that this one went on with.
    TakeoverSuperseded(Life),
    /// Which other fronts there are, or were.
    Peers(BTreeMap<Name, session_records::PeerFront>),
    /// The process was not running for a while, and runs again.
    ProcessResumed,
    /// Something may be due.
    Tick,
}

/// Why there is no connection; both prove that nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// Refused or unreachable.
    Refused,
    /// Not established in time.
    TimedOut,
    /// Not tried: this process has no room for another connection. Nothing is learnt of the peer.
    NotTried,
}

/// How an exchange on a connection ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeEnd {
    /// The connection was found closed before a byte was written: nothing was sent.
    Stale,
    /// The request could not be written whole: an incomplete request never runs (RFC 9112 section 8).
    Unwritten,
    /// Closed or reset after the request was written: it may have run.
    Broken,
    /// The peer does not keep to HTTP or to the box API; the reason is for the log.
    Malformed(String),
    /// An answer; `keep` tells whether the connection may be used again.
    Answered {
        /// What it says.
        answer: BoxAnswer,
        /// The load report with it, in the order of the settings.
        report: Vec<f64>,
        /// The connection stays open.
        keep_alive: bool,
    },
    /// What a box holds of a life: all of it, and nothing of it is taken by earlier epochs any more.
    Claimed {
        /// What plays there.
        held: Vec<HeldSession>,
        /// The connection stays open.
        keep_alive: bool,
    },
}

/// What a box answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoxAnswer {
    /// Done as asked; after a set-up: the session plays.
    Done,
    /// Sent back unseen: full or draining.
    Full,
    /// The box knows no such session, or has ended it.
    Unknown,
    /// Another front goes on with the session: this one has no say any more.
    Superseded,
    /// An error; it may have run.
    Error,
}

/// News of a box's event stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// It stands, and these sessions are held there.
    Up(Vec<HeldSession>),
    /// A sign of life.
    Heartbeat,
    /// A note on a playing session.
    Note(SessionId, Note),
    /// A session began whose answer could not be given: whoever asked for it has gone.
    Began(HeldSession),
    /// A session ended at the box.
    Ended(SessionId, u32),
    /// The connection could not be made.
    NoConnection(DialError),
    /// It broke, or was not understood.
    Broken,
    /// It was cut off here, since the box cost the front more than one box may.
    CutOff(String),
}

/// What is asked of a box.
#[derive(Clone, Debug, PartialEq)]
pub enum BoxRequest {
    /// Set a session up.
    SetUp {
        /// Which session.
        session: SessionId,
        /// The front's number of the attempt.
        attempt: u32,
        /// Rung to begin at.
        rung: usize,
        /// What the viewer asked for.
        open_request: OpenRequest,
        /// After this long nobody waits for it.
        time_out: Micros,
    },
    /// Set the rung of a playing session.
    SetRung {
        /// Which session.
        session: SessionId,
        /// Attempt by which it plays.
        attempt: u32,
        /// New rung.
        rung: usize,
        /// Its class: with the rung it tells the rate.
        class: usize,
    },
    /// End a session, or bar an attempt that has not begun from ever beginning.
    Release {
        /// Which session.
        session: SessionId,
        /// Which attempt.
        attempt: u32,
    },
    /// What is held of a life that this front goes on with; nothing of it is to be taken by earlier epochs any more.
    Claim {
        /// Which life.
        incarnation: Life,
        /// By which epoch.
        epoch: u64,
    },
    /// A probe: the box tells its load.
    Probe,
}

/// By what right a request is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteAuthority {
    /// Not after this, by the clock of leases.
    pub valid_until: Option<Micros>,
    /// By this epoch; the box is told.
    pub epoch: Option<u64>,
}

/// Why a session could not be played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailReason {
    /// The module gave it up; a set-up may have run.
    GivenUp,
    /// The viewer gave up first.
    Cancelled,
    /// Nothing was decided before the viewer's time was up.
    Overdue,
    /// The front ends.
    ShuttingDown,
}

/// The one answer to a `session.open`.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// It plays.
    Plays {
        /// Id of the session.
        session: SessionId,
        /// Which box.
        server: ServerId,
        /// Where that box listens.
        address: SocketAddr,
        /// At this rung.
        rung: usize,
        /// Rate of that rung for the class, kB a second.
        rate_kb: f64,
    },
    /// Refused; ask again after this long.
    Refused(SessionId, Micros),
    /// Failed; nothing is promised of the effect.
    Failed(SessionId, FailReason),
}

/// The answer to any other call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Closed or cancelled.
    Closed(SessionId),
    /// The open was cancelled; its own answer went ahead of this.
    Cancelled,
    /// State of a session.
    Status {
        /// Which session.
        session: SessionId,
        /// Where it plays, and at which rung and rate; nothing while its answer is owed.
        playing: Option<(ServerId, usize, f64)>,
    },
    /// No session or open call of that name is this client's.
    Unknown,
    /// The session is at this front, where players reach it so.
    AtOtherFront(Name, Option<SocketAddr>),
    /// The session is between two fronts: ask again after this long.
    RetryAfter(Micros),
    /// The open is not accepted: there are as many sessions as there may be.
    TooManySessions(usize, LimitScope),
    /// The open is not accepted: the front is full, and this is no return to a session. Ask again after this long.
    ReturnsOnly(Micros),
}

/// Whose sessions are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitScope {
    /// Those of one connection.
    Connection,
    /// Those of one viewer.
    Viewer,
}

/// What a client is told of its session without asking.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// The rung has changed, and with it the rate in kB a second.
    RungChanged(SessionId, usize, f64),
    /// The session was taken off its box: open it again at this front, with `moved_from`.
    Move(SessionId),
    /// The session is over though the viewer did not close it.
    Ended(SessionId, EndReason),
}

/// Why a session ended by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The box ended it.
    Box,
    /// The box is lost.
    Lost,
    /// The front ends.
    ShuttingDown,
    /// By rules that are agreed on.
    Rules,
    /// It goes on at another front.
    TakenOver,
}

/// What the edge is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Give a client the one answer to its open.
    Answer(ClientId, Ticket, Answer),
    /// Give a client the answer to another call.
    Reply(ClientId, Ticket, Reply),
    /// Tell a client news.
    Notify(ClientId, Notification),
    /// Connect to this box.
    Dial(ConnId, ServerId, SocketAddr),
    /// Write a request on a connection and await the response.
    Exchange(ConnId, BoxRequest),
    /// Close a connection, whatever is under way on it.
    CloseConn(ConnId),
    /// Open the event stream of a box; news of it carry this number.
    OpenStream(ServerId, u64, SocketAddr),
    /// Close the event stream of this number.
    CloseStream(ServerId, u64),
    /// Follow the box list.
    FollowList,
    /// Have this promise copied; whether [`Input::RecordStored`] is awaited.
    StoreRecord(Key, Vec<u8>, bool),
    /// It is no more.
    DeleteRecord(Key),
    /// A box holds sessions of this earlier life of the front, and nobody has taken it over.
    OrphanFound(Life),
    /// Sessions' ids begin with this from now on.
    IncarnationChanged(Life),
    /// A line for the operators' log.
    Log(Level, String),
    /// All that was owed at a shut-down is done.
    Finished,
}

/// Weight of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Of use when following one session.
    Debug,
    /// Worth knowing.
    Info,
    /// An operator may have to act.
    Warn,
}

/// Limits of the ledger, from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// An answer may come so long after the viewer's patience.
    pub answer_slack: Micros,
    /// A stream on which nothing came for this long is taken to be silent.
    pub silence_timeout: Micros,
    /// A box whose stream cannot be made again for this long is lost, and its sessions with it.
    pub lost_timeout: Micros,
    /// A session found at a box after a restart of the front waits so long for its viewer.
    pub claim_timeout: Micros,
    /// A session of a player that is gone without a word waits so long for its viewer.
    pub lost_client_retention: Micros,
    /// A session that another front promised waits so long for its viewer here: longer than that front may have been
    /// stopped with its players connected to it.
    pub takeover_retention: Micros,
    /// Sessions of one connection at most, those that wait for an answer counted.
    pub sessions_per_connection: usize,
    /// Sessions of one viewer at most, likewise.
    pub sessions_per_viewer: usize,
    /// A moved session may be opened again for this long.
    pub moved_retention: Micros,
    /// A request to a box other than a set-up is waited for so long.
    pub request_timeout: Micros,
    /// An idle connection is kept this long; shorter than any box keeps it.
    pub idle_timeout: Micros,
    /// Clocks of this machine and of the list differ by no more than this.
    pub clock_skew: Micros,
    /// Connections to one box at most.
    pub connections_per_box: usize,
}

#[cfg(test)]
mod tests;
