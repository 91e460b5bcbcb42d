//! The simulated world: its clock, its event queue and the dispatch of each event.

use super::cloud::Cloud;
use super::digest::EffectDigest;
use super::event::{ControllerProcess, Origin, SimEvent};
use super::faults::Faults;
use super::jobs::{Plan, UserJob, job_id};
use super::settings::{CONTROLLERS, KV_STORE_RPS, MACHINES, TICK, settings};
use super::store::Store;
use super::worker::Worker;
use millethold::config::Config;
use millethold::controller::{CallId, Event};
use millethold::time::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// A blocking watch of a controller on the key-value store.
pub(super) struct Watch {
    pub(super) controller: usize,
    pub(super) incarnation: u64,
    pub(super) call: CallId,
    pub(super) prefix: String,
    /// Revision after which changes are reported.
    pub(super) after: u64,
    /// When the watch is answered even without a change.
    pub(super) until: Micros,
}

/// State of one run, and the counters that its tests check.
pub struct World {
    pub now: Micros,
    pub(super) rng: StdRng,
    pub(super) digest: EffectDigest,
    /// Number of events scheduled so far; events of the same time keep their order by it.
    pub(super) seq: u64,
    pub(super) queue: BTreeMap<(Micros, u64), SimEvent>,
    pub(super) config: Vec<Config>,
    pub(super) processes: Vec<Option<ControllerProcess>>,
    pub(super) store: Store,
    pub(super) cloud: Cloud,
    pub workers: Vec<Worker>,
    pub(super) jobs: BTreeMap<String, UserJob>,
    pub(super) tickets: BTreeMap<u64, Origin>,
    pub(super) next_ticket: u64,
    pub(super) faults: Faults,
    /// Id of each connection from one controller to another and the arrival time of its latest
    /// frame, by which frames stay in order.
    pub(super) links: BTreeMap<(usize, usize), (u64, Micros)>,
    /// Watches that are not answered yet.
    pub(super) watches: Vec<Watch>,
    /// Machines that hang since their jobs were cancelled, and until when.
    pub(super) hanging: BTreeMap<usize, Micros>,
    /// Copies of heartbeats by machine, kept for the next leader of its shard.
    pub(super) kept_heartbeats: BTreeMap<usize, Vec<Event>>,
    /// Revision of the key-value store up to which shard leases were searched for new leaders.
    pub(super) checked_revision: u64,
    /// End of the last fault.
    pub(super) faults_end: Micros,
    /// Earliest time of the next search for tasks that are left waiting.
    pub(super) next_waiting_check: Micros,
    /// Invalid requests so far, without repeats; each has its own job id.
    pub(super) invalid_request_count: u32,
    pub violations: Vec<String>,
    pub starts: u64,
    /// Task starts after the user of the job received `cancelled`.
    pub starts_after_cancellation: u64,
    /// Answers with an earlier stage that were sent before the final answer arrived and reached the
    /// user after it.
    pub crossed_answers: u64,
    /// Copies of heartbeats that were sent to a new leader.
    pub new_leader_copies: u64,
    /// Invalid requests that got the expected status.
    pub invalid_request_answers: u64,
    /// Requests that were sent to controllers in bursts (`Faults::query_bursts`).
    pub burst_queries: u64,
    /// Requests that were sent to controllers that had just started (`Faults::queries_at_start`).
    pub queries_at_start: u64,
    /// Starts of tasks whose job has dependencies.
    pub dependent_starts: u64,
    /// Transactions that `Faults::unanswered_txns` left without an answer.
    pub unanswered_txns: u64,
    /// Tasks that were stopped while no user had cancelled their job and their placement was
    /// stored.
    pub stopped_while_placed: Vec<String>,
    /// Status queries during a query storm.
    pub storm_queries: u64,
    /// Answers to status queries during a query storm.
    pub storm_answers: u64,
    /// Calls to the key-value store during a query storm.
    pub storm_kv_calls: u64,
    /// Task starts by job.
    pub(super) starts_by_job: BTreeMap<String, u64>,
    /// Machines named in the views and desired states that controllers sent each other.
    pub machine_entries_sent: u64,
    /// Tasks named in these desired states.
    pub task_entries_sent: u64,
    /// Direct commands that reached their worker more than `CANCEL_S` after they were sent.
    pub long_held_commands: u64,
    /// Copies of answered direct commands that reached their worker.
    pub command_copies: u64,
    /// Responses with a higher fencing token that renewed the lease of a machine with a task of a
    /// cancelled job.
    pub failovers_with_cancelled: u64,
    /// Transactions that were refused as larger than the lowered limits.
    pub refused_large_txns: u64,
}

impl World {
    /// Creates a run with its controllers, machines, faults and jobs, before its first event.
    pub fn new(seed: u64, plans: &[Plan], faults: Faults) -> World {
        let mut world = World::empty(seed, faults);
        for controller in 0..CONTROLLERS {
            let at = Micros::millis(1_000 + 10 * controller as u64);
            world.schedule(at, SimEvent::Start { controller });
        }
        for i in 0..world.faults.machines.unwrap_or(MACHINES) {
            world.add_worker(if i % 2 == 0 { "a" } else { "b" }, i == 4);
        }
        world.schedule_faults();
        for (number, plan) in plans.iter().enumerate() {
            world.add_job(number, plan);
        }
        world
    }

    fn empty(seed: u64, faults: Faults) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let [write_rps, rps] = [faults.write_rps, faults.rps].map(|r| r.unwrap_or(KV_STORE_RPS));
        World {
            now: Micros::secs(1),
            digest: EffectDigest::new(),
            seq: 0,
            queue: BTreeMap::new(),
            config: (0..CONTROLLERS).map(|n| settings(n, write_rps, rps, "")).collect(),
            processes: vec![None, None, None],
            store: Store::default(),
            cloud: Cloud::default(),
            workers: Vec::new(),
            jobs: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next_ticket: 1,
            links: BTreeMap::new(),
            watches: Vec::new(),
            hanging: BTreeMap::new(),
            kept_heartbeats: BTreeMap::new(),
            checked_revision: 0,
            faults_end: faults.end(),
            next_waiting_check: Micros::ZERO,
            invalid_request_count: 0,
            violations: Vec::new(),
            starts: 0,
            starts_after_cancellation: 0,
            crossed_answers: 0,
            new_leader_copies: 0,
            invalid_request_answers: 0,
            burst_queries: 0,
            queries_at_start: 0,
            dependent_starts: 0,
            unanswered_txns: 0,
            stopped_while_placed: Vec::new(),
            storm_queries: 0,
            storm_answers: 0,
            storm_kv_calls: 0,
            starts_by_job: BTreeMap::new(),
            machine_entries_sent: 0,
            task_entries_sent: 0,
            long_held_commands: 0,
            command_copies: 0,
            failovers_with_cancelled: 0,
            refused_large_txns: 0,
            faults,
            rng: StdRng::seed_from_u64(rng.random()),
        }
    }

    /// Schedules the faults that have a fixed time.
    fn schedule_faults(&mut self) {
        let faults = self.faults.clone();
        for (s, count) in faults.crashes {
            let first = self.rng.random_range(0..CONTROLLERS);
            for k in 0..count {
                let controller = (first + k) % CONTROLLERS;
                self.schedule(Micros::secs(s), SimEvent::Crash { controller });
            }
        }
        for (s, worker) in faults.terminated {
            self.schedule(Micros::secs(s), SimEvent::MachineTerminated { worker });
        }
        for (from, to) in faults.outages {
            self.schedule(Micros::secs(from), SimEvent::OutageBegins);
            self.schedule(Micros::secs(to), SimEvent::OutageEnds);
        }
        for s in faults.compactions {
            self.schedule(Micros::secs(s), SimEvent::Compaction);
        }
        // Watches of a controller that was refused continue when the store serves it again.
        for (_, _, to) in faults.kv_store_cuts.into_iter().chain(faults.hung_watches) {
            self.schedule(Micros::secs(to), SimEvent::WakeWatches);
        }
        for cancel in faults.cancel_running {
            self.schedule(Micros::millis(cancel.at_ms), SimEvent::CancelRunning(cancel));
        }
        if let Some((from, _)) = faults.invalid_requests {
            self.schedule(Micros::secs(from), SimEvent::InvalidRequest);
        }
        for (a, b, _, to) in faults.peer_cuts.into_iter().chain(faults.peer_resets) {
            // Both ends open new connections when the cut ends.
            for (x, y) in [(a, b), (b, a)] {
                let link = self.rng.random();
                self.schedule(Micros::secs(to), SimEvent::PeerUp { from: x, to: y, link });
            }
        }
    }

    /// Schedules the submission of a planned job, and its cancellation if it has one.
    fn add_job(&mut self, number: usize, plan: &Plan) {
        let id = job_id(number);
        self.schedule(Micros::secs(plan.at_s), SimEvent::Submit(id.clone()));
        if let Some(s) = plan.cancel_at_s {
            self.schedule(Micros::secs(s), SimEvent::Cancel(id.clone()));
        }
        assert!(
            plan.dependencies.iter().all(|u| *u < number),
            "plan {number} depends on itself or a later plan: {:?}",
            plan.dependencies
        );
        let dependencies: Vec<String> = plan.dependencies.iter().map(|u| job_id(*u)).collect();
        let indirect = dependencies.iter().flat_map(|u| self.jobs[u].ancestors.iter().cloned());
        let ancestors = indirect.chain(dependencies.iter().cloned()).collect();
        self.jobs.insert(id, UserJob::new(plan.clone(), dependencies, ancestors));
    }

    /// Schedules an event after all that are already scheduled for the same time.
    pub(super) fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.seq += 1;
        self.queue.insert((at, self.seq), event);
    }

    /// Runs until the given second or the first violation.
    pub fn run_until(&mut self, s: u64) {
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > Micros::secs(s) || !self.violations.is_empty() {
                return;
            }
            let ((at, _), event) = self.queue.pop_first().expect("just seen");
            self.now = at;
            self.step(event);
            self.check();
        }
    }

    /// Runs until 45 s after the last fault and 30 s after the last job got its final answer, or
    /// until the given second. By then delayed messages have arrived and users have stopped
    /// polling.
    pub fn run_to_end(&mut self, end_s: u64) {
        let mut end = self.faults_end + Micros::secs(45);
        while self.now < end.min(Micros::secs(end_s)) && self.violations.is_empty() {
            let s = self.now.0 / 1_000_000 + 5;
            self.run_until(s);
            if self.violations.is_empty() {
                self.now = self.now.max(Micros::secs(s));
            }
            if !self.unfinished().is_empty() {
                end = end.max(self.now + Micros::secs(30));
            }
        }
    }

    /// Until when an event waits because the controller that it reaches is frozen.
    fn event_delayed_until(&self, event: &SimEvent) -> Option<Micros> {
        match event {
            SimEvent::Tick { controller, .. }
            | SimEvent::ToController { controller, .. }
            | SimEvent::HeartbeatCopy { controller, .. }
            | SimEvent::Peer { to: controller, .. } => self.frozen_until(*controller),
            _ => None,
        }
    }

    /// Whether an event is a request of a user.
    fn is_user_request(&self, event: &SimEvent) -> bool {
        match event {
            SimEvent::ToController { event: Event::Http { ticket, .. }, .. } => {
                !matches!(self.tickets.get(&ticket.0), Some(Origin::Worker { .. }))
            }
            _ => false,
        }
    }

    /// Handles an event.
    fn step(&mut self, event: SimEvent) {
        if let Some(until) = self.event_delayed_until(&event) {
            // Requests of users are dropped, as users retry at another controller. All other events
            // wait and keep their order.
            if !self.is_user_request(&event) {
                self.schedule(until, event);
            }
            return;
        }
        match event {
            SimEvent::Start { controller } => self.start(controller),
            SimEvent::Crash { controller } => self.crash(controller),
            SimEvent::Tick { controller, incarnation } => {
                if self.alive(controller, incarnation) {
                    self.feed(controller, Event::Tick);
                    self.schedule(self.now + TICK, SimEvent::Tick { controller, incarnation });
                }
            }
            SimEvent::ToController { controller, incarnation, event } => {
                if self.alive(controller, incarnation) {
                    self.feed(controller, event);
                }
            }
            SimEvent::HeartbeatCopy { controller, event } => self.feed(controller, event),
            SimEvent::KvStore { controller, incarnation, id, call, lose_answer, sent } => {
                self.kv_store_call(controller, incarnation, id, call, lose_answer, sent)
            }
            SimEvent::LateTxn { call } => self.late_transaction(call),
            SimEvent::OutageBegins => self.outage_begins(),
            SimEvent::OutageEnds => self.outage_ends(),
            SimEvent::Compaction => self.compact_changes(),
            SimEvent::WakeWatches => self.wake_watches(),
            SimEvent::CancelRunning(cancel) => self.cancel_running(cancel),
            SimEvent::InvalidRequest => self.invalid_request(),
            SimEvent::BurstQuery { id, controller, repeat } => {
                self.burst_query(id, controller, repeat)
            }
            SimEvent::Direct { controller, incarnation, id, worker, body } => {
                self.direct_commands_arrive(controller, incarnation, id, worker, &body)
            }
            SimEvent::CommandCopy { worker, body } => self.command_copy_arrives(worker, &body),
            SimEvent::HeldCommands { worker, body, sent } => {
                self.held_commands_arrive(worker, &body, sent)
            }
            SimEvent::PeerUp { from, to, link } => self.peer_up(from, to, link),
            SimEvent::Peer { from, link, to, frame } => self.deliver_frame(from, link, to, frame),
            SimEvent::Answer { ticket, sent_at, status, body } => {
                self.deliver_answer(ticket, sent_at, status, &body)
            }
            SimEvent::WorkerStep { worker } => self.worker_step(worker),
            SimEvent::HeartbeatTimeout { worker, heartbeat } => {
                self.worker_heartbeat_timeout(worker, heartbeat)
            }
            SimEvent::TasksComplete(id) => self.complete_tasks(&id),
            SimEvent::Submit(id) => self.submit(&id),
            SimEvent::Poll(id) => self.poll(id),
            SimEvent::Cancel(id) => self.cancel(id),
            SimEvent::MachineTerminated { worker } => self.terminate_machine(worker),
        }
    }
}
