//! Combinations of faults: each row of a table is run with a few seeds.

mod capacity;
mod heartbeats;
mod leadership;
mod random;
mod rule_checks;
mod store_refusals;
mod users;

use crate::simulation::row::{Row, blue};
use crate::simulation::{CancelRunning, Faults, Plan, World};

fn row(name: &'static str, faults: Faults, exercised: fn(&World) -> bool) -> Row {
    Row { name, faults: Faults { machines: Some(24), ..faults }, plans: busy(), exercised }
}

/// Long jobs to cancel, a team at its limit, and short jobs throughout the run.
fn busy() -> Vec<Plan> {
    let mut plans: Vec<Plan> = (0..18).map(|n| blue(3 + n / 3, 3, 45.0 + n as f64)).collect();
    plans.extend((0..6).map(|n| Plan::new(4 + n, 4, 1.0, 14.0)));
    plans.extend((12..90).step_by(2).map(|s| blue(s, 2, 4.0)));
    plans
}

fn cancel_and_hang(at_ms: u64, count: usize, hang_s: u64) -> Vec<CancelRunning> {
    vec![CancelRunning { at_ms, count, hang_s }]
}
