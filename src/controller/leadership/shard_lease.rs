//! Records of shards in the key-value store, and their keys.
//!
//! `seat/S` keeps a term that only rises, `hold/S` names the leader and is attached to the
//! leader's controller lease, with which it goes. The words of keys and values stay as they
//! were stored by earlier versions.

use crate::wire::{Condition, KeyValue};
use serde::{Deserialize, Serialize};

/// Prefix of the keys of shards' terms: `seat/S`.
pub const TERM_KEY_PREFIX: &str = "seat/";
/// Prefix of the keys of shards' leases: `hold/S`.
pub const LEASE_KEY_PREFIX: &str = "hold/";

/// Value of `hold/S`: who leads a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// Name of the member that leads.
    pub member: String,
    /// Its incarnation, which differs between processes of the same member.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// The term under which it leads.
    pub term: u64,
    /// Controller lease that the record is attached to.
    #[serde(rename = "lease")]
    pub controller_lease: u64,
}

/// Value of `seat/S`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Highest term under which the shard was ever acquired.
    pub term: u64,
}

/// A shard lease as it is in the key-value store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredShardLease {
    /// The record.
    pub lease: ShardLease,
    /// Revision of its key.
    pub revision: u64,
}

impl StoredShardLease {
    /// The record that a key holds; `None` if it cannot be read.
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

/// Number of the shard in a key.
pub fn shard_of_key(key: &str) -> Option<usize> {
    key.rsplit('/').next()?.parse().ok()
}

/// What every write for a shard depends on: its lease has not changed since it was acquired at
/// this revision. A late transaction of an earlier leader fails by it.
pub fn lease_condition(shard: usize, revision: u64) -> Condition {
    Condition { key: lease_key(shard), revision }
}
