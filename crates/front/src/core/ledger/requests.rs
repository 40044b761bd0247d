//! Requests to boxes, and what their ends prove.

use super::*;

impl<D: Decider> Ledger<D> {
    /// Asks a box for something other than a set-up.
    pub(super) fn ask(&mut self, to: (ServerId, SocketAddr), request: BoxRequest, out: &mut Vec<Output>) {
        let until = Some(self.now + self.limits.request_timeout);
        self.pool.send(to, request, until, self.limits.connections_per_box, &mut self.timers, out);
    }

    pub(super) fn request_ended(
        &mut self,
        ended: Option<(ServerId, BoxRequest, End)>,
        out: &mut Vec<Output>,
    ) {
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
                            answer: BoxAnswer::Done | BoxAnswer::Unknown | BoxAnswer::Superseded,
                            ..
                        })
                );
                self.release_ended(server, session, attempt, done);
                self.next_unknown(server, out);
            }
            BoxRequest::Claim { incarnation: life, epoch } => self.claimed(server, &life, epoch, end, out),
            BoxRequest::Probe => {
                let (outcome, report) = outcome_of(end);
                self.events.push_back(Event::Probed { server, outcome, report });
            }
        }
    }

    pub(super) fn set_up_ended(
        &mut self,
        server: ServerId,
        id: &SessionId,
        number: u32,
        end: End,
        out: &mut Vec<Output>,
    ) {
        let out_now = self
            .sessions
            .get(id)
            .and_then(Session::pending_attempt)
            .filter(|attempt| attempt.number == number);
        let Some(attempt) = out_now.cloned() else { return };
        self.timers.cancel(attempt.expires_at, Deadline::AttemptTimeout(id.clone(), number));
        let (outcome, report) = outcome_of(end);
        if outcome != Outcome::Ok {
            if !outcome.never_ran() {
                // Danger: it plays for nobody, found by the exploration. The answer was lost, and the box is told.
                self.release((server, attempt.address), id, attempt.wire_number, out);
            }
            return self.attempt_ended(server, id, number, outcome, report, out);
        }
        let slack = self.limits.answer_slack;
        if self.sessions.get(id).is_some_and(|s| s.answer_pending() && s.overdue_at(slack) <= self.now) {
            // It lay unread past its viewer's time: nobody may be told that it plays.
            self.due(Deadline::AnswerOverdue(id.clone()), out);
        }
        let Some(session) = self.sessions.get_mut(id) else { return };
        session.may_have_run = true;
        if let Stage::Abandoned(_) = session.stage {
            // The viewer gave up while it was set up: nobody watches.
            self.release((server, attempt.address), id, attempt.wire_number, out);
            return self.attempt_ended(server, id, number, Outcome::Withdrawn, report, out);
        }
        if let Some(Forbidden::All(why)) = self.forbidden(id, server) {
            // It was set up while it might be, and nobody may be told now that it plays.
            self.release((server, attempt.address), id, attempt.wire_number, out);
            let after = self.come_back(why);
            self.refuse(id, after, out);
            return self.attempt_ended(server, id, number, Outcome::Withdrawn, report, out);
        }
        let took = self.now - attempt.sent_at;
        if !self.waits_to_play(id, took, &report) {
            self.plays(id, attempt, took, &report, out);
        }
    }

    /// The viewer is told that it plays.
    pub(super) fn plays(
        &mut self,
        id: &SessionId,
        attempt: Attempt,
        took: Micros,
        report: &[f64],
        out: &mut Vec<Output>,
    ) {
        let Some(session) = self.sessions.get(id) else { return };
        let (server, class, rung) = (attempt.server, session.open_request.class, attempt.rung);
        let answer = Answer::Plays {
            session: id.clone(),
            server,
            address: attempt.address,
            rung,
            rate_kb: self.rate(class, rung),
        };
        let client = self.sessions.get(id).and_then(|s| s.client);
        self.counts.played += 1;
        if let Some((client, ticket)) = client {
            out.push(Output::Answer(client, ticket, answer));
        }
        if let Some(session) = self.sessions.get_mut(id) {
            let at = session.overdue_at(self.limits.answer_slack);
            self.timers.cancel(at, Deadline::AnswerOverdue(id.clone()));
            session.stage = Stage::Playing(Playing { attempt, pending_rung: None, failed_rung_changes: 0 });
        }
        self.events.push_back(Event::Started { session: id.clone(), server, took });
        self.told_at_set_up(id, server, report);
        self.change_rung(id, out);
    }

    /// A box tells at the set-up how full its link and its rack's uplink are.
    pub(super) fn told_at_set_up(&mut self, id: &SessionId, server: ServerId, report: &[f64]) {
        for (field, value) in self.settings.reports.iter().zip(report) {
            let note = match field {
                ReportField::Link => Note::Link(*value),
                ReportField::Uplink => Note::Uplink(*value),
                _ => continue,
            };
            self.events.push_back(Event::Note { session: id.clone(), server, note });
        }
    }

    pub(super) fn attempt_ended(
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

    pub(super) fn rung_ended(
        &mut self,
        id: &SessionId,
        wire: u32,
        rung: usize,
        end: &End,
        out: &mut Vec<Output>,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (class, client, wanted) = (session.open_request.class, session.client, session.target_rung);
        let Stage::Playing(playing) = &mut session.stage else { return };
        if playing.attempt.wire_number != wire || playing.pending_rung != Some(rung) {
            return;
        }
        playing.pending_rung = None;
        let (server, in_force) = (playing.attempt.server, playing.attempt.rung);
        if let End::Exchange(ExchangeEnd::Answered { answer: BoxAnswer::Done, .. }) = end {
            (playing.attempt.rung, playing.failed_rung_changes) = (rung, 0);
            self.promise_rung(id);
            let rate = self.rate(class, rung);
            if let Some((client, _)) = client {
                out.push(Output::Notify(client, Notification::RungChanged(id.clone(), rung, rate)));
            }
        } else {
            playing.failed_rung_changes += 1;
            if playing.failed_rung_changes > RUNG_MISSES {
                // The module's account must not hold a rung that the box was never told.
                (playing.failed_rung_changes, session.target_rung) = (0, in_force);
                let note = Note::Rung(in_force);
                self.events.push_back(Event::Note { session: id.clone(), server, note });
                return;
            }
        }
        if wanted != self.sessions.get(id).and_then(Session::playing).map_or(wanted, |p| p.attempt.rung) {
            self.change_rung(id, out);
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
        End::Exchange(ExchangeEnd::Broken | ExchangeEnd::Malformed(_) | ExchangeEnd::Claimed { .. }) => {
            (Outcome::Broken, Vec::new())
        }
        End::Exchange(ExchangeEnd::Answered { answer, report, .. }) => match answer {
            BoxAnswer::Done => (Outcome::Ok, report),
            BoxAnswer::Full => (Outcome::Full, report),
            BoxAnswer::Error | BoxAnswer::Unknown | BoxAnswer::Superseded => (Outcome::Failed, report),
        },
    }
}
