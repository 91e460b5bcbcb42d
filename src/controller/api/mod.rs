//! Requests of users, workers and the load balancer, and the pages for people.
//!
//! Owns the submissions and status queries that wait for the key-value store, the
//! answers that wait until every peer knows of a terminal state, and the counts of
//! refusals. It never changes a job, a machine or a shard by itself: what it concludes
//! is carried to their components by the flows of [`Controller`](super::Controller).
//! No answer says that a job is accepted, done or cancelled before the store has it so.

pub(crate) mod admission;
pub(crate) mod cancellation_requests;
pub(crate) mod counts;
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

/// Requests that have not been answered yet.
#[derive(Debug, Default)]
pub(crate) struct Api {
    /// Submissions that wait to be accepted.
    pub(crate) admission: Admission,
    /// Submissions whose dependencies are being read.
    pub(crate) dependency_lookups: DependencyLookups,
    /// Status queries that wait to be compared with the key-value store.
    pub(crate) status_queries: StatusQueries,
    /// Terminal states that peers may not know of yet, and who awaits them.
    pub(crate) terminal_states: TerminalStates,
    /// Requests refused since the last log lines about them.
    pub(crate) refusals: Refusals,
    /// What the last health check was answered with.
    last_reported_health: Option<Health>,
}
