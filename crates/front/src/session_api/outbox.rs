//! Writes to players without blocking.
//!
//! Danger: a player that does not read. Its socket buffer fills up, and a blocking write would delay the
//! answers of all other viewers. So each write gives the socket what it takes now, the rest waits in the
//! outbox, and one thread flushes all outboxes. An outbox that grows too long, or is stalled for too long,
//! has its connection closed, which gives up that player's sessions and nobody else's.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use socket2::SockRef;
use tungstenite::protocol::frame::coding::{Data, OpCode};
use tungstenite::protocol::frame::Frame;

use super::core::backlog::{Backlog, BacklogAction};
use crate::clock::Clock;

/// Time between two flushes while any outbox has bytes left.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Output of one player's connection.
#[derive(Debug)]
pub struct Outbox {
    stream: Arc<TcpStream>,
    clock: Clock,
    backlog: Mutex<Backlog>,
    flusher: Sender<Arc<Outbox>>,
}

impl Outbox {
    /// The output of this socket.
    pub fn new(
        stream: Arc<TcpStream>,
        clock: Clock,
        backlog: Backlog,
        flusher: Sender<Arc<Outbox>>,
    ) -> Arc<Outbox> {
        Arc::new(Outbox { stream, clock, backlog: Mutex::new(backlog), flusher })
    }

    fn lock(&self) -> MutexGuard<'_, Backlog> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends bytes that belong together: either all of them are written, or the connection is closed.
    pub fn send(self: &Arc<Self>, bytes: &[u8]) {
        let mut backlog = self.lock();
        let mut written = Some(0);
        if backlog.accepts_direct_writes() {
            written = self.write(bytes).ok();
        }
        let action = match written.and_then(|written| bytes.get(written..)) {
            Some(rest) => backlog.push_unsent(rest, self.clock.now()),
            None => backlog.record_write(None, self.clock.now()),
        };
        if action == BacklogAction::ScheduleFlush && self.flusher.send(Arc::clone(self)).is_err() {
            backlog.close();
        }
        self.apply(action);
    }

    /// Closes the connection and discards the waiting bytes.
    pub fn close(&self) {
        self.lock().close();
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Ends the output; bytes that the socket has taken still reach the player.
    pub fn finish(&self) {
        self.lock().close();
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Ends the input: a pending read returns the end of the stream.
    pub fn stop_reading(&self) {
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    fn apply(&self, action: BacklogAction) {
        if action == BacklogAction::Disconnect {
            tracing::debug!(peer = ?self.stream.peer_addr().ok(), "player does not read; disconnecting");
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes as much as the socket takes now.
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        while written < bytes.len() {
            let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
            match SockRef::from(&*self.stream).send_with_flags(&bytes[written..], flags) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(written)
    }

    /// Flushes once; returns whether bytes still wait.
    fn flush(&self) -> bool {
        let mut backlog = self.lock();
        let written = self.write(&backlog.next_chunk()).ok();
        let action = backlog.record_write(written, self.clock.now());
        self.apply(action);
        action == BacklogAction::ScheduleFlush
    }
}

/// Starts the thread that flushes outboxes. It sleeps while none has bytes left, and ends when all senders
/// are gone.
pub fn spawn_flusher(inbox: Receiver<Arc<Outbox>>) -> io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name("outboxes".into()).stack_size(128 * 1024).spawn(move || {
        let mut pending: Vec<Arc<Outbox>> = Vec::new();
        loop {
            if pending.is_empty() {
                match inbox.recv() {
                    Ok(outbox) => pending.push(outbox),
                    Err(_) => return,
                }
            }
            match inbox.recv_timeout(FLUSH_INTERVAL) {
                Ok(outbox) => pending.push(outbox),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => thread::sleep(FLUSH_INTERVAL),
            }
            pending.retain(|outbox| outbox.flush());
        }
    })
}

/// A text message as a single frame.
pub fn text_frame(text: String) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(text.len() + 10);
    let frame = Frame::message(text.into_bytes(), OpCode::Data(Data::Text), true);
    // Writing to memory does not fail.
    let _ = frame.format(&mut bytes);
    bytes
}
