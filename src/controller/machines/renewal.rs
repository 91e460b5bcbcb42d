//! Renewal of a worker's lease by the response to its heartbeat: the response stops every listed task of
//! a cancelled job, and the stage of each other job with a listed task is known.

use crate::controller::Controller;
use crate::controller::decision_log::{self, RenewalDecision, RenewalEvidence};
use crate::controller::jobs::job::StoredStage;
use crate::controller::jobs::stage_cache::StageCache;
use crate::controller::machines::attempt::AttemptId;
use crate::controller::machines::reconciler::StopReason;
use crate::controller::machines::start_permit::{CommandAuthority, CommandRoute, CommandViolation};
use crate::controller::machines::timeouts;
use crate::controller::machines::unknown_jobs::UnknownJobs;
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
    /// Selects these tasks from a heartbeat.
    fn among(heartbeat: &Heartbeat, stages: &StageCache, unknown: &UnknownJobs) -> DoubtfulTasks {
        let mut doubtful = DoubtfulTasks::default();
        for task in heartbeat.tasks.iter().filter(|task| task.state != TaskState::Exited) {
            let Some((job, _)) = task.task.split_once('/') else {
                continue;
            };
            match stages.stage(job) {
                Some(StoredStage::Cancelled) => {
                    doubtful.cancelled.extend(AttemptId::parse(&task.task, task.attempt));
                }
                None if unknown.is_unknown(job, stages) => {
                    doubtful.unknown_jobs.insert(job.to_string());
                }
                _ => {}
            }
        }
        doubtful
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
        if doubtful.cancelled.is_empty() {
            return commands;
        }
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

    /// Tasks in a heartbeat whose jobs are known to be cancelled or are unknown.
    pub(crate) fn doubtful_tasks(&self, heartbeat: &Heartbeat) -> DoubtfulTasks {
        DoubtfulTasks::among(heartbeat, &self.jobs.stage_cache, &self.machines.unknown_jobs)
    }

    /// Reads the unknown jobs of a worker whose heartbeat is refused until their stages are known, and
    /// counts and logs the refusal.
    pub(crate) fn read_jobs_before_renewal(&mut self, machine: &str, doubtful: &DoubtfulTasks) {
        self.machines.add_unknown_jobs(doubtful.unknown_jobs.iter().cloned().collect());
        self.read_unknown_jobs();
        self.counts.decisions.renewals_refused_for_unknown += 1;
        if let Some(authority) = self.command_authority(machine) {
            self.log_renewal(machine, authority, RenewalDecision::Refused, doubtful);
        }
    }

    /// Whether a response with these commands may renew the lease of a worker that lists these
    /// tasks: they stop every task of a cancelled job, and no job is unknown. If not, the violation is
    /// recorded.
    pub(crate) fn may_renew(
        &mut self,
        machine: &str,
        authority: CommandAuthority,
        doubtful: &DoubtfulTasks,
        commands: &[Command],
    ) -> bool {
        let violation = if doubtful.not_stopped_by(commands).next().is_some() {
            CommandViolation::CancelledTaskKept
        } else if !doubtful.unknown_jobs.is_empty() {
            CommandViolation::UnknownJobKept
        } else {
            return true;
        };
        authority.record_violation(&mut self.counts.decisions, machine, violation);
        false
    }

    /// Counts and logs that a response with these commands renews the lease of a worker that lists
    /// tasks of cancelled jobs.
    pub(crate) fn record_renewal(
        &mut self,
        machine: &str,
        authority: CommandAuthority,
        doubtful: &DoubtfulTasks,
        commands: &[Command],
    ) {
        if doubtful.cancelled.is_empty() {
            return;
        }
        self.counts.decisions.renewals_with_cancelled += 1;
        let stops = commands.iter().filter(|c| matches!(c, Command::Stop { .. })).count();
        self.log_renewal(machine, authority, RenewalDecision::Renewed { stops }, doubtful);
    }

    fn log_renewal(
        &mut self,
        machine: &str,
        authority: CommandAuthority,
        decision: RenewalDecision,
        doubtful: &DoubtfulTasks,
    ) {
        let now = self.context.now;
        let Some(suppressed_lines) = self.machines.renewal_log.begin_line(now) else {
            return;
        };
        let worker_lease = timeouts::worker_lease(&self.context.settings.workers);
        let cancelled: Vec<String> = doubtful.cancelled.iter().map(AttemptId::task_name).collect();
        decision_log::renewal(
            authority.evidence(machine),
            RenewalEvidence {
                decision,
                worker_lease_until: now + worker_lease,
                followed_revision: self.leadership.followed_jobs_revision(),
                caught_up_at: self.leadership.jobs_caught_up_at(),
                suppressed_lines,
            },
            cancelled,
            &doubtful.unknown_jobs,
        );
    }
}
