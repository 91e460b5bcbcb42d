//! Stored jobs whose record arrives at a moment at which they cannot be recovered.

use super::writes;
use crate::harness::{Harness, Outcome, submission};
use millethold::kv_store::KvRequest;
use millethold::time::Micros;

/// Longer than a call to the key-value store may take.
const CALL_TIMEOUT: Micros = Micros::millis(2_700);
/// Longer than the controller lease.
const LEASE_EXPIRY: Micros = Micros::secs(11);
/// Time in which watches deliver what has changed.
const WATCH_DELAY: Micros = Micros::millis(300);

/// Sends a submission whose admission has this outcome.
fn send_submission(harness: &mut Harness, id: &str, admission: Outcome) {
    harness.outcome = Box::new(move |call| match writes(call, "j/") {
        true => admission,
        false => Outcome::Served,
    });
    harness.send_request("POST", "/work", submission(id).to_string().as_bytes());
}

fn refuse_all_calls(harness: &mut Harness) {
    harness.outcome = Box::new(|_| Outcome::Refused);
}

/// The record arrives during the moments between the end of an outage and the renewal of the
/// controller lease.
fn lease_not_valid(harness: &mut Harness) {
    send_submission(harness, "j-1", Outcome::ReplyLost);
    refuse_all_calls(harness);
    harness.watches_hang = true;
    harness.run(LEASE_EXPIRY);
    harness.end_outage();
    harness.watches_hang = false;
    harness.run(WATCH_DELAY);
}

/// The record arrives while a repeat of the submission is in flight. That one fails on the stored
/// record, which then cannot be read.
fn repeat_in_flight(harness: &mut Harness) {
    send_submission(harness, "j-1", Outcome::Late);
    harness.run(CALL_TIMEOUT);
    send_submission(harness, "j-1", Outcome::Held);
    harness.execute_late_calls();
    harness.run(WATCH_DELAY);
    refuse_all_calls(harness);
    harness.serve_held_calls();
    harness.run(WATCH_DELAY);
}

/// The record arrives while the shard is listed because of another job, after the store has read
/// the page.
fn page_in_flight(harness: &mut Harness) {
    send_submission(harness, "j-1", Outcome::Late);
    send_submission(harness, "j-2", Outcome::ReplyLost);
    harness.outcome = Box::new(|call| match call {
        KvRequest::List { prefix, .. } if prefix.starts_with("w/") => Outcome::ReplyHeld,
        _ => Outcome::Served,
    });
    harness.run(CALL_TIMEOUT);
    harness.execute_late_calls();
    harness.run(WATCH_DELAY);
    assert_eq!(harness.serve_held_calls(), 1, "a page is in flight");
}

/// The store no longer keeps the change by which the record would have arrived.
fn change_compacted(harness: &mut Harness) {
    harness.watches_hang = true;
    send_submission(harness, "j-1", Outcome::ReplyLost);
    harness.run(CALL_TIMEOUT);
    harness.compact_watched_changes();
    harness.watches_hang = false;
}

/// Guards against an accepted job that no controller runs. The reply to its admission is lost, and
/// its record arrives when the job cannot be recovered at once. No further event names the job, so
/// the shard's leader must still know of it when it can.
#[test]
fn jobs_run_although_their_record_came_at_the_wrong_moment() {
    type Trouble = fn(&mut Harness);
    // What goes wrong, and how many jobs the store contains afterwards.
    let table: [(&str, Trouble, usize); 4] = [
        ("the controller lease is not valid", lease_not_valid, 1),
        ("a repeated submission is in flight", repeat_in_flight, 1),
        ("the shard is being listed", page_in_flight, 2),
        ("the change is compacted", change_compacted, 1),
    ];
    let mut failed = Vec::new();
    for (name, trouble, stored) in table {
        let mut harness = Harness::ready("", &[]);
        harness.run(Micros::secs(2));
        trouble(&mut harness);
        assert_eq!(harness.job_count(), 0, "{name}: recovered too early to test anything");
        harness.outcome = Box::new(|_| Outcome::Served);
        harness.run(Micros::secs(3));
        assert_eq!(harness.list("j/").len(), stored, "{name}: stored");
        if harness.job_count() != stored as u64 {
            failed.push(format!("{name}: {} of {stored} jobs run", harness.job_count()));
        }
        let unlisted = &harness.controller.status(harness.now)["unlisted_jobs"];
        assert!(unlisted.is_null() || *unlisted == 0, "{name}: {unlisted} unlisted jobs remain");
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
