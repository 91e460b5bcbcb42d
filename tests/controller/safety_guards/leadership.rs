//! A shard that was given up.

use super::{shard, writes};
use crate::harness::{Harness, Outcome, settings};
use millethold::kv_store::{KvRequest, KvResponse};
use millethold::peer::Frame;
use millethold::time::Micros;
use millethold::wire::Write;

/// Whether a call gives a shard up.
fn releases(call: &KvRequest, shard: usize) -> bool {
    let key = format!("hold/{shard}");
    let gone = |w: &Write| matches!(w, Write::Delete { key: k } if *k == key);
    matches!(call, KvRequest::Txn(txn) if txn.writes.iter().any(gone))
}

/// A shard that was given up is acted on again only under a new term, whatever becomes of
/// the transaction that gives it up.
#[test]
fn new_term_after_a_release() {
    let table = [
        ("carried out", Outcome::Served),
        ("refused", Outcome::Refused),
        ("carried out, its answer lost", Outcome::AnswerLost),
        ("carried out late, if at all", Outcome::Late),
    ];
    for (name, outcome) in table {
        let mut harness = Harness::new(&settings(1, 3, ""), &[]);
        harness.start();
        harness.run(Micros::secs(5));
        let (term, leadership) = shard(&harness, 0);
        assert!(leadership, "{name}: seat 0 is nobody else's");
        let revision = harness.get("hold/0").expect("a holder").revision;
        harness.outcome = Box::new(move |call| match releases(call, 0) {
            true => outcome,
            false => Outcome::Served,
        });
        // Its home is back and well for long enough.
        let well = || Frame { incarnation: 3, state_ok: true, full: true, ..Frame::default() };
        let mut released = None;
        for _ in 0..50 {
            harness.hear(0, well());
            harness.run(Micros::millis(500));
            released = harness.calls.iter().position(|call| releases(call, 0));
            if released.is_some() {
                break;
            }
        }
        let released = released.unwrap_or_else(|| panic!("{name}: never released"));
        // Its home is gone before it takes the shard.
        for _ in 0..1_000 {
            let (now, leadership) = shard(&harness, 0);
            assert!(!leadership || now > term, "{name}: acted on again under term {now}");
            harness.run(Micros::millis(10));
        }
        let (now, leadership) = shard(&harness, 0);
        assert!(leadership && now > term, "{name}: not taken anew, term {now}");
        for call in &harness.calls[released + 1..] {
            let KvRequest::Txn(txn) = call else {
                continue;
            };
            let old = txn.conditions.iter().any(|c| c.key == "hold/0" && c.revision == revision);
            let takes = writes(call, "hold/0");
            assert!(!old || takes, "{name}: written under the old mark: {txn:?}");
        }
        for reply in harness.carry_out_late() {
            let failed = matches!(&reply, KvResponse::Conflict(keys) if keys == &["hold/0"]);
            assert!(failed, "{name}: carried out late: {reply:?}");
        }
    }
}
