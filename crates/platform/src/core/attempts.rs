//! Attempts to set up a session: sending, time-outs, withdrawal and ends.

use super::*;

/// An attempt that finds no room for a connection ends after this delay.
const NO_ROOM_DELAY: Micros = 20_000;

impl<D: Decider> Core<D> {
    pub(super) fn set_up(&mut self, id: u64, server: ServerId, time_out: Micros, out: &mut Vec<Command>) {
        let address = self.servers.address(server);
        let Some(entry) = self.sessions.get_mut(&id) else {
            return self.reject_action("a set-up of an unknown session", id, out);
        };
        let in_doubt = entry.in_doubt.iter().any(|attempt| attempt.server == server);
        let attempts_left =
            entry.earlier_attempts + entry.session.attempts < self.platform_settings.settings.max_attempts;
        let session = &mut entry.session;
        let number = match (session.next_attempt(self.now, &self.platform_settings.settings), address) {
            (Err(SetUpDenied::TooManyAttempts), _) => {
                return self.reject_action("an attempt beyond the limit", id, out)
            }
            (Ok(number), _) if in_doubt || !attempts_left => Err(number),
            (Ok(number), Some(_)) => Ok(number),
            (Ok(number), None)
            | (
                Err(
                    SetUpDenied::NotWaiting(number)
                    | SetUpDenied::MayHaveRun(number)
                    | SetUpDenied::RungNotAllowed(number),
                ),
                _,
            ) => Err(number),
        };
        let (Ok(number), Some(address)) = (number, address) else {
            let attempt = number.unwrap_or_else(|number| number);
            let last = !session.answer_pending();
            let (outcome, report) = (Outcome::NotSent, Vec::new());
            let session = session_id(id);
            self.events.push_back(Event::Ended { session, attempt, server, outcome, last, report });
            return self.reject_action("a set-up that is not allowed", id, out);
        };
        // A time-out of 0 lasts until the client's patience ends; no time-out lasts longer than that.
        let remaining = session.deadline - self.now;
        let time_out = if time_out == 0 { remaining } else { time_out.min(remaining) };
        let (expires_at, rung) = (self.now + time_out, session.target_rung);
        let attempt =
            Attempt { number, wire_number: number, server, address, sent_at: self.now, expires_at, rung };
        session.stage = Stage::Attempting(attempt);
        let mut message = Message::new(kind::SET_UP, id);
        message.parameters.clone_from(&entry.forwarded_parameters);
        let message = message
            .with(code::WAIT_MS, (time_out / 1000).max(1).to_string())
            .with(code::RUNG, rung.to_string());
        let to = (server, address);
        entry.conn = self.pool.set_up(self.now, to, message, &entry.earlier_conns, &mut self.timers, out);
        let is_sent = entry.conn.is_some();
        self.sessions.update_index(id);
        if is_sent {
            self.counts.attempts += 1;
            return self.timers.set(expires_at, Timer::AttemptTimeout(id, number));
        }
        // The attempt ends unsent after a short delay, when there may be room for the next one. Retrying at
        // once would keep a process without room busy with nothing else.
        self.counts.no_room += 1;
        let ends = expires_at.min(self.now + NO_ROOM_DELAY);
        let stage = self.sessions.get_mut(&id).map(|entry| &mut entry.session.stage);
        if let Some(Stage::Attempting(attempt)) = stage {
            attempt.expires_at = ends;
        }
        self.timers.set(ends, Timer::AttemptTimeout(id, number));
        let text = format!("session {id:016x}: no room for a connection to s-{:08x}", server.0);
        out.push(Command::Log(Level::Debug, text));
    }

    pub(super) fn expire_attempt(&mut self, id: u64, number: u32, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get(&id) else { return };
        if entry.session.pending_attempt().is_none_or(|attempt| attempt.number != number) {
            return;
        }
        let outcome = self.withdraw_attempt(id, true, out);
        self.attempt_ended(id, outcome, Vec::new());
    }

    /// Withdraws the current attempt from its connection, and returns what is then known about it. Its
    /// give-up is sent before anything that follows.
    pub(super) fn withdraw_attempt(&mut self, id: u64, timed_out: bool, out: &mut Vec<Command>) -> Outcome {
        let Some(entry) = self.sessions.get_mut(&id) else { return Outcome::NoConnection };
        let server = entry.session.pending_attempt().map(|attempt| attempt.server);
        // There was no room for its connection: this proves nothing about the server.
        let Some((conn, server)) = entry.conn.take().zip(server) else { return Outcome::NotSent };
        entry.earlier_conns.push(conn);
        match self.pool.withdraw(self.now, conn, id, timed_out, out) {
            Withdrawn::Unsent => Outcome::NoConnection,
            Withdrawn::PartlyWritten => {
                self.disconnect(conn, out);
                Outcome::NoConnection
            }
            Withdrawn::MayHaveRun if timed_out => {
                self.keep_give_up(id, server, conn, out);
                self.mark_in_doubt(id, server, conn, out);
                Outcome::TimedOut
            }
            Withdrawn::MayHaveRun => {
                // The request is over; a second copy of it may still come.
                entry.in_doubt.push(DoubtfulAttempt::new(server, conn));
                self.sessions.mark_doubtful(id);
                self.keep_give_up(id, server, conn, out);
                Outcome::Withdrawn
            }
        }
    }

    /// Ends the current attempt, which did not lead to a playing session.
    pub(super) fn attempt_ended(&mut self, id: u64, outcome: Outcome, report: Vec<f64>) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        let Some(attempt) = entry.session.pending_attempt().cloned() else { return };
        entry.earlier_conns.extend(entry.conn.take());
        // It would be taken for the end of the next attempt.
        entry.early_end = None;
        if entry.awaits_second_copy() {
            // Nothing new is started without a client.
            entry.session.settle_answer();
        }
        self.timers.cancel(attempt.expires_at, Timer::AttemptTimeout(id, attempt.number));
        let last = entry.session.attempt_ended(outcome);
        self.sessions.update_index(id);
        if last {
            self.drop_session(id);
        }
        let (session, server, attempt) = (session_id(id), attempt.server, attempt.number);
        self.events.push_back(Event::Ended { session, attempt, server, outcome, last, report });
    }

    pub(super) fn drop_session(&mut self, id: u64) {
        let Some(entry) = self.sessions.remove(id) else { return };
        self.remember_recent_session(id);
        self.remember_request(id, &entry);
        self.timers
            .cancel(entry.session.overdue_at(self.platform_settings.answer_slack), Timer::AnswerDeadline(id));
        if let Some((client, _)) = entry.session.client {
            self.admission.session_ended(self.now, client, id, &mut self.timers);
        }
    }
}
