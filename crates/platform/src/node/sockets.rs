//! Sockets as the kernel has them: made without waiting, and what their errors prove.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

use crate::core::DialError;

pub(super) fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

pub(super) fn dial(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(Errno::INPROGRESS.raw_os_error()) => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

pub(super) fn again(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Either proves that nothing was sent; only a refusal proves that no process listens. Danger: this process's own lack
/// of files or ports, taken for the machine being gone, would end all that plays there.
pub(super) fn dial_error(error: &io::Error) -> DialError {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => DialError::Refused,
        _ if is_own_lack(error) => DialError::NotTried,
        _ => DialError::TimedOut,
    }
}

/// Whether this process or machine has no room for another socket.
pub(super) fn is_own_lack(error: &io::Error) -> bool {
    let ours = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN];
    error.raw_os_error().is_some_and(|code| ours.iter().any(|ours| ours.raw_os_error() == code))
}
