//! Tasks on spot machines that are about to be reclaimed.

use super::job::Job;
use crate::controller::Controller;
use crate::time::Micros;
use std::rc::Rc;

/// A task that would end so shortly before the machine is reclaimed is not counted on to end.
const END_MARGIN: Micros = Micros::secs(2);
/// Time for a checkpoint beside what the job says that it takes.
pub(super) const CHECKPOINT_MARGIN: Micros = Micros::secs(1);

/// How long a task still runs, as far as can be told.
fn expected_rest(ran: Option<Micros>, usual: Micros) -> Micros {
    match ran {
        Some(ran) if ran < usual => usual.since(ran),
        // One that has run for longer than usual is a long one: nothing says
        // that it ends now.
        Some(ran) => Micros(ran.0 / 2),
        None => Micros::FAR,
    }
}

impl Job {
    /// Time for a checkpoint before a stop, on a machine that is reclaimed in `left`; none if
    /// the job saves none, or it would not be done in time.
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
    /// Evaluates tasks on machines that are about to be reclaimed: the time that is left runs
    /// down between heartbeats.
    pub(crate) fn check_spot_notices(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let noticed: Vec<String> = self
            .machines
            .views()
            .iter()
            .filter(|(_, view)| view.notice_ms.is_some())
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in noticed {
            self.evaluate_on_all_shards(&machine);
        }
    }

    /// A task's spot machine may be about to be reclaimed: a task that cannot end in time is
    /// stopped, with time for a checkpoint if it saves any. The others may still end.
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
        let usual = job.usual_run_time().unwrap_or_else(|| {
            let correction = self.scheduler.estimates().correction(&job.spec.class);
            Micros::from_secs_f64(job.spec.estimate_s * correction)
        });
        if expected_rest(ran, usual) + END_MARGIN < left {
            return;
        }
        let grace = job.checkpoint_grace(left);
        if let Some(placement) = job.placement_mut(index) {
            placement.stop_grace = Some(grace);
        }
        let shard = job.shard;
        self.stop_changed(shard, machine);
    }
}
