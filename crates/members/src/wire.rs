//! Datagrams between fronts: an envelope in postcard's encoding, behind it the first 16 bytes of its keyed BLAKE3
//! hash. Nothing that a key of the ring does not vouch for is decoded at all.

use std::fmt;

use thiserror::Error;

use crate::core::view::MAX_NAME_BYTES;
use crate::core::Envelope;

/// Longest datagram, bytes: under the least MTU of IPv6 with its headers (RFC 8200, section 5).
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Version of the encoding, the first byte.
pub const VERSION: u8 = 1;
/// Bytes that authenticate.
pub const TAG_BYTES: usize = 16;

/// Why a datagram is not used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadDatagram {
    /// Its length is out of bounds.
    #[error("{0} bytes: no datagram of a front")]
    Length(usize),
    /// It is of another version of the encoding.
    #[error("version {0}, and this front speaks {VERSION}")]
    Version(u8),
    /// No key of the ring made it.
    #[error("no key of the ring vouches for it")]
    Foreign,
    /// A key vouches for it, and yet it is no envelope.
    #[error("it cannot be read")]
    Unreadable,
}

/// Keys: the first one signs, all are believed.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyRing(Vec<[u8; 32]>);

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyRing({})", self.0.len())
    }
}

impl KeyRing {
    /// A ring of these; nothing for no keys.
    pub fn new(keys: Vec<[u8; 32]>) -> Option<KeyRing> {
        (!keys.is_empty()).then_some(KeyRing(keys))
    }

    /// What authenticates these bytes: the first ones of their hash under the first key.
    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(&self.0[0], bytes).as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Whether any key vouches for these bytes by this tag.
    pub fn verifies(&self, bytes: &[u8], tag: &[u8]) -> bool {
        // Compared without telling by the time it takes where they differ.
        let by = |key: &[u8; 32]| {
            let wanted = blake3::keyed_hash(key, bytes);
            wanted.as_bytes()[..TAG_BYTES].iter().zip(tag).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
        };
        tag.len() == TAG_BYTES && self.0.iter().any(by)
    }
}

/// A datagram of this envelope.
///
/// # Errors
/// It is longer than a datagram may be.
pub fn encode(envelope: &Envelope, ring: &KeyRing) -> Result<Vec<u8>, BadDatagram> {
    let mut bytes = vec![VERSION];
    bytes = postcard::to_extend(envelope, bytes).map_err(|_| BadDatagram::Unreadable)?;
    let tag = ring.tag(&bytes);
    bytes.extend(tag);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(BadDatagram::Length(bytes.len()));
    }
    Ok(bytes)
}

/// The envelope of a datagram.
///
/// # Errors
/// It is none that a key of the ring vouches for.
pub fn decode(bytes: &[u8], ring: &KeyRing) -> Result<Envelope, BadDatagram> {
    if bytes.len() <= TAG_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(BadDatagram::Length(bytes.len()));
    }
    if bytes[0] != VERSION {
        return Err(BadDatagram::Version(bytes[0]));
    }
    let (said, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
    if !ring.verifies(said, tag) {
        return Err(BadDatagram::Foreign);
    }
    let (envelope, rest) =
        postcard::take_from_bytes::<Envelope>(&said[1..]).map_err(|_| BadDatagram::Unreadable)?;
    if !rest.is_empty() || envelope.name.is_empty() || envelope.name.len() > MAX_NAME_BYTES {
        return Err(BadDatagram::Unreadable);
    }
    Ok(envelope)
}

/// Datagrams that go by the relay of a trial: ahead of each stands the peer's IPv4 address and port.
pub mod relay_header {
    use std::net::{Ipv4Addr, SocketAddrV4};

    /// Bytes ahead of the datagram.
    pub const LENGTH_BYTES: usize = 6;

    /// A datagram with its peer ahead of it.
    pub fn prepend(peer: SocketAddrV4, datagram: &[u8]) -> Vec<u8> {
        let mut bytes = peer.ip().octets().to_vec();
        bytes.extend(peer.port().to_be_bytes());
        bytes.extend(datagram);
        bytes
    }

    /// The peer and the datagram; nothing where it is too short.
    pub fn split(bytes: &[u8]) -> Option<(SocketAddrV4, &[u8])> {
        let (via, datagram) = bytes.split_at_checked(LENGTH_BYTES)?;
        let port = u16::from_be_bytes([via[4], via[5]]);
        Some((SocketAddrV4::new(Ipv4Addr::new(via[0], via[1], via[2], via[3]), port), datagram))
    }
}
