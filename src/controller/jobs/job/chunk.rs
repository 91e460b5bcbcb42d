//! Chunks of a job's tasks, and how many tasks a value of the key-value store holds.

use super::names::split_name;
use super::{EndedAttempt, Placement};
use crate::wire::{JobSpec, WorkerIncarnation};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Bytes that a chunk's value takes beside its placements and description.
const CHUNK_OVERHEAD_BYTES: usize = 400;
/// Bytes that a placement takes with names of the usual length.
pub(crate) const PLACEMENT_BYTES: usize = 27;
/// Longest description that fits in chunk 0.
pub const MAX_SPEC_BYTES: usize = 1_400;
/// Most tasks in a chunk.
const MAX_CHUNK_TASKS: u32 = 512;
/// In values below this a description takes much of the room, and is counted only in
/// the chunk that has it.
const SMALL_VALUE_BYTES: usize = 4 * 1024;
/// Most tasks in a chunk of small values.
const MAX_SMALL_CHUNK_TASKS: u32 = 48;

/// How tasks are divided into chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkLayout {
    /// Tasks in a chunk.
    pub tasks: u32,
    /// Bytes that a chunk's placements may take in its value.
    pub bytes: usize,
    /// The description takes of these in chunk 0; else there is room for it in all.
    pub first_chunk_shares_with_spec: bool,
}

/// A version of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ChunkVersion {
    /// Number of the chunk.
    pub(crate) number: usize,
    /// Its version.
    pub(crate) version: u64,
}

/// Value of a stored chunk's key, not decoded.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredChunkValue {
    /// The value.
    pub value: Value,
    /// Revision of its key, 0 if it has none of its own yet.
    pub revision: u64,
}

/// A chunk as the store has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReadChunk {
    /// Its version.
    pub(crate) version: u64,
    /// Revision of its key.
    pub(crate) revision: u64,
}

/// A chunk of a job's tasks. Its key and value are written as a whole.
#[derive(Debug, Clone, Default)]
pub struct TaskChunk {
    /// Tasks to be placed.
    pub pending: BTreeSet<u32>,
    /// Tasks on machines, or about to be.
    pub placed: BTreeMap<u32, Placement>,
    /// Ended attempts whose end is not stored yet.
    pub unstored_ends: Vec<EndedAttempt>,
    /// Tasks that have completed.
    pub done: BTreeSet<u32>,
    /// Highest attempt given out; one counter for all tasks of the chunk.
    pub last_attempt: u64,
    /// Version in memory.
    pub version: u64,
    /// Version in the key-value store.
    pub stored_version: u64,
    /// Revision of its key, 0 while it has none.
    pub revision: u64,
    /// Version of the newest placement.
    pub placement_version: u64,
    /// Bytes that its placements take in its value at most.
    pub(crate) bytes: usize,
}

/// Bytes that a chunk's placements may take.
fn placements_budget(value_kb: f64) -> usize {
    let bytes = (value_kb * 1024.0) as usize;
    if bytes < SMALL_VALUE_BYTES {
        return bytes.saturating_sub(CHUNK_OVERHEAD_BYTES + MAX_SMALL_CHUNK_TASKS as usize / 4);
    }
    // A quarter of a byte in hexadecimal digits for each task says which are done.
    bytes.saturating_sub(CHUNK_OVERHEAD_BYTES + MAX_SPEC_BYTES + MAX_CHUNK_TASKS as usize / 4)
}

/// Tasks in a chunk: as many as can be on machines at once.
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

/// Most bytes that a placement takes in its chunk's value.
pub(crate) fn stored_bytes(
    machine: &str,
    incarnation: WorkerIncarnation,
    attempt: u64,
    zone: &str,
) -> usize {
    let name = split_name(machine);
    // Numbers with their commas; a beginning or a zone that no other placement
    // has needs a line of its own, which for short ones the overhead holds.
    let names = name.head.len().saturating_sub(8) + zone.len().saturating_sub(12);
    name.width.max(1) + digits(incarnation.0) + digits(attempt) + 16 + names
}

/// Bytes of a description as JSON.
fn spec_bytes(spec: &JobSpec) -> usize {
    serde_json::to_vec(spec).map_or(0, |json| json.len())
}

impl ChunkLayout {
    /// The division for values of a size.
    pub fn new(value_kb: f64) -> ChunkLayout {
        ChunkLayout {
            tasks: chunk_size(value_kb),
            bytes: placements_budget(value_kb),
            first_chunk_shares_with_spec: value_kb * 1024.0 < SMALL_VALUE_BYTES as f64,
        }
    }

    /// Bytes that the placements of a job's chunk 0 may take.
    pub(crate) fn first_chunk_bytes(&self, spec: &JobSpec) -> usize {
        match self.first_chunk_shares_with_spec {
            true => self.bytes.saturating_sub(spec_bytes(spec)),
            false => self.bytes,
        }
    }

    /// The chunks of so many tasks, all of them pending.
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
    /// True if it has changes that are not stored yet.
    pub fn has_unstored_changes(&self) -> bool {
        self.version > self.stored_version
    }

    /// True if it holds a placement that is not stored yet: a start waits for it.
    pub fn has_unstored_placements(&self) -> bool {
        self.placement_version > self.stored_version
    }

    /// Tasks whose placements are not stored: nothing of them was ever sent.
    pub fn unstored_placements(&self) -> impl Iterator<Item = u32> {
        let unstored =
            self.placed.iter().filter(|(_, placement)| placement.version > self.stored_version);
        unstored.map(|(index, _)| *index)
    }

    /// Whether a task is placed on a machine, or an end of it there is not stored yet.
    pub fn has_attempt_on(&self, index: u32, machine: &Rc<str>) -> bool {
        let ended_there =
            |ended: &EndedAttempt| ended.index == index && ended.placement.machine == *machine;
        self.placed.get(&index).is_some_and(|placement| placement.machine == *machine)
            || self.unstored_ends.iter().any(ended_there)
    }

    /// Ended attempts that a later leader would start, as long as their end is not stored.
    pub fn may_still_start(&self) -> impl Iterator<Item = &Placement> {
        self.unstored_ends
            .iter()
            .filter(|ended| ended.may_still_start)
            .map(|ended| &ended.placement)
    }

    /// True if it is worth a write though no start waits for it: until the ends in
    /// it are stored, machines and controllers keep the tasks.
    pub fn mostly_ended(&self) -> bool {
        self.unstored_ends.len() > self.placed.len() + self.pending.len()
    }
}
