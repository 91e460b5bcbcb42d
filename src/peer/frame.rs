//! The message that controllers exchange.

use super::{
    AddressHint, Demand, DesiredStateMessage, InheritedUrgency, MachineView, MisdirectedHeartbeats,
    PreemptionRequest, Progress, QuotaDemand, ShardClaim,
};
use prost::Message;

/// Format of the data that this version stores and sends. It increases with each change that
/// operators should see during an upgrade; a version that sends no format counts as 0.
pub const FORMAT: u32 = 1;
/// Lowest format whose version acquires shards with a term above all fencing tokens that were
/// raised under earlier terms. Under a leader of an earlier version, a worker whose fencing token
/// was raised executes no command.
pub const FORMAT_WITH_RAISED_FENCING_TOKENS: u32 = 1;

/// A message from a controller to its peers: the sender's state, and what has changed since its
/// last frame.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Member name of the sender.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Incarnation of the sender, drawn at random when its process starts; never 0.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Shards that the sender currently leads; none while its controller lease is not valid.
    #[prost(message, repeated, tag = "3")]
    pub shard_claims: Vec<ShardClaim>,
    /// Whether the sender's controller lease is valid.
    #[prost(bool, tag = "4")]
    pub lease_valid: bool,
    /// Desired state of the shards that the sender leads: changes, or all of it in a full sync.
    #[prost(message, repeated, tag = "5")]
    pub desired: Vec<DesiredStateMessage>,
    /// Observed state of machines of the shards that the sender leads.
    #[prost(message, repeated, tag = "6")]
    pub views: Vec<MachineView>,
    /// Jobs whose progress has changed; all jobs in a full sync.
    #[prost(message, repeated, tag = "7")]
    pub progress: Vec<Progress>,
    /// All pending tasks of the sender's shards; replaces the sender's earlier demand.
    #[prost(message, repeated, tag = "8")]
    pub demand: Vec<Demand>,
    /// Whether `demand`, `quota_demand` and `misdirected` are set. If so, an empty list means
    /// none; otherwise the lists of an earlier frame stay valid.
    #[prost(bool, tag = "9")]
    pub has_demand: bool,
    /// What the sender's shards need beyond their grants; set together with `demand`.
    #[prost(message, repeated, tag = "10")]
    pub quota_demand: Vec<QuotaDemand>,
    /// Jobs whose cancellation the sender has confirmed, repeated until all members know of it.
    #[prost(string, repeated, tag = "11")]
    pub cancelled: Vec<String>,
    /// Machines that have been terminated.
    #[prost(string, repeated, tag = "12")]
    pub terminated: Vec<String>,
    /// All machines that the autoscaler drains before it removes them.
    #[prost(string, repeated, tag = "13")]
    pub draining: Vec<String>,
    /// Whether the sender runs the autoscaler, so that `draining` is set.
    #[prost(bool, tag = "14")]
    pub is_autoscaler: bool,
    /// Tasks of other shards whose preemption the sender requests, for more urgent tasks.
    #[prost(message, repeated, tag = "15")]
    pub preemptions: Vec<PreemptionRequest>,
    /// Last known addresses of machines of shards that the sender does not lead.
    #[prost(message, repeated, tag = "16")]
    pub address_hints: Vec<AddressHint>,
    /// Machines of other members' shards that send their heartbeats to the sender; set together
    /// with `demand`.
    #[prost(message, repeated, tag = "17")]
    pub misdirected: Vec<MisdirectedHeartbeats>,
    /// Whether the sender and its workers cannot reach each other. It then hands over its shards,
    /// and no shard fails back to it.
    #[prost(bool, tag = "18")]
    pub partitioned: bool,
    /// Numbers of the members from which the sender missed a frame. Each of them answers with a
    /// full sync.
    #[prost(uint32, repeated, tag = "19")]
    pub missed_members: Vec<u32>,
    /// Sequence number of the sender's frames, common to all peers. A gap shows that frames were
    /// lost with a connection.
    #[prost(uint64, tag = "20")]
    pub frame_number: u64,
    /// Whether the frame is a full sync, which makes up for all frames that were missed before.
    #[prost(bool, tag = "21")]
    pub is_full_sync: bool,
    /// Revision of the key-value store up to which the sender has followed changes of jobs.
    #[prost(uint64, tag = "22")]
    pub followed_revision: u64,
    /// Urgency of the jobs that the sender's waiting jobs depend on.
    #[prost(message, repeated, tag = "23")]
    pub inherited_urgency: Vec<InheritedUrgency>,
    /// The sender's [`FORMAT`], which shows operators the members that still run an earlier
    /// version.
    #[prost(uint32, tag = "24")]
    pub format: u32,
}
