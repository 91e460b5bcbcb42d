//! Heartbeats and commands that are lost, late or repeated.

use super::{cancel_and_hang, row};
use crate::simulation::Faults;
use crate::simulation::fault_builders::cancel_running;
use crate::simulation::row::run_rows;

/// Heartbeats that are lost or repeated, or reach another controller than they were sent to.
#[test]
fn heartbeats_and_commands() {
    let crashes =
        Faults { crashes: vec![(18, 1), (34, 1)], restart_ms: 4_000, ..Faults::default() };
    run_rows(
        vec![
            row(
                "workers reach no controller, commands reach them",
                Faults {
                    outbound_cuts: (0..8).map(|w| (w, 18, 50)).collect(),
                    cancel_running: cancel_running(19_000, 10),
                    ..Faults::default()
                },
                |w| w.workers[..8].iter().all(|w| w.expired_leases > 0) && w.cancelled() >= 6,
            ),
            row(
                "workers reach no controller, and controllers crash",
                Faults {
                    outbound_cuts: (0..8).map(|w| (w, 16, 50)).collect(),
                    cancel_running: cancel_running(20_000, 10),
                    ..crashes.clone()
                },
                |w| w.workers[..8].iter().all(|w| w.expired_leases > 0),
            ),
            row(
                "old heartbeats reach a new leader as it starts or after it has acted",
                Faults { heartbeats_for_new_leader: Some((10, 80, 0.3)), ..crashes.clone() },
                |w| w.new_leader_copies > 0,
            ),
            row(
                "old heartbeats reach a new leader, machines cut off, jobs cancelled",
                Faults {
                    heartbeats_for_new_leader: Some((10, 80, 0.3)),
                    worker_cuts: (0..6).map(|w| (w, 15, 40, w % 3 == 0)).collect(),
                    cancel_running: cancel_running(17_500, 10),
                    kv_store_cuts: vec![(2, 40, 52)],
                    ..crashes.clone()
                },
                |w| w.new_leader_copies > 0 && w.cancelled() >= 4,
            ),
            row(
                "old heartbeats after newer ones, also of earlier incarnations",
                Faults {
                    heartbeat_copies: 0.3,
                    heartbeats_for_new_leader: Some((10, 80, 0.2)),
                    worker_cuts: (0..6).map(|w| (w, 14, 34, w % 2 == 0)).collect(),
                    inbound_cuts: vec![(7, 14, 40), (8, 14, 40)],
                    ..crashes
                },
                |w| w.new_leader_copies > 0 && w.workers.iter().any(|w| w.expired_leases > 0),
            ),
            row(
                "commands and answers delayed, machines hang and continue",
                Faults {
                    command_delays: 0.4,
                    worker_cuts: (0..10).map(|w| (w, 16 + w as u64, 23 + w as u64, true)).collect(),
                    cancel_running: cancel_and_hang(21_000, 10, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 6,
            ),
        ],
        560..563,
    );
}
