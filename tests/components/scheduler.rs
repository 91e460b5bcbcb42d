//! Tests of placement: image locality, the index of free capacity, and the image cache index.

use millethold::config::Options;
use millethold::controller::scheduler::capacity::{
    ClusterCapacity, MachineCapacity, MachineId, PoolKey, ReservedTask,
};
use millethold::controller::scheduler::image_cache::{CachedOn, ImageCacheIndex};
use millethold::controller::scheduler::image_locality;
use millethold::peer::Demand;
use millethold::resources::Resources;
use millethold::time::Micros;
use millethold::wire::WorkerIncarnation;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

#[test]
fn image_locality_slack() {
    let o = Options::default();
    for (gb, want) in [(0.0, 0), (0.99, 0), (1.0, 1), (3.9, 1), (4.0, 2), (12.0, 4), (500.0, 4)] {
        assert_eq!(image_locality::slack(&o, gb), want, "{gb} GB");
    }
    // Load of the least loaded machine, load of a machine with the image, slack, whether the latter
    // is preferred.
    let table =
        [(1, 1, 0, true), (1, 2, 0, false), (1, 2, 1, true), (1, 5, 4, true), (1, 6, 4, false)];
    for (least_loaded, cached, slack, want) in table {
        assert_eq!(
            image_locality::is_cached_machine_preferred(least_loaded, cached, slack),
            want,
            "{least_loaded} {cached} {slack}"
        );
    }
    assert!(image_locality::is_cached_machine_preferred(u32::MAX, u32::MAX, u32::MAX));
}

/// The capacity indexes agree with a scan of all machines after any sequence of changes.
#[test]
fn capacity_indexes() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut capacity = ClusterCapacity::default();
    let mut reference: BTreeMap<String, (PoolKey, MachineCapacity)> = BTreeMap::new();
    let reserved_task = |rank, cpus: f64, stopping| ReservedTask {
        rank,
        team: "t".into(),
        resources: Resources::new(cpus, 0.0, cpus * 2.0),
        job: "j-1".into(),
        index: 0,
        attempt: 1,
        stopping,
        placed_at: Micros::ZERO,
        checkpoint_s: 0.0,
        expected_s: 10.0,
    };
    for step in 0..3_000 {
        let name = format!("vm-{:02}", rng.random_range(0..40));
        let key = PoolKey {
            machine_type: "m".into(),
            zone: if name.ends_with('3') { "a" } else { "b" }.into(),
            spot: name.ends_with('4'),
        };
        if rng.random_range(0..10) == 0 {
            capacity.set(&name, None);
            reference.remove(&name);
        } else if rng.random_range(0..3) == 0 || !reference.contains_key(&name) {
            let mut machine_capacity = MachineCapacity::new(
                name.as_str().into(),
                WorkerIncarnation(1),
                name.ends_with('5'),
                Resources::new(4.0, 0.0, 16.0),
            );
            for _ in 0..rng.random_range(0..4) {
                machine_capacity.reserve(reserved_task(
                    rng.random_range(0..4),
                    1.0,
                    rng.random_range(0..3) == 0,
                ));
            }
            capacity.set(&name, Some((key.clone(), machine_capacity.clone())));
            reference.insert(name, (key, machine_capacity));
        } else if let (Some(id), Some((_, machine_capacity))) =
            (capacity.id(&name), reference.get_mut(&name))
            && machine_capacity.free.cpus >= 1.0
        {
            capacity.change(id, |s| s.reserve(reserved_task(1, 1.0, false)));
            machine_capacity.reserve(reserved_task(1, 1.0, false));
        }
        let spot = step % 2 == 0;
        let pools = capacity.pools(|k| spot || !k.spot);
        let needed = [Resources::new(1.0, 0.0, 1.0), Resources::new(4.0, 0.0, 12.0)][step % 2];
        let fitting: Vec<&MachineCapacity> = reference
            .values()
            .filter(|(k, s)| (spot || !k.spot) && s.free.tasks_that_fit(&needed) > 0)
            .map(|(_, s)| s)
            .collect();
        let load = |s: &MachineCapacity| (s.tasks.len(), s.led_by_peer, -(s.free.cpus as i64));
        let machine = |id: Option<MachineId>| id.and_then(|id| capacity.get(id));
        let least_loaded = machine(capacity.least_loaded(&pools, &needed, |_, _| true)).map(load);
        assert_eq!(least_loaded, fitting.iter().map(|s| load(s)).min(), "step {step}");
        let ids: Vec<MachineId> = reference.keys().filter_map(|n| capacity.id(n)).collect();
        let least_loaded_among =
            machine(capacity.least_loaded_among(ids.iter(), &pools, &needed, |_, _| true))
                .map(load);
        assert_eq!(least_loaded_among, least_loaded, "step {step}");
        let best_fit =
            machine(capacity.best_fit(&pools, &needed, |_, _| true)).map(|s| s.free.cpus);
        assert_eq!(best_fit, fitting.iter().map(|s| s.free.cpus).reduce(f64::min), "step {step}");
        let best_fit_among =
            machine(capacity.best_fit_among(ids.iter(), &pools, &needed, |_, _| true));
        assert_eq!(best_fit_among.map(|s| s.free.cpus), best_fit, "step {step}");
        let tasks = || reference.values().flat_map(|(_, s)| &s.tasks).filter(|b| !b.stopping);
        assert_eq!(capacity.tasks_below(1) as usize, tasks().filter(|b| b.rank > 1).count());
        assert_eq!((capacity.len(), capacity.is_empty()), (reference.len(), reference.is_empty()));
    }
    // A machine has capacity for a large task once enough of its tasks have ended.
    let mut machine_capacity = MachineCapacity::new(
        "vm-x".into(),
        WorkerIncarnation(1),
        false,
        Resources::new(4.0, 0.0, 16.0),
    );
    for (cpus, expected_s) in [(1.0, 50.0), (1.0, 20.0), (1.0, 90.0)] {
        machine_capacity.reserve(ReservedTask { expected_s, ..reserved_task(2, cpus, false) });
    }
    let at = Micros::secs(10);
    for (cpus, want) in [(1.0, 0.0), (2.0, 10.0), (3.0, 40.0), (4.0, 80.0)] {
        assert_eq!(
            machine_capacity.time_until_available(at, &Resources::new(cpus, 0.0, 1.0)),
            Some(want),
            "{cpus} CPUs"
        );
    }
    assert_eq!(machine_capacity.time_until_available(at, &Resources::new(5.0, 0.0, 1.0)), None);
    // At 25 s the task expected to take 20 s is overdue by 5 s. It is then expected to need another
    // half of its expected duration, 10 s.
    assert_eq!(
        machine_capacity.time_until_available(Micros::secs(25), &Resources::new(2.0, 0.0, 1.0)),
        Some(10.0)
    );

    // Capacity that is held for other shards is unavailable until the holds are released.
    let d = Demand { tasks: 500, cpus: 1.0, spot: true, ..Demand::default() };
    assert!(capacity.has_capacity_for(&d));
    capacity.hold(&d);
    assert!(!capacity.has_capacity_for(&d));
    capacity.release_holds();
    assert!(capacity.has_capacity_for(&d));
}

#[test]
fn image_index() {
    let age = Micros::secs(5_400);
    let mut index = ImageCacheIndex::new(3, age);
    let t = Micros::secs(10);
    index.record(t, "img", "m1", WorkerIncarnation(1));
    assert!(index.contains(t, "img", "m1", WorkerIncarnation(1)));
    assert!(index.contains(t + age, "img", "m1", WorkerIncarnation(1)));
    assert!(!index.contains(t + age + Micros(1), "img", "m1", WorkerIncarnation(1)), "too old");
    assert!(
        !index.contains(t, "img", "m1", WorkerIncarnation(2)),
        "the machine is in another incarnation"
    );
    assert!(
        !index.contains(t, "img", "m2", WorkerIncarnation(1))
            && !index.contains(t, "other", "m1", WorkerIncarnation(1))
    );
    // Recording an entry again makes it the newest. The oldest entry is evicted first.
    index.record(t + Micros::secs(1), "img", "m2", WorkerIncarnation(1));
    index.record(t + Micros::secs(2), "img", "m3", WorkerIncarnation(1));
    index.record(t + Micros::secs(3), "img", "m1", WorkerIncarnation(1));
    index.record(t + Micros::secs(4), "img", "m4", WorkerIncarnation(1));
    assert_eq!(index.len(), 3);
    let now = t + Micros::secs(4);
    let cached_on: Vec<&str> = ["m1", "m2", "m3", "m4"]
        .into_iter()
        .filter(|m| index.contains(now, "img", m, WorkerIncarnation(1)))
        .collect();
    assert_eq!(cached_on, ["m1", "m3", "m4"]);
    let mut listed: Vec<_> = index.machines_with(now, "img").collect();
    listed.sort();
    assert_eq!(
        listed,
        ["m1", "m3", "m4"].map(|machine| CachedOn { machine, incarnation: WorkerIncarnation(1) })
    );
    assert_eq!(index.machines_with(now + age, "img").count(), 1, "too old");
}
