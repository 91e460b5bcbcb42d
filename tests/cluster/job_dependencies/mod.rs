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

fn row(name: &'static str, faults: Faults, exercised: fn(&World) -> bool) -> Row {
    Row { name, faults: Faults { machines: Some(24), ..faults }, plans: mixed(), exercised }
}

fn red(at_s: u64, tasks: u32, run_s: f64) -> Plan {
    Plan::new(at_s, tasks, 1.0, run_s)
}

/// Adds a job with dependencies; returns its index.
fn add_job(plans: &mut Vec<Plan>, dependencies: &[usize], plan: Plan) -> usize {
    plans.push(Plan { dependencies: dependencies.to_vec(), ..plan });
    plans.len() - 1
}

/// Adds four jobs, each depending on the one before; returns their indices.
fn chain(plans: &mut Vec<Plan>, at_s: u64, root_s: f64) -> [usize; 4] {
    let root = add_job(plans, &[], Plan { urgency: "low", ..blue(at_s, 3, root_s) });
    let second = add_job(plans, &[root], Plan { urgency: "low", ..blue(at_s, 4, 5.0) });
    let third = add_job(plans, &[second], blue(at_s, 2, 4.0));
    let last = add_job(plans, &[third], Plan { urgency: "high", ..blue(at_s, 2, 2.0) });
    [root, second, third, last]
}

/// Adds a job, two that depend on it, and one that depends on both; returns their indices.
fn diamond(plans: &mut Vec<Plan>, at_s: u64, root_s: f64) -> [usize; 4] {
    let root = add_job(plans, &[], blue(at_s, 2, root_s));
    let left = add_job(plans, &[root], blue(at_s, 3, 3.0));
    let right = add_job(plans, &[root], blue(at_s, 2, 9.0));
    let last = add_job(plans, &[left, right], Plan { urgency: "high", ..blue(at_s, 2, 2.0) });
    [root, left, right, last]
}

/// Adds a chain of jobs of two teams, of which one has a limit; returns their indices.
fn two_teams(plans: &mut Vec<Plan>, at_s: u64) -> [usize; 4] {
    let root = add_job(plans, &[], red(at_s, 6, 6.0));
    let second = add_job(plans, &[root], blue(at_s, 4, 4.0));
    let third = add_job(plans, &[second], red(at_s, 20, 3.0));
    let last = add_job(plans, &[root, third], blue(at_s, 2, 2.0));
    [root, second, third, last]
}

/// Adds a job that depends on ten others; returns its index.
fn fan_in(plans: &mut Vec<Plan>, at_s: u64) -> usize {
    let ten: Vec<usize> =
        (0..10).map(|n| add_job(plans, &[], blue(at_s + n / 3, 2, 3.0 + n as f64))).collect();
    add_job(plans, &ten, blue(at_s, 4, 2.0))
}

/// Adds a chain whose last job is submitted when its dependency has ended, and a job that is
/// submitted 45 s after the others.
fn late_submissions(plans: &mut Vec<Plan>, at_s: u64) {
    let [root, second, third, last] = chain(plans, at_s, 4.0);
    plans[last].after_dependencies_end = true;
    add_job(plans, &[root, second, third], blue(at_s + 45, 2, 2.0));
}

/// Jobs of all the groups above, long chains, and short jobs throughout the run.
fn mixed() -> Vec<Plan> {
    let mut plans = Vec::new();
    for n in 0..4 {
        chain(&mut plans, 3 + 2 * n, 5.0 + n as f64);
    }
    for n in 0..3 {
        diamond(&mut plans, 4 + 3 * n, 7.0);
    }
    two_teams(&mut plans, 5);
    let fan_in_job = fan_in(&mut plans, 6);
    late_submissions(&mut plans, 8);
    // Long chains, of which the first job can be cancelled while the others wait.
    for n in 0..4 {
        chain(&mut plans, 4 + n, 26.0 + n as f64);
    }
    add_job(&mut plans, &[fan_in_job, 0, 3], blue(30, 2, 3.0));
    plans.extend((12..60).step_by(4).map(|s| blue(s, 2, 4.0)));
    plans
}

/// Chains, diamonds and groups of two teams, in each of which one job is cancelled, at every depth
/// in turn, before the group has started or while its jobs run; chains without a cancelled job; and
/// jobs that are submitted later and depend on cancelled ones.
fn cancelled_at_each_depth(at_s: u64) -> Vec<Plan> {
    let mut plans = Vec::new();
    for depth in 0..4 {
        // The first job runs until about second 25.
        let ids = chain(&mut plans, 4, 16.0);
        plans[ids[depth]].cancel_at_s = Some(at_s);
        let ids = diamond(&mut plans, 5, 18.0);
        plans[ids[depth]].cancel_at_s = Some(at_s);
        let ids = two_teams(&mut plans, 6);
        plans[ids[depth]].cancel_at_s = Some(at_s);
        chain(&mut plans, 5, 15.0);
    }
    let fan_in_job = fan_in(&mut plans, 7);
    plans[fan_in_job - 1].cancel_at_s = Some(at_s);
    // No user cancels these: they name jobs that are cancelled by then.
    let late = add_job(&mut plans, &[0], blue(at_s + 8, 2, 2.0));
    add_job(&mut plans, &[late], blue(at_s + 12, 2, 2.0));
    add_job(&mut plans, &[0, 12], blue(at_s + 40, 2, 2.0));
    plans
}

/// Chains of short jobs, so that jobs are released at any moment.
fn short_chains() -> Vec<Plan> {
    let mut plans = Vec::new();
    for n in 0..12 {
        let root = add_job(&mut plans, &[], blue(4 + n, 1, 2.0));
        let mut last = root;
        for k in 0..3 {
            last = add_job(&mut plans, &[last], blue(4 + n, 1 + k % 2, 2.0));
        }
        add_job(&mut plans, &[root, last], red(4 + n, 2, 2.0));
    }
    plans
}

/// Whether 120 tasks of jobs with dependencies have started, nearly all of `mixed`.
fn dependent_tasks_started(w: &World) -> bool {
    w.dependent_starts >= 120
}

/// A row without faults, with the jobs that `plans` adds.
fn fault_free_row(
    name: &'static str,
    plans: fn(&mut Vec<Plan>),
    exercised: fn(&World) -> bool,
) -> Row {
    let mut list = Vec::new();
    plans(&mut list);
    Row { plans: list, ..row(name, Faults::default(), exercised) }
}

/// Lets time pass in which the user of the second job gets answers and no task starts.
fn pass_time(w: &mut World, seconds: u64) {
    for _ in 0..seconds {
        w.now += Micros::secs(1);
        w.inject_answer(1, None, 200, "queued");
        w.check();
    }
}
