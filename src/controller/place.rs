//! Which machine a task goes to: the design's ordinary path.
//!
//! Machines that passed every filter are compared by booked tasks. One that
//! holds the task's image wins while it has at most a few tasks more than the
//! freest; how many grows with the image, since that is what a hit saves.

use crate::config::Options;

/// A machine that passed every filter.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// Its name.
    pub machine: &'a str,
    /// Tasks booked on it, by any seat.
    pub booked: u32,
    /// CPUs left over; only breaks ties.
    pub free_cpus: f64,
    /// The index says that it has the image, or fetches it.
    pub holds_image: bool,
}

/// How many tasks a holder may be ahead of the freest machine.
pub fn slack(options: &Options, image_gb: f64) -> u32 {
    let step = options.slack_gb.iter().rposition(|from| image_gb >= *from);
    step.map_or(0, |i| options.slack_tasks[i])
}

/// Picks among the candidates; `None` if there are none.
///
/// With `pack` the fullest machine is taken instead of the freest: an
/// exception to the design for the time in which larger tasks wait that no
/// machine has room for. Spreading small tasks evenly leaves every machine a
/// little used, and a task that needs a whole one could wait without end.
pub fn choose<'a>(candidates: &[Candidate<'a>], slack: u32, pack: bool) -> Option<&'a str> {
    fn better<'c, 'a>(a: &'c Candidate<'a>, b: &'c Candidate<'a>) -> std::cmp::Ordering {
        a.booked
            .cmp(&b.booked)
            .then(b.free_cpus.total_cmp(&a.free_cpus))
            .then(a.machine.cmp(b.machine))
    }
    if pack {
        let fullest = candidates.iter().min_by(|a, b| {
            a.free_cpus
                .total_cmp(&b.free_cpus)
                .then(b.holds_image.cmp(&a.holds_image))
                .then(a.machine.cmp(b.machine))
        });
        return fullest.map(|c| c.machine);
    }
    let freest = candidates.iter().min_by(|a, b| better(a, b))?;
    let holder = candidates.iter().filter(|c| c.holds_image).min_by(|a, b| better(a, b));
    match holder {
        Some(h) if h.booked <= freest.booked.saturating_add(slack) => Some(h.machine),
        _ => Some(freest.machine),
    }
}
