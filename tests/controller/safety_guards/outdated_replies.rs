//! Replies of the key-value store that are older than the revision from which a watch has started:
//! the changes in between are never delivered.

use super::{
    beside_the_leader_of_shard_1, preloads, record_in_shard_1 as record, shard_status, writes,
};
use crate::harness::{Harness, Outcome, submission, submission_after};
use millethold::controller::jobs::job::MAX_SINGLE_READS;
use millethold::controller::jobs::stage_cache::MAX_CACHED_JOBS;
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use millethold::wire::Txn;
use serde_json::json;

/// Time in which a call is answered, and a watch that has ended is called again.
const SHORT: Micros = Micros::millis(100);
/// Time in which a job whose dependencies have ended is released or cancelled.
const RELEASE_TIME: Micros = Micros::secs(5);
/// Number of dependencies that are read by pages and not one by one.
const MANY: usize = MAX_SINGLE_READS + 1;

/// Creates one of two controllers that has not started yet. The other one leads shard 1, to which
/// job j-1 belongs.
fn not_started() -> Harness {
    beside_the_leader_of_shard_1(&[("j/j-1".into(), record("a"))])
}

/// Starts one of two controllers.
fn beside_another_leader() -> Harness {
    let mut harness = not_started();
    harness.wait_until_healthy();
    harness
}

/// Submits job j-2, which depends on j-1.
fn submit_dependent(harness: &mut Harness) {
    let answer = harness.submit(&submission_after("j-2", &["j-1"]));
    assert_eq!(answer.status, 201, "{answer:?}");
    harness.run(SHORT);
}

/// The other controller stores that j-1 is done.
fn dependency_ends(harness: &mut Harness) {
    harness.put("j/j-1", record("d"));
}

fn lists_leases(call: &KvRequest) -> bool {
    matches!(call, KvRequest::List { prefix, .. } if prefix == "hold/")
}

fn reads_dependency(call: &KvRequest) -> bool {
    matches!(call, KvRequest::Get(key) if key == "j/j-1")
}

/// Holds back the reply to the next call for which `is_held` is true. Nothing else is preloaded
/// meanwhile, so that stages are unknown after a gap.
fn hold_next_reply(harness: &mut Harness, is_held: fn(&KvRequest) -> bool) {
    let mut pending = true;
    harness.outcome = Box::new(move |call| match pending && is_held(call) {
        true => {
            pending = false;
            Outcome::ReplyHeld
        }
        false if preloads(call) => Outcome::Refused,
        false => Outcome::Served,
    });
}

/// The store no longer keeps the changes that the open watches wait for, so they start anew.
fn restart_watches(harness: &mut Harness) {
    harness.compact_watched_changes();
    harness.watches_hang = false;
    harness.run(SHORT);
}

/// As [`restart_watches`], but only until the watch of jobs has just started: the local job j-2 is
/// read back then.
fn restart_watch_of_jobs(harness: &mut Harness) {
    let earlier = harness.calls.len();
    let reads_back = |call: &KvRequest| matches!(call, KvRequest::Get(key) if key == "j/j-2");
    harness.compact_watched_changes();
    harness.watches_hang = false;
    while !harness.calls[earlier..].iter().any(reads_back) {
        harness.run(Micros::millis(10));
    }
}

/// A new process sends a read before its first list. The store answers the read first, and it
/// executes the list after the job has ended.
fn read_crosses_the_start(harness: &mut Harness, read: impl FnOnce(&mut Harness)) {
    harness.outcome = Box::new(|call| match call {
        call if lists_leases(call) => Outcome::Held,
        call if reads_dependency(call) => Outcome::ReplyHeld,
        _ => Outcome::Served,
    });
    harness.start_new_process();
    harness.run(SHORT);
    read(harness);
    harness.run(SHORT);
    dependency_ends(harness);
    harness.outcome = Box::new(|_| Outcome::Served);
    // The replies come in the order of the calls: the lists first.
    assert!(harness.serve_held_calls() > 1, "a list and a read are in flight");
    harness.run(SHORT);
}

fn query_at_the_start(harness: &mut Harness) {
    submit_dependent(harness);
    read_crosses_the_start(harness, |harness| {
        harness.send_request("GET", "/work/j-1", b"");
    });
}

fn cancellation_at_the_start(harness: &mut Harness) {
    submit_dependent(harness);
    read_crosses_the_start(harness, |harness| {
        harness.send_request("POST", "/work/j-1/abort", b"");
    });
}

fn repeated_submission_at_the_start(harness: &mut Harness) {
    submit_dependent(harness);
    read_crosses_the_start(harness, |harness| {
        let mut infeasible = submission("j-1");
        infeasible["crew"] = json!("nobody");
        harness.send_request("POST", "/work", infeasible.to_string().as_bytes());
    });
}

/// The read is sent before the watches start anew and answered afterwards; the job ends in between.
fn read_crosses_a_gap(harness: &mut Harness, read: impl FnOnce(&mut Harness)) {
    read_crosses_a_gap_after(harness, reads_dependency, read);
}

/// As [`read_crosses_a_gap`], for a call for which `is_read` is true.
fn read_crosses_a_gap_after(
    harness: &mut Harness,
    is_read: fn(&KvRequest) -> bool,
    read: impl FnOnce(&mut Harness),
) {
    harness.watches_hang = true;
    hold_next_reply(harness, is_read);
    read(harness);
    harness.run(SHORT);
    dependency_ends(harness);
    restart_watches(harness);
    assert_eq!(harness.serve_held_calls(), 1, "a read is in flight");
    harness.run(SHORT);
}

fn query_over_a_gap(harness: &mut Harness) {
    submit_dependent(harness);
    read_crosses_a_gap(harness, |harness| {
        harness.send_request("GET", "/work/j-1", b"");
    });
}

fn lookup_over_a_gap(harness: &mut Harness) {
    read_crosses_a_gap(harness, |harness| {
        let body = submission_after("j-2", &["j-1"]).to_string();
        harness.send_request("POST", "/work", body.as_bytes());
    });
}

/// The watches have started anew, so the stage of a dependency is unknown and read again.
fn unknown_job_over_a_gap(harness: &mut Harness) {
    submit_dependent(harness);
    read_crosses_a_gap(harness, |harness| {
        restart_watches(harness);
        harness.run(Micros::millis(1_500));
        harness.watches_hang = true;
    });
}

/// As before, with so many dependencies that their records are read by pages.
fn page_over_a_gap(harness: &mut Harness) {
    let many: Vec<String> = (100..100 + MANY).map(|n| format!("j-{n}")).collect();
    let mut dependencies: Vec<&str> = many.iter().map(String::as_str).collect();
    dependencies.push("j-1");
    for id in &many {
        harness.put(&format!("j/{id}"), record("a"));
    }
    harness.run(SHORT);
    assert_eq!(harness.submit(&submission_after("j-2", &dependencies)).status, 201);
    harness.run(SHORT);
    harness.watches_hang = true;
    hold_next_reply(harness, |call| {
        matches!(call, KvRequest::List { prefix, .. } if prefix == "j/") && !preloads(call)
    });
    restart_watches(harness);
    harness.run(Micros::millis(1_500));
    harness.watches_hang = true;
    dependency_ends(harness);
    for id in &many {
        harness.put(&format!("j/{id}"), record("d"));
    }
    restart_watches(harness);
    assert_eq!(harness.serve_held_calls(), 1, "a page is in flight");
    harness.run(SHORT);
}

/// The first records are read after one gap, and the reply comes after another.
fn preload_over_a_gap(harness: &mut Harness) {
    submit_dependent(harness);
    read_crosses_a_gap_after(harness, preloads, |harness| {
        restart_watches(harness);
        harness.watches_hang = true;
    });
}

/// The record of a local job is read back because of one gap, and the reply comes after another.
fn read_back_over_a_gap(harness: &mut Harness) {
    assert_eq!(harness.submit(&submission("j-3")).status, 201);
    harness.run(SHORT);
    assert_eq!(harness.submit(&submission_after("j-2", &["j-3"])).status, 201);
    harness.run(SHORT);
    harness.watches_hang = true;
    hold_next_reply(harness, |call| matches!(call, KvRequest::Get(key) if key == "j/j-3"));
    restart_watches(harness);
    harness.watches_hang = true;
    harness.put("j/j-3", json!({"s": 0, "g": "c", "n": 2}));
    restart_watch_of_jobs(harness);
    assert_eq!(harness.serve_held_calls(), 1, "a read-back is in flight");
    harness.run(SHORT);
}

/// A job is accepted and then cancelled by the other controller, and the watches start anew before
/// the reply to its admission comes.
fn admission_over_a_gap(harness: &mut Harness) {
    submit_dependent(harness);
    harness.watches_hang = true;
    hold_next_reply(harness, |call| writes(call, "j/"));
    let ticket = harness.send_request("POST", "/work", submission("j-3").to_string().as_bytes());
    harness.run(SHORT);
    harness.put("j/j-3", json!({"s": 0, "g": "c", "n": 2}));
    restart_watch_of_jobs(harness);
    assert_eq!(harness.serve_held_calls(), 1, "an admission is in flight");
    harness.run(SHORT);
    let answer = harness.answer(ticket);
    assert!(
        answer.as_ref().is_none_or(|a| a.body["stage"] != "queued"),
        "the user may know of the cancellation already: {answer:?}"
    );
    let answer = harness.submit(&submission_after("j-4", &["j-3"]));
    assert!(matches!(answer.status, 200 | 201), "{answer:?}");
    dependency_ends(harness);
}

/// The watch of jobs hangs, so the changes are polled. The poll's reply with a job's acceptance comes
/// after the watches have started anew, and the job ends in between.
fn poll_over_a_gap(harness: &mut Harness) {
    submit_dependent(harness);
    harness.watches_hang = true;
    harness.put("j/j-5", record("a"));
    let is_poll =
        |call: &KvRequest| matches!(call, KvRequest::Watch { block, .. } if *block == Micros::ZERO);
    hold_next_reply(harness, is_poll);
    while !harness.calls.iter().any(is_poll) {
        harness.run(Micros::millis(10));
    }
    harness.put("j/j-5", record("d"));
    restart_watch_of_jobs(harness);
    assert_eq!(harness.serve_held_calls(), 1, "a poll is in flight");
    harness.run(SHORT);
    assert_eq!(harness.submit(&submission_after("j-6", &["j-5"])).status, 201);
    dependency_ends(harness);
}

/// Guards against an accepted job that waits forever for a dependency that has ended. A read of the
/// dependency's record is older than the revision from which the watch of jobs starts, and its
/// reply comes afterwards: cached, the old stage would never be corrected.
#[test]
fn dependents_are_released_although_a_read_crosses_the_start_of_the_watch() {
    type Trouble = fn(&mut Harness);
    let table: [(&str, Trouble); 11] = [
        ("status query at the start of the process", query_at_the_start),
        ("cancellation at the start of the process", cancellation_at_the_start),
        ("repeated submission at the start of the process", repeated_submission_at_the_start),
        ("status query over a gap", query_over_a_gap),
        ("lookup of a submitted job's dependency over a gap", lookup_over_a_gap),
        ("read of a job that has become unknown over a gap", unknown_job_over_a_gap),
        ("page of records over a gap", page_over_a_gap),
        ("first records over a gap", preload_over_a_gap),
        ("read-back of a local job over a gap", read_back_over_a_gap),
        ("admission over a gap", admission_over_a_gap),
        ("poll of the jobs' changes over a gap", poll_over_a_gap),
    ];
    let mut failed = Vec::new();
    for (name, trouble) in table {
        let mut harness = beside_another_leader();
        trouble(&mut harness);
        harness.outcome = Box::new(|_| Outcome::Served);
        harness.run(RELEASE_TIME);
        let status = harness.controller.status(harness.now);
        assert!(harness.get("j/j-2").is_some(), "{name}: j-2 is accepted");
        if status["jobs_that_need_others"] != 0 {
            failed.push(name);
        }
    }
    assert!(failed.is_empty(), "never released after: {failed:#?}");
}

/// Guards against an answer that is older than what this process has told its peers to have
/// received. A read crosses the first list; once the list's revision is announced, a peer answers
/// that the job is done, so the read must not be answered as `queued`.
#[test]
fn no_stage_from_before_the_announced_revision_is_answered() {
    let mut harness = beside_another_leader();
    let mut ticket = 0;
    read_crosses_the_start(&mut harness, |harness| {
        ticket = harness.send_request("GET", "/work/j-1", b"");
    });
    let done_at = harness.get("j/j-1").expect("a record").revision;
    let announced = harness.sent_frames.iter().any(|(_, f)| f.followed_revision >= done_at);
    assert!(announced, "the peer is not told that this process has followed the job's end");
    harness.run(Micros::secs(2));
    let answer = harness.answer(ticket).expect("an answer");
    assert_eq!(answer.status_and_stage(), (200, "done"));
}

/// Guards against a 404 for a job that a peer has accepted. A read crosses the first list; the job was
/// accepted in between, so the watch does not deliver its acceptance.
#[test]
fn no_404_from_before_the_announced_revision_is_answered() {
    let mut harness = beside_another_leader();
    harness.outcome = Box::new(|call| match call {
        call if lists_leases(call) => Outcome::Held,
        KvRequest::Get(key) if key == "j/j-7" => Outcome::ReplyHeld,
        _ => Outcome::Served,
    });
    harness.start_new_process();
    harness.run(SHORT);
    let ticket = harness.send_request("GET", "/work/j-7", b"");
    harness.run(SHORT);
    harness.put("j/j-7", record("a"));
    harness.outcome = Box::new(|_| Outcome::Served);
    assert!(harness.serve_held_calls() > 1, "a list and a read are in flight");
    harness.run(Micros::secs(1));
    let answer = harness.answer(ticket).expect("an answer");
    assert_eq!(answer.status_and_stage(), (200, "queued"));
}

/// Guards against the same with the roles of two jobs: a comparison confirms that no dependency of
/// a waiting job is cancelled, but one is cancelled before the revision that is announced before the
/// reply to the comparison comes. A peer may have answered `cancelled` since.
#[test]
fn no_comparison_from_before_the_announced_revision_is_answered() {
    let mut harness = beside_another_leader();
    submit_dependent(&mut harness);
    harness.watches_hang = true;
    hold_next_reply(
        &mut harness,
        |call| matches!(call, KvRequest::Txn(Txn { writes, .. }) if writes.is_empty()),
    );
    let ticket = harness.send_request("GET", "/work/j-2", b"");
    harness.run(SHORT);
    harness.put("j/j-1", record("c"));
    restart_watches(&mut harness);
    let cancelled_at = harness.get("j/j-1").expect("a record").revision;
    let announced = harness.sent_frames.iter().any(|(_, f)| f.followed_revision >= cancelled_at);
    assert!(announced, "the peer is not told that this process has followed the cancellation");
    assert_eq!(harness.serve_held_calls(), 1, "a comparison is in flight");
    harness.run(Micros::secs(2));
    let answer = harness.answer(ticket).expect("an answer");
    assert!(matches!(answer.status_and_stage(), (503, "") | (200, "cancelled")), "{answer:?}");
}

/// Guards against a shard that nobody leads. A list of the shards' leases still shows a leader whose
/// lease has ended, and its reply comes after the watch has delivered the end, which is not
/// delivered again.
#[test]
fn vacant_shards_are_acquired_although_an_older_list_shows_a_leader() {
    let mut harness = not_started();
    // Each of the three watches starts with such a list, too, and is called first.
    let mut lists = 0;
    harness.outcome = Box::new(move |call| {
        lists += usize::from(lists_leases(call));
        match lists_leases(call) && lists == 4 {
            true => Outcome::ReplyHeld,
            false => Outcome::Served,
        }
    });
    harness.run(SHORT);
    harness.delete("hold/1");
    harness.run(SHORT);
    assert_eq!(harness.serve_held_calls(), 1, "a list of leases is in flight");
    harness.run(Micros::secs(10));
    assert!(shard_status(&harness, 1).1, "shard 1 has no leader");
}

/// Guards against a leader that steps down because of a list from before its acquisition, by which
/// the shard is still vacant.
#[test]
fn leaders_go_on_although_an_older_list_shows_no_lease() {
    let mut harness = not_started();
    let mut lists = 0;
    harness.outcome = Box::new(move |call| {
        lists += usize::from(lists_leases(call));
        match lists_leases(call) && lists == 1 {
            true => Outcome::ReplyHeld,
            false => Outcome::Served,
        }
    });
    harness.wait_until_healthy();
    let (term, led) = shard_status(&harness, 0);
    assert!(led, "the shard is acquired");
    assert_eq!(harness.serve_held_calls(), 1, "the list that starts the watch is in flight");
    harness.run(Micros::secs(2));
    assert_eq!(shard_status(&harness, 0), (term, true));
}

/// Guards against an answer that is older than what this process has received, when it keeps the
/// stages of as many jobs as it can. The job was cached first and has just ended: were its stage
/// evicted now, a read that is in flight would bring back the earlier one.
#[test]
fn stages_of_jobs_that_have_just_ended_are_not_evicted() {
    let mut harness = beside_another_leader();
    submit_dependent(&mut harness);
    let others = (0..MAX_CACHED_JOBS - 2).map(|n| (format!("j/j-{}", 100 + n), record("a")));
    harness.put_together(others);
    harness.run(SHORT);
    hold_next_reply(&mut harness, reads_dependency);
    let ticket = harness.send_request("GET", "/work/j-1", b"");
    dependency_ends(&mut harness);
    harness.run(SHORT);
    harness.put("j/j-3", record("a"));
    harness.run(SHORT);
    assert_eq!(harness.serve_held_calls(), 1, "a read is in flight");
    harness.run(Micros::secs(1));
    let answer = harness.answer(ticket).expect("an answer");
    assert_eq!(answer.status_and_stage(), (200, "done"));
}
