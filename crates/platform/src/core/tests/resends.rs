//! Second copies of requests whose connections have ended.

use super::*;

const WINDOW: Micros = 350_000;
/// How long what is known of a request of [`request_message`] is kept.
const RETENTION: Micros = 4_500_000;

/// Sends a request on the first connection and establishes the connections that it needs.
fn sent_request(class: &str) -> (TestNode<Controller>, ConnId) {
    let mut node = TestNode::new();
    let out = node.send_request(9, class);
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).expect("written");
    (node, conn)
}

/// Sends the second copy on a new connection, and establishes the connections that it needs.
fn send_copy(node: &mut TestNode<impl Decider>, class: &str) -> Vec<Command> {
    node.handle(NodeEvent::ClientConnected(ClientId(2)));
    let mut out = node.handle(NodeEvent::ClientMessage(ClientId(2), request_message(9, class, "")));
    let dials = out.clone();
    out.extend(node.establish(&dials));
    out
}

/// Messages to a client about the request.
fn told(out: &[Command], client: u64) -> Vec<Message> {
    let to_client = out.iter().filter_map(|command| match command {
        Command::SendToClient(to, message) if *to == ClientId(client) && message.session == 9 => {
            Some(message.clone())
        }
        _ => None,
    });
    to_client.collect()
}

fn set_ups(out: &[Command]) -> usize {
    sent_to_server(out, kind::SET_UP).len()
}

/// Ways in which the connection of the first copy ends.
fn ends() -> [NodeEvent; 3] {
    let client = ClientId(1);
    [
        NodeEvent::ClientClosed(client),
        NodeEvent::ClientHalfClosed(client),
        NodeEvent::ClientUnreadable(client),
    ]
}

// Guards against a paid set-up that is made twice because its id was forgotten with its connection.
#[test]
fn second_copy_takes_over_the_attempt_that_is_in_flight() {
    for class in ["paid", "clip"] {
        let (mut node, conn) = sent_request(class);
        node.now += 20_000;
        node.handle(NodeEvent::ClientClosed(ClientId(1)));
        let out = send_copy(&mut node, class);
        assert_eq!((set_ups(&out), told(&out, 2)), (0, vec![]), "{class}");
        let out = node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
        assert_eq!((told(&out, 1), told(&out, 2)), (vec![], vec![answer_message(9)]), "{class}");
        let out = node.advance(SECOND);
        assert_eq!((set_ups(&out), told(&out, 2)), (0, vec![]), "{class}");
        assert_eq!(node.core.gauges()[1], 1, "the session plays");
    }
}

// Guards against the same where this node learns of the end of the first connection after the copy.
#[test]
fn second_copy_takes_over_before_the_end_of_the_first_connection_is_known() {
    let (mut node, conn) = sent_request("paid");
    let out = send_copy(&mut node, "paid");
    assert_eq!((set_ups(&out), told(&out, 2)), (0, vec![]));
    node.handle(NodeEvent::ClientClosed(ClientId(1)));
    let out = node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
    assert_eq!(told(&out, 2), [answer_message(9)]);
}

// Guards against a second copy that counts as late because this process was stopped when it arrived.
#[test]
fn second_copy_that_is_read_late_takes_over_as_well() {
    for answered in [true, false] {
        let (mut node, conn) = sent_request("paid");
        node.handle(NodeEvent::Tick);
        node.now += WINDOW + 50_000;
        if answered {
            node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
        }
        node.handle(NodeEvent::ClientClosed(ClientId(1)));
        let mut out = send_copy(&mut node, "paid");
        out.extend(node.handle(NodeEvent::Tick));
        if !answered {
            out.extend(node.handle(NodeEvent::ServerMessage(conn, answer_message(9))));
        }
        assert_eq!((set_ups(&out), told(&out, 2)), (0, vec![answer_message(9)]), "{answered}");
    }
}

// Guards against a request that is lost because its answer was lost with its connection.
#[test]
fn second_copy_gets_the_answer_that_was_lost_with_the_first_connection() {
    for closed_first in [true, false] {
        let (mut node, conn) = sent_request("paid");
        if closed_first {
            node.handle(NodeEvent::ClientClosed(ClientId(1)));
        }
        node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
        node.handle(NodeEvent::ClientClosed(ClientId(1)));
        let out = send_copy(&mut node, "paid");
        assert_eq!((set_ups(&out), told(&out, 2)), (0, vec![answer_message(9)]), "{closed_first}");
        let out = node.advance(SECOND);
        assert_eq!((told(&out, 2), node.core.gauges()[1]), (vec![], 1));
    }
}

// Guards against a set-up that runs for a client that does not come back, and against one that comes too late.
#[test]
fn request_without_a_second_copy_is_given_up_when_its_client_waits_no_longer() {
    let (mut node, conn) = sent_request("paid");
    node.handle(NodeEvent::ClientClosed(ClientId(1)));
    let out = node.advance(RETENTION);
    assert_eq!(sent_to_server(&out, kind::RELEASE)[0], (conn, &Message::release(9, cause::NORMAL)));
    assert!(node.core.sessions.is_empty());
    node.advance(5 * SECOND);
    assert_eq!(node.core.past_requests.len(), 0);
    let is_retention = |timer: &&(Micros, Timer)| matches!(timer.1, Timer::RetentionEnd(_));
    assert_eq!(node.core.timers.entries().find(is_retention), None);
    // The set-up was answered meanwhile: the session ends at its server.
    let (mut node, conn) = sent_request("paid");
    node.handle(NodeEvent::ClientClosed(ClientId(1)));
    node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
    let out = advance_heard(&mut node, conn, RETENTION - 1);
    assert_eq!(sent_to_server(&out, kind::RELEASE), [], "a second copy may come");
    let out = node.advance(1);
    assert_eq!(sent_to_server(&out, kind::RELEASE), [(conn, &Message::release(9, cause::NORMAL))]);
    assert!(node.core.sessions.is_empty());
}

/// Advances the time, while the server is heard.
fn advance_heard(node: &mut TestNode<Controller>, conn: ConnId, span: Micros) -> Vec<Command> {
    let until = node.now + span;
    let mut all = Vec::new();
    while node.now < until {
        all.extend(node.advance((until - node.now).min(SECOND / 2)));
        all.extend(node.handle(NodeEvent::ServerMessage(conn, Message::new(kind::PROGRESS, 1))));
    }
    all
}

// Guards against a paid request that is set up again by a copy that comes after the first was given up.
#[test]
fn second_copy_of_a_paid_request_that_was_given_up_fails_while_its_client_may_wait() {
    for late in [WINDOW, 2 * SECOND, RETENTION - 1] {
        let (mut node, conn) = sent_request("paid");
        node.handle(NodeEvent::ClientClosed(ClientId(1)));
        node.handle(NodeEvent::ServerReset(conn));
        node.advance(late);
        let out = send_copy(&mut node, "paid");
        assert_eq!((set_ups(&out), told(&out, 2)), (0, vec![Message::release(9, FAILED_CAUSE)]), "{late}");
    }
}

// Guards against a copy that is closed without an answer however late it is read, also when the answer is not kept any more.
#[test]
fn second_copy_of_a_session_that_plays_gets_its_answer_or_fails_and_ends_it() {
    for (late, is_kept) in [(WINDOW, true), (2 * SECOND, true), (RETENTION - 1, true), (RETENTION, false)] {
        for class in ["paid", "clip"] {
            let (mut node, conn) = sent_request(class);
            node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
            node.handle(NodeEvent::ClientClosed(ClientId(1)));
            advance_heard(&mut node, conn, late);
            let out = send_copy(&mut node, class);
            let answer = if is_kept { answer_message(9) } else { Message::release(9, FAILED_CAUSE) };
            assert_eq!((set_ups(&out), told(&out, 2)), (0, vec![answer]), "{class}, {late}");
            assert_eq!(sent_to_server(&out, kind::RELEASE).len(), usize::from(!is_kept), "{class}, {late}");
            assert_eq!(node.core.gauges()[1], usize::from(is_kept), "{class}, {late}");
        }
    }
}

#[test]
fn second_copy_starts_over_if_no_set_up_can_have_run() {
    for (end, class) in ends().into_iter().flat_map(|end| [(end.clone(), "paid"), (end, "clip")]) {
        // The first copy waits for a connection to a server.
        let mut node = TestNode::new();
        let dials = node.send_request(9, class);
        node.handle(end.clone());
        let mut out = send_copy(&mut node, class);
        out.extend(node.establish(&dials));
        assert_eq!(set_ups(&out), 1, "{end:?}, {class}");
        // It is partly written.
        let (mut node, conn) = sent_request(class);
        node.handle(NodeEvent::ServerBlocked(conn, Some(9), Vec::new()));
        assert!(node.handle(end.clone()).contains(&Command::CloseServer(conn)), "{end:?}, {class}");
        assert_eq!(set_ups(&send_copy(&mut node, class)), 1, "{end:?}, {class}");
        // It is handed back by the socket, after the end.
        let (mut node, conn) = sent_request(class);
        node.handle(end.clone());
        let message = request_message(9, class, "");
        node.handle(NodeEvent::ServerBlocked(conn, None, vec![message]));
        assert!(node.core.pool.in_flight_set_ups().is_empty(), "{end:?}, {class}");
        // Every attempt was refused.
        let (mut node, conn) = sent_request(class);
        node.core.handle(
            node.now,
            NodeEvent::ServerMessage(conn, Message::release(9, cause::FULL)),
            &mut node.out,
        );
        node.handle(end.clone());
        assert_eq!(set_ups(&send_copy(&mut node, class)), 1, "{end:?}, {class}");
    }
}

// Guards against a second set-up or a refusal of what may have run, whatever became of the first copy.
#[test]
fn second_copy_of_a_paid_request_that_may_have_run_fails() {
    let failed = [Message::release(9, FAILED_CAUSE)];
    for end in ends() {
        let (mut node, conn) = sent_request("paid");
        node.handle(NodeEvent::ServerMessage(conn, Message::release(9, cause::ERROR)));
        node.handle(end.clone());
        let out = send_copy(&mut node, "paid");
        assert_eq!((set_ups(&out), &told(&out, 2)[..]), (0, &failed[..]), "failed, {end:?}");
    }
    for end in &ends()[1..] {
        let (mut node, _) = sent_request("paid");
        node.handle(end.clone());
        let out = send_copy(&mut node, "paid");
        assert_eq!((set_ups(&out), &told(&out, 2)[..]), (0, &failed[..]), "given up, {end:?}");
    }
    // The front node refuses all other requests when it shuts down.
    let (mut node, conn) = sent_request("paid");
    node.handle(NodeEvent::Shutdown);
    node.now += SECOND;
    node.handle(NodeEvent::ServerMessage(conn, Message::release(9, cause::ERROR)));
    node.handle(NodeEvent::ClientClosed(ClientId(1)));
    let out = send_copy(&mut node, "paid");
    assert_eq!((set_ups(&out), &told(&out, 2)[..]), (0, &failed[..]), "shutdown");
}

// Guards against two attempts at once, and against an answer to the first attempt taken for one to the second.
#[test]
fn second_copy_of_a_repeatable_request_respects_the_first_attempt() {
    let (mut node, first) = sent_request("clip");
    let server = node.core.pool.server(first).unwrap();
    node.handle(NodeEvent::ClientHalfClosed(ClientId(1)));
    let out = send_copy(&mut node, "clip");
    let (second, _) = sent_set_up(&out).expect("started over");
    assert_ne!(node.core.pool.server(second), Some(server), "the first attempt may still run there");
    let out = node.handle(NodeEvent::ServerMessage(first, answer_message(9)));
    assert_eq!(told(&out, 2), []);
    let out = node.handle(NodeEvent::ServerMessage(second, answer_message(9)));
    assert_eq!(told(&out, 2), [answer_message(9)]);
}

// Guards against an end that is taken for the answer to the second copy, which would then get two.
#[test]
fn second_copy_of_a_session_that_is_over_gets_one_message() {
    for client_closed_first in [true, false] {
        for class in ["paid", "clip"] {
            let (mut node, conn) = sent_request(class);
            node.handle(NodeEvent::ClientConnected(ClientId(3)));
            let test = Message::new(kind::TEST, 1).with(code::CAUSE, [0]);
            node.handle(NodeEvent::ClientMessage(ClientId(3), test));
            node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
            let end = NodeEvent::ServerMessage(conn, Message::release(9, cause::NORMAL));
            let closed = NodeEvent::ClientClosed(ClientId(1));
            let (first, second) = if client_closed_first { (closed, end) } else { (end, closed) };
            let mut out = node.handle(first);
            out.extend(node.handle(second));
            out.extend(send_copy(&mut node, class));
            out.extend(node.advance(SECOND));
            assert_eq!(set_ups(&out), 0, "{class}");
            assert_eq!(told(&out, 2), [Message::release(9, FAILED_CAUSE)], "{class}");
            assert_eq!(told(&out, 3), [], "{class}");
        }
    }
}

#[test]
fn end_kept_for_a_second_copy_is_told_within_a_second() {
    let (mut node, conn) = sent_request("clip");
    node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
    node.handle(NodeEvent::ClientClosed(ClientId(1)));
    node.handle(NodeEvent::ServerMessage(conn, Message::release(9, cause::NORMAL)));
    node.handle(NodeEvent::ClientConnected(ClientId(2)));
    let test = Message::new(kind::TEST, 1).with(code::CAUSE, [0]);
    node.handle(NodeEvent::ClientMessage(ClientId(2), test));
    let out = node.advance(SECOND);
    assert_eq!(told(&out, 2), [Message::release(9, cause::NORMAL)]);
}

#[test]
fn second_copy_of_a_moved_session_fails_and_the_session_ends() {
    let mut node = TestNode::with(ScriptedDecider::default());
    node.core.decider.0.push_back(Action::SetUp(session_id(9), ServerId(0), SECOND));
    let out = node.send_request(9, "clip");
    let out = node.establish(&out);
    let (conn, _) = sent_set_up(&out).unwrap();
    node.core.decider.0.push_back(Action::Move(session_id(9)));
    node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
    node.handle(NodeEvent::ClientClosed(ClientId(1)));
    let mut out = send_copy(&mut node, "clip");
    out.extend(node.advance(SECOND));
    assert_eq!((set_ups(&out), told(&out, 2)), (0, vec![Message::release(9, FAILED_CAUSE)]));
    assert_eq!(sent_to_server(&out, kind::RELEASE).len(), 1);
    assert!(node.core.sessions.is_empty());
}

// Guards against a session that is handed over again after its end and then plays for ever.
#[test]
fn second_copy_of_a_hand_over_after_the_end_is_told_the_end() {
    let hand_over = |node: &mut TestNode<Controller>, client: u64| {
        let server = node.core.pool.server(ConnId(1)).unwrap().0;
        let message = request_message(9, "clip", &format!(";at:s-{server:08x}"));
        let mut out = node.handle(NodeEvent::ClientMessage(ClientId(client), message));
        let dials = out.clone();
        out.extend(node.establish(&dials));
        out
    };
    for ends_before_first in [true, false] {
        let mut node = TestNode::new();
        let (conn, _) = node.start_session(1, "clip");
        let end = NodeEvent::ServerMessage(conn, Message::release(9, cause::NORMAL));
        let (first, second) = match ends_before_first {
            true => (Some(end), None),
            false => (None, Some(end)),
        };
        first.into_iter().for_each(|end| drop(node.handle(end)));
        hand_over(&mut node, 1);
        second.into_iter().for_each(|end| drop(node.handle(end)));
        node.handle(NodeEvent::ClientClosed(ClientId(1)));
        node.handle(NodeEvent::ClientConnected(ClientId(2)));
        let out = hand_over(&mut node, 2);
        assert_eq!(told(&out, 2).len(), 1, "{ends_before_first}: {out:?}");
        assert_eq!(told(&out, 2)[0].kind, kind::RELEASE);
        assert!(!node.core.sessions.contains_key(&9), "{ends_before_first}");
    }
}

// Guards against a client that gets the answer to the request of another one.
#[test]
fn different_request_under_a_known_id_takes_nothing_over() {
    for closed in [true, false] {
        let (mut node, conn) = sent_request("paid");
        if closed {
            node.handle(NodeEvent::ClientClosed(ClientId(1)));
        }
        node.handle(NodeEvent::ClientConnected(ClientId(2)));
        let other = request_message(9, "paid", "").parameters.into_iter();
        let mut other = Message { parameters: other.collect(), ..Message::new(kind::SET_UP, 9) };
        other.parameters.last_mut().unwrap().1 = b"another offer".to_vec();
        let out = node.handle(NodeEvent::ClientMessage(ClientId(2), other));
        assert!(out.contains(&Command::CloseClient(ClientId(2))), "{out:?}");
        let out = node.handle(NodeEvent::ServerMessage(conn, answer_message(9)));
        assert_eq!(told(&out, 1).len(), usize::from(!closed));
    }
}

// Guards against a flood of ids that pushes out one that may have run.
#[test]
fn flood_of_requests_displaces_no_paid_one_that_may_have_run() {
    let (mut node, _) = sent_request("paid");
    node.handle(NodeEvent::ClientHalfClosed(ClientId(1)));
    let remember = |node: &mut TestNode<Controller>, id: u64, class: &str| {
        let entry = SessionEntry {
            in_doubt: vec![DoubtfulAttempt::new(ServerId(0), ConnId(1))],
            retained_until: node.now + RETENTION,
            ..node.core.test_entry(class)
        };
        node.core.remember_request(id, &entry);
    };
    (0..40_000).for_each(|id| remember(&mut node, 1_000 + id, "clip"));
    assert!(node.core.past_requests.len() < 10_000, "{}", node.core.past_requests.len());
    assert_eq!(set_ups(&send_copy(&mut node, "paid")), 0);
    // When the memory is full of paid requests, further ones are refused and never sent.
    for id in 0..40_000 {
        remember(&mut node, 100_000 + id, "paid");
        if node.core.past_requests.is_full() {
            break;
        }
    }
    let out = node.handle(NodeEvent::ClientMessage(ClientId(2), request_message(10, "paid", "")));
    let answer = sent_to_client(&out).find(|message| message.session == 10);
    assert_eq!(answer.and_then(Message::cause), Some(cause::FULL));
    assert_eq!(set_ups(&out), 0);
}

// Guards against a client whose requests use up the room for those of others.
#[test]
fn flood_of_one_clients_requests_leaves_room_to_others() {
    const SHARED: u64 = 8_192;
    let remember = |node: &mut TestNode<Controller>, client: u64, id: u64, class: &str| {
        let entry = SessionEntry {
            in_doubt: vec![DoubtfulAttempt::new(ServerId(0), ConnId(1))],
            retained_until: node.now + RETENTION,
            requested_on: Some(ClientId(client)),
            ..node.core.test_entry(class)
        };
        node.core.remember_request(id, &entry);
    };
    // A repeatable request of another client is remembered in place of one of the flood.
    let mut node = TestNode::new();
    (0..2 * SHARED).for_each(|id| remember(&mut node, 7, 1_000_000 + id, "clip"));
    remember(&mut node, 8, 9, "clip");
    assert!(node.core.past_requests.get(9).is_some());
    assert_eq!(node.core.past_requests.len(), SHARED as usize);
    // The connection of a flood of paid requests gets no further one, and others do.
    let mut node = TestNode::new();
    (0..SHARED).for_each(|id| remember(&mut node, 7, 1_000_000 + id, "paid"));
    remember(&mut node, 8, 10, "paid");
    for (client, is_refused) in [(7, true), (8, false)] {
        node.handle(NodeEvent::ClientConnected(ClientId(client)));
        let request = request_message(100 + client, "paid", "");
        let out = node.handle(NodeEvent::ClientMessage(ClientId(client), request));
        let refused = sent_to_client(&out).any(|message| message.cause() == Some(cause::FULL));
        assert_eq!(refused, is_refused, "client {client}");
    }
}

impl<D: Decider> Core<D> {
    /// An entry of a request of this class, as if it had just been accepted.
    fn test_entry(&self, class: &str) -> SessionEntry {
        let effect = if class == "paid" { Effect::Once } else { Effect::Safe };
        let open_request = self.test_open_request();
        SessionEntry::new(Session::new(None, open_request, effect, 0, self.now), 0)
    }

    fn test_open_request(&self) -> salttally_front::core::OpenRequest {
        salttally_front::core::OpenRequest {
            viewer: ViewerId(1),
            tenant: None,
            title: TitleId(1),
            class: 0,
            first_cell: 0,
            cell_count: 1,
            top_rung: 0,
            patience: SECOND,
            length_hint: None,
            returned: false,
            moved_from: None,
        }
    }
}
