//! Too few descriptors for the connections to servers.

use super::*;

pub(super) const SERVERS: u32 = 40;

/// A node with more servers than the connections that its descriptors allow.
pub(super) fn node_with_few_descriptors(sockets: usize) -> TestNode<ScriptedDecider> {
    TestNode::with_servers(SERVERS, 1, resources(sockets))
}

pub(super) fn request_at(node: &mut TestNode<ScriptedDecider>, id: u64, server: u32) -> Vec<Command> {
    node.core.decider.0.push_back(Action::SetUp(session_id(id), ServerId(server), SECOND));
    node.core.handle(
        node.now,
        NodeEvent::ClientMessage(ClientId(1), request_message(id, "clip", "")),
        &mut node.out,
    );
    node.core.decide(node.now, &mut node.out);
    std::mem::take(&mut node.out)
}

#[test]
fn finishes_an_idle_connection_before_its_place_is_needed() {
    let mut node = node_with_few_descriptors(24);
    let mut finished = 0;
    for server in 0..SERVERS {
        let out = request_at(&mut node, u64::from(server) + 1, server);
        assert!(!out.iter().any(|command| matches!(command, Command::CloseServer(_))), "{server}: {out:?}");
        let ended = out.iter().filter_map(|command| match command {
            Command::FinishServer(conn) => Some(*conn),
            _ => None,
        });
        let ended: Vec<ConnId> = ended.collect();
        finished += ended.len();
        let established = node.establish(&out);
        let (conn, _) = sent_set_up(&established).expect("a connection is established");
        ended.into_iter().for_each(|conn| drop(node.handle(NodeEvent::ServerClosed(conn))));
        node.handle(NodeEvent::ServerMessage(conn, answer_message(u64::from(server) + 1)));
        node.now += SECOND / 100;
    }
    assert!(finished > 0 && node.core.pool.room_counts().closed == 0, "{:?}", node.core.pool.room_counts());
}

#[test]
fn attempt_without_room_for_a_connection_ends_unsent_after_a_delay() {
    let mut node = node_with_few_descriptors(24);
    let mut id = 0;
    let without_room = loop {
        id += 1;
        let out = request_at(&mut node, id, id as u32 - 1);
        if !out.iter().any(|command| matches!(command, Command::Connect(..))) {
            break id;
        }
    };
    let ended = |node: &TestNode<ScriptedDecider>| {
        node.core.decider.1.iter().find_map(|event| match event {
            Event::Ended { session, outcome, .. } if *session == session_id(without_room) => Some(*outcome),
            _ => None,
        })
    };
    assert_eq!(ended(&node), None, "not at once");
    node.advance(SECOND / 20);
    assert_eq!(ended(&node), Some(Outcome::NotSent));
}
