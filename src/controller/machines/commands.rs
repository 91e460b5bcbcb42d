//! Commands for the machines of led shards: the authority to send them, their computation by
//! reconciliation, and the revocation of starts that are still in flight.

use crate::controller::Controller;
use crate::controller::autoscaler::Autoscaler;
use crate::controller::decision_log::{self, DecisionCounts};
use crate::controller::jobs::Jobs;
use crate::controller::leadership::Leadership;
use crate::controller::machines::desired_state::received::DesiredState;
use crate::controller::machines::reconciler::{ReconcileInputs, Reconciler};
use crate::controller::machines::start_permit::{CommandAuthority, CommandRoute, CommandViolation};
use crate::peer::FORMAT_WITH_RAISED_TOKENS;
use crate::wire::Command;

/// Maximum number of ended attempts on a machine that are kept, to spare its fencing token, while a
/// live peer runs an earlier version.
const MAX_KEPT_DURING_UPGRADE: usize = 24;

impl Controller {
    /// Authority of this process to command a machine now; `None` if it does not lead the
    /// machine's shard, does not manage the machine, or has no fencing token left for it in
    /// this term.
    pub(crate) fn command_authority(&self, machine: &str) -> Option<CommandAuthority> {
        let shard = self.shard_of_machine(machine);
        let term = self.leading_term(shard)?;
        let managed = self.machines.managed.get(machine)?;
        Some(CommandAuthority {
            now: self.context.now,
            shard,
            term,
            fencing_token: managed.fencing_token(term)?,
            incarnation: managed.incarnation,
            lease_until: self.leadership.lease_valid_until(),
            cancellations_known: self.cancellations_up_to_date(),
        })
    }

    /// Reconciles a machine: computes its commands, and reserves capacity for the tasks that
    /// they start.
    pub(crate) fn reconcile_machine(&mut self, machine: &str, route: CommandRoute) -> Vec<Command> {
        let Some(authority) = self.command_authority(machine) else {
            return Vec::new();
        };
        let Some(managed) = self.machines.managed.get_mut(machine) else {
            return Vec::new();
        };
        let inputs = reconcile_inputs(
            &self.machines.desired,
            &self.leadership,
            &self.jobs,
            &self.autoscaler,
        );
        let reconciler = Reconciler::collect(inputs, machine, managed, authority);
        let unknown_jobs = reconciler.unknown_jobs(managed);
        let outcome = reconciler.reconcile(managed, route);
        let counts = &mut self.counts.decisions;
        for violation in outcome.violations {
            authority.record_violation(counts, machine, violation.into());
        }
        count_commands(counts, &outcome.commands, route);
        self.machines.cancellations.add_unknown(unknown_jobs);
        outcome.commands
    }

    /// Raises a worker's fencing token if a start that must not be executed may still arrive by
    /// a direct command. Once the worker has received the higher token, it refuses the start,
    /// however late that arrives. If the token never reaches the worker, its lease expires and
    /// ends the incarnation that the start is addressed to.
    pub(crate) fn revoke_starts(&mut self, machine: &str) {
        let Some(authority) = self.command_authority(machine) else {
            return;
        };
        let Some(managed) = self.machines.managed.get_mut(machine) else {
            return;
        };
        if !managed.starts.has_pending_direct() {
            return;
        }
        let inputs = reconcile_inputs(
            &self.machines.desired,
            &self.leadership,
            &self.jobs,
            &self.autoscaler,
        );
        let reconciler = Reconciler::collect(inputs, machine, managed, authority);
        let reason = |attempt: &_| reconciler.revocation_reason(attempt);
        let Some(revocation) = managed.starts.find_revocation(authority.fencing_token, reason)
        else {
            return;
        };
        let tasks_beside = managed.active_tasks().count();
        self.counts.decisions.raised_fencing_tokens += 1;
        self.counts.decisions.tasks_beside_raises += tasks_beside as u64;
        decision_log::raise_fencing_token(
            authority.evidence(machine),
            &revocation.attempt,
            revocation.revoked_fencing_token,
            tasks_beside,
            revocation.reason,
        );
        managed.raise_fencing_token();
    }

    /// Raises a worker's fencing token if it has an ended attempt to forget that a copy of a direct
    /// command might run again: the token reaches the worker with the command to forget. While a
    /// direct command is in flight, which the worker would refuse with its old token, the attempt
    /// is kept; so are a few attempts while a peer of an earlier version could not command the
    /// worker with a raised token.
    pub(crate) fn raise_token_to_forget(&mut self, machine: &str) {
        let (Some(authority), Some(managed)) =
            (self.command_authority(machine), self.machines.managed.get_mut(machine))
        else {
            return;
        };
        let kept = managed.ended_startable_again(authority.fencing_token).count();
        let has_earlier_version =
            self.peers.any_live_with_format_below(FORMAT_WITH_RAISED_TOKENS, self.context.now);
        let max_kept = if has_earlier_version { MAX_KEPT_DURING_UPGRADE } else { 0 };
        if managed.direct_in_flight || kept <= max_kept {
            return;
        }
        let inputs = reconcile_inputs(
            &self.machines.desired,
            &self.leadership,
            &self.jobs,
            &self.autoscaler,
        );
        let reconciler = Reconciler::collect(inputs, machine, managed, authority);
        let Some(attempt) = reconciler.forgettable_with_higher_token(managed) else {
            return;
        };
        self.counts.decisions.fencing_tokens_raised_to_forget += 1;
        decision_log::raise_fencing_token_to_forget(authority.evidence(machine), &attempt);
        managed.raise_fencing_token();
        if managed.needs_new_term() {
            self.leadership.begin_handover(authority.shard);
        }
    }

    /// Records a violation if a start of a job that is done or cancelled may still arrive at a
    /// machine whose heartbeat is about to be answered: the response would renew the worker's
    /// lease.
    pub(crate) fn check_before_response(&mut self, machine: &str, authority: CommandAuthority) {
        let Some(managed) = self.machines.managed.get(machine) else {
            return;
        };
        let stages = &self.jobs.stage_cache;
        let mut pending = managed.starts.pending_direct(authority.fencing_token);
        if pending.any(|(attempt, _)| stages.is_final(&attempt.job)) {
            let violation = CommandViolation::OpenStartOfEndedJob;
            authority.record_violation(&mut self.counts.decisions, machine, violation);
        }
    }
}

/// Inputs of reconciliation from the components that own them. It takes no machines besides their
/// desired state, so that the caller can change the machine that is reconciled.
fn reconcile_inputs<'a>(
    desired: &'a [DesiredState],
    leadership: &'a Leadership,
    jobs: &'a Jobs,
    autoscaler: &'a Autoscaler,
) -> ReconcileInputs<'a> {
    ReconcileInputs {
        desired,
        shards: leadership.shards(),
        stages: &jobs.stage_cache,
        machine_types: &autoscaler.machine_types,
    }
}

fn count_commands(counts: &mut DecisionCounts, commands: &[Command], route: CommandRoute) {
    for command in commands {
        match (command, route) {
            (Command::Start { .. }, CommandRoute::Direct) => counts.direct_starts += 1,
            (Command::Start { .. }, CommandRoute::HeartbeatResponse) => counts.answered_starts += 1,
            (Command::Stop { .. }, _) => counts.stops += 1,
            (Command::Forget { .. }, _) => counts.forgets += 1,
        }
    }
}
