//! Usage and pending demand of a shard's jobs, by team.

use crate::controller::jobs::Jobs;
use crate::controller::quota::amount::QuotaAmount;
use crate::controller::quota::target_grant::RankedDemand;
use crate::time::Micros;

/// What a shard's tasks of a team use. A task counts from its placement, even before the
/// placement is stored, until its end is certain or stored.
pub(crate) fn shard_usage(jobs: &Jobs, shard: usize, team: &str) -> QuotaAmount {
    let mut used = QuotaAmount::default();
    for job in jobs.by_id.values().filter(|job| job.shard == shard && job.spec.team == team) {
        used += QuotaAmount::of_tasks(&job.spec, job.quota_tasks());
    }
    used
}

/// What a shard's pending tasks of a team need, by rank. Jobs whose backoff has not ended are left
/// out.
pub(crate) fn pending_demand(
    jobs: &Jobs,
    now: Micros,
    shard: usize,
    team: &str,
) -> Vec<RankedDemand> {
    let mut list: Vec<RankedDemand> = Vec::new();
    for job in jobs.by_id.values().filter(|job| job.shard == shard && job.spec.team == team) {
        let tasks = job.placeable();
        if !job.is_active() || tasks == 0 || job.backoff.is_paused(now) {
            continue;
        }
        let amount = QuotaAmount::of_tasks(&job.spec, tasks);
        match list.iter_mut().find(|demand| demand.rank == job.rank()) {
            Some(demand) => demand.amount += amount,
            None => list.push(RankedDemand { rank: job.rank(), amount }),
        }
    }
    list
}
