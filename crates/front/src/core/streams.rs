//! The event stream from each box: when to open it, when a box counts as lost, when to reconnect.
//!
//! A box reports on playing sessions over one stream per front. A stream that breaks is reopened at once: if
//! the connection is refused, the process is dead and its sessions are lost; if it opens, the sessions that
//! the box reports are compared with the front's own. The front itself closes a stream on which nothing
//! arrives.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use salttally::interface::{Micros, ServerId};

use super::timers::{Deadline, Timers};
use super::{DialError, Output};

/// First pause before a stream is reopened; doubles with each failure.
const FIRST_PAUSE_US: Micros = 100_000;
/// Longest pause, which bounds how late a returning box is noticed.
const MAX_PAUSE_US: Micros = 2_000_000;

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// Requested at this time.
    Opening(Micros),
    /// Open; the last input arrived at this time.
    Up(Micros),
    /// Waits before the next attempt to connect.
    Pausing,
}

#[derive(Clone, Debug, PartialEq)]
struct Stream {
    address: SocketAddr,
    /// Number of the connection attempt; events with an older number are ignored.
    try_no: u64,
    state: State,
    /// Since when the stream is down; `None` while it is open or once the box has been reported lost.
    down_since: Option<Micros>,
    pause: Micros,
    /// Whether the box list contains this box.
    listed: bool,
    /// Whether the stream has been cut off before for excessive load; logged only the first time.
    was_cut_off: bool,
}

impl Stream {
    /// Cancels the timer that waits for the stream to open.
    fn cancel_open_timer(&self, id: ServerId, silence_timeout: Micros, timers: &mut Timers) {
        if let State::Opening(requested_at) = self.state {
            timers.cancel(requested_at + silence_timeout, Deadline::StreamSilence(id, self.try_no));
        }
    }
}

/// What a stream event means for the sessions at the box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamOutcome {
    /// No change.
    Unchanged,
    /// The box is lost, and all sessions there.
    Lost,
    /// The event belongs to a stream that is no longer in use.
    Outdated,
}

/// The event streams of a front.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    streams: BTreeMap<ServerId, Stream>,
    last: u64,
    /// A stream without input for this long is silent; this includes one that was requested and never opened.
    silence_timeout: Micros,
    /// When the process last resumed after a suspension; silence is measured from here at the earliest.
    resumed_at: Micros,
}

impl Streams {
    /// Creates an empty set of streams.
    pub fn new(silence_timeout: Micros) -> Streams {
        Streams { silence_timeout, ..Streams::default() }
    }

    /// The process resumes after a suspension: silence is measured from now at the earliest. Danger:
    /// otherwise, the time of the suspension would be taken for silence of the boxes, and all their sessions
    /// for lost.
    pub fn process_resumed(&mut self, now: Micros) {
        self.resumed_at = now;
    }

    /// The list contains this box at this address: opens its stream, or reopens it if the address has
    /// changed.
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
            stream.cancel_open_timer(id, self.silence_timeout, timers);
            out.push(Output::CloseStream(id, stream.try_no));
        }
        let state = State::Opening(now);
        let stream = Stream {
            address,
            try_no: 0,
            state,
            down_since: Some(now),
            pause: FIRST_PAUSE_US,
            listed: true,
            was_cut_off: false,
        };
        self.streams.insert(id, stream);
        self.open(now, id, timers, out);
    }

    /// The list no longer contains this box. Its stream is kept while sessions play there or may play there,
    /// which is unknown until the stream has been open. Danger: if a restarted front drops a removed box
    /// before the box could report its sessions, they play on with no viewer.
    pub fn unlisted(&mut self, id: ServerId, in_use: bool, out: &mut Vec<Output>) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        stream.listed = false;
        if !in_use && matches!(stream.state, State::Up(_)) {
            out.push(Output::CloseStream(id, stream.try_no));
            self.streams.remove(&id);
        }
    }

    /// Address of this box, if it has a stream.
    pub fn address(&self, id: ServerId) -> Option<SocketAddr> {
        self.streams.get(&id).map(|stream| stream.address)
    }

    /// When the stream now being opened was requested: the list of sessions that the box sends contains
    /// everything sent to the box before then.
    pub fn requested_at(&self, id: ServerId) -> Option<Micros> {
        self.streams.get(&id).and_then(|stream| match stream.state {
            State::Opening(requested_at) => Some(requested_at),
            State::Up(_) | State::Pausing => None,
        })
    }

    /// Whether events with this number are current; a current one counts as a sign of life.
    pub fn is_current(&mut self, now: Micros, id: ServerId, number: u64) -> bool {
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

    /// A stream has opened.
    pub fn opened(&mut self, now: Micros, id: ServerId, timers: &mut Timers) {
        let silence_timeout = self.silence_timeout;
        let Some(stream) = self.streams.get_mut(&id) else { return };
        stream.cancel_open_timer(id, silence_timeout, timers);
        (stream.state, stream.down_since, stream.pause) = (State::Up(now), None, FIRST_PAUSE_US);
        timers.set(now + silence_timeout, Deadline::StreamSilence(id, stream.try_no));
    }

    /// A stream broke or could not be opened.
    pub fn broken(
        &mut self,
        now: Micros,
        id: ServerId,
        error: Option<DialError>,
        lost_timeout: Micros,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) -> StreamOutcome {
        let Some(stream) = self.streams.get_mut(&id) else { return StreamOutcome::Outdated };
        let was_open = matches!(stream.state, State::Up(_));
        stream.cancel_open_timer(id, self.silence_timeout, timers);
        let down_since = *stream.down_since.get_or_insert(now);
        if was_open && error.is_none() {
            // Reconnect once without a pause: the result tells a dead process from a broken connection.
            self.open(now, id, timers, out);
            return StreamOutcome::Unchanged;
        }
        // A refusal means that nobody listens there: the process is dead. A timeout may be a network
        // partition: sessions play on behind it for a while, and the box may become reachable again.
        let lost = error == Some(DialError::Refused) || down_since.max(self.resumed_at) + lost_timeout <= now;
        if !stream.listed && lost {
            self.streams.remove(&id);
            return StreamOutcome::Lost;
        }
        stream.state = State::Pausing;
        timers.set(now + stream.pause, Deadline::ReopenStream(id, stream.try_no));
        stream.pause = (stream.pause * 2).min(MAX_PAUSE_US);
        if lost {
            // A loss is reported once per outage; later attempts start a new one.
            stream.down_since = None;
            return StreamOutcome::Lost;
        }
        StreamOutcome::Unchanged
    }

    /// The pause before reconnecting is over.
    pub fn reconnect(
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

    /// The stream was cut off because the box exceeded its load limit. It is reopened after the longest
    /// pause, and its sessions play on. Returns whether this is the first time.
    pub fn cut_off(&mut self, now: Micros, id: ServerId, timers: &mut Timers) -> bool {
        let Some(stream) = self.streams.get_mut(&id) else { return false };
        stream.cancel_open_timer(id, self.silence_timeout, timers);
        (stream.state, stream.down_since) = (State::Pausing, None);
        timers.set(now + MAX_PAUSE_US, Deadline::ReopenStream(id, stream.try_no));
        !std::mem::replace(&mut stream.was_cut_off, true)
    }

    /// Whether a stream has been silent for too long; if so, it is closed and treated as not opened in time.
    /// Danger: without this check, a box that accepts the connection and never reports its sessions would be
    /// awaited for ever.
    pub fn check_silence(
        &mut self,
        now: Micros,
        id: ServerId,
        number: u64,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) -> bool {
        let (silence_timeout, resumed_at) = (self.silence_timeout, self.resumed_at);
        let Some(stream) = self.streams.get_mut(&id).filter(|s| s.try_no == number) else { return false };
        let (State::Up(last_input) | State::Opening(last_input)) = stream.state else { return false };
        let last_input = last_input.max(resumed_at);
        if last_input + silence_timeout > now {
            timers.set(last_input + silence_timeout, Deadline::StreamSilence(id, number));
            return false;
        }
        // It has been down since its last input, or since the first failed attempt to open it.
        stream.down_since =
            Some(stream.down_since.map_or(last_input, |down_since| down_since.min(last_input)));
        out.push(Output::CloseStream(id, number));
        true
    }

    /// Boxes that have a stream.
    pub fn boxes(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.streams.keys().copied()
    }

    /// Closes all streams.
    pub fn close_all(&mut self, out: &mut Vec<Output>) {
        for (id, stream) in std::mem::take(&mut self.streams) {
            out.push(Output::CloseStream(id, stream.try_no));
        }
    }

    fn open(&mut self, now: Micros, id: ServerId, timers: &mut Timers, out: &mut Vec<Output>) {
        self.last += 1;
        let Some(stream) = self.streams.get_mut(&id) else { return };
        (stream.try_no, stream.state) = (self.last, State::Opening(now));
        timers.set(now + self.silence_timeout, Deadline::StreamSilence(id, stream.try_no));
        out.push(Output::OpenStream(id, stream.try_no, stream.address));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silence_is_measured_from_the_end_of_a_suspension() {
        const SECOND: Micros = 1_000_000;
        let (id, at) = (ServerId(1), SocketAddr::from(([127, 0, 0, 1], 1)));
        let (mut timers, mut out) = (Timers::default(), Vec::new());
        let mut streams = Streams::new(2 * SECOND);
        streams.listed(0, id, at, &mut timers, &mut out);
        streams.opened(0, id, &mut timers);
        let number = streams.last;
        // Suspended from 1 s to 11 s, with nothing in the socket buffers: the box's next message is still in
        // transit.
        streams.process_resumed(11 * SECOND);
        assert!(!streams.check_silence(11 * SECOND, id, number, &mut timers, &mut out));
        assert!(
            streams.check_silence(13 * SECOND, id, number, &mut timers, &mut out),
            "and then it does count"
        );
        let error = Some(DialError::TimedOut);
        let outcome = streams.broken(13 * SECOND, id, error, 3 * SECOND, &mut timers, &mut out);
        assert_eq!(
            outcome,
            StreamOutcome::Unchanged,
            "it may have been cut off for two seconds, not for thirteen"
        );
        // A stream that broke before the suspension was not down for the length of the suspension either.
        let (mut streams, mut timers) = (Streams::new(2 * SECOND), Timers::default());
        streams.listed(0, id, at, &mut timers, &mut out);
        streams.opened(0, id, &mut timers);
        streams.broken(SECOND / 2, id, None, 3 * SECOND, &mut timers, &mut out);
        streams.process_resumed(11 * SECOND);
        let outcome = streams.broken(11 * SECOND, id, error, 3 * SECOND, &mut timers, &mut out);
        assert_eq!(outcome, StreamOutcome::Unchanged);
        let number = streams.last;
        streams.reconnect(14 * SECOND, id, number, &mut timers, &mut out);
        assert_eq!(
            streams.broken(14 * SECOND, id, error, 3 * SECOND, &mut timers, &mut out),
            StreamOutcome::Lost
        );
    }
}
