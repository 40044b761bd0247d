//! Ends of sessions that nothing proves to be known to their clients yet, over real sockets.

mod node;

use std::thread;
use std::time::{Duration, Instant};

use node::scripted::{
    answer_set_up, read_until_silent, request_for_cell, serve_set_ups, wait_for_message, with_parameter,
    ScriptedServers,
};
use node::{Node, SECOND};
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::Viewer;
use serde_json::json;

const MS: Duration = Duration::from_millis(1);

/// A request for a title that the first two cells hold, by this viewer, for a long session.
fn long_request(id: u64, viewer: u64) -> Message {
    let fields = format!("home:0;copies:2;top:1;viewer:{viewer:016x}");
    let request = with_parameter(Viewer::request(id, "clip", 2), code::REQUEST_FIELDS, fields);
    with_parameter(request, code::LENGTH_HINT_MS, "60000")
}

/// A connection that the front node uses for what it has to tell.
fn active_viewer(node: &Node) -> Viewer {
    let mut viewer = node.viewer();
    viewer.send(&Message::new(kind::TEST, 7).with(code::CAUSE, [0]));
    wait_for_message(&mut viewer, kind::TEST_RESULT, 7);
    viewer
}

fn assert_told(viewer: &mut Viewer, id: u64, within: Duration) {
    let since = Instant::now();
    wait_for_message(viewer, kind::RELEASE, id);
    assert!(since.elapsed() < within, "{:?}", since.elapsed());
}

/// Session 1 after its first attempt was refused on the first connection: its second set-up has come on the second one.
fn retried_set_up(name: &str, cause: u8) -> (ScriptedServers, Node, Viewer, Viewer, Viewer) {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node(name, |_| {});
    let viewer = node.viewer();
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut first = servers.accept(0);
    wait_for_message(&mut first, kind::SET_UP, 1);
    first.send(&Message::release(1, cause));
    let mut second = servers.accept(0);
    wait_for_message(&mut second, kind::SET_UP, 1);
    (servers, node, viewer, first, second)
}

// Guards against an end that is taken for a late word on an attempt that is known to be over.
#[test]
fn an_end_on_the_connection_of_a_refused_attempt_is_told_within_a_second() {
    for refusal in [cause::BROKEN, cause::ERROR, cause::NOT_SENT] {
        let (_servers, _node, mut viewer, first, second) = retried_set_up("refused-then-ended", refusal);
        answer_set_up(&second, 1);
        wait_for_message(&mut viewer, kind::ANSWER, 1);
        // The second connection is silent, and the server has lost it.
        first.send(&Message::release(1, cause::NORMAL));
        assert_told(&mut viewer, 1, SECOND);
    }
}

// Guards against an end that is dropped because it is read before the answer to a retry.
#[test]
fn an_end_that_is_read_before_the_answer_to_a_retry_is_told_after_it() {
    let (_servers, _node, mut viewer, first, second) = retried_set_up("ended-then-answered", cause::ERROR);
    first.send(&Message::release(1, cause::NORMAL));
    wait_for_message(&mut { first }, kind::RELEASE_ACK, 1);
    answer_set_up(&second, 1);
    wait_for_message(&mut viewer, kind::ANSWER, 1);
    assert_told(&mut viewer, 1, SECOND);
}

// Guards against the end of one attempt that is taken for that of the next one.
#[test]
fn a_session_is_not_ended_by_the_early_end_of_its_previous_attempt() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("early-end", |config| {
        config["settings"]["policy_limits"]["max_streams"] = json!(1);
    });
    let mut viewer = node.viewer();
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut first = servers.accept(0);
    wait_for_message(&mut first, kind::SET_UP, 1);
    viewer.send(&request_for_cell(2, "clip", 0));
    let mut second = servers.accept(0);
    wait_for_message(&mut second, kind::SET_UP, 2);
    answer_set_up(&second, 2);
    wait_for_message(&mut viewer, kind::ANSWER, 2);
    // The answer of the first session is lost with its connection, and its end comes on the other one before.
    second.send(&Message::release(1, cause::NORMAL));
    wait_for_message(&mut second, kind::RELEASE_ACK, 1);
    drop(first);
    wait_for_message(&mut second, kind::SET_UP, 1);
    answer_set_up(&second, 1);
    wait_for_message(&mut viewer, kind::ANSWER, 1);
    let told = read_until_silent(&mut viewer, SECOND);
    assert_eq!(told, [], "the second attempt plays");
}

/// Session 1 was told to move on the first client connection, which is silent; the others are an open one and that of its
/// server.
fn moved_session(name: &str) -> (ScriptedServers, Node, Viewer, Viewer, Viewer) {
    let mut servers = ScriptedServers::new(2);
    let node = servers.start_node(name, |_| {});
    let mut silent = node.viewer();
    silent.send(&long_request(1, 1));
    let (at, mut server) = loop {
        let accepted = (0..2).find_map(|at| Some((at, servers.pending_connections(at).pop()?)));
        if let Some(accepted) = accepted {
            break accepted;
        }
        thread::sleep(MS);
    };
    wait_for_message(&mut server, kind::SET_UP, 1);
    answer_set_up(&server, 1);
    wait_for_message(&mut silent, kind::ANSWER, 1);
    // Its server is overloaded when another session comes to it.
    server.send(&Message::new(kind::NOTE, 1).with(code::NOTE_KIND, "port").with(code::NOTE_VALUE, "1.3"));
    let mut other = active_viewer(&node);
    other.send(&request_for_cell(2, "clip", at));
    wait_for_message(&mut silent, kind::MOVE, 1);
    wait_for_message(&mut server, kind::SET_UP, 2);
    answer_set_up(&server, 2);
    wait_for_message(&mut other, kind::ANSWER, 2);
    (servers, node, silent, other, server)
}

// Guards against a move that is forgotten on a silent connection because its session has come to its end.
#[test]
fn the_end_of_a_moved_session_is_told_though_its_move_was_not_heard() {
    let (_servers, _node, _silent, mut other, server) = moved_session("moved-then-ended");
    server.send(&Message::release(1, cause::NORMAL));
    assert_told(&mut other, 1, SECOND);
}

// Guards against a move that is taken for heard because its viewer sends something else.
#[test]
fn the_end_of_a_moved_session_is_told_though_its_viewer_asks_for_another_one() {
    let (_servers, _node, _silent, mut other, mut server) = moved_session("moved-then-another");
    other.send(&long_request(3, 1));
    wait_for_message(&mut server, kind::RELEASE, 1);
    assert_told(&mut other, 1, SECOND);
}

// Guards against a session that is held for ever because its server does not know it.
#[test]
fn the_end_of_a_session_that_its_server_does_not_hold_is_told_after_the_hand_over() {
    let mut servers = ScriptedServers::new(1);
    serve_set_ups(servers.listeners[0].try_clone().unwrap(), answer_set_up);
    let node = servers.start_node("not-held", |_| {});
    let mut viewer = node.viewer();
    let fields = "home:0;copies:1;top:1;viewer:0000000000000005;at:s-00000001";
    viewer.send(&with_parameter(Viewer::request(5, "clip", 1), code::REQUEST_FIELDS, fields));
    // A hand-over counts 0.2 s later.
    let deadline = Instant::now() + 8_250 * MS;
    while viewer.next(MS * 100).is_none() {
        assert!(Instant::now() < deadline, "not told");
    }
}

// Guards against the end of a handed-over session that its server holds.
#[test]
fn a_handed_over_session_with_notes_from_its_server_plays_on() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("held", |_| {});
    let mut viewer = node.viewer();
    let fields = "home:0;copies:1;top:1;viewer:0000000000000005;at:s-00000001";
    viewer.send(&with_parameter(Viewer::request(5, "clip", 1), code::REQUEST_FIELDS, fields));
    let mut connections = vec![servers.accept(0)];
    let since = Instant::now();
    while since.elapsed() < 9 * SECOND {
        let note = Message::new(kind::NOTE, 5).with(code::NOTE_KIND, "port").with(code::NOTE_VALUE, "0.5");
        connections.last().unwrap().send(&note);
        // `reports_every_ms` of the settings.
        assert_eq!(viewer.next(3 * SECOND), None);
        connections.extend(servers.pending_connections(0));
    }
}
