//! Direct commands that workers have executed and answered, and of which a copy arrives again up to
//! 40 s later. A worker executes the copy as long as the fencing token and the incarnation match.

use crate::simulation::fault_builders::{cancel_running, peers_of};
use crate::simulation::row::{Row, blue, run_rows};
use crate::simulation::{Faults, Plan, World};

/// Low-priority jobs that fill the machines, and high-priority jobs that preempt some of their
/// tasks, which are placed again later, often on another machine.
fn preempted() -> Vec<Plan> {
    let low = |n: u64| Plan { urgency: "low", ..blue(4 + n / 3, 6, 12.0) };
    let urgent = |n: u64| Plan { urgency: "high", ..blue(8 + 2 * n, 6, 3.0) };
    let mut plans: Vec<Plan> = (0..36).map(low).collect();
    plans.extend((0..30).map(urgent));
    plans
}

/// Every two seconds one controller crashes, and is back within a fraction of a second.
fn quick_restarts() -> Faults {
    let crashes = (14..50).step_by(2).map(|s| (s, 1)).collect();
    Faults { crashes, restart_ms: 200, ..Faults::default() }
}

/// Machines hang or are cut off, one after the other, and are back within a second.
fn quick_returns() -> Faults {
    let cuts = (12..52).map(|s| (s as usize % 16, s, s + 1, s % 3 == 0)).collect();
    Faults { worker_cuts: cuts, ..Faults::default() }
}

fn row(name: &'static str, faults: Faults) -> Row {
    let faults = Faults { machines: Some(16), command_copies: 0.5, ..faults };
    let exercised = |w: &World| w.command_copies > 40;
    Row { name, faults, plans: preempted(), exercised }
}

/// Guards against a task that runs on two machines. Its attempt on the first machine was started by
/// a direct command, has ended and is forgotten, and a copy of that command arrives there while the
/// next attempt runs elsewhere, the job is done, or it was cancelled longer ago than allowed.
#[test]
fn copies_of_executed_starts() {
    let crashes =
        Faults { crashes: vec![(14, 1), (26, 2), (40, 1)], restart_ms: 6_000, ..Faults::default() };
    let peer_cuts = Faults { peer_cuts: peers_of(0, 14, 40), ..Faults::default() };
    run_rows(
        vec![
            row("no other fault", Faults::default()),
            row("controllers crash", crashes),
            row("one controller cut from its peers", peer_cuts),
            row(
                "running jobs cancelled",
                Faults { cancel_running: cancel_running(24_000, 10), ..Faults::default() },
            ),
            row("controllers back within a second", quick_restarts()),
            row("machines back within a second", quick_returns()),
            row(
                "machines back in their next session",
                Faults {
                    worker_cuts: (0..8).map(|w| (w, 14 + w as u64, 28 + w as u64, true)).collect(),
                    ..Faults::default()
                },
            ),
            row(
                "controllers and machines back within a second, running jobs cancelled",
                Faults {
                    worker_cuts: quick_returns().worker_cuts,
                    cancel_running: cancel_running(24_000, 10),
                    ..quick_restarts()
                },
            ),
        ],
        800..804,
    );
}
