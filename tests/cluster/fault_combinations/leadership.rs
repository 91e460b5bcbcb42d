//! Leaders that are isolated, and shards that change their leader.

use super::{busy, cancel_and_hang, row};
use crate::simulation::chance::{cancel, peers_of};
use crate::simulation::row::{Row, blue, play};
use crate::simulation::{Faults, Plan};

/// A leader loses the key-value store and the others, while workers and users reach it.
#[test]
fn isolated_leaders() {
    let alone = |node, from, to| Faults {
        kv_store_cuts: vec![(node, from, to)],
        peer_cuts: peers_of(node, from, to),
        ..Faults::default()
    };
    let zone = |node, from, to| Faults {
        only: (0..24).step_by(2).map(|w| (w, node, from, to)).collect(),
        user_cuts: vec![(node, from, to)],
        ..alone(node, from, to)
    };
    play(
        vec![
            row(
                "leader cut from state and peers, jobs cancelled through the new one",
                Faults { cancel_now: cancel(26_000, 14), ..alone(0, 16, 70) },
                |w| w.cancelled() >= 8,
            ),
            row(
                "leader cut from state and peers, jobs cancelled as it is cut",
                Faults {
                    cancel_now: cancel(16_000, 14),
                    full_queries: Some((10, 60)),
                    ..alone(2, 16, 70)
                },
                |w| w.cancelled() >= 8,
            ),
            row(
                "a zone with workers and a controller cut off",
                Faults { cancel_now: cancel(24_000, 8), ..zone(0, 16, 60) },
                |w| w.cancelled() >= 4,
            ),
            row(
                "cancelled in the seconds in which work changes hands",
                Faults {
                    kv_store_cuts: vec![(1, 18, 40)],
                    cancel_now: [18_500, 20_500, 22_000, 23_500, 25_000]
                        .map(|at| cancel(at, 3)[0])
                        .into(),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 10,
            ),
        ],
        520..523,
    );
}

/// Controllers end, return, and hand over and back.
#[test]
fn leader_changes() {
    let ten: Vec<(u64, usize)> = (0..10).map(|n| (14 + n * 11, 1)).collect();
    // Red holds its limit for as long as it has work.
    let mut limit = busy();
    limit.extend((0..10).map(|n| Plan::new(5 + n, 6, 1.0, 12.0)));
    // Nobody is there who has no limit.
    let mut all_limited: Vec<Plan> = (0..12).map(|n| Plan::new(3 + n / 2, 3, 1.0, 25.0)).collect();
    all_limited.extend((20..60).step_by(4).map(|s| Plan::new(s, 2, 1.0, 4.0)));
    let mut apart: Vec<Plan> = Vec::new();
    for n in 0..24 {
        let longer_s = [3.0, 9.0, 17.0, 28.0][n as usize % 4];
        apart.push(Plan { longer_s, ..blue(3 + n / 2, 2 + (n % 2) as u32, 4.0) });
    }
    play(
        vec![
            row(
                "ten changes of leader in two minutes",
                Faults {
                    crashes: ten.clone(),
                    back_ms: 3_000,
                    cancel_now: cancel(40_000, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.moves() >= 10,
            ),
            row(
                "ten changes of leader, also inside an outage",
                Faults {
                    crashes: ten,
                    back_ms: 1_500,
                    outages: vec![(34, 60)],
                    cancel_now: cancel(33_500, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.moves() >= 8,
            ),
            row(
                "handed over and back, all end, back within a second",
                Faults {
                    kv_store_cuts: vec![(1, 14, 30)],
                    crashes: vec![(46, 3)],
                    back_ms: 500,
                    cancel_now: cancel(45_500, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.moves() >= 4,
            ),
            row(
                "handed over and back, all end, back one by one",
                Faults {
                    kv_store_cuts: vec![(1, 14, 30)],
                    crashes: vec![(44, 3)],
                    back_ms: 9_000,
                    cancel_now: cancel(43_500, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.moves() >= 4,
            ),
            row(
                // Longer than a lease: no machine has kept anything.
                "all controllers away for longer than a lease",
                Faults {
                    crashes: vec![(22, 3)],
                    back_ms: 32_000,
                    cancel_now: cancel(21_900, 10),
                    ..Faults::default()
                },
                |w| {
                    w.moves() >= 3
                        && w.cancelled() >= 4
                        && w.workers.iter().any(|w| w.expired_leases > 0)
                },
            ),
            Row {
                plans: limit,
                ..row(
                    "team at its limit, leader changes, machines away, cancellations",
                    Faults {
                        crashes: vec![(20, 1), (34, 1)],
                        back_ms: 6_000,
                        worker_cuts: (0..6).map(|w| (w, 18, 44, w % 2 == 0)).collect(),
                        cancel_now: cancel(23_000, 20),
                        ..Faults::default()
                    },
                    |w| w.cancelled() >= 8 && w.moves() >= 2,
                )
            },
            Row {
                plans: all_limited,
                ..row(
                    "every team at its limit, cancelled jobs' machines hang, leader changes",
                    Faults {
                        crashes: vec![(21, 1), (33, 1)],
                        back_ms: 5_000,
                        worker_cuts: (8..12).map(|w| (w, 19, 50, false)).collect(),
                        cancel_now: cancel_and_hang(20_000, 24, 9),
                        ..Faults::default()
                    },
                    |w| w.cancelled() >= 3 && w.moves() >= 2,
                )
            },
            Row {
                plans: apart,
                ..row(
                    "tasks of a job end far apart across a change of leader",
                    Faults {
                        crashes: vec![(16, 1), (30, 1), (44, 2)],
                        back_ms: 4_000,
                        worker_cuts: vec![(3, 20, 44, false), (8, 20, 29, true)],
                        ..Faults::default()
                    },
                    |w| w.starts >= 60 && w.moves() >= 4,
                )
            },
            row(
                "leader ends while machines with long tasks are out of reach",
                Faults {
                    crashes: vec![(22, 1)],
                    back_ms: 26_000,
                    worker_cuts: (0..8).map(|w| (w, 20, 29, w % 2 == 0)).collect(),
                    cancel_now: cancel(24_000, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.moves() >= 2,
            ),
            row(
                "leader ends while machines do not hear the new one",
                Faults {
                    crashes: vec![(22, 1)],
                    back_ms: 26_000,
                    deaf: (0..8).map(|w| (w, 20, 42)).collect(),
                    cancel_now: cancel(24_000, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 4 && w.moves() >= 2,
            ),
        ],
        540..543,
    );
}
