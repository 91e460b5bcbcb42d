//! Users that cancel, query and repeat submissions at critical moments.

use super::row;
use crate::simulation::fault_builders::{cancel_running, peers_of};
use crate::simulation::row::{Row, blue, run_rows};
use crate::simulation::{Faults, Plan};

/// Four one-task jobs per second, of which a quarter are cancelled within seconds.
fn single_task_plans() -> Vec<Plan> {
    let one = |n: u64| Plan {
        cancel_at_s: (n % 4 == 1).then_some(3 + n / 4 + n % 7),
        ..blue(3 + n / 4, 1, 3.0 + (n % 5) as f64)
    };
    (0..480).map(one).collect()
}

/// Users send query bursts and invalid requests, and cancel jobs as they end.
#[test]
fn user_requests() {
    let bursts = Faults { query_bursts: Some((3, 120)), ..Faults::default() };
    let rows = vec![
        // Answers that the final answer overtakes are few compared with the others.
        row("query bursts", bursts.clone(), |w| {
            w.burst_queries > 500 && w.crossed_answers * 20 < w.burst_queries
        }),
        row(
            "query bursts during leader changes, with slow watches",
            Faults {
                crashes: vec![(20, 1), (36, 1)],
                restart_ms: 4_000,
                slow_watches: 1_500,
                peer_cuts: peers_of(0, 14, 60),
                cancel_running: cancel_running(30_000, 12),
                ..bursts.clone()
            },
            |w| w.burst_queries > 500,
        ),
        row(
            "cancelled, queried and submitted again as the last task ends",
            Faults { cancel_at_job_end: Some((3, 120, 0.6)), ..bursts.clone() },
            |w| w.burst_queries > 500 && w.cancelled() >= 1,
        ),
        row(
            "invalid requests during leader changes",
            Faults {
                invalid_requests: Some((5, 80)),
                crashes: vec![(20, 1), (36, 2)],
                restart_ms: 3_000,
                outages: vec![(50, 56)],
                ..Faults::default()
            },
            |w| w.invalid_request_answers > 30,
        ),
    ];
    run_rows(rows, 600..603);
}

/// Many jobs of one task: each is queried and its submission repeated, and a quarter are cancelled.
#[test]
fn single_task_jobs() {
    let faults = Faults { crashes: vec![(50, 1)], restart_ms: 4_000, ..Faults::default() };
    let row = row("one-task jobs, a quarter cancelled", faults, |w| w.cancelled() >= 60);
    run_rows(vec![Row { plans: single_task_plans(), ..row }], 600..603);
}
