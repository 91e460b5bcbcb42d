//! Users: submissions, status queries and cancellations.

use super::event::{Origin, SimEvent};
use super::faults::CancelRunning;
use super::jobs::{UserJob, submission};
use super::settings::CONTROLLERS;
use super::world::World;
use millethold::controller::{Event, Ticket};
use millethold::time::Micros;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Time between two status queries about a job in milliseconds, outside a query storm.
const POLL_MS: u64 = 5_000;
/// How long a user polls a job after its final answer. This is a little longer than a real user
/// would, to check that the answer stays final.
const POLL_AFTER_END: Micros = Micros::secs(20);
/// Maximum number of machines that hang when users cancel many running jobs.
const MAX_HANGING: usize = 8;
/// Minimum run time of the tasks of a job that users cancel while it runs, in seconds.
const LONG_RUN_S: f64 = 10.0;

/// Maximum number of jobs about which users query a controller that has just started.
const MAX_QUERIES_AT_START: usize = 80;
/// Number of queries about a job to a controller that has just started.
const QUERIES_AT_START: usize = 2;
/// Time after a controller's start within which users query it, in milliseconds.
const MAX_WAIT_AT_START_MS: u64 = 50;

impl World {
    /// Submits a job, every 2 s until it is accepted and every 40 s afterwards.
    pub(super) fn submit(&mut self, id: &str) {
        let accepted = self.jobs[id].accepted;
        if !accepted && !self.can_submit(&self.jobs[id]) {
            self.jobs.get_mut(id).expect("a planned job").submission_delayed = true;
            return;
        }
        let body = self.submission_body(id);
        self.send_request("POST", "/work", body, Origin::Submit(id.to_string()));
        if self.faults.queries_end_with_job && self.jobs[id].final_answer_at.is_some() {
            return;
        }
        let again = if accepted { Micros::secs(40) } else { Micros::secs(2) };
        self.schedule(self.now + again, SimEvent::Submit(id.to_string()));
    }

    /// Queries the status of a job, and again until [`POLL_AFTER_END`] after its final answer.
    pub(super) fn poll(&mut self, id: String) {
        let poll_after_end = match self.faults.queries_end_with_job {
            true => Micros::ZERO,
            false => POLL_AFTER_END,
        };
        if self.jobs[&id].final_answer_at.is_some_and(|at| self.now >= at + poll_after_end) {
            return;
        }
        self.send_user_request(&id, "GET", "", Origin::Poll(id.clone()));
        let query_storm = self.faults.query_storm.filter(|s| self.during(s.0, s.1));
        let again = Micros::millis(POLL_MS / query_storm.map_or(1, |s| s.2));
        self.storm_queries += u64::from(query_storm.is_some());
        self.schedule(self.now + again, SimEvent::Poll(id));
    }

    /// Cancels a job as soon as it is accepted, and repeats the request every 2 s.
    pub(super) fn cancel(&mut self, id: String) {
        let job = self.jobs.get_mut(&id).expect("a planned job");
        job.cancel_requested = true;
        if job.accepted {
            self.send_user_request(&id, "POST", "/abort", Origin::Cancel(id.clone()));
            self.schedule(self.now + Micros::secs(2), SimEvent::Cancel(id));
        } else {
            self.schedule(self.now + Micros::secs(1), SimEvent::Cancel(id));
        }
    }

    /// Cancels the running jobs with the longest tasks; some of their machines hang.
    pub(super) fn cancel_running(&mut self, cancel: CancelRunning) {
        let now = self.now;
        let mut jobs = self.long_running_jobs();
        jobs.sort_by_key(|(_, run_s, _)| Reverse(*run_s));
        jobs.truncate(cancel.count);
        let mut hang = BTreeSet::new();
        for (id, _, workers) in jobs {
            let at = now + Micros::millis(self.rng.random_range(0..200));
            self.schedule(at, SimEvent::Cancel(id));
            hang.extend(workers);
        }
        if cancel.hang_s > 0 {
            let until = now + Micros::secs(cancel.hang_s);
            self.hanging.extend(hang.into_iter().take(MAX_HANGING).map(|w| (w, until)));
        }
    }

    /// Running jobs with long tasks: id, run time in seconds, workers.
    fn long_running_jobs(&self) -> Vec<(String, u64, Vec<usize>)> {
        let mut workers_of: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (number, worker) in self.workers.iter().enumerate().filter(|(_, w)| !w.is_gone) {
            for task in worker.live_tasks() {
                let job = task.split('/').next().unwrap_or_default();
                workers_of.entry(job).or_default().push(number);
            }
        }
        let open = |j: &UserJob| j.accepted && !j.cancel_requested && !j.done_answered;
        workers_of
            .into_iter()
            .filter_map(|(id, workers)| {
                let job = self.jobs.get(id)?;
                let eligible = open(job) && job.plan.run_s >= LONG_RUN_S;
                eligible.then(|| (id.to_string(), job.plan.run_s as u64, workers))
            })
            .collect()
    }

    /// Schedules queries about a job to all controllers, at once and after 5, 30 and 200 ms, each
    /// time with a repeated submission to one of them.
    pub(super) fn query_all_controllers(&mut self, id: &str) {
        if !self.faults.query_bursts.is_some_and(|l| self.during(l.0, l.1)) {
            return;
        }
        for wait_ms in [0, 5, 30, 200] {
            for controller in 0..CONTROLLERS {
                let at = self.now + Micros::millis(wait_ms);
                let at = at + Micros(self.rng.random_range(0..5_000));
                self.schedule(
                    at,
                    SimEvent::BurstQuery { id: id.into(), controller, repeat: false },
                );
            }
            let at = self.now + Micros::millis(wait_ms) + Micros(self.rng.random_range(0..5_000));
            let controller = self.rng.random_range(0..CONTROLLERS);
            self.schedule(at, SimEvent::BurstQuery { id: id.into(), controller, repeat: true });
        }
    }

    /// Schedules queries about jobs that have not ended and depend on no other, with some repeated
    /// submissions, to a controller that has just started, and at the same time to the others.
    pub(super) fn query_started_controller(&mut self, started: usize) {
        if !self.faults.queries_at_start {
            return;
        }
        let open =
            |j: &UserJob| j.accepted && j.final_answer_at.is_none() && j.dependencies.is_empty();
        let jobs = self.jobs.iter().filter(|(_, j)| open(j)).map(|(id, _)| id.clone());
        for id in jobs.take(MAX_QUERIES_AT_START).collect::<Vec<_>>() {
            for _ in 0..QUERIES_AT_START {
                let wait = Micros::millis(self.rng.random_range(0..MAX_WAIT_AT_START_MS));
                let repeat = self.rng.random_range(0..10) == 0;
                self.queries_at_start += 1;
                let query = SimEvent::BurstQuery { id: id.clone(), controller: started, repeat };
                self.schedule(self.now + wait, query);
            }
            for controller in (0..CONTROLLERS).filter(|other| *other != started) {
                let wait = self.rng.random_range(0..20 * MAX_WAIT_AT_START_MS);
                let query = SimEvent::BurstQuery { id: id.clone(), controller, repeat: false };
                self.schedule(self.now + Micros::millis(wait), query);
            }
        }
    }

    /// Queries one controller about a job, or repeats the submission there.
    pub(super) fn burst_query(&mut self, id: String, controller: usize, repeat: bool) {
        self.burst_queries += 1;
        if repeat {
            let body = self.submission_body(&id);
            self.send_request_to(controller, "POST", "/work", body, Origin::Repeat(id));
        } else {
            let path = format!("/work/{id}");
            self.send_request_to(controller, "GET", &path, Vec::new(), Origin::Poll(id));
        }
    }

    /// Body of the submission of a planned job.
    fn submission_body(&self, id: &str) -> Vec<u8> {
        serde_json::to_vec(&submission(id, &self.jobs[id].plan)).expect("JSON")
    }

    /// Whether a user can submit a job: its dependencies are accepted, and have ended if its plan
    /// requires that.
    fn can_submit(&self, j: &UserJob) -> bool {
        let ready = |dependency: &UserJob| match j.plan.after_dependencies_end {
            true => dependency.accepted && dependency.final_answer_at.is_some(),
            false => dependency.accepted,
        };
        j.dependencies.iter().all(|u| ready(&self.jobs[u]))
    }

    /// Schedules the delayed submissions that are possible now.
    pub(super) fn submit_delayed_jobs(&mut self) {
        let ready = |j: &UserJob| j.submission_delayed && self.can_submit(j);
        let ids: Vec<String> =
            self.jobs.iter().filter(|(_, j)| ready(j)).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.jobs.get_mut(&id).expect("just seen").submission_delayed = false;
            self.schedule(self.now, SimEvent::Submit(id));
        }
    }

    /// Whether a job may be answered as cancelled: its cancellation was requested, or that of an
    /// ancestor was requested and not answered with `done`.
    pub(super) fn may_be_cancelled(&self, j: &UserJob) -> bool {
        let cancelled = |ancestor: &UserJob| ancestor.cancel_requested && !ancestor.done_answered;
        j.cancel_requested || j.ancestors.iter().any(|u| cancelled(&self.jobs[u]))
    }

    /// Sends a request about a job to a random controller.
    fn send_user_request(&mut self, id: &str, method: &str, end: &str, origin: Origin) {
        self.send_request(method, &format!("/work/{id}{end}"), Vec::new(), origin);
    }

    /// Sends a request of a user to a random controller.
    pub(super) fn send_request(&mut self, method: &str, path: &str, body: Vec<u8>, origin: Origin) {
        let controller = self.rng.random_range(0..CONTROLLERS);
        self.send_request_to(controller, method, path, body, origin);
    }

    /// Sends a request of a user to a controller, if that is running and reachable.
    fn send_request_to(
        &mut self,
        controller: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
        origin: Origin,
    ) {
        if self.users_cut(controller) {
            return;
        }
        let Some(incarnation) = self.processes[controller].as_ref().map(|p| p.incarnation) else {
            return;
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(ticket, origin);
        let event =
            Event::Http { ticket: Ticket(ticket), method: method.into(), path: path.into(), body };
        let at = self.now + self.delay();
        self.schedule(at, SimEvent::ToController { controller, incarnation, event });
    }
}
