//! Planned jobs of a run, and their state as their users see it.

use super::event::SimEvent;
use super::world::World;
use millethold::time::Micros;
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// A job that a user submits. Times are in seconds of the simulated clock.
#[derive(Debug, Clone)]
pub struct Plan {
    /// When it is submitted.
    pub at_s: u64,
    pub tasks: u32,
    pub cpus: f64,
    /// How long its first task runs.
    pub run_s: f64,
    pub team: &'static str,
    pub urgency: &'static str,
    /// When its user cancels it.
    pub cancel_at_s: Option<u64>,
    pub together: bool,
    pub apart: bool,
    /// Its submission has a mistake: its tasks fail on every machine.
    pub always_fails: bool,
    /// Each task runs this many seconds longer than the one before.
    pub run_step_s: f64,
    /// The only zone in which it may run; any zone if absent.
    pub zone: Option<&'static str>,
    /// Indices of the earlier plans whose jobs must be done before one of its tasks starts.
    pub dependencies: Vec<usize>,
    /// It is submitted when its dependencies have ended, not when they are accepted.
    pub after_dependencies_end: bool,
}

impl Plan {
    pub fn new(at_s: u64, tasks: u32, cpus: f64, run_s: f64) -> Plan {
        Plan {
            at_s,
            tasks,
            cpus,
            run_s,
            team: "red",
            urgency: "standard",
            cancel_at_s: None,
            together: false,
            apart: false,
            always_fails: false,
            run_step_s: 0.0,
            zone: None,
            dependencies: Vec::new(),
            after_dependencies_end: false,
        }
    }
}

/// Time within which jobs end after a crash (`Faults::jobs_end_at_crash`), in milliseconds.
const END_AT_CRASH_MS: u64 = 1_500;

impl World {
    /// Schedules the ends of a share of the jobs without dependencies, which run since long.
    pub(super) fn end_jobs_at_crash(&mut self) {
        if self.faults.jobs_end_at_crash == 0.0 {
            return;
        }
        let runs = |j: &UserJob| j.accepted && j.dependencies.is_empty() && j.completed.is_empty();
        let jobs = self.jobs.iter().filter(|(_, j)| runs(j)).map(|(id, _)| id.clone());
        for id in jobs.collect::<Vec<_>>() {
            if self.chance(self.faults.jobs_end_at_crash) {
                let at = self.now + Micros::millis(self.rng.random_range(0..END_AT_CRASH_MS));
                self.schedule(at, SimEvent::TasksComplete(id));
            }
        }
    }

    /// Lets the tasks of a job complete at the next steps of their workers.
    pub(super) fn complete_tasks(&mut self, id: &str) {
        let job = self.jobs.get_mut(id).expect("a planned job");
        job.plan.run_s = 0.0;
    }
}

/// A job as its user sees it.
#[derive(Debug, Clone)]
pub(super) struct UserJob {
    pub(super) plan: Plan,
    pub(super) accepted: bool,
    pub(super) cancel_requested: bool,
    pub(super) cancelled_at: Option<Micros>,
    pub(super) done_answered: bool,
    /// When its user first received a final answer (done or cancelled).
    pub(super) final_answer_at: Option<Micros>,
    /// When a request about it was last answered.
    pub(super) last_answered: Micros,
    /// Since when one of its tasks could start and does not, after the end of all faults, and the
    /// number of its starts by then.
    pub(super) startable_since: Option<(Micros, u64)>,
    /// Tasks that completed on some worker. An answer `done` is correct only if these are all.
    pub(super) completed: BTreeSet<u32>,
    /// Jobs that its submission names.
    pub(super) dependencies: Vec<String>,
    /// All jobs that it needs, directly or through others.
    pub(super) ancestors: BTreeSet<String>,
    /// Its user delays the submission until its dependencies are accepted or have ended.
    pub(super) submission_delayed: bool,
    /// When a user first received `cancelled` for one of its ancestors.
    pub(super) ancestor_cancelled_at: Option<Micros>,
}

impl UserJob {
    /// A job that is not submitted yet.
    pub(super) fn new(
        plan: Plan,
        dependencies: Vec<String>,
        ancestors: BTreeSet<String>,
    ) -> UserJob {
        UserJob {
            plan,
            accepted: false,
            cancel_requested: false,
            cancelled_at: None,
            done_answered: false,
            final_answer_at: None,
            last_answered: Micros::ZERO,
            startable_since: None,
            completed: BTreeSet::new(),
            dependencies,
            ancestors,
            submission_delayed: false,
            ancestor_cancelled_at: None,
        }
    }

    /// Whether all its tasks have completed on workers.
    pub(super) fn ended(&self) -> bool {
        self.completed.len() >= self.plan.tasks as usize
    }
}

/// Id of the job with this number in the list of plans.
pub(super) fn job_id(n: usize) -> String {
    format!("j-{:06}", (n as u64 * 7919 + 13) % 1_000_000)
}

/// Body of the submission of a job.
pub(super) fn submission(id: &str, plan: &Plan) -> Value {
    let mut body = json!({
        "ref": id, "grade": "c", "crew": plan.team, "cut": "batch", "urgency": plan.urgency,
        "planks": plan.tasks, "cpus": plan.cpus, "gpus": 0.0, "ramGb": 1.0, "pattern": "img",
        "pullGb": 0.5, "benches": null, "yard": plan.zone, "together": plan.together,
        "apart": plan.apart, "loaners": true, "expectedS": plan.run_s, "notchS": 0.0,
        "stackS": 0.0, "dueS": null,
    });
    if !plan.dependencies.is_empty() {
        body["upstream"] = plan.dependencies.iter().map(|u| job_id(*u)).collect();
    }
    body
}
