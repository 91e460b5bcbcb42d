//! The world: its clock, the events that wait, and what each of them does.

use super::cloud::Cloud;
use super::digest::EffectDigest;
use super::event::{Node, Origin, SimEvent};
use super::faults::Faults;
use super::jobs::{Plan, UserJob, job_id};
use super::settings::{CONTROLLERS, MACHINES, STATE_RATE, TICK, settings};
use super::store::Store;
use super::worker::Worker;
use millethold::config::Config;
use millethold::controller::{CallId, Event};
use millethold::time::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// A watch that waits for changes.
pub(super) struct Watch {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) call: CallId,
    pub(super) prefix: String,
    pub(super) after: u64,
    pub(super) until: Micros,
}

/// One run: everything in it, and what it has shown.
pub struct World {
    pub now: Micros,
    pub(super) rng: StdRng,
    pub(super) digest: EffectDigest,
    pub(super) seq: u64,
    pub(super) queue: BTreeMap<(Micros, u64), SimEvent>,
    pub(super) config: Vec<Config>,
    pub(super) nodes: Vec<Option<Node>>,
    pub(super) store: Store,
    pub(super) cloud: Cloud,
    pub workers: Vec<Worker>,
    pub(super) jobs: BTreeMap<String, UserJob>,
    pub(super) tickets: BTreeMap<u64, Origin>,
    pub(super) next_ticket: u64,
    pub(super) faults: Faults,
    /// Latest frame of each link, so that frames stay in order.
    pub(super) links: BTreeMap<(usize, usize), (u64, Micros)>,
    /// Watches that wait.
    pub(super) watches: Vec<Watch>,
    /// Machines that hang since their jobs were called off, and until when.
    pub(super) hanging: BTreeMap<usize, Micros>,
    /// Copies of reports that are kept for the next leader.
    pub(super) kept: BTreeMap<usize, Vec<Event>>,
    /// Changes of the key-value store that were looked at for leaders.
    pub(super) seen: u64,
    /// From when on no fault is left.
    pub(super) calm: Micros,
    pub(super) next_full_query: Micros,
    /// Requests that cannot be served so far; each has its own job id.
    pub(super) odd: u32,
    pub violations: Vec<String>,
    pub starts: u64,
    /// Starts after the user was told that the job is cancelled.
    pub late_starts: u64,
    /// Questions that were asked before the last word and answered with less.
    pub crossed: u64,
    /// Copies of reports that a new leader got.
    pub copies_for_next: u64,
    /// Invalid requests, and queries to all controllers within milliseconds, that were answered.
    pub invalid_request_answers: u64,
    pub looks: u64,
    /// Starts of tasks whose job has upstream jobs.
    pub waited_starts: u64,
    /// Transactions whose answer never came by `late_writes`.
    pub unanswered: u64,
    /// Tasks that were stopped while their owner wanted them.
    pub stopped: Vec<String>,
    /// Questions of a storm, those of them that were answered, and calls of the
    /// key-value store meanwhile.
    pub asked: u64,
    pub answered: u64,
    pub calls: u64,
    /// Starts by job.
    pub(super) begun: BTreeMap<String, u64>,
    /// Machines named in views and wants that controllers sent each other.
    pub told: u64,
    /// Tasks named in wants.
    pub named: u64,
    /// Direct commands that reached their worker after the time that a cancellation has.
    pub long_held: u64,
    /// Transactions refused since they are larger than the lowered limits.
    pub refused_large: u64,
}

impl World {
    /// A world before its first event.
    pub fn new(seed: u64, plans: &[Plan], faults: Faults) -> World {
        let mut world = World::empty(seed, faults);
        for node in 0..CONTROLLERS {
            let at = Micros::millis(1_000 + 10 * node as u64);
            world.at(at, SimEvent::Start { node });
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
        let [writes, reads] = [faults.writes, faults.reads].map(|r| r.unwrap_or(STATE_RATE));
        World {
            now: Micros::secs(1),
            digest: EffectDigest::new(),
            seq: 0,
            queue: BTreeMap::new(),
            config: (0..CONTROLLERS).map(|n| settings(n, writes, reads, "")).collect(),
            nodes: vec![None, None, None],
            store: Store::default(),
            cloud: Cloud::default(),
            workers: Vec::new(),
            jobs: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next_ticket: 1,
            links: BTreeMap::new(),
            watches: Vec::new(),
            hanging: BTreeMap::new(),
            kept: BTreeMap::new(),
            seen: 0,
            calm: faults.over(),
            next_full_query: Micros::ZERO,
            odd: 0,
            violations: Vec::new(),
            starts: 0,
            late_starts: 0,
            crossed: 0,
            copies_for_next: 0,
            invalid_request_answers: 0,
            looks: 0,
            waited_starts: 0,
            unanswered: 0,
            stopped: Vec::new(),
            asked: 0,
            answered: 0,
            calls: 0,
            begun: BTreeMap::new(),
            told: 0,
            named: 0,
            long_held: 0,
            refused_large: 0,
            faults,
            rng: StdRng::seed_from_u64(rng.random()),
        }
    }

    /// Puts what goes wrong at certain times into the queue.
    fn schedule_faults(&mut self) {
        let faults = self.faults.clone();
        for (s, count) in faults.crashes {
            let first = self.rng.random_range(0..CONTROLLERS);
            for k in 0..count {
                let node = (first + k) % CONTROLLERS;
                self.at(Micros::secs(s), SimEvent::Crash { node });
            }
        }
        for (s, worker) in faults.taken {
            self.at(Micros::secs(s), SimEvent::Taken { worker });
        }
        for (from, to) in faults.outages {
            self.at(Micros::secs(from), SimEvent::OutageBegins);
            self.at(Micros::secs(to), SimEvent::OutageEnds);
        }
        // Watches of a controller that was refused go on when it is served again.
        for (_, _, to) in faults.kv_store_cuts.into_iter().chain(faults.hung_watches) {
            self.at(Micros::secs(to), SimEvent::Wake);
        }
        for cancel in faults.cancel_now {
            self.at(Micros::millis(cancel.at_ms), SimEvent::CancelNow(cancel));
        }
        if let Some((from, _)) = faults.invalid_requests {
            self.at(Micros::secs(from), SimEvent::InvalidRequest);
        }
        for (a, b, _, to) in faults.peer_cuts.into_iter().chain(faults.peer_resets) {
            // When the cut is over both ends make new connections.
            for (x, y) in [(a, b), (b, a)] {
                let link = self.rng.random();
                self.at(Micros::secs(to), SimEvent::PeerUp { from: x, to: y, link });
            }
        }
    }

    /// Lets the users hand in a job, and cancel it, when its plan says so.
    fn add_job(&mut self, number: usize, plan: &Plan) {
        let id = job_id(number);
        self.at(Micros::secs(plan.at_s), SimEvent::Submit(id.clone()));
        if let Some(s) = plan.cancel_at_s {
            self.at(Micros::secs(s), SimEvent::Cancel(id.clone()));
        }
        assert!(plan.dependencies.iter().all(|u| *u < number), "plans name earlier ones");
        let dependencies: Vec<String> = plan.dependencies.iter().map(|u| job_id(*u)).collect();
        let further = dependencies.iter().flat_map(|u| self.jobs[u].ancestors.iter().cloned());
        let ancestors = further.chain(dependencies.iter().cloned()).collect();
        self.jobs.insert(id, UserJob::new(plan.clone(), dependencies, ancestors));
    }

    /// Lets something happen at a certain time, after all that is planned for it.
    pub(super) fn at(&mut self, at: Micros, event: SimEvent) {
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

    /// Runs until no fault is left, all that came late has come and all jobs have been
    /// over for longer than their users ask, or until the given second.
    pub fn run_out(&mut self, end_s: u64) {
        let mut enough = self.calm + Micros::secs(45);
        while self.now < enough.min(Micros::secs(end_s)) && self.violations.is_empty() {
            let s = self.now.0 / 1_000_000 + 5;
            self.run_until(s);
            if self.violations.is_empty() {
                self.now = self.now.max(Micros::secs(s));
            }
            if !self.unfinished().is_empty() {
                enough = enough.max(self.now + Micros::secs(30));
            }
        }
    }

    /// Until when an event waits since the controller that it reaches stands still.
    fn waits_until(&self, event: &SimEvent) -> Option<Micros> {
        match event {
            SimEvent::Tick { node, .. }
            | SimEvent::Node { node, .. }
            | SimEvent::Copy { node, .. }
            | SimEvent::Peer { to: node, .. } => self.still(*node),
            _ => None,
        }
    }

    /// Whether an event is a user's request.
    fn is_user_request(&self, event: &SimEvent) -> bool {
        match event {
            SimEvent::Node { event: Event::Http { ticket, .. }, .. } => {
                !matches!(self.tickets.get(&ticket.0), Some(Origin::Worker { .. }))
            }
            _ => false,
        }
    }

    /// Lets an event happen.
    fn step(&mut self, event: SimEvent) {
        if let Some(until) = self.waits_until(&event) {
            // Users are sent elsewhere; all else waits, in its order.
            if !self.is_user_request(&event) {
                self.at(until, event);
            }
            return;
        }
        match event {
            SimEvent::Start { node } => self.start(node),
            SimEvent::Crash { node } => self.crash(node),
            SimEvent::Tick { node, incarnation } => {
                if self.alive(node, incarnation) {
                    self.feed(node, Event::Tick);
                    self.at(self.now + TICK, SimEvent::Tick { node, incarnation });
                }
            }
            SimEvent::Node { node, incarnation, event } => {
                if self.alive(node, incarnation) {
                    self.feed(node, event);
                }
            }
            SimEvent::Copy { node, event } => self.feed(node, event),
            SimEvent::KvStore { node, incarnation, id, call, lose, sent } => {
                self.kv_store_call(node, incarnation, id, call, lose, sent)
            }
            SimEvent::LateTxn { call } => self.late_transaction(call),
            SimEvent::OutageBegins => self.outage_begins(),
            SimEvent::OutageEnds => self.outage_ends(),
            SimEvent::Wake => self.wake_watches(),
            SimEvent::CancelNow(cancel) => self.cancel_now(cancel),
            SimEvent::InvalidRequest => self.invalid_request(),
            SimEvent::QueryAllControllers { id, node, repeat } => self.look(id, node, repeat),
            SimEvent::Direct { node, incarnation, id, worker, body } => {
                self.direct(node, incarnation, id, worker, &body)
            }
            SimEvent::HeldCommands { worker, body, sent } => {
                self.held_commands_arrive(worker, &body, sent)
            }
            SimEvent::PeerUp { from, to, link } => self.peer_up(from, to, link),
            SimEvent::Peer { from, link, to, frame } => self.deliver_frame(from, link, to, frame),
            SimEvent::Answer { ticket, left, status, body } => {
                self.answer(ticket, left, status, &body)
            }
            SimEvent::Worker { worker } => self.worker_turn(worker),
            SimEvent::HeartbeatTimeout { worker, heartbeat } => {
                self.worker_heartbeat_timeout(worker, heartbeat)
            }
            SimEvent::Submit(id) => self.submit(&id),
            SimEvent::Poll(id) => self.poll(id),
            SimEvent::Cancel(id) => self.cancel(id),
            SimEvent::Taken { worker } => self.take_machine(worker),
        }
    }
}
