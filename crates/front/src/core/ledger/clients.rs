//! Clients: what they ask for, and the one answer that each open gets.

use super::*;

impl<D: Decider> Ledger<D> {
    pub(super) fn open(
        &mut self,
        client: ClientId,
        ticket: Ticket,
        mut opening: OpenRequest,
        only_back: bool,
        out: &mut Vec<Output>,
    ) {
        let moved = opening.moved_from.as_ref().filter(|old| self.moved.get(*old) == Some(&opening.viewer));
        if only_back && moved.is_none() {
            out.push(Output::Reply(client, ticket, Reply::ReturnsOnly(self.settings.max_hold_off)));
            return;
        }
        if let Some((most, by)) = self.over(client, opening.viewer) {
            out.push(Output::Reply(client, ticket, Reply::TooManySessions(most, by)));
            return;
        }
        self.opened += 1;
        // Of one width, so that ids sort as they were opened whatever the boot.
        let id = SessionId(Arc::from(format!("{}-{:08x}-{:010}", self.name, self.boot, self.opened)));
        self.counts.accepted += 1;
        if self.ending {
            self.counts.refused += 1;
            let hold_off = self.settings.max_hold_off;
            out.push(Output::Answer(client, ticket, Answer::Refused(id, hold_off)));
            return;
        }
        let moved = moved.cloned();
        if let Some(terms) = &self.terms {
            if let Err(why) = terms.check_new(&opening, &Counted { ledger: self }) {
                self.counts.refused += 1;
                let answer = Answer::Refused(id, self.come_back(why));
                out.push(Output::Answer(client, ticket, answer));
                return;
            }
            terms.restrict(&mut opening, self.settings.cells);
        }
        // A move counts as one only for the viewer and the session that it was done to, and once.
        let moved = moved.is_some_and(|old| {
            self.forget(session_records::moved(&old));
            self.moved.remove(&old).is_some()
        });
        let request = opening.to_request(&id, moved);
        let class = self.settings.classes.get(opening.class);
        let (effect, floor) = class.map_or((Effect::Safe, 0), |class| (class.effect, class.floor));
        let session = Session::new(Some((client, ticket)), opening, effect, floor, self.now);
        self.timers.set(session.overdue_at(self.limits.answer_slack), Deadline::AnswerOverdue(id.clone()));
        self.insert(id.clone(), session);
        self.by_client.entry(client).or_default().insert(id);
        self.events.push_back(Event::Request(request));
    }

    /// Whose sessions are as many as they may be, if a further one of this client and viewer is asked for.
    pub(super) fn over(&self, client: ClientId, viewer: ViewerId) -> Option<(usize, LimitScope)> {
        let own = self.by_client.get(&client).map_or(0, BTreeSet::len);
        let of_viewer = self.by_viewer.get(&viewer).copied().unwrap_or(0);
        let limits = &self.limits;
        if own >= limits.sessions_per_connection {
            Some((limits.sessions_per_connection, LimitScope::Connection))
        } else if of_viewer >= limits.sessions_per_viewer {
            Some((limits.sessions_per_viewer, LimitScope::Viewer))
        } else {
            None
        }
    }

    pub(super) fn insert(&mut self, id: SessionId, session: Session) {
        *self.by_viewer.entry(session.open_request.viewer).or_insert(0) += 1;
        self.sessions.insert(id, session);
    }

    /// Whether this client has sessions, or opens that wait for their answers.
    pub fn has_sessions(&self, client: ClientId) -> bool {
        self.by_client.contains_key(&client)
    }

    pub(super) fn cancel(&mut self, client: ClientId, ticket: Ticket, open: Ticket, out: &mut Vec<Output>) {
        let by = Some((client, open));
        let own = self.by_client.get(&client).into_iter().flatten();
        let mut found =
            own.filter(|id| self.sessions.get(*id).is_some_and(|s| s.client == by && s.answer_pending()));
        let Some(id) = found.next().cloned() else {
            // The answer has crossed the cancellation: there is nothing to give up, the client may close it.
            out.push(Output::Reply(client, ticket, Reply::Unknown));
            return;
        };
        self.answer(&id, Answer::Failed(id.clone(), FailReason::Cancelled), out);
        self.events.push_back(Event::ClientLeft(id));
        out.push(Output::Reply(client, ticket, Reply::Cancelled));
    }

    pub(super) fn close(&mut self, client: ClientId, ticket: Ticket, id: &SessionId, out: &mut Vec<Output>) {
        let own = self.by_client.get(&client).is_some_and(|own| own.contains(id));
        let plays = self.sessions.get(id).is_some_and(|s| s.playing().is_some());
        if own && plays && !self.ours(id) {
            // It would play on where nobody may end it.
            out.push(Output::Reply(client, ticket, Reply::RetryAfter(takeover::ASK_AGAIN)));
            return;
        }
        if !(own && plays) {
            out.push(Output::Reply(client, ticket, Reply::Unknown));
            return;
        }
        self.stop_playing(id, Outcome::Ok, true, out);
        out.push(Output::Reply(client, ticket, Reply::Closed(id.clone())));
    }

    pub(super) fn status(
        &mut self,
        client: ClientId,
        ticket: Ticket,
        id: &SessionId,
        viewer: Option<ViewerId>,
        out: &mut Vec<Output>,
    ) {
        let mut reply = if self.sessions.contains_key(id) { Reply::Unknown } else { self.elsewhere(id) };
        if self.sessions.get(id).is_some_and(|session| session.client.is_none()) && !self.ours(id) {
            // Danger: a front that was stopped gives away what is another's, and takes it back as that player goes; found
            // by the trial.
            out.push(Output::Reply(client, ticket, Reply::RetryAfter(takeover::ASK_AGAIN)));
            return;
        }
        if let Some(session) = self.sessions.get_mut(id) {
            if session.client.is_none() && viewer == Some(session.open_request.viewer) {
                // Found at a box after a restart of this front, or left without a word: its viewer is back for it.
                session.client = Some((client, ticket));
                session.claimed_at = Some(self.now);
                if let Some(at) = session.claim_by.take() {
                    self.timers.cancel(at, Deadline::ClaimTimeout(id.clone()));
                }
                self.by_client.entry(client).or_default().insert(id.clone());
            }
            if session.client.is_some_and(|(of, _)| of == client) {
                let playing = session.playing().map(|p| (p.attempt.server, p.attempt.rung));
                let class = session.open_request.class;
                let playing = playing.map(|(at, rung)| (at, rung, self.rate(class, rung)));
                reply = Reply::Status { session: id.clone(), playing };
            }
        }
        out.push(Output::Reply(client, ticket, reply));
    }

    /// Danger: a session that plays for nobody, or an answer written to a connection that is gone.
    pub(super) fn client_gone(&mut self, client: ClientId, out: &mut Vec<Output>) {
        if self.keeping.is_some() {
            self.keep_unsure(client);
        }
        for id in self.by_client.remove(&client).unwrap_or_default() {
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            session.client = None;
            if session.answer_pending() {
                self.settled(&id);
                self.untold(&id, out);
                self.events.push_back(Event::ClientLeft(id));
            } else if session.playing().is_some() {
                self.stop_playing(&id, Outcome::Ok, true, out);
            }
        }
    }

    /// A client that is gone without a word. Danger: its sessions would play, and hold seats, for as long as their
    /// titles last; or, ended at once, a viewer whose line was down for a moment would lose what it paid for. So they
    /// wait a while for their viewer. What was not answered yet is given up: its answer can reach nobody.
    pub(super) fn client_lost(&mut self, client: ClientId, out: &mut Vec<Output>) {
        self.keep_for_viewer(client, |_, _| true);
        self.client_gone(client, out);
    }

    /// Sessions that wait for their viewers though this connection has ended: without a lease nobody can tell whose they
    /// are; and a viewer that looks for its session asks, hears nothing from a front that is stopped, and goes to ask
    /// elsewhere, which is no close. Found by the trial.
    pub(super) fn keep_unsure(&mut self, client: ClientId) {
        let now = self.now;
        let lately = |session: &Session| session.claimed_at.is_some_and(|at| at + CLAIMED > now);
        self.keep_for_viewer(client, |ledger, id| {
            !ledger.ours(id) || ledger.sessions.get(id).is_some_and(lately)
        });
    }

    fn keep_for_viewer(&mut self, client: ClientId, which: impl Fn(&Self, &SessionId) -> bool) {
        let until = self.now + self.limits.lost_client_retention;
        let own = self.by_client.get(&client).cloned().unwrap_or_default();
        for id in own {
            let kept = which(self, &id);
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            if kept && session.playing().is_some() {
                (session.client, session.claim_by) = (None, Some(until));
                self.timers.set(until, Deadline::ClaimTimeout(id.clone()));
                if let Some(own) = self.by_client.get_mut(&client) {
                    own.remove(&id);
                }
            }
        }
    }

    /// Gives the one answer, if it is still owed; returns whether it was.
    pub(super) fn answer(&mut self, id: &SessionId, answer: Answer, out: &mut Vec<Output>) -> bool {
        let Some(session) = self.sessions.get(id).filter(|session| session.answer_pending()) else {
            return false;
        };
        match answer {
            Answer::Plays { .. } => self.counts.played += 1,
            Answer::Refused(..) => self.counts.refused += 1,
            Answer::Failed(..) => self.counts.failed += 1,
        }
        if let Some((client, ticket)) = session.client {
            out.push(Output::Answer(client, ticket, answer));
        }
        self.settled(id);
        self.untold(id, out);
        true
    }

    /// No answer is owed any more; a session with no attempt out is over by that.
    pub(super) fn settled(&mut self, id: &SessionId) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let at = session.overdue_at(self.limits.answer_slack);
        self.timers.cancel(at, Deadline::AnswerOverdue(id.clone()));
        if session.settle_answer() {
            self.drop_session(id);
        }
    }

    pub(super) fn drop_session(&mut self, id: &SessionId) {
        let Some(session) = self.sessions.remove(id) else { return };
        self.forget(session_records::key(id));
        if let Some(count) = self.by_viewer.get_mut(&session.open_request.viewer) {
            *count -= 1;
            if *count == 0 {
                self.by_viewer.remove(&session.open_request.viewer);
            }
        }
        if let Some(at) = session.claim_by {
            self.timers.cancel(at, Deadline::ClaimTimeout(id.clone()));
        }
        let Some((client, _)) = session.client else { return };
        if let Some(own) = self.by_client.get_mut(&client) {
            own.remove(id);
            if own.is_empty() {
                self.by_client.remove(&client);
            }
        }
    }

    pub(super) fn rate(&self, class: usize, rung: usize) -> f64 {
        let factor = self.settings.classes.get(class).map_or(1.0, |class| class.rate_factor);
        self.settings.ladder.get(rung).map_or(0.0, |step| step.kb * factor)
    }
}
