//! Checks, applies and answers heartbeats of the machines of led shards.

use crate::controller::machines::Machines;
use crate::controller::machines::machine::heartbeat::{HeartbeatSource, TaskOutcome};
use crate::controller::machines::timeouts;
use crate::controller::{Controller, Effect, Ticket};
use crate::time::Micros;
use crate::wire::{
    FencingToken, Heartbeat, HeartbeatRedirect, HeartbeatResponse, Refusal, WorkerIncarnation,
};
use log::{debug, info};

/// Maximum length in bytes of a machine or zone name that fits into a stored placement.
pub(crate) const MAX_NAME_BYTES: usize = 40;

/// Why a heartbeat is rejected as malformed.
#[derive(Debug, thiserror::Error)]
enum HeartbeatError {
    #[error("malformed heartbeat: {0}")]
    Json(#[from] serde_json::Error),
    #[error("malformed heartbeat: machine name is empty")]
    NoName,
    #[error(
        "malformed heartbeat: machine name ({machine} bytes) or zone name ({zone} bytes) is longer \
         than {MAX_NAME_BYTES} bytes"
    )]
    LongName { machine: usize, zone: usize },
    #[error("malformed heartbeat of machine {machine}: incarnation is 0, which means none")]
    NoIncarnation { machine: String },
}

/// Result of applying a heartbeat.
struct AppliedHeartbeat {
    outcomes: Vec<TaskOutcome>,
    /// Whether the worker has reported this term's fencing token, so that it may be sent
    /// commands.
    under_term: bool,
}

/// Why a heartbeat gets no response that renews the worker's lease. The texts are sent to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum HeartbeatRefusal {
    /// This process does not lead the machine's shard.
    #[error("seat not held here")]
    NotLeader { shard: usize },
    /// Cancellations may have been missed.
    #[error("cancellations are not heard")]
    CancellationsUnknown,
    /// The machine is terminated, or a later leader commands it.
    #[error("superseded")]
    Superseded,
    /// A later heartbeat, or the end of the incarnation, was recorded before this one arrived. The
    /// worker no longer waits for the response, which would claim to renew a lease that this process
    /// has declared expired.
    #[error("overtaken")]
    Overtaken,
    /// The stage of a job with a task on the machine is not known: it may be cancelled.
    #[error("jobs on the machine are being read")]
    UnknownJobs,
    /// All fencing tokens of the term are used. Without responses, the worker's incarnation ends, and
    /// with it all starts that may still arrive.
    #[error("no token is left")]
    NoFencingToken,
    /// The response would break a rule of this program, which is a bug.
    #[error("a rule would be broken")]
    RuleViolation,
}

impl Controller {
    /// Answers a worker's heartbeat, if this process leads the machine's shard and may renew
    /// the worker's lease.
    pub(crate) fn heartbeat(&mut self, ticket: Ticket, body: &[u8]) {
        let heartbeat = match parse_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                self.counts.bad_heartbeats += 1;
                debug!("{error}");
                return self.context.respond(ticket, 400, None, &Refusal::new("malformed report"));
            }
        };
        self.counts.heartbeats += 1;
        match self.renew_worker_lease(&heartbeat) {
            Ok(reply) => {
                let body = serde_json::to_vec(&reply).unwrap_or_default();
                self.context.emit(Effect::Respond { ticket, status: 200, retry_after: None, body });
            }
            Err(HeartbeatRefusal::NotLeader { shard }) => {
                self.redirect_heartbeat(ticket, shard, &heartbeat.machine);
            }
            Err(refusal) => self.refuse_heartbeat(ticket, refusal),
        }
    }

    /// Applies a heartbeat and creates the response that renews the worker's lease.
    ///
    /// # Errors
    /// Why the lease may not be renewed.
    fn renew_worker_lease(
        &mut self,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatResponse, HeartbeatRefusal> {
        let machine = heartbeat.machine.as_str();
        let shard = self.shard_of_machine(machine);
        let term = self.leading_term(shard).ok_or(HeartbeatRefusal::NotLeader { shard })?;
        if !self.cancellations_up_to_date() {
            return Err(HeartbeatRefusal::CancellationsUnknown);
        }
        if self.machines.is_superseded(heartbeat, term) {
            return Err(HeartbeatRefusal::Superseded);
        }
        let now = self.context.now;
        self.leadership.record_contact(now);
        let worker_lease = timeouts::worker_lease(&self.context.settings.workers);
        let applied = self
            .machines
            .apply_heartbeat(now, heartbeat, term, worker_lease)
            .ok_or(HeartbeatRefusal::Overtaken)?;
        self.record_outcomes(machine, applied.outcomes);
        self.changes.machines.insert(machine.to_string());

        let doubtful = self.doubtful_tasks(heartbeat);
        if !doubtful.unknown_jobs.is_empty() {
            self.read_jobs_before_renewal(machine, &doubtful);
            return Err(HeartbeatRefusal::UnknownJobs);
        }
        self.raise_fencing_token_if_due(machine);
        let commands = self.renewal_commands(machine, applied.under_term, &doubtful);
        let authority = self.command_authority(machine).ok_or(HeartbeatRefusal::NoFencingToken)?;
        self.check_before_response(machine, authority);
        if !self.may_renew(machine, authority, &doubtful, &commands) {
            return Err(HeartbeatRefusal::RuleViolation);
        }
        self.record_renewal(machine, authority, &doubtful, &commands);
        self.machines.record_answered(machine, now);
        Ok(HeartbeatResponse { fencing_token: authority.fencing_token, commands })
    }

    fn refuse_heartbeat(&mut self, ticket: Ticket, refusal: HeartbeatRefusal) {
        self.context.respond(ticket, 503, Some(1), &Refusal::new(&refusal.to_string()));
    }

    /// Redirects a worker to the leader of its machine's shard, or refuses the heartbeat if no
    /// other member is known to lead it.
    fn redirect_heartbeat(&mut self, ticket: Ticket, shard: usize, machine: &str) {
        match self.shard_leader(shard) {
            Some(leader) if leader != self.context.local_member => {
                self.leadership.record_misdirected_heartbeat(self.context.now, machine);
                let member = self.context.members[leader].clone();
                self.context.respond(ticket, 421, None, &HeartbeatRedirect { member: &member });
            }
            _ => self.refuse_heartbeat(ticket, HeartbeatRefusal::NotLeader { shard }),
        }
    }
}

impl Machines {
    /// Whether the machine of a heartbeat is terminated, is commanded by a later leader than
    /// this process, or has no fencing token left in this term.
    fn is_superseded(&self, heartbeat: &Heartbeat, term: u64) -> bool {
        let managed = self.managed.get(&heartbeat.machine);
        let current = managed
            .map_or(Some(FencingToken::of_term(term)), |managed| managed.fencing_token(term));
        current.is_none_or(|current| heartbeat.fencing_token > current)
            || self.terminated.contains(&heartbeat.machine)
    }

    /// Applies a heartbeat request; `None` if it is outdated.
    fn apply_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        term: u64,
        worker_lease: Micros,
    ) -> Option<AppliedHeartbeat> {
        let machine = &heartbeat.machine;
        let managed = self.managed.entry(machine.clone()).or_default();
        if managed.incarnation == WorkerIncarnation::NONE {
            info!("machine {machine} reports: {} in {}", heartbeat.machine_type, heartbeat.zone);
        }
        let incarnation_before = managed.incarnation;
        let outcomes = managed.apply_heartbeat(now, heartbeat, term, HeartbeatSource::Request)?;
        managed.update_responsiveness(now, incarnation_before, worker_lease);
        Some(AppliedHeartbeat { outcomes, under_term: managed.heartbeat_under_term })
    }

    /// Records that the response to a machine's heartbeat renews the worker's lease.
    fn record_answered(&mut self, machine: &str, now: Micros) {
        if let Some(managed) = self.managed.get_mut(machine) {
            managed.answered_at = Some(now);
        }
    }
}

fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    let heartbeat: Heartbeat = serde_json::from_slice(body)?;
    if heartbeat.machine.is_empty() {
        return Err(HeartbeatError::NoName);
    }
    let (machine, zone) = (heartbeat.machine.len(), heartbeat.zone.len());
    if machine > MAX_NAME_BYTES || zone > MAX_NAME_BYTES {
        return Err(HeartbeatError::LongName { machine, zone });
    }
    if heartbeat.incarnation == WorkerIncarnation::NONE {
        return Err(HeartbeatError::NoIncarnation { machine: heartbeat.machine });
    }
    Ok(heartbeat)
}
