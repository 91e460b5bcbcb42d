//! What is known of jobs' stages from the key-value store.

use crate::controller::Controller;
use crate::controller::decision_log;
use crate::controller::jobs::job::StoredStage;
use crate::wire::JobStage;

/// Jobs whose terminal state is remembered in memory; older ones are read again.
const CACHED_JOBS: usize = 40_000;

/// What is known of a job's stage from the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CachedStage {
    pub(crate) stage: StoredStage,
    pub(crate) shard: usize,
    pub(crate) tasks: u32,
    /// Version of its key that says so; it changes once, with the terminal state.
    pub(crate) revision: u64,
}

impl Controller {
    pub(crate) fn cache_stage(&mut self, job: &str, known: CachedStage) {
        match self.jobs.cached_stages.insert(job.to_string(), known) {
            // A stage that is final stays: an answer read earlier may come later.
            Some(old) if old.stage != StoredStage::Accepted => {
                self.jobs.cached_stages.insert(job.to_string(), old);
                self.api.terminal_states.correct(job, known.revision);
                return;
            }
            Some(_) => {}
            None => self.jobs.cached_order.push_back(job.to_string()),
        }
        if known.stage != StoredStage::Accepted {
            decision_log::job_over(job, known.stage, known.revision);
            self.api.terminal_states.add(self.context.now, job, known.revision);
            self.jobs.dependency_graph.over(job);
        }
        if known.stage == StoredStage::Cancelled {
            self.stop_on_machines(job);
        }
        while self.jobs.cached_order.len() > CACHED_JOBS {
            if let Some(old) = self.jobs.cached_order.pop_front() {
                self.jobs.cached_stages.remove(&old);
                self.jobs.progress.remove(&old);
            }
        }
    }

    pub(crate) fn stage_word(stage: StoredStage) -> JobStage {
        match stage {
            StoredStage::Accepted => JobStage::Queued,
            StoredStage::Done => JobStage::Done,
            StoredStage::Cancelled => JobStage::Cancelled,
        }
    }
}
