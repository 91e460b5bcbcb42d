//! Replies of the key-value store about jobs, handed to what awaits them.

use crate::controller::Controller;
use crate::controller::calls::JobsCall;
use crate::kv_store::KvResponse;

impl Controller {
    /// Takes in a reply to a call about jobs.
    pub(crate) fn jobs_reply(&mut self, call: JobsCall, reply: KvResponse) {
        match call {
            JobsCall::Store { .. }
            | JobsCall::ReadBack { .. }
            | JobsCall::ReadBackChunks { .. } => {
                self.store_reply(call, reply);
            }
            JobsCall::ReadRecordPage { first } => self.record_page_reply(&first, reply),
            JobsCall::ReadDependencies { job, number } => {
                self.dependencies_read(&job, number, &reply);
            }
            JobsCall::CancelDependent { job, shard, tasks } => {
                self.dependent_cancelled(&job, shard, tasks, &reply);
            }
            JobsCall::StoreBatch { key, term, jobs } => self.batch_stored(&key, term, jobs, reply),
            JobsCall::ReadBatch { key, term } => self.batch_read(&key, term, reply),
            JobsCall::DropBatch { key, term } => self.batch_reply(&key, term, reply),
        }
    }
}
