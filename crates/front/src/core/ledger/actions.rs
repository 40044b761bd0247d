//! The decider's actions, and the lock that holds whatever it says.

use super::*;

impl<D: Decider> Ledger<D> {
    /// Tells the decider all that waits to be told, and carries out what it answers. Each round of a session
    /// uses up one of its attempts, so this ends whatever the decider does.
    pub(super) fn settle(&mut self, out: &mut Vec<Output>) {
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

    pub(super) fn carry_out(&mut self, action: Action, out: &mut Vec<Output>) {
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
            Action::WakeAt(tag, at) => self.timers.set(at, Deadline::Wake(tag)),
            Action::Log(text) => out.push(Output::Log(Level::Info, text)),
        }
    }

    pub(super) fn stopped(&self, what: &str, id: &SessionId, out: &mut Vec<Output>) {
        out.push(Output::Log(Level::Warn, format!("stopped {what} for session {}", id.0)));
    }

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
            return self.stopped("a set-up of no session here", id, out);
        };
        let next = session.next_attempt(self.now, &self.settings);
        let (number, address) = match (next, address) {
            (Err(SetUpDenied::TooManyAttempts), _) => {
                self.counts.stopped_attempts += 1;
                return self.stopped("an attempt too many", id, out);
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
        let opening = session.open_request.clone();
        self.counts.attempts += 1;
        self.timers.set(expires, Deadline::AttemptTimeout(id.clone(), number));
        let request =
            BoxRequest::SetUp { session: id.clone(), attempt: number, rung, open_request: opening, time_out };
        self.send_set_up((server, address), request, out);
    }

    pub(super) fn set_rung(&mut self, id: &SessionId, rung: usize, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        if !session.allows_rung(rung, self.settings.classes.get(session.open_request.class)) {
            self.counts.stopped_others += 1;
            return self.stopped("a rung outside the terms", id, out);
        }
        session.target_rung = rung;
        self.change_rung(id, out);
    }

    /// Has the box told of the rung that is wanted; one change at a time is under way for a session.
    pub(super) fn change_rung(&mut self, id: &SessionId, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (wanted, class) = (session.target_rung, session.open_request.class);
        let Stage::Playing(playing) = &mut session.stage else { return };
        if playing.pending_rung.is_some() || playing.attempt.rung == wanted {
            return;
        }
        playing.pending_rung = Some(wanted);
        let to = (playing.attempt.server, playing.attempt.address);
        let attempt = playing.attempt.wire_number;
        self.ask(to, BoxRequest::SetRung { session: id.clone(), attempt, rung: wanted, class }, out);
    }

    pub(super) fn move_away(&mut self, id: &SessionId, out: &mut Vec<Output>) {
        let playing = self.sessions.get(id).filter(|session| session.playing().is_some());
        let Some((client, viewer)) = playing.map(|s| (s.client, s.open_request.viewer)) else {
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
        if self.keeping.is_some() {
            let promise = session_records::Promise::Moved(viewer.0, self.limits.moved_retention);
            self.promise(session_records::moved(id), &promise, false);
        }
        self.moved.insert(id.clone(), viewer);
        self.timers.set(self.now + self.limits.moved_retention, Deadline::MovedExpiry(id.clone()));
        if let Some((client, _)) = client {
            out.push(Output::Notify(client, Notification::Move(id.clone())));
        }
        self.stop_playing(id, Outcome::Withdrawn, true, out);
    }

    pub(super) fn refuse(&mut self, id: &SessionId, hold_off: Micros, out: &mut Vec<Output>) {
        let answer = if self.sessions.get(id).is_some_and(Session::must_not_refuse) {
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
}
