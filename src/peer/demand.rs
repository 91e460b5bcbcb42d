//! Messages about jobs: progress, pending tasks, missing quota, preemptions and inherited
//! urgency.

use prost::Message;

/// Progress of a job: shown to users, and used to tell a failing job from a faulty machine.
#[derive(Clone, PartialEq, Message)]
pub struct Progress {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of completed tasks.
    #[prost(uint32, tag = "2")]
    pub done: u32,
    /// Number of running tasks.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

/// Pending tasks with the same requirements.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// Number of pending tasks, as far as the team's limit lets them run.
    #[prost(uint32, tag = "1")]
    pub tasks: u32,
    /// CPUs of each task.
    #[prost(double, tag = "2")]
    pub cpus: f64,
    /// GPUs of each task.
    #[prost(double, tag = "3")]
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[prost(double, tag = "4")]
    pub memory_gb: f64,
    /// Names of the allowed machine types; empty if all types are allowed.
    #[prost(string, repeated, tag = "5")]
    pub types: Vec<String>,
    /// The only allowed zone; `None` if all zones are allowed.
    #[prost(string, optional, tag = "6")]
    pub zone: Option<String>,
    /// Whether the tasks may run on spot machines.
    #[prost(bool, tag = "7")]
    pub spot: bool,
    /// Scheduling rank: lower is more urgent.
    #[prost(uint32, tag = "8")]
    pub rank: u32,
    /// Whether one more task would take the team beyond its guarantee, so that tasks of teams
    /// within their guarantee go first.
    #[prost(bool, tag = "9")]
    pub beyond_guarantee: bool,
}

/// What pending tasks of a shard need of a team's limit beyond the shard's grant.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaDemand {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Name of the team.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Missing CPUs.
    #[prost(double, tag = "3")]
    pub cpus: f64,
    /// Missing GPUs.
    #[prost(double, tag = "4")]
    pub gpus: f64,
    /// Scheduling rank of the tasks: lower is more urgent.
    #[prost(uint32, tag = "5")]
    pub rank: u32,
}

/// A task that is to be preempted for more urgent ones.
#[derive(Clone, PartialEq, Message)]
pub struct PreemptionRequest {
    /// Id of the task's job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of the task in its job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of the attempt; a later attempt of the task is not preempted.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// Whether there is time for the task to save a checkpoint before it stops.
    #[prost(bool, tag = "4")]
    pub save_checkpoint: bool,
}

/// The most urgent rank and the earliest deadline of the sender's waiting jobs that depend on a
/// job.
#[derive(Clone, PartialEq, Message)]
pub struct InheritedUrgency {
    /// Id of the job that inherits the urgency.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Scheduling rank: lower is more urgent.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// Deadline in microseconds since the Unix epoch;
    /// [`Micros::FAR_FUTURE`](crate::time::Micros::FAR_FUTURE) if there is none.
    #[prost(uint64, tag = "3")]
    pub due_us: u64,
}
