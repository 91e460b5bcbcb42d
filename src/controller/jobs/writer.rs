//! Writes the changes of local jobs in order of urgency, with a limit on transactions in flight.
//!
//! [`super::write_plan`] plans the content of a transaction; [`super::write_replies`] handles its
//! reply.

use super::Jobs;
use super::job::TaskEnd;
use super::write_plan::{WriteLimits, WritePlan, WriteUrgency};
use crate::config::KvStoreLimits;
use crate::controller::Controller;
use crate::controller::calls::JobsCall;
use crate::controller::leadership::shard_lease;
use crate::kv_store::KvRequest;
use crate::peer::ObservedState;
use crate::time::Micros;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Maximum number of chunks in one transaction. With values of 8 KiB, more could exceed 64 KiB,
/// and one large job would delay all others.
const MAX_CHUNKS_PER_TXN: usize = 4;
/// Maximum number of task writes in flight. Changes that come meanwhile are written together.
const MAX_WRITES_IN_FLIGHT: usize = 3;
/// Pause in a job's placements after some of them were withdrawn.
const WITHDRAWN_PAUSE: Micros = Micros::millis(500);

/// A job with changes to write. Candidates sort in the order in which they are written.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WriteCandidate {
    urgency: WriteUrgency,
    rank: u32,
    accepted: Micros,
    job: String,
}

impl Jobs {
    /// Whether fewer than [`MAX_WRITES_IN_FLIGHT`] writes are in flight.
    fn may_begin_write(&self) -> bool {
        self.writes_in_flight < MAX_WRITES_IN_FLIGHT
    }

    /// Changed jobs that may be written now, the most urgent first.
    fn write_candidates(&self, now: Micros, changed: &BTreeSet<String>) -> Vec<WriteCandidate> {
        let mut candidates: Vec<WriteCandidate> = Vec::new();
        for id in changed {
            let Some(job) = self.by_id.get(id) else {
                // No longer a local job: the writer removes it from the list of changes.
                candidates.push(WriteCandidate {
                    urgency: WriteUrgency::Now,
                    rank: 0,
                    accepted: Micros::ZERO,
                    job: id.clone(),
                });
                continue;
            };
            if job.store_call_in_flight {
                continue;
            }
            let urgency = job.write_urgency(now);
            if urgency != WriteUrgency::None {
                let (rank, accepted) = (job.rank(), job.accepted);
                candidates.push(WriteCandidate { urgency, rank, accepted, job: id.clone() });
            }
        }
        candidates.sort();
        candidates
    }

    /// Derives the limits of a transaction from those of the store.
    fn write_limits(&self, limits: &KvStoreLimits) -> WriteLimits {
        // Once its lower limits are in effect, the key-value store refuses larger values.
        let value_kb = match self.previous_chunk_layout {
            Some(_) => limits.current_value_kb,
            None => limits.value_kb,
        };
        WriteLimits {
            max_chunks: limits.txn_ops.min(MAX_CHUNKS_PER_TXN),
            max_value_bytes: limits.next.is_some().then_some((value_kb * 1024.0) as usize),
        }
    }

    /// Removes a job. Returns the machines that had tasks of it, each paired with its shard.
    fn remove(&mut self, id: &str) -> Vec<(usize, Rc<str>)> {
        match self.by_id.remove(id) {
            Some(job) => self.task_index.remove_job(job.shard, id),
            None => Vec::new(),
        }
    }

    /// Removes a task from its machine's index entry if the job has no attempt of it there.
    pub(super) fn unlink(&mut self, id: &str, index: u32, machine: &Rc<str>) {
        if let Some(job) = self.by_id.get_mut(id)
            && let Some(chunk) = job.chunk_of(index)
            && !chunk.has_attempt_on(index, machine)
        {
            self.task_index.remove(job.shard, machine, id, index);
        }
    }
}

impl Controller {
    /// Sends transactions for jobs with changes. Jobs whose starts or whose own end wait for the
    /// write come first, by rank. Other changes are written later and together, and only from
    /// the part of the write budget that the urgent ones do not need.
    pub(crate) fn write_changed_jobs(&mut self) {
        let half_burst = self.context.write_budget.burst() / 2.0;
        if self.context.write_budget.level(self.context.now) > 1.0 + half_burst {
            self.jobs.delete_unneeded_batch(&mut self.context, &self.leadership);
        }
        if self.changes.jobs.is_empty() || !self.jobs.may_begin_write() || !self.holds_lease() {
            return;
        }
        let now = self.context.now;
        let level = self.context.write_budget.level(now);
        let reserved_for_admissions = self.api.admission.reserved_writes(&self.context);
        for candidate in self.jobs.write_candidates(now, &self.changes.jobs) {
            // Changes that wait here join the job's next write. A transaction in the queue of
            // calls could not take in later changes.
            let min_level = match candidate.urgency {
                WriteUrgency::Now => 1.0 + reserved_for_admissions,
                _ => 1.0 + reserved_for_admissions + half_burst,
            };
            if !self.jobs.may_begin_write()
                || level.min(self.context.write_budget.level(now)) < min_level
            {
                return;
            }
            self.store(&candidate.job, candidate.urgency);
        }
    }

    /// Sends a transaction with a job's changes, alone or with those of the job's batch.
    fn store(&mut self, id: &str, urgency: WriteUrgency) {
        let Some(job) = self.jobs.by_id.get(id) else {
            self.changes.jobs.remove(id);
            return;
        };
        if job.store_call_in_flight {
            return;
        }
        let shard = job.shard;
        // The handover of a shard waits for its writes in flight, so no new one begins.
        let Some(led) =
            self.leadership.led_shard(shard).filter(|led| led.recovered && !led.handing_over)
        else {
            return;
        };
        let lease = shard_lease::lease_condition(shard, led.revision);
        let term = led.term;
        if self.jobs.stays_batched(id) && self.store_batch(id) {
            return;
        }
        if !self.finish_cancelled(id) {
            return;
        }
        let limits = self.jobs.write_limits(&self.context.settings.kv_store);
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        match job.plan_write(urgency, limits, lease) {
            WritePlan::Send { write, txn, has_more } => {
                job.store_call_in_flight = true;
                job.deferred_since =
                    has_more.then(|| job.deferred_since.unwrap_or(self.context.now));
                if !has_more {
                    self.changes.jobs.remove(id);
                }
                self.jobs.writes_in_flight += 1;
                let call = JobsCall::Store { job: id.to_string(), term, write };
                self.context.call_store(call, KvRequest::Txn(txn));
            }
            WritePlan::TooLarge(chunks) => {
                // The job is tried again with its next change. Trying at every flush would encode
                // it hundreds of times a second.
                self.changes.jobs.remove(id);
                self.withdraw_unstored_placements(id, &chunks);
            }
            WritePlan::OnlyRecordLeft => self.forget_job(id),
        }
    }

    /// Marks a cancelled job as finished once all its tasks have ended. Returns false if some
    /// have not, in which case nothing of the job is written yet.
    fn finish_cancelled(&mut self, id: &str) -> bool {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return false;
        };
        if !job.cancelled || job.finished_in_store {
            return true;
        }
        // The ends need not be stored, since no task of a cancelled job is ever started again.
        for chunk in &mut job.chunks {
            chunk.unstored_ends.clear();
        }
        if job.reserved_tasks() > 0 {
            self.refresh_desired_state(id);
            self.changes.jobs.remove(id);
            return false;
        }
        job.finished_in_store = true;
        true
    }

    /// Withdraws unstored placements in chunks that are too large to be written. Otherwise their
    /// tasks would never start, and so never end and make the chunk smaller.
    fn withdraw_unstored_placements(&mut self, id: &str, chunks: &[usize]) {
        for number in chunks {
            let withdrawn: Vec<u32> = self
                .jobs
                .by_id
                .get(id)
                .map_or(Vec::new(), |job| job.chunks[*number].unstored_placements().collect());
            for index in withdrawn {
                self.end_task(id, index, TaskEnd::certain(ObservedState::Stopped));
            }
            if let Some(job) = self.jobs.by_id.get_mut(id) {
                let chunk = &mut job.chunks[*number];
                chunk.placement_version = chunk.placement_version.min(chunk.stored_version);
                job.backoff.pause_until(self.context.now + WITHDRAWN_PAUSE);
            }
        }
    }

    /// Removes a finished job of which only the record is left in the store.
    fn forget_job(&mut self, id: &str) {
        self.changes.jobs.remove(id);
        self.jobs.batches.remove_job(id);
        self.changes.desired.extend(self.jobs.remove(id));
    }
}
