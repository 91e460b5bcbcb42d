//! Answers about jobs with pending dependencies, given only after the store has confirmed
//! that none of the dependencies is cancelled.

use crate::controller::call_origin::CallOrigin;
use crate::controller::calls::ApiCall;
use crate::controller::jobs::dependency_graph::{DependencyOutcome, UnfinishedJob};
use crate::controller::jobs::job;
use crate::controller::jobs::stage_cache::CachedStage;
use crate::controller::{Controller, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::wire::{Condition, Txn};

impl Controller {
    /// Answers with the stage of a job that has pending dependencies, once the store confirms
    /// that none of them is cancelled. The job's own record does not show such a cancellation
    /// until the leader of its shard has written it. Compares as many of the dependencies with
    /// a cached revision as one transaction allows.
    pub(crate) fn answer_blocked_job(
        &mut self,
        ticket: Ticket,
        status: u16,
        id: &str,
        cached: CachedStage,
    ) {
        if !self.cancellations_up_to_date() {
            return self.respond_retry_later(ticket, 503, "cancellations are not heard");
        }
        // One condition is for the job itself.
        let max_dependencies = self.context.settings.kv_store.max_conditions().max(2) - 1;
        let graph = &self.jobs.dependency_graph;
        let mut unfinished = graph.unfinished_dependencies(id, &self.jobs.stage_cache);
        unfinished.truncate(max_dependencies);
        unfinished.push(UnfinishedJob { id: id.to_string(), revision: cached.revision });
        let conditions = unfinished
            .iter()
            .filter(|job| job.revision > 0)
            .map(|job| Condition { key: job::job_key(&job.id), revision: job.revision });
        let txn = Txn { conditions: conditions.collect(), writes: Vec::new() };
        let call = ApiCall::CompareDependencies {
            ticket,
            status,
            job: id.to_string(),
            origin: self.call_origin(),
        };
        self.context.call_store(call, KvRequest::Txn(txn));
    }

    /// Handles the reply to the comparison; `status` is the HTTP status of a positive answer.
    pub(crate) fn compare_dependencies_reply(
        &mut self,
        ticket: Ticket,
        status: u16,
        id: &str,
        origin: CallOrigin,
        reply: &KvResponse,
    ) {
        let Some(cached) = self.jobs.stage_cache.get(id) else {
            return self.respond_retry_later(ticket, 503, "undecided");
        };
        // A terminal state cached since the comparison was sent is newer than its result.
        if cached.is_final()
            || matches!(self.dependency_outcome_of(id), DependencyOutcome::Cancelled { .. })
        {
            return self.answer_with_stage(ticket, status, id, cached);
        }
        match reply {
            // A dependency may have been cancelled before the watch of jobs started anew.
            KvResponse::Applied(_) if self.leadership.is_outdated(origin) => {
                self.respond_retry_later(ticket, 503, "undecided");
            }
            KvResponse::Applied(_) if self.is_fresh(origin.sent_at) => {
                let answer = self.job_answer(id, cached);
                self.context.respond(ticket, status, None, &answer);
            }
            KvResponse::Applied(_) => {
                self.respond_retry_later(ticket, 503, "the state service is slow")
            }
            // One of the records has changed; the watch will deliver the change.
            KvResponse::Conflict(_) => self.respond_retry_later(ticket, 503, "undecided"),
            _ => self.respond_retry_later(ticket, 503, "state service away"),
        }
    }
}
