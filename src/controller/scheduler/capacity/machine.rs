//! One machine as the scheduler knows it: the tasks reserved on it and what is free.

use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::WorkerIncarnation;
use std::rc::Rc;

/// A task whose resources are reserved on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct ReservedTask {
    /// Rank of service: lower is more urgent.
    pub rank: u32,
    /// Team.
    pub team: String,
    /// What it needs.
    pub resources: Resources,
    /// Job.
    pub job: String,
    /// Number of the task in its job.
    pub index: u32,
    /// Attempt.
    pub attempt: u64,
    /// It is being preempted, or its preemption has been requested.
    pub stopping: bool,
    /// Time of day at which it was placed.
    pub placed: Micros,
    /// Seconds between its checkpoints; 0 if it writes none.
    pub checkpoint_s: f64,
    /// Seconds that it is expected to run.
    pub expected_s: f64,
}

impl ReservedTask {
    /// Seconds until it is expected to end. One that is overdue may run for half as long again.
    fn remaining_s(&self, wall: Micros) -> f64 {
        let left = self.expected_s - wall.since(self.placed).as_secs_f64();
        if left > 0.0 { left } else { self.expected_s / 2.0 }
    }
}

/// A machine that tasks may be placed on.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineCapacity {
    /// Its name.
    pub machine: Rc<str>,
    /// Incarnation of its worker.
    pub incarnation: WorkerIncarnation,
    /// Another controller leads its shard.
    pub led_by_peer: bool,
    /// What no task is reserved on.
    pub free: Resources,
    /// Until when capacity that came up here is left to the controller that leads the
    /// machine's shard: taken by several controllers at once it would go to one of them.
    pub yielded_until: Micros,
    /// What is held in this pass for more urgent tasks of other shards.
    pub held: Resources,
    /// The tasks reserved on it.
    pub tasks: Vec<ReservedTask>,
}

impl MachineCapacity {
    /// A machine of that size with no task reserved.
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

    /// Reserves a task's resources.
    pub fn reserve(&mut self, task: ReservedTask) {
        self.free -= task.resources;
        self.tasks.push(task);
    }

    /// What tasks may be placed on in this pass.
    pub fn available(&self) -> Resources {
        self.free - self.held
    }

    /// Seconds until enough tasks have ended for a further one of this size; `None` if it is
    /// too large for the machine. `wall` is the time of day.
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
