//! Client connections that are closed here: their writing side is closed, and they are kept for a while, so that no
//! reset discards the bytes written last.
//!
//! What lies in the socket is read before the close and answered, up to a limit. What a client writes after the close is not
//! read: it could not be answered, and the client sends a request that crosses the close once more on a new connection. Only bytes that cannot be decoded are read and discarded, since a
//! client that sends them may read nothing before it has written everything.

use std::io::Read;
use std::net::Shutdown;

use rustix::event::epoll::{self, EventData, EventFlags};

use super::connection::Connection;
use super::sockets::would_block;
use super::{Node, CLIENT, KIND_MASK, LINGERING, LINGER_TIMEOUT, MAX_DISCARDED_BYTES, READ_SIZE};
use crate::core::{ClientId, NodeEvent};

/// Reads from a connection before it is closed, at most: as much as a socket holds in its usual size.
const READS_BEFORE_CLOSE: usize = 16;

impl Node {
    /// Closes a client's connection once what lies in its socket is read, and the answers to it are written.
    pub(super) fn close_client(&mut self, client: ClientId) {
        let token = CLIENT | client.0;
        let is_read = |connection: &Connection| {
            !connection.closing && !connection.half_closed && !connection.unreadable
        };
        if self.connections.get(&token).is_some_and(is_read) {
            self.read_repeatedly(token, READS_BEFORE_CLOSE);
        }
        match self.connections.contains_key(&token) {
            true => self.close(token),
            false => self.closed_client_gone(token),
        }
    }

    /// Everything is written: a client's connection lingers for a while, a media server's is just closed.
    pub(super) fn shut_down(&mut self, token: u64) {
        let Some(connection) = self.connections.remove(&token) else { return };
        super::trace_close(token, "closed here");
        let _ = epoll::delete(&self.epoll_fd, &connection.stream);
        if token & KIND_MASK != CLIENT {
            return;
        }
        let lingering = LINGERING | (token & !KIND_MASK);
        let is_done = connection.half_closed || connection.stream.shutdown(Shutdown::Write).is_err();
        let data = EventData::new_u64(lingering);
        let flags = EventFlags::IN | EventFlags::RDHUP;
        if is_done || epoll::add(&self.epoll_fd, &connection.stream, data, flags).is_err() {
            return self.closed_client_gone(token);
        }
        self.lingering.insert((self.clock.now() + LINGER_TIMEOUT, lingering));
        self.connections.insert(lingering, connection);
    }

    /// Reports that a client's connection which was closed here is gone.
    pub(super) fn closed_client_gone(&mut self, token: u64) {
        self.incoming_events.push_back(NodeEvent::ClosedClientGone(ClientId(token & !KIND_MASK)));
    }

    /// Something happened on a lingering connection.
    pub(super) fn lingering_ready(&mut self, token: u64, flags: EventFlags) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.unreadable {
            return self.discard(token);
        }
        let has_left = flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR);
        let has_written = match has_left {
            true => matches!((&connection.stream).read(&mut [0; 1]), Ok(count) if count > 0),
            false => flags.contains(EventFlags::IN),
        };
        if has_written {
            self.incoming_events.push_back(NodeEvent::ClientWroteAfterClose(ClientId(token & !KIND_MASK)));
        }
        if has_left {
            self.connections.remove(&token);
            self.closed_client_gone(token);
        } else if let Some(connection) = self.connections.get(&token) {
            let data = EventData::new_u64(token);
            let _ = epoll::modify(&self.epoll_fd, &connection.stream, data, EventFlags::RDHUP);
        }
    }

    /// Reads from a closed connection, up to a limit.
    pub(super) fn discard(&mut self, token: u64) {
        let mut bytes = [0; READ_SIZE];
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let is_done = match (&connection.stream).read(&mut bytes) {
            Ok(0) => true,
            Ok(count) => {
                connection.discarded += count;
                connection.discarded > MAX_DISCARDED_BYTES
            }
            Err(error) => !would_block(&error),
        };
        if is_done {
            self.connections.remove(&token);
            if token & KIND_MASK == LINGERING {
                self.closed_client_gone(token);
            }
        }
    }

    /// Drops the connections that have lingered for long enough, and cuts off the stalled ones.
    pub(super) fn close_lingering(&mut self) {
        let now = self.clock.now();
        // At the end of the process all clients are closed at once, and a request may cross each of the closes.
        let max_lingering =
            if self.core.is_shutting_down() { usize::MAX } else { self.max_lingering_clients };
        while let Some((due, token)) = self.lingering.first().copied() {
            if due > now && self.lingering.len() <= max_lingering {
                break;
            }
            self.lingering.pop_first();
            self.drop_closed_client(token);
        }
        while let Some((_, token)) = self.stalled.first().copied().filter(|(due, _)| *due <= now) {
            self.stalled.pop_first();
            let Some(connection) = self.connections.get_mut(&token) else { continue };
            connection.stalled = false;
            if connection.closing {
                self.drop_closed_client(token);
            } else {
                // Retried once, and cut off if nothing is accepted.
                self.to_flush.push_back(token);
            }
        }
    }

    /// Closes the connection that has lingered for the longest, else a client's stalled connection that is
    /// closing; returns whether there was one.
    pub(super) fn evict_lingering(&mut self) -> bool {
        while let Some((_, token)) = self.lingering.pop_first() {
            if self.drop_closed_client(token) {
                // What crosses its close from now on is not seen any more.
                let client = ClientId(token & !KIND_MASK);
                self.incoming_events.push_back(NodeEvent::ClientWroteAfterClose(client));
                return true;
            }
        }
        let is_closing = |(_, token): &&(u64, u64)| {
            self.connections.get(token).is_some_and(|connection| connection.closing)
        };
        let Some(first) = self.stalled.iter().find(is_closing).copied() else { return false };
        self.stalled.remove(&first);
        self.drop_closed_client(first.1)
    }

    /// Drops a client's connection that was closed here; returns whether it was still there.
    fn drop_closed_client(&mut self, token: u64) -> bool {
        if self.connections.remove(&token).is_none() {
            return false;
        }
        super::trace_close(token, "dropped");
        self.closed_client_gone(token);
        true
    }
}
