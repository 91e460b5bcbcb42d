//! Submissions of jobs: what is checked before one waits for admission.

use crate::controller::api::admission::ADMISSION_WRITES;
use crate::controller::api::pending::PreparedAnswer;
use crate::controller::jobs::job::{self, StoredStage};
use crate::controller::{CachedStage, Controller, Ticket};
use crate::wire::{self, InvalidJob, JobSpec, Refusal};
use std::rc::Rc;
use thiserror::Error;

/// Seconds within which a submission should be written: its user waits a little longer,
/// and the answer needs its time.
const WRITTEN_WITHIN_S: f64 = 3.0;
/// Submissions that may always wait, however small this node's share of changes is.
const MIN_WAITING_SUBMISSIONS: usize = 2;

/// Why a job can never run. The texts go to its user, with status 422.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum InfeasibleJob {
    #[error("unknown team")]
    UnknownTeam,
    #[error("a task needs more than the team's limit")]
    BeyondTeamLimit,
    #[error("a task fits no allowed machine type")]
    NoMachineTypeFits,
}

/// Why a submission is not taken now. The texts go to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum NotAdmittedNow {
    /// No shard is served here that could accept the job.
    #[error("no seat is held")]
    NoShardServed,
    /// An earlier submission of the same job is on its way to the store.
    #[error("undecided")]
    AlreadyWaiting,
    #[error("too many submissions wait")]
    TooManySubmissions,
    #[error("too many tasks wait")]
    TooManyTasks,
}

impl NotAdmittedNow {
    /// HTTP status of its answer.
    fn status(self) -> u16 {
        match self {
            NotAdmittedNow::NoShardServed | NotAdmittedNow::AlreadyWaiting => 503,
            NotAdmittedNow::TooManySubmissions | NotAdmittedNow::TooManyTasks => 429,
        }
    }
}

impl Controller {
    /// The shard that accepts new jobs here: the home shard if it is served.
    pub(crate) fn admitting_shard(&self) -> Option<usize> {
        if self.serves_shard(self.context.me) {
            return Some(self.context.me);
        }
        (0..self.leadership.shard_count()).find(|s| self.serves_shard(*s))
    }

    /// A user submits a job.
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
            self.api.note_refusal(&mut self.counts, 422, &reason);
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
        self.api.note_refusal(&mut self.counts, 400, &malformed.to_string());
        let problem = malformed.problem.to_string();
        let refusal = Refusal { error: &problem, field: Some(malformed.field) };
        match malformed.id {
            None => self.context.respond(ticket, 400, None, &refusal),
            // A known job's repeat is answered 200 before any other check.
            Some(id) => {
                self.read_job_or_answer(ticket, &id, PreparedAnswer::refusal(400, &refusal));
            }
        }
    }

    /// The job is known already: an idempotent request.
    fn answer_resubmission(&mut self, ticket: Ticket, id: &str, cached: CachedStage) {
        if cached.stage != StoredStage::Accepted {
            return self.answer_with_stage(ticket, 200, id, cached);
        }
        // Another node may have cancelled it since: only the store knows.
        self.read_job_or_answer(ticket, id, PreparedAnswer::undecided());
    }

    /// A job that can run, and that may be admitted now.
    fn admit_feasible(&mut self, ticket: Ticket, mut spec: JobSpec) {
        // Types that the cloud does not offer never matter, and a long list of
        // them would not fit beside the tasks.
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

    /// Whether this node can accept a further submission now.
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

    /// Submissions that may wait for the store: no more than it can accept
    /// while their users still wait.
    fn max_undecided_submissions(&self) -> usize {
        let writes_per_s = self.context.write_budget.burst();
        let in_time = writes_per_s * WRITTEN_WITHIN_S / ADMISSION_WRITES as f64;
        let max = (in_time as usize).max(MIN_WAITING_SUBMISSIONS);
        self.context.options.waiting_submissions.min(max)
    }

    /// Whether a job can ever run.
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
