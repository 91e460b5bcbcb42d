//! Many machines, submissions, queries and tasks.

use crate::simulation::{Faults, Plan, World, until_done};

/// Some hundreds of machines, and more tasks than they can run at once.
#[test]
fn many_machines() {
    let blue = |at_s, tasks, cpus, run_s, urgency| {
        let plan = Plan::new(at_s, tasks, cpus, run_s);
        Plan { team: "blue", urgency, ..plan }
    };
    let plans = [
        blue(3, 900, 1.0, 8.0, "standard"),
        blue(4, 700, 1.0, 5.0, "standard"),
        blue(5, 60, 4.0, 10.0, "low"),
        blue(9, 40, 2.0, 6.0, "high"),
        blue(16, 500, 1.0, 4.0, "standard"),
        blue(22, 30, 2.0, 6.0, "high"),
    ];
    let table = [
        ("few writes", Faults { writes: Some(30.0), ..Faults::default() }),
        (
            "crashes, copies, deaf and hanging machines",
            Faults {
                crashes: vec![(14, 1), (24, 3), (40, 2)],
                back_ms: 300,
                copies: 0.05,
                held: 0.01,
                deaf: (0..20).map(|w| (w, 10, 45)).collect(),
                worker_cuts: (20..50).map(|w| (w, 12, 30, w % 2 == 0)).collect(),
                writes: Some(60.0),
                ..Faults::default()
            },
        ),
    ];
    for (name, faults) in table {
        let faults = Faults { machines: Some(240), ..faults };
        let world = until_done(name, 90, &plans, 240, &faults);
        assert!(world.starts >= 2_230, "{name}: only {} starts", world.starts);
    }
}

/// More submissions than changes: some are accepted together, and none of these is
/// lost when its shard changes hands before the job stands on its own.
#[test]
fn many_submissions() {
    let mut plans: Vec<Plan> =
        (0..90).map(|n| Plan::new(3 + n / 45, 1 + n as u32 % 2, 1.0, 4.0)).collect();
    plans[7].cancel_at_s = Some(9);
    plans[50].cancel_at_s = Some(12);
    let table = [
        ("quiet", Faults::default()),
        (
            "all crash at once and again",
            Faults { crashes: vec![(5, 3), (7, 1), (12, 3)], back_ms: 300, ..Faults::default() },
        ),
        (
            "lost answers, late transactions, crashes",
            Faults {
                crashes: vec![(6, 2), (9, 1)],
                back_ms: 3_000,
                lost: 0.1,
                late: 0.7,
                ..Faults::default()
            },
        ),
    ];
    for (name, faults) in table {
        for seed in 300..304 {
            let faults = Faults { writes: Some(20.0), ..faults.clone() };
            let world = until_done(name, seed, &plans, 400, &faults);
            let bundles = (0..3).map(|s| world.stored(&format!("w/{s}/_")));
            let ever: usize = bundles.map(|(_, ever)| ever).sum();
            assert!(ever > 0, "{name}, seed {seed}: none were accepted together");
            // By itself each would take one for its key, for its placement, for its
            // end if it is not the last, and for the key's removal.
            let changes = world.changed("w/");
            assert!(
                name != "quiet" || changes * 5 < 13 * plans.len(),
                "seed {seed}: {changes} changes"
            );
            let (left, _) = world.stored("w/");
            assert_eq!(left, 0, "{name}, seed {seed}: descriptions of jobs that are over stay");
        }
    }
}

/// Users ask many times as often, about more jobs than the key-value store has
/// requests: they are answered, by few calls, and never with an older state.
#[test]
fn status_query_storm() {
    let mut plans: Vec<Plan> =
        (0..60).map(|n| Plan { team: "blue", ..Plan::new(3 + n / 8, 3, 1.0, 9.0) }).collect();
    for n in (0..60).step_by(5) {
        plans[n].cancel_at_s = Some(18 + n as u64 / 4);
    }
    let storm = Faults { storm: Some((14, 44, 12)), reads: Some(60.0), ..Faults::default() };
    let table = [
        ("quiet", storm.clone()),
        (
            "crashes, lost answers",
            Faults {
                crashes: vec![(20, 1), (30, 2)],
                back_ms: 300,
                lost: 0.03,
                late: 0.7,
                ..storm.clone()
            },
        ),
        (
            // Nothing but the comparison tells a node of a cancellation elsewhere.
            "slow watches, controllers apart",
            Faults {
                slow_watches: 4_000,
                peer_resets: vec![(0, 1, 12, 50), (0, 2, 12, 50), (1, 2, 12, 50)],
                ..storm
            },
        ),
    ];
    for (name, faults) in table {
        for seed in 420..423 {
            let world = until_done(name, seed, &plans, 400, &faults);
            let (asked, answered) = (world.asked, world.answered);
            assert!(asked > 60 * 30, "{name}, seed {seed}: only {asked} questions");
            let share = if name == "quiet" { 98 } else { 70 };
            assert!(answered * 100 > asked * share, "{name}, {seed}: {answered} of {asked}");
            // Thirty seconds at the service's rate.
            let calls = world.calls;
            assert!(calls < 60 * 30, "{name}, seed {seed}: {calls} calls for {asked} questions");
        }
    }
}

/// A fleet of well over a thousand machines with little to do: what controllers
/// tell each other grows with what happens, not with the machines.
#[test]
fn large_fleet() {
    let machines = 1_300;
    let plan = |at_s, tasks| Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, 3.0) };
    let plans: Vec<Plan> = (0..10).map(|n| plan(20 + n * 4, 10)).collect();
    let faults = Faults { machines: Some(machines), ..Faults::default() };
    let mut world = World::new(330, &plans, faults);
    world.run_until(18);
    let (told, starts) = (world.told, world.starts);
    world.run_until(90);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(world.unfinished().is_empty(), "{:?}", world.unfinished());
    let (told, starts) = (world.told - told, world.starts - starts);
    assert_eq!(starts, 100, "each task starts once");
    // Wanted ahead, wanted, sent, fetching, running, ended, not wanted, gone:
    // to two peers each. All machines report 36 times meanwhile.
    assert!(told < starts * 2 * 15, "{told} machines were named for {starts} starts");
}

/// A guest's array of thousands of tiny tasks, over a crash: what is written and said
/// of it grows with its tasks, and what has ended is not kept until all has begun.
#[test]
fn large_job_array() {
    let tasks = 4_000;
    let blue = |at_s, tasks| Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, 1.0) };
    let mut urgent = blue(20, 20);
    urgent.urgency = "high";
    let plans = [Plan { urgency: "low", ..blue(4, tasks) }, urgent];
    let faults = Faults {
        machines: Some(200),
        writes: Some(60.0),
        crashes: vec![(14, 1)],
        back_ms: 300,
        ..Faults::default()
    };
    for seed in 450..451 {
        let world = until_done("a guest's array", seed, &plans, 300, &faults);
        let (changes, named) = (world.changed("w/"), world.named);
        assert!(changes < tasks as usize / 10, "seed {seed}: {changes} changes for {tasks} tasks");
        // To two peers each time that one of a machine's few tasks changes.
        let most = 17 * u64::from(tasks);
        assert!(named < most, "seed {seed}: {named} tasks named for {tasks}");
    }
}
