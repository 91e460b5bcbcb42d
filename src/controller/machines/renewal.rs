//! Renewal of a worker's lease by the response to its heartbeat: what this process knows of the jobs
//! whose tasks the worker lists.

use crate::controller::Controller;
use crate::controller::decision_log::{self, RenewalEvidence};
use crate::controller::jobs::stage_cache::StageCache;
use crate::controller::machines::attempt::AttemptId;
use crate::controller::machines::reconciler::StopReason;
use crate::controller::machines::start_permit::{CommandAuthority, CommandRoute, CommandViolation};
use crate::controller::machines::timeouts;
use crate::time::Micros;
use crate::wire::{Command, Heartbeat, TaskState};
use std::collections::BTreeSet;

/// Minimum time between two log lines about renewals.
const LOG_INTERVAL: Micros = Micros::millis(100);

/// Tasks in a heartbeat that are on the machine, and that may belong to cancelled jobs.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct DoubtfulTasks {
    /// Attempts whose jobs are known to be cancelled.
    pub(crate) cancelled: Vec<AttemptId>,
    /// Jobs of the attempts whose stage is not known.
    pub(crate) unknown_jobs: BTreeSet<String>,
}

impl DoubtfulTasks {
    /// Selects these tasks from a heartbeat by the cached stages of their jobs.
    pub(crate) fn among(heartbeat: &Heartbeat, stages: &StageCache) -> DoubtfulTasks {
        let mut doubtful = DoubtfulTasks::default();
        for task in heartbeat.tasks.iter().filter(|task| task.state != TaskState::Exited) {
            let Some(attempt) = AttemptId::parse(&task.task, task.attempt) else {
                continue;
            };
            if stages.is_cancelled(&attempt.job) {
                doubtful.cancelled.push(attempt);
            } else if !stages.contains(&attempt.job) {
                doubtful.unknown_jobs.insert(attempt.job);
            }
        }
        doubtful
    }

    fn is_empty(&self) -> bool {
        self.cancelled.is_empty() && self.unknown_jobs.is_empty()
    }

    /// Attempts of cancelled jobs that none of these commands stops.
    fn not_stopped_by<'a>(
        &'a self,
        commands: &'a [Command],
    ) -> impl Iterator<Item = &'a AttemptId> {
        let stops = |command: &Command, attempt: &AttemptId| {
            matches!(command, Command::Stop { task, attempt: number, .. }
                if *number == attempt.attempt && *task == attempt.task_name())
        };
        self.cancelled
            .iter()
            .filter(move |attempt| !commands.iter().any(|command| stops(command, attempt)))
    }
}

/// The command to end a task without time to save a checkpoint.
fn stop_at_once(attempt: &AttemptId) -> Command {
    Command::Stop { task: attempt.task_name(), attempt: attempt.attempt, grace_s: 0.0 }
}

/// Limits the log lines about renewals.
#[derive(Debug, Default)]
pub(crate) struct RenewalLog {
    next_line_at: Micros,
    suppressed_lines: u64,
}

impl RenewalLog {
    /// Whether a line may be logged now, and if so, how many were suppressed since the last one.
    fn begin_line(&mut self, now: Micros) -> Option<u64> {
        if now < self.next_line_at {
            self.suppressed_lines += 1;
            return None;
        }
        self.next_line_at = now + LOG_INTERVAL;
        Some(std::mem::take(&mut self.suppressed_lines))
    }
}

impl Controller {
    /// Commands of the response that renews the lease of a worker. They stop every listed task of a
    /// cancelled job, also if the worker has not reported this term's fencing token yet: it receives
    /// the token together with them.
    pub(crate) fn renewal_commands(
        &mut self,
        machine: &str,
        under_term: bool,
        doubtful: &DoubtfulTasks,
    ) -> Vec<Command> {
        let mut commands = if under_term {
            self.reconcile_machine(machine, CommandRoute::HeartbeatResponse)
        } else {
            Vec::new()
        };
        let Some(authority) = self.command_authority(machine) else {
            return commands;
        };
        let missing: Vec<&AttemptId> = doubtful.not_stopped_by(&commands).collect();
        let stops: Vec<Command> = missing.iter().map(|attempt| stop_at_once(attempt)).collect();
        for attempt in missing {
            self.counts.decisions.stops += 1;
            decision_log::stop(authority.evidence(machine), attempt, StopReason::Cancelled);
        }
        commands.extend(stops);
        commands
    }

    /// Whether a response with these commands may renew the lease of a worker that lists these
    /// tasks. If not, the violation is recorded.
    pub(crate) fn may_renew(
        &mut self,
        machine: &str,
        authority: CommandAuthority,
        doubtful: &DoubtfulTasks,
        commands: &[Command],
    ) -> bool {
        if doubtful.not_stopped_by(commands).next().is_none() {
            return true;
        }
        let violation = CommandViolation::CancelledTaskKept;
        authority.record_violation(&mut self.counts.decisions, machine, violation);
        false
    }

    /// Counts and logs that a response with these commands renews the lease of a worker that lists
    /// doubtful tasks.
    pub(crate) fn record_renewal(
        &mut self,
        machine: &str,
        authority: CommandAuthority,
        doubtful: &DoubtfulTasks,
        commands: &[Command],
    ) {
        if doubtful.is_empty() {
            return;
        }
        let counts = &mut self.counts.decisions;
        counts.renewals_with_cancelled += u64::from(!doubtful.cancelled.is_empty());
        counts.renewals_with_unknown += u64::from(!doubtful.unknown_jobs.is_empty());
        let now = self.context.now;
        let Some(suppressed_lines) = self.machines.renewal_log.begin_line(now) else {
            return;
        };
        let worker_lease = timeouts::worker_lease(&self.context.settings.workers);
        let cancelled: Vec<String> = doubtful.cancelled.iter().map(AttemptId::task_name).collect();
        let stops = commands.iter().filter(|c| matches!(c, Command::Stop { .. })).count();
        decision_log::renewal(
            authority.evidence(machine),
            RenewalEvidence {
                worker_lease_until: now + worker_lease,
                followed_revision: self.leadership.followed_jobs_revision(),
                caught_up_at: self.leadership.jobs_caught_up_at(),
                stops,
                suppressed_lines,
            },
            cancelled,
            &doubtful.unknown_jobs,
        );
    }
}
