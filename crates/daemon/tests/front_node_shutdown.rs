//! Requests that keep arriving after SIGTERM, until the earliest kill that the platform's page allows.

mod node;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::with_parameter;
use node::{Node, CELLS};
use rustix::process::Signal;
use salttally_platform::wire::{code, kind, Message};
use salttally_standin::platform::{Platform, ScriptedReply, Viewer};
use serde_json::json;

const MS: Duration = Duration::from_millis(1);
/// Time from the longest deadline to the kill.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Longer deadlines count as this one.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3_000);
/// A client repeats a request on a new connection if it was sent within this time of the close of its connection.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);

/// Sends requests on one open connection until the kill. Returns how long after SIGTERM each request without an answer was
/// sent.
fn unanswered_at_the_kill(name: &str, deadline: Duration, answer_delay: Duration) -> Vec<Duration> {
    let platform = Platform::start(CELLS).unwrap();
    let deadline_ms = deadline.as_millis() as u64;
    let mut node = Node::start_with_config(name, 256, |listen| {
        let mut config = platform.config(listen, 256);
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["deadline_ms"] = json!(deadline_ms);
            class["aim_ms"] = json!(deadline_ms);
        }
        config
    });
    node.wait_ready();
    platform.script_replies(std::iter::repeat_n(ScriptedReply::Late(answer_delay), 1_000));
    let mut viewer = node.viewer();
    let mut unanswered: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut closed = None;
    node.signal(Signal::TERM);
    let signalled = Instant::now();
    let kill = signalled + deadline.min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE;
    let mut id = 1_000;
    while Instant::now() < kill && closed.is_none() {
        id += 1;
        let request =
            with_parameter(Viewer::request(id, "paid", CELLS), code::WAIT_MS, deadline_ms.to_string());
        viewer.send(&request);
        unanswered.insert(id, Instant::now());
        let next_request = Instant::now() + 25 * MS;
        while let Some(remaining) =
            next_request.checked_duration_since(Instant::now()).filter(|remaining| !remaining.is_zero())
        {
            match viewer.next(remaining) {
                Some(message) => remove_answered(&message, &mut unanswered),
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
        remove_answered(&message, &mut unanswered);
    }
    let races_close = |sent: &Instant| closed.is_some_and(|closed| *sent + CLOSE_RACE_WINDOW > closed);
    unanswered.into_values().filter(|sent| !races_close(sent)).map(|sent| sent - signalled).collect()
}

fn remove_answered(message: &Message, unanswered: &mut BTreeMap<u64, Instant>) {
    if [kind::ANSWER, kind::RELEASE].contains(&message.kind) {
        unanswered.remove(&message.session);
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
