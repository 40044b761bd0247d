//! Promises and their copies: what waits until they count, and going on with what another front promised.

use salttally_copies::core::{life_of, of_life, Bytes, Key, Life, Name};

use super::*;
use crate::core::session_records::{self, Keeping, PeerFront, Place, Promise, Waits};

/// Pause before a box is asked again what it holds of a life; it doubles a few times.
const CLAIM_PAUSE: Micros = 200_000;
/// A box that is in no list is asked so often.
const CLAIMS: u32 = 6;
/// A viewer whose session is between two fronts asks again after this.
pub(super) const ASK_AGAIN: Micros = 500_000;
/// A front without a lease for so long sends its players to look elsewhere. Danger: it is cut off, its players hear it all
/// the same, and whoever goes on with their sessions waits for them in vain; found by the trial.
const UNLEASED: Micros = 5_000_000;
/// What is known of other fronts is in motion for so long after a change.
const SETTLES: Micros = 10_000_000;
/// It looks at its lease this often.
const LOOK: Micros = 1_000_000;

impl<D: Decider> Ledger<D> {
    /// Has its promises copied, and goes on with others'. Wants rules that are agreed on: see [`Ledger::under`].
    pub fn with_replication(mut self) -> Self {
        let life = self.incarnation();
        let names = self.terms.as_ref().map(AgreedRules::names).unwrap_or_default();
        self.keeping = Some(Keeping::new(names, life));
        self.timers.set(LOOK, Deadline::CheckLease);
        self
    }

    #[cfg(test)]
    pub(crate) fn keeping_for_tests(&self) -> &Keeping {
        self.keeping.as_ref().expect("its promises are copied")
    }

    /// What its own sessions' ids begin with.
    pub fn incarnation(&self) -> Life {
        Life::from(format!("{}-{:08x}", self.name, self.boot))
    }

    /// By what right a request goes out: until when, by the clock of leases, and by which epoch.
    pub fn write_authority(&self, request: &BoxRequest) -> WriteAuthority {
        let until = self.terms.as_ref().map(AgreedRules::valid_until);
        let Some(keeping) = &self.keeping else {
            return WriteAuthority {
                valid_until: until.filter(|_| matches!(request, BoxRequest::SetUp { .. })),
                epoch: None,
            };
        };
        let epoch = match request {
            BoxRequest::SetUp { session, .. }
            | BoxRequest::SetRung { session, .. }
            | BoxRequest::Release { session, .. } => keeping.epoch(session).or_else(|| {
                // What is left at a box of a life that is over: no earlier epoch ends it there.
                let heirs = self.terms.as_ref()?.successors();
                heirs.over.get(life_of(&session.0)?).map(|(_, epoch)| *epoch)
            }),
            BoxRequest::Claim { epoch, .. } => Some(*epoch),
            BoxRequest::Probe => None,
        };
        WriteAuthority { valid_until: until.filter(|_| epoch.is_some()), epoch }
    }

    /// Whether an act for this session may be written now. Without copies, always.
    pub(super) fn ours(&self, id: &SessionId) -> bool {
        let (Some(keeping), Some(terms)) = (&self.keeping, &self.terms) else { return true };
        let Some(life) = life_of(&id.0) else { return false };
        // Of a life of its own that is over nobody else has anything.
        let left = life.rsplit_once('-').is_some_and(|(name, _)| name == self.name)
            && terms.successors().over.contains_key(life);
        terms.epoch(&keeping.own, life).is_some() || self.leased() && left
    }

    /// Whether this front has a lease, and its life is its own.
    fn leased(&self) -> bool {
        let (Some(keeping), Some(terms)) = (&self.keeping, &self.terms) else { return false };
        terms.epoch(&keeping.own, &keeping.own).is_some()
    }

    pub(super) fn promise(&mut self, key: Key, promise: &Promise, waits: bool) {
        self.notes.push(Output::StoreRecord(key, session_records::encode(promise), waits));
    }

    pub(super) fn forget(&mut self, key: Key) {
        if self.keeping.is_some() {
            self.notes.push(Output::DeleteRecord(key));
        }
    }

    /// A set-up goes out, or waits until it counts that it may.
    pub(super) fn send_set_up(
        &mut self,
        to: (ServerId, SocketAddr),
        request: BoxRequest,
        out: &mut Vec<Output>,
    ) {
        let most = self.limits.connections_per_box;
        let wish = match (&self.keeping, &request) {
            (Some(keeping), BoxRequest::SetUp { open_request: opening, .. }) => keeping.wish(opening),
            _ => None,
        };
        let BoxRequest::SetUp { session: id, attempt, open_request: opening, .. } = &request else { return };
        let once = self.settings.classes.get(opening.class).is_some_and(|class| class.effect == Effect::Once);
        let (Some(wish), true) = (wish, once) else {
            return self.pool.send(to, request, None, most, &mut self.timers, out);
        };
        let (id, attempt) = (id.clone(), *attempt);
        let place = Place { server: to.0 .0, address: to.1, attempt };
        self.promise(session_records::key(&id), &Promise::Intends(place, wish), true);
        if let Some(keeping) = &mut self.keeping {
            keeping.waits.insert(id, Waits::SetUp(attempt, Box::new((to.0, to.1, request))));
        }
    }

    /// The set-up of this attempt has waited too long to be sent; returns whether it was waiting.
    pub(super) fn unsent(&mut self, id: &SessionId, number: u32) -> bool {
        let Some(keeping) = &mut self.keeping else { return false };
        let waits = matches!(keeping.waits.get(id), Some(Waits::SetUp(of, _)) if *of == number);
        if waits {
            keeping.waits.remove(id);
        }
        waits
    }

    /// The box says that it plays: the viewer is told once that counts. Returns whether it is to wait.
    pub(super) fn waits_to_play(&mut self, id: &SessionId, took: Micros, report: &[f64]) -> bool {
        let Some(keeping) = &mut self.keeping else { return false };
        let Some(session) = self.sessions.get(id) else { return false };
        let (Some(attempt), Some(wish)) = (session.pending_attempt(), keeping.wish(&session.open_request))
        else {
            return false;
        };
        let promise = Promise::Plays(Place::of(attempt), attempt.rung as u32, wish);
        keeping.waits.insert(id.clone(), Waits::Answer(attempt.number, took, report.to_vec(), false));
        self.promise(session_records::key(id), &promise, true);
        true
    }

    /// A session whose answer waits is over: nobody may be told that it plays, and it plays for nobody.
    pub(super) fn untold(&mut self, id: &SessionId, out: &mut Vec<Output>) {
        let Some(keeping) = &mut self.keeping else { return };
        if !matches!(keeping.waits.get(id), Some(Waits::Answer(..))) {
            return;
        }
        keeping.waits.remove(id);
        let Some(attempt) = self.sessions.get(id).and_then(Session::pending_attempt).cloned() else { return };
        self.release((attempt.server, attempt.address), id, attempt.wire_number, out);
        self.attempt_ended(attempt.server, id, attempt.number, Outcome::Withdrawn, Vec::new(), out);
    }

    /// The box has ended what waits to be told, or is lost.
    pub(super) fn ended_untold(&mut self, server: ServerId, of: Option<(&SessionId, u32)>) {
        let Some(keeping) = &mut self.keeping else { return };
        let sessions = &self.sessions;
        for (id, waits) in &mut keeping.waits {
            let at = sessions.get(id).and_then(Session::pending_attempt);
            let meant = at.is_some_and(|at| {
                at.server == server
                    && of.is_none_or(|(session, wire)| session == id && at.wire_number == wire)
            });
            if let Waits::Answer(_, _, _, ended) = waits {
                *ended |= meant;
            }
        }
    }

    /// A promise counts, or does not.
    pub(super) fn is_kept(&mut self, key: &Key, kept: bool, out: &mut Vec<Output>) {
        let id = session_records::session(key);
        let Some(waits) = self.keeping.as_mut().and_then(|keeping| keeping.waits.remove(&id)) else { return };
        let out_now = self.sessions.get(&id).and_then(Session::pending_attempt).cloned();
        match (waits, out_now) {
            (Waits::SetUp(number, sent), Some(attempt)) if attempt.number == number => {
                let (server, address, request) = *sent;
                if kept && self.sessions.get(&id).is_some_and(Session::answer_pending) {
                    let most = self.limits.connections_per_box;
                    return self.pool.send((server, address), request, None, most, &mut self.timers, out);
                }
                self.timers.cancel(attempt.expires_at, Deadline::AttemptTimeout(id.clone(), number));
                if self.sessions.get(&id).is_some_and(Session::answer_pending) {
                    // Nothing was sent, so it may be told so: there are too few fronts to promise it.
                    let after = self.settings.max_hold_off.min(COME_BACK);
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
            (Waits::Answer(number, took, report, ended), Some(attempt)) if attempt.number == number => {
                // Danger: the lease has ended, or the life is another's, since the box answered.
                let forbidden = self.forbidden(&id, attempt.server).is_some();
                if kept && !ended && !forbidden {
                    return self.plays(&id, attempt, took, &report, out);
                }
                if !ended {
                    self.release((attempt.server, attempt.address), &id, attempt.wire_number, out);
                }
                self.answer(&id, Answer::Failed(id.clone(), FailReason::GivenUp), out);
                let outcome = if ended { Outcome::Broken } else { Outcome::Withdrawn };
                self.attempt_ended(attempt.server, &id, number, outcome, Vec::new(), out);
            }
            _ => {}
        }
    }

    /// What stands of a session has changed at its box.
    pub(super) fn promise_rung(&mut self, id: &SessionId) {
        let Some(keeping) = &self.keeping else { return };
        let Some(session) = self.sessions.get(id) else { return };
        let (Some(playing), Some(wish)) = (session.playing(), keeping.wish(&session.open_request)) else {
            return;
        };
        let promise = Promise::Plays(Place::of(&playing.attempt), playing.attempt.rung as u32, wish);
        self.promise(session_records::key(id), &promise, false);
    }

    // ---- Going on ----

    /// This front goes on with what another one promised.
    pub(super) fn adopt(
        &mut self,
        life: &Life,
        epoch: u64,
        promises: &[(Key, Bytes)],
        out: &mut Vec<Output>,
    ) {
        if self.ending {
            return;
        }
        let Some(keeping) = &mut self.keeping else { return };
        keeping.epochs.insert(Life::clone(life), epoch);
        keeping.adopted.insert(Life::clone(life), self.now);
        let mut boxes: BTreeMap<ServerId, SocketAddr> = self.boxes.clone();
        for (key, bytes) in promises {
            let id = session_records::session(key);
            let Some(promise) = session_records::decode(bytes) else {
                self.counts.faults += 1;
                out.push(Output::Log(Level::Warn, format!("a promise for {} cannot be read", id.0)));
                continue;
            };
            if let Promise::Intends(place, _) | Promise::Plays(place, ..) | Promise::Owes(place) = &promise {
                boxes.entry(ServerId(place.server)).or_insert(place.address);
            }
            self.take_on(id, promise, out);
        }
        for (server, address) in boxes {
            self.claim(life, (server, address), out);
        }
    }

    fn take_on(&mut self, id: SessionId, promise: Promise, out: &mut Vec<Output>) {
        let Some(keeping) = &mut self.keeping else { return };
        match promise {
            Promise::Plays(place, rung, wish) => match keeping.opening(&wish) {
                Some(opening) if !self.sessions.contains_key(&id) => {
                    keeping.unsure.insert(id.clone());
                    let listed = self.boxes.get(&ServerId(place.server)).copied();
                    let place = Place { address: listed.unwrap_or(place.address), ..place };
                    self.plays_on(id, place, rung as usize, opening, self.limits.takeover_retention);
                }
                Some(_) => {}
                None => {
                    // No class or title of that name here: its box is asked to end it.
                    let to = (ServerId(place.server), place.address);
                    self.forget(session_records::key(&id));
                    self.release(to, &id, place.attempt, out);
                }
            },
            // Danger: told twice, by copies of two lives, it is forgotten though it plays; found by placing a crash and a stop
            // at every step.
            Promise::Intends(..) if self.sessions.contains_key(&id) => {}
            // Never sent again by anyone: its box knows whether it ran.
            Promise::Intends(place, wish) => match keeping.opening(&wish) {
                Some(opening) => drop(keeping.fates.insert(id, (place, opening))),
                None => {
                    self.forget(session_records::key(&id));
                    self.release((ServerId(place.server), place.address), &id, place.attempt, out);
                }
            },
            Promise::Owes(place) => {
                let to = (ServerId(place.server), place.address);
                self.release(to, &id, place.attempt, out);
            }
            Promise::Moved(viewer, left) => {
                self.moved.insert(id.clone(), ViewerId(viewer));
                self.timers.set(self.now + left.min(self.limits.moved_retention), Deadline::MovedExpiry(id));
            }
        }
    }

    /// A session plays on at its box for whoever comes for it within this time.
    pub(super) fn plays_on(
        &mut self,
        id: SessionId,
        place: Place,
        rung: usize,
        opening: OpenRequest,
        within: Micros,
    ) {
        let (server, address) = (ServerId(place.server), place.address);
        self.counts.resumed += 1;
        let request = opening.to_request(&id, false);
        let effect = self.settings.classes.get(opening.class).map_or(Effect::Safe, |class| class.effect);
        let mut session = Session::new(None, opening, effect, rung, self.now);
        let (number, wire_number, now) = (0, place.attempt, self.now);
        session.resume_playing(Attempt {
            number,
            wire_number,
            server,
            address,
            sent_at: now,
            expires_at: now,
            rung,
        });
        let until = now + within;
        session.claim_by = Some(until);
        self.insert(id.clone(), session);
        self.timers.set(until, Deadline::ClaimTimeout(id.clone()));
        self.events.push_back(Event::Resumed(request, server));
        self.events.push_back(Event::Note { session: id, server, note: Note::Rung(rung) });
    }

    /// Asks a box for all that it holds of a life, and has it take nothing of earlier epochs any more.
    pub(super) fn claim(&mut self, life: &Life, to: (ServerId, SocketAddr), out: &mut Vec<Output>) {
        let Some(keeping) = &mut self.keeping else { return };
        let Some(epoch) = keeping.epochs.get(life).copied() else { return };
        keeping.claims.entry((Life::clone(life), to.0)).or_insert(0);
        self.ask(to, BoxRequest::Claim { incarnation: Life::clone(life), epoch }, out);
    }

    /// A box that has just come is asked of all lives that this front goes on with.
    pub(super) fn claim_all(&mut self, to: (ServerId, SocketAddr), out: &mut Vec<Output>) {
        let lives: Vec<Life> =
            self.keeping.as_ref().map(|keeping| keeping.epochs.keys().cloned().collect()).unwrap_or_default();
        lives.iter().for_each(|life| self.claim(life, to, out));
    }

    /// What became of asking a box.
    pub(super) fn claimed(
        &mut self,
        server: ServerId,
        life: &Life,
        epoch: u64,
        end: End,
        out: &mut Vec<Output>,
    ) {
        let Some(keeping) = &mut self.keeping else { return };
        if keeping.epochs.get(life) != Some(&epoch) {
            return;
        }
        let at = (Life::clone(life), server);
        match end {
            End::Exchange(ExchangeEnd::Claimed { held, .. }) => {
                keeping.claims.remove(&at);
                self.compare_life(server, life, held, out);
            }
            End::Exchange(ExchangeEnd::Answered { answer: BoxAnswer::Superseded, .. }) => {
                // A later heir was here: accord's word of it is on its way.
                keeping.claims.remove(&at);
                self.give_up(life, out);
            }
            _ => {
                let listed = self.boxes.contains_key(&server);
                let Some(tries) = keeping.claims.get_mut(&at) else { return };
                *tries += 1;
                if !listed && *tries >= CLAIMS {
                    // Gone with all that it played.
                    keeping.claims.remove(&at);
                    return self.compare_life(server, life, Vec::new(), out);
                }
                let pause = CLAIM_PAUSE << (*tries - 1).min(3);
                self.timers.set(self.now + pause, Deadline::RetryClaim(server, Life::clone(life)));
            }
        }
    }

    /// It is time to ask a box again.
    pub(super) fn claim_again(&mut self, server: ServerId, life: &Life, out: &mut Vec<Output>) {
        let known = self.boxes.get(&server).copied().or_else(|| self.streams.address(server));
        let promised =
            self.sessions.values().filter_map(Session::current_attempt).find(|at| at.server == server);
        let address = known.or_else(|| promised.map(|at| at.address));
        let waits =
            self.keeping.as_ref().is_some_and(|k| k.claims.contains_key(&(Life::clone(life), server)));
        match address {
            Some(address) if waits => self.claim(life, (server, address), out),
            Some(_) => {}
            None => self.compare_life(server, life, Vec::new(), out),
        }
    }

    /// Holds a box's word of a life against the copies.
    ///
    /// | the copies say | the box says | then |
    /// |---|---|---|
    /// | plays there | the same | it plays on; the box's rung is the one in force |
    /// | plays there | nothing, or another attempt | it is over, and the other attempt released |
    /// | may have been set up there | it plays | it plays on for its viewer |
    /// | may have been set up there | nothing | it is over, and can't begin any more: the box takes no earlier epoch |
    /// | nothing, or plays elsewhere | it plays | promised to nobody: it waits a while for its viewer, or is released |
    fn compare_life(&mut self, server: ServerId, life: &Life, held: Vec<HeldSession>, out: &mut Vec<Output>) {
        let named: BTreeMap<SessionId, u32> = held.iter().map(|h| (h.session.clone(), h.attempt)).collect();
        let missing = |id: &SessionId, s: &Session| {
            let there = s.playing().filter(|p| p.attempt.server == server);
            of_life(&id.0, life) && there.is_some_and(|p| named.get(id) != Some(&p.attempt.wire_number))
        };
        let lost: Vec<SessionId> =
            self.sessions.iter().filter(|(id, s)| missing(id, s)).map(|(id, _)| id.clone()).collect();
        for id in &lost {
            if let Some(keeping) = &mut self.keeping {
                keeping.unsure.remove(id);
            }
            self.ended_by_itself(id, EndReason::Lost, Outcome::Broken, out);
        }
        let address = self.boxes.get(&server).copied().or_else(|| self.streams.address(server));
        for one in held {
            match address {
                Some(to) if lost.contains(&one.session) => {
                    self.release_unknown((server, to), one.session, one.attempt, out);
                }
                _ => self.held_of(server, life, one, out),
            }
        }
        let Some(keeping) = &mut self.keeping else { return };
        let open: Vec<SessionId> = keeping
            .fates
            .iter()
            .filter(|(id, (place, _))| place.server == server.0 && of_life(&id.0, life))
            .map(|(id, _)| id.clone())
            .collect();
        for id in open {
            if let Some(keeping) = &mut self.keeping {
                keeping.fates.remove(&id);
            }
            self.forget(session_records::key(&id));
        }
    }

    pub(super) fn held_of(
        &mut self,
        server: ServerId,
        life: &Life,
        held: HeldSession,
        out: &mut Vec<Output>,
    ) {
        let Some(keeping) = &mut self.keeping else { return };
        let Some(address) = self.boxes.get(&server).copied().or_else(|| self.streams.address(server)) else {
            return;
        };
        let id = held.session.clone();
        if !of_life(&id.0, life) {
            return;
        }
        let place = Place { server: server.0, address, attempt: held.attempt };
        let same = |p: &Playing| p.attempt.server == server && p.attempt.wire_number == held.attempt;
        match self.sessions.get_mut(&id) {
            Some(session) if session.playing().is_some_and(same) => {
                keeping.unsure.remove(&id);
                let rung = held.rung;
                if let Stage::Playing(playing) = &mut session.stage {
                    if playing.attempt.rung != rung && playing.pending_rung.is_none() {
                        (playing.attempt.rung, session.target_rung) = (rung, rung);
                        self.events.push_back(Event::Note {
                            session: id.clone(),
                            server,
                            note: Note::Rung(rung),
                        });
                        self.promise_rung(&id);
                    }
                }
            }
            Some(_) => self.release_unknown((server, address), id, held.attempt, out),
            None => {
                let fate =
                    keeping.fates.get(&id).filter(|(at, _)| *at == place || at.attempt == held.attempt);
                let opening = fate.map(|(_, opening)| opening.clone()).or(held.open_request);
                keeping.fates.remove(&id);
                match opening.filter(|_| !self.ending) {
                    Some(opening) => {
                        self.plays_on(id.clone(), place, held.rung, opening, self.limits.takeover_retention);
                        self.promise_rung(&id);
                    }
                    None => self.release_unknown((server, address), id, held.attempt, out),
                }
            }
        }
    }

    /// This front's own life is another's: what it held is there. It lives anew.
    pub(super) fn replaced(&mut self, life: &Life, out: &mut Vec<Output>) {
        if self.keeping.as_ref().is_none_or(|keeping| keeping.own != *life) {
            return;
        }
        let lives: Vec<Life> = self
            .keeping
            .iter()
            .flat_map(|keeping| keeping.epochs.keys().cloned())
            .chain([life.clone()])
            .collect();
        lives.iter().for_each(|life| self.give_up(life, out));
        self.boot = self.boot.wrapping_add(1);
        let own = self.incarnation();
        if let Some(keeping) = &mut self.keeping {
            keeping.own = Life::clone(&own);
        }
        self.notes.push(Output::IncarnationChanged(own));
    }

    /// All sessions of a life are another's: nothing is said to their boxes.
    pub(super) fn give_up(&mut self, life: &Life, out: &mut Vec<Output>) {
        let theirs: Vec<SessionId> =
            self.sessions.keys().filter(|id| of_life(&id.0, life)).cloned().collect();
        for id in theirs {
            let Some(session) = self.sessions.get(&id) else { continue };
            let (client, at, owed) =
                (session.client, session.current_attempt().cloned(), session.answer_pending());
            if let Some(keeping) = &mut self.keeping {
                keeping.waits.remove(&id);
                keeping.unsure.remove(&id);
            }
            if let Some(attempt) = &at {
                self.timers.cancel(attempt.expires_at, Deadline::AttemptTimeout(id.clone(), attempt.number));
                self.pool.withdraw(&id, attempt.number, out);
            }
            if owed {
                self.answer(&id, Answer::Failed(id.clone(), FailReason::GivenUp), out);
            } else if let Some((client, _)) = client {
                out.push(Output::Notify(client, Notification::Ended(id.clone(), EndReason::TakenOver)));
            }
            self.drop_session(&id);
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
        self.releases.retain(|(_, id, _), _| !of_life(&id.0, life));
        self.moved.retain(|id, _| !of_life(&id.0, life));
        if let Some(keeping) = &mut self.keeping {
            keeping.epochs.remove(life);
            keeping.adopted.remove(life);
            keeping.fates.retain(|id, _| !of_life(&id.0, life));
            keeping.claims.retain(|(of, _), _| of != life);
        }
        // Whoever goes on has these promises: to end them here would end them there.
        self.notes.retain(|note| !matches!(note, Output::DeleteRecord(key) if of_life(key, life)));
    }

    /// Has this front a lease? Without one for long, its players are to look for whoever has.
    pub(super) fn look_at_lease(&mut self, out: &mut Vec<Output>) {
        let leased = self.leased();
        let Some(keeping) = &mut self.keeping else { return };
        self.timers.set(self.now + LOOK, Deadline::CheckLease);
        if leased {
            keeping.leased = self.now;
            return;
        }
        if keeping.leased + UNLEASED > self.now {
            return;
        }
        let clients: Vec<ClientId> = self.by_client.keys().copied().collect();
        for client in clients {
            let own = self.by_client.get(&client).cloned().unwrap_or_default();
            let playing = |id: &SessionId| self.sessions.get(id).is_some_and(|s| s.playing().is_some());
            for id in own.into_iter().filter(playing) {
                out.push(Output::Notify(client, Notification::Ended(id, EndReason::TakenOver)));
            }
            self.keep_unsure(client);
        }
    }

    /// Who may be asked for a session that is not here.
    pub(super) fn elsewhere(&self, id: &SessionId) -> Reply {
        let (Some(keeping), Some(terms), Some(life)) = (&self.keeping, &self.terms, life_of(&id.0)) else {
            return Reply::Unknown;
        };
        let heirs = terms.successors();
        let wait = Reply::RetryAfter(ASK_AGAIN);
        if let Some(heir) = heirs.last(life) {
            let here = heir.name.as_ref() == self.name.as_str();
            // Danger: a copy that was stopped comes a moment after the others, and its session was said to be unknown; found by
            // the trial.
            let whole = keeping.adopted.get(life).is_some_and(|at| at + SETTLES <= self.now);
            return match (here, whole) {
                (false, _) => Reply::AtOtherFront(Name::clone(&heir.name), heir.serves),
                // It was here, and is over; without a lease it may be at the next heir's.
                (true, true) if terms.epoch(&keeping.own, life).is_some() => Reply::Unknown,
                (true, _) => wait,
            };
        }
        if !self.leased() {
            // Danger: a front that was stopped answers for what is another's; found by the trial. It cannot know.
            return wait;
        }
        if heirs.over.contains_key(life) || *life == *keeping.own {
            return Reply::Unknown;
        }
        let Some((name, _)) = life.rsplit_once('-') else { return Reply::Unknown };
        if !keeping.others.get(self.name.as_str()).is_some_and(|own| own.in_view) {
            // Danger: a front that has just started knows no other, and says that there is no such session; found by the
            // trial.
            return wait;
        }
        if name == self.name {
            // An earlier life of this very front, which somebody is about to take over.
            return wait;
        }
        match keeping.others.get(name) {
            Some(PeerFront { in_view: true, client_address }) => {
                Reply::AtOtherFront(Name::from(name), *client_address)
            }
            Some(_) => wait,
            // Two views that come together after a split know each other's fronts only after a moment.
            None if keeping.moved_at + SETTLES > self.now => wait,
            None => Reply::Unknown,
        }
    }

    /// A box names a session of an earlier life of this front. Whoever takes that over sees to it; where nobody does though
    /// the fronts agree, nobody has a promise of it, and this front takes it over itself: boxes are asked, and what they
    /// hold waits for its viewers. Danger: it plays for nobody for ever, found by placing a crash at every step.
    pub(super) fn stray(&mut self, server: ServerId, id: SessionId, wire: u32, out: &mut Vec<Output>) {
        let (Some(keeping), Some(terms), Some(life)) = (&self.keeping, &self.terms, life_of(&id.0)) else {
            return;
        };
        let heirs = terms.successors();
        if heirs.of.contains_key(life) || keeping.epochs.contains_key(life) {
            return;
        }
        if heirs.over.contains_key(life) {
            if let Some(address) = self.streams.address(server) {
                self.release_unknown((server, address), id, wire, out);
            }
            return;
        }
        if self.leased() {
            self.notes.push(Output::OrphanFound(Life::from(life)));
        }
        let until = self.now + self.limits.claim_timeout;
        self.timers.set(until, Deadline::OrphanSession(server, id, wire));
    }
}
