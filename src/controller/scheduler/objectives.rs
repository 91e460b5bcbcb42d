//! What the service-level objectives of a job's class leave time for.

use crate::controller::jobs::job::Job;
use crate::controller::scheduler::inputs::SchedulingInputs;

/// Seconds within which jobs of a class without an objective are to be done.
const DEFAULT_FINISH_OBJECTIVE_S: f64 = 240.0;
/// Objectives below this many seconds leave victims no time to write a checkpoint.
const MIN_OBJECTIVE_WITH_CHECKPOINT_S: f64 = 10.0;
/// Fetching an image that takes more than this share of the time until the start is too slow.
const MAX_FETCH_SHARE: f64 = 0.5;
/// No fetch is counted as slower than this, in gigabytes a second.
pub(super) const MIN_FETCH_GB_PER_S: f64 = 0.01;

impl SchedulingInputs<'_> {
    /// Seconds within which jobs of a class are to be done.
    pub(super) fn finish_objective_s(&self, class: &str) -> f64 {
        self.context
            .settings
            .objectives
            .iter()
            .filter(|objective| objective.class == class && objective.kind == "finished")
            .filter_map(|objective| objective.within_s)
            .fold(DEFAULT_FINISH_OBJECTIVE_S, f64::min)
    }

    /// How fast the slowest machine type fetches images, in gigabytes a second.
    pub(super) fn slowest_fetch_gb_per_s(&self) -> f64 {
        self.autoscaler
            .machine_types
            .values()
            .map(|machine_type| machine_type.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
            .max(MIN_FETCH_GB_PER_S)
    }

    /// Whether fetching a job's image takes most of the time within which its
    /// tasks are to start. A machine that has the image then wins however loaded it is: an
    /// exception to the ordinary tolerance, which weighs a fetch against a queue.
    pub(super) fn fetch_too_slow(&self, job: &Job) -> bool {
        let fetch_s = job.spec.image_gb / self.slowest_fetch_gb_per_s();
        self.context
            .settings
            .objectives
            .iter()
            .filter(|objective| objective.kind == "wait" && objective.class == job.spec.class)
            .filter_map(|objective| objective.within_s)
            .any(|within_s| fetch_s > within_s * MAX_FETCH_SHARE)
    }

    /// Whether the objectives of a job's class leave time for the tasks that are preempted
    /// for it to write a checkpoint first.
    pub(super) fn time_for_checkpoints(&self, job: &Job) -> bool {
        self.context
            .settings
            .objectives
            .iter()
            .filter(|objective| objective.class == job.spec.class)
            .filter_map(|objective| objective.within_s)
            .all(|within_s| within_s >= MIN_OBJECTIVE_WITH_CHECKPOINT_S)
    }
}
