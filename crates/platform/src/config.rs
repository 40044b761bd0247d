//! The configuration that the platform gives a front node at its start: JSON in the file named by
//! `GW_CONFIG`.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use salttally::interface::{ServerEntry, ServerId, ServerState};
use salttally::platform_settings::{moment_from_ms, PlatformSettings, PlatformSettingsError};
use salttally_front::core::ListEntry;
use serde::Deserialize;
use thiserror::Error;

use crate::wire::values;

/// Why the file cannot be used; the text names the file, the field and the reason.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// An environment variable is not set.
    #[error("{0} is not set")]
    Variable(&'static str),
    /// The file cannot be read.
    #[error("{0}: cannot be read: {1}")]
    Read(PathBuf, std::io::Error),
    /// The file is not JSON of the expected structure.
    #[error("{0}: {1}")]
    Json(PathBuf, serde_json::Error),
    /// The value of a field is invalid.
    #[error("{0}: {1}: {2}")]
    Field(PathBuf, String, String),
    /// The settings are invalid.
    #[error("{0}: settings: {1}")]
    Settings(PathBuf, PlatformSettingsError),
}

/// Resources that the process may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// Processor cores; may be a fraction.
    pub cores: f64,
    /// Memory, MB.
    pub memory_mb: f64,
    /// Number of file descriptors.
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
    /// Name of the node, the same after a restart.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Seed of the random numbers; differs at each start.
    pub seed: u64,
    /// Resources that the process may use.
    pub limits: Limits,
    /// Address of the coordinator, which sends the server list.
    pub coordinator: SocketAddr,
    /// Number of the last known event of the list.
    pub last_event: u64,
    /// The list as of that event, in the order in which it was told; it may be outdated.
    pub known_servers: Vec<ListEntry>,
    /// The settings of the decider and of the sockets.
    pub platform_settings: PlatformSettings,
}

#[derive(Deserialize)]
struct ConfigFile {
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

/// The servers that a series of list events leaves, in the order in which they got their addresses.
#[derive(Default)]
struct KnownServers {
    records: BTreeMap<ServerId, (usize, ListEntry)>,
    next_place: usize,
}

impl KnownServers {
    fn apply(&mut self, record: ListEntry) {
        let server = record.entry.server;
        if record.entry.state == ServerState::Removed {
            self.records.remove(&server);
            return;
        }
        let previous = self.records.get(&server).filter(|(_, known)| known.address == record.address);
        let place = previous.map_or(self.next_place, |(place, _)| *place);
        self.next_place += 1;
        self.records.insert(server, (place, record));
    }

    fn in_order(self) -> Vec<ListEntry> {
        let mut records: Vec<(usize, ListEntry)> = self.records.into_values().collect();
        records.sort_by_key(|(place, _)| *place);
        records.into_iter().map(|(_, record)| record).collect()
    }
}

impl Config {
    /// Reads the configuration file.
    ///
    /// # Errors
    /// The file cannot be read or is invalid; the text names the file, the field and the reason.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = fs::read_to_string(path).map_err(|e| ConfigError::Read(path.into(), e))?;
        Config::parse(&text, path)
    }

    /// Parses the text of a configuration file; `path` is for error messages.
    ///
    /// # Errors
    /// The configuration is invalid.
    pub fn parse(text: &str, path: &Path) -> Result<Config, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text).map_err(|e| ConfigError::Json(path.into(), e))?;
        let field_error = |field: &str, why: &str| ConfigError::Field(path.into(), field.into(), why.into());
        let platform_settings =
            PlatformSettings::from_value(file.settings).map_err(|e| ConfigError::Settings(path.into(), e))?;
        if platform_settings.settings.classes.is_empty() || platform_settings.settings.ladder.is_empty() {
            return Err(field_error("settings", "no classes or no rungs"));
        }
        let seed = match &file.seed {
            serde_json::Value::Number(number) => number.as_u64().unwrap_or(0),
            serde_json::Value::String(text) => u64::from_str_radix(text, 16)
                .map_err(|_| field_error("seed", "neither a number nor hex digits"))?,
            _ => 0,
        };
        let mut known_servers = KnownServers::default();
        for update in file.known.updates {
            if update.endpoints.whole {
                known_servers = KnownServers::default();
            }
            for host in update.endpoints.hosts {
                let listed =
                    host.listed(&platform_settings).map_err(|(field, why)| field_error(field, &why))?;
                known_servers.apply(listed);
            }
        }
        Ok(Config {
            listen: parse_address(path, "listen", &file.listen)?,
            coordinator: parse_address(path, "coordinator", &file.coordinator)?,
            name: file.name,
            seed,
            limits: file.limits,
            last_event: file.known.index,
            known_servers: known_servers.in_order(),
            platform_settings,
        })
    }
}

/// Reads the coordinator's address from a configuration that replaces another one in service. The list and
/// the settings, which are used only at a start, are skipped: with thousands of servers, parsing them takes
/// time in which all clients wait.
///
/// # Errors
/// The file cannot be read or is not JSON, or `coordinator` is invalid.
pub fn load_coordinator(path: &Path) -> Result<SocketAddr, ConfigError> {
    #[derive(Deserialize)]
    struct CoordinatorOnly {
        coordinator: String,
    }
    let text = fs::read_to_string(path).map_err(|e| ConfigError::Read(path.into(), e))?;
    let file: CoordinatorOnly = serde_json::from_str(&text).map_err(|e| ConfigError::Json(path.into(), e))?;
    parse_address(path, "coordinator", &file.coordinator)
}

fn parse_address(path: &Path, field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    let reason = || format!("`{text}` is no address and port");
    text.parse().map_err(|_| ConfigError::Field(path.into(), field.into(), reason()))
}

impl Host {
    fn listed(&self, platform_settings: &PlatformSettings) -> Result<ListEntry, (&'static str, String)> {
        let index_of =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0) as u32;
        let id = values::parse_server_id(&self.host)
            .ok_or(("known.host", format!("`{}` is not a media server id", self.host)))?;
        let state = match self.health.as_str() {
            "active" => ServerState::Ready,
            "leaving" => ServerState::Draining,
            "left" => ServerState::Removed,
            other => return Err(("known.health", format!("unknown state `{other}`"))),
        };
        let address = self.dial.parse();
        Ok(ListEntry {
            entry: ServerEntry {
                server: ServerId(id),
                zone: index_of(&platform_settings.zone_names, &self.site),
                kind: index_of(&platform_settings.kind_names, &self.class),
                cell: self.block,
                state,
                units: self.share.filter(|units| units.is_finite()).unwrap_or(1.0),
                started: Some(moment_from_ms(self.born_ms)).filter(|at| *at > 0),
            },
            address: address.map_err(|_| ("known.dial", format!("`{}` is not an address", self.dial)))?,
        })
    }
}
