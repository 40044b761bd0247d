//! A front node that is itself stopped for a while (SIGSTOP, then SIGCONT), as a machine that swaps or moves does it.
//! Danger: it takes the time that went by for silence of others, or goes on acting on what has run out meanwhile.

mod node;

use std::thread;
use std::time::{Duration, Instant};

use node::{ask, soon, Node, CELLS, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{cause, kind, Message};
use salttally_standin::platform::{Platform, ScriptedReply, Viewer};

fn stopped(node: &Node, span: Duration, meanwhile: impl FnOnce()) {
    node.signal(Signal::STOP);
    let since = Instant::now();
    meanwhile();
    thread::sleep(span.saturating_sub(since.elapsed()));
    node.signal(Signal::CONT);
}

/// All that is said until nothing comes for a while.
fn rest(viewer: &mut Viewer) -> Vec<Message> {
    std::iter::from_fn(|| viewer.next(SECOND / 2)).collect()
}

#[test]
fn what_stands_goes_on_through_a_stop_and_through_silence_of_the_coordinator() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "stop-stands", 256);
    let mut viewer = node.viewer();
    for id in 1..=60 {
        assert_eq!(ask(&mut viewer, id, "paid").kind, kind::ANSWER);
    }
    // Shorter and longer than the silence after which boxes are looked at and the coordinator is called anew, and than
    // the time for which idle connections are kept.
    for seconds in [3, 6, 12] {
        let calls = platform.requested_numbers().len();
        stopped(&node, seconds * SECOND, || {});
        assert_eq!(rest(&mut viewer), [], "nobody is told an end after {seconds} s");
        assert!((1..=60).all(|id| platform.box_of_session(id).is_some()), "{seconds} s");
        assert!(
            platform.requested_numbers().len() <= calls + 1,
            "one call more at most: {:?}",
            platform.requested_numbers()
        );
    }
    assert_eq!(ask(&mut viewer, 61, "paid").kind, kind::ANSWER);
    platform.end_session(7, cause::NORMAL);
    assert_eq!(viewer.next(SECOND), Some(Message::release(7, cause::NORMAL)), "and ends are still heard");
}

#[test]
fn a_set_up_that_is_out_over_a_stop_has_its_one_answer_at_once_and_never_plays_late() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "stop-out", 256);
    let mut viewer = node.viewer();
    // Answers that come while it is stopped: in time on waking, and long after the viewer's time of 1.5 s.
    for (round, span, plays) in [(0, SECOND / 2, true), (1, 3 * SECOND, false)] {
        let ids = 100 * (round + 1)..100 * (round + 1) + 10;
        platform.script_replies(ids.clone().map(|_| ScriptedReply::Late(SECOND / 4)));
        ids.clone().for_each(|id| viewer.send(&Viewer::request(id, "paid", CELLS)));
        soon("they are out", || {
            platform.received().iter().filter(|c| ids.contains(&c.message.session)).count() == 10
        });
        stopped(&node, span, || {});
        let woken = Instant::now();
        let said: Vec<Message> = (0..10).map(|_| viewer.next(SECOND).expect("an answer at once")).collect();
        assert!(woken.elapsed() < SECOND / 2, "{:?}", woken.elapsed());
        assert_eq!(rest(&mut viewer), [], "one answer each");
        let played = said.iter().filter(|m| m.kind == kind::ANSWER).count();
        assert_eq!(played, if plays { 10 } else { 0 }, "{said:?}");
        let set_ups = platform.received().iter().filter(|c| c.message.kind == kind::SET_UP).count();
        assert_eq!(set_ups, 10 * (round as usize + 1), "none was set up twice");
        if !plays {
            soon("what played for nobody is ended", || {
                ids.clone().all(|id| platform.box_of_session(id).is_none())
            });
        }
    }
}

#[test]
fn dials_under_way_over_a_stop_are_answered_once() {
    let mut platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "stop-dials", 256);
    platform.stop_accepting(0).unwrap();
    platform.stop_accepting(1).unwrap();
    let mut viewer = node.viewer();
    (1..=8)
        .for_each(|id| viewer.send(&Viewer::request(id, if id % 2 == 0 { "paid" } else { "clip" }, CELLS)));
    thread::sleep(SECOND / 20);
    let before: Vec<Message> = std::iter::from_fn(|| viewer.next(SECOND / 50)).collect();
    assert!(before.len() < 8, "some wait for a dial");
    stopped(&node, 3 * SECOND, || {});
    let woken = Instant::now();
    let after: Vec<Message> = (before.len()..8).map(|_| viewer.next(SECOND).expect("an answer")).collect();
    assert!(woken.elapsed() < SECOND / 2, "{:?}", woken.elapsed());
    assert!(after.iter().all(|m| m.kind == kind::RELEASE), "their time is up: {after:?}");
    assert_eq!(rest(&mut viewer), []);
    let mut ids: Vec<u64> = before.iter().chain(&after).map(|m| m.session).collect();
    ids.sort_unstable();
    assert_eq!(ids, (1..=8).collect::<Vec<u64>>());
    let asked = |id| {
        platform
            .received()
            .iter()
            .filter(|c| c.message.kind == kind::SET_UP && c.message.session == id)
            .count()
    };
    assert!((1..=8).all(|id| asked(id) <= 1));
}

#[test]
fn a_box_that_died_meanwhile_is_missed_at_once_and_no_other() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "stop-died", 256);
    let mut viewer = node.viewer();
    for id in 1..=30 {
        assert_eq!(ask(&mut viewer, id, "paid").kind, kind::ANSWER);
    }
    let at = platform.box_of_session(1).unwrap();
    let lost: Vec<u64> = (1..=30).filter(|id| platform.box_of_session(*id) == Some(at)).collect();
    stopped(&node, 3 * SECOND, || platform.kill(at));
    let woken = Instant::now();
    let mut told: Vec<u64> = Vec::new();
    for _ in &lost {
        let message = viewer.next(2 * SECOND).expect("an end");
        assert_eq!(message, Message::release(message.session, cause::BROKEN));
        told.push(message.session);
    }
    assert!(woken.elapsed() < 2 * SECOND, "{:?}", woken.elapsed());
    told.sort_unstable();
    assert_eq!(told, lost);
    assert_eq!(rest(&mut viewer), []);
    assert!((1..=30).all(|id| lost.contains(&id) || platform.box_of_session(id).is_some()));
}
