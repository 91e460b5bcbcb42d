//! Machines that are rented and returned, and how long tasks run.

use millethold::controller::autoscaler::fleet::Fleet;
use millethold::controller::autoscaler::offer::{FreeCapacity, MachineOffer};
use millethold::controller::autoscaler::scale_out::{self, Offers, ScaleOutPlan};
use millethold::controller::scheduler::estimate::Estimates;
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
    // First listed at 100 s. Asked at, listed again, counted as gone.
    let table = [
        (s(110), false, false),
        (s(120), false, false),
        (s(121), false, true),
        (s(121), true, false),
        (s(500), false, true),
    ];
    for (asked, again, want) in table {
        let mut autoscaler = Fleet::default();
        autoscaler.apply_list(s(100), s(99), &[listed("vm-1", 50.0)], lag);
        let list = if again { vec![listed("vm-1", 70.0)] } else { Vec::new() };
        let gone = autoscaler.apply_list(asked, asked, &list, lag);
        assert_eq!(!gone.is_empty(), want, "asked at {asked:?}, listed {again}");
    }
    // Rented and never listed: a lagging list says nothing of it.
    let mut autoscaler = Fleet::default();
    autoscaler.apply_list(s(100), s(99), &[listed("vm-1", 5.0)], lag);
    autoscaler.machines.get_mut("vm-1").expect("just listed").first_listed_at = None;
    assert!(autoscaler.apply_list(s(400), s(400), &[], lag).is_empty());
}

#[test]
fn scale_out_requests() {
    let kind = |name: &str, cpus, price, spot_price| MachineType {
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
        [kind("small", 4.0, 1.0, 0.5), kind("big", 8.0, 2.2, 1.1)]
            .into_iter()
            .map(|t| (t.name.clone(), t))
            .collect();
    let wait = |tasks, cpus, spot, zone: Option<&str>| Demand {
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
    let room = |cpus: f64, spot| FreeCapacity {
        machine_type: "small".into(),
        zone: "a".into(),
        spot,
        free: Resources::new(cpus, 0.0, 16.0),
    };
    // What waits, what is free, tasks left without room.
    let table = [
        (vec![wait(4, 1.0, true, None)], vec![room(4.0, true)], 0),
        (vec![wait(5, 1.0, true, None)], vec![room(4.0, true)], 1),
        (vec![wait(4, 1.0, false, None)], vec![room(4.0, true)], 4),
        (vec![wait(4, 1.0, true, Some("b"))], vec![room(4.0, true)], 4),
        (vec![wait(2, 1.0, true, None), wait(1, 4.0, true, None)], vec![room(4.0, true)], 2),
    ];
    for (demand, mut rooms, want) in table {
        let left: u32 = scale_out::unmet_demand(&demand, &mut rooms).iter().map(|d| d.tasks).sum();
        assert_eq!(left, want, "{demand:?}");
    }
    let mut refused = BTreeMap::new();
    let now = Micros::secs(9);
    let request = |demand: &[Demand], refused: &BTreeMap<MachineOffer, Micros>| {
        let offers = Offers { machine_types: &types, exhausted_until: refused, now };
        scale_out::plan_scale_out(demand, offers, &BTreeMap::new())
    };
    let send_request = |d: Demand, refused: &BTreeMap<MachineOffer, Micros>| request(&[d], refused);
    let offer =
        |t: &str, z: &str, spot| MachineOffer { machine_type: t.into(), zone: z.into(), spot };
    let plan = |offer, count| ScaleOutPlan { offer, count };
    assert_eq!(
        send_request(wait(9, 1.0, true, None), &refused),
        Some(plan(offer("small", "a", true), 3))
    );
    assert_eq!(
        send_request(wait(1, 8.0, false, Some("b")), &refused),
        Some(plan(offer("big", "b", false), 1))
    );
    assert_eq!(send_request(wait(1, 9.0, true, None), &refused), None);
    // Shapes that the same kind serves best are rented for together: 15 and 20.
    let both = [wait(60, 1.0, true, None), wait(20, 4.0, true, None)];
    let got = request(&both, &refused);
    assert_eq!(got, Some(plan(offer("small", "a", true), 12)), "a third of 35");
    refused.insert(offer("small", "a", true), now + Micros(1));
    assert_eq!(
        send_request(wait(1, 1.0, true, None), &refused),
        Some(plan(offer("small", "b", true), 1))
    );
    refused.insert(offer("small", "a", true), now);
    assert_eq!(
        send_request(wait(1, 1.0, true, None), &refused),
        Some(plan(offer("small", "a", true), 1))
    );
}

#[test]
fn estimates() {
    // Ratios learnt, correction.
    let table = [
        (vec![], 1.0),
        (vec![2.0; 4], 1.0),
        (vec![2.0; 5], 2.0),
        (vec![1.0, 1.0, 1.0, 9.0, 9.0], 1.0),
        (vec![0.001; 9], 0.1),
    ];
    for (ratios, want) in table {
        let mut e = Estimates::default();
        for r in &ratios {
            e.record_ratio("c", *r);
        }
        assert_eq!(e.correction("c"), want, "{ratios:?}");
        assert_eq!(e.correction("another"), 1.0);
    }
    let mut e = Estimates::default();
    for r in [vec![1.0; 50], vec![3.0; 50]].concat() {
        e.record_ratio("c", r);
    }
    assert_eq!(e.correction("c"), 3.0, "what is long past does not count");
}
