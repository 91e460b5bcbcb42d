//! The identity of one attempt to run a task.

use crate::peer::DesiredTask;

/// One attempt to run one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Id of the job.
    pub job: String,
    /// Number of the task in its job.
    pub index: u32,
    /// Number of the attempt; higher ones are later.
    pub attempt: u64,
}

impl AttemptId {
    /// The attempt that a shard desires.
    pub fn of(task: &DesiredTask) -> AttemptId {
        AttemptId { job: task.job.clone(), index: task.index, attempt: task.attempt }
    }

    /// The lowest of all attempts that a job can have, in the order of attempts.
    pub fn lowest_of(job: &str) -> AttemptId {
        AttemptId { job: job.to_string(), index: 0, attempt: 0 }
    }

    /// Whether a shard desires this very attempt.
    pub fn identifies(&self, task: &DesiredTask) -> bool {
        self.attempt == task.attempt && self.index == task.index && self.job == task.job
    }

    /// The name of the task in the workers' protocol; it lacks the attempt.
    pub fn task_name(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }

    /// Reads the protocol's name of a task; `None` if it is malformed.
    pub fn parse(task_name: &str, attempt: u64) -> Option<AttemptId> {
        let (job, index) = task_name.split_once('/')?;
        Some(AttemptId { job: job.to_string(), index: index.parse().ok()?, attempt })
    }
}
