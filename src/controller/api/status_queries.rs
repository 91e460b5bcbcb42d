//! Status queries about jobs.
//!
//! What is final is answered from memory. Otherwise only the key-value store knows
//! whether some node has said more by now, so every status query is followed by a
//! look at it. While there is plenty of this node's share of requests each reads
//! its job's key; in a storm those that wait are put together: one transaction
//! that changes nothing and compares the versions of all their keys.

use crate::config;
use crate::controller::jobs::dependencies::DependencyOutcome;
use crate::controller::jobs::job::{self, StoredStage};
use crate::controller::{Controller, Op, Ticket};
use crate::kv_store::{Bucket, KvRequest, KvResponse, REQUEST_RATE_SHARE};
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
#[derive(Debug)]
pub(crate) struct StatusQueries {
    waiting: QueriedJobs,
    /// Status queries in `waiting`.
    count: usize,
    /// The job last asked about: the next ones have their turn after it.
    last: String,
    under_way: usize,
    /// This node's share of requests, as far as used.
    calls: Bucket,
}

impl StatusQueries {
    pub fn new(state: &config::StateLimits, nodes: usize) -> StatusQueries {
        let share = state.rps * REQUEST_RATE_SHARE / nodes.max(1) as f64;
        StatusQueries {
            waiting: QueriedJobs::new(),
            count: 0,
            last: String::new(),
            under_way: 0,
            calls: Bucket::new(share, share),
        }
    }

    /// A call goes to the key-value store.
    pub fn note_call(&mut self, now: Micros, call: &KvRequest) {
        if !call.urgent() {
            self.calls.level(now);
            self.calls.take(1.0);
        }
    }

    /// The next job that is asked about.
    fn next(&mut self) -> Option<(String, StatusQuery)> {
        let after = (Bound::Excluded(self.last.as_str()), Bound::Unbounded);
        let next = self.waiting.range::<str, _>(after).next().or(self.waiting.iter().next());
        self.last = next?.0.clone();
        let found = self.waiting.remove_entry(&self.last)?;
        self.count -= found.1.who.len();
        Some(found)
    }

    /// Whether a status query may have a request of its own.
    fn plenty(&mut self, now: Micros) -> bool {
        self.count == 0 && self.spare(now)
    }

    /// Whether more than half of this node's share of requests is there.
    pub fn spare(&mut self, now: Micros) -> bool {
        self.calls.level(now) > self.calls.burst() / 2.0
    }
}

impl Controller {
    pub(crate) fn poll(&mut self, ticket: Ticket, id: &str) {
        let now = self.now;
        let known = self.cached_stages.get(id).copied();
        if let Some(known) = known.filter(|k| k.stage != StoredStage::Accepted) {
            return self.answer_with_stage(ticket, 200, id, known);
        }
        if let Some(known) = known
            && self.dependency_outcome_of(id) != DependencyOutcome::Satisfied
        {
            return self.answer_with_stage(ticket, 200, id, known);
        }
        match known.filter(|k| k.revision > 0) {
            Some(known) if !self.status_queries.plenty(now) => {
                if self.status_queries.count >= MOST_WAITING {
                    return self.respond_retry_later(ticket, 429, "too many questions wait");
                }
                self.status_queries.count += 1;
                let query = self.status_queries.waiting.entry(id.to_string());
                let query =
                    query.or_insert(StatusQuery { revision: known.revision, who: Vec::new() });
                query.who.push((ticket, now));
            }
            _ => self.read_job(vec![ticket], id),
        }
    }

    fn read_job(&mut self, tickets: Vec<Ticket>, id: &str) {
        let op = Op::Poll { tickets, job: id.to_string(), sent: self.now };
        self.state(op, KvRequest::Get(job::job_key(id)));
    }

    /// Sends comparisons for the status queries that wait.
    pub(crate) fn send_status_comparisons(&mut self) {
        while self.status_queries.count > 0
            && self.status_queries.under_way < COMPARISONS
            && self.status_queries.calls.level(self.now) >= 1.0
        {
            let most = (self.settings.state.txn_ops * CONDITIONS).max(1);
            let mut left = COMPARISON_BYTES;
            let mut jobs = QueriedJobs::new();
            while jobs.len() < most
                && let Some((id, query)) = self.status_queries.next()
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
            self.status_queries.under_way += 1;
            let txn = Txn { conditions, writes: Vec::new() };
            self.state(Op::CompareStages { jobs, sent: self.now }, KvRequest::Txn(txn));
        }
    }

    pub(crate) fn stages_compared(&mut self, jobs: QueriedJobs, sent: Micros, reply: KvResponse) {
        self.status_queries.under_way = self.status_queries.under_way.saturating_sub(1);
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
            let known = self.cached_stages.get(&id).copied();
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
                    self.status_queries.count += query.len();
                    let again = self.status_queries.waiting.entry(id);
                    again.or_insert(StatusQuery { revision, who: Vec::new() }).who.extend(query);
                }
                _ => self.read_job(query.into_iter().map(|(t, _)| t).collect(), &id),
            }
        }
    }

    /// Whether what a call sent then has shown may still be told as the present
    /// state: what took long may have been overtaken by another node's word.
    pub(crate) fn fresh(&self, sent: Micros) -> bool {
        self.now.since(sent) <= FRESH
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
            Some(None) if self.cached_stages.contains_key(job) || !self.fresh(sent) => {
                tickets.into_iter().for_each(|t| self.respond_retry_later(t, 503, slow));
            }
            Some(None) => {
                for ticket in tickets {
                    self.respond(ticket, 404, None, &Refusal::new("no such job"));
                }
            }
            None => tickets
                .into_iter()
                .for_each(|t| self.respond_retry_later(t, 503, "state service away")),
        }
    }

    /// Answers status queries that have waited for as long as their users listen.
    pub(crate) fn maintain_status_queries(&mut self) {
        if self.status_queries.count == 0 {
            return;
        }
        let now = self.now;
        let mut late = Vec::new();
        self.status_queries.waiting.retain(|_, StatusQuery { who, .. }| {
            late.extend(who.extract_if(.., |(_, came)| now.since(*came) > LISTENS));
            !who.is_empty()
        });
        self.status_queries.count -= late.len();
        for (ticket, _) in late {
            self.respond_retry_later(ticket, 503, "too many questions wait");
        }
    }
}
