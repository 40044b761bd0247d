//! Connections to media servers that are being finished: nothing more is written, and they are read until the
//! server closes them.
//!
//! A server that hangs reports the ends of its sessions when it resumes, on connections that it takes for
//! open. If these were closed before the server has closed them too, the reports would be lost.

use std::net::Shutdown;

use rustix::event::epoll;
use salttally::interface::Micros;

use super::{CloseKind, Node, KIND_MASK};
use crate::core::{ConnId, NodeEvent, END_NOTICE_LIMIT};

/// The core is asked at this interval whether to wait any longer for a server to close.
const FINISHING_TIMEOUT: Micros = END_NOTICE_LIMIT;

impl Node {
    /// Closes the writing side of a connection to a media server, and goes on reading it until the server
    /// closes.
    pub(super) fn finish(&mut self, token: u64) {
        self.flush(token);
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.has_unwritten() || connection.stream.shutdown(Shutdown::Write).is_err() {
            return self.remove_connection(token, CloseKind::Abandoned);
        }
        connection.finishing = true;
        self.finishing.insert((self.clock.now() + FINISHING_TIMEOUT, token));
    }

    /// A media server has closed its writing side. If it closes by a reset, it has not read everything, and
    /// the reset may arrive after the close: that is how a server that closed first answers what was written
    /// meanwhile.
    pub(super) fn server_half_closed(&mut self, token: u64) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let reset_by = connection.last_written + self.reset_timeout;
        if !connection.finishing || reset_by <= now {
            let end = connection.close_kind();
            return self.remove_connection(token, end);
        }
        connection.half_closed = true;
        self.incoming_events.push_back(NodeEvent::ServerHalfClosed(ConnId(token & !KIND_MASK)));
        let _ = epoll::delete(&self.epoll_fd, &connection.stream);
        self.finishing.insert((reset_by, token));
    }

    /// Reports the connections that have been finishing for long, and closes those whose servers have closed
    /// their side.
    pub(super) fn close_finished(&mut self) {
        let now = self.clock.now();
        while let Some((due, token)) = self.finishing.first().copied().filter(|(due, _)| *due <= now) {
            self.finishing.remove(&(due, token));
            let Some(connection) = self.connections.get_mut(&token) else { continue };
            if connection.half_closed {
                let end = connection.close_kind();
                self.remove_connection(token, end);
            } else {
                self.incoming_events.push_back(NodeEvent::FinishOverdue(ConnId(token & !KIND_MASK)));
                self.finishing.insert((now + FINISHING_TIMEOUT, token));
            }
        }
    }
}
