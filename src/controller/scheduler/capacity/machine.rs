//! Capacity of one machine: its reserved tasks and its free resources.

use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::WorkerIncarnation;
use std::rc::Rc;

/// A task whose resources are reserved on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct ReservedTask {
    /// Rank of its job: lower is more urgent.
    pub rank: u32,
    /// Name of the team that it counts against.
    pub team: String,
    /// Resources that the task reserves.
    pub resources: Resources,
    /// Id of its job.
    pub job: String,
    /// Number of the task in its job.
    pub index: u32,
    /// Number of its attempt.
    pub attempt: u64,
    /// It is to be stopped, or its preemption has been requested.
    pub stopping: bool,
    /// Wall-clock time at which it was placed.
    pub placed_at: Micros,
    /// Seconds between its checkpoints; 0 if it saves none.
    pub checkpoint_s: f64,
    /// Seconds that it is expected to run in total.
    pub expected_s: f64,
}

impl ReservedTask {
    /// Seconds until the task is expected to end. An overdue task is expected to run for another
    /// half of its expected run time.
    fn remaining_s(&self, wall: Micros) -> f64 {
        let left = self.expected_s - wall.since(self.placed_at).as_secs_f64();
        if left > 0.0 { left } else { self.expected_s / 2.0 }
    }
}

/// A machine that tasks may be placed on.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineCapacity {
    /// Name of the machine.
    pub machine: Rc<str>,
    /// Incarnation of its worker.
    pub incarnation: WorkerIncarnation,
    /// Another controller leads its shard.
    pub led_by_peer: bool,
    /// Resources that no task has reserved.
    pub free: Resources,
    /// Until this time, newly free capacity is left to the controller that leads the machine's
    /// shard: if several controllers placed tasks on it at once, only one would get it.
    pub yielded_until: Micros,
    /// Resources held in this pass for more urgent tasks of other shards.
    pub held: Resources,
    /// Tasks with reserved resources, in order of reservation.
    pub tasks: Vec<ReservedTask>,
}

impl MachineCapacity {
    /// A machine that has resources of `size` and no reserved task.
    pub fn new(
        machine: Rc<str>,
        incarnation: WorkerIncarnation,
        led_by_peer: bool,
        size: Resources,
    ) -> MachineCapacity {
        MachineCapacity {
            machine,
            incarnation,
            led_by_peer,
            free: size,
            yielded_until: Micros::ZERO,
            held: Resources::ZERO,
            tasks: Vec::new(),
        }
    }

    /// Reserves the resources of a task.
    pub fn reserve(&mut self, task: ReservedTask) {
        self.free -= task.resources;
        self.tasks.push(task);
    }

    /// Free resources that are not held for other shards.
    pub fn available(&self) -> Resources {
        self.free - self.held
    }

    /// Seconds until enough reserved tasks are expected to have ended for a task that needs
    /// `needed`; `None` if that exceeds the whole machine. `wall` is the wall-clock time.
    pub fn time_until_available(&self, wall: Micros, needed: &Resources) -> Option<f64> {
        let mut ends: Vec<(f64, &ReservedTask)> =
            self.tasks.iter().map(|task| (task.remaining_s(wall), task)).collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = self.free;
        let mut available_in_s = 0.0;
        for (end_s, task) in ends {
            if free.fits(needed) {
                break;
            }
            available_in_s = end_s;
            free += task.resources;
        }
        free.fits(needed).then_some(available_in_s)
    }
}
