//! Jobs of shards that this process begins or ceases to lead.

use super::Jobs;
use super::job::{Job, JobRecord, StoredChunkValue, StoredStage};
use std::collections::BTreeMap;

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
        job.cancelled = stage == StoredStage::Cancelled;
        job.finished_in_store = stage == StoredStage::Done;
        job.dependencies = record.dependencies.as_slice().into();
        job.awaits_dependencies = !job.dependencies.is_empty() && stage == StoredStage::Accepted;
        if job.awaits_dependencies {
            self.dependents.wait(id);
        }
        if job.finished_in_store {
            // What its chunks still name has completed; it must not be
            // desired, and so started, again.
            job.chunks.iter_mut().for_each(|chunk| chunk.placed.clear());
        }
        for (index, placement) in job.chunks.iter().flat_map(|chunk| &chunk.placed) {
            self.task_index.add(shard, placement.machine.clone(), id, *index);
        }
        self.by_id.insert(id.to_string(), job);
        true
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
