//! Applies heartbeats to the state of a machine and its tasks.

use super::ManagedMachine;
use crate::controller::machines::attempt::AttemptId;
use crate::peer::ObservedState;
use crate::time::Micros;
use crate::wire::{EndCause, FencingToken, Heartbeat, ReportedTask, TaskState};
use std::collections::BTreeMap;

/// How a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// As a request. Only this shows that the response to the previous request was either
    /// executed or dropped, because a worker has one request in flight at a time.
    Request,
    /// In the response to a direct command.
    DirectResponse,
}

/// End of a task that a heartbeat reports for the first time, as evidence of the machine's
/// health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskOutcome {
    /// The task completed.
    Completed,
    /// The task failed.
    Failed {
        /// Id of its job.
        job: String,
    },
}

impl ManagedMachine {
    /// Applies a heartbeat; `term` is the current term of the machine's shard. Returns the
    /// outcomes of tasks that it reports as ended for the first time, or `None` if it is older
    /// than the last one applied, or belongs to an incarnation that has ended.
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
        // After a heartbeat without this term's fencing token, commands of an earlier leader
        // may still be executed: that a task is absent from its list proves nothing.
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

    /// Applies the task list of a heartbeat that carries a fencing token of the current term.
    fn apply_tasks(&mut self, heartbeat: &Heartbeat, source: HeartbeatSource) -> Vec<TaskOutcome> {
        let mut outcomes = Vec::new();
        let mut tasks = BTreeMap::new();
        for task in &heartbeat.tasks {
            let Some(attempt) = AttemptId::parse(&task.task, task.attempt) else {
                log::warn!(
                    "machine {}: heartbeat with malformed task name {:?}",
                    heartbeat.machine,
                    task.task
                );
                continue;
            };
            let observed = observed_state(task.state, task.cause);
            if self.tasks.get(&attempt).is_none_or(|before| !before.is_terminal()) {
                outcomes.extend(outcome(observed, task, &attempt));
            }
            if self.starts.record_reported(&attempt) {
                // The worker has executed a start, so it receives commands.
                self.unresponsive = false;
            }
            tasks.insert(attempt, observed);
        }
        self.tasks = tasks;
        let tasks = &self.tasks;
        self.starts.apply_fencing_token(self.highest_reported_fencing_token, |attempt| {
            tasks.contains_key(attempt)
        });
        self.stops_sent.retain(|attempt| tasks.contains_key(attempt));
        if source == HeartbeatSource::Request {
            self.starts.settle_response();
        }
        outcomes
    }
}

/// Outcome of a task as evidence of the machine's health; `None` if it has not ended, was
/// stopped or refused, or failed because the worker knows no such job or task, which is not counted
/// against the machine.
fn outcome(
    observed: ObservedState,
    task: &ReportedTask,
    attempt: &AttemptId,
) -> Option<TaskOutcome> {
    match observed {
        ObservedState::Done => Some(TaskOutcome::Completed),
        ObservedState::Failed if task.cause != Some(EndCause::NoSuchTask) => {
            Some(TaskOutcome::Failed { job: attempt.job.clone() })
        }
        _ => None,
    }
}

fn observed_state(state: TaskState, cause: Option<EndCause>) -> ObservedState {
    match (state, cause) {
        (TaskState::Fetching, _) => ObservedState::Fetching,
        (TaskState::Running, _) => ObservedState::Running,
        (TaskState::Saving, _) => ObservedState::Saving,
        (TaskState::Exited, Some(EndCause::Done)) => ObservedState::Done,
        (TaskState::Exited, Some(EndCause::Stopped)) => ObservedState::Stopped,
        (TaskState::Exited, Some(EndCause::NoCapacity | EndCause::Busy)) => ObservedState::Refused,
        (TaskState::Exited, _) => ObservedState::Failed,
    }
}
