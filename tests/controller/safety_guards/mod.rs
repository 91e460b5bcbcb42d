//! Tests of the guards against late and lost messages. Each case loses or delays the messages
//! itself, and fails if its guard is removed from the source.

mod admission;
mod autoscaler;
mod command_copies;
mod leadership;
mod lease_renewals;
mod outdated_replies;
mod quota;
mod starts;
mod status_queries;
mod unlisted_jobs;

use crate::harness::Harness;
use millethold::kv_store::KvRequest;
use millethold::wire::Write;

/// The key that a write changes.
fn key_of(write: &Write) -> &str {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key,
    }
}

/// Whether a call is a transaction that writes a key with this prefix.
fn writes(call: &KvRequest, prefix: &str) -> bool {
    let KvRequest::Txn(txn) = call else {
        return false;
    };
    txn.writes.iter().any(|w| key_of(w).starts_with(prefix))
}

/// The term of a shard, and whether the controller leads it.
fn shard_status(harness: &Harness, shard: usize) -> (u64, bool) {
    let status = harness.controller.status(harness.now);
    let shard = &status["shards"][shard];
    (shard["term"].as_u64().expect("a term"), shard["owned"].as_bool().expect("a boolean"))
}
