//! Writes, read-backs and deletes of the batches of [`super::batches`].

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

/// A batch's new value with the changes in it.
struct EncodedBatch {
    value: Value,
    changes: Vec<BatchedChange>,
    /// That the records of the changed jobs are as they were.
    conditions: Vec<Condition>,
}

impl Jobs {
    /// Whether what is written of a job goes into the batch that it came in.
    pub(super) fn stays_batched(&self, id: &str) -> bool {
        let small =
            |job: &Job| job.spec.tasks <= job::BATCHED_TASKS && job.is_active() && !job.complete();
        self.batches.key_of(id).is_some() && self.by_id.get(id).is_some_and(small)
    }

    /// The value of a batch as it is to be written, with all that has changed of its jobs.
    fn encode_batch<'a>(&self, jobs: impl Iterator<Item = &'a String>) -> EncodedBatch {
        let (mut values, mut changes, mut conditions) = (Vec::new(), Vec::new(), Vec::new());
        let present = jobs.filter_map(|id| Some((id, self.by_id.get(id)?)));
        // The record holds all that matters of finished jobs.
        for (id, job) in present.filter(|(_, job)| !job.finished_in_store) {
            let chunk = &job.chunks[0];
            let as_stored = job.store_call_in_flight
                || job.cancelled
                || job.complete()
                || !chunk.has_unstored_changes();
            if as_stored {
                // Nothing of a cancelled job may be written ahead any more.
                values.push(job.encode_stored(0));
            } else {
                conditions.push(Condition { key: job::job_key(id), revision: job.revision });
                changes.push(BatchedChange { job: id.clone(), version: chunk.version });
                values.push(job.encode_chunk(0));
            }
        }
        EncodedBatch { value: job::encode_batch(values), changes, conditions }
    }

    /// Ends a call to the store about a batch, and returns the batch's shard; `None` if the
    /// batch is gone, or the call belongs to an earlier term of its shard, whose reply
    /// means nothing for this one.
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

    /// Reads a batch after a write whose outcome is unknown.
    fn read_back_batch(&mut self, context: &mut Context, key: &str, term: u64) {
        if let Some(batch) = self.batches.get_mut(key) {
            batch.call_in_flight = true;
            let call = JobsCall::ReadBatch { key: key.to_string(), term };
            context.call_store(call, KvRequest::Get(key.to_string()));
        }
    }

    /// Deletes a batch that no job needs any more.
    pub(super) fn drop_batch(&mut self, context: &mut Context, leadership: &Leadership) {
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
        let call = JobsCall::DropBatch { key: key.clone(), term: led.term };
        context.call_store(call, KvRequest::Txn(txn));
    }
}

impl Controller {
    /// Writes a job's batch with all that has changed of its jobs; false if the
    /// job is to have a key of its own after all.
    pub(super) fn store_batch(&mut self, id: &str) -> bool {
        let Some(key) = self.jobs.batches.key_of(id).cloned() else {
            return false;
        };
        let Some(batch) = self.jobs.batches.get(&key) else {
            return false;
        };
        // Rewritten, it would lose what cannot be read of it.
        if self.jobs.is_unreadable(&key) {
            return false;
        }
        if batch.call_in_flight {
            return true;
        }
        let Some(leadership) = self.leadership.led_shard(batch.shard) else {
            return true;
        };
        let term = leadership.term;
        let mut conditions = vec![
            shard_lease::lease_condition(batch.shard, leadership.revision),
            Condition { key: key.clone(), revision: batch.revision },
        ];
        let encoded = self.jobs.encode_batch(batch.jobs.iter());
        conditions.extend(encoded.conditions);
        let limits = &self.context.settings.kv_store;
        // It may be of a time with larger limits.
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

    /// Takes in the reply to a transaction with changes of a batch's jobs.
    pub(super) fn batch_stored(
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
            // It may have been applied, or may be later: what is stored decides,
            // and a late one fails on the batch's revision.
            _ => self.jobs.read_back_batch(&mut self.context, key, term),
        }
    }

    /// Takes in a batch that was read back, and acknowledges what was written after all.
    pub(super) fn batch_read_back(&mut self, key: &str, term: u64, reply: KvResponse) {
        if self.jobs.finish_batch_call(&self.leadership, key, term).is_none() {
            return;
        }
        // Unread, the next write fails on its revision and leads here again.
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

    /// Takes in the reply to the delete of a batch.
    pub(super) fn batch_dropped(&mut self, key: &str, term: u64, reply: KvResponse) {
        let Some(batch) = self.jobs.batches.get_mut(key) else {
            return;
        };
        batch.call_in_flight = false;
        let shard = batch.shard;
        match reply {
            KvResponse::Conflict(failed) if failed.contains(&shard_lease::lease_key(shard)) => {
                self.lease_revision_changed(shard, term);
            }
            // After a conflict an earlier try was applied after all.
            KvResponse::Applied(_) | KvResponse::Conflict(_) => self.jobs.batches.remove(key),
            _ => {}
        }
    }
}
