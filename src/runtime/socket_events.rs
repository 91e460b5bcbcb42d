//! Handles readiness events of sockets: accepts, reads, writes and closes connections.

use super::Runtime;
use super::call::CallOutcome;
use super::connection::{Connection, ConnectionId, Role, drop_written};
use super::error::RuntimeError;
use super::limits::{MAX_ACCEPTS_PER_EVENT, PEER_RETRY_INTERVAL};
use super::socket::ListenerKind;
use crate::controller::Event;
use crate::http;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use log::debug;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

impl Runtime {
    /// Adds a connection and registers its socket with the event loop.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop cannot register the socket.
    pub(super) fn add_connection(
        &mut self,
        stream: TcpStream,
        role: Role,
        connected: bool,
    ) -> Result<ConnectionId, RuntimeError> {
        let id = self.connections.take_id();
        let stream = Rc::new(stream);
        let source = Generic::new(Rc::clone(&stream), Interest::BOTH, Mode::Edge);
        let registration = self
            .handle
            .insert_source(source, move |ready, _, runtime: &mut Runtime| {
                runtime.socket_ready(id, ready.readable, ready.writable);
                Ok(PostAction::Continue)
            })
            .map_err(|error| RuntimeError::Register(error.error))?;
        let connection = Connection::new(stream, registration, role, connected, self.now);
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Accepts the connections that wait at a listener, up to [`MAX_ACCEPTS_PER_EVENT`]. At the
    /// socket limit, a client replaces an idle command connection or is refused.
    pub(super) fn accept(&mut self, listener: &TcpListener, kind: ListenerKind) {
        self.read_clock();
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let fits = kind == ListenerKind::Peers || self.connections.client_fits();
            if !fits && !self.close_idle_command() {
                self.stats.refused_connections += 1;
                continue;
            }
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            let role = match kind {
                ListenerKind::Peers => Role::PeerIn { member: None },
                ListenerKind::Clients => {
                    Role::Client { busy: false, since: self.now, is_heartbeat: false }
                }
            };
            if let Err(error) = self.add_connection(stream, role, true) {
                debug!("cannot add an accepted connection: {error}");
            }
        }
    }

    /// Handles a readiness event of a socket.
    fn socket_ready(&mut self, id: ConnectionId, readable: bool, writable: bool) {
        self.read_clock();
        let Some(connection) = self.connections.get_mut(id) else {
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

    /// Reads until the socket would block: readiness is edge-triggered, so the event loop reports
    /// available data only once.
    fn read(&mut self, id: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(id) else {
                return;
            };
            match (&*connection.stream).read(&mut self.buffer) {
                Ok(0) => {
                    self.close(id);
                    return;
                }
                Ok(length) => {
                    connection.receive(&self.buffer[..length], self.now);
                    // After a short read that completed a message, skip the read that would
                    // return `WouldBlock`: data that arrives later raises a new edge.
                    if self.consume(id) && length < self.buffer.len() {
                        return;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(id);
                    return;
                }
            }
        }
    }

    /// Parses received bytes by the connection's role. Returns true if a message was handled or the
    /// connection is closed.
    pub(super) fn consume(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(id) else {
            return true;
        };
        match connection.role {
            Role::Client { busy: true, .. } => {
                // Requests are handled one at a time; a client that sends too many bytes ahead is
                // disconnected.
                if connection.inbound.len() > http::MAX_REQUEST_BODY_BYTES + http::MAX_HEAD_BYTES {
                    self.close(id);
                }
                false
            }
            Role::Client { .. } => self.consume_request(id),
            Role::Outgoing { .. } => self.consume_response(id),
            Role::PeerIn { .. } => self.consume_frames(id),
            Role::PeerOut { .. } => {
                // Peers send nothing on outbound connections.
                connection.inbound.clear();
                false
            }
        }
    }

    /// Writes as many of the waiting bytes as the socket accepts.
    pub(super) fn write(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
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
                        connection.last_active = self.now;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    drop_written(&mut connection.outbound, &mut connection.written);
                    return;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(id);
                    return;
                }
            }
        }
        connection.clear_written();
        let busy = matches!(connection.role, Role::Client { busy: true, .. });
        if connection.close_after_response && !busy {
            self.close(id);
        }
    }

    /// Closes a connection and ends the call that is pending on it.
    pub(super) fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.handle.remove(connection.registration);
        match connection.role {
            Role::Client { .. } | Role::PeerIn { .. } => {}
            Role::PeerOut { member } => {
                if let Some(link) = self.peers.get_mut(&member)
                    && link.connection == Some(id)
                {
                    link.connection = None;
                    link.connect_at = self.now + PEER_RETRY_INTERVAL;
                    self.dispatch(Event::PeerDown(member));
                }
            }
            Role::Outgoing { destination, call } => {
                let pool = self.calls.pool(destination);
                pool.open = pool.open.saturating_sub(1);
                pool.idle.retain(|idle| *idle != id);
                if let Some(call) = call {
                    // Nothing was sent if the connection was never established.
                    let sent = connection.connected;
                    let outcome = if sent { CallOutcome::Unanswered } else { CallOutcome::NotSent };
                    self.finish_call(call, outcome);
                }
                self.assign_calls(destination);
            }
        }
    }
}
