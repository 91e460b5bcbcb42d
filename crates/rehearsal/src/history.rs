//! What workers and users saw, in the order in which they saw it. Nothing else counts
//! for the rules.

use millethold::time::Micros;
use millethold::wire::JobStage;
use serde::Serialize;

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct TaskId {
    /// Job.
    pub job: String,
    /// Number.
    pub index: u32,
}

/// How a task came off its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// It completed.
    Done,
    /// It was stopped by command.
    Stopped,
    /// The worker's lease expired.
    #[serde(rename = "lease_over")]
    LeaseExpired,
    /// The machine is gone.
    MachineGone,
}

/// What a user requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// To accept a job, or the same once more.
    Submit,
    /// How a job stands.
    Poll,
    /// To cancel a job.
    Cancel,
}

/// An answer that a user got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UserAnswer {
    /// Job.
    pub job: String,
    /// What was requested.
    #[serde(rename = "asked")]
    pub request_kind: RequestKind,
    /// The controller.
    pub controller: usize,
    /// When the request was sent.
    pub sent: Micros,
    /// Status.
    pub status: u16,
    /// The stage that it named, if any.
    pub stage: Option<JobStage>,
}

/// Something that was seen.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "seen")]
pub enum Observation {
    /// A task's image is there, and the task is on the machine from now on.
    #[serde(rename = "on")]
    TaskStarted {
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: u64,
        /// Machine.
        machine: String,
    },
    /// A task is not on its machine any more.
    #[serde(rename = "off")]
    TaskEnded {
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: u64,
        /// Machine.
        machine: String,
        /// How.
        how: TaskEnd,
    },
    /// A user submits a job, or asks for its cancellation, for the first time.
    #[serde(rename = "asked")]
    Requested {
        /// Job.
        job: String,
        /// What.
        #[serde(rename = "asked")]
        request_kind: RequestKind,
    },
    /// A user is answered.
    Answer(UserAnswer),
    /// A user got no answer, or one that says to come back.
    NoAnswer {
        /// Job.
        job: String,
        /// What was requested.
        #[serde(rename = "asked")]
        request_kind: RequestKind,
    },
    /// A machine executed direct commands this long after they had been sent.
    LateCommands {
        /// Machine.
        machine: String,
        /// How late.
        late: Micros,
        /// Whether fencing token and incarnation still matched.
        executed: bool,
    },
}

/// Something that was seen, and when.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Since the beginning of the run.
    pub at: Micros,
    /// What.
    #[serde(flatten)]
    pub observation: Observation,
}

/// All that was seen in a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct History {
    /// In order.
    pub entries: Vec<Entry>,
}

impl History {
    /// Adds what is seen now.
    pub fn add(&mut self, at: Micros, observation: Observation) {
        self.entries.push(Entry { at, observation });
    }

    /// What concerns a job, the last `most` entries, as lines.
    pub fn about(&self, job: &str, most: usize) -> Vec<String> {
        let concerns = |entry: &&Entry| match &entry.observation {
            Observation::TaskStarted { task, .. } | Observation::TaskEnded { task, .. } => {
                task.job == job
            }
            Observation::Requested { job: of, .. } | Observation::NoAnswer { job: of, .. } => {
                of == job
            }
            Observation::Answer(answer) => answer.job == job,
            Observation::LateCommands { .. } => false,
        };
        let lines: Vec<String> =
            self.entries.iter().filter(concerns).map(|entry| entry.to_string()).collect();
        lines[lines.len().saturating_sub(most)..].to_vec()
    }
}

impl std::fmt::Display for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:9.3} ", self.at.as_secs_f64())?;
        match &self.observation {
            Observation::TaskStarted { task, attempt, machine } => {
                write!(f, "{machine}: {}/{} attempt {attempt} is on", task.job, task.index)
            }
            Observation::TaskEnded { task, attempt, machine, how } => {
                write!(f, "{machine}: {}/{} attempt {attempt} off: {how:?}", task.job, task.index)
            }
            Observation::Requested { job, request_kind } => {
                write!(f, "user: {request_kind:?} of {job} begins")
            }
            Observation::Answer(answer) => write!(
                f,
                "user: {:?} of {} at n{}, sent {:.3} -> {} {:?}",
                answer.request_kind,
                answer.job,
                answer.controller,
                answer.sent.as_secs_f64(),
                answer.status,
                answer.stage
            ),
            Observation::NoAnswer { job, request_kind } => {
                write!(f, "user: {request_kind:?} of {job} unanswered")
            }
            Observation::LateCommands { machine, late, executed } => write!(
                f,
                "{machine}: commands {:.1} s late, executed: {executed}",
                late.as_secs_f64()
            ),
        }
    }
}
