//! Answers about jobs that wait for others: only after the store has confirmed that none of
//! those is cancelled.

use crate::controller::calls::ApiCall;
use crate::controller::jobs::dependency_graph::{DependencyOutcome, UnfinishedJob};
use crate::controller::jobs::job;
use crate::controller::jobs::stage_cache::CachedStage;
use crate::controller::{Controller, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use crate::wire::{Condition, Txn};

/// Conditions that a transaction may have for each change that it might make.
const CONDITIONS_PER_CHANGE: usize = 4;

impl Controller {
    /// Answers how a job stands that waits for others: only if, at this moment,
    /// none of them is cancelled by the store either. Its own stage would say nothing
    /// of that until its shard's leader has written it.
    pub(crate) fn answer_blocked(
        &mut self,
        ticket: Ticket,
        status: u16,
        id: &str,
        cached: CachedStage,
    ) {
        if !self.cancellations_up_to_date() {
            return self.respond_retry_later(ticket, 503, "cancellations are not heard");
        }
        let most = (self.context.settings.kv_store.txn_ops * CONDITIONS_PER_CHANGE).max(2) - 1;
        let graph = &self.jobs.dependency_graph;
        let mut unfinished = graph.unfinished_before(id, &self.jobs.stage_cache);
        unfinished.truncate(most);
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
            sent_at: self.context.now,
        };
        self.context.call_store(call, KvRequest::Txn(txn));
    }

    /// Takes in the reply to the comparison, and answers with the given HTTP status.
    pub(crate) fn dependencies_compared(
        &mut self,
        ticket: Ticket,
        status: u16,
        id: &str,
        sent_at: Micros,
        reply: &KvResponse,
    ) {
        let Some(cached) = self.jobs.stage_cache.get(id) else {
            return self.respond_retry_later(ticket, 503, "undecided");
        };
        // What was learnt meanwhile is newer than the comparison.
        if cached.is_final()
            || matches!(self.dependency_outcome_of(id), DependencyOutcome::Cancelled { .. })
        {
            return self.answer_with_stage(ticket, status, id, cached);
        }
        match reply {
            KvResponse::Applied(_) if self.fresh(sent_at) => {
                let answer = self.job_answer(id, cached);
                self.context.respond(ticket, status, None, &answer);
            }
            KvResponse::Applied(_) => {
                self.respond_retry_later(ticket, 503, "the state service is slow")
            }
            // Another has changed one of them, which is on its way here.
            KvResponse::Conflict(_) => self.respond_retry_later(ticket, 503, "undecided"),
            _ => self.respond_retry_later(ticket, 503, "state service away"),
        }
    }
}
