//! Connections to the coordinator: their sockets, and the frames read on them.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};

use rustix::event::epoll::{self, EventData, EventFlags};

use super::connection::send;
use super::sockets::would_block;
use super::{Node, LIST, READ_SIZE};
use crate::core::NodeEvent;
use crate::wire::frames::FrameDecoder;

/// Maximum number of reads from a coordinator connection in one turn: it is read before all others.
const LIST_READS_PER_TURN: usize = 64;

/// A connection to the coordinator, established or being established.
pub(super) struct ListConnection {
    stream: TcpStream,
    connecting: bool,
    last_event: u64,
    frames: FrameDecoder,
}

impl Node {
    /// Connects to the coordinator, which sends the events after `last_event`.
    pub(super) fn connect_list(&mut self, number: u64, to: SocketAddr, last_event: u64) {
        match self.dial_and_watch(to, LIST | number) {
            Ok(stream) => {
                let frames = FrameDecoder::default();
                let connection = ListConnection { stream, connecting: true, last_event, frames };
                self.list_connections.insert(number, connection);
            }
            Err(error) => {
                tracing::warn!(%error, %to, "cannot connect to the coordinator");
                self.incoming_events.push_back(NodeEvent::ListClosed(number));
            }
        }
    }

    pub(super) fn list_ready(&mut self, number: u64) {
        let Some(connection) = self.list_connections.get_mut(&number) else { return };
        if connection.connecting {
            let last_event = connection.last_event.to_be_bytes();
            let is_established = connection.stream.take_error().ok().flatten().is_none()
                && send(&connection.stream, &last_event) == Ok(last_event.len())
                && epoll::modify(
                    &self.epoll_fd,
                    &connection.stream,
                    EventData::new_u64(LIST | number),
                    EventFlags::IN,
                )
                .is_ok();
            connection.connecting = false;
            return match is_established {
                true => self.incoming_events.push_back(NodeEvent::ListConnected(number)),
                false => self.list_connection_closed(number),
            };
        }
        // A drain that lies behind many other bytes would otherwise be read only after requests were sent to
        // that server.
        let (mut bytes, mut may_have_more, mut ended) = ([0; READ_SIZE], true, false);
        for _ in 0..LIST_READS_PER_TURN {
            match (&connection.stream).read(&mut bytes) {
                Ok(count) => {
                    connection.frames.feed(&bytes[..count]);
                    self.incoming_events.push_back(NodeEvent::ListBytes(number));
                    (may_have_more, ended) = (count == READ_SIZE, count == 0);
                }
                Err(error) => (may_have_more, ended) = (false, !would_block(&error)),
            }
            if !may_have_more || ended {
                break;
            }
        }
        self.may_have_unread |= may_have_more;
        loop {
            match connection.frames.next_frame() {
                Ok(Some(frame)) => self.incoming_events.push_back(NodeEvent::ListFrame(number, frame)),
                Ok(None) if ended => return self.list_connection_closed(number),
                Ok(None) => return,
                Err(error) => {
                    tracing::warn!(%error, "cannot decode the list");
                    return self.list_connection_closed(number);
                }
            }
        }
    }

    pub(super) fn list_connection_closed(&mut self, number: u64) {
        self.list_connections.remove(&number);
        self.incoming_events.push_back(NodeEvent::ListClosed(number));
    }
}
