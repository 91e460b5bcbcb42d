//! What is answered of runs: as text, and as JSON.

use crate::faults::PlannedFault;
use crate::history::{History, Observation, TaskEnd};
use crate::rules::Violation;
use millethold::time::Micros;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Lines of evidence that are listed for a violation.
const EVIDENCE_LINES: usize = 40;
/// Violations of a run that are listed with their evidence.
const SHOWN_BREAKS: usize = 5;

/// Something that went wrong beside the protocol's rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "failure")]
pub enum Failure {
    /// A job was not over long after all faults were.
    Unfinished {
        /// Job.
        job: String,
        /// Whether it had been accepted.
        accepted: bool,
    },
    /// A sound job was refused for good.
    Refused {
        /// Job.
        job: String,
        /// Status.
        status: u16,
    },
    /// A controller's process ended by itself.
    EndedByItself {
        /// Its number.
        controller: usize,
        /// The last line of its output.
        last_line: String,
    },
    /// No task was started.
    NothingRan,
    /// A part of the rehearsal itself could not be had.
    Setup {
        /// What.
        what: String,
    },
}

/// A broken rule with what users and workers saw of its job.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Evidence {
    /// The broken rule.
    #[serde(flatten)]
    pub violation: Violation,
    /// The last entries about its job.
    #[serde(rename = "seen")]
    pub observations: Vec<String>,
}

/// How often things happened.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Tasks that came on a machine.
    pub starts: u64,
    /// Tasks that completed.
    pub completed: u64,
    /// Tasks lost with a lease or a machine.
    pub lost: u64,
    /// Answers to users.
    pub answers: u64,
    /// Users' requests without an answer, or told to come back.
    pub unanswered: u64,
    /// Jobs whose users were told that they are cancelled.
    pub cancelled_jobs: u64,
    /// Direct commands that arrived late.
    pub late_commands: u64,
    /// Those of them that were executed all the same.
    pub late_executed: u64,
}

/// One run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunReport {
    /// Seed.
    pub seed: u64,
    /// Workers there were, added ones included.
    pub workers: usize,
    /// Faults, as lines.
    pub faults: Vec<String>,
    /// How often things happened.
    pub counts: Counts,
    /// Broken rules.
    #[serde(rename = "breaks")]
    pub violations: Vec<Evidence>,
    /// What else went wrong.
    pub failures: Vec<Failure>,
    /// Longest time for which the rehearsal itself was not run by the machine.
    pub stalled: Micros,
}

impl RunReport {
    /// A run by what was seen.
    pub(crate) fn new(
        seed: u64,
        workers: usize,
        faults: &[PlannedFault],
        history: &History,
        violations: Vec<Violation>,
        mut failures: Vec<Failure>,
        stalled: Micros,
    ) -> RunReport {
        let counts = count(history);
        if counts.starts == 0 {
            failures.push(Failure::NothingRan);
        }
        let evidence = |violation: Violation| {
            let observations = history.about(&violation.job, EVIDENCE_LINES);
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

    /// Whether no rule was broken and nothing else went wrong.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }
}

fn count(history: &History) -> Counts {
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
        for evidence in self.violations.iter().take(SHOWN_BREAKS) {
            let violation = &evidence.violation;
            writeln!(
                f,
                "  broken: {:?} at {:.3}: {}",
                violation.rule,
                violation.at.as_secs_f64(),
                violation.what
            )?;
            for line in &evidence.observations {
                writeln!(f, "    {line}")?;
            }
        }
        if self.violations.len() > SHOWN_BREAKS {
            writeln!(f, "  and {} more", self.violations.len() - SHOWN_BREAKS)?;
        }
        for failure in &self.failures {
            writeln!(f, "  failed: {failure:?}")?;
        }
        Ok(())
    }
}

/// A whole soak.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SoakReport {
    /// Its runs, by seed.
    pub runs: Vec<RunReport>,
}

impl SoakReport {
    /// Runs that passed, and that did not.
    pub fn counts(&self) -> (usize, usize) {
        let passed = self.runs.iter().filter(|run| run.passed()).count();
        (passed, self.runs.len() - passed)
    }
}
