//! What has changed since the last [`flush`](super::Controller::flush) and is still
//! to be stored, told to peers or sent to machines.

use crate::peer::Preempt;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Changes that wait for the next flush.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingChanges {
    /// Jobs of own shards with something to be stored.
    pub(super) jobs: BTreeSet<String>,
    /// Shards and machines on which a shard's desired tasks have changed.
    pub(super) desired: BTreeSet<(usize, Rc<str>)>,
    /// Own shards whose desired tasks are to be told for all machines.
    pub(super) complete_desired: BTreeSet<usize>,
    /// Own shards must say which terms they know, if nothing else.
    pub(super) known_terms: bool,
    /// Own machines whose view or commands may have changed.
    pub(super) machines: BTreeSet<String>,
    /// Jobs whose counts of tasks have changed.
    pub(super) progress: BTreeSet<String>,
    /// Jobs whose cancellation was confirmed here.
    pub(super) cancelled: Vec<String>,
    /// Machines that were found to be terminated.
    pub(super) terminated: Vec<String>,
    /// Tasks of other shards that are asked to make room.
    pub(super) preemptions: Vec<Preempt>,
    /// Peers that are to be told everything.
    pub(super) peers_to_sync: BTreeSet<usize>,
}
