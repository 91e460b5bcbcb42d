//! A job starts only after its dependencies, whatever ends in between.

use super::{
    after, all_waited, called_off, chain, diamond, fan_in, late_last, one, red, row, short, teams,
};
use crate::simulation::row::{Row, blue, play};
use crate::simulation::{Faults, World};

fn none_cancelled(w: &World, starts: u64) -> bool {
    w.waited_starts >= starts && w.cancelled() == 0
}

#[test]
fn dependencies_without_faults() {
    play(
        vec![
            one("a chain of four", |p| _ = chain(p, 3, 4.0), |w| none_cancelled(w, 8)),
            one("a diamond", |p| _ = diamond(p, 3, 4.0), |w| none_cancelled(w, 7)),
            one("several teams", |p| _ = teams(p, 3), |w| none_cancelled(w, 26)),
            one("one after ten", |p| _ = fan_in(p, 3), |w| none_cancelled(w, 4)),
            one("the last submitted late", |p| late_last(p, 3), |w| none_cancelled(w, 10)),
            row("all of them", Faults::default(), all_waited),
            Row {
                // Those that wait hold no part of the limit that others need, which would
                // else be left waiting for longer than is allowed.
                plans: {
                    let mut plans = vec![blue(3, 2, 110.0)];
                    for n in 0..4 {
                        after(&mut plans, &[0], red(4, 14, 3.0));
                        plans.push(red(6 + 10 * n, 14, 4.0));
                    }
                    plans
                },
                ..row("waiting jobs and a team's limit", Faults::default(), |w| {
                    none_cancelled(w, 56)
                })
            },
            row(
                "users look closely",
                Faults { full_queries: Some((3, 90)), ..Faults::default() },
                |w| w.looks > 500 && w.waited_starts >= 20,
            ),
            row(
                "upstream jobs that nobody submitted, and lists that are none",
                Faults { invalid_requests: Some((5, 60)), ..Faults::default() },
                |w| w.invalid_request_answers > 30 && all_waited(w),
            ),
        ],
        800..802,
    );
}

#[test]
fn dependencies_over_crashes() {
    let crash = |crashes: &[(u64, usize)], back_ms| Faults {
        crashes: crashes.to_vec(),
        back_ms,
        ..Faults::default()
    };
    play(
        vec![
            row("one ends, and another", crash(&[(9, 1), (19, 1), (29, 1)], 4_000), all_waited),
            row("all end", crash(&[(14, 3)], 5_000), all_waited),
            row("all end and are back at once", crash(&[(10, 3), (18, 3)], 300), all_waited),
            row("all are away for longer than a lease", crash(&[(15, 3)], 20_000), |w| {
                w.waited_starts >= 120 && w.workers.iter().any(|w| w.expired_leases > 0)
            }),
            Row {
                plans: called_off(12),
                ..row("called off just before all end", crash(&[(13, 3)], 2_000), |w| {
                    w.cancelled_with_others() >= 8
                })
            },
        ],
        810..812,
    );
}

/// What ends, ends at the moment at which a controller or a machine does.
#[test]
fn crashes_around_the_release() {
    let short_row = |name, faults| Row {
        plans: short(),
        ..row(name, faults, |w: &World| w.waited_starts >= 70)
    };
    let crash = |share, count| Faults {
        crash_at_end: Some((5, 40, share, count)),
        back_ms: 1_000,
        ..Faults::default()
    };
    play(
        vec![
            short_row("a controller ends as upstream jobs end", crash(0.3, 1)),
            short_row("all end as upstream jobs end", crash(0.12, 3)),
            short_row(
                "the machine is taken as its upstream task ends",
                Faults { take_at_end: Some((5, 30, 0.25)), ..Faults::default() },
            ),
            short_row(
                "the machine is taken and a controller ends",
                Faults { take_at_end: Some((5, 30, 0.15)), ..crash(0.2, 1) },
            ),
            short_row(
                "machines hang and come back as upstream jobs end",
                Faults {
                    worker_cuts: (0..16).map(|w| (w, 6 + w as u64, 16 + w as u64, true)).collect(),
                    ..crash(0.1, 1)
                },
            ),
        ],
        820..823,
    );
}
