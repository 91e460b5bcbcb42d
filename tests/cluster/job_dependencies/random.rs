//! Random combinations of faults, drawn from a seed.

use super::row;
use crate::simulation::fault_builders::random_faults;
use crate::simulation::row::assert_no_failures;

/// Random faults with jobs that have dependencies, for combinations that no table lists.
#[test]
fn random_faults_with_dependencies() {
    let run = |seed| row("random faults", random_faults(seed), |_| true).run(seed);
    assert_no_failures((900..912).filter_map(run).collect());
}
