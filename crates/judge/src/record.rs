//! The record of a day: one event per line as a JSON object, times in microseconds of one clock.

use std::collections::BTreeMap;
use std::io::BufRead;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One line of a record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Time of the event, in microseconds.
    pub at: u64,
    /// The event.
    #[serde(flatten)]
    pub what: Event,
}

/// An event. `open` identifies one call of one player, whatever id it had on its connection.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// The terms by which the record is judged; the first line.
    Terms(Terms),
    /// A player is about to write `session.open`.
    Opened {
        /// Identifier of the call.
        open: u64,
        /// Front that the call is sent to.
        front: String,
        /// Viewer.
        viewer: String,
        /// Title.
        title: String,
        /// Class.
        class: String,
        /// Time before the player gives up, in microseconds.
        patience: u64,
        /// How long the viewer wants to watch, in microseconds.
        length: u64,
        /// Whether the viewer has called before.
        returned: bool,
    },
    /// A player has read the answer.
    Answered {
        /// Identifier of the call.
        open: u64,
        /// Kind of the answer.
        answer: AnswerKind,
        /// Session id from the answer.
        session: String,
    },
    /// A player is about to write `session.cancel`.
    GaveUp {
        /// Identifier of the call.
        open: u64,
    },
    /// The connection ended before the answer came.
    Cut {
        /// Identifier of the call.
        open: u64,
    },
    /// A player was told that its session moved and must be opened again.
    Moved {
        /// Session id.
        session: String,
    },
    /// A player was told that its session has ended.
    EndTold {
        /// Session id.
        session: String,
    },
    /// A player is about to write `session.close`.
    Closed {
        /// Session id.
        session: String,
    },
    /// A box has read a complete set-up.
    SetUpRead {
        /// Box id.
        server: u32,
        /// Front that sent it.
        front: String,
        /// Session id.
        session: String,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Class.
        class: String,
        /// Title.
        title: String,
        /// Rung.
        rung: usize,
    },
    /// A set-up has ended: a box is about to write its answer, or it saw the connection end, or it died.
    SetUpEnded {
        /// Box id.
        server: u32,
        /// Session id.
        session: String,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// How it ended.
        end: SetUpEnd,
    },
    /// A box is about to confirm a change of rung.
    RungSet {
        /// Box id.
        server: u32,
        /// Session id.
        session: String,
        /// New rung.
        rung: usize,
    },
    /// A session that played at a box has ended.
    Ended {
        /// Box id.
        server: u32,
        /// Session id.
        session: String,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// From now on, sessions at this box receive this share of their rates.
    Share {
        /// Box id.
        server: u32,
        /// The share, from 0 to 1.
        share: f64,
    },
    /// A box has started; `cold` is false for boxes that were running before the day.
    BoxStarted {
        /// Box id.
        server: u32,
        /// Whether it must warm up.
        cold: bool,
    },
    /// A box has crashed or stopped responding.
    BoxDied {
        /// Box id.
        server: u32,
    },
    /// A cold box failed from overload.
    BoxFell {
        /// Box id.
        server: u32,
    },
    /// The list is about to tell a front that a box drains or is gone.
    DrainTold {
        /// Front id.
        front: String,
        /// Box id.
        server: u32,
    },
    /// The list is about to tell a front that a box is ready, whichever state it had before.
    ReadyTold {
        /// Front id.
        front: String,
        /// Box id.
        server: u32,
    },
    /// A front has started; a restarted front has lost what the list told it.
    FrontUp {
        /// Front id.
        front: String,
    },
    /// A front was killed or is shutting down.
    FrontDown {
        /// Front id.
        front: String,
    },
}

/// Kind of an answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerKind {
    /// The session plays.
    Plays,
    /// The session was refused.
    Refused,
    /// The session failed.
    Failed,
}

/// How a set-up ended at the box.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SetUpEnd {
    /// The session plays.
    Began,
    /// The box was full and rejected it without executing it.
    Full,
    /// An error; the set-up may have been executed.
    Error,
    /// The front closed the connection first.
    Closed,
    /// The box crashed or reset the connection.
    Reset,
}

/// How often a set-up of a class may take effect.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectKind {
    /// May be set up repeatedly without harm.
    Safe,
    /// Paid for at set-up: must take effect only once.
    Once,
}

/// Terms of a class, as needed by the rules and the worth.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassTerms {
    /// How often a set-up may take effect.
    pub effect: EffectKind,
    /// Lowest rung.
    pub floor: usize,
    /// Highest rung.
    pub top: usize,
    /// Maximum number of sessions of one title that a front may hold; 0 is unlimited.
    pub seats: usize,
    /// Time within which the session should play, in microseconds.
    pub aim: u64,
    /// Worth of a second played at a rung of worth 1.
    pub gain: f64,
}

/// Budget of further attempts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct BudgetTerms {
    /// Length of the sliding window, in microseconds.
    pub window: u64,
    /// Further attempts allowed in any window.
    pub free: f64,
    /// Additional further attempts for each session accepted in the window.
    pub share: f64,
}

/// The terms by which a record is judged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Terms {
    /// Classes by name.
    pub classes: BTreeMap<String, ClassTerms>,
    /// Worth of each rung.
    pub rungs: Vec<f64>,
    /// Percentage points of worth lost for each percentage point of the delivered rate below 98 %.
    pub stall_cost: f64,
    /// Time after the patience within which an answer is still in time, in microseconds.
    pub answer_slack: u64,
    /// Time after the notice of a drain within which set-ups may still be sent, in microseconds.
    pub drain_grace: u64,
    /// Time that a cold box takes to warm up, in microseconds.
    pub warm_up: u64,
    /// Share of its full pace that a cold box has at its start.
    pub cold_from: f64,
    /// Multiple of its pace at which a cold box fails.
    pub fall_multiple: f64,
    /// Window in which that multiple is measured, in microseconds.
    pub fall_window: u64,
    /// Number of places of a box.
    pub places: u32,
    /// Maximum number of attempts for a session.
    pub attempts: u32,
    /// Budget of further attempts, if limited.
    pub budget: Option<BudgetTerms>,
    /// How late a thread may write an event down, in microseconds: the sides share a clock but not a thread.
    pub lateness: u64,
}

/// Errors of reading a record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// It cannot be read.
    #[error("line {0}: {1}")]
    Read(usize, std::io::Error),
    /// A line is not a valid event.
    #[error("line {0}: {1}")]
    Line(usize, serde_json::Error),
    /// The record doesn't begin with the terms.
    #[error("line 1: a record begins with the terms")]
    NoTerms,
}

/// Reads a record and sorts its lines by time.
///
/// # Errors
/// The record cannot be read, has an invalid line, or doesn't begin with the terms.
pub fn read(record: impl BufRead) -> Result<Vec<Line>, RecordError> {
    let mut lines = Vec::new();
    for (at, text) in record.lines().enumerate() {
        let text = text.map_err(|error| RecordError::Read(at + 1, error))?;
        lines.push(serde_json::from_str(&text).map_err(|error| RecordError::Line(at + 1, error))?);
    }
    lines.sort_by_key(|line: &Line| line.at);
    match lines.first() {
        Some(Line { what: Event::Terms(_), .. }) => Ok(lines),
        _ => Err(RecordError::NoTerms),
    }
}

/// Serializes a line, without the line break.
pub fn write(line: &Line) -> String {
    // Serializing plain data doesn't fail.
    serde_json::to_string(line).unwrap_or_default()
}
