//! Which shards a controller holds, and what it knows of others' shards.

use prost::Message;

/// A shard as its holder sees it.
#[derive(Clone, PartialEq, Message)]
pub struct ShardClaim {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Its term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// Where a machine was last known to be, for a controller that may take its
/// shard without having known of it.
#[derive(Clone, PartialEq, Message)]
pub struct AddressHint {
    /// Machine.
    #[prost(string, tag = "1")]
    pub machine: String,
    /// Session.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Address for direct commands.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// Machines of somebody else's shard that reported to the sender lately: their
/// holder does not answer them.
#[derive(Clone, PartialEq, Message)]
pub struct MisdirectedHeartbeats {
    /// Shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// How many machines.
    #[prost(uint32, tag = "2")]
    pub machines: u32,
}
