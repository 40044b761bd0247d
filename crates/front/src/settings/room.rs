//! What this process may have, asked of the system.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

use crate::core::process_limits::ProcessLimits;

/// Memory maps where the system does not tell: the kernel's default.
const MAPS: u64 = 65_530;

/// Raises the limit of open files to what this process may have at most, and tells what that is.
pub fn of_process() -> ProcessLimits {
    let limit = getrlimit(Resource::Nofile);
    // Refused, the limit stays as it is.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    let files = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let maps = std::fs::read_to_string("/proc/sys/vm/max_map_count");
    let maps = maps.ok().and_then(|text| text.trim().parse().ok()).unwrap_or(MAPS);
    ProcessLimits { files, maps }
}
