//! One suite against the library's own handle, the library over loopback and the daemon over loopback: the same
//! answers and the same decisions.

mod rig;

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rig::{head, script, wait};
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

/// What one step of the suite was answered, in words that are the same at every door.
type Said = String;

/// A way to a front.
trait Door {
    /// Asks for a session and does not wait.
    fn ask(&mut self, viewer: &str, title: &str, class: &str);
    /// The answer to the session asked for last.
    fn answer(&mut self) -> Said;
    /// Gives up the session asked for last, and returns its answer.
    fn cancel(&mut self) -> Said;
    /// Closes the session of this place in the row of those that were asked for.
    fn close(&mut self, place: usize) -> Said;
    /// Waits for the news that the session of this place is over.
    fn ended(&mut self, place: usize) -> Said;
    /// Leaves without a word.
    fn leave(&mut self, place: usize);
    /// Ends the front in order.
    fn end(&mut self);
}

/// The library's handle.
struct Handle {
    front: Option<Front>,
    sessions: Vec<(Option<Session>, String)>,
}

fn spoken(answer: &Answer) -> (String, Said) {
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

impl Door for Handle {
    fn ask(&mut self, viewer: &str, title: &str, class: &str) {
        let asked = SessionRequest {
            viewer: viewer.into(),
            title: title.into(),
            class: class.into(),
            top_rung: 2,
            patience_ms: 2000,
            ..SessionRequest::default()
        };
        let session = self.front.as_ref().expect("runs").open(&asked).expect("accepted");
        self.sessions.push((Some(session), String::new()));
    }

    fn answer(&mut self) -> Said {
        let (session, name) = self.sessions.last_mut().expect("asked");
        let answer = session.as_ref().expect("there").answer(SECOND * 3).expect("answered");
        let (id, said) = spoken(&answer);
        *name = id;
        said
    }

    fn cancel(&mut self) -> Said {
        self.sessions.last().and_then(|(session, _)| session.as_ref()).expect("asked").cancel();
        self.answer()
    }

    fn close(&mut self, place: usize) -> Said {
        let (session, name) = &mut self.sessions[place];
        let id = salttally::interface::SessionId(name.as_str().into());
        let closed = session.take().expect("there").close(&id, SECOND * 3);
        format!("closed: {closed}")
    }

    fn ended(&mut self, place: usize) -> Said {
        let session = self.sessions[place].0.as_ref().expect("there");
        match session.next(SECOND * 5) {
            Some(CallerMessage::Notification(salttally_front::core::Notification::Ended(_, reason))) => {
                format!("ended: {reason:?}").to_lowercase()
            }
            Some(CallerMessage::Reply(Reply::Unknown)) | Some(_) | None => "nothing".into(),
        }
    }

    fn leave(&mut self, place: usize) {
        self.sessions[place].0 = None;
    }

    fn end(&mut self) {
        self.front.take().expect("runs").shut_down(SECOND * 5).expect("ends in time");
    }
}

/// A player on loopback, and what its front runs in.
struct Socket {
    front: Host,
    address: std::net::SocketAddr,
    /// One connection a session, as leaving is by connection.
    sessions: Vec<(Option<PlayerConnection>, u64, String)>,
}

enum Host {
    Library(Option<Front>),
    Daemon(Child),
}

impl Door for Socket {
    fn ask(&mut self, viewer: &str, title: &str, class: &str) {
        let mut line = PlayerConnection::connect(self.address, SECOND * 3).expect("connects");
        let params =
            json!({"viewer": viewer, "title": title, "class": class, "top_rung": 2, "patience_ms": 2000});
        let id = line.call("session.open", &params).expect("written");
        self.sessions.push((Some(line), id, String::new()));
    }

    fn answer(&mut self) -> Said {
        let (line, id, name) = self.sessions.last_mut().expect("asked");
        let line = line.as_mut().expect("there");
        let answer = line.response(*id, Instant::now() + SECOND * 3, &mut Vec::new()).expect("answered");
        let (result, data) = (&answer["result"], &answer["error"]["data"]);
        let id = if result.is_null() { &data["session"] } else { &result["session"] };
        *name = id.as_str().expect("named").to_owned();
        match answer["error"]["code"].as_i64() {
            None => format!("plays at box {} on rung {}", result["box"], result["rung"]),
            Some(-32001) => format!("refused for {} ms", data["hold_off_ms"]),
            Some(_) => format!("failed: {}", data["reason"].as_str().unwrap_or("").replace('-', "")),
        }
    }

    fn cancel(&mut self) -> Said {
        let (line, id, _) = self.sessions.last_mut().expect("asked");
        line.as_mut().expect("there").call("session.cancel", &json!({"open": *id})).expect("written");
        self.answer()
    }

    fn close(&mut self, place: usize) -> Said {
        let (line, _, name) = &mut self.sessions[place];
        let line = line.as_mut().expect("there");
        let id = line.call("session.close", &json!({"session": name})).expect("written");
        let answer = line.response(id, Instant::now() + SECOND * 3, &mut Vec::new()).expect("answered");
        format!("closed: {}", answer["result"]["state"] == "closed")
    }

    fn ended(&mut self, place: usize) -> Said {
        let line = self.sessions[place].0.as_mut().expect("there");
        match line.next(Instant::now() + SECOND * 5) {
            Ok(told) if told["method"] == "session.ended" => {
                format!("ended: {}", told["params"]["reason"].as_str().unwrap_or(""))
            }
            _ => "nothing".into(),
        }
    }

    fn leave(&mut self, place: usize) {
        self.sessions[place].0 = None;
    }

    fn end(&mut self) {
        match &mut self.front {
            Host::Library(front) => {
                front.take().expect("runs").shut_down(SECOND * 5).expect("ends in time");
            }
            Host::Daemon(child) => {
                let sent = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
                assert!(sent.expect("sent").success());
                assert!(child.wait().expect("ended").success(), "the daemon ends in order");
            }
        }
    }
}

/// Settings for these tests: no figures that depend on the moment they were made in.
fn settings(day: &Day, record: &Path) -> String {
    let text: Vec<&str> =
        day.settings(0).lines().filter(|line| !line.trim().starts_with("reports ")).collect();
    let record = format!("    record {:?}\n    listen ", record);
    text.join("\n").replacen("    listen ", &record, 1)
}

fn daemon(config: &Path) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_salttallyd"))
        .args(["--config", &config.display().to_string(), "--log-level", "warn"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("it speaks");
    assert!(line.starts_with("listening "), "{line}");
    child
}

/// One by one, so that what the front hears comes in one order whatever the door.
fn suite(day: &Day, door: &mut dyn Door) -> Vec<Said> {
    let mut said = Vec::new();
    std::thread::sleep(Duration::from_millis(400));
    for number in 0..5 {
        door.ask(&format!("v-{number}"), &format!("title-{}", number % 4), "clip");
        said.push(door.answer());
    }
    said.push(door.close(1));
    door.ask("p", "title-2", "paid");
    said.push(door.answer());
    // A viewer leaves without a word.
    door.leave(2);
    let held = |count| {
        let now = || day.boxes.fleet().boxes.values().map(|state| state.sessions.len()).sum::<usize>();
        wait(SECOND * 3, || now() == count, || format!("boxes hold {}", now()));
    };
    held(4);
    // One gives up while its set-up is out.
    day.boxes.fleet().model.set_up_time = 200_000;
    door.ask("c", "title-1", "clip");
    std::thread::sleep(Duration::from_millis(80));
    said.push(door.cancel());
    std::thread::sleep(Duration::from_millis(250));
    held(4);
    day.boxes.fleet().model.set_up_time = 5_000;
    // A drain.
    let line = day.list.entry(3).expect("listed");
    day.list.set(ListEntry { state: ListState::Draining, ..line });
    std::thread::sleep(Duration::from_millis(250));
    door.ask("d", "title-3", "clip");
    said.push(door.answer());
    // The box of the first session dies, and the list does not tell.
    let dead = said[0].split_whitespace().nth(3).and_then(|id| id.parse().ok()).expect("a box");
    day.boxes.kill(dead);
    said.push(door.ended(0));
    for number in 0..3 {
        door.ask(&format!("e-{number}"), "title-0", "paid");
        said.push(door.answer());
    }
    // Every set-up fails: a clip is tried elsewhere and refused in the end, a paid one fails.
    day.boxes.fleet().boxes.values_mut().for_each(|state| state.error_share = 1.0);
    door.ask("f", "title-1", "clip");
    said.push(door.answer());
    door.ask("g", "title-1", "paid");
    said.push(door.answer());
    day.boxes.fleet().boxes.values_mut().for_each(|state| (state.error_share, state.draining) = (0.0, true));
    door.ask("h", "title-2", "paid");
    said.push(door.answer());
    said
}

/// The decisions of a record without what differs between any two runs: times, and ids that hold the start's.
fn decisions(record: &Path) -> Vec<Value> {
    let text = fs::read_to_string(record).expect("a record");
    let mut decisions = Vec::new();
    let mut ending = false;
    for line in text.lines() {
        let RecordLine::Step(mut step) = serde_json::from_str(line).expect("a line") else { continue };
        match &mut step.event {
            // Wake-ups come by the clock; in this suite they decide nothing, which is asserted here.
            RecordedEvent::Wake { .. } => {
                assert!(
                    step.actions.iter().all(|did| matches!(did, RecordedAction::WakeAt { .. })),
                    "{line}"
                );
                continue;
            }
            RecordedEvent::Started { took, .. } => *took = 0,
            // The front's end has the sessions that still play ended; which, is the order of ids.
            RecordedEvent::Ended { outcome, .. } if outcome == "withdrawn" => ending |= decisions.len() > 30,
            _ => {}
        }
        if ending {
            break;
        }
        for did in &mut step.actions {
            match did {
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
    let mut runs: Vec<(&str, Vec<Said>, Vec<Value>)> = Vec::new();
    for name in ["handle", "library", "daemon"] {
        let day = Day::start(script(&head(4, 5), "")).expect("stand-ins start");
        let record: PathBuf = folder.join(format!("{name}.jsonl"));
        let config = folder.join(format!("{name}.kdl"));
        fs::write(&config, settings(&day, &record)).expect("written");
        let library = || Front::start(Settings::load(&config).expect("holds")).expect("starts");
        let address = day.front_address(0);
        let mut door: Box<dyn Door> = match name {
            "handle" => Box::new(Handle { front: Some(library()), sessions: Vec::new() }),
            "library" => {
                let front = Host::Library(Some(library()));
                Box::new(Socket { front, address, sessions: Vec::new() })
            }
            _ => {
                let front = Host::Daemon(daemon(&config));
                Box::new(Socket { front, address, sessions: Vec::new() })
            }
        };
        let said = suite(&day, door.as_mut());
        door.end();
        day.stop();
        let settings = Settings::load(&config).expect("holds");
        let file = BufReader::new(fs::File::open(&record).expect("a record"));
        replay(file, &settings.decision).expect("each step as the module alone decides it");
        runs.push((name, said, decisions(&record)));
    }
    let (_, said, decided) = &runs[0];
    assert!(said.iter().filter(|said| said.starts_with("plays")).count() >= 8, "{said:#?}");
    assert!(decided.len() > 30, "{decided:#?}");
    for (name, other, others) in &runs[1..] {
        assert_eq!(said, other, "answers of {name}");
        for (at, (one, two)) in decided.iter().zip(others).enumerate() {
            assert_eq!(one, two, "decision {at} of {name}");
        }
        assert_eq!(decided.len(), others.len(), "{name}");
    }
    fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_daemon_killed_with_sessions_playing_finds_them_again() {
    let folder = std::env::temp_dir().join(format!("salttally-killed-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let day = Day::start(script(&head(3, 5), "claim-within-ms 1500")).expect("stand-ins start");
    let (record, config) = (folder.join("f0.jsonl"), folder.join("f0.kdl"));
    fs::write(&config, settings(&day, &record)).expect("written");
    let mut first = daemon(&config);
    std::thread::sleep(Duration::from_millis(300));
    let address = day.front_address(0);
    let mut names = Vec::new();
    for number in 0..5 {
        let mut line = PlayerConnection::connect(address, SECOND * 3).expect("connects");
        let params = json!({
            "viewer": format!("v-{number}"), "title": "title-0", "class": "paid", "top_rung": 2, "patience_ms": 2000
        });
        let id = line.call("session.open", &params).expect("written");
        let answer = line.response(id, Instant::now() + SECOND * 3, &mut Vec::new()).expect("answered");
        names.push(answer["result"]["session"].as_str().expect("plays").to_owned());
        std::mem::forget(line);
    }
    first.kill().expect("killed");
    first.wait().expect("gone");
    let held = || day.boxes.fleet().boxes.values().map(|state| state.sessions.len()).sum::<usize>();
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(held(), 5, "they play on");
    let mut second = daemon(&config);
    let mut claimed = None;
    wait(
        SECOND * 3,
        || {
            let Ok(mut line) = PlayerConnection::connect(address, SECOND) else { return false };
            let params = json!({"session": names[2], "viewer": "v-2"});
            let id = line.call("session.status", &params).expect("written");
            let status = line.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
            claimed = (status["result"]["state"] == "playing").then_some(line);
            claimed.is_some()
        },
        || "the session is not found again".into(),
    );
    wait(SECOND * 4, || held() == 1, || format!("{} still play; four have nobody", held()));
    let mut line = claimed.expect("claimed");
    let id = line.call("session.close", &json!({"session": names[2]})).expect("written");
    line.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    wait(SECOND * 2, || held() == 0, || format!("{} still play", held()));
    let _ = Command::new("kill").args(["-TERM", &second.id().to_string()]).status();
    assert!(second.wait().expect("ended").success());
    day.stop();
    fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn the_settings_that_come_with_the_repository_hold() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/front.kdl");
    Settings::load(Path::new(path)).unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn a_daemon_refuses_bad_settings_with_file_line_and_reason() {
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
