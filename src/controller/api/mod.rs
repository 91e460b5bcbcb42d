//! HTTP requests of users, workers and the load balancer, and the status and queue pages.
//!
//! Owns the submissions and status queries that wait for the key-value store, the answers
//! that wait until every peer has acknowledged a terminal state, and the counts of refusals.
//! It never changes a job, a machine or a shard directly: methods of
//! [`Controller`](super::Controller) pass its results to the components that own them. No
//! answer reports a job as accepted, done or cancelled before the store has recorded it.

pub(crate) mod admission;
pub(crate) mod cancellation_requests;
pub(crate) mod counters;
mod dependency_comparison;
pub(crate) mod dependency_lookup;
mod dependency_records;
pub(crate) mod health;
pub(crate) mod job_answers;
pub(crate) mod pending;
pub(crate) mod queue_page;
pub(crate) mod record_reads;
pub(crate) mod refusals;
pub(crate) mod replies;
pub(crate) mod routing;
pub(crate) mod status;
pub(crate) mod status_queries;
pub(crate) mod submissions;
pub(crate) mod terminal_states;

use admission::Admission;
use dependency_lookup::DependencyLookups;
use health::Health;
use refusals::Refusals;
use status_queries::StatusQueries;
use terminal_states::TerminalStates;

/// State of the requests that have not been answered, and of refusals and health checks.
#[derive(Debug, Default)]
pub(crate) struct Api {
    /// Submissions that wait for admission.
    pub(crate) admission: Admission,
    /// Submissions whose dependencies are being read from the store.
    pub(crate) dependency_lookups: DependencyLookups,
    /// Status queries that wait for a comparison with the key-value store.
    pub(crate) status_queries: StatusQueries,
    /// Terminal states that some peer may not have acknowledged, and the answers that wait.
    pub(crate) terminal_states: TerminalStates,
    /// Refusals since the last log summary.
    pub(crate) refusals: Refusals,
    /// Answer to the last health check, since only changes are logged; `None` before the first.
    last_reported_health: Option<Health>,
}
