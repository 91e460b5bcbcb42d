//! Machines: the steps of their workers, their heartbeats, and the answers and commands that reach
//! them.

use super::event::{Origin, SimEvent};
use super::jobs::Plan;
use super::settings::{CANCEL_S, CONTROLLERS};
use super::worker::Worker;
use super::world::World;
use millethold::controller::{CallId, DirectReply, Event, Reply, Ticket};
use millethold::time::Micros;
use rand::RngExt;
use std::collections::BTreeMap;

/// Time between two steps of a worker.
const WORKER_STEP: Micros = Micros::millis(250);
/// Time between two steps of a worker that hangs.
const HUNG_WORKER_STEP: Micros = Micros::millis(50);
/// How long a worker waits for the answer to its heartbeat.
const HEARTBEAT_TIMEOUT: Micros = Micros::secs(4);
/// How long a worker waits for the answer if its connection is refused.
const REFUSED_HEARTBEAT_TIMEOUT: Micros = Micros::millis(200);
/// Maximum number of heartbeat copies of a machine that are kept for the next leader.
const MAX_KEPT_COPIES: usize = 4;

impl World {
    /// Adds a machine that was rented before the run.
    pub(super) fn add_worker(&mut self, zone: &str, spot: bool) {
        let worker = self.workers.len();
        let name = self.cloud.add(self.now, zone, spot);
        let always_fails = self.faults.failing_workers.contains(&worker);
        self.workers.push(Worker::new(name, zone, spot, always_fails, self.now));
        let wait = Micros::millis(self.rng.random_range(100..2_000));
        self.schedule(self.now + wait, SimEvent::WorkerStep { worker });
    }

    /// Terminates a machine, as the cloud does on its own.
    pub(super) fn terminate_machine(&mut self, worker: usize) {
        self.cloud.terminate(self.now, &self.workers[worker].name);
        self.workers[worker].is_gone = true;
    }

    /// Executes direct commands that reach a worker, and sends its answer.
    pub(super) fn direct_commands_arrive(
        &mut self,
        controller: usize,
        incarnation: u64,
        id: CallId,
        worker: usize,
        body: &[u8],
    ) {
        if self.workers[worker].is_gone {
            return;
        }
        if self.hangs(worker) {
            let at = self.worker_cut(worker).unwrap_or(self.now) + Micros::millis(1);
            let body = body.to_vec();
            return self
                .schedule(at, SimEvent::Direct { controller, incarnation: 0, id, worker, body });
        }
        let (status, started, heartbeat) =
            self.workers[worker].handle_direct_commands(self.now, worker, body);
        self.check_executed_commands(worker, started);
        let event = Event::Reply {
            id,
            reply: Reply::Direct(DirectReply::Answered { status, body: heartbeat }),
        };
        let at = self.now + self.delay();
        self.schedule(at, SimEvent::ToController { controller, incarnation, event });
    }

    /// Executes held direct commands that reach a worker long after they were sent.
    pub(super) fn held_commands_arrive(&mut self, worker: usize, body: &[u8], sent: Micros) {
        if self.workers[worker].is_gone {
            return;
        }
        if self.now > sent + Micros::from_secs_f64(CANCEL_S) {
            self.long_held_commands += 1;
        }
        let (_, started, _) = self.workers[worker].handle_direct_commands(self.now, worker, body);
        self.check_executed_commands(worker, started);
    }

    /// Executes a copy of direct commands that were answered, whose answer nobody waits for.
    pub(super) fn command_copy_arrives(&mut self, worker: usize, body: &[u8]) {
        if self.workers[worker].is_gone {
            return;
        }
        self.command_copies += 1;
        let (_, started, _) = self.workers[worker].handle_direct_commands(self.now, worker, body);
        self.check_executed_commands(worker, started);
    }

    /// Advances the tasks of a worker, and sends a heartbeat if one is due.
    pub(super) fn worker_step(&mut self, worker: usize) {
        if self.workers[worker].is_gone {
            return;
        }
        let now = self.now;
        if self.hangs(worker) {
            // It does nothing, but its lease still expires.
            self.workers[worker].expire_lease(now);
            return self.schedule(now + HUNG_WORKER_STEP, SimEvent::WorkerStep { worker });
        }
        let durations = self.task_durations();
        let completed = self.workers[worker].advance(now, &durations);
        for job in self.record_completed(completed) {
            self.job_ended(worker, &job);
        }
        if self.workers[worker].is_gone {
            return;
        }
        if let Some((sent, heartbeat, body, controller)) =
            self.workers[worker].heartbeat(now, worker)
        {
            self.send_heartbeat(worker, controller, sent, heartbeat, body);
        }
        self.schedule(now + WORKER_STEP, SimEvent::WorkerStep { worker });
    }

    /// Run times of the tasks of each job, as [`Worker::advance`] takes them.
    fn task_durations(&self) -> BTreeMap<String, Option<(f64, f64)>> {
        let duration = |plan: &Plan| (!plan.always_fails).then_some((plan.run_s, plan.run_step_s));
        self.jobs.iter().map(|(id, job)| (id.clone(), duration(&job.plan))).collect()
    }

    /// Records completed tasks; returns the jobs whose last task completed.
    fn record_completed(&mut self, completed: Vec<(String, u32)>) -> Vec<String> {
        let mut ended = Vec::new();
        for (id, index) in completed {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.completed.insert(index);
                let last = job.completed.len() == job.plan.tasks as usize;
                ended.extend(last.then_some(id));
            }
        }
        ended
    }

    /// Triggers the faults that are bound to the completion of the last task of a job, which has
    /// just completed on this worker.
    fn job_ended(&mut self, worker: usize, job: &str) {
        let now = self.now;
        let share = self.faults.cancel_at_job_end.filter(|c| self.during(c.0, c.1));
        if !self.jobs[job].cancel_requested && self.chance(share.map_or(0.0, |c| c.2)) {
            self.schedule(now, SimEvent::Cancel(job.to_string()));
        }
        let crash = self.faults.crash_at_job_end.filter(|c| self.during(c.0, c.1));
        if let Some((.., share, count)) = crash
            && self.chance(share)
        {
            let first = self.rng.random_range(0..CONTROLLERS);
            for k in 0..count {
                let controller = (first + k) % CONTROLLERS;
                if self.processes[controller].is_some() {
                    self.schedule(now, SimEvent::Crash { controller });
                }
            }
        }
        let terminate = self.faults.terminate_at_job_end.filter(|c| self.during(c.0, c.1));
        if self.chance(terminate.map_or(0.0, |c| c.2)) {
            self.terminate_machine(worker);
        }
        self.query_all_controllers(job);
    }

    /// Sends a heartbeat, and copies of it if the faults draw them.
    fn send_heartbeat(
        &mut self,
        worker: usize,
        controller: usize,
        sent: Micros,
        heartbeat: u64,
        body: Vec<u8>,
    ) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(ticket, Origin::Worker { worker, sent, heartbeat });
        let cut = self.controller_cut(controller);
        let unreachable = self.unreachable_from(worker, controller) || self.outbound_cut(worker);
        let reset = cut.is_some_and(|(_, held)| !held) || unreachable;
        let timeout = if reset { REFUSED_HEARTBEAT_TIMEOUT } else { HEARTBEAT_TIMEOUT };
        self.schedule(self.now + timeout, SimEvent::HeartbeatTimeout { worker, heartbeat });
        let incarnation = self.processes[controller].as_ref().map_or(0, |p| p.incarnation);
        let at = match self.worker_cut(worker).or(cut.map(|(end, _)| end)) {
            Some(end) => end + Micros::millis(3),
            None => self.now + self.delay(),
        };
        if self.chance(self.faults.heartbeat_copies) {
            let controller = self.rng.random_range(0..CONTROLLERS);
            let late = Micros::millis(self.rng.random_range(500..40_000));
            let event = self.heartbeat_copy(&body);
            self.schedule(at + late, SimEvent::HeartbeatCopy { controller, event });
        }
        self.keep_copy(worker, &body);
        if !reset {
            let event = heartbeat_request(ticket, body);
            self.schedule(at, SimEvent::ToController { controller, incarnation, event });
        }
    }

    /// Builds a copy of a heartbeat; its ticket is not registered, so its answer is ignored.
    fn heartbeat_copy(&mut self, body: &[u8]) -> Event {
        self.next_ticket += 1;
        let copy = heartbeat_request(self.next_ticket, body.to_vec());
        self.next_ticket += 1;
        copy
    }

    /// Keeps a copy of a heartbeat for the next leader, if the fault draws one.
    fn keep_copy(&mut self, worker: usize, body: &[u8]) {
        let keep = self.faults.heartbeats_for_new_leader.filter(|k| self.during(k.0, k.1));
        if !self.chance(keep.map_or(0.0, |k| k.2)) {
            return;
        }
        let copy = self.heartbeat_copy(body);
        // Keeps the oldest copy, possibly of an earlier incarnation, and the newest ones.
        let kept = self.kept_heartbeats.entry(worker).or_default();
        if kept.len() >= MAX_KEPT_COPIES {
            kept.remove(1);
        }
        kept.push(copy);
    }

    /// Handles a heartbeat without an answer in time: the worker tries the next controller.
    pub(super) fn worker_heartbeat_timeout(&mut self, worker: usize, heartbeat: u64) {
        let w = &mut self.workers[worker];
        if w.in_flight == Some(heartbeat) {
            w.in_flight = None;
            w.controller = (w.controller + 1) % CONTROLLERS;
            w.next_heartbeat = self.now + Micros::secs(1);
        }
    }

    /// Executes the response to a heartbeat, after which the machine may hang.
    fn heartbeat_response_arrives(
        &mut self,
        worker: usize,
        sent: Micros,
        heartbeat: u64,
        status: u16,
        body: &[u8],
    ) {
        let (now, has_cancelled) = (self.now, self.has_cancelled_task(worker));
        let w = &mut self.workers[worker];
        let before = (w.lease_start(), w.fencing_token());
        let started = w.handle_heartbeat_response(now, sent, heartbeat, status, body);
        let after_failover = w.lease_start() > before.0 && w.fencing_token() > before.1;
        self.check_executed_commands(worker, started);
        if after_failover {
            self.failovers_with_cancelled += u64::from(has_cancelled);
            self.hang_after_failover(worker);
        }
    }

    /// Whether a task of a cancelled job is on a machine.
    fn has_cancelled_task(&self, worker: usize) -> bool {
        let is_cancelled = |task: &String| {
            let id = task.split('/').next().unwrap_or_default();
            self.jobs.get(id).is_some_and(|job| job.cancelled_at.is_some())
        };
        self.workers[worker].live_tasks().any(is_cancelled)
    }

    /// Makes a machine hang from now on if the faults draw it.
    fn hang_after_failover(&mut self, worker: usize) {
        let Some(hang) = self.faults.hang_after_failover.filter(|h| self.during(h.from, h.to))
        else {
            return;
        };
        if self.chance(hang.share) {
            let hang_ms = self.rng.random_range(hang.least_ms..hang.most_ms);
            self.hanging.insert(worker, self.now + Micros::millis(hang_ms));
        }
    }

    /// Delivers an answer to the worker or user that sent the request.
    pub(super) fn deliver_answer(
        &mut self,
        ticket: u64,
        sent_at: Micros,
        status: u16,
        body: &[u8],
    ) {
        match self.tickets.remove(&ticket) {
            Some(Origin::Worker { worker, sent, heartbeat }) => {
                if self.worker_cut(worker).is_some()
                    || self.workers[worker].is_gone
                    || self.inbound_cut(worker)
                {
                    return;
                }
                self.heartbeat_response_arrives(worker, sent, heartbeat, status, body);
            }
            Some(origin) => self.user_answer(origin, sent_at, status, body),
            None => {}
        }
    }
}

fn heartbeat_request(ticket: u64, body: Vec<u8>) -> Event {
    Event::Http { ticket: Ticket(ticket), method: "POST".into(), path: "/v1/report".into(), body }
}
