//! How jobs stand in the key-value store's values: parts, batches, and how they are
//! read again. Field names are a letter each, since values are small.

use super::chunk::stored_bytes;
use super::names::{join_name, split_name};
use super::{ChunkLayout, Job, Placement};
use crate::time::Micros;
use crate::wire::{JobSpec, MAX_TASKS};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Latest time of day of a placement, in seconds: what is later is damaged.
const MAX_SECOND: u64 = u64::MAX / 4_000_000;

#[derive(Serialize, Deserialize)]
struct StoredChunk {
    /// Version.
    v: u64,
    /// Highest attempt.
    a: u64,
    /// Completed tasks of the part as a bit each, in hexadecimal digits; the
    /// lowest first.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    d: String,
    /// Beginnings of machines' names, and how many digits follow.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    h: Vec<(String, usize)>,
    /// Zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    y: Vec<String>,
    /// Earliest time of day of the placements, in seconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    b: u64,
    /// Placements, [`COLUMNS`] numbers each: task since the one before,
    /// beginning and number of the machine's name, session, attempt, zone,
    /// seconds since `b`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    p: Vec<u64>,
    /// Description, in part 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    s: Option<JobSpec>,
    /// Time of day of the acceptance, in part 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    t: Option<u64>,
    /// Tasks in a part, in part 0: the settings may change between runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    z: Option<u32>,
}

/// Numbers that make up a stored placement.
const COLUMNS: usize = 7;

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// A placement as stored: task, machine, session, attempt, zone, second.
pub type StoredPlacement = (u32, String, u64, u64, String, u64);

/// The placements in a part's value; `None` if it cannot be read.
pub fn stored_placements(value: &Value) -> Option<Vec<StoredPlacement>> {
    StoredChunk::deserialize(value).ok()?.placements()
}

/// The place of an entry in a short table, which it joins if it is new.
fn place_in<T: PartialEq>(table: &mut Vec<T>, entry: T) -> u64 {
    let at = table.iter().position(|e| *e == entry).unwrap_or_else(|| {
        table.push(entry);
        table.len() - 1
    });
    at as u64
}

/// The value of a batch: part 0 of each of its jobs, as it would stand alone.
pub fn encode_batch(chunks: Vec<Value>) -> Value {
    serde_json::json!({ "jobs": chunks })
}

/// The jobs of a batch with their part 0; what cannot be read is left out.
pub fn decode_batch(value: &Value) -> Vec<(String, Value)> {
    let chunks = value.get("jobs").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let read = |v: &Value| Some((StoredChunk::deserialize(v).ok()?.s?.id, v.clone()));
    chunks.iter().filter_map(read).collect()
}

/// Whether all of a batch can be read.
pub fn batch_is_sound(value: &Value) -> bool {
    let chunks = value.get("jobs").and_then(Value::as_array);
    chunks.is_some_and(|chunks| chunks.len() == decode_batch(value).len())
}

impl StoredChunk {
    fn placements(&self) -> Option<Vec<StoredPlacement>> {
        let mut task = 0_u64;
        let mut list = Vec::with_capacity(self.p.len() / COLUMNS);
        for row in self.p.chunks(COLUMNS) {
            let [step, head, number, incarnation, attempt, zone, at] = *row else {
                return None;
            };
            task = task.checked_add(step)?;
            let (head, width) = self.h.get(usize::try_from(head).ok()?)?;
            let machine = join_name(head, (*width).min(20), number);
            let zone = self.y.get(usize::try_from(zone).ok()?)?.clone();
            let at = self.b.checked_add(at).filter(|at| *at <= MAX_SECOND)?;
            list.push((u32::try_from(task).ok()?, machine, incarnation, attempt, zone, at));
        }
        Some(list)
    }
}

impl Job {
    /// The value of a part as it stands.
    pub fn encode_chunk(&self, n: usize) -> Value {
        let chunk = &self.chunks[n];
        self.encode(n, chunk.version, chunk.placed.iter().collect())
    }

    /// The value of a part with the placements that are stored already, and no
    /// others: an attempt whose end is not stored is still among them.
    pub fn encode_stored(&self, n: usize) -> Value {
        let chunk = &self.chunks[n];
        let ended = chunk.unstored_ends.iter().map(|ended| (&ended.index, &ended.placement));
        let all = chunk.placed.iter().chain(ended);
        self.encode(n, chunk.stored, all.filter(|(_, p)| p.version <= chunk.stored).collect())
    }

    fn encode(&self, n: usize, version: u64, placed: BTreeMap<&u32, &Placement>) -> Value {
        let chunk = &self.chunks[n];
        let first = n as u32 * self.chunk_size;
        let mut d: Vec<u8> = Vec::new();
        for i in &chunk.done {
            let bit = (i - first) as usize;
            if d.len() <= bit / 4 {
                d.resize(bit / 4 + 1, 0);
            }
            d[bit / 4] |= 1 << (bit % 4);
        }
        let digit = |d: &u8| char::from_digit(u32::from(*d), 16).unwrap_or('0');
        let (mut heads, mut zones, mut rows) = (Vec::new(), Vec::new(), Vec::new());
        let base = placed.values().map(|p| p.at.0 / 1_000_000).min().unwrap_or(0);
        let mut last = 0;
        for (i, p) in placed {
            let (head, width, number) = split_name(&p.machine);
            rows.extend([
                u64::from(i - last),
                place_in(&mut heads, (head.to_string(), width)),
                number,
                p.incarnation,
                p.attempt,
                place_in(&mut zones, p.zone.to_string()),
                p.at.0 / 1_000_000 - base,
            ]);
            last = *i;
        }
        let stored = StoredChunk {
            v: version,
            a: chunk.attempt,
            d: d.iter().map(digit).collect(),
            h: heads,
            y: zones,
            b: base,
            p: rows,
            s: (n == 0).then(|| (*self.spec).clone()),
            t: (n == 0).then_some(self.accepted.0),
            z: (n == 0).then_some(self.chunk_size),
        };
        // Numbers, texts and lists always have a JSON form.
        serde_json::to_value(stored).unwrap_or_default()
    }

    /// Rebuilds a job from its stored parts; `None` without part 0, which
    /// is written with the acceptance and dropped last.
    pub fn restore(
        shard: usize,
        revision: u64,
        size: ChunkLayout,
        stored: &BTreeMap<usize, (Value, u64)>,
    ) -> Option<Job> {
        let first: StoredChunk = serde_json::from_value(stored.get(&0)?.0.clone()).ok()?;
        // What is stored of more tasks than can be submitted is damaged.
        let spec = Rc::new(first.s.filter(|s| u64::from(s.tasks) <= MAX_TASKS)?);
        let size = ChunkLayout { tasks: first.z.unwrap_or(size.tasks).max(1), ..size };
        let mut job = Job::new(spec, shard, revision, Micros(first.t.unwrap_or(0)), size);
        for (n, (value, revision)) in stored {
            let read: StoredChunk = serde_json::from_value(value.clone()).ok()?;
            let chunk = job.chunks.get_mut(*n)?;
            chunk.attempt = read.a;
            chunk.version = read.v;
            chunk.stored = read.v;
            chunk.revision = *revision;
            chunk.put = read.v;
            let begin = *n as u32 * size.tasks;
            for (at, digit) in read.d.chars().enumerate() {
                let digit = digit.to_digit(16)?;
                for bit in (0..4).filter(|bit| digit & (1 << bit) != 0) {
                    let i = begin + at as u32 * 4 + bit;
                    if chunk.pending.remove(&i) {
                        chunk.done.insert(i);
                    }
                }
            }
            for (i, machine, incarnation, attempt, zone, at) in read.placements()? {
                if chunk.pending.remove(&i) {
                    let bytes = stored_bytes(&machine, incarnation, attempt, &zone);
                    chunk.bytes += bytes;
                    let placement = Placement {
                        machine: machine.into(),
                        incarnation,
                        attempt,
                        version: read.v,
                        at: Micros::secs(at),
                        restored: true,
                        zone: zone.into(),
                        stop: None,
                        stop_seq: None,
                        observed: None,
                        running_since: None,
                        bytes,
                    };
                    chunk.placed.insert(i, placement);
                }
            }
        }
        Some(job)
    }
}
