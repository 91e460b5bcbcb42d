//! What is written down of own jobs: which changes go into which transaction, and
//! what follows from the key-value store's answers.

use crate::controller::calls::JobsCall;
use crate::controller::jobs::job::{self, Job, JobRecord, StoredStage, TaskEnd};
use crate::controller::leadership::shard_lease;
use crate::controller::{CachedStage, Controller};
use crate::kv_store::{KvRequest, KvResponse};
use crate::peer::ObservedState;
use crate::time::Micros;
use crate::wire::{Condition, Txn, Write};
use log::{info, warn};
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Parts in one transaction: with 8 KiB values more would pass 64 KiB, and one
/// large job's would hold up all others.
const CHUNKS_PER_TXN: usize = 4;
/// Writes of tasks under way at once. What changes meanwhile is written together.
const MAX_WRITES_IN_FLIGHT: usize = 3;
/// Ends of tasks that have waited for longer are written like starts.
const OVERDUE_WRITE_AGE: Micros = Micros::secs(10);
/// How long ends of tasks may wait for others to be written with.
const DEFERRED_WRITE_DELAY: Micros = Micros::millis(2_500);

/// How long a job is not placed after placements of it had to be taken back.
const WITHDRAWN_PAUSE: Micros = Micros::millis(500);

/// How urgently a job's changes are to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WriteUrgency {
    /// Starts, or the end of a whole job, wait for it.
    Now,
    /// Ends of tasks, and what is left of jobs that are over.
    Later,
    /// Not yet.
    None,
}

impl Controller {
    /// Reads again how a job stands in the store.
    pub(crate) fn read_back(&mut self, id: &str) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        if job.busy {
            return;
        }
        let Some(term) = self.leadership.led_shard(job.shard).map(|m| m.term) else {
            return;
        };
        job.busy = true;
        let op = JobsCall::ReadBack { job: id.to_string(), term };
        self.context.call_store(op, KvRequest::Get(job::job_key(id)));
    }

    /// Begins transactions for jobs with changes: starts that wait for their
    /// write and ends of whole jobs first, by rank; what nobody waits for later,
    /// together, and only from a share that is not needed for the others.
    pub(crate) fn store_dirty(&mut self) {
        if self.context.write_budget.level(self.context.now)
            > 1.0 + self.context.write_budget.burst() / 2.0
        {
            self.drop_batch();
        }
        if self.changes.jobs.is_empty()
            || self.jobs.writes_in_flight >= MAX_WRITES_IN_FLIGHT
            || !self.holds_lease()
        {
            return;
        }
        let now = self.context.now;
        let level = self.context.write_budget.level(now);
        let accepting = self.api.admission.reserved_writes(&self.context);
        let mut order: Vec<(WriteUrgency, u32, Micros, String)> = Vec::new();
        for id in &self.changes.jobs {
            let Some(job) = self.jobs.by_id.get(id) else {
                order.push((WriteUrgency::Now, 0, Micros::ZERO, id.clone()));
                continue;
            };
            if !job.busy {
                let urgency = job.urgency(now);
                if urgency != WriteUrgency::None {
                    order.push((urgency, job.rank(), job.accepted, id.clone()));
                }
            }
        }
        order.sort();
        for (urgency, _, _, id) in order {
            // What waits here joins the next write; in the queue of calls it
            // would be written as it was.
            let least = match urgency {
                WriteUrgency::Now => 1.0 + accepting,
                _ => 1.0 + accepting + self.context.write_budget.burst() / 2.0,
            };
            if self.jobs.writes_in_flight >= MAX_WRITES_IN_FLIGHT
                || level.min(self.context.write_budget.level(now)) < least
            {
                return;
            }
            self.store(&id, urgency);
        }
    }

    fn store(&mut self, id: &str, urgency: WriteUrgency) {
        let now = self.context.now;
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            self.changes.jobs.remove(id);
            return;
        };
        let s = job.shard;
        if job.busy {
            return;
        }
        // A shard that is being handed over waits for its writes, so none begins.
        let ready = |m: &&crate::controller::leadership::shard::ShardLeadership| {
            m.recovered && !m.handing_over
        };
        let Some(leadership) = self.leadership.led_shard(s).filter(ready) else {
            return;
        };
        let (lease_revision, term) = (leadership.revision, leadership.term);
        if self.stays_batched(id) && self.store_batch(id) {
            return;
        }
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let most = self.context.settings.state.txn_ops.min(CHUNKS_PER_TXN);
        // What is larger is refused once the key-value store has its new limits.
        let limit =
            self.jobs.previous_chunk_layout.map_or(self.context.settings.state.value_kb, |_| {
                self.context.settings.state.value_kb_now
            });
        let limit = (limit * 1024.0) as usize;
        let lowered = self.context.settings.state.next.is_some();
        if job.cancelled && !job.over {
            // Its ends need not be stored: nothing of it is ever started again.
            for chunk in &mut job.chunks {
                chunk.unstored_ends.clear();
            }
            if job.reserved_tasks() > 0 {
                self.refresh_desired_state(id);
                self.changes.jobs.remove(id);
                return;
            }
            job.over = true;
        }
        let mut txn = Txn {
            conditions: vec![shard_lease::lease_condition(s, lease_revision)],
            writes: Vec::new(),
        };
        let record = job::job_key(id);
        let (mut chunks, mut drops, mut done) = (Vec::new(), Vec::new(), false);
        let mut rest = false;
        if !job.over && job.complete() {
            done = true;
            let value = JobRecord {
                shard: s,
                stage: StoredStage::Done,
                tasks: job.spec.tasks,
                dependencies: Vec::new(),
                more: 0,
            };
            txn.conditions.push(Condition { key: record.clone(), revision: job.revision });
            txn.writes.push(Write::Put { key: record, value: json!(value), lease: None });
            // Its parts are dropped later, when nothing urgent waits.
            rest = true;
        } else if job.over {
            for (n, chunk) in job.chunks.iter().enumerate().rev() {
                if chunk.revision > 0 && txn.writes.len() < most {
                    drops.push(n);
                    let key = job::chunk_key(s, id, n);
                    txn.conditions.push(Condition { key: key.clone(), revision: chunk.revision });
                    txn.writes.push(Write::Delete { key });
                }
            }
            if drops.is_empty() {
                self.forget_job(id);
                return;
            }
        } else {
            txn.conditions.push(Condition { key: record, revision: job.revision });
            let fresh = urgency == WriteUrgency::Now && job.unstored_chunks() > 0;
            let changed = |p: &job::TaskChunk| p.version > p.stored;
            let mut order: Vec<usize> = Vec::new();
            for (n, chunk) in job.chunks.iter().enumerate().filter(|(_, p)| changed(p)) {
                if !fresh || chunk.fresh() || chunk.mostly_ended() {
                    order.push(n);
                } else {
                    rest = true;
                }
            }
            order.sort_by_key(|n| !job.chunks[*n].fresh());
            let mut too_large: Vec<usize> = Vec::new();
            for n in order {
                if chunks.len() == most {
                    rest = true;
                    break;
                }
                let chunk = &job.chunks[n];
                let key = job::chunk_key(s, id, n);
                let value = job.encode_chunk(n);
                if lowered && value.to_string().len() > limit {
                    // Of a time with larger values: it is written once enough of it
                    // has ended.
                    log::debug!("part {n} of job {id} is too large to be written yet");
                    too_large.push(n);
                    continue;
                }
                chunks.push((n, chunk.version));
                txn.conditions.push(Condition { key: key.clone(), revision: chunk.revision });
                txn.writes.push(Write::Put { key, value, lease: None });
            }
            if chunks.is_empty() {
                // Tried again with the next change; at every turn it would be encoded
                // hundreds of times a second.
                self.changes.jobs.remove(id);
                return self.withdraw_unstored(id, &too_large);
            }
        }
        job.busy = true;
        job.deferred_since = rest.then(|| job.deferred_since.unwrap_or(now));
        if !rest {
            self.changes.jobs.remove(id);
        }
        self.jobs.writes_in_flight += 1;
        let op = JobsCall::Store { job: id.to_string(), term, chunks, done, drops };
        self.context.call_store(op, KvRequest::Txn(txn));
    }

    /// The key-value store refuses values that it took before: it has its new limits.
    fn limits_lowered(&mut self) {
        info!("the state service takes only smaller values from now on");
        self.jobs.previous_chunk_layout = None;
        let size = self.jobs.chunk_layout;
        self.jobs.by_id.values_mut().for_each(|j| j.set_layout(size, None));
    }

    /// Takes back placements of parts that are too large to be written. Never written,
    /// their tasks would never start, and so never end and make the part smaller.
    fn withdraw_unstored(&mut self, id: &str, chunks: &[usize]) {
        for n in chunks {
            let unstored = self.jobs.by_id.get(id).map_or(Vec::new(), |job| job.unstored_tasks(*n));
            for index in unstored {
                self.end_task(id, index, TaskEnd::known(ObservedState::Stopped));
            }
            if let Some(job) = self.jobs.by_id.get_mut(id) {
                let chunk = &mut job.chunks[*n];
                chunk.put = chunk.put.min(chunk.stored);
                job.not_before = job.not_before.max(self.context.now + WITHDRAWN_PAUSE);
            }
        }
    }

    fn forget_job(&mut self, id: &str) {
        self.changes.jobs.remove(id);
        self.refresh_desired_state(id);
        self.api.admission.unbatch(id);
        if let Some(job) = self.jobs.by_id.remove(id) {
            let machines: Vec<(usize, Rc<str>)> = self
                .jobs
                .tasks_by_machine
                .iter()
                .filter(|((s, _), tasks)| *s == job.shard && tasks.iter().any(|(j, _)| j == id))
                .map(|(k, _)| k.clone())
                .collect();
            for key in machines {
                if let Some(tasks) = self.jobs.tasks_by_machine.get_mut(&key) {
                    tasks.retain(|(j, _)| j != id);
                    if tasks.is_empty() {
                        self.jobs.tasks_by_machine.remove(&key);
                    }
                }
                self.changes.desired.insert(key);
            }
        }
    }

    pub(crate) fn store_reply(&mut self, op: JobsCall, reply: KvResponse) {
        if matches!(op, JobsCall::Store { .. }) {
            self.jobs.writes_in_flight = self.jobs.writes_in_flight.saturating_sub(1);
        }
        let (JobsCall::Store { job: id, term, .. }
        | JobsCall::ReadBack { job: id, term }
        | JobsCall::ReadBackChunks { job: id, term, .. }) = &op
        else {
            return;
        };
        let id = id.clone();
        let Some(job) = self.jobs.by_id.get_mut(&id) else {
            return;
        };
        let s = job.shard;
        // A reply to an earlier term of the shard says nothing about this one.
        if !self.leadership.leads_under(s, *term) {
            return;
        }
        job.busy = false;
        self.changes.jobs.insert(id.clone());
        match (op, reply) {
            (JobsCall::Store { chunks, done, drops, .. }, KvResponse::Applied(revision)) => {
                self.stored(&id, revision, &chunks, done, &drops);
            }
            (JobsCall::Store { term, .. }, KvResponse::Conflict(failed)) => {
                if failed.contains(&shard_lease::lease_key(s)) {
                    self.lease_revision_changed(s, term);
                } else {
                    self.read_back(&id);
                }
            }
            (JobsCall::Store { .. }, KvResponse::NotExecuted) => {}
            (JobsCall::Store { .. }, KvResponse::Rejected)
                if self.jobs.previous_chunk_layout.is_some() =>
            {
                self.limits_lowered();
                self.read_back(&id);
            }
            // It may have been applied, or may be later: what is stored decides,
            // and a late one fails on the parts' marks.
            (JobsCall::Store { .. }, _) => self.read_back(&id),
            (JobsCall::ReadBack { term, .. }, KvResponse::Value(Some(item))) => {
                let Ok(r) = serde_json::from_value::<JobRecord>(item.value) else {
                    warn!("unreadable record of job {id}");
                    return;
                };
                let revision = item.revision;
                let known =
                    CachedStage { stage: r.stage, shard: r.shard, tasks: r.tasks, revision };
                self.jobs.dependency_graph.note(&id, &r);
                self.cache_stage(&id, known);
                match r.stage {
                    StoredStage::Cancelled => self.job_cancelled(&id),
                    StoredStage::Done => {
                        if let Some(job) = self.jobs.by_id.get_mut(&id) {
                            job.over = true;
                        }
                    }
                    StoredStage::Accepted => {}
                }
                if let Some(job) = self.jobs.by_id.get_mut(&id) {
                    job.revision = item.revision;
                    job.busy = true;
                    let op =
                        JobsCall::ReadBackChunks { job: id.clone(), term, read: BTreeMap::new() };
                    let prefix = format!("w/{s}/{id}/");
                    self.context.call_store(op, KvRequest::List { prefix, after: None });
                }
            }
            (
                JobsCall::ReadBackChunks { term, mut read, .. },
                KvResponse::Page { items, more, .. },
            ) => {
                for item in &items {
                    if let Some((_, n)) = job::parse_chunk_key(&item.key) {
                        let v = item.value.get("v").and_then(serde_json::Value::as_u64);
                        read.insert(n, (v.unwrap_or(0), item.revision));
                    }
                }
                match items.last().filter(|_| more) {
                    // A mark missed on a further page would fail every write.
                    Some(last) => {
                        if let Some(job) = self.jobs.by_id.get_mut(&id) {
                            job.busy = true;
                        }
                        let after = Some(last.key.clone());
                        let op = JobsCall::ReadBackChunks { job: id.clone(), term, read };
                        let prefix = format!("w/{s}/{id}/");
                        self.context.call_store(op, KvRequest::List { prefix, after });
                    }
                    None => self.chunks_read_back(&id, &read),
                }
            }
            (JobsCall::ReadBack { .. } | JobsCall::ReadBackChunks { .. }, _) => {
                self.retry_read_back(&id)
            }
            _ => {}
        }
    }

    /// A recheck failed. The job's next write would fail on its marks and so
    /// lead here again; nothing is lost by trying that.
    fn retry_read_back(&mut self, id: &str) {
        if let Some(job) = self.jobs.by_id.get_mut(id) {
            job.not_before = job.not_before.max(self.context.now + Micros::millis(200));
        }
    }

    /// Takes in the stored versions and marks of all of a job's parts.
    fn chunks_read_back(&mut self, id: &str, stored: &BTreeMap<usize, (u64, u64)>) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let mut applied: Vec<(usize, u64)> = Vec::new();
        let mut revisions: Vec<(usize, u64)> = Vec::new();
        for (n, chunk) in job.chunks.iter_mut().enumerate() {
            match stored.get(&n) {
                Some((v, revision)) => {
                    revisions.push((n, *revision));
                    if *v > chunk.stored && *v <= chunk.version {
                        applied.push((n, *v));
                    }
                }
                None => chunk.revision = 0,
            }
        }
        for (n, revision) in revisions {
            job.chunks[n].revision = revision;
        }
        for (n, v) in applied {
            let revision = self.jobs.by_id.get(id).map_or(0, |j| j.chunks[n].revision);
            self.stored(id, revision, &[(n, v)], false, &[]);
        }
    }

    /// Changes are stored: they may now be acted on. The mark is 0 in a batch.
    pub(crate) fn stored(
        &mut self,
        id: &str,
        revision: u64,
        chunks: &[(usize, u64)],
        done: bool,
        drops: &[usize],
    ) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let s = job.shard;
        let mut touched: Vec<(Rc<str>, u32)> = Vec::new();
        for (n, version) in chunks {
            let chunk = &mut job.chunks[*n];
            let before = chunk.stored;
            chunk.stored = (*version).max(before);
            chunk.revision = revision;
            let fresh = chunk.placed.iter().filter(|(_, p)| p.version > before);
            touched.extend(fresh.map(|(i, p)| (Rc::clone(&p.machine), *i)));
            let stored = chunk.stored;
            let ended = chunk.unstored_ends.iter().filter(|ended| ended.version <= stored);
            // What they held of the limit is free only now.
            if ended.clone().any(|ended| ended.may_still_start) {
                self.scheduler.request_pass();
            }
            touched.extend(ended.map(|e| (Rc::clone(&e.placement.machine), e.index)));
            chunk.unstored_ends.retain(|ended| ended.version > stored);
        }
        for n in drops {
            job.chunks[*n].revision = 0;
        }
        // Without a mark it was written in the batch, where it stays.
        if revision > 0 && chunks.iter().any(|(n, _)| *n == 0) {
            self.api.admission.unbatch(id);
        }
        if done {
            info!("job {id} done: {} tasks", job.spec.tasks);
            job.over = true;
            self.counts.done += 1;
            for chunk in &mut job.chunks {
                for ended in chunk.unstored_ends.drain(..) {
                    touched.push((ended.placement.machine, ended.index));
                }
            }
            let tasks = job.spec.tasks;
            let known = CachedStage { stage: StoredStage::Done, shard: s, tasks, revision };
            self.cache_stage(id, known);
        }
        for (machine, index) in touched {
            self.unlink(id, index, &machine);
            self.changes.desired.insert((s, machine));
        }
    }

    /// Removes a task from its machine's list once nothing of it is left there.
    fn unlink(&mut self, id: &str, index: u32, machine: &Rc<str>) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let s = job.shard;
        let Some(chunk) = job.chunk_of(index) else {
            return;
        };
        let here = chunk.placed.get(&index).is_some_and(|p| p.machine == *machine)
            || chunk
                .unstored_ends
                .iter()
                .any(|ended| ended.index == index && ended.placement.machine == *machine);
        if here {
            return;
        }
        let key = (s, Rc::clone(machine));
        if let Some(tasks) = self.jobs.tasks_by_machine.get_mut(&key) {
            tasks.remove(&(id.to_string(), index));
            if tasks.is_empty() {
                self.jobs.tasks_by_machine.remove(&key);
            }
        }
    }
}

impl Job {
    fn urgency(&self, now: Micros) -> WriteUrgency {
        if self.cancelled && !self.over {
            return if self.reserved_tasks() > 0 { WriteUrgency::Now } else { WriteUrgency::Later };
        }
        if self.over {
            return WriteUrgency::Later;
        }
        if self.complete() || self.unstored_chunks() > 0 {
            return WriteUrgency::Now;
        }
        match self.deferred_since.map(|at| now.since(at)) {
            Some(waited) if waited < DEFERRED_WRITE_DELAY => WriteUrgency::None,
            Some(waited) if waited > OVERDUE_WRITE_AGE => WriteUrgency::Now,
            _ => WriteUrgency::Later,
        }
    }
}
