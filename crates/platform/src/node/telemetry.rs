//! Log lines of a front node: one line of counters each second, and a limited number of lines about events.

use salttally::interface::Micros;

use crate::core::{Counts, Level, RoomCounts};

/// Interval between two lines of counters.
const INTERVAL: Micros = 1_000_000;
/// Maximum number of event lines at `info` in one interval; otherwise a flood of refused requests would fill
/// the log.
const MAX_LINES: u32 = 50;

/// A turn of the loop that takes longer than this is logged by itself.
const LONG_TURN: Micros = 500_000;

/// Counters of the event loop since the last line.
#[derive(Debug, Default)]
pub(super) struct Telemetry {
    next: Micros,
    lines: u32,
    lines_left_out: u32,
    turns: u32,
    longest_turn: Micros,
    last: Counts,
}

/// The state of the node for a line of counters.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeStatus {
    /// Numbers of sessions, playing sessions, client connections, server connections and timers.
    pub gauges: [usize; 5],
    /// Counters since the start.
    pub counts: Counts,
    /// What happened to connections for lack of room.
    pub room: RoomCounts,
    /// Number of servers that may owe ends of sessions, and for how long the first of them has.
    pub owed_ends: (usize, Option<Micros>),
    /// Numbers of notices that clients have not acknowledged, and of those that wait for a connection.
    pub client_notices: [usize; 2],
    /// Number of handed-over sessions that only a client's word speaks for.
    pub unproven_sessions: usize,
    /// Number of the last event of the list, and how long ago the coordinator was heard.
    pub list: (u64, Option<Micros>),
}

impl Telemetry {
    /// Records a turn of the loop, without its wait.
    pub fn record_turn(&mut self, began: Micros, ended: Micros) {
        let duration = ended.saturating_sub(began);
        self.turns += 1;
        self.longest_turn = self.longest_turn.max(duration);
        if duration >= LONG_TURN {
            tracing::warn!("a turn of the event loop took {} ms", duration / 1_000);
        }
    }

    /// Whether the line of counters is due.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.next
    }

    /// Writes the line of counters, if a counter has changed.
    pub fn report(&mut self, now: Micros, status: &NodeStatus) {
        let last = std::mem::replace(&mut self.last, status.counts);
        if last != status.counts || self.lines_left_out > 0 {
            self.write_line(status);
        }
        let (next, last) = (now + INTERVAL, status.counts);
        *self = Telemetry { next, last, ..Telemetry::default() };
    }

    fn write_line(&self, status: &NodeStatus) {
        let [sessions, playing, clients, connections, timers] = status.gauges;
        let (event, heard_ms_ago) = (status.list.0, status.list.1.map(|ago| ago / 1000));
        let (owing_servers, owing_ms) = (status.owed_ends.0, status.owed_ends.1.map(|since| since / 1000));
        let [owed_notices, waiting_notices] = status.client_notices;
        let longest_turn_us = self.longest_turn;
        tracing::info!(
            sessions,
            playing,
            clients,
            connections,
            timers,
            event,
            ?heard_ms_ago,
            turns = self.turns,
            longest_turn_us,
            lines_left_out = self.lines_left_out,
            owing_servers,
            ?owing_ms,
            owed_notices,
            waiting_notices,
            unproven_sessions = status.unproven_sessions,
            room = ?status.room,
            counts = ?status.counts,
            "front node"
        );
    }

    /// Writes a line about an event.
    pub fn log(&mut self, level: Level, text: &str) {
        match level {
            Level::Debug => tracing::debug!("{text}"),
            Level::Warn => tracing::warn!("{text}"),
            Level::Info if self.lines < MAX_LINES => {
                self.lines += 1;
                tracing::info!("{text}");
            }
            Level::Info => self.lines_left_out += 1,
        }
    }
}
