//! Leaders that are isolated, and shards that change their leader.

use super::{busy, cancel_and_hang, row};
use crate::simulation::fault_builders::{cancel_running, peers_of};
use crate::simulation::row::{Row, blue, run_rows};
use crate::simulation::{Faults, Plan};

/// A leader loses the key-value store and its peers, while workers and users still reach it.
#[test]
fn isolated_leaders() {
    let alone = |controller, from, to| Faults {
        kv_store_cuts: vec![(controller, from, to)],
        peer_cuts: peers_of(controller, from, to),
        ..Faults::default()
    };
    let zone = |controller, from, to| Faults {
        only_reachable_by: (0..24).step_by(2).map(|w| (w, controller, from, to)).collect(),
        user_cuts: vec![(controller, from, to)],
        ..alone(controller, from, to)
    };
    run_rows(
        vec![
            row(
                "leader cut from the store and its peers, jobs cancelled through the new leader",
                Faults { cancel_running: cancel_running(26_000, 14), ..alone(0, 16, 70) },
                |w| w.cancelled() >= 8,
            ),
            row(
                "leader cut from the store and its peers, jobs cancelled as it is cut",
                Faults {
                    cancel_running: cancel_running(16_000, 14),
                    query_bursts: Some((10, 60)),
                    ..alone(2, 16, 70)
                },
                |w| w.cancelled() >= 8,
            ),
            row(
                "a zone with workers and a controller cut off",
                Faults { cancel_running: cancel_running(24_000, 8), ..zone(0, 16, 60) },
                |w| w.cancelled() >= 4,
            ),
            row(
                "jobs cancelled in the seconds of a failover",
                Faults {
                    kv_store_cuts: vec![(1, 18, 40)],
                    cancel_running: [18_500, 20_500, 22_000, 23_500, 25_000]
                        .map(|at| cancel_running(at, 3)[0])
                        .into(),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 10,
            ),
        ],
        520..523,
    );
}

/// Controllers crash and restart, and shards fail over and back.
#[test]
fn leader_changes() {
    let ten_crashes: Vec<(u64, usize)> = (0..10).map(|n| (14 + n * 11, 1)).collect();
    // The red team is at its limit as long as it has jobs.
    let mut at_limit = busy();
    at_limit.extend((0..10).map(|n| Plan::new(5 + n, 6, 1.0, 12.0)));
    // No job belongs to the team without a limit.
    let mut all_limited: Vec<Plan> = (0..12).map(|n| Plan::new(3 + n / 2, 3, 1.0, 25.0)).collect();
    all_limited.extend((20..60).step_by(4).map(|s| Plan::new(s, 2, 1.0, 4.0)));
    let mut staggered: Vec<Plan> = Vec::new();
    for n in 0..24 {
        let run_step_s = [3.0, 9.0, 17.0, 28.0][n as usize % 4];
        staggered.push(Plan { run_step_s, ..blue(3 + n / 2, 2 + (n % 2) as u32, 4.0) });
    }
    run_rows(
        vec![
            row(
                "ten changes of leader in two minutes",
                Faults {
                    crashes: ten_crashes.clone(),
                    restart_ms: 3_000,
                    cancel_running: cancel_running(40_000, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.leader_changes() >= 10,
            ),
            row(
                "ten changes of leader, also inside an outage",
                Faults {
                    crashes: ten_crashes,
                    restart_ms: 1_500,
                    outages: vec![(34, 60)],
                    cancel_running: cancel_running(33_500, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.leader_changes() >= 8,
            ),
            row(
                "failover and failback, all controllers crash, restarts within a second",
                Faults {
                    kv_store_cuts: vec![(1, 14, 30)],
                    crashes: vec![(46, 3)],
                    restart_ms: 500,
                    cancel_running: cancel_running(45_500, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.leader_changes() >= 4,
            ),
            row(
                "failover and failback, all controllers crash, restarts one by one",
                Faults {
                    kv_store_cuts: vec![(1, 14, 30)],
                    crashes: vec![(44, 3)],
                    restart_ms: 9_000,
                    cancel_running: cancel_running(43_500, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.leader_changes() >= 4,
            ),
            row(
                // Longer than a worker lease: no machine has kept a task.
                "all controllers down for longer than a worker lease",
                Faults {
                    crashes: vec![(22, 3)],
                    restart_ms: 32_000,
                    cancel_running: cancel_running(21_900, 10),
                    ..Faults::default()
                },
                |w| {
                    w.leader_changes() >= 3
                        && w.cancelled() >= 4
                        && w.workers.iter().any(|w| w.expired_leases > 0)
                },
            ),
            Row {
                plans: at_limit,
                ..row(
                    "team at its limit, leader changes, machines unreachable, jobs cancelled",
                    Faults {
                        crashes: vec![(20, 1), (34, 1)],
                        restart_ms: 6_000,
                        worker_cuts: (0..6).map(|w| (w, 18, 44, w % 2 == 0)).collect(),
                        cancel_running: cancel_running(23_000, 20),
                        ..Faults::default()
                    },
                    |w| w.cancelled() >= 8 && w.leader_changes() >= 2,
                )
            },
            Row {
                plans: all_limited,
                ..row(
                    "every team at its limit, cancelled jobs' machines hang, leader changes",
                    Faults {
                        crashes: vec![(21, 1), (33, 1)],
                        restart_ms: 5_000,
                        worker_cuts: (8..12).map(|w| (w, 19, 50, false)).collect(),
                        cancel_running: cancel_and_hang(20_000, 24, 9),
                        ..Faults::default()
                    },
                    |w| w.cancelled() >= 3 && w.leader_changes() >= 2,
                )
            },
            Row {
                plans: staggered,
                ..row(
                    "tasks of a job end far apart across a change of leader",
                    Faults {
                        crashes: vec![(16, 1), (30, 1), (44, 2)],
                        restart_ms: 4_000,
                        worker_cuts: vec![(3, 20, 44, false), (8, 20, 29, true)],
                        ..Faults::default()
                    },
                    |w| w.starts >= 60 && w.leader_changes() >= 4,
                )
            },
            row(
                "a controller crashes while machines with long tasks are unreachable",
                Faults {
                    crashes: vec![(22, 1)],
                    restart_ms: 26_000,
                    worker_cuts: (0..8).map(|w| (w, 20, 29, w % 2 == 0)).collect(),
                    cancel_running: cancel_running(24_000, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.leader_changes() >= 2,
            ),
            row(
                "a controller crashes while machines receive nothing from the new leader",
                Faults {
                    crashes: vec![(22, 1)],
                    restart_ms: 26_000,
                    inbound_cuts: (0..8).map(|w| (w, 20, 42)).collect(),
                    cancel_running: cancel_running(24_000, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.leader_changes() >= 2,
            ),
        ],
        540..543,
    );
}
