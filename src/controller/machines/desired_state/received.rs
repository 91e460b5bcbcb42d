//! What was received of the shards' desired state: which tasks each of them desires on
//! which machine, and how much of that is known here.

use crate::controller::Controller;
use crate::controller::leadership::shard;
use crate::controller::quota::amount::QuotaAmount;
use crate::peer::{AppliedUpdate, DesiredTask, DesiredUpdate, MachineDesired, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// Desired state of a shard, as received.
#[derive(Debug, Clone, Default)]
pub(crate) struct DesiredState {
    /// Term of the shard under which it was sent.
    pub(crate) term: u64,
    /// Number of the newest message of the term.
    pub(crate) seq: u64,
    /// Number of the newest message that named all machines; 0: none yet in this term, or
    /// some message after it was lost.
    last_complete_seq: u64,
    /// Terms of all shards that the sender knew with the newest message.
    pub(crate) known_terms: Vec<u64>,
    /// By machine.
    pub(crate) machines: BTreeMap<String, DesiredOnMachine>,
    /// What the tasks use, by team.
    pub(crate) usage: BTreeMap<String, QuotaAmount>,
}

/// What a shard desires on one machine, as received.
#[derive(Debug, Clone, Default)]
pub(crate) struct DesiredOnMachine {
    /// Number of the message.
    seq: u64,
    /// Term of the machine's shard that the sender knew.
    pub(crate) known_machine_term: u64,
    /// The tasks.
    pub(crate) tasks: Vec<DesiredTask>,
}

impl DesiredState {
    /// Whether all machines' tasks are known, so that what is absent is not desired.
    pub(crate) fn is_complete(&self) -> bool {
        self.last_complete_seq > 0
    }

    /// Records that a message may have been lost: what is absent may be desired.
    pub(crate) fn mark_incomplete(&mut self) {
        self.last_complete_seq = 0;
    }

    /// Whether all is known that the shard's leader of this term desires on the machines of
    /// another shard, whose term it knew.
    pub(crate) fn is_complete_for(
        &self,
        term: u64,
        machine_shard: usize,
        machine_term: u64,
    ) -> bool {
        let known_machine_term = self.known_terms.get(machine_shard).copied().unwrap_or(0);
        self.is_complete() && self.term == term && known_machine_term >= machine_term
    }

    /// Which of the messages of the shard with this number what is done on a machine has
    /// taken into account.
    pub(crate) fn applied(&self, shard: usize, machine: &str) -> Option<AppliedUpdate> {
        let seq = self.machines.get(machine).map_or(0, |desired| desired.seq);
        self.is_complete().then(|| AppliedUpdate {
            shard: shard as u32,
            term: self.term,
            seq: seq.max(self.last_complete_seq),
        })
    }

    /// Applies the head of a message. Returns whether its machines are to be applied, too.
    fn accept(&mut self, update: &DesiredUpdate) -> bool {
        // After a gap the whole is repeated, under its old number if nothing of it has
        // changed: dropped as old, all later changes of it would be, too.
        let fills_gap = update.complete
            && !self.is_complete()
            && (update.term, update.seq) == (self.term, self.seq);
        if !fills_gap && (update.term, update.seq) <= (self.term, self.seq) {
            return false;
        }
        if update.term > self.term {
            // Starts desired under the older term are dropped here; what
            // runs stays until the new leader has sent all that it desires.
            self.term = update.term;
            self.mark_incomplete();
        }
        if !update.complete && !self.is_complete() {
            // Changes to a whole that was not received; their number is not
            // adopted, or the whole would seem to be known already.
            return false;
        }
        self.seq = update.seq;
        self.known_terms.clone_from(&update.known_terms);
        true
    }

    /// Forgets all that was desired, before a message that names all machines. Returns the
    /// machines on which anything was desired.
    fn begin_complete(&mut self) -> impl Iterator<Item = String> {
        self.last_complete_seq = self.seq;
        self.usage.clear();
        std::mem::take(&mut self.machines).into_keys()
    }

    /// The tasks that are desired on a machine.
    fn tasks_on(&self, machine: &str) -> &[DesiredTask] {
        self.machines.get(machine).map_or(&[], |desired| &desired.tasks)
    }

    /// Replaces what is desired on a machine.
    fn replace(&mut self, machine: String, desired: DesiredOnMachine) {
        self.count_usage(&desired.tasks, 1.0);
        if let Some(old) = self.machines.insert(machine, desired) {
            self.count_usage(&old.tasks, -1.0);
        }
    }

    /// Adds tasks to the sums of what teams use, or with a sign of -1 subtracts them.
    fn count_usage(&mut self, tasks: &[DesiredTask], sign: f64) {
        for task in tasks.iter().filter(|task| task.phase() != Phase::Over) {
            let usage = self.usage.entry(task.team.clone()).or_default();
            usage.cpus += sign * task.cpus;
            usage.gpus += sign * task.gpus;
        }
    }
}

impl Controller {
    /// Applies a message of a shard's desired state.
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
                // What was desired before has been noted.
                let is_same = |old: &DesiredTask| {
                    old.attempt == task.attempt && old.index == task.index && old.job == task.job
                };
                if task.stop_ms.is_none() && !before.iter().any(is_same) {
                    self.scheduler.note_image(now, &task.image, &machine, task.incarnation);
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
        for machine in touched {
            self.desired_state_changed(&machine);
        }
    }

    /// What is desired on a machine may have changed: it is reconciled, and its capacity is
    /// computed anew.
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
