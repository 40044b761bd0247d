//! Sockets to peers that the front connects to, and the threads that read them.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::thread;

use crate::core::DialError;
use crate::settings::Settings;

/// Stack of these threads; their buffers are on the heap.
const STACK: usize = 96 * 1024;

/// A socket that another thread may close, also before it stands.
#[derive(Debug, Default)]
pub struct Socket(Mutex<State>);

#[derive(Debug, Default)]
enum State {
    #[default]
    Making,
    Open(TcpStream),
    Closed,
}

impl Socket {
    /// Closes it; whoever reads from it wakes.
    pub fn close(&self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let State::Open(stream) = std::mem::replace(&mut *state, State::Closed) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Connects, unless it has been closed meanwhile.
    pub(crate) fn connect(&self, address: SocketAddr, settings: &Settings) -> Result<TcpStream, DialError> {
        let stream = TcpStream::connect_timeout(&address, settings.io.connect_timeout)
            .map_err(|error| dial_error(&error))?;
        let _ = stream.set_nodelay(true);
        let other = stream.try_clone().map_err(|error| dial_error(&error))?;
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match *state {
            State::Making => *state = State::Open(other),
            _ => return Err(DialError::Refused),
        }
        Ok(stream)
    }
}

/// What a dial that failed says. Danger: the front's own lack of files or ports, taken for a refusal, would prove a
/// box's process dead, and all its sessions would be given up.
fn dial_error(error: &io::Error) -> DialError {
    let ours = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EAGAIN, libc::EADDRNOTAVAIL];
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => DialError::TimedOut,
        _ if error.raw_os_error().is_some_and(|code| ours.contains(&code)) => DialError::TimedOut,
        _ => DialError::Refused,
    }
}

/// Starts a thread; `instead` is done where there is none to be had.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static, instead: impl FnOnce()) {
    if thread::Builder::new().name(name.into()).stack_size(STACK).spawn(run).is_err() {
        tracing::warn!(name, "no thread to be had");
        instead();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fronts_own_lack_of_files_must_not_prove_a_box_dead() {
        let error = |code: i32| dial_error(&io::Error::from_raw_os_error(code));
        assert_eq!(error(libc::EMFILE), DialError::TimedOut);
        assert_eq!(error(libc::EADDRNOTAVAIL), DialError::TimedOut);
        assert_eq!(error(libc::ECONNREFUSED), DialError::Refused);
    }
}
