//! Probes of machines of own shards: direct commands that order nothing, whose answers are
//! heartbeats. They find what runs on the machines of a shard that was just acquired, and
//! whether an unresponsive machine receives commands again.

use crate::controller::Controller;
use crate::controller::machines::Machines;
use crate::controller::machines::direct_commands::DirectRequest;
use crate::controller::machines::heartbeats::MAX_NAME_BYTES;
use crate::controller::machines::machine::ManagedMachine;
use crate::peer::AddressHint;
use crate::wire::{DirectCommands, WorkerIncarnation};
use std::net::SocketAddrV4;

/// Probes sent in one turn at most: the failover of a large shard must not starve the rest.
const MAX_PROBES_PER_TURN: usize = 16;
/// Machines whose address is remembered at most.
const MAX_ADDRESS_HINTS: usize = 10_000;

/// Where a worker was when it was last heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LastKnownWorker {
    /// Its incarnation.
    pub(crate) incarnation: WorkerIncarnation,
    /// Its address for direct commands.
    pub(crate) address: SocketAddrV4,
}

/// A machine that is to be probed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ProbeTarget {
    /// Name.
    pub(crate) machine: String,
    /// Its worker.
    pub(crate) last_known: LastKnownWorker,
}

impl ManagedMachine {
    /// Where a probe of this machine goes; `None` if its address is not known.
    pub(super) fn probe_target(&self, machine: &str) -> Option<ProbeTarget> {
        let last_known =
            LastKnownWorker { incarnation: self.incarnation, address: self.description.address? };
        Some(ProbeTarget { machine: machine.to_string(), last_known })
    }

    /// Whether nothing was heard of it under this term, and nothing is under way that will
    /// be answered.
    fn needs_probe(&self) -> bool {
        !self.heartbeat_under_term && self.last_heartbeat_at.is_none() && !self.direct_in_flight
    }
}

impl Machines {
    /// Records where a peer last knew a machine to be.
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

    /// Plans probes of the machines of a shard that was just acquired, where their addresses
    /// are known: from the views of the earlier leader, or from a peer that had received them.
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

    /// Takes the address of a machine that is to be probed now, and manages it.
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
    /// Probes machines of a shard that was just acquired. They would send a heartbeat within
    /// their interval only, and a second one under the new term before anything may be sent
    /// to them.
    pub(crate) fn send_probes(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let mut sent = 0;
        while sent < MAX_PROBES_PER_TURN
            && let Some(machine) = self.machines.pending_probes.pop_first()
        {
            if self.leading_term(self.shard_of_machine(&machine)).is_none() {
                // Kept among the hints until the shard is acquired.
                continue;
            }
            // The incarnation is not adopted: what it is now, the answer says.
            if let Some(last_known) = self.machines.take_probe(&machine) {
                self.send_probe(&machine, last_known);
                sent += 1;
            }
        }
    }

    /// Sends commands that order nothing: the answer shows that it receives commands.
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
