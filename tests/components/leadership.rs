//! Tests of shard leases, terms, fencing tokens and the controller lease.

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
    let stored_lease = |member: &str, incarnation, term, revision| KeyValue {
        key: "hold/0".into(),
        value: json!(ShardLease { member: member.into(), incarnation, term, controller_lease: 5 }),
        revision,
    };
    // Stored lease, revision at which incarnation 7 of member `a` may acquire the shard, or `None`
    // if it must not.
    let table = [
        (None, Some(0)),
        (Some(stored_lease("b", 3, 4, 40)), None),
        (Some(stored_lease("a", 7, 4, 40)), None),
        (Some(stored_lease("a", 6, 4, 40)), Some(40)),
    ];
    for (stored, want) in table {
        let mut shard = Shard::default();
        shard.observe_lease(Micros::secs(1), stored.as_ref(), 40);
        assert_eq!(shard.acquirable_revision("a", 7), want, "{stored:?}");
    }
    // A lease that this incarnation has released stays stored until the release is executed,
    // perhaps late. The shard is acquired again at the lease's revision, instead of being led
    // under the old term.
    for (last_led_term, want) in [(3, None), (4, Some(40)), (5, Some(40))] {
        let mut shard = Shard { last_led_term, ..Shard::default() };
        shard.observe_lease(Micros::secs(1), Some(&stored_lease("a", 7, 4, 40)), 40);
        assert_eq!(shard.acquirable_revision("a", 7), want, "led under term {last_led_term}");
        assert_eq!(shard.acquirable_revision("b", 7), None, "no other member may acquire it");
    }
    let mut shard = Shard::default();
    shard.observe_lease(Micros::secs(1), Some(&stored_lease("b", 3, 4, 40)), 40);
    shard.observe_lease(Micros::secs(9), None, 41);
    assert_eq!(shard.vacant_since, Micros::secs(9));
    let ShardAcquisition { transaction: txn, term } = shard.acquire(0, 0, "a", 7, 12);
    assert_eq!(term, fencing_token::TERM_STRIDE, "a term only increases");
    assert_eq!(fencing_token::next_term(u64::MAX), u64::MAX, "a damaged term causes no panic");
    // Terms of this version, and of earlier ones, which increment the term by one. The next term is
    // higher than every fencing token that may have been sent under them.
    for previous in [0, 4, term, term + 1, term + 900] {
        let next = fencing_token::next_term(previous);
        assert!(next > previous, "{previous}");
        for fencing_token_raises in
            [0, 1, 2, FIRST_RAISED_OFFSET - 2, FIRST_RAISED_OFFSET, u64::MAX]
        {
            let fencing_token = fencing_token::raised_fencing_token(next, fencing_token_raises);
            let lowest = FencingToken::of_term(next);
            let of_next_leader = FencingToken::of_term(fencing_token::next_term(next));
            let in_term = |token: FencingToken| token >= lowest && token < of_next_leader;
            assert!(fencing_token.is_none_or(in_term), "{previous}: {fencing_token:?}");
            // A few acquisitions by earlier versions do not reach a raised token.
            assert!(
                fencing_token_raises == 0
                    || fencing_token.is_none_or(|token| token > FencingToken(next + 1_000)),
                "{fencing_token:?}"
            );
        }
        assert_eq!(
            fencing_token::raised_fencing_token(next, FIRST_RAISED_OFFSET),
            None,
            "{previous}"
        );
    }
    let revisions: Vec<u64> = txn.conditions.iter().map(|c| c.revision).collect();
    assert_eq!(revisions, [0, 40], "both keys are conditions");
    assert!(matches!(&txn.writes[0], Write::Put { lease: Some(12), .. }));
    assert!(
        matches!(&txn.writes[1], Write::Put { lease: None, .. }),
        "the term outlives the lease"
    );

    let ttl = Micros::secs(8);
    let mut lease = ControllerLease { id: Some(1), ..ControllerLease::default() };
    lease.extend(Micros::secs(100), ttl);
    assert!(lease.is_valid(Micros::secs(107)));
    assert!(!lease.is_valid(Micros::millis(107_950)), "clock drift and margin are subtracted");
    lease.extend(Micros::secs(90), ttl);
    assert!(lease.is_valid(Micros::secs(107)), "an older answer does not shorten it");
    lease.expire(Micros::secs(100));
    assert!(!lease.is_valid(Micros::secs(101)));

    for shards in 1..6 {
        let mut counts = vec![0; shards];
        for n in 0..600 {
            counts[shard::shard_of_machine(&format!("vm-{n:06}"), shards)] += 1;
        }
        let even = 600 / shards;
        assert!(counts.iter().all(|c| *c > even / 2 && *c < even * 2), "{counts:?}");
    }
}

/// The maximum lag of cancellations and the duration of the controller lease follow from the
/// workers' lease and the time within which a cancellation must take effect.
#[test]
fn controller_lease_and_cancellation_lag() {
    // lease_s, cancel_s, requested lease in ms, maximum lag in whole seconds, lease in use in ms,
    // whether it is short enough.
    let table = [
        (22.0, 52.0, 10_000, 26, 10_000, true),
        (26.5, 56.5, 10_000, 26, 10_000, true),
        (45.0, 70.0, 10_000, 21, 10_000, true),
        (45.0, 70.0, 30_000, 21, 21_954, true),
        (45.0, 54.0, 10_000, 5, 5_954, true),
        // No lease is short enough: the shortest that works is used, with a warning.
        (45.0, 50.0, 10_000, 1, 2_000, false),
        (45.0, 40.0, 10_000, 0, 2_000, false),
        (22.0, 52.0, 1_500, 26, 1_500, true),
    ];
    for (lease_s, cancel_s, requested, max_lag_s, used, short_enough) in table {
        let workers = Workers { heartbeat_interval_s: 3.0, lease_s, cancel_s };
        assert_eq!(
            cancellation::max_cancellation_lag(&workers).as_millis() / 1_000,
            max_lag_s,
            "{workers:?}"
        );
        let bounded = cancellation::bounded_lease(Micros::millis(requested), &workers);
        let got = (bounded.duration.as_millis(), bounded.is_short_enough);
        assert_eq!(got, (used, short_enough), "{workers:?}, {requested} ms requested");
    }
}
