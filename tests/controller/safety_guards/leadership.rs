//! Releases of a shard lease whose outcome is unknown, and lapses of the controller lease.

use super::{shard_status, writes};
use crate::harness::{Harness, Outcome, settings, submission};
use millethold::kv_store::{KvRequest, KvResponse};
use millethold::peer::Frame;
use millethold::time::Micros;
use millethold::wire::Write;

/// Whether a call releases the lease of a shard.
fn releases(call: &KvRequest, shard: usize) -> bool {
    let key = format!("hold/{shard}");
    let deletes_lease = |w: &Write| matches!(w, Write::Delete { key: k } if *k == key);
    matches!(call, KvRequest::Txn(txn) if txn.writes.iter().any(deletes_lease))
}

/// A controller that has released a shard must lead it again only under a new term. If the
/// outcome of the release is unknown, the old shard lease may still be stored, and a controller
/// that went on under it would lose its lease once the release is executed.
#[test]
fn new_term_after_a_release() {
    let table = [
        ("executed", Outcome::Served),
        ("refused", Outcome::Refused),
        ("executed, the reply is lost", Outcome::ReplyLost),
        ("executed late, if at all", Outcome::Late),
    ];
    for (name, outcome) in table {
        let mut harness = Harness::new(&settings(1, 3, ""), &[]);
        harness.wait_until_healthy();
        harness.run(Micros::secs(5));
        let (term, led) = shard_status(&harness, 0);
        assert!(led, "{name}: no other controller leads shard 0");
        let revision = harness.get("hold/0").expect("a shard lease").revision;
        harness.outcome = Box::new(move |call| match releases(call, 0) {
            true => outcome,
            false => Outcome::Served,
        });
        // The home member of the shard is healthy for long enough: the shard is released.
        let healthy =
            || Frame { incarnation: 3, lease_valid: true, is_full_sync: true, ..Frame::default() };
        let mut released = None;
        for _ in 0..50 {
            harness.receive_frame(0, healthy());
            harness.run(Micros::millis(500));
            released = harness.calls.iter().position(|call| releases(call, 0));
            if released.is_some() {
                break;
            }
        }
        let released = released.unwrap_or_else(|| panic!("{name}: never released"));
        // The home member fails before it acquires the shard.
        for _ in 0..1_000 {
            let (current_term, led) = shard_status(&harness, 0);
            assert!(!led || current_term > term, "{name}: led again under term {current_term}");
            harness.run(Micros::millis(10));
        }
        let (current_term, led) = shard_status(&harness, 0);
        assert!(led && current_term > term, "{name}: not acquired again, term {current_term}");
        for call in &harness.calls[released + 1..] {
            let KvRequest::Txn(txn) = call else {
                continue;
            };
            let has_old_revision =
                txn.conditions.iter().any(|c| c.key == "hold/0" && c.revision == revision);
            let writes_lease = writes(call, "hold/0");
            assert!(
                !has_old_revision || writes_lease,
                "{name}: written under the old revision: {txn:?}"
            );
        }
        for reply in harness.execute_late_calls() {
            let conflicts = matches!(&reply, KvResponse::Conflict(keys) if keys == &["hold/0"]);
            assert!(conflicts, "{name}: executed late: {reply:?}");
        }
    }
}

/// Guards against a task that is lost for good. The controller lease lapses and is renewed between
/// two ticks, and in between a peer reports that the task's machine is gone. The task must be
/// started elsewhere although no tick has found the lease expired.
#[test]
fn tasks_are_evaluated_after_a_lapse_between_two_ticks() {
    let mut harness = Harness::new(&settings(1, 2, ""), &[]);
    harness.wait_until_healthy();
    harness.task_duration_s.insert("j-1".into(), 1_000.0);
    harness.add_machine();
    harness.run(Micros::secs(10));
    assert_eq!(harness.submit(&submission("j-1")).status, 201);
    harness.run(Micros::secs(3));
    assert_eq!(harness.started_tasks, ["j-1/0", "j-1/1"]);
    harness.add_machine();
    harness.run(Micros::secs(3));

    harness.outcome = Box::new(|call| match call {
        KvRequest::RenewLease(_) => Outcome::Held,
        _ => Outcome::Served,
    });
    while harness.holds_lease() {
        harness.run(Micros::millis(10));
    }
    let gone = Frame {
        incarnation: 3,
        lease_valid: true,
        is_full_sync: true,
        terminated: vec!["vm-000000".into()],
        ..Frame::default()
    };
    harness.outcome = Box::new(|_| Outcome::Served);
    harness.lose_machine("vm-000000");
    harness.receive_frame(0, gone);
    assert_eq!(harness.serve_held_calls(), 1, "a renewal is held");
    harness.run(Micros::secs(5));
    assert_eq!(harness.started_tasks[2..], ["j-1/0", "j-1/1"], "started on the other machine");
}
