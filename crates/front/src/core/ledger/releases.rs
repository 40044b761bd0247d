//! Ends of sessions, and releases until the box has them.

use super::*;

impl<D: Decider> Ledger<D> {
    /// A playing session ends; `release` tells whether the box must be told.
    pub(super) fn stop_playing(
        &mut self,
        id: &SessionId,
        outcome: Outcome,
        release: bool,
        out: &mut Vec<Output>,
    ) {
        let playing = self.sessions.get(id).and_then(Session::playing);
        let Some(attempt) = playing.map(|playing| playing.attempt.clone()) else { return };
        self.drop_session(id);
        if release {
            self.release((attempt.server, attempt.address), id, attempt.wire_number, out);
        }
        let (session, server) = (id.clone(), attempt.server);
        let report = Vec::new();
        let ended = Event::Ended { session, attempt: attempt.number, server, outcome, last: true, report };
        self.events.push_back(ended);
    }

    pub(super) fn release(
        &mut self,
        to: (ServerId, SocketAddr),
        id: &SessionId,
        wire: u32,
        out: &mut Vec<Output>,
    ) {
        self.releases.entry((to.0, id.clone(), wire)).or_insert(0);
        if self.keeping.is_some() {
            let place = session_records::Place { server: to.0 .0, address: to.1, attempt: wire };
            self.promise(session_records::owed(id, wire), &session_records::Promise::Owes(place), false);
        }
        self.ask(to, BoxRequest::Release { session: id.clone(), attempt: wire }, out);
    }

    /// Releases what plays for nobody. Danger: a box that names thousands of sessions that never were would have as
    /// many requests sent to it at once, each with a connection and a thread of its own.
    pub(super) fn release_unknown(
        &mut self,
        to: (ServerId, SocketAddr),
        id: SessionId,
        wire: u32,
        out: &mut Vec<Output>,
    ) {
        if self.releases.contains_key(&(to.0, id.clone(), wire)) {
            return;
        }
        if self.releasing_at(to.0) < RELEASES_AT_ONCE {
            return self.release(to, &id, wire, out);
        }
        self.unknown.entry(to.0).or_default().insert((id, wire));
    }

    pub(super) fn releasing_at(&self, server: ServerId) -> usize {
        let from = (server, SessionId(Arc::from("")), 0);
        self.releases.range(from..).take_while(|((at, ..), _)| *at == server).take(RELEASES_AT_ONCE).count()
    }

    /// A release at this box has ended: the next one of those that wait.
    pub(super) fn next_unknown(&mut self, server: ServerId, out: &mut Vec<Output>) {
        if self.releasing_at(server) >= RELEASES_AT_ONCE {
            return;
        }
        let Some(mut waiting) = self.unknown.remove(&server) else { return };
        // A box that is gone has taken with it what it played.
        let Some(address) = self.streams.address(server) else { return };
        let Some((id, wire)) = waiting.pop_first() else { return };
        if !waiting.is_empty() {
            self.unknown.insert(server, waiting);
        }
        self.release((server, address), &id, wire, out);
    }

    /// A release that did not reach the box is tried again a few times. After that the box's own account of
    /// what it holds, sent whenever its stream is made, shows what plays for nobody.
    pub(super) fn release_ended(&mut self, server: ServerId, id: SessionId, wire: u32, done: bool) {
        let key = (server, id.clone(), wire);
        if !done && !self.ours(&id) && self.releases.contains_key(&key) {
            // Danger: without a lease nothing is written, the tries are used up, and it plays on for nobody; found by the
            // trial. It waits until this front may act again, or another has the life.
            return self.timers.set(self.now + WITHHELD, Deadline::RetryRelease(server, id, wire));
        }
        let Some(tries) = self.releases.get_mut(&key) else { return };
        *tries += 1;
        if done || *tries >= RELEASES {
            self.releases.remove(&key);
            self.forget(session_records::owed(&id, wire));
            return;
        }
        let pause = RELEASE_PAUSE << (*tries - 1);
        self.timers.set(self.now + pause, Deadline::RetryRelease(server, id, wire));
    }

    pub(super) fn expire(&mut self, id: &SessionId, number: u32, out: &mut Vec<Output>) {
        let out_now = self
            .sessions
            .get(id)
            .and_then(Session::pending_attempt)
            .filter(|attempt| attempt.number == number);
        let Some(attempt) = out_now.cloned() else { return };
        if self.unsent(id, number) {
            return self.attempt_ended(attempt.server, id, number, Outcome::NotSent, Vec::new(), out);
        }
        let outcome = match self.pool.withdraw(id, number, out) {
            Proof::Unsent => Outcome::NoConnection,
            Proof::MayHaveRun => {
                // It may begin yet, or play: the box is told that nobody waits for it.
                self.release((attempt.server, attempt.address), id, attempt.wire_number, out);
                Outcome::TimedOut
            }
        };
        self.attempt_ended(attempt.server, id, number, outcome, Vec::new(), out);
    }
}
