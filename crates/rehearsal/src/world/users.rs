//! Users: what they submit, query and cancel, at all controllers, and which answers they get.

use super::machines::{NO_REQUEST, empty};
use super::{Action, World};
use crate::history::{Observation, RequestKind, UserAnswer};
use crate::links::{Delivery, Direction, Link};
use crate::net::{ConnectionId, Role};
use crate::report::Failure;
use millethold::http::{self, OutgoingRequest};
use millethold::time::Micros;
use millethold::wire::{JobStage, path};
use rand::RngExt;
use serde::Deserialize;

/// Between two questions about a job.
const POLL_INTERVAL_MS: (u64, u64) = (700, 1_300);
/// After an answer that says to come back, or none.
const RETRY_DELAY_MS: (u64, u64) = (500, 1_200);
/// A connection that is refused is tried elsewhere soon.
const RECONNECT_DELAY_MS: (u64, u64) = (50, 300);
/// How long users wait for an answer.
const POLL_TIMEOUT: Micros = Micros::secs(2);
const REQUEST_TIMEOUT: Micros = Micros::secs(5);
/// Questions about a job after its end.
const POLLS_AFTER_END: u32 = 3;
/// One in so many users queries all controllers at once.
const CONCURRENT_POLL_ONE_IN: u32 = 4;
/// A job that nobody submits begins like this; those of users have six digits.
const UNKNOWN_JOB_PREFIX: &str = "j-9";

/// Something that a user does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum UserStep {
    /// Hands a job in, or once more.
    Submit(String),
    /// Asks how a job stands.
    Poll(String),
    /// Calls a job off.
    Cancel(String),
    /// Asks all controllers at once how a job stands.
    PollAllControllers(String),
    /// Asks about a job that nobody submitted.
    PollUnknownJob,
}

/// A job, as its user sees it.
#[derive(Debug, Default)]
pub(super) struct UserJob {
    submitted: bool,
    accepted: bool,
    /// Refused for good.
    refused: Option<u16>,
    cancel_requested: bool,
    cancel_answered: bool,
    ended: Option<JobStage>,
    polls_after_end: u32,
    /// A question is planned or under way.
    polling: bool,
}

/// A request that awaits its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UserRequest {
    job: String,
    request_kind: RequestKind,
    controller: usize,
    sent: Micros,
    connection: Option<ConnectionId>,
    /// It is a health check of the beginning.
    health: bool,
    /// It stands alone: nothing follows from its answer.
    detached: bool,
}

/// The part of an answer that users read.
#[derive(Deserialize)]
struct JobAnswer {
    stage: Option<JobStage>,
}

impl World {
    fn soon(&mut self, range: (u64, u64)) -> Micros {
        self.now + Micros::millis(self.rng.random_range(range.0..range.1))
    }

    pub(super) fn user_step(&mut self, step: UserStep) {
        match step {
            UserStep::Submit(job) => self.user_submits(job),
            UserStep::Poll(job) => {
                self.send_to_any(job, RequestKind::Poll, false);
            }
            UserStep::Cancel(job) => self.user_cancels(job),
            UserStep::PollAllControllers(job) => {
                for controller in 0..self.controllers.len() {
                    self.send_request(controller, job.clone(), RequestKind::Poll, true);
                }
                let again = self.rng.random_range(0..self.controllers.len());
                self.send_request(again, job, RequestKind::Submit, true);
            }
            UserStep::PollUnknownJob => {
                let job =
                    format!("{UNKNOWN_JOB_PREFIX}{:07}", self.rng.random_range(0..10_000_000));
                self.send_to_any(job, RequestKind::Poll, true);
            }
        }
    }

    fn user_submits(&mut self, job: String) {
        let dependencies = self.jobs.plans[&job].dependencies.clone();
        let accepted = |up: &String| self.user_jobs.get(up).is_some_and(|up| up.accepted);
        if !dependencies.iter().all(accepted) {
            let at = self.soon(RETRY_DELAY_MS);
            return self.at(at, Action::User(UserStep::Submit(job)));
        }
        let user_job = self.user_jobs.entry(job.clone()).or_default();
        if !std::mem::replace(&mut user_job.submitted, true) {
            let request_kind = RequestKind::Submit;
            self.record(self.now, Observation::Requested { job: job.clone(), request_kind });
        }
        self.send_to_any(job, RequestKind::Submit, false);
    }

    fn user_cancels(&mut self, job: String) {
        let user_job = self.user_jobs.entry(job.clone()).or_default();
        if user_job.cancel_answered {
            return;
        }
        if !user_job.accepted {
            let at = self.soon(RETRY_DELAY_MS);
            return self.at(at, Action::User(UserStep::Cancel(job)));
        }
        if !std::mem::replace(&mut user_job.cancel_requested, true) {
            let request_kind = RequestKind::Cancel;
            self.record(self.now, Observation::Requested { job: job.clone(), request_kind });
        }
        self.send_to_any(job, RequestKind::Cancel, false);
    }

    /// Asks any controller.
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
                body: Some(empty()),
            },
        };
        let number = self.new_request(controller, job, request_kind, detached);
        let patience =
            if request_kind == RequestKind::Poll { POLL_TIMEOUT } else { REQUEST_TIMEOUT };
        self.at(self.now + patience, Action::UserGivesUp { request: number });
        // Users sit beside the controllers: what holds their messages only lets them wait.
        if self.transmit(Link::User { controller }, Direction::Request) == Delivery::Reset {
            return self.user_connection_closed(number);
        }
        let host = self.controller_address(controller);
        match self.net.connect(host, Role::User { request: number }) {
            Ok(id) => {
                if let Some(request) = self.requests.get_mut(&number) {
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
        self.next_request += 1;
        let request = UserRequest {
            job,
            request_kind,
            controller,
            sent: self.now,
            connection: None,
            health: false,
            detached,
        };
        self.requests.insert(self.next_request, request);
        self.next_request
    }

    /// A health check of the beginning.
    pub(super) fn new_health_request(&mut self, controller: usize) -> u64 {
        let number = self.new_request(controller, String::new(), RequestKind::Poll, true);
        if let Some(request) = self.requests.get_mut(&number) {
            request.health = true;
        }
        number
    }

    /// A controller has answered a user.
    pub(super) fn user_answer_sent(&mut self, id: ConnectionId, number: u64, answer: http::Answer) {
        self.net.close(id);
        if number == NO_REQUEST {
            return;
        }
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        if request.health {
            self.healthy[request.controller] |= answer.status == 200;
            return;
        }
        let stage = serde_json::from_slice::<JobAnswer>(&answer.body).ok().and_then(|a| a.stage);
        let known = matches!(answer.status, 200 | 201);
        self.record(
            self.now,
            Observation::Answer(UserAnswer {
                job: request.job.clone(),
                request_kind: request.request_kind,
                controller: request.controller,
                sent: request.sent,
                status: answer.status,
                stage: stage.filter(|_| known),
            }),
        );
        if known {
            self.user_learns_stage(&request, stage);
        } else {
            self.user_request_refused(&request, answer.status);
        }
    }

    fn user_learns_stage(&mut self, request: &UserRequest, stage: Option<JobStage>) {
        let Some(user_job) = self.user_jobs.get_mut(&request.job) else {
            return;
        };
        let first = !std::mem::replace(&mut user_job.accepted, true);
        let ends = stage.filter(|s| matches!(s, JobStage::Done | JobStage::Cancelled));
        let ended = ends.is_some() && user_job.ended.is_none();
        user_job.ended = user_job.ended.or(ends);
        user_job.cancel_answered |= request.request_kind == RequestKind::Cancel;
        let plain_poll = request.request_kind == RequestKind::Poll && !request.detached;
        if plain_poll {
            user_job.polling = false;
            user_job.polls_after_end += u32::from(user_job.ended.is_some());
        }
        if (first || ended) && self.rng.random_range(0..CONCURRENT_POLL_ONE_IN) == 0 {
            let wait = Micros::millis(self.rng.random_range(0..6));
            self.at(
                self.now + wait,
                Action::User(UserStep::PollAllControllers(request.job.clone())),
            );
        }
        self.plan_poll(&request.job, POLL_INTERVAL_MS);
    }

    fn user_request_refused(&mut self, request: &UserRequest, status: u16) {
        if self.user_jobs.contains_key(&request.job) {
            let request_kind = request.request_kind;
            self.record(self.now, Observation::NoAnswer { job: request.job.clone(), request_kind });
        }
        let for_good = matches!(status, 400 | 422) && request.request_kind == RequestKind::Submit;
        if for_good
            && !request.detached
            && let Some(job) = self.user_jobs.get_mut(&request.job)
        {
            job.refused = Some(status);
            return;
        }
        self.try_again(request, RETRY_DELAY_MS);
    }

    /// A user's connection is refused or reset.
    pub(super) fn user_connection_closed(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number)
            && !request.health
        {
            self.unanswered(&request, RECONNECT_DELAY_MS);
        }
    }

    /// A user has waited long enough.
    pub(super) fn user_unanswered(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            if let Some(id) = request.connection {
                self.net.close(id);
            }
            self.unanswered(&request, RETRY_DELAY_MS);
        }
    }

    fn unanswered(&mut self, request: &UserRequest, again: (u64, u64)) {
        if self.user_jobs.contains_key(&request.job) {
            let request_kind = request.request_kind;
            self.record(self.now, Observation::NoAnswer { job: request.job.clone(), request_kind });
        }
        self.try_again(request, again);
    }

    /// The user repeats the request some time later.
    fn try_again(&mut self, request: &UserRequest, wait: (u64, u64)) {
        if request.detached {
            return;
        }
        let job = request.job.clone();
        match request.request_kind {
            RequestKind::Submit => {
                let at = self.soon(wait);
                self.at(at, Action::User(UserStep::Submit(job)));
            }
            RequestKind::Cancel => {
                let at = self.soon(wait);
                self.at(at, Action::User(UserStep::Cancel(job)));
            }
            RequestKind::Poll => {
                if let Some(user_job) = self.user_jobs.get_mut(&job) {
                    user_job.polling = false;
                }
                self.plan_poll(&job, wait);
            }
        }
    }

    /// Plans the next question about a job, if one is to follow.
    fn plan_poll(&mut self, job: &str, wait: (u64, u64)) {
        let at = self.soon(wait);
        let Some(user_job) = self.user_jobs.get_mut(job) else {
            return;
        };
        if user_job.polling || user_job.polls_after_end >= POLLS_AFTER_END {
            return;
        }
        user_job.polling = true;
        self.at(at, Action::User(UserStep::Poll(job.to_string())));
    }

    /// Whether every job is over and its user has queried it afterwards.
    pub(super) fn users_are_done(&self) -> bool {
        let done = |job: &UserJob| {
            let cancelled = !job.cancel_requested || job.cancel_answered;
            job.refused.is_some()
                || (job.ended.is_some() && job.polls_after_end >= POLLS_AFTER_END && cancelled)
        };
        self.user_jobs.values().all(done)
    }

    /// Tells of the jobs that were not served.
    pub(super) fn record_unserved(&mut self) {
        for (id, job) in &self.user_jobs {
            if let Some(status) = job.refused {
                self.failures.push(Failure::Refused { job: id.clone(), status });
            } else if job.ended.is_none() {
                let accepted = job.accepted;
                self.failures.push(Failure::Unfinished { job: id.clone(), accepted });
            }
        }
    }
}
