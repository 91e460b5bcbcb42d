//! Storage of an accepted job's dependencies: in its record, and in further keys, written
//! before the record, if they do not fit.

use crate::controller::api::pending::PreparedAnswer;
use crate::controller::calls::ApiCall;
use crate::controller::jobs::job::{self, JobRecord, StoredStage};
use crate::controller::leadership::shard_lease;
use crate::controller::{Controller, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::wire::{Condition, JobSpec, Txn, Write};
use serde_json::json;
use std::rc::Rc;

/// Bytes that the values of one transaction may take.
const MAX_TXN_BYTES: usize = 48 * 1024;
/// Share of the maximum value size that is used; the rest is for JSON syntax.
const VALUE_FILL_RATIO: f64 = 0.9;
/// Bytes of a record without its list of dependencies.
const RECORD_BYTES: usize = 64;
/// Bytes of a job id in a list besides its characters.
const ID_OVERHEAD_BYTES: usize = 3;

/// Splits job ids into lists of at most `list_bytes` bytes each; a longer id has a list of its
/// own. Returns at least one list.
fn split_into_lists(ids: &[String], list_bytes: usize) -> Vec<Vec<String>> {
    let mut lists: Vec<Vec<String>> = vec![Vec::new()];
    let mut left = list_bytes;
    for id in ids {
        let size = id.len() + ID_OVERHEAD_BYTES;
        if size > left && lists.last().is_some_and(|list| !list.is_empty()) {
            lists.push(Vec::new());
            left = list_bytes;
        }
        left = left.saturating_sub(size);
        if let Some(list) = lists.last_mut() {
            list.push(id.clone());
        }
    }
    lists
}

impl Controller {
    /// Splits dependencies into lists that each fit in a value. The first one belongs in the
    /// job's record, the others in further keys, numbered from 1.
    fn dependency_lists(&self, dependencies: &[String]) -> Vec<Vec<String>> {
        let bytes = (self.context.settings.kv_store.value_kb * 1024.0 * VALUE_FILL_RATIO) as usize;
        split_into_lists(dependencies, bytes.saturating_sub(RECORD_BYTES))
    }

    /// The record with which a job is accepted.
    pub(crate) fn accepted_record(&self, shard: usize, spec: &JobSpec) -> JobRecord {
        let mut lists = self.dependency_lists(&spec.dependencies);
        let further_keys = lists.len() as u32 - 1;
        let dependencies = lists.swap_remove(0);
        let stage = StoredStage::Accepted;
        JobRecord { shard, stage, tasks: spec.tasks, dependencies, further_keys }
    }

    /// Writes the lists of dependencies after number `last_list`, which do not fit in the job's
    /// record, one transaction at a time, and then queues the job for admission. A record that
    /// names further keys must never be readable before they exist. A write that arrives after
    /// the job was accepted, or that belongs to an earlier submission, fails because it
    /// requires that the record does not exist.
    pub(crate) fn store_dependencies(
        &mut self,
        ticket: Ticket,
        spec: Rc<JobSpec>,
        spec_bytes: usize,
        last_list: usize,
    ) {
        let lists = self.dependency_lists(&spec.dependencies);
        if last_list + 1 >= lists.len() {
            return self.queue_submission(ticket, spec, spec_bytes);
        }
        let leadership = self
            .admitting_shard()
            .and_then(|shard| Some((shard, self.leadership.led_shard(shard)?.revision)));
        let Some((shard, revision)) = leadership else {
            return self.respond_retry_later(ticket, 503, "no seat is held");
        };
        let limits = &self.context.settings.kv_store;
        let lists_per_txn = MAX_TXN_BYTES / (limits.value_kb * 1024.0) as usize;
        let max_lists = limits.txn_ops.min(lists_per_txn).max(1);
        let write = |number: usize| Write::Put {
            key: job::dependency_key(&spec.id, number as u32),
            value: json!({ "u": lists[number] }),
            lease: None,
        };
        let end = (last_list + 1 + max_lists).min(lists.len());
        let conditions = vec![
            shard_lease::lease_condition(shard, revision),
            Condition { key: job::job_key(&spec.id), revision: 0 },
        ];
        let txn = Txn { conditions, writes: (last_list + 1..end).map(write).collect() };
        let call = ApiCall::StoreDependencies { ticket, spec, spec_bytes, last_list: end - 1 };
        self.context.call_store(call, KvRequest::Txn(txn));
    }

    /// Handles the reply to a write of the lists up to number `last_list`.
    pub(crate) fn store_dependencies_reply(
        &mut self,
        ticket: Ticket,
        spec: Rc<JobSpec>,
        spec_bytes: usize,
        last_list: usize,
        reply: &KvResponse,
    ) {
        match reply {
            KvResponse::Applied(_) => self.store_dependencies(ticket, spec, spec_bytes, last_list),
            KvResponse::Conflict(_) => {
                self.read_job_or_answer(ticket, &spec.id, PreparedAnswer::undecided());
            }
            _ => self.respond_retry_later(ticket, 503, "state service away"),
        }
    }
}
