//! Commands for the machines of own shards: what is wanted there against what is
//! there, sent in answers to reports or directly.

use super::job::StoredStage;
use super::machine::{self, Key};
use super::machine_reports::MAX_NAME;
use super::quota::EPS;
use super::{Controller, DirectReply, Effect, Op};
use crate::peer::{Hint, Seen, WantedTask};
use crate::time::Micros;
use crate::wire::{Command, DirectCommands, Report};
use log::{debug, info};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Machines asked in one turn how they stand, so that a take starves nobody.
const PROBES_PER_TURN: usize = 16;
/// Hints kept at most.
const MAX_HINTS: usize = 10_000;

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
        let known = &self.known;
        let cancelled = |k: &str| known.get(k).is_some_and(|k| k.stage == StoredStage::Cancelled);
        let here = managed.tasks.iter().filter(|(_, seen)| !seen.over()).map(|(k, _)| &k.job);
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
        let mut wanted: Vec<(&WantedTask, bool)> = Vec::new();
        for m in self.desired.iter().filter_map(|w| w.machines.get(machine)) {
            let may = |t: &WantedTask| machine::may_start(t, m.known, term) && !cancelled(&t.job);
            wanted.extend(m.tasks.iter().map(|t| (t, may(t))));
        }
        let find = |k: &Key| wanted.iter().find(|(w, _)| k.names(w)).copied();
        let Some(managed) = self.managed_machines.get_mut(machine) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (key, seen) in &managed.tasks {
            match find(key).map(|(w, _)| w) {
                Some(w) => {
                    // Its owner may be disconnected, or not know yet.
                    let stop_ms = if cancelled(&key.job) { Some(0) } else { w.stop_ms };
                    if let Some(ms) = stop_ms
                        && !seen.over()
                        && (*seen != Seen::Saving || ms == 0)
                        && (way == Way::Answer || managed.stops_sent.insert(key.clone()))
                    {
                        commands.push(machine::stop(key, Micros::millis(ms)));
                    }
                }
                None if unwanted.contains(key) => {
                    if seen.over() {
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
                    && !seen.over()
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

        let amount = |w: &WantedTask| [w.cpus, w.gpus, w.memory_gb];
        let mut free = size.unwrap_or_default();
        let mut freeing = false;
        let mut strange = size.is_none();
        let present = managed.tasks.iter().filter(|(_, seen)| !seen.over()).map(|(k, _)| k);
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
        let mut starts: Vec<(Key, &WantedTask)> = wanted
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

    /// Sends what is new straight to the worker, instead of waiting for its
    /// next report.
    pub(super) fn push(&mut self, machine: &str) {
        let s = self.shard_of_machine(machine);
        let Some(term) = self.owned_term(s) else {
            return;
        };
        let Some(managed) = self.managed_machines.get(machine) else {
            return;
        };
        // A worker that is silent is not waited for with further connections.
        let quiet = managed.last_report.is_none_or(|at| self.now.since(at) > self.silent());
        if !managed.known || managed.direct_busy || quiet || self.now < managed.direct_after {
            return;
        }
        let (Some(address), session) = (managed.address, managed.session) else {
            return;
        };
        let commands = self.commands(machine, Way::Direct);
        if commands.is_empty() {
            return;
        }
        let starts: Vec<Key> = commands
            .iter()
            .filter_map(|c| match c {
                Command::Start { task, attempt } => Key::parse(task, *attempt),
                _ => None,
            })
            .collect();
        if let Some(managed) = self.managed_machines.get_mut(machine) {
            managed.direct_busy = true;
        }
        let body = DirectCommands { token: term, session, commands };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let id = self.call_id(Op::Direct { machine: machine.to_string(), starts, term });
        self.out.push(Effect::Direct { id, address, body });
    }

    /// A peer tells where a machine was when it last knew of it.
    pub(super) fn apply_hint(&mut self, hint: Hint) {
        let known =
            self.managed_machines.get(&hint.machine).is_some_and(|p| p.last_report.is_some());
        if known
            || self.terminated.contains(&hint.machine)
            || hint.machine.len() > MAX_NAME
            || self.hints.len() >= MAX_HINTS
        {
            return;
        }
        if let Ok(address) = hint.address.parse() {
            self.hints.insert(hint.machine.clone(), (hint.session, address));
            self.probes.insert(hint.machine);
        }
    }

    /// Asks machines of a shard that was just taken how they stand, by commands
    /// that order nothing. They would report within their period only, and a
    /// second time under the new term before anything may be sent to them.
    pub(super) fn send_probes(&mut self) {
        if !self.acting() {
            return;
        }
        let mut sent = 0;
        while sent < PROBES_PER_TURN
            && let Some(machine) = self.probes.pop_first()
        {
            let s = self.shard_of_machine(&machine);
            if self.owned_term(s).is_none() {
                // Kept among the hints until the shard is taken.
                continue;
            }
            let Some((session, address)) = self.hints.remove(&machine) else {
                continue;
            };
            if self.terminated.contains(&machine) {
                continue;
            }
            let managed = self.managed_machines.entry(machine.clone()).or_default();
            if managed.known || managed.last_report.is_some() || managed.direct_busy {
                continue;
            }
            // The session is not taken over: what it is now, its answer says.
            self.ask(&machine, session, address);
            sent += 1;
        }
    }

    pub(super) fn direct_reply(
        &mut self,
        machine: &str,
        starts: &[Key],
        term: u64,
        reply: DirectReply,
    ) {
        let s = self.shard_of_machine(machine);
        if self.shards[s].owned.as_ref().is_none_or(|m| m.term != term) {
            return;
        }
        let now = self.now;
        let Some(managed) = self.managed_machines.get_mut(machine) else {
            return;
        };
        let (executed, body) = match reply {
            DirectReply::Answered { status: 200, body } => (Some(true), Some(body)),
            DirectReply::Answered { status: 400..=499, body } => (Some(false), Some(body)),
            DirectReply::Answered { .. } | DirectReply::Unknown => (None, None),
            DirectReply::NotSent => (Some(false), None),
        };
        managed.direct_ended(starts, executed);
        match executed {
            Some(true) => managed.unresponsive = false,
            Some(false) => {}
            // Until something shows that it receives commands, it is given nothing more.
            None => {
                debug!("machine {machine} did not answer commands");
                managed.unresponsive = true;
            }
        }
        if executed != Some(true) {
            // Its reports carry the commands meanwhile.
            managed.direct_after = now + Micros::secs(5);
        }
        let report = body.and_then(|b| serde_json::from_slice::<Report>(&b).ok());
        if let Some(report) = report.filter(|r| r.machine == machine && r.token <= term)
            && let Some(outcomes) = managed.take_report(now, &report, term, false)
        {
            self.note_outcomes(machine, outcomes);
        }
        self.push(machine);
        self.changes.machines.insert(machine.to_string());
    }

    /// Sends commands that order nothing: the answer shows that it receives commands.
    pub(super) fn ask(&mut self, machine: &str, session: u64, address: SocketAddrV4) {
        let Some(term) = self.owned_term(self.shard_of_machine(machine)) else {
            return;
        };
        let Some(managed) = self.managed_machines.get_mut(machine).filter(|p| !p.direct_busy)
        else {
            return;
        };
        managed.direct_busy = true;
        let body = DirectCommands { token: term, session, commands: Vec::new() };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let op = Op::Direct { machine: machine.to_string(), starts: Vec::new(), term };
        let id = self.call_id(op);
        self.out.push(Effect::Direct { id, address, body });
    }
}
