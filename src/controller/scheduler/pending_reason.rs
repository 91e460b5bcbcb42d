//! Reasons for which a job's tasks are pending.

use std::fmt::{self, Display, Formatter};

/// Why a job's next task is not placed. Displayed as on the queue page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingReason {
    /// No scheduling pass has reached the job yet.
    New,
    /// No machine has capacity for the task, nor would have after a preemption.
    NoCapacity,
    /// Tasks of the job failed, and no task is placed until its backoff ends.
    BackedOff,
    /// The team's more urgent tasks lack its limit; a task placed now would be preempted for
    /// them at once.
    UrgentTasksLackLimit,
    /// The chunk that stores the task has no space for its placement until earlier tasks of
    /// the chunk have ended.
    EarlierTasksFirst,
    /// All remaining tasks are placed.
    Starting,
    /// The job is suspected of causing its tasks' failures and runs one task at a time.
    TrialInProgress,
    /// The shard's grant of the team's limit is used up.
    TeamLimit,
    /// The limit on placements of a pass, or on unobserved placements, is reached.
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
