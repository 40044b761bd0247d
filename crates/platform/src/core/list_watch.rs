//! The numbered events of the list. Doubles are dropped, a gap or silence brings a new call with the last number,
//! and half an event changes nothing.
//!
//! A server that is announced as leaving may be sent nothing once the settings' drain grace is over, counted from when
//! the coordinator has the event, connected or not. So while no call stands, a further one begins often enough for a
//! coordinator that can be reached again to be heard well within the grace. Calls overlap: one that the network
//! swallowed must not hold up the next, nor may one that comes up slowly be cut off before it does.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally::interface::Micros;
use salttally_front::core::timers::Timers;

use super::{Command, Level, ListEntry, Timer};
use crate::wire::frames::{Frame, Payload};

/// The coordinator says something each second: it has stopped when not a byte came for so long, and a call that has not
/// come up by then will not. A long list may take longer than that to come whole.
const SILENCE_TIMEOUT: Micros = 2_200_000;
/// The first pause before a new call after one that came to nothing; it doubles.
const BACKOFF_START: Micros = 50_000;
/// Of the drain grace, the longest time between the beginnings of two calls: the rest is for the connection, the event
/// and whatever is under way to the server.
const GRACE_SHARE: Micros = 5;
/// Bounds of that time. From the beginning of a silence to the third call it is 2.2 + 0.4 + 0.4 = 3.0 s at most, of the
/// 4 s after which what a silent coordinator would have told counts.
const RECONNECT_INTERVAL: (Micros, Micros) = (25_000, 400_000);
/// Calls under way at a time, each with a descriptor. The oldest is kept until it is given up, so that a network in
/// which a connection takes longer than the time between two calls is got through.
pub const MAX_CONNECTS: usize = 4;

/// What is new of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The whole list.
    Whole(Vec<ListEntry>),
    /// What has changed; empty where nothing has.
    Changes(Vec<ListEntry>),
}

/// Follows one coordinator at a time.
#[derive(Clone, Debug)]
pub struct ListWatch {
    at: Option<SocketAddr>,
    /// Number of the last event.
    last: u64,
    /// Number of the latest call.
    call: u64,
    /// The call that stands.
    standing: Option<u64>,
    /// Calls that are being made, the oldest first, and when each began.
    connecting: VecDeque<(u64, Micros)>,
    /// The call that stands has told something.
    heard_on_call: bool,
    heard: Micros,
    failures: u32,
    synced: bool,
    /// When it is looked at next.
    due: Option<Micros>,
    reconnect_interval: Micros,
    draws: Pcg32,
}

impl ListWatch {
    /// Follows nothing yet. No two calls begin further apart than a part of this grace while none stands; all nodes
    /// lose their coordinator at once, and the draws by `seed` keep them from coming back in step.
    pub fn new(drain_grace: Micros, seed: u64) -> ListWatch {
        ListWatch {
            at: None,
            last: 0,
            call: 0,
            standing: None,
            connecting: VecDeque::new(),
            heard_on_call: false,
            heard: 0,
            failures: 0,
            synced: false,
            due: None,
            reconnect_interval: (drain_grace / GRACE_SHARE).clamp(RECONNECT_INTERVAL.0, RECONNECT_INTERVAL.1),
            draws: Pcg32::seed_from_u64(seed),
        }
    }

    /// Number of the last event, and when the coordinator was last heard, if it was.
    pub fn last_heard(&self) -> (u64, Option<Micros>) {
        (self.last, Some(self.heard).filter(|at| *at > 0))
    }

    /// Whether the coordinator was heard since the start.
    pub fn synced(&self) -> bool {
        self.synced
    }

    /// Begins after this event.
    pub fn begin(
        &mut self,
        now: Micros,
        last: u64,
        at: SocketAddr,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) {
        (self.last, self.at) = (last, Some(at));
        self.connect(now, timers, out);
    }

    /// The list is told elsewhere from now on; the numbers carry on.
    pub fn follow(
        &mut self,
        now: Micros,
        at: SocketAddr,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) {
        if self.at == Some(at) && (self.standing.is_some() || !self.connecting.is_empty()) {
            return;
        }
        self.at = Some(at);
        self.failures = 0;
        let calls = std::mem::take(&mut self.connecting);
        out.extend(calls.into_iter().map(|(call, _)| Command::CloseList(call)));
        self.connect(now, timers, out);
    }

    /// Begins a call; the one that stood is over.
    fn connect(&mut self, now: Micros, timers: &mut Timers<Timer>, out: &mut Vec<Command>) {
        let Some(at) = self.at else { return };
        out.extend(self.standing.take().map(Command::CloseList));
        if self.connecting.len() >= MAX_CONNECTS {
            out.extend(self.connecting.remove(1).map(|(call, _)| Command::CloseList(call)));
        }
        self.call += 1;
        self.connecting.push_back((self.call, now));
        let text = format!("list: call {} to {at} after event {}", self.call, self.last);
        out.push(Command::Log(Level::Info, text));
        out.push(Command::ConnectList(self.call, at, self.last));
        self.arm(now + self.reconnect_interval, timers);
    }

    fn arm(&mut self, at: Micros, timers: &mut Timers<Timer>) {
        if let Some(before) = self.due.replace(at) {
            timers.cancel(before, Timer::ListWatch);
        }
        timers.set(at, Timer::ListWatch);
    }

    /// The call stands: the others are over.
    pub fn connected(&mut self, now: Micros, call: u64, timers: &mut Timers<Timer>, out: &mut Vec<Command>) {
        if self.connecting.iter().all(|(other, _)| *other != call) {
            return;
        }
        let calls = std::mem::take(&mut self.connecting);
        let others = calls.into_iter().map(|(other, _)| other).filter(|other| *other != call);
        out.extend(self.standing.replace(call).into_iter().chain(others).map(Command::CloseList));
        (self.heard, self.heard_on_call) = (now, false);
        out.push(Command::Log(Level::Info, format!("list: call {call} stands")));
        self.arm(now + SILENCE_TIMEOUT, timers);
    }

    /// It broke, came to nothing, or cannot be read.
    pub fn disconnected(&mut self, now: Micros, call: u64, timers: &mut Timers<Timer>) {
        let known = self.connecting.len();
        self.connecting.retain(|(other, _)| *other != call);
        if self.standing.take_if(|standing| *standing == call).is_some() {
            self.back_off(now, timers);
        } else if self.connecting.is_empty() && known > 0 {
            // Sooner than the next call would begin, where that is far off.
            let due = self.due.unwrap_or(Micros::MAX);
            self.back_off(now, timers);
            if due < self.due.unwrap_or(Micros::MAX) {
                self.arm(due, timers);
            }
        }
    }

    /// The next call begins after a while, which doubles with each that came to nothing. Danger: a quarter of it is
    /// drawn, since all nodes whose coordinator has gone would call in the same instant, again and again.
    fn back_off(&mut self, now: Micros, timers: &mut Timers<Timer>) {
        let longest = (BACKOFF_START << self.failures.min(5)).min(self.reconnect_interval);
        self.failures += 1;
        let drawn = longest / 4 * Micros::from(self.draws.next_u32() % 1024) / 1024;
        self.arm(now + longest - drawn, timers);
    }

    /// The next call is due, or the coordinator may be silent.
    pub fn timer_fired(&mut self, now: Micros, timers: &mut Timers<Timer>, out: &mut Vec<Command>) {
        self.due = None;
        if self.standing.is_some() && self.heard + SILENCE_TIMEOUT > now {
            return self.arm(self.heard + SILENCE_TIMEOUT, timers);
        }
        if let Some(call) = self.standing {
            out.push(Command::Log(Level::Info, format!("list: call {call} is silent")));
        }
        while let Some((call, _)) =
            self.connecting.front().filter(|(_, began)| began + SILENCE_TIMEOUT <= now)
        {
            out.push(Command::CloseList(*call));
            self.connecting.pop_front();
        }
        self.connect(now, timers, out);
    }

    /// Bytes came on a call, and no whole frame yet.
    pub fn bytes_received(&mut self, now: Micros, call: u64) {
        if self.standing == Some(call) {
            self.heard = now;
        }
    }

    /// A frame came; what is new in it.
    pub fn frame_received(
        &mut self,
        now: Micros,
        call: u64,
        frame: Frame,
        timers: &mut Timers<Timer>,
        out: &mut Vec<Command>,
    ) -> Option<Update> {
        if self.connecting.iter().any(|(other, _)| *other == call) {
            self.connected(now, call, timers, out);
        }
        if self.standing != Some(call) {
            return None;
        }
        self.heard = now;
        let first_of_call = !std::mem::replace(&mut self.heard_on_call, true);
        let update = match frame.payload {
            Payload::Nothing if frame.number > self.last => None,
            Payload::Nothing => Some(Update::Changes(Vec::new())),
            // What a whole list says of the last event is the state after it, as good as that event.
            Payload::Whole(lines) if frame.number == self.last && first_of_call => Some(Update::Whole(lines)),
            _ if frame.number <= self.last => return None,
            Payload::Whole(lines) => Some(Update::Whole(lines)),
            Payload::Changes(lines) if frame.number == self.last + 1 => Some(Update::Changes(lines)),
            Payload::Changes(_) => None,
        };
        let Some(update) = update else {
            let text = format!("list: event {} after {}, asked again", frame.number, self.last);
            out.push(Command::Log(Level::Warn, text));
            if self.failures == 0 {
                self.failures = 1;
                self.connect(now, timers, out);
            } else {
                // Danger: one that never tells what is missing would be called without a pause.
                out.extend(self.standing.take().map(Command::CloseList));
                self.back_off(now, timers);
            }
            return None;
        };
        self.failures = 0;
        let empty = matches!(&update, Update::Changes(lines) if lines.is_empty());
        self.last = self.last.max(frame.number);
        let first = !std::mem::replace(&mut self.synced, true);
        (first || !empty).then_some(update)
    }
}
