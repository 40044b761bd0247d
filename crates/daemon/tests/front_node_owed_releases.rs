//! Releases that media servers are owed until they have read them, over real sockets.

mod node;

use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::{
    answer_set_up, request_for_cell, start_session, start_with_session, wait_for_message, with_parameter,
    ScriptedServers,
};
use node::SECOND;
use rustix::process::Signal;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::Viewer;
use serde_json::json;
use socket2::SockRef;

const MS: Duration = Duration::from_millis(1);
/// Connections that a front node may make in 3 s to a server that resets each one: one in 0.1 s.
const MAX_CONNECTIONS: usize = 30;

fn reset(connection: Viewer) {
    SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO)).unwrap();
}

// Guards against a release that is sent again without a pause on connections that are reset as soon as they are accepted.
#[test]
fn a_server_that_resets_each_connection_is_not_dialled_in_a_loop() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("dial-loop", |_| {});
    let mut viewer = node.viewer();
    // With a session that plays, its health is checked too.
    let mut playing = start_session(&servers, &mut viewer);
    viewer.send(&request_for_cell(2, "clip", 0));
    wait_for_message(&mut playing, kind::SET_UP, 2);
    let count = Arc::new(AtomicUsize::new(0));
    let (listener, counted) = (servers.listeners[0].try_clone().unwrap(), count.clone());
    listener.set_nonblocking(false).unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            counted.fetch_add(1, Ordering::Relaxed);
            reset(Viewer::from_stream(stream));
        }
    });
    reset(playing);
    thread::sleep(3 * SECOND);
    let count = count.load(Ordering::Relaxed);
    assert!(count <= MAX_CONNECTIONS, "{count} connections in 3 s");
}

// Guards against a session that plays for nobody because its give-up is taken for settled by the close of its connection.
#[test]
fn a_session_whose_answer_comes_too_late_is_released_though_its_connection_closes_in_order() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("late-answer", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&with_parameter(request_for_cell(1, "clip", 0), code::WAIT_MS, "300"));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    // The process is stopped until after the deadline; the answer and the close lie in its socket.
    node.suspend();
    answer_set_up(&connection, 1);
    drop(connection);
    thread::sleep(800 * MS);
    node.signal(Signal::CONT);
    wait_for_message(&mut viewer, kind::RELEASE, 1);
    let mut next = servers.accept(0);
    wait_for_message(&mut next, kind::RELEASE, 1);
}

// Guards against releases that are dropped because a server that is full refuses one connection.
#[test]
fn a_session_is_released_at_a_server_that_had_no_room_for_a_connection() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("release-refused", |config| {
        config["settings"]["policy_limits"]["conn_idle_ms"] = json!(900);
    });
    let mut viewer = node.viewer();
    let mut connection = start_session(&servers, &mut viewer);
    assert!(connection.closes(SECOND), "the idle connection is finished");
    drop(connection);
    let address = servers.address(0);
    servers.listeners.clear();
    viewer.send(&Message::release(1, cause::NORMAL));
    wait_for_message(&mut viewer, kind::RELEASE_ACK, 1);
    let since = Instant::now();
    thread::sleep(SECOND);
    servers.listeners.push(TcpListener::bind(address).unwrap());
    let mut next = servers.accept(0);
    wait_for_message(&mut next, kind::RELEASE, 1);
    assert!(since.elapsed() < 8 * SECOND);
}

/// Reads and acknowledges the release of session 1 on the next connection to its server.
fn release_on_next_connection(servers: &ScriptedServers) -> Viewer {
    let mut next = servers.accept(0);
    wait_for_message(&mut next, kind::RELEASE, 1);
    next.send(&Message::new(kind::RELEASE_ACK, 1));
    next
}

// Guards against a session that plays for nobody because its release lies on a connection on which nothing passes any more.
#[test]
fn a_release_on_a_silent_connection_is_sent_on_another_one() {
    let (servers, _node, viewer, _silent) = start_with_session("release-silent", 1);
    viewer.send(&Message::release(1, cause::NORMAL));
    let since = Instant::now();
    let _next = release_on_next_connection(&servers);
    assert!(since.elapsed() < SECOND, "{:?}", since.elapsed());
}

// Guards against the same at the exit.
#[test]
fn a_release_on_a_silent_connection_is_sent_on_another_one_before_the_exit() {
    let (servers, mut node, mut viewer, _silent) = start_with_session("exit-release-silent", 1);
    node.signal(Signal::TERM);
    wait_for_message(&mut viewer, kind::RELEASE, 1);
    viewer.send(&Message::new(kind::RELEASE_ACK, 1));
    drop((release_on_next_connection(&servers), viewer));
    assert!(node.wait_for_exit(SECOND).is_some_and(|status| status.success()));
}
