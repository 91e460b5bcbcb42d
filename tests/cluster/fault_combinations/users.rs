//! Users that cancel, ask and repeat at the worst moments.

use super::row;
use crate::simulation::chance::{cancel, peers_of};
use crate::simulation::row::{Row, blue, play};
use crate::simulation::{Faults, Plan};

/// Four jobs of one task each second, a quarter of them called off soon.
fn singles() -> Vec<Plan> {
    let one = |n: u64| Plan {
        cancel_at_s: (n % 4 == 1).then_some(3 + n / 4 + n % 7),
        ..blue(3 + n / 4, 1, 3.0 + (n % 5) as f64)
    };
    (0..480).map(one).collect()
}

/// Users who look closely, ask for odd things and cancel as jobs end.
#[test]
fn user_requests() {
    let close = Faults { full_queries: Some((3, 120)), ..Faults::default() };
    let rows = vec![
        // Answers that cross the last word on their way are few beside the others.
        row("close looks", close.clone(), |w| w.looks > 500 && w.crossed * 20 < w.looks),
        row(
            "close looks over a change of leader, with slow watches",
            Faults {
                crashes: vec![(20, 1), (36, 1)],
                back_ms: 4_000,
                slow_watches: 1_500,
                peer_cuts: peers_of(0, 14, 60),
                cancel_now: cancel(30_000, 12),
                ..close.clone()
            },
            |w| w.looks > 500,
        ),
        row(
            "cancelled, asked about and submitted again as the last task ends",
            Faults { cancel_at_end: Some((3, 120, 0.6)), ..close.clone() },
            |w| w.looks > 500 && w.cancelled() >= 1,
        ),
        row(
            "odd requests over a change of leader",
            Faults {
                invalid_requests: Some((5, 80)),
                crashes: vec![(20, 1), (36, 2)],
                back_ms: 3_000,
                outages: vec![(50, 56)],
                ..Faults::default()
            },
            |w| w.invalid_request_answers > 30,
        ),
    ];
    play(rows, 600..603);
}

/// Nothing but many small jobs, of which each is asked about, repeated and cancelled.
#[test]
fn single_task_jobs() {
    let faults = Faults { crashes: vec![(50, 1)], back_ms: 4_000, ..Faults::default() };
    let row = row("one-task jobs, a quarter cancelled", faults, |w| w.cancelled() >= 60);
    play(vec![Row { plans: singles(), ..row }], 600..603);
}
