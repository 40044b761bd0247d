//! Frames of the coordinator, which sends the server list: length, number of the event, kind, records.

use std::net::{Ipv4Addr, SocketAddr};

use salttally::interface::{ServerEntry, ServerId, ServerState};
use salttally_front::core::ListEntry;
use thiserror::Error;

const HEADER_BYTES: usize = 4 + 8 + 1;
const RECORD_BYTES: usize = 27;
/// Maximum number of media servers in one frame; a longer frame is invalid.
const MAX_RECORDS: usize = 20_000;

/// The content of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// Nothing has changed.
    Unchanged,
    /// The complete list.
    Full(Vec<ListEntry>),
    /// The entries that have changed.
    Changes(Vec<ListEntry>),
}

/// A numbered frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Number of the event; with [`Payload::Unchanged`], of the last one.
    pub number: u64,
    /// The content.
    pub payload: Payload,
}

/// Why the coordinator's bytes cannot be decoded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// An invalid length.
    #[error("invalid frame length {0}")]
    Length(usize),
    /// An unknown kind.
    #[error("unknown frame kind {0}")]
    Kind(u8),
    /// An unknown state of a media server.
    #[error("unknown server state {0}")]
    State(u8),
}

/// Decodes frames from a stream of bytes; a partial frame yields nothing.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    bytes: Vec<u8>,
    /// Index of the first byte that is not part of a returned frame.
    consumed: usize,
}

impl FrameDecoder {
    /// Adds bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.consumed));
        self.bytes.extend_from_slice(bytes);
    }

    /// The next complete frame.
    ///
    /// # Errors
    /// The bytes cannot be decoded, nor can any after them.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let rest = &self.bytes[self.consumed..];
        let Some(head) = rest.get(..HEADER_BYTES) else { return Ok(None) };
        let size = be_integer(&head[..4]) as usize;
        let length = size.checked_sub(HEADER_BYTES - 4).ok_or(FrameError::Length(size))?;
        if length % RECORD_BYTES != 0 || length / RECORD_BYTES > MAX_RECORDS {
            return Err(FrameError::Length(size));
        }
        let (event, kind) = (be_integer(&head[4..12]), head[12]);
        let Some(records) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else { return Ok(None) };
        let servers = records.chunks_exact(RECORD_BYTES).map(parse_record).collect::<Result<Vec<_>, _>>()?;
        let payload = match kind {
            0 => Payload::Unchanged,
            1 => Payload::Full(servers),
            2 => Payload::Changes(servers),
            other => return Err(FrameError::Kind(other)),
        };
        self.consumed += HEADER_BYTES + length;
        Ok(Some(Frame { number: event, payload }))
    }
}

fn be_integer(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

fn parse_record(record: &[u8]) -> Result<ListEntry, FrameError> {
    let part = |from: usize, size: usize| be_integer(&record[from..from + size]);
    let state = match record[10] {
        0 => ServerState::Ready,
        1 => ServerState::Draining,
        2 => ServerState::Removed,
        other => return Err(FrameError::State(other)),
    };
    let address = Ipv4Addr::from(part(4, 4) as u32);
    // In Unix ms; 0 for a start long ago. The front's clock is Unix time too.
    let started = part(19, 8);
    Ok(ListEntry {
        entry: ServerEntry {
            server: ServerId(part(0, 4) as u32),
            zone: part(11, 1) as u32,
            kind: part(12, 1) as u32,
            cell: part(13, 2) as u32,
            state,
            units: part(15, 4) as f64 / 1000.0,
            started: (started > 0).then(|| started.saturating_mul(1000)),
        },
        address: SocketAddr::from((address, part(8, 2) as u16)),
    })
}
