//! Execution of the decider's actions, with the checks that hold whatever it asks for.

use super::*;

impl<D: Decider> Ledger<D> {
    /// Passes all queued events to the decider and executes the actions it returns. Each round of a session
    /// uses up one of its attempts, so this terminates for any decider.
    pub(super) fn run_decider(&mut self, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.decider.handle(self.now, &event, &mut actions);
            if let Some(tap) = &mut self.tap {
                tap(self.now, &event, &actions);
            }
            for action in actions.drain(..) {
                self.execute(action, out);
            }
        }
    }

    /// Executes one action of the decider.
    pub(super) fn execute(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::SetUp(id, server, time_out) => self.set_up(&id, server, time_out, out),
            Action::SetRung(id, rung) => self.set_rung(&id, rung, out),
            Action::Move(id) => self.move_session(&id, out),
            Action::Refuse(id, hold_off) => self.refuse(&id, hold_off, out),
            Action::Fail(id) => {
                if !self.give_answer(&id, Answer::Failed(id.clone(), FailReason::GivenUp), out) {
                    self.counts.stopped_answers += 1;
                    self.log_blocked("a second answer", &id, out);
                }
            }
            Action::Probe(server) => match self.boxes.get(&server) {
                Some(address) => {
                    let to = (server, *address);
                    self.counts.probes += 1;
                    self.send_request(to, BoxRequest::Probe, out);
                }
                None => {
                    self.counts.stopped_others += 1;
                    let outcome = Outcome::NotSent;
                    self.events.push_back(Event::Probed { server, outcome, report: Vec::new() });
                }
            },
            Action::FollowList => out.push(Output::FollowList),
            Action::WakeAt(tag, at) => self.timers.set(at, Deadline::Wake(tag)),
            Action::Log(text) => out.push(Output::Log(Level::Info, text)),
        }
    }

    /// Logs a blocked action.
    pub(super) fn log_blocked(&self, what: &str, id: &SessionId, out: &mut Vec<Output>) {
        out.push(Output::Log(Level::Warn, format!("stopped {what} for session {}", id.0)));
    }

    /// Starts an attempt at this box, unless a check forbids it.
    pub(super) fn set_up(
        &mut self,
        id: &SessionId,
        server: ServerId,
        time_out: Micros,
        out: &mut Vec<Output>,
    ) {
        let address = self.boxes.get(&server).copied();
        let Some(session) = self.sessions.get_mut(id) else {
            self.counts.stopped_attempts += 1;
            return self.log_blocked("a set-up of an unknown session", id, out);
        };
        let number = session.next_attempt(self.now, &self.settings);
        let (number, address) = match (number, address) {
            (Err(SetUpDenied::TooManyAttempts), _) => {
                self.counts.stopped_attempts += 1;
                return self.log_blocked("an attempt beyond the maximum", id, out);
            }
            (Ok(number), Some(address)) => (number, Ok(address)),
            (Ok(number), None) | (Err(SetUpDenied::RungNotAllowed(number)), _) => {
                (number, Err(&mut self.counts.stopped_others))
            }
            (Err(SetUpDenied::NotWaiting(number)), _) => (number, Err(&mut self.counts.stopped_attempts)),
            (Err(SetUpDenied::MayHaveRun(number)), _) => (number, Err(&mut self.counts.stopped_effects)),
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
                    last: !session.answer_pending(),
                    report: Vec::new(),
                };
                self.events.push_back(ended);
                return self.log_blocked("a set-up that is not allowed", id, out);
            }
        };
        // Danger: since the decision, the lease may have ended or another version of the rules may have come
        // into force, and other fronts act on other rules.
        if let Some(forbidden) = self.set_up_forbidden(id, server) {
            let ended = |outcome, last| Event::Ended {
                session: id.clone(),
                attempt: number,
                server,
                outcome,
                last,
                report: Vec::new(),
            };
            match forbidden {
                SetUpForbidden::Box => self.events.push_back(ended(Outcome::Full, false)),
                SetUpForbidden::Session(refusal) => {
                    let after = self.hold_off_for(refusal);
                    self.refuse(id, after, out);
                    self.events.push_back(ended(Outcome::NotSent, true));
                }
            }
            return;
        }
        let Some(session) = self.sessions.get_mut(id) else { return };
        // A timeout of 0 from the decider means until the viewer gives up; no timeout extends past
        // that.
        let time_left = session.deadline - self.now;
        let time_out = if time_out == 0 { time_left } else { time_out.min(time_left) };
        let expires = self.now + time_out;
        let rung = session.target_rung;
        let attempt = Attempt {
            number,
            wire_number: number,
            server,
            address,
            sent_at: self.now,
            expires_at: expires,
            rung,
        };
        session.stage = Stage::Attempting(attempt);
        let open_request = session.open_request.clone();
        self.counts.attempts += 1;
        self.timers.set(expires, Deadline::AttemptTimeout(id.clone(), number));
        let request =
            BoxRequest::SetUp { session: id.clone(), attempt: number, rung, open_request, time_out };
        self.send_set_up((server, address), request, out);
    }

    /// Sets the target rung of a session.
    pub(super) fn set_rung(&mut self, id: &SessionId, rung: usize, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        if !session.allows_rung(rung, self.settings.classes.get(session.open_request.class)) {
            self.counts.stopped_others += 1;
            return self.log_blocked("a rung outside the allowed range", id, out);
        }
        session.target_rung = rung;
        self.send_rung_change(id, out);
    }

    /// Sends the box the target rung. Only one change at a time is in progress for a session.
    pub(super) fn send_rung_change(&mut self, id: &SessionId, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (target, class) = (session.target_rung, session.open_request.class);
        let Stage::Playing(playing) = &mut session.stage else { return };
        if playing.pending_rung.is_some() || playing.attempt.rung == target {
            return;
        }
        playing.pending_rung = Some(target);
        let to = (playing.attempt.server, playing.attempt.address);
        let attempt = playing.attempt.wire_number;
        self.send_request(to, BoxRequest::SetRung { session: id.clone(), attempt, rung: target, class }, out);
    }

    /// Releases a session from its box and tells the client to reopen it.
    pub(super) fn move_session(&mut self, id: &SessionId, out: &mut Vec<Output>) {
        let playing = self.sessions.get(id).filter(|session| session.playing().is_some());
        let Some((client, viewer)) = playing.map(|s| (s.client, s.open_request.viewer)) else {
            // One input may end several sessions, and the decider receives their ends one by one: it
            // may choose to move a session whose end is still queued. That is not an error of the decider.
            let ends =
                |event: &Event| matches!(event, Event::Ended { session, last: true, .. } if session == id);
            if self.events.iter().any(ends) {
                return;
            }
            self.counts.stopped_others += 1;
            return self.log_blocked("a move of a session that does not play", id, out);
        };
        self.counts.moved += 1;
        if self.replication.is_some() {
            let record = session_records::SessionRecord::Moved(viewer.0, self.limits.moved_retention);
            self.store_record(session_records::moved_key(id), &record, false);
        }
        self.moved.insert(id.clone(), viewer);
        self.timers.set(self.now + self.limits.moved_retention, Deadline::MovedExpiry(id.clone()));
        if let Some((client, _)) = client {
            out.push(Output::Notify(client, Notification::Move(id.clone())));
        }
        self.stop_playing(id, Outcome::Withdrawn, true, out);
    }

    /// Refuses a session. If a set-up that must happen at most once may have been executed, the session fails
    /// instead.
    pub(super) fn refuse(&mut self, id: &SessionId, hold_off: Micros, out: &mut Vec<Output>) {
        let answer = if self.sessions.get(id).is_some_and(Session::must_not_refuse) {
            self.counts.stopped_effects += 1;
            self.log_blocked("a refusal although a set-up may have been executed", id, out);
            Answer::Failed(id.clone(), FailReason::GivenUp)
        } else {
            Answer::Refused(id.clone(), hold_off)
        };
        if !self.give_answer(id, answer, out) {
            self.counts.stopped_answers += 1;
            self.log_blocked("a second answer", id, out);
        }
    }
}
