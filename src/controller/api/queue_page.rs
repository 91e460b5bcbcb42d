//! The queue page for operators, and the debug log lines that summarize it.

use crate::controller::Controller;
use crate::controller::jobs::job::Job;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Column names.
const HEADER: &str = "job class team priority waiting running done reason\n";

impl Controller {
    /// The queue as plain text: jobs in scheduling order, each with the reason why its tasks
    /// wait, then the jobs with unfinished dependencies.
    pub fn queue_page(&self, _now: Micros) -> String {
        let mut page = String::from(HEADER);
        let queued = self.scheduler.queue_order(&self.scheduling_inputs());
        let queued = queued
            .iter()
            .filter_map(|queued| Some((&queued.job, self.jobs.by_id.get(&queued.job)?)));
        for (id, job) in queued {
            push_job(&mut page, id, job);
            let (running, done) = (job.running(), job.done());
            // Writing to a String cannot fail.
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

    /// Logs the number of waiting tasks by class, team and reason, at debug level.
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
            log::debug!("{tasks} tasks waiting: class {class}, team {team}, reason: {reason}");
        }
    }
}

/// Appends the columns that all jobs have in common.
fn push_job(page: &mut String, id: &str, job: &Job) {
    let (spec, pending) = (&job.spec, job.pending());
    let _ = write!(page, "{id} {} {} {:?} {pending}", spec.class, spec.team, spec.priority);
}
