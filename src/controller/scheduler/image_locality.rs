//! Preference of machines that have a task's image over less loaded ones.
//!
//! Machines that pass all filters are compared by reserved tasks. A machine that has the
//! task's image is preferred while it has at most `slack` more tasks than the least loaded
//! machine. The slack grows with the size of the image, because a cache hit saves its fetch.

use crate::config::Options;

/// Number of tasks by which a machine that has an image of `image_gb` gigabytes may exceed the
/// least loaded machine.
pub fn slack(options: &Options, image_gb: f64) -> u32 {
    let step = options.slack_gb.iter().rposition(|from_gb| image_gb >= *from_gb);
    step.map_or(0, |step| options.slack_tasks[step])
}

/// Whether the least loaded machine that has the image is preferred over the least loaded of
/// all machines. `cached` and `least_loaded` are their loads.
pub fn is_cached_machine_preferred(least_loaded: u32, cached: u32, slack: u32) -> bool {
    cached <= least_loaded.saturating_add(slack)
}
