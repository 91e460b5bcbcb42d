//! Workers: their heartbeats and the commands to them.

use serde::{Deserialize, Serialize};

/// The number by which a worker refuses commands that are out of date: it executes none
/// with a lower one than it has been shown.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// Number of a worker's incarnation: it rises when the worker starts anew or its lease
/// expires, and all tasks of earlier incarnations are gone then.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerIncarnation(pub u64);

impl WorkerIncarnation {
    /// Stands for none: incarnations count from 1.
    pub const NONE: WorkerIncarnation = WorkerIncarnation(0);
}

/// A task's state on a machine, by its heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    #[serde(alias = "waiting")]
    Fetching,
    /// Running.
    Running,
    /// Was commanded to stop and saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// Over; see the cause.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task ended on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Error,
    /// Start refused for want of capacity.
    #[serde(rename = "full")]
    NoRoom,
    /// Start refused: there with another attempt.
    Busy,
    /// Start refused: no such job or task.
    #[serde(rename = "no_such")]
    Unknown,
    /// A word that this version does not know; handled as a failure.
    #[serde(other)]
    Other,
}

/// One task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// `job/index`.
    #[serde(rename = "plank")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
}

/// A worker's heartbeat with its status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Machine's name.
    #[serde(rename = "lathe")]
    pub machine: String,
    /// Where direct commands go.
    pub address: String,
    /// Machine type.
    #[serde(rename = "bench")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Incarnation of the worker.
    #[serde(rename = "shift")]
    pub incarnation: WorkerIncarnation,
    /// Order of its heartbeats within an incarnation.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token that it was shown.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud takes a spot machine back.
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    /// Everything on the machine.
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
        /// `job/index`.
        #[serde(rename = "plank")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// `job/index`.
        #[serde(rename = "plank")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that it may take to save a checkpoint.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Leave an exited task out of further heartbeats.
    #[serde(rename = "clear")]
    Forget {
        /// `job/index`.
        #[serde(rename = "plank")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a worker whose machine another member commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HeartbeatRedirect<'a> {
    /// That member.
    #[serde(rename = "foreman")]
    pub member: &'a str,
}

/// Answer to a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the shard's leader that answers.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that are sent to a worker without waiting for its heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the shard's leader.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Incarnation of the worker that they are meant for.
    #[serde(rename = "shift")]
    pub incarnation: WorkerIncarnation,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
