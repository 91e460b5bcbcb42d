//! Sockets on one event loop: listeners, HTTP connections and relayed connections.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use millethold::http::{self, OutgoingRequest, OutgoingResponse};
use millethold::runtime::socket;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;

/// Bytes read from a socket at a time.
const READ_BUFFER: usize = 32 * 1024;
/// Content type of all bodies.
const JSON: &str = "application/json";

/// Identifies a connection of a run; never reused within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The purpose of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// From a controller to the key-value store.
    KvStore {
        /// Number of the controller.
        controller: usize,
    },
    /// From a controller to the cloud.
    Cloud {
        /// Number of the controller.
        controller: usize,
    },
    /// From a controller to a worker, for direct commands.
    Commands {
        /// Number of the controller.
        controller: usize,
        /// Number of the worker.
        worker: usize,
    },
    /// From a worker to a controller, for heartbeats.
    Heartbeat {
        /// Number of the worker.
        worker: usize,
        /// Number of the controller.
        controller: usize,
    },
    /// From a user to a controller.
    User {
        /// Number of the user's request.
        request: u64,
    },
    /// One side of a relayed connection between controllers.
    Relay {
        /// Id of the relayed connection.
        relay_id: u64,
        /// Whether this side leads to the controller that connected.
        from_initiator: bool,
    },
}

/// An event read from a socket.
#[derive(Debug)]
pub enum NetEvent {
    /// A request from a controller.
    Request(http::Request),
    /// The response to a request of this process.
    Response(http::Response),
    /// Bytes of a relayed connection.
    Bytes(Vec<u8>),
    /// The other side closed or reset the connection.
    Closed,
}

struct Connection {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    role: Role,
    inbound: Vec<u8>,
    outbound: Vec<u8>,
    written: usize,
    close_when_written: bool,
}

/// Functions that the event loop calls when a socket is ready. `D` is the loop's data.
pub struct Callbacks<D> {
    /// A connection is readable or writable.
    pub ready: fn(data: &mut D, id: ConnectionId, readable: bool, writable: bool),
    /// A listener accepted a connection.
    pub accepted: fn(data: &mut D, stream: TcpStream, role: ListenerRole),
}

impl<D> Clone for Callbacks<D> {
    fn clone(&self) -> Callbacks<D> {
        *self
    }
}

impl<D> Copy for Callbacks<D> {}

/// All sockets of a run, on an event loop with data `D`.
pub struct Net<D: 'static> {
    handle: LoopHandle<'static, D>,
    callbacks: Callbacks<D>,
    connections: HashMap<ConnectionId, Connection>,
    next_id: u64,
    buffer: Vec<u8>,
}

/// A shared socket that implements `AsFd`, as the event loop requires.
struct SharedStream(Rc<TcpStream>);

impl std::os::fd::AsFd for SharedStream {
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.0.as_fd()
    }
}

impl<D: 'static> Net<D> {
    /// Creates an empty set of sockets on this event loop.
    pub fn new(handle: LoopHandle<'static, D>, callbacks: Callbacks<D>) -> Net<D> {
        Net {
            handle,
            callbacks,
            connections: HashMap::new(),
            next_id: 1,
            buffer: vec![0; READ_BUFFER],
        }
    }

    /// Listens at an address. Accepted connections get `role`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound, or the event loop rejects the listener.
    pub fn listen(&mut self, address: SocketAddrV4, role: ListenerRole) -> io::Result<()> {
        let source = Generic::new(
            socket::listen(address).map_err(io::Error::other)?,
            Interest::READ,
            Mode::Level,
        );
        let accepted = self.callbacks.accepted;
        self.handle
            .insert_source(source, move |_, listener, data: &mut D| {
                accept(data, listener, role, accepted);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        Ok(())
    }

    /// Starts to connect.
    ///
    /// # Errors
    ///
    /// If the system refuses at once, or the event loop rejects the socket.
    pub fn connect(&mut self, address: SocketAddrV4, role: Role) -> io::Result<ConnectionId> {
        let stream = socket::begin_connect(address)?;
        self.add(stream, role)
    }

    /// Adds a socket that is connected or connecting.
    ///
    /// # Errors
    ///
    /// If the event loop rejects the socket, which is then dropped and so closed.
    pub fn add(&mut self, stream: TcpStream, role: Role) -> io::Result<ConnectionId> {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let stream = Rc::new(stream);
        let source = Generic::new(SharedStream(Rc::clone(&stream)), Interest::BOTH, Mode::Edge);
        let ready = self.callbacks.ready;
        let token = self
            .handle
            .insert_source(source, move |readiness, _, data: &mut D| {
                ready(data, id, readiness.readable, readiness.writable);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        let connection = Connection {
            stream,
            token,
            role,
            inbound: Vec::new(),
            outbound: Vec::new(),
            written: 0,
            close_when_written: false,
        };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// The purpose of a connection; `None` if it is closed.
    pub fn role(&self, id: ConnectionId) -> Option<Role> {
        self.connections.get(&id).map(|c| c.role)
    }

    /// Closes a connection; does nothing if it is closed already.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.handle.remove(connection.token);
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes a connection after all pending bytes are written.
    pub fn close_when_written(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.close_when_written = true;
            self.write(id);
        }
    }

    /// Sends an HTTP response.
    pub fn answer(&mut self, id: ConnectionId, status: u16, body: &[u8]) {
        let answer =
            OutgoingResponse { status, retry_after: None, content_type: JSON, body, close: false };
        let mut bytes = Vec::new();
        answer.write_to(&mut bytes);
        self.send(id, &bytes);
    }

    /// Sends an HTTP request.
    pub fn request(&mut self, id: ConnectionId, request: &OutgoingRequest, host: SocketAddrV4) {
        self.send(id, &request.to_bytes(host));
    }

    /// Sends bytes; drops them if the connection is closed.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.outbound.extend_from_slice(bytes);
            self.write(id);
        }
    }

    /// Writes pending bytes until the socket accepts no more.
    pub fn write(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        while connection.written < connection.outbound.len() {
            match (&*connection.stream).write(&connection.outbound[connection.written..]) {
                Ok(0) => break,
                Ok(length) => connection.written += length,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Not connected yet, or the socket's buffer is full: the event loop reports when it
                // is writable. Reading detects a closed connection.
                Err(_) => return,
            }
        }
        connection.outbound.clear();
        connection.written = 0;
        if connection.close_when_written {
            self.close(id);
        }
    }

    /// Reads all available bytes, and returns the complete messages in them. [`NetEvent::Closed`]
    /// is last if the connection has ended.
    pub fn read(&mut self, id: ConnectionId) -> Vec<NetEvent> {
        let mut events = Vec::new();
        let Some(connection) = self.connections.get_mut(&id) else {
            return events;
        };
        let open = loop {
            match (&*connection.stream).read(&mut self.buffer) {
                Ok(0) => break false,
                Ok(length) => connection.inbound.extend_from_slice(&self.buffer[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break false,
            }
        };
        while let Some(event) = connection.take_message() {
            events.push(event);
        }
        if !open {
            events.push(NetEvent::Closed);
        }
        events
    }
}

impl Connection {
    /// Takes the next complete message from the bytes read so far.
    fn take_message(&mut self) -> Option<NetEvent> {
        if self.inbound.is_empty() {
            return None;
        }
        let (event, used) = match self.role {
            Role::Relay { .. } => return Some(NetEvent::Bytes(std::mem::take(&mut self.inbound))),
            Role::KvStore { .. } | Role::Cloud { .. } | Role::Commands { .. } => {
                let http::Received { message: request, length: used } =
                    http::parse_request(&self.inbound).ok()??;
                (NetEvent::Request(request), used)
            }
            Role::Heartbeat { .. } | Role::User { .. } => {
                let http::Received { message: answer, length: used } =
                    http::parse_response(&self.inbound).ok()??;
                (NetEvent::Response(answer), used)
            }
        };
        self.inbound.drain(..used);
        Some(event)
    }
}

/// The purpose of the connections that a listener accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerRole {
    /// The same role for all connections.
    Fixed(Role),
    /// A link between controllers, which is relayed.
    Peer {
        /// Number of the controller that connects.
        from: usize,
        /// Number of the controller that it connects to.
        to: usize,
    },
}

/// Accepts all pending connections.
fn accept<D>(
    data: &mut D,
    listener: &TcpListener,
    role: ListenerRole,
    accepted: fn(&mut D, TcpStream, ListenerRole),
) {
    while let Ok((stream, _)) = listener.accept() {
        if stream.set_nonblocking(true).is_err() {
            continue;
        }
        let _ = stream.set_nodelay(true);
        accepted(data, stream, role);
    }
}
