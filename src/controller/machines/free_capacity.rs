//! What a machine has free for tasks that are to be started there.

use crate::controller::quota::team_quota::EPS;
use crate::peer::DesiredTask;

/// CPUs, GPUs and memory in GB.
pub(crate) type Amounts = [f64; 3];

/// What is free on a machine beside the tasks that it has or was sent.
pub(crate) struct FreeCapacity {
    free: Amounts,
    /// Tasks that are being stopped will free more.
    pub(crate) more_to_come: bool,
    /// It is not known how much is free.
    pub(crate) unknown: bool,
}

impl FreeCapacity {
    /// All of a machine of this size; `None` if its type is not known.
    pub(crate) fn of_empty_machine(size: Option<Amounts>) -> FreeCapacity {
        FreeCapacity {
            free: size.unwrap_or_default(),
            more_to_come: false,
            unknown: size.is_none(),
        }
    }

    /// Whether a task fits beside all that was subtracted.
    pub(crate) fn fits(&self, task: &DesiredTask) -> bool {
        self.free.iter().zip(amounts(task)).all(|(free, amount)| *free + EPS >= amount)
    }

    /// Subtracts what a task takes.
    pub(crate) fn subtract(&mut self, task: &DesiredTask) {
        for (free, amount) in self.free.iter_mut().zip(amounts(task)) {
            *free -= amount;
        }
    }
}

fn amounts(task: &DesiredTask) -> Amounts {
    [task.cpus, task.gpus, task.memory_gb]
}
