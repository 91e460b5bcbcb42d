//! More work than capacity, and jobs bound to zones.

use super::row;
use crate::simulation::row::{Row, blue, run_rows};
use crate::simulation::{Faults, Plan};

/// More tasks than the machines can run, and jobs bound to one zone.
#[test]
fn capacity_and_zones() {
    let mut overload: Vec<Plan> =
        (0..20).map(|n| Plan { urgency: "low", ..blue(3 + n / 2, 8, 16.0) }).collect();
    let urgent = |n: u64| Plan { urgency: "high", ..blue(8 + 2 * n, 4, 4.0) };
    overload.extend((0..20).map(urgent));
    let zone = |n: u64, tasks| Plan {
        zone: Some(if n.is_multiple_of(2) { "a" } else { "b" }),
        ..blue(3 + n, tasks, 12.0)
    };
    let mut bound: Vec<Plan> = (0..16).map(|n| zone(n, 2 + (n % 3) as u32)).collect();
    bound.extend([zone(6, 60), zone(9, 60)]);
    let slow = Faults { slow_links: Some((5, 90, 300)), ..Faults::default() };
    run_rows(
        vec![
            Row {
                plans: overload,
                ..row("more tasks than capacity, of two priorities, over slow links", slow, |w| {
                    w.starts > 240
                })
            },
            Row {
                plans: bound,
                ..row(
                    "jobs bound to a zone lose machines",
                    Faults {
                        terminated: [0, 2, 4, 6, 7, 9].map(|w| (16, w)).into(),
                        worker_cuts: (10..16).map(|w| (w, 20, 45, w % 2 == 0)).collect(),
                        crashes: vec![(22, 1)],
                        restart_ms: 5_000,
                        ..Faults::default()
                    },
                    |w| w.starts > 160,
                )
            },
        ],
        620..623,
    );
}
