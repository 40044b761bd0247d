//! Messages of the session API: parses and writes JSON-RPC 2.0.

use std::sync::Arc;

use salttally::interface::{SessionId, ViewerId};
use serde_json::{json, Map, Value};

use super::core::rate_limit::OPEN_WEIGHT;
use crate::core::{Answer, EndReason, FailReason, LimitScope, Notification, OpenRequest, Reply};
use crate::settings::{tenant_id, viewer_id, Settings};

/// Not JSON (JSON-RPC 2.0 section 5.1).
pub const PARSE_ERROR: i64 = -32700;
/// Not a valid request.
pub const INVALID_REQUEST: i64 = -32600;
/// No such method.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// Invalid parameters.
pub const INVALID_PARAMS: i64 = -32602;
/// The session was refused; `data.hold_off_ms` tells when to retry.
pub const REFUSED: i64 = -32001;
/// The session failed.
pub const FAILED: i64 = -32002;
/// The player has made too many calls; `data.hold_off_ms` tells when to continue.
pub const TOO_MANY_CALLS: i64 = -32004;
/// This connection has no such session or pending open.
pub const UNKNOWN_SESSION: i64 = -32003;
/// The connection or the viewer has the maximum number of sessions.
pub const TOO_MANY_SESSIONS: i64 = -32005;
/// The front is full and accepts only viewers that return to an existing session.
pub const FRONT_FULL: i64 = -32006;
/// The session is at another front.
pub const AT_OTHER_FRONT: i64 = -32007;
/// The session is between two fronts: one is gone, and another has not taken it over yet.
pub const BETWEEN_FRONTS: i64 = -32008;

/// Methods, with their parameters and whether each parameter is required.
pub type MethodTable = [(&'static str, &'static [(&'static str, bool)])];

/// The methods that a player may call.
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

/// The notifications that a front sends.
pub const NOTIFICATIONS: &[&str] = &["session.rung", "session.move", "session.ended"];

/// Maximum length of the name of a viewer, title or class.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of calls in a batch.
const MAX_BATCH_CALLS: usize = 64;

/// A JSON-RPC error.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcError {
    /// Error code.
    pub code: i64,
    /// One sentence that describes the error.
    pub message: String,
    /// Time after which to retry, us.
    pub retry_after: Option<u64>,
}

impl RpcError {
    /// An error that retrying does not cure.
    pub fn new(code: i64, message: impl Into<String>) -> RpcError {
        RpcError { code, message: message.into(), retry_after: None }
    }

    /// An error of a call that came too early.
    pub fn with_retry_after(code: i64, message: impl Into<String>, retry_after: u64) -> RpcError {
        RpcError { retry_after: Some(retry_after), ..RpcError::new(code, message) }
    }
}

/// A call's method with its parameters.
#[derive(Clone, Debug, PartialEq)]
pub enum Method {
    /// `session.open`.
    Open(OpenRequest),
    /// `session.cancel` of the pending open with this id.
    Cancel(Value),
    /// `session.close`.
    Close(SessionId),
    /// `session.status`.
    Status(SessionId, Option<ViewerId>),
}

/// A call: its id, if it has one, and its method, or the error if it is invalid.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The id; `None` for a notification, which gets no response.
    pub id: Option<Value>,
    /// The method, or what is wrong with the call.
    pub method: Result<Method, RpcError>,
}

/// A message of a player.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A single call.
    Single(Call),
    /// A batch of calls.
    Batch(Vec<Call>),
    /// Not a JSON-RPC message; the response is an error with a null id.
    Malformed(RpcError),
}

impl Call {
    /// Whether the call frees resources that others wait for.
    pub fn is_release(&self) -> bool {
        matches!(self.method, Ok(Method::Cancel(_) | Method::Close(_)))
    }
}

impl Message {
    /// The number of calls that free something, and the total weight of all others.
    pub fn weights(&self) -> (u64, u64) {
        let calls = match self {
            Message::Malformed(_) => return (0, 1),
            Message::Single(call) => std::slice::from_ref(call),
            Message::Batch(calls) => calls,
        };
        calls.iter().fold((0, 0), |(releases, requests), call| match &call.method {
            _ if call.is_release() => (releases + 1, requests),
            Ok(Method::Open(_)) => (releases, requests + OPEN_WEIGHT),
            _ => (releases, requests + 1),
        })
    }

    /// Number of valid calls that request something: these have to reach the engine.
    pub fn engine_requests(&self) -> u64 {
        let requests = |call: &Call| u64::from(!call.is_release() && call.method.is_ok());
        match self {
            Message::Malformed(_) => 0,
            Message::Single(call) => requests(call),
            Message::Batch(calls) => calls.iter().map(requests).sum(),
        }
    }

    /// Rejects all calls that request something with an error; calls that free something stay.
    pub fn reject_requests(mut self, delay: u64) -> Message {
        let reject = |call: &mut Call| {
            if !call.is_release() {
                // A notification gets no response, so its sender is not told.
                call.method = Err(RpcError::with_retry_after(TOO_MANY_CALLS, "too many calls", delay));
            }
        };
        match &mut self {
            Message::Malformed(_) => {}
            Message::Single(call) => reject(call),
            Message::Batch(calls) => calls.iter_mut().for_each(reject),
        }
        self
    }
}

/// Parses a message. This never fails as a whole: an invalid call carries its own error.
pub fn parse(text: &str, settings: &Settings) -> Message {
    match serde_json::from_str::<Value>(text) {
        Err(error) => Message::Malformed(RpcError::new(PARSE_ERROR, format!("not JSON: {error}"))),
        Ok(Value::Array(calls)) if calls.is_empty() => {
            Message::Malformed(RpcError::new(INVALID_REQUEST, "an empty batch"))
        }
        Ok(Value::Array(calls)) if calls.len() > MAX_BATCH_CALLS => {
            let text = format!("a batch of {} calls, {MAX_BATCH_CALLS} at most", calls.len());
            Message::Malformed(RpcError::new(INVALID_REQUEST, text))
        }
        Ok(Value::Array(calls)) => {
            // A batch is answered as a whole, so a second open would delay the answer of the first.
            let mut opens = 0;
            let parse_one = |value: Value| {
                let mut call = parse_call(value, settings);
                if matches!(call.method, Ok(Method::Open(_))) {
                    opens += 1;
                    if opens > 1 {
                        let text = "a batch holds one session.open: its answer would wait for the others";
                        call.method = Err(RpcError::new(INVALID_REQUEST, text));
                    }
                }
                call
            };
            Message::Batch(calls.into_iter().map(parse_one).collect())
        }
        Ok(value) => Message::Single(parse_call(value, settings)),
    }
}

fn parse_call(value: Value, settings: &Settings) -> Call {
    // A value that is no request is answered with a null id. Only a valid request without an id is a
    // notification.
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
        None => parse_params(&name, Map::new(), settings),
        Some(Value::Object(given)) => parse_params(&name, given, settings),
        Some(Value::Array(_)) => Err(RpcError::new(INVALID_PARAMS, "parameters go by name")),
        Some(_) => return bad("`params` must be an object"),
    };
    Call { id, method }
}

fn parse_params(name: &str, given: Map<String, Value>, settings: &Settings) -> Result<Method, RpcError> {
    let Some((_, known)) = METHODS.iter().find(|(method, _)| *method == name) else {
        return Err(RpcError::new(METHOD_NOT_FOUND, format!("no method `{name}`")));
    };
    let wrong = |text: String| RpcError::new(INVALID_PARAMS, text);
    if let Some(unknown) = given.keys().find(|key| !known.iter().any(|(known, _)| known == key)) {
        return Err(wrong(format!("`{name}` has no parameter `{unknown}`")));
    }
    if let Some((missing, _)) = known.iter().find(|(key, must)| *must && !given.contains_key(*key)) {
        return Err(wrong(format!("`{missing}` is missing")));
    }
    let given = Params(given);
    Ok(match name {
        "session.open" => Method::Open(parse_open_request(&given, settings)?),
        "session.cancel" => Method::Cancel(given.0.get("open").cloned().unwrap_or(Value::Null)),
        "session.close" => Method::Close(SessionId(Arc::from(given.name("session")?))),
        _ => {
            let viewer = given.0.get("viewer").map(|_| given.name("viewer").map(viewer_id)).transpose()?;
            Method::Status(SessionId(Arc::from(given.name("session")?)), viewer)
        }
    })
}

struct Params(Map<String, Value>);

impl Params {
    fn name(&self, key: &str) -> Result<&str, RpcError> {
        let text =
            self.0.get(key).and_then(Value::as_str).filter(|t| !t.is_empty() && t.len() <= MAX_NAME_BYTES);
        text.ok_or_else(|| {
            RpcError::new(INVALID_PARAMS, format!("`{key}` must be a string of 1 to {MAX_NAME_BYTES} bytes"))
        })
    }

    fn whole_number(&self, key: &str) -> Result<u64, RpcError> {
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

fn parse_open_request(given: &Params, settings: &Settings) -> Result<OpenRequest, RpcError> {
    let wrong = |text: String| RpcError::new(INVALID_PARAMS, text);
    let title = given.name("title")?;
    let title_entry = settings.titles.get(title).ok_or_else(|| wrong(format!("no title `{title}` here")))?;
    let class = given.name("class")?;
    let class = settings.class_index(class).ok_or_else(|| wrong(format!("no class `{class}` here")))?;
    let (min, max) = settings.io.patience_ms;
    let patience = given.whole_number("patience_ms")?;
    if !(min..=max).contains(&patience) {
        return Err(wrong(format!("`patience_ms` is {patience}; it must lie from {min} to {max}")));
    }
    let length_hint = match given.0.get("length_hint_s") {
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
        viewer: viewer_id(given.name("viewer")?),
        tenant: tenant_id(given.name("viewer")?),
        title: title_entry.id,
        class,
        first_cell: title_entry.first_cell,
        cell_count: title_entry.cells,
        top_rung: usize::try_from(given.whole_number("top_rung")?).unwrap_or(usize::MAX),
        patience: patience * 1000,
        length_hint,
        returned: given.flag("returned")?,
        moved_from: moved_from.map(|id| SessionId(Arc::from(id))),
    })
}

/// A response with a result.
pub fn success_response(id: &Value, result: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "result": result})
}

/// A response with an error.
pub fn error_response(id: &Value, error: &RpcError) -> Value {
    match error.retry_after {
        None => json!({"jsonrpc": "2.0", "id": id, "error": {"code": error.code, "message": error.message}}),
        Some(after) => {
            error_with_data(id, error.code, &error.message, json!({"hold_off_ms": after.div_ceil(1000)}))
        }
    }
}

/// The response to a `session.open`.
pub fn open_response(id: &Value, answer: &Answer) -> Value {
    match answer {
        Answer::Plays { session, server, address, rung, rate_kb } => {
            let plays = json!({
                "session": &*session.0, "box": server.0, "address": address.to_string(),
                "rung": rung, "rate_kb": rate_kb
            });
            success_response(id, plays)
        }
        Answer::Refused(session, retry_after) => {
            let data = json!({"session": &*session.0, "hold_off_ms": retry_after / 1000});
            error_with_data(id, REFUSED, "refused", data)
        }
        Answer::Failed(session, reason) => {
            let reason = match reason {
                FailReason::GivenUp => "given-up",
                FailReason::Cancelled => "cancelled",
                FailReason::Overdue => "overdue",
                FailReason::ShuttingDown => "shutting-down",
            };
            error_with_data(id, FAILED, "failed", json!({"session": &*session.0, "reason": reason}))
        }
    }
}

fn error_with_data(id: &Value, code: i64, message: &str, data: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "error": {"code": code, "message": message, "data": data}})
}

/// The response to a message that has no call for the engine; for a batch, to all of it. `None` if no call
/// gets a response.
pub fn errors_only(message: &Message) -> Option<Value> {
    let one = |call: &Call| match (&call.id, &call.method) {
        (Some(id), Err(error)) => Some(error_response(id, error)),
        _ => None,
    };
    match message {
        Message::Single(call) => one(call),
        Message::Batch(calls) => {
            let all: Vec<Value> = calls.iter().filter_map(one).collect();
            (!all.is_empty()).then_some(Value::Array(all))
        }
        Message::Malformed(error) => Some(error_response(&Value::Null, error)),
    }
}

/// The response to any other call.
pub fn call_response(id: &Value, reply: &Reply) -> Value {
    match reply {
        Reply::Closed(session) => success_response(id, json!({"session": &*session.0, "state": "closed"})),
        Reply::Cancelled => success_response(id, json!({"state": "cancelled"})),
        Reply::Status { session, playing: None } => {
            success_response(id, json!({"session": &*session.0, "state": "opening"}))
        }
        Reply::Status { session, playing: Some((server, rung, rate)) } => {
            let state = json!({
                "session": &*session.0, "state": "playing", "box": server.0, "rung": rung, "rate_kb": rate
            });
            success_response(id, state)
        }
        Reply::TooManySessions(limit, scope) => {
            let scope = match scope {
                LimitScope::Connection => "connection",
                LimitScope::Viewer => "viewer",
            };
            error_with_data(id, TOO_MANY_SESSIONS, "too many sessions", json!({"of": scope, "most": limit}))
        }
        Reply::ReturnsOnly(retry_after) => error_response(
            id,
            &RpcError::with_retry_after(FRONT_FULL, "full but for viewers that come back", *retry_after),
        ),
        Reply::AtOtherFront(front, address) => {
            let address = address.map(|address| address.to_string());
            let data = json!({"front": &**front, "address": address});
            error_with_data(id, AT_OTHER_FRONT, "the session is at another front", data)
        }
        Reply::RetryAfter(retry_after) => error_response(
            id,
            &RpcError::with_retry_after(BETWEEN_FRONTS, "the session is between two fronts", *retry_after),
        ),
        Reply::Unknown => {
            let text = "no such session or open call on this connection";
            error_response(id, &RpcError::new(UNKNOWN_SESSION, text))
        }
    }
}

/// A notification.
pub fn notification(notification: &Notification) -> Value {
    let (method, params) = match notification {
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
