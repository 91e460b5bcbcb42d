//! Routing of HTTP requests by method and path.

use crate::controller::{Controller, Ticket};
use crate::wire::{self, Refusal, path};
use thiserror::Error;

/// A request that this service answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Route<'a> {
    /// A worker's heartbeat.
    Heartbeat,
    /// A user's submission of a job.
    SubmitJob,
    /// The load balancer's health check.
    Health,
    /// A user's status query about the job with this id.
    QueryJob(&'a str),
    /// A user's cancellation of the job with this id.
    CancelJob(&'a str),
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum RouteError {
    #[error("no such path")]
    UnknownPath,
    #[error("method not allowed")]
    MethodNotAllowed,
    /// The path contains something that is not a valid job id.
    #[error("no such job")]
    InvalidJobId,
}

impl RouteError {
    /// HTTP status of the answer.
    fn status(self) -> u16 {
        match self {
            RouteError::UnknownPath | RouteError::InvalidJobId => 404,
            RouteError::MethodNotAllowed => 405,
        }
    }
}

impl Route<'_> {
    /// Parses the route of a request; `target` is the path with the query string.
    fn parse<'a>(method: &str, target: &'a str) -> Result<Route<'a>, RouteError> {
        let route = Route::from_path(target.split('?').next().unwrap_or(""))?;
        if method != route.method() {
            return Err(RouteError::MethodNotAllowed);
        }
        match route {
            Route::QueryJob(id) | Route::CancelJob(id) if !wire::is_valid_job_id(id) => {
                Err(RouteError::InvalidJobId)
            }
            _ => Ok(route),
        }
    }

    fn from_path(path: &str) -> Result<Route<'_>, RouteError> {
        match path {
            path::HEARTBEAT => return Ok(Route::Heartbeat),
            path::JOBS => return Ok(Route::SubmitJob),
            path::HEALTH => return Ok(Route::Health),
            _ => {}
        }
        let job_path = path.strip_prefix(path::JOBS).and_then(|rest| rest.strip_prefix('/'));
        let job_path = job_path.ok_or(RouteError::UnknownPath)?;
        match job_path.split_once('/') {
            None => Ok(Route::QueryJob(job_path)),
            Some((id, path::CANCEL)) => Ok(Route::CancelJob(id)),
            Some(_) => Err(RouteError::UnknownPath),
        }
    }

    /// The only HTTP method that the route allows.
    fn method(&self) -> &'static str {
        match self {
            Route::Heartbeat | Route::SubmitJob | Route::CancelJob(_) => "POST",
            Route::Health | Route::QueryJob(_) => "GET",
        }
    }
}

impl Controller {
    /// Handles an HTTP request. It is answered now or later, under its ticket.
    pub(crate) fn http(&mut self, ticket: Ticket, method: &str, target: &str, body: &[u8]) {
        match Route::parse(method, target) {
            Ok(Route::Heartbeat) => self.heartbeat(ticket, body),
            Ok(Route::SubmitJob) => self.submit(ticket, body),
            Ok(Route::Health) => self.respond_health(ticket),
            Ok(Route::QueryJob(id)) => self.query_job(ticket, id),
            Ok(Route::CancelJob(id)) => self.cancel(ticket, id),
            Err(error) => {
                let reason = error.to_string();
                self.context.respond(ticket, error.status(), None, &Refusal::new(&reason));
            }
        }
    }
}
