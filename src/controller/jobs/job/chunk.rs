//! Chunks of a job's tasks, sized to fit in one value of the key-value store each.

use super::machine_names::split_name;
use super::{EndedAttempt, Placement};
use crate::wire::{JobSpec, WorkerIncarnation};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Bytes of a chunk's value other than its placements and description.
const CHUNK_OVERHEAD_BYTES: usize = 400;
/// Bytes of a stored placement with machine and zone names of the usual length.
pub(crate) const PLACEMENT_BYTES: usize = 27;
/// Maximum size in bytes of a description, so that it fits in chunk 0.
pub const MAX_SPEC_BYTES: usize = 1_400;
/// Maximum number of tasks in a chunk.
const MAX_CHUNK_TASKS: u32 = 512;
/// Value limit below which a description takes a large part of a value, so that its bytes are
/// reserved only in chunk 0, which holds it.
const SMALL_VALUE_BYTES: usize = 4 * 1024;
/// Maximum number of tasks in a chunk with a value limit below [`SMALL_VALUE_BYTES`].
const MAX_SMALL_CHUNK_TASKS: u32 = 48;

/// Layout of a job's tasks in chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkLayout {
    /// Number of tasks in a chunk.
    pub tasks: u32,
    /// Maximum number of bytes for the placements in a chunk's value.
    pub bytes: usize,
    /// Whether the description takes part of these bytes in chunk 0. Otherwise every chunk has
    /// room for a description besides them.
    pub first_chunk_shares_with_spec: bool,
}

/// Names one version of one chunk of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ChunkVersion {
    /// Number of the chunk in its job.
    pub(crate) number: usize,
    /// Version of the chunk.
    pub(crate) version: u64,
}

/// A stored chunk with its value not decoded.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredChunkValue {
    /// JSON value as stored.
    pub value: Value,
    /// Revision of the chunk's key, 0 if the chunk was read from a batch.
    pub revision: u64,
}

/// Version and revision of a chunk that was read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReadChunk {
    /// Version in the stored value.
    pub(crate) version: u64,
    /// Revision of the chunk's key.
    pub(crate) revision: u64,
}

/// A chunk of a job's tasks, always written as one value under one key.
#[derive(Debug, Clone, Default)]
pub struct TaskChunk {
    /// Tasks to be placed, by number in the job.
    pub pending: BTreeSet<u32>,
    /// Placed tasks, whether or not they run already.
    pub placed: BTreeMap<u32, Placement>,
    /// Ended attempts whose end is not stored yet.
    pub unstored_ends: Vec<EndedAttempt>,
    /// Tasks that have completed.
    pub done: BTreeSet<u32>,
    /// Highest attempt number given out; all tasks of the chunk share this counter.
    pub last_attempt: u64,
    /// Version in memory.
    pub version: u64,
    /// Version in the key-value store.
    pub stored_version: u64,
    /// Revision of the chunk's key, 0 while it has no key of its own.
    pub revision: u64,
    /// Version of the chunk that first contained its newest placement.
    pub placement_version: u64,
    /// Upper bound of the bytes that the placements take in the chunk's value.
    pub(crate) bytes: usize,
}

/// Maximum number of bytes for the placements in a value of `value_kb` KiB.
fn placements_budget(value_kb: f64) -> usize {
    let bytes = (value_kb * 1024.0) as usize;
    if bytes < SMALL_VALUE_BYTES {
        return bytes.saturating_sub(CHUNK_OVERHEAD_BYTES + MAX_SMALL_CHUNK_TASKS as usize / 4);
    }
    // The hexadecimal digits that mark completed tasks take a quarter of a byte per task.
    bytes.saturating_sub(CHUNK_OVERHEAD_BYTES + MAX_SPEC_BYTES + MAX_CHUNK_TASKS as usize / 4)
}

/// Number of tasks in a chunk: as many as the value has room for if all of them are placed.
fn chunk_size(value_kb: f64) -> u32 {
    let placements = (placements_budget(value_kb) / PLACEMENT_BYTES) as u32;
    if value_kb * 1024.0 < SMALL_VALUE_BYTES as f64 {
        return placements.clamp(1, MAX_SMALL_CHUNK_TASKS);
    }
    placements.clamp(1, MAX_CHUNK_TASKS)
}

/// Number of decimal digits.
fn digits(number: u64) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}

/// Upper bound of the bytes that a placement takes in its chunk's value.
pub(crate) fn stored_bytes(
    machine: &str,
    incarnation: WorkerIncarnation,
    attempt: u64,
    zone: &str,
) -> usize {
    let name = split_name(machine);
    // The 16 bytes hold the other numbers and all commas. A name prefix or zone that no other
    // placement of the chunk has takes a table entry of its own; `CHUNK_OVERHEAD_BYTES` holds
    // short entries, so only the bytes beyond 8 and 12 are added.
    let name_bytes = name.prefix.len().saturating_sub(8) + zone.len().saturating_sub(12);
    name.width.max(1) + digits(incarnation.0) + digits(attempt) + 16 + name_bytes
}

/// Size of a description as JSON, in bytes.
fn spec_bytes(spec: &JobSpec) -> usize {
    serde_json::to_vec(spec).map_or(0, |json| json.len())
}

impl ChunkLayout {
    /// Creates the layout for a value limit in KiB.
    pub fn new(value_kb: f64) -> ChunkLayout {
        ChunkLayout {
            tasks: chunk_size(value_kb),
            bytes: placements_budget(value_kb),
            first_chunk_shares_with_spec: value_kb * 1024.0 < SMALL_VALUE_BYTES as f64,
        }
    }

    /// Maximum number of bytes for the placements in a job's chunk 0.
    pub(crate) fn first_chunk_bytes(&self, spec: &JobSpec) -> usize {
        match self.first_chunk_shares_with_spec {
            true => self.bytes.saturating_sub(spec_bytes(spec)),
            false => self.bytes,
        }
    }

    /// Divides `tasks` tasks, all pending, into chunks.
    pub(crate) fn divide(&self, tasks: u32) -> Vec<TaskChunk> {
        let size = self.tasks;
        (0..tasks.div_ceil(size))
            .map(|number| TaskChunk {
                pending: (number * size..((number + 1) * size).min(tasks)).collect(),
                ..TaskChunk::default()
            })
            .collect()
    }
}

impl TaskChunk {
    /// Whether the chunk has changes that are not stored yet.
    pub fn has_unstored_changes(&self) -> bool {
        self.version > self.stored_version
    }

    /// Whether the chunk has a placement that is not stored yet, so that a start waits for its
    /// write.
    pub fn has_unstored_placements(&self) -> bool {
        self.placement_version > self.stored_version
    }

    /// Tasks whose placements are not stored and so were never sent to a machine.
    pub fn unstored_placements(&self) -> impl Iterator<Item = u32> {
        let unstored =
            self.placed.iter().filter(|(_, placement)| placement.version > self.stored_version);
        unstored.map(|(index, _)| *index)
    }

    /// Whether a task is placed on a machine or has an end there that is not stored yet.
    pub fn has_attempt_on(&self, index: u32, machine: &Rc<str>) -> bool {
        let ended_there =
            |ended: &EndedAttempt| ended.index == index && ended.placement.machine == *machine;
        self.placed.get(&index).is_some_and(|placement| placement.machine == *machine)
            || self.unstored_ends.iter().any(ended_there)
    }

    /// Placements of ended attempts that a later leader would start, since their end is not
    /// stored yet.
    pub fn may_still_start(&self) -> impl Iterator<Item = &Placement> {
        self.unstored_ends
            .iter()
            .filter(|ended| ended.may_still_start)
            .map(|ended| &ended.placement)
    }

    /// Whether more attempts have unstored ends than tasks remain. Such a chunk is worth a write
    /// even if no start waits for it: until the ends are stored, machines and controllers keep
    /// the attempts.
    pub fn mostly_ended(&self) -> bool {
        self.unstored_ends.len() > self.placed.len() + self.pending.len()
    }
}
