//! Combinations drawn by a seed.

use super::row;
use crate::simulation::chance::chance_meeting;
use crate::simulation::row::none_wrong;

/// Faults at random, by the seed, beside pipelines: meetings that nobody thought of.
#[test]
fn random_faults_with_dependencies() {
    let play = |seed| row("by chance", chance_meeting(seed), |_| true).run(seed);
    none_wrong((900..912).filter_map(play).collect());
}
