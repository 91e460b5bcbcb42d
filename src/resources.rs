//! Amounts of CPUs, GPUs and memory that tasks need and machines have or have free.

use crate::peer::{Demand, Shape};
use crate::wire::{JobSpec, MachineType};
use std::ops::{AddAssign, Mul, Sub, SubAssign};

/// Differences below this are rounding errors: amounts are sums of decimal fractions, which
/// floating point does not represent exactly.
pub const TOLERANCE: f64 = 1e-6;

/// Added to free amounts before they are divided by a task's amounts. Without it, rounding errors
/// could keep a task off a machine that is exactly large enough.
const DIVISION_TOLERANCE: f64 = 1e-9;

/// Amounts of CPUs, GPUs and memory.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// CPUs; may be fractional.
    pub cpus: f64,
    /// GPUs; may be fractional.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// No resources.
    pub const ZERO: Resources = Resources::new(0.0, 0.0, 0.0);

    /// Creates an amount from CPUs, GPUs and gigabytes of memory.
    pub const fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        Resources { cpus, gpus, memory_gb }
    }

    /// Number of tasks that fit into these free resources if each needs `task`; `u32::MAX` if it
    /// needs nothing.
    pub fn tasks_that_fit(&self, task: &Resources) -> u32 {
        let mut count = f64::from(u32::MAX);
        for (free, needed) in
            [(self.cpus, task.cpus), (self.gpus, task.gpus), (self.memory_gb, task.memory_gb)]
        {
            if needed > 0.0 {
                count = count.min((free + DIVISION_TOLERANCE) / needed);
            }
        }
        if count <= 0.0 { 0 } else { count as u32 }
    }

    /// Whether a task that needs `task` fits into these free resources.
    pub fn fits(&self, task: &Resources) -> bool {
        self.tasks_that_fit(task) > 0
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(mut self, other: Resources) -> Resources {
        self -= other;
        self
    }
}

/// The resources of N tasks, where `self` is what one of them needs.
impl Mul<u32> for Resources {
    type Output = Resources;

    fn mul(self, tasks: u32) -> Resources {
        let tasks = f64::from(tasks);
        Resources::new(self.cpus * tasks, self.gpus * tasks, self.memory_gb * tasks)
    }
}

/// The resources that one task of a job needs.
impl From<&JobSpec> for Resources {
    fn from(spec: &JobSpec) -> Resources {
        Resources::new(spec.cpus, spec.gpus, spec.memory_gb)
    }
}

/// The resources that one task of a job in the desired state needs.
impl From<&Shape> for Resources {
    fn from(shape: &Shape) -> Resources {
        Resources::new(shape.cpus, shape.gpus, shape.memory_gb)
    }
}

/// The resources that each of the pending tasks needs.
impl From<&Demand> for Resources {
    fn from(demand: &Demand) -> Resources {
        Resources::new(demand.cpus, demand.gpus, demand.memory_gb)
    }
}

/// The resources of a machine of this type.
impl From<&MachineType> for Resources {
    fn from(machine_type: &MachineType) -> Resources {
        Resources::new(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    }
}
