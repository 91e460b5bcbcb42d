//! The jobs of the shards that this process leads: their tasks, what is stored of them and
//! the jobs that they depend on.
//!
//! Owns the jobs in memory, the cache of all jobs' stages, the dependency graph and the
//! writes in flight. It must never act on what is not stored: a placement is sent to
//! machines, and an end makes them forget a task, only once the store has acknowledged it.

pub mod job;

pub(crate) mod batches;
pub(crate) mod dependency_graph;
pub(crate) mod dependents;
pub(crate) mod record_pages;
pub(crate) mod stage_cache;
pub(crate) mod task_index;
pub(crate) mod write_plan;

mod batch_writer;
mod evaluation;
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

/// The jobs that this process runs, and what it knows of all others.
#[derive(Debug)]
pub(crate) struct Jobs {
    /// Jobs of the shards that this process leads.
    pub(crate) by_id: BTreeMap<String, Job>,
    /// Their tasks by machine.
    pub(crate) task_index: TaskIndex,
    /// Progress of any job as last counted by its shard's leader, for display.
    pub(crate) progress: BTreeMap<String, Progress>,
    /// Stages of jobs of all shards.
    pub(crate) stage_cache: StageCache,
    /// What unfinished jobs of all shards depend on.
    pub(crate) dependency_graph: DependencyGraph,
    /// Own jobs that wait for their dependencies.
    pub(crate) dependents: Dependents,
    /// Batches in the store with own jobs.
    pub(crate) batches: Batches,
    /// Pages of jobs' records that are still to be read.
    pub(crate) record_pages: RecordPages,
    /// Jobs and keys that cannot be read, and are left as they are.
    unreadable: BTreeSet<String>,
    /// How the tasks of new jobs are divided.
    pub(crate) chunk_layout: ChunkLayout,
    /// How an earlier version divided jobs, as long as the key-value store takes values
    /// that are larger than it will later.
    pub(crate) previous_chunk_layout: Option<ChunkLayout>,
    /// Transactions with changes of jobs that have not been answered.
    writes_in_flight: usize,
}

impl Jobs {
    /// No jobs yet; tasks are divided as the store's limits allow.
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
