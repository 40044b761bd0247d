//! Follows the numbered events of the server list. Duplicates are dropped, a gap or silence leads to a new
//! connection that continues after the last event, and a partial event changes nothing.
//!
//! A server that is announced as leaving must not be sent anything once the settings' drain grace is over,
//! counted from when the coordinator has the event, whether or not this node is connected. So while no
//! connection is established, new attempts begin often enough to hear a coordinator that is reachable again
//! well within the grace. Attempts overlap: one that is lost in the network must not delay the next, and one
//! that is slow to establish must not be cut off before it does.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally::interface::Micros;
use salttally_front::core::timers::Timers;

use super::{Command, Level, ListEntry, Timer};
use crate::wire::frames::{Frame, Payload};

/// The coordinator sends something each second: after this long without a byte it has stopped, and a
/// connection that is not established by then never will be. A long list may take longer than that to arrive
/// completely.
const SILENCE_TIMEOUT: Micros = 2_200_000;
/// A connection that is established without a frame is kept for this long beside later ones: a coordinator that
/// is slow may send its first frame later than a silent one is given up.
const FIRST_FRAME_TIMEOUT: Micros = 8_000_000;
/// The first pause before a new connection after a failed one; it doubles with each failure.
const INITIAL_BACKOFF: Micros = 50_000;
/// The longest interval between the starts of two connection attempts is the drain grace divided by this: the
/// rest of the grace is for the connection, the event and whatever is under way to the server.
const GRACE_DIVISOR: Micros = 5;
/// Bounds of that interval, minimum and maximum. The third attempt after the beginning of a silence begins
/// within 2.2 + 0.4 + 0.4 = 3.0 s; an event that the silent coordinator did not send takes effect after 4 s.
const RECONNECT_INTERVAL_BOUNDS: (Micros, Micros) = (25_000, 400_000);
/// Maximum number of concurrent connection attempts, each with a descriptor. The oldest is kept until it
/// times out, to get through a network in which establishing a connection takes longer than the interval
/// between two attempts.
pub const MAX_CONNECTS: usize = 4;

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The complete list.
    Full(Vec<ListEntry>),
    /// The entries that have changed; empty where none have.
    Changes(Vec<ListEntry>),
}

/// The connection to the coordinator, one coordinator at a time.
#[derive(Clone, Debug)]
pub struct ListWatch {
    coordinator: Option<SocketAddr>,
    /// Number of the last event.
    last_event: u64,
    /// Number of the latest connection attempt.
    last_connection: u64,
    /// The established connection.
    established: Option<u64>,
    /// Connection attempts in progress, the oldest first, and when each began.
    connecting: VecDeque<(u64, Micros)>,
    /// An earlier established connection without a frame, and when it was established.
    awaiting_first_frame: Option<(u64, Micros)>,
    /// When the established connection was established.
    established_at: Micros,
    /// Whether a frame has arrived on the established connection.
    has_received_frame: bool,
    last_received: Micros,
    failures: u32,
    synced: bool,
    /// When the next check is due.
    next_check: Option<Micros>,
    reconnect_interval: Micros,
    rng: Pcg32,
}

impl ListWatch {
    /// Follows no coordinator yet. While no connection is established, attempts begin no further apart than a
    /// part of `drain_grace`. All nodes lose their coordinator at once; random pauses, drawn with `seed`,
    /// keep them from reconnecting at the same moments.
    pub fn new(drain_grace: Micros, seed: u64) -> ListWatch {
        ListWatch {
            coordinator: None,
            last_event: 0,
            last_connection: 0,
            established: None,
            connecting: VecDeque::new(),
            awaiting_first_frame: None,
            established_at: 0,
            has_received_frame: false,
            last_received: 0,
            failures: 0,
            synced: false,
            next_check: None,
            reconnect_interval: (drain_grace / GRACE_DIVISOR)
                .clamp(RECONNECT_INTERVAL_BOUNDS.0, RECONNECT_INTERVAL_BOUNDS.1),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Number of the last event, and when the coordinator was last heard, if ever.
    pub fn last_heard(&self) -> (u64, Option<Micros>) {
        (self.last_event, Some(self.last_received).filter(|at| *at > 0))
    }

    /// Whether the coordinator has been heard since the start.
    pub fn synced(&self) -> bool {
        self.synced
    }

    /// Connects to the coordinator, and continues after this event.
    pub fn start(
        &mut self,
        now: Micros,
        last_event: u64,
        coordinator: SocketAddr,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) {
        (self.last_event, self.coordinator) = (last_event, Some(coordinator));
        self.connect(now, timers, out);
    }

    /// Follows a coordinator at another address; the event numbers continue.
    pub fn follow(
        &mut self,
        now: Micros,
        coordinator: SocketAddr,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) {
        if self.coordinator == Some(coordinator)
            && (self.established.is_some() || !self.connecting.is_empty())
        {
            return;
        }
        self.coordinator = Some(coordinator);
        self.failures = 0;
        let connections = std::mem::take(&mut self.connecting);
        let slow = self.awaiting_first_frame.take();
        out.extend(connections.into_iter().chain(slow).map(|(other, _)| Command::CloseList(other)));
        self.connect(now, timers, out);
    }

    /// Begins a connection attempt; an established connection is closed.
    fn connect(&mut self, now: Micros, timers: &mut Timers<Timer>, out: &mut Vec<Command>) {
        let Some(coordinator) = self.coordinator else { return };
        out.extend(self.established.take().map(Command::CloseList));
        if self.connecting.len() >= MAX_CONNECTS {
            out.extend(self.connecting.remove(1).map(|(connection, _)| Command::CloseList(connection)));
        }
        self.last_connection += 1;
        self.connecting.push_back((self.last_connection, now));
        let text = format!(
            "list: connection {} to {coordinator} after event {}",
            self.last_connection, self.last_event
        );
        out.push(Command::Log(Level::Info, text));
        out.push(Command::ConnectList(self.last_connection, coordinator, self.last_event));
        self.schedule_check(now + self.reconnect_interval, timers);
    }

    fn schedule_check(&mut self, at: Micros, timers: &mut Timers<Timer>) {
        if let Some(previous) = self.next_check.replace(at) {
            timers.cancel(previous, Timer::ListWatch);
        }
        timers.set(at, Timer::ListWatch);
    }

    /// A connection is established: the others are closed.
    pub fn connected(
        &mut self,
        now: Micros,
        connection: u64,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) {
        if self.connecting.iter().all(|(other, _)| *other != connection) {
            return;
        }
        let connections = std::mem::take(&mut self.connecting);
        let others = connections.into_iter().map(|(other, _)| other).filter(|other| *other != connection);
        out.extend(self.established.replace(connection).into_iter().chain(others).map(Command::CloseList));
        (self.last_received, self.has_received_frame) = (now, false);
        self.established_at = now;
        out.push(Command::Log(Level::Info, format!("list: connection {connection} established")));
        self.schedule_check(now + SILENCE_TIMEOUT, timers);
    }

    /// A connection broke, could not be established, or could not be decoded.
    pub fn disconnected(&mut self, now: Micros, connection: u64, timers: &mut Timers<Timer>) {
        let count_before = self.connecting.len();
        self.connecting.retain(|(other, _)| *other != connection);
        self.awaiting_first_frame.take_if(|(other, _)| *other == connection);
        if self.established.take_if(|established| *established == connection).is_some() {
            self.back_off(now, timers);
        } else if self.connecting.is_empty() && count_before > 0 {
            // The next attempt was due sooner than the backoff ends.
            let due = self.next_check.unwrap_or(Micros::MAX);
            self.back_off(now, timers);
            if due < self.next_check.unwrap_or(Micros::MAX) {
                self.schedule_check(due, timers);
            }
        }
    }

    /// Schedules the next attempt after a pause that doubles with each failure. A quarter of the pause is
    /// random: otherwise all nodes that lost their coordinator would connect at the same instant, again and
    /// again.
    fn back_off(&mut self, now: Micros, timers: &mut Timers<Timer>) {
        let backoff = (INITIAL_BACKOFF << self.failures.min(5)).min(self.reconnect_interval);
        self.failures += 1;
        let jitter = backoff / 4 * Micros::from(self.rng.next_u32() % 1024) / 1024;
        self.schedule_check(now + backoff - jitter, timers);
    }

    /// Begins the next connection attempt, unless the established connection is not silent.
    pub fn timer_fired(&mut self, now: Micros, timers: &mut Timers<Timer>, out: &mut Vec<Command>) {
        self.next_check = None;
        if self.established.is_some() && self.last_received + SILENCE_TIMEOUT > now {
            return self.schedule_check(self.last_received + SILENCE_TIMEOUT, timers);
        }
        if let Some(connection) = self.established {
            out.push(Command::Log(Level::Info, format!("list: connection {connection} is silent")));
        }
        let is_overdue = |slow: &mut (u64, Micros)| slow.1 + FIRST_FRAME_TIMEOUT <= now;
        let overdue = self.awaiting_first_frame.take_if(is_overdue);
        out.extend(overdue.map(|(connection, _)| Command::CloseList(connection)));
        if self.awaiting_first_frame.is_none() && !self.has_received_frame {
            let established_at = self.established_at;
            let slow = self.established.take();
            self.awaiting_first_frame = slow.map(|connection| (connection, established_at));
        }
        while let Some((connection, _)) =
            self.connecting.front().filter(|(_, began)| began + SILENCE_TIMEOUT <= now)
        {
            out.push(Command::CloseList(*connection));
            self.connecting.pop_front();
        }
        self.connect(now, timers, out);
    }

    /// Bytes arrived on a connection that do not complete a frame yet.
    pub fn bytes_received(&mut self, now: Micros, connection: u64) {
        if self.established == Some(connection) {
            self.last_received = now;
        }
    }

    /// A frame arrived; returns the change that it brings.
    pub fn frame_received(
        &mut self,
        now: Micros,
        connection: u64,
        frame: Frame,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) -> Option<Update> {
        if self.connecting.iter().any(|(other, _)| *other == connection) {
            self.connected(now, connection, timers, out);
        }
        if self.awaiting_first_frame.take_if(|(other, _)| *other == connection).is_some() {
            let connecting = std::mem::take(&mut self.connecting).into_iter().map(|(other, _)| other);
            out.extend(
                self.established.replace(connection).into_iter().chain(connecting).map(Command::CloseList),
            );
            self.has_received_frame = false;
            self.schedule_check(now + SILENCE_TIMEOUT, timers);
        }
        if self.established != Some(connection) {
            return None;
        }
        let slow = self.awaiting_first_frame.take();
        out.extend(slow.map(|(other, _)| Command::CloseList(other)));
        self.last_received = now;
        let first_of_connection = !std::mem::replace(&mut self.has_received_frame, true);
        let update = match frame.payload {
            Payload::Unchanged if frame.number > self.last_event => None,
            Payload::Unchanged => Some(Update::Changes(Vec::new())),
            // A complete list under the last number is the state after that event, as good as the event
            // itself.
            Payload::Full(records) if frame.number == self.last_event && first_of_connection => {
                Some(Update::Full(records))
            }
            _ if frame.number <= self.last_event => return None,
            Payload::Full(records) => Some(Update::Full(records)),
            Payload::Changes(records) if frame.number == self.last_event + 1 => {
                Some(Update::Changes(records))
            }
            Payload::Changes(_) => None,
        };
        let Some(update) = update else {
            let text = format!(
                "list: event {} does not follow event {}, connecting again",
                frame.number, self.last_event
            );
            out.push(Command::Log(Level::Warn, text));
            if self.failures == 0 {
                self.failures = 1;
                self.connect(now, timers, out);
            } else {
                // A coordinator that never sends the missing event would be connected to without a pause.
                out.extend(self.established.take().map(Command::CloseList));
                self.back_off(now, timers);
            }
            return None;
        };
        self.failures = 0;
        let is_empty = matches!(&update, Update::Changes(records) if records.is_empty());
        self.last_event = self.last_event.max(frame.number);
        let is_first = !std::mem::replace(&mut self.synced, true);
        (is_first || !is_empty).then_some(update)
    }
}
