//! What of a job goes into its next transaction. Pure: nothing is sent or changed here.

use super::job::{self, ChunkVersion, Job, JobRecord, StoredStage};
use crate::time::Micros;
use crate::wire::{Condition, Txn, Write};
use serde_json::{Value, json};

/// Ends of tasks that have waited for longer are written like starts.
const MAX_DEFERRED_WRITE_AGE: Micros = Micros::secs(10);
/// How long ends of tasks may wait for others to be written with.
const DEFERRED_WRITE_DELAY: Micros = Micros::millis(2_500);

/// How urgently a job's changes are to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WriteUrgency {
    /// Starts, or the end of a whole job, wait for it.
    Now,
    /// Ends of tasks, and chunks of finished jobs.
    Later,
    /// Not yet.
    None,
}

/// Limits of one transaction of a job's changes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteLimits {
    /// Most chunks.
    pub(crate) max_chunks: usize,
    /// Largest value in bytes, where values of a time with larger ones may still be in
    /// memory; without this all that the layout allows fits.
    pub(crate) max_value_bytes: Option<usize>,
}

/// What a transaction changes of a job, to be acknowledged once it is applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum JobWrite {
    /// The record says that the job is done.
    Done,
    /// These chunks of a finished job are deleted.
    DeletedChunks(Vec<usize>),
    /// These chunks are stored in these versions.
    Chunks(Vec<ChunkVersion>),
}

/// What is to be done to have a job's changes stored.
#[derive(Debug)]
pub(crate) enum WritePlan {
    /// A transaction is to be sent.
    Send {
        /// What it stores, for its reply.
        write: JobWrite,
        /// The transaction.
        txn: Txn,
        /// Changes remain for a later one.
        has_more: bool,
    },
    /// Nothing can be written: these changed chunks exceed the largest value.
    TooLarge(Vec<usize>),
    /// The store has nothing of the finished job but its record.
    NothingLeft,
}

/// A changed chunk with its value.
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
    /// How urgently its changes are to be written.
    pub(crate) fn write_urgency(&self, now: Micros) -> WriteUrgency {
        if self.cancelled && !self.finished_in_store {
            return if self.reserved_tasks() > 0 { WriteUrgency::Now } else { WriteUrgency::Later };
        }
        if self.finished_in_store {
            return WriteUrgency::Later;
        }
        if self.complete() || self.chunks_with_unstored_placements() > 0 {
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
        } else if self.complete() {
            self.plan_done(lease)
        } else {
            self.plan_chunks(urgency, limits, lease)
        }
    }

    /// All tasks have completed: the record says so. The chunks are deleted later, when
    /// nothing urgent waits.
    fn plan_done(&self, lease: Condition) -> WritePlan {
        let value = JobRecord::ended(self.shard, StoredStage::Done, self.spec.tasks);
        let key = job::job_key(&self.spec.id);
        let txn = Txn {
            conditions: vec![lease, Condition { key: key.clone(), revision: self.revision }],
            writes: vec![Write::Put { key, value: json!(value), lease: None }],
        };
        WritePlan::Send { write: JobWrite::Done, txn, has_more: true }
    }

    /// Chunks of a finished job, the last one first: without chunk 0 the others would mean
    /// nothing.
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
            return WritePlan::NothingLeft;
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

    /// Changed chunks, those with placements first. Where starts wait, ends of tasks wait
    /// for a later transaction.
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
                // Of a time with larger values: it is written once enough of it
                // has ended.
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
