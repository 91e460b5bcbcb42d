//! Jobs of a task or two that were accepted together stay together, in a *batch*.
//!
//! Their batch is rewritten whole when something of them is placed or ends: thousands of
//! single tasks would otherwise take a change each for their keys, one more for each
//! placement and one to remove them. Larger jobs move to keys of their own with their first
//! change; those count before the batch. The batch is removed once no job needs it.

use std::collections::{BTreeMap, BTreeSet};

/// Chunk 0 of jobs that were accepted together, in one value.
#[derive(Debug, Clone)]
pub(crate) struct Batch {
    /// Shard that runs the jobs.
    pub(crate) shard: usize,
    /// Revision of its key.
    pub(crate) revision: u64,
    /// Jobs whose description is stored nowhere else.
    pub(crate) jobs: BTreeSet<String>,
    /// A write, read or delete of it is in flight.
    pub(crate) call_in_flight: bool,
}

/// A change of a batched job that is being written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BatchedChange {
    /// The job's id.
    pub(crate) job: String,
    /// Version of its chunk 0.
    pub(crate) version: u64,
}

/// The batches that are still in the store, of the shards that this process leads.
#[derive(Debug, Default)]
pub(crate) struct Batches {
    by_key: BTreeMap<String, Batch>,
    /// Key of the batch that a job's description is in.
    key_by_job: BTreeMap<String, String>,
}

impl Batches {
    /// The key of the batch that a job's description is in, if in any.
    pub(crate) fn key_of(&self, job: &str) -> Option<&String> {
        self.key_by_job.get(job)
    }

    /// The batch with a key.
    pub(crate) fn get(&self, key: &str) -> Option<&Batch> {
        self.by_key.get(key)
    }

    /// The batch with a key, to be changed.
    pub(crate) fn get_mut(&mut self, key: &str) -> Option<&mut Batch> {
        self.by_key.get_mut(key)
    }

    /// Takes in a batch that was read or written.
    pub(crate) fn add(&mut self, key: &str, shard: usize, revision: u64, jobs: BTreeSet<String>) {
        for id in &jobs {
            self.key_by_job.insert(id.clone(), key.to_string());
        }
        let batch = Batch { shard, revision, jobs, call_in_flight: false };
        self.by_key.entry(key.to_string()).or_insert(batch);
    }

    /// A job's description is stored on its own, or the job is over.
    pub(crate) fn remove_job(&mut self, job: &str) {
        if let Some(key) = self.key_by_job.remove(job)
            && let Some(batch) = self.by_key.get_mut(&key)
        {
            batch.jobs.remove(job);
        }
    }

    /// A batch is no longer in the store.
    pub(crate) fn remove(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    /// The first batch that no job needs and that may be deleted; what cannot be read
    /// is kept.
    pub(crate) fn first_unneeded(
        &mut self,
        unreadable: &BTreeSet<String>,
    ) -> Option<(&String, &mut Batch)> {
        self.by_key.iter_mut().find(|(key, batch)| {
            batch.jobs.is_empty() && !batch.call_in_flight && !unreadable.contains(*key)
        })
    }

    /// Forgets the batches of a shard that this process does not lead any more.
    pub(crate) fn forget_shard(&mut self, shard: usize) {
        self.by_key.retain(|_, batch| batch.shard != shard);
        let kept = &self.by_key;
        self.key_by_job.retain(|_, key| kept.contains_key(key));
    }
}
