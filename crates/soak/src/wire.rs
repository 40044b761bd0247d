//! The platform's messages and list frames, encoded and decoded for the peers of a front node. Written from the
//! protocol documentation, independently of the front node's own codec.

/// Message types.
pub mod kind {
    /// Set-up.
    pub const SET_UP: u8 = 1;
    /// Answer: the session plays.
    pub const ANSWER: u8 = 9;
    /// Refusal, give-up or release.
    pub const RELEASE: u8 = 12;
    /// Acknowledgement of a release.
    pub const RELEASE_ACK: u8 = 16;
    /// Note about a playing session.
    pub const NOTE: u8 = 44;
    /// Request to move a session.
    pub const MOVE: u8 = 51;
    /// Readiness test or probe.
    pub const TEST: u8 = 52;
    /// Result of a readiness test or probe.
    pub const TEST_RESULT: u8 = 53;
}

/// Parameter codes.
pub mod code {
    /// Class.
    pub const CLASS: u8 = 3;
    /// Time that the sender waits, ms.
    pub const WAIT_MS: u8 = 6;
    /// Title.
    pub const TITLE: u8 = 15;
    /// Fields of a request.
    pub const REQUEST_FIELDS: u8 = 18;
    /// Kind of a note.
    pub const NOTE_KIND: u8 = 24;
    /// Load report.
    pub const REPORT: u8 = 30;
    /// Expected session length, ms.
    pub const LENGTH_HINT_MS: u8 = 33;
    /// Rung.
    pub const RUNG: u8 = 36;
    /// Value of a note.
    pub const NOTE_VALUE: u8 = 39;
    /// Cause of a release.
    pub const CAUSE: u8 = 45;
    /// Description.
    pub const DESCRIPTION: u8 = 48;
}

/// Release causes.
pub mod cause {
    /// Normal end, or give-up.
    pub const NORMAL: u8 = 16;
    /// Ended on purpose.
    pub const ON_PURPOSE: u8 = 31;
    /// Full.
    pub const FULL: u8 = 34;
    /// Broken.
    pub const BROKEN: u8 = 41;
    /// Refused; retry later.
    pub const RETRY_LATER: u8 = 42;
    /// Error.
    pub const ERROR: u8 = 47;
    /// Not sent: it never ran.
    pub const NOT_SENT: u8 = 102;
}

const MAX_MESSAGE_BYTES: usize = 16 * 1024;
const HEADER_BYTES: usize = 11;

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Message type.
    pub kind: u8,
    /// Session id.
    pub id: u64,
    /// Code and value of each parameter.
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// A message without parameters.
    pub fn new(kind: u8, id: u64) -> Message {
        Message { kind, id, parameters: Vec::new() }
    }

    /// A release with a cause.
    pub fn release(id: u64, cause: u8) -> Message {
        Message::new(kind::RELEASE, id).with(code::CAUSE, vec![cause])
    }

    /// Adds a parameter.
    pub fn with(mut self, code: u8, value: impl Into<Vec<u8>>) -> Message {
        self.parameters.push((code, value.into()));
        self
    }

    /// The value of a parameter.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|(other, _)| *other == code).map(|(_, value)| value.as_slice())
    }

    /// The cause, if present.
    pub fn cause(&self) -> Option<u8> {
        self.get(code::CAUSE).and_then(|value| value.first().copied())
    }

    /// A parameter as a decimal integer.
    pub fn number(&self, code: u8) -> Option<u64> {
        std::str::from_utf8(self.get(code)?).ok()?.parse().ok()
    }

    /// Encodes the message.
    pub fn bytes(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend(self.id.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend(value);
        }
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }
}

/// Bytes that are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

/// Decodes messages from a byte stream.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    /// Whether there are undecoded bytes.
    pub fn is_partial(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The next complete message.
    ///
    /// # Errors
    /// The bytes are not a valid message.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        let Some(head) = self.bytes.first_chunk::<2>() else { return Ok(None) };
        let size = usize::from(u16::from_be_bytes(*head));
        if !(HEADER_BYTES - 2..=MAX_MESSAGE_BYTES).contains(&size) {
            return Err(DecodeError);
        }
        let Some(body) = self.bytes.get(2..2 + size) else { return Ok(None) };
        let message = parse(body).ok_or(DecodeError)?;
        self.bytes.drain(..2 + size);
        Ok(Some(message))
    }
}

fn parse(body: &[u8]) -> Option<Message> {
    let mut message = Message::new(*body.first()?, u64::from_be_bytes(body.get(1..9)?.try_into().ok()?));
    let mut rest = &body[9..];
    while let Some((code, after)) = rest.split_first() {
        let size = usize::from(u16::from_be_bytes(*after.first_chunk::<2>()?));
        message.parameters.push((*code, after.get(2..2 + size)?.to_vec()));
        rest = &after[2 + size..];
    }
    Some(message)
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// Accepts set-ups.
    Ready,
    /// Accepts no new sessions.
    Draining,
    /// Gone.
    Gone,
}

/// A record of the list.
#[derive(Clone, Debug)]
pub struct ListRecord {
    /// The server.
    pub id: u32,
    /// Listening address.
    pub address: std::net::SocketAddrV4,
    /// State.
    pub state: ListState,
    /// Cell.
    pub cell: u16,
    /// Start of its process, Unix ms; 0 if long ago.
    pub started_ms: u64,
}

/// Encodes a list frame: a heartbeat without records, else the full list or changes.
pub fn list_frame(number: u64, records: &[ListRecord], is_full: bool) -> Vec<u8> {
    let kind = match (records.is_empty(), is_full) {
        (true, _) => 0,
        (_, true) => 1,
        (_, false) => 2,
    };
    let mut bytes = (9 + 27 * records.len() as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    for record in records {
        bytes.extend(record.id.to_be_bytes());
        bytes.extend(record.address.ip().octets());
        bytes.extend(record.address.port().to_be_bytes());
        bytes.extend([record.state as u8, 0, 0]);
        bytes.extend(record.cell.to_be_bytes());
        bytes.extend(1_000u32.to_be_bytes());
        bytes.extend(record.started_ms.to_be_bytes());
    }
    bytes
}
