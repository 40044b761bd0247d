//! Reads the limits of this process from the system.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

use crate::core::process_limits::ProcessLimits;

/// The kernel's default, for systems that do not report the number of memory maps.
const DEFAULT_MAX_MAP_COUNT: u64 = 65_530;

/// Raises the limit of open files to the maximum for this process, and returns the resulting limits.
pub fn raise_and_read() -> ProcessLimits {
    let limit = getrlimit(Resource::Nofile);
    // If the system refuses, the limit stays as it is.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    let files = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let maps = std::fs::read_to_string("/proc/sys/vm/max_map_count");
    let maps = maps.ok().and_then(|text| text.trim().parse().ok()).unwrap_or(DEFAULT_MAX_MAP_COUNT);
    ProcessLimits { files, maps }
}
