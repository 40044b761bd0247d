//! The ledger of what clients are owed: the ends and moves of their sessions, until they know of them.
//!
//! A session belongs to no connection, so its client can be told on any. A release is owed until the client
//! acknowledges it, on whichever connection; a move, which is not acknowledged, until the client has come again or
//! the media server has confirmed that the client has ended the session. A notice outlives the connection on which
//! it was sent: it is sent on another one when that one ends, or when no acknowledgement has come for a while, since
//! a connection on which nothing passes any more cannot be told from a slow one. Without a connection it waits for
//! the next message from a client. While the client may send its request once more, the end is held: told on another
//! connection, it would be taken for the answer, and the second copy would get another one.
//!
//! A notice ends by a [`NoticeProof`] or by its limit, which is logged. The process does not exit while notices are owed,
//! until the kill is near.

use std::collections::{BTreeMap, BTreeSet};

use salttally::interface::Micros;

use super::{kind, ClientId, Command, Core, Decider, Level, Message, Timer, END_NOTICE_LIMIT};

/// An acknowledgement that has not come after this time is not waited for any longer; each further one is waited
/// for twice as long, up to a maximum. Several fit into the time limit of 1 s for telling an end.
const FIRST_ACK_TIMEOUT: Micros = 250_000;
const MAX_ACK_TIMEOUT: Micros = 1_000_000;
/// An acknowledgement is waited for no longer than this part of the time that is left, nor shorter than a minimum.
const ACK_TIMEOUT_DIVISOR: Micros = 4;
const MIN_ACK_TIMEOUT: Micros = 20_000;
/// The number of connections tried at once doubles up to this often.
const MAX_DOUBLINGS: u32 = 5;
/// Maximum number of notices that are kept.
const MAX_NOTICES: usize = 16_384;
/// Maximum number of these for sessions that only a client's word speaks for.
const MAX_UNPROVEN_NOTICES: usize = MAX_NOTICES / 2;
/// The end of a session is held for the client's second copy for at most this long, half of the time limit for
/// telling it.
const MAX_HOLD: Micros = 500_000;

/// What proves that a client knows of the end or the move of its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoticeProof {
    /// The client has acknowledged the release.
    Acknowledged,
    /// The client has ended the session itself.
    EndedByClient,
    /// The client has come again after its move.
    FollowedMove,
    /// A second copy of its request was answered as failed.
    CopyAnswered,
}

/// How far the delivery of a notice has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// It was sent on this connection last.
    SentOn(ClientId),
    /// It waits for a connection.
    Waiting,
    /// It is held for a second copy of the request.
    Held,
}

/// A message about a session that its client has not acknowledged.
#[derive(Clone, Debug)]
struct Notice {
    message: Message,
    /// Only a client's word speaks for its session.
    is_unproven: bool,
    /// When it is of no more use.
    expires_at: Micros,
    delivery: Delivery,
    /// Connections on which it was not acknowledged.
    unacknowledged_on: BTreeSet<ClientId>,
    /// How often an acknowledgement was overdue.
    time_outs: u32,
    ack_timeout: Micros,
    /// When the hold ends, the acknowledgement is overdue, or the notice expires.
    next_check: Micros,
}

/// The notices that clients are owed, by session.
#[derive(Clone, Debug, Default)]
pub(super) struct ClientNotices {
    notices: BTreeMap<u64, Notice>,
    /// Sessions whose notices wait for a connection.
    waiting: BTreeSet<u64>,
    /// Number of notices for sessions that only a client's word speaks for.
    unproven: usize,
}

impl ClientNotices {
    /// Whether none is owed.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Numbers of notices that are owed, and of those that wait for a connection.
    pub fn counts(&self) -> [usize; 2] {
        [self.notices.len(), self.waiting.len()]
    }

    /// The message that the client of a session is owed.
    pub fn message(&self, id: u64) -> Option<&Message> {
        self.notices.get(&id).map(|notice| &notice.message)
    }

    /// Sessions whose clients are owed a notice.
    pub fn sessions(&self) -> impl Iterator<Item = u64> + '_ {
        self.notices.keys().copied()
    }

    fn remove(&mut self, id: u64) -> Option<Notice> {
        self.waiting.remove(&id);
        let notice = self.notices.remove(&id)?;
        self.unproven -= usize::from(notice.is_unproven);
        Some(notice)
    }
}

impl<D: Decider> Core<D> {
    /// Tells a client something about a session: on its own connection, else on whichever client connection is
    /// open. It is of use until the time limit after `since`.
    pub(super) fn notify_client(
        &mut self,
        client: Option<ClientId>,
        message: Message,
        since: Micros,
        out: &mut Vec<Command>,
    ) {
        if self.client_notices.notices.len() >= MAX_NOTICES {
            let id = message.session;
            let text =
                format!("session {id:016x}: too many notices are owed to clients, this one is sent once");
            out.push(Command::Log(Level::Info, text));
            return self.notify_once(client, message, out);
        }
        self.keep_notice(client, message, since, false, out);
    }

    /// The same for a session that only a client's word speaks for.
    pub(super) fn notify_client_of_unproven(
        &mut self,
        client: Option<ClientId>,
        message: Message,
        since: Micros,
        out: &mut Vec<Command>,
    ) {
        let notices = &self.client_notices;
        if notices.unproven >= MAX_UNPROVEN_NOTICES || notices.notices.len() >= MAX_NOTICES {
            self.count_sent_once(out);
            return self.notify_once(client, message, out);
        }
        self.keep_notice(client, message, since, true, out);
    }

    fn notify_once(&mut self, client: Option<ClientId>, message: Message, out: &mut Vec<Command>) {
        self.remove_notice(message.session);
        let client = client.or_else(|| self.admission.best_for_notices());
        out.extend(client.map(|client| Command::SendToClient(client, message)));
    }

    /// Sends a notice and keeps it until its client knows.
    fn keep_notice(
        &mut self,
        client: Option<ClientId>,
        message: Message,
        since: Micros,
        is_unproven: bool,
        out: &mut Vec<Command>,
    ) {
        let id = message.session;
        self.remove_notice(id);
        let expires_at = since + END_NOTICE_LIMIT;
        let notice = Notice {
            message,
            is_unproven,
            expires_at,
            delivery: Delivery::Waiting,
            unacknowledged_on: BTreeSet::new(),
            time_outs: 0,
            ack_timeout: FIRST_ACK_TIMEOUT,
            next_check: expires_at,
        };
        self.client_notices.unproven += usize::from(is_unproven);
        self.client_notices.notices.insert(id, notice);
        match client {
            Some(_) => self.send_notice(id, client, out),
            None => self.hold_or_send_notice(id, out),
        }
    }

    /// Holds a notice while a second copy of its request may come, or sends it on any connection.
    fn hold_or_send_notice(&mut self, id: u64, out: &mut Vec<Command>) {
        let Some(copy_until) = self.second_copy_expected_until(id) else {
            return self.send_notice(id, self.admission.best_for_notices(), out);
        };
        self.client_notices.waiting.remove(&id);
        let hold_until = copy_until.min(self.now + MAX_HOLD);
        self.schedule_notice_check(id, Delivery::Held, hold_until);
    }

    /// Sends a notice on this connection; without one it waits.
    fn send_notice(&mut self, id: u64, client: Option<ClientId>, out: &mut Vec<Command>) {
        let now = self.now;
        let Some(notice) = self.client_notices.notices.get_mut(&id) else { return };
        let Some(client) = client else {
            let expires_at = notice.expires_at;
            self.client_notices.waiting.insert(id);
            return self.schedule_notice_check(id, Delivery::Waiting, expires_at);
        };
        let mut next_check = notice.expires_at;
        if notice.message.kind == kind::RELEASE {
            let time_left = notice.expires_at.saturating_sub(now);
            let ack_timeout = notice.ack_timeout.min(time_left / ACK_TIMEOUT_DIVISOR).max(MIN_ACK_TIMEOUT);
            next_check = next_check.min(now + ack_timeout);
            notice.ack_timeout = (2 * notice.ack_timeout).min(MAX_ACK_TIMEOUT);
        }
        out.push(Command::SendToClient(client, notice.message.clone()));
        self.client_notices.waiting.remove(&id);
        self.schedule_notice_check(id, Delivery::SentOn(client), next_check);
    }

    fn schedule_notice_check(&mut self, id: u64, delivery: Delivery, at: Micros) {
        let Some(notice) = self.client_notices.notices.get_mut(&id) else { return };
        self.timers.cancel(notice.next_check, Timer::ClientNotice(id));
        (notice.delivery, notice.next_check) = (delivery, at);
        self.timers.set(at, Timer::ClientNotice(id));
    }

    /// A client has sent a message: its connection takes the notices that wait for one.
    pub(super) fn send_waiting_notices(&mut self, client: ClientId, out: &mut Vec<Command>) {
        for id in std::mem::take(&mut self.client_notices.waiting) {
            self.counts.ends_again += 1;
            self.send_notice(id, Some(client), out);
        }
    }

    /// The hold of a notice has ended, or it was not acknowledged in time: it is sent on other connections, on more of
    /// them each time, or on the next one that is heard.
    pub(super) fn check_notice(&mut self, id: u64, out: &mut Vec<Command>) {
        let Some(notice) = self.client_notices.notices.get_mut(&id) else { return };
        if notice.expires_at <= self.now {
            let what = if notice.message.kind == kind::MOVE { "move" } else { "end" };
            let text =
                format!("session {id:016x}: its client has not acknowledged its {what} in time, given up");
            out.push(Command::Log(Level::Info, text));
            self.client_notices.remove(id);
            return;
        }
        let Delivery::SentOn(previous) = notice.delivery else {
            return self.send_notice(id, self.admission.best_for_notices(), out);
        };
        let text = format!("session {id:016x}: not acknowledged by its client on {previous:?}");
        out.push(Command::Log(Level::Debug, text));
        notice.unacknowledged_on.insert(previous);
        let count = 1 << notice.time_outs.min(MAX_DOUBLINGS);
        notice.time_outs += 1;
        let candidates = self.admission.candidates_for_notices(&notice.unacknowledged_on, count);
        let (last, first) =
            candidates.split_last().map_or((None, &[][..]), |(last, first)| (Some(*last), first));
        for client in first {
            out.push(Command::SendToClient(*client, notice.message.clone()));
            notice.unacknowledged_on.insert(*client);
        }
        self.counts.ends_again += candidates.len() as u64;
        self.send_notice(id, last, out);
    }

    /// A client's connection is gone: the notices sent on it are sent on another one.
    pub(super) fn resend_notices_of(&mut self, client: ClientId, out: &mut Vec<Command>) {
        let notices = self.client_notices.notices.iter();
        let lost =
            notices.filter(|(_, notice)| notice.delivery == Delivery::SentOn(client)).map(|(id, _)| *id);
        for id in lost.collect::<Vec<_>>() {
            self.counts.ends_again += 1;
            self.hold_or_send_notice(id, out);
        }
    }

    /// The client of this session knows what it was owed.
    pub(super) fn settle_notice(&mut self, id: u64, proof: NoticeProof, out: &mut Vec<Command>) {
        if self.remove_notice(id) {
            let text = format!("session {id:016x}: its client knows: {proof:?}");
            out.push(Command::Log(Level::Debug, text));
        }
    }

    fn remove_notice(&mut self, id: u64) -> bool {
        let notice = self.client_notices.remove(id);
        if let Some(notice) = &notice {
            self.timers.cancel(notice.next_check, Timer::ClientNotice(id));
        }
        notice.is_some()
    }

    /// Numbers of notices that clients are owed, and of those that wait for a connection.
    pub fn client_notice_counts(&self) -> [usize; 2] {
        self.client_notices.counts()
    }
}
