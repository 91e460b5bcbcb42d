//! Answers of the state service, and its rates.

use millethold::state::{Bucket, Budget, StateCall, StateReply};
use millethold::time::Micros;
use millethold::wire::{Txn, Write};

#[test]
fn state_answers() {
    let txn = StateCall::Txn(Txn { conditions: vec![], writes: vec![] });
    let get = StateCall::Get("a".into());
    let follow = StateCall::Follow { prefix: "j/".into(), after: 3, block: Micros::secs(1) };
    let table: [(&StateCall, u16, &str, StateReply); 13] = [
        (&txn, 200, r#"{"ledger":432}"#, StateReply::Applied(432)),
        (&txn, 409, r#"{"failed":["a/b"],"ledger":4}"#, StateReply::Conflict(vec!["a/b".into()])),
        (&txn, 400, r#"{"error":"no such lease"}"#, StateReply::NoLease),
        (&txn, 400, r#"{"error":"too large"}"#, StateReply::Invalid),
        (&txn, 200, "<html>", StateReply::Unknown),
        (&txn, 503, "", StateReply::Refused),
        (&txn, 429, "", StateReply::Refused),
        (&txn, 500, "", StateReply::Unknown),
        (&get, 404, r#"{"ledger":1}"#, StateReply::Value(None)),
        (&get, 200, "[", StateReply::Unknown),
        (&follow, 410, "", StateReply::TooOld),
        (&StateCall::Extend(3), 404, "", StateReply::NoLease),
        (&StateCall::Grant(Micros::secs(1)), 200, r#"{"permit":7}"#, StateReply::Granted(7)),
    ];
    for (call, status, body, want) in table {
        assert_eq!(call.decode(status, body.as_bytes()), want, "{call:?} {status} {body}");
    }
    let changes = br#"{"ledger":433,"events":[{"set":"j/9","value":{},"mark":433},{"drop":"j/1","mark":432}]}"#;
    match follow.decode(200, changes) {
        StateReply::Changes(433, list) => {
            assert_eq!(
                (list[0].put.as_deref(), list[1].delete.as_deref()),
                (Some("j/9"), Some("j/1"))
            );
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn rates() {
    let now = Micros::secs(10);
    let put = |n: usize| {
        let write = |i| Write::Delete { key: format!("k{i}") };
        StateCall::Txn(Txn { conditions: vec![], writes: (0..n).map(write).collect() })
    };
    // 30 changes a second over three nodes, a tenth left for others: nine each.
    let mut budget = Budget::new(300.0, 30.0, 3);
    assert!(budget.admit(now, &put(8)));
    assert!(!budget.admit(now, &put(2)), "the burst is used up");
    assert!(budget.admit(now, &StateCall::Extend(1)), "renewals are never held back");
    assert!(budget.admit(now + Micros::millis(200), &put(2)));
    // More than a whole burst goes out once the bucket is full, not never.
    let mut bucket = Bucket::new(2.0, 2.0);
    assert!(bucket.allows(now, 5.0));
    bucket.take(5.0);
    assert!(!bucket.allows(now + Micros::secs(1), 1.0));
    assert!(bucket.allows(now + Micros::secs(2), 1.0));
}
