//! The other controllers: their reported state, and the frames that are sent to them.
//!
//! Owns the last reported state of each peer and the numbers of the frames and messages sent.
//! Frames carry whole state, so any one of them may be lost. What a peer reports about jobs and
//! machines is passed to their components; nothing here decides about them.

mod full_sync;
mod peer_state;
mod receiving;
mod sending;

use crate::peer::{Demand, QuotaDemand};
use crate::time::Micros;
pub(crate) use peer_state::PeerState;
use std::collections::BTreeMap;

/// State of the other members, and of the frames and messages sent to them.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Last reported state of each peer, by member number.
    by_member: BTreeMap<usize, PeerState>,
    /// Number of the last message of desired state.
    desired_state_seq: u64,
    /// For each shard, the highest term that the sent desired state of led shards has taken into
    /// account.
    announced_terms: Vec<u64>,
    /// Number of the last frame.
    frames_sent: u64,
}

impl Peers {
    /// Creates the state of all `members` members other than `local_member`, before any frame has
    /// arrived.
    pub(crate) fn new(members: usize, local_member: usize) -> Peers {
        let others = (0..members).filter(|member| *member != local_member);
        Peers {
            by_member: others.map(|member| (member, PeerState::default())).collect(),
            desired_state_seq: 0,
            announced_terms: vec![0; members],
            frames_sent: 0,
        }
    }

    /// Allocates the number of a message of desired state that is sent now.
    pub(crate) fn next_desired_state_seq(&mut self) -> u64 {
        self.desired_state_seq += 1;
        self.desired_state_seq
    }

    /// All peers with their numbers, in order.
    pub(crate) fn all(&self) -> impl Iterator<Item = (usize, &PeerState)> {
        self.by_member.iter().map(|(member, peer)| (*member, peer))
    }

    /// The peers from which a frame has arrived recently.
    pub(crate) fn live(&self, now: Micros) -> impl Iterator<Item = &PeerState> {
        self.by_member.values().filter(move |peer| peer.is_alive(now))
    }

    /// Whether a frame from a member has arrived recently; always false for this process itself.
    pub(crate) fn is_alive(&self, member: usize, now: Micros) -> bool {
        self.by_member.get(&member).is_some_and(|peer| peer.is_alive(now))
    }

    /// Whether a peer is alive, holds its controller lease and can be reached by its workers.
    pub(crate) fn is_healthy(&self, member: usize, now: Micros) -> bool {
        self.by_member.get(&member).is_some_and(|peer| peer.is_healthy(now))
    }

    /// Whether any peer is healthy.
    pub(crate) fn any_healthy(&self, now: Micros) -> bool {
        self.by_member.values().any(|peer| peer.is_healthy(now))
    }

    /// Whether a peer is alive and all its frames have reported it as healthy for longer than
    /// `delay`.
    pub(crate) fn healthy_for_longer_than(
        &self,
        member: usize,
        delay: Micros,
        now: Micros,
    ) -> bool {
        let live_peer = self.by_member.get(&member).filter(|peer| peer.is_alive(now));
        live_peer.and_then(|peer| peer.healthy_since).is_some_and(|since| now.since(since) > delay)
    }

    /// Whether a live peer runs a version with a lower format.
    pub(crate) fn any_live_with_format_below(&self, format: u32, now: Micros) -> bool {
        self.live(now).any(|peer| peer.format < format)
    }

    /// Pending tasks of live peers.
    pub(crate) fn live_demand(&self, now: Micros) -> impl Iterator<Item = &Demand> {
        self.live(now).flat_map(|peer| &peer.demand)
    }

    /// Unmet quota demand of the shards of live peers.
    pub(crate) fn live_quota_demand(&self, now: Micros) -> impl Iterator<Item = &QuotaDemand> {
        self.live(now).flat_map(|peer| &peer.quota_demand)
    }

    /// Number of machines of a shard that send their heartbeats to a live peer that can be reached:
    /// the highest number that any such peer reports.
    pub(crate) fn misdirected_heartbeats(&self, shard: usize, now: Micros) -> u32 {
        let reachable = self.live(now).filter(|peer| !peer.partitioned);
        reachable.filter_map(|peer| peer.misdirected.get(&shard).copied()).max().unwrap_or(0)
    }

    /// Revision of the key-value store up to which every peer has received the changes of jobs;
    /// `None` without peers.
    pub(crate) fn followed_revision(&self) -> Option<u64> {
        self.by_member.values().map(|peer| peer.followed_revision).min()
    }
}
