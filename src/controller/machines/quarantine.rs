//! Detection of faulty machines, as distinct from machines whose jobs fail everywhere.

use crate::controller::Controller;
use crate::controller::jobs::stage_cache::StageCache;
use crate::controller::machines::Machines;
use crate::controller::machines::machine::health::FailureRecord;
use crate::controller::machines::machine::heartbeat::TaskOutcome;
use std::collections::{BTreeMap, BTreeSet};

/// A machine is put in quarantine if, since its last success, it had this number of failures
/// of jobs that complete elsewhere, or failed this number of jobs that fail nowhere else.
const MIN_QUARANTINE_FAILURES: u32 = 3;
/// Maximum number of machines recorded per failing job. Two are enough to show that the job
/// also fails elsewhere.
const MAX_MACHINES_OF_FAILING_JOB: usize = 2;
/// Maximum number of failing jobs recorded.
const MAX_FAILING_JOBS: usize = 2_000;

/// Machines on which each job has failed; the number of jobs and of machines is bounded.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailingJobs {
    machines_by_job: BTreeMap<String, BTreeSet<String>>,
}

impl FailingJobs {
    /// Records that a job failed on a machine. If too many jobs are recorded, those that are
    /// done, cancelled or absent in `stages` are dropped. If that frees no place, the failure
    /// is not recorded.
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

    /// Whether the job is recorded to have failed on more than one machine.
    fn failed_on_several_machines(&self, job: &str) -> bool {
        self.machines_by_job.get(job).is_some_and(|machines| machines.len() > 1)
    }

    /// Whether a machine's failures since its last success are attributed to the machine: they
    /// are of jobs that complete elsewhere, or of several jobs that fail nowhere else. A faulty
    /// job fails on every machine and is no evidence against any of them. `completes` returns
    /// whether any task of a job has completed.
    pub(crate) fn requires_quarantine(
        &self,
        failures: &FailureRecord,
        completes: impl Fn(&str) -> bool,
    ) -> bool {
        let jobs = &failures.failures_by_job;
        if jobs.is_empty() {
            return false;
        }
        let failures_of_completing_jobs: u32 =
            jobs.iter().filter(|(j, _)| completes(j)).map(|(_, n)| n).sum();
        let jobs_failing_only_here =
            jobs.keys().filter(|j| completes(j) || !self.failed_on_several_machines(j)).count();
        failures_of_completing_jobs >= MIN_QUARANTINE_FAILURES
            || jobs_failing_only_here >= MIN_QUARANTINE_FAILURES as usize
    }
}

impl Machines {
    fn record_outcomes(&mut self, machine: &str, outcomes: Vec<TaskOutcome>, stages: &StageCache) {
        for outcome in outcomes {
            let managed = self.managed.get_mut(machine);
            match outcome {
                TaskOutcome::Completed => {
                    if let Some(managed) = managed {
                        managed.failures.record_success();
                    }
                }
                TaskOutcome::Failed { job } => {
                    if let Some(managed) = managed {
                        managed.failures.record_failure(&job);
                    }
                    self.failing_jobs.record(job, machine, stages);
                }
            }
        }
    }
}

impl Controller {
    /// Records tasks that completed or failed on a machine, for its quarantine.
    pub(crate) fn record_outcomes(&mut self, machine: &str, outcomes: Vec<TaskOutcome>) {
        self.machines.record_outcomes(machine, outcomes, &self.jobs.stage_cache);
    }
}
