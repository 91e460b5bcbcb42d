//! Jobs of the shards that this process leads: their tasks, stored state and dependencies.
//!
//! Owns the jobs in memory, the cache of all jobs' stages, the dependency graph and the writes in
//! flight. It never acts on state that is not stored: a placement is sent to machines, and
//! machines are made to forget an ended task, only once the store has acknowledged the change.

pub mod job;

pub(crate) mod batches;
pub(crate) mod dependency_graph;
pub(crate) mod dependents;
pub(crate) mod record_pages;
pub mod stage_cache;
pub(crate) mod task_index;
pub(crate) mod write_plan;

mod attempt_evaluation;
mod batch_writer;
mod further_dependencies;
mod inherited_urgency;
mod read_back;
mod recovery;
mod replies;
mod spot_notices;
mod stopping;
mod task_ends;
mod write_replies;
mod writer;

use crate::config::KvStoreLimits;
use batches::Batches;
use dependency_graph::DependencyGraph;
use dependents::Dependents;
use job::{ChunkLayout, Job, Progress};
use record_pages::RecordPages;
use stage_cache::StageCache;
use std::collections::{BTreeMap, BTreeSet};
use task_index::TaskIndex;

/// Local jobs, and the cached state of all other jobs.
#[derive(Debug)]
pub(crate) struct Jobs {
    /// Local jobs: those of the shards that this process leads.
    pub(crate) by_id: BTreeMap<String, Job>,
    /// Tasks of local jobs by machine.
    pub(crate) task_index: TaskIndex,
    /// Progress of jobs of all shards, as last counted by the shard's leader; for display only.
    pub(crate) progress: BTreeMap<String, Progress>,
    /// Cached stages of jobs of all shards.
    pub(crate) stage_cache: StageCache,
    /// Dependencies of unfinished jobs of all shards.
    pub(crate) dependency_graph: DependencyGraph,
    /// Local jobs that wait for their dependencies.
    pub(crate) dependents: Dependents,
    /// Stored batches that contain local jobs.
    pub(crate) batches: Batches,
    /// Jobs whose records are still to be read by pages.
    pub(crate) record_pages: RecordPages,
    /// Jobs and keys that cannot be read. They are left unmodified in the store.
    unreadable: BTreeSet<String>,
    /// How the tasks of new jobs are divided into chunks.
    pub(crate) chunk_layout: ChunkLayout,
    /// How an earlier version divided jobs for the store's current value limit. `None` unless the
    /// settings name a lower next limit, and once that limit has taken effect.
    pub(crate) previous_chunk_layout: Option<ChunkLayout>,
    /// Number of transactions with changes of jobs that have not been answered.
    writes_in_flight: usize,
}

impl Jobs {
    /// Creates an empty set of jobs, with chunk layouts that fit the store's limits.
    pub(crate) fn new(limits: &KvStoreLimits) -> Jobs {
        Jobs {
            by_id: BTreeMap::new(),
            task_index: TaskIndex::default(),
            progress: BTreeMap::new(),
            stage_cache: StageCache::default(),
            dependency_graph: DependencyGraph::default(),
            dependents: Dependents::default(),
            batches: Batches::default(),
            record_pages: RecordPages::default(),
            unreadable: BTreeSet::new(),
            chunk_layout: ChunkLayout::new(limits.value_kb),
            previous_chunk_layout: (limits.current_value_kb > limits.value_kb)
                .then(|| ChunkLayout::new(limits.current_value_kb)),
            writes_in_flight: 0,
        }
    }
}
