//! The stages of jobs of all shards, as last read from the key-value store.

use crate::controller::Controller;
use crate::controller::decision_log;
use crate::controller::jobs::job::StoredStage;
use std::collections::{BTreeMap, VecDeque};

/// Jobs whose stage is kept in memory; that of others is read from the store when needed.
const MAX_CACHED_JOBS: usize = 40_000;

/// A job's stage, as the key-value store had it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CachedStage {
    /// The stage.
    pub(crate) stage: StoredStage,
    /// Shard that runs the job.
    pub(crate) shard: usize,
    /// Number of its tasks.
    pub(crate) tasks: u32,
    /// Revision of its record with this stage, 0 if unknown. The record changes once, with
    /// the terminal state.
    pub(crate) revision: u64,
}

impl CachedStage {
    /// Whether the job is done or cancelled, which never changes again.
    pub(crate) fn is_final(&self) -> bool {
        self.stage != StoredStage::Accepted
    }
}

/// What became of a stage that was to be cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CacheOutcome {
    /// It is cached now.
    Cached,
    /// A final stage was cached before and stays: an answer read earlier may arrive later.
    AlreadyFinal,
}

/// Jobs' stages with the order in which they are evicted: the one cached first leaves first.
///
/// A final stage is never replaced.
#[derive(Debug, Default)]
pub(crate) struct StageCache {
    by_job: BTreeMap<String, CachedStage>,
    /// Jobs in the order in which they were first cached. Unfinished ones that were
    /// dropped stay here, and are named again once they are cached again.
    eviction_order: VecDeque<String>,
}

impl StageCache {
    /// What is cached of a job.
    pub(crate) fn get(&self, job: &str) -> Option<CachedStage> {
        self.by_job.get(job).copied()
    }

    /// Whether a job's stage is cached: it has been accepted.
    pub(crate) fn contains(&self, job: &str) -> bool {
        self.by_job.contains_key(job)
    }

    /// A job's stage, if cached.
    pub(crate) fn stage(&self, job: &str) -> Option<StoredStage> {
        self.by_job.get(job).map(|cached| cached.stage)
    }

    /// Whether a job is known to be done or cancelled.
    pub(crate) fn is_final(&self, job: &str) -> bool {
        self.by_job.get(job).is_some_and(CachedStage::is_final)
    }

    /// Whether a job is known to be accepted, and neither done nor cancelled.
    pub(crate) fn is_unfinished(&self, job: &str) -> bool {
        self.stage(job) == Some(StoredStage::Accepted)
    }

    /// Whether a job is known to be cancelled.
    pub(crate) fn is_cancelled(&self, job: &str) -> bool {
        self.stage(job) == Some(StoredStage::Cancelled)
    }

    /// Whether a job is known to be done.
    pub(crate) fn is_done(&self, job: &str) -> bool {
        self.stage(job) == Some(StoredStage::Done)
    }

    /// Caches a job's stage, unless a final one is cached already.
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

    /// Evicts the job that was cached first while there are too many.
    fn evict(&mut self) -> Option<String> {
        if self.eviction_order.len() <= MAX_CACHED_JOBS {
            return None;
        }
        let job = self.eviction_order.pop_front()?;
        self.by_job.remove(&job);
        Some(job)
    }

    /// Drops all jobs that are not over: their changes may have been missed.
    pub(crate) fn forget_unfinished(&mut self) {
        self.by_job.retain(|_, cached| cached.is_final());
    }
}

impl Controller {
    /// Caches a job's stage. A terminal state also goes to the log, to the peers, to the
    /// dependency graph and, if the job is cancelled, to the machines that run its tasks.
    pub(crate) fn cache_stage(&mut self, job: &str, cached: CachedStage) {
        if self.jobs.stage_cache.insert(job, cached) == CacheOutcome::AlreadyFinal {
            self.api.terminal_states.correct(job, cached.revision);
            return;
        }
        if cached.is_final() {
            decision_log::job_over(job, cached.stage, cached.revision);
            self.api.terminal_states.add(self.context.now, job, cached.revision);
            self.jobs.dependency_graph.over(job);
        }
        if cached.stage == StoredStage::Cancelled {
            self.stop_on_machines(job);
        }
        while let Some(evicted) = self.jobs.stage_cache.evict() {
            self.jobs.progress.remove(&evicted);
        }
    }
}
