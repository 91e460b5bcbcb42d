//! Facts that no controller or worker brought about, to see that the rules judge them.

use super::event::{Origin, SimEvent};
use super::faults::Faults;
use super::jobs::{Plan, job_id};
use super::world::World;
use millethold::time::Micros;
use serde_json::json;

impl World {
    /// A world in its fifth second whose controllers are gone for good.
    pub fn without_controllers(plans: &[Plan]) -> World {
        let mut world = World::new(1, plans, Faults::default());
        world.no_controllers();
        world.run_until(5);
        world.now = Micros::secs(5);
        world
    }

    /// Judges a fact: which rules were broken before it, and which with it.
    pub fn judge_fact(
        mut self,
        before: fn(&mut World),
        fact: fn(&mut World),
    ) -> (Vec<String>, Vec<String>) {
        before(&mut self);
        self.check();
        let early = std::mem::take(&mut self.violations);
        fact(&mut self);
        self.check();
        (early, self.violations)
    }

    /// Feeds an answer to a job's user that no controller gave, to see that it is judged:
    /// `left` says when the answer to a question left its node, or none for that to a
    /// cancellation, which leaves now.
    pub fn forge_answer(&mut self, job: usize, left: Option<u64>, status: u16, stage: &str) {
        let id = self.id(job);
        let origin = match left {
            Some(_) => Origin::Poll(id),
            None => Origin::Cancel(id),
        };
        let left = left.map_or(self.now, Micros::secs);
        let body = serde_json::to_vec(&json!({ "stage": stage })).expect("JSON");
        self.user_answer(origin, left, status, &body);
    }

    /// Feeds an answer to a request that must be refused.
    pub fn forge_invalid_request(&mut self, status: u16) {
        let origin = Origin::InvalidRequest("a job that fits no machine", 422);
        self.user_answer(origin, self.now, status, b"{}");
    }

    /// Feeds an answer to a repeated submission.
    pub fn forge_repeat(&mut self, job: usize, left: u64, status: u16, stage: &str) {
        let left = Micros::secs(left);
        let origin = Origin::Repeat(self.id(job));
        let body = serde_json::to_vec(&json!({ "stage": stage })).expect("JSON");
        self.user_answer(origin, left, status, &body);
    }

    /// Gives a machine a task that no controller ordered.
    pub fn forge_start(&mut self, worker: usize, job: usize, index: u32) {
        let task = format!("{}/{index}", self.id(job));
        self.workers[worker].forge(self.now, &task);
        self.note_starts(worker, vec![task]);
    }

    /// A user's job is taken for accepted, or for one that its user called off.
    pub fn forge_job(&mut self, job: usize, cancel_requested: bool) {
        let id = self.id(job);
        let now = self.now;
        let j = self.jobs.get_mut(&id).expect("a planned job");
        (j.accepted, j.cancel_requested, j.answered) = (true, cancel_requested, now);
    }

    /// Feeds an answer to the submission of a job that was not accepted.
    pub fn forge_submission(&mut self, job: usize, status: u16) {
        let origin = Origin::Submit(self.id(job));
        self.user_answer(origin, self.now, status, b"{}");
    }

    /// The first tasks of a job have completed.
    pub fn forge_progress(&mut self, job: usize, tasks: u32) {
        let id = self.id(job);
        self.jobs.get_mut(&id).expect("a planned job").completed = (0..tasks).collect();
    }

    /// All tasks of a job have completed.
    pub fn forge_end(&mut self, job: usize) {
        let id = self.id(job);
        let j = self.jobs.get_mut(&id).expect("a planned job");
        j.completed = (0..j.plan.tasks).collect();
    }

    /// A machine hangs from now on.
    pub fn forge_hang(&mut self, worker: usize, until: u64) {
        self.hanging.insert(worker, Micros::secs(until));
    }

    /// All controllers are gone for good.
    pub fn no_controllers(&mut self) {
        self.queue.retain(|_, ev| !matches!(ev, SimEvent::Start { .. }));
        self.nodes = vec![None, None, None];
    }

    fn id(&self, job: usize) -> String {
        job_id(job)
    }
}
