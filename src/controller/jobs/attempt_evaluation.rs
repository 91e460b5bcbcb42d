//! Evaluation of local tasks' attempts from the views of their machines.

use super::job::{Placement, TaskEnd};
use crate::controller::Controller;
use crate::peer::{MachineView, ObservedState};
use std::rc::Rc;

/// What the view of its machine says about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptOutcome {
    /// The worker's incarnation for which it was placed, or the machine, has ended.
    Lost,
    /// The attempt has ended in this way.
    Ended(TaskEnd),
    /// The machine has the attempt in this state, which is not terminal.
    Observed(ObservedState),
    /// The view proves nothing yet.
    Undecided,
}

/// An attempt of a local task.
struct Attempt<'a> {
    job: &'a str,
    index: u32,
    /// Shard of the job.
    shard: usize,
    /// Term under which this process leads the shard.
    term: u64,
    placement: &'a Placement,
}

impl Attempt<'_> {
    /// Determines the state of the attempt from the view of its machine.
    fn outcome(&self, view: &MachineView) -> AttemptOutcome {
        let incarnation = self.placement.incarnation;
        if view.has_ended(incarnation)
            || self.has_no_worker(view)
            || view.worker_incarnation() > incarnation
        {
            // The incarnation has definitely ended, with every task in it.
            return AttemptOutcome::Lost;
        }
        if !view.observed_in_term || view.worker_incarnation() != incarnation {
            return AttemptOutcome::Undecided;
        }
        let listed = view.tasks.iter().find(|task| {
            task.attempt == self.placement.attempt
                && task.index == self.index
                && task.job == self.job
        });
        match listed.map(|task| task.observed()) {
            Some(observed) if observed.is_terminal() => {
                AttemptOutcome::Ended(TaskEnd::listed(observed))
            }
            Some(observed) => AttemptOutcome::Observed(observed),
            None if self.stop_was_applied(view) => AttemptOutcome::Ended(TaskEnd::never_started()),
            None => AttemptOutcome::Undecided,
        }
    }

    /// Whether the machine definitely has no worker any more. A view without a heartbeat says
    /// nothing about incarnations that began after it was made. So the view counts only if its
    /// sender had already received this shard's desired state of the current term.
    fn has_no_worker(&self, view: &MachineView) -> bool {
        let mut applied = view.applied.iter();
        view.worker_gone
            && applied.any(|update| update.shard as usize == self.shard && update.term == self.term)
    }

    /// Whether the leader of the machine's shard has applied the desired state that stops the
    /// task. Only then does the task's absence from the view prove that it will not start;
    /// earlier, that leader may be about to send the start.
    fn stop_was_applied(&self, view: &MachineView) -> bool {
        let applied = view.applied.iter().find(|update| update.shard as usize == self.shard);
        self.placement.stop_seq.is_some_and(|stop_seq| {
            applied.is_some_and(|update| update.term == self.term && update.seq >= stop_seq)
        })
    }
}

impl Controller {
    /// Evaluates all local tasks on a machine.
    pub(crate) fn evaluate_on_all_shards(&mut self, machine: &str) {
        for shard in 0..self.leadership.shard_count() {
            self.evaluate_machine(shard, machine);
        }
    }

    /// Evaluates all tasks of a shard on a machine, if this process serves the shard.
    pub(crate) fn evaluate_machine(&mut self, shard: usize, machine: &str) {
        if !self.serves_shard(shard) {
            return;
        }
        let Some(tasks) = self.jobs.task_index.tasks_on(shard, &Rc::from(machine)).cloned() else {
            return;
        };
        for task in &tasks {
            self.evaluate_task(&task.job, task.index);
        }
    }

    /// Evaluates all local tasks. Views received while this process held no lease have been
    /// applied, but the tasks have not been evaluated against them.
    pub(crate) fn evaluate_all(&mut self) {
        let all: Vec<(usize, Rc<str>)> =
            self.jobs.task_index.shards_and_machines().cloned().collect();
        for (shard, machine) in all {
            self.evaluate_machine(shard, &machine);
        }
    }

    /// Evaluates a task against the view of its machine, and ends, updates or stops it.
    fn evaluate_task(&mut self, id: &str, index: u32) {
        match self.attempt_outcome(id, index) {
            None => {}
            Some(AttemptOutcome::Lost) => {
                self.counts.lost += 1;
                self.end_task(id, index, TaskEnd::certain(ObservedState::Stopped));
            }
            Some(AttemptOutcome::Ended(end)) => self.end_task(id, index, end),
            Some(AttemptOutcome::Observed(observed)) => {
                let (now, wall) = (self.context.now, self.context.wall_clock());
                if let Some(job) = self.jobs.by_id.get_mut(id)
                    && job.record_observed_state(now, wall, index, observed)
                {
                    self.changes.progress.insert(id.to_string());
                }
                self.stop_for_spot_notice(id, index);
            }
            Some(AttemptOutcome::Undecided) => self.stop_for_spot_notice(id, index),
        }
    }

    /// Determines the state of a task's current attempt. `None` if this process does not lead the
    /// job's shard, the task has no placement, or its machine has no view from the current
    /// leader.
    fn attempt_outcome(&self, id: &str, index: u32) -> Option<AttemptOutcome> {
        let job = self.jobs.by_id.get(id)?;
        let shard = job.shard;
        let term = self.leading_term(shard)?;
        let placement = job.placement(index)?;
        let machine = &placement.machine;
        if self.machines.is_terminated(machine) {
            return Some(AttemptOutcome::Lost);
        }
        // A view from an earlier leader of the machine's shard proves nothing: the current
        // leader may start a task that the earlier one refused.
        let current_term = self.leadership.term(self.leadership.shard_of_machine(machine));
        let view = self.machines.view(machine).filter(|view| view.term == current_term)?;
        Some(Attempt { job: id, index, shard, term, placement }.outcome(view))
    }
}
