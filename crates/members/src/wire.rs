//! Encoding of datagrams between fronts: a version byte and an envelope in postcard encoding, followed by the first 16
//! bytes of their keyed BLAKE3 hash. Datagrams that no key of the ring authenticates are never decoded.

use std::fmt;

use thiserror::Error;

use crate::core::view::MAX_NAME_BYTES;
use crate::core::Envelope;

/// Maximum length of a datagram, in bytes: with its headers under the minimum MTU of IPv6 (RFC 8200, section 5).
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Version of the encoding, the first byte of a datagram.
pub const VERSION: u8 = 1;
/// Length of the authentication tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// Why a datagram is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// Its length is out of bounds.
    #[error("invalid length of {0} bytes")]
    Length(usize),
    /// It has another version of the encoding.
    #[error("unsupported version {0}, this front supports {VERSION}")]
    Version(u8),
    /// No key of the ring authenticates it.
    #[error("no key of the ring vouches for it")]
    Unauthenticated,
    /// It is authentic but not a valid envelope.
    #[error("it cannot be read")]
    Unreadable,
}

/// Authentication keys: the first one signs, all of them verify.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyRing(Vec<[u8; 32]>);

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyRing({})", self.0.len())
    }
}

impl KeyRing {
    /// A ring of these keys; `None` if there are none.
    pub fn new(keys: Vec<[u8; 32]>) -> Option<KeyRing> {
        (!keys.is_empty()).then_some(KeyRing(keys))
    }

    /// The authentication tag of these bytes: the first bytes of their hash under the first key.
    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(&self.0[0], bytes).as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Whether the tag authenticates these bytes under any key of the ring.
    pub fn verifies(&self, bytes: &[u8], tag: &[u8]) -> bool {
        // Constant-time comparison: the time taken must not reveal where the tags differ.
        let matches = |key: &[u8; 32]| {
            let expected = blake3::keyed_hash(key, bytes);
            expected.as_bytes()[..TAG_BYTES].iter().zip(tag).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
        };
        tag.len() == TAG_BYTES && self.0.iter().any(matches)
    }
}

/// Encodes and signs an envelope.
///
/// # Errors
/// The datagram would be longer than [`MAX_DATAGRAM_BYTES`].
pub fn encode(envelope: &Envelope, ring: &KeyRing) -> Result<Vec<u8>, DatagramError> {
    let mut bytes = vec![VERSION];
    bytes = postcard::to_extend(envelope, bytes).map_err(|_| DatagramError::Unreadable)?;
    let tag = ring.tag(&bytes);
    bytes.extend(tag);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Length(bytes.len()));
    }
    Ok(bytes)
}

/// Verifies a datagram and decodes its envelope.
///
/// # Errors
/// The datagram is malformed, of another version, or not authenticated by a key of the ring.
pub fn decode(bytes: &[u8], ring: &KeyRing) -> Result<Envelope, DatagramError> {
    if bytes.len() <= TAG_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Length(bytes.len()));
    }
    if bytes[0] != VERSION {
        return Err(DatagramError::Version(bytes[0]));
    }
    let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
    if !ring.verifies(signed, tag) {
        return Err(DatagramError::Unauthenticated);
    }
    let (envelope, rest) =
        postcard::take_from_bytes::<Envelope>(&signed[1..]).map_err(|_| DatagramError::Unreadable)?;
    if !rest.is_empty() || envelope.name.is_empty() || envelope.name.len() > MAX_NAME_BYTES {
        return Err(DatagramError::Unreadable);
    }
    Ok(envelope)
}

/// The header of datagrams that pass through the relay of a trial: the peer's IPv4 address and port.
pub mod relay_header {
    use std::net::{Ipv4Addr, SocketAddrV4};

    /// Length of the header, in bytes.
    pub const LENGTH_BYTES: usize = 6;

    /// A datagram with the header of its peer prepended.
    pub fn prepend(peer: SocketAddrV4, datagram: &[u8]) -> Vec<u8> {
        let mut bytes = peer.ip().octets().to_vec();
        bytes.extend(peer.port().to_be_bytes());
        bytes.extend(datagram);
        bytes
    }

    /// Splits off the header: the peer and the datagram; `None` if it is too short.
    pub fn split(bytes: &[u8]) -> Option<(SocketAddrV4, &[u8])> {
        let (header, datagram) = bytes.split_at_checked(LENGTH_BYTES)?;
        let port = u16::from_be_bytes([header[4], header[5]]);
        Some((SocketAddrV4::new(Ipv4Addr::new(header[0], header[1], header[2], header[3]), port), datagram))
    }
}
