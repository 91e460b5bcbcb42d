//! Direct commands: sent to a worker at once, instead of in the response to its next heartbeat.

use crate::controller::calls::MachinesCall;
use crate::controller::context::Context;
use crate::controller::machines::attempt::AttemptId;
use crate::controller::machines::machine::ManagedMachine;
use crate::controller::machines::machine::heartbeat::HeartbeatSource;
use crate::controller::machines::machine::starts::CommandOutcome;
use crate::controller::machines::start_permit::CommandRoute;
use crate::controller::machines::timeouts;
use crate::controller::{Controller, DirectReply, Effect};
use crate::time::Micros;
use crate::wire::{Command, DirectCommands, Heartbeat};
use log::debug;
use std::net::SocketAddrV4;

/// Pause in direct commands to a machine after the last ones were not executed, or their
/// outcome is unknown. Meanwhile, heartbeat responses carry the commands.
const DIRECT_RETRY_PAUSE: Micros = Micros::secs(5);

/// A worker's answer to direct commands.
struct DirectAnswer {
    outcome: CommandOutcome,
    /// Body of a response with status 200 or 4xx; `None` for any other reply.
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
    /// The heartbeat in the answer; `None` if there is no body or it cannot be parsed.
    fn heartbeat(&self) -> Option<Heartbeat> {
        serde_json::from_slice(self.body.as_ref()?).ok()
    }
}

/// Direct commands to be sent, with the data that is needed to apply their reply.
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
    /// Registers the call, so that its reply can be applied, and emits the request.
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
    /// Address to which direct commands may be sent now; `None` if none may be sent. No further
    /// connections are opened to a silent worker, since they would only wait for it.
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
        self.record_direct_outcome(starts, outcome);
        match outcome {
            CommandOutcome::Executed => self.unresponsive = false,
            CommandOutcome::NotExecuted => {}
            // The machine gets no new tasks until there is evidence that it receives commands.
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
    /// Reconciles a machine and sends its new commands to the worker at once, if direct
    /// commands may be sent. Otherwise they wait for the worker's next heartbeat.
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

    /// Handles a worker's reply to direct commands or to a connectivity probe.
    pub(crate) fn machines_reply(&mut self, call: MachinesCall, reply: DirectReply) {
        match call {
            MachinesCall::Direct { machine, starts, term } => {
                self.direct_reply(&machine, &starts, term, reply);
            }
            MachinesCall::Inspect => self.leadership.probe_reply(&reply, self.context.now),
            MachinesCall::ReadUnknownJob { .. }
            | MachinesCall::ReadUnknownJobs { .. }
            | MachinesCall::PreloadStages { .. } => {}
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
