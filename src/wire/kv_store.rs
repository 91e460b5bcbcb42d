//! The protocol of the key-value store: keys, transactions, leases and watches.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Condition of a transaction: the key's last change has the given revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key to compare.
    #[serde(rename = "k")]
    pub key: String,
    /// Expected revision of the key's last change; 0 if the key must not exist.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// Change of one key in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key to set.
        #[serde(rename = "set")]
        key: String,
        /// New value of the key.
        value: Value,
        /// Id of the lease that the key is attached to; `None` if the key never expires.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Key to remove.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// Transaction: an atomic compare-and-swap of several keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions, all of which must hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// Changes, all of which are made if the conditions hold.
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

/// A key with its stored value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// JSON value of the key.
    pub value: Value,
    /// Revision of the key's last change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A page of a list of keys.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeyValuePage {
    /// Keys with their values, in key order.
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    /// Whether another page follows.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    /// Revision of the whole store: the page includes all changes up to it.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A change of one key, received from a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was set; `None` for a removal.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    /// Key that was removed; `None` if a key was set.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// New value of the key; null for a removal.
    #[serde(default)]
    pub value: Value,
    /// Revision of the change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// Response to a watch.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the events are complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes after the requested revision; may be empty.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// Response that carries a revision: to a transaction, or to a read of a missing key.
#[derive(Debug, Serialize, Deserialize)]
pub struct RevisionResponse {
    /// Revision of the transaction if it was applied, otherwise of the store.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Keys whose condition failed; empty if the transaction was applied.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Response to a request for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Id of the granted lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// An empty JSON object, for requests without parameters.
#[derive(Debug, Serialize, Deserialize)]
pub struct EmptyBody {}

/// Request for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live, in milliseconds.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}
