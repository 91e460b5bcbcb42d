//! The jobs of the shards that this process leads: their tasks, what is stored of them and
//! the jobs that they depend on.
//!
//! Owns the jobs in memory, the cache of all jobs' stages, the dependency graph and the
//! writes in flight. Only what is stored is acted on.

pub mod job;

pub(crate) mod batch;
pub(crate) mod dependencies;
pub(crate) mod lifecycle;
pub(crate) mod record_pages;
pub(crate) mod replies;
pub(crate) mod stage_cache;
pub(crate) mod writer;

use crate::config::StateLimits;
use dependencies::DependencyGraph;
use job::{ChunkLayout, Job};
use record_pages::RecordPages;
use stage_cache::CachedStage;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Tasks by job and number.
pub(crate) type TaskSet = BTreeSet<(String, u32)>;

/// The jobs that this process runs, and what it knows of all others.
#[derive(Debug)]
pub(crate) struct Jobs {
    /// Jobs of the shards that this process leads.
    pub(crate) by_id: BTreeMap<String, Job>,
    /// Their tasks by shard and machine.
    pub(crate) tasks_by_machine: BTreeMap<(usize, Rc<str>), TaskSet>,
    /// Tasks done and running of any job, for display.
    pub(crate) progress: BTreeMap<String, (u32, u32)>,
    pub(crate) cached_stages: BTreeMap<String, CachedStage>,
    /// Cached jobs, the one cached first in front.
    pub(crate) cached_order: VecDeque<String>,
    pub(crate) dependency_graph: DependencyGraph,
    pub(crate) record_pages: RecordPages,
    /// Jobs and keys that cannot be read, and are left as they are.
    pub(crate) unreadable: BTreeSet<String>,
    /// How the tasks of new jobs are divided.
    pub(crate) chunk_layout: ChunkLayout,
    /// How an earlier version divided jobs, as long as the key-value store takes values
    /// that are larger than it will later.
    pub(crate) previous_chunk_layout: Option<ChunkLayout>,
    /// Writes of tasks in flight.
    pub(crate) writes_in_flight: usize,
}

impl Jobs {
    /// No jobs yet; tasks are divided as the store's limits allow.
    pub(crate) fn new(limits: &StateLimits) -> Jobs {
        Jobs {
            by_id: BTreeMap::new(),
            tasks_by_machine: BTreeMap::new(),
            progress: BTreeMap::new(),
            cached_stages: BTreeMap::new(),
            cached_order: VecDeque::new(),
            dependency_graph: DependencyGraph::default(),
            record_pages: RecordPages::default(),
            unreadable: BTreeSet::new(),
            chunk_layout: ChunkLayout::new(limits.value_kb),
            previous_chunk_layout: (limits.value_kb_now > limits.value_kb)
                .then(|| ChunkLayout::new(limits.value_kb_now)),
            writes_in_flight: 0,
        }
    }
    /// Runs a job that was read from the store.
    pub(crate) fn insert_recovered(&mut self, id: &str, job: Job) {
        for (index, placed) in job.chunks.iter().flat_map(|chunk| &chunk.placed) {
            let on_machine = (job.shard, placed.machine.clone());
            let tasks = self.tasks_by_machine.entry(on_machine).or_default();
            tasks.insert((id.to_string(), *index));
        }
        self.by_id.insert(id.to_string(), job);
    }

    /// Forgets the jobs of a shard that this process does not lead any more.
    pub(crate) fn forget_shard(&mut self, shard: usize) {
        // What cannot be read is tried once more under the next term.
        self.unreadable.clear();
        self.by_id.retain(|_, job| job.shard != shard);
        self.tasks_by_machine.retain(|(of, _), _| *of != shard);
    }
}
