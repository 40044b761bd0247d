//! The numbered events of the list. Doubles are dropped, a gap or silence brings a new call with the last number,
//! and half an event changes nothing.

use std::net::SocketAddr;

use salttally::interface::Micros;
use salttally_front::core::timers::Timers;

use super::{Due, Level, Listed, Output};
use crate::wire::frames::{Frame, Told};

/// The coordinator says something each second: it has stopped when nothing came for so long.
const SILENT: Micros = 2_200_000;
/// A call that has not come up by then will not; it doubles with each one that came to nothing. From the beginning of a
/// silence to the third call it is 2.2 + 0.4 + 0.8 = 3.4 s, of the 4 s after which what would have been told counts.
const CALLING: Micros = 400_000;
/// Pause before a new call after one that came to nothing; it doubles.
const PAUSE: Micros = 50_000;
const PAUSE_MOST: Micros = 800_000;

/// What is new of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The whole list.
    Whole(Vec<Listed>),
    /// What has changed; empty where nothing has.
    Changes(Vec<Listed>),
}

/// Follows one coordinator at a time.
#[derive(Clone, Debug, Default)]
pub struct ListWatch {
    at: Option<SocketAddr>,
    /// Number of the last event.
    last: u64,
    /// Which call this is; what belongs to an earlier one is of no more interest.
    call: u64,
    /// Whether a call is under way; if not, the next one is due.
    open: bool,
    /// Whether it is still being made.
    calling: bool,
    heard: Micros,
    misses: u32,
    fresh: bool,
}

impl ListWatch {
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
        if self.at == Some(at) && self.open {
            return;
        }
        self.at = Some(at);
        self.misses = 0;
        self.call(now, timers, out);
    }

    fn call(&mut self, now: Micros, timers: &mut Timers<Due>, out: &mut Vec<Output>) {
        let Some(at) = self.at else { return };
        if self.open {
            out.push(Output::Unfollow(self.call));
        }
        self.call += 1;
        (self.open, self.calling, self.heard) = (true, true, now);
        out.push(Output::Follow(self.call, at, self.last));
        timers.set(now + (CALLING << self.misses.min(5)).min(SILENT), Due::List(self.call));
    }

    /// The call stands.
    pub fn up(&mut self, now: Micros, call: u64) {
        if call == self.call {
            (self.calling, self.heard) = (false, now);
        }
    }

    /// It broke, came to nothing, or cannot be read.
    pub fn down(&mut self, now: Micros, call: u64, timers: &mut Timers<Due>) {
        if call != self.call || !self.open {
            return;
        }
        self.open = false;
        let pause = (PAUSE << self.misses.min(5)).min(PAUSE_MOST);
        self.misses += 1;
        timers.set(now + pause, Due::List(self.call));
    }

    /// The next call is due, or the coordinator may be silent.
    pub fn due(&mut self, now: Micros, call: u64, timers: &mut Timers<Due>, out: &mut Vec<Output>) {
        if call != self.call {
            return;
        }
        if self.open && self.calling {
            self.misses += 1;
        }
        if !self.open || self.calling || self.heard + SILENT <= now {
            self.call(now, timers, out);
        } else {
            timers.set(self.heard + SILENT, Due::List(call));
        }
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
        if call != self.call || !self.open {
            return None;
        }
        (self.calling, self.heard, self.misses) = (false, now, 0);
        let news = match frame.told {
            Told::Nothing if frame.number > self.last => None,
            Told::Nothing => Some(News::Changes(Vec::new())),
            _ if frame.number <= self.last => return None,
            Told::Whole(lines) => Some(News::Whole(lines)),
            Told::Changes(lines) if frame.number == self.last + 1 => Some(News::Changes(lines)),
            Told::Changes(_) => None,
        };
        let Some(news) = news else {
            let text = format!("list: event {} after {}, asked again", frame.number, self.last);
            out.push(Output::Log(Level::Warn, text));
            self.call(now, timers, out);
            return None;
        };
        let empty = matches!(&news, News::Changes(lines) if lines.is_empty());
        self.last = self.last.max(frame.number);
        let first = !std::mem::replace(&mut self.fresh, true);
        (first || !empty).then_some(news)
    }
}
