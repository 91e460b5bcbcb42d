//! Many machines, submissions, queries and tasks.

use crate::simulation::{Faults, Plan, World, run_until_done};

/// 240 machines, and more tasks than they can run at once.
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
        ("low write rate", Faults { write_rps: Some(30.0), ..Faults::default() }),
        (
            "crashes, heartbeat copies, unreachable and hanging machines",
            Faults {
                crashes: vec![(14, 1), (24, 3), (40, 2)],
                restart_ms: 300,
                heartbeat_copies: 0.05,
                command_delays: 0.01,
                inbound_cuts: (0..20).map(|w| (w, 10, 45)).collect(),
                worker_cuts: (20..50).map(|w| (w, 12, 30, w % 2 == 0)).collect(),
                write_rps: Some(60.0),
                ..Faults::default()
            },
        ),
    ];
    for (name, faults) in table {
        let faults = Faults { machines: Some(240), ..faults };
        let world = run_until_done(name, 90, &plans, 240, &faults);
        assert!(world.starts >= 2_230, "{name}: only {} starts", world.starts);
    }
}

/// Guards against the loss of jobs that were accepted in a batch, when their shard changes its
/// leader before they have keys of their own. Users submit more jobs per second than the key-value
/// store takes writes, so some are accepted in a batch.
#[test]
fn many_submissions() {
    let mut plans: Vec<Plan> =
        (0..90).map(|n| Plan::new(3 + n / 45, 1 + n as u32 % 2, 1.0, 4.0)).collect();
    plans[7].cancel_at_s = Some(9);
    plans[50].cancel_at_s = Some(12);
    let table = [
        ("no faults", Faults::default()),
        (
            "all crash at once and again",
            Faults { crashes: vec![(5, 3), (7, 1), (12, 3)], restart_ms: 300, ..Faults::default() },
        ),
        (
            "lost answers, late transactions, crashes",
            Faults {
                crashes: vec![(6, 2), (9, 1)],
                restart_ms: 3_000,
                lost_answers: 0.1,
                late_applied: 0.7,
                ..Faults::default()
            },
        ),
    ];
    for (name, faults) in table {
        for seed in 300..304 {
            let faults = Faults { write_rps: Some(20.0), ..faults.clone() };
            let world = run_until_done(name, seed, &plans, 400, &faults);
            let batches = (0..3).map(|s| world.count_keys(&format!("w/{s}/_")));
            let ever: usize = batches.map(|(_, ever)| ever).sum();
            assert!(ever > 0, "{name}, seed {seed}: no jobs were accepted in a batch");
            // A job with keys of its own takes one write each for its key, for its placement, for
            // its end if it is not the last, and for the removal of the key.
            let writes = world.count_writes("w/");
            assert!(
                name != "no faults" || writes * 5 < 13 * plans.len(),
                "seed {seed}: {writes} writes for {} jobs",
                plans.len()
            );
            let (left, _) = world.count_keys("w/");
            assert_eq!(left, 0, "{name}, seed {seed}: chunks of ended jobs remain");
        }
    }
}

/// Users query twelve times as often as usual, with more queries per second than the key-value
/// store takes requests. They must get answers, with few calls to the store, and never an older
/// state.
#[test]
fn status_query_storm() {
    let mut plans: Vec<Plan> =
        (0..60).map(|n| Plan { team: "blue", ..Plan::new(3 + n / 8, 3, 1.0, 9.0) }).collect();
    for n in (0..60).step_by(5) {
        plans[n].cancel_at_s = Some(18 + n as u64 / 4);
    }
    let storm = Faults { query_storm: Some((14, 44, 12)), rps: Some(60.0), ..Faults::default() };
    let table = [
        ("no faults", storm.clone()),
        (
            "crashes, lost answers",
            Faults {
                crashes: vec![(20, 1), (30, 2)],
                restart_ms: 300,
                lost_answers: 0.03,
                late_applied: 0.7,
                ..storm.clone()
            },
        ),
        (
            // Only the comparison with the store shows a controller a cancellation elsewhere.
            "slow watches, peers cut",
            Faults {
                slow_watches: 4_000,
                peer_resets: vec![(0, 1, 12, 50), (0, 2, 12, 50), (1, 2, 12, 50)],
                ..storm
            },
        ),
    ];
    for (name, faults) in table {
        for seed in 420..423 {
            let world = run_until_done(name, seed, &plans, 400, &faults);
            let (queries, answered) = (world.storm_queries, world.storm_answers);
            assert!(queries > 60 * 30, "{name}, seed {seed}: only {queries} queries");
            let share = if name == "no faults" { 98 } else { 70 };
            assert!(
                answered * 100 > queries * share,
                "{name}, seed {seed}: only {answered} of {queries} queries were answered"
            );
            // The requests that the store takes in the thirty seconds of the storm.
            let calls = world.storm_kv_calls;
            assert!(calls < 60 * 30, "{name}, seed {seed}: {calls} calls for {queries} queries");
        }
    }
}

/// A fleet of 1,300 machines with few jobs: what controllers send each other must grow with the
/// number of changes, not with the number of machines.
#[test]
fn large_fleet() {
    let machines = 1_300;
    let plan = |at_s, tasks| Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, 3.0) };
    let plans: Vec<Plan> = (0..10).map(|n| plan(20 + n * 4, 10)).collect();
    let faults = Faults { machines: Some(machines), ..Faults::default() };
    let mut world = World::new(330, &plans, faults);
    world.run_until(18);
    let (entries_sent, starts) = (world.machine_entries_sent, world.starts);
    world.run_until(90);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(world.unfinished().is_empty(), "{:?}", world.unfinished());
    let (entries_sent, starts) = (world.machine_entries_sent - entries_sent, world.starts - starts);
    assert_eq!(starts, 100, "each task starts once");
    // Desired in advance, desired, sent, fetching, running, ended, not desired, removed: each
    // change is sent to two peers. Meanwhile each machine sends 36 heartbeats.
    assert!(
        entries_sent < starts * 2 * 15,
        "{entries_sent} machine entries were sent for {starts} starts"
    );
}

/// A low-priority array of thousands of short tasks, across a crash: writes and messages must grow
/// with its tasks, and ended tasks must not be kept until all have started.
#[test]
fn large_job_array() {
    let tasks = 4_000;
    let blue = |at_s, tasks| Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, 1.0) };
    let mut urgent = blue(20, 20);
    urgent.urgency = "high";
    let plans = [Plan { urgency: "low", ..blue(4, tasks) }, urgent];
    let faults = Faults {
        machines: Some(200),
        write_rps: Some(60.0),
        crashes: vec![(14, 1)],
        restart_ms: 300,
        ..Faults::default()
    };
    for seed in 450..451 {
        let world = run_until_done("a low-priority array", seed, &plans, 300, &faults);
        let (writes, task_entries) = (world.count_writes("w/"), world.task_entries_sent);
        assert!(writes < tasks as usize / 10, "seed {seed}: {writes} writes for {tasks} tasks");
        // The few tasks of a machine are sent to two peers each time that one of them changes.
        let max_entries = 17 * u64::from(tasks);
        assert!(
            task_entries < max_entries,
            "seed {seed}: {task_entries} task entries sent for {tasks} tasks"
        );
    }
}
