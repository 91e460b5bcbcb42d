//! Jobs that depend on others, under faults.

mod cancellation;
mod limits;
mod messages;
mod ordering;
mod random;
mod rule_checks;

use crate::simulation::row::{Row, blue};
use crate::simulation::{Faults, Plan, World};
use millethold::time::Micros;

fn row(name: &'static str, faults: Faults, shown: fn(&World) -> bool) -> Row {
    Row { name, faults: Faults { machines: Some(24), ..faults }, plans: mixed(), shown }
}

fn red(at_s: u64, tasks: u32, run_s: f64) -> Plan {
    Plan::new(at_s, tasks, 1.0, run_s)
}

/// Adds a job after others; tells its index.
fn after(plans: &mut Vec<Plan>, dependencies: &[usize], plan: Plan) -> usize {
    plans.push(Plan { dependencies: dependencies.to_vec(), ..plan });
    plans.len() - 1
}

/// Four jobs, one after the other; tells their indices.
fn chain(plans: &mut Vec<Plan>, at_s: u64, root_s: f64) -> [usize; 4] {
    let root = after(plans, &[], Plan { urgency: "low", ..blue(at_s, 3, root_s) });
    let second = after(plans, &[root], Plan { urgency: "low", ..blue(at_s, 4, 5.0) });
    let third = after(plans, &[second], blue(at_s, 2, 4.0));
    let last = after(plans, &[third], Plan { urgency: "high", ..blue(at_s, 2, 2.0) });
    [root, second, third, last]
}

/// One, two after it, and one after both.
fn diamond(plans: &mut Vec<Plan>, at_s: u64, root_s: f64) -> [usize; 4] {
    let root = after(plans, &[], blue(at_s, 2, root_s));
    let left = after(plans, &[root], blue(at_s, 3, 3.0));
    let right = after(plans, &[root], blue(at_s, 2, 9.0));
    let last = after(plans, &[left, right], Plan { urgency: "high", ..blue(at_s, 2, 2.0) });
    [root, left, right, last]
}

/// Jobs of two teams after each other, one of which has a limit.
fn teams(plans: &mut Vec<Plan>, at_s: u64) -> [usize; 4] {
    let root = after(plans, &[], red(at_s, 6, 6.0));
    let second = after(plans, &[root], blue(at_s, 4, 4.0));
    let third = after(plans, &[second], red(at_s, 20, 3.0));
    let last = after(plans, &[root, third], blue(at_s, 2, 2.0));
    [root, second, third, last]
}

/// One after ten.
fn fan_in(plans: &mut Vec<Plan>, at_s: u64) -> usize {
    let ten: Vec<usize> =
        (0..10).map(|n| after(plans, &[], blue(at_s + n / 3, 2, 3.0 + n as f64))).collect();
    after(plans, &ten, blue(at_s, 4, 2.0))
}

/// The last is submitted when the others are over, or long after that.
fn late_last(plans: &mut Vec<Plan>, at_s: u64) {
    let [root, second, third, last] = chain(plans, at_s, 4.0);
    plans[last].after_upstream = true;
    after(plans, &[root, second, third], blue(at_s + 45, 2, 2.0));
}

/// All of these, and short jobs all along.
fn mixed() -> Vec<Plan> {
    let mut plans = Vec::new();
    for n in 0..4 {
        chain(&mut plans, 3 + 2 * n, 5.0 + n as f64);
    }
    for n in 0..3 {
        diamond(&mut plans, 4 + 3 * n, 7.0);
    }
    teams(&mut plans, 5);
    let ten = fan_in(&mut plans, 6);
    late_last(&mut plans, 8);
    // Long ones, of which the first can be called off while the others wait.
    for n in 0..4 {
        chain(&mut plans, 4 + n, 26.0 + n as f64);
    }
    after(&mut plans, &[ten, 0, 3], blue(30, 2, 3.0));
    plans.extend((12..60).step_by(4).map(|s| blue(s, 2, 4.0)));
    plans
}

/// Long chains of which one is called off at each depth, as nothing of it has begun or as
/// it runs, beside some that nobody calls off.
fn called_off(at_s: u64) -> Vec<Plan> {
    let mut plans = Vec::new();
    for depth in 0..4 {
        // Its first job runs until the middle of the twenties.
        let ids = chain(&mut plans, 4, 16.0);
        plans[ids[depth]].cancel_at_s = Some(at_s);
        let ids = diamond(&mut plans, 5, 18.0);
        plans[ids[depth]].cancel_at_s = Some(at_s);
        let ids = teams(&mut plans, 6);
        plans[ids[depth]].cancel_at_s = Some(at_s);
        chain(&mut plans, 5, 15.0);
    }
    let ten = fan_in(&mut plans, 7);
    plans[ten - 1].cancel_at_s = Some(at_s);
    // Nobody called these off: they name jobs that are cancelled by then.
    let late = after(&mut plans, &[0], blue(at_s + 8, 2, 2.0));
    after(&mut plans, &[late], blue(at_s + 12, 2, 2.0));
    after(&mut plans, &[0, 12], blue(at_s + 40, 2, 2.0));
    plans
}

/// Short jobs after each other, so that much is released at any moment.
fn short() -> Vec<Plan> {
    let mut plans = Vec::new();
    for n in 0..12 {
        let root = after(&mut plans, &[], blue(4 + n, 1, 2.0));
        let mut last = root;
        for k in 0..3 {
            last = after(&mut plans, &[last], blue(4 + n, 1 + k % 2, 2.0));
        }
        after(&mut plans, &[root, last], red(4 + n, 2, 2.0));
    }
    plans
}

/// Tasks of the jobs that wait in `mixed`.
fn all_waited(w: &World) -> bool {
    w.waited_starts >= 120
}

fn one(name: &'static str, plans: fn(&mut Vec<Plan>), shown: fn(&World) -> bool) -> Row {
    let mut list = Vec::new();
    plans(&mut list);
    Row { plans: list, ..row(name, Faults::default(), shown) }
}

/// Somebody answers the second job's user for so long, and still nothing begins.
fn wait(w: &mut World, seconds: u64) {
    for _ in 0..seconds {
        w.now += Micros::secs(1);
        w.forge_answer(1, None, 200, "queued");
        w.check();
    }
}
