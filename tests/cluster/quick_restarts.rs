//! Controllers that are back within a fraction of a second while users query them: reads and lists
//! are executed and answered in any order around the start of the process.

use crate::simulation::fault_builders::quick_restarts;
use crate::simulation::row::{Row, assert_no_failures, blue};
use crate::simulation::{Plan, World};

/// Number of jobs without dependencies.
const FIRST_JOBS: u64 = 80;
/// Number of jobs that depend on each of them, so that controllers besides its own wait for it.
const DEPENDENTS: usize = 2;

/// Jobs that run until a controller crashes or they are cancelled, and jobs that depend on them.
fn jobs_with_dependents() -> Vec<Plan> {
    let mut plans = Vec::new();
    for number in 0..FIRST_JOBS {
        let at_s = 3 + number / 10;
        let cancel_at_s = (number % 8 == 7).then_some(15 + number / 2);
        let first = plans.len();
        plans.push(Plan { cancel_at_s, ..blue(at_s, 1, 60.0) });
        for _ in 0..DEPENDENTS {
            plans.push(Plan { dependencies: vec![first], ..blue(at_s, 1, 0.5) });
        }
    }
    plans
}

/// Guards against reads, lists and comparisons that are older than what the process has received: a
/// job that is never released (`review/4`), and an answer older than an earlier one (`review/6`).
/// The faults are drawn from the seed; the first seeds have shown these faults.
#[test]
fn replies_around_the_start_of_a_process() {
    let exercised = |world: &World| world.queries_at_start > 50;
    let run = |seed| {
        let (name, faults) = ("quick restarts", quick_restarts(seed));
        Row { name, faults, plans: jobs_with_dependents(), exercised }.run(seed)
    };
    let failed_before = [1017, 1057, 1075, 1107, 1173, 1210, 1216, 1244, 1265];
    assert_no_failures(failed_before.into_iter().chain(1_000..1_006).filter_map(run).collect());
}
