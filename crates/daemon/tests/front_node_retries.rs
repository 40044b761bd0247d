//! A further attempt of a request, and what is known by then of the attempt before it.

mod node;

use std::time::Duration;

use node::hand::{plays, request_at, wait_for, Hands};
use node::SECOND;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::Viewer;

const MS: Duration = Duration::from_millis(1);
/// Of the stand-in's class `clip`: 0.45 of its aim of 600 ms, after which an attempt is given up.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(270);

/// A server's connection on which the first attempt of request 1 is out, and is being given up.
fn first_attempt_given_up(hands: &mut Hands, viewer: &Viewer) -> Viewer {
    viewer.send(&request_at(1, "clip", 0));
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    std::thread::sleep(ATTEMPT_TIMEOUT);
    line
}

#[test]
fn no_second_attempt_reaches_a_server_that_has_not_ended_the_first() {
    let mut hands = Hands::new(1);
    let node = hands.node("retry-unread", |_| {});
    let mut viewer = node.viewer();
    // Its bytes are read late: the give-up lies there unread.
    let _unread = first_attempt_given_up(&mut hands, &viewer);
    let answer = viewer.next(SECOND).expect("an answer");
    assert_eq!(
        (answer.kind, answer.cause()),
        (kind::RELEASE, Some(cause::FULL)),
        "refused: it may be repeated"
    );
    let mut others = hands.accepted(0);
    assert!(others.iter_mut().all(|other| other.next(50 * MS).is_none_or(|m| m.kind != kind::SET_UP)));
}

#[test]
fn a_retry_follows_once_the_server_has_heard_of_the_give_up() {
    let mut hands = Hands::new(1);
    let node = hands.node("retry-heard", |_| {});
    let mut viewer = node.viewer();
    let mut first = first_attempt_given_up(&mut hands, &viewer);
    wait_for(&mut first, kind::RELEASE, 1);
    first.send(&Message::new(kind::RELEASE_ACK, 1));
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    let late = Message::new(kind::ANSWER, 1).with(code::DESCRIPTION, "made by the first attempt");
    first.send(&late);
    plays(&line, 1);
    let answer = viewer.next(SECOND).expect("an answer");
    assert_eq!(answer.text(code::DESCRIPTION), Some("made by hand"));
}
#[test]
fn a_retry_follows_once_the_server_has_closed_the_connection_of_the_first_attempt() {
    let mut hands = Hands::new(1);
    let node = hands.node("retry-closed", |_| {});
    let mut viewer = node.viewer();
    let mut line = first_attempt_given_up(&mut hands, &viewer);
    wait_for(&mut line, kind::RELEASE, 1);
    assert!(line.closes(SECOND), "nothing more is written on it");
    drop(line);
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    plays(&line, 1);
    assert_eq!(viewer.next(SECOND).map(|answer| answer.kind), Some(kind::ANSWER));
}
