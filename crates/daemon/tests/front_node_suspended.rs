//! A front node that is suspended for a while (SIGSTOP, then SIGCONT), as on a machine that swaps or migrates. Guards
//! against treating the elapsed time as silence of its peers, and against acting on state that expired meanwhile.

mod node;

use std::thread;
use std::time::{Duration, Instant};

use node::{request_session, wait_until, Node, CELLS, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{cause, kind, Message};
use salttally_standin::platform::{Platform, ScriptedReply, Viewer};

/// Suspends the node for this long, running `action` right after the start.
fn suspend_for(node: &Node, span: Duration, action: impl FnOnce()) {
    node.signal(Signal::STOP);
    let begun = Instant::now();
    action();
    thread::sleep(span.saturating_sub(begun.elapsed()));
    node.signal(Signal::CONT);
}

/// Reads until nothing arrives for 0.5 s.
fn read_until_silent(viewer: &mut Viewer) -> Vec<Message> {
    std::iter::from_fn(|| viewer.next(SECOND / 2)).collect()
}

#[test]
fn sessions_survive_a_suspension_and_a_silent_coordinator() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "stop-stands", 256);
    let mut viewer = node.viewer();
    for id in 1..=60 {
        assert_eq!(request_session(&mut viewer, id, "paid").kind, kind::ANSWER);
    }
    // Shorter and longer than the silence after which boxes are probed and the coordinator is reconnected, and than the
    // lifetime of idle connections.
    for seconds in [3, 6, 12] {
        let calls = platform.requested_numbers().len();
        suspend_for(&node, seconds * SECOND, || {});
        assert_eq!(read_until_silent(&mut viewer), [], "no session end after {seconds} s");
        assert!((1..=60).all(|id| platform.box_of_session(id).is_some()), "{seconds} s");
        assert!(
            platform.requested_numbers().len() <= calls + 1,
            "at most one reconnect: {:?}",
            platform.requested_numbers()
        );
    }
    assert_eq!(request_session(&mut viewer, 61, "paid").kind, kind::ANSWER);
    platform.end_session(7, cause::NORMAL);
    assert_eq!(
        viewer.next(SECOND),
        Some(Message::release(7, cause::NORMAL)),
        "session ends are still forwarded"
    );
}

#[test]
fn set_ups_outstanding_during_a_suspension_are_answered_once_and_never_late() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "stop-out", 256);
    let mut viewer = node.viewer();
    // Answers arrive during the suspension: still in time at the resume, and long after the viewer's patience of 1.5 s.
    for (round, span, plays) in [(0, SECOND / 2, true), (1, 3 * SECOND, false)] {
        let ids = 100 * (round + 1)..100 * (round + 1) + 10;
        platform.script_replies(ids.clone().map(|_| ScriptedReply::Late(SECOND / 4)));
        ids.clone().for_each(|id| viewer.send(&Viewer::request(id, "paid", CELLS)));
        wait_until("all set-ups are sent", || {
            platform.received().iter().filter(|c| ids.contains(&c.message.session)).count() == 10
        });
        suspend_for(&node, span, || {});
        let resumed = Instant::now();
        let answers: Vec<Message> =
            (0..10).map(|_| viewer.next(SECOND).expect("an answer at once")).collect();
        assert!(resumed.elapsed() < SECOND / 2, "{:?}", resumed.elapsed());
        assert_eq!(read_until_silent(&mut viewer), [], "one answer each");
        let played = answers.iter().filter(|m| m.kind == kind::ANSWER).count();
        assert_eq!(played, if plays { 10 } else { 0 }, "{answers:?}");
        let set_ups = platform.received().iter().filter(|c| c.message.kind == kind::SET_UP).count();
        assert_eq!(set_ups, 10 * (round as usize + 1), "none was set up twice");
        if !plays {
            wait_until("sessions without a viewer are ended", || {
                ids.clone().all(|id| platform.box_of_session(id).is_none())
            });
        }
    }
}

#[test]
fn requests_waiting_for_dials_during_a_suspension_are_answered_once() {
    let mut platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "stop-dials", 256);
    platform.stop_accepting(0).unwrap();
    platform.stop_accepting(1).unwrap();
    let mut viewer = node.viewer();
    (1..=8)
        .for_each(|id| viewer.send(&Viewer::request(id, if id % 2 == 0 { "paid" } else { "clip" }, CELLS)));
    thread::sleep(SECOND / 20);
    let before: Vec<Message> = std::iter::from_fn(|| viewer.next(SECOND / 50)).collect();
    assert!(before.len() < 8, "some requests wait for a dial");
    suspend_for(&node, 3 * SECOND, || {});
    let resumed = Instant::now();
    let after: Vec<Message> = (before.len()..8).map(|_| viewer.next(SECOND).expect("an answer")).collect();
    assert!(resumed.elapsed() < SECOND / 2, "{:?}", resumed.elapsed());
    assert!(after.iter().all(|m| m.kind == kind::RELEASE), "their patience is over: {after:?}");
    assert_eq!(read_until_silent(&mut viewer), []);
    let mut ids: Vec<u64> = before.iter().chain(&after).map(|m| m.session).collect();
    ids.sort_unstable();
    assert_eq!(ids, (1..=8).collect::<Vec<u64>>());
    let set_ups = |id| {
        platform
            .received()
            .iter()
            .filter(|c| c.message.kind == kind::SET_UP && c.message.session == id)
            .count()
    };
    assert!((1..=8).all(|id| set_ups(id) <= 1));
}

#[test]
fn only_the_sessions_of_a_box_that_died_during_a_suspension_are_ended_at_once() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "stop-died", 256);
    let mut viewer = node.viewer();
    for id in 1..=30 {
        assert_eq!(request_session(&mut viewer, id, "paid").kind, kind::ANSWER);
    }
    let at = platform.box_of_session(1).unwrap();
    let lost: Vec<u64> = (1..=30).filter(|id| platform.box_of_session(*id) == Some(at)).collect();
    suspend_for(&node, 3 * SECOND, || platform.kill(at));
    let resumed = Instant::now();
    let mut ended: Vec<u64> = Vec::new();
    for _ in &lost {
        let message = viewer.next(2 * SECOND).expect("an end");
        assert_eq!(message, Message::release(message.session, cause::BROKEN));
        ended.push(message.session);
    }
    assert!(resumed.elapsed() < 2 * SECOND, "{:?}", resumed.elapsed());
    ended.sort_unstable();
    assert_eq!(ended, lost);
    assert_eq!(read_until_silent(&mut viewer), []);
    assert!((1..=30).all(|id| lost.contains(&id) || platform.box_of_session(id).is_some()));
}
