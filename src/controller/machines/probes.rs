//! Probes of the machines of led shards: empty direct commands, which workers answer with a
//! heartbeat. They show which tasks run on the machines of a newly acquired shard, and whether
//! an unresponsive machine receives commands again.

use crate::controller::Controller;
use crate::controller::machines::Machines;
use crate::controller::machines::direct_commands::DirectRequest;
use crate::controller::machines::heartbeats::MAX_NAME_BYTES;
use crate::controller::machines::machine::ManagedMachine;
use crate::peer::AddressHint;
use crate::wire::{DirectCommands, WorkerIncarnation};
use std::net::SocketAddrV4;

/// Maximum number of probes sent in one tick, so that the failover of a large shard does not
/// starve other work.
const MAX_PROBES_PER_TICK: usize = 16;
/// Maximum number of machines whose last known address is kept.
const MAX_ADDRESS_HINTS: usize = 10_000;

/// Last known incarnation and address of a worker; both may be outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LastKnownWorker {
    /// Incarnation to which the probe is addressed.
    pub(crate) incarnation: WorkerIncarnation,
    /// Address for direct commands.
    pub(crate) address: SocketAddrV4,
}

/// A machine to be probed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ProbeTarget {
    /// Name of the machine.
    pub(crate) machine: String,
    /// Worker to which the probe is sent.
    pub(crate) last_known: LastKnownWorker,
}

impl ManagedMachine {
    /// Target for a probe of this machine; `None` if its address is not known.
    pub(super) fn probe_target(&self, machine: &str) -> Option<ProbeTarget> {
        let last_known =
            LastKnownWorker { incarnation: self.incarnation, address: self.description.address? };
        Some(ProbeTarget { machine: machine.to_string(), last_known })
    }

    /// Whether no heartbeat was received from it under this term, and no direct command is in
    /// flight whose answer would be one.
    fn needs_probe(&self) -> bool {
        !self.heartbeat_under_term && self.last_heartbeat_at.is_none() && !self.direct_in_flight
    }
}

impl Machines {
    /// Records the last address that a peer has observed for a machine, and queues a probe.
    /// Does nothing if the machine is terminated or has sent a heartbeat to this process
    /// itself, if its name is too long, or if too many hints are stored.
    pub(crate) fn apply_address_hint(&mut self, hint: AddressHint) {
        let managed = self.managed.get(&hint.machine);
        if managed.is_some_and(|managed| managed.last_heartbeat_at.is_some())
            || self.terminated.contains(&hint.machine)
            || hint.machine.len() > MAX_NAME_BYTES
            || self.address_hints.len() >= MAX_ADDRESS_HINTS
        {
            return;
        }
        if let Ok(address) = hint.address.parse() {
            let last_known =
                LastKnownWorker { incarnation: WorkerIncarnation(hint.incarnation), address };
            self.address_hints.insert(hint.machine.clone(), last_known);
            self.pending_probes.insert(hint.machine);
        }
    }

    /// Queues probes of the machines of a newly acquired shard whose addresses are known, from
    /// the views of the earlier leader or from a peer that received those views.
    pub(crate) fn plan_probes(&mut self, is_in_shard: impl Fn(&str) -> bool) {
        for view in self.views.values().filter(|view| !view.address.is_empty()) {
            if let Ok(address) = view.address.parse() {
                self.address_hints
                    .entry(view.machine.clone())
                    .or_insert(LastKnownWorker { incarnation: view.worker_incarnation(), address });
            }
        }
        let of_shard = self.address_hints.keys().filter(|machine| is_in_shard(machine));
        self.pending_probes.extend(of_shard.cloned());
    }

    /// Removes and returns the address hint of a machine that is about to be probed, and starts
    /// to manage the machine. `None` if there is no hint, the machine is terminated, or the
    /// probe is no longer needed.
    fn take_probe(&mut self, machine: &str) -> Option<LastKnownWorker> {
        let last_known = self.address_hints.remove(machine)?;
        if self.terminated.contains(machine) {
            return None;
        }
        let managed = self.managed.entry(machine.to_string()).or_default();
        managed.needs_probe().then_some(last_known)
    }
}

impl Controller {
    /// Probes machines of newly acquired shards. Without a probe, this process would have to
    /// wait for a machine's next regular heartbeat, and then for another one under the new
    /// term, before it may send commands to it.
    pub(crate) fn send_probes(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let mut sent = 0;
        while sent < MAX_PROBES_PER_TICK
            && let Some(machine) = self.machines.pending_probes.pop_first()
        {
            if self.leading_term(self.shard_of_machine(&machine)).is_none() {
                // Its address hint stays until this process acquires the shard.
                continue;
            }
            // The hinted incarnation only addresses the probe. The current one is taken from
            // the answer.
            if let Some(last_known) = self.machines.take_probe(&machine) {
                self.send_probe(&machine, last_known);
                sent += 1;
            }
        }
    }

    /// Sends an empty direct command to a machine. An answer shows that the machine receives
    /// commands. Does nothing if another direct command is in flight.
    pub(crate) fn send_probe(&mut self, machine: &str, last_known: LastKnownWorker) {
        let Some(term) = self.leading_term(self.shard_of_machine(machine)) else {
            return;
        };
        let managed = self.machines.managed.get_mut(machine);
        let Some(managed) = managed.filter(|managed| !managed.direct_in_flight) else {
            return;
        };
        let Some(fencing_token) = managed.fencing_token(term) else {
            return;
        };
        managed.direct_in_flight = true;
        let request = DirectRequest {
            machine,
            address: last_known.address,
            term,
            starts: Vec::new(),
            commands: DirectCommands {
                fencing_token,
                incarnation: last_known.incarnation,
                commands: Vec::new(),
            },
        };
        request.send(&mut self.context);
    }
}
