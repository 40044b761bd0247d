//! Reader of the event stream of a box or of the box list.

use std::io::{self, Read, Write};
use std::net::TcpStream;

use super::events::{Decoder, Event};
use super::http;
use crate::settings::Settings;

/// The HTTP request for an event stream.
fn request(path: &str, settings: &Settings) -> Vec<u8> {
    let name = &settings.name;
    format!("GET {path} HTTP/1.1\r\nHost: box\r\nFront: {name}\r\nAccept: text/event-stream\r\n\r\n")
        .into_bytes()
}

/// Reads an event stream until it ends. `on_event` receives each event, or `None` for input without a
/// complete event, and whether an event is incomplete. Returns the reason if the peer violated the protocol
/// or `on_event` failed.
pub fn follow(
    stream: &mut TcpStream,
    path: &str,
    settings: &Settings,
    mut on_event: impl FnMut(Option<&Event>, bool) -> Result<(), String>,
) -> Option<String> {
    if stream.write_all(&request(path, settings)).is_err() {
        return None;
    }
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let mut decoder: Option<Decoder> = None;
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return None,
        }
        if decoder.is_none() {
            match http::parse_head(&bytes) {
                Ok(None) => continue,
                Err(error) => return Some(error.to_string()),
                Ok(Some(head))
                    if head.status != 200 || head.media_type.as_deref() != Some("text/event-stream") =>
                {
                    return Some(format!(
                        "{path} returned status {} instead of an event stream",
                        head.status
                    ));
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
            true => on_event(None, decoder.has_partial_event()),
            false => events.iter().try_for_each(|event| on_event(Some(event), decoder.has_partial_event())),
        };
        if let Err(reason) = done {
            return Some(reason);
        }
    }
}
