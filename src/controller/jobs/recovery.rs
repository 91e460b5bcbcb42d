//! Jobs of shards that this process begins or ceases to lead.

use super::Jobs;
use super::job::{Job, JobRecord, StoredChunkValue, StoredStage};
use log::warn;
use std::collections::BTreeMap;

impl Job {
    /// Takes in the record of a restored job, and its stage as known by now.
    fn apply_record(&mut self, record: &JobRecord, stage: StoredStage) {
        self.cancelled = stage == StoredStage::Cancelled;
        self.finished_in_store = stage == StoredStage::Done;
        self.dependencies = record.dependencies.as_slice().into();
        self.awaits_dependencies = !self.dependencies.is_empty() && stage == StoredStage::Accepted;
        if self.finished_in_store {
            // What its chunks still name has completed; it must not be
            // desired, and so started, again.
            self.chunks.iter_mut().for_each(|chunk| chunk.placed.clear());
        }
    }
}

impl Jobs {
    /// Runs a job of a shard that was read from the store: its record, at a revision, and its
    /// chunks. The record's stage has been cached. Whether the chunks can be read.
    pub(crate) fn restore(
        &mut self,
        shard: usize,
        id: &str,
        record: &JobRecord,
        revision: u64,
        chunks: &BTreeMap<usize, StoredChunkValue>,
    ) -> bool {
        let Some(mut job) = Job::restore(shard, revision, self.chunk_layout, chunks) else {
            return false;
        };
        job.set_layout(self.chunk_layout, self.previous_chunk_layout);
        // What has changed since its record was read came by the watch.
        let stage = self.stage_cache.stage(id).unwrap_or(record.stage);
        job.apply_record(record, stage);
        if job.awaits_dependencies {
            self.dependents.wait(id);
        }
        for (index, placement) in job.chunks.iter().flat_map(|chunk| &chunk.placed) {
            self.task_index.add(shard, placement.machine.clone(), id, *index);
        }
        self.by_id.insert(id.to_string(), job);
        true
    }

    /// Something stored cannot be read, which is logged once: it stays as it is.
    pub(crate) fn note_unreadable(&mut self, name: &str, reason: &str) {
        if self.unreadable.insert(name.to_string()) {
            warn!("{name}: {reason}");
        }
    }

    /// A job cannot be read, and its batch, if it is in one, is kept for it.
    pub(crate) fn leave_unreadable(&mut self, id: &str, reason: &str) {
        self.note_unreadable(id, reason);
        if let Some(batch) = self.batches.key_of(id) {
            self.unreadable.insert(batch.clone());
        }
        self.batches.remove_job(id);
    }

    /// Whether a job or key is known to be unreadable.
    pub(crate) fn is_unreadable(&self, name: &str) -> bool {
        self.unreadable.contains(name)
    }

    /// A job's record has changed, so that it may be read again.
    pub(crate) fn forget_unreadable(&mut self, id: &str) {
        self.unreadable.remove(id);
    }

    /// Forgets the jobs of a shard that this process does not lead any more.
    pub(crate) fn forget_shard(&mut self, shard: usize) {
        // What cannot be read is tried once more under the next term.
        self.unreadable.clear();
        self.by_id.retain(|_, job| job.shard != shard);
        self.task_index.remove_shard(shard);
        self.batches.forget_shard(shard);
    }
}
