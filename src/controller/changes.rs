//! What has changed since the last [`flush`](crate::controller::Controller::flush) and is still
//! to be stored, told to peers or sent to machines.

use crate::peer::Preempt;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Changes that wait for the next flush.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingChanges {
    /// Jobs of own shards with something to be stored.
    pub(crate) jobs: BTreeSet<String>,
    /// Shards and machines on which a shard's desired tasks have changed.
    pub(crate) desired: BTreeSet<(usize, Rc<str>)>,
    /// Own shards whose desired tasks are to be told for all machines.
    pub(crate) complete_desired: BTreeSet<usize>,
    /// Own shards must say which terms they know, if nothing else.
    pub(crate) announce_terms: bool,
    /// Own machines whose view or commands may have changed.
    pub(crate) machines: BTreeSet<String>,
    /// Jobs whose counts of tasks have changed.
    pub(crate) progress: BTreeSet<String>,
    /// Jobs whose cancellation was confirmed here.
    pub(crate) cancelled: Vec<String>,
    /// Machines that were found to be terminated.
    pub(crate) terminated: Vec<String>,
    /// Tasks of other shards that are asked to make room.
    pub(crate) preemptions: Vec<Preempt>,
    /// Peers that are to be told everything.
    pub(crate) peers_to_sync: BTreeSet<usize>,
}
