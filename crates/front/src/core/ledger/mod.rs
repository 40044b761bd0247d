//! The ledger of sessions and attempts: told what happens, it asks the decider and carries out the answer, and
//! keeps the one answer and the one attempt whatever the decider says.

mod actions;
mod boxes;
mod clients;
mod deadlines;
mod releases;
mod requests;
mod rule_checks;
mod takeover;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use salttally::interface::*;
use salttally_accord::core::rules::Refusal;

use super::agreed_rules::{AgreedRules, SessionCounts};
use super::pool::{End, Pool, Proof};
use super::session::{Attempt, Playing, Session, SetUpDenied, Stage};
use super::session_records::Keeping;
use super::streams::{Streams, Verdict};
use super::timers::{Deadline, Timers};
use super::*;

/// Releases of one attempt that are tried before it is left to the box's own account of what it holds.
const RELEASES: u32 = 4;
/// Releases under way at one box, of sessions that it names and nobody knows.
const RELEASES_AT_ONCE: usize = 32;
/// Where promises are copied: a connection that ends so soon after its viewer came back by it is not the viewer's close.
const CLAIMED: Micros = 3_000_000;
/// One that may not be written is tried again after this.
const WITHHELD: Micros = 300_000;
/// Pause before the second of them; it doubles.
const RELEASE_PAUSE: Micros = 100_000;
/// Changes of rung in a row that may fail before the module is told the rung in force.
const RUNG_MISSES: u32 = 2;

/// What a front has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Opens accepted.
    pub accepted: u64,
    /// Answers: plays.
    pub played: u64,
    /// Answers: refused.
    pub refused: u64,
    /// Answers: failed.
    pub failed: u64,
    /// Set-ups sent.
    pub attempts: u64,
    /// Probes sent.
    pub probes: u64,
    /// Sessions moved.
    pub moved: u64,
    /// Sessions lost with their boxes.
    pub lost: u64,
    /// Sessions found at boxes after a restart.
    pub resumed: u64,
    /// Sets of the lock: a second answer stopped.
    pub stopped_answers: u64,
    /// A set-up stopped because an attempt was out, or the session was answered or over.
    pub stopped_attempts: u64,
    /// A set-up or refusal stopped because a paid set-up may have run.
    pub stopped_effects: u64,
    /// Any other action that could not be carried out as it stood.
    pub stopped_others: u64,
    /// Answers that the ledger gave because nothing was decided in time.
    pub overdue: u64,
    /// Peers that did not keep to the box API.
    pub faults: u64,
}

impl Counts {
    /// All actions stopped by the second lock.
    pub fn stopped(&self) -> u64 {
        self.stopped_answers + self.stopped_attempts + self.stopped_effects + self.stopped_others
    }
}

/// What the decider was told and what it answered; for the record.
pub type Tap = Box<dyn FnMut(Micros, &Event, &[Action]) + Send + Sync>;

/// The state of one front. See [`crate::core`].
pub struct Ledger<D> {
    decider: D,
    settings: Arc<Settings>,
    limits: Limits,
    name: String,
    boot: u32,
    opened: u64,
    now: Micros,
    /// Nothing that is due is done before this.
    held_until: Micros,
    sessions: BTreeMap<SessionId, Session>,
    by_client: BTreeMap<ClientId, BTreeSet<SessionId>>,
    by_viewer: BTreeMap<ViewerId, usize>,
    boxes: BTreeMap<ServerId, SocketAddr>,
    /// Sessions that this front moved, until they are opened again.
    moved: BTreeMap<SessionId, ViewerId>,
    releases: BTreeMap<(ServerId, SessionId, u32), u32>,
    /// Sessions named by boxes that nobody knows, until they are released too.
    unknown: BTreeMap<ServerId, BTreeSet<(SessionId, u32)>>,
    pool: Pool,
    streams: Streams,
    timers: Timers,
    /// Sessions found at boxes before the list was known to be fresh.
    found: Vec<(ServerId, HeldSession)>,
    fresh: bool,
    ending: bool,
    finished: bool,
    events: VecDeque<Event>,
    counts: Counts,
    /// Rules that are agreed on; nothing where the front acts on its own file alone.
    terms: Option<AgreedRules>,
    /// The last list, before operators overruled it; kept only under rules.
    listed: BTreeMap<ServerId, ListEntry>,
    /// Promises and their copies; nothing where the front keeps all alone.
    keeping: Option<Keeping>,
    /// What is said of promises by this input.
    notes: Vec<Output>,
    tap: Option<Tap>,
}

/// A viewer who is refused for a reason that passes by itself may come back after this.
const COME_BACK: Micros = 1_000_000;

/// Why a set-up, or its answer, may not be written.
enum Forbidden {
    /// The session may not be.
    All(Refusal),
    /// Nothing new is set up at that box.
    Box,
}

/// What a ledger holds.
struct Counted<'a, D> {
    ledger: &'a Ledger<D>,
}

impl<D> SessionCounts for Counted<'_, D> {
    fn all(&self) -> usize {
        self.ledger.sessions.len()
    }

    fn of_class(&self, class: usize) -> usize {
        self.ledger.sessions.values().filter(|session| session.open_request.class == class).count()
    }

    fn of_viewer(&self, viewer: ViewerId) -> usize {
        self.ledger.by_viewer.get(&viewer).copied().unwrap_or(0)
    }
}

/// A process that runs again after it was stopped hears what waits in its sockets, for so long, before it does what
/// became due meanwhile. Danger: set-ups whose answers lie there are taken back, boxes whose word lies there are lost.
const WAKES: Micros = 50_000;

/// A copy goes its own way; it tells no tap, since what it does has not happened.
impl<D: Clone> Clone for Ledger<D> {
    fn clone(&self) -> Self {
        Ledger {
            decider: self.decider.clone(),
            settings: Arc::clone(&self.settings),
            limits: self.limits.clone(),
            name: self.name.clone(),
            held_until: self.held_until,
            sessions: self.sessions.clone(),
            by_client: self.by_client.clone(),
            by_viewer: self.by_viewer.clone(),
            boxes: self.boxes.clone(),
            moved: self.moved.clone(),
            releases: self.releases.clone(),
            unknown: self.unknown.clone(),
            pool: self.pool.clone(),
            streams: self.streams.clone(),
            timers: self.timers.clone(),
            found: self.found.clone(),
            events: self.events.clone(),
            terms: self.terms.clone(),
            listed: self.listed.clone(),
            keeping: self.keeping.clone(),
            notes: self.notes.clone(),
            tap: None,
            ..*self
        }
    }
}

/// The state that decides what comes next, without settings and counts.
impl<D: fmt::Debug> fmt::Debug for Ledger<D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sessions = (&self.sessions, &self.by_client, &self.moved, &self.releases, &self.found);
        let flags = (self.boot, self.opened, self.fresh, self.ending, self.finished);
        write!(f, "{sessions:?} {:?} {:?} {:?} {:?}", self.boxes, self.pool, self.streams, self.timers)?;
        write!(f, " {:?} {flags:?} {:?}", self.unknown, self.decider)
    }
}

impl<D: Decider> Ledger<D> {
    /// The ledger of a front that has just started. `name` is the front's own, the same at each start; `boot`
    /// differs between its starts, so that no id of a session is used again.
    pub fn new(decider: D, settings: Settings, limits: Limits, name: &str, boot: u32) -> Self {
        let streams = Streams::new(limits.silence_timeout);
        Ledger {
            decider,
            settings: Arc::new(settings),
            limits,
            name: name.to_owned(),
            boot,
            opened: 0,
            now: 0,
            held_until: 0,
            sessions: BTreeMap::new(),
            by_client: BTreeMap::new(),
            by_viewer: BTreeMap::new(),
            boxes: BTreeMap::new(),
            moved: BTreeMap::new(),
            releases: BTreeMap::new(),
            unknown: BTreeMap::new(),
            pool: Pool::default(),
            streams,
            timers: Timers::default(),
            found: Vec::new(),
            fresh: false,
            ending: false,
            finished: false,
            events: VecDeque::new(),
            counts: Counts::default(),
            terms: None,
            listed: BTreeMap::new(),
            keeping: None,
            notes: Vec::new(),
            tap: None,
        }
    }

    /// Acts on rules that are agreed on.
    pub fn with_rules(mut self, terms: AgreedRules) -> Self {
        self.terms = Some(terms);
        self
    }

    /// The time by the clock of leases, ahead of each input; nothing where the front acts on its own file alone.
    pub fn set_lease_time(&mut self, now: impl FnOnce() -> Micros) {
        if let Some(terms) = &mut self.terms {
            terms.set_lease_time(now());
        }
    }

    /// Has every event and its actions told to `tap`.
    pub fn with_tap(mut self, tap: Tap) -> Self {
        self.tap = Some(tap);
        self
    }

    /// Who decides.
    pub fn decider(&mut self) -> &mut D {
        &mut self.decider
    }

    /// What is due and when, the earliest first.
    pub fn deadlines(&self) -> impl Iterator<Item = &(Micros, Deadline)> {
        self.timers.entries()
    }

    /// When something is due next; the edge then hands in [`Input::Tick`].
    pub fn next_deadline(&self) -> Option<Micros> {
        self.timers.next_at().map(|at| at.max(self.held_until))
    }

    /// What was done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of sessions in the ledger, and of those that play.
    pub fn session_counts(&self) -> (usize, usize) {
        (self.sessions.len(), self.sessions.values().filter(|s| s.playing().is_some()).count())
    }

    /// Whether this session is in the ledger.
    pub fn contains(&self, id: &SessionId) -> bool {
        self.sessions.contains_key(id)
    }

    /// Releases that no box has confirmed yet.
    pub fn pending_releases(&self) -> usize {
        self.releases.len()
    }

    /// Which of this front's starts this is.
    pub fn boot(&self) -> u32 {
        self.boot
    }

    /// The session that this call of this client opened, while it is in the ledger.
    pub fn session_of_call(&self, client: ClientId, ticket: Ticket) -> Option<SessionId> {
        let own = self.by_client.get(&client)?;
        own.iter()
            .find(|id| self.sessions.get(*id).is_some_and(|s| s.client == Some((client, ticket))))
            .cloned()
    }

    /// The box that a connection goes to.
    pub fn box_of(&self, conn: ConnId) -> Option<ServerId> {
        self.pool.box_of(conn)
    }

    /// Connections: being made, busy, idle; and requests that wait for one.
    pub fn connections(&self) -> [usize; 4] {
        self.pool.count()
    }

    /// Takes in one input; what is to be done is added to `out`, in order.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let before = out.len();
        self.now = self.now.max(now);
        match input {
            Input::Open(client, ticket, opening) => self.open(client, ticket, opening, false, out),
            Input::Reopen(client, ticket, opening) => self.open(client, ticket, opening, true, out),
            Input::Cancel(client, ticket, open) => self.cancel(client, ticket, open, out),
            Input::Close(client, ticket, session) => self.close(client, ticket, &session, out),
            Input::Status(client, ticket, session, viewer) => {
                self.status(client, ticket, &session, viewer, out);
            }
            Input::ClientClosed(client) => self.client_gone(client, out),
            Input::ClientLost(client) => self.client_lost(client, out),
            Input::List(kind, lines) => self.list(kind, lines, out),
            Input::Dialed(conn, result) => {
                let kept = self.limits.idle_timeout;
                let ended = self.pool.dialed(self.now, conn, result, kept, &mut self.timers, out);
                self.request_ended(ended, out);
            }
            Input::Exchanged(conn, end) => {
                let kept = self.limits.idle_timeout;
                let ended = self.pool.exchanged(self.now, conn, end, kept, &mut self.timers, out);
                self.request_ended(ended, out);
            }
            Input::Stream(server, number, news) => self.stream(server, number, news, out),
            Input::Coordination(stand) => self.stands(*stand, out),
            Input::ShutDown => self.shut_down(out),
            Input::RecordStored(key, kept) => self.is_kept(&key, kept, out),
            Input::TakeOver(life, epoch, promises) => self.adopt(&life, epoch, &promises, out),
            Input::TakenOver(life) => self.replaced(&life, out),
            Input::TakeoverSuperseded(life) => self.give_up(&life, out),
            Input::Peers(others) => {
                if let Some(keeping) = self.keeping.as_mut().filter(|keeping| keeping.others != others) {
                    (keeping.others, keeping.moved_at) = (others, self.now);
                }
            }
            Input::ProcessResumed => {
                self.streams.woke(self.now);
                self.held_until = self.now + WAKES;
            }
            Input::Tick => {}
        }
        self.settle(out);
        while self.now >= self.held_until {
            let Some(due) = self.timers.pop(self.now) else { break };
            self.due(due, out);
            self.settle(out);
        }
        self.hold_back(before, out);
        out.append(&mut self.notes);
        if self.ending && !self.finished && self.sessions.is_empty() && self.releases.is_empty() {
            self.finished = true;
            self.streams.stop(out);
            self.pool.stop(out);
            out.push(Output::Finished);
        }
    }
}
