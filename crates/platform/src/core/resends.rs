//! Requests that clients send a second time, under the same id, because the connection of the first copy has
//! ended.
//!
//! A client cannot know whether this node has read a request whose connection ends. The protocol lets it send
//! a request that crosses such an end by [`CROSSING_LIMIT`] once more on a new connection, and counts both
//! copies as one request. It sets no time for that connection to come up. So what is known of a request outlives its
//! connection for as long as its client may wait for the answer, its *retention*:
//!
//! - If the connection ends in the *resend window* of the request, a set-up that was written goes on without a client,
//!   and nothing new is started for it. Its answer, like any other, is kept. The second copy takes the request over. If
//!   none has arrived by the end of the retention, the request is given up, and a session that nobody was told of is
//!   released. Time limits end once everything that lay in the sockets by then has been read: a process that is stopped
//!   reads a second copy late.
//! - Once the request is over, a [`PastRequest`] remembers its attempts. A second copy fails if one may have run, or
//!   starts over where that is harmless, with what is known of the earlier attempts and with their number.

use std::hash::{DefaultHasher, Hash, Hasher};

use salttally::interface::Micros;
use salttally::platform_settings::PlatformSettings;

use super::client_closes::CloseReason;
use super::client_notices::NoticeProof;
use super::past_requests::PastRequest;
use super::{cause, code, session_id, ClientId, Command, ConnId, Core, Decider, Event, Level, Message};
use super::{SessionEntry, Timer, END_NOTICE_LIMIT, FAILED_CAUSE, PLATFORM_TICKET};

/// A request that was sent at most this long before the end of its connection may be sent once more.
const CROSSING_LIMIT: Micros = 50_000;
/// Tolerance that the protocol adds to each time limit.
const LIMIT_SLACK: Micros = 50_000;
/// A request is lost if its answer comes later than this after the time for which its client waits.
const MAX_ANSWER_DELAY: Micros = 500_000;

/// How long after a request the end of its connection, which may be learnt of late, still counts as crossed by it.
pub(super) fn resend_window(platform_settings: &PlatformSettings) -> Micros {
    CROSSING_LIMIT + LIMIT_SLACK + platform_settings.connect_timeout
}

/// How long what is known of a request is kept for a second copy: as long as its client may wait for the answer. The time that
/// the client states counts up to that of the longest class, or the limit for telling an end where that is longer: a client
/// cannot use up the room of others by stating an endless one.
fn retention(platform_settings: &PlatformSettings, patience: Micros) -> Micros {
    let longest = platform_settings.longest_patience.max(END_NOTICE_LIMIT);
    (patience.min(longest) + MAX_ANSWER_DELAY).max(resend_window(platform_settings))
}

/// Identifies what a request asks for. Copies of a request are equal in it; a different request under the same
/// id is not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestDigest(u64);

impl RequestDigest {
    /// The digest of a set-up message, without the times in it.
    pub fn of(message: &Message) -> RequestDigest {
        let is_time = |code: u8| matches!(code, code::WAIT_MS | code::LENGTH_HINT_MS);
        let mut hasher = DefaultHasher::new();
        message.parameters.iter().filter(|(code, _)| !is_time(*code)).for_each(|p| p.hash(&mut hasher));
        RequestDigest(hasher.finish())
    }
}

impl<D: Decider> Core<D> {
    /// Until when a second copy of a request that has just arrived is answered by what is known of the first one.
    pub(super) fn retained_until(&self, patience: Micros) -> Micros {
        self.now + retention(&self.platform_settings, patience)
    }

    /// The connection of an open request has ended. If a second copy may come, a set-up that was written goes on until the
    /// answer is due; anything else is given up.
    pub(super) fn client_of_request_gone(&mut self, id: u64, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        let is_written = entry.conn.is_some_and(|conn| self.pool.is_written(conn, id));
        if !is_written || entry.resend_until <= self.polled_at {
            let text = format!("request {id:016x}: its client's connection has ended, given up");
            out.push(Command::Log(Level::Info, text));
            return self.give_up(id, out);
        }
        entry.session.client = None;
        self.timers.set(entry.retained_until, Timer::RetentionEnd(id));
        let text = format!("request {id:016x}: its client's connection has ended, a second copy may come");
        out.push(Command::Log(Level::Info, text));
    }

    /// A client's connection has ended by no act of this node: a request that was sent shortly before may be sent once
    /// more.
    pub(super) fn expect_copies_of(&mut self, client: ClientId) {
        let crossed = |set_up_at: Micros| self.now <= set_up_at.saturating_add(CROSSING_LIMIT + LIMIT_SLACK);
        if self.admission.last_set_up(client).is_some_and(crossed) {
            self.expect_copies();
        }
    }

    /// A request has crossed the end of its connection, and may be sent once more while its client waits.
    pub(super) fn expect_copies(&mut self) {
        self.copies_expected_until = self.retained_until(self.platform_settings.longest_patience);
    }

    /// A server connection accepts no bytes: gives up the requests without a client whose set-ups are not
    /// completely written on it.
    pub(super) fn give_up_unwritten_requests(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        for id in self.pool.unwritten_set_ups(conn) {
            if self.sessions.get(&id).is_some_and(SessionEntry::awaits_second_copy) {
                self.give_up(id, out);
            }
        }
    }

    /// A request arrived under the id of a session. If it is a second copy, it takes the request over, even if
    /// the end of the first connection is still unknown here. Any other one closes its connection: an answer under this id
    /// would be taken for the answer to the open request.
    pub(super) fn handle_request_under_known_id(
        &mut self,
        client: ClientId,
        message: &Message,
        out: &mut Vec<Command>,
    ) {
        let id = message.session;
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        let previous = entry.session.client.map(|(client, _)| client);
        if entry.digest != RequestDigest::of(message) || previous == Some(client) {
            self.counts.unusable += 1;
            return self.close_client(client, CloseReason::IdInUse(id), out);
        }
        self.counts.resent += 1;
        if entry.moving {
            return self.fail_copy_of_moved(client, id, out);
        }
        if entry.session.playing().is_some() && entry.kept_answer.is_none() {
            return self.fail_copy_after_retention(client, id, out);
        }
        let text = format!("request {id:016x}: its second copy takes it over");
        out.push(Command::Log(Level::Info, text));
        entry.session.client = Some((client, PLATFORM_TICKET));
        let answer = entry.kept_answer.clone();
        if let Some(previous) = previous {
            self.admission.session_ended(self.now, previous, id, &mut self.timers);
        }
        self.admission.request_opened(client, id, &mut self.timers);
        if let Some(answer) = answer {
            entry.answer_sent = true;
            self.admission.session_started(client, id);
            out.push(Command::SendToClient(client, answer));
        } else if !self.admission.contains(client) {
            // The connection of the copy is closed behind an earlier message: it cannot wait for its answer.
            self.report_client_gone(id);
            self.fail(id, out);
        }
        self.detach_closed_client(id);
    }

    /// A second copy of the request of a session that is being moved: its client would be told to come again at once. The
    /// session ends at its server as it is, and the answer tells the client that it is over.
    fn fail_copy_of_moved(&mut self, client: ClientId, id: u64, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        entry.answer_sent = false;
        let viewer = entry.session.open_request.viewer;
        self.forget_moved_client(viewer);
        self.settle_notice(id, NoticeProof::CopyAnswered, out);
        answer_copy_as_failed(client, id, "its session was moved", out);
    }

    /// A second copy of the request of a session that plays, when its client waits no longer: the answer is not kept any
    /// more. The client is told that it failed, and so the session ends.
    fn fail_copy_after_retention(&mut self, client: ClientId, id: u64, out: &mut Vec<Command>) {
        answer_copy_as_failed(client, id, "its answer is not kept any more", out);
        self.release_and_end(id, cause::NORMAL, None, out);
    }

    /// A request arrived under the id of a past request; returns whether it has been dealt with. If not, it
    /// may start over.
    pub(super) fn handle_request_under_past_id(
        &mut self,
        client: ClientId,
        message: &Message,
        out: &mut Vec<Command>,
    ) -> bool {
        let id = message.session;
        let Some(past) = self.past_requests.get(id) else { return false };
        let is_copy = past.digest == RequestDigest::of(message);
        if past.may_start_over() && (is_copy || !past.may_have_run) {
            return false;
        }
        if is_copy {
            self.settle_notice(id, NoticeProof::CopyAnswered, out);
        }
        self.counts.taken += 1;
        self.counts.resent += 1;
        self.counts.failed += 1;
        answer_copy_as_failed(client, id, "a set-up may have run", out);
        true
    }

    /// A session that is over was handed over once more: its client is told of the end. Returns whether it is
    /// over.
    pub(super) fn tell_end_at_hand_over(
        &mut self,
        client: ClientId,
        id: u64,
        out: &mut Vec<Command>,
    ) -> bool {
        if !self.past_requests.get(id).is_some_and(|past| past.has_played) {
            return false;
        }
        let owed_end = self.client_notices.message(id).cloned();
        let end = owed_end.unwrap_or_else(|| Message::release(id, cause::BROKEN));
        self.notify_client(Some(client), end, self.now, out);
        true
    }

    /// What the attempts of an accepted request must respect if it is a second copy that starts over.
    pub(super) fn inherit_past_request(&mut self, id: u64) {
        let (Some(past), Some(entry)) = (self.past_requests.take(id), self.sessions.get_mut(&id)) else {
            return;
        };
        self.counts.resent += 1;
        entry.earlier_attempts = past.attempts;
        entry.earlier_conns = past.conns;
        for attempt in &past.in_doubt {
            self.events.push_back(Event::InDoubt { session: session_id(id), server: attempt.server });
        }
        entry.in_doubt = past.in_doubt;
        self.sessions.mark_doubtful(id);
    }

    /// Remembers a request that is over, if set-ups were attempted and a second copy can still arrive.
    pub(super) fn remember_request(&mut self, id: u64, entry: &SessionEntry) {
        let session = &entry.session;
        let has_played = session.playing().is_some();
        let may_have_run = has_played || session.may_have_run || !entry.in_doubt.is_empty();
        let attempts = entry.earlier_attempts + session.attempts;
        let expires_at = entry.retained_until;
        if !may_have_run && attempts == 0 || expires_at <= self.polled_at {
            return;
        }
        let past = PastRequest {
            client: entry.requested_on,
            digest: entry.digest,
            effect: session.effect,
            may_have_run,
            has_played,
            attempts,
            in_doubt: entry.in_doubt.clone(),
            conns: entry.earlier_conns.iter().copied().chain(entry.conn).collect(),
            resend_until: entry.resend_until,
            expires_at,
            was_handed_over: entry.was_handed_over,
        };
        self.past_requests.remember(id, past);
        self.timers.set(expires_at, Timer::RetentionEnd(id));
    }

    /// Until when a second copy of a request that is over may come, if it may.
    pub(super) fn second_copy_expected_until(&self, id: u64) -> Option<Micros> {
        let past = self.past_requests.get(id)?;
        Some(past.resend_until).filter(|until| *until > self.polled_at)
    }

    /// The client of a request does not wait for its answer any more, and no second copy is expected.
    pub(super) fn retention_ended(&mut self, id: u64, out: &mut Vec<Command>) {
        if self.past_requests.get(id).is_some_and(|past| past.expires_at <= self.polled_at) {
            self.past_requests.take(id);
        }
        let Some(entry) = self.sessions.get_mut(&id).filter(|entry| entry.retained_until <= self.polled_at)
        else {
            return;
        };
        entry.kept_answer = None;
        if entry.awaits_second_copy() {
            self.give_up(id, out);
        } else if entry.session.playing().is_some() && !entry.answer_sent {
            let text = format!("session {id:016x}: no client was told that it plays, released");
            out.push(Command::Log(Level::Info, text));
            self.release_and_end(id, cause::NORMAL, None, out);
        }
    }
}

fn answer_copy_as_failed(client: ClientId, id: u64, why: &str, out: &mut Vec<Command>) {
    out.push(Command::Log(Level::Info, format!("request {id:016x}: sent again, failed: {why}")));
    out.push(Command::SendToClient(client, Message::release(id, FAILED_CAUSE)));
}
