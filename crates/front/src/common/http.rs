//! Parser for HTTP/1.1 responses (RFC 9112), independent of any socket.

use thiserror::Error;

/// Maximum size of a response head, bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum size of a response body, bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of header fields.
const MAX_HEADER_FIELDS: usize = 32;

/// A response that violates HTTP or exceeds the size limits.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// Not HTTP.
    #[error("not HTTP/1.1: {0}")]
    Syntax(#[from] httparse::Error),
    /// Head too long.
    #[error("response head exceeds {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// Body too long.
    #[error("response body of {0} bytes exceeds the limit of {MAX_BODY_BYTES}")]
    BodyTooLong(u64),
    /// The length is not a number, or is given twice with different values.
    #[error("invalid Content-Length")]
    ContentLength,
    /// A transfer coding, which the box API does not use.
    #[error("transfer coding is not supported; Content-Length is required")]
    TransferCoding,
    /// Bytes after the end of the response, although no further request was sent.
    #[error("{0} unexpected bytes after the response")]
    TrailingBytes(usize),
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Size of the head, bytes.
    pub size: usize,
    /// Size of the body, bytes, if given.
    pub body: Option<usize>,
    /// Whether the connection stays open after the body.
    pub keep_alive: bool,
    /// Media type.
    pub media_type: Option<String>,
}

/// Parses a response head; `None` while it is incomplete.
///
/// # Errors
/// The head violates HTTP or exceeds a limit.
pub fn parse_head(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let size = match response.parse(bytes)? {
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => return Err(HttpError::HeadTooLong),
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(size) if size > MAX_HEAD_BYTES => return Err(HttpError::HeadTooLong),
        httparse::Status::Complete(size) => size,
    };
    // HTTP/1.0 closes by default, and this client never asks it to keep the connection open.
    let mut keep_alive = response.version == Some(1);
    let (mut body, mut media_type) = (None, None);
    for field in response.headers.iter() {
        let value = std::str::from_utf8(field.value).unwrap_or("").trim();
        if field.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let length: u64 = value.parse().ok().filter(|_| digits).ok_or(HttpError::ContentLength)?;
            // Conflicting lengths allow response splitting (RFC 9112 section 6.3).
            if body.is_some_and(|known| known != length) {
                return Err(HttpError::ContentLength);
            }
            body = Some(length);
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpError::TransferCoding);
        } else if field.name.eq_ignore_ascii_case("connection") {
            keep_alive &= !value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"));
        } else if field.name.eq_ignore_ascii_case("content-type") {
            media_type = Some(value.split(';').next().unwrap_or("").trim().to_ascii_lowercase());
        }
    }
    let body = match body {
        Some(length) if length > MAX_BODY_BYTES as u64 => return Err(HttpError::BodyTooLong(length)),
        Some(length) => Some(length as usize),
        None => None,
    };
    Ok(Some(Head { status: response.code.unwrap_or(0), size, body, keep_alive, media_type }))
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the connection can be reused.
    pub keep_alive: bool,
}

/// Parses a complete response; `None` while it is incomplete. A response without a length has no body here,
/// since one that extends to the end of the connection could be truncated.
///
/// # Errors
/// The response violates HTTP or exceeds a limit.
pub fn parse_response(bytes: &[u8]) -> Result<Option<Response>, HttpError> {
    let Some(head) = parse_head(bytes)? else { return Ok(None) };
    let end = head.size + head.body.unwrap_or(0);
    match bytes.len() {
        have if have < end => Ok(None),
        have if have > end => Err(HttpError::TrailingBytes(have - end)),
        _ => Ok(Some(Response {
            status: head.status,
            body: bytes[head.size..].to_vec(),
            keep_alive: head.keep_alive && head.body.is_some(),
        })),
    }
}
