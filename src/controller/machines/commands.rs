//! Commands for the machines of led shards: the authority to send them, their computation by
//! reconciliation, and the revocation of starts that are still in flight.

use crate::controller::Controller;
use crate::controller::decision_log::{self, DecisionCounts};
use crate::controller::machines::reconciler::{ReconcileInputs, Reconciler};
use crate::controller::machines::start_permit::{CommandAuthority, CommandRoute, CommandViolation};
use crate::peer::FORMAT_WITH_RAISED_FENCING_TOKENS;
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
        let inputs = ReconcileInputs {
            desired: &self.machines.desired,
            shards: self.leadership.shards(),
            stages: &self.jobs.stage_cache,
            machine_types: &self.autoscaler.machine_types,
        };
        let reconciler = Reconciler::collect(inputs, machine, managed, authority);
        // Before a response to a heartbeat, the stages of all listed jobs are known.
        let unknown_jobs = match route {
            CommandRoute::Direct => reconciler.unknown_jobs(managed),
            CommandRoute::HeartbeatResponse => Vec::new(),
        };
        let outcome = reconciler.reconcile(managed, route);
        let counts = &mut self.counts.decisions;
        for violation in outcome.violations {
            authority.record_violation(counts, machine, violation.into());
        }
        count_commands(counts, &outcome.commands, route);
        self.machines.add_unknown_jobs(unknown_jobs);
        outcome.commands
    }

    /// Raises a worker's fencing token if a direct command with a lower one must not be executed any
    /// more. Once the worker has received the higher token, it refuses the command and its copies,
    /// however late they arrive. If the token never reaches the worker, its lease expires and ends
    /// the incarnation that the command is addressed to.
    ///
    /// There are two reasons: a start that may still arrive is revoked, or an ended attempt that a
    /// copy of a command might run again is to be forgotten. The worker receives the token together
    /// with the command to forget.
    pub(crate) fn raise_fencing_token_if_due(&mut self, machine: &str) {
        let Some(authority) = self.command_authority(machine) else {
            return;
        };
        let may_forget = self.may_raise_to_forget(machine, authority);
        let Some(managed) = self.machines.managed.get_mut(machine) else {
            return;
        };
        if !managed.starts.has_pending_direct() && !may_forget {
            return;
        }
        let inputs = ReconcileInputs {
            desired: &self.machines.desired,
            shards: self.leadership.shards(),
            stages: &self.jobs.stage_cache,
            machine_types: &self.autoscaler.machine_types,
        };
        let reconciler = Reconciler::collect(inputs, machine, managed, authority);
        let reason = |attempt: &_| reconciler.revocation_reason(attempt);
        let counts = &mut self.counts.decisions;
        if let Some(revocation) = managed.starts.find_revocation(authority.fencing_token, reason) {
            let tasks_beside = managed.active_tasks().count();
            counts.raised_fencing_tokens += 1;
            counts.tasks_beside_raises += tasks_beside as u64;
            decision_log::raise_fencing_token(
                authority.evidence(machine),
                &revocation.attempt,
                revocation.revoked_fencing_token,
                tasks_beside,
                revocation.reason,
            );
        } else if may_forget
            && let Some(attempt) = reconciler.forgettable_with_higher_fencing_token(managed)
        {
            counts.fencing_tokens_raised_to_forget += 1;
            decision_log::raise_fencing_token_to_forget(authority.evidence(machine), attempt);
        } else {
            return;
        }
        managed.raise_fencing_token();
        if managed.has_used_term() {
            self.leadership.begin_handover(authority.shard);
        }
    }

    /// Whether a machine has ended attempts that a copy of a direct command might run again, and its
    /// fencing token may be raised to forget them. It may not while a direct command is in flight,
    /// which the worker would refuse, nor for a few attempts while a live peer runs a version that
    /// could not command the worker afterwards.
    fn may_raise_to_forget(&self, machine: &str, authority: CommandAuthority) -> bool {
        let Some(managed) = self.machines.managed.get(machine) else {
            return false;
        };
        let ended = managed.ended_startable_again(authority.fencing_token).count();
        if ended == 0 || managed.direct_in_flight {
            return false;
        }
        let has_earlier_version = self
            .peers
            .any_live_with_format_below(FORMAT_WITH_RAISED_FENCING_TOKENS, self.context.now);
        ended > MAX_KEPT_DURING_UPGRADE || !has_earlier_version
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
