//! State of one job and its tasks, as held by the leader of the job's shard, and its stored
//! form.
//!
//! `j/REF`, the job's record, is tiny and permanent: it holds the shard and the stage. Each
//! `w/S/REF/n` holds a chunk of the tasks, and chunk 0 also holds the job's description. The
//! chunks are deleted once the job has ended.
//!
//! A chunk's version counts its changes. A change newer than the stored version has not been
//! written yet, and no controller may act on it. Nothing here reads the clock, calls the store or
//! refers to other jobs in memory.

mod backoff;
mod chunk;
mod keys;
mod machine_names;
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
pub use stored::{
    StoredPlacement, batch_is_readable, decode_batch, encode_batch, stored_placements,
};
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

/// Version of chunk 0 that is stored when the job is accepted.
const FIRST_VERSION: u64 = 1;

/// Task counts that show how far a job has got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of tasks that have completed.
    pub done: u32,
    /// Number of tasks observed running.
    pub running: u32,
}

/// A job of a shard that this process leads.
#[derive(Debug, Clone)]
pub struct Job {
    /// Description that the user submitted.
    pub spec: Rc<JobSpec>,
    /// Shard that runs the job.
    pub shard: usize,
    /// Revision of the job's record, `j/REF`.
    pub revision: u64,
    /// Wall-clock time of the acceptance, by the clock of the accepting member.
    pub accepted: Micros,
    /// The job's tasks, divided into chunks.
    pub chunks: Vec<TaskChunk>,
    /// Number of tasks in a chunk; the last chunk may have fewer.
    pub chunk_size: u32,
    /// Maximum number of bytes for the placements in a chunk's value.
    chunk_budget_bytes: usize,
    /// The same for chunk 0, which also holds the description.
    first_chunk_budget_bytes: usize,
    /// Jobs that must be done before this one starts.
    pub dependencies: Rc<[String]>,
    /// Whether some dependencies may not be done yet. Until it is cleared no task is placed.
    pub awaits_dependencies: bool,
    /// Wall-clock time from which tasks could be placed: that of the acceptance, or of the job's
    /// release once its last dependency was done.
    pub ready_at: Micros,
    /// Most urgent rank and earliest deadline of the jobs that depend on this one.
    pub inherited_urgency: Option<Urgency>,
    /// Time since which a write of changes has been deferred; `None` if none is.
    pub deferred_since: Option<Micros>,
    /// Whether the job is cancelled, by its user or with a dependency.
    pub cancelled: bool,
    /// Whether the store has the job's terminal stage and no task runs: only the chunks remain
    /// to be deleted.
    pub finished_in_store: bool,
    /// Whether this low-priority job ranks as one of normal priority, so that more urgent work
    /// cannot starve it: none of its tasks had started after a good part of the time that its
    /// objective allows.
    pub raised_to_normal: bool,
    /// Whether a transaction with the job's changes, or a read-back, is in flight.
    pub store_call_in_flight: bool,
    /// Pauses after failures and refusals, and avoided machines.
    pub backoff: Backoff,
    /// Why its tasks are pending, for the queue page.
    pub pending_reason: PendingReason,
    /// Run times of completed tasks.
    run_times: RunTimes,
    /// The job's shape as last sent with the desired state.
    pub sent_shape: Option<Rc<Shape>>,
}

impl Job {
    /// Creates a job without placements, of which nothing is stored yet.
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
            sent_shape: None,
        }
    }

    /// Marks chunk 0 as stored with the acceptance. `revision` is that of its key, or 0 if the
    /// chunk is in a batch.
    pub(crate) fn acceptance_stored(&mut self, revision: u64) {
        let chunk = &mut self.chunks[0];
        chunk.version = FIRST_VERSION;
        chunk.stored_version = FIRST_VERSION;
        chunk.revision = revision;
    }

    /// Encodes chunk 0 for the write that accepts the job.
    pub(crate) fn encode_accepted(&mut self) -> Value {
        self.chunks[0].version = FIRST_VERSION;
        self.encode_chunk(0)
    }

    /// Sets the byte limits of the chunks' placements. A job that was divided for larger values
    /// keeps its chunks, and the limits of the `previous` layout while the store takes such
    /// values.
    pub fn set_layout(&mut self, layout: ChunkLayout, previous: Option<ChunkLayout>) {
        let layout = previous.filter(|_| self.chunk_size > layout.tasks).unwrap_or(layout);
        self.chunk_budget_bytes = layout.bytes;
        self.first_chunk_budget_bytes = layout.first_chunk_bytes(&self.spec);
    }

    /// Whether the job is neither cancelled nor finished.
    pub fn is_active(&self) -> bool {
        !self.cancelled && !self.finished_in_store
    }

    /// Returns the chunk of a task, or `None` if the job has no such task.
    pub fn chunk_of(&mut self, index: u32) -> Option<&mut TaskChunk> {
        self.chunks.get_mut((index / self.chunk_size) as usize)
    }

    /// Returns the current placement of a task.
    pub fn placement(&self, index: u32) -> Option<&Placement> {
        self.chunks.get((index / self.chunk_size) as usize)?.placed.get(&index)
    }

    /// Returns the current placement of a task for modification.
    pub fn placement_mut(&mut self, index: u32) -> Option<&mut Placement> {
        self.chunk_of(index)?.placed.get_mut(&index)
    }

    /// Numbers of tasks that have completed and that are observed running.
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

    /// Number of tasks that may be placed now. A suspect job gets one task at a time, since all
    /// of its tasks would probably fail again and use up starts, writes and quota.
    pub fn placeable(&self) -> u32 {
        let pending = if self.awaits_dependencies { 0 } else { self.pending() };
        if self.is_suspect() {
            pending.min(1_u32.saturating_sub(self.reserved_tasks()))
        } else {
            pending
        }
    }

    /// Number of tasks that are placed, whether or not they run already.
    pub fn reserved_tasks(&self) -> u32 {
        self.chunks.iter().map(|chunk| chunk.placed.len() as u32).sum()
    }

    /// Number of tasks that count against the team's quota. Tasks withdrawn before their start
    /// count until that end is stored: a later leader would start them, in addition to the
    /// tasks that took their place.
    pub fn quota_tasks(&self) -> u32 {
        let ended: usize = self.chunks.iter().map(|chunk| chunk.may_still_start().count()).sum();
        self.reserved_tasks() + ended as u32
    }

    /// Returns the first pending task in a chunk whose value has room for its placement.
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

    /// Number of chunks that contain unstored placements.
    pub fn chunks_with_unstored_placements(&self) -> usize {
        self.chunks.iter().filter(|chunk| chunk.has_unstored_placements()).count()
    }

    /// Whether every task has completed.
    pub fn is_complete(&self) -> bool {
        self.chunks.iter().all(|chunk| chunk.pending.is_empty() && chunk.placed.is_empty())
    }

    /// Median run time of the job's tasks; `None` until enough of them have completed.
    pub fn median_run_time(&self) -> Option<Micros> {
        self.run_times.median()
    }

    /// Records how long a completed task was observed running.
    pub fn record_run_time(&mut self, ran: Micros) {
        self.run_times.record(ran);
    }
}
