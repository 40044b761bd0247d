//! What parameters hold as text: figures of a request, load reports, numbers.

use salttally::interface::{Micros, ReportField};
use thiserror::Error;

use super::{code, Message};

/// Times over this are out of range, ms.
const LONGEST_MS: f64 = 1e9;

/// Why a request cannot be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unusable {
    /// A parameter that must be there is not, or is no text.
    #[error("parameter {0} is missing or no text")]
    Missing(u8),
    /// It is there and cannot be read or lies out of range.
    #[error("parameter {0} cannot be used")]
    Value(u8),
    /// A figure among the figures.
    #[error("figure {0} is missing or cannot be used")]
    Figure(&'static str),
}

/// The figures of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figures {
    /// First cell that holds the title.
    pub home: u32,
    /// Cells in a row that hold it.
    pub copies: u32,
    /// Highest rung that the client can use.
    pub top: usize,
    /// The client's own number.
    pub viewer: u64,
    /// The client comes again.
    pub again: bool,
    /// The media server where the session plays already.
    pub at: Option<u32>,
}

impl Figures {
    /// Reads `home:4;copies:3;top:4;client:00000000b4d65521`, with `again:1` and `at:s-00c41f7a` where they apply.
    ///
    /// # Errors
    /// The first figure that is missing or cannot be used.
    pub fn read(text: &str) -> Result<Figures, Unusable> {
        let find = |name| field(text, name);
        let count = |name: &'static str| {
            let value = find(name).and_then(whole).ok_or(Unusable::Figure(name))?;
            u32::try_from(value).map_err(|_| Unusable::Figure(name))
        };
        Ok(Figures {
            home: count("home")?,
            copies: count("copies")?,
            top: count("top")? as usize,
            viewer: find("viewer").and_then(hex16).ok_or(Unusable::Figure("viewer"))?,
            again: match find("again") {
                None | Some("0") => false,
                Some("1") => true,
                Some(_) => return Err(Unusable::Figure("again")),
            },
            at: find("at").map(|at| server_id(at).ok_or(Unusable::Figure("at"))).transpose()?,
        })
    }
}

/// The value of a field in `name:value;name:value`.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut parts = text.split(';').filter_map(|part| part.trim().split_once(':'));
    parts.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// A whole number that may be written with a fraction of zeros.
fn whole(text: &str) -> Option<u64> {
    let value = number(text)?;
    (value >= 0.0 && value.fract() == 0.0 && value < 1e15).then_some(value as u64)
}

/// A finite number.
pub fn number(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|value: &f64| value.is_finite())
}

/// 16 hex digits.
pub fn hex16(text: &str) -> Option<u64> {
    let fits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    fits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A media server, written `s-` and 8 hex digits.
pub fn server_id(text: &str) -> Option<u32> {
    let digits = text.strip_prefix("s-")?;
    let fits = digits.len() == 8 && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    fits.then(|| u32::from_str_radix(digits, 16).ok()).flatten()
}

/// A time in ms, more than none.
pub fn time(message: &Message, code: u8) -> Result<Option<Micros>, Unusable> {
    let Some(value) = message.get(code) else { return Ok(None) };
    let value = std::str::from_utf8(value).ok().and_then(number).ok_or(Unusable::Value(code))?;
    if !(0.0..=LONGEST_MS).contains(&value) {
        return Err(Unusable::Value(code));
    }
    Ok(Some((value * 1000.0).round() as Micros))
}

/// The load report of a message, in the order of the settings' fields; none if it has none or one is missing.
pub fn report(message: &Message, names: &[String], fields: &[ReportField]) -> Vec<f64> {
    let Some(text) = message.text(code::REPORT) else { return Vec::new() };
    let find = |name: &String| field(text, name).and_then(number);
    let row: Option<Vec<f64>> = names.iter().take(fields.len()).map(find).collect();
    row.unwrap_or_default()
}
