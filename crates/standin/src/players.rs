//! Players: each opens a session over WebSocket, watches, comes again after a break, and gives up when it has
//! waited for long enough.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use salttally_judge::record::{AnswerKind, Event};
use serde_json::{json, Value};
use tungstenite::client::{client_with_config, ClientRequestBuilder};
use tungstenite::protocol::WebSocketConfig;
use tungstenite::{Error, Message, WebSocket};

use crate::deal::{draw, Arrival};
use crate::log::Log;
use crate::script::Habits;

/// The sub-protocol of the session API.
pub const SUB_PROTOCOL: &str = "session.v1.salttally";
/// Times that one viewer asks at most.
const TRIES: u32 = 10;
/// Times that one asks after a session whose front is gone.
const CLAIMS: u32 = 5;

/// A player's connection, which speaks the session API.
#[derive(Debug)]
pub struct Line {
    socket: WebSocket<TcpStream>,
    last: u64,
}

/// Why nothing was heard.
#[derive(Debug)]
pub enum Silence {
    /// The time is over.
    TimedOut,
    /// The connection is gone.
    Cut(String),
}

impl Line {
    /// Connects and shakes hands.
    pub fn connect(address: SocketAddr, within: Duration) -> io::Result<Line> {
        let stream = TcpStream::connect_timeout(&address, within)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(within))?;
        let uri = format!("ws://{address}/").parse().map_err(io::Error::other)?;
        let request = ClientRequestBuilder::new(uri).with_sub_protocol(SUB_PROTOCOL);
        let config = WebSocketConfig::default().read_buffer_size(4096).write_buffer_size(0);
        let (socket, _) = client_with_config(request, stream, Some(config))
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Line { socket, last: 0 })
    }

    /// Calls a method; returns the id of the call.
    pub fn call(&mut self, method: &str, params: &Value) -> Result<u64, Silence> {
        self.last += 1;
        let id = self.last;
        let call = json!({"jsonrpc": "2.0", "id": id, "method": method, "params": params});
        self.send(&call.to_string())?;
        Ok(id)
    }

    /// Sends a message as it stands.
    pub fn send(&mut self, text: &str) -> Result<(), Silence> {
        self.socket.send(Message::text(text)).map_err(|error| Silence::Cut(error.to_string()))
    }

    /// The socket below, for tests that misbehave.
    pub fn stream(&mut self) -> &mut TcpStream {
        self.socket.get_mut()
    }

    /// The next message, if one comes by then.
    pub fn next(&mut self, until: Instant) -> Result<Value, Silence> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Silence::TimedOut);
            }
            let _ = self.socket.get_ref().set_read_timeout(Some(left.max(Duration::from_micros(500))));
            match self.socket.read() {
                Ok(Message::Text(text)) => match serde_json::from_str(text.as_str()) {
                    Ok(value) => return Ok(value),
                    Err(error) => return Err(Silence::Cut(format!("the front sent no JSON: {error}"))),
                },
                Ok(Message::Close(frame)) => {
                    let why = frame.map_or("closed".to_owned(), |f| format!("{}: {}", f.code, f.reason));
                    return Err(Silence::Cut(why));
                }
                Ok(_) => {}
                Err(Error::Io(error))
                    if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(error) => return Err(Silence::Cut(error.to_string())),
            }
        }
    }

    /// The response to a call, if it comes by then; what else is said meanwhile goes to `aside`.
    pub fn response(&mut self, id: u64, until: Instant, aside: &mut Vec<Value>) -> Result<Value, Silence> {
        loop {
            let message = self.next(until)?;
            if message["id"] == id {
                return Ok(message);
            }
            aside.push(message);
        }
    }
}

/// What all players of a day share.
#[derive(Clone, Debug)]
pub struct Stage {
    /// The record.
    pub log: Log,
    /// Fronts of each zone: name and address.
    pub fronts: Arc<Vec<(String, u32, SocketAddr)>>,
    /// Zones.
    pub zones: u32,
    /// Habits.
    pub habits: Habits,
    /// Calls so far, of all players.
    pub opens: Arc<AtomicU64>,
    /// Time beyond the patience in which an answer is still right, us.
    pub slack: u64,
    /// Paid classes: viewers of these stay away after a failure.
    pub paid: Arc<Vec<String>>,
    /// End of the day, us.
    pub end: u64,
    /// Players that are there now.
    pub present: Arc<AtomicU64>,
}

enum Next {
    /// The viewer has seen what it wanted, or stays away.
    Done,
    /// It comes again after this long, us.
    Again(u64),
    /// It comes back to the same front for a session that moved.
    Moved(String),
}

/// One viewer, from its coming until it has seen what it wanted or stays away.
pub fn watch(stage: &Stage, arrival: &Arrival) {
    stage.present.fetch_add(1, Ordering::Relaxed);
    let mut player = Player {
        stage,
        arrival,
        rng: Pcg32::seed_from_u64(arrival.seed),
        left: arrival.length,
        returned: false,
        moved_from: None,
        front: None,
    };
    for _ in 0..TRIES {
        if stage.log.now() >= stage.end {
            break;
        }
        match player.one() {
            Next::Done => break,
            Next::Again(after) => {
                (player.returned, player.front, player.moved_from) = (true, None, None);
                if draw(&mut player.rng) >= stage.habits.returns {
                    break;
                }
                thread::sleep(Duration::from_micros(after));
            }
            Next::Moved(session) => {
                (player.returned, player.moved_from) = (true, Some(session));
                thread::sleep(Duration::from_micros(stage.habits.after / 2));
            }
        }
    }
    stage.present.fetch_sub(1, Ordering::Relaxed);
}

struct Player<'a> {
    stage: &'a Stage,
    arrival: &'a Arrival,
    rng: Pcg32,
    left: u64,
    returned: bool,
    moved_from: Option<String>,
    front: Option<usize>,
}

impl Player<'_> {
    fn one(&mut self) -> Next {
        let (stage, arrival) = (self.stage, self.arrival);
        let after = stage.habits.after;
        // Any front of the viewer's zone, but a moved session goes back to its own.
        let zone = (arrival.seed % u64::from(stage.zones.max(1))) as u32;
        let near: Vec<usize> = (0..stage.fronts.len()).filter(|at| stage.fronts[*at].1 == zone).collect();
        let drawn = (draw(&mut self.rng) * near.len() as f64) as usize;
        let Some(at) = self.front.or_else(|| near.get(drawn).copied()) else { return Next::Done };
        self.front = Some(at);
        let (front, _, address) = &stage.fronts[at];
        let Ok(mut line) = Line::connect(*address, Duration::from_secs(2)) else {
            return Next::Again(after);
        };
        let open = stage.opens.fetch_add(1, Ordering::Relaxed);
        let mut params = json!({
            "viewer": arrival.viewer, "title": arrival.title, "class": arrival.class,
            "top_rung": arrival.top, "patience_ms": arrival.patience / 1000,
            "length_hint_s": self.left as f64 / 1e6, "returned": self.returned
        });
        if let Some(old) = &self.moved_from {
            params["moved_from"] = Value::from(old.clone());
        }
        let asked = stage.log.now();
        stage.log.write(Event::Opened {
            open,
            front: front.clone(),
            viewer: arrival.viewer.clone(),
            title: arrival.title.clone(),
            class: arrival.class.clone(),
            patience: arrival.patience / 1000 * 1000,
            length: self.left,
            returned: self.returned,
        });
        let Ok(id) = line.call("session.open", &params) else {
            stage.log.write(Event::Cut { open });
            return Next::Again(after);
        };
        let hasty = draw(&mut self.rng) < stage.habits.hasty;
        // The hasty give up around the time at which answers come.
        let waits =
            if hasty { (draw(&mut self.rng) * 40_000.0) as u64 } else { arrival.patience + 4 * stage.slack };
        let mut aside = Vec::new();
        let heard = match line.response(id, stage.log.moment(asked + waits), &mut aside) {
            Err(Silence::TimedOut) => {
                stage.log.write(Event::GaveUp { open });
                if line.call("session.cancel", &json!({"open": id})).is_err() {
                    return Next::Done;
                }
                line.response(id, Instant::now() + Duration::from_secs(2), &mut aside)
            }
            heard => heard,
        };
        let answer = match heard {
            Ok(answer) => answer,
            Err(_) => {
                stage.log.write(Event::Cut { open });
                return Next::Again(after);
            }
        };
        self.answered(line, open, hasty, &answer, aside)
    }

    fn answered(
        &mut self,
        mut line: Line,
        open: u64,
        hasty: bool,
        answer: &Value,
        aside: Vec<Value>,
    ) -> Next {
        let stage = self.stage;
        let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
        let error = &answer["error"];
        let (kind, session) = match error["code"].as_i64() {
            None => (AnswerKind::Plays, text(&answer["result"]["session"])),
            Some(-32001) => (AnswerKind::Refused, text(&error["data"]["session"])),
            Some(_) => (AnswerKind::Failed, text(&error["data"]["session"])),
        };
        stage.log.write(Event::Answered { open, answer: kind, session: session.clone() });
        match kind {
            AnswerKind::Refused => {
                let hold_off = error["data"]["hold_off_ms"].as_u64().unwrap_or(0) * 1000;
                Next::Again(hold_off.max(self.stage.habits.after))
            }
            AnswerKind::Failed if hasty => Next::Done,
            AnswerKind::Failed if stage.paid.contains(&self.arrival.class) => Next::Done,
            AnswerKind::Failed => Next::Again(stage.habits.after),
            AnswerKind::Plays => {
                if hasty {
                    self.left = self.left.min(200_000);
                }
                self.play(&mut line, &session, aside)
            }
        }
    }

    fn play(&mut self, line: &mut Line, session: &str, mut aside: Vec<Value>) -> Next {
        let stage = self.stage;
        let since = stage.log.now();
        let until = stage.log.moment((since + self.left).min(stage.end));
        loop {
            let heard = match aside.pop() {
                Some(message) => Ok(message),
                None => line.next(until),
            };
            let played = stage.log.now() - since;
            match heard {
                Ok(news) => {
                    let of = news["params"]["session"].as_str() == Some(session);
                    match news["method"].as_str() {
                        Some("session.move") if of => {
                            stage.log.write(Event::Moved { session: session.to_owned() });
                            self.left = self.left.saturating_sub(played);
                            return Next::Moved(session.to_owned());
                        }
                        Some("session.ended") if of => {
                            stage.log.write(Event::EndTold { session: session.to_owned() });
                            self.left = self.left.saturating_sub(played);
                            return Next::Again(stage.habits.after);
                        }
                        _ => {}
                    }
                }
                Err(Silence::TimedOut) => {
                    stage.log.write(Event::Closed { session: session.to_owned() });
                    if let Ok(id) = line.call("session.close", &json!({"session": session})) {
                        let until = Instant::now() + Duration::from_secs(1);
                        let _ = line.response(id, until, &mut Vec::new());
                    }
                    return Next::Done;
                }
                Err(Silence::Cut(_)) => match self.claim(session) {
                    Some(again) => *line = again,
                    None => {
                        self.left = self.left.saturating_sub(played);
                        return Next::Again(stage.habits.after);
                    }
                },
            }
        }
    }

    /// The front is gone, but the session may play on at its box: asks the front for it when it is back.
    fn claim(&self, session: &str) -> Option<Line> {
        let (_, _, address) = self.front.and_then(|at| self.stage.fronts.get(at))?;
        for _ in 0..CLAIMS {
            thread::sleep(Duration::from_micros(self.stage.habits.after));
            let Ok(mut line) = Line::connect(*address, Duration::from_secs(1)) else { continue };
            let params = json!({"session": session, "viewer": self.arrival.viewer});
            let id = line.call("session.status", &params).ok()?;
            let answer = line.response(id, Instant::now() + Duration::from_secs(1), &mut Vec::new()).ok()?;
            if answer["result"]["state"] == "playing" {
                return Some(line);
            }
        }
        None
    }
}
