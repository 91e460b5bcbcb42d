//! When the controller's periodic work is due, and how often.

use crate::time::Micros;

/// Between rounds of upkeep over machines and jobs.
pub(crate) const UPKEEP_EVERY: Micros = Micros::millis(250);
/// Between recomputations of what teams may claim within their guarantees.
pub(crate) const GUARANTEES_EVERY: Micros = Micros::secs(1);
/// Between looks at the division of the teams' limits.
pub(crate) const QUOTAS_EVERY: Micros = Micros::millis(300);
/// Between log lines about refused requests.
pub(crate) const REFUSALS_EVERY: Micros = Micros::secs(10);
/// Between frames to peers while nothing changes.
pub(crate) const PEER_HEARTBEAT_INTERVAL: Micros = Micros::millis(800);
/// Between frames that carry this process's waiting tasks.
pub(crate) const DEMAND_EVERY: Micros = Micros::millis(400);
/// Between frames that carry jobs' progress.
pub(crate) const PROGRESS_EVERY: Micros = Micros::millis(400);
/// How often a peer is told that a frame of it was missed.
pub(crate) const MISSED_EVERY: Micros = Micros::secs(1);

/// When each kind of periodic work is due next.
#[derive(Debug, Clone, Default)]
pub(crate) struct Timers {
    /// A frame to every peer, even if nothing has changed.
    pub(crate) peer_heartbeat: Micros,
    /// Upkeep of machines, jobs and requests to make room.
    pub(crate) upkeep: Micros,
    /// Waiting tasks and lacking limits, told to peers.
    pub(crate) demand: Micros,
    /// Jobs' progress, told to peers.
    pub(crate) progress: Micros,
    /// Repetition of what is wanted of tasks that no machine has reported.
    pub(crate) reminder: Micros,
    /// Division of the teams' limits.
    pub(crate) quotas: Micros,
    /// Claims within the teams' guarantees.
    pub(crate) guarantees: Micros,
    /// Log lines about refused requests.
    pub(crate) refusals: Micros,
    /// Word to peers of whom a frame was missed.
    pub(crate) missed_frames: Micros,
}
