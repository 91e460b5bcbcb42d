//! Which shards a controller leads, and what it knows of others' shards.

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

/// Where a machine was last known to be, for a controller that may acquire its
/// shard without having known of it.
#[derive(Clone, PartialEq, Message)]
pub struct AddressHint {
    /// Name of the machine.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// Incarnation of its worker.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Address for direct commands.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// Machines of somebody else's shard that sent their heartbeats to the sender lately: their
/// leader does not answer them.
#[derive(Clone, PartialEq, Message)]
pub struct MisdirectedHeartbeats {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// How many machines.
    #[prost(uint32, tag = "2")]
    pub machines: u32,
}
