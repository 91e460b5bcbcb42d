//! Answers to users about a job's stage.

use crate::controller::decision_log;
use crate::controller::jobs::dependency_graph::DependencyOutcome;
use crate::controller::jobs::job::{Progress, StoredStage};
use crate::controller::{CachedStage, Controller, Ticket};
use crate::wire::{JobResponse, JobStage};

impl Controller {
    /// A job's stage and the numbers of its done and running tasks.
    pub(crate) fn job_answer<'a>(&self, id: &'a str, cached: CachedStage) -> JobResponse<'a> {
        let cached_progress = || self.jobs.progress.get(id).copied().unwrap_or_default();
        let Progress { done, running } = match cached.stage {
            StoredStage::Done => Progress { done: cached.tasks, running: 0 },
            StoredStage::Cancelled => Progress { running: 0, ..cached_progress() },
            StoredStage::Accepted => {
                self.jobs.by_id.get(id).map_or_else(cached_progress, |job| job.progress())
            }
        };
        let stage = match JobStage::from(cached.stage) {
            JobStage::Queued if running > 0 => JobStage::Running,
            stage => stage,
        };
        JobResponse { id, stage, done, running }
    }

    /// Answers with a job's stage. The answer waits while a peer might still answer with a stage
    /// older than a terminal one, and while pending dependencies are compared with the store.
    pub(crate) fn answer_with_stage(
        &mut self,
        ticket: Ticket,
        status: u16,
        id: &str,
        cached: CachedStage,
    ) {
        if cached.stage != StoredStage::Accepted {
            if !self.api.terminal_states.acknowledged(id) {
                return self.api.terminal_states.await_acknowledgement(ticket, id);
            }
            return self.answer_now(ticket, status, id, cached);
        }
        match self.dependency_outcome_of(id) {
            DependencyOutcome::Satisfied => self.answer_now(ticket, status, id, cached),
            DependencyOutcome::Pending => self.answer_blocked_job(ticket, status, id, cached),
            DependencyOutcome::Unknown(list) => {
                self.read_records(list);
                self.respond_retry_later(ticket, 503, "the jobs that it needs are being read");
            }
            DependencyOutcome::Cancelled { acknowledged: false } => {
                self.api.terminal_states.await_acknowledgement(ticket, id);
            }
            DependencyOutcome::Cancelled { acknowledged: true } => {
                let cancelled = CachedStage { stage: StoredStage::Cancelled, ..cached };
                self.answer_now(ticket, status, id, cancelled);
            }
        }
    }

    fn answer_now(&mut self, ticket: Ticket, status: u16, id: &str, cached: CachedStage) {
        self.log_final_answer(id, cached);
        let answer = self.job_answer(id, cached);
        self.context.respond(ticket, status, None, &answer);
    }

    /// Counts and logs an answer, if it reports a terminal state.
    fn log_final_answer(&mut self, job: &str, cached: CachedStage) {
        if cached.stage == StoredStage::Accepted {
            return;
        }
        self.counts.decisions.final_answers += 1;
        let followed = self.leadership.followed_jobs_revision();
        decision_log::final_answer(job, cached.stage, cached.revision, followed);
    }

    /// Gives the answers whose terminal states every peer has acknowledged by now.
    pub(crate) fn answer_acknowledged(&mut self) {
        let followed_by_peers = self.peers.followed_revision();
        let ready = self.api.terminal_states.take_answerable(self.context.now, followed_by_peers);
        for answer in ready {
            match self.jobs.stage_cache.get(&answer.job) {
                Some(cached) => self.answer_with_stage(answer.ticket, 200, &answer.job, cached),
                None => self.respond_retry_later(answer.ticket, 503, "undecided"),
            }
        }
    }
}
