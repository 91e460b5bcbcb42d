//! Cancellations, as the leader of a machine's shard carries them out by itself.
//!
//! A job's owner stops its tasks by its desired state. That may not get through: the
//! controllers cannot reach each other, or the owner is gone and nobody can acquire its shard
//! while the key-value store is away. Whoever answers a machine's heartbeats keeps its tasks
//! alive, so that one acts on what it knows itself, and answers only while it is sure to learn
//! of cancellations.

use crate::config::{Settings, Workers};
use crate::controller::calls::MachinesCall;
use crate::controller::jobs::job::{self, StoredStage};
use crate::controller::leadership::controller_lease::CLOCK_DRIFT_PER_MILLE;
use crate::controller::machines::attempt::AttemptId;
use crate::controller::machines::{Machines, timeouts};
use crate::controller::{CachedStage, Controller};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Left of the time that a cancellation has for what is not counted: the way of
/// the last answer, and clocks that are read in steps.
const CANCELLATION_MARGIN: Micros = Micros::secs(3);
/// The shortest controller lease that still outlasts a slow renewal.
const MIN_CONTROLLER_LEASE: Micros = Micros::secs(2);
/// Between reads of jobs of which this process knows nothing.
const UNKNOWN_READ_INTERVAL: Micros = Micros::millis(100);
/// Such reads in flight at most.
const MAX_UNKNOWN_READS: usize = 2;
/// Unknown jobs remembered at most; others are found again by the next heartbeat.
const MAX_UNKNOWN_JOBS: usize = 1_000;
/// Cancellations repeated to peers in one frame, at most.
const MAX_REPEATED_PER_FRAME: usize = 200;

/// How long after a confirmed cancellation a worker's heartbeat may still be answered
/// by a controller that does not know of it: what a cancellation has, less the
/// worker's own lease, which the last such answer begins anew.
pub fn unanswered_limit(workers: &Workers) -> Micros {
    let lease = timeouts::worker_lease(workers).stretched(CLOCK_DRIFT_PER_MILLE);
    Micros::from_secs_f64(workers.cancel_s).since(lease + CANCELLATION_MARGIN)
}

/// A duration of the controller's lease, and whether it is safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FittedLease {
    /// The duration to use.
    pub duration: Micros,
    /// False where no usable lease is short enough: cancelled tasks may outlast their limit.
    pub is_short_enough: bool,
}

/// The controller's lease to use where `desired` is too long: a leader that the key-value
/// store refuses goes on for as long, and cannot learn of cancellations.
pub fn fitting_lease(desired: Micros, workers: &Workers) -> FittedLease {
    let limit = unanswered_limit(workers);
    FittedLease {
        duration: desired.min(limit.max(MIN_CONTROLLER_LEASE)),
        is_short_enough: limit >= MIN_CONTROLLER_LEASE,
    }
}

/// The lease to request of the key-value store where `desired` may be too long; what was
/// changed is logged.
pub(crate) fn usable_lease(desired: Micros, settings: &Settings) -> Micros {
    let FittedLease { duration, is_short_enough } = fitting_lease(desired, &settings.workers);
    if !is_short_enough {
        log::warn!(
            "lease_s and cancel_s are so close that cancelled tasks may outlast cancel_s \
             when the key-value store is away"
        );
    } else if duration < desired {
        log::info!("the controller's lease is shortened to {} ms", duration.as_millis());
    }
    duration
}

/// A cancellation that some peer may not know of.
#[derive(Debug, Clone, Copy)]
struct RepeatedCancellation {
    /// Revision of the key-value store that confirmed it.
    revision: u64,
    /// Until when it is repeated.
    until: Micros,
}

/// What this process does about cancellations beside its own jobs.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    /// Jobs with tasks on own machines of which nothing is known from the store.
    unknown_jobs: BTreeSet<String>,
    reads_in_flight: usize,
    next_read_at: Micros,
    /// Cancellations confirmed here that some peer does not know for certain, by job.
    repeated: BTreeMap<String, RepeatedCancellation>,
}

impl Cancellations {
    /// Machines have tasks of jobs of which nothing is known here: they may have been
    /// cancelled before this process began to follow the store's changes.
    pub(crate) fn add_unknown(&mut self, jobs: Vec<String>) {
        for id in jobs {
            if self.unknown_jobs.len() < MAX_UNKNOWN_JOBS {
                self.unknown_jobs.insert(id);
            }
        }
    }

    /// The next unknown job to be read, if one may be read now. What is known by now, as
    /// `is_known` says, is left out.
    fn begin_read(&mut self, now: Micros, is_known: impl Fn(&String) -> bool) -> Option<String> {
        if self.reads_in_flight >= MAX_UNKNOWN_READS || now < self.next_read_at {
            return None;
        }
        while let Some(id) = self.unknown_jobs.pop_first() {
            if !is_known(&id) {
                self.reads_in_flight += 1;
                self.next_read_at = now + UNKNOWN_READ_INTERVAL;
                return Some(id);
            }
        }
        None
    }

    fn read_ended(&mut self) {
        self.reads_in_flight = self.reads_in_flight.saturating_sub(1);
    }

    /// Cancellations to be repeated to peers, the least advanced of which has followed the
    /// store's changes up to a revision.
    pub(crate) fn due_for_repetition(&mut self, now: Micros, followed_by_all: u64) -> Vec<String> {
        self.repeated.retain(|_, c| c.revision > followed_by_all && now < c.until);
        self.repeated.keys().take(MAX_REPEATED_PER_FRAME).cloned().collect()
    }
}

impl Machines {
    /// Managed machines that have tasks of a job, or may come to have them.
    fn with_tasks_of(&self, job: &str) -> Vec<String> {
        let first = AttemptId::lowest_of(job);
        let machines = self.managed.iter().filter(|(_, managed)| managed.has_tasks_of(&first));
        machines.map(|(name, _)| name.clone()).collect()
    }
}

impl Controller {
    /// Whether every cancellation that was confirmed long enough ago is known here.
    /// A watch that says nothing while renewals go through (it hangs, or this
    /// process lags behind) would otherwise keep cancelled tasks alive.
    pub(crate) fn cancellations_up_to_date(&self) -> bool {
        let lease = self.context.options.controller_lease;
        let limit = unanswered_limit(&self.context.settings.workers).max(lease);
        let limit = limit.min(Micros(2 * lease.0));
        self.context.now.since(self.leadership.jobs_caught_up_at()) <= limit
    }

    /// A job was found to be cancelled: its tasks on own machines are stopped at
    /// once, whoever runs it.
    pub(crate) fn stop_on_machines(&mut self, id: &str) {
        self.changes.machines.extend(self.machines.with_tasks_of(id));
    }

    /// Reads unknown jobs, a few at a time.
    pub(crate) fn read_unknown_jobs(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let stages = &self.jobs.stage_cache;
        let is_known = |id: &String| stages.contains(id);
        if let Some(id) = self.machines.cancellations.begin_read(self.context.now, is_known) {
            let key = job::job_key(&id);
            self.context.call_store(MachinesCall::ReadUnknownJob { job: id }, KvRequest::Get(key));
        }
    }

    /// Applies the record of an unknown job.
    pub(crate) fn unknown_read(&mut self, id: &str, reply: &KvResponse) {
        self.machines.cancellations.read_ended();
        self.take_record_reply(id, reply);
    }

    /// A cancellation was confirmed here: peers are notified now, and again until each
    /// is known to have received it.
    pub(crate) fn announce_cancelled(&mut self, id: &str, revision: u64) {
        self.changes.cancelled.push(id.to_string());
        let until =
            self.context.now + Micros::from_secs_f64(self.context.settings.workers.cancel_s);
        let cancellation = RepeatedCancellation { revision, until };
        self.machines.cancellations.repeated.insert(id.to_string(), cancellation);
    }

    /// Cancellations to be repeated to peers.
    pub(crate) fn cancellations_to_repeat(&mut self) -> Vec<String> {
        let followed_by_all = self.peers.followed_revision().unwrap_or(u64::MAX);
        self.machines.cancellations.due_for_repetition(self.context.now, followed_by_all)
    }

    /// A peer says that it has confirmed a cancellation.
    pub(crate) fn apply_peer_cancellation(&mut self, id: &str) {
        let cancelled = StoredStage::Cancelled;
        let known = match self.jobs.stage_cache.get(id) {
            Some(known) => CachedStage { stage: cancelled, revision: 0, ..known },
            // Which shard runs it does not matter any more.
            None => CachedStage { stage: cancelled, shard: usize::MAX, tasks: 0, revision: 0 },
        };
        self.cache_stage(id, known);
        self.job_cancelled(id);
    }
}
