//! Plans which changes of a job go into its next transaction.
//!
//! Performs no I/O and changes no state: [`super::writer`] sends the planned transactions.

use super::job::{self, ChunkVersion, Job, JobRecord, StoredStage};
use crate::time::Micros;
use crate::wire::{Condition, Txn, Write};
use serde_json::{Value, json};

/// Age from which deferred task ends are written as urgently as starts.
const MAX_DEFERRED_WRITE_AGE: Micros = Micros::secs(10);
/// How long a task's end is deferred, so that later ends can be written with it.
const DEFERRED_WRITE_DELAY: Micros = Micros::millis(2_500);

/// Urgency of writing a job's changes, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WriteUrgency {
    /// Task starts or the end of a whole job wait for the write.
    Now,
    /// Only task ends are to be written, or chunks of a finished job to be deleted.
    Later,
    /// The changes are deferred and not written yet.
    None,
}

/// Size limits of one transaction with a job's changes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteLimits {
    /// Maximum number of chunks.
    pub(crate) max_chunks: usize,
    /// Maximum size of a value in bytes. Set only while the settings name the store's next
    /// limits, since chunks laid out for a larger limit may still be in memory. `None` if
    /// every chunk fits by its layout.
    pub(crate) max_value_bytes: Option<usize>,
}

/// Changes of a job that a transaction stores, to be acknowledged once it is applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum JobWrite {
    /// The job's record is marked as done.
    Done,
    /// Chunks of a finished job with these numbers are deleted.
    DeletedChunks(Vec<usize>),
    /// Chunks are stored in these versions.
    Chunks(Vec<ChunkVersion>),
}

/// Next step towards having a job's changes stored.
#[derive(Debug)]
pub(crate) enum WritePlan {
    /// Send a transaction.
    Send {
        /// Changes to acknowledge when the reply arrives.
        write: JobWrite,
        /// Transaction to send.
        txn: Txn,
        /// Whether changes remain for a later transaction.
        has_more: bool,
    },
    /// Nothing can be written: the changed chunks with these numbers exceed the value limit.
    TooLarge(Vec<usize>),
    /// Only the record of the finished job is left in the store.
    OnlyRecordLeft,
}

/// A changed chunk, encoded for the store.
struct EncodedChunk {
    version: ChunkVersion,
    value: Value,
}

/// Changed chunks for one transaction.
#[derive(Default)]
struct ChangedChunks {
    encoded: Vec<EncodedChunk>,
    too_large: Vec<usize>,
    has_more: bool,
}

impl Job {
    /// How urgently the job's changes are to be written.
    pub(crate) fn write_urgency(&self, now: Micros) -> WriteUrgency {
        if self.cancelled && !self.finished_in_store {
            return if self.reserved_tasks() > 0 { WriteUrgency::Now } else { WriteUrgency::Later };
        }
        if self.finished_in_store {
            return WriteUrgency::Later;
        }
        if self.is_complete() || self.chunks_with_unstored_placements() > 0 {
            return WriteUrgency::Now;
        }
        match self.deferred_since.map(|at| now.since(at)) {
            Some(waited) if waited < DEFERRED_WRITE_DELAY => WriteUrgency::None,
            Some(waited) if waited > MAX_DEFERRED_WRITE_AGE => WriteUrgency::Now,
            _ => WriteUrgency::Later,
        }
    }

    /// Plans the next transaction of this job's changes. `lease` is the condition that this
    /// process still leads the job's shard.
    pub(crate) fn plan_write(
        &self,
        urgency: WriteUrgency,
        limits: WriteLimits,
        lease: Condition,
    ) -> WritePlan {
        if self.finished_in_store {
            self.plan_deletes(limits, lease)
        } else if self.is_complete() {
            self.plan_done(lease)
        } else {
            self.plan_chunks(urgency, limits, lease)
        }
    }

    /// Marks the record as done, since all tasks have completed. The chunks are deleted later,
    /// when nothing urgent waits.
    fn plan_done(&self, lease: Condition) -> WritePlan {
        let value = JobRecord::ended(self.shard, StoredStage::Done, self.spec.tasks);
        let key = job::job_key(&self.spec.id);
        let txn = Txn {
            conditions: vec![lease, Condition { key: key.clone(), revision: self.revision }],
            writes: vec![Write::Put { key, value: json!(value), lease: None }],
        };
        WritePlan::Send { write: JobWrite::Done, txn, has_more: true }
    }

    /// Deletes chunks of a finished job, the last one first: the others cannot be interpreted
    /// without chunk 0.
    fn plan_deletes(&self, limits: WriteLimits, lease: Condition) -> WritePlan {
        let mut txn = Txn { conditions: vec![lease], writes: Vec::new() };
        let stored = self.chunks.iter().enumerate().rev().filter(|(_, chunk)| chunk.revision > 0);
        let mut deleted = Vec::new();
        for (number, chunk) in stored.take(limits.max_chunks) {
            deleted.push(number);
            let key = job::chunk_key(self.shard, &self.spec.id, number);
            txn.conditions.push(Condition { key: key.clone(), revision: chunk.revision });
            txn.writes.push(Write::Delete { key });
        }
        if deleted.is_empty() {
            return WritePlan::OnlyRecordLeft;
        }
        WritePlan::Send { write: JobWrite::DeletedChunks(deleted), txn, has_more: false }
    }

    fn plan_chunks(
        &self,
        urgency: WriteUrgency,
        limits: WriteLimits,
        lease: Condition,
    ) -> WritePlan {
        let changed = self.changed_chunks(urgency, limits);
        if changed.encoded.is_empty() {
            return WritePlan::TooLarge(changed.too_large);
        }
        let record = Condition { key: job::job_key(&self.spec.id), revision: self.revision };
        let mut txn = Txn { conditions: vec![lease, record], writes: Vec::new() };
        let mut versions = Vec::new();
        for EncodedChunk { version, value } in changed.encoded {
            versions.push(version);
            let key = job::chunk_key(self.shard, &self.spec.id, version.number);
            let revision = self.chunks[version.number].revision;
            txn.conditions.push(Condition { key: key.clone(), revision });
            txn.writes.push(Write::Put { key, value, lease: None });
        }
        WritePlan::Send { write: JobWrite::Chunks(versions), txn, has_more: changed.has_more }
    }

    /// Encodes changed chunks, those with unstored placements first. If starts wait for the
    /// write, chunks with only task ends are left for a later transaction, unless most of
    /// their attempts have ended.
    fn changed_chunks(&self, urgency: WriteUrgency, limits: WriteLimits) -> ChangedChunks {
        let starts_wait =
            urgency == WriteUrgency::Now && self.chunks_with_unstored_placements() > 0;
        let mut changed = ChangedChunks::default();
        let mut order: Vec<usize> = Vec::new();
        for (number, chunk) in self.chunks.iter().enumerate() {
            if !chunk.has_unstored_changes() {
                continue;
            }
            if !starts_wait || chunk.has_unstored_placements() || chunk.mostly_ended() {
                order.push(number);
            } else {
                changed.has_more = true;
            }
        }
        order.sort_by_key(|number| !self.chunks[*number].has_unstored_placements());
        for number in order {
            if changed.encoded.len() == limits.max_chunks {
                changed.has_more = true;
                break;
            }
            let value = self.encode_chunk(number);
            if limits.max_value_bytes.is_some_and(|max| value.to_string().len() > max) {
                // The chunk was laid out for a larger value limit. It is written once enough
                // of its attempts have ended.
                log::debug!("chunk {number} of job {} is too large to be written", self.spec.id);
                changed.too_large.push(number);
                continue;
            }
            let version = ChunkVersion { number, version: self.chunks[number].version };
            changed.encoded.push(EncodedChunk { version, value });
        }
        changed
    }
}
