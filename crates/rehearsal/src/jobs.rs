//! The users' jobs: what they are, when they are submitted and when they are cancelled.

use crate::settings::{TEAMS, ZONES};
use millethold::time::Micros;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Jobs a second at most, however many workers there are.
const MAX_JOBS_PER_S: f64 = 8.0;
/// Workers for each job a second below that.
const WORKERS_PER_JOB: f64 = 8.0;
/// The team with the smallest limit, by its place in [`TEAMS`]. Its jobs are small, so that
/// all of them fit within the limit in a run's time.
const TIGHT_TEAM: usize = 0;
const MAX_TASKS_OF_TIGHT_TEAM: u32 = 6;
const MAX_RUN_OF_TIGHT_TEAM: Micros = Micros::secs(3);
/// Parts of the jobs that are of a kind, in percent.
const CANCELLED_PERCENT: u32 = 30;
const WITH_DEPENDENCIES_PERCENT: u32 = 15;
const WITH_MISTAKE_PERCENT: u32 = 4;
const BOUND_TO_ZONE_PERCENT: u32 = 12;
const ONE_ZONE_PERCENT: u32 = 6;
const SPREAD_PERCENT: u32 = 6;
const CHECKPOINTING_PERCENT: u32 = 20;

/// A job as its user plans it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobPlan {
    /// Id.
    pub id: String,
    /// Team, by its place in [`TEAMS`].
    pub team: usize,
    /// Tasks.
    pub tasks: u32,
    /// CPUs of each.
    pub cpus: f64,
    /// How long each runs.
    pub runs: Micros,
    /// How urgent it is.
    pub urgency: &'static str,
    /// Its image.
    pub image: String,
    /// The only allowed zone.
    pub zone: Option<&'static str>,
    /// All tasks in one zone.
    pub together: bool,
    /// At most half of the tasks in a zone.
    pub apart: bool,
    /// May use spot machines.
    pub spot: bool,
    /// Time that a task needs to save; zero if it cannot.
    pub saves: Micros,
    /// It fails wherever it runs.
    pub mistake: bool,
    /// Jobs that have to be done first.
    pub dependencies: Vec<String>,
    /// When it is submitted.
    pub submit_at: Micros,
    /// When its user cancels it.
    pub cancel_at: Option<Micros>,
}

impl JobPlan {
    /// The body of its submission.
    pub fn submission(&self) -> Value {
        let mut body = json!({
            "ref": self.id, "grade": self.urgency, "crew": TEAMS[self.team].name,
            "cut": "batch", "urgency": self.urgency, "planks": self.tasks,
            "cpus": self.cpus, "gpus": 0.0, "ramGb": 2.0 * self.cpus,
            "pattern": self.image, "pullGb": 0.3, "benches": null, "yard": self.zone,
            "together": self.together, "apart": self.apart, "loaners": self.spot,
            "expectedS": self.runs.as_secs_f64(),
            "notchS": if self.saves > Micros::ZERO { 2.0 } else { 0.0 },
            "stackS": self.saves.as_secs_f64(), "dueS": null,
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
    /// By id.
    pub plans: BTreeMap<String, JobPlan>,
}

/// Draws the jobs that users hand in over so much time.
pub fn draw_jobs(rng: &mut StdRng, over: Micros, workers: usize) -> Jobs {
    let rate = (workers as f64 / WORKERS_PER_JOB).clamp(1.0, MAX_JOBS_PER_S);
    let count = (over.as_secs_f64() * rate) as usize;
    let mut jobs = Jobs::default();
    let mut ids: Vec<String> = Vec::new();
    let mut taken = BTreeSet::new();
    for number in 0..count {
        let id = loop {
            let id = format!("j-{:06}", rng.random_range(0..1_000_000));
            if taken.insert(id.clone()) {
                break id;
            }
        };
        let at = over.as_secs_f64() * number as f64 / count as f64;
        let dependencies = draw_dependencies(rng, &ids);
        let plan = draw_job(rng, id.clone(), Micros::from_secs_f64(at), workers, dependencies);
        jobs.plans.insert(id.clone(), plan);
        ids.push(id);
    }
    jobs
}

/// Whether something of that chance, in percent, happens.
fn chance(rng: &mut impl Rng, percent: u32) -> bool {
    rng.random_range(0..100) < percent
}

/// One or two of the last jobs, for some.
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
    let largest = (workers / 4).clamp(4, 60) as u32;
    let tasks = match rng.random_range(0..10) {
        0..5 => rng.random_range(1..=2),
        5..9 => rng.random_range(2..=8),
        _ => rng.random_range(8..=largest.max(9)),
    };
    let team = [0, 1, 1, 2, 2, 2][rng.random_range(0..6)];
    let small = team == TIGHT_TEAM;
    let tasks = if small { tasks.min(MAX_TASKS_OF_TIGHT_TEAM) } else { tasks };
    let cpus = [1.0, 1.0, 2.0, 4.0][rng.random_range(0..4)];
    let runs = match rng.random_range(0..5) {
        0..3 => Micros::millis(rng.random_range(400..3_000)),
        3 => Micros::millis(rng.random_range(3_000..8_000)),
        _ => Micros::millis(rng.random_range(8_000..16_000)),
    };
    let runs = if small { runs.min(MAX_RUN_OF_TIGHT_TEAM) } else { runs };
    let mistake = chance(rng, WITH_MISTAKE_PERCENT);
    // Most are cancelled soon, while their first starts are on their way.
    let soon = rng.random_range(0..3) > 0;
    let wait = Micros::millis(if soon {
        rng.random_range(50..2_500)
    } else {
        rng.random_range(2_500..12_000)
    });
    let called_off = mistake || chance(rng, CANCELLED_PERCENT);
    let zone_bound = chance(rng, BOUND_TO_ZONE_PERCENT);
    let shape = rng.random_range(0..100);
    JobPlan {
        id,
        team,
        tasks,
        cpus,
        runs,
        urgency: ["low", "standard", "standard", "high", "production"][rng.random_range(0..5)],
        image: format!("img-{:02}", rng.random_range(0..12)),
        zone: zone_bound.then(|| ZONES[rng.random_range(0..ZONES.len())]),
        together: !zone_bound && shape < ONE_ZONE_PERCENT,
        apart: !zone_bound
            && (ONE_ZONE_PERCENT..ONE_ZONE_PERCENT + SPREAD_PERCENT).contains(&shape),
        spot: rng.random_range(0..3) > 0,
        saves: match chance(rng, CHECKPOINTING_PERCENT) {
            true => Micros::millis(rng.random_range(200..1_000)),
            false => Micros::ZERO,
        },
        mistake,
        dependencies,
        submit_at,
        cancel_at: called_off.then_some(submit_at + wait),
    }
}
