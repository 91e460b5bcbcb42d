//! Commands for the machines of own shards: what is wanted there against what is
//! there, sent in answers to reports or directly.

use super::Controller;
use super::job::StoredStage;
use super::machine::{self, Key};
use super::quota::EPS;
use crate::peer::{DesiredTask, ObservedState};
use crate::time::Micros;
use crate::wire::Command;
use log::{debug, info};
use std::collections::BTreeSet;

/// Why commands are worked out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    /// For the answer to a report: everything that is still to be done.
    Answer,
    /// For direct commands: only what has not been sent yet.
    Direct,
}

impl Controller {
    /// Works out the commands for a machine, and books what they start.
    pub(super) fn commands(&mut self, machine: &str, way: Way) -> Vec<Command> {
        let at = self.shard_of_machine(machine);
        let term = self.shards[at].term;
        let Some(managed) = self.managed_machines.get(machine) else {
            return Vec::new();
        };
        // All is decided by what is wanted and what is there; a machine has few
        // tasks, and this is worked out at every report.
        let desired = || self.desired.iter().filter_map(|w| w.machines.get(machine));
        let is_wanted = |k: &Key| desired().any(|m| m.tasks.iter().any(|t| k.names(t)));
        let known = &self.cached_stages;
        let cancelled = |k: &str| known.get(k).is_some_and(|k| k.stage == StoredStage::Cancelled);
        let here =
            managed.tasks.iter().filter(|(_, observed)| !observed.over()).map(|(k, _)| &k.job);
        let unknown: Vec<String> = here.filter(|j| !known.contains_key(*j)).cloned().collect();
        let unwanted: BTreeSet<Key> = managed
            .tasks
            .keys()
            .chain(managed.sent.keys())
            .chain(&managed.refused)
            .chain(&managed.waiting)
            .filter(|k| !is_wanted(k) && self.knows_all_desired(&k.job, at))
            .cloned()
            .collect();
        let size = self.types.get(&managed.machine_type).map(|t| [t.cpus, t.gpus, t.memory_gb]);
        let mut wanted: Vec<(&DesiredTask, bool)> = Vec::new();
        for m in self.desired.iter().filter_map(|w| w.machines.get(machine)) {
            let may = |t: &DesiredTask| machine::may_start(t, m.known, term) && !cancelled(&t.job);
            wanted.extend(m.tasks.iter().map(|t| (t, may(t))));
        }
        let find = |k: &Key| wanted.iter().find(|(w, _)| k.names(w)).copied();
        let Some(managed) = self.managed_machines.get_mut(machine) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (key, observed) in &managed.tasks {
            match find(key).map(|(w, _)| w) {
                Some(w) => {
                    // Its owner may be disconnected, or not know yet.
                    let stop_ms = if cancelled(&key.job) { Some(0) } else { w.stop_ms };
                    if let Some(ms) = stop_ms
                        && !observed.over()
                        && (*observed != ObservedState::Saving || ms == 0)
                        && (way == Way::Answer || managed.stops_sent.insert(key.clone()))
                    {
                        commands.push(machine::stop(key, Micros::millis(ms)));
                    }
                }
                None if unwanted.contains(key) => {
                    if observed.over() {
                        // A start of it that may still arrive would run it anew.
                        if way == Way::Answer && !managed.late.contains(key) {
                            commands.push(machine::forget(key));
                        }
                    } else if way == Way::Answer {
                        info!("machine {machine}: {} is not wanted there", key.task());
                        commands.push(machine::stop(key, Micros::ZERO));
                    }
                }
                None if cancelled(&key.job)
                    && !observed.over()
                    && (way == Way::Answer || managed.stops_sent.insert(key.clone())) =>
                {
                    commands.push(machine::stop(key, Micros::ZERO));
                }
                None => {}
            }
        }
        // What is not wanted any more, or is to be stopped before it began,
        // is forgotten once no start of it can arrive.
        let dropped = |key: &Key| {
            unwanted.contains(key) || find(key).is_some_and(|(_, startable)| !startable)
        };
        managed.sent.retain(|key, sent| sent.open() || !dropped(key));
        managed.refused.retain(|key| !unwanted.contains(key));
        managed.waiting.retain(|key| !dropped(key));

        let amount = |w: &DesiredTask| [w.cpus, w.gpus, w.memory_gb];
        let mut free = size.unwrap_or_default();
        let mut freeing = false;
        let mut strange = size.is_none();
        let present = managed.tasks.iter().filter(|(_, observed)| !observed.over()).map(|(k, _)| k);
        for key in present.chain(managed.sent.keys()) {
            match find(key).map(|(w, _)| w) {
                Some(w) => {
                    freeing |= w.stop_ms.is_some();
                    for (f, a) in free.iter_mut().zip(amount(w)) {
                        *f -= a;
                    }
                }
                // How much it takes is not known: nothing is added until it has ended.
                None => strange = true,
            }
        }
        let mut starts: Vec<(Key, &DesiredTask)> = wanted
            .iter()
            .filter(|(w, startable)| *startable && w.session == managed.session)
            .map(|(w, _)| (Key::of(w), *w))
            .filter(|(k, _)| !managed.tasks.contains_key(k) && !managed.refused.contains(k))
            .collect();
        starts.sort_by(|a, b| a.1.rank.cmp(&b.1.rank).then_with(|| a.0.cmp(&b.0)));
        for (key, w) in &starts {
            if !managed.sent.contains_key(key) {
                let fits = free.iter().zip(amount(w)).all(|(f, a)| *f + EPS >= a);
                if strange || (!fits && freeing) {
                    managed.waiting.insert(key.clone());
                    continue;
                }
                if !fits {
                    debug!("machine {machine}: no room for {}", key.task());
                    managed.waiting.remove(key);
                    managed.refused.insert(key.clone());
                    continue;
                }
                for (f, a) in free.iter_mut().zip(amount(w)) {
                    *f -= a;
                }
                managed.waiting.remove(key);
                managed.sent.insert(key.clone(), machine::Sent::default());
            }
            let Some(sent) = managed.sent.get_mut(key) else {
                continue;
            };
            match way {
                Way::Answer => {
                    sent.answered = true;
                    commands.push(machine::start(key));
                }
                Way::Direct if !sent.open() => {
                    sent.direct += 1;
                    commands.push(machine::start(key));
                }
                Way::Direct => {}
            }
        }
        self.note_unknown(unknown);
        commands
    }
}
