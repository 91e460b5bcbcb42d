//! Refusals that ask the client to retry, and the log lines that count refusals.

use crate::controller::api::Api;
use crate::controller::api::counters::Counters;
use crate::controller::context::Context;
use crate::controller::event::Ticket;
use crate::wire::Refusal;
use log::info;
use std::collections::BTreeMap;

/// `Retry-After` in seconds for a refusal that results from this member's own state. For
/// overload (429) it is the option `retry_after_s`.
const RETRY_AFTER_S: u64 = 1;

/// Status and reason of a refusal, by which the log counts them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RefusalCause {
    status: u16,
    reason: String,
}

/// Number of refusals by cause since the last log summary.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    by_cause: BTreeMap<RefusalCause, u64>,
}

impl Refusals {
    fn record(&mut self, status: u16, reason: &str) {
        let cause = RefusalCause { status, reason: reason.to_string() };
        *self.by_cause.entry(cause).or_insert(0) += 1;
    }

    /// Logs the number of refusals by cause and resets the counts.
    pub(crate) fn log(&mut self) {
        for (RefusalCause { status, reason }, count) in std::mem::take(&mut self.by_cause) {
            info!("{count} requests answered {status}: {reason}");
        }
    }
}

impl Api {
    /// Refuses a request, with a `Retry-After` header.
    pub(crate) fn respond_retry_later(
        &mut self,
        context: &mut Context,
        counts: &mut Counters,
        ticket: Ticket,
        status: u16,
        reason: &str,
    ) {
        self.record_refusal(counts, status, reason);
        let seconds = if status == 429 { context.options.retry_after_s } else { RETRY_AFTER_S };
        context.respond(ticket, status, Some(seconds), &Refusal::new(reason));
    }

    /// Counts a refusal. The log gets a periodic line for each cause instead of one for each
    /// request, since an outage refuses every request for the same reason.
    pub(crate) fn record_refusal(&mut self, counts: &mut Counters, status: u16, reason: &str) {
        counts.refused += 1;
        self.refusals.record(status, reason);
    }
}
