//! A front of players over WebSocket that is itself stopped for a while, as a process, against the stand-ins. Danger:
//! what was not heard meanwhile is taken for silence of the boxes, and every session for lost.

mod rig;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rig::{head, script, wait};
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

    fn stopped(&self, span: Duration) {
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

fn open(line: &mut PlayerConnection, viewer: &str, class: &str, patience_ms: u64) -> u64 {
    let params = json!({"viewer": viewer, "title": "title-0", "class": class, "top_rung": 2, "patience_ms": patience_ms});
    line.call("session.open", &params).unwrap()
}

fn opened(line: &mut PlayerConnection, viewer: &str) -> Option<String> {
    let id = open(line, viewer, "paid", 2000);
    let answer = line.response(id, Instant::now() + 3 * SECOND, &mut Vec::new()).ok()?;
    answer["result"]["session"].as_str().map(str::to_owned)
}

/// A front that serves, and a line to it.
fn serving(day: &Day, name: &str) -> (Front, PlayerConnection) {
    let front = Front::start(day, name);
    let mut line = PlayerConnection::connect(day.front_address(0), 3 * SECOND).unwrap();
    wait(10 * SECOND, || opened(&mut line, "first").is_some(), || "the front never has a box".into());
    (front, line)
}

/// Sessions that play, of so many that are asked for; at least this many must.
fn playing(line: &mut PlayerConnection, asked: usize, least: usize) -> Vec<String> {
    let sessions: Vec<String> =
        (0..asked).filter_map(|number| opened(line, &format!("viewer-{number}"))).collect();
    assert!(sessions.len() >= least, "{} of {asked} play", sessions.len());
    sessions
}

#[test]
fn sessions_of_a_front_that_was_stopped_play_on() {
    let day = Day::start(script(&head(8, 5), "")).unwrap();
    let (front, mut line) = serving(&day, "stopped");
    let sessions = playing(&mut line, 100, 95);
    // Longer than the silence (0.9 s) and the loss (0.9 s) of these settings together.
    front.stopped(5 * SECOND);
    let mut told: Vec<Value> = Vec::new();
    let until = Instant::now() + 3 * SECOND;
    while let Ok(message) = line.next(until) {
        told.push(message);
    }
    let ended = told.iter().filter(|message| message["method"] == "session.ended").count();
    assert_eq!(ended, 0, "of {}: {:?}", sessions.len(), told.first());
    let held = |session: &String| {
        let fleet = day.boxes.fleet();
        fleet.boxes.values().any(|state| state.sessions.keys().any(|(id, _)| id == session))
    };
    assert!(sessions.iter().all(held), "and their boxes hold them");
    // A box that does die is still missed.
    let at = *day.boxes.fleet().boxes.iter().find(|(_, state)| !state.sessions.is_empty()).unwrap().0;
    day.boxes.kill(at);
    let end = line.next(Instant::now() + 3 * SECOND).expect("its sessions are told to be over");
    assert_eq!(end["method"], "session.ended", "{end}");
}

// Caught two looks at the clock, one for pauses and one for what is due: stopped between them, in the middle of a batch, the
// front took its own sleep for silence of all boxes.
#[test]
fn sessions_of_a_front_that_was_stopped_in_the_middle_of_its_work_play_on() {
    let day = Day::start(script(&head(8, 5), "")).unwrap();
    let (front, mut line) = serving(&day, "stopped-busy");
    let sessions = playing(&mut line, 30, 28);
    let mut other = PlayerConnection::connect(day.front_address(0), 3 * SECOND).unwrap();
    let question = |id: u64| {
        json!({"jsonrpc": "2.0", "id": id, "method": "session.status",
            "params": {"session": format!("f0-00000000-{id:010}"), "viewer": "nobody"}})
    };
    let batch = Value::from((0..64).map(question).collect::<Vec<_>>()).to_string();
    for stop in 1..=6 {
        thread::sleep(SECOND / 2);
        other.send(&batch).unwrap();
        // In the middle of the batch, at one of these moments.
        thread::sleep(Duration::from_micros(250 * stop));
        front.stopped(5 * SECOND / 2);
        other.next(Instant::now() + SECOND).unwrap();
    }
    let ended: Vec<Value> = std::iter::from_fn(|| line.next(Instant::now() + SECOND / 2).ok()).collect();
    assert!(ended.is_empty(), "of {}: {ended:?}", sessions.len());
}

#[test]
fn answers_that_came_while_a_front_was_stopped_are_passed_on_in_time_and_never_late() {
    let day = Day::start(script(&head(4, 150), "")).unwrap();
    let (front, mut line) = serving(&day, "stopped-out");
    // The module gives a set-up half a second and more of these two seconds; the stop takes that and leaves a second.
    for (round, span, plays) in [(0, SECOND, true), (1, 4 * SECOND, false)] {
        let ids: Vec<u64> =
            (0..8).map(|n| open(&mut line, &format!("out-{round}-{n}"), "paid", 2000)).collect();
        thread::sleep(SECOND / 20);
        front.stopped(span);
        let woken = Instant::now();
        let until = Instant::now() + SECOND;
        let mut said: Vec<Value> = (0..8).map(|_| line.next(until).expect("an answer each")).collect();
        let late = woken.elapsed();
        said.extend(std::iter::from_fn(|| line.next(Instant::now() + SECOND / 4).ok()));
        let answers = |id: &u64| said.iter().filter(|m| m["id"] == *id).count();
        assert!(ids.iter().all(|id| answers(id) == 1), "one answer each: {said:?}");
        let played = said.iter().filter(|m| m["result"]["session"].is_string()).count();
        assert!(late < SECOND, "{late:?}");
        assert_eq!(played, if plays { 8 } else { 0 });
    }
}
