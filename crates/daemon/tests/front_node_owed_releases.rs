//! Releases that media servers are owed until they have read them, over real sockets.

mod node;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use node::scripted::{request_for_cell, start_session, wait_for_message, ScriptedServers};
use node::SECOND;
use salttally_platform::wire::kind;
use salttally_standin::platform::Viewer;
use socket2::SockRef;

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
