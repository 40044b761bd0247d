//! Ends of sessions, and releases until the box has confirmed them.

use super::*;

impl<D: Decider> Ledger<D> {
    /// Ends a playing session; `release` tells whether the box must be told.
    pub(super) fn stop_playing(
        &mut self,
        id: &SessionId,
        outcome: Outcome,
        release: bool,
        out: &mut Vec<Output>,
    ) {
        let playing = self.sessions.get(id).and_then(Session::playing);
        let Some(attempt) = playing.map(|playing| playing.attempt.clone()) else { return };
        self.remove_session(id);
        if release {
            self.release((attempt.server, attempt.address), id, attempt.wire_number, out);
        }
        let (session, server) = (id.clone(), attempt.server);
        let report = Vec::new();
        let ended = Event::Ended { session, attempt: attempt.number, server, outcome, last: true, report };
        self.events.push_back(ended);
    }

    /// Releases a session at its box; the release stays pending until the box confirms it.
    pub(super) fn release(
        &mut self,
        to: (ServerId, SocketAddr),
        id: &SessionId,
        wire_number: u32,
        out: &mut Vec<Output>,
    ) {
        self.releases.entry((to.0, id.clone(), wire_number)).or_insert(0);
        if self.replication.is_some() {
            let place =
                session_records::AttemptLocation { server: to.0 .0, address: to.1, attempt: wire_number };
            self.store_record(
                session_records::release_key(id, wire_number),
                &session_records::SessionRecord::ReleasePending(place),
                false,
            );
        }
        self.send_request(to, BoxRequest::Release { session: id.clone(), attempt: wire_number }, out);
    }

    /// Releases a session that has no viewer. Danger: a box that reports thousands of sessions that never
    /// existed would otherwise be sent as many requests at once, each with its own connection and thread.
    pub(super) fn release_unknown(
        &mut self,
        to: (ServerId, SocketAddr),
        id: SessionId,
        wire_number: u32,
        out: &mut Vec<Output>,
    ) {
        if self.releases.contains_key(&(to.0, id.clone(), wire_number)) {
            return;
        }
        if self.releases_at(to.0) < MAX_CONCURRENT_RELEASES {
            return self.release(to, &id, wire_number, out);
        }
        self.unknown_sessions.entry(to.0).or_default().insert((id, wire_number));
    }

    /// Number of pending releases at a box, counted up to the limit.
    pub(super) fn releases_at(&self, server: ServerId) -> usize {
        let from = (server, SessionId(Arc::from("")), 0);
        self.releases
            .range(from..)
            .take_while(|((at, ..), _)| *at == server)
            .take(MAX_CONCURRENT_RELEASES)
            .count()
    }

    /// After a release at this box has ended, sends the next one in the queue.
    pub(super) fn release_next_unknown(&mut self, server: ServerId, out: &mut Vec<Output>) {
        if self.releases_at(server) >= MAX_CONCURRENT_RELEASES {
            return;
        }
        let Some(mut waiting) = self.unknown_sessions.remove(&server) else { return };
        // A box that is gone took its sessions with it.
        let Some(address) = self.streams.address(server) else { return };
        let Some((id, wire_number)) = waiting.pop_first() else { return };
        if !waiting.is_empty() {
            self.unknown_sessions.insert(server, waiting);
        }
        self.release((server, address), &id, wire_number, out);
    }

    /// Handles the end of a release. One that did not reach the box is retried a few times. After that, the
    /// list that the box sends whenever its stream opens shows which sessions have no viewer.
    pub(super) fn release_ended(&mut self, server: ServerId, id: SessionId, wire_number: u32, done: bool) {
        let key = (server, id.clone(), wire_number);
        if !done && !self.may_act_for(&id) && self.releases.contains_key(&key) {
            // Danger: without a lease nothing is written, so the tries would be used up and the session would
            // play on with no viewer. The release waits until this front may act again, or another front has
            // taken over the incarnation.
            return self
                .timers
                .set(self.now + WITHHELD_RETRY_US, Deadline::RetryRelease(server, id, wire_number));
        }
        let Some(tries) = self.releases.get_mut(&key) else { return };
        *tries += 1;
        if done || *tries >= MAX_RELEASE_TRIES {
            self.releases.remove(&key);
            self.delete_record(session_records::release_key(&id, wire_number));
            return;
        }
        let pause = RELEASE_RETRY_US << (*tries - 1);
        self.timers.set(self.now + pause, Deadline::RetryRelease(server, id, wire_number));
    }

    /// Handles the timeout of an attempt.
    pub(super) fn attempt_timed_out(&mut self, id: &SessionId, number: u32, out: &mut Vec<Output>) {
        let pending = self
            .sessions
            .get(id)
            .and_then(Session::pending_attempt)
            .filter(|attempt| attempt.number == number);
        let Some(attempt) = pending.cloned() else { return };
        if self.cancel_unsent_set_up(id, number) {
            return self.attempt_ended(attempt.server, id, number, Outcome::NotSent, Vec::new(), out);
        }
        let outcome = match self.pool.withdraw_set_up(id, number, out) {
            Delivery::Unsent => Outcome::NoConnection,
            Delivery::MayHaveRun => {
                // The session may still begin, or may play: tell the box that nobody waits for it.
                self.release((attempt.server, attempt.address), id, attempt.wire_number, out);
                Outcome::TimedOut
            }
        };
        self.attempt_ended(attempt.server, id, number, outcome, Vec::new(), out);
    }
}
