//! The report of a soak, as text and as JSON.

use crate::faults::PlannedFault;
use crate::history::{History, Observation, TaskEnd};
use crate::rules::Violation;
use millethold::time::Micros;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Most history entries listed for a violation.
const EVIDENCE_LINES: usize = 40;
/// Most violations of a run that the text lists.
const SHOWN_VIOLATIONS: usize = 5;

/// A failure of a run other than a violation of the protocol's rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "failure")]
pub enum Failure {
    /// A job had not ended when the run did, long after the last fault.
    Unfinished {
        /// Job id.
        job: String,
        /// Whether a controller had accepted the job.
        accepted: bool,
    },
    /// A valid job was refused permanently.
    Refused {
        /// Job id.
        job: String,
        /// HTTP status of the refusal.
        status: u16,
    },
    /// A controller's process exited although the run had not killed it.
    EndedByItself {
        /// Number of the controller.
        controller: usize,
        /// The last line of its log.
        last_line: String,
    },
    /// No task started.
    NothingRan,
    /// The test setup itself failed.
    Setup {
        /// The operation that failed, and the error.
        what: String,
    },
}

/// A violation and the history entries about its job.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Evidence {
    /// The violation.
    #[serde(flatten)]
    pub violation: Violation,
    /// The last entries about the job, as text.
    #[serde(rename = "seen")]
    pub observations: Vec<String>,
}

/// Event counts of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Tasks that started on a machine.
    pub starts: u64,
    /// Tasks that completed.
    pub completed: u64,
    /// Tasks that ended because a worker's lease expired or a machine disappeared.
    pub lost: u64,
    /// Answers to users.
    pub answers: u64,
    /// Requests of users without an answer, or refused.
    pub unanswered: u64,
    /// Jobs reported as cancelled to a user.
    pub cancelled_jobs: u64,
    /// Batches of late direct commands that included a start.
    pub late_commands: u64,
    /// Late batches that the worker executed.
    pub late_executed: u64,
}

/// The report of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunReport {
    /// Seed that the run was drawn from.
    pub seed: u64,
    /// Workers, including those added during the run.
    pub workers: usize,
    /// The planned faults, as text.
    pub faults: Vec<String>,
    /// Event counts.
    pub counts: Counts,
    /// Violations of the protocol's rules, in the order of the history.
    #[serde(rename = "breaks")]
    pub violations: Vec<Evidence>,
    /// Other failures.
    pub failures: Vec<Failure>,
    /// Longest delay of this process's own actions, for example because the machine was overloaded.
    pub stalled: Micros,
}

impl RunReport {
    /// Builds the report from the history and the results of the checks.
    pub(crate) fn new(
        seed: u64,
        workers: usize,
        faults: &[PlannedFault],
        history: &History,
        violations: Vec<Violation>,
        mut failures: Vec<Failure>,
        stalled: Micros,
    ) -> RunReport {
        let counts = count_observations(history);
        if counts.starts == 0 {
            failures.push(Failure::NothingRan);
        }
        let evidence = |violation: Violation| {
            let observations = history.lines_about(&violation.job, EVIDENCE_LINES);
            Evidence { violation, observations }
        };
        RunReport {
            seed,
            workers,
            faults: faults.iter().map(ToString::to_string).collect(),
            counts,
            violations: violations.into_iter().map(evidence).collect(),
            failures,
            stalled,
        }
    }

    /// Whether the run has no violation and no other failure.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }
}

fn count_observations(history: &History) -> Counts {
    let mut counts = Counts::default();
    let mut cancelled: BTreeMap<&str, ()> = BTreeMap::new();
    for entry in &history.entries {
        match &entry.observation {
            Observation::TaskStarted { .. } => counts.starts += 1,
            Observation::TaskEnded { how: TaskEnd::Done, .. } => counts.completed += 1,
            Observation::TaskEnded {
                how: TaskEnd::LeaseExpired | TaskEnd::MachineGone, ..
            } => counts.lost += 1,
            Observation::TaskEnded { how: TaskEnd::Stopped, .. }
            | Observation::Requested { .. } => {}
            Observation::Answer(answer) => {
                counts.answers += 1;
                if answer.stage == Some(millethold::wire::JobStage::Cancelled) {
                    cancelled.insert(&answer.job, ());
                }
            }
            Observation::NoAnswer { .. } => counts.unanswered += 1,
            Observation::LateCommands { executed, .. } => {
                counts.late_commands += 1;
                counts.late_executed += u64::from(*executed);
            }
        }
    }
    counts.cancelled_jobs = cancelled.len() as u64;
    counts
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.passed() { "passed" } else { "FAILED" };
        let counts = &self.counts;
        writeln!(
            f,
            "seed {}: {verdict}; {} workers, {} starts, {} completed, {} lost, {} cancelled jobs, \
             {} answers, {} unanswered, {} late commands ({} executed), stalled {:.1} s",
            self.seed,
            self.workers,
            counts.starts,
            counts.completed,
            counts.lost,
            counts.cancelled_jobs,
            counts.answers,
            counts.unanswered,
            counts.late_commands,
            counts.late_executed,
            self.stalled.as_secs_f64()
        )?;
        if self.passed() {
            return Ok(());
        }
        for fault in &self.faults {
            writeln!(f, "  {fault}")?;
        }
        for evidence in self.violations.iter().take(SHOWN_VIOLATIONS) {
            let violation = &evidence.violation;
            writeln!(
                f,
                "  broken: {:?} at {:.3}, job {}: {}",
                violation.rule,
                violation.at.as_secs_f64(),
                violation.job,
                violation.what
            )?;
            for line in &evidence.observations {
                writeln!(f, "    {line}")?;
            }
        }
        if self.violations.len() > SHOWN_VIOLATIONS {
            writeln!(f, "  and {} more violations", self.violations.len() - SHOWN_VIOLATIONS)?;
        }
        for failure in &self.failures {
            writeln!(f, "  failed: {failure:?}")?;
        }
        Ok(())
    }
}

/// The report of a soak.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SoakReport {
    /// The completed runs, ordered by seed.
    pub runs: Vec<RunReport>,
}

impl SoakReport {
    /// Numbers of passed and failed runs.
    pub fn counts(&self) -> (usize, usize) {
        let passed = self.runs.iter().filter(|run| run.passed()).count();
        (passed, self.runs.len() - passed)
    }
}
