//! The event stream from each box: when to open it, when a box counts as lost, when to try again.
//!
//! A box tells what happens to playing sessions on one stream for each front. A stream that breaks is opened again
//! at once: refused, the process is dead and its sessions are lost; opened, what the box says it holds is
//! compared with what the front knows. A stream on which nothing comes is broken by the front itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use salttally::interface::{Micros, ServerId};

use super::timers::{Deadline, Timers};
use super::{DialError, Output};

/// First pause before a stream is tried again; it doubles.
const PAUSE_FIRST: Micros = 100_000;
/// Longest pause: a box that is back is found again within this.
const PAUSE_MOST: Micros = 2_000_000;

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// Asked for at this time.
    Opening(Micros),
    /// Stands, and something came at this time.
    Up(Micros),
    /// Waits before the next try.
    Pausing,
}

#[derive(Clone, Debug, PartialEq)]
struct Stream {
    address: SocketAddr,
    /// Number of the try; news of an older one are old.
    try_no: u64,
    state: State,
    /// Since when there is no stream, until one stands or the box was called lost.
    down: Option<Micros>,
    pause: Micros,
    /// The list names this box.
    listed: bool,
    /// It was cut off before for what it cost; that was told.
    greedy: bool,
}

impl Stream {
    /// It is no longer waited for to stand.
    fn not_awaited(&self, id: ServerId, silent_after: Micros, timers: &mut Timers) {
        if let State::Opening(asked) = self.state {
            timers.cancel(asked + silent_after, Deadline::StreamSilence(id, self.try_no));
        }
    }
}

/// What follows from news of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing for sessions.
    Nothing,
    /// The box is lost, and all sessions there.
    Lost,
    /// The news is of a stream that is no longer listened to.
    Old,
}

/// The streams of a front.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    streams: BTreeMap<ServerId, Stream>,
    last: u64,
    /// A stream on which nothing came for this long is silent, also one that was asked for and never stood.
    silent_after: Micros,
    /// When the process last ran again after it had been stopped: silence counts from here.
    woke: Micros,
}

impl Streams {
    /// No stream yet.
    pub fn new(silent_after: Micros) -> Streams {
        Streams { silent_after, ..Streams::default() }
    }

    /// The process was not running. Danger: what was not heard meanwhile is taken for silence of the boxes, and all
    /// their sessions for lost.
    pub fn woke(&mut self, now: Micros) {
        self.woke = now;
    }

    /// The list names this box at this address: its stream is opened, or opened anew if the address is another.
    pub fn listed(
        &mut self,
        now: Micros,
        id: ServerId,
        address: SocketAddr,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.listed = true;
            if stream.address == address {
                return;
            }
            stream.not_awaited(id, self.silent_after, timers);
            out.push(Output::CloseStream(id, stream.try_no));
        }
        let state = State::Opening(now);
        let stream = Stream {
            address,
            try_no: 0,
            state,
            down: Some(now),
            pause: PAUSE_FIRST,
            listed: true,
            greedy: false,
        };
        self.streams.insert(id, stream);
        self.open(now, id, timers, out);
    }

    /// The list does not name this box any more: its stream is kept while sessions play there, or may: until it has
    /// stood, nobody knows. Danger: a front born again that hears of the end of a box before that box could tell what
    /// it holds leaves it playing for nobody; found by the exploration.
    pub fn unlisted(&mut self, id: ServerId, in_use: bool, out: &mut Vec<Output>) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        stream.listed = false;
        if !in_use && matches!(stream.state, State::Up(_)) {
            out.push(Output::CloseStream(id, stream.try_no));
            self.streams.remove(&id);
        }
    }

    /// Where this box listens, if it is listened to.
    pub fn address(&self, id: ServerId) -> Option<SocketAddr> {
        self.streams.get(&id).map(|stream| stream.address)
    }

    /// When the stream that now stands was asked for: what was sent to the box before that must be in its list.
    pub fn asked(&self, id: ServerId) -> Option<Micros> {
        self.streams.get(&id).and_then(|stream| match stream.state {
            State::Opening(asked) => Some(asked),
            State::Up(_) | State::Pausing => None,
        })
    }

    /// Whether news of this number still count; they are a sign of life.
    pub fn heard(&mut self, now: Micros, id: ServerId, number: u64) -> bool {
        match self.streams.get_mut(&id) {
            Some(stream) if stream.try_no == number => {
                if let State::Up(at) = &mut stream.state {
                    *at = now;
                }
                true
            }
            _ => false,
        }
    }

    /// A stream stands.
    pub fn up(&mut self, now: Micros, id: ServerId, timers: &mut Timers) {
        let silent_after = self.silent_after;
        let Some(stream) = self.streams.get_mut(&id) else { return };
        stream.not_awaited(id, silent_after, timers);
        (stream.state, stream.down, stream.pause) = (State::Up(now), None, PAUSE_FIRST);
        timers.set(now + silent_after, Deadline::StreamSilence(id, stream.try_no));
    }

    /// A stream broke or could not be made.
    pub fn broke(
        &mut self,
        now: Micros,
        id: ServerId,
        why: Option<DialError>,
        lost_after: Micros,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) -> Verdict {
        let Some(stream) = self.streams.get_mut(&id) else { return Verdict::Old };
        let stood = matches!(stream.state, State::Up(_));
        stream.not_awaited(id, self.silent_after, timers);
        let since = *stream.down.get_or_insert(now);
        if stood && why.is_none() {
            // One try at once: the answer tells a dead process from a broken connection.
            self.open(now, id, timers, out);
            return Verdict::Nothing;
        }
        // Refused, nobody listens there: the process is dead. Silent, it may be a cut: sessions play on behind it
        // for a while, and the box may be reached again.
        let lost = why == Some(DialError::Refused) || since.max(self.woke) + lost_after <= now;
        if !stream.listed && lost {
            self.streams.remove(&id);
            return Verdict::Lost;
        }
        stream.state = State::Pausing;
        timers.set(now + stream.pause, Deadline::ReopenStream(id, stream.try_no));
        stream.pause = (stream.pause * 2).min(PAUSE_MOST);
        if lost {
            // Said once for each time that it is down; a later try begins anew.
            stream.down = None;
            return Verdict::Lost;
        }
        Verdict::Nothing
    }

    /// The pause before a further try is over.
    pub fn again(
        &mut self,
        now: Micros,
        id: ServerId,
        number: u64,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) {
        if self.streams.get(&id).is_some_and(|s| s.try_no == number && s.state == State::Pausing) {
            self.open(now, id, timers, out);
        }
    }

    /// A box costs more than one may and its stream was cut off: it is tried again after the longest pause, and its
    /// sessions play on. Returns whether that is the first time.
    pub fn cut_off(&mut self, now: Micros, id: ServerId, timers: &mut Timers) -> bool {
        let Some(stream) = self.streams.get_mut(&id) else { return false };
        stream.not_awaited(id, self.silent_after, timers);
        (stream.state, stream.down) = (State::Pausing, None);
        timers.set(now + PAUSE_MOST, Deadline::ReopenStream(id, stream.try_no));
        !std::mem::replace(&mut stream.greedy, true)
    }

    /// Whether a stream has been silent for too long; if so it is closed, and counts as not made in time. Danger: a
    /// box that takes the connection and never says what it holds would be waited for without end.
    pub fn silent(
        &mut self,
        now: Micros,
        id: ServerId,
        number: u64,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) -> bool {
        let (silent_after, woke) = (self.silent_after, self.woke);
        let Some(stream) = self.streams.get_mut(&id).filter(|s| s.try_no == number) else { return false };
        let (State::Up(heard) | State::Opening(heard)) = stream.state else { return false };
        let heard = heard.max(woke);
        if heard + silent_after > now {
            timers.set(heard + silent_after, Deadline::StreamSilence(id, number));
            return false;
        }
        // It has been down since it was last heard, or for as long as it could not be made.
        stream.down = Some(stream.down.map_or(heard, |down| down.min(heard)));
        out.push(Output::CloseStream(id, number));
        true
    }

    /// Boxes that are listened to.
    pub fn boxes(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.streams.keys().copied()
    }

    /// Stops listening to all boxes.
    pub fn stop(&mut self, out: &mut Vec<Output>) {
        for (id, stream) in std::mem::take(&mut self.streams) {
            out.push(Output::CloseStream(id, stream.try_no));
        }
    }

    fn open(&mut self, now: Micros, id: ServerId, timers: &mut Timers, out: &mut Vec<Output>) {
        self.last += 1;
        let Some(stream) = self.streams.get_mut(&id) else { return };
        (stream.try_no, stream.state) = (self.last, State::Opening(now));
        timers.set(now + self.silent_after, Deadline::StreamSilence(id, stream.try_no));
        out.push(Output::OpenStream(id, stream.try_no, stream.address));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silence_of_a_box_counts_from_when_the_process_runs_again() {
        const SECOND: Micros = 1_000_000;
        let (id, at) = (ServerId(1), SocketAddr::from(([127, 0, 0, 1], 1)));
        let (mut timers, mut out) = (Timers::default(), Vec::new());
        let mut streams = Streams::new(2 * SECOND);
        streams.listed(0, id, at, &mut timers, &mut out);
        streams.up(0, id, &mut timers);
        let number = streams.last;
        // Stopped from 1 s to 11 s, and nothing waits in its sockets: the box's word is still on its way.
        streams.woke(11 * SECOND);
        assert!(!streams.silent(11 * SECOND, id, number, &mut timers, &mut out));
        assert!(streams.silent(13 * SECOND, id, number, &mut timers, &mut out), "and then it does count");
        let why = Some(DialError::TimedOut);
        let verdict = streams.broke(13 * SECOND, id, why, 3 * SECOND, &mut timers, &mut out);
        assert_eq!(verdict, Verdict::Nothing, "it may have been cut off for two seconds, not for thirteen");
        // One that broke before the stop was not cut off for its length either.
        let (mut streams, mut timers) = (Streams::new(2 * SECOND), Timers::default());
        streams.listed(0, id, at, &mut timers, &mut out);
        streams.up(0, id, &mut timers);
        streams.broke(SECOND / 2, id, None, 3 * SECOND, &mut timers, &mut out);
        streams.woke(11 * SECOND);
        let verdict = streams.broke(11 * SECOND, id, why, 3 * SECOND, &mut timers, &mut out);
        assert_eq!(verdict, Verdict::Nothing);
        let number = streams.last;
        streams.again(14 * SECOND, id, number, &mut timers, &mut out);
        assert_eq!(streams.broke(14 * SECOND, id, why, 3 * SECOND, &mut timers, &mut out), Verdict::Lost);
    }
}
