//! Identity of one attempt to run a task.

use crate::peer::DesiredTask;

/// One attempt to run one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Id of the job.
    pub job: String,
    /// Number of the task in its job.
    pub index: u32,
    /// Number of the attempt; later attempts have higher numbers.
    pub attempt: u64,
}

impl AttemptId {
    /// The attempt that a desired task stands for.
    pub fn of(task: &DesiredTask) -> AttemptId {
        AttemptId { job: task.job.clone(), index: task.index, attempt: task.attempt }
    }

    /// The attempt of a job that sorts before all its other attempts.
    pub fn lowest_of(job: &str) -> AttemptId {
        AttemptId { job: job.to_string(), index: 0, attempt: 0 }
    }

    /// Whether a desired task stands for exactly this attempt.
    pub fn identifies(&self, task: &DesiredTask) -> bool {
        self.attempt == task.attempt && self.index == task.index && self.job == task.job
    }

    /// Name of the task in the worker protocol, `JOB/INDEX`; it does not include the attempt.
    pub fn task_name(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }

    /// Parses a task name of the worker protocol; `None` if it is malformed.
    pub fn parse(task_name: &str, attempt: u64) -> Option<AttemptId> {
        let (job, index) = task_name.split_once('/')?;
        Some(AttemptId { job: job.to_string(), index: index.parse().ok()?, attempt })
    }
}
