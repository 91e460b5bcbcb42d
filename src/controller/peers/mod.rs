//! The other controllers: what their frames say, and what they are sent.
//!
//! Owns what is known of each peer and the numbers of the frames and messages sent. Frames
//! carry whole state, so any one of them may be lost. What a peer says of jobs and machines is
//! passed on to their components; nothing here decides about them.

mod full_sync;
mod peer_state;
mod receiving;
mod sending;

use crate::peer::{Demand, QuotaDemand};
use crate::time::Micros;
pub(crate) use peer_state::PeerState;
use std::collections::BTreeMap;

/// The other members, and what they have been sent.
#[derive(Debug)]
pub(crate) struct Peers {
    /// What each one's frames said, by number of the member.
    by_member: BTreeMap<usize, PeerState>,
    /// Number of the last message of desired state.
    desired_state_seq: u64,
    /// Terms of the shards that the desired state of own shards has taken into account.
    announced_terms: Vec<u64>,
    /// Number of the last frame.
    frames_sent: u64,
}

impl Peers {
    /// No frame has come from any other of `members` members than `me`.
    pub(crate) fn new(members: usize, me: usize) -> Peers {
        let others = (0..members).filter(|member| *member != me);
        Peers {
            by_member: others.map(|member| (member, PeerState::default())).collect(),
            desired_state_seq: 0,
            announced_terms: vec![0; members],
            frames_sent: 0,
        }
    }

    /// The number of a message of desired state that is sent now.
    pub(crate) fn next_desired_state_seq(&mut self) -> u64 {
        self.desired_state_seq += 1;
        self.desired_state_seq
    }

    /// All peers with their numbers, in order.
    pub(crate) fn all(&self) -> impl Iterator<Item = (usize, &PeerState)> {
        self.by_member.iter().map(|(member, peer)| (*member, peer))
    }

    /// The peers of whom a frame has come lately.
    pub(crate) fn live(&self, now: Micros) -> impl Iterator<Item = &PeerState> {
        self.by_member.values().filter(move |peer| peer.is_alive(now))
    }

    /// Whether a frame of a member has come lately; never of this process itself.
    pub(crate) fn is_alive(&self, member: usize, now: Micros) -> bool {
        self.by_member.get(&member).is_some_and(|peer| peer.is_alive(now))
    }

    /// Whether a member is alive, holds its lease and can be reached by its workers.
    pub(crate) fn is_healthy(&self, member: usize, now: Micros) -> bool {
        self.by_member.get(&member).is_some_and(|peer| peer.is_healthy(now))
    }

    /// Whether any member is healthy.
    pub(crate) fn any_healthy(&self, now: Micros) -> bool {
        self.by_member.values().any(|peer| peer.is_healthy(now))
    }

    /// Whether all frames of a member, for longer than `delay`, said that it is healthy.
    pub(crate) fn healthy_for_longer_than(
        &self,
        member: usize,
        delay: Micros,
        now: Micros,
    ) -> bool {
        let since = self.by_member.get(&member).filter(|peer| peer.is_alive(now));
        since.and_then(|peer| peer.healthy_since).is_some_and(|since| now.since(since) > delay)
    }

    /// Tasks that wait at live peers.
    pub(crate) fn live_demand(&self, now: Micros) -> impl Iterator<Item = &Demand> {
        self.live(now).flat_map(|peer| &peer.demand)
    }

    /// What the shards of live peers lack of the teams' limits.
    pub(crate) fn live_quota_demand(&self, now: Micros) -> impl Iterator<Item = &QuotaDemand> {
        self.live(now).flat_map(|peer| &peer.quota_demand)
    }

    /// How many machines of a shard send their heartbeats to a live peer that can be reached;
    /// the most that any of them counts.
    pub(crate) fn misdirected_heartbeats(&self, shard: usize, now: Micros) -> u32 {
        let reachable = self.live(now).filter(|peer| !peer.partitioned);
        reachable.filter_map(|peer| peer.misdirected.get(&shard).copied()).max().unwrap_or(0)
    }

    /// Revision of the key-value store up to which every peer has followed the jobs; `None`
    /// without peers.
    pub(crate) fn followed_revision(&self) -> Option<u64> {
        self.by_member.values().map(|peer| peer.followed_revision).min()
    }
}
