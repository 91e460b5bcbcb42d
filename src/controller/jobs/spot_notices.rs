//! Stops tasks on spot machines that are about to be reclaimed.

use super::job::Job;
use crate::controller::Controller;
use crate::time::Micros;
use std::rc::Rc;

/// A task is expected to complete only if it would end at least this long before its machine is
/// reclaimed.
const COMPLETION_MARGIN: Micros = Micros::secs(2);
/// Time for a checkpoint, added to the save time that the job specifies.
pub(super) const CHECKPOINT_MARGIN: Micros = Micros::secs(1);

/// Estimates how much longer a task runs; `ran` is `None` if it is not known to run yet.
fn expected_remaining(ran: Option<Micros>, usual: Micros) -> Micros {
    match ran {
        Some(ran) if ran < usual => usual.since(ran),
        // A task that exceeds the usual run time may be a long one and need not end soon.
        Some(ran) => Micros(ran.0 / 2),
        None => Micros::FAR_FUTURE,
    }
}

impl Job {
    /// Time for a checkpoint before a stop on a machine that is reclaimed in `left`. Zero if the
    /// job saves no checkpoints, or could not save one in time.
    fn checkpoint_grace(&self, left: Micros) -> Micros {
        let save = Micros::from_secs_f64(self.spec.save_s);
        if self.spec.checkpoint_s > 0.0 && save < left {
            save + CHECKPOINT_MARGIN
        } else {
            Micros::ZERO
        }
    }
}

impl Controller {
    /// Evaluates tasks on machines with a spot notice. This runs on a timer because the time left
    /// decreases between heartbeats, too.
    pub(crate) fn check_spot_notices(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let machines_with_notice: Vec<String> = self
            .machines
            .views()
            .iter()
            .filter(|(_, view)| view.notice_ms.is_some())
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in machines_with_notice {
            self.evaluate_on_all_shards(&machine);
        }
    }

    /// Stops a task whose machine has a spot notice if the task is not expected to complete in
    /// time, with time for a checkpoint if the job saves any. Other tasks keep running.
    pub(super) fn stop_for_spot_notice(&mut self, id: &str, index: u32) {
        let now = self.context.now;
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let Some(placement) = job.placement_mut(index) else {
            return;
        };
        if placement.stop_grace.is_some() {
            return;
        }
        let Some(left_ms) = self.machines.view(&placement.machine).and_then(|v| v.notice_ms) else {
            return;
        };
        let left = Micros::millis(left_ms);
        let ran = placement.running_since.map(|at| now.since(at));
        let machine = Rc::clone(&placement.machine);
        let usual = job.median_run_time().unwrap_or_else(|| {
            let correction = self.scheduler.estimates().correction(&job.spec.class);
            Micros::from_secs_f64(job.spec.estimate_s * correction)
        });
        if expected_remaining(ran, usual) + COMPLETION_MARGIN < left {
            return;
        }
        let grace = job.checkpoint_grace(left);
        if let Some(placement) = job.placement_mut(index) {
            placement.stop_grace = Some(grace);
        }
        let shard = job.shard;
        self.mark_stop_changed(shard, machine);
    }
}
