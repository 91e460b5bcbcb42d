//! Tests of the key-value store's responses and the request budget.

use millethold::kv_store::{KvRequest, KvResponse, RateBudget, TokenBucket};
use millethold::time::Micros;
use millethold::wire::{Txn, Write};

#[test]
fn store_responses() {
    let txn = KvRequest::Txn(Txn { conditions: vec![], writes: vec![] });
    let get = KvRequest::Get("a".into());
    let watch = KvRequest::Watch { prefix: "j/".into(), after: 3, block: Micros::secs(1) };
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
        (&watch, 410, "", KvResponse::Compacted),
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
    let events = br#"{"ledger":433,"events":[{"set":"j/9","value":{},"mark":433},{"drop":"j/1","mark":432}]}"#;
    match watch.decode(200, events) {
        KvResponse::WatchEvents { revision: 433, events } => {
            assert_eq!(
                (events[0].put.as_deref(), events[1].delete.as_deref()),
                (Some("j/9"), Some("j/1"))
            );
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn rate_limits() {
    let now = Micros::secs(10);
    let writes = |n: usize| {
        let write = |i| Write::Delete { key: format!("k{i}") };
        KvRequest::Txn(Txn { conditions: vec![], writes: (0..n).map(write).collect() })
    };
    // 30 writes per second for three controllers, of which 3 % stay unused: 9.7 each.
    let mut budget = RateBudget::new(300.0, 30.0, 3);
    assert!(budget.admit(now, &writes(8)));
    assert!(!budget.admit(now, &writes(2)), "the burst is used up");
    assert!(budget.admit(now, &KvRequest::RenewLease(1)), "renewals are never delayed");
    assert!(budget.admit(now + Micros::millis(200), &writes(2)));
    // A request that exceeds the whole burst is admitted once the bucket is full, instead of never.
    let mut bucket = TokenBucket::new(2.0, 2.0);
    assert!(bucket.allows(now, 5.0));
    bucket.take(5.0);
    assert!(!bucket.allows(now + Micros::secs(1), 1.0));
    assert!(bucket.allows(now + Micros::secs(2), 1.0));
}
