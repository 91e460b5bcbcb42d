//! Connections of all kinds: accepting, reading, writing and closing them.

use super::Runtime;
use super::calls::Destination;
use super::error::RuntimeError;
use super::limits::{ACCEPTED_PER_TURN, PEER_BUFFER, PEER_RETRY, QUIET_BUFFER, sender_fits};
use crate::controller::{CallId, Event};
use crate::http;
use crate::time::Micros;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use log::debug;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Names a connection; never used twice in a process.
pub(super) type ConnectionId = u64;

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Requests from a user, a worker or a prober.
    Sender {
        /// A request is being decided.
        busy: bool,
        /// When that request arrived.
        since: Micros,
        /// The request is a worker's report.
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

/// An open socket and what waits to be read from it or written to it.
pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    pub(super) registration: RegistrationToken,
    pub(super) role: Role,
    pub(super) connected: bool,
    pub(super) inbound: Vec<u8>,
    pub(super) outbound: Vec<u8>,
    /// Bytes at the front of `outbound` that have been written.
    pub(super) written: usize,
    pub(super) close_after: bool,
    /// Last time that something arrived, or that a peer took something.
    pub(super) active: Micros,
    /// Since when it has had nothing to do, for connections with commands.
    pub(super) idle_since: Option<Micros>,
    /// When the message that is arriving began. A sender that drips its bytes
    /// is always active and would never be closed by that.
    pub(super) message_began: Micros,
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
    if buffer.is_empty() && buffer.capacity() > QUIET_BUFFER {
        *buffer = Vec::new();
    }
}

impl Runtime {
    /// Registers a socket with the event loop.
    pub(super) fn add_connection(
        &mut self,
        stream: TcpStream,
        role: Role,
        connected: bool,
    ) -> Result<ConnectionId, RuntimeError> {
        let id = self.next_connection;
        self.next_connection += 1;
        let stream = Rc::new(stream);
        let source = Generic::new(Rc::clone(&stream), Interest::BOTH, Mode::Edge);
        let registration = self
            .handle
            .insert_source(source, move |ready, _, runtime: &mut Runtime| {
                runtime.socket_ready(id, ready.readable, ready.writable);
                Ok(PostAction::Continue)
            })
            .map_err(|e| RuntimeError::Register(e.error))?;
        match role {
            Role::Sender { .. } => self.senders += 1,
            Role::Outgoing { destination: Destination::Worker(_), .. } => self.commanding += 1,
            _ => {}
        }
        let connection = Connection {
            stream,
            registration,
            role,
            connected,
            inbound: Vec::new(),
            outbound: Vec::new(),
            written: 0,
            close_after: false,
            active: self.now,
            idle_since: None,
            message_began: self.now,
        };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Accepts connections of senders, or `for_peers` those of peers.
    pub(super) fn accept(&mut self, listener: &TcpListener, for_peers: bool) {
        self.read_clock();
        for _ in 0..ACCEPTED_PER_TURN {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let limit = self.config.settings.machine_limits.fd_limit;
            let full = !sender_fits(limit, self.senders, self.commanding);
            if !for_peers && full && !self.close_idle_command() {
                self.stats.refused_connections += 1;
                continue;
            }
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            let role = if for_peers {
                Role::PeerIn { member: None }
            } else {
                Role::Sender { busy: false, since: self.now, heartbeats: false }
            };
            if let Err(e) = self.add_connection(stream, role, true) {
                debug!("cannot watch a connection: {e}");
            }
        }
    }

    /// The event loop says that a socket may be read or written.
    fn socket_ready(&mut self, id: ConnectionId, readable: bool, writable: bool) {
        self.read_clock();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !connection.connected {
            if !writable && !readable {
                return;
            }
            if !matches!(connection.stream.take_error(), Ok(None)) {
                self.close(id);
                return;
            }
            if writable {
                connection.connected = true;
                if let Role::PeerOut { member } = connection.role {
                    debug!("connected to peer {member}");
                    self.dispatch(Event::PeerUp(member));
                }
            }
        }
        if writable {
            self.write(id);
        }
        if readable {
            self.read(id);
        }
    }

    /// Reads all that there is, since the event loop tells of it only once.
    fn read(&mut self, id: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            match (&*connection.stream).read(&mut self.buffer) {
                Ok(0) => {
                    self.close(id);
                    return;
                }
                Ok(length) => {
                    connection.active = self.now;
                    if connection.inbound.is_empty() {
                        connection.message_began = self.now;
                    }
                    connection.inbound.extend_from_slice(&self.buffer[..length]);
                    // A short read with a whole message in it: more would
                    // raise a new edge, so a further call is saved.
                    if self.consume(id) && length < self.buffer.len() {
                        return;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(id);
                    return;
                }
            }
        }
    }

    /// Takes whole messages from a connection; true if there was one.
    pub(super) fn consume(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return true;
        };
        match connection.role {
            Role::Sender { busy: true, .. } => {
                // One request at a time; what a sender piles up meanwhile is bounded.
                if connection.inbound.len() > http::MAX_BODY + http::MAX_HEAD {
                    self.close(id);
                }
                false
            }
            Role::Sender { .. } => self.consume_request(id),
            Role::Outgoing { .. } => self.consume_answer(id),
            Role::PeerIn { .. } => self.consume_frames(id),
            Role::PeerOut { .. } => {
                // Peers do not talk on this direction.
                connection.inbound.clear();
                false
            }
        }
    }

    /// Writes as much of what waits as the socket takes.
    pub(super) fn write(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !connection.connected {
            return;
        }
        while connection.written < connection.outbound.len() {
            match (&*connection.stream).write(&connection.outbound[connection.written..]) {
                Ok(0) => {
                    self.close(id);
                    return;
                }
                Ok(length) => {
                    connection.written += length;
                    if matches!(connection.role, Role::PeerOut { .. }) {
                        connection.active = self.now;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    drop_written(&mut connection.outbound, &mut connection.written);
                    return;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(id);
                    return;
                }
            }
        }
        self.all_written(id);
    }

    /// Nothing waits to be written any more.
    fn all_written(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.outbound.clear();
        connection.written = 0;
        let kept = match connection.role {
            Role::PeerIn { .. } | Role::PeerOut { .. } => PEER_BUFFER,
            _ => QUIET_BUFFER,
        };
        if connection.outbound.capacity() > kept {
            connection.outbound = Vec::new();
        }
        let busy = matches!(connection.role, Role::Sender { busy: true, .. });
        if connection.close_after && !busy {
            self.close(id);
        }
    }

    /// Closes a connection and ends the call that awaited an answer on it.
    pub(super) fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.handle.remove(connection.registration);
        match connection.role {
            Role::Sender { .. } => self.senders -= 1,
            Role::PeerIn { .. } => {}
            Role::PeerOut { member } => {
                if let Some(link) = self.peers.get_mut(&member)
                    && link.connection == Some(id)
                {
                    link.connection = None;
                    link.retry = self.now + PEER_RETRY;
                    self.dispatch(Event::PeerDown(member));
                }
            }
            Role::Outgoing { destination, call } => {
                if matches!(destination, Destination::Worker(_)) {
                    self.commanding -= 1;
                }
                if let Some(since) = connection.idle_since {
                    self.idle_commands.remove(&(since, id));
                }
                let pool = self.pools.entry(destination).or_default();
                pool.open = pool.open.saturating_sub(1);
                pool.idle.retain(|idle| *idle != id);
                if let Some(call) = call {
                    self.finish_call(call, None, !connection.connected);
                }
                self.assign_calls(destination);
            }
        }
    }
}
