//! Lines of the box list as JSON. Knows no socket.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use salttally::interface::{ServerEntry, ServerId, ServerState};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::Listed;

/// What is wrong with a list.
#[derive(Debug, Error)]
pub enum BadList {
    /// Not the JSON of a list.
    #[error("not a list: {0}")]
    Json(#[from] serde_json::Error),
    /// A box stands twice: which line holds cannot be told.
    #[error("box {0} stands in lines {1} and {2}")]
    Twice(u32, usize, usize),
    /// Two boxes at one address.
    #[error("boxes {0} and {1} have one address, {2}")]
    OneAddress(u32, u32, SocketAddr),
    /// A size that is none.
    #[error("box {0}: `units` is {1}, and must be over 0")]
    Units(u32, f64),
}

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
    boxes: Vec<Line>,
}

/// Reads a list, or changes of one.
pub fn read(text: &str) -> Result<Vec<Listed>, BadList> {
    let list: List = serde_json::from_str(text)?;
    let (mut ids, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    for (at, line) in list.boxes.iter().enumerate() {
        if let Some(first) = ids.insert(line.id, at) {
            return Err(BadList::Twice(line.id, first + 1, at + 1));
        }
        // A successor may already have the address of a box that is gone.
        let alive = !matches!(line.state, State::Gone);
        if let Some(other) = alive.then(|| addresses.insert(line.address, line.id)).flatten() {
            return Err(BadList::OneAddress(other, line.id, line.address));
        }
        if !(line.units > 0.0 && line.units.is_finite()) {
            return Err(BadList::Units(line.id, line.units));
        }
    }
    let listed = |line: Line| Listed {
        entry: ServerEntry {
            server: ServerId(line.id),
            zone: line.zone,
            kind: line.kind,
            cell: line.cell,
            state: match line.state {
                State::Ready => ServerState::Ready,
                State::Draining => ServerState::Draining,
                State::Gone => ServerState::Gone,
            },
            units: line.units,
            started: line.started_ms.map(|ms| ms.saturating_mul(1000)),
        },
        address: line.address,
    };
    Ok(list.boxes.into_iter().map(listed).collect())
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
            ServerState::Gone => State::Gone,
        },
        units: line.entry.units,
        started_ms: line.entry.started.map(|at| at / 1000),
    };
    // Plain data of our own: writing it does not fail.
    serde_json::to_string(&List { boxes: lines.map(line).collect() }).unwrap_or_default()
}
