//! Limits of the key-value store: lowered while jobs wait, and lists of dependencies longer than a
//! value.

use super::{add_job, mixed, row};
use crate::simulation::fault_builders::unanswered;
use crate::simulation::row::{Row, blue, run_rows};
use crate::simulation::{Faults, Plan, World};

/// The key-value store lowers its limits on values and transactions during the run. Jobs whose
/// chunks were sized for the earlier limits, and jobs that wait, must continue.
#[test]
fn lowered_store_limits() {
    let arrays = || {
        let mut plans = mixed();
        plans.extend(
            [(3, 300, 20.0), (5, 120, 30.0), (40, 200, 6.0)]
                .map(|(at_s, tasks, run_s)| Plan { urgency: "low", ..blue(at_s, tasks, run_s) }),
        );
        // More jobs per second than the store takes writes, so that some are accepted in a batch.
        plans.extend((0..30).map(|n| blue(4 + n / 15, 1 + n as u32 % 2, 12.0)));
        plans
    };
    let one_by_one = vec![(26, 1), (29, 1), (32, 1), (35, 1), (38, 1)];
    let table = [
        ("known from the start", Faults { lowered_limits: Some((0, 30)), ..Faults::default() }),
        (
            "known from the start, and crashes",
            Faults {
                lowered_limits: Some((0, 30)),
                crashes: vec![(31, 1), (44, 3)],
                restart_ms: 500,
                unanswered_txns: unanswered(20, 50, 0.1, false),
                ..Faults::default()
            },
        ),
        (
            "known to each controller after its restart, one by one",
            Faults {
                lowered_limits: Some((25, 60)),
                crashes: one_by_one.clone(),
                restart_ms: 500,
                ..Faults::default()
            },
        ),
        (
            "known just before",
            Faults {
                lowered_limits: Some((25, 36)),
                crashes: [vec![(26, 3)], vec![(37, 1)]].concat(),
                restart_ms: 500,
                write_rps: Some(40.0),
                ..Faults::default()
            },
        ),
        (
            "lowered, then an outage longer than the worker leases in which all controllers crash",
            Faults {
                lowered_limits: Some((8, 14)),
                crashes: vec![(9, 3), (26, 3)],
                restart_ms: 500,
                outages: vec![(18, 40)],
                write_rps: Some(8.0),
                ..Faults::default()
            },
        ),
    ];
    let rows = table.map(|(name, faults)| Row { plans: arrays(), ..row(name, faults, |_| true) });
    // One refusal for each controller, and those of transactions that were under way.
    let few_refused = |w: &World| w.refused_large_txns < 8;
    // With this many machines the running tasks of one chunk exceed the lowered value size.
    let on_many_machines = |row: Row| Row {
        exercised: few_refused,
        faults: Faults { machines: Some(60), ..row.faults },
        ..row
    };
    let rows: Vec<Row> = rows.into_iter().map(on_many_machines).collect();
    run_rows(rows, 850..853);
}

/// A job with more dependencies than one value holds, across changes of leader.
#[test]
fn hundreds_of_dependencies() {
    let mut plans: Vec<Plan> = (0..230).map(|n| blue(3 + n / 20, 1, 8.0)).collect();
    let all: Vec<usize> = (0..230).collect();
    add_job(&mut plans, &all, blue(4, 2, 3.0));
    let last = add_job(&mut plans, &all[20..], blue(4, 2, 3.0));
    add_job(&mut plans, &[last], blue(4, 1, 2.0));
    let known = Faults { lowered_limits: Some((0, 30)), ..Faults::default() };
    let rows = vec![
        Row {
            plans: plans.clone(),
            ..row("hundreds of dependencies", known.clone(), |w| w.starts >= 235)
        },
        Row {
            plans: plans.clone(),
            ..row(
                "hundreds of dependencies, and controllers crash",
                Faults {
                    crashes: vec![(18, 1), (21, 3), (27, 1)],
                    restart_ms: 500,
                    unanswered_txns: unanswered(10, 24, 0.1, false),
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
                "one of hundreds of dependencies is cancelled",
                Faults { crashes: vec![(25, 2)], restart_ms: 500, ..known },
                |w| w.cancelled_with_dependencies() == 3,
            )
        },
    ];
    run_rows(rows, 870..872);
}
