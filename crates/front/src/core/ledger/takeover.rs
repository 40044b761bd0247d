//! Replication of session records, and takeover of sessions from other fronts.

use salttally_copies::core::{belongs_to, incarnation_of, Incarnation, Name, RecordBody, RecordKey};

use super::*;
use crate::core::session_records::{
    self, AttemptLocation, AwaitingRecord, PeerFront, Replication, SessionRecord,
};

/// Pause before a box is asked again for the sessions of an incarnation, us; doubles three times at most.
const CLAIM_RETRY_US: Micros = 200_000;
/// Number of failed tries after which a box that is not in the list is not asked again: it counts as gone.
const MAX_UNLISTED_CLAIMS: u32 = 6;
/// Hold-off for a viewer whose session is being taken over, us.
pub(super) const TAKEOVER_HOLD_OFF_US: Micros = 500_000;
/// A front without a lease for this long, us, tells its players to look for their sessions elsewhere. Danger:
/// players can still reach a front that is partitioned from the other fronts, so the successor that resumes
/// their sessions would wait for them in vain.
const LEASE_LOSS_GRACE_US: Micros = 5_000_000;
/// Time for the membership view to settle after a change, us.
const MEMBERSHIP_SETTLE_US: Micros = 10_000_000;
/// Interval of the lease checks, us.
const LEASE_CHECK_US: Micros = 1_000_000;

impl<D: Decider> Ledger<D> {
    /// Enables replication of session records and takeovers. Requires agreed rules, see
    /// [`Ledger::with_rules`].
    pub fn with_replication(mut self) -> Self {
        let incarnation = self.incarnation();
        let names = self.rules.as_ref().map(AgreedRules::names).unwrap_or_default();
        self.replication = Some(Replication::new(names, incarnation));
        self.timers.set(LEASE_CHECK_US, Deadline::CheckLease);
        self
    }

    #[cfg(test)]
    pub(crate) fn replication_state(&self) -> &Replication {
        self.replication.as_ref().expect("replication is enabled")
    }

    /// The current incarnation of this front: the prefix of the ids of its own sessions.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::from(format!("{}-{:08x}", self.name, self.boot))
    }

    /// The lease limit, by the lease clock, and the epoch under which a request is to be written.
    pub fn write_authority(&self, request: &BoxRequest) -> WriteAuthority {
        let until = self.rules.as_ref().map(AgreedRules::valid_until);
        let Some(replication) = &self.replication else {
            return WriteAuthority {
                valid_until: until.filter(|_| matches!(request, BoxRequest::SetUp { .. })),
                epoch: None,
            };
        };
        let epoch = match request {
            BoxRequest::SetUp { session, .. }
            | BoxRequest::SetRung { session, .. }
            | BoxRequest::Release { session, .. } => replication.epoch_of(session).or_else(|| {
                // Sessions of an ended incarnation that a box still holds can be released only under the last
                // epoch of the incarnation; the box rejects earlier ones.
                let successors = self.rules.as_ref()?.successors();
                successors.ended.get(incarnation_of(&session.0)?).map(|(_, epoch)| *epoch)
            }),
            BoxRequest::Claim { epoch, .. } => Some(*epoch),
            BoxRequest::Probe => None,
        };
        WriteAuthority { valid_until: until.filter(|_| epoch.is_some()), epoch }
    }

    /// Whether this front may act for this session now. Always true without replication.
    pub(super) fn may_act_for(&self, id: &SessionId) -> bool {
        let (Some(replication), Some(rules)) = (&self.replication, &self.rules) else { return true };
        let Some(incarnation) = incarnation_of(&id.0) else { return false };
        // No other front has sessions of an ended incarnation of this front.
        let own_ended = incarnation.rsplit_once('-').is_some_and(|(name, _)| name == self.name)
            && rules.successors().ended.contains_key(incarnation);
        rules.epoch(&replication.incarnation, incarnation).is_some() || self.has_lease() && own_ended
    }

    /// Whether this front has a lease and has not been taken over.
    fn has_lease(&self) -> bool {
        let (Some(replication), Some(rules)) = (&self.replication, &self.rules) else { return false };
        rules.epoch(&replication.incarnation, &replication.incarnation).is_some()
    }

    /// Replicates a session record; `awaited` tells whether [`Input::RecordStored`] is awaited.
    pub(super) fn store_record(&mut self, key: RecordKey, record: &SessionRecord, awaited: bool) {
        self.record_outputs.push(Output::StoreRecord(key, session_records::encode(record), awaited));
    }

    /// Deletes a session record, if records are replicated.
    pub(super) fn delete_record(&mut self, key: RecordKey) {
        if self.replication.is_some() {
            self.record_outputs.push(Output::DeleteRecord(key));
        }
    }

    /// Sends a set-up. One that must happen at most once first waits until its record is replicated.
    pub(super) fn send_set_up(
        &mut self,
        to: (ServerId, SocketAddr),
        request: BoxRequest,
        out: &mut Vec<Output>,
    ) {
        let max_connections = self.limits.connections_per_box;
        let request_record = match (&self.replication, &request) {
            (Some(replication), BoxRequest::SetUp { open_request, .. }) => {
                replication.to_record(open_request)
            }
            _ => None,
        };
        let BoxRequest::SetUp { session: id, attempt, open_request, .. } = &request else {
            return;
        };
        let at_most_once =
            self.settings.classes.get(open_request.class).is_some_and(|class| class.effect == Effect::Once);
        let (Some(request_record), true) = (request_record, at_most_once) else {
            return self.pool.send(to, request, None, max_connections, &mut self.timers, out);
        };
        let (id, attempt) = (id.clone(), *attempt);
        let location = AttemptLocation { server: to.0 .0, address: to.1, attempt };
        self.store_record(
            session_records::session_key(&id),
            &SessionRecord::SetUpIntended(location, request_record),
            true,
        );
        if let Some(replication) = &mut self.replication {
            replication
                .awaiting_record
                .insert(id, AwaitingRecord::SetUp(attempt, Box::new((to.0, to.1, request))));
        }
    }

    /// Cancels the set-up of this attempt if it still waits for its record; returns whether it did.
    pub(super) fn cancel_unsent_set_up(&mut self, id: &SessionId, number: u32) -> bool {
        let Some(replication) = &mut self.replication else { return false };
        let is_waiting = matches!(replication.awaiting_record.get(id), Some(AwaitingRecord::SetUp(of, _)) if *of == number);
        if is_waiting {
            replication.awaiting_record.remove(id);
        }
        is_waiting
    }

    /// After a box has started a session, defers the answer to the viewer until the record is replicated.
    /// Returns whether the answer is deferred.
    pub(super) fn await_record_before_answer(
        &mut self,
        id: &SessionId,
        took: Micros,
        report: &[f64],
    ) -> bool {
        let Some(replication) = &mut self.replication else { return false };
        let Some(session) = self.sessions.get(id) else { return false };
        let (Some(attempt), Some(request_record)) =
            (session.pending_attempt(), replication.to_record(&session.open_request))
        else {
            return false;
        };
        let record = SessionRecord::Plays(AttemptLocation::of(attempt), attempt.rung as u32, request_record);
        replication
            .awaiting_record
            .insert(id.clone(), AwaitingRecord::Answer(attempt.number, took, report.to_vec(), false));
        self.store_record(session_records::session_key(id), &record, true);
        true
    }

    /// Ends a session whose answer waits for its record: the answer must not be sent, and the session is
    /// released.
    pub(super) fn release_unanswered(&mut self, id: &SessionId, out: &mut Vec<Output>) {
        let Some(replication) = &mut self.replication else { return };
        if !matches!(replication.awaiting_record.get(id), Some(AwaitingRecord::Answer(..))) {
            return;
        }
        replication.awaiting_record.remove(id);
        let Some(attempt) = self.sessions.get(id).and_then(Session::pending_attempt).cloned() else { return };
        self.release((attempt.server, attempt.address), id, attempt.wire_number, out);
        self.attempt_ended(attempt.server, id, attempt.number, Outcome::Withdrawn, Vec::new(), out);
    }

    /// Marks sessions whose answers wait for their records as ended: the box has ended them, or is lost.
    pub(super) fn mark_ended_unanswered(&mut self, server: ServerId, of: Option<(&SessionId, u32)>) {
        let Some(replication) = &mut self.replication else { return };
        let sessions = &self.sessions;
        for (id, work) in &mut replication.awaiting_record {
            let at = sessions.get(id).and_then(Session::pending_attempt);
            let matches = at.is_some_and(|at| {
                at.server == server
                    && of.is_none_or(|(session, wire_number)| session == id && at.wire_number == wire_number)
            });
            if let AwaitingRecord::Answer(_, _, _, ended) = work {
                *ended |= matches;
            }
        }
    }

    /// Handles the result of replicating a session record.
    pub(super) fn record_stored(&mut self, key: &RecordKey, stored: bool, out: &mut Vec<Output>) {
        let id = session_records::session_of_key(key);
        let Some(work) =
            self.replication.as_mut().and_then(|replication| replication.awaiting_record.remove(&id))
        else {
            return;
        };
        let pending = self.sessions.get(&id).and_then(Session::pending_attempt).cloned();
        match (work, pending) {
            (AwaitingRecord::SetUp(number, sent), Some(attempt)) if attempt.number == number => {
                let (server, address, request) = *sent;
                if stored && self.sessions.get(&id).is_some_and(Session::answer_pending) {
                    let max_connections = self.limits.connections_per_box;
                    return self.pool.send(
                        (server, address),
                        request,
                        None,
                        max_connections,
                        &mut self.timers,
                        out,
                    );
                }
                self.timers.cancel(attempt.expires_at, Deadline::AttemptTimeout(id.clone(), number));
                if self.sessions.get(&id).is_some_and(Session::answer_pending) {
                    // Nothing was sent, so a refusal is safe: too few fronts could store the record.
                    let after = self.settings.max_hold_off.min(SHORT_HOLD_OFF_US);
                    if let Some(session) = self.sessions.get_mut(&id) {
                        session.stage = Stage::Waiting;
                    }
                    self.refuse(&id, after, out);
                    self.events.push_back(Event::Ended {
                        session: id,
                        attempt: number,
                        server,
                        outcome: Outcome::NotSent,
                        last: true,
                        report: Vec::new(),
                    });
                } else {
                    self.attempt_ended(server, &id, number, Outcome::NotSent, Vec::new(), out);
                }
            }
            (AwaitingRecord::Answer(number, took, report, ended), Some(attempt))
                if attempt.number == number =>
            {
                // Danger: since the box responded, the lease may have ended, or another front may have taken
                // over the incarnation.
                let forbidden = self.set_up_forbidden(&id, attempt.server).is_some();
                if stored && !ended && !forbidden {
                    return self.start_playing(&id, attempt, took, &report, out);
                }
                if !ended {
                    self.release((attempt.server, attempt.address), &id, attempt.wire_number, out);
                }
                self.give_answer(&id, Answer::Failed(id.clone(), FailReason::GivenUp), out);
                let outcome = if ended { Outcome::Broken } else { Outcome::Withdrawn };
                self.attempt_ended(attempt.server, &id, number, outcome, Vec::new(), out);
            }
            _ => {}
        }
    }

    /// Stores the record of a playing session again, with its current box, attempt and rung.
    pub(super) fn store_playing_record(&mut self, id: &SessionId) {
        let Some(replication) = &self.replication else { return };
        let Some(session) = self.sessions.get(id) else { return };
        let (Some(playing), Some(request_record)) =
            (session.playing(), replication.to_record(&session.open_request))
        else {
            return;
        };
        let record = SessionRecord::Plays(
            AttemptLocation::of(&playing.attempt),
            playing.attempt.rung as u32,
            request_record,
        );
        self.store_record(session_records::session_key(id), &record, false);
    }

    // ---- Takeover ----

    /// Takes over the sessions of another incarnation.
    pub(super) fn take_over(
        &mut self,
        incarnation: &Incarnation,
        epoch: u64,
        records: &[(RecordKey, RecordBody)],
        out: &mut Vec<Output>,
    ) {
        if self.shutting_down {
            return;
        }
        let Some(replication) = &mut self.replication else { return };
        replication.takeover_epochs.insert(Incarnation::clone(incarnation), epoch);
        replication.takeover_times.insert(Incarnation::clone(incarnation), self.now);
        let mut boxes: BTreeMap<ServerId, SocketAddr> = self.boxes.clone();
        for (key, bytes) in records {
            let id = session_records::session_of_key(key);
            let Some(record) = session_records::decode(bytes) else {
                self.counts.faults += 1;
                out.push(Output::Log(Level::Warn, format!("session record of {} cannot be read", id.0)));
                continue;
            };
            if let SessionRecord::SetUpIntended(location, _)
            | SessionRecord::Plays(location, ..)
            | SessionRecord::ReleasePending(location) = &record
            {
                boxes.entry(ServerId(location.server)).or_insert(location.address);
            }
            self.restore_record(id, record, out);
        }
        for (server, address) in boxes {
            self.claim_sessions(incarnation, (server, address), out);
        }
    }

    /// Restores one session record of an incarnation that this front takes over.
    fn restore_record(&mut self, id: SessionId, record: SessionRecord, out: &mut Vec<Output>) {
        let Some(replication) = &mut self.replication else { return };
        match record {
            SessionRecord::Plays(location, rung, request_record) => {
                match replication.from_record(&request_record) {
                    Some(open_request) if !self.sessions.contains_key(&id) => {
                        replication.unconfirmed.insert(id.clone());
                        let listed = self.boxes.get(&ServerId(location.server)).copied();
                        let location =
                            AttemptLocation { address: listed.unwrap_or(location.address), ..location };
                        self.resume_playing(
                            id,
                            location,
                            rung as usize,
                            open_request,
                            self.limits.takeover_retention,
                        );
                    }
                    Some(_) => {}
                    None => {
                        // The settings have no such class or title: the box is told to release the session.
                        let to = (ServerId(location.server), location.address);
                        self.delete_record(session_records::session_key(&id));
                        self.release(to, &id, location.attempt, out);
                    }
                }
            }
            // Danger: if replicas of two incarnations both hold the record, the second one must not erase a
            // session that plays.
            SessionRecord::SetUpIntended(..) if self.sessions.contains_key(&id) => {}
            // No front sends this set-up again; the box knows whether it was executed.
            SessionRecord::SetUpIntended(location, request_record) => match replication
                .from_record(&request_record)
            {
                Some(open_request) => drop(replication.possible_set_ups.insert(id, (location, open_request))),
                None => {
                    self.delete_record(session_records::session_key(&id));
                    self.release((ServerId(location.server), location.address), &id, location.attempt, out);
                }
            },
            SessionRecord::ReleasePending(location) => {
                let to = (ServerId(location.server), location.address);
                self.release(to, &id, location.attempt, out);
            }
            SessionRecord::Moved(viewer, left) => {
                self.moved.insert(id.clone(), ViewerId(viewer));
                self.timers.set(self.now + left.min(self.limits.moved_retention), Deadline::MovedExpiry(id));
            }
        }
    }

    /// Resumes a playing session, which waits for its viewer until `claim_timeout` has passed.
    pub(super) fn resume_playing(
        &mut self,
        id: SessionId,
        location: AttemptLocation,
        rung: usize,
        open_request: OpenRequest,
        claim_timeout: Micros,
    ) {
        let (server, address) = (ServerId(location.server), location.address);
        self.counts.resumed += 1;
        let request = open_request.to_request(&id, false);
        let effect = self.settings.classes.get(open_request.class).map_or(Effect::Safe, |class| class.effect);
        let mut session = Session::new(None, open_request, effect, rung, self.now);
        let (number, wire_number, now) = (0, location.attempt, self.now);
        session.resume_playing(Attempt {
            number,
            wire_number,
            server,
            address,
            sent_at: now,
            expires_at: now,
            rung,
        });
        let until = now + claim_timeout;
        session.claim_by = Some(until);
        self.insert_session(id.clone(), session);
        self.timers.set(until, Deadline::ClaimTimeout(id.clone()));
        self.events.push_back(Event::Resumed(request, server));
        self.events.push_back(Event::Note { session: id, server, note: Note::Rung(rung) });
    }

    /// Asks a box which sessions of an incarnation it holds, and has it reject requests of earlier epochs.
    pub(super) fn claim_sessions(
        &mut self,
        incarnation: &Incarnation,
        to: (ServerId, SocketAddr),
        out: &mut Vec<Output>,
    ) {
        let Some(replication) = &mut self.replication else { return };
        let Some(epoch) = replication.takeover_epochs.get(incarnation).copied() else { return };
        replication.pending_claims.entry((Incarnation::clone(incarnation), to.0)).or_insert(0);
        self.send_request(to, BoxRequest::Claim { incarnation: Incarnation::clone(incarnation), epoch }, out);
    }

    /// Asks a newly listed box about all incarnations that this front has taken over.
    pub(super) fn claim_all_incarnations(&mut self, to: (ServerId, SocketAddr), out: &mut Vec<Output>) {
        let incarnations: Vec<Incarnation> = self
            .replication
            .as_ref()
            .map(|replication| replication.takeover_epochs.keys().cloned().collect())
            .unwrap_or_default();
        incarnations.iter().for_each(|incarnation| self.claim_sessions(incarnation, to, out));
    }

    /// Handles the end of a claim request.
    pub(super) fn claim_ended(
        &mut self,
        server: ServerId,
        incarnation: &Incarnation,
        epoch: u64,
        end: RequestEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(replication) = &mut self.replication else { return };
        if replication.takeover_epochs.get(incarnation) != Some(&epoch) {
            return;
        }
        let at = (Incarnation::clone(incarnation), server);
        match end {
            RequestEnd::Exchange(ExchangeEnd::Claimed { held, .. }) => {
                replication.pending_claims.remove(&at);
                self.reconcile_incarnation(server, incarnation, held, out);
            }
            RequestEnd::Exchange(ExchangeEnd::Answered { answer: BoxAnswer::Superseded, .. }) => {
                // A later successor was here; the notification of it from accord is still in transit.
                replication.pending_claims.remove(&at);
                self.drop_incarnation(incarnation, out);
            }
            _ => {
                let listed = self.boxes.contains_key(&server);
                let Some(tries) = replication.pending_claims.get_mut(&at) else { return };
                *tries += 1;
                if !listed && *tries >= MAX_UNLISTED_CLAIMS {
                    // The box is gone with everything it played.
                    replication.pending_claims.remove(&at);
                    return self.reconcile_incarnation(server, incarnation, Vec::new(), out);
                }
                let pause = CLAIM_RETRY_US << (*tries - 1).min(3);
                self.timers
                    .set(self.now + pause, Deadline::RetryClaim(server, Incarnation::clone(incarnation)));
            }
        }
    }

    /// Asks a box again for its sessions of an incarnation, if the previous request failed. A box without a
    /// known address counts as gone.
    pub(super) fn retry_claim(&mut self, server: ServerId, incarnation: &Incarnation, out: &mut Vec<Output>) {
        let known = self.boxes.get(&server).copied().or_else(|| self.streams.address(server));
        let recorded =
            self.sessions.values().filter_map(Session::current_attempt).find(|at| at.server == server);
        let address = known.or_else(|| recorded.map(|at| at.address));
        let is_waiting = self.replication.as_ref().is_some_and(|replication| {
            replication.pending_claims.contains_key(&(Incarnation::clone(incarnation), server))
        });
        match address {
            Some(address) if is_waiting => self.claim_sessions(incarnation, (server, address), out),
            Some(_) => {}
            None => self.reconcile_incarnation(server, incarnation, Vec::new(), out),
        }
    }

    /// Reconciles the sessions of an incarnation that a box reports with the session records.
    ///
    /// | records | box | result |
    /// |---|---|---|
    /// | playing there | the same | the session plays on, at the rung that the box reports |
    /// | playing there | nothing, or another attempt | the session is over, and the other attempt is released |
    /// | set-up may have been executed there | playing | the session plays on for its viewer |
    /// | set-up may have been executed there | nothing | the session is over; it cannot begin later, since the box rejects earlier epochs |
    /// | nothing, or playing elsewhere | playing | no viewer was told of it: the session waits a while for its viewer, or is released |
    fn reconcile_incarnation(
        &mut self,
        server: ServerId,
        incarnation: &Incarnation,
        held: Vec<HeldSession>,
        out: &mut Vec<Output>,
    ) {
        let reported: BTreeMap<SessionId, u32> =
            held.iter().map(|h| (h.session.clone(), h.attempt)).collect();
        let missing = |id: &SessionId, s: &Session| {
            let there = s.playing().filter(|p| p.attempt.server == server);
            belongs_to(&id.0, incarnation)
                && there.is_some_and(|p| reported.get(id) != Some(&p.attempt.wire_number))
        };
        let lost: Vec<SessionId> =
            self.sessions.iter().filter(|(id, s)| missing(id, s)).map(|(id, _)| id.clone()).collect();
        for id in &lost {
            if let Some(replication) = &mut self.replication {
                replication.unconfirmed.remove(id);
            }
            self.end_and_notify(id, EndReason::Lost, Outcome::Broken, out);
        }
        let address = self.boxes.get(&server).copied().or_else(|| self.streams.address(server));
        for held_session in held {
            match address {
                Some(to) if lost.contains(&held_session.session) => {
                    self.release_unknown((server, to), held_session.session, held_session.attempt, out);
                }
                _ => self.reconcile_held_session(server, incarnation, held_session, out),
            }
        }
        let Some(replication) = &mut self.replication else { return };
        let open: Vec<SessionId> = replication
            .possible_set_ups
            .iter()
            .filter(|(id, (location, _))| location.server == server.0 && belongs_to(&id.0, incarnation))
            .map(|(id, _)| id.clone())
            .collect();
        for id in open {
            if let Some(replication) = &mut self.replication {
                replication.possible_set_ups.remove(&id);
            }
            self.delete_record(session_records::session_key(&id));
        }
    }

    /// Reconciles one session of an incarnation that a box reports; see `reconcile_incarnation`.
    pub(super) fn reconcile_held_session(
        &mut self,
        server: ServerId,
        incarnation: &Incarnation,
        held: HeldSession,
        out: &mut Vec<Output>,
    ) {
        let Some(replication) = &mut self.replication else { return };
        let Some(address) = self.boxes.get(&server).copied().or_else(|| self.streams.address(server)) else {
            return;
        };
        let id = held.session.clone();
        if !belongs_to(&id.0, incarnation) {
            return;
        }
        let location = AttemptLocation { server: server.0, address, attempt: held.attempt };
        let same = |p: &Playing| p.attempt.server == server && p.attempt.wire_number == held.attempt;
        match self.sessions.get_mut(&id) {
            Some(session) if session.playing().is_some_and(same) => {
                replication.unconfirmed.remove(&id);
                let rung = held.rung;
                if let Stage::Playing(playing) = &mut session.stage {
                    if playing.attempt.rung != rung && playing.pending_rung.is_none() {
                        (playing.attempt.rung, session.target_rung) = (rung, rung);
                        self.events.push_back(Event::Note {
                            session: id.clone(),
                            server,
                            note: Note::Rung(rung),
                        });
                        self.store_playing_record(&id);
                    }
                }
            }
            Some(_) => self.release_unknown((server, address), id, held.attempt, out),
            None => {
                let set_up = replication
                    .possible_set_ups
                    .get(&id)
                    .filter(|(at, _)| *at == location || at.attempt == held.attempt);
                let open_request = set_up.map(|(_, open_request)| open_request.clone()).or(held.open_request);
                replication.possible_set_ups.remove(&id);
                match open_request.filter(|_| !self.shutting_down) {
                    Some(open_request) => {
                        self.resume_playing(
                            id.clone(),
                            location,
                            held.rung,
                            open_request,
                            self.limits.takeover_retention,
                        );
                        self.store_playing_record(&id);
                    }
                    None => self.release_unknown((server, address), id, held.attempt, out),
                }
            }
        }
    }

    /// Handles the takeover of this front by another: drops all its sessions, which the successor now has,
    /// and starts a new incarnation.
    pub(super) fn taken_over(&mut self, incarnation: &Incarnation, out: &mut Vec<Output>) {
        if self.replication.as_ref().is_none_or(|replication| replication.incarnation != *incarnation) {
            return;
        }
        let incarnations: Vec<Incarnation> = self
            .replication
            .iter()
            .flat_map(|replication| replication.takeover_epochs.keys().cloned())
            .chain([incarnation.clone()])
            .collect();
        incarnations.iter().for_each(|incarnation| self.drop_incarnation(incarnation, out));
        self.boot = self.boot.wrapping_add(1);
        let new_incarnation = self.incarnation();
        if let Some(replication) = &mut self.replication {
            replication.incarnation = Incarnation::clone(&new_incarnation);
        }
        self.record_outputs.push(Output::IncarnationChanged(new_incarnation));
    }

    /// Drops all sessions of an incarnation that another front has taken over. Nothing is sent to their
    /// boxes.
    pub(super) fn drop_incarnation(&mut self, incarnation: &Incarnation, out: &mut Vec<Output>) {
        let dropped: Vec<SessionId> =
            self.sessions.keys().filter(|id| belongs_to(&id.0, incarnation)).cloned().collect();
        for id in dropped {
            let Some(session) = self.sessions.get(&id) else { continue };
            let (client, at, answer_pending) =
                (session.client, session.current_attempt().cloned(), session.answer_pending());
            if let Some(replication) = &mut self.replication {
                replication.awaiting_record.remove(&id);
                replication.unconfirmed.remove(&id);
            }
            if let Some(attempt) = &at {
                self.timers.cancel(attempt.expires_at, Deadline::AttemptTimeout(id.clone(), attempt.number));
                self.pool.withdraw_set_up(&id, attempt.number, out);
            }
            if answer_pending {
                self.give_answer(&id, Answer::Failed(id.clone(), FailReason::GivenUp), out);
            } else if let Some((client, _)) = client {
                out.push(Output::Notify(client, Notification::Ended(id.clone(), EndReason::TakenOver)));
            }
            self.remove_session(&id);
            match at {
                Some(attempt) => self.events.push_back(Event::Ended {
                    session: id,
                    attempt: attempt.number,
                    server: attempt.server,
                    outcome: Outcome::Withdrawn,
                    last: true,
                    report: Vec::new(),
                }),
                None => self.events.push_back(Event::ClientLeft(id)),
            }
        }
        self.releases.retain(|(_, id, _), _| !belongs_to(&id.0, incarnation));
        self.moved.retain(|id, _| !belongs_to(&id.0, incarnation));
        if let Some(replication) = &mut self.replication {
            replication.takeover_epochs.remove(incarnation);
            replication.takeover_times.remove(incarnation);
            replication.possible_set_ups.retain(|id, _| !belongs_to(&id.0, incarnation));
            replication.pending_claims.retain(|(of, _), _| of != incarnation);
        }
        // The successor relies on these records: deleting them here would delete them there.
        self.record_outputs
            .retain(|output| !matches!(output, Output::DeleteRecord(key) if belongs_to(key, incarnation)));
    }

    /// Checks the lease. After a longer time without one, tells the players to look for the front that has
    /// it.
    pub(super) fn check_lease(&mut self, out: &mut Vec<Output>) {
        let has_lease = self.has_lease();
        let Some(replication) = &mut self.replication else { return };
        self.timers.set(self.now + LEASE_CHECK_US, Deadline::CheckLease);
        if has_lease {
            replication.last_leased_at = self.now;
            return;
        }
        if replication.last_leased_at + LEASE_LOSS_GRACE_US > self.now {
            return;
        }
        let clients: Vec<ClientId> = self.by_client.keys().copied().collect();
        for client in clients {
            let sessions = self.by_client.get(&client).cloned().unwrap_or_default();
            let playing = |id: &SessionId| self.sessions.get(id).is_some_and(|s| s.playing().is_some());
            for id in sessions.into_iter().filter(playing) {
                out.push(Output::Notify(client, Notification::Ended(id, EndReason::TakenOver)));
            }
            self.keep_uncertain_sessions(client);
        }
    }

    /// Where to find a session that is not here.
    pub(super) fn locate_session(&self, id: &SessionId) -> Reply {
        let (Some(replication), Some(rules), Some(incarnation)) =
            (&self.replication, &self.rules, incarnation_of(&id.0))
        else {
            return Reply::Unknown;
        };
        let successors = rules.successors();
        let retry = Reply::RetryAfter(TAKEOVER_HOLD_OFF_US);
        if let Some(successor) = successors.current(incarnation) {
            let here = successor.name.as_ref() == self.name.as_str();
            // Danger: a replica resuming from a suspension may arrive a moment after the others, and until
            // then its session would be reported as unknown.
            let settled = replication
                .takeover_times
                .get(incarnation)
                .is_some_and(|at| at + MEMBERSHIP_SETTLE_US <= self.now);
            return match (here, settled) {
                (false, _) => Reply::AtOtherFront(Name::clone(&successor.name), successor.client_address),
                // The session was here and is over. Without a lease it may already be at the next successor.
                (true, true) if rules.epoch(&replication.incarnation, incarnation).is_some() => {
                    Reply::Unknown
                }
                (true, _) => retry,
            };
        }
        if !self.has_lease() {
            // Danger: a front that was suspended would answer for sessions that another has taken over;
            // without a lease it can't know.
            return retry;
        }
        if successors.ended.contains_key(incarnation) || *incarnation == *replication.incarnation {
            return Reply::Unknown;
        }
        let Some((name, _)) = incarnation.rsplit_once('-') else { return Reply::Unknown };
        if !replication.peers.get(self.name.as_str()).is_some_and(|front| front.in_view) {
            // Danger: a front that has just started knows no other fronts, and would report that the session
            // does not exist.
            return retry;
        }
        if name == self.name {
            // An earlier incarnation of this front, which is about to be taken over.
            return retry;
        }
        match replication.peers.get(name) {
            Some(PeerFront { in_view: true, client_address }) => {
                Reply::AtOtherFront(Name::from(name), *client_address)
            }
            Some(_) => retry,
            // After a partition heals, the two sides learn of each other only after a moment.
            None if replication.peers_changed_at + MEMBERSHIP_SETTLE_US > self.now => retry,
            None => Reply::Unknown,
        }
    }

    /// Handles a session of an earlier incarnation of this front, reported by a box. A successor of that
    /// incarnation takes care of it. If the fronts agree but nobody has taken the incarnation over, nobody
    /// has records of it, and this front takes it over itself: it asks the boxes, and the sessions they hold
    /// wait for their viewers. Danger: otherwise a crash can leave the session playing for ever with no
    /// viewer.
    pub(super) fn check_orphan(
        &mut self,
        server: ServerId,
        id: SessionId,
        wire_number: u32,
        out: &mut Vec<Output>,
    ) {
        let (Some(replication), Some(rules), Some(incarnation)) =
            (&self.replication, &self.rules, incarnation_of(&id.0))
        else {
            return;
        };
        let successors = rules.successors();
        if successors.by_incarnation.contains_key(incarnation)
            || replication.takeover_epochs.contains_key(incarnation)
        {
            return;
        }
        if successors.ended.contains_key(incarnation) {
            if let Some(address) = self.streams.address(server) {
                self.release_unknown((server, address), id, wire_number, out);
            }
            return;
        }
        if self.has_lease() {
            self.record_outputs.push(Output::OrphanFound(Incarnation::from(incarnation)));
        }
        let until = self.now + self.limits.claim_timeout;
        self.timers.set(until, Deadline::OrphanSession(server, id, wire_number));
    }
}
