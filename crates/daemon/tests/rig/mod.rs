//! A test rig: a small fleet of stand-ins on loopback, fronts in this process, and scripted players. All of them write to
//! one record, which the judge checks at the end.
#![allow(dead_code)]

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use salttally_front::settings::Settings;
use salttally_front::Front;
use salttally_judge::judge;
use salttally_judge::record::{AnswerKind, Event};
use salttally_settings::Document;
use salttally_standin::day::{Day, FrontController};
use salttally_standin::players::{PlayerConnection, ReceiveError};
use salttally_standin::script::Script;
use serde_json::{json, Value};

/// Terms of every front in these tests. `LIMITS` is replaced with the limits of the test.
const TERMS: &str = r#"
terms {
    ladder { rung kb=100 worth=0.2; rung kb=200 worth=0.5; rung kb=400 worth=1.0; }
    class "clip" aim-ms=1000
    class "paid" aim-ms=1000 effect="once" gain=2.0 floor=1
    rules { attempts 3; hold-off-ms 300; drain-grace-ms 250; warm-up-ms 2000; cold-from 0.4
        fall-multiple 2.0; fall-ms 500; }
    limits { silent-after-ms 900; lost-after-ms 900; LIMITS }
}
"#;

/// A script made of these KDL nodes and the terms of these tests.
pub fn script(head: &str, limits: &str) -> Script {
    let text = format!("{head}\n{}", TERMS.replace("LIMITS", limits));
    let document = Document::parse("test.kdl", &text).unwrap_or_else(|e| panic!("{e}"));
    Script::read(&document).unwrap_or_else(|e| panic!("{e}"))
}

/// KDL nodes of a script with this many boxes, whose set-ups take this long.
pub fn script_head(boxes: u32, set_up_ms: u32) -> String {
    format!(
        "day seconds=5 sessions=1\nfronts 1\nlist-lag-ms 20\ntitles 4 holders={boxes}\n\
         viewers \"clip\" share=1 length-s=1 patience-ms=2000\n\
         boxes {boxes} places=60 link-kb=20000 set-up-ms={set_up_ms} refuses-from=1.0 report-ms=50"
    )
}

/// Runs fronts in this process.
#[derive(Default)]
pub struct InProcessFronts(pub Vec<Option<Front>>);

impl FrontController for InProcessFronts {
    fn start(&mut self, number: usize, settings: &str) -> io::Result<()> {
        let settings = Settings::parse("front.kdl", settings).map_err(|e| io::Error::other(e.to_string()))?;
        let front = Front::start(settings).map_err(|e| io::Error::other(e.to_string()))?;
        self.0.resize_with(self.0.len().max(number + 1), || None);
        self.0[number] = Some(front);
        Ok(())
    }

    fn kill(&mut self, number: usize) {
        if let Some(front) = self.0.get_mut(number).and_then(Option::take) {
            front.kill();
        }
    }
}

/// A fleet of stand-ins with its fronts.
pub struct Rig {
    pub day: Day,
    pub fronts: InProcessFronts,
    edit: fn(&str) -> String,
}

impl Rig {
    /// Starts boxes, list and fronts, and waits until the fronts serve sessions.
    pub fn start(script: Script) -> Rig {
        Rig::start_with_settings(script, str::to_owned)
    }

    /// Like `start`, with the settings of the fronts edited by `edit`.
    pub fn start_with_settings(script: Script, edit: fn(&str) -> String) -> Rig {
        let day = Day::start(script).expect("stand-ins start");
        let mut rig = Rig { day, fronts: InProcessFronts::default(), edit };
        for number in 0..rig.day.script.fronts {
            rig.start_front(number);
        }
        rig
    }

    /// Starts a front and waits until it serves sessions.
    pub fn start_front(&mut self, number: u32) {
        self.day.log.write(Event::FrontUp { front: format!("f{number}") });
        let settings = (self.edit)(self.day.settings(number as usize));
        self.fronts.start(number as usize, &settings).expect("the front starts");
        self.wait_until_serving(number);
    }

    /// Waits until the front serves a session, which means that it knows the boxes.
    pub fn wait_until_serving(&self, number: u32) {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let viewer = &mut Viewer::connect(self, number, "first");
            if viewer.open("title-0", "clip", 2000).is_plays() {
                viewer.close();
                return;
            }
            assert!(Instant::now() < deadline, "the front never serves a session");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn front(&self, number: usize) -> &Front {
        self.fronts.0[number].as_ref().expect("the front runs")
    }

    /// Kills a front without a graceful shutdown.
    pub fn kill_front(&mut self, number: usize) {
        self.day.log.write(Event::FrontDown { front: format!("f{number}") });
        self.fronts.kill(number);
    }

    pub fn address(&self, number: u32) -> SocketAddr {
        self.day.front_address(number)
    }

    /// Number of sessions that the boxes hold now.
    pub fn held_sessions(&self) -> usize {
        self.day.boxes.fleet().boxes.values().map(|state| state.sessions.len()).sum()
    }

    /// Waits until the boxes hold this many sessions.
    pub fn wait_for_held_sessions(&self, count: usize) {
        wait_until(
            Duration::from_secs(10),
            || self.held_sessions() == count,
            || format!("the boxes hold {} sessions, not {count}", self.held_sessions()),
        );
    }

    /// The boxes at which a session plays or is being set up.
    pub fn boxes_of(&self, session: &str) -> Vec<u32> {
        let fleet = self.day.boxes.fleet();
        let holds =
            |state: &salttally_standin::fleet::BoxState| state.sessions.keys().any(|(id, _)| id == session);
        fleet.boxes.iter().filter(|(_, state)| holds(state)).map(|(id, _)| *id).collect()
    }

    /// Shuts the fronts down gracefully and judges the whole record. The fronts' safety guard must not have stopped any
    /// action.
    pub fn shut_down_and_judge(mut self) {
        for (number, front) in self.fronts.0.drain(..).enumerate() {
            let Some(front) = front else { continue };
            self.day.log.write(Event::FrontDown { front: format!("f{number}") });
            let counts = front.shut_down(Duration::from_secs(5)).expect("all sessions are released");
            assert_eq!(counts.stopped(), 0, "{counts:?}");
        }
        self.day.stop();
        let verdict = judge(&self.day.log.lines());
        assert!(verdict.all_kept(), "{:#?}", verdict.findings);
    }
}

/// Waits until the condition holds, and panics with the message on timeout.
pub fn wait_until(
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
    failure_message: impl Fn() -> String,
) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "{}", failure_message());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The answer to an open, reduced to what the tests check.
#[derive(Clone, Debug, PartialEq)]
pub enum OpenAnswer {
    /// The session plays.
    Plays(String),
    /// The session was refused, with the hold-off in ms.
    Refused(String, u64),
    /// The session failed, with the reason.
    Failed(String, String),
    /// The connection was closed before the answer.
    Disconnected,
}

impl OpenAnswer {
    pub fn is_plays(&self) -> bool {
        matches!(self, OpenAnswer::Plays(_))
    }
}

/// A scripted player.
pub struct Viewer<'a> {
    rig: &'a Rig,
    pub connection: PlayerConnection,
    front: String,
    name: String,
    pub session: Option<String>,
    /// Messages read while waiting for another one.
    pub other_messages: Vec<Value>,
}

impl<'a> Viewer<'a> {
    pub fn connect(rig: &'a Rig, front: u32, name: &str) -> Viewer<'a> {
        let connection = PlayerConnection::connect(rig.address(front), Duration::from_secs(3))
            .expect("the front accepts players");
        let (front, name) = (format!("f{front}"), name.to_owned());
        Viewer { rig, connection, front, name, session: None, other_messages: Vec::new() }
    }

    /// Sends `session.open` and returns the id of the call.
    pub fn send_open(&mut self, title: &str, class: &str, patience_ms: u64) -> u64 {
        self.send_open_moved(title, class, patience_ms, None)
    }

    /// Like `send_open`, for a session that was moved.
    pub fn send_open_moved(
        &mut self,
        title: &str,
        class: &str,
        patience_ms: u64,
        moved_from: Option<&str>,
    ) -> u64 {
        let mut params = json!({
            "viewer": self.name, "title": title, "class": class, "top_rung": 2, "patience_ms": patience_ms
        });
        if let Some(old_session) = moved_from {
            params["moved_from"] = Value::from(old_session);
        }
        let open = self.open_id();
        self.rig.day.log.write(Event::Opened {
            open,
            front: self.front.clone(),
            viewer: self.name.clone(),
            title: title.to_owned(),
            class: class.to_owned(),
            patience: patience_ms * 1000,
            length: 1_000_000,
            returned: false,
        });
        let id = self.connection.call("session.open", &params).expect("the call is written");
        assert_eq!(self.open_id(), open, "one open at a time");
        id
    }

    /// An id for the current open call; unique because no two players of a test share a name.
    fn open_id(&self) -> u64 {
        let hash =
            self.name.bytes().fold(17u64, |hash, byte| hash.wrapping_mul(131).wrapping_add(u64::from(byte)));
        hash.wrapping_mul(1000).wrapping_add(self.other_messages.len() as u64 * 7)
    }

    /// Reads the answer to a call.
    pub fn read_answer(&mut self, id: u64, timeout: Duration) -> OpenAnswer {
        let open = self.open_id();
        let mut other_messages = Vec::new();
        let outcome = match self.connection.response(id, Instant::now() + timeout, &mut other_messages) {
            Ok(answer) => {
                let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
                let error = &answer["error"];
                let data = &error["data"];
                let (kind, session, outcome) = match error["code"].as_i64() {
                    None => {
                        let session = text(&answer["result"]["session"]);
                        (AnswerKind::Plays, session.clone(), OpenAnswer::Plays(session))
                    }
                    Some(-32001) => {
                        let hold_off = data["hold_off_ms"].as_u64().unwrap_or(0);
                        let session = text(&data["session"]);
                        (AnswerKind::Refused, session.clone(), OpenAnswer::Refused(session, hold_off))
                    }
                    _ => {
                        let session = text(&data["session"]);
                        let reason = data["reason"]
                            .as_str()
                            .unwrap_or_else(|| error["message"].as_str().unwrap_or(""));
                        let outcome = OpenAnswer::Failed(session.clone(), reason.to_owned());
                        (AnswerKind::Failed, session, outcome)
                    }
                };
                self.rig.day.log.write(Event::Answered { open, answer: kind, session });
                outcome
            }
            Err(ReceiveError::TimedOut) => panic!("no answer within {timeout:?}"),
            Err(ReceiveError::Closed(_)) => {
                self.rig.day.log.write(Event::Cut { open });
                OpenAnswer::Disconnected
            }
        };
        self.other_messages.extend(other_messages);
        if let OpenAnswer::Plays(session) = &outcome {
            self.session = Some(session.clone());
        }
        outcome
    }

    /// Opens a session and reads its answer.
    pub fn open(&mut self, title: &str, class: &str, patience_ms: u64) -> OpenAnswer {
        let id = self.send_open(title, class, patience_ms);
        let outcome = self.read_answer(id, Duration::from_millis(patience_ms + 500));
        // Gives the next open of this player another id.
        self.other_messages.push(Value::Null);
        outcome
    }

    /// Closes the playing session.
    pub fn close(&mut self) {
        let session = self.session.take().expect("a session plays");
        let id =
            self.connection.call("session.close", &json!({"session": session})).expect("the call is written");
        let answer = self
            .connection
            .response(id, Instant::now() + Duration::from_secs(3), &mut self.other_messages)
            .expect("closed");
        assert_eq!(answer["result"]["state"], "closed", "{answer}");
    }

    /// Waits for a notification of this method.
    pub fn wait_for_notification(&mut self, method: &str, timeout: Duration) -> Value {
        let deadline = Instant::now() + timeout;
        loop {
            match self.connection.next(deadline) {
                Ok(message) if message["method"] == method => return message,
                Ok(message) => self.other_messages.push(message),
                Err(silence) => panic!("no {method}: {silence:?}"),
            }
        }
    }
}
