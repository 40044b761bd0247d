//! What servers say: answers to set-ups, notes on and ends of what stands, load.

use salttally_front::core::session::Playing;

use super::pool::Ended;
use super::*;
use crate::wire::words;

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
                self.health.heard(self.now, server);
                self.server_reached(server, out);
            }
            Err(DialError::NotTried) => {
                // Nothing is learnt of the media server: this process has no room.
                let ended = self.pool.closed(conn);
                self.end_attempts_on(ended, Outcome::NotSent);
            }
            Err(error) => {
                let ended = self.pool.closed(conn);
                self.end_attempts_on(ended, Outcome::NoConnection);
                let verdict = self.health.connect_failed(self.now, server, error);
                if verdict == Verdict::Lost && error != DialError::Refused {
                    self.release_when_reachable(server);
                }
                self.apply_verdict(server, verdict, out);
                if error == DialError::Refused {
                    // Its process is dead, with all that stood there.
                    self.releases_moot(|at| at == server);
                }
            }
        }
    }

    /// A connection is gone, closed `by_server` or not.
    pub(super) fn connection_closed(&mut self, conn: ConnId, by_server: bool, out: &mut Vec<Command>) {
        let Some(server) = self.pool.server(conn) else { return };
        let was_finishing = self.pool.is_finishing(conn);
        let ended = self.pool.closed(conn);
        if was_finishing {
            // Ended here: it says nothing of the media server.
            return;
        }
        if !by_server {
            self.attempts_in_doubt(server, &ended, out);
        }
        self.end_attempts_on(ended, Outcome::Broken);
        // What stands there goes on, unless its process has died: a look tells.
        let gone = !self.pool.is_up(server);
        self.check_health(server, gone, out);
    }

    /// Nothing more of a connection can be trusted: it is hung up.
    pub(super) fn server_unreadable(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        self.counts.unreadable += 1;
        self.disconnect(conn, out);
    }

    /// A connection is of no more use, with all that is out on it.
    pub(super) fn disconnect(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        out.push(Command::CloseServer(conn));
        self.connection_closed(conn, false, out);
    }

    fn attempts_in_doubt(&mut self, server: ServerId, ended: &Ended, out: &mut Vec<Command>) {
        for id in &ended.set_ups {
            self.mark_in_doubt(*id, server, ended.conn, out);
            self.release_abandoned(*id, server, out);
        }
    }

    fn end_attempts_on(&mut self, ended: Ended, outcome: Outcome) {
        for id in ended.set_ups {
            self.attempt_ended(id, outcome, Vec::new());
        }
        let never = if outcome == Outcome::NotSent { outcome } else { Outcome::NoConnection };
        for id in ended.unsent {
            self.attempt_ended(id, never, Vec::new());
        }
        let probes = self.probes.iter().filter(|(_, (_, on))| *on == ended.conn).map(|(id, _)| *id);
        for id in probes.collect::<Vec<_>>() {
            if let Some((server, _)) = self.probes.remove(&id) {
                self.events.push_back(Event::Probed { server, outcome, report: Vec::new() });
            }
        }
    }

    /// The connections of these media servers are of no more use: they are gone, or listen elsewhere.
    pub(super) fn drop_connections(&mut self, servers: &BTreeSet<ServerId>, out: &mut Vec<Command>) {
        for (conn, server) in self.pool.connections_of(servers) {
            out.push(Command::CloseServer(conn));
            let ended = self.pool.closed(conn);
            self.attempts_in_doubt(server, &ended, out);
            self.end_attempts_on(ended, Outcome::Broken);
        }
    }

    pub(super) fn server_message(&mut self, conn: ConnId, message: Message, out: &mut Vec<Command>) {
        let Some(server) = self.pool.heard(self.now, conn) else { return };
        self.health.heard(self.now, server);
        let id = message.session;
        match message.kind {
            kind::ANSWER => self.answered(server, conn, message, out),
            kind::RELEASE => {
                out.push(Command::SendToServer(conn, Message::new(kind::RELEASE_ACK, id)));
                self.give_up_heard(id, conn, out);
                self.release_answered(id, server);
                self.server_released(server, conn, message, out);
            }
            kind::NOTE => {
                let Some(note) = note(&message) else { return };
                let Some(entry) = self.sessions.get_mut(&id) else { return };
                let Stage::Playing(playing) = &mut entry.session.stage else { return };
                if playing.attempt.server != server {
                    return;
                }
                if let Note::Rung(rung) = note {
                    playing.attempt.rung = rung;
                }
                self.events.push_back(Event::Note { session: name(id), server, note });
            }
            kind::TEST_RESULT => {
                if self.probes.get(&id).is_some_and(|(of, _)| *of == server) {
                    self.probes.remove(&id);
                    let outcome = if message.cause() == Some(1) { Outcome::Ok } else { Outcome::Failed };
                    let report = self.report(&message);
                    self.events.push_back(Event::Probed { server, outcome, report });
                }
            }
            kind::RELEASE_ACK => {
                self.give_up_heard(id, conn, out);
                self.release_answered(id, server);
            }
            kind::PROGRESS => {}
            // No media server says this.
            _ => self.server_unreadable(conn, out),
        }
    }

    /// What came in one read. Danger: a session that was ended on purpose before its answer has left here would be told
    /// to play, and its client, which is owed no release then, would never hear anything that is still true.
    pub(super) fn server_messages(&mut self, conn: ConnId, messages: Vec<Message>, out: &mut Vec<Command>) {
        let ends = |message: &Message, id: u64| {
            message.kind == kind::RELEASE && message.session == id && end_of(message.cause()).1.is_none()
        };
        let answers = messages.iter().enumerate().filter(|(_, message)| message.kind == kind::ANSWER);
        let over = answers.filter(|(at, answer)| messages[*at..].iter().any(|m| ends(m, answer.session)));
        let over: Vec<u64> = over.map(|(_, answer)| answer.session).collect();
        for message in messages {
            if message.kind == kind::ANSWER && over.contains(&message.session) {
                self.fail_unanswered(conn, message.session, out);
            } else {
                self.server_message(conn, message, out);
            }
        }
    }

    /// The attempt that is out stood and is over again: it has failed for its client.
    fn fail_unanswered(&mut self, conn: ConnId, id: u64, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        if entry.conn != Some(conn) || !matches!(entry.session.stage, Stage::Trying(_)) {
            return;
        }
        entry.session.settled();
        if let Some((client, _)) = entry.session.client {
            out.push(Command::SendToClient(client, Message::release(id, FAILED)));
        }
        self.counts.failed += 1;
        self.pool.ended(conn, id, out);
        self.attempt_ended(id, Outcome::Withdrawn, Vec::new());
    }

    fn report(&self, message: &Message) -> Vec<f64> {
        words::report(message, &self.facts.report_field_names, &self.facts.settings.reports)
    }

    /// The session stands, if this answers the attempt that is out; anything else is a copy, late, or nobody's.
    fn answered(&mut self, server: ServerId, conn: ConnId, message: Message, out: &mut Vec<Command>) {
        let id = message.session;
        let waits = |entry: &&mut Entry| match &entry.session.stage {
            Stage::Trying(attempt) => attempt.server == server && entry.conn == Some(conn),
            _ => false,
        };
        let Some(entry) = self.sessions.get_mut(&id).filter(waits) else {
            let text = format!("server s-{:08x}: an answer for {id:016x} that nobody waits for", server.0);
            out.push(Command::Log(Level::Debug, text));
            return;
        };
        let overdue = entry.session.overdue_at(self.facts.answer_slack);
        if overdue <= self.now {
            // Nobody may be told that it plays after its time, however long the answer lay unread.
            return self.overdue(id, out);
        }
        let Some(description) = message.get(code::DESCRIPTION).map(<[u8]>::to_vec) else {
            return self.server_unreadable(conn, out);
        };
        let Some(attempt) = entry.session.out().cloned() else { return };
        let client = entry.session.client.map(|(client, _)| client);
        self.pool.ended(conn, id, out);
        self.timers.unset(attempt.expires, Timer::AttemptTimeout(id, attempt.number));
        self.timers.unset(overdue, Timer::AnswerDeadline(id));
        let took = self.now - attempt.sent;
        let answer = Message::new(kind::ANSWER, id).with(code::DESCRIPTION, description);
        if let Some(client) = client {
            out.push(Command::SendToClient(client, answer));
            self.admission.session_started(client, id);
        }
        entry.passed = Vec::new();
        entry.since = self.now;
        entry.session.may_have_run = true;
        entry.session.stage = Stage::Playing(Playing { attempt, changing: None, missed: 0 });
        self.counts.played += 1;
        self.watch_health(server);
        self.events.push_back(Event::Started { session: name(id), server, took });
    }

    fn server_released(&mut self, server: ServerId, conn: ConnId, message: Message, out: &mut Vec<Command>) {
        let id = message.session;
        let Some(entry) = self.sessions.get(&id) else {
            // Its client may hand it over yet, and its media server tells the end only once more.
            if self.now < self.began + EARLY_ENDS_KEPT && self.early_ends.len() < MAX_EARLY_ENDS {
                self.early_ends.insert(id, (server, message));
            }
            return;
        };
        let own = entry.conn == Some(conn);
        // Danger: a late word on an attempt before, taken for one on this, would leave two out, or end what plays.
        let has_own = entry.conn.is_some_and(|on| self.pool.exists(on) && !self.pool.is_finishing(on));
        let late = !own && entry.before.contains(&conn) && has_own;
        if entry.session.at().is_none_or(|at| at.server != server) || late {
            return;
        }
        let (report, cause) = (self.report(&message), message.cause());
        if entry.session.playing().is_some() {
            let moving = entry.moving;
            let (outcome, told) = end_of(cause);
            return self.end_session(id, outcome, report, told.filter(|_| !moving), out);
        }
        if !own {
            return;
        }
        self.pool.ended(conn, id, out);
        let outcome = match cause {
            Some(cause::FULL) => Outcome::Full,
            Some(cause::ERROR) => Outcome::Failed,
            Some(cause::NOT_SENT) => Outcome::NotSent,
            _ => Outcome::Broken,
        };
        self.attempt_ended(id, outcome, report);
    }

    // ---- What stands ----

    /// A media server holds one more session: it is watched.
    pub(super) fn watch_health(&mut self, server: ServerId) {
        if let Some(at) = self.health.session_started(self.now, server) {
            self.timers.set(at, Timer::HealthCheck(server));
        }
    }

    pub(super) fn check_health(&mut self, server: ServerId, gone: bool, out: &mut Vec<Command>) {
        let look = self.health.check(self.now, server, gone);
        if let Some(at) = look.again {
            self.timers.set(at, Timer::HealthCheck(server));
        }
        if !look.dial {
            return;
        }
        match self.servers.get(&server).copied() {
            Some(address) => {
                if !self.pool.check(self.now, (server, address), &mut self.timers, out) {
                    out.push(Command::Log(
                        Level::Warn,
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
            Verdict::Fine => {}
            Verdict::Again(at) => self.timers.set(at, Timer::HealthCheck(server)),
            Verdict::Lost => self.end_lost_sessions(|at, _| at == server, out),
        }
    }

    /// Sessions that the ends of their media servers have cut: those that play and of which this holds.
    pub(super) fn end_lost_sessions(
        &mut self,
        is_cut: impl Fn(ServerId, &Entry) -> bool,
        out: &mut Vec<Command>,
    ) {
        let cut_at = |entry: &Entry| {
            let at = entry.session.playing()?.attempt.server;
            is_cut(at, entry).then_some(at)
        };
        let mut lost: BTreeMap<ServerId, Vec<u64>> = BTreeMap::new();
        for (id, entry) in &self.sessions {
            if let Some(server) = cut_at(entry) {
                lost.entry(server).or_default().push(*id);
            }
        }
        for (server, sessions) in &lost {
            let text = format!("server s-{:08x}: {} sessions lost with it", server.0, sessions.len());
            out.push(Command::Log(Level::Info, text));
        }
        for id in lost.into_values().flatten() {
            self.counts.lost += 1;
            let moving = self.sessions.get(&id).is_some_and(|entry| entry.moving);
            self.end_session(id, Outcome::Broken, Vec::new(), Some(cause::BROKEN).filter(|_| !moving), out);
        }
    }

    /// Tells a media server something of a session that it holds.
    pub(super) fn tell_server(&mut self, id: u64, message: Message, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get(&id) else { return };
        let Some(at) = entry.session.at() else { return };
        // A media server that has gone took it along, and another one may listen at its address.
        let Some(address) = self.servers.get(&at.server).copied() else { return };
        let to = (at.server, address);
        self.pool.send(self.now, to, entry.conn, message, &mut self.timers, out);
    }

    /// A moved session that its media server has not ended is ended there.
    pub(super) fn move_timed_out(&mut self, id: u64, out: &mut Vec<Command>) {
        if self.sessions.get(&id).is_some_and(|entry| entry.moving) {
            out.push(Command::Log(Level::Debug, format!("session {id:016x} was moved and still stands")));
            self.release_at_server(id, cause::ON_PURPOSE, out);
            self.end_session(id, Outcome::Withdrawn, Vec::new(), None, out);
        }
    }
}

/// What the end of a session that stands means, and the cause that its client is told, if that is owed.
pub(super) fn end_of(told: Option<u8>) -> (Outcome, Option<u8>) {
    match told {
        Some(cause::NORMAL) => (Outcome::Ok, Some(cause::NORMAL)),
        Some(cause::ON_PURPOSE) => (Outcome::Withdrawn, None),
        _ => (Outcome::Broken, Some(cause::BROKEN)),
    }
}

fn note(message: &Message) -> Option<Note> {
    let figure = message.text(code::NOTE_VALUE).and_then(words::number)?;
    match message.text(code::NOTE_KIND)? {
        "got" => Some(Note::Delivered(figure)),
        "level" => Some(Note::Rung(figure.max(0.0) as usize)),
        "port" => Some(Note::Link(figure)),
        "spine" => Some(Note::Uplink(figure)),
        _ => None,
    }
}
