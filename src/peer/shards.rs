//! Messages about shards: leadership claims, addresses of machines, misdirected heartbeats.

use prost::Message;

/// A shard that the sender leads.
#[derive(Clone, PartialEq, Message)]
pub struct ShardClaim {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The term under which the sender leads it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// Last known address of a machine, for a controller that may acquire the machine's shard without
/// having received a view of the machine.
#[derive(Clone, PartialEq, Message)]
pub struct AddressHint {
    /// Name of the machine.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// Last known incarnation of its worker.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Address for direct commands, as `IP:port`.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// Machines of another member's shard that recently sent their heartbeats to the sender: a sign
/// that the shard's leader does not answer them.
#[derive(Clone, PartialEq, Message)]
pub struct MisdirectedHeartbeats {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Number of such machines.
    #[prost(uint32, tag = "2")]
    pub machines: u32,
}
