//! Jobs as planned for a run, and as their users see them.

use millethold::time::Micros;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// A job that the users hand in.
#[derive(Debug, Clone)]
pub struct Plan {
    pub at_s: u64,
    pub tasks: u32,
    pub cpus: f64,
    pub run_s: f64,
    pub team: &'static str,
    pub urgency: &'static str,
    pub cancel_at_s: Option<u64>,
    pub together: bool,
    pub apart: bool,
    /// It was submitted with a mistake: its tasks fail on every machine.
    pub broken: bool,
    /// Each task runs for so much longer than the one before.
    pub longer_s: f64,
    /// The only zone where it may run.
    pub zone: Option<&'static str>,
    /// Earlier plans of the list whose jobs have to be done before a task of it starts.
    pub dependencies: Vec<usize>,
    /// It is submitted when its upstream jobs are over, and not when they are accepted.
    pub after_upstream: bool,
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
            broken: false,
            longer_s: 0.0,
            zone: None,
            dependencies: Vec::new(),
            after_upstream: false,
        }
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
    /// When its user was first told that it is over.
    pub(super) final_answered: Option<Micros>,
    /// When a question about it was last answered.
    pub(super) answered: Micros,
    /// Since when one of its tasks waits though there is room for it, all faults
    /// being over, and its starts until then.
    pub(super) waits: Option<(Micros, u64)>,
    /// Tasks that completed on some worker, which alone makes `done` true.
    pub(super) completed: BTreeSet<u32>,
    /// Jobs that it names, and all that it needs, directly or through others.
    pub(super) dependencies: Vec<String>,
    pub(super) ancestors: BTreeSet<String>,
    /// Its user waits with the submission for its upstream jobs.
    pub(super) held_back: bool,
    /// When a user was first told that one of its ancestors is cancelled.
    pub(super) orphan_from: Option<Micros>,
}

impl UserJob {
    /// A job that nobody has submitted yet.
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
            final_answered: None,
            answered: Micros::ZERO,
            waits: None,
            completed: BTreeSet::new(),
            dependencies,
            ancestors,
            held_back: false,
            orphan_from: None,
        }
    }

    /// Whether all of its tasks completed on workers.
    pub(super) fn ended(&self) -> bool {
        self.completed.len() >= self.plan.tasks as usize
    }
}

/// Id of the job that the plan of this number becomes.
pub(super) fn job_id(n: usize) -> String {
    format!("j-{:06}", (n as u64 * 7919 + 13) % 1_000_000)
}

/// What a user hands in.
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
