//! A small fleet of stand-ins on loopback, fronts in this process, and players led by hand, all written to one
//! record that the judge reads at the end.
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

/// Terms that every front of these tests has. `{limits}` is put in by the test.
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

/// A day of this head (KDL nodes) with the terms of these tests.
pub fn script(head: &str, limits: &str) -> Script {
    let text = format!("{head}\n{}", TERMS.replace("LIMITS", limits));
    let document = Document::parse("test.kdl", &text).unwrap_or_else(|e| panic!("{e}"));
    Script::read(&document).unwrap_or_else(|e| panic!("{e}"))
}

/// A head with so many boxes, and set-ups that take so long.
pub fn head(boxes: u32, set_up_ms: u32) -> String {
    format!(
        "day seconds=5 sessions=1\nfronts 1\nlist-lag-ms 20\ntitles 4 holders={boxes}\n\
         viewers \"clip\" share=1 length-s=1 patience-ms=2000\n\
         boxes {boxes} places=60 link-kb=20000 set-up-ms={set_up_ms} refuses-from=1.0 report-ms=50"
    )
}

/// Fronts in this process.
#[derive(Default)]
pub struct InProcess(pub Vec<Option<Front>>);

impl FrontController for InProcess {
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

/// A fleet with its fronts.
pub struct Rig {
    pub day: Day,
    pub fronts: InProcess,
    edit: fn(&str) -> String,
}

impl Rig {
    /// Starts boxes, list and fronts, and waits until the fronts know the boxes.
    pub fn start(script: Script) -> Rig {
        Rig::edited(script, str::to_owned)
    }

    /// The same, with the fronts' settings changed.
    pub fn edited(script: Script, edit: fn(&str) -> String) -> Rig {
        let day = Day::start(script).expect("stand-ins start");
        let mut rig = Rig { day, fronts: InProcess::default(), edit };
        for number in 0..rig.day.script.fronts {
            rig.up(number);
        }
        rig
    }

    pub fn up(&mut self, number: u32) {
        self.day.log.write(Event::FrontUp { front: format!("f{number}") });
        let settings = (self.edit)(self.day.settings(number as usize));
        self.fronts.start(number as usize, &settings).expect("the front starts");
        self.knows_boxes(number);
    }

    /// Waits until a session can be had: then the front knows the boxes.
    pub fn knows_boxes(&self, number: u32) {
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            let viewer = &mut Viewer::connect(self, number, "first");
            if viewer.open("title-0", "clip", 2000).is_plays() {
                viewer.close();
                return;
            }
            assert!(Instant::now() < until, "the front never has a box");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn front(&self, number: usize) -> &Front {
        self.fronts.0[number].as_ref().expect("the front runs")
    }

    pub fn down(&mut self, number: usize) {
        self.day.log.write(Event::FrontDown { front: format!("f{number}") });
        self.fronts.kill(number);
    }

    pub fn address(&self, number: u32) -> SocketAddr {
        self.day.front_address(number)
    }

    /// Sessions that boxes hold now.
    pub fn held(&self) -> usize {
        self.day.boxes.fleet().boxes.values().map(|state| state.sessions.len()).sum()
    }

    /// Waits until the boxes hold so many sessions.
    pub fn wait_held(&self, count: usize) {
        wait(
            Duration::from_secs(10),
            || self.held() == count,
            || format!("boxes hold {}, not {count}", self.held()),
        );
    }

    /// The boxes at which a session plays or is set up.
    pub fn boxes_of(&self, session: &str) -> Vec<u32> {
        let fleet = self.day.boxes.fleet();
        let holds =
            |state: &salttally_standin::fleet::BoxState| state.sessions.keys().any(|(id, _)| id == session);
        fleet.boxes.iter().filter(|(_, state)| holds(state)).map(|(id, _)| *id).collect()
    }

    /// Ends the fronts in order and judges all that crossed; the lock must not have been needed.
    pub fn end(mut self) {
        for (at, front) in self.fronts.0.drain(..).enumerate() {
            let Some(front) = front else { continue };
            self.day.log.write(Event::FrontDown { front: format!("f{at}") });
            let counts = front.shut_down(Duration::from_secs(5)).expect("all that played is released");
            assert_eq!(counts.stopped(), 0, "{counts:?}");
        }
        self.day.stop();
        let verdict = judge(&self.day.log.lines());
        assert!(verdict.all_kept(), "{:#?}", verdict.findings);
    }
}

/// Waits until something is so.
pub fn wait(within: Duration, mut so: impl FnMut() -> bool, or: impl Fn() -> String) {
    let until = Instant::now() + within;
    while !so() {
        assert!(Instant::now() < until, "{}", or());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The one answer, as a test needs it.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Plays(String),
    Refused(String, u64),
    Failed(String, String),
    Cut,
}

impl Heard {
    pub fn is_plays(&self) -> bool {
        matches!(self, Heard::Plays(_))
    }
}

/// A player led by hand.
pub struct Viewer<'a> {
    rig: &'a Rig,
    pub line: PlayerConnection,
    front: String,
    name: String,
    pub session: Option<String>,
    pub aside: Vec<Value>,
}

impl<'a> Viewer<'a> {
    pub fn connect(rig: &'a Rig, front: u32, name: &str) -> Viewer<'a> {
        let line = PlayerConnection::connect(rig.address(front), Duration::from_secs(3))
            .expect("the front takes players");
        let (front, name) = (format!("f{front}"), name.to_owned());
        Viewer { rig, line, front, name, session: None, aside: Vec::new() }
    }

    /// Writes `session.open`; returns the id of the call.
    pub fn ask(&mut self, title: &str, class: &str, patience_ms: u64) -> u64 {
        self.ask_moved(title, class, patience_ms, None)
    }

    /// The same for a session that was moved.
    pub fn ask_moved(&mut self, title: &str, class: &str, patience_ms: u64, from: Option<&str>) -> u64 {
        let mut params = json!({
            "viewer": self.name, "title": title, "class": class, "top_rung": 2, "patience_ms": patience_ms
        });
        if let Some(old) = from {
            params["moved_from"] = Value::from(old);
        }
        let open = self.open_number();
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
        let id = self.line.call("session.open", &params).expect("the call is written");
        assert_eq!(self.open_number(), open, "one open at a time");
        id
    }

    /// A number for the open call under way: no two players of a test have one name.
    fn open_number(&self) -> u64 {
        let hash =
            self.name.bytes().fold(17u64, |hash, byte| hash.wrapping_mul(131).wrapping_add(u64::from(byte)));
        hash.wrapping_mul(1000).wrapping_add(self.aside.len() as u64 * 7)
    }

    /// Reads the one answer to a call.
    pub fn hear(&mut self, id: u64, within: Duration) -> Heard {
        let open = self.open_number();
        let mut aside = Vec::new();
        let heard = match self.line.response(id, Instant::now() + within, &mut aside) {
            Ok(answer) => {
                let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
                let error = &answer["error"];
                let data = &error["data"];
                let (kind, session, heard) = match error["code"].as_i64() {
                    None => {
                        let session = text(&answer["result"]["session"]);
                        (AnswerKind::Plays, session.clone(), Heard::Plays(session))
                    }
                    Some(-32001) => {
                        let hold_off = data["hold_off_ms"].as_u64().unwrap_or(0);
                        let session = text(&data["session"]);
                        (AnswerKind::Refused, session.clone(), Heard::Refused(session, hold_off))
                    }
                    _ => {
                        let session = text(&data["session"]);
                        let reason = data["reason"]
                            .as_str()
                            .unwrap_or_else(|| error["message"].as_str().unwrap_or(""));
                        let heard = Heard::Failed(session.clone(), reason.to_owned());
                        (AnswerKind::Failed, session, heard)
                    }
                };
                self.rig.day.log.write(Event::Answered { open, answer: kind, session });
                heard
            }
            Err(ReceiveError::TimedOut) => panic!("no answer in {within:?}"),
            Err(ReceiveError::Closed(_)) => {
                self.rig.day.log.write(Event::Cut { open });
                Heard::Cut
            }
        };
        self.aside.extend(aside);
        if let Heard::Plays(session) = &heard {
            self.session = Some(session.clone());
        }
        heard
    }

    /// Opens a session and reads its answer.
    pub fn open(&mut self, title: &str, class: &str, patience_ms: u64) -> Heard {
        let id = self.ask(title, class, patience_ms);
        let heard = self.hear(id, Duration::from_millis(patience_ms + 500));
        // The next open of this player has another number.
        self.aside.push(Value::Null);
        heard
    }

    /// Closes the session that plays.
    pub fn close(&mut self) {
        let session = self.session.take().expect("a session plays");
        let id = self.line.call("session.close", &json!({"session": session})).expect("the call is written");
        let answer =
            self.line.response(id, Instant::now() + Duration::from_secs(3), &mut self.aside).expect("closed");
        assert_eq!(answer["result"]["state"], "closed", "{answer}");
    }

    /// Waits for a notification of this name.
    pub fn news(&mut self, method: &str, within: Duration) -> Value {
        let until = Instant::now() + within;
        loop {
            match self.line.next(until) {
                Ok(message) if message["method"] == method => return message,
                Ok(message) => self.aside.push(message),
                Err(silence) => panic!("no {method}: {silence:?}"),
            }
        }
    }
}
