//! Direct commands that are held on their way for up to minutes, while the reports of the
//! same machine and session go on and are answered: they are carried out as long as token
//! and session match.

use crate::simulation::chance::{cancel, peers_of};
use crate::simulation::row::{Row, blue, play};
use crate::simulation::{Faults, HeldCommands, Plan, World};

/// Three of four direct commands are held, for longer than a cancellation has.
const HELD: HeldCommands = HeldCommands { from: 8, to: 50, share: 0.75, least_s: 31, most_s: 120 };

/// Jobs of which most are called off a second after they were handed in: some of their
/// starts were sent directly, and no report has had them yet.
fn called_off_at_once() -> Vec<Plan> {
    let job = |n: u64| {
        let at_s = 8 + n / 3;
        Plan { cancel_at_s: (!n.is_multiple_of(4)).then_some(at_s + 1), ..blue(at_s, 2, 6.0) }
    };
    (0..108).map(job).collect()
}

/// Low work fills the machines, and urgent work makes some of it stop before it began.
fn preempted() -> Vec<Plan> {
    let low = |n: u64| Plan { urgency: "low", ..blue(6 + n / 2, 6, 24.0) };
    let urgent = |n: u64| Plan { urgency: "high", ..blue(9 + n, 6, 4.0) };
    let mut plans: Vec<Plan> = (0..24).map(low).collect();
    plans.extend((0..30).map(urgent));
    plans
}

fn row(name: &'static str, faults: Faults, plans: Vec<Plan>, shown: fn(&World) -> bool) -> Row {
    let faults = Faults { machines: Some(16), held_commands: Some(HELD), ..faults };
    Row { name, faults, plans, shown }
}

/// No task of a cancelled job begins once its time is over, however late its start
/// arrives, and nothing waits for ever behind a start that may still arrive.
#[test]
fn starts_delayed_for_minutes() {
    let crashes = Faults { crashes: vec![(18, 1), (34, 2)], back_ms: 900, ..Faults::default() };
    let apart = Faults { peer_cuts: peers_of(0, 14, 40), ..Faults::default() };
    let many = |w: &World| w.long_held > 20 && w.cancelled() > 40;
    play(
        vec![
            row("called off at once", Faults::default(), called_off_at_once(), many),
            row("called off at once, leaders end", crashes, called_off_at_once(), many),
            row("called off at once, peers apart", apart, called_off_at_once(), many),
            row("stopped before it began", Faults::default(), preempted(), |w| w.long_held > 10),
            row(
                "stopped before it began, then called off",
                Faults { cancel_now: cancel(24_000, 10), ..Faults::default() },
                preempted(),
                |w| w.long_held > 10 && w.cancelled() > 4,
            ),
        ],
        700..704,
    );
}
