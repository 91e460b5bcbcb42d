//! Commands sent straight to a worker, instead of with the answer to its next report.

use crate::controller::calls::MachinesCall;
use crate::controller::machines::machine::Key;
use crate::controller::machines::start_gate::CommandRoute;
use crate::controller::{Controller, DirectReply, Effect};
use crate::time::Micros;
use crate::wire::{Command, DirectCommands, Heartbeat};
use log::debug;

/// After direct commands that were not executed, none are sent for so long: reports
/// carry the commands meanwhile.
const DIRECT_PAUSE: Micros = Micros::secs(5);

impl Controller {
    /// Sends what is new straight to the worker, instead of waiting for its
    /// next report.
    pub(crate) fn send_direct_commands(&mut self, machine: &str) {
        let (Some(authority), Some(managed)) =
            (self.command_authority(machine), self.machines.managed.get(machine))
        else {
            return;
        };
        // A worker that is silent is not waited for with further connections.
        let quiet =
            managed.last_heartbeat.is_none_or(|at| self.context.now.since(at) > self.silent());
        if !managed.known || managed.direct_busy || quiet || self.context.now < managed.direct_after
        {
            return;
        }
        let Some(address) = managed.address else {
            return;
        };
        let commands = self.commands(machine, CommandRoute::Direct);
        if commands.is_empty() {
            return;
        }
        let starts: Vec<Key> = commands
            .iter()
            .filter_map(|c| match c {
                Command::Start { task, attempt } => Key::parse(task, *attempt),
                _ => None,
            })
            .collect();
        if let Some(managed) = self.machines.managed.get_mut(machine) {
            managed.direct_busy = true;
        }
        let body = DirectCommands {
            fencing_token: authority.fencing_token,
            incarnation: authority.incarnation,
            commands,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let op =
            MachinesCall::Direct { machine: machine.to_string(), starts, term: authority.term };
        let id = self.context.register_call(op);
        self.context.effects.push(Effect::Direct { id, address, body });
    }

    /// Takes in a worker's reply.
    pub(crate) fn machines_reply(&mut self, call: MachinesCall, reply: DirectReply) {
        match call {
            MachinesCall::Direct { machine, starts, term } => {
                self.direct_reply(&machine, &starts, term, reply);
            }
            MachinesCall::Inspect => self.inspected(&reply),
            MachinesCall::ReadUnknown { .. } => {}
        }
    }

    pub(crate) fn direct_reply(
        &mut self,
        machine: &str,
        starts: &[Key],
        term: u64,
        reply: DirectReply,
    ) {
        let s = self.shard_of_machine(machine);
        if self.leadership.shards[s].leadership.as_ref().is_none_or(|m| m.term != term) {
            return;
        }
        let now = self.context.now;
        let Some(managed) = self.machines.managed.get_mut(machine) else {
            return;
        };
        let (executed, body) = match reply {
            DirectReply::Answered { status: 200, body } => (Some(true), Some(body)),
            DirectReply::Answered { status: 400..=499, body } => (Some(false), Some(body)),
            DirectReply::Answered { .. } | DirectReply::Unknown => (None, None),
            DirectReply::NotSent => (Some(false), None),
        };
        managed.direct_ended(starts, executed);
        if executed.is_none() {
            self.counts.decisions.unanswered_starts += starts.len() as u64;
        }
        match executed {
            Some(true) => managed.unresponsive = false,
            Some(false) => {}
            // Until something shows that it receives commands, it is given nothing more.
            None => {
                debug!("machine {machine} did not answer commands");
                managed.unresponsive = true;
            }
        }
        if executed != Some(true) {
            managed.direct_after = now + DIRECT_PAUSE;
        }
        let heartbeat = body.and_then(|b| serde_json::from_slice::<Heartbeat>(&b).ok());
        if let Some(heartbeat) = heartbeat.filter(|r| {
            r.machine == machine && Some(r.fencing_token) <= managed.fencing_token(term)
        }) && let Some(outcomes) = managed.apply_heartbeat(now, &heartbeat, term, false)
        {
            self.note_outcomes(machine, outcomes);
        }
        self.send_direct_commands(machine);
        self.changes.machines.insert(machine.to_string());
    }
}
