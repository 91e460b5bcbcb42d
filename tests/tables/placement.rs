//! Where a task is placed: the choice, the machines with room, the images.

use millethold::config::Options;
use millethold::controller::autoscaler;
use millethold::controller::image::ImageIndex;
use millethold::controller::place;
use millethold::controller::slots::{Booked, PoolKey, Slot, Slots};
use millethold::peer::Demand;
use millethold::time::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

#[test]
fn placement() {
    let o = Options::default();
    for (gb, want) in [(0.0, 0), (0.99, 0), (1.0, 1), (3.9, 1), (4.0, 2), (12.0, 4), (500.0, 4)] {
        assert_eq!(place::slack(&o, gb), want, "{gb} GB");
    }
    // Freest, holder, slack, whether the holder wins.
    let table =
        [(1, 1, 0, true), (1, 2, 0, false), (1, 2, 1, true), (1, 5, 4, true), (1, 6, 4, false)];
    for (freest, holder, slack, want) in table {
        assert_eq!(place::holder_wins(freest, holder, slack), want, "{freest} {holder} {slack}");
    }
    assert!(place::holder_wins(u32::MAX, u32::MAX, u32::MAX));
}

/// The indexes answer as a walk over all machines would, whatever has changed.
#[test]
fn slots() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut slots = Slots::default();
    let mut plain: BTreeMap<String, (PoolKey, Slot)> = BTreeMap::new();
    let booked = |rank, cpus: f64, stopping| Booked {
        rank,
        team: "t".into(),
        amount: [cpus, 0.0, cpus * 2.0],
        job: "j-1".into(),
        index: 0,
        attempt: 1,
        stopping,
        placed: Micros::ZERO,
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
            slots.set(&name, None);
            plain.remove(&name);
        } else if rng.random_range(0..3) == 0 || !plain.contains_key(&name) {
            let mut slot =
                Slot::new(name.as_str().into(), 1, name.ends_with('5'), [4.0, 0.0, 16.0]);
            for _ in 0..rng.random_range(0..4) {
                slot.book(booked(rng.random_range(0..4), 1.0, rng.random_range(0..3) == 0));
            }
            slots.set(&name, Some((key.clone(), slot.clone())));
            plain.insert(name, (key, slot));
        } else if let (Some(id), Some((_, slot))) = (slots.id(&name), plain.get_mut(&name))
            && slot.free[0] >= 1.0
        {
            slots.change(id, |s| s.book(booked(1, 1.0, false)));
            slot.book(booked(1, 1.0, false));
        }
        let spot = step % 2 == 0;
        let pools = slots.pools(|k| spot || !k.spot);
        let need = [[1.0, 0.0, 1.0], [4.0, 0.0, 12.0]][step % 2];
        let open: Vec<&Slot> = plain
            .values()
            .filter(|(k, s)| (spot || !k.spot) && autoscaler::fits(&s.free, &need) > 0)
            .map(|(_, s)| s)
            .collect();
        let load = |s: &Slot| (s.tasks.len(), s.foreign, -(s.free[0] as i64));
        let best = |id: Option<usize>| id.and_then(|id| slots.get(id));
        let freest = best(slots.freest(&pools, &need, |_, _| true)).map(load);
        assert_eq!(freest, open.iter().map(|s| load(s)).min(), "step {step}");
        let ids: Vec<usize> = plain.keys().filter_map(|n| slots.id(n)).collect();
        let least = best(slots.least(ids.iter(), &pools, &need, |_, _| true)).map(load);
        assert_eq!(least, freest, "step {step}");
        let fullest = best(slots.fullest(&pools, &need, |_, _| true)).map(|s| s.free[0]);
        assert_eq!(fullest, open.iter().map(|s| s.free[0]).reduce(f64::min), "step {step}");
        let tightest = best(slots.tightest(ids.iter(), &pools, &need, |_, _| true));
        assert_eq!(tightest.map(|s| s.free[0]), fullest, "step {step}");
        let tasks = || plain.values().flat_map(|(_, s)| &s.tasks).filter(|b| !b.stopping);
        assert_eq!(slots.below(1) as usize, tasks().filter(|b| b.rank > 1).count());
        assert_eq!((slots.len(), slots.is_empty()), (plain.len(), plain.is_empty()));
    }
    // A machine has room for a large task once enough of its tasks have ended.
    let mut slot = Slot::new("vm-x".into(), 1, false, [4.0, 0.0, 16.0]);
    for (cpus, expected_s) in [(1.0, 50.0), (1.0, 20.0), (1.0, 90.0)] {
        slot.book(Booked { expected_s, ..booked(2, cpus, false) });
    }
    let at = Micros::secs(10);
    for (cpus, want) in [(1.0, 0.0), (2.0, 10.0), (3.0, 40.0), (4.0, 80.0)] {
        assert_eq!(slot.room_in(at, &[cpus, 0.0, 1.0]), Some(want), "{cpus} CPUs");
    }
    assert_eq!(slot.room_in(at, &[5.0, 0.0, 1.0]), None);
    // Overdue by five seconds: for half as long again as was expected.
    assert_eq!(slot.room_in(Micros::secs(25), &[2.0, 0.0, 1.0]), Some(10.0));

    // Room held for others is nobody else's, until it is given up.
    let d = Demand { tasks: 500, cpus: 1.0, spot: true, ..Demand::default() };
    assert!(slots.takes(&d));
    slots.hold(&d);
    assert!(!slots.takes(&d));
    slots.release_holds();
    assert!(slots.takes(&d));
}

#[test]
fn image_index() {
    let age = Micros::secs(5_400);
    let mut index = ImageIndex::new(3, age);
    let t = Micros::secs(10);
    index.note(t, "img", "m1", 1);
    assert!(index.holds(t, "img", "m1", 1));
    assert!(index.holds(t + age, "img", "m1", 1));
    assert!(!index.holds(t + age + Micros(1), "img", "m1", 1), "too old");
    assert!(!index.holds(t, "img", "m1", 2), "a machine that began anew");
    assert!(!index.holds(t, "img", "m2", 1) && !index.holds(t, "other", "m1", 1));
    // Noted again, an entry is young again, and the oldest goes first.
    index.note(t + Micros::secs(1), "img", "m2", 1);
    index.note(t + Micros::secs(2), "img", "m3", 1);
    index.note(t + Micros::secs(3), "img", "m1", 1);
    index.note(t + Micros::secs(4), "img", "m4", 1);
    assert_eq!(index.len(), 3);
    let now = t + Micros::secs(4);
    let held: Vec<&str> =
        ["m1", "m2", "m3", "m4"].into_iter().filter(|m| index.holds(now, "img", m, 1)).collect();
    assert_eq!(held, ["m1", "m3", "m4"]);
    let mut listed: Vec<_> = index.holders(now, "img").collect();
    listed.sort();
    assert_eq!(listed, [("m1", 1), ("m3", 1), ("m4", 1)]);
    assert_eq!(index.holders(now + age, "img").count(), 1, "too old");
}
