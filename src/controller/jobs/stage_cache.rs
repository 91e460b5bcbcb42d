//! Cache of the stages of jobs of all shards, as last read from the key-value store.

use crate::controller::Controller;
use crate::controller::decision_log;
use crate::controller::jobs::job::{JobRecord, StoredStage};
use crate::wire::KeyValue;
use std::collections::BTreeMap;

/// Maximum number of jobs in the cache. Other stages are read from the store when needed.
pub const MAX_CACHED_JOBS: usize = 40_000;

/// A job's stage as read from the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CachedStage {
    /// Stage in the job's record.
    pub(crate) stage: StoredStage,
    /// Shard that runs the job.
    pub(crate) shard: usize,
    /// Number of the job's tasks.
    pub(crate) tasks: u32,
    /// Revision of the job's record with this stage, 0 if unknown. The record changes only
    /// once, when it gets its terminal stage.
    pub(crate) revision: u64,
}

impl CachedStage {
    /// Whether the stage is terminal (done or cancelled) and so never changes again.
    pub(crate) fn is_final(&self) -> bool {
        self.stage != StoredStage::Accepted
    }
}

/// Result of [`StageCache::insert`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CacheOutcome {
    /// The stage has been cached.
    Cached,
    /// A terminal stage was cached before and is kept: replies may arrive out of order.
    AlreadyFinal,
}

/// A job's entry in the cache.
#[derive(Debug)]
struct Entry {
    cached: CachedStage,
    /// Key of the job in the order of eviction.
    position: u64,
}

/// Stages by job, evicted in the order in which they were first cached or became terminal.
///
/// A terminal stage is never replaced, and outlasts the reads that were in flight when the job
/// ended: they would bring back the earlier stage.
#[derive(Debug, Default)]
pub(crate) struct StageCache {
    by_job: BTreeMap<String, Entry>,
    /// The cached jobs by position.
    eviction_order: BTreeMap<u64, String>,
    /// Highest position that was ever given to a job.
    last_position: u64,
}

impl StageCache {
    /// Returns the cached stage of a job with its shard, task count and revision.
    pub(crate) fn get(&self, job: &str) -> Option<CachedStage> {
        self.by_job.get(job).map(|entry| entry.cached)
    }

    /// Whether a job's stage is cached, which means that the job has been accepted.
    pub(crate) fn contains(&self, job: &str) -> bool {
        self.by_job.contains_key(job)
    }

    /// Returns a job's cached stage.
    pub(crate) fn stage(&self, job: &str) -> Option<StoredStage> {
        self.by_job.get(job).map(|entry| entry.cached.stage)
    }

    /// Whether a job is cached as done or cancelled.
    pub(crate) fn is_final(&self, job: &str) -> bool {
        self.by_job.get(job).is_some_and(|entry| entry.cached.is_final())
    }

    /// Whether a job is cached as accepted, and neither done nor cancelled.
    pub(crate) fn is_unfinished(&self, job: &str) -> bool {
        self.stage(job) == Some(StoredStage::Accepted)
    }

    /// Whether a job is cached as cancelled.
    pub(crate) fn is_cancelled(&self, job: &str) -> bool {
        self.stage(job) == Some(StoredStage::Cancelled)
    }

    /// Whether a job is cached as done.
    pub(crate) fn is_done(&self, job: &str) -> bool {
        self.stage(job) == Some(StoredStage::Done)
    }

    /// Caches a job's stage unless a terminal one is already cached.
    fn insert(&mut self, job: &str, cached: CachedStage) -> CacheOutcome {
        if let Some(entry) = self.by_job.get_mut(job) {
            if entry.cached.is_final() {
                return CacheOutcome::AlreadyFinal;
            }
            entry.cached = cached;
            if !cached.is_final() {
                return CacheOutcome::Cached;
            }
            self.eviction_order.remove(&entry.position);
        }
        self.last_position += 1;
        let position = self.last_position;
        self.by_job.insert(job.to_string(), Entry { cached, position });
        self.eviction_order.insert(position, job.to_string());
        CacheOutcome::Cached
    }

    /// Evicts the first job if there are more than [`MAX_CACHED_JOBS`].
    fn evict(&mut self) -> Option<String> {
        if self.eviction_order.len() <= MAX_CACHED_JOBS {
            return None;
        }
        let (_, job) = self.eviction_order.pop_first()?;
        self.by_job.remove(&job);
        Some(job)
    }

    /// Drops all unfinished jobs: changes of their stages may have been missed.
    pub(crate) fn forget_unfinished(&mut self) {
        let eviction_order = &mut self.eviction_order;
        self.by_job.retain(|_, entry| {
            let is_kept = entry.cached.is_final();
            if !is_kept {
                eviction_order.remove(&entry.position);
            }
            is_kept
        });
    }
}

impl Controller {
    /// Caches the stage in a job's record that was read with others, and its dependencies with it,
    /// unless the job is done or a stage is cached already. Has no effect if the record is unreadable.
    pub(crate) fn cache_record(&mut self, job: &str, item: &KeyValue) {
        if self.jobs.stage_cache.contains(job) {
            return;
        }
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value.clone()) else {
            return;
        };
        if record.stage == StoredStage::Done {
            return;
        }
        self.apply_job_record(job, &record, item.revision);
    }

    /// Applies a job's record at `revision`: its dependencies, and its stage. They are set together:
    /// the dependencies of a job with a cached stage count as known. Returns the stage in the record.
    pub(crate) fn apply_job_record(
        &mut self,
        job: &str,
        record: &JobRecord,
        revision: u64,
    ) -> CachedStage {
        let JobRecord { stage, shard, tasks, .. } = *record;
        let read = CachedStage { stage, shard, tasks, revision };
        self.jobs.dependency_graph.apply_record(job, record);
        self.cache_stage(job, read);
        read
    }

    /// Caches a job's stage. A new terminal stage is also passed to the decision log, the peers
    /// and the dependency graph and, for a cancelled job, to the machines that run its tasks.
    pub(crate) fn cache_stage(&mut self, job: &str, cached: CachedStage) {
        if self.jobs.stage_cache.insert(job, cached) == CacheOutcome::AlreadyFinal {
            self.api.terminal_states.set_missing_revision(job, cached.revision);
            return;
        }
        if cached.is_final() {
            decision_log::job_over(job, cached.stage, cached.revision);
            self.api.terminal_states.add(self.context.now, job, cached.revision);
            self.jobs.dependency_graph.remove_ended_job(job);
        }
        if cached.stage == StoredStage::Cancelled {
            self.stop_tasks_on_machines(job);
        }
        while let Some(evicted) = self.jobs.stage_cache.evict() {
            self.jobs.progress.remove(&evicted);
        }
    }
}
