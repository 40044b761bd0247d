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

use super::{Due, Level, Listed, Output};
use crate::wire::frames::{Frame, Told};

/// The coordinator says something each second: it has stopped when nothing came for so long, and a call that has not
/// come up by then will not.
const SILENT: Micros = 2_200_000;
/// The first pause before a new call after one that came to nothing; it doubles.
const FIRST_PAUSE: Micros = 50_000;
/// Of the drain grace, the longest time between the beginnings of two calls: the rest is for the connection, the event
/// and whatever is under way to the server.
const GRACE_PART: Micros = 5;
/// Bounds of that time. From the beginning of a silence to the third call it is 2.2 + 0.4 + 0.4 = 3.0 s at most, of the
/// 4 s after which what a silent coordinator would have told counts.
const BETWEEN_CALLS: (Micros, Micros) = (25_000, 400_000);
/// Calls under way at a time, each with a descriptor. The oldest is kept until it is given up, so that a network in
/// which a connection takes longer than the time between two calls is got through.
pub const MOST_CALLS: usize = 4;

/// What is new of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The whole list.
    Whole(Vec<Listed>),
    /// What has changed; empty where nothing has.
    Changes(Vec<Listed>),
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
    dialing: VecDeque<(u64, Micros)>,
    /// The call that stands has told something.
    told_once: bool,
    heard: Micros,
    misses: u32,
    fresh: bool,
    /// When it is looked at next.
    due: Option<Micros>,
    between_calls: Micros,
    draws: Pcg32,
}

impl ListWatch {
    /// Follows nothing yet. No two calls begin further apart than a part of this grace while none stands; all nodes lose
    /// their coordinator at once, and the draws by `seed` keep them from coming back in step.
    pub fn new(drain_grace: Micros, seed: u64) -> ListWatch {
        ListWatch {
            at: None,
            last: 0,
            call: 0,
            standing: None,
            dialing: VecDeque::new(),
            told_once: false,
            heard: 0,
            misses: 0,
            fresh: false,
            due: None,
            between_calls: (drain_grace / GRACE_PART).clamp(BETWEEN_CALLS.0, BETWEEN_CALLS.1),
            draws: Pcg32::seed_from_u64(seed),
        }
    }

    /// Whether the coordinator was heard since the start.
    pub fn fresh(&self) -> bool {
        self.fresh
    }

    /// Begins after this event.
    pub fn begin(
        &mut self,
        now: Micros,
        last: u64,
        at: SocketAddr,
        timers: &mut Timers<Due>,
        out: &mut Vec<Output>,
    ) {
        (self.last, self.at) = (last, Some(at));
        self.call(now, timers, out);
    }

    /// The list is told elsewhere from now on; the numbers carry on.
    pub fn turn_to(&mut self, now: Micros, at: SocketAddr, timers: &mut Timers<Due>, out: &mut Vec<Output>) {
        if self.at == Some(at) && (self.standing.is_some() || !self.dialing.is_empty()) {
            return;
        }
        self.at = Some(at);
        self.misses = 0;
        let calls = std::mem::take(&mut self.dialing);
        out.extend(calls.into_iter().map(|(call, _)| Output::Unfollow(call)));
        self.call(now, timers, out);
    }

    /// Begins a call; the one that stood is over.
    fn call(&mut self, now: Micros, timers: &mut Timers<Due>, out: &mut Vec<Output>) {
        let Some(at) = self.at else { return };
        out.extend(self.standing.take().map(Output::Unfollow));
        if self.dialing.len() >= MOST_CALLS {
            out.extend(self.dialing.remove(1).map(|(call, _)| Output::Unfollow(call)));
        }
        self.call += 1;
        self.dialing.push_back((self.call, now));
        let text = format!("list: call {} to {at} after event {}", self.call, self.last);
        out.push(Output::Log(Level::Debug, text));
        out.push(Output::Follow(self.call, at, self.last));
        self.look_at(now + self.between_calls, timers);
    }

    fn look_at(&mut self, at: Micros, timers: &mut Timers<Due>) {
        if let Some(before) = self.due.replace(at) {
            timers.unset(before, Due::List);
        }
        timers.set(at, Due::List);
    }

    /// The call stands: the others are over.
    pub fn up(&mut self, now: Micros, call: u64, timers: &mut Timers<Due>, out: &mut Vec<Output>) {
        if self.dialing.iter().all(|(other, _)| *other != call) {
            return;
        }
        let calls = std::mem::take(&mut self.dialing);
        let others = calls.into_iter().map(|(other, _)| other).filter(|other| *other != call);
        out.extend(self.standing.replace(call).into_iter().chain(others).map(Output::Unfollow));
        (self.heard, self.told_once) = (now, false);
        self.look_at(now + SILENT, timers);
    }

    /// It broke, came to nothing, or cannot be read.
    pub fn down(&mut self, now: Micros, call: u64, timers: &mut Timers<Due>) {
        let known = self.dialing.len();
        self.dialing.retain(|(other, _)| *other != call);
        if self.standing.take_if(|standing| *standing == call).is_some() {
            self.pause(now, timers);
        } else if self.dialing.is_empty() && known > 0 {
            // Sooner than the next call would begin, where that is far off.
            let due = self.due.unwrap_or(Micros::MAX);
            self.pause(now, timers);
            if due < self.due.unwrap_or(Micros::MAX) {
                self.look_at(due, timers);
            }
        }
    }

    /// The next call begins after a while, which doubles with each that came to nothing. Danger: a quarter of it is
    /// drawn, since all nodes whose coordinator has gone would call in the same instant, again and again.
    fn pause(&mut self, now: Micros, timers: &mut Timers<Due>) {
        let longest = (FIRST_PAUSE << self.misses.min(5)).min(self.between_calls);
        self.misses += 1;
        let drawn = longest / 4 * Micros::from(self.draws.next_u32() % 1024) / 1024;
        self.look_at(now + longest - drawn, timers);
    }

    /// The next call is due, or the coordinator may be silent.
    pub fn due(&mut self, now: Micros, timers: &mut Timers<Due>, out: &mut Vec<Output>) {
        self.due = None;
        if self.standing.is_some() && self.heard + SILENT > now {
            return self.look_at(self.heard + SILENT, timers);
        }
        while let Some((call, _)) = self.dialing.front().filter(|(_, began)| began + SILENT <= now) {
            out.push(Output::Unfollow(*call));
            self.dialing.pop_front();
        }
        self.call(now, timers, out);
    }

    /// A frame came; what is new in it.
    pub fn told(
        &mut self,
        now: Micros,
        call: u64,
        frame: Frame,
        timers: &mut Timers<Due>,
        out: &mut Vec<Output>,
    ) -> Option<News> {
        if self.dialing.iter().any(|(other, _)| *other == call) {
            self.up(now, call, timers, out);
        }
        if self.standing != Some(call) {
            return None;
        }
        self.heard = now;
        let first_of_call = !std::mem::replace(&mut self.told_once, true);
        let news = match frame.told {
            Told::Nothing if frame.number > self.last => None,
            Told::Nothing => Some(News::Changes(Vec::new())),
            // What a whole list says of the last event is the state after it, as good as that event.
            Told::Whole(lines) if frame.number == self.last && first_of_call => Some(News::Whole(lines)),
            _ if frame.number <= self.last => return None,
            Told::Whole(lines) => Some(News::Whole(lines)),
            Told::Changes(lines) if frame.number == self.last + 1 => Some(News::Changes(lines)),
            Told::Changes(_) => None,
        };
        let Some(news) = news else {
            let text = format!("list: event {} after {}, asked again", frame.number, self.last);
            out.push(Output::Log(Level::Warn, text));
            if self.misses == 0 {
                self.misses = 1;
                self.call(now, timers, out);
            } else {
                // Danger: one that never tells what is missing would be called without a pause.
                out.extend(self.standing.take().map(Output::Unfollow));
                self.pause(now, timers);
            }
            return None;
        };
        self.misses = 0;
        let empty = matches!(&news, News::Changes(lines) if lines.is_empty());
        self.last = self.last.max(frame.number);
        let first = !std::mem::replace(&mut self.fresh, true);
        (first || !empty).then_some(news)
    }
}
