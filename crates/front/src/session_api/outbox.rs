//! Writes to players without ever waiting for one.
//!
//! Danger: a player that reads nothing. Its socket fills, and whoever writes to it next would wait, with every
//! other viewer's answer behind. So each write takes what the socket takes now; the rest waits in the outbox,
//! and one thread for all of them tries again. An outbox that grows too long, or stays full for too long, has
//! its connection closed, which gives up that player's sessions and nobody else's.

use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use salttally::interface::Micros;
use socket2::SockRef;

use crate::clock::Clock;

/// Pause between two tries while something waits anywhere.
const PAUSE: Duration = Duration::from_millis(5);

/// The way to one player.
#[derive(Debug)]
pub struct Outbox {
    stream: TcpStream,
    waiting: Mutex<Waiting>,
    most: usize,
    flusher: Sender<Arc<Outbox>>,
}

#[derive(Debug, Default)]
struct Waiting {
    bytes: VecDeque<u8>,
    /// With the flusher.
    handed: bool,
    closed: bool,
    /// Nothing was taken since then.
    stuck: Option<Micros>,
}

impl Outbox {
    /// The way to the player on this socket; `most` bytes may wait.
    pub fn new(stream: TcpStream, most: usize, flusher: Sender<Arc<Outbox>>) -> Arc<Outbox> {
        Arc::new(Outbox { stream, waiting: Mutex::default(), most, flusher })
    }

    /// Sends bytes that belong together; they are written whole or the connection is closed.
    pub fn send(self: &Arc<Self>, bytes: &[u8]) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.closed {
            return;
        }
        let mut written = 0;
        if waiting.bytes.is_empty() {
            match self.push(bytes) {
                Ok(taken) => written = taken,
                Err(_) => return self.shut(&mut waiting),
            }
        }
        let rest = bytes.get(written..).unwrap_or_default();
        if rest.is_empty() {
            return;
        }
        if waiting.bytes.len() + rest.len() > self.most {
            tracing::warn!(peer = ?self.stream.peer_addr().ok(), "player reads nothing: its outbox is full");
            return self.shut(&mut waiting);
        }
        waiting.bytes.extend(rest);
        if !waiting.handed {
            waiting.handed = true;
            if self.flusher.send(Arc::clone(self)).is_err() {
                self.shut(&mut waiting);
            }
        }
    }

    /// Closes the connection; what waits is lost.
    pub fn close(&self) {
        self.shut(&mut self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Sends nothing more; what was written still reaches the player.
    pub fn end(&self) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        (waiting.closed, waiting.bytes) = (true, VecDeque::new());
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    fn shut(&self, waiting: &mut Waiting) {
        waiting.closed = true;
        waiting.bytes.clear();
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Writes as much as the socket takes now.
    fn push(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut done = 0;
        while done < bytes.len() {
            let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
            match SockRef::from(&self.stream).send_with_flags(&bytes[done..], flags) {
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
    fn flush(&self, now: Micros, stalled: Duration) -> bool {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes: Vec<u8> = waiting.bytes.iter().copied().take(64 * 1024).collect();
        match self.push(&bytes) {
            Err(_) => self.shut(&mut waiting),
            Ok(0) if !bytes.is_empty() => {
                let since = *waiting.stuck.get_or_insert(now);
                if since + stalled.as_micros() as Micros <= now {
                    tracing::warn!(peer = ?self.stream.peer_addr().ok(), "player reads nothing: cut off");
                    self.shut(&mut waiting);
                }
            }
            Ok(taken) => {
                waiting.bytes.drain(..taken);
                waiting.stuck = None;
            }
        }
        waiting.handed = !waiting.bytes.is_empty();
        waiting.handed
    }
}

/// The thread that tries again for all outboxes with something left; it sleeps while there is none, and ends
/// with the last sender.
pub fn flusher(
    clock: Clock,
    stalled: Duration,
    inbox: Receiver<Arc<Outbox>>,
) -> io::Result<thread::JoinHandle<()>> {
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
            full.retain(|outbox| outbox.flush(clock.now(), stalled));
        }
    })
}
