//! Urgency inheritance: a job is at least as urgent as the jobs that depend on it.
//!
//! The leaders of the dependent jobs send the urgency to all peers, and so to the leaders of the
//! shards that run the dependencies.

use super::job::Urgency;
use crate::controller::Controller;
use crate::peer::InheritedUrgency;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Interval at which all inherited urgency is sent again, which bounds the delay that a lost
/// message causes.
const RESEND_INTERVAL: Micros = Micros::secs(4);

/// Urgency that local waiting jobs pass on to their dependencies.
#[derive(Debug, Default)]
pub(crate) struct UrgencyInheritance {
    /// Urgency last sent, by dependency.
    sent: BTreeMap<String, Urgency>,
    /// Time at which all urgency is sent again.
    next_resend: Micros,
    /// Changes to be sent with the next frames to peers.
    outbox: Vec<InheritedUrgency>,
}

impl UrgencyInheritance {
    /// Takes the changes to be sent to all peers.
    pub(crate) fn take_outbox(&mut self) -> Vec<InheritedUrgency> {
        std::mem::take(&mut self.outbox)
    }

    /// Queues the urgency that differs from what was last sent, or all of it once per
    /// [`RESEND_INTERVAL`].
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
    /// Computes the urgency of the dependencies of local waiting jobs, applies it to local ones
    /// and queues it for the peers.
    pub(super) fn update_inherited_urgency(&mut self) {
        let mut inherited: BTreeMap<String, Urgency> = BTreeMap::new();
        let jobs = &self.jobs;
        for job in jobs.dependents.waiting().filter_map(|id| jobs.by_id.get(id)) {
            let urgency = job.urgency();
            for id in job.dependencies.iter().filter(|id| jobs.stage_cache.is_unfinished(id)) {
                let combined = inherited.entry(id.clone()).or_insert(urgency);
                *combined = combined.combine(urgency);
            }
        }
        self.jobs.dependents.urgency.queue(self.context.now, &inherited);
        for (id, urgency) in &inherited {
            self.inherit_urgency(id, *urgency);
        }
        self.jobs.dependents.urgency.sent = inherited;
    }

    /// Raises the urgency of `id` to that of a job that depends on it. Has no effect if `id` is
    /// not a local job.
    pub(crate) fn inherit_urgency(&mut self, id: &str, urgency: Urgency) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let combined = job.inherited_urgency.unwrap_or(Urgency::LEAST).combine(urgency);
        if job.inherited_urgency == Some(combined) {
            return;
        }
        job.inherited_urgency = Some(combined);
        self.scheduler.request_pass();
        if self.jobs.dependents.is_waiting(id) {
            // The job passes its urgency on to its own dependencies.
            self.jobs.dependents.check_now();
        }
    }
}
