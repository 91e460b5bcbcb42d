//! The protocol's JSON, and the only place that knows its odd words.
//!
//! Field names that users, workers, cloud and state service speak are mapped
//! here by serde; the rest of the program says job, task, machine, session.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;

/// Paths of the users' and workers' interfaces that this service answers.
pub mod path {
    /// Users' jobs.
    pub const JOBS: &str = "/work";
    /// Last part of the path that cancels a job.
    pub const CANCEL: &str = "abort";
    /// Load balancer's probe.
    pub const HEALTH: &str = "/healthz";
    /// Workers' reports.
    pub const REPORT: &str = "/v1/report";
    /// Direct commands to a worker.
    pub const COMMANDS: &str = "/do";
    /// How a worker stands.
    pub const INSPECT: &str = "/inspect";
    /// Cloud: machine types.
    pub const TYPES: &str = "/flavors";
    /// Cloud: machines.
    pub const MACHINES: &str = "/machines";
    /// Cloud: return machines.
    pub const RETURN: &str = "/machines/return";
    /// State: keys.
    pub const KV: &str = "/kv";
    /// State: transactions.
    pub const TXN: &str = "/txn";
    /// State: leases.
    pub const LEASES: &str = "/leases";
    /// State: renewal, after the lease's number.
    pub const EXTEND: &str = "extend";
    /// State: changes.
    pub const FOLLOW: &str = "/follow";
    /// State: how long a watch waits, in its query.
    pub const WAIT: &str = "blockMs";
}

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
    /// When there is room.
    Low,
}

/// A job as its user describes it, checked by [`parse_job`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id chosen by the user.
    #[serde(rename = "ref")]
    pub id: String,
    /// Class that the objectives name.
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
    /// Memory of each task.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Image that the machine needs first.
    #[serde(rename = "pattern")]
    pub image: String,
    /// Size of the image.
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
    /// Owner's estimate of a task's run time.
    #[serde(rename = "expectedS", default)]
    pub estimate_s: f64,
    /// Interval between checkpoints, 0 for none.
    #[serde(rename = "notchS", default)]
    pub checkpoint_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "stackS", default)]
    pub save_s: f64,
    /// Deadline after submission.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts. They are stored
    /// with the job's record, where every node follows them.
    #[serde(skip)]
    pub upstream: Vec<String>,
}

/// Why a submission is malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadJob {
    /// The field at fault, empty for the body as a whole.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
    /// The job id if that at least could be read: a repeat of a known job is
    /// answered 200 whatever else its body holds.
    pub id: Option<String>,
}

/// True for ids of the protocol's form. Bounded, since ids become keys.
pub fn valid_job_id(id: &str) -> bool {
    id.len() <= 40
        && id
            .strip_prefix(JOB_PREFIX)
            .is_some_and(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()))
}

/// Reads and checks a submission field by field, so that the answer can name
/// the first field at fault. Only what may be null may be left out.
pub fn parse_job(body: &[u8]) -> Result<JobSpec, BadJob> {
    let whole = |reason| BadJob { field: "", reason, id: None };
    let value: Value = serde_json::from_slice(body).map_err(|_| whole("not JSON"))?;
    let Value::Object(map) = value else {
        return Err(whole("not an object"));
    };
    let get = |k: &str| map.get(k).filter(|v| !v.is_null());
    let id = match get("ref") {
        Some(Value::String(s)) if valid_job_id(s) => s.clone(),
        Some(_) => return Err(BadJob { field: "ref", reason: "must be j- and digits", id: None }),
        None => return Err(BadJob { field: "ref", reason: "missing", id: None }),
    };
    let bad = |field, reason| BadJob { field, reason, id: Some(id.clone()) };
    let text = |field: &'static str| match get(field) {
        Some(Value::String(s)) if !s.is_empty() && s.len() <= 200 => Ok(s.clone()),
        Some(_) => Err(bad(field, "must be a text of 1 to 200 bytes")),
        None => Err(bad(field, "missing")),
    };
    let amount = |field: &'static str| match get(field) {
        Some(v) => match v.as_f64() {
            Some(x) if x.is_finite() && (0.0..=1e9).contains(&x) => Ok(x),
            _ => Err(bad(field, "must be a number from 0 to 1e9")),
        },
        None => Err(bad(field, "missing")),
    };
    let flag = |field: &'static str| match get(field) {
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(bad(field, "must be true or false")),
        None => Err(bad(field, "missing")),
    };
    let class = text("grade")?;
    let team = text("crew")?;
    if text("cut")? != "batch" {
        return Err(bad("cut", "unknown kind"));
    }
    let priority = match text("urgency")?.as_str() {
        "production" => Priority::Production,
        "high" => Priority::High,
        "standard" => Priority::Normal,
        "low" => Priority::Low,
        _ => return Err(bad("urgency", "unknown priority")),
    };
    let tasks = match get("planks") {
        Some(v) => match v.as_u64() {
            Some(n) if (1..=100_000).contains(&n) => n as u32,
            _ => return Err(bad("planks", "must be a whole number from 1 to 100000")),
        },
        None => return Err(bad("planks", "missing")),
    };
    let cpus = amount("cpus")?;
    let gpus = amount("gpus")?;
    let memory_gb = amount("ramGb")?;
    let image = text("pattern")?;
    let image_gb = amount("pullGb")?;
    let types = match get("benches") {
        None => None,
        Some(Value::Array(a)) if a.len() <= 50 => {
            let names: Option<Vec<String>> =
                a.iter().map(|v| v.as_str().filter(|s| s.len() <= 100).map(String::from)).collect();
            Some(names.ok_or_else(|| bad("benches", "must be a list of type names"))?)
        }
        Some(_) => return Err(bad("benches", "must be a list of type names")),
    };
    let zone = match get("yard") {
        None => None,
        Some(_) => Some(text("yard")?),
    };
    let deadline_s = match get("dueS") {
        None => None,
        Some(_) => Some(amount("dueS")?),
    };
    let upstream = match get("upstream") {
        None => Vec::new(),
        Some(Value::Array(list)) => {
            let name = |v: &Value| v.as_str().filter(|s| valid_job_id(s)).map(String::from);
            let names: Option<BTreeSet<String>> = list.iter().map(name).collect();
            names.ok_or_else(|| bad("upstream", "must be a list of job ids"))?.into_iter().collect()
        }
        Some(_) => return Err(bad("upstream", "must be a list of job ids")),
    };
    let spec = JobSpec {
        upstream,
        class,
        team,
        priority,
        tasks,
        cpus,
        gpus,
        memory_gb,
        image,
        image_gb,
        types,
        zone,
        one_zone: flag("together")?,
        spread: flag("apart")?,
        spot: flag("loaners")?,
        estimate_s: amount("expectedS")?,
        checkpoint_s: amount("notchS")?,
        save_s: amount("stackS")?,
        deadline_s,
        id: id.clone(),
    };
    Ok(spec)
}

/// What users are told of a job.
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

/// What a user is told of a job.
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

/// Answer to a worker whose machine another node commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReportTo<'a> {
    /// That node.
    #[serde(rename = "foreman")]
    pub member: &'a str,
}

/// Why a request is not taken.
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

/// A task's state on a machine, as reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    #[serde(alias = "waiting")]
    Fetching,
    /// Running.
    Running,
    /// Was told to stop and saves.
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
    /// Start refused for want of room.
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

/// One task in a worker's report.
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

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
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
    /// Session.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Order of messages in a session.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud takes it.
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
        /// Seconds it may take to save.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Remove an exited task from the reports.
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

/// Answer to a report.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReportReply {
    /// Token of the seat that answers.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Direct commands.
#[derive(Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Token of the seat.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Session they are meant for.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Room for images.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Nominal fetch rate.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(default)]
    pub price: f64,
    /// Spot price per hour.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Nominal boot time.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// Zones that offer it.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// The cloud's machine types.
#[derive(Debug, Deserialize)]
pub struct MachineTypes {
    /// All of them.
    #[serde(rename = "benches")]
    pub types: Vec<MachineType>,
}

/// A rental request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name, never used again.
    #[serde(rename = "hire")]
    pub request: String,
    /// Type.
    #[serde(rename = "bench")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many, 50 at most.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines: rented, or to be returned.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "lathes")]
    pub machines: Vec<String>,
}

/// State of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStage {
    /// Not up yet, as far as the list knows.
    Booting,
    /// Up.
    Running,
    /// Stopped by itself.
    Failed,
    /// A word that this version does not know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address of its worker.
    #[serde(default)]
    pub address: String,
    /// Type.
    #[serde(rename = "bench")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// State.
    #[serde(rename = "stage")]
    pub stage: MachineStage,
    /// Age since the rental request.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines, in order of their names.
    #[serde(rename = "lathes")]
    pub machines: Vec<ListedMachine>,
    /// Another page follows.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Version that it must have, 0 for none.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Set a key.
    Put {
        /// Key.
        #[serde(rename = "set")]
        key: String,
        /// Value.
        value: Value,
        /// Lease that the key is attached to.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// All must hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// Then these are made.
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

/// A stored value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value.
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// A page of stored values.
#[derive(Debug, Serialize, Deserialize)]
pub struct Items {
    /// The values, in order of their keys.
    #[serde(rename = "pairs")]
    pub items: Vec<Item>,
    /// Another page follows.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    /// Revision of the whole store.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A change that a watch tells of.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Key that was set.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    /// Key that was removed.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// New value.
    #[serde(default)]
    pub value: Value,
    /// Revision of the change.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// Answer of a watch.
#[derive(Debug, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which it is complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes.
    #[serde(default)]
    pub events: Vec<Change>,
}

/// Any answer that carries a revision: a transaction's, or a missing key's.
#[derive(Debug, Serialize, Deserialize)]
pub struct Revision {
    /// The revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A lease that was granted.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Its number.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// Request for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseWanted {
    /// Time to live.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}
