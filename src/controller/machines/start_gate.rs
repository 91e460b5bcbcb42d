//! The only place that forms a start.
//!
//! A start is formed from a [`StartPermit`], and that only comes from the rights of the
//! machine's manager and what is known of the task and its job. What is wrong with a right
//! that has been granted is a fault of this program: it is told with the evidence and the
//! start is not sent.

use crate::controller::decision_log;
use crate::controller::jobs::job::StoredStage;
use crate::controller::machines::machine::Key;
use crate::peer::{DesiredTask, Phase};
use crate::time::Micros;
use crate::wire::Command;

/// How commands reach a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandRoute {
    /// In the answer to a report: everything that is still to be done.
    Answer,
    /// Straight to the worker: only what has not been sent yet.
    Direct,
}

/// What the manager of a machine may act on at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandAuthority {
    /// The time at which it is used.
    pub now: Micros,
    /// Shard of the machine.
    pub shard: usize,
    /// Term under which the shard is held.
    pub term: u64,
    /// Token of the commands to this machine.
    pub fencing_token: u64,
    /// Session of the machine.
    pub incarnation: u64,
    /// Until when the state lease is surely valid, by this process's clock.
    pub lease_until: Micros,
    /// Whether every cancellation that was confirmed long enough ago is known.
    pub cancellations_known: bool,
}

/// What is known of a job from the key-value store, as far as starts depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobEvidence {
    /// Stage.
    pub stage: StoredStage,
    /// Revision that made it so; 0 if a peer told of it.
    pub revision: u64,
}

/// Why a task that is wanted on a machine may not be started there now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// Its placement is not stored yet, or its attempt has ended: a start that nobody
    /// remembers could run beside the next one.
    NotWanted,
    /// It is to be stopped.
    ToBeStopped,
    /// Its owner asked for it before it knew of this term: an earlier holder may have
    /// refused it, and its owner may have begun it elsewhere since.
    OwnerUnaware,
    /// It was placed in another session of the machine.
    OtherIncarnation,
    /// Its job is known to be cancelled or done.
    JobOver,
    /// Cancellations may have been missed.
    CancellationsUnknown,
}

impl StartRefusal {
    /// Whether a start of it that may still arrive is to be made harmless.
    pub fn revokes(self) -> bool {
        match self {
            StartRefusal::NotWanted | StartRefusal::ToBeStopped | StartRefusal::JobOver => true,
            StartRefusal::OwnerUnaware
            | StartRefusal::OtherIncarnation
            | StartRefusal::CancellationsUnknown => false,
        }
    }
}

/// A rule of this program that a start would break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartViolation {
    /// The state lease is over by the clock: another may hold the shard.
    LeaseOver,
    /// The token is below the term, so it fences nothing.
    FencingTokenBelowTerm,
    /// The right is another task's or session's.
    OtherTask,
}

/// The right to start one attempt on one machine, with what it rests on.
#[derive(Debug, Clone, Copy)]
pub struct StartPermit<'a> {
    authority: CommandAuthority,
    task: &'a DesiredTask,
    /// Term of the machine's shard that the task's owner knew.
    owner_knew: u64,
    job: Option<JobEvidence>,
}

impl CommandAuthority {
    /// Whether a wanted task may be started; `owner_knew` is the term of the machine's
    /// shard that its owner knew when it asked for it.
    pub fn examine<'a>(
        &self,
        task: &'a DesiredTask,
        owner_knew: u64,
        job: Option<JobEvidence>,
    ) -> Result<StartPermit<'a>, StartRefusal> {
        if task.phase() != Phase::DesiredHere {
            return Err(StartRefusal::NotWanted);
        }
        if job.is_some_and(|job| job.stage != StoredStage::Accepted) {
            return Err(StartRefusal::JobOver);
        }
        if task.stop_ms.is_some() {
            return Err(StartRefusal::ToBeStopped);
        }
        if owner_knew < self.term {
            return Err(StartRefusal::OwnerUnaware);
        }
        if task.incarnation != self.incarnation {
            return Err(StartRefusal::OtherIncarnation);
        }
        if !self.cancellations_known {
            return Err(StartRefusal::CancellationsUnknown);
        }
        Ok(StartPermit { authority: *self, task, owner_knew, job })
    }

    /// What is wrong with acting on this right at all.
    fn violation(&self) -> Option<StartViolation> {
        if self.now >= self.lease_until {
            Some(StartViolation::LeaseOver)
        } else if self.fencing_token < self.term {
            Some(StartViolation::FencingTokenBelowTerm)
        } else {
            None
        }
    }
}

impl StartPermit<'_> {
    /// The start of this very task, or what it would violate.
    pub fn command(
        &self,
        machine: &str,
        task: &Key,
        route: CommandRoute,
    ) -> Result<Command, StartViolation> {
        if let Some(violation) = self.authority.violation() {
            return Err(violation);
        }
        if !task.names(self.task) {
            return Err(StartViolation::OtherTask);
        }
        let authority = &self.authority;
        log::debug!(
            target: decision_log::TARGET,
            job = task.job.as_str(), task = task.index, attempt = task.attempt,
            machine = machine, incarnation = authority.incarnation,
            shard = authority.shard, term = authority.term, fencing_token = authority.fencing_token,
            lease_left_ms = authority.lease_until.since(authority.now).as_millis(),
            owner_knew_term = self.owner_knew,
            job_stage:? = self.job.map(|job| job.stage),
            job_revision:? = self.job.map(|job| job.revision),
            route:? = route;
            "start"
        );
        Ok(Command::Start { task: task.task(), attempt: task.attempt })
    }
}
