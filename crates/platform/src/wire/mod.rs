//! What crosses the sockets, read and written: [`Message`]s with clients and servers, [`frames`] of the list,
//! [`words`] inside the parameters. Nothing here allocates by what a peer claims, waits, or panics.

pub mod frames;
pub mod words;

use thiserror::Error;

/// A message is no longer than this, its length field included.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
const HEAD: usize = 2 + 1 + 8;

/// Types of message.
pub mod kind {
    /// Set a session up.
    pub const SET_UP: u8 = 1;
    /// Progress; means nothing.
    pub const PROGRESS: u8 = 6;
    /// The session stands.
    pub const ANSWER: u8 = 9;
    /// Refusal, give-up, failure, or the end of what stands; the cause tells.
    pub const RELEASE: u8 = 12;
    /// A release was heard.
    pub const RELEASE_ACK: u8 = 16;
    /// A note on a session that stands.
    pub const NOTE: u8 = 44;
    /// The session is moved.
    pub const MOVE: u8 = 51;
    /// A test.
    pub const TEST: u8 = 52;
    /// Its result.
    pub const TEST_RESULT: u8 = 53;
    /// A new rung.
    pub const RUNG: u8 = 60;
}

/// Codes of parameters.
pub mod code {
    /// Class, by name.
    pub const CLASS: u8 = 3;
    /// Time for which the sender waits, ms.
    pub const WAIT_MS: u8 = 6;
    /// Title, 16 hex digits.
    pub const TITLE: u8 = 15;
    /// Figures of a request.
    pub const REQUEST_FIELDS: u8 = 18;
    /// Time to stay away, ms.
    pub const HOLD_OFF_MS: u8 = 21;
    /// Kind of a note.
    pub const NOTE_KIND: u8 = 24;
    /// A load report.
    pub const REPORT: u8 = 30;
    /// A guess of the length, ms.
    pub const LENGTH_HINT_MS: u8 = 33;
    /// Rung, counted from 0.
    pub const RUNG: u8 = 36;
    /// Figure of a note.
    pub const NOTE_VALUE: u8 = 39;
    /// Cause, one byte.
    pub const CAUSE: u8 = 45;
    /// Description.
    pub const DESCRIPTION: u8 = 48;
    /// Codes are multiples of this, up to [`DESCRIPTION`].
    pub const STEP: u8 = 3;
}

/// Causes of a release.
pub mod cause {
    /// The normal end; before the answer: given up.
    pub const NORMAL: u8 = 16;
    /// Ended on purpose: moved, or by its client.
    pub const ON_PURPOSE: u8 = 31;
    /// Full; never ran.
    pub const FULL: u8 = 34;
    /// Broken on its way, or cut.
    pub const BROKEN: u8 = 41;
    /// An error.
    pub const ERROR: u8 = 47;
    /// What was sent cannot be used.
    pub const INVALID: u8 = 100;
    /// Moot: it never left.
    pub const NOT_SENT: u8 = 102;
}

/// Why a peer's bytes cannot be read; nothing after them can be either.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The length is too small for a message, or over [`MAX_MESSAGE_BYTES`].
    #[error("a message of {0} bytes")]
    Length(usize),
    /// A parameter ends past its message.
    #[error("a parameter ends past its message")]
    Parameter,
    /// A code that no parameter has.
    #[error("parameter {0} is none")]
    Code(u8),
    /// A parameter that comes twice.
    #[error("parameter {0} comes twice")]
    Twice(u8),
    /// A type that no message has.
    #[error("message type {0} is none")]
    Kind(u8),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its type.
    pub kind: u8,
    /// The session that it names.
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

    /// With one more parameter.
    pub fn with(mut self, code: u8, value: impl Into<Vec<u8>>) -> Message {
        self.parameters.push((code, value.into()));
        self
    }

    /// The value of a parameter, if it is there.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|(other, _)| *other == code).map(|(_, value)| value.as_slice())
    }

    /// The same as text.
    pub fn text(&self, code: u8) -> Option<&str> {
        std::str::from_utf8(self.get(code)?).ok()
    }

    /// The cause, if there is one of one byte.
    pub fn cause(&self) -> Option<u8> {
        match self.get(code::CAUSE)? {
            [cause] => Some(*cause),
            _ => None,
        }
    }

    /// Writes it. What was taken from a peer's message fits again; own parameters are short.
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

    fn read(body: &[u8]) -> Result<Message, DecodeError> {
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
            let value = size.and_then(|size| after.get(2..2 + size)).ok_or(DecodeError::Parameter)?;
            if *code == 0 || *code > code::DESCRIPTION || *code % code::STEP != 0 {
                return Err(DecodeError::Code(*code));
            }
            if message.get(*code).is_some() {
                return Err(DecodeError::Twice(*code));
            }
            message.parameters.push((*code, value.to_vec()));
            rest = &after[2 + value.len()..];
        }
        Ok(message)
    }
}

/// Takes bytes in as they come and gives messages out. Holds at most one message and what was last read.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    from: usize,
}

impl Decoder {
    /// Takes in what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.from > 0 {
            self.bytes.drain(..self.from);
            self.from = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message.
    ///
    /// # Errors
    /// The bytes cannot be read, and nothing after them.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        let rest = &self.bytes[self.from..];
        let Some(head) = rest.get(..2) else { return Ok(self.nothing()) };
        let size = usize::from(head[0]) << 8 | usize::from(head[1]);
        if size + 2 < HEAD || size + 2 > MAX_MESSAGE_BYTES {
            return Err(DecodeError::Length(size));
        }
        let Some(body) = rest.get(2..2 + size) else { return Ok(self.nothing()) };
        let message = Message::read(body)?;
        self.from += 2 + size;
        Ok(Some(message))
    }

    /// Whether a message has begun and is not whole.
    pub fn has_partial_message(&self) -> bool {
        self.bytes.len() > self.from
    }

    /// An idle connection holds no memory.
    fn nothing(&mut self) -> Option<Message> {
        if !self.has_partial_message() {
            self.bytes = Vec::new();
            self.from = 0;
        }
        None
    }
}

#[cfg(test)]
mod tests;
