//! Terminated machines: all their tasks are lost, and they never come back.

use super::Machines;
use crate::controller::Controller;
use log::info;

/// Maximum number of terminated machines kept in memory.
const MAX_TERMINATED_MACHINES: usize = 5_000;

impl Machines {
    /// Records that a machine is terminated and drops its state. Returns false if it was
    /// already recorded.
    fn mark_terminated(&mut self, machine: &str) -> bool {
        if !self.terminated.insert(machine.to_string()) {
            return false;
        }
        while self.terminated.len() > MAX_TERMINATED_MACHINES {
            // Machine names ascend with time, so the first one is the oldest.
            self.terminated.pop_first();
        }
        self.managed.remove(machine);
        self.views.remove(machine);
        true
    }
}

impl Controller {
    /// Handles the termination of a machine: all tasks on it are lost.
    pub(crate) fn machine_terminated(&mut self, machine: &str) {
        if !self.machines.mark_terminated(machine) {
            return;
        }
        info!("machine {machine} is terminated");
        self.scheduler.mark_stale(machine);
        self.changes.machines.remove(machine);
        self.autoscaler.forget_machine(machine);
        self.evaluate_on_all_shards(machine);
        self.scheduler.request_pass();
    }
}
