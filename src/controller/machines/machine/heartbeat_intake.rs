//! What a heartbeat shows of a machine and its tasks.

use super::ManagedMachine;
use crate::controller::machines::attempt::AttemptId;
use crate::peer::ObservedState;
use crate::time::Micros;
use crate::wire::{Cause, FencingToken, Heartbeat, ReportedTask, TaskState};
use std::collections::BTreeMap;

/// How a heartbeat has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// As a request. Only such a one shows that the response to the one before was either
    /// executed or dropped: a worker has one request under way at a time.
    Request,
    /// In the response to a direct command.
    DirectResponse,
}

/// The end of a task that a heartbeat shows for the first time, for the judgement of a
/// machine's health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskOutcome {
    /// A task completed.
    Completed,
    /// A task failed.
    Failed {
        /// Id of its job.
        job: String,
    },
}

impl ManagedMachine {
    /// Applies a heartbeat, under the term of the machine's shard. Returns the tasks that
    /// it shows to have ended, or `None` if the heartbeat is older than what is known, or of
    /// an incarnation that is over.
    pub fn apply_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        term: u64,
        source: HeartbeatSource,
    ) -> Option<Vec<TaskOutcome>> {
        if self.is_outdated(heartbeat) {
            return None;
        }
        if heartbeat.incarnation > self.incarnation {
            self.begin_incarnation(now, heartbeat.incarnation);
        }
        self.message_seq = heartbeat.seq;
        self.highest_reported_fencing_token =
            self.highest_reported_fencing_token.max(heartbeat.fencing_token);
        self.last_heartbeat_at = Some(now);
        self.expired_without_heartbeat = false;
        self.description.update(now, heartbeat);
        // A heartbeat that does not carry this term's fencing token may be followed by
        // commands of an earlier leader: its list proves no absence.
        if heartbeat.fencing_token < FencingToken::of_term(term) {
            return Some(Vec::new());
        }
        self.heartbeat_under_term = true;
        Some(self.apply_tasks(heartbeat, source))
    }

    fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.incarnation <= self.last_ended_incarnation
            || heartbeat.incarnation < self.incarnation
            || (heartbeat.incarnation == self.incarnation && heartbeat.seq <= self.message_seq)
    }

    /// Applies the tasks of a heartbeat under the present term.
    fn apply_tasks(&mut self, heartbeat: &Heartbeat, source: HeartbeatSource) -> Vec<TaskOutcome> {
        let mut outcomes = Vec::new();
        let mut tasks = BTreeMap::new();
        for task in &heartbeat.tasks {
            let Some(attempt) = AttemptId::parse(&task.task, task.attempt) else {
                log::warn!("{} reports a task of unknown form", heartbeat.machine);
                continue;
            };
            let observed = observed_state(task.state, task.cause);
            if self.tasks.get(&attempt).is_none_or(|before| !before.over()) {
                outcomes.extend(outcome(observed, task, &attempt));
            }
            if self.starts.reported(&attempt) {
                // It has what it was commanded to start.
                self.unresponsive = false;
            }
            tasks.insert(attempt, observed);
        }
        self.tasks = tasks;
        let tasks = &self.tasks;
        self.starts
            .fenced(self.highest_reported_fencing_token, |attempt| tasks.contains_key(attempt));
        self.stops_sent.retain(|attempt| tasks.contains_key(attempt));
        if source == HeartbeatSource::Request {
            self.starts.response_settled();
        }
        outcomes
    }
}

/// What the state of a task says of the machine's health, if anything: a worker that does
/// not know why a task ended says nothing.
fn outcome(
    observed: ObservedState,
    task: &ReportedTask,
    attempt: &AttemptId,
) -> Option<TaskOutcome> {
    match observed {
        ObservedState::Done => Some(TaskOutcome::Completed),
        ObservedState::Failed if task.cause != Some(Cause::Unknown) => {
            Some(TaskOutcome::Failed { job: attempt.job.clone() })
        }
        _ => None,
    }
}

fn observed_state(state: TaskState, cause: Option<Cause>) -> ObservedState {
    match (state, cause) {
        (TaskState::Fetching, _) => ObservedState::Fetching,
        (TaskState::Running, _) => ObservedState::Running,
        (TaskState::Saving, _) => ObservedState::Saving,
        (TaskState::Exited, Some(Cause::Done)) => ObservedState::Done,
        (TaskState::Exited, Some(Cause::Stopped)) => ObservedState::Stopped,
        (TaskState::Exited, Some(Cause::NoRoom | Cause::Busy)) => ObservedState::Refused,
        (TaskState::Exited, _) => ObservedState::Failed,
    }
}
