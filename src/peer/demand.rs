//! Jobs: their progress, what waits, what it lacks and what should be preempted.

use prost::Message;

/// A job's progress, for display.
#[derive(Clone, PartialEq, Message)]
pub struct Progress {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Tasks done.
    #[prost(uint32, tag = "2")]
    pub done: u32,
    /// Tasks running.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

/// Waiting tasks with the same requirements.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// How many tasks wait.
    #[prost(uint32, tag = "1")]
    pub tasks: u32,
    /// CPUs of each.
    #[prost(double, tag = "2")]
    pub cpus: f64,
    /// GPUs of each.
    #[prost(double, tag = "3")]
    pub gpus: f64,
    /// Memory of each, in GB.
    #[prost(double, tag = "4")]
    pub memory_gb: f64,
    /// Allowed machine types; none named: all.
    #[prost(string, repeated, tag = "5")]
    pub types: Vec<String>,
    /// Allowed zone.
    #[prost(string, optional, tag = "6")]
    pub zone: Option<String>,
    /// May use spot machines.
    #[prost(bool, tag = "7")]
    pub spot: bool,
    /// Rank of service: lower is more urgent.
    #[prost(uint32, tag = "8")]
    pub rank: u32,
    /// Its team uses its whole guarantee, so that others go first.
    #[prost(bool, tag = "9")]
    pub beyond_guarantee: bool,
}

/// What a shard lacks of a team's limit.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaDemand {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Name of the team.
    #[prost(string, tag = "2")]
    pub team: String,
    /// CPUs that waiting tasks lack.
    #[prost(double, tag = "3")]
    pub cpus: f64,
    /// GPUs that they lack.
    #[prost(double, tag = "4")]
    pub gpus: f64,
    /// Rank of these tasks.
    #[prost(uint32, tag = "5")]
    pub rank: u32,
}

/// A task whose preemption is requested.
#[derive(Clone, PartialEq, Message)]
pub struct Preempt {
    /// Id of its job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of the task in its job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of its attempt.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// There is time for it to save a checkpoint first.
    #[prost(bool, tag = "4")]
    pub save: bool,
}

/// A job on which others depend, and how urgent the most urgent of them is.
#[derive(Clone, PartialEq, Message)]
pub struct InheritedUrgency {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Rank of service: lower is more urgent.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// Time of day of the deadline, in microseconds.
    #[prost(uint64, tag = "3")]
    pub due_us: u64,
}
