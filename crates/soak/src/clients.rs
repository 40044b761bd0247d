//! Clients: requests, give-ups, session ends, and abusive connections.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::crossings::Cut;
use crate::record::{Answer, Event, Micros};
use crate::replacements::server_number;
use crate::rig::{Action, Rig, Role};
use crate::wire::{cause, code, kind, Message};

const MS: Micros = 1_000;
/// A request that was sent at most this long before its connection was closed is sent once more.
pub(crate) const CLOSE_RACE: Micros = 50 * MS;
/// Clients use at most the descriptor limit of a front node divided by this.
const DESCRIPTOR_DIVISOR: usize = 3;
/// Percentage of requests that are sent on a new connection although there is an open one.
const NEW_CONNECTION_PERCENT: u64 = 15;
/// A handed-over session counts as known to the front node this long after the hand-over.
const HAND_OVER_DELAY: Micros = 200 * MS;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Whose request it is, which decides on its title.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    Viewers,
    Crowd,
    /// This viewer asks for another session.
    Viewer(u64),
}

/// A connection of a client.
pub(crate) struct Client {
    pub node: usize,
    pub token: u64,
    pub pending: BTreeSet<u64>,
    sessions: BTreeSet<u64>,
    /// Whether it sends invalid input or nothing; messages to it are ignored.
    is_abusive: bool,
    /// Whether it has sent half a request, and comes again when it is closed.
    is_crowd: bool,
}

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Pending,
    Playing,
    Ended,
    GaveUp,
}

/// A request and its session.
pub(crate) struct Request {
    node: usize,
    client: u64,
    stage: Stage,
    pub sent: Option<Micros>,
    /// The request as it was sent.
    bytes: Vec<u8>,
    class: usize,
    patience: Micros,
    /// The viewer.
    pub viewer: u64,
    was_served: bool,
    /// Server at which its session plays.
    server: Option<u32>,
    /// Its connection was cut before it was answered.
    pub was_cut: bool,
    /// When its client was told by its front node that it is over.
    pub told_over_at: Option<Micros>,
    /// When its session was handed over last, or 0.
    pub handed_over_at: Micros,
    /// Which process of its front node, counted over restarts, holds it.
    process: u32,
}

impl Request {
    /// Whether its client knows it as playing at this server.
    pub fn is_playing_at(&self, server: u32) -> bool {
        self.is_playing() && self.server == Some(server)
    }

    /// The front node to which it was sent.
    pub fn node(&self) -> usize {
        self.node
    }

    /// The server at which its session plays.
    pub fn server(&self) -> Option<u32> {
        self.server
    }

    /// Whether its client knows it as playing and has not ended it.
    pub fn is_playing(&self) -> bool {
        self.stage == Stage::Playing
    }

    /// Whether its session was handed over on this connection a moment ago.
    pub fn handed_over_on(&self, client: u64, now: Micros) -> bool {
        self.client == client && self.was_just_handed_over(now)
    }

    /// Whether its session was handed over a moment ago, and its front node does not count as knowing it yet.
    pub fn was_just_handed_over(&self, now: Micros) -> bool {
        self.handed_over_at > 0 && now < self.handed_over_at + HAND_OVER_DELAY
    }

    /// Until when its client waits for the answer, once it was sent.
    pub fn waits_until(&self) -> Option<Micros> {
        Some(self.sent? + self.patience)
    }

    /// The connection on which it waits for its answer, if it does.
    pub fn pending_on(&self) -> Option<u64> {
        (self.stage == Stage::Pending).then_some(self.client)
    }
}

impl Rig {
    /// Sends a request from a client of a front node and schedules the next one.
    pub(crate) fn send_requests(&mut self, node: usize) {
        if self.now() >= self.plan.requests_until {
            return;
        }
        self.send_request(node, RequestOrigin::Viewers);
        let mean = 1_000 * MS / self.plan.rate.max(1);
        let pause = self.draws.between(1, 2 * mean);
        self.schedule_in(pause, Action::SendRequests { node });
    }

    pub(crate) fn send_request(&mut self, node: usize, origin: RequestOrigin) {
        if self.now() >= self.plan.requests_until {
            return;
        }
        let Some(client) = self.usable_client(node) else { return };
        let Some(token) = self.clients.get(&client).map(|client| client.token) else { return };
        if self.endpoints.get(&token).is_none_or(|endpoint| endpoint.pending_fragments > 0) {
            // It would be written, and count as sent, only behind the rest of another request.
            return;
        }
        let (id, bytes) = self.new_request(node, client, origin);
        if self.draws.chance(self.plan.client_behavior.fragments) {
            let (first, last) = bytes.split_at(bytes.len() * 2 / 3);
            self.write(token, first);
            self.endpoints.entry(token).and_modify(|endpoint| endpoint.pending_fragments += 1);
            let bytes = last.to_vec();
            self.schedule_in(30 * MS, Action::FinishRequest { id, token, bytes });
        } else {
            self.write(token, &bytes);
            self.record_request_sent(id);
        }
    }

    /// Draws a request that is to be sent on this connection; returns its id and its bytes.
    fn new_request(&mut self, node: usize, client: u64, origin: RequestOrigin) -> (u64, Vec<u8>) {
        let class = usize::from(self.draws.chance(35));
        let id = self.draws.between(1 << 32, u64::MAX);
        let patience = self.patience(class);
        let home = self.home(origin);
        let viewer = match origin {
            RequestOrigin::Viewer(viewer) => viewer,
            _ => self.draws.between(1, u64::MAX),
        };
        let bytes = self.set_up_message(id, class, patience, home, viewer, None).bytes();
        let (stage, process) = (Stage::Pending, self.nodes[node].process);
        let request = Request {
            node,
            client,
            stage,
            sent: None,
            bytes: bytes.clone(),
            class,
            patience,
            viewer,
            was_served: false,
            server: None,
            was_cut: false,
            told_over_at: None,
            handed_over_at: 0,
            process,
        };
        self.requests.insert(id, request);
        (id, bytes)
    }

    /// First cell that holds the title of a request.
    pub(crate) fn home(&mut self, origin: RequestOrigin) -> u32 {
        match origin {
            RequestOrigin::Viewers | RequestOrigin::Viewer(_) => self.plan.server(&mut self.draws),
            RequestOrigin::Crowd => self.plan.hot_servers.0,
        }
    }

    /// Schedules a crowd's requests to all front nodes.
    pub(crate) fn start_crowd(&mut self, requests: u64, duration: Micros) {
        for node in 0..self.plan.nodes {
            for _ in 0..requests {
                let after = self.draws.between(0, duration);
                self.schedule_in(after, Action::SendCrowdRequest { node });
            }
        }
    }

    /// Patience of a request's client; a share of the requests has very little.
    fn patience(&mut self, class: usize) -> Micros {
        match self.draws.chance(self.plan.client_behavior.short_deadlines) {
            true => self.draws.between(10, 300) * MS,
            false => self.plan.classes[class].deadline_ms * MS,
        }
    }

    /// A set-up request, with the id of the server if the session already plays at one.
    pub(crate) fn set_up_message(
        &mut self,
        id: u64,
        class: usize,
        patience: Micros,
        home: u32,
        viewer: u64,
        at: Option<u32>,
    ) -> Message {
        let plan = &self.plan.classes[class];
        let (name, top) = (plan.name, plan.terms.top);
        let cells = u64::from(self.plan.servers);
        let copies = self.plan.copies.min(cells);
        let current_server = at.map_or(String::new(), |server| format!(";at:s-{server:08x}"));
        Message::new(kind::SET_UP, id)
            .with(code::CLASS, name)
            .with(code::WAIT_MS, (patience / MS).to_string())
            .with(code::TITLE, format!("{home:016x}"))
            .with(code::LENGTH_HINT_MS, self.plan.length_hint())
            .with(
                code::REQUEST_FIELDS,
                format!("home:{home};copies:{copies};top:{top};viewer:{viewer:016x}{current_server}"),
            )
            .with(code::DESCRIPTION, "offer")
    }

    /// Writes the last bytes of a fragmented request.
    pub(crate) fn finish_request(&mut self, id: u64, token: u64, bytes: &[u8]) {
        let is_open = self.clients.values().any(|client| client.token == token);
        if !is_open || !self.endpoints.contains_key(&token) {
            return;
        }
        self.write_fragment(token, bytes.to_vec());
        self.record_request_sent(id);
    }

    fn record_request_sent(&mut self, id: u64) {
        let now = self.now();
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.sent = Some(now);
        let (node, conn, class) = (request.node, request.client, request.class);
        let patience = request.patience;
        self.record(Event::RequestSent { id, node, conn, class, patience });
        if let Some(client) = self.clients.get_mut(&conn) {
            client.pending.insert(id);
        }
        if self.draws.chance(self.plan.client_behavior.gives_up) {
            let after = self.draws.between(MS, patience);
            self.schedule_in(after, Action::GiveUp { id });
        }
        self.plan_request_cut(id);
    }

    /// Sends a request once more on a new connection to the same process. If it accepts none, the client gives
    /// the request up, and the front node learns that its previous connection has ended.
    pub(crate) fn send_again(&mut self, id: u64, previous: Option<u64>) {
        let Some(request) = self.requests.get(&id).filter(|request| request.stage == Stage::Pending) else {
            return;
        };
        let (node, process, mut bytes) = (request.node, request.process, request.bytes.clone());
        let node_state = &self.nodes[node];
        let accepts = node_state.accepts_connections(self.now()) || node_state.is_shutting_down();
        let is_up = node_state.process == process && accepts;
        let conn = is_up.then(|| self.connect_client(node, false)).flatten();
        self.record(Event::RequestResent { id, conn });
        let Some(client) = conn.and_then(|conn| Some((conn, self.clients.get_mut(&conn)?))) else {
            previous.into_iter().for_each(|token| self.close(token, true));
            return self.abandon_request(id);
        };
        let (conn, token) = (client.0, client.1.token);
        client.1.pending.insert(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.client = conn;
        }
        let is_followed = self.now() < self.plan.requests_until && self.follows_copy();
        let behind = is_followed.then(|| self.new_request(node, conn, RequestOrigin::Viewers));
        bytes.extend(behind.iter().flat_map(|(_, bytes)| bytes));
        self.write(token, &bytes);
        behind.into_iter().for_each(|(id, _)| self.record_request_sent(id));
    }

    /// The client of a request has gone and does not wait for its answer any more.
    pub(crate) fn abandon_request(&mut self, id: u64) {
        self.requests.entry(id).and_modify(|request| request.stage = Stage::GaveUp);
        self.record(Event::GaveUp { id });
    }

    /// A connection on which a request can be sent now.
    fn usable_client(&mut self, node: usize) -> Option<u64> {
        let usable = self.clients.iter().filter(|(_, client)| client.node == node && !client.is_abusive);
        let usable: Vec<u64> = usable.map(|(number, _)| *number).collect();
        let connects = usable.is_empty() || self.draws.chance(NEW_CONNECTION_PERCENT);
        if connects && self.nodes[node].accepts_connections(self.now()) {
            if let Some(client) = self.connect_client(node, false) {
                return Some(client);
            }
        }
        (!usable.is_empty()).then(|| self.draws.pick(&usable))
    }

    pub(crate) fn connect_client(&mut self, node: usize, is_abusive: bool) -> Option<u64> {
        let of_node = |client: &&Client| client.node == node && !client.is_crowd;
        let connections = self.clients.values().filter(of_node).count();
        if connections >= self.plan.terms.sockets / DESCRIPTOR_DIVISOR {
            return None;
        }
        self.open_client(node, is_abusive)
    }

    /// Connects a client beside the number that clients use at most.
    pub(crate) fn connect_crowd_client(&mut self, node: usize) -> Option<u64> {
        let client = self.open_client(node, true)?;
        self.clients.get_mut(&client)?.is_crowd = true;
        Some(client)
    }

    fn open_client(&mut self, node: usize, is_abusive: bool) -> Option<u64> {
        let at = SocketAddr::V4(self.addresses.node(node));
        let stream = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT).ok()?;
        self.next_client += 1;
        let client = self.next_client;
        let token = self.add_connection(Role::Client { client, node }, stream)?;
        let (pending, sessions) = (BTreeSet::new(), BTreeSet::new());
        self.clients.insert(client, Client { node, token, pending, sessions, is_abusive, is_crowd: false });
        Some(client)
    }

    pub(crate) fn client_received(&mut self, token: u64, client: u64, node: usize, message: Message) {
        if self.clients.get(&client).is_none_or(|client| client.is_abusive) {
            return;
        }
        let id = message.id;
        match message.kind {
            kind::TEST_RESULT => self.handle_test_result(node, message.cause() == Some(1)),
            kind::ANSWER => {
                let description = message.get(code::DESCRIPTION).unwrap_or_default().to_vec();
                self.handle_answer(client, id, Answer::Served(description));
            }
            kind::RELEASE if self.is_playing(id) && self.cuts_end_notice(client) => {}
            kind::RELEASE => {
                self.send(token, &Message::new(kind::RELEASE_ACK, id));
                let refused =
                    matches!(message.cause(), Some(cause::FULL | cause::RETRY_LATER | cause::NOT_SENT));
                self.handle_client_release(
                    client,
                    id,
                    if refused { Answer::Refused } else { Answer::Failed },
                );
            }
            kind::MOVE if self.cuts_move(client) || self.misses_move(client, id) => {}
            kind::MOVE => self.handle_move(node, id),
            _ => {}
        }
    }

    fn handle_answer(&mut self, client_number: u64, id: u64, answer: Answer) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.stage == Stage::GaveUp {
            return;
        }
        let (node, is_served) = (request.node, matches!(answer, Answer::Served(_)));
        let is_refused = answer == Answer::Refused;
        request.was_served |= is_served;
        if let Answer::Served(description) = &answer {
            request.server = server_in_description(description);
        }
        request.stage = if is_served { Stage::Playing } else { Stage::Ended };
        self.record(Event::Answered { id, answer });
        if let Some(client) = self.clients.get_mut(&client_number) {
            client.pending.remove(&id);
            if is_served {
                client.sessions.insert(id);
            }
        }
        if is_served {
            self.plan_departure(client_number);
        }
        if is_served && self.draws.chance(self.plan.client_behavior.ends) {
            let after = self.draws.between(100, 4_000) * MS;
            self.schedule_in(after, Action::EndByClient { id });
        }
        if is_refused && self.draws.chance(self.plan.client_behavior.retries) {
            self.send_request(node, RequestOrigin::Viewers);
        }
    }

    fn handle_client_release(&mut self, client: u64, id: u64, answer: Answer) {
        let now = self.now();
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.told_over_at.get_or_insert(now);
        match request.stage {
            Stage::Playing => self.end_session_for_client(id),
            Stage::Pending => self.handle_answer(client, id, answer),
            // A repeated end, or the answer to a request that was given up meanwhile.
            Stage::Ended | Stage::GaveUp => {}
        }
    }

    /// Whether a client has another connection to the same front node.
    pub(crate) fn has_other_client(&self, client: u64) -> bool {
        let Some(node) = self.clients.get(&client).map(|client| client.node) else { return false };
        let mut others = self.clients.iter().filter(|(other, _)| **other != client);
        others.any(|(_, other)| other.node == node && !other.is_abusive)
    }

    fn is_playing(&self, id: u64) -> bool {
        self.requests.get(&id).is_some_and(Request::is_playing)
    }

    /// Whether the client was told that the session plays.
    pub(crate) fn was_served(&self, id: u64) -> bool {
        self.requests.get(&id).is_some_and(|request| request.was_served)
    }

    fn handle_test_result(&mut self, node: usize, passed: bool) {
        if self.nodes[node].record_test(passed) {
            self.hand_over_sessions(node);
        }
    }

    /// Hands sessions that play for earlier processes over to this process, once it has passed its first test.
    fn hand_over_sessions(&mut self, node: usize) {
        let process = self.nodes[node].process;
        let is_orphan =
            |request: &Request| request.is_playing() && request.node == node && request.process < process;
        let orphans: Vec<u64> =
            self.requests.iter().filter(|(_, request)| is_orphan(request)).map(|(id, _)| *id).collect();
        for id in orphans {
            let Some(server) = self.requests.get(&id).and_then(|request| request.server) else { continue };
            let is_dropped =
                !self.may_hold(server, id) || self.draws.chance(self.plan.client_behavior.drops_sessions);
            if is_dropped || !self.hand_over_session(node, id, server) {
                self.forget_session(server, id);
                self.requests.entry(id).and_modify(|request| request.stage = Stage::Ended);
            }
        }
    }

    fn hand_over_session(&mut self, node: usize, id: u64, server: u32) -> bool {
        let Some(client) = self.usable_client(node) else { return false };
        let Some(token) = self.clients.get(&client).map(|client| client.token) else { return false };
        let Some(request) = self.requests.get(&id) else { return false };
        let (class, patience, viewer) = (request.class, request.patience, request.viewer);
        let home = self.home(RequestOrigin::Viewers);
        let server_id = self.servers[server as usize].id;
        let message = self.set_up_message(id, class, patience, home, viewer, Some(server_id)).bytes();
        self.write(token, &message);
        if self.draws.chance(self.plan.client_behavior.retries) {
            self.write(token, &message);
        }
        let (process, now) = (self.nodes[node].process, self.now());
        self.reassign_session(server, id, process);
        self.record(Event::HandedOver { id, conn: client });
        if let Some(request) = self.requests.get_mut(&id) {
            (request.client, request.process) = (client, process);
            request.handed_over_at = now;
        }
        if let Some(client) = self.clients.get_mut(&client) {
            client.sessions.insert(id);
        }
        true
    }

    fn end_session_for_client(&mut self, id: u64) {
        self.record(Event::Released { id });
        self.requests.entry(id).and_modify(|request| request.stage = Stage::Ended);
        for client in self.clients.values_mut() {
            client.sessions.remove(&id);
        }
    }

    fn handle_move(&mut self, node: usize, id: u64) {
        if self.requests.get(&id).is_none_or(|request| request.stage != Stage::Playing) {
            return;
        }
        self.end_session_for_client(id);
        self.end_moved_session(id);
        self.send_request(node, RequestOrigin::Viewers);
    }

    pub(crate) fn give_up(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.stage != Stage::Pending || request.sent.is_none() {
            return;
        }
        let (client, node) = (request.client, request.node);
        if !self.clients.contains_key(&client) {
            // It has crossed the end of its connection, and is sent once more first.
            return;
        }
        if self.draws.chance(30) {
            if let Some(token) = self.clients.get(&client).map(|client| client.token) {
                self.close(token, false);
            }
            return;
        }
        self.requests.entry(id).and_modify(|request| request.stage = Stage::GaveUp);
        self.record(Event::GaveUp { id });
        if let Some(client) = self.clients.get_mut(&client) {
            client.pending.remove(&id);
        }
        self.send_to_node(node, client, &Message::release(id, cause::NORMAL));
    }

    pub(crate) fn end_by_client(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.stage != Stage::Playing {
            return;
        }
        request.stage = Stage::Ended;
        let (client, node) = (request.client, request.node);
        self.record(Event::EndedByClient { id });
        if let Some(client) = self.clients.get_mut(&client) {
            client.sessions.remove(&id);
        }
        self.send_to_node(node, client, &Message::release(id, cause::NORMAL));
    }

    /// Sends a message on the connection of the client, or on any other one to that front node.
    fn send_to_node(&mut self, node: usize, client: u64, message: &Message) {
        let any_other = || self.clients.values().find(|client| client.node == node && !client.is_abusive);
        let token = self.clients.get(&client).or_else(any_other).map(|client| client.token);
        if let Some(token) = token {
            self.send(token, message);
        }
    }

    /// Sends a test to each front node, connecting if necessary, so that there is a connection for pending
    /// notifications.
    pub(crate) fn send_client_tests(&mut self) {
        for node in 0..self.plan.nodes {
            let now = self.now();
            let existing = self.clients.iter().find(|(_, client)| client.node == node && !client.is_abusive);
            let client = match existing.map(|(number, _)| *number) {
                Some(client) => Some(client),
                None if self.nodes.get(node).is_some_and(|node| node.accepts_connections(now)) => {
                    self.connect_client(node, false)
                }
                None => None,
            };
            let token = client.and_then(|client| self.clients.get(&client)).map(|client| client.token);
            if let Some(token) = token {
                self.send(token, &Message::new(kind::TEST, 1).with(code::CAUSE, vec![0]));
            }
        }
    }

    /// A connection was closed by the front node or by the end of its process.
    pub(crate) fn client_closed_by_node(&mut self, number: u64) {
        let Some(client) = self.clients.remove(&number) else { return };
        if client.is_crowd {
            return self.crowd_client_closed(client.node);
        }
        if client.is_abusive {
            return;
        }
        self.cross_exit(client.node);
        self.record(Event::ClosedByNode { conn: number });
        let now = self.now();
        for id in client.pending {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            if request.sent.is_some_and(|sent| sent + CLOSE_RACE >= now) {
                self.send_again_soon(id, None);
            } else {
                request.stage = Stage::Ended;
            }
        }
    }

    /// A connection was closed by its client or reset by a network fault.
    pub(crate) fn client_closed_here(&mut self, number: u64, _node: usize) {
        let Some(client) = self.clients.remove(&number) else { return };
        self.record(Event::ClosedByClient { conn: number });
        for id in client.pending {
            self.abandon_request(id);
        }
    }

    /// Resets all client connections to a front node.
    pub(crate) fn cut_clients(&mut self, node: usize) {
        let of_node = self.clients.iter().filter(|(_, client)| client.node == node);
        let connections: Vec<u64> = of_node.map(|(number, _)| *number).collect();
        connections.into_iter().for_each(|number| self.cut_client(number, Cut::Reset));
    }

    pub(crate) fn start_abusive_client(&mut self, node: usize) {
        let now = self.now();
        if !self.nodes[node].accepts_connections(now) {
            return;
        }
        let Some(client) = self.connect_client(node, true) else { return };
        let Some(token) = self.clients.get(&client).map(|client| client.token) else { return };
        let id = self.draws.between(1 << 32, u64::MAX);
        let patience = self.patience(0);
        let home = self.home(RequestOrigin::Viewers);
        let request = self.set_up_message(id, 0, patience, home, 1, None).bytes();
        match self.draws.between(0, 5) {
            0 => self.write(token, &[0xff; 300]),
            1 => self.write(token, &request[..request.len() / 2]),
            2 => {
                self.write(token, &request[..request.len() / 2]);
                self.schedule_in(50 * MS, Action::Close { token, reset: true });
            }
            3 => self.write(token, &Message::new(kind::SET_UP, id).with(code::CLASS, "none").bytes()),
            _ => {}
        }
    }
}

/// Parses the number of the server from the description of its answer.
fn server_in_description(description: &[u8]) -> Option<u32> {
    let text = std::str::from_utf8(description).ok()?;
    let id = text.strip_prefix("made by s-")?.get(..8)?;
    server_number(u32::from_str_radix(id, 16).ok()?)
}
