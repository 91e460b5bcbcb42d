//! Failed searches of a scheduling pass, which are not repeated for tasks that need at least as
//! much.

use crate::controller::scheduler::victims::PreemptionClaim;
use crate::wire::JobSpec;
use std::rc::Rc;

/// Parameters of a search for victims that decide, besides the task's requirements, whether it
/// fails.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PreemptionSearch {
    /// Rank of the job.
    rank: u32,
    /// The job's team if the task is within its guarantee, otherwise `None`.
    team_within_guarantee: Option<String>,
    /// The search was limited to machines that have the image.
    only_cached: bool,
}

impl PreemptionSearch {
    /// The search for a claim; with `only_cached`, limited to machines that have the image.
    pub(super) fn of(claim: &PreemptionClaim<'_>, only_cached: bool) -> PreemptionSearch {
        let team = &claim.job.spec.team;
        PreemptionSearch {
            rank: claim.job.rank(),
            team_within_guarantee: claim.within_guarantee.then(|| team.clone()),
            only_cached,
        }
    }
}

/// A search that found no machine.
#[derive(Debug)]
struct FailedSearch {
    /// Specification of the job that a machine was searched for.
    spec: Rc<JobSpec>,
    /// Parameters of a search for victims; `None` for a search for free capacity.
    preemption: Option<PreemptionSearch>,
}

impl FailedSearch {
    /// Whether a search for a task of another job must fail too, because the job needs at least
    /// as much and is limited to the same machines.
    fn implies_failure_for(&self, spec: &JobSpec) -> bool {
        let failed = &self.spec;
        let same_image_needed = self.preemption.as_ref().is_some_and(|search| search.only_cached);
        failed.cpus <= spec.cpus
            && failed.gpus <= spec.gpus
            && failed.memory_gb <= spec.memory_gb
            && failed.types == spec.types
            && failed.zone == spec.zone
            && failed.spot == spec.spot
            && (!same_image_needed || failed.image == spec.image)
    }
}

/// The searches of a pass that failed.
#[derive(Debug, Default)]
pub(super) struct SearchFailures {
    list: Vec<FailedSearch>,
}

impl SearchFailures {
    /// Records that no machine has free capacity for a task of a job.
    pub(super) fn record_no_capacity(&mut self, spec: &Rc<JobSpec>) {
        self.list.push(FailedSearch { spec: Rc::clone(spec), preemption: None });
    }

    /// Records that a search found no victims for a task of a job.
    pub(super) fn record_no_victims(&mut self, spec: &Rc<JobSpec>, search: PreemptionSearch) {
        self.list.push(FailedSearch { spec: Rc::clone(spec), preemption: Some(search) });
    }

    /// Whether an earlier failure implies that no machine has free capacity for a task of the
    /// job.
    pub(super) fn implies_no_capacity(&self, spec: &JobSpec) -> bool {
        self.list
            .iter()
            .any(|failed| failed.preemption.is_none() && failed.implies_failure_for(spec))
    }

    /// Whether an earlier failure implies that a search finds no victims for a task of the job.
    pub(super) fn implies_no_victims(&self, spec: &JobSpec, search: &PreemptionSearch) -> bool {
        self.list.iter().any(|failed| {
            failed.preemption.as_ref() == Some(search) && failed.implies_failure_for(spec)
        })
    }

    /// Forgets the failed searches for free capacity, after capacity became free that may fit
    /// tasks of any size.
    pub(super) fn forget_capacity_failures(&mut self) {
        self.list.retain(|failed| failed.preemption.is_some());
    }
}
