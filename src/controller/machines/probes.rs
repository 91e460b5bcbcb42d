//! Questions to machines of own shards: commands that order nothing, whose answers say
//! how a machine stands.

use crate::controller::calls::MachinesCall;
use crate::controller::machines::machine::MAX_NAME;
use crate::controller::{Controller, Effect};
use crate::peer::AddressHint;
use crate::wire::DirectCommands;
use std::net::SocketAddrV4;

/// Machines asked in one turn how they stand, so that a take starves nobody.
const PROBES_PER_TURN: usize = 16;
/// Hints kept at most.
const MAX_HINTS: usize = 10_000;

impl Controller {
    /// A peer tells where a machine was when it last knew of it.
    pub(crate) fn apply_hint(&mut self, hint: AddressHint) {
        let known =
            self.machines.managed.get(&hint.machine).is_some_and(|p| p.last_heartbeat.is_some());
        if known
            || self.machines.terminated.contains(&hint.machine)
            || hint.machine.len() > MAX_NAME
            || self.machines.address_hints.len() >= MAX_HINTS
        {
            return;
        }
        if let Ok(address) = hint.address.parse() {
            self.machines.address_hints.insert(hint.machine.clone(), (hint.incarnation, address));
            self.machines.pending_probes.insert(hint.machine);
        }
    }

    /// Asks machines of a shard that was just taken how they stand, by commands
    /// that order nothing. They would report within their period only, and a
    /// second time under the new term before anything may be sent to them.
    pub(crate) fn send_probes(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let mut sent = 0;
        while sent < PROBES_PER_TURN
            && let Some(machine) = self.machines.pending_probes.pop_first()
        {
            let s = self.shard_of_machine(&machine);
            if self.leading_term(s).is_none() {
                // Kept among the hints until the shard is taken.
                continue;
            }
            let Some((incarnation, address)) = self.machines.address_hints.remove(&machine) else {
                continue;
            };
            if self.machines.terminated.contains(&machine) {
                continue;
            }
            let managed = self.machines.managed.entry(machine.clone()).or_default();
            if managed.known || managed.last_heartbeat.is_some() || managed.direct_busy {
                continue;
            }
            // The session is not taken over: what it is now, its answer says.
            self.send_probe(&machine, incarnation, address);
            sent += 1;
        }
    }

    /// Sends commands that order nothing: the answer shows that it receives commands.
    pub(crate) fn send_probe(&mut self, machine: &str, incarnation: u64, address: SocketAddrV4) {
        let Some(term) = self.leading_term(self.shard_of_machine(machine)) else {
            return;
        };
        let Some(managed) = self.machines.managed.get_mut(machine).filter(|p| !p.direct_busy)
        else {
            return;
        };
        let Some(fencing_token) = managed.fencing_token(term) else {
            return;
        };
        managed.direct_busy = true;
        let body = DirectCommands { fencing_token, incarnation, commands: Vec::new() };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let op = MachinesCall::Direct { machine: machine.to_string(), starts: Vec::new(), term };
        let id = self.context.register_call(op);
        self.context.effects.push(Effect::Direct { id, address, body });
    }
}
