//! What clients say, and the one answer that each request gets.

use salttally_front::core::{Opening, Ticket};

use super::*;
use crate::wire::words::{self, Figures, Unusable};

/// Requests of the platform have no number but their id.
const TICKET: Ticket = Ticket(0);

impl<D: Decider> Core<D> {
    pub(super) fn client_connected(&mut self, client: ClientId, out: &mut Vec<Command>) {
        for other in self.admission.connected(self.now, client, &mut self.timers) {
            self.close_client(other, out);
        }
    }

    pub(super) fn client_message(&mut self, client: ClientId, message: Message, out: &mut Vec<Command>) {
        self.admission.message_received(self.now, client, &mut self.timers);
        for (until, told) in std::mem::take(&mut self.undelivered) {
            if self.now < until {
                self.tell_client_until(until, Some(client), told, out);
            }
        }
        match message.kind {
            kind::SET_UP => self.request(client, &message, out),
            kind::RELEASE => self.client_release(client, &message, out),
            kind::TEST => {
                let passed = u8::from(self.ready());
                let answer = Message::new(kind::TEST_RESULT, message.session).with(code::CAUSE, [passed]);
                out.push(Command::SendToClient(client, answer));
            }
            kind::RELEASE_ACK => self.end_heard(client, message.session),
            kind::PROGRESS => {}
            _ => self.close_client(client, out),
        }
    }

    /// Closes a client's connection; what was owed on it is given up.
    pub(super) fn close_client(&mut self, client: ClientId, out: &mut Vec<Command>) {
        for id in self.admission.open(client) {
            // It was taken: it has its answer before the connection goes.
            self.client_gone(id);
            self.fail(id, out);
        }
        out.push(Command::CloseClient(client));
        self.client_closed(client, out);
    }

    /// A client's connection is gone: what was owed on it reaches nobody; what stands belongs to no connection.
    pub(super) fn client_closed(&mut self, client: ClientId, out: &mut Vec<Command>) {
        for id in self.admission.closed(client, &mut self.timers) {
            let Some(entry) = self.sessions.get_mut(&id) else { continue };
            if entry.session.owed() {
                self.give_up(id, out);
            } else {
                entry.session.client = None;
            }
        }
        self.tell_unheard(client, out);
    }

    fn request(&mut self, client: ClientId, message: &Message, out: &mut Vec<Command>) {
        let id = message.session;
        match self.opening(message) {
            Err(why) => {
                self.counts.unusable += 1;
                out.push(Command::Log(Level::Debug, format!("request {id:016x}: {why}")));
                match self.sessions.contains_key(&id) {
                    true => self.close_client(client, out),
                    false => out.push(Command::SendToClient(client, Message::release(id, cause::INVALID))),
                }
            }
            Ok((opening, Some(at))) => self.resume(client, id, opening, ServerId(at), out),
            // Danger: an answer under this id would be taken for that of the request which has it already.
            Ok(_) if self.sessions.contains_key(&id) => {
                self.counts.unusable += 1;
                self.close_client(client, out);
            }
            // The process ends, and nothing is sent on any more: whoever asks may ask elsewhere at once.
            Ok((_, None)) if self.refuses_requests() => {
                self.counts.refused += 1;
                out.push(Command::SendToClient(client, Message::release(id, cause::NOT_SENT)));
            }
            Ok((opening, None)) => {
                let moved = self.moved.remove(&opening.viewer);
                if let Some(until) = moved {
                    self.timers.unset(until, Timer::MovedKept(opening.viewer));
                }
                self.counts.taken += 1;
                let request = opening.request(&name(id), moved.is_some());
                let session = self.session(client, opening);
                self.timers.set(session.overdue_at(self.facts.answer_slack), Timer::AnswerDeadline(id));
                let keep = [code::CLASS, code::TITLE, code::DESCRIPTION];
                let passed =
                    message.parameters.iter().filter(|(code, _)| keep.contains(code)).cloned().collect();
                self.sessions.insert(id, Entry { passed, ..Entry::new(session, 0) });
                self.admission.request_opened(client, id, &mut self.timers);
                self.events.push_back(Event::Request(request));
            }
        }
    }

    fn session(&self, client: ClientId, opening: Opening) -> Session {
        let class = self.facts.settings.classes.get(opening.class);
        let (effect, floor) = class.map_or((Effect::Safe, 0), |class| (class.effect, class.floor));
        Session::new(Some((client, TICKET)), opening, effect, floor, self.now)
    }

    fn opening(&self, message: &Message) -> Result<(Opening, Option<u32>), Unusable> {
        let text = |code| message.text(code).ok_or(Unusable::Missing(code));
        if message.session == 0 {
            return Err(Unusable::Figure("id"));
        }
        let names = &self.facts.class_names;
        let class = text(code::CLASS)?;
        let class = names.iter().position(|n| n == class).ok_or(Unusable::Value(code::CLASS))?;
        let figures = Figures::read(text(code::REQUEST_FIELDS)?)?;
        let set = &self.facts.settings;
        let in_ring = figures.home < set.cells.max(1) && (1..=set.cells.max(1)).contains(&figures.copies);
        if !in_ring || figures.top >= set.ladder.len() {
            return Err(Unusable::Value(code::REQUEST_FIELDS));
        }
        let patience = words::time(message, code::WAIT_MS)?;
        let patience = match (patience, figures.at) {
            (Some(0), None) => return Err(Unusable::Value(code::WAIT_MS)),
            (Some(patience), _) => patience,
            (None, Some(_)) => 0,
            (None, None) => return Err(Unusable::Missing(code::WAIT_MS)),
        };
        if figures.at.is_none() && message.get(code::DESCRIPTION).is_none_or(<[u8]>::is_empty) {
            return Err(Unusable::Missing(code::DESCRIPTION));
        }
        let opening = Opening {
            viewer: ViewerId(figures.viewer),
            firm: None,
            title: TitleId(words::hex16(text(code::TITLE)?).ok_or(Unusable::Value(code::TITLE))?),
            class,
            first_cell: figures.home,
            cell_count: figures.copies,
            top_rung: figures.top,
            patience,
            length: words::time(message, code::LENGTH_HINT_MS)?,
            returned: figures.again,
            moved_from: None,
        };
        Ok((opening, figures.at))
    }

    /// A session that plays already, told at a start; it wants no answer and may be known.
    fn resume(&mut self, client: ClientId, id: u64, opening: Opening, at: ServerId, out: &mut Vec<Command>) {
        if self.sessions.contains_key(&id) {
            return;
        }
        if let Some((_, end)) = self.early_ends.remove(&id).filter(|(server, _)| *server == at) {
            if let Some(cause) = super::servers::end_of(end.cause()).1 {
                out.push(Command::SendToClient(client, Message::release(id, cause)));
            }
            return;
        }
        self.counts.resumed += 1;
        let request = opening.request(&name(id), false);
        let mut session = self.session(client, opening);
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let address = self.servers.get(&at).copied().unwrap_or(unknown);
        let (sent, expires) = (self.now, self.now);
        // Its rung is not known until its media server tells: whichever the module wants is told the media server.
        let rung = usize::MAX;
        let attempt = Attempt { number: 0, wire: 0, server: at, address, sent, expires, rung };
        session.plays_already(attempt);
        self.sessions.insert(id, Entry::new(session, self.now));
        self.admission.request_opened(client, id, &mut self.timers);
        self.admission.session_started(client, id);
        self.events.push_back(Event::Resumed(request, at));
        self.watch_health(at);
        let gone = !self.pool.is_up(at);
        self.check_health(at, gone, out);
    }

    /// A client takes a request back, or ends what stands.
    fn client_release(&mut self, client: ClientId, message: &Message, out: &mut Vec<Command>) {
        let id = message.session;
        out.push(Command::SendToClient(client, Message::new(kind::RELEASE_ACK, id)));
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        if entry.session.owed() {
            self.give_up(id, out);
        } else if entry.session.playing().is_some() {
            let cause = message.cause().unwrap_or(cause::ON_PURPOSE);
            self.release_at_server(id, cause, out);
            self.end_session(id, Outcome::Withdrawn, Vec::new(), None, out);
        }
    }

    /// No answer is owed any more, and what is out for it is taken back.
    fn give_up(&mut self, id: u64, out: &mut Vec<Command>) {
        self.client_gone(id);
        self.settled(id, out);
    }

    /// The answer is given, or no longer owed: the session is over, with the attempt that is out.
    fn settled(&mut self, id: u64, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        if entry.session.settled() {
            self.drop_session(id);
        } else {
            let outcome = self.withdraw(id, false, out);
            self.attempt_ended(id, outcome, Vec::new());
        }
    }

    pub(super) fn overdue(&mut self, id: u64, out: &mut Vec<Command>) {
        if self.sessions.get(&id).is_some_and(|entry| entry.session.owed()) {
            self.counts.overdue += 1;
            self.client_gone(id);
            self.fail(id, out);
        }
    }

    // ---- Answers ----

    /// Gives the one answer, if it is still owed; returns whether it was.
    fn answer(&mut self, id: u64, answer: Message, out: &mut Vec<Command>) -> bool {
        let Some(entry) = self.sessions.get(&id).filter(|entry| entry.session.owed()) else {
            self.stopped("a second answer", id, out);
            return false;
        };
        if let Some((client, _)) = entry.session.client {
            out.push(Command::SendToClient(client, answer));
        }
        self.settled(id, out);
        true
    }

    pub(super) fn refuse(&mut self, id: u64, hold_off: Micros, out: &mut Vec<Command>) {
        if self.sessions.get(&id).is_some_and(|entry| entry.session.not_to_refuse()) {
            self.stopped("a refusal of what may have run", id, out);
            return self.fail(id, out);
        }
        self.log_answer(id, "refused", out);
        let mut answer = Message::release(id, cause::FULL);
        if hold_off > 0 {
            answer = answer.with(code::HOLD_OFF_MS, hold_off.div_ceil(1000).to_string());
        }
        self.counts.refused += u64::from(self.answer(id, answer, out));
    }

    /// A line for a request that is not served: since when, by how many attempts, and how long its client would wait yet.
    fn log_answer(&self, id: u64, answer: &str, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get(&id) else { return };
        let session = &entry.session;
        let after = (self.now - session.taken) / 1000;
        let left = session.deadline.saturating_sub(self.now) / 1000;
        let attempts = session.attempts;
        let text = format!(
            "request {id:016x}: {answer} after {after} ms, {attempts} attempts, {left} ms before its time"
        );
        out.push(Command::Log(Level::Info, text));
    }

    pub(super) fn fail(&mut self, id: u64, out: &mut Vec<Command>) {
        self.log_answer(id, "failed", out);
        self.counts.failed += u64::from(self.answer(id, Message::release(id, FAILED), out));
    }

    // ---- Ends of what stands ----

    /// What stood is over; its client is released with this cause, if that is owed.
    pub(super) fn end_session(
        &mut self,
        id: u64,
        outcome: Outcome,
        report: Vec<f64>,
        cause: Option<u8>,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.sessions.get(&id) else { return };
        let Some(playing) = entry.session.playing() else { return };
        let (server, attempt) = (playing.attempt.server, playing.attempt.number);
        let client = entry.session.client.map(|(client, _)| client);
        if let Some(cause) = cause {
            self.tell_client(client, Message::release(id, cause), out);
        }
        self.drop_session(id);
        self.health.session_ended(server);
        let (session, last) = (name(id), true);
        self.events.push_back(Event::Ended { session, attempt, server, outcome, last, report });
    }

    /// The process ends: what is owed fails, and clients of what stands are released.
    pub(super) fn end_for_shutdown(&mut self, id: u64, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get(&id) else { return };
        if entry.session.owed() {
            self.fail(id, out);
        } else if entry.session.playing().is_some() {
            let told = Some(cause::BROKEN).filter(|_| !entry.moving);
            self.release_at_server(id, cause::BROKEN, out);
            self.end_session(id, Outcome::Withdrawn, Vec::new(), told, out);
        }
    }

    pub(super) fn client_idle(&mut self, client: ClientId, out: &mut Vec<Command>) {
        if self.admission.is_idle(self.now, client, &mut self.timers) {
            self.close_client(client, out);
        }
    }
}
