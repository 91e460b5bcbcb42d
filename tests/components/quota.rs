//! Tests of quota grants.

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
    let mut team_quota = TeamQuota::new(&team);
    let map: serde_json::Map<String, Value> =
        grants.iter().map(|(s, g)| (s.to_string(), json!([g, 0.0]))).collect();
    team_quota.observe(&Value::Object(map), 1);
    team_quota
}

#[test]
fn target_grants_and_changes() {
    let demand = |rank, cpus| RankedDemand { rank, amount: cpus_only(cpus) };
    // Limit, grants by shard, use of shard 0, its demand, unmet demand of other shards, target
    // grant of shard 0.
    let table = [
        (30.0, vec![], 0.0, vec![demand(2, 50.0)], vec![], 30.0),
        (30.0, vec![(1, 20.0)], 0.0, vec![demand(2, 50.0)], vec![], 10.0),
        (30.0, vec![(1, 10.0)], 0.0, vec![demand(2, 50.0)], vec![demand(2, 25.0)], 10.0),
        (30.0, vec![(0, 12.0), (1, 18.0)], 4.0, vec![], vec![demand(2, 5.0)], 4.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![], vec![demand(2, 19.0)], 4.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![], vec![], 12.0),
        (30.0, vec![(0, 12.0), (1, 18.0)], 4.0, vec![demand(3, 20.0)], vec![demand(1, 5.0)], 4.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![demand(1, 6.0)], vec![demand(3, 19.0)], 10.0),
        // While much of the limit is unassigned, shard 0 is granted an equal share at once and
        // returns nothing.
        (30.0, vec![], 0.0, vec![demand(2, 1.0)], vec![], 10.0),
        (30.0, vec![], 0.0, vec![demand(2, 1.0)], vec![demand(1, 22.0)], 8.0),
        (30.0, vec![(1, 10.0)], 0.0, vec![demand(2, 50.0)], vec![demand(2, 5.0)], 15.0),
        (30.0, vec![(0, 12.0)], 4.0, vec![], vec![demand(2, 5.0)], 12.0),
        (30.0, vec![(0, 30.0)], 10.0, vec![demand(2, 40.0)], vec![demand(2, 9.0)], 15.0),
        (30.0, vec![(0, 30.0)], 25.0, vec![demand(2, 40.0)], vec![demand(2, 9.0)], 25.0),
    ];
    for (limit, grants, used, own, others, want) in table {
        let team_quota = quota(limit, &grants);
        let got = team_quota.target_grant(0, 3, cpus_only(used), &own, &others).cpus;
        assert!((got - want).abs() < 1e-9, "{grants:?} {used} {own:?} {others:?}: {got}");
        let granted = team_quota.with_grant(0, cpus_only(got)).expect("within the limit");
        let sum: f64 =
            granted.as_object().expect("a map").values().filter_map(|v| v[0].as_f64()).sum();
        assert!(sum <= limit + 1e-6, "{sum} of {limit}");
    }
    let mut team_quota = quota(30.0, &[(0, 12.0), (1, 18.0)]);
    assert!(team_quota.with_grant(0, cpus_only(12.1)).is_none(), "past the limit");
    // A change in flight that lowers the grant applies at once, until the key's revision changes.
    team_quota.change_sent(0, cpus_only(5.0));
    assert_eq!(team_quota.grant(0).cpus, 5.0);
    team_quota.observe(&json!({"0": [12.0, 0.0], "1": [17.0, 0.0]}), 2);
    assert_eq!(team_quota.grant(0).cpus, 12.0);
    // Two changes at one revision, the first with an unknown outcome: either may be the one that is
    // executed. Refusal of the second does not change that.
    team_quota.change_sent(0, cpus_only(4.0));
    team_quota.change_outcome_unknown();
    team_quota.change_sent(0, cpus_only(8.0));
    assert_eq!(team_quota.grant(0).cpus, 4.0);
    team_quota.change_not_executed();
    assert_eq!((team_quota.grant(0).cpus, team_quota.change_in_flight()), (4.0, false));
    team_quota.observe(&json!({"0": [12.0, 0.0], "1": [17.0, 0.0]}), 3);
    team_quota.change_sent(0, cpus_only(8.0));
    team_quota.change_not_executed();
    assert_eq!(team_quota.grant(0).cpus, 12.0, "definitely not executed");
    assert!(quota(0.0, &[]).grant(0).cpus.is_infinite(), "0 means no limit");
    let unmet = unmet_demand(cpus_only(6.0), &[demand(3, 9.0), demand(1, 4.0)]);
    assert_eq!(unmet, [demand(3, 7.0)], "the more urgent demand is met first");
}
