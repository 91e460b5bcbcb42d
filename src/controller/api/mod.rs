//! Requests of users, workers and the load balancer, and the pages for people.
//!
//! Owns the submissions and status queries that wait for the key-value store, and the
//! answers that wait until every peer knows of a terminal state.

pub(crate) mod admission;
pub(crate) mod routing;
pub(crate) mod status;
pub(crate) mod status_queries;
pub(crate) mod terminal_states;

use crate::time::Micros;
use admission::Admission;
use status_queries::StatusQueries;
use std::collections::BTreeMap;
use terminal_states::TerminalStates;

/// Requests that have not been answered yet.
#[derive(Debug, Default)]
pub(crate) struct Api {
    pub(crate) admission: Admission,
    /// Submissions that were neither accepted nor refused yet.
    pub(crate) undecided_submissions: usize,
    /// Until when further submissions are expected, and writes leave them a share.
    pub(crate) admitting_until: Micros,
    pub(crate) status_queries: StatusQueries,
    /// Terminal states that peers may not know of yet, and who awaits them.
    pub(crate) terminal_states: TerminalStates,
    /// Requests refused since the last log line about them, by status and reason.
    pub(crate) refusals: BTreeMap<(u16, String), u64>,
    /// What the last health check was answered with: why this node takes no requests.
    pub(crate) reported_health: Option<Option<&'static str>>,
}
