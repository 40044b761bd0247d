//! How many files and threads of the process the front may use, and for what.
//!
//! Danger: if a process runs out of memory maps while a thread starts, the runtime aborts it, with every
//! session it plays. If it runs out of files, it cannot set up sessions for viewers that it has admitted. So
//! the front admits only as many players as leave room for its connections to boxes and for itself.

use thiserror::Error;

/// Memory maps per thread: its stack and its signal stack, each with a guard page.
const MAPS_PER_THREAD: u64 = 4;
/// Memory maps of the program, its libraries and its heap.
const RESERVED_MAPS: u64 = 4_000;
/// Files and threads of the front itself.
const RESERVED_FILES_AND_THREADS: u64 = 64;
/// Files per connection to a box: the one its thread uses, and a duplicate to close it by.
const FILES_PER_BOX_CONNECTION: u64 = 2;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum number of open files (`RLIMIT_NOFILE`).
    pub files: u64,
    /// Maximum number of memory maps (`vm.max_map_count`).
    pub maps: u64,
}

/// A limit of the process is too low.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ProcessLimitError {
    /// Too few files.
    #[error("{0} files are needed, but this process may open only {1}")]
    Files(u64, u64),
    /// Too few threads.
    #[error("{0} threads are needed, but the memory maps of this process allow only {1}")]
    Threads(u64, u64),
}

impl ProcessLimits {
    /// Number of threads that the limits allow.
    pub fn threads(&self) -> u64 {
        self.maps.saturating_sub(RESERVED_MAPS) / MAPS_PER_THREAD
    }

    /// Number of player connections possible beside this many connections to boxes.
    pub fn max_players(&self, to_boxes: usize) -> u64 {
        let to_boxes = to_boxes as u64;
        let files =
            self.files.saturating_sub(RESERVED_FILES_AND_THREADS + FILES_PER_BOX_CONNECTION * to_boxes);
        files.min(self.threads().saturating_sub(RESERVED_FILES_AND_THREADS + to_boxes))
    }

    /// Checks whether the limits allow this many connections.
    ///
    /// # Errors
    /// The limit that is too low.
    pub fn check(&self, players: usize, to_boxes: usize) -> Result<(), ProcessLimitError> {
        let (players, to_boxes) = (players as u64, to_boxes as u64);
        let files = RESERVED_FILES_AND_THREADS + players + FILES_PER_BOX_CONNECTION * to_boxes;
        if files > self.files {
            return Err(ProcessLimitError::Files(files, self.files));
        }
        let threads = RESERVED_FILES_AND_THREADS + players + to_boxes;
        if threads > self.threads() {
            return Err(ProcessLimitError::Threads(threads, self.threads()));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn max_players_is_the_largest_number_that_fits() {
        for limits in
            [ProcessLimits { files: 1_024, maps: 65_530 }, ProcessLimits { files: 1_000_000, maps: 65_530 }]
        {
            for to_boxes in [0, 100, 400] {
                let players = usize::try_from(limits.max_players(to_boxes)).unwrap();
                assert_eq!(limits.check(players, to_boxes), Ok(()));
                assert!(limits.check(players + 1, to_boxes).is_err());
            }
        }
        let small = ProcessLimits { files: 256, maps: 65_530 };
        assert_eq!(small.max_players(2_048), 0);
        assert_eq!(small.check(1, 2_048), Err(ProcessLimitError::Files(4_161, 256)));
    }
}
