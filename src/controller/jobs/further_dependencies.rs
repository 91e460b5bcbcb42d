//! Reads the dependencies that do not fit in a job's record from the job's further keys.

use super::Jobs;
use super::dependency_graph::FurtherDependencyKey;
use super::job;
use crate::controller::Controller;
use crate::controller::calls::JobsCall;
use crate::controller::context::Context;
use crate::kv_store::{KvRequest, KvResponse};
use serde::Deserialize;

impl Jobs {
    /// Reads the next further key of the first job with unread ones.
    pub(super) fn read_further_dependencies(&mut self, context: &mut Context) {
        if let Some(further) = self.dependency_graph.begin_read(context.now) {
            let key = job::dependency_key(&further.job, further.number);
            context.call_store(JobsCall::ReadDependencies(further), KvRequest::Get(key));
        }
    }
}

impl Controller {
    /// Handles the reply to the read of a further key.
    pub(super) fn further_dependencies_reply(
        &mut self,
        further: &FurtherDependencyKey,
        reply: &KvResponse,
    ) {
        if !self.jobs.dependency_graph.end_read(self.context.now, &further.job) {
            return;
        }
        let KvResponse::Value(item) = reply else {
            return;
        };
        // If one name cannot be read, none is used: with a dependency missing the job might start
        // too early.
        let names = item.as_ref().and_then(|i| Vec::<String>::deserialize(i.value.get("u")?).ok());
        match names {
            Some(names) => self.jobs.dependency_graph.add_further(further, names),
            None => {
                let key = job::dependency_key(&further.job, further.number);
                self.jobs.mark_unreadable(&key, "the value is not a list of job ids");
            }
        }
    }
}
