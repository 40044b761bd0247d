//! What is due, and the end in order.

use super::*;

impl<D: Decider> Ledger<D> {
    pub(super) fn due(&mut self, due: Deadline, out: &mut Vec<Output>) {
        match due {
            Deadline::AttemptTimeout(id, number) => self.expire(&id, number, out),
            Deadline::Wake(tag) => self.events.push_back(Event::Wake(tag)),
            Deadline::AnswerOverdue(id) => {
                if self.answer(&id, Answer::Failed(id.clone(), FailReason::Overdue), out) {
                    self.counts.overdue += 1;
                    self.events.push_back(Event::ClientLeft(id));
                }
            }
            Deadline::ClaimTimeout(id) => {
                let unclaimed = self.sessions.get(&id).is_some_and(|session| session.client.is_none());
                if unclaimed && !self.ours(&id) {
                    // Its viewer cannot have it here without a lease, and is not to blame.
                    let until = self.now + self.limits.claim_timeout;
                    self.sessions.entry(id.clone()).and_modify(|session| session.claim_by = Some(until));
                    self.timers.set(until, Deadline::ClaimTimeout(id));
                } else if unclaimed {
                    self.stop_playing(&id, Outcome::Ok, true, out);
                }
            }
            Deadline::CheckLease => self.look_at_lease(out),
            Deadline::RetryClaim(server, life) => self.claim_again(server, &life, out),
            Deadline::OrphanSession(server, id, wire) => self.stray(server, id, wire, out),
            Deadline::MovedExpiry(id) => {
                self.forget(session_records::moved(&id));
                self.moved.remove(&id);
            }
            Deadline::ReopenStream(server, number) => {
                self.streams.again(self.now, server, number, &mut self.timers, out);
            }
            Deadline::StreamSilence(server, number) => {
                if self.streams.silent(self.now, server, number, &mut self.timers, out) {
                    let why = Some(DialError::TimedOut);
                    let lost = self.limits.lost_timeout;
                    let verdict = self.streams.broke(self.now, server, why, lost, &mut self.timers, out);
                    self.judge_stream(server, verdict, out);
                }
            }
            Deadline::RetryRelease(server, id, wire) => {
                let address = self.boxes.get(&server).copied().or_else(|| self.streams.address(server));
                match address {
                    Some(to) if self.releases.contains_key(&(server, id.clone(), wire)) => {
                        self.ask((server, to), BoxRequest::Release { session: id, attempt: wire }, out);
                    }
                    _ => {
                        self.forget(session_records::owed(&id, wire));
                        self.releases.remove(&(server, id, wire));
                        self.next_unknown(server, out);
                    }
                }
            }
            Deadline::RequestTimeout(serial) => {
                let ended = self.pool.slow(serial, out);
                self.request_ended(ended, out);
            }
            Deadline::IdleTimeout(conn) => self.pool.too_old(conn, out),
        }
    }

    /// Ordered end: what is owed is answered, what plays is released and its viewer told.
    pub(super) fn shut_down(&mut self, out: &mut Vec<Output>) {
        self.ending = true;
        let all: Vec<SessionId> = self.sessions.keys().cloned().collect();
        for id in all {
            let Some(session) = self.sessions.get(&id) else { continue };
            if session.answer_pending() {
                self.answer(&id, Answer::Failed(id.clone(), FailReason::ShuttingDown), out);
                self.events.push_back(Event::ClientLeft(id));
            } else if session.playing().is_some() {
                self.ended_by_itself(&id, EndReason::ShuttingDown, Outcome::Withdrawn, out);
            }
        }
    }
}
