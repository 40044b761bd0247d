//! Frames between fronts, and between an operator and a front: four bytes of length, one of version, the
//! postcard-encoded content, and a tag that authenticates everything but the length under membership's key
//! ring. A frame is decoded only after a key has authenticated it.

use salttally_members::wire::{KeyRing, TAG_BYTES};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::rules::Rules;
use crate::core::{Envelope, Name};

/// Largest frame, bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Largest first frame of a connection, bytes; an operator's proposal fits. Danger: with a larger limit, a
/// peer without a key could make this front buffer megabytes for each connection before authentication fails.
pub const MAX_FIRST_FRAME_BYTES: usize = 128 * 1024;
/// Version of the encoding.
pub const VERSION: u8 = 1;
/// Bytes of length and version before the content.
const HEADER_BYTES: usize = 5;

/// An operator's query.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Question {
    /// The status of this front.
    #[serde(rename = "Show")]
    Status,
    /// The rules of a version; of the one that the front acts on, if none is named.
    Version(Option<u64>),
    /// The versions that are kept.
    History,
    /// Proposes rules, made from that version or from the latest; with the author.
    Propose(Option<u64>, String, Box<Rules>),
    /// Requests these voters.
    #[serde(rename = "Voters")]
    ChangeVoters(Vec<Name>),
    /// The status of the copies subsystem.
    #[serde(rename = "Beside")]
    Copies,
}

/// The reply to an operator: JSON, or the reason for a refusal.
pub type Answer = Result<String, String>;

/// A frame.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// First frame of a connection between fronts; it only authenticates.
    #[serde(rename = "Opens")]
    Hello,
    /// Between fronts: a message.
    Peer(Box<Envelope>),
    /// From an operator: a request number and a query.
    #[serde(rename = "Asks")]
    Question(u64, Question),
    /// Between fronts: a message of another subsystem, with its sender.
    #[serde(rename = "Passes")]
    Relayed(Name, Vec<u8>),
    /// To an operator: the request number and the reply.
    #[serde(rename = "Answers")]
    Answer(u64, Answer),
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadFrame {
    /// The length is out of bounds.
    #[error("a frame of {0} bytes")]
    Length(usize),
    /// The frame has another version of the encoding.
    #[error("version {0}, and this front speaks {VERSION}")]
    Version(u8),
    /// No key of the ring authenticates it.
    #[error("no key of the ring vouches for it")]
    Foreign,
    /// It is authenticated, but cannot be decoded.
    #[error("it cannot be read")]
    Unreadable,
}

/// Encodes a frame.
///
/// # Errors
/// The frame is too long.
pub fn encode(frame: &Frame, ring: &KeyRing) -> Result<Vec<u8>, BadFrame> {
    let bytes = vec![0, 0, 0, 0, VERSION];
    let mut bytes = postcard::to_extend(frame, bytes).map_err(|_| BadFrame::Unreadable)?;
    let tag = ring.tag(&bytes[HEADER_BYTES - 1..]);
    bytes.extend(tag);
    let length = bytes.len() - 4;
    if length > MAX_FRAME_BYTES {
        return Err(BadFrame::Length(length));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Decodes the first frame of the received bytes, of at most `longest` bytes, and returns it with its size;
/// none while it is incomplete.
///
/// # Errors
/// The bytes are no valid frame; the connection has to be closed.
pub fn decode(bytes: &[u8], ring: &KeyRing, longest: usize) -> Result<Option<(Frame, usize)>, BadFrame> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if !(1 + TAG_BYTES..=longest).contains(&length) {
        return Err(BadFrame::Length(length));
    }
    if rest.first().is_some_and(|version| *version != VERSION) {
        return Err(BadFrame::Version(rest[0]));
    }
    let Some(whole) = rest.get(..length) else { return Ok(None) };
    let (said, tag) = whole.split_at(length - TAG_BYTES);
    if !ring.verifies(said, tag) {
        return Err(BadFrame::Foreign);
    }
    let (frame, left) = postcard::take_from_bytes::<Frame>(&said[1..]).map_err(|_| BadFrame::Unreadable)?;
    if !left.is_empty() {
        return Err(BadFrame::Unreadable);
    }
    Ok(Some((frame, 4 + length)))
}
