//! Guards against what comes late or is lost, each brought about by hand: taken out of the
//! source, a row here fails.

mod admission;
mod leadership;
mod quota;
mod starts;
mod status_queries;

use crate::harness::Harness;
use millethold::kv_store::KvRequest;
use millethold::wire::Write;

/// The key that a write changes.
fn key_of(write: &Write) -> &str {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key,
    }
}

/// Whether a call is a transaction that changes keys which begin like this.
fn writes(call: &KvRequest, prefix: &str) -> bool {
    let KvRequest::Txn(txn) = call else {
        return false;
    };
    txn.writes.iter().any(|w| key_of(w).starts_with(prefix))
}

/// How a shard stands: its term and whether the controller acts for it.
fn shard(harness: &Harness, shard: usize) -> (u64, bool) {
    let status = harness.controller.status(harness.now);
    let shard = &status["shards"][shard];
    (shard["term"].as_u64().expect("a term"), shard["owned"].as_bool().expect("a flag"))
}
