//! Opens non-blocking sockets, and interprets their errors.

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

pub(super) fn would_block(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Either error proves that nothing was sent; only a refusal proves that no process listens. A lack of
/// descriptors or ports in this process must not be taken for the loss of the machine, which would end all
/// sessions that play there.
pub(super) fn dial_error(error: &io::Error) -> DialError {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => DialError::Refused,
        _ if is_resource_shortage(error) => DialError::NotTried,
        _ => DialError::TimedOut,
    }
}

/// Whether this process or machine has no resources for another socket.
pub(super) fn is_resource_shortage(error: &io::Error) -> bool {
    let shortages =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN];
    error.raw_os_error().is_some_and(|code| shortages.iter().any(|shortage| shortage.raw_os_error() == code))
}
