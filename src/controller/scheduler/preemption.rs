//! Requests preemptions, and refreshes the budget of preemptions for teams' guarantees.

use crate::controller::Controller;
use crate::controller::machines::attempt::AttemptId;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::ReservedTask;
use crate::peer::PreemptionRequest;
use crate::time::Micros;
use std::rc::Rc;

impl Controller {
    /// Preempts a task of a local job, or requests the preemption from the leader of the job's
    /// shard. With `save_checkpoint`, the task gets time to save a checkpoint first.
    pub(super) fn request_preemption(
        &mut self,
        task: &ReservedTask,
        save_checkpoint: bool,
        machine: &Rc<str>,
    ) {
        log::debug!("preempting task {}/{} on {machine}", task.job, task.index);
        let (job, index, attempt) = (task.job.clone(), task.index, task.attempt);
        let request = PreemptionRequest { job, index, attempt, save_checkpoint };
        if self.jobs.by_id.contains_key(&request.job) {
            self.preempt_task(&request);
        } else {
            let key = AttemptId { job: request.job.clone(), index, attempt };
            self.scheduler.preemption_requests.insert(key, machine, self.context.now);
            self.changes.preemptions.push(request);
        }
    }

    /// Recomputes how much may be preempted for guarantees until the next call.
    pub(crate) fn refresh_guarantee_budget(&mut self) {
        if !self.holds_lease() {
            return;
        }
        self.refresh_capacity();
        let controllers = self.leadership.shard_count().max(1) as f64;
        let scheduler = &mut self.scheduler;
        scheduler.guarantee_budget.refresh(&self.quota, scheduler.capacity.usage(), controllers);
    }
}

impl Scheduler {
    /// Drops preemption requests that were not granted in time: their tasks no longer count
    /// as stopping.
    pub(crate) fn expire_preemption_requests(&mut self, now: Micros) {
        for machine in self.preemption_requests.expire(now) {
            self.mark_stale(&machine);
        }
    }
}
