//! What became of own tasks, by the views of their machines.

use super::job::{Placement, TaskEnd};
use crate::controller::Controller;
use crate::peer::{MachineView, ObservedState};
use std::rc::Rc;

/// What became of an attempt, by the view of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// It ended with the incarnation of its machine, or with the machine.
    Lost,
    /// It ended so.
    Ended(TaskEnd),
    /// The machine has it, in this state.
    Observed(ObservedState),
    /// Nothing.
    Undecided,
}

/// An attempt of an own task.
struct Attempt<'a> {
    job: &'a str,
    index: u32,
    /// Shard of the job, and the term in which this process leads it.
    shard: usize,
    term: u64,
    placement: &'a Placement,
}

impl Attempt<'_> {
    /// Decides what became of the attempt by the view of its machine.
    fn verdict(&self, view: &MachineView) -> Verdict {
        let incarnation = self.placement.incarnation;
        if view.has_ended(incarnation)
            || self.has_vanished(view)
            || view.worker_incarnation() > incarnation
        {
            // Its incarnation is surely over, and everything in it.
            return Verdict::Lost;
        }
        if !view.known || view.worker_incarnation() != incarnation {
            return Verdict::Undecided;
        }
        let listed = view.tasks.iter().find(|task| {
            task.attempt == self.placement.attempt
                && task.index == self.index
                && task.job == self.job
        });
        match listed.map(|task| task.observed()) {
            Some(observed) if observed.over() => Verdict::Ended(TaskEnd::listed(observed)),
            Some(observed) => Verdict::Observed(observed),
            None if self.stop_was_applied(view) => Verdict::Ended(TaskEnd::never_started()),
            None => Verdict::Undecided,
        }
    }

    /// Whether the machine is known to have no worker any more. That it has never sent a
    /// heartbeat proves nothing of a later incarnation, which a view of before may not know:
    /// only views made since this term's desired state was received count.
    fn has_vanished(&self, view: &MachineView) -> bool {
        let mut applied = view.applied.iter();
        view.vanished
            && applied.any(|update| update.shard as usize == self.shard && update.term == self.term)
    }

    /// Whether the leader of the machine's shard has applied that the task is to be stopped.
    /// The task's absence proves something only then: until then that leader may be about to
    /// send the start.
    fn stop_was_applied(&self, view: &MachineView) -> bool {
        let applied = view.applied.iter().find(|update| update.shard as usize == self.shard);
        self.placement.stop_seq.is_some_and(|stop_seq| {
            applied.is_some_and(|update| update.term == self.term && update.seq >= stop_seq)
        })
    }
}

impl Controller {
    /// Evaluates all tasks of all shards on a machine.
    pub(crate) fn evaluate_on_all_shards(&mut self, machine: &str) {
        for shard in 0..self.leadership.shard_count() {
            self.evaluate_machine(shard, machine);
        }
    }

    /// Evaluates all tasks of a shard on a machine.
    pub(crate) fn evaluate_machine(&mut self, shard: usize, machine: &str) {
        if !self.serves_shard(shard) {
            return;
        }
        let Some(tasks) = self.jobs.task_index.on(shard, &Rc::from(machine)).cloned() else {
            return;
        };
        for task in &tasks {
            self.evaluate_task(&task.job, task.index);
        }
    }

    /// Evaluates all own tasks: views received while this process could not act have
    /// been applied, but nothing has followed from them.
    pub(crate) fn evaluate_all(&mut self) {
        let all: Vec<(usize, Rc<str>)> =
            self.jobs.task_index.shards_and_machines().cloned().collect();
        for (shard, machine) in all {
            self.evaluate_machine(shard, &machine);
        }
    }

    /// Works out what became of a task by the view of its machine, and acts on it.
    fn evaluate_task(&mut self, id: &str, index: u32) {
        match self.verdict_on(id, index) {
            None => {}
            Some(Verdict::Lost) => {
                self.counts.lost += 1;
                self.end_task(id, index, TaskEnd::certain(ObservedState::Stopped));
            }
            Some(Verdict::Ended(end)) => self.end_task(id, index, end),
            Some(Verdict::Observed(observed)) => {
                let (now, wall) = (self.context.now, self.context.wall());
                if let Some(job) = self.jobs.by_id.get_mut(id)
                    && job.note_observed(now, wall, index, observed)
                {
                    self.changes.progress.insert(id.to_string());
                }
                self.stop_for_spot_notice(id, index);
            }
            Some(Verdict::Undecided) => self.stop_for_spot_notice(id, index),
        }
    }

    /// What is known of a task's present attempt; `None` without a placement or a view that
    /// counts.
    fn verdict_on(&self, id: &str, index: u32) -> Option<Verdict> {
        let job = self.jobs.by_id.get(id)?;
        let shard = job.shard;
        let term = self.leading_term(shard)?;
        let placement = job.placement(index)?;
        let machine = &placement.machine;
        if self.machines.is_terminated(machine) {
            return Some(Verdict::Lost);
        }
        // A view of an earlier leader proves nothing any more: the present one
        // may start what that one had refused.
        let present_term = self.leadership.term(self.leadership.shard_of_machine(machine));
        let view = self.machines.view(machine).filter(|view| view.term == present_term)?;
        Some(Attempt { job: id, index, shard, term, placement }.verdict(view))
    }
}
