//! Second copies of requests that are read late, and what lies behind messages that close their connection.

mod node;

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::{
    answer_set_up, read_until_silent, refuse_set_ups, request_for_cell, serve_set_ups, wait_for_message,
    with_parameter, ScriptedServers,
};
use node::{Node, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::Viewer;
use serde_json::json;
use socket2::SockRef;

const MS: Duration = Duration::from_millis(1);
/// How long clients wait for an answer, by the requests and by the settings of their classes.
const PATIENCE_MS: u32 = 4_000;
const CLASSES: [&str; 2] = ["clip", "paid"];
const LATE: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(900),
    Duration::from_millis(2_000),
];

fn request(id: u64, class: &str) -> Message {
    with_parameter(request_for_cell(id, class, 0), code::WAIT_MS, PATIENCE_MS.to_string())
}

fn start_node(servers: &mut ScriptedServers, name: &str) -> Node {
    servers.start_node(name, |config| {
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["deadline_ms"] = json!(PATIENCE_MS);
        }
    })
}

fn reset(viewer: Viewer) {
    SockRef::from(&viewer.stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Sends these messages in one write on a new connection.
fn send_at_once(node: &Node, messages: &[Message]) -> Viewer {
    let viewer = node.viewer();
    let mut bytes = Vec::new();
    messages.iter().for_each(|message| message.write(&mut bytes));
    (&viewer.stream).write_all(&bytes).unwrap();
    viewer
}

fn answers_to(id: u64, messages: &[Message]) -> Vec<(u8, Option<u8>)> {
    let own = messages.iter().filter(|message| message.session == id);
    own.map(|message| (message.kind, message.cause())).collect()
}

/// How the first copy of a request fares before its second one comes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstCopy {
    /// It is answered, and the answer is lost with its connection.
    Answered,
    /// It is answered 0.7 s after it was sent, when its connection has ended.
    AnsweredLate,
    /// It is answered, and its connection seems open to the front node.
    AnsweredUnnoticed,
    /// Its media server has answered with an error.
    Failed,
}

// Guards against a second copy that is closed without an answer, and against others behind it that are lost, because it is read late.
#[test]
fn late_second_copies_and_requests_behind_them_are_answered() {
    use FirstCopy::*;
    let mut lost = Vec::new();
    for first_copy in [Answered, AnsweredLate, AnsweredUnnoticed, Failed] {
        let cases = CLASSES.into_iter().flat_map(|class| LATE.map(|late| (class, late)));
        let play =
            |(class, late)| (class, late, thread::spawn(move || play_late_copy(first_copy, class, late)));
        for (class, late, playing) in cases.map(play).collect::<Vec<_>>() {
            let answers = playing.join().unwrap();
            if answers.iter().any(|count| *count != 1) {
                lost.push(format!("{first_copy:?}, {class}, {late:?}: {answers:?}"));
            }
        }
    }
    assert!(lost.is_empty(), "answers to the copy and to the request behind it, one each: {lost:#?}");
}

/// The numbers of answers to the second copy and to the request of another viewer behind it. Two set-ups of a paid
/// request fail the test.
fn play_late_copy(first_copy: FirstCopy, class: &'static str, late: Duration) -> [usize; 2] {
    let mut servers = ScriptedServers::new(1);
    let set_ups = Arc::new(AtomicUsize::new(0));
    let counted = set_ups.clone();
    serve_set_ups(servers.listeners[0].try_clone().unwrap(), move |connection, id| {
        let is_first = id == 1 && counted.fetch_add(1, Ordering::Relaxed) == 0;
        match first_copy {
            FirstCopy::Failed if is_first => connection.send(&Message::release(id, cause::ERROR)),
            FirstCopy::AnsweredLate if is_first => {
                thread::sleep(700 * MS);
                answer_set_up(connection, id);
            }
            _ => answer_set_up(connection, id),
        }
    });
    let node = start_node(&mut servers, &format!("late-copy-{class}-{}", late.as_millis()));
    let viewer = node.viewer();
    viewer.send(&request(1, class));
    thread::sleep(30 * MS);
    let _open = match first_copy {
        FirstCopy::AnsweredUnnoticed => Some(viewer),
        _ => {
            reset(viewer);
            None
        }
    };
    thread::sleep(late - 30 * MS);
    let mut copy = send_at_once(&node, &[request(1, class), request(2, "paid")]);
    let messages = read_until_silent(&mut copy, SECOND);
    if class == "paid" {
        assert_eq!(
            set_ups.load(Ordering::Relaxed),
            1,
            "{first_copy:?}, {late:?}: a paid request was set up again"
        );
    }
    [1, 2].map(|id| answers_to(id, &messages).len())
}

// Guards against requests that are set up for nobody, or not read, behind a message that closes their connection.
#[test]
fn requests_behind_a_message_that_closes_their_connection_are_answered() {
    let mut servers = ScriptedServers::new(1);
    serve_set_ups(servers.listeners[0].try_clone().unwrap(), answer_set_up);
    let node = start_node(&mut servers, "behind-close");
    let mut owner = node.viewer();
    owner.send(&request(1, "paid"));
    assert_eq!(owner.next(SECOND).map(|message| message.kind), Some(kind::ANSWER));
    let unexpected = Message::new(kind::ANSWER, 7);
    let invalid = with_parameter(request(1, "paid"), code::CLASS, "none");
    let other_offer = with_parameter(request(1, "paid"), code::DESCRIPTION, "another offer");
    let tests: Vec<Message> =
        (0..3_000).map(|id| Message::new(kind::TEST, 10_000 + id).with(code::CAUSE, [0])).collect();
    for (index, closing) in [unexpected, invalid, other_offer].into_iter().enumerate() {
        for padding in [&tests[..0], &tests[..]] {
            let id = 100 + 10 * index as u64 + u64::from(!padding.is_empty());
            let behind = [std::slice::from_ref(&closing), padding, &[request(id, "paid")]].concat();
            let mut viewer = send_at_once(&node, &behind);
            let messages = read_until_silent(&mut viewer, SECOND);
            let what = format!("kind {}, case {index}, {} tests between", closing.kind, padding.len());
            assert_eq!(answers_to(id, &messages).len(), 1, "{what}: {}", messages.len());
            assert!(answers_to(1, &messages).iter().all(|(kind, _)| *kind != kind::ANSWER), "{what}");
        }
    }
}

// Guards against requests that lie unread in the sockets of silent connections as these are closed.
#[test]
fn requests_that_came_during_a_suspension_are_answered_on_connections_closed_for_room() {
    const CROWD: usize = 300;
    let mut servers = ScriptedServers::new(1);
    serve_set_ups(servers.listeners[0].try_clone().unwrap(), answer_set_up);
    let node = start_node(&mut servers, "unread-at-close");
    let mut viewers: Vec<Viewer> = (0..20).map(|_| node.viewer()).collect();
    thread::sleep(300 * MS);
    node.suspend();
    let crowd: Vec<Viewer> = (0..CROWD).map(|_| node.viewer()).collect();
    (1_u64..).zip(&viewers).for_each(|(id, viewer)| viewer.send(&request(id, "paid")));
    thread::sleep(300 * MS);
    node.signal(Signal::CONT);
    for (id, viewer) in (1_u64..).zip(&mut viewers) {
        let messages = read_until_silent(viewer, SECOND);
        assert_eq!(answers_to(id, &messages).len(), 1, "request {id}: {messages:?}");
    }
    drop(crowd);
}

// Guards against a number of attempts that is forgotten while the client of a request still waits.
#[test]
fn a_late_second_copy_gets_the_attempts_that_are_left() {
    const MAX_ATTEMPTS: usize = 2;
    for late in LATE {
        let mut servers = ScriptedServers::new(3);
        let set_ups = refuse_set_ups(&servers);
        let node = servers.start_node("late-attempts", |config| {
            config["settings"]["policy_limits"]["max_attempts"] = json!(MAX_ATTEMPTS);
        });
        let request = with_parameter(Viewer::request(1, "clip", 3), code::WAIT_MS, PATIENCE_MS.to_string());
        let viewer = node.viewer();
        viewer.send(&request);
        thread::sleep(15 * MS);
        reset(viewer);
        thread::sleep(late);
        let mut copy = node.viewer();
        copy.send(&request);
        assert_eq!(copy.next(2 * SECOND).map(|answer| answer.kind), Some(kind::RELEASE), "{late:?}");
        let set_ups = set_ups.load(Ordering::Relaxed);
        assert!(set_ups <= MAX_ATTEMPTS, "{late:?}: {set_ups} set-ups");
    }
}

// Guards against a session that plays on for nobody where no second copy comes.
#[test]
fn a_session_that_nobody_was_told_of_is_released_when_its_client_waits_no_longer() {
    let mut servers = ScriptedServers::new(1);
    let node = start_node(&mut servers, "untold");
    let viewer = node.viewer();
    viewer.send(&request(1, "paid"));
    let mut server = servers.accept(0);
    wait_for_message(&mut server, kind::SET_UP, 1);
    reset(viewer);
    thread::sleep(50 * MS);
    answer_set_up(&server, 1);
    let waited = Duration::from_millis(u64::from(PATIENCE_MS)) + 2 * SECOND;
    let until = Instant::now() + waited;
    let is_release = |message: Message| message.kind == kind::RELEASE && message.session == 1;
    let mut is_released = false;
    while !is_released && Instant::now() < until {
        // A server that is silent would be checked on other connections.
        server.send(&Message::new(kind::PROGRESS, 2));
        is_released = server.next(100 * MS).is_some_and(is_release);
    }
    assert!(is_released, "not released {waited:?} after its request");
}
