//! When a machine that has a task's image wins over the least loaded one.
//!
//! Machines that passed every filter are compared by reserved tasks. One that
//! has the task's image wins while it has at most a few tasks more than the
//! least loaded; how many grows with the image, since that is what a hit saves.

use crate::config::Options;

/// How many tasks a machine that has an image of so many gigabytes may be ahead of the least
/// loaded one.
pub fn slack(options: &Options, image_gb: f64) -> u32 {
    let step = options.slack_gb.iter().rposition(|from_gb| image_gb >= *from_gb);
    step.map_or(0, |step| options.slack_tasks[step])
}

/// Whether the least loaded machine that has the image wins over the least loaded of all,
/// by their reserved tasks.
pub fn cached_machine_wins(least_loaded: u32, cached: u32, slack: u32) -> bool {
    cached <= least_loaded.saturating_add(slack)
}
