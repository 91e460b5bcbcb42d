//! Status queries that are answered with a comparison of revisions.

use super::writes;
use crate::harness::{Harness, Outcome, submission_after};
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use millethold::wire::Txn;
use serde_json::json;

/// Whether a call is a transaction that only compares revisions.
fn is_comparison(call: &KvRequest) -> bool {
    matches!(call, KvRequest::Txn(Txn { writes, .. }) if writes.is_empty())
}

/// Cancels a job as another controller would, without a watch event.
fn cancel(harness: &mut Harness, id: &str) {
    harness.watches_hang = true;
    cancel_with_watch_event(harness, id);
}

/// Cancels a job as another controller would; the watch reports it unless watches hang.
fn cancel_with_watch_event(harness: &mut Harness, id: &str) {
    harness.put(&format!("j/{id}"), json!({"s": 0, "g": "c", "n": 2}));
    harness.run(Micros::millis(200));
}

/// Sets the outcome of all later comparisons; other calls are served.
fn set_comparison_outcome(harness: &mut Harness, outcome: Outcome) {
    harness.outcome = Box::new(move |call| match is_comparison(call) {
        true => outcome,
        false => Outcome::Served,
    });
}

/// Guards against an outdated `queued`. A job waits for its dependencies, and another controller
/// cancels it or one of its direct or indirect dependencies, but this controller has not received
/// the watch event. Once the cancellation is stored, the answer must never be `queued`.
#[test]
fn queries_of_a_waiting_job_see_stored_cancellations() {
    type Action = fn(&mut Harness);
    // Action before the query, action between query and answer, allowed answers.
    let nothing: Action = |_| {};
    let serve_held: Action = |harness| assert_eq!(harness.serve_held_calls(), 1);
    type Case = (&'static str, Action, Action, &'static [(u16, &'static str)]);
    let table: Vec<Case> = vec![
        ("nothing has changed", nothing, nothing, &[(200, "queued")]),
        // A repeated submission reads the job's own record first.
        ("the job is cancelled", |s| cancel(s, "j-4"), nothing, &[(503, ""), (200, "cancelled")]),
        ("its direct dependency is cancelled", |s| cancel(s, "j-3"), nothing, &[(503, "")]),
        ("a dependency two levels up is cancelled", |s| cancel(s, "j-2"), nothing, &[(503, "")]),
        ("a dependency three levels up is cancelled", |s| cancel(s, "j-1"), nothing, &[(503, "")]),
        ("a dependency on another path is cancelled", |s| cancel(s, "j-9"), nothing, &[(503, "")]),
        (
            "the watch has reported the cancellation",
            |s| cancel_with_watch_event(s, "j-1"),
            nothing,
            &[(200, "cancelled")],
        ),
        (
            "the watch reports it while the reply to the comparison is in flight",
            |s| {
                // The cancellations that result from it are not stored yet.
                s.outcome = Box::new(|call| match call {
                    call if is_comparison(call) => Outcome::ReplyHeld,
                    call if writes(call, "j/") => Outcome::Refused,
                    _ => Outcome::Served,
                });
            },
            |s| {
                cancel_with_watch_event(s, "j-1");
                assert_eq!(s.serve_held_calls(), 1);
            },
            &[(200, "cancelled")],
        ),
        (
            "the comparison takes half a second",
            |s| set_comparison_outcome(s, Outcome::ReplyHeld),
            |s| {
                s.run(Micros::millis(500));
                assert_eq!(s.serve_held_calls(), 1);
            },
            &[(200, "queued")],
        ),
        (
            "the comparison takes too long: another controller may have answered a later stage",
            |s| set_comparison_outcome(s, Outcome::ReplyHeld),
            |s| {
                s.run(Micros::millis(800));
                assert_eq!(s.serve_held_calls(), 1);
            },
            &[(503, "")],
        ),
        (
            "the comparison is held, and nothing has changed",
            |s| set_comparison_outcome(s, Outcome::Held),
            serve_held,
            &[(200, "queued")],
        ),
        (
            "cancelled before the comparison is executed",
            |s| set_comparison_outcome(s, Outcome::Held),
            |s| {
                cancel(s, "j-1");
                assert_eq!(s.serve_held_calls(), 1);
            },
            &[(503, "")],
        ),
        (
            "the key-value store refuses",
            |s| set_comparison_outcome(s, Outcome::Refused),
            nothing,
            &[(503, "")],
        ),
        (
            "the reply is lost",
            |s| set_comparison_outcome(s, Outcome::ReplyLost),
            nothing,
            &[(503, "")],
        ),
        (
            "watches of cancellations fail for too long",
            |s| {
                s.outcome = Box::new(|call| match call {
                    KvRequest::Watch { .. } => Outcome::Refused,
                    _ => Outcome::Served,
                });
                s.run(Micros::secs(40));
            },
            nothing,
            &[(503, "")],
        ),
    ];
    for (name, before_query, before_answer, allowed) in table {
        for repeats in [false, true] {
            let mut harness = Harness::ready("", &[]);
            for (id, dependencies) in [
                ("j-1", &[][..]),
                ("j-9", &[]),
                ("j-2", &["j-1"]),
                ("j-3", &["j-2", "j-9"]),
                ("j-4", &["j-3"]),
            ] {
                let answer = harness.submit(&submission_after(id, dependencies));
                assert_eq!(answer.status_and_stage(), (201, "queued"), "{name}: {id}");
            }
            harness.run(Micros::millis(300));
            before_query(&mut harness);
            let ticket = match repeats {
                false => harness.send_request("GET", "/work/j-4", b""),
                true => {
                    let body = submission_after("j-4", &["j-3"]).to_string();
                    harness.send_request("POST", "/work", body.as_bytes())
                }
            };
            harness.run(Micros::millis(50));
            before_answer(&mut harness);
            harness.run(Micros::secs(3));
            let answer = harness.answer(ticket).unwrap_or_else(|| panic!("{name}: no answer"));
            assert!(
                allowed.contains(&answer.status_and_stage()),
                "{name}, repeats {repeats}: {answer:?}"
            );
            let unavailable = answer.status == 503;
            assert_eq!(answer.retry_after.is_some(), unavailable, "{name}, repeats {repeats}");
        }
    }
}
