//! Scenarios with one kind of load or fault each.

mod faults;
mod load;
mod partitions;
mod scheduling;

use crate::simulation::{Faults, Plan, run_until_done};

fn plans() -> Vec<Plan> {
    let mut blue = Plan::new(6, 9, 2.0, 6.0);
    blue.team = "blue";
    let mut urgent = Plan::new(20, 3, 2.0, 5.0);
    urgent.urgency = "high";
    let mut cancelled = Plan::new(8, 12, 1.0, 40.0);
    cancelled.cancel_at_s = Some(25);
    let mut together = Plan::new(30, 4, 1.0, 8.0);
    together.together = true;
    together.team = "blue";
    let mut apart = Plan::new(35, 5, 1.0, 8.0);
    apart.apart = true;
    let mut late_cancel = Plan::new(50, 6, 2.0, 30.0);
    late_cancel.cancel_at_s = Some(66);
    vec![
        Plan::new(3, 20, 1.0, 4.0),
        blue,
        cancelled,
        urgent,
        together,
        apart,
        // Has enough chunks for several of the small pages of the key-value store's stand-in.
        Plan::new(40, 600, 1.0, 0.3),
        late_cancel,
        Plan::new(70, 10, 1.0, 10.0),
    ]
}

/// Low-priority jobs on all machines, and high-priority jobs that preempt them repeatedly.
fn preempting_plans() -> Vec<Plan> {
    let mut plans = vec![];
    for s in [3, 4, 5, 30, 31] {
        let mut low = Plan::new(s, 12, 2.0, 25.0);
        low.urgency = "low";
        low.team = "blue";
        plans.push(low);
    }
    for s in (12..80).step_by(4) {
        let mut urgent = Plan::new(s, 4, 2.0, 3.0);
        urgent.urgency = "high";
        urgent.team = "blue";
        plans.push(urgent);
    }
    plans
}

/// Runs `plans()` with each seed until the given second.
fn run_plans(name: &str, seeds: std::ops::Range<u64>, end_s: u64, faults: &Faults) {
    for seed in seeds {
        let world = run_until_done(name, seed, &plans(), end_s, faults);
        assert!(world.starts >= 200, "{name}, seed {seed}: only {} starts", world.starts);
    }
}
