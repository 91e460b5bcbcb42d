//! Accepting jobs: one transaction of `j/REF` and `w/S/REF/0` for each.
//!
//! Where more come than this node's share of changes allows one by one, those
//! that wait are accepted together: an `j/REF` each, and one key, a *batch*, with
//! all their descriptions. What is written of them later: see [`crate::controller::jobs::batches`].
//!
//! Owns the submissions that wait. Nothing here
//! answers that a job is accepted before the store has applied its transaction.

pub(crate) mod outcome;
pub(crate) mod transaction;

use crate::controller::api::Api;
use crate::controller::api::counts::Counts;
use crate::controller::api::pending::Submission;
use crate::controller::context::Context;
use crate::controller::jobs::job;
use crate::controller::leadership::shard::ShardLeadership;
use crate::controller::{Controller, Ticket};
use crate::time::Micros;
use crate::wire::JobSpec;
use std::rc::Rc;

/// How long after a submission others are expected.
const EXPECT_MORE_FOR: Micros = Micros::millis(500);
/// Changes that an admission of one job makes: its record and its tasks.
pub(crate) const ADMISSION_WRITES: usize = 2;
/// A submission that has waited for longer is refused, to be sent again.
const MAX_SUBMISSION_WAIT: Micros = Micros::millis(2_500);
/// Part of a value that descriptions may take: some is left for what surrounds the list.
const BATCH_FILL_SHARE: f64 = 0.95;
/// Bytes that a job takes in a batch beside its description, at most.
const BATCHED_JOB_OVERHEAD_BYTES: f64 = 100.0;

/// Submissions that wait.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Submissions that have not been sent to the store, in order of arrival.
    waiting: Vec<Submission>,
    /// Submissions that were neither accepted nor refused yet, those that were sent
    /// to the store among them.
    undecided: usize,
    /// Until when further submissions are expected, and writes leave them a share.
    expect_more_until: Micros,
    /// Batches that this process has written; numbers them.
    batch_count: u64,
}

impl Admission {
    /// Whether submissions wait for their share of changes.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether a submission of the job waits.
    pub(crate) fn has_waiting(&self, id: &str) -> bool {
        self.waiting.iter().any(|submission| submission.spec.id == id)
    }

    /// Submissions that were neither accepted nor refused yet.
    pub(crate) fn undecided(&self) -> usize {
        self.undecided
    }

    /// Adds a submission that can be accepted; `spec_bytes` is the size of its encoded
    /// description.
    fn enqueue(&mut self, context: &Context, ticket: Ticket, spec: Rc<JobSpec>, spec_bytes: usize) {
        self.expect_more_until = context.now + EXPECT_MORE_FOR;
        self.undecided += 1;
        self.waiting.push(Submission {
            ticket,
            spec,
            submitted_at: context.wall(),
            arrived_at: context.now,
            spec_bytes,
        });
    }

    /// So many submissions were accepted or refused.
    fn note_decided(&mut self, count: usize) {
        self.undecided = self.undecided.saturating_sub(count);
    }

    /// A submission that was refused with others, and for them, waits again.
    fn requeue(&mut self, submission: Submission) {
        self.undecided += 1;
        self.waiting.push(submission);
    }

    /// Changes per second that other writes leave to admissions: while submissions come,
    /// their users wait for them.
    pub(crate) fn reserved_writes(&self, context: &Context) -> f64 {
        if context.now < self.expect_more_until { context.write_budget.burst() / 2.0 } else { 0.0 }
    }

    /// Takes out the submissions that are to be sent next: one while there is plenty of
    /// this node's share of changes, else as many as fit together; none while the share
    /// is used up.
    fn next_group(&mut self, context: &mut Context) -> Option<Vec<Submission>> {
        let level = context.write_budget.level(context.now);
        let burst = context.write_budget.burst();
        let is_plenty = level >= (self.waiting.len() * ADMISSION_WRITES) as f64 + burst / 2.0;
        let count = if is_plenty { 1 } else { self.group_size(context) };
        let writes = if count == 1 { ADMISSION_WRITES } else { count + 1 };
        // No more than what writes of tasks leave: waiting for more, it would
        // wait for ever behind them.
        if level < (writes as f64).min(1.0 + self.reserved_writes(context)) {
            return None;
        }
        Some(self.waiting.drain(..count).collect())
    }

    /// How many of those that wait fit in one transaction and one value.
    fn group_size(&self, context: &Context) -> usize {
        let limits = &context.settings.kv_store;
        let mut left_bytes = limits.value_kb * 1024.0 * BATCH_FILL_SHARE;
        let share = (context.write_budget.burst() / 2.0) as usize;
        let max = limits.txn_ops.saturating_sub(1).min(share).clamp(1, self.waiting.len());
        let fits = |submission: &&Submission| {
            left_bytes -= submission.spec_bytes as f64 + BATCHED_JOB_OVERHEAD_BYTES;
            left_bytes > 0.0
        };
        self.waiting[..max].iter().take_while(fits).count().max(1)
    }

    /// Key of a further batch of a shard, led under a term.
    fn next_batch_key(&mut self, shard: usize, term: u64) -> String {
        self.batch_count += 1;
        job::batch_key(shard, term, self.batch_count)
    }

    /// Takes out the submissions that have waited for too long.
    fn take_expired(&mut self, now: Micros) -> Vec<Submission> {
        let is_late = |s: &mut Submission| now.since(s.arrived_at) > MAX_SUBMISSION_WAIT;
        let expired: Vec<Submission> = self.waiting.extract_if(.., is_late).collect();
        self.note_decided(expired.len());
        expired
    }

    /// Takes out all submissions that wait.
    fn take_waiting(&mut self) -> Vec<Submission> {
        let waiting = std::mem::take(&mut self.waiting);
        self.note_decided(waiting.len());
        waiting
    }
}

impl Api {
    /// Refuses submissions that have waited for too long, or all of them where nothing
    /// can be accepted: the answer says when to come back.
    pub(crate) fn expire_submissions(
        &mut self,
        context: &mut Context,
        counts: &mut Counts,
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

    fn refuse_waiting(&mut self, context: &mut Context, counts: &mut Counts, reason: &str) {
        for submission in self.admission.take_waiting() {
            self.respond_retry_later(context, counts, submission.ticket, 503, reason);
        }
    }
}

impl Controller {
    /// Puts a submission that can be accepted among those that wait; `spec_bytes` is the
    /// size of its encoded description.
    pub(crate) fn queue_submission(
        &mut self,
        ticket: Ticket,
        spec: Rc<JobSpec>,
        spec_bytes: usize,
    ) {
        self.api.admission.enqueue(&self.context, ticket, spec, spec_bytes);
    }

    /// Whether submissions wait for their share of changes, so that time matters.
    pub fn has_waiting_submissions(&self) -> bool {
        self.api.admission.is_waiting()
    }

    /// Sends waiting submissions to the key-value store: one by one while there is
    /// plenty of this node's share, together where there is not.
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

    /// The shard that accepts new jobs here, and under what it is led.
    fn admitting_leadership(&self) -> Option<(usize, ShardLeadership)> {
        let shard = self.admitting_shard()?;
        Some((shard, self.leadership.led_shard(shard).cloned()?))
    }
}
