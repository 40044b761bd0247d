//! Lines of a record of crossings: one JSON object a line, times in microseconds of one clock.

use std::collections::BTreeMap;
use std::io::BufRead;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// When, microseconds.
    pub at: u64,
    /// What crossed, or happened.
    #[serde(flatten)]
    pub what: Event,
}

/// What a line tells. `open` names one call of one player, whatever id it had on its connection.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// What the rules are; the first line.
    Terms(Terms),
    /// A player is about to write `session.open`.
    Opened {
        /// Which call.
        open: u64,
        /// To which front.
        front: String,
        /// Who.
        viewer: String,
        /// What.
        title: String,
        /// Class.
        class: String,
        /// Time before the player gives up, us.
        patience: u64,
        /// How long the viewer would watch, us.
        length: u64,
        /// Not its first try.
        returned: bool,
    },
    /// A player has read the answer.
    Answered {
        /// Which call.
        open: u64,
        /// Its kind.
        answer: AnswerKind,
        /// Session, as the answer names it.
        session: String,
    },
    /// A player is about to write `session.cancel`.
    GaveUp {
        /// Which call.
        open: u64,
    },
    /// The connection ended before the answer came.
    Cut {
        /// Which call.
        open: u64,
    },
    /// A player was told to come again for a session that moved.
    Moved {
        /// Which session.
        session: String,
    },
    /// A player was told that its session is over.
    EndTold {
        /// Which session.
        session: String,
    },
    /// A player is about to write `session.close`.
    Closed {
        /// Which session.
        session: String,
    },
    /// A box has read a set-up whole.
    SetUpRead {
        /// Which box.
        server: u32,
        /// By which front.
        front: String,
        /// Session.
        session: String,
        /// Number of the attempt.
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
        /// Which box.
        server: u32,
        /// Session.
        session: String,
        /// Number of the attempt.
        attempt: u32,
        /// How.
        end: SetUpEnd,
    },
    /// A box is about to confirm a change of rung.
    RungSet {
        /// Which box.
        server: u32,
        /// Session.
        session: String,
        /// New rung.
        rung: usize,
    },
    /// A session that played at a box is over.
    Ended {
        /// Which box.
        server: u32,
        /// Session.
        session: String,
        /// Number of the attempt.
        attempt: u32,
    },
    /// From now on sessions at this box get this share of their rates.
    Share {
        /// Which box.
        server: u32,
        /// The share, from 0 to 1.
        share: f64,
    },
    /// A box has started; `cold` is false for those that ran before the day.
    BoxStarted {
        /// Which box.
        server: u32,
        /// Whether it must warm up.
        cold: bool,
    },
    /// A box has died or gone silent.
    BoxDied {
        /// Which box.
        server: u32,
    },
    /// A cold box was pushed over.
    BoxFell {
        /// Which box.
        server: u32,
    },
    /// The list is about to tell a front that a box drains or is gone.
    DrainTold {
        /// Which front.
        front: String,
        /// Which box.
        server: u32,
    },
    /// The list is about to tell a front that a box is ready, whatever it was before.
    ReadyTold {
        /// Which front.
        front: String,
        /// Which box.
        server: u32,
    },
    /// A front has started; one that starts again has forgotten what it was told.
    FrontUp {
        /// Which front.
        front: String,
    },
    /// A front was killed, or is being ended.
    FrontDown {
        /// Which front.
        front: String,
    },
}

/// Kind of an answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerKind {
    /// It plays.
    Plays,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
}

/// How a set-up ended at the box.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SetUpEnd {
    /// The session plays.
    Began,
    /// Sent back unseen.
    Full,
    /// An error; it may have run.
    Error,
    /// The front closed the connection first.
    Closed,
    /// The box died or the connection was reset by it.
    Reset,
}

/// How often a set-up of a class may take effect.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectKind {
    /// May be set up again without harm.
    Safe,
    /// Paid for at set-up.
    Once,
}

/// A class as the rules and the worth need it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassTerms {
    /// How often a set-up may take effect.
    pub effect: EffectKind,
    /// Lowest rung.
    pub floor: usize,
    /// Highest rung.
    pub top: usize,
    /// Sessions of one title that a front may hold; 0 is no cap.
    pub seats: usize,
    /// Wanted playing within, us.
    pub aim: u64,
    /// Worth of a second at a rung of worth 1.
    pub gain: f64,
}

/// A ration of further attempts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct BudgetTerms {
    /// Window, us.
    pub window: u64,
    /// Free in any window.
    pub free: f64,
    /// For each session taken in it.
    pub share: f64,
}

/// What the rules are.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Terms {
    /// Classes by name.
    pub classes: BTreeMap<String, ClassTerms>,
    /// Worth of each rung.
    pub rungs: Vec<f64>,
    /// Points of worth lost for each point of the rate missing under 98 in 100.
    pub stall_cost: f64,
    /// An answer may come so long after the patience, us.
    pub answer_slack: u64,
    /// Sends must stop so long after the word of a drain, us.
    pub drain_grace: u64,
    /// Time to warm up, us.
    pub warm_up: u64,
    /// Part of its pace that a box has at its start.
    pub cold_from: f64,
    /// Multiple of its pace at which it falls.
    pub fall_multiple: f64,
    /// Window of that, us.
    pub fall_window: u64,
    /// Places of a box.
    pub places: u32,
    /// Attempts for a session at most.
    pub attempts: u32,
    /// Ration of further attempts.
    pub budget: Option<BudgetTerms>,
    /// A thread that has something to write down may be so late, us: the sides share a clock, not a thread.
    pub lateness: u64,
}

/// What is wrong with a record.
#[derive(Debug, Error)]
pub enum BadRecord {
    /// It cannot be read.
    #[error("line {0}: {1}")]
    Read(usize, std::io::Error),
    /// Not a line of a record.
    #[error("line {0}: {1}")]
    Line(usize, serde_json::Error),
    /// It does not say what the rules are.
    #[error("line 1: a record begins with the terms")]
    NoTerms,
}

/// Reads a record; lines come out in the order of their times.
pub fn read(record: impl BufRead) -> Result<Vec<Line>, BadRecord> {
    let mut lines = Vec::new();
    for (at, text) in record.lines().enumerate() {
        let text = text.map_err(|error| BadRecord::Read(at + 1, error))?;
        lines.push(serde_json::from_str(&text).map_err(|error| BadRecord::Line(at + 1, error))?);
    }
    lines.sort_by_key(|line: &Line| line.at);
    match lines.first() {
        Some(Line { what: Event::Terms(_), .. }) => Ok(lines),
        _ => Err(BadRecord::NoTerms),
    }
}

/// Writes a line, without its end.
pub fn write(line: &Line) -> String {
    // Plain data: writing it does not fail.
    serde_json::to_string(line).unwrap_or_default()
}
