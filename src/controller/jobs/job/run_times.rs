//! How long the tasks of one job run.

use crate::time::Micros;

/// Run times kept of a job: its first ones are enough for a median.
const MAX_RUN_TIMES: usize = 64;
/// Run times from which on their median is used.
const MIN_RUN_TIMES: usize = 3;

/// Run times of a job's first completed tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunTimes {
    /// In ascending order.
    sorted: Vec<Micros>,
    median: Option<Micros>,
}

impl RunTimes {
    /// Takes in one more, unless there are enough.
    pub(crate) fn note(&mut self, ran: Micros) {
        if self.sorted.len() >= MAX_RUN_TIMES {
            return;
        }
        let position = self.sorted.partition_point(|earlier| *earlier <= ran);
        self.sorted.insert(position, ran);
        if self.sorted.len() >= MIN_RUN_TIMES {
            self.median = Some(self.sorted[self.sorted.len() / 2]);
        }
    }

    /// Their median, once there are a few.
    pub(crate) fn median(&self) -> Option<Micros> {
        self.median
    }
}
