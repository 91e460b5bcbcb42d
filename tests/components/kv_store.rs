//! Answers of the key-value store, and its rates.

use millethold::kv_store::{Bucket, Budget, KvRequest, KvResponse};
use millethold::time::Micros;
use millethold::wire::{Txn, Write};

#[test]
fn store_responses() {
    let txn = KvRequest::Txn(Txn { conditions: vec![], writes: vec![] });
    let get = KvRequest::Get("a".into());
    let watches = KvRequest::Watch { prefix: "j/".into(), after: 3, block: Micros::secs(1) };
    let table: [(&KvRequest, u16, &str, KvResponse); 13] = [
        (&txn, 200, r#"{"ledger":432}"#, KvResponse::Applied(432)),
        (&txn, 409, r#"{"failed":["a/b"],"ledger":4}"#, KvResponse::Conflict(vec!["a/b".into()])),
        (&txn, 400, r#"{"error":"no such lease"}"#, KvResponse::LeaseNotFound),
        (&txn, 400, r#"{"error":"too large"}"#, KvResponse::Rejected),
        (&txn, 200, "<html>", KvResponse::OutcomeUnknown),
        (&txn, 503, "", KvResponse::NotExecuted),
        (&txn, 429, "", KvResponse::NotExecuted),
        (&txn, 500, "", KvResponse::OutcomeUnknown),
        (&get, 404, r#"{"ledger":1}"#, KvResponse::Value(None)),
        (&get, 200, "[", KvResponse::OutcomeUnknown),
        (&watches, 410, "", KvResponse::Compacted),
        (&KvRequest::RenewLease(3), 404, "", KvResponse::LeaseNotFound),
        (
            &KvRequest::GrantLease(Micros::secs(1)),
            200,
            r#"{"permit":7}"#,
            KvResponse::LeaseGranted(7),
        ),
    ];
    for (call, status, body, want) in table {
        assert_eq!(call.decode(status, body.as_bytes()), want, "{call:?} {status} {body}");
    }
    let changes = br#"{"ledger":433,"events":[{"set":"j/9","value":{},"mark":433},{"drop":"j/1","mark":432}]}"#;
    match watches.decode(200, changes) {
        KvResponse::WatchEvents { revision: 433, events: list } => {
            assert_eq!(
                (list[0].put.as_deref(), list[1].delete.as_deref()),
                (Some("j/9"), Some("j/1"))
            );
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn rate_limits() {
    let now = Micros::secs(10);
    let put = |n: usize| {
        let write = |i| Write::Delete { key: format!("k{i}") };
        KvRequest::Txn(Txn { conditions: vec![], writes: (0..n).map(write).collect() })
    };
    // 30 changes a second over three nodes, a tenth left for others: nine each.
    let mut budget = Budget::new(300.0, 30.0, 3);
    assert!(budget.admit(now, &put(8)));
    assert!(!budget.admit(now, &put(2)), "the burst is used up");
    assert!(budget.admit(now, &KvRequest::RenewLease(1)), "renewals are never held back");
    assert!(budget.admit(now + Micros::millis(200), &put(2)));
    // More than a whole burst goes out once the bucket is full, not never.
    let mut bucket = Bucket::new(2.0, 2.0);
    assert!(bucket.allows(now, 5.0));
    bucket.take(5.0);
    assert!(!bucket.allows(now + Micros::secs(1), 1.0));
    assert!(bucket.allows(now + Micros::secs(2), 1.0));
}
