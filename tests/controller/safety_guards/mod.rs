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

use crate::harness::{Harness, Outcome, settings};
use millethold::kv_store::{KvRequest, LARGE_PAGE_KEYS};
use millethold::wire::Write;
use serde_json::{Value, json};

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

/// Whether a call reads the first records since the watch of jobs has started.
fn preloads(call: &KvRequest) -> bool {
    matches!(call, KvRequest::List { prefix, after: None, limit }
        if prefix == "j/" && *limit == LARGE_PAGE_KEYS)
}

/// The record of a job that shard 1 has accepted, at this stage: `a`, `c` or `d`.
fn record_in_shard_1(stage: &str) -> Value {
    json!({"s": 1, "g": stage, "n": 4})
}

/// Creates one of two controllers, the other of which leads shard 1. It has not started yet. No stage
/// is preloaded, as of jobs after the first pages.
fn beside_the_leader_of_shard_1(stored: &[(String, Value)]) -> Harness {
    let lease = json!({"member": "n1", "run": 3, "term": 4, "lease": 99});
    let mut harness = Harness::new(&settings(0, 2, ""), stored);
    harness.put_together([("seat/1", json!({"term": 4})), ("hold/1", lease)]);
    harness.outcome =
        Box::new(|call| if preloads(call) { Outcome::Refused } else { Outcome::Served });
    harness
}

/// The term of a shard, and whether the controller leads it.
fn shard_status(harness: &Harness, shard: usize) -> (u64, bool) {
    let status = harness.controller.status(harness.now);
    let shard = &status["shards"][shard];
    (shard["term"].as_u64().expect("a term"), shard["owned"].as_bool().expect("a boolean"))
}
