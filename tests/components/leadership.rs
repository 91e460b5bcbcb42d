//! Shards, their terms and leases.

use millethold::config::Workers;
use millethold::controller::leadership::controller_lease::ControllerLease;
use millethold::controller::leadership::fencing_token::{self, FIRST_RAISED_OFFSET};
use millethold::controller::leadership::shard::{self, Shard, ShardAcquisition};
use millethold::controller::leadership::shard_lease::ShardLease;
use millethold::controller::machines::cancellation;
use millethold::time::Micros;
use millethold::wire::{FencingToken, KeyValue, Write};
use serde_json::json;

#[test]
fn shard_leases_and_terms() {
    let item = |member: &str, run, term, version| KeyValue {
        key: "hold/0".into(),
        value: json!(ShardLease {
            member: member.into(),
            incarnation: run,
            term,
            controller_lease: 5
        }),
        revision: version,
    };
    // What is stored, whether member `a` in run 7 may take it, and on which mark.
    let table = [
        (None, Some(0)),
        (Some(item("b", 3, 4, 40)), None),
        (Some(item("a", 7, 4, 40)), None),
        (Some(item("a", 6, 4, 40)), Some(40)),
    ];
    for (stored, want) in table {
        let mut s = Shard::default();
        s.observe_lease(Micros::secs(1), stored.as_ref());
        assert_eq!(s.acquirable_revision("a", 7), want, "{stored:?}");
    }
    // What this run gave up stands until the release is carried out, perhaps late: it
    // is taken anew, on its mark, instead of being acted on under the old term.
    for (last_led_term, want) in [(3, None), (4, Some(40)), (5, Some(40))] {
        let mut s = Shard { last_led_term, ..Shard::default() };
        s.observe_lease(Micros::secs(1), Some(&item("a", 7, 4, 40)));
        assert_eq!(s.acquirable_revision("a", 7), want, "acted under term {last_led_term}");
        assert_eq!(s.acquirable_revision("b", 7), None, "nobody else may");
    }
    let mut s = Shard::default();
    s.observe_lease(Micros::secs(1), Some(&item("b", 3, 4, 40)));
    s.observe_lease(Micros::secs(9), None);
    assert_eq!(s.vacant_since, Micros::secs(9));
    let ShardAcquisition { transaction: txn, term } = s.acquire(0, 0, "a", 7, 12);
    assert_eq!(term, fencing_token::TERM_STRIDE, "a term only rises");
    assert_eq!(fencing_token::next_term(u64::MAX), u64::MAX, "a damaged term is no panic");
    // Terms of this version, and of earlier ones, which count by one: the next is above
    // all tokens that may have been shown under them.
    for before in [0, 4, term, term + 1, term + 900] {
        let next = fencing_token::next_term(before);
        assert!(next > before, "{before}");
        for fencing_token_raises in
            [0, 1, 2, FIRST_RAISED_OFFSET - 2, FIRST_RAISED_OFFSET, u64::MAX]
        {
            let fencing_token = fencing_token::raised_fencing_token(next, fencing_token_raises);
            let own = FencingToken::of_term(next);
            let next_leader = FencingToken::of_term(fencing_token::next_term(next));
            let fits = |token: FencingToken| token >= own && token < next_leader;
            assert!(fencing_token.is_none_or(fits), "{before}: {fencing_token:?}");
            // A few takes by earlier versions do not reach what was raised.
            assert!(
                fencing_token_raises == 0
                    || fencing_token.is_none_or(|token| token > FencingToken(next + 1_000)),
                "{fencing_token:?}"
            );
        }
        assert_eq!(
            fencing_token::raised_fencing_token(next, FIRST_RAISED_OFFSET),
            None,
            "{before}"
        );
    }
    let versions: Vec<u64> = txn.conditions.iter().map(|c| c.revision).collect();
    assert_eq!(versions, [0, 40], "both keys are conditions");
    assert!(matches!(&txn.writes[0], Write::Put { lease: Some(12), .. }));
    assert!(matches!(&txn.writes[1], Write::Put { lease: None, .. }), "the term stays");

    let ttl = Micros::secs(8);
    let mut lease = ControllerLease { id: Some(1), ..ControllerLease::default() };
    lease.extend(Micros::secs(100), ttl);
    assert!(lease.is_valid(Micros::secs(107)));
    assert!(!lease.is_valid(Micros::millis(107_950)), "drift and margin are taken off");
    lease.extend(Micros::secs(90), ttl);
    assert!(lease.is_valid(Micros::secs(107)), "an older answer does not shorten it");
    lease.expire(Micros::secs(100));
    assert!(!lease.is_valid(Micros::secs(101)));

    for shards in 1..6 {
        let mut count = vec![0; shards];
        for n in 0..600 {
            count[shard::shard_of_machine(&format!("vm-{n:06}"), shards)] += 1;
        }
        let even = 600 / shards;
        assert!(count.iter().all(|c| *c > even / 2 && *c < even * 2), "{count:?}");
    }
}

/// How long cancellations may be unheard, and the state lease, by the workers' lease
/// and the time that a cancellation has.
#[test]
fn controller_lease_and_cancellations() {
    // lease_s, cancel_s, wished, whole seconds unheard, lease used, whether it is safe.
    let table = [
        (22.0, 52.0, 10_000, 26, 10_000, true),
        (26.5, 56.5, 10_000, 26, 10_000, true),
        (45.0, 70.0, 10_000, 21, 10_000, true),
        (45.0, 70.0, 30_000, 21, 21_954, true),
        (45.0, 54.0, 10_000, 5, 5_954, true),
        // Nothing short enough: the shortest that works, and a warning.
        (45.0, 50.0, 10_000, 1, 2_000, false),
        (45.0, 40.0, 10_000, 0, 2_000, false),
        (22.0, 52.0, 1_500, 26, 1_500, true),
    ];
    for (lease_s, cancel_s, wished, unheard_s, used, safe) in table {
        let workers = Workers { heartbeat_interval_s: 3.0, lease_s, cancel_s };
        assert_eq!(
            cancellation::max_cancellation_lag(&workers).as_millis() / 1_000,
            unheard_s,
            "{workers:?}"
        );
        let fitted = cancellation::bounded_lease(Micros::millis(wished), &workers);
        let got = (fitted.duration.as_millis(), fitted.is_short_enough);
        assert_eq!(got, (used, safe), "{workers:?}, {wished} ms wished");
    }
}
