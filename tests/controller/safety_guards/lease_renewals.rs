//! Responses to heartbeats that renew the lease of a worker while it lists tasks of cancelled jobs.

use crate::harness::{Harness, Outcome};
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use serde_json::{Value, json};

/// Time in which a machine sends several heartbeats.
const HEARTBEATS: Micros = Micros::secs(5);

/// The record of a job of shard 0 at this stage: `a`, `c` or `d`.
fn record(stage: &str) -> Value {
    json!({"s": 0, "g": stage, "n": 2})
}

/// Starts a controller after j-1 was cancelled; the task j-1/0 is still on a machine of the shard.
fn started_after_the_cancellation() -> Harness {
    let mut harness = Harness::ready("", &[("j/j-1".into(), record("c"))]);
    harness.task_duration_s.insert("j-1".into(), 1_000.0);
    harness
}

fn reads_job(call: &KvRequest) -> bool {
    matches!(call, KvRequest::Get(key) if key == "j/j-1")
}

/// The machine's first heartbeat reports the fencing token of an earlier leader.
#[test]
fn cancelled_task_kept_by_the_first_response_under_a_new_term() {
    let mut harness = started_after_the_cancellation();
    assert_eq!(harness.poll("j-1").status_and_stage(), (200, "cancelled"));
    harness.add_machine_with_task("j-1/0");
    harness.run(HEARTBEATS);
    assert!(!harness.renewals.is_empty(), "no heartbeat is answered");
    assert_eq!(harness.renewals.concat(), Vec::<String>::new(), "kept by a response");
}

/// The controller has not read the job's record when the machine reports to it.
#[test]
fn cancelled_task_kept_by_a_response_before_its_job_is_read() {
    let mut harness = started_after_the_cancellation();
    harness.outcome =
        Box::new(|call| if reads_job(call) { Outcome::Held } else { Outcome::Served });
    harness.add_machine_with_task("j-1/0");
    harness.run(HEARTBEATS);
    assert_eq!(harness.renewals.concat(), Vec::<String>::new(), "kept by a response");
    harness.outcome = Box::new(|_| Outcome::Served);
    assert!(harness.serve_held_calls() > 0, "the job's record is read");
    harness.run(HEARTBEATS);
    assert!(!harness.renewals.is_empty(), "no heartbeat is answered");
    assert_eq!(harness.renewals.concat(), Vec::<String>::new(), "kept by a later response");
}
