//! Machines that are terminated for good, with everything on them.

use super::Machines;
use crate::controller::Controller;
use log::info;

/// Terminated machines that are remembered.
const MAX_TERMINATED_MACHINES: usize = 5_000;

impl Machines {
    /// Notes that a machine is terminated and forgets what is known of it; false if it was
    /// known to be terminated before.
    fn note_terminated(&mut self, machine: &str) -> bool {
        if !self.terminated.insert(machine.to_string()) {
            return false;
        }
        while self.terminated.len() > MAX_TERMINATED_MACHINES {
            // Names rise with time, so the first is the oldest.
            self.terminated.pop_first();
        }
        self.managed.remove(machine);
        self.views.remove(machine);
        true
    }
}

impl Controller {
    /// A machine is known to be terminated: all tasks on it are lost.
    pub(crate) fn machine_terminated(&mut self, machine: &str) {
        if !self.machines.note_terminated(machine) {
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
