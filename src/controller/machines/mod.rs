//! Management of the machines in the shards that this process leads: heartbeats, the desired
//! and observed state of their tasks, and the commands that reconcile the two.
//!
//! Owns the desired state of every shard, the latest view of every machine, and the last
//! known worker addresses. It starts no task before its placement is stored, sends no command
//! without a fencing token, and answers no heartbeat while it may have missed cancellations.
//! Where tasks are placed is decided by the scheduler.
//!
//! The owner of a job and its tasks is the leader of the job's shard. The shard of the machine on
//! which a task runs may be another one, with another leader.

pub mod attempt;
pub mod cancellation;
pub mod machine;
pub mod start_permit;
pub mod unknown_jobs;

pub(crate) mod commands;
pub(crate) mod desired_state;
pub(crate) mod direct_commands;
pub(crate) mod heartbeats;
pub(crate) mod probes;
pub(crate) mod quarantine;
pub(crate) mod views;

mod reconciler;
mod remaining_capacity;
mod renewal;
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
use renewal::RenewalLog;
use std::collections::{BTreeMap, BTreeSet};
use unknown_jobs::UnknownJobs;

/// Desired and observed state of the machines.
#[derive(Debug)]
pub(crate) struct Machines {
    /// Last received desired state of each shard, indexed by shard number.
    desired: Vec<DesiredState>,
    /// Latest view of each machine, as sent by the leader of its shard.
    views: BTreeMap<String, MachineView>,
    /// Machines of the shards that this process leads.
    managed: BTreeMap<String, ManagedMachine>,
    /// Machines that no longer exist in the cloud; the list is bounded.
    terminated: BTreeSet<String>,
    /// Jobs that failed on managed machines.
    failing_jobs: FailingJobs,
    /// Last known addresses of machines that have not sent a heartbeat to this process.
    address_hints: BTreeMap<String, LastKnownWorker>,
    /// Machines waiting to be probed.
    pending_probes: BTreeSet<String>,
    /// Cancellations that peers may not have received.
    cancellations: Cancellations,
    /// Jobs whose stage is not known and whose records are read.
    unknown_jobs: UnknownJobs,
    /// Limits the log lines about renewals of workers' leases.
    renewal_log: RenewalLog,
}

impl Machines {
    /// Creates an empty state: no machines, and an incomplete desired state for each of
    /// `shards` shards.
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
            unknown_jobs: UnknownJobs::default(),
            renewal_log: RenewalLog::default(),
        }
    }

    /// Last received desired state of each shard, indexed by shard number.
    pub(crate) fn desired(&self) -> &[DesiredState] {
        &self.desired
    }

    /// Marks a shard's desired state as incomplete, since updates may have been lost: a task
    /// that is absent from it may still be desired.
    pub(crate) fn mark_desired_incomplete(&mut self, shard: usize) {
        self.desired[shard].mark_incomplete();
    }

    /// Latest view of each machine, by name, as sent by the leader of its shard.
    pub(crate) fn views(&self) -> &BTreeMap<String, MachineView> {
        &self.views
    }

    /// Latest view of a machine; `None` if none was received or the machine is terminated.
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

    /// At most `count` terminated machines, in descending order of their names.
    pub(crate) fn last_terminated(&self, count: usize) -> Vec<String> {
        self.terminated.iter().rev().take(count).cloned().collect()
    }

    /// Stops managing the machines of a shard that this process no longer leads. `shards` is
    /// the total number of shards.
    pub(crate) fn forget_shard(&mut self, shard: usize, shards: usize) {
        self.managed.retain(|machine, _| shard_of_machine(machine, shards) != shard);
    }

    /// Starts to manage the machines of a newly acquired shard on which any shard desires
    /// tasks, and returns their names. The state of each machine is unknown until it sends a
    /// heartbeat under the new term, or has been silent for a whole lease.
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
