//! Counters of a controller since its start, for the status page.

use crate::controller::decision_log::DecisionCounts;
use serde::Serialize;

/// Counters since the start of this process. Their names are on the status page.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Counts {
    /// Jobs accepted here.
    pub(crate) accepted: u64,
    /// Requests refused.
    pub(crate) refused: u64,
    /// Jobs of own shards that are done.
    pub(crate) done: u64,
    /// Jobs of own shards that were cancelled.
    pub(crate) cancelled: u64,
    /// Jobs that became ready once all their dependencies were done.
    pub(crate) released: u64,
    /// Jobs cancelled with one that they depend on.
    #[serde(rename = "cancelled_with_upstream")]
    pub(crate) cancelled_with_dependency: u64,
    /// Tasks placed on a machine.
    pub(crate) placed: u64,
    /// Tasks placed on a machine that has their image.
    pub(crate) image_hits: u64,
    /// Tasks that failed.
    pub(crate) failed: u64,
    /// Tasks that ended with their machine or its incarnation.
    pub(crate) lost: u64,
    /// Tasks that were preempted.
    pub(crate) preempted: u64,
    /// Workers' heartbeats.
    #[serde(rename = "reports")]
    pub(crate) heartbeats: u64,
    /// Heartbeats that could not be read.
    #[serde(rename = "bad_reports")]
    pub(crate) bad_heartbeats: u64,
    /// Decisions, by kind.
    pub(crate) decisions: DecisionCounts,
}
