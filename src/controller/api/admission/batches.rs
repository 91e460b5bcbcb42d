//! Batches: descriptions of jobs that were accepted together, in one key.

use crate::controller::Controller;
use crate::controller::api::admission::Admission;
use crate::controller::calls::JobsCall;
use crate::controller::jobs::job;
use crate::controller::leadership::shard_lease;
use crate::kv_store::{KvRequest, KvResponse};
use crate::wire::{Condition, Txn, Write};
use std::collections::BTreeSet;

/// Descriptions of jobs accepted together.
#[derive(Debug, Clone)]
pub(crate) struct Batch {
    pub(crate) shard: usize,
    /// Revision of its key.
    pub(crate) revision: u64,
    /// Jobs whose description is nowhere else.
    pub(crate) jobs: BTreeSet<String>,
    /// A write, read or removal of its key is in flight.
    pub(crate) busy: bool,
}

impl Admission {
    /// Key of a further batch of a shard, led under a term.
    pub(crate) fn next_batch_key(&mut self, shard: usize, term: u64) -> String {
        self.batch_count += 1;
        job::batch_key(shard, term, self.batch_count)
    }

    /// Takes in a batch that was read or written.
    pub(crate) fn add_batch(
        &mut self,
        key: &str,
        shard: usize,
        revision: u64,
        jobs: BTreeSet<String>,
    ) {
        for id in &jobs {
            self.batched.insert(id.clone(), key.to_string());
        }
        self.batches.entry(key.to_string()).or_insert(Batch { shard, revision, jobs, busy: false });
    }

    /// A job's description has a key of its own, or the job is over.
    pub(crate) fn unbatch(&mut self, id: &str) {
        if let Some(key) = self.batched.remove(id)
            && let Some(batch) = self.batches.get_mut(&key)
        {
            batch.jobs.remove(id);
        }
    }

    /// Forgets the batches of a shard that this process does not lead any more: they are
    /// its new leader's.
    pub(crate) fn forget_shard(&mut self, shard: usize) {
        self.batches.retain(|_, batch| batch.shard != shard);
        let batches = &self.batches;
        self.batched.retain(|_, key| batches.contains_key(key));
    }
}

impl Controller {
    /// Removes a batch that no job needs any more, when nothing urgent waits.
    pub(crate) fn drop_batch(&mut self) {
        let unreadable = &self.jobs.unreadable;
        let unused = |key: &str, batch: &Batch| {
            batch.jobs.is_empty() && !batch.busy && !unreadable.contains(key)
        };
        let batches = &mut self.api.admission.batches;
        let Some((key, batch)) = batches.iter_mut().find(|(key, batch)| unused(key, batch)) else {
            return;
        };
        let leadership = self.leadership.led_shard(batch.shard);
        let Some(leadership) = leadership.filter(|leadership| leadership.recovered) else {
            return;
        };
        batch.busy = true;
        let txn = Txn {
            conditions: vec![
                shard_lease::lease_condition(batch.shard, leadership.revision),
                Condition { key: key.clone(), revision: batch.revision },
            ],
            writes: vec![Write::Delete { key: key.clone() }],
        };
        let call = JobsCall::DropBatch { key: key.clone(), term: leadership.term };
        self.context.call_store(call, KvRequest::Txn(txn));
    }

    /// Takes in the outcome of a batch's removal.
    pub(crate) fn batch_reply(&mut self, key: &str, term: u64, reply: KvResponse) {
        let Some(batch) = self.api.admission.batches.get_mut(key) else {
            return;
        };
        batch.busy = false;
        let shard = batch.shard;
        match reply {
            KvResponse::Applied(_) => {
                self.api.admission.batches.remove(key);
            }
            KvResponse::Conflict(failed) if failed.contains(&shard_lease::lease_key(shard)) => {
                self.lease_revision_changed(shard, term);
            }
            // An earlier try was applied after all.
            KvResponse::Conflict(_) => {
                self.api.admission.batches.remove(key);
            }
            _ => {}
        }
    }
}
