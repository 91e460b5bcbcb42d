//! Sockets on one event loop: listeners, HTTP connections and raw ones.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use millethold::http::{self, OutgoingAnswer, OutgoingRequest};
use millethold::runtime::socket;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;

/// Bytes read from a socket at once.
const READ_BUFFER: usize = 32 * 1024;
/// Type of all bodies.
const JSON: &str = "application/json";

/// A connection of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// A controller calls the key-value store.
    KvStore {
        /// Its number.
        controller: usize,
    },
    /// A controller calls the cloud.
    Cloud {
        /// Its number.
        controller: usize,
    },
    /// A controller sends direct commands.
    Commands {
        /// Its number.
        controller: usize,
        /// Number of the worker.
        worker: usize,
    },
    /// A worker heartbeats to a controller.
    Heartbeat {
        /// Number of the worker.
        worker: usize,
        /// Number of the controller.
        controller: usize,
    },
    /// A request of a user to a controller.
    User {
        /// Number of the request.
        request: u64,
    },
    /// One side of a relayed connection between controllers.
    Relay {
        /// Number of the relayed connection.
        relayed: u64,
        /// Whether it is the side of the controller that connected.
        from_initiator: bool,
    },
}

/// Something that a socket has brought.
#[derive(Debug)]
pub enum NetEvent {
    /// A request of a controller.
    Request(http::Request),
    /// An answer to a request of this process.
    Answer(http::Answer),
    /// Bytes of a relayed connection.
    Bytes(Vec<u8>),
    /// The connection is gone.
    Closed,
}

struct Connection {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    role: Role,
    inbound: Vec<u8>,
    outbound: Vec<u8>,
    written: usize,
    close_after: bool,
}

/// What the event loop calls when a socket is ready; `D` is the loop's data.
pub struct Callbacks<D> {
    /// A connection may be read (`readable`) or written (`writable`).
    pub ready: fn(data: &mut D, id: ConnectionId, readable: bool, writable: bool),
    /// A listener has accepted a connection.
    pub accepted: fn(data: &mut D, stream: TcpStream, role: ListenerRole),
}

impl<D> Clone for Callbacks<D> {
    fn clone(&self) -> Callbacks<D> {
        *self
    }
}

impl<D> Copy for Callbacks<D> {}

/// All sockets of a run, on an event loop whose data is `D`.
pub struct Net<D: 'static> {
    handle: LoopHandle<'static, D>,
    callbacks: Callbacks<D>,
    connections: HashMap<ConnectionId, Connection>,
    next: u64,
    buffer: Vec<u8>,
}

/// A shared socket, as the event loop wants it.
struct Shared(Rc<TcpStream>);

impl std::os::fd::AsFd for Shared {
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.0.as_fd()
    }
}

impl<D: 'static> Net<D> {
    /// Sockets on this event loop.
    pub fn new(handle: LoopHandle<'static, D>, callbacks: Callbacks<D>) -> Net<D> {
        Net {
            handle,
            callbacks,
            connections: HashMap::new(),
            next: 1,
            buffer: vec![0; READ_BUFFER],
        }
    }

    /// Listens; `role` is that of the connections that come.
    ///
    /// # Errors
    ///
    /// If the address cannot be had.
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

    /// Begins to connect.
    ///
    /// # Errors
    ///
    /// If the system refuses at once.
    pub fn connect(&mut self, address: SocketAddrV4, role: Role) -> io::Result<ConnectionId> {
        let stream = socket::begin_connect(address)?;
        self.add(stream, role)
    }

    /// Adds a connected socket.
    ///
    /// # Errors
    ///
    /// If the event loop does not take it; the socket is closed by being dropped.
    pub fn add(&mut self, stream: TcpStream, role: Role) -> io::Result<ConnectionId> {
        let id = ConnectionId(self.next);
        self.next += 1;
        let stream = Rc::new(stream);
        let source = Generic::new(Shared(Rc::clone(&stream)), Interest::BOTH, Mode::Edge);
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
            close_after: false,
        };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// What a connection is for, if it is still there.
    pub fn role(&self, id: ConnectionId) -> Option<Role> {
        self.connections.get(&id).map(|c| c.role)
    }

    /// Closes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.handle.remove(connection.token);
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes a connection once all that waits has been written.
    pub fn close_when_written(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.close_after = true;
            self.write(id);
        }
    }

    /// Answers a request.
    pub fn answer(&mut self, id: ConnectionId, status: u16, body: &[u8]) {
        let answer =
            OutgoingAnswer { status, retry_after: None, content_type: JSON, body, close: false };
        let mut bytes = Vec::new();
        answer.write_to(&mut bytes);
        self.send(id, &bytes);
    }

    /// Sends a request.
    pub fn request(&mut self, id: ConnectionId, request: &OutgoingRequest, host: SocketAddrV4) {
        self.send(id, &request.to_bytes(host));
    }

    /// Sends bytes; they are lost if the connection is gone.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.outbound.extend_from_slice(bytes);
            self.write(id);
        }
    }

    /// Writes as much as the socket takes.
    pub fn write(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        while connection.written < connection.outbound.len() {
            match (&*connection.stream).write(&connection.outbound[connection.written..]) {
                Ok(0) => break,
                Ok(length) => connection.written += length,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Not connected yet, or full: the event loop tells of it. A connection
                // that is gone shows when it is read.
                Err(_) => return,
            }
        }
        connection.outbound.clear();
        connection.written = 0;
        if connection.close_after {
            self.close(id);
        }
    }

    /// Reads all that there is.
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
    /// Takes a whole message from what has been read.
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
                    http::parse_answer(&self.inbound).ok()??;
                (NetEvent::Answer(answer), used)
            }
        };
        self.inbound.drain(..used);
        Some(event)
    }
}

/// What the connections that a listener accepts are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerRole {
    /// Always the same.
    Fixed(Role),
    /// A link from one controller to another, which is relayed.
    Peer {
        /// Who connects.
        from: usize,
        /// Whom it wants to reach.
        to: usize,
    },
}

/// Accepts the connections that wait.
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
