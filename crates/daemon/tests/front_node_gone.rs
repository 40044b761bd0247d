//! Clients that close or cancel while the front node cannot look: nothing begins for who has gone, first or further.

mod node;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use node::hand::{behind_others, plays, request_at, wait_for, Hands};
use node::{answer, ask, Node, CELLS, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::{Platform, Viewer};
use socket2::SockRef;

const MS: Duration = Duration::from_millis(1);

fn set_ups(platform: &Platform, ids: impl Fn(u64) -> bool) -> Vec<u64> {
    let came = platform.received().into_iter().map(|came| came.message);
    came.filter(|message| message.kind == kind::SET_UP && ids(message.session)).map(|m| m.session).collect()
}

// Caught requests that were sent on as soon as they were read, ahead of the close or cancellation behind them.
#[test]
fn whoever_left_while_the_process_was_stopped_is_not_sent_on() {
    let platform = Platform::start(CELLS).unwrap();
    // Room for all of them: none is closed to make room for another.
    let node = Node::start(&platform, "gone-unread", 512);
    let mut proper = node.viewer();
    // Connections to all media servers are open, so that nothing waits for a dial.
    for id in 1..=12 {
        assert_eq!(ask(&mut proper, id, "clip").kind, kind::ANSWER);
    }
    assert!((0..CELLS).all(|at| (1..=12).any(|id| platform.box_of_session(id) == Some(at))));
    let viewers: Vec<Viewer> = (0..60).map(|_| node.viewer()).collect();
    let mut others: Vec<Viewer> = (0..60).map(|_| node.viewer()).collect();
    others.iter_mut().chain([&mut proper]).for_each(|viewer| {
        viewer.send(&Message::new(kind::TEST, 1).with(code::CAUSE, [0]));
        assert!(viewer.next(SECOND).is_some());
    });
    node.stop();
    let mut kept = Vec::new();
    for (at, (viewer, other)) in viewers.into_iter().zip(others).enumerate() {
        let id = 1_000 + at as u64;
        let ask = || viewer.send(&Viewer::request(id, "clip", CELLS));
        match at % 6 {
            0 => ask(),
            1 => {
                ask();
                SockRef::from(&viewer.stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            2 => {
                ask();
                viewer.send(&Message::release(id, cause::NORMAL));
                kept.push((viewer, other));
                continue;
            }
            3 => {
                ask();
                other.send(&Message::release(id, cause::NORMAL));
                kept.push((viewer, other));
                continue;
            }
            4 if at < 6 => behind_others(&viewer, id),
            4 => {
                ask();
                let new = node.viewer();
                new.send(&Message::release(id, cause::NORMAL));
                kept.push((viewer, new));
                continue;
            }
            _ => {
                // Half a message behind it, and gone.
                ask();
                (&viewer.stream).write_all(&[0, 200, 1]).unwrap();
            }
        }
        kept.push((other, node.viewer()));
    }
    proper.send(&Viewer::request(500, "clip", CELLS));
    thread::sleep(SECOND);
    node.signal(Signal::CONT);
    assert_eq!(answer(&mut proper, 500).kind, kind::ANSWER, "whoever waits is served");
    thread::sleep(300 * MS);
    let sent = set_ups(&platform, |id| (1_000..2_000).contains(&id));
    assert!(sent.is_empty(), "{} of 60 sent on: {sent:?}", sent.len());
}

/// A node with connections to all media servers, and ten clients that ask and cancel on a new connection each while it is
/// stopped, beside a flood that lies unread or that it is in the middle of; which of them were sent on.
fn sent_on_beside_a_flood(name: &str, stopped_within: bool) -> Vec<u64> {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, name, 512);
    let mut proper = node.viewer();
    for id in 1..=12 {
        assert_eq!(ask(&mut proper, id, "clip").kind, kind::ANSWER);
    }
    let viewers: Vec<Viewer> = (0..10).map(|_| node.viewer()).collect();
    let floods: Vec<Viewer> = (0..30).map(|_| node.viewer()).collect();
    proper.send(&Message::new(kind::TEST, 1).with(code::CAUSE, [0]));
    assert!(proper.next(SECOND).is_some());
    node.stop();
    floods.iter().zip(2_000..).for_each(|(flood, id)| behind_others(flood, id));
    if stopped_within {
        node.signal(Signal::CONT);
        thread::sleep(5 * MS);
        node.stop();
    }
    let mut kept = Vec::new();
    for (viewer, id) in viewers.iter().zip(1_000..) {
        viewer.send(&Viewer::request(id, "clip", CELLS));
        let new = node.viewer();
        new.send(&Message::release(id, cause::NORMAL));
        kept.push(new);
    }
    thread::sleep(SECOND / 2);
    node.signal(Signal::CONT);
    for (line, id) in kept.iter_mut().zip(1_000..) {
        wait_for(line, kind::RELEASE_ACK, id);
    }
    thread::sleep(300 * MS);
    set_ups(&platform, |id| (1_000..1_010).contains(&id))
}

// Caught the time for reading, which a flood used up in the first turn: what was said on connections that were accepted in
// it was read after the decision.
#[test]
fn a_cancellation_on_a_new_connection_is_heard_though_others_flood_the_node() {
    assert_eq!(sent_on_beside_a_flood("gone-flood", false), Vec::<u64>::new());
}

// Caught a stop in the middle of a turn, which was taken for a look at the sockets just before: what was asked meanwhile was
// decided before what took it back was read.
#[test]
fn a_cancellation_is_heard_though_the_process_was_stopped_in_the_middle_of_its_work() {
    assert_eq!(sent_on_beside_a_flood("gone-within", true), Vec::<u64>::new());
}

// Caught the refusal that was read ahead of the close of the client that had waited for it.
#[test]
fn no_further_attempt_begins_for_who_left_while_the_process_was_stopped() {
    let mut hands = Hands::new(2);
    let node = hands.node("gone-between", |_| {});
    let mut viewer = node.viewer();
    let mut lines = Vec::new();
    // A connection to each, with nothing out on it.
    for at in 0..2 {
        viewer.send(&node::hand::request_at(1 + at as u64, "clip", at));
        let mut line = hands.accept(at);
        wait_for(&mut line, kind::SET_UP, 1 + at as u64);
        line.send(&Message::release(1 + at as u64, cause::FULL));
        assert!(viewer.next(SECOND).is_some());
        lines.push(line);
    }
    // What turned a set-up away is not asked again for a while.
    thread::sleep(3 * SECOND / 2);
    for (round, closes) in [true, false, true, false].into_iter().enumerate() {
        let id = 100 + round as u64;
        let leaving = node.viewer();
        leaving.send(&Viewer::request(id, "clip", 2));
        let until = Instant::now() + 2 * SECOND;
        let at = loop {
            let has = |line: &mut Viewer| {
                line.next(5 * MS).is_some_and(|m| m.kind == kind::SET_UP && m.session == id)
            };
            if let Some(at) = (0..2).find(|at| has(&mut lines[*at])) {
                break at;
            }
            assert!(Instant::now() < until, "no first attempt");
        };
        node.stop();
        lines[at].send(&Message::release(id, cause::NOT_SENT));
        let kept = match closes {
            true => {
                drop(leaving);
                None
            }
            false => {
                leaving.send(&Message::release(id, cause::NORMAL));
                Some(leaving)
            }
        };
        thread::sleep(SECOND);
        node.signal(Signal::CONT);
        let other = node::hand::rest(&mut lines[1 - at], 300 * MS);
        assert!(other.iter().all(|m| m.kind != kind::SET_UP), "round {round}: {other:?}");
        let same = node::hand::rest(&mut lines[at], 50 * MS);
        assert!(same.iter().all(|m| m.kind != kind::SET_UP), "round {round}: {same:?}");
        drop(kept);
    }
}

#[test]
fn the_end_of_a_session_said_by_a_server_that_hung_on_connections_ended_meanwhile_reaches_its_client() {
    let mut hands = Hands::new(1);
    let node =
        hands.node("hung-end", |config| config["settings"]["policy_limits"]["conn_idle_ms"] = 900.into());
    let mut viewer = node.viewer();
    viewer.send(&request_at(1, "clip", 0));
    let mut first = hands.accept(0);
    wait_for(&mut first, kind::SET_UP, 1);
    plays(&first, 1);
    wait_for(&mut viewer, kind::ANSWER, 1);
    // It hangs: a request times out on the connection, which is of no more use then.
    viewer.send(&request_at(2, "clip", 0));
    wait_for(&mut viewer, kind::RELEASE, 2);
    thread::sleep(4 * SECOND);
    // It goes on, and says the end on what it takes for open, and for the next connection.
    let end = Message::release(1, cause::NORMAL);
    first.send(&end);
    hands.accepted(0).first().into_iter().for_each(|next| next.send(&end));
    wait_for(&mut viewer, kind::RELEASE, 1);
}
