//! Submissions of jobs: the checks before a submission waits for admission.

use crate::controller::api::admission::ADMISSION_WRITES;
use crate::controller::api::pending::PreparedAnswer;
use crate::controller::jobs::job::{self, StoredStage};
use crate::controller::{CachedStage, Controller, Ticket};
use crate::wire::{self, InvalidJob, JobSpec, Refusal};
use std::rc::Rc;
use thiserror::Error;

/// Seconds within which a waiting submission should be written. Its user waits a little longer,
/// which leaves time for the answer.
const ADMISSION_TARGET_S: f64 = 3.0;
/// Submissions that may wait however small this member's write budget is.
const MIN_WAITING_SUBMISSIONS: usize = 2;

/// Why a job can never run. The texts are sent to its user, with status 422.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum InfeasibleJob {
    #[error("unknown team")]
    UnknownTeam,
    #[error("a task needs more than the team's limit")]
    BeyondTeamLimit,
    #[error("a task fits no allowed machine type")]
    NoMachineTypeFits,
}

/// Why a submission cannot be accepted now. The texts are sent to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum NotAdmittedNow {
    /// This member serves no shard that could accept the job.
    #[error("no seat is held")]
    NoShardServed,
    /// An earlier submission of the same job still waits for admission.
    #[error("undecided")]
    AlreadyWaiting,
    #[error("too many submissions wait")]
    TooManySubmissions,
    #[error("too many tasks wait")]
    TooManyTasks,
}

impl NotAdmittedNow {
    /// HTTP status of the answer.
    fn status(self) -> u16 {
        match self {
            NotAdmittedNow::NoShardServed | NotAdmittedNow::AlreadyWaiting => 503,
            NotAdmittedNow::TooManySubmissions | NotAdmittedNow::TooManyTasks => 429,
        }
    }
}

impl Controller {
    /// The shard that accepts jobs submitted to this member: its home shard if served, else the
    /// first served one; `None` if this member serves no shard.
    pub(crate) fn admitting_shard(&self) -> Option<usize> {
        if self.serves_shard(self.context.local_member) {
            return Some(self.context.local_member);
        }
        (0..self.leadership.shard_count()).find(|s| self.serves_shard(*s))
    }

    /// Handles a user's submission of a job.
    pub(crate) fn submit(&mut self, ticket: Ticket, body: &[u8]) {
        let spec = match wire::parse_job(body) {
            Ok(spec) => spec,
            Err(malformed) => return self.refuse_malformed(ticket, malformed),
        };
        if let Some(cached) = self.jobs.stage_cache.get(&spec.id) {
            return self.answer_resubmission(ticket, &spec.id, cached);
        }
        if self.autoscaler.machine_types.is_empty() {
            return self.respond_retry_later(ticket, 503, "machine types are not known yet");
        }
        if let Err(infeasible) = self.check_feasible(&spec) {
            let reason = infeasible.to_string();
            self.api.record_refusal(&mut self.counts, 422, &reason);
            let answer = PreparedAnswer::refusal(422, &Refusal::new(&reason));
            return self.read_job_or_answer(ticket, &spec.id, answer);
        }
        match self.check_admissible_now(&spec) {
            Ok(()) => self.admit_feasible(ticket, spec),
            Err(refusal) => {
                self.respond_retry_later(ticket, refusal.status(), &refusal.to_string());
            }
        }
    }

    fn refuse_malformed(&mut self, ticket: Ticket, malformed: InvalidJob) {
        self.api.record_refusal(&mut self.counts, 400, &malformed.to_string());
        let problem = malformed.problem.to_string();
        let refusal = Refusal { error: &problem, field: Some(malformed.field) };
        match malformed.id {
            None => self.context.respond(ticket, 400, None, &refusal),
            // An idempotent retry for an accepted job is answered 200 before any other check.
            Some(id) => {
                self.read_job_or_answer(ticket, &id, PreparedAnswer::refusal(400, &refusal));
            }
        }
    }

    /// Answers an idempotent retry: the job has been accepted already.
    fn answer_resubmission(&mut self, ticket: Ticket, id: &str, cached: CachedStage) {
        if cached.stage != StoredStage::Accepted {
            return self.answer_with_stage(ticket, 200, id, cached);
        }
        // Another member may have cancelled it since, which only the store knows.
        self.read_job_or_answer(ticket, id, PreparedAnswer::undecided());
    }

    /// Continues the submission of a job that can run and may be accepted now: looks up its
    /// dependencies, if any, or queues it for admission.
    fn admit_feasible(&mut self, ticket: Ticket, mut spec: JobSpec) {
        // Types that the cloud does not offer have no effect, and a long list of them would
        // not fit in a value together with the tasks.
        if let Some(types) = &mut spec.types {
            types.retain(|t| self.autoscaler.machine_types.contains_key(t));
        }
        let spec_bytes = serde_json::to_vec(&spec).map_or(usize::MAX, |encoded| encoded.len());
        if spec_bytes > job::MAX_SPEC_BYTES {
            let refusal = Refusal { error: "description too long", field: Some("") };
            let answer = PreparedAnswer::refusal(400, &refusal);
            return self.read_job_or_answer(ticket, &spec.id, answer);
        }
        if !spec.dependencies.is_empty() {
            return self.look_up_dependencies(ticket, Rc::new(spec), spec_bytes);
        }
        self.queue_submission(ticket, Rc::new(spec), spec_bytes);
    }

    /// Checks whether this member can accept a further submission now.
    fn check_admissible_now(&self, spec: &JobSpec) -> Result<(), NotAdmittedNow> {
        if self.admitting_shard().is_none() {
            return Err(NotAdmittedNow::NoShardServed);
        }
        if self.api.admission.has_waiting(&spec.id) {
            return Err(NotAdmittedNow::AlreadyWaiting);
        }
        if self.api.admission.undecided() >= self.max_undecided_submissions() {
            return Err(NotAdmittedNow::TooManySubmissions);
        }
        let queued: usize = self.jobs.by_id.values().map(|j| j.spec.tasks as usize).sum();
        if queued + spec.tasks as usize > self.context.options.queued_tasks && queued > 0 {
            return Err(NotAdmittedNow::TooManyTasks);
        }
        Ok(())
    }

    /// Maximum number of undecided submissions: no more than the write budget allows to be
    /// written while their users still wait.
    fn max_undecided_submissions(&self) -> usize {
        let writes_per_s = self.context.write_budget.burst();
        let in_time = writes_per_s * ADMISSION_TARGET_S / ADMISSION_WRITES as f64;
        let max = (in_time as usize).max(MIN_WAITING_SUBMISSIONS);
        self.context.options.waiting_submissions.min(max)
    }

    /// Checks whether a job can ever run.
    fn check_feasible(&self, spec: &JobSpec) -> Result<(), InfeasibleJob> {
        let team = self.quota.team(&spec.team).ok_or(InfeasibleJob::UnknownTeam)?;
        if spec.cpus > team.limit().cpus || spec.gpus > team.limit().gpus {
            return Err(InfeasibleJob::BeyondTeamLimit);
        }
        let fits = self.autoscaler.machine_types.values().any(|t| {
            spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && spec.cpus <= t.cpus
                && spec.gpus <= t.gpus
                && spec.memory_gb <= t.memory_gb
        });
        fits.then_some(()).ok_or(InfeasibleJob::NoMachineTypeFits)
    }
}
