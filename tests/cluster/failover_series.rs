//! Shards that change their leader several times in a row while jobs are cancelled and machines hang
//! after the first response of each new leader.

use crate::simulation::fault_builders::failover_series;
use crate::simulation::row::{END_S, assert_no_failures, blue};
use crate::simulation::{Plan, World, check_outcome};
use std::cell::Cell;
use std::ops::Range;

/// Jobs whose tasks outlast the whole series.
fn long_jobs() -> Vec<Plan> {
    (0..24).map(|number| blue(3 + number / 4, 3, 120.0)).collect()
}

/// Seeds of the runs.
const SEEDS: Range<u64> = 2_000..2_020;

/// Guards against a cancelled task whose worker's lease each new leader renews once. The faults are
/// drawn from the seed. In a few runs, all tasks end before the next leader answers their machines.
#[test]
fn cancelled_tasks_kept_by_a_series_of_new_leaders() {
    let exercised_runs = Cell::new(0);
    let run = |seed| {
        let mut world = World::new(seed, &long_jobs(), failover_series(seed));
        world.run_to_end(END_S);
        exercised_runs.set(exercised_runs.get() + usize::from(world.failovers_with_cancelled > 0));
        check_outcome("failover series", seed, world).err()
    };
    assert_no_failures(SEEDS.filter_map(run).collect());
    assert!(exercised_runs.get() >= 15, "{} runs exercised", exercised_runs.get());
}
