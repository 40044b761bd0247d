//! The protocol in virtual time: a front node with the production decider, or with a scripted one that may
//! ask for anything.

use std::net::SocketAddr;

use salttally::controller::Controller;
use salttally::interface::*;
use salttally::platform_settings::PlatformSettings;

use super::*;
use crate::wire::frames::{Frame, Payload};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;
const SERVER_COUNT: u32 = 3;

/// Two classes: `clip` may be set up again, `paid` is set up at most once and never plays on the lowest rung.
fn platform_settings() -> PlatformSettings {
    PlatformSettings::parse(
        r#"{"balancers": 1, "zone": 0, "localities": ["a"], "host_types": ["k"],
        "classes": [
          {"name": "clip", "aim_ms": 1500, "deadline_ms": 4000, "effect": "idempotent", "gain": 1},
          {"name": "paid", "aim_ms": 1000, "deadline_ms": 4000, "effect": "at_most_once", "gain": 3}],
        "domain": {"positions": 3, "racks": 0, "kb_per_weight": 10000, "links_kb": 30000, "kind_streams": [20],
          "rung_kb": [200, 400, 800], "worth_by_rung": [0.2, 0.6, 1], "lowest_rung": [0, 1], "top_by_class": [2, 2],
          "reports_every_ms": 3000, "seen_after_ms": 800, "change_costs_s": 0.5},
        "load_report": {"names": ["active", "x0"], "source": "answers"},
        "policy_limits": {"max_attempts": 3, "max_retry_after_ms": 1000, "retry_after": true, "probes": false,
          "connect_timeout_ms": 250, "conn_idle_ms": 15000, "max_streams": 4},
        "safety": {"answer_slack_ms": 40, "drain_grace_ms": 2000, "warm_up_ms": 1000, "cold_from": 0.5,
          "fall_multiple": 3, "fall_ms": 1500}}"#,
    )
    .unwrap()
}

fn resources(sockets: usize) -> Resources {
    Resources { sockets, memory_bytes: 192 << 20 }
}

fn address(id: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, id as u8 + 1], 3868))
}

fn listed(id: u32) -> ListEntry {
    let entry = ServerEntry { server: ServerId(id), cell: id, units: 1.0, ..ServerEntry::default() };
    ListEntry { entry, address: address(id) }
}

/// A decider that returns the actions given by the test, and records the events.
#[derive(Default)]
struct ScriptedDecider(VecDeque<Action>, Vec<Event>);

impl Decider for ScriptedDecider {
    fn handle(&mut self, _: Micros, event: &Event, out: &mut Vec<Action>) {
        out.extend(self.0.drain(..));
        self.1.push(event.clone());
    }
}

struct TestNode<D> {
    core: Core<D>,
    now: Micros,
    out: Vec<Command>,
}

impl TestNode<Controller> {
    fn new() -> Self {
        TestNode::with(Controller::new(platform_settings().settings, 7))
    }
}

impl TestNode<ScriptedDecider> {
    /// A node that has heard the list, with this many servers and clients.
    fn with_servers(servers: u32, clients: u64, resources: Resources) -> Self {
        TestNode::start(ScriptedDecider::default(), platform_settings(), resources, servers, clients)
    }

    /// A client hands over a session that plays at this server by its word.
    fn hand_over(&mut self, client: u64, id: u64, server: u32) -> Vec<Command> {
        let message = request_message(id, "paid", &format!(";at:s-{server:08x}"));
        self.handle(NodeEvent::ClientMessage(ClientId(client), message))
    }
}

impl<D: Decider> TestNode<D> {
    fn with(decider: D) -> Self {
        TestNode::start(decider, platform_settings(), resources(256), SERVER_COUNT, 1)
    }

    fn start(
        decider: D,
        platform_settings: PlatformSettings,
        resources: Resources,
        servers: u32,
        clients: u64,
    ) -> Self {
        let core = Core::new(decider, platform_settings, resources, START);
        let mut node = TestNode { core, now: START, out: Vec::new() };
        let known = (0..servers).map(listed).collect();
        node.core.start(START, known, 5, address(200), &mut node.out);
        node.list_frame(1, 5, Payload::Unchanged);
        (1..=clients).for_each(|client| drop(node.handle(NodeEvent::ClientConnected(ClientId(client)))));
        node
    }

    fn handle(&mut self, input: NodeEvent) -> Vec<Command> {
        self.core.handle(self.now, input, &mut self.out);
        // As the edge does once the sockets are empty.
        self.core.decide(self.now, &mut self.out);
        self.assert_sessions_indexed();
        let mut all = std::mem::take(&mut self.out);
        // Media servers close the connections that are being finished.
        let finished = |command: &Command| match command {
            Command::FinishServer(conn) => Some(*conn),
            _ => None,
        };
        for conn in all.iter().filter_map(finished).collect::<Vec<_>>() {
            all.extend(self.handle(NodeEvent::ServerClosed(conn)));
        }
        // Clients close the connections that are closed here.
        let closed = |command: &Command| match command {
            Command::CloseClient(client) => Some(*client),
            _ => None,
        };
        for client in all.iter().filter_map(closed).collect::<Vec<_>>() {
            all.extend(self.handle(NodeEvent::ClosedClientGone(client)));
        }
        all
    }

    /// Asserts that the index of sessions by server names what a walk over all sessions finds.
    fn assert_sessions_indexed(&self) {
        let sessions = &self.core.sessions;
        let mut by_server: BTreeMap<ServerId, Vec<u64>> = BTreeMap::new();
        for (id, entry) in sessions.iter() {
            if let Some(attempt) = entry.session.current_attempt() {
                by_server.entry(attempt.server).or_default().push(*id);
            }
        }
        let indexed = |server| (server, sessions.at(server).map(|(id, _)| id).collect::<Vec<_>>());
        assert_eq!(sessions.servers().map(indexed).collect::<BTreeMap<_, _>>(), by_server);
    }

    /// Acknowledges the releases that were sent to clients in `out`.
    fn acknowledge(&mut self, out: &[Command]) -> Vec<Command> {
        let mut all = Vec::new();
        for command in out {
            let Command::SendToClient(client, message) = command else { continue };
            if message.kind == kind::RELEASE {
                let acknowledgement = Message::new(kind::RELEASE_ACK, message.session);
                all.extend(self.handle(NodeEvent::ClientMessage(*client, acknowledgement)));
            }
        }
        all
    }

    /// Handles an event; media servers do not close the connections that are being finished.
    fn handle_without_closes(&mut self, input: NodeEvent) -> Vec<Command> {
        self.core.handle(self.now, input, &mut self.out);
        self.core.decide(self.now, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// Fires the timers due now; media servers do not close the connections that are being finished.
    fn tick_without_closes(&mut self) -> Vec<Command> {
        self.handle_without_closes(NodeEvent::Tick)
    }

    fn list_frame(&mut self, connection: u64, number: u64, payload: Payload) -> Vec<Command> {
        self.handle(NodeEvent::ListFrame(connection, Frame { number, payload }))
    }

    /// Advances the time, stopping at each timer.
    fn advance(&mut self, span: Micros) -> Vec<Command> {
        let (until, mut all) = (self.now + span, Vec::new());
        while let Some(due) = self.core.next_due().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            all.extend(self.handle(NodeEvent::Tick));
        }
        self.now = until;
        all
    }

    fn send_request(&mut self, id: u64, class: &str) -> Vec<Command> {
        self.handle(NodeEvent::ClientMessage(ClientId(1), request_message(id, class, "")))
    }

    /// Establishes the connections dialled in `out`; returns the commands that follow.
    fn establish(&mut self, out: &[Command]) -> Vec<Command> {
        let dials: Vec<ConnId> = out
            .iter()
            .filter_map(|o| match o {
                Command::Connect(conn, _) => Some(*conn),
                _ => None,
            })
            .collect();
        dials.into_iter().flat_map(|conn| self.handle(NodeEvent::ConnectEnded(conn, Ok(())))).collect()
    }

    /// Requests a session that then plays; returns the connection of its set-up and the server's address.
    fn start_session(&mut self, id: u64, class: &str) -> (ConnId, SocketAddr) {
        let out = self.send_request(id, class);
        let mut all = out.clone();
        all.extend(self.establish(&out));
        let (conn, _) = sent_set_up(&all).expect("set up");
        let at = self.core.sessions[&id].session.current_attempt().unwrap().address;
        let answered = self.handle(NodeEvent::ServerMessage(conn, answer_message(id)));
        assert!(sent_to_client(&answered).any(|message| message.kind == kind::ANSWER));
        (conn, at)
    }
}

fn request_message(id: u64, class: &str, more: &str) -> Message {
    Message::new(kind::SET_UP, id)
        .with(code::CLASS, class)
        .with(code::WAIT_MS, "4000")
        .with(code::TITLE, "7f3a9c21e0b4d655")
        .with(code::REQUEST_FIELDS, format!("home:0;copies:3;top:2;viewer:{id:016x}{more}"))
        .with(code::DESCRIPTION, "offer")
}

fn answer_message(id: u64) -> Message {
    Message::new(kind::ANSWER, id).with(code::DESCRIPTION, "made by a server")
}

fn without_logs(out: Vec<Command>) -> Vec<Command> {
    out.into_iter().filter(|command| !matches!(command, Command::Log(..))).collect()
}

fn sent_to_client(out: &[Command]) -> impl Iterator<Item = &Message> {
    out.iter().filter_map(|o| match o {
        Command::SendToClient(_, message) => Some(message),
        _ => None,
    })
}

fn sent_to_server(out: &[Command], kind: u8) -> Vec<(ConnId, &Message)> {
    let all = out.iter().filter_map(|o| match o {
        Command::SendToServer(conn, message) => Some((*conn, message)),
        _ => None,
    });
    all.filter(|(_, message)| message.kind == kind).collect()
}

fn sent_set_up(out: &[Command]) -> Option<(ConnId, &Message)> {
    sent_to_server(out, kind::SET_UP).pop()
}

mod crossings;
mod departed_clients;
mod descriptor_limits;
mod hand_overs;
mod list;
mod owed_ends;
mod releases;
mod resends;
mod shutdown;

#[test]
fn forwards_the_description_unchanged_and_drops_a_duplicate_answer() {
    let mut node = TestNode::new();
    let out = node.send_request(9, "clip");
    let out = node.establish(&out);
    let (conn, message) = sent_set_up(&out).unwrap();
    assert_eq!(message.text(code::DESCRIPTION), Some("offer"));
    assert_eq!(message.text(code::TITLE), Some("7f3a9c21e0b4d655"));
    assert_eq!(
        sent_to_client(&node.handle(NodeEvent::ServerMessage(conn, answer_message(77)))).count(),
        0,
        "answer under an unknown id"
    );
    let out = node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
    assert_eq!(sent_to_client(&out).next(), Some(&answer_message(9)));
    assert_eq!(sent_to_client(&node.handle(NodeEvent::ServerMessage(conn, answer_message(9)))).count(), 0);
    assert_eq!(node.core.counts().played, 1);
}

#[test]
fn sends_the_give_up_of_a_timed_out_attempt_before_the_next_attempt_on_a_new_connection() {
    let mut node = TestNode::new();
    let out = node.send_request(9, "clip");
    let out = node.establish(&out);
    let (first, _) = sent_set_up(&out).unwrap();
    let out = node.advance(SECOND);
    let give_up = out.iter().position(
        |o| matches!(o, Command::SendToServer(on, m) if *on == first && m.kind == kind::RELEASE && m.cause() == Some(16)),
    );
    let next_dial = out.iter().position(|o| matches!(o, Command::Connect(..)));
    assert!(give_up.unwrap() < next_dial.unwrap(), "{out:?}");
    let second = node.establish(&out);
    let (second, _) = sent_set_up(&second).unwrap();
    assert_ne!(first, second);
    // The answer to the first attempt arrives too late, and is ignored.
    assert_eq!(sent_to_client(&node.handle(NodeEvent::ServerMessage(first, answer_message(9)))).count(), 0);
    assert_eq!(sent_to_client(&node.handle(NodeEvent::ServerMessage(second, answer_message(9)))).count(), 1);
}

#[test]
fn sends_nothing_new_on_a_connection_with_a_missing_answer_even_if_notes_arrive_on_it() {
    let mut node = TestNode::with(ScriptedDecider::default());
    let request_conn = |node: &mut TestNode<ScriptedDecider>, id: u64| {
        node.core.decider.0.push_back(Action::SetUp(session_id(id), ServerId(0), SECOND / 2));
        let out = node.send_request(id, "clip");
        let mut all = out.clone();
        all.extend(node.establish(&out));
        sent_set_up(&all).map(|(conn, _)| conn).expect("sent")
    };
    let first = request_conn(&mut node, 1);
    node.handle(NodeEvent::ServerMessage(first, answer_message(1)));
    assert_eq!(request_conn(&mut node, 2), first, "a working connection is reused");
    node.advance(SECOND / 4);
    node.handle(NodeEvent::ServerMessage(
        first,
        Message::new(kind::NOTE, 1).with(24, "port").with(39, "0.5"),
    ));
    node.advance(SECOND / 2);
    assert_ne!(request_conn(&mut node, 3), first);
}

#[test]
fn closes_and_counts_an_undecodable_connection_and_fails_its_set_up() {
    let mut node = TestNode::new();
    let out = node.send_request(9, "paid");
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).unwrap();
    let out = node.handle(NodeEvent::ServerUnreadable(conn));
    assert!(
        out.contains(&Command::CloseServer(conn))
            && sent_to_client(&out).any(|m| m.cause() == Some(FAILED_CAUSE))
    );
    assert_eq!(node.core.counts().unreadable, 1);
}

#[test]
fn ignores_a_late_answer_of_the_same_server_during_the_next_attempt() {
    let mut node = TestNode::with(ScriptedDecider::default());
    let set_up_conn_after = |node: &mut TestNode<ScriptedDecider>, input: NodeEvent| {
        let out = node.handle(input);
        let mut all = out.clone();
        all.extend(node.establish(&out));
        sent_set_up(&all).map(|(conn, _)| conn).expect("sent")
    };
    let attempt = Action::SetUp(session_id(9), ServerId(0), SECOND / 2);
    node.core.decider.0.push_back(attempt.clone());
    let first =
        set_up_conn_after(&mut node, NodeEvent::ClientMessage(ClientId(1), request_message(9, "clip", "")));
    // The attempt times out, the media server acknowledges the give-up, and the next attempt goes to the same
    // server.
    node.now += SECOND / 2;
    node.tick_without_closes();
    node.core.decider.0.push_back(attempt);
    let second =
        set_up_conn_after(&mut node, NodeEvent::ServerMessage(first, Message::new(kind::RELEASE_ACK, 9)));
    assert_ne!(first, second);
    assert_eq!(sent_to_client(&node.handle(NodeEvent::ServerMessage(first, answer_message(9)))).count(), 0);
    assert_eq!(sent_to_client(&node.handle(NodeEvent::ServerMessage(second, answer_message(9)))).count(), 1);
}

#[test]
fn retries_an_at_most_once_session_only_if_its_set_up_never_ran() {
    // A connection refused or not established in time: not a byte was written.
    for error in [DialError::Refused, DialError::TimedOut] {
        let mut node = TestNode::new();
        let out = node.send_request(9, "paid");
        let Some(Command::Connect(conn, _)) = out.iter().find(|o| matches!(o, Command::Connect(..))) else {
            panic!()
        };
        let out = node.handle(NodeEvent::ConnectEnded(*conn, Err(error)));
        assert!(out.iter().any(|o| matches!(o, Command::Connect(..))), "{out:?}");
    }
    // Refused by a server that is full, or never sent.
    for (cause, is_retried) in
        [(cause::FULL, true), (cause::NOT_SENT, true), (cause::ERROR, false), (99, false)]
    {
        let mut node = TestNode::new();
        let out = node.send_request(9, "paid");
        let out = node.establish(&out);
        let (conn, _) = sent_set_up(&out).unwrap();
        let out = node.handle(NodeEvent::ServerMessage(conn, Message::release(9, cause)));
        assert_eq!(out.iter().any(|o| matches!(o, Command::Connect(..))), is_retried, "{cause}: {out:?}");
        let failed = sent_to_client(&out).any(|m| m.kind == kind::RELEASE && m.cause() == Some(FAILED_CAUSE));
        assert_eq!(failed, !is_retried, "{cause}");
    }
    // The connection ends after the set-up was written.
    let mut node = TestNode::new();
    let out = node.send_request(9, "paid");
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).unwrap();
    let out = node.handle(NodeEvent::ServerClosed(conn));
    assert!(sent_to_client(&out).any(|m| m.cause() == Some(FAILED_CAUSE)) && sent_set_up(&out).is_none());
}

#[test]
fn closed_connection_ends_its_open_set_ups_and_not_the_playing_sessions() {
    let mut node = TestNode::new();
    let (conn, at) = node.start_session(1, "clip");
    let mut open = None;
    for id in 2..40 {
        let out = node.send_request(id, "clip");
        if sent_set_up(&out).is_some_and(|(on, _)| on == conn) {
            open = Some(id);
            break;
        }
        node.establish(&out);
    }
    let open = open.expect("a second set-up on the same connection");
    let out = node.handle(NodeEvent::ServerClosed(conn));
    assert!(node.core.sessions[&1].session.playing().is_some());
    assert!(
        !node.core.pool.in_flight_set_ups().contains(&open) || node.core.sessions[&open].session.attempts > 1
    );
    assert!(
        out.iter().any(|o| matches!(o, Command::Connect(_, to) if *to == at)),
        "the server is checked: {out:?}"
    );
}

#[test]
fn connection_carries_no_more_set_ups_than_the_settings_allow() {
    let mut node = TestNode::with(ScriptedDecider::default());
    for id in 1..=30 {
        node.core.decider.0.push_back(Action::SetUp(session_id(id), ServerId(0), 0));
        let out = node.send_request(id, "clip");
        node.establish(&out);
    }
    let mut set_ups_by_conn = BTreeMap::new();
    for entry in node.core.sessions.values() {
        *set_ups_by_conn.entry(entry.conn).or_insert(0) += 1;
    }
    assert_eq!(set_ups_by_conn.remove(&None), Some(6), "six connections to a server, four set-ups on each");
    assert_eq!(set_ups_by_conn.into_values().collect::<Vec<_>>(), [4; 6]);
}

#[test]
fn probe_does_not_fail_while_its_connection_is_being_established() {
    let probed = |event: &Event| match event {
        Event::Probed { outcome, report, .. } => Some((*outcome, report.clone())),
        _ => None,
    };
    let probe_requested = || {
        let mut node = TestNode::with(ScriptedDecider::default());
        node.core.decider.0.push_back(Action::Probe(ServerId(1)));
        let out = node.send_request(1, "clip");
        (node, out)
    };
    let (mut node, out) = probe_requested();
    let out = node.establish(&out);
    let (conn, message) = sent_to_server(&out, kind::TEST)[0];
    let passed = Message::new(kind::TEST_RESULT, message.session).with(code::CAUSE, [1]);
    node.handle(NodeEvent::ServerMessage(conn, passed.with(code::REPORT, "active:3;x0:0.5")));
    node.advance(SECOND);
    let probes: Vec<_> = node.core.decider.1.iter().filter_map(probed).collect();
    assert_eq!(probes, [(Outcome::Ok, vec![3.0, 0.5])]);
    // A probe whose connection is refused fails at once; one without an answer fails after its time-out.
    let (mut node, out) = probe_requested();
    let Some(Command::Connect(conn, _)) = out.last() else { panic!("{out:?}") };
    node.handle(NodeEvent::ConnectEnded(*conn, Err(DialError::Refused)));
    assert_eq!(node.core.decider.1.iter().find_map(probed), Some((Outcome::NoConnection, vec![])));
    let (mut node, out) = probe_requested();
    node.establish(&out);
    node.advance(SECOND);
    assert_eq!(node.core.decider.1.iter().find_map(probed), Some((Outcome::TimedOut, vec![])));
}

#[test]
fn distinguishes_a_dead_server_process_from_a_broken_connection_and_releases_its_clients() {
    let mut node = TestNode::new();
    let (conn, at) = node.start_session(1, "clip");
    let out = node.handle(NodeEvent::ServerClosed(conn));
    assert_eq!(sent_to_client(&out).count(), 0, "a closed connection ends no playing session");
    let dial = |out: &[Command]| {
        out.iter().find_map(|o| match o {
            Command::Connect(conn, to) if *to == at => Some(*conn),
            _ => None,
        })
    };
    let check = dial(&out).expect("a health check");
    let mut out = node.handle(NodeEvent::ConnectEnded(check, Err(DialError::Refused)));
    assert_eq!(sent_to_client(&out).count(), 0);
    out.extend(node.advance(SECOND / 5));
    let check = dial(&out).expect("a second health check");
    let out = node.handle(NodeEvent::ConnectEnded(check, Err(DialError::Refused)));
    let released: Vec<_> = sent_to_client(&out).map(|m| (m.kind, m.session, m.cause())).collect();
    assert_eq!(released, [(kind::RELEASE, 1, Some(cause::BROKEN))]);
    assert!(node.core.sessions.is_empty() && node.core.health.states().next().is_none());
}

// Guards against the end of all sessions at a server that takes no further connection while one to it is open.
#[test]
fn refusal_beside_an_established_connection_ends_no_session() {
    let mut node = TestNode::new();
    let (conn, _) = node.start_session(1, "clip");
    let dial = |out: &[Command]| {
        out.iter().find_map(|o| match o {
            Command::Connect(conn, _) => Some(*conn),
            _ => None,
        })
    };
    let refuse_checks = |node: &mut TestNode<Controller>, span: Micros| {
        let (until, mut all) = (node.now + span, Vec::new());
        while node.now < until {
            node.now += SECOND / 100;
            all.extend(node.tick_without_closes());
            let dialed: Vec<ConnId> = all.iter().filter_map(|o| dial(std::slice::from_ref(o))).collect();
            for check in dialed {
                let refused = NodeEvent::ConnectEnded(check, Err(DialError::Refused));
                node.core.handle(node.now, refused, &mut node.out);
            }
        }
        all
    };
    // The server is silent for 2 s, and refuses the connections with which it is checked.
    let out = refuse_checks(&mut node, 5 * SECOND);
    assert_eq!(node.core.gauges()[1], 1, "the session plays");
    assert!(out.contains(&Command::FinishServer(conn)) || node.core.pool.is_finishing(conn));
    // It closes the finished connection, and has room for the next one.
    node.handle(NodeEvent::ServerClosed(conn));
    let out = node.advance(SECOND);
    assert!(dial(&out).is_some());
    node.establish(&out);
    assert_eq!(node.core.gauges()[1], 1);
    // A reset of the last connection shows that the process has died.
    let mut node = TestNode::new();
    let (conn, _) = node.start_session(1, "clip");
    refuse_checks(&mut node, 3 * SECOND);
    let mut out = Vec::new();
    node.core.handle(node.now, NodeEvent::ServerReset(conn), &mut out);
    out.extend(refuse_checks(&mut node, SECOND));
    assert_eq!(node.core.gauges()[1], 0, "{out:?}");
}

#[test]
fn detects_a_vanished_machine_within_eight_seconds_though_its_connection_stays_open() {
    let mut node = TestNode::new();
    node.start_session(1, "clip");
    let (mut released, until) = (None, node.now + 8 * SECOND);
    while released.is_none() && node.now < until {
        // Nothing is received, and no new connection is established: the connection attempts time out.
        let out = node.advance(SECOND / 20);
        released = sent_to_client(&out).find(|m| m.kind == kind::RELEASE).map(|_| node.now);
    }
    assert!(released.is_some());
    assert_eq!(node.core.gauges()[..2], [0, 0]);
}

#[test]
fn silent_server_that_accepts_connections_keeps_its_sessions() {
    let mut node = TestNode::new();
    node.start_session(1, "clip");
    for _ in 0..600 {
        let out = node.advance(SECOND / 20);
        assert_eq!(sent_to_client(&out).count(), 0);
        node.establish(&out);
    }
    assert_eq!(node.core.gauges()[1], 1);
    assert!(node.core.pool.connections_to(ServerId(0)).len() <= 4, "health checks do not pile up");
}

// If the connection were closed at once, what its media server sends on it at that instant would be lost.
#[test]
fn handles_messages_on_a_finishing_idle_connection_and_concludes_nothing_from_its_close() {
    let mut node = TestNode::new();
    let (conn, _) = node.start_session(1, "clip");
    node.start_session(2, "clip");
    let mut out = Vec::new();
    while !out.contains(&Command::FinishServer(conn)) {
        node.now = node.core.next_due().expect("the connection is finished").max(node.now);
        out.clear();
        node.core.handle(node.now, NodeEvent::Tick, &mut out);
        let dials: Vec<Command> = out.iter().filter(|o| matches!(o, Command::Connect(..))).cloned().collect();
        node.establish(&dials);
    }
    // Nothing new is sent on it, but messages on it are still handled.
    let out = node.send_request(3, "clip");
    assert!(!out.iter().any(|o| matches!(o, Command::SendToServer(on, _) if *on == conn)), "{out:?}");
    let out = node.handle(NodeEvent::ServerMessage(conn, Message::release(1, cause::NORMAL)));
    assert!(sent_to_client(&out).any(|m| m.kind == kind::RELEASE && m.session == 1), "{out:?}");
    let out = node.handle(NodeEvent::ServerClosed(conn));
    assert_eq!(out, [], "no health check after a connection that was finished here");
    assert!(!node.core.pool.exists(conn));
}

#[test]
fn new_server_at_a_reused_address_ends_the_sessions_of_the_old_one() {
    let mut node = TestNode::new();
    let (conn, at) = node.start_session(1, "clip");
    let old = node.core.sessions[&1].session.current_attempt().unwrap().server;
    let removed = ServerEntry { server: old, state: ServerState::Removed, ..ServerEntry::default() };
    let new = ServerEntry { server: ServerId(90), cell: old.0, units: 1.0, ..ServerEntry::default() };
    let records = vec![ListEntry { entry: removed, address: at }, ListEntry { entry: new, address: at }];
    let out = node.list_frame(1, 6, Payload::Changes(records));
    assert!(
        out.contains(&Command::CloseServer(conn)),
        "a connection to the old server is never used for the new one"
    );
    assert!(sent_to_client(&out).any(|m| m.kind == kind::RELEASE && m.session == 1));
    assert!(node.core.pool.connections_to(ServerId(90)).is_empty());
}

#[test]
fn restarted_server_loses_the_sessions_set_up_before_its_start_and_no_later_ones() {
    let mut node = TestNode::new();
    node.start_session(1, "clip");
    let server = node.core.sessions[&1].session.current_attempt().unwrap().server;
    node.advance(SECOND);
    let mut restarted = listed(server.0);
    restarted.entry.started = Some(node.now - SECOND / 2);
    let out = node.list_frame(1, 6, Payload::Changes(vec![restarted.clone()]));
    assert!(sent_to_client(&out).any(|m| m.kind == kind::RELEASE && m.session == 1));
    node.start_session(2, "clip");
    let server = node.core.sessions[&2].session.current_attempt().unwrap().server;
    let mut update = listed(server.0);
    update.entry.started = Some(node.now - SECOND);
    let out = node.list_frame(1, 7, Payload::Changes(vec![update]));
    assert_eq!(sent_to_client(&out).count(), 0);
}

#[test]
fn client_may_end_its_session_on_any_connection_and_gets_no_release() {
    let mut node = TestNode::new();
    let (conn, _) = node.start_session(1, "clip");
    node.handle(NodeEvent::ClientClosed(ClientId(1)));
    assert_eq!(node.core.gauges()[1], 1, "a playing session belongs to no connection");
    node.handle(NodeEvent::ClientConnected(ClientId(2)));
    let out = node.handle(NodeEvent::ClientMessage(ClientId(2), Message::release(1, 16)));
    let kinds: Vec<u8> = sent_to_client(&out).map(|m| m.kind).collect();
    assert_eq!(kinds, [kind::RELEASE_ACK]);
    assert_eq!(sent_to_server(&out, kind::RELEASE).len(), 1);
    assert_eq!(
        sent_to_client(&node.handle(NodeEvent::ServerMessage(conn, Message::release(1, 31)))).count(),
        0
    );
    assert!(node.core.sessions.is_empty());
}

#[test]
fn client_that_gives_up_gets_no_answer_and_its_set_up_is_withdrawn() {
    let mut node = TestNode::new();
    let out = node.send_request(9, "paid");
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).unwrap();
    let out = node.handle(NodeEvent::ClientMessage(ClientId(1), Message::release(9, 16)));
    assert_eq!(sent_to_server(&out, kind::RELEASE), [(conn, &Message::release(9, 16))]);
    assert_eq!(
        sent_to_client(&node.handle(NodeEvent::ServerMessage(conn, answer_message(9)))).count(),
        0,
        "the answer crossed the give-up"
    );
    assert!(node.core.sessions.is_empty());
    // The same when the client's connection is closed, and no second copy of the request arrives: once its time is over.
    let out = node.send_request(10, "paid");
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).unwrap();
    let out = node.handle(NodeEvent::ClientClosed(ClientId(1)));
    assert_eq!(sent_to_server(&out, kind::RELEASE).len(), 0);
    let out = node.advance(350_000);
    assert_eq!(sent_to_server(&out, kind::RELEASE).len(), 0, "its client may wait for a connection");
    let out = node.advance(4 * SECOND);
    assert_eq!(sent_to_server(&out, kind::RELEASE)[0], (conn, &Message::release(10, 16)));
    assert!(sent_to_server(&out, kind::SET_UP).is_empty());
    assert!(node.core.sessions.is_empty());
}

#[test]
fn connection_without_requests_after_a_give_up_is_closed_when_idle() {
    let mut node = TestNode::new();
    let out = node.send_request(9, "clip");
    node.establish(&out);
    node.handle(NodeEvent::ClientMessage(ClientId(1), Message::release(9, 16)));
    let out = node.advance(9 * SECOND);
    assert!(out.contains(&Command::CloseClient(ClientId(1))), "the connection has no session");
}

#[test]
fn fails_an_undecided_request_once_at_its_deadline() {
    let mut node = TestNode::with(ScriptedDecider::default());
    node.send_request(9, "clip");
    let out = node.advance(4 * SECOND + 45_000);
    let answers: Vec<_> = sent_to_client(&out).map(|m| (m.kind, m.session)).collect();
    assert_eq!(answers, [(kind::RELEASE, 9)]);
    assert_eq!(node.core.counts().overdue, 1);
    assert!(node.core.sessions.is_empty());
}

#[test]
fn allows_one_answer_and_one_attempt_whatever_the_decider_asks_for() {
    let mut node = TestNode::with(ScriptedDecider::default());
    let id = session_id(9);
    let actions = [
        Action::SetUp(id.clone(), ServerId(0), 0),
        Action::SetUp(id.clone(), ServerId(1), 0),
        Action::Refuse(id.clone(), 0),
        Action::Fail(id.clone()),
        Action::Move(id.clone()),
        Action::SetRung(id, 9),
    ];
    node.core.decider.0.extend(actions);
    let out = node.send_request(9, "paid");
    assert_eq!(out.iter().filter(|o| matches!(o, Command::Connect(..))).count(), 1);
    let answers: Vec<_> = sent_to_client(&out).map(|m| m.cause()).collect();
    assert_eq!(answers, [Some(FAILED_CAUSE)], "one answer, and no refusal while the set-up may run");
    assert!(node.core.counts().stopped >= 4);
}

#[test]
fn answers_invalid_requests_without_asking_the_decider() {
    let mut node = TestNode::new();
    let invalid_request = |id: u64, code: u8, value: &str| {
        let mut message = request_message(id, "clip", "");
        message.parameters.retain(|(other, _)| *other != code);
        message.with(code, value)
    };
    for (n, message) in [
        invalid_request(11, code::CLASS, "gold"),
        invalid_request(12, code::WAIT_MS, "-4"),
        invalid_request(13, code::WAIT_MS, "nan"),
        invalid_request(14, code::TITLE, "seven"),
        invalid_request(15, code::LENGTH_HINT_MS, "1e300"),
        invalid_request(16, code::REQUEST_FIELDS, "home:9;copies:3;top:2;viewer:0000000000000010"),
        invalid_request(17, code::REQUEST_FIELDS, "home:0;copies:4;top:2;viewer:0000000000000010"),
        invalid_request(18, code::REQUEST_FIELDS, "home:0;copies:3;top:3;viewer:0000000000000010"),
        invalid_request(19, code::DESCRIPTION, ""),
        request_message(0, "clip", ""),
        Message::new(kind::SET_UP, 21),
    ]
    .into_iter()
    .enumerate()
    {
        let out = node.handle(NodeEvent::ClientMessage(ClientId(1), message));
        let answers: Vec<_> = sent_to_client(&out).map(|m| (m.kind, m.cause())).collect();
        assert_eq!(answers, [(kind::RELEASE, Some(cause::INVALID))], "{n}");
    }
    assert_eq!((node.core.counts().taken, node.core.counts().unusable), (0, 11));
}

#[test]
fn request_under_an_open_id_closes_its_own_connection_and_no_other() {
    let mut node = TestNode::new();
    let out = node.send_request(9, "clip");
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).unwrap();
    node.handle(NodeEvent::ClientConnected(ClientId(2)));
    let out = node.handle(NodeEvent::ClientMessage(ClientId(2), request_message(9, "paid", "")));
    assert_eq!(without_logs(out), [Command::CloseClient(ClientId(2))]);
    let out = node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
    assert!(matches!(out[0], Command::SendToClient(ClientId(1), _)));
    // On the same connection, the first request is answered before the connection closes.
    node.send_request(10, "clip");
    let out = node.send_request(10, "clip");
    assert!(
        sent_to_client(&out).any(|m| m.session == 10) && out.contains(&Command::CloseClient(ClientId(1)))
    );
}

#[test]
fn closes_silent_connections_first_for_lack_of_room_and_all_after_a_time_out() {
    let mut node = TestNode::new();
    node.start_session(1, "clip");
    let mut closed = Vec::new();
    for id in 2..400 {
        closed.extend(node.handle(NodeEvent::ClientConnected(ClientId(id))));
    }
    assert_eq!(closed, [], "what they sent may be unread");
    closed.extend(node.advance(SECOND / 10));
    closed.extend(node.handle(NodeEvent::ClientConnected(ClientId(400))));
    assert!(node.core.gauges()[2] <= 128);
    assert!(!closed.contains(&Command::CloseClient(ClientId(400))));
    assert!(!closed.contains(&Command::CloseClient(ClientId(1))), "a viewer keeps its connection");
    node.advance(3 * SECOND);
    assert_eq!(node.core.gauges()[2], 1);
}

// Guards against half requests that keep the places of others, and against a new connection that is closed unread.
#[test]
fn closes_connections_with_half_a_message_for_lack_of_room_and_after_a_time_out() {
    let mut node = TestNode::new();
    let test = Message::new(kind::TEST, 1).with(code::CAUSE, [0]);
    for id in 2..=128 {
        node.handle(NodeEvent::ClientConnected(ClientId(id)));
        node.handle(NodeEvent::ClientMessage(ClientId(id), test.clone()));
        if id > 2 {
            node.handle(NodeEvent::ClientPartial(ClientId(id)));
        }
    }
    node.advance(SECOND);
    let out = node.handle(NodeEvent::ClientConnected(ClientId(129)));
    assert_eq!(without_logs(out), [Command::CloseClient(ClientId(1))], "the silent one");
    let out = node.handle(NodeEvent::ClientConnected(ClientId(130)));
    assert_eq!(without_logs(out), [Command::CloseClient(ClientId(3))], "the first of those that stopped");
    let out = node.handle(NodeEvent::ClientMessage(ClientId(4), test));
    assert!(!out.contains(&Command::CloseClient(ClientId(4))));
    node.advance(SECOND * 11 / 10);
    assert_eq!(node.core.gauges()[2], 4, "the idle one, the one that went on, and the new ones");
    let out = node.handle(NodeEvent::ClientsWaiting);
    let closed = out.iter().filter(|command| matches!(command, Command::CloseClient(_))).count();
    assert_eq!(closed, 4, "no place is left at all: {out:?}");
}

// Guards against requests that wait in the listener's queue behind a crowd of which few connections give way at once.
#[test]
fn all_connections_of_no_use_give_way_at_once_and_idle_ones_a_few_at_a_time() {
    let mut node = TestNode::new();
    let test = Message::new(kind::TEST, 1).with(code::CAUSE, [0]);
    for id in 2..=100 {
        node.handle(NodeEvent::ClientConnected(ClientId(id)));
        if id <= 40 {
            node.handle(NodeEvent::ClientMessage(ClientId(id), test.clone()));
        }
    }
    node.advance(SECOND / 10);
    let closed = |out: Vec<Command>| without_logs(out).len();
    assert_eq!(closed(node.handle(NodeEvent::ClientsWaiting)), 61, "the silent ones");
    assert_eq!(closed(node.handle(NodeEvent::ClientsWaiting)), 8, "idle ones");
}

// Guards against requests that wait behind thousands of another client's.
#[test]
fn refuses_requests_beyond_a_clients_share_while_too_many_are_open() {
    let mut node = TestNode::with(ScriptedDecider::default());
    node.handle(NodeEvent::ClientConnected(ClientId(2)));
    let refused = |out: &[Command]| {
        sent_to_client(out).any(|message| message.cause() == Some(cause::FULL) && message.get(21).is_some())
    };
    let first = (1..=400).find(|id| refused(&node.send_request(*id, "paid")));
    assert_eq!(first, Some(257));
    for id in 1_000..1_100 {
        let request = request_message(id, "paid", "");
        assert!(!refused(&node.handle(NodeEvent::ClientMessage(ClientId(2), request))), "{id}");
    }
    let out = node.handle(NodeEvent::ClientMessage(ClientId(1), Message::release(1, cause::NORMAL)));
    assert!(!refused(&out) && refused(&node.send_request(401, "paid")), "others have a part now");
}

#[test]
fn session_handed_over_twice_is_resumed_once_and_its_server_is_checked() {
    let mut node = TestNode::new();
    let hand_over = request_message(5, "paid", ";at:s-00000001");
    let out = node.handle(NodeEvent::ClientMessage(ClientId(1), hand_over.clone()));
    assert_eq!(sent_to_client(&out).count(), 0, "a hand-over gets no answer");
    assert!(out.iter().any(|o| matches!(o, Command::Connect(_, to) if *to == address(1))));
    assert_eq!(node.handle(NodeEvent::ClientMessage(ClientId(1), hand_over)), []);
    assert_eq!((node.core.counts().resumed, node.core.gauges()[1]), (1, 1));
}

#[test]
fn lowers_the_rung_of_a_resumed_session_at_its_server() {
    let sent_rung = |reported: Option<usize>, to: usize| {
        let mut node = TestNode::with(ScriptedDecider::default());
        let out =
            node.handle(NodeEvent::ClientMessage(ClientId(1), request_message(5, "clip", ";at:s-00000001")));
        node.establish(&out);
        let conn = node.core.pool.connections_to(ServerId(1))[0];
        if let Some(rung) = reported {
            let note = Message::new(kind::NOTE, 5).with(24, "level").with(39, rung.to_string());
            node.handle(NodeEvent::ServerMessage(conn, note));
        }
        node.core.decider.0.push_back(Action::SetRung(session_id(5), to));
        let out = node.handle(NodeEvent::ServerMessage(
            conn,
            Message::new(kind::NOTE, 5).with(24, "port").with(39, "1.5"),
        ));
        sent_to_server(&out, kind::RUNG)
            .into_iter()
            .filter_map(|(_, m)| m.text(code::RUNG)?.parse().ok())
            .next()
    };
    assert_eq!(sent_rung(Some(2), 0), Some(0), "the front assumed the lowest rung already");
    assert_eq!(sent_rung(None, 0), Some(0));
    assert_eq!(sent_rung(Some(1), 1), None, "an unchanged rung is not sent");
}

#[test]
fn ends_a_moved_session_at_its_server_and_recognises_the_returning_client() {
    let mut node = TestNode::with(ScriptedDecider::default());
    node.core.decider.0.push_back(Action::SetUp(session_id(1), ServerId(0), 0));
    let (conn, _) = node.start_session(1, "clip");
    node.core.decider.0.push_back(Action::Move(session_id(1)));
    let out = node
        .handle(NodeEvent::ServerMessage(conn, Message::new(kind::NOTE, 1).with(24, "port").with(39, "0.5")));
    assert_eq!(sent_to_client(&out).map(|m| m.kind).collect::<Vec<_>>(), [kind::MOVE]);
    let out = node.advance(SECOND);
    assert_eq!(sent_to_server(&out, kind::RELEASE).len(), 1, "the server did not end the session by itself");
    assert!(node.core.sessions.is_empty() && node.core.moved_clients.len() == 1);
    node.handle(NodeEvent::ClientMessage(ClientId(1), request_message(2, "clip", "").with(33, "5")));
    assert_eq!(node.core.moved_clients.len(), 1, "the request is from another viewer");
    let mut return_request = request_message(3, "clip", "");
    return_request.parameters.retain(|(code, _)| *code != code::REQUEST_FIELDS);
    let fields = format!("home:0;copies:3;top:2;viewer:{:016x};again:1", 1);
    node.handle(NodeEvent::ClientMessage(ClientId(1), return_request.with(code::REQUEST_FIELDS, fields)));
    assert!(node.core.moved_clients.is_empty());
}

#[test]
fn reconnects_to_the_coordinator_after_a_gap_a_break_or_silence_and_ignores_duplicates() {
    let mut node = TestNode::new();
    let removal = |id: u32| {
        let mut record = listed(id);
        record.entry.state = ServerState::Removed;
        Payload::Changes(vec![record])
    };
    node.list_frame(1, 6, removal(0));
    assert_eq!(node.core.servers.ids().count(), 2);
    node.list_frame(1, 6, removal(1));
    assert_eq!(node.core.servers.ids().count(), 2, "a duplicate event");
    let out = node.list_frame(1, 8, removal(1));
    assert!(out.contains(&Command::ConnectList(2, address(200), 6)), "{out:?}");
    assert!(node.list_frame(1, 7, removal(1)).is_empty(), "the earlier connection is closed");
    node.list_frame(2, 7, removal(1));
    assert_eq!(node.core.servers.ids().count(), 1);
    node.handle(NodeEvent::ListClosed(2));
    let out = node.advance(SECOND / 5);
    assert!(out.contains(&Command::ConnectList(3, address(200), 7)), "{out:?}");
    node.handle(NodeEvent::ListConnected(3));
    let out = node.advance(5 * SECOND / 2);
    assert!(out.contains(&Command::ConnectList(4, address(200), 7)), "silent: {out:?}");
    let out = node.handle(NodeEvent::CoordinatorMoved(address(201)));
    assert!(out.contains(&Command::ConnectList(5, address(201), 7)), "{out:?}");
}

#[test]
fn passes_the_readiness_test_only_with_a_list_and_not_during_shutdown() {
    let passes = |node: &mut TestNode<Controller>| {
        let out = node.handle(NodeEvent::ClientMessage(
            ClientId(1),
            Message::new(kind::TEST, 0).with(code::CAUSE, [0]),
        ));
        let cause = sent_to_client(&out).next().and_then(Message::cause);
        cause == Some(1)
    };
    let core = Core::new(
        Controller::new(platform_settings().settings, 7),
        platform_settings(),
        resources(256),
        START,
    );
    let mut node = TestNode { core, now: START, out: Vec::new() };
    node.core.start(START, (0..SERVER_COUNT).map(listed).collect(), 5, address(200), &mut node.out);
    node.handle(NodeEvent::ClientConnected(ClientId(1)));
    assert!(!passes(&mut node));
    node.list_frame(1, 5, Payload::Unchanged);
    assert!(passes(&mut node));
    node.handle(NodeEvent::Shutdown);
    assert!(!passes(&mut node));
}

#[test]
fn serves_late_requests_during_shutdown_and_answers_all_of_them() {
    let mut node = TestNode::new();
    node.start_session(1, "clip");
    node.handle(NodeEvent::Shutdown);
    node.advance(SECOND / 2);
    let out = node.send_request(2, "clip");
    let mut all = out.clone();
    all.extend(node.establish(&out));
    let (conn, _) = sent_set_up(&all).expect("the request is still served");
    let out = node.advance(SECOND / 2);
    assert!(!out.contains(&Command::Exit), "a request is still open");
    let mut out = node.handle(NodeEvent::ServerMessage(conn, answer_message(2)));
    assert!(sent_to_client(&out).any(|m| m.kind == kind::ANSWER && m.session == 2));
    assert!(!out.contains(&Command::Exit), "no exit before the sockets are read");
    out.extend(node.handle(NodeEvent::Tick));
    assert!(!out.contains(&Command::Exit), "no exit before the server has read the releases");
    out.extend(node.handle(NodeEvent::Tick));
    assert!(!out.contains(&Command::Exit), "no exit before the clients have acknowledged the releases");
    node.acknowledge(&out);
    assert!(!node.handle(NodeEvent::Tick).contains(&Command::Exit), "no exit before the clients have closed");
    assert!(node.handle(NodeEvent::Tick).contains(&Command::Exit));
    let released = sent_to_client(&out).filter(|m| m.kind == kind::RELEASE).map(|m| m.session);
    assert_eq!(released.collect::<Vec<_>>(), [1, 2], "the clients can go elsewhere at once");
}

#[test]
fn thousands_of_sessions_leave_no_state_behind() {
    let mut node = TestNode::new();
    for id in 1..=2_000u64 {
        let out = node.send_request(id, if id % 3 == 0 { "paid" } else { "clip" });
        let mut all = out.clone();
        all.extend(node.establish(&out));
        if let Some((conn, _)) = sent_set_up(&all) {
            match id % 5 {
                0 => drop(node.handle(NodeEvent::ServerMessage(conn, Message::release(id, cause::FULL)))),
                1 => drop(node.handle(NodeEvent::ClientMessage(ClientId(1), Message::release(id, 16)))),
                2 => drop(node.handle(NodeEvent::ServerClosed(conn))),
                _ => {
                    node.handle(NodeEvent::ServerMessage(conn, answer_message(id)));
                    node.handle(NodeEvent::ServerMessage(conn, Message::release(id, cause::NORMAL)));
                }
            }
        }
        let out = node.advance(SECOND / 50);
        node.establish(&out);
    }
    for _ in 0..400 {
        let out = node.advance(SECOND / 10);
        node.establish(&out);
    }
    let [sessions, playing, clients, connections, timers] = node.core.gauges();
    assert_eq!((sessions, playing, connections), (0, 0, 0));
    assert!(clients <= 1 && timers < 12, "{clients} {timers}");
    assert!(node.core.probes.is_empty() && node.core.pool.in_flight_set_ups().is_empty());
}

#[test]
fn refuses_at_once_with_a_hold_off_time_when_no_server_is_left() {
    let mut node = TestNode::new();
    let records = (0..SERVER_COUNT).map(|id| {
        let mut record = listed(id);
        record.entry.state = ServerState::Draining;
        record
    });
    node.list_frame(1, 6, Payload::Changes(records.collect()));
    let out = node.send_request(9, "paid");
    let answer = sent_to_client(&out).next().expect("an answer at once");
    assert_eq!((answer.cause(), answer.text(code::HOLD_OFF_MS)), (Some(cause::FULL), Some("1000")));
    assert!(node.core.sessions.is_empty());
}

#[test]
fn drain_during_a_set_up_keeps_the_session_and_stops_further_set_ups() {
    let mut node = TestNode::new();
    let out = node.send_request(1, "clip");
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).unwrap();
    let draining = node.core.sessions[&1].session.current_attempt().unwrap().server;
    let mut update = listed(draining.0);
    update.entry.state = ServerState::Draining;
    node.list_frame(1, 6, Payload::Changes(vec![update]));
    let out = node.handle(NodeEvent::ServerMessage(conn, answer_message(1)));
    assert!(sent_to_client(&out).any(|m| m.kind == kind::ANSWER));
    for id in 2..12 {
        let (_, at) = node.start_session(id, "clip");
        assert_ne!(at, address(draining.0));
    }
}

#[test]
fn forwards_a_duplicate_release_on_another_connection_once() {
    let mut node = TestNode::new();
    let (conn, at) = node.start_session(1, "clip");
    let out = node.handle(NodeEvent::ServerClosed(conn));
    let check = out.iter().find_map(|o| match o {
        Command::Connect(conn, to) if *to == at => Some(*conn),
        _ => None,
    });
    let other = check.expect("a new connection");
    node.handle(NodeEvent::ConnectEnded(other, Ok(())));
    let release = Message::release(1, cause::NORMAL);
    let out = node.handle(NodeEvent::ServerMessage(other, release.clone()));
    assert_eq!(sent_to_client(&out).collect::<Vec<_>>(), [&release]);
    let out = node.handle(NodeEvent::ServerMessage(other, release));
    assert_eq!(sent_to_client(&out).count(), 0);
    assert_eq!(sent_to_server(&out, kind::RELEASE_ACK).len(), 1);
}

#[test]
fn accepts_a_request_again_on_a_new_connection_after_a_close() {
    let mut node = TestNode::new();
    node.handle(NodeEvent::ClientConnected(ClientId(2)));
    node.handle(NodeEvent::ClientMessage(ClientId(2), request_message(9, "paid", "")));
    node.handle(NodeEvent::ClientClosed(ClientId(2)));
    assert!(node.core.sessions.is_empty(), "the client is gone");
    let out = node.send_request(9, "paid");
    let mut all = out.clone();
    all.extend(node.establish(&out));
    let (conn, _) = sent_set_up(&all).expect("a second request");
    let out = node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
    assert_eq!(out[0], Command::SendToClient(ClientId(1), answer_message(9)));
}

#[test]
fn handles_an_unread_answer_before_its_time_out_and_never_after_the_deadline() {
    for (stopped, plays) in [(3 * SECOND, true), (5 * SECOND, false)] {
        let mut node = TestNode::with(ScriptedDecider::default());
        node.core.decider.0.push_back(Action::SetUp(session_id(1), ServerId(0), SECOND));
        let out = node.send_request(1, "paid");
        let established = node.establish(&out);
        let (conn, _) = sent_set_up(&established).expect("set up");
        // The process is stopped past the set-up's time-out of one second; the answer waits in its sockets.
        node.now += stopped;
        node.handle(NodeEvent::ListFrame(1, Frame { number: 5, payload: Payload::Unchanged }));
        let out = node.handle(NodeEvent::ServerMessage(conn, answer_message(1)));
        let kinds: Vec<u8> = sent_to_client(&out).map(|message| message.kind).collect();
        assert_eq!(kinds, [if plays { kind::ANSWER } else { kind::RELEASE }], "{stopped}");
        let ended = sent_to_server(&out, kind::RELEASE).len();
        assert_eq!(
            ended,
            usize::from(!plays),
            "a session that no client learns of is released at its server"
        );
        assert_eq!(sent_to_client(&node.handle(NodeEvent::Tick)).count(), 0, "one answer");
    }
}
