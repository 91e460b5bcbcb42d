//! Jobs that need others to be done first.
//!
//! What a job needs stands in its record, `j/REF`, which every node follows. Its
//! shard's holder lets it go once each job that it needs is stored as done, which is
//! final, and cancels it once one before it, directly or through others, is stored
//! as cancelled. Only jobs without tasks still wait, so this is a change of stage
//! and nothing has to be stopped. A user is told so by any node, also before it is
//! written: from the stages of all that come before.

use crate::controller::api::pending::PreparedAnswer;
use crate::controller::api::record_reads::RecordRead;
use crate::controller::calls::ApiCall;
use crate::controller::calls::JobsCall;
use crate::controller::jobs::job::{self, Job, JobRecord, MAX_SINGLE_READS, StoredStage};
use crate::controller::leadership::shard_lease;
use crate::controller::scheduler::pending_reason::PendingReason;
use crate::controller::{CachedStage, Controller, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::peer::InheritedUrgency;
use crate::time::Micros;
use crate::wire::{Condition, JobSpec, Refusal, Txn, Write};
use log::info;
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Between looks at own waiting jobs where nothing has ended.
const LOOK_EVERY: Micros = Micros::secs(1);
/// Between reads of a list of needed jobs that could not be read.
const READ_AGAIN: Micros = Micros::secs(1);
/// Cancellations of waiting jobs under way at once.
const MAX_CANCELLATIONS_IN_FLIGHT: usize = 4;
/// How often inherited urgency is told again: a lost message costs a delay.
const URGENCY_EVERY: Micros = Micros::secs(4);
/// Conditions that a transaction may have for each change that it might make.
const CONDITIONS: usize = 4;
/// Bytes of a transaction that values may take.
const TXN_BYTES: usize = 48 * 1024;
/// Part of a value that the list of needed jobs may take, and what surrounds it.
const FULL: f64 = 0.9;
const RECORD_BYTES: usize = 64;

/// What becomes of a job, by all that comes before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DependencyOutcome {
    /// All that it needs is done.
    Satisfied,
    /// Something before it is not over.
    Pending,
    /// Something before it is cancelled; `acknowledged` once every peer knows that.
    Cancelled { acknowledged: bool },
    /// Nothing is known here of these.
    Unknown(Vec<String>),
}

/// A submission whose needed jobs are being looked up.
#[derive(Debug)]
struct DependencyLookup {
    ticket: Ticket,
    spec: Rc<JobSpec>,
    size: usize,
    left: usize,
    missing: bool,
    failed: bool,
}

/// What a job needs, as far as its keys have been read.
#[derive(Debug)]
struct PartialDependencies {
    dependencies: Vec<String>,
    /// The last key that was read, and how many there are.
    read: u32,
    more: u32,
    busy: bool,
    /// The next key is not read before this.
    retry: Micros,
}

/// What this process knows of pipelines.
#[derive(Debug, Default)]
pub(crate) struct DependencyGraph {
    /// What unfinished jobs need.
    dependencies: BTreeMap<String, Rc<[String]>>,
    /// Jobs of which only some of that is known.
    partial: BTreeMap<String, PartialDependencies>,
    /// Own jobs that wait for others.
    waiting: BTreeSet<String>,
    cancelling: BTreeSet<String>,
    lookups: BTreeMap<u64, DependencyLookup>,
    count: u64,
    next_check: Micros,
    urgency_at: Micros,
    /// What was last told of jobs that own ones need.
    inherited_urgency: BTreeMap<String, (u32, Micros)>,
    /// What is to be told.
    pub news: Vec<InheritedUrgency>,
}

impl DependencyGraph {
    /// Takes in what a job's record says that it needs.
    pub fn note(&mut self, id: &str, record: &JobRecord) {
        if record.stage != StoredStage::Accepted {
            self.dependencies.remove(id);
            self.partial.remove(id);
        } else if record.more > 0 && !self.dependencies.contains_key(id) {
            self.partial.entry(id.to_string()).or_insert_with(|| PartialDependencies {
                dependencies: record.dependencies.clone(),
                read: 0,
                more: record.more,
                busy: false,
                retry: Micros::ZERO,
            });
        } else {
            self.set_dependencies(id, &record.dependencies);
        }
    }

    /// All that a job needs is known.
    pub fn set_dependencies(&mut self, id: &str, dependencies: &[String]) {
        if !dependencies.is_empty() && !self.dependencies.contains_key(id) {
            self.dependencies.insert(id.to_string(), dependencies.into());
            self.partial.remove(id);
            self.next_check = Micros::ZERO;
        }
    }

    /// A job is over.
    pub fn over(&mut self, id: &str) {
        self.dependencies.remove(id);
        self.partial.remove(id);
        // What needs it may go on, or is cancelled.
        self.next_check = Micros::ZERO;
    }

    /// An own job waits for others.
    pub fn wait(&mut self, id: &str) {
        self.waiting.insert(id.to_string());
        self.next_check = Micros::ZERO;
    }
}

/// Divides the names of needed jobs into lists that fit in so many bytes each.
fn divide(dependencies: &[String], bytes: usize) -> Vec<Vec<String>> {
    let mut lists: Vec<Vec<String>> = vec![Vec::new()];
    let mut left = bytes;
    for id in dependencies {
        let size = id.len() + 3;
        if size > left && lists.last().is_some_and(|l| !l.is_empty()) {
            lists.push(Vec::new());
            left = bytes;
        }
        left = left.saturating_sub(size);
        if let Some(list) = lists.last_mut() {
            list.push(id.clone());
        }
    }
    lists
}

impl Controller {
    /// Works out what becomes of a job that needs others.
    pub(crate) fn dependency_outcome(&self, dependencies: &[String]) -> DependencyOutcome {
        let stage = |id: &String| self.jobs.cached_stages.get(id).map(|k| k.stage);
        if dependencies.iter().all(|id| stage(id) == Some(StoredStage::Done)) {
            return DependencyOutcome::Satisfied;
        }
        let mut todo: Vec<&String> = dependencies.iter().collect();
        let mut observed: BTreeSet<&String> = todo.iter().copied().collect();
        let (mut unknown, mut cancelled, mut partial) = (Vec::new(), false, false);
        while let Some(id) = todo.pop() {
            match stage(id) {
                None => unknown.push(id.clone()),
                Some(StoredStage::Done) => {}
                Some(StoredStage::Cancelled) if self.api.terminal_states.acknowledged(id) => {
                    return DependencyOutcome::Cancelled { acknowledged: true };
                }
                Some(StoredStage::Cancelled) => cancelled = true,
                Some(StoredStage::Accepted) => {
                    partial |= self.jobs.dependency_graph.partial.contains_key(id);
                    let before = self
                        .jobs
                        .dependency_graph
                        .dependencies
                        .get(id)
                        .into_iter()
                        .flat_map(|n| n.iter());
                    todo.extend(before.filter(|id| observed.insert(id)));
                }
            }
        }
        match (cancelled, unknown.is_empty() && !partial) {
            (true, _) => DependencyOutcome::Cancelled { acknowledged: false },
            (false, true) => DependencyOutcome::Pending,
            (false, false) => DependencyOutcome::Unknown(unknown),
        }
    }

    /// What becomes of a job that is known as accepted.
    pub(crate) fn dependency_outcome_of(&self, id: &str) -> DependencyOutcome {
        match self.jobs.dependency_graph.dependencies.get(id) {
            Some(dependencies) => self.dependency_outcome(dependencies),
            None if self.jobs.dependency_graph.partial.contains_key(id) => {
                DependencyOutcome::Unknown(Vec::new())
            }
            None => DependencyOutcome::Satisfied,
        }
    }

    /// Unfinished jobs before one, with the versions of their keys.
    fn unfinished_dependencies(&self, id: &str) -> Vec<(String, u64)> {
        let mut list: Vec<(String, u64)> = Vec::new();
        let mut observed: BTreeSet<&str> = BTreeSet::new();
        let mut todo: Vec<&str> = vec![id];
        while let Some(id) = todo.pop() {
            let dependencies =
                self.jobs.dependency_graph.dependencies.get(id).into_iter().flat_map(|n| n.iter());
            for n in dependencies.filter(|n| observed.insert(n)) {
                if let Some(k) =
                    self.jobs.cached_stages.get(n).filter(|k| k.stage == StoredStage::Accepted)
                {
                    list.push((n.clone(), k.revision));
                    todo.push(n);
                }
            }
        }
        list
    }

    /// Tells a user how a job stands that waits for others: only if, at this moment,
    /// none of them is cancelled by the store either. Its own stage would say nothing
    /// of that until its shard's holder has written it.
    pub(crate) fn answer_blocked(
        &mut self,
        ticket: Ticket,
        status: u16,
        id: &str,
        known: CachedStage,
    ) {
        if !self.cancellations_up_to_date() {
            return self.respond_retry_later(ticket, 503, "cancellations are not heard");
        }
        let most = (self.context.settings.state.txn_ops * CONDITIONS).max(2) - 1;
        let mut revisions = self.unfinished_dependencies(id);
        revisions.truncate(most);
        revisions.push((id.to_string(), known.revision));
        let conditions = revisions.iter().filter(|(_, revision)| *revision > 0);
        let conditions = conditions
            .map(|(id, revision)| Condition { key: job::job_key(id), revision: *revision });
        let txn = Txn { conditions: conditions.collect(), writes: Vec::new() };
        let op = ApiCall::CompareDependencies {
            ticket,
            status,
            job: id.to_string(),
            sent: self.context.now,
        };
        self.context.call_store(op, KvRequest::Txn(txn));
    }

    pub(crate) fn dependencies_compared(
        &mut self,
        ticket: Ticket,
        status: u16,
        id: &str,
        sent: Micros,
        reply: &KvResponse,
    ) {
        let Some(known) = self.jobs.cached_stages.get(id).copied() else {
            return self.respond_retry_later(ticket, 503, "undecided");
        };
        let unfinished = known.stage == StoredStage::Accepted;
        match reply {
            // What was learnt meanwhile is newer than the comparison.
            _ if !unfinished
                || matches!(
                    self.dependency_outcome_of(id),
                    DependencyOutcome::Cancelled { .. }
                ) =>
            {
                self.answer_with_stage(ticket, status, id, known);
            }
            KvResponse::Applied(_) if self.fresh(sent) => {
                let answer = self.job_answer(id, known);
                self.context.respond(ticket, status, None, &answer);
            }
            KvResponse::Applied(_) => {
                self.respond_retry_later(ticket, 503, "the state service is slow")
            }
            // Somebody has said more of one of them, which is on its way here.
            KvResponse::Conflict(_) => self.respond_retry_later(ticket, 503, "undecided"),
            _ => self.respond_retry_later(ticket, 503, "state service away"),
        }
    }

    /// Looks up the jobs that a submission needs: each must have been accepted.
    pub(crate) fn look_up_dependencies(&mut self, ticket: Ticket, spec: Rc<JobSpec>, size: usize) {
        let absent = Refusal { error: "a job that was never accepted", field: Some("upstream") };
        if spec.dependencies.contains(&spec.id) {
            return self.read_job_or_answer(
                ticket,
                &spec.id,
                PreparedAnswer::refusal(422, &absent),
            );
        }
        let known = |id: &&String| self.jobs.cached_stages.contains_key(*id);
        let mut unknown: Vec<String> =
            spec.dependencies.iter().filter(|id| !known(id)).cloned().collect();
        if unknown.is_empty() {
            return self.store_dependencies(ticket, spec, size, 0);
        }
        if unknown.len() > MAX_SINGLE_READS {
            let absent: Vec<String> = unknown
                .iter()
                .filter(|id| self.jobs.record_pages.was_absent(id))
                .cloned()
                .collect();
            if absent.is_empty() {
                self.read_records(unknown);
                return self.respond_retry_later(
                    ticket,
                    503,
                    "the jobs that it needs are being read",
                );
            }
            // Perhaps accepted by now: one that still is not there decides.
            unknown = absent;
            unknown.truncate(MAX_SINGLE_READS);
        }
        self.jobs.dependency_graph.count += 1;
        let number = self.jobs.dependency_graph.count;
        let left = unknown.len();
        let lookups = DependencyLookup { ticket, spec, size, left, missing: false, failed: false };
        self.jobs.dependency_graph.lookups.insert(number, lookups);
        for id in unknown {
            let key = job::job_key(&id);
            self.context
                .call_store(ApiCall::LookUpDependency { number, job: id }, KvRequest::Get(key));
        }
    }

    pub(crate) fn dependency_looked_up(&mut self, number: u64, id: &str, reply: &KvResponse) {
        let read = self.take_record_reply(id, reply);
        let known = self.jobs.cached_stages.contains_key(id);
        let Some(g) = self.jobs.dependency_graph.lookups.get_mut(&number) else {
            return;
        };
        g.left = g.left.saturating_sub(1);
        match read {
            RecordRead::Found { .. } => {}
            RecordRead::NoSuchJob => g.missing |= !known,
            RecordRead::NotAnswered => g.failed = true,
        }
        if g.left > 0 {
            return;
        }
        let Some(g) = self.jobs.dependency_graph.lookups.remove(&number) else {
            return;
        };
        if g.failed {
            return self.respond_retry_later(g.ticket, 503, "state service away");
        }
        if g.missing {
            let absent =
                Refusal { error: "a job that was never accepted", field: Some("upstream") };
            return self.read_job_or_answer(
                g.ticket,
                &g.spec.id,
                PreparedAnswer::refusal(422, &absent),
            );
        }
        if !g.spec.dependencies.iter().all(|id| self.jobs.cached_stages.contains_key(id)) {
            return self.respond_retry_later(
                g.ticket,
                503,
                "the jobs that it needs are being read",
            );
        }
        self.store_dependencies(g.ticket, g.spec, g.size, 0);
    }

    /// Names of needed jobs that a value has room for.
    fn dependency_lists(&self, dependencies: &[String]) -> Vec<Vec<String>> {
        let bytes = (self.context.settings.state.value_kb * 1024.0 * FULL) as usize;
        divide(dependencies, bytes.saturating_sub(RECORD_BYTES))
    }

    /// The record of a job as it is accepted.
    pub(crate) fn record_of(&self, shard: usize, spec: &JobSpec) -> JobRecord {
        let mut lists = self.dependency_lists(&spec.dependencies);
        let more = lists.len() as u32 - 1;
        let dependencies = lists.swap_remove(0);
        JobRecord { shard, stage: StoredStage::Accepted, tasks: spec.tasks, dependencies, more }
    }

    /// Writes what does not fit in a job's record, and then accepts the job: a record
    /// that names further keys must never be read before they stand. Written late, or
    /// of an earlier try, they fail on the record's mark.
    pub(crate) fn store_dependencies(
        &mut self,
        ticket: Ticket,
        spec: Rc<JobSpec>,
        size: usize,
        from: usize,
    ) {
        let lists = self.dependency_lists(&spec.dependencies);
        if from + 1 >= lists.len() {
            return self.queue_submission(ticket, spec, size);
        }
        let leadership =
            self.admitting_shard().and_then(|s| Some((s, self.leadership.led_shard(s)?.revision)));
        let Some((s, revision)) = leadership else {
            return self.respond_retry_later(ticket, 503, "no seat is held");
        };
        let by_size = TXN_BYTES / (self.context.settings.state.value_kb * 1024.0) as usize;
        let most = self.context.settings.state.txn_ops.min(by_size).max(1);
        let write = |n: usize| Write::Put {
            key: job::dependency_key(&spec.id, n as u32),
            value: json!({ "u": lists[n] }),
            lease: None,
        };
        let to = (from + 1 + most).min(lists.len());
        let conditions = vec![
            shard_lease::lease_condition(s, revision),
            Condition { key: job::job_key(&spec.id), revision: 0 },
        ];
        let txn = Txn { conditions, writes: (from + 1..to).map(write).collect() };
        self.context.call_store(
            ApiCall::StoreDependencies { ticket, spec, size, to: to - 1 },
            KvRequest::Txn(txn),
        );
    }

    pub(crate) fn dependencies_stored(
        &mut self,
        ticket: Ticket,
        spec: Rc<JobSpec>,
        size: usize,
        to: usize,
        reply: &KvResponse,
    ) {
        match reply {
            KvResponse::Applied(_) => self.store_dependencies(ticket, spec, size, to),
            KvResponse::Conflict(_) => {
                self.read_job_or_answer(ticket, &spec.id, PreparedAnswer::undecided());
            }
            _ => self.respond_retry_later(ticket, 503, "state service away"),
        }
    }

    /// Reads the further keys of jobs that need many others.
    fn read_dependencies(&mut self) {
        let now = self.context.now;
        let open =
            self.jobs.dependency_graph.partial.iter_mut().find(|(_, p)| !p.busy && now >= p.retry);
        let Some((id, partial)) = open else {
            return;
        };
        partial.busy = true;
        let (job, number) = (id.clone(), partial.read + 1);
        let key = job::dependency_key(id, number);
        self.context.call_store(JobsCall::ReadDependencies { job, number }, KvRequest::Get(key));
    }

    pub(crate) fn dependencies_read(&mut self, id: &str, number: u32, reply: &KvResponse) {
        let Some(partial) = self.jobs.dependency_graph.partial.get_mut(id) else {
            return;
        };
        partial.busy = false;
        // What cannot be read now is read later, and others first.
        partial.retry = self.context.now + READ_AGAIN;
        let KvResponse::Value(item) = reply else {
            return;
        };
        // Without one of the names the job might be let go too early.
        let names = item.as_ref().and_then(|i| Vec::<String>::deserialize(i.value.get("u")?).ok());
        let Some(names) = names else {
            let key = job::dependency_key(id, number);
            return self.note_unreadable(&key, "no list of jobs that can be read");
        };
        if number == partial.read + 1 {
            partial.dependencies.extend(names);
            partial.read = number;
            partial.retry = Micros::ZERO;
        }
        if partial.read >= partial.more {
            let dependencies = std::mem::take(&mut partial.dependencies);
            self.jobs.dependency_graph.set_dependencies(id, &dependencies);
        }
    }

    /// Looks at own waiting jobs: which may go, and which are cancelled.
    pub(crate) fn maintain_dependencies(&mut self) {
        self.read_dependencies();
        self.maintain_record_pages();
        if !self.holds_lease() || self.context.now < self.jobs.dependency_graph.next_check {
            return;
        }
        self.jobs.dependency_graph.next_check = self.context.now + LOOK_EVERY;
        let wall = self.context.wall();
        for id in self.jobs.dependency_graph.waiting.iter().cloned().collect::<Vec<_>>() {
            let waits = |j: &&Job| j.waiting && !j.cancelled && !j.over;
            let Some(job) = self.jobs.by_id.get(&id).filter(waits) else {
                self.jobs.dependency_graph.waiting.remove(&id);
                continue;
            };
            if let Some(dependencies) = self
                .jobs
                .dependency_graph
                .dependencies
                .get(&id)
                .filter(|n| n.len() > job.dependencies.len())
            {
                let dependencies = Rc::clone(dependencies);
                if let Some(job) = self.jobs.by_id.get_mut(&id) {
                    job.dependencies = dependencies;
                }
            }
            // Nothing known of what it needs is no reason to let it go.
            let noted = self.jobs.dependency_graph.dependencies.contains_key(&id);
            match if noted {
                self.dependency_outcome_of(&id)
            } else {
                DependencyOutcome::Unknown(Vec::new())
            } {
                DependencyOutcome::Satisfied => {
                    info!("job {id} may start: all its dependencies are done");
                    self.counts.released += 1;
                    self.jobs.dependency_graph.waiting.remove(&id);
                    if let Some(job) = self.jobs.by_id.get_mut(&id) {
                        job.waiting = false;
                        job.ready = wall;
                        job.pending_reason = PendingReason::New;
                    }
                    self.scheduler.request_pass();
                }
                DependencyOutcome::Cancelled { .. } => self.cancel_dependent(&id),
                DependencyOutcome::Unknown(list) => self.read_records(list),
                DependencyOutcome::Pending => {}
            }
        }
        self.update_inherited_urgency();
    }

    /// Writes down that a waiting job is cancelled with one before it.
    fn cancel_dependent(&mut self, id: &str) {
        let Some(job) = self.jobs.by_id.get(id) else {
            return;
        };
        let full = self.jobs.dependency_graph.cancelling.len() >= MAX_CANCELLATIONS_IN_FLIGHT;
        if full
            || self.jobs.dependency_graph.cancelling.contains(id)
            || !self.serves_shard(job.shard)
        {
            // The next look comes soon.
            self.jobs.dependency_graph.next_check =
                self.jobs.dependency_graph.next_check.min(self.context.now + Micros::millis(100));
            return;
        }
        let (shard, tasks) = (job.shard, job.spec.tasks);
        let record = JobRecord {
            shard,
            stage: StoredStage::Cancelled,
            tasks,
            dependencies: Vec::new(),
            more: 0,
        };
        let key = job::job_key(id);
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), revision: job.revision }],
            writes: vec![Write::Put { key, value: json!(record), lease: None }],
        };
        self.jobs.dependency_graph.cancelling.insert(id.to_string());
        self.context.call_store(
            JobsCall::CancelDependent { job: id.to_string(), shard, tasks },
            KvRequest::Txn(txn),
        );
    }

    pub(crate) fn dependent_cancelled(
        &mut self,
        id: &str,
        shard: usize,
        tasks: u32,
        reply: &KvResponse,
    ) {
        self.jobs.dependency_graph.cancelling.remove(id);
        match reply {
            KvResponse::Applied(revision) => {
                info!("job {id} cancelled with a dependency");
                self.counts.cancelled_with_dependency += 1;
                let known = CachedStage {
                    stage: StoredStage::Cancelled,
                    shard,
                    tasks,
                    revision: *revision,
                };
                self.cache_stage(id, known);
                self.announce_cancelled(id, *revision);
                self.job_cancelled(id);
            }
            // Perhaps applied, or its user was faster: what is stored decides.
            KvResponse::Conflict(_) | KvResponse::OutcomeUnknown => self.read_back(id),
            _ => {}
        }
    }

    /// Works out how urgent the jobs are that own ones wait for, and tells it.
    fn update_inherited_urgency(&mut self) {
        let all = self.context.now >= self.jobs.dependency_graph.urgency_at;
        if all {
            self.jobs.dependency_graph.urgency_at = self.context.now + URGENCY_EVERY;
        }
        let mut inherited_urgency: BTreeMap<String, (u32, Micros)> = BTreeMap::new();
        for job in
            self.jobs.dependency_graph.waiting.iter().filter_map(|id| self.jobs.by_id.get(id))
        {
            let (rank, due) = (job.rank(), job.due());
            for id in job.dependencies.iter() {
                if self.jobs.cached_stages.get(id).is_some_and(|k| k.stage == StoredStage::Accepted)
                {
                    let most = inherited_urgency.entry(id.clone()).or_insert((rank, due));
                    *most = (most.0.min(rank), most.1.min(due));
                }
            }
        }
        for (id, (rank, due)) in &inherited_urgency {
            if all || self.jobs.dependency_graph.inherited_urgency.get(id) != Some(&(*rank, *due)) {
                let news = InheritedUrgency { job: id.clone(), rank: *rank, due_us: due.0 };
                self.jobs.dependency_graph.news.push(news);
            }
            self.inherit_urgency(id, *rank, *due);
        }
        self.jobs.dependency_graph.inherited_urgency = inherited_urgency;
    }

    /// A job is needed by one of this rank and deadline.
    pub(crate) fn inherit_urgency(&mut self, id: &str, rank: u32, due: Micros) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let (r, d) = job.inherited_urgency.unwrap_or((u32::MAX, Micros::FAR));
        let most = (r.min(rank), d.min(due));
        if job.inherited_urgency != Some(most) {
            job.inherited_urgency = Some(most);
            self.scheduler.request_pass();
            if self.jobs.dependency_graph.waiting.contains(id) {
                // What it needs itself is as urgent.
                self.jobs.dependency_graph.next_check = Micros::ZERO;
            }
        }
    }
}
