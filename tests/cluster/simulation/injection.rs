//! Injected facts that no controller or worker caused, to test the checks of the rules.

use super::event::{Origin, SimEvent};
use super::faults::Faults;
use super::jobs::{Plan, job_id};
use super::world::World;
use millethold::time::Micros;
use serde_json::json;

impl World {
    /// Creates a run at its fifth second in which no controller ever starts.
    pub fn without_controllers(plans: &[Plan]) -> World {
        let mut world = World::new(1, plans, Faults::default());
        world.remove_controllers();
        world.run_until(5);
        world.now = Micros::secs(5);
        world
    }

    /// Runs the checks after `setup` and again after `fact`; returns the violations found by each.
    pub fn check_fact(
        mut self,
        setup: fn(&mut World),
        fact: fn(&mut World),
    ) -> (Vec<String>, Vec<String>) {
        setup(&mut self);
        self.check();
        let early = std::mem::take(&mut self.violations);
        fact(&mut self);
        self.check();
        (early, self.violations)
    }

    /// Delivers an answer to a job's user that no controller sent. `sent_at_s` is the second at
    /// which the answer to a status query was sent. Without it the answer is one to a cancellation
    /// and is sent now.
    pub fn inject_answer(&mut self, job: usize, sent_at_s: Option<u64>, status: u16, stage: &str) {
        let id = self.id(job);
        let origin = match sent_at_s {
            Some(_) => Origin::Poll(id),
            None => Origin::Cancel(id),
        };
        let sent_at = sent_at_s.map_or(self.now, Micros::secs);
        let body = serde_json::to_vec(&json!({ "stage": stage })).expect("JSON");
        self.user_answer(origin, sent_at, status, &body);
    }

    /// Delivers an answer to a request that must be refused.
    pub fn inject_invalid_request_answer(&mut self, status: u16) {
        let origin = Origin::InvalidRequest("a job that fits no machine", 422);
        self.user_answer(origin, self.now, status, b"{}");
    }

    /// Delivers an answer to a repeated submission.
    pub fn inject_repeat_answer(&mut self, job: usize, sent_at_s: u64, status: u16, stage: &str) {
        let sent_at = Micros::secs(sent_at_s);
        let origin = Origin::Repeat(self.id(job));
        let body = serde_json::to_vec(&json!({ "stage": stage })).expect("JSON");
        self.user_answer(origin, sent_at, status, &body);
    }

    /// Puts a task on a machine without a command of a controller.
    pub fn inject_start(&mut self, worker: usize, job: usize, index: u32) {
        let task = format!("{}/{index}", self.id(job));
        self.workers[worker].inject_task(self.now, &task);
        self.check_executed_commands(worker, vec![task]);
    }

    /// Marks a job as accepted, and as cancelled by its user if `cancel_requested`.
    pub fn inject_accepted_job(&mut self, job: usize, cancel_requested: bool) {
        let id = self.id(job);
        let now = self.now;
        let j = self.jobs.get_mut(&id).expect("a planned job");
        (j.accepted, j.cancel_requested, j.last_answered) = (true, cancel_requested, now);
    }

    /// Delivers an answer to the submission of a job that was not accepted.
    pub fn inject_submission_answer(&mut self, job: usize, status: u16) {
        let origin = Origin::Submit(self.id(job));
        self.user_answer(origin, self.now, status, b"{}");
    }

    /// Marks the first `tasks` tasks of a job as completed.
    pub fn inject_completed_tasks(&mut self, job: usize, tasks: u32) {
        let id = self.id(job);
        self.jobs.get_mut(&id).expect("a planned job").completed = (0..tasks).collect();
    }

    /// Marks all tasks of a job as completed.
    pub fn inject_job_end(&mut self, job: usize) {
        let id = self.id(job);
        let j = self.jobs.get_mut(&id).expect("a planned job");
        j.completed = (0..j.plan.tasks).collect();
    }

    /// Makes a machine hang from now until the given second.
    pub fn inject_hang(&mut self, worker: usize, until: u64) {
        self.hanging.insert(worker, Micros::secs(until));
    }

    /// Removes all controllers for the rest of the run.
    pub fn remove_controllers(&mut self) {
        self.queue.retain(|_, ev| !matches!(ev, SimEvent::Start { .. }));
        self.processes = vec![None, None, None];
    }

    fn id(&self, job: usize) -> String {
        job_id(job)
    }
}
