//! Replies of the key-value store about jobs, routed to the method that awaits each.

use crate::controller::Controller;
use crate::controller::calls::JobsCall;
use crate::kv_store::KvResponse;

impl Controller {
    /// Takes in a reply to a call about jobs.
    pub(crate) fn jobs_reply(&mut self, call: JobsCall, reply: KvResponse) {
        match call {
            JobsCall::Store { job, term, write } => self.store_reply(&job, term, write, reply),
            JobsCall::ReadBack { job, term } => self.record_read_back(&job, term, reply),
            JobsCall::ReadBackChunks { job, term, read } => {
                self.chunks_read_back(&job, term, read, reply);
            }
            JobsCall::ReadRecordPage { first } => self.record_page_reply(&first, reply),
            JobsCall::ReadDependencies(further) => {
                self.further_dependencies_read(&further, &reply);
            }
            JobsCall::CancelDependent { job, shard, tasks } => {
                self.dependent_cancelled(&job, shard, tasks, &reply);
            }
            JobsCall::StoreBatch { key, term, changes } => {
                self.batch_stored(&key, term, changes, reply);
            }
            JobsCall::ReadBatch { key, term } => self.batch_read_back(&key, term, reply),
            JobsCall::DropBatch { key, term } => self.batch_dropped(&key, term, reply),
        }
    }
}
