//! Boxes: the list, the streams, and what each box says it holds.

use salttally_copies::core::{life_of, Life};

use super::*;
use crate::core::session_records::Place;

impl<D: Decider> Ledger<D> {
    pub(super) fn list(&mut self, kind: ListKind, lines: Vec<ListEntry>, out: &mut Vec<Output>) {
        if kind != ListKind::FetchFailed {
            let gone = removed_servers(kind, &lines, self.boxes.keys());
            for line in &lines {
                let id = line.entry.server;
                if line.entry.state != ServerState::Removed {
                    let new = self.boxes.insert(id, line.address).is_none();
                    if new && self.keeping.is_some() {
                        self.claim_all((id, line.address), out);
                    }
                    self.streams.listed(self.now, id, line.address, &mut self.timers, out);
                }
            }
            for id in gone {
                self.boxes.remove(&id);
                // What was found there and waits for a fresh list counts too: it is about to be taken up.
                let in_use = self.found.iter().any(|(server, _)| *server == id)
                    || self.sessions.values().any(|s| s.current_attempt().is_some_and(|a| a.server == id));
                self.streams.unlisted(id, in_use, out);
                self.pool.forget(id, &mut self.timers, out);
            }
        }
        self.overruled(kind, lines);
        if matches!(kind, ListKind::Complete | ListKind::Changes) && !self.fresh {
            self.fresh = true;
            for (server, held) in std::mem::take(&mut self.found) {
                self.resume(server, held, out);
            }
        }
    }

    pub(super) fn stream(&mut self, server: ServerId, number: u64, news: StreamEvent, out: &mut Vec<Output>) {
        let asked = self.streams.asked(server);
        if !self.streams.heard(self.now, server, number) {
            return;
        }
        let lost_after = self.limits.lost_timeout;
        let why = match news {
            StreamEvent::Heartbeat => return,
            StreamEvent::Up(held) => {
                self.streams.up(self.now, server, &mut self.timers);
                return self.compare(server, asked.unwrap_or(self.now), held, out);
            }
            StreamEvent::Note(session, note) => {
                let plays = self.sessions.get(&session).and_then(Session::playing);
                if plays.is_some_and(|playing| playing.attempt.server == server) {
                    self.events.push_back(Event::Note { session, server, note });
                }
                return;
            }
            StreamEvent::Began(held) => return self.found(server, held, out),
            StreamEvent::Ended(session, wire) => {
                let plays = self.sessions.get(&session).and_then(Session::playing);
                if plays.is_some_and(|p| p.attempt.server == server && p.attempt.wire_number == wire) {
                    self.ended_by_itself(&session, EndReason::Box, Outcome::Broken, out);
                }
                self.ended_untold(server, Some((&session, wire)));
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
        let verdict = self.streams.broke(self.now, server, why, lost_after, &mut self.timers, out);
        self.judge_stream(server, verdict, out);
    }

    pub(super) fn judge_stream(&mut self, server: ServerId, verdict: Verdict, out: &mut Vec<Output>) {
        if verdict != Verdict::Lost {
            return;
        }
        self.pool.forget(server, &mut self.timers, out);
        let there = |s: &Session| s.playing().is_some_and(|playing| playing.attempt.server == server);
        let lost: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| there(s)).map(|(id, _)| id.clone()).collect();
        for id in lost {
            self.ended_by_itself(&id, EndReason::Lost, Outcome::Broken, out);
        }
        self.ended_untold(server, None);
    }

    pub(super) fn ended_by_itself(
        &mut self,
        id: &SessionId,
        why: EndReason,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        self.counts.lost += u64::from(why == EndReason::Lost);
        if let Some((client, _)) = self.sessions.get(id).and_then(|session| session.client) {
            out.push(Output::Notify(client, Notification::Ended(id.clone(), why)));
        }
        self.stop_playing(id, outcome, why != EndReason::Box, out);
    }

    /// Compares what a box says it holds with what is known here.
    pub(super) fn compare(
        &mut self,
        server: ServerId,
        asked: Micros,
        held: Vec<HeldSession>,
        out: &mut Vec<Output>,
    ) {
        let named: BTreeMap<&SessionId, u32> = held.iter().map(|h| (&h.session, h.attempt)).collect();
        // What was sent after the stream was asked for may have begun after the box wrote its list.
        let missing = |id: &SessionId, s: &Session| {
            s.playing().is_some_and(|p| {
                let told = named.get(id) == Some(&p.attempt.wire_number);
                // What was another front's is not in this one's list until the box has been asked for it.
                let unsure = self.keeping.as_ref().is_some_and(|keeping| keeping.unsure.contains(id));
                p.attempt.server == server && p.attempt.sent_at < asked && !told && !unsure
            })
        };
        let lost: Vec<SessionId> =
            self.sessions.iter().filter(|(id, s)| missing(id, s)).map(|(id, _)| id.clone()).collect();
        for id in lost {
            self.ended_by_itself(&id, EndReason::Lost, Outcome::Broken, out);
        }
        for held in held {
            self.found(server, held, out);
        }
    }

    /// A box says that it holds this session.
    pub(super) fn found(&mut self, server: ServerId, held: HeldSession, out: &mut Vec<Output>) {
        let at = self.sessions.get(&held.session).and_then(Session::current_attempt);
        if at.is_some_and(|a| a.server == server && a.wire_number == held.attempt) {
            return;
        }
        if self.fresh {
            self.resume(server, held, out);
        } else {
            self.found.push((server, held));
        }
    }

    /// A session that a box holds and the ledger does not know: one of this front's earlier life goes on and
    /// waits for its viewer; anything else plays for nobody and is released.
    pub(super) fn resume(&mut self, server: ServerId, held: HeldSession, out: &mut Vec<Output>) {
        let Some(address) = self.streams.address(server) else { return };
        let life = life_of(&held.session.0).map(Life::from);
        let adopted = life.filter(|life| self.keeping.as_ref().is_some_and(|k| k.epochs.contains_key(life)));
        if let Some(life) = adopted {
            return self.held_of(server, &life, held, out);
        }
        let own = format!("{}-", self.name);
        let Some(rest) = held.session.0.strip_prefix(&own) else {
            self.counts.faults += 1;
            let text = format!("box {} holds session {}, which is no front's here", server.0, held.session.0);
            out.push(Output::Log(Level::Warn, text));
            return;
        };
        let earlier = !rest.starts_with(&format!("{:08x}-", self.boot));
        let known = self.sessions.contains_key(&held.session);
        if earlier && self.keeping.is_some() {
            // Another front may be about to go on with it, or does already: nothing is taken from what is found.
            let until = self.now + 2 * self.limits.claim_timeout;
            return self.timers.set(until, Deadline::OrphanSession(server, held.session, held.attempt));
        }
        let opening = held.open_request.filter(|_| earlier && !known && !self.ending);
        let Some(opening) = opening else {
            return self.release_unknown((server, address), held.session, held.attempt, out);
        };
        let place = Place { server: server.0, address, attempt: held.attempt };
        self.plays_on(held.session, place, held.rung, opening, self.limits.claim_timeout);
    }
}
