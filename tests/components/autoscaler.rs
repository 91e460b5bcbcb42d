//! Tests of the autoscaler's fleet and scale-out plans, and of task duration estimates.

use millethold::controller::autoscaler::fleet::Fleet;
use millethold::controller::autoscaler::machine_offer::{FreeCapacity, MachineOffer};
use millethold::controller::autoscaler::scale_out::{self, Offers, ScaleOutPlan};
use millethold::controller::scheduler::run_time_estimates::RunTimeEstimates;
use millethold::peer::Demand;
use millethold::resources::Resources;
use millethold::time::Micros;
use millethold::wire::{ListedMachine, MachineStage, MachineType};
use std::collections::BTreeMap;

fn listed(name: &str, age_s: f64) -> ListedMachine {
    ListedMachine {
        name: name.into(),
        address: String::new(),
        machine_type: "t4".into(),
        zone: "a".into(),
        spot: false,
        stage: MachineStage::Running,
        age_s,
    }
}

#[test]
fn machines_that_leave_the_list() {
    let lag = Micros::secs(10);
    let s = Micros::secs;
    // The machine is first listed at 100 s. When the list is requested again, whether it contains
    // the machine, whether the machine counts as gone.
    let table = [
        (s(110), false, false),
        (s(120), false, false),
        (s(121), false, true),
        (s(121), true, false),
        (s(500), false, true),
    ];
    for (requested_at, listed_again, want) in table {
        let mut fleet = Fleet::default();
        fleet.apply_list(s(100), s(99), &[listed("vm-1", 50.0)], lag);
        let list = if listed_again { vec![listed("vm-1", 70.0)] } else { Vec::new() };
        let gone = fleet.apply_list(requested_at, requested_at, &list, lag);
        assert_eq!(!gone.is_empty(), want, "requested at {requested_at:?}, listed {listed_again}");
    }
    // A machine that was rented but never listed is not gone: the list lags.
    let mut fleet = Fleet::default();
    fleet.apply_list(s(100), s(99), &[listed("vm-1", 5.0)], lag);
    fleet.machines.get_mut("vm-1").expect("just listed").first_listed_at = None;
    assert!(fleet.apply_list(s(400), s(400), &[], lag).is_empty());
}

#[test]
fn scale_out_requests() {
    let machine_type = |name: &str, cpus, price, spot_price| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    };
    let types: BTreeMap<String, MachineType> =
        [machine_type("small", 4.0, 1.0, 0.5), machine_type("big", 8.0, 2.2, 1.1)]
            .into_iter()
            .map(|t| (t.name.clone(), t))
            .collect();
    let demand = |tasks, cpus, spot, zone: Option<&str>| Demand {
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        types: Vec::new(),
        zone: zone.map(String::from),
        spot,
        rank: 2,
        beyond_guarantee: false,
    };
    let free = |cpus: f64, spot| FreeCapacity {
        machine_type: "small".into(),
        zone: "a".into(),
        spot,
        free: Resources::new(cpus, 0.0, 16.0),
    };
    // Demand, free capacity, number of tasks that remain without capacity.
    let table = [
        (vec![demand(4, 1.0, true, None)], vec![free(4.0, true)], 0),
        (vec![demand(5, 1.0, true, None)], vec![free(4.0, true)], 1),
        (vec![demand(4, 1.0, false, None)], vec![free(4.0, true)], 4),
        (vec![demand(4, 1.0, true, Some("b"))], vec![free(4.0, true)], 4),
        (vec![demand(2, 1.0, true, None), demand(1, 4.0, true, None)], vec![free(4.0, true)], 2),
    ];
    for (demands, mut free, want) in table {
        let unmet: u32 = scale_out::unmet_demand(&demands, &mut free).iter().map(|d| d.tasks).sum();
        assert_eq!(unmet, want, "{demands:?}");
    }
    let mut exhausted_until = BTreeMap::new();
    let now = Micros::secs(9);
    let plan_for_all = |demands: &[Demand], exhausted_until: &BTreeMap<MachineOffer, Micros>| {
        let offers = Offers { machine_types: &types, exhausted_until, now };
        scale_out::plan_scale_out(demands, offers, &BTreeMap::new())
    };
    let plan_for = |demand: Demand, exhausted_until: &BTreeMap<MachineOffer, Micros>| {
        plan_for_all(&[demand], exhausted_until)
    };
    let offer =
        |t: &str, z: &str, spot| MachineOffer { machine_type: t.into(), zone: z.into(), spot };
    let plan = |offer, count| ScaleOutPlan { offer, count };
    assert_eq!(
        plan_for(demand(9, 1.0, true, None), &exhausted_until),
        Some(plan(offer("small", "a", true), 3))
    );
    assert_eq!(
        plan_for(demand(1, 8.0, false, Some("b")), &exhausted_until),
        Some(plan(offer("big", "b", false), 1))
    );
    assert_eq!(plan_for(demand(1, 9.0, true, None), &exhausted_until), None);
    // Demands for which the same offer is best are planned together: 15 and 20 machines.
    let both = [demand(60, 1.0, true, None), demand(20, 4.0, true, None)];
    let got = plan_for_all(&both, &exhausted_until);
    assert_eq!(got, Some(plan(offer("small", "a", true), 12)), "a third of 35");
    exhausted_until.insert(offer("small", "a", true), now + Micros(1));
    assert_eq!(
        plan_for(demand(1, 1.0, true, None), &exhausted_until),
        Some(plan(offer("small", "b", true), 1))
    );
    exhausted_until.insert(offer("small", "a", true), now);
    assert_eq!(
        plan_for(demand(1, 1.0, true, None), &exhausted_until),
        Some(plan(offer("small", "a", true), 1))
    );
}

#[test]
fn duration_estimates() {
    // Recorded ratios of actual to expected duration, resulting correction.
    let table = [
        (vec![], 1.0),
        (vec![2.0; 4], 1.0),
        (vec![2.0; 5], 2.0),
        (vec![1.0, 1.0, 1.0, 9.0, 9.0], 1.0),
        (vec![0.001; 9], 0.1),
    ];
    for (ratios, want) in table {
        let mut e = RunTimeEstimates::default();
        for r in &ratios {
            e.record_ratio("c", *r);
        }
        assert_eq!(e.correction("c"), want, "{ratios:?}");
        assert_eq!(e.correction("another"), 1.0);
    }
    let mut e = RunTimeEstimates::default();
    for r in [vec![1.0; 50], vec![3.0; 50]].concat() {
        e.record_ratio("c", r);
    }
    assert_eq!(e.correction("c"), 3.0, "old ratios do not count");
}
