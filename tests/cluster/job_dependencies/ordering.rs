//! A job starts only after its dependencies, whichever controller or machine fails in between.

use super::{
    add_job, cancelled_at_each_depth, chain, dependent_tasks_started, diamond, fan_in,
    fault_free_row, late_submissions, red, row, short_chains, two_teams,
};
use crate::simulation::row::{Row, blue, run_rows};
use crate::simulation::{Faults, World};

fn none_cancelled(w: &World, starts: u64) -> bool {
    w.dependent_starts >= starts && w.cancelled() == 0
}

#[test]
fn dependencies_without_faults() {
    run_rows(
        vec![
            fault_free_row("a chain of four", |p| _ = chain(p, 3, 4.0), |w| none_cancelled(w, 8)),
            fault_free_row("a diamond", |p| _ = diamond(p, 3, 4.0), |w| none_cancelled(w, 7)),
            fault_free_row("several teams", |p| _ = two_teams(p, 3), |w| none_cancelled(w, 26)),
            fault_free_row(
                "one that depends on ten",
                |p| _ = fan_in(p, 3),
                |w| none_cancelled(w, 4),
            ),
            fault_free_row(
                "the last submitted late",
                |p| late_submissions(p, 3),
                |w| none_cancelled(w, 10),
            ),
            row("all of them", Faults::default(), dependent_tasks_started),
            Row {
                // Waiting jobs must hold no part of the team's limit: other jobs would be left
                // waiting for longer than is allowed.
                plans: {
                    let mut plans = vec![blue(3, 2, 110.0)];
                    for n in 0..4 {
                        add_job(&mut plans, &[0], red(4, 14, 3.0));
                        plans.push(red(6 + 10 * n, 14, 4.0));
                    }
                    plans
                },
                ..row("waiting jobs and a team's limit", Faults::default(), |w| {
                    none_cancelled(w, 56)
                })
            },
            row("query bursts", Faults { query_bursts: Some((3, 90)), ..Faults::default() }, |w| {
                w.burst_queries > 500 && w.dependent_starts >= 20
            }),
            row(
                "unknown dependencies, and malformed lists of dependencies",
                Faults { invalid_requests: Some((5, 60)), ..Faults::default() },
                |w| w.invalid_request_answers > 30 && dependent_tasks_started(w),
            ),
        ],
        800..802,
    );
}

#[test]
fn dependencies_across_crashes() {
    let crash = |crashes: &[(u64, usize)], restart_ms| Faults {
        crashes: crashes.to_vec(),
        restart_ms,
        ..Faults::default()
    };
    run_rows(
        vec![
            row(
                "one controller crashes, three times",
                crash(&[(9, 1), (19, 1), (29, 1)], 4_000),
                dependent_tasks_started,
            ),
            row("all controllers crash", crash(&[(14, 3)], 5_000), dependent_tasks_started),
            row(
                "all controllers crash and restart at once",
                crash(&[(10, 3), (18, 3)], 300),
                dependent_tasks_started,
            ),
            row(
                "all controllers down for longer than a worker lease",
                crash(&[(15, 3)], 20_000),
                |w| w.dependent_starts >= 120 && w.workers.iter().any(|w| w.expired_leases > 0),
            ),
            Row {
                plans: cancelled_at_each_depth(12),
                ..row(
                    "cancelled just before all controllers crash",
                    crash(&[(13, 3)], 2_000),
                    |w| w.cancelled_with_dependencies() >= 8,
                )
            },
        ],
        810..812,
    );
}

/// Controllers crash, or machines are terminated or hang, at the moment at which the last task of a
/// dependency completes.
#[test]
fn crashes_as_dependencies_end() {
    let short_row = |name, faults| Row {
        plans: short_chains(),
        ..row(name, faults, |w: &World| w.dependent_starts >= 70)
    };
    let crash = |share, count| Faults {
        crash_at_job_end: Some((5, 40, share, count)),
        restart_ms: 1_000,
        ..Faults::default()
    };
    run_rows(
        vec![
            short_row("a controller crashes as dependencies end", crash(0.3, 1)),
            short_row("all controllers crash as dependencies end", crash(0.12, 3)),
            short_row(
                "the machine is terminated as the last task of a dependency ends",
                Faults { terminate_at_job_end: Some((5, 30, 0.25)), ..Faults::default() },
            ),
            short_row(
                "the machine is terminated and a controller crashes",
                Faults { terminate_at_job_end: Some((5, 30, 0.15)), ..crash(0.2, 1) },
            ),
            short_row(
                "machines hang and recover as dependencies end",
                Faults {
                    worker_cuts: (0..16).map(|w| (w, 6 + w as u64, 16 + w as u64, true)).collect(),
                    ..crash(0.1, 1)
                },
            ),
        ],
        820..823,
    );
}
