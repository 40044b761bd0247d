//! Reading an event stream of a box or of the list.

use std::io::{self, Read, Write};
use std::net::TcpStream;

use super::events::{Decoder, Event};
use super::http;
use crate::settings::Settings;

/// The request for a box's event stream, or the list's.
fn request(path: &str, settings: &Settings) -> Vec<u8> {
    let name = &settings.name;
    format!("GET {path} HTTP/1.1\r\nHost: box\r\nFront: {name}\r\nAccept: text/event-stream\r\n\r\n")
        .into_bytes()
}

/// Reads an event stream until it ends; `None` is handed on for a sign of life without an event, and with each
/// whether an event is begun and not ended. Returns the reason where the peer is to blame.
pub fn follow(
    stream: &mut TcpStream,
    path: &str,
    settings: &Settings,
    mut told: impl FnMut(Option<&Event>, bool) -> Result<(), String>,
) -> Option<String> {
    if stream.write_all(&request(path, settings)).is_err() {
        return None;
    }
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    let mut decoder: Option<Decoder> = None;
    loop {
        match stream.read(&mut part) {
            Ok(0) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return None,
        }
        if decoder.is_none() {
            match http::parse_head(&bytes) {
                Ok(None) => continue,
                Err(error) => return Some(error.to_string()),
                Ok(Some(head)) if head.status != 200 || head.kind.as_deref() != Some("text/event-stream") => {
                    return Some(format!("{path} answered {} and no event stream", head.status));
                }
                Ok(Some(head)) => {
                    bytes.drain(..head.size);
                    decoder = Some(Decoder::default());
                }
            }
        }
        let Some(decoder) = &mut decoder else { continue };
        let events = match decoder.push(&bytes) {
            Ok(events) => events,
            Err(error) => return Some(error.to_string()),
        };
        bytes.clear();
        let done = match events.is_empty() {
            true => told(None, decoder.begun()),
            false => events.iter().try_for_each(|event| told(Some(event), decoder.begun())),
        };
        if let Err(reason) = done {
            return Some(reason);
        }
    }
}
