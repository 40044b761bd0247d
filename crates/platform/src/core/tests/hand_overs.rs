//! Which handed-over sessions are taken beside clients that make sessions up.

use super::super::pool::CheckPriority;
use super::*;

/// Memory for 32 sessions that only a client's word speaks for.
const MEMORY_BYTES: usize = 32 * 4 * 2_048;

fn node_with_little_memory() -> TestNode<ScriptedDecider> {
    let resources = Resources { sockets: 256, memory_bytes: MEMORY_BYTES };
    TestNode::with_servers(SERVER_COUNT, 4, resources)
}

// Guards against made-up sessions that leave no room for those that play.
#[test]
fn a_connection_with_few_handed_over_sessions_keeps_them_beside_connections_with_many() {
    let mut node = node_with_little_memory();
    (1..4).for_each(|id| drop(node.hand_over(1, id, 0)));
    for id in 0..30 {
        node.hand_over(2, 100 + id, (id % 2) as u32);
        node.hand_over(3, 200 + id, (id % 2) as u32);
    }
    (4..7).for_each(|id| drop(node.hand_over(1, id, 2)));
    // A closed connection's sessions stay, and count as before.
    node.handle(NodeEvent::ClientClosed(ClientId(2)));
    (7..9).for_each(|id| drop(node.hand_over(1, id, 0)));
    assert!((1..9).all(|id| node.core.sessions.contains_key(&id)));
    assert_eq!(node.core.sessions.len(), 32);
    let not_taken = node.core.counts().not_taken;
    assert_eq!((not_taken.server_full, not_taken.displaced), (0, 5), "{not_taken:?}");
}

// Guards against an end that is told only once, on a connection that may be silent, because made-up sessions of servers that
// are not listed have used up the room.
#[test]
fn the_end_of_a_session_at_a_server_that_is_gone_is_owed_beside_made_up_ones() {
    const GONE: u32 = 70;
    let mut node = node_with_little_memory();
    (0..20).for_each(|id| drop(node.hand_over(2, 100 + id, GONE + id as u32)));
    node.hand_over(1, 1, GONE);
    let out = node.advance(3 * SECOND);
    let told = sent_to_client(&out).filter(|message| message.kind == kind::RELEASE && message.session == 1);
    assert!(told.count() >= 2, "told again until its client acknowledges it");
}

// Guards against the loss of an end, and of a session that its server has shown to play.
#[test]
fn what_a_server_says_of_a_session_that_was_not_taken_counts() {
    let mut node = node_with_little_memory();
    for id in 100..125 {
        let out = node.hand_over(2, id, 0);
        node.establish(&out);
    }
    assert_eq!(node.core.counts().not_taken.server_full, 5, "a server has 20 places");
    let conn = node.core.pool.connections_to(ServerId(0))[0];
    let note = Message::new(kind::NOTE, 130).with(code::NOTE_KIND, "port").with(code::NOTE_VALUE, "0.5");
    node.handle(NodeEvent::ServerMessage(conn, note));
    node.hand_over(2, 130, 0);
    assert!(node.core.sessions.contains_key(&130), "its server has sent a note on it");
    let out = node.handle(NodeEvent::ServerMessage(conn, Message::release(124, cause::NORMAL)));
    assert!(sent_to_client(&out).any(|m| m.kind == kind::RELEASE && m.session == 124), "{out:?}");
    let out = node.handle(NodeEvent::ServerMessage(conn, Message::release(124, cause::NORMAL)));
    assert_eq!(sent_to_client(&out).count(), 0, "it has been told");
}

// Guards against made-up sessions that use up the room for releases and ends that are owed.
#[test]
fn the_end_of_a_session_that_plays_is_owed_beside_more_made_up_ones_than_may_be() {
    const CLIENTS: u64 = 300;
    let mut node = TestNode::with_servers(SERVER_COUNT, 0, resources(1_024));
    for client in 1..=CLIENTS {
        node.handle(NodeEvent::ClientConnected(ClientId(client)));
        for at in 0..60 {
            let message = request_message(client * 100 + at, "paid", &format!(";at:s-{:08x}", at / 20));
            let event = NodeEvent::ClientMessage(ClientId(client), message);
            node.core.handle(node.now, event, &mut node.out);
        }
    }
    let playing = u64::MAX;
    node.handle(NodeEvent::ClientConnected(ClientId(CLIENTS + 1)));
    node.hand_over(CLIENTS + 1, playing, 2);
    assert_eq!(node.core.sessions.len() as u64, CLIENTS * 60 + 1);
    node.handle(NodeEvent::Shutdown);
    node.now += SECOND;
    node.core.handle(node.now, NodeEvent::Tick, &mut node.out);
    let is_owed = node.core.releases.unacknowledged().any(|release| release == (playing, ServerId(2)));
    assert!(is_owed && !node.core.sessions.is_empty(), "it is among the first that are ended");
    node.advance(SECOND / 4);
    assert!(node.core.sessions.is_empty() && node.core.counts().not_taken.sent_once > 0);
    assert!(node.core.releases.unacknowledged().any(|release| release == (playing, ServerId(2))));
    assert!(node.core.client_notices.message(playing).is_some());
}

// Guards against made-up sessions at very many servers that use up the connections on which ends of others are learnt.
#[test]
fn servers_of_made_up_sessions_alone_are_checked_on_a_small_part_of_the_connections() {
    const SERVERS: u32 = 190;
    const PLAYS_AT: u32 = 150;
    let mut node = TestNode::with_servers(SERVERS, 2, resources(96));
    // One more session than the first server has places shows that sessions are made up.
    (0..21).for_each(|id| drop(node.hand_over(1, 1_000 + id, 0)));
    let mut dialed = BTreeSet::new();
    let mut establish = |node: &mut TestNode<ScriptedDecider>, out: Vec<Command>| {
        dialed.extend(out.iter().filter_map(|command| match command {
            Command::Connect(_, to) => Some(*to),
            _ => None,
        }));
        node.establish(&out);
    };
    for server in 1..SERVERS {
        let out = node.hand_over(1, 2_000 + u64::from(server), server);
        establish(&mut node, out);
    }
    let out = node.hand_over(2, 1, PLAYS_AT);
    establish(&mut node, out);
    assert_eq!(node.core.check_priority(ServerId(PLAYS_AT)), CheckPriority::Normal);
    assert_eq!(node.core.check_priority(ServerId(7)), CheckPriority::Low);
    assert!(dialed.contains(&address(PLAYS_AT)));
    // 96 descriptors leave 40 connections to servers, and an eighth of them for these checks, beside the first server's.
    assert!(dialed.len() <= 7, "{} servers are connected to", dialed.len());
}
