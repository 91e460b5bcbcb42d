//! Counters for the status page, from the start of the process.

use crate::controller::decision_log::DecisionCounts;
use serde::Serialize;

/// Counters since the start of this process. The serialized names appear on the status page.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Counters {
    /// Jobs accepted by this process.
    pub(crate) accepted: u64,
    /// Requests refused as malformed, as infeasible, or to be retried later.
    pub(crate) refused: u64,
    /// Jobs of led shards that are done.
    pub(crate) done: u64,
    /// Jobs of led shards that were cancelled.
    pub(crate) cancelled: u64,
    /// Jobs that became ready once all their dependencies were done.
    pub(crate) released: u64,
    /// Jobs cancelled because one of their dependencies was cancelled.
    #[serde(rename = "cancelled_with_upstream")]
    pub(crate) cancelled_with_dependency: u64,
    /// Tasks placed on a machine.
    pub(crate) placed: u64,
    /// Tasks placed on a machine that already has their image.
    pub(crate) image_hits: u64,
    /// Tasks that failed on a machine.
    pub(crate) failed: u64,
    /// Tasks lost because their machine, or its incarnation, ended.
    pub(crate) lost: u64,
    /// Tasks that were preempted.
    pub(crate) preempted: u64,
    /// Heartbeats received from workers.
    #[serde(rename = "reports")]
    pub(crate) heartbeats: u64,
    /// Heartbeats that could not be parsed.
    #[serde(rename = "bad_reports")]
    pub(crate) bad_heartbeats: u64,
    /// Reads that were answered after the watch of jobs had started anew, with a state that may
    /// have changed before it did.
    pub(crate) outdated_reads: u64,
    /// Decisions, by kind.
    pub(crate) decisions: DecisionCounts,
}
