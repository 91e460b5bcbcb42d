//! What users and workers ask: routing, submissions, polls, cancellations.

use crate::controller::api::admission::ADMISSION_PUTS;
use crate::controller::calls::ApiCall;
use crate::controller::jobs::dependencies::DependencyOutcome;
use crate::controller::jobs::job::{self, JobRecord, StoredStage};
use crate::controller::leadership::shard;
use crate::controller::{CachedStage, Controller, Effect, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::wire::{self, Condition, JobAnswer, JobSpec, JobStage, Refusal, Txn, Write, path};
use log::info;
use serde_json::json;
use std::rc::Rc;

/// Seconds for which users wait, with some left for the way.
const LISTENS_S: f64 = 3.0;
/// Times that a cancellation is tried anew when something came in between.
const CANCEL_TRIES: u32 = 4;

impl Controller {
    pub(crate) fn respond_retry_later(&mut self, ticket: Ticket, status: u16, reason: &str) {
        self.note_refusal(status, reason);
        let s = if status == 429 { self.context.options.retry_after_s } else { 1 };
        self.context.respond(ticket, status, Some(s), &Refusal::new(reason));
    }

    /// Counts a refusal; the log tells of each cause once in a while, with
    /// its number, since an outage refuses every request for the same reason.
    fn note_refusal(&mut self, status: u16, reason: &str) {
        self.counts.refused += 1;
        *self.api.refusals.entry((status, reason.to_string())).or_insert(0) += 1;
    }

    pub(crate) fn log_refusals(&mut self) {
        for ((status, reason), count) in std::mem::take(&mut self.api.refusals) {
            info!("{count} requests answered {status}: {reason}");
        }
    }

    pub(crate) fn http(&mut self, ticket: Ticket, method: &str, target: &str, body: &[u8]) {
        let target = target.split('?').next().unwrap_or("");
        let allowed = if target == path::HEARTBEAT || target == path::JOBS {
            "POST"
        } else if target == path::HEALTH {
            "GET"
        } else if let Some(rest) = target.strip_prefix(path::JOBS).and_then(|r| r.strip_prefix('/'))
        {
            match rest.split_once('/') {
                None => "GET",
                Some((_, end)) if end == path::CANCEL => "POST",
                Some(_) => {
                    return self.context.respond(ticket, 404, None, &Refusal::new("no such path"));
                }
            }
        } else {
            return self.context.respond(ticket, 404, None, &Refusal::new("no such path"));
        };
        if method != allowed {
            return self.context.respond(ticket, 405, None, &Refusal::new("method not allowed"));
        }
        match target {
            path::HEARTBEAT => self.heartbeat(ticket, body),
            path::JOBS => self.submit(ticket, body),
            path::HEALTH => self.health(ticket),
            _ => {
                let rest = target.get(path::JOBS.len() + 1..).unwrap_or("");
                let (id, cancel) = match rest.split_once('/') {
                    None => (rest, false),
                    Some((id, _)) => (id, true),
                };
                if !wire::valid_job_id(id) {
                    return self.context.respond(ticket, 404, None, &Refusal::new("no such job"));
                }
                if cancel { self.cancel(ticket, id) } else { self.poll(ticket, id) }
            }
        }
    }

    /// Why users should not be sent here, if so. In an outage of the key-value store
    /// all nodes stay in, so that service resumes the moment that it returns;
    /// a node that alone lost it steps back, which its peers' frames tell.
    fn unhealthy(&self) -> Option<&'static str> {
        if self.autoscaler.machine_types.is_empty() {
            return Some("machine types are not known yet");
        }
        if self.holds_lease() {
            let runs = (0..self.leadership.shards.len()).any(|s| self.serves_shard(s));
            return (!runs).then_some("no seat is held");
        }
        // In an outage the nodes' leases end one after the other, by as much as
        // they renew apart: for so long another's being well proves nothing.
        let others_well =
            self.peers.by_member.iter().any(|(n, p)| self.peer_alive(*n) && p.state_ok);
        if others_well
            && self.context.now.since(self.leadership.lease_held_at)
                > shard::renew_every(self.context.options.controller_lease)
        {
            return Some("the state service is away from here alone");
        }
        let held = self.leadership.controller_lease.epoch > 0
            && self.leadership.shards_read
            && self.leadership.controller_lease.id.is_some();
        (!held).then_some("no state lease was held")
    }

    fn health(&mut self, ticket: Ticket) {
        let why = self.unhealthy();
        if self.api.reported_health != Some(why) {
            self.api.reported_health = Some(why);
            info!("health: {}", why.unwrap_or("takes requests"));
        }
        match why {
            None => self.context.respond(ticket, 200, None, &json!({"healthy": true})),
            Some(why) => self.context.respond(ticket, 503, Some(1), &Refusal::new(why)),
        }
    }

    /// The shard that accepts new jobs here: the home shard if it is owned.
    pub(crate) fn admitting_shard(&self) -> Option<usize> {
        if self.serves_shard(self.context.me) {
            return Some(self.context.me);
        }
        (0..self.leadership.shards.len()).find(|s| self.serves_shard(*s))
    }

    fn submit(&mut self, ticket: Ticket, body: &[u8]) {
        let mut spec = match wire::parse_job(body) {
            Ok(spec) => spec,
            Err(bad) => {
                self.note_refusal(400, &format!("{} {}", bad.field, bad.reason));
                let answer = Refusal { error: bad.reason, field: Some(bad.field) };
                return match bad.id {
                    None => self.context.respond(ticket, 400, None, &answer),
                    // A known job's repeat is answered 200 before any other check.
                    Some(id) => self.read_or(ticket, &id, 400, None, &answer),
                };
            }
        };
        if let Some(known) = self.jobs.cached_stages.get(&spec.id).copied() {
            if known.stage != StoredStage::Accepted {
                return self.answer_with_stage(ticket, 200, &spec.id, known);
            }
            // Another node may have cancelled it since: only the store knows.
            let otherwise = Refusal::new("undecided");
            return self.read_or(ticket, &spec.id, 503, Some(1), &otherwise);
        }
        if self.autoscaler.machine_types.is_empty() {
            return self.respond_retry_later(ticket, 503, "machine types are not known yet");
        }
        if let Some(reason) = self.never_fits(&spec) {
            self.note_refusal(422, reason);
            return self.read_or(ticket, &spec.id, 422, None, &Refusal::new(reason));
        }
        if self.admitting_shard().is_none() {
            return self.respond_retry_later(ticket, 503, "no seat is held");
        }
        if self.api.admission.holds(&spec.id) {
            return self.respond_retry_later(ticket, 503, "undecided");
        }
        let queued: usize = self.jobs.by_id.values().map(|j| j.spec.tasks as usize).sum();
        if self.api.undecided_submissions >= self.most_submissions() {
            return self.respond_retry_later(ticket, 429, "too many submissions wait");
        }
        if queued + spec.tasks as usize > self.context.options.queued_tasks && queued > 0 {
            return self.respond_retry_later(ticket, 429, "too many tasks wait");
        }
        // Types that the cloud does not offer never matter, and a long list of
        // them would not fit beside the tasks.
        if let Some(types) = &mut spec.types {
            types.retain(|t| self.autoscaler.machine_types.contains_key(t));
        }
        let size = serde_json::to_vec(&spec).map_or(usize::MAX, |v| v.len());
        if size > job::MAX_SPEC_BYTES {
            let answer = Refusal { error: "description too long", field: Some("") };
            return self.read_or(ticket, &spec.id, 400, None, &answer);
        }
        if !spec.dependencies.is_empty() {
            return self.look_up_dependencies(ticket, Rc::new(spec), size);
        }
        self.api.undecided_submissions += 1;
        self.queue_submission(ticket, Rc::new(spec), size);
    }

    /// Submissions that may wait for the store: no more than it can take while
    /// their users still listen.
    fn most_submissions(&self) -> usize {
        let share = self.context.write_budget.burst();
        let in_time = share * LISTENS_S / ADMISSION_PUTS as f64;
        self.context.options.waiting_submissions.min((in_time as usize).max(2))
    }

    /// Why a job can never run, if so.
    fn never_fits(&self, spec: &JobSpec) -> Option<&'static str> {
        let Some(team) = self.quota.teams.get(&spec.team) else {
            return Some("unknown team");
        };
        if spec.cpus > team.limit[0] || spec.gpus > team.limit[1] {
            return Some("a task needs more than the team's limit");
        }
        let fits = self.autoscaler.machine_types.values().any(|t| {
            spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && spec.cpus <= t.cpus
                && spec.gpus <= t.gpus
                && spec.memory_gb <= t.memory_gb
        });
        (!fits).then_some("a task fits no allowed machine type")
    }

    /// Answers with the job's state if it is known to the store, and with the
    /// given answer if not.
    pub(crate) fn read_or(
        &mut self,
        ticket: Ticket,
        id: &str,
        status: u16,
        retry_after: Option<u64>,
        answer: &Refusal<'_>,
    ) {
        let body = serde_json::to_vec(answer).unwrap_or_default();
        let otherwise = (status, retry_after, body);
        let op =
            ApiCall::SubmitRead { ticket, job: id.to_string(), sent: self.context.now, otherwise };
        self.context.call_store(op, KvRequest::Get(job::job_key(id)));
    }

    fn cancel(&mut self, ticket: Ticket, id: &str) {
        if let Some(known) = self.jobs.cached_stages.get(id).copied()
            && known.stage != StoredStage::Accepted
        {
            return self.answer_with_stage(ticket, 200, id, known);
        }
        self.cancel_read(ticket, id, CANCEL_TRIES);
    }

    fn cancel_read(&mut self, ticket: Ticket, id: &str, tries: u32) {
        if tries == 0 {
            return self.respond_retry_later(ticket, 503, "undecided");
        }
        let op = ApiCall::CancelRead { ticket, job: id.to_string(), tries: tries - 1 };
        self.context.call_store(op, KvRequest::Get(job::job_key(id)));
    }

    /// What a user is told of a job.
    pub(crate) fn job_answer<'a>(&self, id: &'a str, known: CachedStage) -> JobAnswer<'a> {
        let (done, running) = match known.stage {
            StoredStage::Done => (known.tasks, 0),
            StoredStage::Cancelled => (self.jobs.progress.get(id).map_or(0, |p| p.0), 0),
            StoredStage::Accepted => match self.jobs.by_id.get(id) {
                Some(j) => (j.done(), j.running()),
                None => self.jobs.progress.get(id).copied().unwrap_or((0, 0)),
            },
        };
        let stage = match Controller::stage_word(known.stage) {
            JobStage::Queued if running > 0 => JobStage::Running,
            stage => stage,
        };
        JobAnswer { id, stage, done, running }
    }

    /// Reads `j/REF`; what cannot be read counts as not answered.
    pub(crate) fn read_record(
        &mut self,
        job: &str,
        reply: &KvResponse,
    ) -> Option<Option<(CachedStage, u64)>> {
        match reply {
            KvResponse::Value(None) => Some(None),
            KvResponse::Value(Some(item)) => {
                let r: JobRecord = serde_json::from_value(item.value.clone()).ok()?;
                let revision = item.revision;
                let known =
                    CachedStage { stage: r.stage, shard: r.shard, tasks: r.tasks, revision };
                self.jobs.dependency_graph.note(job, &r);
                self.cache_stage(job, known);
                // This answer may have been overtaken by a later one.
                let known = self.jobs.cached_stages.get(job).copied().unwrap_or(known);
                match known.stage {
                    StoredStage::Cancelled => self.job_cancelled(job),
                    // Its acceptance may have been applied after it was given
                    // up, while a repeat of the submission was under way or
                    // the shard was being loaded: nobody would run it.
                    StoredStage::Accepted => self.adopt(job, known.shard),
                    StoredStage::Done => {}
                }
                Some(Some((known, item.revision)))
            }
            _ => None,
        }
    }

    pub(crate) fn api_reply(&mut self, op: ApiCall, reply: KvResponse) {
        match op {
            ApiCall::Admit { list, shard, term, batch } => {
                self.admission_reply(list, shard, term, batch, reply);
            }
            ApiCall::SubmitRead { ticket, job, sent, otherwise } => {
                match self.read_record(&job, &reply) {
                    Some(Some((known, _)))
                        if known.stage == StoredStage::Accepted && !self.fresh(sent) =>
                    {
                        self.respond_retry_later(ticket, 503, "the state service is slow");
                    }
                    // Accepted since the read.
                    Some(None) if self.jobs.cached_stages.contains_key(&job) => {
                        self.respond_retry_later(ticket, 503, "undecided")
                    }
                    Some(Some((known, _))) => {
                        self.answer_with_stage(ticket, 200, &job, known);
                    }
                    Some(None) => {
                        let (status, retry_after, body) = otherwise;
                        self.context.effects.push(Effect::Respond {
                            ticket,
                            status,
                            retry_after,
                            body,
                        });
                    }
                    None => self.respond_retry_later(ticket, 503, "state service away"),
                }
            }
            ApiCall::Poll { tickets, job, sent } => self.poll_read(tickets, &job, sent, &reply),
            ApiCall::CompareStages { jobs, sent } => self.stages_compared(jobs, sent, reply),
            ApiCall::CancelRead { ticket, job, tries } => match self.read_record(&job, &reply) {
                // It is cancelled already with one that it needs.
                Some(Some((known, _)))
                    if matches!(
                        self.dependency_outcome_of(&job),
                        DependencyOutcome::Cancelled { .. }
                    ) =>
                {
                    self.answer_with_stage(ticket, 200, &job, known);
                }
                Some(Some((known, revision))) if known.stage == StoredStage::Accepted => {
                    let record = JobRecord {
                        shard: known.shard,
                        stage: StoredStage::Cancelled,
                        tasks: known.tasks,
                        dependencies: Vec::new(),
                        more: 0,
                    };
                    let key = job::job_key(&job);
                    let txn = Txn {
                        conditions: vec![Condition { key: key.clone(), revision }],
                        writes: vec![Write::Put { key, value: json!(record), lease: None }],
                    };
                    let op = ApiCall::CancelWrite {
                        ticket,
                        job,
                        shard: known.shard,
                        tasks: known.tasks,
                        tries,
                    };
                    self.context.call_store(op, KvRequest::Txn(txn));
                }
                Some(Some((known, _))) => {
                    self.answer_with_stage(ticket, 200, &job, known);
                }
                Some(None) => self.context.respond(ticket, 404, None, &Refusal::new("no such job")),
                None => self.respond_retry_later(ticket, 503, "state service away"),
            },
            ApiCall::CancelWrite { ticket, job, shard, tasks, tries } => match reply {
                KvResponse::Applied(revision) => {
                    info!("job {job} cancelled by its user");
                    let known =
                        CachedStage { stage: StoredStage::Cancelled, shard, tasks, revision };
                    self.cache_stage(&job, known);
                    self.announce_cancelled(&job, revision);
                    self.job_cancelled(&job);
                    self.answer_with_stage(ticket, 200, &job, known);
                }
                // Changed in between, or perhaps applied: what is stored decides.
                KvResponse::Conflict(_) | KvResponse::OutcomeUnknown => {
                    self.cancel_read(ticket, &job, tries)
                }
                _ => self.respond_retry_later(ticket, 503, "state service away"),
            },
            ApiCall::LookUpDependency { number, job } => {
                self.dependency_looked_up(number, &job, &reply);
            }
            ApiCall::StoreDependencies { ticket, spec, size, to } => {
                self.dependencies_stored(ticket, spec, size, to, &reply);
            }
            ApiCall::CompareDependencies { ticket, status, job, sent } => {
                self.dependencies_compared(ticket, status, &job, sent, &reply);
            }
        }
    }
}
