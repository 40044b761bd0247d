//! Messages from servers: answers to set-ups, notes on and ends of playing sessions, load reports.

use salttally_front::core::session::Playing;

use super::owed_ends::Loss;
use super::pool::EndedConnection;
use super::*;
use crate::wire::values;

/// How a connection to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The server closed it in order, and all that it sent was read.
    Closed,
    /// The server reset it.
    Reset,
    /// It is gone without a close by the server.
    Lost,
}

impl<D: Decider> Core<D> {
    pub(super) fn connect_ended(
        &mut self,
        conn: ConnId,
        result: Result<(), DialError>,
        out: &mut Vec<Command>,
    ) {
        let Some(server) = self.pool.server(conn) else { return };
        match result {
            Ok(()) => {
                self.pool.established(self.now, conn, &mut self.timers, out);
                self.health.mark_alive(self.now, server);
                self.resend_releases_to(server, out);
            }
            Err(DialError::NotTried) => {
                // This process has no room for the connection; that proves nothing about the media server.
                let ended = self.pool.remove(conn);
                self.end_attempts_on(ended, Outcome::NotSent);
            }
            Err(error) => {
                if error == DialError::Refused {
                    self.pace_dials(server, conn, false, out);
                }
                let ended = self.pool.remove(conn);
                self.end_attempts_on(ended, Outcome::NoConnection);
                if error == DialError::TimedOut {
                    self.ends_may_be_lost(server, Loss::NotEstablished, out);
                }
                let is_alive =
                    error == DialError::Refused && self.pool.finish_established(self.now, server, out);
                let verdict = match is_alive {
                    true => self.health.connect_failed_while_connected(self.now, server),
                    false => self.health.connect_failed(self.now, server, error),
                };
                if verdict == Verdict::Lost && error != DialError::Refused {
                    self.release_when_reachable(server, out);
                }
                self.apply_verdict(server, verdict, out);
            }
        }
    }

    /// A connection is gone.
    pub(super) fn connection_closed(&mut self, conn: ConnId, end: ConnectionEnd, out: &mut Vec<Command>) {
        let Some(server) = self.pool.server(conn) else { return };
        let was_finishing = self.pool.is_finishing(conn);
        self.pace_dials(server, conn, end == ConnectionEnd::Closed, out);
        let ended = self.pool.remove(conn);
        if end == ConnectionEnd::Closed {
            self.owed_ends_arrived(server, conn, out);
        } else {
            self.resend_releases_of(conn, out);
        }
        if end == ConnectionEnd::Reset {
            self.connection_reset(server);
        }
        if was_finishing {
            // The connection was being finished by this node, so its end proves nothing about the health of the
            // media server. All that the server sent was read, if the server has closed it in order.
            if end != ConnectionEnd::Closed {
                self.ends_may_be_lost(server, Loss::Connection, out);
            }
            return;
        }
        self.ends_may_be_lost(server, Loss::Connection, out);
        // An answer may have been lost with the connection.
        if end != ConnectionEnd::Closed {
            self.mark_attempts_in_doubt(server, &ended, out);
        }
        self.end_attempts_on(ended, Outcome::Broken);
        // Sessions that play there go on, unless the server's process has died; a health check shows which.
        let disconnected = !self.pool.is_up(server);
        self.check_health(server, disconnected, out);
    }

    /// Closes a connection whose bytes cannot be decoded: nothing that follows on it can be trusted.
    pub(super) fn server_unreadable(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        self.counts.unreadable += 1;
        self.disconnect(conn, out);
    }

    /// Closes a connection, and ends everything in flight on it.
    pub(super) fn disconnect(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        out.push(Command::CloseServer(conn));
        self.connection_closed(conn, ConnectionEnd::Lost, out);
    }

    fn mark_attempts_in_doubt(&mut self, server: ServerId, ended: &EndedConnection, out: &mut Vec<Command>) {
        for id in &ended.set_ups {
            let server = self.server_of_attempt(*id, server);
            self.mark_in_doubt(*id, server, ended.conn, out);
            self.release_at(*id, server, cause::NORMAL, out);
        }
    }

    fn end_attempts_on(&mut self, ended: EndedConnection, outcome: Outcome) {
        for id in ended.set_ups {
            self.attempt_ended(id, outcome, Vec::new());
        }
        let unsent_outcome = if outcome == Outcome::NotSent { outcome } else { Outcome::NoConnection };
        for id in ended.unsent {
            self.attempt_ended(id, unsent_outcome, Vec::new());
        }
        let probes = self.probes.iter().filter(|(_, (_, on))| *on == ended.conn).map(|(id, _)| *id);
        for id in probes.collect::<Vec<_>>() {
            if let Some((server, _)) = self.probes.remove(&id) {
                self.events.push_back(Event::Probed { server, outcome, report: Vec::new() });
            }
        }
    }

    /// Closes the connections of media servers that are gone or listen at another address.
    pub(super) fn drop_connections(&mut self, servers: &BTreeSet<ServerId>, out: &mut Vec<Command>) {
        for (conn, server) in self.pool.connections_of(servers) {
            out.push(Command::CloseServer(conn));
            let ended = self.pool.remove(conn);
            self.mark_attempts_in_doubt(server, &ended, out);
            self.end_attempts_on(ended, Outcome::Broken);
            self.ends_may_be_lost(server, Loss::Connection, out);
        }
    }

    pub(super) fn server_message(&mut self, conn: ConnId, message: Message, out: &mut Vec<Command>) {
        let Some(server) = self.pool.message_received(self.now, conn) else { return };
        self.health.mark_alive(self.now, server);
        self.owed_ends_arrived(server, conn, out);
        let id = message.session;
        match message.kind {
            kind::ANSWER => self.set_up_answered(server, conn, message, out),
            kind::RELEASE => {
                self.give_up_acknowledged(id, conn, out);
                self.release_acknowledged(id, server);
                self.session_reported(server, id);
                self.server_released(server, conn, message, out);
                // Acknowledged once what it ends is recorded as owed to the client.
                out.push(Command::SendToServer(conn, Message::new(kind::RELEASE_ACK, id)));
            }
            kind::NOTE => {
                let Some(note) = parse_note(&message) else { return };
                self.session_reported(server, id);
                self.session_noted(server, id);
                let Some(entry) = self.sessions.get_mut(&id) else { return };
                let Stage::Playing(playing) = &mut entry.session.stage else { return };
                if playing.attempt.server != server {
                    return;
                }
                if let Note::Rung(rung) = note {
                    playing.attempt.rung = rung;
                }
                self.stop_expecting_note(server);
                self.events.push_back(Event::Note { session: session_id(id), server, note });
            }
            kind::TEST_RESULT => {
                if self.probes.get(&id).is_some_and(|(of, _)| *of == server) {
                    self.probes.remove(&id);
                    let outcome = if message.cause() == Some(1) { Outcome::Ok } else { Outcome::Failed };
                    let report = self.load_report(&message);
                    self.events.push_back(Event::Probed { server, outcome, report });
                }
            }
            kind::RELEASE_ACK => {
                self.give_up_acknowledged(id, conn, out);
                self.release_acknowledged(id, server);
            }
            kind::PROGRESS => {}
            // Media servers do not send messages of this type.
            _ => self.server_unreadable(conn, out),
        }
    }

    /// Handles the messages of one read. An answer that is followed in the same read by a deliberate release
    /// of its session is not passed on: the client would be told that the session plays, and since it gets no
    /// release after a deliberate end, it would never learn that the session is over.
    pub(super) fn server_messages(&mut self, conn: ConnId, messages: Vec<Message>, out: &mut Vec<Command>) {
        let is_deliberate_end = |message: &Message, id: u64| {
            message.kind == kind::RELEASE
                && message.session == id
                && interpret_end_cause(message.cause()).1.is_none()
        };
        let answers = messages.iter().enumerate().filter(|(_, message)| message.kind == kind::ANSWER);
        let ended = answers
            .filter(|(at, answer)| messages[*at..].iter().any(|m| is_deliberate_end(m, answer.session)));
        let ended: Vec<u64> = ended.map(|(_, answer)| answer.session).collect();
        for message in messages {
            if message.kind == kind::ANSWER && ended.contains(&message.session) {
                self.fail_unanswered(conn, message.session, out);
            } else {
                self.server_message(conn, message, out);
            }
        }
    }

    /// The current attempt succeeded and has ended since: its client is told that the request failed.
    fn fail_unanswered(&mut self, conn: ConnId, id: u64, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        if entry.conn != Some(conn) || !matches!(entry.session.stage, Stage::Attempting(_)) {
            return;
        }
        entry.session.settle_answer();
        if let Some((client, _)) = entry.session.client {
            out.push(Command::SendToClient(client, Message::release(id, FAILED_CAUSE)));
        }
        self.counts.failed += 1;
        self.pool.set_up_ended(self.now, conn, id, out);
        self.attempt_ended(id, Outcome::Withdrawn, Vec::new());
    }

    fn load_report(&self, message: &Message) -> Vec<f64> {
        values::load_report(
            message,
            &self.platform_settings.report_field_names,
            &self.platform_settings.settings.reports,
        )
    }

    /// The session plays, if this answers the current attempt. Any other answer is a duplicate, late or
    /// unexpected.
    fn set_up_answered(&mut self, server: ServerId, conn: ConnId, message: Message, out: &mut Vec<Command>) {
        let id = message.session;
        let is_expected = |entry: &&mut SessionEntry| match &entry.session.stage {
            Stage::Attempting(attempt) => attempt.server == server && entry.conn == Some(conn),
            _ => false,
        };
        let Some(entry) = self.sessions.get_mut(&id).filter(is_expected) else {
            let text = format!("server s-{:08x}: unexpected answer for session {id:016x}", server.0);
            out.push(Command::Log(Level::Debug, text));
            return self.answered_too_late(id, server, conn, out);
        };
        let overdue = entry.session.overdue_at(self.platform_settings.answer_slack);
        if overdue <= self.now {
            // No client may be told that its session plays after the deadline, however long the answer lay
            // unread.
            self.answer_overdue(id, out);
            return self.answered_too_late(id, server, conn, out);
        }
        let early_end = entry.early_end.take();
        if early_end.as_ref().is_some_and(|(_, end)| interpret_end_cause(end.cause()).1.is_none()) {
            return self.fail_unanswered(conn, id, out);
        }
        let Some(description) = message.get(code::DESCRIPTION).map(<[u8]>::to_vec) else {
            return self.server_unreadable(conn, out);
        };
        let Some(attempt) = entry.session.pending_attempt().cloned() else { return };
        let client = entry.session.client.map(|(client, _)| client);
        self.pool.set_up_ended(self.now, conn, id, out);
        self.timers.cancel(attempt.expires_at, Timer::AttemptTimeout(id, attempt.number));
        self.timers.cancel(overdue, Timer::AnswerDeadline(id));
        let took = self.now - attempt.sent_at;
        let answer = Message::new(kind::ANSWER, id).with(code::DESCRIPTION, description);
        if self.polled_at < entry.retained_until {
            entry.kept_answer = Some(answer.clone());
            self.timers.set(entry.retained_until, Timer::RetentionEnd(id));
        }
        entry.answer_sent = client.is_some();
        if let Some(client) = client {
            out.push(Command::SendToClient(client, answer));
            self.admission.session_started(client, id);
        }
        entry.forwarded_parameters = Vec::new();
        entry.playing_since = self.now;
        entry.session.may_have_run = true;
        entry.session.stage = Stage::Playing(Playing { attempt, pending_rung: None, failed_rung_changes: 0 });
        self.counts.played += 1;
        self.watch_health(server);
        self.events.push_back(Event::Started { session: session_id(id), server, took });
        if let Some((conn, end)) = early_end {
            self.server_released(server, conn, end, out);
        }
    }

    fn server_released(&mut self, server: ServerId, conn: ConnId, message: Message, out: &mut Vec<Command>) {
        let id = message.session;
        let Some(entry) = self.sessions.get(&id) else {
            return self.unknown_session_ended(server, message, out);
        };
        let is_current_conn = entry.conn == Some(conn);
        if entry.session.current_attempt().is_none_or(|at| at.server != server)
            || self.is_late_word(entry, conn, message.cause())
        {
            return;
        }
        let (report, cause) = (self.load_report(&message), message.cause());
        if entry.session.playing().is_some() {
            self.hand_overs.no_longer_unproven(id);
            if entry.earlier_conns.contains(&conn) {
                // Released in case it is a late word on an earlier attempt after all, and the session plays on.
                self.release_at(id, server, cause::NORMAL, out);
            }
            let (outcome, client_cause) = interpret_end_cause(cause);
            return self.end_session(id, outcome, report, client_cause, out);
        }
        if !is_current_conn {
            // A refusal comes on the connection of its set-up; what tells the end of a session follows its answer.
            if !is_refusal(cause) {
                if let Some(entry) = self.sessions.get_mut(&id) {
                    entry.early_end = Some((conn, message));
                }
            }
            return;
        }
        self.pool.set_up_ended(self.now, conn, id, out);
        let outcome = match cause {
            Some(cause::FULL) => Outcome::Full,
            Some(cause::ERROR) => Outcome::Failed,
            Some(cause::NOT_SENT) => Outcome::NotSent,
            _ => Outcome::Broken,
        };
        self.attempt_ended(id, outcome, report);
    }

    /// Whether a release on the connection of an earlier attempt is a late word on that attempt, while the current one
    /// has a connection of its own. Taken for one on the current attempt, it would leave two attempts running. By its
    /// cause it may be a refusal, or confirm a give-up. One that tells the end of a session is none: the earlier attempt
    /// is known to be over, since no further attempt goes to a server at which one is in doubt.
    fn is_late_word(&self, entry: &SessionEntry, conn: ConnId, cause: Option<u8>) -> bool {
        let tells_end = !is_refusal(cause) && cause != Some(cause::ON_PURPOSE);
        let is_usable = |on| self.pool.exists(on) && !self.pool.is_finishing(on);
        let is_of_earlier_attempt = entry.conn != Some(conn) && entry.earlier_conns.contains(&conn);
        is_of_earlier_attempt && entry.conn.is_some_and(is_usable) && !tells_end
    }

    // ---- Playing sessions ----

    /// Counts one more session at a media server, and schedules its health check.
    pub(super) fn watch_health(&mut self, server: ServerId) {
        self.pool.set_holds_sessions(server, true);
        if let Some(at) = self.health.session_started(self.now, server) {
            self.timers.set(at, Timer::HealthCheck(server));
        }
    }

    pub(super) fn check_health(&mut self, server: ServerId, disconnected: bool, out: &mut Vec<Command>) {
        let check = self.health.check(self.now, server, disconnected);
        if let Some(at) = check.next_check {
            self.timers.set(at, Timer::HealthCheck(server));
        }
        self.check_silent_connections(server, out);
        if !check.dial || !self.dial_backoff.allows(self.now, server) {
            return;
        }
        match self.servers.address(server) {
            Some(address) => {
                let (to, priority) = ((server, address), self.check_priority(server));
                if !self.pool.dial_health_check(self.now, to, priority, &mut self.timers, out) {
                    out.push(Command::Log(
                        Level::Info,
                        format!("server s-{:08x}: no connection left to check it", server.0),
                    ));
                }
            }
            None => {
                let verdict = self.health.connect_failed(self.now, server, DialError::TimedOut);
                self.apply_verdict(server, verdict, out);
            }
        }
    }

    fn apply_verdict(&mut self, server: ServerId, verdict: Verdict, out: &mut Vec<Command>) {
        match verdict {
            Verdict::Undecided => {}
            Verdict::CheckAt(at) => self.timers.set(at, Timer::HealthCheck(server)),
            Verdict::Lost => {
                self.release_handed_over_at_successor(server, out);
                self.end_lost_sessions(server, |_| true, out);
            }
        }
    }

    /// Ends the playing sessions at a server for which `is_lost` holds: those lost with their media server.
    pub(super) fn end_lost_sessions(
        &mut self,
        server: ServerId,
        is_lost: impl Fn(&SessionEntry) -> bool,
        out: &mut Vec<Command>,
    ) {
        let lost = self.sessions.at(server).filter(|(_, entry)| entry.plays_at(server) && is_lost(entry));
        let lost: Vec<u64> = lost.map(|(id, _)| id).collect();
        if lost.is_empty() {
            return;
        }
        let text = format!("server s-{:08x}: {} sessions lost", server.0, lost.len());
        out.push(Command::Log(Level::Info, text));
        for id in self.proven_first(lost) {
            self.counts.lost += 1;
            self.end_session(id, Outcome::Broken, Vec::new(), Some(cause::BROKEN), out);
        }
    }

    /// Sends a media server a message about a session that it holds.
    pub(super) fn notify_server(&mut self, id: u64, message: Message, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get(&id) else { return };
        let Some(at) = entry.session.current_attempt() else { return };
        // The session is gone with its media server, and another server may listen at the address.
        let Some(address) = self.servers.address(at.server) else { return };
        let to = (at.server, address);
        self.pool.send(self.now, to, entry.conn, message, &mut self.timers, out);
    }

    /// Releases a moved session that its media server has not ended. Its client has not ended it, so the move may
    /// be lost; unless the client has come again, it is told of the end.
    pub(super) fn move_timed_out(&mut self, id: u64, out: &mut Vec<Command>) {
        if self.sessions.get(&id).is_some_and(|entry| entry.moving) {
            out.push(Command::Log(
                Level::Debug,
                format!("session {id:016x} still plays after its move, releasing it"),
            ));
            self.release_and_end(id, cause::ON_PURPOSE, Some(cause::BROKEN), out);
        }
    }
}

/// Whether a release with this cause answers a set-up, and cannot tell the end of a session.
fn is_refusal(cause: Option<u8>) -> bool {
    matches!(cause, Some(cause::FULL | cause::ERROR | cause::NOT_SENT))
}

/// What the cause of a playing session's end means, and the cause to send to its client, if it gets one.
pub(super) fn interpret_end_cause(cause: Option<u8>) -> (Outcome, Option<u8>) {
    match cause {
        Some(cause::NORMAL) => (Outcome::Ok, Some(cause::NORMAL)),
        Some(cause::ON_PURPOSE) => (Outcome::Withdrawn, None),
        _ => (Outcome::Broken, Some(cause::BROKEN)),
    }
}

fn parse_note(message: &Message) -> Option<Note> {
    let value = message.text(code::NOTE_VALUE).and_then(values::parse_number)?;
    match message.text(code::NOTE_KIND)? {
        "got" => Some(Note::Delivered(value)),
        "level" => Some(Note::Rung(value.max(0.0) as usize)),
        "port" => Some(Note::Link(value)),
        "spine" => Some(Note::Uplink(value)),
        _ => None,
    }
}
