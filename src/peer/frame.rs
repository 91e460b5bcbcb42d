//! One message between controllers.

use super::{
    AddressHint, Demand, DesiredStateMessage, InheritedUrgency, MachineView, MisdirectedHeartbeats,
    Preempt, Progress, QuotaDemand, ShardClaim,
};
use prost::Message;

/// Format of what this version stores and sends: a number that rises with each change which
/// operators should see during an upgrade. Versions that send none count as 0.
pub const FORMAT: u32 = 1;

/// One message between controllers.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub member: String,
    /// The sender's incarnation: a number drawn when its process started.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Shards that the sender leads at present, as far as it may act.
    #[prost(message, repeated, tag = "3")]
    pub shard_claims: Vec<ShardClaim>,
    /// The sender's controller lease is valid.
    #[prost(bool, tag = "4")]
    pub state_ok: bool,
    /// Desired state of shards that the sender leads.
    #[prost(message, repeated, tag = "5")]
    pub desired: Vec<DesiredStateMessage>,
    /// Machines of these shards.
    #[prost(message, repeated, tag = "6")]
    pub views: Vec<MachineView>,
    /// Progress of jobs.
    #[prost(message, repeated, tag = "7")]
    pub progress: Vec<Progress>,
    /// All tasks that wait at the sender; replaces what it said before.
    #[prost(message, repeated, tag = "8")]
    pub demand: Vec<Demand>,
    /// True if `demand`, `quota_demand` and `misdirected` are said: empty, they mean none.
    #[prost(bool, tag = "9")]
    pub has_demand: bool,
    /// What its shards lack of the teams' limits.
    #[prost(message, repeated, tag = "10")]
    pub quota_demand: Vec<QuotaDemand>,
    /// Jobs whose cancellation the sender has confirmed, sent again until all know of them.
    #[prost(string, repeated, tag = "11")]
    pub cancelled: Vec<String>,
    /// Machines that the sender knows to be terminated.
    #[prost(string, repeated, tag = "12")]
    pub terminated: Vec<String>,
    /// Machines that the autoscaler drains before it scales in; all of them.
    #[prost(string, repeated, tag = "13")]
    pub draining: Vec<String>,
    /// True if the sender is the autoscaler and says `draining`.
    #[prost(bool, tag = "14")]
    pub is_autoscaler: bool,
    /// Tasks of other shards whose preemption the sender requests, for more urgent ones.
    #[prost(message, repeated, tag = "15")]
    pub preempt: Vec<Preempt>,
    /// Where machines of shards that the sender does not lead were last known to be.
    #[prost(message, repeated, tag = "16")]
    pub address_hints: Vec<AddressHint>,
    /// Machines of others' shards that send their heartbeats to the sender; said with `demand`.
    #[prost(message, repeated, tag = "17")]
    pub misdirected: Vec<MisdirectedHeartbeats>,
    /// The sender and its workers cannot reach each other: it hands its shards over, and none
    /// is handed back to it.
    #[prost(bool, tag = "18")]
    pub partitioned: bool,
    /// Members of whom the sender missed a frame: they are to send it everything.
    #[prost(uint32, repeated, tag = "19")]
    pub missed: Vec<u32>,
    /// Counts the sender's frames, the same for all peers: one that was lost with a
    /// connection shows as a gap.
    #[prost(uint64, tag = "20")]
    pub number: u64,
    /// It says everything: what was missed before does not matter any more.
    #[prost(bool, tag = "21")]
    pub full: bool,
    /// Revision of the key-value store up to which the sender has followed the jobs.
    #[prost(uint64, tag = "22")]
    pub watched: u64,
    /// Jobs on which the sender's waiting jobs depend.
    #[prost(message, repeated, tag = "23")]
    pub inherited_urgency: Vec<InheritedUrgency>,
    /// The sender's [`FORMAT`]: shows which members still run an earlier version.
    #[prost(uint32, tag = "24")]
    pub format: u32,
}
