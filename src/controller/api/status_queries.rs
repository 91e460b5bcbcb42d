//! Status queries about jobs.
//!
//! Terminal states are answered from the cache. Any other stage may have been changed by
//! another member, which only the key-value store knows, so every such query leads to a call
//! to the store. While the request budget is ample, each query reads its job's record. Under
//! load, the waiting queries are grouped: one transaction without writes compares the revisions
//! of all their records.

use crate::controller::api::Api;
use crate::controller::api::counters::Counters;
use crate::controller::api::pending::{QueriedJobs, StatusQuery, WaitingUser};
use crate::controller::api::record_reads::RecordRead;
use crate::controller::call_origin::CallOrigin;
use crate::controller::calls::ApiCall;
use crate::controller::context::Context;
use crate::controller::jobs::dependency_graph::DependencyOutcome;
use crate::controller::jobs::job::{self, StoredStage};
use crate::controller::{Controller, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use crate::wire::{Condition, Refusal, Txn};
use std::ops::Bound;

/// Maximum number of comparisons in flight.
const MAX_COMPARISONS_IN_FLIGHT: usize = 2;
/// Bytes that the conditions of one transaction may take.
const MAX_COMPARISON_BYTES: usize = 48 * 1024;
/// Bytes of a condition besides the job's id.
const CONDITION_OVERHEAD_BYTES: usize = 40;
/// Status queries that may wait at a time; further ones are refused.
const MAX_WAITING_QUERIES: usize = 2_000;
/// Maximum age of a result that may be answered, counted from when its call was sent, unless it
/// shows a terminal state. If an older result shows another stage or no job, the query is
/// refused.
pub(crate) const MAX_READ_AGE: Micros = Micros::millis(600);
/// A status query that waits for longer is refused, early enough that its user still waits.
const MAX_QUERY_WAIT: Micros = Micros::millis(1_600);

/// Status queries that wait for a comparison.
#[derive(Debug, Default)]
pub(crate) struct StatusQueries {
    waiting: QueriedJobs,
    /// Number of users in `waiting`.
    waiting_users: usize,
    /// Job that was last taken for a comparison; the next one follows it in order of job id.
    last_compared: String,
    comparisons_in_flight: usize,
}

impl StatusQueries {
    /// Adds users who wait for a comparison of the revision of a job's record.
    fn enqueue(
        &mut self,
        job: String,
        revision: u64,
        users: impl IntoIterator<Item = WaitingUser>,
    ) {
        let query = self.waiting.entry(job);
        let query = query.or_insert(StatusQuery { revision, users: Vec::new() });
        let earlier = query.users.len();
        query.users.extend(users);
        self.waiting_users += query.users.len() - earlier;
    }

    /// Removes and returns the next job, round robin in order of job id.
    fn next(&mut self) -> Option<(String, StatusQuery)> {
        let after = (Bound::Excluded(self.last_compared.as_str()), Bound::Unbounded);
        let next = self.waiting.range::<str, _>(after).next().or(self.waiting.iter().next());
        self.last_compared = next?.0.clone();
        let (job, query) = self.waiting.remove_entry(&self.last_compared)?;
        self.waiting_users -= query.users.len();
        Some((job, query))
    }

    /// Removes and returns up to `max_jobs` jobs that fit in one comparison.
    fn next_comparison(&mut self, max_jobs: usize) -> QueriedJobs {
        let mut left_bytes = MAX_COMPARISON_BYTES;
        let mut jobs = QueriedJobs::new();
        while jobs.len() < max_jobs
            && let Some((id, query)) = self.next()
        {
            left_bytes = left_bytes.saturating_sub(id.len() + CONDITION_OVERHEAD_BYTES);
            jobs.insert(id, query);
            if left_bytes == 0 {
                break;
            }
        }
        jobs
    }

    /// Sends comparisons for the waiting status queries, as far as the request budget allows.
    pub(crate) fn send_comparisons(&mut self, context: &mut Context) {
        while self.waiting_users > 0
            && self.comparisons_in_flight < MAX_COMPARISONS_IN_FLIGHT
            && context.request_budget.level(context.now) >= 1.0
        {
            let max_jobs = context.settings.kv_store.max_conditions().max(1);
            let jobs = self.next_comparison(max_jobs);
            let condition = |(id, query): (&String, &StatusQuery)| Condition {
                key: job::job_key(id),
                revision: query.revision,
            };
            let conditions = jobs.iter().map(condition).collect();
            self.comparisons_in_flight += 1;
            let call = ApiCall::CompareStages { jobs, sent_at: context.now };
            context.call_store(call, KvRequest::Txn(Txn { conditions, writes: Vec::new() }));
        }
    }

    /// Removes and returns the users who have waited for longer than [`MAX_QUERY_WAIT`].
    fn take_expired(&mut self, now: Micros) -> Vec<WaitingUser> {
        let mut expired = Vec::new();
        if self.waiting_users == 0 {
            return expired;
        }
        self.waiting.retain(|_, StatusQuery { users, .. }| {
            expired
                .extend(users.extract_if(.., |user| now.since(user.arrived_at) > MAX_QUERY_WAIT));
            !users.is_empty()
        });
        self.waiting_users -= expired.len();
        expired
    }
}

impl Api {
    /// Refuses status queries that have waited for longer than [`MAX_QUERY_WAIT`].
    pub(crate) fn expire_status_queries(&mut self, context: &mut Context, counts: &mut Counters) {
        for user in self.status_queries.take_expired(context.now) {
            let reason = "too many questions wait";
            self.respond_retry_later(context, counts, user.ticket, 503, reason);
        }
    }
}

impl Controller {
    /// Handles a user's status query.
    pub(crate) fn query_job(&mut self, ticket: Ticket, id: &str) {
        let now = self.context.now;
        let Some(cached) = self.jobs.stage_cache.get(id) else {
            return self.read_queried(vec![ticket], id);
        };
        if cached.stage != StoredStage::Accepted
            || self.dependency_outcome_of(id) != DependencyOutcome::Satisfied
        {
            return self.answer_with_stage(ticket, 200, id, cached);
        }
        let none_waits = self.api.status_queries.waiting_users == 0;
        if cached.revision == 0 || (none_waits && self.context.has_spare_requests()) {
            return self.read_queried(vec![ticket], id);
        }
        if self.api.status_queries.waiting_users >= MAX_WAITING_QUERIES {
            return self.respond_retry_later(ticket, 429, "too many questions wait");
        }
        let user = WaitingUser { ticket, arrived_at: now };
        self.api.status_queries.enqueue(id.to_string(), cached.revision, [user]);
    }

    fn read_queried(&mut self, tickets: Vec<Ticket>, id: &str) {
        let job = id.to_string();
        let call = ApiCall::ReadQueried { tickets, job, origin: self.call_origin() };
        self.context.call_store(call, KvRequest::Get(job::job_key(id)));
    }

    /// Handles the reply to a comparison: answers the queries about unchanged jobs and reads the
    /// records of the others.
    pub(crate) fn compare_stages_reply(
        &mut self,
        jobs: QueriedJobs,
        sent_at: Micros,
        reply: KvResponse,
    ) {
        let queries = &mut self.api.status_queries;
        queries.comparisons_in_flight = queries.comparisons_in_flight.saturating_sub(1);
        let failed = match reply {
            KvResponse::Applied(_) => Vec::new(),
            KvResponse::Conflict(failed) => failed,
            _ => {
                for user in jobs.into_values().flat_map(|query| query.users) {
                    self.respond_retry_later(user.ticket, 503, "state service away");
                }
                return;
            }
        };
        for (id, StatusQuery { revision, users }) in jobs {
            // The cached stage may be newer than the comparison.
            let cached = self.jobs.stage_cache.get(&id);
            match cached {
                Some(cached)
                    if cached.stage == StoredStage::Accepted && !self.is_fresh(sent_at) =>
                {
                    for user in users {
                        self.respond_retry_later(user.ticket, 503, "the state service is slow");
                    }
                }
                Some(cached) if cached.stage != StoredStage::Accepted || failed.is_empty() => {
                    for user in users {
                        self.answer_with_stage(user.ticket, 200, &id, cached);
                    }
                }
                // The store need not name all keys that differ, so the other jobs are
                // compared again.
                Some(_) if !failed.contains(&job::job_key(&id)) => {
                    self.api.status_queries.enqueue(id, revision, users);
                }
                _ => self.read_queried(users.iter().map(|user| user.ticket).collect(), &id),
            }
        }
    }

    /// The origin of a call that is sent now.
    pub(crate) fn call_origin(&self) -> CallOrigin {
        self.leadership.call_origin(self.context.now)
    }

    /// Whether the result of a call sent at `sent_at` may still be answered as the current
    /// state: after [`MAX_READ_AGE`] another member may have answered with a newer one.
    pub(crate) fn is_fresh(&self, sent_at: Micros) -> bool {
        self.context.now.since(sent_at) <= MAX_READ_AGE
    }

    /// Handles the reply to a read of a queried job.
    pub(crate) fn read_queried_reply(
        &mut self,
        tickets: Vec<Ticket>,
        job: &str,
        origin: CallOrigin,
        reply: &KvResponse,
    ) {
        let read = self.apply_record_reply(job, origin, reply);
        if read == RecordRead::Outdated {
            return self.read_queried(tickets, job);
        }
        for ticket in tickets {
            match read {
                RecordRead::Found { cached, .. }
                    if cached.stage == StoredStage::Accepted && !self.is_fresh(origin.sent_at) =>
                {
                    self.respond_retry_later(ticket, 503, "the state service is slow");
                }
                RecordRead::Found { cached, .. } => {
                    self.answer_with_stage(ticket, 200, job, cached);
                }
                // Accepted since the read, or the read is too old to be answered.
                RecordRead::NoSuchJob
                    if self.jobs.stage_cache.contains(job) || !self.is_fresh(origin.sent_at) =>
                {
                    self.respond_retry_later(ticket, 503, "the state service is slow");
                }
                RecordRead::NoSuchJob => {
                    self.context.respond(ticket, 404, None, &Refusal::new("no such job"));
                }
                RecordRead::Unknown | RecordRead::Outdated => {
                    self.respond_retry_later(ticket, 503, "state service away");
                }
            }
        }
    }
}
