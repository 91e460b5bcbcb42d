//! Permits to start tasks, and the only place that creates start commands.
//!
//! A start command is created from a [`StartPermit`], which [`CommandAuthority::permit_start`]
//! grants on the authority of the leader of the machine's shard, the desired task, and the
//! last known stage of its job. A granted permit that turns out to be invalid when it is used
//! is a bug in this program: the violation is logged with its evidence, and the start is not
//! sent.

use crate::controller::decision_log::{self, CommandEvidence, DecisionCounts};
use crate::controller::jobs::job::StoredStage;
use crate::controller::machines::attempt::AttemptId;
use crate::peer::{DesiredTask, Phase};
use crate::time::Micros;
use crate::wire::{Command, FencingToken, WorkerIncarnation};

/// How commands reach a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandRoute {
    /// In the response to a heartbeat, with all commands that are still to be executed.
    HeartbeatResponse,
    /// In a request to the worker, with only the commands that have not been sent yet.
    Direct,
}

/// Authority of the leader of a machine's shard to command this machine at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandAuthority {
    /// Time at which the authority is used, by this process's clock.
    pub now: Micros,
    /// Shard of the machine.
    pub shard: usize,
    /// Term under which this process leads the shard.
    pub term: u64,
    /// Fencing token of the commands to this machine.
    pub fencing_token: FencingToken,
    /// Incarnation of the machine's worker.
    pub incarnation: WorkerIncarnation,
    /// Until when this process's controller lease is guaranteed to be valid, by its own clock.
    pub lease_until: Micros,
    /// Whether this process has received every cancellation that was confirmed longer ago than
    /// the permitted lag, and since it began to follow the jobs.
    pub cancellations_known: bool,
}

/// Last known stage of a job, on which the permission of starts depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobEvidence {
    /// Stage in the key-value store.
    pub stage: StoredStage,
    /// Revision of the job's record with this stage; 0 if a peer reported the stage.
    pub revision: u64,
}

/// Why a task that a shard desires on a machine may not be started there now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartRefusal {
    /// The placement is not stored, or the attempt has ended. A start whose placement is not
    /// stored could run beside the next attempt after a failover.
    #[error("the placement is not stored yet, or the attempt has ended")]
    NotDesired,
    /// The task's owner desires that it stops.
    #[error("the task is to be stopped")]
    StopRequested,
    /// The task's owner sent its desired state before it knew the current term of the machine's
    /// shard. An earlier leader of that shard may have refused the task, and the owner may have
    /// started it elsewhere since.
    #[error("the task's owner did not know the current term of the machine's shard")]
    OwnerUnawareOfTerm,
    /// The task was placed in another incarnation of the machine.
    #[error("the task was placed in another incarnation of the machine")]
    OtherIncarnation,
    /// The last known stage of the job is done or cancelled.
    #[error("the job is known to be cancelled or done")]
    JobOver,
    /// This process may have missed cancellations, so the job may be cancelled.
    #[error("cancellations may have been missed")]
    CancellationsUnknown,
}

impl StartRefusal {
    /// Whether this refusal requires that a start of the task that may still arrive is revoked.
    pub fn requires_revocation(self) -> bool {
        match self {
            StartRefusal::NotDesired | StartRefusal::StopRequested | StartRefusal::JobOver => true,
            StartRefusal::OwnerUnawareOfTerm
            | StartRefusal::OtherIncarnation
            | StartRefusal::CancellationsUnknown => false,
        }
    }
}

/// Why a start that may still arrive must not be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevocationReason {
    /// It is certain that no shard desires the attempt on this machine.
    DesiredByNoShard,
    /// The start would be refused if it were decided now.
    Refused(StartRefusal),
}

impl RevocationReason {
    /// Whether the start must be revoked at once, without waiting for the outcome of a direct
    /// command that is in flight.
    pub fn is_urgent(self) -> bool {
        self == RevocationReason::Refused(StartRefusal::JobOver)
    }
}

/// A safety rule that a start would break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartViolation {
    /// The controller lease has expired: another process may lead the shard.
    #[error("this process's lease has expired by its clock")]
    LeaseExpired,
    /// The fencing token is below the term and would not fence commands of earlier leaders.
    #[error("the fencing token is below the term")]
    FencingTokenBelowTerm,
    /// The permit was given for another attempt.
    #[error("the permit is for another attempt")]
    OtherAttempt,
}

/// An action that this program must never take, detected before it was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CommandViolation {
    /// A start would break a rule.
    #[error("start: {0}")]
    Start(#[from] StartViolation),
    /// A heartbeat response would renew the lease of a worker at which a start of a job that is
    /// done or cancelled may still arrive.
    #[error("a heartbeat response to a worker that may still receive a start of an ended job")]
    OpenStartOfEndedJob,
    /// A heartbeat response would renew the lease of a worker with a task of a cancelled job and not
    /// stop the task.
    #[error("a heartbeat response that keeps a task of a cancelled job")]
    CancelledTaskKept,
    /// A heartbeat response would renew the lease of a worker with a task of a job that may be
    /// cancelled.
    #[error("a heartbeat response that keeps a task of a job whose stage is unknown")]
    UnknownJobKept,
}

/// Permit to start one attempt on one machine, with the evidence on which it was granted.
#[derive(Debug, Clone, Copy)]
pub struct StartPermit<'a> {
    authority: CommandAuthority,
    task: &'a DesiredTask,
    /// Term of the machine's shard that the task's owner knew when it sent its desired state.
    owner_known_term: u64,
    job: Option<JobEvidence>,
}

impl CommandAuthority {
    /// Grants the permit to start a desired task. `owner_known_term` is the term of the
    /// machine's shard that the task's owner knew when it sent its desired state.
    ///
    /// # Errors
    /// The first reason found why the task may not be started.
    pub fn permit_start<'a>(
        &self,
        task: &'a DesiredTask,
        owner_known_term: u64,
        job: Option<JobEvidence>,
    ) -> Result<StartPermit<'a>, StartRefusal> {
        if task.phase() != Phase::Stored {
            return Err(StartRefusal::NotDesired);
        }
        if job.is_some_and(|job| job.stage != StoredStage::Accepted) {
            return Err(StartRefusal::JobOver);
        }
        if task.stop_ms.is_some() {
            return Err(StartRefusal::StopRequested);
        }
        if owner_known_term < self.term {
            return Err(StartRefusal::OwnerUnawareOfTerm);
        }
        if task.incarnation != self.incarnation {
            return Err(StartRefusal::OtherIncarnation);
        }
        if !self.cancellations_known {
            return Err(StartRefusal::CancellationsUnknown);
        }
        Ok(StartPermit { authority: *self, task, owner_known_term, job })
    }

    /// The rule that any action under this authority would break, if any.
    fn violation(&self) -> Option<StartViolation> {
        if self.now >= self.lease_until {
            Some(StartViolation::LeaseExpired)
        } else if self.fencing_token < FencingToken::of_term(self.term) {
            Some(StartViolation::FencingTokenBelowTerm)
        } else {
            None
        }
    }

    /// The fields of this authority that every log line about commands to the machine carries.
    pub(crate) fn evidence<'a>(&self, machine: &'a str) -> CommandEvidence<'a> {
        CommandEvidence {
            machine,
            incarnation: self.incarnation,
            shard: self.shard,
            term: self.term,
            fencing_token: self.fencing_token,
        }
    }

    /// Counts and logs a decision that would have broken a rule and was not carried out. Panics
    /// in debug builds, so that tests fail.
    pub(crate) fn record_violation(
        &self,
        counts: &mut DecisionCounts,
        machine: &str,
        violation: CommandViolation,
    ) {
        counts.violations += 1;
        decision_log::violation(self.evidence(machine), self, violation);
        debug_assert!(false, "{machine}: {violation:?} under {self:?}");
    }
}

impl StartPermit<'_> {
    /// Creates the command to start the permitted attempt. `attempt` must be the one for which
    /// the permit was granted.
    ///
    /// # Errors
    /// The rule that the start would break; the start must not be sent then.
    pub fn command(
        &self,
        machine: &str,
        attempt: &AttemptId,
        route: CommandRoute,
    ) -> Result<Command, StartViolation> {
        if let Some(violation) = self.authority.violation() {
            return Err(violation);
        }
        if !attempt.identifies(self.task) {
            return Err(StartViolation::OtherAttempt);
        }
        let authority = &self.authority;
        log::debug!(
            target: decision_log::TARGET,
            job = attempt.job.as_str(), task = attempt.index, attempt = attempt.attempt,
            machine = machine, incarnation = authority.incarnation.0,
            shard = authority.shard, term = authority.term, fencing_token = authority.fencing_token.0,
            lease_left_ms = authority.lease_until.since(authority.now).as_millis(),
            owner_known_term = self.owner_known_term,
            job_stage:? = self.job.map(|job| job.stage),
            job_revision:? = self.job.map(|job| job.revision),
            route:? = route;
            "start"
        );
        Ok(Command::Start { task: attempt.task_name(), attempt: attempt.attempt })
    }
}
