//! One open connection: its role, its buffers and its timeouts.

use super::destination::Destination;
use super::limits::{
    CONNECT_TIMEOUT, IDLE_CLIENT_TIMEOUT, IDLE_COMMAND_TIMEOUT, MAX_IDLE_BUFFER_BYTES,
    MAX_IDLE_PEER_BUFFER_BYTES, SLOW_CLIENT_TIMEOUT, STALLED_PEER_TIMEOUT,
};
use crate::controller::CallId;
use crate::time::Micros;
use calloop::RegistrationToken;
use std::net::TcpStream;
use std::rc::Rc;

/// Identifies a connection; never reused within a process.
pub(super) type ConnectionId = u64;

/// The purpose of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Carries requests from a user, a worker or the load balancer.
    Client {
        /// A request is being processed.
        busy: bool,
        /// When that request arrived; while not busy, when the last one was answered, or when the
        /// connection was accepted.
        since: Micros,
        /// The current or last request is a worker's heartbeat.
        is_heartbeat: bool,
    },
    /// Carries frames from a peer.
    PeerIn {
        /// Member number of the peer; `None` until its first frame identifies it.
        member: Option<usize>,
    },
    /// Carries frames to a peer.
    PeerOut {
        /// Member number of the peer.
        member: usize,
    },
    /// Carries calls to the key-value store, the cloud or a worker.
    Outgoing {
        /// The target of the calls.
        destination: Destination,
        /// The call whose response is pending; `None` while idle.
        call: Option<CallId>,
    },
}

impl Role {
    /// Whether the connection carries commands to a worker.
    pub(super) fn is_command(&self) -> bool {
        matches!(self, Role::Outgoing { destination, .. } if destination.is_worker())
    }
}

/// An open socket with its inbound and outbound buffers.
pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    /// The socket's registration with the event loop.
    pub(super) registration: RegistrationToken,
    pub(super) role: Role,
    /// The connection has been established.
    pub(super) connected: bool,
    /// Received bytes that have not been parsed into a complete message.
    pub(super) inbound: Vec<u8>,
    /// Bytes to be written, including the first `written` ones.
    pub(super) outbound: Vec<u8>,
    /// Number of bytes at the front of `outbound` that have been written.
    pub(super) written: usize,
    /// The connection is closed once the response has been written.
    pub(super) close_after_response: bool,
    /// When data last arrived, a call was last assigned, or a peer last accepted data; initially
    /// when the connection was opened.
    pub(super) last_active: Micros,
    /// When a command connection became idle; `None` while busy and for all other roles.
    pub(super) idle_since: Option<Micros>,
    /// When the first byte of the incomplete message arrived. `last_active` is not enough: a
    /// client that sends a few bytes at a time is always active and would never time out.
    pub(super) message_started_at: Micros,
}

impl Connection {
    /// Creates a connection on which nothing has been sent.
    pub(super) fn new(
        stream: Rc<TcpStream>,
        registration: RegistrationToken,
        role: Role,
        connected: bool,
        now: Micros,
    ) -> Connection {
        Connection {
            stream,
            registration,
            role,
            connected,
            inbound: Vec::new(),
            outbound: Vec::new(),
            written: 0,
            close_after_response: false,
            last_active: now,
            idle_since: None,
            message_started_at: now,
        }
    }

    /// Number of bytes that wait to be written.
    pub(super) fn unwritten(&self) -> usize {
        self.outbound.len() - self.written
    }

    /// Appends received bytes to the inbound buffer.
    pub(super) fn receive(&mut self, bytes: &[u8], now: Micros) {
        self.last_active = now;
        if self.inbound.is_empty() {
            self.message_started_at = now;
        }
        self.inbound.extend_from_slice(bytes);
    }

    /// Clears the outbound buffer once all of it has been written; frees a large one.
    pub(super) fn clear_written(&mut self) {
        self.outbound.clear();
        self.written = 0;
        let max_capacity = match self.role {
            Role::PeerIn { .. } | Role::PeerOut { .. } => MAX_IDLE_PEER_BUFFER_BYTES,
            _ => MAX_IDLE_BUFFER_BYTES,
        };
        if self.outbound.capacity() > max_capacity {
            self.outbound = Vec::new();
        }
    }

    /// Whether the connection attempt has exceeded its timeout.
    pub(super) fn connect_timed_out(&self, now: Micros) -> bool {
        !self.connected && now > self.last_active + CONNECT_TIMEOUT
    }

    /// Whether the connection has been slow or idle for too long and is to be closed.
    pub(super) fn has_expired(&self, now: Micros) -> bool {
        let inactive_for = |span: Micros| now > self.last_active + span;
        let partial_message = !self.inbound.is_empty();
        let unwritten = !self.outbound.is_empty();
        match self.role {
            Role::Client { busy: false, .. } => {
                let slow_to_send =
                    partial_message && now > self.message_started_at + SLOW_CLIENT_TIMEOUT;
                let slow_to_read = unwritten && inactive_for(SLOW_CLIENT_TIMEOUT);
                slow_to_send || slow_to_read || inactive_for(IDLE_CLIENT_TIMEOUT)
            }
            Role::Outgoing { call: None, destination } if destination.is_worker() => {
                inactive_for(IDLE_COMMAND_TIMEOUT)
            }
            Role::Outgoing { call: Some(_), .. } => self.connect_timed_out(now),
            Role::PeerOut { .. } => {
                self.connected && unwritten && inactive_for(STALLED_PEER_TIMEOUT)
            }
            _ => false,
        }
    }
}

/// Discards the written front of a buffer once it makes up more than half of the buffer. Between
/// busy controllers the buffer may never become empty, and would otherwise grow with everything
/// ever sent.
pub fn drop_written(buffer: &mut Vec<u8>, written: &mut usize) {
    if *written > buffer.len() / 2 {
        buffer.drain(..*written);
        *written = 0;
        buffer.shrink_to(2 * buffer.len());
    }
}

/// Removes the `used` bytes that have been parsed from the front of a buffer; frees a large
/// buffer that is then empty.
pub(super) fn discard_consumed(buffer: &mut Vec<u8>, used: usize) {
    buffer.drain(..used);
    if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
        *buffer = Vec::new();
    }
}
