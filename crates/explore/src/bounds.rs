//! Bounds of an exploration: the size of the world and the faults that may occur in it.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Decider of the explored fronts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Layer {
    /// A decider that may request any action of the decider interface at any time.
    Anything,
    /// The decision module.
    Module,
}

/// Kinds of faults: moves of the world that do not occur in normal operation.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A box dies; it may restart cold with the same id.
    Death,
    /// A box answers that it is full.
    Full,
    /// A box answers with an error.
    Error,
    /// An answer is lost: the connection breaks after the box has received the request.
    LostAnswer,
    /// A connection breaks before the box has received the complete request.
    Unwritten,
    /// A kept-alive connection turns out to be closed.
    Stale,
    /// A connection attempt times out.
    NoDial,
    /// A box is drained, removed or restored.
    Drain,
    /// A viewer gives up.
    GiveUp,
    /// A viewer's connection closes.
    Gone,
    /// A viewer's machine disappears without closing its connection; it may come back for its session.
    Silent,
    /// A viewer opens again, at any front, after a refusal or the loss of its session.
    Again,
    /// An event stream breaks.
    Stream,
    /// A front dies and restarts with an outdated list.
    Front,
    /// The box ends a session.
    Ended,
    /// A set-up exceeds its time limit: time passes while it is in flight.
    Late,
}

impl Fault {
    /// All kinds, with their command-line names.
    pub const ALL: [(&'static str, Fault); 16] = [
        ("death", Fault::Death),
        ("full", Fault::Full),
        ("error", Fault::Error),
        ("lost-answer", Fault::LostAnswer),
        ("unwritten", Fault::Unwritten),
        ("stale", Fault::Stale),
        ("no-dial", Fault::NoDial),
        ("drain", Fault::Drain),
        ("give-up", Fault::GiveUp),
        ("gone", Fault::Gone),
        ("silent", Fault::Silent),
        ("again", Fault::Again),
        ("stream", Fault::Stream),
        ("front", Fault::Front),
        ("ended", Fault::Ended),
        ("late", Fault::Late),
    ];
}

/// Bounds of a search.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bounds {
    /// Number of fronts.
    pub fronts: u32,
    /// Number of boxes; each serves the only title.
    pub boxes: u32,
    /// Number of viewers, each with one session.
    pub sessions: u32,
    /// Number of sessions of the paid class: the first ones.
    pub paid: u32,
    /// Kinds of faults that may occur.
    pub faults: Vec<Fault>,
    /// Largest number of faults on one path.
    #[serde(rename = "troubles")]
    pub max_faults: u32,
    /// Largest number of moves on one path.
    pub depth: usize,
    /// Decider of the fronts.
    pub layer: Layer,
    /// Largest number of invalid requests on one path, of the decider that may request anything.
    #[serde(rename = "wrong")]
    pub max_wrong_requests: u32,
    /// Drain grace, ms: no set-up is sent to a box later than this after the front learned of the drain.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
}

/// Shortest drain grace that a front has to support, ms.
fn default_grace_ms() -> u64 {
    250
}

/// Invalid bounds.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum BadBounds {
    /// There is nothing to explore, or more paid sessions than sessions.
    #[error(
        "fronts, boxes, sessions and depth must be 1 at least, and no more sessions paid than there are"
    )]
    Empty,
    /// A count exceeds the number of distinguishable names.
    #[error("{0} exceeds {1}, the number that a search can distinguish")]
    TooMany(&'static str, u32),
}

impl Bounds {
    /// Returns the bounds of the exploration that runs in CI and takes seconds.
    pub fn small(layer: Layer) -> Bounds {
        Bounds {
            fronts: 1,
            boxes: 2,
            sessions: 1,
            paid: 1,
            faults: Fault::ALL.iter().map(|(_, fault)| *fault).collect(),
            max_faults: 2,
            depth: 40,
            layer,
            max_wrong_requests: 1,
            grace_ms: default_grace_ms(),
        }
    }

    /// Validates the bounds.
    pub fn check(&self) -> Result<(), BadBounds> {
        if self.fronts == 0
            || self.boxes == 0
            || self.sessions == 0
            || self.depth == 0
            || self.paid > self.sessions
        {
            return Err(BadBounds::Empty);
        }
        for (name, value, limit) in
            [("fronts", self.fronts, 99), ("boxes", self.boxes, 99), ("sessions", self.sessions, 999)]
        {
            if value > limit {
                return Err(BadBounds::TooMany(name, limit));
            }
        }
        Ok(())
    }

    /// Estimates the number of states from measured growth factors, one for each bound, to warn before a search that
    /// would not finish.
    pub fn estimate(&self) -> f64 {
        let factor = |base: f64, count: u32| base.powi(count.saturating_sub(1) as i32);
        let decider_factor =
            if self.layer == Layer::Anything { factor(6.0, self.max_wrong_requests + 1) } else { 1.0 };
        let kind_share = self.faults.len() as f64 / Fault::ALL.len() as f64;
        let fault_factor = (10.0 * kind_share).max(1.0).powi(self.max_faults as i32);
        60.0 * fault_factor
            * factor(60.0, self.sessions)
            * factor(3.0, self.boxes)
            * factor(3.0, self.fronts)
            * decider_factor
    }
}

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let layer = if self.layer == Layer::Module { "the module" } else { "any decider" };
        write!(
            f,
            "{} fronts, {} boxes, {} sessions ({} paid), {} of {} kinds of faults, at most {} on a path, {layer}",
            self.fronts,
            self.boxes,
            self.sessions,
            self.paid,
            self.faults.len(),
            Fault::ALL.len(),
            self.max_faults
        )
    }
}
