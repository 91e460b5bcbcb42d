//! Log lines and counters of the decisions that the safety rules depend on.
//!
//! All lines have one target and use the same names of `key=value` fields, so that a log can be
//! searched by `job`, `machine`, `shard`, `term` or `revision`. The functions take plain values
//! only: the caller passes the evidence for its decision.

use crate::controller::jobs::job::StoredStage;
use crate::controller::machines::attempt::AttemptId;
use crate::time::Micros;
use crate::wire::{FencingToken, WorkerIncarnation};
use serde::Serialize;
use std::fmt::Debug;

/// Target of the log lines about decisions.
pub const TARGET: &str = "millethold::decision";

/// Number of decisions of each kind, for the status page.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct DecisionCounts {
    /// Starts in direct commands to workers.
    pub(crate) direct_starts: u64,
    /// Starts in responses to heartbeats.
    pub(crate) answered_starts: u64,
    /// Stops, in direct commands or in responses to heartbeats.
    pub(crate) stops: u64,
    /// Commands to forget a task that has ended.
    pub(crate) forgets: u64,
    /// Starts in direct commands whose outcome is unknown.
    pub(crate) unanswered_starts: u64,
    /// Raises of a worker's fencing token, so that starts in flight are not executed.
    #[serde(rename = "raised_tokens")]
    pub(crate) raised_fencing_tokens: u64,
    /// Tasks on these workers at the time of the raise: ending the workers' incarnations instead
    /// would have lost them.
    pub(crate) tasks_beside_raises: u64,
    /// Raises of a worker's fencing token, so that copies of direct commands do not run an attempt
    /// again that the worker forgets.
    #[serde(rename = "tokens_raised_to_forget")]
    pub(crate) fencing_tokens_raised_to_forget: u64,
    /// Requests to the cloud to scale out.
    #[serde(rename = "rent_requests")]
    pub(crate) scale_out_requests: u64,
    /// Machines that the cloud was requested to remove.
    #[serde(rename = "returned_machines")]
    pub(crate) machines_scaled_in: u64,
    /// Answers that report their job as cancelled or done.
    pub(crate) final_answers: u64,
    /// Responses that renewed the lease of a worker which listed tasks of cancelled jobs. They stop
    /// these tasks.
    pub(crate) renewals_with_cancelled: u64,
    /// Heartbeats refused because the stage of a job with a listed task was not known.
    pub(crate) renewals_refused_for_unknown: u64,
    /// Decisions that were not carried out since they would have broken a rule. Any value other
    /// than 0 is a fault of this program.
    pub(crate) violations: u64,
}

/// The fields of every log line about commands to a machine, which show the right to command it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CommandEvidence<'a> {
    /// Name of the machine.
    pub(crate) machine: &'a str,
    /// Incarnation of its worker.
    pub(crate) incarnation: WorkerIncarnation,
    /// Its shard.
    pub(crate) shard: usize,
    /// Term of the shard.
    pub(crate) term: u64,
    /// Fencing token of the commands.
    pub(crate) fencing_token: FencingToken,
}

/// A lease of a shard at the beginning or end of this process's leadership.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeadershipEvidence {
    /// The shard.
    pub(crate) shard: usize,
    /// Term of the leadership.
    pub(crate) term: u64,
    /// Revision of the shard's lease in the key-value store.
    pub(crate) revision: u64,
    /// When the leadership begins or ends, by this process's clock.
    pub(crate) at: Micros,
}

/// Decision on the renewal of a worker's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RenewalDecision {
    /// The lease is renewed by a response with this number of stops.
    Renewed { stops: usize },
    /// The heartbeat is refused.
    Refused,
}

/// Evidence for a decision on the renewal of a worker's lease.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RenewalEvidence {
    /// The decision.
    pub(crate) decision: RenewalDecision,
    /// Until when the worker's lease may run if it is renewed, by this process's clock.
    pub(crate) worker_lease_until: Micros,
    /// Revision up to which this process has received the changes of jobs.
    pub(crate) followed_revision: u64,
    /// Time up to which it has received them.
    pub(crate) caught_up_at: Micros,
    /// Number of such lines that were not logged since the last one.
    pub(crate) suppressed_lines: u64,
}

/// Logs that this process has acquired the lease of a shard; its controller lease is valid until
/// `lease_until`.
pub(crate) fn leadership_acquired(evidence: LeadershipEvidence, lease_until: Micros) {
    log::info!(
        target: TARGET,
        shard = evidence.shard, term = evidence.term, revision = evidence.revision,
        at_us = evidence.at.0, lease_until_us = lease_until.0;
        "leadership_acquired"
    );
}

/// Logs that this process no longer acts for a shard.
pub(crate) fn leadership_lost(evidence: LeadershipEvidence, reason: &str) {
    log::info!(
        target: TARGET,
        shard = evidence.shard, term = evidence.term, revision = evidence.revision,
        at_us = evidence.at.0, reason = reason;
        "leadership_lost"
    );
}

/// Logs that a job was found to be terminal; `revision` is 0 if a peer reported it.
pub(crate) fn job_over(job: &str, stage: StoredStage, revision: u64) {
    log::debug!(
        target: TARGET,
        job = job, job_stage:? = stage, revision = revision;
        "job_over"
    );
}

/// Logs that a user receives the answer that a job is done or cancelled. `followed_revision` is the
/// revision up to which this process has received the changes of jobs.
pub(crate) fn final_answer(job: &str, stage: StoredStage, revision: u64, followed_revision: u64) {
    log::debug!(
        target: TARGET,
        job = job, job_stage:? = stage, revision = revision,
        followed_revision = followed_revision;
        "final_answer"
    );
}

/// Logs a request to the cloud for machines; `lease_left` is the remaining validity of the
/// controller lease.
pub(crate) fn scale_out(request: &str, shard: usize, term: u64, lease_left: Micros) {
    log::debug!(
        target: TARGET,
        request = request, shard = shard, term = term, lease_left_ms = lease_left.as_millis();
        "scale_out"
    );
}

/// Logs a request to the cloud to remove a machine with `tasks` observed tasks.
pub(crate) fn scale_in(machine: &str, shard: usize, term: Option<u64>, tasks: usize) {
    log::debug!(
        target: TARGET,
        machine = machine, shard = shard, term:? = term, tasks = tasks;
        "scale_in"
    );
}

/// Logs a decision on the renewal of the lease of a worker which lists tasks of `cancelled` or
/// `unknown` jobs.
pub(crate) fn renewal(
    evidence: CommandEvidence<'_>,
    renewal: RenewalEvidence,
    cancelled: impl Debug,
    unknown: impl Debug,
) {
    log::info!(
        target: TARGET,
        machine = evidence.machine, incarnation = evidence.incarnation.0,
        shard = evidence.shard, term = evidence.term, fencing_token = evidence.fencing_token.0,
        decision:? = renewal.decision, worker_lease_until_us = renewal.worker_lease_until.0,
        followed_revision = renewal.followed_revision,
        caught_up_at_us = renewal.caught_up_at.0,
        suppressed_lines = renewal.suppressed_lines,
        cancelled:? = cancelled, unknown:? = unknown;
        "renewal"
    );
}

/// Logs a command to stop a task.
pub(crate) fn stop(evidence: CommandEvidence<'_>, attempt: &AttemptId, reason: impl Debug) {
    log::debug!(
        target: TARGET,
        job = attempt.job.as_str(), task = attempt.index, attempt = attempt.attempt,
        machine = evidence.machine, incarnation = evidence.incarnation.0,
        shard = evidence.shard, term = evidence.term, fencing_token = evidence.fencing_token.0,
        reason:? = reason;
        "stop"
    );
}

/// Logs a command to a worker to forget a task that has ended.
pub(crate) fn forget(evidence: CommandEvidence<'_>, attempt: &AttemptId) {
    log::debug!(
        target: TARGET,
        job = attempt.job.as_str(), task = attempt.index, attempt = attempt.attempt,
        machine = evidence.machine, incarnation = evidence.incarnation.0,
        shard = evidence.shard, term = evidence.term, fencing_token = evidence.fencing_token.0;
        "forget"
    );
}

/// Logs that a worker is sent a higher fencing token from now on, so that a start which may still
/// arrive is not executed. `tasks_beside` is the number of tasks on the machine.
pub(crate) fn raise_fencing_token(
    evidence: CommandEvidence<'_>,
    revoked: &AttemptId,
    revoked_fencing_token: FencingToken,
    tasks_beside: usize,
    reason: impl Debug,
) {
    log::info!(
        target: TARGET,
        job = revoked.job.as_str(), task = revoked.index, attempt = revoked.attempt,
        machine = evidence.machine, incarnation = evidence.incarnation.0,
        shard = evidence.shard, term = evidence.term, fencing_token = evidence.fencing_token.0,
        revoked_fencing_token = revoked_fencing_token.0, tasks_beside = tasks_beside,
        reason:? = reason;
        "raise_fencing_token"
    );
}

/// Logs that a worker is sent a higher fencing token from now on, so that a copy of an earlier
/// direct command does not run an ended attempt again once the worker has forgotten it.
pub(crate) fn raise_fencing_token_to_forget(evidence: CommandEvidence<'_>, attempt: &AttemptId) {
    log::debug!(
        target: TARGET,
        job = attempt.job.as_str(), task = attempt.index, attempt = attempt.attempt,
        machine = evidence.machine, incarnation = evidence.incarnation.0,
        shard = evidence.shard, term = evidence.term, fencing_token = evidence.fencing_token.0;
        "raise_fencing_token_to_forget"
    );
}

/// Logs that a decision would have broken a rule of this program. `authority` is everything that
/// the decision was based on.
pub(crate) fn violation(
    evidence: CommandEvidence<'_>,
    authority: impl Debug,
    violation: impl Debug,
) {
    log::error!(
        target: TARGET,
        machine = evidence.machine, incarnation = evidence.incarnation.0,
        shard = evidence.shard, term = evidence.term, fencing_token = evidence.fencing_token.0,
        authority:? = authority, violation:? = violation;
        "violation"
    );
}
