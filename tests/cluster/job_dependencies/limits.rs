//! The store's limits: lowered while jobs wait, and lists longer than a value.

use super::{after, mixed, row};
use crate::simulation::chance::late;
use crate::simulation::row::{Row, blue, play};
use crate::simulation::{Faults, Plan, World};

/// The key-value store takes smaller values and transactions from some moment on. Jobs that
/// were divided for larger ones, and those that wait, go on.
#[test]
fn lowered_store_limits() {
    let arrays = || {
        let mut plans = mixed();
        plans.extend(
            [(3, 300, 20.0), (5, 120, 30.0), (40, 200, 6.0)]
                .map(|(at_s, tasks, run_s)| Plan { urgency: "low", ..blue(at_s, tasks, run_s) }),
        );
        // More than the changes of a second, so that some are accepted together.
        plans.extend((0..30).map(|n| blue(4 + n / 15, 1 + n as u32 % 2, 12.0)));
        plans
    };
    let one_by_one = vec![(26, 1), (29, 1), (32, 1), (35, 1), (38, 1)];
    let table = [
        ("known from the start", Faults { lowered: Some((0, 30)), ..Faults::default() }),
        (
            "known from the start, and a crash beside",
            Faults {
                lowered: Some((0, 30)),
                crashes: vec![(31, 1), (44, 3)],
                back_ms: 500,
                late_writes: late(20, 50, 0.1, false),
                ..Faults::default()
            },
        ),
        (
            "learnt by those that come back, one by one",
            Faults {
                lowered: Some((25, 60)),
                crashes: one_by_one.clone(),
                back_ms: 500,
                ..Faults::default()
            },
        ),
        (
            "learnt a moment before",
            Faults {
                lowered: Some((25, 36)),
                crashes: [vec![(26, 3)], vec![(37, 1)]].concat(),
                back_ms: 500,
                writes: Some(40.0),
                ..Faults::default()
            },
        ),
        (
            "lowered, then an outage past the workers' leases in which all controllers end",
            Faults {
                lowered: Some((8, 14)),
                crashes: vec![(9, 3), (26, 3)],
                back_ms: 500,
                outages: vec![(18, 40)],
                writes: Some(8.0),
                ..Faults::default()
            },
        ),
    ];
    let rows = table.map(|(name, faults)| Row { plans: arrays(), ..row(name, faults, |_| true) });
    // Once for each controller, and what was under way meanwhile.
    let refused = |w: &World| w.refused_large < 8;
    // So many machines that what runs of one part is more than a small value holds.
    let large = |row: Row| Row {
        shown: refused,
        faults: Faults { machines: Some(60), ..row.faults },
        ..row
    };
    let rows: Vec<Row> = rows.into_iter().map(large).collect();
    play(rows, 850..853);
}

/// A job that needs more others than one value has room for, over changes of leader.
#[test]
fn hundreds_of_dependencies() {
    let mut plans: Vec<Plan> = (0..230).map(|n| blue(3 + n / 20, 1, 8.0)).collect();
    let all: Vec<usize> = (0..230).collect();
    after(&mut plans, &all, blue(4, 2, 3.0));
    let last = after(&mut plans, &all[20..], blue(4, 2, 3.0));
    after(&mut plans, &[last], blue(4, 1, 2.0));
    let known = Faults { lowered: Some((0, 30)), ..Faults::default() };
    let rows = vec![
        Row { plans: plans.clone(), ..row("hundreds of them", known.clone(), |w| w.starts >= 235) },
        Row {
            plans: plans.clone(),
            ..row(
                "hundreds of them, and leaders end",
                Faults {
                    crashes: vec![(18, 1), (21, 3), (27, 1)],
                    back_ms: 500,
                    late_writes: late(10, 24, 0.1, false),
                    ..known.clone()
                },
                |w| w.starts >= 235,
            )
        },
        Row {
            plans: {
                plans[225] = Plan { run_s: 60.0, cancel_at_s: Some(24), ..plans[225].clone() };
                plans
            },
            ..row(
                "one of hundreds is called off",
                Faults { crashes: vec![(25, 2)], back_ms: 500, ..known },
                |w| w.cancelled_with_others() == 3,
            )
        },
    ];
    play(rows, 870..872);
}
