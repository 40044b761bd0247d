//! Lines of the box list as JSON. Knows no socket.

use std::net::SocketAddr;

use salttally::interface::{Micros, ServerEntry, ServerId, ServerState};
use serde::{Deserialize, Serialize};

use crate::core::Listed;

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Deserialize, Serialize)]
struct Line {
    #[serde(rename = "box")]
    id: u32,
    address: SocketAddr,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    kind: u32,
    cell: u32,
    state: State,
    #[serde(default = "one")]
    units: f64,
    /// Unix time of its latest start, ms; left out where that is long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    started_ms: Option<u64>,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize, Serialize)]
struct List {
    revision: u64,
    as_of_ms: u64,
    #[serde(default)]
    boxes: Vec<Line>,
}

/// A message of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Its place in the row of messages of this connection.
    pub revision: u64,
    /// Time of which it speaks, us since the Unix epoch.
    pub as_of: Micros,
    /// Its lines; none in a sign of life.
    pub lines: Vec<Listed>,
}

/// Reads a message of the list.
pub fn read(text: &str) -> serde_json::Result<Message> {
    let list: List = serde_json::from_str(text)?;
    let listed = |line: Line| Listed {
        entry: ServerEntry {
            server: ServerId(line.id),
            zone: line.zone,
            kind: line.kind,
            cell: line.cell,
            state: match line.state {
                State::Ready => ServerState::Ready,
                State::Draining => ServerState::Draining,
                State::Gone => ServerState::Removed,
            },
            units: line.units,
            started: line.started_ms.map(|ms| ms.saturating_mul(1000)),
        },
        // An address of IPv4 written as one of IPv6 is the same: a box must not stand under two names.
        address: SocketAddr::new(line.address.ip().to_canonical(), line.address.port()),
    };
    let lines = list.boxes.into_iter().map(listed).collect();
    Ok(Message { revision: list.revision, as_of: list.as_of_ms.saturating_mul(1000), lines })
}

/// Writes a list.
pub fn write<'a>(lines: impl Iterator<Item = &'a Listed>) -> String {
    let line = |line: &Listed| Line {
        id: line.entry.server.0,
        address: line.address,
        zone: line.entry.zone,
        kind: line.entry.kind,
        cell: line.entry.cell,
        state: match line.entry.state {
            ServerState::Ready => State::Ready,
            ServerState::Draining => State::Draining,
            ServerState::Removed => State::Gone,
        },
        units: line.entry.units,
        started_ms: line.entry.started.map(|at| at / 1000),
    };
    // Plain data of our own: writing it does not fail.
    serde_json::to_string(&List { revision: 0, as_of_ms: 0, boxes: lines.map(line).collect() })
        .unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_box_must_not_stand_under_two_names_by_writing_its_address_otherwise() {
        let text = r#"{"revision": 1, "as_of_ms": 1, "boxes": [
            {"box": 1, "address": "127.0.0.1:9", "cell": 0, "state": "ready"},
            {"box": 2, "address": "[::ffff:127.0.0.1]:9", "cell": 0, "state": "ready"}]}"#;
        let message = read(text).expect("a list");
        assert_eq!(message.lines[0].address, message.lines[1].address);
    }
}
