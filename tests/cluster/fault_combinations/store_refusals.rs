//! The key-value store refuses one controller, then all; transactions are carried out late.

use super::row;
use crate::simulation::chance::{cancel, late, peers_of};
use crate::simulation::row::{Row, blue, play};
use crate::simulation::{Faults, Plan, World};

/// One controller is refused by the key-value store while another confirms
/// cancellations, of which it cannot hear there; then the service is away for all.
/// Nobody can ask it, and the tasks still have to be gone in time.
#[test]
fn store_refuses_one_then_all() {
    let gap = |cut, cancel_ms, out| Faults {
        kv_store_cuts: vec![cut],
        outages: vec![out],
        cancel_now: cancel(cancel_ms, 14),
        ..Faults::default()
    };
    let met = |w: &World| w.cancelled() >= 8;
    play(
        vec![
            row("refused alone, 2 s later all", gap((0, 20, 22), 20_500, (22, 62)), met),
            row(
                "cancelled as one is refused, 1 s later all",
                gap((0, 20, 21), 20_000, (21, 61)),
                met,
            ),
            row(
                "refused alone and apart from the others, 2 s later all",
                Faults { peer_cuts: peers_of(0, 19, 70), ..gap((0, 20, 22), 20_500, (22, 62)) },
                met,
            ),
            row(
                "cancelled as one is refused and apart, 1 s later all",
                Faults { peer_cuts: peers_of(1, 19, 70), ..gap((1, 20, 21), 20_000, (21, 61)) },
                met,
            ),
            row(
                // The old leader's lease comes back to life with its full time.
                "cancelled as one is refused, then a short outage",
                Faults { peer_cuts: peers_of(0, 20, 60), ..gap((0, 20, 21), 20_000, (21, 25)) },
                met,
            ),
            row(
                // For as long as its lease goes on it can act on what it knows alone.
                "cancelled as one is refused, then outage after outage",
                Faults {
                    outages: vec![(22, 26), (28, 32), (34, 38), (40, 44), (46, 50)],
                    ..gap((0, 20, 22), 20_500, (22, 26))
                },
                met,
            ),
            row(
                // Each outage gives its lease, which it cannot renew, the full time again.
                "refused alone and apart over outage after outage",
                Faults {
                    outages: vec![(22, 26), (30, 34), (38, 42), (46, 50)],
                    peer_cuts: peers_of(0, 19, 66),
                    ..gap((0, 20, 62), 20_200, (22, 26))
                },
                met,
            ),
            row(
                // Nothing else tells this controller of what others confirm.
                "a controller's watches hang, peers apart, jobs cancelled",
                Faults {
                    hung_watches: vec![(2, 18, 62)],
                    peer_cuts: peers_of(2, 18, 62),
                    cancel_now: cancel(19_000, 14),
                    ..Faults::default()
                },
                met,
            ),
            row(
                "peers apart for longer than a cancellation has, state service well",
                Faults {
                    peer_cuts: vec![(0, 1, 18, 62), (0, 2, 18, 62), (1, 2, 18, 62)],
                    cancel_now: cancel(25_000, 14),
                    ..Faults::default()
                },
                met,
            ),
            row(
                "slow state service, refused alone, then all, users cancel and ask",
                Faults {
                    slow_kv_store: Some((14, 80, 900)),
                    full_queries: Some((10, 90)),
                    ..gap((0, 20, 22), 20_200, (23, 60))
                },
                |w| w.looks > 100 && w.cancelled() >= 8,
            ),
        ],
        500..503,
    );
}

/// Transactions of which their controller does not hear.
#[test]
fn late_transactions() {
    let crashes = vec![(24, 1), (40, 1)];
    let mut grown: Vec<Plan> = (0..10).map(|n| blue(4 + 3 * n, 6, 8.0)).collect();
    grown.extend((0..6).map(|n| blue(6 + 4 * n, 4, 25.0)));
    play(
        vec![
            row(
                "transactions carried out late, after newer ones",
                Faults {
                    late_writes: late(10, 60, 0.15, false),
                    cancel_now: cancel(25_000, 10),
                    full_queries: Some((10, 60)),
                    ..Faults::default()
                },
                |w| w.unanswered > 5 && w.cancelled() >= 6,
            ),
            row(
                "transactions carried out late, and leaders end",
                Faults {
                    late_writes: late(10, 60, 0.25, false),
                    crashes: crashes.clone(),
                    back_ms: 700,
                    cancel_now: cancel(23_000, 10),
                    ..Faults::default()
                },
                |w| w.unanswered > 5,
            ),
            row(
                "only the answer lost, while others read what was written",
                Faults {
                    late_writes: late(10, 60, 0.25, true),
                    cancel_now: cancel(25_000, 10),
                    full_queries: Some((8, 60)),
                    ..Faults::default()
                },
                |w| w.unanswered > 5 && w.looks > 100,
            ),
            Row {
                plans: grown,
                ..row(
                    "quick machines get work while writes lag, and the leader ends",
                    Faults {
                        quick_boots: true,
                        late_writes: late(6, 50, 0.2, false),
                        crashes,
                        back_ms: 4_000,
                        ..Faults::default()
                    },
                    |w| w.unanswered > 5 && w.workers.len() > 2,
                )
            },
        ]
        .into_iter()
        .map(|mut row| {
            // Few machines at first, so that more are rented in the middle of it.
            if row.faults.quick_boots {
                row.faults.machines = Some(2);
            }
            row
        })
        .collect(),
        580..583,
    );
}
