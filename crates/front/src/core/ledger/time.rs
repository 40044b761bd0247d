//! What is due, and the end in order.

use super::*;

impl<D: Decider> Ledger<D> {
    pub(super) fn due(&mut self, due: Due, out: &mut Vec<Output>) {
        match due {
            Due::Expire(id, number) => self.expire(&id, number, out),
            Due::Wake(tag) => self.events.push_back(Event::Wake(tag)),
            Due::Overdue(id) => {
                if self.answer(&id, Answer::Failed(id.clone(), FailReason::Overdue), out) {
                    self.counts.overdue += 1;
                    self.events.push_back(Event::ClientLeft(id));
                }
            }
            Due::Claim(id) => {
                let unclaimed = self.sessions.get(&id).is_some_and(|session| session.client.is_none());
                if unclaimed && !self.ours(&id) {
                    // Its viewer cannot have it here without a lease, and is not to blame.
                    let until = self.now + self.limits.claim_within;
                    self.sessions.entry(id.clone()).and_modify(|session| session.claim_by = Some(until));
                    self.timers.set(until, Due::Claim(id));
                } else if unclaimed {
                    self.stop_playing(&id, Outcome::Ok, true, out);
                }
            }
            Due::Lease => self.look_at_lease(out),
            Due::AskLife(server, life) => self.claim_again(server, &life, out),
            Due::Stray(server, id, wire) => self.stray(server, id, wire, out),
            Due::Moved(id) => {
                self.forget(keeping::moved(&id));
                self.moved.remove(&id);
            }
            Due::Listen(server, number) => {
                self.streams.again(self.now, server, number, &mut self.timers, out);
            }
            Due::Silent(server, number) => {
                if self.streams.silent(self.now, server, number, &mut self.timers, out) {
                    let why = Some(DialError::TimedOut);
                    let lost = self.limits.lost_after;
                    let verdict = self.streams.broke(self.now, server, why, lost, &mut self.timers, out);
                    self.judge_stream(server, verdict, out);
                }
            }
            Due::Release(server, id, wire) => {
                let address = self.boxes.get(&server).copied().or_else(|| self.streams.address(server));
                match address {
                    Some(to) if self.releases.contains_key(&(server, id.clone(), wire)) => {
                        self.ask((server, to), BoxRequest::Release { session: id, attempt: wire }, out);
                    }
                    _ => {
                        self.forget(keeping::owed(&id, wire));
                        self.releases.remove(&(server, id, wire));
                        self.next_unknown(server, out);
                    }
                }
            }
            Due::Slow(serial) => {
                let ended = self.pool.slow(serial, out);
                self.request_ended(ended, out);
            }
            Due::Idle(conn) => self.pool.too_old(conn, out),
        }
    }

    /// Ordered end: what is owed is answered, what plays is released and its viewer told.
    pub(super) fn shut_down(&mut self, out: &mut Vec<Output>) {
        self.ending = true;
        let all: Vec<SessionId> = self.sessions.keys().cloned().collect();
        for id in all {
            let Some(session) = self.sessions.get(&id) else { continue };
            if session.owed() {
                self.answer(&id, Answer::Failed(id.clone(), FailReason::ShuttingDown), out);
                self.events.push_back(Event::ClientLeft(id));
            } else if session.playing().is_some() {
                self.ended_by_itself(&id, EndReason::ShuttingDown, Outcome::Withdrawn, out);
            }
        }
    }
}
