//! Reads the configuration again at SIGHUP: the address of the coordinator, and nothing else.
//!
//! The signal may arrive while the file is still being written. A file that is not complete is read again for
//! a while; otherwise the node would go on following the coordinator that the new file replaces.

use std::net::SocketAddr;
use std::path::PathBuf;

use salttally::interface::Micros;

use crate::config::{load_coordinator, ConfigError};

/// The first pause before an incomplete file is read again, which doubles, and the longest one.
const FIRST_PAUSE: Micros = 20_000;
const MAX_PAUSE: Micros = 160_000;
/// A file that is incomplete for this long after the signal is ignored.
const RETRY_TIMEOUT: Micros = 3_000_000;

/// The configuration file, and when to read it again.
pub(super) struct Reload {
    path: PathBuf,
    retry: Option<Retry>,
}

#[derive(Clone, Copy)]
struct Retry {
    due: Micros,
    pause: Micros,
    deadline: Micros,
}

impl Reload {
    /// Reloads the configuration from this file, which was read at the start.
    pub fn new(path: PathBuf) -> Reload {
        Reload { path, retry: None }
    }

    /// When the file is to be read again, if it is.
    pub fn next_due(&self) -> Option<Micros> {
        self.retry.map(|retry| retry.due)
    }

    /// Reads the file after SIGHUP. Returns the coordinator, if the file is complete.
    pub fn reload(&mut self, now: Micros) -> Option<SocketAddr> {
        self.read(now, Retry { due: now, pause: FIRST_PAUSE, deadline: now + RETRY_TIMEOUT })
    }

    /// Reads an incomplete file again, when that is due.
    pub fn retry(&mut self, now: Micros) -> Option<SocketAddr> {
        let retry = self.retry.filter(|retry| retry.due <= now)?;
        self.read(now, retry)
    }

    fn read(&mut self, now: Micros, attempt: Retry) -> Option<SocketAddr> {
        self.retry = None;
        match load_coordinator(&self.path) {
            Ok(coordinator) => {
                tracing::info!(%coordinator, "configuration reloaded");
                Some(coordinator)
            }
            Err(error) if is_partial(&error) && now < attempt.deadline => {
                let due = now + attempt.pause;
                let pause = (attempt.pause * 2).min(MAX_PAUSE);
                self.retry = Some(Retry { due, pause, ..attempt });
                tracing::info!(%error, pause_ms = attempt.pause / 1000, "configuration file is incomplete, reading it again");
                None
            }
            Err(error) => {
                tracing::warn!(%error, "new configuration ignored");
                None
            }
        }
    }
}

/// Whether the file may be incomplete, or missing while it is being renamed.
fn is_partial(error: &ConfigError) -> bool {
    matches!(error, ConfigError::Read(..) | ConfigError::Json(..))
}
