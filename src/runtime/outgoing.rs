//! Sending calls to the key-value store, the cloud and the workers, and their ends.

use super::Runtime;
use super::call::{Call, CallEnd, CallKind};
use super::connection::{ConnectionId, Role, take_front};
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
    /// Starts a call to the key-value store, or lets it wait for the rate.
    pub(super) fn start_kv_store(&mut self, id: CallId, request: KvRequest) {
        let bytes = request.encode().to_bytes(self.config.endpoints.kv_store);
        let destination = Destination::of_store_call(&request);
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

    /// Asks a worker for its status, without a command.
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

    /// Starts the calls whose share of the store's rate has come.
    pub(super) fn admit_throttled(&mut self) {
        for queue in ThrottledQueue::ALL {
            while let Some((id, destination)) = self.calls.next_throttled(self.now, queue) {
                self.calls.pool(destination).queue.push_back(id);
                self.assign_calls(destination);
            }
        }
    }

    /// Gives a destination's waiting calls to its connections.
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

    /// An idle connection, or a new one if there may be one more.
    fn free_connection(&mut self, destination: Destination) -> Option<ConnectionId> {
        let pool = self.calls.pool(destination);
        if let Some(idle) = pool.idle.pop() {
            return Some(idle);
        }
        if pool.open >= destination.max_connections() {
            return None;
        }
        if destination.is_worker() && !self.make_room_for_command() {
            // Surely not sent; the answer to the worker's next heartbeat has it too.
            for call in self.calls.remove_pool(destination) {
                self.finish_call(call, CallEnd::NotSent);
            }
            return None;
        }
        self.open_connection(destination)
    }

    /// Begins to connect. If that fails at once, the first waiting call ends.
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
                debug!("cannot connect to {address}: {error}");
                let pool = self.calls.pool(destination);
                pool.open -= 1;
                if let Some(call) = pool.queue.pop_front() {
                    self.finish_call(call, CallEnd::NotSent);
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

    /// Whether a further connection with commands may be made; one that has been
    /// idle for long is closed for it. Some sockets are always left for senders.
    fn make_room_for_command(&mut self) -> bool {
        self.connections.command_fits() || self.close_idle_command()
    }

    /// Closes the connection with commands that has been idle for longest; false if
    /// none is idle.
    pub(super) fn close_idle_command(&mut self) -> bool {
        let longest_idle = self.connections.longest_idle_command();
        if let Some(id) = longest_idle {
            self.close(id);
        }
        longest_idle.is_some()
    }

    /// Takes an answer from an outgoing connection; true if there was one.
    pub(super) fn consume_answer(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(id) else {
            return true;
        };
        let Role::Outgoing { destination, call } = connection.role else {
            return true;
        };
        match http::parse_answer(&connection.inbound) {
            Ok(None) => false,
            Ok(Some(http::Received { message: answer, length })) => {
                take_front(&mut connection.inbound, length);
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
                self.finish_call(call_id, CallEnd::Answered(answer));
                self.assign_calls(destination);
                true
            }
            Err(error) => {
                warn!("unreadable answer from {destination:?}: {error}");
                self.close(id);
                true
            }
        }
    }

    /// Keeps an answered connection for the next call.
    fn keep_idle(&mut self, id: ConnectionId, destination: Destination) {
        if destination.is_worker() {
            self.connections.mark_idle_command(id, self.now);
        }
        self.calls.pool(destination).idle.push(id);
    }

    /// Ends a call and passes what that proves to the controller.
    pub(super) fn finish_call(&mut self, id: CallId, end: CallEnd) {
        let Some(call) = self.calls.remove(id) else {
            return;
        };
        if let (CallEnd::Answered(_), Some(latency)) = (&end, call.store_latency(self.now)) {
            self.stats.record_kv_store_call(latency);
        }
        self.dispatch(Event::Reply { id, reply: call.into_reply(end) });
    }

    /// Ends the calls whose deadline has passed.
    pub(super) fn time_out_calls(&mut self) {
        while let Some(id) = self.calls.next_overdue(self.now) {
            let Some(call) = self.calls.get_mut(id) else {
                continue;
            };
            match call.connection {
                // Closing the connection ends the call.
                Some(connection) => self.close(connection),
                None => {
                    let destination = call.destination;
                    self.calls.dequeue(id, destination);
                    self.finish_call(id, CallEnd::NotSent);
                }
            }
        }
    }
}
