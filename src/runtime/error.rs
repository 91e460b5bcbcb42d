//! Errors that prevent startup or stop the event loop; operators see their texts.

use std::io;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Why the runtime cannot run.
#[derive(Debug, Error)]
pub enum RuntimeError {
    /// The event loop cannot be created, or it has failed.
    #[error("event loop failed: {0}")]
    EventLoop(#[from] calloop::Error),
    /// A socket or a timer cannot be registered with the event loop.
    #[error("cannot register an event source with the event loop: {0}")]
    Register(#[source] calloop::Error),
    /// A listening socket cannot be created, or a connection cannot be started.
    #[error("socket error: {0}")]
    Socket(#[from] io::Error),
    /// The address is in use, or is not an address of this host.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
}
