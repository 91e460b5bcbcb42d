//! The machines of the shards that this process leads: heartbeats, the desired and the
//! observed state of their tasks, and the commands that close the difference.
//!
//! Owns what every shard wants on machines, what machines last reported, and where they
//! are. It starts nothing that is not stored, and nothing without a fencing token.

pub mod cancellation;
pub mod machine;
pub mod start_gate;

pub(crate) mod commands;
pub(crate) mod desired_state;
pub(crate) mod desired_tracking;
pub(crate) mod direct_commands;
pub(crate) mod heartbeats;
pub(crate) mod probes;
pub(crate) mod reconciler;
pub(crate) mod views;

use crate::peer::MachineView;
use cancellation::Cancels;
use desired_tracking::DesiredState;
use machine::ManagedMachine;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Desired and observed state of the machines.
#[derive(Debug)]
pub(crate) struct Machines {
    /// What each shard wants on machines, by shard.
    pub(crate) desired: Vec<DesiredState>,
    /// All machines as their shards' leaders last described them.
    pub(crate) views: BTreeMap<String, MachineView>,
    /// Machines of the shards that this process leads.
    pub(crate) managed: BTreeMap<String, ManagedMachine>,
    /// Machines that the cloud has no more.
    pub(crate) terminated: BTreeSet<String>,
    /// Managed machines on which a job failed, a few of each job.
    pub(crate) failed_on_machines: BTreeMap<String, BTreeSet<String>>,
    /// Incarnation and address of machines that have not reported here.
    pub(crate) address_hints: BTreeMap<String, (u64, SocketAddrV4)>,
    /// Managed machines to be probed.
    pub(crate) pending_probes: BTreeSet<String>,
    pub(crate) cancellations: Cancels,
}

impl Machines {
    /// Nothing is known of any machine, nor of what `shards` shards want.
    pub(crate) fn new(shards: usize) -> Machines {
        Machines {
            desired: vec![DesiredState::default(); shards],
            views: BTreeMap::new(),
            managed: BTreeMap::new(),
            terminated: BTreeSet::new(),
            failed_on_machines: BTreeMap::new(),
            address_hints: BTreeMap::new(),
            pending_probes: BTreeSet::new(),
            cancellations: Cancels::default(),
        }
    }
}
