//! Run times of one job's completed tasks, and their median.

use crate::time::Micros;

/// Maximum number of run times kept per job. The first ones are enough for a median.
const MAX_RUN_TIMES: usize = 64;
/// Minimum number of run times for a median.
const MIN_RUN_TIMES: usize = 3;

/// Run times of a job's first completed tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunTimes {
    /// Run times in ascending order.
    sorted: Vec<Micros>,
    median: Option<Micros>,
}

impl RunTimes {
    /// Adds a run time unless [`MAX_RUN_TIMES`] are already kept.
    pub(crate) fn record(&mut self, ran: Micros) {
        if self.sorted.len() >= MAX_RUN_TIMES {
            return;
        }
        let position = self.sorted.partition_point(|earlier| *earlier <= ran);
        self.sorted.insert(position, ran);
        if self.sorted.len() >= MIN_RUN_TIMES {
            self.median = Some(self.sorted[self.sorted.len() / 2]);
        }
    }

    /// Median run time; `None` until there are [`MIN_RUN_TIMES`].
    pub(crate) fn median(&self) -> Option<Micros> {
        self.median
    }
}
