//! Users' requests to cancel a job: reads the job's record and replaces it by
//! compare-and-swap.

use crate::controller::api::pending::CancelledJob;
use crate::controller::api::record_reads::RecordRead;
use crate::controller::call_origin::CallOrigin;
use crate::controller::calls::ApiCall;
use crate::controller::jobs::dependency_graph::DependencyOutcome;
use crate::controller::jobs::job::{self, JobRecord, StoredStage};
use crate::controller::{CachedStage, Controller, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::wire::{Condition, Refusal, Txn, Write};
use log::info;
use serde_json::json;

/// Reads of a job's record per cancellation; if every write conflicts, the user must retry.
const MAX_CANCELLATION_TRIES: u32 = 4;

impl Controller {
    /// Handles a user's request to cancel a job.
    pub(crate) fn cancel(&mut self, ticket: Ticket, id: &str) {
        if let Some(cached) = self.jobs.stage_cache.get(id)
            && cached.stage != StoredStage::Accepted
        {
            return self.answer_with_stage(ticket, 200, id, cached);
        }
        self.read_to_cancel(ticket, id, MAX_CANCELLATION_TRIES);
    }

    fn read_to_cancel(&mut self, ticket: Ticket, id: &str, tries: u32) {
        if tries == 0 {
            return self.respond_retry_later(ticket, 503, "undecided");
        }
        let call = ApiCall::ReadToCancel {
            ticket,
            job: id.to_string(),
            tries_left: tries - 1,
            origin: self.call_origin(),
        };
        self.context.call_store(call, KvRequest::Get(job::job_key(id)));
    }

    /// Handles the reply to a read of a job that a user cancels.
    pub(crate) fn read_to_cancel_reply(
        &mut self,
        ticket: Ticket,
        job: String,
        tries_left: u32,
        origin: CallOrigin,
        reply: &KvResponse,
    ) {
        match self.apply_record_reply(&job, origin, reply) {
            // Already cancelled through one of its dependencies.
            RecordRead::Found { cached, .. }
                if matches!(
                    self.dependency_outcome_of(&job),
                    DependencyOutcome::Cancelled { .. }
                ) =>
            {
                self.answer_with_stage(ticket, 200, &job, cached);
            }
            RecordRead::Found { cached, revision } if cached.stage == StoredStage::Accepted => {
                let job = CancelledJob { id: job, shard: cached.shard, tasks: cached.tasks };
                self.write_cancellation(ticket, job, revision, tries_left);
            }
            RecordRead::Found { cached, .. } => self.answer_with_stage(ticket, 200, &job, cached),
            RecordRead::Outdated => self.read_to_cancel(ticket, &job, tries_left),
            RecordRead::NoSuchJob => {
                self.context.respond(ticket, 404, None, &Refusal::new("no such job"));
            }
            RecordRead::Unknown => {
                self.respond_retry_later(ticket, 503, "state service away");
            }
        }
    }

    /// Replaces the job's record if it still has the revision that was read.
    fn write_cancellation(
        &mut self,
        ticket: Ticket,
        job: CancelledJob,
        revision: u64,
        tries_left: u32,
    ) {
        let record = JobRecord::ended(job.shard, StoredStage::Cancelled, job.tasks);
        let key = job::job_key(&job.id);
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), revision }],
            writes: vec![Write::Put { key, value: json!(record), lease: None }],
        };
        let call = ApiCall::WriteCancellation { ticket, job, tries_left };
        self.context.call_store(call, KvRequest::Txn(txn));
    }

    /// Handles the reply to the write of a cancellation.
    pub(crate) fn write_cancellation_reply(
        &mut self,
        ticket: Ticket,
        job: CancelledJob,
        tries_left: u32,
        reply: &KvResponse,
    ) {
        let CancelledJob { id, shard, tasks } = job;
        match *reply {
            KvResponse::Applied(revision) => {
                info!("job {id} cancelled by its user");
                let cached = CachedStage { stage: StoredStage::Cancelled, shard, tasks, revision };
                self.cache_stage(&id, cached);
                self.announce_cancellation(&id, revision);
                self.job_cancelled(&id);
                self.answer_with_stage(ticket, 200, &id, cached);
            }
            // The record has changed, or this write may have been applied: reads it again.
            KvResponse::Conflict(_) | KvResponse::OutcomeUnknown => {
                self.read_to_cancel(ticket, &id, tries_left);
            }
            _ => self.respond_retry_later(ticket, 503, "state service away"),
        }
    }
}
