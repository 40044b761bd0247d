//! Clients that close or cancel while the front node is suspended: no attempt, first or further, begins for a client that
//! has left.

mod node;

use std::collections::BTreeMap;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::{
    request_for_cell, send_request_behind_tests, start_session, wait_for_message, ScriptedServers,
};
use node::{read_answer, request_session, Node, CELLS, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::{Platform, Viewer};
use socket2::SockRef;

const MS: Duration = Duration::from_millis(1);

/// Sessions with these ids for which media servers received a set-up.
fn set_ups(platform: &Platform, ids: impl Fn(u64) -> bool) -> Vec<u64> {
    let came = platform.received().into_iter().map(|came| came.message);
    came.filter(|message| message.kind == kind::SET_UP && ids(message.session)).map(|m| m.session).collect()
}

// Guards against sending on a request as soon as it is read, before the close or cancellation behind it.
#[test]
fn requests_of_clients_that_left_during_a_suspension_are_not_sent_on() {
    let platform = Platform::start(CELLS).unwrap();
    // Descriptors for all clients, so that none is closed to admit another.
    let node = Node::start(&platform, "gone-unread", 512);
    let mut waiting_viewer = node.viewer();
    // Open connections to all media servers, so that no request waits for a dial.
    for id in 1..=12 {
        assert_eq!(request_session(&mut waiting_viewer, id, "clip").kind, kind::ANSWER);
    }
    assert!((0..CELLS).all(|at| (1..=12).any(|id| platform.box_of_session(id) == Some(at))));
    let viewers: Vec<Viewer> = (0..60).map(|_| node.viewer()).collect();
    let mut others: Vec<Viewer> = (0..60).map(|_| node.viewer()).collect();
    others.iter_mut().chain([&mut waiting_viewer]).for_each(|viewer| {
        viewer.send(&Message::new(kind::TEST, 1).with(code::CAUSE, [0]));
        assert!(viewer.next(SECOND).is_some());
    });
    node.suspend();
    let mut open_connections = Vec::new();
    for (at, (viewer, other)) in viewers.into_iter().zip(others).enumerate() {
        let id = 1_000 + at as u64;
        let send_request = || viewer.send(&Viewer::request(id, "clip", CELLS));
        match at % 6 {
            0 => send_request(),
            1 => {
                send_request();
                SockRef::from(&viewer.stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            2 => {
                send_request();
                viewer.send(&Message::release(id, cause::NORMAL));
                open_connections.push((viewer, other));
                continue;
            }
            3 => {
                send_request();
                other.send(&Message::release(id, cause::NORMAL));
                open_connections.push((viewer, other));
                continue;
            }
            4 if at < 6 => send_request_behind_tests(&viewer, id),
            4 => {
                send_request();
                let new = node.viewer();
                new.send(&Message::release(id, cause::NORMAL));
                open_connections.push((viewer, new));
                continue;
            }
            _ => {
                // Half a message behind the request, then a close.
                send_request();
                (&viewer.stream).write_all(&[0, 200, 1]).unwrap();
            }
        }
        open_connections.push((other, node.viewer()));
    }
    waiting_viewer.send(&Viewer::request(500, "clip", CELLS));
    thread::sleep(SECOND);
    node.signal(Signal::CONT);
    assert_eq!(read_answer(&mut waiting_viewer, 500).kind, kind::ANSWER, "a client that waits is served");
    thread::sleep(300 * MS);
    let set_up_sessions = set_ups(&platform, |id| (1_000..2_000).contains(&id));
    assert!(set_up_sessions.is_empty(), "{} of 60 sent on: {set_up_sessions:?}", set_up_sessions.len());
}

/// Suspends a node that has connections to all media servers, while ten clients each send a request and cancel it on a new
/// connection. A flood of other input is unread meanwhile, or the node is suspended in the middle of handling it. Returns
/// the sessions whose set-ups were sent.
fn set_ups_sent_despite_flood(name: &str, suspend_mid_turn: bool) -> Vec<u64> {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, name, 512);
    let mut waiting_viewer = node.viewer();
    for id in 1..=12 {
        assert_eq!(request_session(&mut waiting_viewer, id, "clip").kind, kind::ANSWER);
    }
    let viewers: Vec<Viewer> = (0..10).map(|_| node.viewer()).collect();
    let flood_viewers: Vec<Viewer> = (0..30).map(|_| node.viewer()).collect();
    waiting_viewer.send(&Message::new(kind::TEST, 1).with(code::CAUSE, [0]));
    assert!(waiting_viewer.next(SECOND).is_some());
    node.suspend();
    flood_viewers
        .iter()
        .zip(2_000..)
        .for_each(|(flood_viewer, id)| send_request_behind_tests(flood_viewer, id));
    if suspend_mid_turn {
        node.signal(Signal::CONT);
        thread::sleep(5 * MS);
        node.suspend();
    }
    let mut open_connections = Vec::new();
    for (viewer, id) in viewers.iter().zip(1_000..) {
        viewer.send(&Viewer::request(id, "clip", CELLS));
        let new = node.viewer();
        new.send(&Message::release(id, cause::NORMAL));
        open_connections.push(new);
    }
    thread::sleep(SECOND / 2);
    node.signal(Signal::CONT);
    for (connection, id) in open_connections.iter_mut().zip(1_000..) {
        wait_for_message(connection, kind::RELEASE_ACK, id);
    }
    thread::sleep(300 * MS);
    set_ups(&platform, |id| (1_000..1_010).contains(&id))
}

// Guards against a flood that uses up the read budget of the first turn: input on connections accepted in that turn was
// read only after the decision.
#[test]
fn a_cancellation_on_a_new_connection_is_read_before_the_request_is_sent_despite_a_flood() {
    assert_eq!(set_ups_sent_despite_flood("gone-flood", false), Vec::<u64>::new());
}

// Guards against treating the sockets as freshly read after a suspension in the middle of a turn: requests that had arrived
// meanwhile were decided before their cancellations were read.
#[test]
fn a_cancellation_is_read_first_after_a_suspension_in_the_middle_of_a_turn() {
    assert_eq!(set_ups_sent_despite_flood("gone-within", true), Vec::<u64>::new());
}

// Guards against reading a refusal, and retrying, before the close of the client that waited.
#[test]
fn no_further_attempt_begins_for_a_client_that_left_during_a_suspension() {
    let mut servers = ScriptedServers::new(2);
    let node = servers.start_node("gone-between", |_| {});
    let mut viewer = node.viewer();
    let mut connections = Vec::new();
    // An open connection to each server, with no attempt outstanding on it.
    for at in 0..2 {
        viewer.send(&node::scripted::request_for_cell(1 + at as u64, "clip", at));
        let mut connection = servers.accept(at);
        wait_for_message(&mut connection, kind::SET_UP, 1 + at as u64);
        connection.send(&Message::release(1 + at as u64, cause::FULL));
        assert!(viewer.next(SECOND).is_some());
        connections.push(connection);
    }
    // A server that refused a set-up gets no new one for a while.
    thread::sleep(3 * SECOND / 2);
    for (round, closes) in [true, false, true, false].into_iter().enumerate() {
        let id = 100 + round as u64;
        let leaving_viewer = node.viewer();
        leaving_viewer.send(&Viewer::request(id, "clip", 2));
        let until = Instant::now() + 2 * SECOND;
        let at = loop {
            let has = |connection: &mut Viewer| {
                connection.next(5 * MS).is_some_and(|m| m.kind == kind::SET_UP && m.session == id)
            };
            if let Some(at) = (0..2).find(|at| has(&mut connections[*at])) {
                break at;
            }
            assert!(Instant::now() < until, "no first attempt");
        };
        node.suspend();
        connections[at].send(&Message::release(id, cause::NOT_SENT));
        let still_connected = match closes {
            true => {
                drop(leaving_viewer);
                None
            }
            false => {
                leaving_viewer.send(&Message::release(id, cause::NORMAL));
                Some(leaving_viewer)
            }
        };
        thread::sleep(SECOND);
        node.signal(Signal::CONT);
        let other = node::scripted::read_until_silent(&mut connections[1 - at], 300 * MS);
        assert!(other.iter().all(|m| m.kind != kind::SET_UP), "round {round}: {other:?}");
        let same = node::scripted::read_until_silent(&mut connections[at], 50 * MS);
        assert!(same.iter().all(|m| m.kind != kind::SET_UP), "round {round}: {same:?}");
        drop(still_connected);
    }
}

#[test]
fn a_session_end_from_a_server_that_hung_while_its_connections_closed_reaches_the_client() {
    let mut servers = ScriptedServers::new(1);
    let node = servers
        .start_node("hung-end", |config| config["settings"]["policy_limits"]["conn_idle_ms"] = 900.into());
    let mut viewer = node.viewer();
    let first = start_session(&servers, &mut viewer);
    // The server hangs: a request times out on the connection, which is not used any more afterwards.
    viewer.send(&request_for_cell(2, "clip", 0));
    wait_for_message(&mut viewer, kind::RELEASE, 2);
    thread::sleep(4 * SECOND);
    // The server resumes and reports the end on the connection it believes open, and on the next one.
    let end = Message::release(1, cause::NORMAL);
    first.send(&end);
    servers.pending_connections(0).first().into_iter().for_each(|next| next.send(&end));
    wait_for_message(&mut viewer, kind::RELEASE, 1);
}

// Guards against a burst that is sent on after its client has left, and against ids that run twice when they come again.
#[test]
fn a_burst_of_a_client_that_left_unread_runs_no_id_twice_when_it_comes_again() {
    const FIRST: u64 = 10_000;
    const BURST: u64 = 1_000;
    for is_suspended in [true, false] {
        let platform = Platform::start(CELLS).unwrap();
        let node = Node::start(&platform, "gone-burst", 512);
        let mut bytes = Vec::new();
        (FIRST..FIRST + BURST).for_each(|id| Viewer::request(id, "paid", CELLS).write(&mut bytes));
        let viewer = node.viewer();
        if is_suspended {
            node.suspend();
        }
        (&viewer.stream).write_all(&bytes).unwrap();
        SockRef::from(&viewer.stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(viewer);
        thread::sleep(20 * MS);
        let mut next = node.viewer();
        (&next.stream).write_all(&bytes).unwrap();
        node.signal(Signal::CONT);
        let mut answered = BTreeMap::new();
        while let Some(message) = next.next(SECOND) {
            *answered.entry(message.session).or_insert(0) += 1;
        }
        let unanswered = (FIRST..FIRST + BURST).filter(|id| answered.get(id) != Some(&1)).count();
        assert_eq!(unanswered, 0, "suspended: {is_suspended}, {} ids answered", answered.len());
        let mut runs = set_ups(&platform, |id| id >= FIRST);
        let sent = runs.len();
        runs.sort_unstable();
        runs.dedup();
        assert_eq!(runs.len(), sent, "suspended: {is_suspended}: an id ran twice");
    }
}
