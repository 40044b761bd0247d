//! Deadlines, and the orderly shutdown.

use super::*;

impl<D: Decider> Ledger<D> {
    /// Handles one deadline that has passed.
    pub(super) fn handle_deadline(&mut self, deadline: Deadline, out: &mut Vec<Output>) {
        match deadline {
            Deadline::AttemptTimeout(id, number) => self.attempt_timed_out(&id, number, out),
            Deadline::Wake(tag) => self.events.push_back(Event::Wake(tag)),
            Deadline::AnswerOverdue(id) => {
                if self.give_answer(&id, Answer::Failed(id.clone(), FailReason::Overdue), out) {
                    self.counts.overdue += 1;
                    self.events.push_back(Event::ClientLeft(id));
                }
            }
            Deadline::ClaimTimeout(id) => {
                let unclaimed = self.sessions.get(&id).is_some_and(|session| session.client.is_none());
                if unclaimed && !self.may_act_for(&id) {
                    // Without a lease, the viewer cannot reclaim the session here, through no fault of its
                    // own.
                    let until = self.now + self.limits.claim_timeout;
                    self.sessions.entry(id.clone()).and_modify(|session| session.claim_by = Some(until));
                    self.timers.set(until, Deadline::ClaimTimeout(id));
                } else if unclaimed {
                    self.stop_playing(&id, Outcome::Ok, true, out);
                }
            }
            Deadline::CheckLease => self.check_lease(out),
            Deadline::RetryClaim(server, incarnation) => self.retry_claim(server, &incarnation, out),
            Deadline::OrphanSession(server, id, wire_number) => {
                self.check_orphan(server, id, wire_number, out)
            }
            Deadline::MovedExpiry(id) => {
                self.delete_record(session_records::moved_key(&id));
                self.moved.remove(&id);
            }
            Deadline::ReopenStream(server, number) => {
                self.streams.reconnect(self.now, server, number, &mut self.timers, out);
            }
            Deadline::StreamSilence(server, number) => {
                if self.streams.check_silence(self.now, server, number, &mut self.timers, out) {
                    let error = Some(DialError::TimedOut);
                    let lost_timeout = self.limits.lost_timeout;
                    let stream_outcome =
                        self.streams.broken(self.now, server, error, lost_timeout, &mut self.timers, out);
                    self.apply_stream_outcome(server, stream_outcome, out);
                }
            }
            Deadline::RetryRelease(server, id, wire_number) => {
                let address = self.boxes.get(&server).copied().or_else(|| self.streams.address(server));
                match address {
                    Some(to) if self.releases.contains_key(&(server, id.clone(), wire_number)) => {
                        self.send_request(
                            (server, to),
                            BoxRequest::Release { session: id, attempt: wire_number },
                            out,
                        );
                    }
                    _ => {
                        self.delete_record(session_records::release_key(&id, wire_number));
                        self.releases.remove(&(server, id, wire_number));
                        self.release_next_unknown(server, out);
                    }
                }
            }
            Deadline::RequestTimeout(serial) => {
                let ended = self.pool.request_timed_out(serial, out);
                self.request_ended(ended, out);
            }
            Deadline::IdleTimeout(conn) => self.pool.idle_timed_out(conn, out),
        }
    }

    /// Starts an orderly shutdown: answers pending requests, releases playing sessions and notifies their
    /// viewers.
    pub(super) fn shut_down(&mut self, out: &mut Vec<Output>) {
        self.shutting_down = true;
        let all: Vec<SessionId> = self.sessions.keys().cloned().collect();
        for id in all {
            let Some(session) = self.sessions.get(&id) else { continue };
            if session.answer_pending() {
                self.give_answer(&id, Answer::Failed(id.clone(), FailReason::ShuttingDown), out);
                self.events.push_back(Event::ClientLeft(id));
            } else if session.playing().is_some() {
                self.end_and_notify(&id, EndReason::ShuttingDown, Outcome::Withdrawn, out);
            }
        }
    }
}
