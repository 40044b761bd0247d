//! Ends of sessions that are lost with a connection to their media server, over real sockets.

mod node;

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::{
    answer_set_up, read_until_silent, request_for_cell, serve_set_ups, start_session, wait_for_message,
    ScriptedServers,
};
use node::{Node, SECOND};
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::Viewer;
use serde_json::json;
use socket2::SockRef;

/// How the connection with the end on its way is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Reset,
    Closed,
    /// The front node does not learn of it.
    Unnoticed,
}

/// A front node with session 1 on the first of two connections to its media server, the second of which is in use.
fn two_connections(name: &str) -> (ScriptedServers, Node, Viewer, Viewer, Viewer) {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node(name, |_| {});
    let mut viewer = node.viewer();
    let first = start_session(&servers, &mut viewer);
    // After 2 s of silence the front node checks the server on a new connection.
    let second = servers.accept(0);
    (servers, node, viewer, first, second)
}

// Guards against an end that is never told because another connection to its server is in use.
#[test]
fn an_end_lost_with_one_connection_is_told_though_another_one_is_in_use() {
    for loss in [Loss::Reset, Loss::Closed, Loss::Unnoticed] {
        let (servers, node, mut viewer, first, second) = two_connections("owed-end");
        let lost_at = Instant::now();
        if loss == Loss::Reset {
            SockRef::from(&first.stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
        let _silent = (loss == Loss::Unnoticed).then_some(first);
        // The server reports the end once more on the next connection, and is heard on the other one until then.
        let mut next = Vec::new();
        while next.is_empty() && lost_at.elapsed() < 8 * SECOND {
            second.send(&Message::new(kind::NOTE, 1).with(24, "port").with(39, "0.5"));
            thread::sleep(Duration::from_millis(100));
            next = servers.pending_connections(0);
        }
        assert!(!next.is_empty(), "{loss:?}: no further connection in 8 s");
        next[0].send(&Message::release(1, cause::NORMAL));
        let end = viewer.next(SECOND);
        assert!(end.is_some_and(|end| end.kind == kind::RELEASE && end.session == 1), "{loss:?}");
        drop(node);
    }
}

/// Number of media servers of a front node whose descriptors allow connections to a few of them.
const MANY_SERVERS: usize = 12;
const FEW_SOCKETS: usize = 44;

// Guards against a release that goes to a connection which was closed for room before its server had taken it.
#[test]
fn an_end_at_a_server_that_hangs_is_told_though_connections_are_scarce() {
    let mut servers = ScriptedServers::new(MANY_SERVERS);
    for listener in &servers.listeners[1..] {
        serve_set_ups(listener.try_clone().unwrap(), answer_set_up);
    }
    let node = servers.start_node_with_sockets("owed-end-hang", FEW_SOCKETS, |config| {
        config["settings"]["policy_limits"]["conn_idle_ms"] = json!(1_500);
    });
    let mut viewer = node.viewer();
    let mut first = start_session(&servers, &mut viewer);
    for at in 1..MANY_SERVERS {
        viewer.send(&request_for_cell(at as u64 + 1, "clip", at));
        assert_eq!(viewer.next(SECOND).map(|message| message.kind), Some(kind::ANSWER));
    }
    // The first server has no connection any more when its session ends, and hangs from then on.
    assert!(first.closes(3 * SECOND), "the idle connection is finished");
    drop(first);
    thread::sleep(5 * SECOND);
    // It goes on: it takes the connections that wait in order, and reports the end on the first.
    let mut waiting = servers.pending_connections(0);
    assert!(!waiting.is_empty(), "no connection in 5 s");
    waiting[0].send(&Message::release(1, cause::NORMAL));
    wait_for_message(&mut viewer, kind::RELEASE, 1);
    waiting.truncate(1);
}

// Guards against the end of all sessions at a server that takes no further connection while one to it is open.
#[test]
fn a_server_that_refuses_further_connections_keeps_its_sessions() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("owed-end-refused", |_| {});
    let mut viewer = node.viewer();
    let mut connection = start_session(&servers, &mut viewer);
    // Health checks begin after 2 s of silence, and are refused from now on.
    let address = servers.address(0);
    servers.listeners.clear();
    assert!(connection.closes(4 * SECOND), "a refused check finishes the idle connection");
    // The server closes it too, and has room for the next one.
    servers.listeners.push(TcpListener::bind(address).unwrap());
    drop(connection);
    let next = servers.accept(0);
    let told = read_until_silent(&mut viewer, SECOND);
    assert_eq!(told, [], "the session plays");
    next.send(&Message::release(1, cause::NORMAL));
    wait_for_message(&mut viewer, kind::RELEASE, 1);
}

// Guards against an end that is never told because nothing passes on its client's connection any more.
#[test]
fn an_end_on_a_silent_client_connection_is_told_on_another_one_within_a_second() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("owed-end-client", |_| {});
    let mut silent = node.viewer();
    let server = start_session(&servers, &mut silent);
    let mut other = node.viewer();
    other.send(&Message::new(kind::TEST, 7).with(code::CAUSE, [0]));
    wait_for_message(&mut other, kind::TEST_RESULT, 7);
    server.send(&Message::release(1, cause::NORMAL));
    let ended_at = Instant::now();
    wait_for_message(&mut other, kind::RELEASE, 1);
    assert!(ended_at.elapsed() < SECOND, "{:?}", ended_at.elapsed());
    drop(silent);
}
