//! Placement of one job's tasks in a scheduling pass.

use crate::controller::Controller;
use crate::controller::jobs::job::Job;
use crate::controller::quota::amount::{QuotaAmount, QuotaResource};
use crate::controller::quota::job_demand::shard_usage;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::{MachineId, PoolId};
use crate::controller::scheduler::image_locality;
use crate::controller::scheduler::pending_reason::PendingReason;
use crate::controller::scheduler::queue::LOWEST_URGENT_RANK;
use crate::controller::scheduler::scheduling_inputs::SchedulingInputs;
use crate::controller::scheduler::scheduling_pass::{PassState, ShardTeam};
use crate::peer::Demand;
use crate::resources::{Resources, TOLERANCE};
use crate::wire::JobSpec;
use std::collections::BTreeMap;
use std::rc::Rc;

/// State of the placement of one job's tasks.
pub(super) struct JobPlacement {
    /// Id of the job.
    pub(super) id: String,
    /// Number of the job's shard.
    pub(super) shard: usize,
    /// Specification of the job.
    pub(super) spec: Rc<JobSpec>,
    /// Resources that one task needs.
    pub(super) needed: Resources,
    /// Rank of the job: lower is more urgent.
    pub(super) rank: u32,
    /// The shard's grant of the team's limit.
    grant: QuotaAmount,
    /// What the shard's tasks use of the grant, including tasks placed in this pass.
    pub(super) used: QuotaAmount,
    /// Number of tasks by which a machine that has the image may exceed the least loaded one.
    pub(super) image_slack: u32,
    /// Fetching the image would take most of the time within which the job is to start.
    pub(super) fetch_too_slow: bool,
    /// A larger task lacks capacity: the best fit is chosen instead of the least loaded machine.
    pub(super) bin_pack: bool,
    /// The job's tasks must not be placed on machines held for large tasks.
    pub(super) excluded_from_held_machines: bool,
    /// No machine is excluded because the job avoids it or restricts its zones, or because the
    /// machine is held: a failed search then implies failure for every job that needs at least
    /// as much of the same machines.
    pub(super) failure_applies_to_other_jobs: bool,
    /// The job's victims get time to save a checkpoint.
    pub(super) time_for_checkpoints: bool,
    /// Seconds that one task is expected to run.
    pub(super) expected_s: f64,
    /// Pools of the machines on which the job's tasks may run.
    pub(super) pools: Vec<PoolId>,
    /// Number of tasks per zone; empty unless the job restricts its tasks' zones.
    pub(super) tasks_by_zone: BTreeMap<Rc<str>, u32>,
    /// Machines that have the image; `None` until they are searched for. That happens only
    /// once a machine with capacity is found, which most jobs of a long queue do not, or if a
    /// fetch is too slow.
    pub(super) cached_machines: Option<Vec<MachineId>>,
}

impl JobPlacement {
    /// Whether the zones allowed for a task depend on those of the job's other tasks.
    pub(super) fn zones_restricted(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Machines that have the image; empty if they were not searched for.
    pub(super) fn cached_machines(&self) -> &[MachineId] {
        self.cached_machines.as_deref().unwrap_or_default()
    }

    /// Whether one more task would exceed the shard's grant.
    fn next_task_exceeds_grant(&self) -> bool {
        let one_task = QuotaAmount::from(self.needed);
        QuotaResource::ALL.into_iter().any(|resource| {
            let more = one_task.get(resource);
            more > 0.0 && self.used.get(resource) + more > self.grant.get(resource) + TOLERANCE
        })
    }
}

impl Controller {
    /// Places tasks of a job until none is left or none can be placed now, and sets the job's
    /// pending reason.
    pub(super) fn place_job(&mut self, id: &str, pass: &mut PassState) {
        let Some(job) = self.jobs.by_id.get(id) else {
            return;
        };
        if !self.serves_shard(job.shard) || job.awaits_dependencies {
            return;
        }
        let inputs = self.scheduling_inputs();
        let reason = match blocking_reason(&inputs, job) {
            Some(reason) => reason,
            None => {
                let mut placement = self.scheduler.begin_placement(&inputs, id, job, pass);
                let reason = loop {
                    if let Err(reason) = self.place_next_task(&mut placement, pass) {
                        break reason;
                    }
                };
                let team = placement.spec.team.clone();
                pass.shard_usage.insert(ShardTeam { shard: placement.shard, team }, placement.used);
                reason
            }
        };
        if let Some(job) = self.jobs.by_id.get_mut(id) {
            job.pending_reason = reason;
        }
    }

    /// Places the next task of a job, or returns why none is placed.
    fn place_next_task(
        &mut self,
        placement: &mut JobPlacement,
        pass: &mut PassState,
    ) -> Result<(), PendingReason> {
        let inputs = self.scheduling_inputs();
        let job = self.jobs.by_id.get(&placement.id).ok_or(PendingReason::NoCapacity)?;
        let index = self.scheduler.next_task(&inputs, job, placement, pass)?;
        let choice = self
            .scheduler
            .choose_machine(&inputs, job, index, placement, pass)
            .ok_or(PendingReason::NoCapacity)?;
        self.preempt_victims(&choice, placement, pass);
        self.reserve_task(index, choice.machine, placement, pass)
    }
}

/// Returns why no task of a job may be placed now, whatever capacity is free; `None` if tasks
/// may be placed.
fn blocking_reason(inputs: &SchedulingInputs<'_>, job: &Job) -> Option<PendingReason> {
    let now = inputs.context.now;
    if job.backoff.is_paused(now) {
        return Some(PendingReason::BackedOff);
    }
    // A task placed now would be preempted for the team's more urgent tasks that lack quota, and
    // this would repeat before the grant could move to their shard.
    let peers_demand = inputs.peers.live_quota_demand(now);
    inputs
        .quotas
        .most_urgent_unmet_rank(&job.spec.team, peers_demand)
        .is_some_and(|rank| rank < job.rank())
        .then_some(PendingReason::UrgentTasksLackLimit)
}

impl Scheduler {
    fn begin_placement(
        &self,
        inputs: &SchedulingInputs<'_>,
        id: &str,
        job: &Job,
        pass: &PassState,
    ) -> JobPlacement {
        let spec = Rc::clone(&job.spec);
        let (shard, rank) = (job.shard, job.rank());
        let counted = pass.shard_usage.get(&ShardTeam { shard, team: spec.team.clone() }).copied();
        let fetch_too_slow = inputs.fetch_too_slow(job);
        let larger = |demand: &Demand| demand.cpus > spec.cpus || demand.memory_gb > spec.memory_gb;
        let bin_pack = !fetch_too_slow && pass.blocked_demand.iter().any(larger);
        let excluded_from_held_machines =
            bin_pack && rank > LOWEST_URGENT_RANK && !self.held_for_large_tasks.is_empty();
        let grant = inputs.quotas.team(&spec.team).map(|quota| quota.grant(shard));
        JobPlacement {
            id: id.to_string(),
            shard,
            needed: Resources::from(&*spec),
            rank,
            grant: grant.unwrap_or_default(),
            used: counted.unwrap_or_else(|| shard_usage(inputs.jobs, shard, &spec.team)),
            image_slack: if fetch_too_slow {
                u32::MAX
            } else {
                image_locality::slack(&inputs.context.options, spec.image_gb)
            },
            fetch_too_slow,
            bin_pack,
            excluded_from_held_machines,
            failure_applies_to_other_jobs: !job.backoff.avoids_any()
                && !spec.one_zone
                && !spec.spread
                && !excluded_from_held_machines,
            time_for_checkpoints: inputs.time_for_checkpoints(job),
            expected_s: self.estimates.expected_s(job),
            pools: self.capacity.pools(|pool| pool.admits_job(&spec)),
            tasks_by_zone: job.zones(),
            cached_machines: None,
            spec,
        }
    }

    /// Number of the next task to place, or the reason why none may be placed.
    fn next_task(
        &self,
        inputs: &SchedulingInputs<'_>,
        job: &Job,
        placement: &JobPlacement,
        pass: &PassState,
    ) -> Result<u32, PendingReason> {
        let Some(index) = job.first_pending() else {
            return Err(match job.pending() {
                0 => PendingReason::Starting,
                _ => PendingReason::EarlierTasksFirst,
            });
        };
        if job.placeable() == 0 {
            return Err(PendingReason::TrialInProgress);
        }
        if placement.next_task_exceeds_grant() {
            return Err(PendingReason::TeamLimit);
        }
        if pass.placements_left == 0 || self.unobserved_at_limit(inputs, placement.rank) {
            return Err(PendingReason::NextPass);
        }
        Ok(index)
    }
}
