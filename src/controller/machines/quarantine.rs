//! Machines that fail what they start: they are set apart from those whose jobs fail
//! everywhere.

use crate::controller::Controller;
use crate::controller::jobs::stage_cache::StageCache;
use crate::controller::machines::Machines;
use crate::controller::machines::machine::health::FailureRecord;
use crate::controller::machines::machine::heartbeat_intake::TaskOutcome;
use std::collections::{BTreeMap, BTreeSet};

/// Failures since the last success, of jobs that complete elsewhere, or so many jobs that
/// fail nowhere else, for which a machine is put in quarantine.
const MIN_QUARANTINE_FAILURES: u32 = 3;
/// Machines remembered of each failing job: two show that it fails elsewhere, too.
const MAX_MACHINES_OF_FAILING_JOB: usize = 2;
/// Failing jobs remembered at most.
const MAX_FAILING_JOBS: usize = 2_000;

/// On which machines jobs have failed, a few of each job.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailingJobs {
    machines_by_job: BTreeMap<String, BTreeSet<String>>,
}

impl FailingJobs {
    /// Remembers that a job failed on a machine. Where there are too many jobs, those that
    /// are over by `stages` make way, or that are not known there.
    fn record(&mut self, job: String, machine: &str, stages: &StageCache) {
        if self.machines_by_job.len() >= MAX_FAILING_JOBS {
            self.machines_by_job.retain(|job, _| stages.is_unfinished(job));
        }
        if self.machines_by_job.len() < MAX_FAILING_JOBS {
            let machines = self.machines_by_job.entry(job).or_default();
            if machines.len() < MAX_MACHINES_OF_FAILING_JOB {
                machines.insert(machine.to_string());
            }
        }
    }

    /// Whether a job is known to have failed on several machines.
    fn fails_on_several(&self, job: &str) -> bool {
        self.machines_by_job.get(job).is_some_and(|machines| machines.len() > 1)
    }

    /// Whether a machine's failures since its last success are its own: of jobs
    /// that complete elsewhere, or of several that fail nowhere else. A job with a
    /// mistake fails everywhere and says nothing of its machines. `completes` says whether
    /// any task of a job has completed.
    pub(crate) fn demand_quarantine(
        &self,
        failures: &FailureRecord,
        completes: impl Fn(&str) -> bool,
    ) -> bool {
        let jobs = &failures.failures_by_job;
        if jobs.is_empty() {
            return false;
        }
        let of_completing: u32 = jobs.iter().filter(|(j, _)| completes(j)).map(|(_, n)| n).sum();
        let only_here = jobs.keys().filter(|j| completes(j) || !self.fails_on_several(j)).count();
        of_completing >= MIN_QUARANTINE_FAILURES || only_here >= MIN_QUARANTINE_FAILURES as usize
    }
}

impl Machines {
    fn record_outcomes(&mut self, machine: &str, outcomes: Vec<TaskOutcome>, stages: &StageCache) {
        for outcome in outcomes {
            let managed = self.managed.get_mut(machine);
            match outcome {
                TaskOutcome::Completed => {
                    if let Some(managed) = managed {
                        managed.failures.completed();
                    }
                }
                TaskOutcome::Failed { job } => {
                    if let Some(managed) = managed {
                        managed.failures.failed(&job);
                    }
                    self.failing_jobs.record(job, machine, stages);
                }
            }
        }
    }
}

impl Controller {
    /// Records which tasks of a machine have ended.
    pub(crate) fn record_outcomes(&mut self, machine: &str, outcomes: Vec<TaskOutcome>) {
        self.machines.record_outcomes(machine, outcomes, &self.jobs.stage_cache);
    }
}
