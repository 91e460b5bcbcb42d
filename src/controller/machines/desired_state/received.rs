//! Desired state of all shards, as received from their leaders, and whether it is complete.

use crate::controller::Controller;
use crate::controller::leadership::shard;
use crate::controller::quota::amount::QuotaAmount;
use crate::peer::{AppliedUpdate, DesiredTask, DesiredUpdate, MachineDesired, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// Desired state of one shard, as received.
#[derive(Debug, Clone, Default)]
pub(crate) struct DesiredState {
    /// Term of the shard under which it was sent.
    pub(crate) term: u64,
    /// Sequence number of the newest message of the term.
    pub(crate) seq: u64,
    /// Sequence number of the newest message that named all machines. 0 if none was received
    /// in this term, or if a later message may have been lost.
    last_complete_seq: u64,
    /// Terms of all shards, indexed by shard, that the sender knew with the newest message.
    pub(crate) known_terms: Vec<u64>,
    /// Desired tasks by machine.
    pub(crate) machines: BTreeMap<String, DesiredOnMachine>,
    /// Resources of the desired tasks, except ended ones, by team.
    pub(crate) usage: BTreeMap<String, QuotaAmount>,
}

/// Tasks that a shard desires on one machine, as received.
#[derive(Debug, Clone, Default)]
pub(crate) struct DesiredOnMachine {
    /// Sequence number of the message that contained them.
    seq: u64,
    /// Term of the machine's shard that the sender knew; 0 if it knew none.
    pub(crate) known_machine_term: u64,
    /// Desired tasks, including attempts whose end is not stored yet.
    pub(crate) tasks: Vec<DesiredTask>,
}

impl DesiredState {
    /// Whether the desired tasks of all machines are known, so that a task that is absent is
    /// definitely not desired.
    pub(crate) fn is_complete(&self) -> bool {
        self.last_complete_seq > 0
    }

    /// Records that a message may have been lost: a task that is absent may still be desired.
    pub(crate) fn mark_incomplete(&mut self) {
        self.last_complete_seq = 0;
    }

    /// Whether the state is complete for the machines of `machine_shard`: it comes from the
    /// shard's leader under `term`, and that leader knew at least `machine_term` as the term of
    /// the machines' shard.
    pub(crate) fn is_complete_for(
        &self,
        term: u64,
        machine_shard: usize,
        machine_term: u64,
    ) -> bool {
        let known_machine_term = self.known_terms.get(machine_shard).copied().unwrap_or(0);
        self.is_complete() && self.term == term && known_machine_term >= machine_term
    }

    /// The newest message of this state's shard, number `shard`, that is taken into account for
    /// a machine; `None` while the state is incomplete.
    pub(crate) fn applied(&self, shard: usize, machine: &str) -> Option<AppliedUpdate> {
        let seq = self.machines.get(machine).map_or(0, |desired| desired.seq);
        self.is_complete().then(|| AppliedUpdate {
            shard: shard as u32,
            term: self.term,
            seq: seq.max(self.last_complete_seq),
        })
    }

    /// Applies the header of a message: term, sequence number and known terms. Returns whether
    /// its machines are to be applied as well.
    fn accept(&mut self, update: &DesiredUpdate) -> bool {
        // After a gap the sender repeats its complete state, under the old sequence number if
        // nothing has changed since. If that message were dropped as old, the state would stay
        // incomplete and all later updates would be dropped as well.
        let fills_gap = update.complete
            && !self.is_complete()
            && (update.term, update.seq) == (self.term, self.seq);
        if !fills_gap && (update.term, update.seq) <= (self.term, self.seq) {
            return false;
        }
        if update.term > self.term {
            // The state is incomplete until the new leader's complete state has arrived, so no
            // running task of the shard's jobs counts as undesired before that. The complete state
            // replaces all tasks desired under the older term, including starts not sent yet.
            self.term = update.term;
            self.mark_incomplete();
        }
        if !update.complete && !self.is_complete() {
            // These changes apply to a complete state that was not received. Their sequence
            // number is not adopted: the complete state would then be dropped as old.
            return false;
        }
        self.seq = update.seq;
        self.known_terms.clone_from(&update.known_terms);
        true
    }

    /// Clears the state before a message that names all machines is applied. Returns the
    /// machines that had desired tasks.
    fn begin_complete(&mut self) -> impl Iterator<Item = String> {
        self.last_complete_seq = self.seq;
        self.usage.clear();
        std::mem::take(&mut self.machines).into_keys()
    }

    /// The tasks that are desired on a machine.
    pub(crate) fn tasks_on(&self, machine: &str) -> &[DesiredTask] {
        self.machines.get(machine).map_or(&[], |desired| &desired.tasks)
    }

    /// Replaces the desired tasks of a machine.
    fn replace(&mut self, machine: String, desired: DesiredOnMachine) {
        self.adjust_usage(&desired.tasks, 1.0);
        if let Some(old) = self.machines.insert(machine, desired) {
            self.adjust_usage(&old.tasks, -1.0);
        }
    }

    /// Adds the resources of tasks to the usage of their teams, or subtracts them if `sign` is
    /// -1. Ended attempts are not counted.
    fn adjust_usage(&mut self, tasks: &[DesiredTask], sign: f64) {
        for task in tasks.iter().filter(|task| task.phase() != Phase::Ended) {
            let usage = self.usage.entry(task.team.clone()).or_default();
            usage.cpus += sign * task.cpus;
            usage.gpus += sign * task.gpus;
        }
    }
}

impl Controller {
    /// Applies a message with a shard's desired state.
    pub(crate) fn apply_desired_state(&mut self, update: DesiredUpdate) {
        let shards = self.leadership.shard_count();
        let Some(state) = self.machines.desired.get_mut(update.shard) else {
            return;
        };
        if update.term < self.leadership.term(update.shard) || !state.accept(&update) {
            return;
        }
        let mut touched: BTreeSet<String> = BTreeSet::new();
        if update.complete {
            touched.extend(state.begin_complete());
        }
        let now = self.context.now;
        for MachineDesired { machine, known_term, tasks } in update.machines {
            touched.insert(machine.clone());
            let before = state.tasks_on(&machine);
            for task in &tasks {
                // The images of tasks that were already desired have been recorded before.
                let is_same = |old: &DesiredTask| {
                    old.attempt == task.attempt && old.index == task.index && old.job == task.job
                };
                if task.stop_ms.is_none() && !before.iter().any(is_same) {
                    self.scheduler.record_image(now, &task.image, &machine, task.incarnation);
                }
            }
            let known_machine_term = match known_term {
                0 => {
                    let machine_shard = shard::shard_of_machine(&machine, shards);
                    update.terms.get(machine_shard).copied().unwrap_or(0)
                }
                term => term,
            };
            state.replace(machine, DesiredOnMachine { seq: update.seq, known_machine_term, tasks });
        }
        for machine in &touched {
            self.desired_state_changed(machine);
        }
        self.read_jobs_desired_by(&[update.shard], &touched);
    }

    /// Handles a possible change of the desired tasks of a machine: recomputes its free
    /// capacity, and if this process leads its shard, reconciles it.
    fn desired_state_changed(&mut self, machine: &str) {
        self.scheduler.request_pass();
        self.scheduler.mark_stale(machine);
        if self.leading_term(self.shard_of_machine(machine)).is_none()
            || self.machines.terminated.contains(machine)
        {
            return;
        }
        self.machines.managed.entry(machine.to_string()).or_default();
        self.send_direct_commands(machine);
        self.changes.machines.insert(machine.to_string());
    }
}
