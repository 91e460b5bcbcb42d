//! Combinations drawn by a seed.

use super::row;
use crate::simulation::chance::random_faults;
use crate::simulation::row::assert_no_failures;

/// The first seeds are those that have shown a fault: work left waiting after a frame
/// was lost, or after a lease came back under which much had been heard and not judged.
#[test]
fn random_fault_combinations() {
    let failed_before = [2194, 2497, 3073, 3240, 3374, 3388];
    let played = failed_before.into_iter().chain(700..710).filter_map(|seed| {
        let row = row("by chance", random_faults(seed), |_| true);
        row.run(seed)
    });
    assert_no_failures(played.collect());
}
