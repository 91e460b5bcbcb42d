//! Enforcement of cancellations by the leader of a machine's shard.
//!
//! A job's owner stops its tasks through its desired state. That may fail to arrive: the
//! controllers cannot reach each other, or the owner is down and no controller can acquire its
//! shard while the key-value store is unavailable. The controller that answers a machine's
//! heartbeats keeps the machine's tasks alive. It therefore also acts on the cancellations
//! that it has observed itself, and answers heartbeats only while it is guaranteed to receive
//! cancellations in time.

use crate::config::{Settings, Workers};
use crate::controller::jobs::job::StoredStage;
use crate::controller::leadership::controller_lease::CLOCK_DRIFT_PER_MILLE;
use crate::controller::machines::attempt::AttemptId;
use crate::controller::machines::{Machines, timeouts};
use crate::controller::{CachedStage, Controller};
use crate::time::Micros;
use std::collections::BTreeMap;

/// Part of `cancel_s` that is reserved for delays not accounted for elsewhere: the transit
/// time of the last heartbeat response, and clocks that are read at discrete moments.
const CANCELLATION_MARGIN: Micros = Micros::secs(3);
/// Shortest controller lease that still outlasts a slow renewal.
const MIN_CONTROLLER_LEASE: Micros = Micros::secs(2);
/// Maximum number of cancellations resent to peers in one frame.
const MAX_RESENT_PER_FRAME: usize = 200;

/// How long after the confirmation of a cancellation a controller that has not received it may
/// still answer a worker's heartbeat. This is `cancel_s` minus the worker's lease, which the
/// last such response renews, and minus a safety margin.
pub fn max_cancellation_lag(workers: &Workers) -> Micros {
    let lease = timeouts::worker_lease(workers).stretched(CLOCK_DRIFT_PER_MILLE);
    Micros::from_secs_f64(workers.cancel_s).since(lease + CANCELLATION_MARGIN)
}

/// Duration of the controller lease, bounded by the time limit for cancellations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundedLease {
    /// Duration to use.
    pub duration: Micros,
    /// False if even the shortest usable lease is too long: cancelled tasks may then run for
    /// longer than `cancel_s`.
    pub is_short_enough: bool,
}

/// Bounds the `desired` controller lease by [`max_cancellation_lag`]: a leader whose requests
/// the key-value store refuses acts until its lease expires, and receives no cancellations
/// meanwhile.
pub fn bounded_lease(desired: Micros, workers: &Workers) -> BoundedLease {
    let limit = max_cancellation_lag(workers);
    BoundedLease {
        duration: desired.min(limit.max(MIN_CONTROLLER_LEASE)),
        is_short_enough: limit >= MIN_CONTROLLER_LEASE,
    }
}

/// Controller lease to request from the key-value store: `desired`, shortened if it is too
/// long for the settings. Logs if it is shortened or cannot be made short enough.
pub(crate) fn effective_controller_lease(desired: Micros, settings: &Settings) -> Micros {
    let BoundedLease { duration, is_short_enough } = bounded_lease(desired, &settings.workers);
    if !is_short_enough {
        log::warn!(
            "lease_s and cancel_s are so close that cancelled tasks may run for longer than \
             cancel_s while the key-value store is unavailable: lease_s is {}, cancel_s is {}",
            settings.workers.lease_s,
            settings.workers.cancel_s
        );
    } else if duration < desired {
        log::info!("the controller's lease is shortened to {} ms", duration.as_millis());
    }
    duration
}

/// A cancellation that some peer may not have received.
#[derive(Debug, Clone, Copy)]
struct UnacknowledgedCancellation {
    /// Revision of the key-value store at which it was confirmed.
    revision: u64,
    /// When this process stops resending it, even if it is still unacknowledged.
    until: Micros,
}

/// Cancellations to be resent to peers.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    /// Cancellations confirmed by this process that some peer may not have received, by job.
    unacknowledged: BTreeMap<String, UnacknowledgedCancellation>,
}

impl Cancellations {
    /// Cancellations to be resent to peers, all of which have followed the store's changes at
    /// least up to `followed_by_all`. Drops those that every peer has received, and those that
    /// are too old.
    pub(crate) fn due_for_resend(&mut self, now: Micros, followed_by_all: u64) -> Vec<String> {
        self.unacknowledged.retain(|_, c| c.revision > followed_by_all && now < c.until);
        self.unacknowledged.keys().take(MAX_RESENT_PER_FRAME).cloned().collect()
    }
}

impl Machines {
    /// Managed machines that have tasks of a job, or starts of them in flight or waiting.
    fn with_tasks_of(&self, job: &str) -> Vec<String> {
        let first = AttemptId::lowest_of(job);
        let machines = self.managed.iter().filter(|(_, managed)| managed.has_tasks_of(&first));
        machines.map(|(name, _)| name.clone()).collect()
    }
}

impl Controller {
    /// Whether this process has received every cancellation that was confirmed longer ago than
    /// the permitted lag, and since it began to follow the jobs; an earlier one is known once the job's
    /// record is read (see [`renewal`](super::renewal)). Without this check, a watch that delivers nothing while lease
    /// renewals succeed (because it hangs, or this process lags behind) would keep cancelled
    /// tasks alive.
    pub(crate) fn cancellations_up_to_date(&self) -> bool {
        let lease = self.context.options.controller_lease;
        let limit = max_cancellation_lag(&self.context.settings.workers).max(lease);
        let limit = limit.min(Micros(2 * lease.0));
        self.context.now.since(self.leadership.jobs_caught_up_at()) <= limit
    }

    /// Marks the managed machines with tasks of a cancelled job for reconciliation, so that the
    /// tasks are stopped at once, whichever shard owns the job.
    pub(crate) fn stop_tasks_on_machines(&mut self, id: &str) {
        self.changes.machines.extend(self.machines.with_tasks_of(id));
    }

    /// Notifies peers of a cancellation that the key-value store has confirmed to this process
    /// at `revision`. It is resent until every peer has followed the store up to that revision,
    /// but for no longer than `cancel_s`.
    pub(crate) fn announce_cancellation(&mut self, id: &str, revision: u64) {
        self.changes.cancelled.push(id.to_string());
        let until =
            self.context.now + Micros::from_secs_f64(self.context.settings.workers.cancel_s);
        let cancellation = UnacknowledgedCancellation { revision, until };
        self.machines.cancellations.unacknowledged.insert(id.to_string(), cancellation);
    }

    /// Jobs whose cancellation is to be resent to peers.
    pub(crate) fn cancellations_to_resend(&mut self) -> Vec<String> {
        let followed_by_all = self.peers.followed_revision().unwrap_or(u64::MAX);
        self.machines.cancellations.due_for_resend(self.context.now, followed_by_all)
    }

    /// Applies a cancellation that a peer reports as confirmed.
    pub(crate) fn apply_peer_cancellation(&mut self, id: &str) {
        let cancelled = StoredStage::Cancelled;
        let updated = match self.jobs.stage_cache.get(id) {
            Some(cached) => CachedStage { stage: cancelled, revision: 0, ..cached },
            // The job's shard is unknown, and does not matter once the job is cancelled.
            None => CachedStage { stage: cancelled, shard: usize::MAX, tasks: 0, revision: 0 },
        };
        self.cache_stage(id, updated);
        self.job_cancelled(id);
    }
}
