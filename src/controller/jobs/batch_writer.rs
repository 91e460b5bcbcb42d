//! Writes, reads back and deletes the batches of [`super::batches`].

use super::Jobs;
use super::batches::BatchedChange;
use super::job::{self, ChunkVersion, Job};
use crate::controller::Controller;
use crate::controller::calls::JobsCall;
use crate::controller::context::Context;
use crate::controller::leadership::{Leadership, shard_lease};
use crate::kv_store::{KvRequest, KvResponse};
use crate::wire::{Condition, Txn, Write};
use serde_json::Value;
use std::collections::BTreeMap;

/// A batch's new value, with the changes that it contains.
struct EncodedBatch {
    value: Value,
    changes: Vec<BatchedChange>,
    /// Conditions that the records of the changed jobs are unmodified.
    conditions: Vec<Condition>,
}

impl Jobs {
    /// Whether a job's changes are written to the batch in which it was accepted.
    pub(super) fn stays_batched(&self, id: &str) -> bool {
        let belongs_in_batch = |job: &Job| {
            job.spec.tasks <= job::MAX_BATCHED_TASKS && job.is_active() && !job.is_complete()
        };
        self.batches.key_of(id).is_some() && self.by_id.get(id).is_some_and(belongs_in_batch)
    }

    /// Encodes a batch's next value, with all unstored changes of its jobs.
    fn encode_batch<'a>(&self, jobs: impl Iterator<Item = &'a String>) -> EncodedBatch {
        let (mut values, mut changes, mut conditions) = (Vec::new(), Vec::new(), Vec::new());
        let present = jobs.filter_map(|id| Some((id, self.by_id.get(id)?)));
        // A finished job needs only its record.
        for (id, job) in present.filter(|(_, job)| !job.finished_in_store) {
            let chunk = &job.chunks[0];
            let as_stored = job.store_call_in_flight
                || job.cancelled
                || job.is_complete()
                || !chunk.has_unstored_changes();
            if as_stored {
                // A cancelled job also keeps its stored value: its unstored changes must no longer
                // be written.
                values.push(job.encode_stored(0));
            } else {
                conditions.push(Condition { key: job::job_key(id), revision: job.revision });
                changes.push(BatchedChange { job: id.clone(), version: chunk.version });
                values.push(job.encode_chunk(0));
            }
        }
        EncodedBatch { value: job::encode_batch(values), changes, conditions }
    }

    /// Marks a batch's store call as answered and returns the batch's shard. Returns `None` if
    /// the batch is gone or the call was made in an earlier term of the shard; such a reply
    /// says nothing about the current term.
    fn finish_batch_call(
        &mut self,
        leadership: &Leadership,
        key: &str,
        term: u64,
    ) -> Option<usize> {
        let batch = self.batches.get_mut(key)?;
        if !leadership.leads_under(batch.shard, term) {
            return None;
        }
        batch.call_in_flight = false;
        Some(batch.shard)
    }

    /// Reads a batch back after a write that conflicted or whose outcome is unknown.
    fn read_back_batch(&mut self, context: &mut Context, key: &str, term: u64) {
        if let Some(batch) = self.batches.get_mut(key) {
            batch.call_in_flight = true;
            let call = JobsCall::ReadBatch { key: key.to_string(), term };
            context.call_store(call, KvRequest::Get(key.to_string()));
        }
    }

    /// Deletes one batch that no job needs any more, if there is one.
    pub(super) fn delete_unneeded_batch(&mut self, context: &mut Context, leadership: &Leadership) {
        let Some((key, batch)) = self.batches.first_unneeded(&self.unreadable) else {
            return;
        };
        let Some(led) = leadership.led_shard(batch.shard).filter(|led| led.recovered) else {
            return;
        };
        batch.call_in_flight = true;
        let txn = Txn {
            conditions: vec![
                shard_lease::lease_condition(batch.shard, led.revision),
                Condition { key: key.clone(), revision: batch.revision },
            ],
            writes: vec![Write::Delete { key: key.clone() }],
        };
        let call = JobsCall::DeleteBatch { key: key.clone(), term: led.term };
        context.call_store(call, KvRequest::Txn(txn));
    }
}

impl Controller {
    /// Writes a job's batch with all unstored changes of its jobs. Returns false if the job
    /// must be written to its own key instead.
    pub(super) fn store_batch(&mut self, id: &str) -> bool {
        let Some(key) = self.jobs.batches.key_of(id).cloned() else {
            return false;
        };
        let Some(batch) = self.jobs.batches.get(&key) else {
            return false;
        };
        // A rewrite would lose the jobs in it that cannot be read.
        if self.jobs.is_unreadable(&key) {
            return false;
        }
        if batch.call_in_flight {
            return true;
        }
        let Some(led) = self.leadership.led_shard(batch.shard) else {
            return true;
        };
        let term = led.term;
        let mut conditions = vec![
            shard_lease::lease_condition(batch.shard, led.revision),
            Condition { key: key.clone(), revision: batch.revision },
        ];
        let encoded = self.jobs.encode_batch(batch.jobs.iter());
        conditions.extend(encoded.conditions);
        let limits = &self.context.settings.kv_store;
        // The batch may have been written when the store's limits were larger.
        let conditions_fit = conditions.len() <= 4 * limits.txn_ops;
        if encoded.changes.is_empty()
            || !conditions_fit
            || encoded.value.to_string().len() as f64 > limits.value_kb * 1024.0
        {
            return false;
        }
        for change in &encoded.changes {
            self.changes.jobs.remove(&change.job);
            if let Some(job) = self.jobs.by_id.get_mut(&change.job) {
                job.store_call_in_flight = true;
                job.deferred_since = None;
            }
        }
        if let Some(batch) = self.jobs.batches.get_mut(&key) {
            batch.call_in_flight = true;
        }
        self.jobs.writes_in_flight += 1;
        let writes = vec![Write::Put { key: key.clone(), value: encoded.value, lease: None }];
        let call = JobsCall::StoreBatch { key, term, changes: encoded.changes };
        self.context.call_store(call, KvRequest::Txn(Txn { conditions, writes }));
        true
    }

    /// Handles the reply to the transaction that writes a batch.
    pub(super) fn batch_write_reply(
        &mut self,
        key: &str,
        term: u64,
        changes: Vec<BatchedChange>,
        reply: KvResponse,
    ) {
        self.jobs.writes_in_flight = self.jobs.writes_in_flight.saturating_sub(1);
        let Some(shard) = self.jobs.finish_batch_call(&self.leadership, key, term) else {
            return;
        };
        for change in &changes {
            if let Some(job) = self.jobs.by_id.get_mut(&change.job) {
                job.store_call_in_flight = false;
                self.changes.jobs.insert(change.job.clone());
            }
        }
        match reply {
            KvResponse::Applied(revision) => {
                if let Some(batch) = self.jobs.batches.get_mut(key) {
                    batch.revision = revision;
                }
                for BatchedChange { job, version } in changes {
                    self.chunks_acknowledged(&job, 0, &[ChunkVersion { number: 0, version }]);
                }
            }
            KvResponse::NotExecuted => {}
            KvResponse::Conflict(failed) if failed.contains(&shard_lease::lease_key(shard)) => {
                self.lease_revision_changed(shard, term);
            }
            KvResponse::Conflict(failed) => {
                for change in &changes {
                    if failed.contains(&job::job_key(&change.job)) {
                        self.read_back(&change.job);
                    }
                }
                if failed.iter().any(|failed| failed == key) {
                    self.jobs.read_back_batch(&mut self.context, key, term);
                }
            }
            // The write may have been applied or may still be applied later. The stored value
            // shows whether it was. A write that reaches the store after a newer one fails on the
            // batch's revision.
            _ => self.jobs.read_back_batch(&mut self.context, key, term),
        }
    }

    /// Handles a batch that was read back, and acknowledges the changes found in it.
    pub(super) fn batch_read_back_reply(&mut self, key: &str, term: u64, reply: KvResponse) {
        if self.jobs.finish_batch_call(&self.leadership, key, term).is_none() {
            return;
        }
        // If the read failed, the next write fails on the batch's revision and triggers another
        // read-back.
        let KvResponse::Value(Some(item)) = reply else {
            return;
        };
        if let Some(batch) = self.jobs.batches.get_mut(key) {
            batch.revision = item.revision;
        }
        let version = |(job, chunk): (String, Value)| Some((job, job::stored_version(&chunk)?));
        let stored: BTreeMap<String, u64> =
            job::decode_batch(&item.value).into_iter().filter_map(version).collect();
        for (job, version) in stored {
            let applied = self.jobs.by_id.get(&job).is_some_and(|job| {
                let chunk = &job.chunks[0];
                chunk.revision == 0 && version > chunk.stored_version && version <= chunk.version
            });
            if applied {
                self.chunks_acknowledged(&job, 0, &[ChunkVersion { number: 0, version }]);
            }
        }
    }

    /// Handles the reply to the delete of a batch.
    pub(super) fn batch_delete_reply(&mut self, key: &str, term: u64, reply: KvResponse) {
        let Some(batch) = self.jobs.batches.get_mut(key) else {
            return;
        };
        batch.call_in_flight = false;
        let shard = batch.shard;
        match reply {
            KvResponse::Conflict(failed) if failed.contains(&shard_lease::lease_key(shard)) => {
                self.lease_revision_changed(shard, term);
            }
            // A conflict means that an earlier delete was applied.
            KvResponse::Applied(_) | KvResponse::Conflict(_) => self.jobs.batches.remove(key),
            _ => {}
        }
    }
}
