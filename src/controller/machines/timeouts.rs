//! Worker leases and heartbeat timeouts, derived from the settings.

use crate::config::Workers;
use crate::controller::leadership::controller_lease::CLOCK_DRIFT_PER_MILLE;
use crate::time::Micros;

/// Added to a worker's lease before its tasks count as gone. Covers the transit time of the
/// last heartbeat response, since the lease begins when the worker receives it.
const WORKER_LEASE_MARGIN: Micros = Micros::millis(1_000);
/// Number of heartbeat intervals without a heartbeat after which a machine no longer counts
/// as reporting in time.
const HEARTBEAT_TIMEOUT_INTERVALS: f64 = 2.0;
/// Added to these intervals, in seconds: the transit time of a heartbeat.
const HEARTBEAT_TIMEOUT_MARGIN_S: f64 = 1.0;

/// Duration of a worker's lease, by the worker's clock.
pub(crate) fn worker_lease(workers: &Workers) -> Micros {
    Micros::from_secs_f64(workers.lease_s)
}

/// How long a worker's tasks may run after its last answered heartbeat, by this process's
/// clock: the lease, extended by the clock drift and the transit time of the response.
pub(crate) fn max_worker_lease(workers: &Workers) -> Micros {
    worker_lease(workers).stretched(CLOCK_DRIFT_PER_MILLE) + WORKER_LEASE_MARGIN
}

/// How long a machine may be silent and still receive new tasks.
pub(crate) fn heartbeat_timeout(workers: &Workers) -> Micros {
    Micros::from_secs_f64(
        workers.heartbeat_interval_s * HEARTBEAT_TIMEOUT_INTERVALS + HEARTBEAT_TIMEOUT_MARGIN_S,
    )
}
