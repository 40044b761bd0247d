//! What waits to be written to one player, and when a player that reads nothing is cut off.

use std::collections::VecDeque;

use salttally::interface::Micros;

/// Bytes tried at once; a slow player's turn must not be long.
const TURN: usize = 64 * 1024;

/// What is to be done about an outbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogAction {
    /// Nothing: all is written, or somebody tries already.
    Nothing,
    /// Hand it to whoever tries again.
    ScheduleFlush,
    /// Close the connection: the player reads nothing.
    Disconnect,
}

/// What waits.
#[derive(Clone, Debug)]
pub struct Backlog {
    bytes: VecDeque<u8>,
    /// Bytes that may wait.
    most: usize,
    /// A player that takes nothing for this long is cut off.
    stalled: Micros,
    /// Somebody tries again already.
    handed: bool,
    /// Nothing is written any more.
    closed: bool,
    /// Nothing has been taken since then, though something waits.
    stuck: Option<Micros>,
}

impl Backlog {
    /// Nothing waits.
    pub fn new(most: usize, stalled: Micros) -> Backlog {
        Backlog { bytes: VecDeque::new(), most, stalled, handed: false, closed: false, stuck: None }
    }

    /// Whether bytes may go straight to the socket: nothing else waits in front of them.
    pub fn accepts_direct_writes(&self) -> bool {
        self.bytes.is_empty() && !self.closed
    }

    /// Whether nothing is written any more.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Bytes that the socket did not take.
    pub fn push_unsent(&mut self, rest: &[u8], now: Micros) -> BacklogAction {
        if self.closed || rest.is_empty() {
            return BacklogAction::Nothing;
        }
        if self.bytes.len() + rest.len() > self.most {
            return self.cut();
        }
        self.stuck.get_or_insert(now);
        self.bytes.extend(rest);
        if std::mem::replace(&mut self.handed, true) {
            BacklogAction::Nothing
        } else {
            BacklogAction::ScheduleFlush
        }
    }

    /// What to try next.
    pub fn next_chunk(&self) -> Vec<u8> {
        self.bytes.iter().copied().take(TURN).collect()
    }

    /// A try ended: the socket took so many bytes, or failed. Tells whether to try again.
    pub fn record_write(&mut self, taken: Option<usize>, now: Micros) -> BacklogAction {
        let Some(taken) = taken else { return self.cut() };
        if self.closed {
            self.handed = false;
            return BacklogAction::Nothing;
        }
        if taken > 0 {
            self.bytes.drain(..taken.min(self.bytes.len()));
            self.stuck = Some(now);
        }
        if self.bytes.is_empty() {
            (self.handed, self.stuck) = (false, None);
            return BacklogAction::Nothing;
        }
        if self.stuck.is_some_and(|since| since + self.stalled <= now) {
            return self.cut();
        }
        BacklogAction::ScheduleFlush
    }

    /// Nothing is written any more, and nothing waits.
    pub fn close(&mut self) {
        self.closed = true;
        self.bytes = VecDeque::new();
    }

    fn cut(&mut self) -> BacklogAction {
        self.close();
        self.handed = false;
        BacklogAction::Disconnect
    }
}
