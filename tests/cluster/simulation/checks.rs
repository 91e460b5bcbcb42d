//! Checks of the protocol's rules, at each start of a task and after each event.

use super::jobs::UserJob;
use super::settings::{CANCEL_S, RED_MAX};
use super::worker;
use super::world::World;
use millethold::time::Micros;
use std::collections::BTreeMap;

/// A job without an answer for this long counts as forgotten once all faults are over.
const FORGOTTEN_TIMEOUT: Micros = Micros::secs(75);
/// A job without an answer for this long counts as forgotten, whatever the faults.
const FORGOTTEN_DURING_FAULTS_TIMEOUT: Micros = Micros::secs(90);
/// A task that could start and does not for this long counts as left waiting.
const LEFT_WAITING_TIMEOUT: Micros = Micros::secs(90);
/// Time between two searches for tasks that are left waiting.
const WAITING_CHECK_INTERVAL: Micros = Micros::secs(1);

/// Id of the job of a task.
fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// Zones of the tasks of each job, one entry for each task.
type Zones<'a> = BTreeMap<&'a str, Vec<&'a str>>;

impl World {
    /// Checks the commands that a worker executed; `started` are the tasks that it started.
    pub(super) fn check_executed_commands(&mut self, worker: usize, started: Vec<String>) {
        for (task, attempt) in std::mem::take(&mut self.workers[worker].forgotten) {
            if self.still_wanted(&task) && self.store.is_placed(&task, attempt) {
                self.violations
                    .push(format!("{task} attempt {attempt} forgotten before its end was stored"));
            }
        }
        for (task, attempt) in std::mem::take(&mut self.workers[worker].stopped) {
            if self.still_wanted(&task) && self.store.is_placed(&task, attempt) {
                self.stopped_while_placed.push(format!("{task} at {:?}", self.now));
            }
        }
        for task in started {
            self.starts += 1;
            let (job, _) = task.split_once('/').expect("a task's name");
            *self.starts_by_job.entry(job.to_string()).or_insert(0) += 1;
            let Some(user_job) = self.jobs.get(job) else {
                self.violations.push(format!("{task} started, though no user submitted its job"));
                continue;
            };
            self.dependent_starts += u64::from(!user_job.dependencies.is_empty());
            self.starts_after_cancellation += u64::from(user_job.cancelled_at.is_some());
            let mut violations = self.start_time_violations(&task, user_job);
            violations.extend(self.attempt_violations(worker, &task, user_job));
            violations.extend(self.zone_violations(worker, &task, user_job));
            self.violations.extend(violations);
        }
    }

    /// Whether no user has cancelled the job of a task.
    fn still_wanted(&self, task: &str) -> bool {
        self.jobs.get(job_of(task)).is_some_and(|j| !j.cancel_requested)
    }

    /// Whether the time that tasks of a cancelled job may run has passed since `at`.
    fn past_cancel_deadline(&self, at: Option<Micros>) -> bool {
        at.is_some_and(|at| self.now > at + Micros::from_secs_f64(CANCEL_S))
    }

    /// Returns the violations of the rules for the time at which a task starts.
    fn start_time_violations(&self, task: &str, job: &UserJob) -> Vec<String> {
        let mut violations = Vec::new();
        if self.past_cancel_deadline(job.cancelled_at) {
            violations.push(format!("ran_cancelled: {task} started"));
        }
        let unfinished = job.dependencies.iter().find(|u| !self.jobs[*u].ended());
        if let Some(dependency) = unfinished {
            violations.push(format!(
                "too_early: {task} started, its dependency {dependency} is not done"
            ));
        }
        if self.past_cancel_deadline(job.ancestor_cancelled_at) {
            violations.push(format!("orphaned: {task} started"));
        }
        if self.store.is_done(job_of(task)) {
            violations.push(format!("{task} started, though its job is done"));
        }
        violations
    }

    /// Returns the violations of the rules for a started attempt: its placement must be stored, and
    /// the task must not be on another machine.
    fn attempt_violations(&self, worker: usize, task: &str, job: &UserJob) -> Vec<String> {
        let mut violations = Vec::new();
        let here = &self.workers[worker];
        let attempt = here.attempt(task).unwrap_or(0);
        if !self.store.was_ever_placed(task, &here.name, attempt) && job.cancelled_at.is_none() {
            violations
                .push(format!("{task} attempt {attempt} started before its placement was stored"));
        }
        for (number, other) in self.workers.iter().enumerate() {
            if number != worker && !other.is_gone && other.has_live_task(task) {
                violations.push(format!("ran_twice: {task} on {} and {}", other.name, here.name));
            }
        }
        violations
    }

    /// Returns the violations of the rules for the zone in which a task starts.
    fn zone_violations(&self, worker: usize, task: &str, job: &UserJob) -> Vec<String> {
        let mut violations = Vec::new();
        let zones: Vec<&str> = self
            .workers
            .iter()
            .filter(|w| !w.is_gone)
            .flat_map(|w| w.tasks_of(job_of(task)).map(|_| w.zone.as_str()))
            .collect();
        let here = self.workers[worker].zone.as_str();
        if job.plan.together && zones.iter().any(|z| *z != here) {
            violations.push(format!(
                "wrong_place: {task} in zone {here}, its job must run in one zone: {zones:?}"
            ));
        }
        if let Some(zone) = job.plan.zone.filter(|z| *z != here) {
            violations.push(format!("wrong_place: {task} in zone {here}, its job needs {zone}"));
        }
        let max_in_zone = job.plan.tasks.div_ceil(2) as usize;
        if job.plan.apart && zones.iter().filter(|z| **z == here).count() > max_in_zone {
            violations.push(format!(
                "wrong_place: {task} in zone {here}, where its job may run {max_in_zone} tasks"
            ));
        }
        violations
    }

    /// Checks the rules that must hold after each event.
    pub fn check(&mut self) {
        for (id, j) in &self.jobs {
            let waits = j.accepted && !j.done_answered && j.cancelled_at.is_none();
            let since_faults = j.last_answered.max(self.faults_end);
            let forgotten = self.now > since_faults + FORGOTTEN_TIMEOUT
                || self.now > j.last_answered + FORGOTTEN_DURING_FAULTS_TIMEOUT;
            if waits && forgotten {
                self.violations.push(format!("forgotten: no status query about {id} is answered"));
            }
        }
        let mut violations = Vec::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for worker in self.workers.iter().filter(|w| !w.is_gone) {
            for task in worker.live_tasks() {
                let Some(job) = self.jobs.get(job_of(task)) else {
                    continue;
                };
                *used.entry(job.plan.team).or_insert(0.0) += job.plan.cpus;
                if self.past_cancel_deadline(job.cancelled_at) {
                    violations.push(format!("ran_cancelled: {task} still there"));
                }
                if self.past_cancel_deadline(job.ancestor_cancelled_at) {
                    violations.push(format!("orphaned: {task} still there"));
                }
            }
        }
        let red = used.get("red").copied().unwrap_or(0.0);
        if red > RED_MAX + 1e-6 {
            violations.push(format!("quota: CPUs by team: {used:?}, limit of red: {RED_MAX}"));
        }
        self.violations.extend(violations);
        if self.now >= self.next_waiting_check && self.now >= self.faults_end {
            self.next_waiting_check = self.now + WAITING_CHECK_INTERVAL;
            self.check_left_waiting(red);
        }
    }

    /// Checks that, after all faults, no task waits for long while a machine that fits has room and
    /// its team is under its limit. `red` is the number of CPUs that the red team uses.
    fn check_left_waiting(&mut self, red: f64) {
        let room = self.free_capacity();
        let zones = self.zones_in_use();
        let mut waits = Vec::new();
        for (id, job) in &self.jobs {
            let zones_of_job = zones.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let can_start = self.could_start(job, red, &room, zones_of_job);
            let starts = self.starts_by_job.get(id).copied().unwrap_or(0);
            waits.push((id.clone(), can_start, starts));
        }
        for (id, can_start, starts) in waits {
            let job = self.jobs.get_mut(&id).expect("just seen");
            // The wait restarts whenever a task of the job starts.
            let since = job.startable_since.filter(|w| can_start && w.1 == starts);
            job.startable_since = can_start.then(|| since.unwrap_or((self.now, starts)));
            if job.startable_since.is_some_and(|w| self.now > w.0 + LEFT_WAITING_TIMEOUT) {
                self.violations.push(format!("left waiting: {id} while there is room for it"));
            }
        }
    }

    /// Zones and free CPUs of the machines that can take another task.
    fn free_capacity(&self) -> Vec<(&str, f64)> {
        let cpus = |task: &String| self.jobs.get(job_of(task)).map_or(1.0, |j| j.plan.cpus);
        let mut room = Vec::new();
        for machine in self.workers.iter().filter(|w| !w.is_gone) {
            let full = machine.live_tasks().count() >= worker::MAX_TASKS;
            let free = worker::CPUS - machine.live_tasks().map(cpus).sum::<f64>();
            if !machine.always_fails && machine.has_reported(self.now) && !full {
                room.push((machine.zone.as_str(), free));
            }
        }
        room
    }

    /// Zones of the tasks on machines by job, one entry for each task.
    fn zones_in_use(&self) -> Zones<'_> {
        let mut zones = Zones::new();
        for machine in self.workers.iter().filter(|w| !w.is_gone) {
            for task in machine.live_tasks() {
                zones.entry(job_of(task)).or_default().push(&machine.zone);
            }
        }
        zones
    }

    /// Whether another task of a job could start; `zones` are the zones of its tasks on machines.
    fn could_start(&self, job: &UserJob, red: f64, room: &[(&str, f64)], zones: &[&str]) -> bool {
        let plan = &job.plan;
        let open =
            job.accepted && !job.cancel_requested && !job.done_answered && !plan.always_fails;
        // A job that waits for its dependencies is not left waiting.
        let released = job.dependencies.iter().all(|u| self.jobs[u].ended());
        let has_more = job.completed.len() + zones.len() < plan.tasks as usize;
        let allowed = plan.team != "red" || red + plan.cpus <= RED_MAX;
        let half = plan.tasks.div_ceil(2) as usize;
        let zone_fits = |zone: &str| {
            plan.zone.is_none_or(|z| z == zone)
                && (!plan.together || zones.iter().all(|z| *z == zone))
                && (!plan.apart || zones.iter().filter(|z| **z == zone).count() < half)
        };
        let fits = |(zone, free): &(&str, f64)| *free >= plan.cpus && zone_fits(zone);
        open && released
            && !self.may_be_cancelled(job)
            && has_more
            && allowed
            && room.iter().any(fits)
    }
}
