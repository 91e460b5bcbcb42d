//! Pending requests to other shards to preempt their tasks.

use crate::controller::machines::attempt::AttemptId;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time until a request expires. While it is pending, the task counts as stopping.
const PREEMPTION_REQUEST_TTL: Micros = Micros::secs(1);

/// A preemption that was requested from the leader of the task's shard.
#[derive(Debug)]
struct PendingPreemption {
    sent_at: Micros,
    /// Machine that the task was placed on.
    machine: Rc<str>,
}

impl PendingPreemption {
    fn is_pending(&self, now: Micros) -> bool {
        now.since(self.sent_at) < PREEMPTION_REQUEST_TTL
    }
}

/// Requests for the preemption of tasks of other shards, by attempt.
#[derive(Debug, Default)]
pub(super) struct PreemptionRequests {
    by_task: BTreeMap<AttemptId, PendingPreemption>,
}

impl PreemptionRequests {
    /// Records that the preemption of a task on a machine was requested.
    pub(super) fn insert(&mut self, task: AttemptId, machine: &Rc<str>, now: Micros) {
        let request = PendingPreemption { sent_at: now, machine: Rc::clone(machine) };
        self.by_task.insert(task, request);
    }

    /// Whether a request for the preemption of a task is pending. Such a task is not chosen as
    /// a victim again: its resources would be counted as freed twice, and its shard may be
    /// unreachable.
    pub(super) fn is_pending(&self, job: &str, index: u32, attempt: u64, now: Micros) -> bool {
        let task = AttemptId { job: job.to_string(), index, attempt };
        self.by_task.get(&task).is_some_and(|request| request.is_pending(now))
    }

    /// Drops the requests that have expired; returns their machines.
    pub(super) fn expire(&mut self, now: Micros) -> Vec<Rc<str>> {
        let mut machines = Vec::new();
        self.by_task.retain(|_, request| {
            let is_pending = request.is_pending(now);
            if !is_pending {
                machines.push(Rc::clone(&request.machine));
            }
            is_pending
        });
        machines
    }
}
