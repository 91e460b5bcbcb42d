//! The key-value store refuses one controller, then all; transactions are executed late.

use super::row;
use crate::simulation::fault_builders::{cancel_running, peers_of, unanswered};
use crate::simulation::row::{Row, blue, run_rows};
use crate::simulation::{Faults, Plan, World};

/// The key-value store refuses one controller while another confirms cancellations, so the first
/// cannot read them there; then the store is unavailable for all. In some rows watches hang or
/// peers are cut instead. The cancelled tasks still have to stop in time.
#[test]
fn store_refuses_one_then_all() {
    let refused_then_outage = |cut, cancel_ms, out| Faults {
        kv_store_cuts: vec![cut],
        outages: vec![out],
        cancel_running: cancel_running(cancel_ms, 14),
        ..Faults::default()
    };
    let jobs_cancelled = |w: &World| w.cancelled() >= 8;
    run_rows(
        vec![
            row(
                "one controller refused, 2 s later all",
                refused_then_outage((0, 20, 22), 20_500, (22, 62)),
                jobs_cancelled,
            ),
            row(
                "jobs cancelled as one controller is refused, 1 s later all refused",
                refused_then_outage((0, 20, 21), 20_000, (21, 61)),
                jobs_cancelled,
            ),
            row(
                "one controller refused and isolated, 2 s later all refused",
                Faults {
                    peer_cuts: peers_of(0, 19, 70),
                    ..refused_then_outage((0, 20, 22), 20_500, (22, 62))
                },
                jobs_cancelled,
            ),
            row(
                "jobs cancelled as one controller is refused and isolated, 1 s later all refused",
                Faults {
                    peer_cuts: peers_of(1, 19, 70),
                    ..refused_then_outage((1, 20, 21), 20_000, (21, 61))
                },
                jobs_cancelled,
            ),
            row(
                // The outage gives the lease of the old leader its full time again.
                "jobs cancelled as one controller is refused, then a short outage",
                Faults {
                    peer_cuts: peers_of(0, 20, 60),
                    ..refused_then_outage((0, 20, 21), 20_000, (21, 25))
                },
                jobs_cancelled,
            ),
            row(
                // While its lease is valid, the refused controller can act only on what it has
                // received so far.
                "jobs cancelled as one controller is refused, then repeated outages",
                Faults {
                    outages: vec![(22, 26), (28, 32), (34, 38), (40, 44), (46, 50)],
                    ..refused_then_outage((0, 20, 22), 20_500, (22, 26))
                },
                jobs_cancelled,
            ),
            row(
                // Each outage gives its lease, which it cannot renew, the full time again.
                "one controller refused and isolated during repeated outages",
                Faults {
                    outages: vec![(22, 26), (30, 34), (38, 42), (46, 50)],
                    peer_cuts: peers_of(0, 19, 66),
                    ..refused_then_outage((0, 20, 62), 20_200, (22, 26))
                },
                jobs_cancelled,
            ),
            row(
                // Nothing else tells this controller which cancellations others confirm.
                "watches of one controller hang, it is cut from its peers, jobs cancelled",
                Faults {
                    hung_watches: vec![(2, 18, 62)],
                    peer_cuts: peers_of(2, 18, 62),
                    cancel_running: cancel_running(19_000, 14),
                    ..Faults::default()
                },
                jobs_cancelled,
            ),
            row(
                "peers cut for longer than the cancellation deadline, store available",
                Faults {
                    peer_cuts: vec![(0, 1, 18, 62), (0, 2, 18, 62), (1, 2, 18, 62)],
                    cancel_running: cancel_running(25_000, 14),
                    ..Faults::default()
                },
                jobs_cancelled,
            ),
            row(
                "slow store, one controller refused, then all, users cancel and query",
                Faults {
                    slow_kv_store: Some((14, 80, 900)),
                    query_bursts: Some((10, 90)),
                    ..refused_then_outage((0, 20, 22), 20_200, (23, 60))
                },
                |w| w.burst_queries > 100 && w.cancelled() >= 8,
            ),
        ],
        500..503,
    );
}

/// Transactions whose outcome their controller does not receive.
#[test]
fn late_transactions() {
    let crashes = vec![(24, 1), (40, 1)];
    let mut plans: Vec<Plan> = (0..10).map(|n| blue(4 + 3 * n, 6, 8.0)).collect();
    plans.extend((0..6).map(|n| blue(6 + 4 * n, 4, 25.0)));
    run_rows(
        vec![
            row(
                "transactions executed late, after newer ones",
                Faults {
                    unanswered_txns: unanswered(10, 60, 0.15, false),
                    cancel_running: cancel_running(25_000, 10),
                    query_bursts: Some((10, 60)),
                    ..Faults::default()
                },
                |w| w.unanswered_txns > 5 && w.cancelled() >= 6,
            ),
            row(
                "transactions executed late, and controllers crash",
                Faults {
                    unanswered_txns: unanswered(10, 60, 0.25, false),
                    crashes: crashes.clone(),
                    restart_ms: 700,
                    cancel_running: cancel_running(23_000, 10),
                    ..Faults::default()
                },
                |w| w.unanswered_txns > 5,
            ),
            row(
                "only answers lost, while others read what was written",
                Faults {
                    unanswered_txns: unanswered(10, 60, 0.25, true),
                    cancel_running: cancel_running(25_000, 10),
                    query_bursts: Some((8, 60)),
                    ..Faults::default()
                },
                |w| w.unanswered_txns > 5 && w.burst_queries > 100,
            ),
            Row {
                plans,
                ..row(
                    "new machines get tasks while writes are late, and controllers crash",
                    Faults {
                        quick_boots: true,
                        unanswered_txns: unanswered(6, 50, 0.2, false),
                        crashes,
                        restart_ms: 4_000,
                        ..Faults::default()
                    },
                    |w| w.unanswered_txns > 5 && w.workers.len() > 2,
                )
            },
        ]
        .into_iter()
        .map(|mut row| {
            // Starts with few machines, so that more are rented during the faults.
            if row.faults.quick_boots {
                row.faults.machines = Some(2);
            }
            row
        })
        .collect(),
        580..583,
    );
}
