//! Requests that are answered with a reason to come back, and the log lines about them.

use crate::controller::api::Api;
use crate::controller::api::counts::Counts;
use crate::controller::context::Context;
use crate::controller::event::Ticket;
use crate::wire::Refusal;
use log::info;
use std::collections::BTreeMap;

/// Seconds after which a request is to be repeated that fails for this node's own state;
/// overload has an option of its own.
const RETRY_AFTER_S: u64 = 1;

/// What was refused, as the log counts it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RefusalCause {
    status: u16,
    reason: String,
}

/// Requests refused since the last log lines about them.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    by_cause: BTreeMap<RefusalCause, u64>,
}

impl Refusals {
    fn note(&mut self, status: u16, reason: &str) {
        let cause = RefusalCause { status, reason: reason.to_string() };
        *self.by_cause.entry(cause).or_insert(0) += 1;
    }

    /// Logs each cause with its number, and starts to count anew.
    pub(crate) fn log(&mut self) {
        for (RefusalCause { status, reason }, count) in std::mem::take(&mut self.by_cause) {
            info!("{count} requests answered {status}: {reason}");
        }
    }
}

impl Api {
    /// Refuses a request for now; it says after how many seconds to repeat it.
    pub(crate) fn respond_retry_later(
        &mut self,
        context: &mut Context,
        counts: &mut Counts,
        ticket: Ticket,
        status: u16,
        reason: &str,
    ) {
        self.note_refusal(counts, status, reason);
        let seconds = if status == 429 { context.options.retry_after_s } else { RETRY_AFTER_S };
        context.respond(ticket, status, Some(seconds), &Refusal::new(reason));
    }

    /// Counts a refusal. The log has one line a cause once in a while, since an outage
    /// refuses every request for the same reason.
    pub(crate) fn note_refusal(&mut self, counts: &mut Counts, status: u16, reason: &str) {
        counts.refused += 1;
        self.refusals.note(status, reason);
    }
}
