//! Users: the jobs that they submit, query and cancel at all controllers, and the answers to them.

use super::machines::{UNAWAITED_REQUEST, empty_object};
use super::{Action, Run};
use crate::history::{Observation, RequestKind, UserAnswer};
use crate::links::{Delivery, Direction, Link};
use crate::net::{ConnectionId, Role};
use crate::report::Failure;
use millethold::http::{self, OutgoingRequest};
use millethold::time::Micros;
use millethold::wire::{JobStage, path};
use rand::RngExt;
use serde::Deserialize;

/// Interval between two status queries about a job.
const POLL_INTERVAL_MS: (u64, u64) = (700, 1_300);
/// Delay of a retry after a refusal or a timeout.
const RETRY_DELAY_MS: (u64, u64) = (500, 1_200);
/// Delay of a retry after a refused or reset connection, usually at another controller.
const RECONNECT_DELAY_MS: (u64, u64) = (50, 300);
/// How long users wait for the answer to a status query, and to any other request.
const POLL_TIMEOUT: Micros = Micros::secs(2);
const REQUEST_TIMEOUT: Micros = Micros::secs(5);
/// Status queries about a job after its end.
const POLLS_AFTER_END: u32 = 3;
/// When a user first learns that a job is accepted or has ended, it queries all controllers at once
/// in one case out of this many.
const CONCURRENT_POLL_ONE_IN: u32 = 4;
/// Prefix of the ids of jobs that no user submits. They have eight digits, submitted jobs have six.
const UNKNOWN_JOB_PREFIX: &str = "j-9";

/// An action of a user.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum UserStep {
    /// Submits a job, for the first time or repeatedly.
    Submit(String),
    /// Queries a job's stage.
    Poll(String),
    /// Cancels a job.
    Cancel(String),
    /// Queries a job's stage at all controllers at once, and repeats the submission at one of them.
    PollAllControllers(String),
    /// Queries the stage of a job that no user submitted.
    PollUnknownJob,
}

/// The state of a job as its user has observed it.
#[derive(Debug, Default)]
pub(super) struct UserJob {
    submitted: bool,
    accepted: bool,
    /// Status of a permanent refusal.
    refused_status: Option<u16>,
    cancel_requested: bool,
    cancel_answered: bool,
    ended: Option<JobStage>,
    polls_after_end: u32,
    /// A status query is scheduled or pending.
    polling: bool,
}

/// A request whose answer is pending.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UserRequest {
    job: String,
    request_kind: RequestKind,
    controller: usize,
    sent: Micros,
    connection: Option<ConnectionId>,
    /// It is a health check before the workload starts.
    is_health_check: bool,
    /// It is not retried, and does not count as the job's regular submission or status query.
    detached: bool,
}

/// The part of an answer's body that users read.
#[derive(Deserialize)]
struct JobResponse {
    stage: Option<JobStage>,
}

impl Run {
    fn random_time_after(&mut self, range: (u64, u64)) -> Micros {
        self.now + Micros::millis(self.rng.random_range(range.0..range.1))
    }

    pub(super) fn perform_user_step(&mut self, step: UserStep) {
        match step {
            UserStep::Submit(job) => self.submit_job(job),
            UserStep::Poll(job) => {
                self.send_to_any(job, RequestKind::Poll, false);
            }
            UserStep::Cancel(job) => self.cancel_job(job),
            UserStep::PollAllControllers(job) => {
                for controller in 0..self.controllers.len() {
                    self.send_request(controller, job.clone(), RequestKind::Poll, true);
                }
                let repeat_at = self.rng.random_range(0..self.controllers.len());
                self.send_request(repeat_at, job, RequestKind::Submit, true);
            }
            UserStep::PollUnknownJob => {
                let job =
                    format!("{UNKNOWN_JOB_PREFIX}{:07}", self.rng.random_range(0..10_000_000));
                self.send_to_any(job, RequestKind::Poll, true);
            }
        }
    }

    fn submit_job(&mut self, job: String) {
        let dependencies = self.jobs.plans[&job].dependencies.clone();
        let accepted = |id: &String| self.user_jobs.get(id).is_some_and(|job| job.accepted);
        if !dependencies.iter().all(accepted) {
            let at = self.random_time_after(RETRY_DELAY_MS);
            return self.schedule(at, Action::User(UserStep::Submit(job)));
        }
        let user_job = self.user_jobs.entry(job.clone()).or_default();
        if !std::mem::replace(&mut user_job.submitted, true) {
            let request_kind = RequestKind::Submit;
            self.record(self.now, Observation::Requested { job: job.clone(), request_kind });
        }
        self.send_to_any(job, RequestKind::Submit, false);
    }

    fn cancel_job(&mut self, job: String) {
        let user_job = self.user_jobs.entry(job.clone()).or_default();
        if user_job.cancel_answered {
            return;
        }
        if !user_job.accepted {
            let at = self.random_time_after(RETRY_DELAY_MS);
            return self.schedule(at, Action::User(UserStep::Cancel(job)));
        }
        if !std::mem::replace(&mut user_job.cancel_requested, true) {
            let request_kind = RequestKind::Cancel;
            self.record(self.now, Observation::Requested { job: job.clone(), request_kind });
        }
        self.send_to_any(job, RequestKind::Cancel, false);
    }

    /// Sends a request to any controller.
    fn send_to_any(&mut self, job: String, request_kind: RequestKind, detached: bool) {
        let controller = self.rng.random_range(0..self.controllers.len());
        self.send_request(controller, job, request_kind, detached);
    }

    fn send_request(
        &mut self,
        controller: usize,
        job: String,
        request_kind: RequestKind,
        detached: bool,
    ) {
        let request = match request_kind {
            RequestKind::Submit => {
                let body = self.jobs.plans[&job].submission();
                OutgoingRequest::post(path::JOBS.to_string(), &body)
            }
            RequestKind::Poll => OutgoingRequest::get(format!("{}/{job}", path::JOBS)),
            RequestKind::Cancel => OutgoingRequest {
                method: "POST",
                path: format!("{}/{job}/{}", path::JOBS, path::CANCEL),
                body: Some(empty_object()),
            },
        };
        let number = self.new_request(controller, job, request_kind, detached);
        let timeout =
            if request_kind == RequestKind::Poll { POLL_TIMEOUT } else { REQUEST_TIMEOUT };
        self.schedule(self.now + timeout, Action::UserRequestTimedOut { request: number });
        // Users are close to the controllers: a delayed message would only make them wait, so
        // delays of their link have no effect.
        if self.transmit(Link::User { controller }, Direction::Request) == Delivery::Reset {
            return self.user_connection_closed(number);
        }
        let host = self.controller_address(controller);
        match self.net.connect(host, Role::User { request: number }) {
            Ok(id) => {
                if let Some(request) = self.user_requests.get_mut(&number) {
                    request.connection = Some(id);
                }
                self.net.request(id, &request, host);
            }
            Err(_) => self.user_connection_closed(number),
        }
    }

    fn new_request(
        &mut self,
        controller: usize,
        job: String,
        request_kind: RequestKind,
        detached: bool,
    ) -> u64 {
        self.next_request_id += 1;
        let request = UserRequest {
            job,
            request_kind,
            controller,
            sent: self.now,
            connection: None,
            is_health_check: false,
            detached,
        };
        self.user_requests.insert(self.next_request_id, request);
        self.next_request_id
    }

    /// Registers a health check.
    pub(super) fn new_health_request(&mut self, controller: usize) -> u64 {
        let number = self.new_request(controller, String::new(), RequestKind::Poll, true);
        if let Some(request) = self.user_requests.get_mut(&number) {
            request.is_health_check = true;
        }
        number
    }

    /// Processes a controller's answer to a user.
    pub(super) fn receive_user_answer(
        &mut self,
        id: ConnectionId,
        number: u64,
        answer: http::Response,
    ) {
        self.net.close(id);
        if number == UNAWAITED_REQUEST {
            return;
        }
        let Some(request) = self.user_requests.remove(&number) else {
            return;
        };
        if request.is_health_check {
            self.healthy[request.controller] |= answer.status == 200;
            return;
        }
        let stage = serde_json::from_slice::<JobResponse>(&answer.body).ok().and_then(|a| a.stage);
        let found = matches!(answer.status, 200 | 201);
        self.record(
            self.now,
            Observation::Answer(UserAnswer {
                job: request.job.clone(),
                request_kind: request.request_kind,
                controller: request.controller,
                sent: request.sent,
                status: answer.status,
                stage: stage.filter(|_| found),
            }),
        );
        if found {
            self.apply_job_answer(&request, stage);
        } else {
            self.handle_refusal(&request, answer.status);
        }
    }

    fn apply_job_answer(&mut self, request: &UserRequest, stage: Option<JobStage>) {
        let Some(user_job) = self.user_jobs.get_mut(&request.job) else {
            return;
        };
        let newly_accepted = !std::mem::replace(&mut user_job.accepted, true);
        let final_stage = stage.filter(|s| matches!(s, JobStage::Done | JobStage::Cancelled));
        let newly_ended = final_stage.is_some() && user_job.ended.is_none();
        user_job.ended = user_job.ended.or(final_stage);
        user_job.cancel_answered |= request.request_kind == RequestKind::Cancel;
        let is_regular_poll = request.request_kind == RequestKind::Poll && !request.detached;
        if is_regular_poll {
            user_job.polling = false;
            user_job.polls_after_end += u32::from(user_job.ended.is_some());
        }
        if (newly_accepted || newly_ended) && self.rng.random_range(0..CONCURRENT_POLL_ONE_IN) == 0
        {
            let wait = Micros::millis(self.rng.random_range(0..6));
            self.schedule(
                self.now + wait,
                Action::User(UserStep::PollAllControllers(request.job.clone())),
            );
        }
        self.schedule_poll(&request.job, POLL_INTERVAL_MS);
    }

    fn handle_refusal(&mut self, request: &UserRequest, status: u16) {
        if self.user_jobs.contains_key(&request.job) {
            let request_kind = request.request_kind;
            self.record(self.now, Observation::NoAnswer { job: request.job.clone(), request_kind });
        }
        let is_permanent =
            matches!(status, 400 | 422) && request.request_kind == RequestKind::Submit;
        if is_permanent
            && !request.detached
            && let Some(job) = self.user_jobs.get_mut(&request.job)
        {
            job.refused_status = Some(status);
            return;
        }
        self.retry_request(request, RETRY_DELAY_MS);
    }

    /// Handles a refused or reset connection of a user.
    pub(super) fn user_connection_closed(&mut self, number: u64) {
        if let Some(request) = self.user_requests.remove(&number)
            && !request.is_health_check
        {
            self.handle_no_answer(&request, RECONNECT_DELAY_MS);
        }
    }

    /// Handles a user's request that was not answered in time.
    pub(super) fn user_request_timed_out(&mut self, number: u64) {
        if let Some(request) = self.user_requests.remove(&number) {
            if let Some(id) = request.connection {
                self.net.close(id);
            }
            self.handle_no_answer(&request, RETRY_DELAY_MS);
        }
    }

    fn handle_no_answer(&mut self, request: &UserRequest, delay: (u64, u64)) {
        if self.user_jobs.contains_key(&request.job) {
            let request_kind = request.request_kind;
            self.record(self.now, Observation::NoAnswer { job: request.job.clone(), request_kind });
        }
        self.retry_request(request, delay);
    }

    /// Schedules a repetition of a request, unless it is detached.
    fn retry_request(&mut self, request: &UserRequest, delay: (u64, u64)) {
        if request.detached {
            return;
        }
        let job = request.job.clone();
        match request.request_kind {
            RequestKind::Submit => {
                let at = self.random_time_after(delay);
                self.schedule(at, Action::User(UserStep::Submit(job)));
            }
            RequestKind::Cancel => {
                let at = self.random_time_after(delay);
                self.schedule(at, Action::User(UserStep::Cancel(job)));
            }
            RequestKind::Poll => {
                if let Some(user_job) = self.user_jobs.get_mut(&job) {
                    user_job.polling = false;
                }
                self.schedule_poll(&job, delay);
            }
        }
    }

    /// Schedules the next status query about a job, unless one is pending or enough were sent.
    fn schedule_poll(&mut self, job: &str, delay: (u64, u64)) {
        let at = self.random_time_after(delay);
        let Some(user_job) = self.user_jobs.get_mut(job) else {
            return;
        };
        if user_job.polling || user_job.polls_after_end >= POLLS_AFTER_END {
            return;
        }
        user_job.polling = true;
        self.schedule(at, Action::User(UserStep::Poll(job.to_string())));
    }

    /// Whether every job was refused permanently, or has ended and its user's queries and
    /// cancellation have been answered.
    pub(super) fn all_jobs_served(&self) -> bool {
        let served = |job: &UserJob| {
            let cancel_settled = !job.cancel_requested || job.cancel_answered;
            job.refused_status.is_some()
                || (job.ended.is_some() && job.polls_after_end >= POLLS_AFTER_END && cancel_settled)
        };
        self.user_jobs.values().all(served)
    }

    /// Records a failure for each job that was refused or has not ended.
    pub(super) fn record_unserved_jobs(&mut self) {
        for (id, job) in &self.user_jobs {
            if let Some(status) = job.refused_status {
                self.failures.push(Failure::Refused { job: id.clone(), status });
            } else if job.ended.is_none() {
                let accepted = job.accepted;
                self.failures.push(Failure::Unfinished { job: id.clone(), accepted });
            }
        }
    }
}
