//! Messages from clients, and the single answer to each request.

use salttally_front::core::{OpenRequest, Ticket};

use super::client_closes::CloseReason;
use super::resends::RequestDigest;
use super::*;
use crate::wire::values::{self, InvalidRequest, RequestFields};

/// Requests of the platform have no number besides their session id.
pub(super) const PLATFORM_TICKET: Ticket = Ticket(0);

impl<D: Decider> Core<D> {
    pub(super) fn client_connected(&mut self, client: ClientId, out: &mut Vec<Command>) {
        for other in self.admission.add(self.now, client, &mut self.timers) {
            self.close_client(other, CloseReason::TooManyConnections, out);
        }
    }

    /// Clients wait for a place, and none is left: closes the connections of least use.
    pub(super) fn make_room_for_clients(&mut self, out: &mut Vec<Command>) {
        let closing = self.admission.make_room(self.now);
        let text = format!("no place left for clients, closes {} of {}", closing.len(), self.admission.len());
        out.push(Command::Log(Level::Debug, text));
        closing.into_iter().for_each(|client| self.close_client(client, CloseReason::NoPlaceLeft, out));
    }

    pub(super) fn client_message(&mut self, client: ClientId, message: Message, out: &mut Vec<Command>) {
        self.admission.message_received(self.now, client, &mut self.timers);
        if message.kind != kind::SET_UP {
            self.send_waiting_notices(client, out);
        }
        match message.kind {
            kind::SET_UP => {
                self.handle_request(client, &message, out);
                // The end of a session would be taken for the answer to a second copy of its request.
                if self.admission.contains(client) {
                    self.send_waiting_notices(client, out);
                }
            }
            kind::RELEASE => self.client_release(client, &message, out),
            kind::TEST => {
                let test_passed = u8::from(self.is_ready());
                let answer =
                    Message::new(kind::TEST_RESULT, message.session).with(code::CAUSE, [test_passed]);
                out.push(Command::SendToClient(client, answer));
            }
            kind::RELEASE_ACK => {
                self.admission.release_acknowledged(client);
                self.settle_notice(message.session, NoticeProof::Acknowledged, out);
            }
            kind::PROGRESS => {}
            _ => return self.close_client(client, CloseReason::UnknownMessage, out),
        }
        self.close_client_of_shutdown(client, out);
    }

    /// A client's connection is gone: open requests on it are given up, unless a second copy may come; playing
    /// sessions go on without a connection.
    pub(super) fn client_closed(&mut self, client: ClientId, out: &mut Vec<Command>) {
        for id in self.admission.remove(client, &mut self.timers) {
            let Some(entry) = self.sessions.get_mut(&id) else { continue };
            if entry.session.answer_pending() {
                self.client_of_request_gone(id, out);
            } else {
                entry.session.client = None;
            }
        }
        self.resend_notices_of(client, out);
    }

    fn handle_request(&mut self, client: ClientId, message: &Message, out: &mut Vec<Command>) {
        let id = message.session;
        self.admission.set_up_received(self.now, client);
        match self.parse_open_request(message) {
            Err(why) => {
                self.counts.unusable += 1;
                out.push(Command::Log(Level::Debug, format!("request {id:016x}: {why}")));
                match self.sessions.contains_key(&id) {
                    true => self.close_client(client, CloseReason::InvalidUnderKnownId(id), out),
                    false => out.push(Command::SendToClient(client, Message::release(id, cause::INVALID))),
                }
            }
            // The process exits, and can tell nobody of an end any more.
            Ok((_, Some(_))) if self.finished => {}
            Ok((open_request, Some(at))) => self.resume_session(client, id, open_request, ServerId(at), out),
            Ok(_) if self.sessions.contains_key(&id) => {
                self.handle_request_under_known_id(client, message, out);
            }
            Ok(_) if self.handle_request_under_past_id(client, message, out) => {}
            // The process is shutting down, or the client's connection is closed here behind an earlier message. Nothing
            // is forwarded any more; the client may ask again at once.
            Ok((_, None)) if self.refuses_requests() || !self.admission.contains(client) => {
                self.counts.refused += 1;
                out.push(Command::SendToClient(client, Message::release(id, cause::NOT_SENT)));
            }
            Ok((_, None)) if self.admission.exceeds_share(client) => {
                self.counts.refused += 1;
                let refusal = refusal(id, self.platform_settings.settings.max_hold_off);
                out.push(Command::SendToClient(client, refusal));
            }
            Ok((open_request, None)) => self.accept_request(client, message, open_request, out),
        }
    }

    fn accept_request(
        &mut self,
        client: ClientId,
        message: &Message,
        open_request: OpenRequest,
        out: &mut Vec<Command>,
    ) {
        let id = message.session;
        let has_moved = self.moved_client_returned(&open_request, out);
        self.counts.taken += 1;
        let earlier_attempts = self.past_requests.attempts(id);
        let request = Request { earlier_attempts, ..open_request.to_request(&session_id(id), has_moved) };
        let session = self.new_session(client, open_request);
        if session.effect == Effect::Once && self.past_requests.is_full_for(client) {
            self.counts.refused += 1;
            return out.push(Command::SendToClient(client, Message::release(id, cause::FULL)));
        }
        self.timers.set(session.overdue_at(self.platform_settings.answer_slack), Timer::AnswerDeadline(id));
        let forwarded_codes = [code::CLASS, code::TITLE, code::DESCRIPTION];
        let forwarded_parameters =
            message.parameters.iter().filter(|(code, _)| forwarded_codes.contains(code)).cloned().collect();
        let entry = SessionEntry {
            forwarded_parameters,
            digest: RequestDigest::of(message),
            resend_until: self.now + self.resend_window,
            retained_until: self.retained_until(session.open_request.patience),
            ..SessionEntry::new(session, 0)
        };
        self.sessions.insert(id, entry);
        self.admission.request_opened(client, id, &mut self.timers);
        self.events.push_back(Event::Request(request));
        self.inherit_past_request(id);
    }

    /// A request has arrived; returns whether it is from a moved client. One that says that its client comes again proves
    /// that the client has heard its move, if it was sent one alone; any other may be for another session.
    fn moved_client_returned(&mut self, open_request: &OpenRequest, out: &mut Vec<Command>) -> bool {
        let viewer = open_request.viewer;
        let has_moved = self.forget_moved_client(viewer);
        if has_moved && open_request.returned {
            let is_moving =
                |entry: &SessionEntry| entry.moving && entry.session.open_request.viewer == viewer;
            let mut moving = self.sessions.iter().filter(|(_, entry)| is_moving(entry));
            if let (Some((id, _)), None) = (moving.next(), moving.next()) {
                let id = *id;
                if let Some(entry) = self.sessions.get_mut(&id) {
                    entry.has_followed_move = true;
                }
                self.settle_notice(id, NoticeProof::FollowedMove, out);
            }
        }
        has_moved
    }

    /// A moved client has come back, or is not expected any more; returns whether it was.
    pub(super) fn forget_moved_client(&mut self, viewer: ViewerId) -> bool {
        let expected_until = self.moved_clients.remove(&viewer);
        if let Some(expected_until) = expected_until {
            self.timers.cancel(expected_until, Timer::MovedClientExpiry(viewer));
        }
        expected_until.is_some()
    }

    fn new_session(&self, client: ClientId, open_request: OpenRequest) -> Session {
        let class = self.platform_settings.settings.classes.get(open_request.class);
        let (effect, floor) = class.map_or((Effect::Safe, 0), |class| (class.effect, class.floor));
        Session::new(Some((client, PLATFORM_TICKET)), open_request, effect, floor, self.now)
    }

    fn parse_open_request(&self, message: &Message) -> Result<(OpenRequest, Option<u32>), InvalidRequest> {
        let text = |code| message.text(code).ok_or(InvalidRequest::Missing(code));
        if message.session == 0 {
            return Err(InvalidRequest::Field("id"));
        }
        let names = &self.platform_settings.class_names;
        let class = text(code::CLASS)?;
        let class = names.iter().position(|n| n == class).ok_or(InvalidRequest::Value(code::CLASS))?;
        let fields = RequestFields::parse(text(code::REQUEST_FIELDS)?)?;
        let settings = &self.platform_settings.settings;
        let cells_in_range = fields.first_cell < settings.cells.max(1)
            && (1..=settings.cells.max(1)).contains(&fields.cell_count);
        if !cells_in_range || fields.top_rung >= settings.ladder.len() {
            return Err(InvalidRequest::Value(code::REQUEST_FIELDS));
        }
        let patience = values::parse_time(message, code::WAIT_MS)?;
        let patience = match (patience, fields.playing_at) {
            (Some(0), None) => return Err(InvalidRequest::Value(code::WAIT_MS)),
            (Some(patience), _) => patience,
            (None, Some(_)) => 0,
            (None, None) => return Err(InvalidRequest::Missing(code::WAIT_MS)),
        };
        if fields.playing_at.is_none() && message.get(code::DESCRIPTION).is_none_or(<[u8]>::is_empty) {
            return Err(InvalidRequest::Missing(code::DESCRIPTION));
        }
        let open_request = OpenRequest {
            viewer: ViewerId(fields.viewer),
            tenant: None,
            title: TitleId(
                values::parse_hex16(text(code::TITLE)?).ok_or(InvalidRequest::Value(code::TITLE))?,
            ),
            class,
            first_cell: fields.first_cell,
            cell_count: fields.cell_count,
            top_rung: fields.top_rung,
            patience,
            length_hint: values::parse_time(message, code::LENGTH_HINT_MS)?,
            returned: fields.returned,
            moved_from: None,
        };
        Ok((open_request, fields.playing_at))
    }

    /// Takes over a session that plays already, handed over by its client after a start of the node. It gets
    /// no answer, and may be known already.
    fn resume_session(
        &mut self,
        client: ClientId,
        id: u64,
        open_request: OpenRequest,
        at: ServerId,
        out: &mut Vec<Command>,
    ) {
        if self.sessions.contains_key(&id) {
            return;
        }
        if self.tell_end_at_hand_over(client, id, out) {
            return;
        }
        let early_end = self.early_ends.remove(&id).filter(|(server, _)| *server == at);
        if early_end.is_none() && !self.takes_hand_over(client, id, at, out) {
            return;
        }
        let request = open_request.to_request(&session_id(id), false);
        let mut session = self.new_session(client, open_request);
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let address = self.servers.address(at).unwrap_or(unknown);
        let (sent_at, expires_at) = (self.now, self.now);
        // The rung is unknown until the media server reports it. Until then, any rung that the decider
        // chooses is sent to the media server.
        let rung = usize::MAX;
        let attempt = Attempt { number: 0, wire_number: 0, server: at, address, sent_at, expires_at, rung };
        session.resume_playing(attempt);
        let entry = SessionEntry {
            resend_until: self.now + self.resend_window,
            retained_until: self.now + self.resend_window,
            answer_sent: true,
            was_handed_over: true,
            ..SessionEntry::new(session, self.now)
        };
        if let Some((_, end)) = early_end {
            if let Some(cause) = super::servers::interpret_end_cause(end.cause()).1 {
                self.notify_client(Some(client), Message::release(id, cause), self.now, out);
                self.remember_request(id, &entry);
            }
            return;
        }
        self.counts.resumed += 1;
        self.sessions.insert(id, entry);
        self.admission.request_opened(client, id, &mut self.timers);
        self.admission.session_started(client, id);
        self.detach_closed_client(id);
        self.events.push_back(Event::Resumed(request, at));
        self.watch_health(at);
        self.expect_note(at);
        let disconnected = !self.pool.is_up(at);
        self.check_health(at, disconnected, out);
        if !disconnected {
            // An end may have been lost before this node knew of the session.
            self.ends_may_be_lost(at, Loss::Connection, out);
        }
    }

    /// A client gives up a request, or ends a playing session.
    fn client_release(&mut self, client: ClientId, message: &Message, out: &mut Vec<Command>) {
        let id = message.session;
        out.push(Command::SendToClient(client, Message::new(kind::RELEASE_ACK, id)));
        self.settle_notice(id, NoticeProof::EndedByClient, out);
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        if entry.session.answer_pending() {
            self.give_up(id, out);
        } else if entry.session.playing().is_some() {
            let cause = message.cause().unwrap_or(cause::ON_PURPOSE);
            self.release_and_end(id, cause, None, out);
        }
    }

    /// A session belongs to no connection that is closed already: its client is told of the end on another one.
    pub(super) fn detach_closed_client(&mut self, id: u64) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        entry.session.client = entry.session.client.filter(|(client, _)| self.admission.contains(*client));
    }

    /// Gives up a request: no answer is sent, and the current attempt is withdrawn.
    pub(super) fn give_up(&mut self, id: u64, out: &mut Vec<Command>) {
        self.report_client_gone(id);
        self.finish_request(id, out);
    }

    /// The request has been answered, or needs no answer any more: the session is over, and the current
    /// attempt is withdrawn.
    fn finish_request(&mut self, id: u64, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id) else { return };
        if entry.session.settle_answer() {
            self.drop_session(id);
        } else {
            let outcome = self.withdraw_attempt(id, false, out);
            self.attempt_ended(id, outcome, Vec::new());
        }
    }

    pub(super) fn answer_overdue(&mut self, id: u64, out: &mut Vec<Command>) {
        if self.sessions.get(&id).is_some_and(|entry| entry.session.answer_pending()) {
            self.counts.overdue += 1;
            self.report_client_gone(id);
            self.fail(id, out);
        }
    }

    // ---- Answers ----

    /// Sends the single answer, if it has not been sent; returns whether it was sent now.
    fn send_answer(&mut self, id: u64, answer: Message, out: &mut Vec<Command>) -> bool {
        let Some(entry) = self.sessions.get(&id).filter(|entry| entry.session.answer_pending()) else {
            self.reject_action("a second answer", id, out);
            return false;
        };
        if let Some((client, _)) = entry.session.client {
            out.push(Command::SendToClient(client, answer));
        }
        self.finish_request(id, out);
        true
    }

    pub(super) fn refuse(&mut self, id: u64, hold_off: Micros, out: &mut Vec<Command>) {
        if self.sessions.get(&id).is_some_and(|entry| entry.session.must_not_refuse()) {
            self.reject_action("a refusal of a session that may have run", id, out);
            return self.fail(id, out);
        }
        self.log_answer(id, "refused", out);
        self.counts.refused += u64::from(self.send_answer(id, refusal(id, hold_off), out));
    }

    /// Logs a request that is not served: after what time, after how many attempts, and how much of the
    /// client's patience was left.
    fn log_answer(&self, id: u64, answer: &str, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get(&id) else { return };
        let session = &entry.session;
        let after = (self.now - session.accepted_at) / 1000;
        let left = session.deadline.saturating_sub(self.now) / 1000;
        let attempts = session.attempts;
        let text = format!(
            "request {id:016x}: {answer} after {after} ms, {attempts} attempts, {left} ms before the deadline"
        );
        out.push(Command::Log(Level::Info, text));
    }

    pub(super) fn fail(&mut self, id: u64, out: &mut Vec<Command>) {
        self.log_answer(id, "failed", out);
        self.counts.failed += u64::from(self.send_answer(id, Message::release(id, FAILED_CAUSE), out));
    }

    // ---- Ends of playing sessions ----

    /// Ends a playing session; its client is sent a release with this cause. Without a cause the client knows of the end,
    /// since it has ended the session itself, or followed a move; that it was sent a move proves nothing.
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
        let over_since = entry.over_since.unwrap_or(self.now);
        let owes_end = entry.answer_sent && !entry.has_followed_move;
        let is_unproven = self.hand_overs.is_unproven(id);
        self.drop_session(id);
        match cause.filter(|_| owes_end) {
            Some(cause) if is_unproven => {
                self.notify_client_of_unproven(client, Message::release(id, cause), over_since, out);
            }
            Some(cause) => self.notify_client(client, Message::release(id, cause), over_since, out),
            None => self.settle_notice(id, NoticeProof::EndedByClient, out),
        }
        self.session_left(server);
        let (session, last) = (session_id(id), true);
        self.events.push_back(Event::Ended { session, attempt, server, outcome, last, report });
    }

    /// Releases a playing session at its server and ends it; its client is sent a release with `client_cause`, see
    /// [`Core::end_session`].
    pub(super) fn release_and_end(
        &mut self,
        id: u64,
        server_cause: u8,
        client_cause: Option<u8>,
        out: &mut Vec<Command>,
    ) {
        self.release_at_server(id, server_cause, out);
        self.end_session(id, Outcome::Withdrawn, Vec::new(), client_cause, out);
    }

    /// A session does not play at this server any more.
    pub(super) fn session_left(&mut self, server: ServerId) {
        self.health.session_ended(server);
        if !self.health.holds_sessions(server) {
            self.owed_ends.remove(server);
            self.pool.set_holds_sessions(server, false);
        }
    }

    /// Ends a session at shutdown: an open request fails, and a playing session is released at its client and
    /// its media server.
    pub(super) fn end_for_shutdown(&mut self, id: u64, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get(&id) else { return };
        if entry.session.answer_pending() {
            self.fail(id, out);
        } else if entry.session.playing().is_some() {
            self.release_and_end(id, cause::BROKEN, Some(cause::BROKEN), out);
        }
    }

    pub(super) fn client_idle(&mut self, client: ClientId, out: &mut Vec<Command>) {
        if self.admission.is_idle(self.now, client, &mut self.timers) {
            self.close_client(client, CloseReason::Idle, out);
        }
    }
}

/// The answer that refuses a request and tells its client for how long to stay away.
fn refusal(id: u64, hold_off: Micros) -> Message {
    let refusal = Message::release(id, cause::FULL);
    match hold_off {
        0 => refusal,
        _ => refusal.with(code::HOLD_OFF_MS, hold_off.div_ceil(1000).to_string()),
    }
}
