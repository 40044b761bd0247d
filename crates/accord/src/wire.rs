//! Frames between fronts, and between an operator and a front: four bytes of length, one of version, the content in
//! postcard's encoding, and what authenticates all of it but the length, under the key ring of membership. Nothing that a
//! key does not vouch for is decoded.

use salttally_members::wire::{KeyRing, TAG_BYTES};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::rules::Rules;
use crate::core::{Envelope, Name};

/// Longest frame, bytes.
pub const LONGEST: usize = 8 * 1024 * 1024;
/// Longest first frame of a connection, bytes: an operator's proposal fits. Danger: whoever has no key makes this front
/// keep megabytes for each connection until it sees that nothing vouches for them.
pub const LONGEST_FIRST: usize = 128 * 1024;
/// Version of the encoding.
pub const VERSION: u8 = 1;
/// Bytes ahead of the content.
const AHEAD: usize = 5;

/// What an operator asks.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Question {
    /// How does this front stand?
    Show,
    /// What does a version say? The one that the front acts on, if none is named.
    Version(Option<u64>),
    /// Which versions are kept?
    History,
    /// Propose this, made from that version or from the latest; who asks.
    Propose(Option<u64>, String, Box<Rules>),
    /// Let these vote.
    Voters(Vec<Name>),
    /// How does the subsystem beside this one stand?
    Beside,
}

/// What the operator hears: JSON, or why not.
pub type Answer = Result<String, String>;

/// One frame.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// The first of a connection between fronts: nothing, under a key.
    Opens,
    /// Between fronts.
    Peer(Box<Envelope>),
    /// From an operator, in the operator's count.
    Asks(u64, Question),
    /// Between fronts, of another subsystem: from whom.
    Passes(Name, Vec<u8>),
    /// To an operator.
    Answers(u64, Answer),
}

/// Why a connection is given up.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadFrame {
    /// Its length is out of bounds.
    #[error("a frame of {0} bytes")]
    Length(usize),
    /// It is of another version of the encoding.
    #[error("version {0}, and this front speaks {VERSION}")]
    Version(u8),
    /// No key of the ring made it.
    #[error("no key of the ring vouches for it")]
    Foreign,
    /// A key vouches for it, and yet it cannot be read.
    #[error("it cannot be read")]
    Unreadable,
}

/// The bytes of a frame.
///
/// # Errors
/// It is too long.
pub fn encode(frame: &Frame, ring: &KeyRing) -> Result<Vec<u8>, BadFrame> {
    let bytes = vec![0, 0, 0, 0, VERSION];
    let mut bytes = postcard::to_extend(frame, bytes).map_err(|_| BadFrame::Unreadable)?;
    let tag = ring.tag(&bytes[AHEAD - 1..]);
    bytes.extend(tag);
    let length = bytes.len() - 4;
    if length > LONGEST {
        return Err(BadFrame::Length(length));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// The first frame of what has come, of at most `longest` bytes, and how many bytes it took; nothing while it is not whole.
///
/// # Errors
/// What has come can be no frame of a front: the connection is of no use.
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
