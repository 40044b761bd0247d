//! The last step before the process exits: answers what clients have asked by now, and gives the sockets a moment to
//! accept the written bytes.
//!
//! A connection that is closed over unread bytes is reset, and the bytes written last are lost with it, so the
//! connections to servers are read until the servers have closed them.

use std::collections::BTreeSet;
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use rustix::buffer::spare_capacity;
use rustix::event::epoll;
use salttally_front::clock::timespec;

use super::connection::FlushOutcome;
use super::{Node, CLIENT, KIND_MASK, LINGERING, LINGER_TIMEOUT, POLL_EVENTS, READS_PER_TURN, SERVER};
use crate::core::Command;

/// Pause between two looks at the sockets.
const DRAIN_PAUSE: Duration = Duration::from_millis(2);

impl Node {
    /// Stops listening, answers the clients that have connected by now, and closes all connections.
    pub(super) fn drain_sockets(&mut self, out: &mut Vec<Command>) {
        self.stop_listening(out);
        let until = self.clock.now() + LINGER_TIMEOUT;
        let mut half_closed = BTreeSet::new();
        while self.clock.now() < until && !self.connections.is_empty() {
            self.answer_and_close_clients(out);
            self.poll_lingering();
            for token in self.tokens_of(SERVER) {
                if half_closed.contains(&token) {
                    self.discard(token);
                } else if self.flush_and_half_close(token) {
                    half_closed.insert(token);
                }
            }
            thread::sleep(DRAIN_PAUSE);
        }
    }

    /// Accepts and answers the clients that have connected by now, and closes the listener. A connection in the queue
    /// of a listener that closes is reset, and the request on it lost. Where there is no room for all of them, those
    /// that are answered make room for the next.
    fn stop_listening(&mut self, out: &mut Vec<Command>) {
        let until = self.clock.now() + LINGER_TIMEOUT;
        loop {
            let previous = self.last_client;
            self.accept_paused_until = None;
            self.accept();
            self.process_queues(out);
            let is_empty = self.last_client == previous && self.accept_paused_until.is_none();
            if is_empty || self.clock.now() >= until {
                break;
            }
            self.answer_and_close_clients(out);
        }
        if let Some(listener) = self.listener.take() {
            let _ = epoll::delete(&self.epoll_fd, &listener);
        }
    }

    /// Answers what has arrived from the clients, and closes their connections.
    fn answer_and_close_clients(&mut self, out: &mut Vec<Command>) {
        for token in self.tokens_of(CLIENT) {
            if self.connections.get(&token).is_some_and(|connection| connection.closing) {
                self.flush(token);
                continue;
            }
            self.read_repeatedly(token, READS_PER_TURN);
            self.process_queues(out);
            self.close(token);
            self.process_queues(out);
        }
    }

    /// Drops the closed connections that their clients have closed too.
    fn poll_lingering(&mut self) {
        let mut events = Vec::with_capacity(POLL_EVENTS);
        let _ = epoll::wait(&self.epoll_fd, spare_capacity(&mut events), Some(&timespec(0)));
        for event in events {
            let token = event.data.u64();
            if token & KIND_MASK == LINGERING {
                self.lingering_ready(token, event.flags);
            }
        }
    }

    /// Closes the writing side of a connection to a server; returns whether everything is written.
    fn flush_and_half_close(&mut self, token: u64) -> bool {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(&token) else { return true };
        if connection.connecting {
            return self.connections.remove(&token).is_some();
        }
        match connection.flush(now) {
            FlushOutcome::Pending | FlushOutcome::Blocked(..) => return false,
            FlushOutcome::Broken => return self.connections.remove(&token).is_some(),
            FlushOutcome::Complete | FlushOutcome::Resumed => {}
        }
        if connection.stream.shutdown(Shutdown::Write).is_err() {
            self.connections.remove(&token);
        }
        true
    }
}
