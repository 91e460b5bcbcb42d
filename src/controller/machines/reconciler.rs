//! Reconciliation of one machine: the commands that bring the tasks in its newest heartbeat in
//! line with the desired state of all shards.

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
use crate::controller::machines::start_permit::{
    CommandAuthority, CommandRoute, JobEvidence, RevocationReason, StartPermit, StartRefusal,
    StartViolation,
};
use crate::peer::{DesiredTask, ObservedState};
use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::Command;
use log::{debug, info};
use std::collections::BTreeSet;

/// Inputs of reconciliation other than the machine itself.
#[derive(Clone, Copy)]
pub(crate) struct ReconcileInputs<'a> {
    /// Last received desired state of each shard, indexed by shard number.
    pub(crate) desired: &'a [DesiredState],
    /// All shards with their terms, indexed by shard number.
    pub(crate) shards: &'a [Shard],
    /// Last known stages of jobs.
    pub(crate) stages: &'a StageCache,
    /// All machine types.
    pub(crate) machine_types: &'a MachineTypeCatalogue,
}

impl ReconcileInputs<'_> {
    /// Whether the desired state of the job's shard, or of all shards if that one is unknown,
    /// is complete for the machines of `machine_shard`. Only then does the absence of a task
    /// mean that it is not desired. A state that was sent before the machine's shard changed
    /// its leader does not count as complete: the task's owner may have had further tasks
    /// started there through the earlier leader.
    fn has_complete_desired_state(&self, job: &str, machine_shard: usize) -> bool {
        let term = self.shards[machine_shard].term;
        let is_complete = |shard: usize| {
            self.desired[shard].is_complete_for(self.shards[shard].term, machine_shard, term)
        };
        match self.stages.get(job) {
            Some(cached) if cached.shard < self.desired.len() => is_complete(cached.shard),
            _ => (0..self.desired.len()).all(is_complete),
        }
    }
}

/// A task that some shard desires on the machine, with the permit to start it now or the
/// reason why it may not be started.
struct DesiredStart<'a> {
    task: &'a DesiredTask,
    permit: Result<StartPermit<'a>, StartRefusal>,
}

/// Result of reconciling a machine.
#[derive(Default)]
pub(crate) struct ReconcileOutcome {
    /// Commands that bring the machine in line with the desired state.
    pub(crate) commands: Vec<Command>,
    /// Rules that starts would have broken; these starts are not among the commands.
    pub(crate) violations: Vec<StartViolation>,
}

/// Reconciles one machine with the desired state of all shards and the last known stages of its
/// jobs.
pub(crate) struct Reconciler<'a> {
    machine: &'a str,
    authority: CommandAuthority,
    desired: Vec<DesiredStart<'a>>,
    /// Attempts on the machine, or to be started there, that definitely no shard desires there.
    undesired: BTreeSet<AttemptId>,
    /// Total resources of the machine; `None` if its type is unknown.
    size: Option<Resources>,
    stages: &'a StageCache,
}

/// A permitted start of an attempt that is not on the machine.
struct PermittedStart<'a> {
    attempt: AttemptId,
    permit: &'a StartPermit<'a>,
    task: &'a DesiredTask,
}

/// How and why an attempt on the machine is stopped.
#[derive(Debug, Clone, Copy)]
struct StopDecision {
    /// Time that the task has to save a checkpoint.
    grace: Micros,
    reason: StopReason,
}

/// Why an attempt on the machine is stopped.
#[derive(Debug, Clone, Copy)]
pub(crate) enum StopReason {
    /// The task's owner desires that it stops.
    OwnerRequested,
    /// No shard desires the attempt on this machine.
    DesiredByNoShard,
    /// The task's job is cancelled.
    Cancelled,
}

impl StopDecision {
    /// Stops the task without time to save a checkpoint.
    fn without_grace(reason: StopReason) -> StopDecision {
        StopDecision { grace: Micros::ZERO, reason }
    }
}

impl<'a> Reconciler<'a> {
    /// Collects the desired tasks of a machine, with a permit or refusal for each. This runs at
    /// every heartbeat; the linear searches are cheap, since a machine has few tasks.
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
            .filter(|a| {
                !is_desired(a) && inputs.has_complete_desired_state(&a.job, authority.shard)
            })
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

    /// Why a start that may still arrive must no longer be executed; `None` if it may be.
    pub(crate) fn revocation_reason(&self, attempt: &AttemptId) -> Option<RevocationReason> {
        let stage = self.stages.stage(&attempt.job);
        if stage.is_some_and(|stage| stage != StoredStage::Accepted) {
            return Some(RevocationReason::Refused(StartRefusal::JobOver));
        }
        match self.find(attempt) {
            Some(desired) => {
                let refusal = desired.permit.err().filter(|refusal| refusal.requires_revocation());
                refusal.map(RevocationReason::Refused)
            }
            None => self.undesired.contains(attempt).then_some(RevocationReason::DesiredByNoShard),
        }
    }

    /// Jobs with tasks on the machine whose stage is not cached.
    pub(crate) fn unknown_jobs(&self, managed: &ManagedMachine) -> Vec<String> {
        let jobs = managed.active_tasks().map(|attempt| &attempt.job);
        jobs.filter(|job| !self.stages.contains(job)).cloned().collect()
    }

    /// Computes the commands that bring the machine in line with the desired state. Reserves
    /// capacity for the tasks that they start and records these starts as in flight.
    pub(crate) fn reconcile(
        &self,
        managed: &mut ManagedMachine,
        route: CommandRoute,
    ) -> ReconcileOutcome {
        let mut outcome = ReconcileOutcome {
            commands: self.stop_commands(managed, route),
            violations: Vec::new(),
        };
        self.drop_obsolete_starts(managed);
        self.add_start_commands(managed, route, &mut outcome);
        outcome
    }

    /// Commands to stop tasks, and to forget ended ones.
    fn stop_commands(&self, managed: &mut ManagedMachine, route: CommandRoute) -> Vec<Command> {
        let in_response = route == CommandRoute::HeartbeatResponse;
        let mut commands = Vec::new();
        for (attempt, observed) in &managed.tasks {
            if observed.is_terminal() {
                if in_response && self.may_forget(managed, attempt) {
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
            // A stop is sent once by direct command, and repeated in heartbeat responses.
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

    /// Whether the worker may forget an ended attempt: no shard desires it, and a direct command
    /// that arrives later cannot run it again. The worker receives the fencing token of the
    /// response together with the command to forget.
    fn may_forget(&self, managed: &ManagedMachine, attempt: &AttemptId) -> bool {
        let fencing_token = self.authority.fencing_token;
        self.undesired.contains(attempt)
            && !managed.starts.may_start_if_forgotten(attempt, fencing_token)
    }

    /// An ended attempt that no shard desires and that the worker may forget only with a higher
    /// fencing token; `None` if there is none.
    pub(crate) fn forgettable_with_higher_fencing_token<'m>(
        &self,
        managed: &'m ManagedMachine,
    ) -> Option<&'m AttemptId> {
        managed
            .ended_startable_again(self.authority.fencing_token)
            .find(|attempt| self.undesired.contains(*attempt))
    }

    /// How and why an attempt on the machine is to be stopped; `None` if it is not.
    fn stop_decision(
        &self,
        attempt: &AttemptId,
        observed: ObservedState,
        route: CommandRoute,
    ) -> Option<StopDecision> {
        if let Some(desired) = self.find(attempt) {
            // The owner may be disconnected, or may not have received the cancellation yet.
            let (stop_ms, reason) = match self.is_cancelled(&attempt.job) {
                true => (Some(0), StopReason::Cancelled),
                false => (desired.task.stop_ms, StopReason::OwnerRequested),
            };
            let repeat = observed != ObservedState::Saving || stop_ms == Some(0);
            let stop_ms = stop_ms.filter(|_| repeat)?;
            return Some(StopDecision { grace: Micros::millis(stop_ms), reason });
        }
        if self.undesired.contains(attempt) {
            // This is not urgent and waits for the response to a heartbeat.
            return (route == CommandRoute::HeartbeatResponse)
                .then_some(StopDecision::without_grace(StopReason::DesiredByNoShard));
        }
        self.is_cancelled(&attempt.job)
            .then_some(StopDecision::without_grace(StopReason::Cancelled))
    }

    /// Drops starts that are no longer desired, or whose task is to be stopped before it
    /// began, once no command with them can arrive any more.
    fn drop_obsolete_starts(&self, managed: &mut ManagedMachine) {
        let is_obsolete = |attempt: &AttemptId| {
            self.undesired.contains(attempt)
                || self.find(attempt).is_some_and(|desired| desired.permit.is_err())
        };
        let starts = &mut managed.starts;
        starts.in_flight.retain(|attempt, start| start.may_still_arrive() || !is_obsolete(attempt));
        starts.refused.retain(|attempt| !self.undesired.contains(attempt));
        starts.waiting.retain(|attempt| !is_obsolete(attempt));
    }

    /// Adds commands to start the permitted attempts that are not on the machine, the most
    /// urgent first.
    fn add_start_commands(
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
            if route == CommandRoute::Direct && start.may_still_arrive() {
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

    /// Permitted starts of attempts that are not on the machine and were not refused for lack
    /// of capacity, the most urgent first.
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

    /// Reserves the capacity for a start. Returns false if the start has to wait or is refused.
    fn reserve(
        &self,
        managed: &mut ManagedMachine,
        capacity: &mut RemainingCapacity,
        attempt: &AttemptId,
        task: &DesiredTask,
    ) -> bool {
        let fits = capacity.fits(task);
        if capacity.unknown || (!fits && capacity.stops_pending) {
            managed.starts.waiting.insert(attempt.clone());
            return false;
        }
        managed.starts.waiting.remove(attempt);
        if !fits {
            debug!("machine {}: no capacity to start task {}", self.machine, attempt.task_name());
            managed.starts.refused.insert(attempt.clone());
            return false;
        }
        capacity.subtract(task);
        managed.starts.in_flight.insert(attempt.clone(), StartInFlight::default());
        true
    }

    /// Free capacity of the machine beside its tasks and the starts in flight.
    fn remaining_capacity(&self, managed: &ManagedMachine) -> RemainingCapacity {
        let mut capacity = RemainingCapacity::of_empty_machine(self.size);
        for attempt in managed.active_tasks().chain(managed.starts.in_flight.keys()) {
            match self.find(attempt) {
                Some(desired) => {
                    capacity.stops_pending |= desired.task.stop_ms.is_some();
                    capacity.subtract(desired.task);
                }
                // The task's resources are not known: no task is added until it has ended.
                None => capacity.unknown = true,
            }
        }
        capacity
    }

    fn log_stop(&self, attempt: &AttemptId, reason: StopReason) {
        if matches!(reason, StopReason::DesiredByNoShard) {
            info!(
                "machine {}: stopping task {}: no shard desires it there",
                self.machine,
                attempt.task_name()
            );
        }
        decision_log::stop(self.authority.evidence(self.machine), attempt, reason);
    }
}

/// The tasks that all shards desire on a machine, each with a permit or refusal to start it.
fn desired_starts<'a>(
    inputs: ReconcileInputs<'a>,
    machine: &str,
    authority: CommandAuthority,
) -> Vec<DesiredStart<'a>> {
    let mut list = Vec::new();
    for desired in inputs.desired.iter().filter_map(|shard| shard.machines.get(machine)) {
        list.extend(desired.tasks.iter().map(|task| {
            let cached = inputs.stages.get(&task.job);
            let job = cached.map(|c| JobEvidence { stage: c.stage, revision: c.revision });
            let permit = authority.permit_start(task, desired.known_machine_term, job);
            DesiredStart { task, permit }
        }));
    }
    list
}
