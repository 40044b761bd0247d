//! Frames of the coordinator, which tells the list of servers: length, number of the event, kind, records.

use std::net::{Ipv4Addr, SocketAddr};

use salttally::interface::{ServerEntry, ServerId, ServerState};
use salttally_front::core::Listed;
use thiserror::Error;

const HEAD: usize = 4 + 8 + 1;
const RECORD: usize = 27;
/// Media servers that one frame tells of at most; more is no list.
const MOST: usize = 20_000;

/// What a frame tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// Nothing new.
    Nothing,
    /// The whole list.
    Whole(Vec<Listed>),
    /// What has changed.
    Changes(Vec<Listed>),
}

/// A numbered frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Number of the event; with [`Payload::Nothing`], of the last one.
    pub number: u64,
    /// What it tells.
    pub payload: Payload,
}

/// Why the coordinator's bytes cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadFrame {
    /// A length that no frame has.
    #[error("a frame of {0} bytes")]
    Length(usize),
    /// An unknown kind.
    #[error("frame kind {0} is none")]
    Kind(u8),
    /// An unknown state of a media server.
    #[error("state {0} is none")]
    State(u8),
}

/// Takes bytes in and gives frames out; half a frame tells nothing.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
    /// Of these, the first that no frame has given out yet.
    from: usize,
}

impl Frames {
    /// Takes in what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.from));
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole frame.
    ///
    /// # Errors
    /// The bytes cannot be read, and nothing after them.
    pub fn take(&mut self) -> Result<Option<Frame>, BadFrame> {
        let rest = &self.bytes[self.from..];
        let Some(head) = rest.get(..HEAD) else { return Ok(None) };
        let size = number(&head[..4]) as usize;
        let length = size.checked_sub(HEAD - 4).ok_or(BadFrame::Length(size))?;
        if length % RECORD != 0 || length / RECORD > MOST {
            return Err(BadFrame::Length(size));
        }
        let (event, kind) = (number(&head[4..12]), head[12]);
        let Some(records) = rest.get(HEAD..HEAD + length) else { return Ok(None) };
        let lines = records.chunks_exact(RECORD).map(line).collect::<Result<Vec<_>, _>>()?;
        let payload = match kind {
            0 => Payload::Nothing,
            1 => Payload::Whole(lines),
            2 => Payload::Changes(lines),
            other => return Err(BadFrame::Kind(other)),
        };
        self.from += HEAD + length;
        Ok(Some(Frame { number: event, payload }))
    }
}

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

fn line(record: &[u8]) -> Result<Listed, BadFrame> {
    let part = |from: usize, size: usize| number(&record[from..from + size]);
    let state = match record[10] {
        0 => ServerState::Ready,
        1 => ServerState::Draining,
        2 => ServerState::Removed,
        other => return Err(BadFrame::State(other)),
    };
    let address = Ipv4Addr::from(part(4, 4) as u32);
    // Unix ms; nothing for a start long ago. The front's clock is Unix time too.
    let started = part(19, 8);
    Ok(Listed {
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
