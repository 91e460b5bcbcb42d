//! Messages and transactions about dependencies that are lost or late.

use super::{all_waited, row};
use crate::simulation::Faults;
use crate::simulation::chance::{cancel, late, peers_of};
use crate::simulation::row::play;

/// Pipelines that nobody, or not all, calls off.
#[test]
fn lost_and_late_messages() {
    let plain = Faults::default;
    play(
        vec![
            row(
                "one is refused by the state service",
                Faults { kv_store_cuts: vec![(0, 6, 20), (1, 22, 36)], ..plain() },
                all_waited,
            ),
            row(
                "transactions carried out late, after newer ones",
                Faults { late_writes: late(3, 50, 0.2, false), ..plain() },
                |w| all_waited(w) && w.unanswered > 5,
            ),
            row(
                "only the answers of transactions lost, jobs called off",
                Faults {
                    late_writes: late(3, 50, 0.25, true),
                    cancel_now: cancel(16_000, 6),
                    ..plain()
                },
                |w| w.unanswered > 5 && w.cancelled_with_others() >= 6,
            ),
            row(
                "transactions lost, late, and commands held",
                Faults {
                    lost: 0.1,
                    late: 0.5,
                    held: 0.2,
                    crashes: vec![(15, 1)],
                    back_ms: 2_000,
                    ..plain()
                },
                all_waited,
            ),
            row(
                "watches hang and are slow",
                Faults {
                    hung_watches: vec![(0, 5, 25), (1, 15, 35), (2, 30, 45)],
                    slow_watches: 1_000,
                    ..plain()
                },
                all_waited,
            ),
            row(
                "peers apart, frames lost",
                Faults { peer_cuts: peers_of(0, 6, 40), dropped: 0.1, ..plain() },
                all_waited,
            ),
            row(
                "a short outage, then another, jobs called off between",
                Faults {
                    outages: vec![(10, 16), (22, 34)],
                    cancel_now: cancel(19_000, 6),
                    ..plain()
                },
                |w| w.cancelled_with_others() >= 6,
            ),
            row(
                "machines taken, and machines apart",
                Faults {
                    taken: [1, 3, 5, 8].map(|w| (14, w)).into(),
                    worker_cuts: (10..16).map(|w| (w, 10, 30, w % 2 == 0)).collect(),
                    ..plain()
                },
                all_waited,
            ),
        ],
        850..852,
    );
}
