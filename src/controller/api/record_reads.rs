//! Reads of single jobs' records that a user's answer depends on.

use crate::controller::api::pending::PreparedAnswer;
use crate::controller::calls::ApiCall;
use crate::controller::jobs::job::{self, JobRecord, StoredStage};
use crate::controller::{CachedStage, Controller, Effect, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;

/// What a read of a job's record has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordRead {
    /// No answer came, or what is stored cannot be read: nothing is known.
    NotAnswered,
    /// The store had no such job when it answered.
    NoSuchJob,
    /// The job exists.
    Found {
        /// What is known of its stage now, perhaps later than the read.
        cached: CachedStage,
        /// Revision of the record that was read.
        revision: u64,
    },
}

impl Controller {
    /// Answers with the job's state if the store has the job, and with the
    /// given answer if not.
    pub(crate) fn read_job_or_answer(
        &mut self,
        ticket: Ticket,
        id: &str,
        if_absent: PreparedAnswer,
    ) {
        let job = id.to_string();
        let call = ApiCall::ReadSubmitted { ticket, job, sent_at: self.context.now, if_absent };
        self.context.call_store(call, KvRequest::Get(job::job_key(id)));
    }

    /// Takes in the record of a job that was submitted.
    pub(crate) fn read_submitted_reply(
        &mut self,
        ticket: Ticket,
        id: &str,
        sent_at: Micros,
        if_absent: PreparedAnswer,
        reply: &KvResponse,
    ) {
        match self.take_record_reply(id, reply) {
            RecordRead::Found { cached, .. }
                if cached.stage == StoredStage::Accepted && !self.fresh(sent_at) =>
            {
                self.respond_retry_later(ticket, 503, "the state service is slow");
            }
            RecordRead::Found { cached, .. } => self.answer_with_stage(ticket, 200, id, cached),
            // Accepted since the read.
            RecordRead::NoSuchJob if self.jobs.stage_cache.contains(id) => {
                self.respond_retry_later(ticket, 503, "undecided");
            }
            RecordRead::NoSuchJob => {
                let PreparedAnswer { status, retry_after_s, body } = if_absent;
                let retry_after = retry_after_s;
                self.context.emit(Effect::Respond { ticket, status, retry_after, body });
            }
            RecordRead::NotAnswered => {
                self.respond_retry_later(ticket, 503, "state service away");
            }
        }
    }

    /// Takes in a read of `j/REF`: its stage, its dependencies, and what follows from
    /// its being accepted or cancelled.
    pub(crate) fn take_record_reply(&mut self, job: &str, reply: &KvResponse) -> RecordRead {
        let item = match reply {
            KvResponse::Value(Some(item)) => item,
            KvResponse::Value(None) => return RecordRead::NoSuchJob,
            _ => return RecordRead::NotAnswered,
        };
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value.clone()) else {
            return RecordRead::NotAnswered;
        };
        let revision = item.revision;
        let read =
            CachedStage { stage: record.stage, shard: record.shard, tasks: record.tasks, revision };
        self.jobs.dependency_graph.note(job, &record);
        self.cache_stage(job, read);
        // This answer may have been overtaken by a later one.
        let cached = self.jobs.stage_cache.get(job).unwrap_or(read);
        match cached.stage {
            StoredStage::Cancelled => self.job_cancelled(job),
            // Its acceptance may have been applied after it was given
            // up, while a repeat of the submission was under way or
            // the shard was being recovered: nobody would run it.
            StoredStage::Accepted => self.adopt(job, cached.shard),
            StoredStage::Done => {}
        }
        RecordRead::Found { cached, revision }
    }
}
