//! Machines: their heartbeats, commands to them, and how they come and go.

use super::{Action, World};
use crate::faults::{Fault, LATE_HEARTBEATS_MS};
use crate::history::Observation;
use crate::kv_store_http::Answer;
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
/// After a failure it tries the next controller this much later.
const NEXT_CONTROLLER_DELAY: Micros = Micros::secs(1);
/// Commands that are later than this are logged.
const LATE_COMMAND_AGE: Micros = Micros::secs(5);
/// Number of a request whose answer nobody awaits.
pub(super) const NO_REQUEST: u64 = u64::MAX;

/// A worker's connection to the controller that it heartbeats to.
#[derive(Debug)]
pub(super) struct HeartbeatConnection {
    id: ConnectionId,
    controller: usize,
    /// The report whose answer it awaits.
    heartbeat: Option<HeartbeatInFlight>,
}

/// The answer that sends a worker elsewhere.
#[derive(Deserialize)]
struct Misdirected {
    foreman: Option<String>,
}

impl World {
    fn record_all(&mut self, observations: Vec<TimedObservation>) {
        for (at, observation) in observations {
            self.record(at, observation);
        }
    }

    /// Lets a worker's own time pass, and lets it report.
    pub(super) fn worker_turn(&mut self, worker: usize) {
        let now = self.now;
        let observations = self.workers[worker].advance(now);
        self.record_all(observations);
        let machine = &self.workers[worker];
        if machine.gone {
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
            Some(_) => Micros::FAR,
            None => machine.heartbeat_due().max(now + Micros::millis(1)),
        };
        // Heartbeats of a machine that hangs come afterwards; it is observed meanwhile.
        let pause = if machine.is_hanging(now) { Micros::millis(50) } else { Micros::ZERO };
        let next = machine.next_change().min(heartbeat.max(now + pause)).max(now + Micros(1));
        self.at(next, Action::Worker { worker });
    }

    fn send_heartbeat(&mut self, worker: usize) {
        let spread = Micros(self.rng.random_range(0..HEARTBEAT_INTERVAL.0 / 2));
        let controller = self.workers[worker].controller;
        let address = self.addresses.worker(controller, worker).to_string();
        let machine = &mut self.workers[worker];
        let heartbeat = machine.make_heartbeat(self.now, spread, address);
        let Some(heartbeat_in_flight) = machine.heartbeat_in_flight else {
            return;
        };
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        let number = heartbeat_in_flight.number;
        self.at(self.now + HEARTBEAT_TIMEOUT, Action::HeartbeatTimedOut { worker, number });
        self.copy_heartbeat(&body);
        match self.transmit(Link::Heartbeat { worker, controller }, Direction::Request) {
            Delivery::At(at) => {
                self.at(
                    at,
                    Action::Heartbeat { worker, controller, heartbeat: heartbeat_in_flight, body },
                );
            }
            Delivery::Lost => {}
            Delivery::Reset => self.heartbeat_failed(worker, number),
        }
    }

    /// Perhaps a copy of a heartbeat comes later, at any controller.
    fn copy_heartbeat(&mut self, body: &[u8]) {
        let percent =
            self.faults.iter().filter(|planned| planned.active(self.now)).find_map(|planned| {
                match planned.fault {
                    Fault::LateHeartbeats { percent } => Some(percent),
                    _ => None,
                }
            });
        if percent.is_some_and(|percent| self.rng.random_range(0..100) < percent) {
            let controller = self.rng.random_range(0..self.controllers.len());
            let late =
                Micros::millis(self.rng.random_range(LATE_HEARTBEATS_MS.0..LATE_HEARTBEATS_MS.1));
            let body = body.to_vec();
            self.at(self.now + late, Action::HeartbeatCopy { controller, body });
        }
    }

    /// A heartbeat arrives at a controller's socket.
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

    /// A copy of a heartbeat arrives at a controller's socket; nobody awaits its answer.
    pub(super) fn deliver_copy(&mut self, controller: usize, body: Vec<u8>) {
        let host = self.controller_address(controller);
        let request =
            OutgoingRequest { method: "POST", path: path::HEARTBEAT.to_string(), body: Some(body) };
        if let Ok(id) = self.net.connect(host, Role::User { request: NO_REQUEST }) {
            self.net.request(id, &request, host);
        }
    }

    /// A controller has answered a heartbeat; the answer is on its way.
    pub(super) fn forward_heartbeat_answer(
        &mut self,
        id: ConnectionId,
        worker: usize,
        answer: http::Answer,
    ) {
        let Some(connection) = self.heartbeat_connections.get_mut(&worker).filter(|c| c.id == id)
        else {
            return;
        };
        let (controller, heartbeat) = (connection.controller, connection.heartbeat.take());
        let Some(heartbeat) = heartbeat else {
            return;
        };
        match self.transmit(Link::Heartbeat { worker, controller }, Direction::Answer) {
            Delivery::At(at) => {
                let http::Answer { status, body, .. } = answer;
                self.at(at, Action::HeartbeatAnswer { worker, heartbeat, status, body });
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

    /// The answer to a heartbeat arrives at its worker.
    pub(super) fn heartbeat_answered(
        &mut self,
        worker: usize,
        heartbeat: HeartbeatInFlight,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let machine = &mut self.workers[worker];
        let observations = machine.advance(now);
        let awaited = machine.heartbeat_in_flight == Some(heartbeat);
        if machine.gone || !awaited || machine.is_hanging(now) {
            // Given up, of an earlier incarnation, or nobody is there to read it.
            return self.record_all(observations);
        }
        machine.heartbeat_in_flight = None;
        let more = match (status, serde_json::from_slice::<HeartbeatResponse>(body)) {
            (200, Ok(reply)) => {
                machine.answered(now, heartbeat, reply.fencing_token, reply.commands, &self.jobs)
            }
            (421, _) => {
                let named = serde_json::from_slice::<Misdirected>(body).ok();
                let named = named.and_then(|answer| member_number(&answer.foreman?));
                self.redirect(worker, named);
                Vec::new()
            }
            _ => {
                self.try_next_controller(worker);
                Vec::new()
            }
        };
        self.record_all(observations);
        self.record_all(more);
        self.at(now, Action::Worker { worker });
    }

    fn redirect(&mut self, worker: usize, named: Option<usize>) {
        let count = self.controllers.len();
        let machine = &mut self.workers[worker];
        match named.filter(|n| *n < count && *n != machine.controller) {
            Some(named) => {
                machine.controller = named;
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

    /// A worker has waited long enough.
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
        self.at(self.now, Action::Worker { worker });
    }

    /// A controller sends a worker something.
    pub(super) fn command_request(
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
                        Action::Commands { connection: id, controller, worker, direct, sent }
                    }
                    None => Action::Inspect { connection: id, controller, worker },
                };
                self.at(at, action);
            }
            Delivery::Lost => {}
            Delivery::Reset => self.net.close(id),
        }
    }

    /// Direct commands arrive at a worker, whoever still awaits their answer.
    pub(super) fn commands(
        &mut self,
        id: ConnectionId,
        controller: usize,
        worker: usize,
        direct: DirectCommands,
        sent: Micros,
    ) {
        let now = self.now;
        let machine = &mut self.workers[worker];
        let before = machine.advance(now);
        if machine.gone {
            return self.record_all(before);
        }
        if machine.is_hanging(now) {
            let at = now + Micros::millis(100);
            self.record_all(before);
            return self
                .at(at, Action::Commands { connection: id, controller, worker, direct, sent });
        }
        let starts = direct.commands.iter().any(|c| matches!(c, Command::Start { .. }));
        let (executed, observations) = machine.direct(now, direct, &self.jobs);
        let name = machine.name.clone();
        self.record_all(before);
        if starts && now > sent + LATE_COMMAND_AGE {
            let late = now.since(sent);
            self.record(now, Observation::LateCommands { machine: name, late, executed });
        }
        self.record_all(observations);
        self.answer_command(id, controller, worker, if executed { 200 } else { 409 });
        self.at(now, Action::Worker { worker });
    }

    /// A question arrives at a worker.
    pub(super) fn inspect(&mut self, id: ConnectionId, controller: usize, worker: usize) {
        if !self.workers[worker].gone && !self.workers[worker].is_hanging(self.now) {
            self.answer_command(id, controller, worker, 200);
        }
    }

    fn answer_command(&mut self, id: ConnectionId, controller: usize, worker: usize, status: u16) {
        let address = self.addresses.worker(controller, worker).to_string();
        let answer = Answer::new(status, &self.workers[worker].body(address));
        match self.transmit(Link::Command { worker, controller }, Direction::Answer) {
            Delivery::At(at) => self.at(at, Action::Reply { connection: id, answer }),
            Delivery::Lost => {}
            Delivery::Reset => self.net.close(id),
        }
    }

    /// A machine that was added is up.
    pub(super) fn machine_up(&mut self, name: String) {
        if let Err(error) = self.add_worker(name) {
            let what = format!("no further worker: {error}");
            self.failures.push(crate::report::Failure::Setup { what });
        }
    }

    /// A machine is returned, or the cloud takes it.
    pub(super) fn remove_machine(&mut self, name: &str) {
        self.cloud.take(self.now, name);
        let Some(worker) = self.workers.iter().position(|w| w.name == name && !w.gone) else {
            return;
        };
        let machine = &mut self.workers[worker];
        let mut observations = machine.advance(self.now);
        observations.extend(machine.take(self.now));
        self.record_all(observations);
        if let Some(connection) = self.heartbeat_connections.remove(&worker) {
            self.net.close(connection.id);
        }
    }

    /// Asks the controllers that have not answered yet whether they are well.
    pub(super) fn check_health(&mut self) {
        for controller in 0..self.controllers.len() {
            if !self.healthy[controller] {
                self.ask_health(controller);
            }
        }
    }

    fn ask_health(&mut self, controller: usize) {
        let host = self.controller_address(controller);
        let request = self.new_health_request(controller);
        if let Ok(id) = self.net.connect(host, Role::User { request }) {
            self.net.request(id, &OutgoingRequest::get(path::HEALTH.to_string()), host);
        }
    }
}

/// A body that says nothing.
pub(super) fn empty() -> Vec<u8> {
    serde_json::to_vec(&json!({})).unwrap_or_default()
}
