//! What the leader of a machine's shard knows of the machine: its incarnation, its tasks as
//! last reported, the starts in flight, its fencing tokens and its health.
//!
//! Owns this knowledge of one machine, and changes it only by what heartbeats and the
//! outcomes of commands prove. It sends nothing and decides no command.

pub mod heartbeat_intake;
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

/// What a machine says of itself with each heartbeat.
#[derive(Debug, Clone, Default)]
pub(crate) struct MachineDescription {
    /// Name of its type.
    pub(crate) machine_type: String,
    /// Zone.
    pub(crate) zone: String,
    /// Whether it is a spot machine.
    pub(crate) spot: bool,
    /// Address for direct commands, if it gave a usable one.
    pub(crate) address: Option<SocketAddrV4>,
    /// When the cloud reclaims it, if that is announced.
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

/// A machine, as the leader of its shard knows it under the present term.
#[derive(Debug, Clone, Default)]
pub struct ManagedMachine {
    /// Incarnation of the newest heartbeat, 0 before the first.
    pub incarnation: WorkerIncarnation,
    /// When that incarnation was first heard of.
    incarnation_since: Micros,
    /// Number of the newest message of that incarnation.
    message_seq: u64,
    /// It has sent a heartbeat with this term's fencing token: no older command can reach it.
    pub heartbeat_under_term: bool,
    /// This incarnation and all before it are surely over.
    pub last_ended_incarnation: WorkerIncarnation,
    /// It was never heard of under this term, and by now every earlier incarnation is over.
    pub expired_without_heartbeat: bool,
    /// When a heartbeat was last answered with 200.
    pub answered_at: Option<Micros>,
    /// When a heartbeat last arrived, by whatever way.
    pub(crate) last_heartbeat_at: Option<Micros>,
    /// Tasks in the newest heartbeat.
    pub tasks: BTreeMap<AttemptId, ObservedState>,
    /// Starts that no heartbeat shows yet, and that may still arrive.
    pub starts: Starts,
    /// Tasks whose stop was sent by a direct command; answers repeat it if need be.
    pub(crate) stops_sent: BTreeSet<AttemptId>,
    /// How often the fencing token of its commands was raised above the term.
    fencing_token_raises: u64,
    /// Highest fencing token that it has reported: no command with a lower one is executed.
    highest_reported_fencing_token: FencingToken,
    /// Type, zone and address.
    pub(crate) description: MachineDescription,
    /// Direct commands were sent and their outcome is not known yet.
    pub(crate) direct_in_flight: bool,
    /// After a direct command that was not executed, none before this.
    pub(crate) direct_not_before: Micros,
    /// Its heartbeats arrive, but nothing shows that it receives commands.
    pub unresponsive: bool,
    /// Whether it reported in time when its view was last made.
    pub(crate) in_time_at_last_view: bool,
    /// Number of its last view under this term.
    pub(crate) view_seq: u64,
    /// Failures, and quarantine because of them.
    pub(crate) failures: FailureRecord,
}

impl ManagedMachine {
    /// The fencing token of its commands under a term; `None` if the term has no further
    /// ones.
    pub fn fencing_token(&self, term: u64) -> Option<FencingToken> {
        fencing_token::raised_fencing_token(term, self.fencing_token_raises)
    }

    /// Shows the worker a higher fencing token from now on.
    pub fn raise_fencing_token(&mut self) {
        self.fencing_token_raises += 1;
    }

    /// Records the outcome of a direct command with these starts.
    pub fn direct_ended(&mut self, starts: &[AttemptId], outcome: CommandOutcome) {
        self.direct_in_flight = false;
        self.starts.direct_ended(starts, outcome, self.highest_reported_fencing_token);
    }

    /// All attempts of which something is known here.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = &AttemptId> {
        let starts = &self.starts;
        self.tasks
            .keys()
            .chain(starts.in_flight.keys())
            .chain(&starts.refused)
            .chain(&starts.waiting)
    }

    /// Tasks that it is known to have and that are not over.
    pub(crate) fn present_tasks(&self) -> impl Iterator<Item = &AttemptId> {
        self.tasks.iter().filter(|(_, observed)| !observed.over()).map(|(attempt, _)| attempt)
    }

    /// Whether it has tasks of the job of `first`, the lowest attempt that the job can have,
    /// or may come to have them.
    pub(crate) fn has_tasks_of(&self, first: &AttemptId) -> bool {
        let is_of_job = |attempt: Option<&AttemptId>| attempt.is_some_and(|a| a.job == first.job);
        is_of_job(self.tasks.range(first..).next().map(|(attempt, _)| attempt))
            || is_of_job(self.starts.in_flight.range(first..).next().map(|(attempt, _)| attempt))
            || is_of_job(self.starts.waiting.range(first..).next())
    }

    /// Its tasks, those to be started included, as its view shows them.
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
