//! Clients that have gone: what the decider is told about them, and that nothing is started for them.

use super::*;

/// Each way for a client to go, on the connection of the request.
fn departures(id: u64) -> [NodeEvent; 4] {
    [
        NodeEvent::ClientClosed(ClientId(1)),
        NodeEvent::ClientHalfClosed(ClientId(1)),
        NodeEvent::ClientMessage(ClientId(1), Message::release(id, cause::NORMAL)),
        NodeEvent::ClientUnreadable(ClientId(1)),
    ]
}

fn decider_events(node: &TestNode<ScriptedDecider>, id: u64) -> Vec<&'static str> {
    let names = node.core.decider.1.iter().filter_map(|event| match event {
        Event::Request(request) if request.session == session_id(id) => Some("request"),
        Event::ClientLeft(session) if *session == session_id(id) => Some("left"),
        Event::Ended { session, last: true, .. } if *session == session_id(id) => Some("ended, over"),
        Event::Ended { session, last: false, .. } if *session == session_id(id) => Some("ended"),
        _ => None,
    });
    names.collect()
}

// Guards against requests being forwarded before the rest of what lay in the sockets was read.
#[test]
fn request_of_a_client_that_left_in_the_same_poll_is_dropped() {
    for departure in departures(9) {
        let mut node = TestNode::with(ScriptedDecider::default());
        let request = NodeEvent::ClientMessage(ClientId(1), request_message(9, "clip", ""));
        node.core.decider.0.push_back(Action::SetUp(session_id(9), ServerId(0), SECOND));
        node.core.handle(node.now, request, &mut node.out);
        let out = node.handle(departure.clone());
        assert!(decider_events(&node, 9).is_empty(), "{departure:?}: {:?}", decider_events(&node, 9));
        assert!(
            !out.iter().any(|o| matches!(o, Command::Connect(..) | Command::SendToServer(..))),
            "{departure:?}: {out:?}"
        );
        assert!(node.core.sessions.is_empty());
    }
}

// Guards against acting on a refusal before the close of the client behind it was read.
#[test]
fn no_further_attempt_for_a_client_that_left_in_the_same_poll() {
    for departure in departures(9) {
        let mut node = TestNode::new();
        let out = node.send_request(9, "clip");
        let out = node.establish(&out);
        let (conn, _) = sent_set_up(&out).unwrap();
        let refusal = NodeEvent::ServerMessage(conn, Message::release(9, cause::NOT_SENT));
        node.core.handle(node.now, refusal, &mut node.out);
        let out = node.handle(departure.clone());
        assert!(!out.iter().any(|o| matches!(o, Command::Connect(..))), "{departure:?}: {out:?}");
        assert!(sent_set_up(&out).is_none(), "{departure:?}: {out:?}");
        let later = node.advance(5 * SECOND);
        assert!(sent_set_up(&later).is_none() && node.core.sessions.is_empty(), "{departure:?}");
    }
}

#[test]
fn decider_gets_one_end_of_a_session_whenever_its_client_leaves() {
    for departure in departures(9) {
        // While the decider holds the request and no attempt is running: if it were not told, it would keep
        // the session for ever.
        let mut node = TestNode::with(ScriptedDecider::default());
        node.send_request(9, "clip");
        node.handle(departure.clone());
        assert_eq!(decider_events(&node, 9), ["request", "left"], "{departure:?}");
        // After an attempt whose end is read in the same poll.
        let mut node = TestNode::with(ScriptedDecider::default());
        node.core.decider.0.push_back(Action::SetUp(session_id(9), ServerId(0), SECOND));
        let out = node.send_request(9, "clip");
        let out = node.establish(&out);
        let (conn, _) = sent_set_up(&out).unwrap();
        let refusal = NodeEvent::ServerMessage(conn, Message::release(9, cause::FULL));
        node.core.handle(node.now, refusal, &mut node.out);
        node.handle(departure.clone());
        assert_eq!(decider_events(&node, 9), ["request", "ended, over"], "{departure:?}");
    }
}
