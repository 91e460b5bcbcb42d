//! Jobs of a run: their properties, and when users submit and cancel them.

use crate::settings::{TEAMS, ZONES};
use millethold::time::Micros;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Most jobs submitted per second, independent of the number of workers.
const MAX_JOBS_PER_S: f64 = 8.0;
/// One job per second is submitted for this many workers, up to [`MAX_JOBS_PER_S`].
const WORKERS_PER_JOB: f64 = 8.0;
/// Index in [`TEAMS`] of the team with the smallest limit. Its jobs are small, so that all of them
/// can run within the limit during a run.
const LOW_LIMIT_TEAM: usize = 0;
const LOW_LIMIT_TEAM_MAX_TASKS: u32 = 6;
const LOW_LIMIT_TEAM_MAX_RUN_TIME: Micros = Micros::secs(3);
/// Percentages of the jobs with a property.
const CANCELLED_PERCENT: u32 = 30;
const WITH_DEPENDENCIES_PERCENT: u32 = 15;
const ALWAYS_FAILING_PERCENT: u32 = 4;
const BOUND_TO_ZONE_PERCENT: u32 = 12;
const ONE_ZONE_PERCENT: u32 = 6;
const SPREAD_PERCENT: u32 = 6;
const CHECKPOINTING_PERCENT: u32 = 20;

/// A job and the actions that its user plans.
#[derive(Debug, Clone, PartialEq)]
pub struct JobPlan {
    /// Job id.
    pub id: String,
    /// Index of the team in [`TEAMS`].
    pub team: usize,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// Run time of each task.
    pub run_time: Micros,
    /// Priority, also used as the job's class.
    pub priority: &'static str,
    /// Name of the image.
    pub image: String,
    /// The only allowed zone; any zone if `None`.
    pub zone: Option<&'static str>,
    /// All tasks must run in one zone.
    pub one_zone: bool,
    /// At most half of the tasks may run in one zone.
    pub spread: bool,
    /// The tasks may run on spot machines.
    pub spot: bool,
    /// Time that a stopped task needs to save a checkpoint; zero if it saves none.
    pub save_time: Micros,
    /// Every attempt fails, on any machine.
    pub always_fails: bool,
    /// Ids of the jobs that must be done first.
    pub dependencies: Vec<String>,
    /// When the user submits it.
    pub submit_at: Micros,
    /// When the user cancels it, if ever.
    pub cancel_at: Option<Micros>,
}

impl JobPlan {
    /// The JSON body of its submission.
    pub fn submission(&self) -> Value {
        let mut body = json!({
            "ref": self.id, "grade": self.priority, "crew": TEAMS[self.team].name,
            "cut": "batch", "urgency": self.priority, "planks": self.tasks,
            "cpus": self.cpus, "gpus": 0.0, "ramGb": 2.0 * self.cpus,
            "pattern": self.image, "pullGb": 0.3, "benches": null, "yard": self.zone,
            "together": self.one_zone, "apart": self.spread, "loaners": self.spot,
            "expectedS": self.run_time.as_secs_f64(),
            "notchS": if self.save_time > Micros::ZERO { 2.0 } else { 0.0 },
            "stackS": self.save_time.as_secs_f64(), "dueS": null,
        });
        if !self.dependencies.is_empty() {
            body["upstream"] = json!(self.dependencies);
        }
        body
    }
}

/// All jobs of a run.
#[derive(Debug, Clone, Default)]
pub struct Jobs {
    /// Plans by job id.
    pub plans: BTreeMap<String, JobPlan>,
}

/// Draws the jobs that users submit during `duration`.
pub fn draw_jobs(rng: &mut StdRng, duration: Micros, workers: usize) -> Jobs {
    let rate = (workers as f64 / WORKERS_PER_JOB).clamp(1.0, MAX_JOBS_PER_S);
    let count = (duration.as_secs_f64() * rate) as usize;
    let mut jobs = Jobs::default();
    let mut ids: Vec<String> = Vec::new();
    let mut used_ids = BTreeSet::new();
    for number in 0..count {
        let id = loop {
            let id = format!("j-{:06}", rng.random_range(0..1_000_000));
            if used_ids.insert(id.clone()) {
                break id;
            }
        };
        let at = duration.as_secs_f64() * number as f64 / count as f64;
        let dependencies = draw_dependencies(rng, &ids);
        let plan = draw_job(rng, id.clone(), Micros::from_secs_f64(at), workers, dependencies);
        jobs.plans.insert(id.clone(), plan);
        ids.push(id);
    }
    jobs
}

/// Draws whether an event with this probability, in percent, happens.
fn chance(rng: &mut impl Rng, percent: u32) -> bool {
    rng.random_range(0..100) < percent
}

/// Draws one or two of the most recent jobs as dependencies, for some of the jobs.
fn draw_dependencies(rng: &mut StdRng, ids: &[String]) -> Vec<String> {
    if ids.len() < 4 || !chance(rng, WITH_DEPENDENCIES_PERCENT) {
        return Vec::new();
    }
    let recent = &ids[ids.len().saturating_sub(8)..];
    let count = rng.random_range(1..=2);
    recent.sample(rng, count).cloned().collect()
}

fn draw_job(
    rng: &mut StdRng,
    id: String,
    submit_at: Micros,
    workers: usize,
    dependencies: Vec<String>,
) -> JobPlan {
    let max_tasks = (workers / 4).clamp(4, 60) as u32;
    let tasks = match rng.random_range(0..10) {
        0..5 => rng.random_range(1..=2),
        5..9 => rng.random_range(2..=8),
        _ => rng.random_range(8..=max_tasks.max(9)),
    };
    let team = [0, 1, 1, 2, 2, 2][rng.random_range(0..6)];
    let is_low_limit = team == LOW_LIMIT_TEAM;
    let tasks = if is_low_limit { tasks.min(LOW_LIMIT_TEAM_MAX_TASKS) } else { tasks };
    let cpus = [1.0, 1.0, 2.0, 4.0][rng.random_range(0..4)];
    let run_time = match rng.random_range(0..5) {
        0..3 => Micros::millis(rng.random_range(400..3_000)),
        3 => Micros::millis(rng.random_range(3_000..8_000)),
        _ => Micros::millis(rng.random_range(8_000..16_000)),
    };
    let run_time = if is_low_limit { run_time.min(LOW_LIMIT_TEAM_MAX_RUN_TIME) } else { run_time };
    let always_fails = chance(rng, ALWAYS_FAILING_PERCENT);
    // Most cancellations come soon, while the job's first starts are in flight.
    let cancel_soon = rng.random_range(0..3) > 0;
    let cancel_delay = Micros::millis(if cancel_soon {
        rng.random_range(50..2_500)
    } else {
        rng.random_range(2_500..12_000)
    });
    let cancelled = always_fails || chance(rng, CANCELLED_PERCENT);
    let zone_bound = chance(rng, BOUND_TO_ZONE_PERCENT);
    let zone_rule = rng.random_range(0..100);
    JobPlan {
        id,
        team,
        tasks,
        cpus,
        run_time,
        priority: ["low", "standard", "standard", "high", "production"][rng.random_range(0..5)],
        image: format!("img-{:02}", rng.random_range(0..12)),
        zone: zone_bound.then(|| ZONES[rng.random_range(0..ZONES.len())]),
        one_zone: !zone_bound && zone_rule < ONE_ZONE_PERCENT,
        spread: !zone_bound
            && (ONE_ZONE_PERCENT..ONE_ZONE_PERCENT + SPREAD_PERCENT).contains(&zone_rule),
        spot: rng.random_range(0..3) > 0,
        save_time: match chance(rng, CHECKPOINTING_PERCENT) {
            true => Micros::millis(rng.random_range(200..1_000)),
            false => Micros::ZERO,
        },
        always_fails,
        dependencies,
        submit_at,
        cancel_at: cancelled.then_some(submit_at + cancel_delay),
    }
}
