//! Routes the key-value store's replies to calls about jobs.

use crate::controller::Controller;
use crate::controller::calls::JobsCall;
use crate::kv_store::KvResponse;

impl Controller {
    /// Passes the reply to a call about jobs to the method that handles that call.
    pub(crate) fn jobs_reply(&mut self, call: JobsCall, reply: KvResponse) {
        match call {
            JobsCall::Store { job, term, write } => self.store_reply(&job, term, write, reply),
            JobsCall::ReadBack { job, term, origin } => {
                self.record_read_back_reply(&job, term, origin, reply);
            }
            JobsCall::ReadBackChunks { job, term, read } => {
                self.chunks_read_back_reply(&job, term, read, reply);
            }
            JobsCall::ReadRecordPage { first, origin } => {
                self.record_page_reply(&first, origin, reply);
            }
            JobsCall::ReadDependencies(further) => {
                self.further_dependencies_reply(&further, &reply);
            }
            JobsCall::CancelDependent { job, shard, tasks } => {
                self.cancel_dependent_reply(&job, shard, tasks, &reply);
            }
            JobsCall::StoreBatch { key, term, changes } => {
                self.batch_write_reply(&key, term, changes, reply);
            }
            JobsCall::ReadBatch { key, term } => self.batch_read_back_reply(&key, term, reply),
            JobsCall::DeleteBatch { key, term } => self.batch_delete_reply(&key, term, reply),
        }
    }
}
