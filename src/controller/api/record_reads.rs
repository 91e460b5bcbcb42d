//! Reads of single jobs' records for answers to users.

use crate::controller::api::pending::PreparedAnswer;
use crate::controller::call_origin::CallOrigin;
use crate::controller::calls::ApiCall;
use crate::controller::jobs::job::{self, JobRecord, StoredStage};
use crate::controller::{CachedStage, Controller, Effect, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use log::debug;

/// Result of a read of a job's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordRead {
    /// The store did not answer, or the stored value cannot be parsed.
    Unknown,
    /// The store had no record of the job when it answered.
    NoSuchJob,
    /// The watch of jobs has started since the read was sent, and the state that was read may have
    /// changed before that: the record must be read again. Nothing of this state is cached, since
    /// the change is never delivered.
    Outdated,
    /// The job exists.
    Found {
        /// The cached stage, which may be newer than the read.
        cached: CachedStage,
        /// Revision of the record that was read.
        revision: u64,
    },
}

impl Controller {
    /// Reads a job's record and answers with its stage, or with `if_absent` if the store has no
    /// such job.
    pub(crate) fn read_job_or_answer(
        &mut self,
        ticket: Ticket,
        id: &str,
        if_absent: PreparedAnswer,
    ) {
        let job = id.to_string();
        let call = ApiCall::ReadSubmitted { ticket, job, origin: self.call_origin(), if_absent };
        self.context.call_store(call, KvRequest::Get(job::job_key(id)));
    }

    /// Handles the reply to a read of a submitted job.
    pub(crate) fn read_submitted_reply(
        &mut self,
        ticket: Ticket,
        id: &str,
        origin: CallOrigin,
        if_absent: PreparedAnswer,
        reply: &KvResponse,
    ) {
        match self.apply_record_reply(id, origin, reply) {
            RecordRead::Found { cached, .. }
                if cached.stage == StoredStage::Accepted && !self.is_fresh(origin.sent_at) =>
            {
                self.respond_retry_later(ticket, 503, "the state service is slow");
            }
            RecordRead::Found { cached, .. } => self.answer_with_stage(ticket, 200, id, cached),
            RecordRead::Outdated => self.read_job_or_answer(ticket, id, if_absent),
            // Accepted since the read.
            RecordRead::NoSuchJob if self.jobs.stage_cache.contains(id) => {
                self.respond_retry_later(ticket, 503, "undecided");
            }
            RecordRead::NoSuchJob => {
                let PreparedAnswer { status, retry_after_s, body } = if_absent;
                let retry_after = retry_after_s;
                self.context.emit(Effect::Respond { ticket, status, retry_after, body });
            }
            RecordRead::Unknown => {
                self.respond_retry_later(ticket, 503, "state service away");
            }
        }
    }

    /// Applies a read of `j/REF` unless it is outdated: caches the job's stage and dependencies, stops the job if it is
    /// cancelled, and recovers an accepted job that this process should run.
    pub(crate) fn apply_record_reply(
        &mut self,
        job: &str,
        origin: CallOrigin,
        reply: &KvResponse,
    ) -> RecordRead {
        let is_outdated = self.leadership.is_outdated(origin);
        let item = match reply {
            KvResponse::Value(Some(item)) => item,
            KvResponse::Value(None) if is_outdated => {
                self.count_outdated_read(job, 0);
                return RecordRead::Outdated;
            }
            KvResponse::Value(None) => return RecordRead::NoSuchJob,
            _ => return RecordRead::Unknown,
        };
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value.clone()) else {
            return RecordRead::Unknown;
        };
        let revision = item.revision;
        if is_outdated && record.stage == StoredStage::Accepted {
            self.count_outdated_read(job, revision);
            return RecordRead::Outdated;
        }
        let read = self.apply_job_record(job, &record, revision);
        // A newer stage may have been cached before this reply arrived.
        let cached = self.jobs.stage_cache.get(job).unwrap_or(read);
        match cached.stage {
            StoredStage::Cancelled => self.job_cancelled(job),
            // The acceptance may have been applied after its call was given up, while a retry
            // of the submission was in flight or the shard was being recovered. Unless it is
            // recovered, no controller runs the job.
            StoredStage::Accepted => self.observe_accepted_job(job, cached.shard),
            StoredStage::Done => {}
        }
        RecordRead::Found { cached, revision }
    }

    /// Counts and logs a read of a job's record at `revision`, 0 if there was none, that must be
    /// repeated.
    pub(crate) fn count_outdated_read(&mut self, job: &str, revision: u64) {
        self.counts.outdated_reads += 1;
        debug!("read of job {job} at revision {revision} is older than the watch of jobs");
    }
}
