//! Settings of a front, read from KDL and checked against the rules at the start.

mod check;
pub mod process_limits;
mod read;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use salttally::interface::{Settings as DecisionSettings, TitleId, ViewerId};
use salttally_settings::{Document, Read};

use crate::boxes::core::MeterLimits;
use crate::core::process_limits::ProcessLimits;
use crate::core::Limits;
use crate::session_api::core::admission::AdmissionLimits;
use crate::session_api::core::rate_limit::RateLimits;
use crate::session_api::core::watchdog::WatchdogLimits;

/// Name of the sub-protocol that a player must offer (RFC 6455 section 1.9).
pub const SUB_PROTOCOL: &str = "session.v1.salttally";

/// The settings of a front.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the front: unique in the fleet, and the same at each start.
    pub name: String,
    /// Seed of the decision module's random numbers; chosen at each start if not given.
    pub seed: Option<u64>,
    /// Address that players connect to.
    pub listen: SocketAddr,
    /// Address of the box list.
    pub box_list: SocketAddr,
    /// File in which the box list is saved for the next start.
    pub saved_list: Option<PathBuf>,
    /// File for the record of decisions.
    pub record: Option<PathBuf>,
    /// Settings of the decision module.
    pub decision: DecisionSettings,
    /// Names of the classes, in the order of the decision module.
    pub classes: Vec<String>,
    /// The titles by name.
    pub titles: BTreeMap<String, Title>,
    /// Limits of the session engine.
    pub limits: Limits,
    /// Limits of sockets and connections.
    pub io: IoLimits,
    /// Whether the front acts on rules that the fronts agree on.
    pub accord: bool,
}

/// Where a title is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Title {
    /// Number of the title in the decision module.
    pub id: TitleId,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Number of consecutive cells that hold it.
    pub cells: u32,
}

/// Limits of sockets and connections.
#[derive(Clone, Debug)]
pub struct IoLimits {
    /// Time-out for connecting to a box or to the box list.
    pub connect_timeout: Duration,
    /// Which connections of players are accepted, and which are dropped to make room.
    pub admission: AdmissionLimits,
    /// How slow a player may be, and when it counts as unresponsive.
    pub watchdog: WatchdogLimits,
    /// Idle time of a player's connection after which the kernel sends TCP keep-alive probes.
    pub tcp_keep_alive: Duration,
    /// Maximum size of a player's message.
    pub max_message_bytes: usize,
    /// Whether the number of players is configured, or derived from the process limits.
    pub players_configured: bool,
    /// Maximum number of connections to boxes, including event streams; each has a thread.
    pub max_box_connections: usize,
    /// Limits on the events of one box.
    pub event_meter: MeterLimits,
    /// Maximum number of bytes that wait to be written to one player.
    pub max_backlog_bytes: usize,
    /// A player that takes no bytes for this long, while some wait, is disconnected.
    pub stall_timeout: Duration,
    /// Minimum and maximum patience that a viewer may state, ms.
    pub patience_ms: (u64, u64),
    /// Rate limit for the calls of one player.
    pub call_rate: RateLimits,
    /// Maximum number of deferred messages: their players have used up their share of the engine thread, and
    /// they wait until it is idle.
    pub max_deferred_calls: usize,
    /// Maximum number of pending opens of one player.
    pub max_pending_opens: usize,
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Read<Settings> {
        Settings::from_document(&Document::load(path)?)
    }

    /// Reads and checks a file for a process with these limits. If the number of players is not configured it
    /// is derived from the limits; a configured number must fit them.
    pub fn load_for_process(path: &Path, process: &ProcessLimits) -> Read<Settings> {
        let document = Document::load(path)?;
        let mut settings = Settings::from_document(&document)?;
        check::fit_to_process(&document.root(), &mut settings, process)?;
        Ok(settings)
    }

    /// Reads and checks a text; `name` is the file name in errors.
    pub fn parse(name: &str, text: &str) -> Read<Settings> {
        Settings::from_document(&Document::parse(name, text)?)
    }

    fn from_document(document: &Document) -> Read<Settings> {
        let root = document.root();
        let settings = read::read_settings(&root)?;
        check::check_rules(&root, &settings)?;
        Ok(settings)
    }

    /// Index of a class by name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// Rate of a rung for a class, kB per second.
    pub fn rate_kb(&self, class: usize, rung: usize) -> f64 {
        let factor = self.decision.classes.get(class).map_or(1.0, |class| class.rate_factor);
        self.decision.ladder.get(rung).map_or(0.0, |rung| rung.kb * factor)
    }

    /// Name of a title, for requests to boxes.
    pub fn title_name(&self, id: TitleId) -> &str {
        self.titles.iter().find(|(_, title)| title.id == id).map_or("", |(name, _)| name)
    }
}

/// The decision module's number for a viewer: a hash of the name that the player sends.
pub fn viewer_id(name: &str) -> ViewerId {
    ViewerId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
}

/// The number of a viewer's tenant, which is the part of its name before the first slash.
pub fn tenant_id(name: &str) -> Option<ViewerId> {
    name.split_once('/').map(|(tenant, _)| viewer_id(tenant))
}

#[cfg(test)]
pub(crate) mod tests;
