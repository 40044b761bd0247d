//! The ledger of sessions and attempts. It passes events to the decider, executes the actions that the
//! decider returns, and ensures one answer per request and one attempt at a time regardless of what the
//! decider asks for.

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
use super::pool::{Delivery, Pool, RequestEnd};
use super::session::{Attempt, Playing, Session, SetUpDenied, Stage};
use super::session_records::Replication;
use super::streams::{StreamOutcome, Streams};
use super::timers::{Deadline, Timers};
use super::*;

/// Maximum number of tries of one release. After that, the next list of sessions that the box reports shows
/// whether it still holds the session.
const MAX_RELEASE_TRIES: u32 = 4;
/// Number of pending releases at one box from which further sessions that only the box knows are queued.
const MAX_CONCURRENT_RELEASES: usize = 32;
/// Only with replication: if a connection ends this soon after a viewer reclaimed its session over it, the
/// viewer has not closed the session, us.
const RECLAIM_GRACE_US: Micros = 3_000_000;
/// Pause before the next try of a release that could not be written because this front has no lease, us.
const WITHHELD_RETRY_US: Micros = 300_000;
/// Pause before the second try of a release, us; doubles with each try.
const RELEASE_RETRY_US: Micros = 100_000;
/// Consecutive rung changes that may fail before the decider is told the rung in force.
const MAX_FAILED_RUNG_CHANGES: u32 = 2;

/// Counters since the start of the front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Open requests accepted.
    pub accepted: u64,
    /// Answers: the session plays.
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
    /// Sessions lost along with their boxes.
    pub lost: u64,
    /// Sessions resumed after a restart or a takeover.
    pub resumed: u64,
    /// Blocked actions: second answers.
    pub stopped_answers: u64,
    /// Blocked actions: set-ups while an attempt was in progress, or after the session was answered or over.
    pub stopped_attempts: u64,
    /// Blocked actions: set-ups or refusals of a session whose only permitted set-up may have been executed.
    pub stopped_effects: u64,
    /// Blocked actions: any other that could not be executed.
    pub stopped_others: u64,
    /// Answers that the ledger gave because nothing was decided in time.
    pub overdue: u64,
    /// Violations of the box API by peers.
    pub faults: u64,
}

impl Counts {
    /// Number of all blocked actions.
    pub fn stopped(&self) -> u64 {
        self.stopped_answers + self.stopped_attempts + self.stopped_effects + self.stopped_others
    }
}

/// Observer of each event passed to the decider and the actions it returned, for the decision record.
pub type Tap = Box<dyn FnMut(Micros, &Event, &[Action]) + Send + Sync>;

/// The state of one front. See [`crate::core`].
pub struct Ledger<D> {
    decider: D,
    settings: Arc<Settings>,
    limits: Limits,
    name: String,
    boot: u32,
    sessions_opened: u64,
    now: Micros,
    /// Deadlines are not processed before this time.
    deadlines_paused_until: Micros,
    sessions: BTreeMap<SessionId, Session>,
    by_client: BTreeMap<ClientId, BTreeSet<SessionId>>,
    /// Number of sessions of each viewer.
    by_viewer: BTreeMap<ViewerId, usize>,
    /// Addresses of the listed boxes.
    boxes: BTreeMap<ServerId, SocketAddr>,
    /// Sessions that this front moved and that have not been reopened.
    moved: BTreeMap<SessionId, ViewerId>,
    /// Releases that their boxes have not confirmed: box, session and attempt number at the box, with the
    /// number of failed tries.
    releases: BTreeMap<(ServerId, SessionId, u32), u32>,
    /// Sessions that only their boxes know, with the attempt number at the box, queued for release.
    unknown_sessions: BTreeMap<ServerId, BTreeSet<(SessionId, u32)>>,
    pool: Pool,
    streams: Streams,
    timers: Timers,
    /// Sessions reported by boxes before a current box list was received.
    found_sessions: Vec<(ServerId, HeldSession)>,
    list_is_current: bool,
    shutting_down: bool,
    finished: bool,
    /// Events that wait for the decider.
    events: VecDeque<Event>,
    counts: Counts,
    /// The agreed rules; `None` where the front acts on its own settings only.
    rules: Option<AgreedRules>,
    /// The last box list before operator orders were applied; kept only with agreed rules.
    box_list: BTreeMap<ServerId, ListEntry>,
    /// Replication of session records; `None` without replication.
    replication: Option<Replication>,
    /// Outputs for session records caused by the current input.
    record_outputs: Vec<Output>,
    tap: Option<Tap>,
}

/// Hold-off of a refusal whose reason is temporary, us.
const SHORT_HOLD_OFF_US: Micros = 1_000_000;

/// Why a set-up, or its answer, may not be written.
enum SetUpForbidden {
    /// The rules do not allow the session.
    Session(Refusal),
    /// The box accepts no new sessions.
    Box,
}

/// The session counts of a ledger, as the rules need them.
struct LedgerCounts<'a, D> {
    ledger: &'a Ledger<D>,
}

impl<D> SessionCounts for LedgerCounts<'_, D> {
    fn total(&self) -> usize {
        self.ledger.sessions.len()
    }

    fn of_class(&self, class: usize) -> usize {
        self.ledger.sessions.values().filter(|session| session.open_request.class == class).count()
    }

    fn of_viewer(&self, viewer: ViewerId) -> usize {
        self.ledger.by_viewer.get(&viewer).copied().unwrap_or(0)
    }
}

/// After the process resumes from a suspension, it first reads the input waiting in its sockets for this
/// long, us, before it processes deadlines that passed meanwhile. Danger: set-ups whose responses wait there
/// would be withdrawn, and boxes whose heartbeats wait there would be lost.
const RESUME_GRACE_US: Micros = 50_000;

/// The clone is independent of the original. It has no tap: its inputs are hypothetical, and do not belong in
/// the decision record.
impl<D: Clone> Clone for Ledger<D> {
    fn clone(&self) -> Self {
        Ledger {
            decider: self.decider.clone(),
            settings: Arc::clone(&self.settings),
            limits: self.limits.clone(),
            name: self.name.clone(),
            deadlines_paused_until: self.deadlines_paused_until,
            sessions: self.sessions.clone(),
            by_client: self.by_client.clone(),
            by_viewer: self.by_viewer.clone(),
            boxes: self.boxes.clone(),
            moved: self.moved.clone(),
            releases: self.releases.clone(),
            unknown_sessions: self.unknown_sessions.clone(),
            pool: self.pool.clone(),
            streams: self.streams.clone(),
            timers: self.timers.clone(),
            found_sessions: self.found_sessions.clone(),
            events: self.events.clone(),
            rules: self.rules.clone(),
            box_list: self.box_list.clone(),
            replication: self.replication.clone(),
            record_outputs: self.record_outputs.clone(),
            tap: None,
            ..*self
        }
    }
}

/// Only the state that determines future behaviour: no settings and no counters.
impl<D: fmt::Debug> fmt::Debug for Ledger<D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sessions = (&self.sessions, &self.by_client, &self.moved, &self.releases, &self.found_sessions);
        let flags =
            (self.boot, self.sessions_opened, self.list_is_current, self.shutting_down, self.finished);
        write!(f, "{sessions:?} {:?} {:?} {:?} {:?}", self.boxes, self.pool, self.streams, self.timers)?;
        write!(f, " {:?} {flags:?} {:?}", self.unknown_sessions, self.decider)
    }
}

impl<D: Decider> Ledger<D> {
    /// Creates the ledger of a front that has just started. `name` is the same at each start of the front;
    /// `boot` differs between starts, so that no session id is reused.
    pub fn new(decider: D, settings: Settings, limits: Limits, name: &str, boot: u32) -> Self {
        let streams = Streams::new(limits.silence_timeout);
        Ledger {
            decider,
            settings: Arc::new(settings),
            limits,
            name: name.to_owned(),
            boot,
            sessions_opened: 0,
            now: 0,
            deadlines_paused_until: 0,
            sessions: BTreeMap::new(),
            by_client: BTreeMap::new(),
            by_viewer: BTreeMap::new(),
            boxes: BTreeMap::new(),
            moved: BTreeMap::new(),
            releases: BTreeMap::new(),
            unknown_sessions: BTreeMap::new(),
            pool: Pool::default(),
            streams,
            timers: Timers::default(),
            found_sessions: Vec::new(),
            list_is_current: false,
            shutting_down: false,
            finished: false,
            events: VecDeque::new(),
            counts: Counts::default(),
            rules: None,
            box_list: BTreeMap::new(),
            replication: None,
            record_outputs: Vec::new(),
            tap: None,
        }
    }

    /// Enforces agreed rules.
    pub fn with_rules(mut self, rules: AgreedRules) -> Self {
        self.rules = Some(rules);
        self
    }

    /// Sets the time of the lease clock; to be called before each input. Has no effect without agreed rules.
    pub fn set_lease_time(&mut self, now: impl FnOnce() -> Micros) {
        if let Some(rules) = &mut self.rules {
            rules.set_lease_time(now());
        }
    }

    /// Reports every event and its actions to `tap`.
    pub fn with_tap(mut self, tap: Tap) -> Self {
        self.tap = Some(tap);
        self
    }

    /// The decider.
    pub fn decider(&mut self) -> &mut D {
        &mut self.decider
    }

    /// All deadlines with their times, earliest first.
    pub fn deadlines(&self) -> impl Iterator<Item = &(Micros, Deadline)> {
        self.timers.entries()
    }

    /// Time of the next deadline, at which the engine passes in [`Input::Tick`].
    pub fn next_deadline(&self) -> Option<Micros> {
        self.timers.next_at().map(|at| at.max(self.deadlines_paused_until))
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of sessions in the ledger, and number of those that play.
    pub fn session_counts(&self) -> (usize, usize) {
        (self.sessions.len(), self.sessions.values().filter(|s| s.playing().is_some()).count())
    }

    /// Whether the ledger has this session.
    pub fn contains(&self, id: &SessionId) -> bool {
        self.sessions.contains_key(id)
    }

    /// Number of releases that no box has confirmed yet.
    pub fn pending_releases(&self) -> usize {
        self.releases.len()
    }

    /// Boot number of this front.
    pub fn boot(&self) -> u32 {
        self.boot
    }

    /// The session that this open call of this client created, while the ledger has it.
    pub fn session_of_call(&self, client: ClientId, ticket: Ticket) -> Option<SessionId> {
        let sessions = self.by_client.get(&client)?;
        sessions
            .iter()
            .find(|id| self.sessions.get(*id).is_some_and(|s| s.client == Some((client, ticket))))
            .cloned()
    }

    /// The box that a connection leads to.
    pub fn box_of(&self, conn: ConnId) -> Option<ServerId> {
        self.pool.box_of(conn)
    }

    /// Number of connections being established, busy and idle, and of requests waiting for one.
    pub fn connections(&self) -> [usize; 4] {
        self.pool.count()
    }

    /// Handles one input and appends the resulting outputs, in order, to `out`.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let first_output = out.len();
        self.now = self.now.max(now);
        match input {
            Input::Open(client, ticket, open_request) => self.open(client, ticket, open_request, false, out),
            Input::Reopen(client, ticket, open_request) => self.open(client, ticket, open_request, true, out),
            Input::Cancel(client, ticket, open) => self.cancel(client, ticket, open, out),
            Input::Close(client, ticket, session) => self.close(client, ticket, &session, out),
            Input::Status(client, ticket, session, viewer) => {
                self.status(client, ticket, &session, viewer, out);
            }
            Input::ClientClosed(client) => self.client_closed(client, out),
            Input::ClientLost(client) => self.client_lost(client, out),
            Input::List(kind, lines) => self.update_box_list(kind, lines, out),
            Input::Dialed(conn, result) => {
                let idle_timeout = self.limits.idle_timeout;
                let ended = self.pool.dialed(self.now, conn, result, idle_timeout, &mut self.timers, out);
                self.request_ended(ended, out);
            }
            Input::Exchanged(conn, end) => {
                let idle_timeout = self.limits.idle_timeout;
                let ended = self.pool.exchanged(self.now, conn, end, idle_timeout, &mut self.timers, out);
                self.request_ended(ended, out);
            }
            Input::Stream(server, number, event) => self.handle_stream_event(server, number, event, out),
            Input::Coordination(state) => self.update_rules(*state, out),
            Input::ShutDown => self.shut_down(out),
            Input::RecordStored(key, stored) => self.record_stored(&key, stored, out),
            Input::TakeOver(incarnation, epoch, records) => {
                self.take_over(&incarnation, epoch, &records, out)
            }
            Input::TakenOver(incarnation) => self.taken_over(&incarnation, out),
            Input::TakeoverSuperseded(incarnation) => self.drop_incarnation(&incarnation, out),
            Input::Peers(peers) => {
                if let Some(replication) =
                    self.replication.as_mut().filter(|replication| replication.peers != peers)
                {
                    (replication.peers, replication.peers_changed_at) = (peers, self.now);
                }
            }
            Input::ProcessResumed => {
                self.streams.process_resumed(self.now);
                self.deadlines_paused_until = self.now + RESUME_GRACE_US;
            }
            Input::Tick => {}
        }
        self.run_decider(out);
        while self.now >= self.deadlines_paused_until {
            let Some(deadline) = self.timers.pop(self.now) else { break };
            self.handle_deadline(deadline, out);
            self.run_decider(out);
        }
        self.withhold_forbidden(first_output, out);
        out.append(&mut self.record_outputs);
        if self.shutting_down && !self.finished && self.sessions.is_empty() && self.releases.is_empty() {
            self.finished = true;
            self.streams.close_all(out);
            self.pool.close_all(out);
            out.push(Output::Finished);
        }
    }
}
