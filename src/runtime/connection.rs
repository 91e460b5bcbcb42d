//! One open connection: what it is for, its buffers and its age.

use super::destination::Destination;
use super::limits::{
    CONNECT_TIMEOUT, IDLE_COMMAND_TIMEOUT, IDLE_SENDER_TIMEOUT, PEER_BUFFER_BYTES,
    QUIET_BUFFER_BYTES, SLOW_SENDER_TIMEOUT, STALLED_PEER_TIMEOUT,
};
use crate::controller::CallId;
use crate::time::Micros;
use calloop::RegistrationToken;
use std::net::TcpStream;
use std::rc::Rc;

/// Names a connection; never used twice in a process.
pub(super) type ConnectionId = u64;

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Requests from a user, a worker or the load balancer.
    Sender {
        /// A request has not been answered.
        busy: bool,
        /// When that request arrived, or when the last one was answered.
        since: Micros,
        /// The request is a worker's heartbeat.
        heartbeats: bool,
    },
    /// Frames from a peer.
    PeerIn {
        /// Which peer, once its first frame has said so.
        member: Option<usize>,
    },
    /// Frames to a peer.
    PeerOut {
        /// Which peer.
        member: usize,
    },
    /// Calls to an outside system or a worker.
    Outgoing {
        /// Where they go.
        destination: Destination,
        /// The call whose answer is awaited.
        call: Option<CallId>,
    },
}

impl Role {
    /// Whether it carries commands to a worker.
    pub(super) fn is_command(&self) -> bool {
        matches!(self, Role::Outgoing { destination, .. } if destination.is_worker())
    }
}

/// An open socket and what waits to be read from it or written to it.
pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    /// Its registration with the event loop.
    pub(super) registration: RegistrationToken,
    pub(super) role: Role,
    /// The connection has been established.
    pub(super) connected: bool,
    /// What was received and is no whole message yet.
    pub(super) inbound: Vec<u8>,
    /// What is to be written.
    pub(super) outbound: Vec<u8>,
    /// Bytes at the front of `outbound` that have been written.
    pub(super) written: usize,
    /// It is closed once its answer has been written.
    pub(super) close_after: bool,
    /// Last time that something arrived, or that a peer took something.
    pub(super) last_active: Micros,
    /// Since when it has awaited no answer, for connections with commands.
    pub(super) idle_since: Option<Micros>,
    /// When the message that is arriving began. A sender that drips its bytes
    /// is always active and would never be closed by that.
    pub(super) message_began: Micros,
}

impl Connection {
    /// A connection on which nothing was sent yet.
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
            close_after: false,
            last_active: now,
            idle_since: None,
            message_began: now,
        }
    }

    /// Bytes that wait to be written.
    pub(super) fn unwritten(&self) -> usize {
        self.outbound.len() - self.written
    }

    /// Takes in bytes that were received.
    pub(super) fn receive(&mut self, bytes: &[u8], now: Micros) {
        self.last_active = now;
        if self.inbound.is_empty() {
            self.message_began = now;
        }
        self.inbound.extend_from_slice(bytes);
    }

    /// Empties the buffer of what was written; a large one is given back.
    pub(super) fn clear_written(&mut self) {
        self.outbound.clear();
        self.written = 0;
        let kept = match self.role {
            Role::PeerIn { .. } | Role::PeerOut { .. } => PEER_BUFFER_BYTES,
            _ => QUIET_BUFFER_BYTES,
        };
        if self.outbound.capacity() > kept {
            self.outbound = Vec::new();
        }
    }

    /// Whether connecting has taken too long.
    pub(super) fn is_connecting_slowly(&self, now: Micros) -> bool {
        !self.connected && now > self.last_active + CONNECT_TIMEOUT
    }

    /// Whether it has been slow or idle for too long.
    pub(super) fn has_expired(&self, now: Micros) -> bool {
        let quiet_for_more_than = |span: Micros| now > self.last_active + span;
        let unread = !self.inbound.is_empty();
        let unwritten = !self.outbound.is_empty();
        match self.role {
            Role::Sender { busy: false, .. } => {
                let slow_to_send = unread && now > self.message_began + SLOW_SENDER_TIMEOUT;
                let slow_to_read = unwritten && quiet_for_more_than(SLOW_SENDER_TIMEOUT);
                slow_to_send || slow_to_read || quiet_for_more_than(IDLE_SENDER_TIMEOUT)
            }
            Role::Outgoing { call: None, destination } if destination.is_worker() => {
                quiet_for_more_than(IDLE_COMMAND_TIMEOUT)
            }
            Role::Outgoing { call: Some(_), .. } => self.is_connecting_slowly(now),
            Role::PeerOut { .. } => {
                self.connected && unwritten && quiet_for_more_than(STALLED_PEER_TIMEOUT)
            }
            _ => false,
        }
    }
}

/// Removes what has been written from a buffer that is never quite empty: between
/// busy controllers it would grow with all that was ever sent.
pub fn drop_written(buffer: &mut Vec<u8>, written: &mut usize) {
    if *written > buffer.len() / 2 {
        buffer.drain(..*written);
        *written = 0;
        buffer.shrink_to(2 * buffer.len());
    }
}

/// Removes what has been read; a buffer that is empty then is given back.
pub(super) fn take_front(buffer: &mut Vec<u8>, used: usize) {
    buffer.drain(..used);
    if buffer.is_empty() && buffer.capacity() > QUIET_BUFFER_BYTES {
        *buffer = Vec::new();
    }
}
