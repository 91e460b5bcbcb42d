//! Which machine a task goes to.
//!
//! The ordinary path: of the machines that pass every filter the least loaded, or one that
//! has the image and is not much busier. Where none has capacity, less urgent tasks are
//! preempted.

use crate::controller::jobs::job::Job;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::{MachineCapacity, MachineId};
use crate::controller::scheduler::image_locality;
use crate::controller::scheduler::inputs::SchedulingInputs;
use crate::controller::scheduler::scheduling_pass::Pass;
use crate::controller::scheduler::search_failures::PreemptionSearch;
use crate::controller::scheduler::task_placement::JobPlacement;
use crate::controller::scheduler::victims::{PreemptionClaim, PreemptionPlan};

/// The machine that was chosen for a task.
pub(super) struct MachineChoice {
    /// The machine.
    pub(super) machine: MachineId,
    /// Positions of the tasks to preempt among the machine's reserved tasks.
    pub(super) victims: Vec<usize>,
    /// They are preempted for the team's guarantee.
    pub(super) claims_guarantee: bool,
}

/// A task to be placed.
#[derive(Clone, Copy)]
struct TaskToPlace<'a> {
    job: &'a Job,
    index: u32,
    placement: &'a JobPlacement,
}

impl Scheduler {
    /// Chooses a machine for a task: one with capacity, or else one on which less urgent
    /// tasks are preempted.
    pub(super) fn choose_machine(
        &self,
        inputs: &SchedulingInputs<'_>,
        job: &Job,
        index: u32,
        placement: &mut JobPlacement,
        pass: &mut Pass,
    ) -> Option<MachineChoice> {
        let known_full = pass.failures.no_capacity(&placement.spec);
        let free = match known_full {
            true => None,
            false => self.free_machine(inputs, TaskToPlace { job, index, placement }),
        };
        if placement.cached_machines.is_none() && (free.is_some() || placement.fetch_too_slow) {
            placement.cached_machines = Some(self.find_cached_machines(inputs, placement));
        }
        let task = TaskToPlace { job, index, placement };
        let cached = free.and_then(|_| self.free_cached_machine(inputs, task));
        let chosen = free.map(|free| self.prefer_cached_machine(task.placement, free, cached));
        if free.is_none() && task.placement.fails_by_shape && !known_full {
            pass.failures.note_no_capacity(&task.placement.spec);
        }
        // No machine with capacity has the image: one that has it, and on which less urgent
        // tasks are preempted, starts the task sooner.
        let only_cached = task.placement.fetch_too_slow && cached.is_none() && chosen.is_some();
        if (chosen.is_none() || only_cached)
            && let Some(choice) = self.search_preemption(inputs, task, only_cached, pass)
        {
            return Some(choice);
        }
        let victims = Vec::new();
        chosen.map(|machine| MachineChoice { machine, victims, claims_guarantee: false })
    }

    /// Whether a machine passes the filters that depend on the task and on the moment.
    fn suits(
        &self,
        inputs: &SchedulingInputs<'_>,
        task: TaskToPlace<'_>,
        machine: MachineId,
        capacity: &MachineCapacity,
    ) -> bool {
        let TaskToPlace { job, index, placement } = task;
        let zone = || self.capacity.pool_of(machine).map_or("", |pool| &pool.zone);
        (!placement.zones_restricted() || job.zone_allows(&placement.tasks_by_zone, zone()))
            && capacity.yielded_until <= inputs.context.now
            && (!placement.excluded_from_held_machines
                || !self.held_for_large_tasks.contains(&capacity.machine))
            && !job.backoff.avoids(&capacity.machine)
            && !lists_attempt(inputs, &capacity.machine, &placement.id, index)
    }

    /// The filters that depend on the task and on the moment, for searches of machines.
    fn filter<'a>(
        &'a self,
        inputs: &'a SchedulingInputs<'_>,
        task: TaskToPlace<'a>,
    ) -> impl Fn(MachineId, &MachineCapacity) -> bool + 'a {
        move |machine, capacity| self.suits(inputs, task, machine, capacity)
    }

    /// The least loaded machine that has capacity, or the best fit where a larger task waits.
    fn free_machine(
        &self,
        inputs: &SchedulingInputs<'_>,
        task: TaskToPlace<'_>,
    ) -> Option<MachineId> {
        let (pools, needed) = (&task.placement.pools, &task.placement.needed);
        let passes = self.filter(inputs, task);
        match task.placement.pack {
            true => self.capacity.best_fit(pools, needed, passes),
            false => self.capacity.least_loaded(pools, needed, passes),
        }
    }

    /// The same among the machines that have the image.
    fn free_cached_machine(
        &self,
        inputs: &SchedulingInputs<'_>,
        task: TaskToPlace<'_>,
    ) -> Option<MachineId> {
        let JobPlacement { pools, needed, pack, .. } = task.placement;
        let cached_machines = task.placement.cached_machines().iter();
        let passes = self.filter(inputs, task);
        match pack {
            true => self.capacity.best_fit_among(cached_machines, pools, needed, passes),
            false => self.capacity.least_loaded_among(cached_machines, pools, needed, passes),
        }
    }

    /// The machine that has the image, if it wins over the one chosen without regard to it.
    fn prefer_cached_machine(
        &self,
        placement: &JobPlacement,
        free: MachineId,
        cached: Option<MachineId>,
    ) -> MachineId {
        let Some(cached) = cached else {
            return free;
        };
        // Packing, free capacity counts instead of tasks, in tasks of this job.
        let load = |machine: MachineId| match self.capacity.get(machine) {
            Some(capacity) if placement.pack => capacity.free.tasks_that_fit(&placement.needed),
            Some(capacity) => capacity.tasks.len() as u32,
            None => 0,
        };
        let (free_load, cached_load) = (load(free), load(cached));
        match image_locality::cached_machine_wins(free_load, cached_load, placement.image_slack) {
            true => cached,
            false => free,
        }
    }

    /// Searches a machine on which less urgent tasks are preempted; with `only_cached` among
    /// those that have the image.
    fn search_preemption(
        &self,
        inputs: &SchedulingInputs<'_>,
        task: TaskToPlace<'_>,
        only_cached: bool,
        pass: &mut Pass,
    ) -> Option<MachineChoice> {
        let placement = task.placement;
        let spec = &placement.spec;
        let one_task = (&**spec).into();
        let entitled = inputs.quotas.within_guarantee(&pass.usage, &spec.team, one_task);
        let claim = PreemptionClaim {
            job: task.job,
            pools: &placement.pools,
            entitled,
            only: only_cached.then_some(placement.cached_machines()),
        };
        let search = PreemptionSearch::of(&claim, only_cached);
        let hopeless = pass.preemption_searches_left == 0
            || (entitled && self.guarantee_budget.claims_exhausted(&spec.team))
            || (!entitled && self.capacity.tasks_below(placement.rank) == 0)
            || pass.failures.no_victims(spec, &search);
        if hopeless {
            return None;
        }
        pass.preemption_searches_left -= 1;
        let found = self.find_victims(inputs, &claim, self.filter(inputs, task));
        if found.is_none() && placement.fails_by_shape {
            pass.failures.note_no_victims(spec, search);
        }
        let PreemptionPlan { machine, victims } = found?;
        Some(MachineChoice { machine, victims, claims_guarantee: entitled })
    }

    /// Machines of the job's pools that have its image in their present incarnation.
    fn find_cached_machines(
        &self,
        inputs: &SchedulingInputs<'_>,
        placement: &JobPlacement,
    ) -> Vec<MachineId> {
        self.images
            .machines_with(inputs.context.now, &placement.spec.image)
            .filter_map(|cached| {
                let id = self.capacity.id(cached.machine)?;
                let present = self.capacity.get(id)?.incarnation == cached.incarnation;
                (present && self.capacity.among(id, &placement.pools)).then_some(id)
            })
            .collect()
    }
}

/// Whether a machine still lists an earlier attempt of a task. One that
/// ended and is kept, since a late command may start it anew, would be
/// forgotten by a worker that takes another attempt in its place; and then
/// the late command would start the task a second time.
fn lists_attempt(inputs: &SchedulingInputs<'_>, machine: &str, job: &str, index: u32) -> bool {
    inputs
        .machines
        .view(machine)
        .is_some_and(|view| view.tasks.iter().any(|task| task.index == index && task.job == job))
}
