//! Further attempts of a request, depending on what is known by then about the previous attempt.

mod node;

use std::time::Duration;

use node::scripted::{answer_set_up, request_for_cell, wait_for_message, ScriptedServers};
use node::SECOND;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::Viewer;
use socket2::SockRef;

const MS: Duration = Duration::from_millis(1);
/// Time after which an attempt of the stand-in's class `clip` is given up: 0.45 of its aim of 600 ms.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(270);

/// Returns the server's connection on which the first attempt of request 1 has just timed out.
fn first_attempt_given_up(servers: &mut ScriptedServers, viewer: &Viewer) -> Viewer {
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    std::thread::sleep(ATTEMPT_TIMEOUT);
    connection
}

#[test]
fn no_second_attempt_reaches_a_server_that_has_not_confirmed_the_end_of_the_first() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("retry-unread", |_| {});
    let mut viewer = node.viewer();
    // The server does not read, so the release of the first attempt stays unread.
    let _unread = first_attempt_given_up(&mut servers, &viewer);
    let answer = viewer.next(SECOND).expect("an answer");
    assert_eq!(
        (answer.kind, answer.cause()),
        (kind::RELEASE, Some(cause::FULL)),
        "refused, so the client may repeat it"
    );
    let mut others = servers.pending_connections(0);
    assert!(others.iter_mut().all(|other| other.next(50 * MS).is_none_or(|m| m.kind != kind::SET_UP)));
}

#[test]
fn a_retry_follows_once_the_server_has_acknowledged_the_release() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("retry-heard", |_| {});
    let mut viewer = node.viewer();
    let mut first = first_attempt_given_up(&mut servers, &viewer);
    wait_for_message(&mut first, kind::RELEASE, 1);
    first.send(&Message::new(kind::RELEASE_ACK, 1));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    let late = Message::new(kind::ANSWER, 1).with(code::DESCRIPTION, "made by the first attempt");
    first.send(&late);
    answer_set_up(&connection, 1);
    let answer = viewer.next(SECOND).expect("an answer");
    assert_eq!(answer.text(code::DESCRIPTION), Some("made by hand"));
}

#[test]
fn a_retry_follows_once_the_server_has_closed_the_connection_of_the_first_attempt() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("retry-closed", |_| {});
    let mut viewer = node.viewer();
    let mut connection = first_attempt_given_up(&mut servers, &viewer);
    wait_for_message(&mut connection, kind::RELEASE, 1);
    assert!(connection.closes(SECOND), "the node closes the connection");
    drop(connection);
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    answer_set_up(&connection, 1);
    assert_eq!(viewer.next(SECOND).map(|answer| answer.kind), Some(kind::ANSWER));
}

// Guards against a session that plays at its server for no client because its answer was lost with a reset.
#[test]
fn a_session_whose_answer_was_lost_with_a_reset_is_released_before_the_retry() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("retry-reset", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(connection);
    let mut connection = servers.accept(0);
    let first = connection.next(SECOND).expect("a message on the next connection");
    assert_eq!((first.kind, first.session), (kind::RELEASE, 1));
    connection.send(&Message::release(1, cause::ON_PURPOSE));
    wait_for_message(&mut connection, kind::SET_UP, 1);
    answer_set_up(&connection, 1);
    assert_eq!(viewer.next(SECOND).map(|answer| answer.kind), Some(kind::ANSWER));
}
