//! Searches that failed in a pass: what needs at least as much need not be searched for again.

use crate::controller::scheduler::victims::PreemptionClaim;
use crate::wire::JobSpec;
use std::rc::Rc;

/// For whom victims were searched: searches that are equal in this fail alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PreemptionSearch {
    /// Rank of the job.
    rank: u32,
    /// Its team, if within its guarantee.
    entitled_team: Option<String>,
    /// Only machines that have the image were searched.
    only_cached: bool,
}

impl PreemptionSearch {
    /// The search for a claim; with `only_cached` among machines that have the image.
    pub(super) fn of(claim: &PreemptionClaim<'_>, only_cached: bool) -> PreemptionSearch {
        let team = &claim.job.spec.team;
        PreemptionSearch {
            rank: claim.job.rank(),
            entitled_team: claim.entitled.then(|| team.clone()),
            only_cached,
        }
    }
}

/// What was searched for in vain.
#[derive(Debug)]
struct FailedSearch {
    /// The job whose task it was for.
    spec: Rc<JobSpec>,
    /// The search for victims; `None` for free capacity.
    preemption: Option<PreemptionSearch>,
}

impl FailedSearch {
    /// Whether a job that needs at least as much, of the same machines, must fail too.
    fn covers(&self, spec: &JobSpec) -> bool {
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
    /// No machine has free capacity for a task of a job.
    pub(super) fn note_no_capacity(&mut self, spec: &Rc<JobSpec>) {
        self.list.push(FailedSearch { spec: Rc::clone(spec), preemption: None });
    }

    /// No machine has victims for a task of a job.
    pub(super) fn note_no_victims(&mut self, spec: &Rc<JobSpec>, search: PreemptionSearch) {
        self.list.push(FailedSearch { spec: Rc::clone(spec), preemption: Some(search) });
    }

    /// Whether it is known that no machine has free capacity for a task of the job.
    pub(super) fn no_capacity(&self, spec: &JobSpec) -> bool {
        self.list.iter().any(|failed| failed.preemption.is_none() && failed.covers(spec))
    }

    /// Whether it is known that the search finds no victims for a task of the job.
    pub(super) fn no_victims(&self, spec: &JobSpec, search: &PreemptionSearch) -> bool {
        self.list
            .iter()
            .any(|failed| failed.preemption.as_ref() == Some(search) && failed.covers(spec))
    }

    /// Free capacity has come up, for tasks of any shape.
    pub(super) fn capacity_freed(&mut self) {
        self.list.retain(|failed| failed.preemption.is_some());
    }
}
