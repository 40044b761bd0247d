//! How large a world is, and what may go wrong in it.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Who decides in the fronts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Layer {
    /// A decider that may ask for anything the interface has, at any moment.
    Anything,
    /// The module.
    Module,
}

/// A kind of trouble: a move of the world that a good day does not have.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A box dies; it may start again with its id, cold.
    Death,
    /// A box answers that it is full.
    Full,
    /// A box answers with an error.
    Error,
    /// An answer is lost: the connection breaks after the box has taken the request.
    LostAnswer,
    /// A connection breaks before the box has the request whole.
    Unwritten,
    /// A kept connection is found closed.
    Stale,
    /// A dial is not answered.
    NoDial,
    /// A box drains, is gone, comes back.
    Drain,
    /// A viewer gives up.
    GiveUp,
    /// A viewer's connection ends.
    Gone,
    /// A viewer's machine is gone without a word; it may come back for its session.
    Silent,
    /// A viewer asks again, at any front, after a refusal or a loss.
    Again,
    /// An event stream breaks.
    Stream,
    /// A front dies and is born again with an old list.
    Front,
    /// The box ends a session.
    Ended,
    /// A set-up takes longer than it may: time passes while it is out.
    Late,
}

impl Fault {
    /// All kinds, with the names that the command line has for them.
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
    /// Fronts.
    pub fronts: u32,
    /// Boxes, each with the one title.
    pub boxes: u32,
    /// Viewers, each with one session.
    pub sessions: u32,
    /// Of those, the first so many are of the paid class.
    pub paid: u32,
    /// Kinds of trouble that may occur.
    pub faults: Vec<Fault>,
    /// Troubles on one path at most.
    pub troubles: u32,
    /// Moves on one path at most.
    pub depth: usize,
    /// Who decides.
    pub layer: Layer,
    /// Wrong requests of a decider that asks for anything, on one path at most.
    pub wrong: u32,
    /// Nothing new to a box so long after the word of its drain, ms.
    #[serde(default = "grace")]
    pub grace_ms: u64,
}

/// The shortest grace that is asked of a front.
fn grace() -> u64 {
    250
}

/// Bounds that are refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum BadBounds {
    /// Nothing to explore.
    #[error(
        "fronts, boxes, sessions and depth must be 1 at least, and no more sessions paid than there are"
    )]
    Empty,
    /// More than names are for.
    #[error("{0} is over the {1} that a search can tell apart")]
    TooMany(&'static str, u32),
}

impl Bounds {
    /// The size that is explored at every change, in seconds.
    pub fn small(layer: Layer) -> Bounds {
        Bounds {
            fronts: 1,
            boxes: 2,
            sessions: 1,
            paid: 1,
            faults: Fault::ALL.iter().map(|(_, fault)| *fault).collect(),
            troubles: 2,
            depth: 40,
            layer,
            wrong: 1,
            grace_ms: grace(),
        }
    }

    /// Checks the bounds.
    pub fn check(&self) -> Result<(), BadBounds> {
        if self.fronts == 0
            || self.boxes == 0
            || self.sessions == 0
            || self.depth == 0
            || self.paid > self.sessions
        {
            return Err(BadBounds::Empty);
        }
        for (name, value, most) in
            [("fronts", self.fronts, 99), ("boxes", self.boxes, 99), ("sessions", self.sessions, 999)]
        {
            if value > most {
                return Err(BadBounds::TooMany(name, most));
            }
        }
        Ok(())
    }

    /// States to expect, from the growth that was measured: each bound multiplies. It is told before a search starts
    /// that would not end.
    pub fn estimate(&self) -> f64 {
        let by = |base: f64, count: u32| base.powi(count.saturating_sub(1) as i32);
        let decider = if self.layer == Layer::Anything { by(6.0, self.wrong + 1) } else { 1.0 };
        let kinds = self.faults.len() as f64 / Fault::ALL.len() as f64;
        let troubles = (10.0 * kinds).max(1.0).powi(self.troubles as i32);
        60.0 * troubles * by(60.0, self.sessions) * by(3.0, self.boxes) * by(3.0, self.fronts) * decider
    }
}

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let layer = if self.layer == Layer::Module { "the module" } else { "any decider" };
        write!(
            f,
            "{} fronts, {} boxes, {} sessions ({} paid), {} of {} kinds of trouble, {} on a path, {layer}",
            self.fronts,
            self.boxes,
            self.sessions,
            self.paid,
            self.faults.len(),
            Fault::ALL.len(),
            self.troubles
        )
    }
}
