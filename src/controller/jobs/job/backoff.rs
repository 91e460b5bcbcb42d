//! Backoff of jobs whose tasks fail or are refused, and the machines that such jobs avoid.

use super::Job;
use crate::time::Micros;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Number of machines with failed tasks after which the job itself is suspected.
const SUSPECT_MACHINES: usize = 3;
/// A suspect job's pause is one second, doubled with every pause but at most this many times:
/// from 2 s up to 32 s.
const MAX_PAUSE_DOUBLINGS: u32 = 5;
/// Maximum number of machines that a job avoids; beyond it the set is cleared.
const MAX_AVOIDED_MACHINES: usize = 6;
/// Number of refusals without a start in between after which a job pauses.
const MAX_REFUSALS_IN_A_ROW: u32 = 16;
/// Length of the pause after [`MAX_REFUSALS_IN_A_ROW`] refusals.
const REFUSED_PAUSE: Micros = Micros::millis(100);

/// Backoff state of a job, from the failures and refusals of its tasks.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    /// Earliest time to place a task of the job.
    not_before: Micros,
    /// Number of refused starts since a task last began to run.
    refusals_in_a_row: u32,
    /// Machines on which tasks failed since a task last completed, up to [`SUSPECT_MACHINES`].
    failed_machines: BTreeSet<Rc<str>>,
    /// Number of pauses for failures since a task last completed.
    failure_pauses: u32,
    /// Machines on which tasks failed recently, where no task of the job is placed.
    avoided_machines: BTreeSet<Rc<str>>,
}

impl Backoff {
    /// Whether no task of the job may currently be placed.
    pub fn is_paused(&self, now: Micros) -> bool {
        now < self.not_before
    }

    /// Pauses the job's placements until `until`, unless they are already paused for longer.
    pub fn pause_until(&mut self, until: Micros) {
        self.not_before = self.not_before.max(until);
    }

    /// Whether the job avoids a machine.
    pub fn avoids(&self, machine: &str) -> bool {
        self.avoided_machines.contains(machine)
    }

    /// Whether the job avoids any machine.
    pub fn avoids_any(&self) -> bool {
        !self.avoided_machines.is_empty()
    }

    /// Records that a task of the job runs, which resets the count of refusals.
    pub fn record_start(&mut self) {
        self.refusals_in_a_row = 0;
    }

    /// Records that a machine refused a task of the job.
    pub fn record_refusal(&mut self, now: Micros) {
        self.refusals_in_a_row += 1;
        if self.refusals_in_a_row >= MAX_REFUSALS_IN_A_ROW {
            self.pause_until(now + REFUSED_PAUSE);
        }
    }

    fn record_failed_machine(&mut self, machine: &Rc<str>) {
        self.avoided_machines.insert(Rc::clone(machine));
        if self.avoided_machines.len() > MAX_AVOIDED_MACHINES {
            self.avoided_machines.clear();
        }
        if self.failed_machines.len() < SUSPECT_MACHINES {
            self.failed_machines.insert(Rc::clone(machine));
        }
    }

    /// Pauses a suspect job, twice as long as the last time up to a maximum. Failures during a
    /// pause, such as those of an array's other tasks, do not add another pause.
    fn pause_for_failure(&mut self, now: Micros) {
        if self.is_paused(now) {
            return;
        }
        self.failure_pauses += 1;
        self.not_before = now + Micros::secs(1 << self.failure_pauses.min(MAX_PAUSE_DOUBLINGS));
        // In a small cluster no machine would be left for the next attempt.
        self.avoided_machines.clear();
    }
}

impl Job {
    /// Whether the job itself seems to be at fault: its tasks failed on several machines, and
    /// none has ever completed.
    pub fn is_suspect(&self) -> bool {
        self.backoff.failed_machines.len() >= SUSPECT_MACHINES && self.done() == 0
    }

    /// Records that a task of the job failed on a machine.
    pub fn record_failure(&mut self, now: Micros, machine: &Rc<str>) {
        self.backoff.record_failed_machine(machine);
        if self.is_suspect() {
            self.backoff.pause_for_failure(now);
        }
    }

    /// Records that a task completed, which shows that the job can run.
    pub fn record_success(&mut self) {
        if !self.backoff.failed_machines.is_empty() {
            self.backoff.failed_machines.clear();
            self.backoff.failure_pauses = 0;
            self.backoff.not_before = Micros::ZERO;
        }
    }
}
