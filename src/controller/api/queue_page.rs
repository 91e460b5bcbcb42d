//! The queue page, for people, and the log lines that sum it up.

use crate::controller::Controller;
use crate::controller::jobs::job::Job;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Names of the columns.
const HEADER: &str = "job class team priority waiting running done reason\n";

impl Controller {
    /// The queue as plain text: in order of scheduling, each job with the reason for
    /// which its tasks wait.
    pub fn queue_page(&self, _now: Micros) -> String {
        let mut page = String::from(HEADER);
        let queued = self.scheduler.queue_order(&self.scheduling_inputs());
        let queued = queued
            .iter()
            .filter_map(|queued| Some((&queued.job, self.jobs.by_id.get(&queued.job)?)));
        for (id, job) in queued {
            push_job(&mut page, id, job);
            let (running, done) = (job.running(), job.done());
            // Writing into a String cannot fail.
            let _ = writeln!(page, " {running} {done} {}", job.pending_reason);
        }
        let blocked = |job: &Job| job.awaits_dependencies && job.is_active();
        for (id, job) in self.jobs.by_id.iter().filter(|(_, job)| blocked(job)) {
            push_job(&mut page, id, job);
            let dependencies: Vec<&str> = job.dependencies.iter().map(String::as_str).collect();
            let _ = writeln!(page, " 0 0 needs {}", dependencies.join(" "));
        }
        page
    }

    /// Logs how many tasks wait, by class, team and reason.
    pub(crate) fn log_waiting(&self) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let mut counts: BTreeMap<(&str, &str, &str), u32> = BTreeMap::new();
        let queued = |job: &&Job| job.is_active() && job.pending() > 0;
        for job in self.jobs.by_id.values().filter(queued) {
            let reason = job.pending_reason.as_str();
            let group = (job.spec.class.as_str(), job.spec.team.as_str(), reason);
            *counts.entry(group).or_default() += job.pending();
        }
        for ((class, team, reason), tasks) in counts {
            log::debug!("{tasks} tasks of {class}, team {team}, wait: {reason}");
        }
    }
}

/// The columns that all jobs have.
fn push_job(page: &mut String, id: &str, job: &Job) {
    let (spec, pending) = (&job.spec, job.pending());
    let _ = write!(page, "{id} {} {} {:?} {pending}", spec.class, spec.team, spec.priority);
}
