//! Messages and transactions about dependencies that are lost or late.

use super::{dependent_tasks_started, row};
use crate::simulation::Faults;
use crate::simulation::fault_builders::{cancel_running, peers_of, unanswered};
use crate::simulation::row::run_rows;

/// Jobs with dependencies, of which none or some are cancelled, while messages and transactions are
/// lost or late.
#[test]
fn lost_and_late_messages() {
    let plain = Faults::default;
    run_rows(
        vec![
            row(
                "one controller refused by the store, then another",
                Faults { kv_store_cuts: vec![(0, 6, 20), (1, 22, 36)], ..plain() },
                dependent_tasks_started,
            ),
            row(
                "transactions executed late, after newer ones",
                Faults { unanswered_txns: unanswered(3, 50, 0.2, false), ..plain() },
                |w| dependent_tasks_started(w) && w.unanswered_txns > 5,
            ),
            row(
                "only the answers of transactions lost, jobs cancelled",
                Faults {
                    unanswered_txns: unanswered(3, 50, 0.25, true),
                    cancel_running: cancel_running(16_000, 6),
                    ..plain()
                },
                |w| w.unanswered_txns > 5 && w.cancelled_with_dependencies() >= 6,
            ),
            row(
                "transactions lost and late, commands delayed",
                Faults {
                    lost_answers: 0.1,
                    late_applied: 0.5,
                    command_delays: 0.2,
                    crashes: vec![(15, 1)],
                    restart_ms: 2_000,
                    ..plain()
                },
                dependent_tasks_started,
            ),
            row(
                "watches hang and are slow",
                Faults {
                    hung_watches: vec![(0, 5, 25), (1, 15, 35), (2, 30, 45)],
                    slow_watches: 1_000,
                    ..plain()
                },
                dependent_tasks_started,
            ),
            row(
                "one controller cut from its peers, frames lost",
                Faults { peer_cuts: peers_of(0, 6, 40), dropped_frames: 0.1, ..plain() },
                dependent_tasks_started,
            ),
            row(
                "a short outage, then another, jobs cancelled between",
                Faults {
                    outages: vec![(10, 16), (22, 34)],
                    cancel_running: cancel_running(19_000, 6),
                    ..plain()
                },
                |w| w.cancelled_with_dependencies() >= 6,
            ),
            row(
                "machines terminated, others cut off or hanging",
                Faults {
                    terminated: [1, 3, 5, 8].map(|w| (14, w)).into(),
                    worker_cuts: (10..16).map(|w| (w, 10, 30, w % 2 == 0)).collect(),
                    ..plain()
                },
                dependent_tasks_started,
            ),
        ],
        850..852,
    );
}
