//! Cache of the stages of jobs of all shards, as last read from the key-value store.

use crate::controller::Controller;
use crate::controller::decision_log;
use crate::controller::jobs::job::StoredStage;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of jobs in the cache. Other stages are read from the store when needed.
const MAX_CACHED_JOBS: usize = 40_000;

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

/// Stages by job, evicted in the order in which they were first cached.
///
/// A terminal stage is never replaced.
#[derive(Debug, Default)]
pub(crate) struct StageCache {
    by_job: BTreeMap<String, CachedStage>,
    /// Jobs in the order in which they were first cached. Unfinished jobs that were dropped
    /// keep their entry, and get a second one when they are cached again.
    eviction_order: VecDeque<String>,
}

impl StageCache {
    /// Returns the cached stage of a job with its shard, task count and revision.
    pub(crate) fn get(&self, job: &str) -> Option<CachedStage> {
        self.by_job.get(job).copied()
    }

    /// Whether a job's stage is cached, which means that the job has been accepted.
    pub(crate) fn contains(&self, job: &str) -> bool {
        self.by_job.contains_key(job)
    }

    /// Returns a job's cached stage.
    pub(crate) fn stage(&self, job: &str) -> Option<StoredStage> {
        self.by_job.get(job).map(|cached| cached.stage)
    }

    /// Whether a job is cached as done or cancelled.
    pub(crate) fn is_final(&self, job: &str) -> bool {
        self.by_job.get(job).is_some_and(CachedStage::is_final)
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
        match self.by_job.get_mut(job) {
            Some(old) if old.is_final() => return CacheOutcome::AlreadyFinal,
            Some(old) => *old = cached,
            None => {
                self.by_job.insert(job.to_string(), cached);
                self.eviction_order.push_back(job.to_string());
            }
        }
        CacheOutcome::Cached
    }

    /// Evicts the job that was cached first if there are more than [`MAX_CACHED_JOBS`].
    fn evict(&mut self) -> Option<String> {
        if self.eviction_order.len() <= MAX_CACHED_JOBS {
            return None;
        }
        let job = self.eviction_order.pop_front()?;
        self.by_job.remove(&job);
        Some(job)
    }

    /// Drops all unfinished jobs: changes of their stages may have been missed.
    pub(crate) fn forget_unfinished(&mut self) {
        self.by_job.retain(|_, cached| cached.is_final());
    }
}

impl Controller {
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
