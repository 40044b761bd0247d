//! Encoding and decoding of everything on the sockets: [`Message`]s with clients and servers, [`frames`] of
//! the server list, and the [`values`] in parameters. Nothing here allocates memory by a length that a peer
//! claims, blocks or panics.

pub mod frames;
pub mod values;

use thiserror::Error;

/// Maximum length of a message, including its length field.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
const HEADER_BYTES: usize = 2 + 1 + 8;

/// Message types.
pub mod kind {
    /// Requests a session, or sets one up at a media server.
    pub const SET_UP: u8 = 1;
    /// Progress of a set-up; has no effect.
    pub const PROGRESS: u8 = 6;
    /// The session plays.
    pub const ANSWER: u8 = 9;
    /// A refusal, a give-up, a failure, or the end of a playing session, depending on the cause.
    pub const RELEASE: u8 = 12;
    /// Acknowledges a release.
    pub const RELEASE_ACK: u8 = 16;
    /// A note on a playing session.
    pub const NOTE: u8 = 44;
    /// The session is to move to another media server.
    pub const MOVE: u8 = 51;
    /// A readiness test or a probe.
    pub const TEST: u8 = 52;
    /// The result of a test.
    pub const TEST_RESULT: u8 = 53;
    /// Sets a new rung.
    pub const RUNG: u8 = 60;
}

/// Parameter codes.
pub mod code {
    /// Class, by name.
    pub const CLASS: u8 = 3;
    /// How long the sender waits for an answer, in ms.
    pub const WAIT_MS: u8 = 6;
    /// Title, 16 hex digits.
    pub const TITLE: u8 = 15;
    /// Fields of a request, see [`values::RequestFields`].
    pub const REQUEST_FIELDS: u8 = 18;
    /// Time to wait before the next request, in ms.
    pub const HOLD_OFF_MS: u8 = 21;
    /// Kind of a note.
    pub const NOTE_KIND: u8 = 24;
    /// Load report, see [`values::load_report`].
    pub const REPORT: u8 = 30;
    /// Expected length of the session, in ms.
    pub const LENGTH_HINT_MS: u8 = 33;
    /// Rung, counted from 0.
    pub const RUNG: u8 = 36;
    /// Value of a note.
    pub const NOTE_VALUE: u8 = 39;
    /// Cause, one byte.
    pub const CAUSE: u8 = 45;
    /// Description of the session, forwarded unchanged.
    pub const DESCRIPTION: u8 = 48;
    /// Codes are multiples of this, up to [`DESCRIPTION`].
    pub const STEP: u8 = 3;
}

/// Causes of a release.
pub mod cause {
    /// Normal end; before the answer, a give-up.
    pub const NORMAL: u8 = 16;
    /// Deliberate end: by a move, or by the client.
    pub const ON_PURPOSE: u8 = 31;
    /// The server is full; the set-up never ran.
    pub const FULL: u8 = 34;
    /// Interrupted on its way, or cut.
    pub const BROKEN: u8 = 41;
    /// An error.
    pub const ERROR: u8 = 47;
    /// The request is invalid.
    pub const INVALID: u8 = 100;
    /// The set-up was never sent.
    pub const NOT_SENT: u8 = 102;
}

/// Why a peer's bytes cannot be decoded; nothing after them can be decoded either.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The length is too small for a message, or above [`MAX_MESSAGE_BYTES`].
    #[error("invalid message length {0}")]
    Length(usize),
    /// A parameter ends past its message.
    #[error("a parameter ends past its message")]
    TruncatedParameter,
    /// An unknown parameter code.
    #[error("unknown parameter code {0}")]
    Code(u8),
    /// A duplicate parameter.
    #[error("duplicate parameter {0}")]
    DuplicateParameter(u8),
    /// An unknown message type.
    #[error("unknown message type {0}")]
    Kind(u8),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Message type, one of [`kind`].
    pub kind: u8,
    /// The session that the message is about.
    pub session: u64,
    /// Code and value of each parameter, in order.
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// A message without parameters.
    pub fn new(kind: u8, session: u64) -> Message {
        Message { kind, session, parameters: Vec::new() }
    }

    /// A release with a cause.
    pub fn release(session: u64, cause: u8) -> Message {
        Message::new(kind::RELEASE, session).with(code::CAUSE, [cause])
    }

    /// Adds a parameter.
    pub fn with(mut self, code: u8, value: impl Into<Vec<u8>>) -> Message {
        self.parameters.push((code, value.into()));
        self
    }

    /// The value of a parameter, if present.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|(other, _)| *other == code).map(|(_, value)| value.as_slice())
    }

    /// The value of a parameter as text, if present and valid UTF-8.
    pub fn text(&self, code: u8) -> Option<&str> {
        std::str::from_utf8(self.get(code)?).ok()
    }

    /// The cause, if its parameter is present and exactly one byte long.
    pub fn cause(&self) -> Option<u8> {
        match self.get(code::CAUSE)? {
            [cause] => Some(*cause),
            _ => None,
        }
    }

    /// Appends the encoded message to `to`. Forwarded parameters fit, since they were decoded from a message;
    /// the node's own are short.
    pub fn write(&self, to: &mut Vec<u8>) {
        let size = 9 + self.parameters.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
        to.extend((size as u16).to_be_bytes());
        to.push(self.kind);
        to.extend(self.session.to_be_bytes());
        for (code, value) in &self.parameters {
            to.push(*code);
            to.extend((value.len() as u16).to_be_bytes());
            to.extend(value);
        }
    }

    fn decode(body: &[u8]) -> Result<Message, DecodeError> {
        let (Some(kind), Some(id)) = (body.first(), body.get(1..9)) else {
            return Err(DecodeError::Length(body.len()));
        };
        let known = matches!(*kind, 1 | 6 | 9 | 12 | 16 | 44 | 51 | 52 | 53 | 60);
        if !known {
            return Err(DecodeError::Kind(*kind));
        }
        let session = id.iter().fold(0, |id, byte| id << 8 | u64::from(*byte));
        let mut message = Message::new(*kind, session);
        let mut rest = &body[9..];
        while let Some((code, after)) = rest.split_first() {
            let size = after.get(..2).map(|b| usize::from(b[0]) << 8 | usize::from(b[1]));
            let value =
                size.and_then(|size| after.get(2..2 + size)).ok_or(DecodeError::TruncatedParameter)?;
            if *code == 0 || *code > code::DESCRIPTION || *code % code::STEP != 0 {
                return Err(DecodeError::Code(*code));
            }
            if message.get(*code).is_some() {
                return Err(DecodeError::DuplicateParameter(*code));
            }
            message.parameters.push((*code, value.to_vec()));
            rest = &after[2 + value.len()..];
        }
        Ok(message)
    }
}

/// Decodes messages from a stream of bytes. Holds at most one message and the bytes read last.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    consumed: usize,
}

impl Decoder {
    /// Adds bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next complete message.
    ///
    /// # Errors
    /// The bytes cannot be decoded, nor can any after them.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        let rest = &self.bytes[self.consumed..];
        let Some(head) = rest.get(..2) else { return Ok(self.no_message()) };
        let size = usize::from(head[0]) << 8 | usize::from(head[1]);
        if size + 2 < HEADER_BYTES || size + 2 > MAX_MESSAGE_BYTES {
            return Err(DecodeError::Length(size));
        }
        let Some(body) = rest.get(2..2 + size) else { return Ok(self.no_message()) };
        let message = Message::decode(body)?;
        self.consumed += 2 + size;
        Ok(Some(message))
    }

    /// Whether part of a message has arrived.
    pub fn has_partial_message(&self) -> bool {
        self.bytes.len() > self.consumed
    }

    /// Frees the buffer when it is empty, so that an idle connection holds no memory.
    fn no_message(&mut self) -> Option<Message> {
        if !self.has_partial_message() {
            self.bytes = Vec::new();
            self.consumed = 0;
        }
        None
    }
}

#[cfg(test)]
mod tests;
