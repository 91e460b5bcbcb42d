//! What is to be done on one machine: the difference between what all shards desire there
//! and what its newest heartbeat says.

use crate::controller::autoscaler::machine_types::MachineTypeCatalogue;
use crate::controller::decision_log;
use crate::controller::jobs::job::StoredStage;
use crate::controller::jobs::stage_cache::StageCache;
use crate::controller::leadership::shard::Shard;
use crate::controller::machines::attempt::AttemptId;
use crate::controller::machines::desired_state::received::DesiredState;
use crate::controller::machines::machine::ManagedMachine;
use crate::controller::machines::machine::starts::StartInFlight;
use crate::controller::machines::remaining_capacity::RemainingCapacity;
use crate::controller::machines::start_gate::{
    CommandAuthority, CommandRoute, JobEvidence, RevocationReason, StartPermit, StartRefusal,
    StartViolation,
};
use crate::peer::{DesiredTask, ObservedState};
use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::Command;
use log::{debug, info};
use std::collections::BTreeSet;

/// What reconciliation rests on beside the machine itself.
#[derive(Clone, Copy)]
pub(crate) struct ReconcileInputs<'a> {
    /// What each shard desires on machines, by shard.
    pub(crate) desired: &'a [DesiredState],
    /// All shards, by number, with their terms.
    pub(crate) shards: &'a [Shard],
    /// What is known of jobs' stages, by job.
    pub(crate) stages: &'a StageCache,
    /// All machine types.
    pub(crate) machine_types: &'a MachineTypeCatalogue,
}

impl ReconcileInputs<'_> {
    /// Whether everything that the job's shard desires on machines of a shard has been
    /// received: only then does a task's absence from the desired state mean that it is not
    /// desired. What was received before the machine's shard changed its leader is no longer
    /// all: the task's owner may have had more begun there through the earlier leader.
    fn knows_all_desired(&self, job: &str, machine_shard: usize) -> bool {
        let term = self.shards[machine_shard].term;
        let is_complete = |shard: usize| {
            self.desired[shard].is_complete_for(self.shards[shard].term, machine_shard, term)
        };
        match self.stages.get(job) {
            Some(known) if known.shard < self.desired.len() => is_complete(known.shard),
            _ => (0..self.desired.len()).all(is_complete),
        }
    }
}

/// A task that some shard desires on the machine, and whether it may be started now.
struct DesiredStart<'a> {
    task: &'a DesiredTask,
    permit: Result<StartPermit<'a>, StartRefusal>,
}

/// What reconciliation has concluded.
#[derive(Default)]
pub(crate) struct ReconcileOutcome {
    /// Commands that close the difference.
    pub(crate) commands: Vec<Command>,
    /// Starts that were not formed since they would have broken a rule.
    pub(crate) violations: Vec<StartViolation>,
}

/// What is desired on one machine and known of the jobs there.
pub(crate) struct Reconciler<'a> {
    machine: &'a str,
    authority: CommandAuthority,
    desired: Vec<DesiredStart<'a>>,
    /// Attempts of which it is certain that no shard desires them here.
    undesired: BTreeSet<AttemptId>,
    /// What the machine has, if its type is known.
    size: Option<Resources>,
    stages: &'a StageCache,
}

/// A start that is permitted, of an attempt that is not on the machine.
struct PermittedStart<'a> {
    attempt: AttemptId,
    permit: &'a StartPermit<'a>,
    task: &'a DesiredTask,
}

/// How and why an attempt on the machine is stopped.
#[derive(Debug, Clone, Copy)]
struct StopDecision {
    /// How much time it has to save a checkpoint.
    grace: Micros,
    reason: StopReason,
}

/// Why an attempt on the machine is stopped.
#[derive(Debug, Clone, Copy)]
enum StopReason {
    /// Its owner desires that it stops.
    OwnerRequested,
    /// No shard desires it here.
    DesiredByNoShard,
    /// Its job is cancelled.
    Cancelled,
}

impl StopDecision {
    /// Without time to save a checkpoint.
    fn at_once(reason: StopReason) -> StopDecision {
        StopDecision { grace: Micros::ZERO, reason }
    }
}

impl<'a> Reconciler<'a> {
    /// Gathers what is desired on a machine. It has few tasks, and this is computed at
    /// every heartbeat.
    pub(crate) fn collect(
        inputs: ReconcileInputs<'a>,
        machine: &'a str,
        managed: &ManagedMachine,
        authority: CommandAuthority,
    ) -> Reconciler<'a> {
        let on_machine = || inputs.desired.iter().filter_map(|shard| shard.machines.get(machine));
        let is_desired =
            |a: &AttemptId| on_machine().any(|m| m.tasks.iter().any(|t| a.identifies(t)));
        let undesired = managed
            .attempts()
            .filter(|a| !is_desired(a) && inputs.knows_all_desired(&a.job, authority.shard))
            .cloned()
            .collect();
        let machine_type = inputs.machine_types.get(&managed.description.machine_type);
        Reconciler {
            machine,
            authority,
            desired: desired_starts(inputs, machine, authority),
            undesired,
            size: machine_type.map(Resources::from),
            stages: inputs.stages,
        }
    }

    fn find(&self, attempt: &AttemptId) -> Option<&DesiredStart<'a>> {
        self.desired.iter().find(|desired| attempt.identifies(desired.task))
    }

    fn is_cancelled(&self, job: &str) -> bool {
        self.stages.is_cancelled(job)
    }

    /// Why a start that may still arrive must not be executed any more; `None` if it may be.
    pub(crate) fn revocation_reason(&self, attempt: &AttemptId) -> Option<RevocationReason> {
        let stage = self.stages.stage(&attempt.job);
        if stage.is_some_and(|stage| stage != StoredStage::Accepted) {
            return Some(RevocationReason::Refused(StartRefusal::JobOver));
        }
        match self.find(attempt) {
            Some(desired) => {
                let refusal = desired.permit.err().filter(|refusal| refusal.revokes());
                refusal.map(RevocationReason::Refused)
            }
            None => self.undesired.contains(attempt).then_some(RevocationReason::DesiredByNoShard),
        }
    }

    /// Jobs with tasks on the machine of which nothing is known from the store.
    pub(crate) fn unknown_jobs(&self, managed: &ManagedMachine) -> Vec<String> {
        let jobs = managed.present_tasks().map(|attempt| &attempt.job);
        jobs.filter(|job| !self.stages.contains(job)).cloned().collect()
    }

    /// The commands that close the difference. The capacity for what they start is reserved,
    /// and the starts are in flight from now on.
    pub(crate) fn reconcile(
        &self,
        managed: &mut ManagedMachine,
        route: CommandRoute,
    ) -> ReconcileOutcome {
        let mut outcome =
            ReconcileOutcome { commands: self.stops(managed, route), violations: Vec::new() };
        self.drop_obsolete_starts(managed);
        self.starts(managed, route, &mut outcome);
        outcome
    }

    /// Stops, and removals of what has ended.
    fn stops(&self, managed: &mut ManagedMachine, route: CommandRoute) -> Vec<Command> {
        let in_response = route == CommandRoute::HeartbeatResponse;
        let mut commands = Vec::new();
        for (attempt, observed) in &managed.tasks {
            if observed.over() {
                // If it were forgotten, a start of it that may still arrive would run it anew.
                let forget = in_response
                    && self.undesired.contains(attempt)
                    && !managed.starts.may_start_again.contains_key(attempt);
                if forget {
                    decision_log::forget(self.authority.evidence(self.machine), attempt);
                    commands.push(Command::Forget {
                        task: attempt.task_name(),
                        attempt: attempt.attempt,
                    });
                }
                continue;
            }
            let Some(stop) = self.stop_decision(attempt, *observed, route) else {
                continue;
            };
            // Direct commands say it once; responses to heartbeats repeat it.
            if in_response || managed.stops_sent.insert(attempt.clone()) {
                self.log_stop(attempt, stop.reason);
                commands.push(Command::Stop {
                    task: attempt.task_name(),
                    attempt: attempt.attempt,
                    grace_s: stop.grace.as_secs_f64(),
                });
            }
        }
        commands
    }

    /// Whether and how an attempt that is on the machine is to be stopped.
    fn stop_decision(
        &self,
        attempt: &AttemptId,
        observed: ObservedState,
        route: CommandRoute,
    ) -> Option<StopDecision> {
        if let Some(desired) = self.find(attempt) {
            // Its owner may be disconnected, or not know of the cancellation yet.
            let (stop_ms, reason) = match self.is_cancelled(&attempt.job) {
                true => (Some(0), StopReason::Cancelled),
                false => (desired.task.stop_ms, StopReason::OwnerRequested),
            };
            let repeat = observed != ObservedState::Saving || stop_ms == Some(0);
            let stop_ms = stop_ms.filter(|_| repeat)?;
            return Some(StopDecision { grace: Micros::millis(stop_ms), reason });
        }
        if self.undesired.contains(attempt) {
            // Not urgent: it waits for the response to a heartbeat.
            return (route == CommandRoute::HeartbeatResponse)
                .then_some(StopDecision::at_once(StopReason::DesiredByNoShard));
        }
        self.is_cancelled(&attempt.job).then_some(StopDecision::at_once(StopReason::Cancelled))
    }

    /// Forgets starts that are not desired any more, or are to be stopped before they began,
    /// once no command with them can arrive.
    fn drop_obsolete_starts(&self, managed: &mut ManagedMachine) {
        let is_obsolete = |attempt: &AttemptId| {
            self.undesired.contains(attempt)
                || self.find(attempt).is_some_and(|desired| desired.permit.is_err())
        };
        let starts = &mut managed.starts;
        starts.in_flight.retain(|attempt, start| start.is_open() || !is_obsolete(attempt));
        starts.refused.retain(|attempt| !self.undesired.contains(attempt));
        starts.waiting.retain(|attempt| !is_obsolete(attempt));
    }

    /// Starts of what may be started and is not there, the most urgent first.
    fn starts(
        &self,
        managed: &mut ManagedMachine,
        route: CommandRoute,
        outcome: &mut ReconcileOutcome,
    ) {
        let mut capacity = self.remaining_capacity(managed);
        for PermittedStart { attempt, permit, task } in &self.permitted_starts(managed) {
            let in_flight = &managed.starts.in_flight;
            if !in_flight.contains_key(attempt)
                && !self.reserve(managed, &mut capacity, attempt, task)
            {
                continue;
            }
            let Some(start) = managed.starts.in_flight.get_mut(attempt) else {
                continue;
            };
            if route == CommandRoute::Direct && start.is_open() {
                continue;
            }
            match permit.command(self.machine, attempt, route) {
                Ok(command) => outcome.commands.push(command),
                Err(violation) => {
                    outcome.violations.push(violation);
                    continue;
                }
            }
            match route {
                CommandRoute::HeartbeatResponse => start.in_response = true,
                CommandRoute::Direct => {
                    start.direct_commands += 1;
                    start.fencing_token = self.authority.fencing_token;
                }
            }
        }
    }

    /// What may be started, is not there and was not refused, the most urgent first.
    fn permitted_starts(&self, managed: &ManagedMachine) -> Vec<PermittedStart<'_>> {
        let mut starts: Vec<PermittedStart<'_>> = self
            .desired
            .iter()
            .filter_map(|desired| {
                let permit = desired.permit.as_ref().ok()?;
                let attempt = AttemptId::of(desired.task);
                Some(PermittedStart { attempt, permit, task: desired.task })
            })
            .filter(|start| {
                !managed.tasks.contains_key(&start.attempt)
                    && !managed.starts.refused.contains(&start.attempt)
            })
            .collect();
        starts
            .sort_by(|a, b| a.task.rank.cmp(&b.task.rank).then_with(|| a.attempt.cmp(&b.attempt)));
        starts
    }

    /// Reserves the capacity for a start; false if it has to wait or is refused.
    fn reserve(
        &self,
        managed: &mut ManagedMachine,
        capacity: &mut RemainingCapacity,
        attempt: &AttemptId,
        task: &DesiredTask,
    ) -> bool {
        let fits = capacity.fits(task);
        if capacity.unknown || (!fits && capacity.more_to_come) {
            managed.starts.waiting.insert(attempt.clone());
            return false;
        }
        managed.starts.waiting.remove(attempt);
        if !fits {
            debug!("machine {}: no capacity for {}", self.machine, attempt.task_name());
            managed.starts.refused.insert(attempt.clone());
            return false;
        }
        capacity.subtract(task);
        managed.starts.in_flight.insert(attempt.clone(), StartInFlight::default());
        true
    }

    /// What is free beside what is there and what was sent.
    fn remaining_capacity(&self, managed: &ManagedMachine) -> RemainingCapacity {
        let mut capacity = RemainingCapacity::of_empty_machine(self.size);
        for attempt in managed.present_tasks().chain(managed.starts.in_flight.keys()) {
            match self.find(attempt) {
                Some(desired) => {
                    capacity.more_to_come |= desired.task.stop_ms.is_some();
                    capacity.subtract(desired.task);
                }
                // How much it takes is not known: nothing is added until it has ended.
                None => capacity.unknown = true,
            }
        }
        capacity
    }

    fn log_stop(&self, attempt: &AttemptId, reason: StopReason) {
        if matches!(reason, StopReason::DesiredByNoShard) {
            info!("machine {}: no shard desires {} there", self.machine, attempt.task_name());
        }
        decision_log::stop(self.authority.evidence(self.machine), attempt, reason);
    }
}

/// The tasks that are desired on a machine, each with whether it may be started.
fn desired_starts<'a>(
    inputs: ReconcileInputs<'a>,
    machine: &str,
    authority: CommandAuthority,
) -> Vec<DesiredStart<'a>> {
    let mut list = Vec::new();
    for desired in inputs.desired.iter().filter_map(|shard| shard.machines.get(machine)) {
        list.extend(desired.tasks.iter().map(|task| {
            let known = inputs.stages.get(&task.job);
            let job = known.map(|k| JobEvidence { stage: k.stage, revision: k.revision });
            let permit = authority.permit_start(task, desired.known_machine_term, job);
            DesiredStart { task, permit }
        }));
    }
    list
}
