//! Parts of a job's tasks, and how many of them a value of the key-value store holds.

use super::names::split_name;
use crate::peer::ObservedState;
use crate::time::Micros;
use crate::wire::JobSpec;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Bytes that a part's value takes beside its placements and description.
const CHUNK_OVERHEAD_BYTES: usize = 400;
/// Bytes that a placement takes with names of the usual length.
pub(crate) const PLACEMENT_BYTES: usize = 27;
/// Longest description that fits in part 0.
pub const MAX_SPEC_BYTES: usize = 1_400;
/// Most tasks in a part.
const MAX_CHUNK_TASKS: u32 = 512;
/// In values below this a description takes much of the room, and is counted only in
/// the part that has it.
const SMALL_VALUE_BYTES: usize = 4 * 1024;
/// Most tasks in a part of small values.
const MAX_SMALL_CHUNK_TASKS: u32 = 48;

/// Bytes that a part's placements may take.
fn placements_room(value_kb: f64) -> usize {
    let bytes = (value_kb * 1024.0) as usize;
    if bytes < SMALL_VALUE_BYTES {
        return bytes.saturating_sub(CHUNK_OVERHEAD_BYTES + MAX_SMALL_CHUNK_TASKS as usize / 4);
    }
    // A quarter of a byte in hexadecimal digits for each task says which are done.
    bytes.saturating_sub(CHUNK_OVERHEAD_BYTES + MAX_SPEC_BYTES + MAX_CHUNK_TASKS as usize / 4)
}

/// Tasks in a part: as many as can be on machines at once.
fn chunk_size(value_kb: f64) -> u32 {
    if value_kb * 1024.0 < SMALL_VALUE_BYTES as f64 {
        let set_layout = (placements_room(value_kb) / PLACEMENT_BYTES) as u32;
        return set_layout.clamp(1, MAX_SMALL_CHUNK_TASKS);
    }
    ((placements_room(value_kb) / PLACEMENT_BYTES) as u32).clamp(1, MAX_CHUNK_TASKS)
}

fn digits(n: u64) -> usize {
    n.checked_ilog10().map_or(1, |d| d as usize + 1)
}

/// Most bytes that a placement takes in its part's value.
pub(crate) fn stored_bytes(machine: &str, incarnation: u64, attempt: u64, zone: &str) -> usize {
    let (head, width, _) = split_name(machine);
    // Numbers with their commas; a beginning or a zone that no other placement
    // has needs a line of its own, which for short ones the overhead holds.
    let names = head.len().saturating_sub(8) + zone.len().saturating_sub(12);
    width.max(1) + digits(incarnation) + digits(attempt) + 16 + names
}

/// Where a task was put.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Machine.
    pub machine: Rc<str>,
    /// Its session.
    pub incarnation: u64,
    /// Attempt.
    pub attempt: u64,
    /// Version of the part that first holds it: it is acted on once that is stored.
    pub version: u64,
    /// Time of day of the decision; stored, so that a later holder of the shard
    /// knows how much a stop would lose.
    pub at: Micros,
    /// It was read from the store: when it began to run is not known.
    pub restored: bool,
    /// Zone, for `together` and `apart`.
    pub zone: Rc<str>,
    /// It is to be stopped, with this time to save.
    pub stop: Option<Micros>,
    /// Number of the desired-state message that asked for the stop.
    pub stop_seq: Option<u64>,
    /// Its state as last observed.
    pub observed: Option<ObservedState>,
    /// Since when it runs.
    pub running_since: Option<Micros>,
    /// Bytes that it takes in the part's value at most.
    pub(crate) bytes: usize,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskEnd {
    /// Its state then.
    pub observed: ObservedState,
    /// Its machine does not know it, and is still in the session that it was meant for.
    pub may_still_start: bool,
}

impl TaskEnd {
    /// Nothing can begin it any more, whoever reads that it was placed.
    pub fn known(observed: ObservedState) -> TaskEnd {
        TaskEnd { observed, may_still_start: false }
    }

    /// Its machine's manager lists it. A refusal may be the manager's own, of which the
    /// machine knows nothing.
    pub fn listed(observed: ObservedState) -> TaskEnd {
        TaskEnd { observed, may_still_start: observed == ObservedState::Refused }
    }

    /// It was given up before it began.
    pub fn never_started() -> TaskEnd {
        TaskEnd { observed: ObservedState::Stopped, may_still_start: true }
    }
}

/// An attempt that has ended, while its end is not stored yet.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedAttempt {
    /// Version of the part that will say so.
    pub version: u64,
    /// Task.
    pub index: u32,
    /// Where it was.
    pub placement: Placement,
    /// Its machine does not know it, in the session that it was meant for: a later holder
    /// that reads it as placed would begin it.
    pub may_still_start: bool,
}

/// A part of a job's tasks.
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
    /// Highest attempt given out; one counter for all tasks of the part.
    pub attempt: u64,
    /// Version in memory.
    pub version: u64,
    /// Version in the key-value store.
    pub stored: u64,
    /// Revision of its key, 0 while it has none.
    pub revision: u64,
    /// Version of the newest placement.
    pub put: u64,
    /// Bytes that its placements take in its value at most.
    pub(crate) bytes: usize,
}

pub(crate) fn spec_bytes(spec: &JobSpec) -> usize {
    serde_json::to_vec(spec).map_or(0, |v| v.len())
}

/// How tasks are divided into parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkLayout {
    /// Tasks in a part.
    pub tasks: u32,
    /// Bytes that a part's placements may take in its value.
    pub bytes: usize,
    /// The description takes of these in part 0; else there is room for it in all.
    pub described: bool,
}

impl TaskChunk {
    /// True if it holds a placement that is not stored yet: a start waits for it.
    pub fn fresh(&self) -> bool {
        self.put > self.stored
    }

    /// Ended attempts that a later holder would begin, as long as their end is not stored.
    pub fn may_still_start(&self) -> impl Iterator<Item = &Placement> {
        self.unstored_ends
            .iter()
            .filter(|ended| ended.may_still_start)
            .map(|ended| &ended.placement)
    }

    /// True if it is worth a change though no start waits for it: until the ends in
    /// it are stored, machines and controllers keep the tasks.
    pub fn mostly_ended(&self) -> bool {
        self.unstored_ends.len() > self.placed.len() + self.pending.len()
    }
}

impl ChunkLayout {
    /// The division for values of a size.
    pub fn new(value_kb: f64) -> ChunkLayout {
        ChunkLayout {
            tasks: chunk_size(value_kb),
            bytes: placements_room(value_kb),
            described: value_kb * 1024.0 < SMALL_VALUE_BYTES as f64,
        }
    }
}
