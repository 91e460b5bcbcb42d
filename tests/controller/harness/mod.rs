//! Test harness that runs one controller against stand-ins for the key-value store, the cloud and
//! the workers.
//!
//! Tests can refuse, lose or hold every call to the key-value store and make its watches hang.
//! Nothing is random, and the clock is simulated.

#[path = "../../stand_ins/cloud.rs"]
mod cloud;
#[path = "../../stand_ins/digest.rs"]
mod digest;
#[allow(dead_code, reason = "the simulation uses more of it")]
#[path = "../../stand_ins/store.rs"]
mod store;
#[allow(dead_code, reason = "the simulation uses more of it")]
#[path = "../../stand_ins/worker.rs"]
mod worker;

mod delayed;
mod log_collector;
mod machines;
mod requests;
mod settings;

pub use log_collector::take_warnings;
pub use settings::{settings, submission, submission_after};

use cloud::Cloud;
use digest::EffectDigest;
use log_collector::install_log_collector;
use millethold::cloud::{CloudCall, CloudReply};
use millethold::config::{Config, Options};
use millethold::controller::{CallId, Controller, DirectReply, Effect, Event, Reply, Ticket};
use millethold::kv_store::{KvRequest, KvResponse};
use millethold::peer::Frame;
use millethold::time::Micros;
use millethold::wire::{Command, DirectCommands, KeyValue, Txn, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use store::Store;
use worker::Worker;

/// Duration of the workers' lease in seconds; the same as in [`settings`].
pub const LEASE_S: f64 = 12.0;
/// Resolution of the simulated clock.
const TIME_STEP: Micros = Micros::millis(10);
/// Interval between the controller's ticks.
const TICK_INTERVAL: Micros = Micros::millis(50);
/// Time until the reply to a call arrives.
const REPLY_DELAY: Micros = Micros::millis(5);
/// Incarnation of the first controller process. It differs from that of the process which
/// wrote the fixtures.
const INCARNATION: u64 = 8;
/// Wall-clock time at which the controller starts.
const WALL_CLOCK_START: Micros = Micros::secs(1_000_000);
/// Interval at which workers advance their tasks.
const WORKER_INTERVAL: Micros = Micros::millis(250);
/// A controller that can become healthy does so within this time.
const STARTUP_TIMEOUT: Micros = Micros::secs(10);
/// How long the sender of a direct command waits for the response.
const COMMAND_TIMEOUT: Micros = Micros::secs(3);
/// How long a user waits for an answer.
const REQUEST_TIMEOUT: Micros = Micros::secs(5);

/// What happens to a call to the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Executed and answered.
    Served,
    /// Not executed; the reply says so.
    Refused,
    /// Executed, but the reply is lost.
    ReplyLost,
    /// Not executed before the caller times out; [`Harness::execute_late_calls`] executes it.
    Late,
    /// Neither executed nor answered before [`Harness::serve_held_calls`].
    Held,
    /// Executed at once, but not answered before [`Harness::serve_held_calls`].
    ReplyHeld,
}

/// An answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub retry_after: Option<u64>,
    pub body: Value,
    /// Time from the request to the answer.
    pub took: Micros,
}

impl Answer {
    /// HTTP status and the job's stage; an empty stage if the body contains none.
    pub fn status_and_stage(&self) -> (u16, &str) {
        (self.status, self.body["stage"].as_str().unwrap_or_default())
    }
}

struct Watch {
    id: CallId,
    prefix: String,
    after: u64,
    deadline: Micros,
}

/// A controller and the stand-ins around it.
pub struct Harness {
    pub now: Micros,
    digest: EffectDigest,
    config: Config,
    incarnation: u64,
    pub controller: Controller,
    /// Chooses the outcome of each call to the key-value store.
    pub outcome: Box<dyn FnMut(&KvRequest) -> Outcome>,
    /// Whether watches return no events and never time out.
    pub watches_hang: bool,
    /// All calls to the key-value store so far.
    pub calls: Vec<KvRequest>,
    /// All frames sent so far, each with the number of the peer.
    pub sent_frames: Vec<(usize, Frame)>,
    /// Whether the cloud's replies are held until [`Harness::deliver_cloud_replies`].
    pub hold_cloud_replies: bool,
    held_cloud_replies: Vec<(CallId, CloudReply)>,
    /// All calls to the cloud so far.
    pub cloud_calls: Vec<CloudCall>,
    /// Whether workers start on the machines that the controller rents.
    pub boot_rented_machines: bool,
    /// Seconds that the tasks of a job run, by job id; one second for jobs without an entry.
    pub task_duration_s: BTreeMap<String, f64>,
    /// Names of the tasks that workers have started, in order.
    pub started_tasks: Vec<String>,
    /// Whether direct commands that contain starts are held until
    /// [`Harness::deliver_held_commands`], so that their sender times out.
    pub hold_starts: bool,
    /// Number of direct commands that workers have refused.
    pub refused_commands: usize,
    held_commands: Vec<(usize, Vec<u8>)>,
    /// Direct commands with starts that workers have executed and answered.
    executed_starts: Vec<(usize, Vec<u8>)>,
    workers: Vec<Worker>,
    heartbeats: BTreeMap<u64, (usize, Micros, u64)>,
    /// Tasks on the machine after each response to a heartbeat that renewed the worker's lease.
    pub renewals: Vec<Vec<String>>,
    /// Workers that are cut off, and until when.
    cut_workers: BTreeMap<usize, Micros>,
    next_worker_step: Micros,
    store: Store,
    cloud: Cloud,
    pending_events: Vec<(Micros, Event)>,
    watches: Vec<Watch>,
    /// Held calls, with the replies to those that are executed already.
    held_calls: Vec<(CallId, KvRequest, Option<KvResponse>)>,
    late_calls: Vec<KvRequest>,
    /// When each request was sent, by ticket.
    requested_at: BTreeMap<u64, Micros>,
    answers: BTreeMap<u64, Answer>,
    next_tick: Micros,
    received_frames: u64,
}

impl Harness {
    /// Starts a controller whose key-value store already contains these values.
    pub fn new(config: &str, stored: &[(String, Value)]) -> Harness {
        install_log_collector();
        let config = Config::parse(config).expect("valid settings");
        let now = Micros::secs(1);
        let mut store = Store::default();
        for (key, value) in stored {
            let write = Write::Put { key: key.clone(), value: value.clone(), lease: None };
            let txn = Txn { conditions: Vec::new(), writes: vec![write] };
            store.apply(now, &KvRequest::Txn(txn));
        }
        let wall_clock = WALL_CLOCK_START;
        Harness {
            now,
            digest: EffectDigest::new(),
            controller: Controller::new(&config, Options::default(), INCARNATION, wall_clock),
            config,
            incarnation: INCARNATION,
            outcome: Box::new(|_| Outcome::Served),
            watches_hang: false,
            calls: Vec::new(),
            sent_frames: Vec::new(),
            hold_cloud_replies: false,
            held_cloud_replies: Vec::new(),
            cloud_calls: Vec::new(),
            boot_rented_machines: false,
            task_duration_s: BTreeMap::new(),
            started_tasks: Vec::new(),
            hold_starts: false,
            refused_commands: 0,
            held_commands: Vec::new(),
            executed_starts: Vec::new(),
            workers: Vec::new(),
            heartbeats: BTreeMap::new(),
            renewals: Vec::new(),
            cut_workers: BTreeMap::new(),
            next_worker_step: now,
            store,
            cloud: Cloud::default(),
            pending_events: Vec::new(),
            watches: Vec::new(),
            held_calls: Vec::new(),
            late_calls: Vec::new(),
            requested_at: BTreeMap::new(),
            answers: BTreeMap::new(),
            next_tick: now,
            received_frames: 0,
        }
    }

    /// Starts the only member of a cluster and waits until it is healthy.
    pub fn ready(state: &str, stored: &[(String, Value)]) -> Harness {
        let mut harness = Harness::new(&settings(0, 1, state), stored);
        harness.wait_until_healthy();
        harness
    }

    /// Restarts the controller process at once, with empty memory, and waits until it is healthy.
    pub fn restart(&mut self) {
        self.start_new_process();
        self.wait_until_healthy();
    }

    /// Replaces the controller process by one that has just started.
    pub fn start_new_process(&mut self) {
        self.incarnation += 1;
        self.controller =
            Controller::new(&self.config, Options::default(), self.incarnation, WALL_CLOCK_START);
        self.pending_events.clear();
        self.watches.clear();
        self.held_calls.clear();
        self.heartbeats.clear();
        self.workers.iter_mut().for_each(|w| w.in_flight = None);
    }

    /// Runs until the controller reports that it is healthy.
    pub fn wait_until_healthy(&mut self) {
        let end = self.now + STARTUP_TIMEOUT;
        while self.now < end {
            if self.request("GET", "/healthz", b"").status == 200 {
                return;
            }
            self.run(TICK_INTERVAL);
        }
        panic!("the controller does not become healthy: {}", self.controller.status(self.now));
    }

    /// Advances the simulated clock by `span`.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulated clock by [`TIME_STEP`].
    fn step(&mut self) {
        self.now += TIME_STEP;
        let now = self.now;
        let (ready, rest) =
            std::mem::take(&mut self.pending_events).into_iter().partition(|d| d.0 <= now);
        self.pending_events = rest;
        let ready: Vec<(Micros, Event)> = ready;
        for (_, event) in ready {
            self.handle_event(event);
        }
        self.answer_watches();
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.handle_event(Event::Tick);
        }
        if now >= self.next_worker_step {
            self.next_worker_step = now + WORKER_INTERVAL;
            (0..self.workers.len()).for_each(|worker| self.step_worker(worker));
        }
    }

    /// Whether the controller lease is valid.
    pub fn holds_lease(&self) -> bool {
        self.controller.status(self.now)["lease_valid"] == json!(true)
    }

    /// Lets the controller handle an event, and applies the effects.
    pub fn handle_event(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.controller.handle(self.now, event, &mut effects);
        self.controller.flush(self.now, &mut effects);
        self.digest.record(self.now, 0, &self.controller, &effects);
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        let reply_at = self.now + REPLY_DELAY;
        match effect {
            Effect::Respond { ticket, status, retry_after, body } => {
                if let Some((worker, sent, heartbeat)) = self.heartbeats.remove(&ticket.0) {
                    return self.answer_heartbeat(worker, sent, heartbeat, status, &body);
                }
                let body = serde_json::from_slice(&body).expect("JSON");
                let took = self.now.since(self.requested_at[&ticket.0]);
                let answer = Answer { status, retry_after, body, took };
                let previous = self.answers.insert(ticket.0, answer);
                assert_eq!(previous, None, "request {} is answered twice", ticket.0);
            }
            Effect::KvStore { id, call } => {
                self.calls.push(call.clone());
                self.handle_kv_store_call(id, call);
            }
            Effect::Cloud { id, call } => {
                let reply = self.cloud.call(self.now, &call);
                if let CloudReply::ScaledOut(names) = &reply
                    && self.boot_rented_machines
                {
                    for name in names {
                        let zone = self.cloud.zone(name);
                        let worker = Worker::new(name.clone(), &zone, false, false, self.now);
                        self.workers.push(worker);
                    }
                }
                if let CloudCall::ScaleIn(names) = &call {
                    let returned = |w: &&mut Worker| names.contains(&w.name);
                    self.workers.iter_mut().filter(returned).for_each(|w| w.is_gone = true);
                }
                self.cloud_calls.push(call);
                if self.hold_cloud_replies {
                    return self.held_cloud_replies.push((id, reply));
                }
                self.pending_events
                    .push((reply_at, Event::Reply { id, reply: Reply::Cloud(reply) }));
            }
            Effect::Direct { id, address, body } => {
                let worker = usize::from(address.port());
                let direct: DirectCommands = serde_json::from_slice(&body).expect("commands");
                let has_start = direct.commands.iter().any(|c| matches!(c, Command::Start { .. }));
                if self.hold_starts && has_start {
                    self.held_commands.push((worker, body));
                    let reply = Reply::Direct(DirectReply::Unknown);
                    let timeout_at = self.now + COMMAND_TIMEOUT;
                    return self.pending_events.push((timeout_at, Event::Reply { id, reply }));
                }
                let is_cut_off = self.is_cut_off(worker);
                let reachable = |w: &&mut Worker| !w.is_gone && !is_cut_off;
                let reply = match self.workers.get_mut(worker).filter(reachable) {
                    None => DirectReply::NotSent,
                    Some(w) => {
                        let request = body;
                        let (status, started, body) =
                            w.handle_direct_commands(self.now, worker, &request);
                        self.started_tasks.extend(started);
                        self.refused_commands += usize::from(status != 200);
                        if has_start && status == 200 {
                            self.executed_starts.push((worker, request));
                        }
                        DirectReply::Answered { status, body }
                    }
                };
                self.pending_events
                    .push((reply_at, Event::Reply { id, reply: Reply::Direct(reply) }));
            }
            Effect::Inspect { id, .. } => {
                let reply = Reply::Direct(DirectReply::NotSent);
                self.pending_events.push((reply_at, Event::Reply { id, reply }));
            }
            Effect::Peer { to, frame } => self.sent_frames.push((to, (*frame).clone())),
        }
    }

    fn schedule_reply(&mut self, at: Micros, id: CallId, reply: KvResponse) {
        self.pending_events.push((at, Event::Reply { id, reply: Reply::KvStore(reply) }));
    }

    fn handle_kv_store_call(&mut self, id: CallId, call: KvRequest) {
        let (reply_at, timeout_at) = (self.now + REPLY_DELAY, self.now + call.timeout());
        match (self.outcome)(&call) {
            Outcome::Refused => self.schedule_reply(reply_at, id, KvResponse::NotExecuted),
            Outcome::Held => self.held_calls.push((id, call, None)),
            Outcome::ReplyHeld => {
                let reply = match &call {
                    KvRequest::Watch { prefix, after, .. } => self.changes_since(prefix, *after),
                    call => self.store.apply(self.now, call),
                };
                self.held_calls.push((id, call, Some(reply)));
            }
            Outcome::Late => {
                self.late_calls.push(call);
                self.schedule_reply(timeout_at, id, KvResponse::OutcomeUnknown);
            }
            Outcome::ReplyLost => {
                self.store.apply(self.now, &call);
                self.schedule_reply(timeout_at, id, KvResponse::OutcomeUnknown);
            }
            Outcome::Served => match call {
                KvRequest::Watch { prefix, after, block } => {
                    self.watches.push(Watch { id, prefix, after, deadline: self.now + block });
                }
                call => {
                    let reply = self.store.apply(self.now, &call);
                    self.schedule_reply(reply_at, id, reply);
                }
            },
        }
    }

    /// The reply to a watch that is answered now.
    fn changes_since(&self, prefix: &str, after: u64) -> KvResponse {
        let events = self.store.events_after(prefix, after);
        KvResponse::WatchEvents { revision: self.store.revision, events }
    }

    /// Answers the watches for which there are events or whose deadline has passed.
    fn answer_watches(&mut self) {
        if self.watches_hang {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            let events = self.store.events_after(&watch.prefix, watch.after);
            if events.is_empty() && self.now < watch.deadline {
                self.watches.push(watch);
            } else {
                let reply = KvResponse::WatchEvents { revision: self.store.revision, events };
                self.schedule_reply(self.now + REPLY_DELAY, watch.id, reply);
            }
        }
    }
}
