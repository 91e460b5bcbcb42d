//! What ends the process at its start. The texts are what operators see.

use std::io;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Why the runtime cannot run.
#[derive(Debug, Error)]
pub enum RuntimeError {
    /// No event loop can be made, or it has failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// The event loop cannot watch a socket or a timer.
    #[error("error inserting event source: {0}")]
    Register(#[source] calloop::Error),
    /// A socket to listen on cannot be made.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// An address is taken, or is none of this host's.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// What the system says.
        source: io::Error,
    },
}
