//! What is to be done on one machine: the difference between what all shards want there
//! and what its newest report says.

use crate::controller::Controller;
use crate::controller::decision_log;
use crate::controller::jobs::job::StoredStage;
use crate::controller::jobs::stage_cache::CachedStage;
use crate::controller::machines::desired_tracking::DesiredState;
use crate::controller::machines::machine::{self, Key, ManagedMachine, Sent};
use crate::controller::machines::start_gate::{
    CommandAuthority, CommandRoute, JobEvidence, StartPermit, StartRefusal, StartViolation,
};
use crate::controller::quota::team_quota::EPS;
use crate::peer::{DesiredTask, ObservedState};
use crate::time::Micros;
use crate::wire::Command;
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet};

/// CPUs, GPUs and memory.
type Amounts = [f64; 3];

/// A task that some shard wants on the machine, and whether it may be started now.
struct DesiredHere<'a> {
    task: &'a DesiredTask,
    permit: Result<StartPermit<'a>, StartRefusal>,
}

/// Commands, and starts that were not formed since they would have broken a rule.
#[derive(Default)]
pub(crate) struct ReconcileOutcome {
    pub(crate) commands: Vec<Command>,
    pub(crate) violations: Vec<StartViolation>,
}

/// What is wanted on one machine and known of the jobs there.
pub(crate) struct Reconciler<'a> {
    machine: &'a str,
    authority: CommandAuthority,
    wanted: Vec<DesiredHere<'a>>,
    /// Attempts of which it is certain that no shard wants them here.
    undesired: BTreeSet<Key>,
    /// What the machine has, if its type is known.
    size: Option<Amounts>,
    stages: &'a BTreeMap<String, CachedStage>,
}

/// What is free on the machine for tasks that are not there yet.
struct FreeCapacity {
    free: Amounts,
    /// Tasks that are to be stopped will free more.
    freeing: bool,
    /// It is not known how much is free.
    unknown: bool,
}

/// Why an attempt on the machine is stopped.
#[derive(Debug, Clone, Copy)]
enum StopReason {
    /// Its owner wants it stopped.
    OwnerAsked,
    /// No shard wants it here.
    Unwanted,
    /// Its job is cancelled.
    Cancelled,
}

impl<'a> Reconciler<'a> {
    /// Gathers what is wanted on a machine. It has few tasks, and this is worked out at
    /// every report.
    pub(crate) fn collect(
        controller: &'a Controller,
        machine: &'a str,
        managed: &ManagedMachine,
        authority: CommandAuthority,
    ) -> Reconciler<'a> {
        let stages = &controller.jobs.cached_stages;
        let desired = || controller.machines.desired.iter().filter_map(|w| w.machines.get(machine));
        let is_desired = |k: &Key| desired().any(|m| m.tasks.iter().any(|t| k.names(t)));
        let undesired = managed
            .attempts()
            .filter(|k| !is_desired(k) && controller.knows_all_desired(&k.job, authority.shard))
            .cloned()
            .collect();
        let machine_type = controller.autoscaler.machine_types.get(&managed.machine_type);
        Reconciler {
            machine,
            authority,
            wanted: desired_here(&controller.machines.desired, stages, machine, authority),
            undesired,
            size: machine_type.map(|t| [t.cpus, t.gpus, t.memory_gb]),
            stages,
        }
    }

    fn find(&self, key: &Key) -> Option<&DesiredHere<'a>> {
        self.wanted.iter().find(|w| key.names(w.task))
    }

    fn cancelled(&self, job: &str) -> bool {
        self.stages.get(job).is_some_and(|known| known.stage == StoredStage::Cancelled)
    }

    /// Whether a start must not be executed any more, and if so why: `None` inside if no
    /// shard wants it.
    pub(crate) fn refusal(&self, key: &Key) -> Option<Option<StartRefusal>> {
        let over = self.stages.get(&key.job).is_some_and(|k| k.stage != StoredStage::Accepted);
        if over {
            return Some(Some(StartRefusal::JobOver));
        }
        match self.find(key) {
            Some(wanted) => wanted.permit.err().filter(|r| r.revokes()).map(Some),
            None => self.undesired.contains(key).then_some(None),
        }
    }

    /// Jobs with tasks on the machine of which nothing is known from the store.
    pub(crate) fn unknown_jobs(&self, managed: &ManagedMachine) -> Vec<String> {
        let here = managed.tasks.iter().filter(|(_, observed)| !observed.over());
        let unknown = here.map(|(k, _)| &k.job).filter(|job| !self.stages.contains_key(*job));
        unknown.cloned().collect()
    }

    /// The commands that make the difference; what they start is booked.
    pub(crate) fn reconcile(
        &self,
        managed: &mut ManagedMachine,
        route: CommandRoute,
    ) -> ReconcileOutcome {
        let mut orders =
            ReconcileOutcome { commands: self.stops(managed, route), violations: Vec::new() };
        self.drop_settled(managed);
        self.starts(managed, route, &mut orders);
        orders
    }

    /// Stops, and removals of what has ended.
    fn stops(&self, managed: &mut ManagedMachine, route: CommandRoute) -> Vec<Command> {
        let mut commands = Vec::new();
        for (key, observed) in &managed.tasks {
            if observed.over() {
                // A start of it that may still arrive would run it anew.
                let forget = route == CommandRoute::Answer
                    && self.undesired.contains(key)
                    && !managed.late.contains_key(key);
                if forget {
                    self.log_forget(key);
                    commands.push(machine::forget(key));
                }
                continue;
            }
            let Some((grace, reason)) = self.stop_of(key, *observed, route) else {
                continue;
            };
            // Direct commands say it once; what is not wanted waits for the report.
            if route == CommandRoute::Answer || managed.stops_sent.insert(key.clone()) {
                self.log_stop(key, reason);
                commands.push(machine::stop(key, grace));
            }
        }
        commands
    }

    /// Whether an attempt that is on the machine is to be stopped, with how much time to
    /// save and why.
    fn stop_of(
        &self,
        key: &Key,
        observed: ObservedState,
        route: CommandRoute,
    ) -> Option<(Micros, StopReason)> {
        if let Some(wanted) = self.find(key) {
            // Its owner may be disconnected, or not know yet.
            let (stop_ms, reason) = match self.cancelled(&key.job) {
                true => (Some(0), StopReason::Cancelled),
                false => (wanted.task.stop_ms, StopReason::OwnerAsked),
            };
            let again = observed != ObservedState::Saving || stop_ms == Some(0);
            return stop_ms.filter(|_| again).map(|ms| (Micros::millis(ms), reason));
        }
        if self.undesired.contains(key) {
            return (route == CommandRoute::Answer).then_some((Micros::ZERO, StopReason::Unwanted));
        }
        self.cancelled(&key.job).then_some((Micros::ZERO, StopReason::Cancelled))
    }

    /// What is not wanted any more, or is to be stopped before it began, is forgotten
    /// once no start of it can arrive.
    fn drop_settled(&self, managed: &mut ManagedMachine) {
        let dropped = |key: &Key| {
            self.undesired.contains(key) || self.find(key).is_some_and(|w| w.permit.is_err())
        };
        managed.sent.retain(|key, sent| sent.open() || !dropped(key));
        managed.refused.retain(|key| !self.undesired.contains(key));
        managed.waiting.retain(|key| !dropped(key));
    }

    /// Starts of what may be started and is not there, the most urgent first.
    fn starts(
        &self,
        managed: &mut ManagedMachine,
        route: CommandRoute,
        orders: &mut ReconcileOutcome,
    ) {
        let mut room = self.room(managed);
        let mut starts: Vec<(Key, &StartPermit<'a>, &DesiredTask)> = self
            .wanted
            .iter()
            .filter_map(|w| w.permit.as_ref().ok().map(|permit| (Key::of(w.task), permit, w.task)))
            .filter(|(k, ..)| !managed.tasks.contains_key(k) && !managed.refused.contains(k))
            .collect();
        starts.sort_by(|a, b| a.2.rank.cmp(&b.2.rank).then_with(|| a.0.cmp(&b.0)));
        for (key, permit, task) in &starts {
            if !managed.sent.contains_key(key) && !self.reserve(managed, &mut room, key, task) {
                continue;
            }
            let Some(sent) = managed.sent.get_mut(key) else {
                continue;
            };
            if route == CommandRoute::Direct && sent.open() {
                continue;
            }
            match permit.command(self.machine, key, route) {
                Ok(command) => orders.commands.push(command),
                Err(violation) => {
                    orders.violations.push(violation);
                    continue;
                }
            }
            match route {
                CommandRoute::Answer => sent.answered = true,
                CommandRoute::Direct => {
                    sent.direct += 1;
                    sent.fencing_token = self.authority.fencing_token;
                }
            }
        }
    }

    /// Books the room for a start; false if it has to wait or is refused.
    fn reserve(
        &self,
        managed: &mut ManagedMachine,
        room: &mut FreeCapacity,
        key: &Key,
        task: &DesiredTask,
    ) -> bool {
        let fits = room.fits(task);
        if room.unknown || (!fits && room.freeing) {
            managed.waiting.insert(key.clone());
            return false;
        }
        managed.waiting.remove(key);
        if !fits {
            debug!("machine {}: no room for {}", self.machine, key.task());
            managed.refused.insert(key.clone());
            return false;
        }
        room.take(task);
        managed.sent.insert(key.clone(), Sent::default());
        true
    }

    /// What is free beside what is there and what was sent.
    fn room(&self, managed: &ManagedMachine) -> FreeCapacity {
        let free = self.size.unwrap_or_default();
        let mut room = FreeCapacity { free, freeing: false, unknown: self.size.is_none() };
        let present = managed.tasks.iter().filter(|(_, observed)| !observed.over());
        for key in present.map(|(k, _)| k).chain(managed.sent.keys()) {
            match self.find(key) {
                Some(wanted) => {
                    room.freeing |= wanted.task.stop_ms.is_some();
                    room.take(wanted.task);
                }
                // How much it takes is not known: nothing is added until it has ended.
                None => room.unknown = true,
            }
        }
        room
    }

    fn log_stop(&self, key: &Key, reason: StopReason) {
        if matches!(reason, StopReason::Unwanted) {
            info!("machine {}: {} is not wanted there", self.machine, key.task());
        }
        let authority = &self.authority;
        debug!(
            target: decision_log::TARGET,
            job = key.job.as_str(), task = key.index, attempt = key.attempt,
            machine = self.machine, incarnation = authority.incarnation,
            shard = authority.shard, term = authority.term, fencing_token = authority.fencing_token,
            reason:? = reason;
            "stop"
        );
    }

    fn log_forget(&self, key: &Key) {
        let authority = &self.authority;
        debug!(
            target: decision_log::TARGET,
            job = key.job.as_str(), task = key.index, attempt = key.attempt,
            machine = self.machine, incarnation = authority.incarnation,
            shard = authority.shard, term = authority.term, fencing_token = authority.fencing_token;
            "forget"
        );
    }
}

/// The tasks that are wanted on a machine, each with whether it may be started.
fn desired_here<'a>(
    desired: &'a [DesiredState],
    stages: &BTreeMap<String, CachedStage>,
    machine: &str,
    authority: CommandAuthority,
) -> Vec<DesiredHere<'a>> {
    let mut list = Vec::new();
    for here in desired.iter().filter_map(|w| w.machines.get(machine)) {
        list.extend(here.tasks.iter().map(|task| {
            let known = stages.get(&task.job);
            let job = known.map(|k| JobEvidence { stage: k.stage, revision: k.revision });
            DesiredHere { task, permit: authority.examine(task, here.known, job) }
        }));
    }
    list
}

impl FreeCapacity {
    fn amounts(task: &DesiredTask) -> Amounts {
        [task.cpus, task.gpus, task.memory_gb]
    }

    fn fits(&self, task: &DesiredTask) -> bool {
        self.free
            .iter()
            .zip(FreeCapacity::amounts(task))
            .all(|(free, amount)| *free + EPS >= amount)
    }

    fn take(&mut self, task: &DesiredTask) {
        for (free, amount) in self.free.iter_mut().zip(FreeCapacity::amounts(task)) {
            *free -= amount;
        }
    }
}
