//! Jobs that need others to be done first.
//!
//! What a job needs stands in its record, `j/REF`, which every node follows. Its
//! shard's holder lets it go once each job that it needs is stored as done, which is
//! final, and cancels it once one before it, directly or through others, is stored
//! as cancelled. Only jobs without tasks still wait, so this is a change of stage
//! and nothing has to be stopped. A user is told so by any node, also before it is
//! written: from the stages of all that come before.

use super::job::{self, Job, JobRecord, MAX_SINGLE_READS, StoredStage};
use super::{CachedStage, Controller, Op, Ticket};
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
const CASCADES: usize = 4;
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
pub(super) enum UpstreamOutcome {
    /// All that it needs is done.
    Free,
    /// Something before it is not over.
    Waits,
    /// Something before it is cancelled; `settled` once every peer knows that.
    Cancelled { settled: bool },
    /// Nothing is known here of these.
    Unknown(Vec<String>),
}

/// A submission whose needed jobs are being looked up.
#[derive(Debug)]
struct Lookup {
    ticket: Ticket,
    spec: Rc<JobSpec>,
    size: usize,
    left: usize,
    missing: bool,
    failed: bool,
}

/// What a job needs, as far as its keys have been read.
#[derive(Debug)]
struct Partly {
    needs: Vec<String>,
    /// The last key that was read, and how many there are.
    read: u32,
    more: u32,
    busy: bool,
    /// The next key is not read before this.
    retry: Micros,
}

/// What this process knows of pipelines.
#[derive(Debug, Default)]
pub(super) struct Pipelines {
    /// What unfinished jobs need.
    needs: BTreeMap<String, Rc<[String]>>,
    /// Jobs of which only some of that is known.
    partly: BTreeMap<String, Partly>,
    /// Own jobs that wait for others.
    waiting: BTreeSet<String>,
    cascading: BTreeSet<String>,
    lookups: BTreeMap<u64, Lookup>,
    count: u64,
    next_check: Micros,
    urgency_at: Micros,
    /// What was last told of jobs that own ones need.
    inherited_urgency: BTreeMap<String, (u32, Micros)>,
    /// What is to be told.
    pub news: Vec<InheritedUrgency>,
}

impl Pipelines {
    /// Takes in what a job's record says that it needs.
    pub fn note(&mut self, id: &str, record: &JobRecord) {
        if record.stage != StoredStage::Accepted {
            self.needs.remove(id);
            self.partly.remove(id);
        } else if record.more > 0 && !self.needs.contains_key(id) {
            self.partly.entry(id.to_string()).or_insert_with(|| Partly {
                needs: record.upstream.clone(),
                read: 0,
                more: record.more,
                busy: false,
                retry: Micros::ZERO,
            });
        } else {
            self.note_all(id, &record.upstream);
        }
    }

    /// All that a job needs is known.
    pub fn note_all(&mut self, id: &str, upstream: &[String]) {
        if !upstream.is_empty() && !self.needs.contains_key(id) {
            self.needs.insert(id.to_string(), upstream.into());
            self.partly.remove(id);
            self.next_check = Micros::ZERO;
        }
    }

    /// A job is over.
    pub fn over(&mut self, id: &str) {
        self.needs.remove(id);
        self.partly.remove(id);
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
fn divide(upstream: &[String], bytes: usize) -> Vec<Vec<String>> {
    let mut lists: Vec<Vec<String>> = vec![Vec::new()];
    let mut left = bytes;
    for id in upstream {
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
    pub(super) fn upstream_outcome(&self, needs: &[String]) -> UpstreamOutcome {
        let stage = |id: &String| self.cached_stages.get(id).map(|k| k.stage);
        if needs.iter().all(|id| stage(id) == Some(StoredStage::Done)) {
            return UpstreamOutcome::Free;
        }
        let mut todo: Vec<&String> = needs.iter().collect();
        let mut observed: BTreeSet<&String> = todo.iter().copied().collect();
        let (mut unknown, mut cancelled, mut partly) = (Vec::new(), false, false);
        while let Some(id) = todo.pop() {
            match stage(id) {
                None => unknown.push(id.clone()),
                Some(StoredStage::Done) => {}
                Some(StoredStage::Cancelled) if self.terminal_states.settled(id) => {
                    return UpstreamOutcome::Cancelled { settled: true };
                }
                Some(StoredStage::Cancelled) => cancelled = true,
                Some(StoredStage::Accepted) => {
                    partly |= self.pipelines.partly.contains_key(id);
                    let before = self.pipelines.needs.get(id).into_iter().flat_map(|n| n.iter());
                    todo.extend(before.filter(|id| observed.insert(id)));
                }
            }
        }
        match (cancelled, unknown.is_empty() && !partly) {
            (true, _) => UpstreamOutcome::Cancelled { settled: false },
            (false, true) => UpstreamOutcome::Waits,
            (false, false) => UpstreamOutcome::Unknown(unknown),
        }
    }

    /// What becomes of a job that is known as accepted.
    pub(super) fn upstream_outcome_of(&self, id: &str) -> UpstreamOutcome {
        match self.pipelines.needs.get(id) {
            Some(needs) => self.upstream_outcome(needs),
            None if self.pipelines.partly.contains_key(id) => UpstreamOutcome::Unknown(Vec::new()),
            None => UpstreamOutcome::Free,
        }
    }

    /// Unfinished jobs before one, with the versions of their keys.
    fn unfinished_before(&self, id: &str) -> Vec<(String, u64)> {
        let mut list: Vec<(String, u64)> = Vec::new();
        let mut observed: BTreeSet<&str> = BTreeSet::new();
        let mut todo: Vec<&str> = vec![id];
        while let Some(id) = todo.pop() {
            let needs = self.pipelines.needs.get(id).into_iter().flat_map(|n| n.iter());
            for n in needs.filter(|n| observed.insert(n)) {
                if let Some(k) =
                    self.cached_stages.get(n).filter(|k| k.stage == StoredStage::Accepted)
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
    pub(super) fn tell_waiting(
        &mut self,
        ticket: Ticket,
        status: u16,
        id: &str,
        known: CachedStage,
    ) {
        if !self.cancellations_up_to_date() {
            return self.later(ticket, 503, "cancellations are not heard");
        }
        let most = (self.settings.state.txn_ops * CONDITIONS).max(2) - 1;
        let mut revisions = self.unfinished_before(id);
        revisions.truncate(most);
        revisions.push((id.to_string(), known.revision));
        let conditions = revisions.iter().filter(|(_, revision)| *revision > 0);
        let conditions = conditions
            .map(|(id, revision)| Condition { key: job::job_key(id), revision: *revision });
        let txn = Txn { conditions: conditions.collect(), writes: Vec::new() };
        let op = Op::Chain { ticket, status, job: id.to_string(), sent: self.now };
        self.state(op, KvRequest::Txn(txn));
    }

    pub(super) fn chain_reply(
        &mut self,
        ticket: Ticket,
        status: u16,
        id: &str,
        sent: Micros,
        reply: &KvResponse,
    ) {
        let Some(known) = self.cached_stages.get(id).copied() else {
            return self.later(ticket, 503, "undecided");
        };
        let unfinished = known.stage == StoredStage::Accepted;
        match reply {
            // What was learnt meanwhile is newer than the comparison.
            _ if !unfinished
                || matches!(self.upstream_outcome_of(id), UpstreamOutcome::Cancelled { .. }) =>
            {
                self.tell(ticket, status, id, known);
            }
            KvResponse::Applied(_) if self.fresh(sent) => {
                let answer = self.job_answer(id, known);
                self.respond(ticket, status, None, &answer);
            }
            KvResponse::Applied(_) => self.later(ticket, 503, "the state service is slow"),
            // Somebody has said more of one of them, which is on its way here.
            KvResponse::Conflict(_) => self.later(ticket, 503, "undecided"),
            _ => self.later(ticket, 503, "state service away"),
        }
    }

    /// Looks up the jobs that a submission needs: each must have been accepted.
    pub(super) fn look_up_upstream(&mut self, ticket: Ticket, spec: Rc<JobSpec>, size: usize) {
        let absent = Refusal { error: "a job that was never accepted", field: Some("upstream") };
        if spec.upstream.contains(&spec.id) {
            return self.read_or(ticket, &spec.id, 422, None, &absent);
        }
        let known = |id: &&String| self.cached_stages.contains_key(*id);
        let mut unknown: Vec<String> =
            spec.upstream.iter().filter(|id| !known(id)).cloned().collect();
        if unknown.is_empty() {
            return self.store_upstream(ticket, spec, size, 0);
        }
        if unknown.len() > MAX_SINGLE_READS {
            let absent: Vec<String> =
                unknown.iter().filter(|id| self.record_pages.was_absent(id)).cloned().collect();
            if absent.is_empty() {
                self.read_records(unknown);
                return self.later(ticket, 503, "the jobs that it needs are being read");
            }
            // Perhaps accepted by now: one that still is not there decides.
            unknown = absent;
            unknown.truncate(MAX_SINGLE_READS);
        }
        self.pipelines.count += 1;
        let number = self.pipelines.count;
        let left = unknown.len();
        let lookups = Lookup { ticket, spec, size, left, missing: false, failed: false };
        self.pipelines.lookups.insert(number, lookups);
        for id in unknown {
            let key = job::job_key(&id);
            self.state(Op::LookUp { number, job: id }, KvRequest::Get(key));
        }
    }

    pub(super) fn lookup_reply(&mut self, number: u64, id: &str, reply: &KvResponse) {
        let found = self.read_record(id, reply);
        let known = self.cached_stages.contains_key(id);
        let Some(g) = self.pipelines.lookups.get_mut(&number) else {
            return;
        };
        g.left = g.left.saturating_sub(1);
        match found {
            Some(Some(_)) => {}
            Some(None) => g.missing |= !known,
            None => g.failed = true,
        }
        if g.left > 0 {
            return;
        }
        let Some(g) = self.pipelines.lookups.remove(&number) else {
            return;
        };
        if g.failed {
            return self.later(g.ticket, 503, "state service away");
        }
        if g.missing {
            let absent =
                Refusal { error: "a job that was never accepted", field: Some("upstream") };
            return self.read_or(g.ticket, &g.spec.id, 422, None, &absent);
        }
        if !g.spec.upstream.iter().all(|id| self.cached_stages.contains_key(id)) {
            return self.later(g.ticket, 503, "the jobs that it needs are being read");
        }
        self.store_upstream(g.ticket, g.spec, g.size, 0);
    }

    /// Names of needed jobs that a value has room for.
    fn upstream_lists(&self, upstream: &[String]) -> Vec<Vec<String>> {
        let bytes = (self.settings.state.value_kb * 1024.0 * FULL) as usize;
        divide(upstream, bytes.saturating_sub(RECORD_BYTES))
    }

    /// The record of a job as it is accepted.
    pub(super) fn record_of(&self, shard: usize, spec: &JobSpec) -> JobRecord {
        let mut lists = self.upstream_lists(&spec.upstream);
        let more = lists.len() as u32 - 1;
        let upstream = lists.swap_remove(0);
        JobRecord { shard, stage: StoredStage::Accepted, tasks: spec.tasks, upstream, more }
    }

    /// Writes what does not fit in a job's record, and then accepts the job: a record
    /// that names further keys must never be read before they stand. Written late, or
    /// of an earlier try, they fail on the record's mark.
    pub(super) fn store_upstream(
        &mut self,
        ticket: Ticket,
        spec: Rc<JobSpec>,
        size: usize,
        from: usize,
    ) {
        let lists = self.upstream_lists(&spec.upstream);
        if from + 1 >= lists.len() {
            self.submissions += 1;
            return self.queue_submission(ticket, spec, size);
        }
        let leadership = self
            .admitting_shard()
            .and_then(|s| Some((s, self.shards[s].leadership.as_ref()?.revision)));
        let Some((s, revision)) = leadership else {
            return self.later(ticket, 503, "no seat is held");
        };
        let by_size = TXN_BYTES / (self.settings.state.value_kb * 1024.0) as usize;
        let most = self.settings.state.txn_ops.min(by_size).max(1);
        let write = |n: usize| Write::Put {
            key: job::upstream_key(&spec.id, n as u32),
            value: json!({ "u": lists[n] }),
            lease: None,
        };
        let to = (from + 1 + most).min(lists.len());
        let conditions = vec![
            Condition { key: super::shard::lease_key(s), revision },
            Condition { key: job::job_key(&spec.id), revision: 0 },
        ];
        let txn = Txn { conditions, writes: (from + 1..to).map(write).collect() };
        self.state(Op::StoreUpstream { ticket, spec, size, to: to - 1 }, KvRequest::Txn(txn));
    }

    pub(super) fn upstream_stored(
        &mut self,
        ticket: Ticket,
        spec: Rc<JobSpec>,
        size: usize,
        to: usize,
        reply: &KvResponse,
    ) {
        match reply {
            KvResponse::Applied(_) => self.store_upstream(ticket, spec, size, to),
            KvResponse::Conflict(_) => {
                let otherwise = Refusal::new("undecided");
                self.read_or(ticket, &spec.id, 503, Some(1), &otherwise);
            }
            _ => self.later(ticket, 503, "state service away"),
        }
    }

    /// Reads the further keys of jobs that need many others.
    fn read_upstream(&mut self) {
        let now = self.now;
        let open = self.pipelines.partly.iter_mut().find(|(_, p)| !p.busy && now >= p.retry);
        let Some((id, partly)) = open else {
            return;
        };
        partly.busy = true;
        let (job, number) = (id.clone(), partly.read + 1);
        let key = job::upstream_key(id, number);
        self.state(Op::ReadUpstream { job, number }, KvRequest::Get(key));
    }

    pub(super) fn upstream_read(&mut self, id: &str, number: u32, reply: &KvResponse) {
        let Some(partly) = self.pipelines.partly.get_mut(id) else {
            return;
        };
        partly.busy = false;
        // What cannot be read now is read later, and others first.
        partly.retry = self.now + READ_AGAIN;
        let KvResponse::Value(item) = reply else {
            return;
        };
        // Without one of the names the job might be let go too early.
        let names = item.as_ref().and_then(|i| Vec::<String>::deserialize(i.value.get("u")?).ok());
        let Some(names) = names else {
            let key = job::upstream_key(id, number);
            return self.note_unreadable(&key, "no list of jobs that can be read");
        };
        if number == partly.read + 1 {
            partly.needs.extend(names);
            partly.read = number;
            partly.retry = Micros::ZERO;
        }
        if partly.read >= partly.more {
            let needs = std::mem::take(&mut partly.needs);
            self.pipelines.note_all(id, &needs);
        }
    }

    /// Looks at own waiting jobs: which may go, and which are cancelled.
    pub(super) fn maintain_pipelines(&mut self) {
        self.read_upstream();
        self.maintain_record_pages();
        if !self.holds_lease() || self.now < self.pipelines.next_check {
            return;
        }
        self.pipelines.next_check = self.now + LOOK_EVERY;
        let wall = self.wall();
        for id in self.pipelines.waiting.iter().cloned().collect::<Vec<_>>() {
            let waits = |j: &&Job| j.waiting && !j.cancelled && !j.over;
            let Some(job) = self.jobs.get(&id).filter(waits) else {
                self.pipelines.waiting.remove(&id);
                continue;
            };
            if let Some(needs) =
                self.pipelines.needs.get(&id).filter(|n| n.len() > job.upstream.len())
            {
                let needs = Rc::clone(needs);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.upstream = needs;
                }
            }
            // Nothing known of what it needs is no reason to let it go.
            let noted = self.pipelines.needs.contains_key(&id);
            match if noted {
                self.upstream_outcome_of(&id)
            } else {
                UpstreamOutcome::Unknown(Vec::new())
            } {
                UpstreamOutcome::Free => {
                    info!("job {id} may start: all that it needs is done");
                    self.counts.released += 1;
                    self.pipelines.waiting.remove(&id);
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.waiting = false;
                        job.ready = wall;
                        job.waits = "new";
                    }
                    self.place_wanted = true;
                }
                UpstreamOutcome::Cancelled { .. } => self.cascade(&id),
                UpstreamOutcome::Unknown(list) => self.read_records(list),
                UpstreamOutcome::Waits => {}
            }
        }
        self.update_inherited_urgency();
    }

    /// Writes down that a waiting job is cancelled with one before it.
    fn cascade(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let full = self.pipelines.cascading.len() >= CASCADES;
        if full || self.pipelines.cascading.contains(id) || !self.serves_shard(job.shard) {
            // The next look comes soon.
            self.pipelines.next_check =
                self.pipelines.next_check.min(self.now + Micros::millis(100));
            return;
        }
        let (shard, tasks) = (job.shard, job.spec.tasks);
        let record = JobRecord {
            shard,
            stage: StoredStage::Cancelled,
            tasks,
            upstream: Vec::new(),
            more: 0,
        };
        let key = job::job_key(id);
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), revision: job.revision }],
            writes: vec![Write::Put { key, value: json!(record), lease: None }],
        };
        self.pipelines.cascading.insert(id.to_string());
        self.state(Op::Cascade { job: id.to_string(), shard, tasks }, KvRequest::Txn(txn));
    }

    pub(super) fn cascaded(&mut self, id: &str, shard: usize, tasks: u32, reply: &KvResponse) {
        self.pipelines.cascading.remove(id);
        match reply {
            KvResponse::Applied(revision) => {
                info!("job {id} cancelled with one that it needs");
                self.counts.cancelled_with_upstream += 1;
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
            KvResponse::Conflict(_) | KvResponse::OutcomeUnknown => self.recheck(id),
            _ => {}
        }
    }

    /// Works out how urgent the jobs are that own ones wait for, and tells it.
    fn update_inherited_urgency(&mut self) {
        let all = self.now >= self.pipelines.urgency_at;
        if all {
            self.pipelines.urgency_at = self.now + URGENCY_EVERY;
        }
        let mut inherited_urgency: BTreeMap<String, (u32, Micros)> = BTreeMap::new();
        for job in self.pipelines.waiting.iter().filter_map(|id| self.jobs.get(id)) {
            let (rank, due) = (job.rank(), job.due());
            for id in job.upstream.iter() {
                if self.cached_stages.get(id).is_some_and(|k| k.stage == StoredStage::Accepted) {
                    let most = inherited_urgency.entry(id.clone()).or_insert((rank, due));
                    *most = (most.0.min(rank), most.1.min(due));
                }
            }
        }
        for (id, (rank, due)) in &inherited_urgency {
            if all || self.pipelines.inherited_urgency.get(id) != Some(&(*rank, *due)) {
                let news = InheritedUrgency { job: id.clone(), rank: *rank, due_us: due.0 };
                self.pipelines.news.push(news);
            }
            self.inherit_urgency(id, *rank, *due);
        }
        self.pipelines.inherited_urgency = inherited_urgency;
    }

    /// A job is needed by one of this rank and deadline.
    pub(super) fn inherit_urgency(&mut self, id: &str, rank: u32, due: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let (r, d) = job.inherited_urgency.unwrap_or((u32::MAX, Micros::FAR));
        let most = (r.min(rank), d.min(due));
        if job.inherited_urgency != Some(most) {
            job.inherited_urgency = Some(most);
            self.place_wanted = true;
            if self.pipelines.waiting.contains(id) {
                // What it needs itself is as urgent.
                self.pipelines.next_check = Micros::ZERO;
            }
        }
    }
}
