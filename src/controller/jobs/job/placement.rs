//! Placements of tasks, and the ends of their attempts.

use super::Job;
use super::chunk::stored_bytes;
use crate::peer::ObservedState;
use crate::time::Micros;
use crate::wire::WorkerIncarnation;
use std::rc::Rc;

/// The placement of a task's attempt on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Name of the machine.
    pub machine: Rc<str>,
    /// Incarnation of the machine's worker that may run the attempt.
    pub incarnation: WorkerIncarnation,
    /// Number of the attempt, unique in the task's chunk.
    pub attempt: u64,
    /// First version of the chunk with this placement. No controller acts on the placement
    /// before that version is stored.
    pub version: u64,
    /// Wall-clock time of the decision. It is stored so that a later leader of the shard can tell
    /// how much work a stop would lose.
    pub placed_at: Micros,
    /// Whether the placement was read from the store, so that its start time is unknown.
    pub restored: bool,
    /// Zone of the machine, for jobs whose tasks must be in one zone or spread.
    pub zone: Rc<str>,
    /// Time for a checkpoint before the requested stop; `None` if no stop is requested.
    pub stop_grace: Option<Micros>,
    /// Sequence number of the desired state that first contained the stop.
    pub stop_seq: Option<u64>,
    /// State last observed on the machine; `None` before the first observation.
    pub observed: Option<ObservedState>,
    /// Time on the monotonic clock since which the attempt has been running; `None` before.
    pub running_since: Option<Micros>,
    /// Upper bound of the bytes that the placement takes in the chunk's value.
    pub(crate) bytes: usize,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskEnd {
    /// Terminal state of the attempt.
    pub observed: ObservedState,
    /// Whether a start could still run the attempt: its machine has no record of it, and its
    /// worker is still in the incarnation for which it was placed.
    pub may_still_start: bool,
}

impl TaskEnd {
    /// An end after which no leader that reads the stored placement can start the attempt.
    pub fn certain(observed: ObservedState) -> TaskEnd {
        TaskEnd { observed, may_still_start: false }
    }

    /// An end that the leader of the machine's shard reports. That leader may have refused the
    /// start itself, so after a refusal the machine may have no record of the attempt.
    pub fn listed(observed: ObservedState) -> TaskEnd {
        TaskEnd { observed, may_still_start: observed == ObservedState::Refused }
    }

    /// The end of an attempt that was withdrawn before it started.
    pub fn never_started() -> TaskEnd {
        TaskEnd { observed: ObservedState::Stopped, may_still_start: true }
    }
}

/// An ended attempt whose end is not stored yet.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedAttempt {
    /// First version of the chunk without the placement.
    pub version: u64,
    /// Number of the task in its job.
    pub index: u32,
    /// The attempt's placement.
    pub placement: Placement,
    /// Whether a later leader that reads the stored placement would start the attempt: see
    /// [`TaskEnd::may_still_start`].
    pub may_still_start: bool,
}

impl Job {
    /// Places a task on a machine, in memory only. Returns the attempt's number, or `None` if
    /// the task is not pending.
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

    /// Records that a task's current attempt was observed in a non-terminal state. Returns
    /// whether the state has changed.
    pub fn record_observed_state(
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
            let (attempt, machine) = (placement.attempt, Rc::clone(&placement.machine));
            log::debug!(
                "task {}/{index}: attempt {} runs on {}, {} ms after its placement",
                self.spec.id,
                attempt,
                machine,
                took.as_millis()
            );
            self.backoff.record_start();
        }
        true
    }

    /// Ends a task's attempt, in memory only, and returns its placement. Until the end is
    /// stored, the attempt stays in the desired state so that its machine keeps its record.
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
