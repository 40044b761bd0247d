//! A minimal HTTP/1.1 server side.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Name of the front that sent it, from the `front` header.
    pub front: String,
    /// Epoch of the front, from the `epoch` header, if present.
    pub epoch: Option<u64>,
    /// Body.
    pub body: Vec<u8>,
}

/// Reads one request; `None` at the end of the connection. Input that is not HTTP is an error.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let mut part = [0; 4096];
    loop {
        if let Some((request, used)) = parse(buffer)? {
            buffer.drain(..used);
            return Ok(Some(request));
        }
        match stream.read(&mut part)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&part[..count]),
        }
    }
}

fn parse(bytes: &[u8]) -> io::Result<Option<(Request, usize)>> {
    let bad = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let mut fields = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Request::new(&mut fields);
    let size = match head.parse(bytes).map_err(|error| bad(error.to_string()))? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(size) => size,
    };
    let field = |name: &str| {
        let found = head.headers.iter().find(|field| field.name.eq_ignore_ascii_case(name));
        found.and_then(|field| std::str::from_utf8(field.value).ok()).unwrap_or("")
    };
    let length: usize = field("content-length").parse().unwrap_or(0);
    let Some(body) = bytes.get(size..size + length) else { return Ok(None) };
    let request = Request {
        method: head.method.unwrap_or("").to_owned(),
        path: head.path.unwrap_or("").to_owned(),
        front: field("front").to_owned(),
        epoch: field("epoch").parse().ok(),
        body: body.to_vec(),
    };
    Ok(Some((request, size + length)))
}

/// Formats a response with a JSON body.
pub fn response(status: u16, body: &serde_json::Value) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        404 => "Not Found",
        503 => "Service Unavailable",
        _ => "Error",
    };
    let body = body.to_string();
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Response head of an event stream.
pub const EVENT_STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n\r\n";

/// Formats one server-sent event.
pub fn server_sent_event(name: &str, data: &serde_json::Value) -> String {
    format!("event: {name}\ndata: {data}\n\n")
}

/// Writes to a peer that may be gone or not reading. Fails after 2 s without progress.
pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(bytes)
}
