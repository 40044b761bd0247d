//! Requests the status of a running front for an operator. The request is a datagram authenticated with the front's
//! own keys, so only those who can read its settings may ask.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use thiserror::Error;

use crate::core::{Body, Envelope};
use crate::settings::Settings;
use crate::wire::{self, MAX_DATAGRAM_BYTES};

/// Maximum number of requests for each page.
const ATTEMPTS_PER_PAGE: u32 = 10;
/// Time to wait for the answer to each request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Errors of requesting a front's status.
#[derive(Debug, Error)]
pub enum AskError {
    /// A socket operation failed.
    #[error("cannot ask {0}: {1}")]
    Socket(SocketAddr, io::Error),
    /// No answer was received.
    #[error("{0} does not answer: no front runs there, or it has other keys")]
    Silent(SocketAddr),
}

/// The status of a front: one line about itself, and one for each member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shown {
    /// The front's line about itself.
    pub head: Value,
    /// The lines about the members.
    pub members: Vec<Value>,
}

/// Requests the status of the front that runs with these settings.
///
/// # Errors
/// The front doesn't answer, or a socket operation fails.
pub fn ask(settings: &Settings) -> Result<Shown, AskError> {
    let to = settings.bind;
    let failed = |error| AskError::Socket(to, error);
    let local: SocketAddr = if to.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(local).map_err(failed)?;
    let unix_us = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_micros() as u64);
    let boot = unix_us ^ u64::from(std::process::id()) << 44;
    let (mut lines, mut page, mut pages, mut sequence) = (Vec::new(), 0, 1, 0);
    while page < pages {
        let mut text = None;
        for _ in 0..ATTEMPTS_PER_PAGE {
            sequence += 1;
            let name = Arc::from("operator");
            let body = Body::Show(page);
            let envelope = Envelope { name, boot, sequence, view: 0, digest: 0, body };
            let bytes = wire::encode(&envelope, &settings.keys)
                .map_err(|error| failed(io::Error::other(error.to_string())))?;
            socket.send_to(&bytes, to).map_err(failed)?;
            text = receive_page(&socket, settings, page);
            if text.is_some() {
                break;
            }
        }
        let Some((count, text)) = text else { return Err(AskError::Silent(to)) };
        lines.extend(text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()));
        (pages, page) = (count, page + 1);
    }
    let mut lines = lines.into_iter();
    Ok(Shown { head: lines.next().unwrap_or_default(), members: lines.collect() })
}

fn receive_page(socket: &UdpSocket, settings: &Settings, page: u32) -> Option<(u32, String)> {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let left = deadline.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        socket.set_read_timeout(Some(left)).ok()?;
        let (count, _) = socket.recv_from(&mut bytes).ok()?;
        if let Ok(Envelope { body: Body::Shown(of, pages, text), .. }) =
            wire::decode(&bytes[..count], &settings.keys)
        {
            if of == page {
                return Some((pages, text));
            }
        }
    }
}
