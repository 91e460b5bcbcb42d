//! What has changed since the last [`flush`](crate::controller::Controller::flush) and is still
//! to be stored, sent to peers or sent to machines.

use crate::controller::leadership::shard::shard_of_machine;
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
    /// Own shards whose desired tasks are to be sent for all machines.
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
    /// Tasks of other shards whose preemption is requested.
    pub(crate) preemptions: Vec<Preempt>,
    /// Peers that are to be sent everything.
    pub(crate) peers_to_sync: BTreeSet<usize>,
}

impl PendingChanges {
    /// Whether desired state or views may have to be sent.
    pub(crate) fn affect_machines(&self) -> bool {
        !self.desired.is_empty()
            || !self.complete_desired.is_empty()
            || !self.machines.is_empty()
            || self.announce_terms
    }

    /// Forgets what has changed of a shard, one of `shards`, that this process does not lead
    /// any more.
    pub(crate) fn forget_shard(&mut self, shard: usize, shards: usize) {
        self.desired.retain(|(of, _)| *of != shard);
        self.complete_desired.remove(&shard);
        self.machines.retain(|machine| shard_of_machine(machine, shards) != shard);
    }
}
