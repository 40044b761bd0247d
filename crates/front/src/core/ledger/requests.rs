//! Requests to boxes, and what their results prove.

use super::*;

impl<D: Decider> Ledger<D> {
    /// Sends a box a request other than a set-up.
    pub(super) fn send_request(
        &mut self,
        to: (ServerId, SocketAddr),
        request: BoxRequest,
        out: &mut Vec<Output>,
    ) {
        let until = Some(self.now + self.limits.request_timeout);
        self.pool.send(to, request, until, self.limits.connections_per_box, &mut self.timers, out);
    }

    /// Handles the end of a request to a box.
    pub(super) fn request_ended(
        &mut self,
        ended: Option<(ServerId, BoxRequest, RequestEnd)>,
        out: &mut Vec<Output>,
    ) {
        let Some((server, request, end)) = ended else { return };
        if let RequestEnd::Exchange(ExchangeEnd::Malformed(reason)) = &end {
            self.counts.faults += 1;
            out.push(Output::Log(Level::Warn, format!("box {}: {reason}", server.0)));
        }
        match request {
            BoxRequest::SetUp { session, attempt, .. } => {
                self.set_up_ended(server, &session, attempt, end, out)
            }
            BoxRequest::SetRung { session, attempt, rung, .. } => {
                self.rung_change_ended(&session, attempt, rung, &end, out)
            }
            BoxRequest::Release { session, attempt } => {
                // If the connection is refused, the process is gone with everything it played.
                let done = matches!(
                    end,
                    RequestEnd::NoConnection(DialError::Refused)
                        | RequestEnd::Exchange(ExchangeEnd::Answered {
                            answer: BoxAnswer::Done | BoxAnswer::Unknown | BoxAnswer::Superseded,
                            ..
                        })
                );
                self.release_ended(server, session, attempt, done);
                self.release_next_unknown(server, out);
            }
            BoxRequest::Claim { incarnation, epoch } => {
                self.claim_ended(server, &incarnation, epoch, end, out)
            }
            BoxRequest::Probe => {
                let (outcome, report) = outcome_of(end);
                self.events.push_back(Event::Probed { server, outcome, report });
            }
        }
    }

    /// Handles the end of a set-up.
    pub(super) fn set_up_ended(
        &mut self,
        server: ServerId,
        id: &SessionId,
        number: u32,
        end: RequestEnd,
        out: &mut Vec<Output>,
    ) {
        let pending = self
            .sessions
            .get(id)
            .and_then(Session::pending_attempt)
            .filter(|attempt| attempt.number == number);
        let Some(attempt) = pending.cloned() else { return };
        self.timers.cancel(attempt.expires_at, Deadline::AttemptTimeout(id.clone(), number));
        let (outcome, report) = outcome_of(end);
        if outcome != Outcome::Ok {
            if !outcome.never_ran() {
                // Danger: if the response was lost, the session may play with no viewer. The box is told to
                // release it.
                self.release((server, attempt.address), id, attempt.wire_number, out);
            }
            return self.attempt_ended(server, id, number, outcome, report, out);
        }
        let slack = self.limits.answer_slack;
        if self.sessions.get(id).is_some_and(|s| s.answer_pending() && s.overdue_at(slack) <= self.now) {
            // The response was read only after the answer was overdue: nobody may be told that the session
            // plays.
            self.handle_deadline(Deadline::AnswerOverdue(id.clone()), out);
        }
        let Some(session) = self.sessions.get_mut(id) else { return };
        session.may_have_run = true;
        if let Stage::Abandoned(_) = session.stage {
            // The viewer gave up during the set-up: nobody watches.
            self.release((server, attempt.address), id, attempt.wire_number, out);
            return self.attempt_ended(server, id, number, Outcome::Withdrawn, report, out);
        }
        if let Some(SetUpForbidden::Session(refusal)) = self.set_up_forbidden(id, server) {
            // The set-up was allowed when it was sent, but the rules no longer allow telling the viewer that
            // the session plays.
            self.release((server, attempt.address), id, attempt.wire_number, out);
            let after = self.hold_off_for(refusal);
            self.refuse(id, after, out);
            return self.attempt_ended(server, id, number, Outcome::Withdrawn, report, out);
        }
        let took = self.now - attempt.sent_at;
        if !self.await_record_before_answer(id, took, &report) {
            self.start_playing(id, attempt, took, &report, out);
        }
    }

    /// Marks the session as playing and tells the viewer.
    pub(super) fn start_playing(
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
            rate_kb: self.rate_kb(class, rung),
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
        self.note_load_report(id, server, report);
        self.send_rung_change(id, out);
    }

    /// Notes how full the box reports its link and its rack uplink to be at the set-up.
    pub(super) fn note_load_report(&mut self, id: &SessionId, server: ServerId, report: &[f64]) {
        for (field, value) in self.settings.reports.iter().zip(report) {
            let note = match field {
                ReportField::Link => Note::Link(*value),
                ReportField::Uplink => Note::Uplink(*value),
                _ => continue,
            };
            self.events.push_back(Event::Note { session: id.clone(), server, note });
        }
    }

    /// Ends the attempt in progress and passes its outcome to the decider.
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
            self.remove_session(id);
        }
        self.run_decider(out);
    }

    /// Handles the end of a rung change; retries it, or reports the rung in force after repeated failures.
    pub(super) fn rung_change_ended(
        &mut self,
        id: &SessionId,
        wire_number: u32,
        rung: usize,
        end: &RequestEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (class, client, target) = (session.open_request.class, session.client, session.target_rung);
        let Stage::Playing(playing) = &mut session.stage else { return };
        if playing.attempt.wire_number != wire_number || playing.pending_rung != Some(rung) {
            return;
        }
        playing.pending_rung = None;
        let (server, current_rung) = (playing.attempt.server, playing.attempt.rung);
        if let RequestEnd::Exchange(ExchangeEnd::Answered { answer: BoxAnswer::Done, .. }) = end {
            (playing.attempt.rung, playing.failed_rung_changes) = (rung, 0);
            self.store_playing_record(id);
            let rate = self.rate_kb(class, rung);
            if let Some((client, _)) = client {
                out.push(Output::Notify(client, Notification::RungChanged(id.clone(), rung, rate)));
            }
        } else {
            playing.failed_rung_changes += 1;
            if playing.failed_rung_changes > MAX_FAILED_RUNG_CHANGES {
                // The decider must not account for a rung that the box was never set to.
                (playing.failed_rung_changes, session.target_rung) = (0, current_rung);
                let note = Note::Rung(current_rung);
                self.events.push_back(Event::Note { session: id.clone(), server, note });
                return;
            }
        }
        if target != self.sessions.get(id).and_then(Session::playing).map_or(target, |p| p.attempt.rung) {
            self.send_rung_change(id, out);
        }
    }
}

/// What the end of a request proves; see [`Outcome`].
fn outcome_of(end: RequestEnd) -> (Outcome, Vec<f64>) {
    match end {
        // Refused or not established in time: no byte was sent.
        RequestEnd::NoConnection(_) => (Outcome::NoConnection, Vec::new()),
        RequestEnd::TimedOut => (Outcome::TimedOut, Vec::new()),
        // The pool resends after stale connections; nothing was written here either.
        RequestEnd::Exchange(ExchangeEnd::Stale | ExchangeEnd::Unwritten) => {
            (Outcome::NoConnection, Vec::new())
        }
        RequestEnd::Exchange(
            ExchangeEnd::Broken | ExchangeEnd::Malformed(_) | ExchangeEnd::Claimed { .. },
        ) => (Outcome::Broken, Vec::new()),
        RequestEnd::Exchange(ExchangeEnd::Answered { answer, report, .. }) => match answer {
            BoxAnswer::Done => (Outcome::Ok, report),
            BoxAnswer::Full => (Outcome::Full, report),
            BoxAnswer::Error | BoxAnswer::Unknown | BoxAnswer::Superseded => (Outcome::Failed, report),
        },
    }
}
