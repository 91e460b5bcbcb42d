//! The order in which jobs are served.

use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::inputs::SchedulingInputs;
use crate::peer::Demand;
use crate::time::Micros;

/// Up to this rank work is urgent: it goes before large tasks that wait, and preempts what is
/// less urgent even for a team beyond its guarantee.
pub(super) const LOWEST_URGENT_RANK: u32 = 1;

/// What decides first which job is served first, also between the shards. The order of the
/// fields is that of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueClass {
    /// With one more task the team would pass its guarantee: others go first.
    pub(crate) beyond_guarantee: bool,
    /// Rank of service: lower is more urgent.
    pub(crate) rank: u32,
}

impl QueueClass {
    /// The class of tasks that wait on some shard.
    pub(crate) fn of_demand(demand: &Demand) -> QueueClass {
        QueueClass { beyond_guarantee: demand.beyond_guarantee, rank: demand.rank }
    }
}

/// A job's place in the queue. The order of the fields is that of the comparison.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedJob {
    /// What decides first.
    pub(crate) class: QueueClass,
    /// Time of day of the deadline.
    due: Micros,
    /// Time of day from which it could be placed.
    ready: Micros,
    /// Id of the job.
    pub(crate) job: String,
}

impl Scheduler {
    /// Own jobs with pending tasks in order of service: teams within their guarantee first,
    /// then priority, deadline and age.
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
