//! The rules: what must hold at every start of a task, and at every moment.

use super::jobs::UserJob;
use super::settings::{CANCEL_S, RED_MAX};
use super::worker;
use super::world::World;
use millethold::time::Micros;
use std::collections::BTreeMap;

/// After this long without an answer about a job it counts as forgotten.
const FORGOTTEN: Micros = Micros::secs(75);
/// After this long a task that could run counts as left waiting.
const LEFT_WAITING: Micros = Micros::secs(90);
/// Between two searches for tasks that are left waiting.
const LOOK_INTERVAL: Micros = Micros::secs(1);

/// The job of a task.
fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// Zones of a job's tasks by job.
type Zones<'a> = BTreeMap<&'a str, Vec<&'a str>>;

impl World {
    /// Checks what a worker did with the commands that it was given: `begun` are
    /// the tasks that it began.
    pub(super) fn note_starts(&mut self, worker: usize, begun: Vec<String>) {
        for (task, attempt) in std::mem::take(&mut self.workers[worker].cleared) {
            if self.still_wanted(&task) && self.store.placed(&task, attempt) {
                self.violations
                    .push(format!("{task} attempt {attempt} cleared, its end not stored"));
            }
        }
        for (task, attempt) in std::mem::take(&mut self.workers[worker].stopped) {
            if self.still_wanted(&task) && self.store.placed(&task, attempt) {
                self.stopped.push(format!("{task} at {:?}", self.now));
            }
        }
        for task in begun {
            self.starts += 1;
            let (job, _) = task.split_once('/').expect("a task's name");
            *self.begun.entry(job.to_string()).or_insert(0) += 1;
            let Some(user_job) = self.jobs.get(job) else {
                self.violations.push(format!("start of unknown {task}"));
                continue;
            };
            self.waited_starts += u64::from(!user_job.dependencies.is_empty());
            self.late_starts += u64::from(user_job.cancelled_at.is_some());
            let mut wrong = self.wrong_time(&task, user_job);
            wrong.extend(self.wrong_attempt(worker, &task, user_job));
            wrong.extend(self.wrong_place(worker, &task, user_job));
            self.violations.extend(wrong);
        }
    }

    /// Whether no user called off the job of a task.
    fn still_wanted(&self, task: &str) -> bool {
        self.jobs.get(job_of(task)).is_some_and(|j| !j.cancel_requested)
    }

    /// Whether more time has passed since `at` than tasks of cancelled jobs may run.
    fn past_cancel_time(&self, at: Option<Micros>) -> bool {
        at.is_some_and(|at| self.now > at + Micros::from_secs_f64(CANCEL_S))
    }

    /// What is wrong with the moment at which a task is begun.
    fn wrong_time(&self, task: &str, job: &UserJob) -> Vec<String> {
        let mut wrong = Vec::new();
        if self.past_cancel_time(job.cancelled_at) {
            wrong.push(format!("ran_cancelled: {task} begun"));
        }
        let early = job.dependencies.iter().find(|u| !self.jobs[*u].ended());
        if let Some(up) = early {
            wrong.push(format!("too_early: {task} begun, its upstream {up} is not done"));
        }
        if self.past_cancel_time(job.orphan_from) {
            wrong.push(format!("orphaned: {task} begun"));
        }
        if self.store.done(job_of(task)) {
            wrong.push(format!("{task} begun, though its job is done"));
        }
        wrong
    }

    /// What is wrong with the attempt that is begun: it must have been written down,
    /// and be the only one.
    fn wrong_attempt(&self, worker: usize, task: &str, job: &UserJob) -> Vec<String> {
        let mut wrong = Vec::new();
        let here = &self.workers[worker];
        let attempt = here.attempt(task).unwrap_or(0);
        if !self.store.written(task, &here.name, attempt) && job.cancelled_at.is_none() {
            wrong.push(format!("{task} attempt {attempt} begun before it was written"));
        }
        for (number, other) in self.workers.iter().enumerate() {
            if number != worker && !other.gone && other.has(task) {
                wrong.push(format!("ran_twice: {task} on {} and {}", other.name, here.name));
            }
        }
        wrong
    }

    /// What is wrong with the zone in which a task is begun.
    fn wrong_place(&self, worker: usize, task: &str, job: &UserJob) -> Vec<String> {
        let mut wrong = Vec::new();
        let zones: Vec<&str> = self
            .workers
            .iter()
            .filter(|w| !w.gone)
            .flat_map(|w| w.tasks_of(job_of(task)).map(|_| w.zone.as_str()))
            .collect();
        let here = self.workers[worker].zone.as_str();
        if job.plan.together && zones.iter().any(|z| *z != here) {
            wrong.push(format!("wrong_place: {task} not together"));
        }
        if job.plan.zone.is_some_and(|z| z != here) {
            wrong.push(format!("wrong_place: {task} in zone {here}"));
        }
        let most = job.plan.tasks.div_ceil(2) as usize;
        if job.plan.apart && zones.iter().filter(|z| **z == here).count() > most {
            wrong.push(format!("wrong_place: {task} not apart"));
        }
        wrong
    }

    /// What must hold at every moment.
    pub fn check(&mut self) {
        for (id, j) in &self.jobs {
            let waits = j.accepted && !j.done_answered && j.cancelled_at.is_none();
            if waits && self.now > j.answered + FORGOTTEN {
                self.violations.push(format!("forgotten: no question about {id} is answered"));
            }
        }
        let mut wrong = Vec::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for worker in self.workers.iter().filter(|w| !w.gone) {
            for task in worker.present() {
                let Some(job) = self.jobs.get(job_of(task)) else {
                    continue;
                };
                *used.entry(job.plan.team).or_insert(0.0) += job.plan.cpus;
                if self.past_cancel_time(job.cancelled_at) {
                    wrong.push(format!("ran_cancelled: {task} still there"));
                }
                if self.past_cancel_time(job.orphan_from) {
                    wrong.push(format!("orphaned: {task} still there"));
                }
            }
        }
        let red = used.get("red").copied().unwrap_or(0.0);
        if red > RED_MAX + 1e-6 {
            wrong.push(format!("quota: {used:?}"));
        }
        self.violations.extend(wrong);
        if self.now >= self.next_full_query && self.now >= self.calm {
            self.next_full_query = self.now + LOOK_INTERVAL;
            self.left_waiting(red);
        }
    }

    /// Once all faults are over nothing waits for long while a machine that fits
    /// has room and its team, of which `red` CPUs are used, is under its limit.
    fn left_waiting(&mut self, red: f64) {
        let room = self.free_capacity();
        let zones = self.zones_in_use();
        let mut waits = Vec::new();
        for (id, job) in &self.jobs {
            let there = zones.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let left = self.could_start(job, red, &room, there);
            let begun = self.begun.get(id).copied().unwrap_or(0);
            waits.push((id.clone(), left, begun));
        }
        for (id, left, begun) in waits {
            let job = self.jobs.get_mut(&id).expect("just seen");
            // Whoever gets one task after the other is being served.
            let since = job.waits.filter(|w| left && w.1 == begun);
            job.waits = left.then(|| since.unwrap_or((self.now, begun)));
            if job.waits.is_some_and(|w| self.now > w.0 + LEFT_WAITING) {
                self.violations.push(format!("left waiting: {id} while there is room for it"));
            }
        }
    }

    /// Zones and free CPUs of the machines that take a further task.
    fn free_capacity(&self) -> Vec<(&str, f64)> {
        let cpus = |task: &String| self.jobs.get(job_of(task)).map_or(1.0, |j| j.plan.cpus);
        let mut room = Vec::new();
        for machine in self.workers.iter().filter(|w| !w.gone) {
            let full = machine.present().count() >= worker::SLOTS;
            let free = worker::CPUS - machine.present().map(cpus).sum::<f64>();
            if !machine.sick && machine.up(self.now) && !full {
                room.push((machine.zone.as_str(), free));
            }
        }
        room
    }

    /// The zones in which tasks of each job are, a task each.
    fn zones_in_use(&self) -> Zones<'_> {
        let mut zones = Zones::new();
        for machine in self.workers.iter().filter(|w| !w.gone) {
            for task in machine.present() {
                zones.entry(job_of(task)).or_default().push(&machine.zone);
            }
        }
        zones
    }

    /// Whether one more task of a job could start; `zones` are those of its tasks.
    fn could_start(&self, job: &UserJob, red: f64, room: &[(&str, f64)], zones: &[&str]) -> bool {
        let plan = &job.plan;
        let open = job.accepted && !job.cancel_requested && !job.done_answered && !plan.broken;
        // A job that waits for others is not left waiting.
        let released = job.dependencies.iter().all(|u| self.jobs[u].ended());
        let more = job.completed.len() + zones.len() < plan.tasks as usize;
        let allowed = plan.team != "red" || red + plan.cpus <= RED_MAX;
        let half = plan.tasks.div_ceil(2) as usize;
        let zone_fits = |zone: &str| {
            plan.zone.is_none_or(|z| z == zone)
                && (!plan.together || zones.iter().all(|z| *z == zone))
                && (!plan.apart || zones.iter().filter(|z| **z == zone).count() < half)
        };
        let fits = |(zone, free): &(&str, f64)| *free >= plan.cpus && zone_fits(zone);
        open && released && !self.called_off(job) && more && allowed && room.iter().any(fits)
    }
}
