//! One message between controllers.

use super::{
    AddressHint, Demand, DesiredStateMessage, InheritedUrgency, MachineView, MisdirectedHeartbeats,
    Preempt, Progress, QuotaDemand, ShardClaim,
};
use prost::Message;

/// What this version stores and sends, as a number that rises with each change which
/// operators should see during an upgrade. Versions that say nothing count as 0.
pub const FORMAT: u32 = 1;

/// One message between controllers.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Sender.
    #[prost(string, tag = "1")]
    pub member: String,
    /// The sender's run: a number drawn when its process started.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Shards that the sender holds at present, as far as it may act.
    #[prost(message, repeated, tag = "3")]
    pub shard_claims: Vec<ShardClaim>,
    /// The sender's state lease is valid.
    #[prost(bool, tag = "4")]
    pub state_ok: bool,
    /// Wants.
    #[prost(message, repeated, tag = "5")]
    pub desired: Vec<DesiredStateMessage>,
    /// Machines.
    #[prost(message, repeated, tag = "6")]
    pub views: Vec<MachineView>,
    /// Progress of jobs.
    #[prost(message, repeated, tag = "7")]
    pub progress: Vec<Progress>,
    /// Everything that waits at the sender; replaces what it said before.
    #[prost(message, repeated, tag = "8")]
    pub demand: Vec<Demand>,
    /// True if `demand` and `needs` are meant to be taken.
    #[prost(bool, tag = "9")]
    pub has_demand: bool,
    /// Limits that its shards run into.
    #[prost(message, repeated, tag = "10")]
    pub quota_demand: Vec<QuotaDemand>,
    /// Jobs whose cancellation the sender has confirmed, told again until all
    /// know of them.
    #[prost(string, repeated, tag = "11")]
    pub cancelled: Vec<String>,
    /// Machines that the renting shard knows to be gone.
    #[prost(string, repeated, tag = "12")]
    pub terminated: Vec<String>,
    /// Machines that the renting shard is about to return; all of them.
    #[prost(string, repeated, tag = "13")]
    pub draining: Vec<String>,
    /// True if the sender rents and `draining` is meant to be taken.
    #[prost(bool, tag = "14")]
    pub is_autoscaler: bool,
    /// Tasks of other shards that the sender asks to be stopped for more
    /// urgent ones.
    #[prost(message, repeated, tag = "15")]
    pub preempt: Vec<Preempt>,
    /// Machines of shards that the sender does not hold, as it last knew them.
    #[prost(message, repeated, tag = "16")]
    pub address_hints: Vec<AddressHint>,
    /// Machines of others' shards that report to the sender; taken with `demand`.
    #[prost(message, repeated, tag = "17")]
    pub misdirected: Vec<MisdirectedHeartbeats>,
    /// The sender and its workers are out of each other's reach: it gives its
    /// shards up and is to be given none.
    #[prost(bool, tag = "18")]
    pub partitioned: bool,
    /// Members of whom the sender missed something: they are to tell it all.
    #[prost(uint32, repeated, tag = "19")]
    pub missed: Vec<u32>,
    /// Counts the sender's frames, the same for all peers: one that was lost with a
    /// connection shows as a gap.
    #[prost(uint64, tag = "20")]
    pub number: u64,
    /// It tells everything: what was missed before does not matter any more.
    #[prost(bool, tag = "21")]
    pub full: bool,
    /// Revision of the key-value store up to which the sender has followed the jobs.
    #[prost(uint64, tag = "22")]
    pub watched: u64,
    /// Jobs that the sender's waiting jobs need.
    #[prost(message, repeated, tag = "23")]
    pub inherited_urgency: Vec<InheritedUrgency>,
    /// The sender's [`FORMAT`]: shows which members still run an earlier version.
    #[prost(uint32, tag = "24")]
    pub format: u32,
}
