//! Settings of a front, read from KDL and checked against the rules before anything starts.

mod check;
mod read;
pub mod room;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use salttally::interface::{Settings as Module, TitleId, ViewerId};
use salttally_settings::{Document, Read};

use crate::boxes::core::MeterLimits;
use crate::core::process_limits::ProcessLimits;
use crate::core::Limits;
use crate::session_api::core::door::DoorLimits;
use crate::session_api::core::gate::GateLimits;
use crate::session_api::core::watch::WatchLimits;

/// Name of the sub-protocol that a player must offer (RFC 6455 section 1.9).
pub const SUB_PROTOCOL: &str = "session.v1.salttally";

/// All that a front is configured with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The front's name: the same at each start, no other front's.
    pub name: String,
    /// Seed of the module's draws; drawn anew at each start if it is not given.
    pub seed: Option<u64>,
    /// Where players connect.
    pub listen: SocketAddr,
    /// Where the box list is.
    pub box_list: SocketAddr,
    /// Where the list is remembered over a restart.
    pub remember: Option<PathBuf>,
    /// Where the record of decisions goes.
    pub record: Option<PathBuf>,
    /// What the module is told.
    pub module: Module,
    /// Names of the classes, in the module's order.
    pub classes: Vec<String>,
    /// The titles.
    pub titles: BTreeMap<String, Title>,
    /// Limits of the ledger.
    pub limits: Limits,
    /// Limits of the edges.
    pub edges: Edges,
    /// The front acts on rules that are agreed on.
    pub accord: bool,
}

/// Where a title lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Title {
    /// The module's number for it.
    pub id: TitleId,
    /// First cell that holds it.
    pub first_cell: u32,
    /// Cells in a row that hold it.
    pub cells: u32,
}

/// Limits of what reads and writes sockets.
#[derive(Clone, Debug)]
pub struct Edges {
    /// A dial to a box or to the list takes this long at most.
    pub connect: Duration,
    /// Who is let in, and who goes to make room.
    pub door: DoorLimits,
    /// How slow a player may be, and when it counts as vanished.
    pub watch: WatchLimits,
    /// A player's connection on which nothing comes for this long is asked by the kernel whether it still stands.
    pub keep_alive: Duration,
    /// Largest message of a player, bytes.
    pub message: usize,
    /// The number of players is stated, and not what there happens to be room for.
    pub players_stated: bool,
    /// Connections to boxes at most, event streams counted; each has a thread.
    pub to_boxes: usize,
    /// What one box may cost the front's thread.
    pub meter: MeterLimits,
    /// What may wait to be written to a player that does not read, bytes.
    pub backlog: usize,
    /// A player that reads nothing for this long while something waits is cut off.
    pub stalled: Duration,
    /// Least and most patience that a viewer may state, ms.
    pub patience_ms: (u64, u64),
    /// How often one player may ask.
    pub gate: GateLimits,
    /// Calls over their senders' shares that may wait for the front's thread.
    pub calls_over: usize,
    /// Open calls of one player that may wait for their answers at once.
    pub opens: usize,
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Read<Settings> {
        Settings::from_document(&Document::load(path)?)
    }

    /// The same for a process that may have so much: as many players as there is room for are taken, and a number
    /// that is stated must fit.
    pub fn load_within(path: &Path, room: &ProcessLimits) -> Read<Settings> {
        let document = Document::load(path)?;
        let mut settings = Settings::from_document(&document)?;
        check::room(&document.root(), &mut settings, room)?;
        Ok(settings)
    }

    /// Reads and checks a text; `name` stands in errors as the file's name.
    pub fn parse(name: &str, text: &str) -> Read<Settings> {
        Settings::from_document(&Document::parse(name, text)?)
    }

    fn from_document(document: &Document) -> Read<Settings> {
        let root = document.root();
        let settings = read::settings(&root)?;
        check::rules(&root, &settings)?;
        Ok(settings)
    }

    /// Place of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// Rate of a rung for a class, kB a second.
    pub fn rate(&self, class: usize, rung: usize) -> f64 {
        let factor = self.module.classes.get(class).map_or(1.0, |class| class.rate_factor);
        self.module.ladder.get(rung).map_or(0.0, |step| step.kb * factor)
    }

    /// Name of a title, for the boxes.
    pub fn title(&self, id: TitleId) -> &str {
        self.titles.iter().find(|(_, title)| title.id == id).map_or("", |(name, _)| name)
    }
}

/// The module's number for a viewer: a hash of the name that the player gives.
pub fn viewer(name: &str) -> ViewerId {
    ViewerId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
}

/// The number of a viewer's firm: of what stands ahead of the first slash in its name.
pub fn firm(name: &str) -> Option<ViewerId> {
    name.split_once('/').map(|(firm, _)| viewer(firm))
}

#[cfg(test)]
pub(crate) mod tests;
