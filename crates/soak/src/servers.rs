//! Media servers: their replies to set-ups, their sessions and their faults.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpStream};

use socket2::{Domain, Socket, Type};

use crate::clients::Request;
use crate::plan::ServerBehavior;
use crate::record::{AttemptEnd, Event, Micros};
use crate::replacements::server_number;
use crate::rig::{Action, Endpoint, Rig, Role};
use crate::wire::{cause, code, kind, ListState, Message};

const MS: Micros = 1_000;
const BACKLOG: i32 = 512;
/// Time within which a resumed server has read what arrived while it did not read.
const CATCH_UP_TIME: Micros = 100 * MS;
/// Time within which a front node that tries to reach a server succeeds once the server accepts again.
const REACH_TIME: Micros = 300 * MS;
const NOTE_INTERVAL: Micros = 1_200_000;
/// Number of connections of a front node to a server, counted from the first, that are read with the delay of the
/// plan.
const DELAYED_CONNECTIONS: u32 = 1;

/// An open attempt at a server.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub id: u64,
    pub server: u32,
    pub node: usize,
    pub token: u64,
    reply: SetUpReply,
}

/// Reply of a server to a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SetUpReply {
    Serves,
    ServesInFragments,
    ServesTwice,
    SendsGarbage,
    TruncatesAnswer,
    Refuses(u8),
    Ignores,
    Resets,
}

/// A playing session.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveSession {
    pub node: usize,
    pub process: u32,
    token: u64,
    pub started: Micros,
}

/// State of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    Healthy,
    /// Neither reads, answers nor accepts; also used for a machine that disappeared.
    Hung,
    Dead,
}

/// A media server.
pub(crate) struct Server {
    pub id: u32,
    /// The id of its previous process, while the list still names it.
    pub replaced_id: Option<u32>,
    /// Earlier ids whose end the list has told.
    pub gone_ids: Vec<u32>,
    /// Its process has started under an id that the list does not name yet.
    pub is_unlisted: bool,
    pub health: Health,
    pub state: ListState,
    /// Start of its process, if that was during the trial.
    pub started: Option<Micros>,
    /// Start of its process, if the list states it by now.
    pub listed_start: Option<Micros>,
    pub sessions: BTreeMap<u64, ActiveSession>,
    /// Releases to repeat on the next connection of a front node.
    unacknowledged: BTreeMap<usize, Vec<Message>>,
    /// Sessions whose releases were not written on any connection yet, each with its front node.
    unwritten_ends: BTreeMap<u64, usize>,
    /// Connections of the attempts of each session.
    pub attempt_tokens: BTreeMap<u64, Vec<u64>>,
    /// Whether an end was told on the connection of an earlier attempt.
    pub has_used_earlier: bool,
    /// Until when each new connection is reset.
    pub resets_new_until: Micros,
    /// Whether a connection with an end on its way was cut.
    pub was_cut_off: bool,
    /// Number of connections that each front node has made.
    accepted_connections: BTreeMap<usize, u32>,
    /// Until then, data that is read may have arrived while the server did not read.
    caught_up_at: Micros,
    /// Connections that fill the backlog of a machine that disappeared, and their local addresses.
    filler_connections: Vec<Socket>,
    filler_addresses: BTreeSet<SocketAddr>,
}

impl Server {
    pub fn new(number: u32) -> Server {
        Server {
            id: number + 1,
            replaced_id: None,
            gone_ids: Vec::new(),
            is_unlisted: false,
            health: Health::Healthy,
            state: ListState::Ready,
            started: None,
            listed_start: None,
            sessions: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            unwritten_ends: BTreeMap::new(),
            attempt_tokens: BTreeMap::new(),
            has_used_earlier: false,
            resets_new_until: 0,
            was_cut_off: false,
            accepted_connections: BTreeMap::new(),
            caught_up_at: 0,
            filler_connections: Vec::new(),
            filler_addresses: BTreeSet::new(),
        }
    }

    /// Whether it has had no fault so far: its process did not hang or die, and no connection was cut or silent.
    pub fn is_sound(&self) -> bool {
        let has_hung = self.caught_up_at > 0 || self.started.is_some();
        !has_hung && !self.was_cut_off && !self.has_used_earlier && self.resets_new_until == 0
    }
}

impl Rig {
    pub(crate) fn listen_as_server(&mut self, server: u32) -> io::Result<()> {
        self.listen_with(server, BACKLOG)
    }

    fn listen_with(&mut self, server: u32, backlog: i32) -> io::Result<()> {
        for node in 0..self.plan.nodes {
            let at = self.addresses.server(server, node);
            self.listen(Role::ServerListener { server, node }, at, backlog)?;
        }
        Ok(())
    }

    pub(crate) fn server_accepted(&mut self, server: u32, node: usize, stream: TcpStream) {
        let from = stream.peer_addr().ok();
        if from.is_some_and(|from| self.servers[server as usize].filler_addresses.remove(&from)) {
            return;
        }
        let Some(token) = self.add_connection(Role::Server { server, node }, stream) else { return };
        self.plan_reset_of_new(token, server, node);
        let accepted = self.servers[server as usize].accepted_connections.entry(node).or_default();
        *accepted += 1;
        if *accepted <= DELAYED_CONNECTIONS {
            let delay = self.plan.read_delay;
            self.endpoints.entry(token).and_modify(|endpoint| endpoint.read_delay = delay);
        }
        let unacknowledged = self.servers[server as usize].unacknowledged.remove(&node).unwrap_or_default();
        unacknowledged.iter().for_each(|message| self.send(token, message));
        self.servers[server as usize].unwritten_ends.retain(|_, owed_to| *owed_to != node);
    }

    /// Records the first byte of a set-up, if no earlier bytes are undecoded.
    pub(crate) fn record_first_byte(&mut self, token: u64, server: u32, node: usize, bytes: &[u8]) {
        let Some(endpoint) = self.endpoints.get(&token) else { return };
        let has_caught_up = self.now() >= self.servers[server as usize].caught_up_at;
        let is_observed = self.servers[server as usize].health == Health::Healthy
            && endpoint.read_delay == 0
            && has_caught_up;
        let (Some(kind), Some(id)) = (bytes.get(2), bytes.get(3..11)) else { return };
        if endpoint.decoder.is_partial() || !is_observed || *kind != kind::SET_UP {
            return;
        }
        let id = id.iter().fold(0, |id, byte| id << 8 | u64::from(*byte));
        let server = self.servers[server as usize].id;
        self.record(Event::SetUpBegan { id, server, node });
    }

    pub(crate) fn server_received(&mut self, token: u64, server: u32, node: usize, message: Message) {
        if self.reset_new(token, server, node, message.kind == kind::SET_UP) {
            return;
        }
        match message.kind {
            kind::SET_UP => self.set_up(token, server, node, &message),
            kind::RELEASE => self.handle_server_release(token, server, &message),
            kind::RELEASE_ACK => {
                if let Some(unacknowledged) = self.servers[server as usize].unacknowledged.get_mut(&node) {
                    unacknowledged.retain(|release| release.id != message.id);
                }
            }
            kind::TEST => {
                let result = Message::new(kind::TEST_RESULT, message.id).with(code::CAUSE, vec![1]);
                self.send(token, &result.with(code::REPORT, "active:3;x0:0.2"));
            }
            _ => {}
        }
    }

    fn set_up(&mut self, token: u64, server: u32, node: usize, message: &Message) {
        let id = message.id;
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        self.latest_attempts.insert(id, attempt);
        let (server_id, started) = (self.servers[server as usize].id, self.servers[server as usize].started);
        let rung = message.number(code::RUNG).unwrap_or(0);
        self.record(Event::SetUpReceived { attempt, id, server: server_id, node, rung, started });
        let reply = self.draw_reply();
        self.servers[server as usize].attempt_tokens.entry(id).or_default().push(token);
        self.attempts.insert(attempt, Attempt { id, server, node, token, reply });
        let late = self.draws.chance(self.plan.server_behavior.late);
        let work_time = match late {
            true => self.draws.between(400, 2_500) * MS,
            false => self.draws.between(5, 60) * MS,
        };
        let remaining = message.number(code::WAIT_MS).unwrap_or(u64::MAX / MS) * MS;
        match reply {
            SetUpReply::Ignores => {}
            _ if work_time > remaining && self.draws.chance(self.plan.server_behavior.drops_late) => {}
            SetUpReply::Resets => self.close(token, true),
            SetUpReply::Serves => match self.deadline_answer(remaining) {
                Some(after) => self.schedule_in(after, Action::CloseAfterAnswer { attempt }),
                None => self.schedule_in(work_time, Action::AnswerSetUp { attempt }),
            },
            _ => self.schedule_in(work_time, Action::AnswerSetUp { attempt }),
        }
    }

    /// Answers a set-up as its time is over, and closes its connection.
    pub(crate) fn close_after_answer(&mut self, number: u64) {
        let Some(token) = self.attempts.get(&number).map(|attempt| attempt.token) else { return };
        self.answer_set_up(number);
        if !self.attempts.contains_key(&number) {
            self.close(token, false);
        }
    }

    fn draw_reply(&mut self) -> SetUpReply {
        let ServerBehavior { refused, silent, reset, malformed, fragments, duplicated, .. } =
            self.plan.server_behavior;
        let mut drawn = self.draws.between(0, 100);
        let cause =
            self.draws.pick(&[cause::FULL, cause::FULL, cause::NOT_SENT, cause::ERROR, cause::BROKEN]);
        let malformed_reply =
            if self.draws.chance(50) { SetUpReply::SendsGarbage } else { SetUpReply::TruncatesAnswer };
        let kinds = [
            (refused, SetUpReply::Refuses(cause)),
            (silent, SetUpReply::Ignores),
            (reset, SetUpReply::Resets),
            (malformed, malformed_reply),
            (fragments, SetUpReply::ServesInFragments),
            (duplicated, SetUpReply::ServesTwice),
        ];
        for (share, reply) in kinds {
            if drawn < share {
                return reply;
            }
            drawn -= share;
        }
        SetUpReply::Serves
    }

    pub(crate) fn answer_set_up(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        if self.servers[attempt.server as usize].health != Health::Healthy {
            return self.schedule_in(100 * MS, Action::AnswerSetUp { attempt: number });
        }
        self.attempts.remove(&number);
        let (id, token) = (attempt.id, attempt.token);
        let description = format!(
            "made by s-{:08x} for {id:016x}, attempt {number}",
            self.servers[attempt.server as usize].id
        )
        .into_bytes();
        let answer = Message::new(kind::ANSWER, id).with(code::DESCRIPTION, description.clone()).bytes();
        let ended = |rig: &mut Rig, end| rig.record(Event::AttemptEnded { attempt: number, end });
        let reply = match attempt.reply {
            SetUpReply::Serves if self.refuses_after_cut(id) => SetUpReply::Refuses(cause::NOT_SENT),
            reply => reply,
        };
        match reply {
            SetUpReply::Refuses(cause) => {
                let never_ran = matches!(cause, cause::FULL | cause::NOT_SENT);
                ended(self, if never_ran { AttemptEnd::NeverRan } else { AttemptEnd::Failed });
                return self.send(token, &Message::release(id, cause).with(code::REPORT, "active:9;x0:0.5"));
            }
            SetUpReply::SendsGarbage => {
                ended(self, AttemptEnd::Failed);
                return self.write(token, &[0xff; 40]);
            }
            SetUpReply::TruncatesAnswer => {
                ended(self, AttemptEnd::Failed);
                self.write(token, &answer[..answer.len() / 2]);
                return self.close(token, false);
            }
            SetUpReply::Serves if self.ends_before_answer(&attempt, number, &description) => return,
            _ => ended(self, AttemptEnd::SetUp(description)),
        }
        self.start_session(&attempt);
        match attempt.reply {
            SetUpReply::ServesInFragments => self.write_in_fragments(token, &answer),
            SetUpReply::ServesTwice => {
                self.write(token, &answer);
                self.schedule_in(3 * MS, Action::Write { token, bytes: answer });
            }
            _ => self.write(token, &answer),
        }
    }

    fn write_in_fragments(&mut self, token: u64, bytes: &[u8]) {
        if self.endpoints.get(&token).is_none_or(|endpoint| endpoint.pending_fragments > 0) {
            return self.write(token, bytes);
        }
        for (index, fragment) in bytes.chunks(bytes.len().div_ceil(4)).enumerate() {
            self.schedule_in(
                index as Micros * 3 * MS,
                Action::WriteFragment { token, bytes: fragment.to_vec() },
            );
            self.endpoints.entry(token).and_modify(|endpoint| endpoint.pending_fragments += 1);
        }
    }

    fn start_session(&mut self, attempt: &Attempt) {
        let (server, id) = (attempt.server, attempt.id);
        let process = self.nodes[attempt.node].process;
        let session =
            ActiveSession { node: attempt.node, process, token: attempt.token, started: self.now() };
        self.servers[server as usize].sessions.insert(id, session);
        let lifetime = self.draws.between(800, 9_000) * MS;
        self.schedule_in(lifetime, Action::EndSession { server, id });
        self.schedule_in(NOTE_INTERVAL, Action::SendNote { server, id });
    }

    pub(crate) fn send_note(&mut self, server: u32, id: u64) {
        let Some(session) = self.servers[server as usize].sessions.get(&id).copied() else { return };
        if self.servers[server as usize].health == Health::Healthy {
            if let Some(token) = self.connection_for(server, session) {
                let load = self.noted_load();
                let note = Message::new(kind::NOTE, id).with(code::NOTE_KIND, "port");
                self.send(token, &note.with(code::NOTE_VALUE, format!("{:.2}", load as f64 / 100.0)));
            }
        }
        self.schedule_in(NOTE_INTERVAL, Action::SendNote { server, id });
    }

    /// The connection of a session's set-up, else any open connection of its front node.
    fn connection_for(&self, server: u32, session: ActiveSession) -> Option<u64> {
        let belongs = |role| role == Role::Server { server, node: session.node };
        if self
            .endpoints
            .get(&session.token)
            .is_some_and(|endpoint| belongs(endpoint.role) && !endpoint.is_forgotten)
        {
            return Some(session.token);
        }
        let is_known = |endpoint: &Endpoint| belongs(endpoint.role) && !endpoint.is_forgotten;
        self.endpoints.iter().rev().find(|(_, endpoint)| is_known(endpoint)).map(|(token, _)| *token)
    }

    pub(crate) fn end_session(&mut self, server: u32, id: u64) {
        let Some(session) = self.servers[server as usize].sessions.get(&id).copied() else { return };
        if self.servers[server as usize].health != Health::Healthy {
            return self.schedule_in(200 * MS, Action::EndSession { server, id });
        }
        self.servers[server as usize].sessions.remove(&id);
        let release = Message::release(id, cause::NORMAL);
        let open = self.connection_for(server, session);
        let endpoint = match self.earlier_connection(server, id, session.token) {
            Some(earlier) => Some(earlier),
            None => open.filter(|token| !self.cuts_end(server, *token)),
        };
        let notified = endpoint.is_some_and(|token| self.endpoints[&token].read_delay == 0);
        if let Some(token) = endpoint {
            self.send(token, &release);
        }
        if open.is_none() {
            self.servers[server as usize].unwritten_ends.insert(id, session.node);
        }
        self.servers[server as usize].unacknowledged.entry(session.node).or_default().push(release);
        self.record(Event::SessionEnded { id, notified });
    }

    fn handle_server_release(&mut self, token: u64, server: u32, message: &Message) {
        let id = message.id;
        // A give-up names only the session: it ends the latest attempt.
        let latest =
            self.attempts.iter().rev().find(|(_, attempt)| attempt.id == id && attempt.server == server);
        if let Some(number) = latest.map(|(number, _)| *number) {
            self.attempts.remove(&number);
            self.record(Event::AttemptEnded { attempt: number, end: AttemptEnd::GivenUp });
            if self.plan.acknowledges {
                self.send(token, &Message::new(kind::RELEASE_ACK, id));
            }
        } else if self.servers[server as usize].sessions.remove(&id).is_some() {
            if self.requests.get(&id).is_some_and(|request| request.is_playing_at(server)) {
                self.record(Event::SessionReleased { id });
            }
            self.send(token, &Message::release(id, cause::ON_PURPOSE));
        }
    }

    pub(crate) fn server_connection_ended(&mut self, token: u64, _server: u32) {
        let open: Vec<u64> =
            self.attempts.iter().filter(|(_, a)| a.token == token).map(|(n, _)| *n).collect();
        for number in open {
            self.attempts.remove(&number);
            self.record(Event::AttemptEnded { attempt: number, end: AttemptEnd::GivenUp });
        }
    }

    // ---- Faults ----

    fn connections_of(&self, server: u32) -> Vec<u64> {
        self.tokens_where(|role| matches!(role, Role::Server { server: other, .. } if other == server))
    }

    /// Front nodes with a connection to a server that notice when it is reset.
    fn connected_nodes(&self, server: u32) -> BTreeSet<usize> {
        let open = self.endpoints.values().filter(|endpoint| !endpoint.is_forgotten);
        let node = |endpoint: &Endpoint| match endpoint.role {
            Role::Server { server: other, node } if other == server => Some(node),
            _ => None,
        };
        open.filter_map(node).collect()
    }

    fn listeners_of(&self, server: u32) -> Vec<u64> {
        self.tokens_where(
            |role| matches!(role, Role::ServerListener { server: other, .. } if other == server),
        )
    }

    pub(crate) fn server_dies(&mut self, server: u32, restart_after: Option<Micros>) {
        if self.servers[server as usize].health == Health::Healthy {
            let replaced_after = self.plan.departures.replacement().map(|(after, _)| after);
            self.end_server(server, replaced_after.or(restart_after));
        }
    }

    pub(crate) fn end_server(&mut self, server: u32, restart_after: Option<Micros>) {
        self.servers[server as usize].health = Health::Dead;
        self.servers[server as usize].filler_connections.clear();
        self.listeners_of(server).into_iter().for_each(|token| self.close(token, false));
        let connected = self.connected_nodes(server);
        self.connections_of(server).into_iter().for_each(|token| self.close(token, true));
        let ended = std::mem::take(&mut self.servers[server as usize].sessions);
        let (is_replaced, now) = (restart_after == Some(0), self.now());
        for (id, session) in ended {
            let was_handed_over =
                self.requests.get(&id).is_some_and(|request| request.was_just_handed_over(now));
            // Nothing but the list can tell a front node without a connection, or one that does not know the session
            // yet, of a process that was replaced at once.
            let can_know = connected.contains(&session.node) && !was_handed_over;
            if can_know || !is_replaced {
                self.record(Event::SessionEnded { id, notified: false });
            }
        }
        self.servers[server as usize].unacknowledged.clear();
        let unwritten = std::mem::take(&mut self.servers[server as usize].unwritten_ends);
        for (id, _) in unwritten.into_iter().filter(|(_, node)| is_replaced && !connected.contains(node)) {
            self.record(Event::EndForgotten { id });
        }
        if let Some(delay) = restart_after {
            self.schedule_in(delay, Action::ReviveServer { server });
        }
    }

    pub(crate) fn revive_server(&mut self, server: u32) {
        let now = self.now();
        let previous = self.servers[server as usize].health;
        self.servers[server as usize].filler_connections.clear();
        match previous {
            // It left the list while it hung, and does not come back.
            Health::Dead if self.servers[server as usize].state == ListState::Gone => {}
            Health::Dead => {
                if self.listen_as_server(server).is_err() {
                    return;
                }
                self.servers[server as usize].started = Some(now);
                self.servers[server as usize].health = Health::Healthy;
                match self.plan.listing_delay {
                    0 => self.list_start(server),
                    delay => self.schedule_in(delay, Action::ListStart { server }),
                }
            }
            Health::Hung => {
                self.servers[server as usize].health = Health::Healthy;
                self.servers[server as usize].caught_up_at = now + CATCH_UP_TIME;
                for token in self.listeners_of(server).into_iter().chain(self.connections_of(server)) {
                    self.pause(token, false);
                }
            }
            Health::Healthy => {}
        }
    }

    /// Lists the start of a server's current process.
    pub(crate) fn list_start(&mut self, server: u32) {
        if self.servers[server as usize].is_unlisted {
            return;
        }
        self.servers[server as usize].listed_start = self.servers[server as usize].started;
        if self.servers[server as usize].state != ListState::Gone {
            self.publish_change(&[server]);
        }
    }

    pub(crate) fn server_hangs(&mut self, server: u32, duration: Micros) {
        if self.servers[server as usize].health != Health::Healthy {
            return;
        }
        self.servers[server as usize].health = Health::Hung;
        let (id, until) = (self.servers[server as usize].id, self.now() + duration);
        self.record(Event::ServerUnresponsive { server: id, until });
        for token in self.listeners_of(server).into_iter().chain(self.connections_of(server)) {
            self.pause(token, true);
        }
        self.schedule_in(duration, Action::ReviveServer { server });
    }

    /// Open connections are silent, and the backlogs of the listeners are full, so the kernel does not answer new
    /// connections.
    pub(crate) fn server_vanishes(&mut self, server: u32, duration: Micros) {
        if self.servers[server as usize].health != Health::Healthy {
            return;
        }
        self.listeners_of(server).into_iter().for_each(|token| self.close(token, false));
        let _ = self.listen_with(server, 0);
        for node in 0..self.plan.nodes {
            let at = SocketAddr::V4(self.addresses.server(server, node));
            for _ in 0..3 {
                let Ok(socket) = Socket::new(Domain::IPV4, Type::STREAM, None) else { continue };
                let _ = socket.set_nonblocking(true);
                let _ = socket.connect(&at.into());
                let from = socket.local_addr().ok().and_then(|from| from.as_socket());
                self.servers[server as usize].filler_addresses.extend(from);
                self.servers[server as usize].filler_connections.push(socket);
            }
        }
        self.server_hangs(server, duration);
    }

    pub(crate) fn server_closes_idle(&mut self, server: u32) {
        for token in self.connections_of(server) {
            if self.attempts.values().all(|attempt| attempt.token != token) {
                self.close(token, false);
            }
        }
    }

    pub(crate) fn server_forgets_idle(&mut self, server: u32) {
        for token in self.connections_of(server) {
            if self.attempts.values().all(|attempt| attempt.token != token) {
                self.endpoints.entry(token).and_modify(|endpoint| endpoint.is_forgotten = true);
            }
        }
    }

    pub(crate) fn server_resets(&mut self, server: u32) {
        self.connections_of(server).into_iter().for_each(|token| self.close(token, true));
    }

    pub(crate) fn server_leaves(&mut self, server: u32, delay: Micros) {
        let is_replaced = self.servers[server as usize].replaced_id.is_some();
        if self.servers[server as usize].state == ListState::Ready && !is_replaced {
            self.servers[server as usize].state = ListState::Draining;
            self.publish_change(&[server]);
            self.schedule_in(delay, Action::RemoveServer { server });
        }
    }

    pub(crate) fn remove_server(&mut self, server: u32) {
        self.servers[server as usize].state = ListState::Gone;
        self.publish_change(&[server]);
        if self.servers[server as usize].health != Health::Dead {
            self.end_server(server, None);
        }
    }

    /// Ends a session that was moved.
    pub(crate) fn end_moved_session(&mut self, id: u64) {
        let holds = |server: &&Server| server.sessions.contains_key(&id);
        let server = self.servers.iter().find(holds).and_then(|server| server_number(server.id));
        let Some(server) = server else { return };
        let Some(session) = self.servers[server as usize].sessions.remove(&id) else { return };
        if let Some(token) = self.connection_for(server, session) {
            self.send(token, &Message::release(id, cause::ON_PURPOSE));
        }
    }

    /// Records sessions of a process that has shut down in order, at healthy servers.
    pub(crate) fn check_orphans(&mut self, node: usize, process: u32, ended: Micros) {
        let mut orphans = Vec::new();
        // A server that became reachable only after the process had exited could not be notified.
        let could_be_notified = |server: &&Server| {
            server.health == Health::Healthy
                && (server.caught_up_at == 0 || server.caught_up_at + REACH_TIME < ended)
                && (server.resets_new_until == 0 || server.resets_new_until + REACH_TIME < ended)
        };
        for server in self.servers.iter().filter(could_be_notified) {
            let belongs = |session: &&ActiveSession| (session.node, session.process) == (node, process);
            let of_process =
                server.sessions.iter().filter(|(_, session)| belongs(session)).map(|(id, _)| *id);
            orphans.extend(of_process.filter(|id| self.was_served(*id)));
        }
        orphans.into_iter().for_each(|id| self.record(Event::SessionOrphaned { id }));
    }

    /// Drops the sessions of a killed process, except those that a client may hand over after an unplanned kill.
    pub(crate) fn drop_process_sessions(&mut self, node: usize, process: u32, is_planned: bool) {
        for server in &mut self.servers {
            let stays = |id: &u64, session: &ActiveSession| {
                (session.node, session.process) != (node, process)
                    || !is_planned && self.requests.get(id).is_some_and(Request::is_playing)
            };
            server.sessions.retain(|id, session| stays(id, session));
            if is_planned {
                server.unacknowledged.remove(&node);
            }
        }
    }

    /// Whether a session may be handed over. The front node cannot learn that a session ended with a server process
    /// that has died and restarted meanwhile.
    pub(crate) fn may_hold(&self, server: u32, id: u64) -> bool {
        let Some(server) = self.servers.get(server as usize) else { return false };
        let is_unacknowledged = || server.unacknowledged.values().flatten().any(|release| release.id == id);
        server.sessions.contains_key(&id) || is_unacknowledged() || server.health == Health::Dead
    }

    /// Assigns a session to the current process of its front node.
    pub(crate) fn reassign_session(&mut self, server: u32, id: u64, process: u32) {
        let session = self.servers[server as usize].sessions.entry(id);
        session.and_modify(|session| session.process = process);
    }

    /// Drops a session that no client hands over.
    pub(crate) fn forget_session(&mut self, server: u32, id: u64) {
        self.servers[server as usize].sessions.remove(&id);
    }
}
