//! Outgoing calls: to the key-value store, the cloud and the workers.

use super::Runtime;
use super::connection::{ConnectionId, Role, take_front};
use super::error::RuntimeError;
use super::limits::{
    CLOUD_CONNECTIONS, COMMAND_TIMEOUT, INSPECT_TIMEOUT, LEASE_CONNECTIONS, STATE_CONNECTIONS,
    STATE_QUEUE, WATCH_CONNECTIONS, WORKER_CONNECTIONS, command_fits,
};
use super::socket::begin_connect;
use crate::cloud::{CloudCall, CloudReply};
use crate::controller::{CallId, DirectReply, Event, Reply};
use crate::http::{self, OutgoingRequest};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use crate::wire;
use log::{debug, warn};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Queue of the state calls that only read and wait for the service's rate.
const READS: usize = 0;
/// Queue of those that change something.
const CHANGES: usize = 1;

/// Where a call goes; each destination has its own connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Destination {
    /// The key-value store, for calls that are answered at once.
    State,
    /// The key-value store, for calls that wait for changes.
    Watch,
    /// The key-value store, for leases.
    Lease,
    /// The cloud.
    Cloud,
    /// A worker, for commands.
    Worker(SocketAddrV4),
}

impl Destination {
    /// Connections that may be open at once.
    fn most_connections(self) -> usize {
        match self {
            Destination::State => STATE_CONNECTIONS,
            Destination::Watch => WATCH_CONNECTIONS,
            Destination::Lease => LEASE_CONNECTIONS,
            Destination::Cloud => CLOUD_CONNECTIONS,
            Destination::Worker(_) => WORKER_CONNECTIONS,
        }
    }
}

/// What is asked, as far as it is needed to read the answer.
#[derive(Debug)]
pub(super) enum CallKind {
    /// Of the key-value store.
    State(KvRequest),
    /// Of the cloud.
    Cloud(CloudCall),
    /// Of a worker, without going through the cloud.
    Direct,
}

/// A call that has not been answered.
#[derive(Debug)]
pub(super) struct Call {
    kind: CallKind,
    destination: Destination,
    bytes: Vec<u8>,
    deadline: Micros,
    /// The connection on which it has been sent.
    connection: Option<ConnectionId>,
}

impl Call {
    /// A call that has not been sent.
    fn new(kind: CallKind, destination: Destination, bytes: Vec<u8>, deadline: Micros) -> Call {
        Call { kind, destination, bytes, deadline, connection: None }
    }
}

/// The connections to a destination and the calls that wait for one.
#[derive(Default)]
pub(super) struct Pool {
    pub(super) idle: Vec<ConnectionId>,
    pub(super) open: usize,
    pub(super) queue: VecDeque<CallId>,
}

impl Runtime {
    /// Starts a call to the key-value store, or lets it wait for the rate.
    pub(super) fn start_state(&mut self, id: CallId, call: KvRequest) {
        let bytes = call.encode().to_bytes(self.config.endpoints.state);
        let destination = if call.waits() {
            Destination::Watch
        } else if call.urgent() {
            Destination::Lease
        } else {
            Destination::State
        };
        let queue = if call.puts() > 0 { CHANGES } else { READS };
        let allowed = self.throttled[queue].is_empty() || call.urgent();
        let deadline = self.now + call.timeout();
        if allowed && self.budget.admit(self.now, &call) {
            self.start_call(id, Call::new(CallKind::State(call), destination, bytes, deadline));
        } else if self.throttled[queue].len() < STATE_QUEUE {
            self.register_call(id, Call::new(CallKind::State(call), destination, bytes, deadline));
            self.throttled[queue].push_back(id);
        } else {
            self.dispatch(Event::Reply { id, reply: Reply::KvStore(KvResponse::NotExecuted) });
        }
    }

    /// Starts a call to the cloud.
    pub(super) fn start_cloud(&mut self, id: CallId, call: CloudCall) {
        let bytes = call.encode().to_bytes(self.config.endpoints.cloud);
        let deadline = self.now + call.timeout();
        let kind = CallKind::Cloud(call);
        self.start_call(id, Call::new(kind, Destination::Cloud, bytes, deadline));
    }

    /// Sends commands to a worker.
    pub(super) fn start_commands(&mut self, id: CallId, address: SocketAddrV4, body: Vec<u8>) {
        let path = wire::path::COMMANDS.to_string();
        let request = OutgoingRequest { method: "POST", path, body: Some(body) };
        let bytes = request.to_bytes(address);
        let deadline = self.now + COMMAND_TIMEOUT;
        let destination = Destination::Worker(address);
        self.start_call(id, Call::new(CallKind::Direct, destination, bytes, deadline));
    }

    /// Asks a worker what it runs.
    pub(super) fn start_inspect(&mut self, id: CallId, address: SocketAddrV4) {
        let bytes = OutgoingRequest::get(wire::path::INSPECT.into()).to_bytes(address);
        let deadline = self.now + INSPECT_TIMEOUT;
        let destination = Destination::Worker(address);
        self.start_call(id, Call::new(CallKind::Direct, destination, bytes, deadline));
    }

    fn start_call(&mut self, id: CallId, call: Call) {
        let destination = call.destination;
        self.register_call(id, call);
        self.pools.entry(destination).or_default().queue.push_back(id);
        self.assign_calls(destination);
    }

    /// Notes a call and its deadline.
    fn register_call(&mut self, id: CallId, call: Call) {
        self.deadlines.insert((call.deadline, id));
        self.calls.insert(id, call);
    }

    /// Starts the state calls whose share of the rate has come.
    pub(super) fn admit_throttled(&mut self) {
        for queue in [READS, CHANGES] {
            while let Some(id) = self.throttled[queue].front().copied() {
                let mut destination = None;
                if let Some(call) = self.calls.get(&id)
                    && let CallKind::State(state_call) = &call.kind
                {
                    if !self.budget.admit(self.now, state_call) {
                        break;
                    }
                    destination = Some(call.destination);
                }
                self.throttled[queue].pop_front();
                if let Some(destination) = destination {
                    self.pools.entry(destination).or_default().queue.push_back(id);
                    self.assign_calls(destination);
                }
            }
        }
    }

    /// Gives a destination's waiting calls to its connections.
    pub(super) fn assign_calls(&mut self, destination: Destination) {
        while !self.pools.entry(destination).or_default().queue.is_empty() {
            let Some(connection) = self.free_connection(destination) else {
                return;
            };
            let pool = self.pools.entry(destination).or_default();
            let Some(call) = pool.queue.pop_front() else {
                return;
            };
            self.send_call(call, connection);
        }
    }

    /// An idle connection, or a new one if there may be one more.
    fn free_connection(&mut self, destination: Destination) -> Option<ConnectionId> {
        let pool = self.pools.entry(destination).or_default();
        if let Some(idle) = pool.idle.pop() {
            return Some(idle);
        }
        if pool.open >= destination.most_connections() {
            return None;
        }
        if matches!(destination, Destination::Worker(_)) && !self.room_for_command() {
            // Surely not sent; the worker's next report takes it along.
            let queue = self.pools.remove(&destination).map(|pool| pool.queue);
            for call in queue.unwrap_or_default() {
                self.finish_call(call, None, true);
            }
            return None;
        }
        self.open_connection(destination)
    }

    /// Begins to connect. If that fails at once, the first waiting call ends.
    fn open_connection(&mut self, destination: Destination) -> Option<ConnectionId> {
        self.pools.entry(destination).or_default().open += 1;
        let address = match destination {
            Destination::State | Destination::Watch | Destination::Lease => {
                self.config.endpoints.state
            }
            Destination::Cloud => self.config.endpoints.cloud,
            Destination::Worker(address) => address,
        };
        let role = Role::Outgoing { destination, call: None };
        let opened = begin_connect(address)
            .map_err(RuntimeError::from)
            .and_then(|stream| self.add_connection(stream, role, false));
        match opened {
            Ok(connection) => Some(connection),
            Err(e) => {
                debug!("cannot connect to {address}: {e}");
                let pool = self.pools.entry(destination).or_default();
                pool.open -= 1;
                if let Some(call) = pool.queue.pop_front() {
                    self.finish_call(call, None, true);
                }
                None
            }
        }
    }

    fn send_call(&mut self, call_id: CallId, id: ConnectionId) {
        let call = self.calls.get_mut(&call_id);
        let connection = self.connections.get_mut(&id);
        let (Some(call), Some(connection)) = (call, connection) else {
            return;
        };
        if let Some(since) = connection.idle_since.take() {
            self.idle_commands.remove(&(since, id));
        }
        call.connection = Some(id);
        let destination = call.destination;
        connection.role = Role::Outgoing { destination, call: Some(call_id) };
        connection.active = self.now;
        connection.outbound = std::mem::take(&mut call.bytes);
        connection.written = 0;
        self.write(id);
    }

    /// Whether a further connection with commands may be made; one that has been
    /// idle for long makes room for it. Senders always find some room.
    fn room_for_command(&mut self) -> bool {
        let limit = self.config.settings.machine_limits.fd_limit;
        command_fits(limit, self.senders, self.commanding) || self.close_idle_command()
    }

    /// Closes the connection with commands that has been idle for longest.
    pub(super) fn close_idle_command(&mut self) -> bool {
        let oldest = self.idle_commands.first().copied();
        if let Some((_, id)) = oldest {
            self.close(id);
        }
        oldest.is_some()
    }

    /// Takes an answer from an outgoing connection; true if there was one.
    pub(super) fn consume_answer(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return true;
        };
        let Role::Outgoing { destination, call } = connection.role else {
            return true;
        };
        match http::parse_answer(&connection.inbound) {
            Ok(None) => false,
            Ok(Some((answer, used))) => {
                take_front(&mut connection.inbound, used);
                let Some(call_id) = call else {
                    // An answer to nothing: the connection is out of step.
                    self.close(id);
                    return true;
                };
                connection.role = Role::Outgoing { destination, call: None };
                if answer.close || !connection.inbound.is_empty() {
                    self.close(id);
                } else {
                    self.keep_idle(id, destination);
                }
                self.finish_call(call_id, Some(answer), false);
                self.assign_calls(destination);
                true
            }
            Err(e) => {
                warn!("unreadable answer from {destination:?}: {e}");
                self.close(id);
                true
            }
        }
    }

    /// Keeps an answered connection for the next call.
    fn keep_idle(&mut self, id: ConnectionId, destination: Destination) {
        if matches!(destination, Destination::Worker(_))
            && let Some(connection) = self.connections.get_mut(&id)
        {
            connection.idle_since = Some(self.now);
            self.idle_commands.insert((self.now, id));
        }
        self.pools.entry(destination).or_default().idle.push(id);
    }

    /// Ends a call: with its answer, or without one. `unsent` says that surely
    /// not a byte of it has left.
    pub(super) fn finish_call(&mut self, id: CallId, answer: Option<http::Answer>, unsent: bool) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(call.deadline, id));
        let reply = match (call.kind, answer) {
            (CallKind::State(state_call), Some(answer)) => {
                if !state_call.waits() {
                    let begun = call.deadline.since(state_call.timeout());
                    self.stats.record_state_call(self.now.since(begun));
                }
                Reply::KvStore(state_call.decode(answer.status, &answer.body))
            }
            (CallKind::State(_), None) if unsent => Reply::KvStore(KvResponse::NotExecuted),
            (CallKind::State(_), None) => Reply::KvStore(KvResponse::OutcomeUnknown),
            (CallKind::Cloud(cloud_call), Some(answer)) => {
                Reply::Cloud(cloud_call.decode(answer.status, &answer.body))
            }
            (CallKind::Cloud(_), None) if unsent => Reply::Cloud(CloudReply::NotExecuted),
            (CallKind::Cloud(_), None) => Reply::Cloud(CloudReply::Unknown),
            (CallKind::Direct, Some(answer)) => {
                Reply::Direct(DirectReply::Answered { status: answer.status, body: answer.body })
            }
            (CallKind::Direct, None) if unsent => Reply::Direct(DirectReply::NotSent),
            (CallKind::Direct, None) => Reply::Direct(DirectReply::Unknown),
        };
        self.dispatch(Event::Reply { id, reply });
    }

    /// Ends the calls whose deadline has passed.
    pub(super) fn time_out_calls(&mut self) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > self.now {
                break;
            }
            self.deadlines.remove(&(deadline, id));
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            match call.connection {
                // Closing the connection ends the call.
                Some(connection) => self.close(connection),
                None => {
                    let destination = call.destination;
                    for queue in &mut self.throttled {
                        queue.retain(|waiting| *waiting != id);
                    }
                    let pool = self.pools.entry(destination).or_default();
                    pool.queue.retain(|waiting| *waiting != id);
                    self.finish_call(id, None, true);
                }
            }
        }
    }
}
