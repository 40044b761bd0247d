//! What a front node owes to its clients when it shuts down, over real sockets.

mod node;

use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::{request_for_cell, serve_sessions, wait_for_message, with_parameter, ScriptedServers};
use node::{Node, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::Viewer;
use socket2::SockRef;

const MS: Duration = Duration::from_millis(1);
/// The kill comes no sooner than this after SIGTERM: the deadline of the stand-in's classes and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(2_200);
/// Requests are served for this long after SIGTERM.
const REQUEST_GRACE: Duration = Duration::from_millis(800);

/// A front node with one media server that answers at once and acknowledges releases.
fn start_node(name: &str) -> (ScriptedServers, Node) {
    let mut servers = ScriptedServers::new(1);
    serve_sessions(servers.listeners[0].try_clone().unwrap());
    let node = servers.start_node(name, |_| {});
    (servers, node)
}

fn play(viewer: &mut Viewer, id: u64) {
    viewer.send(&request_for_cell(id, "clip", 0));
    wait_for_message(viewer, kind::ANSWER, id);
}

/// A connection on which something was sent, so that the front node uses it.
fn active_viewer(node: &Node) -> Viewer {
    let mut viewer = node.viewer();
    viewer.send(&Message::new(kind::TEST, 7).with(code::CAUSE, [0]));
    wait_for_message(&mut viewer, kind::TEST_RESULT, 7);
    viewer
}

fn terminate(node: &Node) -> Instant {
    node.signal(Signal::TERM);
    Instant::now()
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A shutdown that begins while session 1 plays: a connection that was used, that of the session, and when.
fn shutdown_while_playing(node: &Node) -> (Viewer, Viewer, Instant) {
    let other = active_viewer(node);
    let mut viewer = node.viewer();
    play(&mut viewer, 1);
    (other, viewer, terminate(node))
}

/// The same shortly before the sessions are released, with a new connection and no session.
fn late_in_shutdown(node: &Node) -> (Viewer, Viewer) {
    let other = active_viewer(node);
    let viewer = node.viewer();
    sleep_until(terminate(node) + REQUEST_GRACE - 100 * MS);
    (other, viewer)
}

/// Whether the end of a session is told on this connection before it closes. The client acknowledges it.
fn is_told(viewer: &mut Viewer, id: u64) -> bool {
    let deadline = Instant::now() + EARLIEST_KILL;
    while Instant::now() < deadline && !viewer.is_closed() {
        let message = viewer.next(50 * MS);
        if message.is_some_and(|message| message.kind == kind::RELEASE && message.session == id) {
            viewer.send(&Message::new(kind::RELEASE_ACK, id));
            return true;
        }
    }
    false
}

/// Resets a connection as soon as something lies in it unread.
fn reset_when_sent(viewer: Viewer) {
    viewer.stream.set_read_timeout(Some(2 * SECOND)).unwrap();
    viewer.stream.peek(&mut [0]).unwrap();
    SockRef::from(&viewer.stream).set_linger(Some(Duration::ZERO)).unwrap();
}

// Guards against an exit before the end that is kept for a second copy of its request is told.
#[test]
fn an_end_whose_client_has_disconnected_is_told_before_the_exit() {
    let (_servers, node) = start_node("exit-disconnected");
    let (mut other, mut viewer) = late_in_shutdown(&node);
    play(&mut viewer, 1);
    viewer.stream.shutdown(Shutdown::Both).unwrap();
    assert!(is_told(&mut other, 1));
}

// Guards against the same where the media server ends the session shortly before the exit.
#[test]
fn an_end_by_the_server_shortly_before_the_exit_is_told() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("exit-server-end", |_| {});
    let (mut other, mut viewer) = late_in_shutdown(&node);
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut server = servers.accept(0);
    wait_for_message(&mut server, kind::SET_UP, 1);
    server.send(&Message::new(kind::ANSWER, 1).with(code::DESCRIPTION, "made by hand"));
    wait_for_message(&mut viewer, kind::ANSWER, 1);
    viewer.stream.shutdown(Shutdown::Both).unwrap();
    server.send(&Message::release(1, cause::NORMAL));
    assert!(is_told(&mut other, 1));
}

// Guards against an exit while the release of a session lies on a connection that is reset.
#[test]
fn a_release_that_is_lost_with_a_reset_during_the_shutdown_is_told_on_another_connection() {
    let (_servers, node) = start_node("exit-reset");
    let (mut other, viewer, _) = shutdown_while_playing(&node);
    reset_when_sent(viewer);
    assert!(is_told(&mut other, 1));
}

// Guards against an exit while a release lies on a connection on which nothing passes.
#[test]
fn a_release_on_a_silent_connection_is_told_on_another_one_before_the_exit() {
    let (_servers, node) = start_node("exit-silent");
    let (mut other, viewer, _) = shutdown_while_playing(&node);
    assert!(is_told(&mut other, 1));
    drop(viewer);
}

// Guards against an exit while an end waits for a client to connect.
#[test]
fn an_end_without_a_connected_client_is_told_to_one_that_connects_before_the_kill() {
    let (_servers, node) = start_node("exit-unconnected");
    let mut viewer = node.viewer();
    play(&mut viewer, 1);
    viewer.stream.shutdown(Shutdown::Both).unwrap();
    thread::sleep(SECOND / 2);
    let signalled = terminate(&node);
    sleep_until(signalled + REQUEST_GRACE + 300 * MS);
    let mut next = node.viewer();
    next.send(&Message::new(kind::TEST, 7).with(code::CAUSE, [0]));
    assert!(is_told(&mut next, 1));
}

// Guards against an exit within the time in which a request that crossed its connection's end is sent once more.
#[test]
fn a_second_copy_that_arrives_as_the_process_shuts_down_is_answered() {
    let (_servers, node) = start_node("exit-copy");
    let mut viewer = node.viewer();
    let signalled = terminate(&node);
    sleep_until(signalled + REQUEST_GRACE - 30 * MS);
    let request = request_for_cell(1, "paid", 0);
    viewer.send(&request);
    wait_for_message(&mut viewer, kind::ANSWER, 1);
    SockRef::from(&viewer.stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(viewer);
    thread::sleep(60 * MS);
    send_copy_and_read_answer(&node, &request);
}

// Guards against signals in series that shorten the shutdown.
#[test]
fn a_second_signal_changes_nothing_of_what_is_owed() {
    let (_servers, mut node) = start_node("exit-signals");
    let (mut other, viewer, signalled) = shutdown_while_playing(&node);
    for _ in 0..5 {
        thread::sleep(150 * MS);
        node.signal(Signal::TERM);
        node.signal(Signal::HUP);
    }
    reset_when_sent(viewer);
    assert!(is_told(&mut other, 1));
    drop(other);
    assert!(node.wait_for_exit(EARLIEST_KILL).is_some_and(|status| status.success()));
    assert!(signalled.elapsed() < EARLIEST_KILL);
}

// Guards against a shutdown whose times begin too late because the process was stopped at the signal.
#[test]
fn an_end_is_told_before_the_earliest_kill_though_the_process_was_stopped_at_the_signal() {
    let (_servers, node) = start_node("exit-stopped");
    let mut viewer = node.viewer();
    play(&mut viewer, 1);
    node.suspend();
    let signalled = terminate(&node);
    thread::sleep(SECOND);
    node.signal(Signal::CONT);
    assert!(is_told(&mut viewer, 1));
    assert!(signalled.elapsed() < EARLIEST_KILL, "{:?}", signalled.elapsed());
}

/// A request that crosses the close of its connection by the exit: the two connections that were closed, and the request.
fn cross_the_close(node: &Node) -> (Viewer, Viewer, Message) {
    let mut first = active_viewer(node);
    let mut crossing = active_viewer(node);
    terminate(node);
    assert!(first.closes(EARLIEST_KILL));
    let request = request_for_cell(1, "clip", 0);
    crossing.send(&request);
    assert_eq!(crossing.next(SECOND), None);
    (first, crossing, request)
}

fn send_copy_and_read_answer(node: &Node, request: &Message) {
    let mut copy = node.viewer();
    copy.send(request);
    let answer = copy.next(SECOND).expect("an answer to the second copy");
    assert_eq!((answer.kind, answer.session), (kind::RELEASE, 1));
}

// Guards against a request that is lost because it was written before its client saw the close of the exit.
#[test]
fn a_request_that_crosses_the_close_of_the_exit_is_answered_on_its_next_connection() {
    let (_servers, mut node) = start_node("exit-crossing");
    let (first, crossing, request) = cross_the_close(&node);
    send_copy_and_read_answer(&node, &request);
    drop((first, crossing));
    assert!(node.wait_for_exit(EARLIEST_KILL).is_some_and(|status| status.success()));
}

// Guards against an exit before the second copy of a request that crossed the close comes on a connection that comes up late.
#[test]
fn a_request_that_crosses_the_close_of_the_exit_is_answered_on_a_connection_that_comes_up_late() {
    let (_servers, node) = start_node("exit-late-crossing");
    let (first, crossing, request) = cross_the_close(&node);
    drop((first, crossing));
    thread::sleep(700 * MS);
    send_copy_and_read_answer(&node, &request);
}

// Guards against clients that are closed only as the kill is near because a second copy is expected: what crosses that close
// could not be sent once more.
#[test]
fn clients_are_closed_long_before_the_kill_though_a_second_copy_is_expected() {
    let (_servers, node) = start_node("exit-early-close");
    let mut first = active_viewer(&node);
    let crossing = active_viewer(&node);
    let signalled = terminate(&node);
    sleep_until(signalled + REQUEST_GRACE - 30 * MS);
    crossing.send(&with_parameter(request_for_cell(1, "clip", 0), code::CLASS, "none"));
    thread::sleep(10 * MS);
    SockRef::from(&crossing.stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(crossing);
    assert!(first.closes(EARLIEST_KILL));
    assert!(signalled.elapsed() < REQUEST_GRACE + SECOND / 2, "{:?}", signalled.elapsed());
    Viewer::connect(node.listen).expect("the process listens for the second copy");
}
