//! Admission of jobs: a transaction for each that writes `j/REF` and `w/S/REF/0`.
//!
//! When more submissions arrive than the write budget allows one by one, the waiting ones are
//! admitted together: one transaction writes a `j/REF` for each and one key, a *batch*, with
//! all their descriptions. [`crate::controller::jobs::batches`] covers their later writes.
//!
//! Owns the waiting submissions. No job is reported as accepted before the store has applied
//! its transaction.

pub(crate) mod outcome;
pub(crate) mod transaction;

use crate::controller::api::Api;
use crate::controller::api::counters::Counters;
use crate::controller::api::pending::Submission;
use crate::controller::context::Context;
use crate::controller::jobs::job;
use crate::controller::leadership::shard::ShardLeadership;
use crate::controller::{Controller, Ticket};
use crate::time::Micros;
use crate::wire::JobSpec;
use std::rc::Rc;

/// How long after a submission further ones are expected, and writes reserved for them.
const WRITES_RESERVED_FOR: Micros = Micros::millis(500);
/// Writes of the admission of a single job: its record and its tasks.
pub(crate) const ADMISSION_WRITES: usize = 2;
/// A submission that waits for longer is refused, and its user must retry.
const MAX_SUBMISSION_WAIT: Micros = Micros::millis(2_500);
/// Share of the maximum value size that descriptions may take; the rest is for the JSON around
/// the list.
const BATCH_FILL_RATIO: f64 = 0.95;
/// Maximum bytes of a job in a batch besides its description.
const BATCHED_JOB_OVERHEAD_BYTES: f64 = 100.0;

/// Submissions that wait for admission.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Submissions that have not been sent to the store, in order of arrival.
    waiting: Vec<Submission>,
    /// Number of submissions that are neither accepted nor refused yet, including those
    /// already sent to the store.
    undecided: usize,
    /// Until when further submissions are expected, and writes reserved for them.
    writes_reserved_until: Micros,
    /// Number of batches begun by this process; numbers their keys.
    batch_count: u64,
}

impl Admission {
    /// Whether submissions wait for the write budget.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether a submission of the job waits to be sent to the store.
    pub(crate) fn has_waiting(&self, id: &str) -> bool {
        self.waiting.iter().any(|submission| submission.spec.id == id)
    }

    /// Number of submissions that are neither accepted nor refused yet.
    pub(crate) fn undecided(&self) -> usize {
        self.undecided
    }

    /// Adds a submission that has passed all checks; `spec_bytes` is the size of its encoded
    /// description.
    fn enqueue(&mut self, context: &Context, ticket: Ticket, spec: Rc<JobSpec>, spec_bytes: usize) {
        self.writes_reserved_until = context.now + WRITES_RESERVED_FOR;
        self.undecided += 1;
        self.waiting.push(Submission {
            ticket,
            spec,
            submitted_at: context.wall_clock(),
            arrived_at: context.now,
            spec_bytes,
        });
    }

    /// Records that `count` submissions were accepted or refused.
    fn record_decided(&mut self, count: usize) {
        self.undecided = self.undecided.saturating_sub(count);
    }

    /// Queues a submission again whose transaction failed only because of others in it.
    fn requeue(&mut self, submission: Submission) {
        self.undecided += 1;
        self.waiting.push(submission);
    }

    /// Writes per second that other writers leave to admissions while submissions arrive, since
    /// their users wait.
    pub(crate) fn reserved_writes(&self, context: &Context) -> f64 {
        if context.now < self.writes_reserved_until {
            context.write_budget.burst() / 2.0
        } else {
            0.0
        }
    }

    /// Removes and returns the submissions to send next: one while the write budget is ample,
    /// otherwise as many as fit together; `None` while the budget is used up.
    fn next_group(&mut self, context: &mut Context) -> Option<Vec<Submission>> {
        let level = context.write_budget.level(context.now);
        let burst = context.write_budget.burst();
        let has_ample_budget =
            level >= (self.waiting.len() * ADMISSION_WRITES) as f64 + burst / 2.0;
        let count = if has_ample_budget { 1 } else { self.group_size(context) };
        let writes = if count == 1 { ADMISSION_WRITES } else { count + 1 };
        // Requires no more than the other writers leave: if it waited for more, their writes
        // could keep it waiting forever.
        if level < (writes as f64).min(1.0 + self.reserved_writes(context)) {
            return None;
        }
        Some(self.waiting.drain(..count).collect())
    }

    /// Number of waiting submissions, from the first, that fit in one transaction and one value.
    fn group_size(&self, context: &Context) -> usize {
        let limits = &context.settings.kv_store;
        let mut left_bytes = limits.value_kb * 1024.0 * BATCH_FILL_RATIO;
        let max_by_budget = (context.write_budget.burst() / 2.0) as usize;
        let max = limits.txn_ops.saturating_sub(1).min(max_by_budget).clamp(1, self.waiting.len());
        let fits = |submission: &&Submission| {
            left_bytes -= submission.spec_bytes as f64 + BATCHED_JOB_OVERHEAD_BYTES;
            left_bytes > 0.0
        };
        self.waiting[..max].iter().take_while(fits).count().max(1)
    }

    /// Key of the next batch of a shard that is led under `term`.
    fn next_batch_key(&mut self, shard: usize, term: u64) -> String {
        self.batch_count += 1;
        job::batch_key(shard, term, self.batch_count)
    }

    /// Removes and returns the submissions that waited for longer than
    /// [`MAX_SUBMISSION_WAIT`].
    fn take_expired(&mut self, now: Micros) -> Vec<Submission> {
        let is_late = |s: &mut Submission| now.since(s.arrived_at) > MAX_SUBMISSION_WAIT;
        let expired: Vec<Submission> = self.waiting.extract_if(.., is_late).collect();
        self.record_decided(expired.len());
        expired
    }

    /// Removes and returns all waiting submissions.
    fn take_waiting(&mut self) -> Vec<Submission> {
        let waiting = std::mem::take(&mut self.waiting);
        self.record_decided(waiting.len());
        waiting
    }
}

impl Api {
    /// Refuses the submissions that have waited for too long, or all of them if the controller
    /// lease is not held, so that nothing can be accepted. The answers have a `Retry-After`.
    pub(crate) fn expire_submissions(
        &mut self,
        context: &mut Context,
        counts: &mut Counters,
        holds_lease: bool,
    ) {
        if !holds_lease {
            return self.refuse_waiting(context, counts, "state service away");
        }
        for submission in self.admission.take_expired(context.now) {
            let reason = "too many submissions wait";
            self.respond_retry_later(context, counts, submission.ticket, 429, reason);
        }
    }

    fn refuse_waiting(&mut self, context: &mut Context, counts: &mut Counters, reason: &str) {
        for submission in self.admission.take_waiting() {
            self.respond_retry_later(context, counts, submission.ticket, 503, reason);
        }
    }
}

impl Controller {
    /// Queues a submission that has passed all checks for admission; `spec_bytes` is the size of
    /// its encoded description.
    pub(crate) fn queue_submission(
        &mut self,
        ticket: Ticket,
        spec: Rc<JobSpec>,
        spec_bytes: usize,
    ) {
        self.api.admission.enqueue(&self.context, ticket, spec, spec_bytes);
    }

    /// Whether submissions wait for the write budget, which refills with time; the caller then
    /// sends ticks more often.
    pub fn has_waiting_submissions(&self) -> bool {
        self.api.admission.is_waiting()
    }

    /// Sends waiting submissions to the key-value store: one by one while the write budget is
    /// ample, otherwise in groups.
    pub(crate) fn admit_waiting(&mut self) {
        while self.api.admission.is_waiting() {
            let Some((shard, leadership)) = self.admitting_leadership() else {
                let reason = "no seat is held";
                return self.api.refuse_waiting(&mut self.context, &mut self.counts, reason);
            };
            let Some(submissions) = self.api.admission.next_group(&mut self.context) else {
                return;
            };
            self.admit(shard, &leadership, submissions);
        }
    }

    /// The shard that accepts jobs submitted to this member, with its leadership.
    fn admitting_leadership(&self) -> Option<(usize, ShardLeadership)> {
        let shard = self.admitting_shard()?;
        Some((shard, self.leadership.led_shard(shard).cloned()?))
    }
}
