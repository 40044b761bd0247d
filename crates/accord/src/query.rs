//! An operator's question to a running front, over a connection of its own and under the front's keys: whoever may ask is
//! whoever has the settings.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use thiserror::Error;

use crate::settings::Settings;
use crate::wire::{self, BadFrame, Frame, Question};

/// Longer than a proposal waits to be agreed on.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum AskError {
    /// Nobody there.
    #[error("cannot ask {0}: {1}")]
    Connect(SocketAddr, io::Error),
    /// It hangs up, or says nothing in time.
    #[error("{0} does not answer: it has other keys, or stands still ({1})")]
    Silent(SocketAddr, io::Error),
    /// What it says cannot be used.
    #[error("{0}: {1}")]
    Frame(SocketAddr, BadFrame),
    /// It answers that it can't, and why.
    #[error("{0}")]
    Refused(String),
}

/// Asks the front of these settings; the answer is JSON.
///
/// # Errors
/// It does not answer, or refuses.
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
