//! Sessions that clients hand over after a start of the node: which are taken, and which their servers may not hold.
//!
//! A hand-over is taken on the client's word, within the bounds of [`super::unproven_sessions`]. One that is not taken gets no
//! answer, since it wants none; its session may play, so an end that its server reports is told to the clients all the same.
//!
//! The protocol has no question to a server about a session but its release. A server regularly sends notes on the
//! sessions that it holds, on one session of each front node at a time. If none comes for so long, on a connection that
//! was open all the while, the server holds none of them. A note on any session proves nothing about the others, and they
//! are held on.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use salttally::interface::{Event, Micros, Outcome, ServerId};

use super::pool::CheckPriority;
use super::servers::interpret_end_cause;
use super::unproven_sessions::{Decision, Refusal, UnprovenSessions};
use super::{cause, session_id, ClientId, Command, Core, Decider, Level, Message, SessionEntry, Timer};
use super::{EARLY_END_RETENTION, END_NOTICE_LIMIT, MAX_EARLY_ENDS};

/// Pause before the next check while no connection has been open for long enough.
const CHECK_INTERVAL: Micros = 250_000;

/// Time within which a server that holds sessions has sent a note on one of them, at most: the client can still be told in
/// the protocol's limit.
const MAX_NOTE_TIMEOUT: Micros = END_NOTICE_LIMIT - 1_000_000;
/// Interval between two log lines about hand-overs that are not taken.
const LOG_INTERVAL: Micros = 1_000_000;
/// Maximum number of sessions that are remembered as over after a hand-over was not taken.
const MAX_RECENT_SESSIONS: usize = 16_384;

/// Numbers of handed-over sessions that were not taken, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NotTaken {
    /// Their connection had handed over as many sessions of the server as it has places.
    pub server_full: u64,
    /// The memory for sessions that only a client's word speaks for was used up.
    pub memory_full: u64,
    /// Their servers were not listed.
    pub unlisted: u64,
    /// They were taken, and given up for sessions of connections with fewer of them.
    pub displaced: u64,
    /// Releases and ends of such sessions that were sent once and not kept, since too many were owed.
    pub sent_once: u64,
    /// Ends of unknown sessions that servers reported since, and that clients were told.
    pub ends_told: u64,
}

/// The latest sessions that were known here and are over.
#[derive(Clone, Debug, Default)]
struct RecentSessions {
    ids: BTreeSet<u64>,
    order: VecDeque<u64>,
}

impl RecentSessions {
    fn insert(&mut self, id: u64) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_RECENT_SESSIONS {
            if let Some(oldest) = self.order.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }
}

/// What is known of handed-over sessions.
#[derive(Clone, Debug)]
pub(super) struct HandOvers {
    /// The servers that have sent no note since a session was handed over, and when they are checked next.
    without_note: BTreeMap<ServerId, Micros>,
    unproven: UnprovenSessions,
    /// Sessions that are not known here and on which their servers have sent notes.
    noted: BTreeMap<u64, ServerId>,
    /// Sessions that were known here, kept once a hand-over has not been taken.
    recent: RecentSessions,
    next_log: Micros,
}

impl HandOvers {
    /// Nothing is known yet of a process with so much memory.
    pub fn new(memory_bytes: usize) -> HandOvers {
        HandOvers {
            without_note: BTreeMap::new(),
            unproven: UnprovenSessions::new(memory_bytes),
            noted: BTreeMap::new(),
            recent: RecentSessions::default(),
            next_log: 0,
        }
    }

    /// A session is over, or its server has reported it.
    pub fn no_longer_unproven(&mut self, id: u64) {
        self.unproven.remove(id);
    }

    /// Whether only a client's word speaks for a session.
    pub fn is_unproven(&self, id: u64) -> bool {
        self.unproven.rank(id) > 0
    }
}

impl<D: Decider> Core<D> {
    /// Time within which a server that holds sessions has sent a note on one of them: two intervals, as far as the limit
    /// for telling an end allows. `None` if the settings promise no note in that limit.
    pub(super) fn note_timeout(&self) -> Option<Micros> {
        let settings = &self.platform_settings.settings;
        let (interval, age) = (settings.note_interval, settings.note_age);
        let is_noted = interval > 0 && interval.saturating_add(age) <= MAX_NOTE_TIMEOUT;
        is_noted.then(|| (2 * interval + age).min(MAX_NOTE_TIMEOUT))
    }

    /// Number of handed-over sessions that only a client's word speaks for.
    pub fn unproven_sessions(&self) -> usize {
        self.hand_overs.unproven.len()
    }

    /// Whether a session that its client hands over is taken; another one may be given up for it. Counts and logs those that
    /// are not.
    pub(super) fn takes_hand_over(
        &mut self,
        client: ClientId,
        id: u64,
        server: ServerId,
        out: &mut Vec<Command>,
    ) -> bool {
        if self.hand_overs.noted.remove(&id) == Some(server) {
            return true;
        }
        let kind = self.servers.kind(server);
        let decision = self.hand_overs.unproven.decide(client, server, kind.map(|kind| self.places(kind)));
        let reason = match decision {
            Decision::Take => None,
            Decision::TakeInPlaceOf(other) => {
                self.counts.not_taken.displaced += 1;
                self.give_up_hand_over(other, out);
                None
            }
            Decision::Refuse(reason) => Some(reason),
        };
        match reason {
            None => self.hand_overs.unproven.add(id, client, server, kind.is_some()),
            Some(Refusal::ServerFull) => self.counts.not_taken.server_full += 1,
            Some(Refusal::MemoryFull) => self.counts.not_taken.memory_full += 1,
            Some(Refusal::Unlisted) => {
                // Nothing that can be reached holds the session.
                self.counts.not_taken.unlisted += 1;
                out.push(Command::SendToClient(client, Message::release(id, cause::BROKEN)));
            }
        }
        if decision != Decision::Take {
            self.log_not_taken(out);
        }
        reason.is_none()
    }

    /// Number of sessions that a server of this kind can hold; settings without it set no limit.
    fn places(&self, kind: u32) -> usize {
        let places = self.platform_settings.settings.kind_streams.get(kind as usize);
        places.map_or(usize::MAX, |places| *places as usize)
    }

    /// Orders sessions that end together: those that were set up here or that their servers have reported come first, then
    /// those of connections that have handed over few.
    pub(super) fn proven_first(&self, mut ids: Vec<u64>) -> Vec<u64> {
        ids.sort_by_key(|id| self.hand_overs.unproven.rank(*id));
        ids
    }

    /// With what priority a server is checked. Sessions that are made up at very many servers must not use up the connections
    /// on which the ends of others are learnt.
    pub(super) fn check_priority(&self, server: ServerId) -> CheckPriority {
        let unproven = &self.hand_overs.unproven;
        let may_be_made_up = self.counts.not_taken != NotTaken::default()
            && self.sessions.count_at(server) <= unproven.count_at(server)
            && !unproven.is_named_by_small_group(server);
        if may_be_made_up {
            CheckPriority::Low
        } else {
            CheckPriority::Normal
        }
    }

    /// A release or an end of an unproven session is not kept, since too many of them are.
    pub(super) fn count_sent_once(&mut self, out: &mut Vec<Command>) {
        self.counts.not_taken.sent_once += 1;
        self.log_not_taken(out);
    }

    fn log_not_taken(&mut self, out: &mut Vec<Command>) {
        if self.now < self.hand_overs.next_log {
            return;
        }
        self.hand_overs.next_log = self.now + LOG_INTERVAL;
        let text = format!(
            "hand-overs: {} sessions that no server has reported are held; not taken: {:?}",
            self.hand_overs.unproven.len(),
            self.counts.not_taken
        );
        out.push(Command::Log(Level::Warn, text));
    }

    /// Forgets a session that only a client's word speaks for. It may play, so neither its client nor its server is told
    /// anything.
    fn give_up_hand_over(&mut self, id: u64, out: &mut Vec<Command>) {
        let was_unlisted = self.hand_overs.unproven.is_unlisted(id);
        self.hand_overs.unproven.remove(id);
        let Some(entry) = self.sessions.remove(id) else { return };
        if let Some((client, _)) = entry.session.client {
            self.admission.session_ended(self.now, client, id, &mut self.timers);
            if was_unlisted {
                out.push(Command::SendToClient(client, Message::release(id, cause::BROKEN)));
            }
        }
        let Some(attempt) = entry.session.current_attempt() else { return };
        let (server, attempt) = (attempt.server, attempt.number);
        self.session_left(server);
        let (session, outcome, last) = (session_id(id), Outcome::Withdrawn, true);
        self.events.push_back(Event::Ended { session, attempt, server, outcome, last, report: Vec::new() });
    }

    /// Whether a session that is not known here may be one that was handed over and not taken.
    fn may_not_have_been_taken(&self, id: u64) -> bool {
        self.counts.not_taken != NotTaken::default() && !self.hand_overs.recent.ids.contains(&id)
    }

    /// A session that was known here is over.
    pub(super) fn remember_recent_session(&mut self, id: u64) {
        self.hand_overs.no_longer_unproven(id);
        if self.counts.not_taken != NotTaken::default() {
            self.hand_overs.recent.insert(id);
        }
    }

    /// A server has ended a session that is not known here. It may have been handed over and not taken, or its client may
    /// still hand it over: its server reports the end only once more.
    pub(super) fn unknown_session_ended(&mut self, server: ServerId, end: Message, out: &mut Vec<Command>) {
        let id = end.session;
        let tells_end = matches!(end.cause(), Some(cause::NORMAL | cause::BROKEN));
        if tells_end && self.may_not_have_been_taken(id) {
            if let Some(client_cause) = interpret_end_cause(end.cause()).1 {
                self.counts.not_taken.ends_told += 1;
                self.hand_overs.recent.insert(id);
                self.notify_client(None, Message::release(id, client_cause), self.now, out);
            }
        }
        if self.now >= self.started_at + EARLY_END_RETENTION {
            return;
        }
        if self.early_ends.len() < MAX_EARLY_ENDS {
            self.early_ends.insert(id, (server, end));
        } else {
            let text = format!("session {id:016x}: too many ends before a hand-over, this one is forgotten");
            out.push(Command::Log(Level::Info, text));
        }
    }

    /// A server has sent a note on a session: it holds it.
    pub(super) fn session_noted(&mut self, server: ServerId, id: u64) {
        if self.sessions.get(&id).is_some_and(|entry| entry.plays_at(server)) {
            return self.hand_overs.unproven.remove(id);
        }
        let may_be_handed_over =
            self.now < self.started_at + EARLY_END_RETENTION || self.counts.not_taken != NotTaken::default();
        let is_unknown = !self.sessions.contains_key(&id) && !self.hand_overs.recent.ids.contains(&id);
        if may_be_handed_over && is_unknown && self.hand_overs.noted.len() < MAX_EARLY_ENDS {
            self.hand_overs.noted.insert(id, server);
        }
    }

    /// A session was handed over that is to play at this server.
    pub(super) fn expect_note(&mut self, server: ServerId) {
        let Some(timeout) = self.note_timeout() else { return };
        if !self.hand_overs.without_note.contains_key(&server) {
            self.pool.set_awaits_note(server, true);
            self.schedule_hand_over_check(server, self.now + timeout);
        }
    }

    fn schedule_hand_over_check(&mut self, server: ServerId, at: Micros) {
        self.hand_overs.without_note.insert(server, at);
        self.timers.set(at, Timer::HandOverCheck(server));
    }

    /// A server has sent a note on a session that it holds, or nothing that was handed over is left there.
    pub(super) fn stop_expecting_note(&mut self, server: ServerId) {
        if let Some(next_check) = self.hand_overs.without_note.remove(&server) {
            self.timers.cancel(next_check, Timer::HandOverCheck(server));
            self.pool.set_awaits_note(server, false);
        }
    }

    /// Ends the sessions that were handed over long enough ago, if their server holds none.
    pub(super) fn check_hand_overs(&mut self, server: ServerId, out: &mut Vec<Command>) {
        let Some(timeout) = self.note_timeout() else { return };
        if self.hand_overs.without_note.get(&server).is_none_or(|due| *due > self.now) {
            return;
        }
        let settings = &self.platform_settings.settings;
        let listening_since = self.now.saturating_sub(settings.note_interval + settings.note_age);
        if self.health.holds_sessions(server) && !self.pool.is_up_since(server, listening_since) {
            return self.schedule_hand_over_check(server, self.now + CHECK_INTERVAL);
        }
        let due_since = self.now.saturating_sub(timeout);
        let is_due = |entry: &SessionEntry| entry.plays_at(server) && entry.playing_since <= due_since;
        let due = || self.sessions.at(server).filter(|(_, entry)| is_due(entry));
        // A server that sends no notes on a session which it holds proves nothing by its silence.
        if due().all(|(_, entry)| entry.was_handed_over) {
            let not_held: Vec<u64> = due().map(|(id, _)| id).collect();
            for id in not_held {
                let text = format!(
                    "session {id:016x}: not held by its server s-{:08x}, which sends no note",
                    server.0
                );
                out.push(Command::Log(Level::Info, text));
                self.release_at_server(id, cause::BROKEN, out);
            }
            self.end_lost_sessions(server, is_due, out);
        }
        let is_left =
            |entry: &&SessionEntry| entry.plays_at(server) && entry.was_handed_over && !is_due(entry);
        let left = self.sessions.at(server).map(|(_, entry)| entry).filter(is_left);
        let left_since = left.map(|entry| entry.playing_since).min();
        match left_since {
            Some(since) => self.schedule_hand_over_check(server, since + timeout),
            None => self.stop_expecting_note(server),
        }
    }
}
