//! Users: the jobs that they submit and the answers to them.

use serde::{Deserialize, Serialize};

/// Longest job id, in bytes: ids become keys of the store.
const MAX_JOB_ID_BYTES: usize = 40;
/// Every job id starts with this and goes on in digits.
pub const JOB_PREFIX: &str = "j-";

/// How urgent a job is; the order of the variants is the order of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Before everything else.
    Production,
    /// Urgent.
    High,
    /// The usual.
    #[serde(rename = "standard")]
    Normal,
    /// When there is capacity left.
    Low,
}

/// A job as its user describes it, checked by [`parse_job`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id chosen by the user.
    #[serde(rename = "ref")]
    pub id: String,
    /// Class that the service-level objectives name.
    #[serde(rename = "grade")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// How urgent.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "planks")]
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Image that the machine needs first.
    #[serde(rename = "pattern")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Allowed machine types.
    #[serde(rename = "benches", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Allowed zone.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "together", default)]
    pub one_zone: bool,
    /// At most half of the tasks in a zone.
    #[serde(rename = "apart", default)]
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "expectedS", default)]
    pub estimate_s: f64,
    /// Seconds between checkpoints, 0 for none.
    #[serde(rename = "notchS", default)]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "stackS", default)]
    pub save_s: f64,
    /// Deadline, in seconds after submission.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts. They are stored
    /// with the job's record, where every node follows them.
    #[serde(skip)]
    pub dependencies: Vec<String>,
}

/// True for ids of the protocol's form. Bounded, since ids become keys.
pub fn valid_job_id(id: &str) -> bool {
    id.len() <= MAX_JOB_ID_BYTES
        && id
            .strip_prefix(JOB_PREFIX)
            .is_some_and(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()))
}

/// A job's stage as users know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStage {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks have completed.
    Done,
    /// The user cancelled it.
    Cancelled,
}

/// Answer to a request about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct JobAnswer<'a> {
    /// Id.
    #[serde(rename = "ref")]
    pub id: &'a str,
    /// Stage.
    pub stage: JobStage,
    /// Tasks that have completed.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// Answer to a request that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusal<'a> {
    /// The reason.
    pub error: &'a str,
    /// The field at fault, where there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<&'a str>,
}

impl<'a> Refusal<'a> {
    /// A refusal that concerns no field.
    pub fn new(error: &'a str) -> Refusal<'a> {
        Refusal { error, field: None }
    }
}
