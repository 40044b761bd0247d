//! Ends of sessions that are lost with their connections: media servers that follow the protocol, in virtual
//! time, behind connections that break.

use std::collections::{BTreeMap, BTreeSet};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally_front::core::Decider;

use super::super::owed_ends::MAX_CHECK_DELAY;
use super::descriptor_limits::node_with_few_descriptors;
use super::*;

const STEP: Micros = 10_000;
/// The protocol's limit for an end that could not be sent at once, with its tolerance.
const TOLD_WITHIN: Micros = 8_050_000;

/// What a media server does with its connections.
#[derive(Clone, Debug, Default)]
struct FakeServer {
    /// Its process accepts and reads nothing until then.
    hangs_until: Micros,
    /// Connections that the kernel has accepted for it, in order.
    waiting: Vec<ConnId>,
    /// Accepted connections, in order.
    accepted: Vec<ConnId>,
    /// Ends that are sent once more on the next connection.
    owed: Vec<u64>,
}

/// How a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    Reset,
    Closed,
    /// Neither side learns of it.
    Silent,
}

const CUTS: [Cut; 3] = [Cut::Reset, Cut::Closed, Cut::Silent];

/// A front node and media servers that follow the protocol.
struct Network<D> {
    node: TestNode<D>,
    servers: BTreeMap<ServerId, FakeServer>,
    address_of: BTreeMap<SocketAddr, ServerId>,
    server_of: BTreeMap<ConnId, ServerId>,
    /// Connections on which nothing passes any more.
    silent: BTreeSet<ConnId>,
    /// Ends that the servers have sent, and that the client was told, with their times.
    ended: BTreeMap<u64, Micros>,
    told: BTreeMap<u64, Micros>,
    dials: usize,
}

impl<D: Decider> Network<D> {
    fn new(node: TestNode<D>, servers: u32) -> Network<D> {
        Network {
            node,
            servers: (0..servers).map(|id| (ServerId(id), FakeServer::default())).collect(),
            address_of: (0..servers).map(|id| (address(id), ServerId(id))).collect(),
            server_of: BTreeMap::new(),
            silent: BTreeSet::new(),
            ended: BTreeMap::new(),
            told: BTreeMap::new(),
            dials: 0,
        }
    }

    /// Connections that their servers have accepted and on which messages pass.
    fn open_connections(&self) -> Vec<ConnId> {
        let accepted = self.servers.values().flat_map(|server| server.accepted.iter().copied());
        accepted.filter(|conn| self.node.core.pool.exists(*conn) && !self.silent.contains(conn)).collect()
    }

    fn hangs(&self, server: ServerId) -> bool {
        self.servers[&server].hangs_until > self.node.now
    }

    /// Passes an event to the node and executes the commands that follow.
    fn input(&mut self, event: NodeEvent) {
        self.node.core.handle(self.node.now, event, &mut self.node.out);
        self.node.core.decide(self.node.now, &mut self.node.out);
        let commands = std::mem::take(&mut self.node.out);
        commands.into_iter().for_each(|command| self.execute(command));
        self.check_invariant();
    }

    /// Servers that hold sessions and may owe ends are checked soon enough.
    fn check_invariant(&self) {
        for (server, since, next_check) in self.node.core.owed_ends.checks() {
            assert!(next_check <= self.node.now.max(since) + MAX_CHECK_DELAY, "{server:?} since {since}");
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Connect(conn, to) => {
                self.dials += 1;
                let server = self.address_of[&to];
                self.server_of.insert(conn, server);
                self.servers.get_mut(&server).unwrap().waiting.push(conn);
                self.input(NodeEvent::ConnectEnded(conn, Ok(())));
                self.accept(server);
            }
            Command::FinishServer(conn) => {
                let server = self.server_of[&conn];
                if !self.silent.contains(&conn) && !self.hangs(server) {
                    self.servers.get_mut(&server).unwrap().accepted.retain(|other| *other != conn);
                    self.input(NodeEvent::ServerClosed(conn));
                }
            }
            // The process of a server that hangs still takes the connection from its queue later on.
            Command::CloseServer(conn) => {
                self.silent.insert(conn);
                let server = self.server_of[&conn];
                self.servers.get_mut(&server).unwrap().accepted.retain(|other| *other != conn);
            }
            Command::SendToServer(conn, message) if message.kind == kind::SET_UP => {
                let server = self.server_of[&conn];
                if !self.silent.contains(&conn) && !self.hangs(server) {
                    self.input(NodeEvent::ServerMessage(conn, answer_message(message.session)));
                }
            }
            Command::SendToClient(client, message) if message.kind == kind::RELEASE => {
                self.told.entry(message.session).or_insert(self.node.now);
                let heard = Message::new(kind::RELEASE_ACK, message.session);
                self.input(NodeEvent::ClientMessage(client, heard));
            }
            _ => {}
        }
    }

    /// The process of a server takes the connections that wait, and sends what it owes on the first.
    fn accept(&mut self, server: ServerId) {
        if self.hangs(server) {
            return;
        }
        let state = self.servers.get_mut(&server).unwrap();
        for conn in std::mem::take(&mut state.waiting) {
            let state = self.servers.get_mut(&server).unwrap();
            let owed = std::mem::take(&mut state.owed);
            if self.silent.contains(&conn) {
                continue;
            }
            state.accepted.push(conn);
            for id in owed {
                self.input(NodeEvent::ServerMessage(conn, Message::release(id, cause::NORMAL)));
            }
            if self.node.core.pool.is_finishing(conn) {
                self.execute(Command::FinishServer(conn));
            }
        }
    }

    fn cut(&mut self, conn: ConnId, cut: Cut) {
        let server = self.server_of[&conn];
        self.silent.insert(conn);
        if cut == Cut::Silent {
            return;
        }
        self.servers.get_mut(&server).unwrap().accepted.retain(|other| *other != conn);
        let event = if cut == Cut::Reset { NodeEvent::ServerReset } else { NodeEvent::ServerClosed };
        self.input(event(conn));
    }

    /// A session ends at its server, on the connection of its set-up or any other. The connection may be cut,
    /// and the end lost with it.
    fn end_session(&mut self, id: u64, cut: Option<Cut>) {
        let Some(entry) = self.node.core.sessions.get(&id) else { return };
        let Some(playing) = entry.session.playing() else { return };
        let (server, own) = (playing.attempt.server, entry.conn);
        if self.ended.contains_key(&id) || self.hangs(server) {
            return;
        }
        self.ended.insert(id, self.node.now);
        let state = self.servers.get_mut(&server).unwrap();
        state.owed.push(id);
        let own = own.filter(|own| state.accepted.contains(own));
        let Some(conn) = own.or(state.accepted.last().copied()) else { return };
        match cut {
            Some(cut) => self.cut(conn, cut),
            None if self.silent.contains(&conn) => {}
            None => self.input(NodeEvent::ServerMessage(conn, Message::release(id, cause::NORMAL))),
        }
    }

    /// Lets time pass; servers that have stopped hanging go on.
    fn advance(&mut self, span: Micros) {
        let until = self.node.now + span;
        while self.node.now < until {
            self.node.now += STEP;
            self.input(NodeEvent::Tick);
            for server in self.servers.keys().copied().collect::<Vec<_>>() {
                self.accept(server);
                let accepted = self.servers[&server].accepted.clone();
                for conn in accepted {
                    if self.node.core.pool.is_finishing(conn) {
                        self.execute(Command::FinishServer(conn));
                    }
                }
            }
        }
    }

    fn assert_told(&self, what: &str) {
        for (id, at) in &self.ended {
            let told = self.told.get(id).unwrap_or(&Micros::MAX);
            assert!(*told <= at + TOLD_WITHIN, "{what}: {id} ended at {at}, told at {told}");
        }
    }
}

impl Network<ScriptedDecider> {
    fn set_up(&mut self, id: u64, server: u32) {
        self.node.core.decider.0.push_back(Action::SetUp(session_id(id), ServerId(server), SECOND));
        self.input(NodeEvent::ClientMessage(ClientId(1), request_message(id, "clip", "")));
    }
}

fn scripted_network() -> Network<ScriptedDecider> {
    Network::new(TestNode::with(ScriptedDecider::default()), SERVER_COUNT)
}

/// A network with session 1 on the first of two connections to server 0, the second of which is in use.
fn two_connections_in_use() -> Network<ScriptedDecider> {
    let mut network = scripted_network();
    network.set_up(1, 0);
    network.advance(21 * SECOND / 10);
    network.set_up(2, 0);
    assert_eq!(network.node.core.pool.connections_to(ServerId(0)).len(), 2);
    network
}

// Guards against an end that is never told because another connection to its server is in use.
#[test]
fn end_lost_with_one_of_two_connections_is_told_within_eight_seconds() {
    for cut in CUTS {
        let mut network = two_connections_in_use();
        network.end_session(1, Some(cut));
        for id in 3..60 {
            network.set_up(id, 0);
            network.advance(SECOND / 5);
        }
        network.assert_told(&format!("{cut:?}"));
        assert_eq!(network.node.core.owed_ends_status(), (0, None), "{cut:?}: proven");
    }
}

// Guards against an end that is lost because the next connection was lost as well.
#[test]
fn end_lost_with_several_connections_in_a_row_is_told_within_eight_seconds() {
    for cut in CUTS {
        let mut network = two_connections_in_use();
        network.end_session(1, Some(cut));
        for _ in 0..3 {
            let newest = *network.server_of.keys().last().unwrap();
            if network.node.core.pool.exists(newest) {
                network.servers.get_mut(&ServerId(0)).unwrap().owed.push(1);
                network.cut(newest, Cut::Reset);
            }
            network.set_up(network.dials as u64 + 100, 0);
            network.advance(SECOND / 2);
        }
        for id in 3..60 {
            network.set_up(id, 0);
            network.advance(SECOND / 5);
        }
        network.assert_told(&format!("{cut:?}"));
    }
}

#[test]
fn server_without_sessions_is_not_checked_after_a_lost_connection() {
    let mut network = two_connections_in_use();
    for id in [1, 2] {
        network.end_session(id, None);
    }
    let dials = network.dials;
    for conn in network.node.core.pool.connections_to(ServerId(0)) {
        network.cut(conn, Cut::Reset);
    }
    network.advance(SECOND);
    assert_eq!(network.dials, dials);
}

#[test]
fn server_that_closes_each_connection_at_once_is_not_dialled_without_a_pause() {
    let mut network = two_connections_in_use();
    let dials = network.dials;
    for _ in 0..200 {
        for conn in network.node.core.pool.connections_to(ServerId(0)).into_iter().skip(1) {
            network.cut(conn, Cut::Reset);
        }
        network.advance(STEP);
    }
    assert!(network.dials - dials <= 15, "{} in 2 s", network.dials - dials);
}

// Guards against a loss that nothing notices, whatever breaks: checks after each input that it is noticed.
#[test]
fn every_end_is_told_within_eight_seconds_under_random_cuts_hangs_and_few_descriptors() {
    for seed in 0..30 {
        let mut draws = Pcg32::seed_from_u64(seed);
        let mut draw = |count: u32| draws.next_u32() % count;
        let few = seed % 2 == 0;
        let (node, servers) = match few {
            true => (node_with_few_descriptors(96), 40),
            false => (TestNode::with(ScriptedDecider::default()), SERVER_COUNT),
        };
        let mut network = Network::new(node, servers);
        let mut id = 0;
        for step in 0..2_500 {
            match draw(40) {
                0..=3 => {
                    id += 1;
                    network.set_up(id, draw(servers));
                }
                4 | 5 if id > 0 => {
                    let cut = (draw(3) == 0).then(|| CUTS[draw(3) as usize]);
                    network.end_session(u64::from(draw(id as u32)) + 1, cut);
                }
                // A connection that its server has not taken yet is not cut: the server sends an end once
                // more, not twice.
                6 => {
                    let conns = network.open_connections();
                    if !conns.is_empty() {
                        network.cut(conns[draw(conns.len() as u32) as usize], CUTS[draw(3) as usize]);
                    }
                }
                7 if step < 2_000 && draw(4) == 0 => {
                    let until = network.node.now + Micros::from(draw(3_000)) * 1_000;
                    network.servers.get_mut(&ServerId(draw(servers))).unwrap().hangs_until = until;
                }
                _ => {}
            }
            network.advance(STEP);
        }
        network.advance(9 * SECOND);
        assert!(network.ended.len() > 20, "seed {seed}: {} ends", network.ended.len());
        network.assert_told(&format!("seed {seed}"));
    }
}

// Guards against a release that goes to a connection which was closed for room before its server had taken it.
#[test]
fn ends_at_servers_that_hang_are_told_though_connections_are_scarce() {
    let mut network = Network::new(node_with_few_descriptors(72), 40);
    for id in 0..80 {
        network.set_up(id + 1, id as u32 % 40);
        network.advance(SECOND / 25);
    }
    network.advance(2 * SECOND);
    let mut hanging = BTreeSet::new();
    for _ in 0..1_000 {
        let rests = |server: u32| network.servers[&ServerId(server)].accepted.is_empty();
        let resting =
            (0..40).filter(|server| hanging.len() < 4 && !hanging.contains(server) && rests(*server));
        for server in resting.collect::<Vec<u32>>() {
            network.end_session(u64::from(server) + 1, None);
            network.servers.get_mut(&ServerId(server)).unwrap().hangs_until = network.node.now + 4 * SECOND;
            hanging.insert(server);
        }
        network.advance(STEP);
    }
    assert!(hanging.len() >= 4, "{hanging:?}");
    network.assert_told("hanging servers");
}

/// Requests a session at the first server; returns the connection of its set-up.
fn request_at_first(node: &mut TestNode<ScriptedDecider>, id: u64) -> ConnId {
    node.core.decider.0.push_back(Action::SetUp(session_id(id), ServerId(0), SECOND));
    let out = node.send_request(id, "clip");
    let mut all = out.clone();
    all.extend(node.establish(&out));
    sent_set_up(&all).expect("set up").0
}

/// Sessions whose ends are told, and acknowledged, within this time, while servers take all connections.
fn told_within(node: &mut TestNode<ScriptedDecider>, span: Micros) -> Vec<u64> {
    let (until, mut told) = (node.now + span, Vec::new());
    while let Some(due) = node.core.next_due().filter(|due| *due < until) {
        node.now = node.now.max(due);
        let out = node.handle(NodeEvent::Tick);
        told.extend(sent_to_client(&out).filter(|m| m.kind == kind::RELEASE).map(|m| m.session));
        node.acknowledge(&out);
        node.establish(&out);
    }
    told
}

// Guards against a process that is taken for the old one because the resets of its connections are read one by one.
#[test]
fn ends_the_sessions_of_a_replaced_process_though_a_new_connection_is_up_between_the_resets() {
    let mut node = TestNode::with(ScriptedDecider::default());
    let mut conns: Vec<ConnId> = (1..=5).map(|id| request_at_first(&mut node, id)).collect();
    conns.dedup();
    assert_eq!(conns.len(), 2);
    for id in 1..=5 {
        let conn = node.core.sessions[&id].conn.unwrap();
        node.handle(NodeEvent::ServerMessage(conn, answer_message(id)));
    }
    node.now += SECOND;
    node.handle(NodeEvent::ServerReset(conns[0]));
    node.now += 5_000;
    let out = node.handle(NodeEvent::Tick);
    node.establish(&out);
    assert_eq!(node.core.pool.connections_to(ServerId(0)).len(), 2, "one of them is new");
    node.now += 5_000;
    node.handle(NodeEvent::ServerReset(conns[1]));
    assert_eq!(told_within(&mut node, 8 * SECOND), [1, 2, 3, 4, 5]);
}

// Guards against sessions that are left out because they were set up between a reset and the death of the process.
#[test]
fn ends_the_sessions_of_a_replaced_process_that_were_set_up_after_an_earlier_reset() {
    let mut node = TestNode::with(ScriptedDecider::default());
    for id in 1..=2 {
        let conn = request_at_first(&mut node, id);
        node.handle(NodeEvent::ServerMessage(conn, answer_message(id)));
        node.now += SECOND / 10;
        let out = node.handle(NodeEvent::ServerReset(conn));
        node.establish(&out);
        node.now += SECOND / 2;
    }
    assert_eq!(told_within(&mut node, 7 * SECOND), [1, 2]);
}

// Guards against an end that is found out late and then waits for acknowledgements until its time is over.
#[test]
fn tries_all_clients_with_the_end_of_a_session_at_a_replaced_process_in_the_time_that_is_left() {
    const CLIENTS: u64 = 20;
    let mut node = TestNode::with(ScriptedDecider::default());
    let conn = request_at_first(&mut node, 1);
    node.handle(NodeEvent::ServerMessage(conn, answer_message(1)));
    node.now += SECOND;
    let out = node.handle(NodeEvent::ServerReset(conn));
    node.establish(&out);
    let (until, mut tried) = (node.now + 8 * SECOND, BTreeSet::new());
    for client in 2..=CLIENTS {
        node.handle(NodeEvent::ClientConnected(ClientId(client)));
        let test = Message::new(kind::TEST, 0).with(code::CAUSE, [0]);
        node.handle(NodeEvent::ClientMessage(ClientId(client), test));
    }
    while let Some(due) = node.core.next_due().filter(|due| *due < until) {
        node.now = node.now.max(due);
        let out = node.handle(NodeEvent::Tick);
        tried.extend(out.iter().filter_map(|command| match command {
            Command::SendToClient(client, message) if message.kind == kind::RELEASE => Some(client.0),
            _ => None,
        }));
        node.establish(&out);
    }
    assert_eq!(tried, (1..=CLIENTS).collect());
}
