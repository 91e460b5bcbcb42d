//! Free capacity of a machine for further starts.

use crate::peer::DesiredTask;
use crate::resources::{Resources, TOLERANCE};

/// Capacity of a machine that is left beside the tasks that run there or are being started.
pub(crate) struct RemainingCapacity {
    free: Resources,
    /// Tasks on the machine are being stopped and will free more capacity.
    pub(crate) stops_pending: bool,
    /// The machine's type or the resources of a task on it are not known, so neither is the
    /// free capacity.
    pub(crate) unknown: bool,
}

impl RemainingCapacity {
    /// Capacity of a machine without tasks. `size` is `None` if the machine type is unknown.
    pub(crate) fn of_empty_machine(size: Option<Resources>) -> RemainingCapacity {
        RemainingCapacity {
            free: size.unwrap_or_default(),
            stops_pending: false,
            unknown: size.is_none(),
        }
    }

    /// Whether a task fits into the capacity that is left.
    pub(crate) fn fits(&self, task: &DesiredTask) -> bool {
        self.free.cpus + TOLERANCE >= task.cpus
            && self.free.gpus + TOLERANCE >= task.gpus
            && self.free.memory_gb + TOLERANCE >= task.memory_gb
    }

    /// Subtracts the resources of a task.
    pub(crate) fn subtract(&mut self, task: &DesiredTask) {
        self.free -= Resources::from(&*task.shape);
    }
}
