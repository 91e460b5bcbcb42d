//! The machines of the shards that this process leads: heartbeats, the desired and the
//! observed state of their tasks, and the commands that close the difference.
//!
//! Owns what every shard desires on machines, what machines last reported, and where they
//! are. It starts nothing whose placement is not stored, commands nothing without a fencing
//! token, and answers no heartbeat while it may have missed cancellations. It does not decide
//! where tasks go.

pub mod attempt;
pub mod cancellation;
pub mod machine;
pub mod start_gate;

pub(crate) mod commands;
pub(crate) mod desired_state;
pub(crate) mod direct_commands;
pub(crate) mod heartbeats;
pub(crate) mod probes;
pub(crate) mod quarantine;
pub(crate) mod views;

mod reconciler;
mod remaining_capacity;
mod terminations;
mod timeouts;
mod view_updates;

use crate::controller::leadership::shard::shard_of_machine;
use crate::peer::MachineView;
use cancellation::Cancellations;
use desired_state::received::DesiredState;
use machine::ManagedMachine;
use probes::LastKnownWorker;
use quarantine::FailingJobs;
use std::collections::{BTreeMap, BTreeSet};

/// Desired and observed state of the machines.
#[derive(Debug)]
pub(crate) struct Machines {
    /// What each shard desires on machines, by shard.
    desired: Vec<DesiredState>,
    /// All machines as their shards' leaders last described them.
    views: BTreeMap<String, MachineView>,
    /// Machines of the shards that this process leads.
    managed: BTreeMap<String, ManagedMachine>,
    /// Machines that the cloud has no more.
    terminated: BTreeSet<String>,
    /// Jobs that failed on managed machines.
    failing_jobs: FailingJobs,
    /// Where machines were that have sent no heartbeat here.
    address_hints: BTreeMap<String, LastKnownWorker>,
    /// Managed machines to be probed.
    pending_probes: BTreeSet<String>,
    /// Unknown jobs on managed machines, and cancellations that peers may not know.
    cancellations: Cancellations,
}

impl Machines {
    /// Nothing is known of any machine, nor of what `shards` shards desire.
    pub(crate) fn new(shards: usize) -> Machines {
        Machines {
            desired: vec![DesiredState::default(); shards],
            views: BTreeMap::new(),
            managed: BTreeMap::new(),
            terminated: BTreeSet::new(),
            failing_jobs: FailingJobs::default(),
            address_hints: BTreeMap::new(),
            pending_probes: BTreeSet::new(),
            cancellations: Cancellations::default(),
        }
    }

    /// What each shard desires on machines, by shard.
    pub(crate) fn desired(&self) -> &[DesiredState] {
        &self.desired
    }

    /// Messages of a shard's desired state may have been lost: what is absent may be desired.
    pub(crate) fn mark_desired_incomplete(&mut self, shard: usize) {
        self.desired[shard].mark_incomplete();
    }

    /// All machines as their shards' leaders last described them, by name.
    pub(crate) fn views(&self) -> &BTreeMap<String, MachineView> {
        &self.views
    }

    /// A machine as its shard's leader last described it.
    pub(crate) fn view(&self, machine: &str) -> Option<&MachineView> {
        self.views.get(machine)
    }

    /// Machines of the shards that this process leads, by name.
    pub(crate) fn managed(&self) -> &BTreeMap<String, ManagedMachine> {
        &self.managed
    }

    /// Whether a machine is known to be terminated.
    pub(crate) fn is_terminated(&self, machine: &str) -> bool {
        self.terminated.contains(machine)
    }

    /// So many terminated machines, the last in the order of their names first.
    pub(crate) fn last_terminated(&self, count: usize) -> Vec<String> {
        self.terminated.iter().rev().take(count).cloned().collect()
    }

    /// Nothing is known of these jobs, which may run on managed machines: their records are
    /// to be read.
    pub(crate) fn add_unknown_jobs(&mut self, jobs: Vec<String>) {
        self.cancellations.add_unknown(jobs);
    }

    /// Forgets the machines of a shard, one of `shards`, that this process does not lead any
    /// more.
    pub(crate) fn forget_shard(&mut self, shard: usize, shards: usize) {
        self.managed.retain(|machine, _| shard_of_machine(machine, shards) != shard);
    }

    /// Manages the machines of a shard that this process has just acquired and on which some
    /// shard desires tasks: each is unknown until it sends a heartbeat under the new term, or
    /// has been silent for a whole lease. Returns their names.
    pub(crate) fn manage_shard(&mut self, is_in_shard: impl Fn(&str) -> bool) -> BTreeSet<String> {
        let desired = self.desired.iter().flat_map(|shard| shard.machines.iter());
        let machines: BTreeSet<String> = desired
            .filter(|(_, on_machine)| !on_machine.tasks.is_empty())
            .map(|(machine, _)| machine.clone())
            .filter(|machine| is_in_shard(machine))
            .collect();
        for machine in &machines {
            self.managed.entry(machine.clone()).or_default();
        }
        self.plan_probes(is_in_shard);
        machines
    }
}
