//! State of a peer, as reported by its frames.

use crate::peer::{Demand, Frame, QuotaDemand};
use crate::time::Micros;
use std::collections::BTreeMap;

/// A peer that has been silent for longer than this does not count as alive.
const PEER_TIMEOUT: Micros = Micros::secs(3);

/// Whether frames of a peer were lost before the one that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FrameContinuity {
    /// The frame follows the last one, or is a full frame.
    Unbroken,
    /// At least one frame was lost, and its content is unknown.
    FramesLost,
}

/// Another controller, as reported by its frames.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerState {
    /// When its last frame arrived; `None` before the first one.
    pub(crate) last_frame_at: Option<Micros>,
    /// Since when all its frames have reported it as healthy, without a gap; `None` while it is not
    /// healthy.
    pub(crate) healthy_since: Option<Micros>,
    /// Its controller lease is valid.
    pub(crate) holds_lease: bool,
    incarnation: u64,
    /// Its pending tasks.
    pub(crate) demand: Vec<Demand>,
    /// Unmet quota demand of its shards.
    pub(crate) quota_demand: Vec<QuotaDemand>,
    /// It hands its shards over, since it and its workers cannot reach each other.
    pub(crate) partitioned: bool,
    /// Number of machines of other members' shards that send their heartbeats to it, by shard.
    pub(crate) misdirected: BTreeMap<usize, u32>,
    last_frame_number: u64,
    /// A frame from it was lost, and no full frame has arrived since.
    pub(crate) missed_frames: bool,
    /// Revision of the key-value store up to which it has received the changes of jobs.
    pub(crate) followed_revision: u64,
    /// Format of the data that it stores and sends; 0 for versions that do not report it.
    pub(crate) format: u32,
}

impl PeerState {
    /// Whether a frame has arrived within [`PEER_TIMEOUT`].
    pub(crate) fn is_alive(&self, now: Micros) -> bool {
        self.last_frame_at.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    /// Whether it is alive, holds its controller lease and can be reached by its workers.
    pub(crate) fn is_healthy(&self, now: Micros) -> bool {
        self.is_alive(now) && self.holds_lease && !self.partitioned
    }

    /// Records the sender's state from a frame, and moves the sender's demand out of the frame.
    pub(crate) fn record(&mut self, frame: &mut Frame, now: Micros) -> FrameContinuity {
        let continuity = self.record_number(frame);
        if self.incarnation != frame.incarnation {
            self.incarnation = frame.incarnation;
            self.healthy_since = None;
        }
        self.partitioned = frame.partitioned;
        self.followed_revision = frame.followed_revision;
        self.format = frame.format;
        let is_healthy = frame.lease_valid && !frame.partitioned;
        if self.last_frame_at.is_none_or(|at| now.since(at) > PEER_TIMEOUT) || !is_healthy {
            self.healthy_since = None;
        }
        self.last_frame_at = Some(now);
        self.holds_lease = frame.lease_valid;
        if !frame.lease_valid {
            // A peer without a lease cannot act: its demand must not block others.
            self.demand.clear();
            self.quota_demand.clear();
            self.misdirected.clear();
        }
        if is_healthy {
            self.healthy_since.get_or_insert(now);
        }
        if frame.has_demand {
            let misdirected = frame.misdirected.iter();
            self.misdirected = misdirected.map(|m| (m.shard as usize, m.machines)).collect();
            self.demand = std::mem::take(&mut frame.demand);
            self.quota_demand = std::mem::take(&mut frame.quota_demand);
        }
        continuity
    }

    fn record_number(&mut self, frame: &Frame) -> FrameContinuity {
        let same_process = self.incarnation == frame.incarnation;
        let is_next = same_process && self.last_frame_number + 1 == frame.frame_number;
        self.last_frame_number = frame.frame_number;
        self.missed_frames = !frame.is_full_sync && (self.missed_frames || !is_next);
        if frame.is_full_sync || is_next {
            FrameContinuity::Unbroken
        } else {
            FrameContinuity::FramesLost
        }
    }
}
