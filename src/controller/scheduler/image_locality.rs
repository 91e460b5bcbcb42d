//! Which machine a task goes to: the design's ordinary path.
//!
//! Machines that passed every filter are compared by booked tasks. One that
//! holds the task's image wins while it has at most a few tasks more than the
//! freest; how many grows with the image, since that is what a hit saves.

use crate::config::Options;

/// How many tasks a holder may be ahead of the freest machine.
pub fn slack(options: &Options, image_gb: f64) -> u32 {
    let step = options.slack_gb.iter().rposition(|from| image_gb >= *from);
    step.map_or(0, |i| options.slack_tasks[i])
}

/// Whether the least loaded holder of the image wins over the freest machine,
/// by their booked tasks.
pub fn cached_machine_wins(least_loaded: u32, cached: u32, slack: u32) -> bool {
    cached <= least_loaded.saturating_add(slack)
}
