//! The order in which jobs are scheduled.

use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::scheduling_inputs::SchedulingInputs;
use crate::peer::Demand;
use crate::time::Micros;

/// Jobs of this rank or a lower number are urgent: they may use machines held for large tasks,
/// and preempt less urgent tasks even if their team is beyond its guarantee.
pub(super) const LOWEST_URGENT_RANK: u32 = 1;

/// The part of the queue order that also applies between shards. Fields are compared in order
/// of declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueClass {
    /// One more task would exceed the team's guarantee, so jobs within guarantees go first.
    pub(crate) beyond_guarantee: bool,
    /// Rank of the job: lower is more urgent.
    pub(crate) rank: u32,
}

impl QueueClass {
    /// The class of pending tasks of any shard.
    pub(crate) fn of_demand(demand: &Demand) -> QueueClass {
        QueueClass { beyond_guarantee: demand.beyond_guarantee, rank: demand.rank }
    }
}

/// A job's position in the queue. Fields are compared in order of declaration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedJob {
    /// Compared first.
    pub(crate) class: QueueClass,
    /// Wall-clock time of the deadline; [`Micros::FAR_FUTURE`] if there is none.
    due: Micros,
    /// Wall-clock time since which the job could be placed.
    ready: Micros,
    /// Id of the job.
    pub(crate) job: String,
}

impl Scheduler {
    /// Local jobs with pending tasks, in scheduling order: jobs within their team's guarantee
    /// first, then by rank, deadline and the time since which they could be placed.
    pub(crate) fn queue_order(&self, inputs: &SchedulingInputs<'_>) -> Vec<QueuedJob> {
        let usage = self.capacity.usage();
        let mut order: Vec<QueuedJob> = inputs
            .jobs
            .by_id
            .iter()
            .filter(|(_, job)| job.is_active() && !job.awaits_dependencies && job.pending() > 0)
            .map(|(id, job)| {
                let (team, one_task) = (&job.spec.team, (&*job.spec).into());
                let beyond_guarantee = !inputs.quotas.within_guarantee(usage, team, one_task);
                QueuedJob {
                    class: QueueClass { beyond_guarantee, rank: job.rank() },
                    due: job.due(),
                    ready: job.ready_at,
                    job: id.clone(),
                }
            })
            .collect();
        order.sort();
        order
    }
}
