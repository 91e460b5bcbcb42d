//! Requests to other shards to preempt tasks of theirs.

use crate::controller::machines::attempt::AttemptId;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long a request stands. Until then the task counts as stopping.
const PREEMPTION_REQUEST_TTL: Micros = Micros::secs(1);

#[derive(Debug)]
struct PreemptionRequest {
    sent_at: Micros,
    /// The task's machine.
    machine: Rc<str>,
}

impl PreemptionRequest {
    fn stands(&self, now: Micros) -> bool {
        now.since(self.sent_at) < PREEMPTION_REQUEST_TTL
    }
}

/// Tasks of other shards whose preemption was requested.
#[derive(Debug, Default)]
pub(super) struct PreemptionRequests {
    by_task: BTreeMap<AttemptId, PreemptionRequest>,
}

impl PreemptionRequests {
    /// The preemption of a task on a machine is requested.
    pub(super) fn insert(&mut self, task: AttemptId, machine: &Rc<str>, now: Micros) {
        let request = PreemptionRequest { sent_at: now, machine: Rc::clone(machine) };
        self.by_task.insert(task, request);
    }

    /// Whether the preemption of a task was requested a moment ago. Requested again, it would
    /// be counted on twice; and its shard may be out of reach.
    pub(super) fn stands(&self, job: &str, index: u32, attempt: u64, now: Micros) -> bool {
        let task = AttemptId { job: job.to_string(), index, attempt };
        self.by_task.get(&task).is_some_and(|request| request.stands(now))
    }

    /// Drops the requests that nobody has granted in time; returns their machines.
    pub(super) fn expire(&mut self, now: Micros) -> Vec<Rc<str>> {
        let mut machines = Vec::new();
        self.by_task.retain(|_, request| {
            let stands = request.stands(now);
            if !stands {
                machines.push(Rc::clone(&request.machine));
            }
            stands
        });
        machines
    }
}
