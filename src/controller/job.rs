//! Jobs and their tasks, as their seat keeps them.
//!
//! `j/REF` is tiny and permanent: seat and stage. `w/S/REF/n` holds a part of
//! the tasks each, and the description in part 0; it goes when the job is over.
//! A part's version counts its changes; what is newer than the stored version
//! has not been written yet and nobody may act on it.

use crate::peer::{Seen, Shape};
use crate::time::Micros;
use crate::wire::{JobSpec, Priority};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Value of `j/REF`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Seat that accepted it.
    #[serde(rename = "s")]
    pub seat: usize,
    /// Stage.
    #[serde(rename = "g")]
    pub stage: StoredStage,
    /// Number of tasks, which a done job still tells.
    #[serde(rename = "n", default)]
    pub tasks: u32,
    /// Jobs that have to be done first; of no use any more once it is over.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub upstream: Vec<String>,
    /// How many further keys name others, where one value has no room for all.
    #[serde(rename = "k", default, skip_serializing_if = "is_none")]
    pub more: u32,
}

fn is_none(n: &u32) -> bool {
    *n == 0
}

/// Key of further jobs that have to be done first; numbered from 1.
pub fn upstream_key(id: &str, number: u32) -> String {
    format!("u/{id}/{number}")
}

/// Stage of a job in the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredStage {
    /// Accepted, and neither done nor cancelled.
    #[serde(rename = "a")]
    Accepted,
    /// All tasks have completed.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "c")]
    Cancelled,
}

/// Key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("j/{id}")
}

/// A key just before a job's: after all keys of jobs with smaller ids.
pub fn key_before(id: &str) -> String {
    let mut key = job_key(id);
    // Before the last digit and after all that might follow it in an id.
    let last = key.pop().unwrap_or('0');
    key.push(char::from_u32(u32::from(last) - 1).unwrap_or('/'));
    key.push(':');
    key
}

/// Key of a part of a job's tasks.
pub fn part_key(seat: usize, id: &str, part: usize) -> String {
    format!("w/{seat}/{id}/{part}")
}

/// Key of descriptions of jobs that were accepted together. The term and the
/// number make it unique; jobs' ids never begin like it.
pub fn bundle_key(seat: usize, term: u64, number: u64) -> String {
    format!("w/{seat}/_{term}-{number}/0")
}

/// Whether a name in a key under `w/S/` is a bundle's instead of a job's.
pub fn is_bundle(name: &str) -> bool {
    name.starts_with('_')
}

/// Jobs of so few tasks stay in their bundle: rewritten whole, it says more with
/// one change than a key for each.
pub const BUNDLED_TASKS: u32 = 2;

/// The value of a bundle: part 0 of each of its jobs, as it would stand alone.
pub fn encode_bundle(parts: Vec<Value>) -> Value {
    serde_json::json!({ "jobs": parts })
}

/// The jobs of a bundle with their part 0; what cannot be read is left out.
pub fn decode_bundle(value: &Value) -> Vec<(String, Value)> {
    let parts = value.get("jobs").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let read = |v: &Value| Some((StoredPart::deserialize(v).ok()?.s?.id, v.clone()));
    parts.iter().filter_map(read).collect()
}

/// Whether all of a bundle can be read.
pub fn bundle_is_sound(value: &Value) -> bool {
    let parts = value.get("jobs").and_then(Value::as_array);
    parts.is_some_and(|parts| parts.len() == decode_bundle(value).len())
}

/// Job and part of a key under `w/S/`.
pub fn parse_part_key(key: &str) -> Option<(&str, usize)> {
    let mut fields = key.split('/').skip(2);
    let id = fields.next()?;
    let part = fields.next()?.parse().ok()?;
    Some((id, part))
}

/// Bytes that a part's value takes beside its placements and description.
const PART_OVERHEAD: usize = 400;
/// Bytes that a placement takes with names of the usual length.
const PLACEMENT_BYTES: usize = 27;
/// Longest description that fits in part 0.
pub const MAX_SPEC_BYTES: usize = 1_400;
/// Failures on different machines after which a job itself is suspected.
const JOB_SUSPECT: usize = 3;
/// Its pauses double this often: to half a minute.
const MOST_DOUBLINGS: u32 = 5;
/// Machines that a job avoids at most.
const MOST_AVOIDED: usize = 6;
/// Most tasks of a job: what is stored of more is damaged.
const MAX_TASKS: u32 = 100_000;
/// Latest time of day of a placement, in seconds: what is later is damaged.
const MAX_SECOND: u64 = u64::MAX / 4_000_000;
/// Most tasks in a part.
const MAX_PART: u32 = 512;
/// In values below this a description takes much of the room, and is counted only in
/// the part that has it.
const SMALL_VALUE: usize = 4 * 1024;
/// Most tasks in a part of small values.
const MAX_PART_SMALL: u32 = 48;

/// Bytes that a part's placements may take.
fn placements_room(value_kb: f64) -> usize {
    let bytes = (value_kb * 1024.0) as usize;
    if bytes < SMALL_VALUE {
        return bytes.saturating_sub(PART_OVERHEAD + MAX_PART_SMALL as usize / 4);
    }
    // A quarter of a byte in hexadecimal digits for each task says which are done.
    bytes.saturating_sub(PART_OVERHEAD + MAX_SPEC_BYTES + MAX_PART as usize / 4)
}

/// Tasks in a part: as many as can be on machines at once.
fn part_size(value_kb: f64) -> u32 {
    if value_kb * 1024.0 < SMALL_VALUE as f64 {
        let fit = (placements_room(value_kb) / PLACEMENT_BYTES) as u32;
        return fit.clamp(1, MAX_PART_SMALL);
    }
    ((placements_room(value_kb) / PLACEMENT_BYTES) as u32).clamp(1, MAX_PART)
}

fn digits(n: u64) -> usize {
    n.checked_ilog10().map_or(1, |d| d as usize + 1)
}

/// A name as a beginning and a number that ends it: machines' names differ
/// mostly in the number. Only a number that reads back the same is split off.
fn split_name(name: &str) -> (&str, usize, u64) {
    let head = name.trim_end_matches(|c: char| c.is_ascii_digit());
    let width = name.len() - head.len();
    match name[head.len()..].parse() {
        Ok(number) if width <= 15 => (head, width, number),
        _ => (name, 0, 0),
    }
}

fn join_name(head: &str, width: usize, number: u64) -> String {
    if width == 0 { head.to_string() } else { format!("{head}{number:0width$}") }
}

/// Most bytes that a placement takes in its part's value.
fn stored_bytes(machine: &str, session: u64, attempt: u64, zone: &str) -> usize {
    let (head, width, _) = split_name(machine);
    // Numbers with their commas; a beginning or a zone that no other placement
    // has needs a line of its own, which for short ones the overhead holds.
    let names = head.len().saturating_sub(8) + zone.len().saturating_sub(12);
    width.max(1) + digits(session) + digits(attempt) + 16 + names
}

/// Where a task was put.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Machine.
    pub machine: Rc<str>,
    /// Its session.
    pub session: u64,
    /// Attempt.
    pub attempt: u64,
    /// Version of the part that first holds it: it is acted on once that is stored.
    pub version: u64,
    /// Time of day of the decision; stored, so that a later holder of the seat
    /// knows how much a stop would lose.
    pub at: Micros,
    /// It was read from the store: when it began to run is not known.
    pub restored: bool,
    /// Zone, for `together` and `apart`.
    pub zone: Rc<str>,
    /// It is to be stopped, with this time to save.
    pub stop: Option<Micros>,
    /// Number of the wants message that asked for the stop.
    pub stop_seq: Option<u64>,
    /// How it was last seen.
    pub seen: Option<Seen>,
    /// Since when it runs.
    pub running_since: Option<Micros>,
    /// Bytes that it takes in the part's value at most.
    bytes: usize,
}

/// A part of a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct Part {
    /// Tasks to be placed.
    pub pending: BTreeSet<u32>,
    /// Tasks on machines, or about to be.
    pub placed: BTreeMap<u32, Placement>,
    /// Ended attempts whose end is not stored yet, with the version that will.
    pub releasing: Vec<(u64, u32, Placement)>,
    /// Tasks that have completed.
    pub done: BTreeSet<u32>,
    /// Highest attempt given out; one counter for all tasks of the part.
    pub attempt: u64,
    /// Version in memory.
    pub version: u64,
    /// Version in the state service.
    pub stored: u64,
    /// Revision of its key, 0 while it has none.
    pub mark: u64,
    /// Version of the newest placement.
    pub put: u64,
    /// Bytes that its placements take in its value at most.
    bytes: usize,
}

impl Part {
    /// True if it holds a placement that is not stored yet: a start waits for it.
    pub fn fresh(&self) -> bool {
        self.put > self.stored
    }

    /// True if it is worth a change though no start waits for it: until the ends in
    /// it are stored, machines and controllers keep the tasks.
    pub fn mostly_ended(&self) -> bool {
        self.releasing.len() > self.placed.len() + self.pending.len()
    }
}

#[derive(Serialize, Deserialize)]
struct StoredPart {
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
    StoredPart::deserialize(value).ok()?.placements()
}

impl StoredPart {
    fn placements(&self) -> Option<Vec<StoredPlacement>> {
        let mut task = 0_u64;
        let mut list = Vec::with_capacity(self.p.len() / COLUMNS);
        for row in self.p.chunks(COLUMNS) {
            let [step, head, number, session, attempt, zone, at] = *row else {
                return None;
            };
            task = task.checked_add(step)?;
            let (head, width) = self.h.get(usize::try_from(head).ok()?)?;
            let machine = join_name(head, (*width).min(20), number);
            let zone = self.y.get(usize::try_from(zone).ok()?)?.clone();
            let at = self.b.checked_add(at).filter(|at| *at <= MAX_SECOND)?;
            list.push((u32::try_from(task).ok()?, machine, session, attempt, zone, at));
        }
        Some(list)
    }
}

/// The place of an entry in a short table, which it joins if it is new.
fn place_in<T: PartialEq>(table: &mut Vec<T>, entry: T) -> u64 {
    let at = table.iter().position(|e| *e == entry).unwrap_or_else(|| {
        table.push(entry);
        table.len() - 1
    });
    at as u64
}

fn spec_bytes(spec: &JobSpec) -> usize {
    serde_json::to_vec(spec).map_or(0, |v| v.len())
}

/// How tasks are divided into parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartSize {
    /// Tasks in a part.
    pub tasks: u32,
    /// Bytes that a part's placements may take in its value.
    pub bytes: usize,
    /// The description takes of these in part 0; else there is room for it in all.
    pub described: bool,
}

impl PartSize {
    /// The division for values of a size.
    pub fn new(value_kb: f64) -> PartSize {
        PartSize {
            tasks: part_size(value_kb),
            bytes: placements_room(value_kb),
            described: value_kb * 1024.0 < SMALL_VALUE as f64,
        }
    }
}

/// A job that one of this process's seats runs.
#[derive(Debug, Clone)]
pub struct Job {
    /// Description.
    pub spec: Rc<JobSpec>,
    /// Seat.
    pub seat: usize,
    /// Version of `j/REF`.
    pub mark: u64,
    /// Time of day of the acceptance, by the accepting node.
    pub accepted: Micros,
    /// Its tasks.
    pub parts: Vec<Part>,
    /// Tasks in a part.
    pub part_size: u32,
    /// Bytes that a part's placements may take.
    room: usize,
    /// The same for part 0, which has the description.
    first_room: usize,
    /// Jobs that have to be done first.
    pub upstream: Rc<[String]>,
    /// It waits for jobs that have to be done first.
    pub waiting: bool,
    /// Time of day from which it could be placed: of the acceptance, or of the end of
    /// the last job that it needs.
    pub ready: Micros,
    /// Rank and deadline of the most pressing job that needs it.
    pub pressing: Option<(u32, Micros)>,
    /// Since when it has had changes that nothing urgent waits for.
    pub lazy_since: Option<Micros>,
    /// Its user cancelled it.
    pub cancelled: bool,
    /// It is over in the state service; its parts remain to be dropped.
    pub over: bool,
    /// Nothing of it had begun after a good part of its objective: from then on
    /// it counts as standard work, so that more urgent work cannot starve it.
    pub raised: bool,
    /// A transaction of it is under way.
    pub busy: bool,
    /// Nothing is written or placed before this.
    pub not_before: Micros,
    /// Starts refused since one began to run.
    pub refused: u32,
    /// Machines on which tasks failed, while none of the job has completed.
    failed_on: BTreeSet<Rc<str>>,
    /// Pauses for its failures so far.
    pauses: u32,
    /// Machines on which its tasks failed lately.
    pub avoid: BTreeSet<Rc<str>>,
    /// Why it waits, for the queue page.
    pub waits: &'static str,
    /// Run times of its first completed tasks, in order.
    pub run_times: Vec<Micros>,
    /// Their median, once there are a few.
    pub usual: Option<Micros>,
    /// What wants last said of it.
    pub shape: Option<Rc<Shape>>,
}

impl Job {
    /// A job with nothing placed.
    pub fn new(spec: Rc<JobSpec>, seat: usize, mark: u64, accepted: Micros, size: PartSize) -> Job {
        let PartSize { tasks: part_size, bytes: room, described } = size;
        let first_room = match described {
            true => room.saturating_sub(spec_bytes(&spec)),
            false => room,
        };
        let upstream: Rc<[String]> = spec.upstream.as_slice().into();
        let tasks = spec.tasks;
        let count = tasks.div_ceil(part_size);
        let parts = (0..count)
            .map(|n| Part {
                pending: (n * part_size..((n + 1) * part_size).min(tasks)).collect(),
                ..Part::default()
            })
            .collect();
        Job {
            spec,
            seat,
            mark,
            accepted,
            parts,
            part_size,
            room,
            first_room,
            waiting: !upstream.is_empty(),
            upstream,
            ready: accepted,
            pressing: None,
            lazy_since: None,
            cancelled: false,
            over: false,
            raised: false,
            busy: false,
            not_before: Micros::ZERO,
            refused: 0,
            failed_on: BTreeSet::new(),
            pauses: 0,
            avoid: BTreeSet::new(),
            waits: "new",
            run_times: Vec::new(),
            usual: None,
            shape: None,
        }
    }

    /// How much room its parts have. One that was divided for larger values keeps
    /// its parts; `larger` is how they were divided, as long as such values are taken.
    pub fn fit(&mut self, size: PartSize, larger: Option<PartSize>) {
        let size = larger.filter(|_| self.part_size > size.tasks).unwrap_or(size);
        self.room = size.bytes;
        self.first_room = match size.described {
            true => size.bytes.saturating_sub(spec_bytes(&self.spec)),
            false => size.bytes,
        };
    }

    /// The value of a part as it stands.
    pub fn encode_part(&self, n: usize) -> Value {
        let part = &self.parts[n];
        self.encode(n, part.version, part.placed.iter().collect())
    }

    /// The value of a part with the placements that are stored already, and no
    /// others: an attempt whose end is not stored is still among them.
    pub fn encode_stored(&self, n: usize) -> Value {
        let part = &self.parts[n];
        let ended = part.releasing.iter().map(|(_, i, p)| (i, p));
        let all = part.placed.iter().chain(ended);
        self.encode(n, part.stored, all.filter(|(_, p)| p.version <= part.stored).collect())
    }

    fn encode(&self, n: usize, version: u64, placed: BTreeMap<&u32, &Placement>) -> Value {
        let part = &self.parts[n];
        let first = n as u32 * self.part_size;
        let mut d: Vec<u8> = Vec::new();
        for i in &part.done {
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
                p.session,
                p.attempt,
                place_in(&mut zones, p.zone.to_string()),
                p.at.0 / 1_000_000 - base,
            ]);
            last = *i;
        }
        let stored = StoredPart {
            v: version,
            a: part.attempt,
            d: d.iter().map(digit).collect(),
            h: heads,
            y: zones,
            b: base,
            p: rows,
            s: (n == 0).then(|| (*self.spec).clone()),
            t: (n == 0).then_some(self.accepted.0),
            z: (n == 0).then_some(self.part_size),
        };
        // Numbers, texts and lists always have a JSON form.
        serde_json::to_value(stored).unwrap_or_default()
    }

    /// Rebuilds a job from its stored parts; `None` without part 0, which
    /// is written with the acceptance and dropped last.
    pub fn restore(
        seat: usize,
        mark: u64,
        size: PartSize,
        stored: &BTreeMap<usize, (Value, u64)>,
    ) -> Option<Job> {
        let first: StoredPart = serde_json::from_value(stored.get(&0)?.0.clone()).ok()?;
        let spec = Rc::new(first.s.filter(|s| s.tasks <= MAX_TASKS)?);
        let size = PartSize { tasks: first.z.unwrap_or(size.tasks).max(1), ..size };
        let mut job = Job::new(spec, seat, mark, Micros(first.t.unwrap_or(0)), size);
        for (n, (value, mark)) in stored {
            let read: StoredPart = serde_json::from_value(value.clone()).ok()?;
            let part = job.parts.get_mut(*n)?;
            part.attempt = read.a;
            part.version = read.v;
            part.stored = read.v;
            part.mark = *mark;
            part.put = read.v;
            let begin = *n as u32 * size.tasks;
            for (at, digit) in read.d.chars().enumerate() {
                let digit = digit.to_digit(16)?;
                for bit in (0..4).filter(|bit| digit & (1 << bit) != 0) {
                    let i = begin + at as u32 * 4 + bit;
                    if part.pending.remove(&i) {
                        part.done.insert(i);
                    }
                }
            }
            for (i, machine, session, attempt, zone, at) in read.placements()? {
                if part.pending.remove(&i) {
                    let bytes = stored_bytes(&machine, session, attempt, &zone);
                    part.bytes += bytes;
                    let placement = Placement {
                        machine: machine.into(),
                        session,
                        attempt,
                        version: read.v,
                        at: Micros::secs(at),
                        restored: true,
                        zone: zone.into(),
                        stop: None,
                        stop_seq: None,
                        seen: None,
                        running_since: None,
                        bytes,
                    };
                    part.placed.insert(i, placement);
                }
            }
        }
        Some(job)
    }

    /// The part of a task.
    pub fn part_of(&mut self, index: u32) -> Option<&mut Part> {
        self.parts.get_mut((index / self.part_size) as usize)
    }

    /// Tasks that have completed.
    pub fn done(&self) -> u32 {
        self.parts.iter().map(|p| p.done.len() as u32).sum()
    }

    /// Tasks seen running.
    pub fn running(&self) -> u32 {
        let runs = |p: &&Placement| matches!(p.seen, Some(Seen::Running | Seen::Saving));
        self.parts.iter().map(|p| p.placed.values().filter(runs).count() as u32).sum()
    }

    /// Tasks to be placed.
    pub fn pending(&self) -> u32 {
        self.parts.iter().map(|p| p.pending.len() as u32).sum()
    }

    /// Whether the job itself seems to be at fault: it failed on several machines,
    /// and nothing of it has ever completed.
    pub fn suspect(&self) -> bool {
        self.failed_on.len() >= JOB_SUSPECT && self.done() == 0
    }

    /// Tasks that may be placed: of a job that seems to be at fault one at a time,
    /// since all of them would fail again and use up starts, writes and the limit.
    pub fn open(&self) -> u32 {
        let pending = if self.waiting { 0 } else { self.pending() };
        if self.suspect() { pending.min(1_u32.saturating_sub(self.booked())) } else { pending }
    }

    /// A task of it failed on a machine. Failures together, as of a whole array,
    /// bring one pause; each further one is longer.
    pub fn note_failure(&mut self, now: Micros, machine: &Rc<str>) {
        self.avoid.insert(Rc::clone(machine));
        if self.avoid.len() > MOST_AVOIDED {
            self.avoid.clear();
        }
        if self.failed_on.len() < JOB_SUSPECT {
            self.failed_on.insert(Rc::clone(machine));
        }
        if self.suspect() && now >= self.not_before {
            self.pauses += 1;
            self.not_before = now + Micros::secs(1 << self.pauses.min(MOST_DOUBLINGS));
            // Where there are few machines none would be left for the trial.
            self.avoid.clear();
        }
    }

    /// A task of it completed, so it can run.
    pub fn note_success(&mut self) {
        if !self.failed_on.is_empty() {
            self.failed_on.clear();
            self.pauses = 0;
            self.not_before = Micros::ZERO;
        }
    }

    /// Tasks that count against the team's limit.
    pub fn booked(&self) -> u32 {
        self.parts.iter().map(|p| p.placed.len() as u32).sum()
    }

    /// The first task to be placed, in a part whose value has room for it.
    pub fn first_pending(&self) -> Option<u32> {
        let room = |n: usize| if n == 0 { self.first_room } else { self.room };
        let open = |(n, p): &(usize, &Part)| {
            p.placed.is_empty() || p.bytes + 2 * PLACEMENT_BYTES <= room(*n)
        };
        let mut parts = self.parts.iter().enumerate().filter(open);
        parts.find_map(|(_, p)| p.pending.first().copied())
    }

    /// Parts with placements that are not stored yet.
    pub fn fresh_parts(&self) -> usize {
        self.parts.iter().filter(|p| p.fresh()).count()
    }

    /// True once every task has completed.
    pub fn complete(&self) -> bool {
        self.parts.iter().all(|p| p.pending.is_empty() && p.placed.is_empty())
    }

    /// Puts a task on a machine, in memory; returns the attempt.
    pub fn put(
        &mut self,
        wall: Micros,
        index: u32,
        machine: &str,
        session: u64,
        zone: &str,
    ) -> Option<u64> {
        let part = self.part_of(index)?;
        if !part.pending.remove(&index) {
            return None;
        }
        part.version += 1;
        part.attempt += 1;
        part.put = part.version;
        let (attempt, version) = (part.attempt, part.version);
        let bytes = stored_bytes(machine, session, attempt, zone);
        part.bytes += bytes;
        part.placed.insert(
            index,
            Placement {
                machine: machine.into(),
                session,
                attempt,
                version,
                at: wall,
                restored: false,
                zone: zone.into(),
                stop: None,
                stop_seq: None,
                seen: None,
                running_since: None,
                bytes,
            },
        );
        Some(attempt)
    }

    /// Ends a task's attempt, in memory. The attempt stays among the wants,
    /// and so uncleared, until the end is stored.
    pub fn end(&mut self, index: u32, done: bool) -> Option<Placement> {
        let part = self.part_of(index)?;
        let placement = part.placed.remove(&index)?;
        part.bytes -= placement.bytes.min(part.bytes);
        part.version += 1;
        part.releasing.push((part.version, index, placement.clone()));
        if done {
            part.done.insert(index);
        } else {
            part.pending.insert(index);
        }
        Some(placement)
    }

    /// Rank of service: lower is more urgent.
    pub fn rank(&self) -> u32 {
        let needed = self.pressing.map_or(u32::MAX, |(rank, _)| rank);
        needed.min(self.own_rank())
    }

    fn own_rank(&self) -> u32 {
        match self.spec.priority {
            Priority::Low if self.raised => 2,
            Priority::Production => 0,
            Priority::High => 1,
            Priority::Normal => 2,
            Priority::Low => 3,
        }
    }

    /// Time of day of the deadline.
    pub fn due(&self) -> Micros {
        let own = self.spec.deadline_s.map(|d| self.accepted + Micros::from_secs_f64(d));
        let needed = self.pressing.map_or(Micros::FAR, |(_, due)| due);
        own.map_or(needed, |own| own.min(needed))
    }

    /// Tasks per zone, for `together` and `apart`.
    pub fn zones(&self) -> BTreeMap<Rc<str>, u32> {
        let mut zones = BTreeMap::new();
        if !self.spec.one_zone && !self.spec.spread {
            return zones;
        }
        for p in self.parts.iter().flat_map(|p| p.placed.values()) {
            *zones.entry(Rc::clone(&p.zone)).or_insert(0) += 1;
        }
        zones
    }

    /// True if one more task may go to `zone`, given the others.
    pub fn zone_allows(&self, zones: &BTreeMap<Rc<str>, u32>, zone: &str) -> bool {
        if self.spec.zone.as_deref().is_some_and(|z| z != zone) {
            return false;
        }
        if self.spec.one_zone && zones.keys().any(|z| &**z != zone) {
            return false;
        }
        let there = zones.get(zone).copied().unwrap_or(0);
        !self.spec.spread || there < self.spec.tasks.div_ceil(2)
    }
}
