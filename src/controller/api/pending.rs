//! What is kept of a request while its answer awaits the key-value store or the peers.

use crate::controller::event::Ticket;
use crate::time::Micros;
use crate::wire::{JobSpec, Refusal};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A submission on its way to the key-value store.
#[derive(Debug, Clone)]
pub(crate) struct Submission {
    /// The request to answer.
    pub(crate) ticket: Ticket,
    /// The job as its user describes it.
    pub(crate) spec: Rc<JobSpec>,
    /// Time of day at which it arrived; deadlines count from here.
    pub(crate) submitted_at: Micros,
    /// The same by the steady clock.
    pub(crate) arrived_at: Micros,
    /// Size of its encoded description.
    pub(crate) spec_bytes: usize,
}

/// Submissions that were sent to the key-value store in one transaction.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionGroup {
    /// In order of arrival.
    pub(crate) submissions: Vec<Submission>,
    /// The shard that accepts the jobs.
    pub(crate) shard: usize,
    /// Term under which this process led it then.
    pub(crate) term: u64,
    /// Key of the batch with their descriptions; `None` for a single job, which has a
    /// key of its own.
    pub(crate) batch_key: Option<String>,
}

/// A job whose cancellation is being written.
#[derive(Debug, Clone)]
pub(crate) struct CancelledJob {
    /// Its id.
    pub(crate) id: String,
    /// The shard that accepted it.
    pub(crate) shard: usize,
    /// Number of its tasks.
    pub(crate) tasks: u32,
}

/// A user who awaits the answer to a status query.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingUser {
    /// The request to answer.
    pub(crate) ticket: Ticket,
    /// When the query arrived.
    pub(crate) since: Micros,
}

/// Status queries about one job.
#[derive(Debug, Clone)]
pub(crate) struct StatusQuery {
    /// Revision of the job's record that is known here.
    pub(crate) revision: u64,
    /// Who awaits the answer.
    pub(crate) users: Vec<WaitingUser>,
}

/// Status queries by job, answered together.
pub(crate) type QueriedJobs = BTreeMap<String, StatusQuery>;

/// An answer that is given if a read of the key-value store shows nothing that comes
/// before it.
#[derive(Debug, Clone)]
pub(crate) struct PreparedAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Seconds after which to repeat the request.
    pub(crate) retry_after_s: Option<u64>,
    /// JSON.
    pub(crate) body: Vec<u8>,
}

impl PreparedAnswer {
    /// A refusal that is final.
    pub(crate) fn refusal(status: u16, refusal: &Refusal<'_>) -> PreparedAnswer {
        let body = serde_json::to_vec(refusal).unwrap_or_default();
        PreparedAnswer { status, retry_after_s: None, body }
    }

    /// Nothing is known of the request's outcome: it is to be repeated.
    pub(crate) fn undecided() -> PreparedAnswer {
        let refusal = PreparedAnswer::refusal(503, &Refusal::new("undecided"));
        PreparedAnswer { retry_after_s: Some(1), ..refusal }
    }
}
