//! Reads of the records of jobs whose stage this process does not know: jobs with tasks on managed
//! machines, which may have been cancelled before it began to follow the store's changes, and
//! dependencies.

use crate::controller::Controller;
use crate::controller::api::record_reads::RecordRead;
use crate::controller::calls::{CallOrigin, MachinesCall};
use crate::controller::jobs::job;
use crate::controller::jobs::stage_cache::StageCache;
use crate::controller::machines::Machines;
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use std::collections::BTreeSet;

/// Maximum number of reads in flight.
pub const MAX_READS: usize = 12;
/// Maximum number of jobs queued. Jobs beyond that are found again with the next heartbeat of their
/// machine.
const MAX_QUEUED_JOBS: usize = 1_000;
/// Maximum number of jobs kept as without a stage.
const MAX_JOBS_WITHOUT_STAGE: usize = 1_000;
/// Pause after a read without an answer, which also ends a series of refused calls.
pub const RETRY_DELAY: Micros = Micros::millis(200);

/// Jobs whose records are to be read.
#[derive(Debug, Default)]
pub(crate) struct UnknownJobs {
    queued: BTreeSet<String>,
    in_flight: BTreeSet<String>,
    /// Jobs that had no readable record under the current watch of jobs. No controller can have
    /// confirmed their cancellation, and the watch delivers any later record.
    without_stage: BTreeSet<String>,
    not_before: Micros,
}

impl UnknownJobs {
    /// Queues jobs to be read, unless they are being read already.
    pub(crate) fn add(&mut self, jobs: impl IntoIterator<Item = String>) {
        for id in jobs {
            if self.queued.len() < MAX_QUEUED_JOBS && !self.in_flight.contains(&id) {
                self.queued.insert(id);
            }
        }
    }

    /// Whether a job is neither cached nor known to have no stage.
    pub(crate) fn is_unknown(&self, job: &str, stages: &StageCache) -> bool {
        !stages.contains(job) && !self.without_stage.contains(job)
    }

    /// Takes the next unknown job and counts its read as in flight; `None` if no read may begin now.
    /// Jobs that have become known are dropped from the queue.
    fn begin_read(&mut self, now: Micros, stages: &StageCache) -> Option<String> {
        if self.in_flight.len() >= MAX_READS || now < self.not_before {
            return None;
        }
        while let Some(id) = self.queued.pop_first() {
            if self.is_unknown(&id, stages) {
                self.in_flight.insert(id.clone());
                return Some(id);
            }
        }
        None
    }

    /// Records that a job was read and has no readable record.
    fn add_without_stage(&mut self, job: &str) {
        if self.without_stage.len() >= MAX_JOBS_WITHOUT_STAGE {
            self.without_stage.clear();
        }
        self.without_stage.insert(job.to_string());
    }
}

impl Machines {
    /// Queues jobs whose stage is unknown, so that their records are read from the key-value store.
    pub(crate) fn add_unknown_jobs(&mut self, jobs: Vec<String>) {
        self.unknown_jobs.add(jobs);
    }

    /// Drops what is known of jobs without a stage, since changes of them may have been missed.
    pub(crate) fn forget_jobs_without_stage(&mut self) {
        self.unknown_jobs.without_stage.clear();
    }
}

impl Controller {
    /// Reads the records of unknown jobs from the key-value store, a limited number at once.
    pub(crate) fn read_unknown_jobs(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let (now, origin) = (self.context.now, self.call_origin());
        let stages = &self.jobs.stage_cache;
        while let Some(job) = self.machines.unknown_jobs.begin_read(now, stages) {
            let key = job::job_key(&job);
            self.context
                .call_store(MachinesCall::ReadUnknownJob { job, origin }, KvRequest::Get(key));
        }
    }

    /// Handles the reply to the read of an unknown job's record.
    pub(crate) fn unknown_job_reply(&mut self, id: &str, origin: CallOrigin, reply: &KvResponse) {
        self.machines.unknown_jobs.in_flight.remove(id);
        match self.apply_record_reply(id, origin, reply) {
            RecordRead::Found { .. } => {}
            RecordRead::Outdated => self.machines.add_unknown_jobs(vec![id.to_string()]),
            RecordRead::Unknown if !matches!(reply, KvResponse::Value(_)) => {
                self.machines.unknown_jobs.not_before = self.context.now + RETRY_DELAY;
            }
            RecordRead::NoSuchJob | RecordRead::Unknown => {
                self.machines.unknown_jobs.add_without_stage(id);
            }
        }
        self.read_unknown_jobs();
    }
}
