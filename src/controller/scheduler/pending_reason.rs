//! Why tasks of a job wait.

use std::fmt::{self, Display, Formatter};

/// Why a job's next task is not placed. Displayed as on the queue page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingReason {
    /// No pass has come to it yet.
    New,
    /// No machine has capacity for it, nor would have after a preemption.
    NoCapacity,
    /// It failed and is tried again later.
    BackedOff,
    /// Placed now, it would be preempted at once for the team's more urgent tasks.
    UrgentTasksLackLimit,
    /// The chunk in which its task is stored is full until earlier tasks of it have ended.
    EarlierTasksFirst,
    /// All of its tasks are placed.
    Starting,
    /// A job that seems to be at fault runs one task at a time.
    TrialInProgress,
    /// Its shard's grant of the team's limit is used up.
    TeamLimit,
    /// This pass has placed as many tasks as it may.
    NextPass,
}

impl PendingReason {
    /// The text on the queue page.
    pub fn as_str(self) -> &'static str {
        match self {
            PendingReason::New => "new",
            PendingReason::NoCapacity => "no machine with room",
            PendingReason::BackedOff => "backed off after failures",
            PendingReason::UrgentTasksLackLimit => "more urgent tasks of the team lack its limit",
            PendingReason::EarlierTasksFirst => "earlier tasks of it first",
            PendingReason::Starting => "starting",
            PendingReason::TrialInProgress => "a trial after failures is under way",
            PendingReason::TeamLimit => "the team's limit",
            PendingReason::NextPass => "the next pass",
        }
    }
}

impl Display for PendingReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
