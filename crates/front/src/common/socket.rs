//! Outgoing connections of the front, and the threads that read them.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::thread;

use crate::core::DialError;
use crate::settings::Settings;

/// Stack size of these threads, bytes. Their buffers are on the heap.
const STACK_BYTES: usize = 96 * 1024;

/// A socket that another thread can close, even before it is connected.
#[derive(Debug, Default)]
pub struct Socket(Mutex<State>);

#[derive(Debug, Default)]
enum State {
    #[default]
    Connecting,
    Open(TcpStream),
    Closed,
}

impl Socket {
    /// Closes the socket and wakes the thread that reads from it.
    pub fn close(&self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let State::Open(stream) = std::mem::replace(&mut *state, State::Closed) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Connects, unless the socket has been closed meanwhile.
    pub(crate) fn connect(&self, address: SocketAddr, settings: &Settings) -> Result<TcpStream, DialError> {
        let stream = TcpStream::connect_timeout(&address, settings.io.connect_timeout)
            .map_err(|error| dial_error(&error))?;
        let _ = stream.set_nodelay(true);
        let duplicate = stream.try_clone().map_err(|error| dial_error(&error))?;
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match *state {
            State::Connecting => *state = State::Open(duplicate),
            _ => return Err(DialError::Refused),
        }
        Ok(stream)
    }
}

/// Maps an I/O error of a dial. Danger: if a lack of files or ports in this process counted as a refusal, it
/// would prove the process of the box dead, and all its sessions would be given up.
fn dial_error(error: &io::Error) -> DialError {
    let local_errors =
        [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EAGAIN, libc::EADDRNOTAVAIL];
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => DialError::TimedOut,
        _ if error.raw_os_error().is_some_and(|code| local_errors.contains(&code)) => DialError::TimedOut,
        _ => DialError::Refused,
    }
}

/// Starts a thread; calls `on_failure` if none can be started.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static, on_failure: impl FnOnce()) {
    if thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run).is_err() {
        tracing::warn!(name, "cannot start a thread");
        on_failure();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lack_of_local_resources_is_not_a_refusal_by_the_box() {
        let error = |code: i32| dial_error(&io::Error::from_raw_os_error(code));
        assert_eq!(error(libc::EMFILE), DialError::TimedOut);
        assert_eq!(error(libc::EADDRNOTAVAIL), DialError::TimedOut);
        assert_eq!(error(libc::ECONNREFUSED), DialError::Refused);
    }
}
