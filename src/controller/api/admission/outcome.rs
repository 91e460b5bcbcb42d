//! Handling of replies to the transactions that accept jobs.

use crate::controller::api::pending::{AdmissionGroup, PreparedAnswer, Submission};
use crate::controller::jobs::dependency_graph::DependencyOutcome;
use crate::controller::jobs::job::{self, Job, StoredStage};
use crate::controller::leadership::shard_lease;
use crate::controller::{CachedStage, Controller};
use crate::kv_store::KvResponse;
use log::info;
use std::rc::Rc;

/// How a group of jobs was accepted.
#[derive(Debug, Clone, Copy)]
struct Acceptance {
    shard: usize,
    /// Revision of the transaction.
    revision: u64,
    /// Whether this process still leads the shard under the same term.
    still_led: bool,
    /// Whether the jobs' descriptions are in a batch.
    batched: bool,
}

impl Controller {
    /// Handles the reply to an admission.
    pub(crate) fn admission_reply(&mut self, group: AdmissionGroup, reply: KvResponse) {
        self.api.admission.record_decided(group.submissions.len());
        match reply {
            KvResponse::Applied(_) if self.leadership.is_outdated(group.origin) => {
                self.read_accepted_group(group);
            }
            KvResponse::Applied(revision) => self.group_accepted(group, revision),
            KvResponse::Conflict(failed_keys) => self.group_refused(group, &failed_keys),
            // The transaction may still be applied, or has been. The watch delivers the jobs'
            // records, and what it has delivered already is recovered from the next tick on.
            _ => {
                for submission in group.submissions {
                    self.respond_retry_later(submission.ticket, 503, "state service away");
                }
            }
        }
    }

    fn group_accepted(&mut self, group: AdmissionGroup, revision: u64) {
        let AdmissionGroup { submissions, shard, term, batch_key, .. } = group;
        // If this process has lost the shard since, its next leader recovers the jobs.
        let leadership = self.leadership.led_shard(shard);
        let still_led = leadership.is_some_and(|leadership| leadership.term == term);
        let batched = batch_key.is_some();
        if let Some(key) = batch_key.filter(|_| still_led) {
            let jobs = submissions.iter().map(|s| s.spec.id.clone()).collect();
            self.jobs.batches.add(&key, shard, revision, jobs);
        }
        let acceptance = Acceptance { shard, revision, still_led, batched };
        for submission in submissions {
            self.job_accepted(submission, acceptance);
        }
    }

    /// Answers with the stored stages of jobs that were accepted before the watch of jobs started
    /// anew, since they may have been cancelled before that, too. The listing that follows such a
    /// start finds the jobs, as those of an admission whose outcome is unknown.
    fn read_accepted_group(&mut self, group: AdmissionGroup) {
        for submission in group.submissions {
            let if_absent = PreparedAnswer::undecided();
            self.read_job_or_answer(submission.ticket, &submission.spec.id, if_absent);
        }
    }

    /// Handles a failed condition: the shard lease has changed, or a job already has a record.
    fn group_refused(&mut self, group: AdmissionGroup, failed_keys: &[String]) {
        let lease_changed = failed_keys.contains(&shard_lease::lease_key(group.shard));
        if lease_changed {
            self.lease_revision_changed(group.shard, group.term);
        }
        for submission in group.submissions {
            let is_known = failed_keys.contains(&job::job_key(&submission.spec.id));
            if !lease_changed && !is_known && group.batch_key.is_some() && self.holds_lease() {
                // Another job of the group made the transaction fail; this one may be sent again.
                self.api.admission.requeue(submission);
                continue;
            }
            let if_absent = PreparedAnswer::undecided();
            self.read_job_or_answer(submission.ticket, &submission.spec.id, if_absent);
        }
    }

    fn job_accepted(&mut self, submission: Submission, acceptance: Acceptance) {
        let Acceptance { shard, revision, .. } = acceptance;
        let spec = &submission.spec;
        let (id, tasks) = (&spec.id, spec.tasks);
        info!("job {id} accepted: {tasks} tasks of {}, team {}", spec.class, spec.team);
        let took = self.context.now.since(submission.arrived_at).as_millis();
        log::debug!("job {id} admitted {took} ms after its submission");
        self.counts.accepted += 1;
        self.jobs.dependency_graph.set_dependencies(id, &spec.dependencies);
        let accepted = CachedStage { stage: StoredStage::Accepted, shard, tasks, revision };
        self.cache_stage(id, accepted);
        // Another member may have changed the record while the reply was in flight.
        let cached = self.jobs.stage_cache.get(id);
        if acceptance.still_led && !self.jobs.by_id.contains_key(id) {
            let cancelled = cached.is_some_and(|c| c.stage == StoredStage::Cancelled);
            self.add_accepted_job(&submission, acceptance, cancelled);
        }
        let cached = cached.unwrap_or(accepted);
        if cached.stage == StoredStage::Accepted
            && self.dependency_outcome_of(id) == DependencyOutcome::Pending
        {
            // Needs no comparison: the job was accepted just now, so no user can have received a
            // later stage.
            let answer = self.job_answer(id, cached);
            return self.context.respond(submission.ticket, 201, None, &answer);
        }
        self.answer_with_stage(submission.ticket, 201, id, cached);
    }

    /// Adds a job of a led shard, to be run by this process from now on.
    fn add_accepted_job(
        &mut self,
        submission: &Submission,
        acceptance: Acceptance,
        cancelled: bool,
    ) {
        let Acceptance { shard, revision, batched, .. } = acceptance;
        let id = &submission.spec.id;
        let spec = Rc::clone(&submission.spec);
        let layout = self.jobs.chunk_layout;
        let mut job = Job::new(spec, shard, revision, submission.submitted_at, layout);
        job.acceptance_stored(if batched { 0 } else { revision });
        job.cancelled = cancelled;
        if job.awaits_dependencies {
            self.jobs.dependents.add_waiting(id);
        }
        self.changes.jobs.insert(id.clone());
        self.jobs.by_id.insert(id.clone(), job);
        self.scheduler.request_pass();
    }
}
