//! One job with its tasks, as the shard that runs it keeps it, and how it is stored.
//!
//! `j/REF` is tiny and permanent: shard and stage. Each `w/S/REF/n` holds a chunk of the
//! tasks, chunk 0 the job's description too; they are deleted once the job is over.
//! A chunk's version counts its changes. What is newer than the stored version has not been
//! written yet, and nobody may act on it. Nothing here reads the clock, calls the store or
//! knows of other jobs.

mod backoff;
mod chunk;
mod keys;
mod names;
mod placement;
mod run_times;
mod stored;
mod urgency;
mod zones;

pub use chunk::{ChunkLayout, MAX_SPEC_BYTES, StoredChunkValue, TaskChunk};
pub(crate) use chunk::{ChunkVersion, ReadChunk};
pub use keys::*;
pub use placement::{EndedAttempt, Placement, TaskEnd};
pub(crate) use stored::stored_version;
pub use stored::{StoredPlacement, batch_is_sound, decode_batch, encode_batch, stored_placements};
pub use urgency::Urgency;

use crate::controller::scheduler::pending_reason::PendingReason;
use crate::peer::{ObservedState, Shape};
use crate::time::Micros;
use crate::wire::JobSpec;
use backoff::Backoff;
use chunk::PLACEMENT_BYTES;
use run_times::RunTimes;
use serde_json::Value;
use std::rc::Rc;

/// Version of chunk 0 as it is stored with the acceptance.
const FIRST_VERSION: u64 = 1;

/// How far a job is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of tasks that have completed.
    pub done: u32,
    /// Number of tasks observed running.
    pub running: u32,
}

/// A job that one of this process's shards runs.
#[derive(Debug, Clone)]
pub struct Job {
    /// Description.
    pub spec: Rc<JobSpec>,
    /// Shard that runs it.
    pub shard: usize,
    /// Revision of its record, `j/REF`.
    pub revision: u64,
    /// Time of day of the acceptance, by the accepting node.
    pub accepted: Micros,
    /// Its tasks.
    pub chunks: Vec<TaskChunk>,
    /// Tasks in a chunk.
    pub chunk_size: u32,
    /// Bytes that a chunk's placements may take in its value.
    chunk_budget_bytes: usize,
    /// The same for chunk 0, which has the description.
    first_chunk_budget_bytes: usize,
    /// Jobs that must be done before this one starts.
    pub dependencies: Rc<[String]>,
    /// Some of them may not be done yet: nothing is placed.
    pub awaits_dependencies: bool,
    /// Time of day from which it could be placed: of the acceptance, or of the end of
    /// the last dependency.
    pub ready_at: Micros,
    /// Of the jobs that depend on this one the most urgent rank and earliest deadline.
    pub inherited_urgency: Option<Urgency>,
    /// Since when it has had changes whose write was deferred.
    pub deferred_since: Option<Micros>,
    /// Its user cancelled it.
    pub cancelled: bool,
    /// The store has its terminal state, and nothing of it runs: only its chunks remain to
    /// be deleted.
    pub finished_in_store: bool,
    /// It is of low priority and ranks as normal, so that more urgent work cannot starve
    /// it: none of it had started after a good part of its objective.
    pub raised_to_normal: bool,
    /// A transaction with its changes, or a read-back of what is stored, is in flight.
    pub store_call_in_flight: bool,
    /// Pauses after failures and refusals.
    pub backoff: Backoff,
    /// Why its tasks are pending, for the queue page.
    pub pending_reason: PendingReason,
    /// How long its tasks run.
    run_times: RunTimes,
    /// Its description as last sent with the desired state.
    pub announced_shape: Option<Rc<Shape>>,
}

impl Job {
    /// A job with nothing placed, of which nothing is stored yet.
    pub fn new(
        spec: Rc<JobSpec>,
        shard: usize,
        revision: u64,
        accepted: Micros,
        layout: ChunkLayout,
    ) -> Job {
        let dependencies: Rc<[String]> = spec.dependencies.as_slice().into();
        Job {
            chunks: layout.divide(spec.tasks),
            chunk_size: layout.tasks,
            chunk_budget_bytes: layout.bytes,
            first_chunk_budget_bytes: layout.first_chunk_bytes(&spec),
            spec,
            shard,
            revision,
            accepted,
            awaits_dependencies: !dependencies.is_empty(),
            dependencies,
            ready_at: accepted,
            inherited_urgency: None,
            deferred_since: None,
            cancelled: false,
            finished_in_store: false,
            raised_to_normal: false,
            store_call_in_flight: false,
            backoff: Backoff::default(),
            pending_reason: PendingReason::New,
            run_times: RunTimes::default(),
            announced_shape: None,
        }
    }

    /// Chunk 0 was stored with the acceptance; its key has this revision, or 0 if the chunk
    /// is in a batch.
    pub(crate) fn acceptance_stored(&mut self, revision: u64) {
        let chunk = &mut self.chunks[0];
        chunk.version = FIRST_VERSION;
        chunk.stored_version = FIRST_VERSION;
        chunk.revision = revision;
    }

    /// The value of chunk 0 as it is stored with the acceptance.
    pub(crate) fn encode_accepted(&mut self) -> Value {
        self.chunks[0].version = FIRST_VERSION;
        self.encode_chunk(0)
    }

    /// Sets how many bytes its chunks may take. A job that was divided for larger values
    /// keeps its chunks, and their `previous` layout while the store takes such values.
    pub fn set_layout(&mut self, layout: ChunkLayout, previous: Option<ChunkLayout>) {
        let layout = previous.filter(|_| self.chunk_size > layout.tasks).unwrap_or(layout);
        self.chunk_budget_bytes = layout.bytes;
        self.first_chunk_budget_bytes = layout.first_chunk_bytes(&self.spec);
    }

    /// Whether it is neither cancelled nor finished.
    pub fn is_active(&self) -> bool {
        !self.cancelled && !self.finished_in_store
    }

    /// The chunk of a task; `None` if the job has no such task.
    pub fn chunk_of(&mut self, index: u32) -> Option<&mut TaskChunk> {
        self.chunks.get_mut((index / self.chunk_size) as usize)
    }

    /// The present placement of a task.
    pub fn placement(&self, index: u32) -> Option<&Placement> {
        self.chunks.get((index / self.chunk_size) as usize)?.placed.get(&index)
    }

    /// The present placement of a task, to be changed.
    pub fn placement_mut(&mut self, index: u32) -> Option<&mut Placement> {
        self.chunk_of(index)?.placed.get_mut(&index)
    }

    /// Numbers of tasks that have completed and that run.
    pub fn progress(&self) -> Progress {
        Progress { done: self.done(), running: self.running() }
    }

    /// Number of tasks that have completed.
    pub fn done(&self) -> u32 {
        self.chunks.iter().map(|chunk| chunk.done.len() as u32).sum()
    }

    /// Number of tasks observed running.
    pub fn running(&self) -> u32 {
        let runs = |placement: &&Placement| {
            matches!(placement.observed, Some(ObservedState::Running | ObservedState::Saving))
        };
        self.chunks.iter().map(|chunk| chunk.placed.values().filter(runs).count() as u32).sum()
    }

    /// Number of tasks to be placed.
    pub fn pending(&self) -> u32 {
        self.chunks.iter().map(|chunk| chunk.pending.len() as u32).sum()
    }

    /// Number of tasks that may be placed now: of a suspect job one at a time, since all of
    /// them would fail again and use up starts, writes and quota.
    pub fn placeable(&self) -> u32 {
        let pending = if self.awaits_dependencies { 0 } else { self.pending() };
        if self.suspect() {
            pending.min(1_u32.saturating_sub(self.reserved_tasks()))
        } else {
            pending
        }
    }

    /// Number of tasks on machines, or about to be.
    pub fn reserved_tasks(&self) -> u32 {
        self.chunks.iter().map(|chunk| chunk.placed.len() as u32).sum()
    }

    /// Number of tasks that count against the team's quota: also those that were withdrawn
    /// before they started, until that is stored. A later leader would start them, beside
    /// whatever had taken their place.
    pub fn limited_tasks(&self) -> u32 {
        let ended: usize = self.chunks.iter().map(|chunk| chunk.may_still_start().count()).sum();
        self.reserved_tasks() + ended as u32
    }

    /// The first task to be placed, in a chunk whose value has room for it.
    pub fn first_pending(&self) -> Option<u32> {
        let budget = |number: usize| match number {
            0 => self.first_chunk_budget_bytes,
            _ => self.chunk_budget_bytes,
        };
        let has_room = |(number, chunk): &(usize, &TaskChunk)| {
            chunk.placed.is_empty() || chunk.bytes + 2 * PLACEMENT_BYTES <= budget(*number)
        };
        let mut chunks = self.chunks.iter().enumerate().filter(has_room);
        chunks.find_map(|(_, chunk)| chunk.pending.first().copied())
    }

    /// Number of chunks with placements that are not stored yet.
    pub fn chunks_with_unstored_placements(&self) -> usize {
        self.chunks.iter().filter(|chunk| chunk.has_unstored_placements()).count()
    }

    /// True once every task has completed.
    pub fn complete(&self) -> bool {
        self.chunks.iter().all(|chunk| chunk.pending.is_empty() && chunk.placed.is_empty())
    }

    /// How long a task of this job usually runs, once enough of them have completed.
    pub fn usual_run_time(&self) -> Option<Micros> {
        self.run_times.median()
    }

    /// A task completed, after having been seen running for so long.
    pub fn note_run_time(&mut self, ran: Micros) {
        self.run_times.note(ran);
    }
}
