//! Batches: jobs that were accepted together and share one key.
//!
//! Jobs of one or two tasks stay in their batch. The whole batch is rewritten whenever one of
//! their tasks is placed or ends; with a key per job, thousands of single-task jobs would each
//! need one write to create the key, one per placement and one to delete it. Larger jobs move
//! to their own keys with their first change, and those keys take precedence over the batch.
//! The batch is deleted once no job needs it.

use std::collections::{BTreeMap, BTreeSet};

/// One stored value with chunk 0 of each job that was accepted together.
#[derive(Debug, Clone)]
pub(crate) struct Batch {
    /// Shard that runs the jobs.
    pub(crate) shard: usize,
    /// Revision of the batch's key.
    pub(crate) revision: u64,
    /// Jobs whose description is stored only in this batch.
    pub(crate) jobs: BTreeSet<String>,
    /// Whether a write, read or delete of the batch is in flight.
    pub(crate) call_in_flight: bool,
}

/// A change to a batched job whose write is in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BatchedChange {
    /// Job id.
    pub(crate) job: String,
    /// Version of chunk 0 that the write stores.
    pub(crate) version: u64,
}

/// Batches in the store that belong to the shards this process leads.
#[derive(Debug, Default)]
pub(crate) struct Batches {
    by_key: BTreeMap<String, Batch>,
    /// By job: key of the batch that holds its description.
    key_by_job: BTreeMap<String, String>,
}

impl Batches {
    /// Returns the key of the batch that holds a job's description, or `None` if no
    /// batch holds it.
    pub(crate) fn key_of(&self, job: &str) -> Option<&String> {
        self.key_by_job.get(job)
    }

    /// Returns the batch stored under a key.
    pub(crate) fn get(&self, key: &str) -> Option<&Batch> {
        self.by_key.get(key)
    }

    /// Returns the batch stored under a key for modification.
    pub(crate) fn get_mut(&mut self, key: &str) -> Option<&mut Batch> {
        self.by_key.get_mut(key)
    }

    /// Adds a batch that was read or written. A batch that is already present is kept.
    pub(crate) fn add(&mut self, key: &str, shard: usize, revision: u64, jobs: BTreeSet<String>) {
        for id in &jobs {
            self.key_by_job.insert(id.clone(), key.to_string());
        }
        let batch = Batch { shard, revision, jobs, call_in_flight: false };
        self.by_key.entry(key.to_string()).or_insert(batch);
    }

    /// Removes a job that now has its own key or has ended.
    pub(crate) fn remove_job(&mut self, job: &str) {
        if let Some(key) = self.key_by_job.remove(job)
            && let Some(batch) = self.by_key.get_mut(&key)
        {
            batch.jobs.remove(job);
        }
    }

    /// Removes a batch that is no longer in the store.
    pub(crate) fn remove(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    /// Returns the first batch that no job needs and that has no call in flight. Unreadable
    /// batches are never returned, so they stay in the store.
    pub(crate) fn first_unneeded(
        &mut self,
        unreadable: &BTreeSet<String>,
    ) -> Option<(&String, &mut Batch)> {
        self.by_key.iter_mut().find(|(key, batch)| {
            batch.jobs.is_empty() && !batch.call_in_flight && !unreadable.contains(*key)
        })
    }

    /// Removes the batches of a shard that this process no longer leads.
    pub(crate) fn forget_shard(&mut self, shard: usize) {
        self.by_key.retain(|_, batch| batch.shard != shard);
        let kept = &self.by_key;
        self.key_by_job.retain(|_, key| kept.contains_key(key));
    }
}
