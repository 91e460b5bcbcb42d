//! The search for tasks to preempt: which may be, what it costs, and on which machine it
//! costs least.

use crate::controller::jobs::job::Job;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::{MachineCapacity, MachineId, PoolId, ReservedTask};
use crate::controller::scheduler::inputs::SchedulingInputs;
use crate::controller::scheduler::objectives::MIN_FETCH_GB_PER_S;
use crate::controller::scheduler::queue::LOWEST_URGENT_RANK;
use crate::resources::Resources;
use crate::time::Micros;

/// What a second of fetching counts, in seconds of lost work, for a start that
/// it would make late.
const LATE_FETCH_COST: f64 = 8.0;
/// What each preemption counts beside the work that it loses, in CPU seconds: of machines
/// where equally much is lost, the one with fewer victims is better.
const COST_PER_VICTIM_CPU_S: f64 = 1.0;
/// Gigabytes a second at which a machine of unknown type is taken to fetch images.
const UNKNOWN_TYPE_FETCH_GB_PER_S: f64 = 1.0;

/// Seconds of work that stopping a task at once would lose, by the time of day at which it
/// was placed. That is stored and known to all controllers: counted from when this process
/// first saw it run, a task would seem new after every restart.
pub(crate) fn lost_work_s(wall: Micros, placed: Micros, checkpoint_s: f64) -> f64 {
    let ran_s = wall.since(placed).as_secs_f64();
    if checkpoint_s > 0.0 { ran_s % checkpoint_s } else { ran_s }
}

/// Tasks to preempt on one machine, so that another fits there.
pub(super) struct PreemptionPlan {
    /// The machine.
    pub(super) machine: MachineId,
    /// Positions of the victims among the machine's reserved tasks.
    pub(super) victims: Vec<usize>,
}

/// For whom victims are searched.
pub(super) struct PreemptionClaim<'a> {
    /// The job that lacks capacity.
    pub(super) job: &'a Job,
    /// Pools of machines that pass the job's filters.
    pub(super) pools: &'a [PoolId],
    /// The job's team is within its guarantee.
    pub(super) entitled: bool,
    /// Only these machines are searched, which have the job's image.
    pub(super) only: Option<&'a [MachineId]>,
}

impl Scheduler {
    /// Finds a machine on which stopping other tasks makes capacity for a task of
    /// the job, choosing what loses least work. Only lower priorities are preempted, or work
    /// that another team runs beyond its guarantee, for a team that is within its own.
    pub(super) fn find_victims(
        &self,
        inputs: &SchedulingInputs<'_>,
        claim: &PreemptionClaim<'_>,
        passes: impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> Option<PreemptionPlan> {
        let search = VictimSearch::new(self, inputs, claim);
        let mut best: Option<CostedPlan> = None;
        let mut consider = |machine: MachineId, capacity: &MachineCapacity| {
            if let Some(found) = search.plan_on(machine, capacity)
                && best.as_ref().is_none_or(|best| found.cost_cpu_s < best.cost_cpu_s)
                && passes(machine, capacity)
            {
                best = Some(found);
            }
        };
        match claim.only {
            Some(machines) => {
                let known = |id: &MachineId| Some((*id, self.capacity.get(*id)?));
                machines.iter().filter_map(known).for_each(|(id, at)| consider(id, at));
            }
            None => self.capacity.iter().for_each(|(id, _, at)| consider(id, at)),
        }
        best.map(|best| best.plan)
    }
}

/// A plan with the work that it loses, in CPU seconds, what the job's fetch costs included.
struct CostedPlan {
    cost_cpu_s: f64,
    plan: PreemptionPlan,
}

/// A task that may be preempted.
struct Candidate {
    cost_cpu_s: f64,
    rank: u32,
    /// Its position among the machine's reserved tasks.
    position: usize,
}

/// One search for victims.
struct VictimSearch<'a> {
    scheduler: &'a Scheduler,
    inputs: &'a SchedulingInputs<'a>,
    claim: &'a PreemptionClaim<'a>,
    wall: Micros,
    rank: u32,
    needed: Resources,
    /// Teams that run work beyond their guarantee that may be preempted.
    teams_beyond_guarantee: Vec<&'a str>,
    /// The claim presses all work that is less urgent, and not only borrowed work.
    preempts_within_guarantees: bool,
    fetch_too_slow: bool,
    /// Most CPU seconds that a plan may cost.
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
        let whole_fetch_cost = || spec.cpus * spec.image_gb / inputs.slowest_fetch_gb_per_s();
        VictimSearch {
            scheduler,
            inputs,
            claim,
            wall: inputs.context.wall(),
            rank,
            needed: Resources::from(&**spec),
            teams_beyond_guarantee: scheduler.guarantee_budget.preemptible_teams(),
            // What a team runs within its guarantee goes before borrowed work in the queue,
            // and yields to it only where that is urgent: else it would be placed
            // first and stopped next, over and over.
            preempts_within_guarantees: claim.entitled || rank <= LOWEST_URGENT_RANK,
            fetch_too_slow: inputs.fetch_too_slow(job),
            // For the sake of a fetch no more is thrown away than the fetch takes.
            max_cost_cpu_s: claim.only.map(|_| whole_fetch_cost()),
        }
    }

    /// Whether a task may be preempted. More urgent work never is, or it would claim the
    /// capacity back. Ranks are compared before names: this is asked of every task.
    fn is_preemptible(&self, task: &ReservedTask) -> bool {
        let borrowed = || self.teams_beyond_guarantee.iter().any(|team| *team == task.team);
        let own_team = || task.team == self.claim.job.spec.team;
        if task.stopping {
            return false;
        }
        if task.rank > self.rank {
            return self.preempts_within_guarantees || own_team() || borrowed();
        }
        task.rank == self.rank && self.claim.entitled && !own_team() && borrowed()
    }

    /// The victims on a machine, those first that lose least work, and what that costs; `None`
    /// if they do not suffice or cost too much.
    fn plan_on(&self, machine: MachineId, capacity: &MachineCapacity) -> Option<CostedPlan> {
        if !capacity.tasks.iter().any(|task| self.is_preemptible(task))
            || !self.scheduler.capacity.among(machine, self.claim.pools)
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

    /// The tasks on a machine that may be preempted, in the order in which they are.
    fn candidates(&self, capacity: &MachineCapacity) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = capacity
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| self.is_preemptible(task))
            .map(|(position, task)| Candidate {
                cost_cpu_s: task.resources.cpus
                    * lost_work_s(self.wall, task.placed, task.checkpoint_s),
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

    /// What fetching the job's image to a machine costs, in CPU seconds. A start that then
    /// waits for its image comes late, but much work thrown away for it costs more.
    fn fetch_cost_cpu_s(&self, machine: MachineId, capacity: &MachineCapacity) -> f64 {
        let spec = &self.claim.job.spec;
        let (name, incarnation) = (&capacity.machine, capacity.incarnation);
        let now = self.inputs.context.now;
        if self.scheduler.images.holds(now, &spec.image, name, incarnation) {
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
