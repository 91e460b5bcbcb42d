//! Log lines and counters of the decisions on which the rules rest.
//!
//! All lines have one target and `key=value` fields with the same names everywhere, so
//! that a log can be searched by `job`, `machine`, `shard`, `term` or `revision`.

use crate::controller::Controller;
use crate::controller::Watch;
use crate::controller::autoscaler::planning::AUTOSCALER_SHARD;
use crate::controller::jobs::job::StoredStage;
use crate::controller::jobs::stage_cache::CachedStage;
use crate::controller::leadership::shard::ShardLeadership;
use crate::controller::machines::machine::{ManagedMachine, Revocation};
use crate::controller::machines::start_gate::{CommandAuthority, StartViolation};
use crate::time::Micros;
use serde::Serialize;

/// Target of the log lines about decisions.
pub const TARGET: &str = "millethold::decision";

/// How many decisions of each kind have been made, for the status page.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct DecisionCounts {
    /// Starts sent straight to workers.
    pub(crate) direct_starts: u64,
    /// Starts in answers to reports.
    pub(crate) answered_starts: u64,
    /// Stops, either way.
    pub(crate) stops: u64,
    /// Exited tasks removed from reports.
    pub(crate) forgets: u64,
    /// Direct commands with starts that got no answer.
    pub(crate) unanswered_starts: u64,
    /// Workers shown a higher token, so that starts on their way are not executed.
    #[serde(rename = "raised_tokens")]
    pub(crate) raised_fencing_tokens: u64,
    /// Tasks that were on these workers: ending their sessions instead would have
    /// lost them.
    pub(crate) tasks_beside_raises: u64,
    /// Machines that were asked for, by request.
    #[serde(rename = "rent_requests")]
    pub(crate) scale_out_requests: u64,
    /// Machines that were returned.
    #[serde(rename = "returned_machines")]
    pub(crate) machines_scaled_in: u64,
    /// Users told that their job is cancelled or done.
    pub(crate) final_answers: u64,
    /// Decisions that were not carried out since they would have broken a rule. Any
    /// other value than 0 is a fault of this program.
    pub(crate) violations: u64,
}

/// Something that this program must never do, found before it was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Of a start.
    Start(StartViolation),
    /// An answer would renew a lease while a start of a job that is over may arrive.
    OpenStartOfEndedJob,
}

/// A shard's lease was taken.
pub(crate) fn shard_acquired(shard: usize, leadership: &ShardLeadership, lease_until: Micros) {
    log::info!(
        target: TARGET,
        shard = shard, term = leadership.term, revision = leadership.revision,
        at_us = leadership.acquired_at.0, lease_until_us = lease_until.0;
        "shard_taken"
    );
}

/// A shard is not acted for any more.
pub(crate) fn leadership_lost(shard: usize, leadership: &ShardLeadership, now: Micros, why: &str) {
    log::info!(
        target: TARGET,
        shard = shard, term = leadership.term, revision = leadership.revision, at_us = now.0, reason = why;
        "shard_lost"
    );
}

/// A job was found to be over; revision 0 if a peer told of it.
pub(crate) fn job_over(job: &str, known: CachedStage) {
    log::debug!(
        target: TARGET,
        job = job, job_stage:? = known.stage, revision = known.revision;
        "job_over"
    );
}

impl Controller {
    /// A user is told that a job is done or cancelled.
    pub(crate) fn note_final_answer(&mut self, job: &str, known: CachedStage) {
        if known.stage == StoredStage::Accepted {
            return;
        }
        self.counts.decisions.final_answers += 1;
        let followed = self.leadership.watches.get(&Watch::Jobs).map_or(0, |f| f.revision());
        log::debug!(
            target: TARGET,
            job = job, job_stage:? = known.stage, revision = known.revision,
            followed_revision = followed;
            "final_answer"
        );
    }

    /// Machines are asked for.
    pub(crate) fn log_scale_out(&mut self, request: &str, term: u64) {
        self.counts.decisions.scale_out_requests += 1;
        log::debug!(
            target: TARGET,
            request = request, shard = AUTOSCALER_SHARD, term = term,
            lease_left_ms = self.leadership.controller_lease.valid_until.since(self.context.now).as_millis();
            "rent"
        );
    }

    /// Machines are returned.
    pub(crate) fn log_scale_in(&mut self, names: &[String]) {
        self.counts.decisions.machines_scaled_in += names.len() as u64;
        let term = self.leading_term(AUTOSCALER_SHARD);
        for name in names {
            let machine = name.as_str();
            let tasks = self.machines.views.get(name).map_or(0, |view| view.tasks.len());
            log::debug!(
                target: TARGET,
                machine = machine, shard = AUTOSCALER_SHARD, term:? = term, tasks = tasks;
                "return"
            );
        }
    }

    /// A decision would break a rule: it is told with its evidence, and tests fail.
    pub(crate) fn record_violation(
        &mut self,
        machine: &str,
        authority: CommandAuthority,
        what: Violation,
    ) {
        self.counts.decisions.violations += 1;
        log::error!(
            target: TARGET,
            machine = machine, incarnation = authority.incarnation,
            shard = authority.shard, term = authority.term, fencing_token = authority.fencing_token,
            now_us = authority.now.0, lease_until_us = authority.lease_until.0,
            cancellations_known = authority.cancellations_known,
            violation:? = what;
            "violation"
        );
        debug_assert!(false, "{machine}: {what:?} under {authority:?}");
    }

    /// A worker is shown a higher token from now on.
    pub(crate) fn note_raised_fencing_token(
        &mut self,
        machine: &str,
        authority: CommandAuthority,
        r: &Revocation,
    ) {
        self.counts.decisions.raised_fencing_tokens += 1;
        let beside = self.machines.managed.get(machine).map_or(0, ManagedMachine::present_count);
        self.counts.decisions.tasks_beside_raises += beside as u64;
        log::info!(
            target: TARGET,
            job = r.start.job.as_str(), task = r.start.index, attempt = r.start.attempt,
            machine = machine, incarnation = authority.incarnation,
            shard = authority.shard, term = authority.term, fencing_token = authority.fencing_token,
            revoked_fencing_token = r.revoked_fencing_token, tasks_beside = beside,
            reason:? = r.reason;
            "raise_token"
        );
    }
}
