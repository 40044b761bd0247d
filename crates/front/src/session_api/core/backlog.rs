//! What waits to be written to one player, and when a player that reads nothing is cut off.

use std::collections::VecDeque;

use salttally::interface::Micros;

/// Bytes tried at once; a slow player's turn must not be long.
const TURN: usize = 64 * 1024;

/// What is to be done about an outbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: all is written, or somebody tries already.
    Nothing,
    /// Hand it to whoever tries again.
    Hand,
    /// Close the connection: the player reads nothing.
    Cut,
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
    pub fn is_clear(&self) -> bool {
        self.bytes.is_empty() && !self.closed
    }

    /// Whether nothing is written any more.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Bytes that the socket did not take.
    pub fn add(&mut self, rest: &[u8], now: Micros) -> Step {
        if self.closed || rest.is_empty() {
            return Step::Nothing;
        }
        if self.bytes.len() + rest.len() > self.most {
            return self.cut();
        }
        self.stuck.get_or_insert(now);
        self.bytes.extend(rest);
        if std::mem::replace(&mut self.handed, true) {
            Step::Nothing
        } else {
            Step::Hand
        }
    }

    /// What to try next.
    pub fn turn(&self) -> Vec<u8> {
        self.bytes.iter().copied().take(TURN).collect()
    }

    /// A try ended: the socket took so many bytes, or failed. Tells whether to try again.
    pub fn tried(&mut self, taken: Option<usize>, now: Micros) -> Step {
        let Some(taken) = taken else { return self.cut() };
        if self.closed {
            self.handed = false;
            return Step::Nothing;
        }
        if taken > 0 {
            self.bytes.drain(..taken.min(self.bytes.len()));
            self.stuck = Some(now);
        }
        if self.bytes.is_empty() {
            (self.handed, self.stuck) = (false, None);
            return Step::Nothing;
        }
        if self.stuck.is_some_and(|since| since + self.stalled <= now) {
            return self.cut();
        }
        Step::Hand
    }

    /// Nothing is written any more, and nothing waits.
    pub fn close(&mut self) {
        self.closed = true;
        self.bytes = VecDeque::new();
    }

    fn cut(&mut self) -> Step {
        self.close();
        self.handed = false;
        Step::Cut
    }
}
