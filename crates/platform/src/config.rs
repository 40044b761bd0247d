//! What the platform tells a front node at its start, as JSON in the file that `GW_CONFIG` names.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use salttally::interface::{ServerEntry, ServerId, ServerState};
use salttally::platform_settings::{PlatformSettings, PlatformSettingsError};
use salttally_front::core::Listed;
use serde::Deserialize;
use thiserror::Error;

use crate::wire::words;

/// Why the file cannot be used; the text names file, field and reason.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable is not set.
    #[error("{0} is not set")]
    Variable(&'static str),
    /// The file cannot be read.
    #[error("{0}: cannot be read: {1}")]
    Read(PathBuf, std::io::Error),
    /// It is not the JSON that it should be.
    #[error("{0}: {1}")]
    Json(PathBuf, serde_json::Error),
    /// A field cannot be used.
    #[error("{0}: {1}: {2}")]
    Field(PathBuf, String, String),
    /// The settings cannot be used.
    #[error("{0}: settings: {1}")]
    Settings(PathBuf, PlatformSettingsError),
}

/// What the process may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// Part of a core.
    pub cores: f64,
    /// Memory, MB.
    pub memory_mb: f64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cores: 1.0, memory_mb: 192.0, sockets: 1024 }
    }
}

/// The configuration of a front node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of the draws; new with each start.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// Where the list is told.
    pub coordinator: SocketAddr,
    /// Number of the last event that is known.
    pub index: u64,
    /// The list as known: it may be old.
    pub known: Vec<Listed>,
    /// The settings of the module and of the sockets.
    pub facts: PlatformSettings,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    #[serde(default)]
    seed: serde_json::Value,
    #[serde(default)]
    limits: Limits,
    coordinator: String,
    #[serde(default)]
    known: Known,
    settings: serde_json::Value,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Known {
    index: u64,
    updates: Vec<Update>,
}

#[derive(Deserialize)]
struct Update {
    endpoints: Endpoints,
}

#[derive(Deserialize)]
struct Endpoints {
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Host {
    host: String,
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u32,
    health: String,
    #[serde(default)]
    share: Option<f64>,
    #[serde(default)]
    born_ms: f64,
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    /// It cannot be read or used; the text names file, field and reason.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = fs::read_to_string(path).map_err(|e| ConfigError::Read(path.into(), e))?;
        Config::parse(&text, path)
    }

    /// The same from its text.
    ///
    /// # Errors
    /// It cannot be used.
    pub fn parse(text: &str, path: &Path) -> Result<Config, ConfigError> {
        let file: File = serde_json::from_str(text).map_err(|e| ConfigError::Json(path.into(), e))?;
        let bad = |field: &str, why: &str| ConfigError::Field(path.into(), field.into(), why.into());
        let facts =
            PlatformSettings::from_value(file.settings).map_err(|e| ConfigError::Settings(path.into(), e))?;
        if facts.settings.classes.is_empty() || facts.settings.ladder.is_empty() {
            return Err(bad("settings", "no class or no rung"));
        }
        let seed = match &file.seed {
            serde_json::Value::Number(number) => number.as_u64().unwrap_or(0),
            serde_json::Value::String(text) => {
                u64::from_str_radix(text, 16).map_err(|_| bad("seed", "neither a number nor hex digits"))?
            }
            _ => 0,
        };
        let mut known: BTreeMap<ServerId, Listed> = BTreeMap::new();
        for update in file.known.updates {
            if update.endpoints.whole {
                known.clear();
            }
            for host in update.endpoints.hosts {
                let listed = host.listed(&facts).map_err(|(field, why)| bad(field, &why))?;
                let server = listed.entry.server;
                if listed.entry.state == ServerState::Removed {
                    known.remove(&server);
                } else {
                    known.insert(server, listed);
                }
            }
        }
        Ok(Config {
            listen: parse_address(path, "listen", &file.listen)?,
            coordinator: parse_address(path, "coordinator", &file.coordinator)?,
            name: file.name,
            seed,
            limits: file.limits,
            index: file.known.index,
            known: known.into_values().collect(),
            facts,
        })
    }
}

/// Where the coordinator is, by a configuration that replaces another one in service. The list and the settings in it, which
/// a start alone takes, are read over: with thousands of servers they take time in which everybody waits.
///
/// # Errors
/// The file cannot be read or is not JSON, or `coordinator` cannot be used.
pub fn load_coordinator(path: &Path) -> Result<SocketAddr, ConfigError> {
    #[derive(Deserialize)]
    struct Renewed {
        coordinator: String,
    }
    let text = fs::read_to_string(path).map_err(|e| ConfigError::Read(path.into(), e))?;
    let file: Renewed = serde_json::from_str(&text).map_err(|e| ConfigError::Json(path.into(), e))?;
    parse_address(path, "coordinator", &file.coordinator)
}

fn parse_address(path: &Path, field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    let why = || format!("`{text}` is no address and port");
    text.parse().map_err(|_| ConfigError::Field(path.into(), field.into(), why()))
}

impl Host {
    fn listed(&self, facts: &PlatformSettings) -> Result<Listed, (&'static str, String)> {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0) as u32;
        let id = words::server_id(&self.host)
            .ok_or(("known.host", format!("`{}` is no media server", self.host)))?;
        let state = match self.health.as_str() {
            "active" => ServerState::Ready,
            "leaving" => ServerState::Draining,
            "left" => ServerState::Removed,
            other => return Err(("known.health", format!("`{other}` is no state"))),
        };
        let address = self.dial.parse();
        Ok(Listed {
            entry: ServerEntry {
                server: ServerId(id),
                zone: place(&facts.zone_names, &self.site),
                kind: place(&facts.kind_names, &self.class),
                cell: self.block,
                state,
                units: self.share.filter(|units| units.is_finite()).unwrap_or(1.0),
                started: Some(salttally::platform_settings::micros_from_ms(self.born_ms))
                    .filter(|at| *at > 0),
            },
            address: address.map_err(|_| ("known.dial", format!("`{}` is no address", self.dial)))?,
        })
    }
}
