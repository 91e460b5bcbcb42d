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
        ],
        800..804,
    );
}
