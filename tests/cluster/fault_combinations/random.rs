//! Random combinations of faults, drawn from a seed.

use super::row;
use crate::simulation::fault_builders::random_faults;
use crate::simulation::row::assert_no_failures;

/// The first seeds have shown faults. Tasks were left waiting after a frame was lost. When a
/// controller's lease became valid again after it had lapsed, tasks were not evaluated against the
/// machine views that had been applied in between (see `Controller::evaluate_all`).
#[test]
fn random_fault_combinations() {
    let failed_before = [2194, 2497, 3073, 3240, 3374, 3388];
    let failures = failed_before.into_iter().chain(700..710).filter_map(|seed| {
        let row = row("random faults", random_faults(seed), |_| true);
        row.run(seed)
    });
    assert_no_failures(failures.collect());
}
