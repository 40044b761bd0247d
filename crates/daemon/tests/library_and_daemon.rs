//! Runs the same steps against the library's handle, the library over loopback and the daemon over loopback, and checks
//! that all three give the same answers by the same decisions.

mod rig;

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rig::{script, script_head, wait_until};
use salttally_front::core::{Answer, Reply};
use salttally_front::record::lines::{Line as RecordLine, RecordedAction, RecordedEvent};
use salttally_front::record::replay;
use salttally_front::settings::Settings;
use salttally_front::{CallerMessage, Front, Session, SessionRequest};
use salttally_standin::day::Day;
use salttally_standin::list::{ListEntry, ListState};
use salttally_standin::players::PlayerConnection;
use serde_json::{json, Value};

const SECOND: Duration = Duration::from_secs(1);

/// The result of one step, in a form that does not depend on the client.
type StepResult = String;

/// A way to reach a front.
trait FrontClient {
    /// Requests a session without waiting for the answer.
    fn send_open(&mut self, viewer: &str, title: &str, class: &str);
    /// Reads the answer to the latest request.
    fn answer(&mut self) -> StepResult;
    /// Cancels the latest request and returns its answer.
    fn cancel(&mut self) -> StepResult;
    /// Closes the session of this index, counted in the order of the requests.
    fn close(&mut self, index: usize) -> StepResult;
    /// Waits for the notification that the session of this index has ended.
    fn wait_for_end(&mut self, index: usize) -> StepResult;
    /// Closes the connection of this session without notice.
    fn disconnect(&mut self, index: usize);
    /// Shuts the front down gracefully.
    fn shut_down(&mut self);
}

/// Uses the handle of the library.
struct LibraryClient {
    front: Option<Front>,
    sessions: Vec<(Option<Session>, String)>,
}

fn describe(answer: &Answer) -> (String, StepResult) {
    match answer {
        Answer::Plays { session, server, rung, .. } => {
            (session.0.to_string(), format!("plays at box {} on rung {rung}", server.0))
        }
        Answer::Refused(session, hold_off) => {
            (session.0.to_string(), format!("refused for {} ms", hold_off / 1000))
        }
        Answer::Failed(session, reason) => {
            (session.0.to_string(), format!("failed: {reason:?}").to_lowercase())
        }
    }
}

impl FrontClient for LibraryClient {
    fn send_open(&mut self, viewer: &str, title: &str, class: &str) {
        let request = SessionRequest {
            viewer: viewer.into(),
            title: title.into(),
            class: class.into(),
            top_rung: 2,
            patience_ms: 2000,
            ..SessionRequest::default()
        };
        let session = self.front.as_ref().expect("runs").open(&request).expect("accepted");
        self.sessions.push((Some(session), String::new()));
    }

    fn answer(&mut self) -> StepResult {
        let (session, name) = self.sessions.last_mut().expect("asked");
        let answer = session.as_ref().expect("there").answer(SECOND * 3).expect("answered");
        let (id, result) = describe(&answer);
        *name = id;
        result
    }

    fn cancel(&mut self) -> StepResult {
        self.sessions.last().and_then(|(session, _)| session.as_ref()).expect("asked").cancel();
        self.answer()
    }

    fn close(&mut self, index: usize) -> StepResult {
        let (session, name) = &mut self.sessions[index];
        let id = salttally::interface::SessionId(name.as_str().into());
        let closed = session.take().expect("there").close(&id, SECOND * 3);
        format!("closed: {closed}")
    }

    fn wait_for_end(&mut self, index: usize) -> StepResult {
        let session = self.sessions[index].0.as_ref().expect("there");
        match session.next(SECOND * 5) {
            Some(CallerMessage::Notification(salttally_front::core::Notification::Ended(_, reason))) => {
                format!("ended: {reason:?}").to_lowercase()
            }
            Some(CallerMessage::Reply(Reply::Unknown)) | Some(_) | None => "nothing".into(),
        }
    }

    fn disconnect(&mut self, index: usize) {
        self.sessions[index].0 = None;
    }

    fn shut_down(&mut self) {
        self.front.take().expect("runs").shut_down(SECOND * 5).expect("ends in time");
    }
}

/// A player on loopback, and the host of its front.
struct WebSocketClient {
    front: FrontHost,
    address: std::net::SocketAddr,
    /// One connection for each session, since disconnecting affects all sessions of a connection.
    sessions: Vec<(Option<PlayerConnection>, u64, String)>,
}

enum FrontHost {
    Library(Option<Front>),
    Daemon(Child),
}

impl FrontClient for WebSocketClient {
    fn send_open(&mut self, viewer: &str, title: &str, class: &str) {
        let mut connection = PlayerConnection::connect(self.address, SECOND * 3).expect("connects");
        let params =
            json!({"viewer": viewer, "title": title, "class": class, "top_rung": 2, "patience_ms": 2000});
        let id = connection.call("session.open", &params).expect("written");
        self.sessions.push((Some(connection), id, String::new()));
    }

    fn answer(&mut self) -> StepResult {
        let (connection, id, name) = self.sessions.last_mut().expect("asked");
        let connection = connection.as_mut().expect("there");
        let answer =
            connection.response(*id, Instant::now() + SECOND * 3, &mut Vec::new()).expect("answered");
        let (result, data) = (&answer["result"], &answer["error"]["data"]);
        let id = if result.is_null() { &data["session"] } else { &result["session"] };
        *name = id.as_str().expect("named").to_owned();
        match answer["error"]["code"].as_i64() {
            None => format!("plays at box {} on rung {}", result["box"], result["rung"]),
            Some(-32001) => format!("refused for {} ms", data["hold_off_ms"]),
            Some(_) => format!("failed: {}", data["reason"].as_str().unwrap_or("").replace('-', "")),
        }
    }

    fn cancel(&mut self) -> StepResult {
        let (connection, id, _) = self.sessions.last_mut().expect("asked");
        connection.as_mut().expect("there").call("session.cancel", &json!({"open": *id})).expect("written");
        self.answer()
    }

    fn close(&mut self, index: usize) -> StepResult {
        let (connection, _, name) = &mut self.sessions[index];
        let connection = connection.as_mut().expect("there");
        let id = connection.call("session.close", &json!({"session": name})).expect("written");
        let answer = connection.response(id, Instant::now() + SECOND * 3, &mut Vec::new()).expect("answered");
        format!("closed: {}", answer["result"]["state"] == "closed")
    }

    fn wait_for_end(&mut self, index: usize) -> StepResult {
        let connection = self.sessions[index].0.as_mut().expect("there");
        match connection.next(Instant::now() + SECOND * 5) {
            Ok(told) if told["method"] == "session.ended" => {
                format!("ended: {}", told["params"]["reason"].as_str().unwrap_or(""))
            }
            _ => "nothing".into(),
        }
    }

    fn disconnect(&mut self, index: usize) {
        self.sessions[index].0 = None;
    }

    fn shut_down(&mut self) {
        match &mut self.front {
            FrontHost::Library(front) => {
                front.take().expect("runs").shut_down(SECOND * 5).expect("ends in time");
            }
            FrontHost::Daemon(child) => {
                let sent = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
                assert!(sent.expect("sent").success());
                assert!(child.wait().expect("ended").success(), "the daemon shuts down gracefully");
            }
        }
    }
}

/// Settings that record decisions and leave out `reports`, which depends on the timing of each run.
fn settings(day: &Day, record: &Path) -> String {
    let text: Vec<&str> =
        day.settings(0).lines().filter(|line| !line.trim().starts_with("reports ")).collect();
    let record = format!("    record {:?}\n    listen ", record);
    text.join("\n").replacen("    listen ", &record, 1)
}

fn start_daemon(config: &Path) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_salttallyd"))
        .args(["--config", &config.display().to_string(), "--log-level", "warn"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped"))
        .read_line(&mut line)
        .expect("the daemon prints a line");
    assert!(line.starts_with("listening "), "{line}");
    child
}

/// Runs the steps one after another, so that the front receives its events in the same order from every client.
fn run_steps(day: &Day, client: &mut dyn FrontClient) -> Vec<StepResult> {
    let mut results = Vec::new();
    std::thread::sleep(Duration::from_millis(400));
    for number in 0..5 {
        client.send_open(&format!("v-{number}"), &format!("title-{}", number % 4), "clip");
        results.push(client.answer());
    }
    results.push(client.close(1));
    client.send_open("p", "title-2", "paid");
    results.push(client.answer());
    // A viewer disconnects without notice.
    client.disconnect(2);
    let wait_for_held = |count| {
        let now = || day.boxes.fleet().boxes.values().map(|state| state.sessions.len()).sum::<usize>();
        wait_until(SECOND * 3, || now() == count, || format!("the boxes hold {} sessions", now()));
    };
    wait_for_held(4);
    // A viewer cancels while its set-up is outstanding.
    day.boxes.fleet().model.set_up_time = 200_000;
    client.send_open("c", "title-1", "clip");
    std::thread::sleep(Duration::from_millis(80));
    results.push(client.cancel());
    std::thread::sleep(Duration::from_millis(250));
    wait_for_held(4);
    day.boxes.fleet().model.set_up_time = 5_000;
    // A box drains.
    let entry = day.list.entry(3).expect("listed");
    day.list.set(ListEntry { state: ListState::Draining, ..entry });
    std::thread::sleep(Duration::from_millis(250));
    client.send_open("d", "title-3", "clip");
    results.push(client.answer());
    // The box of the first session dies, and the list does not report it.
    let dead = results[0].split_whitespace().nth(3).and_then(|id| id.parse().ok()).expect("a box");
    day.boxes.kill(dead);
    results.push(client.wait_for_end(0));
    for number in 0..3 {
        client.send_open(&format!("e-{number}"), "title-0", "paid");
        results.push(client.answer());
    }
    // Every set-up fails: a clip is retried at other boxes and finally refused, a paid session fails.
    day.boxes.fleet().boxes.values_mut().for_each(|state| state.error_share = 1.0);
    client.send_open("f", "title-1", "clip");
    results.push(client.answer());
    client.send_open("g", "title-1", "paid");
    results.push(client.answer());
    day.boxes.fleet().boxes.values_mut().for_each(|state| (state.error_share, state.draining) = (0.0, true));
    client.send_open("h", "title-2", "paid");
    results.push(client.answer());
    results
}

/// The decisions of a record without what differs between any two runs: times, and the front's start in session ids.
fn decisions(record: &Path) -> Vec<Value> {
    let text = fs::read_to_string(record).expect("a record");
    let mut decisions = Vec::new();
    let mut ending = false;
    for record_line in text.lines() {
        let RecordLine::Step(mut step) = serde_json::from_str(record_line).expect("a line") else { continue };
        match &mut step.event {
            // Wake-ups depend on the clock. In these steps they must lead to no decision, which is asserted here.
            RecordedEvent::Wake { .. } => {
                assert!(
                    step.actions.iter().all(|action| matches!(action, RecordedAction::WakeAt { .. })),
                    "{record_line}"
                );
                continue;
            }
            RecordedEvent::Started { took, .. } => *took = 0,
            // The shutdown ends the sessions that still play, in the order of their ids, which differs between runs.
            RecordedEvent::Ended { outcome, .. } if outcome == "withdrawn" => ending |= decisions.len() > 30,
            _ => {}
        }
        if ending {
            break;
        }
        for action in &mut step.actions {
            match action {
                RecordedAction::SetUp { time_out, .. } => *time_out = 0,
                RecordedAction::WakeAt { at, .. } => *at = 0,
                _ => {}
            }
        }
        let value = json!([step.event, step.actions]).to_string();
        let start = value.find("f0-").map(|at| value[at..at + 12].to_owned());
        let value = start.map_or(value.clone(), |start| value.replace(&start, "f0-"));
        decisions.push(serde_json::from_str(&value).expect("JSON"));
    }
    decisions
}

#[test]
fn library_and_daemon_give_the_same_answers_by_the_same_decisions() {
    let folder = std::env::temp_dir().join(format!("salttally-suite-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let mut runs: Vec<(&str, Vec<StepResult>, Vec<Value>)> = Vec::new();
    for name in ["handle", "library", "daemon"] {
        let day = Day::start(script(&script_head(4, 5), "")).expect("stand-ins start");
        let record: PathBuf = folder.join(format!("{name}.jsonl"));
        let config = folder.join(format!("{name}.kdl"));
        fs::write(&config, settings(&day, &record)).expect("written");
        let library = || Front::start(Settings::load(&config).expect("holds")).expect("starts");
        let address = day.front_address(0);
        let mut client: Box<dyn FrontClient> = match name {
            "handle" => Box::new(LibraryClient { front: Some(library()), sessions: Vec::new() }),
            "library" => {
                let front = FrontHost::Library(Some(library()));
                Box::new(WebSocketClient { front, address, sessions: Vec::new() })
            }
            _ => {
                let front = FrontHost::Daemon(start_daemon(&config));
                Box::new(WebSocketClient { front, address, sessions: Vec::new() })
            }
        };
        let results = run_steps(&day, client.as_mut());
        client.shut_down();
        day.stop();
        let settings = Settings::load(&config).expect("holds");
        let file = BufReader::new(fs::File::open(&record).expect("a record"));
        replay(file, &settings.decision).expect("each step replays as the module decides it");
        runs.push((name, results, decisions(&record)));
    }
    let (_, results, decisions_made) = &runs[0];
    assert!(results.iter().filter(|result| result.starts_with("plays")).count() >= 8, "{results:#?}");
    assert!(decisions_made.len() > 30, "{decisions_made:#?}");
    for (name, other_results, other_decisions) in &runs[1..] {
        assert_eq!(results, other_results, "answers of {name}");
        for (position, (one, two)) in decisions_made.iter().zip(other_decisions).enumerate() {
            assert_eq!(one, two, "decision {position} of {name}");
        }
        assert_eq!(decisions_made.len(), other_decisions.len(), "{name}");
    }
    fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_daemon_restarted_after_a_kill_resumes_its_sessions() {
    let folder = std::env::temp_dir().join(format!("salttally-killed-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let day = Day::start(script(&script_head(3, 5), "claim-within-ms 1500")).expect("stand-ins start");
    let (record, config) = (folder.join("f0.jsonl"), folder.join("f0.kdl"));
    fs::write(&config, settings(&day, &record)).expect("written");
    let mut first = start_daemon(&config);
    std::thread::sleep(Duration::from_millis(300));
    let address = day.front_address(0);
    let mut sessions = Vec::new();
    for number in 0..5 {
        let mut connection = PlayerConnection::connect(address, SECOND * 3).expect("connects");
        let params = json!({
            "viewer": format!("v-{number}"), "title": "title-0", "class": "paid", "top_rung": 2, "patience_ms": 2000
        });
        let id = connection.call("session.open", &params).expect("written");
        let answer = connection.response(id, Instant::now() + SECOND * 3, &mut Vec::new()).expect("answered");
        sessions.push(answer["result"]["session"].as_str().expect("plays").to_owned());
        std::mem::forget(connection);
    }
    first.kill().expect("killed");
    first.wait().expect("gone");
    let held_sessions = || day.boxes.fleet().boxes.values().map(|state| state.sessions.len()).sum::<usize>();
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(held_sessions(), 5, "the sessions play on at the boxes");
    let mut second = start_daemon(&config);
    let mut claimed_connection = None;
    wait_until(
        SECOND * 3,
        || {
            let Ok(mut connection) = PlayerConnection::connect(address, SECOND) else { return false };
            let params = json!({"session": sessions[2], "viewer": "v-2"});
            let id = connection.call("session.status", &params).expect("written");
            let status = connection.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
            claimed_connection = (status["result"]["state"] == "playing").then_some(connection);
            claimed_connection.is_some()
        },
        || "the session is not resumed".into(),
    );
    wait_until(
        SECOND * 4,
        || held_sessions() == 1,
        || format!("{} still play; four have no viewer", held_sessions()),
    );
    let mut connection = claimed_connection.expect("claimed");
    let id = connection.call("session.close", &json!({"session": sessions[2]})).expect("written");
    connection.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    wait_until(SECOND * 2, || held_sessions() == 0, || format!("{} still play", held_sessions()));
    let _ = Command::new("kill").args(["-TERM", &second.id().to_string()]).status();
    assert!(second.wait().expect("ended").success());
    day.stop();
    fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn the_settings_in_the_repository_are_valid() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/front.kdl");
    Settings::load(Path::new(path)).unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn a_daemon_rejects_invalid_settings_with_file_line_and_reason() {
    let path = std::env::temp_dir().join(format!("salttally-bad-{}.kdl", std::process::id()));
    fs::write(&path, "front \"f1\" {\n    listen \"nowhere\"\n}\n").expect("written");
    for check in [&["--check"][..], &[]] {
        let output = Command::new(env!("CARGO_BIN_EXE_salttallyd"))
            .arg("--config")
            .arg(&path)
            .args(check)
            .output()
            .expect("it runs");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2));
        assert!(text.contains(".kdl:2:5: `nowhere` is no address and port"), "{text}");
    }
    fs::remove_file(&path).expect("removed");
}
