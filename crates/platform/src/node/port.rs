//! One connection of a viewer or a box: what was read of it and what waits to be written.

use std::net::TcpStream;

use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use rustix::net::SendFlags;
use salttally::interface::Micros;
use salttally_front::session_api::core::backlog::{Backlog, Step};

use crate::wire::Decoder;

/// Waiting to be written to one peer at most.
pub(super) const BACKLOG: usize = 256 * 1024;
/// A peer that takes nothing for this long is cut off.
pub(super) const STALLED: Micros = 2_000_000;

pub(super) struct Port {
    pub stream: TcpStream,
    pub decoder: Decoder,
    pub fresh: Vec<u8>,
    pub backlog: Backlog,
    pub connecting: bool,
    pub watched: EventFlags,
    /// Closed when all is written.
    pub closing: bool,
    /// Bytes read after it was closed.
    pub discarded: usize,
    /// Messages and bytes read, and bytes written, since they were last told.
    pub crossed: [usize; 3],
}

impl Port {
    pub fn new(stream: TcpStream, connecting: bool) -> Port {
        let backlog = Backlog::new(BACKLOG, STALLED);
        let (decoder, fresh) = (Decoder::default(), Vec::new());
        let watched = if connecting { EventFlags::OUT } else { EventFlags::IN };
        Port {
            stream,
            decoder,
            fresh,
            backlog,
            connecting,
            watched,
            closing: false,
            discarded: 0,
            crossed: [0; 3],
        }
    }

    /// Writes as much as the socket takes now. Tells whether something waits, or that it is of no more use.
    pub fn flush(&mut self, now: Micros) -> Result<bool, ()> {
        if self.connecting {
            return Ok(false);
        }
        let mut sent = 0;
        if self.backlog.is_clear() {
            while sent < self.fresh.len() {
                match send(&self.stream, &self.fresh[sent..])? {
                    0 => break,
                    taken => sent += taken,
                }
            }
        }
        self.crossed[2] += sent;
        let rest = self.fresh.split_off(sent);
        self.fresh = Vec::new();
        if self.backlog.add(&rest, now) == Step::Cut {
            return Err(());
        }
        while !self.backlog.is_clear() {
            let turn = self.backlog.turn();
            let taken = send(&self.stream, &turn)?;
            self.crossed[2] += taken;
            match self.backlog.tried(Some(taken), now) {
                Step::Cut => return Err(()),
                _ if taken == 0 => return Ok(true),
                _ => {}
            }
        }
        Ok(false)
    }
}

pub(super) fn send(stream: &TcpStream, bytes: &[u8]) -> Result<usize, ()> {
    match rustix::net::send(stream, bytes, SendFlags::NOSIGNAL) {
        Ok(taken) => Ok(taken),
        Err(Errno::AGAIN | Errno::INTR) => Ok(0),
        Err(_) => Err(()),
    }
}
