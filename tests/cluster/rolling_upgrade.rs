//! An upgrade: jobs that the earlier version had stored, members that are replaced one by
//! one, and pipelines as soon as the last is new. Before its turn a member has the settings
//! of before, without the lower limits; its code is this version's all along.

use crate::simulation::{Faults, LateWrites, Plan, World, judge};
use std::ops::Range;

/// When each member is replaced, and the first second in which all are new.
const REPLACED: [u64; 3] = [10, 14, 18];
const ALL_NEW: u64 = 20;

fn blue(at_s: u64, tasks: u32, run_s: f64) -> Plan {
    Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, run_s) }
}

fn after(plans: &mut Vec<Plan>, dependencies: &[usize], plan: Plan) -> usize {
    plans.push(Plan { dependencies: dependencies.to_vec(), ..plan });
    plans.len() - 1
}

/// Plans, and which of them the earlier version had accepted, with keys of their own and
/// in a batch.
struct Day {
    plans: Vec<Plan>,
    own: Range<usize>,
    batched: Range<usize>,
}

fn day() -> Day {
    let mut plans: Vec<Plan> =
        (0..6).map(|n| blue(3, 3 + 8 * n, 6.0 + 3.0 * f64::from(n))).collect();
    // In the middle of its parts as the limits fall.
    plans.push(blue(3, 240, 4.0));
    let own = 0..plans.len();
    plans.extend((0..6).map(|n| blue(3, 1 + n % 2, 5.0 + 4.0 * f64::from(n))));
    let batched = own.end..plans.len();
    // Accepted by whoever is there, old or new.
    plans.extend((4..ALL_NEW).step_by(2).map(|at_s| blue(at_s, 4, 5.0)));
    // Users may name any of these as soon as all are new.
    let earlier = [own.start + 1, own.end - 1, batched.start, batched.end + 2];
    for n in 0..4 {
        let root = earlier[n];
        let second = after(&mut plans, &[root], blue(ALL_NEW, 3, 4.0));
        let third = after(&mut plans, &[second, earlier[(n + 1) % 4]], blue(ALL_NEW, 2, 3.0));
        after(&mut plans, &[third], Plan { urgency: "high", ..blue(ALL_NEW + 1, 2, 2.0) });
        let long = after(&mut plans, &[], blue(ALL_NEW, 2, 40.0));
        let waits = after(&mut plans, &[long, root], blue(ALL_NEW, 2, 2.0));
        after(&mut plans, &[waits], blue(ALL_NEW + 1, 2, 2.0));
        plans[long].cancel_at_s = Some(ALL_NEW + 4 + n as u64);
    }
    Day { plans, own, batched }
}

/// Plays an upgrade with a seed; what went wrong, if anything.
fn run(name: &str, seed: u64, faults: &Faults) -> Option<String> {
    let Day { plans, own, batched } = day();
    let faults = Faults {
        machines: Some(24),
        back_ms: 1_000,
        lowered: Some((REPLACED[0], ALL_NEW + 6)),
        ..faults.clone()
    };
    let mut world = World::new(seed, &plans, faults);
    for job in own {
        world.store_earlier(&[job], false);
    }
    world.store_earlier(&batched.collect::<Vec<usize>>(), true);
    for (n, at_s) in REPLACED.into_iter().enumerate() {
        world.replace((n + seed as usize) % REPLACED.len(), at_s);
    }
    world.run_out(400);
    match judge(name, seed, world) {
        Err(wrong) => Some(wrong),
        Ok(world) if world.waited_starts < 20 || world.cancelled_with_others() < 8 => {
            let (starts, cancelled) = (world.waited_starts, world.cancelled_with_others());
            Some(format!(
                "{name}, seed {seed}: {starts} starts after others, {cancelled} cancelled"
            ))
        }
        Ok(_) => None,
    }
}

#[test]
fn rolling_upgrades() {
    let crash = |at_s, count| Faults { crashes: vec![(at_s, count)], ..Faults::default() };
    let late = |from, to| LateWrites { from, to, share: 0.2, at_once: false };
    let table = [
        ("nothing else", Faults::default()),
        ("one ends as pipelines are handed in", crash(ALL_NEW, 1)),
        ("two end as jobs are called off", crash(ALL_NEW + 4, 2)),
        ("all end as the limits fall", crash(ALL_NEW + 6, 3)),
        (
            "transactions late all along",
            Faults { late_writes: vec![late(8, 40)], ..crash(ALL_NEW + 2, 1) },
        ),
        (
            "no state service right after the last replacement",
            Faults { outages: vec![(ALL_NEW, ALL_NEW + 5)], ..Faults::default() },
        ),
        ("few changes a second", Faults { writes: Some(40.0), ..crash(ALL_NEW + 3, 1) }),
        (
            "one cut from its peers, frames lost",
            Faults {
                peer_cuts: vec![(0, 1, 12, 30), (0, 2, 12, 30)],
                dropped: 0.1,
                ..Faults::default()
            },
        ),
    ];
    let runs = table.iter().flat_map(|(name, t)| (950..953).filter_map(move |s| run(name, s, t)));
    let wrong: Vec<String> = runs.collect();
    assert!(wrong.is_empty(), "{} runs:\n{}", wrong.len(), wrong.join("\n"));
}
