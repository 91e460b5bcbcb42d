//! One run: its clock, its queue of scheduled actions, and all simulated parties.
//!
//! - this file: clock, action queue and phases of a run;
//! - `setup`: files, sockets and processes;
//! - `services`: calls to the key-value store and the cloud;
//! - `machines`: heartbeats and commands;
//! - `users`: users' requests and their answers;
//! - `peers`: links between controllers;
//! - `fault_injection`: starts and ends of faults.

mod fault_injection;
mod machines;
mod peers;
mod services;
mod setup;
mod users;

use crate::addresses::Addresses;
use crate::cloud::Cloud;
use crate::faults::PlannedFault;
use crate::history::{History, Observation};
use crate::jobs::Jobs;
use crate::kv_store::KvStore;
use crate::kv_store_http::Response;
use crate::links::{self, Delivery, Direction, Link};
use crate::net::{Callbacks, ConnectionId, ListenerRole, Net, NetEvent, Role};
use crate::options::SoakOptions;
use crate::process::Controller;
use crate::relay::Relays;
use crate::report::{Failure, RunReport};
use crate::rules;
use crate::worker::{HeartbeatInFlight, Worker};
use calloop::EventLoop;
use machines::HeartbeatConnection;
use millethold::http::Request;
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use millethold::wire::DirectCommands;
use rand::rngs::StdRng;
use services::Watch;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use thiserror::Error;
use users::{UserJob, UserRequest, UserStep};

/// Time for all controllers to answer a health check after their start, also on a loaded machine.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(120);
/// After the last fault, a run in which no task starts or ends for this long is stuck, and ends
/// although some jobs have not. It is generous, since the machine may be loaded and backoff after
/// faults doubles.
const PROGRESS_TIMEOUT: Micros = Micros::secs(120);
/// A run ends at the latest this long after the last effect of a fault, even if tasks still start
/// and end.
const RUN_TIMEOUT: Micros = Micros::secs(900);
/// Interval between checks of conditions that no message reports.
const TICK_INTERVAL: Micros = Micros::millis(50);

/// An action scheduled for a certain time.
enum Action {
    /// A call reaches the key-value store.
    KvRequest { connection: ConnectionId, controller: usize, call: KvRequest },
    /// The key-value store applies a transaction that it never answers.
    LateTransaction { call: KvRequest },
    /// A call reaches the cloud.
    CloudCall { connection: ConnectionId, controller: usize, request: Request },
    /// Direct commands reach a worker.
    DirectCommands {
        connection: ConnectionId,
        controller: usize,
        worker: usize,
        direct: DirectCommands,
        sent: Micros,
    },
    /// A query of its state reaches a worker.
    Inspect { connection: ConnectionId, controller: usize, worker: usize },
    /// An answer reaches a controller.
    Reply { connection: ConnectionId, answer: Response },
    /// A worker's state changes or its heartbeat is due.
    AdvanceWorker { worker: usize },
    /// A heartbeat reaches a controller.
    Heartbeat { worker: usize, controller: usize, heartbeat: HeartbeatInFlight, body: Vec<u8> },
    /// A copy of a heartbeat reaches a controller.
    HeartbeatCopy { controller: usize, body: Vec<u8> },
    /// The answer to a heartbeat reaches its worker.
    HeartbeatAnswer { worker: usize, heartbeat: HeartbeatInFlight, status: u16, body: Vec<u8> },
    /// A worker stops waiting for the answer to a heartbeat.
    HeartbeatTimedOut { worker: usize, number: u64 },
    /// The worker of a created machine starts.
    MachineUp { name: String },
    /// Bytes of a relayed connection are due.
    ForwardRelay { relay_id: u64, from_initiator: bool },
    /// A user performs a step.
    User(UserStep),
    /// A user stops waiting for an answer.
    UserRequestTimedOut { request: u64 },
    /// The fault with this index begins.
    FaultBegins(usize),
    /// The fault with this index ends.
    FaultEnds(usize),
    /// A controller's process is started.
    StartController { controller: usize },
    /// A controller's process is killed, to be restarted later.
    KillController { controller: usize, restart_delay: Micros },
    /// Checks conditions that no message reports.
    Tick,
}

/// State of one run.
pub(crate) struct Run {
    started: Instant,
    now: Micros,
    rng: StdRng,
    actions: BTreeMap<(Micros, u64), Action>,
    next_action: u64,
    net: Net<Run>,
    relays: Relays,
    addresses: Addresses,
    seed: u64,
    controllers: Vec<Controller>,
    /// Whether each controller has answered a health check with status 200.
    healthy: Vec<bool>,
    /// The run's files; deleted when the run is dropped.
    _directory: TempDir,
    kv_store: KvStore,
    watches: Vec<Watch>,
    cloud: Cloud,
    workers: Vec<Worker>,
    heartbeat_connections: BTreeMap<usize, HeartbeatConnection>,
    jobs: Jobs,
    user_jobs: BTreeMap<String, UserJob>,
    user_requests: BTreeMap<u64, UserRequest>,
    next_request_id: u64,
    faults: Vec<PlannedFault>,
    /// When the last effect of a fault ends.
    faults_end_at: Micros,
    /// When a task last started or ended on a machine.
    last_progress: Micros,
    history: History,
    failures: Vec<Failure>,
    /// Longest delay of an action of this process, for example because the machine was overloaded.
    longest_stall: Micros,
}

/// Why a run could not be executed.
#[derive(Debug, Error)]
pub enum RunError {
    /// The user interrupted it.
    #[error("interrupted")]
    Interrupted,
    /// The event loop failed.
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] calloop::Error),
    /// A file could not be written, or a socket could not be opened.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The service's binary could not be started.
    #[error("cannot start {}: {source}", binary.display())]
    Start {
        /// Path of the binary.
        binary: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A controller exited before all controllers had answered a health check.
    #[error("controller n{controller} exited before it was healthy: {last_line}")]
    ControllerExited {
        /// Number of the controller.
        controller: usize,
        /// The last line of its log.
        last_line: String,
    },
    /// A controller was not healthy in time.
    #[error("controller n{controller} was not healthy within {} s", STARTUP_TIMEOUT.as_secs())]
    Unhealthy {
        /// Number of the controller.
        controller: usize,
    },
}

impl Run {
    /// Executes one run and reports its result.
    pub(crate) fn execute(
        options: &SoakOptions,
        seed: u64,
        address_slot: usize,
        stop: &AtomicBool,
    ) -> Result<RunReport, RunError> {
        let mut event_loop = EventLoop::try_new().map_err(RunError::from)?;
        let callbacks = Callbacks { ready: Run::socket_ready, accepted: Run::socket_accepted };
        let net = Net::new(event_loop.handle(), callbacks);
        let mut run = Run::set_up(options, seed, address_slot, net)?;
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        while let Some(unhealthy) = run.healthy.iter().position(|healthy| !healthy) {
            run.step(&mut event_loop, stop)?;
            if let Some(controller) = run.controllers.iter_mut().position(Controller::has_exited) {
                let last_line = run.controllers[controller].last_line();
                return Err(RunError::ControllerExited { controller, last_line });
            }
            if Instant::now() > deadline {
                return Err(RunError::Unhealthy { controller: unhealthy });
            }
        }
        run.start_workload(options);
        while !run.is_finished() {
            run.step(&mut event_loop, stop)?;
        }
        Ok(run.finish(options))
    }

    /// Performs all due actions, and waits for the next one or a socket.
    fn step(
        &mut self,
        event_loop: &mut EventLoop<'static, Run>,
        stop: &AtomicBool,
    ) -> Result<(), RunError> {
        if stop.load(Ordering::Relaxed) {
            return Err(RunError::Interrupted);
        }
        self.advance();
        let next =
            self.actions.first_key_value().map_or(self.now + TICK_INTERVAL, |((at, _), _)| *at);
        let wait = next.since(self.elapsed()).duration();
        event_loop.dispatch(wait, self).map_err(RunError::from)
    }

    fn elapsed(&self) -> Micros {
        Micros(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX / 8))
    }

    /// Performs the actions that are due by now, in order of their times.
    fn advance(&mut self) {
        let elapsed = self.elapsed();
        while let Some(entry) = self.actions.first_entry()
            && entry.key().0 <= elapsed
        {
            let ((at, _), action) = entry.remove_entry();
            self.longest_stall = self.longest_stall.max(elapsed.since(at));
            self.now = self.now.max(at);
            self.perform(action);
        }
        self.now = self.now.max(elapsed);
    }

    fn schedule(&mut self, at: Micros, action: Action) {
        self.next_action += 1;
        self.actions.insert((at.max(self.now), self.next_action), action);
    }

    fn record(&mut self, at: Micros, observation: Observation) {
        if matches!(observation, Observation::TaskStarted { .. } | Observation::TaskEnded { .. }) {
            self.last_progress = self.last_progress.max(at);
        }
        self.history.add(at, observation);
    }

    /// Determines whether and when a message that is sent now arrives.
    fn transmit(&mut self, link: Link, direction: Direction) -> Delivery {
        links::transmit(&self.faults, &mut self.rng, self.now, link, direction)
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::KvRequest { connection, controller, call } => {
                self.serve_kv_request(connection, controller, call);
            }
            Action::LateTransaction { call } => self.serve_late_transaction(call),
            Action::CloudCall { connection, controller, request } => {
                self.serve_cloud_call(connection, controller, &request);
            }
            Action::DirectCommands { connection, controller, worker, direct, sent } => {
                self.deliver_commands(connection, controller, worker, direct, sent);
            }
            Action::Inspect { connection, controller, worker } => {
                self.serve_inspect(connection, controller, worker);
            }
            Action::Reply { connection, answer } => {
                self.net.answer(connection, answer.status, &answer.body);
            }
            Action::AdvanceWorker { worker } => self.advance_worker(worker),
            Action::Heartbeat { worker, controller, heartbeat, body } => {
                self.deliver_heartbeat(worker, controller, heartbeat, body);
            }
            Action::HeartbeatCopy { controller, body } => {
                self.deliver_heartbeat_copy(controller, body)
            }
            Action::HeartbeatAnswer { worker, heartbeat, status, body } => {
                self.receive_heartbeat_answer(worker, heartbeat, status, &body);
            }
            Action::HeartbeatTimedOut { worker, number } => {
                self.heartbeat_timed_out(worker, number)
            }
            Action::MachineUp { name } => self.machine_up(name),
            Action::ForwardRelay { relay_id, from_initiator } => {
                self.forward_relay(relay_id, from_initiator)
            }
            Action::User(step) => self.perform_user_step(step),
            Action::UserRequestTimedOut { request } => self.user_request_timed_out(request),
            Action::FaultBegins(number) => self.begin_fault(number),
            Action::FaultEnds(number) => self.end_fault(number),
            Action::StartController { controller } => self.start_controller(controller),
            Action::KillController { controller, restart_delay } => {
                self.kill_controller(controller, restart_delay);
            }
            Action::Tick => self.tick(),
        }
    }

    /// Handles a socket that is readable or writable.
    fn socket_ready(&mut self, id: ConnectionId, readable: bool, writable: bool) {
        // Actions that were due earlier come before the socket's events.
        self.advance();
        if writable {
            self.net.write(id);
        }
        if !readable {
            return;
        }
        let Some(role) = self.net.role(id) else {
            return;
        };
        for event in self.net.read(id) {
            self.socket_event(id, role, event);
        }
    }

    /// Handles a connection that a listener accepted.
    fn socket_accepted(&mut self, stream: TcpStream, role: ListenerRole) {
        match role {
            ListenerRole::Fixed(role) => {
                // If the event loop rejects the socket, it is dropped and so closed.
                let _ = self.net.add(stream, role);
            }
            ListenerRole::Peer { from, to } => {
                let relay_id = self.relays.reserve_id();
                let role = Role::Relay { relay_id, from_initiator: true };
                if let Ok(initiator) = self.net.add(stream, role) {
                    self.relay_accepted(relay_id, from, to, initiator);
                }
            }
        }
    }

    fn socket_event(&mut self, id: ConnectionId, role: Role, event: NetEvent) {
        match (role, event) {
            (Role::KvStore { controller }, NetEvent::Request(request)) => {
                self.receive_kv_request(id, controller, &request);
            }
            (Role::Cloud { controller }, NetEvent::Request(request)) => {
                self.receive_cloud_request(id, controller, request);
            }
            (Role::Commands { controller, worker }, NetEvent::Request(request)) => {
                self.receive_command_request(id, controller, worker, &request);
            }
            (Role::Heartbeat { worker, .. }, NetEvent::Response(answer)) => {
                self.forward_heartbeat_answer(id, worker, answer);
            }
            (Role::User { request }, NetEvent::Response(answer)) => {
                self.receive_user_answer(id, request, answer);
            }
            (Role::Relay { relay_id, from_initiator }, NetEvent::Bytes(bytes)) => {
                self.relay_bytes(relay_id, from_initiator, bytes);
            }
            (role, NetEvent::Closed) => {
                self.net.close(id);
                self.socket_closed(id, role);
            }
            // Requests and answers on connections of any other role are protocol errors.
            _ => self.net.close(id),
        }
    }

    fn socket_closed(&mut self, id: ConnectionId, role: Role) {
        match role {
            Role::Heartbeat { worker, .. } => self.heartbeat_connection_closed(id, worker),
            Role::User { request } => self.user_connection_closed(request),
            Role::Relay { relay_id, from_initiator } => self.relay_closed(relay_id, from_initiator),
            Role::KvStore { .. } => self.watches.retain(|watch| watch.connection != id),
            Role::Cloud { .. } | Role::Commands { .. } => {}
        }
    }

    /// Checks conditions that no message reports: leases, health, and exited processes.
    fn tick(&mut self) {
        self.expire_leases();
        for controller in 0..self.controllers.len() {
            if !self.healthy.iter().all(|healthy| *healthy) {
                self.check_health();
                break;
            }
            if self.controllers[controller].has_exited() {
                let last_line = self.controllers[controller].last_line();
                self.failures.push(Failure::EndedByItself { controller, last_line });
                self.schedule(
                    self.now + Micros::millis(300),
                    Action::StartController { controller },
                );
            }
        }
        self.schedule(self.now + TICK_INTERVAL, Action::Tick);
    }

    /// Whether the run is finished: no fault has effects any more, and either all jobs have been
    /// served, all status queries sent and all tasks ended, or the run is stuck or out of time.
    fn is_finished(&self) -> bool {
        if self.now < self.faults_end_at {
            return false;
        }
        let served = self.all_jobs_served() && !self.workers.iter().any(Worker::is_busy);
        let stuck = self.now > self.faults_end_at.max(self.last_progress) + PROGRESS_TIMEOUT;
        served || stuck || self.now > self.faults_end_at + RUN_TIMEOUT
    }

    /// Checks the history against the rules and reports the result.
    fn finish(mut self, options: &SoakOptions) -> RunReport {
        self.record_unserved_jobs();
        let facts = self.facts();
        let violations = rules::check(&facts, &self.history);
        let report = RunReport::new(
            self.seed,
            self.workers.len(),
            &self.faults,
            &self.history,
            violations,
            std::mem::take(&mut self.failures),
            self.longest_stall,
        );
        if let Some(keep) = options.keep.as_ref().filter(|_| !report.passed()) {
            self.keep_logs(keep);
        }
        report
    }
}
