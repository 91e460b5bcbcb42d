//! Direct commands that are held for up to two minutes while heartbeats of the same machine and
//! incarnation are answered. A worker executes them as long as the fencing token and the
//! incarnation match.

use crate::simulation::fault_builders::{cancel_running, peers_of};
use crate::simulation::row::{Row, blue, run_rows};
use crate::simulation::{Faults, HeldCommands, Plan, World};

/// Three of four direct commands are held, for longer than the time within which cancelled tasks
/// must stop.
const HELD: HeldCommands = HeldCommands { from: 8, to: 50, share: 0.75, least_s: 31, most_s: 120 };

/// Jobs of which three of four are cancelled a second after their submission, when some of their
/// starts were sent directly and no heartbeat has reported them yet.
fn cancelled_after_a_second() -> Vec<Plan> {
    let job = |n: u64| {
        let at_s = 8 + n / 3;
        Plan { cancel_at_s: (!n.is_multiple_of(4)).then_some(at_s + 1), ..blue(at_s, 2, 6.0) }
    };
    (0..108).map(job).collect()
}

/// Low-priority jobs that fill the machines, and high-priority jobs that stop some of their tasks
/// before they begin.
fn preempted() -> Vec<Plan> {
    let low = |n: u64| Plan { urgency: "low", ..blue(6 + n / 2, 6, 24.0) };
    let urgent = |n: u64| Plan { urgency: "high", ..blue(9 + n, 6, 4.0) };
    let mut plans: Vec<Plan> = (0..24).map(low).collect();
    plans.extend((0..30).map(urgent));
    plans
}

fn row(name: &'static str, faults: Faults, plans: Vec<Plan>, exercised: fn(&World) -> bool) -> Row {
    let faults = Faults { machines: Some(16), held_commands: Some(HELD), ..faults };
    Row { name, faults, plans, exercised }
}

/// Guards against a start that arrives minutes late and begins a task of a job cancelled meanwhile,
/// and against tasks that wait forever because such a start may still arrive.
#[test]
fn starts_delayed_for_minutes() {
    let crashes = Faults { crashes: vec![(18, 1), (34, 2)], restart_ms: 900, ..Faults::default() };
    let peer_cuts = Faults { peer_cuts: peers_of(0, 14, 40), ..Faults::default() };
    let many = |w: &World| w.long_held_commands > 20 && w.cancelled() > 40;
    run_rows(
        vec![
            row("cancelled after a second", Faults::default(), cancelled_after_a_second(), many),
            row(
                "cancelled after a second, controllers crash",
                crashes,
                cancelled_after_a_second(),
                many,
            ),
            row(
                "cancelled after a second, one controller cut from its peers",
                peer_cuts,
                cancelled_after_a_second(),
                many,
            ),
            row("preempted before it began", Faults::default(), preempted(), |w| {
                w.long_held_commands > 10
            }),
            row(
                "preempted before it began, then cancelled",
                Faults { cancel_running: cancel_running(24_000, 10), ..Faults::default() },
                preempted(),
                |w| w.long_held_commands > 10 && w.cancelled() > 4,
            ),
        ],
        700..704,
    );
}
