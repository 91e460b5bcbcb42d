//! Delay of answers with a terminal state until every peer has acknowledged it.
//!
//! Users may query all members at the same moment. A member that has read a job's record just
//! before its last change could answer with the older stage after another member has answered
//! with the terminal one. So a terminal state is answered only once every peer has acknowledged
//! it: the revision up to which the peer has followed the jobs' changes includes it. If a peer
//! does not report such a revision, the answer waits until anything that the peer may have read
//! before the change is too old to be answered.

use crate::controller::api::status_queries::MAX_READ_AGE;
use crate::controller::event::Ticket;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Age after which a terminal state needs no acknowledgement: no member answers any more with
/// what it read before the change, since it does not answer with reads older than
/// [`MAX_READ_AGE`]. The additional 150 ms cover differences between clocks and the time that an
/// answer takes to reach its user.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = Micros(MAX_READ_AGE.0 + 150_000);
/// Placeholder for an unknown revision; greater than any that a peer can have followed.
const UNKNOWN_REVISION: u64 = u64::MAX;

/// A terminal state that some peer may not have acknowledged.
#[derive(Debug, Clone, Copy)]
struct UnacknowledgedState {
    /// When this process first observed it, by the monotonic clock.
    observed_at: Micros,
    /// Revision of the write that made the job terminal, or [`UNKNOWN_REVISION`].
    revision: u64,
}

/// An answer that waits until a terminal state is acknowledged.
#[derive(Debug)]
pub(crate) struct WaitingAnswer {
    /// The request to answer.
    pub(crate) ticket: Ticket,
    /// Id of the job that the answer is about.
    pub(crate) job: String,
}

/// Recent terminal states without acknowledgement, and the answers that wait for it.
#[derive(Debug, Default)]
pub(crate) struct TerminalStates {
    unacknowledged: BTreeMap<String, UnacknowledgedState>,
    /// Answers that wait for an acknowledgement.
    waiting: Vec<WaitingAnswer>,
    /// Peers must be notified that this process has followed the jobs further.
    notify_peers: bool,
}

impl TerminalStates {
    /// Adds a job that was found to be done or cancelled. `revision` is 0 if a peer's
    /// notification did not include it.
    pub(crate) fn add(&mut self, now: Micros, job: &str, revision: u64) {
        self.notify_peers = true;
        let revision = if revision == 0 { UNKNOWN_REVISION } else { revision };
        let state = UnacknowledgedState { observed_at: now, revision };
        self.unacknowledged.insert(job.to_string(), state);
    }

    /// Whether every peer has acknowledged a job's terminal state, or has had enough time to.
    pub(crate) fn acknowledged(&self, job: &str) -> bool {
        !self.unacknowledged.contains_key(job)
    }

    /// Sets the revision of a terminal state that a peer's notification reported without it.
    pub(crate) fn set_missing_revision(&mut self, job: &str, revision: u64) {
        if let Some(state) = self.unacknowledged.get_mut(job)
            && state.revision == UNKNOWN_REVISION
            && revision > 0
        {
            state.revision = revision;
            self.notify_peers = true;
        }
    }

    /// Whether peers must be notified how far this process has followed the jobs. Resets the
    /// flag, so it returns true once for each change.
    pub(crate) fn take_peer_notification(&mut self) -> bool {
        std::mem::take(&mut self.notify_peers)
    }

    /// Defers an answer until [`TerminalStates::take_answerable`] returns it.
    pub(crate) fn await_acknowledgement(&mut self, ticket: Ticket, job: &str) {
        self.waiting.push(WaitingAnswer { ticket, job: job.to_string() });
    }

    /// Removes and returns the answers that need not wait any more. `followed_by_peers` is the
    /// revision up to which all peers have followed the jobs, `None` if there are no peers.
    pub(crate) fn take_answerable(
        &mut self,
        now: Micros,
        followed_by_peers: Option<u64>,
    ) -> Vec<WaitingAnswer> {
        if self.unacknowledged.is_empty() {
            return Vec::new();
        }
        let followed = followed_by_peers.unwrap_or(UNKNOWN_REVISION);
        self.unacknowledged.retain(|_, state| {
            state.revision > followed && now.since(state.observed_at) < ACKNOWLEDGEMENT_TIMEOUT
        });
        let unacknowledged = &self.unacknowledged;
        self.waiting.extract_if(.., |answer| !unacknowledged.contains_key(&answer.job)).collect()
    }
}
