//! Choice of the machine for a task.
//!
//! Normally this is the least loaded machine that passes all filters, or one that has the image
//! and is not much busier. If no machine has capacity, less urgent tasks are preempted.

use crate::controller::jobs::job::Job;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::{MachineCapacity, MachineId};
use crate::controller::scheduler::image_locality;
use crate::controller::scheduler::scheduling_inputs::SchedulingInputs;
use crate::controller::scheduler::scheduling_pass::PassState;
use crate::controller::scheduler::search_failures::PreemptionSearch;
use crate::controller::scheduler::task_placement::JobPlacement;
use crate::controller::scheduler::victims::{PreemptionClaim, PreemptionPlan};

/// The machine that was chosen for a task.
pub(super) struct MachineChoice {
    /// The chosen machine.
    pub(super) machine: MachineId,
    /// Tasks to preempt, as positions in [`MachineCapacity::tasks`].
    pub(super) victims: Vec<usize>,
    /// The victims count against the team's claims within its guarantee.
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
    /// Chooses a machine for a task: one with capacity, or else one on which other tasks are
    /// preempted.
    pub(super) fn choose_machine(
        &self,
        inputs: &SchedulingInputs<'_>,
        job: &Job,
        index: u32,
        placement: &mut JobPlacement,
        pass: &mut PassState,
    ) -> Option<MachineChoice> {
        let known_full = pass.failures.implies_no_capacity(&placement.spec);
        let free = match known_full {
            true => None,
            false => self.find_free_machine(inputs, TaskToPlace { job, index, placement }),
        };
        if placement.cached_machines.is_none() && (free.is_some() || placement.fetch_too_slow) {
            placement.cached_machines = Some(self.find_cached_machines(inputs, placement));
        }
        let task = TaskToPlace { job, index, placement };
        let cached = free.and_then(|_| self.find_free_cached_machine(inputs, task));
        let chosen = free.map(|free| self.prefer_cached_machine(task.placement, free, cached));
        if free.is_none() && task.placement.failure_applies_to_other_jobs && !known_full {
            pass.failures.record_no_capacity(&task.placement.spec);
        }
        // If no machine with capacity has the image, preempting tasks on a machine that has it
        // starts the task sooner than a fetch.
        let only_cached = task.placement.fetch_too_slow && cached.is_none() && chosen.is_some();
        if (chosen.is_none() || only_cached)
            && let Some(choice) = self.search_preemption(inputs, task, only_cached, pass)
        {
            return Some(choice);
        }
        let victims = Vec::new();
        chosen.map(|machine| MachineChoice { machine, victims, claims_guarantee: false })
    }

    /// Whether a machine passes the filters that depend on the task and the current state, not
    /// only on the machine's pool.
    fn passes_filters(
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

    /// [`Scheduler::passes_filters`] as a closure for machine searches.
    fn filter<'a>(
        &'a self,
        inputs: &'a SchedulingInputs<'_>,
        task: TaskToPlace<'a>,
    ) -> impl Fn(MachineId, &MachineCapacity) -> bool + 'a {
        move |machine, capacity| self.passes_filters(inputs, task, machine, capacity)
    }

    /// Finds the least loaded machine that has capacity, or the best fit if a larger task lacks
    /// capacity.
    fn find_free_machine(
        &self,
        inputs: &SchedulingInputs<'_>,
        task: TaskToPlace<'_>,
    ) -> Option<MachineId> {
        let (pools, needed) = (&task.placement.pools, &task.placement.needed);
        let passes = self.filter(inputs, task);
        match task.placement.bin_pack {
            true => self.capacity.best_fit(pools, needed, passes),
            false => self.capacity.least_loaded(pools, needed, passes),
        }
    }

    /// Like [`Scheduler::find_free_machine`], but searches only the machines that have the image.
    fn find_free_cached_machine(
        &self,
        inputs: &SchedulingInputs<'_>,
        task: TaskToPlace<'_>,
    ) -> Option<MachineId> {
        let JobPlacement { pools, needed, bin_pack, .. } = task.placement;
        let cached_machines = task.placement.cached_machines().iter();
        let passes = self.filter(inputs, task);
        match bin_pack {
            true => self.capacity.best_fit_among(cached_machines, pools, needed, passes),
            false => self.capacity.least_loaded_among(cached_machines, pools, needed, passes),
        }
    }

    /// Returns `cached`, a machine that has the image, if it is preferred over `free`, which was
    /// chosen regardless of the image.
    fn prefer_cached_machine(
        &self,
        placement: &JobPlacement,
        free: MachineId,
        cached: Option<MachineId>,
    ) -> MachineId {
        let Some(cached) = cached else {
            return free;
        };
        // For bin packing, the load is the number of tasks of this job that still fit.
        let load = |machine: MachineId| match self.capacity.get(machine) {
            Some(capacity) if placement.bin_pack => capacity.free.tasks_that_fit(&placement.needed),
            Some(capacity) => capacity.tasks.len() as u32,
            None => 0,
        };
        let (free_load, cached_load) = (load(free), load(cached));
        match image_locality::is_cached_machine_preferred(
            free_load,
            cached_load,
            placement.image_slack,
        ) {
            true => cached,
            false => free,
        }
    }

    /// Searches for a machine on which tasks can be preempted for a task; with `only_cached`,
    /// among the machines that have the image.
    fn search_preemption(
        &self,
        inputs: &SchedulingInputs<'_>,
        task: TaskToPlace<'_>,
        only_cached: bool,
        pass: &mut PassState,
    ) -> Option<MachineChoice> {
        let placement = task.placement;
        let spec = &placement.spec;
        let one_task = (&**spec).into();
        let within_guarantee = inputs.quotas.within_guarantee(&pass.usage, &spec.team, one_task);
        let claim = PreemptionClaim {
            job: task.job,
            pools: &placement.pools,
            within_guarantee,
            only_machines: only_cached.then_some(placement.cached_machines()),
        };
        let search = PreemptionSearch::of(&claim, only_cached);
        let skip_search = pass.preemption_searches_left == 0
            || (within_guarantee && self.guarantee_budget.claims_exhausted(&spec.team))
            || (!within_guarantee && self.capacity.tasks_below(placement.rank) == 0)
            || pass.failures.implies_no_victims(spec, &search);
        if skip_search {
            return None;
        }
        pass.preemption_searches_left -= 1;
        let found = self.find_victims(inputs, &claim, self.filter(inputs, task));
        if found.is_none() && placement.failure_applies_to_other_jobs {
            pass.failures.record_no_victims(spec, search);
        }
        let PreemptionPlan { machine, victims } = found?;
        Some(MachineChoice { machine, victims, claims_guarantee: within_guarantee })
    }

    /// Machines of the job's pools whose current worker incarnation has the image.
    fn find_cached_machines(
        &self,
        inputs: &SchedulingInputs<'_>,
        placement: &JobPlacement,
    ) -> Vec<MachineId> {
        self.images
            .machines_with(inputs.context.now, &placement.spec.image)
            .filter_map(|cached| {
                let id = self.capacity.id(cached.machine)?;
                let is_current = self.capacity.get(id)?.incarnation == cached.incarnation;
                (is_current && self.capacity.is_in_pools(id, &placement.pools)).then_some(id)
            })
            .collect()
    }
}

/// Whether a machine still lists an earlier attempt of a task. A worker keeps the record of an
/// ended attempt because a delayed command to start it may still arrive. A new attempt of the
/// same task would replace that record, and the delayed command would then start the task a
/// second time.
fn lists_attempt(inputs: &SchedulingInputs<'_>, machine: &str, job: &str, index: u32) -> bool {
    inputs
        .machines
        .view(machine)
        .is_some_and(|view| view.tasks.iter().any(|task| task.index == index && task.job == job))
}
