//! The test rig: media servers, discovery and clients on loopback, and all timers, in one thread.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::OwnedFd;
use rustix::net::SendFlags;
use socket2::{Domain, SockRef, Socket, Type};

use crate::clients::{Client, Request, RequestOrigin};
use crate::crossings::Cut;
use crate::discovery::Discovery;
use crate::nodes::Node;
use crate::plan::{Draws, Fault, Plan};
use crate::record::{Event, Micros, Record};
use crate::servers::{Health, Server};
use crate::trial::Program;
use crate::wire::{Decoder, Message};

/// A timer that fires later than planned by more than this is recorded as a delay of the test rig.
const RIG_LATE_FROM: Micros = 20_000;
const LISTEN_PORT: u16 = 3_868;
/// Number of servers in one address range.
const SERVERS_PER_RANGE: u32 = 250;
const EVENTS_PER_POLL: usize = 256;
const SECOND: Micros = 1_000_000;

/// Purpose of a connection or listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    ServerListener { server: u32, node: usize },
    Server { server: u32, node: usize },
    DiscoveryListener { address_index: usize, node: usize },
    Discovery { address_index: usize, node: usize },
    Client { client: u64, node: usize },
}

/// An action of a timer.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    InjectFault(Fault),
    AnswerSetUp { attempt: u64 },
    EndSession { server: u32, id: u64 },
    SendNote { server: u32, id: u64 },
    ReviveServer { server: u32 },
    ListStart { server: u32 },
    RemoveServer { server: u32 },
    Write { token: u64, bytes: Vec<u8> },
    WriteFragment { token: u64, bytes: Vec<u8> },
    Close { token: u64, reset: bool },
    ResumeRead { token: u64 },
    SendRequests { node: usize },
    SendCrowdRequest { node: usize },
    GiveUp { id: u64 },
    EndByClient { id: u64 },
    FinishRequest { id: u64, token: u64, bytes: Vec<u8> },
    StartAbusiveClient { node: usize },
    Heartbeat,
    RestoreDiscovery,
    CloseOldDiscovery { address_index: usize, node: usize },
    PlannedKill { node: usize, process: u32 },
    StartNode { node: usize },
    ResumeNode { node: usize },
    Throttle { node: usize, process: u32, running: bool },
    SampleProcesses,
    CheckOrphans { node: usize, process: u32, ended: Micros },
    CutRequest { id: u64 },
    SendAgain { id: u64, previous: Option<u64> },
    CutClient { client: u64, cut: Cut },
    RepeatSignals { node: usize, process: u32 },
    StartHalfRequest { node: usize },
    AnswerEnded { id: u64, attempt: u64, token: u64, bytes: Vec<u8> },
    CloseAfterAnswer { attempt: u64 },
    ResetNew { token: u64, server: u32, node: usize, is_set_up: bool },
    AskAgain { id: u64 },
    CheckStanding,
    StartHandOverFlood { node: usize },
    HandOverMadeUp { node: usize, client: u64 },
    StartSuccessor { server: u32 },
    ListSuccessor { server: u32 },
    EndReplacedId { server: u32 },
}

/// A connection or listener and its buffers.
pub(crate) struct Endpoint {
    pub role: Role,
    pub stream: Option<TcpStream>,
    pub listener: Option<TcpListener>,
    pub decoder: Decoder,
    pub unsent: Vec<u8>,
    /// Delay of reads.
    pub read_delay: Micros,
    /// Whether it is removed from the poll set.
    pub paused: bool,
    /// Whether this end has lost its state: data on it is answered by a reset.
    pub is_forgotten: bool,
    /// Whether nothing passes on it any more.
    pub is_silent: bool,
    /// Fragments of a message that are still to be written, and the bytes that follow them.
    pub pending_fragments: u32,
    pub held_back: Vec<u8>,
}

/// Peers, processes and recorded events of a trial.
pub struct Rig {
    pub(crate) plan: Plan,
    pub(crate) draws: Draws,
    /// Draws of the connections that are cut.
    pub(crate) crossing_draws: Draws,
    /// Draws of the clients that leave.
    pub(crate) departure_draws: Draws,
    /// Connections to servers that are reset with their first message.
    pub(crate) reset_tokens: BTreeSet<u64>,
    /// Draws of the paths on which servers tell ends.
    pub(crate) end_path_draws: Draws,
    /// Draws of the clients that make sessions up, and of the servers that are replaced.
    pub(crate) flood_draws: Draws,
    pub(crate) replacement_draws: Draws,
    started: Instant,
    poll: OwnedFd,
    pub(crate) endpoints: BTreeMap<u64, Endpoint>,
    next_token: u64,
    timers: BTreeMap<(Micros, u64), Action>,
    next_timer: u64,
    pub(crate) servers: Vec<Server>,
    pub(crate) attempts: BTreeMap<u64, crate::servers::Attempt>,
    pub(crate) next_attempt: u64,
    /// The latest attempt of each request.
    pub(crate) latest_attempts: BTreeMap<u64, u64>,
    pub(crate) discovery: Discovery,
    pub(crate) clients: BTreeMap<u64, Client>,
    pub(crate) requests: BTreeMap<u64, Request>,
    pub(crate) next_client: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) addresses: Addresses,
    pub(crate) events: Vec<(Micros, Event)>,
}

/// Loopback addresses of one trial.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    range: u8,
}

impl Addresses {
    /// A range that no other trial of this process uses; a clash with another process is unlikely.
    fn next() -> Addresses {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() * 7;
        Addresses { range: 1 + (number % 120) as u8 }
    }

    pub fn server(self, server: u32, node: usize) -> SocketAddrV4 {
        let (upper, lower) = (server / SERVERS_PER_RANGE, server % SERVERS_PER_RANGE);
        let host = Ipv4Addr::new(127, self.range, upper as u8, lower as u8 + 1);
        SocketAddrV4::new(host, LISTEN_PORT + node as u16)
    }

    pub fn discovery(self, address_index: usize, node: usize) -> SocketAddrV4 {
        SocketAddrV4::new(
            Ipv4Addr::new(127, self.range, 200, address_index as u8 + 1),
            LISTEN_PORT + node as u16,
        )
    }

    pub fn node(self, node: usize) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.range, 201, node as u8 + 1), LISTEN_PORT)
    }
}

impl Rig {
    /// Starts the peers and processes of a plan, before any timer runs.
    ///
    /// # Errors
    /// Sockets cannot be opened, or the front nodes cannot be started.
    pub(crate) fn new(plan: Plan, program: &Program) -> io::Result<Rig> {
        let draws = Draws::new(plan.seed ^ 0x5eed);
        let crossing_draws = Draws::new(plan.seed ^ 0xc205_5eed);
        let mut rig = Rig {
            draws,
            crossing_draws,
            departure_draws: Draws::new(plan.seed ^ 0xde9a_5eed),
            reset_tokens: BTreeSet::new(),
            end_path_draws: Draws::new(plan.seed ^ 0xe4d5_5eed),
            flood_draws: Draws::new(plan.seed ^ 0xf100_d5eed),
            replacement_draws: Draws::new(plan.seed ^ 0x5cc_5eed),
            started: Instant::now(),
            poll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            endpoints: BTreeMap::new(),
            next_token: 0,
            timers: BTreeMap::new(),
            next_timer: 0,
            servers: (0..plan.servers).map(Server::new).collect(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            latest_attempts: BTreeMap::new(),
            discovery: Discovery::default(),
            clients: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_client: 0,
            nodes: Vec::new(),
            addresses: Addresses::next(),
            events: Vec::new(),
            plan,
        };
        for server in 0..rig.plan.servers {
            rig.listen_as_server(server)?;
        }
        rig.start_discovery()?;
        for node in 0..rig.plan.nodes {
            rig.nodes.push(Node::new(program, node));
            rig.start_node(node)?;
        }
        Ok(rig)
    }

    /// Runs the plan to its end.
    pub(crate) fn play(mut self) -> Record {
        self.wait_until_ready();
        self.started = Instant::now();
        self.events.clear();
        let due: Vec<(Micros, Action)> =
            std::mem::take(&mut self.timers).into_iter().map(|((at, _), action)| (at, action)).collect();
        due.into_iter().for_each(|(_, action)| self.schedule_at(0, action));
        self.discovery.restart_clock();
        self.schedule();
        while self.now() < self.plan.ends {
            self.poll_once();
        }
        self.end_processes();
        Record { terms: self.plan.terms.clone(), events: self.events, ended_at: self.plan.ends }
    }

    fn schedule(&mut self) {
        for (at, fault) in self.plan.faults.clone() {
            self.schedule_at(at, Action::InjectFault(fault));
        }
        for node in 0..self.plan.nodes {
            self.schedule_at(0, Action::SendRequests { node });
            let bad = self.plan.client_behavior.abusive + self.plan.crowd;
            for _ in 0..bad {
                let at = self.draws.between(0, self.plan.requests_until);
                self.schedule_at(at, Action::StartAbusiveClient { node });
            }
            for _ in 0..self.plan.departures.half_requests {
                let at = self.departure_draws.between(SECOND, 2 * SECOND);
                self.schedule_at(at, Action::StartHalfRequest { node });
            }
        }
        self.schedule_hand_over_floods();
        self.schedule_at(0, Action::SampleProcesses);
        self.schedule_at(0, Action::CheckStanding);
    }

    /// Time since the start of the trial.
    pub(crate) fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Converts a time of the trial to Unix milliseconds.
    pub(crate) fn unix_ms(&self, at: Micros) -> u64 {
        let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        (unix_now + at / 1_000).saturating_sub(self.now() / 1_000)
    }

    pub(crate) fn record(&mut self, event: Event) {
        let now = self.now();
        self.events.push((now, event));
    }

    /// Schedules an action at a time of the trial.
    pub(crate) fn schedule_at(&mut self, at: Micros, action: Action) {
        self.next_timer += 1;
        self.timers.insert((at, self.next_timer), action);
    }

    /// Runs the scheduled writes on these connections now, in order.
    pub(crate) fn write_scheduled_now(&mut self, tokens: &[u64]) {
        let is_matching_write =
            |action: &Action| matches!(action, Action::Write { token, .. } if tokens.contains(token));
        let keys: Vec<_> =
            self.timers.iter().filter(|(_, action)| is_matching_write(action)).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(action) = self.timers.remove(&key) {
                self.run_action(action);
            }
        }
    }

    /// Schedules an action after a delay.
    pub(crate) fn schedule_in(&mut self, duration: Micros, action: Action) {
        self.schedule_at(self.now() + duration, action);
    }

    pub(crate) fn poll_once(&mut self) {
        let next = self.timers.keys().next().map_or(Micros::MAX, |(at, _)| *at);
        let wait = next.saturating_sub(self.now()).min(5_000);
        let wait = Timespec { tv_sec: 0, tv_nsec: wait as i64 * 1_000 };
        let mut events = Vec::with_capacity(EVENTS_PER_POLL);
        let _ = epoll::wait(&self.poll, spare_capacity(&mut events), Some(&wait));
        for event in events {
            self.handle_ready(event.data.u64(), event.flags);
        }
        while let Some(((at, _), _)) = self.timers.first_key_value().filter(|((at, _), _)| *at <= self.now())
        {
            let late = self.now() - at;
            if late > RIG_LATE_FROM {
                self.record(Event::RigLate { delay: late });
            }
            let Some((_, action)) = self.timers.pop_first() else { break };
            self.run_action(action);
        }
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::InjectFault(fault) => self.inject_fault(fault),
            Action::AnswerSetUp { attempt } => self.answer_set_up(attempt),
            Action::EndSession { server, id } => self.end_session(server, id),
            Action::SendNote { server, id } => self.send_note(server, id),
            Action::ReviveServer { server } => self.revive_server(server),
            Action::ListStart { server } => self.list_start(server),
            Action::RemoveServer { server } => self.remove_server(server),
            Action::Write { token, bytes } => self.write(token, &bytes),
            Action::WriteFragment { token, bytes } => self.write_fragment(token, bytes),
            Action::Close { token, reset } => self.close(token, reset),
            Action::ResumeRead { token } => self.resume_read(token),
            Action::SendRequests { node } => self.send_requests(node),
            Action::SendCrowdRequest { node } => self.send_request(node, RequestOrigin::Crowd),
            Action::GiveUp { id } => self.give_up(id),
            Action::EndByClient { id } => self.end_by_client(id),
            Action::FinishRequest { id, token, bytes } => self.finish_request(id, token, &bytes),
            Action::StartAbusiveClient { node } => self.start_abusive_client(node),
            Action::Heartbeat => self.heartbeat(),
            Action::RestoreDiscovery => self.restore_discovery(),
            Action::CloseOldDiscovery { address_index, node } => {
                self.close_old_discovery(address_index, node)
            }
            Action::PlannedKill { node, process } => self.planned_kill(node, process),
            Action::StartNode { node } => self.restart_node(node),
            Action::ResumeNode { node } => self.resume_node(node),
            Action::Throttle { node, process, running } => self.throttle(node, process, running),
            Action::SampleProcesses => self.sample_processes(),
            Action::CheckOrphans { node, process, ended } => self.check_orphans(node, process, ended),
            Action::CutRequest { id } => self.cut_request(id),
            Action::SendAgain { id, previous } => self.send_again(id, previous),
            Action::CutClient { client, cut } => self.cut_client(client, cut),
            Action::RepeatSignals { node, process } => self.repeat_signals(node, process),
            Action::StartHalfRequest { node } => self.start_half_request(node),
            Action::AnswerEnded { id, attempt, token, bytes } => {
                self.answer_ended(id, attempt, token, &bytes)
            }
            Action::CloseAfterAnswer { attempt } => self.close_after_answer(attempt),
            Action::ResetNew { token, server, node, is_set_up } => {
                self.reset_new(token, server, node, is_set_up);
            }
            Action::AskAgain { id } => self.ask_again(id),
            Action::CheckStanding => self.check_standing(),
            Action::StartHandOverFlood { node } => self.start_hand_over_flood(node),
            Action::HandOverMadeUp { node, client } => self.hand_over_made_up(node, client),
            Action::StartSuccessor { server } => self.start_successor(server),
            Action::ListSuccessor { server } => self.list_successor(server),
            Action::EndReplacedId { server } => self.end_replaced_id(server),
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::ServerDies(server, restart_after) => self.server_dies(server, restart_after),
            Fault::ServerHangs(server, duration) => self.server_hangs(server, duration),
            Fault::ServerVanishes(server, duration) => self.server_vanishes(server, duration),
            Fault::ServerClosesIdle(server) => self.server_closes_idle(server),
            Fault::ServerResets(server) => self.server_resets(server),
            Fault::ServerForgetsIdle(server) => self.server_forgets_idle(server),
            Fault::ServerResetsNew(server) => self.server_resets_new(server),
            Fault::ServerReplaced(server) => self.server_replaced(server),
            Fault::ServerLeaves(server, duration) => self.server_leaves(server, duration),
            Fault::FullList => self.publish_full_list(),
            Fault::ListChanges(count) => self.republish(count),
            Fault::DiscoveryDown(duration) => self.discovery_down(duration),
            Fault::DiscoverySilent(duration) => self.discovery_silent(duration),
            Fault::DiscoverySlow(duration) => self.discovery_slow(duration),
            Fault::Reload(node) => self.reload(node),
            Fault::Restart(node) => self.begin_planned_restart(node),
            Fault::Kill(node) => self.kill_node(node),
            Fault::Suspend(node, duration) => self.suspend_node(node, duration),
            Fault::CutClients(node) => self.cut_clients(node),
            Fault::Crowd { requests, duration } => self.start_crowd(requests, duration),
        }
    }

    // ---- Sockets ----

    /// Adds a listener.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub(crate) fn listen(&mut self, role: Role, at: SocketAddrV4, backlog: i32) -> io::Result<u64> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::V4(at).into())?;
        socket.listen(backlog)?;
        let listener = TcpListener::from(socket);
        self.next_token += 1;
        epoll::add(&self.poll, &listener, EventData::new_u64(self.next_token), EventFlags::IN)?;
        self.endpoints.insert(self.next_token, Endpoint::new(role, None, Some(listener)));
        Ok(self.next_token)
    }

    /// Adds a connection.
    pub(crate) fn add_connection(&mut self, role: Role, stream: TcpStream) -> Option<u64> {
        stream.set_nonblocking(true).ok()?;
        stream.set_nodelay(true).ok()?;
        self.next_token += 1;
        epoll::add(&self.poll, &stream, EventData::new_u64(self.next_token), EventFlags::IN).ok()?;
        self.endpoints.insert(self.next_token, Endpoint::new(role, Some(stream), None));
        Some(self.next_token)
    }

    /// Stops or resumes polling a connection or listener.
    pub(crate) fn pause(&mut self, token: u64, paused: bool) {
        let Some(endpoint) = self.endpoints.get_mut(&token) else { return };
        if endpoint.is_silent || std::mem::replace(&mut endpoint.paused, paused) == paused {
            return;
        }
        let data = EventData::new_u64(token);
        let flags = if paused { EventFlags::empty() } else { EventFlags::IN };
        let _ = match (&endpoint.stream, &endpoint.listener) {
            (Some(stream), _) if paused => epoll::delete(&self.poll, stream),
            (Some(stream), _) => epoll::add(&self.poll, stream, data, flags),
            (_, Some(listener)) if paused => epoll::delete(&self.poll, listener),
            (_, Some(listener)) => epoll::add(&self.poll, listener, data, flags),
            _ => Ok(()),
        };
    }

    fn handle_ready(&mut self, token: u64, flags: EventFlags) {
        let Some(endpoint) = self.endpoints.get(&token) else { return };
        if endpoint.listener.is_some() {
            return self.accept(token);
        }
        if flags.contains(EventFlags::OUT) {
            self.write(token, &[]);
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return;
        }
        let Some(endpoint) = self.endpoints.get(&token) else { return };
        if endpoint.is_forgotten {
            return self.close(token, true);
        }
        if endpoint.read_delay > 0 {
            let delay = endpoint.read_delay;
            self.pause(token, true);
            return self.schedule_in(delay, Action::ResumeRead { token });
        }
        self.read(token);
    }

    fn resume_read(&mut self, token: u64) {
        if let Some(Role::Server { server, .. }) = self.endpoints.get(&token).map(|endpoint| endpoint.role) {
            if self.servers[server as usize].health == Health::Hung {
                // Polling resumes when the server does.
                return;
            }
        }
        self.pause(token, false);
        self.read(token);
    }

    fn accept(&mut self, token: u64) {
        while let Some(endpoint) = self.endpoints.get(&token) {
            let Some(listener) = &endpoint.listener else { return };
            let Ok((stream, _)) = listener.accept() else { return };
            let role = endpoint.role;
            match role {
                Role::ServerListener { server, node } => self.server_accepted(server, node, stream),
                Role::DiscoveryListener { address_index, node } => {
                    self.add_connection(Role::Discovery { address_index, node }, stream);
                }
                _ => return,
            }
        }
    }

    fn read(&mut self, token: u64) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let Some(stream) = self.endpoints.get(&token).and_then(|endpoint| endpoint.stream.as_ref())
            else {
                return;
            };
            match (&*stream).read(&mut bytes) {
                Ok(0) => return self.peer_closed(token),
                Ok(count) => self.handle_bytes(token, &bytes[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => return self.peer_closed(token),
            }
        }
    }

    fn handle_bytes(&mut self, token: u64, bytes: &[u8]) {
        let Some(endpoint) = self.endpoints.get_mut(&token) else { return };
        let role = endpoint.role;
        if let Role::Discovery { .. } = role {
            return self.discovery_received(token, bytes);
        }
        if let Role::Server { server, node } = role {
            self.record_first_byte(token, server, node, bytes);
        }
        let Some(endpoint) = self.endpoints.get_mut(&token) else { return };
        endpoint.decoder.feed(bytes);
        loop {
            let Some(endpoint) = self.endpoints.get_mut(&token) else { return };
            match (endpoint.decoder.next_message(), role) {
                (Ok(Some(message)), Role::Server { server, node }) => {
                    self.server_received(token, server, node, message);
                }
                (Ok(Some(message)), Role::Client { client, node }) => {
                    self.client_received(token, client, node, message);
                }
                (Ok(None), _) => return,
                (Err(_), Role::Client { client, .. }) => {
                    self.record(Event::Unreadable { conn: client });
                    return self.close(token, false);
                }
                _ => return self.close(token, false),
            }
        }
    }

    fn peer_closed(&mut self, token: u64) {
        let Some(endpoint) = self.endpoints.remove(&token) else { return };
        match endpoint.role {
            Role::Server { server, .. } => self.server_connection_ended(token, server),
            Role::Client { client, .. } => self.client_closed_by_node(client),
            Role::Discovery { .. } => self.discovery.connection_ended(token),
            _ => {}
        }
    }

    /// Sends a message.
    pub(crate) fn send(&mut self, token: u64, message: &Message) {
        self.write(token, &message.bytes());
    }

    /// Writes bytes; what the socket does not accept is buffered.
    pub(crate) fn write(&mut self, token: u64, bytes: &[u8]) {
        let Some(endpoint) = self.endpoints.get_mut(&token).filter(|endpoint| !endpoint.is_silent) else {
            return;
        };
        if endpoint.pending_fragments > 0 {
            endpoint.held_back.extend(bytes);
            return;
        }
        endpoint.unsent.extend(bytes);
        let Some(stream) = &endpoint.stream else { return };
        while !endpoint.unsent.is_empty() {
            match rustix::net::send(stream, &endpoint.unsent, SendFlags::NOSIGNAL) {
                Ok(sent) => drop(endpoint.unsent.drain(..sent)),
                Err(_) => break,
            }
        }
        let flags =
            if endpoint.unsent.is_empty() { EventFlags::IN } else { EventFlags::IN | EventFlags::OUT };
        if !endpoint.paused {
            let _ = epoll::modify(&self.poll, stream, EventData::new_u64(token), flags);
        }
    }

    /// Writes the next fragment of a message; the held-back bytes follow the last one.
    pub(crate) fn write_fragment(&mut self, token: u64, mut bytes: Vec<u8>) {
        let Some(endpoint) = self.endpoints.get_mut(&token) else { return };
        let pending_fragments = std::mem::take(&mut endpoint.pending_fragments).saturating_sub(1);
        if pending_fragments == 0 {
            bytes.append(&mut endpoint.held_back);
        }
        self.write(token, &bytes);
        self.endpoints.entry(token).and_modify(|endpoint| endpoint.pending_fragments = pending_fragments);
    }

    /// Closes or resets a connection, or closes a listener. The kernel decides what the peer sees of it.
    pub(crate) fn close(&mut self, token: u64, reset: bool) {
        let Some(endpoint) = self.endpoints.remove(&token) else { return };
        if let (Some(stream), true) = (&endpoint.stream, reset) {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
        match endpoint.role {
            Role::Server { server, .. } => self.server_connection_ended(token, server),
            Role::Client { client, node } => self.client_closed_here(client, node),
            Role::Discovery { .. } => self.discovery.connection_ended(token),
            _ => {}
        }
    }

    /// Lets nothing pass on a server's connection any more: its peer does not learn of it.
    pub(crate) fn silence(&mut self, token: u64) {
        self.pause(token, true);
        let Some(endpoint) = self.endpoints.get_mut(&token) else { return };
        (endpoint.is_silent, endpoint.is_forgotten) = (true, true);
        if let Role::Server { server, .. } = endpoint.role {
            self.server_connection_ended(token, server);
        }
    }

    /// Tokens of the connections and listeners whose role matches.
    pub(crate) fn tokens_where(&self, matches: impl Fn(Role) -> bool) -> Vec<u64> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| matches(endpoint.role))
            .map(|(token, _)| *token)
            .collect()
    }
}

impl Endpoint {
    fn new(role: Role, stream: Option<TcpStream>, listener: Option<TcpListener>) -> Endpoint {
        let decoder = Decoder::default();
        let (unsent, held_back) = (Vec::new(), Vec::new());
        let (read_delay, paused, is_forgotten, is_silent) = (0, false, false, false);
        Endpoint {
            role,
            stream,
            listener,
            decoder,
            unsent,
            read_delay,
            paused,
            is_forgotten,
            is_silent,
            pending_fragments: 0,
            held_back,
        }
    }
}
