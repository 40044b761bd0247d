//! Releases on connections that are reset before they are read.

use super::*;

/// A session that its client has ended, and the connection on which its media server was sent the release.
fn released_session() -> (TestNode<Controller>, ConnId) {
    let mut node = TestNode::new();
    let (conn, _) = node.start_session(1, "clip");
    let out = node.handle(NodeEvent::ClientMessage(ClientId(1), Message::release(1, cause::NORMAL)));
    assert_eq!(sent_to_server(&out, kind::RELEASE).len(), 1);
    (node, conn)
}

/// Number of releases sent within this time, with each dialled connection established at once.
fn releases_within(node: &mut TestNode<impl Decider>, span: Micros) -> usize {
    let (until, mut count) = (node.now + span, 0);
    while node.now < until {
        let out = node.advance(SECOND / 20);
        count += sent_to_server(&out, kind::RELEASE).len();
        let established = node.establish(&out);
        count += sent_to_server(&established, kind::RELEASE).len();
    }
    count
}

#[test]
fn resends_a_release_that_was_reset_with_its_connection() {
    let (mut node, conn) = released_session();
    node.handle(NodeEvent::ServerClosed(conn));
    assert_eq!(releases_within(&mut node, SECOND), 1);
}

#[test]
fn does_not_resend_a_release_that_was_acknowledged_or_read() {
    let (mut node, conn) = released_session();
    node.handle(NodeEvent::ServerMessage(conn, Message::release(1, cause::ON_PURPOSE)));
    node.handle(NodeEvent::ServerClosed(conn));
    assert_eq!(releases_within(&mut node, SECOND), 0, "answered");
    let (mut node, _) = released_session();
    // The idle connection is finished here, and its server closes it after reading everything.
    assert_eq!(releases_within(&mut node, 12 * SECOND), 0, "read");
}

#[test]
fn resends_an_unacknowledged_client_release_on_the_next_connection() {
    for acknowledges in [false, true] {
        let mut node = TestNode::new();
        let (conn, _) = node.start_session(1, "clip");
        let end = Message::release(1, cause::NORMAL);
        let out = node.handle(NodeEvent::ServerMessage(conn, end.clone()));
        assert_eq!(sent_to_client(&out).collect::<Vec<_>>(), [&end]);
        if acknowledges {
            node.handle(NodeEvent::ClientMessage(ClientId(1), Message::new(kind::RELEASE_ACK, 1)));
        }
        node.handle(NodeEvent::ClientClosed(ClientId(1)));
        node.handle(NodeEvent::ClientConnected(ClientId(2)));
        let test = Message::new(kind::TEST, 0).with(code::CAUSE, [0]);
        let mut out = node.handle(NodeEvent::ClientMessage(ClientId(2), test));
        // Told sooner, the end would be taken for the answer to a second copy of the request.
        assert!(!sent_to_client(&out).any(|message| *message == end));
        out.extend(node.advance(SECOND / 2));
        assert_eq!(sent_to_client(&out).any(|message| *message == end), !acknowledges);
    }
}

#[test]
fn releases_sessions_at_a_machine_that_becomes_reachable_again() {
    let mut node = TestNode::new();
    node.start_session(1, "clip");
    // The server is silent, and no connection is established: the client is released within the specified 8
    // s.
    let mut client_released = false;
    while !client_released {
        client_released =
            sent_to_client(&node.advance(SECOND / 20)).any(|message| message.kind == kind::RELEASE);
        assert!(node.now < START + 8 * SECOND);
    }
    assert_eq!(releases_within(&mut node, 2 * SECOND), 1, "the next connection is established");
}

#[test]
fn stops_resending_a_client_release_after_its_lifetime() {
    let mut node = TestNode::new();
    let (conn, _) = node.start_session(1, "clip");
    let end = Message::release(1, cause::NORMAL);
    node.handle(NodeEvent::ServerMessage(conn, end.clone()));
    let ended_at = node.now;
    for client in 1..20 {
        node.advance(SECOND);
        node.handle(NodeEvent::ClientClosed(ClientId(client)));
        node.handle(NodeEvent::ClientConnected(ClientId(client + 1)));
        let test = Message::new(kind::TEST, 0).with(code::CAUSE, [0]);
        let out = node.handle(NodeEvent::ClientMessage(ClientId(client + 1), test));
        let is_resent = sent_to_client(&out).any(|message| *message == end);
        assert_eq!(is_resent, node.now < ended_at + 8 * SECOND, "{} s later", client);
    }
}

/// A session that its client is told to move, on the first of two client connections.
fn moved_session() -> (TestNode<ScriptedDecider>, ConnId) {
    let mut node = TestNode::with(ScriptedDecider::default());
    node.core.decider.0.push_back(Action::SetUp(session_id(1), ServerId(0), SECOND));
    let out = node.send_request(1, "clip");
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).unwrap();
    node.handle(NodeEvent::ServerMessage(conn, answer_message(1)));
    node.advance(SECOND);
    connect_client(&mut node, 2);
    node.core.decider.0.push_back(Action::Move(session_id(1)));
    let out = node
        .handle(NodeEvent::ServerMessage(conn, Message::new(kind::NOTE, 1).with(24, "port").with(39, "1")));
    assert_eq!(sent_to_client(&out).collect::<Vec<_>>(), [&Message::new(kind::MOVE, 1)]);
    (node, conn)
}

fn connect_client(node: &mut TestNode<ScriptedDecider>, client: u64) -> Vec<Command> {
    node.handle(NodeEvent::ClientConnected(ClientId(client)));
    let test = Message::new(kind::TEST, 0).with(code::CAUSE, [0]);
    node.handle(NodeEvent::ClientMessage(ClientId(client), test))
}

/// The messages to clients about the session.
fn notices(out: &[Command]) -> Vec<&Message> {
    sent_to_client(out).filter(|message| message.session == 1).collect()
}

// Guards against a client that is never told to come again because the move was lost with its connection.
#[test]
fn resends_a_move_that_was_lost_with_its_connection() {
    let (mut node, _) = moved_session();
    let out = node.handle(NodeEvent::ClientClosed(ClientId(1)));
    assert_eq!(notices(&out), [&Message::new(kind::MOVE, 1)], "on the other connection");
    let (mut node, _) = moved_session();
    node.handle(NodeEvent::ClientClosed(ClientId(2)));
    node.handle(NodeEvent::ClientClosed(ClientId(1)));
    let out = connect_client(&mut node, 3);
    assert_eq!(notices(&out), [&Message::new(kind::MOVE, 1)], "on the next connection");
    // The client does not learn of the loss of its connection: the node ends the session after a while.
    let (mut node, _) = moved_session();
    let out = node.advance(SECOND / 2);
    assert_eq!(notices(&out), [&Message::release(1, cause::BROKEN)]);
    assert_eq!(sent_to_server(&out, kind::RELEASE).len(), 1);
    let out = node.handle(NodeEvent::ClientClosed(ClientId(1)));
    assert_eq!(notices(&out), [&Message::release(1, cause::BROKEN)]);
}

// Guards against a move that is taken for heard because its session is lost with its server.
#[test]
fn tells_the_end_of_a_moved_session_that_is_lost_with_its_server() {
    let (mut node, _) = moved_session();
    let mut gone = listed(0);
    gone.entry.state = ServerState::Removed;
    let out = node.list_frame(1, 6, Payload::Changes(vec![gone]));
    assert_eq!(notices(&out), [&Message::release(1, cause::BROKEN)]);
}

#[test]
fn does_not_resend_a_move_that_its_client_has_followed() {
    let (mut node, conn) = moved_session();
    node.handle(NodeEvent::ServerMessage(conn, Message::release(1, cause::ON_PURPOSE)));
    assert_eq!(notices(&node.handle(NodeEvent::ClientClosed(ClientId(1)))), Vec::<&Message>::new());
    let (mut node, _) = moved_session();
    node.handle(request_of_first_viewer(2, ";again:1"));
    let mut out = node.handle(NodeEvent::ClientClosed(ClientId(1)));
    out.extend(node.advance(SECOND));
    assert_eq!(notices(&out), Vec::<&Message>::new());
}

/// A request of the viewer of session 1.
fn request_of_first_viewer(id: u64, more: &str) -> NodeEvent {
    let parameters = request_message(1, "clip", more).parameters;
    NodeEvent::ClientMessage(ClientId(1), Message { parameters, ..Message::new(kind::SET_UP, id) })
}

// Guards against the move of one session that is forgotten for that of another one of the same viewer.
#[test]
fn tells_the_ends_of_two_moved_sessions_of_one_viewer_though_it_comes_again() {
    let (mut node, conn) = moved_session();
    node.core.decider.0.push_back(Action::SetUp(session_id(2), ServerId(0), SECOND));
    node.handle(request_of_first_viewer(2, ""));
    node.handle(NodeEvent::ServerMessage(conn, answer_message(2)));
    node.core.decider.0.push_back(Action::Move(session_id(2)));
    let note = Message::new(kind::NOTE, 2).with(code::NOTE_KIND, "port").with(code::NOTE_VALUE, "1");
    node.handle(NodeEvent::ServerMessage(conn, note));
    node.handle(request_of_first_viewer(3, ";again:1"));
    let out = node.advance(SECOND / 2);
    let told = sent_to_client(&out).filter(|message| message.kind == kind::RELEASE);
    assert_eq!(told.map(|message| message.session).collect::<Vec<_>>(), [1, 2]);
}

/// A set-up that was written to server 0, and the connection on which it was.
fn written_at_first_server(class: &str) -> (TestNode<ScriptedDecider>, ConnId) {
    let mut node = TestNode::with(ScriptedDecider::default());
    node.core.decider.0.push_back(Action::SetUp(session_id(1), ServerId(0), SECOND));
    let out = node.send_request(1, class);
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).unwrap();
    (node, conn)
}

/// Establishes the connections dialled in `out`, and returns the connections on which the session is released.
fn released_on(node: &mut TestNode<ScriptedDecider>, out: &[Command]) -> Vec<ConnId> {
    let established = node.establish(out);
    sent_to_server(&established, kind::RELEASE).iter().map(|(conn, _)| *conn).collect()
}

// Guards against a session that plays at its server for no client because the answer was lost with a reset.
#[test]
fn releases_a_session_whose_answer_may_be_lost_with_a_reset() {
    for class in ["clip", "paid"] {
        let (mut node, conn) = written_at_first_server(class);
        let out = node.handle(NodeEvent::ServerReset(conn));
        let on = released_on(&mut node, &out);
        assert!(matches!(on[..], [on] if node.core.pool.server(on) == Some(ServerId(0))), "{class}: {out:?}");
    }
    // In an orderly close, the answer would have been read.
    let (mut node, conn) = written_at_first_server("clip");
    let out = node.handle(NodeEvent::ServerClosed(conn));
    assert_eq!(released_on(&mut node, &out), []);
}

#[test]
fn server_gets_no_further_attempt_after_a_reset_until_it_has_acknowledged_the_release() {
    let (mut node, conn) = written_at_first_server("clip");
    let again = Action::SetUp(session_id(1), ServerId(0), SECOND);
    node.core.decider.0.push_back(again.clone());
    let out = node.handle(NodeEvent::ServerReset(conn));
    let on = released_on(&mut node, &out)[0];
    assert_eq!((node.core.counts().attempts, node.core.counts().stopped), (1, 1));
    node.core.decider.0.push_back(again);
    let out = node.handle(NodeEvent::ServerMessage(on, Message::new(kind::RELEASE_ACK, 1)));
    assert!(sent_set_up(&out).is_some() || out.iter().any(|o| matches!(o, Command::Connect(..))), "{out:?}");
}

// Guards against the same where a give-up was lost with the answer that it crossed.
#[test]
fn resends_a_give_up_that_was_lost_with_a_reset() {
    let (mut node, conn) = written_at_first_server("clip");
    let out = node.handle(NodeEvent::ClientMessage(ClientId(1), Message::release(1, cause::NORMAL)));
    assert_eq!(sent_to_server(&out, kind::RELEASE).len(), 1);
    let out = node.handle(NodeEvent::ServerReset(conn));
    assert_eq!(released_on(&mut node, &out).len(), 1);
    // A give-up that was acknowledged, or whose attempt ended with its connection, is not sent again.
    for settled in
        [NodeEvent::ServerMessage(conn, Message::new(kind::RELEASE_ACK, 1)), NodeEvent::ServerClosed(conn)]
    {
        let (mut node, conn) = written_at_first_server("clip");
        node.handle(NodeEvent::ClientMessage(ClientId(1), Message::release(1, cause::NORMAL)));
        node.handle(settled);
        let mut out = node.handle(NodeEvent::ServerReset(conn));
        out.extend(node.advance(SECOND));
        assert_eq!(released_on(&mut node, &out), []);
    }
}

// Guards against a give-up of the first attempt that is sent again and ends the second one at the same server.
#[test]
fn sends_no_give_up_again_once_its_attempt_is_known_to_be_over() {
    let (mut node, first) = written_at_first_server("clip");
    node.now += SECOND;
    let out = node.tick_without_closes();
    assert!(out.contains(&Command::FinishServer(first)), "the attempt has timed out: {out:?}");
    node.core.decider.0.push_back(Action::SetUp(session_id(1), ServerId(0), SECOND));
    let out = node.handle(NodeEvent::ServerHalfClosed(first));
    let out = node.establish(&out);
    let (second, _) = sent_set_up(&out).expect("a second attempt");
    let mut out = node.handle(NodeEvent::ServerReset(first));
    out.extend(node.handle(NodeEvent::ServerMessage(second, answer_message(1))));
    out.extend(node.advance(SECOND));
    assert_eq!(sent_to_server(&out, kind::RELEASE), []);
    assert_eq!(node.core.gauges()[1], 1);
}

/// A session whose end is sent on the first of two connections, and not acknowledged.
fn unacknowledged_end() -> (TestNode<ScriptedDecider>, Vec<Command>) {
    let (mut node, conn) = moved_session();
    let out = node.handle(NodeEvent::ServerMessage(conn, Message::release(1, cause::ON_PURPOSE)));
    assert!(notices(&out).is_empty());
    node.core.decider.0.push_back(Action::SetUp(session_id(2), ServerId(0), SECOND));
    let sent = node.send_request(2, "clip");
    let mut all = sent.clone();
    all.extend(node.establish(&sent));
    let (conn, _) = sent_set_up(&all).unwrap();
    node.handle(NodeEvent::ServerMessage(conn, answer_message(2)));
    node.advance(SECOND);
    let out = node.handle(NodeEvent::ServerMessage(conn, Message::release(2, cause::NORMAL)));
    (node, out)
}

fn ends_of(out: &[Command], id: u64) -> Vec<ClientId> {
    let end = Message::release(id, cause::NORMAL);
    let client = |command: &Command| match command {
        Command::SendToClient(client, message) if *message == end => Some(*client),
        _ => None,
    };
    out.iter().filter_map(client).collect()
}

// Guards against an end that is never told because nothing passes on the connection on which it was sent.
#[test]
fn sends_an_end_that_is_not_acknowledged_on_another_connection_within_a_second() {
    let (mut node, out) = unacknowledged_end();
    assert_eq!(ends_of(&out, 2), [ClientId(1)]);
    assert_eq!(ends_of(&node.advance(SECOND - 50_000), 2), [ClientId(2)]);
    let out = connect_client(&mut node, 3);
    assert_eq!(ends_of(&out, 2), [ClientId(3)], "no other connection was left");
    node.handle(NodeEvent::ClientMessage(ClientId(1), Message::new(kind::RELEASE_ACK, 2)));
    assert!(ends_of(&node.advance(10 * SECOND), 2).is_empty(), "acknowledged on any connection");
    assert_eq!(node.core.client_notice_counts(), [0, 0]);
}

#[test]
fn sends_an_acknowledged_end_once_and_forgets_an_end_after_its_time_limit() {
    let (mut node, out) = unacknowledged_end();
    node.acknowledge(&out);
    assert!(ends_of(&node.advance(10 * SECOND), 2).is_empty());
    let (mut node, _) = unacknowledged_end();
    node.advance(8 * SECOND);
    assert_eq!(node.core.client_notice_counts(), [0, 0]);
}

// Guards against ends that are told only to clients that never acknowledge one, or on connections that are silent.
#[test]
fn sends_an_end_that_is_not_acknowledged_on_more_connections_each_time() {
    let (mut node, _) = unacknowledged_end();
    node.handle(NodeEvent::ClientMessage(ClientId(2), request_message(7, "none", "")));
    (3..100).for_each(|client| drop(connect_client(&mut node, client)));
    assert_eq!(ends_of(&node.advance(SECOND * 3 / 10), 2), [ClientId(2), ClientId(3)], "with a request");
    node.handle(NodeEvent::ClientMessage(ClientId(50), Message::new(kind::RELEASE_ACK, 99)));
    let next = ends_of(&node.advance(SECOND / 2), 2);
    assert_eq!((next[0], next.len()), (ClientId(50), 4), "it has acknowledged another one");
    assert_eq!(ends_of(&node.advance(5 * SECOND), 2).len(), 92, "all others");
}

// Guards against a loop of dials over connections that are finished here as soon as the releases are written on them.
#[test]
fn a_release_on_finished_connections_that_are_reset_is_resent_after_pauses() {
    let (mut node, mut conn) = released_session();
    let (until, mut dials) = (node.now + SECOND, 0);
    node.core.pool.finish_if_idle(node.now, conn, &mut node.out);
    while node.now < until {
        let mut out = node.handle_without_closes(NodeEvent::ServerReset(conn));
        while let Some(due) = node.core.next_due().filter(|_| dialed(&out).is_none() && node.now < until) {
            node.now = node.now.max(due);
            out.extend(node.tick_without_closes());
        }
        let Some(next) = dialed(&out) else { break };
        (conn, dials) = (next, dials + 1);
        node.handle_without_closes(NodeEvent::ConnectEnded(conn, Ok(())));
        node.core.pool.finish_if_idle(node.now, conn, &mut node.out);
    }
    assert!((3..=8).contains(&dials), "{dials} in a second");
}

fn dialed(out: &[Command]) -> Option<ConnId> {
    out.iter().find_map(|command| match command {
        Command::Connect(conn, _) => Some(*conn),
        _ => None,
    })
}

// Guards against a session that is ended by the release of an earlier attempt, which was lost and is sent again.
#[test]
fn the_release_of_an_earlier_attempt_is_not_sent_again_once_the_session_plays_there() {
    let mut node = TestNode::with(ScriptedDecider::default());
    node.core.release_at(1, ServerId(0), cause::NORMAL, &mut node.out);
    let out = std::mem::take(&mut node.out);
    let dialed = out.iter().find_map(|command| match command {
        Command::Connect(conn, _) => Some(*conn),
        _ => None,
    });
    node.now += SECOND / 10;
    node.handle(NodeEvent::ConnectEnded(dialed.expect("dialled"), Err(DialError::TimedOut)));
    node.core.decider.0.push_back(Action::SetUp(session_id(1), ServerId(0), SECOND));
    let out = node.send_request(1, "clip");
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).expect("set up");
    let sent_with_set_up = sent_to_server(&out, kind::RELEASE).len();
    node.handle(NodeEvent::ServerMessage(conn, answer_message(1)));
    assert_eq!(sent_with_set_up + releases_within(&mut node, 3 * SECOND), 0);
}
