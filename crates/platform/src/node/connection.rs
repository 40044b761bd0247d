//! One connection of a client or a media server: what was read of it and what waits to be written.

use std::net::TcpStream;

use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use rustix::net::SendFlags;
use salttally::interface::Micros;
use salttally_front::session_api::core::backlog::{Backlog, Step};

use super::End;
use crate::wire::{kind, Decoder, Message};

/// A client that takes nothing for this long is cut off.
pub(super) const STALLED: Micros = 2_000_000;

/// What a connection that is read is watched for: bytes, and that its peer writes no more.
pub(super) const READS: EventFlags = EventFlags::IN.union(EventFlags::RDHUP);

/// How writing ended.
#[derive(Debug, PartialEq)]
pub(super) enum Flushed {
    /// All is written.
    All,
    /// The socket takes nothing more now.
    Waits,
    /// It takes nothing more: of the set-up of this session a part was written, of these messages not a byte. They are
    /// handed back, for whoever may take them back yet.
    Stalled(Option<u64>, Vec<Message>),
    /// It takes something again, and nothing waits here.
    Resumed,
    /// It is of no more use.
    Broken,
}

pub(super) struct Connection {
    pub stream: TcpStream,
    pub decoder: Decoder,
    pub outgoing: Vec<u8>,
    pub connecting: bool,
    pub watched: EventFlags,
    /// Closed when all is written.
    pub closing: bool,
    /// Its peer writes no more.
    pub half_closed: bool,
    /// Nothing more is written here, and it is read on.
    pub finishing: bool,
    /// It takes nothing, and is tried again by a time that is set.
    pub stalled: bool,
    /// When something was written last.
    pub wrote: Micros,
    /// Bytes read after it was closed.
    pub discarded: usize,
    /// Messages and bytes read, and bytes written, since they were last told.
    pub crossed: [usize; 3],
    kept: Kept,
}

/// What the socket did not take.
enum Kept {
    /// A client's answers wait here, up to a limit.
    Backlog(Backlog),
    /// Of what goes to a media server no more waits here than the rest of one message; nothing once it is written.
    Rest(Option<Vec<u8>>),
}

impl Connection {
    /// A client's connection, for which so many bytes may wait.
    pub fn client(stream: TcpStream, most: usize) -> Connection {
        Connection::new(stream, false, Kept::Backlog(Backlog::new(most, STALLED)))
    }

    /// A connection to a media server, which is being made.
    pub fn dialed(stream: TcpStream) -> Connection {
        Connection::new(stream, true, Kept::Rest(None))
    }

    fn new(stream: TcpStream, connecting: bool, kept: Kept) -> Connection {
        let (decoder, outgoing) = (Decoder::default(), Vec::new());
        let watched = if connecting { EventFlags::OUT } else { READS };
        let (closing, half_closed, finishing, stalled) = (false, false, false, false);
        let (wrote, discarded, crossed) = (0, 0, [0; 3]);
        Connection {
            stream,
            decoder,
            outgoing,
            connecting,
            watched,
            closing,
            half_closed,
            finishing,
            stalled,
            wrote,
            discarded,
            crossed,
            kept,
        }
    }

    /// Whether something waits that the socket has not taken.
    pub fn waits(&self) -> bool {
        match &self.kept {
            Kept::Backlog(backlog) => !backlog.is_clear(),
            Kept::Rest(rest) => rest.is_some(),
        }
    }

    /// How its peer, which writes no more, has ended it. A socket that has read the close says nothing of a reset when it
    /// is read again.
    pub fn end_by_peer(&self) -> End {
        match self.stream.take_error() {
            Ok(None) => End::ByPeer,
            Ok(Some(_)) | Err(_) => End::Reset,
        }
    }

    /// Writes as much as the socket takes now.
    pub fn flush(&mut self, now: Micros) -> Flushed {
        if self.connecting {
            return Flushed::All;
        }
        let flushed = match &mut self.kept {
            Kept::Backlog(backlog) => through_backlog(&self.stream, &mut self.outgoing, backlog, now),
            Kept::Rest(rest) => by_message(&self.stream, &mut self.outgoing, rest),
        };
        flushed.map_or(Flushed::Broken, |(flushed, sent)| {
            self.crossed[2] += sent;
            if sent > 0 {
                self.wrote = now;
            }
            flushed
        })
    }
}

fn through_backlog(
    stream: &TcpStream,
    outgoing: &mut Vec<u8>,
    backlog: &mut Backlog,
    now: Micros,
) -> Result<(Flushed, usize), ()> {
    let mut sent = 0;
    if backlog.is_clear() {
        sent = send_all(stream, outgoing)?;
    }
    let rest = std::mem::take(outgoing).split_off(sent);
    if backlog.add(&rest, now) == Step::Cut {
        return Err(());
    }
    while !backlog.is_clear() {
        let taken = send(stream, &backlog.turn())?;
        sent += taken;
        match backlog.tried(Some(taken), now) {
            Step::Cut => return Err(()),
            _ if taken == 0 => return Ok((Flushed::Waits, sent)),
            _ => {}
        }
    }
    Ok((Flushed::All, sent))
}

fn by_message(
    stream: &TcpStream,
    outgoing: &mut Vec<u8>,
    rest: &mut Option<Vec<u8>>,
) -> Result<(Flushed, usize), ()> {
    if let Some(bytes) = rest {
        let sent = send_all(stream, bytes)?;
        bytes.drain(..sent);
        if !bytes.is_empty() {
            return Ok((Flushed::Waits, sent));
        }
        *rest = None;
        return Ok((Flushed::Resumed, sent));
    }
    let bytes = std::mem::take(outgoing);
    let sent = send_all(stream, &bytes)?;
    if sent == bytes.len() {
        return Ok((Flushed::All, sent));
    }
    let (mut from, mut end) = (0, 0);
    while end < sent {
        from = end;
        end += 2 + (usize::from(bytes[end]) << 8 | usize::from(bytes[end + 1]));
    }
    let mut decoder = Decoder::default();
    decoder.feed(&bytes[if end > sent { from } else { end }..]);
    let mut messages = Vec::new();
    while let Ok(Some(message)) = decoder.next_message() {
        messages.push(message);
    }
    let cut = (end > sent).then(|| messages.remove(0));
    let cut = cut.filter(|message| message.kind == kind::SET_UP).map(|message| message.session);
    *rest = Some(bytes[sent..end.max(sent)].to_vec());
    Ok((Flushed::Stalled(cut, messages), sent))
}

fn send_all(stream: &TcpStream, bytes: &[u8]) -> Result<usize, ()> {
    let mut sent = 0;
    while sent < bytes.len() {
        match send(stream, &bytes[sent..])? {
            0 => break,
            taken => sent += taken,
        }
    }
    Ok(sent)
}

pub(super) fn send(stream: &TcpStream, bytes: &[u8]) -> Result<usize, ()> {
    match rustix::net::send(stream, bytes, SendFlags::NOSIGNAL) {
        Ok(taken) => Ok(taken),
        Err(Errno::AGAIN | Errno::INTR) => Ok(0),
        Err(_) => Err(()),
    }
}
