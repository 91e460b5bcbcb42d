//! Records of shard leases and terms in the key-value store, and their keys.
//!
//! `seat/S` stores a term that only increases. `hold/S` names the leader and is attached to the
//! leader's controller lease: the store deletes it when that lease ends. Earlier versions stored
//! the same keys and field names, so they must not change.

use crate::wire::{Condition, KeyValue};
use serde::{Deserialize, Serialize};

/// Prefix of the keys of shards' terms: `seat/S`.
pub const TERM_KEY_PREFIX: &str = "seat/";
/// Prefix of the keys of shards' leases: `hold/S`.
pub const LEASE_KEY_PREFIX: &str = "hold/";

/// Value of `hold/S`: the leader of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// Name of the member that leads.
    pub member: String,
    /// Incarnation of the leader, which differs between processes of the same member.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// The term under which the member leads.
    pub term: u64,
    /// Controller lease that the record is attached to.
    #[serde(rename = "lease")]
    pub controller_lease: u64,
}

/// Value of `seat/S`: the term of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Highest term under which the shard was ever acquired.
    pub term: u64,
}

/// A shard lease as stored in the key-value store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredShardLease {
    /// Decoded value of the lease's key.
    pub lease: ShardLease,
    /// Revision at which the key was last written.
    pub revision: u64,
}

impl StoredShardLease {
    /// Decodes the value of a lease's key; `None` if it is malformed.
    pub fn decode(item: &KeyValue) -> Option<StoredShardLease> {
        let lease = serde_json::from_value(item.value.clone()).ok()?;
        Some(StoredShardLease { lease, revision: item.revision })
    }
}

/// Key of a shard's term.
pub fn term_key(shard: usize) -> String {
    format!("{TERM_KEY_PREFIX}{shard}")
}

/// Key of a shard's lease.
pub fn lease_key(shard: usize) -> String {
    format!("{LEASE_KEY_PREFIX}{shard}")
}

/// Number of the shard at the end of a key; `None` if there is none.
pub fn shard_of_key(key: &str) -> Option<usize> {
    key.rsplit('/').next()?.parse().ok()
}

/// The condition of every write for a shard, except cancellations of jobs: the shard's lease has
/// not changed since it was acquired at this revision. It makes a late transaction of an earlier
/// leader fail.
pub fn lease_condition(shard: usize, revision: u64) -> Condition {
    Condition { key: lease_key(shard), revision }
}
