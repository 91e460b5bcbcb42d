//! When a user is answered that a job is done or cancelled.
//!
//! Users may ask all nodes at the same moment. A node that has read a job's key just
//! before its last change would answer with an older stage after another node has
//! answered with the terminal one. So a terminal state is answered once every peer
//! knows of it, by the revision up to which it has followed the jobs; or, where a peer
//! does not say so, once whatever it may have read before is too old to be answered.

use crate::controller::api::status_queries::MAX_READ_AGE;
use crate::controller::event::Ticket;
use crate::time::Micros;
use std::collections::BTreeMap;

/// After this no node answers with what it has read before the last change: they read
/// anew what is older than [`MAX_READ_AGE`]. The rest is for clocks and the way to the user.
const ACKNOWLEDGED_AFTER: Micros = Micros(MAX_READ_AGE.0 + 150_000);
/// Stands for a revision that is not known yet: no peer has followed so far.
const UNKNOWN_REVISION: u64 = u64::MAX;

/// A terminal state that some peer may not know of.
#[derive(Debug, Clone, Copy)]
struct UnacknowledgedState {
    /// When it was learnt here.
    learnt_at: Micros,
    /// The revision that made it so, or [`UNKNOWN_REVISION`].
    revision: u64,
}

/// An answer that waits until a terminal state is acknowledged.
#[derive(Debug)]
pub(crate) struct WaitingAnswer {
    /// The request to answer.
    pub(crate) ticket: Ticket,
    /// The job that is answered about.
    pub(crate) job: String,
}

/// Terminal states that were learnt a moment ago.
#[derive(Debug, Default)]
pub(crate) struct TerminalStates {
    unacknowledged: BTreeMap<String, UnacknowledgedState>,
    /// Answers that wait for one of them.
    waiting: Vec<WaitingAnswer>,
    /// Peers are to be notified that this process has followed the jobs further.
    notify_peers: bool,
}

impl TerminalStates {
    /// A job was found to be over; `revision` is 0 if a peer said so, who does not
    /// know it.
    pub(crate) fn add(&mut self, now: Micros, job: &str, revision: u64) {
        self.notify_peers = true;
        let revision = if revision == 0 { UNKNOWN_REVISION } else { revision };
        let state = UnacknowledgedState { learnt_at: now, revision };
        self.unacknowledged.insert(job.to_string(), state);
    }

    /// Whether every peer knows that a job is over, or has had the time to.
    pub(crate) fn acknowledged(&self, job: &str) -> bool {
        !self.unacknowledged.contains_key(job)
    }

    /// Learns the revision of a terminal state of which a peer had notified without it.
    pub(crate) fn correct(&mut self, job: &str, revision: u64) {
        if let Some(state) = self.unacknowledged.get_mut(job)
            && state.revision == UNKNOWN_REVISION
            && revision > 0
        {
            state.revision = revision;
            self.notify_peers = true;
        }
    }

    /// Whether peers are to be notified how far this process has followed the jobs; true
    /// once for each change.
    pub(crate) fn take_peer_notification(&mut self) -> bool {
        std::mem::take(&mut self.notify_peers)
    }

    /// Puts off an answer until the next terminal state is acknowledged.
    pub(crate) fn await_acknowledgement(&mut self, ticket: Ticket, job: &str) {
        self.waiting.push(WaitingAnswer { ticket, job: job.to_string() });
    }

    /// Takes out the answers that need not wait any more. All peers have followed the
    /// jobs up to the revision `followed_by_peers`; `None` if there are no peers.
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
            state.revision > followed && now.since(state.learnt_at) < ACKNOWLEDGED_AFTER
        });
        let unacknowledged = &self.unacknowledged;
        self.waiting.extract_if(.., |answer| !unacknowledged.contains_key(&answer.job)).collect()
    }
}
