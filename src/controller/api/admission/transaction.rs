//! The transaction that accepts jobs.

use crate::controller::Controller;
use crate::controller::api::pending::{AdmissionGroup, Submission};
use crate::controller::calls::ApiCall;
use crate::controller::jobs::job::{self, Job};
use crate::controller::leadership::shard::ShardLeadership;
use crate::controller::leadership::shard_lease;
use crate::kv_store::KvRequest;
use crate::wire::{Condition, Txn, Write};
use serde_json::{Value, json};
use std::rc::Rc;

impl Controller {
    /// Sends submissions to the key-value store: a record for each job, and their tasks in one
    /// key. The transaction fails if a job already has a record, or if the shard lease has
    /// changed.
    pub(crate) fn admit(
        &mut self,
        shard: usize,
        leadership: &ShardLeadership,
        submissions: Vec<Submission>,
    ) {
        let lease = shard_lease::lease_condition(shard, leadership.revision);
        let mut txn = Txn { conditions: vec![lease], writes: Vec::new() };
        let mut values: Vec<Value> = Vec::with_capacity(submissions.len());
        for submission in &submissions {
            let record = self.accepted_record(shard, &submission.spec);
            let key = job::job_key(&submission.spec.id);
            txn.conditions.push(Condition { key: key.clone(), revision: 0 });
            txn.writes.push(Write::Put { key, value: json!(record), lease: None });
            values.push(self.first_chunk(shard, submission));
        }
        let batch_key = (submissions.len() > 1)
            .then(|| self.api.admission.next_batch_key(shard, leadership.term));
        let (key, value) = match (&batch_key, values.pop()) {
            (None, Some(only)) => (job::chunk_key(shard, &submissions[0].spec.id, 0), only),
            (Some(key), Some(last)) => {
                values.push(last);
                (key.clone(), job::encode_batch(values))
            }
            (_, None) => return,
        };
        txn.conditions.push(Condition { key: key.clone(), revision: 0 });
        txn.writes.push(Write::Put { key, value, lease: None });
        let (term, origin) = (leadership.term, self.call_origin());
        let group = AdmissionGroup { submissions, shard, term, batch_key, origin };
        self.context.call_store(ApiCall::Admit(group), KvRequest::Txn(txn));
    }

    /// The stored value of a new job's first chunk.
    fn first_chunk(&self, shard: usize, submission: &Submission) -> Value {
        let spec = Rc::clone(&submission.spec);
        let layout = self.jobs.chunk_layout;
        Job::new(spec, shard, 0, submission.submitted_at, layout).encode_accepted()
    }
}
