//! Protection from starvation: holding machines for large tasks and raising starved jobs.

use crate::controller::Controller;
use crate::controller::jobs::job::Job;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::MachineCapacity;
use crate::controller::scheduler::pending_reason::PendingReason;
use crate::controller::scheduler::scheduling_inputs::SchedulingInputs;
use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::JobSpec;
use std::rc::Rc;

/// Share of the machines of led shards that may be held for large tasks once one is late.
const MAX_HELD_SHARE: f64 = 0.3;
/// Share of the machines of led shards that large tasks may take, running or held for them,
/// before one is late.
const LARGE_TASK_SHARE: f64 = 0.2;
/// Seconds that a job must have waited for capacity before machines are held for its tasks.
const MIN_WAIT_FOR_HOLD_S: f64 = 5.0;
/// A large task that has waited for this share of its class's finish objective is late.
const LATE_OBJECTIVE_SHARE: f64 = 0.33;
/// A job without any placed or completed task after this share of its class's finish objective is
/// starved.
const STARVED_OBJECTIVE_SHARE: f64 = 0.4;

/// A job whose tasks wait for a machine with enough capacity.
struct WaitingJob {
    /// It has waited for [`LATE_OBJECTIVE_SHARE`] of its objective.
    late: bool,
    pending_tasks: u32,
    spec: Rc<JobSpec>,
}

/// A machine, and the seconds until it is expected to have capacity for a task.
struct ExpectedCapacity {
    available_in_s: f64,
    machine: Rc<str>,
}

impl Controller {
    /// Raises low priority jobs to normal priority if no task of theirs has been placed for long.
    /// Behind a queue of jobs of normal priority that never empties, they would not start for
    /// minutes.
    pub(crate) fn raise_starved_jobs(&mut self) {
        let wall = self.context.wall_clock();
        let inputs = self.scheduling_inputs();
        let starved = |job: &&Job| {
            !job.raised_to_normal
                && job.is_active()
                && job.reserved_tasks() == 0
                && job.done() == 0
                && !job.is_suspect()
                && !job.awaits_dependencies
                && wall.since(job.ready_at).as_secs_f64()
                    > inputs.finish_objective_s(&job.spec.class) * STARVED_OBJECTIVE_SHARE
        };
        let list: Vec<String> =
            self.jobs.by_id.iter().filter(|(_, j)| starved(j)).map(|(id, _)| id.clone()).collect();
        for id in list {
            if let Some(job) = self.jobs.by_id.get_mut(&id) {
                job.raised_to_normal = true;
            }
        }
    }

    /// Holds machines for large tasks that have waited for long: no further small task is placed
    /// there. If small tasks kept filling freed capacity, no machine would ever have capacity
    /// for a task that needs a whole machine.
    pub(crate) fn hold_machines_for_large_tasks(&mut self) {
        let inputs = self.scheduling_inputs();
        let waiting = match self.holds_lease() {
            true => waiting_for_capacity(&inputs),
            false => Vec::new(),
        };
        let wall = self.context.wall_clock();
        self.scheduler.hold_machines(&waiting, wall);
    }
}

/// Jobs that lack capacity and have been ready for more than [`MIN_WAIT_FOR_HOLD_S`] seconds,
/// those with the largest tasks first.
fn waiting_for_capacity(inputs: &SchedulingInputs<'_>) -> Vec<WaitingJob> {
    let wall = inputs.context.wall_clock();
    let mut waiting: Vec<WaitingJob> = Vec::new();
    for job in inputs.jobs.by_id.values().filter(|j| j.is_active() && j.placeable() > 0) {
        let waited_s = wall.since(job.ready_at).as_secs_f64();
        if waited_s > MIN_WAIT_FOR_HOLD_S && job.pending_reason == PendingReason::NoCapacity {
            let objective_s = inputs.finish_objective_s(&job.spec.class);
            waiting.push(WaitingJob {
                late: waited_s > objective_s * LATE_OBJECTIVE_SHARE,
                pending_tasks: job.pending(),
                spec: Rc::clone(&job.spec),
            });
        }
    }
    waiting.sort_by(|a, b| b.spec.cpus.total_cmp(&a.spec.cpus).then(b.late.cmp(&a.late)));
    waiting
}

impl Scheduler {
    /// Replaces the held machines by those held for waiting jobs, in the order of the jobs.
    fn hold_machines(&mut self, waiting: &[WaitingJob], wall: Micros) {
        self.held_for_large_tasks.clear();
        let led_machines = self.led_machines().count() as f64;
        for job in waiting {
            let left = self.machines_left_to_hold(job, led_machines);
            if left == 0 {
                continue;
            }
            let count = (job.pending_tasks as usize).min(left);
            let soonest = self.expected_capacity(&job.spec, wall).into_iter().take(count);
            self.held_for_large_tasks.extend(soonest.map(|expected| expected.machine));
        }
    }

    /// Machines of the shards that this process leads.
    fn led_machines(&self) -> impl Iterator<Item = &MachineCapacity> {
        self.capacity.iter().map(|(_, _, capacity)| capacity).filter(|c| !c.led_by_peer)
    }

    /// Number of machines that may additionally be held for a job.
    fn machines_left_to_hold(&self, job: &WaitingJob, led_machines: f64) -> usize {
        let large = |capacity: &&MachineCapacity| {
            capacity.tasks.iter().any(|task| task.resources.cpus >= job.spec.cpus)
        };
        let max = if job.late {
            led_machines * MAX_HELD_SHARE
        } else {
            // Machines that already run large tasks count towards the share.
            led_machines * LARGE_TASK_SHARE - self.led_machines().filter(large).count() as f64
        };
        (max.max(0.0) as usize).saturating_sub(self.held_for_large_tasks.len())
    }

    /// Machines of led shards that are not held yet and can run a task of a job, in order of the
    /// time when they are expected to have capacity for it.
    fn expected_capacity(&self, spec: &JobSpec, wall: Micros) -> Vec<ExpectedCapacity> {
        let needed = Resources::from(spec);
        let mut expected: Vec<ExpectedCapacity> = self
            .capacity
            .iter()
            .filter(|(_, pool, capacity)| {
                !capacity.led_by_peer
                    && pool.admits_job(spec)
                    && !self.held_for_large_tasks.contains(&capacity.machine)
            })
            .filter_map(|(_, _, capacity)| {
                let available_in_s = capacity.time_until_available(wall, &needed)?;
                Some(ExpectedCapacity { available_in_s, machine: Rc::clone(&capacity.machine) })
            })
            .collect();
        expected.sort_by(|a, b| {
            a.available_in_s.total_cmp(&b.available_in_s).then(a.machine.cmp(&b.machine))
        });
        expected
    }
}
