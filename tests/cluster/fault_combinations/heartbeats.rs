//! Heartbeats and commands that are lost, late or repeated.

use super::{cancel_and_hang, row};
use crate::simulation::Faults;
use crate::simulation::chance::cancel;
use crate::simulation::row::play;

/// Reports that do not come, come twice, or come to another than they were sent to.
#[test]
fn heartbeats_and_commands() {
    let changes = Faults { crashes: vec![(18, 1), (34, 1)], back_ms: 4_000, ..Faults::default() };
    play(
        vec![
            row(
                "workers reach no controller, commands reach them",
                Faults {
                    mute: (0..8).map(|w| (w, 18, 50)).collect(),
                    cancel_now: cancel(19_000, 10),
                    ..Faults::default()
                },
                |w| w.workers[..8].iter().all(|w| w.expired_leases > 0) && w.cancelled() >= 6,
            ),
            row(
                "workers reach no controller, and the leader ends",
                Faults {
                    mute: (0..8).map(|w| (w, 16, 50)).collect(),
                    cancel_now: cancel(20_000, 10),
                    ..changes.clone()
                },
                |w| w.workers[..8].iter().all(|w| w.expired_leases > 0),
            ),
            row(
                "old reports as a new leader begins and when it has acted",
                Faults { for_next: Some((10, 80, 0.3)), ..changes.clone() },
                |w| w.copies_for_next > 0,
            ),
            row(
                "old reports for a new leader, machines cut, jobs cancelled",
                Faults {
                    for_next: Some((10, 80, 0.3)),
                    worker_cuts: (0..6).map(|w| (w, 15, 40, w % 3 == 0)).collect(),
                    cancel_now: cancel(17_500, 10),
                    kv_store_cuts: vec![(2, 40, 52)],
                    ..changes.clone()
                },
                |w| w.copies_for_next > 0 && w.cancelled() >= 4,
            ),
            row(
                "old reports after newer ones, of earlier sessions too",
                Faults {
                    copies: 0.3,
                    for_next: Some((10, 80, 0.2)),
                    worker_cuts: (0..6).map(|w| (w, 14, 34, w % 2 == 0)).collect(),
                    deaf: vec![(7, 14, 40), (8, 14, 40)],
                    ..changes
                },
                |w| w.copies_for_next > 0 && w.workers.iter().any(|w| w.expired_leases > 0),
            ),
            row(
                "commands and answers held up, machines go on",
                Faults {
                    held: 0.4,
                    worker_cuts: (0..10).map(|w| (w, 16 + w as u64, 23 + w as u64, true)).collect(),
                    cancel_now: cancel_and_hang(21_000, 10, 8),
                    ..Faults::default()
                },
                |w| w.cancelled() >= 6,
            ),
        ],
        560..563,
    );
}
