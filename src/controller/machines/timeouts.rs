//! How long workers may be silent, by the settings of the platform.

use crate::config::Workers;
use crate::controller::leadership::controller_lease::CLOCK_DRIFT_PER_MILLE;
use crate::time::Micros;

/// Added to a worker's lease before its tasks count as gone: the way of its last answer.
const WORKER_LEASE_MARGIN: Micros = Micros::millis(1_000);
/// Missed heartbeats, as intervals, and a second for the way, after which a machine does
/// not count as reporting.
const HEARTBEAT_TIMEOUT_INTERVALS: f64 = 2.0;
const HEARTBEAT_TIMEOUT_MARGIN_S: f64 = 1.0;

/// A worker's lease, by its own clock.
pub(crate) fn worker_lease(workers: &Workers) -> Micros {
    Micros::from_secs_f64(workers.lease_s)
}

/// Until when after its last answered heartbeat a worker's tasks may run, by this process's
/// clock.
pub(crate) fn longest_worker_lease(workers: &Workers) -> Micros {
    worker_lease(workers).stretched(CLOCK_DRIFT_PER_MILLE) + WORKER_LEASE_MARGIN
}

/// A machine that has been silent for longer gets no new tasks.
pub(crate) fn heartbeat_timeout(workers: &Workers) -> Micros {
    Micros::from_secs_f64(
        workers.heartbeat_interval_s * HEARTBEAT_TIMEOUT_INTERVALS + HEARTBEAT_TIMEOUT_MARGIN_S,
    )
}
