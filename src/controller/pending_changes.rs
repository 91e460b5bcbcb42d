//! Changes since the last [`flush`](crate::controller::Controller::flush) that are still to be
//! stored, sent to peers or sent to machines.

use crate::controller::leadership::shard::shard_of_machine;
use crate::peer::PreemptionRequest;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Changes that wait for the next flush.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingChanges {
    /// Jobs of led shards with changes to be stored.
    pub(crate) jobs: BTreeSet<String>,
    /// Pairs of a shard and a machine on which the shard's desired tasks have changed.
    pub(crate) desired: BTreeSet<(usize, Rc<str>)>,
    /// Led shards whose desired tasks are to be sent for all machines.
    pub(crate) complete_desired: BTreeSet<usize>,
    /// The led shards must send the terms that they have observed, even if nothing else has
    /// changed.
    pub(crate) announce_terms: bool,
    /// Machines of led shards whose view or commands may have changed.
    pub(crate) machines: BTreeSet<String>,
    /// Jobs whose task counts have changed.
    pub(crate) progress: BTreeSet<String>,
    /// Jobs whose cancellation this process has confirmed.
    pub(crate) cancelled: Vec<String>,
    /// Machines that were found to be terminated.
    pub(crate) terminated: Vec<String>,
    /// Tasks of other shards whose preemption is requested.
    pub(crate) preemptions: Vec<PreemptionRequest>,
    /// Peers that await a full sync.
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

    /// Drops the changes of a shard that this process no longer leads; `shards` is the number of
    /// all shards.
    pub(crate) fn forget_shard(&mut self, shard: usize, shards: usize) {
        self.desired.retain(|(task_shard, _)| *task_shard != shard);
        self.complete_desired.remove(&shard);
        self.machines.retain(|machine| shard_of_machine(machine, shards) != shard);
    }
}
