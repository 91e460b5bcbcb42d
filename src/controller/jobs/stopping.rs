//! Stops of own tasks: for preemption, and of cancelled jobs.

use super::spot_notices::CHECKPOINT_MARGIN;
use crate::controller::Controller;
use crate::peer::Preempt;
use crate::time::Micros;
use std::rc::Rc;

impl Controller {
    /// The desired state of a machine has changed: a task on it is to be stopped.
    pub(super) fn stop_changed(&mut self, shard: usize, machine: Rc<str>) {
        self.scheduler.mark_stale(&machine);
        self.changes.desired.insert((shard, machine));
    }

    /// Has a task stopped, with so much time for a checkpoint; an earlier stop with less
    /// time stands.
    fn stop_task(&mut self, id: &str, index: u32, grace: Micros) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let shard = job.shard;
        let Some(placement) = job.placement_mut(index) else {
            return;
        };
        if placement.stop_grace.is_some_and(|earlier| earlier <= grace) {
            return;
        }
        placement.stop_grace = Some(grace);
        let machine = Rc::clone(&placement.machine);
        self.stop_changed(shard, machine);
    }

    /// An own task is preempted by a more urgent one.
    pub(crate) fn preempt_task(&mut self, preempted: &Preempt) {
        let Some(job) = self.jobs.by_id.get_mut(&preempted.job) else {
            return;
        };
        let grace = if preempted.save && job.spec.checkpoint_s > 0.0 {
            Micros::from_secs_f64(job.spec.save_s) + CHECKPOINT_MARGIN
        } else {
            // At once: its latest checkpoint is kept.
            Micros::ZERO
        };
        let is_current = job.placement_mut(preempted.index).is_some_and(|placement| {
            placement.attempt == preempted.attempt && placement.stop_grace.is_none()
        });
        if is_current {
            self.counts.preempted += 1;
            self.stop_task(&preempted.job, preempted.index, grace);
        }
    }

    /// Stops all tasks of a cancelled job.
    pub(crate) fn stop_job(&mut self, id: &str) {
        let Some(job) = self.jobs.by_id.get(id) else {
            return;
        };
        let placed: Vec<u32> =
            job.chunks.iter().flat_map(|chunk| chunk.placed.keys().copied()).collect();
        for index in placed {
            self.stop_task(id, index, Micros::ZERO);
        }
        self.changes.jobs.insert(id.to_string());
    }

    /// A job's user has cancelled it: on some node, perhaps this one.
    pub(crate) fn job_cancelled(&mut self, id: &str) {
        if let Some(job) = self.jobs.by_id.get_mut(id)
            && job.is_active()
        {
            job.cancelled = true;
            self.counts.cancelled += 1;
            self.stop_job(id);
            self.scheduler.request_pass();
        }
    }
}
