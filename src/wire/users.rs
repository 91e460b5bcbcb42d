//! The protocol of users: submitted jobs and the responses about them.

use serde::{Deserialize, Serialize};

/// Length limit of a job id, in bytes: ids become keys of the key-value store.
const MAX_JOB_ID_BYTES: usize = 40;
/// Prefix of every job id; the rest is digits.
pub const JOB_ID_PREFIX: &str = "j-";

/// Priority of a job. The order of the variants is the scheduling order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Scheduled before all other jobs.
    Production,
    /// For urgent jobs.
    High,
    /// For ordinary jobs.
    #[serde(rename = "standard")]
    Normal,
    /// Uses capacity that jobs of higher priority leave.
    Low,
}

/// Specification of a job as submitted by its user, checked by [`parse_job`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id chosen by the user.
    #[serde(rename = "ref")]
    pub id: String,
    /// Class of the job, by which service-level objectives select jobs.
    #[serde(rename = "grade")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Priority of all tasks.
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
    /// Image that a machine must have before a task can start.
    #[serde(rename = "pattern")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Allowed machine types; `None` allows all.
    #[serde(rename = "benches", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows all.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone.
    #[serde(rename = "together", default)]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in any one zone.
    #[serde(rename = "apart", default)]
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Run time of a task as estimated by the user, in seconds.
    #[serde(rename = "expectedS", default)]
    pub estimate_s: f64,
    /// Seconds between two checkpoints of a task; 0 if it saves none.
    #[serde(rename = "notchS", default)]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "stackS", default)]
    pub save_s: f64,
    /// Deadline, in seconds after submission; `None` if there is none.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Ids of the jobs that must be done before any task of this one starts. They are not
    /// serialized here but stored in the job's record, which every member watches.
    #[serde(skip)]
    pub dependencies: Vec<String>,
}

/// Whether an id has the protocol's form: [`JOB_ID_PREFIX`], then digits. Its length is limited,
/// since ids become keys of the key-value store.
pub fn is_valid_job_id(id: &str) -> bool {
    id.len() <= MAX_JOB_ID_BYTES
        && id
            .strip_prefix(JOB_ID_PREFIX)
            .is_some_and(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()))
}

/// Stage of a job in responses to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStage {
    /// Accepted, and no task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks have completed.
    Done,
    /// Cancelled by a user, or with a job that it depends on.
    Cancelled,
}

/// Response to a request about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct JobResponse<'a> {
    /// Id of the job.
    #[serde(rename = "ref")]
    pub id: &'a str,
    /// Current stage of the job.
    pub stage: JobStage,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// Response to a request that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusal<'a> {
    /// Reason for the refusal.
    pub error: &'a str,
    /// The invalid field; `None` if the refusal is not about a field.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<&'a str>,
}

impl<'a> Refusal<'a> {
    /// Creates a refusal that is not about a field.
    pub fn new(error: &'a str) -> Refusal<'a> {
        Refusal { error, field: None }
    }
}
