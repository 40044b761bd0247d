//! HTTP/1.1 responses, read from bytes (RFC 9112). Knows no socket.

use thiserror::Error;

/// Longest head, bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Longest body, bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Header fields at most.
const FIELDS_MOST: usize = 32;

/// What a peer does that HTTP does not have, or that is larger than it may be here.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// Not HTTP.
    #[error("not HTTP/1.1: {0}")]
    Syntax(#[from] httparse::Error),
    /// Head too long.
    #[error("a head of over {MAX_HEAD_BYTES} bytes")]
    LongHead,
    /// Body too long.
    #[error("a body of {0} bytes, {MAX_BODY_BYTES} at most")]
    LongBody(u64),
    /// Length not a number, or told twice and differently.
    #[error("a Content-Length that is none")]
    Length,
    /// A transfer coding; this API has none.
    #[error("a transfer coding, where Content-Length is due")]
    Coding,
    /// Anything after the response: answers are not sent unasked.
    #[error("{0} bytes that nobody asked for")]
    Surplus(usize),
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Status.
    pub status: u16,
    /// Length of the head, bytes.
    pub size: usize,
    /// Length of the body, bytes, if it is told.
    pub body: Option<usize>,
    /// Whether the connection stays open after the body.
    pub keep_alive: bool,
    /// Media type.
    pub kind: Option<String>,
}

/// Reads a head; nothing if it is not whole yet.
pub fn parse_head(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut response = httparse::Response::new(&mut fields);
    let size = match response.parse(bytes)? {
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => return Err(HttpError::LongHead),
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(size) if size > MAX_HEAD_BYTES => return Err(HttpError::LongHead),
        httparse::Status::Complete(size) => size,
    };
    // HTTP/1.0 closes unless told otherwise; this side never asks for more.
    let mut keep_alive = response.version == Some(1);
    let (mut body, mut kind) = (None, None);
    for field in response.headers.iter() {
        let value = std::str::from_utf8(field.value).unwrap_or("").trim();
        if field.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let length: u64 = value.parse().ok().filter(|_| digits).ok_or(HttpError::Length)?;
            // Two lengths are how one response is passed off as two (RFC 9112 section 6.3).
            if body.is_some_and(|known| known != length) {
                return Err(HttpError::Length);
            }
            body = Some(length);
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpError::Coding);
        } else if field.name.eq_ignore_ascii_case("connection") {
            keep_alive &= !value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"));
        } else if field.name.eq_ignore_ascii_case("content-type") {
            kind = Some(value.split(';').next().unwrap_or("").trim().to_ascii_lowercase());
        }
    }
    let body = match body {
        Some(length) if length > MAX_BODY_BYTES as u64 => return Err(HttpError::LongBody(length)),
        Some(length) => Some(length as usize),
        None => None,
    };
    Ok(Some(Head { status: response.code.unwrap_or(0), size, body, keep_alive, kind }))
}

/// A whole response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the connection may be used again.
    pub keep_alive: bool,
}

/// Reads a whole response; nothing if it is not whole yet. One without a length has no body here: a body up to
/// the end of the connection could be a cut-off one.
pub fn parse_response(bytes: &[u8]) -> Result<Option<Response>, HttpError> {
    let Some(head) = parse_head(bytes)? else { return Ok(None) };
    let end = head.size + head.body.unwrap_or(0);
    match bytes.len() {
        have if have < end => Ok(None),
        have if have > end => Err(HttpError::Surplus(have - end)),
        _ => Ok(Some(Response {
            status: head.status,
            body: bytes[head.size..].to_vec(),
            keep_alive: head.keep_alive && head.body.is_some(),
        })),
    }
}
