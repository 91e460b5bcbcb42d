//! Reading the jobs of a shard after it was taken.

use crate::controller::calls::LeadershipCall;
use crate::controller::calls::{ApiCall, PendingCall};
use crate::controller::jobs::job::{self, Job, JobRecord, StoredStage};
use crate::controller::{CachedStage, Controller, Watch};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use log::{info, warn};
use serde_json::Value;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// Reads of job records under way at once while a shard is loaded.
const LOADS: usize = 12;

/// A shard's jobs, being read after a take.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShardRecovery {
    pub(crate) term: u64,
    pub(crate) after: Option<String>,
    pub(crate) listed: bool,
    pub(crate) busy: bool,
    pub(crate) retry: Micros,
    pub(crate) chunks: BTreeMap<String, BTreeMap<usize, (Value, u64)>>,
    /// Jobs whose record is still to be read.
    pub(crate) todo: BTreeSet<String>,
    pub(crate) in_flight: BTreeSet<String>,
    /// Asked for before changes may have been missed: read again.
    pub(crate) stale: BTreeSet<String>,
    pub(crate) records: BTreeMap<String, (Option<JobRecord>, u64)>,
    /// Descriptions from batches: key and version of the batch, and part 0.
    pub(crate) batched: BTreeMap<String, (String, u64, Value)>,
}

impl Controller {
    /// A job that the store holds and this process does not: its acceptance
    /// was applied after the answer had been given up.
    pub(crate) fn adopt(&mut self, id: &str, s: usize) {
        if s >= self.leadership.shards.len()
            || !self.serves_shard(s)
            || self.jobs.by_id.contains_key(id)
        {
            return;
        }
        // Read again and again it would be no more readable.
        if self.jobs.unreadable.contains(id) {
            return;
        }
        let under_way = self
            .context.calls
            .values()
            .any(|call| matches!(call, PendingCall::Api(ApiCall::Admit(group)) if group.submissions.iter().any(|s| s.spec.id == id)));
        if under_way {
            return;
        }
        let Some(term) = self.leading_term(s) else {
            return;
        };
        info!("job {id} found in the store");
        // The whole list again: it is short, and only unknown jobs are taken.
        let loading = self
            .leadership
            .recoveries
            .entry(s)
            .or_insert_with(|| ShardRecovery { term, ..ShardRecovery::default() });
        loading.after = None;
        loading.listed = false;
    }

    pub(crate) fn continue_recoveries(&mut self) {
        // What changes after a record was read comes by the watch, which must stand.
        let watched = self.leadership.watches.get(&Watch::Jobs).is_some_and(|f| f.after.is_some());
        if !self.holds_lease() || !watched {
            return;
        }
        let shards: Vec<usize> = self.leadership.recoveries.keys().copied().collect();
        for s in shards {
            self.continue_recovery(s);
        }
    }

    fn continue_recovery(&mut self, s: usize) {
        let now = self.context.now;
        let Some(l) = self.leadership.recoveries.get_mut(&s) else {
            return;
        };
        if l.busy || now < l.retry {
            return;
        }
        let term = l.term;
        if !l.listed {
            l.busy = true;
            let call = KvRequest::List { prefix: format!("w/{s}/"), after: l.after.clone() };
            return self
                .context
                .call_store(LeadershipCall::ReadRecoveryPage { shard: s, term }, call);
        }
        let in_flight: Vec<String> =
            l.todo.iter().take(LOADS.saturating_sub(l.in_flight.len())).cloned().collect();
        for job in &in_flight {
            l.todo.remove(job);
            l.in_flight.insert(job.clone());
        }
        let finished = l.todo.is_empty() && l.in_flight.is_empty() && l.stale.is_empty();
        for job in in_flight {
            let key = job::job_key(&job);
            self.context.call_store(
                LeadershipCall::ReadRecoveredRecord { shard: s, term, job },
                KvRequest::Get(key),
            );
        }
        if finished {
            self.finish_recovery(s);
        }
    }

    pub(crate) fn recovery_page_reply(&mut self, s: usize, term: u64, reply: KvResponse) {
        let now = self.context.now;
        let known = |id: &str, c: &Controller| c.jobs.by_id.contains_key(id);
        let KvResponse::Page { items, more, .. } = reply else {
            if let Some(l) = self.leadership.recoveries.get_mut(&s).filter(|l| l.term == term) {
                l.busy = false;
                l.retry = now + Micros::millis(200);
            }
            return;
        };
        let (mut new, mut batched) = (Vec::new(), Vec::new());
        for i in &items {
            let Some((id, chunk)) = job::parse_chunk_key(&i.key) else {
                continue;
            };
            if job::is_batch(id) {
                if !job::batch_is_sound(&i.value) {
                    self.note_unreadable(&i.key, "some of its jobs cannot be read");
                }
                let jobs = job::decode_batch(&i.value).into_iter();
                let unknown = jobs.filter(|(id, _)| !known(id, self));
                batched.extend(unknown.map(|(id, v)| (id, (i.key.clone(), i.revision, v))));
            } else if !known(id, self) {
                new.push((id.to_string(), chunk, i.clone()));
            }
        }
        let Some(l) = self.leadership.recoveries.get_mut(&s).filter(|l| l.term == term) else {
            return;
        };
        l.busy = false;
        l.after = items.last().map(|i| i.key.clone());
        l.listed = !more || items.is_empty();
        for (id, chunk, item) in new {
            l.todo.insert(id.clone());
            l.chunks.entry(id).or_default().insert(chunk, (item.value, item.revision));
        }
        for (id, found) in batched {
            l.todo.insert(id.clone());
            l.batched.insert(id, found);
        }
        self.continue_recovery(s);
    }

    pub(crate) fn recovery_record_reply(
        &mut self,
        s: usize,
        term: u64,
        job: &str,
        reply: KvResponse,
    ) {
        let Some(l) = self.leadership.recoveries.get_mut(&s).filter(|l| l.term == term) else {
            return;
        };
        l.in_flight.remove(job);
        match reply {
            _ if l.stale.remove(job) => {
                l.todo.insert(job.to_string());
            }
            KvResponse::Value(item) => {
                let record =
                    item.as_ref().and_then(|i| serde_json::from_value(i.value.clone()).ok());
                let revision = item.map_or(0, |i| i.revision);
                l.records.insert(job.to_string(), (record, revision));
            }
            _ => {
                l.todo.insert(job.to_string());
                l.retry = self.context.now + Micros::millis(150);
                return;
            }
        }
        self.continue_recovery(s);
    }

    /// Something stored cannot be read, which is told once: it stays as it is.
    pub(crate) fn note_unreadable(&mut self, name: &str, what: &str) {
        if self.jobs.unreadable.insert(name.to_string()) {
            warn!("{name}: {what}");
        }
    }

    /// A job cannot be read, and its batch, if it is in one, is kept for it.
    fn leave_unreadable(&mut self, id: &str, what: &str) {
        self.note_unreadable(id, what);
        if let Some(batch) = self.api.admission.batched.get(id).cloned() {
            self.jobs.unreadable.insert(batch);
        }
        self.api.admission.unbatch(id);
    }

    fn finish_recovery(&mut self, s: usize) {
        let Some(mut l) = self.leadership.recoveries.remove(&s) else {
            return;
        };
        // A job's own part 0 is newer than what it was accepted with.
        let mut batches: BTreeMap<(String, u64), BTreeSet<String>> = BTreeMap::new();
        for (id, (key, version, value)) in l.batched {
            let jobs = batches.entry((key, version)).or_default();
            let chunks = l.chunks.entry(id.clone()).or_default();
            if let Entry::Vacant(first) = chunks.entry(0) {
                first.insert((value, 0));
                jobs.insert(id);
            }
        }
        for ((key, version), jobs) in batches {
            self.api.admission.add_batch(&key, s, version, jobs);
        }
        let mut count = 0;
        for (id, chunks) in l.chunks {
            if self.jobs.by_id.contains_key(&id) {
                continue;
            }
            let Some((Some(record), revision)) = l.records.remove(&id) else {
                self.leave_unreadable(&id, "no record that can be read");
                continue;
            };
            self.jobs.dependency_graph.note(&id, &record);
            self.cache_stage(
                &id,
                CachedStage {
                    stage: record.stage,
                    shard: record.shard,
                    tasks: record.tasks,
                    revision,
                },
            );
            let Some(mut job) = Job::restore(s, revision, self.jobs.chunk_layout, &chunks) else {
                self.leave_unreadable(&id, "stored tasks cannot be read");
                continue;
            };
            job.set_layout(self.jobs.chunk_layout, self.jobs.previous_chunk_layout);
            // What was said since its record was read came by the watch.
            let stage = self.jobs.cached_stages.get(&id).map_or(record.stage, |k| k.stage);
            job.cancelled = stage == StoredStage::Cancelled;
            job.over = stage == StoredStage::Done;
            job.dependencies = record.dependencies.as_slice().into();
            job.waiting = !job.dependencies.is_empty() && stage == StoredStage::Accepted;
            if job.waiting {
                self.jobs.dependency_graph.wait(&id);
            }
            if job.over {
                // What its parts still name has completed; it must not be
                // wanted, and so started, again.
                job.chunks.iter_mut().for_each(|p| p.placed.clear());
            }
            count += 1;
            for chunk in &job.chunks {
                for (index, p) in &chunk.placed {
                    self.jobs
                        .tasks_by_machine
                        .entry((s, p.machine.clone()))
                        .or_default()
                        .insert((id.clone(), *index));
                }
            }
            self.changes.jobs.insert(id.clone());
            self.changes.progress.insert(id.clone());
            self.jobs.by_id.insert(id, job);
        }
        let first = match &mut self.leadership.shards[s].leadership {
            Some(m) if m.term == l.term => !std::mem::replace(&mut m.recovered, true),
            _ => return,
        };
        info!("shard {s} term {}: {count} unfinished jobs read", l.term);
        // The whole of the shard's desired state: whatever it does not name is not wanted.
        self.changes.complete_desired.insert(s);
        let machines: Vec<String> = self
            .jobs
            .tasks_by_machine
            .keys()
            .filter(|(shard, _)| *shard == s)
            .map(|(_, m)| m.to_string())
            .collect();
        let cancelled: Vec<String> = self
            .jobs
            .by_id
            .iter()
            .filter(|(_, j)| j.shard == s && j.cancelled)
            .map(|(id, _)| id.clone())
            .collect();
        for id in cancelled {
            self.stop_job(&id);
        }
        for m in machines {
            self.scheduler.mark_stale(&m);
            self.evaluate_machine(s, &m);
        }
        if first {
            self.scheduler.request_pass();
        }
    }
}
