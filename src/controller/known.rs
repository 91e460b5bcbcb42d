//! What is known of jobs' stages from the state service.

use super::Controller;
use super::job::StoredStage;
use crate::wire::JobStage;

/// Jobs whose terminal state is remembered in memory; older ones are read again.
const KNOWN_JOBS: usize = 40_000;

/// What is known of a job's stage from the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Known {
    pub(super) stage: StoredStage,
    pub(super) shard: usize,
    pub(super) tasks: u32,
    /// Version of its key that says so; it changes once, with the terminal state.
    pub(super) mark: u64,
}

impl Controller {
    pub(super) fn note_known(&mut self, job: &str, known: Known) {
        match self.known.insert(job.to_string(), known) {
            // A stage that is final stays: an answer read earlier may come later.
            Some(old) if old.stage != StoredStage::Accepted => {
                self.known.insert(job.to_string(), old);
                self.terminal_states.correct(job, known.mark);
                return;
            }
            Some(_) => {}
            None => self.known_order.push_back(job.to_string()),
        }
        if known.stage != StoredStage::Accepted {
            self.terminal_states.add(self.now, job, known.mark);
            self.pipelines.over(job);
        }
        if known.stage == StoredStage::Cancelled {
            self.stop_on_machines(job);
        }
        while self.known_order.len() > KNOWN_JOBS {
            if let Some(old) = self.known_order.pop_front() {
                self.known.remove(&old);
                self.progress.remove(&old);
            }
        }
    }

    pub(super) fn stage_word(stage: StoredStage) -> JobStage {
        match stage {
            StoredStage::Accepted => JobStage::Queued,
            StoredStage::Done => JobStage::Done,
            StoredStage::Cancelled => JobStage::Cancelled,
        }
    }
}
