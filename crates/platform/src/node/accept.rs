//! Accepts client connections while there is room, and leaves them in the kernel's queue otherwise.

use std::io;

use rustix::event::epoll::{self, EventData, EventFlags};

use salttally::interface::Micros;

use super::connection::{self, Connection};
use super::sockets::is_resource_shortage;
use super::{Node, CLIENT, LINGERING, LISTENER};
use crate::core::{ClientId, NodeEvent};

/// Pause before the next accept when there is no room for another connection.
const ACCEPT_PAUSE: Micros = 20_000;
/// Maximum number of connections accepted in one turn.
const ACCEPTS_PER_TURN: usize = 64;

impl Node {
    /// Accepts the clients that have connected.
    pub(super) fn accept(&mut self) {
        let open = self.tokens_of(CLIENT).len() + self.tokens_of(LINGERING).len();
        let mut room = self.max_clients.saturating_sub(open);
        for _ in 0..ACCEPTS_PER_TURN {
            // Without this limit, a crowd accepted in one turn would use up the descriptors for connections
            // to the coordinator and the servers, before any of its connections is closed again.
            if room == 0 && !self.evict_lingering() {
                self.incoming_events.push_back(NodeEvent::ClientsWaiting);
                return self.pause_accepting("all client connections are in use");
            }
            room = room.max(1);
            let Some(listener) = &self.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if is_resource_shortage(&error) => {
                    self.evict_lingering();
                    return self.pause_accepting(&error.to_string());
                }
                Err(error) => {
                    // This one connection was closed before it was accepted.
                    tracing::debug!(%error, "connection closed before it was accepted");
                    continue;
                }
            };
            let _ = (stream.set_nonblocking(true), stream.set_nodelay(true));
            self.last_client += 1;
            let client = ClientId(self.last_client);
            let token = CLIENT | client.0;
            if epoll::add(&self.epoll_fd, &stream, EventData::new_u64(token), connection::READ_EVENTS).is_ok()
            {
                self.connections.insert(token, Connection::client(stream, self.max_client_backlog));
                self.incoming_events.push_back(NodeEvent::ClientConnected(client));
                self.may_have_unread = true;
                room -= 1;
            }
        }
    }

    /// Stops accepting for a while, as there are no descriptors: new clients wait in the kernel's queue, and
    /// the others are served. A listener that stays ready and cannot be served would otherwise keep the event
    /// loop busy.
    pub(super) fn pause_accepting(&mut self, why: &str) {
        tracing::debug!(why, "no room for a connection");
        self.accept_paused_until = Some(self.clock.now() + ACCEPT_PAUSE);
        self.watch_listener(EventFlags::empty());
    }

    pub(super) fn resume_accepting(&mut self) {
        if self.accept_paused_until.is_some_and(|until| until <= self.clock.now()) {
            self.accept_paused_until = None;
            self.watch_listener(EventFlags::IN);
        }
    }

    pub(super) fn watch_listener(&self, flags: EventFlags) {
        if let Some(listener) = &self.listener {
            let _ = epoll::modify(&self.epoll_fd, listener, EventData::new_u64(LISTENER), flags);
        }
    }
}
