//! Machines and their workers: creation and removal, heartbeats, commands, and health checks of the
//! controllers.

use super::{Action, Run};
use crate::faults::{Fault, HEARTBEAT_COPY_DELAY_MS};
use crate::history::Observation;
use crate::kv_store_http::Response;
use crate::links::{Delivery, Direction, Link};
use crate::net::{ConnectionId, Role};
use crate::settings::{HEARTBEAT_INTERVAL, member_number};
use crate::worker::{HeartbeatInFlight, TimedObservation};
use millethold::http::{self, OutgoingRequest, Request};
use millethold::time::Micros;
use millethold::wire::{Command, DirectCommands, HeartbeatResponse, path};
use rand::RngExt;
use serde::Deserialize;
use serde_json::json;

/// How long a worker waits for the answer to its heartbeat.
const HEARTBEAT_TIMEOUT: Micros = Micros::secs(4);
/// Delay before a worker tries the next controller after a failure.
const NEXT_CONTROLLER_DELAY: Micros = Micros::secs(1);
/// Direct commands that include a start are recorded in the history if they arrive later than this
/// after they were sent.
const LATE_COMMAND_AGE: Micros = Micros::secs(5);
/// Number of a request whose answer is ignored.
pub(super) const UNAWAITED_REQUEST: u64 = u64::MAX;

/// A worker's connection to the controller that it sends heartbeats to.
#[derive(Debug)]
pub(super) struct HeartbeatConnection {
    id: ConnectionId,
    controller: usize,
    /// The heartbeat whose answer is pending on it.
    heartbeat: Option<HeartbeatInFlight>,
}

/// The answer that redirects a worker to another controller.
#[derive(Deserialize)]
struct RedirectResponse {
    #[serde(rename = "foreman")]
    member: Option<String>,
}

impl Run {
    fn record_all(&mut self, observations: Vec<TimedObservation>) {
        for (at, observation) in observations {
            self.record(at, observation);
        }
    }

    /// Advances a worker to the current time, and sends its heartbeat if one is due.
    pub(super) fn advance_worker(&mut self, worker: usize) {
        let now = self.now;
        let observations = self.workers[worker].advance(now);
        self.record_all(observations);
        let machine = &self.workers[worker];
        if machine.terminated {
            return;
        }
        if !machine.is_hanging(now)
            && machine.heartbeat_in_flight.is_none()
            && machine.heartbeat_due() <= now
        {
            self.send_heartbeat(worker);
        }
        let machine = &self.workers[worker];
        let heartbeat = match machine.heartbeat_in_flight {
            Some(_) => Micros::FAR_FUTURE,
            None => machine.heartbeat_due().max(now + Micros::millis(1)),
        };
        // A hung machine sends no heartbeats until it resumes, but its state is still advanced.
        let pause = if machine.is_hanging(now) { Micros::millis(50) } else { Micros::ZERO };
        let next = machine.next_change().min(heartbeat.max(now + pause)).max(now + Micros(1));
        self.schedule(next, Action::AdvanceWorker { worker });
    }

    fn send_heartbeat(&mut self, worker: usize) {
        let jitter = Micros(self.rng.random_range(0..HEARTBEAT_INTERVAL.0 / 2));
        let controller = self.workers[worker].controller;
        let address = self.addresses.worker(controller, worker).to_string();
        let machine = &mut self.workers[worker];
        let heartbeat = machine.make_heartbeat(self.now, jitter, address);
        let Some(heartbeat_in_flight) = machine.heartbeat_in_flight else {
            return;
        };
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        let number = heartbeat_in_flight.number;
        self.schedule(self.now + HEARTBEAT_TIMEOUT, Action::HeartbeatTimedOut { worker, number });
        self.maybe_copy_heartbeat(&body);
        match self.transmit(Link::Heartbeat { worker, controller }, Direction::Request) {
            Delivery::At(at) => {
                self.schedule(
                    at,
                    Action::Heartbeat { worker, controller, heartbeat: heartbeat_in_flight, body },
                );
            }
            Delivery::Lost => {}
            Delivery::Reset => self.heartbeat_failed(worker, number),
        }
    }

    /// While a [`Fault::LateHeartbeats`] is active, schedules a late copy of some heartbeats to a
    /// random controller.
    fn maybe_copy_heartbeat(&mut self, body: &[u8]) {
        let percent =
            self.faults.iter().filter(|planned| planned.active(self.now)).find_map(|planned| {
                match planned.fault {
                    Fault::LateHeartbeats { percent } => Some(percent),
                    _ => None,
                }
            });
        if percent.is_some_and(|percent| self.rng.random_range(0..100) < percent) {
            let controller = self.rng.random_range(0..self.controllers.len());
            let late = Micros::millis(
                self.rng.random_range(HEARTBEAT_COPY_DELAY_MS.0..HEARTBEAT_COPY_DELAY_MS.1),
            );
            let body = body.to_vec();
            self.schedule(self.now + late, Action::HeartbeatCopy { controller, body });
        }
    }

    /// Sends a heartbeat to a controller's socket.
    pub(super) fn deliver_heartbeat(
        &mut self,
        worker: usize,
        controller: usize,
        heartbeat: HeartbeatInFlight,
        body: Vec<u8>,
    ) {
        let host = self.controller_address(controller);
        let request =
            OutgoingRequest { method: "POST", path: path::HEARTBEAT.to_string(), body: Some(body) };
        let usable = self.heartbeat_connections.get(&worker).is_some_and(|connection| {
            connection.controller == controller && connection.heartbeat.is_none()
        });
        if !usable {
            if let Some(old) = self.heartbeat_connections.remove(&worker) {
                self.net.close(old.id);
            }
            let Ok(id) = self.net.connect(host, Role::Heartbeat { worker, controller }) else {
                return self.heartbeat_failed(worker, heartbeat.number);
            };
            let connection = HeartbeatConnection { id, controller, heartbeat: None };
            self.heartbeat_connections.insert(worker, connection);
        }
        if let Some(connection) = self.heartbeat_connections.get_mut(&worker) {
            connection.heartbeat = Some(heartbeat);
            let id = connection.id;
            self.net.request(id, &request, host);
        }
    }

    /// Sends a copy of a heartbeat to a controller's socket. Its answer is ignored.
    pub(super) fn deliver_heartbeat_copy(&mut self, controller: usize, body: Vec<u8>) {
        let host = self.controller_address(controller);
        let request =
            OutgoingRequest { method: "POST", path: path::HEARTBEAT.to_string(), body: Some(body) };
        if let Ok(id) = self.net.connect(host, Role::User { request: UNAWAITED_REQUEST }) {
            self.net.request(id, &request, host);
        }
    }

    /// Forwards a controller's answer to a heartbeat, subject to faults.
    pub(super) fn forward_heartbeat_answer(
        &mut self,
        id: ConnectionId,
        worker: usize,
        answer: http::Response,
    ) {
        let Some(connection) = self.heartbeat_connections.get_mut(&worker).filter(|c| c.id == id)
        else {
            return;
        };
        let (controller, heartbeat) = (connection.controller, connection.heartbeat.take());
        let Some(heartbeat) = heartbeat else {
            return;
        };
        match self.transmit(Link::Heartbeat { worker, controller }, Direction::Response) {
            Delivery::At(at) => {
                let http::Response { status, body, .. } = answer;
                self.schedule(at, Action::HeartbeatAnswer { worker, heartbeat, status, body });
            }
            Delivery::Lost => {}
            Delivery::Reset => self.heartbeat_failed(worker, heartbeat.number),
        }
    }

    pub(super) fn heartbeat_connection_closed(&mut self, id: ConnectionId, worker: usize) {
        if self.heartbeat_connections.get(&worker).is_none_or(|c| c.id != id) {
            return;
        }
        if let Some(heartbeat) =
            self.heartbeat_connections.remove(&worker).and_then(|c| c.heartbeat)
        {
            self.heartbeat_failed(worker, heartbeat.number);
        }
    }

    /// Delivers the answer to a heartbeat to its worker.
    pub(super) fn receive_heartbeat_answer(
        &mut self,
        worker: usize,
        heartbeat: HeartbeatInFlight,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let machine = &mut self.workers[worker];
        let earlier = machine.advance(now);
        let awaited = machine.heartbeat_in_flight == Some(heartbeat);
        if machine.terminated || !awaited || machine.is_hanging(now) {
            // The heartbeat timed out or is of an earlier incarnation, or the machine cannot read
            // the answer.
            return self.record_all(earlier);
        }
        machine.heartbeat_in_flight = None;
        let fencing_token = machine.fencing_token();
        let observations = match (status, serde_json::from_slice::<HeartbeatResponse>(body)) {
            (200, Ok(reply)) => machine.heartbeat_answered(
                now,
                heartbeat,
                reply.fencing_token,
                reply.commands,
                &self.jobs,
            ),
            (421, _) => {
                let leader = serde_json::from_slice::<RedirectResponse>(body).ok();
                let leader = leader.and_then(|answer| member_number(&answer.member?));
                self.redirect(worker, leader);
                Vec::new()
            }
            _ => {
                self.try_next_controller(worker);
                Vec::new()
            }
        };
        self.record_all(earlier);
        self.record_all(observations);
        if self.workers[worker].fencing_token() > fencing_token {
            self.maybe_hang_after_failover(worker);
        }
        self.schedule(now, Action::AdvanceWorker { worker });
    }

    /// While a [`Fault::HangAfterFailover`] is active, hangs some machines.
    fn maybe_hang_after_failover(&mut self, worker: usize) {
        let active = self.faults.iter().filter(|planned| planned.active(self.now));
        let hang = active.into_iter().find_map(|planned| match planned.fault {
            Fault::HangAfterFailover { percent, least, most } => Some((percent, least, most)),
            _ => None,
        });
        if let Some((percent, least, most)) = hang
            && self.rng.random_range(0..100) < percent
        {
            let duration = Micros(self.rng.random_range(least.0..most.0));
            self.workers[worker].hang(self.now, self.now + duration);
        }
    }

    fn redirect(&mut self, worker: usize, leader: Option<usize>) {
        let count = self.controllers.len();
        let machine = &mut self.workers[worker];
        match leader.filter(|n| *n < count && *n != machine.controller) {
            Some(leader) => {
                machine.controller = leader;
                machine.next_heartbeat = self.now + Micros::millis(self.rng.random_range(0..500));
            }
            None => self.try_next_controller(worker),
        }
    }

    fn try_next_controller(&mut self, worker: usize) {
        let count = self.controllers.len();
        let machine = &mut self.workers[worker];
        machine.controller = (machine.controller + 1) % count;
        machine.next_heartbeat = self.now + NEXT_CONTROLLER_DELAY;
    }

    /// Handles a heartbeat that was not answered in time.
    pub(super) fn heartbeat_timed_out(&mut self, worker: usize, number: u64) {
        self.heartbeat_failed(worker, number);
    }

    fn heartbeat_failed(&mut self, worker: usize, number: u64) {
        if self.workers[worker]
            .heartbeat_in_flight
            .is_none_or(|heartbeat| heartbeat.number != number)
        {
            return;
        }
        self.workers[worker].heartbeat_in_flight = None;
        if let Some(connection) = self.heartbeat_connections.remove(&worker) {
            self.net.close(connection.id);
        }
        self.try_next_controller(worker);
        self.schedule(self.now, Action::AdvanceWorker { worker });
    }

    /// Receives a controller's request to a worker.
    pub(super) fn receive_command_request(
        &mut self,
        id: ConnectionId,
        controller: usize,
        worker: usize,
        request: &Request,
    ) {
        let sent = self.now;
        let direct = match request.path.as_str() {
            path::COMMANDS => match serde_json::from_slice::<DirectCommands>(&request.body) {
                Ok(direct) => Some(direct),
                Err(_) => return self.net.answer(id, 400, b"{\"error\":\"malformed\"}"),
            },
            _ => None,
        };
        match self.transmit(Link::Command { worker, controller }, Direction::Request) {
            Delivery::At(at) => {
                let action = match direct {
                    Some(direct) => {
                        Action::DirectCommands { connection: id, controller, worker, direct, sent }
                    }
                    None => Action::Inspect { connection: id, controller, worker },
                };
                self.schedule(at, action);
            }
            Delivery::Lost => {}
            Delivery::Reset => self.net.close(id),
        }
    }

    /// Delivers direct commands to a worker, whether or not the controller still waits for the
    /// answer.
    pub(super) fn deliver_commands(
        &mut self,
        id: ConnectionId,
        controller: usize,
        worker: usize,
        direct: DirectCommands,
        sent: Micros,
    ) {
        let now = self.now;
        let machine = &mut self.workers[worker];
        let earlier = machine.advance(now);
        if machine.terminated {
            return self.record_all(earlier);
        }
        if machine.is_hanging(now) {
            let at = now + Micros::millis(100);
            self.record_all(earlier);
            return self.schedule(
                at,
                Action::DirectCommands { connection: id, controller, worker, direct, sent },
            );
        }
        let starts = direct.commands.iter().any(|c| matches!(c, Command::Start { .. }));
        let (executed, observations) = machine.execute_direct(now, direct, &self.jobs);
        let name = machine.name.clone();
        self.record_all(earlier);
        if starts && now > sent + LATE_COMMAND_AGE {
            let late = now.since(sent);
            self.record(now, Observation::LateCommands { machine: name, late, executed });
        }
        self.record_all(observations);
        self.answer_command(id, controller, worker, if executed { 200 } else { 409 });
        self.schedule(now, Action::AdvanceWorker { worker });
    }

    /// Serves a controller's query of a worker's state.
    pub(super) fn serve_inspect(&mut self, id: ConnectionId, controller: usize, worker: usize) {
        if !self.workers[worker].terminated && !self.workers[worker].is_hanging(self.now) {
            self.answer_command(id, controller, worker, 200);
        }
    }

    fn answer_command(&mut self, id: ConnectionId, controller: usize, worker: usize, status: u16) {
        let address = self.addresses.worker(controller, worker).to_string();
        let answer = Response::new(status, &self.workers[worker].report(address));
        match self.transmit(Link::Command { worker, controller }, Direction::Response) {
            Delivery::At(at) => self.schedule(at, Action::Reply { connection: id, answer }),
            Delivery::Lost => {}
            Delivery::Reset => self.net.close(id),
        }
    }

    /// Starts the worker of a created machine.
    pub(super) fn machine_up(&mut self, name: String) {
        if let Err(error) = self.add_worker(name.clone()) {
            let what = format!("cannot set up the worker of new machine {name}: {error}");
            self.failures.push(crate::report::Failure::Setup { what });
        }
    }

    /// Removes a machine that was returned or that the cloud reclaims.
    pub(super) fn remove_machine(&mut self, name: &str) {
        self.cloud.remove(self.now, name);
        let Some(worker) = self.workers.iter().position(|w| w.name == name && !w.terminated) else {
            return;
        };
        let machine = &mut self.workers[worker];
        let mut observations = machine.advance(self.now);
        observations.extend(machine.terminate(self.now));
        self.record_all(observations);
        if let Some(connection) = self.heartbeat_connections.remove(&worker) {
            self.net.close(connection.id);
        }
    }

    /// Sends health checks to all controllers that have not answered one yet.
    pub(super) fn check_health(&mut self) {
        for controller in 0..self.controllers.len() {
            if !self.healthy[controller] {
                self.request_health(controller);
            }
        }
    }

    fn request_health(&mut self, controller: usize) {
        let host = self.controller_address(controller);
        let request = self.new_health_request(controller);
        if let Ok(id) = self.net.connect(host, Role::User { request }) {
            self.net.request(id, &OutgoingRequest::get(path::HEALTH.to_string()), host);
        }
    }
}

/// An empty JSON object.
pub(super) fn empty_object() -> Vec<u8> {
    serde_json::to_vec(&json!({})).unwrap_or_default()
}
