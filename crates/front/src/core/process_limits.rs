//! What of the process's files and threads a front may use up, and for whom.
//!
//! Danger: a process that runs out of memory maps while a thread starts is ended by the runtime, with all that it
//! plays; one that runs out of files cannot set up sessions for viewers that it has let in. So the front takes no
//! more players than leave room for its connections to boxes, and for itself.

use thiserror::Error;

/// Memory maps of a thread: its stack and the one for signals, each with a guard.
const MAPS_A_THREAD: u64 = 4;
/// Maps of the program, its libraries and its heap.
const MAPS_ASIDE: u64 = 4_000;
/// Files and threads of the front itself.
const OWN: u64 = 64;
/// Files of a connection to a box: the thread's own, and the one by which it is closed.
const FILES_A_BOX: u64 = 2;

/// What the process may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Open files at most (`RLIMIT_NOFILE`).
    pub files: u64,
    /// Memory maps at most (`vm.max_map_count`).
    pub maps: u64,
}

/// There is no room for so many.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ProcessLimitError {
    /// Of files.
    #[error("{0} files are needed, and this process may open {1}")]
    Files(u64, u64),
    /// Of threads.
    #[error("{0} threads are needed, and the memory maps of this process allow for {1}")]
    Threads(u64, u64),
}

impl ProcessLimits {
    /// Threads that this room allows for.
    pub fn threads(&self) -> u64 {
        self.maps.saturating_sub(MAPS_ASIDE) / MAPS_A_THREAD
    }

    /// Connections of players for which there is room beside so many to boxes.
    pub fn max_players(&self, to_boxes: usize) -> u64 {
        let to_boxes = to_boxes as u64;
        let files = self.files.saturating_sub(OWN + FILES_A_BOX * to_boxes);
        files.min(self.threads().saturating_sub(OWN + to_boxes))
    }

    /// Whether there is room for all of these.
    ///
    /// # Errors
    /// What there is too little of.
    pub fn check(&self, players: usize, to_boxes: usize) -> Result<(), ProcessLimitError> {
        let (players, to_boxes) = (players as u64, to_boxes as u64);
        let files = OWN + players + FILES_A_BOX * to_boxes;
        if files > self.files {
            return Err(ProcessLimitError::Files(files, self.files));
        }
        let threads = OWN + players + to_boxes;
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
    fn there_is_room_for_as_many_players_as_is_said_and_for_no_more() {
        for room in
            [ProcessLimits { files: 1_024, maps: 65_530 }, ProcessLimits { files: 1_000_000, maps: 65_530 }]
        {
            for to_boxes in [0, 100, 400] {
                let players = usize::try_from(room.max_players(to_boxes)).unwrap();
                assert_eq!(room.check(players, to_boxes), Ok(()));
                assert!(room.check(players + 1, to_boxes).is_err());
            }
        }
        let small = ProcessLimits { files: 256, maps: 65_530 };
        assert_eq!(small.max_players(2_048), 0);
        assert_eq!(small.check(1, 2_048), Err(ProcessLimitError::Files(4_161, 256)));
    }
}
