//! Searches for tasks to preempt, on the machine where that costs least.

use crate::controller::jobs::job::Job;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::{MachineCapacity, MachineId, PoolId, ReservedTask};
use crate::controller::scheduler::objectives::MIN_FETCH_GB_PER_S;
use crate::controller::scheduler::queue::LOWEST_URGENT_RANK;
use crate::controller::scheduler::scheduling_inputs::SchedulingInputs;
use crate::resources::Resources;
use crate::time::Micros;

/// Cost of one second of fetching, in seconds of lost work, if a fetch is too slow for the
/// job's start objective.
const LATE_FETCH_COST: f64 = 8.0;
/// Cost of each preemption besides the work that it loses, in CPU seconds: of two machines with
/// the same loss, the one with fewer victims is preferred.
const COST_PER_VICTIM_CPU_S: f64 = 1.0;
/// Assumed fetch rate of a machine of unknown type, in gigabytes per second.
const UNKNOWN_TYPE_FETCH_GB_PER_S: f64 = 1.0;

/// Seconds of work that are lost if a task is stopped at once without saving a checkpoint.
/// They count from the wall-clock time of the placement, which is stored and known to all
/// controllers. Counted from when this process first observed the task running, every task
/// would seem new after a restart.
pub(crate) fn lost_work_s(wall: Micros, placed_at: Micros, checkpoint_s: f64) -> f64 {
    let ran_s = wall.since(placed_at).as_secs_f64();
    if checkpoint_s > 0.0 { ran_s % checkpoint_s } else { ran_s }
}

/// Tasks to preempt on one machine so that another task fits there.
pub(super) struct PreemptionPlan {
    /// Machine on which the victims are.
    pub(super) machine: MachineId,
    /// Victims, as positions in [`MachineCapacity::tasks`].
    pub(super) victims: Vec<usize>,
}

/// A job for which victims are searched.
pub(super) struct PreemptionClaim<'a> {
    /// The job that lacks capacity.
    pub(super) job: &'a Job,
    /// Pools of machines that pass the job's filters.
    pub(super) pools: &'a [PoolId],
    /// The job's team stays within its guarantee with one more task.
    pub(super) within_guarantee: bool,
    /// If present, the search is limited to these machines, which have the job's image.
    pub(super) only_machines: Option<&'a [MachineId]>,
}

impl Scheduler {
    /// Finds the machine on which preempting other tasks frees capacity for a task of the job at
    /// the lowest cost. Only less urgent tasks are preempted, or tasks of equal rank that
    /// another team runs beyond its guarantee, for a team that is within its own.
    pub(super) fn find_victims(
        &self,
        inputs: &SchedulingInputs<'_>,
        claim: &PreemptionClaim<'_>,
        passes: impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> Option<PreemptionPlan> {
        let search = VictimSearch::new(self, inputs, claim);
        let mut best: Option<CostedPlan> = None;
        let mut consider = |machine: MachineId, capacity: &MachineCapacity| {
            if let Some(found) = search.plan_for_machine(machine, capacity)
                && best.as_ref().is_none_or(|best| found.cost_cpu_s < best.cost_cpu_s)
                && passes(machine, capacity)
            {
                best = Some(found);
            }
        };
        match claim.only_machines {
            Some(machines) => {
                let known = |id: &MachineId| Some((*id, self.capacity.get(*id)?));
                machines.iter().filter_map(known).for_each(|(id, at)| consider(id, at));
            }
            None => self.capacity.iter().for_each(|(id, _, at)| consider(id, at)),
        }
        best.map(|best| best.plan)
    }
}

/// A plan with its cost in CPU seconds: lost work, preemptions and the fetch of the image.
struct CostedPlan {
    cost_cpu_s: f64,
    plan: PreemptionPlan,
}

/// A task that may be preempted.
struct Candidate {
    /// CPU seconds of work that are lost if it is stopped.
    cost_cpu_s: f64,
    rank: u32,
    /// Position in [`MachineCapacity::tasks`].
    position: usize,
}

/// A search for victims over several machines.
struct VictimSearch<'a> {
    scheduler: &'a Scheduler,
    inputs: &'a SchedulingInputs<'a>,
    claim: &'a PreemptionClaim<'a>,
    wall: Micros,
    rank: u32,
    needed: Resources,
    /// Teams with tasks beyond their guarantee that may still be preempted.
    teams_beyond_guarantee: Vec<&'a str>,
    /// Less urgent tasks may be preempted even if their team is within its guarantee.
    preempts_within_guarantees: bool,
    fetch_too_slow: bool,
    /// Maximum cost of a plan in CPU seconds; `None` for no maximum.
    max_cost_cpu_s: Option<f64>,
}

impl<'a> VictimSearch<'a> {
    fn new(
        scheduler: &'a Scheduler,
        inputs: &'a SchedulingInputs<'a>,
        claim: &'a PreemptionClaim<'a>,
    ) -> VictimSearch<'a> {
        let (job, spec) = (claim.job, &claim.job.spec);
        let rank = job.rank();
        let fetch_cost_cpu_s = || spec.cpus * spec.image_gb / inputs.slowest_fetch_gb_per_s();
        VictimSearch {
            scheduler,
            inputs,
            claim,
            wall: inputs.context.wall_clock(),
            rank,
            needed: Resources::from(&**spec),
            teams_beyond_guarantee: scheduler.guarantee_budget.preemptible_teams(),
            // Jobs within a guarantee precede jobs beyond one in the queue. Their tasks are
            // preempted for jobs beyond a guarantee only if these are urgent: otherwise they
            // would be placed first and then preempted, over and over.
            preempts_within_guarantees: claim.within_guarantee || rank <= LOWEST_URGENT_RANK,
            fetch_too_slow: inputs.fetch_too_slow(job),
            // Preemption that only avoids a fetch must not cost more than the fetch.
            max_cost_cpu_s: claim.only_machines.map(|_| fetch_cost_cpu_s()),
        }
    }

    /// Whether a task may be preempted. More urgent tasks never are: they would claim the
    /// capacity back. Ranks are compared before team names, because this runs for every task.
    fn is_preemptible(&self, task: &ReservedTask) -> bool {
        let beyond_guarantee = || self.teams_beyond_guarantee.iter().any(|team| *team == task.team);
        let own_team = || task.team == self.claim.job.spec.team;
        if task.stopping {
            return false;
        }
        if task.rank > self.rank {
            return self.preempts_within_guarantees || own_team() || beyond_guarantee();
        }
        task.rank == self.rank && self.claim.within_guarantee && !own_team() && beyond_guarantee()
    }

    /// Chooses victims on a machine, those that lose the least work first; `None` if preempting
    /// all candidates frees too little or the plan costs too much.
    fn plan_for_machine(
        &self,
        machine: MachineId,
        capacity: &MachineCapacity,
    ) -> Option<CostedPlan> {
        if !capacity.tasks.iter().any(|task| self.is_preemptible(task))
            || !self.scheduler.capacity.is_in_pools(machine, self.claim.pools)
        {
            return None;
        }
        let mut free = capacity.available();
        let mut cost_cpu_s = self.fetch_cost_cpu_s(machine, capacity);
        let mut victims = Vec::new();
        for candidate in self.candidates(capacity) {
            if free.fits(&self.needed) {
                break;
            }
            free += capacity.tasks[candidate.position].resources;
            cost_cpu_s += candidate.cost_cpu_s + COST_PER_VICTIM_CPU_S;
            victims.push(candidate.position);
        }
        let affordable = self.max_cost_cpu_s.is_none_or(|max| cost_cpu_s <= max);
        let found = affordable && free.fits(&self.needed);
        found.then_some(CostedPlan { cost_cpu_s, plan: PreemptionPlan { machine, victims } })
    }

    /// The tasks on a machine that may be preempted, in order of preemption.
    fn candidates(&self, capacity: &MachineCapacity) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = capacity
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| self.is_preemptible(task))
            .map(|(position, task)| Candidate {
                cost_cpu_s: task.resources.cpus
                    * lost_work_s(self.wall, task.placed_at, task.checkpoint_s),
                rank: task.rank,
                position,
            })
            .collect();
        candidates.sort_by(|a, b| {
            a.cost_cpu_s
                .total_cmp(&b.cost_cpu_s)
                .then(b.rank.cmp(&a.rank))
                .then(a.position.cmp(&b.position))
        });
        candidates
    }

    /// Cost of fetching the job's image on a machine, in CPU seconds; 0 if the machine has it. A
    /// fetch that is too slow delays the start beyond its objective, so its cost is multiplied
    /// by [`LATE_FETCH_COST`], but it may still be cheaper than losing much work.
    fn fetch_cost_cpu_s(&self, machine: MachineId, capacity: &MachineCapacity) -> f64 {
        let spec = &self.claim.job.spec;
        let (name, incarnation) = (&capacity.machine, capacity.incarnation);
        let now = self.inputs.context.now;
        if self.scheduler.images.contains(now, &spec.image, name, incarnation) {
            return 0.0;
        }
        let pool = self.scheduler.capacity.pool_of(machine);
        let machine_type = pool.map_or("", |pool| &pool.machine_type);
        let types = &self.inputs.autoscaler.machine_types;
        let fetch_gb_per_s =
            types.get(machine_type).map_or(UNKNOWN_TYPE_FETCH_GB_PER_S, |t| t.fetch_gb_per_s);
        let fetch_s = spec.image_gb / fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
        spec.cpus * if self.fetch_too_slow { fetch_s * LATE_FETCH_COST } else { fetch_s }
    }
}
