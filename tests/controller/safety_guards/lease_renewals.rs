//! Responses to heartbeats that renew the lease of a worker while it lists tasks of cancelled jobs.

use super::{beside_the_leader_of_shard_1, preloads, record_in_shard_1 as record};
use crate::harness::{Harness, Outcome};
use millethold::controller::jobs::stage_cache::MAX_CACHED_JOBS;
use millethold::controller::machines::unknown_jobs::{
    MAX_READS as MAX_UNKNOWN_READS, MIN_JOBS_FOR_PAGE, RETRY_DELAY as READ_RETRY_DELAY,
};
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use serde_json::{Value, json};

/// Time in which a machine sends several heartbeats.
const HEARTBEATS: Micros = Micros::secs(5);
/// Time in which a call is answered, and a watch that has ended is called again.
const SHORT: Micros = Micros::millis(100);

/// Number of values in a page of the stand-in of the store.
const STORE_PAGE: usize = 5;

fn reads_job(call: &KvRequest) -> bool {
    matches!(call, KvRequest::Get(key) if key == "j/j-1")
}

/// Starts one of two controllers, the other of which leads the shard of job j-1.
fn beside_the_leader_of_the_job(stored: &[(String, Value)]) -> Harness {
    let mut harness = beside_the_leader_of_shard_1(stored);
    harness.wait_until_healthy();
    harness.task_duration_s.insert("j-1".into(), 1_000.0);
    harness
}

/// Adds four machines with tasks of j-1. The controller leads the shard of some of them.
fn add_machines(harness: &mut Harness) {
    (0..4).for_each(|index| harness.add_machine_with_tasks([format!("j-1/{index}")]));
}

fn hold_reads(harness: &mut Harness) {
    harness.outcome = Box::new(|call| match call {
        call if reads_job(call) => Outcome::Held,
        call if preloads(call) => Outcome::Refused,
        _ => Outcome::Served,
    });
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

/// Ids of jobs of the other controller's shard, with `gap` jobs without tasks between two of them.
fn many_jobs(count: usize, gap: usize) -> Vec<String> {
    (0..count).map(|number| format!("j-{:06}", number * (gap + 1))).collect()
}

/// Starts a controller after many jobs were accepted. Machines list tasks of those in `ids`, others have
/// no tasks.
fn beside_the_leader_of_many_jobs(ids: &[String], stored: usize) -> Harness {
    let mut harness = beside_the_leader_of_the_job(&[]);
    harness.put_together((0..stored).map(|number| (format!("j/j-{number:06}"), record("a"))));
    harness.start_new_process();
    harness.wait_until_healthy();
    harness.task_duration_s.extend(ids.iter().map(|id| (id.clone(), 1_000.0)));
    for _ in 0..4 {
        harness.add_machine_with_tasks(ids.iter().map(|id| format!("{id}/0")));
    }
    (0..4).for_each(|_| harness.add_machine());
    harness.calls.clear();
    harness.renewals.clear();
    harness
}

fn reads_jobs(call: &KvRequest) -> bool {
    match call {
        KvRequest::Get(key) => key.starts_with("j/"),
        KvRequest::List { prefix, .. } => prefix == "j/",
        _ => false,
    }
}

/// Machines of other jobs are answered meanwhile.
#[test]
fn unknown_jobs_read_without_a_pause_while_the_store_refuses() {
    type IsRefused = fn(&KvRequest) -> bool;
    let table: [(&str, usize, usize, IsRefused); 2] = [
        ("by pages", 400, 0, reads_jobs),
        ("one by one", 40, 20, |call| matches!(call, KvRequest::Get(_)) && reads_jobs(call)),
    ];
    for (name, count, gap, is_refused) in table {
        let mut harness = beside_the_leader_of_many_jobs(&many_jobs(count, gap), count * (gap + 1));
        harness.outcome = Box::new(move |call| match is_refused(call) {
            true => Outcome::Refused,
            false => Outcome::Served,
        });
        let periods = 20;
        harness.run(Micros(periods * READ_RETRY_DELAY.0));
        let reads = harness.calls.iter().filter(|call| is_refused(call)).count();
        let most = (periods as usize + 1) * if gap == 0 { 1 } else { MAX_UNKNOWN_READS };
        assert!((2..=most).contains(&reads), "{name}: {reads} reads");
        assert!(!harness.renewals.is_empty(), "{name}: machines without tasks are answered");
        assert_eq!(harness.renewals.concat(), Vec::<String>::new(), "{name}: kept");
    }
}

/// Guards against machines that lose their tasks since their jobs are read too slowly.
#[test]
fn many_unknown_jobs_are_read_soon() {
    let table =
        [("side by side", 400, 0, 400 / STORE_PAGE + MIN_JOBS_FOR_PAGE), ("far apart", 40, 20, 42)];
    for (name, count, gap, most_reads) in table {
        let mut harness = beside_the_leader_of_many_jobs(&many_jobs(count, gap), count * (gap + 1));
        harness.run(Micros::secs(3));
        let reads = harness.calls.iter().filter(|call| reads_jobs(call)).count();
        assert!((2..=most_reads).contains(&reads), "{name}: {reads} reads");
        assert!(harness.renewals.iter().any(|tasks| tasks.len() == count), "{name}: not answered");
    }
}

/// Guards against a refused heartbeat of each machine after each failover.
#[test]
fn machines_are_not_refused_after_the_start_for_jobs_of_the_first_pages() {
    let mut harness = beside_the_leader_of_the_job(&[("j/j-1".into(), record("a"))]);
    harness.outcome = Box::new(|_| Outcome::Served);
    harness.start_new_process();
    harness.wait_until_healthy();
    add_machines(&mut harness);
    harness.run(HEARTBEATS);
    assert!(!harness.renewals.concat().is_empty(), "no heartbeat is answered");
    let status = harness.controller.status(harness.now);
    assert_eq!(status["counts"]["decisions"]["renewals_refused_for_unknown"], json!(0));
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
