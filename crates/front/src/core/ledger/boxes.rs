//! Boxes: the list, the event streams, and the sessions that each box reports.

use salttally_copies::core::{incarnation_of, Incarnation};

use super::*;
use crate::core::session_records::AttemptLocation;

impl<D: Decider> Ledger<D> {
    /// Applies an update of the box list.
    pub(super) fn update_box_list(&mut self, kind: ListKind, lines: Vec<ListEntry>, out: &mut Vec<Output>) {
        if kind != ListKind::FetchFailed {
            let removed = removed_servers(kind, &lines, self.boxes.keys());
            for line in &lines {
                let id = line.entry.server;
                if line.entry.state != ServerState::Removed {
                    let new = self.boxes.insert(id, line.address).is_none();
                    if new && self.replication.is_some() {
                        self.claim_all_incarnations((id, line.address), out);
                    }
                    self.streams.listed(self.now, id, line.address, &mut self.timers, out);
                }
            }
            for id in removed {
                self.boxes.remove(&id);
                // Sessions reported by the box that wait for a current list count too: they are about to be
                // resumed.
                let in_use = self.found_sessions.iter().any(|(server, _)| *server == id)
                    || self.sessions.values().any(|s| s.current_attempt().is_some_and(|a| a.server == id));
                self.streams.unlisted(id, in_use, out);
                self.pool.close_idle(id, &mut self.timers, out);
            }
        }
        self.send_box_list(kind, lines);
        if matches!(kind, ListKind::Complete | ListKind::Changes) && !self.list_is_current {
            self.list_is_current = true;
            for (server, held) in std::mem::take(&mut self.found_sessions) {
                self.resume_found_session(server, held, out);
            }
        }
    }

    /// Handles an event of a box's stream.
    pub(super) fn handle_stream_event(
        &mut self,
        server: ServerId,
        number: u64,
        event: StreamEvent,
        out: &mut Vec<Output>,
    ) {
        let requested_at = self.streams.requested_at(server);
        if !self.streams.is_current(self.now, server, number) {
            return;
        }
        let lost_timeout = self.limits.lost_timeout;
        let error = match event {
            StreamEvent::Heartbeat => return,
            StreamEvent::Up(held) => {
                self.streams.opened(self.now, server, &mut self.timers);
                return self.reconcile_box(server, requested_at.unwrap_or(self.now), held, out);
            }
            StreamEvent::Note(session, note) => {
                let plays = self.sessions.get(&session).and_then(Session::playing);
                if plays.is_some_and(|playing| playing.attempt.server == server) {
                    self.events.push_back(Event::Note { session, server, note });
                }
                return;
            }
            StreamEvent::Began(held) => return self.session_found(server, held, out),
            StreamEvent::Ended(session, wire_number) => {
                let plays = self.sessions.get(&session).and_then(Session::playing);
                if plays.is_some_and(|p| p.attempt.server == server && p.attempt.wire_number == wire_number) {
                    self.end_and_notify(&session, EndReason::Box, Outcome::Broken, out);
                }
                self.mark_ended_unanswered(server, Some((&session, wire_number)));
                return;
            }
            StreamEvent::CutOff(reason) => {
                self.counts.faults += 1;
                if self.streams.cut_off(self.now, server, &mut self.timers) {
                    let text = format!("box {} is cut off now and then: {reason}", server.0);
                    out.push(Output::Log(Level::Warn, text));
                }
                return;
            }
            StreamEvent::NoConnection(error) => Some(error),
            StreamEvent::Broken => None,
        };
        let stream_outcome =
            self.streams.broken(self.now, server, error, lost_timeout, &mut self.timers, out);
        self.apply_stream_outcome(server, stream_outcome, out);
    }

    /// Ends all sessions at a box that is lost.
    pub(super) fn apply_stream_outcome(
        &mut self,
        server: ServerId,
        stream_outcome: StreamOutcome,
        out: &mut Vec<Output>,
    ) {
        if stream_outcome != StreamOutcome::Lost {
            return;
        }
        self.pool.close_idle(server, &mut self.timers, out);
        let plays_there = |s: &Session| s.playing().is_some_and(|playing| playing.attempt.server == server);
        let lost: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| plays_there(s)).map(|(id, _)| id.clone()).collect();
        for id in lost {
            self.end_and_notify(&id, EndReason::Lost, Outcome::Broken, out);
        }
        self.mark_ended_unanswered(server, None);
    }

    /// Ends a playing session without a request of its client, and notifies the client.
    pub(super) fn end_and_notify(
        &mut self,
        id: &SessionId,
        reason: EndReason,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        self.counts.lost += u64::from(reason == EndReason::Lost);
        if let Some((client, _)) = self.sessions.get(id).and_then(|session| session.client) {
            out.push(Output::Notify(client, Notification::Ended(id.clone(), reason)));
        }
        self.stop_playing(id, outcome, reason != EndReason::Box, out);
    }

    /// Reconciles the sessions that a box reports with those known here.
    pub(super) fn reconcile_box(
        &mut self,
        server: ServerId,
        requested_at: Micros,
        held: Vec<HeldSession>,
        out: &mut Vec<Output>,
    ) {
        let reported: BTreeMap<&SessionId, u32> = held.iter().map(|h| (&h.session, h.attempt)).collect();
        // A set-up sent after the stream was requested may have begun after the box wrote its list.
        let missing = |id: &SessionId, s: &Session| {
            s.playing().is_some_and(|p| {
                let listed = reported.get(id) == Some(&p.attempt.wire_number);
                // Sessions taken over from another front are not in the list until the box has been asked for
                // them.
                let unconfirmed =
                    self.replication.as_ref().is_some_and(|replication| replication.unconfirmed.contains(id));
                p.attempt.server == server && p.attempt.sent_at < requested_at && !listed && !unconfirmed
            })
        };
        let lost: Vec<SessionId> =
            self.sessions.iter().filter(|(id, s)| missing(id, s)).map(|(id, _)| id.clone()).collect();
        for id in lost {
            self.end_and_notify(&id, EndReason::Lost, Outcome::Broken, out);
        }
        for held in held {
            self.session_found(server, held, out);
        }
    }

    /// Handles a session that a box reports to hold.
    pub(super) fn session_found(&mut self, server: ServerId, held: HeldSession, out: &mut Vec<Output>) {
        let at = self.sessions.get(&held.session).and_then(Session::current_attempt);
        if at.is_some_and(|a| a.server == server && a.wire_number == held.attempt) {
            return;
        }
        if self.list_is_current {
            self.resume_found_session(server, held, out);
        } else {
            self.found_sessions.push((server, held));
        }
    }

    /// Handles a session that a box holds and the ledger does not know: one of an earlier incarnation of this
    /// front plays on and waits for its viewer; any other has no viewer and is released.
    pub(super) fn resume_found_session(
        &mut self,
        server: ServerId,
        held: HeldSession,
        out: &mut Vec<Output>,
    ) {
        let Some(address) = self.streams.address(server) else { return };
        let incarnation = incarnation_of(&held.session.0).map(Incarnation::from);
        let taken_over = incarnation.filter(|incarnation| {
            self.replication
                .as_ref()
                .is_some_and(|replication| replication.takeover_epochs.contains_key(incarnation))
        });
        if let Some(incarnation) = taken_over {
            return self.reconcile_held_session(server, &incarnation, held, out);
        }
        let own_prefix = format!("{}-", self.name);
        let Some(rest) = held.session.0.strip_prefix(&own_prefix) else {
            self.counts.faults += 1;
            let text =
                format!("box {} holds session {}, which belongs to no front here", server.0, held.session.0);
            out.push(Output::Log(Level::Warn, text));
            return;
        };
        let earlier = !rest.starts_with(&format!("{:08x}-", self.boot));
        let known = self.sessions.contains_key(&held.session);
        if earlier && self.replication.is_some() {
            // Another front may be about to take the session over, or already has: a report of it alone is
            // not acted on.
            let until = self.now + 2 * self.limits.claim_timeout;
            return self.timers.set(until, Deadline::OrphanSession(server, held.session, held.attempt));
        }
        let open_request = held.open_request.filter(|_| earlier && !known && !self.shutting_down);
        let Some(open_request) = open_request else {
            return self.release_unknown((server, address), held.session, held.attempt, out);
        };
        let location = AttemptLocation { server: server.0, address, attempt: held.attempt };
        self.resume_playing(held.session, location, held.rung, open_request, self.limits.claim_timeout);
    }
}
