//! The only place that forms the command to start a task.
//!
//! A start is formed from a [`StartPermit`], and that only comes from the authority of the
//! leader of the machine's shard and what is known of the task and its job. What is wrong
//! with a permit that has been granted is a fault of this program: it is logged with the
//! evidence and the start is not sent.

use crate::controller::decision_log::{self, CommandEvidence, DecisionCounts};
use crate::controller::jobs::job::StoredStage;
use crate::controller::machines::attempt::AttemptId;
use crate::peer::{DesiredTask, Phase};
use crate::time::Micros;
use crate::wire::{Command, FencingToken, WorkerIncarnation};

/// How commands reach a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandRoute {
    /// In the response to a heartbeat: everything that is still to be done.
    HeartbeatResponse,
    /// Straight to the worker: only what has not been sent yet.
    Direct,
}

/// What the leader of a machine's shard may act on at present, towards this machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandAuthority {
    /// The time at which it is used.
    pub now: Micros,
    /// Shard of the machine.
    pub shard: usize,
    /// Term under which this process leads the shard.
    pub term: u64,
    /// Fencing token of the commands to this machine.
    pub fencing_token: FencingToken,
    /// Incarnation of the machine's worker.
    pub incarnation: WorkerIncarnation,
    /// Until when this process's lease is surely valid, by its own clock.
    pub lease_until: Micros,
    /// Whether every cancellation that was confirmed long enough ago is known.
    pub cancellations_known: bool,
}

/// What is known of a job from the key-value store, as far as starts depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobEvidence {
    /// Stage.
    pub stage: StoredStage,
    /// Revision of the job's record that says so; 0 if a peer said it.
    pub revision: u64,
}

/// Why a task that a shard desires on a machine may not be started there now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartRefusal {
    /// A start that is not stored could run beside the next attempt after a failover.
    #[error("the placement is not stored yet, or the attempt has ended")]
    NotDesired,
    /// The task is to be stopped.
    #[error("the task is to be stopped")]
    StopRequested,
    /// An earlier leader of the machine's shard may have refused the task, and its owner may
    /// have begun it elsewhere since.
    #[error("the task's owner did not know the present term of the machine's shard")]
    OwnerUnawareOfTerm,
    /// The task was placed in another incarnation of the machine.
    #[error("the task was placed in another incarnation of the machine")]
    OtherIncarnation,
    /// The job is known to be cancelled or done.
    #[error("the job is known to be cancelled or done")]
    JobOver,
    /// Cancellations may have been missed.
    #[error("cancellations may have been missed")]
    CancellationsUnknown,
}

impl StartRefusal {
    /// Whether a start of the task that may still arrive must be revoked.
    pub fn revokes(self) -> bool {
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
    /// It would be refused if it were decided now.
    Refused(StartRefusal),
}

impl RevocationReason {
    /// Whether it cannot wait for the outcome of a command that has just been sent.
    pub fn is_urgent(self) -> bool {
        self == RevocationReason::Refused(StartRefusal::JobOver)
    }
}

/// A rule of this program that a start would break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartViolation {
    /// Another process may lead the shard.
    #[error("this process's lease has expired by its clock")]
    LeaseExpired,
    /// The fencing token fences nothing.
    #[error("the fencing token is below the term")]
    FencingTokenBelowTerm,
    /// The permit was given for another attempt.
    #[error("the permit is for another attempt")]
    OtherAttempt,
}

/// Something that this program must never do, found before it was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CommandViolation {
    /// A start would break a rule.
    #[error("start: {0}")]
    Start(#[from] StartViolation),
    /// An answer would renew a worker's lease while a start of a job that is over may arrive.
    #[error("an answer to a worker to which a start of a job that is over may arrive")]
    OpenStartOfEndedJob,
}

/// The permit to start one attempt on one machine, with what it rests on.
#[derive(Debug, Clone, Copy)]
pub struct StartPermit<'a> {
    authority: CommandAuthority,
    task: &'a DesiredTask,
    /// Term of the machine's shard that the task's owner knew.
    owner_known_term: u64,
    job: Option<JobEvidence>,
}

impl CommandAuthority {
    /// Whether a desired task may be started; `owner_known_term` is the term of the
    /// machine's shard that the task's owner knew when it sent its desired state.
    ///
    /// # Errors
    /// The first reason that is found against it.
    pub fn permit_start<'a>(
        &self,
        task: &'a DesiredTask,
        owner_known_term: u64,
        job: Option<JobEvidence>,
    ) -> Result<StartPermit<'a>, StartRefusal> {
        if task.phase() != Phase::DesiredHere {
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

    /// The rule that acting on this authority would break at all, if any.
    fn violation(&self) -> Option<StartViolation> {
        if self.now >= self.lease_until {
            Some(StartViolation::LeaseExpired)
        } else if self.fencing_token < FencingToken::of_term(self.term) {
            Some(StartViolation::FencingTokenBelowTerm)
        } else {
            None
        }
    }

    /// What every log line about commands to the machine says of this authority.
    pub(crate) fn evidence<'a>(&self, machine: &'a str) -> CommandEvidence<'a> {
        CommandEvidence {
            machine,
            incarnation: self.incarnation,
            shard: self.shard,
            term: self.term,
            fencing_token: self.fencing_token,
        }
    }

    /// A decision would break a rule and was not carried out: it is counted and logged with
    /// its evidence, and tests fail.
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
    /// The command to start this very attempt.
    ///
    /// # Errors
    /// The rule that the start would break; then it must not be sent.
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
