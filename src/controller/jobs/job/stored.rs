//! Encodes and decodes the stored values of chunks and batches.
//!
//! Stored field names have a single letter, since the store's values are small.

use super::chunk::stored_bytes;
use super::machine_names::{join_name, split_name};
use super::{ChunkLayout, Job, Placement, StoredChunkValue, TaskChunk};
use crate::time::Micros;
use crate::wire::{JobSpec, MAX_TASKS, WorkerIncarnation};
use serde::{Deserialize, Serialize, Serializer};
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Latest valid wall-clock time of a placement, in seconds; a later one marks damaged data.
const MAX_PLACED_SECOND: u64 = u64::MAX / 4_000_000;
/// Maximum number of digits at the end of a machine's name; damaged data may specify more.
const MAX_STORED_DIGITS: usize = 20;
/// Number of integers that make up a stored placement.
const COLUMNS: usize = 7;

/// The stored value of a chunk.
#[derive(Serialize, Deserialize)]
struct StoredChunk {
    /// Version of the chunk.
    #[serde(rename = "v")]
    version: u64,
    /// Highest attempt number given out.
    #[serde(rename = "a")]
    last_attempt: u64,
    /// Completed tasks of the chunk as hexadecimal digits with one bit per task, the lowest task
    /// first.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    done_bits: String,
    /// Prefixes of machines' names.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    name_prefixes: Vec<NamePrefix>,
    #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
    zones: Vec<String>,
    /// Earliest wall-clock time of the placements, in seconds.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    base_second: u64,
    /// Placements as [`COLUMNS`] numbers each: difference to the previous task's number, prefix
    /// (index in `name_prefixes`) and number of the machine's name, incarnation, attempt, zone
    /// (index in `zones`), seconds since `base_second`.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    placements: Vec<u64>,
    /// Description of the job; only in chunk 0.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    spec: Option<JobSpec>,
    /// Wall-clock time of the acceptance, in microseconds; only in chunk 0.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    accepted: Option<u64>,
    /// Number of tasks in a chunk; only in chunk 0. Stored because the settings may change
    /// between runs.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    chunk_size: Option<u32>,
}

/// The prefix that machines' names share, stored as a pair.
#[derive(PartialEq, Deserialize)]
#[serde(from = "(String, usize)")]
struct NamePrefix {
    prefix: String,
    /// Number of digits that follow the prefix.
    width: usize,
}

impl From<(String, usize)> for NamePrefix {
    fn from((prefix, width): (String, usize)) -> NamePrefix {
        NamePrefix { prefix, width }
    }
}

impl Serialize for NamePrefix {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.prefix, self.width).serialize(serializer)
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A decoded placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPlacement {
    /// Number of the task in its job.
    pub index: u32,
    /// Name of the machine.
    pub machine: String,
    /// Incarnation of the machine's worker.
    pub incarnation: WorkerIncarnation,
    /// Number of the attempt.
    pub attempt: u64,
    /// Zone of the machine.
    pub zone: String,
    /// Wall-clock time of the placement decision, in seconds.
    pub placed_second: u64,
}

/// Decodes the placements in a chunk's value; `None` if it cannot be read.
pub fn stored_placements(value: &Value) -> Option<Vec<StoredPlacement>> {
    StoredChunk::deserialize(value).ok()?.read_placements()
}

/// Returns the position of an entry in a short table, adding the entry if it is new.
fn position_in<T: PartialEq>(table: &mut Vec<T>, entry: T) -> u64 {
    let position = table.iter().position(|existing| *existing == entry).unwrap_or_else(|| {
        table.push(entry);
        table.len() - 1
    });
    position as u64
}

/// Encodes a batch: chunk 0 of each of its jobs, as it would be stored under its own key.
pub fn encode_batch(chunks: Vec<Value>) -> Value {
    serde_json::json!({ "jobs": chunks })
}

/// Decodes a batch into its jobs' ids and values of chunk 0, leaving out unreadable ones.
pub fn decode_batch(value: &Value) -> Vec<(String, Value)> {
    let chunks = value.get("jobs").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let read = |v: &Value| Some((StoredChunk::deserialize(v).ok()?.spec?.id, v.clone()));
    chunks.iter().filter_map(read).collect()
}

/// Whether all jobs of a batch can be read.
pub fn batch_is_readable(value: &Value) -> bool {
    let chunks = value.get("jobs").and_then(Value::as_array);
    chunks.is_some_and(|chunks| chunks.len() == decode_batch(value).len())
}

/// Returns the version of the chunk in a value.
pub(crate) fn stored_version(value: &Value) -> Option<u64> {
    value.get("v")?.as_u64()
}

/// Encodes a chunk's completed tasks as hexadecimal digits; `first` is its first task.
fn encode_done(chunk: &TaskChunk, first: u32) -> String {
    let mut digits: Vec<u8> = Vec::new();
    for index in &chunk.done {
        let bit = (index - first) as usize;
        if digits.len() <= bit / 4 {
            digits.resize(bit / 4 + 1, 0);
        }
        digits[bit / 4] |= 1 << (bit % 4);
    }
    let digit = |digit: &u8| char::from_digit(u32::from(*digit), 16).unwrap_or('0');
    digits.iter().map(digit).collect()
}

/// Marks the tasks encoded by [`encode_done`] as completed; `None` if a digit is invalid.
fn decode_done(chunk: &mut TaskChunk, first: u32, digits: &str) -> Option<()> {
    for (position, digit) in digits.chars().enumerate() {
        let digit = digit.to_digit(16)?;
        for bit in (0..4).filter(|bit| digit & (1 << bit) != 0) {
            let index = first + position as u32 * 4 + bit;
            if chunk.pending.remove(&index) {
                chunk.done.insert(index);
            }
        }
    }
    Some(())
}

impl StoredChunk {
    /// Fills in the placements, with their tables of prefixes and zones. All other fields are
    /// already set.
    fn write_placements(&mut self, placed: &BTreeMap<&u32, &Placement>) {
        let second = |placement: &Placement| placement.placed_at.0 / 1_000_000;
        self.base_second = placed.values().map(|placement| second(placement)).min().unwrap_or(0);
        let mut previous = 0;
        for (index, placement) in placed {
            let name = split_name(&placement.machine);
            let prefix = NamePrefix { prefix: name.prefix.to_string(), width: name.width };
            self.placements.extend([
                u64::from(*index - previous),
                position_in(&mut self.name_prefixes, prefix),
                name.number,
                placement.incarnation.0,
                placement.attempt,
                position_in(&mut self.zones, placement.zone.to_string()),
                second(placement) - self.base_second,
            ]);
            previous = **index;
        }
    }

    /// Decodes the placements; `None` if they are damaged.
    fn read_placements(&self) -> Option<Vec<StoredPlacement>> {
        let mut index = 0_u64;
        let mut list = Vec::with_capacity(self.placements.len() / COLUMNS);
        for row in self.placements.chunks(COLUMNS) {
            let [step, prefix, number, incarnation, attempt, zone, second] = *row else {
                return None;
            };
            index = index.checked_add(step)?;
            let name = self.name_prefixes.get(usize::try_from(prefix).ok()?)?;
            let second = self.base_second.checked_add(second);
            list.push(StoredPlacement {
                index: u32::try_from(index).ok()?,
                machine: join_name(&name.prefix, name.width.min(MAX_STORED_DIGITS), number),
                incarnation: WorkerIncarnation(incarnation),
                attempt,
                zone: self.zones.get(usize::try_from(zone).ok()?)?.clone(),
                placed_second: second.filter(|second| *second <= MAX_PLACED_SECOND)?,
            });
        }
        Some(list)
    }
}

impl TaskChunk {
    /// Restores the chunk from its stored value. `first` is the chunk's first task, `revision`
    /// that of its key. `None` if the value is damaged.
    fn restore(&mut self, first: u32, stored: &StoredChunk, revision: u64) -> Option<()> {
        self.last_attempt = stored.last_attempt;
        self.version = stored.version;
        self.stored_version = stored.version;
        self.revision = revision;
        self.placement_version = stored.version;
        decode_done(self, first, &stored.done_bits)?;
        for placement in stored.read_placements()? {
            self.restore_placement(placement);
        }
        Some(())
    }

    /// Restores a stored placement; ignored if the task is already done or placed, or is not in
    /// this chunk.
    fn restore_placement(&mut self, stored: StoredPlacement) {
        let StoredPlacement { index, machine, incarnation, attempt, zone, placed_second } = stored;
        if !self.pending.remove(&index) {
            return;
        }
        let bytes = stored_bytes(&machine, incarnation, attempt, &zone);
        self.bytes += bytes;
        let placement = Placement {
            machine: machine.into(),
            incarnation,
            attempt,
            version: self.version,
            placed_at: Micros::secs(placed_second),
            restored: true,
            zone: zone.into(),
            stop_grace: None,
            stop_seq: None,
            observed: None,
            running_since: None,
            bytes,
        };
        self.placed.insert(index, placement);
    }
}

impl Job {
    /// Encodes a chunk as it is in memory.
    pub fn encode_chunk(&self, number: usize) -> Value {
        let chunk = &self.chunks[number];
        self.encode(number, chunk.version, chunk.placed.iter().collect())
    }

    /// Encodes a chunk with only the placements that are already stored, including those of
    /// attempts whose end is not stored yet.
    pub fn encode_stored(&self, number: usize) -> Value {
        let chunk = &self.chunks[number];
        let ended = chunk.unstored_ends.iter().map(|ended| (&ended.index, &ended.placement));
        let all = chunk.placed.iter().chain(ended);
        let stored = all.filter(|(_, placement)| placement.version <= chunk.stored_version);
        self.encode(number, chunk.stored_version, stored.collect())
    }

    fn encode(&self, number: usize, version: u64, placed: BTreeMap<&u32, &Placement>) -> Value {
        let chunk = &self.chunks[number];
        let is_first = number == 0;
        let mut stored = StoredChunk {
            version,
            last_attempt: chunk.last_attempt,
            done_bits: encode_done(chunk, number as u32 * self.chunk_size),
            name_prefixes: Vec::new(),
            zones: Vec::new(),
            base_second: 0,
            placements: Vec::new(),
            spec: is_first.then(|| (*self.spec).clone()),
            accepted: is_first.then_some(self.accepted.0),
            chunk_size: is_first.then_some(self.chunk_size),
        };
        stored.write_placements(&placed);
        // Cannot fail: numbers, strings and lists always have a JSON form.
        serde_json::to_value(stored).unwrap_or_default()
    }

    /// Rebuilds a job from its stored chunks. `None` if one is damaged or chunk 0 is missing,
    /// which is written with the acceptance and deleted last.
    pub fn restore(
        shard: usize,
        revision: u64,
        layout: ChunkLayout,
        stored: &BTreeMap<usize, StoredChunkValue>,
    ) -> Option<Job> {
        let first: StoredChunk = serde_json::from_value(stored.get(&0)?.value.clone()).ok()?;
        // No submission may have more than MAX_TASKS tasks, so a larger count is damaged data.
        let spec = Rc::new(first.spec.filter(|spec| u64::from(spec.tasks) <= MAX_TASKS)?);
        let tasks = first.chunk_size.unwrap_or(layout.tasks).max(1);
        let layout = ChunkLayout { tasks, ..layout };
        let accepted = Micros(first.accepted.unwrap_or(0));
        let mut job = Job::new(spec, shard, revision, accepted, layout);
        for (number, StoredChunkValue { value, revision }) in stored {
            let stored: StoredChunk = serde_json::from_value(value.clone()).ok()?;
            let chunk = job.chunks.get_mut(*number)?;
            chunk.restore(*number as u32 * layout.tasks, &stored, *revision)?;
        }
        Some(job)
    }
}
