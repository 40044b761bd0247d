//! Pairs of events that cross, each in the order that is harder to handle. Where a process test forces the
//! same order over sockets, docs/design/crossings.md names it.

use super::*;

fn state_change(id: u32, state: ServerState) -> Payload {
    let mut record = listed(id);
    record.entry.state = state;
    Payload::Changes(vec![record])
}

fn set_up_at(server: u32) -> Action {
    Action::SetUp(session_id(9), ServerId(server), 2 * SECOND)
}

/// A request whose set-up waits for the connection to media server 0.
fn waiting_set_up(class: &str) -> (TestNode<ScriptedDecider>, ConnId) {
    let mut node = TestNode::with(ScriptedDecider::default());
    node.core.decider.0.push_back(set_up_at(0));
    let out = node.send_request(9, class);
    let conn = out.iter().find_map(|o| match o {
        Command::Connect(conn, _) => Some(*conn),
        _ => None,
    });
    (node, conn.expect("dialled"))
}

/// The same with the set-up written.
fn written_set_up(class: &str) -> (TestNode<ScriptedDecider>, ConnId) {
    let (mut node, conn) = waiting_set_up(class);
    assert!(sent_set_up(&node.handle(NodeEvent::ConnectEnded(conn, Ok(())))).is_some());
    (node, conn)
}

fn outcomes(node: &TestNode<ScriptedDecider>) -> Vec<Outcome> {
    let ended_outcome = |event: &Event| match event {
        Event::Ended { outcome, .. } => Some(*outcome),
        _ => None,
    };
    node.core.decider.1.iter().filter_map(ended_outcome).collect()
}

fn no_set_up(out: &[Command]) -> bool {
    sent_to_server(out, kind::SET_UP).is_empty()
}

#[test]
fn forwards_no_request_of_a_client_that_left_during_the_dial() {
    let departures = [
        NodeEvent::ClientClosed(ClientId(1)),
        NodeEvent::ClientHalfClosed(ClientId(1)),
        NodeEvent::ClientMessage(ClientId(1), Message::release(9, cause::NORMAL)),
        NodeEvent::ClientUnreadable(ClientId(1)),
    ];
    for departure in departures {
        let (mut node, conn) = waiting_set_up("paid");
        node.handle(departure.clone());
        assert!(no_set_up(&node.handle(NodeEvent::ConnectEnded(conn, Ok(())))), "{departure:?}");
        assert!(node.core.pool.in_flight_set_ups().is_empty() && node.core.sessions.is_empty());
    }
}

#[test]
fn forwards_no_request_of_a_client_that_left_while_the_connection_was_blocked() {
    let (mut node, conn) = written_set_up("clip");
    node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
    node.core.decider.0.push_back(Action::SetUp(session_id(10), ServerId(0), 0));
    let out = node.send_request(10, "paid");
    let (on, message) = sent_set_up(&out).map(|(on, message)| (on, message.clone())).unwrap();
    assert_eq!(on, conn, "the established connection is used");
    // The edge hands back the messages of which it could not write a byte.
    node.handle(NodeEvent::ServerBlocked(conn, None, vec![message]));
    node.handle(NodeEvent::ClientMessage(ClientId(1), Message::release(10, cause::NORMAL)));
    assert_eq!(outcomes(&node).last(), Some(&Outcome::NoConnection), "the set-up never ran");
    let out = node.handle(NodeEvent::ServerWritable(conn));
    assert!(no_set_up(&out), "{out:?}");
}

#[test]
fn drops_an_unsent_set_up_together_with_its_give_up() {
    let (mut node, conn) = written_set_up("clip");
    node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
    node.core.decider.0.push_back(Action::SetUp(session_id(10), ServerId(0), 0));
    let mut out = node.send_request(10, "paid");
    out.extend(node.handle(NodeEvent::ClientMessage(ClientId(1), Message::release(10, cause::NORMAL))));
    let both = out.iter().filter_map(|o| match o {
        Command::SendToServer(on, message) if *on == conn => Some(message.clone()),
        _ => None,
    });
    let both: Vec<Message> = both.collect();
    assert_eq!(both.len(), 2);
    node.handle(NodeEvent::ServerBlocked(conn, None, both));
    assert_eq!(node.handle(NodeEvent::ServerWritable(conn)), []);
}

#[test]
fn never_completes_a_partly_written_set_up_after_its_client_left() {
    let (mut node, conn) = written_set_up("paid");
    node.handle(NodeEvent::ServerBlocked(conn, Some(9), Vec::new()));
    let out = node.handle(NodeEvent::ClientHalfClosed(ClientId(1)));
    assert!(out.contains(&Command::CloseServer(conn)), "{out:?}");
    assert_eq!(outcomes(&node), [Outcome::NoConnection]);
}

#[test]
fn retries_only_the_unwritten_set_ups_of_a_blocked_connection() {
    let (mut node, conn) = written_set_up("clip");
    node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
    for id in [10, 11] {
        node.core.decider.0.push_back(Action::SetUp(session_id(id), ServerId(0), 0));
        assert!(sent_set_up(&node.send_request(id, "paid")).is_some_and(|(on, _)| on == conn));
    }
    node.handle(NodeEvent::ServerBlocked(conn, None, vec![request_message(11, "paid", "")]));
    // Nothing new is sent on the connection while it is blocked.
    node.core.decider.0.push_back(Action::SetUp(session_id(12), ServerId(0), 0));
    let out = node.send_request(12, "paid");
    assert!(no_set_up(&out) && out.iter().any(|o| matches!(o, Command::Connect(..))), "{out:?}");
    node.core.decider.1.clear();
    let out = node.advance(5 * SECOND / 2);
    assert!(out.contains(&Command::CloseServer(conn)), "the blocked connection is closed: {out:?}");
    let outcome_of = |id: u64| {
        let ended_outcome = |event: &Event| match event {
            Event::Ended { session, outcome, .. } if *session == session_id(id) => Some(*outcome),
            _ => None,
        };
        node.core.decider.1.iter().find_map(ended_outcome)
    };
    assert_eq!((outcome_of(10), outcome_of(11)), (Some(Outcome::Broken), Some(Outcome::NoConnection)));
}

#[test]
fn answers_a_half_closed_client_before_closing_its_connection() {
    let (mut node, conn) = written_set_up("paid");
    let out = node.handle(NodeEvent::ClientHalfClosed(ClientId(1)));
    let answer = out
        .iter()
        .position(|o| matches!(o, Command::SendToClient(_, m) if m.kind == kind::RELEASE && m.session == 9));
    let close = out.iter().position(|o| *o == Command::CloseClient(ClientId(1)));
    assert!(answer.unwrap() < close.unwrap(), "{out:?}");
    assert_eq!(
        sent_to_server(&out, kind::RELEASE).first().map(|(on, _)| *on),
        Some(conn),
        "and the set-up is withdrawn"
    );
}

#[test]
fn late_refusal_of_an_earlier_attempt_ends_neither_the_next_attempt_nor_the_session() {
    for plays in [false, true] {
        let mut node = TestNode::with(ScriptedDecider::default());
        let attempt = Action::SetUp(session_id(9), ServerId(0), SECOND / 2);
        node.core.decider.0.push_back(attempt.clone());
        let out = node.send_request(9, "clip");
        let established = node.establish(&out);
        let (first, _) = sent_set_up(&established).unwrap();
        node.now += SECOND / 2;
        node.tick_without_closes();
        node.core.decider.0.push_back(attempt);
        let out = node.handle(NodeEvent::ServerMessage(first, Message::new(kind::RELEASE_ACK, 9)));
        let established = node.establish(&out);
        let (second, _) = sent_set_up(&established).unwrap();
        assert_ne!(first, second);
        if plays {
            node.handle(NodeEvent::ServerMessage(second, answer_message(9)));
        }
        for cause in [cause::FULL, cause::ERROR, cause::NOT_SENT, cause::ON_PURPOSE] {
            let out = node.handle(NodeEvent::ServerMessage(first, Message::release(9, cause)));
            assert_eq!(sent_to_client(&out).count(), 0, "{plays} {cause}: {out:?}");
        }
        assert_eq!(node.core.sessions[&9].session.playing().is_some(), plays);
        assert_eq!(
            node.core.sessions[&9].session.current_attempt().unwrap().number,
            1,
            "the second attempt is current"
        );
        // The first attempt is over, and never played: the end is that of the second, and is told after its answer.
        let end = Message::release(9, cause::NORMAL);
        let mut out = node.handle(NodeEvent::ServerMessage(first, end.clone()));
        assert_eq!(sent_to_client(&out).count(), usize::from(plays), "{out:?}");
        if !plays {
            assert!(node.core.sessions[&9].session.pending_attempt().is_some(), "it is still out");
            out = node.handle(NodeEvent::ServerMessage(second, answer_message(9)));
        }
        assert_eq!(sent_to_client(&out).last(), Some(&end), "{out:?}");
        assert!(!sent_to_server(&out, kind::RELEASE).is_empty(), "released, in case it plays on");
    }
}

#[test]
fn handles_a_session_end_on_an_earlier_connection_once_the_current_one_is_finishing() {
    let mut node = TestNode::with(ScriptedDecider::default());
    let set_up_conn_after = |node: &mut TestNode<ScriptedDecider>, id: u64, input: NodeEvent| {
        node.core.decider.0.push_back(Action::SetUp(session_id(id), ServerId(0), SECOND / 2));
        let out = node.handle(input);
        let mut all = out.clone();
        all.extend(node.establish(&out));
        sent_set_up(&all).map(|(conn, _)| conn).expect("sent")
    };
    let first = set_up_conn_after(
        &mut node,
        9,
        NodeEvent::ClientMessage(ClientId(1), request_message(9, "clip", "")),
    );
    let refusal = NodeEvent::ServerMessage(first, Message::release(9, cause::NOT_SENT));
    let second = set_up_conn_after(&mut node, 9, refusal);
    assert_ne!(first, second);
    node.handle(NodeEvent::ServerMessage(second, answer_message(9)));
    // Another request times out on the connection of the session, which is finished for that and not closed
    // yet.
    node.now += 1;
    node.handle(NodeEvent::ServerMessage(second, Message::new(kind::PROGRESS, 9)));
    let other = set_up_conn_after(
        &mut node,
        10,
        NodeEvent::ClientMessage(ClientId(1), request_message(10, "clip", "")),
    );
    assert_eq!(other, second);
    node.now += SECOND / 2;
    let out = node.tick_without_closes();
    assert!(out.contains(&Command::FinishServer(second)), "{out:?}");
    let out = node.handle(NodeEvent::ServerMessage(first, Message::release(9, cause::NORMAL)));
    assert!(sent_to_client(&out).any(|message| message.session == 9), "{out:?}");
}

#[test]
fn server_gets_no_second_attempt_until_the_first_is_proven_over() {
    let cases = [
        (Some(Message::new(kind::RELEASE_ACK, 9)), None, true),
        (Some(Message::release(9, cause::FULL)), None, true),
        (None, Some(NodeEvent::ServerClosed as fn(ConnId) -> NodeEvent), true),
        (None, Some(NodeEvent::ServerLost as fn(ConnId) -> NodeEvent), false),
        (Some(answer_message(9)), None, false),
        (Some(Message::new(kind::RELEASE_ACK, 8)), None, false),
    ];
    for (message, close, is_over) in cases {
        let mut node = TestNode::with(ScriptedDecider::default());
        node.core.decider.0.push_back(set_up_at(0));
        let out = node.send_request(9, "clip");
        let established = node.establish(&out);
        let (first, _) = sent_set_up(&established).unwrap();
        node.now += 2 * SECOND;
        node.tick_without_closes();
        match (message, close) {
            (Some(message), _) => drop(node.handle(NodeEvent::ServerMessage(first, message))),
            (_, Some(close)) => drop(node.handle(close(first))),
            _ => {}
        }
        node.core.decider.0.push_back(set_up_at(0));
        // Any event makes the decider act.
        node.handle(NodeEvent::ClientMessage(ClientId(1), request_message(10, "clip", "")));
        let has_attempt = node.core.sessions[&9].session.pending_attempt().is_some();
        assert_eq!(has_attempt, is_over, "{:?}", node.core.decider.1);
    }
}

#[test]
fn attempt_uses_no_connection_of_an_earlier_attempt() {
    let mut node = TestNode::with(ScriptedDecider::default());
    let mut used = Vec::new();
    for server in [0, 1, 0] {
        node.core.decider.0.push_back(set_up_at(server));
        let out = match used.last() {
            None => node.send_request(9, "clip"),
            Some(conn) => node.handle(NodeEvent::ServerMessage(*conn, Message::release(9, cause::FULL))),
        };
        let established = node.establish(&out);
        let (conn, _) = sent_set_up(&established).or(sent_set_up(&out)).expect("set up");
        assert!(!used.contains(&conn), "a duplicate of the refusal would end the attempt");
        used.push(conn);
    }
}

#[test]
fn release_without_a_client_connection_is_sent_on_the_next_one() {
    let mut node = TestNode::new();
    let (conn, _) = node.start_session(1, "clip");
    node.handle(NodeEvent::ClientClosed(ClientId(1)));
    let release = Message::release(1, cause::NORMAL);
    assert_eq!(sent_to_client(&node.handle(NodeEvent::ServerMessage(conn, release.clone()))).count(), 0);
    node.advance(SECOND);
    node.handle(NodeEvent::ClientConnected(ClientId(2)));
    let test = Message::new(kind::TEST, 0).with(code::CAUSE, [0]);
    let out = node.handle(NodeEvent::ClientMessage(ClientId(2), test.clone()));
    assert_eq!(sent_to_client(&out).next(), Some(&release));
    let out = node.handle(NodeEvent::ClientMessage(ClientId(2), test));
    assert!(sent_to_client(&out).all(|m| m.kind != kind::RELEASE), "once");
}

#[test]
fn session_that_ended_before_its_hand_over_is_released_at_the_hand_over() {
    for (cause, client_cause) in
        [(cause::NORMAL, Some(cause::NORMAL)), (99, Some(cause::BROKEN)), (cause::ON_PURPOSE, None)]
    {
        let mut node = TestNode::new();
        let (conn, at) = node.start_session(1, "clip");
        let server = (0..SERVER_COUNT).find(|id| address(*id) == at).unwrap();
        node.handle(NodeEvent::ServerMessage(conn, Message::release(77, cause)));
        let out = node.handle(NodeEvent::ClientMessage(
            ClientId(1),
            request_message(77, "clip", &format!(";at:s-{server:08x}")),
        ));
        let released: Vec<Option<u8>> = sent_to_client(&out).map(Message::cause).collect();
        assert_eq!(released, client_cause.into_iter().map(Some).collect::<Vec<_>>(), "{cause}");
        assert!(!node.core.sessions.contains_key(&77));
    }
}

#[test]
fn drain_withdraws_a_set_up_that_waits_for_its_connection() {
    let (mut node, conn) = waiting_set_up("paid");
    node.list_frame(1, 6, state_change(0, ServerState::Draining));
    assert_eq!(outcomes(&node), [Outcome::NotSent]);
    let list_update = node
        .core
        .decider
        .1
        .iter()
        .position(|e| matches!(e, Event::Servers(ListKind::Changes, l) if !l.is_empty()));
    let ended = node.core.decider.1.iter().position(|e| matches!(e, Event::Ended { .. }));
    assert!(list_update.unwrap() < ended.unwrap(), "otherwise the set-up would be sent there again");
    assert!(no_set_up(&node.handle(NodeEvent::ConnectEnded(conn, Ok(())))));
}

#[test]
fn returned_server_gets_no_set_up_that_waited_for_its_predecessor() {
    let (mut node, conn) = waiting_set_up("paid");
    let out = node.list_frame(1, 6, state_change(0, ServerState::Removed));
    assert!(out.contains(&Command::CloseServer(conn)));
    let ended = node.core.decider.1.iter().position(|e| matches!(e, Event::Ended { .. }));
    let list_update = node.core.decider.1.iter().rposition(|e| matches!(e, Event::Servers(..)));
    assert!(
        list_update.unwrap() < ended.unwrap(),
        "otherwise an attempt would be wasted on a server that is gone"
    );
    let mut returned = listed(7);
    returned.address = address(0);
    node.list_frame(1, 7, Payload::Changes(vec![returned]));
    assert!(no_set_up(&node.handle(NodeEvent::ConnectEnded(conn, Ok(())))));
}

#[test]
fn shutdown_waits_for_the_connections_that_carry_releases() {
    let mut node = TestNode::new();
    let (conn, _) = node.start_session(1, "clip");
    node.handle(NodeEvent::ServerClosed(conn));
    let checks =
        node.core.pool.connections_to(node.core.sessions[&1].session.current_attempt().unwrap().server);
    checks
        .into_iter()
        .for_each(|conn| drop(node.handle(NodeEvent::ConnectEnded(conn, Err(DialError::TimedOut)))));
    node.handle(NodeEvent::Shutdown);
    let mut out = node.advance(9 * SECOND / 10);
    assert!(sent_to_client(&out).any(|m| m.kind == kind::RELEASE && m.session == 1));
    assert!(!out.contains(&Command::Exit), "the server has not got the release: {out:?}");
    node.acknowledge(&out);
    let dials: Vec<Command> = out.iter().filter(|o| matches!(o, Command::Connect(..))).cloned().collect();
    out = node.establish(&dials);
    assert!(sent_to_server(&out, kind::RELEASE).iter().any(|(_, m)| m.session == 1), "{out:?}");
    assert!(
        !node.handle(NodeEvent::Tick).contains(&Command::Exit),
        "the server has not read the release yet"
    );
    node.handle(NodeEvent::Tick);
    assert!(node.handle(NodeEvent::Tick).contains(&Command::Exit), "the server has closed its connection");
}

#[test]
fn unreachable_server_does_not_delay_the_shutdown_past_the_kill() {
    let mut node = TestNode::new();
    let (conn, _) = node.start_session(1, "clip");
    node.handle(NodeEvent::ServerClosed(conn));
    node.handle(NodeEvent::Shutdown);
    // Of the longest deadline, 4 s, only 3 s count; the kill comes 0.7 s later.
    let out = node.advance(3_700_000);
    assert!(out.contains(&Command::Exit), "{out:?}");
    let dials = out.iter().filter(|command| matches!(command, Command::Connect(..))).count();
    assert!(dials >= 4, "the server may come back: {dials} dials");
}

#[test]
fn refuses_a_request_that_is_read_after_all_sessions_were_released() {
    let mut node = TestNode::new();
    let (conn, _) = node.start_session(1, "clip");
    node.handle(NodeEvent::ServerClosed(conn));
    node.handle(NodeEvent::Shutdown);
    while node.core.releasing_until.is_none() {
        node.advance(SECOND / 100);
    }
    let out = node.send_request(2, "paid");
    assert_eq!(sent_to_client(&out).map(Message::cause).collect::<Vec<_>>(), [Some(cause::NOT_SENT)]);
    assert!(no_set_up(&out) && !out.iter().any(|o| matches!(o, Command::Connect(..))));
}

#[test]
fn second_shutdown_signal_or_new_coordinator_does_not_change_the_shutdown() {
    let mut node = TestNode::new();
    node.start_session(1, "clip");
    node.handle(NodeEvent::Shutdown);
    node.advance(SECOND / 2);
    node.handle(NodeEvent::CoordinatorMoved(address(201)));
    node.handle(NodeEvent::Shutdown);
    let mut out = node.advance(SECOND * 3 / 10);
    out = node.acknowledge(&out);
    out.extend(node.advance(SECOND / 5));
    assert!(out.contains(&Command::Exit), "0.8 s after the first");
}

#[test]
fn reconnects_to_a_silent_coordinator_before_a_missed_event_takes_effect() {
    let mut node = TestNode::new();
    // The connection falls silent, and no further one is established. An event that would have been sent
    // takes effect 4 s later.
    node.handle(NodeEvent::ListConnected(1));
    let out = node.advance(4 * SECOND);
    let connections = out.iter().filter(|o| matches!(o, Command::ConnectList(..))).count();
    assert!(connections >= 3, "{connections}");
}

#[test]
fn start_without_a_coordinator_serves_by_the_configured_list() {
    let core = Core::new(
        Controller::new(platform_settings().settings, 7),
        platform_settings(),
        resources(256),
        START,
    );
    let mut node = TestNode { core, now: START, out: Vec::new() };
    node.core.start(START, (0..SERVER_COUNT).map(listed).collect(), 5, address(200), &mut node.out);
    node.advance(2 * SECOND);
    assert!(!node.core.is_ready());
    node.advance(2 * SECOND);
    assert!(node.core.is_ready(), "well within the 10 s of a restart");
    node.handle(NodeEvent::ClientConnected(ClientId(1)));
    node.start_session(1, "paid");
    // A node that was started without a list cannot serve.
    let core = Core::new(
        Controller::new(platform_settings().settings, 7),
        platform_settings(),
        resources(256),
        START,
    );
    let mut node = TestNode { core, now: START, out: Vec::new() };
    node.core.start(START, Vec::new(), 0, address(200), &mut node.out);
    node.advance(20 * SECOND);
    assert!(!node.core.is_ready());
}

// Guards against a node that passes the readiness test with an empty list: it was given clients and could
// serve none.
#[test]
fn node_without_servers_is_not_ready_until_one_is_announced() {
    let core = Core::new(
        Controller::new(platform_settings().settings, 7),
        platform_settings(),
        resources(256),
        START,
    );
    let mut node = TestNode { core, now: START, out: Vec::new() };
    node.core.start(START, Vec::new(), 5, address(200), &mut node.out);
    node.list_frame(1, 5, Payload::Unchanged);
    node.advance(SECOND);
    assert!(!node.core.is_ready(), "the list is known and empty");
    node.list_frame(1, 6, Payload::Full(Vec::new()));
    assert!(!node.core.is_ready(), "a complete list without servers");
    node.list_frame(1, 7, Payload::Changes(vec![listed(0)]));
    assert!(node.core.is_ready());
}

#[test]
fn lack_of_local_descriptors_ends_no_playing_session() {
    let mut node = TestNode::new();
    let (conn, at) = node.start_session(1, "clip");
    let mut out = node.handle(NodeEvent::ServerClosed(conn));
    for _ in 0..100 {
        let dials: Vec<ConnId> = out
            .iter()
            .filter_map(|o| match o {
                Command::Connect(conn, to) if *to == at => Some(*conn),
                _ => None,
            })
            .collect();
        dials
            .into_iter()
            .for_each(|conn| drop(node.handle(NodeEvent::ConnectEnded(conn, Err(DialError::NotTried)))));
        out = node.advance(SECOND / 10);
    }
    assert_eq!(node.core.counts().lost, 0);
    assert!(node.core.sessions[&1].session.playing().is_some());
}

#[test]
fn answer_is_sent_before_the_decider_gets_the_event() {
    let (mut node, conn) = written_set_up("clip");
    let started = |node: &TestNode<ScriptedDecider>| {
        node.core.decider.1.iter().any(|e| matches!(e, Event::Started { .. }))
    };
    let mut out = Vec::new();
    node.core.handle(node.now, NodeEvent::ServerMessage(conn, answer_message(9)), &mut out);
    assert!(sent_to_client(&out).any(|m| m.kind == kind::ANSWER) && !started(&node));
    // Whatever arrives next, the decider gets the answer first.
    node.core.handle(node.now, NodeEvent::ServerMessage(conn, Message::release(9, cause::NORMAL)), &mut out);
    assert!(!started(&node), "the decider gets no event while more is read");
    node.core.decide(node.now, &mut out);
    let at = |what: fn(&Event) -> bool| node.core.decider.1.iter().position(what);
    let (began, ended) =
        (at(|e| matches!(e, Event::Started { .. })), at(|e| matches!(e, Event::Ended { .. })));
    assert!(began.unwrap() < ended.unwrap());
}

#[test]
fn tick_fires_only_timers_due_when_the_sockets_were_polled() {
    let (mut node, conn) = written_set_up("paid");
    let polled = node.now;
    // The process is stopped between the poll and the tick: meanwhile the answer arrives and its time-out
    // passes.
    node.now += 5 * SECOND / 2;
    node.handle(NodeEvent::ListConnected(99));
    let mut out = Vec::new();
    node.core.handle(polled, NodeEvent::Tick, &mut out);
    assert_eq!(sent_to_client(&out).count(), 0, "{out:?}");
    assert_eq!(
        sent_to_client(&node.handle(NodeEvent::ServerMessage(conn, answer_message(9)))).next(),
        Some(&answer_message(9))
    );
}

#[test]
fn shutdown_advances_only_to_the_time_of_the_last_poll() {
    let mut node = TestNode::new();
    node.handle(NodeEvent::Shutdown);
    let polled = node.now;
    node.now += 2 * SECOND;
    node.handle(NodeEvent::ListConnected(99));
    let mut out = Vec::new();
    node.core.handle(polled, NodeEvent::Tick, &mut out);
    assert!(!out.contains(&Command::Exit) && node.core.releasing_until.is_none());
}

#[test]
fn session_that_ended_before_its_answer_was_sent_is_failed() {
    let (mut node, conn) = written_set_up("paid");
    let note = Message::new(kind::NOTE, 9).with(code::NOTE_KIND, "port").with(code::NOTE_VALUE, "0.5");
    let release = |cause| Message::release(9, cause);
    let out = node
        .handle(NodeEvent::ServerMessages(conn, vec![answer_message(9), note, release(cause::ON_PURPOSE)]));
    let causes: Vec<Option<u8>> = sent_to_client(&out).map(Message::cause).collect();
    assert_eq!(causes, [Some(FAILED_CAUSE)], "one answer, and a correct one");
    assert_eq!(outcomes(&node), [Outcome::Withdrawn], "the server is not blamed");
    assert!(node.core.sessions.is_empty() && node.core.pool.in_flight_set_ups().is_empty());
    // After any other end, the client gets the answer and the release.
    let (mut node, conn) = written_set_up("paid");
    let out = node.handle(NodeEvent::ServerMessages(conn, vec![answer_message(9), release(cause::NORMAL)]));
    assert_eq!(sent_to_client(&out).map(|m| m.kind).collect::<Vec<_>>(), [kind::ANSWER, kind::RELEASE]);
}

#[test]
fn release_on_an_unrelated_connection_does_not_end_the_attempt() {
    let (mut node, conn) = written_set_up("clip");
    let out = node.handle(NodeEvent::ServerClosed(ConnId(77)));
    assert_eq!(out, []);
    // Another connection to the same media server, opened for another session.
    node.core.pool.mark_suspect(conn);
    node.core.decider.0.push_back(Action::SetUp(session_id(10), ServerId(0), 0));
    let out = node.send_request(10, "clip");
    let established = node.establish(&out);
    let (other, _) = sent_set_up(&established).unwrap();
    assert_ne!(other, conn);
    assert_eq!(
        sent_to_client(&node.handle(NodeEvent::ServerMessage(other, Message::release(9, cause::FULL))))
            .count(),
        0
    );
    assert!(node.core.sessions[&9].session.pending_attempt().is_some(), "the attempt is still current");
    assert!(outcomes(&node).is_empty());
}

/// A request whose attempt is out on one of two connections to its server, the other of which is returned second.
fn attempt_beside_another_connection() -> (TestNode<ScriptedDecider>, ConnId, ConnId) {
    let mut node = TestNode::with(ScriptedDecider::default());
    let set_up = |id| Action::SetUp(session_id(id), ServerId(0), SECOND);
    let mut conns = Vec::new();
    // Four set-ups fill the first connection.
    for id in 1..=5 {
        node.core.decider.0.push_back(set_up(id));
        let out = node.send_request(id, "clip");
        let mut all = out.clone();
        all.extend(node.establish(&out));
        conns.extend(sent_set_up(&all).map(|(conn, _)| conn));
    }
    (node, conns[4], conns[0])
}

// Guards against an end that is dropped because it was read on another connection before the answer.
#[test]
fn an_end_that_is_read_before_the_answer_on_another_connection_counts_after_it() {
    let to_client = |out: &[Command]| {
        let own = sent_to_client(out).filter(|message| message.session == 5);
        own.map(|message| (message.kind, message.cause())).collect::<Vec<_>>()
    };
    for (cause, told) in [
        (cause::ON_PURPOSE, vec![(kind::RELEASE, Some(FAILED_CAUSE))]),
        (cause::NORMAL, vec![(kind::ANSWER, None), (kind::RELEASE, Some(cause::NORMAL))]),
        (cause::BROKEN, vec![(kind::ANSWER, None), (kind::RELEASE, Some(cause::BROKEN))]),
    ] {
        let (mut node, conn, other) = attempt_beside_another_connection();
        assert_ne!(conn, other);
        let mut out = node.handle(NodeEvent::ServerMessage(other, Message::release(5, cause)));
        out.extend(node.handle(NodeEvent::ServerMessage(conn, answer_message(5))));
        assert_eq!(to_client(&out), told, "{cause}");
        assert!(!node.core.sessions.contains_key(&5));
    }
}

// What a viewer holds at the end, where its answer and a deliberate end of its session come together.
#[test]
fn a_viewer_holds_a_final_answer_in_each_order_of_answer_deliberate_end_and_departure() {
    let answer = || answer_message(9);
    let end = || Message::release(9, cause::ON_PURPOSE);
    let held = |out: &[Command]| {
        let own = sent_to_client(out).filter(|message| message.session == 9);
        own.map(|message| message.kind).filter(|kind| *kind != kind::RELEASE_ACK).collect::<Vec<_>>()
    };
    let started = || {
        let mut node = TestNode::new();
        let out = node.send_request(9, "paid");
        let out = node.establish(&out);
        let (conn, _) = sent_set_up(&out).unwrap();
        (node, conn)
    };
    let copy = |node: &mut TestNode<Controller>| {
        node.handle(NodeEvent::ClientConnected(ClientId(2)));
        node.handle(NodeEvent::ClientMessage(ClientId(2), request_message(9, "paid", "")))
    };
    let (mut node, conn) = started();
    let out = node.handle(NodeEvent::ServerMessages(conn, vec![answer(), end()]));
    assert_eq!(held(&out), [kind::RELEASE], "in one read: failed");
    let (mut node, conn) = started();
    let mut out = node.handle(NodeEvent::ServerMessage(conn, answer()));
    out.extend(node.handle(NodeEvent::ServerMessage(conn, end())));
    assert_eq!(held(&out), [kind::ANSWER], "in two reads: its answer");
    // Its connection ends before the answer, or between answer and end: the second copy fails.
    for answered_first in [false, true] {
        let (mut node, conn) = started();
        if answered_first {
            node.handle(NodeEvent::ServerMessage(conn, answer()));
        }
        node.handle(NodeEvent::ClientClosed(ClientId(1)));
        if !answered_first {
            node.handle(NodeEvent::ServerMessage(conn, answer()));
        }
        node.handle(NodeEvent::ServerMessage(conn, end()));
        assert_eq!(held(&copy(&mut node)), [kind::RELEASE], "{answered_first}");
    }
    // It gives up before the answer: nothing more is owed, and the session is released.
    let (mut node, conn) = started();
    let mut out = node.handle(NodeEvent::ClientMessage(ClientId(1), Message::release(9, cause::NORMAL)));
    let messages = vec![answer(), end()];
    out.extend(node.handle(NodeEvent::ServerMessages(conn, messages)));
    assert_eq!(held(&out), [0; 0]);
    assert!(sent_to_server(&out, kind::RELEASE).iter().any(|(_, message)| message.session == 9));
}
