//! Commands sent straight to a worker, instead of with the answer to its next heartbeat.

use crate::controller::calls::MachinesCall;
use crate::controller::context::Context;
use crate::controller::machines::attempt::AttemptId;
use crate::controller::machines::machine::ManagedMachine;
use crate::controller::machines::machine::heartbeat_intake::HeartbeatSource;
use crate::controller::machines::machine::starts::CommandOutcome;
use crate::controller::machines::start_gate::CommandRoute;
use crate::controller::machines::timeouts;
use crate::controller::{Controller, DirectReply, Effect};
use crate::time::Micros;
use crate::wire::{Command, DirectCommands, Heartbeat};
use log::debug;
use std::net::SocketAddrV4;

/// After direct commands that were not executed, none are sent for so long: answers to
/// heartbeats carry the commands meanwhile.
const DIRECT_RETRY_PAUSE: Micros = Micros::secs(5);

/// The answer to direct commands.
struct DirectAnswer {
    outcome: CommandOutcome,
    /// What the worker said, if it said anything.
    body: Option<Vec<u8>>,
}

impl From<DirectReply> for DirectAnswer {
    fn from(reply: DirectReply) -> DirectAnswer {
        let (outcome, body) = match reply {
            DirectReply::Answered { status: 200, body } => (CommandOutcome::Executed, Some(body)),
            DirectReply::Answered { status: 400..=499, body } => {
                (CommandOutcome::NotExecuted, Some(body))
            }
            DirectReply::Answered { .. } | DirectReply::Unknown => (CommandOutcome::Unknown, None),
            DirectReply::NotSent => (CommandOutcome::NotExecuted, None),
        };
        DirectAnswer { outcome, body }
    }
}

impl DirectAnswer {
    /// The worker's heartbeat in it, if there is a readable one.
    fn heartbeat(&self) -> Option<Heartbeat> {
        serde_json::from_slice(self.body.as_ref()?).ok()
    }
}

/// Direct commands that are to be sent, and what their reply needs to be applied.
pub(super) struct DirectRequest<'a> {
    pub(super) machine: &'a str,
    pub(super) address: SocketAddrV4,
    /// Term of the machine's shard.
    pub(super) term: u64,
    pub(super) commands: DirectCommands,
    /// The starts among the commands.
    pub(super) starts: Vec<AttemptId>,
}

impl DirectRequest<'_> {
    /// Sends the commands.
    pub(super) fn send(self, context: &mut Context) {
        let body = serde_json::to_vec(&self.commands).unwrap_or_default();
        let id = context.register_call(MachinesCall::Direct {
            machine: self.machine.to_string(),
            starts: self.starts,
            term: self.term,
        });
        context.emit(Effect::Direct { id, address: self.address, body });
    }
}

impl ManagedMachine {
    /// Where direct commands may be sent at present, if anywhere. A worker that is silent is
    /// not waited for with further connections.
    fn direct_address(&self, now: Micros, heartbeat_timeout: Micros) -> Option<SocketAddrV4> {
        let is_silent = self.last_heartbeat_at.is_none_or(|at| now.since(at) > heartbeat_timeout);
        let may_send = self.heartbeat_under_term
            && !self.direct_in_flight
            && !is_silent
            && now >= self.direct_not_before;
        self.description.address.filter(|_| may_send)
    }

    /// Records the outcome of direct commands.
    fn apply_direct_outcome(
        &mut self,
        now: Micros,
        machine: &str,
        starts: &[AttemptId],
        outcome: CommandOutcome,
    ) {
        self.direct_ended(starts, outcome);
        match outcome {
            CommandOutcome::Executed => self.unresponsive = false,
            CommandOutcome::NotExecuted => {}
            // Until something shows that it receives commands, it is given nothing more.
            CommandOutcome::Unknown => {
                debug!("machine {machine} did not answer commands");
                self.unresponsive = true;
            }
        }
        if outcome != CommandOutcome::Executed {
            self.direct_not_before = now + DIRECT_RETRY_PAUSE;
        }
    }
}

impl Controller {
    /// Sends what is new straight to the worker, instead of waiting for its
    /// next heartbeat.
    pub(crate) fn send_direct_commands(&mut self, machine: &str) {
        let (Some(authority), Some(managed)) =
            (self.command_authority(machine), self.machines.managed.get(machine))
        else {
            return;
        };
        let heartbeat_timeout = timeouts::heartbeat_timeout(&self.context.settings.workers);
        let Some(address) = managed.direct_address(self.context.now, heartbeat_timeout) else {
            return;
        };
        let commands = self.reconcile_machine(machine, CommandRoute::Direct);
        if commands.is_empty() {
            return;
        }
        if let Some(managed) = self.machines.managed.get_mut(machine) {
            managed.direct_in_flight = true;
        }
        let request = DirectRequest {
            machine,
            address,
            term: authority.term,
            starts: starts_among(&commands),
            commands: DirectCommands {
                fencing_token: authority.fencing_token,
                incarnation: authority.incarnation,
                commands,
            },
        };
        request.send(&mut self.context);
    }

    /// Applies a worker's reply.
    pub(crate) fn machines_reply(&mut self, call: MachinesCall, reply: DirectReply) {
        match call {
            MachinesCall::Direct { machine, starts, term } => {
                self.direct_reply(&machine, &starts, term, reply);
            }
            MachinesCall::Inspect => self.leadership.probe_reply(&reply, self.context.now),
            MachinesCall::ReadUnknownJob { .. } => {}
        }
    }

    fn direct_reply(&mut self, machine: &str, starts: &[AttemptId], term: u64, reply: DirectReply) {
        if !self.leadership.leads_under(self.shard_of_machine(machine), term) {
            return;
        }
        let now = self.context.now;
        let Some(managed) = self.machines.managed.get_mut(machine) else {
            return;
        };
        let answer = DirectAnswer::from(reply);
        if answer.outcome == CommandOutcome::Unknown {
            self.counts.decisions.unanswered_starts += starts.len() as u64;
        }
        managed.apply_direct_outcome(now, machine, starts, answer.outcome);
        let heartbeat = answer.heartbeat().filter(|heartbeat| {
            heartbeat.machine == machine
                && Some(heartbeat.fencing_token) <= managed.fencing_token(term)
        });
        if let Some(heartbeat) = heartbeat
            && let Some(outcomes) =
                managed.apply_heartbeat(now, &heartbeat, term, HeartbeatSource::DirectResponse)
        {
            self.record_outcomes(machine, outcomes);
        }
        self.send_direct_commands(machine);
        self.changes.machines.insert(machine.to_string());
    }
}

fn starts_among(commands: &[Command]) -> Vec<AttemptId> {
    let start = |command: &Command| match command {
        Command::Start { task, attempt } => AttemptId::parse(task, *attempt),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}
