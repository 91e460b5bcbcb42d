//! Where the tasks of one job go in a pass over the queue.

use crate::controller::Controller;
use crate::controller::jobs::job::Job;
use crate::controller::quota::amount::{QuotaAmount, QuotaResource};
use crate::controller::quota::job_demand::shard_usage;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::{MachineId, PoolId};
use crate::controller::scheduler::image_locality;
use crate::controller::scheduler::inputs::SchedulingInputs;
use crate::controller::scheduler::pending_reason::PendingReason;
use crate::controller::scheduler::queue::LOWEST_URGENT_RANK;
use crate::controller::scheduler::scheduling_pass::{Pass, ShardTeam};
use crate::peer::Demand;
use crate::resources::{Resources, TOLERANCE};
use crate::wire::JobSpec;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A job whose tasks are being placed.
pub(super) struct JobPlacement {
    /// Id of the job.
    pub(super) id: String,
    /// Its shard.
    pub(super) shard: usize,
    /// Its description.
    pub(super) spec: Rc<JobSpec>,
    /// What a task needs.
    pub(super) needed: Resources,
    /// Rank of service: lower is more urgent.
    pub(super) rank: u32,
    /// What the shard may use of the team's limit.
    grant: QuotaAmount,
    /// What it uses of it.
    pub(super) used: QuotaAmount,
    /// How many tasks a machine that has the image may be ahead of the least loaded one.
    pub(super) image_slack: u32,
    /// Fetching its image would take most of the time within which it is to start.
    pub(super) fetch_too_slow: bool,
    /// A larger task waits: the best fit is taken instead of the least loaded machine.
    pub(super) pack: bool,
    /// It must leave machines alone that are held for large tasks.
    pub(super) excluded_from_held_machines: bool,
    /// Whatever needs at least as much fails as its tasks do: nothing but its shape keeps
    /// them from a machine.
    pub(super) fails_by_shape: bool,
    /// Tasks that are preempted for it have the time to write a checkpoint.
    pub(super) time_for_checkpoints: bool,
    /// Seconds that a task is expected to run.
    pub(super) expected_s: f64,
    /// Pools of machines that pass its filters.
    pub(super) pools: Vec<PoolId>,
    /// Its tasks by zone, where these are restricted.
    pub(super) tasks_by_zone: BTreeMap<Rc<str>, u32>,
    /// Machines that have its image, searched once there is capacity at all: most jobs of
    /// a long queue find none.
    pub(super) cached_machines: Option<Vec<MachineId>>,
}

impl JobPlacement {
    /// Whether its tasks are bound to zones by each other.
    pub(super) fn zones_restricted(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Machines that have its image, as far as they were searched.
    pub(super) fn cached_machines(&self) -> &[MachineId] {
        self.cached_machines.as_deref().unwrap_or_default()
    }

    /// Whether one more task passes the shard's grant.
    fn beyond_grant(&self) -> bool {
        let one_task = QuotaAmount::from(self.needed);
        QuotaResource::ALL.into_iter().any(|resource| {
            let more = one_task.of(resource);
            more > 0.0 && self.used.of(resource) + more > self.grant.of(resource) + TOLERANCE
        })
    }
}

impl Controller {
    /// Places tasks of a job until none is left, or none can be placed now.
    pub(super) fn place_job(&mut self, id: &str, pass: &mut Pass) {
        let Some(job) = self.jobs.by_id.get(id) else {
            return;
        };
        if !self.serves_shard(job.shard) || job.awaits_dependencies {
            return;
        }
        let inputs = self.scheduling_inputs();
        let reason = match placement_barrier(&inputs, job) {
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

    /// Places the next task of a job, or says why none is placed.
    fn place_next_task(
        &mut self,
        placement: &mut JobPlacement,
        pass: &mut Pass,
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

/// Why nothing of a job may be placed now, whatever capacity there is.
fn placement_barrier(inputs: &SchedulingInputs<'_>, job: &Job) -> Option<PendingReason> {
    let now = inputs.context.now;
    if job.backoff.is_paused(now) {
        return Some(PendingReason::BackedOff);
    }
    // Placed now, it would be stopped again for those that lack the grant, and so
    // without end, before the grant can change hands.
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
        pass: &Pass,
    ) -> JobPlacement {
        let spec = Rc::clone(&job.spec);
        let (shard, rank) = (job.shard, job.rank());
        let counted = pass.shard_usage.get(&ShardTeam { shard, team: spec.team.clone() }).copied();
        let fetch_too_slow = inputs.fetch_too_slow(job);
        let larger =
            |waiting: &Demand| waiting.cpus > spec.cpus || waiting.memory_gb > spec.memory_gb;
        let pack = !fetch_too_slow && pass.blocked.iter().any(larger);
        let excluded_from_held_machines =
            pack && rank > LOWEST_URGENT_RANK && !self.held_for_large_tasks.is_empty();
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
            pack,
            excluded_from_held_machines,
            fails_by_shape: !job.backoff.avoids_any()
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

    /// The number of the next task to be placed, or why there is none.
    fn next_task(
        &self,
        inputs: &SchedulingInputs<'_>,
        job: &Job,
        placement: &JobPlacement,
        pass: &Pass,
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
        if placement.beyond_grant() {
            return Err(PendingReason::TeamLimit);
        }
        if pass.placements_left == 0 || self.unobserved_at_limit(inputs, placement.rank) {
            return Err(PendingReason::NextPass);
        }
        Ok(index)
    }
}
