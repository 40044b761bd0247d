//! A WebSocket front whose process is suspended for a while, against the stand-ins. Guards against treating the missing
//! messages of that time as silence of the boxes, which would end every session as lost.

mod rig;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rig::{script, script_head, wait_until};
use rustix::process::{kill_process, Pid, Signal};
use salttally_standin::day::Day;
use salttally_standin::players::PlayerConnection;
use serde_json::{json, Value};

const SECOND: Duration = Duration::from_secs(1);

struct Front {
    child: Child,
    config: std::path::PathBuf,
}

impl Front {
    fn start(day: &Day, name: &str) -> Front {
        let config = std::env::temp_dir().join(format!("salttally-{name}-{}.kdl", std::process::id()));
        std::fs::write(&config, day.settings(0)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_salttallyd"));
        command.arg("--config").arg(&config).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        assert!(line.starts_with("listening "), "{line}");
        Front { child, config }
    }

    /// Suspends the process for this long.
    fn suspend_for(&self, span: Duration) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::STOP).unwrap();
        thread::sleep(span);
        kill_process(pid, Signal::CONT).unwrap();
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait(), std::fs::remove_file(&self.config));
    }
}

fn send_open(connection: &mut PlayerConnection, viewer: &str, class: &str, patience_ms: u64) -> u64 {
    let params = json!({"viewer": viewer, "title": "title-0", "class": class, "top_rung": 2, "patience_ms": patience_ms});
    connection.call("session.open", &params).unwrap()
}

fn open_paid_session(connection: &mut PlayerConnection, viewer: &str) -> Option<String> {
    let id = send_open(connection, viewer, "paid", 2000);
    let answer = connection.response(id, Instant::now() + 3 * SECOND, &mut Vec::new()).ok()?;
    answer["result"]["session"].as_str().map(str::to_owned)
}

/// Starts a front, connects to it, and waits until it serves sessions.
fn start_serving(day: &Day, name: &str) -> (Front, PlayerConnection) {
    let front = Front::start(day, name);
    let mut connection = PlayerConnection::connect(day.front_address(0), 3 * SECOND).unwrap();
    wait_until(
        10 * SECOND,
        || open_paid_session(&mut connection, "first").is_some(),
        || "the front never serves a session".into(),
    );
    (front, connection)
}

/// Opens sessions and returns those that play, which must be at least this many.
fn open_sessions(connection: &mut PlayerConnection, count: usize, minimum: usize) -> Vec<String> {
    let sessions: Vec<String> =
        (0..count).filter_map(|number| open_paid_session(connection, &format!("viewer-{number}"))).collect();
    assert!(sessions.len() >= minimum, "{} of {count} play", sessions.len());
    sessions
}

#[test]
fn sessions_survive_a_suspension_of_their_front() {
    let day = Day::start(script(&script_head(8, 5), "")).unwrap();
    let (front, mut connection) = start_serving(&day, "stopped");
    let sessions = open_sessions(&mut connection, 100, 95);
    // Longer than `silent-after-ms` and `lost-after-ms` (0.9 s each) of these settings together.
    front.suspend_for(5 * SECOND);
    let mut messages: Vec<Value> = Vec::new();
    let until = Instant::now() + 3 * SECOND;
    while let Ok(message) = connection.next(until) {
        messages.push(message);
    }
    let ended = messages.iter().filter(|message| message["method"] == "session.ended").count();
    assert_eq!(ended, 0, "of {}: {:?}", sessions.len(), messages.first());
    let held = |session: &String| {
        let fleet = day.boxes.fleet();
        fleet.boxes.values().any(|state| state.sessions.keys().any(|(id, _)| id == session))
    };
    assert!(sessions.iter().all(held), "the boxes still hold the sessions");
    // A box that really dies is still detected.
    let at = *day.boxes.fleet().boxes.iter().find(|(_, state)| !state.sessions.is_empty()).unwrap().0;
    day.boxes.kill(at);
    let end = connection.next(Instant::now() + 3 * SECOND).expect("its sessions are reported as ended");
    assert_eq!(end["method"], "session.ended", "{end}");
}

// Guards against reading the clock twice, once to detect pauses and once for due timers: suspended between the two, in the
// middle of a batch, the front took its own suspension for silence of all boxes.
#[test]
fn sessions_survive_a_suspension_of_their_front_in_the_middle_of_a_batch() {
    let day = Day::start(script(&script_head(8, 5), "")).unwrap();
    let (front, mut connection) = start_serving(&day, "stopped-busy");
    let sessions = open_sessions(&mut connection, 30, 28);
    let mut other = PlayerConnection::connect(day.front_address(0), 3 * SECOND).unwrap();
    let question = |id: u64| {
        json!({"jsonrpc": "2.0", "id": id, "method": "session.status",
            "params": {"session": format!("f0-00000000-{id:010}"), "viewer": "nobody"}})
    };
    let batch = Value::from((0..64).map(question).collect::<Vec<_>>()).to_string();
    for round in 1..=6 {
        thread::sleep(SECOND / 2);
        other.send(&batch).unwrap();
        // Each round suspends the front at another moment of the batch.
        thread::sleep(Duration::from_micros(250 * round));
        front.suspend_for(5 * SECOND / 2);
        other.next(Instant::now() + SECOND).unwrap();
    }
    let ended: Vec<Value> =
        std::iter::from_fn(|| connection.next(Instant::now() + SECOND / 2).ok()).collect();
    assert!(ended.is_empty(), "of {}: {ended:?}", sessions.len());
}

#[test]
fn answers_that_arrive_during_a_suspension_are_forwarded_in_time_or_not_at_all() {
    let day = Day::start(script(&script_head(4, 150), "")).unwrap();
    let (front, mut connection) = start_serving(&day, "stopped-out");
    // The module allows a set-up at least 0.5 s of the 2 s of patience; the short suspension uses that up and leaves 1 s.
    for (round, span, plays) in [(0, SECOND, true), (1, 4 * SECOND, false)] {
        let ids: Vec<u64> =
            (0..8).map(|n| send_open(&mut connection, &format!("out-{round}-{n}"), "paid", 2000)).collect();
        thread::sleep(SECOND / 20);
        front.suspend_for(span);
        let resumed = Instant::now();
        let until = Instant::now() + SECOND;
        let mut received: Vec<Value> =
            (0..8).map(|_| connection.next(until).expect("an answer each")).collect();
        let late = resumed.elapsed();
        received.extend(std::iter::from_fn(|| connection.next(Instant::now() + SECOND / 4).ok()));
        let answers = |id: &u64| received.iter().filter(|m| m["id"] == *id).count();
        assert!(ids.iter().all(|id| answers(id) == 1), "one answer each: {received:?}");
        let played = received.iter().filter(|m| m["result"]["session"].is_string()).count();
        assert!(late < SECOND, "{late:?}");
        assert_eq!(played, if plays { 8 } else { 0 });
    }
}
