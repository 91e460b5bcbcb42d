//! What a run has shown.

use super::faults::Faults;
use super::jobs::{Plan, UserJob};
use super::settings::CONTROLLERS;
use super::world::World;

impl World {
    /// Jobs that were accepted and whose users still wait.
    pub fn unfinished(&self) -> Vec<String> {
        self.jobs
            .iter()
            .filter(|(_, j)| !j.done_answered && j.cancelled_at.is_none())
            .map(|(id, j)| {
                format!("{id} accepted {} done {}/{}", j.accepted, j.completed.len(), j.plan.tasks)
            })
            .collect()
    }

    /// Starts of jobs with a mistake, for each of their tasks.
    pub fn violating_starts(&self) -> Vec<f64> {
        let broken = self.jobs.iter().filter(|(_, j)| j.plan.broken);
        let starts = |id: &String| self.begun.get(id).copied().unwrap_or(0) as f64;
        broken.map(|(id, j)| starts(id) / f64::from(j.plan.tasks)).collect()
    }

    /// Jobs whose users were told that they are cancelled.
    pub fn cancelled(&self) -> usize {
        self.jobs.values().filter(|j| j.cancelled_at.is_some()).count()
    }

    /// Those of them that are cancelled with one that they need, and by nobody else.
    pub fn cancelled_with_others(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|j| j.cancelled_at.is_some() && !j.cancel_requested).count()
    }

    /// Jobs that were done after one whose cancellation had come too late.
    pub fn went_on(&self) -> usize {
        let late = |up: &UserJob| up.cancel_requested && up.done_answered;
        let late = |j: &UserJob| j.ancestors.iter().any(|u| late(&self.jobs[u]));
        self.jobs.values().filter(|j| j.done_answered && late(j)).count()
    }

    /// Attempts that were ever written down for a worker.
    pub fn attempts(&self, worker: usize) -> usize {
        self.store.attempts(&self.workers[worker].name)
    }

    /// Keys in the key-value store that begin like this, now and ever.
    pub fn stored(&self, prefix: &str) -> (usize, usize) {
        self.store.count(prefix)
    }

    /// Changes that were ever made to keys that begin like this.
    pub fn changed(&self, prefix: &str) -> usize {
        self.store.changed(prefix)
    }

    /// So many times has a controller taken or left a shard, beside the first time.
    pub fn moves(&self) -> usize {
        self.changed("hold/").saturating_sub(CONTROLLERS)
    }

    /// Shards held by each controller that is up.
    pub fn shards(&self) -> Vec<usize> {
        self.nodes.iter().flatten().map(|n| n.controller.led_shard_count()).collect()
    }
}

/// What went wrong in a world that was played: a violation or a job left undone.
pub fn judge(name: &str, seed: u64, world: World) -> Result<World, String> {
    if !world.violations.is_empty() {
        return Err(format!("{name}, seed {seed}, at {:?}: {:?}", world.now, world.violations));
    }
    let rest = world.unfinished();
    if !rest.is_empty() {
        let shards = world.shards();
        return Err(format!("{name}, seed {seed}: unfinished {rest:?}, seats {shards:?}"));
    }
    Ok(world)
}

/// Plays to the end: no rule may be broken, no job left undone.
pub fn until_done(name: &str, seed: u64, plans: &[Plan], end_s: u64, faults: &Faults) -> World {
    let mut world = World::new(seed, plans, faults.clone());
    world.run_until(end_s);
    judge(name, seed, world).unwrap_or_else(|wrong| panic!("{wrong}"))
}
