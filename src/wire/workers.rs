//! The protocol of workers: heartbeats, their responses and commands.

use serde::{Deserialize, Serialize};

/// Fencing token of commands to a worker. The worker executes no command whose token is lower
/// than the highest one it has received, so commands of an earlier leader have no effect.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// Incarnation number of a worker. It increases when the worker restarts or its lease expires;
/// all tasks of earlier incarnations are gone then.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerIncarnation(pub u64);

impl WorkerIncarnation {
    /// No incarnation: real ones start at 1.
    pub const NONE: WorkerIncarnation = WorkerIncarnation(0);
}

/// State of a task, as the worker reports it in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    #[serde(alias = "waiting")]
    Fetching,
    /// Running.
    Running,
    /// Saving a checkpoint after a command to stop.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended; [`ReportedTask::cause`] says why.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task ended on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// Completed.
    Done,
    /// Stopped by a command.
    Stopped,
    /// Ended with an error.
    Error,
    /// Start refused: the machine lacks capacity.
    #[serde(rename = "full")]
    NoCapacity,
    /// Start refused: the machine has another attempt of the task.
    Busy,
    /// The worker knows no such job or task. Handled as a failure of the task, but not counted
    /// against its machine.
    #[serde(rename = "no_such")]
    NoSuchTask,
    /// A value that this version does not know; handled as a failure.
    #[serde(other)]
    Other,
}

/// One task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Name of the task: `job/index`.
    #[serde(rename = "plank")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Current state of the attempt.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why the attempt ended; `None` before that.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EndCause>,
}

/// Heartbeat of a worker, with the full status of its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "lathe")]
    pub machine: String,
    /// Address for direct commands, as `IP:port`.
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "bench")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Current incarnation of the worker.
    #[serde(rename = "shift")]
    pub incarnation: WorkerIncarnation,
    /// Sequence number of the heartbeats within the incarnation.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token that the worker has received.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud reclaims the machine; `None` without a spot notice.
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones until [`Command::Forget`].
    #[serde(rename = "planks", default)]
    pub tasks: Vec<ReportedTask>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "run")]
    Start {
        /// Name of the task: `job/index`.
        #[serde(rename = "plank")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// Name of the task: `job/index`.
        #[serde(rename = "plank")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that the task may take to save a checkpoint.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Omit an exited task from further heartbeats.
    #[serde(rename = "clear")]
    Forget {
        /// Name of the task: `job/index`.
        #[serde(rename = "plank")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a heartbeat if another member leads the machine's shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HeartbeatRedirect<'a> {
    /// Name of the member that leads the shard.
    #[serde(rename = "foreman")]
    pub member: &'a str,
}

/// Response to a heartbeat, which renews the worker's lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the commands.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Commands, which the worker executes in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that a shard's leader sends to a worker without waiting for a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the commands.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Incarnation of the worker that the commands are meant for.
    #[serde(rename = "shift")]
    pub incarnation: WorkerIncarnation,
    /// Commands, which the worker executes in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
