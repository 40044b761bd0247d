//! One connection of a client or a media server: its decoder and its unwritten bytes.

use std::net::TcpStream;

use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use rustix::net::SendFlags;
use salttally::interface::Micros;
use salttally_front::session_api::core::backlog::{Backlog, BacklogAction};

use super::CloseKind;
use crate::wire::{kind, Decoder, Message};

/// A client that accepts no bytes for this long is cut off.
pub(super) const STALL_TIMEOUT: Micros = 2_000_000;

/// The events for which a connection that is read is watched: bytes, and the close of the peer's writing
/// side.
pub(super) const READ_EVENTS: EventFlags = EventFlags::IN.union(EventFlags::RDHUP);

/// The result of writing.
#[derive(Debug, PartialEq)]
pub(super) enum FlushOutcome {
    /// Everything is written.
    Complete,
    /// The socket accepts no more bytes for now.
    Pending,
    /// A server's socket accepts no more bytes: the set-up of this session was partly written, and of these
    /// messages not a byte was. They are handed back, so that they can still be withdrawn.
    Blocked(Option<u64>, Vec<Message>),
    /// The socket accepts bytes again, and the rest of the cut message is written.
    Resumed,
    /// The connection is broken.
    Broken,
}

pub(super) struct Connection {
    pub stream: TcpStream,
    pub decoder: Decoder,
    pub outgoing: Vec<u8>,
    pub connecting: bool,
    pub watched: EventFlags,
    /// To be closed once everything is written.
    pub closing: bool,
    /// The peer has closed its writing side.
    pub half_closed: bool,
    /// The bytes from the peer cannot be decoded.
    pub unreadable: bool,
    /// A write has failed: the peer has reset the connection, and reading it does not report that any more.
    pub write_failed: bool,
    /// The writing side is closed here, and the connection is still read.
    pub finishing: bool,
    /// The socket accepts no bytes, and a retry is scheduled.
    pub stalled: bool,
    /// When bytes were last written.
    pub last_written: Micros,
    /// Number of bytes read since the connection was closed.
    pub discarded: usize,
    /// Numbers of messages and bytes read, and of bytes written, since the last log line.
    pub traffic: [usize; 3],
    unwritten: Unwritten,
}

/// Bytes that the socket has not accepted.
enum Unwritten {
    /// Answers to a client, up to a limit.
    Backlog(Backlog),
    /// The rest of one message to a media server, if it was partly written.
    PartialMessage(Option<Vec<u8>>),
}

impl Connection {
    /// A client's connection, for which at most so many bytes may wait.
    pub fn client(stream: TcpStream, max_backlog_bytes: usize) -> Connection {
        Connection::new(stream, false, Unwritten::Backlog(Backlog::new(max_backlog_bytes, STALL_TIMEOUT)))
    }

    /// A connection to a media server that is being established.
    pub fn dialed(stream: TcpStream) -> Connection {
        Connection::new(stream, true, Unwritten::PartialMessage(None))
    }

    fn new(stream: TcpStream, connecting: bool, unwritten: Unwritten) -> Connection {
        let (decoder, outgoing) = (Decoder::default(), Vec::new());
        let watched = if connecting { EventFlags::OUT } else { READ_EVENTS };
        let (closing, half_closed, unreadable) = (false, false, false);
        let (write_failed, finishing, stalled) = (false, false, false);
        let (last_written, discarded, traffic) = (0, 0, [0; 3]);
        Connection {
            stream,
            decoder,
            outgoing,
            connecting,
            watched,
            closing,
            half_closed,
            unreadable,
            write_failed,
            finishing,
            stalled,
            last_written,
            discarded,
            traffic,
            unwritten,
        }
    }

    /// Whether bytes wait that the socket has not accepted.
    pub fn has_unwritten(&self) -> bool {
        match &self.unwritten {
            Unwritten::Backlog(backlog) => !backlog.accepts_direct_writes(),
            Unwritten::PartialMessage(rest) => rest.is_some(),
        }
    }

    /// How the peer, which has closed its writing side, ended the connection. After a socket has returned the
    /// close, reading it again does not report a reset.
    pub fn close_kind(&self) -> CloseKind {
        match self.stream.take_error() {
            Ok(None) if !self.write_failed => CloseKind::Closed,
            Ok(None) => CloseKind::Reset,
            Ok(Some(_)) | Err(_) => CloseKind::Reset,
        }
    }

    /// Writes as much as the socket accepts now.
    pub fn flush(&mut self, now: Micros) -> FlushOutcome {
        if self.connecting {
            return FlushOutcome::Complete;
        }
        let flushed = match &mut self.unwritten {
            Unwritten::Backlog(backlog) => {
                flush_through_backlog(&self.stream, &mut self.outgoing, backlog, now)
            }
            Unwritten::PartialMessage(rest) => flush_by_message(&self.stream, &mut self.outgoing, rest),
        };
        self.write_failed |= flushed.is_err();
        flushed.map_or(FlushOutcome::Broken, |(flushed, sent)| {
            self.traffic[2] += sent;
            if sent > 0 {
                self.last_written = now;
            }
            flushed
        })
    }
}

fn flush_through_backlog(
    stream: &TcpStream,
    outgoing: &mut Vec<u8>,
    backlog: &mut Backlog,
    now: Micros,
) -> Result<(FlushOutcome, usize), ()> {
    let mut sent = 0;
    if backlog.accepts_direct_writes() {
        sent = send_all(stream, outgoing)?;
    }
    let rest = std::mem::take(outgoing).split_off(sent);
    if backlog.push_unsent(&rest, now) == BacklogAction::Disconnect {
        return Err(());
    }
    while !backlog.accepts_direct_writes() {
        let accepted = send(stream, &backlog.next_chunk())?;
        sent += accepted;
        match backlog.record_write(Some(accepted), now) {
            BacklogAction::Disconnect => return Err(()),
            _ if accepted == 0 => return Ok((FlushOutcome::Pending, sent)),
            _ => {}
        }
    }
    Ok((FlushOutcome::Complete, sent))
}

fn flush_by_message(
    stream: &TcpStream,
    outgoing: &mut Vec<u8>,
    rest: &mut Option<Vec<u8>>,
) -> Result<(FlushOutcome, usize), ()> {
    if let Some(bytes) = rest {
        let sent = send_all(stream, bytes)?;
        bytes.drain(..sent);
        if !bytes.is_empty() {
            return Ok((FlushOutcome::Pending, sent));
        }
        *rest = None;
        return Ok((FlushOutcome::Resumed, sent));
    }
    let bytes = std::mem::take(outgoing);
    let sent = send_all(stream, &bytes)?;
    if sent == bytes.len() {
        return Ok((FlushOutcome::Complete, sent));
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
    Ok((FlushOutcome::Blocked(cut, messages), sent))
}

fn send_all(stream: &TcpStream, bytes: &[u8]) -> Result<usize, ()> {
    let mut sent = 0;
    while sent < bytes.len() {
        match send(stream, &bytes[sent..])? {
            0 => break,
            accepted => sent += accepted,
        }
    }
    Ok(sent)
}

pub(super) fn send(stream: &TcpStream, bytes: &[u8]) -> Result<usize, ()> {
    match rustix::net::send(stream, bytes, SendFlags::NOSIGNAL) {
        Ok(accepted) => Ok(accepted),
        Err(Errno::AGAIN | Errno::INTR) => Ok(0),
        Err(_) => Err(()),
    }
}
