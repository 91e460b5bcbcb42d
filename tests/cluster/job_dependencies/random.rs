//! Combinations drawn by a seed.

use super::row;
use crate::simulation::chance::random_faults;
use crate::simulation::row::assert_no_failures;

/// Faults at random, by the seed, beside pipelines: meetings that nobody thought of.
#[test]
fn random_faults_with_dependencies() {
    let play = |seed| row("by chance", random_faults(seed), |_| true).run(seed);
    assert_no_failures((900..912).filter_map(play).collect());
}
