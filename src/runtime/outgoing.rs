//! Sends calls to the key-value store, the cloud and the workers, and delivers their outcomes.

use super::Runtime;
use super::call::{Call, CallKind, CallOutcome};
use super::connection::{ConnectionId, Role, discard_consumed};
use super::destination::Destination;
use super::error::RuntimeError;
use super::limits::{COMMAND_TIMEOUT, INSPECT_TIMEOUT};
use super::socket::begin_connect;
use super::throttle::{Admission, ThrottledQueue};
use crate::cloud::CloudCall;
use crate::controller::{CallId, Event, Reply};
use crate::http::{self, OutgoingRequest};
use crate::kv_store::{KvRequest, KvResponse};
use crate::wire;
use log::{debug, warn};
use std::net::SocketAddrV4;

impl Runtime {
    /// Starts a call to the key-value store, or queues it until the rate limit allows it. If too
    /// many calls wait, it ends as not executed.
    pub(super) fn start_kv_store(&mut self, id: CallId, request: KvRequest) {
        let bytes = request.encode().to_bytes(self.config.endpoints.kv_store);
        let destination = Destination::for_kv_request(&request);
        let deadline = self.now + request.timeout();
        let admission = self.calls.admit(self.now, id, &request);
        let call = Call::new(CallKind::KvStore(request), destination, bytes, deadline);
        match admission {
            Admission::Send => self.start_call(id, call),
            Admission::Wait => self.calls.register(id, call),
            Admission::Refuse => {
                self.dispatch(Event::Reply { id, reply: Reply::KvStore(KvResponse::NotExecuted) });
            }
        }
    }

    /// Starts a call to the cloud.
    pub(super) fn start_cloud(&mut self, id: CallId, request: CloudCall) {
        let bytes = request.encode().to_bytes(self.config.endpoints.cloud);
        let deadline = self.now + request.timeout();
        let kind = CallKind::Cloud(request);
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

    /// Requests a worker's status, without sending commands.
    pub(super) fn start_inspect(&mut self, id: CallId, address: SocketAddrV4) {
        let bytes = OutgoingRequest::get(wire::path::INSPECT.into()).to_bytes(address);
        let deadline = self.now + INSPECT_TIMEOUT;
        let destination = Destination::Worker(address);
        self.start_call(id, Call::new(CallKind::Direct, destination, bytes, deadline));
    }

    fn start_call(&mut self, id: CallId, call: Call) {
        let destination = call.destination;
        self.calls.register(id, call);
        self.calls.pool(destination).queue.push_back(id);
        self.assign_calls(destination);
    }

    /// Starts the throttled calls that the rate limit now allows.
    pub(super) fn admit_throttled(&mut self) {
        for queue in ThrottledQueue::ALL {
            while let Some((id, destination)) = self.calls.next_throttled(self.now, queue) {
                self.calls.pool(destination).queue.push_back(id);
                self.assign_calls(destination);
            }
        }
    }

    /// Assigns a destination's waiting calls to free connections.
    pub(super) fn assign_calls(&mut self, destination: Destination) {
        while !self.calls.pool(destination).queue.is_empty() {
            let Some(connection) = self.free_connection(destination) else {
                return;
            };
            let Some(call) = self.calls.pool(destination).queue.pop_front() else {
                return;
            };
            self.send_call(call, connection);
        }
    }

    /// Returns an idle connection, or a new one if the limits allow it.
    fn free_connection(&mut self, destination: Destination) -> Option<ConnectionId> {
        let pool = self.calls.pool(destination);
        if let Some(idle) = pool.idle.pop() {
            return Some(idle);
        }
        if pool.open >= destination.max_connections() {
            return None;
        }
        if destination.is_worker() && !self.make_room_for_command() {
            // Definitely not sent; the response to the worker's next heartbeat also carries the
            // commands.
            for call in self.calls.remove_pool(destination) {
                self.finish_call(call, CallOutcome::NotSent);
            }
            return None;
        }
        self.open_connection(destination)
    }

    /// Starts to connect. If that fails at once, the first waiting call ends as not sent.
    fn open_connection(&mut self, destination: Destination) -> Option<ConnectionId> {
        self.calls.pool(destination).open += 1;
        let address = destination.address(&self.config.endpoints);
        let role = Role::Outgoing { destination, call: None };
        let opened = begin_connect(address)
            .map_err(RuntimeError::from)
            .and_then(|stream| self.add_connection(stream, role, false));
        match opened {
            Ok(connection) => Some(connection),
            Err(error) => {
                debug!("cannot connect to {destination:?} at {address}: {error}");
                let pool = self.calls.pool(destination);
                pool.open -= 1;
                if let Some(call) = pool.queue.pop_front() {
                    self.finish_call(call, CallOutcome::NotSent);
                }
                None
            }
        }
    }

    fn send_call(&mut self, call_id: CallId, id: ConnectionId) {
        let call = self.calls.get_mut(call_id);
        let connection = self.connections.get_mut(id);
        let (Some(call), Some(connection)) = (call, connection) else {
            return;
        };
        call.connection = Some(id);
        let destination = call.destination;
        connection.role = Role::Outgoing { destination, call: Some(call_id) };
        connection.last_active = self.now;
        connection.outbound = std::mem::take(&mut call.bytes);
        connection.written = 0;
        self.connections.mark_busy(id);
        self.write(id);
    }

    /// Whether one more command connection may be opened. At the limit, the one that has been idle
    /// for longest is closed first. Some sockets always stay free for clients.
    fn make_room_for_command(&mut self) -> bool {
        self.connections.command_fits() || self.close_idle_command()
    }

    /// Closes the command connection that has been idle for longest; returns false if none is idle.
    pub(super) fn close_idle_command(&mut self) -> bool {
        let longest_idle = self.connections.longest_idle_command();
        if let Some(id) = longest_idle {
            self.close(id);
        }
        longest_idle.is_some()
    }

    /// Parses one response from an outgoing connection. Returns false if it has not arrived in
    /// full.
    pub(super) fn consume_response(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(id) else {
            return true;
        };
        let Role::Outgoing { destination, call } = connection.role else {
            return true;
        };
        match http::parse_response(&connection.inbound) {
            Ok(None) => false,
            Ok(Some(http::Received { message: response, length })) => {
                discard_consumed(&mut connection.inbound, length);
                let Some(call_id) = call else {
                    // A response without a pending call: the connection is out of sync.
                    self.close(id);
                    return true;
                };
                connection.role = Role::Outgoing { destination, call: None };
                if response.close || !connection.inbound.is_empty() {
                    self.close(id);
                } else {
                    self.return_to_pool(id, destination);
                }
                self.finish_call(call_id, CallOutcome::Answered(response));
                self.assign_calls(destination);
                true
            }
            Err(error) => {
                warn!("connection closed: cannot parse response from {destination:?}: {error}");
                self.close(id);
                true
            }
        }
    }

    /// Returns a connection to its pool for the next call.
    fn return_to_pool(&mut self, id: ConnectionId, destination: Destination) {
        if destination.is_worker() {
            self.connections.mark_idle_command(id, self.now);
        }
        self.calls.pool(destination).idle.push(id);
    }

    /// Ends a call and passes the reply that results from its outcome to the controller.
    pub(super) fn finish_call(&mut self, id: CallId, outcome: CallOutcome) {
        let Some(call) = self.calls.remove(id) else {
            return;
        };
        if let (CallOutcome::Answered(_), Some(latency)) =
            (&outcome, call.kv_store_latency(self.now))
        {
            self.stats.record_kv_store_call(latency);
        }
        self.dispatch(Event::Reply { id, reply: call.into_reply(outcome) });
    }

    /// Ends the calls whose deadline has passed.
    pub(super) fn time_out_calls(&mut self) {
        while let Some(id) = self.calls.next_overdue(self.now) {
            let Some(call) = self.calls.get_mut(id) else {
                continue;
            };
            match call.connection {
                // Ends the call as unanswered, or as not sent if the connection was never made.
                Some(connection) => self.close(connection),
                None => {
                    let destination = call.destination;
                    self.calls.dequeue(id, destination);
                    self.finish_call(id, CallOutcome::NotSent);
                }
            }
        }
    }
}
