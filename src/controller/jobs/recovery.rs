//! Restores the jobs of a shard that this process begins to lead, and removes those of a shard
//! that it ceases to lead.

use super::Jobs;
use super::job::{Job, JobRecord, StoredChunkValue, StoredStage};
use log::warn;
use std::collections::BTreeMap;

impl Job {
    /// Applies the record of a restored job, with the newest cached stage.
    fn apply_record(&mut self, record: &JobRecord, stage: StoredStage) {
        self.cancelled = stage == StoredStage::Cancelled;
        self.finished_in_store = stage == StoredStage::Done;
        self.dependencies = record.dependencies.as_slice().into();
        self.awaits_dependencies = !self.dependencies.is_empty() && stage == StoredStage::Accepted;
        if self.finished_in_store {
            // The placements in its chunks have completed. They must not enter the desired
            // state, or their tasks would be started again.
            self.chunks.iter_mut().for_each(|chunk| chunk.placed.clear());
        }
    }
}

impl Jobs {
    /// Adds a job from its record, stored at `revision`, and its chunks. The caller has cached the
    /// record's stage. Returns false if the chunks cannot be read.
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
        // The watch has cached any change of the record since it was read.
        let stage = self.stage_cache.stage(id).unwrap_or(record.stage);
        job.apply_record(record, stage);
        if job.awaits_dependencies {
            self.dependents.add_waiting(id);
        }
        for (index, placement) in job.chunks.iter().flat_map(|chunk| &chunk.placed) {
            self.task_index.add(shard, placement.machine.clone(), id, *index);
        }
        self.by_id.insert(id.to_string(), job);
        true
    }

    /// Marks a job or key as unreadable, so that it is left unmodified, and logs it the first
    /// time.
    pub(crate) fn mark_unreadable(&mut self, name: &str, reason: &str) {
        if self.unreadable.insert(name.to_string()) {
            warn!("{name} cannot be read and is left unmodified in the store: {reason}");
        }
    }

    /// Marks a job as unreadable, and keeps its batch in the store if it is in one.
    pub(crate) fn leave_unreadable(&mut self, id: &str, reason: &str) {
        self.mark_unreadable(id, reason);
        if let Some(batch) = self.batches.key_of(id) {
            self.unreadable.insert(batch.clone());
        }
        self.batches.remove_job(id);
    }

    /// Whether a job or key is marked as unreadable.
    pub(crate) fn is_unreadable(&self, name: &str) -> bool {
        self.unreadable.contains(name)
    }

    /// Clears the mark of a job whose record has changed and may be readable again.
    pub(crate) fn forget_unreadable(&mut self, id: &str) {
        self.unreadable.remove(id);
    }

    /// Removes the jobs of a shard that this process no longer leads.
    pub(crate) fn forget_shard(&mut self, shard: usize) {
        // Unreadable jobs and keys are read once more under the next term.
        self.unreadable.clear();
        self.by_id.retain(|_, job| job.shard != shard);
        self.task_index.remove_shard(shard);
        self.batches.forget_shard(shard);
    }
}
