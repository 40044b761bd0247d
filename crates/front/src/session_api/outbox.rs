//! Writes to players without ever waiting for one.
//!
//! Danger: a player that reads nothing. Its socket fills, and whoever writes to it next would wait, with every
//! other viewer's answer behind. So each write takes what the socket takes now; the rest waits in the outbox,
//! and one thread for all of them tries again. An outbox that grows too long, or stays full for too long, has
//! its connection closed, which gives up that player's sessions and nobody else's.

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

/// Pause between two tries while something waits anywhere.
const PAUSE: Duration = Duration::from_millis(5);

/// The way to one player.
#[derive(Debug)]
pub struct Outbox {
    stream: Arc<TcpStream>,
    clock: Clock,
    backlog: Mutex<Backlog>,
    flusher: Sender<Arc<Outbox>>,
}

impl Outbox {
    /// The way to the player on this socket.
    pub fn new(
        stream: Arc<TcpStream>,
        clock: Clock,
        backlog: Backlog,
        flusher: Sender<Arc<Outbox>>,
    ) -> Arc<Outbox> {
        Arc::new(Outbox { stream, clock, backlog: Mutex::new(backlog), flusher })
    }

    fn hold(&self) -> MutexGuard<'_, Backlog> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends bytes that belong together; they are written whole or the connection is closed.
    pub fn send(self: &Arc<Self>, bytes: &[u8]) {
        let mut backlog = self.hold();
        let mut written = Some(0);
        if backlog.accepts_direct_writes() {
            written = self.push(bytes).ok();
        }
        let step = match written.and_then(|written| bytes.get(written..)) {
            Some(rest) => backlog.push_unsent(rest, self.clock.now()),
            None => backlog.record_write(None, self.clock.now()),
        };
        if step == BacklogAction::ScheduleFlush && self.flusher.send(Arc::clone(self)).is_err() {
            backlog.close();
        }
        self.act(step);
    }

    /// Closes the connection; what waits is lost.
    pub fn close(&self) {
        self.hold().close();
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Sends nothing more; what was written still reaches the player.
    pub fn end(&self) {
        self.hold().close();
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Whoever reads from it finds the end.
    pub fn stop_reading(&self) {
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    fn act(&self, step: BacklogAction) {
        if step == BacklogAction::Disconnect {
            tracing::debug!(peer = ?self.stream.peer_addr().ok(), "player reads nothing: cut off");
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes as much as the socket takes now.
    fn push(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut done = 0;
        while done < bytes.len() {
            let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
            match SockRef::from(&*self.stream).send_with_flags(&bytes[done..], flags) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(taken) => done += taken,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(done)
    }

    /// One more try; returns whether something still waits.
    fn flush(&self) -> bool {
        let mut backlog = self.hold();
        let taken = self.push(&backlog.next_chunk()).ok();
        let step = backlog.record_write(taken, self.clock.now());
        self.act(step);
        step == BacklogAction::ScheduleFlush
    }
}

/// The thread that tries again for all outboxes with something left; it sleeps while there is none, and ends
/// with the last sender.
pub fn spawn_flusher(inbox: Receiver<Arc<Outbox>>) -> io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name("outboxes".into()).stack_size(128 * 1024).spawn(move || {
        let mut full: Vec<Arc<Outbox>> = Vec::new();
        loop {
            if full.is_empty() {
                match inbox.recv() {
                    Ok(outbox) => full.push(outbox),
                    Err(_) => return,
                }
            }
            match inbox.recv_timeout(PAUSE) {
                Ok(outbox) => full.push(outbox),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => thread::sleep(PAUSE),
            }
            full.retain(|outbox| outbox.flush());
        }
    })
}

/// One text message as a frame of its own.
pub fn text_frame(text: String) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(text.len() + 10);
    let frame = Frame::message(text.into_bytes(), OpCode::Data(Data::Text), true);
    // Writing to memory does not fail.
    let _ = frame.format(&mut bytes);
    bytes
}
