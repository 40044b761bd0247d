//! Messages of the session API: JSON-RPC 2.0, read and written.

use std::sync::Arc;

use salttally::interface::{SessionId, ViewerId};
use serde_json::{json, Map, Value};

use super::core::gate::OPEN;
use crate::core::{Answer, EndReason, FailReason, LimitScope, Notification, OpenRequest, Reply};
use crate::settings::{firm, viewer, Settings};

/// Not JSON (JSON-RPC 2.0 section 5.1).
pub const PARSE_ERROR: i64 = -32700;
/// Not a request.
pub const INVALID_REQUEST: i64 = -32600;
/// No such method.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// Wrong parameters.
pub const INVALID_PARAMS: i64 = -32602;
/// The session is refused; `data.hold_off_ms` tells when to ask again.
pub const REFUSED: i64 = -32001;
/// The session failed.
pub const FAILED: i64 = -32002;
/// The player has made more calls than it may; `data.hold_off_ms` tells when to go on.
pub const TOO_MANY_CALLS: i64 = -32004;
/// No session or open call of that name is this connection's.
pub const UNKNOWN_SESSION: i64 = -32003;
/// The connection or the viewer has as many sessions as it may.
pub const TOO_MANY_SESSIONS: i64 = -32005;
/// The front is full: only viewers that come back for a session are let in.
pub const FULL: i64 = -32006;
/// The session is at another front.
pub const ELSEWHERE: i64 = -32007;
/// The session is between two fronts: one is gone, and another is about to go on.
pub const BETWEEN: i64 = -32008;

/// A method, its parameters and whether each must be there.
pub type MethodTable = [(&'static str, &'static [(&'static str, bool)])];

/// All methods that a player may call.
pub const METHODS: &MethodTable = &[
    (
        "session.open",
        &[
            ("viewer", true),
            ("title", true),
            ("class", true),
            ("top_rung", true),
            ("patience_ms", true),
            ("length_hint_s", false),
            ("returned", false),
            ("moved_from", false),
        ],
    ),
    ("session.cancel", &[("open", true)]),
    ("session.close", &[("session", true)]),
    ("session.status", &[("session", true), ("viewer", false)]),
];

/// All notifications that a front sends.
pub const NOTIFICATIONS: &[&str] = &["session.rung", "session.move", "session.ended"];

/// Longest name of a viewer, title or class, bytes.
const NAME_MOST: usize = 128;
/// Calls of a batch at most.
const BATCH_MOST: usize = 64;

/// An error as JSON-RPC has it.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcError {
    /// Code.
    pub code: i64,
    /// A sentence.
    pub message: String,
    /// When to ask again, us from now.
    pub hold_off: Option<u64>,
}

impl RpcError {
    /// An error that asking again does not cure.
    pub fn new(code: i64, message: impl Into<String>) -> RpcError {
        RpcError { code, message: message.into(), hold_off: None }
    }

    /// An error of asking too early.
    pub fn later(code: i64, message: impl Into<String>, hold_off: u64) -> RpcError {
        RpcError { hold_off: Some(hold_off), ..RpcError::new(code, message) }
    }
}

/// What a player calls for.
#[derive(Clone, Debug, PartialEq)]
pub enum Method {
    /// `session.open`.
    Open(OpenRequest),
    /// `session.cancel` of the open call with this id.
    Cancel(Value),
    /// `session.close`.
    Close(SessionId),
    /// `session.status`.
    Status(SessionId, Option<ViewerId>),
}

/// One call: its id, which a notification has not, and the method or what is wrong with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Id; none for a notification, which is never answered.
    pub id: Option<Value>,
    /// What is called for.
    pub method: Result<Method, RpcError>,
}

/// A message of a player.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// One call.
    One(Call),
    /// A batch.
    Batch(Vec<Call>),
    /// Nothing that can be told apart; the error is answered with a null id.
    Unreadable(RpcError),
}

impl Call {
    /// Whether it frees what others wait for.
    pub fn frees(&self) -> bool {
        matches!(self.method, Ok(Method::Cancel(_) | Method::Close(_)))
    }
}

impl Message {
    /// Number of calls in it that free something, and weight of all others.
    pub fn weigh(&self) -> (u64, u64) {
        let calls = match self {
            Message::Unreadable(_) => return (0, 1),
            Message::One(call) => std::slice::from_ref(call),
            Message::Batch(calls) => calls,
        };
        calls.iter().fold((0, 0), |(frees, asks), call| match &call.method {
            _ if call.frees() => (frees + 1, asks),
            Ok(Method::Open(_)) => (frees, asks + OPEN),
            _ => (frees, asks + 1),
        })
    }

    /// Number of calls in it that ask for something and mean something: the front's thread must see them.
    pub fn takes(&self) -> u64 {
        let takes = |call: &Call| u64::from(!call.frees() && call.method.is_ok());
        match self {
            Message::Unreadable(_) => 0,
            Message::One(call) => takes(call),
            Message::Batch(calls) => calls.iter().map(takes).sum(),
        }
    }

    /// Has all calls that ask for something answered that they are too many; those that free something stand.
    pub fn held_back(mut self, after: u64) -> Message {
        let hold = |call: &mut Call| {
            if !call.frees() {
                // A notification is not answered, and not told of this either.
                call.method = Err(RpcError::later(TOO_MANY_CALLS, "too many calls", after));
            }
        };
        match &mut self {
            Message::Unreadable(_) => {}
            Message::One(call) => hold(call),
            Message::Batch(calls) => calls.iter_mut().for_each(hold),
        }
        self
    }
}

/// Reads a message. Never fails as a whole: whatever is wrong stands in the call that it is wrong with.
pub fn read(text: &str, settings: &Settings) -> Message {
    match serde_json::from_str::<Value>(text) {
        Err(error) => Message::Unreadable(RpcError::new(PARSE_ERROR, format!("not JSON: {error}"))),
        Ok(Value::Array(calls)) if calls.is_empty() => {
            Message::Unreadable(RpcError::new(INVALID_REQUEST, "an empty batch"))
        }
        Ok(Value::Array(calls)) if calls.len() > BATCH_MOST => {
            let text = format!("a batch of {} calls, {BATCH_MOST} at most", calls.len());
            Message::Unreadable(RpcError::new(INVALID_REQUEST, text))
        }
        Ok(Value::Array(calls)) => {
            // A batch is answered whole, so a second open in it would hold the first one's answer back.
            let mut opens = 0;
            let one = |value: Value| {
                let mut call = call(value, settings);
                if matches!(call.method, Ok(Method::Open(_))) {
                    opens += 1;
                    if opens > 1 {
                        let text = "a batch holds one session.open: its answer would wait for the others";
                        call.method = Err(RpcError::new(INVALID_REQUEST, text));
                    }
                }
                call
            };
            Message::Batch(calls.into_iter().map(one).collect())
        }
        Ok(value) => Message::One(call(value, settings)),
    }
}

fn call(value: Value, settings: &Settings) -> Call {
    // What is not even a request is answered with a null id; a notification is one only if all else is right.
    let wrong =
        |text: &str| Call { id: Some(Value::Null), method: Err(RpcError::new(INVALID_REQUEST, text)) };
    let Value::Object(mut call) = value else { return wrong("a call is an object") };
    let id = call.remove("id");
    if !matches!(id, None | Some(Value::String(_) | Value::Number(_) | Value::Null)) {
        return wrong("an id is a string, a number or null");
    }
    let bad = |text: &str| Call {
        id: Some(id.clone().unwrap_or(Value::Null)),
        method: Err(RpcError::new(INVALID_REQUEST, text)),
    };
    if call.get("jsonrpc") != Some(&Value::from("2.0")) {
        return bad("`jsonrpc` must be \"2.0\"");
    }
    let Some(Value::String(name)) = call.remove("method") else { return bad("`method` must be a string") };
    let method = match call.remove("params") {
        None => params(&name, Map::new(), settings),
        Some(Value::Object(given)) => params(&name, given, settings),
        Some(Value::Array(_)) => Err(RpcError::new(INVALID_PARAMS, "parameters go by name")),
        Some(_) => return bad("`params` must be an object"),
    };
    Call { id, method }
}

fn params(name: &str, given: Map<String, Value>, settings: &Settings) -> Result<Method, RpcError> {
    let Some((_, known)) = METHODS.iter().find(|(method, _)| *method == name) else {
        return Err(RpcError::new(METHOD_NOT_FOUND, format!("no method `{name}`")));
    };
    let wrong = |text: String| RpcError::new(INVALID_PARAMS, text);
    if let Some(odd) = given.keys().find(|key| !known.iter().any(|(known, _)| known == key)) {
        return Err(wrong(format!("`{name}` has no parameter `{odd}`")));
    }
    if let Some((missing, _)) = known.iter().find(|(key, must)| *must && !given.contains_key(*key)) {
        return Err(wrong(format!("`{missing}` is missing")));
    }
    let given = Params(given);
    Ok(match name {
        "session.open" => Method::Open(opening(&given, settings)?),
        "session.cancel" => Method::Cancel(given.0.get("open").cloned().unwrap_or(Value::Null)),
        "session.close" => Method::Close(SessionId(Arc::from(given.name("session")?))),
        _ => {
            let viewer = given.0.get("viewer").map(|_| given.name("viewer").map(viewer)).transpose()?;
            Method::Status(SessionId(Arc::from(given.name("session")?)), viewer)
        }
    })
}

struct Params(Map<String, Value>);

impl Params {
    fn name(&self, key: &str) -> Result<&str, RpcError> {
        let text = self.0.get(key).and_then(Value::as_str).filter(|t| !t.is_empty() && t.len() <= NAME_MOST);
        text.ok_or_else(|| {
            RpcError::new(INVALID_PARAMS, format!("`{key}` must be a string of 1 to {NAME_MOST} bytes"))
        })
    }

    fn whole(&self, key: &str) -> Result<u64, RpcError> {
        self.0.get(key).and_then(Value::as_u64).ok_or_else(|| {
            RpcError::new(INVALID_PARAMS, format!("`{key}` must be a whole number, 0 or more"))
        })
    }

    fn flag(&self, key: &str) -> Result<bool, RpcError> {
        match self.0.get(key) {
            None => Ok(false),
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(_) => Err(RpcError::new(INVALID_PARAMS, format!("`{key}` must be true or false"))),
        }
    }
}

fn opening(given: &Params, settings: &Settings) -> Result<OpenRequest, RpcError> {
    let wrong = |text: String| RpcError::new(INVALID_PARAMS, text);
    let title = given.name("title")?;
    let lies = settings.titles.get(title).ok_or_else(|| wrong(format!("no title `{title}` here")))?;
    let class = given.name("class")?;
    let class = settings.class(class).ok_or_else(|| wrong(format!("no class `{class}` here")))?;
    let (least, most) = settings.edges.patience_ms;
    let patience = given.whole("patience_ms")?;
    if !(least..=most).contains(&patience) {
        return Err(wrong(format!("`patience_ms` is {patience}; it must lie from {least} to {most}")));
    }
    let length = match given.0.get("length_hint_s") {
        None => None,
        Some(value) => {
            let hint = value.as_f64().filter(|hint| (0.0..1e6).contains(hint));
            let hint =
                hint.ok_or_else(|| wrong("`length_hint_s` must be seconds, from 0 to a million".into()))?;
            Some((hint * 1e6) as u64)
        }
    };
    let moved_from = given.0.get("moved_from").map(|_| given.name("moved_from")).transpose()?;
    Ok(OpenRequest {
        viewer: viewer(given.name("viewer")?),
        tenant: firm(given.name("viewer")?),
        title: lies.id,
        class,
        first_cell: lies.first_cell,
        cell_count: lies.cells,
        top_rung: usize::try_from(given.whole("top_rung")?).unwrap_or(usize::MAX),
        patience: patience * 1000,
        length_hint: length,
        returned: given.flag("returned")?,
        moved_from: moved_from.map(|id| SessionId(Arc::from(id))),
    })
}

/// A response with a result.
pub fn result(id: &Value, result: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "result": result})
}

/// A response with an error.
pub fn error(id: &Value, error: &RpcError) -> Value {
    match error.hold_off {
        None => json!({"jsonrpc": "2.0", "id": id, "error": {"code": error.code, "message": error.message}}),
        Some(after) => failure(id, error.code, &error.message, json!({"hold_off_ms": after.div_ceil(1000)})),
    }
}

/// The response to a `session.open`.
pub fn answer(id: &Value, answer: &Answer) -> Value {
    match answer {
        Answer::Plays { session, server, address, rung, rate_kb } => {
            let plays = json!({
                "session": &*session.0, "box": server.0, "address": address.to_string(),
                "rung": rung, "rate_kb": rate_kb
            });
            result(id, plays)
        }
        Answer::Refused(session, hold_off) => {
            let data = json!({"session": &*session.0, "hold_off_ms": hold_off / 1000});
            failure(id, REFUSED, "refused", data)
        }
        Answer::Failed(session, reason) => {
            let reason = match reason {
                FailReason::GivenUp => "given-up",
                FailReason::Cancelled => "cancelled",
                FailReason::Overdue => "overdue",
                FailReason::ShuttingDown => "shutting-down",
            };
            failure(id, FAILED, "failed", json!({"session": &*session.0, "reason": reason}))
        }
    }
}

fn failure(id: &Value, code: i64, message: &str, data: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "error": {"code": code, "message": message, "data": data}})
}

/// The response to a message of which nothing reaches the front; of a batch, to all of it. Nothing where no call
/// is answered at all.
pub fn only_errors(message: &Message) -> Option<Value> {
    let one = |call: &Call| match (&call.id, &call.method) {
        (Some(id), Err(error)) => Some(self::error(id, error)),
        _ => None,
    };
    match message {
        Message::One(call) => one(call),
        Message::Batch(calls) => {
            let all: Vec<Value> = calls.iter().filter_map(one).collect();
            (!all.is_empty()).then_some(Value::Array(all))
        }
        Message::Unreadable(error) => Some(self::error(&Value::Null, error)),
    }
}

/// The response to any other call.
pub fn reply(id: &Value, reply: &Reply) -> Value {
    match reply {
        Reply::Closed(session) => result(id, json!({"session": &*session.0, "state": "closed"})),
        Reply::Cancelled => result(id, json!({"state": "cancelled"})),
        Reply::Status { session, playing: None } => {
            result(id, json!({"session": &*session.0, "state": "opening"}))
        }
        Reply::Status { session, playing: Some((server, rung, rate)) } => {
            let state = json!({
                "session": &*session.0, "state": "playing", "box": server.0, "rung": rung, "rate_kb": rate
            });
            result(id, state)
        }
        Reply::TooManySessions(most, of) => {
            let of = match of {
                LimitScope::Connection => "connection",
                LimitScope::Viewer => "viewer",
            };
            failure(id, TOO_MANY_SESSIONS, "too many sessions", json!({"of": of, "most": most}))
        }
        Reply::ReturnsOnly(hold_off) => {
            error(id, &RpcError::later(FULL, "full but for viewers that come back", *hold_off))
        }
        Reply::AtOtherFront(front, address) => {
            let address = address.map(|address| address.to_string());
            let data = json!({"front": &**front, "address": address});
            failure(id, ELSEWHERE, "the session is at another front", data)
        }
        Reply::RetryAfter(hold_off) => {
            error(id, &RpcError::later(BETWEEN, "the session is between two fronts", *hold_off))
        }
        Reply::Unknown => {
            let text = "no such session or open call on this connection";
            error(id, &RpcError::new(UNKNOWN_SESSION, text))
        }
    }
}

/// A notification.
pub fn news(news: &Notification) -> Value {
    let (method, params) = match news {
        Notification::RungChanged(session, rung, rate) => {
            ("session.rung", json!({"session": &*session.0, "rung": rung, "rate_kb": rate}))
        }
        Notification::Move(session) => ("session.move", json!({"session": &*session.0})),
        Notification::Ended(session, reason) => {
            let reason = match reason {
                EndReason::Box => "box",
                EndReason::Lost => "lost",
                EndReason::ShuttingDown => "shutting-down",
                EndReason::Rules => "rules",
                EndReason::TakenOver => "elsewhere",
            };
            ("session.ended", json!({"session": &*session.0, "reason": reason}))
        }
    };
    json!({"jsonrpc": "2.0", "method": method, "params": params})
}
