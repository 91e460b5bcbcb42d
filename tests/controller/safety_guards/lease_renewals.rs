//! Responses to heartbeats that renew the lease of a worker while it lists tasks of cancelled jobs.

use crate::harness::{Harness, Outcome, settings};
use millethold::controller::jobs::stage_cache::MAX_CACHED_JOBS;
use millethold::controller::machines::unknown_jobs::{
    MAX_READS as MAX_UNKNOWN_READS, RETRY_DELAY as READ_RETRY_DELAY,
};
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use serde_json::{Value, json};

/// Time in which a machine sends several heartbeats.
const HEARTBEATS: Micros = Micros::secs(5);
/// Time in which a call is answered, and a watch that has ended is called again.
const SHORT: Micros = Micros::millis(100);

/// The record of a job of shard 1 at this stage: `a`, `c` or `d`.
fn record(stage: &str) -> Value {
    json!({"s": 1, "g": stage, "n": 4})
}

fn reads_job(call: &KvRequest) -> bool {
    matches!(call, KvRequest::Get(key) if key == "j/j-1")
}

/// Starts one of two controllers with four machines, on which tasks of job j-1 of the other's shard run.
/// It leads the shard of some of these machines.
fn beside_the_leader_of_the_job(stored: &[(String, Value)]) -> Harness {
    let lease = json!({"member": "n1", "run": 3, "term": 4, "lease": 99});
    let mut harness = Harness::new(&settings(0, 2, ""), stored);
    harness.put_together([("seat/1", json!({"term": 4})), ("hold/1", lease)]);
    harness.wait_until_healthy();
    harness.task_duration_s.insert("j-1".into(), 1_000.0);
    harness
}

fn add_machines(harness: &mut Harness) {
    (0..4).for_each(|index| harness.add_machine_with_tasks([format!("j-1/{index}")]));
}

fn hold_reads(harness: &mut Harness) {
    harness.outcome =
        Box::new(|call| if reads_job(call) { Outcome::Held } else { Outcome::Served });
}

/// The machine's first heartbeat reports the fencing token of an earlier leader.
#[test]
fn cancelled_task_kept_by_the_first_response_under_a_new_term() {
    let mut harness = beside_the_leader_of_the_job(&[("j/j-1".into(), record("c"))]);
    assert_eq!(harness.poll("j-1").status_and_stage(), (200, "cancelled"));
    add_machines(&mut harness);
    harness.run(HEARTBEATS);
    assert!(!harness.renewals.is_empty(), "no heartbeat is answered");
    assert_eq!(harness.renewals.concat(), Vec::<String>::new(), "kept by a response");
}

/// The other controller has cancelled j-1 before this process started.
fn cancelled_before_the_start() -> Harness {
    let mut harness = beside_the_leader_of_the_job(&[("j/j-1".into(), record("c"))]);
    hold_reads(&mut harness);
    add_machines(&mut harness);
    harness
}

/// The other controller cancels j-1 while the store drops the changes that the watches wait for.
fn cancelled_in_a_gap(stage_before: Option<&str>) -> Harness {
    let stored = stage_before.map(|stage| ("j/j-1".to_string(), record(stage)));
    let mut harness = beside_the_leader_of_the_job(stored.as_slice());
    add_machines(&mut harness);
    harness.run(HEARTBEATS);
    assert!(!harness.renewals.concat().is_empty(), "the task may run");
    harness.watches_hang = true;
    harness.run(SHORT);
    hold_reads(&mut harness);
    harness.put("j/j-1", record("c"));
    harness.compact_watched_changes();
    harness.watches_hang = false;
    harness.run(SHORT);
    harness.renewals.clear();
    harness
}

/// So many jobs have ended since that the stage of j-1 is cached no more.
fn evicted_after_the_cancellation() -> Harness {
    let mut harness = beside_the_leader_of_the_job(&[]);
    harness.put("j/j-1", record("c"));
    harness.run(SHORT);
    harness.put_together((0..MAX_CACHED_JOBS).map(|n| (format!("j/j-{}", 100 + n), record("d"))));
    harness.run(SHORT);
    hold_reads(&mut harness);
    add_machines(&mut harness);
    harness
}

/// The controller has not read the job's record when the machines report to it.
#[test]
fn cancelled_task_kept_by_a_response_before_its_job_is_read() {
    type SetUp = fn() -> Harness;
    let table: [(&str, SetUp); 4] = [
        ("cancelled before the start", cancelled_before_the_start),
        ("accepted and cancelled in a gap", || cancelled_in_a_gap(None)),
        ("cancelled in a gap", || cancelled_in_a_gap(Some("a"))),
        ("evicted", evicted_after_the_cancellation),
    ];
    for (name, set_up) in table {
        let mut harness = set_up();
        harness.run(HEARTBEATS);
        assert_eq!(harness.renewals.concat(), Vec::<String>::new(), "{name}: kept");
        harness.outcome = Box::new(|_| Outcome::Served);
        assert_eq!(harness.serve_held_calls(), 1, "{name}: reads of the record");
        harness.run(HEARTBEATS);
        assert!(!harness.renewals.is_empty(), "{name}: no heartbeat is answered");
        assert_eq!(harness.renewals.concat(), Vec::<String>::new(), "{name}: kept later");
    }
}

/// Many jobs are unknown. Machines of other jobs are answered meanwhile.
#[test]
fn unknown_jobs_read_without_a_pause_while_the_store_refuses() {
    let mut harness = beside_the_leader_of_the_job(&[]);
    let reads_jobs =
        |call: &KvRequest| matches!(call, KvRequest::Get(key) if key.starts_with("j/"));
    harness.outcome =
        Box::new(move |call| if reads_jobs(call) { Outcome::Refused } else { Outcome::Served });
    let tasks: Vec<String> = (0..400).map(|job| format!("j-{job}/0")).collect();
    (0..4).for_each(|_| harness.add_machine_with_tasks(tasks.clone()));
    (0..4).for_each(|_| harness.add_machine());
    harness.calls.clear();
    let steps = 20;
    harness.run(Micros(steps * READ_RETRY_DELAY.0));
    let reads = harness.calls.iter().filter(|call| reads_jobs(call)).count();
    let most = MAX_UNKNOWN_READS * (steps as usize + 1);
    assert!((steps as usize..=most).contains(&reads), "{reads} reads");
    assert!(!harness.renewals.is_empty(), "machines without tasks are answered");
    assert_eq!(harness.renewals.concat(), Vec::<String>::new(), "kept");
}

/// No cancellation of a job without a readable record can have been confirmed.
#[test]
fn machines_of_jobs_without_a_readable_record_are_answered() {
    let table: [(&str, Vec<(String, Value)>); 2] =
        [("none", Vec::new()), ("damaged", vec![("j/j-1".into(), json!("damaged"))])];
    for (name, stored) in table {
        let mut harness = beside_the_leader_of_the_job(&stored);
        add_machines(&mut harness);
        harness.run(HEARTBEATS);
        harness.renewals.clear();
        harness.run(HEARTBEATS);
        assert!(!harness.renewals.concat().is_empty(), "{name}: no heartbeat is answered");
    }
}
