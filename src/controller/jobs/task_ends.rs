//! Handles the ends of local tasks' attempts, with their run times, failures and refusals.

use super::job::TaskEnd;
use crate::controller::Controller;
use crate::peer::ObservedState;
use log::info;

impl Controller {
    /// Ends a task's current attempt. The end is stored with the job's next write, and the task
    /// becomes pending again unless it has completed.
    pub(crate) fn end_task(&mut self, id: &str, index: u32, end: TaskEnd) {
        let observed = end.observed;
        let now = self.context.now;
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let Some(placement) = job.end(index, end) else {
            return;
        };
        let machine = placement.machine.clone();
        log::debug!("task {id}/{index} ended on {machine}: {observed:?}");
        match observed {
            ObservedState::Done => {
                job.record_success();
                if let Some(ran) = placement.running_since.map(|at| now.since(at)) {
                    if job.spec.estimate_s > 0.0 {
                        let ratio = ran.as_secs_f64() / job.spec.estimate_s;
                        self.scheduler.record_run_time_ratio(&job.spec.class, ratio);
                    }
                    job.record_run_time(ran);
                }
            }
            ObservedState::Failed => {
                self.counts.failed += 1;
                info!("task {id}/{index} failed on {machine}");
                job.record_failure(now, &machine);
            }
            ObservedState::Refused => job.backoff.record_refusal(now),
            _ => {}
        }
        job.deferred_since.get_or_insert(now);
        let shard = job.shard;
        self.changes.jobs.insert(id.to_string());
        self.changes.progress.insert(id.to_string());
        self.scheduler.mark_stale(&machine);
        self.changes.desired.insert((shard, machine));
        self.scheduler.request_pass();
    }
}
