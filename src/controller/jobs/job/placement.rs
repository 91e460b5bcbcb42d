//! Attempts of tasks: where each was placed, and how it ended.

use super::Job;
use super::chunk::stored_bytes;
use crate::peer::ObservedState;
use crate::time::Micros;
use crate::wire::WorkerIncarnation;
use std::rc::Rc;

/// Where a task was placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Machine.
    pub machine: Rc<str>,
    /// Incarnation of the machine's worker.
    pub incarnation: WorkerIncarnation,
    /// Attempt, unique in the task's chunk.
    pub attempt: u64,
    /// Version of the chunk that first holds it: it is acted on once that is stored.
    pub version: u64,
    /// Time of day of the decision; stored, so that a later leader of the shard
    /// knows how much work a stop would lose.
    pub placed_at: Micros,
    /// It was read from the store: when it began to run is not known.
    pub restored: bool,
    /// Zone, for jobs whose tasks must be in one zone or spread.
    pub zone: Rc<str>,
    /// It is to be stopped, with this time for a checkpoint.
    pub stop_grace: Option<Micros>,
    /// Sequence number of the desired state that first said so.
    pub stop_seq: Option<u64>,
    /// Its state as last observed.
    pub observed: Option<ObservedState>,
    /// Since when it has been running, on the steady clock.
    pub running_since: Option<Micros>,
    /// Bytes that it takes in the chunk's value at most.
    pub(crate) bytes: usize,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskEnd {
    /// Its state then.
    pub observed: ObservedState,
    /// Its machine does not know it, and is still in the incarnation that it was meant for.
    pub may_still_start: bool,
}

impl TaskEnd {
    /// Nothing can start it any more, whoever reads that it was placed.
    pub fn certain(observed: ObservedState) -> TaskEnd {
        TaskEnd { observed, may_still_start: false }
    }

    /// The leader of its machine's shard lists it as ended. A refusal may be that leader's
    /// own, of which the machine knows nothing.
    pub fn listed(observed: ObservedState) -> TaskEnd {
        TaskEnd { observed, may_still_start: observed == ObservedState::Refused }
    }

    /// It was withdrawn before it started.
    pub fn never_started() -> TaskEnd {
        TaskEnd { observed: ObservedState::Stopped, may_still_start: true }
    }
}

/// An attempt that has ended, while its end is not stored yet.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedAttempt {
    /// Version of the chunk that no longer holds it.
    pub version: u64,
    /// Task.
    pub index: u32,
    /// Where it was.
    pub placement: Placement,
    /// Its machine does not know it, in the incarnation that it was meant for: a later leader
    /// that reads it as placed would start it.
    pub may_still_start: bool,
}

impl Job {
    /// Places a task on a machine, in memory; returns the attempt, or `None` if the task is
    /// not pending.
    pub fn place(
        &mut self,
        wall: Micros,
        index: u32,
        machine: &str,
        incarnation: WorkerIncarnation,
        zone: &str,
    ) -> Option<u64> {
        let chunk = self.chunk_of(index)?;
        if !chunk.pending.remove(&index) {
            return None;
        }
        chunk.version += 1;
        chunk.last_attempt += 1;
        chunk.placement_version = chunk.version;
        let (attempt, version) = (chunk.last_attempt, chunk.version);
        let bytes = stored_bytes(machine, incarnation, attempt, zone);
        chunk.bytes += bytes;
        chunk.placed.insert(
            index,
            Placement {
                machine: machine.into(),
                incarnation,
                attempt,
                version,
                placed_at: wall,
                restored: false,
                zone: zone.into(),
                stop_grace: None,
                stop_seq: None,
                observed: None,
                running_since: None,
                bytes,
            },
        );
        Some(attempt)
    }

    /// Notes that a task's present attempt was observed in a state that is not over; true if
    /// it was in another one before.
    pub fn note_observed(
        &mut self,
        now: Micros,
        wall: Micros,
        index: u32,
        observed: ObservedState,
    ) -> bool {
        let Some(placement) = self.placement_mut(index) else {
            return false;
        };
        if placement.observed == Some(observed) {
            return false;
        }
        placement.observed = Some(observed);
        if observed == ObservedState::Running && placement.running_since.is_none() {
            let took = wall.since(placement.placed_at);
            let began = if placement.restored { now.since(took) } else { now };
            placement.running_since = Some(began);
            let (machine, took) = (&placement.machine, took.as_millis());
            log::debug!("attempt {} runs on {machine} after {took} ms", placement.attempt);
            self.backoff.note_start();
        }
        true
    }

    /// Ends a task's attempt, in memory; returns where it was. The attempt stays in the
    /// desired state, so that its machine keeps its record, until the end is stored.
    pub fn end(&mut self, index: u32, end: TaskEnd) -> Option<Placement> {
        let chunk = self.chunk_of(index)?;
        let placement = chunk.placed.remove(&index)?;
        chunk.bytes -= placement.bytes.min(chunk.bytes);
        chunk.version += 1;
        chunk.unstored_ends.push(EndedAttempt {
            version: chunk.version,
            index,
            placement: placement.clone(),
            may_still_start: end.may_still_start,
        });
        if end.observed == ObservedState::Done {
            chunk.done.insert(index);
        } else {
            chunk.pending.insert(index);
        }
        Some(placement)
    }
}
