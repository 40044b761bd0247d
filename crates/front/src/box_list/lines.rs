//! Messages of the box list as JSON, without I/O.

use std::net::SocketAddr;

use salttally::interface::{Micros, ServerEntry, ServerId, ServerState};
use serde::{Deserialize, Serialize};

use crate::core::ListEntry;

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
    #[serde(default = "default_units")]
    units: f64,
    /// Unix time of the latest start of the box, ms; absent if that is long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    started_ms: Option<u64>,
}

fn default_units() -> f64 {
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
    /// Its sequence number on this connection.
    pub revision: u64,
    /// The time as of which it is valid, us since the Unix epoch.
    pub as_of: Micros,
    /// Its lines; empty in a heartbeat.
    pub lines: Vec<ListEntry>,
}

/// Parses a message of the list.
pub fn parse(text: &str) -> serde_json::Result<Message> {
    let list: List = serde_json::from_str(text)?;
    let listed = |line: Line| ListEntry {
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
        // An IPv4-mapped IPv6 address is the same as the IPv4 address; otherwise two boxes could be listed
        // under one address.
        address: SocketAddr::new(line.address.ip().to_canonical(), line.address.port()),
    };
    let lines = list.boxes.into_iter().map(listed).collect();
    Ok(Message { revision: list.revision, as_of: list.as_of_ms.saturating_mul(1000), lines })
}

/// Writes a whole list.
pub fn write<'a>(lines: impl Iterator<Item = &'a ListEntry>) -> String {
    let line = |line: &ListEntry| Line {
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
    // Serializing plain data does not fail.
    serde_json::to_string(&List { revision: 0, as_of_ms: 0, boxes: lines.map(line).collect() })
        .unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_ipv4_mapped_address_equals_the_ipv4_address() {
        let text = r#"{"revision": 1, "as_of_ms": 1, "boxes": [
            {"box": 1, "address": "127.0.0.1:9", "cell": 0, "state": "ready"},
            {"box": 2, "address": "[::ffff:127.0.0.1]:9", "cell": 0, "state": "ready"}]}"#;
        let message = parse(text).expect("a list");
        assert_eq!(message.lines[0].address, message.lines[1].address);
    }
}
