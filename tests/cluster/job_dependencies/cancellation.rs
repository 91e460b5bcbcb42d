//! A job is cancelled with any of its dependencies.

use super::{called_off, chain, diamond, row, short};
use crate::simulation::chance::peers_of;
use crate::simulation::row::{Row, play};
use crate::simulation::{Faults, Plan, World};

/// Long first jobs of long chains, all called off at one time.
fn roots_called_off(cancel_s: u64) -> Vec<Plan> {
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
    fn all_of_them(w: &World) -> bool {
        w.cancelled_with_others() >= 12 && w.waited_starts >= 20
    }
    let at =
        |name, at_s, faults, shown| Row { plans: called_off(at_s), ..row(name, faults, shown) };
    let at_end = |share| Faults { cancel_at_end: Some((3, 60, share)), ..Faults::default() };
    let crashes = Faults { crashes: vec![(21, 1), (24, 1)], back_ms: 3_000, ..at_end(0.3) };
    play(
        vec![
            // The first jobs run, the others wait.
            at("called off at each depth as the first runs", 14, Faults::default(), all_of_them),
            // Some are done by then: what comes after them goes on.
            at("called off at each depth as later ones run", 24, Faults::default(), |w| {
                w.cancelled_with_others() >= 2 && w.went_on() >= 1
            }),
            at("called off as they are submitted", 6, Faults::default(), all_of_them),
            at(
                "called off with slow watches and close looks",
                14,
                Faults { slow_watches: 1_500, full_queries: Some((3, 40)), ..Faults::default() },
                |w| w.cancelled_with_others() >= 12 && w.looks > 300,
            ),
            row("called off as the last task ends", at_end(0.5), |w| w.cancelled() >= 1),
            Row {
                plans: short(),
                ..row("short jobs called off as their last task ends", at_end(0.4), |w| {
                    w.cancelled_with_others() + w.went_on() >= 1
                })
            },
            Row {
                plans: short(),
                ..row(
                    "called off as the last task ends, asked about closely, and leaders end",
                    Faults { full_queries: Some((3, 60)), ..crashes },
                    |w| w.cancelled() + w.went_on() >= 1,
                )
            },
        ],
        830..832,
    );
}

/// Nobody can ask the key-value store, and what waits for a cancelled job still has to be
/// called cancelled in time.
#[test]
fn cancelled_dependencies_while_partitioned() {
    fn with_others(w: &World) -> bool {
        w.cancelled_with_others() >= 24
    }
    let gap = |outages: &[(u64, u64)]| Faults { outages: outages.to_vec(), ..Faults::default() };
    let off = |name, faults| Row { plans: roots_called_off(20), ..row(name, faults, with_others) };
    play(
        vec![
            off("the first called off, 1 s later a long outage", gap(&[(21, 61)])),
            Row {
                // Some name what is cancelled only in the outage.
                plans: called_off(14),
                ..row("called off at each depth, then a long outage", gap(&[(15, 57)]), |w| {
                    w.cancelled_with_others() >= 12
                })
            },
            off(
                "called off, a long outage, and all end in it",
                Faults { crashes: vec![(30, 1)], back_ms: 3_000, ..gap(&[(21, 58)]) },
            ),
            off(
                "called off as one is refused, then all",
                Faults { kv_store_cuts: vec![(0, 20, 22)], ..gap(&[(22, 62)]) },
            ),
            off(
                "called off as one is refused and apart, then all",
                Faults {
                    kv_store_cuts: vec![(1, 19, 22)],
                    peer_cuts: peers_of(1, 18, 70),
                    ..gap(&[(22, 62)])
                },
            ),
            off(
                "one is refused for long",
                Faults { kv_store_cuts: vec![(0, 10, 70)], ..Faults::default() },
            ),
            off(
                "peers apart, and watches hang",
                Faults {
                    hung_watches: vec![(2, 18, 62)],
                    peer_cuts: peers_of(2, 18, 62),
                    ..Faults::default()
                },
            ),
            off(
                "slow watches and a slow state service",
                Faults {
                    slow_watches: 1_500,
                    slow_kv_store: Some((10, 60, 900)),
                    ..Faults::default()
                },
            ),
            off(
                "peers apart",
                Faults {
                    peer_cuts: vec![(0, 1, 15, 62), (0, 2, 15, 62), (1, 2, 15, 62)],
                    ..Faults::default()
                },
            ),
        ],
        840..842,
    );
}
