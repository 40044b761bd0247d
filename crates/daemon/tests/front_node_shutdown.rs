//! Requests that go on coming after SIGTERM, up to the kill at the page's earliest.

mod node;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use node::hand::with;
use node::{Node, CELLS};
use rustix::process::Signal;
use salttally_platform::wire::{code, kind, Message};
use salttally_standin::platform::{Platform, ScriptedReply, Viewer};
use serde_json::json;

const MS: Duration = Duration::from_millis(1);
/// The kill comes so long after the longest deadline, which counts as this at most.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
const LONGEST_DEADLINE_COUNTED: Duration = Duration::from_millis(3_000);
/// A request that crosses the close of its connection so closely is sent once more, on a new one.
const CROSSES_CLOSE: Duration = Duration::from_millis(50);

/// Sends requests on one open connection until the kill; those that had no answer then, and when each was sent after
/// SIGTERM.
fn unanswered_at_the_kill(name: &str, deadline: Duration, answered_after: Duration) -> Vec<Duration> {
    let platform = Platform::start(CELLS).unwrap();
    let deadline_ms = deadline.as_millis() as u64;
    let mut node = Node::start_by(name, 256, |listen| {
        let mut config = platform.config(listen, 256);
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["deadline_ms"] = json!(deadline_ms);
            class["aim_ms"] = json!(deadline_ms);
        }
        config
    });
    node.wait_ready();
    platform.script_replies(std::iter::repeat_n(ScriptedReply::Late(answered_after), 1_000));
    let mut viewer = node.viewer();
    let mut open: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut closed = None;
    node.signal(Signal::TERM);
    let told = Instant::now();
    let kill = told + deadline.min(LONGEST_DEADLINE_COUNTED) + KILL_AFTER_DEADLINE;
    let mut id = 1_000;
    while Instant::now() < kill && closed.is_none() {
        id += 1;
        let request = with(Viewer::request(id, "paid", CELLS), code::WAIT_MS, deadline_ms.to_string());
        viewer.send(&request);
        open.insert(id, Instant::now());
        let next = Instant::now() + 25 * MS;
        while let Some(left) = next.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            match viewer.next(left) {
                Some(message) => answered(&message, &mut open),
                None if viewer.is_closed() => closed = closed.or(Some(Instant::now())),
                None => {}
            }
            if closed.is_some() {
                break;
            }
        }
    }
    thread::sleep(kill.saturating_duration_since(Instant::now()));
    let _ = node.child.kill();
    node.child.wait().unwrap();
    while let Some(message) = viewer.next(MS) {
        answered(&message, &mut open);
    }
    let crosses = |sent: &Instant| closed.is_some_and(|closed| *sent + CROSSES_CLOSE > closed);
    open.into_values().filter(|sent| !crosses(sent)).map(|sent| sent - told).collect()
}

fn answered(message: &Message, open: &mut BTreeMap<u64, Instant>) {
    if [kind::ANSWER, kind::RELEASE].contains(&message.kind) {
        open.remove(&message.session);
    }
}

#[test]
fn no_request_is_unanswered_at_the_earliest_kill_with_deadlines_under_three_seconds() {
    let unanswered = unanswered_at_the_kill("kill-short", 1_500 * MS, 1_400 * MS);
    assert!(unanswered.is_empty(), "sent so long after SIGTERM: {unanswered:?}");
}
#[test]
fn no_request_is_unanswered_at_the_earliest_kill_with_deadlines_over_three_seconds() {
    let unanswered = unanswered_at_the_kill("kill-long", 5_000 * MS, 3_500 * MS);
    assert!(unanswered.is_empty(), "sent so long after SIGTERM: {unanswered:?}");
}
