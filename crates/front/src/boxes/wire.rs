//! Encodes requests to boxes, and parses their responses and events; see `docs/box-api.md`.

use std::sync::Arc;

use salttally::interface::{Note, ReportField, SessionId, ViewerId};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::events::Event;
use super::http::Response;
use crate::core::{BoxAnswer, BoxRequest, ExchangeEnd, HeldSession, OpenRequest, StreamEvent};
use crate::settings::Settings;

/// What a box stores with a session for the front that set it up, and returns after a restart of the front.
#[derive(Debug, Deserialize, Serialize)]
struct Context {
    viewer: String,
    title: String,
    class: String,
    top_rung: usize,
    patience_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    length_hint_s: Option<f64>,
}

/// Encodes a request.
pub fn encode_request(request: &BoxRequest, epoch: Option<u64>, settings: &Settings) -> Vec<u8> {
    let encode_with_epoch = |method: &str, path: &str, settings: &Settings, body: Option<&Value>| {
        encode(method, path, epoch, settings, body)
    };
    match request {
        BoxRequest::SetUp { session, attempt, rung, open_request, time_out } => {
            let class = settings.classes.get(open_request.class).map_or("", String::as_str);
            let title = settings.title_name(open_request.title);
            let context = Context {
                // The hash serves in place of the viewer's name: the box only stores it and returns it.
                viewer: format!("{:016x}", open_request.viewer.0),
                title: title.to_owned(),
                class: class.to_owned(),
                top_rung: open_request.top_rung,
                patience_ms: open_request.patience / 1000,
                length_hint_s: open_request.length_hint.map(|length| length as f64 / 1e6),
            };
            let body = json!({
                "session": &*session.0, "attempt": attempt, "title": title, "class": class, "rung": rung,
                "rate_kb": settings.rate_kb(open_request.class, *rung), "time_out_ms": time_out / 1000,
                "context": context
            });
            encode_with_epoch("POST", "/sessions", settings, Some(&body))
        }
        BoxRequest::SetRung { session, attempt, rung, class } => {
            let path = format!("/sessions/{}/{attempt}/rung", session.0);
            let rate = settings.rate_kb(*class, *rung);
            encode_with_epoch("PUT", &path, settings, Some(&json!({"rung": rung, "rate_kb": rate})))
        }
        BoxRequest::Release { session, attempt } => {
            encode_with_epoch("DELETE", &format!("/sessions/{}/{attempt}", session.0), settings, None)
        }
        BoxRequest::Claim { incarnation, epoch } => encode_with_epoch(
            "PUT",
            &format!("/lives/{incarnation}"),
            settings,
            Some(&json!({"epoch": epoch})),
        ),
        BoxRequest::Probe => encode_with_epoch("GET", "/load", settings, None),
    }
}

fn encode(
    method: &str,
    path: &str,
    epoch: Option<u64>,
    settings: &Settings,
    body: Option<&Value>,
) -> Vec<u8> {
    let body = body.map_or(String::new(), Value::to_string);
    let name = &settings.name;
    let epoch = epoch.map_or(String::new(), |epoch| format!("Epoch: {epoch}\r\n"));
    format!(
        "{method} {path} HTTP/1.1\r\nHost: box\r\nFront: {name}\r\n{epoch}Content-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

#[derive(Deserialize)]
struct ResponseBody {
    #[serde(default)]
    session: Option<String>,
    #[serde(default)]
    attempt: Option<u32>,
    #[serde(default)]
    load: Value,
    #[serde(default)]
    sessions: Value,
}

/// Parses the response to a request.
pub fn parse_response(request: &BoxRequest, response: &Response, settings: &Settings) -> ExchangeEnd {
    let malformed = |reason: String| ExchangeEnd::Malformed(reason);
    let body: ResponseBody = match serde_json::from_slice(&response.body) {
        Ok(body) => body,
        Err(error) => {
            return malformed(format!("answered {} with an invalid body: {error}", response.status))
        }
    };
    let report = match parse_load_report(&body.load, settings) {
        Ok(report) => report,
        Err(reason) => return malformed(reason),
    };
    if let (BoxRequest::Claim { .. }, 200) = (request, response.status) {
        let held: Vec<HeldSessionBody> = match serde_json::from_value(body.sessions) {
            Ok(held) => held,
            Err(error) => return malformed(format!("invalid sessions of a claimed incarnation: {error}")),
        };
        let held = held.into_iter().map(|held| held_session(held, settings)).collect();
        return ExchangeEnd::Claimed { held, keep_alive: response.keep_alive };
    }
    let answer = match (request, response.status) {
        (BoxRequest::SetUp { session, attempt, .. }, 201) => {
            let answered = body.session.as_deref().zip(body.attempt);
            if answered != Some((&*session.0, *attempt)) {
                return malformed(format!(
                    "answered for {answered:?} to a request for {} {attempt}",
                    session.0
                ));
            }
            BoxAnswer::Done
        }
        (BoxRequest::SetUp { .. }, 503) => BoxAnswer::Full,
        (BoxRequest::SetUp { .. }, _) => BoxAnswer::Error,
        (BoxRequest::Claim { .. }, status) if status != 409 => BoxAnswer::Error,
        (_, 409) => BoxAnswer::Superseded,
        (_, 200) => BoxAnswer::Done,
        (_, 404) => BoxAnswer::Unknown,
        _ => BoxAnswer::Error,
    };
    ExchangeEnd::Answered { answer, report, keep_alive: response.keep_alive }
}

/// Parses a load report, in the order of the settings; a report without one of the numbers is an error.
fn parse_load_report(load: &Value, settings: &Settings) -> Result<Vec<f64>, String> {
    if load.is_null() {
        return Ok(Vec::new());
    }
    let mut numbers = Vec::new();
    for field in &settings.decision.reports {
        let name = match field {
            ReportField::Streams => "streams",
            ReportField::Link | ReportField::LinkCapped => "link",
            ReportField::Uplink => "uplink",
            ReportField::Other => continue,
        };
        let Some(value) = load.get(name).and_then(Value::as_f64).filter(|v| *v >= 0.0) else {
            return Err(format!("load report has no number `{name}`"));
        };
        numbers.push(if *field == ReportField::LinkCapped { value.min(1.0) } else { value });
    }
    Ok(numbers)
}

#[derive(Deserialize)]
struct HeldSessionBody {
    session: String,
    attempt: u32,
    rung: usize,
    #[serde(default)]
    context: Value,
}

/// Parses an event. An event of an unknown kind, which a newer box may send, counts as a heartbeat.
pub fn parse_event(event: &Event, settings: &Settings) -> Result<Vec<StreamEvent>, String> {
    let bad = |error: serde_json::Error| format!("event `{}`: {error}", event.name);
    let data: Value = serde_json::from_str(&event.data).map_err(bad)?;
    let session = || {
        let name = data.get("session").and_then(Value::as_str);
        name.map(|name| SessionId(Arc::from(name))).ok_or(format!("event `{}` has no session", event.name))
    };
    let number = |key: &str| data.get(key).and_then(Value::as_f64).filter(|v| *v >= 0.0);
    let missing = |key: &str| format!("event `{}` has no number `{key}`", event.name);
    Ok(match event.name.as_str() {
        "held" => {
            let sessions = data.get("sessions").cloned().unwrap_or(Value::Null);
            let sessions: Vec<HeldSessionBody> = serde_json::from_value(sessions).map_err(bad)?;
            vec![StreamEvent::Up(sessions.into_iter().map(|held| held_session(held, settings)).collect())]
        }
        "began" => {
            let body: HeldSessionBody = serde_json::from_value(data).map_err(bad)?;
            vec![StreamEvent::Began(held_session(body, settings))]
        }
        "delivered" => {
            let share = number("share").ok_or_else(|| missing("share"))?;
            vec![StreamEvent::Note(session()?, Note::Delivered(share))]
        }
        "link" => {
            let link = number("link").ok_or_else(|| missing("link"))?;
            let mut notes = vec![StreamEvent::Note(session()?, Note::Link(link))];
            if let Some(uplink) = number("uplink") {
                notes.push(StreamEvent::Note(session()?, Note::Uplink(uplink)));
            }
            notes
        }
        "ended" => {
            let attempt = data.get("attempt").and_then(Value::as_u64).ok_or_else(|| missing("attempt"))?;
            vec![StreamEvent::Ended(session()?, u32::try_from(attempt).unwrap_or(u32::MAX))]
        }
        _ => vec![StreamEvent::Heartbeat],
    })
}

fn held_session(body: HeldSessionBody, settings: &Settings) -> HeldSession {
    let open_request = serde_json::from_value::<Context>(body.context).ok().and_then(|context| {
        let title = settings.titles.get(&context.title)?;
        Some(OpenRequest {
            viewer: ViewerId(u64::from_str_radix(&context.viewer, 16).ok()?),
            tenant: None,
            title: title.id,
            class: settings.class_index(&context.class)?,
            first_cell: title.first_cell,
            cell_count: title.cells,
            top_rung: context.top_rung,
            patience: context.patience_ms * 1000,
            length_hint: context.length_hint_s.map(|hint| (hint.clamp(0.0, 1e6) * 1e6) as u64),
            returned: false,
            moved_from: None,
        })
    });
    HeldSession {
        session: SessionId(Arc::from(body.session)),
        attempt: body.attempt,
        rung: body.rung,
        open_request,
    }
}
