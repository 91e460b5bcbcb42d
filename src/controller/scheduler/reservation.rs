//! Applies a machine choice: preempts the victims and reserves the task's resources.

use crate::controller::Controller;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::{MachineId, ReservedTask};
use crate::controller::scheduler::machine_choice::MachineChoice;
use crate::controller::scheduler::pending_reason::PendingReason;
use crate::controller::scheduler::scheduling_pass::PassState;
use crate::controller::scheduler::task_placement::JobPlacement;
use std::rc::Rc;

/// A task to preempt, with its machine.
struct Victim {
    machine: Rc<str>,
    task: ReservedTask,
}

impl Scheduler {
    /// Marks the victims of a choice as stopping, counts their resources as free and returns
    /// them.
    fn mark_victims_stopping(&mut self, choice: &MachineChoice) -> Vec<Victim> {
        let mut victims = Vec::new();
        self.capacity.change(choice.machine, |capacity| {
            for position in &choice.victims {
                let task = &mut capacity.tasks[*position];
                task.stopping = true;
                capacity.free += task.resources;
                let machine = Rc::clone(&capacity.machine);
                victims.push(Victim { machine, task: task.clone() });
            }
        });
        victims
    }
}

impl Controller {
    /// Preempts the victims of a choice, and counts their resources as free for this pass.
    pub(super) fn preempt_victims(
        &mut self,
        choice: &MachineChoice,
        placement: &JobPlacement,
        pass: &mut PassState,
    ) {
        if choice.victims.is_empty() {
            return;
        }
        let victims = self.scheduler.mark_victims_stopping(choice);
        if choice.claims_guarantee {
            let team = &placement.spec.team;
            self.scheduler.guarantee_budget.deduct_claim(team, placement.spec.cpus);
        }
        for Victim { machine, task } in victims {
            self.scheduler.guarantee_budget.deduct_preemption(&task.team, task.resources.cpus);
            *pass.usage.entry(task.team.clone()).or_default() -= task.resources.into();
            self.request_preemption(&task, placement.time_for_checkpoints, &machine);
        }
        // The victims may have freed more than the task needs, for tasks of any size.
        pass.failures.forget_capacity_failures();
    }

    /// Places a task on a machine, in memory: the placement must be stored before the task is
    /// started.
    pub(super) fn reserve_task(
        &mut self,
        index: u32,
        machine_id: MachineId,
        placement: &mut JobPlacement,
        pass: &mut PassState,
    ) -> Result<(), PendingReason> {
        let (now, wall) = (self.context.now, self.context.wall_clock());
        let capacity = &self.scheduler.capacity;
        let chosen = capacity.get(machine_id).ok_or(PendingReason::NoCapacity)?;
        let (machine, incarnation) = (Rc::clone(&chosen.machine), chosen.incarnation);
        let pool = capacity.pool_of(machine_id);
        let zone = pool.map(|pool| Rc::clone(&pool.zone)).unwrap_or_default();
        let spec = &placement.spec;
        let job = self.jobs.by_id.get_mut(&placement.id).ok_or(PendingReason::NoCapacity)?;
        let attempt = job
            .place(wall, index, &machine, incarnation, &zone)
            .ok_or(PendingReason::NoCapacity)?;
        let reserved = ReservedTask {
            rank: job.rank(),
            team: spec.team.clone(),
            resources: placement.needed,
            job: placement.id.clone(),
            index,
            attempt,
            stopping: false,
            placed_at: wall,
            checkpoint_s: spec.checkpoint_s,
            expected_s: placement.expected_s,
        };
        log::debug!("task {}/{index} placed on {machine} as attempt {attempt}", placement.id);
        self.scheduler.capacity.change(machine_id, |capacity| capacity.reserve(reserved));
        self.scheduler.unobserved_placements += 1;
        let has_image = self.scheduler.images.contains(now, &spec.image, &machine, incarnation);
        self.counts.placed += 1;
        self.counts.image_hits += u64::from(has_image);
        self.scheduler.images.record(now, &spec.image, &machine, incarnation);
        count_placement(placement, pass, machine_id, zone, has_image);
        self.changes.desired.insert((placement.shard, Rc::clone(&machine)));
        self.jobs.task_index.add(placement.shard, machine, &placement.id, index);
        self.changes.jobs.insert(placement.id.clone());
        Ok(())
    }
}

/// Counts a placed task in the state of the pass and of the job's placement.
fn count_placement(
    placement: &mut JobPlacement,
    pass: &mut PassState,
    machine: MachineId,
    zone: Rc<str>,
    had_image: bool,
) {
    pass.placements_left -= 1;
    let needed = placement.needed.into();
    *pass.usage.entry(placement.spec.team.clone()).or_default() += needed;
    placement.used += needed;
    if placement.zones_restricted() {
        *placement.tasks_by_zone.entry(zone).or_insert(0) += 1;
    }
    if let Some(cached_machines) = placement.cached_machines.as_mut().filter(|_| !had_image) {
        cached_machines.push(machine);
    }
}
