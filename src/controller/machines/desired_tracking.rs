//! What was received of the shards' desired state: which tasks each of them wants on
//! which machine, and how much of that is known here.

use crate::controller::Controller;
use crate::controller::quota::team_quota;
use crate::peer::{DesiredTask, DesiredUpdate, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// Desired state of a shard, as received.
#[derive(Debug, Clone, Default)]
pub(crate) struct DesiredState {
    pub(crate) term: u64,
    /// Newest message of the term.
    pub(crate) seq: u64,
    /// Newest message that named all machines; 0: none yet in this term.
    pub(crate) complete: u64,
    /// Terms of all shards that its sender knew with the newest message.
    pub(crate) known_terms: Vec<u64>,
    pub(crate) machines: BTreeMap<String, DesiredOnMachine>,
    /// What the tasks use, by team.
    pub(crate) usage: BTreeMap<String, team_quota::Amount>,
}

/// What a shard wants on one machine, as received.
#[derive(Debug, Clone, Default)]
pub(crate) struct DesiredOnMachine {
    /// Number of the message.
    pub(crate) seq: u64,
    /// Term of the machine's shard that the sender knew.
    pub(crate) known: u64,
    pub(crate) tasks: Vec<DesiredTask>,
}

impl DesiredState {
    /// Adds tasks to the sums of what teams use, or takes them away.
    pub(crate) fn count(&mut self, tasks: &[DesiredTask], sign: f64) {
        for t in tasks.iter().filter(|t| t.phase() != Phase::Over) {
            let u = self.usage.entry(t.team.clone()).or_default();
            u[0] += sign * t.cpus;
            u[1] += sign * t.gpus;
        }
    }
}

impl Controller {
    /// Takes in what a shard wants on machines.
    pub(crate) fn apply_desired_state(&mut self, message: DesiredUpdate) {
        let s = message.shard;
        if s >= self.machines.desired.len() || message.term < self.leadership.shards[s].term {
            return;
        }
        let current = &mut self.machines.desired[s];
        // After a gap the whole is told again, under its old number if nothing of it has
        // changed: dropped as old, all later changes of it would be, too.
        let again = message.complete
            && current.complete == 0
            && (message.term, message.seq) == (current.term, current.seq);
        if !again && (message.term, message.seq) <= (current.term, current.seq) {
            return;
        }
        if message.term > current.term {
            // Starts asked for under the older term are dropped here; what
            // runs stays until the new holder has said all it wants.
            current.term = message.term;
            current.complete = 0;
        }
        if !message.complete && current.complete == 0 {
            // Changes to a whole that has not been current; its number is not
            // taken over, or the whole would seem to be known already.
            return;
        }
        current.seq = message.seq;
        current.known_terms.clone_from(&message.known_terms);
        let mut touched: BTreeSet<String> = BTreeSet::new();
        if message.complete {
            current.complete = message.seq;
            current.usage.clear();
            touched.extend(std::mem::take(&mut current.machines).into_keys());
        }
        let now = self.context.now;
        for (machine, known, tasks) in message.machines {
            touched.insert(machine.clone());
            let current = &mut self.machines.desired[s];
            let old = current.machines.get(&machine).map_or(&[][..], |old| &old.tasks);
            for t in &tasks {
                // What was wanted before has been noted.
                let there = |o: &DesiredTask| {
                    o.attempt == t.attempt && o.index == t.index && o.job == t.job
                };
                if t.stop_ms.is_none() && !old.iter().any(there) {
                    self.scheduler.images.note(now, &t.image, &machine, t.incarnation);
                }
            }
            current.count(&tasks, 1.0);
            let h = crate::controller::leadership::shard::shard_of_machine(
                &machine,
                self.leadership.shards.len(),
            );
            let known = match known {
                0 => message.terms.get(h).copied().unwrap_or(0),
                known => known,
            };
            let new = DesiredOnMachine { seq: message.seq, known, tasks };
            if let Some(old) = current.machines.insert(machine, new) {
                current.count(&old.tasks, -1.0);
            }
        }
        for machine in touched {
            self.desired_state_changed(&machine);
        }
    }

    fn desired_state_changed(&mut self, machine: &str) {
        self.scheduler.placement_due = true;
        self.mark_capacity_stale(machine);
        if self.leading_term(self.shard_of_machine(machine)).is_none()
            || self.machines.terminated.contains(machine)
        {
            return;
        }
        self.machines.managed.entry(machine.to_string()).or_default();
        self.send_direct_commands(machine);
        self.changes.machines.insert(machine.to_string());
    }

    /// Whether everything that the job's shard wants on machines of a shard has been
    /// received: only then does a task's absence from the desired state mean that it is not
    /// wanted. What was received before the machine's shard changed hands is no longer
    /// all: its owner may have had more begun there through the earlier holder.
    pub(crate) fn knows_all_desired(&self, job: &str, at: usize) -> bool {
        let term = self.leadership.shards[at].term;
        let complete = |s: usize| {
            let w = &self.machines.desired[s];
            let known_terms = w.known_terms.get(at).copied().unwrap_or(0);
            w.complete > 0 && w.term == self.leadership.shards[s].term && known_terms >= term
        };
        match self.jobs.cached_stages.get(job) {
            Some(k) if k.shard < self.machines.desired.len() => complete(k.shard),
            _ => (0..self.machines.desired.len()).all(complete),
        }
    }
}
