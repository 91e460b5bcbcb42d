//! Pauses of a job whose tasks fail or are refused, and the machines that it avoids.

use super::Job;
use crate::time::Micros;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Failures on different machines after which the job itself is suspected.
const SUSPECT_MACHINES: usize = 3;
/// A suspect job's pause is a second, doubled this often at most: to half a minute.
const MAX_PAUSE_DOUBLINGS: u32 = 5;
/// Machines that a job avoids at most.
const MAX_AVOIDED_MACHINES: usize = 6;
/// Refusals without a start between them after which a job pauses.
const MAX_REFUSALS_IN_A_ROW: u32 = 16;
/// How long it then pauses.
const REFUSED_PAUSE: Micros = Micros::millis(100);

/// What a job's failures and refusals lead to.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    /// Nothing of the job is placed before this.
    not_before: Micros,
    /// Refused starts since a task last began to run.
    refusals_in_a_row: u32,
    /// Machines on which tasks failed, while none of the job has completed.
    failed_machines: BTreeSet<Rc<str>>,
    /// Pauses for failures so far.
    failure_pauses: u32,
    /// Machines on which its tasks failed lately.
    avoided_machines: BTreeSet<Rc<str>>,
}

impl Backoff {
    /// Whether the job may not be placed at present.
    pub fn is_paused(&self, now: Micros) -> bool {
        now < self.not_before
    }

    /// The job is not placed before `until`, or later if it is paused for longer already.
    pub fn pause_until(&mut self, until: Micros) {
        self.not_before = self.not_before.max(until);
    }

    /// Whether the job avoids a machine.
    pub fn avoids(&self, machine: &str) -> bool {
        self.avoided_machines.contains(machine)
    }

    /// Whether it avoids any machine.
    pub fn avoids_any(&self) -> bool {
        !self.avoided_machines.is_empty()
    }

    /// A task of the job runs.
    pub fn note_start(&mut self) {
        self.refusals_in_a_row = 0;
    }

    /// A machine refused a task of the job.
    pub fn note_refusal(&mut self, now: Micros) {
        self.refusals_in_a_row += 1;
        if self.refusals_in_a_row >= MAX_REFUSALS_IN_A_ROW {
            self.pause_until(now + REFUSED_PAUSE);
        }
    }

    fn note_failed_machine(&mut self, machine: &Rc<str>) {
        self.avoided_machines.insert(Rc::clone(machine));
        if self.avoided_machines.len() > MAX_AVOIDED_MACHINES {
            self.avoided_machines.clear();
        }
        if self.failed_machines.len() < SUSPECT_MACHINES {
            self.failed_machines.insert(Rc::clone(machine));
        }
    }

    /// Pauses a suspect job. Failures together, as of a whole array, bring one pause; each
    /// further one is longer.
    fn pause_for_failure(&mut self, now: Micros) {
        if self.is_paused(now) {
            return;
        }
        self.failure_pauses += 1;
        self.not_before = now + Micros::secs(1 << self.failure_pauses.min(MAX_PAUSE_DOUBLINGS));
        // Where there are few machines none would be left for the trial.
        self.avoided_machines.clear();
    }
}

impl Job {
    /// Whether the job itself seems to be at fault: it failed on several machines,
    /// and nothing of it has ever completed.
    pub fn suspect(&self) -> bool {
        self.backoff.failed_machines.len() >= SUSPECT_MACHINES && self.done() == 0
    }

    /// A task of it failed on a machine.
    pub fn note_failure(&mut self, now: Micros, machine: &Rc<str>) {
        self.backoff.note_failed_machine(machine);
        if self.suspect() {
            self.backoff.pause_for_failure(now);
        }
    }

    /// A task of it completed, so it can run.
    pub fn note_success(&mut self) {
        if !self.backoff.failed_machines.is_empty() {
            self.backoff.failed_machines.clear();
            self.backoff.failure_pauses = 0;
            self.backoff.not_before = Micros::ZERO;
        }
    }
}
