//! Crashes, frozen controllers, outages of the key-value store and lost machines.

use super::{preempting_plans, run_plans};
use crate::simulation::{Faults, Plan, run_until_done};

/// Guards against a controller that acts on an expired lease after it was frozen. It is frozen for
/// longer or shorter than its lease while its clocks run on, and then handles everything that has
/// arrived meanwhile.
#[test]
fn frozen_controllers() {
    let table = [
        ("longer than the lease", vec![(0, 12, 45)], vec![], None),
        ("shorter than the lease", vec![(1, 12, 19), (2, 30, 38), (0, 48, 55)], vec![], None),
        (
            "two controllers, and the third crashes",
            vec![(0, 14, 50), (1, 20, 52)],
            vec![(30, 1)],
            None,
        ),
        // Only its own clock shows that another controller leads its shard by now.
        ("then only its workers reach it", vec![(0, 12, 24)], vec![], Some((12, 90))),
    ];
    for (name, frozen, crashes, isolated) in table {
        let faults = Faults {
            frozen,
            crashes,
            restart_ms: 300,
            heartbeat_copies: 0.05,
            kv_store_cuts: isolated.iter().map(|(f, t)| (0, *f, *t)).collect(),
            peer_cuts: isolated
                .iter()
                .flat_map(|(f, t)| [(0, 1, *f, *t), (0, 2, *f, *t)])
                .collect(),
            ..Faults::default()
        };
        run_plans(name, 310..314, 400, &faults);
        run_until_done(name, 315, &preempting_plans(), 600, &faults);
    }
}

/// A third of the machines is terminated at once while one controller is down. Meanwhile all
/// controllers crash and restart within a fraction of a second.
#[test]
fn many_machines_lost() {
    let blue = |at_s, tasks, cpus, run_s| {
        let plan = Plan::new(at_s, tasks, cpus, run_s);
        Plan { team: "blue", ..plan }
    };
    let plans = [blue(3, 500, 1.0, 8.0), blue(6, 400, 1.0, 12.0), blue(20, 60, 4.0, 9.0)];
    let faults = Faults {
        machines: Some(150),
        write_rps: Some(60.0),
        terminated: (0..50).map(|w| (16, w)).collect(),
        worker_cuts: (50..90).map(|w| (w, 17, 60, w % 3 == 0)).collect(),
        crashes: vec![(15, 1), (18, 3), (19, 2)],
        restart_ms: 300,
        heartbeat_copies: 0.05,
        ..Faults::default()
    };
    for seed in [320, 321] {
        let world = run_until_done("a third of the machines lost", seed, &plans, 300, &faults);
        assert!(world.starts >= 960, "seed {seed}: only {} starts", world.starts);
    }
}

#[test]
fn controller_crashes() {
    let table = [
        ("one, late restart", vec![(12, 1), (45, 1)], 6_000),
        ("one, immediate restart", vec![(12, 1), (22, 1), (45, 1)], 200),
        ("two", vec![(15, 2), (50, 2)], 3_000),
        ("all", vec![(14, 3), (48, 3), (75, 3)], 2_000),
        ("all, immediate restart", vec![(14, 3), (28, 3)], 150),
    ];
    for (name, crashes, restart_ms) in table {
        let faults = Faults { crashes, restart_ms, ..Faults::default() };
        run_plans(name, 10..14, 400, &faults);
    }
}

#[test]
fn store_outages() {
    let table = [
        ("outage", Faults { outages: vec![(12, 22), (50, 70)], ..Faults::default() }),
        (
            "one controller refused",
            Faults { kv_store_cuts: vec![(0, 12, 52)], ..Faults::default() },
        ),
        (
            "lost answers, late transactions",
            Faults { lost_answers: 0.05, late_applied: 0.7, ..Faults::default() },
        ),
        (
            "lost answers and crashes",
            Faults {
                lost_answers: 0.05,
                late_applied: 0.9,
                crashes: vec![(15, 2), (30, 3), (60, 1)],
                restart_ms: 300,
                ..Faults::default()
            },
        ),
        (
            "outage in which all crash",
            Faults {
                outages: vec![(20, 32)],
                crashes: vec![(25, 3)],
                restart_ms: 2_000,
                ..Faults::default()
            },
        ),
    ];
    for (name, faults) in table {
        run_plans(name, 20..24, 400, &faults);
    }
}

#[test]
fn network_and_machine_faults() {
    let table = [
        (
            "peers cut",
            Faults { peer_cuts: vec![(0, 1, 10, 50), (1, 2, 30, 60)], ..Faults::default() },
        ),
        (
            "a worker cut off, two workers hanging",
            Faults {
                worker_cuts: vec![(0, 10, 30, false), (1, 15, 22, true), (2, 40, 80, true)],
                ..Faults::default()
            },
        ),
        ("direct commands delayed", Faults { command_delays: 0.2, ..Faults::default() }),
        (
            "delayed commands, cuts and crashes",
            Faults {
                command_delays: 0.2,
                worker_cuts: vec![(0, 10, 30, false), (1, 15, 30, true)],
                crashes: vec![(20, 1), (40, 2)],
                restart_ms: 1_000,
                lost_answers: 0.02,
                late_applied: 0.5,
                ..Faults::default()
            },
        ),
        (
            "machines terminated, one fails every task",
            Faults {
                terminated: vec![(16, 4), (24, 1)],
                failing_workers: [3].into(),
                ..Faults::default()
            },
        ),
        (
            "one controller cut from the store and its peers",
            Faults {
                kv_store_cuts: vec![(1, 15, 45)],
                peer_cuts: vec![(1, 0, 15, 45), (1, 2, 15, 45)],
                command_delays: 0.1,
                ..Faults::default()
            },
        ),
    ];
    for (name, faults) in table {
        run_plans(name, 40..44, 500, &faults);
    }
    let copies = Faults {
        heartbeat_copies: 0.3,
        crashes: vec![(25, 1), (33, 3), (60, 2)],
        restart_ms: 300,
        worker_cuts: vec![(0, 18, 40, false), (2, 50, 66, true)],
        terminated: vec![(28, 4)],
        ..Faults::default()
    };
    run_plans("late copies of heartbeats", 50..58, 500, &copies);
    for seed in 50..54 {
        let faults = Faults { inbound_cuts: vec![(1, 10, 300)], ..Faults::default() };
        let world = run_until_done(
            "a worker that receives no answers or commands",
            seed,
            &preempting_plans(),
            300,
            &faults,
        );
        let (cut_off, other) = (world.count_attempts(1), world.count_attempts(0));
        assert!(cut_off * 3 < other, "seed {seed}: {cut_off} attempts, {other} on another");
    }
}
