//! Machines held for large tasks, and jobs raised that would starve.

use crate::controller::Controller;
use crate::controller::jobs::job::Job;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::capacity::MachineCapacity;
use crate::controller::scheduler::inputs::SchedulingInputs;
use crate::controller::scheduler::pending_reason::PendingReason;
use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::JobSpec;
use std::rc::Rc;

/// Share of a shard's machines that may be held for large tasks at once.
const MAX_HELD_SHARE: f64 = 0.3;
/// Share of a shard's machines that large tasks have before they are late.
const LARGE_TASK_SHARE: f64 = 0.2;
/// Seconds after which a waiting large task has its share.
const MIN_WAIT_S: f64 = 5.0;
/// A large task that has waited for this share of its class's objective is late.
const LATE_SHARE: f64 = 0.33;
/// A job of which nothing has begun after this share of its objective is starved.
const STARVED_SHARE: f64 = 0.4;

/// A job whose tasks wait for a machine that is large enough.
struct WaitingJob {
    /// It has waited for a good share of its objective.
    late: bool,
    pending_tasks: u32,
    spec: Rc<JobSpec>,
}

/// A machine, and in how many seconds it is expected to have capacity for a task.
struct ExpectedCapacity {
    available_in_s: f64,
    machine: Rc<str>,
}

impl Controller {
    /// Raises low work of which nothing has begun for long: behind a queue of
    /// standard work that never empties it would not begin for minutes.
    pub(crate) fn raise_starved_jobs(&mut self) {
        let wall = self.context.wall();
        let inputs = self.scheduling_inputs();
        let starved = |job: &&Job| {
            !job.raised_to_normal
                && job.is_active()
                && job.reserved_tasks() == 0
                && job.done() == 0
                && !job.suspect()
                && !job.awaits_dependencies
                && wall.since(job.ready_at).as_secs_f64()
                    > inputs.finish_objective_s(&job.spec.class) * STARVED_SHARE
        };
        let list: Vec<String> =
            self.jobs.by_id.iter().filter(|(_, j)| starved(j)).map(|(id, _)| id.clone()).collect();
        for id in list {
            if let Some(job) = self.jobs.by_id.get_mut(&id) {
                job.raised_to_normal = true;
            }
        }
    }

    /// Holds machines, on which no further small task is placed, where large tasks have
    /// waited for long: filled up again task by task, no machine would ever have
    /// capacity for one that needs it whole.
    pub(crate) fn hold_machines_for_large_tasks(&mut self) {
        let inputs = self.scheduling_inputs();
        let waiting = match self.holds_lease() {
            true => waiting_for_capacity(&inputs),
            false => Vec::new(),
        };
        let wall = self.context.wall();
        self.scheduler.hold_machines(&waiting, wall);
    }
}

/// Jobs that have waited for capacity for some time, those with the largest tasks first.
fn waiting_for_capacity(inputs: &SchedulingInputs<'_>) -> Vec<WaitingJob> {
    let wall = inputs.context.wall();
    let mut waiting: Vec<WaitingJob> = Vec::new();
    for job in inputs.jobs.by_id.values().filter(|j| j.is_active() && j.placeable() > 0) {
        let waited_s = wall.since(job.ready_at).as_secs_f64();
        if waited_s > MIN_WAIT_S && job.pending_reason == PendingReason::NoCapacity {
            let objective_s = inputs.finish_objective_s(&job.spec.class);
            waiting.push(WaitingJob {
                late: waited_s > objective_s * LATE_SHARE,
                pending_tasks: job.pending(),
                spec: Rc::clone(&job.spec),
            });
        }
    }
    waiting.sort_by(|a, b| b.spec.cpus.total_cmp(&a.spec.cpus).then(b.late.cmp(&a.late)));
    waiting
}

impl Scheduler {
    /// Holds machines for waiting jobs, in their order, instead of those held so far.
    fn hold_machines(&mut self, waiting: &[WaitingJob], wall: Micros) {
        self.held_for_large_tasks.clear();
        let own_machines = self.own_machines().count() as f64;
        for job in waiting {
            let left = self.machines_left_to_hold(job, own_machines);
            if left == 0 {
                continue;
            }
            let count = (job.pending_tasks as usize).min(left);
            let soonest = self.expected_capacity(&job.spec, wall).into_iter().take(count);
            self.held_for_large_tasks.extend(soonest.map(|expected| expected.machine));
        }
    }

    /// Machines of the shards that this process leads.
    fn own_machines(&self) -> impl Iterator<Item = &MachineCapacity> {
        self.capacity.iter().map(|(_, _, capacity)| capacity).filter(|c| !c.led_by_peer)
    }

    /// How many more machines may be held for a job.
    fn machines_left_to_hold(&self, job: &WaitingJob, own_machines: f64) -> usize {
        let large = |capacity: &&MachineCapacity| {
            capacity.tasks.iter().any(|task| task.resources.cpus >= job.spec.cpus)
        };
        let max = if job.late {
            own_machines * MAX_HELD_SHARE
        } else {
            // Those that large tasks run on already are their share, too.
            own_machines * LARGE_TASK_SHARE - self.own_machines().filter(large).count() as f64
        };
        (max.max(0.0) as usize).saturating_sub(self.held_for_large_tasks.len())
    }

    /// Own machines that are not held yet and will have capacity for a task of a job, the
    /// soonest first.
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
