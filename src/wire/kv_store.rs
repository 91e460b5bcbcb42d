//! The key-value store: keys, transactions, leases and watches.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A condition of a transaction: compare.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Revision of its last change that it must have, 0 for no value.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A change in a transaction: swap.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Set a key.
    Put {
        /// Key.
        #[serde(rename = "set")]
        key: String,
        /// Value.
        value: Value,
        /// Lease that the key is attached to.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: compare-and-swap of several keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// All must hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// Then all of these are made.
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

/// A stored value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value.
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A page of stored values.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeyValuePage {
    /// The values, in order of their keys.
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    /// Another page follows.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    /// Revision of the whole store.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A change that a watch shows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was set.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    /// Key that was removed.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// New value.
    #[serde(default)]
    pub value: Value,
    /// Revision of the change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// Answer of a watch.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which it is complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// Any answer that carries a revision: a transaction's, or a missing key's.
#[derive(Debug, Serialize, Deserialize)]
pub struct Revision {
    /// The revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A lease that was granted.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Its number.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// A body without content: `{}`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Empty {}

/// Request for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live, in milliseconds.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}
