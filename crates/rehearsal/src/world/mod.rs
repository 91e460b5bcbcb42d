//! One run: the clock, what is to happen when, and all parties.
//!
//! - this file: the clock, the queue of actions, the phases of a run;
//! - `setup`: files, sockets and processes;
//! - `services`: calls to the key-value store and the cloud;
//! - `machines`: heartbeats and commands;
//! - `users`: requests of users and their answers;
//! - `peers`: links between controllers;
//! - `fault_injection`: faults begin and end.

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
use crate::kv_store_http::Answer;
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

/// All controllers answer health checks by then, also on a loaded machine.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(120);
/// Once all faults are over some task begins or ends at least this often while a job is not
/// over: generous, since the machine may be loaded and waits behind faults double.
const PROGRESS_TIMEOUT: Micros = Micros::secs(120);
/// A run ends by then, whatever still goes on.
const RUN_TIMEOUT: Micros = Micros::secs(900);
/// Between looks at what no message tells of.
const TICK_INTERVAL: Micros = Micros::millis(50);

/// Something that is to happen at a certain time.
enum Action {
    /// A call reaches the key-value store.
    KvRequest { connection: ConnectionId, controller: usize, call: KvRequest },
    /// A transaction is carried out whose answer nobody awaits.
    LateTransaction { call: KvRequest },
    /// A call reaches the cloud.
    CloudCall { connection: ConnectionId, controller: usize, request: Request },
    /// Direct commands reach a worker.
    Commands {
        connection: ConnectionId,
        controller: usize,
        worker: usize,
        direct: DirectCommands,
        sent: Micros,
    },
    /// A question reaches a worker.
    Inspect { connection: ConnectionId, controller: usize, worker: usize },
    /// An answer reaches a controller.
    Reply { connection: ConnectionId, answer: Answer },
    /// A worker's time has come.
    Worker { worker: usize },
    /// A heartbeat reaches a controller.
    Heartbeat { worker: usize, controller: usize, heartbeat: HeartbeatInFlight, body: Vec<u8> },
    /// A copy of a heartbeat reaches a controller.
    HeartbeatCopy { controller: usize, body: Vec<u8> },
    /// The answer to a heartbeat reaches its worker.
    HeartbeatAnswer { worker: usize, heartbeat: HeartbeatInFlight, status: u16, body: Vec<u8> },
    /// A worker has waited long enough for the answer to a heartbeat.
    HeartbeatTimedOut { worker: usize, number: u64 },
    /// A machine that was added is up.
    MachineUp { name: String },
    /// Bytes of a relayed connection may go on.
    Relay { relayed: u64, from_initiator: bool },
    /// A user acts.
    User(UserStep),
    /// A user has waited long enough for an answer.
    UserGivesUp { request: u64 },
    /// A fault begins.
    FaultBegins(usize),
    /// A fault is over.
    FaultEnds(usize),
    /// A controller's process is started.
    Start { controller: usize },
    /// A controller's process is killed.
    Kill { controller: usize, back: Micros },
    /// Looks at what no message tells of.
    Tick,
}

/// One run.
pub(crate) struct World {
    started: Instant,
    now: Micros,
    rng: StdRng,
    actions: BTreeMap<(Micros, u64), Action>,
    next_action: u64,
    net: Net<World>,
    relays: Relays,
    addresses: Addresses,
    seed: u64,
    controllers: Vec<Controller>,
    /// Controllers that have answered a health check.
    healthy: Vec<bool>,
    /// The run's files; they go with it.
    _directory: TempDir,
    state: KvStore,
    watches: Vec<Watch>,
    cloud: Cloud,
    workers: Vec<Worker>,
    heartbeat_connections: BTreeMap<usize, HeartbeatConnection>,
    jobs: Jobs,
    user_jobs: BTreeMap<String, UserJob>,
    requests: BTreeMap<u64, UserRequest>,
    next_request: u64,
    faults: Vec<PlannedFault>,
    /// From when on no fault is left.
    faults_over_at: Micros,
    /// When a task last came on a machine or went off.
    last_progress: Micros,
    history: History,
    failures: Vec<Failure>,
    /// Longest time for which this process itself did not run.
    stalled: Micros,
}

/// Why a run could not be played.
#[derive(Debug, Error)]
pub enum RunError {
    /// It was requested to stop.
    #[error("interrupted")]
    Interrupted,
    /// The event loop failed.
    #[error("event loop: {0}")]
    EventLoop(#[from] calloop::Error),
    /// A file of the run or a socket could not be had.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The service's program could not be started.
    #[error("{}: {source}", binary.display())]
    Start {
        /// The program.
        binary: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A controller ended before it had answered a health check.
    #[error("controller n{controller} ended: {last_line}")]
    ControllerEnded {
        /// Its number.
        controller: usize,
        /// The last line of its output.
        last_line: String,
    },
    /// Some controller answered no health check in time.
    #[error("the controllers do not become healthy")]
    Unhealthy,
}

impl World {
    /// Plays one run.
    pub(crate) fn play(
        options: &SoakOptions,
        seed: u64,
        run_number: usize,
        stop: &AtomicBool,
    ) -> Result<RunReport, RunError> {
        let mut event_loop = EventLoop::try_new().map_err(RunError::from)?;
        let callbacks = Callbacks { ready: World::socket_ready, accepted: World::socket_accepted };
        let net = Net::new(event_loop.handle(), callbacks);
        let mut world = World::set_up(options, seed, run_number, net)?;
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        while !world.healthy.iter().all(|healthy| *healthy) {
            world.turn(&mut event_loop, stop)?;
            if let Some(controller) = world.controllers.iter_mut().position(Controller::has_ended) {
                let last_line = world.controllers[controller].last_line();
                return Err(RunError::ControllerEnded { controller, last_line });
            }
            if Instant::now() > deadline {
                return Err(RunError::Unhealthy);
            }
        }
        world.begin(options);
        while !world.over() {
            world.turn(&mut event_loop, stop)?;
        }
        Ok(world.finish(options))
    }

    /// Lets happen what is due, and waits for what comes next.
    fn turn(
        &mut self,
        event_loop: &mut EventLoop<'static, World>,
        stop: &AtomicBool,
    ) -> Result<(), RunError> {
        if stop.load(Ordering::Relaxed) {
            return Err(RunError::Interrupted);
        }
        self.advance();
        let next =
            self.actions.first_key_value().map_or(self.now + TICK_INTERVAL, |((at, _), _)| *at);
        let wait = next.since(self.clock()).duration();
        event_loop.dispatch(wait, self).map_err(RunError::from)
    }

    fn clock(&self) -> Micros {
        Micros(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX / 8))
    }

    /// Lets happen what is due by now, each at its own time.
    fn advance(&mut self) {
        let clock = self.clock();
        while let Some(entry) = self.actions.first_entry()
            && entry.key().0 <= clock
        {
            let ((at, _), action) = entry.remove_entry();
            self.stalled = self.stalled.max(clock.since(at));
            self.now = self.now.max(at);
            self.perform(action);
        }
        self.now = self.now.max(clock);
    }

    fn at(&mut self, at: Micros, action: Action) {
        self.next_action += 1;
        self.actions.insert((at.max(self.now), self.next_action), action);
    }

    fn record(&mut self, at: Micros, observation: Observation) {
        if matches!(observation, Observation::TaskStarted { .. } | Observation::TaskEnded { .. }) {
            self.last_progress = self.last_progress.max(at);
        }
        self.history.add(at, observation);
    }

    /// What becomes of a message that is sent now.
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
                self.cloud_call(connection, controller, &request);
            }
            Action::Commands { connection, controller, worker, direct, sent } => {
                self.commands(connection, controller, worker, direct, sent);
            }
            Action::Inspect { connection, controller, worker } => {
                self.inspect(connection, controller, worker);
            }
            Action::Reply { connection, answer } => {
                self.net.answer(connection, answer.status, &answer.body);
            }
            Action::Worker { worker } => self.worker_turn(worker),
            Action::Heartbeat { worker, controller, heartbeat, body } => {
                self.deliver_heartbeat(worker, controller, heartbeat, body);
            }
            Action::HeartbeatCopy { controller, body } => self.deliver_copy(controller, body),
            Action::HeartbeatAnswer { worker, heartbeat, status, body } => {
                self.heartbeat_answered(worker, heartbeat, status, &body);
            }
            Action::HeartbeatTimedOut { worker, number } => {
                self.heartbeat_timed_out(worker, number)
            }
            Action::MachineUp { name } => self.machine_up(name),
            Action::Relay { relayed, from_initiator } => {
                self.forward_relayed(relayed, from_initiator)
            }
            Action::User(step) => self.user_step(step),
            Action::UserGivesUp { request } => self.user_unanswered(request),
            Action::FaultBegins(number) => self.fault_begins(number),
            Action::FaultEnds(number) => self.fault_ends(number),
            Action::Start { controller } => self.start_controller(controller),
            Action::Kill { controller, back } => self.kill_controller(controller, back),
            Action::Tick => self.tick(),
        }
    }

    /// The event loop says that a socket may be read or written.
    fn socket_ready(&mut self, id: ConnectionId, readable: bool, writable: bool) {
        // What was due before comes before what the socket brings.
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

    /// A listener has accepted a connection.
    fn socket_accepted(&mut self, stream: TcpStream, role: ListenerRole) {
        match role {
            ListenerRole::Fixed(role) => {
                // A connection that cannot be watched is closed by being dropped.
                let _ = self.net.add(stream, role);
            }
            ListenerRole::Peer { from, to } => {
                let relayed = self.relays.reserve();
                let role = Role::Relay { relayed, from_initiator: true };
                if let Ok(initiator) = self.net.add(stream, role) {
                    self.relay_accepted(relayed, from, to, initiator);
                }
            }
        }
    }

    fn socket_event(&mut self, id: ConnectionId, role: Role, event: NetEvent) {
        match (role, event) {
            (Role::KvStore { controller }, NetEvent::Request(request)) => {
                self.kv_request(id, controller, &request);
            }
            (Role::Cloud { controller }, NetEvent::Request(request)) => {
                self.cloud_request(id, controller, request);
            }
            (Role::Commands { controller, worker }, NetEvent::Request(request)) => {
                self.command_request(id, controller, worker, &request);
            }
            (Role::Heartbeat { worker, .. }, NetEvent::Answer(answer)) => {
                self.forward_heartbeat_answer(id, worker, answer);
            }
            (Role::User { request }, NetEvent::Answer(answer)) => {
                self.user_answer_sent(id, request, answer);
            }
            (Role::Relay { relayed, from_initiator }, NetEvent::Bytes(bytes)) => {
                self.relay_bytes(relayed, from_initiator, bytes);
            }
            (role, NetEvent::Closed) => {
                self.net.close(id);
                self.socket_closed(id, role);
            }
            // No other party sends requests, or answers to nothing.
            _ => self.net.close(id),
        }
    }

    fn socket_closed(&mut self, id: ConnectionId, role: Role) {
        match role {
            Role::Heartbeat { worker, .. } => self.heartbeat_connection_closed(id, worker),
            Role::User { request } => self.user_connection_closed(request),
            Role::Relay { relayed, from_initiator } => self.relay_closed(relayed, from_initiator),
            Role::KvStore { .. } => self.watches.retain(|watch| watch.connection != id),
            Role::Cloud { .. } | Role::Commands { .. } => {}
        }
    }

    /// Looks at what no message tells of.
    fn tick(&mut self) {
        self.expire_leases();
        for controller in 0..self.controllers.len() {
            if !self.healthy.iter().all(|healthy| *healthy) {
                self.check_health();
                break;
            }
            if self.controllers[controller].has_ended() {
                let last_line = self.controllers[controller].last_line();
                self.failures.push(Failure::EndedByItself { controller, last_line });
                self.at(self.now + Micros::millis(300), Action::Start { controller });
            }
        }
        self.at(self.now + TICK_INTERVAL, Action::Tick);
    }

    /// Whether the run is over: no fault is left, and all jobs have been served and all
    /// status queries sent; or nothing more happens.
    fn over(&self) -> bool {
        if self.now < self.faults_over_at {
            return false;
        }
        let served = self.users_are_done() && !self.workers.iter().any(Worker::busy);
        let stuck = self.now > self.faults_over_at.max(self.last_progress) + PROGRESS_TIMEOUT;
        served || stuck || self.now > self.faults_over_at + RUN_TIMEOUT
    }

    /// Judges what was seen.
    fn finish(mut self, options: &SoakOptions) -> RunReport {
        self.record_unserved();
        let facts = self.facts();
        let violations = rules::check(&facts, &self.history);
        let report = RunReport::new(
            self.seed,
            self.workers.len(),
            &self.faults,
            &self.history,
            violations,
            std::mem::take(&mut self.failures),
            self.stalled,
        );
        if let Some(keep) = options.keep.as_ref().filter(|_| !report.passed()) {
            self.keep_logs(keep);
        }
        report
    }
}
