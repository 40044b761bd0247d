//! Requests that cross the end of their connection and are sent once more, over real sockets.

mod node;

use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use node::scripted::{
    answer_set_up, read_until_silent, refuse_set_ups, request_for_cell, wait_for_message, ScriptedServers,
};
use node::{Node, SECOND};
use salttally_platform::wire::{cause, kind, Message};
use salttally_standin::platform::Viewer;
use serde_json::json;
use socket2::SockRef;

/// How the connection of the first copy ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Reset,
    Closed,
    /// The front node does not learn of it.
    Unnoticed,
}

const ENDS: [End; 3] = [End::Reset, End::Closed, End::Unnoticed];
const SILENCE: Duration = Duration::from_millis(600);

fn end_connection(viewer: Viewer, end: End) -> Option<Viewer> {
    match end {
        End::Reset => SockRef::from(&viewer.stream).set_linger(Some(Duration::ZERO)).unwrap(),
        End::Closed => viewer.stream.shutdown(Shutdown::Both).unwrap(),
        End::Unnoticed => return Some(viewer),
    }
    None
}

/// A front node with one media server, which has read the first copy of request 1, and the connections of client and server.
fn first_copy(name: &str, class: &str) -> (ScriptedServers, Node, Viewer, Viewer) {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node(name, |_| {});
    let viewer = node.viewer();
    viewer.send(&request_for_cell(1, class, 0));
    let mut server = servers.accept(0);
    wait_for_message(&mut server, kind::SET_UP, 1);
    (servers, node, viewer, server)
}

fn send_copy(node: &Node, class: &str) -> Viewer {
    let viewer = node.viewer();
    viewer.send(&request_for_cell(1, class, 0));
    viewer
}

fn set_ups(messages: &[Message]) -> usize {
    messages.iter().filter(|message| message.kind == kind::SET_UP).count()
}

// Guards against a paid set-up that is made twice because the id of its request was forgotten with the connection.
#[test]
fn a_paid_request_that_is_sent_once_more_is_set_up_once_and_answered_once() {
    for end in ENDS {
        let (_servers, node, viewer, mut server) = first_copy("resend-open", "paid");
        let _open = end_connection(viewer, end);
        let mut copy = send_copy(&node, "paid");
        let later = read_until_silent(&mut server, SILENCE / 4);
        assert_eq!(set_ups(&later), 0, "{end:?}");
        answer_set_up(&server, 1);
        let answers = read_until_silent(&mut copy, SILENCE);
        let kinds: Vec<u8> = answers.iter().map(|message| message.kind).collect();
        // An orderly close may come from a client that has given the request up: its set-up is withdrawn at once.
        let expected = if end == End::Closed { kind::RELEASE } else { kind::ANSWER };
        assert_eq!(kinds, [expected], "{end:?}: {answers:?}");
        assert!(answers[0].cause().is_none_or(|cause| cause != cause::FULL && cause != cause::NOT_SENT));
        assert_eq!(set_ups(&read_until_silent(&mut server, SILENCE)), 0, "{end:?}");
    }
}

// Guards against a request that is lost because its answer was lost with its connection.
#[test]
fn a_request_whose_answer_was_lost_gets_it_on_its_next_connection() {
    for end in ENDS {
        let (_servers, node, mut viewer, mut server) = first_copy("resend-answered", "paid");
        answer_set_up(&server, 1);
        assert_eq!(viewer.next(SECOND).map(|message| message.kind), Some(kind::ANSWER));
        let _open = end_connection(viewer, end);
        let mut copy = send_copy(&node, "paid");
        let answers = read_until_silent(&mut copy, SILENCE);
        assert!(matches!(&answers[..], [answer] if answer.kind == kind::ANSWER), "{end:?}: {answers:?}");
        assert_eq!(set_ups(&read_until_silent(&mut server, SILENCE)), 0, "{end:?}");
    }
}

// Guards against a number of attempts that is forgotten when the first copy is refused.
#[test]
fn a_second_copy_after_a_refusal_gets_the_attempts_that_are_left() {
    const MAX_ATTEMPTS: usize = 2;
    let mut servers = ScriptedServers::new(3);
    let set_ups = refuse_set_ups(&servers);
    let node = servers.start_node("resend-refused", |config| {
        config["settings"]["policy_limits"]["max_attempts"] = json!(MAX_ATTEMPTS);
    });
    let request = Viewer::request(1, "clip", 3);
    let viewer = node.viewer();
    viewer.send(&request);
    thread::sleep(Duration::from_millis(15));
    drop(end_connection(viewer, End::Reset));
    thread::sleep(Duration::from_millis(50));
    let mut copy = node.viewer();
    copy.send(&request);
    let answer = copy.next(2 * SECOND).expect("an answer to the second copy");
    assert_eq!(answer.kind, kind::RELEASE);
    assert!(set_ups.load(Ordering::Relaxed) <= MAX_ATTEMPTS, "{set_ups:?}");
}
