//! Jobs that are cancelled with any of their dependencies.

use super::{cancelled_at_each_depth, chain, diamond, row, short_chains};
use crate::simulation::fault_builders::peers_of;
use crate::simulation::row::{Row, run_rows};
use crate::simulation::{Faults, Plan, World};

/// Chains and diamonds with long first jobs, of which those of the chains and of every second
/// diamond are cancelled at one time; and short chains.
fn cancelled_roots(cancel_s: u64) -> Vec<Plan> {
    let mut plans = Vec::new();
    for n in 0..8 {
        let ids = chain(&mut plans, 3 + n % 3, 60.0);
        plans[ids[0]].cancel_at_s = Some(cancel_s);
        let ids = diamond(&mut plans, 4, 60.0);
        plans[ids[0]].cancel_at_s = (n % 2 == 0).then_some(cancel_s);
    }
    for n in 0..4 {
        chain(&mut plans, 10 + n, 7.0);
    }
    plans
}

#[test]
fn cancelled_dependencies() {
    fn at_all_depths(w: &World) -> bool {
        w.cancelled_with_dependencies() >= 12 && w.dependent_starts >= 20
    }
    let at = |name, at_s, faults, exercised| Row {
        plans: cancelled_at_each_depth(at_s),
        ..row(name, faults, exercised)
    };
    let at_end = |share| Faults { cancel_at_job_end: Some((3, 60, share)), ..Faults::default() };
    let crashes = Faults { crashes: vec![(21, 1), (24, 1)], restart_ms: 3_000, ..at_end(0.3) };
    run_rows(
        vec![
            // The first jobs run, the others wait.
            at(
                "cancelled at each depth as the first job runs",
                14,
                Faults::default(),
                at_all_depths,
            ),
            // Some are done by then; the jobs that depend on them continue.
            at("cancelled at each depth as later jobs run", 24, Faults::default(), |w| {
                w.cancelled_with_dependencies() >= 2 && w.done_after_late_cancellation() >= 1
            }),
            at("cancelled as they are submitted", 6, Faults::default(), at_all_depths),
            at(
                "cancelled with slow watches and query bursts",
                14,
                Faults { slow_watches: 1_500, query_bursts: Some((3, 40)), ..Faults::default() },
                |w| w.cancelled_with_dependencies() >= 12 && w.burst_queries > 300,
            ),
            row("cancelled as the last task ends", at_end(0.5), |w| w.cancelled() >= 1),
            Row {
                plans: short_chains(),
                ..row("short jobs cancelled as their last task ends", at_end(0.4), |w| {
                    w.cancelled_with_dependencies() + w.done_after_late_cancellation() >= 1
                })
            },
            Row {
                plans: short_chains(),
                ..row(
                    "cancelled as the last task ends, with query bursts and crashes",
                    Faults { query_bursts: Some((3, 60)), ..crashes },
                    |w| w.cancelled() + w.done_after_late_cancellation() >= 1,
                )
            },
        ],
        830..832,
    );
}

/// Jobs that wait for a cancelled job must be reported as cancelled in time, although controllers
/// cannot reach the key-value store or their peers, or receive their messages late.
#[test]
fn cancelled_dependencies_while_partitioned() {
    fn many_cancelled(w: &World) -> bool {
        w.cancelled_with_dependencies() >= 24
    }
    let outage = |outages: &[(u64, u64)]| Faults { outages: outages.to_vec(), ..Faults::default() };
    let cancelled =
        |name, faults| Row { plans: cancelled_roots(20), ..row(name, faults, many_cancelled) };
    run_rows(
        vec![
            cancelled("first jobs cancelled, 1 s later a long outage", outage(&[(21, 61)])),
            Row {
                // Some jobs are submitted only during the outage and name cancelled jobs.
                plans: cancelled_at_each_depth(14),
                ..row("cancelled at each depth, then a long outage", outage(&[(15, 57)]), |w| {
                    w.cancelled_with_dependencies() >= 12
                })
            },
            cancelled(
                "first jobs cancelled, a long outage and a crash in it",
                Faults { crashes: vec![(30, 1)], restart_ms: 3_000, ..outage(&[(21, 58)]) },
            ),
            cancelled(
                "cancelled as one controller is refused, then all",
                Faults { kv_store_cuts: vec![(0, 20, 22)], ..outage(&[(22, 62)]) },
            ),
            cancelled(
                "cancelled as one controller is refused and cut from its peers, then all",
                Faults {
                    kv_store_cuts: vec![(1, 19, 22)],
                    peer_cuts: peers_of(1, 18, 70),
                    ..outage(&[(22, 62)])
                },
            ),
            cancelled(
                "one controller refused for a long time",
                Faults { kv_store_cuts: vec![(0, 10, 70)], ..Faults::default() },
            ),
            cancelled(
                "one controller cut from its peers, its watches hang",
                Faults {
                    hung_watches: vec![(2, 18, 62)],
                    peer_cuts: peers_of(2, 18, 62),
                    ..Faults::default()
                },
            ),
            cancelled(
                "slow watches and a slow store",
                Faults {
                    slow_watches: 1_500,
                    slow_kv_store: Some((10, 60, 900)),
                    ..Faults::default()
                },
            ),
            cancelled(
                "peers cut",
                Faults {
                    peer_cuts: vec![(0, 1, 15, 62), (0, 2, 15, 62), (1, 2, 15, 62)],
                    ..Faults::default()
                },
            ),
        ],
        840..842,
    );
}
