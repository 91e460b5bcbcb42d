//! Stops local tasks that are preempted or whose jobs are cancelled.

use super::spot_notices::CHECKPOINT_MARGIN;
use crate::controller::Controller;
use crate::peer::PreemptionRequest;
use crate::time::Micros;
use std::rc::Rc;

impl Controller {
    /// Marks a machine's desired state as changed because a task on it is to be stopped.
    pub(super) fn mark_stop_changed(&mut self, shard: usize, machine: Rc<str>) {
        self.scheduler.mark_stale(&machine);
        self.changes.desired.insert((shard, machine));
    }

    /// Requests the stop of a task, with `grace` as the time for a checkpoint. An earlier stop
    /// with no more time than that stays in force.
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
        self.mark_stop_changed(shard, machine);
    }

    /// Stops a local task that a more urgent one preempts. Ignored if the attempt is no longer
    /// current or is already being stopped.
    pub(crate) fn preempt_task(&mut self, request: &PreemptionRequest) {
        let Some(job) = self.jobs.by_id.get_mut(&request.job) else {
            return;
        };
        let grace = if request.save_checkpoint && job.spec.checkpoint_s > 0.0 {
            Micros::from_secs_f64(job.spec.save_s) + CHECKPOINT_MARGIN
        } else {
            // The task is stopped at once; its latest checkpoint is kept.
            Micros::ZERO
        };
        let is_current = job.placement_mut(request.index).is_some_and(|placement| {
            placement.attempt == request.attempt && placement.stop_grace.is_none()
        });
        if is_current {
            self.counts.preempted += 1;
            self.stop_task(&request.job, request.index, grace);
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

    /// Handles the cancellation of a job, which may have been made through any member.
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
