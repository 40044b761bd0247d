//! An operator's query to a running front, over its own connection and authenticated by the front's keys:
//! whoever can read the settings may ask.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use thiserror::Error;

use crate::settings::Settings;
use crate::wire::{self, BadFrame, Frame, Question};

/// Longer than the timeout of a proposal.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a query failed.
#[derive(Debug, Error)]
pub enum AskError {
    /// The front cannot be reached.
    #[error("cannot ask {0}: {1}")]
    Connect(SocketAddr, io::Error),
    /// The front closed the connection or did not answer in time.
    #[error("{0} does not answer: it has other keys, or stands still ({1})")]
    Silent(SocketAddr, io::Error),
    /// The answer cannot be decoded.
    #[error("{0}: {1}")]
    Frame(SocketAddr, BadFrame),
    /// The front refused, with the reason.
    #[error("{0}")]
    Refused(String),
}

/// Sends a query to the front of these settings; the answer is JSON.
///
/// # Errors
/// The front did not answer, or refused.
pub fn ask(settings: &Settings, question: Question) -> Result<String, AskError> {
    let to = settings.bind;
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))
        .map_err(|error| AskError::Connect(to, error))?;
    let silent = |error| AskError::Silent(to, error);
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).map_err(silent)?;
    let bytes = wire::encode(&Frame::Question(1, question), &settings.keys)
        .map_err(|error| AskError::Frame(to, error))?;
    stream.write_all(&bytes).map_err(silent)?;
    let (mut heard, mut part) = (Vec::new(), [0; 16 * 1024]);
    loop {
        if let Some((frame, used)) = wire::decode(&heard, &settings.keys, wire::MAX_FRAME_BYTES)
            .map_err(|error| AskError::Frame(to, error))?
        {
            heard.drain(..used);
            if let Frame::Answer(1, answer) = frame {
                return answer.map_err(AskError::Refused);
            }
            continue;
        }
        match stream.read(&mut part).map_err(silent)? {
            0 => return Err(silent(io::ErrorKind::UnexpectedEof.into())),
            count => heard.extend_from_slice(&part[..count]),
        }
    }
}
