//! Sockets that listen and sockets that connect, all without blocking.

use super::error::RuntimeError;
use super::limits::LISTEN_BACKLOG;
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};

/// Linux's EINPROGRESS: the connection is being made.
const IN_PROGRESS: i32 = 115;

/// Who connects to a listening socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// Users, workers and the load balancer.
    Senders,
    /// Other controllers.
    Peers,
}

/// Listens with an address that a quick restart may use again at once.
///
/// # Errors
///
/// Those of the system, with the address named where it is at fault.
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

/// Starts to connect; the socket becomes writable once that is done.
///
/// # Errors
///
/// Those of the system, where it refuses at once.
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
