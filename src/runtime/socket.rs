//! Creates non-blocking TCP sockets that listen or connect.

use super::error::RuntimeError;
use super::limits::LISTEN_BACKLOG;
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};

/// `EINPROGRESS` on Linux: the connection is being established.
const IN_PROGRESS: i32 = 115;

/// Which connections a listening socket accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// Those of users, workers and the load balancer.
    Clients,
    /// Those of other controllers.
    Peers,
}

/// Listens on an address, with `SO_REUSEADDR` so that a restarted process can bind it at once.
///
/// # Errors
///
/// Returns the error of the operating system; if binding or listening fails, it names the address.
pub fn listen(address: SocketAddrV4) -> Result<TcpListener, RuntimeError> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket
        .bind(&SocketAddr::V4(address).into())
        .and_then(|()| socket.listen(LISTEN_BACKLOG))
        .map_err(|source| RuntimeError::Listen { address, source })?;
    Ok(socket.into())
}

/// Starts to connect; the socket becomes writable once the connection is established.
///
/// # Errors
///
/// Returns the error of the operating system if the attempt fails at once.
pub fn begin_connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    let _ = socket.set_tcp_nodelay(true);
    match socket.connect(&SocketAddr::V4(address).into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(IN_PROGRESS) => {}
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}
