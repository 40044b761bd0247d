//! Output backlog of one connection: the bytes that the socket has not taken yet, and when a peer that does
//! not read is disconnected.

use std::collections::VecDeque;

use salttally::interface::Micros;

/// Maximum bytes per write: a flush of one slow peer must stay short.
const MAX_WRITE_BYTES: usize = 64 * 1024;

/// What the caller has to do after a change of the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogAction {
    /// Nothing: all bytes are written, or a flush is scheduled already.
    Nothing,
    /// Schedule a flush.
    ScheduleFlush,
    /// Close the connection: the peer does not read.
    Disconnect,
}

/// The bytes that wait to be written to one peer.
#[derive(Clone, Debug)]
pub struct Backlog {
    bytes: VecDeque<u8>,
    /// Maximum number of waiting bytes.
    max_bytes: usize,
    /// A peer that takes no bytes for this long is disconnected.
    stall_timeout: Micros,
    /// A flush is scheduled.
    flush_scheduled: bool,
    /// The connection accepts no more output.
    closed: bool,
    /// Since when the socket has taken no bytes although some wait.
    stalled_since: Option<Micros>,
}

impl Backlog {
    /// An empty backlog.
    pub fn new(max_bytes: usize, stall_timeout: Micros) -> Backlog {
        Backlog {
            bytes: VecDeque::new(),
            max_bytes,
            stall_timeout,
            flush_scheduled: false,
            closed: false,
            stalled_since: None,
        }
    }

    /// Whether bytes may be written to the socket directly: none wait before them, and the backlog is open.
    pub fn accepts_direct_writes(&self) -> bool {
        self.bytes.is_empty() && !self.closed
    }

    /// Whether the backlog accepts no more bytes.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Adds bytes that the socket did not take.
    pub fn push_unsent(&mut self, unsent: &[u8], now: Micros) -> BacklogAction {
        if self.closed || unsent.is_empty() {
            return BacklogAction::Nothing;
        }
        if self.bytes.len() + unsent.len() > self.max_bytes {
            return self.disconnect();
        }
        self.stalled_since.get_or_insert(now);
        self.bytes.extend(unsent);
        if std::mem::replace(&mut self.flush_scheduled, true) {
            BacklogAction::Nothing
        } else {
            BacklogAction::ScheduleFlush
        }
    }

    /// The bytes to write next.
    pub fn next_chunk(&self) -> Vec<u8> {
        self.bytes.iter().copied().take(MAX_WRITE_BYTES).collect()
    }

    /// Records the result of a write: the number of bytes that the socket took, or `None` if the write
    /// failed. Returns whether to flush again.
    pub fn record_write(&mut self, written: Option<usize>, now: Micros) -> BacklogAction {
        let Some(written) = written else { return self.disconnect() };
        if self.closed {
            self.flush_scheduled = false;
            return BacklogAction::Nothing;
        }
        if written > 0 {
            self.bytes.drain(..written.min(self.bytes.len()));
            self.stalled_since = Some(now);
        }
        if self.bytes.is_empty() {
            (self.flush_scheduled, self.stalled_since) = (false, None);
            return BacklogAction::Nothing;
        }
        if self.stalled_since.is_some_and(|since| since + self.stall_timeout <= now) {
            return self.disconnect();
        }
        BacklogAction::ScheduleFlush
    }

    /// Discards the waiting bytes and accepts no more.
    pub fn close(&mut self) {
        self.closed = true;
        self.bytes = VecDeque::new();
    }

    fn disconnect(&mut self) -> BacklogAction {
        self.close();
        self.flush_scheduled = false;
        BacklogAction::Disconnect
    }
}
