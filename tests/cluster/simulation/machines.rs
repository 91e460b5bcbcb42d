//! Machines: their turns, their reports and what they are told.

use super::event::{Origin, SimEvent};
use super::jobs::Plan;
use super::settings::{CANCEL_S, CONTROLLERS};
use super::worker::Worker;
use super::world::World;
use millethold::controller::{CallId, DirectReply, Event, Reply, Ticket};
use millethold::time::Micros;
use rand::RngExt;
use std::collections::BTreeMap;

/// Between two turns of a worker.
const TURN: Micros = Micros::millis(250);
/// Between two turns of a worker that hangs.
const HUNG_TURN: Micros = Micros::millis(50);
/// How long a worker waits for the answer to its heartbeat.
const REPORT_TIMEOUT: Micros = Micros::secs(4);
/// The same where the connection is refused.
const REFUSED_REPORT: Micros = Micros::millis(200);
/// Copies of one machine's reports that are kept for the next leader.
const KEPT_COPIES: usize = 4;

impl World {
    /// Adds a machine that was rented before the run.
    pub(super) fn add_worker(&mut self, zone: &str, spot: bool) {
        let worker = self.workers.len();
        let name = self.cloud.add(self.now, zone, spot);
        let sick = self.faults.sick.contains(&worker);
        self.workers.push(Worker::new(name, zone, spot, sick, self.now));
        let wait = Micros::millis(self.rng.random_range(100..2_000));
        self.at(self.now + wait, SimEvent::Worker { worker });
    }

    /// The cloud takes a machine.
    pub(super) fn take_machine(&mut self, worker: usize) {
        self.cloud.take(self.now, &self.workers[worker].name);
        self.workers[worker].gone = true;
    }

    /// Direct commands reach a worker.
    pub(super) fn direct(
        &mut self,
        node: usize,
        incarnation: u64,
        id: CallId,
        worker: usize,
        body: &[u8],
    ) {
        if self.workers[worker].gone {
            return;
        }
        if self.hangs(worker) {
            let at = self.worker_cut(worker).unwrap_or(self.now) + Micros::millis(1);
            let body = body.to_vec();
            return self.at(at, SimEvent::Direct { node, incarnation: 0, id, worker, body });
        }
        let begun = self.workers[worker].direct(self.now, worker, body);
        self.note_starts(worker, begun.1);
        let event = Event::Reply {
            id,
            reply: Reply::Direct(DirectReply::Answered { status: begun.0, body: begun.2 }),
        };
        let at = self.now + self.delay();
        self.at(at, SimEvent::Node { node, incarnation, event });
    }

    /// Direct commands that were held reach a worker, long after they were sent.
    pub(super) fn held_commands_arrive(&mut self, worker: usize, body: &[u8], sent: Micros) {
        if self.workers[worker].gone {
            return;
        }
        if self.now > sent + Micros::from_secs_f64(CANCEL_S) {
            self.long_held += 1;
        }
        let (_, begun, _) = self.workers[worker].direct(self.now, worker, body);
        self.note_starts(worker, begun);
    }

    /// A worker goes on with its tasks, and reports if it is time.
    pub(super) fn worker_turn(&mut self, worker: usize) {
        if self.workers[worker].gone {
            return;
        }
        let now = self.now;
        if self.hangs(worker) {
            // It does nothing, but its lease runs out all the same.
            self.workers[worker].expire_lease(now);
            return self.at(now + HUNG_TURN, SimEvent::Worker { worker });
        }
        let lengths = self.task_lengths();
        let completed = self.workers[worker].advance(now, &lengths);
        for job in self.note_completed(completed) {
            self.job_ended(worker, &job);
        }
        if self.workers[worker].gone {
            return;
        }
        if let Some((sent, heartbeat, body, node)) = self.workers[worker].heartbeat(now, worker) {
            self.send_heartbeat(worker, node, sent, heartbeat, body);
        }
        self.at(now + TURN, SimEvent::Worker { worker });
    }

    /// How long the tasks of each job run: see [`Worker::advance`].
    fn task_lengths(&self) -> BTreeMap<String, Option<(f64, f64)>> {
        let length = |plan: &Plan| (!plan.broken).then_some((plan.run_s, plan.longer_s));
        self.jobs.iter().map(|(id, job)| (id.clone(), length(&job.plan))).collect()
    }

    /// Notes the tasks that completed; returns the jobs that ended with them.
    fn note_completed(&mut self, completed: Vec<(String, u32)>) -> Vec<String> {
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

    /// The last task of a job has completed on a worker: the faults that wait for
    /// this moment happen.
    fn job_ended(&mut self, worker: usize, job: &str) {
        let now = self.now;
        let share = self.faults.cancel_at_end.filter(|c| self.during(c.0, c.1));
        if !self.jobs[job].cancel_requested && self.chance(share.map_or(0.0, |c| c.2)) {
            self.at(now, SimEvent::Cancel(job.to_string()));
        }
        let crash = self.faults.crash_at_end.filter(|c| self.during(c.0, c.1));
        if let Some((.., share, count)) = crash
            && self.chance(share)
        {
            let first = self.rng.random_range(0..CONTROLLERS);
            for k in 0..count {
                let node = (first + k) % CONTROLLERS;
                if self.nodes[node].is_some() {
                    self.at(now, SimEvent::Crash { node });
                }
            }
        }
        let take = self.faults.take_at_end.filter(|c| self.during(c.0, c.1));
        if self.chance(take.map_or(0.0, |c| c.2)) {
            self.take_machine(worker);
        }
        self.query_all_controllers(job);
    }

    /// Sends a report, and perhaps copies of it.
    fn send_heartbeat(
        &mut self,
        worker: usize,
        node: usize,
        sent: Micros,
        heartbeat: u64,
        body: Vec<u8>,
    ) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(ticket, Origin::Worker { worker, sent, heartbeat });
        let cut = self.node_cut(node);
        let away = self.apart(worker, node) || self.mute(worker);
        let reset = cut.is_some_and(|(_, held)| !held) || away;
        let timeout = if reset { REFUSED_REPORT } else { REPORT_TIMEOUT };
        self.at(self.now + timeout, SimEvent::HeartbeatTimeout { worker, heartbeat });
        let incarnation = self.nodes[node].as_ref().map_or(0, |n| n.incarnation);
        let at = match self.worker_cut(worker).or(cut.map(|(end, _)| end)) {
            Some(end) => end + Micros::millis(3),
            None => self.now + self.delay(),
        };
        if self.chance(self.faults.copies) {
            let node = self.rng.random_range(0..CONTROLLERS);
            let late = Micros::millis(self.rng.random_range(500..40_000));
            let event = self.heartbeat_copy(&body);
            self.at(at + late, SimEvent::Copy { node, event });
        }
        self.keep_copy(worker, &body);
        if !reset {
            let event = heartbeat_request(ticket, body);
            self.at(at, SimEvent::Node { node, incarnation, event });
        }
    }

    /// A copy of a heartbeat, whose answer nobody awaits.
    fn heartbeat_copy(&mut self, body: &[u8]) -> Event {
        self.next_ticket += 1;
        let copy = heartbeat_request(self.next_ticket, body.to_vec());
        self.next_ticket += 1;
        copy
    }

    /// Keeps a copy of a report for the next leader, by chance.
    fn keep_copy(&mut self, worker: usize, body: &[u8]) {
        let keep = self.faults.for_next.filter(|k| self.during(k.0, k.1));
        if !self.chance(keep.map_or(0.0, |k| k.2)) {
            return;
        }
        let copy = self.heartbeat_copy(body);
        // The newest ones, and the oldest: perhaps of an earlier session.
        let kept = self.kept.entry(worker).or_default();
        if kept.len() >= KEPT_COPIES {
            kept.remove(1);
        }
        kept.push(copy);
    }

    /// A report has got no answer in time: the worker tries the next controller.
    pub(super) fn worker_heartbeat_timeout(&mut self, worker: usize, heartbeat: u64) {
        let w = &mut self.workers[worker];
        if w.in_flight == Some(heartbeat) {
            w.in_flight = None;
            w.node = (w.node + 1) % CONTROLLERS;
            w.next_heartbeat = self.now + Micros::secs(1);
        }
    }

    /// An answer arrives at the worker or the user who asked.
    pub(super) fn answer(&mut self, ticket: u64, left: Micros, status: u16, body: &[u8]) {
        match self.tickets.remove(&ticket) {
            Some(Origin::Worker { worker, sent, heartbeat }) => {
                if self.worker_cut(worker).is_some()
                    || self.workers[worker].gone
                    || self.deaf(worker)
                {
                    return;
                }
                let begun = self.workers[worker].answered(self.now, sent, heartbeat, status, body);
                self.note_starts(worker, begun);
            }
            Some(origin) => self.user_answer(origin, left, status, body),
            None => {}
        }
    }
}

fn heartbeat_request(ticket: u64, body: Vec<u8>) -> Event {
    Event::Http { ticket: Ticket(ticket), method: "POST".into(), path: "/v1/report".into(), body }
}
