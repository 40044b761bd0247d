//! Text values in parameters: request fields, load reports, numbers.

use salttally::interface::{Micros, ReportField};
use thiserror::Error;

use super::{code, Message};

/// Times above this are out of range, in ms.
const MAX_TIME_MS: f64 = 1e9;

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidRequest {
    /// A required parameter is missing or not text.
    #[error("parameter {0} is missing or not text")]
    Missing(u8),
    /// A parameter is malformed or out of range.
    #[error("parameter {0} is invalid")]
    Value(u8),
    /// A request field is missing, malformed or out of range.
    #[error("request field {0} is missing or invalid")]
    Field(&'static str),
}

/// The fields of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFields {
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Number of consecutive cells that hold it.
    pub cell_count: u32,
    /// Highest rung that the client can play.
    pub top_rung: usize,
    /// The viewer's number.
    pub viewer: u64,
    /// The client returns after an earlier session.
    pub returned: bool,
    /// The media server at which the session already plays.
    pub playing_at: Option<u32>,
}

impl RequestFields {
    /// Parses `home:4;copies:3;top:4;viewer:00000000b4d65521`, with `again:1` and `at:s-00c41f7a` where they
    /// apply.
    ///
    /// # Errors
    /// The first field that is missing or invalid.
    pub fn parse(text: &str) -> Result<RequestFields, InvalidRequest> {
        let find = |name| field_value(text, name);
        let count = |name: &'static str| {
            let value = find(name).and_then(parse_integer).ok_or(InvalidRequest::Field(name))?;
            u32::try_from(value).map_err(|_| InvalidRequest::Field(name))
        };
        Ok(RequestFields {
            first_cell: count("home")?,
            cell_count: count("copies")?,
            top_rung: count("top")? as usize,
            viewer: find("viewer").and_then(parse_hex16).ok_or(InvalidRequest::Field("viewer"))?,
            returned: match find("again") {
                None | Some("0") => false,
                Some("1") => true,
                Some(_) => return Err(InvalidRequest::Field("again")),
            },
            playing_at: find("at")
                .map(|at| parse_server_id(at).ok_or(InvalidRequest::Field("at")))
                .transpose()?,
        })
    }
}

/// The value of a field in `name:value;name:value`.
fn field_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut parts = text.split(';').filter_map(|part| part.trim().split_once(':'));
    parts.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// An integer, possibly written with a fraction of zeros.
fn parse_integer(text: &str) -> Option<u64> {
    let value = parse_number(text)?;
    (value >= 0.0 && value.fract() == 0.0 && value < 1e15).then_some(value as u64)
}

/// A finite number.
pub fn parse_number(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|value: &f64| value.is_finite())
}

/// 16 hex digits.
pub fn parse_hex16(text: &str) -> Option<u64> {
    let fits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    fits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// The id of a media server, written as `s-` and 8 hex digits.
pub fn parse_server_id(text: &str) -> Option<u32> {
    let digits = text.strip_prefix("s-")?;
    let fits = digits.len() == 8 && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    fits.then(|| u32::from_str_radix(digits, 16).ok()).flatten()
}

/// The time in a parameter, given in ms; not negative.
pub fn parse_time(message: &Message, code: u8) -> Result<Option<Micros>, InvalidRequest> {
    let Some(value) = message.get(code) else { return Ok(None) };
    let value = std::str::from_utf8(value).ok().and_then(parse_number).ok_or(InvalidRequest::Value(code))?;
    if !(0.0..=MAX_TIME_MS).contains(&value) {
        return Err(InvalidRequest::Value(code));
    }
    Ok(Some((value * 1000.0).round() as Micros))
}

/// The values of a load report, in the order of the settings' fields; empty if there is no report or a value
/// is missing.
pub fn load_report(message: &Message, names: &[String], fields: &[ReportField]) -> Vec<f64> {
    let Some(text) = message.text(code::REPORT) else { return Vec::new() };
    let find = |name: &String| field_value(text, name).and_then(parse_number);
    let row: Option<Vec<f64>> = names.iter().take(fields.len()).map(find).collect();
    row.unwrap_or_default()
}
