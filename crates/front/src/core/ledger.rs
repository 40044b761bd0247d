//! The ledger of sessions and attempts: told what happens, it asks the decider and carries out the answer, and
//! keeps the one answer and the one attempt whatever the decider says.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use salttally::interface::*;
use salttally_accord::core::rules::Refusal;

use super::pool::{End, Pool, Proof};
use super::session::{Attempt, Playing, Session, Stage, Stop};
use super::streams::{Streams, Verdict};
use super::terms::{Holds, Terms};
use super::timers::{Due, Timers};
use super::*;

/// Releases of one attempt that are tried before it is left to the box's own account of what it holds.
const RELEASES: u32 = 4;
/// Releases under way at one box, of sessions that it names and nobody knows.
const RELEASES_AT_ONCE: usize = 32;
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
    found: Vec<(ServerId, Held)>,
    fresh: bool,
    ending: bool,
    finished: bool,
    events: VecDeque<Event>,
    counts: Counts,
    /// Rules that are agreed on; nothing where the front acts on its own file alone.
    terms: Option<Terms>,
    /// The last list, before operators overruled it; kept only under rules.
    listed: BTreeMap<ServerId, Listed>,
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

impl<D> Holds for Counted<'_, D> {
    fn all(&self) -> usize {
        self.ledger.sessions.len()
    }

    fn of_class(&self, class: usize) -> usize {
        self.ledger.sessions.values().filter(|session| session.opening.class == class).count()
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
        let streams = Streams::new(limits.silent_after);
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
            tap: None,
        }
    }

    /// Acts on rules that are agreed on.
    pub fn under(mut self, terms: Terms) -> Self {
        self.terms = Some(terms);
        self
    }

    /// The time by the clock of leases, ahead of each input; nothing where the front acts on its own file alone.
    pub fn lease_clock(&mut self, now: impl FnOnce() -> Micros) {
        if let Some(terms) = &mut self.terms {
            terms.at(now());
        }
    }

    /// Until when a set-up that goes out now may be written, by the clock of leases.
    pub fn write_until(&self) -> Option<Micros> {
        self.terms.as_ref().map(Terms::until)
    }

    /// Has every event and its actions told to `tap`.
    pub fn tapped(mut self, tap: Tap) -> Self {
        self.tap = Some(tap);
        self
    }

    /// Who decides.
    pub fn decider(&mut self) -> &mut D {
        &mut self.decider
    }

    /// What is due and when, the earliest first.
    pub fn due_list(&self) -> impl Iterator<Item = &(Micros, Due)> {
        self.timers.entries()
    }

    /// When something is due next; the edge then hands in [`Input::Tick`].
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next().map(|at| at.max(self.held_until))
    }

    /// What was done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of sessions in the ledger, and of those that play.
    pub fn held(&self) -> (usize, usize) {
        (self.sessions.len(), self.sessions.values().filter(|s| s.playing().is_some()).count())
    }

    /// Whether this session is in the ledger.
    pub fn knows(&self, id: &SessionId) -> bool {
        self.sessions.contains_key(id)
    }

    /// Releases that no box has confirmed yet.
    pub fn releasing(&self) -> usize {
        self.releases.len()
    }

    /// Which of this front's starts this is.
    pub fn boot(&self) -> u32 {
        self.boot
    }

    /// The session that this call of this client opened, while it is in the ledger.
    pub fn session_of(&self, client: ClientId, ticket: Ticket) -> Option<SessionId> {
        let own = self.by_client.get(&client)?;
        own.iter()
            .find(|id| self.sessions.get(*id).is_some_and(|s| s.client == Some((client, ticket))))
            .cloned()
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
            Input::Return(client, ticket, opening) => self.open(client, ticket, opening, true, out),
            Input::Cancel(client, ticket, open) => self.cancel(client, ticket, open, out),
            Input::Close(client, ticket, session) => self.close(client, ticket, &session, out),
            Input::Status(client, ticket, session, viewer) => {
                self.status(client, ticket, &session, viewer, out);
            }
            Input::ClientGone(client) => self.client_gone(client, out),
            Input::ClientLost(client) => self.client_lost(client, out),
            Input::List(kind, lines) => self.list(kind, lines, out),
            Input::Dialed(conn, result) => {
                let kept = self.limits.idle_kept;
                let ended = self.pool.dialed(self.now, conn, result, kept, &mut self.timers, out);
                self.request_ended(ended, out);
            }
            Input::Exchanged(conn, end) => {
                let kept = self.limits.idle_kept;
                let ended = self.pool.exchanged(self.now, conn, end, kept, &mut self.timers, out);
                self.request_ended(ended, out);
            }
            Input::Stream(server, number, news) => self.stream(server, number, news, out),
            Input::Stand(stand) => self.stands(*stand, out),
            Input::ShutDown => self.shut_down(out),
            Input::Woke => {
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
        if self.ending && !self.finished && self.sessions.is_empty() && self.releases.is_empty() {
            self.finished = true;
            self.streams.stop(out);
            self.pool.stop(out);
            out.push(Output::Finished);
        }
    }

    // ---- Clients ----

    fn open(
        &mut self,
        client: ClientId,
        ticket: Ticket,
        mut opening: Opening,
        only_back: bool,
        out: &mut Vec<Output>,
    ) {
        let moved = opening.moved_from.as_ref().filter(|old| self.moved.get(*old) == Some(&opening.viewer));
        if only_back && moved.is_none() {
            out.push(Output::Reply(client, ticket, Reply::OnlyBack(self.settings.max_hold_off)));
            return;
        }
        if let Some((most, by)) = self.over(client, opening.viewer) {
            out.push(Output::Reply(client, ticket, Reply::Over(most, by)));
            return;
        }
        self.opened += 1;
        // Of one width, so that ids sort as they were opened whatever the boot.
        let id = SessionId(Arc::from(format!("{}-{:08x}-{:010}", self.name, self.boot, self.opened)));
        self.counts.accepted += 1;
        if self.ending {
            self.counts.refused += 1;
            let hold_off = self.settings.max_hold_off;
            out.push(Output::Answer(client, ticket, Answer::Refused(id, hold_off)));
            return;
        }
        let moved = moved.cloned();
        if let Some(terms) = &self.terms {
            if let Err(why) = terms.may(&opening, &Counted { ledger: self }) {
                self.counts.refused += 1;
                let answer = Answer::Refused(id, self.come_back(why));
                out.push(Output::Answer(client, ticket, answer));
                return;
            }
            terms.narrow(&mut opening, self.settings.cells);
        }
        // A move counts as one only for the viewer and the session that it was done to, and once.
        let moved = moved.is_some_and(|old| self.moved.remove(&old).is_some());
        let request = opening.request(&id, moved);
        let class = self.settings.classes.get(opening.class);
        let (effect, floor) = class.map_or((Effect::Safe, 0), |class| (class.effect, class.floor));
        let session = Session::new(Some((client, ticket)), opening, effect, floor, self.now);
        self.timers.set(session.overdue_at(self.limits.answer_slack), Due::Overdue(id.clone()));
        self.insert(id.clone(), session);
        self.by_client.entry(client).or_default().insert(id);
        self.events.push_back(Event::Request(request));
    }

    /// Whose sessions are as many as they may be, if a further one of this client and viewer is asked for.
    fn over(&self, client: ClientId, viewer: ViewerId) -> Option<(usize, HeldBy)> {
        let own = self.by_client.get(&client).map_or(0, BTreeSet::len);
        let of_viewer = self.by_viewer.get(&viewer).copied().unwrap_or(0);
        let limits = &self.limits;
        if own >= limits.per_connection {
            Some((limits.per_connection, HeldBy::Connection))
        } else if of_viewer >= limits.per_viewer {
            Some((limits.per_viewer, HeldBy::Viewer))
        } else {
            None
        }
    }

    fn insert(&mut self, id: SessionId, session: Session) {
        *self.by_viewer.entry(session.opening.viewer).or_insert(0) += 1;
        self.sessions.insert(id, session);
    }

    /// Whether this client has sessions, or opens that wait for their answers.
    pub fn holds(&self, client: ClientId) -> bool {
        self.by_client.contains_key(&client)
    }

    fn cancel(&mut self, client: ClientId, ticket: Ticket, open: Ticket, out: &mut Vec<Output>) {
        let by = Some((client, open));
        let own = self.by_client.get(&client).into_iter().flatten();
        let mut found = own.filter(|id| self.sessions.get(*id).is_some_and(|s| s.client == by && s.owed()));
        let Some(id) = found.next().cloned() else {
            // The answer has crossed the cancellation: there is nothing to give up, the client may close it.
            out.push(Output::Reply(client, ticket, Reply::Unknown));
            return;
        };
        self.answer(&id, Answer::Failed(id.clone(), FailReason::Cancelled), out);
        self.events.push_back(Event::Left(id));
        out.push(Output::Reply(client, ticket, Reply::Cancelled));
    }

    fn close(&mut self, client: ClientId, ticket: Ticket, id: &SessionId, out: &mut Vec<Output>) {
        let own = self.by_client.get(&client).is_some_and(|own| own.contains(id));
        let plays = self.sessions.get(id).is_some_and(|s| s.playing().is_some());
        if !(own && plays) {
            out.push(Output::Reply(client, ticket, Reply::Unknown));
            return;
        }
        self.stop_playing(id, Outcome::Ok, true, out);
        out.push(Output::Reply(client, ticket, Reply::Closed(id.clone())));
    }

    fn status(
        &mut self,
        client: ClientId,
        ticket: Ticket,
        id: &SessionId,
        viewer: Option<ViewerId>,
        out: &mut Vec<Output>,
    ) {
        let mut reply = Reply::Unknown;
        if let Some(session) = self.sessions.get_mut(id) {
            if session.client.is_none() && viewer == Some(session.opening.viewer) {
                // Found at a box after a restart of this front, or left without a word: its viewer is back for it.
                session.client = Some((client, ticket));
                if let Some(at) = session.claim_by.take() {
                    self.timers.unset(at, Due::Claim(id.clone()));
                }
                self.by_client.entry(client).or_default().insert(id.clone());
            }
            if session.client.is_some_and(|(of, _)| of == client) {
                let playing = session.playing().map(|p| (p.attempt.server, p.attempt.rung));
                let class = session.opening.class;
                let playing = playing.map(|(at, rung)| (at, rung, self.rate(class, rung)));
                reply = Reply::Status { session: id.clone(), playing };
            }
        }
        out.push(Output::Reply(client, ticket, reply));
    }

    /// Danger: a session that plays for nobody, or an answer written to a connection that is gone.
    fn client_gone(&mut self, client: ClientId, out: &mut Vec<Output>) {
        for id in self.by_client.remove(&client).unwrap_or_default() {
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            session.client = None;
            if session.owed() {
                self.settled(&id);
                self.events.push_back(Event::Left(id));
            } else if session.playing().is_some() {
                self.stop_playing(&id, Outcome::Ok, true, out);
            }
        }
    }

    /// A client that is gone without a word. Danger: its sessions would play, and hold seats, for as long as their
    /// titles last; or, ended at once, a viewer whose line was down for a moment would lose what it paid for. So they
    /// wait a while for their viewer. What was not answered yet is given up: its answer can reach nobody.
    fn client_lost(&mut self, client: ClientId, out: &mut Vec<Output>) {
        let until = self.now + self.limits.silent_kept;
        let own = self.by_client.get(&client).cloned().unwrap_or_default();
        for id in own {
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            if session.playing().is_some() {
                (session.client, session.claim_by) = (None, Some(until));
                self.timers.set(until, Due::Claim(id.clone()));
                if let Some(own) = self.by_client.get_mut(&client) {
                    own.remove(&id);
                }
            }
        }
        self.client_gone(client, out);
    }

    // ---- Answers ----

    /// Gives the one answer, if it is still owed; returns whether it was.
    fn answer(&mut self, id: &SessionId, answer: Answer, out: &mut Vec<Output>) -> bool {
        let Some(session) = self.sessions.get(id).filter(|session| session.owed()) else { return false };
        match answer {
            Answer::Plays { .. } => self.counts.played += 1,
            Answer::Refused(..) => self.counts.refused += 1,
            Answer::Failed(..) => self.counts.failed += 1,
        }
        if let Some((client, ticket)) = session.client {
            out.push(Output::Answer(client, ticket, answer));
        }
        self.settled(id);
        true
    }

    /// No answer is owed any more; a session with no attempt out is over by that.
    fn settled(&mut self, id: &SessionId) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let at = session.overdue_at(self.limits.answer_slack);
        self.timers.unset(at, Due::Overdue(id.clone()));
        if session.settled() {
            self.drop_session(id);
        }
    }

    fn drop_session(&mut self, id: &SessionId) {
        let Some(session) = self.sessions.remove(id) else { return };
        if let Some(count) = self.by_viewer.get_mut(&session.opening.viewer) {
            *count -= 1;
            if *count == 0 {
                self.by_viewer.remove(&session.opening.viewer);
            }
        }
        if let Some(at) = session.claim_by {
            self.timers.unset(at, Due::Claim(id.clone()));
        }
        let Some((client, _)) = session.client else { return };
        if let Some(own) = self.by_client.get_mut(&client) {
            own.remove(id);
            if own.is_empty() {
                self.by_client.remove(&client);
            }
        }
    }

    fn rate(&self, class: usize, rung: usize) -> f64 {
        let factor = self.settings.classes.get(class).map_or(1.0, |class| class.rate_factor);
        self.settings.ladder.get(rung).map_or(0.0, |step| step.kb * factor)
    }

    // ---- The decider's actions, and the lock ----

    /// Tells the decider all that waits to be told, and carries out what it answers. Each round of a session
    /// uses up one of its attempts, so this ends whatever the decider does.
    fn settle(&mut self, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.decider.handle(self.now, &event, &mut actions);
            if let Some(tap) = &mut self.tap {
                tap(self.now, &event, &actions);
            }
            for action in actions.drain(..) {
                self.carry_out(action, out);
            }
        }
    }

    fn carry_out(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::SetUp(id, server, time_out) => self.set_up(&id, server, time_out, out),
            Action::SetRung(id, rung) => self.set_rung(&id, rung, out),
            Action::Move(id) => self.move_away(&id, out),
            Action::Refuse(id, hold_off) => self.refuse(&id, hold_off, out),
            Action::Fail(id) => {
                if !self.answer(&id, Answer::Failed(id.clone(), FailReason::GivenUp), out) {
                    self.counts.stopped_answers += 1;
                    self.stopped("a second answer", &id, out);
                }
            }
            Action::Probe(server) => match self.boxes.get(&server) {
                Some(address) => {
                    let to = (server, *address);
                    self.counts.probes += 1;
                    self.ask(to, BoxRequest::Probe, out);
                }
                None => {
                    self.counts.stopped_others += 1;
                    let outcome = Outcome::NotSent;
                    self.events.push_back(Event::Probed { server, outcome, report: Vec::new() });
                }
            },
            Action::FollowList => out.push(Output::FollowList),
            Action::WakeAt(tag, at) => self.timers.set(at, Due::Wake(tag)),
            Action::Log(text) => out.push(Output::Log(Level::Info, text)),
        }
    }

    fn stopped(&self, what: &str, id: &SessionId, out: &mut Vec<Output>) {
        out.push(Output::Log(Level::Warn, format!("stopped {what} for session {}", id.0)));
    }

    fn set_up(&mut self, id: &SessionId, server: ServerId, time_out: Micros, out: &mut Vec<Output>) {
        let address = self.boxes.get(&server).copied();
        let Some(session) = self.sessions.get_mut(id) else {
            self.counts.stopped_attempts += 1;
            return self.stopped("a set-up of no session here", id, out);
        };
        let next = session.next_attempt(self.now, &self.settings);
        let (number, address) = match (next, address) {
            (Err(Stop::TooMany), _) => {
                self.counts.stopped_attempts += 1;
                return self.stopped("an attempt too many", id, out);
            }
            (Ok(number), Some(address)) => (number, Ok(address)),
            (Ok(number), None) | (Err(Stop::Terms(number)), _) => {
                (number, Err(&mut self.counts.stopped_others))
            }
            (Err(Stop::NotHeld(number)), _) => (number, Err(&mut self.counts.stopped_attempts)),
            (Err(Stop::MayHaveRun(number)), _) => (number, Err(&mut self.counts.stopped_effects)),
        };
        let address = match address {
            Ok(address) => address,
            Err(stopped) => {
                *stopped += 1;
                let ended = Event::Ended {
                    session: id.clone(),
                    attempt: number,
                    server,
                    outcome: Outcome::NotSent,
                    last: !session.owed(),
                    report: Vec::new(),
                };
                self.events.push_back(ended);
                return self.stopped("a set-up that must not be", id, out);
            }
        };
        // Danger: the lease has ended, or another version has come, since this was decided: others act on other rules.
        if let Some(forbidden) = self.forbidden(id, server) {
            let ended = |outcome, last| Event::Ended {
                session: id.clone(),
                attempt: number,
                server,
                outcome,
                last,
                report: Vec::new(),
            };
            match forbidden {
                Forbidden::Box => self.events.push_back(ended(Outcome::Full, false)),
                Forbidden::All(why) => {
                    let after = self.come_back(why);
                    self.refuse(id, after, out);
                    self.events.push_back(ended(Outcome::NotSent, true));
                }
            }
            return;
        }
        let Some(session) = self.sessions.get_mut(id) else { return };
        // No time-out of the module's means until the viewer gives up; none reaches past that.
        let whole = session.deadline - self.now;
        let time_out = if time_out == 0 { whole } else { time_out.min(whole) };
        let expires = self.now + time_out;
        let rung = session.wanted;
        let attempt = Attempt { number, wire: number, server, address, sent: self.now, expires, rung };
        session.stage = Stage::Trying(attempt);
        let opening = session.opening.clone();
        self.counts.attempts += 1;
        self.timers.set(expires, Due::Expire(id.clone(), number));
        let request = BoxRequest::SetUp { session: id.clone(), attempt: number, rung, opening, time_out };
        let most = self.limits.connections;
        self.pool.send((server, address), request, None, most, &mut self.timers, out);
    }

    fn set_rung(&mut self, id: &SessionId, rung: usize, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        if !session.in_terms(rung, self.settings.classes.get(session.opening.class)) {
            self.counts.stopped_others += 1;
            return self.stopped("a rung outside the terms", id, out);
        }
        session.wanted = rung;
        self.change_rung(id, out);
    }

    /// Has the box told of the rung that is wanted; one change at a time is under way for a session.
    fn change_rung(&mut self, id: &SessionId, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (wanted, class) = (session.wanted, session.opening.class);
        let Stage::Playing(playing) = &mut session.stage else { return };
        if playing.changing.is_some() || playing.attempt.rung == wanted {
            return;
        }
        playing.changing = Some(wanted);
        let to = (playing.attempt.server, playing.attempt.address);
        let attempt = playing.attempt.wire;
        self.ask(to, BoxRequest::SetRung { session: id.clone(), attempt, rung: wanted, class }, out);
    }

    fn move_away(&mut self, id: &SessionId, out: &mut Vec<Output>) {
        let playing = self.sessions.get(id).filter(|session| session.playing().is_some());
        let Some((client, viewer)) = playing.map(|s| (s.client, s.opening.viewer)) else {
            // Several sessions end by one input, and the module hears of them one by one: it may choose one whose end it
            // is about to hear of. That is no fault of its.
            let ends =
                |event: &Event| matches!(event, Event::Ended { session, last: true, .. } if session == id);
            if self.events.iter().any(ends) {
                return;
            }
            self.counts.stopped_others += 1;
            return self.stopped("a move of what does not play", id, out);
        };
        self.counts.moved += 1;
        self.moved.insert(id.clone(), viewer);
        self.timers.set(self.now + self.limits.moved_kept, Due::Moved(id.clone()));
        if let Some((client, _)) = client {
            out.push(Output::Tell(client, News::Move(id.clone())));
        }
        self.stop_playing(id, Outcome::Withdrawn, true, out);
    }

    fn refuse(&mut self, id: &SessionId, hold_off: Micros, out: &mut Vec<Output>) {
        let answer = if self.sessions.get(id).is_some_and(Session::not_to_refuse) {
            self.counts.stopped_effects += 1;
            self.stopped("a refusal of what may have run", id, out);
            Answer::Failed(id.clone(), FailReason::GivenUp)
        } else {
            Answer::Refused(id.clone(), hold_off)
        };
        if !self.answer(id, answer, out) {
            self.counts.stopped_answers += 1;
            self.stopped("a second answer", id, out);
        }
    }

    // ---- Rules that are agreed on ----

    /// Whether a set-up or its answer may not be written now.
    fn forbidden(&self, id: &SessionId, server: ServerId) -> Option<Forbidden> {
        let terms = self.terms.as_ref()?;
        let session = self.sessions.get(id).filter(|session| session.owed())?;
        match terms.allows(&session.opening) {
            Err(why) => Some(Forbidden::All(why)),
            Ok(()) if terms.held(server) && session.out().is_none() => Some(Forbidden::Box),
            Ok(()) => None,
        }
    }

    /// Takes set-ups back that are about to go out and may not. Danger: one that waited for its connection was decided
    /// under rules that have changed since; found by a test that draws what happens.
    fn hold_back(&mut self, from: usize, out: &mut Vec<Output>) {
        let stopped = |ledger: &Self, output: &Output| match output {
            Output::Exchange(conn, BoxRequest::SetUp { opening, .. }) => {
                ledger.terms.as_ref()?.allows(opening).is_err().then_some(*conn)
            }
            _ => None,
        };
        while let Some((at, conn)) =
            out.iter().enumerate().skip(from).find_map(|(at, output)| Some((at, stopped(self, output)?)))
        {
            out.remove(at);
            let (end, kept) = (ExchangeEnd::Unwritten, self.limits.idle_kept);
            let ended = self.pool.exchanged(self.now, conn, end, kept, &mut self.timers, out);
            self.request_ended(ended, out);
            self.settle(out);
        }
    }

    /// When a viewer who is refused may come back: soon where the reason passes by itself.
    fn come_back(&self, why: Refusal) -> Micros {
        let most = self.settings.max_hold_off;
        if why.passes() {
            most.min(COME_BACK)
        } else {
            most
        }
    }

    fn stands(&mut self, stand: Stand, out: &mut Vec<Output>) {
        let Some(terms) = &mut self.terms else { return };
        if !terms.stands(stand) {
            return;
        }
        let ends = |s: &Session| s.playing().is_some() && terms.ends(s.opening.class);
        let ended: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| ends(s)).map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.ended_by_itself(&id, EndReason::Rules, Outcome::Withdrawn, out);
        }
        let again: Vec<Listed> = self.listed.values().cloned().collect();
        if !again.is_empty() {
            self.overruled(ListKind::Changes, again);
        }
    }

    /// Tells the module the list, as operators have overruled it.
    fn overruled(&mut self, kind: ListKind, lines: Vec<Listed>) {
        if let Some(terms) = &self.terms {
            if matches!(kind, ListKind::Whole) {
                self.listed.clear();
            }
            for line in &lines {
                if line.entry.state == ServerState::Gone {
                    self.listed.remove(&line.entry.server);
                } else {
                    self.listed.insert(line.entry.server, line.clone());
                }
            }
            let overrule = |line: Listed| {
                let mut entry = line.entry;
                terms.overrule(&mut entry);
                entry
            };
            let entries = lines.into_iter().map(overrule).collect();
            self.events.push_back(Event::Servers(kind, entries));
            return;
        }
        let entries = lines.into_iter().map(|line| line.entry).collect();
        self.events.push_back(Event::Servers(kind, entries));
    }

    // ---- Boxes: requests and their ends ----

    /// Asks a box for something other than a set-up.
    fn ask(&mut self, to: (ServerId, SocketAddr), request: BoxRequest, out: &mut Vec<Output>) {
        let until = Some(self.now + self.limits.ask_within);
        self.pool.send(to, request, until, self.limits.connections, &mut self.timers, out);
    }

    fn request_ended(&mut self, ended: Option<(ServerId, BoxRequest, End)>, out: &mut Vec<Output>) {
        let Some((server, request, end)) = ended else { return };
        if let End::Exchange(ExchangeEnd::Malformed(reason)) = &end {
            self.counts.faults += 1;
            out.push(Output::Log(Level::Warn, format!("box {}: {reason}", server.0)));
        }
        match request {
            BoxRequest::SetUp { session, attempt, .. } => {
                self.set_up_ended(server, &session, attempt, end, out)
            }
            BoxRequest::SetRung { session, attempt, rung, .. } => {
                self.rung_ended(&session, attempt, rung, &end, out)
            }
            BoxRequest::Release { session, attempt } => {
                // Refused, the process is gone and all that it played.
                let done = matches!(
                    end,
                    End::NoConnection(DialError::Refused)
                        | End::Exchange(ExchangeEnd::Answered {
                            answer: BoxAnswer::Done | BoxAnswer::Unknown,
                            ..
                        })
                );
                self.release_ended(server, session, attempt, done);
                self.next_unknown(server, out);
            }
            BoxRequest::Probe => {
                let (outcome, report) = outcome_of(end);
                self.events.push_back(Event::Probed { server, outcome, report });
            }
        }
    }

    fn set_up_ended(
        &mut self,
        server: ServerId,
        id: &SessionId,
        number: u32,
        end: End,
        out: &mut Vec<Output>,
    ) {
        let out_now = self.sessions.get(id).and_then(Session::out).filter(|attempt| attempt.number == number);
        let Some(attempt) = out_now.cloned() else { return };
        self.timers.unset(attempt.expires, Due::Expire(id.clone(), number));
        let (outcome, report) = outcome_of(end);
        if outcome != Outcome::Ok {
            if !outcome.never_ran() {
                // Danger: it plays for nobody, found by the exploration. The answer was lost, and the box is told.
                self.release((server, attempt.address), id, attempt.wire, out);
            }
            return self.attempt_ended(server, id, number, outcome, report, out);
        }
        let slack = self.limits.answer_slack;
        if self.sessions.get(id).is_some_and(|s| s.owed() && s.overdue_at(slack) <= self.now) {
            // It lay unread past its viewer's time: nobody may be told that it plays.
            self.due(Due::Overdue(id.clone()), out);
        }
        let Some(session) = self.sessions.get_mut(id) else { return };
        session.may_have_run = true;
        if let Stage::Abandoned(_) = session.stage {
            // The viewer gave up while it was set up: nobody watches.
            self.release((server, attempt.address), id, attempt.wire, out);
            return self.attempt_ended(server, id, number, Outcome::Withdrawn, report, out);
        }
        let (class, rung) = (session.opening.class, attempt.rung);
        if let Some(Forbidden::All(why)) = self.forbidden(id, server) {
            // It was set up while it might be, and nobody may be told now that it plays.
            self.release((server, attempt.address), id, attempt.wire, out);
            let after = self.come_back(why);
            self.refuse(id, after, out);
            return self.attempt_ended(server, id, number, Outcome::Withdrawn, report, out);
        }
        let answer = Answer::Plays {
            session: id.clone(),
            server,
            address: attempt.address,
            rung,
            rate_kb: self.rate(class, rung),
        };
        let took = self.now - attempt.sent;
        let client = self.sessions.get(id).and_then(|s| s.client);
        self.counts.played += 1;
        if let Some((client, ticket)) = client {
            out.push(Output::Answer(client, ticket, answer));
        }
        if let Some(session) = self.sessions.get_mut(id) {
            let at = session.overdue_at(self.limits.answer_slack);
            self.timers.unset(at, Due::Overdue(id.clone()));
            session.stage = Stage::Playing(Playing { attempt, changing: None, missed: 0 });
        }
        self.events.push_back(Event::Started { session: id.clone(), server, took });
        self.told_at_set_up(id, server, &report);
        self.change_rung(id, out);
    }

    /// A box tells at the set-up how full its link and its rack's uplink are.
    fn told_at_set_up(&mut self, id: &SessionId, server: ServerId, report: &[f64]) {
        for (field, value) in self.settings.reports.iter().zip(report) {
            let note = match field {
                ReportField::Link => Note::Link(*value),
                ReportField::Uplink => Note::Uplink(*value),
                _ => continue,
            };
            self.events.push_back(Event::Note { session: id.clone(), server, note });
        }
    }

    fn attempt_ended(
        &mut self,
        server: ServerId,
        id: &SessionId,
        number: u32,
        outcome: Outcome,
        report: Vec<f64>,
        out: &mut Vec<Output>,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let over = session.attempt_ended(outcome);
        let session = id.clone();
        self.events.push_back(Event::Ended { session, attempt: number, server, outcome, last: over, report });
        if over {
            self.drop_session(id);
        }
        self.settle(out);
    }

    fn rung_ended(&mut self, id: &SessionId, wire: u32, rung: usize, end: &End, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (class, client, wanted) = (session.opening.class, session.client, session.wanted);
        let Stage::Playing(playing) = &mut session.stage else { return };
        if playing.attempt.wire != wire || playing.changing != Some(rung) {
            return;
        }
        playing.changing = None;
        let (server, in_force) = (playing.attempt.server, playing.attempt.rung);
        if let End::Exchange(ExchangeEnd::Answered { answer: BoxAnswer::Done, .. }) = end {
            (playing.attempt.rung, playing.missed) = (rung, 0);
            let rate = self.rate(class, rung);
            if let Some((client, _)) = client {
                out.push(Output::Tell(client, News::Rung(id.clone(), rung, rate)));
            }
        } else {
            playing.missed += 1;
            if playing.missed > RUNG_MISSES {
                // The module's account must not hold a rung that the box was never told.
                (playing.missed, session.wanted) = (0, in_force);
                let note = Note::Rung(in_force);
                self.events.push_back(Event::Note { session: id.clone(), server, note });
                return;
            }
        }
        if wanted != self.sessions.get(id).and_then(Session::playing).map_or(wanted, |p| p.attempt.rung) {
            self.change_rung(id, out);
        }
    }

    // ---- Ends of sessions ----

    /// A playing session ends; `release` tells whether the box must be told.
    fn stop_playing(&mut self, id: &SessionId, outcome: Outcome, release: bool, out: &mut Vec<Output>) {
        let playing = self.sessions.get(id).and_then(Session::playing);
        let Some(attempt) = playing.map(|playing| playing.attempt.clone()) else { return };
        self.drop_session(id);
        if release {
            self.release((attempt.server, attempt.address), id, attempt.wire, out);
        }
        let (session, server) = (id.clone(), attempt.server);
        let report = Vec::new();
        let ended = Event::Ended { session, attempt: attempt.number, server, outcome, last: true, report };
        self.events.push_back(ended);
    }

    fn release(&mut self, to: (ServerId, SocketAddr), id: &SessionId, wire: u32, out: &mut Vec<Output>) {
        self.releases.entry((to.0, id.clone(), wire)).or_insert(0);
        self.ask(to, BoxRequest::Release { session: id.clone(), attempt: wire }, out);
    }

    /// Releases what plays for nobody. Danger: a box that names thousands of sessions that never were would have as
    /// many requests sent to it at once, each with a connection and a thread of its own.
    fn release_unknown(
        &mut self,
        to: (ServerId, SocketAddr),
        id: SessionId,
        wire: u32,
        out: &mut Vec<Output>,
    ) {
        if self.releases.contains_key(&(to.0, id.clone(), wire)) {
            return;
        }
        if self.releasing_at(to.0) < RELEASES_AT_ONCE {
            return self.release(to, &id, wire, out);
        }
        self.unknown.entry(to.0).or_default().insert((id, wire));
    }

    fn releasing_at(&self, server: ServerId) -> usize {
        let from = (server, SessionId(Arc::from("")), 0);
        self.releases.range(from..).take_while(|((at, ..), _)| *at == server).take(RELEASES_AT_ONCE).count()
    }

    /// A release at this box has ended: the next one of those that wait.
    fn next_unknown(&mut self, server: ServerId, out: &mut Vec<Output>) {
        if self.releasing_at(server) >= RELEASES_AT_ONCE {
            return;
        }
        let Some(mut waiting) = self.unknown.remove(&server) else { return };
        // A box that is gone has taken with it what it played.
        let Some(address) = self.streams.address(server) else { return };
        let Some((id, wire)) = waiting.pop_first() else { return };
        if !waiting.is_empty() {
            self.unknown.insert(server, waiting);
        }
        self.release((server, address), &id, wire, out);
    }

    /// A release that did not reach the box is tried again a few times. After that the box's own account of
    /// what it holds, sent whenever its stream is made, shows what plays for nobody.
    fn release_ended(&mut self, server: ServerId, id: SessionId, wire: u32, done: bool) {
        let key = (server, id.clone(), wire);
        let Some(tries) = self.releases.get_mut(&key) else { return };
        *tries += 1;
        if done || *tries >= RELEASES {
            self.releases.remove(&key);
            return;
        }
        let pause = RELEASE_PAUSE << (*tries - 1);
        self.timers.set(self.now + pause, Due::Release(server, id, wire));
    }

    fn expire(&mut self, id: &SessionId, number: u32, out: &mut Vec<Output>) {
        let out_now = self.sessions.get(id).and_then(Session::out).filter(|attempt| attempt.number == number);
        let Some(attempt) = out_now.cloned() else { return };
        let outcome = match self.pool.withdraw(id, number, out) {
            Proof::Unsent => Outcome::NoConnection,
            Proof::MayHaveRun => {
                // It may begin yet, or play: the box is told that nobody waits for it.
                self.release((attempt.server, attempt.address), id, attempt.wire, out);
                Outcome::TimedOut
            }
        };
        self.attempt_ended(attempt.server, id, number, outcome, Vec::new(), out);
    }

    // ---- Boxes: list and streams ----

    fn list(&mut self, kind: ListKind, lines: Vec<Listed>, out: &mut Vec<Output>) {
        if kind != ListKind::Lost {
            let gone = gone(kind, &lines, self.boxes.keys());
            for line in &lines {
                let id = line.entry.server;
                if line.entry.state != ServerState::Gone {
                    self.boxes.insert(id, line.address);
                    self.streams.listed(self.now, id, line.address, &mut self.timers, out);
                }
            }
            for id in gone {
                self.boxes.remove(&id);
                // What was found there and waits for a fresh list counts too: it is about to be taken up.
                let in_use = self.found.iter().any(|(server, _)| *server == id)
                    || self.sessions.values().any(|s| s.at().is_some_and(|a| a.server == id));
                self.streams.unlisted(id, in_use, out);
                self.pool.forget(id, &mut self.timers, out);
            }
        }
        self.overruled(kind, lines);
        if matches!(kind, ListKind::Whole | ListKind::Changes) && !self.fresh {
            self.fresh = true;
            for (server, held) in std::mem::take(&mut self.found) {
                self.resume(server, held, out);
            }
        }
    }

    fn stream(&mut self, server: ServerId, number: u64, news: StreamNews, out: &mut Vec<Output>) {
        let asked = self.streams.asked(server);
        if !self.streams.heard(self.now, server, number) {
            return;
        }
        let lost_after = self.limits.lost_after;
        let why = match news {
            StreamNews::Beat => return,
            StreamNews::Up(held) => {
                self.streams.up(self.now, server, &mut self.timers);
                return self.compare(server, asked.unwrap_or(self.now), held, out);
            }
            StreamNews::Note(session, note) => {
                let plays = self.sessions.get(&session).and_then(Session::playing);
                if plays.is_some_and(|playing| playing.attempt.server == server) {
                    self.events.push_back(Event::Note { session, server, note });
                }
                return;
            }
            StreamNews::Began(held) => return self.found(server, held, out),
            StreamNews::Ended(session, wire) => {
                let plays = self.sessions.get(&session).and_then(Session::playing);
                if plays.is_some_and(|p| p.attempt.server == server && p.attempt.wire == wire) {
                    self.ended_by_itself(&session, EndReason::Box, Outcome::Broken, out);
                }
                return;
            }
            StreamNews::CutOff(reason) => {
                self.counts.faults += 1;
                if self.streams.cut_off(self.now, server, &mut self.timers) {
                    let text = format!("box {} is cut off now and then: {reason}", server.0);
                    out.push(Output::Log(Level::Warn, text));
                }
                return;
            }
            StreamNews::NoConnection(error) => Some(error),
            StreamNews::Broken => None,
        };
        let verdict = self.streams.broke(self.now, server, why, lost_after, &mut self.timers, out);
        self.judge_stream(server, verdict, out);
    }

    fn judge_stream(&mut self, server: ServerId, verdict: Verdict, out: &mut Vec<Output>) {
        if verdict != Verdict::Lost {
            return;
        }
        self.pool.forget(server, &mut self.timers, out);
        let there = |s: &Session| s.playing().is_some_and(|playing| playing.attempt.server == server);
        let lost: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| there(s)).map(|(id, _)| id.clone()).collect();
        for id in lost {
            self.ended_by_itself(&id, EndReason::Lost, Outcome::Broken, out);
        }
    }

    fn ended_by_itself(&mut self, id: &SessionId, why: EndReason, outcome: Outcome, out: &mut Vec<Output>) {
        self.counts.lost += u64::from(why == EndReason::Lost);
        if let Some((client, _)) = self.sessions.get(id).and_then(|session| session.client) {
            out.push(Output::Tell(client, News::Ended(id.clone(), why)));
        }
        self.stop_playing(id, outcome, why != EndReason::Box, out);
    }

    /// Compares what a box says it holds with what is known here.
    fn compare(&mut self, server: ServerId, asked: Micros, held: Vec<Held>, out: &mut Vec<Output>) {
        let named: BTreeMap<&SessionId, u32> = held.iter().map(|h| (&h.session, h.attempt)).collect();
        // What was sent after the stream was asked for may have begun after the box wrote its list.
        let missing = |id: &SessionId, s: &Session| {
            s.playing().is_some_and(|p| {
                let told = named.get(id) == Some(&p.attempt.wire);
                p.attempt.server == server && p.attempt.sent < asked && !told
            })
        };
        let lost: Vec<SessionId> =
            self.sessions.iter().filter(|(id, s)| missing(id, s)).map(|(id, _)| id.clone()).collect();
        for id in lost {
            self.ended_by_itself(&id, EndReason::Lost, Outcome::Broken, out);
        }
        for held in held {
            self.found(server, held, out);
        }
    }

    /// A box says that it holds this session.
    fn found(&mut self, server: ServerId, held: Held, out: &mut Vec<Output>) {
        let at = self.sessions.get(&held.session).and_then(Session::at);
        if at.is_some_and(|a| a.server == server && a.wire == held.attempt) {
            return;
        }
        if self.fresh {
            self.resume(server, held, out);
        } else {
            self.found.push((server, held));
        }
    }

    /// A session that a box holds and the ledger does not know: one of this front's earlier life goes on and
    /// waits for its viewer; anything else plays for nobody and is released.
    fn resume(&mut self, server: ServerId, held: Held, out: &mut Vec<Output>) {
        let Some(address) = self.streams.address(server) else { return };
        let own = format!("{}-", self.name);
        let Some(rest) = held.session.0.strip_prefix(&own) else {
            self.counts.faults += 1;
            let text = format!("box {} holds session {}, which is no front's here", server.0, held.session.0);
            out.push(Output::Log(Level::Warn, text));
            return;
        };
        let earlier = !rest.starts_with(&format!("{:08x}-", self.boot));
        let known = self.sessions.contains_key(&held.session);
        let opening = held.opening.filter(|_| earlier && !known && !self.ending);
        let Some(opening) = opening else {
            return self.release_unknown((server, address), held.session, held.attempt, out);
        };
        self.counts.resumed += 1;
        let id = held.session;
        let request = opening.request(&id, false);
        let effect = self.settings.classes.get(opening.class).map_or(Effect::Safe, |class| class.effect);
        let mut session = Session::new(None, opening, effect, held.rung, self.now);
        let attempt = Attempt {
            number: 0,
            wire: held.attempt,
            server,
            address,
            sent: self.now,
            expires: self.now,
            rung: held.rung,
        };
        session.plays_already(attempt);
        let until = self.now + self.limits.claim_within;
        session.claim_by = Some(until);
        self.insert(id.clone(), session);
        self.timers.set(until, Due::Claim(id.clone()));
        self.events.push_back(Event::Resumed(request, server));
        let note = Note::Rung(held.rung);
        self.events.push_back(Event::Note { session: id, server, note });
    }

    // ---- Time ----

    fn due(&mut self, due: Due, out: &mut Vec<Output>) {
        match due {
            Due::Expire(id, number) => self.expire(&id, number, out),
            Due::Wake(tag) => self.events.push_back(Event::Wake(tag)),
            Due::Overdue(id) => {
                if self.answer(&id, Answer::Failed(id.clone(), FailReason::Overdue), out) {
                    self.counts.overdue += 1;
                    self.events.push_back(Event::Left(id));
                }
            }
            Due::Claim(id) => {
                if self.sessions.get(&id).is_some_and(|session| session.client.is_none()) {
                    self.stop_playing(&id, Outcome::Ok, true, out);
                }
            }
            Due::Moved(id) => {
                self.moved.remove(&id);
            }
            Due::Listen(server, number) => {
                self.streams.again(self.now, server, number, &mut self.timers, out);
            }
            Due::Silent(server, number) => {
                if self.streams.silent(self.now, server, number, &mut self.timers, out) {
                    let why = Some(DialError::TimedOut);
                    let lost = self.limits.lost_after;
                    let verdict = self.streams.broke(self.now, server, why, lost, &mut self.timers, out);
                    self.judge_stream(server, verdict, out);
                }
            }
            Due::Release(server, id, wire) => {
                let address = self.boxes.get(&server).copied().or_else(|| self.streams.address(server));
                match address {
                    Some(to) if self.releases.contains_key(&(server, id.clone(), wire)) => {
                        self.ask((server, to), BoxRequest::Release { session: id, attempt: wire }, out);
                    }
                    _ => {
                        self.releases.remove(&(server, id, wire));
                        self.next_unknown(server, out);
                    }
                }
            }
            Due::Slow(serial) => {
                let ended = self.pool.slow(serial, out);
                self.request_ended(ended, out);
            }
            Due::Idle(conn) => self.pool.too_old(conn, out),
        }
    }

    /// Ordered end: what is owed is answered, what plays is released and its viewer told.
    fn shut_down(&mut self, out: &mut Vec<Output>) {
        self.ending = true;
        let all: Vec<SessionId> = self.sessions.keys().cloned().collect();
        for id in all {
            let Some(session) = self.sessions.get(&id) else { continue };
            if session.owed() {
                self.answer(&id, Answer::Failed(id.clone(), FailReason::ShuttingDown), out);
                self.events.push_back(Event::Left(id));
            } else if session.playing().is_some() {
                self.ended_by_itself(&id, EndReason::ShuttingDown, Outcome::Withdrawn, out);
            }
        }
    }
}

/// What the end of a request proves; see [`Outcome`].
fn outcome_of(end: End) -> (Outcome, Vec<f64>) {
    match end {
        // Refused or not established in time: not a byte was sent.
        End::NoConnection(_) => (Outcome::NoConnection, Vec::new()),
        End::TimedOut => (Outcome::TimedOut, Vec::new()),
        // Stale connections are used up by the pool; here nothing was written either.
        End::Exchange(ExchangeEnd::Stale | ExchangeEnd::Unwritten) => (Outcome::NoConnection, Vec::new()),
        End::Exchange(ExchangeEnd::Broken | ExchangeEnd::Malformed(_)) => (Outcome::Broken, Vec::new()),
        End::Exchange(ExchangeEnd::Answered { answer, report, .. }) => match answer {
            BoxAnswer::Done => (Outcome::Ok, report),
            BoxAnswer::Full => (Outcome::Full, report),
            BoxAnswer::Error | BoxAnswer::Unknown => (Outcome::Failed, report),
        },
    }
}
