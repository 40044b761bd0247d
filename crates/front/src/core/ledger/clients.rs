//! Clients: their requests, and the single answer to each open request.

use super::*;

impl<D: Decider> Ledger<D> {
    /// Handles an open request. With `reopen_only`, it must reopen a session that this front moved.
    pub(super) fn open(
        &mut self,
        client: ClientId,
        ticket: Ticket,
        mut open_request: OpenRequest,
        reopen_only: bool,
        out: &mut Vec<Output>,
    ) {
        let moved =
            open_request.moved_from.as_ref().filter(|old| self.moved.get(*old) == Some(&open_request.viewer));
        if reopen_only && moved.is_none() {
            out.push(Output::Reply(client, ticket, Reply::ReturnsOnly(self.settings.max_hold_off)));
            return;
        }
        if let Some((limit, scope)) = self.exceeded_limit(client, open_request.viewer) {
            out.push(Output::Reply(client, ticket, Reply::TooManySessions(limit, scope)));
            return;
        }
        self.sessions_opened += 1;
        // Fixed width, so that ids sort in the order of opening for any boot number.
        let id =
            SessionId(Arc::from(format!("{}-{:08x}-{:010}", self.name, self.boot, self.sessions_opened)));
        self.counts.accepted += 1;
        if self.shutting_down {
            self.counts.refused += 1;
            let hold_off = self.settings.max_hold_off;
            out.push(Output::Answer(client, ticket, Answer::Refused(id, hold_off)));
            return;
        }
        let moved = moved.cloned();
        if let Some(rules) = &self.rules {
            if let Err(refusal) = rules.check_new(&open_request, &LedgerCounts { ledger: self }) {
                self.counts.refused += 1;
                let answer = Answer::Refused(id, self.hold_off_for(refusal));
                out.push(Output::Answer(client, ticket, answer));
                return;
            }
            rules.restrict(&mut open_request, self.settings.cells);
        }
        // A reopen after a move is valid only for the viewer and the session that were moved, and only once.
        let moved = moved.is_some_and(|old| {
            self.delete_record(session_records::moved_key(&old));
            self.moved.remove(&old).is_some()
        });
        let request = open_request.to_request(&id, moved);
        let class = self.settings.classes.get(open_request.class);
        let (effect, floor) = class.map_or((Effect::Safe, 0), |class| (class.effect, class.floor));
        let session = Session::new(Some((client, ticket)), open_request, effect, floor, self.now);
        self.timers.set(session.overdue_at(self.limits.answer_slack), Deadline::AnswerOverdue(id.clone()));
        self.insert_session(id.clone(), session);
        self.by_client.entry(client).or_default().insert(id);
        self.events.push_back(Event::Request(request));
    }

    /// Returns the limit that a further session of this client and viewer would exceed, if any.
    pub(super) fn exceeded_limit(&self, client: ClientId, viewer: ViewerId) -> Option<(usize, LimitScope)> {
        let client_sessions = self.by_client.get(&client).map_or(0, BTreeSet::len);
        let viewer_sessions = self.by_viewer.get(&viewer).copied().unwrap_or(0);
        let limits = &self.limits;
        if client_sessions >= limits.sessions_per_connection {
            Some((limits.sessions_per_connection, LimitScope::Connection))
        } else if viewer_sessions >= limits.sessions_per_viewer {
            Some((limits.sessions_per_viewer, LimitScope::Viewer))
        } else {
            None
        }
    }

    pub(super) fn insert_session(&mut self, id: SessionId, session: Session) {
        *self.by_viewer.entry(session.open_request.viewer).or_insert(0) += 1;
        self.sessions.insert(id, session);
    }

    /// Whether this client has sessions or unanswered open requests.
    pub fn has_sessions(&self, client: ClientId) -> bool {
        self.by_client.contains_key(&client)
    }

    /// Handles the cancellation of an open request.
    pub(super) fn cancel(&mut self, client: ClientId, ticket: Ticket, open: Ticket, out: &mut Vec<Output>) {
        let call = Some((client, open));
        let sessions = self.by_client.get(&client).into_iter().flatten();
        let mut found = sessions
            .filter(|id| self.sessions.get(*id).is_some_and(|s| s.client == call && s.answer_pending()));
        let Some(id) = found.next().cloned() else {
            // The answer was sent before the cancellation arrived: there is nothing to cancel, and the client
            // may close the session.
            out.push(Output::Reply(client, ticket, Reply::Unknown));
            return;
        };
        self.give_answer(&id, Answer::Failed(id.clone(), FailReason::Cancelled), out);
        self.events.push_back(Event::ClientLeft(id));
        out.push(Output::Reply(client, ticket, Reply::Cancelled));
    }

    /// Handles the close of a session by its client.
    pub(super) fn close(&mut self, client: ClientId, ticket: Ticket, id: &SessionId, out: &mut Vec<Output>) {
        let is_own = self.by_client.get(&client).is_some_and(|sessions| sessions.contains(id));
        let is_playing = self.sessions.get(id).is_some_and(|s| s.playing().is_some());
        if is_own && is_playing && !self.may_act_for(id) {
            // Without the right to release it, the session would play on with nobody able to end it.
            out.push(Output::Reply(client, ticket, Reply::RetryAfter(takeover::TAKEOVER_HOLD_OFF_US)));
            return;
        }
        if !(is_own && is_playing) {
            out.push(Output::Reply(client, ticket, Reply::Unknown));
            return;
        }
        self.stop_playing(id, Outcome::Ok, true, out);
        out.push(Output::Reply(client, ticket, Reply::Closed(id.clone())));
    }

    /// Handles a status call. The viewer of an unclaimed session reclaims it by this call.
    pub(super) fn status(
        &mut self,
        client: ClientId,
        ticket: Ticket,
        id: &SessionId,
        viewer: Option<ViewerId>,
        out: &mut Vec<Output>,
    ) {
        let mut reply = if self.sessions.contains_key(id) { Reply::Unknown } else { self.locate_session(id) };
        if self.sessions.get(id).is_some_and(|session| session.client.is_none()) && !self.may_act_for(id) {
            // Danger: a front that resumes after a suspension would hand a viewer a session that another
            // front has taken over, and would end it when that connection closes.
            out.push(Output::Reply(client, ticket, Reply::RetryAfter(takeover::TAKEOVER_HOLD_OFF_US)));
            return;
        }
        if let Some(session) = self.sessions.get_mut(id) {
            if session.client.is_none() && viewer == Some(session.open_request.viewer) {
                // Resumed after a restart, or left when its connection failed: its viewer is back for it.
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
                let playing = playing.map(|(at, rung)| (at, rung, self.rate_kb(class, rung)));
                reply = Reply::Status { session: id.clone(), playing };
            }
        }
        out.push(Output::Reply(client, ticket, reply));
    }

    /// Handles a closed client. Danger: without this, sessions would play on with no viewer, and answers
    /// would be written to a closed connection.
    pub(super) fn client_closed(&mut self, client: ClientId, out: &mut Vec<Output>) {
        if self.replication.is_some() {
            self.keep_uncertain_sessions(client);
        }
        for id in self.by_client.remove(&client).unwrap_or_default() {
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            session.client = None;
            if session.answer_pending() {
                self.settle_answer(&id);
                self.release_unanswered(&id, out);
                self.events.push_back(Event::ClientLeft(id));
            } else if session.playing().is_some() {
                self.stop_playing(&id, Outcome::Ok, true, out);
            }
        }
    }

    /// Handles a client whose connection failed. Danger: its sessions would play, and hold seats, until their
    /// titles end; or, if ended at once, a viewer with a short network outage would lose what it paid for. So
    /// they wait a while for their viewer. Unanswered requests are given up, since the answer could not be
    /// delivered.
    pub(super) fn client_lost(&mut self, client: ClientId, out: &mut Vec<Output>) {
        self.keep_for_viewer(client, |_, _| true);
        self.client_closed(client, out);
    }

    /// Keeps sessions for their viewers although the connection has ended, in two cases. Without a lease,
    /// this front cannot know whether the sessions are still its own. And a viewer that looks for its session
    /// asks a suspended front, gets no response and goes on to another front; that is not a close.
    pub(super) fn keep_uncertain_sessions(&mut self, client: ClientId) {
        let now = self.now;
        let recently_reclaimed =
            |session: &Session| session.claimed_at.is_some_and(|at| at + RECLAIM_GRACE_US > now);
        self.keep_for_viewer(client, |ledger, id| {
            !ledger.may_act_for(id) || ledger.sessions.get(id).is_some_and(recently_reclaimed)
        });
    }

    /// Detaches playing sessions of a client that `should_keep` selects, so that they wait for their viewer.
    fn keep_for_viewer(&mut self, client: ClientId, should_keep: impl Fn(&Self, &SessionId) -> bool) {
        let until = self.now + self.limits.lost_client_retention;
        let sessions = self.by_client.get(&client).cloned().unwrap_or_default();
        for id in sessions {
            let keep = should_keep(self, &id);
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            if keep && session.playing().is_some() {
                (session.client, session.claim_by) = (None, Some(until));
                self.timers.set(until, Deadline::ClaimTimeout(id.clone()));
                if let Some(sessions) = self.by_client.get_mut(&client) {
                    sessions.remove(&id);
                }
            }
        }
    }

    /// Sends the answer if it is still pending; returns whether it was.
    pub(super) fn give_answer(&mut self, id: &SessionId, answer: Answer, out: &mut Vec<Output>) -> bool {
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
        self.settle_answer(id);
        self.release_unanswered(id, out);
        true
    }

    /// Records that no answer is pending any more; a session without an attempt in progress is thereby over.
    pub(super) fn settle_answer(&mut self, id: &SessionId) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let at = session.overdue_at(self.limits.answer_slack);
        self.timers.cancel(at, Deadline::AnswerOverdue(id.clone()));
        if session.settle_answer() {
            self.remove_session(id);
        }
    }

    /// Removes a session with its record, counts and deadlines.
    pub(super) fn remove_session(&mut self, id: &SessionId) {
        let Some(session) = self.sessions.remove(id) else { return };
        self.delete_record(session_records::session_key(id));
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
        if let Some(sessions) = self.by_client.get_mut(&client) {
            sessions.remove(id);
            if sessions.is_empty() {
                self.by_client.remove(&client);
            }
        }
    }

    /// Rate of a rung for a class, kB/s.
    pub(super) fn rate_kb(&self, class: usize, rung: usize) -> f64 {
        let factor = self.settings.classes.get(class).map_or(1.0, |class| class.rate_factor);
        self.settings.ladder.get(rung).map_or(0.0, |step| step.kb * factor)
    }
}
