//! Jobs and their tasks, as their shard keeps them.
//!
//! `j/REF` is tiny and permanent: shard and stage. `w/S/REF/n` holds a part of
//! the tasks each, and the description in part 0; it goes when the job is over.
//! A part's version counts its changes; what is newer than the stored version
//! has not been written yet and nobody may act on it.

mod chunk;
mod keys;
mod names;
mod stored;

pub use chunk::{ChunkLayout, EndedAttempt, MAX_SPEC_BYTES, Placement, TaskChunk, TaskEnd};
pub use keys::*;
pub use stored::{StoredPlacement, batch_is_sound, decode_batch, encode_batch, stored_placements};

use crate::controller::scheduler::pending_reason::PendingReason;
use crate::peer::{ObservedState, Shape};
use crate::time::Micros;
use crate::wire::{JobSpec, Priority};
use chunk::{PLACEMENT_BYTES, spec_bytes, stored_bytes};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Failures on different machines after which a job itself is suspected.
const JOB_SUSPECT: usize = 3;
/// Its pauses double this often: to half a minute.
const MOST_DOUBLINGS: u32 = 5;
/// Machines that a job avoids at most.
const MOST_AVOIDED: usize = 6;

/// A job that one of this process's shards runs.
#[derive(Debug, Clone)]
pub struct Job {
    /// Description.
    pub spec: Rc<JobSpec>,
    /// Shard.
    pub shard: usize,
    /// Version of `j/REF`.
    pub revision: u64,
    /// Time of day of the acceptance, by the accepting node.
    pub accepted: Micros,
    /// Its tasks.
    pub chunks: Vec<TaskChunk>,
    /// Tasks in a part.
    pub chunk_size: u32,
    /// Bytes that a part's placements may take.
    room: usize,
    /// The same for part 0, which has the description.
    first_room: usize,
    /// Jobs that have to be done first.
    pub dependencies: Rc<[String]>,
    /// It waits for jobs that have to be done first.
    pub waiting: bool,
    /// Time of day from which it could be placed: of the acceptance, or of the end of
    /// the last job that it needs.
    pub ready: Micros,
    /// Rank and deadline of the most urgent job that needs it.
    pub inherited_urgency: Option<(u32, Micros)>,
    /// Since when it has had changes that nothing urgent waits for.
    pub deferred_since: Option<Micros>,
    /// Its user cancelled it.
    pub cancelled: bool,
    /// It is over in the key-value store; its parts remain to be dropped.
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
    pub pending_reason: PendingReason,
    /// Run times of its first completed tasks, in order.
    pub run_times: Vec<Micros>,
    /// Their median, once there are a few.
    pub usual: Option<Micros>,
    /// What the desired state last said of it.
    pub shape: Option<Rc<Shape>>,
}

impl Job {
    /// A job with nothing placed.
    pub fn new(
        spec: Rc<JobSpec>,
        shard: usize,
        revision: u64,
        accepted: Micros,
        size: ChunkLayout,
    ) -> Job {
        let ChunkLayout { tasks: chunk_size, bytes: room, described } = size;
        let first_room = match described {
            true => room.saturating_sub(spec_bytes(&spec)),
            false => room,
        };
        let dependencies: Rc<[String]> = spec.dependencies.as_slice().into();
        let tasks = spec.tasks;
        let count = tasks.div_ceil(chunk_size);
        let chunks = (0..count)
            .map(|n| TaskChunk {
                pending: (n * chunk_size..((n + 1) * chunk_size).min(tasks)).collect(),
                ..TaskChunk::default()
            })
            .collect();
        Job {
            spec,
            shard,
            revision,
            accepted,
            chunks,
            chunk_size,
            room,
            first_room,
            waiting: !dependencies.is_empty(),
            dependencies,
            ready: accepted,
            inherited_urgency: None,
            deferred_since: None,
            cancelled: false,
            over: false,
            raised: false,
            busy: false,
            not_before: Micros::ZERO,
            refused: 0,
            failed_on: BTreeSet::new(),
            pauses: 0,
            avoid: BTreeSet::new(),
            pending_reason: PendingReason::New,
            run_times: Vec::new(),
            usual: None,
            shape: None,
        }
    }

    /// How much room its parts have. One that was divided for larger values keeps
    /// its parts; `previous_chunk_layout` is how they were divided, as long as such values are taken.
    pub fn set_layout(&mut self, size: ChunkLayout, previous_chunk_layout: Option<ChunkLayout>) {
        let size = previous_chunk_layout.filter(|_| self.chunk_size > size.tasks).unwrap_or(size);
        self.room = size.bytes;
        self.first_room = match size.described {
            true => size.bytes.saturating_sub(spec_bytes(&self.spec)),
            false => size.bytes,
        };
    }

    /// The part of a task.
    pub fn chunk_of(&mut self, index: u32) -> Option<&mut TaskChunk> {
        self.chunks.get_mut((index / self.chunk_size) as usize)
    }

    /// Tasks that have completed.
    pub fn done(&self) -> u32 {
        self.chunks.iter().map(|p| p.done.len() as u32).sum()
    }

    /// Tasks observed running.
    pub fn running(&self) -> u32 {
        let runs = |p: &&Placement| {
            matches!(p.observed, Some(ObservedState::Running | ObservedState::Saving))
        };
        self.chunks.iter().map(|p| p.placed.values().filter(runs).count() as u32).sum()
    }

    /// Tasks to be placed.
    pub fn pending(&self) -> u32 {
        self.chunks.iter().map(|p| p.pending.len() as u32).sum()
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
        if self.suspect() {
            pending.min(1_u32.saturating_sub(self.reserved_tasks()))
        } else {
            pending
        }
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

    /// Tasks on machines, or about to be.
    pub fn reserved_tasks(&self) -> u32 {
        self.chunks.iter().map(|p| p.placed.len() as u32).sum()
    }

    /// Tasks that count against the team's limit: also those that were given up before
    /// they began, until that is stored. A later holder would begin them, beside whatever
    /// had taken their place.
    pub fn limited_tasks(&self) -> u32 {
        let ended: usize = self.chunks.iter().map(|p| p.may_still_start().count()).sum();
        self.reserved_tasks() + ended as u32
    }

    /// The first task to be placed, in a part whose value has room for it.
    pub fn first_pending(&self) -> Option<u32> {
        let room = |n: usize| if n == 0 { self.first_room } else { self.room };
        let open = |(n, p): &(usize, &TaskChunk)| {
            p.placed.is_empty() || p.bytes + 2 * PLACEMENT_BYTES <= room(*n)
        };
        let mut chunks = self.chunks.iter().enumerate().filter(open);
        chunks.find_map(|(_, p)| p.pending.first().copied())
    }

    /// Parts with placements that are not stored yet.
    pub fn unstored_chunks(&self) -> usize {
        self.chunks.iter().filter(|p| p.fresh()).count()
    }

    /// Tasks of a part whose placements are not stored: nothing of them was ever sent.
    pub fn unstored_tasks(&self, n: usize) -> Vec<u32> {
        let chunk = &self.chunks[n];
        let unstored = chunk.placed.iter().filter(|(_, p)| p.version > chunk.stored);
        unstored.map(|(index, _)| *index).collect()
    }

    /// True once every task has completed.
    pub fn complete(&self) -> bool {
        self.chunks.iter().all(|p| p.pending.is_empty() && p.placed.is_empty())
    }

    /// Puts a task on a machine, in memory; returns the attempt.
    pub fn put(
        &mut self,
        wall: Micros,
        index: u32,
        machine: &str,
        incarnation: u64,
        zone: &str,
    ) -> Option<u64> {
        let chunk = self.chunk_of(index)?;
        if !chunk.pending.remove(&index) {
            return None;
        }
        chunk.version += 1;
        chunk.attempt += 1;
        chunk.put = chunk.version;
        let (attempt, version) = (chunk.attempt, chunk.version);
        let bytes = stored_bytes(machine, incarnation, attempt, zone);
        chunk.bytes += bytes;
        chunk.placed.insert(
            index,
            Placement {
                machine: machine.into(),
                incarnation,
                attempt,
                version,
                at: wall,
                restored: false,
                zone: zone.into(),
                stop: None,
                stop_seq: None,
                observed: None,
                running_since: None,
                bytes,
            },
        );
        Some(attempt)
    }

    /// Ends a task's attempt, in memory. The attempt stays in the desired state,
    /// and so uncleared, until the end is stored.
    pub fn end(&mut self, index: u32, end: TaskEnd) -> Option<Placement> {
        let chunk = self.chunk_of(index)?;
        let placement = chunk.placed.remove(&index)?;
        chunk.bytes -= placement.bytes.min(chunk.bytes);
        chunk.version += 1;
        let (version, ended) = (chunk.version, placement.clone());
        let may_still_start = end.may_still_start;
        chunk.unstored_ends.push(EndedAttempt {
            version,
            index,
            placement: ended,
            may_still_start,
        });
        if end.observed == ObservedState::Done {
            chunk.done.insert(index);
        } else {
            chunk.pending.insert(index);
        }
        Some(placement)
    }

    /// Rank of service: lower is more urgent.
    pub fn rank(&self) -> u32 {
        let needed = self.inherited_urgency.map_or(u32::MAX, |(rank, _)| rank);
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
        let needed = self.inherited_urgency.map_or(Micros::FAR, |(_, due)| due);
        own.map_or(needed, |own| own.min(needed))
    }

    /// Tasks per zone, for `together` and `apart`.
    pub fn zones(&self) -> BTreeMap<Rc<str>, u32> {
        let mut zones = BTreeMap::new();
        if !self.spec.one_zone && !self.spec.spread {
            return zones;
        }
        // What a later holder would begin counts, too.
        for p in self
            .chunks
            .iter()
            .flat_map(|chunk| chunk.placed.values().chain(chunk.may_still_start()))
        {
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
