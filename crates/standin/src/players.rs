//! Players: each opens a session over WebSocket, watches it, comes back after failures, and gives up when its
//! patience is over.

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

use crate::log::Log;
use crate::script::ViewerBehavior;
use crate::workload::{uniform, Arrival};

/// WebSocket subprotocol of the session API.
pub const SUB_PROTOCOL: &str = "session.v1.salttally";
/// Maximum number of `session.open` calls of one viewer.
const MAX_OPENS: u32 = 10;
/// Maximum number of attempts to resume a session after the connection to its front is lost.
const MAX_RECLAIMS: u32 = 5;

/// Connection of a player to a front, speaking the session API.
#[derive(Debug)]
pub struct PlayerConnection {
    socket: WebSocket<TcpStream>,
    last_id: u64,
}

/// Why no message was received.
#[derive(Debug)]
pub enum ReceiveError {
    /// The time is over.
    TimedOut,
    /// The connection has ended, with this reason.
    Closed(String),
}

impl PlayerConnection {
    /// Connects and completes the WebSocket handshake.
    pub fn connect(address: SocketAddr, within: Duration) -> io::Result<PlayerConnection> {
        let stream = TcpStream::connect_timeout(&address, within)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(within))?;
        let uri = format!("ws://{address}/").parse().map_err(io::Error::other)?;
        let request = ClientRequestBuilder::new(uri).with_sub_protocol(SUB_PROTOCOL);
        let config = WebSocketConfig::default().read_buffer_size(4096).write_buffer_size(0);
        let (socket, _) = client_with_config(request, stream, Some(config))
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(PlayerConnection { socket, last_id: 0 })
    }

    /// Sends a call and returns its id.
    pub fn call(&mut self, method: &str, params: &Value) -> Result<u64, ReceiveError> {
        self.last_id += 1;
        let id = self.last_id;
        let call = json!({"jsonrpc": "2.0", "id": id, "method": method, "params": params});
        self.send(&call.to_string())?;
        Ok(id)
    }

    /// Sends a text message as given.
    pub fn send(&mut self, text: &str) -> Result<(), ReceiveError> {
        self.socket.send(Message::text(text)).map_err(|error| ReceiveError::Closed(error.to_string()))
    }

    /// The underlying socket, for tests of misbehaving clients.
    pub fn stream(&mut self) -> &mut TcpStream {
        self.socket.get_mut()
    }

    /// The next message, if one arrives before `until`.
    pub fn next(&mut self, until: Instant) -> Result<Value, ReceiveError> {
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(ReceiveError::TimedOut);
            }
            let _ = self.socket.get_ref().set_read_timeout(Some(remaining.max(Duration::from_micros(500))));
            match self.socket.read() {
                Ok(Message::Text(text)) => match serde_json::from_str(text.as_str()) {
                    Ok(value) => return Ok(value),
                    Err(error) => {
                        return Err(ReceiveError::Closed(format!("the front sent invalid JSON: {error}")))
                    }
                },
                Ok(Message::Close(frame)) => {
                    let why = frame.map_or("closed".to_owned(), |f| format!("{}: {}", f.code, f.reason));
                    return Err(ReceiveError::Closed(why));
                }
                Ok(_) => {}
                Err(Error::Io(error))
                    if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(error) => return Err(ReceiveError::Closed(error.to_string())),
            }
        }
    }

    /// The response to a call, if it arrives before `until`. Other messages received meanwhile are added to
    /// `other_messages`.
    pub fn response(
        &mut self,
        id: u64,
        until: Instant,
        other_messages: &mut Vec<Value>,
    ) -> Result<Value, ReceiveError> {
        loop {
            let message = self.next(until)?;
            if message["id"] == id {
                return Ok(message);
            }
            other_messages.push(message);
        }
    }
}

/// State and settings that all players of a day share.
#[derive(Clone, Debug)]
pub struct PlayerContext {
    /// The event log.
    pub log: Log,
    /// Fronts: name, zone and address.
    pub fronts: Arc<Vec<(String, u32, SocketAddr)>>,
    /// Number of zones.
    pub zones: u32,
    /// Behavior of viewers.
    pub viewer_behavior: ViewerBehavior,
    /// Number of the next `session.open` call over all players.
    pub next_open: Arc<AtomicU64>,
    /// Time after the end of the patience during which an answer still counts, us.
    pub answer_slack: u64,
    /// Paid classes; their viewers do not come back after a failure.
    pub paid_classes: Arc<Vec<String>>,
    /// End of the day, us.
    pub end: u64,
    /// Number of players that are active now.
    pub active: Arc<AtomicU64>,
}

enum NextStep {
    /// The viewer has watched all it wanted, or does not come back.
    Done,
    /// The viewer opens a session again after this time, us.
    OpenAgain(u64),
    /// The viewer returns to the same front to continue this session, which was moved.
    Moved(String),
}

/// Runs one viewer from its arrival until it has watched all it wanted or does not come back.
pub fn run_player(context: &PlayerContext, arrival: &Arrival) {
    context.active.fetch_add(1, Ordering::Relaxed);
    let mut player = Player {
        context,
        arrival,
        rng: Pcg32::seed_from_u64(arrival.seed),
        remaining: arrival.length,
        returned: false,
        moved_from: None,
        front: None,
    };
    for _ in 0..MAX_OPENS {
        if context.log.now() >= context.end {
            break;
        }
        match player.open_once() {
            NextStep::Done => break,
            NextStep::OpenAgain(pause) => {
                (player.returned, player.front, player.moved_from) = (true, None, None);
                if uniform(&mut player.rng) >= context.viewer_behavior.returns {
                    break;
                }
                thread::sleep(Duration::from_micros(pause));
            }
            NextStep::Moved(session) => {
                (player.returned, player.moved_from) = (true, Some(session));
                thread::sleep(Duration::from_micros(context.viewer_behavior.pause / 2));
            }
        }
    }
    context.active.fetch_sub(1, Ordering::Relaxed);
}

struct Player<'a> {
    context: &'a PlayerContext,
    arrival: &'a Arrival,
    rng: Pcg32,
    remaining: u64,
    returned: bool,
    moved_from: Option<String>,
    front: Option<usize>,
}

impl Player<'_> {
    fn open_once(&mut self) -> NextStep {
        let (context, arrival) = (self.context, self.arrival);
        let pause = context.viewer_behavior.pause;
        // A random front of the viewer's zone, but a moved session returns to its own front.
        let zone = (arrival.seed % u64::from(context.zones.max(1))) as u32;
        let local_fronts: Vec<usize> =
            (0..context.fronts.len()).filter(|at| context.fronts[*at].1 == zone).collect();
        let index = (uniform(&mut self.rng) * local_fronts.len() as f64) as usize;
        let Some(at) = self.front.or_else(|| local_fronts.get(index).copied()) else { return NextStep::Done };
        self.front = Some(at);
        let (front, _, address) = &context.fronts[at];
        let Ok(mut connection) = PlayerConnection::connect(*address, Duration::from_secs(2)) else {
            return NextStep::OpenAgain(pause);
        };
        let open = context.next_open.fetch_add(1, Ordering::Relaxed);
        let mut params = json!({
            "viewer": arrival.viewer, "title": arrival.title, "class": arrival.class,
            "top_rung": arrival.top_rung, "patience_ms": arrival.patience / 1000,
            "length_hint_s": self.remaining as f64 / 1e6, "returned": self.returned
        });
        if let Some(old) = &self.moved_from {
            params["moved_from"] = Value::from(old.clone());
        }
        let asked = context.log.now();
        context.log.write(Event::Opened {
            open,
            front: front.clone(),
            viewer: arrival.viewer.clone(),
            title: arrival.title.clone(),
            class: arrival.class.clone(),
            patience: arrival.patience / 1000 * 1000,
            length: self.remaining,
            returned: self.returned,
        });
        let Ok(id) = connection.call("session.open", &params) else {
            context.log.write(Event::Cut { open });
            return NextStep::OpenAgain(pause);
        };
        let impatient = uniform(&mut self.rng) < context.viewer_behavior.impatient;
        // Impatient viewers give up at about the time when answers arrive.
        let wait = if impatient {
            (uniform(&mut self.rng) * 40_000.0) as u64
        } else {
            arrival.patience + 4 * context.answer_slack
        };
        let mut other_messages = Vec::new();
        let received = match connection.response(id, context.log.moment(asked + wait), &mut other_messages) {
            Err(ReceiveError::TimedOut) => {
                context.log.write(Event::GaveUp { open });
                if connection.call("session.cancel", &json!({"open": id})).is_err() {
                    return NextStep::Done;
                }
                connection.response(id, Instant::now() + Duration::from_secs(2), &mut other_messages)
            }
            received => received,
        };
        let answer = match received {
            Ok(answer) => answer,
            Err(_) => {
                context.log.write(Event::Cut { open });
                return NextStep::OpenAgain(pause);
            }
        };
        self.handle_answer(connection, open, impatient, &answer, other_messages)
    }

    fn handle_answer(
        &mut self,
        mut connection: PlayerConnection,
        open: u64,
        impatient: bool,
        answer: &Value,
        other_messages: Vec<Value>,
    ) -> NextStep {
        let context = self.context;
        let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
        let error = &answer["error"];
        let (kind, session) = match error["code"].as_i64() {
            None => (AnswerKind::Plays, text(&answer["result"]["session"])),
            Some(-32001) => (AnswerKind::Refused, text(&error["data"]["session"])),
            Some(_) => (AnswerKind::Failed, text(&error["data"]["session"])),
        };
        context.log.write(Event::Answered { open, answer: kind, session: session.clone() });
        match kind {
            AnswerKind::Refused => {
                let hold_off = error["data"]["hold_off_ms"].as_u64().unwrap_or(0) * 1000;
                NextStep::OpenAgain(hold_off.max(self.context.viewer_behavior.pause))
            }
            AnswerKind::Failed if impatient => NextStep::Done,
            AnswerKind::Failed if context.paid_classes.contains(&self.arrival.class) => NextStep::Done,
            AnswerKind::Failed => NextStep::OpenAgain(context.viewer_behavior.pause),
            AnswerKind::Plays => {
                if impatient {
                    self.remaining = self.remaining.min(200_000);
                }
                self.play(&mut connection, &session, other_messages)
            }
        }
    }

    fn play(
        &mut self,
        connection: &mut PlayerConnection,
        session: &str,
        mut other_messages: Vec<Value>,
    ) -> NextStep {
        let context = self.context;
        let started = context.log.now();
        let until = context.log.moment((started + self.remaining).min(context.end));
        loop {
            let received = match other_messages.pop() {
                Some(message) => Ok(message),
                None => connection.next(until),
            };
            let watched_for = context.log.now() - started;
            match received {
                Ok(message) => {
                    let is_own = message["params"]["session"].as_str() == Some(session);
                    match message["method"].as_str() {
                        Some("session.move") if is_own => {
                            context.log.write(Event::Moved { session: session.to_owned() });
                            self.remaining = self.remaining.saturating_sub(watched_for);
                            return NextStep::Moved(session.to_owned());
                        }
                        Some("session.ended") if is_own => {
                            context.log.write(Event::EndTold { session: session.to_owned() });
                            self.remaining = self.remaining.saturating_sub(watched_for);
                            return NextStep::OpenAgain(context.viewer_behavior.pause);
                        }
                        _ => {}
                    }
                }
                Err(ReceiveError::TimedOut) => {
                    context.log.write(Event::Closed { session: session.to_owned() });
                    if let Ok(id) = connection.call("session.close", &json!({"session": session})) {
                        let until = Instant::now() + Duration::from_secs(1);
                        let _ = connection.response(id, until, &mut Vec::new());
                    }
                    return NextStep::Done;
                }
                Err(ReceiveError::Closed(_)) => match self.reclaim(session) {
                    Some(reclaimed) => *connection = reclaimed,
                    None => {
                        self.remaining = self.remaining.saturating_sub(watched_for);
                        return NextStep::OpenAgain(context.viewer_behavior.pause);
                    }
                },
            }
        }
    }

    /// Asks a front that has closed its connection for the session, which may still play at its box.
    fn reclaim(&self, session: &str) -> Option<PlayerConnection> {
        let (_, _, address) = self.front.and_then(|at| self.context.fronts.get(at))?;
        for _ in 0..MAX_RECLAIMS {
            thread::sleep(Duration::from_micros(self.context.viewer_behavior.pause));
            let Ok(mut connection) = PlayerConnection::connect(*address, Duration::from_secs(1)) else {
                continue;
            };
            let params = json!({"session": session, "viewer": self.arrival.viewer});
            let id = connection.call("session.status", &params).ok()?;
            let answer =
                connection.response(id, Instant::now() + Duration::from_secs(1), &mut Vec::new()).ok()?;
            if answer["result"]["state"] == "playing" {
                return Some(connection);
            }
        }
        None
    }
}
