//! The other controllers: what their frames say, and what they are sent.
//!
//! Owns what is known of each peer and the numbers of the messages sent. Frames carry whole
//! state, so any one of them may be lost.

pub(crate) mod frames;

use frames::PeerInfo;
use std::collections::BTreeMap;

/// The other members, and how far they have been told.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) by_member: BTreeMap<usize, PeerInfo>,
    /// Number of the last message of desired state.
    pub(crate) desired_state_seq: u64,
    /// Terms of the shards that the desired state of own shards has taken into account.
    pub(crate) announced_terms: Vec<u64>,
    /// Number of the last frame.
    pub(crate) frames_sent: u64,
}

impl Peers {
    /// Nothing was heard of any other of `members` members than `me`.
    pub(crate) fn new(members: usize, me: usize) -> Peers {
        let others = (0..members).filter(|member| *member != me);
        Peers {
            by_member: others.map(|member| (member, PeerInfo::default())).collect(),
            desired_state_seq: 0,
            announced_terms: vec![0; members],
            frames_sent: 0,
        }
    }
}
