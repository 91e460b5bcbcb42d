//! Accepting jobs: one transaction of `j/REF` and `w/S/REF/0` for each.
//!
//! Where more come than this node's share of changes can take one by one, those
//! that wait are accepted together: an `j/REF` each, and one key, a *batch*, with
//! all their descriptions. What is written of them later: see [`crate::controller::jobs::batch`].

use crate::controller::calls::ApiCall;
use crate::controller::calls::JobsCall;
use crate::controller::jobs::dependencies::DependencyOutcome;
use crate::controller::jobs::job::{self, Job, StoredStage};
use crate::controller::leadership::shard;
use crate::controller::{CachedStage, Controller, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use crate::wire::{Condition, JobSpec, Refusal, Txn, Write};
use log::info;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How long after a submission others are expected.
const ADMITTING: Micros = Micros::millis(500);
/// Changes that an admission of one job makes.
pub(crate) const ADMISSION_PUTS: usize = 2;
/// A submission that has waited for longer is answered, to be sent again.
const GIVEN_UP: Micros = Micros::millis(2_500);
/// Bytes of a value that is full: some are left for what surrounds the list.
const FULL: f64 = 0.95;
/// Bytes that a job takes in a batch beside its description, at most.
const BATCHED_JOB_OVERHEAD_BYTES: f64 = 100.0;

/// A submission on its way to the key-value store.
#[derive(Debug, Clone)]
pub(crate) struct Submission {
    pub ticket: Ticket,
    pub spec: Rc<JobSpec>,
    /// Time of day at which it came.
    pub accepted: Micros,
    came: Micros,
    /// Bytes of its description.
    size: usize,
}

/// Descriptions of jobs accepted together.
#[derive(Debug, Clone)]
pub(crate) struct Batch {
    pub shard: usize,
    pub revision: u64,
    /// Jobs whose description stands nowhere else.
    pub jobs: BTreeSet<String>,
    /// It is being written, read or removed.
    pub busy: bool,
}

/// Submissions that wait, and the batches that are still needed.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    waiting: Vec<Submission>,
    pub batches: BTreeMap<String, Batch>,
    /// Where a job's description is, if in a batch.
    pub batched: BTreeMap<String, String>,
    count: u64,
}

impl Admission {
    /// Submissions that wait for their turn.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a submission of the job waits.
    pub fn holds(&self, id: &str) -> bool {
        self.waiting.iter().any(|a| a.spec.id == id)
    }

    /// A job's description stands on its own, or the job is over.
    pub fn unbatch(&mut self, id: &str) {
        if let Some(key) = self.batched.remove(id)
            && let Some(b) = self.batches.get_mut(&key)
        {
            b.jobs.remove(id);
        }
    }

    /// Takes in a batch that was read or written.
    pub fn batch(&mut self, key: &str, shard: usize, revision: u64, jobs: BTreeSet<String>) {
        for id in &jobs {
            self.batched.insert(id.clone(), key.to_string());
        }
        self.batches.entry(key.to_string()).or_insert(Batch { shard, revision, jobs, busy: false });
    }

    /// Forgets what belonged to a shard that is lost.
    fn forget_shard(&mut self, s: usize) {
        self.batches.retain(|_, b| b.shard != s);
        let kept = &self.batches;
        self.batched.retain(|_, key| kept.contains_key(key));
    }
}

impl Controller {
    /// Puts a submission that can be accepted among those that wait.
    pub(crate) fn queue_submission(&mut self, ticket: Ticket, spec: Rc<JobSpec>, size: usize) {
        self.api.admitting_until = self.context.now + ADMITTING;
        let arrival = Submission {
            ticket,
            spec,
            accepted: self.context.wall(),
            came: self.context.now,
            size,
        };
        self.api.admission.waiting.push(arrival);
    }

    /// True while submissions wait for their share of changes.
    pub fn accepting(&self) -> bool {
        self.api.admission.len() > 0
    }

    /// Changes that others leave to admissions: while submissions come, their
    /// users wait for them.
    pub(crate) fn admission_reserve(&self) -> f64 {
        if self.context.now < self.api.admitting_until {
            self.context.write_budget.burst() / 2.0
        } else {
            0.0
        }
    }

    /// Sends waiting submissions to the key-value store: one by one while there is
    /// plenty of this node's share, together where there is not.
    pub(crate) fn admit_waiting(&mut self) {
        while self.api.admission.len() > 0 {
            let shard = self.admitting_shard();
            let leadership =
                shard.and_then(|s| Some((s, self.leadership.shards[s].leadership.clone()?)));
            let Some((s, leadership)) = leadership else {
                return self.refuse_waiting("no seat is held");
            };
            let waiting = self.api.admission.len();
            let level = self.context.write_budget.level(self.context.now);
            let plenty = level
                >= (waiting * ADMISSION_PUTS) as f64 + self.context.write_budget.burst() / 2.0;
            let count = if plenty { 1 } else { self.batch_size() };
            let puts = if count == 1 { ADMISSION_PUTS } else { count + 1 };
            // No more than what writes of tasks leave: waiting for more, it would
            // wait for ever behind them.
            if level < (puts as f64).min(1.0 + self.admission_reserve()) {
                return;
            }
            let list: Vec<Submission> = self.api.admission.waiting.drain(..count).collect();
            self.admit(s, &leadership, list);
        }
    }

    /// How many of those that wait fit in one transaction and one value.
    fn batch_size(&self) -> usize {
        let state = &self.context.settings.state;
        let mut left = state.value_kb * 1024.0 * FULL;
        let share = (self.context.write_budget.burst() / 2.0) as usize;
        let most = state.txn_ops.saturating_sub(1).min(share).clamp(1, self.api.admission.len());
        let fits = |a: &&Submission| {
            left -= a.size as f64 + BATCHED_JOB_OVERHEAD_BYTES;
            left > 0.0
        };
        self.api.admission.waiting[..most].iter().take_while(fits).count().max(1)
    }

    fn admit(&mut self, s: usize, leadership: &shard::ShardLeadership, list: Vec<Submission>) {
        let mut txn = Txn {
            conditions: vec![Condition { key: shard::lease_key(s), revision: leadership.revision }],
            writes: Vec::new(),
        };
        let mut values: Vec<Value> = Vec::new();
        for a in &list {
            let record = self.record_of(s, &a.spec);
            let key = job::job_key(&a.spec.id);
            txn.conditions.push(Condition { key: key.clone(), revision: 0 });
            txn.writes.push(Write::Put { key, value: json!(record), lease: None });
            let mut job = Job::new(Rc::clone(&a.spec), s, 0, a.accepted, self.jobs.chunk_layout);
            job.chunks[0].version = 1;
            values.push(job.encode_chunk(0));
        }
        let batch = (list.len() > 1).then(|| {
            self.api.admission.count += 1;
            job::batch_key(s, leadership.term, self.api.admission.count)
        });
        let (key, value) = match (&batch, values.pop()) {
            (None, Some(one)) => (job::chunk_key(s, &list[0].spec.id, 0), one),
            (Some(key), Some(last)) => {
                values.push(last);
                (key.clone(), job::encode_batch(values))
            }
            (_, None) => return,
        };
        txn.conditions.push(Condition { key: key.clone(), revision: 0 });
        txn.writes.push(Write::Put { key, value, lease: None });
        self.context.call_store(
            ApiCall::Admit { list, shard: s, term: leadership.term, batch },
            KvRequest::Txn(txn),
        );
    }

    pub(crate) fn admission_reply(
        &mut self,
        list: Vec<Submission>,
        s: usize,
        term: u64,
        batch: Option<String>,
        reply: KvResponse,
    ) {
        self.api.undecided_submissions = self.api.undecided_submissions.saturating_sub(list.len());
        match reply {
            KvResponse::Applied(revision) => {
                // The shard may have been lost meanwhile; whoever has it reads the jobs.
                let held =
                    self.leadership.shards[s].leadership.as_ref().is_some_and(|m| m.term == term);
                if let Some(key) = batch.as_ref().filter(|_| held) {
                    let jobs = list.iter().map(|a| a.spec.id.clone()).collect();
                    self.api.admission.batch(key, s, revision, jobs);
                }
                for a in list {
                    self.accepted(a, s, revision, held, batch.is_some());
                }
            }
            KvResponse::Conflict(failed) => {
                let lost = failed.contains(&shard::lease_key(s));
                if lost {
                    self.lease_revision_changed(s, term);
                }
                for a in list {
                    let known = failed.contains(&job::job_key(&a.spec.id));
                    if !lost && !known && batch.is_some() && self.holds_lease() {
                        // Another of them was known already; this one is not.
                        self.api.undecided_submissions += 1;
                        self.api.admission.waiting.push(a);
                        continue;
                    }
                    let otherwise = Refusal::new("undecided");
                    self.read_or(a.ticket, &a.spec.id, 503, Some(1), &otherwise);
                }
            }
            // They may still be applied; the watch then shows the jobs, or has done
            // so already, when it could not be told from the acceptance under way.
            _ => {
                for a in list {
                    let known = self.jobs.cached_stages.get(&a.spec.id).copied();
                    if let Some(k) = known.filter(|k| k.stage == StoredStage::Accepted) {
                        self.adopt(&a.spec.id, k.shard);
                    }
                    self.respond_retry_later(a.ticket, 503, "state service away");
                }
            }
        }
    }

    fn accepted(&mut self, a: Submission, s: usize, revision: u64, held: bool, batched: bool) {
        let spec = a.spec;
        info!(
            "job {} accepted: {} tasks of {}, team {}",
            spec.id, spec.tasks, spec.class, spec.team
        );
        let took = self.context.now.since(a.came).as_millis();
        log::debug!("job {} was written {took} ms after it had come", spec.id);
        self.counts.accepted += 1;
        self.jobs.dependency_graph.set_dependencies(&spec.id, &spec.dependencies);
        let known =
            CachedStage { stage: StoredStage::Accepted, shard: s, tasks: spec.tasks, revision };
        self.cache_stage(&spec.id, known);
        let cancelled = self
            .jobs
            .cached_stages
            .get(&spec.id)
            .is_some_and(|k| k.stage == StoredStage::Cancelled);
        if held && !self.jobs.by_id.contains_key(&spec.id) {
            let mut job =
                Job::new(Rc::clone(&spec), s, revision, a.accepted, self.jobs.chunk_layout);
            let chunk = &mut job.chunks[0];
            // In a batch it has no key of its own yet.
            (chunk.version, chunk.stored) = (1, 1);
            chunk.revision = if batched { 0 } else { revision };
            job.cancelled = cancelled;
            if job.waiting {
                self.jobs.dependency_graph.wait(&spec.id);
            }
            self.changes.jobs.insert(spec.id.clone());
            self.jobs.by_id.insert(spec.id.clone(), job);
            self.scheduler.placement_due = true;
        }
        // Others may have said more of it while the answer was on its way here.
        let known = self.jobs.cached_stages.get(&spec.id).copied().unwrap_or(known);
        if known.stage == StoredStage::Accepted
            && self.dependency_outcome_of(&spec.id) == DependencyOutcome::Pending
        {
            // Nobody can have been told more of it: it was accepted just now.
            let answer = self.job_answer(&spec.id, known);
            return self.context.respond(a.ticket, 201, None, &answer);
        }
        self.answer_with_stage(a.ticket, 201, &spec.id, known);
    }

    /// Answers submissions that have waited for too long, or that nothing can
    /// be done for: their users are told when to come back.
    pub(crate) fn expire_submissions(&mut self) {
        if !self.holds_lease() {
            return self.refuse_waiting("state service away");
        }
        let now = self.context.now;
        let over = |a: &Submission| now.since(a.came) > GIVEN_UP;
        let (late, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.api.admission.waiting).into_iter().partition(over);
        self.api.admission.waiting = rest;
        for a in late {
            self.api.undecided_submissions = self.api.undecided_submissions.saturating_sub(1);
            self.respond_retry_later(a.ticket, 429, "too many submissions wait");
        }
    }

    fn refuse_waiting(&mut self, why: &str) {
        for a in std::mem::take(&mut self.api.admission.waiting) {
            self.api.undecided_submissions = self.api.undecided_submissions.saturating_sub(1);
            self.respond_retry_later(a.ticket, 503, why);
        }
    }

    /// A shard is lost, and what it had accepted is another's to remember.
    pub(crate) fn forget_batches(&mut self, s: usize) {
        self.api.admission.forget_shard(s);
    }

    /// Removes a batch that no job needs any more, when nothing urgent waits.
    pub(crate) fn drop_batch(&mut self) {
        let unreadable = &self.jobs.unreadable;
        let idle = |key: &str, b: &Batch| b.jobs.is_empty() && !b.busy && !unreadable.contains(key);
        let found = self.api.admission.batches.iter_mut().find(|(key, b)| idle(key, b));
        let Some((key, b)) = found else {
            return;
        };
        let Some(leadership) =
            self.leadership.shards[b.shard].leadership.as_ref().filter(|m| m.recovered)
        else {
            return;
        };
        b.busy = true;
        let txn = Txn {
            conditions: vec![
                Condition { key: shard::lease_key(b.shard), revision: leadership.revision },
                Condition { key: key.clone(), revision: b.revision },
            ],
            writes: vec![Write::Delete { key: key.clone() }],
        };
        let op = JobsCall::DropBatch { key: key.clone(), term: leadership.term };
        self.context.call_store(op, KvRequest::Txn(txn));
    }

    pub(crate) fn batch_reply(&mut self, key: &str, term: u64, reply: KvResponse) {
        let Some(b) = self.api.admission.batches.get_mut(key) else {
            return;
        };
        b.busy = false;
        let s = b.shard;
        match reply {
            KvResponse::Applied(_) => {
                self.api.admission.batches.remove(key);
            }
            KvResponse::Conflict(failed) if failed.contains(&shard::lease_key(s)) => {
                self.lease_revision_changed(s, term);
            }
            // An earlier try was applied after all.
            KvResponse::Conflict(_) => {
                self.api.admission.batches.remove(key);
            }
            _ => {}
        }
    }
}
