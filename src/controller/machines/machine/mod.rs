//! State of one machine, as observed by the leader of its shard: the worker's incarnation, the
//! last reported tasks, the starts in flight, the fencing tokens and the health.
//!
//! The state changes only on what heartbeats and the outcomes of commands prove. This module
//! sends no messages and decides no commands.

pub mod heartbeat;
pub mod starts;

pub(crate) mod health;

mod incarnation;

use crate::controller::leadership::fencing_token;
use crate::controller::machines::attempt::AttemptId;
use crate::peer::{ObservedState, ObservedTask};
use crate::time::Micros;
use crate::wire::{FencingToken, Heartbeat, WorkerIncarnation};
use health::FailureRecord;
use starts::{CommandOutcome, Starts};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Attributes of a machine, from its newest heartbeat.
#[derive(Debug, Clone, Default)]
pub(crate) struct MachineDescription {
    /// Name of the machine type.
    pub(crate) machine_type: String,
    /// Name of the cloud's zone.
    pub(crate) zone: String,
    /// Whether it is a spot machine.
    pub(crate) spot: bool,
    /// Address for direct commands; `None` if the reported one is not a valid IPv4 address and
    /// port.
    pub(crate) address: Option<SocketAddrV4>,
    /// When the cloud reclaims the machine; `None` without a spot notice.
    pub(crate) reclaimed_at: Option<Micros>,
}

impl MachineDescription {
    fn update(&mut self, now: Micros, heartbeat: &Heartbeat) {
        self.machine_type.clone_from(&heartbeat.machine_type);
        self.zone.clone_from(&heartbeat.zone);
        self.spot = heartbeat.spot;
        self.address = heartbeat.address.parse().ok();
        self.reclaimed_at = heartbeat.notice_s.map(|s| now + Micros::from_secs_f64(s));
    }
}

/// A machine, as observed by the leader of its shard under the current term.
#[derive(Debug, Clone, Default)]
pub struct ManagedMachine {
    /// Incarnation of the newest heartbeat; 0 before the first.
    pub incarnation: WorkerIncarnation,
    /// When that incarnation was first observed.
    incarnation_since: Micros,
    /// Sequence number of the newest heartbeat of that incarnation.
    message_seq: u64,
    /// Whether it has sent a heartbeat with this term's fencing token, so that it no longer
    /// executes commands of earlier leaders.
    pub heartbeat_under_term: bool,
    /// This incarnation and all earlier ones have definitely ended.
    pub last_ended_incarnation: WorkerIncarnation,
    /// No heartbeat was received under this term, and every earlier incarnation has ended.
    pub expired_without_heartbeat: bool,
    /// When a heartbeat was last answered with status 200.
    pub answered_at: Option<Micros>,
    /// When a heartbeat was last received, as a request or in the response to a direct command.
    pub(crate) last_heartbeat_at: Option<Micros>,
    /// Tasks in the newest heartbeat under this term.
    pub tasks: BTreeMap<AttemptId, ObservedState>,
    /// Starts that are planned or sent, and starts that may still arrive.
    pub starts: Starts,
    /// Tasks whose stop was sent by a direct command. Heartbeat responses repeat it while the
    /// task is still to be stopped.
    pub(crate) stops_sent: BTreeSet<AttemptId>,
    /// How often the fencing token of its commands was raised above the term.
    fencing_token_raises: u64,
    /// Highest fencing token that it has reported; it executes no command with a lower one.
    highest_reported_fencing_token: FencingToken,
    /// Attributes from the newest heartbeat.
    pub(crate) description: MachineDescription,
    /// Whether a direct command was sent whose outcome is not known yet.
    pub(crate) direct_in_flight: bool,
    /// Earliest time for the next direct command, after one that was not executed or whose outcome
    /// is unknown.
    pub(crate) direct_not_before: Micros,
    /// Whether its heartbeats arrive without evidence that it receives commands.
    pub unresponsive: bool,
    /// Whether it reported in time when its last view was computed.
    pub(crate) in_time_at_last_view: bool,
    /// Sequence number of its last view under this term.
    pub(crate) view_seq: u64,
    /// Failures since the last success, and the quarantine that results from them.
    pub(crate) failures: FailureRecord,
}

impl ManagedMachine {
    /// Fencing token of its commands under a term; `None` if all tokens of the term are used.
    pub fn fencing_token(&self, term: u64) -> Option<FencingToken> {
        fencing_token::raised_fencing_token(term, self.fencing_token_raises)
    }

    /// Whether the fencing token was raised so often that the shard should be led under a new term.
    /// The term still has some until then.
    pub fn has_used_term(&self) -> bool {
        self.fencing_token_raises >= fencing_token::RAISES_PER_TERM
    }

    /// Raises the fencing token of all further commands to this machine.
    pub fn raise_fencing_token(&mut self) {
        self.fencing_token_raises += 1;
    }

    /// Records the outcome of a direct command that contained these starts.
    pub fn record_direct_outcome(&mut self, starts: &[AttemptId], outcome: CommandOutcome) {
        self.direct_in_flight = false;
        self.starts.record_direct_outcome(starts, outcome, self.highest_reported_fencing_token);
    }

    /// All attempts that were reported, are being started, wait, or were refused.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = &AttemptId> {
        let starts = &self.starts;
        self.tasks
            .keys()
            .chain(starts.in_flight.keys())
            .chain(&starts.refused)
            .chain(&starts.waiting)
    }

    /// Reported tasks that have not ended.
    pub(crate) fn active_tasks(&self) -> impl Iterator<Item = &AttemptId> {
        self.tasks
            .iter()
            .filter(|(_, observed)| !observed.is_terminal())
            .map(|(attempt, _)| attempt)
    }

    /// Reported attempts that have ended and that a direct command might run again if a worker
    /// forgot them that has received only `fencing_token`.
    pub(crate) fn ended_startable_again(
        &self,
        fencing_token: FencingToken,
    ) -> impl Iterator<Item = &AttemptId> {
        self.tasks
            .iter()
            .filter(|(_, observed)| observed.is_terminal())
            .map(|(attempt, _)| attempt)
            .filter(move |attempt| self.starts.may_start_if_forgotten(attempt, fencing_token))
    }

    /// Whether tasks of a job are reported, are being started, or wait. `first` is the lowest
    /// possible attempt of the job; see [`AttemptId::lowest_of`].
    pub(crate) fn has_tasks_of(&self, first: &AttemptId) -> bool {
        let is_of_job = |attempt: Option<&AttemptId>| attempt.is_some_and(|a| a.job == first.job);
        is_of_job(self.tasks.range(first..).next().map(|(attempt, _)| attempt))
            || is_of_job(self.starts.in_flight.range(first..).next().map(|(attempt, _)| attempt))
            || is_of_job(self.starts.waiting.range(first..).next())
    }

    /// All tasks for the machine's view: the reported ones, and those that are being started,
    /// wait, or were refused.
    pub(crate) fn observed_tasks(&self) -> Vec<ObservedTask> {
        let observed = |attempt: &AttemptId, state: ObservedState| ObservedTask {
            job: attempt.job.clone(),
            index: attempt.index,
            attempt: attempt.attempt,
            observed: state as i32,
        };
        let starts = &self.starts;
        let mut list: Vec<ObservedTask> =
            self.tasks.iter().map(|(attempt, state)| observed(attempt, *state)).collect();
        list.extend(starts.in_flight.keys().map(|a| observed(a, ObservedState::Sent)));
        list.extend(starts.waiting.iter().map(|a| observed(a, ObservedState::Waiting)));
        list.extend(starts.refused.iter().map(|a| observed(a, ObservedState::Refused)));
        list
    }
}
