//! Status queries about jobs.
//!
//! What is final is answered from memory. Otherwise only the key-value store knows
//! whether some node has said more by now, so every status query is followed by a
//! look at it. While there is plenty of this node's share of requests each reads
//! its job's key; in a storm those that wait are put together: one transaction
//! that changes nothing and compares the versions of all their keys.

use crate::controller::calls::ApiCall;
use crate::controller::jobs::dependencies::DependencyOutcome;
use crate::controller::jobs::job::{self, StoredStage};
use crate::controller::{Controller, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use crate::wire::{Condition, Refusal, Txn};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Comparisons under way at once.
const COMPARISONS: usize = 2;
/// Conditions that a transaction may have for each change that it might make.
const CONDITIONS: usize = 4;
/// Bytes of a transaction that conditions may take, and those of one beside its key.
const COMPARISON_BYTES: usize = 48 * 1024;
const CONDITION_BYTES: usize = 40;
/// Status queries that may wait; more are told to come back.
const MOST_WAITING: usize = 2_000;
/// A stage that is not final, or that a job is not there, is told only if the call
/// that shows it was sent no longer ago.
pub(crate) const FRESH: Micros = Micros::millis(600);
/// A status query that has waited for longer is answered while its user listens.
const LISTENS: Micros = Micros::millis(1_600);

/// Status queries about one job.
#[derive(Debug, Clone)]
pub(crate) struct StatusQuery {
    /// Version of its key that is known.
    revision: u64,
    /// Who asks, and since when.
    who: Vec<(Ticket, Micros)>,
}

/// Jobs asked about together.
pub(crate) type QueriedJobs = BTreeMap<String, StatusQuery>;

/// Status queries that wait for a comparison.
#[derive(Debug, Default)]
pub(crate) struct StatusQueries {
    waiting: QueriedJobs,
    /// Status queries in `waiting`.
    count: usize,
    /// The job last asked about: the next ones have their turn after it.
    last: String,
    under_way: usize,
}

impl StatusQueries {
    /// The next job that is asked about.
    fn next(&mut self) -> Option<(String, StatusQuery)> {
        let after = (Bound::Excluded(self.last.as_str()), Bound::Unbounded);
        let next = self.waiting.range::<str, _>(after).next().or(self.waiting.iter().next());
        self.last = next?.0.clone();
        let found = self.waiting.remove_entry(&self.last)?;
        self.count -= found.1.who.len();
        Some(found)
    }
}

impl Controller {
    pub(crate) fn poll(&mut self, ticket: Ticket, id: &str) {
        let now = self.context.now;
        let known = self.jobs.cached_stages.get(id).copied();
        if let Some(known) = known.filter(|k| k.stage != StoredStage::Accepted) {
            return self.answer_with_stage(ticket, 200, id, known);
        }
        if let Some(known) = known
            && self.dependency_outcome_of(id) != DependencyOutcome::Satisfied
        {
            return self.answer_with_stage(ticket, 200, id, known);
        }
        match known.filter(|k| k.revision > 0) {
            Some(known)
                if !(self.api.status_queries.count == 0 && self.context.has_spare_requests()) =>
            {
                if self.api.status_queries.count >= MOST_WAITING {
                    return self.respond_retry_later(ticket, 429, "too many questions wait");
                }
                self.api.status_queries.count += 1;
                let query = self.api.status_queries.waiting.entry(id.to_string());
                let query =
                    query.or_insert(StatusQuery { revision: known.revision, who: Vec::new() });
                query.who.push((ticket, now));
            }
            _ => self.read_job(vec![ticket], id),
        }
    }

    fn read_job(&mut self, tickets: Vec<Ticket>, id: &str) {
        let op = ApiCall::Poll { tickets, job: id.to_string(), sent: self.context.now };
        self.context.call_store(op, KvRequest::Get(job::job_key(id)));
    }

    /// Sends comparisons for the status queries that wait.
    pub(crate) fn send_status_comparisons(&mut self) {
        while self.api.status_queries.count > 0
            && self.api.status_queries.under_way < COMPARISONS
            && self.context.request_budget.level(self.context.now) >= 1.0
        {
            let most = (self.context.settings.state.txn_ops * CONDITIONS).max(1);
            let mut left = COMPARISON_BYTES;
            let mut jobs = QueriedJobs::new();
            while jobs.len() < most
                && let Some((id, query)) = self.api.status_queries.next()
            {
                left = left.saturating_sub(id.len() + CONDITION_BYTES);
                jobs.insert(id, query);
                if left == 0 {
                    break;
                }
            }
            let condition = |(id, query): (&String, &StatusQuery)| Condition {
                key: job::job_key(id),
                revision: query.revision,
            };
            let conditions = jobs.iter().map(condition).collect();
            self.api.status_queries.under_way += 1;
            let txn = Txn { conditions, writes: Vec::new() };
            self.context.call_store(
                ApiCall::CompareStages { jobs, sent: self.context.now },
                KvRequest::Txn(txn),
            );
        }
    }

    pub(crate) fn stages_compared(&mut self, jobs: QueriedJobs, sent: Micros, reply: KvResponse) {
        self.api.status_queries.under_way = self.api.status_queries.under_way.saturating_sub(1);
        let failed = match reply {
            KvResponse::Applied(_) => Vec::new(),
            KvResponse::Conflict(failed) => failed,
            _ => {
                let tickets = jobs.into_values().flat_map(|query| query.who);
                return tickets
                    .for_each(|(t, _)| self.respond_retry_later(t, 503, "state service away"));
            }
        };
        for (id, StatusQuery { revision, who: query }) in jobs {
            // What is known by now may be newer than the comparison.
            let known = self.jobs.cached_stages.get(&id).copied();
            match known {
                Some(k) if k.stage == StoredStage::Accepted && !self.fresh(sent) => {
                    for (ticket, _) in query {
                        self.respond_retry_later(ticket, 503, "the state service is slow");
                    }
                }
                Some(k) if k.stage != StoredStage::Accepted || failed.is_empty() => {
                    for (ticket, _) in query {
                        self.answer_with_stage(ticket, 200, &id, k);
                    }
                }
                // Whether all that differ are named is not said: the others are
                // compared once more.
                Some(_) if !failed.contains(&job::job_key(&id)) => {
                    self.api.status_queries.count += query.len();
                    let again = self.api.status_queries.waiting.entry(id);
                    again.or_insert(StatusQuery { revision, who: Vec::new() }).who.extend(query);
                }
                _ => self.read_job(query.into_iter().map(|(t, _)| t).collect(), &id),
            }
        }
    }

    /// Whether what a call sent then has shown may still be told as the present
    /// state: what took long may have been overtaken by another node's word.
    pub(crate) fn fresh(&self, sent: Micros) -> bool {
        self.context.now.since(sent) <= FRESH
    }

    pub(crate) fn poll_read(
        &mut self,
        tickets: Vec<Ticket>,
        job: &str,
        sent: Micros,
        reply: &KvResponse,
    ) {
        let slow = "the state service is slow";
        match self.read_record(job, reply) {
            Some(Some((known, _))) if known.stage == StoredStage::Accepted && !self.fresh(sent) => {
                tickets.into_iter().for_each(|t| self.respond_retry_later(t, 503, slow));
            }
            Some(Some((known, _))) => {
                for ticket in tickets {
                    self.answer_with_stage(ticket, 200, job, known);
                }
            }
            // Accepted since the read.
            Some(None) if self.jobs.cached_stages.contains_key(job) || !self.fresh(sent) => {
                tickets.into_iter().for_each(|t| self.respond_retry_later(t, 503, slow));
            }
            Some(None) => {
                for ticket in tickets {
                    self.context.respond(ticket, 404, None, &Refusal::new("no such job"));
                }
            }
            None => tickets
                .into_iter()
                .for_each(|t| self.respond_retry_later(t, 503, "state service away")),
        }
    }

    /// Answers status queries that have waited for as long as their users listen.
    pub(crate) fn maintain_status_queries(&mut self) {
        if self.api.status_queries.count == 0 {
            return;
        }
        let now = self.context.now;
        let mut late = Vec::new();
        self.api.status_queries.waiting.retain(|_, StatusQuery { who, .. }| {
            late.extend(who.extract_if(.., |(_, came)| now.since(*came) > LISTENS));
            !who.is_empty()
        });
        self.api.status_queries.count -= late.len();
        for (ticket, _) in late {
            self.respond_retry_later(ticket, 503, "too many questions wait");
        }
    }
}
