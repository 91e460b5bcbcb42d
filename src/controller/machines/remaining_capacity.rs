//! What a machine has free for tasks that are to be started there.

use crate::peer::DesiredTask;
use crate::resources::{Resources, TOLERANCE};

/// What is free on a machine beside the tasks that it has or was sent.
pub(crate) struct RemainingCapacity {
    free: Resources,
    /// Tasks that are being stopped will free more.
    pub(crate) more_to_come: bool,
    /// It is not known how much is free.
    pub(crate) unknown: bool,
}

impl RemainingCapacity {
    /// All of a machine of this size; `None` if its type is not known.
    pub(crate) fn of_empty_machine(size: Option<Resources>) -> RemainingCapacity {
        RemainingCapacity {
            free: size.unwrap_or_default(),
            more_to_come: false,
            unknown: size.is_none(),
        }
    }

    /// Whether a task fits beside all that was subtracted.
    pub(crate) fn fits(&self, task: &DesiredTask) -> bool {
        self.free.cpus + TOLERANCE >= task.cpus
            && self.free.gpus + TOLERANCE >= task.gpus
            && self.free.memory_gb + TOLERANCE >= task.memory_gb
    }

    /// Subtracts what a task takes.
    pub(crate) fn subtract(&mut self, task: &DesiredTask) {
        self.free -= Resources::from(&*task.shape);
    }
}
