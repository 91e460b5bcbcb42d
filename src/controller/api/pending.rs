//! State of requests whose answers wait for the key-value store or the peers.

use crate::controller::call_origin::CallOrigin;
use crate::controller::event::Ticket;
use crate::time::Micros;
use crate::wire::{JobSpec, Refusal};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A submission that waits for admission or is being written to the key-value store.
#[derive(Debug, Clone)]
pub(crate) struct Submission {
    /// The request to answer.
    pub(crate) ticket: Ticket,
    /// The job's description from its user.
    pub(crate) spec: Rc<JobSpec>,
    /// Wall-clock time at which it arrived; the job's deadline is relative to it.
    pub(crate) submitted_at: Micros,
    /// Time of arrival by the monotonic clock.
    pub(crate) arrived_at: Micros,
    /// Bytes of its encoded description.
    pub(crate) spec_bytes: usize,
}

/// Submissions that were sent to the key-value store in one transaction.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionGroup {
    /// In order of arrival.
    pub(crate) submissions: Vec<Submission>,
    /// The shard that accepts the jobs.
    pub(crate) shard: usize,
    /// Term under which this process led the shard when it sent the transaction.
    pub(crate) term: u64,
    /// Key of the batch with the jobs' descriptions; `None` for a single job, which has a key
    /// of its own.
    pub(crate) batch_key: Option<String>,
    /// When the transaction was sent.
    pub(crate) origin: CallOrigin,
}

/// A job whose cancellation is being written.
#[derive(Debug, Clone)]
pub(crate) struct CancelledJob {
    /// Job id, `j-` and digits.
    pub(crate) id: String,
    /// The shard that accepted it.
    pub(crate) shard: usize,
    /// Number of tasks, which the record keeps.
    pub(crate) tasks: u32,
}

/// A user who waits for the answer to a status query.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingUser {
    /// The request to answer.
    pub(crate) ticket: Ticket,
    /// When the query arrived, by the monotonic clock.
    pub(crate) arrived_at: Micros,
}

/// Status queries about one job.
#[derive(Debug, Clone)]
pub(crate) struct StatusQuery {
    /// Cached revision of the job's record.
    pub(crate) revision: u64,
    /// Users who wait for the answer.
    pub(crate) users: Vec<WaitingUser>,
}

/// Status queries by job, answered together.
pub(crate) type QueriedJobs = BTreeMap<String, StatusQuery>;

/// The answer to give if the key-value store turns out to have no record of the job.
#[derive(Debug, Clone)]
pub(crate) struct PreparedAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Seconds for the `Retry-After` header; `None` for a final answer.
    pub(crate) retry_after_s: Option<u64>,
    /// JSON body.
    pub(crate) body: Vec<u8>,
}

impl PreparedAnswer {
    /// A final refusal, without `Retry-After`.
    pub(crate) fn refusal(status: u16, refusal: &Refusal<'_>) -> PreparedAnswer {
        let body = serde_json::to_vec(refusal).unwrap_or_default();
        PreparedAnswer { status, retry_after_s: None, body }
    }

    /// The outcome of the request is unknown: the client must retry.
    pub(crate) fn undecided() -> PreparedAnswer {
        let refusal = PreparedAnswer::refusal(503, &Refusal::new("undecided"));
        PreparedAnswer { retry_after_s: Some(1), ..refusal }
    }
}
