//! Jobs of a task or two that were accepted together stay together.
//!
//! Their batch is rewritten whole when something of them is placed or ends:
//! thousands of single tasks would otherwise take a change each for their keys,
//! one more for each placement and one to remove them. Larger jobs move to keys of
//! their own with their first change; those count before the batch. The batch is
//! removed once no job needs it.

use crate::controller::Controller;
use crate::controller::calls::JobsCall;
use crate::controller::jobs::job::{self, Job};
use crate::controller::leadership::shard_lease;
use crate::kv_store::{KvRequest, KvResponse};
use crate::wire::{Condition, Txn, Write};
use std::collections::BTreeMap;

impl Controller {
    /// Whether what is written of a job goes into the batch that it came in.
    pub(crate) fn stays_batched(&self, id: &str) -> bool {
        let small = |j: &Job| {
            j.spec.tasks <= job::BATCHED_TASKS && !j.cancelled && !j.over && !j.complete()
        };
        self.api.admission.batched.contains_key(id) && self.jobs.by_id.get(id).is_some_and(small)
    }

    /// Writes a job's batch with all that has changed of its jobs; false if the
    /// job is to have a key of its own after all.
    pub(crate) fn store_batch(&mut self, id: &str) -> bool {
        let Some(key) = self.api.admission.batched.get(id).cloned() else {
            return false;
        };
        let Some(batch) = self.api.admission.batches.get(&key) else {
            return false;
        };
        // Rewritten, it would lose what cannot be read of it.
        if self.jobs.unreadable.contains(&key) {
            return false;
        }
        if batch.busy {
            return true;
        }
        let s = batch.shard;
        let Some(leadership) = self.leadership.led_shard(s) else {
            return true;
        };
        let term = leadership.term;
        let mut conditions = vec![
            shard_lease::lease_condition(s, leadership.revision),
            Condition { key: key.clone(), revision: batch.revision },
        ];
        let (mut values, mut changed) = (Vec::new(), Vec::new());
        let known = batch.jobs.iter().filter_map(|id| Some((id, self.jobs.by_id.get(id)?)));
        // What is over is said by its record.
        for (id, job) in known.filter(|(_, j)| !j.over) {
            let chunk = &job.chunks[0];
            let as_stored =
                job.busy || job.cancelled || job.complete() || chunk.version <= chunk.stored;
            if as_stored {
                // Nothing of a cancelled job may be written ahead any more.
                values.push(job.encode_stored(0));
            } else {
                conditions.push(Condition { key: job::job_key(id), revision: job.revision });
                changed.push((id.clone(), chunk.version));
                values.push(job.encode_chunk(0));
            }
        }
        let value = job::encode_batch(values);
        let most = self.context.settings.state.value_kb * 1024.0;
        // It may be of a time with larger limits.
        let conditions_fit = conditions.len() <= 4 * self.context.settings.state.txn_ops;
        if changed.is_empty() || !conditions_fit || value.to_string().len() as f64 > most {
            return false;
        }
        for (id, _) in &changed {
            self.changes.jobs.remove(id);
            if let Some(job) = self.jobs.by_id.get_mut(id) {
                job.busy = true;
                job.deferred_since = None;
            }
        }
        if let Some(batch) = self.api.admission.batches.get_mut(&key) {
            batch.busy = true;
        }
        self.jobs.writes_in_flight += 1;
        let writes = vec![Write::Put { key: key.clone(), value, lease: None }];
        let op = JobsCall::StoreBatch { key, term, jobs: changed };
        self.context.call_store(op, KvRequest::Txn(Txn { conditions, writes }));
        true
    }

    pub(crate) fn batch_stored(
        &mut self,
        key: &str,
        term: u64,
        jobs: Vec<(String, u64)>,
        reply: KvResponse,
    ) {
        self.jobs.writes_in_flight = self.jobs.writes_in_flight.saturating_sub(1);
        let Some(batch) = self.api.admission.batches.get_mut(key) else {
            return;
        };
        let s = batch.shard;
        // A reply to an earlier term of the shard says nothing about this one.
        if !self.leadership.leads_under(s, term) {
            return;
        }
        batch.busy = false;
        if let KvResponse::Applied(revision) = reply {
            batch.revision = revision;
        }
        for (id, _) in &jobs {
            if let Some(job) = self.jobs.by_id.get_mut(id) {
                job.busy = false;
                self.changes.jobs.insert(id.clone());
            }
        }
        match reply {
            KvResponse::Applied(_) => {
                for (id, version) in jobs {
                    self.stored(&id, 0, &[(0, version)], false, &[]);
                }
            }
            KvResponse::NotExecuted => {}
            KvResponse::Conflict(failed) if failed.contains(&shard_lease::lease_key(s)) => {
                self.lease_revision_changed(s, term);
            }
            KvResponse::Conflict(failed) => {
                let other = |(id, _): &&(String, u64)| failed.contains(&job::job_key(id));
                for (id, _) in jobs.iter().filter(other) {
                    self.read_back(id);
                }
                if failed.iter().any(|k| k == key) {
                    self.read_batch(key, term);
                }
            }
            // It may have been applied, or may be later: what is stored decides,
            // and a late one fails on the batch's mark.
            _ => self.read_batch(key, term),
        }
    }

    fn read_batch(&mut self, key: &str, term: u64) {
        if let Some(batch) = self.api.admission.batches.get_mut(key) {
            batch.busy = true;
            let op = JobsCall::ReadBatch { key: key.to_string(), term };
            self.context.call_store(op, KvRequest::Get(key.to_string()));
        }
    }

    pub(crate) fn batch_read(&mut self, key: &str, term: u64, reply: KvResponse) {
        let Some(batch) = self.api.admission.batches.get_mut(key) else {
            return;
        };
        if !self.leadership.leads_under(batch.shard, term) {
            return;
        }
        batch.busy = false;
        // Unread, the next write fails on its mark and leads here again.
        let KvResponse::Value(Some(item)) = reply else {
            return;
        };
        batch.revision = item.revision;
        let version = |(id, v): (String, serde_json::Value)| Some((id, v.get("v")?.as_u64()?));
        let stored: BTreeMap<String, u64> =
            job::decode_batch(&item.value).into_iter().filter_map(version).collect();
        for (id, version) in stored {
            let applied = self.jobs.by_id.get(&id).is_some_and(|j| {
                let chunk = &j.chunks[0];
                chunk.revision == 0 && version > chunk.stored && version <= chunk.version
            });
            if applied {
                self.stored(&id, 0, &[(0, version)], false, &[]);
            }
        }
    }
}
