//! Time limits that follow from the service-level objectives of a job's class.

use crate::controller::jobs::job::Job;
use crate::controller::scheduler::scheduling_inputs::SchedulingInputs;

/// Finish objective, in seconds, assumed for a class that has none or a longer one.
const DEFAULT_FINISH_OBJECTIVE_S: f64 = 240.0;
/// With an objective below this many seconds, victims get no time to save a checkpoint.
const MIN_OBJECTIVE_WITH_CHECKPOINT_S: f64 = 10.0;
/// A fetch is too slow if it takes more than this share of the class's `wait` objective.
const MAX_FETCH_SHARE: f64 = 0.5;
/// Lower bound on the fetch rate used in estimates, in gigabytes per second.
pub(super) const MIN_FETCH_GB_PER_S: f64 = 0.01;

impl SchedulingInputs<'_> {
    /// Finish objective of a class, in seconds; the default if that is shorter or the class has
    /// none.
    pub(super) fn finish_objective_s(&self, class: &str) -> f64 {
        self.context
            .settings
            .objectives
            .iter()
            .filter(|objective| objective.class == class && objective.kind == "finished")
            .filter_map(|objective| objective.within_s)
            .fold(DEFAULT_FINISH_OBJECTIVE_S, f64::min)
    }

    /// Fetch rate of the slowest machine type, in gigabytes per second.
    pub(super) fn slowest_fetch_gb_per_s(&self) -> f64 {
        self.autoscaler
            .machine_types
            .values()
            .map(|machine_type| machine_type.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
            .max(MIN_FETCH_GB_PER_S)
    }

    /// Whether fetching a job's image takes most of the time within which its tasks are to
    /// start. A machine that has the image is then preferred however loaded it is, whatever
    /// the image slack.
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

    /// Whether the objectives of a job's class leave time for its victims to save a
    /// checkpoint before they stop.
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
