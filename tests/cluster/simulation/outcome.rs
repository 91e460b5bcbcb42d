//! Results of a run.

use super::faults::Faults;
use super::jobs::{Plan, UserJob};
use super::settings::CONTROLLERS;
use super::world::World;

impl World {
    /// Jobs whose users have not received a final answer, accepted or not.
    pub fn unfinished(&self) -> Vec<String> {
        self.jobs
            .iter()
            .filter(|(_, j)| !j.done_answered && j.cancelled_at.is_none())
            .map(|(id, j)| {
                format!("{id} accepted {} done {}/{}", j.accepted, j.completed.len(), j.plan.tasks)
            })
            .collect()
    }

    /// For each job with `always_fails`, the number of starts divided by the number of its tasks.
    pub fn starts_per_always_failing_task(&self) -> Vec<f64> {
        let failing = self.jobs.iter().filter(|(_, j)| j.plan.always_fails);
        let starts = |id: &String| self.starts_by_job.get(id).copied().unwrap_or(0) as f64;
        failing.map(|(id, j)| starts(id) / f64::from(j.plan.tasks)).collect()
    }

    /// Number of jobs whose users received `cancelled`.
    pub fn cancelled(&self) -> usize {
        self.jobs.values().filter(|j| j.cancelled_at.is_some()).count()
    }

    /// Number of cancelled jobs whose own cancellation no user requested: one that they need was
    /// cancelled.
    pub fn cancelled_with_dependencies(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|j| j.cancelled_at.is_some() && !j.cancel_requested).count()
    }

    /// Number of jobs that are done although the cancellation of an ancestor was requested: it came
    /// after the ancestor was done.
    pub fn done_after_late_cancellation(&self) -> usize {
        let late = |ancestor: &UserJob| ancestor.cancel_requested && ancestor.done_answered;
        let any_late = |j: &UserJob| j.ancestors.iter().any(|u| late(&self.jobs[u]));
        self.jobs.values().filter(|j| j.done_answered && any_late(j)).count()
    }

    /// Number of attempts ever stored for a worker.
    pub fn count_attempts(&self, worker: usize) -> usize {
        self.store.count_attempts(&self.workers[worker].name)
    }

    /// Number of keys with this prefix in the key-value store: present now, and ever written.
    pub fn count_keys(&self, prefix: &str) -> (usize, usize) {
        self.store.count_keys(prefix)
    }

    /// Number of writes to keys with this prefix since the start, including deletions.
    pub fn count_writes(&self, prefix: &str) -> usize {
        self.store.count_writes(prefix)
    }

    /// Number of times that a controller acquired or lost a shard lease, without the first
    /// acquisition of each shard.
    pub fn leader_changes(&self) -> usize {
        self.count_writes("hold/").saturating_sub(CONTROLLERS)
    }

    /// Number of shards that each running controller leads.
    pub fn led_shard_counts(&self) -> Vec<usize> {
        self.processes.iter().flatten().map(|p| p.controller.led_shard_count()).collect()
    }
}

/// Returns the world of a run without violations and unfinished jobs, or a description of these.
pub fn check_outcome(name: &str, seed: u64, world: World) -> Result<World, String> {
    if !world.violations.is_empty() {
        return Err(format!("{name}, seed {seed}, at {:?}: {:?}", world.now, world.violations));
    }
    let unfinished = world.unfinished();
    if !unfinished.is_empty() {
        let shards = world.led_shard_counts();
        return Err(format!(
            "{name}, seed {seed}: unfinished jobs {unfinished:?}, led shards {shards:?}"
        ));
    }
    Ok(world)
}

/// Runs until the given second; panics on a violation or an unfinished job.
pub fn run_until_done(name: &str, seed: u64, plans: &[Plan], end_s: u64, faults: &Faults) -> World {
    let mut world = World::new(seed, plans, faults.clone());
    world.run_until(end_s);
    check_outcome(name, seed, world).unwrap_or_else(|failure| panic!("{failure}"))
}
