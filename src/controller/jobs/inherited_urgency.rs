//! Jobs that others depend on are as urgent as those: the urgency goes to the shards that
//! run them, over the peers.

use super::job::Urgency;
use crate::controller::Controller;
use crate::peer::InheritedUrgency;
use crate::time::Micros;
use std::collections::BTreeMap;

/// How often all inherited urgency is sent again: a lost message costs a delay.
const RESEND_INTERVAL: Micros = Micros::secs(4);

/// What own waiting jobs pass on to the jobs that they depend on.
#[derive(Debug, Default)]
pub(crate) struct UrgencyInheritance {
    /// By dependency, as last sent.
    sent: BTreeMap<String, Urgency>,
    /// When all is sent again.
    next_resend: Micros,
    /// For the next frames to peers.
    outbox: Vec<InheritedUrgency>,
}

impl UrgencyInheritance {
    /// Takes what is to be sent to all peers.
    pub(crate) fn take_outbox(&mut self) -> Vec<InheritedUrgency> {
        std::mem::take(&mut self.outbox)
    }

    /// Queues what has changed since it was last sent, and at times all.
    fn queue(&mut self, now: Micros, inherited: &BTreeMap<String, Urgency>) {
        let resend_all = now >= self.next_resend;
        if resend_all {
            self.next_resend = now + RESEND_INTERVAL;
        }
        for (id, urgency) in inherited {
            if resend_all || self.sent.get(id) != Some(urgency) {
                let Urgency { rank, due } = *urgency;
                self.outbox.push(InheritedUrgency { job: id.clone(), rank, due_us: due.0 });
            }
        }
    }
}

impl Controller {
    /// Works out how urgent the jobs are that own ones wait for, and has it sent.
    pub(super) fn update_inherited_urgency(&mut self) {
        let mut inherited: BTreeMap<String, Urgency> = BTreeMap::new();
        let jobs = &self.jobs;
        for job in jobs.dependents.waiting().filter_map(|id| jobs.by_id.get(id)) {
            let urgency = job.urgency();
            for id in job.dependencies.iter().filter(|id| jobs.stage_cache.is_unfinished(id)) {
                let most = inherited.entry(id.clone()).or_insert(urgency);
                *most = most.max(urgency);
            }
        }
        self.jobs.dependents.urgency.queue(self.context.now, &inherited);
        for (id, urgency) in &inherited {
            self.inherit_urgency(id, *urgency);
        }
        self.jobs.dependents.urgency.sent = inherited;
    }

    /// A job of this urgency depends on another, which may be an own one.
    pub(crate) fn inherit_urgency(&mut self, id: &str, urgency: Urgency) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let most = job.inherited_urgency.unwrap_or(Urgency::LEAST).max(urgency);
        if job.inherited_urgency == Some(most) {
            return;
        }
        job.inherited_urgency = Some(most);
        self.scheduler.request_pass();
        if self.jobs.dependents.is_waiting(id) {
            // What it depends on itself is as urgent.
            self.jobs.dependents.check_now();
        }
    }
}
