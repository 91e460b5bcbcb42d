//! Grants of teams' limits.

use millethold::config::Team;
use millethold::controller::quota::amount::QuotaAmount;
use millethold::controller::quota::target_grant::{RankedDemand, unmet_demand};
use millethold::controller::quota::team_quota::TeamQuota;
use serde_json::{Value, json};

fn cpus_only(cpus: f64) -> QuotaAmount {
    QuotaAmount::new(cpus, 0.0)
}

fn quota(limit: f64, grants: &[(usize, f64)]) -> TeamQuota {
    let team = Team { name: "t".into(), cpus: 4.0, cpus_max: limit, gpus: 0.0, gpus_max: 0.0 };
    let mut q = TeamQuota::new(&team);
    let map: serde_json::Map<String, Value> =
        grants.iter().map(|(s, g)| (s.to_string(), json!([g, 0.0]))).collect();
    q.observe(&Value::Object(map), 1);
    q
}

#[test]
fn grants() {
    let need = |rank, cpus| RankedDemand { rank, amount: cpus_only(cpus) };
    // Limit, grants, used, own waits, others' lacks, wanted grant of shard 0.
    let table = [
        (30.0, vec![], 0.0, vec![need(2, 50.0)], vec![], 30.0),
        (30.0, vec![(1, 20.0)], 0.0, vec![need(2, 50.0)], vec![], 10.0),
        (30.0, vec![(1, 10.0)], 0.0, vec![need(2, 50.0)], vec![need(2, 25.0)], 10.0),
        (30.0, vec![(0, 12.0), (1, 18.0)], 4.0, vec![], vec![need(2, 5.0)], 4.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![], vec![need(2, 19.0)], 4.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![], vec![], 12.0),
        (30.0, vec![(0, 12.0), (1, 18.0)], 4.0, vec![need(3, 20.0)], vec![need(1, 5.0)], 4.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![need(1, 6.0)], vec![need(3, 19.0)], 10.0),
        // With plenty free, an equal part at once and nothing back.
        (30.0, vec![], 0.0, vec![need(2, 1.0)], vec![], 10.0),
        (30.0, vec![], 0.0, vec![need(2, 1.0)], vec![need(1, 22.0)], 8.0),
        (30.0, vec![(1, 10.0)], 0.0, vec![need(2, 50.0)], vec![need(2, 5.0)], 15.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![], vec![need(2, 5.0)], 12.0),
        (30.0, vec![(0, 30.0)], 10.0, vec![need(2, 40.0)], vec![need(2, 9.0)], 15.0),
        (30.0, vec![(0, 30.0)], 25.0, vec![need(2, 40.0)], vec![need(2, 9.0)], 25.0),
    ];
    for (limit, grants, used, waits, others, want) in table {
        let q = quota(limit, &grants);
        let got = q.target_grant(0, 3, cpus_only(used), &waits, &others).cpus;
        assert!((got - want).abs() < 1e-9, "{grants:?} {used} {waits:?} {others:?}: {got}");
        let granted = q.with_grant(0, cpus_only(got)).expect("within the limit");
        let sum: f64 =
            granted.as_object().expect("a map").values().filter_map(|v| v[0].as_f64()).sum();
        assert!(sum <= limit + 1e-6, "{sum} of {limit}");
    }
    let mut q = quota(30.0, &[(0, 12.0), (1, 18.0)]);
    assert!(q.with_grant(0, cpus_only(12.1)).is_none(), "past the limit");
    // A lowering under way counts at once, and until the key has changed.
    q.change_sent(0, cpus_only(5.0));
    assert_eq!(q.grant(0).cpus, 5.0);
    q.observe(&json!({"0": [12.0, 0.0], "1": [17.0, 0.0]}), 2);
    assert_eq!(q.grant(0).cpus, 12.0);
    // Two changes on one version, the first without an answer: either may be the one
    // that is carried out. A third that is refused changes nothing of that.
    q.change_sent(0, cpus_only(4.0));
    q.change_outcome_unknown();
    q.change_sent(0, cpus_only(8.0));
    assert_eq!(q.grant(0).cpus, 4.0);
    q.change_not_executed();
    assert_eq!((q.grant(0).cpus, q.change_in_flight()), (4.0, false));
    q.observe(&json!({"0": [12.0, 0.0], "1": [17.0, 0.0]}), 3);
    q.change_sent(0, cpus_only(8.0));
    q.change_not_executed();
    assert_eq!(q.grant(0).cpus, 12.0, "surely not carried out");
    assert!(quota(0.0, &[]).grant(0).cpus.is_infinite(), "0 means no limit");
    let rest = unmet_demand(cpus_only(6.0), &[need(3, 9.0), need(1, 4.0)]);
    assert_eq!(rest, [need(3, 7.0)], "the more urgent is served first");
}
